/**
 * @file
 * Simulated fleet under virtual time: entry VMs, owners and observers around the real decision
 * modules, in front of fake database groups.
 */
#pragma once

#include "decision/admission.h"
#include "decision/failover.h"
#include "decision/retry.h"
#include "decision/routing.h"
#include "group.h"
#include "scenario.h"

#include <glib.h>

enum policy
{
	POLICY_CHOSEN,
	POLICY_PRIMARY_READS, /**< As chosen, with all reads at the primary. */
	POLICY_VM_POOLS,    /**< Each VM has its own pools: first in, first out, no ranks, no tokens. */
	POLICY_PRIMARY_ACK, /**< As chosen, but a write is acknowledged when the primary has it. */
	POLICY_COUNT,
};

struct plan
{
	const struct scenario *scenario;
	const char *name;
	enum policy policy;
	uint32_t factor[RANK_COUNT]; /**< Times the usual rate. */
	bool has_failover;
	int64_t duration_us;
	uint64_t seed;
};

struct rank_tally
{
	uint64_t offered, served, in_target;
	GArray *latencies_us; /**< uint32_t, of served requests. */
};

struct tally
{
	struct rank_tally ranks[RANK_COUNT];
	uint64_t replica_possible, replica_served;
	uint64_t acked_lost, doubled, ryw_violations, not_run_but_ran;
	int64_t failover_gap_us; /**< Longest over the databases; -1: no failover. */
};

/** Runs a plan and adds to @p tally. */
void simulate (const struct plan *plan, struct tally *tally);

/** One request of a caller. Lives until the end of the run. */
struct call
{
	struct simulation *sim;
	const struct work *work;
	uint32_t id; /**< Its write's value is id + 1. */
	uint32_t session, vm, database, tenant, attempt, excluded, server;
	int64_t created_us, deadline_us;
	uint32_t run_us;
	struct log_position required;
	int64_t required_at_us;
	struct log_position must_see_at; /**< Last acknowledged write of the session when it began. */
	uint64_t must_see;
	bool is_pending;  /**< An attempt is on its way. */
	bool is_received; /**< The owner has got this attempt. */
	bool may_have_run;
	bool ran;
	bool is_done;
	enum outcome outcome;
};

struct session
{
	struct log_position token[SCENARIO_MAX_DATABASES];
	int64_t token_at_us[SCENARIO_MAX_DATABASES];
	uint64_t value[SCENARIO_MAX_DATABASES];
};

/** What an entry VM knows of one server. */
struct view
{
	struct routing_server server;
	uint32_t queue_us[RANK_COUNT];
	struct circuit circuit;
};

/** Connections of one VM to one server in POLICY_VM_POOLS. */
struct pool
{
	GQueue waiting;
	uint32_t busy;
};

struct vm
{
	struct view views[SCENARIO_MAX_DATABASES][SCENARIO_MAX_SERVERS];
	struct pool pools[SCENARIO_MAX_DATABASES][SCENARIO_MAX_SERVERS];
	struct retry_budget budget;
	uint64_t term[SCENARIO_MAX_DATABASES]; /**< Of the primary that it knows. */
};

enum
{
	POLL_ROUNDS = 16,
};

struct poll_round
{
	int64_t sent_us;
	uint32_t replies;
	struct log_position primary;
	uint64_t promised_term;
};

struct owner
{
	struct simulation *sim;
	uint32_t database, index;
	int vm;
	struct routing_server self;
	struct admission *admission;
	struct acknowledgement *ack;
	GPtrArray *waiting; /**< struct attempt, for the position to arrive. */
	struct poll_round rounds[POLL_ROUNDS];
	uint32_t next_round;
	struct poll_round sample; /**< A confirmed round that the server has not caught up with. */
};

struct simulation
{
	const struct plan *plan;
	struct tally *tally;
	struct virtual_world world;
	struct virtual_group groups[SCENARIO_MAX_DATABASES];
	struct owner owners[SCENARIO_MAX_DATABASES][SCENARIO_MAX_SERVERS];
	struct vm vms[SCENARIO_MAX_VMS];
	struct session *sessions;
	GPtrArray *calls;
	GPtrArray *memory; /**< Freed at the end. */
	int64_t end_us;    /**< Of new requests. */
	int64_t fault_us;
	int64_t restored_us[SCENARIO_MAX_DATABASES]; /**< First acknowledged write after the fault. */
	struct observer *observers;
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

/** Memory that lives until the end of the run. */
void *simulation_new (struct simulation *sim, size_t bytes);
void simulation_arrive (struct simulation *sim, const struct work *work, uint32_t session);
void entry_begin (struct call *call);
void entry_handle_answer (void *context, const void *payload);
void entry_learn_primary (struct simulation *sim, uint32_t vm, uint32_t database, uint64_t term,
                          uint32_t server);
void pool_begin (struct call *call);
void call_finish (struct call *call, enum outcome outcome, bool at_replica,
                  struct log_position position);
void owner_init (struct owner *owner);
void owner_handle_attempt (void *context, const void *payload);
void owner_announce (struct owner *owner);
void observers_init (struct simulation *sim);
void observers_finish (struct simulation *sim);
void observers_traffic (struct owner *owner, bool answered);
