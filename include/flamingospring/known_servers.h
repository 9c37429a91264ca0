/**
 * @file
 * What one traffic thread knows of the upstream servers from the responses that it saw.
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
	uint32_t queue_us[RANK_COUNT]; /**< A flood of one rank says nothing about the others. */
	int64_t queue_at_us[RANK_COUNT];
	struct circuit circuit;
};

struct known_group
{
	uint64_t term; /**< Of the highest term in a response; 0: none. */
	uint32_t primary;
	struct known_server servers[ROUTING_MAX_SERVERS];
};

struct known_servers
{
	GHashTable *groups; /**< By database name. */
};

void known_servers_init (struct known_servers *known);
void known_servers_finish (struct known_servers *known);

/** Finds the entry of a database, or adds one. The entry stays valid until known_servers_finish(). */
struct known_group *known_servers_group (struct known_servers *known, const char *database);

/** Fills @p servers for routing_choose() of a request of @p rank. @return the number of servers. */
size_t known_group_routing (const struct known_group *known, const struct snapshot *snapshot,
                            const struct snapshot_group *group, enum rank rank,
                            struct routing_server *servers, int64_t now_us);

/** Takes what a response of server @p at to a request of @p rank tells. */
void known_group_report (struct known_group *known, uint32_t at, enum rank rank,
                         const struct fs_execute_result *result, int64_t now_us);

/** Takes the news that server @p at or its owner did not answer. */
void known_group_report_down (struct known_group *known, uint32_t at, int64_t now_us);

/** Tells whether a request may go to server @p at; while its circuit is half open, one may. */
bool known_group_allows (struct known_group *known, uint32_t at, int64_t now_us);
