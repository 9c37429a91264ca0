#include "decision/session_end.h"

#include <glib.h>

enum
{
	MS = 1000,
	GRACE_US = 6000 * MS,
};

static enum session_end
judge_stop (int64_t leaving_us, int64_t grace_us, bool is_in_transaction)
{
	struct session_outlook outlook = {
		.is_leaving = true,
		.leaving_us = leaving_us,
		.grace_us = grace_us,
		.is_in_transaction = is_in_transaction,
	};

	return session_end_judge (&outlook);
}

/* Guards against the end of sessions whose callers would come back, since the balancer still sends them here; against
 * transactions that are ended in the first half of the grace period; and against answers that come too late to be sent. */
static void
test_planned_stop (void)
{
	g_assert_cmpint (judge_stop (2100 * MS, GRACE_US, false), ==, SESSION_STAYS);
	g_assert_cmpint (judge_stop (2300 * MS, GRACE_US, false), ==, SESSION_ENDS);
	g_assert_cmpint (judge_stop (2900 * MS, GRACE_US, true), ==, SESSION_STAYS);
	g_assert_cmpint (judge_stop (3100 * MS, GRACE_US, true), ==, SESSION_ENDS);
	g_assert_cmpint (judge_stop (5400 * MS, GRACE_US, true), ==, SESSION_ENDS);
	g_assert_cmpint (judge_stop (5600 * MS, GRACE_US, true), ==, SESSION_GIVES_UP);
}

/* Guards against a process that is killed before it has ended its sessions, and against one without a limit that gives up. */
static void
test_other_grace_periods (void)
{
	g_assert_cmpint (judge_stop (400 * MS, 1000 * MS, false), ==, SESSION_STAYS);
	g_assert_cmpint (judge_stop (600 * MS, 1000 * MS, false), ==, SESSION_GIVES_UP);
	g_assert_cmpint (judge_stop (2100 * MS, 0, false), ==, SESSION_STAYS);
	g_assert_cmpint (judge_stop (60000 * MS, 0, false), ==, SESSION_ENDS);
	g_assert_cmpint (judge_stop (60000 * MS, 0, true), ==, SESSION_STAYS);
}

/* Guards against an isolated VM that ends sessions of other VMs, transactions, or callers that found no better VM. */
static void
test_isolated (void)
{
	struct session_outlook outlook = { .out_of_rotation_us = 50 * MS };

	g_assert_cmpint (session_end_judge (&outlook), ==, SESSION_STAYS);
	outlook.out_of_rotation_us = 150 * MS;
	g_assert_cmpint (session_end_judge (&outlook), ==, SESSION_ENDS);
	outlook.is_late = true;
	g_assert_cmpint (session_end_judge (&outlook), ==, SESSION_STAYS);
	outlook.is_late = false;
	outlook.is_in_transaction = true;
	g_assert_cmpint (session_end_judge (&outlook), ==, SESSION_STAYS);
	outlook.is_in_transaction = false;
	outlook.is_peer = true;
	g_assert_cmpint (session_end_judge (&outlook), ==, SESSION_STAYS);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/session_end/planned_stop", test_planned_stop);
	g_test_add_func ("/session_end/other_grace_periods", test_other_grace_periods);
	g_test_add_func ("/session_end/isolated", test_isolated);
	return g_test_run ();
}
