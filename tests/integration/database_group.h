/**
 * @file
 * A database group of emulated servers, each a separate process on a free loopback port.
 */
#pragma once

#include "flamingospring/snapshot.h"

#include <glib.h>
#include <stdint.h>

enum
{
	GROUP_SERVERS = 3,
};

struct database_group
{
	uint16_t ports[GROUP_SERVERS];
	GPid pids[GROUP_SERVERS];
	char *peers;
	char *directory;
};

/** Starts the servers and waits until they accept connections; server 0 is the primary. */
void database_group_start (struct database_group *group, const char *lag_ms,
                           const char *connections);
void database_group_kill (struct database_group *group, unsigned index);
void database_group_stop (struct database_group *group);

/** A snapshot of the service "letters" with this group as its database "ledger" and the calls find,
 * recent and add. Server 0 is the primary of term 1, and no server has an owner. */
struct snapshot *database_group_snapshot (const struct database_group *group, unsigned slots);
