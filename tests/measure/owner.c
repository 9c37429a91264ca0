/* Owner of one server: check, admission, statement, acknowledgement, and polls of the group. */
#include "simulation.h"

#include "common/clock.h"

#include <errno.h>

enum
{
	POLL_BUSY_US = 10 * US_PER_MS, /* While writes or reads wait for a position. */
	POLL_QUIET_US = 50 * US_PER_MS,
	OVERDUE_US = 400 * US_PER_MS, /* Beyond the expected run; more than one lost segment. */
	ACK_TIMEOUT_US = 2 * US_PER_S,
	ACK_CAPACITY = 4096,
	LAG_SHARE = 8,
	ATTEMPT_BITS = 6,
};

/* A statement on its connection. */
struct statement
{
	struct owner *owner;
	struct attempt attempt;
	int64_t started_us;
	bool is_over;
};

static void owner_pump (struct owner *owner);

static uint64_t
attempt_cookie (const struct attempt *attempt)
{
	return (uint64_t) attempt->call->id << ATTEMPT_BITS | attempt->number;
}

static struct attempt
attempt_find (const struct owner *owner, uint64_t cookie)
{
	return (struct attempt){ g_ptr_array_index (owner->sim->calls, cookie >> ATTEMPT_BITS),
		                     (uint32_t) (cookie & ((1u << ATTEMPT_BITS) - 1)), 0 };
}

static void
owner_answer (struct owner *owner, const struct attempt *attempt, enum outcome outcome,
              enum reason reason, struct log_position position)
{
	struct simulation *sim = owner->sim;
	struct answer answer = { *attempt, owner, outcome, reason, position, owner->self, { 0 } };

	for (int rank = 0; rank < RANK_COUNT; rank++)
		answer.queue_us[rank] =
			admission_expected_wait_us (owner->admission, (enum rank) rank, sim->world.now_us);
	virtual_send (&sim->world, true, owner->vm, (int) attempt->call->vm,
	              (struct virtual_handler){ entry_handle_answer, NULL }, &answer, sizeof answer);
}

static void
owner_refuse (struct owner *owner, const struct attempt *attempt, enum reason reason)
{
	owner_answer (owner, attempt, OUTCOME_REFUSED, reason, (struct log_position){ 0, 0 });
}

static void
owner_settle_writes (struct owner *owner)
{
	struct acknowledgement_result result;

	while ((result = acknowledgement_next (owner->ack, owner->sim->world.now_us)).verdict !=
	       ACKNOWLEDGEMENT_NONE)
	{
		struct attempt attempt = attempt_find (owner, result.cookie);

		if (result.verdict == ACKNOWLEDGEMENT_DONE)
			owner_answer (owner, &attempt, OUTCOME_DONE, REASON_NONE, result.position);
		else
			owner_answer (owner, &attempt, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED,
			              result.position);
	}
}

static void
owner_handle_overdue (void *context, const void *payload)
{
	struct statement *statement = context;
	struct owner *owner = statement->owner;
	const struct call *call = statement->attempt.call;
	int64_t now_us = owner->sim->world.now_us;

	if (statement->is_over)
		return;
	statement->is_over = true;
	observers_traffic (owner, false);
	admission_complete (owner->admission, call->work->rank, call->tenant,
	                    (uint32_t) (now_us - statement->started_us), now_us);
	owner_answer (owner, &statement->attempt, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
	              (struct log_position){ 0, 0 });
	owner_pump (owner);
}

static void
owner_handle_write (struct owner *owner, const struct attempt *attempt,
                    struct log_position position)
{
	int64_t deadline_us =
		MIN (attempt->call->deadline_us, owner->sim->world.now_us + ACK_TIMEOUT_US);

	if (owner->sim->plan->policy == POLICY_PRIMARY_ACK)
		owner_answer (owner, attempt, OUTCOME_DONE, REASON_NONE, position);
	else if (acknowledgement_add (owner->ack, attempt_cookie (attempt), position, deadline_us) < 0)
		owner_answer (owner, attempt, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED, position);
	owner_settle_writes (owner);
}

static void
owner_handle_reply (void *context, const void *payload)
{
	struct statement *statement = context;
	const struct virtual_reply *reply = payload;
	struct owner *owner = statement->owner;
	struct attempt attempt = statement->attempt;
	int64_t now_us = owner->sim->world.now_us;

	if (reply->result == 0)
		attempt.call->ran = true;
	if (statement->is_over)
		return;
	statement->is_over = true;
	observers_traffic (owner, true);
	admission_complete (owner->admission, attempt.call->work->rank, attempt.call->tenant,
	                    (uint32_t) (now_us - statement->started_us), now_us);
	owner->self.is_primary = reply->status.is_primary;
	if (log_position_covers (reply->status.position, owner->self.position))
		owner->self.position = reply->status.position;
	owner->self.position_at_us = now_us;
	if (reply->result == -EROFS)
		owner_refuse (owner, &attempt, REASON_NOT_PRIMARY);
	else if (attempt.call->work->kind == WORK_WRITE)
		owner_handle_write (owner, &attempt, reply->status.position);
	else
		owner_answer (owner, &attempt, OUTCOME_DONE, REASON_NONE, reply->status.position);
	owner_pump (owner);
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
		.is_once = true,
	};
	struct statement *statement = simulation_new (sim, sizeof *statement);

	*statement = (struct statement){ owner, *attempt, sim->world.now_us, false };
	virtual_group_call (&sim->groups[owner->database], owner->vm, owner->index, &request,
	                    (struct virtual_handler){ owner_handle_reply, statement });
	virtual_add (&sim->world, owner->vm, sim->world.now_us + call->run_us + OVERDUE_US,
	             (struct virtual_handler){ owner_handle_overdue, statement }, NULL, 0);
}

static void
owner_pump (struct owner *owner)
{
	struct admission_result result;

	while ((result = admission_next (owner->admission, owner->sim->world.now_us)).verdict !=
	       ADMISSION_NONE)
	{
		struct attempt attempt = attempt_find (owner, result.cookie);

		if (result.verdict == ADMISSION_START)
			owner_start (owner, &attempt);
		else
			owner_refuse (owner, &attempt, REASON_DEADLINE);
	}
}

static void
owner_handle_expiry (void *context, const void *payload)
{
	owner_pump (context);
}

static void
owner_admit (struct owner *owner, const struct attempt *attempt)
{
	struct simulation *sim = owner->sim;
	const struct call *call = attempt->call;
	struct admission_request request = {
		.cookie = attempt_cookie (attempt),
		.rank = call->work->rank,
		.tenant = call->tenant,
		.deadline_us = call->deadline_us - call->work->run_us,
		.expected_run_us = call->work->run_us,
	};
	struct admission_result result =
		admission_submit (owner->admission, &request, sim->world.now_us);

	if (result.verdict == ADMISSION_START)
		owner_start (owner, attempt);
	else if (result.verdict == ADMISSION_QUEUED)
		virtual_add (&sim->world, owner->vm, request.deadline_us + 1,
		             (struct virtual_handler){ owner_handle_expiry, owner }, NULL, 0);
	else
		owner_refuse (owner, attempt,
		              result.verdict == ADMISSION_FULL ? REASON_QUEUE_FULL : REASON_OVERLOAD);
}

/* @return whether the attempt still waits for a position. */
static bool
owner_check (struct owner *owner, const struct attempt *attempt)
{
	const struct call *call = attempt->call;
	struct routing_request request = {
		.is_write = call->work->kind == WORK_WRITE,
		.consistency = call->work->max_age_ms ? READ_BOUNDED : READ_SESSION,
		.required = call->required,
		.required_at_us = call->required_at_us,
		.max_age_us = (int64_t) call->work->max_age_ms * US_PER_MS,
		.deadline_us = MIN (call->deadline_us, attempt->wait_until_us),
	};
	struct routing_server self = owner->self;

	if (call->work->kind == WORK_PRIMARY_READ)
		request.consistency = READ_PRIMARY;
	self.link_us = 0;
	switch (routing_check_server (&self, &request, owner->sim->world.now_us))
	{
	case CHECK_WAIT:
		return true;
	case CHECK_SERVE:
		owner_admit (owner, attempt);
		break;
	case CHECK_BEHIND:
		owner_refuse (owner, attempt, REASON_BEHIND);
		break;
	case CHECK_TOO_OLD:
		owner_refuse (owner, attempt, REASON_TOO_OLD);
		break;
	case CHECK_NOT_PRIMARY:
		owner_refuse (owner, attempt, REASON_NOT_PRIMARY);
		break;
	}
	return false;
}

void
owner_handle_attempt (void *context, const void *payload)
{
	struct owner *owner = context;
	const struct attempt *attempt = payload;

	if (attempt->call->attempt == attempt->number)
		attempt->call->is_received = true;
	if (owner_check (owner, attempt))
		g_ptr_array_add (owner->waiting, g_memdup2 (attempt, sizeof *attempt));
}

static void
owner_recheck (struct owner *owner)
{
	for (guint i = 0; i < owner->waiting->len;)
	{
		if (owner_check (owner, g_ptr_array_index (owner->waiting, i)))
			i++;
		else
			g_ptr_array_remove_index_fast (owner->waiting, i);
	}
}

/* Lag and freshness: the position of a primary that a majority confirmed, asked at a local time, is
 * later held by the own server. */
static void
owner_sample (struct owner *owner, const struct poll_round *round)
{
	int64_t now_us = owner->sim->world.now_us;
	uint32_t majority = SCENARIO_MAX_SERVERS / 2 + 1;

	if (round && round->replies >= majority && round->primary.term != 0 &&
	    round->promised_term <= round->primary.term && owner->sample.sent_us == 0)
		owner->sample = *round;
	if (owner->sample.sent_us == 0 ||
	    !log_position_covers (owner->self.position, owner->sample.primary))
		return;
	owner->self.fresh_at_us = owner->sample.sent_us;
	if (!owner->self.is_primary)
	{
		int64_t lag_us = now_us - owner->sample.sent_us;

		owner->self.lag_us =
			owner->self.lag_us == 0
				? (uint32_t) lag_us
				: (uint32_t) (owner->self.lag_us + (lag_us - owner->self.lag_us) / LAG_SHARE);
	}
	owner->sample.sent_us = 0;
}

static void
owner_handle_status (void *context, const void *payload)
{
	struct owner *owner = context;
	const struct virtual_reply *reply = payload;
	struct poll_round *round = NULL;

	acknowledgement_report (owner->ack, reply->server, &reply->status);
	for (uint32_t i = 0; i < POLL_ROUNDS; i++)
		if (owner->rounds[i].sent_us == reply->sent_us)
			round = &owner->rounds[i];
	if (round)
	{
		round->replies++;
		if (reply->status.is_primary)
			round->primary = reply->status.position;
		round->promised_term = MAX (round->promised_term, reply->status.promised_term);
	}
	if (reply->server == owner->index)
	{
		owner->self.is_primary = reply->status.is_primary;
		owner->self.position = reply->status.position;
		owner->self.position_at_us = owner->sim->world.now_us;
	}
	owner_sample (owner, round);
	owner_settle_writes (owner);
	owner_recheck (owner);
}

static void
owner_handle_poll (void *context, const void *payload)
{
	struct owner *owner = context;
	struct simulation *sim = owner->sim;
	struct virtual_request request = { .type = VIRTUAL_STATUS };
	bool is_busy = acknowledgement_is_waiting (owner->ack) || owner->waiting->len > 0;

	owner->rounds[owner->next_round++ % POLL_ROUNDS] =
		(struct poll_round){ .sent_us = sim->world.now_us };
	for (uint32_t i = 0; i < SCENARIO_MAX_SERVERS; i++)
		virtual_group_call (&sim->groups[owner->database], owner->vm, i, &request,
		                    (struct virtual_handler){ owner_handle_status, owner });
	owner_settle_writes (owner);
	owner_recheck (owner);
	virtual_add (&sim->world, owner->vm,
	             sim->world.now_us + (is_busy ? POLL_BUSY_US : POLL_QUIET_US),
	             (struct virtual_handler){ owner_handle_poll, owner }, NULL, 0);
}

void
owner_init (struct owner *owner)
{
	struct simulation *sim = owner->sim;
	const struct scenario *scenario = sim->plan->scenario;
	struct admission_settings settings = { .slots = scenario->slots };

	for (int rank = 0; rank < RANK_COUNT; rank++)
	{
		settings.queue_limit[rank] = scenario->queue_limit;
		settings.floor_percent[rank] = scenario->floor_percent[rank];
	}
	owner->admission = admission_init (simulation_new (sim, admission_size (&settings)), &settings,
	                                   sim->world.now_us);
	owner->ack = acknowledgement_init (
		simulation_new (sim, acknowledgement_size (SCENARIO_MAX_SERVERS, ACK_CAPACITY)),
		SCENARIO_MAX_SERVERS, ACK_CAPACITY);
	owner->waiting = g_ptr_array_new_with_free_func (g_free);
	owner_handle_poll (owner, NULL);
}
