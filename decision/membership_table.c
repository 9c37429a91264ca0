#include "decision/membership_table.h"

#include "decision/retry.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
	MAX_PAYLOAD_BYTES = 400,
	MEMBER_BYTES = 40, /* XDR size of struct fs_item for a member. */
	ITEM_FIXED_BYTES =
		24,           /* XDR size of struct fs_item for others, without the key's characters. */
	CLAIM_BYTES = 12, /* XDR size of struct fs_member_claim. */
	/* An empty struct fs_gossip, with the headers of RPC, UDP and IPv4. */
	HEADER_BYTES = 40 + 48 + 28,
	/* With more rumors than this, each one that is not urgent is sent fewer times, since the loss
	 * of a zone causes hundreds. About 1 member in 400 misses a rumor that is sent 6 times, and
	 * learns of it when it pings the member that it considers dead. */
	MANY_RUMORS = 32,
	MANY_RUMORS_SENDS = 6,
	/* Pings and answers also carry recently changed items, for members that were cut off. */
	RECENT_US = 60000000,
	RECENT_PER_MESSAGE = 3,
	URGENT_BYTES = 100,
	CONFIG_BYTES = 36,  /* Room for three claims. */
	RECENT_BYTES = 100, /* Exempt from the budget, since nothing else repairs lost items. */
	/* About 1 member in 20 misses a low-priority rumor, and learns of the member from its own
	 * pings. */
	LOW_PRIORITY_SENDS = 3,
};

static uint32_t
hash_slots (uint32_t entries)
{
	uint32_t slots = 8;

	while (slots < 2 * entries)
		slots *= 2;
	return slots;
}

static void *
place (char *base, size_t *offset, size_t bytes)
{
	void *memory = base ? base + *offset : NULL;

	*offset += (bytes + 15) & ~(size_t) 15;
	return memory;
}

size_t
membership_table_layout (struct membership *membership, uint32_t max_members, uint32_t max_items)
{
	struct membership unused;
	char *base = (char *) membership;
	size_t size = 0;

	if (!membership)
		membership = &unused;
	place (base, &size, sizeof *membership);
	membership->members = place (base, &size, max_members * sizeof *membership->members);
	membership->items = place (base, &size, max_items * sizeof *membership->items);
	membership->rumors =
		place (base, &size, (max_members + max_items) * sizeof *membership->rumors);
	membership->member_hash =
		place (base, &size, hash_slots (max_members) * sizeof *membership->member_hash);
	membership->item_hash =
		place (base, &size, hash_slots (max_items) * sizeof *membership->item_hash);
	membership->order = place (base, &size, max_members * sizeof *membership->order);
	membership->max_members = max_members;
	membership->max_items = max_items;
	membership->member_hash_mask = hash_slots (max_members) - 1;
	membership->item_hash_mask = hash_slots (max_items) - 1;
	return size;
}

static uint32_t *
member_hash_slot (const struct membership *membership, uint32_t id)
{
	uint32_t slot = (uint32_t) XXH64 (&id, sizeof id, 0);

	for (;; slot++)
	{
		uint32_t *entry = &membership->member_hash[slot & membership->member_hash_mask];

		if (*entry == 0 || membership->members[*entry - 1].id == id)
			return entry;
	}
}

struct member_record *
member_table_find (const struct membership *membership, uint32_t id)
{
	uint32_t entry = *member_hash_slot (membership, id);

	return entry ? &membership->members[entry - 1] : NULL;
}

struct member_record *
member_table_add (struct membership *membership, uint32_t id, const struct member_address *address)
{
	struct member_record *member;
	uint32_t at = membership->member_count;
	uint32_t swap;

	if (at == membership->max_members)
		return NULL;
	member = &membership->members[at];
	*member = (struct member_record){ .id = id, .address = *address };
	*member_hash_slot (membership, id) = at + 1;
	membership->member_count++;
	membership->generation++;
	/* Inserts the member at a random place in the rest of this round of pings. */
	swap = membership->order_next +
	       (uint32_t) (random_next (&membership->seed) % (at + 1 - membership->order_next));
	membership->order[at] = membership->order[swap];
	membership->order[swap] = at;
	return member;
}

void
member_table_shuffle (struct membership *membership)
{
	uint32_t *order = membership->order;

	for (uint32_t i = 0; i < membership->member_count; i++)
		order[i] = i;
	for (uint32_t i = membership->member_count; i > 1; i--)
	{
		uint32_t swap = (uint32_t) (random_next (&membership->seed) % i);
		uint32_t at = order[i - 1];

		order[i - 1] = order[swap];
		order[swap] = at;
	}
	membership->order_next = 0;
}

static void
member_table_remove (struct membership *membership, uint32_t at)
{
	uint32_t last = membership->member_count - 1;

	for (uint32_t i = 0; i < membership->rumor_count;)
	{
		struct record_reference *rumor = &membership->rumors[i];

		if (rumor->is_member && rumor->at == at)
		{
			*rumor = membership->rumors[--membership->rumor_count];
			continue;
		}
		if (rumor->is_member && rumor->at == last)
			rumor->at = at;
		i++;
	}
	membership->members[at] = membership->members[last];
	membership->member_count--;
	membership->dead_count--;
	membership->generation++;
}

void
member_table_forget (struct membership *membership, int64_t before_us)
{
	bool is_changed = false;

	for (uint32_t i = membership->member_count; i > 1; i--)
	{
		const struct member_record *member = &membership->members[i - 1];

		if (member->state != MEMBER_DEAD || member->down_since_us > before_us)
			continue;
		member_table_remove (membership, i - 1);
		is_changed = true;
	}
	if (!is_changed)
		return;
	memset (membership->member_hash, 0,
	        ((size_t) membership->member_hash_mask + 1) * sizeof *membership->member_hash);
	for (uint32_t i = 0; i < membership->member_count; i++)
		*member_hash_slot (membership, membership->members[i].id) = i + 1;
	member_table_shuffle (membership);
}

/* Context of a chart event of a member. */
struct member_chart_context
{
	struct membership *membership;
	struct member_record *member;
	int64_t now_us;
};

static void
handle_action (void *context, const char *name)
{
	struct member_chart_context *step = context;
	struct member_record *member = step->member;

	if (strcmp (name, "end_suspicion") == 0)
	{
		step->membership->suspected_count -= member->suspected_at_us != 0;
		member->suspected_at_us = 0;
		return;
	}
	if (member->down_since_us == 0)
		member->down_since_us = step->now_us;
	if (strcmp (name, "start_suspicion") == 0 && member->suspected_at_us == 0)
	{
		int64_t expiry_us = step->now_us + step->membership->settings->suspect_us;

		member->suspected_at_us = step->now_us;
		step->membership->suspected_count++;
		if (expiry_us < step->membership->expiry_at_us)
			step->membership->expiry_at_us = expiry_us;
	}
}

static bool
handle_condition (void *context, const char *name)
{
	return false;
}

static const struct chart_ops member_ops = { handle_action, handle_condition };

bool
member_handle_event (struct membership *membership, struct member_record *member,
                     enum member_event event, int64_t now_us)
{
	struct member_chart_context step = { membership, member, now_us };
	struct chart_instance instance = { membership->chart, membership->chart_states[member->state] };
	uint8_t old = member->state;

	chart_instance_handle (&instance, membership->chart_events[event], &member_ops, &step);
	for (int state = 0; state < MEMBER_STATE_COUNT; state++)
		if (membership->chart_states[state] == instance.state)
			member->state = (uint8_t) state;
	if (member->state == old)
		return false;
	membership->dead_count += member->state == MEMBER_DEAD;
	membership->dead_count -= old == MEMBER_DEAD;
	membership->generation++;
	return true;
}

uint64_t
member_version (const struct member_record *member)
{
	return member->incarnation << 2 | member->state;
}

static uint32_t *
item_hash_slot (const struct membership *membership, enum item_type type, const char *key)
{
	uint32_t slot = (uint32_t) XXH64 (key, strlen (key), type);

	for (;; slot++)
	{
		uint32_t *entry = &membership->item_hash[slot & membership->item_hash_mask];
		const struct item_record *item;

		if (*entry == 0)
			return entry;
		item = &membership->items[*entry - 1];
		if (item->type == type && strcmp (item->key, key) == 0)
			return entry;
	}
}

struct item_record *
item_table_find (const struct membership *membership, enum item_type type, const char *key)
{
	uint32_t entry = *item_hash_slot (membership, type, key);

	return entry ? &membership->items[entry - 1] : NULL;
}

struct item_record *
item_table_add (struct membership *membership, enum item_type type, const char *key)
{
	uint32_t at = membership->item_count;
	struct item_record *item;

	if (at == membership->max_items)
		return NULL;
	item = &membership->items[at];
	memset (item, 0, sizeof *item);
	item->type = (uint8_t) type;
	snprintf (item->key, sizeof item->key, "%s", key);
	*item_hash_slot (membership, type, key) = at + 1;
	membership->item_count++;
	return item;
}

uint32_t
rumor_sends (const struct membership *membership)
{
	uint32_t log2_members = 1;

	while (log2_members < 31 && 1u << log2_members < membership->member_count + 1)
		log2_members++;
	return membership->settings->retransmit_factor * log2_members;
}

static bool
reference_is_urgent (const struct membership *membership, struct record_reference reference)
{
	if (reference.is_member)
		return membership->members[reference.at].state == MEMBER_LEAVING;
	return membership->items[reference.at].type == ITEM_LEAVING;
}

static uint16_t *
reference_sends_left (const struct membership *membership, struct record_reference reference)
{
	return reference.is_member ? &membership->members[reference.at].sends_left
	                           : &membership->items[reference.at].sends_left;
}

static bool
reference_is_low_priority (const struct membership *membership, struct record_reference reference)
{
	return reference.is_member && membership->members[reference.at].is_low_priority;
}

uint32_t
rumor_count_regular (const struct membership *membership)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < membership->rumor_count; i++)
		count += !reference_is_low_priority (membership, membership->rumors[i]);
	return count;
}

static void
rumor_add (struct membership *membership, struct record_reference reference)
{
	uint16_t *sends_left = reference_sends_left (membership, reference);

	if (*sends_left == 0)
	{
		membership->rumors[membership->rumor_count++] = reference;
		if (reference.is_member)
			membership->members[reference.at].has_address = false;
	}
	*sends_left = (uint16_t) rumor_sends (membership);
	if (*sends_left > MANY_RUMORS_SENDS && !reference_is_urgent (membership, reference) &&
	    rumor_count_regular (membership) > MANY_RUMORS)
		*sends_left = MANY_RUMORS_SENDS;
}

void
rumor_add_member (struct membership *membership, struct member_record *member)
{
	rumor_add (membership,
	           (struct record_reference){ (uint32_t) (member - membership->members), true });
	member->is_low_priority = false;
}

void
rumor_add_with_address (struct membership *membership, struct member_record *member)
{
	rumor_add_member (membership, member);
	member->has_address = true;
}

void
rumor_add_low_priority (struct membership *membership, struct member_record *member)
{
	bool is_low_priority = member->is_low_priority || member->sends_left == 0;

	rumor_add_member (membership, member);
	member->is_low_priority = is_low_priority;
	if (is_low_priority && member->sends_left > LOW_PRIORITY_SENDS)
		member->sends_left = LOW_PRIORITY_SENDS;
}

void
rumor_add_item (struct membership *membership, struct item_record *item)
{
	uint32_t at = (uint32_t) (item - membership->items);

	rumor_add (membership, (struct record_reference){ at, false });
	membership->recent[membership->recent_next++ % MEMBERSHIP_MAX_RECENT] = at + 1;
}

void
rumor_remove_last (struct membership *membership)
{
	*reference_sends_left (membership, membership->rumors[--membership->rumor_count]) = 0;
}

void
rumor_remove_down (struct membership *membership)
{
	for (uint32_t i = membership->rumor_count; i > 0; i--)
	{
		struct record_reference *rumor = &membership->rumors[i - 1];
		struct member_record *member = &membership->members[rumor->at];

		if (!rumor->is_member || (member->state != MEMBER_SUSPECT && member->state != MEMBER_DEAD))
			continue;
		member->sends_left = 0;
		*rumor = membership->rumors[--membership->rumor_count];
	}
}

void
rumor_add_changed (struct membership *membership, int64_t since_us)
{
	for (uint32_t i = 0; i < membership->item_count; i++)
		if (membership->items[i].changed_at_us >= since_us && membership->items[i].sends_left == 0)
			rumor_add (membership, (struct record_reference){ i, false });
}

void
item_from_member (const struct member_record *member, struct membership_item *item)
{
	memset (item, 0, sizeof *item);
	item->type = ITEM_MEMBER;
	snprintf (item->key, sizeof item->key, "%u", member->id);
	item->version = member_version (member);
	item->member = member->id;
	item->state = (enum member_state) member->state;
	item->address = member->address;
	item->config_revision = member->config_revision;
}

void
item_from_record (const struct item_record *record, struct membership_item *item)
{
	memset (item, 0, sizeof *item);
	item->type = (enum item_type) record->type;
	memcpy (item->key, record->key, sizeof item->key);
	item->version = record->version;
	item->value = record->value;
}

/* Adds an item unless the datagram already has it. @return false when it does not fit. */
static bool
message_add_item (struct gossip_message *message, size_t *bytes, const struct membership_item *item)
{
	size_t item_bytes = item->type == ITEM_MEMBER
	                        ? MEMBER_BYTES
	                        : ITEM_FIXED_BYTES + ((strlen (item->key) + 3) & ~(size_t) 3);

	for (uint32_t i = 0; i < message->item_count; i++)
		if (message->items[i].type == item->type && strcmp (message->items[i].key, item->key) == 0)
			return true;
	if (message->item_count == MEMBERSHIP_MAX_ITEMS || item_bytes > *bytes)
		return false;
	message->items[message->item_count++] = *item;
	*bytes -= item_bytes;
	return true;
}

static bool
message_add_claim (struct gossip_message *message, size_t *bytes,
                   const struct member_record *member)
{
	for (uint32_t i = 0; i < message->claim_count; i++)
		if (message->claims[i].member == member->id)
			return true;
	if (message->claim_count == MEMBERSHIP_MAX_CLAIMS || *bytes < CLAIM_BYTES)
		return false;
	message->claims[message->claim_count++] =
		(struct member_claim){ member->id, member_version (member) };
	*bytes -= CLAIM_BYTES;
	return true;
}

/* Adds a record unless the datagram already has it, and subtracts its size from @p bytes.
 * @return false when it does not fit. */
static bool
message_add (const struct membership *membership, struct gossip_message *message, size_t *bytes,
             struct record_reference reference)
{
	const struct member_record *member = &membership->members[reference.at];
	struct membership_item item;

	if (reference.is_member && !member->has_address)
		return message_add_claim (message, bytes, member);
	if (reference.is_member)
		item_from_member (member, &item);
	else
		item_from_record (&membership->items[reference.at], &item);
	return message_add_item (message, bytes, &item);
}

/* Sort key of a rumor; the highest is sent first. Leaving records come first, then groups, members
 * and low-priority rumors, each with the most sends left first. The index makes the key unique. */
static uint64_t
rumor_order (const struct membership *membership, uint32_t at)
{
	struct record_reference reference = membership->rumors[at];
	uint64_t order = *reference_sends_left (membership, reference);

	order += reference.is_member ? 0 : 1 << 16;
	order += reference_is_low_priority (membership, reference) ? 0 : 1 << 15;
	order += reference_is_urgent (membership, reference) ? 1 << 17 : 0;
	return order << 32 | at;
}

bool
rumor_is_urgent (const struct membership *membership)
{
	for (uint32_t i = 0; i < membership->rumor_count; i++)
		if (reference_is_urgent (membership, membership->rumors[i]))
			return true;
	return false;
}

size_t
rumor_regular_bytes (const struct membership *membership)
{
	size_t bytes = 0;

	for (uint32_t i = 0; i < membership->rumor_count; i++)
	{
		struct record_reference reference = membership->rumors[i];

		if (reference_is_low_priority (membership, reference))
			continue;
		bytes += reference.is_member && !membership->members[reference.at].has_address
		             ? CLAIM_BYTES
		             : MEMBER_BYTES;
	}
	return bytes;
}

static void
fill_rumors (struct membership *membership, struct gossip_message *message, size_t *bytes,
             enum gossip_fill fill)
{
	uint64_t last = UINT64_MAX;
	uint32_t sent[MEMBERSHIP_MAX_ITEMS + MEMBERSHIP_MAX_CLAIMS];
	uint32_t sent_count = 0;

	for (;;)
	{
		uint64_t best = 0;

		for (uint32_t i = 0; i < membership->rumor_count; i++)
		{
			uint64_t order = rumor_order (membership, i);

			if (fill < FILL_ALL && reference_is_low_priority (membership, membership->rumors[i]))
				continue;
			if (order < last && order > best)
				best = order;
		}
		last = best;
		if (best == 0 ||
		    !message_add (membership, message, bytes, membership->rumors[(uint32_t) best]))
			break;
		sent[sent_count++] = (uint32_t) best;
	}
	for (uint32_t i = 0; i < sent_count; i++)
		(*reference_sends_left (membership, membership->rumors[sent[i]]))--;
	for (uint32_t i = membership->rumor_count; i > 0; i--)
		if (*reference_sends_left (membership, membership->rumors[i - 1]) == 0)
			membership->rumors[i - 1] = membership->rumors[--membership->rumor_count];
}

static void
fill_recent (struct membership *membership, struct gossip_message *message, size_t *bytes,
             int64_t now_us)
{
	int added = 0;

	for (int i = 0; i < MEMBERSHIP_MAX_RECENT && added < RECENT_PER_MESSAGE; i++)
	{
		uint32_t entry = membership->recent[membership->recent_cursor++ % MEMBERSHIP_MAX_RECENT];
		struct record_reference reference = { entry - 1, false };

		if (entry == 0 || membership->items[entry - 1].changed_at_us < now_us - RECENT_US)
			continue;
		added += message_add (membership, message, bytes, reference);
	}
}

/* Adds what the receiver needs regardless of the budget. @return its size. */
static size_t
fill_required (const struct membership *membership, struct gossip_message *message,
               const struct member_record *receiver, enum gossip_fill fill)
{
	size_t bytes = MAX_PAYLOAD_BYTES;
	struct membership_item self;

	/* A receiver that is considered suspect or dead must learn that to refute it. */
	if (receiver->state == MEMBER_SUSPECT || receiver->state == MEMBER_DEAD)
		message_add_claim (message, &bytes, receiver);
	/* The receiver of a ping may have started with an incomplete list of members. Without this VM's
	 * address it could not answer, and would become suspect. */
	item_from_member (&membership->members[0], &self);
	if (message->type == GOSSIP_PING)
		message_add_item (message, &bytes, &self);
	/* Includes this VM's own state, which no other VM knows better. */
	else if (fill == FILL_REJOIN)
		message_add_claim (message, &bytes, &membership->members[0]);
	return MAX_PAYLOAD_BYTES - bytes;
}

void
membership_fill (struct membership *membership, struct gossip_message *message,
                 const struct member_record *receiver, enum gossip_fill fill, int64_t now_us)
{
	int64_t available = budget_available (membership, now_us) - HEADER_BYTES;
	int64_t limit = MAX_PAYLOAD_BYTES;
	size_t recent_bytes = RECENT_BYTES;
	size_t used = 0;
	size_t free_bytes;

	message->item_count = message->claim_count = message->block_count = 0;
	if (fill != FILL_NONE && fill != FILL_VIEW)
		used = fill_required (membership, message, receiver, fill);
	if (fill == FILL_ALL)
	{
		fill_recent (membership, message, &recent_bytes, now_us);
		used += RECENT_BYTES - recent_bytes;
	}
	if (fill == FILL_REJOIN || fill == FILL_VIEW)
		used += rejoin_fill (membership, message, MAX_PAYLOAD_BYTES - used, fill == FILL_VIEW);
	/* A configuration revision and leaving servers are spread by many small datagrams. */
	if (rumor_is_urgent (membership))
		limit = URGENT_BYTES;
	else if (membership->config_sends_left > 0)
		limit = CONFIG_BYTES;
	available = available > limit ? limit : available;
	free_bytes = available > (int64_t) used ? (size_t) available - used : 0;
	used += free_bytes;
	/* Low-priority rumors must not use up the budget of the next datagram with other rumors. */
	if (fill == FILL_ALL && available < MAX_PAYLOAD_BYTES / 2)
		fill = FILL_RUMORS;
	if (fill != FILL_NONE && fill != FILL_VIEW)
		fill_rumors (membership, message, &free_bytes, fill);
	budget_take (membership, HEADER_BYTES + (int64_t) (used - free_bytes));
}
