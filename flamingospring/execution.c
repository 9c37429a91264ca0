#include "flamingospring/execution.h"

#include <stdlib.h>
#include <string.h>

enum
{
	PRIMARY_UNKNOWN = -1,
};

struct fs_execute_result
execution_result (enum outcome outcome, enum reason reason, const char *message)
{
	struct fs_execute_result result = { 0 };

	result.outcome = (int) outcome;
	result.reason = (int) reason;
	result.message = (char *) (message ? message : "");
	result.primary = PRIMARY_UNKNOWN;
	return result;
}

static size_t
text_bytes (const char *text)
{
	return text ? strlen (text) + 1 : 0;
}

static size_t
result_bytes (const struct fs_execute_result *result)
{
	size_t bytes = sizeof *result + text_bytes (result->message);

	bytes += result->columns.columns_len * sizeof (char *);
	bytes += result->cells.cells_len * (sizeof (fs_value) + sizeof (fs_text));
	for (u_int i = 0; i < result->columns.columns_len; i++)
		bytes += text_bytes (result->columns.columns_val[i]);
	for (u_int i = 0; i < result->cells.cells_len; i++)
	{
		if (result->cells.cells_val[i])
			bytes += text_bytes (*result->cells.cells_val[i]);
	}
	return bytes;
}

static char *
text_copy (char **at, const char *text)
{
	size_t bytes = text_bytes (text);
	char *copy = *at;

	if (!text)
		return NULL;
	memcpy (copy, text, bytes);
	*at += bytes;
	return copy;
}

struct fs_execute_result *
execution_result_copy (const struct fs_execute_result *result)
{
	u_int columns = result->columns.columns_len;
	u_int cells = result->cells.cells_len;
	struct fs_execute_result *copy = malloc (result_bytes (result));
	fs_text *texts;
	char *at;

	if (!copy)
		return NULL;
	*copy = *result;
	/* The arrays of pointers precede the texts, so that they are aligned. */
	copy->columns.columns_val = (fs_text *) (copy + 1);
	copy->cells.cells_val = (fs_value *) (copy->columns.columns_val + columns);
	texts = (fs_text *) (copy->cells.cells_val + cells);
	at = (char *) (texts + cells);
	copy->message = text_copy (&at, result->message);
	for (u_int i = 0; i < columns; i++)
		copy->columns.columns_val[i] = text_copy (&at, result->columns.columns_val[i]);
	for (u_int i = 0; i < cells; i++)
	{
		const fs_value value = result->cells.cells_val[i];

		copy->cells.cells_val[i] = value ? &texts[i] : NULL;
		texts[i] = value ? text_copy (&at, *value) : NULL;
	}
	return copy;
}
