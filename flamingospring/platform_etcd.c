#include "flamingospring/platform.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "flamingospring/platform_etcd_json.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

enum
{
	ETCD_MAX_BODY_BYTES = 64 * 1024 * 1024,
	ETCD_SOURCE_BYTES = 24,
	ETCD_URL_BYTES = 512,
	/* A watch whose connection died silently is found by TCP keep-alive after about 10 s. */
	ETCD_KEEPALIVE_IDLE_S = 5,
	ETCD_KEEPALIVE_INTERVAL_S = 2,
};

enum etcd_call_type
{
	ETCD_RANGE,
	ETCD_SWAP,
	ETCD_WATCH,
};

/** One request in flight, or one watch. */
struct etcd_call
{
	struct etcd_call *next;
	struct etcd_client *client;
	enum etcd_call_type type;
	CURL *easy;
	char *body;
	char *prefix; /* Watches only. */
	GByteArray *received;
	platform_handle_answer *handle;
	void *data;
	bool is_dropped; /* Its user does not want an answer any more. */
};

struct etcd_socket
{
	struct loop_source source;
	struct etcd_client *client;
};

struct etcd_client
{
	struct loop *loop;
	CURLM *multi;
	struct curl_slist *headers;
	struct loop_timer timer;
	struct loop_timer reap_timer; /* Removes dropped calls outside of libcurl's callbacks. */
	struct etcd_call *calls;
	char url[ETCD_URL_BYTES];
	char source[ETCD_SOURCE_BYTES]; /* Empty: the system's choice. */
	long timeout_ms;
};

static void etcd_collect (struct etcd_client *client);

static void
handle_socket_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct etcd_socket *socket = source->data;
	struct etcd_client *client = socket->client;
	int mask = 0;
	int running;

	if (epoll_events & (EPOLLIN | EPOLLHUP))
		mask |= CURL_CSELECT_IN;
	if (epoll_events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (epoll_events & EPOLLERR)
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action (client->multi, source->fd, mask, &running);
	etcd_collect (client);
}

static int
handle_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
	struct etcd_client *client = data;
	struct etcd_socket *socket = socket_data;
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
	struct etcd_client *client = timer->data;
	int running;

	(void) now_us;
	curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	etcd_collect (client);
}

static void
call_free (struct etcd_call *call)
{
	if (call->easy)
		curl_easy_cleanup (call->easy);
	if (call->received)
		g_byte_array_free (call->received, TRUE);
	g_free (call->body);
	free (call->prefix);
	free (call);
}

static void
handle_reap (struct loop_timer *timer, int64_t now_us)
{
	struct etcd_client *client = timer->data;
	struct etcd_call **link = &client->calls;

	(void) now_us;
	while (*link)
	{
		struct etcd_call *call = *link;

		if (!call->is_dropped)
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
	struct etcd_client *client = data;

	(void) multi;
	if (timeout_ms < 0)
		loop_cancel_timer (client->loop, &client->timer);
	else
		loop_set_timer (client->loop, &client->timer, clock_now_us () + timeout_ms * US_PER_MS);
	return 0;
}

static void
call_unlink (struct etcd_client *client, struct etcd_call *call)
{
	struct etcd_call **link = &client->calls;

	while (*link && *link != call)
		link = &(*link)->next;
	if (*link)
		*link = call->next;
}

static void
call_report_error (struct etcd_call *call, int error)
{
	struct platform_answer answer = { .error = error };

	counter_add (COUNTER_PLATFORM_ERRORS, 1);
	if (!call->is_dropped)
		call->handle (call->data, &answer);
}

/** Reports one event of a watch. @return false when the watch is over. */
static bool
watch_report (struct etcd_call *call, const char *line, size_t length)
{
	struct etcd_answer decoded;
	bool goes_on = true;
	int result;

	etcd_answer_init (&decoded);
	result = etcd_watch_decode (&decoded, line, length);
	if (result < 0 || decoded.is_cancelled)
	{
		call_report_error (call, result < 0 ? result : -ECONNRESET);
		call->is_dropped = true;
		goes_on = false;
	}
	else if (decoded.answer.count > 0 && !call->is_dropped)
		call->handle (call->data, &decoded.answer);
	etcd_answer_finish (&decoded);
	return goes_on;
}

/** Takes the whole lines off the stream of a watch. */
static bool
watch_take_lines (struct etcd_call *call)
{
	for (;;)
	{
		const char *start = (const char *) call->received->data;
		const char *end =
			call->received->len > 0 ? memchr (start, '\n', call->received->len) : NULL;
		size_t length = end ? (size_t) (end - start) : 0;

		if (!end)
			return true;
		if (length > 0 && !watch_report (call, start, length))
			return false;
		g_byte_array_remove_range (call->received, 0, (guint) length + 1);
	}
}

static size_t
handle_received (char *bytes, size_t size, size_t count, void *data)
{
	struct etcd_call *call = data;
	size_t length = size * count;

	counter_add (COUNTER_CONTROL_RECEIVED_BYTES, (int64_t) length);
	if (call->received->len + length > ETCD_MAX_BODY_BYTES)
		return 0;
	g_byte_array_append (call->received, (const guint8 *) bytes, (guint) length);
	if (call->type == ETCD_WATCH && !watch_take_lines (call))
		return 0;
	return length;
}

static int
error_of_curl (CURLcode code)
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

static void
call_complete (struct etcd_call *call, CURLcode code)
{
	struct etcd_answer decoded;
	int result = error_of_curl (code);

	if (call->is_dropped)
		return;
	if (result == 0 && call->type == ETCD_WATCH)
		result = -ECONNRESET;
	if (result < 0)
	{
		call_report_error (call, result);
		return;
	}
	etcd_answer_init (&decoded);
	if (call->type == ETCD_RANGE)
		result = etcd_range_decode (&decoded, (char *) call->received->data, call->received->len);
	else
		result = etcd_swap_decode (&decoded, (char *) call->received->data, call->received->len);
	if (result < 0)
		call_report_error (call, result);
	else
		call->handle (call->data, &decoded.answer);
	etcd_answer_finish (&decoded);
}

static void
etcd_collect (struct etcd_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read (client->multi, &left)))
	{
		struct etcd_call *call;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
		curl_multi_remove_handle (client->multi, call->easy);
		call_unlink (client, call);
		call_complete (call, code);
		call_free (call);
	}
}

static void
call_set_options (struct etcd_call *call, const char *path)
{
	char url[ETCD_URL_BYTES + 32];

	snprintf (url, sizeof url, "%s%s", call->client->url, path);
	curl_easy_setopt (call->easy, CURLOPT_URL, url);
	curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->client->headers);
	curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, handle_received);
	curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt (call->easy, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
	if (call->client->source[0])
		curl_easy_setopt (call->easy, CURLOPT_INTERFACE, call->client->source);
	curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPIDLE, (long) ETCD_KEEPALIVE_IDLE_S);
	curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPINTVL, (long) ETCD_KEEPALIVE_INTERVAL_S);
	curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, call->client->timeout_ms);
	if (call->type != ETCD_WATCH)
		curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, call->client->timeout_ms);
}

/** Sends a call; takes @p body. */
static int
call_start (struct etcd_client *client, enum etcd_call_type type, const char *path, char *body,
            const char *prefix, platform_handle_answer *handle, void *data)
{
	struct etcd_call *call = calloc (1, sizeof *call);
	int result = -ENOMEM;

	if (!call)
	{
		g_free (body);
		return -ENOMEM;
	}
	call->client = client;
	call->type = type;
	call->body = body;
	call->prefix = prefix ? strdup (prefix) : NULL;
	call->received = g_byte_array_new ();
	call->handle = handle;
	call->data = data;
	call->easy = curl_easy_init ();
	if (!call->easy || (prefix && !call->prefix))
		goto fail;
	call_set_options (call, path);
	if (curl_multi_add_handle (client->multi, call->easy) != CURLM_OK)
	{
		result = -EIO;
		goto fail;
	}
	call->next = client->calls;
	client->calls = call;
	counter_add (COUNTER_PLATFORM_CALLS, 1);
	counter_add (COUNTER_CONTROL_SENT_BYTES, (int64_t) strlen (call->body));
	return 0;

fail:
	call_free (call);
	return result;
}

static int
etcd_range (struct platform *platform, const char *prefix, uint64_t min_revision,
            platform_handle_answer *handle, void *data)
{
	return call_start (platform->client, ETCD_RANGE, "/v3/kv/range",
	                   etcd_range_body (prefix, min_revision), NULL, handle, data);
}

static int
etcd_swap (struct platform *platform, const char *key, uint64_t expected, const char *value,
           size_t value_length, platform_handle_answer *handle, void *data)
{
	return call_start (platform->client, ETCD_SWAP, "/v3/kv/txn",
	                   etcd_swap_body (key, expected, value, value_length), NULL, handle, data);
}

static void
etcd_unwatch (struct platform *platform, const char *prefix)
{
	struct etcd_client *client = platform->client;

	for (struct etcd_call *call = client->calls; call; call = call->next)
	{
		if (call->type != ETCD_WATCH || strcmp (call->prefix, prefix) != 0 || call->is_dropped)
			continue;
		/* Removed later: this may run inside a callback of libcurl, which forbids it. */
		call->is_dropped = true;
		loop_set_timer (client->loop, &client->reap_timer, clock_now_us ());
	}
}

static int
etcd_watch (struct platform *platform, const char *prefix, uint64_t revision,
            platform_handle_answer *handle, void *data)
{
	etcd_unwatch (platform, prefix);
	return call_start (platform->client, ETCD_WATCH, "/v3/watch",
	                   etcd_watch_body (prefix, revision), prefix, handle, data);
}

static void
etcd_finish (struct platform *platform)
{
	struct etcd_client *client = platform->client;

	while (client->calls)
	{
		struct etcd_call *call = client->calls;

		client->calls = call->next;
		curl_multi_remove_handle (client->multi, call->easy);
		call_free (call);
	}
	curl_multi_cleanup (client->multi);
	loop_cancel_timer (client->loop, &client->timer);
	loop_cancel_timer (client->loop, &client->reap_timer);
	curl_slist_free_all (client->headers);
	free (client);
	platform->client = NULL;
}

static const struct platform_ops etcd_ops = {
	.range = etcd_range,
	.swap = etcd_swap,
	.watch = etcd_watch,
	.unwatch = etcd_unwatch,
	.finish = etcd_finish,
};

int
platform_etcd_init (struct platform *platform, struct loop *loop, const char *url,
                    uint32_t source_ip, int64_t timeout_us)
{
	struct etcd_client *client = calloc (1, sizeof *client);

	if (!client)
		return -ENOMEM;
	curl_global_init (CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->timeout_ms = (long) (timeout_us / US_PER_MS);
	client->timer.handle_timer = handle_client_timer;
	client->timer.data = client;
	client->reap_timer.handle_timer = handle_reap;
	client->reap_timer.data = client;
	snprintf (client->url, sizeof client->url, "%s", url);
	if (source_ip)
		snprintf (client->source, sizeof client->source, "host!%u.%u.%u.%u", source_ip >> 24,
		          source_ip >> 16 & 255, source_ip >> 8 & 255, source_ip & 255);
	client->multi = curl_multi_init ();
	client->headers = curl_slist_append (NULL, "Content-Type: application/json");
	if (!client->multi || !client->headers)
	{
		free (client);
		return -ENOMEM;
	}
	curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, handle_socket);
	curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, handle_timer_change);
	curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
	platform->ops = &etcd_ops;
	platform->loop = loop;
	platform->client = client;
	return 0;
}
