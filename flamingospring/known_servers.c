#include "flamingospring/known_servers.h"

#include "common/clock.h"
#include "decision/request.h"

enum
{
	SERVER_CIRCUIT_FAILURES = 3,
	SERVER_CIRCUIT_OPEN_US = 500 * US_PER_MS,
	/* Assumed until a member's round trip is measured. The zones are 4 to 5 ms apart one way. */
	DEFAULT_RTT_US = 8 * US_PER_MS,
};

void
known_servers_init (struct known_servers *known)
{
	known->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
known_servers_finish (struct known_servers *known)
{
	g_hash_table_destroy (known->groups);
	known->groups = NULL;
}

struct known_group *
known_servers_group (struct known_servers *known, const char *database)
{
	struct known_group *group = g_hash_table_lookup (known->groups, database);

	if (group)
		return group;
	group = g_new0 (struct known_group, 1);
	for (size_t i = 0; i < ROUTING_MAX_SERVERS; i++)
		circuit_init (&group->servers[i].circuit, SERVER_CIRCUIT_FAILURES, SERVER_CIRCUIT_OPEN_US);
	g_hash_table_insert (known->groups, g_strdup (database), group);
	return group;
}

static uint32_t
link_us (const struct snapshot *snapshot, uint32_t vm)
{
	const struct snapshot_member *member;

	if (vm == snapshot->self)
		return 0;
	member = snapshot_find_member (snapshot, vm);
	return member && member->rtt_us ? member->rtt_us : DEFAULT_RTT_US;
}

/* Subtracts the time since the report, in which the queue drained, so that an old report of a long
 * queue does not keep requests away. */
static uint32_t
remaining_queue_us (const struct known_server *server, enum rank rank, int64_t now_us)
{
	int64_t elapsed_us = now_us - server->queue_at_us[rank];
	uint32_t queue_us = server->queue_us[rank];

	return elapsed_us < queue_us ? queue_us - (uint32_t) elapsed_us : 0;
}

size_t
known_group_routing (const struct known_group *known, const struct snapshot *snapshot,
                     const struct snapshot_group *group, enum rank rank,
                     struct routing_server *servers, int64_t now_us)
{
	bool knows_newer_primary =
		known->term > 0 && (!group->has_primary || known->term > group->term);
	size_t count = group->database->server_count;

	for (size_t i = 0; i < count; i++)
	{
		const struct known_server *server = &known->servers[i];
		const struct circuit *circuit = &server->circuit;

		servers[i] = (struct routing_server){
			.is_primary = knows_newer_primary ? known->primary == i
			                                  : group->has_primary && group->primary == i,
			.is_down = circuit->state != CIRCUIT_CLOSED &&
			           now_us - circuit->opened_at_us < circuit->open_us,
			.is_leaving = group->servers[i].is_leaving,
			.link_us = link_us (snapshot, group->servers[i].owners.owner),
			.queue_us = remaining_queue_us (server, rank, now_us),
			.lag_us = server->lag_us,
			.position = server->position,
			.position_at_us = server->position_at_us,
			.fresh_at_us = server->fresh_at_us,
		};
	}
	return count;
}

void
known_group_report (struct known_group *known, uint32_t server_index, enum rank rank,
                    const struct fs_execute_result *result, int64_t now_us)
{
	struct known_server *server = &known->servers[server_index];
	bool is_down = result->outcome != OUTCOME_DONE && result->reason == REASON_UPSTREAM_DOWN;

	circuit_report (&server->circuit, !is_down, now_us);
	if (result->server_position.term > 0)
	{
		server->position.term = result->server_position.term;
		server->position.index = result->server_position.index;
		server->position_at_us = now_us;
		server->lag_us = result->server_lag_ms < UINT32_MAX / US_PER_MS
		                     ? result->server_lag_ms * US_PER_MS
		                     : UINT32_MAX;
		/* UINT32_MAX: the owner has not measured the age of the server's data yet. */
		if (result->server_age_ms != UINT32_MAX)
			server->fresh_at_us = now_us - (int64_t) result->server_age_ms * US_PER_MS;
	}
	if (result->reason != REASON_NOT_OWNER)
	{
		server->queue_us[rank] = result->server_queue_us;
		server->queue_at_us[rank] = now_us;
	}
	if (result->primary >= 0 && result->primary < ROUTING_MAX_SERVERS &&
	    result->primary_term > known->term)
	{
		known->term = result->primary_term;
		known->primary = (uint32_t) result->primary;
	}
}

void
known_group_report_down (struct known_group *known, uint32_t server_index, int64_t now_us)
{
	circuit_report (&known->servers[server_index].circuit, false, now_us);
}

bool
known_group_allows (struct known_group *known, uint32_t server_index, int64_t now_us)
{
	return circuit_allows (&known->servers[server_index].circuit, now_us);
}
