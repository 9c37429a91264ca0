/**
 * @file
 * Callers, entry VMs and owners under virtual time, around the real decision modules, on the fleet
 * and the database groups of tests/virtual/.
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
	WORK_READ, /**< A replica may serve it. */
	WORK_PRIMARY_READ,
	WORK_WRITE,
};

/* Numbers of the scenario files; all are required. max_age_ms: stated age of a read; 0: none. */
#define WORK_FIELDS(X) X (per_s) X (run_ms) X (target_ms) X (timeout_ms) X (max_age_ms)
/* clang-format off */
#define SCENARIO_FIELDS(X)                                                                         \
	X (zones) X (zone_delay_ms) X (caller_delay_ms) X (vms) X (databases) X (slots)                \
	X (connections) X (lag_ms) X (sessions) X (tenants) X (queue_limit) X (floor_normal_percent)   \
	X (floor_low_percent) X (flood_low) X (flood_urgent)
/* clang-format on */
#define DECLARE_FIELD(name) uint32_t name;

/** Requests of one kind; they arrive at random. */
struct work
{
	uint32_t rank, kind;
	WORK_FIELDS (DECLARE_FIELD)
};

/** A deployment, as in tests/scenarios/. */
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
	POLICY_PRIMARY_READS, /**< As chosen, with all reads at the primary. */
	POLICY_VM_POOLS,    /**< Per-VM pools: first in, first out, no ranks, tokens or request ids. */
	POLICY_PRIMARY_ACK, /**< As chosen, but a write is acknowledged when the primary has it. */
	POLICY_MONOTONIC,   /**< As chosen, with the positions that reads have seen in the token. */
	POLICY_COUNT,
};

struct plan
{
	const struct scenario *scenario;
	const char *name;
	uint32_t factor[RANK_COUNT]; /**< Times the usual rate. */
	bool has_failover;
	enum policy policy;
	uint64_t seed;
};

struct results
{
	uint64_t offered[RANK_COUNT], served[RANK_COUNT], in_target[RANK_COUNT];
	int64_t slot_time_us[RANK_COUNT]; /**< Slot time. */
	GArray *latencies_us[RANK_COUNT];
	uint64_t replica_eligible, replica_served, acked_lost, doubled, ryw_violations, not_run_but_ran;
	uint64_t backward_reads; /**< Reads of a server behind an earlier read of the session. */
	int64_t duration_us;     /**< Of all seeds. */
	int64_t failover_gap_us; /**< Longest over databases and seeds. */
};

/** One request of a caller. Lives until the end of the run. */
struct call
{
	struct simulation *sim;
	const struct work *work;
	uint32_t id; /**< Its write's value is id + 1. */
	uint32_t session, vm, database, tenant, run_us, attempt, excluded, server, owner;
	int64_t created_us, deadline_us, required_at_us;
	struct log_position required; /**< Last acknowledged write of the session, as required_value. */
	struct log_position written;  /**< As required, without what reads have seen. */
	struct log_position seen_position; /**< By reads of the session, when this one began. */
	uint64_t required_value;
	bool is_pending, is_received; /**< This attempt. */
	bool may_have_run, ran, is_done;
	enum outcome outcome;
};

/** An attempt of a call, as forwarded to an owner. */
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
	struct log_position seen_position[FLEET_MAX_GROUPS]; /**< By reads. */
	int64_t seen_position_at_us[FLEET_MAX_GROUPS];
};

/** What an entry VM knows of one server. */
struct view
{
	struct routing_server server;
	uint32_t queue_us[RANK_COUNT];
	struct circuit circuit;
};

/** A VM's part as owner of a server; in POLICY_VM_POOLS, its pool for that server. */
struct owner
{
	struct simulation *sim;
	uint32_t vm, database, index;
	struct routing_server self;
	struct admission *admission;
	struct acknowledgement *ack;
	GArray *waiting;             /**< struct attempt, for the position to arrive. */
	struct virtual_reply sample; /**< A primary's position that the server has not reached. */
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
	struct circuit peers[MAX_VMS][MAX_VMS]; /**< Of an entry VM, for each owner VM. */
	struct retry_budget retry_budgets[MAX_VMS];
	struct session *sessions;
	GPtrArray *calls, *memory;
	int64_t end_us;                              /**< Of new requests. */
	int64_t write_restored_us[FLEET_MAX_GROUPS]; /**< First acknowledged write of a later term. */
};

/** An owner's answer, with what the entry VM learns from it. */
struct answer
{
	struct attempt attempt;
	const struct owner *owner;
	enum outcome outcome;
	enum reason reason;
	struct log_position position; /**< Of the write, or of the server after the read. */
	struct routing_server self;
	uint32_t queue_us[RANK_COUNT];
};

/** Runs a plan and adds to @p tally. */
void simulate (const struct plan *plan, struct results *results);
/** Zeroed memory that lives until the end of the run. */
void *simulation_alloc (struct simulation *sim, size_t bytes);
void call_finish (struct call *call, enum outcome outcome, bool at_replica,
                  struct log_position position);
struct routing_request call_routing (const struct call *call);
void entry_begin (struct call *call);
void entry_handle_answer (void *context, const void *payload);
void owner_init (struct owner *owner);
void owner_handle_attempt (void *context, const void *payload);
