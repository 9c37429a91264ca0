/**
 * @file
 * Latency histograms with fixed bounds; written by one thread, read by any.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum
{
	HISTOGRAM_BOUNDS = 14,
};

/** Upper bounds of the buckets; one more bucket counts larger values. */
extern const int64_t histogram_bounds_us[HISTOGRAM_BOUNDS];

struct histogram
{
	uint64_t buckets[HISTOGRAM_BOUNDS + 1];
	uint64_t sum_us;
};

void histogram_add (struct histogram *histogram, int64_t value_us);

/** Copies the histogram; a value added concurrently may be included in the sum only. */
void histogram_read (const struct histogram *histogram, struct histogram *copy);
