/* Guards against an age that is too low: a partitioned or replaced primary, or a replica that has
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
	g_assert_true (freshness_start_round (&freshness, 1000));
	g_assert_false (freshness_start_round (&freshness, 2000));
	freshness_report (&freshness, 0, &primary, 1000, 3000);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
	freshness_report (&freshness, 1, &replica, 1000, 4000);
	g_assert_cmpuint (freshness.pending_count, ==, 1);
	g_assert_cmpint (freshness.fresh_at_us, ==, 0);
	freshness_update_position (&freshness, (struct log_position){ 1, 9 }, 5000, 5000);
	g_assert_cmpint (freshness.fresh_at_us, ==, 0);
	freshness_update_position (&freshness, (struct log_position){ 1, 10 }, 43000, 44000);
	g_assert_cmpint (freshness.fresh_at_us, ==, 1000);
	/* Measured from the primary's answer. */
	g_assert_cmpuint (freshness.lag_us, ==, 41000);
}

/* Runs a round in which the primary answers at @p start_us + 1000 with log @p index. */
static void
run_round (struct freshness *freshness, int64_t start_us, uint64_t index)
{
	struct server_status status = { true, 1, { 1, index } };

	g_assert_true (freshness_start_round (freshness, start_us));
	freshness_report (freshness, 0, &status, start_us, start_us + 1000);
	freshness_report (freshness, 2, &replica, start_us, start_us + 2000);
}

/* Guards against a lag of 0 from a round between two writes: the server had the position before the
 * primary was queried, which says nothing about the replication time of the entry. */
static void
test_lag_of_rounds (void)
{
	struct freshness freshness;
	struct server_status reached = { false, 1, { 1, 12 } };

	freshness_init (&freshness, 3, 1);
	g_assert_false (freshness_needs_sample (&freshness));
	freshness_update_position (&freshness, (struct log_position){ 1, 10 }, 40000, 41000);
	run_round (&freshness, 50000, 10);
	g_assert_true (freshness_needs_sample (&freshness));
	run_round (&freshness, 60000, 10);
	g_assert_false (freshness_needs_sample (&freshness));
	run_round (&freshness, 100000, 11);
	g_assert_false (freshness_needs_sample (&freshness));
	freshness_update_position (&freshness, (struct log_position){ 1, 11 }, 140000, 141000);
	g_assert_cmpuint (freshness.lag_us, ==, 40000);
	/* Higher samples have a weight of 1/2, lower ones of 1/16. */
	run_round (&freshness, 200000, 12);
	freshness_update_position (&freshness, (struct log_position){ 1, 12 }, 260000, 261000);
	g_assert_cmpuint (freshness.lag_us, ==, 50000);
	run_round (&freshness, 300000, 13);
	freshness_update_position (&freshness, (struct log_position){ 1, 13 }, 318000, 319000);
	g_assert_cmpuint (freshness.lag_us, ==, 48000);
	/* The same position again, which the server had reached before, gives no sample. */
	run_round (&freshness, 400000, 13);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
	g_assert_cmpint (freshness.fresh_at_us, ==, 400000);
	g_assert_cmpuint (freshness.lag_us, ==, 48000);
	/* Written and replicated since the last round, 30 ms before, so the lag is at most that. */
	freshness_update_position (&freshness, (struct log_position){ 1, 14 }, 425000, 426000);
	run_round (&freshness, 430000, 14);
	g_assert_cmpuint (freshness.lag_us, ==, 30000);
	/* No sample: the server was queried in the same round, before the primary answered. */
	g_assert_true (freshness_start_round (&freshness, 500000));
	reached.position.index = 15;
	freshness_report (&freshness, 0, &(struct server_status){ true, 1, { 1, 15 } }, 500000, 501000);
	freshness_report (&freshness, 1, &reached, 500000, 502000);
	g_assert_cmpint (freshness.fresh_at_us, ==, 500000);
	g_assert_cmpuint (freshness.lag_us, ==, 30000);
}

static void
test_fenced_majority (void)
{
	struct freshness freshness;

	freshness_init (&freshness, 3, 0);
	freshness_start_round (&freshness, 1000);
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
	freshness_start_round (&freshness, 1000);
	freshness_report (&freshness, 0, &primary, 900, 2000);
	freshness_report (&freshness, 1, &replica, 1000, 2000);
	freshness_report (&freshness, 2, &replica, 1000, 2000);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
	/* A round without an answer of the primary expires, and its late answers are ignored. */
	g_assert_true (freshness_start_round (&freshness, 400000));
	freshness_report (&freshness, 0, &primary, 1000, 400100);
	g_assert_cmpuint (freshness.pending_count, ==, 0);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/owner_freshness/majority", test_majority);
	g_test_add_func ("/owner_freshness/lag_of_rounds", test_lag_of_rounds);
	g_test_add_func ("/owner_freshness/fenced_majority", test_fenced_majority);
	g_test_add_func ("/owner_freshness/old_answer", test_old_answer);
	return g_test_run ();
}
