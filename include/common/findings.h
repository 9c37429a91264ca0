/**
 * @file
 * Problems found by a check, with their place, collected and reported together.
 */
#pragma once

#include <stddef.h>
#include <stdio.h>

/** One problem. Strings are owned by the collection. */
struct finding
{
	char *source;  /**< File, "flag" or "environment". */
	char *subject; /**< Name of the setting or path in the document; may be empty. */
	unsigned line; /**< From 1; 0: no line. */
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

/** Adds a problem. @return 0 or -ENOMEM. */
int findings_add (struct findings *findings, const char *source, unsigned line, unsigned column,
                  const char *subject, const char *format, ...)
	__attribute__ ((format (printf, 6, 7)));

/** Prints one line a problem: source:line:column: subject: message. */
void findings_print (const struct findings *findings, FILE *stream);
