#include "gateway/traffic_private.h"

#include "common/log.h"
#include "common/rpc.h"
#include "decision/succession.h"
#include "gateway/traffic_metrics.h"

#include <ck_pr.h>
#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
	/* Interval of checks of time limits and retries, which bounds the delay that they add. */
	TRAFFIC_TICK_US = 20 * US_PER_MS,
	TRAFFIC_TENANT_REPORT_US = 1 * US_PER_S,
	/* A turn that takes longer is logged. A VM with a quarter of a core may be stalled for 100 ms without a fault. */
	TRAFFIC_LONG_TURN_US = 250 * US_PER_MS,
	TRAFFIC_MANY_SHAPES = 10000, /* Number at which a warning is logged. */
};

enum traffic_command
{
	COMMAND_VIEW,
	COMMAND_RECORDS_VALID,
	COMMAND_REQUEST_STATUS,
	COMMAND_REQUEST_CONTACT,
	COMMAND_LEAVE,
};

struct traffic_message
{
	struct mailbox_message message;
	enum traffic_command command;
	struct view *view;
	int64_t records_valid_us;
	char *server;
	uint64_t demote_term;
};

struct histogram traffic_latencies[TRAFFIC_PRIORITIES][TRAFFIC_HOPS];

bool
gateway_traffic_has_authority (const struct gateway_traffic *traffic, int64_t now_us)
{
	return traffic->view && traffic->view->is_registered &&
	       now_us - traffic->records_valid_us < SUCCESSION_AUTHORITY_MS * US_PER_MS;
}

static struct server_report *
report_new (const struct server *server, int64_t now_us)
{
	struct server_report *report = g_new0 (struct server_report, 1);

	report->server = g_strdup (server->id);
	report->service = g_strdup (server->service->name);
	report->is_unreachable = server->failed_us > 0;
	report->contact_us = server->answered_us;
	report->slots_released = server->slots_released;
	report->at_us = now_us;
	return report;
}

void
gateway_traffic_send_report (struct server *server, const struct database_status *status,
                             int64_t now_us)
{
	struct gateway_traffic *traffic = server->service->traffic;
	struct server_report *report = report_new (server, now_us);

	report->has_status = status != NULL;
	if (status)
		report->status = *status;
	traffic->events->handle_report (traffic->events_data, report);
}

void
gateway_traffic_send_contact (struct server *server, int64_t now_us)
{
	struct gateway_traffic *traffic = server->service->traffic;
	struct server_report *report = report_new (server, now_us);

	report->is_contact = true;
	traffic->events->handle_report (traffic->events_data, report);
}

/** Bytes of a prepared statement's text, its key and the tables' rows. */
static size_t
shape_bytes (const struct prepared_shape *shape)
{
	return 2 * shape->shape->length + sizeof *shape + 64;
}

static void
forget_shape (struct gateway_traffic *traffic, struct prepared_shape *shape)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, traffic->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		for (struct connection *connection = ((struct server *) value)->connections; connection;
		     connection = connection->next)
			g_hash_table_remove (connection->prepared, shape);
	buffer_budget_charge (&traffic->budget, &traffic->shape_bytes,
	                      traffic->shape_bytes - shape_bytes (shape));
}

/** Frees the texts of prepared statements that no session has. Servers keep them, under names that are not used again. */
static void
sweep_shapes (struct gateway_traffic *traffic)
{
	GHashTable *used = g_hash_table_new (NULL, NULL);
	GHashTableIter iter;
	gpointer value;

	for (GList *link = traffic->sessions.head; link; link = link->next)
	{
		g_hash_table_iter_init (&iter, ((struct session *) link->data)->prepared);
		while (g_hash_table_iter_next (&iter, NULL, &value))
			g_hash_table_add (used, value);
	}
	g_hash_table_iter_init (&iter, traffic->shapes);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		if (g_hash_table_contains (used, value))
			continue;
		forget_shape (traffic, value);
		g_hash_table_iter_remove (&iter);
	}
	g_hash_table_destroy (used);
}

/** Whether a text of @p length bytes may be added, after unused ones were freed if necessary. */
static bool
has_room_for_shape (struct gateway_traffic *traffic, size_t length)
{
	/* The search for unused texts passes all sessions. */
	enum
	{
		SWEEP_US = 1 * US_PER_S,
	};
	size_t limit_bytes = buffer_budget_share (&traffic->budget);
	int64_t now_us;

	if (traffic->shape_bytes + 2 * length <= limit_bytes)
		return true;
	now_us = clock_now_us ();
	if (now_us - traffic->shapes_swept_us < SWEEP_US)
		return false;
	traffic->shapes_swept_us = now_us;
	sweep_shapes (traffic);
	return traffic->shape_bytes + 2 * length <= limit_bytes;
}

struct prepared_shape *
gateway_traffic_get_shape (struct gateway_traffic *traffic, struct text shape, bool is_write)
{
	GString *text = g_string_new (is_write ? "w" : "r");
	struct byte_string *key;
	struct prepared_shape *found;

	g_string_append_len (text, shape.start, (gssize) shape.length);
	key = byte_string_new ((struct text){ text->str, text->len });
	g_string_free (text, TRUE);
	found = g_hash_table_lookup (traffic->shapes, key);
	if (found || !has_room_for_shape (traffic, shape.length))
	{
		g_free (key);
		return found;
	}
	if (g_hash_table_size (traffic->shapes) == TRAFFIC_MANY_SHAPES)
		log_event (LOG_LEVEL_WARN, "many_shapes", "count=%d", TRAFFIC_MANY_SHAPES);
	found = g_new0 (struct prepared_shape, 1);
	found->shape = byte_string_new (shape);
	found->is_write = is_write;
	/* Never a name that a server may still hold with another text. */
	snprintf (found->name, sizeof found->name, "p%u", traffic->shape_number++);
	g_hash_table_insert (traffic->shapes, key, found);
	buffer_budget_charge (&traffic->budget, &traffic->shape_bytes,
	                      traffic->shape_bytes + shape_bytes (found));
	return found;
}

static void
shape_free (void *data)
{
	struct prepared_shape *shape = data;

	g_free (shape->shape);
	g_free (shape);
}

static const struct primary_record *
find_record (const struct view *view, const char *service)
{
	for (guint i = 0; i < view->records->len; i++)
	{
		const struct primary_record *primary_record =
			&g_array_index (view->records, struct primary_record, i);

		if (strcmp (primary_record->service, service) == 0)
			return primary_record;
	}
	return NULL;
}

static void
apply_servers (struct gateway_traffic *traffic)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, traffic->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		((struct server *) value)->is_listed = false;
	for (guint i = 0; i < traffic->view->servers->len; i++)
	{
		const struct server_entry *entry =
			&g_array_index (traffic->view->servers, struct server_entry, i);
		struct server *server = g_hash_table_lookup (traffic->servers, entry->id);

		if (!server)
		{
			server = server_new (service_get (traffic, entry->service), entry);
			g_hash_table_insert (traffic->servers, server->id, server);
		}
		server_update (server, entry);
		server_update_owner (server);
	}
}

static void
apply_records_valid (struct gateway_traffic *traffic, int64_t records_valid_us, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (records_valid_us <= traffic->records_valid_us)
		return;
	traffic->records_valid_us = records_valid_us;
	g_hash_table_iter_init (&iter, traffic->services);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		service_handle_records_valid (value, now_us);
}

static void
apply_view (struct gateway_traffic *traffic, struct view *view, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	view_free (traffic->view);
	traffic->view = view;
	if (!view->is_isolated || !view->is_out_of_rotation)
		traffic->out_of_rotation_us = 0;
	else if (traffic->out_of_rotation_us == 0)
		traffic->out_of_rotation_us = now_us;
	tenant_table_apply (traffic->tenants, view->configuration);
	cap_exchange_apply (&traffic->cap_exchange, traffic->tenants, view, traffic->is_leaving,
	                    now_us);
	apply_servers (traffic);
	g_hash_table_iter_init (&iter, traffic->services);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct service *service = value;
		const struct database_service *declared =
			view->configuration ? g_hash_table_lookup (view->configuration->services, service->name)
								: NULL;

		if (declared)
			service->max_connections = declared->max_connections;
		service_apply_record (service, find_record (view, service->name), now_us);
	}
	/* After the records were applied; otherwise a service could use its former primary with the new authority. */
	apply_records_valid (traffic, view->records_valid_us, now_us);
	g_hash_table_iter_init (&iter, traffic->services);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		service_dispatch (value);
}

static void
apply_status_request (struct gateway_traffic *traffic, const char *id, uint64_t demote_term)
{
	struct server *server = g_hash_table_lookup (traffic->servers, id);

	if (!server)
		return;
	server->status_requested = true;
	if (demote_term > 0)
		server->demote_term = demote_term;
	server_tick (server, clock_now_us ());
}

static void
apply_contact_request (struct gateway_traffic *traffic, const char *id, int64_t now_us)
{
	struct server *server = g_hash_table_lookup (traffic->servers, id);

	if (server)
		server_report_contact (server, now_us);
}

static void
handle_message (struct mailbox_message *mail, void *receiver)
{
	struct traffic_message *message = (struct traffic_message *) mail;
	struct gateway_traffic *traffic = receiver;
	int64_t now_us = clock_now_us ();

	switch (message->command)
	{
	case COMMAND_VIEW:
		apply_view (traffic, message->view, now_us);
		break;
	case COMMAND_RECORDS_VALID:
		apply_records_valid (traffic, message->records_valid_us, now_us);
		break;
	case COMMAND_REQUEST_STATUS:
		apply_status_request (traffic, message->server, message->demote_term);
		break;
	case COMMAND_REQUEST_CONTACT:
		apply_contact_request (traffic, message->server, now_us);
		break;
	case COMMAND_LEAVE:
		traffic->is_leaving = true;
		traffic->leaving_us = now_us;
		if (traffic->view)
			cap_exchange_apply (&traffic->cap_exchange, traffic->tenants, traffic->view, true,
			                    now_us);
		break;
	}
	g_free (message->server);
	g_free (message);
}

static struct traffic_message *
message_new (enum traffic_command command)
{
	struct traffic_message *message = g_new0 (struct traffic_message, 1);

	message->message.handle_message = handle_message;
	message->command = command;
	return message;
}

void
gateway_traffic_send_view (struct gateway_traffic *traffic, struct view *view)
{
	struct traffic_message *message = message_new (COMMAND_VIEW);

	message->view = view;
	mailbox_send (&traffic->mailbox, &message->message);
}

void
gateway_traffic_send_records_valid (struct gateway_traffic *traffic, int64_t records_valid_us)
{
	struct traffic_message *message = message_new (COMMAND_RECORDS_VALID);

	message->records_valid_us = records_valid_us;
	mailbox_send (&traffic->mailbox, &message->message);
}

void
gateway_traffic_request_status (struct gateway_traffic *traffic, const char *server,
                                uint64_t demote_term)
{
	struct traffic_message *message = message_new (COMMAND_REQUEST_STATUS);

	message->server = g_strdup (server);
	message->demote_term = demote_term;
	mailbox_send (&traffic->mailbox, &message->message);
}

void
gateway_traffic_request_contact (struct gateway_traffic *traffic, const char *server)
{
	struct traffic_message *message = message_new (COMMAND_REQUEST_CONTACT);

	message->server = g_strdup (server);
	mailbox_send (&traffic->mailbox, &message->message);
}

void
gateway_traffic_send_leave (struct gateway_traffic *traffic)
{
	mailbox_send (&traffic->mailbox, &message_new (COMMAND_LEAVE)->message);
}

struct gateway_traffic_turns
gateway_traffic_get_turns (const struct gateway_traffic *traffic)
{
	return (struct gateway_traffic_turns){
		.turned_us = (int64_t) ck_pr_load_64 ((const uint64_t *) &traffic->turns.turned_us),
		.longest_us = (int64_t) ck_pr_load_64 ((const uint64_t *) &traffic->turns.longest_us),
	};
}

static void
record_turn (struct gateway_traffic *traffic, int64_t now_us)
{
	int64_t turned_us = traffic->turns.turned_us;
	int64_t turn_us = turned_us > 0 ? now_us - turned_us : 0;

	ck_pr_store_64 ((uint64_t *) &traffic->turns.turned_us, (uint64_t) now_us);
	if (turn_us > traffic->turns.longest_us)
		ck_pr_store_64 ((uint64_t *) &traffic->turns.longest_us, (uint64_t) turn_us);
	if (turn_us > TRAFFIC_LONG_TURN_US)
		log_event (LOG_LEVEL_WARN, "traffic_slow", "turn_ms=%lld longest_ms=%lld",
		           (long long) turn_us / US_PER_MS,
		           (long long) traffic->turns.longest_us / US_PER_MS);
}

GArray *
gateway_traffic_take_tenants (struct gateway_traffic *traffic)
{
	return ck_pr_fas_ptr (&traffic->tenant_report, NULL);
}

/** Counts what is waiting and open, and offers a copy of the states of all tenants to the thread that serves operators. */
static void
report_tenants (struct gateway_traffic *traffic, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	GArray *former;

	if (now_us - traffic->tenant_report_us < TRAFFIC_TENANT_REPORT_US ||
	    g_hash_table_size (traffic->tenants) == 0)
		return;
	traffic->tenant_report_us = now_us;
	g_hash_table_iter_init (&iter, traffic->tenants);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		((struct tenant_state *) value)->waiting = 0;
		((struct tenant_state *) value)->connections = 0;
	}
	for (GList *link = traffic->sessions.head; link; link = link->next)
	{
		const struct session *session = link->data;

		if (session->tenant && session->request.is_active && session->request.is_queued)
			session->tenant->waiting++;
	}
	g_hash_table_iter_init (&iter, traffic->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		for (const struct connection *connection = ((struct server *) value)->connections;
		     connection; connection = connection->next)
			if (connection->tenant && connection->state != CONNECTION_OPENING)
				connection->tenant->connections++;
	former = ck_pr_fas_ptr (&traffic->tenant_report, tenant_table_copy (traffic->tenants));
	if (former)
		g_array_unref (former);
}

static void
run_dispatches (struct gateway_traffic *traffic, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, traffic->services);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		service_run_dispatch (value, now_us);
}

static void
handle_tick (struct loop_timer *timer, int64_t now_us)
{
	struct gateway_traffic *traffic = timer->data;
	GHashTableIter iter;
	gpointer value;
	GList *next;

	record_turn (traffic, now_us);
	client_limits_tick (traffic, now_us);
	loop_set_timer (&traffic->loop, timer, now_us + TRAFFIC_TICK_US);
	/* A slot that has become free in this turn is given away first; otherwise all that wait for it would be judged as if
	 * they waited for something else. */
	run_dispatches (traffic, now_us);
	for (GList *link = traffic->sessions.head; link; link = next)
	{
		next = link->next;
		session_tick (link->data, now_us);
	}
	session_handle_ends (traffic, now_us);
	g_hash_table_iter_init (&iter, traffic->services);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		service_tick (value, now_us);
	report_tenants (traffic, now_us);
	if (traffic->is_leaving && traffic->sessions.length == 0)
		traffic->events->handle_leave_complete (traffic->events_data);
}

static void
handle_dispatch (struct loop_timer *timer, int64_t now_us)
{
	run_dispatches (timer->data, now_us);
}

static void
handle_ends (struct loop_timer *timer, int64_t now_us)
{
	session_handle_ends (timer->data, now_us);
}

static void
reap (struct gateway_traffic *traffic)
{
	g_slist_free_full (traffic->dead_sessions, (GDestroyNotify) session_free);
	g_slist_free_full (traffic->dead_connections, (GDestroyNotify) connection_free);
	traffic->dead_sessions = NULL;
	traffic->dead_connections = NULL;
}

static void
handle_reap (struct loop_timer *timer, int64_t now_us)
{
	reap (timer->data);
}

struct gateway_traffic *
gateway_traffic_new (const struct gateway_traffic_settings *settings)
{
	struct gateway_traffic *traffic = g_new0 (struct gateway_traffic, 1);

	traffic->settings = *settings;
	traffic->services =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) service_free);
	traffic->servers =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) server_free);
	traffic->tenants = tenant_table_new ();
	traffic->shapes = byte_string_table_new (shape_free);
	traffic->peer_sessions = g_hash_table_new (NULL, NULL);
	client_limits_init (traffic);
	g_queue_init (&traffic->sessions);
	g_queue_init (&traffic->ending);
	traffic->tick.handle_timer = handle_tick;
	traffic->tick.data = traffic;
	traffic->dispatch.handle_timer = handle_dispatch;
	traffic->dispatch.data = traffic;
	traffic->reap.handle_timer = handle_reap;
	traffic->reap.data = traffic;
	traffic->end.handle_timer = handle_ends;
	traffic->end.data = traffic;
	traffic->listener.fd = -1;
	traffic->relay_listener.fd = -1;
	if (loop_init (&traffic->loop) < 0 ||
	    mailbox_init (&traffic->mailbox, &traffic->loop, traffic) < 0)
		goto fail;
	cap_exchange_init (&traffic->cap_exchange, &traffic->loop, settings->vm, settings->zone,
	                   settings->ip, settings->relay_port);
	traffic->cap_exchange.terms = settings->usage_terms;
	traffic->listener.fd = rpc_listen (settings->ip, settings->caller_port);
	if (traffic->listener.fd < 0)
	{
		log_event (LOG_LEVEL_ERROR, "listen_failed", "port=%u error=%d", settings->caller_port,
		           traffic->listener.fd);
		goto fail;
	}
	traffic->relay_listener.fd = rpc_listen (settings->ip, settings->relay_port);
	if (traffic->relay_listener.fd < 0)
	{
		log_event (LOG_LEVEL_ERROR, "listen_failed", "port=%u error=%d", settings->relay_port,
		           traffic->relay_listener.fd);
		goto fail;
	}
	client_limits_set_listener (traffic, &traffic->listener);
	client_limits_set_listener (traffic, &traffic->relay_listener);
	traffic->listener.handle_ready = client_limits_accept;
	traffic->listener.data = traffic;
	traffic->relay_listener.handle_ready = client_limits_accept;
	traffic->relay_listener.data = traffic;
	return traffic;

fail:
	gateway_traffic_free (traffic);
	return NULL;
}

static void *
traffic_main (void *data)
{
	struct gateway_traffic *traffic = data;
	int result = loop_run (&traffic->loop);

	if (result < 0)
		log_event (LOG_LEVEL_ERROR, "traffic_failed", "error=%d", result);
	return NULL;
}

void
gateway_traffic_prepare (struct gateway_traffic *traffic,
                         const struct gateway_traffic_events *events, void *data)
{
	traffic->events = events;
	traffic->events_data = data;
	loop_set_source (&traffic->loop, &traffic->listener, EPOLLIN);
	loop_set_source (&traffic->loop, &traffic->relay_listener, EPOLLIN);
	loop_set_timer (&traffic->loop, &traffic->tick, clock_now_us () + TRAFFIC_TICK_US);
}

int
gateway_traffic_start (struct gateway_traffic *traffic, const struct gateway_traffic_events *events,
                       void *data)
{
	int result;

	gateway_traffic_prepare (traffic, events, data);
	result = pthread_create (&traffic->thread, NULL, traffic_main, traffic);
	traffic->has_thread = result == 0;
	return -result;
}

static void
ignore_report (void *data, struct server_report *report)
{
	(void) data;
	g_free (report->server);
	g_free (report->service);
	g_free (report);
}

static void
ignore_quiesced (void *data, const char *service, uint64_t change)
{
	(void) data;
	(void) service;
	(void) change;
}

static void
ignore_leave_complete (void *data)
{
	(void) data;
}

const struct gateway_traffic_events gateway_traffic_no_events = {
	.handle_report = ignore_report,
	.handle_quiesced = ignore_quiesced,
	.handle_leave_complete = ignore_leave_complete,
};

void
gateway_traffic_stop (struct gateway_traffic *traffic)
{
	if (!traffic->has_thread)
		return;
	loop_stop (&traffic->loop);
	pthread_join (traffic->thread, NULL);
	traffic->has_thread = false;
	/* The receiver of the events may be gone before the remaining connections are closed. */
	traffic->events = &gateway_traffic_no_events;
}

void
gateway_traffic_free (struct gateway_traffic *traffic)
{
	gateway_traffic_stop (traffic);
	/* Delivers the remaining messages, which needs the tables. */
	mailbox_finish (&traffic->mailbox);
	while (traffic->sessions.head)
		session_close (traffic->sessions.head->data);
	g_hash_table_destroy (traffic->servers);
	reap (traffic);
	cap_exchange_finish (&traffic->cap_exchange);
	g_hash_table_destroy (traffic->services);
	g_hash_table_destroy (traffic->tenants);
	if (traffic->tenant_report)
		g_array_unref (traffic->tenant_report);
	g_hash_table_destroy (traffic->shapes);
	g_hash_table_destroy (traffic->peer_sessions);
	view_free (traffic->view);
	if (traffic->listener.fd >= 0)
		close (traffic->listener.fd);
	if (traffic->relay_listener.fd >= 0)
		close (traffic->relay_listener.fd);
	loop_finish (&traffic->loop);
	g_free (traffic);
}
