/**
 * @file
 * Positions of a primary's log over time: what a read must see at least.
 *
 * A sample says that the log held every commit acknowledged before its statement was sent.
 */
#pragma once

#include "decision/position.h"

#include <stddef.h>

enum
{
	POSITION_HISTORY_SAMPLES = 64,
	/** Closer samples add nothing; 64 of them cover the largest staleness bounds of the routes, 2.5 s. */
	POSITION_HISTORY_SPACING_US = 50000,
};

struct position_sample
{
	int64_t sent_us;
	struct log_position position;
};

struct position_history
{
	struct position_sample
		samples[POSITION_HISTORY_SAMPLES]; /**< Ring, oldest first from @c first. */
	size_t first;
	size_t count;
};

void position_history_init (struct position_history *history);

/** Adds what the primary's answer to a statement sent at @p sent_us said. */
void position_history_add (struct position_history *history, int64_t sent_us,
                           struct log_position position);

/** Finds the lowest position that is known to hold all commits acknowledged before @p time_us.
 * @return false when there is none. */
bool position_history_find (const struct position_history *history, int64_t time_us,
                            struct log_position *position);

/** When the last sample was sent; 0: never. */
int64_t position_history_last_us (const struct position_history *history);
