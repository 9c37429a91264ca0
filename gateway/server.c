#include "gateway/traffic_private.h"

#include "common/log.h"

#include <string.h>

enum
{
	/* Longest time without any answer while something is outstanding. Above the longest statement of the
	 * platform's workloads, 110 ms, behind a queue of three more. */
	SERVER_SILENT_US = 450 * US_PER_MS,
	SERVER_RECONNECT_US = 250 * US_PER_MS,
	SERVER_PROBE_US = 300 * US_PER_MS, /* Quiet primaries are asked this often. */
	/* An idle connection above the VM's share is closed, so that other VMs can have it. */
	SERVER_IDLE_CLOSE_US = 5 * US_PER_S,
	SERVER_PROBE_TIMEOUT_US = 1 * US_PER_S,
	SERVER_INITIAL_LATENCY_US = 10 * US_PER_MS,
};

struct server *
server_new (struct service *service, const struct server_entry *entry)
{
	struct server *server = g_new0 (struct server, 1);

	server->service = service;
	server->id = g_strdup (entry->id);
	server->latency_us = SERVER_INITIAL_LATENCY_US;
	server->answered_us = clock_now_us ();
	g_ptr_array_add (service->servers, server);
	return server;
}

void
server_update (struct server *server, const struct server_entry *entry)
{
	struct gateway_traffic *traffic = server->service->traffic;
	bool has_moved = server->is_listed && (server->ip != entry->ip || server->port != entry->port);

	g_free (server->zone);
	server->zone = g_strdup (entry->zone);
	server->is_near = strcmp (entry->zone, traffic->settings.zone) == 0;
	server->slots = entry->slots > 0 ? entry->slots : 1;
	if (has_moved)
		server_close_all (server);
	server->ip = entry->ip;
	server->port = entry->port;
	server->is_draining = entry->is_draining;
	server->is_listed = true;
}

static void
connection_end (struct connection *connection)
{
	struct session *session = connection->session;
	bool was_running = connection->state == CONNECTION_RUNNING;

	connection->session = NULL;
	connection_close (connection);
	if (!session)
		return;
	session->connection = NULL;
	session_handle_lost (session, was_running, clock_now_us ());
}

void
server_close_all (struct server *server)
{
	while (server->connections)
		connection_end (server->connections);
}

void
server_free (struct server *server)
{
	server_close_all (server);
	g_free (server->id);
	g_free (server->zone);
	g_free (server);
}

static void
server_report_change (struct server *server, int64_t now_us)
{
	bool is_unreachable = server->failed_us > 0;

	if (server->reported_unreachable == is_unreachable)
		return;
	server->reported_unreachable = is_unreachable;
	gateway_traffic_send_report (server, NULL, now_us);
}

void
server_handle_failed (struct server *server, int64_t now_us)
{
	server->next_connect_us = now_us + SERVER_RECONNECT_US;
	if (server->failed_us > 0)
		return;
	server->failed_us = now_us;
	log_event (LOG_LEVEL_WARN, "server_unreachable", "server=%s service=%s quiet_ms=%lld",
	           server->id, server->service->name,
	           (long long) (now_us - server->answered_us) / US_PER_MS);
	server_report_change (server, now_us);
}

void
server_handle_alive (struct server *server, int64_t now_us)
{
	server->answered_us = now_us;
	if (server->failed_us == 0)
		return;
	log_event (LOG_LEVEL_INFO, "server_reachable", "server=%s service=%s after_ms=%lld", server->id,
	           server->service->name, (long long) (now_us - server->failed_us) / US_PER_MS);
	server->failed_us = 0;
	server_report_change (server, now_us);
}

struct connection *
server_find_idle (struct server *server, const struct session *session)
{
	struct connection *best = NULL;
	uint32_t best_difference = UINT32_MAX;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		uint32_t difference;

		if (connection->state != CONNECTION_IDLE || connection->session)
			continue;
		difference = connection_difference (connection, session);
		if (difference < best_difference)
		{
			best = connection;
			best_difference = difference;
		}
	}
	return best;
}

/** Connections that this VM may always hold: its part of the server's limit. */
static uint32_t
server_share (const struct server *server)
{
	const struct gateway_traffic *traffic = server->service->traffic;
	uint32_t vm_count = traffic->view && traffic->view->vm_count > 0 ? traffic->view->vm_count : 1;
	uint32_t share = server->service->max_connections / vm_count;

	return share > 0 ? share : 1;
}

bool
server_can_grow (const struct server *server, int64_t now_us)
{
	/* One VM leaves connections to the others even when they are idle. */
	enum
	{
		GROWTH_FACTOR = 3,
	};

	if (!server->is_listed || now_us < server->next_connect_us || now_us < server->next_growth_us)
		return false;
	if (server->is_draining && server->service->primary != server)
		return false;
	return server->opening_count == 0 &&
	       server->connection_count < server_share (server) * GROWTH_FACTOR;
}

void
server_open (struct server *server, int64_t now_us)
{
	if (!connection_open (server, now_us))
		server_handle_failed (server, now_us);
}

/** Earliest time from which an outstanding question waits; 0: nothing is outstanding. */
static int64_t
server_waiting_since (const struct server *server)
{
	int64_t since_us = 0;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state == CONNECTION_IDLE)
			continue;
		if (since_us == 0 || connection->sent_us < since_us)
			since_us = connection->sent_us;
	}
	return since_us;
}

/** Ends connections that wait too long for something that cannot take long. */
static void
server_close_stuck (struct server *server, int64_t now_us)
{
	struct connection *next;

	for (struct connection *connection = server->connections; connection; connection = next)
	{
		bool is_own = connection->state == CONNECTION_OPENING ||
		              connection->state == CONNECTION_ROLLING_BACK ||
		              connection->state == CONNECTION_PROBING ||
		              (connection->state == CONNECTION_RUNNING && !connection->session);

		next = connection->next;
		if (!is_own || now_us - connection->sent_us < SERVER_PROBE_TIMEOUT_US)
			continue;
		log_event (LOG_LEVEL_WARN, "connection_stuck", "server=%s state=%d", server->id,
		           connection->state);
		if (connection->state == CONNECTION_OPENING)
			server_handle_failed (server, now_us);
		connection_close (connection);
		next = server->connections;
	}
}

static void
server_close_surplus (struct server *server, int64_t now_us)
{
	uint32_t share = server_share (server);
	struct connection *next;

	for (struct connection *connection = server->connections; connection; connection = next)
	{
		bool must_go =
			!server->is_listed || (server->is_draining && server->service->primary != server);

		next = connection->next;
		if (connection->state != CONNECTION_IDLE || connection->session)
			continue;
		if (must_go || (server->connection_count > share &&
		                now_us - connection->idle_us > SERVER_IDLE_CLOSE_US))
			connection_close (connection);
	}
}

/** Asks for the status on an idle connection, or opens one for it. */
static void
server_probe (struct server *server, int64_t now_us)
{
	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state != CONNECTION_IDLE || connection->session)
			continue;
		connection_ask_status (connection, now_us);
		return;
	}
	if (server->opening_count == 0 && now_us >= server->next_connect_us &&
	    now_us >= server->next_growth_us)
		server_open (server, now_us);
}

void
server_tick (struct server *server, int64_t now_us)
{
	int64_t since_us;
	bool is_primary = server->service->primary == server;

	server_close_stuck (server, now_us);
	server_close_surplus (server, now_us);
	if (!server->is_listed)
		return;
	since_us = server_waiting_since (server);
	if (since_us > 0 && now_us - since_us > SERVER_SILENT_US &&
	    now_us - server->answered_us > SERVER_SILENT_US)
		server_handle_failed (server, now_us);
	if (server->status_wanted || server->demote_term > 0)
		server_probe (server, now_us);
	else if (server->failed_us > 0 && since_us == 0)
		server_probe (server, now_us);
	else if (is_primary && now_us - server->answered_us > SERVER_PROBE_US && since_us == 0)
		server_probe (server, now_us);
	else if (server->connection_count == 0 && server_can_grow (server, now_us))
		server_open (server, now_us);
}
