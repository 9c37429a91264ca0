#include "decision/ownership.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Score of a member for a key: the finalizer of splitmix64 over both. */
static uint64_t
member_score (uint64_t key, uint32_t id)
{
	uint64_t z = key ^ (uint64_t) id * 0x9e3779b97f4a7c15;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return z ^ z >> 31;
}

static struct ownership
pick_owners (const struct ownership_member *members, size_t count, uint64_t key, bool is_any_zone,
             uint32_t zone)
{
	struct ownership best = { OWNERSHIP_NONE, OWNERSHIP_NONE };
	uint64_t owner_score = 0;
	uint64_t standby_score = 0;

	for (size_t i = 0; i < count; i++)
	{
		uint64_t score;

		if (!is_any_zone && members[i].zone != zone)
			continue;
		score = member_score (key, members[i].id);
		if (best.owner == OWNERSHIP_NONE || score > owner_score)
		{
			best.standby = best.owner;
			standby_score = owner_score;
			best.owner = members[i].id;
			owner_score = score;
		}
		else if (best.standby == OWNERSHIP_NONE || score > standby_score)
		{
			best.standby = members[i].id;
			standby_score = score;
		}
	}
	return best;
}

struct ownership
ownership_of_server (const struct ownership_member *members, size_t count, uint64_t key,
                     uint32_t zone)
{
	struct ownership ownership = pick_owners (members, count, key, false, zone);
	struct ownership any_zone;

	if (ownership.standby != OWNERSHIP_NONE)
		return ownership;
	any_zone = pick_owners (members, count, key, true, zone);
	if (ownership.owner == OWNERSHIP_NONE)
		return any_zone;
	/* The owner is the zone's only VM. The standby is the VM that would own the server without
	 * it. */
	ownership.standby = any_zone.owner == ownership.owner ? any_zone.standby : any_zone.owner;
	return ownership;
}

struct ownership
ownership_of_zone (const struct ownership_member *members, size_t count, uint32_t zone)
{
	return pick_owners (members, count, XXH64 (&zone, sizeof zone, 0), false, zone);
}

uint64_t
ownership_server_key (const char *database, uint32_t index)
{
	return XXH64 (database, strlen (database), index);
}
