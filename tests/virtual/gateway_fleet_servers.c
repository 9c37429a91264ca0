/* Database servers: logs, replication, promotion and directory entries. */
#include "gateway_fleet.h"

#include <errno.h>
#include <string.h>

enum
{
	SERVERS_PROMOTE_US = 300 * US_PER_MS,
	SERVERS_HEARTBEAT_US = 1 * US_PER_S,
	SERVERS_ENTRY_TTL_US = 3 * SERVERS_HEARTBEAT_US,
	/* A primary resigns this long after it first reaches one of a later term. */
	SERVERS_RESIGN_US = 1 * US_PER_S,
	SERVERS_EXIT_US = FLEET_DRAIN_US + 500 * US_PER_MS,
};

struct promotion
{
	int server;
	uint32_t starts;
};

static void
server_name (struct fleet_server *server)
{
	snprintf (server->id, sizeof server->id, "i-%d-%c%u", server->service, 'a' + server->zone,
	          ++server->starts);
}

static char *
entry_key (const struct fleet_server *server)
{
	return g_strdup_printf ("servers/%s", server->id);
}

static void
write_entry (struct gateway_fleet *fleet, struct fleet_server *server)
{
	g_autofree char *key = entry_key (server);
	g_autofree char *value = g_strdup_printf (
		"{\"service\":\"%s\",\"address\":\"10.1.0.%d:5432\",\"zone\":\"%c\",\"slots\":4,"
		"\"state\":\"%s\",\"coldRemainingMs\":0,\"dbRole\":\"%s\"}",
		fleet->services[server->service].name, server->index + 1, 'a' + server->zone,
		server->is_draining ? "draining" : "ready", server->is_primary ? "primary" : "replica");

	fleet_store_put (fleet->store, key, value, SERVERS_ENTRY_TTL_US);
	server->heartbeat_us = fleet->world.now_us;
	server->is_entry_old = false;
	if (server->is_draining && server->draining_us == 0)
		server->draining_us = fleet->world.now_us;
}

void
fleet_servers_init (struct gateway_fleet *fleet)
{
	fleet->server_count = fleet->service_count * FLEET_SERVERS;
	fleet->servers = g_new0 (struct fleet_server, (gsize) fleet->server_count);
	for (int i = 0; i < fleet->server_count; i++)
	{
		struct fleet_server *server = &fleet->servers[i];
		struct fleet_service *service;

		server->index = i;
		server->node = fleet->vm_count + i;
		server->service = i / FLEET_SERVERS;
		server->zone = i % FLEET_SERVERS;
		service = &fleet->services[server->service];
		server->is_running = true;
		server->term = 1;
		server->log = g_array_new (FALSE, FALSE, sizeof (struct fleet_entry));
		server_name (server);
		if (server->zone != server->service % FLEET_ZONES)
			continue;
		server->is_primary = true;
		service->leader = i;
	}
	for (int i = 0; i < fleet->server_count; i++)
		write_entry (fleet, &fleet->servers[i]);
}

void
fleet_servers_finish (struct gateway_fleet *fleet)
{
	for (int i = 0; i < fleet->server_count; i++)
		g_array_free (fleet->servers[i].log, TRUE);
	g_free (fleet->servers);
}

struct fleet_server *
fleet_server_find (struct gateway_fleet *fleet, const char *id)
{
	for (int i = 0; i < fleet->server_count; i++)
		if (strcmp (fleet->servers[i].id, id) == 0)
			return &fleet->servers[i];
	return NULL;
}

struct database_status
fleet_server_status (const struct fleet_server *server)
{
	struct database_status status = {
		.is_primary = server->is_primary,
		.term = server->term,
		.received = { 0, server->log->len },
	};

	if (server->log->len > 0)
		status.received.term =
			g_array_index (server->log, struct fleet_entry, server->log->len - 1).term;
	status.applied = status.received;
	return status;
}

static void
set_primary (struct fleet_server *server, bool is_primary)
{
	server->is_entry_old |= server->is_primary != is_primary;
	server->is_primary = is_primary;
	server->later_us = 0;
}

/* Replication. */

/** Finds the primary of the latest term that @p server reaches. */
static struct fleet_server *
find_leader (const struct gateway_fleet *fleet, const struct fleet_server *server)
{
	struct fleet_server *leader = NULL;

	for (int i = 0; i < FLEET_SERVERS; i++)
	{
		struct fleet_server *other = &fleet->servers[server->service * FLEET_SERVERS + i];

		if (other != server && other->is_running && other->is_primary &&
		    other->term >= server->term && (!leader || other->term > leader->term) &&
		    fleet_reaches (fleet, server->node, other->node))
			leader = other;
	}
	return leader;
}

/** Makes the log a prefix of the leader's. */
static void
follow (struct fleet_server *server, const struct fleet_server *leader)
{
	guint length = MIN (leader->offered, leader->log->len);

	if (server->term != leader->term)
	{
		guint common = 0;

		while (common < MIN (server->log->len, leader->log->len) &&
		       g_array_index (server->log, struct fleet_entry, common).id ==
		           g_array_index (leader->log, struct fleet_entry, common).id)
			common++;
		g_array_set_size (server->log, common);
		server->term = leader->term;
	}
	if (server->log->len < length)
		g_array_append_vals (server->log,
		                     &g_array_index (leader->log, struct fleet_entry, server->log->len),
		                     length - server->log->len);
}

static void
replicate (struct gateway_fleet *fleet, struct fleet_server *server)
{
	struct fleet_server *leader = find_leader (fleet, server);

	if (!leader || (server->is_primary && leader->term == server->term))
	{
		server->later_us = 0;
		return;
	}
	if (server->is_primary && server->later_us == 0)
		server->later_us = fleet->world.now_us;
	if (server->is_primary && fleet->world.now_us - server->later_us < SERVERS_RESIGN_US)
		return;
	if (server->is_primary)
		set_primary (server, false);
	if (!server->is_deaf && fleet->world.now_us >= MAX (server->resume_us, leader->resume_us))
		follow (server, leader);
}

/* Life of a server. */

void
fleet_server_crash (struct gateway_fleet *fleet, struct fleet_server *server, bool is_dark)
{
	server->disturbed_us = fleet->world.now_us;
	server->is_running = false;
	server->is_dark = is_dark;
}

void
fleet_server_start (struct gateway_fleet *fleet, struct fleet_server *server)
{
	if (server->is_running)
		return;
	server->disturbed_us = fleet->world.now_us;
	server->is_running = true;
	server->is_draining = false;
	server->draining_us = 0;
	/* It leads again unless another server was promoted. */
	set_primary (server,
	             server->is_primary && fleet->services[server->service].leader == server->index);
	server->is_entry_old = true;
}

static void
handle_exit (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	struct fleet_server *server = &fleet->servers[*(const int *) payload];
	g_autofree char *key = entry_key (server);

	if (!server->is_running || !server->is_draining)
		return;
	if (fleet_store_is_up (fleet->store) && fleet_reaches (fleet, server->node, fleet->store_node))
		fleet_store_delete (fleet->store, key);
	server->is_running = false;
	set_primary (server, false);
	/* A new server with its log takes its place. */
	server_name (server);
	fleet_server_start (fleet, server);
}

void
fleet_server_release (struct gateway_fleet *fleet, struct fleet_server *server)
{
	(void) fleet;
	if (!server->is_running || server->is_draining)
		return;
	server->is_draining = true;
	server->is_entry_old = true;
}

static void
server_tick (struct gateway_fleet *fleet, struct fleet_server *server)
{
	int64_t now_us = fleet->world.now_us;
	bool was_draining = server->draining_us > 0;

	if (!server->is_running)
		return;
	replicate (fleet, server);
	if (fleet_store_is_up (fleet->store) &&
	    fleet_reaches (fleet, server->node, fleet->store_node) &&
	    (server->is_entry_old || now_us - server->heartbeat_us >= SERVERS_HEARTBEAT_US))
		write_entry (fleet, server);
	if (!was_draining && server->draining_us > 0)
		virtual_schedule (&fleet->world, VIRTUAL_NO_NODE, now_us + SERVERS_EXIT_US,
		                  (struct virtual_handler){ handle_exit, fleet }, &server->index,
		                  sizeof server->index);
}

void
fleet_servers_tick (struct gateway_fleet *fleet)
{
	for (int i = 0; i < fleet->server_count; i++)
		server_tick (fleet, &fleet->servers[i]);
	/* A replica receives what its primary held in the step before. */
	for (int i = 0; i < fleet->server_count; i++)
		fleet->servers[i].offered = fleet->servers[i].log->len;
}

/* Promotion. */

static void
handle_promotion (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct promotion *promotion = payload;
	struct fleet_server *server = &fleet->servers[promotion->server];
	struct fleet_service *service = &fleet->services[server->service];

	if (!server->is_running || server->starts != promotion->starts ||
	    (service->leader == server->index && server->is_primary))
		return;
	fleet_check_promotion (fleet, server);
	service->leader = server->index;
	service->promotions++;
	server->term = ++service->term;
	server->offered = server->log->len;
	set_primary (server, true);
	g_array_append_val (service->led_us, fleet->world.now_us);
	if (fleet_is_logging ())
		g_printerr ("%9.4f %s leads %s with term %llu and %u entries\n",
		            (double) (fleet->world.now_us - fleet->settled_us) / US_PER_S, server->id,
		            service->name, (unsigned long long) service->term, server->log->len);
}

int
fleet_promote (struct gateway_fleet *fleet, const char *service, const char *id, const char *holder,
               uint64_t token)
{
	struct fleet_server *server = fleet_server_find (fleet, id);
	struct promotion promotion;
	bool is_refused = !server || !server->is_running ||
	                  strcmp (fleet->services[server->service].name, service) != 0;

	if (server)
		fleet_check_token (fleet, server->service, holder, id, token, is_refused);
	if (is_refused)
		return -ENOENT;
	promotion = (struct promotion){ server->index, server->starts };
	virtual_schedule (&fleet->world, VIRTUAL_NO_NODE, fleet->world.now_us + SERVERS_PROMOTE_US,
	                  (struct virtual_handler){ handle_promotion, fleet }, &promotion,
	                  sizeof promotion);
	return 0;
}
