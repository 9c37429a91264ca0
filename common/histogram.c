#include "common/histogram.h"

#include <ck_pr.h>

const int64_t histogram_bounds_us[HISTOGRAM_BOUNDS] = {
	500,    1000,   2000,   5000,   10000,   20000,   50000,
	100000, 200000, 300000, 500000, 1000000, 2000000, 5000000,
};

void
histogram_add (struct histogram *histogram, int64_t value_us)
{
	size_t bucket = 0;

	while (bucket < HISTOGRAM_BOUNDS && value_us > histogram_bounds_us[bucket])
		bucket++;
	ck_pr_inc_64 (&histogram->buckets[bucket]);
	ck_pr_add_64 (&histogram->sum_us, value_us > 0 ? (uint64_t) value_us : 0);
}

void
histogram_read (const struct histogram *histogram, struct histogram *copy)
{
	for (size_t i = 0; i <= HISTOGRAM_BOUNDS; i++)
		copy->buckets[i] = ck_pr_load_64 (&histogram->buckets[i]);
	copy->sum_us = ck_pr_load_64 (&histogram->sum_us);
}
