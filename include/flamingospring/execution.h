/**
 * @file
 * One attempt to run a request at the owner of a server, in this VM or another one.
 */
#pragma once

#include "common/trace.h"
#include "decision/request.h"
#include "protocols/peer.h"

#include <stdbool.h>
#include <stdint.h>

enum execution_status
{
	EXECUTION_ANSWERED,
	EXECUTION_NOT_SENT,  /**< The VM could not be reached; the request did not run. */
	EXECUTION_LOST,      /**< The connection broke after sending; the request may have run. */
	EXECUTION_TIMED_OUT, /**< No answer came in time; the request may have run. */
	EXECUTION_CANCELLED, /**< execution_ops.cancel was called; the request may have run. */
};

/** An execution. The submitter keeps its memory, including what @c args points to, valid until
 * handle_done has returned. */
struct execution
{
	const struct fs_execute_args *args;
	struct trace_context trace;
	int64_t deadline_us;
	uint32_t vm; /**< VM of the owner. */
	/** Called exactly once, possibly from within execute() or cancel(). @p result is NULL unless
	 * the status is EXECUTION_ANSWERED, and valid during the call only. */
	void (*handle_done) (struct execution *execution, enum execution_status status,
	                     const struct fs_execute_result *result);
	void *data;
	uint64_t handle; /**< Handle of the transport; 0 when it holds no state for this execution. */
};

/** Transport of executions to owners. */
struct execution_ops
{
	void (*execute) (void *transport, struct execution *execution);
	/** Cancels an execution whose caller disconnected. A queued request is dropped; a running one
	 * goes on. */
	void (*cancel) (void *transport, struct execution *execution);
	/** Returns whether calls to the VM failed recently, so that the standby should be used instead.
	 * NULL: never. */
	bool (*vm_is_down) (void *transport, uint32_t vm, int64_t now_us);
};

/** Returns a result that holds only @p outcome, @p reason and @p message. Keeps the pointer @p
 * message. */
struct fs_execute_result execution_result (enum outcome outcome, enum reason reason,
                                           const char *message);

/** Copies a result into one block of memory, to be freed with free(). @return NULL when out of
 * memory. */
struct fs_execute_result *execution_result_copy (const struct fs_execute_result *result);
