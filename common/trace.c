#include "common/trace.h"

#include "common/clock.h"

#include <ck_pr.h>
#include <ck_spinlock.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

enum
{
	TRACE_RECENT = 256, /* Spans kept for trace_recent(). */
	TRACE_LINE_BYTES = 640,
	TRACE_PER_MILLION = 1000000,
};

/* Taken for sampled spans only; the others return earlier. */
static ck_spinlock_t trace_lock = CK_SPINLOCK_INITIALIZER;
static char trace_lines[TRACE_RECENT][TRACE_LINE_BYTES];
static unsigned trace_next;
static FILE *trace_stream;
static uint32_t trace_sample_per_million;
static char trace_vm[64] = "-";

int
trace_init (const char *path, uint32_t sample_per_million, const char *vm_name)
{
	trace_sample_per_million = sample_per_million;
	snprintf (trace_vm, sizeof trace_vm, "%s", vm_name);
	if (!path)
		return 0;
	if (strcmp (path, "-") == 0)
	{
		trace_stream = stderr;
		return 0;
	}
	trace_stream = fopen (path, "ae");
	return trace_stream ? 0 : -errno;
}

void
trace_finish (void)
{
	if (trace_stream && trace_stream != stderr)
		fclose (trace_stream);
	trace_stream = NULL;
}

struct trace_context
trace_context_parse (const char *traceparent, uint64_t random)
{
	struct trace_context context = { 0 };
	unsigned long long high;
	unsigned long long low;
	unsigned long long span;
	unsigned flags;

	if (traceparent &&
	    sscanf (traceparent, "00-%16llx%16llx-%16llx-%2x", &high, &low, &span, &flags) == 4 &&
	    (high | low) && span)
	{
		context.trace_high = high;
		context.trace_low = low;
		context.span = span;
		context.is_sampled = flags & 1;
		return context;
	}
	context.trace_high = random * 0x9e3779b97f4a7c15u + 1;
	context.trace_low = random ^ 0xd1b54a32d192ed03u;
	context.is_sampled = random % TRACE_PER_MILLION < trace_sample_per_million;
	return context;
}

void
trace_context_format (const struct trace_context *context, char text[TRACEPARENT_BYTES])
{
	snprintf (text, TRACEPARENT_BYTES, "00-%016llx%016llx-%016llx-%02x",
	          (unsigned long long) context->trace_high, (unsigned long long) context->trace_low,
	          (unsigned long long) context->span, context->is_sampled ? 1u : 0u);
}

struct trace_span
trace_span_start (const struct trace_context *parent, const char *name, uint64_t random)
{
	struct trace_span span = { .context = *parent, .parent = parent->span, .name = name };

	span.context.span = random ? random : 1;
	if (!parent->is_sampled)
		return span;
	span.start_wall_ns = clock_wall_ns ();
	span.start_us = clock_now_us ();
	return span;
}

static void
span_format (const struct trace_span *span, const char *detail, char line[TRACE_LINE_BYTES])
{
	uint64_t end_ns = span->start_wall_ns + (uint64_t) (clock_now_us () - span->start_us) * 1000;

	snprintf (
		line, TRACE_LINE_BYTES,
		"{\"resourceSpans\":[{\"resource\":{\"attributes\":[{\"key\":\"service.name\",\"value\":"
		"{\"stringValue\":\"flamingospring\"}},{\"key\":\"host.name\",\"value\":{\"stringValue\":"
		"\"%s\"}}]},\"scopeSpans\":[{\"spans\":[{\"traceId\":\"%016llx%016llx\",\"spanId\":"
		"\"%016llx\",\"parentSpanId\":\"%016llx\",\"name\":\"%s\",\"startTimeUnixNano\":\"%llu\","
		"\"endTimeUnixNano\":\"%llu\",\"attributes\":[{\"key\":\"detail\",\"value\":"
		"{\"stringValue\":\"%.64s\"}}]}]}]}]}\n",
		trace_vm, (unsigned long long) span->context.trace_high,
		(unsigned long long) span->context.trace_low, (unsigned long long) span->context.span,
		(unsigned long long) span->parent, span->name, (unsigned long long) span->start_wall_ns,
		(unsigned long long) end_ns, detail ? detail : "");
}

void
trace_span_end (const struct trace_span *span, const char *detail)
{
	char line[TRACE_LINE_BYTES];

	if (!span->context.is_sampled || !span->start_us)
		return;
	span_format (span, detail, line);
	ck_spinlock_lock (&trace_lock);
	memcpy (trace_lines[trace_next % TRACE_RECENT], line, sizeof line);
	trace_next++;
	ck_spinlock_unlock (&trace_lock);
	if (trace_stream)
		fputs (line, trace_stream);
}

size_t
trace_recent (char *text, size_t capacity)
{
	size_t length = 0;
	unsigned first;

	if (capacity == 0)
		return 0;
	text[0] = 0;
	ck_spinlock_lock (&trace_lock);
	first = trace_next > TRACE_RECENT ? trace_next - TRACE_RECENT : 0;
	for (unsigned i = first; i < trace_next; i++)
	{
		size_t line = strlen (trace_lines[i % TRACE_RECENT]);

		if (length + line >= capacity)
			break;
		memcpy (text + length, trace_lines[i % TRACE_RECENT], line + 1);
		length += line;
	}
	ck_spinlock_unlock (&trace_lock);
	return length;
}
