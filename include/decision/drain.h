/**
 * @file
 * Graceful shutdown of a VM.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct drain_settings
{
	int64_t announce_us; /**< Time from the announcement until peers have moved ownership. */
	int64_t limit_us;    /**< Maximum wait for requests in flight, including open transactions. */
};

extern const struct drain_settings drain_default_settings;

enum drain_phase
{
	DRAIN_SERVING,
	DRAIN_ANNOUNCING, /**< Marked as leaving; still accepts new work. */
	DRAIN_FINISHING,  /**< Accepts no new connections; requests in flight continue. */
	DRAIN_STOPPED,    /**< Safe to exit. */
};

struct drain
{
	const struct drain_settings *settings;
	enum drain_phase phase;
	int64_t started_us;
};

void drain_init (struct drain *drain, const struct drain_settings *settings);

/** Starts the drain; a second call has no effect. */
void drain_start (struct drain *drain, int64_t now_us);

/** Cancels the drain. @return 0, or -EALREADY once it is past DRAIN_ANNOUNCING. */
int drain_cancel (struct drain *drain);

/** Advances the phase. @p in_flight is the number of requests and transactions in flight. */
enum drain_phase drain_step (struct drain *drain, uint32_t in_flight, int64_t now_us);

int64_t drain_next_time_us (const struct drain *drain);
