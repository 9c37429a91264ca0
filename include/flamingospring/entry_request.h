/**
 * @file
 * State of one request at its entry VM; shared by entry.c, entry_attempt.c and entry_check.c only.
 */
#pragma once

#include "decision/routing.h"
#include "flamingospring/entry.h"
#include "flamingospring/session_token.h"

/** What the checks found out about a request. Copied, since snapshots may change while it runs. */
struct entry_plan
{
	char service[SCHEMA_NAME_BYTES];
	char database[SCHEMA_NAME_BYTES];
	uint32_t database_hash;
	bool is_write;     /**< Goes to the primary. */
	bool has_effect;   /**< An attempt without an answer may have changed the database. */
	bool is_retryable; /**< May run again after an attempt without an answer. */
	bool is_pinned;    /**< Belongs to a transaction, which lives in one VM. */
	bool can_settle;   /**< COMMIT with a request id that was not settled yet. */
	enum rank rank;
	enum read_consistency consistency;
	int64_t max_age_us;
	uint32_t timeout_ms;
	uint32_t pinned_vm;
	uint32_t pinned_server;
	uint64_t transaction;
	struct session_token token;
	bool has_token;
};

struct entry_request
{
	struct entry_set *set;
	uint32_t handle;
	struct entry_call *call;
	entry_handle_done *handle_done; /**< NULL once answered or cancelled. */
	void *data;
	struct entry_plan plan;
	struct known_group *known;
	struct fs_execute_args args;
	fs_value values[FS_MAX_PARAMS];
	struct execution execution;
	bool is_executing;
	bool is_starting; /**< Inside entry_start(). */
	bool is_waiting;  /**< For a back-off, or for a server that can take it. */
	struct loop_timer timer;
	int64_t deadline_us;
	uint32_t excluded; /**< Servers that refused it. */
	uint32_t avoided_vm;
	uint32_t attempts;
	bool may_have_run;
	enum reason wait_reason;
	struct trace_span accept_span;
	struct trace_span route_span;
	char traceparent[TRACEPARENT_BYTES];
};

/** Why a request is not acceptable. */
struct entry_problem
{
	enum outcome outcome;
	enum reason reason;
	const char *message;
};

/** Checks @p call against the snapshot. @return 0, or -EINVAL with @p problem set. */
int entry_check (struct entry_plan *plan, const struct entry_call *call,
                 const struct snapshot *snapshot, struct entry_problem *problem);

/** Routes and executes, or waits for a server that can take the request. */
void entry_request_attempt (struct entry_request *request, int64_t now_us);

/** Of entry_request.execution. */
void entry_handle_execution_done (struct execution *execution, enum execution_status status,
                                  const struct fs_execute_result *result);

/** Of entry_request.timer. */
void entry_handle_request_timer (struct loop_timer *timer, int64_t now_us);

/** Gives the caller its answer; the request may be freed. */
void entry_request_finish_result (struct entry_request *request,
                                  const struct fs_execute_result *result);
void entry_request_finish_reason (struct entry_request *request, enum outcome outcome,
                                  enum reason reason, const char *message);

/** Frees a request that is answered and has no execution; otherwise does nothing. */
void entry_request_free (struct entry_request *request);
