/**
 * @file
 * Rendezvous hashing for the owner and standby of a server, and the watchers of a zone.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum
{
	OWNERSHIP_NONE = 0, /**< No VM. VM ids start at 1. */
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

/** Selects the owner and the standby of the server @p key in @p zone. @p members are the live
 * members without the leaving ones. When the zone has no member, all members are candidates; when
 * it has one, the standby is in another zone.
 */
struct ownership ownership_of_server (const struct ownership_member *members, size_t count,
                                      uint64_t key, uint32_t zone);

/** Selects the two platform watchers of @p zone. */
struct ownership ownership_of_zone (const struct ownership_member *members, size_t count,
                                    uint32_t zone);

/** Key of a server: hash of its database's name and its index. All VMs must compute the same. */
uint64_t ownership_server_key (const char *database, uint32_t index);
