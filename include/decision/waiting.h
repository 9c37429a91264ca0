/**
 * @file
 * Decides whether a queued request waits or is refused. Does no I/O.
 *
 * A refused caller knows that it should return later or use another VM; one that waits in vain learns it only at its
 * time limit, and takes the place of a request that could still be served in time.
 */
#pragma once

#include <stdint.h>

enum waiting_verdict
{
	WAITING_STAY,
	WAITING_REFUSE,
};

/**
 * Load pattern: a burst of one kind of request, or of all, above what the servers can run. What would be answered after
 * its target leaves the queue, so that the servers work only on what is worth most.
 * @param waited_us time since the request arrived at the first VM.
 * @param target_us target latency of its route.
 */
enum waiting_verdict waiting_judge_overload (int64_t waited_us, int64_t target_us);

/**
 * Load pattern: a change of primary beside full traffic. A request waits for a small part of its target, since the lack
 * of a primary may be short; a caller that returns later costs the queue less than a request that has grown old in it.
 */
enum waiting_verdict waiting_judge_outage (int64_t waited_us, int64_t target_us);
