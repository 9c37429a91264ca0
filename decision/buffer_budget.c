#include "decision/buffer_budget.h"

#include <string.h>

void
buffer_budget_init (struct buffer_budget *budget, size_t memory_bytes)
{
	size_t rest_bytes =
		memory_bytes > BUFFER_PROCESS_BYTES ? memory_bytes - BUFFER_PROCESS_BYTES : 0;

	memset (budget, 0, sizeof *budget);
	/* The last quarter is for the kernel's buffers of connections that are being read, the copies of one message that is
	 * under way when the budget is full, and the heap's unused parts. */
	budget->limit_bytes = rest_bytes / 4 * 3;
	if (memory_bytes > 0 && budget->limit_bytes < memory_bytes / 8)
		budget->limit_bytes = memory_bytes / 8;
}

void
buffer_budget_charge (struct buffer_budget *budget, size_t *charged, size_t bytes)
{
	budget->used_bytes += bytes - *charged;
	*charged = bytes;
	if (budget->used_bytes > budget->peak_bytes)
		budget->peak_bytes = budget->used_bytes;
}

bool
buffer_budget_is_short (const struct buffer_budget *budget)
{
	return budget->limit_bytes > 0 && budget->used_bytes > budget->limit_bytes;
}

bool
buffer_budget_has_room (const struct buffer_budget *budget)
{
	return budget->limit_bytes == 0 || budget->used_bytes <= budget->limit_bytes / 4 * 3;
}

size_t
buffer_budget_share (const struct buffer_budget *budget)
{
	return budget->limit_bytes > 0 ? budget->limit_bytes / 4 : SIZE_MAX;
}

void
buffer_progress_end (struct buffer_progress *progress)
{
	memset (progress, 0, sizeof *progress);
}

bool
buffer_progress_check (struct buffer_progress *progress, bool owes, uint64_t moved_bytes,
                       int64_t limit_us, int64_t now_us)
{
	if (!owes)
	{
		buffer_progress_end (progress);
		return true;
	}
	if (progress->since_us == 0)
		progress->slow_since_us = now_us;
	if (progress->since_us == 0 || moved_bytes - progress->since_bytes >= BUFFER_PROGRESS_BYTES)
	{
		progress->since_us = now_us;
		progress->since_bytes = moved_bytes;
		return true;
	}
	return limit_us == 0 || now_us - progress->since_us <= limit_us;
}

static int
holder_class (const struct buffer_holder *holder)
{
	return (holder->is_peer ? 2 : 0) + (holder->owes ? 0 : 1);
}

/** Bytes, times the seconds for which it has owed, the first one included. */
static double
holder_weight (const struct buffer_holder *holder)
{
	return (double) holder->bytes * (1.0 + (double) holder->slow_us / 1e6);
}

int
buffer_holder_compare (const void *first, const void *second)
{
	const struct buffer_holder *left = first;
	const struct buffer_holder *right = second;
	double left_weight = holder_weight (left);
	double right_weight = holder_weight (right);

	if (holder_class (left) != holder_class (right))
		return holder_class (left) - holder_class (right);
	return (left_weight < right_weight) - (left_weight > right_weight);
}
