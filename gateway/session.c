#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "decision/succession.h"
#include "gateway/traffic_metrics.h"
#include "platform/wire.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum
{
	/* Of a session without buffers: its structure, tables, strings, and the kernel's part of the connection. */
	SESSION_BASE_BYTES = 4096,
	/* A larger copy of a statement is freed with its answer. */
	SESSION_KEPT_TEXT_BYTES = 16384,
	/* What an entry VM puts in front of a statement: a tenant, numbers and a position. */
	RELAY_PREFIX_BYTES = 4096,
};

static struct session *
stream_session (struct line_stream *stream)
{
	return (struct session *) stream;
}

bool
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
	/* A replica is told the position that a read needs, which makes the message longer. */
	return request_is_write (&session->request) ||
	       !wire_query_fits (session->request.id->len, session->request.text->len +
	                                                       WIRE_MAX_POSITION_BYTES +
	                                                       sizeof session->request.shape->name);
}

enum statement_effect
session_effect (const struct session *session)
{
	const struct request *request = &session->request;

	if (session->state == TRANSACTION_NONE)
		return request_is_write (request) ? EFFECT_AT_ONCE : EFFECT_NONE;
	return request->statement.kind == STATEMENT_COMMIT && session->has_written ? EFFECT_COMMITS
	                                                                           : EFFECT_AT_COMMIT;
}

/** Logs why a request was not served. */
static void
log_failed (const struct session *session, enum answer_code code, const char *cause)
{
	const struct request *request = &session->request;
	const struct service *service = session->service;
	int64_t now_us = clock_now_us ();

	if (!log_request_allowed (LOG_REQUEST_FAILED))
		return;
	log_request (
		LOG_REQUEST_FAILED, "failed",
		"request=%s database=%s tenant=%s service=%s priority=%u outcome=%s cause=%s last=%s "
		"server=%s attempts=%u waited_ms=%lld lead=%u.%u changing=%d knowledge_age_ms=%lld "
		"sample_age_ms=%lld configuration=%llu predicted_ms=%lld reported_ms=%lld",
		log_text_bytes (request->id->str, request->id->len), log_text (session->database),
		session->tenant ? log_text (session->tenant->name) : "-",
		service ? log_text (service->name) : "-", session->priority, answer_code_name (code),
		log_text_quoted (cause), answer_code_name (request->last_code), log_text (request->server),
		request->attempts, (long long) (now_us - request->arrived_us) / US_PER_MS,
		service ? succession_change_era (service->record_change) : 0,
		service ? succession_change_count (service->record_change) : 0,
		service && service->is_changing,
		(long long) (now_us - session->traffic->records_valid_us) / US_PER_MS,
		service ? (long long) (now_us - position_history_last_us (&service->history)) / US_PER_MS
				: -1,
		session->traffic->view && session->traffic->view->configuration
			? (unsigned long long) session->traffic->view->configuration->version
			: 0,
		(long long) request->predicted_us / US_PER_MS,
		service && service->primary
			? (long long) server_reported_wait_us (service->primary, now_us) / US_PER_MS
			: 0);
}

/** Ends the current request, whose answer is in the stream's buffer. */
void
session_answered (struct session *session)
{
	struct request *request = &session->request;

	request->is_active = false;
	request->is_commit_held = false;
	request->shape = NULL;
	if (request->text->allocated_len > SESSION_KEPT_TEXT_BYTES)
		line_stream_release_buffer (request->text);
	if (request->answer->allocated_len > SESSION_KEPT_TEXT_BYTES)
		line_stream_release_buffer (request->answer);
	if (request->id->allocated_len > SESSION_KEPT_TEXT_BYTES)
		line_stream_release_buffer (request->id);
	session->active_us = clock_now_us ();
	line_stream_flush (&session->stream);
	session_check_end (session, session->active_us);
	if (session->is_ending)
		loop_set_timer (&session->traffic->loop, &session->traffic->end, session->active_us);
	line_stream_set_paused (&session->stream, false);
}

void
session_complete (struct session *session)
{
	wire_encode_complete (session->stream.out);
	wire_encode_ready (session->stream.out, session->state, NULL);
	session_answered (session);
}

/** Ends the transaction and gives up its server connection. */
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
	bool is_false_promise = answer_code_did_not_run (code) &&
	                        !delivery_allows_promise (request->delivery, session_effect (session));

	tenant_caps_give_back (session);
	INVARIANT (!is_false_promise, "P5");
	if (is_false_promise)
		code = ANSWER_IN_DOUBT;
	if (session->service)
		service_remove (session->service, session);
	counter_add (
		answer_code_did_not_run (code) ? COUNTER_REQUESTS_REFUSED : COUNTER_REQUESTS_FAILED, 1);
	if (session->tenant && answer_code_did_not_run (code))
		tenant_count_refused (session->tenant, code);
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
session_refuse (struct session *session, enum answer_code code, const char *cause,
                int64_t retry_after_us)
{
	char message[128];

	snprintf (message, sizeof message, "%s, retry after %lld ms", cause,
	          (long long) retry_after_us / US_PER_MS);
	session_fail (session, code, message);
}

void
session_close (struct session *session)
{
	struct gateway_traffic *traffic = session->traffic;
	struct connection *connection = session->connection;

	if (session->is_closed)
		return;
	session->is_closed = true;
	tenant_caps_give_back (session);
	if (session->service)
	{
		service_remove (session->service, session);
		session->service->held_commits = g_list_remove (session->service->held_commits, session);
	}
	/* A running statement completes; its answer is dropped. */
	if (connection && connection->state == CONNECTION_IDLE)
		session_end_transaction (session);
	else if (connection)
	{
		connection->session = NULL;
		session->connection = NULL;
	}
	line_stream_finish (&session->stream);
	if (session->is_relay)
		client_limits_add_peer (traffic, session->peer_ip, -1);
	g_queue_unlink (&traffic->sessions, &session->link);
	if (session->is_ending)
		g_queue_unlink (&traffic->ending, &session->end_link);
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

/** Logs a key that the configuration does not have, without the key. The database is the name of a route. */
static void
log_unauthorized (const struct session *session)
{
	struct sockaddr_in address = { 0 };
	socklen_t length = sizeof address;
	char ip[INET_ADDRSTRLEN] = "-";

	if (getpeername (session->stream.source.fd, (struct sockaddr *) &address, &length) == 0)
		inet_ntop (AF_INET, &address.sin_addr, ip, sizeof ip);
	log_event (LOG_LEVEL_WARN, "caller_unauthorized", "database=%s caller=%s:%u connected=%d",
	           log_text (session->database), ip, ntohs (address.sin_port), session->is_greeted);
}

enum answer_code
session_resolve_route (struct session *session)
{
	const struct view *view = session->traffic->view;
	const struct route *route =
		view && view->configuration && !session->has_nul
			? g_hash_table_lookup (view->configuration->routes, session->database)
			: NULL;
	const struct tenant *tenant;

	session->tenant = NULL;
	if (!route)
		return ANSWER_UNKNOWN_DATABASE;
	tenant = configuration_find_tenant (view->configuration, &session->key);
	if (view->configuration->tenants && !route->is_public && !tenant)
	{
		counter_add (COUNTER_REQUESTS_UNAUTHORIZED, 1);
		log_unauthorized (session);
		return ANSWER_UNAUTHORIZED;
	}
	session->tenant = tenant ? tenant_table_find (session->traffic->tenants, tenant->name) : NULL;
	session->service = service_get (session->traffic, route->service);
	session->route_kind = route->kind;
	session->statement_timeout_ms = route->statement_timeout_ms;
	session->target_latency_ms = route->target_latency_ms;
	session->priority = route->priority;
	session->max_staleness_ms = route->max_staleness_ms;
	return ANSWER_DONE;
}

bool
session_find_required_position (const struct session *session, struct log_position *position)
{
	const struct service *service = session->service;
	int64_t arrived_us =
		session->state != TRANSACTION_NONE ? session->began_us : session->request.arrived_us;
	int64_t since_us = arrived_us - (int64_t) session->max_staleness_ms * US_PER_MS;
	struct own_commits_bound own = { 0 };

	if (session->route_kind == ROUTE_READ_YOUR_WRITES)
		own = own_commits_find (&session->commits, service->number, service->record_change,
		                        service->record_adopted_us);
	if (!position_history_find (&service->history, MAX (since_us, own.since_us), position))
		return false;
	if (log_position_compare (own.position, *position) > 0)
		*position = own.position;
	return true;
}

void
session_enqueue (struct session *session, int64_t now_us)
{
	session->service->last_used_us = now_us;
	service_enqueue (session->service, session);
	service_predict_wait (session, now_us);
	service_dispatch (session->service);
}

/** Starts a request with a copy of the message, whose members point into the receive buffer. */
static void
request_copy_message (struct session *session, const struct caller_message *message, int64_t now_us)
{
	struct request *request = &session->request;
	ptrdiff_t moved;

	g_string_truncate (request->id, 0);
	g_string_append_len (request->id, message->id.start, (gssize) message->id.length);
	g_string_truncate (request->text, 0);
	g_string_append_len (request->text, message->text.start, (gssize) message->text.length);
	request->statement = message->statement;
	moved = request->text->str - message->text.start;
	/* Point into the copy; a statement without name or arguments has null pointers. */
	if (request->statement.name.start)
		request->statement.name.start += moved;
	if (request->statement.arguments.start)
		request->statement.arguments.start += moved;
	request->is_active = true;
	g_strlcpy (request->server, "-", sizeof request->server);
	request->delivery = DELIVERY_NOT_SENT;
	request->shape = NULL;
	request->arrived_us = now_us;
	request->deadline_us = INT64_MAX;
	request->retry_us = now_us;
	request->attempts = 0;
	request->last_code = ANSWER_DONE;
	request->may_move = message->has_hint && message->hint.may_move;
	request->has_prediction = false;
	request->predicted_us = 0;
	request->has_after = message->has_after;
	request->after = message->after;
	if (!session->is_relay)
		counter_add (COUNTER_REQUESTS, 1);
}

void
session_greet (struct session *session)
{
	const struct view *view = session->traffic->view;
	enum answer_code code;

	session->is_starting = !view || !view->configuration;
	if (session->is_starting)
		return;
	code = session_resolve_route (session);
	if (code != ANSWER_DONE)
	{
		wire_encode_error (session->stream.out, code,
		                   code == ANSWER_UNAUTHORIZED ? "the key is not known"
		                                               : "no route has this name");
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
	session->has_nul = memchr (message->database.start, '\0', message->database.length) != NULL;
	session->key = key_digest_of (message->caller.start, message->caller.length);
	session_greet (session);
}

static void
handle_line (struct line_stream *stream, struct text line)
{
	struct session *session = stream_session (stream);
	struct caller_message message =
		session->is_relay ? wire_decode_forwarded (line) : wire_decode_caller (line);
	int64_t now_us = clock_now_us ();

	session->active_us = now_us;
	if (message.kind == CALLER_QUERY && session->is_greeted)
	{
		/* One request at a time; later ones stay in the buffer. */
		line_stream_set_paused (stream, true);
		request_copy_message (session, &message, now_us);
		if (session->is_relay)
			relay_handle_query (session, &message, now_us);
		else
			session_handle_query (session, now_us);
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
	if (error == -EMSGSIZE)
	{
		counter_add (COUNTER_CLIENTS_CLOSED_OVERSIZED, 1);
		log_event (LOG_LEVEL_INFO, "client_closed_oversized", "bytes=%zu vm=%d",
		           stream->in->len - stream->in_start, stream_session (stream)->is_relay);
	}
	session_close (stream_session (stream));
}

static void
handle_reading (struct line_stream *stream)
{
	struct gateway_traffic *traffic = stream_session (stream)->traffic;

	if (buffer_budget_is_short (&traffic->budget))
		client_limits_make_room (traffic, clock_now_us ());
}

static size_t
count_bytes (const struct line_stream *stream)
{
	const struct session *session = (const struct session *) stream;

	return SESSION_BASE_BYTES + session->request.id->allocated_len +
	       session->request.text->allocated_len + session->request.answer->allocated_len +
	       session->value_bytes + session->name_bytes +
	       (session->database ? strlen (session->database) : 0);
}

static const struct line_stream_ops session_ops = {
	.handle_line = handle_line,
	.handle_closed = handle_closed,
	.handle_reading = handle_reading,
	.count_bytes = count_bytes,
};

void
session_accept (struct gateway_traffic *traffic, int fd, uint32_t peer_ip)
{
	struct session *session = g_new0 (struct session, 1);
	size_t prefix_bytes = peer_ip ? RELAY_PREFIX_BYTES : 0;
	int result = line_stream_init (&session->stream, &traffic->loop, &session_ops, fd,
	                               WIRE_MAX_MESSAGE_BYTES + prefix_bytes);

	if (result < 0)
	{
		log_event (LOG_LEVEL_ERROR, "accept_failed", "error=%d", result);
		g_free (session);
		return;
	}
	session->traffic = traffic;
	session->is_relay = peer_ip != 0;
	session->peer_ip = peer_ip;
	session->stream.bounds_output = true;
	session->values = byte_string_table_new (g_free);
	session->prepared = byte_string_table_new (NULL);
	session->request.id = g_string_new (NULL);
	session->request.text = g_string_new (NULL);
	session->request.answer = g_string_new (NULL);
	session->accepted_us = clock_now_us ();
	session->active_us = session->accepted_us;
	session->link.data = session;
	g_queue_push_tail_link (&traffic->sessions, &session->link);
	if (session->is_relay)
		client_limits_add_peer (traffic, peer_ip, 1);
	line_stream_set_budget (&session->stream, &traffic->budget);
}
