#include "decision/session_end.h"

enum
{
	US_PER_MS = 1000,
	/* The platform's balancer removes a VM after two failed probes, one per second. */
	LEAVE_ROTATION_US = 2200 * US_PER_MS,
	/* With a short grace period the balancer is not waited for: least part of it that is left to answer what is owed. */
	LEAVE_ROTATION_DIVISOR = 2,
	/* Divides the grace period for open transactions. */
	TRANSACTION_DIVISOR = 2,
	/* What is given up is answered so long before the process ends by itself. */
	GIVE_UP_US = 250 * US_PER_MS,
	/* The other VMs of an isolated zone leave the rotation a little later. */
	OTHERS_LEAVE_US = 100 * US_PER_MS,
};

static int64_t
least (int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static enum session_end
judge_stop (const struct session_outlook *outlook)
{
	int64_t grace_us = outlook->grace_us > 0 ? outlook->grace_us : INT64_MAX;
	int64_t rotation_us = least (LEAVE_ROTATION_US, grace_us / LEAVE_ROTATION_DIVISOR);
	int64_t give_up_us = grace_us - SESSION_EXIT_MARGIN_MS * US_PER_MS - GIVE_UP_US;

	if (outlook->leaving_us > give_up_us && outlook->leaving_us > rotation_us)
		return SESSION_GIVES_UP;
	if (outlook->leaving_us < rotation_us ||
	    (outlook->is_in_transaction && outlook->leaving_us <= grace_us / TRANSACTION_DIVISOR))
		return SESSION_STAYS;
	return SESSION_ENDS;
}

enum session_end
session_end_judge (const struct session_outlook *outlook)
{
	if (outlook->is_leaving)
		return judge_stop (outlook);
	if (outlook->out_of_rotation_us > OTHERS_LEAVE_US && !outlook->is_late && !outlook->is_peer &&
	    !outlook->is_in_transaction)
		return SESSION_ENDS;
	return SESSION_STAYS;
}
