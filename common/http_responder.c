#include "common/http_responder.h"

#include "common/clock.h"
#include "common/log.h"
#include "common/rpc.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
	RESPONDER_MAX_CONNECTIONS =
		64, /* Clients are the platform and monitoring tools, with about one request per second. */
	RESPONDER_IDLE_TIMEOUT_S = 5,
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

static void
responder_run (struct http_responder *responder)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run (responder->daemon);
	if (MHD_get_timeout (responder->daemon, &timeout_ms) == MHD_YES)
		loop_set_timer (responder->loop, &responder->timer,
		                clock_now_us () + (int64_t) timeout_ms * US_PER_MS);
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
	responder->loop = loop;
	http_responder_add (responder, path, answer);
	responder->data = data;
	responder->source.handle_ready = handle_ready;
	responder->source.data = responder;
	responder->timer.handle_timer = handle_timer;
	responder->timer.data = responder;
	responder->daemon =
		MHD_start_daemon (MHD_USE_EPOLL, 0, NULL, NULL, handle_access, responder,
	                      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
	                      (unsigned) RESPONDER_MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
	                      (unsigned) RESPONDER_IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	                      (size_t) RESPONDER_CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
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
