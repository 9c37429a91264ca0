/**
 * @file
 * Which VMs must have agreed before a primary is used, or replaced, without word from all of them. Holds no I/O.
 *
 * A VM without the store may use a primary while more than two thirds of the VMs on its list of VMs have ordered no
 * change. A change goes on once so many VMs have stopped that the silent ones cannot be two thirds of any list in use:
 * a zone may be lost on either side. For that
 * - the list that a VM uses is younger than QUORUM_LIST_AGE_US;
 * - a VM that is taken off the list stays on it as removed for QUORUM_REMOVED_US;
 * - a VM is settled QUORUM_SETTLE_US after it joined, when every list in use names it.
 * tests/unit/quorum.c draws lists and silent VMs at random.
 */
#pragma once

#include "decision/succession.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	QUORUM_LIST_AGE_US = SUCCESSION_LIST_AGE_MS * 1000,
	/** Age of the list, the authority that it gave, and some delay. */
	QUORUM_SETTLE_US = QUORUM_LIST_AGE_US + SUCCESSION_AUTHORITY_MS * 1000 + 500 * 1000,
	QUORUM_REMOVED_US = QUORUM_SETTLE_US + 500 * 1000,
};

/** A VM on the list, a removed one included. */
struct quorum_member
{
	bool has_stopped; /**< Nothing of it uses the primary any more. */
	bool is_settled;  /**< It joined QUORUM_SETTLE_US ago or earlier. */
};

enum succession_answers quorum_count_answers (const struct quorum_member *members, size_t count);

/**
 * Time at which more than two thirds had ordered no change.
 * @param confirmed_us when each VM that answered had ordered none; is sorted.
 * @param members number of VMs on the list, removed ones included.
 * @return 0 when fewer have answered.
 */
int64_t quorum_confirmed_us (int64_t *confirmed_us, size_t answered, size_t members);
