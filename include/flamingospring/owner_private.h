/**
 * @file
 * State of one server's owner and of its requests, shared by the modules of the owner.
 */
#pragma once

#include "common/handle_table.h"
#include "decision/admission.h"
#include "flamingospring/owner.h"
#include "flamingospring/owner_freshness.h"
#include "flamingospring/owner_monitor.h"
#include "flamingospring/owner_pool.h"
#include "flamingospring/owner_rows.h"

#include <glib.h>

enum
{
	OWNER_MAX_WRITES = 4096, /**< Limit of writes that run or wait for their acknowledgement. */
	OWNER_DEFAULT_TENANT = ADMISSION_MAX_TENANTS - 1,
};

enum owner_task_state
{
	TASK_NEW,
	TASK_CHECKING,              /**< Waits for the server's position or age. */
	TASK_WAITING_FOR_STATEMENT, /**< Waits for an earlier statement of its transaction. */
	TASK_QUEUED,                /**< In the admission queue. */
	TASK_STARTING,              /**< Holds a slot; waits for a connection or a retry. */
	TASK_RUNNING,               /**< A statement is outstanding. */
	TASK_ACKNOWLEDGING,         /**< Committed; waits for a majority. */
};

/** Steps of an at-most-once call. */
enum owner_once_step
{
	ONCE_BEGIN,
	ONCE_INSERT,
	ONCE_STATEMENT,
	ONCE_STORE,
	ONCE_COMMIT,
	ONCE_ROLLBACK_FAILED,    /**< After a statement that failed; the id stays unused. */
	ONCE_ROLLBACK_DUPLICATE, /**< The id was used before; its answer is looked up next. */
	ONCE_LOOKUP,
};

struct owner_transaction;

/** One request inside an owner. */
struct owner_task
{
	struct owner *owner;
	struct owner_request *request; /**< NULL: the caller disconnected. */
	GList link;                    /**< Link in owner->tasks. */
	GList wait_link;               /**< Link in owner->checking or transaction->waiting. */
	uint32_t handle;
	enum owner_task_state state;
	enum fs_operation operation;
	bool is_write;
	bool is_idempotent;
	bool is_at_most_once;
	bool has_slot;
	bool may_have_run; /**< The effect of a statement that was sent is unknown. */
	bool is_retrying;  /**< In TASK_STARTING: waits for a retry. */
	bool is_replay;    /**< The answer stored by an earlier attempt is returned. */
	bool is_conflict;  /**< An at-most-once call is retried after its rollback. */
	bool is_acknowledged;
	bool is_counted_write;           /**< Counted in owner->writes. */
	enum owner_once_step step;       /**< Step that was answered, or the last one sent. */
	enum owner_once_step first_step; /**< First step of the batch that was sent. */
	uint32_t attempts;
	enum rank rank;
	uint32_t tenant;
	enum read_consistency consistency;
	int64_t max_age_us;
	int64_t run_limit_us;
	int64_t deadline_us;
	int64_t wait_until_us;        /**< End of the wait for the required position. */
	int64_t acknowledge_since_us; /**< Start of the wait for a majority. */
	int64_t arrived_us;
	int64_t started_us;
	struct log_position required;
	struct log_position written;
	uint64_t expected_term;   /**< Term of the server before the write; 0: unknown. */
	enum outcome end_outcome; /**< Outcome after the rollback or acknowledgement. */
	enum reason end_reason;
	char end_message[256]; /**< Message of that outcome, such as that of the failed statement. */
	char *stored;          /**< JSON answer or transaction mark to store with the request id. */
	char *statement;
	char *request_id;
	uint64_t transaction_id; /**< Transaction that a COMMIT or SETTLE refers to. */
	const char **params;
	size_t param_count;
	struct pool_user user;
	struct loop_timer timer; /**< Used in TASK_STARTING only. */
	struct owner_transaction *transaction;
	struct owner_rows rows;
	struct trace_context trace;
	struct trace_span span;
};

struct owner
{
	struct owner_set *set;
	struct schema_database database; /**< A copy, since documents belong to a snapshot. */
	uint32_t server;
	/** The servers changed: this owner finishes its work, and a new one takes new requests. */
	bool is_retired;
	bool is_current_owner;    /**< This VM is the owner. */
	bool is_owner_or_standby; /**< This VM is owner or standby. */
	int64_t leaving_since_us; /**< Time at which the server was marked as leaving; 0: it is not. */
	bool has_primary;
	uint64_t term;
	uint32_t primary;
	uint64_t service_revision;
	struct admission *admission;
	struct admission_settings admission_settings;
	struct acknowledgement *acknowledgement;
	struct owner_pool pool;
	struct monitor_user *monitors; /**< One for each server of the group. */
	struct server_status status[ROUTING_MAX_SERVERS];
	int64_t status_at_us[ROUTING_MAX_SERVERS];
	int64_t status_queried_us[ROUTING_MAX_SERVERS];
	int64_t reported_us[ROUTING_MAX_SERVERS]; /**< Last report to the control thread. */
	struct log_position position;
	int64_t position_at_us;
	struct freshness freshness;
	struct retry_budget retry_budget;
	struct loop_timer timer;
	GQueue tasks;
	GQueue checking;
	uint32_t writes;             /**< Writes that run or wait for their acknowledgement. */
	uint32_t pending_begins;     /**< Transactions that are being opened. */
	int64_t acknowledge_wait_us; /**< Typical wait for a majority, a low estimate; 0: unknown. */
	struct handle_table transactions;
	uint32_t run_mean_us[RANK_COUNT];
	int64_t last_read_us;
	int64_t last_maintenance_us;
	int64_t last_observation_us;
	bool last_observation_answered; /**< The last observation was an answer. */
	uint64_t random_state;
	bool is_dispatching;
	bool dispatch_again;
};

/* owner.c */

/** @return NULL when out of memory. */
struct owner *owner_new (struct owner_set *set, const struct snapshot_group *group,
                         uint32_t server);
/** Answers all requests and frees the owner. */
void owner_finish (struct owner *owner);
/** Applies settings, primary and ownership of a changed snapshot. */
void owner_handle_snapshot (struct owner *owner, const struct snapshot *snapshot);

/** Sets the owner's timer to the next due time. */
void owner_schedule (struct owner *owner);
/** Starts the requests that the admission queue releases, and refuses the expired ones. */
void owner_dispatch (struct owner *owner);
/** Records the position that came with an answer of the owner's server. */
void owner_update_position (struct owner *owner, struct log_position position);
/** Queries the status of the owner's server; see owner_monitor_query() for @p must_be_new. */
void owner_query_status (struct owner *owner, bool must_be_new);
/** Reports an answer of @p server, or its absence, to the control thread. */
void owner_report_observation (struct owner *owner, uint32_t server, bool answered,
                               const struct server_status *status);
/** Returns whether another server is the primary of a term that this one has not reached. */
bool owner_is_replaced (const struct owner *owner);
bool owner_is_primary (const struct owner *owner);

/* owner_set.c */

/** Removes an owner that is about to be freed from the set. */
void owner_set_remove (struct owner_set *set, const struct owner *owner);

/* owner_result.c */

/** Answers a request for which no task was created; @p owner may be NULL. */
void owner_reject (const struct owner *owner, struct owner_request *request, enum outcome outcome,
                   enum reason reason, const char *message, uint32_t retry_after_us);
/** Answers and frees @p task, then starts the next request. @p rows may be NULL. */
void owner_task_finish (struct owner_task *task, enum outcome outcome, enum reason reason,
                        const char *message, const struct owner_rows *rows,
                        uint32_t retry_after_us);
/** Refuses a task. When it may have run, its outcome is unknown instead. */
void owner_task_refuse (struct owner_task *task, enum reason reason, uint32_t retry_after_us);
/** Removes a task without an answer. */
void owner_task_drop (struct owner_task *task);
/** Releases the admission slot of a task whose statement has ended. */
void owner_task_release_slot (struct owner_task *task);

/* owner_request.c */

/** Creates a task with a copy of the request. @p call is NULL for operations without a call, such
 * as COMMIT. @return NULL when out of memory or when there are too many tasks. */
struct owner_task *owner_task_new (struct owner *owner, struct owner_request *request,
                                   const struct schema_call *call, uint32_t tenant);
/** Checks a read or BEGIN against the server's role, position and age, then admits it. */
void owner_task_check_server (struct owner_task *task);
void owner_task_admit (struct owner_task *task);
/** Runs a task that the admission queue has released. */
void owner_task_start (struct owner_task *task);
/** Sends a statement on the task's connection. */
void owner_task_execute (struct owner_task *task, const char *statement, const char *const *params,
                         size_t param_count);
/** Sends statements in one round trip; the run limit applies to all of them together. */
void owner_task_execute_batch (struct owner_task *task, const struct upstream_statement *statements,
                               size_t count);
/** Runs the task again after a back-off, on a newly acquired connection. */
void owner_task_retry (struct owner_task *task);
/** Returns the outcome of a task whose last statement failed without an effect. */
enum outcome owner_task_failure_outcome (const struct owner_task *task);
/** Ends a task with the answer to a statement that had no effect. */
void owner_task_fail (struct owner_task *task, const struct upstream_answer *answer);
/** Returns the rows of @p answer without a copy. */
struct owner_rows owner_rows_from_answer (const struct upstream_answer *answer);

/* owner_once.c */

extern const char owner_once_insert[];
void owner_once_run (struct owner_task *task);
void owner_once_handle_answer (struct owner_task *task, const struct upstream_answer *answer);
/** Handles the loss of the connection, possibly with a statement outstanding. @p is_overdue: it was
 * closed because the answer exceeded the run limit. */
void owner_once_handle_lost (struct owner_task *task, bool is_overdue);

/* owner_mark.c */

/** Mark of a transaction that is stored with a request id in place of an answer. */
enum owner_mark
{
	OWNER_MARK_NONE,        /**< Not a mark but the answer of a single call. */
	OWNER_MARK_COMMITTED,   /**< Stored by the transaction itself. */
	OWNER_MARK_ROLLED_BACK, /**< Stored by a SETTLE request; a late COMMIT conflicts with it. */
};

enum
{
	OWNER_MARK_BYTES = 32, /**< Size of a mark's text with its terminating 0. */
};

void owner_mark_format (char text[OWNER_MARK_BYTES], enum owner_mark mark, uint64_t transaction);
/** Parses a stored answer. Sets @p transaction unless the result is OWNER_MARK_NONE. */
enum owner_mark owner_mark_parse (const char *text, uint64_t *transaction);

/* owner_acknowledge.c */

/** Waits until a majority has @p position, then ends the task with its end_outcome and rows. */
void owner_acknowledge (struct owner_task *task, struct log_position position);
/** Ends the writes that a majority has, that timed out or whose primary was replaced. */
void owner_acknowledge_settle (struct owner *owner);
/** Returns the time of the next query for waiting writes or of their first deadline; INT64_MAX:
 * none waits. */
int64_t owner_acknowledge_due_us (const struct owner *owner, int64_t now_us);
/** Queries the servers whose next query for waiting writes is due. */
void owner_acknowledge_poll (struct owner *owner, int64_t now_us);

/* owner_transaction.c */

/** Returns how many transactions may be open at once. */
uint32_t owner_transaction_limit (struct owner *owner);
struct owner_transaction *owner_transaction_find (const struct owner *owner, uint64_t id);
/** Opens a transaction on the connection that ran BEGIN, and ends the task. */
void owner_transaction_open (struct owner_task *task, const struct upstream_answer *answer);
/** Submits a statement, COMMIT or ROLLBACK, which runs after the earlier ones. */
void owner_transaction_submit (struct owner_transaction *transaction, struct owner_task *task);
/** Sends the statement of the transaction's current task. */
void owner_transaction_run (struct owner_task *task);
/** Removes a task that is about to be answered or dropped from its transaction. */
void owner_transaction_detach (struct owner_task *task);
/** Starts the next statement of the transaction, or its idle timer. It may have ended already. */
void owner_transaction_next (struct owner *owner, uint64_t id);
uint64_t owner_transaction_id (const struct owner_transaction *transaction);
/** Closes all transactions without answers. */
void owner_transaction_finish_all (struct owner *owner);
