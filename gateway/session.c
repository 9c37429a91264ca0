#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "gateway/traffic_metrics.h"
#include "platform/wire.h"

#include <string.h>

enum
{
	SESSION_MAX_ATTEMPTS = 6,
	SESSION_MAX_VALUES = 64,
	SESSION_MAX_PREPARED = 256,
	/* Pause before a request that a server refused is offered again. */
	SESSION_RETRY_US = 10 * US_PER_MS,
	SESSION_OVERLOADED_US = 20 * US_PER_MS,
	/* A read that a replica refused for its position is offered to other servers meanwhile. */
	SESSION_BEHIND_US = 100 * US_PER_MS,
};

static struct session *
session_of (struct line_stream *stream)
{
	return (struct session *) stream;
}

static bool
request_is_write (const struct request *request)
{
	return request->statement.kind == STATEMENT_WRITE ||
	       (request->statement.kind == STATEMENT_EXECUTE && request->shape &&
	        request->shape->is_write);
}

bool
session_needs_primary (const struct session *session)
{
	if (session->route_kind == ROUTE_PRIMARY)
		return true;
	if (session->state != TRANSACTION_NONE)
		return !session->is_read_only;
	return request_is_write (&session->request);
}

/** Tells why a request was not served. */
static void
log_failed (const struct session *session, enum answer_code code, const char *cause)
{
	const struct request *request = &session->request;
	const struct service *service = session->service;
	int64_t now_us = clock_now_us ();

	if (!log_request_takes (LOG_REQUEST_FAILED))
		return;
	log_request (
		LOG_REQUEST_FAILED, "failed",
		"request=%s database=%s service=%s priority=%u outcome=%s cause=\"%s\" last=%s "
		"server=%s attempts=%u waited_ms=%lld lead=%llu changing=%d knowledge_age_ms=%lld "
		"sample_age_ms=%lld configuration=%llu",
		request->id->str, session->database ? session->database : "-",
		service ? service->name : "-", session->priority, answer_code_name (code), cause,
		answer_code_name (request->last_code), request->server, request->attempts,
		(long long) (now_us - request->arrived_us) / US_PER_MS,
		service ? (unsigned long long) service->lead_revision : 0, service && service->is_changing,
		(long long) (now_us - session->traffic->known_us) / US_PER_MS,
		service ? (long long) (now_us - position_history_last_us (&service->history)) / US_PER_MS
				: -1,
		session->traffic->view && session->traffic->view->configuration
			? (unsigned long long) session->traffic->view->configuration->version
			: 0);
}

/** Ends the present request; the answer is in the stream's buffer. */
void
session_answered (struct session *session)
{
	struct request *request = &session->request;

	request->is_active = false;
	request->is_held = false;
	request->shape = NULL;
	session->active_us = clock_now_us ();
	line_stream_flush (&session->stream);
	line_stream_set_paused (&session->stream, false);
}

static void
session_complete (struct session *session)
{
	wire_encode_complete (session->stream.out);
	wire_encode_ready (session->stream.out, session->state, NULL);
	session_answered (session);
}

/** Forgets the transaction, its server connection included. */
void
session_end_transaction (struct session *session)
{
	struct connection *connection = session->connection;

	session->connection = NULL;
	session->state = TRANSACTION_NONE;
	session->is_started = false;
	session->has_written = false;
	session->is_aborted = false;
	if (!connection)
		return;
	connection->session = NULL;
	if (connection->state != CONNECTION_IDLE)
		return;
	if (connection->is_in_transaction)
		connection_roll_back (connection);
	else
		connection_release (connection, clock_now_us ());
}

void
session_fail (struct session *session, enum answer_code code, const char *message)
{
	struct request *request = &session->request;

	if (session->service)
		service_remove (session->service, session);
	counter_add (
		answer_code_did_not_run (code) ? COUNTER_REQUESTS_REFUSED : COUNTER_REQUESTS_FAILED, 1);
	log_failed (session, code, message);
	if (session->state == TRANSACTION_OPEN)
	{
		bool is_end = request->statement.kind == STATEMENT_COMMIT ||
		              request->statement.kind == STATEMENT_ROLLBACK;

		session_end_transaction (session);
		session->state = is_end ? TRANSACTION_NONE : TRANSACTION_FAILED;
	}
	wire_encode_error (session->stream.out, code, message);
	wire_encode_ready (session->stream.out, session->state, NULL);
	session_answered (session);
}

void
session_close (struct session *session)
{
	struct gateway_traffic *traffic = session->traffic;
	struct connection *connection = session->connection;

	if (session->is_closed)
		return;
	session->is_closed = true;
	if (session->service)
	{
		service_remove (session->service, session);
		session->service->held = g_list_remove (session->service->held, session);
	}
	/* A running statement ends by itself; its answer is dropped. */
	if (connection && connection->state == CONNECTION_IDLE)
		session_end_transaction (session);
	else if (connection)
	{
		connection->session = NULL;
		session->connection = NULL;
	}
	line_stream_finish (&session->stream);
	g_queue_unlink (&traffic->sessions, &session->link);
	traffic->dead_sessions = g_slist_prepend (traffic->dead_sessions, session);
	loop_set_timer (&traffic->loop, &traffic->reap, 0);
}

void
session_free (struct session *session)
{
	line_stream_finish (&session->stream);
	g_hash_table_destroy (session->values);
	g_hash_table_destroy (session->prepared);
	g_string_free (session->request.id, TRUE);
	g_string_free (session->request.text, TRUE);
	g_string_free (session->request.answer, TRUE);
	g_free (session->database);
	g_free (session);
}

/** Takes the route in force; it holds for the whole transaction. @return false when there is none. */
static bool
session_take_route (struct session *session)
{
	const struct view *view = session->traffic->view;
	const struct route *route =
		view && view->configuration
			? g_hash_table_lookup (view->configuration->routes, session->database)
			: NULL;

	if (!route)
		return false;
	session->service = service_get (session->traffic, route->service);
	session->route_kind = route->kind;
	session->statement_timeout_ms = route->statement_timeout_ms;
	session->target_latency_ms = route->target_latency_ms;
	session->priority = route->priority;
	session->max_staleness_ms = route->max_staleness_ms;
	return true;
}

bool
session_find_position (const struct session *session, struct log_position *position)
{
	const struct service *service = session->service;
	int64_t arrived_us =
		session->state != TRANSACTION_NONE ? session->began_us : session->request.arrived_us;
	int64_t since_us = arrived_us - (int64_t) session->max_staleness_ms * US_PER_MS;

	bool has_commit = session->route_kind == ROUTE_READ_YOUR_WRITES && session->committed.term > 0;

	/* A promotion may have rolled the commit back; what the new primary has said since is enough. */
	if (has_commit && session->committed_revision != service->lead_revision)
	{
		if (service->changing_us > since_us)
			since_us = service->changing_us;
		has_commit = false;
	}
	if (!position_history_find (&service->history, since_us, position))
		return false;
	if (!has_commit)
		return true;
	if (log_position_compare (session->committed, *position) > 0)
		*position = session->committed;
	return true;
}

static void
session_enqueue (struct session *session, int64_t now_us)
{
	session->service->used_us = now_us;
	service_enqueue (session->service, session);
	service_dispatch (session->service, now_us);
}

/** Sends the statement on its prepared connection. */
static void
session_send (struct session *session, struct connection *connection, int64_t now_us)
{
	struct request *request = &session->request;
	GString *out = connection->stream.out;
	struct text id = { request->id->str, request->id->len };
	struct text text = { request->text->str, request->text->len };
	struct server *server = connection->server;
	bool is_primary = server->service->primary == server;
	struct log_position position;
	struct forward_hint hint = {
		.priority = session->priority,
		.target_latency_ms = session->target_latency_ms,
		.waited_ms = (uint32_t) ((now_us - request->arrived_us) / US_PER_MS),
	};
	struct wire_prefix prefix = { .hint = connection->is_relayed ? &hint : NULL };

	if (session->is_relay)
		prefix.after = request->has_after ? &request->after : NULL;
	else if (session->state == TRANSACTION_NONE && !is_primary && !request_is_write (request) &&
	         session_find_position (session, &position))
		prefix.after = &position;
	connection->sent_us = now_us;
	connection->sent_as_lead = is_primary && service_can_use_primary (server->service, now_us);
	request->is_sent = true;
	g_strlcpy (request->server, server->id, sizeof request->server);
	request->sent_us = now_us;
	request->attempts++;
	connection_set_state (connection, CONNECTION_RUNNING);
	if (request->shape)
		wire_encode_execute (out, id, prefix, request->shape->name, request->statement.arguments);
	else
		wire_encode_query (out, id, prefix, text);
	line_stream_flush (&connection->stream);
}

/** What was decided about the server still holds at the time of sending. */
static bool
session_may_send (struct session *session, struct connection *connection, int64_t now_us)
{
	struct server *server = connection->server;
	struct log_position position;

	if (session->state != TRANSACTION_NONE && session->is_started)
		return true;
	if (session->is_relay)
		return server->is_listed;
	if (server->service->primary == server)
		return service_can_use_primary (server->service, now_us);
	return !session_needs_primary (session) && session_find_position (session, &position);
}

void
session_run (struct session *session, struct connection *connection, int64_t now_us)
{
	bool begins = session->state == TRANSACTION_OPEN && !session->is_started;
	struct log_position position;
	const struct log_position *after = NULL;

	if (session->connection != connection)
		session->request.chosen_us = now_us;
	connection->session = session;
	session->connection = connection;
	if (begins && connection->is_in_transaction)
	{
		session->is_started = true;
		begins = false;
	}
	if (!session_may_send (session, connection, now_us))
	{
		connection->session = NULL;
		session->connection = NULL;
		service_enqueue (session->service, session);
		connection_release (connection, now_us);
		return;
	}
	connection->setup_pending = connection_prepare (connection, session);
	connection->setup_code = ANSWER_DONE;
	connection->setup_has_begin = begins;
	connection->setup_is_in_doubt = false;
	session->is_first = begins;
	if (begins)
	{
		if (session->is_relay)
			after = &session->relay_after;
		else if (connection->server->service->primary != connection->server &&
		         session_find_position (session, &position))
			after = &position;
		wire_encode_begin (connection->stream.out, session->is_read_only, after);
		connection->setup_pending++;
	}
	/* The owner begins the transaction together with the statement, and runs neither if it cannot. */
	if (connection->is_relayed)
		session->is_started |= begins;
	if (connection->setup_pending == 0 || connection->is_relayed)
	{
		session_send (session, connection, now_us);
		return;
	}
	connection->sent_us = now_us;
	connection->sent_as_lead = false;
	connection_set_state (connection, CONNECTION_SETUP);
	line_stream_flush (&connection->stream);
}

/** Offers a request again that did not run. @return false when it was offered often enough. */
static bool
session_retry (struct session *session, struct server *server, enum answer_code code,
               int64_t now_us)
{
	struct request *request = &session->request;

	request->last_code = code;
	request->is_sent = false;
	request->retry_us = now_us;
	if (request->attempts > SESSION_MAX_ATTEMPTS)
		return false;
	switch (code)
	{
	case ANSWER_BEHIND:
		server->behind_until_us = now_us + SESSION_BEHIND_US;
		break;
	case ANSWER_OVERLOADED:
		server->overloaded_until_us = now_us + SESSION_OVERLOADED_US;
		request->retry_us = now_us + SESSION_RETRY_US;
		break;
	case ANSWER_NOT_PRIMARY:
		gateway_traffic_send_report (server, NULL, now_us);
		request->retry_us = now_us + SESSION_OVERLOADED_US;
		break;
	default:
		break;
	}
	counter_add (COUNTER_RETRIES, 1);
	return true;
}

void
session_handle_setup_failed (struct session *session, struct server *server, enum answer_code code,
                             int64_t now_us)
{
	bool in_transaction = session->state == TRANSACTION_OPEN && session->is_started;

	session->request.attempts++;
	if (session->is_relay)
		relay_refuse (session, code, "refused by the server");
	else if (in_transaction)
		session_fail (session, ANSWER_ROLLED_BACK, "session state could not be set up");
	else if (session_retry (session, server, code, now_us))
		service_enqueue (session->service, session);
	else
		session_fail (session, ANSWER_OVERLOADED, "refused by all servers, retry later");
}

/** Counts and logs where the time of a request went. */
static void
note_served (const struct session *session, const struct connection *connection, int64_t now_us)
{
	const struct request *request = &session->request;
	const struct server *server = connection->server;
	struct histogram *latencies =
		traffic_latencies[MIN (session->priority, TRAFFIC_PRIORITIES - 1)];
	int64_t total_us = now_us - request->arrived_us;
	int64_t chosen_us = MAX (request->chosen_us, request->arrived_us);
	bool is_slow = total_us >= (int64_t) session->target_latency_ms * US_PER_MS / 2;
	enum log_request_class log_class = is_slow ? LOG_REQUEST_SLOW : LOG_REQUEST_DONE;

	histogram_add (&latencies[TRAFFIC_HOP_TOTAL], total_us);
	histogram_add (&latencies[TRAFFIC_HOP_QUEUE], chosen_us - request->arrived_us);
	histogram_add (&latencies[TRAFFIC_HOP_SETUP], request->sent_us - chosen_us);
	histogram_add (&latencies[TRAFFIC_HOP_SERVER], now_us - request->sent_us);
	if (!log_request_takes (log_class))
		return;
	log_request (
		log_class, is_slow ? "slow" : "done",
		"request=%s database=%s service=%s priority=%u server=%s path=%s primary=%d near=%d "
		"transaction=%d attempts=%u total_us=%lld queue_us=%lld setup_us=%lld server_us=%lld "
		"lead=%llu knowledge_age_ms=%lld",
		request->id->str, session->database, session->service->name, session->priority, server->id,
		connection->is_relayed ? "owner" : "direct", session->service->primary == server,
		server->is_near, session->state != TRANSACTION_NONE, request->attempts,
		(long long) total_us, (long long) (chosen_us - request->arrived_us),
		(long long) (request->sent_us - chosen_us), (long long) (now_us - request->sent_us),
		(unsigned long long) session->service->lead_revision,
		(long long) (now_us - session->traffic->known_us) / US_PER_MS);
}

/** Passes a server's answer on. */
static void
session_forward (struct session *session, const char *answer, size_t length)
{
	g_string_append_len (session->stream.out, answer, (gssize) length);
	wire_encode_ready (session->stream.out, session->state, NULL);
	counter_add (COUNTER_REQUESTS_DONE, 1);
	session_answered (session);
}

/** A commit is acknowledged only while no change of primary can have been ordered before its answer. */
static bool
session_hold (struct session *session, struct connection *connection, int64_t now_us)
{
	struct request *request = &session->request;

	if (now_us - session->traffic->known_us < LEAD_AUTHORITY_MS * US_PER_MS &&
	    connection->server->service->primary == connection->server)
		return false;
	request->is_held = true;
	request->answered_us = now_us;
	g_string_assign (request->answer, "");
	g_string_append_len (request->answer, connection->answer->str,
	                     (gssize) connection->answer->len);
	session->service->held = g_list_prepend (session->service->held, session);
	return true;
}

static void
session_handle_success (struct session *session, struct connection *connection,
                        const struct server_message *ready, int64_t now_us)
{
	struct request *request = &session->request;
	bool was_open = session->state == TRANSACTION_OPEN;
	bool commits = was_open ? request->statement.kind == STATEMENT_COMMIT && session->has_written
	                        : request_is_write (request);
	bool is_held;

	note_served (session, connection, now_us);
	session->is_first = false;
	if (was_open && request_is_write (request))
		session->has_written = true;
	if (commits)
	{
		session->committed = ready->position;
		session->committed_revision = session->service->lead_revision;
		counter_add (COUNTER_WRITES, 1);
	}
	is_held = commits && session_hold (session, connection, now_us);
	if (was_open && ready->state != TRANSACTION_NONE)
	{
		session->state = ready->state;
		session_forward (session, connection->answer->str, connection->answer->len);
		return;
	}
	session->state = TRANSACTION_NONE;
	session->is_started = false;
	session->has_written = false;
	session->connection = NULL;
	connection->session = NULL;
	if (!is_held)
		session_forward (session, connection->answer->str, connection->answer->len);
	if (connection->state == CONNECTION_IDLE && connection->is_in_transaction)
		connection_roll_back (connection);
	else if (connection->state == CONNECTION_IDLE)
		connection_release (connection, now_us);
}

/** An error inside of a started transaction. */
static void
session_handle_transaction_error (struct session *session, struct connection *connection,
                                  const struct server_message *ready, int64_t now_us)
{
	struct request *request = &session->request;
	enum answer_code code = connection->code;
	bool is_commit = request->statement.kind == STATEMENT_COMMIT;

	/* A refused statement leaves the transaction as it was. */
	if (code == ANSWER_OVERLOADED && ready->state == TRANSACTION_OPEN &&
	    request->attempts <= SESSION_MAX_ATTEMPTS)
	{
		request->retry_us = now_us + SESSION_RETRY_US;
		request->is_sent = false;
		return;
	}
	if (is_commit && !answer_code_did_not_run (code))
	{
		session_fail (session, session->has_written ? ANSWER_IN_DOUBT : ANSWER_ROLLED_BACK,
		              "the server's answer to the commit was an error");
		return;
	}
	session_fail (session,
	              code == ANSWER_FAILED || code == ANSWER_TIMED_OUT ? code : ANSWER_ROLLED_BACK,
	              "the server refused a statement of the transaction");
}

static void
session_handle_error (struct session *session, struct connection *connection, int64_t now_us)
{
	struct request *request = &session->request;
	struct server *server = connection->server;
	enum answer_code code = connection->code;
	bool is_lost_name = code == ANSWER_UNKNOWN_STATEMENT;
	bool did_not_run = answer_code_did_not_run (code);

	session->connection = NULL;
	connection->session = NULL;
	if ((did_not_run || !request_is_write (request)) &&
	    session_retry (session, server, code, now_us))
		service_enqueue (session->service, session);
	else if (did_not_run)
		session_fail (session, code, "refused by the server, retry later");
	else
		session_fail (session,
		              request_is_write (request) && code == ANSWER_OTHER ? ANSWER_IN_DOUBT : code,
		              "the server reported an error");
	/* A connection that lost prepared names has lost its session values as well. */
	if (is_lost_name)
		connection_close (connection);
	else if (connection->is_in_transaction)
		connection_roll_back (connection);
	else
		connection_release (connection, now_us);
}

/** The owner could not begin the transaction; nothing has run. */
static void
session_handle_begin_refused (struct session *session, struct connection *connection,
                              int64_t now_us)
{
	session->is_started = false;
	session->is_first = false;
	session_handle_error (session, connection, now_us);
}

void
session_handle_answer (struct session *session, struct connection *connection,
                       const struct server_message *ready, int64_t now_us)
{
	if (session->is_relay)
		relay_handle_answer (session, connection, ready, now_us);
	else if (connection->code == ANSWER_DONE && connection->is_complete)
		session_handle_success (session, connection, ready, now_us);
	else if (session->state == TRANSACTION_OPEN && session->is_first &&
	         ready->state == TRANSACTION_NONE && answer_code_did_not_run (connection->code))
		session_handle_begin_refused (session, connection, now_us);
	else if (session->state == TRANSACTION_OPEN)
		session_handle_transaction_error (session, connection, ready, now_us);
	else
		session_handle_error (session, connection, now_us);
	if (connection->state != CONNECTION_CLOSED)
	{
		g_string_truncate (connection->answer, 0);
		connection->code = ANSWER_DONE;
		connection->is_complete = false;
	}
}

void
session_handle_lost (struct session *session, bool was_sent, int64_t now_us)
{
	struct request *request = &session->request;
	bool is_commit = request->statement.kind == STATEMENT_COMMIT;

	if (session->is_closed)
		return;
	if (session->is_relay)
	{
		/* The other VM knows what may have run. */
		session_close (session);
		return;
	}
	if (!request->is_active)
	{
		session->is_aborted = session->state == TRANSACTION_OPEN;
		return;
	}
	if (session->state == TRANSACTION_OPEN && session->is_started && !session->is_first)
	{
		if (is_commit && was_sent && session->has_written)
			session_fail (session, ANSWER_IN_DOUBT, "connection lost during the commit");
		else
			session_fail (session, ANSWER_ROLLED_BACK, "connection lost in the transaction");
		return;
	}
	/* A first statement is rolled back together with its transaction. */
	session->is_started = false;
	if (was_sent && request_is_write (request) && session->state == TRANSACTION_NONE)
	{
		session_fail (session, ANSWER_IN_DOUBT, "connection lost after the write was sent");
		return;
	}
	if (++request->attempts > SESSION_MAX_ATTEMPTS)
	{
		session_fail (session, ANSWER_OVERLOADED, "connections lost, retry later");
		return;
	}
	request->is_sent = false;
	request->retry_us = now_us;
	session_enqueue (session, now_us);
}

void
session_release_held (struct session *session, bool is_confirmed)
{
	struct request *request = &session->request;

	if (is_confirmed)
		session_forward (session, request->answer->str, request->answer->len);
	else
		session_fail (session, ANSWER_IN_DOUBT, "the primary was replaced before the answer");
}

static void
handle_begin (struct session *session)
{
	if (session->state != TRANSACTION_NONE)
	{
		session_fail (session, ANSWER_MALFORMED, "a transaction is open");
		return;
	}
	if (!session_take_route (session))
	{
		session_fail (session, ANSWER_UNKNOWN_DATABASE, "no route has this name");
		return;
	}
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

void
session_set_value (struct session *session, const struct statement *statement)
{
	g_hash_table_replace (session->values,
	                      g_strndup (statement->name.start, statement->name.length),
	                      g_strndup (statement->arguments.start, statement->arguments.length));
}

void
session_set_prepared (struct session *session, const struct statement *statement)
{
	struct prepared_shape *shape =
		gateway_traffic_find_shape (session->traffic, statement->arguments, statement->is_write);

	g_hash_table_replace (session->prepared,
	                      g_strndup (statement->name.start, statement->name.length), shape);
}

static void
handle_set (struct session *session)
{
	if (g_hash_table_size (session->values) >= SESSION_MAX_VALUES)
	{
		session_fail (session, ANSWER_OVERLOADED, "too many session values");
		return;
	}
	session_set_value (session, &session->request.statement);
	session_complete (session);
}

static void
handle_prepare (struct session *session)
{
	if (g_hash_table_size (session->prepared) >= SESSION_MAX_PREPARED)
	{
		session_fail (session, ANSWER_OVERLOADED, "too many prepared statements");
		return;
	}
	session_set_prepared (session, &session->request.statement);
	session_complete (session);
}

static void
handle_deallocate (struct session *session)
{
	const struct statement *statement = &session->request.statement;
	char *name = g_strndup (statement->name.start, statement->name.length);
	bool was_known = g_hash_table_remove (session->prepared, name);

	g_free (name);
	if (was_known)
		session_complete (session);
	else
		session_fail (session, ANSWER_UNKNOWN_STATEMENT, "no such prepared statement");
}

/** Finds the shape of an EXECUTE. @return false when the name is not known. */
bool
session_find_shape (struct session *session)
{
	struct request *request = &session->request;
	char *name;

	if (request->statement.kind != STATEMENT_EXECUTE)
		return true;
	name = g_strndup (request->statement.name.start, request->statement.name.length);
	request->shape = g_hash_table_lookup (session->prepared, name);
	g_free (name);
	return request->shape != NULL;
}

/** Offers the statement to the pinned connection, or to the queue. */
void
session_run_statement (struct session *session, int64_t now_us)
{
	if (session->connection)
		session_run (session, session->connection, now_us);
	else
		session_enqueue (session, now_us);
}

/** Statements that a server runs. */
static void
handle_statement (struct session *session, int64_t now_us)
{
	struct request *request = &session->request;

	if (!session_find_shape (session))
	{
		session_fail (session, ANSWER_UNKNOWN_STATEMENT, "no such prepared statement");
		return;
	}
	if (session->state == TRANSACTION_NONE && !session_take_route (session))
	{
		session_fail (session, ANSWER_UNKNOWN_DATABASE, "no route has this name");
		return;
	}
	request->deadline_us = now_us + (int64_t) session->statement_timeout_ms * US_PER_MS;
	session_run_statement (session, now_us);
}

/** Only the end of a failed transaction is accepted. */
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

static void
handle_query (struct session *session, int64_t now_us)
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

/** Copies the message, whose texts point into the receive buffer. */
static void
request_take (struct session *session, const struct caller_message *message, int64_t now_us)
{
	struct request *request = &session->request;
	ptrdiff_t moved;

	g_string_truncate (request->id, 0);
	g_string_append_len (request->id, message->id.start, (gssize) message->id.length);
	g_string_truncate (request->text, 0);
	g_string_append_len (request->text, message->text.start, (gssize) message->text.length);
	request->statement = message->statement;
	moved = request->text->str - message->text.start;
	request->statement.name.start += moved;
	request->statement.arguments.start += moved;
	request->is_active = true;
	g_strlcpy (request->server, "-", sizeof request->server);
	request->is_sent = false;
	request->shape = NULL;
	request->arrived_us = now_us;
	request->deadline_us = INT64_MAX;
	request->retry_us = now_us;
	request->attempts = 0;
	request->last_code = ANSWER_DONE;
	request->has_after = message->has_after;
	request->after = message->after;
	if (!session->is_relay)
		counter_add (COUNTER_REQUESTS, 1);
}

/** Answers the greeting; waits while no configuration is known, e.g. after a restart. */
static void
session_greet (struct session *session)
{
	const struct view *view = session->traffic->view;

	session->is_starting = !view || !view->configuration;
	if (session->is_starting)
		return;
	if (!session_take_route (session))
	{
		wire_encode_error (session->stream.out, ANSWER_UNKNOWN_DATABASE, "no route has this name");
		line_stream_flush (&session->stream);
		session_close (session);
		return;
	}
	session->is_greeted = true;
	wire_encode_ready (session->stream.out, TRANSACTION_NONE, NULL);
	line_stream_flush (&session->stream);
}

static void
handle_start (struct session *session, const struct caller_message *message)
{
	session->database = g_strndup (message->database.start, message->database.length);
	session_greet (session);
}

static void
handle_line (struct line_stream *stream, struct text line)
{
	struct session *session = session_of (stream);
	struct caller_message message =
		session->is_relay ? wire_decode_forwarded (line) : wire_decode_caller (line);
	int64_t now_us = clock_now_us ();

	session->active_us = now_us;
	if (message.kind == CALLER_QUERY && session->is_greeted)
	{
		/* One request at a time; later ones wait in the buffer. */
		line_stream_set_paused (stream, true);
		request_take (session, &message, now_us);
		if (session->is_relay)
			relay_handle_query (session, &message, now_us);
		else
			handle_query (session, now_us);
		return;
	}
	if (message.kind == CALLER_START && !session->database)
	{
		if (session->is_relay)
			relay_handle_start (session, &message);
		else
			handle_start (session, &message);
		return;
	}
	if (message.kind != CALLER_BYE)
	{
		log_event (LOG_LEVEL_INFO, "caller_malformed", "bytes=%zu", line.length);
		wire_encode_error (stream->out, ANSWER_MALFORMED, "not a message");
		line_stream_flush (stream);
	}
	session_close (session);
}

static void
handle_closed (struct line_stream *stream, int error)
{
	session_close (session_of (stream));
}

static const struct line_stream_ops session_ops = {
	.handle_line = handle_line,
	.handle_closed = handle_closed,
};

void
session_accept (struct gateway_traffic *traffic, int fd, bool is_relay)
{
	struct session *session = g_new0 (struct session, 1);
	int result = line_stream_init (&session->stream, &traffic->loop, &session_ops, fd,
	                               WIRE_MAX_MESSAGE_BYTES);

	if (result < 0)
	{
		log_event (LOG_LEVEL_ERROR, "accept_failed", "error=%d", result);
		g_free (session);
		return;
	}
	session->traffic = traffic;
	session->is_relay = is_relay;
	session->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	session->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	session->request.id = g_string_new (NULL);
	session->request.text = g_string_new (NULL);
	session->request.answer = g_string_new (NULL);
	session->accepted_us = clock_now_us ();
	session->active_us = session->accepted_us;
	session->link.data = session;
	g_queue_push_tail_link (&traffic->sessions, &session->link);
}

/** The time of the present request is over. */
static void
session_time_out (struct session *session)
{
	struct request *request = &session->request;
	struct connection *connection = session->connection;
	bool is_running = connection && connection->state == CONNECTION_RUNNING;
	bool in_transaction = session->state == TRANSACTION_OPEN;
	bool is_commit = request->statement.kind == STATEMENT_COMMIT && session->has_written;
	enum answer_code code = ANSWER_OVERLOADED;

	if (is_running && in_transaction)
		code = is_commit ? ANSWER_IN_DOUBT : ANSWER_ROLLED_BACK;
	else if (is_running)
		code = request_is_write (request) ? ANSWER_IN_DOUBT : ANSWER_TIMED_OUT;
	else if (request->last_code == ANSWER_BEHIND)
		code = ANSWER_BEHIND;
	/* What the server does with the statement is not known: its connection is not used again. */
	if (connection)
	{
		connection->session = NULL;
		session->connection = NULL;
		connection_close (connection);
	}
	session_fail (session, code, "the time limit of the statement is over");
}

static void
session_abort_idle (struct session *session)
{
	struct connection *connection = session->connection;

	log_event (LOG_LEVEL_INFO, "transaction_abandoned", "database=%s", session->database);
	session->connection = NULL;
	session->is_aborted = true;
	if (!connection)
		return;
	connection->session = NULL;
	connection_roll_back (connection);
}

enum
{
	/* The platform's balancer takes a VM out after two probes, one a second. */
	LEAVE_ROTATION_US = 2200 * US_PER_MS,
};

/** Follows the planned stop of this process. */
static void
session_tick_leaving (struct session *session, int64_t now_us)
{
	const struct gateway_traffic *traffic = session->traffic;
	int64_t leaving_us = now_us - traffic->leaving_us;
	int64_t transaction_us = (int64_t) traffic->settings.grace_ms * US_PER_MS / 2;

	if (session->request.is_active || leaving_us < LEAVE_ROTATION_US)
		return;
	if (session->state == TRANSACTION_NONE || leaving_us > transaction_us)
		session_close (session);
}

/** A VM that is cut off is out of rotation by now: its idle callers come back elsewhere. Those that came
 * meanwhile found no better VM. */
static void
session_tick_isolated (struct session *session, int64_t now_us)
{
	int64_t out_us = session->traffic->isolated_us + LEAVE_ROTATION_US;

	if (session->is_relay || session->request.is_active || session->state != TRANSACTION_NONE)
		return;
	if (now_us > out_us && session->accepted_us < out_us)
		session_close (session);
}

/** Nothing can run the request at present, as far as this VM knows. */
static bool
is_unavailable (const struct session *session, int64_t now_us)
{
	const struct service *service = session->service;
	struct log_position position;
	bool has_primary =
		service_can_use_primary (service, now_us) && service->primary->failed_us == 0;

	if (has_primary)
		return false;
	return session_needs_primary (session) || !session_find_position (session, &position);
}

/** Refuses a queued request that would be served too late; another VM may be better off. */
static void
session_tick_queued (struct session *session, int64_t now_us)
{
	/* Of the target latency. A refusal within a quarter of it costs the caller little; a request that is
	 * late anyway only keeps others waiting. */
	enum
	{
		UNAVAILABLE_PERCENT = 20,
		OVERLOADED_PERCENT = 85,
	};
	struct request *request = &session->request;
	bool is_relay = session->is_relay;
	int64_t waited_us = now_us - request->arrived_us;
	int64_t target_us = (int64_t) session->target_latency_ms * US_PER_MS;

	if (is_relay && session->relay_server->failed_us > 0)
		session_close (session);
	else if (is_relay && waited_us > target_us * OVERLOADED_PERCENT / 100)
		relay_refuse (session, ANSWER_OVERLOADED, "the server is busy");
	else if (is_relay)
		return;
	else if (waited_us > target_us * UNAVAILABLE_PERCENT / 100 && is_unavailable (session, now_us))
		session_fail (session, ANSWER_OVERLOADED, "no server can run it now, retry elsewhere");
	else if (waited_us > target_us * OVERLOADED_PERCENT / 100)
		session_fail (session, ANSWER_OVERLOADED, "all servers are busy, retry later");
}

void
session_tick (struct session *session, int64_t now_us)
{
	/* Time for an answer to reach the caller within its limit. */
	enum
	{
		ANSWER_MARGIN_US = 20 * US_PER_MS,
		GREETING_TIMEOUT_US = 5 * US_PER_S,
	};
	struct request *request = &session->request;
	const struct view *view = session->traffic->view;

	if (request->is_active && now_us > request->deadline_us - ANSWER_MARGIN_US && !request->is_held)
		session_time_out (session);
	else if (request->is_active && session->connection && !request->is_sent &&
	         session->connection->state == CONNECTION_IDLE && now_us >= request->retry_us)
		session_run (session, session->connection, now_us);
	else if (request->is_active && request->is_queued)
		session_tick_queued (session, now_us);
	else if (!request->is_active && session->state == TRANSACTION_OPEN && !session->is_aborted &&
	         view && view->configuration &&
	         now_us - session->active_us >
	             (int64_t) view->configuration->transaction_idle_ms * US_PER_MS)
		session_abort_idle (session);
	if (session->is_closed)
		return;
	if (session->is_starting && session->is_relay)
		relay_greet (session, now_us);
	else if (session->is_starting)
		session_greet (session);
	if (session->is_closed)
		return;
	if (!session->is_greeted && now_us - session->active_us > GREETING_TIMEOUT_US)
		session_close (session);
	else if (session->traffic->is_leaving && !session->is_closed)
		session_tick_leaving (session, now_us);
	else if (session->traffic->isolated_us > 0 && !session->is_closed)
		session_tick_isolated (session, now_us);
}
