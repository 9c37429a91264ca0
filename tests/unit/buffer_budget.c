/* Guards against a budget that does not follow what is held, against closing ordinary callers or other VMs before those that
 * misuse their connections, and against closing idle sessions or slow ones that make progress. */
#include "decision/buffer_budget.h"

#include <glib.h>
#include <stdlib.h>

static const int64_t second_us = 1000000;
static const size_t mebibyte = 1024 * 1024;

static void
test_limit (void)
{
	static const size_t vms_mb[] = { 48, 160, 260, 512 };
	struct buffer_budget budget;

	/* A deployment without a memory limit is served as before. */
	buffer_budget_init (&budget, 0);
	budget.used_bytes = SIZE_MAX / 2;
	g_assert_false (buffer_budget_is_short (&budget));
	g_assert_true (buffer_budget_has_room (&budget));
	g_assert_cmpuint (buffer_budget_share (&budget), ==, SIZE_MAX);
	for (size_t i = 0; i < G_N_ELEMENTS (vms_mb); i++)
	{
		size_t memory = vms_mb[i] * mebibyte;

		buffer_budget_init (&budget, memory);
		g_assert_cmpuint (budget.limit_bytes + BUFFER_PROCESS_BYTES, <, memory);
		/* A message of 1 MiB has buffers of 2 MiB for input, its copy, and output. */
		g_assert_cmpuint (budget.limit_bytes, >, 6 * mebibyte);
	}
	/* Less than the process needs. */
	buffer_budget_init (&budget, 16 * mebibyte);
	g_assert_cmpuint (budget.limit_bytes, ==, 2 * mebibyte);
}

static void
test_charge (void)
{
	struct buffer_budget budget;
	size_t first = 0;
	size_t second = 0;

	buffer_budget_init (&budget, 160 * mebibyte);
	buffer_budget_charge (&budget, &first, budget.limit_bytes);
	g_assert_false (buffer_budget_is_short (&budget));
	buffer_budget_charge (&budget, &second, 1);
	g_assert_true (buffer_budget_is_short (&budget));
	buffer_budget_charge (&budget, &first, budget.limit_bytes / 2);
	g_assert_false (buffer_budget_is_short (&budget));
	g_assert_true (buffer_budget_has_room (&budget));
	g_assert_cmpuint (budget.peak_bytes, ==, budget.limit_bytes + 1);
	buffer_budget_charge (&budget, &first, 0);
	buffer_budget_charge (&budget, &second, 0);
	g_assert_cmpuint (budget.used_bytes, ==, 0);
}

static void
test_order (void)
{
	/* In the order in which they give way. */
	const struct buffer_holder expected[] = {
		{ .bytes = 400, .owes = true, .slow_us = 9 * second_us },
		{ .bytes = 900, .owes = true },
		{ .bytes = 500, .owes = true, .slow_us = second_us / 2 },
		{ .bytes = 2000 },
		{ .bytes = 1000 },
		{ .bytes = 8000, .owes = true, .is_peer = true },
		{ .bytes = 9000, .is_peer = true },
	};
	struct buffer_holder holders[G_N_ELEMENTS (expected)];

	for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
		holders[i] = expected[(i * 3 + 2) % G_N_ELEMENTS (expected)];
	qsort (holders, G_N_ELEMENTS (holders), sizeof *holders, buffer_holder_compare);
	for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
		g_assert_cmpuint (holders[i].bytes, ==, expected[i].bytes);
}

/** Whether a peer that sends @p bytes each second keeps its place for a minute. */
static bool
keeps_place (size_t bytes, bool owes)
{
	struct buffer_progress progress = { 0 };
	uint64_t moved = 0;

	for (int64_t now_us = second_us; now_us < 60 * second_us; now_us += second_us)
	{
		moved += bytes;
		if (!buffer_progress_check (&progress, owes, moved, 10 * second_us, now_us))
			return false;
	}
	return true;
}

static void
test_progress (void)
{
	struct buffer_progress progress = { 0 };

	g_assert_true (keeps_place (0, false));
	g_assert_true (keeps_place (BUFFER_PROGRESS_BYTES / 9, true));
	g_assert_false (keeps_place (1, true));
	g_assert_false (keeps_place (0, true));
	/* Without a limit, as in a deployment that has none. */
	g_assert_true (buffer_progress_check (&progress, true, 0, 0, second_us));
	g_assert_true (buffer_progress_check (&progress, true, 0, 0, 1000 * second_us));
	/* A message that is complete ends the period. */
	buffer_progress_end (&progress);
	g_assert_true (buffer_progress_check (&progress, true, 0, second_us, 1000 * second_us));
	g_assert_true (buffer_progress_check (&progress, true, 0, second_us, 1001 * second_us));
	g_assert_false (buffer_progress_check (&progress, true, 0, second_us, 1002 * second_us));
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/buffer_budget/limit", test_limit);
	g_test_add_func ("/buffer_budget/charge", test_charge);
	g_test_add_func ("/buffer_budget/order", test_order);
	g_test_add_func ("/buffer_budget/progress", test_progress);
	return g_test_run ();
}
