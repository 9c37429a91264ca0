#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "platform/wire.h"

#include <errno.h>

static struct connection *
stream_connection (struct line_stream *stream)
{
	return (struct connection *) stream;
}

void
connection_set_state (struct connection *connection, enum connection_state state)
{
	struct server *server = connection->server;
	bool was_running = connection->state == CONNECTION_RUNNING && connection->lost_us == 0;
	bool was_probing = connection->state == CONNECTION_PROBING;

	server->running_count += (state == CONNECTION_RUNNING) - was_running;
	server->probing_count += (state == CONNECTION_PROBING) - was_probing;
	connection->state = state;
	connection->lost_us = 0;
	server->pool.is_current = false;
}

void
connection_release_slot (struct connection *connection, int64_t now_us)
{
	connection->lost_us = now_us;
	connection->server->running_count--;
	connection->server->pool.is_current = false;
}

static void
handle_connected (struct line_stream *stream)
{
	struct connection *connection = stream_connection (stream);
	struct server *server = connection->server;

	wire_encode_start (stream->out, server->service->name,
	                   connection->tenant ? connection->tenant->name
	                                      : server->service->traffic->settings.vm,
	                   server->id);
}

/** Handles the READY that ends the answer to the greeting. */
static void
handle_greeting (struct connection *connection, int64_t now_us)
{
	if (connection->is_relayed)
		server_handle_relay_alive (connection->server, connection->relay_ip);
	if (connection->tenant)
		connection->tenant->connections_opened++;
	connection_release (connection, now_us);
}

/** Handles the server's refusal of the connection. */
static void
handle_refused (struct connection *connection, enum answer_code code, int64_t now_us)
{
	/* Other VMs close surplus connections within seconds. A wrong server stays wrong until its entry changes. */
	enum
	{
		GROWTH_PAUSE_US = 300 * US_PER_MS,
		WRONG_SERVER_PAUSE_US = 1000 * US_PER_MS,
	};
	struct server *server = connection->server;

	log_event (LOG_LEVEL_WARN, "connection_refused",
	           "server=%s code=%s open=%u relayed=%d owner=%d standby=%d owner_lost_ms=%lld",
	           server->id, answer_code_name (code), server->connection_count,
	           connection->is_relayed, server->owners[0].is_self, server->owners[1].is_self,
	           server->is_relay_lost ? (long long) (now_us - server->relay_lost_us) / US_PER_MS
	                                 : 0);
	if (connection->is_relayed && code == ANSWER_OVERLOADED)
		server_handle_suspicion (server, connection->relay_ip, now_us);
	else if (connection->is_relayed)
		server_handle_relay_lost (server, connection->relay_ip, false, now_us);
	else if (code == ANSWER_TOO_MANY_CONNECTIONS)
	{
		server_handle_alive (server, now_us);
		server->next_growth_us = now_us + GROWTH_PAUSE_US;
		server_pool_handle_refused (server, now_us);
	}
	else
		server->next_connect_us = now_us + WRONG_SERVER_PAUSE_US;
	connection_close (connection);
}

static void
answer_reset (struct connection *connection)
{
	line_stream_release_buffer (connection->answer);
	connection->code = ANSWER_DONE;
	connection->is_complete = false;
}

static void
record_position (struct connection *connection, const struct server_message *ready, int64_t now_us)
{
	struct server *server = connection->server;
	struct service *service = server->service;

	if (!ready->has_position)
		return;
	server->applied = ready->position;
	server->applied_us = now_us;
	if (connection->sent_to_primary && service->primary == server && !service->is_changing)
		position_history_add (&service->history, connection->sent_us, ready->position);
}

static void
handle_setup_answer (struct connection *connection, const struct server_message *ready,
                     int64_t now_us)
{
	struct session *session = connection->session;

	if (connection->code != ANSWER_DONE && connection->setup_code == ANSWER_DONE)
	{
		connection->setup_code = connection->code;
		connection->setup_is_in_doubt =
			!connection->setup_has_begin || connection->setup_pending > 1;
	}
	connection->is_in_transaction = ready->state != TRANSACTION_NONE;
	answer_reset (connection);
	if (--connection->setup_pending > 0)
		return;
	if (connection->setup_code == ANSWER_DONE && session)
	{
		session_run (session, connection, now_us);
		return;
	}
	if (connection->setup_code != ANSWER_DONE)
		log_event (LOG_LEVEL_INFO, "setup_refused", "server=%s code=%s", connection->server->id,
		           answer_code_name (connection->setup_code));
	connection->session = NULL;
	if (session)
	{
		session->connection = NULL;
		session_handle_setup_failed (session, connection->server, connection->setup_code, now_us);
	}
	/* A refused BEGIN does not change the state of the connection. */
	if (connection->setup_is_in_doubt)
		connection_close (connection);
	else if (connection->is_in_transaction)
		connection_roll_back (connection);
	else
		connection_release (connection, now_us);
}

static void
handle_statement_answer (struct connection *connection, const struct server_message *ready,
                         int64_t now_us)
{
	struct session *session = connection->session;
	struct server *server = connection->server;
	int64_t elapsed_us = now_us - connection->sent_us;
	bool was_lost = connection->lost_us > 0;

	/* Through an owner, the statement is sent without waiting for the answers to the setup. */
	if (connection->setup_pending > 0)
	{
		connection->setup_pending--;
		answer_reset (connection);
		return;
	}
	server->latency_us += (elapsed_us - server->latency_us) / 8;
	if (!connection->is_relayed && !was_lost)
		answer_time_add (&server->answer_time, elapsed_us);
	if (!connection->is_relayed && !was_lost)
		server->served_us = now_us;
	if (!connection->is_relayed && !was_lost && connection->code == ANSWER_DONE && session)
		service_time_add (&server->times, session_time_kind (session), elapsed_us);
	if (server->probe_read == connection)
	{
		server->probe_read = NULL;
		server->is_behind = connection->code == ANSWER_BEHIND;
	}
	connection->is_in_transaction = ready->state != TRANSACTION_NONE;
	connection_set_state (connection, CONNECTION_IDLE);
	if (session)
	{
		session_handle_answer (session, connection, ready, now_us);
		return;
	}
	if (connection->is_in_transaction)
		connection_roll_back (connection);
	else
		connection_release (connection, now_us);
}

static void
handle_probe_answer (struct connection *connection, int64_t now_us)
{
	struct server *server = connection->server;

	connection->status.applied = server->applied;
	if (connection->has_status && connection->is_status && !connection->is_relayed)
		server_apply_running (server, connection, now_us);
	if (connection->has_status)
		gateway_traffic_send_report (server, &connection->status, now_us);
	connection->has_status = false;
	connection_release (connection, now_us);
}

static void
handle_ready (struct connection *connection, const struct server_message *ready)
{
	int64_t now_us = clock_now_us ();

	/* The owner answers greetings itself, so this says nothing about the server. */
	if (!connection->is_relayed || connection->state != CONNECTION_OPENING)
		server_handle_alive (connection->server, now_us);
	if (connection->is_relayed)
		connection->server->relay_answered_us = now_us;
	if (connection->is_relayed && ready->has_load)
	{
		connection->server->load = ready->load;
		connection->server->load_us = now_us;
	}
	record_position (connection, ready, now_us);
	switch (connection->state)
	{
	case CONNECTION_OPENING:
		handle_greeting (connection, now_us);
		break;
	case CONNECTION_SETUP:
		handle_setup_answer (connection, ready, now_us);
		break;
	case CONNECTION_RUNNING:
		handle_statement_answer (connection, ready, now_us);
		break;
	case CONNECTION_ROLLING_BACK:
		connection->is_in_transaction = ready->state != TRANSACTION_NONE;
		if (connection->is_in_transaction)
			connection_close (connection);
		else
			connection_release (connection, now_us);
		break;
	case CONNECTION_PROBING:
		handle_probe_answer (connection, now_us);
		break;
	default:
		connection_close (connection);
		break;
	}
}

static void
handle_connection_lost (struct connection *connection, const char *cause, int error)
{
	struct session *session = connection->session;
	struct server *server = connection->server;
	bool was_opening = connection->state == CONNECTION_OPENING;
	bool is_relayed = connection->is_relayed;
	uint32_t relay_ip = connection->relay_ip;
	int64_t now_us = clock_now_us ();

	if (connection->state != CONNECTION_IDLE || session)
		log_event (LOG_LEVEL_WARN, "connection_lost", "server=%s cause=%s error=%d state=%d",
		           server->id, cause, error, connection->state);
	connection->session = NULL;
	connection_close (connection);
	if (is_relayed && (was_opening || session))
	{
		server_handle_relay_lost (server, relay_ip, error != -ETIMEDOUT, now_us);
		/* The owner may have closed it because it does not reach the server, which its answer to the next greeting
		 * shows. */
		if (!was_opening)
			server->relay_retry_us = now_us;
	}
	else if (was_opening)
		server_handle_failed (server, now_us);
	if (!session)
		return;
	session->connection = NULL;
	session_handle_lost (session, now_us);
}

/** Appends a line to the answer, which ends the connection when it becomes too large to be held. */
static void
append_line (struct connection *connection, struct text line)
{
	GString *answer = connection->answer;

	if (answer->len + line.length >
	    buffer_budget_share (&connection->server->service->traffic->budget))
	{
		counter_add (COUNTER_ANSWERS_OVERSIZED, 1);
		handle_connection_lost (connection, "answer_oversized", -EMSGSIZE);
		return;
	}
	g_string_append_len (answer, line.start, (gssize) line.length);
	g_string_append (answer, "\r\n");
}

/** Records the owner's sample. Its age, which was taken at the answer, is counted from the sending of the query, so the
 * sample is dated too early rather than too late. */
static void
record_sample (struct connection *connection, struct text row)
{
	struct service *service = connection->server->service;
	struct log_position position;
	uint64_t age_us;

	if (wire_decode_sample (row, &age_us, &position) < 0)
		log_event (LOG_LEVEL_ERROR, "sample_malformed", "server=%s", connection->server->id);
	else if (connection->sent_to_primary && service->primary == connection->server &&
	         !service->is_changing)
		position_history_add (&service->history, connection->sent_us - (int64_t) age_us, position);
}

static void
handle_line (struct line_stream *stream, struct text line)
{
	struct connection *connection = stream_connection (stream);
	struct server_message message = wire_decode_server (line);

	switch (message.kind)
	{
	case SERVER_ROW:
		if (connection->state == CONNECTION_PROBING && connection->is_sample)
			record_sample (connection, message.text);
		else if (connection->state == CONNECTION_PROBING)
			connection->has_status = wire_decode_status (message.text, &connection->status) == 0;
		else
			append_line (connection, line);
		break;
	case SERVER_COMPLETE:
		connection->is_complete = true;
		append_line (connection, line);
		break;
	case SERVER_ERROR:
		connection->code = message.code;
		append_line (connection, line);
		if (connection->state == CONNECTION_OPENING)
			handle_refused (connection, message.code, clock_now_us ());
		break;
	case SERVER_READY:
		handle_ready (connection, &message);
		break;
	case SERVER_MALFORMED:
		handle_connection_lost (connection, "malformed", -EPROTO);
		break;
	}
}

static void
handle_closed (struct line_stream *stream, int error)
{
	struct connection *connection = stream_connection (stream);

	if (connection->state != CONNECTION_CLOSED)
		handle_connection_lost (connection, "closed", error);
}

static size_t
count_bytes (const struct line_stream *stream)
{
	const struct connection *connection = (const struct connection *) stream;

	return connection->answer->allocated_len + connection->value_bytes +
	       g_hash_table_size (connection->prepared) * (size_t) TABLE_POINTER_BYTES;
}

static const struct line_stream_ops connection_ops = {
	.handle_connected = handle_connected,
	.handle_line = handle_line,
	.handle_closed = handle_closed,
	.count_bytes = count_bytes,
};

void
connection_open (struct server *server, const struct server_owner *owner,
                 struct tenant_state *tenant, int64_t now_us)
{
	struct gateway_traffic *traffic = server->service->traffic;
	struct connection *connection = g_new0 (struct connection, 1);

	connection->server = server;
	connection->tenant = owner ? NULL : tenant;
	connection->state = CONNECTION_CLOSED;
	connection->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	connection->prepared = g_hash_table_new (NULL, NULL);
	connection->answer = g_string_new (NULL);
	connection->sent_us = now_us;
	connection->is_relayed = owner != NULL;
	connection->relay_ip = owner ? owner->ip : 0;
	line_stream_connect (&connection->stream, &traffic->loop, &connection_ops,
	                     owner ? owner->ip : server->ip, owner ? owner->port : server->port,
	                     traffic->settings.ip, WIRE_MAX_MESSAGE_BYTES);
	if (connection->stream.connect_error < 0)
		log_event (LOG_LEVEL_WARN, "connect_failed", "server=%s relayed=%d error=%d", server->id,
		           connection->is_relayed, connection->stream.connect_error);
	connection_set_state (connection, CONNECTION_OPENING);
	line_stream_set_budget (&connection->stream, &traffic->budget);
	connection->next = server->connections;
	server->connections = connection;
	server->connection_count++;
	if (!connection->is_relayed)
		counter_add (COUNTER_SERVER_CONNECTIONS_OPENED, 1);
}

void
connection_close (struct connection *connection)
{
	struct server *server = connection->server;
	struct gateway_traffic *traffic = server->service->traffic;
	struct connection **link = &server->connections;

	if (connection->state == CONNECTION_CLOSED)
		return;
	connection_set_state (connection, CONNECTION_CLOSED);
	if (server->probe_read == connection)
		server->probe_read = NULL;
	line_stream_finish (&connection->stream);
	while (*link && *link != connection)
		link = &(*link)->next;
	if (*link)
		*link = connection->next;
	server->connection_count--;
	traffic->dead_connections = g_slist_prepend (traffic->dead_connections, connection);
	loop_set_timer (&traffic->loop, &traffic->reap, 0);
}

void
connection_free (struct connection *connection)
{
	line_stream_finish (&connection->stream);
	g_hash_table_destroy (connection->values);
	g_hash_table_destroy (connection->prepared);
	g_string_free (connection->answer, TRUE);
	g_free (connection);
}

void
connection_release (struct connection *connection, int64_t now_us)
{
	struct server *server = connection->server;

	INVARIANT (!connection->is_in_transaction, "P3");
	if (connection->is_in_transaction)
	{
		connection_roll_back (connection);
		return;
	}
	answer_reset (connection);
	connection->session = NULL;
	connection->idle_us = now_us;
	connection_set_state (connection, CONNECTION_IDLE);
	if (server->status_requested || server->demote_term > 0)
		connection_request_status (connection, now_us);
	service_dispatch (server->service);
}

void
connection_roll_back (struct connection *connection)
{
	answer_reset (connection);
	connection->session = NULL;
	connection->sent_us = clock_now_us ();
	connection->sent_to_primary = false;
	connection_set_state (connection, CONNECTION_ROLLING_BACK);
	wire_encode_rollback (connection->stream.out);
	line_stream_flush (&connection->stream);
}

static void
begin_probe (struct connection *connection, int64_t now_us)
{
	struct service *service = connection->server->service;

	answer_reset (connection);
	connection->has_status = false;
	connection->sent_us = now_us;
	connection->sent_to_primary =
		service->primary == connection->server && service_can_use_primary (service, now_us);
	connection_set_state (connection, CONNECTION_PROBING);
}

void
connection_request_sample (struct connection *connection, int64_t now_us)
{
	begin_probe (connection, now_us);
	connection->is_sample = true;
	connection->is_status = false;
	wire_encode_sample_request (connection->stream.out);
	line_stream_flush (&connection->stream);
}

void
connection_request_status (struct connection *connection, int64_t now_us)
{
	struct server *server = connection->server;

	begin_probe (connection, now_us);
	connection->is_sample = false;
	connection->is_status = server->demote_term == 0;
	if (server->demote_term > 0)
		wire_encode_demote (connection->stream.out, server->demote_term);
	else
		wire_encode_status (connection->stream.out);
	server->demote_term = 0;
	server->status_requested = false;
	line_stream_flush (&connection->stream);
}

/** Whether the connection has a session value that the session does not have. */
static bool
has_foreign_value (const struct connection *connection, const struct session *session)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init (&iter, connection->values);
	while (g_hash_table_iter_next (&iter, &name, NULL))
		if (!g_hash_table_contains (session->values, name))
			return true;
	return false;
}

uint32_t
connection_setup_cost (const struct connection *connection, const struct session *session)
{
	/* A reset also drops the prepared statements, which later sessions have to prepare again. */
	enum
	{
		RESET_WEIGHT = 8,
	};
	GHashTableIter iter;
	gpointer name;
	gpointer value;
	uint32_t cost = has_foreign_value (connection, session) ? RESET_WEIGHT : 0;

	g_hash_table_iter_init (&iter, session->values);
	while (g_hash_table_iter_next (&iter, &name, &value))
	{
		const char *held = g_hash_table_lookup (connection->values, name);

		if (!held || strcmp (held, value) != 0)
			cost++;
	}
	if (session->request.shape &&
	    !g_hash_table_contains (connection->prepared, session->request.shape))
		cost++;
	return cost;
}

uint32_t
connection_prepare (struct connection *connection, const struct session *session)
{
	GString *out = connection->stream.out;
	struct prepared_shape *shape = session->request.shape;
	GHashTableIter iter;
	gpointer name;
	gpointer value;
	uint32_t count = 0;

	if (has_foreign_value (connection, session))
	{
		wire_encode_reset (out);
		g_hash_table_remove_all (connection->values);
		g_hash_table_remove_all (connection->prepared);
		connection->value_bytes = 0;
		count++;
	}
	g_hash_table_iter_init (&iter, session->values);
	while (g_hash_table_iter_next (&iter, &name, &value))
	{
		const char *held = g_hash_table_lookup (connection->values, name);

		if (held && strcmp (held, value) == 0)
			continue;
		wire_encode_set (out, name, value);
		connection->value_bytes += strlen (value);
		if (!held)
			connection->value_bytes += strlen (name) + TABLE_ENTRY_BYTES;
		connection->value_bytes -= held ? strlen (held) : 0;
		g_hash_table_replace (connection->values, g_strdup (name), g_strdup (value));
		count++;
	}
	if (shape && !g_hash_table_contains (connection->prepared, shape))
	{
		wire_encode_prepare (out, shape->name, shape->is_write, shape->shape);
		g_hash_table_add (connection->prepared, shape);
		count++;
	}
	return count;
}
