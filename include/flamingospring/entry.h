/**
 * @file
 * Requests of callers at their entry VM: checks, routing, attempts and retries within the deadline,
 * and the new session token.
 */
#pragma once

#include "common/handle_table.h"
#include "common/loop.h"
#include "decision/request.h"
#include "decision/retry.h"
#include "flamingospring/execution.h"
#include "flamingospring/known_servers.h"
#include "flamingospring/snapshot.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A caller's request. All strings are allocated with GLib; NULL when absent. */
struct entry_call
{
	fs_operation operation;
	char *service;     /**< CALL and BEGIN. */
	char *call;        /**< CALL and TRANSACTION_CALL. */
	char *database;    /**< BEGIN, when the service has several. */
	char *transaction; /**< Handle of the other operations. */
	char **params;     /**< NULL elements stand for NULL values. */
	size_t param_count;
	char *request_id;
	char *tenant;
	uint32_t timeout_ms; /**< 0: the default of the rank. */
	char *token;
	char *traceparent;
};

struct entry_call *entry_call_new (void);
void entry_call_free (struct entry_call *call);

/** What the caller gets. Pointers are valid during handle_done only. */
struct entry_answer
{
	enum outcome outcome;
	enum reason reason;
	const char *message;
	uint32_t retry_after_ms;                /**< 0: no hint. */
	const struct fs_execute_result *result; /**< Rows; NULL when no owner answered. */
	const char *server;                     /**< "database/index", or NULL. */
	const char *token;                      /**< New session token, or NULL. */
	const char *transaction;                /**< Handle of a begun transaction, or NULL. */
	const char *traceparent;
};

typedef void entry_handle_done (void *data, const struct entry_answer *answer);

/** Requests of one traffic thread. */
struct entry_set
{
	struct loop *loop;
	struct snapshot_reader *reader;
	const struct execution_ops *ops;
	void *transport;
	struct known_servers known;
	struct handle_table requests; /**< Of struct entry_request pointers. */
	struct retry_budget budget;
	uint64_t random_state;
	uint32_t unanswered;
	bool is_stopped;
};

int entry_set_init (struct entry_set *set, struct loop *loop, struct snapshot_reader *reader,
                    const struct execution_ops *ops, void *transport, uint64_t seed);

/** Answers all requests and starts no new attempts. */
void entry_set_stop (struct entry_set *set);

/** The transport must have ended all executions. */
void entry_set_finish (struct entry_set *set);

/** Takes over @p call. @p handle_done runs exactly once, perhaps inside this call.
 * @return a handle for entry_cancel(), or HANDLE_NONE when it is answered already. */
uint32_t entry_start (struct entry_set *set, struct entry_call *call,
                      entry_handle_done *handle_done, void *data);

/** The caller went away: handle_done does not run any more. */
void entry_cancel (struct entry_set *set, uint32_t handle);

/** The snapshot changed: requests that wait for a server try again. */
void entry_set_handle_snapshot (struct entry_set *set);

/** Requests that have no answer yet. */
uint32_t entry_set_in_flight (const struct entry_set *set);
