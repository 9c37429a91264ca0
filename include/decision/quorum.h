/**
 * @file
 * Quorum of VMs for using a primary without the store, and for replacing one while some VMs do not
 * answer. Does no I/O.
 *
 * A VM without the store may use a primary while more than two thirds of the VMs on its list
 * confirm that they have claimed no change of primary. A change proceeds once so many VMs have
 * stopped using the primary that the silent ones cannot be more than two thirds of any list in use.
 * So a zone may be lost on either side. This requires that
 * - the list that a VM uses is younger than QUORUM_LIST_AGE_US;
 * - a VM that is removed from the list stays on it, marked as removed, for QUORUM_REMOVED_US;
 * - a VM counts as settled QUORUM_SETTLE_US after it joined, when every list in use contains it.
 *
 * tests/unit/quorum.c checks this with random lists and silent VMs.
 */
#pragma once

#include "decision/succession.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	QUORUM_LIST_AGE_US = SUCCESSION_LIST_AGE_MS * 1000,
	/** Age of a list, the authority gained from it, and a margin for delays. */
	QUORUM_SETTLE_US = QUORUM_LIST_AGE_US + SUCCESSION_AUTHORITY_MS * 1000 + 500 * 1000,
	QUORUM_REMOVED_US = QUORUM_SETTLE_US + 500 * 1000,
};

/** A VM on the list, possibly marked as removed. */
struct quorum_member
{
	bool has_stopped; /**< It no longer uses the primary. */
	bool is_settled;  /**< It joined QUORUM_SETTLE_US ago or earlier. */
};

/** Tells whether enough of the VMs on the list have stopped using the primary. */
enum succession_answers quorum_evaluate_answers (const struct quorum_member *members, size_t count);

/**
 * Finds the latest time at which more than two thirds of the VMs had claimed no change of primary.
 * @param confirmed_us time for which each answering VM confirmed this; sorted by the call.
 * @param members number of VMs on the list, including removed ones.
 * @return the time, or 0 when too few have answered.
 */
int64_t quorum_confirmed_us (int64_t *confirmed_us, size_t answered, size_t members);

/** As quorum_confirmed_us(), for more than half of the VMs. Two groups of VMs that are cut off from each other cannot
 * both have it. */
int64_t quorum_majority_us (int64_t *confirmed_us, size_t answered, size_t members);
