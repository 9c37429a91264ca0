#include "decision/restore.h"

enum restore_verdict
restore_judge (uint64_t known_change, const struct restore_stored *stored, uint64_t era)
{
	if (stored->change < known_change)
		return RESTORE_LOST;
	return stored->at.era == era && stored->era == era ? RESTORE_CONFIRMED : RESTORE_UNCONFIRMED;
}

bool
restore_may_write (int64_t restored_us, int64_t majority_us, int64_t now_us)
{
	if (now_us < restore_claims_end_us (restored_us))
		return false;
	return majority_us > restored_us || now_us - restored_us >= RESTORE_ALONE_US;
}

int64_t
restore_claims_end_us (int64_t restored_us)
{
	return restored_us > 0 ? restored_us + RESTORE_CLAIMS_END_US : 0;
}
