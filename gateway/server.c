#include "gateway/traffic_private.h"

#include "common/log.h"
#include "decision/ownership.h"

#include <string.h>
#include <xxhash.h>

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
	/* Part of a server's connections that its owner may hold. A server counts those of a VM that lost power for 3 s more:
	 * until then the next owner needs as many. The rest is for VMs that do not reach the owner. */
	SERVER_OWNER_DIVISOR = 2,
	SERVER_RELAY_CONNECTIONS = 128,
	SERVER_RELAY_OPENING = 4,
	SERVER_RELAY_PAUSE_US = 1 * US_PER_S,
	/* A server that its owner does not reach is given less time to answer, and one whose owner is silent as well. */
	SERVER_DOUBTED_SILENT_US = 200 * US_PER_MS,
	SERVER_ORPHANED_SILENT_US = 300 * US_PER_MS,
	/* An owner that is silent for this long is bypassed for a question to the server itself. A VM of a quarter core may
	 * stand still for 100 ms. */
	SERVER_RELAY_DOUBT_US = 150 * US_PER_MS,
	/* An owner that does not even greet a new connection is lost. */
	SERVER_RELAY_SILENT_US = 350 * US_PER_MS,
	SERVER_RELAY_IDLE_CLOSE_US = 20 * US_PER_S,
	SERVER_DIRECT_IDLE_CLOSE_US = 1 * US_PER_S,
};

/** Identity of a VM, zone or server in the choice of owners; never 0. */
static uint32_t
hash_name (const char *name)
{
	return (uint32_t) XXH64 (name, strlen (name), 0) | 1;
}

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
	relay_close_all (server);
}

void
server_handle_alive (struct server *server, int64_t now_us)
{
	server->answered_us = now_us;
	server->is_doubted = false;
	if (server->failed_us == 0)
		return;
	log_event (LOG_LEVEL_INFO, "server_reachable", "server=%s service=%s after_ms=%lld", server->id,
	           server->service->name, (long long) (now_us - server->failed_us) / US_PER_MS);
	server->failed_us = 0;
	server_report_change (server, now_us);
}

bool
server_uses_relay (const struct server *server, int64_t now_us)
{
	return server->owner_ip != 0 && !server->is_relay_bad;
}

bool
server_has_capacity (const struct server *server, int64_t now_us)
{
	return server_uses_relay (server, now_us) || server->running_count < server->slots;
}

/** Sessions of other VMs use real connections only; own ones use the present path. */
static bool
connection_fits (const struct connection *connection, const struct session *session,
                 bool uses_relay)
{
	const struct server *server = connection->server;

	if (connection->state != CONNECTION_IDLE || connection->session)
		return false;
	if (connection->is_relayed && connection->relay_ip != server->owner_ip)
		return false;
	return connection->is_relayed == (uses_relay && !session->is_relay);
}

struct connection *
server_find_idle (struct server *server, const struct session *session)
{
	bool uses_relay = server_uses_relay (server, clock_now_us ());
	struct connection *best = NULL;
	uint32_t best_difference = UINT32_MAX;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		uint32_t difference;

		if (!connection_fits (connection, session, uses_relay))
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

static uint32_t
count_connections (const struct server *server, bool is_relayed)
{
	uint32_t count = 0;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
		count += connection->is_relayed == is_relayed;
	return count;
}

static uint32_t
count_opening (const struct server *server, bool is_relayed)
{
	uint32_t count = 0;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
		count += connection->is_relayed == is_relayed && connection->state == CONNECTION_OPENING;
	return count;
}

/** Direct connections that this VM may open. */
static uint32_t
server_direct_limit (const struct server *server)
{
	uint32_t limit = server->service->max_connections;

	if (!server->is_owner)
		return server_share (server);
	return limit >= SERVER_OWNER_DIVISOR ? limit / SERVER_OWNER_DIVISOR : limit;
}

static bool
can_grow_directly (const struct server *server, int64_t now_us)
{
	return now_us >= server->next_connect_us && now_us >= server->next_growth_us &&
	       count_opening (server, false) < server->slots &&
	       count_connections (server, false) < server_direct_limit (server);
}

bool
server_can_grow (const struct server *server, int64_t now_us)
{
	if (!server->is_listed || (server->is_draining && server->service->primary != server))
		return false;
	if (!server_uses_relay (server, now_us))
		return can_grow_directly (server, now_us);
	return count_opening (server, true) < SERVER_RELAY_OPENING &&
	       count_connections (server, true) < SERVER_RELAY_CONNECTIONS;
}

/** Earliest time from which an outstanding question waits; 0: nothing is outstanding. */
static int64_t
server_waiting_since (const struct server *server, bool is_relayed)
{
	int64_t since_us = 0;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state == CONNECTION_IDLE || connection->is_relayed != is_relayed)
			continue;
		if (since_us == 0 || connection->sent_us < since_us)
			since_us = connection->sent_us;
	}
	return since_us;
}

/** Asks for the status on an idle connection, or opens one for it. */
static void
server_probe (struct server *server, bool is_direct, int64_t now_us)
{
	bool uses_relay = !is_direct && server_uses_relay (server, now_us);

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state != CONNECTION_IDLE || connection->session ||
		    connection->is_relayed != uses_relay)
			continue;
		connection_ask_status (connection, now_us);
		return;
	}
	if (count_opening (server, uses_relay) > 0)
		return;
	if (uses_relay || (now_us >= server->next_connect_us && now_us >= server->next_growth_us))
	{
		if (!connection_open (server, uses_relay, now_us) && !uses_relay)
			server_handle_failed (server, now_us);
	}
}

void
server_check (struct server *server, int64_t now_us)
{
	bool is_waiting =
		server_waiting_since (server, false) > 0 || server_waiting_since (server, true) > 0;

	gateway_traffic_send_contact (server, now_us);
	if (server->is_listed && server->failed_us == 0 && !is_waiting &&
	    now_us - server->answered_us > SERVER_PROBE_US)
		server_probe (server, false, now_us);
}

void
server_ask_sample (struct server *server, int64_t now_us)
{
	if (!server_uses_relay (server, now_us))
	{
		server->status_wanted = true;
		return;
	}
	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state != CONNECTION_IDLE || connection->session || !connection->is_relayed)
			continue;
		connection_ask_sample (connection, now_us);
		return;
	}
}

void
server_handle_relay_alive (struct server *server)
{
	server->is_relay_bad = false;
}

void
server_handle_doubt (struct server *server, int64_t now_us)
{
	server_handle_relay_lost (server, now_us);
	if (server->is_doubted || server->failed_us > 0)
		return;
	server->is_doubted = true;
	server_probe (server, true, now_us);
}

void
server_open_direct (struct server *server, int64_t now_us)
{
	if (server->is_listed && can_grow_directly (server, now_us) &&
	    !connection_open (server, false, now_us))
		server_handle_failed (server, now_us);
}

void
server_open (struct server *server, int64_t now_us)
{
	if (!connection_open (server, server_uses_relay (server, now_us), now_us))
		server_handle_failed (server, now_us);
}

void
server_handle_relay_lost (struct server *server, int64_t now_us)
{
	bool was_used = server_uses_relay (server, now_us);
	struct connection *next;

	server->is_relay_bad = true;
	server->relay_retry_us = now_us + SERVER_RELAY_PAUSE_US;
	if (!was_used)
		return;
	log_event (LOG_LEVEL_WARN, "owner_unreachable", "server=%s owner=%u.%u.%u.%u", server->id,
	           server->owner_ip >> 24, server->owner_ip >> 16 & 255, server->owner_ip >> 8 & 255,
	           server->owner_ip & 255);
	for (struct connection *connection = server->connections; connection; connection = next)
	{
		next = connection->next;
		if (!connection->is_relayed || connection->state == CONNECTION_CLOSED)
			continue;
		connection_end (connection);
		next = server->connections;
	}
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
		if (connection->is_relayed)
			server_handle_relay_lost (server, now_us);
		else if (connection->state == CONNECTION_OPENING)
			server_handle_failed (server, now_us);
		connection_close (connection);
		next = server->connections;
	}
}

/** An idle connection that is not worth keeping. */
static bool
is_surplus (const struct server *server, const struct connection *connection, int64_t now_us)
{
	int64_t idle_us = now_us - connection->idle_us;

	if (!server->is_listed || (server->is_draining && server->service->primary != server))
		return true;
	if (connection->is_relayed)
		return connection->relay_ip != server->owner_ip ||
		       (idle_us > SERVER_RELAY_IDLE_CLOSE_US && count_connections (server, true) > 1);
	if (server_uses_relay (server, now_us))
		return idle_us > SERVER_DIRECT_IDLE_CLOSE_US;
	return idle_us > SERVER_IDLE_CLOSE_US &&
	       count_connections (server, false) > (server->is_owner ? server->slots + 1 : 1);
}

static void
server_close_surplus (struct server *server, int64_t now_us)
{
	struct connection *next;

	for (struct connection *connection = server->connections; connection; connection = next)
	{
		next = connection->next;
		if (connection->state == CONNECTION_IDLE && !connection->session &&
		    is_surplus (server, connection, now_us))
			connection_close (connection);
	}
}

/** The VM in the server's zone that holds its connections; the same on all VMs that agree on the
 * members. */
void
server_set_owner (struct server *server)
{
	const struct gateway_traffic *traffic = server->service->traffic;
	GArray *members = g_array_new (FALSE, TRUE, sizeof (struct ownership_member));
	struct ownership_member own = { hash_name (traffic->settings.vm),
		                            hash_name (traffic->settings.zone) };
	uint32_t previous_ip;
	uint32_t owner;

	if (!traffic->is_leaving)
		g_array_append_val (members, own);
	for (guint i = 0; i < traffic->view->members->len; i++)
	{
		const struct view_member *member =
			&g_array_index (traffic->view->members, struct view_member, i);
		struct ownership_member candidate = { hash_name (member->vm), hash_name (member->zone) };

		g_array_append_val (members, candidate);
	}
	owner = ownership_of_server ((struct ownership_member *) members->data, members->len,
	                             hash_name (server->id), hash_name (server->zone))
	            .owner;
	server->is_owner = owner == own.id;
	previous_ip = server->owner_ip;
	server->owner_ip = 0;
	for (guint i = 0; i < traffic->view->members->len; i++)
	{
		const struct view_member *member =
			&g_array_index (traffic->view->members, struct view_member, i);

		if (hash_name (member->vm) != owner)
			continue;
		server->owner_ip = member->ip;
		server->owner_port = member->port;
	}
	if (server->owner_ip != previous_ip)
		server->is_relay_bad = false;
	g_array_free (members, TRUE);
}

/** Finds out about silent owners and servers. */
static void
server_check_silence (struct server *server, int64_t now_us)
{
	int64_t direct_us = server_waiting_since (server, false);
	int64_t relayed_us = server_waiting_since (server, true);
	int64_t silent_us = server->is_doubted     ? SERVER_DOUBTED_SILENT_US
	                    : server->is_relay_bad ? SERVER_ORPHANED_SILENT_US
	                                           : SERVER_SILENT_US;
	int64_t quiet_us;

	if (direct_us > 0 && now_us - direct_us > silent_us && now_us - server->answered_us > silent_us)
		server_handle_failed (server, now_us);
	if (relayed_us == 0)
		return;
	if (server->relay_answered_us > relayed_us)
		relayed_us = server->relay_answered_us;
	quiet_us = now_us - relayed_us;
	if (quiet_us > SERVER_RELAY_SILENT_US)
		server_handle_relay_lost (server, now_us);
	else if (quiet_us > SERVER_RELAY_DOUBT_US && now_us - server->doubted_us > SERVER_PROBE_US)
	{
		/* The owner greets a new connection at once, however long its queue is; the server itself is
		 * asked meanwhile. */
		server->doubted_us = now_us;
		if (!connection_open (server, true, now_us))
			server_handle_relay_lost (server, now_us);
		if (direct_us == 0)
			server_probe (server, true, now_us);
	}
}

/** Greets a lost owner from time to time, beside the traffic. */
static void
server_retry_relay (struct server *server, int64_t now_us)
{
	if (server->owner_ip == 0 || !server->is_relay_bad || now_us < server->relay_retry_us)
		return;
	server->relay_retry_us = now_us + SERVER_RELAY_PAUSE_US;
	if (!connection_open (server, true, now_us))
		log_event (LOG_LEVEL_WARN, "owner_connect_failed", "server=%s", server->id);
}

void
server_tick (struct server *server, int64_t now_us)
{
	bool is_waiting;
	bool is_quiet;

	server_close_stuck (server, now_us);
	server_close_surplus (server, now_us);
	if (!server->is_listed)
		return;
	server_check_silence (server, now_us);
	server_retry_relay (server, now_us);
	is_waiting =
		server_waiting_since (server, false) > 0 || server_waiting_since (server, true) > 0;
	/* The owner watches a quiet primary for all VMs. */
	is_quiet = server->service->primary == server && !server_uses_relay (server, now_us) &&
	           now_us - server->answered_us > SERVER_PROBE_US && !is_waiting;
	if (server->status_wanted || server->demote_term > 0 || is_quiet)
		server_probe (server, false, now_us);
	else if (server->failed_us > 0 && !is_waiting)
		server_probe (server, true, now_us);
	else if (server->connection_count == 0 && server_can_grow (server, now_us))
		server_open (server, now_us);
}
