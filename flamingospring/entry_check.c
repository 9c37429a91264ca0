#include "common/clock.h"
#include "flamingospring/entry_request.h"
#include "flamingospring/transaction_handle.h"

#include <errno.h>
#include <string.h>

enum
{
	TIMEOUT_MAX_MS = 600 * 1000,
};

static int
reject (struct entry_problem *problem, enum outcome outcome, enum reason reason,
        const char *message)
{
	problem->outcome = outcome;
	problem->reason = reason;
	problem->message = message;
	return -EINVAL;
}

static int
reject_bad_request (struct entry_problem *problem, const char *message)
{
	return reject (problem, OUTCOME_FAILED, REASON_BAD_REQUEST, message);
}

static int
check_token (struct entry_plan *plan, const struct entry_call *call,
             const struct schema_service *service, struct entry_problem *problem)
{
	if (!call->token)
		return 0;
	if (session_token_decode (&plan->token, service, call->token) < 0)
		return reject (problem, OUTCOME_FAILED, REASON_BAD_TOKEN,
		               "the session token is not authentic");
	plan->has_token = true;
	return 0;
}

/** Rejects a request whose position would not fit into the session token: a write would break
 * read-your-writes, and a monotonic read would break monotonicity. */
static int
check_token_room (struct entry_plan *plan, struct entry_problem *problem)
{
	struct session_token token = plan->token;

	if (session_token_update (&token, plan->database_hash, (struct log_position){ 1, 1 }, 0) == 0)
		return 0;
	return reject_bad_request (problem, "the session token holds the largest number of databases");
}

static int
check_statement (struct entry_plan *plan, const struct entry_call *call,
                 const struct schema_service *service, const struct schema_call **found,
                 struct entry_problem *problem)
{
	*found = schema_find_call (service, call->call);
	if (!*found)
		return reject_bad_request (problem, "the service has no call of this name");
	if ((*found)->param_count != call->param_count)
		return reject_bad_request (problem, "the number of params differs from the call's");
	plan->rank = (*found)->rank;
	plan->timeout_ms = service->ranks[plan->rank].timeout_ms;
	return 0;
}

static int
plan_call (struct entry_plan *plan, const struct entry_call *call,
           const struct schema_service *service, struct entry_problem *problem)
{
	const struct schema_call *found;
	int result = check_statement (plan, call, service, &found, problem);
	bool has_id = call->request_id && call->request_id[0];

	if (result < 0)
		return result;
	g_strlcpy (plan->database, found->database, sizeof plan->database);
	plan->is_write = found->is_write;
	plan->has_effect = found->is_write;
	plan->is_retryable = !found->is_write || has_id;
	plan->consistency = found->consistency;
	plan->max_age_us = (int64_t) found->max_age_ms * US_PER_MS;
	if (found->is_write && !found->is_idempotent && !has_id)
		return reject_bad_request (problem, "this call needs a request_id");
	return 0;
}

static int
plan_begin (struct entry_plan *plan, const struct entry_call *call,
            const struct schema_service *service, struct entry_problem *problem)
{
	const struct schema_database *database = NULL;

	if (call->database)
		database = schema_find_database (service, call->database);
	else if (service->database_count == 1)
		database = &service->databases[0];
	if (!database)
		return reject_bad_request (problem, call->database
		                                        ? "the service has no database of this name"
		                                        : "name the database: the service has several");
	g_strlcpy (plan->database, database->name, sizeof plan->database);
	plan->is_write = true;
	/* A transaction whose handle did not reach the caller is rolled back by the idle timeout. */
	plan->is_retryable = true;
	return 0;
}

static int
plan_in_transaction (struct entry_plan *plan, const struct entry_call *call,
                     const struct schema_service *service, struct entry_problem *problem)
{
	const struct schema_call *found;
	int result;

	plan->is_pinned = true;
	plan->is_write = true;
	plan->has_effect = call->operation != FS_OPERATION_ROLLBACK;
	plan->can_settle =
		call->operation == FS_OPERATION_COMMIT && call->request_id && call->request_id[0];
	if (call->operation != FS_OPERATION_TRANSACTION_CALL)
		return 0;
	result = check_statement (plan, call, service, &found, problem);
	if (result < 0)
		return result;
	if (strcmp (found->database, plan->database) != 0)
		return reject_bad_request (problem, "the call belongs to another database");
	return 0;
}

/** Finds the service by its name or by the transaction handle. */
static int
find_service (struct entry_plan *plan, const struct entry_call *call,
              const struct snapshot *snapshot, const struct schema_service **service,
              struct entry_problem *problem)
{
	struct transaction_handle handle;
	struct signed_text decoded;

	if (!call->transaction)
	{
		g_strlcpy (plan->service, call->service ? call->service : "", sizeof plan->service);
		*service = snapshot_find_service (snapshot, plan->service);
		/* A VM that has just started knows no services until it has pulled the documents. */
		if (!*service && snapshot->service_count == 0)
			return reject (problem, OUTCOME_REFUSED, REASON_CONFIG_BEHIND,
			               "this VM has no configuration yet");
		if (!*service)
			return reject (problem, OUTCOME_FAILED, REASON_UNKNOWN_SERVICE,
			               "there is no service of this name");
		return 0;
	}
	if (transaction_handle_decode (&handle, &decoded, call->transaction) < 0)
		return reject (problem, OUTCOME_FAILED, REASON_BAD_TOKEN,
		               "the transaction handle is malformed");
	*service = snapshot_find_service (snapshot, handle.service);
	if (!*service || signed_text_verify (&decoded, *service) < 0)
		return reject (problem, OUTCOME_FAILED, REASON_BAD_TOKEN,
		               "the transaction handle is not authentic");
	g_strlcpy (plan->service, handle.service, sizeof plan->service);
	g_strlcpy (plan->database, handle.database, sizeof plan->database);
	plan->pinned_vm = handle.vm;
	plan->pinned_server = handle.server;
	plan->transaction = handle.transaction;
	if (handle.server >= ROUTING_MAX_SERVERS)
		return reject_bad_request (problem, "the transaction handle is malformed");
	return 0;
}

int
entry_check (struct entry_plan *plan, const struct entry_call *call,
             const struct snapshot *snapshot, struct entry_problem *problem)
{
	const struct schema_service *service;
	int result;

	memset (plan, 0, sizeof *plan);
	if (!snapshot)
		return reject (problem, OUTCOME_REFUSED, REASON_CONFIG_BEHIND,
		               "this VM has no configuration yet");
	result = find_service (plan, call, snapshot, &service, problem);
	if (result < 0)
		return result;
	result = check_token (plan, call, service, problem);
	if (result < 0)
		return result;
	plan->rank = RANK_NORMAL;
	plan->timeout_ms = service->ranks[plan->rank].timeout_ms;
	if (call->operation == FS_OPERATION_CALL)
		result = plan_call (plan, call, service, problem);
	else if (call->operation == FS_OPERATION_BEGIN)
		result = plan_begin (plan, call, service, problem);
	else
		result = plan_in_transaction (plan, call, service, problem);
	if (result < 0)
		return result;
	plan->database_hash = session_database_hash (plan->database);
	if (call->timeout_ms > 0)
		plan->timeout_ms = call->timeout_ms < TIMEOUT_MAX_MS ? call->timeout_ms : TIMEOUT_MAX_MS;
	if (!plan->is_write && plan->consistency != READ_MONOTONIC)
		return 0;
	return check_token_room (plan, problem);
}
