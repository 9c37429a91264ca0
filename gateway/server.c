#include "gateway/traffic_private.h"

#include "common/log.h"

#include <string.h>

enum
{
	SERVER_RECONNECT_US = 250 * US_PER_MS,
	SERVER_PROBE_US = 300 * US_PER_MS, /* Interval of probes of a primary without traffic. */
	/* Idle connections above the VM's needs are closed after this time, so that other VMs can open theirs. */
	SERVER_IDLE_CLOSE_US = 5 * US_PER_S,
	SERVER_PROBE_TIMEOUT_US = 1 * US_PER_S,
	SERVER_INITIAL_LATENCY_US = 10 * US_PER_MS,
	/* Divides a server's connection limit for its owner. A server counts the connections of a VM that lost power for
	 * 3 s more, during which the next owner needs the same number. */
	SERVER_OWNER_DIVISOR = 2,
	/* Divides the limit for the standby while the owner is lost; the rest is for VMs that reach neither. */
	SERVER_STANDBY_DIVISOR = 4,
	/* When the number of VMs times this exceeds the limit, VMs that reach neither owner nor standby wait
	 * SERVER_DIRECT_DELAY_US before they open connections of their own: after a restart of all VMs the owners are back
	 * by then. */
	SERVER_OVERSUBSCRIBED_FACTOR = 2,
	SERVER_DIRECT_DELAY_US = 400 * US_PER_MS,
	SERVER_MAX_RELAY_CONNECTIONS = 128,
	SERVER_MAX_RELAY_OPENING = 4,
	SERVER_RELAY_IDLE_CLOSE_US = 20 * US_PER_S,
	SERVER_DIRECT_IDLE_CLOSE_US = 1 * US_PER_S,
};

struct server *
server_new (struct service *service, const struct server_entry *entry)
{
	struct server *server = g_new0 (struct server, 1);

	server->service = service;
	server->id = g_strdup (entry->id);
	server->latency_us = SERVER_INITIAL_LATENCY_US;
	server->answered_us = clock_now_us ();
	server_pool_init (server);
	g_ptr_array_add (service->servers, server);
	return server;
}

void
server_update (struct server *server, const struct server_entry *entry)
{
	struct gateway_traffic *traffic = server->service->traffic;
	bool has_moved = server->port != 0 && (server->ip != entry->ip || server->port != entry->port);

	g_free (server->zone);
	server->zone = g_strdup (entry->zone);
	server->is_same_zone = strcmp (entry->zone, traffic->settings.zone) == 0;
	server->slots = entry->slots > 0 ? entry->slots : 1;
	if (has_moved)
	{
		server_close_all (server);
		server->times = (struct service_time){ 0 };
		server->load_us = 0;
	}
	server->ip = entry->ip;
	server->port = entry->port;
	server->is_draining = entry->is_draining;
	server->use_end_us = entry->is_draining ? entry->use_end_us : 0;
	server->is_listed = true;
}

void
server_end_connection (struct connection *connection)
{
	struct session *session = connection->session;

	connection->session = NULL;
	connection_close (connection);
	if (!session)
		return;
	session->connection = NULL;
	session_handle_lost (session, clock_now_us ());
}

void
server_close_all (struct server *server)
{
	while (server->connections)
		server_end_connection (server->connections);
}

void
server_free (struct server *server)
{
	server_close_all (server);
	server_pool_finish (server);
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
	           log_text (server->id), log_text (server->service->name),
	           (long long) (now_us - server->answered_us) / US_PER_MS);
	server_report_change (server, now_us);
	relay_close_all (server);
}

void
server_handle_alive (struct server *server, int64_t now_us)
{
	server->answered_us = now_us;
	server->is_suspected = false;
	if (server->failed_us == 0)
		return;
	log_event (LOG_LEVEL_INFO, "server_reachable", "server=%s service=%s after_ms=%lld",
	           log_text (server->id), log_text (server->service->name),
	           (long long) (now_us - server->failed_us) / US_PER_MS);
	server->failed_us = 0;
	server_report_change (server, now_us);
}

uint32_t
server_direct_running (const struct server *server)
{
	uint32_t running = 0;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
		running += !connection->is_relayed && connection->state == CONNECTION_RUNNING &&
		           connection->lost_us == 0;
	return running;
}

bool
server_has_capacity (const struct server *server, int64_t now_us)
{
	return server_uses_relay (server) || server->running_count < server->slots;
}

/** Forwarded statements use only connections to the server itself; this VM's sessions use the
 * current owner, if it is another VM and answers. */
static bool
connection_fits (const struct connection *connection, const struct session *session,
                 bool uses_relay)
{
	const struct server *server = connection->server;

	if (connection->state != CONNECTION_IDLE || connection->session ||
	    connection_has_part (connection))
		return false;
	if (connection->is_relayed && !server_is_current_owner (server, connection->relay_ip))
		return false;
	if (!connection->is_relayed && !session->takes_any_tenant &&
	    connection->tenant != session->tenant)
		return false;
	return connection->is_relayed == (uses_relay && !session->is_relay);
}

bool
server_may_ask (const struct server *server, const struct connection *connection)
{
	return !connection->match || !connection->has_reported || !server_has_repeats (server);
}

/** Connections that this VM may always hold: its equal share of the server's limit. */
static uint32_t
connection_share (const struct server *server)
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

static uint32_t
configured_limit (const struct server *server)
{
	uint32_t limit = server->service->max_connections;

	if (server->owners[0].is_self)
		return limit >= SERVER_OWNER_DIVISOR ? limit / SERVER_OWNER_DIVISOR : limit;
	if (server->owners[1].is_self && limit >= SERVER_STANDBY_DIVISOR)
		return limit / SERVER_STANDBY_DIVISOR;
	return connection_share (server);
}

uint32_t
server_direct_limit (const struct server *server, int64_t now_us)
{
	return tenant_pool_limit_at (&server->pool.limit, configured_limit (server), now_us);
}

/**
 * Whether the answer to the session's statement on the connection could be taken for an earlier one, so that the statement
 * would have to be repeated, or would be in doubt.
 */
static bool
is_doubtful (const struct connection *connection, const struct session *session)
{
	const struct server *server = connection->server;
	bool begins = session->state == TRANSACTION_OPEN && !session->is_started;
	bool writes = session->state == TRANSACTION_OPEN ? !session->is_read_only
	                                                 : request_is_write (&session->request);

	if (!connection->match)
		return false;
	if (session->takes_any_tenant)
		return !server_may_ask (server, connection);
	if (begins && server_has_repeats (server) && connection->begin_position.term > 0 &&
	    log_position_compare (connection->begin_position, server->applied) == 0)
		return true;
	return writes && !answer_match_believes_refusals (connection->match);
}

/** Whether a doubtful connection is closed for a new one: not more of them than may be opened at once. */
static bool
may_replace (const struct server *server, int64_t now_us)
{
	if (now_us < server->next_connect_us || now_us < server->next_growth_us ||
	    count_opening (server, false) >= server->slots)
		return false;
	return server_has_tenants (server) ||
	       count_connections (server, false) >= server_direct_limit (server, now_us);
}

struct connection *
server_find_idle (struct server *server, const struct session *session)
{
	bool uses_relay = server_uses_relay (server);
	struct connection *best = NULL;
	struct connection *doubtful = NULL;
	uint32_t best_cost = UINT32_MAX;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		uint32_t cost;

		if (!connection_fits (connection, session, uses_relay))
			continue;
		if (is_doubtful (connection, session))
		{
			doubtful = connection;
			continue;
		}
		cost = connection_setup_cost (connection, session);
		if (cost < best_cost)
		{
			best = connection;
			best_cost = cost;
		}
	}
	if (!best && doubtful && may_replace (server, clock_now_us ()))
		connection_close (doubtful);
	if (best && !best->is_relayed && server_pool_yields (server, session->tenant, clock_now_us ()))
		return NULL;
	return best;
}

bool
server_lacks_connections (const struct server *server)
{
	if (count_connections (server, false) < server_direct_limit (server, clock_now_us ()))
		return false;
	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
		if (!connection->is_relayed && connection->state == CONNECTION_IDLE && !connection->session)
			return false;
	return true;
}

bool
server_is_oversubscribed (const struct server *server)
{
	return server->service->traffic->view->vm_count * SERVER_OVERSUBSCRIBED_FACTOR >
	       server->service->max_connections;
}

/** Without a configuration, neither the limit of connections nor a tenant that the server may be told is known. */
static bool
has_configuration (const struct server *server)
{
	return server->service->traffic->view->configuration != NULL;
}

/** This VM is owner or standby, or has reached neither for some time. */
static bool
may_connect_directly (const struct server *server, int64_t now_us)
{
	if (!server->service->traffic->view->knows_members || !has_configuration (server))
		return false;
	return server->owners[0].is_self || server->owners[1].is_self ||
	       !server_is_oversubscribed (server) ||
	       now_us - server->relay_lost_us >= SERVER_DIRECT_DELAY_US;
}

/** Whether a connection to the server itself may be opened, in a deployment with tenants for a statement of @p tenant. */
static bool
can_open_direct (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	if (!may_connect_directly (server, now_us) || now_us < server->next_connect_us)
		return false;
	if (server_has_tenants (server))
		return server_pool_can_open (server, tenant, now_us);
	return now_us >= server->next_growth_us && count_opening (server, false) < server->slots &&
	       count_connections (server, false) < server_direct_limit (server, now_us);
}

bool
server_can_open (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	if (!server->is_listed || (server->is_draining && server->service->primary != server))
		return false;
	if (!server_uses_relay (server))
		return can_open_direct (server, tenant, now_us);
	return count_opening (server, true) < SERVER_MAX_RELAY_OPENING &&
	       count_connections (server, true) < SERVER_MAX_RELAY_CONNECTIONS;
}

int64_t
server_oldest_request_us (const struct server *server, bool is_relayed)
{
	int64_t since_us = 0;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state == CONNECTION_IDLE || connection->is_relayed != is_relayed)
			continue;
		if (is_relayed && !server_is_current_owner (server, connection->relay_ip))
			continue;
		if (since_us == 0 || connection->sent_us < since_us)
			since_us = connection->sent_us;
	}
	return since_us;
}

/** Target of new connections: the current owner, or NULL for the server itself. */
static const struct server_owner *
connection_target (const struct server *server, bool is_relayed)
{
	return is_relayed ? &server->owners[server->owner_index] : NULL;
}

struct tenant_state *
server_default_tenant (const struct server *server)
{
	return tenant_table_choose (server->service->traffic->tenants, server->last_tenant);
}

/** Whether a busy connection of a tenant is likely to become idle before another one would be open. */
static bool
is_free_soon (const struct server *server, int64_t now_us)
{
	int64_t oldest_us = server_oldest_request_us (server, false);

	return server_has_tenants (server) && oldest_us > 0 && now_us - oldest_us < SERVER_PROBE_US;
}

void
server_probe (struct server *server, bool is_direct, int64_t now_us)
{
	bool uses_relay = !is_direct && server_uses_relay (server);
	struct connection *asked = NULL;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state != CONNECTION_IDLE || connection->session ||
		    connection->is_relayed != uses_relay || connection_has_part (connection))
			continue;
		if (!server_may_ask (server, connection))
		{
			asked = connection;
			continue;
		}
		connection_request_status (connection, now_us);
		return;
	}
	if (count_opening (server, uses_relay) > 0 ||
	    (!is_direct && !uses_relay && is_free_soon (server, now_us)))
		return;
	if (!uses_relay && !is_direct && !may_connect_directly (server, now_us))
		return;
	if (!uses_relay && (!has_configuration (server) || now_us < server->next_connect_us ||
	                    now_us < server->next_growth_us))
		return;
	/* A new connection takes the place of one that cannot be asked again. */
	if (asked && count_connections (server, false) >= server_direct_limit (server, now_us))
		connection_close (asked);
	connection_open (server, connection_target (server, uses_relay), server_default_tenant (server),
	                 now_us);
}

void
server_report_contact (struct server *server, int64_t now_us)
{
	bool is_waiting =
		server_oldest_request_us (server, false) > 0 || server_oldest_request_us (server, true) > 0;

	gateway_traffic_send_contact (server, now_us);
	if (server->is_listed && server->failed_us == 0 && !is_waiting &&
	    now_us - server->answered_us > SERVER_PROBE_US)
		server_probe (server, false, now_us);
}

void
server_request_sample (struct server *server, int64_t now_us)
{
	if (!server_uses_relay (server))
	{
		server->status_requested = true;
		return;
	}
	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (connection->state != CONNECTION_IDLE || connection->session || !connection->is_relayed)
			continue;
		connection_request_sample (connection, now_us);
		return;
	}
}

void
server_open_direct (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	if (!server->is_listed || !can_open_direct (server, tenant, now_us))
		return;
	if (server_has_tenants (server))
		server_pool_open (server, tenant, now_us);
	else
		connection_open (server, NULL, tenant, now_us);
}

void
server_open (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	if (server_uses_relay (server))
		connection_open (server, connection_target (server, true), NULL, now_us);
	else
		server_open_direct (server, tenant, now_us);
}

/** Closes connections that wait too long for an answer that takes little time. */
static void
server_close_stuck (struct server *server, int64_t now_us)
{
	int64_t min_silence_us =
		server->service->traffic->settings.min_silence_ms * (int64_t) US_PER_MS;
	struct connection *next;

	for (struct connection *connection = server->connections; connection; connection = next)
	{
		/* The time limit of a session's request ends the wait of a connection that has one. */
		bool is_internal = !connection->session && (connection->state != CONNECTION_IDLE ||
		                                            connection_has_part (connection));

		next = connection->next;
		if (!is_internal ||
		    now_us - connection->sent_us < MAX (SERVER_PROBE_TIMEOUT_US, min_silence_us))
			continue;
		log_event (LOG_LEVEL_WARN, "connection_stuck", "server=%s state=%d", log_text (server->id),
		           connection->state);
		/* The connection attempt alone may have been lost, e.g. because the VM had no power yet. The path counts as
		 * lost only if nothing has answered since. */
		if (connection->is_relayed && server->relay_answered_us <= connection->sent_us)
			server_handle_relay_lost (server, connection->relay_ip, false, now_us);
		else if (!connection->is_relayed && connection->state == CONNECTION_OPENING &&
		         server->answered_us <= connection->sent_us)
			server_handle_failed (server, now_us);
		connection_close (connection);
		next = server->connections;
	}
}

/** Whether an idle connection should be closed. */
static bool
is_surplus (const struct server *server, const struct connection *connection, int64_t now_us)
{
	int64_t idle_us = now_us - connection->idle_us;

	if (!server->is_listed || (server->is_draining && server->service->primary != server))
		return true;
	if (connection->is_relayed)
		return !server_is_current_owner (server, connection->relay_ip) ||
		       (idle_us > SERVER_RELAY_IDLE_CLOSE_US && count_connections (server, true) > 1);
	if (server_uses_relay (server))
		return idle_us > SERVER_DIRECT_IDLE_CLOSE_US;
	/* An idle connection of a tenant is kept until its place is needed. */
	if (server_has_tenants (server))
		return count_connections (server, false) > server_direct_limit (server, now_us) ||
		       (connection->tenant && !connection->tenant->is_declared &&
		        idle_us > SERVER_IDLE_CLOSE_US);
	return idle_us > SERVER_IDLE_CLOSE_US &&
	       count_connections (server, false) >
	           (server->owners[0].is_self ? (uint64_t) server->slots + 1 : 1);
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

void
server_tick (struct server *server, int64_t now_us)
{
	int64_t direct_us;
	bool is_waiting;
	bool is_quiet;
	bool is_silent;

	server_close_stuck (server, now_us);
	server_close_surplus (server, now_us);
	server_settle (server, now_us);
	if (!server->is_listed)
		return;
	server_check_timeouts (server, now_us);
	server_check_slots (server, now_us);
	server_retry_relay (server, now_us);
	direct_us = server_oldest_request_us (server, false);
	is_waiting = direct_us > 0 || server_oldest_request_us (server, true) > 0;
	/* One answer may be lost and its request wait for long; a probe shows whether the server answers others. */
	is_silent = direct_us > 0 && now_us - MAX (direct_us, server->answered_us) > SERVER_PROBE_US;
	/* A primary without traffic is probed by its owner only, on behalf of all VMs. */
	is_quiet = server->service->primary == server && !server_uses_relay (server) &&
	           now_us - server->answered_us > SERVER_PROBE_US && !is_waiting;
	if (server->status_requested || server->demote_term > 0 || is_quiet)
		server_probe (server, false, now_us);
	else if (server->probing_count == 0 && (is_silent || (server->failed_us > 0 && !is_waiting)))
		server_probe (server, true, now_us);
	else if (server->connection_count == 0 &&
	         server_can_open (server, server_default_tenant (server), now_us))
		server_open (server, server_default_tenant (server), now_us);
}
