#include "decision/position_history.h"

#include <string.h>

void
position_history_init (struct position_history *history)
{
	memset (history, 0, sizeof *history);
}

static struct position_sample *
sample_at (const struct position_history *history, size_t at)
{
	size_t slot = (history->first + at) % POSITION_HISTORY_SAMPLES;

	return (struct position_sample *) &history->samples[slot];
}

void
position_history_add (struct position_history *history, int64_t sent_us,
                      struct log_position position)
{
	struct position_sample *last =
		history->count > 0 ? sample_at (history, history->count - 1) : NULL;
	struct position_sample *before =
		history->count > 1 ? sample_at (history, history->count - 2) : NULL;

	if (last && sent_us <= last->sent_us)
		return;
	/* The last sample is overwritten until it is POSITION_HISTORY_SPACING_US after the one
	 * before. */
	if (before && last->sent_us - before->sent_us < POSITION_HISTORY_SPACING_US)
	{
		*last = (struct position_sample){ sent_us, position };
		return;
	}
	if (history->count == POSITION_HISTORY_SAMPLES)
		history->first = (history->first + 1) % POSITION_HISTORY_SAMPLES;
	else
		history->count++;
	*sample_at (history, history->count - 1) = (struct position_sample){ sent_us, position };
}

bool
position_history_find (const struct position_history *history, int64_t time_us,
                       struct log_position *position)
{
	size_t low = 0;
	size_t high = history->count;

	while (low < high)
	{
		size_t middle = (low + high) / 2;

		if (sample_at (history, middle)->sent_us >= time_us)
			high = middle;
		else
			low = middle + 1;
	}
	if (low == history->count)
		return false;
	*position = sample_at (history, low)->position;
	return true;
}

int64_t
position_history_last_us (const struct position_history *history)
{
	return history->count > 0 ? sample_at (history, history->count - 1)->sent_us : 0;
}
