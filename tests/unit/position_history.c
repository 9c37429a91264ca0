#include "decision/position_history.h"

#include <glib.h>

static struct log_position
at (uint64_t term, uint64_t index)
{
	return (struct log_position){ term, index };
}

/* Guards against a sample older than the staleness bound, by which a read would miss acknowledged
 * commits. */
static void
test_oldest_sample_within_the_bound (void)
{
	struct position_history history;
	struct log_position position;

	position_history_init (&history);
	g_assert_false (position_history_find (&history, 0, &position));
	position_history_add (&history, 100000, at (1, 10));
	position_history_add (&history, 200000, at (1, 20));
	position_history_add (&history, 300000, at (1, 30));
	g_assert_true (position_history_find (&history, 100001, &position));
	g_assert_cmpuint (position.index, ==, 20);
	g_assert_true (position_history_find (&history, 300000, &position));
	g_assert_cmpuint (position.index, ==, 30);
	g_assert_false (position_history_find (&history, 300001, &position));
}

/* Guards against answers out of order: the position from an earlier statement says nothing about a later
 * time. */
static void
test_late_answers_are_ignored (void)
{
	struct position_history history;
	struct log_position position;

	position_history_init (&history);
	position_history_add (&history, 200000, at (1, 20));
	position_history_add (&history, 100000, at (1, 25));
	g_assert_cmpint (position_history_last_us (&history), ==, 200000);
	g_assert_true (position_history_find (&history, 150000, &position));
	g_assert_cmpuint (position.index, ==, 20);
}

/* Guards against a ring that, under load, does not reach back over the largest staleness bound. */
static void
test_close_samples_are_merged (void)
{
	struct position_history history;
	struct log_position position;
	int64_t now_us = 0;

	position_history_init (&history);
	for (uint64_t i = 1; i <= 5000; i++)
	{
		now_us += 1000;
		position_history_add (&history, now_us, at (1, i));
	}
	g_assert_true (position_history_find (&history, now_us - 2500000, &position));
	g_assert_cmpuint (position.index, >=, 2500);
	g_assert_cmpuint (position.index, <=, 2500 + 2 * POSITION_HISTORY_SPACING_US / 1000);
	g_assert_true (position_history_find (&history, now_us, &position));
	g_assert_cmpuint (position.index, ==, 5000);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/position_history/bound", test_oldest_sample_within_the_bound);
	g_test_add_func ("/position_history/late", test_late_answers_are_ignored);
	g_test_add_func ("/position_history/merged", test_close_samples_are_merged);
	return g_test_run ();
}
