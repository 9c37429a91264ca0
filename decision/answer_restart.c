#include "decision/answer_restart.h"

#include "common/clock.h"

#include <string.h>

enum
{
	LINE_END_BYTES = 2,
	WORD_BYTES = 4, /* Less than this in front of a line makes it malformed. */
	/* A server that has cut an answer off is not believed for so long. */
	CUTS_US = 60 * US_PER_S,
};

/** @return the offset of the whole answer after a part of it and the greeting, or 0. */
static size_t
find_after_greeting (const char *lines, size_t length, const char *greeting, size_t greeting_length)
{
	const char *at = lines;

	while (greeting_length > 0 &&
	       (at = memmem (at, (size_t) (lines + length - at), greeting, greeting_length)))
	{
		size_t part = (size_t) (at - lines);
		size_t whole = part + greeting_length + LINE_END_BYTES;

		if (part > 0 && whole + part <= length && memcmp (lines, lines + whole, part) == 0)
			return whole;
		at++;
	}
	return 0;
}

size_t
answer_restart_find (const char *lines, size_t length, const char *greeting, size_t greeting_length)
{
	const char *at = lines + 1;

	while (length > WORD_BYTES &&
	       (at = memmem (at, (size_t) (lines + length - at), lines, WORD_BYTES)))
	{
		size_t part = (size_t) (at - lines);

		if (2 * part > length)
			break;
		if (memcmp (lines, at, part) == 0)
			return part;
		at++;
	}
	return find_after_greeting (lines, length, greeting, greeting_length);
}

bool
answer_restarts_believe (struct answer_restarts *restarts, uint64_t rows, uint64_t whole,
                         int64_t now_us)
{
	uint32_t at;

	if (restarts->cut_us > 0 && now_us - restarts->cut_us < CUTS_US)
		return false;
	if (restarts->believed >= ANSWER_RESTART_ROWS)
		return true;
	for (uint32_t i = 0; i < ANSWER_RESTARTS; i++)
	{
		if (restarts->last[i].times == 0 || restarts->last[i].rows != rows)
			continue;
		restarts->believed += ++restarts->last[i].times == ANSWER_RESTART_TIMES;
		return restarts->last[i].times >= ANSWER_RESTART_TIMES;
	}
	at = restarts->next++ % ANSWER_RESTARTS;
	restarts->last[at].rows = rows;
	restarts->last[at].whole = whole;
	restarts->last[at].times = 1;
	return false;
}

bool
answer_restarts_wait (const struct answer_restarts *restarts)
{
	return restarts->next > 0;
}

void
answer_restarts_note (struct answer_restarts *restarts, uint64_t rows, int64_t now_us)
{
	for (uint32_t i = 0; i < ANSWER_RESTARTS; i++)
	{
		if (restarts->last[i].times == 0 || restarts->last[i].whole != rows)
			continue;
		restarts->last[i].times = 0;
		restarts->believed = 0;
		restarts->cut_us = now_us;
	}
}
