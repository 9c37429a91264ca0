/**
 * @file
 * Tells an answer that was cut off and then sent whole from one whose rows look like that. Does no I/O.
 *
 * Such an answer begins with a part of itself. Its signature cannot be checked here, so it is not passed on at first, and its
 * statement is unanswered. If the server answers the same with the same lines again and again, these are its rows; if it has
 * also answered with the whole part alone, it cuts answers off.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	ANSWER_RESTARTS = 4,
	/** Times that the same lines have to come until they are believed. A request has more attempts. */
	ANSWER_RESTART_TIMES = 3,
	/** Different lines that were believed, after which others are believed at once: the server has such rows. */
	ANSWER_RESTART_ROWS = 2,
};

/** Answers of one server that began with a part of themselves. */
struct answer_restarts
{
	struct
	{
		uint64_t rows;  /**< Hash of the rows. */
		uint64_t whole; /**< Hash of the rows of the part that would be the whole answer. */
		uint32_t times; /**< 0: unused. */
	} last[ANSWER_RESTARTS];
	uint32_t next;
	uint32_t
		believed; /**< Different lines that were believed since an answer was last seen to be cut off. */
	int64_t cut_us; /**< When the server was last seen to cut an answer off; 0: never. */
};

/**
 * Finds the whole answer in lines that begin with a part of it. The READY line of the connection's greeting, sent again, may
 * be in between.
 * @param greeting that line without its end.
 * @return its offset, or 0: the lines do not begin with a part of themselves.
 */
size_t answer_restart_find (const char *lines, size_t length, const char *greeting,
                            size_t greeting_length);

/** Whether rows that begin with a part of themselves are to be believed. @param whole hash of what follows the part. */
bool answer_restarts_believe (struct answer_restarts *restarts, uint64_t rows, uint64_t whole,
                              int64_t now_us);

/** Whether answer_restarts_note() has to be told of other answers. */
bool answer_restarts_wait (const struct answer_restarts *restarts);

/** Notes an answer that does not begin with a part of itself. */
void answer_restarts_note (struct answer_restarts *restarts, uint64_t rows, int64_t now_us);
