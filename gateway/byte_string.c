#include "gateway/byte_string.h"

#include <string.h>
#include <xxhash.h>

struct byte_string *
byte_string_new (struct text text)
{
	struct byte_string *string = g_malloc (sizeof *string + text.length);

	string->length = text.length;
	if (text.length > 0)
		memcpy (string->bytes, text.start, text.length);
	return string;
}

bool
byte_string_equals (const struct byte_string *a, const struct byte_string *b)
{
	return a->length == b->length && memcmp (a->bytes, b->bytes, a->length) == 0;
}

static guint
hash_key (const void *key)
{
	const struct byte_string *string = key;

	return (guint) XXH3_64bits (string->bytes, string->length);
}

static gboolean
equal_keys (const void *a, const void *b)
{
	return byte_string_equals (a, b);
}

GHashTable *
byte_string_table_new (GDestroyNotify free_value)
{
	return g_hash_table_new_full (hash_key, equal_keys, g_free, free_value);
}
