/* Random faults, for combinations that the tables of the other tests do not list: every request is
 * answered once, a refused one did not run, a done one ran exactly once, and nothing leaks. */
#include "owner_world.h"

#include <stdlib.h>

enum
{
	ROUNDS = 10,
	REQUESTS = 150,
	SEED = 20261204,
	CANCEL_PERCENT = 5,
};

struct random_request
{
	struct caller caller;
	char id[32];
	bool is_cancelled;
	bool has_id;
};

static const char *const calls[] = { "exact", "recent", "exact", "report", "set", "add", "add" };

static void
check_request (const struct world *world, const struct random_request *request)
{
	const struct caller *caller = &request->caller;
	bool is_stored = g_hash_table_contains (world->answers, request->id);

	g_assert_cmpuint (caller->done, ==, request->is_cancelled ? 0 : 1);
	if (request->is_cancelled || !request->has_id)
		return;
	if (caller->outcome == OUTCOME_DONE)
		g_assert_true (is_stored);
	if (caller->outcome == OUTCOME_REFUSED || caller->outcome == OUTCOME_FAILED)
		g_assert_false (is_stored);
}

static void
run_transaction (struct world *world)
{
	struct caller caller;
	uint64_t id;

	caller_prepare (&caller, "", 0, "");
	caller.args.operation = FS_OPERATION_BEGIN;
	caller.args.params.params_len = 0;
	caller_submit (world, &caller);
	caller_wait (world, &caller);
	id = caller.transaction;
	if (caller.outcome != OUTCOME_DONE)
		return;
	for (unsigned i = 0; i < 3; i++)
	{
		caller_prepare (&caller, i < 2 ? "add" : "", 0, "");
		caller.args.operation = i < 2 ? FS_OPERATION_TRANSACTION_CALL : FS_OPERATION_COMMIT;
		caller.args.params.params_len = i < 2 ? 1 : 0;
		caller.args.transaction = id;
		caller_submit (world, &caller);
		caller_wait (world, &caller);
	}
}

static void
run_round (uint64_t seed)
{
	struct random_request *requests = g_new0 (struct random_request, REQUESTS);
	unsigned outcomes[4] = { 0 };
	struct world world;

	world_init (&world);
	world.random = seed;
	world.fault_percent = 8;
	for (unsigned i = 0; i < REQUESTS; i++)
	{
		struct random_request *request = &requests[i];
		const char *call = calls[random_next (&world.random) % G_N_ELEMENTS (calls)];

		g_snprintf (request->id, sizeof request->id, "id-%u", i);
		request->has_id = g_str_equal (call, "add");
		caller_prepare (&request->caller, call, 0, request->has_id ? request->id : "");
		caller_submit (&world, &request->caller);
		world.delay_us = (int64_t) (random_next (&world.random) % 3000);
		if (random_next (&world.random) % 100 < CANCEL_PERCENT && !request->caller.done)
		{
			owner_cancel (&world.set, &request->caller.request);
			request->is_cancelled = true;
		}
		if (random_next (&world.random) % 100 < 5)
			run_transaction (&world);
		world_run (&world, (int64_t) (random_next (&world.random) % 2000));
	}
	for (unsigned i = 0; i < REQUESTS; i++)
	{
		if (!requests[i].is_cancelled)
			caller_wait (&world, &requests[i].caller);
	}
	world.fault_percent = 0;
	world_run (&world, 500 * US_PER_MS);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	g_assert_cmpuint (world.running, ==, 0);
	g_assert_cmpuint (world.max_open, <=, 5);
	g_assert_cmpuint (world.max_running, <=, 5);
	for (unsigned i = 0; i < REQUESTS; i++)
	{
		check_request (&world, &requests[i]);
		if (!requests[i].is_cancelled)
			outcomes[requests[i].caller.outcome]++;
	}
	g_test_message ("seed %" G_GUINT64_FORMAT ": %u done, %u refused, %u failed, %u unknown", seed,
	                outcomes[0], outcomes[1], outcomes[2], outcomes[3]);
	world_finish (&world);
	g_free (requests);
}

static void
test_random (void)
{
	const char *text = g_getenv ("SEED");
	uint64_t seed = text ? g_ascii_strtoull (text, NULL, 10) : SEED;

	for (unsigned i = 0; i < ROUNDS; i++)
		run_round (seed + i);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/owner_random/faults", test_random);
	return g_test_run ();
}
