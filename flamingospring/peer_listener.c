#include "common/clock.h"
#include "flamingospring/peer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	/* For one thread: enough for a fleet of 750 VMs with several threads each. */
	LISTENER_MAX_CONNECTIONS = 4096,
	LISTENER_MAX_BUDGET_MS = 3600000,
};

/** Connection accepted from another VM. */
struct peer_connection
{
	struct rpc_accepted accepted;
	struct incoming_call *calls;
};

/** A call from another VM that runs in this one. */
struct incoming_call
{
	struct execution execution;
	struct fs_execute_args args;
	struct peer_listener *listener;
	struct peer_connection *connection; /**< NULL: closed in the meantime. */
	struct incoming_call *previous;
	struct incoming_call *next;
	uint32_t xid;
};

static void
call_unlink (struct incoming_call *call)
{
	if (!call->connection)
		return;
	if (call->next)
		call->next->previous = call->previous;
	if (call->previous)
		call->previous->next = call->next;
	else
		call->connection->calls = call->next;
	call->connection = NULL;
}

static void
call_link (struct incoming_call *call, struct peer_connection *connection)
{
	call->connection = connection;
	call->next = connection->calls;
	if (connection->calls)
		connection->calls->previous = call;
	connection->calls = call;
}

/** Sends a result, or the result without its rows when it exceeds the record limit. */
static void
connection_answer (struct peer_connection *connection, uint32_t xid,
                   const struct fs_execute_result *result)
{
	struct fs_execute_result truncated;
	int error = rpc_connection_reply (&connection->accepted.rpc, xid,
	                                  (xdrproc_t) xdr_fs_execute_result, result);

	if (error != -EMSGSIZE)
		return;
	truncated = *result;
	truncated.message = (char *) "the rows exceed the largest answer";
	memset (&truncated.columns, 0, sizeof truncated.columns);
	memset (&truncated.cells, 0, sizeof truncated.cells);
	/* A write keeps its outcome, since it was applied. */
	if (truncated.outcome == OUTCOME_DONE && truncated.written.term == 0)
	{
		truncated.outcome = OUTCOME_FAILED;
		truncated.reason = REASON_STATEMENT;
	}
	rpc_connection_reply (&connection->accepted.rpc, xid, (xdrproc_t) xdr_fs_execute_result,
	                      &truncated);
}

static void
handle_done (struct execution *execution, enum execution_status status,
             const struct fs_execute_result *result)
{
	struct incoming_call *call = execution->data;
	struct peer_connection *connection = call->connection;
	struct fs_execute_result unknown =
		execution_result (OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, "the owner gave no answer");

	call_unlink (call);
	if (connection)
		connection_answer (connection, call->xid, status == EXECUTION_ANSWERED ? result : &unknown);
	call->listener->in_flight--;
	xdr_free ((xdrproc_t) xdr_fs_execute_args, &call->args);
	free (call);
}

/** Starts a call. @return false when the arguments are malformed or when out of memory. */
static bool
connection_execute (struct peer_connection *connection, uint32_t xid, XDR *xdrs)
{
	struct peer_listener *listener = connection->accepted.listener->data;
	struct incoming_call *call = calloc (1, sizeof *call);
	uint32_t budget_ms;

	if (!call)
		return false;
	if (!xdr_fs_execute_args (xdrs, &call->args) ||
	    (unsigned) call->args.operation > FS_OPERATION_SETTLE)
	{
		xdr_free ((xdrproc_t) xdr_fs_execute_args, &call->args);
		free (call);
		return false;
	}
	budget_ms = call->args.budget_ms;
	if (budget_ms > LISTENER_MAX_BUDGET_MS)
		budget_ms = LISTENER_MAX_BUDGET_MS;
	call->listener = listener;
	call->xid = xid;
	call->execution.args = &call->args;
	call->execution.trace = trace_context_parse (call->args.traceparent, xid);
	call->execution.deadline_us = clock_now_us () + (int64_t) budget_ms * US_PER_MS;
	call->execution.handle_done = handle_done;
	call->execution.data = call;
	call_link (call, connection);
	listener->in_flight++;
	listener->ops->execute (listener->transport, &call->execution);
	return true;
}

static bool
handle_call (struct rpc_accepted *accepted, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *args)
{
	struct peer_connection *connection = (struct peer_connection *) accepted;

	if (program == FS_PEER_PROGRAM && procedure == FS_PEER_EXECUTE)
		return connection_execute (connection, xid, args);
	if (program == FS_PEER_PROGRAM && procedure == FS_PEER_NULL)
		return rpc_connection_reply (&accepted->rpc, xid, (xdrproc_t) xdr_void, NULL) == 0;
	return rpc_connection_reject (&accepted->rpc, xid, PROC_UNAVAIL) == 0;
}

static void
handle_closed (struct rpc_accepted *accepted)
{
	struct peer_connection *connection = (struct peer_connection *) accepted;
	struct peer_listener *listener = accepted->listener->data;

	while (connection->calls)
	{
		struct incoming_call *call = connection->calls;

		call_unlink (call);
		listener->ops->cancel (listener->transport, &call->execution);
	}
}

static const struct rpc_listener_ops listener_ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

int
peer_listener_init (struct peer_listener *listener, struct loop *loop,
                    const struct execution_ops *ops, void *transport, uint32_t ip, uint16_t port)
{
	const struct rpc_listener_settings settings = {
		.name = "peer",
		.connection_bytes = sizeof (struct peer_connection),
		.max_connections = LISTENER_MAX_CONNECTIONS,
		.ip = ip,
		.port = port,
	};
	int result;

	listener->ops = ops;
	listener->transport = transport;
	listener->in_flight = 0;
	result = rpc_listener_init (&listener->connections, loop, &listener_ops, listener, &settings);
	if (result < 0)
		rpc_listener_finish (&listener->connections);
	return result;
}

void
peer_listener_finish (struct peer_listener *listener)
{
	rpc_listener_finish (&listener->connections);
}

uint32_t
peer_listener_in_flight (const struct peer_listener *listener)
{
	return listener->in_flight;
}

uint32_t
peer_listener_unsent (const struct peer_listener *listener)
{
	return rpc_listener_count_unsent (&listener->connections);
}
