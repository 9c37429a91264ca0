/**
 * @file
 * Measures the age of a server's data and its replication lag (docs/design.md, section 5, "Stated
 * age").
 *
 * A round queries all servers of the group at a time T. When a majority answers and none of these
 * has promised a term above the primary's, data that includes the position in the primary's answer
 * is at least as new as T. Does no I/O.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "decision/routing.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
	FRESHNESS_MAX_PENDING = 64, /**< Limit of rounds that wait for the server to catch up. */
};

/** A completed round whose position the measured server has not reached yet. */
struct freshness_round
{
	int64_t queried_us;
	int64_t answered_us;          /**< Time of the primary's answer. */
	int64_t last_lower_us;        /**< Last time the primary reported a lower position; 0: none. */
	struct log_position position; /**< Position in the primary's answer. */
};

struct freshness
{
	uint32_t server_count;
	uint32_t measured_server; /**< Index in the group. */
	int64_t running_since_us; /**< Start of the running round; 0: none. */
	int64_t started_us;       /**< Start of the latest round; 0: none. */
	bool has_answer[ROUTING_MAX_SERVERS];
	struct server_status answers[ROUTING_MAX_SERVERS];
	int64_t answered_us[ROUTING_MAX_SERVERS];
	struct log_position primary_position; /**< Position of the primary in the last round. */
	int64_t primary_position_at_us;       /**< Time of the answer with @c primary_position. */
	bool has_advanced;                    /**< The last round found a new position. */
	int64_t last_lower_us;        /**< Last time the primary reported a lower position; 0: none. */
	struct log_position position; /**< Position of the measured server. */
	int64_t position_queried_us;  /**< Time of the query whose answer reported @c position. */
	int64_t position_at_us;       /**< Time of that answer. */
	struct freshness_round pending[FRESHNESS_MAX_PENDING];
	uint32_t pending_count;
	int64_t fresh_at_us; /**< The data is at least as new as this; 0: unknown. */
	uint32_t lag_us;     /**< Smoothed replication lag. */
	bool has_lag;
};

void freshness_init (struct freshness *freshness, uint32_t server_count, uint32_t measured_server);

/** Starts a round. @return false while an earlier one is still running. */
bool freshness_start_round (struct freshness *freshness, int64_t now_us);

/**
 * Returns whether another round should follow soon, which is so when the lag is unknown, the group
 * has writes, and no round is running or waits for the server to catch up.
 */
bool freshness_needs_sample (const struct freshness *freshness);

/** Records the answer of @p server to a query that was sent at @p sent_us. */
void freshness_report (struct freshness *freshness, uint32_t server,
                       const struct server_status *status, int64_t sent_us, int64_t now_us);

/** Records that the measured server reported @p position at @p now_us, in answer to a query that
 * was sent no earlier than @p queried_us. */
void freshness_update_position (struct freshness *freshness, struct log_position position,
                                int64_t queried_us, int64_t now_us);
