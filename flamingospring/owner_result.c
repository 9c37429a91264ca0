#include "flamingospring/owner_private.h"

#include "common/clock.h"
#include "common/counters.h"

#include <stdlib.h>
#include <string.h>

static uint32_t
us_to_ms (int64_t us)
{
	int64_t ms = (us + US_PER_MS - 1) / US_PER_MS;

	return ms < 0 ? 0 : ms > UINT32_MAX ? UINT32_MAX : (uint32_t) ms;
}

static void
result_describe_server (struct fs_execute_result *result, const struct owner *owner, enum rank rank)
{
	int64_t now_us = clock_now_us ();

	result->server_is_primary = owner_is_primary (owner);
	result->server_position.term = owner->position.term;
	result->server_position.index = owner->position.index;
	result->server_age_ms = OWNER_AGE_UNKNOWN;
	if (owner->freshness.fresh_at_us != 0)
		result->server_age_ms = us_to_ms (now_us - owner->freshness.fresh_at_us);
	result->server_lag_ms = result->server_is_primary ? 0 : us_to_ms (owner->freshness.lag_us);
	result->server_queue_us = admission_expected_wait_us (owner->admission, rank, now_us);
	if (!owner->has_primary)
		return;
	result->primary_term = owner->term;
	result->primary = (int) owner->primary;
}

void
owner_reject (const struct owner *owner, struct owner_request *request, enum outcome outcome,
              enum reason reason, const char *message, uint32_t retry_after_us)
{
	struct fs_execute_result result = { .primary = -1, .server_age_ms = OWNER_AGE_UNKNOWN };

	result.outcome = outcome;
	result.reason = reason;
	result.retry_after_ms = us_to_ms (retry_after_us);
	result.message = (char *) (message ? message : "");
	if (owner)
		result_describe_server (&result, owner, RANK_NORMAL);
	request->handle_done (request, &result);
}

struct owner_rows
owner_rows_from_answer (const struct upstream_answer *answer)
{
	return (struct owner_rows){ .column_count = answer->column_count,
		                        .cell_count = answer->column_count * answer->row_count,
		                        .columns = answer->columns,
		                        .cells = answer->cells };
}

/* XDR requires pointers to texts; they point into the array of cells. */
static fs_value *
result_cells (const struct owner_rows *rows)
{
	fs_value *values = calloc (rows->cell_count + 1, sizeof *values);

	for (size_t i = 0; values && i < rows->cell_count; i++)
		values[i] = rows->cells[i] ? (fs_value) (uintptr_t) &rows->cells[i] : NULL;
	return values;
}

void
owner_task_release_slot (struct owner_task *task)
{
	struct owner *owner = task->owner;
	int64_t now_us = clock_now_us ();
	int64_t run_us = now_us - task->started_us;
	uint32_t *mean_us = &owner->run_mean_us[task->rank];

	if (!task->has_slot)
		return;
	task->has_slot = false;
	*mean_us = (uint32_t) ((int64_t) *mean_us + (run_us - (int64_t) *mean_us) / 8);
	admission_complete (owner->admission, task->rank, task->tenant,
	                    run_us > UINT32_MAX ? UINT32_MAX : (uint32_t) run_us, now_us);
}

/* Removes the task from all lists and releases what it holds. */
static void
task_detach (struct owner_task *task)
{
	struct owner *owner = task->owner;

	if (task->state == TASK_CHECKING)
		g_queue_unlink (&owner->checking, &task->wait_link);
	if (task->state == TASK_QUEUED)
		admission_cancel (owner->admission, task->handle);
	loop_cancel_timer (owner->set->loop, &task->timer);
	owner_task_release_slot (task);
	if (task->transaction)
		owner_transaction_detach (task);
	else if (task->state == TASK_RUNNING)
		owner_pool_discard (&owner->pool, &task->user);
	else
		owner_pool_release (&owner->pool, &task->user);
	if (task->operation == FS_OPERATION_BEGIN)
		owner->pending_begins--;
	if (task->is_counted_write)
		owner->writes--;
	g_queue_unlink (&owner->tasks, &task->link);
	handle_table_remove (&owner->set->tasks, task->handle);
}

static void
task_free (struct owner_task *task)
{
	owner_rows_finish (&task->rows);
	g_free (task->stored);
	free (task);
}

void
owner_task_drop (struct owner_task *task)
{
	struct owner *owner = task->owner;
	uint64_t transaction = task->transaction ? owner_transaction_id (task->transaction) : 0;

	task_detach (task);
	task_free (task);
	if (transaction)
		owner_transaction_next (owner, transaction);
	owner_dispatch (owner);
}

static void
check_guarantees (const struct owner_task *task, enum outcome outcome, enum reason reason)
{
	bool is_committed_write = task->is_write && outcome == OUTCOME_DONE &&
	                          task->operation != FS_OPERATION_TRANSACTION_CALL;

	if (outcome == OUTCOME_REFUSED)
		INVARIANT (!task->may_have_run, "P5");
	if (is_committed_write && !task->owner->set->settings->acknowledge_at_primary)
		INVARIANT (task->is_acknowledged, "P2");
	/* Without a majority, a new primary may lack the mark and have the commit. */
	if (reason == REASON_ROLLED_BACK && !task->owner->set->settings->acknowledge_at_primary)
		INVARIANT (task->is_acknowledged, "P6");
	if (outcome == OUTCOME_DONE && task->is_write && !task->is_idempotent &&
	    task->operation == FS_OPERATION_CALL)
		INVARIANT (task->is_at_most_once, "P6");
}

void
owner_task_finish (struct owner_task *task, enum outcome outcome, enum reason reason,
                   const char *message, const struct owner_rows *rows, uint32_t retry_after_us)
{
	struct owner *owner = task->owner;
	struct owner_request *request = task->request;
	uint64_t transaction = task->transaction ? owner_transaction_id (task->transaction) : 0;
	struct fs_execute_result result = { .primary = -1, .server_age_ms = OWNER_AGE_UNKNOWN };
	fs_value *cells = NULL;

	check_guarantees (task, outcome, reason);
	task_detach (task);
	trace_span_end (&task->span, reason_name (reason));
	result.outcome = outcome;
	result.reason = reason;
	result.retry_after_ms = us_to_ms (retry_after_us);
	result.message = (char *) (message ? message : "");
	result.transaction = transaction;
	result.replayed = task->is_replay && outcome == OUTCOME_DONE;
	if (outcome == OUTCOME_DONE)
	{
		result.written.term = task->written.term;
		result.written.index = task->written.index;
	}
	result_describe_server (&result, owner, task->rank);
	if (rows && rows->column_count > 0)
		cells = result_cells (rows);
	if (cells)
	{
		result.columns.columns_len = (u_int) rows->column_count;
		result.columns.columns_val = (fs_text *) (uintptr_t) rows->columns;
		result.cells.cells_len = (u_int) rows->cell_count;
		result.cells.cells_val = cells;
	}
	if (request)
		request->handle_done (request, &result);
	free (cells);
	task_free (task);
	if (transaction)
		owner_transaction_next (owner, transaction);
	owner_dispatch (owner);
}

void
owner_task_refuse (struct owner_task *task, enum reason reason, uint32_t retry_after_us)
{
	if (task->may_have_run)
		owner_task_finish (task, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
		                   "the connection broke before the answer", NULL, 0);
	else
		owner_task_finish (task, OUTCOME_REFUSED, reason, NULL, NULL, retry_after_us);
}
