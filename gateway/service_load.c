/**
 * @file
 * Measures for the decisions about the queue of a service: what waits, what runs, and how long it takes.
 */
#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "decision/waiting.h"

enum
{
	/* Age at which the load report of an owner no longer counts, e.g. of one that was lost. */
	LOAD_REPORT_AGE_US = 1 * US_PER_S,
	/* A measurement passes the whole queue, and a VM has 0.12 of a core, so it is reused for this long. */
	LOAD_MEASURE_US = 5 * US_PER_MS,
};

enum service_time_kind
session_time_kind (const struct session *session)
{
	if (session->request.statement.kind == STATEMENT_COMMIT)
		return SERVICE_TIME_COMMIT;
	return request_is_write (&session->request) ? SERVICE_TIME_WRITE : SERVICE_TIME_READ;
}

/** Whether statements of sessions here take the slots of the server, as far as this VM counts them. */
static bool
is_direct (const struct server *server, const struct session *session)
{
	return session->is_relay || !server_uses_relay (server);
}

/** Whether the server has not answered any statement for longer than usual. */
static bool
is_stalled (const struct server *server, int64_t now_us)
{
	return now_us - server->served_us > answer_time_overdue_us (&server->answer_time);
}

/** Finds the server for whose slot the session waits: the one that may run it, is used directly, and has least to do. */
static struct server *
find_queue_server (const struct session *session, int64_t now_us)
{
	const struct service *service = session->service;
	struct server *best = NULL;

	if (session->is_relay)
		return session->relay_server;
	for (guint i = 0; i < service->servers->len; i++)
	{
		struct server *server = service->servers->pdata[i];

		if (is_direct (server, session) && service_may_run (session, server, now_us) &&
		    (!best || server->running_count * best->slots < best->running_count * server->slots))
			best = server;
	}
	return best;
}

static int64_t
expected_at (const struct server *server, const struct session *session)
{
	static const struct service_time unknown = { 0 };

	return service_time_expected_us (server ? &server->times : &unknown,
	                                 session_time_kind (session));
}

/** Server by which the time of a queued statement is estimated. */
static const struct server *
estimate_server (const struct session *session)
{
	return session->is_relay ? session->relay_server : session->service->primary;
}

struct work_item
service_work_item (const struct session *session)
{
	const struct request *request = &session->request;
	struct work_item item = {
		.priority = session->priority,
		.is_started = session->state != TRANSACTION_NONE && session->is_started,
		.may_move = request->may_move,
		.expected_us = expected_at (estimate_server (session), session),
	};

	item.due_us = waiting_due_us (
		request->arrived_us, (int64_t) session->target_latency_ms * US_PER_MS, item.expected_us);
	return item;
}

struct work_order
service_work_order (const struct session *session, int64_t now_us)
{
	const struct service *service = session->service;
	struct work_item item = service_work_item (session);
	const struct work_share *share =
		session->tenant ? g_hash_table_lookup (service->shares, session->tenant) : NULL;
	const struct work_share none = { 0 };
	const struct server *server = estimate_server (session);
	struct work_order order =
		work_queue_order (&service->work, &item, share || !session->tenant ? share : &none, now_us);

	/* While answers are lost, the order is that of arrival: repeated statements come first, and what was late stays. */
	if (server && is_stalled (server, now_us))
		order.is_late = false;
	return order;
}

/** Whether all slots are in use, or will be by statements whose connections are set up now. */
static bool
has_no_slot (const struct server *server)
{
	uint32_t used = 0;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
		used += !connection->is_relayed && connection->lost_us == 0 &&
		        (connection->state == CONNECTION_SETUP || connection->state == CONNECTION_RUNNING);
	return used >= server->slots;
}

bool
service_waits_for_slot (const struct session *session, int64_t now_us)
{
	const struct server *server = find_queue_server (session, now_us);

	/* Open transactions may hold all connections between their statements. */
	return server && server->failed_us == 0 && !is_stalled (server, now_us) &&
	       (has_no_slot (server) || server_lacks_connections (server));
}

/** Collects what a server runs, and what is queued for it before @p order; NULL: all that can be in time. */
static struct wait_load
collect_load (const struct server *server, const struct session *self,
              const struct work_order *order, int64_t now_us)
{
	struct service *service = server->service;
	struct wait_load load = { .slots = server->slots };

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		int64_t expected_us;

		if (connection->is_relayed || connection->state != CONNECTION_RUNNING ||
		    connection->lost_us > 0)
			continue;
		expected_us = connection->session
		                  ? expected_at (server, connection->session)
		                  : service_time_expected_us (&server->times, SERVICE_TIME_READ);
		wait_load_add_running (&load, expected_us, now_us - connection->sent_us);
	}
	for (GList *link = service->waiting.head; link; link = link->next)
	{
		const struct session *other = link->data;

		if (other == self ||
		    (other->is_relay ? other->relay_server != server : service->primary != server))
			continue;
		if (order ? work_order_compare (&other->request.order, order) < 0
		          : !other->request.order.is_late)
			wait_load_add_queued (&load, expected_at (server, other));
	}
	return load;
}

void
service_predict_wait (struct session *session, int64_t now_us)
{
	struct request *request = &session->request;
	const struct server *server = find_queue_server (session, now_us);
	struct wait_load load;

	request->has_prediction = server != NULL;
	request->predicted_us = 0;
	request->queued_us = now_us;
	if (!server || server_direct_running (server) < server->slots)
		return;
	load = collect_load (server, session, &session->request.order, now_us);
	request->predicted_us = wait_predict_us (&load);
}

static struct work_share *
get_share (struct service *service, struct tenant_state *tenant)
{
	struct work_share *share = g_hash_table_lookup (service->shares, tenant);

	if (share)
		return share;
	share = g_new0 (struct work_share, 1);
	g_hash_table_insert (service->shares, tenant, share);
	return share;
}

void
service_account_start (struct session *session, const struct connection *connection, int64_t now_us)
{
	struct request *request = &session->request;
	struct service *service = session->service;
	struct tenant_state *tenant = session->tenant;
	struct work_item item = service_work_item (session);

	/* A tenant with a higher cap has a larger share. */
	work_queue_start (&service->work, &item, tenant ? get_share (service, tenant) : NULL,
	                  tenant && tenant->has_cap ? MAX (tenant->rate_per_s, 1) : 1);
	if (!request->has_prediction)
		return;
	request->has_prediction = false;
	counter_add (COUNTER_WAIT_PREDICTIONS, 1);
	counter_add (COUNTER_WAIT_PREDICTION_ERROR_US,
	             wait_error_add (&connection->server->wait_error, request->predicted_us,
	                             now_us - request->queued_us));
}

bool
service_exceeds_limit (const struct session *session, bool is_arrival, int64_t now_us)
{
	const struct request *request = &session->request;
	const struct server *server = find_queue_server (session, now_us);
	struct waiting_outlook outlook = {
		.has_free_slot = is_arrival && (!server || server_direct_running (server) < server->slots),
		.wait_us = is_arrival && request->has_prediction ? request->predicted_us : 0,
		.error_us = server ? server->wait_error.mean_us : 0,
		.expected_us = expected_at (server, session),
		.limit_left_us = request->deadline_us - now_us,
	};

	return waiting_judge_limit (&outlook) == WAITING_REFUSE;
}

struct load_report
server_measure_load (struct server *server, int64_t now_us)
{
	struct wait_load load = { .slots = server->slots };

	if (now_us - server->measured_us < LOAD_MEASURE_US)
		return server->measured;
	if (server_direct_running (server) >= server->slots)
		load = collect_load (server, NULL, NULL, now_us);
	server->measured_us = now_us;
	server->measured =
		(struct load_report){ (uint32_t) (wait_predict_us (&load) / US_PER_MS), load.queued };
	return server->measured;
}

int64_t
server_reported_wait_us (const struct server *server, int64_t now_us)
{
	if (!server_uses_relay (server) || server->load_us == 0 ||
	    now_us - server->load_us > LOAD_REPORT_AGE_US)
		return 0;
	return (int64_t) server->load.wait_ms * US_PER_MS;
}

int64_t
service_retry_delay_us (const struct session *session, int64_t now_us)
{
	const struct service *service = session->service;
	int64_t backlog_us = INT64_MAX;

	for (guint i = 0; i < service->servers->len; i++)
	{
		struct server *server = service->servers->pdata[i];
		int64_t wait_us;

		if (!service_may_run (session, server, now_us))
			continue;
		wait_us = is_direct (server, session)
		              ? (int64_t) server_measure_load (server, now_us).wait_ms * US_PER_MS
		              : server_reported_wait_us (server, now_us);
		backlog_us = MIN (backlog_us, wait_us);
	}
	return waiting_retry_delay_us (backlog_us == INT64_MAX ? 0 : backlog_us, g_random_int ());
}
