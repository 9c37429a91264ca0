/**
 * @file
 * Retry budget, exponential backoff with jitter, and circuit breaker.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Limits retries to a share of the first attempts, so that they cannot amplify an overload. */
struct retry_budget
{
	uint32_t percent;    /**< Retries per 100 first attempts. */
	uint32_t max_tokens; /**< Maximum burst, in hundredths of a retry. */
	uint32_t tokens;
};

void retry_budget_init (struct retry_budget *budget, uint32_t percent, uint32_t burst);
void retry_budget_count_attempt (struct retry_budget *budget);
bool retry_budget_take (struct retry_budget *budget);

/** Delay before attempt @p attempt, counted from 1, with full jitter up to an exponential bound. */
int64_t backoff_delay_us (uint32_t attempt, int64_t min_us, int64_t max_us, uint64_t random);

enum circuit_state
{
	CIRCUIT_CLOSED,
	CIRCUIT_OPEN,
	CIRCUIT_HALF_OPEN, /**< One probe is allowed through. */
};

struct circuit
{
	enum circuit_state state;
	uint32_t failures;
	uint32_t threshold;
	int64_t open_us; /**< Time until the first probe, and until another if it has no result. */
	int64_t opened_at_us;
};

void circuit_init (struct circuit *circuit, uint32_t threshold, int64_t open_us);

/** Tells whether a request may be sent now. Allows one probe after open_us, which half opens the
 * circuit. */
bool circuit_allows (struct circuit *circuit, int64_t now_us);
void circuit_report (struct circuit *circuit, bool ok, int64_t now_us);

/** Returns the next number of a splitmix64 sequence, and advances @p state. */
uint64_t random_next (uint64_t *state);
