#include "gateway/line_stream.h"

#include "platform/wire.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	STREAM_READ_BYTES = 16384,
	/* A peer that acknowledges nothing for this long is considered dead. The platform's servers drop unreachable peers
	 * after 3 s as well. */
	STREAM_USER_TIMEOUT_MS = 3000,
	/* Larger buffers are freed when they are empty. Usual messages are far smaller, so that they cause no allocation. */
	STREAM_KEPT_BYTES = 16384,
};

void
line_stream_release_buffer (GString *buffer)
{
	char *memory;

	if (buffer->allocated_len <= STREAM_KEPT_BYTES)
	{
		g_string_truncate (buffer, 0);
		return;
	}
	/* A GString never shrinks, so its memory is replaced. */
	memory = buffer->str;
	buffer->allocated_len = 64;
	buffer->str = g_malloc0 (buffer->allocated_len);
	buffer->len = 0;
	g_free (memory);
}

void
line_stream_set_budget (struct line_stream *stream, struct buffer_budget *budget)
{
	stream->budget = budget;
	line_stream_settle (stream);
}

void
line_stream_settle (struct line_stream *stream)
{
	size_t bytes = 0;

	if (!stream->budget)
		return;
	if (stream->in)
		bytes = stream->in->allocated_len + stream->out->allocated_len + stream->kernel_bytes;
	if (stream->in && stream->ops->count_bytes)
		bytes += stream->ops->count_bytes (stream);
	buffer_budget_charge (stream->budget, &stream->charged_bytes, bytes);
}

static size_t
unsent_bytes (const struct line_stream *stream)
{
	return stream->out->len - stream->out_start;
}

/** Whether lines stay in the buffer. */
static bool
is_held (const struct line_stream *stream)
{
	return stream->is_paused ||
	       (stream->bounds_output && unsent_bytes (stream) > STREAM_MAX_OUTPUT_BYTES);
}

void
line_stream_count_kernel_bytes (struct line_stream *stream)
{
	int received = 0;
	int sent = 0;

	if (stream->is_closed || !stream->budget)
		return;
	if ((stream->source.events & EPOLLIN) && unsent_bytes (stream) == 0 &&
	    stream->kernel_bytes == 0)
		return;
	ioctl (stream->source.fd, SIOCINQ, &received);
	ioctl (stream->source.fd, SIOCOUTQ, &sent);
	stream->kernel_bytes = (size_t) MAX (received, 0) + (size_t) MAX (sent, 0);
	line_stream_settle (stream);
}

bool
line_stream_has_input (const struct line_stream *stream)
{
	return !stream->is_closed && stream->in->len > stream->in_start;
}

bool
line_stream_owes (const struct line_stream *stream)
{
	if (stream->is_closed)
		return false;
	return unsent_bytes (stream) > 0 || (!stream->is_paused && stream->in->len > stream->in_start);
}

/** Waits for what can be done next. A stream that is not read still reports that its peer has closed. */
static void
stream_update_events (struct line_stream *stream)
{
	bool is_full = is_held (stream) && stream->in->len - stream->in_start >= STREAM_READ_BYTES;
	uint32_t events = is_full ? EPOLLRDHUP : EPOLLIN;

	if (unsent_bytes (stream) > 0)
		events |= EPOLLOUT;
	loop_set_source (stream->loop, &stream->source, events);
}

static void
stream_set_options (int fd)
{
	int one = 1;
	int timeout_ms = STREAM_USER_TIMEOUT_MS;

	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

static void
stream_close_socket (struct line_stream *stream)
{
	loop_cancel_timer (stream->loop, &stream->failure);
	loop_remove_source (stream->loop, &stream->source);
	if (stream->source.fd >= 0)
		close (stream->source.fd);
	stream->source.fd = -1;
	stream->is_closed = true;
}

static void
stream_close (struct line_stream *stream, int error)
{
	if (stream->is_closed)
		return;
	stream_close_socket (stream);
	stream->ops->handle_closed (stream, error);
}

/** Moves what is left of the input to a buffer of its size. */
static void
stream_drop_delivered (struct line_stream *stream)
{
	GString *in = g_string_new_len (stream->in->str + stream->in_start,
	                                (gssize) (stream->in->len - stream->in_start));

	g_string_free (stream->in, TRUE);
	stream->in = in;
	stream->in_scanned -= MIN (stream->in_scanned, stream->in_start);
	stream->in_start = 0;
}

/** Finds the end of the first undelivered line. @return NULL if it has not come. */
static const char *
find_line_end (struct line_stream *stream)
{
	size_t from = MAX (stream->in_scanned, stream->in_start);
	size_t length = stream->in->len - from;
	const char *end =
		length > 0 ? memmem (stream->in->str + from, length, WIRE_LINE_END, WIRE_LINE_END_BYTES)
				   : NULL;

	/* The last byte may be the first half of an end. */
	if (!end && length > 0)
		stream->in_scanned = stream->in->len - 1;
	return end;
}

/** Passes complete lines to handle_line(). @return false when the stream was closed or finished by a callback. */
static bool
stream_deliver_lines (struct line_stream *stream)
{
	while (!stream->is_closed && !is_held (stream))
	{
		const char *start = stream->in->str + stream->in_start;
		const char *end = find_line_end (stream);
		struct text line;

		if (!end)
			break;
		line = (struct text){ start, (size_t) (end - start) };
		if (line.length > stream->max_line_bytes)
		{
			stream_close (stream, -EMSGSIZE);
			break;
		}
		buffer_progress_end (&stream->progress);
		stream->in_start += line.length + WIRE_LINE_END_BYTES;
		stream->is_handling = true;
		stream->ops->handle_line (stream, line);
		stream->is_handling = false;
	}
	if (stream->is_closed)
		return false;
	if (stream->in_start == stream->in->len)
	{
		line_stream_release_buffer (stream->in);
		stream->in_start = 0;
		stream->in_scanned = 0;
	}
	else if (stream->in_start > STREAM_READ_BYTES)
	{
		stream_drop_delivered (stream);
	}
	return true;
}

/** @return whether something was read and the stream is still open. */
static bool
stream_read (struct line_stream *stream)
{
	char buffer[STREAM_READ_BYTES];
	ssize_t count;

	if (stream->ops->handle_reading)
		stream->ops->handle_reading (stream);
	if (stream->is_closed)
		return false;
	count = recv (stream->source.fd, buffer, sizeof buffer, 0);
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (count <= 0)
	{
		stream_close (stream, count < 0 ? -errno : 0);
		return false;
	}
	stream->moved_bytes += (uint64_t) count;
	if (stream->is_ended)
		return true;
	g_string_append_len (stream->in, buffer, count);
	if (!stream_deliver_lines (stream))
		return false;
	/* The first half of an end may follow the longest line. */
	if (stream->in->len - stream->in_start > stream->max_line_bytes + 1)
	{
		stream_close (stream, -EMSGSIZE);
		return false;
	}
	stream_update_events (stream);
	line_stream_settle (stream);
	return true;
}

bool
line_stream_read_all (struct line_stream *stream)
{
	/* A peer that sends faster than its lines are handled is not read for ever. */
	enum
	{
		MAX_READS = 64,
	};

	for (int i = 0; i < MAX_READS && !stream->is_closed && !is_held (stream); i++)
		if (!stream_read (stream))
			break;
	return !stream->is_closed && !is_held (stream);
}

/** Ends the output if all of it is sent. */
static void
stream_shut (struct line_stream *stream)
{
	if (!stream->is_ended || stream->is_shut || unsent_bytes (stream) > 0)
		return;
	stream->is_shut = true;
	shutdown (stream->source.fd, SHUT_WR);
}

void
line_stream_end (struct line_stream *stream)
{
	stream->is_ended = true;
	line_stream_release_buffer (stream->in);
	stream->in_start = 0;
	stream->in_scanned = 0;
	stream->is_paused = false;
	line_stream_flush (stream);
}

bool
line_stream_is_delivered (const struct line_stream *stream)
{
	int unacknowledged = 0;

	if (!stream->is_shut)
		return false;
	ioctl (stream->source.fd, SIOCOUTQ, &unacknowledged);
	return unacknowledged == 0;
}

static void
handle_connect_failure (struct loop_timer *timer, int64_t now_us)
{
	struct line_stream *stream = timer->data;

	(void) now_us;
	stream_close (stream, stream->connect_error);
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct line_stream *stream = source->data;

	if (stream->is_connecting && (epoll_events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
	{
		int error = 0;
		socklen_t length = sizeof error;

		getsockopt (source->fd, SOL_SOCKET, SO_ERROR, &error, &length);
		if (error != 0)
		{
			stream_close (stream, -error);
			return;
		}
		stream->is_connecting = false;
		stream->ops->handle_connected (stream);
		if (stream->is_closed)
			return;
		line_stream_flush (stream);
		return;
	}
	if (epoll_events & EPOLLOUT)
	{
		line_stream_flush (stream);
		/* Lines may have waited for the output to be sent. */
		if (!stream->is_closed && stream_deliver_lines (stream))
			stream_update_events (stream);
		if (stream->is_closed)
			return;
	}
	if (!(stream->source.events & EPOLLIN) && (epoll_events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP)))
		stream_close (stream, 0);
	else if (epoll_events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		stream_read (stream);
}

static void
stream_prepare (struct line_stream *stream, struct loop *loop, const struct line_stream_ops *ops,
                int fd, size_t max_line_bytes)
{
	memset (stream, 0, sizeof *stream);
	stream->ops = ops;
	stream->loop = loop;
	stream->max_line_bytes = max_line_bytes;
	stream->source.fd = fd;
	stream->source.data = stream;
	stream->source.handle_ready = handle_ready;
	stream->failure.data = stream;
	stream->failure.handle_timer = handle_connect_failure;
	stream->in = g_string_new (NULL);
	stream->out = g_string_new (NULL);
}

int
line_stream_init (struct line_stream *stream, struct loop *loop, const struct line_stream_ops *ops,
                  int fd, size_t max_line_bytes)
{
	int result;

	stream_prepare (stream, loop, ops, fd, max_line_bytes);
	stream_set_options (fd);
	result = loop_set_source (loop, &stream->source, EPOLLIN);
	if (result < 0)
		line_stream_finish (stream);
	return result;
}

/** Starts to connect. @return 0 or a negative error number. */
static int
stream_begin_connect (struct line_stream *stream, uint32_t ip, uint16_t port, uint32_t source_ip)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (source_ip) };
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -errno;
	stream->source.fd = fd;
	if (source_ip && bind (fd, (struct sockaddr *) &address, sizeof address) < 0)
		return -errno;
	address.sin_addr.s_addr = htonl (ip);
	address.sin_port = htons (port);
	if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0 && errno != EINPROGRESS)
		return -errno;
	stream_set_options (fd);
	return loop_set_source (stream->loop, &stream->source, EPOLLIN | EPOLLOUT);
}

void
line_stream_connect (struct line_stream *stream, struct loop *loop,
                     const struct line_stream_ops *ops, uint32_t ip, uint16_t port,
                     uint32_t source_ip, size_t max_line_bytes)
{
	stream_prepare (stream, loop, ops, -1, max_line_bytes);
	stream->is_connecting = true;
	stream->connect_error = stream_begin_connect (stream, ip, port, source_ip);
	if (stream->connect_error < 0)
		loop_set_timer (loop, &stream->failure, 0);
}

void
line_stream_finish (struct line_stream *stream)
{
	if (!stream->is_closed)
		stream_close_socket (stream);
	if (stream->in)
		g_string_free (stream->in, TRUE);
	if (stream->out)
		g_string_free (stream->out, TRUE);
	stream->in = NULL;
	stream->out = NULL;
	line_stream_settle (stream);
}

void
line_stream_abort (struct line_stream *stream)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (!stream->is_closed)
		setsockopt (stream->source.fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
	line_stream_finish (stream);
}

void
line_stream_flush (struct line_stream *stream)
{
	if (stream->is_closed || stream->is_connecting)
		return;
	if (unsent_bytes (stream) > 0)
	{
		ssize_t sent = send (stream->source.fd, stream->out->str + stream->out_start,
		                     unsent_bytes (stream), MSG_NOSIGNAL);

		if (sent > 0)
		{
			stream->moved_bytes += (uint64_t) sent;
			stream->out_start += (size_t) sent;
		}
		else if (sent < 0 && errno != EAGAIN && errno != EINTR)
		{
			/* The next read reports the error from the loop. */
			shutdown (stream->source.fd, SHUT_RDWR);
			stream->out_start = stream->out->len;
		}
	}
	if (unsent_bytes (stream) == 0)
	{
		line_stream_release_buffer (stream->out);
		stream->out_start = 0;
	}
	else if (stream->out_start >= unsent_bytes (stream))
	{
		/* Moves each byte at most once for each byte that was sent. */
		g_string_erase (stream->out, 0, (gssize) stream->out_start);
		stream->out_start = 0;
	}
	stream_shut (stream);
	stream_update_events (stream);
	line_stream_settle (stream);
}

void
line_stream_set_paused (struct line_stream *stream, bool is_paused)
{
	stream->is_paused = is_paused;
	if (!is_paused && !stream->is_handling && !stream->is_closed)
	{
		if (stream_deliver_lines (stream))
			stream_update_events (stream);
	}
}
