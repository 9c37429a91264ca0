#include "decision/waiting.h"

#include "common/clock.h"

enum
{
	/* Share of the target after which an answer would come too late, since the statement and the way back take time. */
	WAITING_TARGET_PERCENT = 85,
	/* Share of the target after which a start counts as late: a statement may take twice its mean, and an operation may
	 * have further statements. Replays of waves lose worth above 75 and below 55. */
	WAITING_DUE_PERCENT = 65,
	/* Longest way from the server back to the caller, over two links. */
	WAITING_WAY_BACK_US = 10 * US_PER_MS,
	/* Share of the target for which a request waits for a primary that may be back soon. */
	WAITING_OUTAGE_PERCENT = 20,
	/* The refusal of an owner must reach the forwarding VM before its own time limit, or a write that has not run is in
	 * doubt there: two links of up to 5 ms, the interval of the checks, and a stall of a small VM. */
	WAITING_ANSWER_US = 50 * US_PER_MS,
	WAITING_MIN_RETRY_US = 20 * US_PER_MS,
	WAITING_MAX_RETRY_US = 2000 * US_PER_MS,
};

enum waiting_verdict
waiting_judge_overload (int64_t waited_us, int64_t target_us)
{
	return waited_us > target_us * WAITING_TARGET_PERCENT / 100 ? WAITING_REFUSE : WAITING_STAY;
}

enum waiting_verdict
waiting_judge_outage (int64_t waited_us, int64_t target_us)
{
	return waited_us > target_us * WAITING_OUTAGE_PERCENT / 100 ? WAITING_REFUSE : WAITING_STAY;
}

int64_t
waiting_due_us (int64_t arrived_us, int64_t target_us, int64_t expected_us)
{
	int64_t share_us = target_us * WAITING_DUE_PERCENT / 100;
	int64_t start_us = target_us - expected_us - WAITING_WAY_BACK_US;

	return arrived_us + (start_us < share_us ? start_us : share_us);
}

enum waiting_verdict
waiting_judge_limit (const struct waiting_outlook *outlook)
{
	int64_t least_us = outlook->wait_us - outlook->error_us;

	if (outlook->has_free_slot)
		return WAITING_STAY;
	if (least_us < 0)
		least_us = 0;
	return least_us + outlook->expected_us + WAITING_ANSWER_US > outlook->limit_left_us
	           ? WAITING_REFUSE
	           : WAITING_STAY;
}

int64_t
waiting_retry_delay_us (int64_t backlog_us, uint64_t random)
{
	int64_t base_us = backlog_us > WAITING_MIN_RETRY_US ? backlog_us : WAITING_MIN_RETRY_US;

	if (base_us > WAITING_MAX_RETRY_US)
		base_us = WAITING_MAX_RETRY_US;
	return base_us / 2 + (int64_t) (random % (uint64_t) base_us);
}
