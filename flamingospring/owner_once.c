#include "flamingospring/owner_private.h"

#include "common/counters.h"

#include <string.h>

/* At-most-once execution. The request id and the answer are stored in the transaction of the
 * statement, so that any later primary can tell by the id whether the statement ran.
 *
 * A SETTLE request takes the same steps without a statement. It determines the outcome of a COMMIT
 * whose answer is unknown by inserting the request id with the mark "rolled back". When the id
 * exists, the mark stored with it is the outcome. Otherwise the COMMIT can never take effect,
 * because its own insert of the id conflicts. */

const char owner_once_insert[] = "INSERT INTO flamingospring_request (id, answer) VALUES ($1, $2)";
static const char store_statement[] = "UPDATE flamingospring_request SET answer = $2 WHERE id = $1";
static const char lookup_statement[] = "SELECT answer FROM flamingospring_request WHERE id = $1";

/* Returns the last of the steps that are sent with @p step in one round trip. When the id exists,
 * the statement does not run, since the server skips everything after an error. The batch ends at
 * the statement because its answer has to be known before it can be stored. */
static enum owner_once_step
last_step (const struct owner_task *task, enum owner_once_step step)
{
	if (step == ONCE_BEGIN)
		return task->operation == FS_OPERATION_SETTLE ? ONCE_INSERT : ONCE_STATEMENT;
	return step == ONCE_STORE ? ONCE_COMMIT : step;
}

static void
run_step (struct owner_task *task, enum owner_once_step step)
{
	const char *id_and_answer[] = { task->request_id, task->stored ? task->stored : "" };
	const struct upstream_statement statements[] = {
		[ONCE_BEGIN] = { "BEGIN", NULL, 0 },
		[ONCE_INSERT] = { owner_once_insert, id_and_answer, 2 },
		[ONCE_STATEMENT] = { task->statement, task->params, task->param_count },
		[ONCE_STORE] = { store_statement, id_and_answer, 2 },
		[ONCE_COMMIT] = { "COMMIT", NULL, 0 },
	};

	task->first_step = step;
	task->step = last_step (task, step);
	switch (step)
	{
	case ONCE_BEGIN:
	case ONCE_INSERT:
	case ONCE_STATEMENT:
	case ONCE_STORE:
		owner_task_execute_batch (task, &statements[step], task->step - step + 1);
		return;
	case ONCE_COMMIT:
		owner_task_execute (task, "COMMIT", NULL, 0);
		return;
	case ONCE_ROLLBACK_FAILED:
	case ONCE_ROLLBACK_DUPLICATE:
		owner_task_execute (task, "ROLLBACK", NULL, 0);
		return;
	case ONCE_LOOKUP:
		counter_add (COUNTER_ONCE_LOOKUPS, 1);
		owner_task_execute (task, lookup_statement, id_and_answer, 1);
		return;
	}
}

void
owner_once_run (struct owner_task *task)
{
	/* After a lost COMMIT the same steps reveal its outcome: the insert conflicts with that of the
	 * first attempt, even when its COMMIT is still in progress at the server. */
	g_free (task->stored);
	task->stored = NULL;
	task->end_outcome = OUTCOME_DONE;
	task->end_reason = REASON_NONE;
	task->end_message[0] = 0;
	owner_rows_finish (&task->rows);
	if (task->operation == FS_OPERATION_SETTLE)
	{
		task->stored = g_malloc (OWNER_MARK_BYTES);
		owner_mark_format (task->stored, OWNER_MARK_ROLLED_BACK, task->transaction_id);
	}
	run_step (task, ONCE_BEGIN);
}

static void
fail_after_rollback (struct owner_task *task, const struct upstream_answer *answer)
{
	bool is_refused = answer->result == UPSTREAM_NOT_PRIMARY;

	/* SQLSTATE class 40: rolled back because of another transaction, such as an earlier attempt
	 * with the same id that is still in progress. */
	task->is_conflict = strncmp (answer->sqlstate, "40", 2) == 0;
	task->end_outcome = is_refused ? OUTCOME_REFUSED : OUTCOME_FAILED;
	task->end_reason = is_refused ? REASON_NOT_PRIMARY : REASON_STATEMENT;
	g_strlcpy (task->end_message, answer->message ? answer->message : "", sizeof task->end_message);
	run_step (task, ONCE_ROLLBACK_FAILED);
}

static void
finish_failed (struct owner_task *task)
{
	if (task->is_conflict)
	{
		owner_pool_release (&task->owner->pool, &task->user);
		owner_task_retry (task);
		return;
	}
	if (task->end_outcome == OUTCOME_REFUSED)
		owner_task_refuse (task, task->end_reason, 0);
	else
		owner_task_finish (task, owner_task_failure_outcome (task), task->end_reason,
		                   task->end_message, NULL, 0);
}

static void
handle_statement_rows (struct owner_task *task, const struct upstream_answer *answer)
{
	struct owner_rows rows = owner_rows_from_answer (answer);
	struct upstream_answer too_large = { .result = UPSTREAM_STATEMENT_ERROR,
		                                 .message = "the answer is too large" };

	if (!owner_rows_fit (&rows) || owner_rows_copy (&task->rows, &rows) < 0)
	{
		fail_after_rollback (task, &too_large);
		return;
	}
	task->stored = owner_rows_encode (&task->rows);
	run_step (task, ONCE_STORE);
}

static void
set_end_outcome (struct owner_task *task, enum outcome outcome, enum reason reason,
                 const char *message)
{
	task->end_outcome = outcome;
	task->end_reason = reason;
	g_strlcpy (task->end_message, message, sizeof task->end_message);
}

static void
set_end_rolled_back (struct owner_task *task)
{
	set_end_outcome (task, OUTCOME_REFUSED, REASON_ROLLED_BACK,
	                 "the transaction is rolled back and cannot be committed any more");
}

/* @return 0, or -EBADMSG when the stored answer cannot be parsed. */
static int
read_stored (struct owner_task *task, const char *stored)
{
	bool settles = task->operation == FS_OPERATION_SETTLE;
	uint64_t transaction = 0;
	enum owner_mark mark = owner_mark_parse (stored, &transaction);

	owner_rows_finish (&task->rows);
	if (!settles && mark == OWNER_MARK_NONE)
		return owner_rows_decode (&task->rows, stored);
	if (!settles || mark == OWNER_MARK_NONE || transaction != task->transaction_id)
		set_end_outcome (task, OUTCOME_FAILED, REASON_BAD_REQUEST,
		                 "the request id belongs to another request");
	else if (mark == OWNER_MARK_ROLLED_BACK)
		set_end_rolled_back (task);
	return 0;
}

static void
handle_lookup_result (struct owner_task *task, const struct upstream_answer *answer)
{
	struct log_position position = { 0 };

	if (answer->has_status)
		position = answer->status.position;
	if (answer->row_count == 0)
	{
		/* The transaction that the insert conflicted with has been rolled back since. */
		owner_pool_release (&task->owner->pool, &task->user);
		owner_task_retry (task);
		return;
	}
	if (answer->column_count != 1 || !answer->cells[0] || read_stored (task, answer->cells[0]) < 0)
	{
		owner_task_finish (task, OUTCOME_UNKNOWN, REASON_STATEMENT,
		                   "the stored answer is not readable", NULL, 0);
		return;
	}
	task->is_replay = true;
	owner_pool_release (&task->owner->pool, &task->user);
	owner_acknowledge (task, position);
}

static void
handle_commit_result (struct owner_task *task, const struct upstream_answer *answer)
{
	struct log_position position = { 0 };

	if (answer->has_status)
		position = answer->status.position;
	task->may_have_run = true;
	if (task->operation == FS_OPERATION_SETTLE)
		set_end_rolled_back (task);
	owner_pool_release (&task->owner->pool, &task->user);
	owner_acknowledge (task, position);
}

static void
handle_ok (struct owner_task *task, const struct upstream_answer *answer)
{
	switch (task->step)
	{
	case ONCE_INSERT:
		task->expected_term = answer->has_status ? answer->status.position.term : 0;
		run_step (task, ONCE_COMMIT);
		return;
	case ONCE_STATEMENT:
		task->expected_term = answer->has_status ? answer->status.position.term : 0;
		handle_statement_rows (task, answer);
		return;
	case ONCE_COMMIT:
		handle_commit_result (task, answer);
		return;
	case ONCE_ROLLBACK_FAILED:
		finish_failed (task);
		return;
	case ONCE_ROLLBACK_DUPLICATE:
		run_step (task, ONCE_LOOKUP);
		return;
	case ONCE_LOOKUP:
		handle_lookup_result (task, answer);
		return;
	default:
		INVARIANT (false, "P6");
		return;
	}
}

void
owner_once_handle_answer (struct owner_task *task, const struct upstream_answer *answer)
{
	bool is_id_taken;

	if (answer->result != UPSTREAM_LOST)
		task->step = task->first_step + answer->statement;
	is_id_taken = answer->result == UPSTREAM_DUPLICATE &&
	              (task->step == ONCE_INSERT || task->step == ONCE_COMMIT);
	if (answer->result == UPSTREAM_LOST)
		owner_once_handle_lost (task, false);
	else if (answer->result == UPSTREAM_OK)
		handle_ok (task, answer);
	else if (is_id_taken)
		run_step (task, ONCE_ROLLBACK_DUPLICATE);
	else if (task->step == ONCE_LOOKUP)
		owner_task_finish (task, OUTCOME_UNKNOWN, REASON_STATEMENT, answer->message, NULL, 0);
	else if (task->step == ONCE_BEGIN)
		owner_task_fail (task, answer);
	else if (task->step == ONCE_ROLLBACK_FAILED || task->step == ONCE_ROLLBACK_DUPLICATE)
	{
		owner_pool_discard (&task->owner->pool, &task->user);
		owner_once_handle_lost (task, false);
	}
	else
		fail_after_rollback (task, answer);
}

void
owner_once_handle_lost (struct owner_task *task, bool is_overdue)
{
	switch (task->step)
	{
	case ONCE_ROLLBACK_FAILED:
		/* The server aborts the transaction of a closed connection. */
		finish_failed (task);
		return;
	case ONCE_STATEMENT:
		/* A retry would exceed the run limit again. */
		if (is_overdue)
		{
			owner_task_finish (task, OUTCOME_UNKNOWN, REASON_DEADLINE, "the answer is overdue",
			                   NULL, 0);
			return;
		}
		break;
	case ONCE_COMMIT:
		task->may_have_run = true;
		break;
	default:
		break;
	}
	owner_task_retry (task);
}
