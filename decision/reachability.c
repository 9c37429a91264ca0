#include "decision/reachability.h"

enum
{
	US_PER_MS = 1000,
	/* A server that has answered within this time counts as reachable. Above the time of the
	 * longest usual statement, 110 ms, queued behind three others. */
	REACHABILITY_CONTACT_US = 450 * US_PER_MS,
	/* After this time VMs without an opinion are ignored; it is long enough for them to poll the
	 * server. */
	REACHABILITY_WAIT_US = 400 * US_PER_MS,
};

enum reachability_opinion
reachability_form_opinion (bool is_unreachable, int64_t contact_us, int64_t now_us)
{
	if (is_unreachable)
		return REACHABILITY_LOST;
	if (contact_us > 0 && now_us - contact_us < REACHABILITY_CONTACT_US)
		return REACHABILITY_REACHABLE;
	return REACHABILITY_UNKNOWN;
}

bool
reachability_is_agreed (const struct reachability_votes *votes, int64_t silent_since_us,
                        int64_t now_us)
{
	if (votes->lost <= votes->reachable)
		return false;
	return votes->lost > votes->reachable + votes->silent ||
	       now_us - silent_since_us > REACHABILITY_WAIT_US;
}
