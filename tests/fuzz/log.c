/* Guards against a text that, as a value of a log line, ends the line, adds a pair to it or reads as another text. */
#include "common/log.h"
#include "fuzz.h"
#include "log_line.h"

#include <stdlib.h>
#include <string.h>

/** Reads a line with the value between two other pairs. */
static void
check_value (const char *value, const uint8_t *data, size_t size)
{
	char *line = g_strdup_printf ("event=failed request=%s error=-5", value);
	GArray *pairs = strpbrk (line, "\r\n") ? NULL : log_line_parse (line);
	const struct log_pair *pair = pairs ? log_line_find (pairs, "request") : NULL;

	if (!pair || pairs->len != 3 || strlen (value) >= LOG_TEXT_BYTES)
		abort ();
	if (pair->value->len + pair->missing != size ||
	    (size > 0 && memcmp (pair->value->str, data, pair->value->len) != 0))
		abort ();
	g_array_unref (pairs);
	g_free (line);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	char *text = g_strndup ((const char *) data, size);

	check_value (log_text_bytes ((const char *) data, size), data, size);
	check_value (log_text (text), data, strlen (text));
	check_value (log_text_quoted (text), data, strlen (text));
	g_free (text);
	return 0;
}
