#include "flamingospring/service_listener.h"

#include "common/counters.h"
#include "protocols/service.h"
#include "schema/generate.h"

#include <glib.h>
#include <stdlib.h>

enum
{
	LISTENER_MAX_CONNECTIONS = 65536,
};

struct service_call;

struct service_connection
{
	struct rpc_accepted accepted;
	struct service_call *calls;
};

/** A call without an answer. */
struct service_call
{
	struct service_call *next;
	struct service_connection *connection;
	uint32_t xid;
	uint32_t entry_handle; /**< Handle from entry_start(). */
	bool is_starting;      /**< entry_start() is running, which may answer synchronously. */
	bool is_done;
};

static struct service_listener *
connection_listener (const struct service_connection *connection)
{
	return connection->accepted.listener->data;
}

static void
call_unlink (struct service_call *call)
{
	struct service_call **link = &call->connection->calls;

	while (*link && *link != call)
		link = &(*link)->next;
	if (*link)
		*link = call->next;
	connection_listener (call->connection)->in_flight--;
}

static char *
text_or_empty (const char *text)
{
	return (char *) (text ? text : "");
}

static void
handle_done (void *data, const struct entry_answer *answer)
{
	struct service_call *call = data;
	struct fs_service_answer out = {
		.outcome = answer->outcome,
		.reason = (char *) reason_name (answer->reason),
		.message = text_or_empty (answer->message),
		.retry_after_ms = answer->retry_after_ms,
		.session = text_or_empty (answer->token),
	};

	if (answer->result)
	{
		out.columns.columns_len = answer->result->columns.columns_len;
		out.columns.columns_val = answer->result->columns.columns_val;
		out.cells.cells_len = answer->result->cells.cells_len;
		out.cells.cells_val = answer->result->cells.cells_val;
	}
	rpc_connection_reply (&call->connection->accepted.rpc, call->xid,
	                      (xdrproc_t) xdr_fs_service_answer, &out);
	call_unlink (call);
	call->is_done = true;
	if (!call->is_starting)
		free (call);
}

/** Finds a call by its program and procedure numbers. @return false when there is none. */
static bool
find_call (struct entry_set *entries, uint32_t program, uint32_t procedure, struct entry_call *call,
           uint32_t *param_count)
{
	const struct snapshot *snapshot = snapshot_acquire (entries->reader);
	const struct schema_call *found = NULL;

	for (size_t i = 0; snapshot && !found && i < snapshot->service_count; i++)
	{
		const struct schema_service *service = &snapshot->services[i]->schema;

		if (schema_program_number (service->name) != program)
			continue;
		found = schema_find_procedure (service, procedure);
		if (found)
		{
			call->service = g_strdup (service->name);
			call->call = g_strdup (found->name);
			*param_count = found->param_count;
		}
	}
	snapshot_release (entries->reader);
	return found != NULL;
}

static char *
text_or_null (const char *text)
{
	return text && text[0] ? g_strdup (text) : NULL;
}

static bool
decode_params (XDR *xdrs, struct entry_call *call, uint32_t count)
{
	call->params = g_new0 (char *, count + 1);
	for (uint32_t i = 0; i < count; i++)
	{
		fs_service_value value = NULL;

		if (!xdr_fs_service_value (xdrs, &value))
		{
			xdr_free ((xdrproc_t) xdr_fs_service_value, &value);
			return false;
		}
		call->params[i] = value ? g_strdup (*value) : NULL;
		call->param_count = i + 1;
		xdr_free ((xdrproc_t) xdr_fs_service_value, &value);
	}
	return true;
}

/** Decodes the context and @p count parameters. @return false when they are malformed. */
static bool
decode_call (XDR *xdrs, struct entry_call *call, uint32_t count)
{
	struct fs_service_context context = { 0 };
	bool is_valid = xdr_fs_service_context (xdrs, &context);

	if (is_valid)
	{
		call->operation = FS_OPERATION_CALL;
		call->request_id = text_or_null (context.request_id);
		call->tenant = text_or_null (context.tenant);
		call->token = text_or_null (context.session);
		call->timeout_ms = context.timeout_ms;
		is_valid = decode_params (xdrs, call, count);
	}
	xdr_free ((xdrproc_t) xdr_fs_service_context, &context);
	return is_valid;
}

static void
call_start (struct service_connection *connection, uint32_t xid, struct entry_call *entry_call)
{
	struct service_call *call = calloc (1, sizeof *call);

	if (!call)
	{
		entry_call_free (entry_call);
		rpc_connection_reject (&connection->accepted.rpc, xid, SYSTEM_ERR);
		return;
	}
	call->connection = connection;
	call->xid = xid;
	call->next = connection->calls;
	connection->calls = call;
	connection_listener (connection)->in_flight++;
	call->is_starting = true;
	call->entry_handle =
		entry_start (connection_listener (connection)->entries, entry_call, handle_done, call);
	call->is_starting = false;
	if (call->is_done)
		free (call);
}

static bool
handle_call (struct rpc_accepted *accepted, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *args)
{
	struct service_connection *connection = (struct service_connection *) accepted;
	struct rpc_connection *rpc = &accepted->rpc;
	struct entry_call *call;
	uint32_t param_count = 0;

	if (procedure == 0)
		return rpc_connection_reply (rpc, xid, (xdrproc_t) xdr_void, NULL) == 0;
	call = entry_call_new ();
	if (!find_call (connection_listener (connection)->entries, program, procedure, call,
	                &param_count))
	{
		entry_call_free (call);
		return rpc_connection_reject (rpc, xid, PROC_UNAVAIL) == 0;
	}
	if (!decode_call (args, call, param_count))
	{
		counter_add (COUNTER_RPC_MALFORMED, 1);
		entry_call_free (call);
		return rpc_connection_reject (rpc, xid, GARBAGE_ARGS) == 0;
	}
	call_start (connection, xid, call);
	return true;
}

static void
handle_closed (struct rpc_accepted *accepted)
{
	struct service_connection *connection = (struct service_connection *) accepted;
	struct service_listener *listener = connection_listener (connection);

	while (connection->calls)
	{
		struct service_call *call = connection->calls;

		connection->calls = call->next;
		listener->in_flight--;
		entry_cancel (listener->entries, call->entry_handle);
		free (call);
	}
}

static const struct rpc_listener_ops listener_ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

int
service_listener_init (struct service_listener *listener, struct loop *loop,
                       struct entry_set *entries, uint32_t ip, uint16_t port)
{
	const struct rpc_listener_settings settings = {
		.name = "service",
		.connection_bytes = sizeof (struct service_connection),
		.max_connections = LISTENER_MAX_CONNECTIONS,
		.ip = ip,
		.port = port,
	};

	listener->entries = entries;
	listener->in_flight = 0;
	return rpc_listener_init (&listener->connections, loop, &listener_ops, listener, &settings);
}

void
service_listener_refuse_connections (struct service_listener *listener)
{
	rpc_listener_stop_accepting (&listener->connections);
}

void
service_listener_finish (struct service_listener *listener)
{
	rpc_listener_finish (&listener->connections);
}
