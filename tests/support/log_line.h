/**
 * @file
 * Reads lines of the log as the operations page describes them, written without the program's own code.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

struct log_pair
{
	char *key;
	GString *value;
	size_t missing; /**< Bytes that were cut off the value. */
	bool is_quoted;
};

/** Reads one line. @return the pairs (struct log_pair), to be freed with g_array_unref(), or NULL when it is no line of
 * pairs. */
GArray *log_line_parse (const char *line);

/** @return the first pair with @p key, or NULL. */
const struct log_pair *log_line_find (const GArray *pairs, const char *key);
