/* Guards against combinations of faults that no table lists: every request is answered once, what was
 * refused did not run, what is done ran exactly once, and nothing is left behind. */
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
	struct asked asked;
	char id[32];
	bool is_cancelled;
	bool has_id;
};

static const char *const calls[] = { "exact", "recent", "exact", "report", "set", "add", "add" };

static void
check_request (const struct world *world, const struct random_request *request)
{
	const struct asked *asked = &request->asked;
	bool is_stored = g_hash_table_contains (world->answers, request->id);

	g_assert_cmpuint (asked->done, ==, request->is_cancelled ? 0 : 1);
	if (request->is_cancelled || !request->has_id)
		return;
	if (asked->outcome == OUTCOME_DONE)
		g_assert_true (is_stored);
	if (asked->outcome == OUTCOME_REFUSED || asked->outcome == OUTCOME_FAILED)
		g_assert_false (is_stored);
}

static void
run_transaction (struct world *world)
{
	struct asked asked;
	uint64_t id;

	asked_prepare (&asked, "", 0, "");
	asked.args.operation = FS_OPERATION_BEGIN;
	asked.args.params.params_len = 0;
	asked_submit (world, &asked);
	asked_wait (world, &asked);
	id = asked.transaction;
	if (asked.outcome != OUTCOME_DONE)
		return;
	for (unsigned i = 0; i < 3; i++)
	{
		asked_prepare (&asked, i < 2 ? "add" : "", 0, "");
		asked.args.operation = i < 2 ? FS_OPERATION_TRANSACTION_CALL : FS_OPERATION_COMMIT;
		asked.args.params.params_len = i < 2 ? 1 : 0;
		asked.args.transaction = id;
		asked_submit (world, &asked);
		asked_wait (world, &asked);
	}
}

static void
run_round (uint64_t seed)
{
	struct random_request *requests = g_new0 (struct random_request, REQUESTS);
	unsigned outcomes[4] = { 0 };
	struct world world;

	world_start (&world);
	world.random = seed;
	world.fault_percent = 8;
	for (unsigned i = 0; i < REQUESTS; i++)
	{
		struct random_request *request = &requests[i];
		const char *call = calls[random_next (&world.random) % G_N_ELEMENTS (calls)];

		g_snprintf (request->id, sizeof request->id, "id-%u", i);
		request->has_id = g_str_equal (call, "add");
		asked_prepare (&request->asked, call, 0, request->has_id ? request->id : "");
		asked_submit (&world, &request->asked);
		world.delay_us = (int64_t) (random_next (&world.random) % 3000);
		if (random_next (&world.random) % 100 < CANCEL_PERCENT && !request->asked.done)
		{
			owner_cancel (&world.set, &request->asked.request);
			request->is_cancelled = true;
		}
		if (random_next (&world.random) % 100 < 5)
			run_transaction (&world);
		world_run (&world, (int64_t) (random_next (&world.random) % 2000));
	}
	for (unsigned i = 0; i < REQUESTS; i++)
	{
		if (!requests[i].is_cancelled)
			asked_wait (&world, &requests[i].asked);
	}
	world.fault_percent = 0;
	world_run (&world, 500 * US_PER_MS);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	g_assert_cmpuint (world.running, ==, 0);
	g_assert_cmpuint (world.highest, <=, 5);
	g_assert_cmpuint (world.most_running, <=, 5);
	for (unsigned i = 0; i < REQUESTS; i++)
	{
		check_request (&world, &requests[i]);
		if (!requests[i].is_cancelled)
			outcomes[requests[i].asked.outcome]++;
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
