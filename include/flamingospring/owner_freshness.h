/**
 * @file
 * Age of a server's content, and its replication lag (docs/design.md, section 5, "Stated age").
 *
 * A round asks all servers of the group at a time T. When a majority answers without a promised
 * term above the primary's, content that reaches the primary's answered position is at least as
 * new as T. Free of I/O.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "decision/routing.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
	FRESHNESS_MAX_PENDING = 64, /**< Rounds that wait for the server to catch up. */
};

struct freshness_round
{
	int64_t queried_us;
	int64_t answered_us;          /**< Answer of the primary. */
	int64_t last_lower_us;        /**< Last answer with a lower position; 0: none. */
	struct log_position position; /**< Of the primary. */
};

struct freshness
{
	uint32_t servers;
	uint32_t self;      /**< Index of the server whose age is measured. */
	int64_t round_us;   /**< Start of the running round; 0: none. */
	int64_t started_us; /**< Start of the last round; 0: none. */
	bool has_answer[ROUTING_MAX_SERVERS];
	struct server_status answers[ROUTING_MAX_SERVERS];
	int64_t answered_us[ROUTING_MAX_SERVERS];
	struct log_position primary_position; /**< In the last round. */
	int64_t primary_position_at_us;       /**< Answer with @c primary_position. */
	bool has_advanced;                    /**< The last round saw a new position. */
	int64_t last_lower_us;                /**< Last answer with a lower position; 0: none. */
	struct log_position position;         /**< Of the measured server. */
	int64_t position_queried_us;          /**< Question that told @c position. */
	int64_t position_at_us;               /**< Its answer. */
	struct freshness_round pending[FRESHNESS_MAX_PENDING];
	uint32_t pending_count;
	int64_t fresh_at_us; /**< Content is at least as new as this; 0: unknown. */
	uint32_t lag_us;     /**< Smoothed. */
	bool has_lag;
};

void freshness_init (struct freshness *freshness, uint32_t servers, uint32_t self);

/** Starts a round. @return false while the last one is still running. */
bool freshness_start (struct freshness *freshness, int64_t now_us);

/**
 * Tells whether another round should follow soon: the lag is unknown, the group has writes, and the
 * last round found the server up to date.
 */
bool freshness_wants_sample (const struct freshness *freshness);

/** Takes the answer to a question that was sent at @p sent_us. */
void freshness_report (struct freshness *freshness, uint32_t server,
                       const struct server_status *status, int64_t sent_us, int64_t now_us);

/** The measured server told @p position at @p now_us, asked not before @p queried_us. */
void freshness_update_position (struct freshness *freshness, struct log_position position,
                                int64_t queried_us, int64_t now_us);
