/* Guards against wrong retries, refusals of calls that may have run, stale reads and answers to the
 * wrong caller. The transport is scripted: executions are held until the test answers them. */
#include "entry_world.h"

#include "common/clock.h"
#include "common/counters.h"
#include "flamingospring/session_token.h"

#include <glib.h>
#include <string.h>

enum
{
	CALLER_COUNT = 1000,
	RANDOM_SEED = 4711,
	SHORT_TIMEOUT_MS = 60,
};

/* After a refusal by a replica that is behind, a read tries each other server once. */
static void
test_replica_behind (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	uint32_t tried = 0;

	world_start_call (world, call_new ("find", NULL), &caller);
	for (unsigned i = 0; i < FIXTURE_SERVERS; i++)
	{
		struct execution *execution = world_next_execution (world);
		uint32_t server = execution->args->server;

		g_assert_cmpuint (tried & 1u << server, ==, 0);
		tried |= 1u << server;
		g_assert_cmpuint (execution->vm, ==, world->fixture.owners[server].owner);
		if (server == 0)
			answer (execution, result_at (5, 1));
		else
			answer_refused (execution, REASON_BEHIND);
	}
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	caller_finish (&caller);
	world_free (world);
}

/* A write goes to the primary that a refusal names, although the snapshot still has the old one. */
static void
test_new_primary (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct fs_execute_result refusal = execution_result (OUTCOME_REFUSED, REASON_NOT_PRIMARY, "");
	struct fs_execute_result done = result_at (6, 9);
	struct execution *execution;

	world_start_call (world, call_new ("add", "id-1"), &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->server, ==, 0);
	refusal.primary = 2;
	refusal.primary_term = 6;
	answer (execution, refusal);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->server, ==, 2);
	g_assert_cmpstr (execution->args->request_id, ==, "id-1");
	done.written = (struct fs_position){ 6, 9 };
	answer (execution, done);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_nonnull (caller.token);
	caller_finish (&caller);
	world_free (world);
}

/* A call that was not sent goes to the standby, even without a request id. */
static void
test_not_sent (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct execution *execution;

	world_start_call (world, call_new ("set", NULL), &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->vm, ==, 2);
	fail_execution (execution, EXECUTION_NOT_SENT);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->vm, ==, 3);
	g_assert_cmpuint (execution->args->server, ==, 0);
	answer (execution, result_at (5, 1));
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	caller_finish (&caller);
	down_vm = 2;
	world_start_call (world, call_new ("set", NULL), &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->vm, ==, 3);
	answer (execution, result_at (5, 2));
	caller_finish (&caller);
	world_free (world);
}

/* A server whose only VM is down is skipped: a read runs on another server, a write waits. */
static void
test_vm_down (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct entry_call *call = call_new ("set", NULL);
	struct execution *execution;

	for (uint32_t i = 0; i < FIXTURE_SERVERS; i++)
		world->fixture.owners[i].standby = OWNERSHIP_NONE;
	snapshot_publish (&world->reader, fixture_snapshot (&world->fixture));
	down_vm = 3;
	for (unsigned i = 0; i < 20; i++)
	{
		world_start_call (world, call_new ("find", NULL), &caller);
		execution = world_next_execution (world);
		g_assert_cmpuint (execution->args->server, ==, 2);
		answer (execution, result_at (5, 1));
		caller_finish (&caller);
	}
	down_vm = 2;
	call->timeout_ms = SHORT_TIMEOUT_MS;
	world_start_call (world, call, &caller);
	world_wait_answer (world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_REFUSED);
	g_assert_cmpint (caller.reason, ==, REASON_UPSTREAM_DOWN);
	caller_finish (&caller);
	world_free (world);
}

/* After a lost connection, only reads and calls with a request id run again (P6). */
static void
test_lost_connection (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct execution *execution;
	uint32_t server;

	world_start_call (world, call_new ("set", NULL), &caller);
	fail_execution (world_next_execution (world), EXECUTION_LOST);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
	g_assert_cmpint (caller.reason, ==, REASON_CONNECTION_LOST);
	caller_finish (&caller);

	world_start_call (world, call_new ("add", "id-2"), &caller);
	fail_execution (world_next_execution (world), EXECUTION_LOST);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->vm, ==, 3);
	answer (execution, result_at (5, 1));
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	caller_finish (&caller);

	world_start_call (world, call_new ("find", NULL), &caller);
	execution = world_next_execution (world);
	server = execution->args->server;
	fail_execution (execution, EXECUTION_LOST);
	execution = world_next_execution (world);
	if (execution->args->server == server)
		g_assert_cmpuint (execution->vm, ==, world->fixture.owners[server].standby);
	answer (execution, result_at (5, 1));
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	caller_finish (&caller);
	world_free (world);
}

/* Guards against "refused" after a lost attempt: it would tell the caller that the write did not
 * run, although the first attempt may have run (P5). */
static void
test_refused_after_loss (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };

	world_start_call (world, call_new ("add", "id-3"), &caller);
	fail_execution (world_next_execution (world), EXECUTION_LOST);
	answer_refused (world_next_execution (world), REASON_OVERLOAD);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
	caller_finish (&caller);
	world_free (world);
}

/* Guards against "failed" after a lost attempt, which told callers that the row was absent. The
 * second attempt may fail because the first one ran, such as with a duplicate key, so the outcome
 * is unknown. */
static void
test_failed_after_loss (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct fs_execute_result failed =
		execution_result (OUTCOME_FAILED, REASON_STATEMENT, "duplicate key");

	failed.server_position = (struct fs_position){ 5, 70 };
	failed.server_is_primary = true;
	world_start_call (world, call_new ("add", "id-4"), &caller);
	fail_execution (world_next_execution (world), EXECUTION_LOST);
	answer (world_next_execution (world), failed);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
	g_assert_cmpint (caller.reason, ==, REASON_STATEMENT);
	/* The next read must see what the second attempt conflicted with. */
	g_assert_nonnull (caller.token);
	caller_finish (&caller);
	world_free (world);
}

/* The retries of many requests stay within the budget: one fifth of the requests plus the burst. */
static void
test_retry_budget (void)
{
	struct world *world = world_new ();
	uint64_t before = counter_get (COUNTER_RETRIES);
	unsigned attempts = 0;
	enum
	{
		REQUESTS = 500,
	};
	static struct caller callers[REQUESTS];

	for (unsigned i = 0; i < REQUESTS; i++)
	{
		struct entry_call *call = call_new ("set", NULL);

		call->timeout_ms = SHORT_TIMEOUT_MS;
		world_start_call (world, call, &callers[i]);
		while (held_count > 0)
		{
			attempts++;
			answer_refused (take_held (0), REASON_NOT_PRIMARY);
		}
	}
	while (world->entries.in_flight > 0)
	{
		loop_step (&world->loop, 10 * US_PER_MS);
		while (held_count > 0)
		{
			attempts++;
			answer_refused (take_held (0), REASON_NOT_PRIMARY);
		}
	}
	g_test_message ("%u attempts of %u requests", attempts, REQUESTS);
	g_assert_cmpuint (counter_get (COUNTER_RETRIES) - before, <=, 200 + REQUESTS / 5);
	g_assert_cmpuint (attempts, >, REQUESTS);
	for (unsigned i = 0; i < REQUESTS; i++)
	{
		g_assert_cmpuint (callers[i].answers, ==, 1);
		g_assert_cmpint (callers[i].outcome, ==, OUTCOME_REFUSED);
		caller_finish (&callers[i]);
	}
	world_free (world);
}

/* Guards against reads that move to the primary because of a long queue of another rank. */
static void
test_queue_by_rank (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct fs_execute_result result = result_at (5, 1);
	struct execution *execution;

	for (unsigned i = 0; i < 40; i++)
	{
		world_start_call (world, call_new ("find_low", NULL), &caller);
		execution = world_next_execution (world);
		result.server_queue_us = execution->args->server == 0 ? 0 : 60 * US_PER_S;
		answer (execution, result);
		caller_finish (&caller);
	}
	world_start_call (world, call_new ("find_low", NULL), &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->server, ==, 0);
	answer (execution, result);
	caller_finish (&caller);
	world_start_call (world, call_new ("find", NULL), &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->server, !=, 0);
	answer (execution, result);
	caller_finish (&caller);
	world_free (world);
}

/* If the owner does not answer, the call ends at its deadline; the late answer is dropped. */
static void
test_late_answer (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct entry_call *call = call_new ("set", NULL);
	uint64_t late = counter_get (COUNTER_LATE_ANSWERS);
	int64_t start_us = clock_now_us ();
	struct execution *execution;

	call->timeout_ms = SHORT_TIMEOUT_MS;
	world_start_call (world, call, &caller);
	execution = world_next_execution (world);
	world_wait_answer (world, &caller);
	g_assert_cmpint (clock_now_us () - start_us, <, US_PER_S);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
	g_assert_cmpint (caller.reason, ==, REASON_DEADLINE);
	answer (execution, result_at (5, 1));
	g_assert_cmpuint (caller.answers, ==, 1);
	g_assert_cmpuint (counter_get (COUNTER_LATE_ANSWERS), ==, late + 1);
	caller_finish (&caller);
	world_free (world);
}

/* A session reads its own writes: the token requires their position, and an older answer is not
 * returned. */
static void
test_session (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct fs_execute_result done = result_at (5, 70);
	uint64_t violations = counter_get (COUNTER_INVARIANT_VIOLATIONS);
	struct entry_call *call = call_new ("set", NULL);
	struct execution *execution;
	char *token;

	world_start_call (world, call, &caller);
	done.written = (struct fs_position){ 5, 70 };
	answer (world_next_execution (world), done);
	token = g_strdup (caller.token);
	g_assert_nonnull (token);
	caller_finish (&caller);

	call = call_new ("find", NULL);
	call->token = g_strdup (token);
	world_start_call (world, call, &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->required.term, ==, 5);
	g_assert_cmpuint (execution->args->required.index, ==, 70);
	answer (execution, result_at (5, 69));
	g_assert_cmpuint (caller.answers, ==, 0);
	g_assert_cmpuint (counter_get (COUNTER_INVARIANT_VIOLATIONS), ==, violations + 1);
	answer (world_next_execution (world), result_at (5, 70));
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	caller_finish (&caller);

	call = call_new ("find", NULL);
	call->token = g_strdup (token);
	call->token[10] = call->token[10] == 'A' ? 'B' : 'A';
	world_start_call (world, call, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (caller.reason, ==, REASON_BAD_TOKEN);
	caller_finish (&caller);
	g_free (token);
	world_free (world);
}

/* A monotonic read raises the token to its server's position. Guards against a session that reads
 * older data when its next read goes to a replica that is further behind. */
static void
test_session_monotonic (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct entry_call *call;
	struct execution *execution;

	world_start_call (world, call_new ("find_monotonic", NULL), &caller);
	answer (world_next_execution (world), result_at (5, 42));
	g_assert_nonnull (caller.token);
	call = call_new ("find", NULL);
	call->token = g_strdup (caller.token);
	caller_finish (&caller);
	world_start_call (world, call, &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->required.term, ==, 5);
	g_assert_cmpuint (execution->args->required.index, ==, 42);
	answer (execution, result_at (5, 43));
	/* A session read does not raise the token. */
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	call = call_new ("find_monotonic", NULL);
	call->token = g_strdup (caller.token);
	caller_finish (&caller);
	world_start_call (world, call, &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->required.index, ==, 42);
	answer (execution, result_at (5, 42));
	caller_finish (&caller);
	world_free (world);
}

/* Guards against a read that misses the row of the session's own insert: the insert's answer was
 * lost, the repeated insert fails on that row, and the replica does not have it yet. */
static void
test_session_after_failure (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct fs_execute_result failed = result_at (5, 70);
	struct entry_call *call;
	struct execution *execution;

	failed.outcome = OUTCOME_FAILED;
	failed.reason = REASON_STATEMENT;
	failed.server_is_primary = true;
	world_start_call (world, call_new ("set", NULL), &caller);
	answer (world_next_execution (world), failed);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_nonnull (caller.token);
	call = call_new ("find", NULL);
	call->token = g_strdup (caller.token);
	caller_finish (&caller);
	world_start_call (world, call, &caller);
	execution = world_next_execution (world);
	g_assert_cmpuint (execution->args->required.term, ==, 5);
	g_assert_cmpuint (execution->args->required.index, ==, 70);
	answer (execution, result_at (5, 70));
	caller_finish (&caller);

	/* A failed read has no effects, and a replica's position says nothing about the primary's. */
	failed.server_is_primary = false;
	world_start_call (world, call_new ("find", NULL), &caller);
	answer (world_next_execution (world), failed);
	g_assert_null (caller.token);
	caller_finish (&caller);
	world_free (world);
}

/* Answers in random order reach the right callers (P4). */
static void
test_random_answer_order (void)
{
	struct world *world = world_new ();
	GRand *random = g_rand_new_with_seed (RANDOM_SEED);
	static struct caller callers[CALLER_COUNT];
	char expected[16];

	for (unsigned i = 0; i < CALLER_COUNT; i++)
	{
		struct entry_call *call = call_new ("find", NULL);

		g_free (call->params[0]);
		call->params[0] = g_strdup_printf ("caller-%u", i);
		world_start_call (world, call, &callers[i]);
	}
	while (held_count > 0)
	{
		struct execution *execution =
			take_held ((uint32_t) g_rand_int_range (random, 0, (int) held_count));
		struct fs_execute_result result = result_at (5, 1);

		result.message = *execution->args->params.params_val[0];
		if (g_rand_int_range (random, 0, 4) == 0)
			fail_execution (execution, EXECUTION_NOT_SENT);
		else
			answer (execution, result);
		loop_step (&world->loop, 0);
	}
	while (world->entries.in_flight > 0)
		answer (world_next_execution (world),
		        execution_result (OUTCOME_REFUSED, REASON_OVERLOAD, ""));
	for (unsigned i = 0; i < CALLER_COUNT; i++)
	{
		g_assert_cmpuint (callers[i].answers, ==, 1);
		g_snprintf (expected, sizeof expected, "caller-%u", i);
		if (callers[i].outcome == OUTCOME_DONE)
			g_assert_cmpstr (callers[i].message, ==, expected);
		caller_finish (&callers[i]);
	}
	g_rand_free (random);
	world_free (world);
}

/* Without a primary, a write waits for a snapshot that has one. */
static void
test_wait_for_primary (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	struct entry_call *call = call_new ("set", NULL);

	world->fixture.has_primary = false;
	snapshot_publish (&world->reader, fixture_snapshot (&world->fixture));
	call->timeout_ms = SHORT_TIMEOUT_MS;
	world_start_call (world, call, &caller);
	world_wait_answer (world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_REFUSED);
	g_assert_cmpint (caller.reason, ==, REASON_NO_PRIMARY);
	caller_finish (&caller);

	world_start_call (world, call_new ("set", NULL), &caller);
	g_assert_cmpuint (held_count, ==, 0);
	world->fixture.has_primary = true;
	world->fixture.primary = 2;
	snapshot_publish (&world->reader, fixture_snapshot (&world->fixture));
	entry_set_handle_snapshot (&world->entries);
	loop_step (&world->loop, 0);
	g_assert_cmpuint (held_count, ==, 1);
	answer (world_next_execution (world), result_at (5, 1));
	caller_finish (&caller);
	world_free (world);
}

static void
test_cancel (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	uint32_t handle = world_start_call (world, call_new ("find", NULL), &caller);

	entry_cancel (&world->entries, handle);
	g_assert_cmpuint (cancelled, ==, 1);
	g_assert_cmpuint (caller.answers, ==, 0);
	entry_cancel (&world->entries, handle);
	world_start_call (world, call_new ("add", "id"), &caller);
	entry_set_stop (&world->entries);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
	answer (take_held (0), result_at (5, 1));
	caller_finish (&caller);
	world_free (world);
}

struct bad_call
{
	const char *service;
	const char *call;
	size_t param_count;
	enum reason reason;
};

/* Requests that can never run fail with a distinct reason and reach no server. */
static void
test_bad_calls (void)
{
	static const struct bad_call cases[] = {
		{ "nobody", "find", 1, REASON_UNKNOWN_SERVICE },
		{ "post", "missing", 1, REASON_BAD_REQUEST },
		{ "post", "find", 2, REASON_BAD_REQUEST },
		{ "post", "add", 2, REASON_BAD_REQUEST }, /* Without a request id. */
	};
	struct world *world = world_new ();

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		struct entry_call *call = entry_call_new ();
		struct caller caller = { 0 };

		call->service = g_strdup (cases[i].service);
		call->call = g_strdup (cases[i].call);
		call->param_count = cases[i].param_count;
		call->params = g_new0 (char *, 4);
		world_start_call (world, call, &caller);
		g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
		g_assert_cmpint (caller.reason, ==, cases[i].reason);
		caller_finish (&caller);
	}
	world_free (world);
}

/* Guards against a final failure from a VM that has not adopted its first configuration. */
static void
test_no_configuration (void)
{
	struct world *world = world_new ();
	struct caller caller = { 0 };
	size_t services = world->source.current->service_count;

	world->source.current->service_count = 0;
	world_start_call (world, call_new ("find", NULL), &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_REFUSED);
	g_assert_cmpint (caller.reason, ==, REASON_CONFIG_BEHIND);
	g_assert_cmpuint (held_count, ==, 0);
	caller_finish (&caller);
	world->source.current->service_count = services;
	world_free (world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/entry/behind", test_replica_behind);
	g_test_add_func ("/entry/new_primary", test_new_primary);
	g_test_add_func ("/entry/not_sent", test_not_sent);
	g_test_add_func ("/entry/vm_down", test_vm_down);
	g_test_add_func ("/entry/lost", test_lost_connection);
	g_test_add_func ("/entry/refused_after_loss", test_refused_after_loss);
	g_test_add_func ("/entry/failed_after_loss", test_failed_after_loss);
	g_test_add_func ("/entry/budget", test_retry_budget);
	g_test_add_func ("/entry/queue_by_rank", test_queue_by_rank);
	g_test_add_func ("/entry/late", test_late_answer);
	g_test_add_func ("/entry/session", test_session);
	g_test_add_func ("/entry/session_monotonic", test_session_monotonic);
	g_test_add_func ("/entry/session_after_failure", test_session_after_failure);
	g_test_add_func ("/entry/mixed", test_random_answer_order);
	g_test_add_func ("/entry/wait_for_primary", test_wait_for_primary);
	g_test_add_func ("/entry/cancel", test_cancel);
	g_test_add_func ("/entry/bad_calls", test_bad_calls);
	g_test_add_func ("/entry/no_configuration", test_no_configuration);
	return g_test_run ();
}
