#include "common/log.h"

#include "common/clock.h"

#include <errno.h>
#include <log4c.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum
{
	LOG_BURST = 5, /* Lines of one event in a second, for each thread. */
	LOG_EVENT_SLOTS = 64,
	LOG_LINE_BYTES = 2048,
};

/** Rate limit of one event, kept for each thread so that no lock is needed. */
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

static log4c_category_t *log_category;
static char log_vm_name[64] = "-";
static __thread struct log_limit log_limits[LOG_EVENT_SLOTS];

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

/** The library's own stderr appender puts its name before each line. */
static int
log_append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void) appender;
	return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t log_appender_type = {
	.name = "flamingospring_stderr",
	.append = log_append_line,
};

int
log_init (enum log_level level, const char *vm_name)
{
	log4c_layout_t *layout;
	log4c_appender_t *appender;

	if (log4c_init () != 0)
		return -EIO;
	log4c_layout_type_set (&log_layout_type);
	log4c_appender_type_set (&log_appender_type);
	layout = log4c_layout_get ("flamingospring");
	log4c_layout_set_type (layout, &log_layout_type);
	appender = log4c_appender_get ("flamingospring");
	log4c_appender_set_type (appender, &log_appender_type);
	log4c_appender_set_layout (appender, layout);
	log_category = log4c_category_get ("flamingospring");
	log4c_category_set_appender (log_category, appender);
	log4c_category_set_additivity (log_category, 0);
	log4c_category_set_priority (log_category, log_priorities[level]);
	snprintf (log_vm_name, sizeof log_vm_name, "%s", vm_name);
	return 0;
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

/** Counts a line. @return false when it is over the limit. */
static bool
log_take (struct log_limit *limit, const char *event, unsigned *suppressed)
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
	if (limit->lines >= LOG_BURST)
	{
		limit->suppressed++;
		return false;
	}
	limit->lines++;
	return true;
}

void
log_event (enum log_level level, const char *event, const char *format, ...)
{
	char text[LOG_LINE_BYTES];
	char tail[32] = "";
	uint64_t wall_ns;
	unsigned suppressed;
	va_list args;

	if (!log_category || !log4c_category_is_priority_enabled (log_category, log_priorities[level]))
		return;
	if (!log_take (log_find_limit (event), event, &suppressed))
		return;
	if (suppressed)
		snprintf (tail, sizeof tail, " suppressed=%u", suppressed);
	va_start (args, format);
	vsnprintf (text, sizeof text, format, args);
	va_end (args);
	wall_ns = clock_wall_ns ();
	log4c_category_log (log_category, log_priorities[level],
	                    "time=%llu.%06llu level=%s vm=%s event=%s %s%s\n",
	                    (unsigned long long) (wall_ns / 1000000000u),
	                    (unsigned long long) (wall_ns / 1000u % 1000000u), log_level_names[level],
	                    log_vm_name, event, text, tail);
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
