/**
 * @file
 * Rows of an answer. They are kept while a write waits for its acknowledgement, and stored with a
 * request id as compact JSON, so that a replay returns the first answer.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct owner_rows
{
	size_t column_count;
	size_t cell_count;
	const char *const *columns;
	const char *const *cells; /**< Row by row; NULL for an SQL NULL. */
	void *memory;             /**< Owned copy; NULL: the rows are borrowed. */
};

/** Copies @p from into newly allocated memory. @return 0 or -ENOMEM. */
int owner_rows_copy (struct owner_rows *rows, const struct owner_rows *from);
void owner_rows_finish (struct owner_rows *rows);

/** Returns whether the rows fit into one answer between VMs (protocols/peer.x). */
bool owner_rows_fit (const struct owner_rows *rows);

/** Encodes the rows as JSON. @return text to be freed with g_free(). */
char *owner_rows_encode (const struct owner_rows *rows);

/** Decodes the text of owner_rows_encode(). @return 0, -EBADMSG or -ENOMEM. */
int owner_rows_decode (struct owner_rows *rows, const char *json);
