/* Guards against transactions that change their server or get other statements, and against commits
 * that end without a definite answer. The transport is scripted. */
#include "entry_world.h"

#include <string.h>

/* A transaction stays at the VM and server that began it, and forged handles are refused. */
static void
test_transaction (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct fs_execute_result begun = result_at (5, 1);
	struct fs_execute_result committed = result_at (5, 2);
	struct entry_call *call = entry_call_new ();
	struct execution *execution;
	char *handle;

	call->operation = FS_OPERATION_BEGIN;
	call->service = g_strdup ("post");
	world_start_call (world, call, &caller);
	begun.transaction = 0x1234567890u;
	answer (world_next_execution (world), begun);
	handle = g_strdup (caller.transaction);
	g_assert_nonnull (handle);
	caller_finish (&caller);

	/* The primary changes meanwhile. */
	world->fixture.primary = 1;
	world->fixture.term = 6;
	snapshot_publish (&world->reader, fixture_snapshot (&world->fixture));
	call = call_new ("set", NULL);
	call->operation = FS_OPERATION_TRANSACTION_CALL;
	call->transaction = g_strdup (handle);
	world_start_call (world, call, &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->vm, ==, 2);
	g_assert_cmpuint (execution->args->server, ==, 0);
	g_assert_cmpuint (execution->args->transaction, ==, 0x1234567890u);
	fail_execution (execution, EXECUTION_LOST);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
	caller_finish (&caller);

	call = entry_call_new ();
	call->operation = FS_OPERATION_COMMIT;
	call->transaction = g_strdup (handle);
	world_start_call (world, call, &caller);
	committed.written = (struct fs_position){ 5, 2 };
	answer (world_next_execution (world), committed);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_nonnull (caller.token);
	caller_finish (&caller);

	for (size_t i = 0; i < strlen (handle); i++)
	{
		call = entry_call_new ();
		call->operation = FS_OPERATION_COMMIT;
		call->transaction = g_strdup (handle);
		call->transaction[i] = handle[i] == 'A' ? 'B' : 'A';
		world_start_call (world, call, &caller);
		g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
		g_assert_cmpint (caller.reason, ==, REASON_BAD_TOKEN);
		caller_finish (&caller);
	}
	g_free (handle);
	world_free (world);
}

static char *
begin_transaction (struct world *world)
{
	struct caller caller = { 0 };
	struct fs_execute_result begun = result_at (5, 1);
	struct entry_call *call = entry_call_new ();
	char *handle;

	call->operation = FS_OPERATION_BEGIN;
	call->service = g_strdup ("post");
	world_start_call (world, call, &caller);
	begun.transaction = 77;
	answer (world_next_execution (world), begun);
	handle = g_strdup (caller.transaction);
	caller_finish (&caller);
	return handle;
}

static void
start_commit (struct world *world, const char *handle, const char *id, struct caller *caller)
{
	struct entry_call *call = entry_call_new ();

	call->operation = FS_OPERATION_COMMIT;
	call->transaction = g_strdup (handle);
	call->request_id = g_strdup (id);
	world_start_call (world, call, caller);
}

/* How the first attempt to commit, at the VM of the transaction, ends. */
enum first_attempt_end
{
	FIRST_NO_VM, /* The VM is no longer a member. */
	FIRST_NOT_SENT,
	FIRST_LOST,
	FIRST_TIMED_OUT,
	FIRST_ANSWERED,
};

struct commit_case
{
	enum first_attempt_end end;
	enum outcome outcome;
	enum reason reason;
	bool is_settled;                 /* With a request id, FS_OPERATION_SETTLE follows. */
	enum outcome outcome_without_id; /* Outcome without a request id. */
};

static const struct commit_case commit_cases[] = {
	{ FIRST_NO_VM, 0, 0, true, OUTCOME_UNKNOWN },
	{ FIRST_NOT_SENT, 0, 0, true, OUTCOME_REFUSED },
	{ FIRST_LOST, 0, 0, true, OUTCOME_UNKNOWN },
	{ FIRST_TIMED_OUT, 0, 0, false, OUTCOME_UNKNOWN },
	{ FIRST_ANSWERED, OUTCOME_DONE, REASON_NONE, false, OUTCOME_DONE },
	{ FIRST_ANSWERED, OUTCOME_FAILED, REASON_NO_TRANSACTION, true, OUTCOME_FAILED },
	{ FIRST_ANSWERED, OUTCOME_FAILED, REASON_STATEMENT, false, OUTCOME_FAILED },
	{ FIRST_ANSWERED, OUTCOME_REFUSED, REASON_QUEUE_FULL, false, OUTCOME_REFUSED },
	{ FIRST_ANSWERED, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, true, OUTCOME_UNKNOWN },
	{ FIRST_ANSWERED, OUTCOME_UNKNOWN, REASON_DEADLINE, true, OUTCOME_UNKNOWN },
	{ FIRST_ANSWERED, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED, false, OUTCOME_UNKNOWN },
};

static void
end_first_attempt (struct world *world, const struct commit_case *commit)
{
	struct execution *execution;

	if (commit->end == FIRST_NO_VM)
		return;
	execution = world_next_execution (world);
	g_assert_cmpint (execution->args->operation, ==, FS_OPERATION_COMMIT);
	g_assert_cmpuint (execution->vm, ==, 2);
	if (commit->end == FIRST_NOT_SENT)
		fail_execution (execution, EXECUTION_NOT_SENT);
	else if (commit->end == FIRST_LOST)
		fail_execution (execution, EXECUTION_LOST);
	else if (commit->end == FIRST_TIMED_OUT)
		fail_execution (execution, EXECUTION_TIMED_OUT);
	else
		answer (execution, execution_result (commit->outcome, commit->reason, ""));
}

/* Guards against a commit with a request id that ends as unknown or refused although the current
 * primary knows its outcome, and against a repeated commit without a request id. */
static void
test_settle (void)
{
	for (size_t i = 0; i < 2 * G_N_ELEMENTS (commit_cases); i++)
	{
		const struct commit_case *commit = &commit_cases[i / 2];
		bool has_id = i % 2 == 1;
		struct world *world = world_new ();
		struct caller caller = { 0 };
		struct execution *execution;
		char *handle = begin_transaction (world);

		g_test_message ("case %zu, %s", i / 2, has_id ? "with an id" : "without an id");
		/* The primary is replaced meanwhile by server 1, whose owner is VM 3. */
		world->fixture.primary = 1;
		world->fixture.term = 6;
		if (commit->end == FIRST_NO_VM)
			world->fixture.without_vm = 2;
		snapshot_publish (&world->reader, fixture_snapshot (&world->fixture));
		start_commit (world, handle, has_id ? "commit-1" : NULL, &caller);
		end_first_attempt (world, commit);
		if (has_id && commit->is_settled)
		{
			execution = world_next_execution (world);
			g_assert_cmpint (execution->args->operation, ==, FS_OPERATION_SETTLE);
			g_assert_cmpuint (execution->args->transaction, ==, 77);
			g_assert_cmpstr (execution->args->request_id, ==, "commit-1");
			g_assert_cmpuint (execution->args->server, ==, 1);
			g_assert_cmpuint (execution->vm, ==, 3);
			fail_execution (execution, EXECUTION_LOST);
			execution = world_next_execution (world);
			g_assert_cmpuint (execution->vm, ==, 4);
			answer_refused (execution, REASON_ROLLED_BACK);
			g_assert_cmpint (caller.outcome, ==, OUTCOME_REFUSED);
			g_assert_cmpint (caller.reason, ==, REASON_ROLLED_BACK);
		}
		else
			g_assert_cmpint (caller.outcome, ==, commit->outcome_without_id);
		g_assert_cmpuint (caller.answers, ==, 1);
		caller_finish (&caller);
		g_free (handle);
		world_free (world);
	}
}

/* A request id that belongs to another request gives a definite answer, which is not retried. */
static void
test_settle_bad_request (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	char *handle = begin_transaction (world);

	start_commit (world, handle, "commit-1", &caller);
	answer (world_next_execution (world),
	        execution_result (OUTCOME_FAILED, REASON_NO_TRANSACTION, ""));
	answer (world_next_execution (world),
	        execution_result (OUTCOME_FAILED, REASON_BAD_REQUEST, ""));
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (caller.reason, ==, REASON_BAD_REQUEST);
	caller_finish (&caller);
	g_free (handle);
	world_free (world);
}

/* Guards against "refused" for a commit that may have run. Only the reason "rolled back" says that
 * it did not run. */
static void
test_settle_refused (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	char *handle = begin_transaction (world);

	start_commit (world, handle, "commit-1", &caller);
	answer (world_next_execution (world),
	        execution_result (OUTCOME_FAILED, REASON_NO_TRANSACTION, ""));
	answer_refused (world_next_execution (world), REASON_OVERLOAD);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
	caller_finish (&caller);
	g_free (handle);
	world_free (world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/entry_transaction/transaction", test_transaction);
	g_test_add_func ("/entry_transaction/settle", test_settle);
	g_test_add_func ("/entry_transaction/settle_bad_request", test_settle_bad_request);
	g_test_add_func ("/entry_transaction/settle_refused", test_settle_refused);
	return g_test_run ();
}
