/**
 * @file
 * Positions in the replication log of a database group.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** A position in a group's log. Indexes start at 1; {0, 0} means none. */
struct log_position
{
	uint64_t term;
	uint64_t index;
};

/**
 * Compares two positions lexicographically, term first.
 *
 * A log whose last term is higher contains every acknowledged entry of lower terms, because a
 * promotion selects the highest log of a majority and appends an entry of the new term.
 *
 * @return negative, 0 or positive, as for memcmp.
 */
static inline int
log_position_compare (struct log_position a, struct log_position b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.index != b.index)
		return a.index < b.index ? -1 : 1;
	return 0;
}

/** Tells whether a log that ends at @p have contains the acknowledged entry @p want. */
static inline bool
log_position_covers (struct log_position have, struct log_position want)
{
	return log_position_compare (have, want) >= 0;
}
