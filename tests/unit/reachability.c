#include "decision/reachability.h"

#include <glib.h>

enum
{
	MS = 1000,
};

/* Guards against a VM that reports a server as reachable without recent traffic to it. In a partition
 * (trouble-2 of Grindwell) this delayed the change of primary by 0.5 s, until enough VMs had detected
 * the loss themselves. */
static void
test_opinion_needs_contact (void)
{
	int64_t now_us = 60000 * MS;

	g_assert_cmpint (reachability_form_opinion (true, now_us, now_us), ==, REACHABILITY_LOST);
	g_assert_cmpint (reachability_form_opinion (false, now_us - 100 * MS, now_us), ==,
	                 REACHABILITY_REACHABLE);
	g_assert_cmpint (reachability_form_opinion (false, now_us - 1000 * MS, now_us), ==,
	                 REACHABILITY_UNKNOWN);
	g_assert_cmpint (reachability_form_opinion (false, 0, now_us), ==, REACHABILITY_UNKNOWN);
}

struct vote_case
{
	const char *name;
	struct reachability_votes votes;
	int64_t elapsed_us;
	bool is_agreed;
};

/* Guards against replacing a healthy primary, and against keeping a lost one. */
static void
test_votes (void)
{
	static const struct vote_case cases[] = {
		{ "alone", { 1, 0, 0 }, 0, true },
		{ "one of seven, at once", { 1, 0, 6 }, 0, false },
		{ "others are silent for long", { 1, 0, 6 }, 500 * MS, true },
		{ "most have lost it", { 4, 1, 2 }, 0, true },
		{ "half, others may still answer", { 3, 1, 3 }, 0, false },
		{ "as many reach it", { 2, 2, 3 }, 500 * MS, false },
		{ "most reach it", { 2, 5, 0 }, 5000 * MS, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		g_test_message ("%s", cases[i].name);
		g_assert_cmpint (
			reachability_is_agreed (&cases[i].votes, 1000 * MS, 1000 * MS + cases[i].elapsed_us),
			==, cases[i].is_agreed);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/reachability/contact", test_opinion_needs_contact);
	g_test_add_func ("/reachability/votes", test_votes);
	return g_test_run ();
}
