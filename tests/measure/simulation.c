/* Arrivals, sessions, faults, and the comparison of what callers were told with what ran. */
#include "simulation.h"

#include "common/clock.h"

#include <math.h>

enum
{
	WARM_UP_US = 3 * US_PER_S, /* Requests before it are not counted: lags and means settle. */
	SETTLE_US = 10 * US_PER_S, /* After the last request. */
	LOCAL_DELAY_US = 250,      /* One way inside a zone. */
	LOSS_PER_MILLION = 100,
	FAULT_US = 10 * US_PER_S, /* From the start; lasts as long. */
	CIRCUIT_THRESHOLD = 2,
	CIRCUIT_OPEN_US = 1 * US_PER_S,
	RETRY_PERCENT = 10,
	RETRY_BURST = 10,
};

void *
simulation_new (struct simulation *sim, size_t bytes)
{
	void *memory = g_malloc0 (bytes);

	g_ptr_array_add (sim->memory, memory);
	return memory;
}

void
simulation_arrive (struct simulation *sim, const struct work *work, uint32_t session)
{
	const struct plan *plan = sim->plan;
	uint32_t factor = plan->factor[work->rank];
	const struct session *state = &sim->sessions[session];
	int64_t now_us = sim->world.now_us;
	struct call *call = simulation_new (sim, sizeof *call);

	call->sim = sim;
	call->work = work;
	call->id = sim->calls->len;
	call->session = session;
	call->vm = (uint32_t) (virtual_random (&sim->world) % plan->scenario->vms);
	call->database = (uint32_t) (virtual_random (&sim->world) % plan->scenario->databases);
	call->tenant = (uint32_t) (virtual_random (&sim->world) % plan->scenario->tenants);
	/* One tenant causes a flood. */
	if (virtual_random (&sim->world) % factor > 0)
		call->tenant = 0;
	call->created_us = now_us;
	call->deadline_us = now_us + (int64_t) work->timeout_ms * US_PER_MS;
	call->run_us =
		(uint32_t) (work->run_us / 2 + virtual_random (&sim->world) % (work->run_us + 1));
	call->required = state->token[call->database];
	call->required_at_us = state->token_at_us[call->database];
	call->must_see_at = call->required;
	call->must_see = state->value[call->database];
	g_ptr_array_add (sim->calls, call);
	if (plan->policy == POLICY_VM_POOLS)
		pool_begin (call);
	else
		entry_begin (call);
}

static void
handle_arrival (void *context, const void *payload)
{
	struct simulation *sim = context;
	const struct work *work = *(const struct work *const *) payload;
	double uniform = (double) (virtual_random (&sim->world) >> 11) / 9007199254740992.0;
	double rate = (double) work->per_s * sim->plan->factor[work->rank];

	if (sim->world.now_us >= sim->end_us)
		return;
	virtual_add (&sim->world, VIRTUAL_NO_NODE,
	             sim->world.now_us + (int64_t) (-log (1 - uniform) / rate * US_PER_S),
	             (struct virtual_handler){ handle_arrival, sim }, &work, sizeof work);
	simulation_arrive (sim, work,
	                   (uint32_t) (virtual_random (&sim->world) % sim->plan->scenario->sessions));
}

/* A session that wrote reads at once in half of the cases, by way of any VM. */
static void
follow_write (struct call *call, struct log_position position)
{
	struct simulation *sim = call->sim;
	struct session *session = &sim->sessions[call->session];
	uint32_t database = call->database;

	if (position.term > 1 && sim->restored_us[database] == 0)
		sim->restored_us[database] = sim->world.now_us;
	if (log_position_covers (position, session->token[database]))
	{
		session->token[database] = position;
		session->token_at_us[database] = sim->world.now_us;
		session->value[database] = call->id + 1;
	}
	if (virtual_random (&sim->world) % 2 == 0 || sim->world.now_us >= sim->end_us)
		return;
	for (uint32_t i = 0; i < sim->plan->scenario->work_count; i++)
		if (sim->plan->scenario->work[i].kind == WORK_READ)
		{
			simulation_arrive (sim, &sim->plan->scenario->work[i], call->session);
			return;
		}
}

static void
check_read (const struct call *call, struct log_position position)
{
	const struct virtual_server *server = &call->sim->groups[call->database].servers[call->server];
	uint64_t index = call->must_see_at.index;

	if (call->must_see == 0)
		return;
	if (position.index < index || server->log[index - 1].value != call->must_see)
		call->sim->tally->ryw_violations++;
}

void
call_finish (struct call *call, enum outcome outcome, bool at_replica, struct log_position position)
{
	struct simulation *sim = call->sim;
	struct rank_tally *rank = &sim->tally->ranks[call->work->rank];
	int64_t latency_us =
		sim->world.now_us - call->created_us + 2 * (int64_t) sim->plan->scenario->caller_delay_us;
	bool is_counted = call->created_us >= WARM_UP_US + US_PER_S && call->created_us < sim->end_us;
	uint32_t value_us = (uint32_t) latency_us;

	call->is_done = true;
	call->outcome = outcome;
	if (is_counted)
		rank->offered++;
	if (outcome != OUTCOME_DONE)
		return;
	if (is_counted)
	{
		rank->served++;
		rank->in_target += latency_us <= (int64_t) call->work->target_ms * US_PER_MS;
		g_array_append_val (rank->latencies_us, value_us);
		sim->tally->replica_possible += call->work->kind == WORK_READ;
		sim->tally->replica_served += call->work->kind == WORK_READ && at_replica;
	}
	if (call->work->kind == WORK_WRITE)
		follow_write (call, position);
	else
		check_read (call, position);
}

/* Compares outcomes with the log of the last primary. */
static void
check_logs (struct simulation *sim)
{
	uint8_t *found = g_new0 (uint8_t, sim->calls->len + 2);

	for (uint32_t d = 0; d < sim->plan->scenario->databases; d++)
	{
		const struct virtual_server *last = &sim->groups[d].servers[0];

		for (uint32_t i = 1; i < SCENARIO_MAX_SERVERS; i++)
			if (sim->groups[d].servers[i].is_primary &&
			    sim->groups[d].servers[i].primary_term > last->primary_term)
				last = &sim->groups[d].servers[i];
		for (uint64_t i = 0; i < last->length; i++)
			if (found[last->log[i].value] < UINT8_MAX)
				found[last->log[i].value]++;
	}
	for (guint i = 0; i < sim->calls->len; i++)
	{
		const struct call *call = g_ptr_array_index (sim->calls, i);
		bool is_write = call->work->kind == WORK_WRITE;

		sim->tally->acked_lost += is_write && call->outcome == OUTCOME_DONE && found[i + 1] == 0;
		sim->tally->doubled += is_write && found[i + 1] > 1;
		sim->tally->not_run_but_ran +=
			call->outcome == OUTCOME_REFUSED && (call->ran || found[i + 1] > 0);
		g_assert_true (call->is_done);
	}
	g_free (found);
}

/* Database 0 loses its primary together with the primary's owner VM to a partition; the primary of
 * database 1 crashes. */
static void
run_fault (struct simulation *sim)
{
	uint32_t vms = sim->plan->scenario->vms;
	size_t nodes = vms + (size_t) sim->plan->scenario->databases * SCENARIO_MAX_SERVERS;

	sim->fault_us = sim->world.now_us + FAULT_US;
	virtual_run (&sim->world, sim->fault_us);
	sim->world.nodes[vms].side = 1;
	sim->world.nodes[sim->owners[0][0].vm].side = 1;
	virtual_set_state (&sim->world, (int) vms + SCENARIO_MAX_SERVERS, VIRTUAL_CRASHED);
	virtual_run (&sim->world, sim->fault_us + FAULT_US);
	virtual_heal (&sim->world, nodes);
	virtual_set_state (&sim->world, (int) vms + SCENARIO_MAX_SERVERS, VIRTUAL_RUNNING);
	virtual_run (&sim->world, sim->end_us + SETTLE_US);
	for (uint32_t d = 0; d < 2; d++)
	{
		int64_t gap_us =
			sim->restored_us[d] ? sim->restored_us[d] - sim->fault_us : sim->end_us - sim->fault_us;

		sim->tally->failover_gap_us = MAX (sim->tally->failover_gap_us, gap_us);
	}
}

static void
init_world (struct simulation *sim)
{
	const struct scenario *scenario = sim->plan->scenario;
	size_t nodes = scenario->vms + (size_t) scenario->databases * SCENARIO_MAX_SERVERS;
	struct virtual_link link = { scenario->zone_delay_us, scenario->zone_delay_us / 5,
		                         LOSS_PER_MILLION, false };
	uint32_t next[SCENARIO_MAX_VMS] = { 0 };

	virtual_world_init (&sim->world, sim->plan->seed, nodes, link);
	link = (struct virtual_link){ LOCAL_DELAY_US, LOCAL_DELAY_US / 5, LOSS_PER_MILLION, false };
	for (uint32_t z = 0; z < scenario->zones; z++)
		sim->world.zone_links[z][z] = link;
	for (uint32_t v = 0; v < scenario->vms; v++)
		sim->world.nodes[v].zone = v % scenario->zones;
	for (uint32_t d = 0; d < scenario->databases; d++)
	{
		int first = (int) (scenario->vms + d * SCENARIO_MAX_SERVERS);

		virtual_group_init (&sim->groups[d], &sim->world, first, SCENARIO_MAX_SERVERS,
		                    scenario->slots);
		for (uint32_t i = 0; i < SCENARIO_MAX_SERVERS; i++)
		{
			uint32_t zone = (d + i) % scenario->zones;
			uint32_t vms = (scenario->vms - zone + scenario->zones - 1) / scenario->zones;

			sim->world.nodes[first + (int) i].zone = zone;
			sim->groups[d].servers[i].lag_us = scenario->lag_us;
			sim->owners[d][i] = (struct owner){ .sim = sim, .database = d, .index = i };
			sim->owners[d][i].vm = (int) (zone + scenario->zones * (next[zone]++ % vms));
		}
	}
}

static void
init_vm (struct simulation *sim, uint32_t v)
{
	struct vm *vm = &sim->vms[v];

	retry_budget_init (&vm->budget, RETRY_PERCENT, RETRY_BURST);
	for (uint32_t d = 0; d < sim->plan->scenario->databases; d++)
	{
		vm->term[d] = 1;
		for (uint32_t i = 0; i < SCENARIO_MAX_SERVERS; i++)
		{
			uint32_t zone = sim->world.nodes[sim->owners[d][i].vm].zone;
			struct view *view = &vm->views[d][i];

			view->server.is_primary = i == 0;
			view->server.link_us =
				(uint32_t) (2 * sim->world.zone_links[zone][sim->world.nodes[v].zone].delay_us);
			circuit_init (&view->circuit, CIRCUIT_THRESHOLD, CIRCUIT_OPEN_US);
			g_queue_init (&vm->pools[d][i].waiting);
		}
	}
}

void
simulate (const struct plan *plan, struct tally *tally)
{
	struct simulation *sim = g_new0 (struct simulation, 1);

	sim->plan = plan;
	sim->tally = tally;
	sim->calls = g_ptr_array_new ();
	sim->memory = g_ptr_array_new_with_free_func (g_free);
	sim->sessions = g_new0 (struct session, plan->scenario->sessions);
	init_world (sim);
	sim->end_us = sim->world.now_us + plan->duration_us;
	for (uint32_t v = 0; v < plan->scenario->vms; v++)
		init_vm (sim, v);
	for (uint32_t d = 0; d < plan->scenario->databases; d++)
		for (uint32_t i = 0; i < SCENARIO_MAX_SERVERS; i++)
			owner_init (&sim->owners[d][i]);
	observers_init (sim);
	for (uint32_t i = 0; i < plan->scenario->work_count; i++)
	{
		const struct work *work = &plan->scenario->work[i];

		virtual_add (&sim->world, VIRTUAL_NO_NODE, sim->world.now_us,
		             (struct virtual_handler){ handle_arrival, sim }, &work, sizeof work);
	}
	if (plan->has_failover)
		run_fault (sim);
	else
		virtual_run (&sim->world, sim->end_us + SETTLE_US);
	check_logs (sim);
	observers_finish (sim);
	for (uint32_t d = 0; d < plan->scenario->databases; d++)
	{
		virtual_group_finish (&sim->groups[d]);
		for (uint32_t i = 0; i < SCENARIO_MAX_SERVERS; i++)
		{
			g_ptr_array_free (sim->owners[d][i].waiting, TRUE);
			for (uint32_t v = 0; v < plan->scenario->vms; v++)
				g_queue_clear (&sim->vms[v].pools[d][i].waiting);
		}
	}
	virtual_world_finish (&sim->world);
	g_ptr_array_free (sim->calls, TRUE);
	g_ptr_array_free (sim->memory, TRUE);
	g_free (sim->sessions);
	g_free (sim);
}
