/**
 * @file
 * Tables of decision/membership: members, items, and rumors, which are the records still being
 * sent. Private to decision/membership*.c.
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
	uint16_t sends_left;  /**< Above 0: the record is a rumor. */
	uint8_t state;        /**< enum member_state. */
	bool is_low_priority; /**< As a rumor: sent last, and only with pings and answers. */
	bool has_address;     /**< As a rumor: sent with its address, which may be new to others. */
	uint64_t incarnation;
	uint64_t config_revision;
	int64_t suspected_at_us;  /**< 0: not suspected. */
	int64_t down_since_us;    /**< Since when it is suspected or dead; 0: neither. */
	int64_t differs_since_us; /**< Since when another VM's view differs; 0: none does. */
	int64_t confirmed_at_us; /**< When the other side of a partition reported it alive; 0: never. */
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

/** Selects the items of a datagram. */
enum gossip_fill
{
	FILL_NONE,
	FILL_RUMORS, /**< Rumors other than low-priority ones. */
	FILL_ALL,    /**< All rumors, and recent items. */
	FILL_REJOIN, /**< Rumors and blocks of the members that are alive. */
	FILL_VIEW,   /**< Only blocks of the members that are alive. */
};

/** A queued datagram, whose items membership_next() adds. */
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
	MEMBER_TOLD_ALIVE, /**< The first four are in the order of enum member_state. */
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
	uint32_t *order; /**< Members in the order in which they are pinged. */
	uint32_t order_next;

	uint32_t recent[MEMBERSHIP_MAX_RECENT]; /**< Items changed last; index + 1, 0: unused. */
	uint32_t recent_next;
	uint32_t recent_cursor;
	uint64_t highest_config_revision; /**< Highest configuration revision known to exist. */
	int64_t config_read_us;
	uint32_t config_sends_left; /**< Datagrams still to be sent with a new revision. */
	uint32_t rejoin_sends_left; /**< Datagrams still to be sent with the members that are alive. */
	int64_t rejoin_at_us;     /**< When this VM noticed the end of the last partition; 0: never. */
	uint32_t block_cursor;    /**< Member at which the next blocks start when not all fit. */
	uint32_t probe_results;   /**< Last probes, one bit each; 1: answered. */
	bool is_reported_dead;    /**< The present message claims that this VM is dead. */
	int64_t view_at_us;       /**< Earliest time to send the next view. */
	uint32_t view_hash;       /**< Cached result of view_hash(), valid for view_generation. */
	uint64_t view_generation; /**< Generation + 1; 0: nothing is cached. */

	int64_t budget; /**< Bytes that may be sent now, in millionths; may be negative. */
	int64_t budget_at_us;

	struct probe probes[MEMBERSHIP_MAX_PROBES];
	struct relay relays[MEMBERSHIP_MAX_RELAYS];
	uint32_t relay_next;
	struct outgoing out[MEMBERSHIP_MAX_OUT];
	uint32_t out_first;
	uint32_t out_count;

	int64_t due_us; /**< When membership_next() has to be called again. */
	int64_t period_at_us;
	int64_t rumor_at_us;
	int64_t expiry_at_us; /**< Lower bound of the next expiry of a suspicion. */
	int64_t resent_at_us;
	int64_t claim_probe_at_us;
	int64_t forget_at_us;
};

/** Lays out the tables in the memory after @p membership; with NULL only their size is computed.
 * @return size in bytes, including struct membership. */
size_t membership_table_layout (struct membership *membership, uint32_t max_members,
                                uint32_t max_items);

struct member_record *member_table_find (const struct membership *membership, uint32_t id);
/** @return NULL when full. */
struct member_record *member_table_add (struct membership *membership, uint32_t id,
                                        const struct member_address *address);
/** Removes dead members that have been down since @p before_us or longer. */
void member_table_forget (struct membership *membership, int64_t before_us);
/** Shuffles the order of pings. */
void member_table_shuffle (struct membership *membership);

/** Runs an event through charts/member.scxml. @return true when the state changed. */
bool member_handle_event (struct membership *membership, struct member_record *member,
                          enum member_event event, int64_t now_us);
/** Version of a member's state: incarnation, then state. The higher one wins. */
uint64_t member_version (const struct member_record *member);

struct item_record *item_table_find (const struct membership *membership, enum item_type type,
                                     const char *key);
/** @return NULL when full. */
struct item_record *item_table_add (struct membership *membership, enum item_type type,
                                    const char *key);

/** Starts sending a record. */
void rumor_add_member (struct membership *membership, struct member_record *member);
/** As rumor_add_member(), for a member that, or whose address, may be new to others. */
void rumor_add_with_address (struct membership *membership, struct member_record *member);
/** As rumor_add_member(), for the first sign of life of a member that all know from settings or the
 * VM list. */
void rumor_add_low_priority (struct membership *membership, struct member_record *member);
void rumor_add_item (struct membership *membership, struct item_record *item);
/** Removes the rumor that was added last. */
void rumor_remove_last (struct membership *membership);
/** Removes the rumors about suspect and dead members. */
void rumor_remove_down (struct membership *membership);
/** Sends again all items that changed at @p since_us or later. */
void rumor_add_changed (struct membership *membership, int64_t since_us);
/** Number of rumors other than low-priority ones. */
uint32_t rumor_count_regular (const struct membership *membership);
/** Tells whether a rumor is about a leaving server or member. */
bool rumor_is_urgent (const struct membership *membership);
/** Number of times that a new rumor is sent. */
uint32_t rumor_sends (const struct membership *membership);

/** Size in bytes of the items of all rumors other than low-priority ones. */
size_t rumor_regular_bytes (const struct membership *membership);

/** Adds the items of a datagram to @p receiver, and subtracts its size from the budget. */
void membership_fill (struct membership *membership, struct gossip_message *message,
                      const struct member_record *receiver, enum gossip_fill fill, int64_t now_us);

/* membership_budget.c */

void budget_init (struct membership *membership, int64_t now_us);
/** Bytes that may be sent at @p now_us. */
int64_t budget_available (struct membership *membership, int64_t now_us);
void budget_take (struct membership *membership, int64_t bytes);
/** Handles a configuration change that this VM learns of or adopts. The budget is set to what
 * announcing the change needs: any debt is dropped, and so are savings, since pulls of documents
 * follow. */
void budget_handle_change (struct membership *membership);
/** Time at which @p bytes will be available if nothing is sent before. */
int64_t budget_time_us (const struct membership *membership, int64_t bytes);
/** Interpolates by fleet size between @p small and @p large, the value for period_max_members or
 * more. */
int64_t membership_scale (const struct membership *membership, int64_t small, int64_t large);

/* membership_rejoin.c */

/** Hash of the members that are alive, leaving ones left out. */
uint32_t view_hash (struct membership *membership);
/** Finds at most @p limit members about which other views have differed from this VM's for some
 * seconds.
 * @return their number; 0 when there are too many: after a partition, blocks resolve the
 * differences. */
size_t view_compare (struct membership *membership, const struct gossip_message *message,
                     struct member_record **members, size_t limit, int64_t now_us);

/** Tells whether so many members are down that a partition is more likely than individual
 * failures. */
bool rejoin_is_partition (const struct membership *membership);
/** Tells whether there is or recently was a partition, and this VM is in contact with enough others
 * to know which members are alive on its side. */
bool rejoin_can_report_alive (const struct membership *membership, int64_t now_us);
/** Adds blocks of the members that are alive, up to @p bytes. In a view, suspect members count as
 * alive.
 * @return the size of the blocks. */
size_t rejoin_fill (struct membership *membership, struct gossip_message *message, size_t bytes,
                    bool is_view);
/** Marks as alive the members that the sender's side of a partition reports alive. */
void rejoin_merge (struct membership *membership, const struct gossip_message *message,
                   int64_t now_us);
/** Tells whether claims that @p member is down are ignored, since they may be older than the end of
 * the partition. */
bool rejoin_claims_are_stale (const struct member_record *member, int64_t now_us);
/** Handles the end of a partition: sends again what has changed since @p since_us. */
void rejoin_start (struct membership *membership, int64_t since_us, int64_t now_us);

void item_from_member (const struct member_record *member, struct membership_item *item);
void item_from_record (const struct item_record *record, struct membership_item *item);
