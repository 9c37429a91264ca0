#include "flamingospring/owner_private.h"

#include "common/clock.h"
#include "common/counters.h"

enum
{
	/* The primary's own answers only tell of a fence; the replicas' answers settle the writes. */
	PRIMARY_POLL_US = 10 * US_PER_MS,
	/* Questions are at most 1/16 of the usual wait apart, which adds as much to the wait at most. */
	POLL_SHARE = 16,
	POLL_MIN_US = US_PER_MS,
	POLL_MAX_US = 10 * US_PER_MS,
	MEAN_SHARE = 8,
};

int64_t
owner_acknowledge_interval_us (const struct owner *owner)
{
	return CLAMP (owner->acknowledge_mean_us / POLL_SHARE, POLL_MIN_US, POLL_MAX_US);
}

void
owner_acknowledge_poll (struct owner *owner, int64_t now_us)
{
	int64_t interval_us = owner_acknowledge_interval_us (owner);

	if (!acknowledgement_is_waiting (owner->acknowledgement))
		return;
	for (uint32_t i = 0; i < owner->database.server_count; i++)
	{
		int64_t asked_us = now_us - owner->monitors[i].sent_us;

		if (asked_us < (i == owner->server ? PRIMARY_POLL_US : interval_us))
			continue;
		owner_monitor_ask (&owner->monitors[i], false, now_us);
	}
}

static void
end_unknown (struct owner_task *task, enum counter counter, const char *message)
{
	counter_add (counter, 1);
	owner_task_finish (task, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED, message, NULL, 0);
}

static void
end_settled (struct owner_task *task)
{
	if (task->is_replay)
		counter_add (COUNTER_REPLAYS, 1);
	/* The stored mark rules out every attempt to commit the transaction. */
	if (task->end_reason == REASON_ROLLED_BACK)
		task->may_have_run = false;
	owner_task_finish (task, task->end_outcome, task->end_reason, task->failure, &task->rows, 0);
}

void
owner_acknowledge_settle (struct owner *owner)
{
	for (;;)
	{
		struct acknowledgement_result result =
			acknowledgement_next (owner->acknowledgement, clock_now_us ());
		struct owner_task **task;

		if (result.verdict == ACKNOWLEDGEMENT_NONE)
			return;
		task = handle_table_get (&owner->set->tasks, (uint32_t) result.cookie);
		INVARIANT (task && (*task)->state == TASK_ACKNOWLEDGING, "P4");
		if (!task)
			continue;
		switch (result.verdict)
		{
		case ACKNOWLEDGEMENT_DONE:
			(*task)->is_acknowledged = true;
			owner->acknowledge_mean_us +=
				(clock_now_us () - (*task)->acknowledge_us - owner->acknowledge_mean_us) /
				MEAN_SHARE;
			end_settled (*task);
			break;
		case ACKNOWLEDGEMENT_TIMEOUT:
			end_unknown (*task, COUNTER_ACKNOWLEDGE_TIMEOUTS, "no majority confirmed it in time");
			break;
		case ACKNOWLEDGEMENT_REPLACED:
			end_unknown (*task, COUNTER_ACKNOWLEDGE_REPLACED, "the primary was replaced");
			break;
		case ACKNOWLEDGEMENT_NONE:
			break;
		}
	}
}

void
owner_acknowledge (struct owner_task *task, struct log_position position)
{
	struct owner *owner = task->owner;
	int64_t now_us = clock_now_us ();
	int64_t deadline_us = now_us + owner->set->settings->acknowledge_timeout_us;

	owner_task_release_slot (task);
	trace_span_end (&task->span, NULL);
	task->span = trace_span_start (&task->trace, "acknowledge", random_next (&owner->random));
	task->state = TASK_ACKNOWLEDGING;
	task->written = position;
	task->acknowledge_us = now_us;
	if (task->deadline_us < deadline_us)
		deadline_us = task->deadline_us;
	if (owner->set->settings->acknowledge_at_primary)
	{
		end_settled (task);
		return;
	}
	/* A replaced primary drops the entries that the new one does not have. A position of another
	 * term than before the write may then stand for a log without the write. */
	if (position.term == 0 || (task->expected_term && position.term != task->expected_term))
	{
		end_unknown (task, COUNTER_ACKNOWLEDGE_REPLACED, "the term changed during the write");
		return;
	}
	if (acknowledgement_add (owner->acknowledgement, task->handle, position, deadline_us) < 0)
	{
		end_unknown (task, COUNTER_ACKNOWLEDGE_TIMEOUTS, "too many writes wait");
		return;
	}
	for (uint32_t i = 0; i < owner->database.server_count; i++)
		owner_monitor_ask (&owner->monitors[i], true, now_us);
	owner_acknowledge_settle (owner);
	owner_pump (owner);
	owner_schedule (owner);
}
