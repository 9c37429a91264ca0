#include "live_store.h"

#include "common/rpc.h"
#include "free_port.h"

#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	STORE_REQUEST_BYTES = 65536,
	/* Watches are answered without events after this time. */
	STORE_WATCH_MS = 200,
	STORE_POLL_MS = 10,
};

struct live_item
{
	char *value; /* Base64. */
	uint64_t revision;
};

struct store_call
{
	struct live_store *store;
	int fd;
};

static void
item_free (void *data)
{
	struct live_item *item = data;

	g_free (item->value);
	g_free (item);
}

static void
put_encoded (struct live_store *store, const char *key, const char *value)
{
	struct live_item *item = g_new0 (struct live_item, 1);

	item->value = g_strdup (value);
	item->revision = ++store->revision;
	g_hash_table_replace (store->items, g_strdup (key), item);
}

void
live_store_put (struct live_store *store, const char *key, const char *value)
{
	char *encoded = g_base64_encode ((const guchar *) value, strlen (value));

	g_mutex_lock (&store->mutex);
	put_encoded (store, key, encoded);
	g_mutex_unlock (&store->mutex);
	g_free (encoded);
}

static char *
find_parameter (const char *request, const char *name)
{
	const char *start = strstr (request, name);

	if (!start)
		return g_strdup ("");
	start += strlen (name);
	return g_uri_unescape_segment (start, start + strcspn (start, "& \r"), NULL);
}

static void
append_item (GString *body, const char *key, const struct live_item *item)
{
	g_string_append_printf (body,
	                        "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":1,"
	                        "\"lease\":0}",
	                        g_str_has_suffix (body->str, "[") ? "" : ",", key, item->value,
	                        (int) item->revision);
}

/** Items below a prefix that have changed since a revision. @return their number. */
static unsigned
append_changed (struct live_store *store, GString *body, const char *prefix, uint64_t after)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init (&iter, store->items);
	while (g_hash_table_iter_next (&iter, &key, &value))
	{
		const struct live_item *item = value;

		if (!g_str_has_prefix (key, prefix) || item->revision <= after)
			continue;
		append_item (body, key, item);
		count++;
	}
	return count;
}

static void
answer_list (struct live_store *store, const char *request, GString *body)
{
	char *prefix = find_parameter (request, "pathPrefix=");

	g_mutex_lock (&store->mutex);
	g_string_append (body, "{\"items\":[");
	append_changed (store, body, prefix, 0);
	g_string_append_printf (body, "],\"hasMore\":false,\"at\":%d}", (int) store->revision);
	g_mutex_unlock (&store->mutex);
	g_free (prefix);
}

static void
answer_watch (struct live_store *store, const char *request, GString *body)
{
	char *prefix = find_parameter (request, "pathPrefix=");
	char *after = find_parameter (request, "after=");
	unsigned count = 0;

	for (int wait_ms = 0; count == 0 && wait_ms < STORE_WATCH_MS; wait_ms += STORE_POLL_MS)
	{
		if (wait_ms > 0)
			g_usleep (STORE_POLL_MS * 1000);
		g_mutex_lock (&store->mutex);
		g_string_assign (body, "{\"events\":[");
		count = append_changed (store, body, prefix, g_ascii_strtoull (after, NULL, 10));
		g_string_append_printf (body, "],\"at\":%d}", (int) store->revision);
		g_mutex_unlock (&store->mutex);
	}
	g_free (prefix);
	g_free (after);
}

static bool
expects_present (struct live_store *store, JsonArray *expected)
{
	for (guint i = 0; expected && i < json_array_get_length (expected); i++)
	{
		JsonObject *row = json_array_get_object_element (expected, i);
		const char *key = json_object_get_string_member (row, "key");
		const struct live_item *item = g_hash_table_lookup (store->items, key);

		if ((item ? (gint64) item->revision : 0) != json_object_get_int_member (row, "revision"))
			return false;
	}
	return true;
}

static JsonArray *
find_array (JsonObject *call, const char *name)
{
	return json_object_has_member (call, name) ? json_object_get_array_member (call, name) : NULL;
}

static void
append_expected (struct live_store *store, JsonArray *expected, GString *body)
{
	g_string_append (body, "{\"items\":[");
	for (guint i = 0; i < json_array_get_length (expected); i++)
	{
		JsonObject *row = json_array_get_object_element (expected, i);
		const char *key = json_object_get_string_member (row, "key");
		const struct live_item *item = g_hash_table_lookup (store->items, key);

		if (item)
			append_item (body, key, item);
	}
	g_string_append (body, "]}");
}

/** Executes a conditional write. @return its status. */
static unsigned
answer_swap (struct live_store *store, const char *text, GString *body)
{
	JsonParser *parser = json_parser_new ();
	unsigned status = 400;
	JsonObject *call;
	JsonArray *rows;

	if (!json_parser_load_from_data (parser, text, -1, NULL))
		goto out;
	call = json_node_get_object (json_parser_get_root (parser));
	g_mutex_lock (&store->mutex);
	rows = find_array (call, "expected");
	if (!expects_present (store, rows))
	{
		append_expected (store, rows, body);
		status = 412;
		goto unlock;
	}
	rows = find_array (call, "writes");
	for (guint i = 0; rows && i < json_array_get_length (rows); i++)
	{
		JsonObject *row = json_array_get_object_element (rows, i);

		put_encoded (store, json_object_get_string_member (row, "key"),
		             json_object_get_string_member (row, "value"));
	}
	rows = find_array (call, "remove");
	for (guint i = 0; rows && i < json_array_get_length (rows); i++)
		g_hash_table_remove (store->items, json_array_get_string_element (rows, i));
	g_string_append_printf (body, "{\"revision\":%d}", (int) store->revision);
	status = 200;
unlock:
	g_mutex_unlock (&store->mutex);
out:
	g_object_unref (parser);
	return status;
}

/** Reads a request with its body. @return false when the connection ended before. */
static bool
read_request (int fd, char *request)
{
	size_t length = 0;

	for (;;)
	{
		ssize_t count = recv (fd, request + length, STORE_REQUEST_BYTES - 1 - length, 0);
		const char *end;
		const char *header;

		if (count <= 0)
			return false;
		length += (size_t) count;
		request[length] = '\0';
		end = strstr (request, "\r\n\r\n");
		if (!end)
			continue;
		header = strstr (request, "Content-Length: ");
		if (!header || header > end ||
		    strlen (end + 4) >= g_ascii_strtoull (header + strlen ("Content-Length: "), NULL, 10))
			return true;
	}
}

static void *
answer_call (void *data)
{
	struct store_call *call = data;
	struct live_store *store = call->store;
	char *request = g_malloc (STORE_REQUEST_BYTES);
	GString *body = g_string_new (NULL);
	unsigned status = 200;
	char *text;
	ssize_t sent;

	if (!read_request (call->fd, request))
		goto out;
	if (strstr (request, " /kv-range"))
		answer_list (store, request, body);
	else if (strstr (request, " /kv-watch"))
		answer_watch (store, request, body);
	else
		status = answer_swap (store, strstr (request, "\r\n\r\n") + 4, body);
	text =
		g_strdup_printf ("HTTP/1.1 %u X\r\nContent-Type: application/json\r\nConnection: close\r\n"
	                     "Content-Length: %zu\r\n\r\n%s",
	                     status, body->len, body->str);
	sent = send (call->fd, text, strlen (text), MSG_NOSIGNAL);
	(void) sent;
	g_free (text);
out:
	close (call->fd);
	g_string_free (body, TRUE);
	g_free (request);
	g_free (call);
	g_atomic_int_add (&store->connections, -1);
	return NULL;
}

static void *
live_store_main (void *data)
{
	struct live_store *store = data;
	int fd;

	while ((fd = accept (store->listener, NULL, NULL)) >= 0)
	{
		struct store_call *call = g_new0 (struct store_call, 1);

		*call = (struct store_call){ store, fd };
		g_atomic_int_inc (&store->connections);
		g_thread_unref (g_thread_new ("call", answer_call, call));
	}
	return NULL;
}

void
live_store_start (struct live_store *store)
{
	memset (store, 0, sizeof *store);
	g_mutex_init (&store->mutex);
	store->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, item_free);
	store->revision = 1;
	store->port = free_port ();
	store->listener = rpc_listen (INADDR_LOOPBACK, store->port);
	g_assert_cmpint (store->listener, >=, 0);
	/* Its thread needs a blocking accept(). */
	g_assert_cmpint (fcntl (store->listener, F_SETFL, 0), ==, 0);
	store->thread = g_thread_new ("store", live_store_main, store);
}

void
live_store_stop (struct live_store *store)
{
	shutdown (store->listener, SHUT_RDWR);
	g_thread_join (store->thread);
	while (g_atomic_int_get (&store->connections) > 0)
		g_usleep (STORE_POLL_MS * 1000);
	close (store->listener);
	g_hash_table_destroy (store->items);
	g_mutex_clear (&store->mutex);
}
