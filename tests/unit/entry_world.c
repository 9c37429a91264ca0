/* Fixture of one VM's entry. Its scripted transport holds executions until they are answered. */
#include "entry_world.h"

#include "common/clock.h"

#include <string.h>

enum
{
	MAX_HELD = 2048,
	WAIT_LIMIT_US = 5 * US_PER_S,
};

static struct execution *held[MAX_HELD];
uint32_t held_count;
uint32_t down_vm;
uint32_t cancelled;

static void
fake_execute (void *transport, struct execution *execution)
{
	(void) transport;
	g_assert_cmpuint (held_count, <, MAX_HELD);
	held[held_count++] = execution;
}

struct execution *
take_held (uint32_t at)
{
	struct execution *execution = held[at];

	g_assert_cmpuint (at, <, held_count);
	held[at] = held[--held_count];
	return execution;
}

static void
fake_cancel (void *transport, struct execution *execution)
{
	(void) transport;
	for (uint32_t i = 0; i < held_count; i++)
	{
		if (held[i] != execution)
			continue;
		take_held (i);
		cancelled++;
		execution->handle_done (execution, EXECUTION_CANCELLED, NULL);
		return;
	}
	g_assert_not_reached ();
}

static bool
fake_vm_is_down (void *transport, uint32_t vm, int64_t now_us)
{
	(void) transport;
	(void) now_us;
	return vm == down_vm;
}

static const struct execution_ops fake_transport = {
	.execute = fake_execute,
	.cancel = fake_cancel,
	.vm_is_down = fake_vm_is_down,
};

static void
handle_answer (void *data, const struct entry_answer *answer)
{
	struct caller *caller = data;

	caller->answers++;
	caller->outcome = answer->outcome;
	caller->reason = answer->reason;
	g_strlcpy (caller->message, answer->message ? answer->message : "", sizeof caller->message);
	caller->token = g_strdup (answer->token);
	caller->transaction = g_strdup (answer->transaction);
}

void
caller_finish (struct caller *caller)
{
	g_free (caller->token);
	g_free (caller->transaction);
	memset (caller, 0, sizeof *caller);
}

/** Server 0 is the primary. VM 1 is the entry VM; VMs 2, 3 and 4 own one server each. */
struct world *
world_new (void)
{
	struct world *world = g_aligned_alloc0 (1, sizeof *world, _Alignof(struct world));

	held_count = 0;
	down_vm = 0;
	cancelled = 0;
	world->fixture = (struct fixture){
		.self = 1,
		.member_count = 4,
		.owners = { { 2, 3 }, { 3, 4 }, { 4, 2 } },
		.has_primary = true,
		.term = 5,
	};
	g_assert_cmpint (loop_init (&world->loop), ==, 0);
	snapshot_source_init (&world->source);
	snapshot_reader_init (&world->reader, &world->source);
	snapshot_publish (&world->reader, fixture_snapshot (&world->fixture));
	entry_set_init (&world->entries, &world->loop, &world->reader, &fake_transport, world, 1);
	return world;
}

void
world_free (struct world *world)
{
	g_assert_cmpuint (held_count, ==, 0);
	entry_set_finish (&world->entries);
	snapshot_reader_finish (&world->reader);
	snapshot_source_finish (&world->source);
	loop_finish (&world->loop);
	g_free (world);
}

struct entry_call *
call_new (const char *name, const char *request_id)
{
	struct entry_call *call = entry_call_new ();
	bool is_read = g_str_has_prefix (name, "find");

	call->operation = FS_OPERATION_CALL;
	call->service = g_strdup ("post");
	call->call = g_strdup (name);
	call->request_id = g_strdup (request_id);
	call->param_count = strcmp (name, "find") == 0 ? 1 : is_read ? 0 : 2;
	call->params = g_new0 (char *, 3);
	call->params[0] = call->param_count > 0 ? g_strdup ("k") : NULL;
	return call;
}

uint32_t
world_start_call (struct world *world, struct entry_call *call, struct caller *caller)
{
	return entry_start (&world->entries, call, handle_answer, caller);
}

/** Runs the loop until an execution is held. */
struct execution *
world_next_execution (struct world *world)
{
	int64_t limit_us = clock_now_us () + WAIT_LIMIT_US;

	while (held_count == 0 && clock_now_us () < limit_us)
		loop_step (&world->loop, 10 * US_PER_MS);
	return take_held (0);
}

void
world_wait_answer (struct world *world, struct caller *caller)
{
	int64_t limit_us = clock_now_us () + WAIT_LIMIT_US;

	while (caller->answers == 0 && clock_now_us () < limit_us)
		loop_step (&world->loop, 10 * US_PER_MS);
	g_assert_cmpuint (caller->answers, ==, 1);
}

struct fs_execute_result
result_at (uint64_t term, uint64_t index)
{
	struct fs_execute_result result = execution_result (OUTCOME_DONE, REASON_NONE, "");

	result.server_position = (struct fs_position){ term, index };
	result.server_age_ms = UINT32_MAX;
	return result;
}

void
answer (struct execution *execution, struct fs_execute_result result)
{
	execution->handle_done (execution, EXECUTION_ANSWERED, &result);
}

void
answer_refused (struct execution *execution, enum reason reason)
{
	answer (execution, execution_result (OUTCOME_REFUSED, reason, ""));
}

void
fail_execution (struct execution *execution, enum execution_status status)
{
	execution->handle_done (execution, status, NULL);
}
