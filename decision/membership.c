#include "decision/membership.h"

#include "charts/embedded.h"
#include "decision/membership_table.h"
#include "decision/retry.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

const struct membership_settings membership_default_settings = {
	.period_min_us = 200000,
	.period_max_us = 1000000,
	.period_max_members = 750,
	.ack_timeout_us = 300000,
	.suspect_us = 1500000,
	.indirect_pings = 3,
	.retransmit_factor = 3,
	/* At the target size, status polls take 2,740 of a node's 6,000 bytes/s (tools/slopes). While a
	 * change of configuration spreads they take 1,648, and its pulls up to 2,400. What one VM
	 * sends, another receives. */
	.bytes_per_s_max = 6000,
	.bytes_per_s_min = 1150,
	.bytes_per_s_change = 850,
	.change_us = 3500000,
};

enum
{
	/* Rumors are sent at this interval as far as the budget allows. A full datagram costs less for
	 * each item, so rumors wait until the budget covers all of them or a full datagram; leaving
	 * servers and configuration do not wait. */
	RUMOR_INTERVAL_US = 100000,
	DATAGRAM_BARE_BYTES = 128, /* With no more than a configuration revision. */
	DATAGRAM_MIN_BYTES = 192,  /* Has room for one item with a long key. */
	DATAGRAM_MAX_BYTES = 500,
	/* A probe that is not answered within this many ack timeouts, one direct and one indirect, has
	 * failed. */
	PROBE_TIMEOUTS = 2,
	/* Many suspects at once are more likely due to a cut link than to as many failures. The time to
	 * refute then grows by a factor of 1 + suspects / MANY_SUSPECTS, up to MAX_SUSPICION_FACTOR,
	 * since gossip has much to send. */
	MANY_SUSPECTS = 8,
	MAX_SUSPICION_FACTOR = 4,
	/* Dead members are pinged to detect the end of a partition, each about this often in a
	 * period. */
	DEAD_PINGS_PER_PERIOD = 1,
	CLAIM_PROBE_INTERVAL_US = 2000000, /* Minimum time between one VM's probes for stale claims. */
	CLAIM_PROBERS = 8, /* Mean number of VMs that probe the member of a stale claim. */
	VIEW_INTERVAL_US = 2000000,
	VIEW_PROBES = 2, /* Members probed for one received view. */
	/* For this long after the end of a partition, stale claims are left to the blocks of live
	 * members. */
	CLAIM_REJOIN_WINDOW_US = 10000000,
	RANDOM_TRIES = 8,
	PAUSE_US = 500000, /* A call that is overdue by this much follows a pause of the process. */
};

static const int64_t FORGET_US = 3600000000;
static const int64_t FORGET_CHECK_US = 60000000;

size_t
membership_size (uint32_t max_members, uint32_t max_items)
{
	return membership_table_layout (NULL, max_members, max_items);
}

static void
find_chart_numbers (struct membership *membership)
{
	static const char *const states[MEMBER_STATE_COUNT] = { "alive", "suspect", "leaving", "dead" };
	static const char *const events[MEMBER_EVENT_COUNT] = {
		"told_alive", "told_suspect", "told_leaving", "told_dead", "silent", "answered", "expired",
	};

	membership->chart = chart_embedded ("member");
	for (int i = 0; i < MEMBER_STATE_COUNT; i++)
		membership->chart_states[i] = chart_find_state (membership->chart, states[i]);
	for (int i = 0; i < MEMBER_EVENT_COUNT; i++)
		membership->chart_events[i] = chart_find_event (membership->chart, events[i]);
}

struct membership *
membership_init (void *memory, const struct membership_settings *settings, uint32_t max_members,
                 uint32_t max_items, uint32_t self, const struct member_address *address,
                 uint64_t incarnation, uint64_t seed, int64_t now_us)
{
	struct membership *membership = memory;
	struct member_record *member;

	memset (memory, 0, membership_size (max_members, max_items));
	membership_table_layout (membership, max_members, max_items);
	membership->settings = settings;
	membership->seed = seed;
	membership->period_at_us = now_us;
	membership->rumor_at_us = now_us;
	membership->due_us = now_us;
	membership->expiry_at_us = INT64_MAX;
	membership->forget_at_us = now_us + FORGET_CHECK_US;
	find_chart_numbers (membership);
	member = member_table_add (membership, self, address);
	member->incarnation = incarnation;
	rumor_add_with_address (membership, member);
	budget_init (membership, now_us);
	return membership;
}

void
membership_finish (struct membership *membership)
{
	membership->member_count = 0;
	membership->item_count = 0;
}

static struct member_record *
self_record (const struct membership *membership)
{
	return &membership->members[0];
}

int
membership_add (struct membership *membership, uint32_t id, const struct member_address *address,
                int64_t now_us)
{
	if (member_table_find (membership, id))
		return -EEXIST;
	if (!member_table_add (membership, id, address))
	{
		member_table_forget (membership, now_us);
		if (!member_table_add (membership, id, address))
			return -ENOSPC;
	}
	return 0;
}

void
membership_set_leaving (struct membership *membership, bool leaving, int64_t now_us)
{
	struct member_record *self = self_record (membership);

	if (leaving == (self->state == MEMBER_LEAVING))
		return;
	self->incarnation++;
	member_handle_event (membership, self, leaving ? MEMBER_TOLD_LEAVING : MEMBER_TOLD_ALIVE,
	                     now_us);
	rumor_add_member (membership, self);
}

static void
handle_config_revision (struct membership *membership, uint64_t revision, int64_t read_us)
{
	if (revision <= membership->highest_config_revision)
		return;
	membership->highest_config_revision = revision;
	membership->config_read_us = read_us;
	budget_handle_change (membership);
}

void
membership_set_config_revision (struct membership *membership, uint64_t revision, int64_t now_us)
{
	struct member_record *self = self_record (membership);

	if (revision <= self->config_revision)
		return;
	self->config_revision = revision;
	handle_config_revision (membership, revision, now_us);
	budget_handle_change (membership);
	/* Half of the usual sends, since pings and answers also carry the revision. */
	membership->config_sends_left = rumor_sends (membership) / 2;
}

static void
queue_message_fill (struct membership *membership, enum gossip_fill fill, enum gossip_type type,
                    uint32_t to, uint32_t target, uint64_t sequence)
{
	if (membership->out_count == MEMBERSHIP_MAX_OUT)
		return; /* Dropped, as if lost on the network. */
	membership->out[(membership->out_first + membership->out_count++) % MEMBERSHIP_MAX_OUT] =
		(struct outgoing){ fill, type, to, target, sequence };
}

/* Ping requests carry no items, since there are too many of them when a zone is cut off. */
static void
queue_message (struct membership *membership, enum gossip_type type, uint32_t to, uint32_t target,
               uint64_t sequence)
{
	queue_message_fill (membership,
	                    type == GOSSIP_PING_REQUEST ? FILL_NONE
	                    : sequence != 0             ? FILL_ALL
	                                                : FILL_RUMORS,
	                    type, to, target, sequence);
}

/* Handles a member that responds again: it, and the members that only it can reach, need the
 * changes that they missed. */
static void
handle_rejoin (struct membership *membership, struct member_record *member, uint32_t sender_id,
               int64_t now_us)
{
	rejoin_start (membership, member->down_since_us, now_us);
	member->down_since_us = 0;
	if (sender_id == member->id)
		queue_message (membership, GOSSIP_ACK, member->id, 0, 0);
}

static void
probe_member (struct membership *membership, const struct member_record *member, int64_t now_us)
{
	struct probe *unused = NULL;

	for (int i = 0; i < MEMBERSHIP_MAX_PROBES; i++)
	{
		struct probe *probe = &membership->probes[i];

		if (probe->sequence == 0)
			unused = probe;
		else if (probe->id == member->id)
			return;
	}
	if (!unused)
		return;
	*unused = (struct probe){ ++membership->sequence, member->id, now_us, false };
	queue_message (membership, GOSSIP_PING, member->id, 0, unused->sequence);
}

/* Handles a claim about an earlier incarnation, which was refuted. The sender may not know of the
 * refutation, or the member may be down again, so the member is announced and probed at once
 * instead of with the next regular ping. */
static void
answer_stale_claim (struct membership *membership, struct member_record *member,
                    uint64_t incarnation, int64_t now_us)
{
	if (incarnation >= member->incarnation ||
	    (member->state != MEMBER_ALIVE && member->state != MEMBER_LEAVING))
		return;
	if (membership->rejoin_at_us && now_us - membership->rejoin_at_us < CLAIM_REJOIN_WINDOW_US)
		return;
	if (member->sends_left == 0)
		rumor_add_member (membership, member);
	/* The probes are limited: after a partition there are hundreds of such claims, and each reaches
	 * hundreds of members. */
	if (now_us - membership->claim_probe_at_us < CLAIM_PROBE_INTERVAL_US ||
	    random_next (&membership->seed) % membership->member_count >= CLAIM_PROBERS)
		return;
	membership->claim_probe_at_us = now_us;
	probe_member (membership, member, now_us);
}

/* Handles a claim about this VM: that it is suspect or dead, or one from before a restart. */
static bool
merge_self (struct membership *membership, const struct membership_item *item, int64_t now_us)
{
	struct member_record *self = self_record (membership);
	enum member_state reported_state = (enum member_state) (item->version & 3);
	bool is_partition = rejoin_can_report_alive (membership, now_us);

	if (reported_state == MEMBER_DEAD)
		membership->is_reported_dead = true;
	if (item->version <= member_version (self))
	{
		/* The refutation did not reach all members, so it is sent again. */
		if (reported_state != MEMBER_ALIVE && item->version != member_version (self) &&
		    self->sends_left == 0 && !is_partition)
			rumor_add_member (membership, self);
		return false;
	}
	self->incarnation = (item->version >> 2) + 1;
	membership->generation++;
	/* After a partition both sides exchange blocks of live members, which refute all claims at
	 * once. */
	if (!is_partition)
		rumor_add_with_address (membership, self);
	else if (reported_state != MEMBER_DEAD)
		rumor_add_member (membership, self);
	return true;
}

static bool
is_same_address (const struct member_address *a, const struct member_address *b)
{
	return a->ip == b->ip && a->traffic_port == b->traffic_port &&
	       a->control_port == b->control_port && a->zone == b->zone;
}

/* Stores a member's configuration revision. A newer one may arrive first in a rumor or in a
 * datagram of the member itself. The generation is increased in both cases, so that the
 * configuration module learns of it: the second arrival changes nothing. */
static void
learn_config_revision (struct membership *membership, struct member_record *member,
                       uint64_t revision)
{
	if (revision > self_record (membership)->config_revision && revision != member->config_revision)
		membership->generation++;
	member->config_revision = revision;
}

static bool
merge_member (struct membership *membership, const struct membership_item *item, uint32_t sender_id,
              int64_t now_us)
{
	struct member_record *member = member_table_find (membership, item->member);
	enum member_state state = (enum member_state) (item->version & 3);
	bool is_new_member = false;
	bool was_down;

	if (item->member == self_record (membership)->id)
		return merge_self (membership, item, now_us);
	if (!member)
	{
		/* A dead member that was already removed here does not return. */
		if (state == MEMBER_DEAD ||
		    membership_add (membership, item->member, &item->address, now_us))
			return false;
		member = member_table_find (membership, item->member);
		is_new_member = true;
	}
	else if (item->version == member_version (member) &&
	         item->config_revision > member->config_revision)
		learn_config_revision (membership, member, item->config_revision);
	if (item->version > member_version (member) &&
	    (state == MEMBER_SUSPECT || state == MEMBER_DEAD) &&
	    rejoin_claims_are_stale (member, now_us))
	{
		member->incarnation = (item->version >> 2) + 1;
		return false;
	}
	if (item->version <= member_version (member) && !is_new_member)
	{
		if (state == MEMBER_SUSPECT || state == MEMBER_DEAD)
			answer_stale_claim (membership, member, item->version >> 2, now_us);
		return false;
	}
	was_down = member->down_since_us != 0;
	/* A new incarnation is passed on only where it ends a suspicion, which saves most rumors at the
	 * end of a partition. Others learn of it from answer_stale_claim(). A member that returns is
	 * sent with its address, since VMs that started while it was down may not know it. */
	if (is_new_member || !is_same_address (&member->address, &item->address) ||
	    (member->state == MEMBER_DEAD && !rejoin_is_partition (membership)))
		rumor_add_with_address (membership, member);
	else if (state != (enum member_state) member->state)
		rumor_add_member (membership, member);
	else if (member->incarnation == 0)
		rumor_add_low_priority (membership, member);
	member->incarnation = item->version >> 2;
	learn_config_revision (membership, member, item->config_revision);
	if (!is_same_address (&member->address, &item->address))
		membership->generation++;
	member->address = item->address;
	member_handle_event (membership, member, (enum member_event) state, now_us);
	if (was_down && (state == MEMBER_ALIVE || state == MEMBER_LEAVING))
		handle_rejoin (membership, member, sender_id, now_us);
	return true;
}

static bool
merge_item (struct membership *membership, const struct membership_item *item, uint32_t sender_id,
            int64_t now_us)
{
	struct item_record *record;

	if (item->type == ITEM_MEMBER)
		return merge_member (membership, item, sender_id, now_us);
	if (item->type != ITEM_LEAVING && item->type != ITEM_GROUP)
		return false;
	record = item_table_find (membership, item->type, item->key);
	if (!record)
		record = item_table_add (membership, item->type, item->key);
	if (!record || item->version <= record->version)
		return false;
	record->version = item->version;
	record->value = item->value;
	record->changed_at_us = now_us;
	membership->generation++;
	rumor_add_item (membership, record);
	return true;
}

bool
membership_merge (struct membership *membership, const struct membership_item *item, int64_t now_us)
{
	return merge_item (membership, item, 0, now_us);
}

bool
membership_load (struct membership *membership, const struct membership_item *item, int64_t now_us)
{
	uint32_t rumors = membership->rumor_count;
	bool is_new = merge_item (membership, item, 0, now_us);

	/* A new rumor was added last. This VM's own refutation is kept, since it has to be sent. */
	if (membership->rumor_count > rumors &&
	    !(item->type == ITEM_MEMBER && item->member == self_record (membership)->id))
		rumor_remove_last (membership);
	return is_new;
}

/* Merges a claim, unless its member is unknown here: the address comes with the member's own
 * pings. */
static void
merge_claim (struct membership *membership, const struct member_claim *claim, uint32_t sender_id,
             int64_t now_us)
{
	const struct member_record *member = member_table_find (membership, claim->member);
	struct membership_item item;

	if (!member)
		return;
	item_from_member (member, &item);
	item.version = claim->version;
	item.state = (enum member_state) (claim->version & 3);
	merge_item (membership, &item, sender_id, now_us);
}

static void
handle_ack (struct membership *membership, const struct gossip_message *message,
            struct member_record *member, int64_t now_us)
{
	for (int i = 0; i < MEMBERSHIP_MAX_PROBES && message->sequence; i++)
	{
		struct probe *probe = &membership->probes[i];

		if (probe->sequence != message->sequence)
			continue;
		membership->probe_results = membership->probe_results << 1 | 1;
		if (probe->id == member->id && !probe->is_indirect)
		{
			uint32_t rtt_us = (uint32_t) (now_us - probe->sent_us);

			member->rtt_us = member->rtt_us ? (7 * member->rtt_us + rtt_us) / 8 : rtt_us;
		}
		probe->sequence = 0;
	}
	for (int i = 0; i < MEMBERSHIP_MAX_RELAYS && message->sequence; i++)
	{
		struct relay *relay = &membership->relays[i];

		if (relay->sequence != message->sequence)
			continue;
		relay->sequence = 0;
		queue_message (membership, GOSSIP_ACK, relay->origin, member->id, relay->origin_sequence);
	}
}

/* Probes members about which another VM's view differs, so that their own answers resolve it. */
static void
handle_view (struct membership *membership, const struct gossip_message *message, int64_t now_us)
{
	struct member_record *members[VIEW_PROBES];
	size_t count = view_compare (membership, message, members, VIEW_PROBES, now_us);

	for (size_t i = 0; i < count; i++)
		if (members[i]->state == MEMBER_DEAD)
			queue_message (membership, GOSSIP_PING, members[i]->id, 0, ++membership->sequence);
		else
			probe_member (membership, members[i], now_us);
}

static void
handle_ping_request (struct membership *membership, const struct gossip_message *message)
{
	struct relay *relay = &membership->relays[membership->relay_next++ % MEMBERSHIP_MAX_RELAYS];

	if (!member_table_find (membership, message->target))
		return;
	*relay = (struct relay){ ++membership->sequence, message->from, message->sequence };
	queue_message (membership, GOSSIP_PING, message->target, 0, relay->sequence);
}

void
membership_handle_message (struct membership *membership, const struct gossip_message *message,
                           int64_t now_us)
{
	struct member_record *member = member_table_find (membership, message->from);
	bool ends_partition = member && member->state == MEMBER_DEAD;

	if (message->from == self_record (membership)->id)
		return;
	handle_config_revision (membership, message->config_revision,
	                        now_us - message->config_age_ms * 1000LL);
	membership->is_reported_dead = false;
	for (uint32_t i = 0; i < message->item_count && i < MEMBERSHIP_MAX_ITEMS; i++)
		merge_item (membership, &message->items[i], message->from, now_us);
	for (uint32_t i = 0; i < message->claim_count && i < MEMBERSHIP_MAX_CLAIMS; i++)
		merge_claim (membership, &message->claims[i], message->from, now_us);
	if (message->type != GOSSIP_VIEW)
		rejoin_merge (membership, message, now_us);
	ends_partition = (ends_partition || membership->is_reported_dead) &&
	                 rejoin_can_report_alive (membership, now_us);
	member = member_table_find (membership, message->from);
	if (!member)
		return; /* Its address comes with its own item in a later datagram. */
	learn_config_revision (membership, member, message->config_revision);
	member_handle_event (membership, member, MEMBER_ANSWERED, now_us);
	if (member->state == MEMBER_LEAVING)
		member->down_since_us = 0;
	if (message->type == GOSSIP_VIEW)
		handle_view (membership, message, now_us);
	else if (message->type == GOSSIP_PING)
		queue_message_fill (membership, ends_partition ? FILL_REJOIN : FILL_ALL, GOSSIP_ACK,
		                    member->id, self_record (membership)->id, message->sequence);
	else if (message->type == GOSSIP_PING_REQUEST)
		handle_ping_request (membership, message);
	else
		handle_ack (membership, message, member, now_us);
	if (message->type == GOSSIP_ACK && message->sequence != 0 && ends_partition)
		queue_message_fill (membership, FILL_REJOIN, GOSSIP_ACK, member->id, 0, 0);
	if (message->type == GOSSIP_PING && !ends_partition &&
	    message->view_hash != view_hash (membership) && now_us >= membership->view_at_us)
	{
		membership->view_at_us = now_us + VIEW_INTERVAL_US;
		queue_message_fill (membership, FILL_VIEW, GOSSIP_VIEW, member->id, 0, 0);
	}
}

/* Picks a random member other than this VM: a dead one, or one that is not dead. Returns NULL when
 * none is found. */
static struct member_record *
pick_member (struct membership *membership, bool is_dead)
{
	uint32_t count = membership->member_count;
	uint32_t tries = is_dead ? count : RANDOM_TRIES;
	uint32_t start = (uint32_t) (random_next (&membership->seed) % count);

	for (uint32_t i = 0; i < tries; i++)
	{
		uint32_t at =
			is_dead ? (start + i) % count : (uint32_t) (random_next (&membership->seed) % count);
		struct member_record *member = &membership->members[at];

		if (at != 0 && (member->state == MEMBER_DEAD) == is_dead)
			return member;
	}
	return NULL;
}

static int64_t
period_us (const struct membership *membership)
{
	return membership_scale (membership, membership->settings->period_min_us,
	                         membership->settings->period_max_us);
}

static void
ping_next (struct membership *membership, int64_t now_us)
{
	for (uint32_t i = 0; i < membership->member_count; i++)
	{
		uint32_t at;

		if (membership->order_next >= membership->member_count)
			member_table_shuffle (membership);
		at = membership->order[membership->order_next++];
		if (at == 0 || membership->members[at].state == MEMBER_DEAD)
			continue;
		probe_member (membership, &membership->members[at], now_us);
		return;
	}
}

static void
ping_dead (struct membership *membership)
{
	uint32_t live = membership->member_count - membership->dead_count;
	struct member_record *member;

	/* All live members together ping each dead one DEAD_PINGS_PER_PERIOD times in a period on
	 * average. */
	if (membership->dead_count == 0 ||
	    random_next (&membership->seed) % live >=
	        (uint64_t) membership->dead_count * DEAD_PINGS_PER_PERIOD)
		return;
	member = pick_member (membership, true);
	if (member)
		queue_message (membership, GOSSIP_PING, member->id, 0, ++membership->sequence);
}

static void
fail_probe (struct membership *membership, struct probe *probe, int64_t now_us)
{
	struct member_record *member = member_table_find (membership, probe->id);

	probe->sequence = 0;
	membership->probe_results <<= 1;
	if (!member || member->state == MEMBER_DEAD)
		return;
	if (member_handle_event (membership, member, MEMBER_SILENT, now_us))
	{
		rumor_add_member (membership, member);
		queue_message (membership, GOSSIP_ACK, member->id, 0, 0);
	}
}

static void
step_probes (struct membership *membership, int64_t now_us)
{
	for (int i = 0; i < MEMBERSHIP_MAX_PROBES; i++)
	{
		struct probe *probe = &membership->probes[i];
		int64_t age_us = now_us - probe->sent_us;

		if (probe->sequence == 0 || age_us < membership->settings->ack_timeout_us)
			continue;
		if (!probe->is_indirect)
		{
			probe->is_indirect = true;
			for (uint32_t n = 0; n < membership->settings->indirect_pings; n++)
			{
				struct member_record *helper = pick_member (membership, false);

				if (helper && helper->id != probe->id)
					queue_message (membership, GOSSIP_PING_REQUEST, helper->id, probe->id,
					               probe->sequence);
			}
		}
		if (age_us >= PROBE_TIMEOUTS * membership->settings->ack_timeout_us)
			fail_probe (membership, probe, now_us);
	}
}

static void
step_suspicions (struct membership *membership, int64_t now_us)
{
	int64_t suspicion_scale = MANY_SUSPECTS + membership->suspected_count;

	if (now_us < membership->expiry_at_us)
		return;
	membership->expiry_at_us = INT64_MAX;
	if (suspicion_scale > MAX_SUSPICION_FACTOR * MANY_SUSPECTS)
		suspicion_scale = MAX_SUSPICION_FACTOR * MANY_SUSPECTS;
	for (uint32_t i = 1; i < membership->member_count && membership->suspected_count; i++)
	{
		struct member_record *member = &membership->members[i];
		int64_t expiry_us = member->suspected_at_us +
		                    membership->settings->suspect_us * suspicion_scale / MANY_SUSPECTS;

		if (member->suspected_at_us == 0)
			continue;
		if (now_us >= expiry_us)
		{
			if (member_handle_event (membership, member, MEMBER_EXPIRED, now_us))
				rumor_add_member (membership, member);
		}
		else if (expiry_us < membership->expiry_at_us)
			membership->expiry_at_us = expiry_us;
	}
}

static bool
has_pending_updates (const struct membership *membership)
{
	return membership->config_sends_left > 0 || membership->rejoin_sends_left > 0 ||
	       rumor_count_regular (membership) > 0;
}

static void
step_rumors (struct membership *membership, int64_t now_us)
{
	bool is_urgent = membership->config_sends_left > 0 || rumor_is_urgent (membership);
	int64_t bytes = rumor_is_urgent (membership) ? DATAGRAM_MIN_BYTES : DATAGRAM_BARE_BYTES;
	struct member_record *member;

	if (!has_pending_updates (membership) || now_us < membership->rumor_at_us)
		return;
	if (!is_urgent)
		bytes += (int64_t) rumor_regular_bytes (membership);
	if (bytes > DATAGRAM_MAX_BYTES || membership->rejoin_sends_left > 0)
		bytes = DATAGRAM_MAX_BYTES;
	if (budget_available (membership, now_us) < bytes)
	{
		membership->rumor_at_us = budget_time_us (membership, bytes);
		return;
	}
	membership->rumor_at_us = now_us + RUMOR_INTERVAL_US;
	member = pick_member (membership, false);
	if (member)
		queue_message_fill (membership,
		                    membership->rejoin_sends_left > 0 ? FILL_REJOIN : FILL_RUMORS,
		                    GOSSIP_ACK, member->id, 0, 0);
}

/* After a pause of this process, missing answers and old suspicions prove nothing about other
 * members. */
static void
reset_after_pause (struct membership *membership, int64_t now_us)
{
	if (now_us - membership->due_us < PAUSE_US)
		return;
	membership->due_us = now_us;
	memset (membership->probes, 0, sizeof membership->probes);
	membership->probe_results = 0;
	for (uint32_t i = 1; i < membership->member_count; i++)
		if (membership->members[i].suspected_at_us)
			membership->members[i].suspected_at_us = now_us;
}

static void
step (struct membership *membership, int64_t now_us)
{
	reset_after_pause (membership, now_us);
	step_probes (membership, now_us);
	step_suspicions (membership, now_us);
	if (now_us >= membership->period_at_us)
	{
		int64_t period = period_us (membership);

		membership->period_at_us =
			now_us + period - period / 20 +
			(int64_t) (random_next (&membership->seed) % (uint64_t) (period / 10 + 1));
		ping_next (membership, now_us);
		ping_dead (membership);
	}
	step_rumors (membership, now_us);
	if (now_us >= membership->forget_at_us)
	{
		membership->forget_at_us = now_us + FORGET_CHECK_US;
		member_table_forget (membership, now_us - FORGET_US);
	}
}

static uint32_t
config_age_ms (const struct membership *membership, int64_t now_us)
{
	int64_t age_ms = (now_us - membership->config_read_us) / 1000;

	return age_ms < UINT32_MAX ? (uint32_t) age_ms : UINT32_MAX;
}

bool
membership_next (struct membership *membership, struct membership_effect *effect, int64_t now_us)
{
	step (membership, now_us);
	while (membership->out_count > 0)
	{
		const struct outgoing *out = &membership->out[membership->out_first];
		const struct member_record *member = member_table_find (membership, out->to);

		membership->out_first = (membership->out_first + 1) % MEMBERSHIP_MAX_OUT;
		membership->out_count--;
		if (!member)
			continue;
		effect->to = out->to;
		effect->address = member->address;
		effect->message.type = out->type;
		effect->message.from = self_record (membership)->id;
		effect->message.target = out->target;
		effect->message.sequence = out->sequence;
		effect->message.config_revision = self_record (membership)->config_revision;
		effect->message.config_age_ms = config_age_ms (membership, now_us);
		effect->message.view_hash = view_hash (membership);
		membership_fill (membership, &effect->message, member, out->fill, now_us);
		if (membership->config_sends_left > 0)
			membership->config_sends_left--;
		if (out->fill == FILL_REJOIN && membership->rejoin_sends_left > 0)
			membership->rejoin_sends_left--;
		return true;
	}
	membership->due_us = membership_next_time_us (membership);
	return false;
}

int64_t
membership_next_time_us (const struct membership *membership)
{
	int64_t next_us = membership->period_at_us;

	if (membership->out_count > 0)
		return 0;
	if (has_pending_updates (membership) && membership->rumor_at_us < next_us)
		next_us = membership->rumor_at_us;
	if (membership->expiry_at_us < next_us)
		next_us = membership->expiry_at_us;
	for (int i = 0; i < MEMBERSHIP_MAX_PROBES; i++)
	{
		const struct probe *probe = &membership->probes[i];
		int64_t timeouts = probe->is_indirect ? PROBE_TIMEOUTS : 1;
		int64_t due_us = probe->sent_us + timeouts * membership->settings->ack_timeout_us;

		if (probe->sequence != 0 && due_us < next_us)
			next_us = due_us;
	}
	return next_us;
}
