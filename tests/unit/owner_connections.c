/* Guards against an owner that opens more connections than its share, and against calls or failover
 * that stop because a server at its connection limit refuses a connection. */
#include "owner_world.h"

#include "flamingospring/owner_observe.h"

#include <netinet/in.h>

enum
{
	MAX_WORK_CONNECTIONS = 5, /* (16 - 6) / 2 */
};

static void
submit_all (struct world *world, struct caller *caller, size_t count, const char *call,
            unsigned server)
{
	for (size_t i = 0; i < count; i++)
	{
		caller_prepare (&caller[i], call, server, "");
		caller_submit (world, &caller[i]);
	}
}

static void
wait_all (struct world *world, struct caller *caller, size_t count)
{
	for (size_t i = 0; i < count; i++)
	{
		caller_wait (world, &caller[i]);
		g_assert_cmpint (caller[i].outcome, ==, OUTCOME_DONE);
	}
}

static void
send_observer_request (struct world *world, enum observer_request_kind kind, unsigned server,
                       uint64_t term)
{
	struct observer_request request = {
		.kind = kind,
		.database = "ledger",
		.server = server,
		.ip = INADDR_LOOPBACK,
		.port = (uint16_t) (1000 + server),
		.term = term,
		.claimant = WORLD_SELF,
	};

	owner_set_handle_observer_request (&world->set, &request);
}

/* The owners of all three servers and the observer in one VM share one monitor for each server. */
static void
test_shared_monitor (void)
{
	struct world world;
	struct caller caller;

	world_init (&world);
	for (unsigned i = 0; i < WORLD_SERVERS; i++)
	{
		caller_run (&world, &caller, "find", i, "");
		send_observer_request (&world, OBSERVER_STATUS, i, 0);
	}
	caller_run (&world, &caller, "set", 0, "");
	world_run (&world, 20 * US_PER_MS);
	g_assert_cmpuint (world.observer_answers, ==, WORLD_SERVERS);
	g_assert_cmpint (world.observer_answer.result, ==, OBSERVER_ACCEPTED);
	for (unsigned i = 0; i < WORLD_SERVERS; i++)
		g_assert_cmpuint (world.servers[i].max_open, ==, 2);
	/* A VM that neither owns nor observes a server closes its connections. */
	for (unsigned i = 0; i < WORLD_SERVERS; i++)
		send_observer_request (&world, OBSERVER_STOP, i, 0);
	world_publish (&world, 0, 1, WORLD_SELF + 1, false);
	world_run (&world, 10 * US_PER_MS);
	for (unsigned i = 0; i < WORLD_SERVERS; i++)
		g_assert_cmpuint (world.servers[i].open, ==, 0);
	world_finish (&world);
}

/* While the server refuses more connections, writes go on over the open one, with few attempts to
 * open another. */
static void
test_refused_work_connection (void)
{
	struct world world;
	struct caller caller[40];
	int64_t start_us;

	world_init (&world);
	caller_run (&world, &caller[0], "set", 0, "");
	g_assert_cmpuint (world.connections, ==, 1);
	/* The monitor connects meanwhile; only work connections are to be refused. */
	world_run (&world, 5 * US_PER_MS);
	world.servers[0].is_full = true;
	start_us = clock_now_us ();
	submit_all (&world, caller, G_N_ELEMENTS (caller), "set", 0);
	wait_all (&world, caller, G_N_ELEMENTS (caller));
	g_test_message ("%zu writes over one connection in %ld us, %u attempts refused",
	                G_N_ELEMENTS (caller), (long) (clock_now_us () - start_us),
	                world.servers[0].refused);
	g_assert_cmpuint (world.max_running, ==, 1);
	g_assert_cmpuint (world.unanswered_observations, ==, 0);
	g_assert_cmpuint (world.servers[0].refused, >, 0);
	g_assert_cmpuint (world.servers[0].refused, <=, 3);
	/* More connections are opened again later. */
	world.servers[0].is_full = false;
	world_run (&world, 1100 * US_PER_MS);
	submit_all (&world, caller, 4, "set", 0);
	wait_all (&world, caller, 4);
	g_assert_cmpuint (world.max_running, ==, 2);
	world_finish (&world);
}

/* A monitor that the server refuses at its limit does not count as silence, and is retried until it
 * connects. */
static void
test_refused_monitor (void)
{
	struct world world;
	struct caller caller;

	world_init (&world);
	for (unsigned i = 1; i < WORLD_SERVERS; i++)
		world.servers[i].is_full = true;
	caller_prepare (&caller, "set", 0, "");
	caller_submit (&world, &caller);
	send_observer_request (&world, OBSERVER_STATUS, 1, 0);
	world_run (&world, 60 * US_PER_MS);
	g_assert_cmpuint (caller.done, ==, 0);
	g_assert_cmpuint (world.observer_answers, ==, 1);
	g_assert_cmpint (world.observer_answer.result, ==, OBSERVER_REFUSED);
	for (unsigned i = 1; i < WORLD_SERVERS; i++)
		world.servers[i].is_full = false;
	caller_wait (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (world.unanswered_observations, ==, 0);
	world_finish (&world);
}

/* Guards against a fence that is lost because the server refuses a connection, or because a frozen
 * server does not answer an earlier status query. */
static void
test_fence (void)
{
	struct world world;

	world_init (&world);
	world.servers[1].is_full = true;
	send_observer_request (&world, OBSERVER_FENCE, 1, 2);
	world_run (&world, 20 * US_PER_MS);
	g_assert_cmpuint (world.servers[1].fences, ==, 0);
	world.servers[1].is_full = false;
	world_run (&world, 80 * US_PER_MS);
	g_assert_cmpuint (world.servers[1].fences, ==, 1);
	g_assert_cmpint (world.observer_answer.request.kind, ==, OBSERVER_FENCE);
	g_assert_cmpint (world.observer_answer.result, ==, OBSERVER_ACCEPTED);
	send_observer_request (&world, OBSERVER_FENCE, 1, 2);
	world_run (&world, 20 * US_PER_MS);
	g_assert_cmpint (world.observer_answer.result, ==, OBSERVER_REJECTED);
	world.servers[2].ignores_status_queries = true;
	send_observer_request (&world, OBSERVER_STATUS, 2, 0);
	world_run (&world, 20 * US_PER_MS);
	send_observer_request (&world, OBSERVER_FENCE, 2, 2);
	world_run (&world, 100 * US_PER_MS);
	g_assert_cmpuint (world.servers[2].fences, ==, 1);
	g_assert_cmpint (world.observer_answer.request.kind, ==, OBSERVER_FENCE);
	g_assert_cmpint (world.observer_answer.result, ==, OBSERVER_ACCEPTED);
	g_assert_cmpuint (world.servers[2].max_open, ==, 1);
	world_finish (&world);
}

/* Guards against a fence that counts as accepted because of the answer to an earlier status query,
 * whose row has the same form. Two primaries could follow. */
static void
test_fence_answered_by_status (void)
{
	struct world world;

	world_init (&world);
	world.servers[1].repeats_status = true;
	send_observer_request (&world, OBSERVER_FENCE, 1, 2);
	world_run (&world, 20 * US_PER_MS);
	g_assert_cmpuint (world.servers[1].fences, ==, 1);
	g_assert_cmpuint (world.observer_answers, ==, 1);
	g_assert_cmpint (world.observer_answer.result, ==, OBSERVER_FAILED);
	world_finish (&world);
}

/* The server still counts connections that were closed because of overdue statements, so they count
 * towards the limit for a while. */
static void
test_overdue_statements (void)
{
	struct world world;
	struct caller caller;

	world_init (&world);
	for (unsigned i = 0; i < MAX_WORK_CONNECTIONS; i++)
		world_add_rule (&world, "READ", 1, FAKE_HANG);
	for (unsigned i = 0; i < MAX_WORK_CONNECTIONS; i++)
	{
		caller_run (&world, &caller, "report", 0, "");
		g_assert_cmpint (caller.reason, ==, REASON_DEADLINE);
	}
	caller_prepare (&caller, "find", 0, "");
	caller.request.deadline_us = clock_now_us () + 2 * US_PER_S;
	caller_submit (&world, &caller);
	world_run (&world, 200 * US_PER_MS);
	/* The additional one is the monitor. */
	g_assert_cmpuint (world.next_number, ==, MAX_WORK_CONNECTIONS + 1);
	g_assert_cmpuint (caller.done, ==, 0);
	caller_wait (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	world_finish (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/owner_connections/shared_monitor", test_shared_monitor);
	g_test_add_func ("/owner_connections/refused_work", test_refused_work_connection);
	g_test_add_func ("/owner_connections/refused_monitor", test_refused_monitor);
	g_test_add_func ("/owner_connections/fence", test_fence);
	g_test_add_func ("/owner_connections/fence_answered_by_status", test_fence_answered_by_status);
	g_test_add_func ("/owner_connections/overdue", test_overdue_statements);
	return g_test_run ();
}
