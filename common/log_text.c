#include "common/log.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

enum
{
	/* Of a text in quotes; the rest of LOG_TEXT_BYTES is for the quotes and the number of missing bytes. */
	LOG_TEXT_CONTENT_BYTES = LOG_TEXT_BYTES - 32,
	LOG_ESCAPE_BYTES = 4, /* Of \xNN. */
};

static __thread char log_texts[LOG_TEXTS][LOG_TEXT_BYTES];
static __thread unsigned log_text_count;

/** Whether a byte may stand in a value that has no quotes. */
static bool
is_plain (char c)
{
	return g_ascii_isgraph (c) && c != '"' && c != '\\' && c != '=';
}

/** @return the bytes of the printable character at @p text, or 0 when there is none. */
static size_t
printable_length (const char *text, size_t length)
{
	gunichar c;

	if (g_ascii_isprint (*text))
		return 1;
	if ((unsigned char) *text < 0x80)
		return 0;
	c = g_utf8_get_char_validated (text, (gssize) length);
	/* Programs that split texts into lines take U+2028 and U+2029 for line ends; these count as printable. */
	if (c == (gunichar) -1 || c == (gunichar) -2 || !g_unichar_isprint (c) || c == 0x2028 ||
	    c == 0x2029)
		return 0;
	return (size_t) g_unichar_to_utf8 (c, NULL);
}

/** Writes the first character or byte of @p text to @p out, escaped where needed. @param used set to the bytes taken.
 * @return the bytes written, at most 6. */
static size_t
escape (const char *text, size_t length, char *out, size_t *used)
{
	static const char escaped[] = "\"\\\n\r\t";
	static const char letters[] = "\"\\nrt";
	const char *found = *text ? strchr (escaped, *text) : NULL;

	*used = 1;
	if (found)
	{
		out[0] = '\\';
		out[1] = letters[found - escaped];
		return 2;
	}
	*used = printable_length (text, length);
	if (*used > 0)
	{
		memcpy (out, text, *used);
		return *used;
	}
	*used = 1;
	snprintf (out, LOG_ESCAPE_BYTES + 1, "\\x%02x", (unsigned char) *text);
	return LOG_ESCAPE_BYTES;
}

static const char *
text_quote (const char *text, size_t length)
{
	char *slot = log_texts[log_text_count++ % LOG_TEXTS];
	size_t size = 0;
	size_t at = 0;

	slot[size++] = '"';
	while (at < length && size <= LOG_TEXT_CONTENT_BYTES)
	{
		size_t used;

		size += escape (text + at, length - at, slot + size, &used);
		at += used;
	}
	slot[size++] = '"';
	slot[size] = '\0';
	if (at < length)
		snprintf (slot + size, LOG_TEXT_BYTES - size, "+%zu", length - at);
	return slot;
}

const char *
log_text_bytes (const char *text, size_t length)
{
	bool is_word = length > 0 && length <= LOG_TEXT_CONTENT_BYTES;
	char *slot;

	for (size_t i = 0; is_word && i < length; i++)
		is_word = is_plain (text[i]);
	if (!is_word)
		return text_quote (text, length);
	slot = log_texts[log_text_count++ % LOG_TEXTS];
	memcpy (slot, text, length);
	slot[length] = '\0';
	return slot;
}

const char *
log_text (const char *text)
{
	return text ? log_text_bytes (text, strlen (text)) : "-";
}

const char *
log_text_quoted (const char *text)
{
	return text ? text_quote (text, strlen (text)) : "-";
}
