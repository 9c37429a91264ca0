/**
 * @file
 * Rows of an answer: kept while a write waits for its acknowledgement, and stored with a request id
 * as compact JSON, so that a replay returns the first answer.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct owner_rows
{
	size_t column_count;
	size_t cell_count;
	const char *const *columns;
	const char *const *cells; /**< Row by row; NULL for NULL. */
	void *memory;             /**< NULL: the rows are borrowed. */
};

/** Copies rows into memory of their own. @return 0 or -ENOMEM. */
int owner_rows_copy (struct owner_rows *rows, const struct owner_rows *from);
void owner_rows_finish (struct owner_rows *rows);

/** Tells whether the rows fit into one answer between VMs (protocols/peer.x). */
bool owner_rows_fit (const struct owner_rows *rows);

/** @return JSON, to be freed with g_free(). */
char *owner_rows_encode (const struct owner_rows *rows);

/** Reads what owner_rows_encode() wrote. @return 0, -EBADMSG or -ENOMEM. */
int owner_rows_decode (struct owner_rows *rows, const char *json);
