/**
 * @file
 * Monotonic time in microseconds for decisions, wall-clock time for logs and traces only.
 */
#pragma once

#include <stdint.h>

enum
{
	US_PER_MS = 1000,
	US_PER_S = 1000000,
};

/** Monotonic time in microseconds, including time while the VM is suspended. */
int64_t clock_now_us (void);

/** Wall-clock time in nanoseconds since the Unix epoch (1970). */
uint64_t clock_wall_ns (void);
