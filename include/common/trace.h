/**
 * @file
 * Distributed tracing: one span per hop, W3C trace context, output as OTLP/JSON lines.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	TRACEPARENT_BYTES = 56, /**< "00-" trace "-" span "-" flags and the final 0. */
};

struct trace_context
{
	uint64_t trace_high;
	uint64_t trace_low;
	uint64_t span;
	bool is_sampled;
};

struct trace_span
{
	struct trace_context context;
	uint64_t parent;
	const char *name; /**< Static string: accept, route, peer, admission, upstream, acknowledge. */
	uint64_t start_wall_ns;
	int64_t start_us;
};

/** Opens the exporter: @p path is "-" for standard error, a file, or NULL for none.
 * @p sample_per_million: number of sampled traces per million new ones.
 * @return 0 or a negative error number. */
int trace_init (const char *path, uint32_t sample_per_million, const char *vm_name);
void trace_finish (void);

/** Reads a traceparent header, or starts a new trace when it is NULL or malformed. */
struct trace_context trace_context_parse (const char *traceparent, uint64_t random);
void trace_context_format (const struct trace_context *context, char text[TRACEPARENT_BYTES]);

/** Starts a child span of @p parent. */
struct trace_span trace_span_start (const struct trace_context *parent, const char *name,
                                    uint64_t random);

/** Ends a span; @p detail (may be NULL) becomes its attribute "detail". */
void trace_span_end (const struct trace_span *span, const char *detail);

/** Copies the latest sampled spans as JSON lines into @p text. @return the bytes written without the final 0. */
size_t trace_recent (char *text, size_t capacity);
