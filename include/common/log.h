/**
 * @file
 * Structured logging with log4c: one line of key=value pairs per event.
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

/** Opens the log on standard output. Writing never blocks: lines that the reader does not take in time are
 * dropped and counted. @return 0 or -EIO. */
int log_init_stdout (enum log_level level, const char *vm_name);
void log_finish (void);

/**
 * Writes one line: event=EVENT followed by the formatted key=value pairs. Each event is written at
 * most LOG_BURST times per second and thread (LOG_STDOUT_BURST on standard output); the next line
 * then carries suppressed=N.
 */
void log_event (enum log_level level, const char *event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** Classes of log lines about requests; each has its own limit of lines per second and thread. */
enum log_request_class
{
	LOG_REQUEST_FAILED,
	LOG_REQUEST_SLOW,
	LOG_REQUEST_DONE,
	LOG_REQUEST_CLASS_COUNT,
};

/** Counts a line about a request; failures have the highest limit. Call it before formatting the line, then
 * write the line with log_request(). @return whether the line is within the limit of its class. */
bool log_request_allowed (enum log_request_class log_class);
void log_request (enum log_request_class log_class, const char *event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** Parses "error", "warn", "info" or "debug". @return 0 or -EINVAL. */
int log_level_parse (const char *text, enum log_level *level);
