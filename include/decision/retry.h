/**
 * @file
 * Retry budget, back-off with jitter, and circuit breaker.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Allows retries up to a share of first attempts, so that retries cannot multiply a failure. */
struct retry_budget
{
	uint32_t percent;    /**< Retries per 100 first attempts. */
	uint32_t max_tokens; /**< Burst, in hundredths of a retry. */
	uint32_t tokens;
};

void retry_budget_init (struct retry_budget *budget, uint32_t percent, uint32_t burst);
void retry_budget_count_attempt (struct retry_budget *budget);
bool retry_budget_take (struct retry_budget *budget);

/** Delay before attempt @p attempt (from 1): full jitter over an exponential bound. */
int64_t backoff_delay_us (uint32_t attempt, int64_t min_us, int64_t max_us, uint64_t random);

enum circuit_state
{
	CIRCUIT_CLOSED,
	CIRCUIT_OPEN,
	CIRCUIT_HALF_OPEN, /**< Lets one probe through. */
};

struct circuit
{
	enum circuit_state state;
	uint32_t failures;
	uint32_t threshold;
	int64_t open_us; /**< How long it stays open. */
	int64_t opened_at_us;
};

void circuit_init (struct circuit *circuit, uint32_t threshold, int64_t open_us);

/** Tells whether a request may go out now. */
bool circuit_allows (struct circuit *circuit, int64_t now_us);
void circuit_report (struct circuit *circuit, bool ok, int64_t now_us);

/** Next number of a splitmix64 sequence; advances @p state. */
uint64_t random_next (uint64_t *state);
