#include "decision/term_history.h"

#include <string.h>

bool
term_history_contains (const struct term_history *history, struct log_position end)
{
	size_t later = 0;

	while (later < history->count && history->starts[later].term <= end.term)
		later++;
	if (later < history->count && end.index > history->starts[later].index)
		return false;
	/* Terms before the first one are not known. */
	return later == 0 || later == history->count || history->starts[later - 1].term == end.term;
}

static void
append (struct term_history *history, struct term_start start)
{
	if (history->count == TERM_HISTORY_STARTS)
		memmove (&history->starts[0], &history->starts[1],
		         --history->count * sizeof history->starts[0]);
	history->starts[history->count++] = start;
}

void
term_history_begin (struct term_history *history, uint64_t term, struct log_position end)
{
	size_t count = 0;

	/* A log that had been given up is made the present one. What it consists of is not known. */
	if (!term_history_contains (history, end))
		history->count = 0;
	while (count < history->count && history->starts[count].term <= end.term &&
	       history->starts[count].index < end.index)
		count++;
	history->count = count;
	/* Where the first term or one whose record was lost began is not known, but no later than here. */
	if (count == 0 || history->starts[count - 1].term != end.term)
		append (history, (struct term_start){ end.term, end.index });
	append (history, (struct term_start){ term, end.index });
}
