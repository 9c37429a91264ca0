/* Guards against slots that count as taken after their answers were lost, and against a server that is sent more than it
 * runs because its statements are slow. */
#include "decision/slots.h"

#include "common/clock.h"

#include <glib.h>

static void
test_overdue (void)
{
	struct answer_time usual = { 0 };
	int64_t first_us;

	/* Nothing is known yet. */
	g_assert_cmpint (answer_time_overdue_us (&usual), ==, 50 * US_PER_MS);
	for (int i = 0; i < 100; i++)
		answer_time_add (&usual, (i % 2 ? 8 : 10) * US_PER_MS);
	g_assert_cmpint (answer_time_overdue_us (&usual), ==, 50 * US_PER_MS);
	/* The limit follows a server that becomes slow, and one that becomes fast again. */
	for (int i = 0; i < 20; i++)
		answer_time_add (&usual, (i % 2 ? 200 : 300) * US_PER_MS);
	first_us = answer_time_overdue_us (&usual);
	g_assert_cmpint (first_us, >, 300 * US_PER_MS);
	for (int i = 0; i < 100; i++)
		answer_time_add (&usual, (i % 2 ? 8 : 10) * US_PER_MS);
	g_assert_cmpint (answer_time_overdue_us (&usual), <, 100 * US_PER_MS);
}

static void
test_judge (void)
{
	static const struct
	{
		struct slot_evidence evidence;
		uint32_t first;  /* By the first answer. */
		uint32_t second; /* By a second one that says the same. */
	} cases[] = {
		/* Nothing runs: all overdue statements have ended. */
		{ { .overdue = 2, .recent = 0, .reported = 0 }, 2, 2 },
		/* All overdue ones may be what it runs. */
		{ { .overdue = 2, .recent = 0, .reported = 2 }, 0, 0 },
		{ { .overdue = 2, .recent = 0, .reported = 1 }, 1, 1 },
		/* What it runs is the recent one, or an overdue one whose successor has just been answered. */
		{ { .overdue = 1, .recent = 1, .reported = 1 }, 0, 1 },
		{ { .overdue = 1, .recent = 1, .reported = 2 }, 0, 0 },
		/* Statements of other VMs run as well. */
		{ { .overdue = 1, .recent = 1, .reported = 4 }, 0, 0 },
		{ { .overdue = 3, .recent = 2, .reported = 2 }, 1, 3 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		struct slot_inquiry inquiry = { 0 };

		g_assert_cmpuint (slot_inquiry_judge (&inquiry, &cases[i].evidence), ==, cases[i].first);
		g_assert_cmpuint (slot_inquiry_judge (&inquiry, &cases[i].evidence), ==, cases[i].second);
	}
}

/* While the server confirms that overdue statements run, it is asked at most every two seconds; once answers are lost, at
 * once. */
static void
test_interval (void)
{
	const struct slot_evidence slow = { .overdue = 1, .recent = 0, .reported = 1 };
	const struct slot_evidence lost = { .overdue = 1, .recent = 0, .reported = 0 };
	struct slot_inquiry inquiry = { 0 };
	int64_t now_us = 1000 * (int64_t) US_PER_S;
	int questions = 0;

	for (int64_t end_us = now_us + 60 * (int64_t) US_PER_S; now_us < end_us;
	     now_us += 20 * US_PER_MS)
	{
		if (!slot_inquiry_is_due (&inquiry, now_us))
			continue;
		slot_inquiry_start (&inquiry, now_us);
		slot_inquiry_judge (&inquiry, &slow);
		questions++;
	}
	g_assert_cmpint (questions, <, 40);
	slot_inquiry_judge (&inquiry, &lost);
	g_assert_true (slot_inquiry_is_due (&inquiry, now_us));
}

static void
test_give_up (void)
{
	/* A read is sent again; a write waits for an answer that is only late. */
	g_assert_true (slot_answer_is_given_up (100 * US_PER_MS, true, false));
	g_assert_false (slot_answer_is_given_up (100 * US_PER_MS, false, false));
	g_assert_false (slot_answer_is_given_up (600 * US_PER_MS, false, false));
	g_assert_true (slot_answer_is_given_up (600 * US_PER_MS, false, true));
	g_assert_true (slot_answer_is_given_up (1100 * US_PER_MS, false, false));
	/* A silent server may still answer. */
	g_assert_false (slot_setup_is_given_up (5000 * US_PER_MS, -100 * US_PER_MS, 50 * US_PER_MS));
	g_assert_false (slot_setup_is_given_up (60 * US_PER_MS, 10 * US_PER_MS, 50 * US_PER_MS));
	g_assert_false (slot_setup_is_given_up (40 * US_PER_MS, 40 * US_PER_MS, 50 * US_PER_MS));
	g_assert_true (slot_setup_is_given_up (60 * US_PER_MS, 30 * US_PER_MS, 50 * US_PER_MS));
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/slots/overdue", test_overdue);
	g_test_add_func ("/slots/judge", test_judge);
	g_test_add_func ("/slots/interval", test_interval);
	g_test_add_func ("/slots/give_up", test_give_up);
	return g_test_run ();
}
