/**
 * @file
 * Buffered TCP connection of a line-based protocol in an event loop, with a limit on line length and detection of dead
 * peers.
 */
#pragma once

#include "common/loop.h"
#include "decision/buffer_budget.h"
#include "gateway/statement.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct line_stream;

struct line_stream_ops
{
	/** Called when the connection is established; only after line_stream_connect(). */
	void (*handle_connected) (struct line_stream *stream);
	/** Called for each line, without its line end. */
	void (*handle_line) (struct line_stream *stream, struct text line);
	/** Called last, when the peer or an error has closed the connection. @param error 0 or a negative error number. */
	void (*handle_closed) (struct line_stream *stream, int error);
	/** Called before more is read; may close this and other connections. NULL: always allowed. */
	void (*handle_reading) (struct line_stream *stream);
	/** Bytes that the owner of the stream holds besides its buffers. NULL: none. */
	size_t (*count_bytes) (const struct line_stream *stream);
};

enum
{
	/** Lines are not delivered while more output than this is unsent. Larger than usual answers, so that it only delays
	 * peers that send ahead without reading. */
	STREAM_MAX_OUTPUT_BYTES = 64 * 1024,
};

struct line_stream
{
	const struct line_stream_ops *ops;
	struct loop *loop;
	struct loop_source source;
	GString *in;
	GString *out;
	size_t in_start;   /**< Offset of the first undelivered byte of @c in. */
	size_t in_scanned; /**< Offset below which no line end follows in_start. */
	size_t out_start;  /**< Offset of the first unsent byte of @c out. */
	size_t max_line_bytes;
	bool bounds_output;           /**< STREAM_MAX_OUTPUT_BYTES applies. */
	struct buffer_budget *budget; /**< NULL: the stream's bytes are not counted. */
	size_t charged_bytes;         /**< Charge in @c budget. */
	size_t kernel_bytes;          /**< Bytes in the socket's buffers, when last counted. */
	uint64_t moved_bytes;         /**< Received and sent since the start. */
	struct buffer_progress progress;
	struct loop_timer failure; /**< Reports a connect that failed at once. */
	int connect_error;
	bool is_connecting;
	bool is_closed;
	bool is_paused;   /**< Lines stay in the buffer. */
	bool is_handling; /**< handle_line() is running. */
	bool is_ended;    /**< What arrives is discarded, and the output ends when all of it is sent. */
	bool is_shut;     /**< The output has ended. */
};

/** Takes ownership of an accepted socket, which is closed on errors. @return 0 or a negative error number. */
int line_stream_init (struct line_stream *stream, struct loop *loop,
                      const struct line_stream_ops *ops, int fd, size_t max_line_bytes);

/**
 * Connects to an IPv4 address (host byte order). Every failure is reported through handle_closed(), from the loop, also
 * one that is known at once: the caller may be in the middle of a list that handle_closed() changes.
 * @param source_ip local address in host byte order; 0: any.
 */
void line_stream_connect (struct line_stream *stream, struct loop *loop,
                          const struct line_stream_ops *ops, uint32_t ip, uint16_t port,
                          uint32_t source_ip, size_t max_line_bytes);

/** Closes without callbacks and frees the buffers. */
void line_stream_finish (struct line_stream *stream);

/** As line_stream_finish(), but resets the connection, so that unsent data is dropped. */
void line_stream_abort (struct line_stream *stream);

/** Sends what was appended to stream->out. Errors are reported through handle_closed(), from the loop. */
void line_stream_flush (struct line_stream *stream);

/**
 * Reads what has arrived and passes complete lines on, as long as nothing holds them back. Must not be called by
 * handle_line(). @return whether no complete line is left; false when the stream is closed.
 */
bool line_stream_read_all (struct line_stream *stream);

/**
 * Ends the output after what is unsent, so that the peer receives all of it and then the end. Input is discarded; the peer
 * is expected to close the connection, which is reported as usual.
 */
void line_stream_end (struct line_stream *stream);

/** Whether the peer's system has received all output and its end. */
bool line_stream_is_delivered (const struct line_stream *stream);

/** Counts the stream's bytes in the account @p budget. */
void line_stream_set_budget (struct line_stream *stream, struct buffer_budget *budget);

/** Updates the stream's charge, after what the owner holds has changed. */
void line_stream_settle (struct line_stream *stream);

/** Counts the bytes in the socket's buffers, if the stream is not read or has unsent output. */
void line_stream_count_kernel_bytes (struct line_stream *stream);

/** Whether something has arrived that was not delivered. */
bool line_stream_has_input (const struct line_stream *stream);

/** Whether the peer has begun a line, which nothing keeps it from completing, or has not read what was sent to it. */
bool line_stream_owes (const struct line_stream *stream);

/** Empties a buffer, and frees its memory unless it is small. */
void line_stream_release_buffer (GString *buffer);

/** Pauses or resumes the delivery of lines. Resuming may call handle_line() before it returns. */
void line_stream_set_paused (struct line_stream *stream, bool is_paused);
