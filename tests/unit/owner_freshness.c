/* Guards against an age below the truth: a partitioned or replaced primary, and a replica that has
 * not reached the primary's position, must not make content look fresh. */
#include "flamingospring/owner_freshness.h"

#include <glib.h>

static const struct server_status primary = { true, 1, { 1, 10 } };
static const struct server_status replica = { false, 1, { 1, 5 } };
static const struct server_status fenced = { false, 2, { 1, 5 } };

static void
test_majority (void)
{
	struct freshness freshness;

	freshness_init (&freshness, 3, 1);
	g_assert_true (freshness_start (&freshness, 1000));
	g_assert_false (freshness_start (&freshness, 2000));
	freshness_report (&freshness, 0, &primary, 1000, 3000);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
	freshness_report (&freshness, 1, &replica, 1000, 4000);
	g_assert_cmpuint (freshness.pending_count, ==, 1);
	g_assert_cmpint (freshness.fresh_at_us, ==, 0);
	freshness_reach (&freshness, (struct log_position){ 1, 9 }, 5000);
	g_assert_cmpint (freshness.fresh_at_us, ==, 0);
	freshness_reach (&freshness, (struct log_position){ 1, 10 }, 44000);
	g_assert_cmpint (freshness.fresh_at_us, ==, 1000);
	g_assert_cmpuint (freshness.lag_us, ==, 40000);
	/* Later samples move it by one fourth. */
	freshness_start (&freshness, 50000);
	freshness_report (&freshness, 0, &primary, 50000, 51000);
	freshness_report (&freshness, 1, &primary, 50000, 51000);
	g_assert_cmpuint (freshness.lag_us, ==, 30000);
}

static void
test_fenced_majority (void)
{
	struct freshness freshness;

	freshness_init (&freshness, 3, 0);
	freshness_start (&freshness, 1000);
	freshness_report (&freshness, 0, &primary, 1000, 2000);
	freshness_report (&freshness, 1, &fenced, 1000, 2000);
	freshness_report (&freshness, 2, &fenced, 1000, 2000);
	g_assert_cmpint (freshness.fresh_at_us, ==, 0);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
}

static void
test_old_answer (void)
{
	struct freshness freshness;

	freshness_init (&freshness, 3, 1);
	freshness_start (&freshness, 1000);
	freshness_report (&freshness, 0, &primary, 900, 2000);
	freshness_report (&freshness, 1, &replica, 1000, 2000);
	freshness_report (&freshness, 2, &replica, 1000, 2000);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
	/* A round without an answer of the primary ends, and its late answers do not count. */
	g_assert_true (freshness_start (&freshness, 400000));
	freshness_report (&freshness, 0, &primary, 1000, 400100);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/owner_freshness/majority", test_majority);
	g_test_add_func ("/owner_freshness/fenced_majority", test_fenced_majority);
	g_test_add_func ("/owner_freshness/old_answer", test_old_answer);
	return g_test_run ();
}
