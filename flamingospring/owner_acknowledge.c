#include "flamingospring/owner_private.h"

#include "common/clock.h"
#include "common/counters.h"

enum
{
	/* The replicas' answers settle the writes and reveal a fence. The primary's reveal nothing
	 * more than a fence, so it is queried rarely. */
	PRIMARY_POLL_INTERVAL_US = 100 * US_PER_MS,
	/* Around the expected end of the wait, queries are 1/20 of the wait apart, which lengthens it
	 * by half of that, 1/40, on average. */
	POLL_INTERVAL_DIVISOR = 20,
	POLL_MIN_INTERVAL_US = US_PER_MS,
	POLL_MAX_INTERVAL_US = 50 * US_PER_MS,
	/* When the typical wait is shorter, each write queries the replicas at once. */
	SHORT_WAIT_US = 8 * US_PER_MS,
	WAIT_RISE_DIVISOR = 8,
};

/* Returns the time between queries for a wait of @p wait_us. */
static int64_t
poll_interval_us (int64_t wait_us)
{
	return CLAMP (wait_us / POLL_INTERVAL_DIVISOR, POLL_MIN_INTERVAL_US, POLL_MAX_INTERVAL_US);
}

/* Returns the age of a write at which to query next, when the last query was sent at @p age_us.
 * Before 7/8 of the typical wait, a few queries detect that the lag became shorter; after it, they
 * follow each other closely. */
static int64_t
next_query_age_us (int64_t age_us, int64_t wait_us)
{
	static const int64_t eighths[] = { 2, 5, 7 };
	int64_t earliest_us = age_us + poll_interval_us (wait_us);

	if (wait_us < SHORT_WAIT_US && age_us < 0)
		return 0;
	for (size_t i = 0; i < G_N_ELEMENTS (eighths); i++)
	{
		if (age_us < wait_us * eighths[i] / 8)
			return MAX (wait_us * eighths[i] / 8, earliest_us);
	}
	return age_us + poll_interval_us (MAX (wait_us, age_us));
}

/* Returns the time of the next query to a server for the write that waits for the lowest position.
 * Later writes get their queries once it has ended. */
static int64_t
query_due_us (const struct owner *owner, const struct owner_task *first, uint32_t server)
{
	int64_t sent_us = owner->monitors[server].monitor->sent_us;

	if (server == owner->server)
		return sent_us + PRIMARY_POLL_INTERVAL_US;
	return first->acknowledge_since_us +
	       next_query_age_us (sent_us - first->acknowledge_since_us, owner->acknowledge_wait_us);
}

static const struct owner_task *
find_lowest_write (const struct owner *owner)
{
	uint64_t cookie;
	struct owner_task **task;

	if (!acknowledgement_first (owner->acknowledgement, &cookie))
		return NULL;
	task = handle_table_get (&owner->set->tasks, (uint32_t) cookie);
	return task ? *task : NULL;
}

int64_t
owner_acknowledge_due_us (const struct owner *owner, int64_t now_us)
{
	const struct owner_task *first = find_lowest_write (owner);
	int64_t deadline_us = acknowledgement_next_deadline_us (owner->acknowledgement);
	int64_t due_us = INT64_MAX;

	if (!first)
		return INT64_MAX;
	for (uint32_t i = 0; i < owner->database.server_count; i++)
		due_us = MIN (due_us, query_due_us (owner, first, i));
	/* A query stays due while another is outstanding or the monitor has no connection; the interval
	 * keeps the timer from firing continuously. */
	due_us = MAX (due_us, now_us + poll_interval_us (owner->acknowledge_wait_us));
	return MIN (due_us, deadline_us);
}

void
owner_acknowledge_poll (struct owner *owner, int64_t now_us)
{
	const struct owner_task *first = find_lowest_write (owner);

	if (!first)
		return;
	for (uint32_t i = 0; i < owner->database.server_count; i++)
	{
		if (now_us >= query_due_us (owner, first, i))
			owner_monitor_query (owner->monitors[i].monitor, false, now_us);
	}
}

/* Follows shorter waits at once and longer ones slowly, so that one long wait does not delay the
 * queries of the next write. */
static void
update_acknowledge_wait (struct owner *owner, const struct owner_task *task)
{
	int64_t wait_us = clock_now_us () - task->acknowledge_since_us;

	/* The position of a replay was reached long ago. */
	if (task->is_replay)
		return;
	if (owner->acknowledge_wait_us == 0 || wait_us < owner->acknowledge_wait_us)
		owner->acknowledge_wait_us = wait_us;
	else
		owner->acknowledge_wait_us += (wait_us - owner->acknowledge_wait_us) / WAIT_RISE_DIVISOR;
}

static void
finish_unknown (struct owner_task *task, enum counter counter, const char *message)
{
	counter_add (counter, 1);
	owner_task_finish (task, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED, message, NULL, 0);
}

static void
finish_settled (struct owner_task *task)
{
	if (task->is_replay)
		counter_add (COUNTER_REPLAYS, 1);
	/* The stored mark proves that no attempt to commit the transaction has or will have an
	 * effect. */
	if (task->end_reason == REASON_ROLLED_BACK)
		task->may_have_run = false;
	owner_task_finish (task, task->end_outcome, task->end_reason, task->end_message, &task->rows,
	                   0);
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
			update_acknowledge_wait (owner, *task);
			finish_settled (*task);
			break;
		case ACKNOWLEDGEMENT_TIMEOUT:
			finish_unknown (*task, COUNTER_ACKNOWLEDGE_TIMEOUTS,
			                "no majority confirmed it in time");
			break;
		case ACKNOWLEDGEMENT_REPLACED:
			finish_unknown (*task, COUNTER_ACKNOWLEDGE_REPLACED, "the primary was replaced");
			break;
		case ACKNOWLEDGEMENT_NONE:
			break;
		}
	}
}

static void
query_replicas (struct owner *owner, int64_t now_us)
{
	for (uint32_t i = 0; i < owner->database.server_count; i++)
	{
		if (i != owner->server)
			owner_monitor_query (owner->monitors[i].monitor, true, now_us);
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
	task->span = trace_span_start (&task->trace, "acknowledge", random_next (&owner->random_state));
	task->state = TASK_ACKNOWLEDGING;
	task->written = position;
	task->acknowledge_since_us = now_us;
	if (task->deadline_us < deadline_us)
		deadline_us = task->deadline_us;
	if (owner->set->settings->acknowledge_at_primary)
	{
		finish_settled (task);
		return;
	}
	/* A replaced primary drops the entries that the new one does not have. When the term differs
	 * from that before the write, the position may belong to a log without the write. */
	if (position.term == 0 || (task->expected_term && position.term != task->expected_term))
	{
		finish_unknown (task, COUNTER_ACKNOWLEDGE_REPLACED, "the term changed during the write");
		return;
	}
	if (acknowledgement_add (owner->acknowledgement, task->handle, owner->server, position,
	                         deadline_us) < 0)
	{
		finish_unknown (task, COUNTER_ACKNOWLEDGE_TIMEOUTS, "too many writes wait");
		return;
	}
	if (owner->acknowledge_wait_us < SHORT_WAIT_US)
		query_replicas (owner, now_us);
	owner_acknowledge_settle (owner);
	owner_dispatch (owner);
	owner_schedule (owner);
}
