/**
 * @file
 * Rendezvous hashing: owner and standby of a server, watchers of a zone.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum
{
	OWNERSHIP_NONE = 0, /**< No VM; VM ids start at 1. */
};

struct ownership_member
{
	uint32_t id;
	uint32_t zone;
};

struct ownership
{
	uint32_t owner;
	uint32_t standby;
};

/**
 * Picks owner and standby of the server @p key in @p zone among live members, leaving ones left out.
 * When the zone has no member, all members are candidates; when it has one, the standby is of another
 * zone.
 */
struct ownership ownership_of_server (const struct ownership_member *members, size_t count,
                                      uint64_t key, uint32_t zone);

/** Picks the two platform watchers of @p zone. */
struct ownership ownership_of_zone (const struct ownership_member *members, size_t count,
                                    uint32_t zone);

/** Stable key of a server: hash of database name and index. */
uint64_t ownership_server_key (const char *database, uint32_t index);
