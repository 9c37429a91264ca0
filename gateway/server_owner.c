/**
 * @file
 * The VMs that hold a server's connections on behalf of the fleet: its owner, and its standby while the owner is lost.
 */
#include "gateway/traffic_private.h"

#include "common/log.h"
#include "decision/ownership.h"

#include <string.h>
#include <xxhash.h>

enum
{
	/* Longest time without any answer while a request is outstanding. Covers a statement that waits for three others,
	 * each of 110 ms, the longest of the platform's workloads. */
	SERVER_TIMEOUT_US = 450 * US_PER_MS,
	/* Shorter timeouts for a server that its owner does not reach, and for one whose owner is lost. */
	SERVER_SUSPECTED_TIMEOUT_US = 200 * US_PER_MS,
	SERVER_OWNER_LOST_TIMEOUT_US = 300 * US_PER_MS,
	/* After this time without an answer of the owner, the server itself is probed. A VM with a quarter of a core may be
	 * stalled for 100 ms. */
	OWNER_SUSPECT_US = 150 * US_PER_MS,
	/* An owner that has not even answered the greeting on a new connection by then is lost. */
	OWNER_TIMEOUT_US = 350 * US_PER_MS,
	OWNER_RETRY_US = 1 * US_PER_S,
	/* Retry interval after the owner closed the connection: its VM is up and the process is restarting. */
	OWNER_RESTART_US = 150 * US_PER_MS,
	/* Interval between direct probes of a server whose owner does not answer. */
	OWNER_PROBE_INTERVAL_US = 300 * US_PER_MS,
};

/** Identifier of a VM, zone or server in the choice of owners; never 0. */
static uint32_t
hash_name (const char *name)
{
	return (uint32_t) XXH64 (name, strlen (name), 0) | 1;
}

bool
server_uses_relay (const struct server *server)
{
	return server->owners[server->owner_index].ip != 0 && !server->is_relay_lost;
}

bool
server_is_current_owner (const struct server *server, uint32_t ip)
{
	return server->owners[server->owner_index].ip == ip;
}

static struct server_owner
find_owner_address (const struct gateway_traffic *traffic, uint32_t id)
{
	struct server_owner target = { .is_self = id == hash_name (traffic->settings.vm) };

	for (guint i = 0; i < traffic->view->members->len; i++)
	{
		const struct view_member *member =
			&g_array_index (traffic->view->members, struct view_member, i);

		if (hash_name (member->vm) != id)
			continue;
		target.ip = member->ip;
		target.port = member->port;
	}
	return target;
}

/** Gives the same result on all VMs that have the same list of members. */
void
server_update_owner (struct server *server)
{
	const struct gateway_traffic *traffic = server->service->traffic;
	GArray *members = g_array_new (FALSE, TRUE, sizeof (struct ownership_member));
	struct ownership_member own = { hash_name (traffic->settings.vm),
		                            hash_name (traffic->settings.zone) };
	struct server_owner previous = server->owners[0];
	struct ownership chosen;

	if (!traffic->is_leaving)
		g_array_append_val (members, own);
	for (guint i = 0; i < traffic->view->members->len; i++)
	{
		const struct view_member *member =
			&g_array_index (traffic->view->members, struct view_member, i);
		struct ownership_member candidate = { hash_name (member->vm), hash_name (member->zone) };

		g_array_append_val (members, candidate);
	}
	chosen = ownership_of_server ((struct ownership_member *) members->data, members->len,
	                              hash_name (server->id), hash_name (server->zone));
	server->owners[0] = find_owner_address (traffic, chosen.owner);
	server->owners[1] = find_owner_address (traffic, chosen.standby);
	g_array_free (members, TRUE);
	if (previous.ip == server->owners[0].ip && previous.is_self == server->owners[0].is_self)
		return;
	server->owner_index = 0;
	server->is_relay_lost = false;
}

void
server_handle_relay_alive (struct server *server, uint32_t ip)
{
	for (uint32_t i = 0; i < SERVER_OWNERS; i++)
	{
		if (server->owners[i].ip != ip || i > server->owner_index)
			continue;
		if (i != server->owner_index || server->is_relay_lost)
			log_event (LOG_LEVEL_INFO, "owner_reachable", "server=%s standby=%u",
			           log_text (server->id), i);
		server->owner_index = i;
		server->is_relay_lost = false;
		return;
	}
}

static void
log_owner_lost (const struct server *server, const char *next)
{
	uint32_t ip = server->owners[server->owner_index].ip;

	log_event (LOG_LEVEL_WARN, "owner_unreachable", "server=%s owner=%u.%u.%u.%u next=%s",
	           log_text (server->id), ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255, next);
}

static void
close_relayed (struct server *server, uint32_t ip)
{
	struct connection *next;

	for (struct connection *connection = server->connections; connection; connection = next)
	{
		next = connection->next;
		if (!connection->is_relayed || connection->relay_ip != ip ||
		    connection->state == CONNECTION_CLOSED)
			continue;
		server_end_connection (connection);
		next = server->connections;
	}
}

static void
use_standby (struct server *server, int64_t now_us)
{
	server->owner_index = 1;
	server->is_relay_lost = false;
	server->relay_answered_us = now_us;
}

void
server_handle_relay_lost (struct server *server, uint32_t ip, bool is_closed, int64_t now_us)
{
	bool was_used = server_uses_relay (server) && server_is_current_owner (server, ip);

	if (ip == server->owners[0].ip)
		server->relay_retry_us = now_us + (is_closed ? OWNER_RESTART_US : OWNER_RETRY_US);
	if (!was_used)
		return;
	if (is_closed && server->owner_index == 0 && server->owners[1].ip != 0)
	{
		log_owner_lost (server, "standby");
		use_standby (server, now_us);
	}
	else
	{
		log_owner_lost (server, "direct");
		server->is_relay_lost = true;
		server->relay_lost_us = now_us;
	}
	close_relayed (server, ip);
}

void
server_handle_suspicion (struct server *server, uint32_t ip, int64_t now_us)
{
	bool was_used = server_uses_relay (server) && server_is_current_owner (server, ip);

	server->relay_retry_us = now_us + OWNER_RETRY_US;
	if (was_used)
	{
		log_owner_lost (server, "direct");
		server->is_relay_lost = true;
		server->relay_lost_us = now_us;
		close_relayed (server, ip);
	}
	if (server->is_suspected || server->failed_us > 0)
		return;
	server->is_suspected = true;
	server_probe (server, true, now_us);
}

void
server_check_timeouts (struct server *server, int64_t now_us)
{
	int64_t direct_us = server_oldest_request_us (server, false);
	int64_t relayed_us = server_oldest_request_us (server, true);
	bool is_owner_lost = server->is_relay_lost || server->owner_index > 0;
	int64_t timeout_us = server->is_suspected ? SERVER_SUSPECTED_TIMEOUT_US
	                     : is_owner_lost      ? SERVER_OWNER_LOST_TIMEOUT_US
	                                          : SERVER_TIMEOUT_US;
	int64_t min_silence_us =
		server->service->traffic->settings.min_silence_ms * (int64_t) US_PER_MS;
	uint32_t ip = server->owners[server->owner_index].ip;
	int64_t quiet_us;

	timeout_us = MAX (timeout_us, min_silence_us);
	if (direct_us > 0 && now_us - direct_us > timeout_us &&
	    now_us - server->answered_us > timeout_us)
		server_handle_failed (server, now_us);
	if (relayed_us == 0)
		return;
	quiet_us = now_us - MAX (relayed_us, server->relay_answered_us);
	if (quiet_us > MAX (OWNER_TIMEOUT_US, min_silence_us))
		server_handle_relay_lost (server, ip, false, now_us);
	else if (quiet_us > OWNER_SUSPECT_US &&
	         now_us - server->owner_probed_us > OWNER_PROBE_INTERVAL_US)
	{
		/* The owner answers the greeting on a new connection at once, however long its queue is; the server itself is
		 * probed meanwhile. */
		server->owner_probed_us = now_us;
		connection_open (server, &server->owners[server->owner_index], NULL, now_us);
		/* An owner that has never answered is probably starting, as this VM is. */
		if (direct_us == 0 && (server->relay_answered_us > 0 || !server_is_oversubscribed (server)))
			server_probe (server, true, now_us);
	}
}

void
server_retry_relay (struct server *server, int64_t now_us)
{
	const struct server_owner *owner = &server->owners[0];

	/* The standby does not help in a partition between zones, so the server itself has to answer first. */
	if (server->is_relay_lost && server->owner_index == 0 && server->owners[1].ip != 0 &&
	    server->answered_us > server->relay_lost_us)
		use_standby (server, now_us);
	if (owner->ip == 0 || (server->owner_index == 0 && !server->is_relay_lost) ||
	    now_us < server->relay_retry_us)
		return;
	server->relay_retry_us = now_us + OWNER_RETRY_US;
	connection_open (server, owner, NULL, now_us);
}
