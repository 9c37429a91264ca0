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

void
connection_handle_lost (struct connection *connection, const char *cause, int error)
{
	struct session *session = connection->session;
	struct server *server = connection->server;
	bool was_opening = connection->state == CONNECTION_OPENING;
	bool is_relayed = connection->is_relayed;
	uint32_t relay_ip = connection->relay_ip;
	int64_t now_us = clock_now_us ();

	if (connection->state != CONNECTION_IDLE || session)
		log_event (LOG_LEVEL_WARN, "connection_lost", "server=%s cause=%s error=%d state=%d",
		           log_text (server->id), cause, error, connection->state);
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

void
connection_give_up (struct connection *connection, const char *cause)
{
	struct session *session = connection->session;

	if (session && session->is_relay)
		relay_give_up (session, cause);
	else
		server_end_connection (connection);
}

static void
handle_line (struct line_stream *stream, struct text line)
{
	connection_handle_line (stream_connection (stream), line);
}

static void
handle_closed (struct line_stream *stream, int error)
{
	struct connection *connection = stream_connection (stream);

	if (connection->state != CONNECTION_CLOSED)
		connection_handle_lost (connection, "closed", error);
}

static size_t
count_bytes (const struct line_stream *stream)
{
	const struct connection *connection = (const struct connection *) stream;

	return connection->answer->allocated_len + connection->value_bytes +
	       (connection->match ? sizeof *connection->match : 0) +
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
	connection->values = byte_string_table_new (g_free);
	connection->prepared = g_hash_table_new (NULL, NULL);
	connection->answer = g_string_new (NULL);
	connection->greeting = g_string_new (NULL);
	connection->summary.is_ordered = true;
	if (!owner)
	{
		connection->match = g_new (struct answer_match, 1);
		answer_match_init (connection->match);
	}
	connection->sent_us = now_us;
	connection->is_relayed = owner != NULL;
	connection->relay_ip = owner ? owner->ip : 0;
	line_stream_connect (&connection->stream, &traffic->loop, &connection_ops,
	                     owner ? owner->ip : server->ip, owner ? owner->port : server->port,
	                     traffic->settings.ip, WIRE_MAX_MESSAGE_BYTES);
	if (connection->stream.connect_error < 0)
		log_event (LOG_LEVEL_WARN, "connect_failed", "server=%s relayed=%d error=%d",
		           log_text (server->id), connection->is_relayed, connection->stream.connect_error);
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
	g_string_free (connection->greeting, TRUE);
	g_free (connection->match);
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
	connection->session = NULL;
	if (connection->match && !answer_match_may_go_on (connection->match))
	{
		connection_close (connection);
		service_dispatch (server->service);
		return;
	}
	connection->idle_us = now_us;
	connection_set_state (connection, CONNECTION_IDLE);
	if ((server->status_requested || server->demote_term > 0) &&
	    server_may_ask (server, connection))
		connection_request_status (connection, now_us);
	service_dispatch (server->service);
}

void
connection_roll_back (struct connection *connection)
{
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
	connection->has_reported = true;
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
		struct byte_string *held = g_hash_table_lookup (connection->values, name);

		if (!held || !byte_string_equals (held, value))
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
		struct byte_string *held = g_hash_table_lookup (connection->values, name);

		if (held && byte_string_equals (held, value))
			continue;
		wire_encode_set (out, byte_string_text (name), byte_string_text (value));
		connection->value_bytes += ((const struct byte_string *) value)->length;
		if (!held)
			connection->value_bytes +=
				((const struct byte_string *) name)->length + TABLE_ENTRY_BYTES;
		connection->value_bytes -= held ? held->length : 0;
		g_hash_table_replace (connection->values, byte_string_new (byte_string_text (name)),
		                      byte_string_new (byte_string_text (value)));
		count++;
	}
	if (shape && !g_hash_table_contains (connection->prepared, shape))
	{
		wire_encode_prepare (out, shape->name, shape->is_write, byte_string_text (shape->shape));
		g_hash_table_add (connection->prepared, shape);
		count++;
	}
	return count;
}
