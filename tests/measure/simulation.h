/**
 * @file
 * Simulated fleet under virtual time: entry VMs, owners and observers around the real decision
 * modules, in front of fake database groups.
 */
#pragma once

#include "decision/admission.h"
#include "decision/failover.h"
#include "decision/retry.h"
#include "group.h"

#include <glib.h>

enum
{
	MAX_WORK = 8,
	MAX_VMS = 8,
	MAX_DATABASES = 4,
	SERVERS = 3, /**< Of a group. */
};

enum work_kind
{
	WORK_READ, /**< A replica may serve it. */
	WORK_PRIMARY_READ,
	WORK_WRITE,
};

/** Requests of one kind; they arrive at random. */
struct work
{
	uint32_t rank, kind, per_s, run_ms, target_ms, timeout_ms;
	uint32_t max_age_ms; /**< Stated age of a read; 0: none. */
};

/** A deployment, as in tests/scenarios/. */
struct scenario
{
	char name[32];
	uint32_t zones, zone_delay_ms, caller_delay_ms, vms, databases, slots, connections, lag_ms;
	uint32_t sessions, tenants, queue_limit, floor_normal_percent, floor_low_percent;
	uint32_t flood_low, flood_urgent, work_count;
	struct work work[MAX_WORK];
};

enum policy
{
	POLICY_CHOSEN,
	POLICY_PRIMARY_READS, /**< As chosen, with all reads at the primary. */
	POLICY_VM_POOLS,    /**< Per-VM pools: first in, first out, no ranks, tokens or request ids. */
	POLICY_PRIMARY_ACK, /**< As chosen, but a write is acknowledged when the primary has it. */
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

struct tally
{
	uint64_t offered[RANK_COUNT], served[RANK_COUNT], in_target[RANK_COUNT];
	int64_t busy_us[RANK_COUNT]; /**< Slot time. */
	GArray *latencies_us[RANK_COUNT];
	uint64_t replica_possible, replica_served, acked_lost, doubled, ryw_violations, not_run_but_ran;
	int64_t duration_us;     /**< Of all seeds. */
	int64_t failover_gap_us; /**< Longest over databases and seeds. */
};

/** One request of a caller. Lives until the end of the run. */
struct call
{
	struct simulation *sim;
	const struct work *work;
	uint32_t id; /**< Its write's value is id + 1. */
	uint32_t session, vm, database, tenant, run_us, attempt, excluded, server;
	int64_t created_us, deadline_us, required_at_us;
	struct log_position required; /**< Last acknowledged write of the session, as the next one. */
	uint64_t must_see;
	bool is_pending, is_received, may_have_run, ran, is_done; /**< The first two: this attempt. */
	enum outcome outcome;
};

struct session
{
	struct log_position token[MAX_DATABASES];
	int64_t token_at_us[MAX_DATABASES];
	uint64_t value[MAX_DATABASES];
};

/** What an entry VM knows of one server. */
struct view
{
	struct routing_server server;
	uint32_t queue_us[RANK_COUNT];
	struct circuit circuit;
};

struct vm
{
	struct view views[MAX_DATABASES][SERVERS];
	uint64_t term[MAX_DATABASES];
	struct retry_budget budget;
};

struct poll_round
{
	int64_t sent_us;
	uint32_t replies;
	uint64_t promised_term;
	struct log_position primary;
};

/** Owner of one server; in POLICY_VM_POOLS, the pool of one VM for it. */
struct owner
{
	struct simulation *sim;
	uint32_t database, index;
	int vm;
	struct routing_server self;
	struct admission *admission;
	struct acknowledgement *ack;
	GArray *waiting; /**< struct attempt, for the position to arrive. */
	struct poll_round rounds[16], sample;
	uint32_t next_round;
	struct failover failover;
	int64_t failover_at_us; /**< Time of its next step. */
};

struct simulation
{
	const struct plan *plan;
	struct tally *tally;
	struct virtual_world world;
	struct virtual_group groups[MAX_DATABASES];
	struct owner owners[MAX_DATABASES][SERVERS], pools[MAX_VMS][MAX_DATABASES][SERVERS];
	struct vm vms[MAX_VMS];
	struct session *sessions;
	GPtrArray *calls, *memory;
	int64_t end_us;                     /**< Of new requests. */
	int64_t restored_us[MAX_DATABASES]; /**< First acknowledged write of a later term. */
};

/** An attempt of a call, as forwarded to an owner. */
struct attempt
{
	struct call *call;
	uint32_t number;
	int64_t wait_until_us;
};

/** An owner's answer, with what the entry VM learns from it. */
struct answer
{
	struct attempt attempt;
	struct owner *owner;
	enum outcome outcome;
	enum reason reason;
	struct log_position position; /**< Of the write, or of the server after the read. */
	struct routing_server self;
	uint32_t queue_us[RANK_COUNT];
};

/** Zeroed memory that lives until the end of the run. */
void *simulation_new (struct simulation *sim, size_t bytes);
/** Runs a plan and adds to @p tally. */
void simulate (const struct plan *plan, struct tally *tally);
void call_finish (struct call *call, enum outcome outcome, bool at_replica,
                  struct log_position position);
struct routing_request call_routing (const struct call *call);
void entry_begin (struct call *call);
void entry_handle_answer (void *context, const void *payload);
void entry_learn_primary (struct vm *vm, uint32_t database, uint64_t term, uint32_t server);
void owner_init (struct owner *owner);
void owner_handle_attempt (void *context, const void *payload);
void observer_init (struct owner *owner);
void observer_traffic (struct owner *owner, bool answered);
