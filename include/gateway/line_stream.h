/**
 * @file
 * A TCP connection of lines in a loop: buffers, limits and silent-peer detection.
 */
#pragma once

#include "common/loop.h"
#include "gateway/statement.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct line_stream;

struct line_stream_ops
{
	/** Connected; only for connections opened here. */
	void (*handle_connected) (struct line_stream *stream);
	/** One line without its end. */
	void (*handle_line) (struct line_stream *stream, struct text line);
	/** Closed by the peer or by an error; the last callback. */
	void (*handle_closed) (struct line_stream *stream, int error);
};

struct line_stream
{
	const struct line_stream_ops *ops;
	struct loop *loop;
	struct loop_source source;
	GString *in;
	GString *out;
	size_t in_start;
	size_t max_line_bytes;
	bool is_connecting;
	bool is_closed;
	bool is_paused;   /**< Lines stay in the buffer. */
	bool is_handling; /**< Inside handle_line(). */
};

/** Takes an accepted socket. @return 0 or a negative error number. */
int line_stream_init (struct line_stream *stream, struct loop *loop,
                      const struct line_stream_ops *ops, int fd, size_t max_line_bytes);

/** Connects to an IPv4 address (host byte order) from @p source_ip. */
int line_stream_connect (struct line_stream *stream, struct loop *loop,
                         const struct line_stream_ops *ops, uint32_t ip, uint16_t port,
                         uint32_t source_ip, size_t max_line_bytes);

/** Closes without callbacks and frees the buffers. */
void line_stream_finish (struct line_stream *stream);

/** As line_stream_finish(), but resets the connection so that bytes on the way are dropped. */
void line_stream_abort (struct line_stream *stream);

/** Appends to stream->out, then call this. Errors arrive in handle_closed(), from the loop. */
void line_stream_flush (struct line_stream *stream);

/** Holds back or hands out lines; handing out may call handle_line() at once. */
void line_stream_set_paused (struct line_stream *stream, bool is_paused);
