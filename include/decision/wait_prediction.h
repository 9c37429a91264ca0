/**
 * @file
 * Predicts how long a statement waits for a slot of a server. Does no I/O.
 */
#pragma once

#include <stdint.h>

/** What stands before a statement. */
struct wait_load
{
	uint32_t slots;
	uint32_t running;        /**< Statements that hold a slot. */
	int64_t running_left_us; /**< Sum of the times that the running statements still take. */
	uint32_t queued;         /**< Statements queued ahead. */
	int64_t queued_us;       /**< Sum of the times that the statements queued ahead take. */
};

/** Error of earlier predictions; zero before the first one. */
struct wait_error
{
	int64_t mean_us; /**< Moving mean of the absolute error. */
	uint32_t count;
};

/** Adds a running statement that was sent @p elapsed_us ago and usually takes @p expected_us. */
void wait_load_add_running (struct wait_load *load, int64_t expected_us, int64_t elapsed_us);
void wait_load_add_queued (struct wait_load *load, int64_t expected_us);

/**
 * Load pattern: any load above what the slots run, e.g. one service whose replicas lag. The work ahead is known, so a
 * statement that comes too late is recognized on arrival and not after it has waited.
 * @return 0 while a slot is free.
 */
int64_t wait_predict_us (const struct wait_load *load);

/** Compares a prediction with what came. @return the absolute error. */
int64_t wait_error_add (struct wait_error *error, int64_t predicted_us, int64_t waited_us);
