#include "common/findings.h"

#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

void
findings_init (struct findings *findings)
{
	memset (findings, 0, sizeof *findings);
}

void
findings_finish (struct findings *findings)
{
	for (size_t i = 0; i < findings->count; i++)
	{
		free (findings->items[i].source);
		free (findings->items[i].subject);
		free (findings->items[i].message);
	}
	free (findings->items);
	findings_init (findings);
}

static int
findings_reserve (struct findings *findings)
{
	size_t capacity = findings->capacity ? findings->capacity * 2 : 8;
	struct finding *items;

	if (findings->count < findings->capacity)
		return 0;
	items = realloc (findings->items, capacity * sizeof *items);
	if (!items)
		return -ENOMEM;
	findings->items = items;
	findings->capacity = capacity;
	return 0;
}

int
findings_add (struct findings *findings, const char *source, unsigned line, unsigned column,
              const char *subject, const char *format, ...)
{
	struct finding finding = { .line = line, .column = column };
	char message[1024];
	va_list args;

	va_start (args, format);
	vsnprintf (message, sizeof message, format, args);
	va_end (args);

	finding.source = strdup (source);
	finding.subject = strdup (subject ? subject : "");
	finding.message = strdup (message);
	if (!finding.source || !finding.subject || !finding.message)
		goto fail;
	if (findings_reserve (findings) < 0)
		goto fail;
	findings->items[findings->count++] = finding;
	return 0;

fail:
	free (finding.source);
	free (finding.subject);
	free (finding.message);
	return -ENOMEM;
}

void
findings_print (const struct findings *findings, FILE *stream)
{
	for (size_t i = 0; i < findings->count; i++)
	{
		const struct finding *finding = &findings->items[i];

		fputs (finding->source, stream);
		if (finding->line)
			fprintf (stream, ":%u:%u", finding->line, finding->column);
		fputs (": ", stream);
		if (finding->subject[0])
			fprintf (stream, "%s: ", finding->subject);
		fprintf (stream, "%s\n", finding->message);
	}
}
