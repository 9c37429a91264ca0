#include "decision/quorum.h"

#include <stdlib.h>

enum succession_answers
quorum_evaluate_answers (const struct quorum_member *members, size_t count)
{
	size_t settled = 0;
	size_t silent_settled = 0;
	size_t silent_new = 0;

	for (size_t i = 0; i < count; i++)
	{
		settled += members[i].is_settled;
		silent_settled += !members[i].has_stopped && members[i].is_settled;
		silent_new += !members[i].has_stopped && !members[i].is_settled;
	}
	if (silent_settled + silent_new == 0)
		return SUCCESSION_ALL_STOPPED;
	/* A list in use contains all settled VMs and any subset of the new ones; the worst case is one
	 * with only the silent new ones. */
	return 3 * (silent_settled + silent_new) <= 2 * (settled + silent_new) ? SUCCESSION_MOST_STOPPED
	                                                                       : SUCCESSION_FEW_STOPPED;
}

static int
compare_later_first (const void *a, const void *b)
{
	const int64_t *first = a;
	const int64_t *second = b;

	return (*first < *second) - (*first > *second);
}

/** Finds the latest time that @p quorum VMs have confirmed. @return 0 when too few have answered. */
static int64_t
find_confirmed_us (int64_t *confirmed_us, size_t answered, size_t quorum)
{
	if (answered < quorum)
		return 0;
	qsort (confirmed_us, answered, sizeof *confirmed_us, compare_later_first);
	return confirmed_us[quorum - 1];
}

int64_t
quorum_confirmed_us (int64_t *confirmed_us, size_t answered, size_t members)
{
	return find_confirmed_us (confirmed_us, answered, 2 * members / 3 + 1);
}

int64_t
quorum_majority_us (int64_t *confirmed_us, size_t answered, size_t members)
{
	return find_confirmed_us (confirmed_us, answered, members / 2 + 1);
}
