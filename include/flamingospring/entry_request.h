/**
 * @file
 * State of one request at its entry VM. Used by entry.c, entry_attempt.c and entry_check.c only.
 */
#pragma once

#include "decision/routing.h"
#include "flamingospring/entry.h"
#include "flamingospring/session_token.h"

/** Properties of a request, determined by entry_check(). Strings are copies, since the snapshot may
 * be replaced while the request runs. */
struct entry_plan
{
	char service[SCHEMA_NAME_BYTES];
	char database[SCHEMA_NAME_BYTES];
	uint32_t database_hash;
	bool is_write;     /**< Must run on the primary. */
	bool has_effect;   /**< An attempt without an answer may have changed the database. */
	bool is_retryable; /**< May run again after an attempt without an answer. */
	bool is_pinned;    /**< Belongs to a transaction, which exists in one VM only. */
	bool can_settle;   /**< COMMIT with a request id, for which no SETTLE was sent yet. */
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
	bool is_starting; /**< entry_start() has not returned yet. */
	bool is_waiting;  /**< Waits for the end of a back-off or for an available server. */
	struct loop_timer timer;
	int64_t deadline_us;
	uint32_t excluded; /**< Bit set of the servers that refused the request or lost it. */
	uint32_t avoided_vm;
	uint32_t attempts;
	bool may_have_run;
	enum reason wait_reason;
	struct trace_span accept_span;
	struct trace_span route_span;
	char traceparent[TRACEPARENT_BYTES];
};

/** Why a request is rejected. */
struct entry_problem
{
	enum outcome outcome;
	enum reason reason;
	const char *message;
};

/** Checks @p call against the snapshot and fills @p plan.
 * @return 0, or -EINVAL with @p problem set. */
int entry_check (struct entry_plan *plan, const struct entry_call *call,
                 const struct snapshot *snapshot, struct entry_problem *problem);

/** Routes and executes the request, or waits until a server is available. */
void entry_request_attempt (struct entry_request *request, int64_t now_us);

/** Handler of entry_request.execution. */
void entry_handle_execution_done (struct execution *execution, enum execution_status status,
                                  const struct fs_execute_result *result);

/** Handler of entry_request.timer. */
void entry_handle_request_timer (struct loop_timer *timer, int64_t now_us);

/** Answers the caller. The request may be freed. */
void entry_request_finish_result (struct entry_request *request,
                                  const struct fs_execute_result *result);
void entry_request_finish_reason (struct entry_request *request, enum outcome outcome,
                                  enum reason reason, const char *message);

/** Frees a request that is answered or cancelled and has no execution. Does nothing otherwise. */
void entry_request_free (struct entry_request *request);
