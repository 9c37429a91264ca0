/**
 * @file
 * A fleet of gateways in virtual time: the control code of gateway/ with replaced clock, loop, datagrams, traffic thread
 * and store. One process, one thread; runs with the same seed are identical.
 */
#pragma once

#include "gateway/controller_private.h"
#include "world.h"

enum
{
	FLEET_ZONES = 3,
	FLEET_SERVERS = 3, /**< Servers of each service, one in each zone. */
	FLEET_MAX_SERVICES = 8,
	FLEET_DRAIN_US = 7 * US_PER_S, /**< A server that leaves must be out of use after this time. */
};

struct gateway_fleet;

/** An entry of a server's log. */
struct fleet_entry
{
	uint64_t term;
	uint64_t id; /**< Identifies the write. */
};

struct fleet_server
{
	int index;
	int node;
	int service;
	int zone;
	char id[24];
	uint32_t starts; /**< Number of servers that have had this address. */
	bool is_running;
	bool is_dark; /**< While it does not run, connections to it are not refused but time out. */
	bool is_primary;
	bool is_deaf; /**< It receives no entries. */
	bool is_draining;
	int64_t draining_us; /**< When the store accepted that it leaves; 0: not yet. */
	uint64_t term;
	GArray *log;          /**< Array of struct fleet_entry. */
	guint offered;        /**< Length of its log at the last replication. */
	int64_t resume_us;    /**< Its links are back by then. */
	int64_t disturbed_us; /**< When it last crashed, started, was cut off or reached again. */
	int64_t later_us;     /**< Since when it reaches a primary of a later term; 0: it does not. */
	int64_t heartbeat_us; /**< When it last wrote its directory entry. */
	bool is_entry_old;    /**< Its directory entry has changed since. */
	uint64_t entry_era;   /**< Era of the store in which it last wrote its entry. */
};

/** A write that was acknowledged to a caller. */
struct fleet_commit
{
	uint64_t id;
	uint64_t term;
	uint64_t index;
	int64_t committed_us;
	bool is_lost;
	uint64_t lost_term; /**< Term of the first primary that lacked it; 0: none did. */
};

struct fleet_service
{
	char name[16];
	uint64_t term; /**< Latest term that a server has led. */
	int leader;    /**< Index of the server that was promoted last. */
	/** Array of int64_t: when the servers of each term began to lead; the index is the term. */
	GArray *led_us;
	uint64_t token; /**< Highest fencing token, and the call that carried it. */
	char holder[BOOT_NAME_BYTES];
	char target[24];
	bool
		is_target_refused; /**< That call was refused, so another server may be promoted with the token. */
	GArray *commits; /**< Array of struct fleet_commit. */
	uint64_t lost;   /**< Acknowledged commits that a later primary lacks. */
	uint32_t promotions;
	bool is_changing;   /**< The record in the store says so. */
	int64_t claimed_us; /**< Since when. */
	bool was_healthy;   /**< The primary was undisturbed when the change was claimed. */
};

enum fleet_store_state
{
	FLEET_STORE_UP,
	FLEET_STORE_SILENT,  /**< Calls get no answer. */
	FLEET_STORE_REFUSES, /**< Calls are answered with an error at once. */
};

struct fleet_vm
{
	int index;
	struct controller *controller;
	struct gateway_traffic *traffic;
	bool is_stopping;
	bool is_refused;        /**< The store refuses its calls. */
	bool has_failed_call;   /**< Its connections to the store are new. */
	GQueue mail;            /**< Messages of its traffic thread. */
	uint64_t configuration; /**< Version that its process has known. */
	char name[BOOT_NAME_BYTES];
};

enum fleet_action
{
	FLEET_CUT_ZONE,
	FLEET_HEAL_ZONE,
	FLEET_CRASH_SERVER, /**< Subject: the primary of this service; value 1: it does not refuse connections. */
	FLEET_START_SERVER, /**< Subject: the servers of this service that have crashed. */
	/** Subject: the replicas of this service receive nothing; value 1 or 2: only the first or second of them. */
	FLEET_DEAFEN,
	FLEET_RESUME, /**< Subject: the servers of this service receive again. */
	/** Subject: the primary of this service leaves; value 1 or 2: the first or second of its replicas. */
	FLEET_RELEASE,
	FLEET_FREEZE_VM,
	FLEET_THAW_VM,
	FLEET_KILL_VM,
	FLEET_START_VM,
	FLEET_STORE_AWAY, /**< Value: enum fleet_store_state. */
	FLEET_STORE_BACK, /**< Value: age in ms of the copy from which it comes back; 0: it has lost nothing. */
	FLEET_REFUSE_VM,
	FLEET_ADMIT_VM,
	FLEET_STORE_LOSSY, /**< Value: share of answers that are lost, in thousandths; of late executions, a third of it. */
	FLEET_CONFIGURE, /**< The operator writes a new version of the configuration. */
};

struct fleet_fault
{
	int64_t at_ms; /**< Since the fleet is settled. */
	enum fleet_action action;
	int subject;
	int64_t value;
};

struct fleet_store;

struct gateway_fleet
{
	struct virtual_world world;
	uint64_t seed;
	int vm_count;
	int service_count;
	int server_count;
	struct fleet_vm *vms;
	struct fleet_server *servers;
	struct fleet_service services[FLEET_MAX_SERVICES];
	struct fleet_store *store;
	int store_node;
	int write_interval_us;
	uint32_t sync_replicas; /**< Replicas that must have received a write before its answer. */
	uint64_t next_write_id;
	uint64_t configuration; /**< Version that the operator has written. */
	int64_t settled_us;     /**< When the plan of faults begins. */
	int active_faults;
	int64_t quiet_us; /**< When the last fault began or ended. */
	uint64_t acknowledged;
	GString *violations; /**< Empty: none. */
	uint32_t violation_count;
};

/** The fleet whose replaced functions are called. */
extern struct gateway_fleet *gateway_fleet;

/** Starts all VMs and runs until they are settled. @param vm_count at least 3. */
void gateway_fleet_init (struct gateway_fleet *fleet, uint64_t seed, int vm_count,
                         int service_count);
/** Prepares a fleet whose VMs start as the world runs. */
void gateway_fleet_prepare (struct gateway_fleet *fleet, uint64_t seed, int vm_count,
                            int service_count);
void gateway_fleet_finish (struct gateway_fleet *fleet);

/** Has writes wait for a replica from now on, and runs until all VMs know that. */
void gateway_fleet_require_replicas (struct gateway_fleet *fleet, uint32_t count);

/** Schedules @p count faults. */
void gateway_fleet_plan (struct gateway_fleet *fleet, const struct fleet_fault *faults,
                         size_t count);

/** Runs until @p until_ms after the fleet was settled. */
void gateway_fleet_run (struct gateway_fleet *fleet, int64_t until_ms);

/** Reads the record of @p service in the store. @return false when there is none. */
bool gateway_fleet_record (const struct gateway_fleet *fleet, int service,
                           struct succession_record *record);

/* gateway_fleet_checks.c */
/** Adds a violation, with the seed, to the list. */
void fleet_violation (struct gateway_fleet *fleet, const char *format, ...)
	__attribute__ ((format (printf, 2, 3)));
void fleet_check_step (struct gateway_fleet *fleet);
/** Checks that every service has a primary that all VMs agree on and that takes writes. */
void gateway_fleet_check_recovered (struct gateway_fleet *fleet);
void fleet_check_promotion (struct gateway_fleet *fleet, const struct fleet_server *server);
void fleet_check_token (struct gateway_fleet *fleet, int service, const char *holder,
                        const char *target, uint64_t token, bool is_refused);
/** Checks that a record that a VM writes as one of the present era expects a revision of it. */
void fleet_check_swap (struct gateway_fleet *fleet, const struct fleet_vm *vm, const char *service,
                       const char *value, size_t value_length);
/** Whether the server's log contains the write. */
bool fleet_server_holds (const struct fleet_server *server, const struct fleet_commit *commit);
void fleet_acknowledge (struct gateway_fleet *fleet, int vm, int service,
                        const struct fleet_commit *commit);

/* gateway_fleet_servers.c */
void fleet_servers_init (struct gateway_fleet *fleet);
void fleet_servers_finish (struct gateway_fleet *fleet);
void fleet_servers_tick (struct gateway_fleet *fleet);
struct fleet_server *fleet_server_find (struct gateway_fleet *fleet, const char *id);
void fleet_server_crash (struct gateway_fleet *fleet, struct fleet_server *server, bool is_dark);
void fleet_server_start (struct gateway_fleet *fleet, struct fleet_server *server);
void fleet_server_release (struct gateway_fleet *fleet, struct fleet_server *server);
struct database_status fleet_server_status (const struct fleet_server *server);
/** Handles a promotion. @return 0 or -ENOENT: it does not run. */
int fleet_promote (struct gateway_fleet *fleet, const char *service, const char *id,
                   const char *holder, uint64_t token);

/* gateway_fleet_store.c */
struct fleet_store *fleet_store_new (struct gateway_fleet *fleet);
void fleet_store_free (struct fleet_store *store);
void fleet_store_set_state (struct fleet_store *store, enum fleet_store_state state);
/** Comes back with the state that it had @p age_us ago. */
void fleet_store_restore (struct fleet_store *store, int64_t age_us);
void fleet_store_set_loss (struct fleet_store *store, uint32_t per_mille);
bool fleet_store_is_up (const struct fleet_store *store);
uint64_t fleet_store_era (const struct fleet_store *store);
/** Writes a key of the operator or of a server. @param ttl_us time after which it expires; 0: never. */
void fleet_store_put (struct fleet_store *store, const char *key, const char *value,
                      int64_t ttl_us);
/** @param value NULL: the key is deleted. */
const char *fleet_store_get (const struct fleet_store *store, const char *key);
void fleet_store_delete (struct fleet_store *store, const char *key);
void fleet_store_tick (struct fleet_store *store);

/* gateway_fleet_traffic.c */
struct gateway_traffic *fleet_traffic_new (int vm);
/** Id of the server that the VM uses as primary of @p service at present; NULL: none. */
const char *fleet_traffic_primary (const struct gateway_traffic *traffic, int service,
                                   int64_t now_us);
/** Time of the last acknowledged write of @p service through this VM. */
int64_t fleet_traffic_acknowledged_us (const struct gateway_traffic *traffic, int service);

/* gateway_fleet.c */
bool fleet_reaches (const struct gateway_fleet *fleet, int from, int to);
int fleet_random (struct gateway_fleet *fleet, int limit);
bool fleet_is_logging (void);
