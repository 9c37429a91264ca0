/**
 * @file
 * One attempt to run a request at the owner of a server, in this VM or in another.
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
	EXECUTION_NOT_SENT,  /**< The VM could not be reached: it did not run. */
	EXECUTION_LOST,      /**< The connection broke after sending: it may have run. */
	EXECUTION_TIMED_OUT, /**< No answer in time: it may have run. */
	EXECUTION_CANCELLED, /**< After execution_ops.cancel; may have run. */
};

/** Memory of the submitter, with all that @c args points to, until handle_done ran. */
struct execution
{
	const struct fs_execute_args *args;
	struct trace_context trace;
	int64_t deadline_us;
	uint32_t vm; /**< Where the owner is. */
	/** Runs exactly once, perhaps inside execute() or cancel(). @p result is NULL unless the status
	 * is EXECUTION_ANSWERED, and valid during the call only. */
	void (*handle_done) (struct execution *execution, enum execution_status status,
	                     const struct fs_execute_result *result);
	void *data;
	uint64_t handle; /**< Of the transport; 0 when it holds nothing for it. */
};

/** Carries executions to owners. */
struct execution_ops
{
	void (*execute) (void *transport, struct execution *execution);
	/** The caller went away. A queued request is dropped; a running one goes on. */
	void (*cancel) (void *transport, struct execution *execution);
	/** Tells whether calls to the VM failed recently, so that the standby should be asked. NULL:
	 * never. */
	bool (*vm_is_down) (void *transport, uint32_t vm, int64_t now_us);
};

/** A result with @p outcome, @p reason and @p message and nothing else. The message is not copied. */
struct fs_execute_result execution_result (enum outcome outcome, enum reason reason,
                                           const char *message);

/** Copies a result into one block of memory, freed with free(). @return NULL when out of memory. */
struct fs_execute_result *execution_result_copy (const struct fs_execute_result *result);
