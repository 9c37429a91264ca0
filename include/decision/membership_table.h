/**
 * @file
 * Tables of decision/membership: members, items, and the rumors (records that are still being sent).
 * For membership.c and membership_table.c only.
 */
#pragma once

#include "charts/chart.h"
#include "decision/membership.h"

enum
{
	MEMBERSHIP_MAX_PROBES = 16,
	MEMBERSHIP_MAX_RELAYS = 16,
	MEMBERSHIP_MAX_OUT = 64,
	MEMBERSHIP_MAX_RECENT = 32,
	MEMBER_STATE_COUNT = MEMBER_DEAD + 1,
};

/** Refers to a member's or an item's record. */
struct record_reference
{
	uint32_t at;
	bool is_member;
};

struct member_record
{
	uint32_t id;
	struct member_address address;
	uint32_t rtt_us;
	uint16_t sends_left; /**< Above 0: is a rumor. */
	uint8_t state;       /**< enum member_state. */
	bool is_greeting;    /**< As a rumor: rides on pings only, behind all others. */
	uint64_t incarnation;
	uint64_t config_revision;
	int64_t suspected_at_us; /**< 0: not suspected. */
	int64_t down_since_us;   /**< Suspected or dead since; 0: neither. */
};

struct item_record
{
	char key[MEMBERSHIP_KEY_BYTES];
	uint16_t sends_left;
	uint8_t type; /**< enum item_type. */
	uint64_t version;
	uint64_t value;
	int64_t changed_at_us;
};

/** An outstanding ping. */
struct probe
{
	uint64_t sequence; /**< 0: unused. */
	uint32_t id;
	int64_t sent_us;
	bool is_indirect;
};

/** A ping sent on behalf of another member. */
struct relay
{
	uint64_t sequence;
	uint32_t origin;
	uint64_t origin_sequence;
};

/** Which items a datagram takes. */
enum gossip_fill
{
	FILL_NONE,
	FILL_URGENT, /**< Rumors of items, and of leaving members. */
	FILL_RUMORS,
	FILL_ALL, /**< Also greetings and recent items. */
};

/** A datagram to be built by membership_next(). */
struct outgoing
{
	enum gossip_fill fill;
	enum gossip_type type;
	uint32_t to;
	uint32_t target;
	uint64_t sequence;
};

enum member_event
{
	MEMBER_TOLD_ALIVE, /**< The first four follow enum member_state. */
	MEMBER_TOLD_SUSPECT,
	MEMBER_TOLD_LEAVING,
	MEMBER_TOLD_DEAD,
	MEMBER_SILENT,
	MEMBER_ANSWERED,
	MEMBER_EXPIRED,
	MEMBER_EVENT_COUNT,
};

struct membership
{
	const struct membership_settings *settings;
	const struct chart *chart;
	int chart_states[MEMBER_STATE_COUNT];
	int chart_events[MEMBER_EVENT_COUNT];
	uint64_t seed;
	uint64_t generation;
	uint64_t sequence;

	uint32_t max_members;
	uint32_t member_count; /**< This VM is members[0]. */
	uint32_t dead_count;
	uint32_t suspected_count;
	uint32_t max_items;
	uint32_t item_count;
	uint32_t rumor_count;
	uint32_t member_hash_mask;
	uint32_t item_hash_mask;
	struct member_record *members;
	struct item_record *items;
	struct record_reference *rumors;
	uint32_t *member_hash; /**< Open addressing; index + 1, 0: free. */
	uint32_t *item_hash;
	uint32_t *order; /**< Members in the order of pings. */
	uint32_t order_at;

	uint32_t recent[MEMBERSHIP_MAX_RECENT]; /**< Items that were news last; index + 1. */
	uint32_t recent_next;
	uint32_t recent_cursor;
	uint32_t config_sends_left; /**< Datagrams that still carry a new configuration revision. */

	struct probe probes[MEMBERSHIP_MAX_PROBES];
	struct relay relays[MEMBERSHIP_MAX_RELAYS];
	uint32_t relay_next;
	struct outgoing out[MEMBERSHIP_MAX_OUT];
	uint32_t out_first;
	uint32_t out_count;

	int64_t due_us; /**< When the next call was due at the end of the last one. */
	int64_t period_at_us;
	int64_t rumor_at_us;
	int64_t full_rumor_at_us; /**< When a datagram may take all rumors again. */
	int64_t expiry_at_us;     /**< Not after the next expiry of a suspicion. */
	int64_t rearmed_at_us;
	int64_t claim_probe_at_us;
	int64_t forget_at_us;
};

/** Places the tables behind @p membership; @return their size. NULL only measures. */
size_t membership_table_place (struct membership *membership, uint32_t max_members,
                               uint32_t max_items);

struct member_record *member_table_find (const struct membership *membership, uint32_t id);
/** @return NULL when full. */
struct member_record *member_table_add (struct membership *membership, uint32_t id,
                                        const struct member_address *address);
/** Forgets dead members that are down since before @p before_us. */
void member_table_forget (struct membership *membership, int64_t before_us);
/** Shuffles the order of pings. */
void member_table_shuffle (struct membership *membership);

/** Runs an event through charts/member.scxml. @return true when the state changed. */
bool member_handle_event (struct membership *membership, struct member_record *member,
                          enum member_event event, int64_t now_us);
/** Incarnation, then state: the higher one wins. */
uint64_t member_version (const struct member_record *member);

struct item_record *item_table_find (const struct membership *membership, enum item_type type,
                                     const char *key);
/** @return NULL when full. */
struct item_record *item_table_add (struct membership *membership, enum item_type type,
                                    const char *key);

/** Starts sending a record. */
void rumor_add_member (struct membership *membership, struct member_record *member);
/** As rumor_add_member(), for the first word of a member that all know from settings or the VM list. */
void rumor_add_greeting (struct membership *membership, struct member_record *member);
void rumor_add_item (struct membership *membership, struct item_record *item);
/** Takes back the rumor that was added last. */
void rumor_remove_last (struct membership *membership);
/** Ends the rumors of suspect and dead members. */
void rumor_drop_down (struct membership *membership);
/** Sends again all items that changed at @p since_us or later. */
void rumor_add_changed (struct membership *membership, int64_t since_us);
/** Rumors other than greetings. */
uint32_t rumor_count_news (const struct membership *membership);
/** Tells whether a leaving server or member is among the rumors. */
bool rumor_is_urgent (const struct membership *membership);
/** Sends of a new rumor. */
uint32_t rumor_limit (const struct membership *membership);

/** Fills the items of a datagram to @p receiver. */
void membership_fill_items (struct membership *membership, struct gossip_message *message,
                            const struct member_record *receiver, enum gossip_fill fill,
                            int64_t now_us);

void member_to_item (const struct member_record *member, struct membership_item *item);
void item_to_item (const struct item_record *record, struct membership_item *item);
