#include "decision/membership.h"
#include "decision/membership_table.h"

#include <stdlib.h>

uint64_t
membership_generation (const struct membership *membership)
{
	return membership->generation;
}

size_t
membership_count (const struct membership *membership)
{
	return membership->member_count;
}

bool
membership_get (const struct membership *membership, size_t at, struct member *member)
{
	const struct member_record *record;

	if (at >= membership->member_count)
		return false;
	record = &membership->members[at];
	*member = (struct member){
		.id = record->id,
		.state = (enum member_state) record->state,
		.address = record->address,
		.config_revision = record->config_revision,
		.rtt_us = record->rtt_us,
	};
	return true;
}

bool
membership_find (const struct membership *membership, uint32_t id, struct member *member)
{
	const struct member_record *record = member_table_find (membership, id);

	return record && membership_get (membership, (size_t) (record - membership->members), member);
}

size_t
membership_item_count (const struct membership *membership)
{
	return membership->item_count;
}

bool
membership_get_item (const struct membership *membership, size_t at, struct membership_item *item)
{
	if (at >= membership->item_count)
		return false;
	item_from_record (&membership->items[at], item);
	return true;
}

bool
membership_find_item (const struct membership *membership, enum item_type type, const char *key,
                      struct membership_item *item)
{
	const struct member_record *member;
	const struct item_record *record;

	if (type == ITEM_MEMBER)
	{
		member = member_table_find (membership, (uint32_t) strtoul (key, NULL, 10));
		if (member)
			item_from_member (member, item);
		return member != NULL;
	}
	record = item_table_find (membership, type, key);
	if (record)
		item_from_record (record, item);
	return record != NULL;
}

uint32_t
membership_find_newer (const struct membership *membership, uint64_t revision, uint64_t seed)
{
	uint32_t zone = membership->members[0].address.zone;
	uint32_t other = 0;

	for (uint32_t i = 0; i < membership->member_count; i++)
	{
		const struct member_record *member =
			&membership->members[(i + seed) % membership->member_count];

		if (member->state == MEMBER_DEAD || member->config_revision <= revision)
			continue;
		if (member->address.zone == zone)
			return member->id;
		if (other == 0)
			other = member->id;
	}
	return other;
}

int64_t
membership_config_read_us (const struct membership *membership)
{
	return membership->config_read_us;
}
