/* Guards against writes that are acknowledged without a majority or by a replaced primary (P2), and
 * against writes whose outcome is lost or reported twice. */
#include "decision/acknowledgement.h"

#include "common/counters.h"
#include "decision/retry.h"

#include <errno.h>
#include <glib.h>

/* One write at {5, 10} in a group of 3 whose primary is server 0, followed by a report of each
 * replica. */
static void
test_cases (void)
{
	static const struct
	{
		const char *name;
		struct server_status replica, other;
		enum acknowledgement_verdict verdict;
	} cases[] = {
		{ "replica holds it",
		  { false, 5, { 5, 10 } },
		  { false, 5, { 5, 3 } },
		  ACKNOWLEDGEMENT_DONE },
		{ "replica beyond it", { false, 5, { 5, 99 } }, { 0 }, ACKNOWLEDGEMENT_DONE },
		{ "both behind", { false, 5, { 5, 9 } }, { false, 5, { 5, 9 } }, ACKNOWLEDGEMENT_TIMEOUT },
		{ "no answers", { 0 }, { 0 }, ACKNOWLEDGEMENT_TIMEOUT },
		{ "longer log of an older term",
		  { false, 5, { 4, 50 } },
		  { false, 5, { 4, 50 } },
		  ACKNOWLEDGEMENT_TIMEOUT },
		{ "fenced holder", { false, 6, { 5, 10 } }, { 0 }, ACKNOWLEDGEMENT_REPLACED },
		{ "holder, other one fenced",
		  { false, 5, { 5, 10 } },
		  { false, 6, { 5, 10 } },
		  ACKNOWLEDGEMENT_REPLACED },
		{ "new primary", { true, 6, { 6, 11 } }, { 0 }, ACKNOWLEDGEMENT_REPLACED },
		{ "primary of an older term", { true, 4, { 4, 99 } }, { 0 }, ACKNOWLEDGEMENT_TIMEOUT },
	};
	const struct server_status primary = { true, 5, { 5, 10 } };

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		void *memory = g_malloc (acknowledgement_size (3, 4));
		struct acknowledgement *ack = acknowledgement_init (memory, 3, 4);
		struct acknowledgement_result result;

		g_assert_cmpint (acknowledgement_add (ack, 7, 0, primary.position, 100), ==, 0);
		acknowledgement_report (ack, 0, &primary);
		g_assert_cmpint (acknowledgement_next (ack, 99).verdict, ==, ACKNOWLEDGEMENT_NONE);
		acknowledgement_report (ack, 1, &cases[i].replica);
		acknowledgement_report (ack, 2, &cases[i].other);
		g_assert_cmpint (acknowledgement_next_deadline_us (ack), ==, 100);
		result = acknowledgement_next (ack, 100);
		g_test_message ("%s", cases[i].name);
		g_assert_cmpint (result.verdict, ==, cases[i].verdict);
		g_assert_cmpuint (result.cookie, ==, 7);
		g_assert_false (acknowledgement_is_waiting (ack));
		g_assert_false (acknowledgement_first (ack, &result.cookie));
		g_assert_cmpint (acknowledgement_next (ack, 101).verdict, ==, ACKNOWLEDGEMENT_NONE);
		acknowledgement_finish (ack);
		g_free (memory);
	}
}

/* Guards against counting the primary twice. A primary that learns of a higher term steps down before
 * it promises that term, and then reports as a replica that holds the write. When that report was
 * counted as well, a write that no other server held was acknowledged. */
static void
test_stepped_down (void)
{
	const struct server_status own = { false, 5, { 5, 10 } };
	const struct server_status behind = { false, 5, { 5, 9 } };
	void *memory = g_malloc (acknowledgement_size (3, 4));
	struct acknowledgement *ack = acknowledgement_init (memory, 3, 4);

	g_assert_cmpint (acknowledgement_add (ack, 7, 0, own.position, 100), ==, 0);
	acknowledgement_report (ack, 0, &own);
	acknowledgement_report (ack, 1, &behind);
	g_assert_cmpint (acknowledgement_next (ack, 99).verdict, ==, ACKNOWLEDGEMENT_NONE);
	g_assert_cmpint (acknowledgement_next (ack, 100).verdict, ==, ACKNOWLEDGEMENT_TIMEOUT);
	acknowledgement_finish (ack);
	g_free (memory);
}

/* One report completes all writes that it covers, in whatever order they were added; a report with a
 * higher term completes the remaining ones. */
static void
test_batch (void)
{
	void *memory = g_malloc (acknowledgement_size (3, 100));
	struct acknowledgement *ack = acknowledgement_init (memory, 3, 100);
	struct server_status status = { false, 2, { 2, 60 } };
	struct server_status older = { false, 2, { 2, 20 } };
	unsigned count = 0;
	uint64_t first;

	for (uint64_t i = 0; i < 100; i++)
		g_assert_cmpint (
			acknowledgement_add (ack, i, 0, (struct log_position){ 2, i * 37 % 100 + 1 }, 1000), ==,
			0);
	g_assert_cmpint (acknowledgement_add (ack, 100, 0, (struct log_position){ 2, 101 }, 1000), ==,
	                 -ENOSPC);
	g_assert_true (acknowledgement_first (ack, &first));
	g_assert_cmpuint (first, ==, 0);
	acknowledgement_report (ack, 1, &status);
	acknowledgement_report (ack, 1, &older);
	for (; acknowledgement_next (ack, 10).verdict == ACKNOWLEDGEMENT_DONE; count++)
		;
	g_assert_cmpuint (count, ==, 60);
	/* Write 80 has index 61 = 80 * 37 % 100 + 1, the lowest that is left. */
	g_assert_true (acknowledgement_first (ack, &first));
	g_assert_cmpuint (first, ==, 80);
	status.promised_term = 3;
	acknowledgement_report (ack, 2, &status);
	for (; acknowledgement_next (ack, 10).verdict == ACKNOWLEDGEMENT_REPLACED; count++)
		;
	g_assert_cmpuint (count, ==, 100);
	g_assert_false (acknowledgement_is_waiting (ack));
	acknowledgement_finish (ack);
	g_free (memory);
}

enum
{
	RANDOM_STEPS = 20000,
	RANDOM_CAPACITY = 50,
};

/* Runs a group of servers through random events and checks each verdict against the actual logs.
 * @return a hash of all results. */
static uint64_t
run_random (uint64_t seed)
{
	uint64_t random = seed;
	uint32_t servers = 1 + (uint32_t) (seed % 5);
	struct server_status actual[5] = { { .promised_term = 1 } };
	bool open[RANDOM_STEPS] = { false };
	void *memory = g_malloc (acknowledgement_size (servers, RANDOM_CAPACITY));
	struct acknowledgement *ack = acknowledgement_init (memory, servers, RANDOM_CAPACITY);
	uint64_t hash = seed;
	uint64_t fenced_term = 0;
	unsigned waiting = 0;

	actual[0] = (struct server_status){ true, 1, { 1, 1 } };
	for (uint32_t i = 0; i < RANDOM_STEPS; i++)
	{
		uint32_t server = (uint32_t) (random_next (&random) % servers);
		struct acknowledgement_result result;

		switch (random_next (&random) % 4)
		{
		case 0: /* A write at the primary of the current term. */
			actual[0].position.index++;
			if (acknowledgement_add (ack, i, 0, actual[0].position,
			                         i + 1 + random_next (&random) % 200) == 0)
			{
				open[i] = true;
				waiting++;
			}
			else
				g_assert_cmpuint (waiting, ==, RANDOM_CAPACITY);
			break;
		case 1: /* A server replicates a part of the primary's log. */
			if (actual[server].promised_term <= actual[0].position.term)
			{
				actual[server].promised_term = actual[0].promised_term;
				actual[server].position.term = actual[0].position.term;
				actual[server].position.index +=
					random_next (&random) %
					(actual[0].position.index - actual[server].position.index + 1);
			}
			break;
		case 2:
			if (server != 0)
				acknowledgement_report (ack, server, &actual[server]);
			break;
		default: /* Occasionally a replica is fenced, and later the primary wins that term. */
			if (server != 0 && random_next (&random) % 100 == 0)
				fenced_term = ++actual[server].promised_term;
			else if (fenced_term && random_next (&random) % 50 == 0)
			{
				actual[0] = (struct server_status){ true, fenced_term, actual[0].position };
				actual[0].position.term = fenced_term;
				fenced_term = 0;
			}
		}
		while ((result = acknowledgement_next (ack, i)).verdict != ACKNOWLEDGEMENT_NONE)
		{
			uint32_t holders = 0;

			g_assert_true (open[result.cookie]);
			open[result.cookie] = false;
			waiting--;
			hash = (hash ^ result.cookie * 8 ^ result.verdict) * 0x100000001b3u;
			for (uint32_t s = 0; s < servers; s++)
				holders += log_position_covers (actual[s].position, result.position);
			if (result.verdict == ACKNOWLEDGEMENT_DONE)
				g_assert_cmpuint (holders, >, servers / 2);
		}
		g_assert_cmpint (acknowledgement_next_deadline_us (ack), >, i);
		g_assert_cmpint (acknowledgement_is_waiting (ack), ==, waiting > 0);
	}
	g_free (memory);
	return hash;
}

static void
test_random (void)
{
	static const uint64_t seeds[] = { 1, 2, 3, 4, 5, 77, 1234, 99999, 4711, 31 };

	for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
		g_assert_cmpuint (run_random (seeds[i]), ==, run_random (seeds[i]));
	g_assert_cmpuint (counter_get (COUNTER_INVARIANT_VIOLATIONS), ==, 0);
}

/* Every report of a replica that matters for a write at {1, 2}: promised term and end of its log. */
static const struct server_status possible_reports[] = {
	{ false, 1, { 1, 1 } }, { false, 1, { 1, 2 } }, { false, 2, { 1, 1 } },
	{ false, 2, { 1, 2 } }, { false, 2, { 2, 2 } }, { true, 2, { 2, 2 } },
};

/* Returns the correct verdict on the write after the first @p reports reports. */
static enum acknowledgement_verdict
expected_verdict (const size_t *order, size_t reports)
{
	for (size_t i = 0; i < reports; i++)
		if (possible_reports[order[i]].promised_term > 1)
			return ACKNOWLEDGEMENT_REPLACED;
	for (size_t i = 0; i < reports; i++)
		if (possible_reports[order[i]].position.index >= 2)
			return ACKNOWLEDGEMENT_DONE;
	return ACKNOWLEDGEMENT_NONE;
}

/* Guards against an acknowledgement after a replica has promised a term above the write's. Tries every
 * sequence of four reports, alternating between the two replicas of a group. */
static void
test_all_report_sequences (void)
{
	enum
	{
		REPORTS = 4,
	};
	const struct server_status primary = { true, 1, { 1, 2 } };
	size_t kinds = G_N_ELEMENTS (possible_reports);

	for (size_t code = 0; code < kinds * kinds * kinds * kinds; code++)
	{
		void *memory = g_malloc (acknowledgement_size (3, 4));
		struct acknowledgement *ack = acknowledgement_init (memory, 3, 4);
		enum acknowledgement_verdict verdict = ACKNOWLEDGEMENT_NONE;
		size_t order[REPORTS];
		size_t remaining = code;

		g_assert_cmpint (acknowledgement_add (ack, 7, 0, primary.position, 100), ==, 0);
		acknowledgement_report (ack, 0, &primary);
		for (size_t i = 0; i < REPORTS && verdict == ACKNOWLEDGEMENT_NONE; i++, remaining /= kinds)
		{
			order[i] = remaining % kinds;
			acknowledgement_report (ack, 1 + (uint32_t) (i % 2), &possible_reports[order[i]]);
			verdict = acknowledgement_next (ack, 1).verdict;
			g_assert_cmpint (verdict, ==, expected_verdict (order, i + 1));
		}
		g_free (memory);
	}
	g_assert_cmpuint (counter_get (COUNTER_INVARIANT_VIOLATIONS), ==, 0);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/acknowledgement/cases", test_cases);
	g_test_add_func ("/acknowledgement/stepped_down", test_stepped_down);
	g_test_add_func ("/acknowledgement/batch", test_batch);
	g_test_add_func ("/acknowledgement/every_report", test_all_report_sequences);
	g_test_add_func ("/acknowledgement/random", test_random);
	return g_test_run ();
}
