#include "common/clock.h"
#include "common/counters.h"
#include "flamingospring/entry_request.h"

enum
{
	ENTRY_MAX_ATTEMPTS = 32,
	ATTEMPT_BACKOFF_MIN_US = 10 * US_PER_MS,
	ATTEMPT_BACKOFF_MAX_US = 250 * US_PER_MS,
	/* The owner answers at the deadline; the answer is awaited for this much longer. */
	ATTEMPT_GRACE_US = 150 * US_PER_MS,
	/* A replica that takes longer than its estimated wait times the factor, plus the slack, has
	 * fallen behind, and another server may have the position already. */
	WAIT_FACTOR = 2,
	WAIT_SLACK_MS = 250,
};

/** Retries after @p delay_us, or ends with @p reason when the deadline has passed by then. */
static void
request_wait (struct entry_request *request, enum reason reason, int64_t delay_us, int64_t now_us)
{
	int64_t due_us = now_us + delay_us;

	request->wait_reason = reason;
	request->is_waiting = true;
	if (due_us > request->deadline_us)
		due_us = request->deadline_us;
	if (loop_set_timer (request->set->loop, &request->timer, due_us) < 0)
		entry_request_finish_reason (request, OUTCOME_REFUSED, reason, "out of memory");
}

static int64_t
request_backoff_us (struct entry_request *request)
{
	return backoff_delay_us (request->attempts, ATTEMPT_BACKOFF_MIN_US, ATTEMPT_BACKOFF_MAX_US,
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

/** Chooses the owner or its standby. @return OWNERSHIP_NONE when neither is available. */
static uint32_t
choose_vm (const struct entry_request *request, const struct ownership *owners, int64_t now_us)
{
	const struct entry_set *set = request->set;
	const uint32_t vms[] = { owners->owner, owners->standby };

	for (size_t i = 0; i < sizeof vms / sizeof vms[0]; i++)
	{
		if (vms[i] == OWNERSHIP_NONE || vms[i] == request->avoided_vm)
			continue;
		if (!set->ops->vm_is_down || !set->ops->vm_is_down (set->transport, vms[i], now_us))
			return vms[i];
	}
	return OWNERSHIP_NONE;
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
		/* The time is only a hint, since the clocks of VMs differ. */
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

/** Chooses a server and a VM. @return REASON_NONE, or the reason why there is none. */
static enum reason
request_route (struct entry_request *request, const struct snapshot *snapshot, int64_t now_us)
{
	const struct snapshot_group *group = snapshot_find_group (snapshot, request->plan.database);
	struct routing_server servers[ROUTING_MAX_SERVERS];
	struct routing_request routing;
	size_t count;

	if (!group)
		return REASON_CONFIG_BEHIND;
	count =
		known_group_routing (request->known, snapshot, group, request->plan.rank, servers, now_us);
	fill_routing_request (request, &routing, now_us);
	for (size_t tries = 0; tries < count; tries++)
	{
		struct routing_choice choice = routing_choose (
			servers, count, &routing, random_next (&request->set->random_state), now_us);

		if (choice.action == ROUTE_NONE)
			break;
		request->args.server = choice.server;
		request->args.wait_ms = WAIT_FACTOR * choice.wait_us / US_PER_MS + WAIT_SLACK_MS;
		request->execution.vm = choose_vm (request, &group->servers[choice.server].owners, now_us);
		if (request->execution.vm != OWNERSHIP_NONE &&
		    known_group_allows (request->known, choice.server, now_us))
			return REASON_NONE;
		servers[choice.server].is_down = true;
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
	loop_set_timer (set->loop, &request->timer, request->deadline_us + ATTEMPT_GRACE_US);
	set->ops->execute (set->transport, &request->execution);
}

/** Asks the current primary for the result of a COMMIT with a request id whose transaction cannot
 * be reached or has ended. @return false when the request is not such a COMMIT. */
static bool
request_settle (struct entry_request *request, int64_t now_us)
{
	if (!request->plan.can_settle)
		return false;
	if (!retry_is_allowed (request, false))
	{
		entry_request_finish_reason (request, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
		                             "the commit is not settled");
		return true;
	}
	counter_add (COUNTER_COMMITS_SETTLED, 1);
	request->plan.can_settle = false;
	request->plan.is_pinned = false;
	request->plan.is_retryable = true;
	request->args.operation = FS_OPERATION_SETTLE;
	/* The COMMIT may have run, by this request or by an earlier one of the caller. */
	request->may_have_run = true;
	request_wait (request, REASON_CONNECTION_LOST, 0, now_us);
	return true;
}

/** Ends a request whose transaction's VM has left the fleet. */
static void
request_finish_without_vm (struct entry_request *request, int64_t now_us)
{
	if (request_settle (request, now_us))
		return;
	if (request->call->operation == FS_OPERATION_COMMIT)
		entry_request_finish_reason (request, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
		                             "the VM of the transaction is gone");
	else
		entry_request_finish_reason (request, OUTCOME_FAILED, REASON_NO_TRANSACTION,
		                             "the VM of the transaction is gone");
}

void
entry_request_attempt (struct entry_request *request, int64_t now_us)
{
	const struct snapshot *snapshot;
	const struct schema_service *service;
	enum reason reason;

	request->is_waiting = false;
	if (now_us >= request->deadline_us)
	{
		entry_request_finish_reason (request, OUTCOME_REFUSED, request->wait_reason,
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
		request_finish_without_vm (request, now_us);
	else
	{
		/* Servers that refused the request may accept it at the next attempt. */
		request->excluded = 0;
		request->avoided_vm = OWNERSHIP_NONE;
		request_wait (request, reason, ATTEMPT_BACKOFF_MIN_US + request_backoff_us (request),
		              now_us);
	}
}

/** Handles an execution without an answer: the request is retried when that is safe, or ends. */
static void
request_handle_loss (struct entry_request *request, enum execution_status status, int64_t now_us)
{
	const struct entry_plan *plan = &request->plan;
	int64_t delay_us = request->avoided_vm ? request_backoff_us (request) : 0;

	request->avoided_vm = request->execution.vm;
	if (status != EXECUTION_TIMED_OUT && request_settle (request, now_us))
		return;
	if (status == EXECUTION_NOT_SENT)
	{
		if (!plan->is_pinned && retry_is_allowed (request, false))
			request_wait (request, REASON_CONNECTION_LOST, delay_us, now_us);
		else
			entry_request_finish_reason (request, OUTCOME_REFUSED, REASON_CONNECTION_LOST,
			                             "the owner of the server cannot be reached");
		return;
	}
	if (plan->has_effect)
		request->may_have_run = true;
	if (status == EXECUTION_LOST && plan->is_retryable && retry_is_allowed (request, true))
		request_wait (request, REASON_CONNECTION_LOST, delay_us, now_us);
	else if (status == EXECUTION_TIMED_OUT)
		entry_request_finish_reason (request, OUTCOME_UNKNOWN, REASON_DEADLINE,
		                             "the owner gave no answer in time");
	else
		entry_request_finish_reason (request, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST,
		                             "the connection to the owner broke");
}

/** How to retry after a refusal. */
struct retry_plan
{
	bool is_useful;       /**< The refusal may not be final. */
	bool is_charged;      /**< The retry counts against the retry budget. */
	bool excludes_server; /**< The retry goes to another server. */
	bool avoids_vm;       /**< The retry goes to another VM. */
	bool is_delayed;
};

static struct retry_plan
plan_retry (const struct entry_request *request, const struct fs_execute_result *result)
{
	bool is_read = !request->plan.is_write;
	bool has_new_primary =
		request->known->term > 0 && request->known->primary != request->args.server;

	switch (result->reason)
	{
	case REASON_BEHIND:
	case REASON_TOO_OLD:
		/* Not charged: refused before it took a slot, and at most once per server. */
		return (struct retry_plan){ .is_useful = true, .excludes_server = true };
	case REASON_LEAVING:
	case REASON_UPSTREAM_DOWN:
		return (struct retry_plan){ .is_useful = true,
			                        .is_charged = true,
			                        .excludes_server = is_read,
			                        .is_delayed = !is_read };
	case REASON_NOT_PRIMARY:
		return (struct retry_plan){ .is_useful = true,
			                        .is_charged = true,
			                        .is_delayed = !has_new_primary || request->attempts > 2 };
	case REASON_NOT_OWNER:
		return (struct retry_plan){ .is_useful = true,
			                        .is_charged = true,
			                        .avoids_vm = true,
			                        .is_delayed = request->attempts > 1 };
	case REASON_NO_PRIMARY:
	case REASON_CONFIG_BEHIND:
	case REASON_CONNECTION_LOST:
		return (struct retry_plan){ .is_useful = true, .is_charged = true, .is_delayed = true };
	default:
		return (struct retry_plan){ 0 };
	}
}

static void
request_handle_refusal (struct entry_request *request, const struct fs_execute_result *result,
                        int64_t now_us)
{
	struct retry_plan retry = plan_retry (request, result);

	if (request->plan.is_pinned || !retry.is_useful ||
	    !retry_is_allowed (request, retry.is_charged))
	{
		entry_request_finish_result (request, result);
		return;
	}
	if (retry.excludes_server)
		request->excluded |= 1u << request->args.server;
	if (retry.avoids_vm)
		request->avoided_vm = request->execution.vm;
	request_wait (request, (enum reason) result->reason,
	              retry.is_delayed ? request_backoff_us (request) : 0, now_us);
}

/** Retries a request when the owner lost its connection to the server while the statement ran.
 * @return false when it must not be retried. */
static bool
request_retry_unknown (struct entry_request *request, const struct fs_execute_result *result,
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

/** @return whether the transaction of a COMMIT has ended or the answer to the COMMIT was lost. */
static bool
result_needs_settle (const struct fs_execute_result *result)
{
	if (result->outcome == OUTCOME_FAILED)
		return result->reason == REASON_NO_TRANSACTION;
	return result->outcome == OUTCOME_UNKNOWN &&
	       (result->reason == REASON_CONNECTION_LOST || result->reason == REASON_DEADLINE);
}

/** @return whether a read's result is older than the session's writes, which would break P1. */
static bool
result_violates_session (const struct entry_request *request,
                         const struct fs_execute_result *result)
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
	bool is_stale = result_violates_session (request, result);

	known_group_report (request->known, request->args.server, request->plan.rank, result, now_us);
	INVARIANT (!is_stale, "P1");
	if (is_stale)
	{
		struct fs_execute_result behind =
			execution_result (OUTCOME_REFUSED, REASON_BEHIND, "the server lacks a write");

		request_handle_refusal (request, &behind, now_us);
		return;
	}
	if (result_needs_settle (result) && request_settle (request, now_us))
		return;
	if (result->outcome == OUTCOME_REFUSED)
		request_handle_refusal (request, result, now_us);
	else if (!request_retry_unknown (request, result, now_us))
		entry_request_finish_result (request, result);
}

void
entry_handle_execution_done (struct execution *execution, enum execution_status status,
                             const struct fs_execute_result *result)
{
	struct entry_request *request = execution->data;
	int64_t now_us = clock_now_us ();

	request->is_executing = false;
	trace_span_end (&request->route_span,
	                result ? reason_name ((enum reason) result->reason) : "no answer");
	if (!request->handle_done)
	{
		/* The caller has disconnected or is answered already. The result still updates the server's
		 * state. */
		if (result)
		{
			known_group_report (request->known, request->args.server, request->plan.rank, result,
			                    now_us);
			counter_add (COUNTER_LATE_ANSWERS, 1);
		}
		entry_request_free (request);
		return;
	}
	loop_cancel_timer (request->set->loop, &request->timer);
	if (result)
		request_handle_answer (request, result, now_us);
	else
		request_handle_loss (request, status, now_us);
}

void
entry_handle_request_timer (struct loop_timer *timer, int64_t now_us)
{
	struct entry_request *request = timer->data;

	if (!request->is_executing)
	{
		entry_request_attempt (request, now_us);
		return;
	}
	entry_request_finish_reason (request, OUTCOME_UNKNOWN, REASON_DEADLINE,
	                             "the owner gave no answer in time");
}
