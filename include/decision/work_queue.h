/**
 * @file
 * Decides which queued statement a server runs next. Does no I/O.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
	WORK_PRIORITIES = 8, /**< Higher numbers count as the last of them. */
};

/** What is known of a queued statement. */
struct work_item
{
	uint32_t priority;   /**< 0 is the most urgent. */
	bool is_started;     /**< Its transaction holds a connection and perhaps locks. */
	bool may_move;       /**< Another server may run it as well. */
	int64_t due_us;      /**< Latest start for an answer within the target latency. */
	int64_t expected_us; /**< Time that it takes at the server. */
};

/** Work done for a tenant at one server, in microseconds divided by its weight. */
struct work_share
{
	int64_t served_us;
};

/** State of a queue; zero at first. */
struct work_queue
{
	int64_t floor_us[WORK_PRIORITIES]; /**< Work that is owed to a priority by more urgent ones. */
	int64_t
		served_us; /**< Least share of a tenant that returns: it gets no credit for idle time. */
};

/** Place of a statement in the queue at one time. */
struct work_order
{
	uint32_t rank;
	uint32_t priority;
	bool is_late;
	bool may_move;
	int64_t share_us;
	int64_t due_us;
};

/**
 * Load pattern: more work than slots. Statements of open transactions come first, since their connection and locks keep
 * others waiting. Then by priority; a priority that has been passed over for long gets its floor. In a priority, work that
 * can be in time comes before late work, which still has a part of its worth and would take the place of work that has all
 * of it; then what needs this server before what others may run (replicas that lag); then the tenant with the smallest
 * share (a hot tenant); then what is due first.
 * @param share share of the statement's tenant; NULL: it has none.
 */
struct work_order work_queue_order (const struct work_queue *queue, const struct work_item *item,
                                    const struct work_share *share, int64_t now_us);

/** @return as for qsort(): negative if @p a runs before @p b. */
int work_order_compare (const struct work_order *a, const struct work_order *b);

/**
 * Accounts a statement that starts.
 * @param share share of its tenant, or NULL.
 * @param weight weight of the tenant, at least 1.
 */
void work_queue_start (struct work_queue *queue, const struct work_item *item,
                       struct work_share *share, uint32_t weight);
