#include "ctl/cmd.h"
#include "ctl/commands.h"

#include "common/log.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
	/* State changes within this time before a request are printed with it. */
	EXPLAIN_CONTEXT_S = 5,
};

/** One line of a log. */
struct line
{
	double time_s;
	char *text;
	bool belongs_to_request;
};

static void
line_clear (void *data)
{
	struct line *line = data;

	g_free (line->text);
}

static int
compare_lines (const void *a, const void *b)
{
	const struct line *first = a;
	const struct line *second = b;

	if (first->time_s == second->time_s)
		return 0;
	return first->time_s < second->time_s ? -1 : 1;
}

/** @return the blank after the word at @p at, or the end of the line. Blanks in double quotes are parts of the word. */
static const char *
word_end (const char *at)
{
	bool is_quoted = false;

	for (; *at && *at != '\n' && (is_quoted || *at != ' '); at++)
	{
		if (*at == '"')
			is_quoted = !is_quoted;
		else if (is_quoted && *at == '\\' && at[1])
			at++;
	}
	return at;
}

/** Value of @p key in a line of key=value pairs, as it stands there; g_free() it. @return NULL when absent. */
static char *
find_value (const char *text, const char *key)
{
	size_t length = strlen (key);

	for (const char *at = text; *at && *at != '\n';)
	{
		const char *end = word_end (at);

		if (strncmp (at, key, length) == 0 && at[length] == '=')
			return g_strndup (at + length + 1, (gsize) (end - at) - length - 1);
		at = *end == ' ' ? end + 1 : end;
	}
	return NULL;
}

static bool
has_value (const char *text, const char *key, const char *value)
{
	char *found = find_value (text, key);
	bool is_equal = g_strcmp0 (found, value) == 0;

	g_free (found);
	return is_equal;
}

/** Reads the log lines of one file and skips other lines. @return 0 or -EIO. */
static int
read_log (const char *path, const char *id, GArray *lines)
{
	GError *error = NULL;
	char *text = NULL;
	char **rows;

	if (!g_file_get_contents (path, &text, NULL, &error))
	{
		fprintf (stderr, "flamingospring explain: %s\n", error->message);
		g_error_free (error);
		return -EIO;
	}
	rows = g_strsplit (text, "\n", -1);
	for (size_t i = 0; rows[i]; i++)
	{
		char *start = strstr (rows[i], "time=");
		struct line line = { 0 };

		if (!start || !strstr (start, " event="))
			continue;
		line.time_s = g_ascii_strtod (start + strlen ("time="), NULL);
		line.text = g_strdup (start);
		line.belongs_to_request =
			has_value (start, "request", id) || has_value (start, "request", log_text (id));
		g_array_append_vals (lines, &line, 1);
		/* cppcheck-suppress memleak; the array owns the text. */
	}
	g_strfreev (rows);
	g_free (text);
	return 0;
}

/** Whether a line says that the answer to another request of the service was lost, which held a slot until then. */
static bool
is_lost_answer (const char *text, const char *service)
{
	return service && has_value (text, "service", service) &&
	       (has_value (text, "event", "slot_released") ||
	        has_value (text, "event", "answer_given_up"));
}

/** Whether a line reports a state change of the request's service, or of the store and the VMs. */
static bool
is_context (const char *text, const char *service)
{
	static const char *const events[] = {
		"connected",      "configuration_adopted",
		"isolated",       "leaving",
		"member_dead",    "owner_unreachable",
		"started",        "store_lost",
		"store_regained", "watching",
	};

	char *request;

	if (is_lost_answer (text, service))
		return true;
	request = find_value (text, "request");
	g_free (request);
	if (request)
		return false;
	if (service && has_value (text, "service", service))
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
		if (has_value (text, "event", events[i]))
			return true;
	return false;
}

static int
explain (const char *id, const GArray *lines)
{
	double first_s = 0;
	double last_s = 0;
	char *service = NULL;

	for (guint i = 0; i < lines->len; i++)
	{
		const struct line *line = &g_array_index (lines, struct line, i);

		if (!line->belongs_to_request)
			continue;
		if (first_s == 0)
			first_s = line->time_s;
		last_s = line->time_s;
		if (!service)
			service = find_value (line->text, "service");
	}
	if (first_s == 0)
	{
		printf ("%s: no log line found; served requests are only sampled\n", id);
		return EXIT_CODE_FAILED;
	}
	for (guint i = 0; i < lines->len; i++)
	{
		const struct line *line = &g_array_index (lines, struct line, i);

		if (line->belongs_to_request)
			printf ("%+9.3f > %s\n", line->time_s - first_s, line->text);
		else if (line->time_s >= first_s - EXPLAIN_CONTEXT_S && line->time_s <= last_s &&
		         is_context (line->text, service))
			printf ("%+9.3f   %s\n", line->time_s - first_s, line->text);
	}
	g_free (service);
	return EXIT_CODE_OK;
}

int
cmd_explain (int argc, char **argv)
{
	GOptionContext *context = g_option_context_new (
		"ID FILE... - print the log lines of several VMs about a request, and the "
		"state changes in the seconds before");
	char **arguments = g_strdupv (argv);
	GArray *lines = g_array_new (FALSE, TRUE, sizeof (struct line));
	GError *error = NULL;
	int code = EXIT_CODE_USAGE;

	(void) argc;
	g_array_set_clear_func (lines, line_clear);
	if (!g_option_context_parse_strv (context, &arguments, &error))
	{
		fprintf (stderr, "flamingospring explain: %s\n", error->message);
		g_error_free (error);
		goto out;
	}
	if (g_strv_length (arguments) < 3)
	{
		fprintf (stderr, "flamingospring explain: an id and log files are needed\n");
		goto out;
	}
	for (size_t i = 2; arguments[i]; i++)
		if (read_log (arguments[i], arguments[1], lines) < 0)
			goto out;
	g_array_sort (lines, compare_lines);
	code = explain (arguments[1], lines);
out:
	g_array_free (lines, TRUE);
	g_strfreev (arguments);
	g_option_context_free (context);
	return code;
}
