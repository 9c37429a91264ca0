/**
 * @file
 * Simulates callers, entry VMs and server owners in virtual time. Decisions are made by the real
 * decision modules; the fleet and the database groups are those of tests/virtual/.
 */
#pragma once

#include "decision/admission.h"
#include "decision/retry.h"
#include "fleet.h"

#include <glib.h>

enum
{
	MAX_WORK = 8,
	MAX_VMS = 8,
	SERVERS = FLEET_SERVERS,
};

enum work_kind
{
	WORK_READ, /**< A read that a replica may serve. */
	WORK_PRIMARY_READ,
	WORK_WRITE,
};

/* Numeric keys of the scenario files, all required. max_age_ms is the staleness bound of a read; 0
 * means no bound. */
#define WORK_FIELDS(X) X (per_s) X (run_ms) X (target_ms) X (timeout_ms) X (max_age_ms)
/* clang-format off */
#define SCENARIO_FIELDS(X)                                                                         \
	X (zones) X (zone_delay_ms) X (caller_delay_ms) X (vms) X (databases) X (slots)                \
	X (connections) X (lag_ms) X (sessions) X (tenants) X (queue_limit) X (floor_normal_percent)   \
	X (floor_low_percent) X (flood_low) X (flood_urgent)
/* clang-format on */
#define DECLARE_FIELD(name) uint32_t name;

/** A stream of requests of one kind, with random arrival times. */
struct work
{
	uint32_t rank, kind;
	WORK_FIELDS (DECLARE_FIELD)
};

/** A deployment and its load, as read from a file in tests/scenarios/. */
struct scenario
{
	char name[32];
	SCENARIO_FIELDS (DECLARE_FIELD)
	uint32_t work_count;
	struct work work[MAX_WORK];
};

enum policy
{
	POLICY_CHOSEN,
	POLICY_PRIMARY_READS, /**< Like POLICY_CHOSEN, but all reads go to the primary. */
	POLICY_VM_POOLS,    /**< A FIFO pool per VM and server, without ranks, tokens or request ids. */
	POLICY_PRIMARY_ACK, /**< Like POLICY_CHOSEN, but the primary alone acknowledges a write. */
	POLICY_MONOTONIC, /**< Like POLICY_CHOSEN, but the token also covers positions seen by reads. */
	POLICY_COUNT,
};

struct plan
{
	const struct scenario *scenario;
	const char *name;
	uint32_t factor[RANK_COUNT]; /**< Multiplies the usual request rate. */
	bool has_failover;
	enum policy policy;
	uint64_t seed;
};

struct results
{
	uint64_t offered[RANK_COUNT], served[RANK_COUNT], in_target[RANK_COUNT];
	int64_t slot_time_us[RANK_COUNT]; /**< Time for which statements held a slot. */
	GArray *latencies_us[RANK_COUNT];
	uint64_t replica_eligible, replica_served, acked_lost, doubled, ryw_violations, not_run_but_ran;
	uint64_t backward_reads; /**< Reads that were behind an earlier read of the session. */
	int64_t duration_us;     /**< Simulated time, summed over all seeds. */
	int64_t failover_gap_us; /**< Longest gap of any database and seed. */
};

/** A caller's request. Stays allocated until the end of the run. */
struct call
{
	struct simulation *sim;
	const struct work *work;
	uint32_t id; /**< A write call writes the value id + 1. */
	uint32_t session, vm, database, tenant, run_us, attempt, excluded, server, owner;
	int64_t created_us, deadline_us, required_at_us;
	struct log_position required;      /**< Position that the serving server must have reached. */
	struct log_position written;       /**< Position of the session's last acknowledged write. */
	struct log_position seen_position; /**< Highest position of the session's earlier reads. */
	uint64_t required_value;      /**< Value of the session's last acknowledged write; 0: none. */
	bool is_pending, is_received; /**< State of the current attempt. */
	bool may_have_run, ran, is_done;
	enum outcome outcome;
};

/** One attempt to run a call, as the entry VM forwards it to an owner. */
struct attempt
{
	struct call *call;
	uint32_t number;
	int64_t wait_until_us;
};

struct session
{
	struct log_position token[FLEET_MAX_GROUPS];
	int64_t token_at_us[FLEET_MAX_GROUPS];
	uint64_t value[FLEET_MAX_GROUPS];
	struct log_position seen_position[FLEET_MAX_GROUPS]; /**< Highest of any read. */
	int64_t seen_position_at_us[FLEET_MAX_GROUPS];
};

/** What an entry VM knows about one server. */
struct view
{
	struct routing_server server;
	uint32_t queue_us[RANK_COUNT];
	struct circuit circuit;
};

/** State of a VM as the owner of a server, or its pool for that server in POLICY_VM_POOLS. */
struct owner
{
	struct simulation *sim;
	uint32_t vm, database, index;
	struct routing_server self;
	struct admission *admission;
	struct acknowledgement *ack;
	GArray *waiting;             /**< struct attempt; waits until the server reaches a position. */
	struct virtual_reply sample; /**< Primary's status that the server has not reached. */
	int64_t last_request_us, last_answer_us;
	bool is_polling;
};

struct simulation
{
	const struct plan *plan;
	struct results *results;
	struct fleet fleet;
	struct virtual_world *world;
	struct view views[MAX_VMS][FLEET_MAX_GROUPS][SERVERS];
	struct owner owners[MAX_VMS][FLEET_MAX_GROUPS][SERVERS];
	struct circuit peers[MAX_VMS][MAX_VMS]; /**< Indexed by entry VM, then owner VM. */
	struct retry_budget retry_budgets[MAX_VMS];
	struct session *sessions;
	GPtrArray *calls, *memory;
	int64_t end_us; /**< Time at which the arrival of new requests ends. */
	/** Time of the first acknowledged write in a later term; 0: none yet. */
	int64_t write_restored_us[FLEET_MAX_GROUPS];
};

/** An owner's answer, with the status data that updates the entry VM's view. */
struct answer
{
	struct attempt attempt;
	const struct owner *owner;
	enum outcome outcome;
	enum reason reason;
	struct log_position position; /**< Position of the write, or of the server after the read. */
	struct routing_server self;
	uint32_t queue_us[RANK_COUNT];
};

/** Runs a plan with its seed and adds what was measured to @p results. */
void simulate (const struct plan *plan, struct results *results);
/** Returns zeroed memory that is freed at the end of the run. */
void *simulation_alloc (struct simulation *sim, size_t bytes);
void call_finish (struct call *call, enum outcome outcome, bool at_replica,
                  struct log_position position);
struct routing_request call_routing (const struct call *call);
void entry_begin (struct call *call);
void entry_handle_answer (void *context, const void *payload);
void owner_init (struct owner *owner);
void owner_handle_attempt (void *context, const void *payload);
