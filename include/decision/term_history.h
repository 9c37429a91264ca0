/**
 * @file
 * The terms from which the log of a service is made up.
 *
 * A promotion gives up the entries of the former primary that the new one has not received. A server that misses the
 * promotion still holds them, and its log may be longer than the log of the later term. The start of each term tells
 * whether the log of a server belongs to the present one. Does no I/O.
 */
#pragma once

#include "decision/position.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	/** Earlier starts are dropped: a server that has missed so many promotions is compared with the earliest one kept. */
	TERM_HISTORY_STARTS = 16,
};

struct term_start
{
	uint64_t term;
	uint64_t index; /**< Last entry of earlier terms; of the first term, an upper bound of it. */
};

/** Starts of terms whose entries are part of the present log, in ascending order. Empty: nothing is known. */
struct term_history
{
	struct term_start starts[TERM_HISTORY_STARTS];
	size_t count;
};

/** Adds the promotion of a server whose log ended at @p end. Entries of other terms that this log lacks are given up. */
void term_history_begin (struct term_history *history, uint64_t term, struct log_position end);

/** Whether a log that ends at @p end has no entry that a promotion has given up, as far as is known. */
bool term_history_contains (const struct term_history *history, struct log_position end);
