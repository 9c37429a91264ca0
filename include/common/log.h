/**
 * @file
 * Structured logs on log4c: one line an event, key=value.
 */
#pragma once

#include <stdarg.h>

enum log_level
{
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/** Opens the log on standard error. @return 0 or -EIO. */
int log_init (enum log_level level, const char *vm_name);
void log_finish (void);

/**
 * Writes one line: event=EVENT followed by the formatted key=value pairs. The same event is written
 * at most LOG_BURST times a second per thread; the next line then carries suppressed=N.
 */
void log_event (enum log_level level, const char *event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** Parses "error", "warn", "info" or "debug". @return 0 or -EINVAL. */
int log_level_parse (const char *text, enum log_level *level);
