#include "flamingospring/peer.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "decision/retry.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	PEER_MAX_CALLS = 65536,
	PEER_IDLE_TIMEOUT_US = 30 * US_PER_S,
	PEER_CHECK_INTERVAL_US = 150 * US_PER_MS, /* Interval of checks of a connection with calls. */
	/* Two lost packets in a row delay an answer by 600 ms (retransmitted after 200 and 400 ms). */
	PEER_SILENCE_TIMEOUT_US = 700 * US_PER_MS,
	PEER_GRACE_US = 100 * US_PER_MS, /* Added to the deadline before a call times out. */
	PEER_CIRCUIT_FAILURES = 1,       /* The standby takes over after the first failure. */
	PEER_CIRCUIT_OPEN_US = 500 * US_PER_MS,
};

/** A call on a connection. After a timeout or a cancellation, the call keeps its xid until the late
 * answer arrives or the connection ends, so that the answer is not taken for a newer call's. */
struct peer_call
{
	struct peer *peer;
	struct execution *execution; /**< NULL: a ping, or the call was abandoned. */
	struct peer_call *previous;
	struct peer_call *next;
	struct loop_timer timer;
	struct trace_span span;
	uint64_t end_offset; /**< Position in the sent bytes after this call's record. */
	uint32_t xid;
	bool is_ping;
};

/** Connection to another VM. */
struct peer
{
	struct peer_set *set;
	uint32_t vm;
	uint32_t ip;
	uint16_t port;
	bool is_open;
	bool is_broken; /**< Received a malformed message; the timer closes the connection. */
	struct rpc_connection connection;
	struct circuit circuit;
	struct loop_timer timer;
	struct peer_call *calls;
	uint32_t pending_executions;  /**< Calls with an execution. */
	uint32_t pending_pings;       /**< Pings without an answer. */
	uint64_t last_received_bytes; /**< Connection's received_bytes at the last check. */
	int64_t last_received_at_us;  /**< When data was last received, or the first call was sent. */
	int64_t last_used_at_us;      /**< When an execution last needed this VM. */
};

static struct peer_call *
call_new (struct peer *peer, struct execution *execution)
{
	struct peer_call **slot;
	struct peer_call *call = calloc (1, sizeof *call);

	if (!call)
		return NULL;
	call->xid = handle_table_add (&peer->set->calls);
	if (call->xid == HANDLE_NONE)
	{
		free (call);
		return NULL;
	}
	slot = handle_table_get (&peer->set->calls, call->xid);
	*slot = call;
	call->peer = peer;
	call->execution = execution;
	call->is_ping = !execution;
	call->next = peer->calls;
	if (peer->calls)
		peer->calls->previous = call;
	peer->calls = call;
	if (execution)
		peer->pending_executions++;
	else
		peer->pending_pings++;
	return call;
}

static void
call_free (struct peer_call *call)
{
	struct peer *peer = call->peer;

	loop_cancel_timer (peer->set->loop, &call->timer);
	if (call->execution)
		peer->pending_executions--;
	if (call->is_ping)
		peer->pending_pings--;
	if (call->next)
		call->next->previous = call->previous;
	if (call->previous)
		call->previous->next = call->next;
	else
		peer->calls = call->next;
	handle_table_remove (&peer->set->calls, call->xid);
	free (call);
}

/** Separates a call from its execution. The call itself is kept. @return the execution, or NULL. */
static struct execution *
call_detach (struct peer_call *call, enum execution_status status)
{
	struct execution *execution = call->execution;

	if (!execution)
		return NULL;
	call->execution = NULL;
	call->peer->pending_executions--;
	loop_cancel_timer (call->peer->set->loop, &call->timer);
	trace_span_end (&call->span, status == EXECUTION_ANSWERED ? "answered" : "not answered");
	if (status == EXECUTION_LOST || status == EXECUTION_TIMED_OUT)
		counter_add (COUNTER_FORWARDS_LOST, 1);
	execution->handle = 0;
	return execution;
}

/** Ends the execution of a call whose answer may still arrive. */
static void
call_abandon (struct peer_call *call, enum execution_status status)
{
	struct execution *execution = call_detach (call, status);

	if (execution)
		execution->handle_done (execution, status, NULL);
}

/** Closes the connection and ends its calls. */
static void
peer_close (struct peer *peer, int error)
{
	uint64_t sent = peer->connection.sent_bytes;
	bool was_used = peer->pending_executions > 0 || peer->pending_pings > 0;
	int64_t now_us = clock_now_us ();
	struct peer_call *calls = peer->calls;

	if (!peer->is_open)
		return;
	rpc_connection_finish (&peer->connection);
	peer->is_open = false;
	peer->is_broken = false;
	peer->calls = NULL;
	if (was_used)
	{
		circuit_report (&peer->circuit, false, now_us);
		log_event (LOG_LEVEL_WARN, "peer_lost", "vm=%u error=%d calls=%u", peer->vm, error,
		           peer->pending_executions);
	}
	loop_set_timer (peer->set->loop, &peer->timer, now_us + PEER_CIRCUIT_OPEN_US);
	/* Handlers may send new calls to this peer, so its list was cleared before. */
	while (calls)
	{
		struct peer_call *call = calls;

		calls = call->next;
		call_abandon (call, call->end_offset <= sent ? EXECUTION_LOST : EXECUTION_NOT_SENT);
		if (call->is_ping)
			peer->pending_pings--;
		handle_table_remove (&peer->set->calls, call->xid);
		free (call);
	}
}

/** Decodes a result, to be freed with xdr_free(). @return 0 or -EBADMSG. */
static int
result_decode (XDR *xdrs, struct fs_execute_result *result)
{
	memset (result, 0, sizeof *result);
	if (xdr_fs_execute_result (xdrs, result) && result->outcome >= OUTCOME_DONE &&
	    result->outcome <= OUTCOME_UNKNOWN)
		return 0;
	xdr_free ((xdrproc_t) xdr_fs_execute_result, result);
	return -EBADMSG;
}

/** Ends a call with its answer. The call is freed first, since the handler may close the peer. */
static void
call_complete (struct peer_call *call, int status, XDR *xdrs)
{
	struct peer *peer = call->peer;
	/* A peer that rejects an RPC call has not run the execution, except after a SYSTEM_ERR. */
	enum execution_status outcome = status == -EPROTO ? EXECUTION_NOT_SENT
	                                : status < 0      ? EXECUTION_LOST
	                                                  : EXECUTION_ANSWERED;
	struct fs_execute_result result;
	struct execution *execution;

	if (outcome == EXECUTION_ANSWERED && result_decode (xdrs, &result) < 0)
	{
		counter_add (COUNTER_RPC_MALFORMED, 1);
		peer->is_broken = true;
		loop_set_timer (peer->set->loop, &peer->timer, clock_now_us ());
		outcome = EXECUTION_LOST;
	}
	execution = call_detach (call, outcome);
	call_free (call);
	execution->handle_done (execution, outcome, outcome == EXECUTION_ANSWERED ? &result : NULL);
	if (outcome == EXECUTION_ANSWERED)
		xdr_free ((xdrproc_t) xdr_fs_execute_result, &result);
}

static void
handle_reply (struct rpc_connection *connection, uint32_t xid, int status, XDR *xdrs)
{
	struct peer *peer = connection->data;
	struct peer_call **slot = handle_table_get (&peer->set->calls, xid);
	struct peer_call *call = slot ? *slot : NULL;

	/* The xid is unknown, belongs to another connection, or its call was abandoned. */
	if (!call || call->peer != peer || (!call->execution && !call->is_ping))
	{
		counter_add (COUNTER_LATE_ANSWERS, 1);
		if (call && call->peer == peer)
			call_free (call);
		return;
	}
	if (peer->is_broken)
		return;
	if (peer->circuit.state != CIRCUIT_CLOSED)
		circuit_report (&peer->circuit, true, clock_now_us ());
	if (call->is_ping)
		call_free (call);
	else
		call_complete (call, status, xdrs);
}

static void
handle_closed (struct rpc_connection *connection, int error)
{
	peer_close (connection->data, error);
}

static const struct rpc_connection_ops peer_connection_ops = {
	.handle_reply = handle_reply,
	.handle_closed = handle_closed,
};

static int
peer_open (struct peer *peer, int64_t now_us)
{
	int result;

	if (peer->is_open)
		return 0;
	result = rpc_connection_connect (&peer->connection, peer->set->loop, &peer_connection_ops, peer,
	                                 peer->ip, peer->port, peer->set->source_ip);
	if (result < 0)
		return result;
	peer->is_open = true;
	peer->last_received_at_us = now_us;
	peer->last_received_bytes = 0;
	return loop_set_timer (peer->set->loop, &peer->timer, now_us + PEER_CHECK_INTERVAL_US);
}

static void
peer_ping (struct peer *peer)
{
	struct peer_call *call = call_new (peer, NULL);

	if (!call)
		return;
	if (rpc_connection_call (&peer->connection, call->xid, FS_PEER_PROGRAM, FS_PEER_VERSION,
	                         FS_PEER_NULL, (xdrproc_t) xdr_void, NULL) < 0)
	{
		call_free (call);
		return;
	}
	call->end_offset = peer->connection.sent_bytes + peer->connection.out_length;
}

static bool
peer_is_idle (const struct peer *peer, int64_t now_us)
{
	return peer->pending_executions == 0 &&
	       now_us - peer->last_used_at_us > peer->set->idle_timeout_us;
}

/** Probes a failed VM with a ping while executions need it, instead of risking a request. */
static void
peer_probe (struct peer *peer, int64_t now_us)
{
	if (circuit_allows (&peer->circuit, now_us) && peer_open (peer, now_us) == 0)
		peer_ping (peer);
	else
		loop_set_timer (peer->set->loop, &peer->timer, now_us + PEER_CIRCUIT_OPEN_US);
}

/** Checks a connection with calls, and closes it when nothing was received for too long. */
static void
peer_check (struct peer *peer, int64_t now_us)
{
	if (peer->connection.received_bytes != peer->last_received_bytes)
	{
		peer->last_received_bytes = peer->connection.received_bytes;
		peer->last_received_at_us = now_us;
	}
	if (now_us - peer->last_received_at_us > PEER_SILENCE_TIMEOUT_US)
	{
		peer_close (peer, -ETIMEDOUT);
		return;
	}
	if (peer->pending_pings == 0 && now_us - peer->last_received_at_us >= PEER_CHECK_INTERVAL_US)
		peer_ping (peer);
	loop_set_timer (peer->set->loop, &peer->timer, now_us + PEER_CHECK_INTERVAL_US);
}

static void
handle_peer_timer (struct loop_timer *timer, int64_t now_us)
{
	struct peer *peer = timer->data;

	if (peer->is_broken)
		peer_close (peer, -EBADMSG);
	else if (peer_is_idle (peer, now_us))
		g_hash_table_remove (peer->set->peers, GUINT_TO_POINTER (peer->vm));
	else if (!peer->is_open && peer->circuit.state != CIRCUIT_CLOSED)
		peer_probe (peer, now_us);
	else if (peer->is_open && (peer->pending_executions > 0 || peer->pending_pings > 0))
		peer_check (peer, now_us);
	else
		loop_set_timer (peer->set->loop, &peer->timer,
		                peer->last_used_at_us + peer->set->idle_timeout_us + 1);
}

static struct peer *
peer_find (const struct peer_set *set, uint32_t vm)
{
	return g_hash_table_lookup (set->peers, GUINT_TO_POINTER (vm));
}

static struct peer *
peer_add (struct peer_set *set, uint32_t vm, uint32_t ip, uint16_t port)
{
	struct peer *peer = g_new0 (struct peer, 1);

	peer->set = set;
	peer->vm = vm;
	peer->ip = ip;
	peer->port = port;
	peer->timer.handle_timer = handle_peer_timer;
	peer->timer.data = peer;
	circuit_init (&peer->circuit, PEER_CIRCUIT_FAILURES, PEER_CIRCUIT_OPEN_US);
	g_hash_table_insert (set->peers, GUINT_TO_POINTER (vm), peer);
	return peer;
}

static void
peer_free (gpointer data)
{
	struct peer *peer = data;

	peer_close (peer, 0);
	loop_cancel_timer (peer->set->loop, &peer->timer);
	g_free (peer);
}

int
peer_set_init (struct peer_set *set, struct loop *loop, uint64_t seed)
{
	memset (set, 0, sizeof *set);
	set->loop = loop;
	set->random_state = seed;
	set->idle_timeout_us = PEER_IDLE_TIMEOUT_US;
	set->peers = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, peer_free);
	return handle_table_init (&set->calls, sizeof (struct peer_call *), PEER_MAX_CALLS);
}

void
peer_set_finish (struct peer_set *set)
{
	g_hash_table_destroy (set->peers);
	handle_table_finish (&set->calls);
}

static void
handle_call_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	call_abandon (timer->data, EXECUTION_TIMED_OUT);
}

static int
call_send (struct peer_call *call, const struct execution *execution)
{
	struct rpc_connection *connection = &call->peer->connection;
	struct fs_execute_args args = *execution->args;
	char traceparent[TRACEPARENT_BYTES];
	int result;

	call->span =
		trace_span_start (&execution->trace, "peer", random_next (&call->peer->set->random_state));
	trace_context_format (&call->span.context, traceparent);
	args.traceparent = traceparent;
	result = rpc_connection_call (connection, call->xid, FS_PEER_PROGRAM, FS_PEER_VERSION,
	                              FS_PEER_EXECUTE, (xdrproc_t) xdr_fs_execute_args, &args);
	if (result < 0)
		return result;
	call->end_offset = connection->sent_bytes + connection->out_length;
	call->timer.handle_timer = handle_call_timer;
	call->timer.data = call;
	return loop_set_timer (call->peer->set->loop, &call->timer,
	                       execution->deadline_us + PEER_GRACE_US);
}

/** @return 0, or a negative error number when nothing was sent. */
static int
peer_send (struct peer *peer, struct execution *execution, int64_t now_us)
{
	struct peer_call *call;
	int result = peer_open (peer, now_us);

	if (result < 0)
	{
		circuit_report (&peer->circuit, false, now_us);
		loop_set_timer (peer->set->loop, &peer->timer, now_us + PEER_CIRCUIT_OPEN_US);
		return result;
	}
	if (peer->pending_executions == 0)
	{
		peer->last_received_at_us = now_us;
		loop_set_timer (peer->set->loop, &peer->timer, now_us + PEER_CHECK_INTERVAL_US);
	}
	call = call_new (peer, execution);
	if (!call)
		return -ENOMEM;
	result = call_send (call, execution);
	if (result < 0)
	{
		call_free (call);
		return result;
	}
	execution->handle = call->xid;
	return 0;
}

void
peer_set_execute (struct peer_set *set, struct execution *execution, uint32_t ip, uint16_t port)
{
	struct peer *peer = peer_find (set, execution->vm);
	int64_t now_us = clock_now_us ();

	if (!peer)
		peer = peer_add (set, execution->vm, ip, port);
	if (peer->ip != ip || peer->port != port)
	{
		/* The VM was replaced by another one with the same id. */
		peer_close (peer, -ESTALE);
		peer->ip = ip;
		peer->port = port;
		circuit_init (&peer->circuit, PEER_CIRCUIT_FAILURES, PEER_CIRCUIT_OPEN_US);
	}
	peer->last_used_at_us = now_us;
	if (peer_send (peer, execution, now_us) < 0)
	{
		execution->handle_done (execution, EXECUTION_NOT_SENT, NULL);
		return;
	}
	counter_add (COUNTER_FORWARDS, 1);
}

void
peer_set_cancel (struct peer_set *set, struct execution *execution)
{
	struct peer_call **slot = handle_table_get (&set->calls, (uint32_t) execution->handle);

	if (slot && (*slot)->execution == execution)
		call_abandon (*slot, EXECUTION_CANCELLED);
}

bool
peer_set_is_down (struct peer_set *set, uint32_t vm, int64_t now_us)
{
	struct peer *peer = peer_find (set, vm);

	if (!peer || peer->circuit.state == CIRCUIT_CLOSED)
		return false;
	/* Probes continue as long as executions need the VM. */
	peer->last_used_at_us = now_us;
	return true;
}

uint32_t
peer_set_in_flight (const struct peer_set *set)
{
	GHashTableIter iterator;
	gpointer peer;
	uint32_t count = 0;

	g_hash_table_iter_init (&iterator, set->peers);
	while (g_hash_table_iter_next (&iterator, NULL, &peer))
		count += ((struct peer *) peer)->pending_executions;
	return count;
}
