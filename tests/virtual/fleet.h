/**
 * @file
 * Simulated fleet: VMs run the real membership, configuration, ownership, failover and
 * acknowledgement modules in virtual time, against simulated database groups and a simulated
 * platform. VM i (id i + 1) is node i; server s of group g is node vm_count + 3 * g + s; the
 * platform is last.
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
	FLEET_SEEDS = 3, /**< VMs that every VM knows when it starts. */
};

struct fleet;

struct fleet_group
{
	bool is_observer;
	struct failover failover;
	void *failover_memory;
	struct acknowledgement *acknowledgement;
	uint32_t owners[FLEET_SERVERS]; /**< Owner of each server in this VM's view. */
	bool is_polling;         /**< Replicas are polled while writes wait for acknowledgement. */
	uint64_t answered_value; /**< Highest value of a write that this VM got an answer for. */
	int64_t reported_us[FLEET_SERVERS]; /**< Last time that the observer got the server's status. */
};

struct fleet_vm
{
	struct fleet *fleet;
	uint32_t index;
	bool has_state; /**< Another VM's state was loaded since the start. */
	uint64_t seed;
	struct membership *membership;
	struct configuration *configuration;
	uint64_t generation; /**< Membership generation for which ownership was computed. */
	int64_t step_at_us;
	uint64_t revisions[FLEET_SERVICES]; /**< Revision of each adopted document. */
	uint64_t watch; /**< Number of the current platform call; answers to other calls are ignored. */
	uint64_t pull;
	uint64_t gossip_revision; /**< Highest configuration revision received by gossip. */
	int64_t gossip_revision_at_us;
	uint64_t sent_bytes; /**< Gossip, including UDP and IP headers. */
	uint64_t sent_datagrams;
	uint64_t received_bytes; /**< Counted as sent_bytes. */
	uint64_t pull_bytes;     /**< Document pulls, as client and as server, both directions. */
	struct fleet_group groups[FLEET_MAX_GROUPS];
};

struct fleet_platform
{
	bool is_down;
	int64_t answer_delay_us;
	/** Rate of lost answers and events. Each loss also breaks the connection. */
	uint32_t answer_loss_per_million;
	uint64_t revision;
	uint64_t revisions[FLEET_SERVICES];
	uint64_t calls;
	uint64_t peak_calls_per_s;
	int64_t second; /**< Second that second_calls counts. */
	uint64_t second_calls;
	uint64_t *watches; /**< Call number of each VM's watch; 0: none. */
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
	uint64_t unknown_write; /**< Value of a write of unknown outcome, which is retried; 0: none. */
	uint64_t reads;         /**< Reads with a token that a server could serve. */
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
	/** Writes go to the primary's owner, which reports answers to its observer; otherwise a random
	 * VM acts as the owner. */
	bool writes_at_owner;
	const struct failover_settings *failover_settings; /**< For VMs that become observers. */
	/** Writes carry a request id, and those of unknown outcome are retried. */
	bool retries_writes;
	/** VMs send no work to leaving servers of group 0; set by fleet_set_leaving(). */
	bool tracks_leaving;
	/** Time since which each server of group 0 is marked as leaving; 0: not marked. */
	int64_t leaving_since_us[FLEET_SERVERS];
	/** Time since which all VMs run and reach each other; INT64_MAX: some do not. */
	int64_t connected_since_us;
	size_t members_known; /**< Number of VMs that a VM knows when it starts: all, or FLEET_SEEDS. */
	/** First violated guarantee; NULL: none. */
	const char *violation;
};

void fleet_init (struct fleet *fleet, uint64_t seed, uint32_t vms, uint32_t zones, uint32_t groups,
                 struct virtual_link link, bool knows_all);
void fleet_finish (struct fleet *fleet);

/** Starts a VM, or restarts it with empty memory. */
void fleet_start (struct fleet *fleet, uint32_t vm);
void fleet_crash (struct fleet *fleet, uint32_t vm);
int fleet_server_node (const struct fleet *fleet, uint32_t group, uint32_t server);

/** Runs for @p time_us. A write for each group arrives at a random VM every @p write_every_us, or
 * never if that is 0. */
void fleet_run (struct fleet *fleet, int64_t time_us, int64_t write_every_us);

/** Sends a write to the primary of group @p number in the view of a random VM. */
void fleet_write (struct fleet *fleet, uint32_t number);
/** Sends a read with the token of the last acknowledged write, from a random VM to a random server
 * of group @p number. */
void fleet_read (struct fleet *fleet, uint32_t number);

/** Checks that the newest primary's log has all acknowledged writes and no write twice. */
void fleet_check_log (struct fleet *fleet, uint32_t number);

/** Changes a service's document on the platform. */
void fleet_change_document (struct fleet *fleet, uint32_t service);
/** Stops or restarts the platform. */
void fleet_set_platform (struct fleet *fleet, bool is_down);
/** Sets the leaving mark with @p key in one VM's membership. */
void fleet_mark_leaving (struct fleet *fleet, uint32_t vm, const char *key, uint64_t version);
/** Sets or clears the leaving mark of a server of group 0 at one VM. From then on, the fleet checks
 * that a leaving server gets no new work. */
void fleet_set_leaving (struct fleet *fleet, uint32_t vm, uint32_t server, bool is_leaving);
/** Tells whether all VMs have had enough time to learn that a server of group 0 is leaving (P7). */
bool fleet_leaving_is_due (const struct fleet *fleet, uint32_t server);

/** Counts the running VMs that do not have the item in this or a later version. */
uint32_t fleet_count_missing_item (const struct fleet *fleet, enum item_type type, const char *key,
                                   uint64_t version);
/** Counts the running VMs that have not adopted the platform's current documents. */
uint32_t fleet_count_outdated (const struct fleet *fleet);
/** Counts the running VMs whose set of live members differs from the set of running VMs. A suspect
 * member counts as alive, as for ownership: with 1% loss, some member is suspect now and then. */
uint32_t fleet_count_unconverged (const struct fleet *fleet);
/** Counts the pairs of a running VM and another VM where the first is wrong about whether the
 * second is running. */
uint64_t fleet_count_wrong_views (const struct fleet *fleet);
