#include "decision/waiting.h"

enum
{
	/* Share of the target after which an answer would come too late, since the statement and the way back take time. */
	WAITING_TARGET_PERCENT = 85,
	/* Share of the target for which a request waits for a primary that may be back soon. */
	WAITING_OUTAGE_PERCENT = 20,
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
