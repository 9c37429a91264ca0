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
	ENTRY_MAX_ATTEMPTS = 32,
	ENTRY_RETRY_PERCENT = 20, /* Retries per 100 requests. */
	ENTRY_RETRY_BURST = 200,  /* Retries at once, for a failover of one group. */
	ENTRY_BACKOFF_MIN_US = 10 * US_PER_MS,
	ENTRY_BACKOFF_MAX_US = 250 * US_PER_MS,
	/* The owner answers at the deadline; the caller gets an answer soon after it in any case. */
	ENTRY_GRACE_US = 150 * US_PER_MS,
	ENTRY_RETRY_HINT_MS = 500, /* No server can take it now; a failover takes near 1 s. */
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

/** Frees a request that is answered and has no execution. */
static void
request_free (struct entry_request *request)
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

/** Raises the token after an acknowledged write. */
static void
update_token (struct entry_request *request, enum outcome outcome,
              const struct fs_execute_result *result)
{
	struct entry_plan *plan = &request->plan;
	struct log_position written;
	int updated;

	if (outcome != OUTCOME_DONE || !result || result->written.term == 0)
		return;
	written = (struct log_position){ result->written.term, result->written.index };
	updated = session_token_update (&plan->token, plan->database_hash, written,
	                                clock_wall_ns () / 1000000);
	/* The room was checked before the write ran. */
	INVARIANT (updated == 0, "P1");
	if (!plan->has_token)
		plan->token.id = random_next (&request->set->random_state);
	plan->has_token = true;
}

/** Writes the token and the transaction's handle, which need the service's key. */
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

/** Gives the answer to the caller, once. */
static void
request_finish (struct entry_request *request, struct entry_answer *answer)
{
	entry_handle_done *handle_done = request->handle_done;
	char token[SESSION_TOKEN_MAX_BYTES];
	char handle[TRANSACTION_HANDLE_MAX_BYTES];
	char server[ENTRY_SERVER_BYTES];

	/* An earlier attempt may have run, so a refusal of the last one proves nothing (P5). */
	if (request->may_have_run && answer->outcome == OUTCOME_REFUSED)
	{
		answer->outcome = OUTCOME_UNKNOWN;
		answer->reason = REASON_CONNECTION_LOST;
		answer->message = "an earlier attempt may have run";
	}
	loop_cancel_timer (request->set->loop, &request->timer);
	request->is_waiting = false;
	request->set->unanswered--;
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
	request_free (request);
}

static void
request_finish_reason (struct entry_request *request, enum outcome outcome, enum reason reason,
                       const char *message)
{
	struct entry_answer answer = { .outcome = outcome, .reason = reason, .message = message };

	if (outcome == OUTCOME_REFUSED)
		answer.retry_after_ms = ENTRY_RETRY_HINT_MS;
	request_finish (request, &answer);
}

static void
request_finish_result (struct entry_request *request, const struct fs_execute_result *result)
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

/** Tries again after @p delay_us, or ends with the reason when the time is over by then. */
static void
request_wait (struct entry_request *request, enum reason reason, int64_t delay_us, int64_t now_us)
{
	int64_t due_us = now_us + delay_us;

	request->wait_reason = reason;
	request->is_waiting = true;
	if (due_us > request->deadline_us)
		due_us = request->deadline_us;
	if (loop_set_timer (request->set->loop, &request->timer, due_us) < 0)
		request_finish_reason (request, OUTCOME_REFUSED, reason, "out of memory");
}

static int64_t
request_backoff_us (struct entry_request *request)
{
	return backoff_delay_us (request->attempts, ENTRY_BACKOFF_MIN_US, ENTRY_BACKOFF_MAX_US,
	                         random_next (&request->set->random_state));
}

static bool
retry_is_allowed (struct entry_request *request, bool is_charged)
{
	if (request->set->is_stopped || request->attempts >= ENTRY_MAX_ATTEMPTS)
		return false;
	if (is_charged && !retry_budget_take (&request->set->budget))
		return false;
	counter_add (COUNTER_RETRIES, 1);
	return true;
}

/** Picks owner or standby; OWNERSHIP_NONE when neither is known. */
static uint32_t
choose_vm (const struct entry_request *request, const struct ownership *owners, int64_t now_us)
{
	const struct entry_set *set = request->set;
	bool owner_is_bad =
		owners->owner == OWNERSHIP_NONE || owners->owner == request->avoided_vm ||
		(set->ops->vm_is_down && set->ops->vm_is_down (set->transport, owners->owner, now_us));

	if (owner_is_bad && owners->standby != OWNERSHIP_NONE && owners->standby != request->avoided_vm)
		return owners->standby;
	return owners->owner;
}

static void
fill_routing_request (const struct entry_request *request, struct routing_request *routing,
                      int64_t now_us)
{
	const struct entry_plan *plan = &request->plan;

	*routing = (struct routing_request){
		.is_write = plan->is_write,
		.consistency = plan->consistency,
		.required = session_token_find (&plan->token, plan->database_hash),
		.max_age_us = plan->max_age_us,
		.deadline_us = request->deadline_us,
		.excluded = request->excluded,
	};
	for (uint32_t i = 0; i < plan->token.count; i++)
	{
		uint64_t wall_ms = clock_wall_ns () / 1000000;
		uint64_t written_ms = plan->token.entries[i].written_ms;

		if (plan->token.entries[i].database != plan->database_hash || written_ms == 0)
			continue;
		/* The clocks of VMs differ; the time is a hint only. */
		routing->required_at_us =
			wall_ms > written_ms ? now_us - (int64_t) (wall_ms - written_ms) * US_PER_MS : now_us;
	}
}

static enum reason
missing_server_reason (const struct routing_server *servers, size_t count)
{
	for (size_t i = 0; i < count; i++)
	{
		if (servers[i].is_primary)
			return servers[i].is_leaving ? REASON_LEAVING : REASON_UPSTREAM_DOWN;
	}
	return REASON_NO_PRIMARY;
}

/** Picks server and VM. @return REASON_NONE, or why there is none. */
static enum reason
request_route (struct entry_request *request, const struct snapshot *snapshot, int64_t now_us)
{
	const struct snapshot_group *group = snapshot_find_group (snapshot, request->plan.database);
	struct routing_server servers[ROUTING_MAX_SERVERS];
	struct routing_request routing;
	size_t count;

	if (!group)
		return REASON_CONFIG_BEHIND;
	count = known_group_routing (request->known, snapshot, group, servers, now_us);
	fill_routing_request (request, &routing, now_us);
	for (size_t tries = 0; tries < count; tries++)
	{
		struct routing_choice choice = routing_choose (
			servers, count, &routing, random_next (&request->set->random_state), now_us);

		if (choice.action == ROUTE_NONE)
			break;
		if (!known_group_allows (request->known, choice.server, now_us))
		{
			servers[choice.server].is_down = true;
			continue;
		}
		request->args.server = choice.server;
		request->execution.vm = choose_vm (request, &group->servers[choice.server].owners, now_us);
		return request->execution.vm == OWNERSHIP_NONE ? REASON_NOT_OWNER : REASON_NONE;
	}
	return missing_server_reason (servers, count);
}

static enum reason
request_route_pinned (struct entry_request *request, const struct snapshot *snapshot)
{
	request->args.server = request->plan.pinned_server;
	request->execution.vm = request->plan.pinned_vm;
	if (request->execution.vm == snapshot->self ||
	    snapshot_find_member (snapshot, request->execution.vm))
		return REASON_NONE;
	return REASON_NO_TRANSACTION;
}

static void
request_execute (struct entry_request *request, int64_t now_us)
{
	struct entry_set *set = request->set;
	int64_t left_ms = (request->deadline_us - now_us) / US_PER_MS;

	request->route_span =
		trace_span_start (&request->accept_span.context, "route", random_next (&set->random_state));
	request->execution.trace = request->route_span.context;
	request->execution.deadline_us = request->deadline_us;
	request->args.budget_ms = left_ms > 0 ? (u_int) left_ms : 1;
	request->attempts++;
	request->is_executing = true;
	loop_set_timer (set->loop, &request->timer, request->deadline_us + ENTRY_GRACE_US);
	set->ops->execute (set->transport, &request->execution);
}

/** The VM of a transaction is gone from the fleet. */
static void
request_finish_without_vm (struct entry_request *request)
{
	if (request->call->operation == FS_OPERATION_COMMIT)
		request_finish_reason (request, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
		                       "the VM of the transaction is gone");
	else
		request_finish_reason (request, OUTCOME_FAILED, REASON_NO_TRANSACTION,
		                       "the VM of the transaction is gone");
}

static void
request_attempt (struct entry_request *request, int64_t now_us)
{
	const struct snapshot *snapshot;
	const struct schema_service *service;
	enum reason reason;

	request->is_waiting = false;
	if (now_us >= request->deadline_us)
	{
		request_finish_reason (request, OUTCOME_REFUSED, request->wait_reason,
		                       "no server could take the request in time");
		return;
	}
	snapshot = snapshot_acquire (request->set->reader);
	service = snapshot_find_service (snapshot, request->plan.service);
	request->args.service_revision = service ? service->revision : 0;
	reason = request->plan.is_pinned ? request_route_pinned (request, snapshot)
	                                 : request_route (request, snapshot, now_us);
	snapshot_release (request->set->reader);
	if (reason == REASON_NONE)
		request_execute (request, now_us);
	else if (request->plan.is_pinned)
		request_finish_without_vm (request);
	else
	{
		/* Servers that refused may take it by the next try. */
		request->excluded = 0;
		request->avoided_vm = OWNERSHIP_NONE;
		request_wait (request, reason, ENTRY_BACKOFF_MIN_US + request_backoff_us (request), now_us);
	}
}

/** Reads and other calls that a VM or server lost on the way go to the next one. */
static void
request_handle_loss (struct entry_request *request, enum execution_status status, int64_t now_us)
{
	const struct entry_plan *plan = &request->plan;
	int64_t delay_us = request->avoided_vm ? request_backoff_us (request) : 0;

	request->avoided_vm = request->execution.vm;
	if (status == EXECUTION_NOT_SENT)
	{
		if (!plan->is_pinned && retry_is_allowed (request, false))
			request_wait (request, REASON_CONNECTION_LOST, delay_us, now_us);
		else
			request_finish_reason (request, OUTCOME_REFUSED, REASON_CONNECTION_LOST,
			                       "the owner of the server cannot be reached");
		return;
	}
	if (plan->has_effect)
		request->may_have_run = true;
	if (status == EXECUTION_LOST && plan->is_retryable && retry_is_allowed (request, true))
		request_wait (request, REASON_CONNECTION_LOST, delay_us, now_us);
	else if (status == EXECUTION_TIMED_OUT)
		request_finish_reason (request, OUTCOME_UNKNOWN, REASON_DEADLINE,
		                       "the owner gave no answer in time");
	else
		request_finish_reason (request, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
		                       "the connection to the owner broke");
}

/** What to do about a refusal. */
struct refusal_plan
{
	bool is_retried;
	bool is_charged;  /**< Takes from the retry budget. */
	bool is_excluded; /**< Not on this server. */
	bool is_avoided;  /**< Not at this VM. */
	bool is_delayed;
};

static struct refusal_plan
plan_refusal (const struct entry_request *request, const struct fs_execute_result *result)
{
	bool is_read = !request->plan.is_write;
	bool has_new_primary =
		request->known->term > 0 && request->known->primary != request->args.server;

	switch (result->reason)
	{
	case REASON_BEHIND:
	case REASON_TOO_OLD:
		/* Refused before it took a slot, and at most once for each server: free of charge. */
		return (struct refusal_plan){ .is_retried = true, .is_excluded = true };
	case REASON_LEAVING:
	case REASON_UPSTREAM_DOWN:
		return (struct refusal_plan){
			.is_retried = true, .is_charged = true, .is_excluded = is_read, .is_delayed = !is_read
		};
	case REASON_NOT_PRIMARY:
		return (struct refusal_plan){ .is_retried = true,
			                          .is_charged = true,
			                          .is_delayed = !has_new_primary || request->attempts > 2 };
	case REASON_NOT_OWNER:
		return (struct refusal_plan){ .is_retried = true,
			                          .is_charged = true,
			                          .is_avoided = true,
			                          .is_delayed = request->attempts > 1 };
	case REASON_NO_PRIMARY:
	case REASON_CONFIG_BEHIND:
	case REASON_CONNECTION_LOST:
		return (struct refusal_plan){ .is_retried = true, .is_charged = true, .is_delayed = true };
	default:
		return (struct refusal_plan){ 0 };
	}
}

static void
request_handle_refusal (struct entry_request *request, const struct fs_execute_result *result,
                        int64_t now_us)
{
	struct refusal_plan refusal = plan_refusal (request, result);

	if (request->plan.is_pinned || !refusal.is_retried ||
	    !retry_is_allowed (request, refusal.is_charged))
	{
		request_finish_result (request, result);
		return;
	}
	if (refusal.is_excluded)
		request->excluded |= 1u << request->args.server;
	if (refusal.is_avoided)
		request->avoided_vm = request->execution.vm;
	request_wait (request, (enum reason) result->reason,
	              refusal.is_delayed ? request_backoff_us (request) : 0, now_us);
}

/** The owner lost its connection to the server while the statement ran. */
static bool
request_retries_unknown (struct entry_request *request, const struct fs_execute_result *result,
                         int64_t now_us)
{
	if (result->outcome != OUTCOME_UNKNOWN || result->reason != REASON_CONNECTION_LOST ||
	    !request->plan.is_retryable || !retry_is_allowed (request, true))
		return false;
	if (request->plan.has_effect)
		request->may_have_run = true;
	else if (!request->plan.is_write)
		request->excluded |= 1u << request->args.server;
	request_wait (request, REASON_CONNECTION_LOST, request_backoff_us (request), now_us);
	return true;
}

/** A read whose answer is older than the session's writes breaks P1 and must not be given out. */
static bool
result_breaks_session (const struct entry_request *request, const struct fs_execute_result *result)
{
	const struct entry_plan *plan = &request->plan;
	struct log_position position = { result->server_position.term, result->server_position.index };

	return !plan->is_write && result->outcome == OUTCOME_DONE && position.term > 0 &&
	       !log_position_covers (position, session_token_find (&plan->token, plan->database_hash));
}

static void
request_handle_answer (struct entry_request *request, const struct fs_execute_result *result,
                       int64_t now_us)
{
	bool is_stale = result_breaks_session (request, result);

	known_group_report (request->known, request->args.server, result, now_us);
	INVARIANT (!is_stale, "P1");
	if (is_stale)
	{
		struct fs_execute_result behind =
			execution_result (OUTCOME_REFUSED, REASON_BEHIND, "the server lacks a write");

		request_handle_refusal (request, &behind, now_us);
		return;
	}
	if (result->outcome == OUTCOME_REFUSED)
		request_handle_refusal (request, result, now_us);
	else if (!request_retries_unknown (request, result, now_us))
		request_finish_result (request, result);
}

static void
handle_execution_done (struct execution *execution, enum execution_status status,
                       const struct fs_execute_result *result)
{
	struct entry_request *request = execution->data;
	int64_t now_us = clock_now_us ();

	request->is_executing = false;
	trace_span_end (&request->route_span,
	                result ? reason_name ((enum reason) result->reason) : "no answer");
	if (!request->handle_done)
	{
		/* The caller is gone, or has its answer; the response still tells about the server. */
		if (result)
		{
			known_group_report (request->known, request->args.server, result, now_us);
			counter_add (COUNTER_LATE_ANSWERS, 1);
		}
		request_free (request);
		return;
	}
	loop_cancel_timer (request->set->loop, &request->timer);
	if (status == EXECUTION_ANSWERED)
		request_handle_answer (request, result, now_us);
	else
		request_handle_loss (request, status, now_us);
}

static void
handle_request_timer (struct loop_timer *timer, int64_t now_us)
{
	struct entry_request *request = timer->data;

	if (!request->is_executing)
	{
		request_attempt (request, now_us);
		return;
	}
	request_finish_reason (request, OUTCOME_UNKNOWN, REASON_DEADLINE,
	                       "the owner gave no answer in time");
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
	args->required = (fs_position){ required.term, required.index };
	args->traceparent = request->traceparent;
	request->execution.args = args;
	request->execution.handle_done = handle_execution_done;
	request->execution.data = request;
}

/** Takes a request into the table. @return NULL when out of memory or full. */
static struct entry_request *
request_new (struct entry_set *set, struct entry_call *call)
{
	struct entry_request *request = calloc (1, sizeof *request);
	struct entry_request **place;
	struct trace_context context;

	if (!request)
		return NULL;
	request->handle = handle_table_add (&set->requests);
	if (request->handle == HANDLE_NONE)
	{
		free (request);
		return NULL;
	}
	place = handle_table_get (&set->requests, request->handle);
	*place = request;
	request->set = set;
	request->call = call;
	request->timer.handle_timer = handle_request_timer;
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
		request_finish_reason (request, problem.outcome, problem.reason, problem.message);
		return;
	}
	request->known = known_servers_group (&set->known, request->plan.database);
	request->deadline_us = now_us + (int64_t) request->plan.timeout_ms * US_PER_MS;
	request_fill_args (request);
	retry_budget_count_attempt (&set->budget);
	request_attempt (request, now_us);
}

uint32_t
entry_start (struct entry_set *set, struct entry_call *call, entry_handle_done *handle_done,
             void *data)
{
	struct entry_request *request = set->is_stopped ? NULL : request_new (set, call);
	uint32_t handle = HANDLE_NONE;

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
	set->unanswered++;
	request_start (request);
	request->is_starting = false;
	if (request->handle_done)
		handle = request->handle;
	else
		request_free (request);
	return handle;
}

void
entry_cancel (struct entry_set *set, uint32_t handle)
{
	struct entry_request **place = handle_table_get (&set->requests, handle);
	struct entry_request *request = place ? *place : NULL;

	if (!request || !request->handle_done)
		return;
	request->handle_done = NULL;
	set->unanswered--;
	loop_cancel_timer (set->loop, &request->timer);
	trace_span_end (&request->accept_span, "cancelled");
	/* The execution's handler frees the request. */
	if (request->is_executing)
		set->ops->cancel (set->transport, &request->execution);
	else
		request_free (request);
}

void
entry_set_handle_snapshot (struct entry_set *set)
{
	uint32_t handle = handle_table_next (&set->requests, HANDLE_NONE);
	int64_t now_us = clock_now_us ();

	for (; handle != HANDLE_NONE; handle = handle_table_next (&set->requests, handle))
	{
		struct entry_request **place = handle_table_get (&set->requests, handle);

		if ((*place)->is_waiting)
			loop_set_timer (set->loop, &(*place)->timer, now_us);
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
		struct entry_request **place = handle_table_get (&set->requests, handle);
		struct entry_request *request = *place;

		next = handle_table_next (&set->requests, handle);
		if (!request->handle_done)
			continue;
		if (request->is_executing && request->plan.has_effect)
			request->may_have_run = true;
		request_finish_reason (request, OUTCOME_REFUSED, REASON_LEAVING, "this VM stops");
	}
}

void
entry_set_finish (struct entry_set *set)
{
	uint32_t handle;

	while ((handle = handle_table_next (&set->requests, HANDLE_NONE)) != HANDLE_NONE)
	{
		struct entry_request **place = handle_table_get (&set->requests, handle);

		(*place)->is_executing = false;
		(*place)->handle_done = NULL;
		request_free (*place);
	}
	handle_table_finish (&set->requests);
	known_servers_finish (&set->known);
}

uint32_t
entry_set_in_flight (const struct entry_set *set)
{
	return set->unanswered;
}
