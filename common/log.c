#include "common/log.h"

#include "common/clock.h"

#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <log4c.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
	LOG_BURST = 5, /* Lines per event, second and thread. */
	/* On standard output: state changes come in bursts, with one line per server. */
	LOG_STDOUT_BURST = 40,
	LOG_EVENT_SLOTS = 64,
	/* The pairs of a line, LOG_TEXTS texts among them. With the part before them, a line is shorter than PIPE_BUF. */
	LOG_LINE_BYTES = 3072,
};

/** Rate limit of one event, thread-local so that no lock is needed. */
struct log_limit
{
	const char *event;
	int64_t window_us;
	unsigned lines;
	unsigned suppressed;
};

static const int log_priorities[] = {
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const log_level_names[] = { "error", "warn", "info", "debug" };

/** Lines per second and thread: most for failures, while served requests are only sampled. */
static const unsigned log_request_budget[LOG_REQUEST_CLASS_COUNT] = {
	[LOG_REQUEST_FAILED] = 100,
	[LOG_REQUEST_SLOW] = 20,
	[LOG_REQUEST_DONE] = 10,
};

static log4c_category_t *log_category;
static unsigned log_burst = LOG_BURST;
static unsigned log_dropped; /* Lines that standard output did not accept without blocking. */
static char log_vm_name[LOG_TEXT_BYTES] = "-";
static __thread unsigned log_suppressed; /* Lines that the next one reports as missing. */
static __thread struct log_limit log_limits[LOG_EVENT_SLOTS];
static __thread struct log_limit log_request_limits[LOG_REQUEST_CLASS_COUNT];

static const char *
log_format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	(void) layout;
	return event->evt_msg;
}

static const log4c_layout_type_t log_layout_type = {
	.name = "flamingospring_line",
	.format = log_format_line,
};

/** Replaces log4c's stderr appender, which prefixes each line with its name. */
static int
log_append_stderr (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void) appender;
	return fputs (event->evt_rendered_msg, stderr);
}

/** Drops whole lines when the pipe is full: a line is shorter than PIPE_BUF, so that its write is atomic. */
static int
log_append_stdout (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	size_t length = strlen (event->evt_rendered_msg);
	unsigned dropped = ck_pr_load_uint (&log_dropped);
	char notice[64];

	(void) appender;
	if (dropped > 0)
	{
		int size = snprintf (notice, sizeof notice, "event=log_dropped lines=%u\n", dropped);

		if (write (STDOUT_FILENO, notice, (size_t) size) == size)
			ck_pr_sub_uint (&log_dropped, dropped);
	}
	if (write (STDOUT_FILENO, event->evt_rendered_msg, length) == (ssize_t) length)
		return 0;
	ck_pr_inc_uint (&log_dropped);
	return -EAGAIN;
}

static const log4c_appender_type_t log_stdout_type = {
	.name = "flamingospring_stdout",
	.append = log_append_stdout,
};

static const log4c_appender_type_t log_stderr_type = {
	.name = "flamingospring_stderr",
	.append = log_append_stderr,
};

static int
log_open (enum log_level level, const char *vm_name, const log4c_appender_type_t *type)
{
	log4c_layout_t *layout;
	log4c_appender_t *appender;

	if (log4c_init () != 0)
		return -EIO;
	log4c_layout_type_set (&log_layout_type);
	log4c_appender_type_set (type);
	layout = log4c_layout_get ("flamingospring");
	log4c_layout_set_type (layout, &log_layout_type);
	appender = log4c_appender_get ("flamingospring");
	log4c_appender_set_type (appender, type);
	log4c_appender_set_layout (appender, layout);
	log_category = log4c_category_get ("flamingospring");
	log4c_category_set_appender (log_category, appender);
	log4c_category_set_additivity (log_category, 0);
	log4c_category_set_priority (log_category, log_priorities[level]);
	snprintf (log_vm_name, sizeof log_vm_name, "%s", log_text (vm_name));
	return 0;
}

int
log_init (enum log_level level, const char *vm_name)
{
	log_burst = LOG_BURST;
	return log_open (level, vm_name, &log_stderr_type);
}

int
log_init_stdout (enum log_level level, const char *vm_name)
{
	int flags = fcntl (STDOUT_FILENO, F_GETFL);

	if (flags < 0 || fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		return -EIO;
	log_burst = LOG_STDOUT_BURST;
	return log_open (level, vm_name, &log_stdout_type);
}

void
log_finish (void)
{
	log_category = NULL;
	log4c_fini ();
}

static struct log_limit *
log_find_limit (const char *event)
{
	size_t hash = 5381;

	for (const char *c = event; *c; c++)
		hash = hash * 33 + (unsigned char) *c;
	return &log_limits[hash % LOG_EVENT_SLOTS];
}

/** Counts a line. @p suppressed is set to the lines dropped in the last window when a new one starts.
 * @return false when the line exceeds the limit. */
static bool
log_limit_allow (struct log_limit *limit, const char *event, unsigned burst, unsigned *suppressed)
{
	int64_t now_us = clock_now_us ();

	*suppressed = 0;
	if (!limit->event || strcmp (limit->event, event) != 0)
		*limit = (struct log_limit){ .event = event, .window_us = now_us };
	if (now_us - limit->window_us >= US_PER_S)
	{
		*suppressed = limit->suppressed;
		*limit = (struct log_limit){ .event = event, .window_us = now_us };
	}
	if (limit->lines >= burst)
	{
		limit->suppressed++;
		return false;
	}
	limit->lines++;
	return true;
}

/** Makes the formatted pairs a part of one line. @param is_cut whether the text was too long; it then ends with the
 * last whole pair that leaves space for the mark. */
static void
line_seal (char text[LOG_LINE_BYTES], bool is_cut)
{
	static const char mark[] = " cut=1";
	size_t last = 0; /* Blank after the last whole pair. */
	bool is_quoted = false;

	for (size_t i = 0; text[i]; i++)
	{
		if (g_ascii_iscntrl (text[i]))
			text[i] = '?';
		if (text[i] == '"')
			is_quoted = !is_quoted;
		else if (is_quoted && text[i] == '\\' && text[i + 1] && !g_ascii_iscntrl (text[i + 1]))
			i++;
		else if (!is_quoted && text[i] == ' ' && i + sizeof mark <= LOG_LINE_BYTES)
			last = i;
	}
	if (is_cut)
		memcpy (text + last, mark, sizeof mark);
}

static void
log_write (enum log_level level, const char *event, unsigned suppressed, const char *format,
           va_list args)
{
	char text[LOG_LINE_BYTES];
	char tail[32] = "";
	uint64_t wall_ns = clock_wall_ns ();
	int length = vsnprintf (text, sizeof text, format, args);

	if (suppressed)
		snprintf (tail, sizeof tail, " suppressed=%u", suppressed);
	line_seal (text, length >= (int) sizeof text);
	log4c_category_log (log_category, log_priorities[level],
	                    "time=%llu.%06llu level=%s vm=%s event=%s %s%s\n",
	                    (unsigned long long) (wall_ns / 1000000000u),
	                    (unsigned long long) (wall_ns / 1000u % 1000000u), log_level_names[level],
	                    log_vm_name, event, text, tail);
}

static bool
log_is_enabled (enum log_level level)
{
	return log_category && log4c_category_is_priority_enabled (log_category, log_priorities[level]);
}

bool
log_event_allowed (enum log_level level, const char *event)
{
	return log_is_enabled (level) &&
	       log_limit_allow (log_find_limit (event), event, log_burst, &log_suppressed);
}

void
log_event_write (enum log_level level, const char *event, const char *format, ...)
{
	va_list args;

	va_start (args, format);
	log_write (level, event, log_suppressed, format, args);
	va_end (args);
}

bool
log_request_allowed (enum log_request_class log_class)
{
	struct log_limit *limit = &log_request_limits[log_class];
	unsigned left_out = 0;
	bool is_allowed = log_is_enabled (LOG_LEVEL_INFO) &&
	                  log_limit_allow (limit, "request", log_request_budget[log_class], &left_out);

	if (left_out > 0)
		log_event (LOG_LEVEL_INFO, "requests_left_out", "class=%d lines=%u", log_class, left_out);
	return is_allowed;
}

void
log_request (enum log_request_class log_class, const char *event, const char *format, ...)
{
	va_list args;

	if (!log_is_enabled (LOG_LEVEL_INFO))
		return;
	va_start (args, format);
	log_write (log_class == LOG_REQUEST_FAILED ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, event, 0, format,
	           args);
	va_end (args);
}

int
log_level_parse (const char *text, enum log_level *level)
{
	for (size_t i = 0; i < sizeof log_level_names / sizeof log_level_names[0]; i++)
	{
		if (strcmp (text, log_level_names[i]) != 0)
			continue;
		*level = (enum log_level) i;
		return 0;
	}
	return -EINVAL;
}
