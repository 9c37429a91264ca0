/**
 * @file
 * Decides whether a queued request waits or is refused. Does no I/O.
 *
 * A refused caller knows that it should return later or use another VM; one that waits in vain learns it only at its
 * time limit, and takes the place of a request that could still be served in time.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum waiting_verdict
{
	WAITING_STAY,
	WAITING_REFUSE,
};

/**
 * Load pattern: a burst of one kind of request, or of all, above what the servers can run. What would be answered after
 * its target leaves the place to what can still be in time, so that the servers work first on what is worth most.
 * @param waited_us time since the request arrived at the first VM.
 * @param target_us target latency of its route.
 */
enum waiting_verdict waiting_judge_overload (int64_t waited_us, int64_t target_us);

/**
 * Load pattern: a change of primary beside full traffic. A request waits for a small part of its target, since the lack
 * of a primary may be short; a caller that returns later costs the queue less than a request that has grown old in it.
 */
enum waiting_verdict waiting_judge_outage (int64_t waited_us, int64_t target_us);

/**
 * Latest start of a statement for an answer within its target latency. Keeps the same reserve for the way back as
 * waiting_judge_overload().
 * @param arrived_us when the request arrived at the first VM.
 * @param expected_us time that the statement takes at the server.
 */
int64_t waiting_due_us (int64_t arrived_us, int64_t target_us, int64_t expected_us);

/** What is known of a statement that waits for a slot. */
struct waiting_outlook
{
	bool has_free_slot;
	int64_t wait_us;       /**< Predicted wait from now on. */
	int64_t error_us;      /**< Mean error of the predictions. */
	int64_t expected_us;   /**< Time that it takes at the server. */
	int64_t limit_left_us; /**< Time until its time limit is over. */
};

/**
 * Load pattern: a backlog of seconds. A statement whose answer cannot be in time for its time limit is refused at once,
 * and takes no slot; one that is only late for its target still has a part of its worth and stays. While a slot is free,
 * nothing is refused for the prediction.
 */
enum waiting_verdict waiting_judge_limit (const struct waiting_outlook *outlook);

/**
 * Load pattern: a burst whose callers all return. The time in which the backlog drains, spread by half of it to both
 * sides, so that callers who were refused together do not return together.
 * @param backlog_us predicted wait of a statement that arrives now.
 * @param random any number of uniform distribution.
 */
int64_t waiting_retry_delay_us (int64_t backlog_us, uint64_t random);
