#include "common/http_client.h"

#include "common/clock.h"
#include "common/counters.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	HTTP_MAX_BODY_BYTES = 64 * 1024 * 1024,
	/* TCP keep-alive detects a dead connection after about 10 s. */
	HTTP_KEEPALIVE_IDLE_S = 5,
	HTTP_KEEPALIVE_INTERVAL_S = 2,
};

/** One request in flight. */
struct http_call
{
	struct http_call *next;
	struct http_client *client;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *received;
	http_handle_part *handle_part;
	http_handle_result *handle;
	void *data;
	int64_t request_sent_us;
	bool is_cancelled; /* Runs no callback; freed by handle_reap(). */
	bool is_unsent; /* Given up before the request was sent, since the connection was not idle. */
	bool is_repeated;
};

struct http_socket
{
	struct loop_source source;
	struct http_client *client;
};

static void http_client_complete_calls (struct http_client *client);

static void
handle_socket_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct http_socket *socket = source->data;
	struct http_client *client = socket->client;
	int mask = 0;
	int running;

	if (epoll_events & (EPOLLIN | EPOLLHUP))
		mask |= CURL_CSELECT_IN;
	if (epoll_events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (epoll_events & EPOLLERR)
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action (client->multi, source->fd, mask, &running);
	http_client_complete_calls (client);
}

static int
handle_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
	struct http_client *client = data;
	struct http_socket *socket = socket_data;
	uint32_t events = 0;

	(void) easy;
	if (what == CURL_POLL_REMOVE)
	{
		if (socket)
			loop_remove_source (client->loop, &socket->source);
		free (socket);
		curl_multi_assign (client->multi, fd, NULL);
		return 0;
	}
	if (!socket)
	{
		socket = calloc (1, sizeof *socket);
		if (!socket)
			return -1;
		socket->client = client;
		socket->source.fd = fd;
		socket->source.data = socket;
		socket->source.handle_ready = handle_socket_ready;
		curl_multi_assign (client->multi, fd, socket);
	}
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	return loop_set_source (client->loop, &socket->source, events) < 0 ? -1 : 0;
}

static void
handle_client_timer (struct loop_timer *timer, int64_t now_us)
{
	struct http_client *client = timer->data;
	int running;

	(void) now_us;
	curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	http_client_complete_calls (client);
}

static void
call_free (struct http_call *call)
{
	if (call->easy)
		curl_easy_cleanup (call->easy);
	curl_slist_free_all (call->headers);
	g_byte_array_free (call->received, TRUE);
	free (call);
}

static void
handle_reap (struct loop_timer *timer, int64_t now_us)
{
	struct http_client *client = timer->data;
	struct http_call **link = &client->calls;

	(void) now_us;
	while (*link)
	{
		struct http_call *call = *link;

		if (!call->is_cancelled)
		{
			link = &call->next;
			continue;
		}
		*link = call->next;
		curl_multi_remove_handle (client->multi, call->easy);
		call_free (call);
	}
}

static int
handle_timer_change (CURLM *multi, long timeout_ms, void *data)
{
	struct http_client *client = data;

	(void) multi;
	if (timeout_ms < 0)
		loop_cancel_timer (client->loop, &client->timer);
	else
		loop_set_timer (client->loop, &client->timer, clock_now_us () + timeout_ms * US_PER_MS);
	return 0;
}

static void
call_unlink (struct http_client *client, struct http_call *call)
{
	struct http_call **link = &client->calls;

	while (*link && *link != call)
		link = &(*link)->next;
	if (*link)
		*link = call->next;
}

static size_t
handle_received (char *bytes, size_t size, size_t count, void *data)
{
	struct http_call *call = data;
	size_t length = size * count;

	counter_add (COUNTER_CONTROL_RECEIVED_BYTES, (int64_t) length);
	if (call->is_cancelled)
		return 0;
	if (call->handle_part)
		return call->handle_part (call->data, bytes, length) ? length : 0;
	if (call->received->len + length > HTTP_MAX_BODY_BYTES)
		return 0;
	g_byte_array_append (call->received, (const guint8 *) bytes, (guint) length);
	return length;
}

const char *
http_result_find_header (const struct http_result *result, const char *name)
{
	struct curl_header *header;

	if (!result->easy ||
	    curl_easy_header (result->easy, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
		return NULL;
	return header->value;
}

static int
error_from_curl (CURLcode code)
{
	switch (code)
	{
	case CURLE_OK:
		return 0;
	case CURLE_OPERATION_TIMEDOUT:
		return -ETIMEDOUT;
	case CURLE_COULDNT_CONNECT:
		return -ECONNREFUSED;
	default:
		return -ECONNRESET;
	}
}

static curl_socket_t
handle_open_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
	struct http_client *client = data;
	int fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);

	(void) purpose;
	if (fd < 0)
		return CURL_SOCKET_BAD;
	g_array_append_val (client->sockets, fd);
	return fd;
}

static int
handle_close_socket (void *data, curl_socket_t fd)
{
	const struct http_client *client = data;

	for (guint i = 0; i < client->sockets->len; i++)
	{
		if (g_array_index (client->sockets, int, i) != fd)
			continue;
		g_array_remove_index_fast (client->sockets, i);
		break;
	}
	return close (fd);
}

/** @return the socket at a local port, or -1. */
static int
client_find_socket (const struct http_client *client, int port)
{
	for (guint i = 0; i < client->sockets->len; i++)
	{
		int fd = g_array_index (client->sockets, int, i);
		union
		{
			struct sockaddr any;
			struct sockaddr_in v4;
			struct sockaddr_in6 v6;
		} address = { 0 };
		socklen_t length = sizeof address;

		if (getsockname (fd, &address.any, &length) < 0)
			continue;
		if ((address.any.sa_family == AF_INET && ntohs (address.v4.sin_port) == port) ||
		    (address.any.sa_family == AF_INET6 && ntohs (address.v6.sin6_port) == port))
			return fd;
	}
	return -1;
}

/** Refuses a kept connection on which something has arrived since the last response: libcurl would take it for
 * the response to this request. */
static int
handle_before_request (void *data, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct http_call *call = data;
	int fd = client_find_socket (call->client, local_port);
	char byte;

	(void) remote_ip;
	(void) local_ip;
	(void) remote_port;
	if (fd < 0 || recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0)
		return CURL_PREREQFUNC_OK;
	call->is_unsent = true;
	return CURL_PREREQFUNC_ABORT;
}

/** Starts a call again on a new connection when its request was not sent. @return false otherwise. */
static bool
call_repeat (struct http_call *call)
{
	if (!call->is_unsent || call->is_repeated || call->is_cancelled)
		return false;
	call->is_unsent = false;
	call->is_repeated = true;
	curl_multi_remove_handle (call->client->multi, call->easy);
	curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
	return curl_multi_add_handle (call->client->multi, call->easy) == CURLM_OK;
}

static void
http_client_complete_calls (struct http_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read (client->multi, &left)))
	{
		struct http_call *call;
		struct http_result result = { 0 };

		if (message->msg != CURLMSG_DONE)
			continue;
		result.error = error_from_curl (message->data.result);
		curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
		curl_easy_getinfo (message->easy_handle, CURLINFO_RESPONSE_CODE, &result.status);
		if (call_repeat (call))
			continue;
		curl_multi_remove_handle (client->multi, call->easy);
		call_unlink (client, call);
		result.body = (const char *) call->received->data;
		result.length = call->received->len;
		result.request_sent_us = call->request_sent_us;
		result.easy = call->easy;
		if (!call->is_cancelled)
			call->handle (call->data, &result);
		call_free (call);
	}
}

/** Makes closing the socket reset the connection and discard unsent data. */
static int
handle_socket_options (void *data, curl_socket_t fd, curlsocktype purpose)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	(void) data;
	(void) purpose;
	return setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) < 0 ? CURL_SOCKOPT_ERROR
	                                                                          : CURL_SOCKOPT_OK;
}

static void
call_set_options (struct http_call *call, const struct http_request *request)
{
	curl_easy_setopt (call->easy, CURLOPT_URL, request->url);
	curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
	if (request->body)
		curl_easy_setopt (call->easy, CURLOPT_COPYPOSTFIELDS, request->body);
	curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, handle_received);
	curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETFUNCTION, handle_open_socket);
	curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETDATA, call->client);
	curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETFUNCTION, handle_close_socket);
	curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETDATA, call->client);
	curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, handle_before_request);
	curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
	if (call->client->source[0])
		curl_easy_setopt (call->easy, CURLOPT_INTERFACE, call->client->source);
	curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPIDLE, (long) HTTP_KEEPALIVE_IDLE_S);
	curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPINTVL, (long) HTTP_KEEPALIVE_INTERVAL_S);
	curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, call->client->connect_timeout_ms);
	if (request->timeout_ms > 0)
		curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
	if (!request->resets_connection)
		return;
	curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION, handle_socket_options);
}

struct http_call *
http_client_start (struct http_client *client, const struct http_request *request)
{
	struct http_call *call = calloc (1, sizeof *call);

	if (!call)
		return NULL;
	call->client = client;
	call->received = g_byte_array_new ();
	call->handle_part = request->handle_part;
	call->handle = request->handle;
	call->data = request->data;
	call->request_sent_us = clock_now_us ();
	if (request->body)
		call->headers = curl_slist_append (NULL, "Content-Type: application/json");
	for (size_t i = 0; request->headers && request->headers[i]; i++)
		call->headers = curl_slist_append (call->headers, request->headers[i]);
	call->easy = curl_easy_init ();
	if (!call->easy)
		goto fail;
	call_set_options (call, request);
	if (curl_multi_add_handle (client->multi, call->easy) != CURLM_OK)
		goto fail;
	call->next = client->calls;
	client->calls = call;
	counter_add (COUNTER_PLATFORM_CALLS, 1);
	if (request->body)
		counter_add (COUNTER_CONTROL_SENT_BYTES, (int64_t) strlen (request->body));
	return call;

fail:
	call_free (call);
	return NULL;
}

void
http_call_cancel (struct http_call *call)
{
	/* Removed by the timer: this may run inside a callback of libcurl, which forbids removal. */
	call->is_cancelled = true;
	loop_set_timer (call->client->loop, &call->client->reap_timer, clock_now_us ());
}

int
http_client_init (struct http_client *client, struct loop *loop, uint32_t source_ip,
                  long connect_timeout_ms)
{
	memset (client, 0, sizeof *client);
	curl_global_init (CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->connect_timeout_ms = connect_timeout_ms;
	client->timer.handle_timer = handle_client_timer;
	client->timer.data = client;
	client->reap_timer.handle_timer = handle_reap;
	client->reap_timer.data = client;
	if (source_ip)
		snprintf (client->source, sizeof client->source, "host!%u.%u.%u.%u", source_ip >> 24,
		          source_ip >> 16 & 255, source_ip >> 8 & 255, source_ip & 255);
	client->sockets = g_array_new (FALSE, FALSE, sizeof (int));
	client->multi = curl_multi_init ();
	if (!client->multi)
		return -ENOMEM;
	curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, handle_socket);
	curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, handle_timer_change);
	curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
	return 0;
}

void
http_client_finish (struct http_client *client)
{
	while (client->calls)
	{
		struct http_call *call = client->calls;

		client->calls = call->next;
		curl_multi_remove_handle (client->multi, call->easy);
		call_free (call);
	}
	if (client->multi)
		curl_multi_cleanup (client->multi);
	client->multi = NULL;
	if (client->sockets)
		g_array_free (client->sockets, TRUE);
	client->sockets = NULL;
	loop_cancel_timer (client->loop, &client->timer);
	loop_cancel_timer (client->loop, &client->reap_timer);
}
