#include "common/clock.h"
#include "common/counters.h"
#include "flamingospring/control_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Calls between control threads are rare (pulls, opinions, announcements), so each one opens a
 * connection, which is closed after the answer. */
struct control_call
{
	struct rpc_connection connection;
	struct control_call *next;
	struct control *control;
	struct control_call_request request;
	struct loop_timer timer;
	uint32_t xid;
	void *result;
};

static void
call_complete (struct control_call *call, int status)
{
	struct control *control = call->control;

	loop_cancel_timer (&control->loop, &call->timer);
	counter_add (COUNTER_CONTROL_SENT_BYTES, (int64_t) call->connection.sent_bytes);
	counter_add (COUNTER_CONTROL_RECEIVED_BYTES, (int64_t) call->connection.received_bytes);
	call->request.handle (control, call->request.data, status, status < 0 ? NULL : call->result);
	if (status == 0)
		xdr_free (call->request.decode, call->result);
	/* Marks the connection as closed, so that it is not used after the call is freed. */
	rpc_connection_finish (&call->connection);
	free (call->result);
	call->result = NULL;
	/* The connection's functions may still be on the stack, so the timer frees the call. */
	loop_set_timer (&control->loop, &call->timer, clock_now_us ());
}

static void
call_free (struct control_call *call)
{
	struct control_call **link = &call->control->calls;

	while (*link && *link != call)
		link = &(*link)->next;
	if (*link)
		*link = call->next;
	free (call);
}

static void
handle_call_timer (struct loop_timer *timer, int64_t now_us)
{
	struct control_call *call = timer->data;

	(void) now_us;
	if (call->result)
		call_complete (call, -ETIMEDOUT);
	else
		call_free (call);
}

static void
handle_reply (struct rpc_connection *connection, uint32_t xid, int status, XDR *result)
{
	struct control_call *call = connection->data;

	if (!call->result)
		return;
	if (xid != call->xid)
	{
		counter_add (COUNTER_LATE_ANSWERS, 1);
		return;
	}
	if (status == 0 && !call->request.decode (result, call->result))
	{
		xdr_free (call->request.decode, call->result);
		status = -EPROTO;
	}
	call_complete (call, status);
}

static void
handle_closed (struct rpc_connection *connection, int error)
{
	struct control_call *call = connection->data;

	if (call->result)
		call_complete (call, error < 0 ? error : -ECONNRESET);
}

static const struct rpc_connection_ops call_ops = {
	.handle_reply = handle_reply,
	.handle_closed = handle_closed,
};

int
control_call_start (struct control *control, const struct control_call_request *request)
{
	struct control_call *call = calloc (1, sizeof *call);
	int result = -ENOMEM;

	if (!call)
		return -ENOMEM;
	call->control = control;
	call->request = *request;
	call->timer.handle_timer = handle_call_timer;
	call->timer.data = call;
	call->result = calloc (1, request->result_size ? request->result_size : 1);
	if (!call->result)
		goto fail;
	result = rpc_connection_connect (&call->connection, &control->loop, &call_ops, call,
	                                 request->ip, request->port, control->settings->source_ip);
	if (result < 0)
		goto fail;
	call->xid = ++control->last_call_xid;
	result = rpc_connection_call (&call->connection, call->xid, request->program, 1,
	                              request->procedure, request->encode, request->args);
	if (result < 0)
		goto fail_connection;
	loop_set_timer (&control->loop, &call->timer, clock_now_us () + CONTROL_CALL_TIMEOUT_US);
	call->next = control->calls;
	control->calls = call;
	return 0;

fail_connection:
	rpc_connection_finish (&call->connection);
fail:
	free (call->result);
	free (call);
	return result;
}

void
control_calls_finish (struct control *control)
{
	while (control->calls)
	{
		struct control_call *call = control->calls;

		control->calls = call->next;
		loop_cancel_timer (&control->loop, &call->timer);
		rpc_connection_finish (&call->connection);
		free (call->result);
		free (call);
	}
}
