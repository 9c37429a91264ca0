/**
 * @file
 * Copies of texts as keys and values of tables. Unlike a C string, such a copy holds NUL bytes; unlike a GBytes, it takes one
 * block of the heap.
 */
#pragma once

#include "gateway/statement.h"

#include <glib.h>

struct byte_string
{
	size_t length;
	char bytes[];
};

/** @return a copy, to be freed with g_free(). */
struct byte_string *byte_string_new (struct text text);
bool byte_string_equals (const struct byte_string *a, const struct byte_string *b);

/** @return the bytes, which stay those of @p string. */
static inline struct text
byte_string_text (const struct byte_string *string)
{
	return (struct text){ string->bytes, string->length };
}

/** @return a table with byte strings as keys, which it owns. @param free_value NULL: it does not own the values. */
GHashTable *byte_string_table_new (GDestroyNotify free_value);
