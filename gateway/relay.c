/**
 * @file
 * The owner's side of statement forwarding: sessions of other VMs, each for one server.
 *
 * The other VMs use the servers' protocol, as if the owner were the server with an unlimited number of connections.
 * Session values, prepared statements and BEGIN are kept here until a statement needs a connection to the server, so
 * that the other VM can send all of them at once.
 */
#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "gateway/traffic_metrics.h"
#include "platform/wire.h"

#include <string.h>

/**
 * Ends a request.
 * @param position position in the server's answer, which the other VM dates to its sending of the statement; NULL: none.
 */
static void
relay_answer (struct session *session, enum transaction_state state,
              const struct log_position *position)
{
	struct server *server = session->relay_server;

	session->state = state;
	if (server)
	{
		struct load_report load = server_measure_load (server, clock_now_us ());

		wire_encode_ready_with_load (session->stream.out, state, position, &load);
	}
	else
		wire_encode_ready (session->stream.out, state, position);
	session_answered (session);
}

static void
relay_complete (struct session *session)
{
	wire_encode_complete (session->stream.out);
	relay_answer (session, session->state, NULL);
}

void
relay_refuse (struct session *session, enum answer_code code, const char *message)
{
	bool had_begun = session->state == TRANSACTION_OPEN && session->is_started;

	if (session->service)
		service_remove (session->service, session);
	if (log_request_allowed (LOG_REQUEST_FAILED))
		log_request (LOG_REQUEST_FAILED, "forward_refused",
		             "request=%s caller=%s priority=%u outcome=%s cause=%s waited_ms=%lld "
		             "predicted_ms=%lld running=%u",
		             log_text_bytes (session->request.id->str, session->request.id->len),
		             log_text_quoted (session->database), session->priority,
		             answer_code_name (code), log_text_quoted (message),
		             (long long) (clock_now_us () - session->request.arrived_us) / US_PER_MS,
		             (long long) session->request.predicted_us / US_PER_MS,
		             session->relay_server ? session->relay_server->running_count : 0);
	wire_encode_error (session->stream.out, code, message);
	session_end_transaction (session);
	relay_answer (session, had_begun ? TRANSACTION_FAILED : TRANSACTION_NONE, NULL);
}

void
relay_give_up (struct session *session, const char *cause)
{
	struct connection *connection = session->connection;

	/* The server may still run the statement, so its connection is not reused. */
	if (connection)
	{
		connection->session = NULL;
		session->connection = NULL;
		connection_close (connection);
	}
	/* Without a request, the next statement is told that the transaction was rolled back. */
	if (!session->request.is_active)
	{
		session->is_aborted = session->state == TRANSACTION_OPEN;
		return;
	}
	/* Only the forwarding VM knows when the statement takes effect. */
	relay_refuse (session, answer_code_of_delivery (session->request.delivery), cause);
}

/** Finds the server that the greeting names. */
static struct server *
find_server (const struct session *session)
{
	const char *blank = strchr (session->database, ' ');
	struct server *server =
		blank ? g_hash_table_lookup (session->traffic->servers, blank + 1) : NULL;

	return server && server->is_listed ? server : NULL;
}

static void
refuse_greeting (struct session *session, enum answer_code code, const char *message)
{
	wire_encode_error (session->stream.out, code, message);
	line_stream_flush (&session->stream);
	session_close (session);
}

void
relay_greet (struct session *session, int64_t now_us)
{
	/* After a restart, other VMs may connect before the directory of servers has been read. */
	enum
	{
		UNKNOWN_SERVER_US = 400 * US_PER_MS,
	};

	session->relay_server = find_server (session);
	session->is_starting =
		!session->relay_server && now_us - session->active_us < UNKNOWN_SERVER_US;
	if (session->is_starting)
		return;
	if (!session->relay_server)
	{
		refuse_greeting (session, ANSWER_WRONG_SERVER, "the server is not known here");
		return;
	}
	if (session->relay_server->failed_us > 0)
	{
		refuse_greeting (session, ANSWER_OVERLOADED, "the server does not answer");
		return;
	}
	session->service = session->relay_server->service;
	session->is_greeted = true;
	wire_encode_ready (session->stream.out, TRANSACTION_NONE, NULL);
	line_stream_flush (&session->stream);
}

void
relay_handle_start (struct session *session, const struct caller_message *message)
{
	/* "VM SERVER". The service needs no check, since the id identifies the server. */
	session->database = g_strndup (message->caller.start, message->caller.length);
	relay_greet (session, clock_now_us ());
}

static void
handle_begin (struct session *session, const struct caller_message *message)
{
	if (session->state != TRANSACTION_NONE)
	{
		relay_refuse (session, ANSWER_MALFORMED, "a transaction is open");
		return;
	}
	if (session->is_ending)
	{
		relay_refuse (session, ANSWER_OVERLOADED, "this VM ends the session");
		return;
	}
	session->state = TRANSACTION_OPEN;
	session->is_read_only = session->request.statement.kind == STATEMENT_BEGIN_READ;
	session->is_started = false;
	session->is_aborted = false;
	session->relay_after = message->has_after ? message->after : (struct log_position){ 0, 0 };
	relay_complete (session);
}

static void
handle_reset (struct session *session)
{
	g_hash_table_remove_all (session->values);
	g_hash_table_remove_all (session->prepared);
	session->value_bytes = 0;
	session->shape_bytes = 0;
	session->name_bytes = 0;
	relay_complete (session);
}

/** Returns the last sample of the primary's position, which covers the commits that all VMs made before it. */
static void
handle_sample (struct session *session, int64_t now_us)
{
	struct service *service = session->service;
	int64_t sampled_us = position_history_last_us (&service->history);
	struct log_position position;

	service->last_used_us = now_us;
	if (service->primary == session->relay_server && service_can_use_primary (service, now_us) &&
	    position_history_find (&service->history, sampled_us, &position))
		wire_encode_sample (session->stream.out, (uint64_t) (now_us - sampled_us), position);
	relay_complete (session);
}

/**
 * Applies the tenant of a forwarded statement; that of a transaction does not change.
 * @return false when the configuration in force here does not have it, which may be older than that of the other VM.
 */
static bool
find_tenant (struct session *session, const struct caller_message *message)
{
	char *name;

	if (session->is_started)
		return true;
	session->tenant = NULL;
	/* Status and demotion. */
	session->takes_any_tenant = session->request.statement.kind == STATEMENT_CONTROL;
	if (session->takes_any_tenant || message->tenant.length == 0)
		return true;
	name = g_strndup (message->tenant.start, message->tenant.length);
	session->tenant = tenant_table_find (session->traffic->tenants, name);
	g_free (name);
	return session->tenant != NULL;
}

static void
handle_statement (struct session *session, const struct caller_message *message, int64_t now_us)
{
	struct request *request = &session->request;

	if (session->is_aborted || session->state == TRANSACTION_FAILED)
	{
		relay_refuse (session, ANSWER_ROLLED_BACK, "the transaction was rolled back");
		return;
	}
	if (session->is_ending && session->state == TRANSACTION_NONE)
	{
		relay_refuse (session, ANSWER_OVERLOADED, "this VM ends the session");
		return;
	}
	if (!session_find_shape (session))
	{
		relay_refuse (session, ANSWER_UNKNOWN_STATEMENT, "no such prepared statement");
		return;
	}
	if (!find_tenant (session, message))
	{
		relay_refuse (session, ANSWER_OVERLOADED, "the tenant is not known here");
		return;
	}
	session->priority = message->has_hint ? message->hint.priority : 0;
	session->target_latency_ms = message->has_hint ? message->hint.target_latency_ms : UINT16_MAX;
	if (message->has_hint)
		request->arrived_us -= (int64_t) message->hint.waited_ms * US_PER_MS;
	/* Without a limit, the statement ends with the forwarding VM's connection. */
	if (message->has_hint && message->hint.limit_ms > 0)
		request->deadline_us = now_us + (int64_t) message->hint.limit_ms * US_PER_MS;
	session_run_statement (session, now_us);
	if (!request->is_queued || !service_exceeds_limit (session, true, now_us))
		return;
	counter_add (COUNTER_REFUSED_LIMIT, 1);
	relay_refuse (session, ANSWER_OVERLOADED, "the wait exceeds the time limit");
}

void
relay_handle_query (struct session *session, const struct caller_message *message, int64_t now_us)
{
	switch (session->request.statement.kind)
	{
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ:
		handle_begin (session, message);
		break;
	case STATEMENT_ROLLBACK:
		session_end_transaction (session);
		relay_complete (session);
		break;
	case STATEMENT_SET:
		if (session_set_value (session, &session->request.statement))
			relay_complete (session);
		else
			relay_refuse (session, ANSWER_OVERLOADED, "too large session values");
		break;
	case STATEMENT_PREPARE:
		if (session_set_prepared (session, &session->request.statement))
			relay_complete (session);
		else
			relay_refuse (session, ANSWER_OVERLOADED, "too large prepared statements");
		break;
	case STATEMENT_RESET:
		handle_reset (session);
		break;
	case STATEMENT_SAMPLE:
		handle_sample (session, now_us);
		break;
	case STATEMENT_DEALLOCATE:
	case STATEMENT_INVALID:
		relay_refuse (session, ANSWER_MALFORMED, "not a forwarded statement");
		break;
	default:
		handle_statement (session, message, now_us);
		break;
	}
}

static void
record_latencies (const struct session *session, const struct connection *connection,
                  int64_t now_us)
{
	const struct request *request = &session->request;
	int64_t total_us = now_us - request->arrived_us;

	histogram_add (
		&traffic_latencies[MIN (session->priority, TRAFFIC_PRIORITIES - 1)][TRAFFIC_HOP_OWNER],
		total_us);
	if (total_us < (int64_t) session->target_latency_ms * US_PER_MS / 2 ||
	    !log_request_allowed (LOG_REQUEST_SLOW))
		return;
	log_request (LOG_REQUEST_SLOW, "forwarded",
	             "request=%s caller=%s server=%s priority=%u code=%s total_us=%lld queue_us=%lld "
	             "server_us=%lld running=%u predicted_us=%lld",
	             log_text_bytes (request->id->str, request->id->len),
	             log_text_quoted (session->database), log_text (session->relay_server->id),
	             session->priority, answer_code_name (connection->code), (long long) total_us,
	             (long long) (request->chosen_us - request->arrived_us),
	             (long long) (now_us - request->sent_us), session->relay_server->running_count,
	             (long long) request->predicted_us);
}

void
relay_handle_answer (struct session *session, struct connection *connection,
                     const struct server_message *ready, int64_t now_us)
{
	record_latencies (session, connection, now_us);
	session->is_first_statement = false;
	g_string_append_len (session->stream.out, connection->answer->str,
	                     (gssize) connection->answer->len);
	session->state = ready->state;
	if (ready->state == TRANSACTION_NONE)
	{
		session->is_started = false;
		session->connection = NULL;
		connection->session = NULL;
	}
	relay_answer (session, ready->state, ready->has_position ? &ready->position : NULL);
	if (ready->state == TRANSACTION_NONE && connection->state == CONNECTION_IDLE)
		connection_release (connection, now_us);
}

void
relay_close_all (struct server *server)
{
	GList *next;

	for (GList *link = server->service->traffic->sessions.head; link; link = next)
	{
		struct session *session = link->data;

		next = link->next;
		if (!session->is_relay || session->relay_server != server)
			continue;
		/* A write that waits for a slot has not run, and would be in doubt without an answer. Reads are sent again. */
		if (session->request.is_queued && session_time_kind (session) != SERVICE_TIME_READ)
			relay_refuse (session, ANSWER_OVERLOADED, "the server does not answer");
		session_close (session);
	}
}
