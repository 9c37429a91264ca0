#include "flamingospring/owner_observe.h"
#include "flamingospring/owner_private.h"

#include "common/clock.h"
#include "common/counters.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	OWNER_SET_MAX_TASKS = 1 << 18, /* Limit of requests in one traffic thread. */
	OWNER_SET_RETRY_AFTER_US = 100 * US_PER_MS,
};

static struct owner *
set_find (const struct owner_set *set, const char *database, uint32_t server)
{
	for (size_t i = 0; i < set->count; i++)
	{
		struct owner *owner = set->owners[i];

		if (!owner->is_retired && owner->server == server &&
		    strcmp (owner->database.name, database) == 0)
			return owner;
	}
	return NULL;
}

static struct owner *
set_add (struct owner_set *set, const struct snapshot_group *group, uint32_t server)
{
	struct owner *owner;

	if (set->count == set->capacity)
	{
		size_t capacity = set->capacity ? set->capacity * 2 : 8;
		struct owner **owners = realloc (set->owners, capacity * sizeof (struct owner *));

		if (!owners)
			return NULL;
		set->owners = owners;
		set->capacity = capacity;
	}
	owner = owner_new (set, group, server);
	if (owner)
		set->owners[set->count++] = owner;
	return owner;
}

void
owner_set_remove (struct owner_set *set, const struct owner *owner)
{
	for (size_t i = 0; i < set->count; i++)
	{
		if (set->owners[i] != owner)
			continue;
		set->owners[i] = set->owners[--set->count];
		return;
	}
}

void
owner_set_handle_snapshot (struct owner_set *set)
{
	const struct snapshot *snapshot = snapshot_acquire (set->reader);

	/* Backwards, since submitters may append owners meanwhile, which already have this snapshot. */
	for (size_t i = set->count; i > 0; i--)
		owner_handle_snapshot (set->owners[i - 1], snapshot);
	snapshot_release (set->reader);
}

int
owner_set_init (struct owner_set *set, struct loop *loop, struct snapshot_reader *reader,
                const struct owner_settings *settings)
{
	memset (set, 0, sizeof *set);
	set->loop = loop;
	set->reader = reader;
	set->settings = settings;
	set->monitors.loop = loop;
	set->monitors.vm_id = settings->vm_id;
	set->monitors.factory = settings->upstreams ? settings->upstreams : &owner_upstream_pg;
	set->random_state =
		(uint64_t) clock_now_us () ^ (uint64_t) settings->vm_id << 40 ^ clock_wall_ns ();
	set->monitors.random_state = random_next (&set->random_state);
	return handle_table_init (&set->tasks, sizeof (struct owner_task *), OWNER_SET_MAX_TASKS);
}

void
owner_set_finish (struct owner_set *set)
{
	while (set->count > 0)
		owner_finish (set->owners[--set->count]);
	owner_set_remove_observed (set);
	free (set->owners);
	handle_table_finish (&set->tasks);
	set->owners = NULL;
	set->capacity = 0;
}

uint32_t
owner_set_in_flight (const struct owner_set *set)
{
	uint32_t count = 0;

	for (size_t i = 0; i < set->count; i++)
		count += set->owners[i]->tasks.length + handle_table_count (&set->owners[i]->transactions);
	return count;
}

static uint32_t
owner_tenant (const struct schema_service *service, const char *name)
{
	int tenant = name && name[0] ? schema_find_tenant (service, name) : -ENOENT;

	return tenant < 0 || tenant >= OWNER_DEFAULT_TENANT ? OWNER_DEFAULT_TENANT : (uint32_t) tenant;
}

/* Submits a statement, COMMIT or ROLLBACK of an open transaction. It is accepted even when the
 * server is leaving or has another owner now. */
static void
submit_to_transaction (struct owner_set *set, const struct snapshot *snapshot,
                       struct owner_request *request)
{
	const struct fs_execute_args *args = request->args;
	const struct schema_service *service = snapshot_find_service (snapshot, args->service);
	const struct schema_call *call = NULL;
	struct owner_transaction *transaction = NULL;
	struct owner *owner = NULL;
	struct owner_task *task;

	for (size_t i = 0; i < set->count && !transaction; i++)
	{
		owner = set->owners[i];
		if (owner->server == args->server && strcmp (owner->database.name, args->database) == 0)
			transaction = owner_transaction_find (owner, args->transaction);
	}
	if (!transaction)
	{
		owner_reject (NULL, request, OUTCOME_FAILED, REASON_NO_TRANSACTION,
		              "the transaction has ended", 0);
		return;
	}
	if (args->operation == FS_OPERATION_TRANSACTION_CALL)
	{
		call = service ? schema_find_call (service, args->call) : NULL;
		if (!call || strcmp (call->database, args->database) != 0 ||
		    call->param_count != args->params.params_len)
		{
			owner_reject (owner, request, OUTCOME_FAILED, REASON_BAD_REQUEST,
			              "no such call with these parameters", 0);
			return;
		}
	}
	task = owner_task_new (owner, request, call,
	                       service ? owner_tenant (service, args->tenant) : OWNER_DEFAULT_TENANT);
	if (!task)
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_QUEUE_FULL, "out of memory", 0);
	else
		owner_transaction_submit (transaction, task);
}

static bool
reject_call (const struct owner *owner, struct owner_request *request,
             const struct schema_call *call)
{
	const struct fs_execute_args *args = request->args;
	const char *message = NULL;

	if (!call)
		message = "no such call";
	else if (call->param_count != args->params.params_len)
		message = "wrong number of parameters";
	else if (call->is_write && !call->is_idempotent && !(args->request_id && args->request_id[0]))
		message = "a call that is not idempotent needs a request id";
	if (!message)
		return false;
	owner_reject (owner, request, OUTCOME_FAILED, REASON_BAD_REQUEST, message, 0);
	return true;
}

static void
submit_call (struct owner *owner, const struct schema_service *service,
             struct owner_request *request)
{
	const struct schema_call *call = schema_find_call (service, request->args->call);
	struct owner_task *task;

	if (call && strcmp (call->database, owner->database.name) != 0)
	{
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_CONFIG_BEHIND,
		              "the call has moved to another database", 0);
		return;
	}
	if (reject_call (owner, request, call))
		return;
	task = owner_task_new (owner, request, call, owner_tenant (service, request->args->tenant));
	if (!task)
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_QUEUE_FULL, "out of memory", 0);
	else if (task->is_write)
		owner_task_admit (task);
	else
		owner_task_check_server (task);
}

static void
submit_begin (struct owner *owner, const struct schema_service *service,
              struct owner_request *request)
{
	uint32_t open = handle_table_count (&owner->transactions) + owner->pending_begins;
	struct owner_task *task;

	if (open >= owner_transaction_limit (owner))
	{
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_QUEUE_FULL,
		              "too many transactions are open", OWNER_SET_RETRY_AFTER_US);
		return;
	}
	task = owner_task_new (owner, request, NULL, owner_tenant (service, request->args->tenant));
	if (!task)
	{
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_QUEUE_FULL, "out of memory", 0);
		return;
	}
	owner->pending_begins++;
	owner_task_check_server (task);
}

static void
submit_settle (struct owner *owner, const struct schema_service *service,
               struct owner_request *request)
{
	const struct fs_execute_args *args = request->args;
	struct owner_task *task;

	if (!args->request_id || !args->request_id[0])
	{
		owner_reject (owner, request, OUTCOME_FAILED, REASON_BAD_REQUEST,
		              "a commit is settled by its request id", 0);
		return;
	}
	task = owner_task_new (owner, request, NULL, owner_tenant (service, args->tenant));
	if (!task)
	{
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_QUEUE_FULL, "out of memory", 0);
		return;
	}
	task->is_write = true;
	task->is_at_most_once = true;
	owner_task_admit (task);
}

static void
submit_new_work (struct owner_set *set, const struct snapshot *snapshot,
                 struct owner_request *request)
{
	const struct fs_execute_args *args = request->args;
	const struct snapshot_group *group = snapshot_find_group (snapshot, args->database);
	const struct schema_service *service = snapshot_find_service (snapshot, args->service);
	uint32_t self = set->settings->vm_id;
	struct owner *owner;

	if (!group || !service || args->service_revision > service->revision ||
	    args->server >= group->database->server_count)
	{
		owner_reject (NULL, request, OUTCOME_REFUSED, REASON_CONFIG_BEHIND, NULL, 0);
		return;
	}
	owner = set_find (set, args->database, args->server);
	if (group->servers[args->server].owners.owner != self &&
	    group->servers[args->server].owners.standby != self)
	{
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_NOT_OWNER, NULL, 0);
		return;
	}
	if (group->servers[args->server].is_leaving)
	{
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_LEAVING, NULL, 0);
		return;
	}
	if (!owner)
		owner = set_add (set, group, args->server);
	if (!owner)
		owner_reject (NULL, request, OUTCOME_REFUSED, REASON_QUEUE_FULL, "out of memory", 0);
	else if (clock_now_us () >= request->deadline_us)
		owner_reject (owner, request, OUTCOME_REFUSED, REASON_DEADLINE, NULL, 0);
	else if (args->operation == FS_OPERATION_BEGIN)
		submit_begin (owner, service, request);
	else if (args->operation == FS_OPERATION_SETTLE)
		submit_settle (owner, service, request);
	else
		submit_call (owner, service, request);
}

void
owner_submit (struct owner_set *set, struct owner_request *request)
{
	const struct snapshot *snapshot = snapshot_acquire (set->reader);

	request->handle = HANDLE_NONE;
	if (request->args->operation == FS_OPERATION_CALL ||
	    request->args->operation == FS_OPERATION_BEGIN ||
	    request->args->operation == FS_OPERATION_SETTLE)
		submit_new_work (set, snapshot, request);
	else
		submit_to_transaction (set, snapshot, request);
	snapshot_release (set->reader);
}

void
owner_cancel (struct owner_set *set, struct owner_request *request)
{
	struct owner_task **entry = handle_table_get (&set->tasks, request->handle);
	struct owner_task *task = entry ? *entry : NULL;

	if (!task || task->request != request)
		return;
	task->request = NULL;
	/* A statement that was sent goes on, and so does a task whose earlier effect is unknown. */
	if (task->state == TASK_RUNNING || task->state == TASK_ACKNOWLEDGING || task->may_have_run)
		return;
	owner_task_drop (task);
}
