#include "flamingospring/platform.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/http_client.h"
#include "flamingospring/platform_etcd_json.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	ETCD_MAX_LINE_BYTES = 64 * 1024 * 1024,
	ETCD_URL_BYTES = 512,
};

enum etcd_call_type
{
	ETCD_RANGE,
	ETCD_SWAP,
	ETCD_WATCH,
};

/** One request in flight or one watch. */
struct etcd_call
{
	struct etcd_call *next;
	struct etcd_client *client;
	struct http_call *http;
	enum etcd_call_type type;
	char *prefix;         /* Prefix of a watch; NULL for other calls. */
	GByteArray *received; /* Bytes of the incomplete line of a watch; NULL for other calls. */
	platform_handle_answer *handle;
	void *data;
	bool is_reporting; /* The handler of a watch is running. */
	bool is_over;      /* The watch has reported an error or was removed. */
};

struct etcd_client
{
	struct http_client http;
	struct etcd_call *calls;
	char url[ETCD_URL_BYTES];
	long timeout_ms;
};

static void
call_free (struct etcd_call *call)
{
	if (call->received)
		g_byte_array_free (call->received, TRUE);
	free (call->prefix);
	free (call);
}

static void
call_unlink (struct etcd_call *call)
{
	struct etcd_call **link = &call->client->calls;

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
	call->handle (call->data, &answer);
}

/** Reports one answer of a watch. @return false when the watch is over. */
static bool
watch_report (struct etcd_call *call, const char *line, size_t length)
{
	struct etcd_answer decoded;
	int result;

	etcd_answer_init (&decoded);
	result = etcd_watch_decode (&decoded, line, length);
	if (result < 0 || decoded.is_cancelled)
	{
		call->is_over = true;
		call_report_error (call, result < 0 ? result : -ECONNRESET);
	}
	else if (decoded.answer.count > 0)
	{
		call->is_reporting = true;
		call->handle (call->data, &decoded.answer);
		call->is_reporting = false;
	}
	etcd_answer_finish (&decoded);
	return !call->is_over;
}

/** Reports the complete lines received by a watch. @return false when the watch is over. */
static bool
handle_watch_part (void *data, const char *bytes, size_t length)
{
	struct etcd_call *call = data;

	if (call->received->len + length > ETCD_MAX_LINE_BYTES)
		return false;
	g_byte_array_append (call->received, (const guint8 *) bytes, (guint) length);
	while (!call->is_over && call->received->len > 0)
	{
		const char *start = (const char *) call->received->data;
		const char *end = memchr (start, '\n', call->received->len);
		size_t line_length = end ? (size_t) (end - start) : 0;

		if (!end)
			return true;
		if (line_length > 0 && !watch_report (call, start, line_length))
			return false;
		g_byte_array_remove_range (call->received, 0, (guint) line_length + 1);
	}
	return !call->is_over;
}

static void
handle_result (void *data, const struct http_result *http)
{
	struct etcd_call *call = data;
	struct etcd_answer decoded;
	int result = http->error;

	call_unlink (call);
	if (call->is_over)
		goto out;
	if (result == 0 && (call->type == ETCD_WATCH || http->status >= 400))
		result = -ECONNRESET;
	if (result < 0)
	{
		call_report_error (call, result);
		goto out;
	}
	etcd_answer_init (&decoded);
	if (call->type == ETCD_RANGE)
		result = etcd_range_decode (&decoded, http->body, http->length);
	else
		result = etcd_swap_decode (&decoded, http->body, http->length);
	if (result < 0)
		call_report_error (call, result);
	else
	{
		decoded.answer.request_sent_us = http->request_sent_us;
		call->handle (call->data, &decoded.answer);
	}
	etcd_answer_finish (&decoded);
out:
	call_free (call);
}

/** Sends a call and takes ownership of @p body. */
static int
call_start (struct etcd_client *client, enum etcd_call_type type, const char *path, char *body,
            const char *prefix, platform_handle_answer *handle, void *data)
{
	struct etcd_call *call = calloc (1, sizeof *call);
	char url[ETCD_URL_BYTES + 32];
	struct http_request request = {
		.method = "POST",
		.url = url,
		.body = body,
		.timeout_ms = type == ETCD_WATCH ? 0 : client->timeout_ms,
		.handle_part = type == ETCD_WATCH ? handle_watch_part : NULL,
		.handle = handle_result,
		.data = call,
	};

	if (!call)
	{
		g_free (body);
		return -ENOMEM;
	}
	snprintf (url, sizeof url, "%s%s", client->url, path);
	call->client = client;
	call->type = type;
	call->prefix = g_strdup (prefix);
	call->received = type == ETCD_WATCH ? g_byte_array_new () : NULL;
	call->handle = handle;
	call->data = data;
	call->http = http_client_start (&client->http, &request);
	g_free (body);
	if (!call->http)
	{
		call_free (call);
		return -ENOMEM;
	}
	call->next = client->calls;
	client->calls = call;
	return 0;
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
	struct etcd_call **link = &client->calls;

	while (*link)
	{
		struct etcd_call *call = *link;

		/* A watch that is over or whose handler is running is freed when its request ends. */
		if (call->type == ETCD_WATCH && call->is_reporting && strcmp (call->prefix, prefix) == 0)
			call->is_over = true;
		if (call->type != ETCD_WATCH || call->is_over || strcmp (call->prefix, prefix) != 0)
		{
			link = &call->next;
			continue;
		}
		*link = call->next;
		http_call_cancel (call->http);
		call_free (call);
	}
}

static int
etcd_watch (struct platform *platform, const char *prefix, uint64_t revision,
            uint32_t idle_timeout_ms, platform_handle_answer *handle, void *data)
{
	etcd_unwatch (platform, prefix);
	return call_start (platform->client, ETCD_WATCH, "/v3/watch",
	                   etcd_watch_body (prefix, revision), prefix, handle, data);
}

static void
etcd_finish (struct platform *platform)
{
	struct etcd_client *client = platform->client;

	http_client_finish (&client->http);
	while (client->calls)
	{
		struct etcd_call *call = client->calls;

		client->calls = call->next;
		call_free (call);
	}
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
	int result;

	if (!client)
		return -ENOMEM;
	client->timeout_ms = (long) (timeout_us / US_PER_MS);
	snprintf (client->url, sizeof client->url, "%s", url);
	result = http_client_init (&client->http, loop, source_ip, client->timeout_ms);
	if (result < 0)
	{
		free (client);
		return result;
	}
	platform->ops = &etcd_ops;
	platform->loop = loop;
	platform->client = client;
	return 0;
}
