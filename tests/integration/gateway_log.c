/* Guards against request ids that forge a line of the gateway's log or add a pair to one, so that an outcome is looked up
 * under another request. */
#include "gateway_pair.h"
#include "log_line.h"

#include "common/log.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/** Ids, which hold any byte but a blank. */
static const struct id
{
	const char *bytes;
	size_t length;
} ids[] = {
#define ID(text)                                                                                   \
	{                                                                                              \
		text, sizeof text - 1                                                                      \
	}
	ID ("plain-id.1"),
	ID ("a\nb"),
	ID ("a\ntime=1.0\x09level=info\x09vm=v\x09"
	    "event=stopped"),
	ID ("a\0b"),
	ID ("\""),
	ID ("a=b"),
	ID ("\\"),
	ID ("\xff\xfe"),
	ID ("\r"),
	ID ("\x1b[2J"),
#undef ID
};

/** Standard error of this process, redirected into a file. */
static int log_fd;

/** @return the lines' pairs (GArray), or fails the test when a line has none. */
static GPtrArray *
take_lines (void)
{
	GPtrArray *parsed = g_ptr_array_new_with_free_func ((GDestroyNotify) g_array_unref);
	off_t size = lseek (log_fd, 0, SEEK_END);
	char *text = g_malloc0 ((size_t) size + 1);
	char **lines;

	g_assert_cmpint (pread (log_fd, text, (size_t) size, 0), ==, size);
	g_assert_cmpuint (strlen (text), ==, (size_t) size);
	lines = g_strsplit (text, "\n", -1);
	for (size_t i = 0; lines[i] && *lines[i]; i++)
	{
		GArray *pairs = log_line_parse (lines[i]);

		if (pairs)
			g_ptr_array_add (parsed, pairs);
		else
			g_test_fail_printf ("no line of pairs: %s", lines[i]);
	}
	g_strfreev (lines);
	g_free (text);
	return parsed;
}

/** Whether a line has exactly the id as the value of "request". */
static bool
is_logged (const GPtrArray *lines, const struct id *id)
{
	for (guint i = 0; i < lines->len; i++)
	{
		const struct log_pair *pair = log_line_find (lines->pdata[i], "request");

		if (pair && pair->value->len == id->length &&
		    memcmp (pair->value->str, id->bytes, id->length) == 0)
			return true;
	}
	return false;
}

static void
execute (int fd, const struct id *id)
{
	GString *text = g_string_new ("QUERY ");

	g_string_append_len (text, id->bytes, (gssize) id->length);
	g_string_append (text, " WRITE x\r\n");
	g_assert_true (pair_send (fd, text->str, text->len));
	g_string_free (pair_read (fd), TRUE);
	g_string_free (text, TRUE);
}

static void
test_lines (void)
{
	struct gateway_pair pair;
	GPtrArray *lines;

	gateway_pair_start (&pair, PAIR_SLOTS);
	for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
	{
		int fd = gateway_pair_open (&pair, PAIR_OWNER, "primary");

		/* 10 lines a second about served requests. */
		g_usleep (G_USEC_PER_SEC / 5);
		execute (fd, &ids[i]);
		close (fd);
	}
	gateway_pair_stop (&pair);
	lines = take_lines ();
	for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
		if (!is_logged (lines, &ids[i]))
			g_test_fail_printf ("request %zu is not in the log", i);
	g_ptr_array_free (lines, TRUE);
}

int
main (int argc, char **argv)
{
	char *path;
	int result;

	g_test_init (&argc, &argv, NULL);
	log_fd = g_file_open_tmp ("gateway-log-XXXXXX", &path, NULL);
	g_assert_cmpint (log_fd, >=, 0);
	unlink (path);
	g_free (path);
	g_assert_cmpint (fcntl (log_fd, F_SETFL, O_APPEND), ==, 0);
	g_assert_cmpint (dup2 (log_fd, STDERR_FILENO), ==, STDERR_FILENO);
	log_init (LOG_LEVEL_DEBUG, "test");
	g_test_add_func ("/gateway_log/lines", test_lines);
	result = g_test_run ();
	close (log_fd);
	return result;
}
