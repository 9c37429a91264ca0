/* Entry VM: route, forward, retry; and the baseline of per-VM pools. */
#include "simulation.h"

#include "common/clock.h"

#include <errno.h>

enum
{
	SILENT_US = 300 * US_PER_MS, /* A peer that has not taken a request by then is silent. */
	BACKOFF_MIN_US = 20 * US_PER_MS,
	BACKOFF_MAX_US = 200 * US_PER_MS,
	MAX_ATTEMPTS = 40,
	POOL_OVERDUE_US = 1 * US_PER_S,
};

static void entry_route (struct call *call);

static void
entry_handle_retry (void *context, const void *payload)
{
	struct call *call = context;

	if (!call->is_done && !call->is_pending)
		entry_route (call);
}

static void
entry_retry_later (struct call *call)
{
	struct simulation *sim = call->sim;
	int64_t delay_us = backoff_delay_us (call->attempt, BACKOFF_MIN_US, BACKOFF_MAX_US,
	                                     virtual_random (&sim->world));

	call->excluded = 0;
	virtual_add (&sim->world, (int) call->vm, sim->world.now_us + delay_us,
	             (struct virtual_handler){ entry_handle_retry, call }, NULL, 0);
}

static void
entry_handle_silence (void *context, const void *payload)
{
	const struct attempt *attempt = payload;
	struct call *call = attempt->call;
	struct view *view = &call->sim->vms[call->vm].views[call->database][call->server];

	if (call->is_done || call->attempt != attempt->number || call->is_received)
		return;
	circuit_report (&view->circuit, false, call->sim->world.now_us);
	/* It may still arrive, so that only a read or a call with a request id is sent again. */
	call->may_have_run = true;
	call->is_pending = false;
	entry_retry_later (call);
}

static void
entry_route (struct call *call)
{
	struct simulation *sim = call->sim;
	struct vm *vm = &sim->vms[call->vm];
	int64_t now_us = sim->world.now_us;
	struct routing_server servers[SCENARIO_MAX_SERVERS];
	struct routing_request request = {
		.is_write = call->work->kind == WORK_WRITE,
		.consistency = call->work->max_age_ms ? READ_BOUNDED : READ_SESSION,
		.required = call->required,
		.required_at_us = call->required_at_us,
		.max_age_us = (int64_t) call->work->max_age_ms * US_PER_MS,
		.deadline_us = call->deadline_us,
		.excluded = call->excluded,
	};
	struct routing_choice choice;
	struct attempt attempt = { call, ++call->attempt, 0 };

	if (call->work->kind == WORK_PRIMARY_READ || sim->plan->policy == POLICY_PRIMARY_READS)
		request.consistency = READ_PRIMARY;
	for (uint32_t i = 0; i < SCENARIO_MAX_SERVERS; i++)
	{
		struct view *view = &vm->views[call->database][i];

		servers[i] = view->server;
		servers[i].queue_us = view->queue_us[call->work->rank];
		servers[i].is_down = view->circuit.state != CIRCUIT_CLOSED &&
		                     now_us - view->circuit.opened_at_us < view->circuit.open_us;
	}
	choice = routing_choose (servers, SCENARIO_MAX_SERVERS, &request, virtual_random (&sim->world),
	                         now_us);
	if (choice.action == ROUTE_NONE || call->attempt > MAX_ATTEMPTS)
	{
		if (call->attempt <= MAX_ATTEMPTS)
			entry_retry_later (call);
		return;
	}
	circuit_allows (&vm->views[call->database][choice.server].circuit, now_us);
	call->server = choice.server;
	call->is_pending = true;
	call->is_received = false;
	/* A wait at the owner that takes longer than planned gives way to another server. */
	attempt.wait_until_us = now_us + servers[choice.server].link_us + 50 * US_PER_MS +
	                        (choice.action == ROUTE_WAIT ? 2 * (int64_t) choice.wait_us : 0);
	virtual_add (&sim->world, (int) call->vm, now_us + SILENT_US,
	             (struct virtual_handler){ entry_handle_silence, NULL }, &attempt, sizeof attempt);
	virtual_send (&sim->world, true, (int) call->vm, sim->owners[call->database][choice.server].vm,
	              (struct virtual_handler){ owner_handle_attempt,
	                                        &sim->owners[call->database][choice.server] },
	              &attempt, sizeof attempt);
}

static void
entry_learn (struct view *view, const struct answer *answer, int64_t now_us)
{
	view->server.position = answer->self.position;
	view->server.position_at_us = now_us;
	view->server.lag_us = answer->self.lag_us;
	view->server.fresh_at_us = answer->self.fresh_at_us;
	memcpy (view->queue_us, answer->queue_us, sizeof view->queue_us);
	circuit_report (&view->circuit, true, now_us);
}

void
entry_learn_primary (struct simulation *sim, uint32_t vm, uint32_t database, uint64_t term,
                     uint32_t server)
{
	if (term <= sim->vms[vm].term[database])
		return;
	sim->vms[vm].term[database] = term;
	for (uint32_t i = 0; i < SCENARIO_MAX_SERVERS; i++)
		sim->vms[vm].views[database][i].server.is_primary = i == server;
}

void
entry_handle_answer (void *context, const void *payload)
{
	const struct answer *answer = payload;
	struct call *call = answer->attempt.call;
	struct simulation *sim = call->sim;
	struct vm *vm = &sim->vms[call->vm];

	entry_learn (&vm->views[call->database][answer->owner->index], answer, sim->world.now_us);
	if (answer->self.is_primary)
		entry_learn_primary (sim, call->vm, call->database, answer->self.position.term,
		                     answer->owner->index);
	if (call->is_done || !call->is_pending || call->attempt != answer->attempt.number)
		return;
	call->is_pending = false;
	if (answer->outcome == OUTCOME_DONE)
	{
		call_finish (call, OUTCOME_DONE, !answer->self.is_primary, answer->position);
		return;
	}
	if (answer->outcome == OUTCOME_UNKNOWN)
		call->may_have_run = true;
	call->excluded |= 1u << answer->owner->index;
	if (answer->reason == REASON_BEHIND || answer->reason == REASON_TOO_OLD)
		entry_route (call);
	else if (answer->reason == REASON_NOT_PRIMARY || answer->outcome == OUTCOME_UNKNOWN)
		entry_retry_later (call);
	else if (call->work->kind == WORK_READ && retry_budget_take (&vm->budget))
		entry_route (call);
	else
		call_finish (call, call->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_REFUSED, false,
		             (struct log_position){ 0, 0 });
}

static void
entry_handle_deadline (void *context, const void *payload)
{
	struct call *call = context;
	bool is_unknown = call->may_have_run || call->is_pending;

	if (!call->is_done)
		call_finish (call, is_unknown ? OUTCOME_UNKNOWN : OUTCOME_REFUSED, false,
		             (struct log_position){ 0, 0 });
}

void
entry_begin (struct call *call)
{
	retry_budget_count_attempt (&call->sim->vms[call->vm].budget);
	virtual_add (&call->sim->world, (int) call->vm, call->deadline_us,
	             (struct virtual_handler){ entry_handle_deadline, call }, NULL, 0);
	entry_route (call);
}

/* A statement of POLICY_VM_POOLS on its connection. */
struct pooled
{
	struct call *call;
	uint32_t server;
	bool is_over;
};

static void pool_submit (struct call *call);

static void
pool_release (struct call *call, uint32_t server)
{
	struct pool *pool = &call->sim->vms[call->vm].pools[call->database][server];

	pool->busy--;
	while (!g_queue_is_empty (&pool->waiting))
	{
		struct call *next = g_queue_pop_head (&pool->waiting);

		if (next->is_done)
			continue;
		next->server = server;
		pool_submit (next);
		return;
	}
}

static void
pool_handle_reply (void *context, const void *payload)
{
	struct pooled *pooled = context;
	const struct virtual_reply *reply = payload;
	struct call *call = pooled->call;

	if (reply->result == 0)
		call->ran = true;
	if (!pooled->is_over)
	{
		pooled->is_over = true;
		pool_release (call, pooled->server);
	}
	if (!call->is_done)
		call_finish (call, reply->result == 0 ? OUTCOME_DONE : OUTCOME_REFUSED,
		             !reply->status.is_primary, reply->status.position);
}

static void
pool_handle_overdue (void *context, const void *payload)
{
	struct pooled *pooled = context;

	if (pooled->is_over)
		return;
	pooled->is_over = true;
	pool_release (pooled->call, pooled->server);
}

static void
pool_submit (struct call *call)
{
	struct simulation *sim = call->sim;
	struct pool *pool = &sim->vms[call->vm].pools[call->database][call->server];
	struct virtual_request request = {
		.type = call->work->kind == WORK_WRITE ? VIRTUAL_WRITE : VIRTUAL_READ,
		.value = call->id + 1,
		.run_us = call->run_us,
	};
	struct pooled *pooled;

	if (pool->busy >= sim->plan->scenario->connections / sim->plan->scenario->vms)
	{
		g_queue_push_tail (&pool->waiting, call);
		return;
	}
	pool->busy++;
	pooled = simulation_new (sim, sizeof *pooled);
	*pooled = (struct pooled){ call, call->server, false };
	virtual_group_call (&sim->groups[call->database], (int) call->vm, call->server, &request,
	                    (struct virtual_handler){ pool_handle_reply, pooled });
	virtual_add (&sim->world, (int) call->vm, call->deadline_us + POOL_OVERDUE_US,
	             (struct virtual_handler){ pool_handle_overdue, pooled }, NULL, 0);
}

/* The caller takes an expired time limit for "not run" and sends a write once more, without a
 * request id; then it gives up. */
static void
pool_handle_timeout (void *context, const void *payload)
{
	struct call *call = context;

	if (call->is_done)
		return;
	if (call->work->kind != WORK_WRITE || call->attempt > 0)
	{
		call_finish (call, OUTCOME_REFUSED, false, (struct log_position){ 0, 0 });
		return;
	}
	call->attempt++;
	call->deadline_us += (int64_t) call->work->timeout_ms * US_PER_MS;
	pool_begin (call);
}

void
pool_begin (struct call *call)
{
	struct simulation *sim = call->sim;
	const struct view *views = sim->vms[call->vm].views[call->database];
	uint32_t primary = 0;

	while (primary < SCENARIO_MAX_SERVERS - 1 && !views[primary].server.is_primary)
		primary++;
	call->server = primary;
	if (call->work->kind == WORK_READ)
		call->server =
			(primary + 1 + (uint32_t) (virtual_random (&sim->world) % (SCENARIO_MAX_SERVERS - 1))) %
			SCENARIO_MAX_SERVERS;
	virtual_add (&sim->world, (int) call->vm, call->deadline_us,
	             (struct virtual_handler){ pool_handle_timeout, call }, NULL, 0);
	pool_submit (call);
}
