#include "flamingospring/owner_freshness.h"

#include "common/clock.h"

#include <string.h>

enum
{
	FRESHNESS_ROUND_TIMEOUT_US =
		300 * US_PER_MS,         /* A round without a majority by then has failed. */
	FRESHNESS_RISE_DIVISOR = 2,  /* A higher lag sample has a weight of one half. */
	FRESHNESS_FALL_DIVISOR = 16, /* A lower lag sample has a weight of one sixteenth. */
};

void
freshness_init (struct freshness *freshness, uint32_t server_count, uint32_t measured_server)
{
	memset (freshness, 0, sizeof *freshness);
	freshness->server_count = server_count;
	freshness->measured_server = measured_server;
}

bool
freshness_start_round (struct freshness *freshness, int64_t now_us)
{
	if (freshness->running_since_us != 0 &&
	    now_us - freshness->running_since_us < FRESHNESS_ROUND_TIMEOUT_US)
		return false;
	memset (freshness->has_answer, 0, sizeof freshness->has_answer);
	freshness->running_since_us = now_us;
	freshness->started_us = now_us;
	return true;
}

/* A sample is a lower bound, since it starts at the primary's answer, some time after the write.
 * The estimate therefore follows higher samples more than lower ones. */
static void
update_lag (struct freshness *freshness, int64_t sample_us)
{
	int64_t change_us = sample_us - (int64_t) freshness->lag_us;

	/* The first sample is taken as it is: with one round a second, smoothing up from 0 would take
	 * many seconds. */
	if (freshness->has_lag)
		change_us /= change_us > 0 ? FRESHNESS_RISE_DIVISOR : FRESHNESS_FALL_DIVISOR;
	freshness->has_lag = true;
	freshness->lag_us = (uint32_t) ((int64_t) freshness->lag_us + change_us);
}

/* The server had the position when the primary answered, so its lag is at most the time since the
 * last answer with a lower position. Without this bound, a group with few writes would
 * reveal nothing about the lag. */
static void
limit_lag (struct freshness *freshness, const struct freshness_round *round)
{
	int64_t limit_us = round->answered_us - round->last_lower_us;

	if (round->last_lower_us != 0 && (int64_t) freshness->lag_us > limit_us)
		freshness->lag_us = (uint32_t) limit_us;
}

static void
finish_pending_round (struct freshness *freshness, const struct freshness_round *round)
{
	if (round->queried_us > freshness->fresh_at_us)
		freshness->fresh_at_us = round->queried_us;
	if (freshness->position_queried_us <= round->answered_us)
		limit_lag (freshness, round);
	else
		update_lag (freshness, freshness->position_at_us - round->answered_us);
}

bool
freshness_needs_sample (const struct freshness *freshness)
{
	return !freshness->has_lag && freshness->has_advanced && freshness->running_since_us == 0 &&
	       freshness->pending_count == 0;
}

void
freshness_update_position (struct freshness *freshness, struct log_position position,
                           int64_t queried_us, int64_t now_us)
{
	uint32_t kept = 0;

	if (!log_position_covers (position, freshness->position))
		return;
	if (!log_position_covers (freshness->position, position))
	{
		freshness->position = position;
		freshness->position_queried_us = queried_us;
		freshness->position_at_us = now_us;
	}
	for (uint32_t i = 0; i < freshness->pending_count; i++)
	{
		const struct freshness_round round = freshness->pending[i];

		if (log_position_covers (position, round.position))
			finish_pending_round (freshness, &round);
		else
			freshness->pending[kept++] = round;
	}
	freshness->pending_count = kept;
}

/* @return the index of the primary with the highest term among the answers, or -1. */
static int
find_primary (const struct freshness *freshness)
{
	int primary = -1;

	for (uint32_t i = 0; i < freshness->server_count; i++)
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

	for (uint32_t i = 0; i < freshness->server_count; i++)
		count += freshness->has_answer[i] && freshness->answers[i].promised_term <= term;
	return count > freshness->server_count / 2;
}

/* Records when a lower position of the primary was last seen. */
static void
update_primary_position (struct freshness *freshness, struct log_position position, int64_t now_us)
{
	freshness->has_advanced = !log_position_covers (freshness->primary_position, position);
	if (freshness->has_advanced)
		freshness->last_lower_us = freshness->primary_position_at_us;
	freshness->primary_position = position;
	freshness->primary_position_at_us = now_us;
}

static void
complete_round (struct freshness *freshness, int primary, int64_t now_us)
{
	struct freshness_round *round;

	update_primary_position (freshness, freshness->answers[primary].position,
	                         freshness->answered_us[primary]);
	/* A full list drops its newest round, since the oldest one completes first. */
	if (freshness->pending_count == FRESHNESS_MAX_PENDING)
		freshness->pending_count--;
	round = &freshness->pending[freshness->pending_count++];
	*round = (struct freshness_round){ .queried_us = freshness->running_since_us,
		                               .answered_us = freshness->answered_us[primary],
		                               .last_lower_us = freshness->last_lower_us,
		                               .position = freshness->answers[primary].position };
	freshness->running_since_us = 0;
	freshness_update_position (freshness, freshness->position, freshness->position_queried_us,
	                           now_us);
}

void
freshness_report (struct freshness *freshness, uint32_t server, const struct server_status *status,
                  int64_t sent_us, int64_t now_us)
{
	int primary;

	if (freshness->running_since_us != 0 && sent_us >= freshness->running_since_us &&
	    server < freshness->server_count)
	{
		freshness->has_answer[server] = true;
		freshness->answers[server] = *status;
		freshness->answered_us[server] = now_us;
		primary = find_primary (freshness);
		if (primary >= 0 &&
		    freshness->answers[primary].promised_term <=
		        freshness->answers[primary].position.term &&
		    has_majority (freshness, freshness->answers[primary].position.term))
			complete_round (freshness, primary, now_us);
	}
	if (server == freshness->measured_server)
		freshness_update_position (freshness, status->position, sent_us, now_us);
}
