#include "flamingospring/dispatch.h"

#include "common/log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
	DISPATCH_MAX_EXECUTIONS = 1 << 18,
};

/** One execution at an owner. From dispatch_submit() to handle_dispatch_returned() the fields
 * marked (owner) belong to the owner's thread. Sending the messages transfers them. */
struct dispatch
{
	struct mailbox_message message;
	struct mailbox_message cancel_message;
	struct dispatcher *dispatcher;
	const struct dispatch_thread *from;
	const struct dispatch_thread *to;
	struct execution *execution;
	struct owner_request request;
	struct fs_execute_result *result; /**< Copy for the submitting thread; NULL: none. */
	uint32_t handle;
	bool has_ended; /**< (owner) The message with the result was sent. */
	bool is_cancelled;
};

uint32_t
dispatch_thread_index (const char *database, uint32_t thread_count)
{
	return (uint32_t) (XXH3_64bits (database, strlen (database)) % thread_count);
}

int
dispatcher_init (struct dispatcher *dispatcher, const struct dispatch_thread *threads,
                 uint32_t thread_count, uint32_t self)
{
	memset (dispatcher, 0, sizeof *dispatcher);
	dispatcher->threads = threads;
	dispatcher->thread_count = thread_count;
	dispatcher->self = self;
	return handle_table_init (&dispatcher->dispatches, sizeof (struct dispatch *),
	                          DISPATCH_MAX_EXECUTIONS);
}

void
dispatcher_finish (struct dispatcher *dispatcher)
{
	uint32_t handle;

	/* The owners and threads have stopped, so nothing refers to the remaining dispatches. */
	while ((handle = handle_table_next (&dispatcher->dispatches, HANDLE_NONE)) != HANDLE_NONE)
	{
		struct dispatch **slot = handle_table_get (&dispatcher->dispatches, handle);

		free ((*slot)->result);
		free (*slot);
		handle_table_remove (&dispatcher->dispatches, handle);
	}
	handle_table_finish (&dispatcher->dispatches);
}

static void
dispatch_free (struct dispatch *dispatch)
{
	handle_table_remove (&dispatch->dispatcher->dispatches, dispatch->handle);
	free (dispatch->result);
	free (dispatch);
}

static void
execution_end (struct execution *execution, enum execution_status status,
               const struct fs_execute_result *result)
{
	execution->handle = 0;
	execution->handle_done (execution, status, result);
}

/** Receives the result in the submitting thread. */
static void
handle_dispatch_returned (struct mailbox_message *message, void *receiver)
{
	struct dispatch *dispatch = (struct dispatch *) message;
	enum execution_status status = EXECUTION_ANSWERED;

	(void) receiver;
	if (!dispatch->result)
		status = dispatch->is_cancelled ? EXECUTION_CANCELLED : EXECUTION_LOST;
	execution_end (dispatch->execution, status, dispatch->result);
	/* A cancel message still refers to the dispatch; handle_cancel_returned() frees it. */
	if (!dispatch->is_cancelled)
		dispatch_free (dispatch);
}

static void
dispatch_send_back (struct dispatch *dispatch)
{
	dispatch->has_ended = true;
	dispatch->message.handle_message = handle_dispatch_returned;
	mailbox_send (dispatch->from->mailbox, &dispatch->message);
}

static void
handle_owner_done (struct owner_request *request, const struct fs_execute_result *result)
{
	struct dispatch *dispatch = request->data;

	dispatch->result = execution_result_copy (result);
	if (!dispatch->result)
		log_event (LOG_LEVEL_ERROR, "result_dropped", "reason=out_of_memory");
	dispatch_send_back (dispatch);
}

static void
handle_local_done (struct owner_request *request, const struct fs_execute_result *result)
{
	struct dispatch *dispatch = request->data;
	struct execution *execution = dispatch->execution;

	dispatch_free (dispatch);
	execution_end (execution, EXECUTION_ANSWERED, result);
}

/** Runs in the owner's thread. */
static void
dispatch_submit (struct mailbox_message *message, void *receiver)
{
	struct dispatch *dispatch = (struct dispatch *) message;

	(void) receiver;
	owner_submit (dispatch->to->owners, &dispatch->request);
}

static struct dispatch *
dispatch_new (struct dispatcher *dispatcher, struct execution *execution)
{
	const struct fs_execute_args *args = execution->args;
	uint32_t to = dispatch_thread_index (args->database, dispatcher->thread_count);
	struct dispatch *dispatch = calloc (1, sizeof *dispatch);
	struct dispatch **slot;

	if (!dispatch)
		return NULL;
	dispatch->handle = handle_table_add (&dispatcher->dispatches);
	if (dispatch->handle == HANDLE_NONE)
	{
		free (dispatch);
		return NULL;
	}
	slot = handle_table_get (&dispatcher->dispatches, dispatch->handle);
	*slot = dispatch;
	dispatch->dispatcher = dispatcher;
	dispatch->from = &dispatcher->threads[dispatcher->self];
	dispatch->to = &dispatcher->threads[to];
	dispatch->execution = execution;
	dispatch->request.args = args;
	dispatch->request.trace = execution->trace;
	dispatch->request.deadline_us = execution->deadline_us;
	dispatch->request.data = dispatch;
	return dispatch;
}

void
dispatcher_execute (struct dispatcher *dispatcher, struct execution *execution)
{
	struct dispatch *dispatch = dispatch_new (dispatcher, execution);

	if (!dispatch)
	{
		struct fs_execute_result result =
			execution_result (OUTCOME_REFUSED, REASON_QUEUE_FULL, "too many requests in this VM");

		execution_end (execution, EXECUTION_ANSWERED, &result);
		return;
	}
	execution->handle = dispatch->handle;
	if (dispatch->from == dispatch->to)
	{
		dispatch->request.handle_done = handle_local_done;
		owner_submit (dispatch->to->owners, &dispatch->request);
		return;
	}
	dispatch->request.handle_done = handle_owner_done;
	dispatch->message.handle_message = dispatch_submit;
	mailbox_send (dispatch->to->mailbox, &dispatch->message);
}

/** Receives the cancel message back from the owner's thread, which no longer uses the dispatch. */
static void
handle_cancel_returned (struct mailbox_message *message, void *receiver)
{
	struct dispatch *dispatch =
		(struct dispatch *) ((char *) message - offsetof (struct dispatch, cancel_message));

	(void) receiver;
	dispatch_free (dispatch);
}

/** Runs in the owner's thread. */
static void
handle_cancel (struct mailbox_message *message, void *receiver)
{
	struct dispatch *dispatch =
		(struct dispatch *) ((char *) message - offsetof (struct dispatch, cancel_message));

	(void) receiver;
	if (!dispatch->has_ended)
	{
		owner_cancel (dispatch->to->owners, &dispatch->request);
		dispatch_send_back (dispatch);
	}
	/* Messages of one sender arrive in order, so this one arrives after the result. */
	message->handle_message = handle_cancel_returned;
	mailbox_send (dispatch->from->mailbox, message);
}

void
dispatcher_cancel (struct dispatcher *dispatcher, struct execution *execution)
{
	struct dispatch **slot =
		handle_table_get (&dispatcher->dispatches, (uint32_t) execution->handle);
	struct dispatch *dispatch = slot ? *slot : NULL;

	if (!dispatch || dispatch->execution != execution || dispatch->is_cancelled)
		return;
	if (dispatch->from == dispatch->to)
	{
		owner_cancel (dispatch->to->owners, &dispatch->request);
		dispatch_free (dispatch);
		execution_end (execution, EXECUTION_CANCELLED, NULL);
		return;
	}
	dispatch->is_cancelled = true;
	dispatch->cancel_message.handle_message = handle_cancel;
	mailbox_send (dispatch->to->mailbox, &dispatch->cancel_message);
}

uint32_t
dispatcher_in_flight (const struct dispatcher *dispatcher)
{
	return handle_table_count (&dispatcher->dispatches);
}
