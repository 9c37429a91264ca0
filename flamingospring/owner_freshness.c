#include "flamingospring/owner_freshness.h"

#include "common/clock.h"

#include <string.h>

enum
{
	FRESHNESS_ROUND_US = 300 * US_PER_MS, /* A round without a majority by then has failed. */
	FRESHNESS_LAG_SHARE = 4,              /* Weight of a new lag sample: one fourth. */
};

void
freshness_init (struct freshness *freshness, uint32_t servers, uint32_t self)
{
	memset (freshness, 0, sizeof *freshness);
	freshness->servers = servers;
	freshness->self = self;
}

bool
freshness_start (struct freshness *freshness, int64_t now_us)
{
	if (freshness->round_us != 0 && now_us - freshness->round_us < FRESHNESS_ROUND_US)
		return false;
	memset (freshness->has_answer, 0, sizeof freshness->has_answer);
	freshness->round_us = now_us;
	freshness->started_us = now_us;
	return true;
}

static void
lag_sample (struct freshness *freshness, int64_t sample_us)
{
	int64_t change_us = (sample_us - (int64_t) freshness->lag_us) / FRESHNESS_LAG_SHARE;

	/* At one round a second, smoothing up from 0 would take many seconds. */
	if (!freshness->has_lag)
		change_us = sample_us;
	freshness->has_lag = true;
	freshness->lag_us = (uint32_t) ((int64_t) freshness->lag_us + change_us);
}

void
freshness_reach (struct freshness *freshness, struct log_position position, int64_t now_us)
{
	uint32_t kept = 0;
	int64_t sample_us = -1;

	if (!log_position_covers (position, freshness->position))
		return;
	freshness->position = position;
	for (uint32_t i = 0; i < freshness->pending_count; i++)
	{
		struct freshness_round *round = &freshness->pending[i];

		if (!log_position_covers (position, round->position))
		{
			freshness->pending[kept++] = *round;
			continue;
		}
		if (round->asked_us > freshness->fresh_at_us)
			freshness->fresh_at_us = round->asked_us;
		sample_us = now_us - round->answered_us;
	}
	freshness->pending_count = kept;
	if (sample_us >= 0)
		lag_sample (freshness, sample_us);
}

/* @return the index of the primary with the highest term among the answers, or -1. */
static int
find_primary (const struct freshness *freshness)
{
	int primary = -1;

	for (uint32_t i = 0; i < freshness->servers; i++)
	{
		if (!freshness->has_answer[i] || !freshness->answers[i].is_primary)
			continue;
		if (primary < 0 ||
		    freshness->answers[i].position.term > freshness->answers[primary].position.term)
			primary = (int) i;
	}
	return primary;
}

static bool
has_majority (const struct freshness *freshness, uint64_t term)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < freshness->servers; i++)
		count += freshness->has_answer[i] && freshness->answers[i].promised_term <= term;
	return count > freshness->servers / 2;
}

void
freshness_report (struct freshness *freshness, uint32_t server, const struct server_status *status,
                  int64_t sent_us, int64_t now_us)
{
	struct freshness_round *round;
	int primary;

	if (freshness->round_us != 0 && sent_us >= freshness->round_us && server < freshness->servers)
	{
		freshness->has_answer[server] = true;
		freshness->answers[server] = *status;
		primary = find_primary (freshness);
		if (primary >= 0 &&
		    freshness->answers[primary].promised_term <=
		        freshness->answers[primary].position.term &&
		    has_majority (freshness, freshness->answers[primary].position.term))
		{
			/* A full list drops its newest round, since the oldest one ends first. */
			if (freshness->pending_count == FRESHNESS_MAX_PENDING)
				freshness->pending_count--;
			round = &freshness->pending[freshness->pending_count++];
			*round = (struct freshness_round){ .asked_us = freshness->round_us,
				                               .answered_us = now_us,
				                               .position = freshness->answers[primary].position };
			freshness->round_us = 0;
			freshness_reach (freshness, freshness->position, now_us);
		}
	}
	if (server == freshness->self)
		freshness_reach (freshness, status->position, now_us);
}
