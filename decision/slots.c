#include "decision/slots.h"

#include "common/clock.h"

enum
{
	/* A VM with a quarter of a core may be stalled for that long. */
	SLOTS_MIN_OVERDUE_US = 50 * US_PER_MS,
	/* Deviations above the mean: with exponentially distributed times, 1 of 1,000 answers is overdue. */
	SLOTS_DEVIATIONS = 8,
	/* Weight of an answer in the averages, as in the estimate of TCP's retransmission timeout. */
	SLOTS_MEAN_DIVISOR = 8,
	SLOTS_DEVIATION_DIVISOR = 4,
	SLOTS_MIN_INTERVAL_US = 50 * US_PER_MS,
	SLOTS_MAX_INTERVAL_US = 2000 * US_PER_MS,
	/* The answer to a statement that has ended may be on its way behind that to the question. */
	SLOTS_LATE_ANSWER_US = 40 * US_PER_MS,
	/* Without the answer to a write or commit, its caller learns nothing, so these wait for a retransmission; for a short one
	 * if the server's connections are used up. */
	SLOTS_LATE_WRITE_US = 1000 * US_PER_MS,
	SLOTS_SCARCE_WRITE_US = 250 * US_PER_MS,
};

void
answer_time_add (struct answer_time *usual, int64_t elapsed_us)
{
	int64_t difference_us = elapsed_us - usual->mean_us;

	if (usual->mean_us == 0)
	{
		usual->mean_us = elapsed_us;
		usual->deviation_us = elapsed_us / 2;
		return;
	}
	usual->mean_us += difference_us / SLOTS_MEAN_DIVISOR;
	if (difference_us < 0)
		difference_us = -difference_us;
	usual->deviation_us += (difference_us - usual->deviation_us) / SLOTS_DEVIATION_DIVISOR;
}

int64_t
answer_time_overdue_us (const struct answer_time *usual)
{
	int64_t overdue_us = usual->mean_us + SLOTS_DEVIATIONS * usual->deviation_us;

	return overdue_us > SLOTS_MIN_OVERDUE_US ? overdue_us : SLOTS_MIN_OVERDUE_US;
}

bool
slot_inquiry_is_due (const struct slot_inquiry *inquiry, int64_t now_us)
{
	return now_us - inquiry->asked_us >= inquiry->interval_us;
}

void
slot_inquiry_start (struct slot_inquiry *inquiry, int64_t now_us)
{
	inquiry->asked_us = now_us;
	inquiry->interval_us =
		inquiry->interval_us == 0 ? SLOTS_MIN_INTERVAL_US : inquiry->interval_us * 2;
	if (inquiry->interval_us > SLOTS_MAX_INTERVAL_US)
		inquiry->interval_us = SLOTS_MAX_INTERVAL_US;
}

static uint32_t
subtract (uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

uint32_t
slot_inquiry_judge (struct slot_inquiry *inquiry, const struct slot_evidence *evidence)
{
	uint32_t certain = subtract (evidence->overdue, evidence->reported);
	uint32_t likely = subtract (evidence->overdue, subtract (evidence->reported, evidence->recent));
	uint32_t lost = inquiry->was_likely ? likely : certain;

	inquiry->was_likely = likely > lost;
	/* Further statements may become overdue at once, as long as answers are lost. */
	if (likely > 0)
		inquiry->interval_us = 0;
	return lost;
}

bool
slot_answer_is_given_up (int64_t lost_for_us, bool is_repeatable, bool is_scarce)
{
	if (is_repeatable)
		return lost_for_us > SLOTS_LATE_ANSWER_US;
	return lost_for_us > (is_scarce ? SLOTS_SCARCE_WRITE_US : SLOTS_LATE_WRITE_US);
}

bool
slot_setup_is_given_up (int64_t waited_us, int64_t answered_after_us, int64_t overdue_us)
{
	/* A server that has answered nothing since is silent, or this VM has not run. */
	return waited_us > overdue_us && answered_after_us > overdue_us / 2;
}
