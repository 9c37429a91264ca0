#include "flamingospring/owner_private.h"

#include "common/clock.h"
#include "common/counters.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	REQUEST_RETRY_MIN_US = 2 * US_PER_MS,
	REQUEST_RETRY_MAX_US = 100 * US_PER_MS,
	/* Queued work may still start this long after the server was marked as leaving. Guarantee P7
	 * allows 3 s, including the time until the mark has reached this VM. */
	REQUEST_LEAVING_GRACE_US = 1500 * US_PER_MS,
	REQUEST_BEGIN_LIMIT_US = US_PER_S, /* Run limit of BEGIN. */
};

static void handle_connection (struct pool_user *user, int error);
static void handle_answer (struct pool_user *user, const struct upstream_answer *answer);
static void handle_overdue (struct pool_user *user);
static void handle_closed (struct pool_user *user);

static const struct pool_user_ops request_user_ops = {
	.handle_connection = handle_connection,
	.handle_answer = handle_answer,
	.handle_overdue = handle_overdue,
	.handle_closed = handle_closed,
};

static struct owner_task *
task_from_pool_user (struct pool_user *user)
{
	return (struct owner_task *) ((char *) user - offsetof (struct owner_task, user));
}

static size_t
request_copy_size (const struct fs_execute_args *args, const struct schema_call *call)
{
	size_t bytes = strlen (args->request_id ? args->request_id : "") + 1;

	bytes += call ? strlen (call->statement) + 1 : 0;
	for (u_int i = 0; i < args->params.params_len; i++)
	{
		const fs_value value = args->params.params_val[i];

		bytes += value ? strlen (*value) + 1 : 0;
	}
	return bytes + args->params.params_len * sizeof (char *);
}

static char *
copy_text (char **space, const char *text)
{
	size_t length = strlen (text) + 1;
	char *copy = *space;

	memcpy (copy, text, length);
	*space += length;
	return copy;
}

/* Copies everything, since a statement may go on running after its caller disconnected. */
static void
copy_request (struct owner_task *task, const struct fs_execute_args *args,
              const struct schema_call *call)
{
	char *space;

	task->params = (const char **) (task + 1);
	task->param_count = args->params.params_len;
	space = (char *) (task->params + task->param_count);
	for (size_t i = 0; i < task->param_count; i++)
	{
		const fs_value value = args->params.params_val[i];

		task->params[i] = value ? copy_text (&space, *value) : NULL;
	}
	task->request_id = copy_text (&space, args->request_id ? args->request_id : "");
	if (call)
		task->statement = copy_text (&space, call->statement);
}

static void
copy_call (struct owner_task *task, const struct schema_call *call)
{
	task->is_write = call->is_write;
	task->is_idempotent = call->is_idempotent;
	task->rank = call->rank;
	task->consistency = call->consistency;
	task->max_age_us = (int64_t) call->max_age_ms * US_PER_MS;
	task->run_limit_us = (int64_t) call->run_limit_ms * US_PER_MS;
	task->is_at_most_once =
		task->operation == FS_OPERATION_CALL && call->is_write && !call->is_idempotent;
}

static void handle_timer (struct loop_timer *timer, int64_t now_us);

struct owner_task *
owner_task_new (struct owner *owner, struct owner_request *request, const struct schema_call *call,
                uint32_t tenant)
{
	const struct fs_execute_args *args = request->args;
	struct owner_task *task = calloc (1, sizeof *task + request_copy_size (args, call));
	struct owner_task **entry;

	if (!task)
		return NULL;
	task->handle = handle_table_add (&owner->set->tasks);
	entry = handle_table_get (&owner->set->tasks, task->handle);
	if (!entry)
	{
		free (task);
		return NULL;
	}
	*entry = task;
	task->owner = owner;
	task->request = request;
	request->handle = task->handle;
	task->operation = args->operation;
	task->transaction_id = args->transaction;
	task->rank = RANK_NORMAL;
	task->consistency = READ_PRIMARY;
	task->run_limit_us = REQUEST_BEGIN_LIMIT_US;
	task->tenant = tenant;
	task->deadline_us = request->deadline_us;
	task->arrived_us = clock_now_us ();
	task->required = (struct log_position){ args->required.term, args->required.index };
	task->wait_until_us = task->deadline_us;
	if (args->wait_ms != 0)
		task->wait_until_us =
			MIN (task->deadline_us, task->arrived_us + (int64_t) args->wait_ms * US_PER_MS);
	copy_request (task, args, call);
	if (call)
		copy_call (task, call);
	task->user.ops = &request_user_ops;
	task->timer.handle_timer = handle_timer;
	task->timer.data = task;
	task->link.data = task;
	task->wait_link.data = task;
	task->trace = request->trace;
	task->span = trace_span_start (&task->trace, "admission", random_next (&owner->random_state));
	g_queue_push_tail_link (&owner->tasks, &task->link);
	owner_schedule (owner);
	return task;
}

static enum routing_check
check_server (const struct owner_task *task, int64_t now_us)
{
	const struct owner *owner = task->owner;
	struct routing_server server = {
		.is_primary = owner_is_primary (owner),
		.lag_us = owner->freshness.lag_us,
		.position = owner->position,
		.position_at_us = owner->position_at_us,
		.fresh_at_us = owner->freshness.fresh_at_us,
	};
	struct routing_request request = {
		.consistency = task->consistency,
		.required = task->required,
		.max_age_us = task->max_age_us,
		.deadline_us = task->deadline_us,
	};

	return routing_check_server (&server, &request, now_us);
}

/* Queries the status of all servers of the group for a bounded read. */
static void
start_freshness_round (struct owner *owner, int64_t now_us)
{
	if (!freshness_start_round (&owner->freshness, now_us))
		return;
	for (uint32_t i = 0; i < owner->database.server_count; i++)
		owner_monitor_query (owner->monitors[i].monitor, true, now_us);
}

static void
refuse_read (struct owner_task *task, enum routing_check check)
{
	enum reason reason = REASON_BEHIND;

	if (check == CHECK_NOT_PRIMARY)
		reason = REASON_NOT_PRIMARY;
	else if (check == CHECK_TOO_OLD || log_position_covers (task->owner->position, task->required))
		reason = REASON_TOO_OLD;
	if (reason == REASON_BEHIND)
		counter_add (COUNTER_READS_BEHIND, 1);
	if (reason == REASON_TOO_OLD)
		counter_add (COUNTER_READS_TOO_OLD, 1);
	owner_task_refuse (task, reason, 0);
}

static bool
has_failed_since (const struct owner *owner, int64_t since_us)
{
	return owner->monitors[owner->server].monitor->failed_at_us >= since_us;
}

void
owner_task_check_server (struct owner_task *task)
{
	struct owner *owner = task->owner;
	int64_t now_us = clock_now_us ();
	enum routing_check check = check_server (task, now_us);
	bool is_fresh = owner->status_queried_us[owner->server] >= task->arrived_us;
	bool needs_age =
		task->consistency == READ_BOUNDED && log_position_covers (owner->position, task->required);

	owner->last_read_us = now_us;
	if (check == CHECK_SERVE)
	{
		/* Starts the next round before the age limit is reached, so that reads do not wait for
		 * it. */
		if (needs_age && now_us - owner->freshness.fresh_at_us > task->max_age_us / 2)
			start_freshness_round (owner, now_us);
		owner_task_admit (task);
		return;
	}
	if (now_us >= task->deadline_us || (is_fresh && check != CHECK_WAIT) ||
	    (now_us >= task->wait_until_us && !log_position_covers (owner->position, task->required)))
	{
		refuse_read (task, check);
		return;
	}
	if (has_failed_since (owner, task->arrived_us) && !is_fresh)
	{
		owner_task_refuse (task, REASON_UPSTREAM_DOWN, US_PER_S / 10);
		return;
	}
	/* The result of a round exceeds the age limit max_age after the round's start. One that started
	 * when the request arrived has exceeded it by now, so no further one is tried. */
	if (needs_age && now_us - task->arrived_us > task->max_age_us)
	{
		refuse_read (task, CHECK_TOO_OLD);
		return;
	}
	if (needs_age)
		start_freshness_round (owner, now_us);
	owner_query_status (owner, !is_fresh);
	task->state = TASK_CHECKING;
	g_queue_push_tail_link (&owner->checking, &task->wait_link);
	owner_schedule (owner);
}

/* Returns the latest start that leaves the time of an average run, but reserves at most half of the
 * remaining time. */
static int64_t
latest_start_us (const struct owner_task *task, int64_t now_us)
{
	int64_t run_us = task->owner->run_mean_us[task->rank];
	int64_t half_us = (task->deadline_us - now_us) / 2;

	if (run_us > half_us)
		run_us = half_us;
	return task->deadline_us - (run_us > 0 ? run_us : 0);
}

void
owner_task_admit (struct owner_task *task)
{
	struct owner *owner = task->owner;
	int64_t now_us = clock_now_us ();
	struct admission_request request = {
		.cookie = task->handle,
		.rank = task->rank,
		.tenant = task->tenant,
		.deadline_us = latest_start_us (task, now_us),
	};
	struct admission_result result = admission_submit (owner->admission, &request, now_us);

	switch (result.verdict)
	{
	case ADMISSION_START:
		owner_task_start (task);
		return;
	case ADMISSION_QUEUED:
		task->state = TASK_QUEUED;
		owner_schedule (owner);
		return;
	default:
		counter_add (COUNTER_ADMISSION_REFUSED, 1);
		task->state = TASK_NEW;
		owner_task_refuse (task,
		                   result.verdict == ADMISSION_FULL ? REASON_QUEUE_FULL : REASON_OVERLOAD,
		                   result.retry_after_us);
		return;
	}
}

static void
handle_send_result (struct owner_task *task, int result)
{
	struct owner *owner = task->owner;

	if (result == 0)
		return;
	/* Nothing was sent, so the request can be retried on another connection. */
	task->state = TASK_STARTING;
	owner_query_status (owner, true);
	if (task->is_at_most_once)
		owner_once_handle_lost (task, false);
	else
		owner_task_retry (task);
}

void
owner_task_execute (struct owner_task *task, const char *statement, const char *const *params,
                    size_t param_count)
{
	INVARIANT (!task->transaction, "P3");
	task->state = TASK_RUNNING;
	handle_send_result (
		task, owner_pool_execute (&task->user, statement, params, param_count, task->run_limit_us));
}

void
owner_task_execute_batch (struct owner_task *task, const struct upstream_statement *statements,
                          size_t count)
{
	INVARIANT (!task->transaction, "P3");
	task->state = TASK_RUNNING;
	handle_send_result (
		task, owner_pool_execute_batch (&task->user, statements, count, task->run_limit_us));
}

static void
task_run (struct owner_task *task)
{
	loop_cancel_timer (task->owner->set->loop, &task->timer);
	task->is_retrying = false;
	if (clock_now_us () >= task->deadline_us)
		owner_task_refuse (task, REASON_DEADLINE, 0);
	else if (task->is_at_most_once)
		owner_once_run (task);
	else if (task->operation == FS_OPERATION_BEGIN)
		owner_task_execute (task, "BEGIN", NULL, 0);
	else
		owner_task_execute (task, task->statement, task->params, task->param_count);
}

static void
task_connect (struct owner_task *task)
{
	struct owner *owner = task->owner;
	int result = owner_pool_acquire (&owner->pool, &task->user);

	if (result == 0)
		task_run (task);
	else if (result == -EINPROGRESS)
		loop_set_timer (owner->set->loop, &task->timer, task->deadline_us);
	else
		handle_connection (&task->user, result);
}

void
owner_task_start (struct owner_task *task)
{
	struct owner *owner = task->owner;

	task->has_slot = true;
	task->started_us = clock_now_us ();
	task->state = TASK_STARTING;
	trace_span_end (&task->span, NULL);
	task->span = trace_span_start (&task->trace, "upstream", random_next (&owner->random_state));
	if (task->transaction)
	{
		owner_transaction_run (task);
		return;
	}
	if (owner->leaving_since_us != 0 &&
	    task->started_us - owner->leaving_since_us > REQUEST_LEAVING_GRACE_US)
	{
		owner_task_refuse (task, REASON_LEAVING, 0);
		return;
	}
	/* A replaced primary would lose the write. */
	if (task->is_write && owner_is_replaced (owner))
	{
		owner_query_status (owner, true);
		owner_task_refuse (task, REASON_NOT_PRIMARY, 0);
		return;
	}
	if (task->is_write && owner->writes >= OWNER_MAX_WRITES)
	{
		owner_task_refuse (task, REASON_OVERLOAD, US_PER_S / 10);
		return;
	}
	if (task->is_write)
	{
		owner->writes++;
		task->is_counted_write = true;
		task->expected_term = owner->position.term;
		if (owner->has_primary && owner->primary == owner->server &&
		    owner->term > task->expected_term)
			task->expected_term = owner->term;
	}
	retry_budget_count_attempt (&owner->retry_budget);
	task_connect (task);
}

void
owner_task_retry (struct owner_task *task)
{
	struct owner *owner = task->owner;
	int64_t now_us = clock_now_us ();
	int64_t due_us;

	counter_add (COUNTER_RETRIES, 1);
	task->attempts++;
	task->state = TASK_STARTING;
	task->is_retrying = true;
	due_us = now_us + backoff_delay_us (task->attempts, REQUEST_RETRY_MIN_US, REQUEST_RETRY_MAX_US,
	                                    random_next (&owner->random_state));
	if (due_us > task->deadline_us)
		due_us = task->deadline_us;
	loop_set_timer (owner->set->loop, &task->timer, due_us);
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	struct owner_task *task = timer->data;

	if (now_us >= task->deadline_us)
		owner_task_refuse (task, REASON_DEADLINE, 0);
	else if (task->is_retrying)
		task_connect (task);
}

static void
handle_connection (struct pool_user *user, int error)
{
	struct owner_task *task = task_from_pool_user (user);
	struct owner *owner = task->owner;
	int64_t remaining_us = 0;

	if (error == 0)
	{
		task_run (task);
		return;
	}
	/* The request id makes a retry safe. */
	if (task->is_at_most_once && task->may_have_run)
	{
		owner_task_retry (task);
		return;
	}
	owner_pool_is_down (&owner->pool, clock_now_us (), &remaining_us);
	owner_task_refuse (task, REASON_UPSTREAM_DOWN, (uint32_t) remaining_us);
}

enum outcome
owner_task_failure_outcome (const struct owner_task *task)
{
	/* The error of a second attempt says nothing about the effect of the first, and that of a
	 * SETTLE says nothing about the commit. */
	if (task->is_write && (task->may_have_run || task->operation == FS_OPERATION_SETTLE))
		return OUTCOME_UNKNOWN;
	return OUTCOME_FAILED;
}

void
owner_task_fail (struct owner_task *task, const struct upstream_answer *answer)
{
	if (answer->result == UPSTREAM_NOT_PRIMARY)
		owner_task_refuse (task, REASON_NOT_PRIMARY, 0);
	else
		owner_task_finish (task, owner_task_failure_outcome (task), REASON_STATEMENT,
		                   answer->message, NULL, 0);
}

static void
handle_done (struct owner_task *task, const struct upstream_answer *answer)
{
	struct owner_rows rows = owner_rows_from_answer (answer);
	struct log_position position = { 0 };

	task->may_have_run = true;
	if (answer->has_status)
		position = answer->status.position;
	if (task->operation == FS_OPERATION_BEGIN)
	{
		owner_transaction_open (task, answer);
		return;
	}
	if (!owner_rows_fit (&rows))
		rows = (struct owner_rows){ 0 };
	if (!task->is_write)
	{
		if (rows.column_count == answer->column_count)
			owner_task_finish (task, OUTCOME_DONE, REASON_NONE, NULL, &rows, 0);
		else
			owner_task_finish (task, OUTCOME_FAILED, REASON_STATEMENT, "the answer is too large",
			                   NULL, 0);
		return;
	}
	/* When out of memory, the write succeeds without its rows. */
	if (owner_rows_copy (&task->rows, &rows) < 0)
		task->rows = (struct owner_rows){ 0 };
	owner_pool_release (&task->owner->pool, &task->user);
	owner_acknowledge (task, position);
}

static void
handle_lost (struct owner_task *task)
{
	task->may_have_run = true;
	if (task->attempts == 0 && (!task->is_write || task->is_idempotent) &&
	    retry_budget_take (&task->owner->retry_budget))
		owner_task_retry (task);
	else
		owner_task_refuse (task, REASON_CONNECTION_LOST, 0);
}

static void
handle_answer (struct pool_user *user, const struct upstream_answer *answer)
{
	struct owner_task *task = task_from_pool_user (user);
	struct owner *owner = task->owner;
	struct server_status status = owner->status[owner->server];

	task->state = TASK_STARTING;
	if (answer->has_status && answer->result != UPSTREAM_LOST)
		owner_update_position (owner, answer->status.position);
	if (answer->result == UPSTREAM_NOT_PRIMARY)
	{
		status.is_primary = false;
		status.position = owner->position;
		owner_report_observation (owner, owner->server, true, &status);
		owner_query_status (owner, true);
	}
	if (task->is_at_most_once)
		owner_once_handle_answer (task, answer);
	else if (answer->result == UPSTREAM_OK)
		handle_done (task, answer);
	else if (answer->result == UPSTREAM_LOST)
		handle_lost (task);
	else
		owner_task_fail (task, answer);
}

static void
handle_overdue (struct pool_user *user)
{
	struct owner_task *task = task_from_pool_user (user);
	const struct owner *owner = task->owner;

	task->state = TASK_STARTING;
	if (task->is_at_most_once)
		owner_once_handle_lost (task, true);
	else if (task->is_write)
		owner_task_finish (task, OUTCOME_UNKNOWN, REASON_DEADLINE, "the answer is overdue", NULL,
		                   0);
	else if (has_failed_since (owner, task->started_us))
		/* The server answers nothing at all, so the entry VM may try another one. A statement that
		 * is slow by itself would be slow there too. */
		owner_task_finish (task, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, "the server is silent",
		                   NULL, 0);
	else
		owner_task_finish (task, OUTCOME_FAILED, REASON_DEADLINE, "the answer is overdue", NULL, 0);
}

static void
handle_closed (struct pool_user *user)
{
	struct owner_task *task = task_from_pool_user (user);

	/* A task sends its statement as soon as it holds a connection, so this happens only between the
	 * steps of an at-most-once call. */
	task->state = TASK_STARTING;
	if (task->is_at_most_once)
		owner_once_handle_lost (task, false);
	else
		owner_task_retry (task);
}
