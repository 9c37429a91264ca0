#include "decision/retry.h"

enum
{
	RETRY_COST = 100, /* Cost of one retry, in hundredths. */
	BACKOFF_MAX_SHIFT = 30,
};

void
retry_budget_init (struct retry_budget *budget, uint32_t percent, uint32_t burst)
{
	budget->percent = percent;
	budget->max_tokens = burst > UINT32_MAX / RETRY_COST ? UINT32_MAX : burst * RETRY_COST;
	budget->tokens = budget->max_tokens;
}

void
retry_budget_count_attempt (struct retry_budget *budget)
{
	uint32_t room = budget->max_tokens - budget->tokens;

	budget->tokens += budget->percent < room ? budget->percent : room;
}

bool
retry_budget_take (struct retry_budget *budget)
{
	if (budget->tokens < RETRY_COST)
		return false;
	budget->tokens -= RETRY_COST;
	return true;
}

int64_t
backoff_delay_us (uint32_t attempt, int64_t min_us, int64_t max_us, uint64_t random)
{
	uint32_t shift = attempt > 0 ? attempt - 1 : 0;
	int64_t bound_us = max_us;

	if (min_us < 1)
		min_us = 1;
	if (shift < BACKOFF_MAX_SHIFT && min_us <= max_us >> shift)
		bound_us = min_us << shift;
	if (bound_us < 1)
		return 0;
	return (int64_t) (random % ((uint64_t) bound_us + 1));
}

void
circuit_init (struct circuit *circuit, uint32_t threshold, int64_t open_us)
{
	*circuit = (struct circuit){
		.state = CIRCUIT_CLOSED,
		.threshold = threshold > 0 ? threshold : 1,
		.open_us = open_us,
	};
}

bool
circuit_allows (struct circuit *circuit, int64_t now_us)
{
	if (circuit->state == CIRCUIT_CLOSED)
		return true;
	/* A probe whose result never arrives must not leave the circuit half open for ever, so another
	 * one is sent after the same time. */
	if (now_us - circuit->opened_at_us < circuit->open_us)
		return false;
	circuit->state = CIRCUIT_HALF_OPEN;
	circuit->opened_at_us = now_us;
	return true;
}

static void
circuit_open (struct circuit *circuit, int64_t now_us)
{
	circuit->state = CIRCUIT_OPEN;
	circuit->opened_at_us = now_us;
}

void
circuit_report (struct circuit *circuit, bool ok, int64_t now_us)
{
	switch (circuit->state)
	{
	case CIRCUIT_CLOSED:
		circuit->failures = ok ? 0 : circuit->failures + 1;
		if (circuit->failures >= circuit->threshold)
			circuit_open (circuit, now_us);
		break;
	case CIRCUIT_HALF_OPEN:
		if (ok)
			circuit_init (circuit, circuit->threshold, circuit->open_us);
		else
			circuit_open (circuit, now_us);
		break;
	case CIRCUIT_OPEN:
		/* The late result of an earlier request, which says nothing about the server's present
		 * state. */
		break;
	}
}

uint64_t
random_next (uint64_t *state)
{
	uint64_t z;

	*state += 0x9e3779b97f4a7c15u;
	z = *state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}
