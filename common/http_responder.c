#include "common/http_responder.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/rpc.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	RESPONDER_IDLE_TIMEOUT_S = 5,
	/* Within this time a client has to send its whole request and to read the answer, so that clients that send a byte now
	 * and then do not keep the places of those that ask whether the VM is ready. */
	RESPONDER_TOTAL_US = 5 * US_PER_S,
	/* From this number on, the oldest connection is closed for each new one: a probe is answered in a few ms, also while
	 * other clients hold connections open. The rest is for those whose end libmicrohttpd has not seen yet. */
	RESPONDER_CROWDED = HTTP_RESPONDER_MAX_CONNECTIONS / 2,
	RESPONDER_CONNECTION_MEMORY_BYTES = 4096,
};

static enum MHD_Result
handle_access (void *data, struct MHD_Connection *connection, const char *url, const char *method,
               const char *version, const char *upload, size_t *upload_length, void **context)
{
	struct http_responder *responder = data;
	struct MHD_Response *response;
	enum MHD_Result result;
	unsigned status = MHD_HTTP_NOT_FOUND;
	GString *body = g_string_new (NULL);

	for (size_t i = 0; i < HTTP_RESPONDER_MAX_PAGES; i++)
	{
		const struct http_page *page = &responder->pages[i];

		if (page->path && strcmp (method, "GET") == 0 && strcmp (url, page->path) == 0)
			status = page->answer (responder->data, body);
	}
	response = MHD_create_response_from_buffer (body->len, body->str, MHD_RESPMEM_MUST_COPY);
	g_string_free (body, TRUE);
	if (!response)
		return MHD_NO;
	result = MHD_queue_response (connection, status, response);
	MHD_destroy_response (response);
	return result;
}

/** Ends a connection; libmicrohttpd sees its end and closes it. */
static void
connection_end (struct http_responder_connection *connection)
{
	counter_add (COUNTER_CLIENTS_CLOSED_HTTP, 1);
	connection->opened_us = INT64_MAX;
	shutdown (connection->fd, SHUT_RDWR);
}

/** The connection that was opened first, of those that were not ended; NULL: there is none. */
static struct http_responder_connection *
find_oldest (struct http_responder *responder)
{
	struct http_responder_connection *oldest = NULL;

	for (int i = 0; i < HTTP_RESPONDER_MAX_CONNECTIONS; i++)
	{
		struct http_responder_connection *connection = &responder->connections[i];

		if (connection->fd >= 0 && connection->opened_us < INT64_MAX &&
		    (!oldest || connection->opened_us < oldest->opened_us))
			oldest = connection;
	}
	return oldest;
}

static void
add_connection (struct http_responder *responder, int fd)
{
	if (responder->connection_count >= RESPONDER_CROWDED)
	{
		struct http_responder_connection *oldest = find_oldest (responder);

		if (oldest)
			connection_end (oldest);
	}
	for (int i = 0; i < HTTP_RESPONDER_MAX_CONNECTIONS; i++)
	{
		if (responder->connections[i].fd >= 0)
			continue;
		responder->connections[i] = (struct http_responder_connection){ fd, clock_now_us () };
		responder->connection_count++;
		return;
	}
}

static void
remove_connection (struct http_responder *responder, int fd)
{
	for (int i = 0; i < HTTP_RESPONDER_MAX_CONNECTIONS; i++)
	{
		if (responder->connections[i].fd != fd)
			continue;
		responder->connections[i].fd = -1;
		responder->connection_count--;
		return;
	}
}

static void
handle_connection (void *data, struct MHD_Connection *connection, void **context,
                   enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	(void) context;
	if (!info)
		return;
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		add_connection (data, info->connect_fd);
	else
		remove_connection (data, info->connect_fd);
}

/** Ends the connections whose time is over. @return when the next one's is; INT64_MAX: there is none. */
static int64_t
end_old_connections (struct http_responder *responder)
{
	int64_t now_us = clock_now_us ();
	struct http_responder_connection *oldest;

	while ((oldest = find_oldest (responder)))
	{
		if (now_us - oldest->opened_us < RESPONDER_TOTAL_US)
			return oldest->opened_us + RESPONDER_TOTAL_US;
		connection_end (oldest);
	}
	return INT64_MAX;
}

static void
responder_run (struct http_responder *responder)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;
	int64_t due_us;

	due_us = end_old_connections (responder);
	MHD_run (responder->daemon);
	if (MHD_get_timeout (responder->daemon, &timeout_ms) == MHD_YES)
		due_us = MIN (due_us, clock_now_us () + (int64_t) timeout_ms * US_PER_MS);
	if (due_us < INT64_MAX)
		loop_set_timer (responder->loop, &responder->timer, due_us);
	else
		loop_cancel_timer (responder->loop, &responder->timer);
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	responder_run (source->data);
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	responder_run (timer->data);
}

void
http_responder_add (struct http_responder *responder, const char *path,
                    unsigned (*answer) (void *data, GString *body))
{
	for (size_t i = 0; i < HTTP_RESPONDER_MAX_PAGES; i++)
		if (!responder->pages[i].path)
		{
			responder->pages[i] = (struct http_page){ path, answer };
			return;
		}
	g_assert_not_reached ();
}

int
http_responder_init (struct http_responder *responder, struct loop *loop, uint32_t ip,
                     uint16_t port, const char *path,
                     unsigned (*answer) (void *data, GString *body), void *data)
{
	const union MHD_DaemonInfo *info;
	int fd = rpc_listen (ip, port);

	memset (responder, 0, sizeof *responder);
	if (fd < 0)
		return fd;
	for (int i = 0; i < HTTP_RESPONDER_MAX_CONNECTIONS; i++)
		responder->connections[i].fd = -1;
	responder->loop = loop;
	http_responder_add (responder, path, answer);
	responder->data = data;
	responder->source.handle_ready = handle_ready;
	responder->source.data = responder;
	responder->timer.handle_timer = handle_timer;
	responder->timer.data = responder;
	responder->daemon = MHD_start_daemon (
		MHD_USE_EPOLL, 0, NULL, NULL, handle_access, responder, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned) HTTP_RESPONDER_MAX_CONNECTIONS,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned) RESPONDER_IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) RESPONDER_CONNECTION_MEMORY_BYTES,
		MHD_OPTION_NOTIFY_CONNECTION, handle_connection, responder, MHD_OPTION_END);
	if (!responder->daemon)
	{
		close (fd);
		return -EIO;
	}
	info = MHD_get_daemon_info (responder->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	responder->source.fd = info->epoll_fd;
	return loop_set_source (loop, &responder->source, EPOLLIN);
}

void
http_responder_finish (struct http_responder *responder)
{
	if (!responder->daemon)
		return;
	loop_remove_source (responder->loop, &responder->source);
	loop_cancel_timer (responder->loop, &responder->timer);
	MHD_stop_daemon (responder->daemon);
	responder->daemon = NULL;
}
