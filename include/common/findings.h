/**
 * @file
 * Diagnostics of a check with their source locations, collected to be reported together.
 */
#pragma once

#include <stddef.h>
#include <stdio.h>

/** One diagnostic. The collection owns the strings. */
struct finding
{
	char *source;  /**< File name, "flag" or "environment". */
	char *subject; /**< Name of the setting or path in the document; may be empty. */
	unsigned line; /**< Line number from 1; 0: none. */
	unsigned column;
	char *message;
};

struct findings
{
	struct finding *items;
	size_t count;
	size_t capacity;
};

void findings_init (struct findings *findings);
void findings_finish (struct findings *findings);

/** Adds a diagnostic. @return 0 or -ENOMEM. */
int findings_add (struct findings *findings, const char *source, unsigned line, unsigned column,
                  const char *subject, const char *format, ...)
	__attribute__ ((format (printf, 6, 7)));

/** Prints one line per diagnostic: source:line:column: subject: message. */
void findings_print (const struct findings *findings, FILE *stream);
