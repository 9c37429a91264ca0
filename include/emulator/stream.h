/**
 * @file
 * Buffered, non-blocking TCP socket and listener on an event loop.
 */
#pragma once

#include "common/loop.h"

#include <glib.h>
#include <netinet/in.h>

struct stream;

struct stream_ops
{
	/** New bytes are in stream->in; the handler consumes what it has processed. */
	void (*handle_input) (struct stream *stream);
	/** May be NULL. */
	void (*handle_connected) (struct stream *stream);
	/** Always called from the loop and as the last callback, so that the owner may free the stream. */
	void (*handle_closed) (struct stream *stream);
};

struct stream
{
	const struct stream_ops *ops;
	struct loop *loop;
	struct loop_source source;
	struct loop_timer closed_timer;
	bool is_connecting;
	bool is_closed;
	GByteArray *in;
	GByteArray *out;
};

struct listener
{
	struct loop_source source;
	void (*handle_accept) (void *owner, int fd);
	void *owner;
};

void stream_init (struct stream *stream, struct loop *loop, const struct stream_ops *ops, int fd);
/** @p source: local address to bind; NULL: chosen by the system. */
void stream_connect (struct stream *stream, struct loop *loop, const struct stream_ops *ops,
                     const struct sockaddr_in *address, const struct sockaddr_in *source);
void stream_finish (struct stream *stream);

/** Sends stream->out, as far as the socket accepts it now and the rest when it is writable. */
void stream_flush (struct stream *stream);

/** Closes the socket; the loop calls handle_closed() later. */
void stream_close (struct stream *stream);

/** Removes bytes from the start of stream->in. */
void stream_consume (struct stream *stream, size_t bytes);

/** @return 0 or a negative error number. */
int listener_init (struct listener *listener, struct loop *loop, const struct sockaddr_in *address,
                   void (*handle_accept) (void *owner, int fd), void *owner);

/** Parses IP:PORT. @return 0 or -EINVAL. */
int stream_parse_address (const char *text, struct sockaddr_in *address);
