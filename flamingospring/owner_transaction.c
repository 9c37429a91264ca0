#include "flamingospring/owner_private.h"

#include "common/clock.h"
#include "common/counters.h"

#include <stdlib.h>
#include <string.h>

enum
{
	TRANSACTION_MAX_WAITING = 16,        /* Limit of statements that wait for an earlier one. */
	TRANSACTION_END_LIMIT_US = US_PER_S, /* Run limit of COMMIT and ROLLBACK. */
	/* Returned to callers when too many statements wait. */
	TRANSACTION_RETRY_AFTER_US = 100 * US_PER_MS,
};

/** An interactive transaction. It keeps its connection until it ends. */
struct owner_transaction
{
	struct owner *owner;
	struct pool_user user;
	uint32_t handle;
	uint32_t nonce;             /**< Random, since handles are reused after some time. */
	struct owner_task *current; /**< Task whose statement runs or waits for a slot. */
	GQueue waiting;
	struct loop_timer timer;
	int64_t started_us;
	uint64_t term;
	bool is_aborted; /**< A statement failed; only a rollback is possible. */
	bool has_written;
	bool is_rolling_back; /**< This VM rolls it back; callers cannot use it any more. */
};

uint64_t
owner_transaction_id (const struct owner_transaction *transaction)
{
	return (uint64_t) transaction->nonce << 32 | transaction->handle;
}

struct owner_transaction *
owner_transaction_find (const struct owner *owner, uint64_t id)
{
	struct owner_transaction **entry = handle_table_get (&owner->transactions, (uint32_t) id);

	if (!entry || (*entry)->nonce != id >> 32 || (*entry)->is_rolling_back)
		return NULL;
	return *entry;
}

uint32_t
owner_transaction_limit (struct owner *owner)
{
	uint32_t connections = owner_pool_effective_limit (&owner->pool, clock_now_us ());
	uint32_t slots = owner->database.slots;

	/* Leaves single calls one connection for each slot or, when there are not enough, at least
	 * one. */
	if (connections > slots)
		return connections - slots;
	return connections - 1;
}

/* Answers the statements that still wait and frees the transaction. */
static void
transaction_end (struct owner_transaction *transaction, bool is_reusable)
{
	struct owner *owner = transaction->owner;
	GList *link;

	loop_cancel_timer (owner->set->loop, &transaction->timer);
	handle_table_remove (&owner->transactions, transaction->handle);
	if (is_reusable)
		owner_pool_release (&owner->pool, &transaction->user);
	else
		owner_pool_discard (&owner->pool, &transaction->user);
	if (transaction->current)
		transaction->current->transaction = NULL;
	while ((link = g_queue_pop_head_link (&transaction->waiting)))
	{
		struct owner_task *task = link->data;

		task->transaction = NULL;
		task->state = TASK_NEW;
		owner_task_finish (task, OUTCOME_FAILED, REASON_NO_TRANSACTION, "the transaction has ended",
		                   NULL, 0);
	}
	free (transaction);
	owner_schedule (owner);
}

static void
transaction_abandon (struct owner_transaction *transaction)
{
	counter_add (COUNTER_TRANSACTIONS_ABANDONED, 1);
	transaction->is_rolling_back = true;
	if (owner_pool_execute (&transaction->user, "ROLLBACK", NULL, 0, TRANSACTION_END_LIMIT_US) < 0)
		transaction_end (transaction, false);
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	struct owner_transaction *transaction = timer->data;

	(void) now_us;
	transaction_abandon (transaction);
}

void
owner_transaction_next (struct owner *owner, uint64_t id)
{
	const struct owner_settings *settings = owner->set->settings;
	struct owner_transaction *transaction = owner_transaction_find (owner, id);
	int64_t now_us = clock_now_us ();
	int64_t end_us;
	GList *link;

	if (!transaction || transaction->current)
		return;
	end_us = transaction->started_us + settings->transaction_limit_us;
	link = now_us < end_us ? g_queue_pop_head_link (&transaction->waiting) : NULL;
	if (link)
	{
		struct owner_task *task = link->data;

		task->state = TASK_NEW;
		task->transaction = NULL;
		owner_transaction_submit (transaction, task);
		return;
	}
	if (now_us + settings->transaction_idle_us < end_us)
		end_us = now_us + settings->transaction_idle_us;
	loop_set_timer (owner->set->loop, &transaction->timer, end_us);
}

void
owner_transaction_detach (struct owner_task *task)
{
	struct owner_transaction *transaction = task->transaction;

	if (transaction->current == task)
		transaction->current = NULL;
	else if (task->state == TASK_WAITING_FOR_STATEMENT)
		g_queue_unlink (&transaction->waiting, &task->wait_link);
	task->transaction = NULL;
}

static void
fail_not_sent (struct owner_transaction *transaction, struct owner_task *task)
{
	transaction_end (transaction, false);
	owner_task_finish (task, OUTCOME_FAILED, REASON_CONNECTION_LOST,
	                   "the connection broke; the transaction is rolled back", NULL, 0);
}

static void
execute (struct owner_transaction *transaction, struct owner_task *task, const char *statement)
{
	bool is_call = task->operation == FS_OPERATION_TRANSACTION_CALL;

	INVARIANT (transaction->current == task, "P3");
	task->state = TASK_RUNNING;
	if (owner_pool_execute (&transaction->user, statement, is_call ? task->params : NULL,
	                        is_call ? task->param_count : 0,
	                        is_call ? task->run_limit_us : TRANSACTION_END_LIMIT_US) < 0)
		fail_not_sent (transaction, task);
}

/* Inserts the request id in the transaction itself, so that its presence later proves the
 * commit. */
static void
execute_commit (struct owner_transaction *transaction, struct owner_task *task)
{
	char mark[OWNER_MARK_BYTES];
	const char *id_and_answer[] = { task->request_id, mark };

	INVARIANT (transaction->current == task, "P3");
	task->state = TASK_RUNNING;
	owner_mark_format (mark, OWNER_MARK_COMMITTED, owner_transaction_id (transaction));
	if (owner_pool_commit (&transaction->user, owner_once_insert, id_and_answer, 2,
	                       TRANSACTION_END_LIMIT_US) < 0)
		fail_not_sent (transaction, task);
}

void
owner_transaction_run (struct owner_task *task)
{
	execute (task->transaction, task, task->statement);
}

static void
run_commit (struct owner_transaction *transaction, struct owner_task *task)
{
	bool has_id = task->request_id[0] && !transaction->is_aborted;

	/* The id is inserted as a row even when the transaction only read. */
	task->is_write = transaction->has_written || has_id;
	task->expected_term = transaction->term;
	if (task->is_write)
	{
		task->owner->writes++;
		task->is_counted_write = true;
	}
	/* Bypasses the admission queue, since the end of a transaction releases a connection and row
	 * locks. */
	task->started_us = clock_now_us ();
	trace_span_end (&task->span, NULL);
	task->span =
		trace_span_start (&task->trace, "upstream", random_next (&task->owner->random_state));
	if (has_id)
		execute_commit (transaction, task);
	else
		execute (transaction, task, transaction->is_aborted ? "ROLLBACK" : "COMMIT");
}

void
owner_transaction_submit (struct owner_transaction *transaction, struct owner_task *task)
{
	loop_cancel_timer (transaction->owner->set->loop, &transaction->timer);
	task->transaction = transaction;
	if (transaction->current)
	{
		task->state = TASK_WAITING_FOR_STATEMENT;
		if (transaction->waiting.length >= TRANSACTION_MAX_WAITING)
		{
			task->state = TASK_NEW;
			owner_task_refuse (task, REASON_QUEUE_FULL, TRANSACTION_RETRY_AFTER_US);
			return;
		}
		g_queue_push_tail_link (&transaction->waiting, &task->wait_link);
		return;
	}
	transaction->current = task;
	if (task->operation == FS_OPERATION_TRANSACTION_CALL)
		owner_task_admit (task);
	else if (task->operation == FS_OPERATION_COMMIT)
		run_commit (transaction, task);
	else
		execute (transaction, task, "ROLLBACK");
}

static void
handle_call_answer (struct owner_transaction *transaction, struct owner_task *task,
                    const struct upstream_answer *answer)
{
	struct owner_rows rows = owner_rows_from_answer (answer);

	if (answer->result == UPSTREAM_LOST)
	{
		transaction_end (transaction, false);
		owner_task_finish (task, OUTCOME_FAILED, REASON_CONNECTION_LOST,
		                   "the connection broke; the transaction is rolled back", NULL, 0);
		return;
	}
	if (answer->result != UPSTREAM_OK)
	{
		transaction->is_aborted = true;
		owner_task_fail (task, answer);
		return;
	}
	transaction->has_written = transaction->has_written || task->is_write;
	if (!owner_rows_fit (&rows))
	{
		transaction->is_aborted = true;
		owner_task_finish (task, OUTCOME_FAILED, REASON_STATEMENT, "the answer is too large", NULL,
		                   0);
		return;
	}
	owner_task_finish (task, OUTCOME_DONE, REASON_NONE, NULL, &rows, 0);
}

static void
handle_commit_answer (struct owner_transaction *transaction, struct owner_task *task,
                      const struct upstream_answer *answer)
{
	struct log_position position = { 0 };
	bool was_aborted = transaction->is_aborted;
	bool is_lost = answer->result == UPSTREAM_LOST;
	bool is_id_taken = answer->result == UPSTREAM_DUPLICATE && answer->statement == 0;

	if (answer->has_status)
		position = answer->status.position;
	transaction_end (transaction, answer->result == UPSTREAM_OK);
	if (was_aborted)
		owner_task_finish (task, OUTCOME_FAILED, REASON_STATEMENT,
		                   "a statement failed; the transaction is rolled back", NULL, 0);
	else if (is_lost && task->is_write)
		owner_task_finish (task, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
		                   "the connection broke before the answer", NULL, 0);
	/* The id was inserted by an attempt that was settled meanwhile, or by another request; the
	 * entry VM settles it. */
	else if (is_id_taken)
		owner_task_finish (task, OUTCOME_FAILED, REASON_NO_TRANSACTION,
		                   "the request id is taken; the transaction is rolled back", NULL, 0);
	else if (answer->result != UPSTREAM_OK && !is_lost)
		owner_task_finish (task, OUTCOME_FAILED,
		                   answer->result == UPSTREAM_NOT_PRIMARY ? REASON_NOT_PRIMARY
		                                                          : REASON_STATEMENT,
		                   answer->message, NULL, 0);
	else if (task->is_write)
		owner_acknowledge (task, position);
	else
		owner_task_finish (task, OUTCOME_DONE, REASON_NONE, NULL, NULL, 0);
}

static void
handle_answer (struct pool_user *user, const struct upstream_answer *answer)
{
	struct owner_transaction *transaction =
		(struct owner_transaction *) ((char *) user - offsetof (struct owner_transaction, user));
	struct owner_task *task = transaction->current;

	if (answer->has_status && answer->result != UPSTREAM_LOST)
		owner_update_position (transaction->owner, answer->status.position);
	if (transaction->is_rolling_back || !task)
	{
		transaction_end (transaction, answer->result == UPSTREAM_OK);
		return;
	}
	task->state = TASK_STARTING;
	if (answer->result == UPSTREAM_NOT_PRIMARY)
		owner_query_status (transaction->owner, true);
	switch (task->operation)
	{
	case FS_OPERATION_TRANSACTION_CALL:
		handle_call_answer (transaction, task, answer);
		return;
	case FS_OPERATION_COMMIT:
		handle_commit_answer (transaction, task, answer);
		return;
	default:
		/* A connection whose ROLLBACK failed is closed, which also rolls back. */
		transaction_end (transaction, answer->result == UPSTREAM_OK);
		owner_task_finish (task, OUTCOME_DONE, REASON_NONE, NULL, NULL, 0);
		return;
	}
}

static void
handle_overdue (struct pool_user *user)
{
	struct owner_transaction *transaction =
		(struct owner_transaction *) ((char *) user - offsetof (struct owner_transaction, user));
	struct owner_task *task = transaction->current;
	bool is_unknown;

	if (transaction->is_rolling_back || !task)
	{
		transaction_end (transaction, false);
		return;
	}
	task->state = TASK_STARTING;
	is_unknown =
		task->operation == FS_OPERATION_COMMIT && task->is_write && !transaction->is_aborted;
	transaction_end (transaction, false);
	owner_task_finish (task, is_unknown ? OUTCOME_UNKNOWN : OUTCOME_FAILED, REASON_DEADLINE,
	                   "the answer is overdue; the connection is closed", NULL, 0);
}

static void
handle_closed (struct pool_user *user)
{
	struct owner_transaction *transaction =
		(struct owner_transaction *) ((char *) user - offsetof (struct owner_transaction, user));
	struct owner_task *task = transaction->current;

	counter_add (COUNTER_TRANSACTIONS_ABANDONED, 1);
	transaction_end (transaction, false);
	/* The current statement, if any, still waits for a slot. */
	if (task)
		owner_task_finish (task, OUTCOME_FAILED, REASON_NO_TRANSACTION,
		                   "the connection broke; the transaction is rolled back", NULL, 0);
}

static const struct pool_user_ops transaction_user_ops = {
	.handle_answer = handle_answer,
	.handle_overdue = handle_overdue,
	.handle_closed = handle_closed,
};

static struct owner_transaction *
transaction_new (struct owner *owner)
{
	struct owner_transaction *transaction = calloc (1, sizeof *transaction);
	struct owner_transaction **entry;

	if (!transaction)
		return NULL;
	transaction->handle = handle_table_add (&owner->transactions);
	entry = handle_table_get (&owner->transactions, transaction->handle);
	if (!entry)
	{
		free (transaction);
		return NULL;
	}
	*entry = transaction;
	transaction->owner = owner;
	transaction->nonce = (uint32_t) random_next (&owner->random_state) | 1;
	transaction->user.ops = &transaction_user_ops;
	transaction->timer.handle_timer = handle_timer;
	transaction->timer.data = transaction;
	transaction->started_us = clock_now_us ();
	return transaction;
}

void
owner_transaction_open (struct owner_task *task, const struct upstream_answer *answer)
{
	struct owner *owner = task->owner;
	struct owner_transaction *transaction = transaction_new (owner);

	if (!transaction)
	{
		owner_pool_discard (&owner->pool, &task->user);
		owner_task_finish (task, OUTCOME_FAILED, REASON_NO_TRANSACTION, "out of memory", NULL, 0);
		return;
	}
	counter_add (COUNTER_TRANSACTIONS, 1);
	transaction->term = answer->has_status ? answer->status.position.term : 0;
	owner_pool_transfer (&task->user, &transaction->user);
	/* When the caller has disconnected, nobody knows the handle. */
	if (!task->request)
		transaction_abandon (transaction);
	else
	{
		task->transaction = transaction;
		transaction->current = task;
	}
	owner_task_finish (task, OUTCOME_DONE, REASON_NONE, NULL, NULL, 0);
}

void
owner_transaction_finish_all (struct owner *owner)
{
	uint32_t handle = handle_table_next (&owner->transactions, HANDLE_NONE);

	for (; handle; handle = handle_table_next (&owner->transactions, HANDLE_NONE))
	{
		struct owner_transaction **entry = handle_table_get (&owner->transactions, handle);

		transaction_end (*entry, false);
	}
}
