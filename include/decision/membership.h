/**
 * @file
 * Members of the fleet: failure detection and dissemination of small versioned items.
 *
 * Time, randomness and datagrams are arguments; datagrams to send are effects. The wire format
 * of a datagram is struct fs_gossip in protocols/peer.x; this module works on its decoded form.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	MEMBERSHIP_MAX_ITEMS = 16,  /**< Items in one datagram. */
	MEMBERSHIP_KEY_BYTES = 48,  /**< Including the final 0. */
	MEMBERSHIP_MAX_CLAIMS = 32, /**< In one datagram, as the next one. */
	MEMBERSHIP_MAX_BLOCKS = 32,
	MEMBERSHIP_BLOCK_MEMBERS = 64,
};

enum member_state
{
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING, /**< Answers, but takes no new work. */
	MEMBER_DEAD,
};

/** Address and zone of a VM. */
struct member_address
{
	uint32_t ip; /**< IPv4, host byte order. */
	uint16_t traffic_port;
	uint16_t control_port;
	uint32_t zone; /**< Hash of the zone's name. */
};

enum item_type
{
	ITEM_MEMBER,  /**< Key: VM id in decimal. Version: incarnation, then state. */
	ITEM_LEAVING, /**< Key: "database/index". Value: 1 leaving, 0 not. Version: set by the writer. */
	ITEM_GROUP,   /**< Key: database. Version: term. Value: index of the primary. */
};

struct membership_item
{
	enum item_type type;
	char key[MEMBERSHIP_KEY_BYTES];
	uint64_t version;
	uint64_t value;
	uint32_t member; /**< ITEM_MEMBER only, as the next two. */
	enum member_state state;
	struct member_address address;
	uint64_t config_revision;
};

/** A member whose address the receiver knows. */
struct member_claim
{
	uint32_t member;
	uint64_t version; /**< Incarnation, then state. */
};

/** Members @c first to @c first + 63 that the sender takes for alive, one bit each. Sent when two sides
 * of a partition meet: they are alive although the other side may have declared them dead. */
struct member_block
{
	uint32_t first;
	uint64_t alive;
};

enum gossip_type
{
	GOSSIP_PING,
	GOSSIP_ACK,
	GOSSIP_PING_REQUEST, /**< Asks the receiver to ping @c target. */
	GOSSIP_VIEW,         /**< Its blocks are to be compared, since the receiver's view differs. */
};

struct gossip_message
{
	enum gossip_type type;
	uint32_t from;
	uint32_t target;
	uint64_t sequence;
	uint64_t config_revision; /**< Highest configuration revision of the sender. */
	uint32_t config_age_ms;   /**< Since the revision was first read from the platform. */
	uint32_t view_hash;       /**< Of the members that the sender takes for alive. */
	uint32_t item_count;
	struct membership_item items[MEMBERSHIP_MAX_ITEMS];
	uint32_t claim_count;
	struct member_claim claims[MEMBERSHIP_MAX_CLAIMS];
	uint32_t block_count;
	struct member_block blocks[MEMBERSHIP_MAX_BLOCKS];
};

struct membership_settings
{
	int64_t period_min_us;
	int64_t period_max_us; /**< Reached at period_max_members. */
	uint32_t period_max_members;
	int64_t ack_timeout_us;
	int64_t suspect_us; /**< From suspected to dead. */
	uint32_t indirect_pings;
	uint32_t retransmit_factor; /**< Sends of an item: retransmit_factor * log2 (members). */
	/* Bytes that one VM sends, with UDP and IP headers: pings and answers always go, news wait. */
	int64_t bytes_per_s_max; /**< In the smallest fleets. */
	int64_t bytes_per_s_min; /**< Reached at period_max_members. */
	/* In the largest fleets while a change of configuration spreads, which its pulls need. */
	int64_t bytes_per_s_change;
	int64_t change_us; /**< How long it spreads. */
};

extern const struct membership_settings membership_default_settings;

/** A datagram to send. */
struct membership_effect
{
	uint32_t to;
	struct member_address address;
	struct gossip_message message;
};

struct membership;

size_t membership_size (uint32_t max_members, uint32_t max_items);

struct membership *membership_init (void *memory, const struct membership_settings *settings,
                                    uint32_t max_members, uint32_t max_items, uint32_t self,
                                    const struct member_address *address, uint64_t incarnation,
                                    uint64_t seed, int64_t now_us);

void membership_finish (struct membership *membership);

/** Adds a VM known from settings, the VM list or a peer. @return 0, -EEXIST or -ENOSPC. */
int membership_add (struct membership *membership, uint32_t id,
                    const struct member_address *address, int64_t now_us);

/** Marks this VM as leaving, or back as alive. */
void membership_set_leaving (struct membership *membership, bool leaving, int64_t now_us);

/** Publishes or merges an item; an item of a version not above the known one is ignored.
 * @return true when it was news. */
bool membership_merge (struct membership *membership, const struct membership_item *item,
                       int64_t now_us);

/** Merges an item of a state pull: as membership_merge(), but does not pass it on to others. */
bool membership_load (struct membership *membership, const struct membership_item *item,
                      int64_t now_us);

void membership_set_config_revision (struct membership *membership, uint64_t revision,
                                     int64_t now_us);

/** When the highest configuration revision heard of here was first read from the platform. */
int64_t membership_config_since_us (const struct membership *membership);

void membership_handle_message (struct membership *membership, const struct gossip_message *message,
                                int64_t now_us);

/** Next datagram to send. @return false when there is none now. */
bool membership_next (struct membership *membership, struct membership_effect *effect,
                      int64_t now_us);

int64_t membership_next_time_us (const struct membership *membership);

/** Counts up whenever members, their states or items change. */
uint64_t membership_generation (const struct membership *membership);

/** A member as known here. */
struct member
{
	uint32_t id;
	enum member_state state;
	struct member_address address;
	uint64_t config_revision;
	uint32_t rtt_us; /**< Smoothed; 0: unknown. */
};

/** Members, of which this VM is the first. */
size_t membership_count (const struct membership *membership);
bool membership_get (const struct membership *membership, size_t at, struct member *member);
bool membership_find (const struct membership *membership, uint32_t id, struct member *member);

/** Items other than members, for the state pull and for the control thread; the state pull finds the
 * items of members with membership_find_item(). */
size_t membership_item_count (const struct membership *membership);
bool membership_get_item (const struct membership *membership, size_t at,
                          struct membership_item *item);
bool membership_find_item (const struct membership *membership, enum item_type type,
                           const char *key, struct membership_item *item);

/** A live member that has a configuration revision above @p revision; 0 when none. */
uint32_t membership_find_newer (const struct membership *membership, uint64_t revision,
                                uint64_t seed);
