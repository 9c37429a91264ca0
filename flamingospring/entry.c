#include "flamingospring/entry.h"

#include "common/clock.h"
#include "common/counters.h"
#include "flamingospring/entry_request.h"
#include "flamingospring/transaction_handle.h"

#include <stdlib.h>
#include <string.h>

enum
{
	ENTRY_MAX_REQUESTS = 1 << 18,
	ENTRY_RETRY_PERCENT = 20,  /* Retries per 100 requests. */
	ENTRY_RETRY_BURST = 200,   /* Retries in a burst, as in a failover of one group. */
	ENTRY_RETRY_HINT_MS = 500, /* Hint after a refusal; a failover takes about 1 s. */
	ENTRY_SERVER_BYTES = SCHEMA_NAME_BYTES + 16,
};

struct entry_call *
entry_call_new (void)
{
	return g_new0 (struct entry_call, 1);
}

void
entry_call_free (struct entry_call *call)
{
	if (!call)
		return;
	for (size_t i = 0; i < call->param_count; i++)
		g_free (call->params[i]);
	g_free (call->params);
	g_free (call->service);
	g_free (call->call);
	g_free (call->database);
	g_free (call->transaction);
	g_free (call->request_id);
	g_free (call->tenant);
	g_free (call->token);
	g_free (call->traceparent);
	g_free (call);
}

void
entry_request_free (struct entry_request *request)
{
	if (request->is_executing || request->is_starting || request->handle_done)
		return;
	loop_cancel_timer (request->set->loop, &request->timer);
	handle_table_remove (&request->set->requests, request->handle);
	entry_call_free (request->call);
	free (request);
}

static void
count_answer (const struct entry_request *request, enum outcome outcome,
              const struct fs_execute_result *result)
{
	static const enum counter outcomes[] = {
		[OUTCOME_DONE] = COUNTER_REQUESTS_DONE,
		[OUTCOME_REFUSED] = COUNTER_REQUESTS_REFUSED,
		[OUTCOME_FAILED] = COUNTER_REQUESTS_FAILED,
		[OUTCOME_UNKNOWN] = COUNTER_REQUESTS_UNKNOWN,
	};
	const struct entry_plan *plan = &request->plan;

	counter_add (outcomes[outcome], 1);
	if (outcome != OUTCOME_DONE || !result)
		return;
	if (result->replayed)
		counter_add (COUNTER_REPLAYS, 1);
	if (plan->is_write)
	{
		if (plan->has_effect)
			counter_add (COUNTER_WRITES, 1);
		return;
	}
	if (plan->consistency != READ_PRIMARY)
		counter_add (COUNTER_READS_REPLICA_POSSIBLE, 1);
	counter_add (result->server_is_primary ? COUNTER_READS_PRIMARY : COUNTER_READS_REPLICA, 1);
}

/* Returns the position that later reads of the session have to see; term 0: none. A write that
 * fails on the primary has read the data that it failed on, perhaps an earlier attempt of the same
 * insert whose answer was lost. The position may be lost with the primary, which is harmless, since
 * any higher term covers it. */
static struct log_position
required_position (const struct entry_plan *plan, enum outcome outcome,
                   const struct fs_execute_result *result)
{
	bool has_read =
		outcome == OUTCOME_DONE && !plan->is_write && plan->consistency == READ_MONOTONIC;
	bool has_failed = result->outcome == OUTCOME_FAILED && result->reason == REASON_STATEMENT &&
	                  plan->is_write && result->server_is_primary;
	const struct fs_position *position = NULL;

	if (has_read || has_failed)
		position = &result->server_position;
	else if (outcome == OUTCOME_DONE)
		position = &result->written;
	if (!position)
		return (struct log_position){ 0 };
	return (struct log_position){ position->term, position->index };
}

/** Raises the token's position after an acknowledged or failed write and after a monotonic read. */
static void
update_token (struct entry_request *request, enum outcome outcome,
              const struct fs_execute_result *result)
{
	struct entry_plan *plan = &request->plan;
	struct log_position seen = { 0 };
	int updated;

	if (result)
		seen = required_position (plan, outcome, result);
	if (seen.term == 0)
		return;
	updated =
		session_token_update (&plan->token, plan->database_hash, seen, clock_wall_ns () / 1000000);
	/* Room in the token was checked before the request ran. */
	INVARIANT (updated == 0, "P1");
	if (!plan->has_token)
		plan->token.id = random_next (&request->set->random_state);
	plan->has_token = true;
}

/** Encodes the session token and the transaction handle, signed with the service's key. */
static void
answer_sign (struct entry_request *request, struct entry_answer *answer,
             char token[SESSION_TOKEN_MAX_BYTES], char handle[TRANSACTION_HANDLE_MAX_BYTES])
{
	const struct entry_plan *plan = &request->plan;
	const struct snapshot *snapshot = snapshot_acquire (request->set->reader);
	const struct schema_service *service =
		snapshot ? snapshot_find_service (snapshot, plan->service) : NULL;

	if (service && plan->has_token &&
	    session_token_encode (&plan->token, service, token, SESSION_TOKEN_MAX_BYTES) > 0)
		answer->token = token;
	if (service && request->call->operation == FS_OPERATION_BEGIN &&
	    answer->outcome == OUTCOME_DONE && answer->result)
	{
		struct transaction_handle parts = {
			.vm = request->execution.vm,
			.server = request->args.server,
			.transaction = answer->result->transaction,
		};

		g_strlcpy (parts.database, plan->database, sizeof parts.database);
		g_strlcpy (parts.service, plan->service, sizeof parts.service);
		if (transaction_handle_encode (&parts, service, handle, TRANSACTION_HANDLE_MAX_BYTES) > 0)
			answer->transaction = handle;
	}
	snapshot_release (request->set->reader);
}

/** Checks whether the answer is that of a SETTLE which proves that no attempt has committed. */
static bool
answer_settles (const struct entry_request *request, const struct entry_answer *answer)
{
	return request->args.operation == FS_OPERATION_SETTLE &&
	       (answer->reason == REASON_ROLLED_BACK || answer->reason == REASON_BAD_REQUEST);
}

/** Sends the answer to the caller and frees the request. */
static void
request_finish (struct entry_request *request, struct entry_answer *answer)
{
	entry_handle_done *handle_done = request->handle_done;
	char token[SESSION_TOKEN_MAX_BYTES];
	char handle[TRANSACTION_HANDLE_MAX_BYTES];
	char server[ENTRY_SERVER_BYTES];
	bool is_uncertain = request->may_have_run && !answer_settles (request, answer);

	/* An earlier attempt may have run, so a refusal or an error of the last one does not prove that
	 * the request had no effect (P5). */
	if (is_uncertain && answer->outcome == OUTCOME_REFUSED)
	{
		answer->reason = REASON_CONNECTION_LOST;
		answer->message = "an earlier attempt may have run";
	}
	if (is_uncertain && (answer->outcome == OUTCOME_REFUSED || answer->outcome == OUTCOME_FAILED))
		answer->outcome = OUTCOME_UNKNOWN;
	loop_cancel_timer (request->set->loop, &request->timer);
	request->is_waiting = false;
	request->set->in_flight--;
	count_answer (request, answer->outcome, answer->result);
	if (request->plan.service[0])
	{
		update_token (request, answer->outcome, answer->result);
		answer_sign (request, answer, token, handle);
	}
	if (answer->result && request->plan.database[0])
	{
		g_snprintf (server, sizeof server, "%s/%u", request->plan.database, request->args.server);
		answer->server = server;
	}
	answer->traceparent = request->traceparent;
	trace_span_end (&request->accept_span, outcome_name (answer->outcome));
	request->handle_done = NULL;
	if (handle_done)
		handle_done (request->data, answer);
	answer->token = NULL;
	answer->transaction = NULL;
	answer->server = NULL;
	entry_request_free (request);
}

void
entry_request_finish_reason (struct entry_request *request, enum outcome outcome,
                             enum reason reason, const char *message)
{
	struct entry_answer answer = { .outcome = outcome, .reason = reason, .message = message };

	if (outcome == OUTCOME_REFUSED)
		answer.retry_after_ms = ENTRY_RETRY_HINT_MS;
	request_finish (request, &answer);
}

void
entry_request_finish_result (struct entry_request *request, const struct fs_execute_result *result)
{
	struct entry_answer answer = {
		.outcome = (enum outcome) result->outcome,
		.reason = (enum reason) result->reason,
		.message = result->message,
		.retry_after_ms = result->retry_after_ms,
		.result = result,
	};

	request_finish (request, &answer);
}

static char *
text_or_empty (char *text)
{
	return text ? text : (char *) "";
}

static void
request_fill_args (struct entry_request *request)
{
	struct entry_call *call = request->call;
	struct entry_plan *plan = &request->plan;
	struct log_position required = session_token_find (&plan->token, plan->database_hash);
	struct fs_execute_args *args = &request->args;

	for (size_t i = 0; i < call->param_count; i++)
		request->values[i] = call->params[i] ? &call->params[i] : NULL;
	args->operation = call->operation;
	args->service = plan->service;
	args->call = text_or_empty (call->call);
	args->database = plan->database;
	args->transaction = plan->transaction;
	args->params.params_len = (u_int) call->param_count;
	args->params.params_val = request->values;
	args->request_id = text_or_empty (call->request_id);
	args->tenant = text_or_empty (call->tenant);
	args->required = (struct fs_position){ required.term, required.index };
	args->traceparent = request->traceparent;
	request->execution.args = args;
	request->execution.handle_done = entry_handle_execution_done;
	request->execution.data = request;
}

/** Allocates a request and its handle. @return NULL when out of memory or of handles. */
static struct entry_request *
request_new (struct entry_set *set, struct entry_call *call)
{
	struct entry_request *request = calloc (1, sizeof *request);
	struct entry_request **slot;
	struct trace_context context;

	if (!request)
		return NULL;
	request->handle = handle_table_add (&set->requests);
	if (request->handle == HANDLE_NONE)
	{
		free (request);
		return NULL;
	}
	slot = handle_table_get (&set->requests, request->handle);
	*slot = request;
	request->set = set;
	request->call = call;
	request->timer.handle_timer = entry_handle_request_timer;
	request->timer.data = request;
	context = trace_context_parse (call->traceparent, random_next (&set->random_state));
	request->accept_span = trace_span_start (&context, "accept", random_next (&set->random_state));
	trace_context_format (&request->accept_span.context, request->traceparent);
	return request;
}

static void
request_start (struct entry_request *request)
{
	struct entry_set *set = request->set;
	struct entry_problem problem;
	int64_t now_us = clock_now_us ();
	int result =
		entry_check (&request->plan, request->call, snapshot_acquire (set->reader), &problem);

	snapshot_release (set->reader);
	if (result < 0)
	{
		entry_request_finish_reason (request, problem.outcome, problem.reason, problem.message);
		return;
	}
	request->known = known_servers_group (&set->known, request->plan.database);
	request->deadline_us = now_us + (int64_t) request->plan.timeout_ms * US_PER_MS;
	request_fill_args (request);
	retry_budget_count_attempt (&set->budget);
	entry_request_attempt (request, now_us);
}

static struct entry_request *
request_find (const struct entry_set *set, uint32_t handle)
{
	struct entry_request **slot = handle_table_get (&set->requests, handle);

	return slot ? *slot : NULL;
}

uint32_t
entry_start (struct entry_set *set, struct entry_call *call, entry_handle_done *handle_done,
             void *data)
{
	struct entry_request *request = set->is_stopped ? NULL : request_new (set, call);
	uint32_t handle;

	counter_add (COUNTER_REQUESTS, 1);
	if (!request)
	{
		struct entry_answer answer = {
			.outcome = OUTCOME_REFUSED,
			.reason = set->is_stopped ? REASON_LEAVING : REASON_QUEUE_FULL,
			.message = "this VM takes no more requests",
			.retry_after_ms = ENTRY_RETRY_HINT_MS,
		};

		counter_add (COUNTER_REQUESTS_REFUSED, 1);
		handle_done (data, &answer);
		entry_call_free (call);
		return HANDLE_NONE;
	}
	request->handle_done = handle_done;
	request->data = data;
	request->is_starting = true;
	set->in_flight++;
	handle = request->handle;
	request_start (request);
	request = request_find (set, handle);
	request->is_starting = false;
	if (request->handle_done)
		return handle;
	entry_request_free (request);
	return HANDLE_NONE;
}

void
entry_cancel (struct entry_set *set, uint32_t handle)
{
	struct entry_request *request = request_find (set, handle);

	if (!request || !request->handle_done)
		return;
	request->handle_done = NULL;
	set->in_flight--;
	loop_cancel_timer (set->loop, &request->timer);
	trace_span_end (&request->accept_span, "cancelled");
	/* The execution's handler frees the request. */
	if (request->is_executing)
		set->ops->cancel (set->transport, &request->execution);
	else
		entry_request_free (request);
}

void
entry_set_handle_snapshot (struct entry_set *set)
{
	uint32_t handle = handle_table_next (&set->requests, HANDLE_NONE);
	int64_t now_us = clock_now_us ();

	for (; handle != HANDLE_NONE; handle = handle_table_next (&set->requests, handle))
	{
		struct entry_request **slot = handle_table_get (&set->requests, handle);

		if ((*slot)->is_waiting)
			loop_set_timer (set->loop, &(*slot)->timer, now_us);
	}
}

int
entry_set_init (struct entry_set *set, struct loop *loop, struct snapshot_reader *reader,
                const struct execution_ops *ops, void *transport, uint64_t seed)
{
	memset (set, 0, sizeof *set);
	set->loop = loop;
	set->reader = reader;
	set->ops = ops;
	set->transport = transport;
	set->random_state = seed;
	known_servers_init (&set->known);
	retry_budget_init (&set->budget, ENTRY_RETRY_PERCENT, ENTRY_RETRY_BURST);
	return handle_table_init (&set->requests, sizeof (struct entry_request *), ENTRY_MAX_REQUESTS);
}

void
entry_set_stop (struct entry_set *set)
{
	uint32_t handle;
	uint32_t next;

	set->is_stopped = true;
	for (handle = handle_table_next (&set->requests, HANDLE_NONE); handle != HANDLE_NONE;
	     handle = next)
	{
		struct entry_request **slot = handle_table_get (&set->requests, handle);
		struct entry_request *request = *slot;

		next = handle_table_next (&set->requests, handle);
		if (!request->handle_done)
			continue;
		if (request->is_executing && request->plan.has_effect)
			request->may_have_run = true;
		entry_request_finish_reason (request, OUTCOME_REFUSED, REASON_LEAVING, "this VM stops");
	}
}

void
entry_set_finish (struct entry_set *set)
{
	uint32_t handle;

	while ((handle = handle_table_next (&set->requests, HANDLE_NONE)) != HANDLE_NONE)
	{
		struct entry_request **slot = handle_table_get (&set->requests, handle);

		(*slot)->is_executing = false;
		(*slot)->handle_done = NULL;
		entry_request_free (*slot);
	}
	handle_table_finish (&set->requests);
	known_servers_finish (&set->known);
}

uint32_t
entry_set_in_flight (const struct entry_set *set)
{
	return set->in_flight;
}
