/**
 * @file
 * Membership of the fleet: failure detection and dissemination of small versioned items by gossip.
 *
 * Does no I/O: time, the random seed and received datagrams are arguments, and datagrams to send
 * are returned as effects. The wire format of a datagram is struct fs_gossip in protocols/peer.x;
 * this module works on its decoded form.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	MEMBERSHIP_MAX_ITEMS = 16,  /**< Items in one datagram. */
	MEMBERSHIP_KEY_BYTES = 48,  /**< Including the terminating null byte. */
	MEMBERSHIP_MAX_CLAIMS = 32, /**< Claims in one datagram. */
	MEMBERSHIP_MAX_BLOCKS = 32, /**< Blocks in one datagram. */
	MEMBERSHIP_BLOCK_MEMBERS = 64,
};

enum member_state
{
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING, /**< Responds, but accepts no new work. */
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
	ITEM_LEAVING, /**< Key: "database/index". Value: 1 if leaving, else 0. Version: the writer's. */
	ITEM_GROUP,   /**< Key: database. Version: term. Value: index of the primary. */
};

struct membership_item
{
	enum item_type type;
	char key[MEMBERSHIP_KEY_BYTES];
	uint64_t version;
	uint64_t value;
	uint32_t member; /**< ITEM_MEMBER only, as the next fields. */
	enum member_state state;
	struct member_address address;
	uint64_t config_revision;
};

/** Claimed state of a member whose address the receiver knows. */
struct member_claim
{
	uint32_t member;
	uint64_t version; /**< Incarnation, then state. */
};

/** Members @c first to @c first + 63, one bit each; 1: the sender considers it alive. Sent when a
 * partition ends, since each side may have declared members of the other side dead. */
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
	GOSSIP_VIEW,         /**< Carries blocks for a receiver whose view differs, to compare. */
};

struct gossip_message
{
	enum gossip_type type;
	uint32_t from;
	uint32_t target;
	uint64_t sequence;
	uint64_t config_revision; /**< Highest configuration revision of the sender. */
	uint32_t config_age_ms;   /**< Time since that revision was first read from the platform. */
	uint32_t view_hash;       /**< Hash of the members that the sender considers alive. */
	uint32_t item_count;
	struct membership_item items[MEMBERSHIP_MAX_ITEMS];
	uint32_t claim_count;
	struct member_claim claims[MEMBERSHIP_MAX_CLAIMS];
	uint32_t block_count;
	struct member_block blocks[MEMBERSHIP_MAX_BLOCKS];
};

struct membership_settings
{
	int64_t period_min_us; /**< Interval of pings in the smallest fleets. */
	int64_t period_max_us; /**< The same with period_max_members or more. */
	uint32_t period_max_members;
	int64_t ack_timeout_us;
	int64_t suspect_us;         /**< Time from suspected to dead; longer with many suspects. */
	uint32_t indirect_pings;    /**< Members asked to ping one that does not answer. */
	uint32_t retransmit_factor; /**< An item is sent retransmit_factor * log2 (members) times. */
	/* The next three limit the bytes that one VM sends, including UDP and IP headers. Pings and
	 * answers are always sent; updates wait. */
	int64_t bytes_per_s_max; /**< In the smallest fleets. */
	int64_t bytes_per_s_min; /**< With period_max_members or more. */
	/** Replaces bytes_per_s_min while a change of configuration spreads, to leave bandwidth for its
	 * pulls. */
	int64_t bytes_per_s_change;
	int64_t change_us; /**< Time that a change takes to spread. */
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

/** Marks this VM as leaving, or as alive again. */
void membership_set_leaving (struct membership *membership, bool leaving, int64_t now_us);

/** Publishes or merges an item. An item whose version is not above the known one is ignored.
 * @return true when the item was new. */
bool membership_merge (struct membership *membership, const struct membership_item *item,
                       int64_t now_us);

/** As membership_merge(), for an item of a state pull, which is not passed on to other members. */
bool membership_load (struct membership *membership, const struct membership_item *item,
                      int64_t now_us);

void membership_set_config_revision (struct membership *membership, uint64_t revision,
                                     int64_t now_us);

/** Time at which the highest known configuration revision was first read from the platform. */
int64_t membership_config_read_us (const struct membership *membership);

void membership_handle_message (struct membership *membership, const struct gossip_message *message,
                                int64_t now_us);

/** Gets the next datagram to send. @return false when there is none now. */
bool membership_next (struct membership *membership, struct membership_effect *effect,
                      int64_t now_us);

int64_t membership_next_time_us (const struct membership *membership);

/** Counter that increases whenever members, their states or items change. */
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

/** Number of members. This VM is the first member. */
size_t membership_count (const struct membership *membership);
bool membership_get (const struct membership *membership, size_t at, struct member *member);
bool membership_find (const struct membership *membership, uint32_t id, struct member *member);

/** Number of items other than members, which the state pull and the control thread iterate over.
 * The state pull gets the items of members from membership_find_item(). */
size_t membership_item_count (const struct membership *membership);
bool membership_get_item (const struct membership *membership, size_t at,
                          struct membership_item *item);
bool membership_find_item (const struct membership *membership, enum item_type type,
                           const char *key, struct membership_item *item);

/** Finds a member that is not dead and has a configuration revision above @p revision, preferably
 * in this VM's zone. @return 0 when there is none. */
uint32_t membership_find_newer (const struct membership *membership, uint64_t revision,
                                uint64_t seed);
