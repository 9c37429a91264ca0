/* Guards against answers that reach the wrong caller, and against a wrong report of whether a lost
 * call was sent. The peer is scripted: it holds calls until the test answers them. */
#include "flamingospring/peer.h"

#include "common/clock.h"
#include "common/counters.h"
#include "fixture.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	MAX_HELD = 64,
	CALL_COUNT = 50,
	WAIT_LIMIT_US = 5 * US_PER_S,
	DEADLINE_US = 2 * US_PER_S,
	FIRST_VM = 7,
};

struct held_call
{
	struct rpc_connection *connection;
	uint32_t xid;
	char call[FS_MAX_NAME + 1];
};

struct fake_peer
{
	struct loop *loop;
	struct loop_source source;
	uint16_t port;
	struct rpc_connection connections[8];
	unsigned connection_count;
	struct held_call held[MAX_HELD];
	unsigned held_count;
	bool is_silent; /**< Does not answer pings either. */
};

static bool
handle_call (struct rpc_connection *connection, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *xdrs)
{
	struct fake_peer *peer = connection->data;
	struct held_call *held = &peer->held[peer->held_count];
	struct fs_execute_args args = { 0 };

	g_assert_cmpuint (program, ==, FS_PEER_PROGRAM);
	if (procedure == FS_PEER_NULL)
		return peer->is_silent ||
		       rpc_connection_reply (connection, xid, (xdrproc_t) xdr_void, NULL) == 0;
	g_assert_cmpuint (peer->held_count, <, MAX_HELD);
	g_assert_true (xdr_fs_execute_args (xdrs, &args));
	held->connection = connection;
	held->xid = xid;
	g_strlcpy (held->call, args.call, sizeof held->call);
	peer->held_count++;
	xdr_free ((xdrproc_t) xdr_fs_execute_args, &args);
	return true;
}

static void
handle_closed (struct rpc_connection *connection, int error)
{
	(void) error;
	rpc_connection_finish (connection);
}

static const struct rpc_connection_ops fake_peer_ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

static void
handle_accept (struct loop_source *source, uint32_t epoll_events)
{
	struct fake_peer *peer = source->data;
	int fd = accept4 (source->fd, NULL, NULL, SOCK_NONBLOCK);

	(void) epoll_events;
	g_assert_cmpuint (peer->connection_count, <, G_N_ELEMENTS (peer->connections));
	rpc_connection_init (&peer->connections[peer->connection_count++], peer->loop, &fake_peer_ops,
	                     peer, fd);
}

static void
fake_peer_open (struct fake_peer *peer, struct loop *loop, uint16_t port)
{
	memset (peer, 0, sizeof *peer);
	peer->loop = loop;
	peer->port = port ? port : fixture_port ();
	peer->source.fd = rpc_listen (INADDR_LOOPBACK, peer->port);
	g_assert_cmpint (peer->source.fd, >=, 0);
	peer->source.handle_ready = handle_accept;
	peer->source.data = peer;
	loop_set_source (loop, &peer->source, EPOLLIN);
}

static void
fake_peer_close (struct fake_peer *peer)
{
	for (unsigned i = 0; i < peer->connection_count; i++)
		rpc_connection_finish (&peer->connections[i]);
	loop_remove_source (peer->loop, &peer->source);
	close (peer->source.fd);
}

static void
fake_peer_answer (const struct held_call *held, struct rpc_connection *connection)
{
	struct fs_execute_result result = execution_result (OUTCOME_DONE, REASON_NONE, held->call);

	g_assert_cmpint (
		rpc_connection_reply (connection, held->xid, (xdrproc_t) xdr_fs_execute_result, &result),
		==, 0);
}

/** A call to a peer, which returns the call's name as the message. */
struct caller
{
	struct execution execution;
	struct fs_execute_args args;
	char name[16];
	unsigned answers;
	enum execution_status status;
	char message[16];
};

static void
handle_done (struct execution *execution, enum execution_status status,
             const struct fs_execute_result *result)
{
	struct caller *caller = execution->data;

	caller->answers++;
	caller->status = status;
	if (result)
		g_strlcpy (caller->message, result->message, sizeof caller->message);
}

static void
caller_init (struct caller *caller, unsigned number, uint32_t vm, int64_t timeout_us)
{
	memset (caller, 0, sizeof *caller);
	g_snprintf (caller->name, sizeof caller->name, "call-%u", number);
	caller->args.service = (char *) "post";
	caller->args.call = caller->name;
	caller->args.database = (char *) "letters";
	caller->args.request_id = (char *) "";
	caller->args.tenant = (char *) "";
	caller->execution.args = &caller->args;
	caller->execution.vm = vm;
	caller->execution.deadline_us = clock_now_us () + timeout_us;
	caller->execution.handle_done = handle_done;
	caller->execution.data = caller;
}

struct world
{
	struct loop loop;
	struct peer_set set;
	struct fake_peer peers[2];
};

static void
world_init (struct world *world)
{
	memset (world, 0, sizeof *world);
	g_assert_cmpint (loop_init (&world->loop), ==, 0);
	g_assert_cmpint (peer_set_init (&world->set, &world->loop, 1), ==, 0);
	fake_peer_open (&world->peers[0], &world->loop, 0);
	fake_peer_open (&world->peers[1], &world->loop, 0);
}

static void
world_finish (struct world *world)
{
	peer_set_finish (&world->set);
	fake_peer_close (&world->peers[0]);
	fake_peer_close (&world->peers[1]);
	loop_finish (&world->loop);
}

static void
world_send (struct world *world, struct caller *caller, unsigned peer)
{
	peer_set_execute (&world->set, &caller->execution, INADDR_LOOPBACK, world->peers[peer].port);
}

static void
world_run_until (struct world *world, const unsigned *value, unsigned wanted)
{
	int64_t limit_us = clock_now_us () + WAIT_LIMIT_US;

	while (*value < wanted && clock_now_us () < limit_us)
		loop_step (&world->loop, 10 * US_PER_MS);
	g_assert_cmpuint (*value, ==, wanted);
}

static void
world_run_for (struct world *world, int64_t time_us)
{
	int64_t limit_us = clock_now_us () + time_us;

	while (clock_now_us () < limit_us)
		loop_step (&world->loop, US_PER_MS);
}

/* The peer answers in reverse order, and each call twice. */
static void
test_out_of_order_answers (void)
{
	static struct caller callers[CALL_COUNT];
	struct world world;
	uint64_t late = counter_get (COUNTER_LATE_ANSWERS);

	world_init (&world);
	for (unsigned i = 0; i < CALL_COUNT; i++)
	{
		caller_init (&callers[i], i, FIRST_VM, DEADLINE_US);
		world_send (&world, &callers[i], 0);
	}
	world_run_until (&world, &world.peers[0].held_count, CALL_COUNT);
	g_assert_cmpuint (world.peers[0].connection_count, ==, 1);
	for (unsigned i = CALL_COUNT; i > 0; i--)
	{
		struct held_call *held = &world.peers[0].held[i - 1];

		fake_peer_answer (held, held->connection);
		fake_peer_answer (held, held->connection);
	}
	world_run_until (&world, &callers[0].answers, 1);
	for (unsigned i = 0; i < CALL_COUNT; i++)
	{
		g_assert_cmpuint (callers[i].answers, ==, 1);
		g_assert_cmpint (callers[i].status, ==, EXECUTION_ANSWERED);
		g_assert_cmpstr (callers[i].message, ==, callers[i].name);
	}
	world_run_for (&world, 20 * US_PER_MS);
	g_assert_cmpuint (counter_get (COUNTER_LATE_ANSWERS), ==, late + CALL_COUNT);
	world_finish (&world);
}

/* An answer on another VM's connection is dropped and counted. */
static void
test_answer_on_wrong_connection (void)
{
	struct world world;
	struct caller callers[2];
	uint64_t late = counter_get (COUNTER_LATE_ANSWERS);
	struct held_call *held;

	world_init (&world);
	for (unsigned i = 0; i < 2; i++)
	{
		caller_init (&callers[i], i, FIRST_VM + i, DEADLINE_US);
		world_send (&world, &callers[i], i);
		world_run_until (&world, &world.peers[i].held_count, 1);
	}
	held = &world.peers[0].held[0];
	fake_peer_answer (held, world.peers[1].held[0].connection);
	world_run_for (&world, 20 * US_PER_MS);
	g_assert_cmpuint (callers[0].answers + callers[1].answers, ==, 0);
	g_assert_cmpuint (counter_get (COUNTER_LATE_ANSWERS), ==, late + 1);
	fake_peer_answer (held, held->connection);
	world_run_until (&world, &callers[0].answers, 1);
	g_assert_cmpstr (callers[0].message, ==, "call-0");
	world_finish (&world);
	g_assert_cmpint (callers[1].status, ==, EXECUTION_LOST);
}

/* Guards against a late answer to a timed-out call that reaches a newer call, after any number of
 * calls in between. */
static void
test_late_answer (void)
{
	struct world world;
	struct caller slow;
	struct caller next;
	struct caller cancelled;
	uint64_t late = counter_get (COUNTER_LATE_ANSWERS);
	enum
	{
		LATER_CALLS = 5000,
	};

	world_init (&world);
	caller_init (&slow, 0, FIRST_VM, 10 * US_PER_MS);
	world_send (&world, &slow, 0);
	caller_init (&cancelled, 1, FIRST_VM, DEADLINE_US);
	world_send (&world, &cancelled, 0);
	peer_set_cancel (&world.set, &cancelled.execution);
	g_assert_cmpint (cancelled.status, ==, EXECUTION_CANCELLED);
	world_run_until (&world, &slow.answers, 1);
	g_assert_cmpint (slow.status, ==, EXECUTION_TIMED_OUT);
	world_run_until (&world, &world.peers[0].held_count, 2);
	for (unsigned i = 0; i < LATER_CALLS; i++)
	{
		struct held_call *held = &world.peers[0].held[2];

		caller_init (&next, i, FIRST_VM, DEADLINE_US);
		world_send (&world, &next, 0);
		world_run_until (&world, &world.peers[0].held_count, 3);
		g_assert_cmpuint (held->xid, !=, world.peers[0].held[0].xid);
		g_assert_cmpuint (held->xid, !=, world.peers[0].held[1].xid);
		fake_peer_answer (held, held->connection);
		world_run_until (&world, &next.answers, 1);
		g_assert_cmpstr (next.message, ==, next.name);
		world.peers[0].held_count = 2;
	}
	for (unsigned i = 0; i < 2; i++)
		fake_peer_answer (&world.peers[0].held[i], world.peers[0].held[i].connection);
	world_run_for (&world, 20 * US_PER_MS);
	g_assert_cmpuint (counter_get (COUNTER_LATE_ANSWERS), ==, late + 2);
	g_assert_cmpuint (slow.answers, ==, 1);
	world_finish (&world);
}

static void
test_lost_before_sending (void)
{
	struct world world;
	struct caller caller;

	world_init (&world);
	caller_init (&caller, 0, FIRST_VM, DEADLINE_US);
	peer_set_execute (&world.set, &caller.execution, INADDR_LOOPBACK, fixture_port ());
	world_run_until (&world, &caller.answers, 1);
	g_assert_cmpint (caller.status, ==, EXECUTION_NOT_SENT);
	g_assert_true (peer_set_is_down (&world.set, FIRST_VM, clock_now_us ()));
	world_finish (&world);
}

static void
test_lost_after_sending (void)
{
	struct world world;
	struct caller caller;

	world_init (&world);
	caller_init (&caller, 0, FIRST_VM, DEADLINE_US);
	world_send (&world, &caller, 0);
	world_run_until (&world, &world.peers[0].held_count, 1);
	rpc_connection_finish (&world.peers[0].connections[0]);
	world_run_until (&world, &caller.answers, 1);
	g_assert_cmpint (caller.status, ==, EXECUTION_LOST);
	world_finish (&world);
}

/* Calls to a VM that does not answer pings are lost before their deadline. The VM is used again
 * once it answers pings. */
static void
test_silent_peer (void)
{
	struct world world;
	struct caller caller;
	int64_t start_us = clock_now_us ();
	int64_t limit_us;

	world_init (&world);
	world.peers[0].is_silent = true;
	caller_init (&caller, 0, FIRST_VM, 60 * (int64_t) US_PER_S);
	world_send (&world, &caller, 0);
	world_run_until (&world, &caller.answers, 1);
	g_assert_cmpint (caller.status, ==, EXECUTION_LOST);
	g_test_message ("lost after %" G_GINT64_FORMAT " ms", (clock_now_us () - start_us) / US_PER_MS);
	g_assert_cmpint (clock_now_us () - start_us, <, 2 * US_PER_S);
	g_assert_true (peer_set_is_down (&world.set, FIRST_VM, clock_now_us ()));
	world.peers[0].is_silent = false;
	limit_us = clock_now_us () + WAIT_LIMIT_US;
	while (peer_set_is_down (&world.set, FIRST_VM, clock_now_us ()) && clock_now_us () < limit_us)
		loop_step (&world.loop, 10 * US_PER_MS);
	g_assert_false (peer_set_is_down (&world.set, FIRST_VM, clock_now_us ()));
	world_finish (&world);
}

/* A call to a slow owner is not lost as long as the VM answers pings. */
static void
test_slow_owner (void)
{
	struct world world;
	struct caller caller;

	world_init (&world);
	caller_init (&caller, 0, FIRST_VM, 60 * (int64_t) US_PER_S);
	world_send (&world, &caller, 0);
	world_run_for (&world, 1800 * US_PER_MS);
	g_assert_cmpuint (caller.answers, ==, 0);
	fake_peer_answer (&world.peers[0].held[0], world.peers[0].held[0].connection);
	world_run_until (&world, &caller.answers, 1);
	g_assert_cmpstr (caller.message, ==, "call-0");
	world_finish (&world);
}

/* Malformed results end the call and the connection. */
static void
test_malformed_result (void)
{
	struct world world;
	struct caller caller;
	uint64_t malformed = counter_get (COUNTER_RPC_MALFORMED);
	struct fs_execute_result result = execution_result ((enum outcome) 77, REASON_NONE, "");
	unsigned held = 0;

	world_init (&world);
	for (unsigned i = 0; i < 2; i++)
	{
		caller_init (&caller, 0, FIRST_VM, DEADLINE_US);
		world_send (&world, &caller, 0);
		world_run_until (&world, &world.peers[0].held_count, ++held);
		if (i == 0)
			rpc_connection_reply (world.peers[0].held[i].connection, world.peers[0].held[i].xid,
			                      (xdrproc_t) xdr_fs_execute_result, &result);
		else
			rpc_connection_reply (world.peers[0].held[i].connection, world.peers[0].held[i].xid,
			                      (xdrproc_t) xdr_void, NULL);
		world_run_until (&world, &caller.answers, 1);
		g_assert_cmpint (caller.status, ==, EXECUTION_LOST);
		g_assert_cmpuint (counter_get (COUNTER_RPC_MALFORMED), ==, malformed + i + 1);
		world_run_for (&world, 5 * US_PER_MS);
	}
	world_finish (&world);
}

/* Guards against an execution that counts as not run after an error of the peer's system, which may
 * come at any time. */
static void
test_rejected (void)
{
	static const struct
	{
		enum accept_stat reply;
		enum execution_status status;
	} cases[] = {
		{ PROG_UNAVAIL, EXECUTION_NOT_SENT },
		{ PROC_UNAVAIL, EXECUTION_NOT_SENT },
		{ GARBAGE_ARGS, EXECUTION_NOT_SENT },
		{ SYSTEM_ERR, EXECUTION_LOST },
	};
	struct world world;

	world_init (&world);
	for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		struct caller caller;

		caller_init (&caller, 0, FIRST_VM, DEADLINE_US);
		world_send (&world, &caller, 0);
		world_run_until (&world, &world.peers[0].held_count, i + 1);
		rpc_connection_reject (world.peers[0].held[i].connection, world.peers[0].held[i].xid,
		                       cases[i].reply);
		world_run_until (&world, &caller.answers, 1);
		g_assert_cmpint (caller.status, ==, cases[i].status);
	}
	world_finish (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/peer/order", test_out_of_order_answers);
	g_test_add_func ("/peer/crossed", test_answer_on_wrong_connection);
	g_test_add_func ("/peer/late", test_late_answer);
	g_test_add_func ("/peer/lost_before_sending", test_lost_before_sending);
	g_test_add_func ("/peer/lost_after_sending", test_lost_after_sending);
	g_test_add_func ("/peer/rejected", test_rejected);
	g_test_add_func ("/peer/silent", test_silent_peer);
	g_test_add_func ("/peer/slow", test_slow_owner);
	g_test_add_func ("/peer/malformed_result", test_malformed_result);
	return g_test_run ();
}
