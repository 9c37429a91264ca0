/**
 * @file
 * Structured logs on log4c: one line an event, key=value.
 */
#pragma once

#include <stdarg.h>
#include <stdbool.h>

enum log_level
{
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/** Opens the log on standard error. @return 0 or -EIO. */
int log_init (enum log_level level, const char *vm_name);

/** Opens the log on standard output, which never blocks the process: lines that the reader does not take
 * are dropped and counted. @return 0 or -EIO. */
int log_init_stdout (enum log_level level, const char *vm_name);
void log_finish (void);

/**
 * Writes one line: event=EVENT followed by the formatted key=value pairs. The same event is written
 * at most LOG_BURST times a second per thread; the next line then carries suppressed=N.
 */
void log_event (enum log_level level, const char *event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** What a line about a request tells; each has its own budget of lines a second and thread. */
enum log_request_class
{
	LOG_REQUEST_FAILED,
	LOG_REQUEST_SLOW,
	LOG_REQUEST_DONE,
	LOG_REQUEST_CLASS_COUNT,
};

/** A line about one request is within its budget; failures have the largest. Call it before the line is
 * composed, then write it with log_request(). */
bool log_request_allowed (enum log_request_class log_class);
void log_request (enum log_request_class log_class, const char *event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** Parses "error", "warn", "info" or "debug". @return 0 or -EINVAL. */
int log_level_parse (const char *text, enum log_level *level);
