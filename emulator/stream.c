#include "emulator/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	READ_BYTES = 65536,
	LISTEN_BACKLOG = 256,
};

static void
handle_closed_timer (struct loop_timer *timer, int64_t now_us)
{
	struct stream *stream = timer->data;

	(void) now_us;
	stream->ops->handle_closed (stream);
}

void
stream_close (struct stream *stream)
{
	if (stream->is_closed)
		return;
	stream->is_closed = true;
	loop_remove_source (stream->loop, &stream->source);
	close (stream->source.fd);
	loop_set_timer (stream->loop, &stream->closed_timer, 0);
}

void
stream_finish (struct stream *stream)
{
	stream_close (stream);
	loop_cancel_timer (stream->loop, &stream->closed_timer);
	g_byte_array_unref (stream->in);
	g_byte_array_unref (stream->out);
}

void
stream_flush (struct stream *stream)
{
	if (stream->is_closed || stream->is_connecting)
		return;
	while (stream->out->len > 0)
	{
		ssize_t sent = send (stream->source.fd, stream->out->data, stream->out->len, MSG_NOSIGNAL);

		if (sent < 0 && errno == EAGAIN)
			break;
		if (sent < 0)
		{
			stream_close (stream);
			return;
		}
		g_byte_array_remove_range (stream->out, 0, (guint) sent);
	}
	loop_set_source (stream->loop, &stream->source, EPOLLIN | (stream->out->len ? EPOLLOUT : 0));
}

void
stream_consume (struct stream *stream, size_t bytes)
{
	g_byte_array_remove_range (stream->in, 0, (guint) bytes);
}

static void
stream_read (struct stream *stream)
{
	guint8 buffer[READ_BYTES];
	ssize_t count;
	bool has_input = false;

	while ((count = recv (stream->source.fd, buffer, sizeof buffer, 0)) > 0)
	{
		g_byte_array_append (stream->in, buffer, (guint) count);
		has_input = true;
	}
	bool is_ended = count == 0 || errno != EAGAIN;

	if (has_input)
		stream->ops->handle_input (stream);
	if (is_ended)
		stream_close (stream);
}

static void
stream_end_connect (struct stream *stream)
{
	int error = 0;
	socklen_t length = sizeof error;

	getsockopt (stream->source.fd, SOL_SOCKET, SO_ERROR, &error, &length);
	if (error)
	{
		stream_close (stream);
		return;
	}
	stream->is_connecting = false;
	if (stream->ops->handle_connected)
		stream->ops->handle_connected (stream);
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct stream *stream = source->data;

	if (stream->is_connecting)
		stream_end_connect (stream);
	if (!stream->is_closed && (epoll_events & EPOLLOUT))
		stream_flush (stream);
	if (!stream->is_closed && (epoll_events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		stream_read (stream);
}

static void
stream_prepare (struct stream *stream, struct loop *loop, const struct stream_ops *ops, int fd)
{
	int one = 1;

	memset (stream, 0, sizeof *stream);
	stream->ops = ops;
	stream->loop = loop;
	stream->source.fd = fd;
	stream->source.data = stream;
	stream->source.handle_ready = handle_ready;
	stream->closed_timer.data = stream;
	stream->closed_timer.handle_timer = handle_closed_timer;
	stream->in = g_byte_array_new ();
	stream->out = g_byte_array_new ();
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

void
stream_init (struct stream *stream, struct loop *loop, const struct stream_ops *ops, int fd)
{
	stream_prepare (stream, loop, ops, fd);
	loop_set_source (loop, &stream->source, EPOLLIN);
}

void
stream_connect (struct stream *stream, struct loop *loop, const struct stream_ops *ops,
                const struct sockaddr_in *address, const struct sockaddr_in *source)
{
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	stream_prepare (stream, loop, ops, fd);
	stream->is_connecting = true;
	if ((source && bind (fd, (const struct sockaddr *) source, sizeof *source) < 0) ||
	    (connect (fd, (const struct sockaddr *) address, sizeof *address) < 0 &&
	     errno != EINPROGRESS))
	{
		stream_close (stream);
		return;
	}
	loop_set_source (loop, &stream->source, EPOLLOUT);
}

static void
handle_listener_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct listener *listener = source->data;
	int fd;

	(void) epoll_events;
	/* cppcheck-suppress nullPointer; the address arguments may be NULL. */
	while ((fd = accept4 (source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		listener->handle_accept (listener->owner, fd);
}

int
listener_init (struct listener *listener, struct loop *loop, const struct sockaddr_in *address,
               void (*handle_accept) (void *owner, int fd), void *owner)
{
	int one = 1;
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -errno;
	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (bind (fd, (const struct sockaddr *) address, sizeof *address) < 0 ||
	    listen (fd, LISTEN_BACKLOG) < 0)
	{
		int error = errno;

		close (fd);
		return -error;
	}
	memset (listener, 0, sizeof *listener);
	listener->source.fd = fd;
	listener->source.data = listener;
	listener->source.handle_ready = handle_listener_ready;
	listener->handle_accept = handle_accept;
	listener->owner = owner;
	return loop_set_source (loop, &listener->source, EPOLLIN);
}

int
stream_parse_address (const char *text, struct sockaddr_in *address)
{
	char **parts = g_strsplit (text, ":", 2);
	int result = -EINVAL;

	memset (address, 0, sizeof *address);
	address->sin_family = AF_INET;
	if (parts[0] && parts[1] && inet_pton (AF_INET, parts[0], &address->sin_addr) == 1)
	{
		address->sin_port = htons ((uint16_t) strtoul (parts[1], NULL, 10));
		result = 0;
	}
	g_strfreev (parts);
	return result;
}
