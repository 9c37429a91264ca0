#include "decision/membership_table.h"

#include "decision/retry.h"

#include <stddef.h>
#include <xxhash.h>

enum
{
	BLOCK_BYTES = 12, /* XDR size of struct fs_member_block. */
	REJOIN_WINDOW_US = 10000000,
	/* For this long, claims that a member is down are ignored, since they may come from VMs that
	 * have not received the blocks yet. The detection of a member that dies meanwhile is delayed by
	 * as much. */
	STALE_CLAIMS_US = 10000000,
	/* Other VMs may notice the end of the partition later. */
	RECENT_REJOIN_US = 30000000,
	RESEND_INTERVAL_US = 5000000,
	/* Changes from shortly before a member went silent may not have reached it either. */
	RESEND_MARGIN_US = 10000000,
	/* A VM that was alone or in a small part of the fleet does not know which members died
	 * meanwhile. In a part of a quarter of the fleet 1 probe in 4 is answered until the others are
	 * known to be dead. */
	CONTACT_PROBES = 16,
	CONTACT_MIN_ANSWERS = 2,
	/* Fewer members refute the claims about them individually. */
	PARTITION_MIN_DOWN = 8,
	MAX_DIFFERENCES = 64,
	/* Most differences are resolved by rumors before this time. With earlier probes, hundreds of
	 * VMs would probe the same member. */
	DIFFERENCE_MIN_US = 3000000,
	DIFFERENCE_MAX_US = 12000000,
	/* About 1 member in 3,000 receives none of this many; its next contact with a member that it
	 * considers dead repairs that. */
	REJOIN_SENDS = 8,
};

bool
rejoin_is_partition (const struct membership *membership)
{
	return membership->dead_count + membership->suspected_count >= PARTITION_MIN_DOWN;
}

bool
rejoin_can_report_alive (const struct membership *membership, int64_t now_us)
{
	uint32_t probe_results = membership->probe_results & ((1u << CONTACT_PROBES) - 1);
	bool has_rejoined =
		membership->rejoin_at_us && now_us - membership->rejoin_at_us < RECENT_REJOIN_US;

	return (has_rejoined || rejoin_is_partition (membership)) &&
	       __builtin_popcount (probe_results) >= CONTACT_MIN_ANSWERS;
}

static struct member_block *
find_block (struct gossip_message *message, uint32_t first, uint32_t max_blocks)
{
	struct member_block *block;

	for (uint32_t i = 0; i < message->block_count; i++)
		if (message->blocks[i].first == first)
			return &message->blocks[i];
	if (message->block_count >= max_blocks)
		return NULL;
	block = &message->blocks[message->block_count++];
	*block = (struct member_block){ first, 0 };
	return block;
}

size_t
rejoin_fill (struct membership *membership, struct gossip_message *message, size_t bytes,
             bool is_view)
{
	uint32_t max_blocks = (uint32_t) (bytes / BLOCK_BYTES);
	uint32_t start = membership->block_cursor % membership->member_count;

	if (max_blocks > MEMBERSHIP_MAX_BLOCKS)
		max_blocks = MEMBERSHIP_MAX_BLOCKS;
	for (uint32_t i = 0; i < membership->member_count; i++)
	{
		uint32_t at = (start + i) % membership->member_count;
		const struct member_record *member = &membership->members[at];
		struct member_block *block;

		if (member->state != MEMBER_ALIVE && (!is_view || member->state != MEMBER_SUSPECT))
			continue;
		block =
			find_block (message, member->id - member->id % MEMBERSHIP_BLOCK_MEMBERS, max_blocks);
		if (!block)
		{
			membership->block_cursor = at;
			break;
		}
		block->alive |= 1ull << member->id % MEMBERSHIP_BLOCK_MEMBERS;
	}
	return message->block_count * (size_t) BLOCK_BYTES;
}

static bool
is_recently_confirmed (const struct member_record *member, int64_t now_us)
{
	return member->confirmed_at_us != 0 && now_us - member->confirmed_at_us < STALE_CLAIMS_US;
}

bool
rejoin_claims_are_stale (const struct member_record *member, int64_t now_us)
{
	return member->state == MEMBER_ALIVE && is_recently_confirmed (member, now_us);
}

void
rejoin_start (struct membership *membership, int64_t since_us, int64_t now_us)
{
	if (now_us - membership->resent_at_us < RESEND_INTERVAL_US)
		return;
	/* This side's rumors about the other one are no longer true. */
	rumor_remove_down (membership);
	membership->resent_at_us = now_us;
	rumor_add_changed (membership, since_us - RESEND_MARGIN_US);
}

static bool
blocks_contain (const struct gossip_message *message, uint32_t id)
{
	for (uint32_t i = 0; i < message->block_count && i < MEMBERSHIP_MAX_BLOCKS; i++)
		if (message->blocks[i].first == id - id % MEMBERSHIP_BLOCK_MEMBERS)
			return message->blocks[i].alive >> id % MEMBERSHIP_BLOCK_MEMBERS & 1;
	return false;
}

void
rejoin_merge (struct membership *membership, const struct gossip_message *message, int64_t now_us)
{
	bool is_rejoining =
		now_us - membership->rejoin_at_us < REJOIN_WINDOW_US && membership->rejoin_at_us != 0;
	int64_t since_us = now_us;
	uint32_t revived = 0;

	if (message->block_count == 0 || (!is_rejoining && !rejoin_is_partition (membership)))
		return;
	for (uint32_t i = 1; i < membership->member_count; i++)
	{
		struct member_record *member = &membership->members[i];
		bool is_down = member->state == MEMBER_DEAD || member->state == MEMBER_SUSPECT;

		/* A member is revived only once within STALE_CLAIMS_US: if it falls silent again, it is
		 * down. */
		if (!blocks_contain (message, member->id) ||
		    (is_down && is_recently_confirmed (member, now_us)))
			continue;
		member->confirmed_at_us = now_us;
		if (!is_down)
			continue;
		if (member->down_since_us < since_us)
			since_us = member->down_since_us;
		/* All VMs that revive the member give it the same version, so no rumor is needed. */
		member->incarnation++;
		member_handle_event (membership, member, MEMBER_TOLD_ALIVE, now_us);
		member->down_since_us = 0;
		revived++;
	}
	if (revived == 0)
		return;
	/* The other side revives this VM with the same incarnation. */
	if (!is_rejoining)
		membership->members[0].incarnation++;
	membership->rejoin_at_us = now_us;
	rejoin_start (membership, since_us, now_us);
	membership->rejoin_sends_left = REJOIN_SENDS;
}

static bool
is_alive (const struct member_record *member)
{
	return member->state == MEMBER_ALIVE || member->state == MEMBER_SUSPECT;
}

uint32_t
view_hash (struct membership *membership)
{
	uint32_t hash = 0;

	if (membership->view_generation == membership->generation + 1)
		return membership->view_hash;
	for (uint32_t i = 0; i < membership->member_count; i++)
		if (is_alive (&membership->members[i]))
			hash ^= XXH32 (&membership->members[i].id, sizeof membership->members[i].id, 0);
	membership->view_hash = hash;
	membership->view_generation = membership->generation + 1;
	return hash;
}

size_t
view_compare (struct membership *membership, const struct gossip_message *message,
              struct member_record **members, size_t limit, int64_t now_us)
{
	uint32_t start = (uint32_t) (random_next (&membership->seed) % membership->member_count);
	uint32_t differences = 0;
	size_t count = 0;

	for (uint32_t i = 0; i < membership->member_count; i++)
	{
		uint32_t at = (start + i) % membership->member_count;
		struct member_record *member = &membership->members[at];

		/* Blocks do not contain leaving members. */
		if (at == 0 || member->state == MEMBER_LEAVING ||
		    is_alive (member) == blocks_contain (message, member->id))
			continue;
		differences++;
		if (member->differs_since_us == 0 || now_us - member->differs_since_us > DIFFERENCE_MAX_US)
			member->differs_since_us = now_us;
		else if (now_us - member->differs_since_us >= DIFFERENCE_MIN_US && count < limit)
			members[count++] = member;
	}
	return differences <= MAX_DIFFERENCES ? count : 0;
}
