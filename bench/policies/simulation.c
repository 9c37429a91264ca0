/* Simulates arrivals, sessions and faults, and compares the outcomes that callers got with what ran. */
#include "simulation.h"

#include "common/clock.h"

#include <math.h>

enum
{
	DURATION_US = 20 * US_PER_S,
	FAILOVER_DURATION_US = 28 * US_PER_S,
	WARM_UP_US = 3 * US_PER_S, /* Until lags and averages are stable; requests are not counted. */
	SETTLE_US = 10 * US_PER_S, /* Time for the last requests to finish. */
	FAULT_US = 10 * US_PER_S,  /* Both the start of the fault and its duration. */
	LOCAL_DELAY_US = 250,      /* One-way delay inside a zone. */
	LOSS_PER_MILLION = 100,
	ANSWER_LOSS_PER_MILLION = 2000, /* In failover runs, after the statement ran. */
	JITTER_DIVISOR = 5,
	CIRCUIT_THRESHOLD = 2,
	CIRCUIT_OPEN_US = 1 * US_PER_S,
	RETRY_PERCENT = 10,
	RETRY_BURST = 10,
};

void *
simulation_alloc (struct simulation *sim, size_t bytes)
{
	void *memory = g_malloc0 (bytes);

	g_ptr_array_add (sim->memory, memory);
	return memory;
}

static uint32_t
random_below (struct simulation *sim, uint32_t below)
{
	return (uint32_t) (virtual_random (sim->world) % below);
}

static void
simulation_add_call (struct simulation *sim, const struct work *work, uint32_t session)
{
	const struct scenario *scenario = sim->plan->scenario;
	const struct session *state = &sim->sessions[session];
	uint32_t database = random_below (sim, scenario->databases);
	uint32_t run_us = work->run_ms * US_PER_MS;
	/* All requests above the usual rate come from tenant 0. */
	bool is_flood = random_below (sim, sim->plan->factor[work->rank]) > 0;
	struct call *call = simulation_alloc (sim, sizeof *call);

	*call = (struct call){
		.sim = sim,
		.work = work,
		.id = sim->calls->len,
		.session = session,
		.vm = random_below (sim, scenario->vms),
		.database = database,
		.tenant = is_flood ? 0 : random_below (sim, scenario->tenants),
		.run_us = run_us / 2 + random_below (sim, run_us + 1),
		.created_us = sim->world->now_us,
		.deadline_us = sim->world->now_us + (int64_t) work->timeout_ms * US_PER_MS,
		.required = state->token[database],
		.required_at_us = state->token_at_us[database],
		.required_value = state->value[database],
		.written = state->token[database],
		.seen_position = state->seen_position[database],
	};
	if (sim->plan->policy == POLICY_MONOTONIC &&
	    log_position_covers (call->seen_position, call->written))
	{
		call->required = call->seen_position;
		call->required_at_us = state->seen_position_at_us[database];
	}
	g_ptr_array_add (sim->calls, call);
	entry_begin (call);
}

static void
handle_arrival (void *context, const void *payload)
{
	struct simulation *sim = context;
	uint32_t index = *(const uint32_t *) payload;
	const struct work *work = &sim->plan->scenario->work[index];
	double uniform = (double) (virtual_random (sim->world) >> 11) / 9007199254740992.0;
	double per_us = (double) work->per_s * sim->plan->factor[work->rank] / US_PER_S;

	if (sim->world->now_us >= sim->end_us)
		return;
	virtual_schedule (sim->world, VIRTUAL_NO_NODE,
	                  sim->world->now_us + (int64_t) (-log (1 - uniform) / per_us),
	                  (struct virtual_handler){ handle_arrival, sim }, &index, sizeof index);
	simulation_add_call (sim, work, random_below (sim, sim->plan->scenario->sessions));
}

/* Records an acknowledged write in its session. In half of the cases the session then reads at once,
 * through a random VM, to check that it sees its own write. */
static void
complete_write (struct call *call, struct log_position position)
{
	struct simulation *sim = call->sim;
	struct session *session = &sim->sessions[call->session];
	uint32_t database = call->database;

	if (position.term > 1 && sim->write_restored_us[database] == 0)
		sim->write_restored_us[database] = sim->world->now_us;
	if (log_position_covers (position, session->token[database]))
	{
		session->token[database] = position;
		session->token_at_us[database] = sim->world->now_us;
		session->value[database] = call->id + 1;
	}
	if (random_below (sim, 2) == 0 || sim->world->now_us >= sim->end_us)
		return;
	for (uint32_t i = 0; i < sim->plan->scenario->work_count; i++)
		if (sim->plan->scenario->work[i].kind == WORK_READ)
		{
			simulation_add_call (sim, &sim->plan->scenario->work[i], call->session);
			return;
		}
}

void
call_finish (struct call *call, enum outcome outcome, bool at_replica, struct log_position position)
{
	struct simulation *sim = call->sim;
	struct results *results = sim->results;
	uint32_t rank = call->work->rank;
	const struct virtual_server *server = &sim->fleet.groups[call->database].servers[call->server];
	uint32_t latency_us = (uint32_t) (sim->world->now_us - call->created_us) +
	                      2 * sim->plan->scenario->caller_delay_ms * US_PER_MS;
	struct session *session = &sim->sessions[call->session];
	bool is_counted = call->created_us >= US_PER_S + WARM_UP_US && call->created_us < sim->end_us;

	call->is_done = true;
	call->outcome = outcome;
	results->offered[rank] += is_counted;
	if (outcome != OUTCOME_DONE)
		return;
	if (is_counted)
	{
		results->served[rank]++;
		results->in_target[rank] += latency_us <= call->work->target_ms * US_PER_MS;
		g_array_append_val (results->latencies_us[rank], latency_us);
		results->replica_eligible += call->work->kind == WORK_READ;
		results->replica_served += call->work->kind == WORK_READ && at_replica;
	}
	if (call->work->kind == WORK_WRITE)
	{
		complete_write (call, position);
		return;
	}
	if (call->required_value != 0 &&
	    (position.index < call->written.index ||
	     server->log[call->written.index - 1].value != call->required_value))
		results->ryw_violations++;
	results->backward_reads += is_counted && !log_position_covers (position, call->seen_position);
	if (log_position_covers (position, session->seen_position[call->database]))
	{
		session->seen_position[call->database] = position;
		session->seen_position_at_us[call->database] = sim->world->now_us;
	}
}

/* Compares the outcome of each call with the log of the last primary, and counts lost and duplicate
 * writes and refused calls that ran. */
static void
check_logs (struct simulation *sim)
{
	uint8_t *found = g_new0 (uint8_t, sim->calls->len + 2);

	for (uint32_t d = 0; d < sim->plan->scenario->databases; d++)
	{
		const struct virtual_server *last = &sim->fleet.groups[d].servers[0];

		for (uint32_t i = 1; i < SERVERS; i++)
			if (sim->fleet.groups[d].servers[i].primary_term > last->primary_term)
				last = &sim->fleet.groups[d].servers[i];
		for (uint64_t i = 0; i < last->length; i++)
			if (found[last->log[i].value] < UINT8_MAX)
				found[last->log[i].value]++;
	}
	for (guint i = 0; i < sim->calls->len; i++)
	{
		const struct call *call = g_ptr_array_index (sim->calls, i);
		bool is_write = call->work->kind == WORK_WRITE;

		g_assert_true (call->is_done);
		sim->results->acked_lost += is_write && call->outcome == OUTCOME_DONE && found[i + 1] == 0;
		sim->results->doubled += is_write && found[i + 1] > 1;
		sim->results->not_run_but_ran +=
			call->outcome == OUTCOME_REFUSED && (call->ran || found[i + 1] > 0);
	}
	g_free (found);
}

/* Cuts the primary of database 0 and VM 0 off from the rest, and crashes the primary of database 1. */
static void
run_fault (struct simulation *sim)
{
	int partitioned = fleet_server_node (&sim->fleet, 0, 0);
	int crashed = fleet_server_node (&sim->fleet, 1, 0);
	int64_t fault_us = sim->world->now_us + FAULT_US;

	virtual_run (sim->world, fault_us);
	sim->world->nodes[partitioned].partition = 1;
	sim->world->nodes[0].partition = 1;
	virtual_set_state (sim->world, crashed, VIRTUAL_CRASHED);
	virtual_run (sim->world, fault_us + FAULT_US);
	virtual_heal (sim->world, (size_t) partitioned + 1);
	virtual_set_state (sim->world, crashed, VIRTUAL_RUNNING);
	for (uint32_t d = 0; d < 2; d++)
	{
		int64_t write_restored_us =
			sim->write_restored_us[d] ? sim->write_restored_us[d] : sim->world->now_us;

		sim->results->failover_gap_us =
			MAX (sim->results->failover_gap_us, write_restored_us - fault_us);
	}
}

static void
init_fleet (struct simulation *sim)
{
	const struct scenario *scenario = sim->plan->scenario;
	int64_t delay_us = scenario->zone_delay_ms * US_PER_MS;

	fleet_init (
		&sim->fleet, sim->plan->seed, scenario->vms, scenario->zones, scenario->databases,
		(struct virtual_link){ delay_us, delay_us / JITTER_DIVISOR, LOSS_PER_MILLION, false },
		true);
	sim->world = &sim->fleet.world;
	for (uint32_t z = 0; z < scenario->zones; z++)
		sim->world->zone_links[z][z] =
			(struct virtual_link){ LOCAL_DELAY_US, LOCAL_DELAY_US / JITTER_DIVISOR,
			                       LOSS_PER_MILLION, false };
	for (uint32_t d = 0; d < scenario->databases; d++)
	{
		sim->fleet.groups[d].slots = scenario->slots;
		if (sim->plan->has_failover)
			sim->fleet.groups[d].answer_loss_per_million = ANSWER_LOSS_PER_MILLION;
		for (uint32_t i = 0; i < SERVERS; i++)
			sim->fleet.groups[d].servers[i].lag_us = scenario->lag_ms * US_PER_MS;
	}
}

static void
init_vm (struct simulation *sim, uint32_t v)
{
	retry_budget_init (&sim->retry_budgets[v], RETRY_PERCENT, RETRY_BURST);
	for (uint32_t other = 0; other < MAX_VMS; other++)
		circuit_init (&sim->peers[v][other], 1, CIRCUIT_OPEN_US);
	for (uint32_t d = 0; d < sim->plan->scenario->databases; d++)
		for (uint32_t i = 0; i < SERVERS; i++)
		{
			uint32_t zone = sim->world->nodes[fleet_server_node (&sim->fleet, d, i)].zone;
			uint32_t own_zone = sim->world->nodes[v].zone;
			struct view *view = &sim->views[v][d][i];

			view->server.link_us = (uint32_t) (2 * sim->world->zone_links[zone][own_zone].delay_us);
			circuit_init (&view->circuit, CIRCUIT_THRESHOLD, CIRCUIT_OPEN_US);
			sim->owners[v][d][i] = (struct owner){ .sim = sim, .vm = v, .database = d, .index = i };
			owner_init (&sim->owners[v][d][i]);
		}
}

void
simulate (const struct plan *plan, struct results *results)
{
	struct simulation *sim = g_new0 (struct simulation, 1);

	sim->plan = plan;
	sim->results = results;
	sim->calls = g_ptr_array_new ();
	sim->memory = g_ptr_array_new_with_free_func (g_free);
	sim->sessions = g_new0 (struct session, plan->scenario->sessions);
	init_fleet (sim);
	sim->end_us = sim->world->now_us + (plan->has_failover ? FAILOVER_DURATION_US : DURATION_US);
	results->duration_us += sim->end_us - sim->world->now_us;
	for (uint32_t v = 0; v < plan->scenario->vms; v++)
		init_vm (sim, v);
	for (uint32_t i = 0; i < plan->scenario->work_count; i++)
		virtual_schedule (sim->world, VIRTUAL_NO_NODE, sim->world->now_us,
		                  (struct virtual_handler){ handle_arrival, sim }, &i, sizeof i);
	if (plan->has_failover)
		run_fault (sim);
	virtual_run (sim->world, sim->end_us + SETTLE_US);
	check_logs (sim);
	for (uint32_t v = 0; v < plan->scenario->vms; v++)
		for (uint32_t d = 0; d < plan->scenario->databases; d++)
			for (uint32_t i = 0; i < SERVERS; i++)
				g_array_unref (sim->owners[v][d][i].waiting);
	fleet_finish (&sim->fleet);
	g_ptr_array_free (sim->calls, TRUE);
	g_ptr_array_free (sim->memory, TRUE);
	g_free (sim->sessions);
	g_free (sim);
}
