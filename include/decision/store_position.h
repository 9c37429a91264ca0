/**
 * @file
 * Position in the history of the platform's store.
 */
#pragma once

#include <stdint.h>

/** A store that is restored from an older copy gives its revisions out again, in a later era. */
struct store_position
{
	uint64_t era;
	uint64_t revision;
};

/** @return a negative number, 0 or a positive number when @p a is before, equal to or after @p b. */
static inline int
store_position_compare (struct store_position a, struct store_position b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}
