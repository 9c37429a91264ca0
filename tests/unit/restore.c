#include "decision/restore.h"

#include "decision/succession.h"

#include <glib.h>

enum
{
	S = 1000 * 1000,
};

/* Guards against believing a record that a restored store holds, while a later one may be lost (ONE). */
static void
test_verdicts (void)
{
	struct restore_stored stored = { .at = { 2, 40 }, .change = 7, .era = 1 };

	g_assert_cmpint (restore_judge (7, &stored, 2), ==, RESTORE_UNCONFIRMED);
	g_assert_cmpint (restore_judge (8, &stored, 2), ==, RESTORE_LOST);
	stored.era = 2;
	g_assert_cmpint (restore_judge (7, &stored, 2), ==, RESTORE_CONFIRMED);
	g_assert_cmpint (restore_judge (8, &stored, 2), ==, RESTORE_LOST);
	/* Read before the store was restored. */
	g_assert_cmpint (restore_judge (7, &stored, 3), ==, RESTORE_UNCONFIRMED);
	stored = (struct restore_stored){ .at = { 2, 0 } };
	g_assert_cmpint (restore_judge (7, &stored, 2), ==, RESTORE_LOST);
}

/* Guards against a record that is written again while the claimant of a lost change may still act, or by a VM that has
 * not asked the others. */
static void
test_writing (void)
{
	int64_t restored_us = 100 * S;

	g_assert_false (restore_may_write (restored_us, restored_us + 1 * S, restored_us + 4 * S));
	g_assert_true (restore_may_write (restored_us, restored_us + 1 * S, restored_us + 5 * S));
	g_assert_false (restore_may_write (restored_us, restored_us - 1 * S, restored_us + 6 * S));
	g_assert_true (restore_may_write (restored_us, 0, restored_us + 12 * S));
	g_assert_cmpint (restore_claims_end_us (0), ==, 0);
}

/* Guards against a fencing token that falls below one that was used before the restore, and against an older record
 * that counts as later than a newer one because it was written again. */
static void
test_numbers (void)
{
	uint64_t first = 1;
	uint64_t claim = succession_next_change (first, 1);
	uint64_t record = succession_next_change (claim, 1);
	uint64_t claim_on_older_copy = succession_next_change (first, 2);

	g_assert_cmpuint (claim, >, first);
	g_assert_cmpuint (record, ==, claim + 1);
	g_assert_cmpuint (claim_on_older_copy, >, record);
	g_assert_cmpuint (succession_next_change (record, 2), >, claim_on_older_copy);
	g_assert_cmpuint (succession_next_change (claim_on_older_copy, 1), >, claim_on_older_copy);
	g_assert_cmpuint (succession_change_era (claim_on_older_copy), ==, 2);
	g_assert_cmpuint (succession_change_count (claim_on_older_copy), ==, 2);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/restore/verdicts", test_verdicts);
	g_test_add_func ("/restore/writing", test_writing);
	g_test_add_func ("/restore/numbers", test_numbers);
	return g_test_run ();
}
