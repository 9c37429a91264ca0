/* Owner of one server: checks and admits requests, runs statements, waits for the acknowledgement of
 * writes, and polls the servers of the group. */
#include "simulation.h"

#include "common/clock.h"

#include <errno.h>

enum
{
	POLL_BUSY_US = 10 * US_PER_MS, /* While writes or reads wait for a position. */
	POLL_IDLE_US = 50 * US_PER_MS,
	OVERDUE_MARGIN_US = 400 * US_PER_MS, /* Beyond the expected run; more than one lost segment. */
	ACK_TIMEOUT_US = 2 * US_PER_S,
	ACK_CAPACITY = 4096,
	IDLE_TIMEOUT_US = 2 * US_PER_S,    /* Without requests, an owner stops polling. */
	DOWN_TIMEOUT_US = 300 * US_PER_MS, /* Without an answer to a poll or statement. */
	LAG_AVERAGE_DIVISOR = 8,
	ATTEMPT_BITS = 6,
};

static const struct log_position no_position = { 0, 0 };

/* Updates the owner's status of its server from a reply. Once the server has reached a position sampled
 * from the primary, its data is as fresh as the time of that sample, and the time since is the lag. */
static void
owner_update_status (struct owner *owner, const struct virtual_reply *reply)
{
	struct routing_server *self = &owner->self;
	int64_t lag_us = owner->sim->world->now_us - owner->sample.sent_us;

	owner->last_answer_us = owner->sim->world->now_us;
	self->is_primary = reply->status.is_primary;
	self->position_at_us = owner->last_answer_us;
	if (reply->result == 0)
		self->position = reply->status.position;
	if (owner->sample.sent_us == 0 ||
	    !log_position_covers (self->position, owner->sample.status.position))
		return;
	if (!self->is_primary)
		self->lag_us =
			(uint32_t) (self->lag_us ? self->lag_us + (lag_us - self->lag_us) / LAG_AVERAGE_DIVISOR
		                             : lag_us);
	self->fresh_at_us = owner->sample.sent_us;
	owner->sample.sent_us = 0;
}

/* A statement that runs on a connection of the server. */
struct statement
{
	struct owner *owner;
	struct attempt attempt;
	int64_t started_us;
	bool is_finished;
};

static bool
owner_is_pool (const struct owner *owner)
{
	return owner->sim->plan->policy == POLICY_VM_POOLS;
}

static uint64_t
attempt_cookie (const struct attempt *attempt)
{
	return (uint64_t) attempt->call->id << ATTEMPT_BITS | attempt->number;
}

static struct attempt
attempt_from_cookie (const struct owner *owner, uint64_t cookie)
{
	return (struct attempt){ g_ptr_array_index (owner->sim->calls, cookie >> ATTEMPT_BITS),
		                     (uint32_t) (cookie & ((1u << ATTEMPT_BITS) - 1)), 0 };
}

static void
owner_answer (struct owner *owner, const struct attempt *attempt, enum outcome outcome,
              enum reason reason, struct log_position position)
{
	struct virtual_world *world = owner->sim->world;
	struct answer answer = { *attempt, owner, outcome, reason, position, owner->self, { 0 } };

	for (int rank = 0; rank < RANK_COUNT; rank++)
		answer.queue_us[rank] =
			admission_expected_wait_us (owner->admission, (enum rank) rank, world->now_us);
	virtual_send (world, true, (int) owner->vm, (int) attempt->call->vm,
	              (struct virtual_handler){ entry_handle_answer, NULL }, &answer, sizeof answer);
}

static void
owner_answer_writes (struct owner *owner)
{
	struct acknowledgement_result result;

	while ((result = acknowledgement_next (owner->ack, owner->sim->world->now_us)).verdict !=
	       ACKNOWLEDGEMENT_NONE)
	{
		struct attempt attempt = attempt_from_cookie (owner, result.cookie);
		bool is_done = result.verdict == ACKNOWLEDGEMENT_DONE;

		owner_answer (owner, &attempt, is_done ? OUTCOME_DONE : OUTCOME_UNKNOWN,
		              is_done ? REASON_NONE : REASON_NOT_ACKNOWLEDGED, result.position);
	}
}

static void owner_process_queue (struct owner *owner);

/* Frees the slot and the connection of a statement. */
static void
statement_end (struct statement *statement, bool answered)
{
	struct owner *owner = statement->owner;
	const struct call *call = statement->attempt.call;
	struct fleet_group *group = &owner->sim->fleet.vms[owner->vm].groups[owner->database];
	int64_t now_us = owner->sim->world->now_us;

	statement->is_finished = true;
	if (group->is_observer)
		failover_handle_traffic (&group->failover, owner->index, answered, now_us);
	admission_complete (owner->admission, owner_is_pool (owner) ? RANK_NORMAL : call->work->rank,
	                    call->tenant, (uint32_t) (now_us - statement->started_us), now_us);
	owner_process_queue (owner);
}

static void
owner_handle_overdue (void *context, const void *payload)
{
	struct statement *statement = context;

	if (statement->is_finished)
		return;
	owner_answer (statement->owner, &statement->attempt, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
	              no_position);
	statement_end (statement, false);
}

static void
owner_handle_reply (void *context, const void *payload)
{
	struct statement *statement = context;
	const struct virtual_reply *reply = payload;
	struct owner *owner = statement->owner;
	struct call *call = statement->attempt.call;
	struct log_position position = reply->status.position;
	enum policy policy = owner->sim->plan->policy;

	call->ran |= reply->result == 0;
	if (statement->is_finished)
		return;
	if (reply->result == 0)
		owner->sim->results->slot_time_us[call->work->rank] += call->run_us;
	owner_update_status (owner, reply);
	if (reply->result == -EROFS)
		owner_answer (owner, &statement->attempt, OUTCOME_REFUSED, REASON_NOT_PRIMARY, position);
	else if (call->work->kind != WORK_WRITE || policy == POLICY_VM_POOLS ||
	         policy == POLICY_PRIMARY_ACK)
		owner_answer (owner, &statement->attempt, OUTCOME_DONE, REASON_NONE, position);
	else if (acknowledgement_add (
				 owner->ack, attempt_cookie (&statement->attempt), owner->index, position,
				 MIN (call->deadline_us, owner->sim->world->now_us + ACK_TIMEOUT_US)) < 0)
		owner_answer (owner, &statement->attempt, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED,
		              position);
	owner_answer_writes (owner);
	statement_end (statement, true);
}

static void
owner_start (struct owner *owner, const struct attempt *attempt)
{
	struct simulation *sim = owner->sim;
	const struct call *call = attempt->call;
	struct virtual_request request = {
		.type = call->work->kind == WORK_WRITE ? VIRTUAL_WRITE : VIRTUAL_READ,
		.value = call->id + 1,
		.run_us = call->run_us,
		.has_request_id = !owner_is_pool (owner),
	};
	int64_t overdue_us = sim->world->now_us + call->run_us + OVERDUE_MARGIN_US;
	struct statement *statement = simulation_alloc (sim, sizeof *statement);

	/* Statements of a pool may also wait for a slot inside the server. */
	if (owner_is_pool (owner))
		overdue_us = call->deadline_us + OVERDUE_MARGIN_US;
	*statement = (struct statement){ owner, *attempt, sim->world->now_us, false };
	virtual_group_call (&sim->fleet.groups[owner->database], (int) owner->vm, owner->index,
	                    &request, (struct virtual_handler){ owner_handle_reply, statement });
	virtual_schedule (sim->world, (int) owner->vm, overdue_us,
	                  (struct virtual_handler){ owner_handle_overdue, statement }, NULL, 0);
}

static void
owner_process_queue (struct owner *owner)
{
	struct admission_result result;

	while ((result = admission_next (owner->admission, owner->sim->world->now_us)).verdict !=
	       ADMISSION_NONE)
	{
		struct attempt attempt = attempt_from_cookie (owner, result.cookie);

		/* A pool drops attempts that were given up while they were queued. */
		if (result.verdict == ADMISSION_START && owner_is_pool (owner) &&
		    (attempt.call->is_done || attempt.call->attempt != attempt.number))
			admission_complete (owner->admission, RANK_NORMAL, attempt.call->tenant, 0,
			                    owner->sim->world->now_us);
		else if (result.verdict == ADMISSION_START)
			owner_start (owner, &attempt);
		else
			owner_answer (owner, &attempt, OUTCOME_REFUSED, REASON_DEADLINE, no_position);
	}
}

static void
owner_handle_expiry (void *context, const void *payload)
{
	owner_process_queue (context);
}

static void
owner_admit (struct owner *owner, const struct attempt *attempt)
{
	struct virtual_world *world = owner->sim->world;
	const struct call *call = attempt->call;
	uint32_t run_us = call->work->run_ms * US_PER_MS;
	struct admission_request request = { attempt_cookie (attempt), call->work->rank, call->tenant,
		                                 call->deadline_us - run_us, run_us };
	struct admission_result result;

	/* Equal deadlines make the pool's queue FIFO. */
	if (owner_is_pool (owner))
	{
		request.rank = RANK_NORMAL;
		request.deadline_us = INT64_MAX - 1;
	}
	result = admission_submit (owner->admission, &request, world->now_us);
	if (result.verdict == ADMISSION_START)
		owner_start (owner, attempt);
	else if (result.verdict == ADMISSION_QUEUED)
		virtual_schedule (world, (int) owner->vm, request.deadline_us + 1,
		                  (struct virtual_handler){ owner_handle_expiry, owner }, NULL, 0);
	else
		owner_answer (owner, attempt, OUTCOME_REFUSED, REASON_OVERLOAD, no_position);
}

/* Admits or refuses an attempt. @return whether it has to wait until the server reaches a position. */
static bool
owner_check_attempt (struct owner *owner, const struct attempt *attempt)
{
	static const enum reason reasons[] = { [CHECK_BEHIND] = REASON_BEHIND,
		                                   [CHECK_TOO_OLD] = REASON_TOO_OLD,
		                                   [CHECK_NOT_PRIMARY] = REASON_NOT_PRIMARY };
	struct routing_request request = call_routing (attempt->call);
	enum routing_check check = CHECK_SERVE;

	request.deadline_us = MIN (request.deadline_us, attempt->wait_until_us);
	owner->self.is_down = !owner_is_pool (owner) &&
	                      owner->sim->world->now_us - owner->last_answer_us > DOWN_TIMEOUT_US;
	if (!owner_is_pool (owner))
		check = routing_check_server (&owner->self, &request, owner->sim->world->now_us);
	if (owner->self.is_down)
	{
		owner_answer (owner, attempt, OUTCOME_REFUSED, REASON_UPSTREAM_DOWN, no_position);
		return false;
	}
	if (check == CHECK_SERVE)
		owner_admit (owner, attempt);
	else if (check != CHECK_WAIT)
		owner_answer (owner, attempt, OUTCOME_REFUSED, reasons[check], no_position);
	return check == CHECK_WAIT;
}

static void
owner_recheck_waiting (struct owner *owner)
{
	for (guint i = owner->waiting->len; i > 0; i--)
		if (!owner_check_attempt (owner, &g_array_index (owner->waiting, struct attempt, i - 1)))
			g_array_remove_index_fast (owner->waiting, i - 1);
}

static void
owner_handle_status (void *context, const void *payload)
{
	struct owner *owner = context;
	const struct virtual_reply *reply = payload;

	acknowledgement_report (owner->ack, reply->server, &reply->status);
	if (reply->server == owner->index)
		owner_update_status (owner, reply);
	if (reply->status.is_primary && owner->sample.sent_us == 0)
		owner->sample = *reply;
	owner_answer_writes (owner);
	owner_recheck_waiting (owner);
}

static void
owner_handle_poll (void *context, const void *payload)
{
	struct owner *owner = context;
	struct virtual_world *world = owner->sim->world;
	struct virtual_request request = { .type = VIRTUAL_STATUS };
	bool is_busy = acknowledgement_is_waiting (owner->ack) || owner->waiting->len > 0;

	owner->is_polling = is_busy || world->now_us - owner->last_request_us < IDLE_TIMEOUT_US;
	if (!owner->is_polling)
		return;
	for (uint32_t i = 0; i < SERVERS; i++)
		virtual_group_call (&owner->sim->fleet.groups[owner->database], (int) owner->vm, i,
		                    &request, (struct virtual_handler){ owner_handle_status, owner });
	owner_answer_writes (owner);
	owner_recheck_waiting (owner);
	virtual_schedule (world, (int) owner->vm,
	                  world->now_us + (is_busy ? POLL_BUSY_US : POLL_IDLE_US),
	                  (struct virtual_handler){ owner_handle_poll, owner }, NULL, 0);
}

void
owner_handle_attempt (void *context, const void *payload)
{
	struct owner *owner = context;
	const struct attempt *attempt = payload;

	if (attempt->call->attempt == attempt->number)
		attempt->call->is_received = true;
	owner->last_request_us = owner->sim->world->now_us;
	if (!owner->is_polling && !owner_is_pool (owner))
	{
		owner->last_answer_us = owner->last_request_us;
		owner_handle_poll (owner, NULL);
	}
	if (owner_check_attempt (owner, attempt))
		g_array_append_vals (owner->waiting, attempt, 1);
}

void
owner_init (struct owner *owner)
{
	const struct scenario *scenario = owner->sim->plan->scenario;
	struct admission_settings settings = {
		.slots = scenario->slots,
		.queue_limit = { scenario->queue_limit, scenario->queue_limit, scenario->queue_limit },
		.floor_percent = { 0, scenario->floor_normal_percent, scenario->floor_low_percent },
	};

	if (owner_is_pool (owner))
		settings.slots = scenario->connections / scenario->vms;
	owner->admission = admission_init (simulation_alloc (owner->sim, admission_size (&settings)),
	                                   &settings, owner->sim->world->now_us);
	owner->ack = acknowledgement_init (
		simulation_alloc (owner->sim, acknowledgement_size (SERVERS, ACK_CAPACITY)), SERVERS,
		ACK_CAPACITY);
	owner->waiting = g_array_new (FALSE, FALSE, sizeof (struct attempt));
}
