/**
 * @file
 * A fleet of VMs that run the real membership, configuration, ownership, failover and
 * acknowledgement modules in a virtual world, with fake database groups and a fake platform.
 * VM i (id i + 1) is node i; server s of group g is node vm_count + 3 * g + s; the platform is last.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "decision/configuration.h"
#include "decision/failover.h"
#include "decision/membership.h"
#include "group.h"

enum
{
	FLEET_MAX_GROUPS = 4,
	FLEET_SERVERS = 3,
	FLEET_SERVICES = 4,
	FLEET_SEEDS = 3, /**< VMs that all VMs know at their start. */
};

struct fleet;

struct fleet_group
{
	bool is_observer;
	struct failover failover;
	void *failover_memory;
	struct acknowledgement *acknowledgement;
	uint32_t owners[FLEET_SERVERS];     /**< As this VM sees them. */
	bool is_polling;                    /**< Replicas are asked for the waiting writes. */
	uint64_t answered_value;            /**< Highest write that was answered here. */
	int64_t reported_us[FLEET_SERVERS]; /**< The observer was told of the server's status. */
};

struct fleet_vm
{
	struct fleet *fleet;
	uint32_t index;
	bool has_state; /**< Got the state of another VM since its start. */
	uint64_t seed;
	struct membership *membership;
	struct configuration *configuration;
	uint64_t generation; /**< Of the membership, when ownership was computed. */
	int64_t step_at_us;
	uint64_t revisions[FLEET_SERVICES]; /**< Adopted. */
	uint64_t watch; /**< Number of the present platform call; answers to others are dropped. */
	uint64_t pull;
	uint64_t gossip_revision; /**< Highest that gossip told of. */
	int64_t gossip_revision_at_us;
	uint64_t sent_bytes; /**< Gossip with its UDP and IP headers. */
	uint64_t sent_datagrams;
	uint64_t received_bytes; /**< As sent_bytes. */
	uint64_t pull_bytes; /**< Pulls of documents, as the asking and as the asked VM, both ways. */
	struct fleet_group groups[FLEET_MAX_GROUPS];
};

struct fleet_platform
{
	bool is_down;
	int64_t answer_delay_us;
	uint32_t answer_loss_per_million; /**< Answers and events lost; the connection breaks. */
	uint64_t revision;
	uint64_t revisions[FLEET_SERVICES];
	uint64_t calls;
	uint64_t peak_calls_per_s;
	int64_t second; /**< Second of the count below. */
	uint64_t second_calls;
	uint64_t *watches; /**< Number of the watch of each VM; 0: none. */
};

/** An acknowledged write. */
struct fleet_write
{
	struct log_position position;
	uint64_t value;
	uint32_t server;
};

struct fleet_history
{
	struct fleet_write *writes;
	size_t count;
	int64_t last_us; /**< Time of the last acknowledgement. */
	int64_t longest_gap_us;
	uint64_t unknown_write; /**< A write of unknown outcome that is to be asked again; 0: none. */
	uint64_t reads;         /**< Reads with a token that a server was allowed to serve. */
};

struct fleet
{
	struct virtual_world world;
	uint32_t vm_count;
	uint32_t zone_count;
	uint32_t group_count;
	int platform_node;
	struct fleet_vm *vms;
	struct fleet_platform platform;
	struct virtual_group groups[FLEET_MAX_GROUPS];
	struct fleet_history histories[FLEET_MAX_GROUPS];
	uint64_t next_value;
	/** Writes go to the primary's owner, which tells its observer of answers; otherwise any VM takes
	 * itself for the owner. */
	bool writes_at_owner;
	const struct failover_settings *failover_settings; /**< Of VMs that become observers. */
	/** Writes carry a request id, and those of unknown outcome are asked again. */
	bool retries_writes;
	/** VMs act on leaving servers of group 0; set by fleet_set_leaving(). */
	bool tracks_leaving;
	/** Servers of group 0 that are marked as leaving, since when; 0: not. */
	int64_t leaving_since_us[FLEET_SERVERS];
	int64_t
		connected_since_us; /**< All VMs run and reach each other since; INT64_MAX: they do not. */
	size_t members_known;   /**< VMs that a VM knows at its start: all, or FLEET_SEEDS. */
	/** First broken guarantee; NULL: none. */
	const char *violation;
};

void fleet_init (struct fleet *fleet, uint64_t seed, uint32_t vms, uint32_t zones, uint32_t groups,
                 struct virtual_link link, bool knows_all);
void fleet_finish (struct fleet *fleet);

/** Starts a VM, or starts it again with an empty memory. */
void fleet_start (struct fleet *fleet, uint32_t vm);
void fleet_crash (struct fleet *fleet, uint32_t vm);
int fleet_server_node (const struct fleet *fleet, uint32_t group, uint32_t server);

/** Runs for a time while a write arrives at a random VM for each group every @p write_every_us; 0:
 * no writes. */
void fleet_run (struct fleet *fleet, int64_t time_us, int64_t write_every_us);

/** Sends a write to the primary of group @p number as a random VM knows it. */
void fleet_write (struct fleet *fleet, uint32_t number);
/** A read with the token of the last acknowledged write, at a random VM and server of a group. */
void fleet_read (struct fleet *fleet, uint32_t number);

/** Compares the newest primary with what was acknowledged, and looks for doubled writes. */
void fleet_check_log (struct fleet *fleet, uint32_t number);

/** Changes a service's document at the platform. */
void fleet_change_document (struct fleet *fleet, uint32_t service);
/** Takes the platform down, or up again. */
void fleet_set_platform (struct fleet *fleet, bool is_down);
/** Marks a server as leaving at one VM. */
void fleet_mark_leaving (struct fleet *fleet, uint32_t vm, const char *key, uint64_t version);
/** Marks a server of group 0 as leaving at one VM, or as staying; its work is checked from then on. */
void fleet_set_leaving (struct fleet *fleet, uint32_t vm, uint32_t server, bool is_leaving);
/** Tells whether all VMs have had the time to learn that a server of group 0 is leaving (P7). */
bool fleet_leaving_is_due (const struct fleet *fleet, uint32_t server);

/** Running VMs that do not know the item with this version. */
uint32_t fleet_count_missing_item (const struct fleet *fleet, enum item_type type, const char *key,
                                   uint64_t version);
/** Running VMs that have not adopted the platform's documents. */
uint32_t fleet_count_outdated (const struct fleet *fleet);
/** Running VMs that do not take exactly the running VMs for alive. A suspect member counts as alive,
 * as for ownership: with 1% loss there is one now and then. */
uint32_t fleet_count_unconverged (const struct fleet *fleet);
/** Pairs of running VMs and others where the first is wrong about whether the other is running. */
uint64_t fleet_count_wrong_views (const struct fleet *fleet);
