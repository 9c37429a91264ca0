/**
 * @file
 * Positions of a primary's log over time, which give the minimum position for a bounded-staleness
 * read.
 *
 * Up to a sample's position the log contains every commit acknowledged before the sample's
 * statement was sent.
 */
#pragma once

#include "decision/position.h"

#include <stddef.h>

enum
{
	POSITION_HISTORY_SAMPLES = 64,
	/** Minimum spacing of the samples. With it, 64 samples cover 2.5 s, the largest staleness bound
	 * of the routes. */
	POSITION_HISTORY_SPACING_US = 50000,
};

struct position_sample
{
	int64_t sent_us;
	struct log_position position;
};

struct position_history
{
	struct position_sample samples[POSITION_HISTORY_SAMPLES]; /**< Ring buffer. */
	size_t first;                                             /**< Index of the oldest sample. */
	size_t count;
};

void position_history_init (struct position_history *history);

/** Adds the position from the primary's answer to a statement that was sent at @p sent_us. */
void position_history_add (struct position_history *history, int64_t sent_us,
                           struct log_position position);

/** Finds the lowest position known to include all commits acknowledged before @p time_us.
 * @return false when there is none. */
bool position_history_find (const struct position_history *history, int64_t time_us,
                            struct log_position *position);

/** Time at which the statement of the last sample was sent; 0: there is no sample. */
int64_t position_history_last_us (const struct position_history *history);
