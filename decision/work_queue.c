#include "decision/work_queue.h"

#include "common/clock.h"

enum
{
	/* Part of the slots' time that each lower priority gets while more urgent work waits. */
	WORK_FLOOR_DIVISOR = 64,
	/* A priority without work keeps the floor of a few statements only. */
	WORK_MAX_FLOOR_US = 100 * US_PER_MS,
	/* Scale of shares, so that the division by a weight keeps its precision. */
	WORK_SHARE_SCALE = 1000,
};

static uint32_t
priority_of (const struct work_item *item)
{
	return item->priority < WORK_PRIORITIES ? item->priority : WORK_PRIORITIES - 1;
}

static bool
has_floor (const struct work_queue *queue, const struct work_item *item)
{
	return queue->floor_us[priority_of (item)] >= item->expected_us;
}

struct work_order
work_queue_order (const struct work_queue *queue, const struct work_item *item,
                  const struct work_share *share, int64_t now_us)
{
	struct work_order order = {
		.rank = item->is_started          ? 0
		        : has_floor (queue, item) ? 1
		                                  : 2,
		.priority = priority_of (item),
		.is_late = now_us > item->due_us,
		.may_move = item->may_move,
		.due_us = item->due_us,
	};

	if (share)
		order.share_us = share->served_us > queue->served_us ? share->served_us : queue->served_us;
	return order;
}

int
work_order_compare (const struct work_order *a, const struct work_order *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->is_late != b->is_late)
		return b->is_late ? -1 : 1;
	if (a->may_move != b->may_move)
		return b->may_move ? -1 : 1;
	if (a->share_us != b->share_us)
		return a->share_us < b->share_us ? -1 : 1;
	return (a->due_us > b->due_us) - (a->due_us < b->due_us);
}

void
work_queue_start (struct work_queue *queue, const struct work_item *item, struct work_share *share,
                  uint32_t weight)
{
	uint32_t priority = priority_of (item);

	if (!item->is_started && has_floor (queue, item))
		queue->floor_us[priority] -= item->expected_us;
	for (uint32_t lower = priority + 1; lower < WORK_PRIORITIES; lower++)
	{
		queue->floor_us[lower] += item->expected_us / WORK_FLOOR_DIVISOR;
		if (queue->floor_us[lower] > WORK_MAX_FLOOR_US)
			queue->floor_us[lower] = WORK_MAX_FLOOR_US;
	}
	if (!share)
		return;
	if (share->served_us < queue->served_us)
		share->served_us = queue->served_us;
	queue->served_us = share->served_us;
	share->served_us += item->expected_us * WORK_SHARE_SCALE / (weight > 0 ? weight : 1);
}
