#include "gateway/line_stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	STREAM_READ_BYTES = 16384,
	/* A peer that acknowledges nothing for this long is considered dead. The platform's servers drop unreachable peers
	 * after 3 s as well. */
	STREAM_USER_TIMEOUT_MS = 3000,
};

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

/** Passes complete lines to handle_line(). @return false when the stream was closed or finished by a callback. */
static bool
stream_deliver_lines (struct line_stream *stream)
{
	while (!stream->is_closed && !stream->is_paused)
	{
		const char *start = stream->in->str + stream->in_start;
		size_t length = stream->in->len - stream->in_start;
		const char *end = length > 0 ? memchr (start, '\n', length) : NULL;
		struct text line;

		if (!end)
			break;
		line = (struct text){ start, (size_t) (end - start) };
		stream->in_start += line.length + 1;
		if (line.length > 0 && line.start[line.length - 1] == '\r')
			line.length--;
		stream->is_handling = true;
		stream->ops->handle_line (stream, line);
		stream->is_handling = false;
	}
	if (stream->is_closed)
		return false;
	if (stream->in_start == stream->in->len)
	{
		g_string_truncate (stream->in, 0);
		stream->in_start = 0;
	}
	else if (stream->in_start > STREAM_READ_BYTES)
	{
		g_string_erase (stream->in, 0, (gssize) stream->in_start);
		stream->in_start = 0;
	}
	return true;
}

static void
stream_read (struct line_stream *stream)
{
	char buffer[STREAM_READ_BYTES];
	ssize_t count = recv (stream->source.fd, buffer, sizeof buffer, 0);

	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0)
	{
		stream_close (stream, count < 0 ? -errno : 0);
		return;
	}
	g_string_append_len (stream->in, buffer, count);
	if (!stream_deliver_lines (stream))
		return;
	if (stream->in->len - stream->in_start > stream->max_line_bytes)
		stream_close (stream, -EMSGSIZE);
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
		line_stream_flush (stream);
	if (epoll_events & (EPOLLIN | EPOLLERR | EPOLLHUP))
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
	uint32_t events = EPOLLIN;

	if (stream->is_closed || stream->is_connecting)
		return;
	if (stream->out->len > 0)
	{
		ssize_t sent = send (stream->source.fd, stream->out->str, stream->out->len, MSG_NOSIGNAL);

		if (sent > 0)
			g_string_erase (stream->out, 0, sent);
		else if (sent < 0 && errno != EAGAIN && errno != EINTR)
		{
			/* The next read reports the error from the loop. */
			shutdown (stream->source.fd, SHUT_RDWR);
			g_string_truncate (stream->out, 0);
		}
	}
	if (stream->out->len > 0)
		events |= EPOLLOUT;
	loop_set_source (stream->loop, &stream->source, events);
}

void
line_stream_set_paused (struct line_stream *stream, bool is_paused)
{
	stream->is_paused = is_paused;
	if (!is_paused && !stream->is_handling && !stream->is_closed)
		stream_deliver_lines (stream);
}
