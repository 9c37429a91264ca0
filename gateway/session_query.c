#include "gateway/traffic_private.h"

#include "platform/wire.h"

#include <string.h>

enum
{
	SESSION_MAX_VALUES = 64,
	SESSION_MAX_PREPARED = 256,
	/* Of values, and of names and texts of prepared statements; one message of the largest size fits. */
	SESSION_MAX_KEPT_BYTES = 2 * 1024 * 1024,
	/* Another VM sends those of all its sessions. */
	RELAY_MAX_KEPT_BYTES = 8 * 1024 * 1024,
};

/** Applies route and tenant to a new operation. @return false when the caller was refused. */
static bool
begin_operation (struct session *session)
{
	enum answer_code code;

	if (session->is_ending)
	{
		session_refuse (session, ANSWER_OVERLOADED, "this VM ends the session", 0);
		return false;
	}
	code = session_resolve_route (session);
	if (code == ANSWER_DONE)
	{
		if (session->tenant)
			session->tenant->operations++;
		return true;
	}
	session_fail (session, code,
	              code == ANSWER_UNAUTHORIZED ? "the key is not known" : "no route has this name");
	return false;
}

static void
handle_begin (struct session *session)
{
	if (session->state != TRANSACTION_NONE)
	{
		session_fail (session, ANSWER_MALFORMED, "a transaction is open");
		return;
	}
	if (!begin_operation (session))
		return;
	session->cap_state = CAP_NONE;
	session->state = TRANSACTION_OPEN;
	session->is_read_only = session->request.statement.kind == STATEMENT_BEGIN_READ;
	session->is_started = false;
	session->has_written = false;
	session->is_aborted = false;
	session->began_us = session->request.arrived_us;
	session_complete (session);
}

static void
handle_rollback (struct session *session)
{
	session_end_transaction (session);
	session_complete (session);
}

/** Bytes that a session may keep of each kind. */
static size_t
max_kept_bytes (const struct session *session)
{
	if (session->traffic->budget.limit_bytes == 0)
		return SIZE_MAX;
	return session->is_relay ? RELAY_MAX_KEPT_BYTES : SESSION_MAX_KEPT_BYTES;
}

bool
session_set_value (struct session *session, const struct statement *statement)
{
	struct byte_string *name = byte_string_new (statement->name);
	struct byte_string *held = g_hash_table_lookup (session->values, name);
	size_t bytes = session->value_bytes + statement->arguments.length;

	if (held)
		bytes -= held->length;
	else
		bytes += statement->name.length + TABLE_ENTRY_BYTES;
	if (bytes > max_kept_bytes (session))
	{
		g_free (name);
		return false;
	}
	session->value_bytes = bytes;
	g_hash_table_replace (session->values, name, byte_string_new (statement->arguments));
	return true;
}

static size_t
prepared_bytes (size_t name_bytes, const struct prepared_shape *shape)
{
	return name_bytes + shape->shape->length + TABLE_ENTRY_BYTES;
}

bool
session_set_prepared (struct session *session, const struct statement *statement)
{
	struct prepared_shape *shape =
		gateway_traffic_get_shape (session->traffic, statement->arguments, statement->is_write);
	size_t name_bytes = statement->name.length;
	struct byte_string *name = byte_string_new (statement->name);
	const struct prepared_shape *held = g_hash_table_lookup (session->prepared, name);
	size_t bytes = session->shape_bytes + (shape ? prepared_bytes (name_bytes, shape) : 0);

	if (held)
		bytes -= prepared_bytes (name_bytes, held);
	if (!shape || bytes > max_kept_bytes (session))
	{
		g_free (name);
		return false;
	}
	session->shape_bytes = bytes;
	if (!held)
		session->name_bytes += name_bytes + TABLE_ENTRY_BYTES;
	g_hash_table_replace (session->prepared, name, shape);
	return true;
}

static void
handle_set (struct session *session)
{
	if (g_hash_table_size (session->values) >= SESSION_MAX_VALUES)
	{
		session_fail (session, ANSWER_OVERLOADED, "too many session values");
		return;
	}
	if (session_set_value (session, &session->request.statement))
		session_complete (session);
	else
		session_fail (session, ANSWER_OVERLOADED, "too large session values");
}

/** Whether a server takes the statement under the gateway's name of its text, which may be longer than the caller's. */
static bool
fits_renamed (const struct session *session)
{
	const struct request *request = &session->request;
	size_t name_bytes = sizeof ((struct prepared_shape *) NULL)->name;

	return wire_query_fits (request->id->len,
	                        request->text->len - request->statement.name.length + name_bytes);
}

static void
handle_prepare (struct session *session)
{
	if (!fits_renamed (session))
	{
		session_fail (session, ANSWER_MALFORMED, "the statement is too long");
		return;
	}
	if (g_hash_table_size (session->prepared) >= SESSION_MAX_PREPARED)
	{
		session_fail (session, ANSWER_OVERLOADED, "too many prepared statements");
		return;
	}
	if (session_set_prepared (session, &session->request.statement))
		session_complete (session);
	else
		session_fail (session, ANSWER_OVERLOADED, "too large prepared statements");
}

static void
handle_deallocate (struct session *session)
{
	const struct statement *statement = &session->request.statement;
	struct byte_string *name = byte_string_new (statement->name);
	const struct prepared_shape *held = g_hash_table_lookup (session->prepared, name);

	if (held)
	{
		session->shape_bytes -= prepared_bytes (statement->name.length, held);
		session->name_bytes -= statement->name.length + TABLE_ENTRY_BYTES;
	}
	g_hash_table_remove (session->prepared, name);
	g_free (name);
	if (held)
		session_complete (session);
	else
		session_fail (session, ANSWER_UNKNOWN_STATEMENT, "no such prepared statement");
}

/** Finds the prepared statement of an EXECUTE. @return false when the name is unknown. */
bool
session_find_shape (struct session *session)
{
	struct request *request = &session->request;
	struct byte_string *name;

	if (request->statement.kind != STATEMENT_EXECUTE)
		return true;
	name = byte_string_new (request->statement.name);
	request->shape = g_hash_table_lookup (session->prepared, name);
	g_free (name);
	return request->shape != NULL;
}

/** Runs the statement on the transaction's connection, or queues it. */
void
session_run_statement (struct session *session, int64_t now_us)
{
	if (session->connection)
		session_run (session, session->connection, now_us);
	else
		session_enqueue (session, now_us);
}

/** Handles statements that a server executes. */
static void
handle_statement (struct session *session, int64_t now_us)
{
	struct request *request = &session->request;

	if (!session_find_shape (session))
	{
		session_fail (session, ANSWER_UNKNOWN_STATEMENT, "no such prepared statement");
		return;
	}
	if (request->shape && !fits_renamed (session))
	{
		session_fail (session, ANSWER_MALFORMED, "the statement is too long");
		return;
	}
	if (session->state == TRANSACTION_NONE)
	{
		if (!begin_operation (session))
			return;
		session->cap_state = CAP_NONE;
	}
	request->deadline_us = now_us + (int64_t) session->statement_timeout_ms * US_PER_MS;
	if (session->is_started || tenant_caps_take (session, now_us))
		session_run_statement (session, now_us);
}

/** Handles statements in a failed transaction, which only COMMIT and ROLLBACK may end. */
static void
handle_failed_transaction (struct session *session)
{
	switch (session->request.statement.kind)
	{
	case STATEMENT_ROLLBACK:
		handle_rollback (session);
		break;
	case STATEMENT_COMMIT:
		session_end_transaction (session);
		session_fail (session, ANSWER_ROLLED_BACK, "the transaction had failed");
		break;
	default:
		session_fail (session, ANSWER_MALFORMED, "the transaction has failed");
		break;
	}
}

void
session_handle_query (struct session *session, int64_t now_us)
{
	if (session->state == TRANSACTION_FAILED)
	{
		handle_failed_transaction (session);
		return;
	}
	if (session->is_aborted && session->request.statement.kind != STATEMENT_ROLLBACK)
	{
		session_fail (session, ANSWER_ROLLED_BACK, "the transaction was rolled back");
		return;
	}
	switch (session->request.statement.kind)
	{
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ:
		handle_begin (session);
		break;
	case STATEMENT_ROLLBACK:
		handle_rollback (session);
		break;
	case STATEMENT_SET:
		handle_set (session);
		break;
	case STATEMENT_PREPARE:
		handle_prepare (session);
		break;
	case STATEMENT_DEALLOCATE:
		handle_deallocate (session);
		break;
	case STATEMENT_COMMIT:
		if (session->state != TRANSACTION_OPEN)
		{
			session_fail (session, ANSWER_MALFORMED, "no transaction is open");
			return;
		}
		handle_statement (session, now_us);
		break;
	case STATEMENT_READ:
	case STATEMENT_WRITE:
	case STATEMENT_EXECUTE:
		handle_statement (session, now_us);
		break;
	case STATEMENT_RESET:
	case STATEMENT_SAMPLE:
	case STATEMENT_CONTROL:
	case STATEMENT_INVALID:
		session_fail (session, ANSWER_MALFORMED, "not a statement");
		break;
	}
}
