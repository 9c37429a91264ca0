#include "common/clock.h"

#include <time.h>

int64_t
clock_now_us (void)
{
	struct timespec now;

	/* Advances while the VM is suspended, so that limits on the age of cached state hold afterwards. */
	clock_gettime (CLOCK_BOOTTIME, &now);
	return (int64_t) now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

uint64_t
clock_wall_ns (void)
{
	struct timespec now;

	clock_gettime (CLOCK_REALTIME, &now);
	return (uint64_t) now.tv_sec * 1000000000u + (uint64_t) now.tv_nsec;
}
