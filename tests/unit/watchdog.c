/* Guards against a hung process that nobody ends, and against the end of one that was only suspended or slow. */
#include "decision/watchdog.h"

#include <glib.h>

enum
{
	MS = 1000,
};

static void
test_hang (void)
{
	struct watchdog watchdog = { 0 };

	g_assert_cmpint (watchdog_check (&watchdog, 500 * MS), ==, WATCHDOG_RUNS);
	for (int i = 1; i < WATCHDOG_CHECKS; i++)
		g_assert_cmpint (watchdog_check (&watchdog, 500 * MS), ==, WATCHDOG_RUNS);
	g_assert_cmpint (watchdog_check (&watchdog, 500 * MS), ==, WATCHDOG_HANGS);
}

/* A thread that never began to turn hangs as well. */
static void
test_never_started (void)
{
	struct watchdog watchdog = { 0 };

	for (int i = 1; i < WATCHDOG_CHECKS; i++)
		g_assert_cmpint (watchdog_check (&watchdog, 0), ==, WATCHDOG_RUNS);
	g_assert_cmpint (watchdog_check (&watchdog, 0), ==, WATCHDOG_HANGS);
}

/* One turn between two checks is enough, however old it is at the check. */
static void
test_slow (void)
{
	struct watchdog watchdog = { 0 };

	for (int64_t turn = 1; turn <= 50; turn++)
		for (int i = 0; i < WATCHDOG_CHECKS; i++)
			g_assert_cmpint (watchdog_check (&watchdog, turn * 9000 * MS), ==, WATCHDOG_RUNS);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/watchdog/hang", test_hang);
	g_test_add_func ("/watchdog/never_started", test_never_started);
	g_test_add_func ("/watchdog/slow", test_slow);
	return g_test_run ();
}
