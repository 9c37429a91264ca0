/**
 * @file
 * State of the upstream servers as one traffic thread knows it from the responses it received.
 */
#pragma once

#include "decision/request.h"
#include "decision/retry.h"
#include "decision/routing.h"
#include "flamingospring/snapshot.h"
#include "protocols/peer.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct known_server
{
	struct log_position position;
	int64_t position_at_us;
	int64_t fresh_at_us;
	uint32_t lag_us;
	/** Expected wait by rank. A long queue of one rank says nothing about the others. */
	uint32_t queue_us[RANK_COUNT];
	int64_t queue_at_us[RANK_COUNT];
	struct circuit circuit;
};

struct known_group
{
	uint64_t term;    /**< Highest term of a primary in a response; 0: none. */
	uint32_t primary; /**< Primary of that term. */
	struct known_server servers[ROUTING_MAX_SERVERS];
};

struct known_servers
{
	GHashTable *groups; /**< struct known_group by database name. */
};

void known_servers_init (struct known_servers *known);
void known_servers_finish (struct known_servers *known);

/** Finds or adds the entry of a database. It stays valid until known_servers_finish(). */
struct known_group *known_servers_group (struct known_servers *known, const char *database);

/** Fills @p servers, from which routing_choose() selects one for a request of @p rank. @return the
 * number of servers. */
size_t known_group_routing (const struct known_group *known, const struct snapshot *snapshot,
                            const struct snapshot_group *group, enum rank rank,
                            struct routing_server *servers, int64_t now_us);

/** Records the state in a response of server @p server_index to a request of @p rank. */
void known_group_report (struct known_group *known, uint32_t server_index, enum rank rank,
                         const struct fs_execute_result *result, int64_t now_us);

/** Records that server @p server_index or its owner did not answer. */
void known_group_report_down (struct known_group *known, uint32_t server_index, int64_t now_us);

/** Returns whether a request may be sent to server @p server_index. While the circuit breaker is
 * half open, one request may. */
bool known_group_allows (struct known_group *known, uint32_t server_index, int64_t now_us);
