/**
 * @file
 * Handling of callers' requests at their entry VM: checks, routing, attempts and retries within the
 * deadline, and the new session token.
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

/** A caller's request. All strings are allocated with GLib, and NULL when absent. */
struct entry_call
{
	fs_operation operation;
	char *service;     /**< For CALL and BEGIN. */
	char *call;        /**< For CALL and TRANSACTION_CALL. */
	char *database;    /**< For BEGIN when the service has several databases. */
	char *transaction; /**< Transaction handle, for all operations but CALL and BEGIN. */
	char **params;     /**< A NULL element is an SQL NULL. */
	size_t param_count;
	char *request_id;
	char *tenant;
	uint32_t timeout_ms; /**< 0: the default of the call's rank. */
	char *token;
	char *traceparent;
};

struct entry_call *entry_call_new (void);
void entry_call_free (struct entry_call *call);

/** Answer to the caller. Pointers are valid only while handle_done runs. */
struct entry_answer
{
	enum outcome outcome;
	enum reason reason;
	const char *message;
	uint32_t retry_after_ms;                /**< Time after which to try again; 0: none given. */
	const struct fs_execute_result *result; /**< Result with rows; NULL when no owner answered. */
	const char *server;                     /**< "database/index", or NULL. */
	const char *token;                      /**< New session token, or NULL. */
	const char *transaction;                /**< Handle of a begun transaction, or NULL. */
	const char *traceparent;
};

typedef void entry_handle_done (void *data, const struct entry_answer *answer);

/** Requests of callers in one traffic thread. */
struct entry_set
{
	struct loop *loop;
	struct snapshot_reader *reader;
	const struct execution_ops *ops;
	void *transport;
	struct known_servers known;
	struct handle_table requests; /**< Pointers to struct entry_request. */
	struct retry_budget budget;
	uint64_t random_state;
	uint32_t in_flight;
	bool is_stopped;
};

int entry_set_init (struct entry_set *set, struct loop *loop, struct snapshot_reader *reader,
                    const struct execution_ops *ops, void *transport, uint64_t seed);

/** Answers all requests and starts no new attempts. */
void entry_set_stop (struct entry_set *set);

/** Frees the set. The transport must have ended all executions. */
void entry_set_finish (struct entry_set *set);

/** Starts a request and takes ownership of @p call. @p handle_done runs exactly once, possibly
 * before this function returns, unless the request is cancelled.
 * @return a handle for entry_cancel(), or HANDLE_NONE when the request is already answered. */
uint32_t entry_start (struct entry_set *set, struct entry_call *call,
                      entry_handle_done *handle_done, void *data);

/** Cancels a request whose caller has disconnected. Its handle_done is not called any more. */
void entry_cancel (struct entry_set *set, uint32_t handle);

/** Retries the requests that wait for a server, after a new snapshot was published. */
void entry_set_handle_snapshot (struct entry_set *set);

/** @return the number of requests without an answer. */
uint32_t entry_set_in_flight (const struct entry_set *set);
