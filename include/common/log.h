/**
 * @file
 * Structured logging with log4c: one line of key=value pairs per event. A text that did not originate in the program's
 * source becomes a value through log_text(), so that it can neither end the line nor add a pair.
 */
#pragma once

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
	LOG_TEXT_BYTES = 256, /**< Size of a value from log_text(), with its NUL byte. */
	LOG_TEXTS = 8,        /**< Values that one line may use. */
};

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
 * Returns @p text as the value of a key=value pair. A text of printable ASCII characters other than blank, `"`, `=` and
 * `\` stays as it is. Any other text is enclosed in double quotes: `"` and `\` follow a `\`, line feed, carriage
 * return and tab are `\n`, `\r` and `\t`, and each byte that is no part of a printable UTF-8 character is `\xNN`. A text
 * that is too long is cut, and `+N` after the closing quote says how many of its bytes are missing. The empty text is
 * `""`.
 * @param text NULL: a missing value, `-`.
 * @return a string of the calling thread, valid until the thread has made LOG_TEXTS more.
 */
const char *log_text (const char *text);

/** As log_text(), for @p length bytes, which may include NUL bytes. */
const char *log_text_bytes (const char *text, size_t length);

/** As log_text(), but always in quotes, for texts that are usually sentences. */
const char *log_text_quoted (const char *text);

/**
 * Writes one line: event=EVENT followed by the formatted key=value pairs. Each event is written at
 * most LOG_BURST times per second and thread (LOG_STDOUT_BURST on standard output); the next line
 * then carries suppressed=N. The pairs are evaluated only for a line that is written. Control characters that are left
 * in the line are replaced by `?`; a line that is too long ends after a whole pair, and then with cut=1.
 */
#define log_event(level, event, ...)                                                               \
	(log_event_allowed ((level), (event)) ? log_event_write ((level), (event), __VA_ARGS__)        \
	                                      : (void) 0)

/** Counts a line. @return whether it is enabled and within its limit. Used by log_event() only. */
bool log_event_allowed (enum log_level level, const char *event);

/** Writes a line that log_event_allowed() has just counted. Used by log_event() only. */
void log_event_write (enum log_level level, const char *event, const char *format, ...)
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
