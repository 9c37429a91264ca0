#include "virtual_clock.h"

#include "common/clock.h"

enum
{
	/* Time that a step takes at least: a loop that is called again never sees a standing clock. */
	VIRTUAL_STEP_US = 1,
};

static int64_t virtual_now_us = 1000 * (int64_t) US_PER_S;

int64_t
clock_now_us (void)
{
	return virtual_now_us;
}

uint64_t
clock_wall_ns (void)
{
	return (uint64_t) virtual_now_us * 1000;
}

void
virtual_clock_step (struct loop *loop, int64_t limit_us)
{
	int64_t next_us = limit_us;

	if (loop->timer_count > 0 && loop->timers[0]->due_us < next_us)
		next_us = loop->timers[0]->due_us;
	virtual_now_us =
		next_us > virtual_now_us + VIRTUAL_STEP_US ? next_us : virtual_now_us + VIRTUAL_STEP_US;
	loop_step (loop, 0);
}
