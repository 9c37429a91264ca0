#include "log_line.h"

#include <string.h>

static void
pair_clear (void *data)
{
	struct log_pair *pair = data;

	g_free (pair->key);
	if (pair->value)
		g_string_free (pair->value, TRUE);
}

/** Reads the escape behind a backslash. @return the next character, or NULL when it is none. */
static const char *
unescape (const char *at, GString *value)
{
	static const char letters[] = "\"\\nrt";
	static const char bytes[] = "\"\\\n\r\t";
	const char *found = *at ? strchr (letters, *at) : NULL;

	if (found)
	{
		g_string_append_c (value, bytes[found - letters]);
		return at + 1;
	}
	if (at[0] != 'x' || !g_ascii_isxdigit (at[1]) || !g_ascii_isxdigit (at[2]))
		return NULL;
	g_string_append_c (value,
	                   (char) (g_ascii_xdigit_value (at[1]) << 4 | g_ascii_xdigit_value (at[2])));
	return at + 3;
}

/** Reads a value in quotes. @return the character after it, or NULL when it is malformed. */
static const char *
read_quoted (const char *at, struct log_pair *pair)
{
	char *end;

	pair->is_quoted = true;
	while (at && *at != '"')
	{
		if (!*at)
			return NULL;
		if (*at == '\\')
			at = unescape (at + 1, pair->value);
		else
			g_string_append_c (pair->value, *at++);
	}
	if (!at || *++at != '+')
		return at;
	pair->missing = (size_t) g_ascii_strtoull (at + 1, &end, 10);
	return end;
}

/** Reads a pair. @return the character after it, or NULL when it is malformed. */
static const char *
read_pair (const char *at, struct log_pair *pair)
{
	size_t length = strspn (at, "abcdefghijklmnopqrstuvwxyz_");

	if (length == 0 || at[length] != '=')
		return NULL;
	pair->key = g_strndup (at, length);
	pair->value = g_string_new (NULL);
	at += length + 1;
	if (*at == '"')
		return read_quoted (at + 1, pair);
	for (; *at && *at != ' '; at++)
	{
		if (!g_ascii_isgraph (*at) || strchr ("\"=\\", *at))
			return NULL;
		g_string_append_c (pair->value, *at);
	}
	return at;
}

GArray *
log_line_parse (const char *line)
{
	GArray *pairs = g_array_new (FALSE, TRUE, sizeof (struct log_pair));
	const char *at = line;

	g_array_set_clear_func (pairs, pair_clear);
	if (!g_utf8_validate (line, -1, NULL))
		goto fail;
	for (;;)
	{
		struct log_pair pair = { 0 };

		at = read_pair (at, &pair);
		g_array_append_val (pairs, pair);
		if (!at || (*at && *at != ' '))
			goto fail;
		if (!*at++)
			return pairs;
	}
fail:
	g_array_unref (pairs);
	return NULL;
}

const struct log_pair *
log_line_find (const GArray *pairs, const char *key)
{
	for (guint i = 0; i < pairs->len; i++)
	{
		const struct log_pair *pair = &g_array_index (pairs, struct log_pair, i);

		if (strcmp (pair->key, key) == 0)
			return pair;
	}
	return NULL;
}
