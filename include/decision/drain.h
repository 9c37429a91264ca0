/**
 * @file
 * Planned stop of a VM.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct drain_settings
{
	int64_t announce_us; /**< From the announcement until peers have moved ownership. */
	int64_t limit_us;    /**< Longest wait for requests in flight; open transactions count. */
};

extern const struct drain_settings drain_default_settings;

enum drain_phase
{
	DRAIN_SERVING,
	DRAIN_ANNOUNCING, /**< Marked as leaving; still takes what arrives. */
	DRAIN_FINISHING,  /**< Takes no new connections; requests in flight go on. */
	DRAIN_STOPPED,    /**< Safe to exit. */
};

struct drain
{
	const struct drain_settings *settings;
	enum drain_phase phase;
	int64_t started_us;
};

void drain_init (struct drain *drain, const struct drain_settings *settings);

/** Begins a planned stop; a second call changes nothing. */
void drain_start (struct drain *drain, int64_t now_us);

/** Takes a planned stop back. @return 0, or -EALREADY once it is past DRAIN_ANNOUNCING. */
int drain_cancel (struct drain *drain);

/** Steps the phase with the number of requests and transactions in flight. */
enum drain_phase drain_step (struct drain *drain, uint32_t in_flight, int64_t now_us);

int64_t drain_next_time_us (const struct drain *drain);
