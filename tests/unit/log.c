/* Guards against a text of a caller, a server, a document or the store that forges a line of the log, adds a pair to one,
 * or makes one unreadable. */
#include "common/log.h"

#include "log_line.h"

#include <fcntl.h>
#include <limits.h>
#include <string.h>
#include <unistd.h>

enum
{
	LONG_BYTES = 1 << 20,
};

/** Standard error of this process, redirected into a file. */
static int log_fd;

/** Lines that were written since the last call, the last one empty; g_strfreev() them. */
static char **
take_lines (void)
{
	off_t size = lseek (log_fd, 0, SEEK_END);
	char *text = g_malloc0 ((size_t) size + 1);
	char **lines;

	g_assert_cmpint (pread (log_fd, text, (size_t) size, 0), ==, size);
	g_assert_cmpint (ftruncate (log_fd, 0), ==, 0);
	lines = g_strsplit (text, "\n", -1);
	g_free (text);
	return lines;
}

/** Pairs of the only line that was written. */
static GArray *
take_line (void)
{
	char **lines = take_lines ();
	GArray *pairs;

	g_test_message ("%s", lines[0]);
	g_assert_cmpuint (g_strv_length (lines), ==, 2);
	g_assert_cmpuint (strlen (lines[0]) + 1, <, PIPE_BUF);
	pairs = log_line_parse (lines[0]);
	g_assert_nonnull (pairs);
	g_strfreev (lines);
	return pairs;
}

static void
assert_value (const GArray *pairs, const char *key, const char *value, size_t length)
{
	const struct log_pair *pair = log_line_find (pairs, key);

	g_assert_nonnull (pair);
	g_assert_cmpmem (pair->value->str, pair->value->len, value, length);
	g_assert_cmpuint (pair->missing, ==, 0);
}

static void
test_values (void)
{
	static const struct
	{
		const char *text;
		size_t length;
		const char *value;
	} rows[] = {
#define ROW(text, value) { text, sizeof text - 1, value }
		ROW ("5398abe452c2a8f8", "5398abe452c2a8f8"),
		ROW ("10.1.0.8:9464", "10.1.0.8:9464"),
		ROW ("a.b_c-d/e@f+g%h", "a.b_c-d/e@f+g%h"),
		ROW ("", "\"\""),
		ROW ("-", "-"),
		ROW ("a b", "\"a b\""),
		ROW ("a=b", "\"a=b\""),
		ROW ("a\nb", "\"a\\nb\""),
		ROW ("a\r\tb", "\"a\\r\\tb\""),
		ROW ("a\"b\\n", "\"a\\\"b\\\\n\""),
		ROW ("a\0b", "\"a\\x00b\""),
		ROW ("\x1b[31m\x7f", "\"\\x1b[31m\\x7f\""),
		ROW ("v\u0113stules", "\"v\u0113stules\""),
		ROW ("\xff\xc4", "\"\\xff\\xc4\""),
		ROW ("a\u2028\xc2\x85", "\"a\\xe2\\x80\\xa8\\xc2\\x85\""),
		ROW ("\u202e", "\"\\xe2\\x80\\xae\""),
#undef ROW
	};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
	{
		GArray *pairs;

		g_assert_cmpstr (log_text_bytes (rows[i].text, rows[i].length), ==, rows[i].value);
		log_request (LOG_REQUEST_FAILED, "failed", "request=%s error=%d",
		             log_text_bytes (rows[i].text, rows[i].length), -5);
		pairs = take_line ();
		assert_value (pairs, "request", rows[i].text, rows[i].length);
		assert_value (pairs, "error", "-5", 2);
		g_array_unref (pairs);
	}
	g_assert_cmpstr (log_text (NULL), ==, "-");
	g_assert_cmpstr (log_text ("a\nb"), ==, "\"a\\nb\"");
	g_assert_cmpstr (log_text_quoted ("busy"), ==, "\"busy\"");
}

/* As many long texts of the longest escapes as one line may use. */
static void
test_long_values (void)
{
	char *text = g_strnfill (LONG_BYTES, '\x01');
	GArray *pairs;

	log_request (LOG_REQUEST_FAILED, "failed", "a=%s b=%s c=%s d=%s e=%s f=%s g=%s h=%s last=%d",
	             log_text (text), log_text (text + 1), log_text (text + 2), log_text (text + 3),
	             log_text (text + 4), log_text (text + 5), log_text (text + 6), log_text (text + 7),
	             1);
	pairs = take_line ();
	for (size_t i = 0; i < LOG_TEXTS; i++)
	{
		const char key[] = { (char) ('a' + i), '\0' };
		const struct log_pair *pair = log_line_find (pairs, key);

		g_assert_cmpuint (pair->value->len, >, 0);
		g_assert_cmpuint (pair->value->len + pair->missing, ==, LONG_BYTES - i);
	}
	assert_value (pairs, "last", "1", 1);
	g_array_unref (pairs);
	g_free (text);
}

/* Lines whose format does not use log_text() for a text. */
static void
test_one_line (void)
{
	char *text = g_strnfill (LONG_BYTES, 'a');
	char **lines;
	GArray *pairs;

	log_request (LOG_REQUEST_FAILED, "failed", "request=%s error=%d",
	             "a\ntime=1.0 level=info vm=v event=stopped\r\x1b\x7f", -5);
	lines = take_lines ();
	g_assert_cmpuint (g_strv_length (lines), ==, 2);
	g_assert_nonnull (strstr (lines[0], " request=a?time=1.0 level=info"));
	g_assert_nonnull (strstr (lines[0], "stopped??? error=-5"));
	g_strfreev (lines);

	log_request (LOG_REQUEST_FAILED, "failed",
	             "request=%s cause=\"a \\\" b\" text=\"c %s\" error=%d", "r", text, -5);
	pairs = take_line ();
	assert_value (pairs, "request", "r", 1);
	assert_value (pairs, "cause", "a \" b", 5);
	assert_value (pairs, "cut", "1", 1);
	g_assert_null (log_line_find (pairs, "text"));
	g_array_unref (pairs);
	g_free (text);
}

/* Guards against the cost of escapes in lines that are not written. */
static void
test_lazy (void)
{
	unsigned evaluated = 0;

	log_event (LOG_LEVEL_DEBUG, "debug", "count=%u", ++evaluated);
	g_assert_cmpuint (evaluated, ==, 0);
	for (unsigned i = 0; i < 100; i++)
		log_event (LOG_LEVEL_INFO, "limited", "count=%u", ++evaluated);
	g_assert_cmpuint (evaluated, >, 0);
	g_assert_cmpuint (evaluated, <, 100);
	g_strfreev (take_lines ());
}

int
main (int argc, char **argv)
{
	char *path;
	int result;

	g_test_init (&argc, &argv, NULL);
	log_fd = g_file_open_tmp ("log-XXXXXX", &path, NULL);
	g_assert_cmpint (log_fd, >=, 0);
	unlink (path);
	g_free (path);
	g_assert_cmpint (fcntl (log_fd, F_SETFL, O_APPEND), ==, 0);
	g_assert_cmpint (dup2 (log_fd, STDERR_FILENO), ==, STDERR_FILENO);
	g_assert_cmpint (log_init (LOG_LEVEL_INFO, "v 1"), ==, 0);
	g_test_add_func ("/log/values", test_values);
	g_test_add_func ("/log/long_values", test_long_values);
	g_test_add_func ("/log/one_line", test_one_line);
	g_test_add_func ("/log/lazy", test_lazy);
	result = g_test_run ();
	log_finish ();
	close (log_fd);
	return result;
}
