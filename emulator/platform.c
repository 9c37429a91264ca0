/* The platform's key-value service: the etcd v3 JSON API over HTTP, with call counters and fault injection.
 * The control address serves GET /counters and POST /fault, also during an outage. */
#include "common/clock.h"
#include "common/json_text.h"
#include "emulator/commands.h"
#include "emulator/stream.h"

#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
	TICK_MS = 5,
	FIRST_LEASE = 1000,
};

enum outage
{
	OUTAGE_NONE,
	OUTAGE_HANG,   /* Requests are read but not answered, and watches send nothing. */
	OUTAGE_REFUSE, /* The listening socket and all connections are closed. */
};

/* One version of a key. Watches read the history of all versions. */
struct version
{
	char *key;
	char *value; /* In base64; NULL: the key is deleted. */
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
	uint64_t lease;
};

struct lease
{
	int64_t ttl_s;
	int64_t expires_us; /* 0: expired. */
};

struct request
{
	struct MHD_Connection *connection;
	GString *body;
	int64_t due_us; /* Earliest time of the answer. */
	bool is_counted;
	bool is_dropped;
};

struct range
{
	char *start;
	char *end; /* Exclusive; "": only the key start. */
	uint64_t min_mod_revision;
	GPtrArray *found; /* Of struct version. */
};

struct watch
{
	struct MHD_Connection *connection;
	struct range range;
	guint next; /* Index of the next version in the history. */
	GString *pending;
	bool is_suspended;
	bool is_ended;
};

/* The process has one store and a single thread. */
static struct
{
	struct MHD_Daemon *daemon;
	uint64_t revision;
	GPtrArray *history; /* Of struct version. */
	GTree *keys;        /* Key to its latest struct version; deleted keys are absent. */
	GArray *leases;     /* Of struct lease; the id of element 0 is FIRST_LEASE. */
	uint64_t compacted;
	GPtrArray *watches;
	GPtrArray *requests; /* Suspended requests. */
	GHashTable *calls;   /* Path to its call count. */
	enum outage outage;
	int64_t slow_ms;
	int64_t lose_answers;
} store;

/** Reads a number that may be encoded as a string. @return 0 when it is absent. */
static uint64_t
member_number (JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member (object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE (node))
		return 0;
	if (json_node_get_value_type (node) == G_TYPE_STRING)
		return g_ascii_strtoull (json_node_get_string (node), NULL, 10);
	return (uint64_t) json_node_get_int (node);
}

static const char *
member_text (JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default (object, name, "");
}

/** Looks up an object by its protocol name or the lowerCamelCase form; etcd accepts both. */
static JsonObject *
member_object (JsonObject *object, const char *name, const char *camel_name)
{
	const char *present = json_object_has_member (object, name) ? name : camel_name;
	JsonNode *node = json_object_get_member (object, present);

	return node && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static GList *
member_elements (JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member (object, name);

	return node && JSON_NODE_HOLDS_ARRAY (node)
	           ? json_array_get_elements (json_node_get_array (node))
	           : NULL;
}

static char *
member_key (JsonObject *object, const char *name)
{
	gsize length;
	guchar *bytes = g_base64_decode (member_text (object, name), &length);
	/* A range_end of one zero byte selects all keys from the start on. */
	bool is_unbounded = length == 1 && bytes[0] == 0;
	char *key = is_unbounded ? g_strdup ("\xff") : g_strndup ((char *) bytes, length);

	g_free (bytes);
	return key;
}

static void
put_header (GString *out)
{
	g_string_append_printf (out,
	                        "{\"header\":{\"cluster_id\":\"1\",\"member_id\":\"1\",\"revision\":"
	                        "\"%lu\",\"raft_term\":\"1\"}",
	                        store.revision);
}

static void
put_version (GString *out, const struct version *version)
{
	char *key = g_base64_encode ((const guchar *) version->key, strlen (version->key));

	g_string_append_printf (out, "{\"key\":\"%s\",\"mod_revision\":\"%lu\"", key,
	                        version->mod_revision);
	g_free (key);
	if (version->value)
		g_string_append_printf (out,
		                        ",\"create_revision\":\"%lu\",\"version\":\"%lu\",\"value\":\"%s\"",
		                        version->create_revision, version->version, version->value);
	if (version->lease)
		g_string_append_printf (out, ",\"lease\":\"%lu\"", version->lease);
	g_string_append_c (out, '}');
}

static void
watches_resume (void)
{
	for (guint i = 0; i < store.watches->len; i++)
	{
		struct watch *watch = store.watches->pdata[i];

		if (watch->is_suspended)
			MHD_resume_connection (watch->connection);
		watch->is_suspended = false;
	}
}

/** Adds a version at the current revision. A @p value of NULL deletes the key. */
static void
store_set (const char *key, const char *value, uint64_t lease)
{
	const struct version *old = g_tree_lookup (store.keys, key);
	struct version *version = g_new0 (struct version, 1);

	version->key = g_strdup (key);
	version->value = g_strdup (value);
	version->lease = lease;
	version->mod_revision = store.revision;
	version->create_revision = old ? old->create_revision : store.revision;
	version->version = old ? old->version + 1 : 1;
	if (value)
		g_tree_replace (store.keys, version->key, version);
	else
		g_tree_remove (store.keys, key);
	g_ptr_array_add (store.history, version);
	watches_resume ();
}

static bool
range_contains (const struct range *range, const char *key)
{
	if (!range->end[0])
		return strcmp (key, range->start) == 0;
	return strcmp (key, range->start) >= 0 && strcmp (key, range->end) < 0;
}

static gboolean
range_collect (void *key, void *value, void *data)
{
	struct range *range = data;

	if (range_contains (range, key) &&
	    ((struct version *) value)->mod_revision >= range->min_mod_revision)
		g_ptr_array_add (range->found, value);
	return FALSE;
}

static void
range_init (struct range *range, JsonObject *body)
{
	range->start = member_key (body, "key");
	range->end = member_key (body, "range_end");
	range->min_mod_revision = member_number (body, "min_mod_revision");
	range->found = g_ptr_array_new ();
}

static void
range_finish (struct range *range)
{
	g_free (range->start);
	g_free (range->end);
	g_ptr_array_unref (range->found);
}

static void
run_range (JsonObject *body, GString *out)
{
	struct range range;

	range_init (&range, body);
	g_tree_foreach (store.keys, range_collect, &range);
	put_header (out);
	for (guint i = 0; i < range.found->len; i++)
	{
		g_string_append (out, i == 0 ? ",\"kvs\":[" : ",");
		put_version (out, range.found->pdata[i]);
	}
	if (range.found->len > 0)
		g_string_append_printf (out, "],\"count\":\"%u\"", range.found->len);
	g_string_append_c (out, '}');
	range_finish (&range);
}

static void
run_put (JsonObject *body, GString *out)
{
	char *key = member_key (body, "key");

	store_set (key, member_text (body, "value"), member_number (body, "lease"));
	g_free (key);
	put_header (out);
	g_string_append_c (out, '}');
}

static void
handle_put (JsonObject *body, GString *out)
{
	store.revision++;
	run_put (body, out);
}

static bool
compare_holds (JsonObject *compare)
{
	static const struct version none = { 0 };
	char *key = member_key (compare, "key");
	const struct version *found = g_tree_lookup (store.keys, key);
	const char *target = member_text (compare, "target");
	const char *result = member_text (compare, "result");
	uint64_t actual, expected;

	g_free (key);
	if (!found)
		found = &none;
	if (strcmp (target, "VALUE") == 0)
		return g_strcmp0 (found->value, member_text (compare, "value")) == 0;
	actual = found->version;
	if (strcmp (target, "MOD") == 0)
		actual = found->mod_revision;
	else if (strcmp (target, "CREATE") == 0)
		actual = found->create_revision;
	/* Only the member that matches the target is present. */
	expected = member_number (compare, "mod_revision") +
	           member_number (compare, "create_revision") + member_number (compare, "version");
	if (strcmp (result, "GREATER") == 0)
		return actual > expected;
	if (strcmp (result, "LESS") == 0)
		return actual < expected;
	return (actual == expected) != (strcmp (result, "NOT_EQUAL") == 0);
}

static const struct
{
	const char *name;
	const char *camel_name;
	const char *answer_name;
	void (*run) (JsonObject *body, GString *out);
} operations[] = {
	{ "request_range", "requestRange", "response_range", run_range },
	{ "request_put", "requestPut", "response_put", run_put },
};

static void
run_operation (JsonObject *operation, GString *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS (operations); i++)
	{
		JsonObject *body = member_object (operation, operations[i].name, operations[i].camel_name);

		if (!body)
			continue;
		g_string_append_printf (out, "{\"%s\":", operations[i].answer_name);
		operations[i].run (body, out);
		g_string_append_c (out, '}');
	}
}

static bool
operation_writes (JsonObject *operation)
{
	return !member_object (operation, operations[0].name, operations[0].camel_name);
}

static void
handle_txn (JsonObject *body, GString *out)
{
	GList *compares = member_elements (body, "compare");
	GList *steps;
	bool holds = true;
	bool writes = false;

	for (GList *i = compares; i; i = i->next)
		holds = holds && compare_holds (json_node_get_object (i->data));
	steps = member_elements (body, holds ? "success" : "failure");
	for (GList *i = steps; i; i = i->next)
		writes = writes || operation_writes (json_node_get_object (i->data));
	store.revision += writes;
	put_header (out);
	g_string_append_printf (out, "%s,\"responses\":[", holds ? ",\"succeeded\":true" : "");
	for (GList *i = steps; i; i = i->next)
	{
		run_operation (json_node_get_object (i->data), out);
		g_string_append (out, i->next ? "," : "");
	}
	g_string_append (out, "]}");
	g_list_free (compares);
	g_list_free (steps);
}

static void
handle_grant (JsonObject *body, GString *out)
{
	struct lease lease = { .ttl_s = (int64_t) member_number (body, "TTL") };

	lease.expires_us = clock_now_us () + lease.ttl_s * US_PER_S;
	g_array_append_val (store.leases, lease);
	put_header (out);
	g_string_append_printf (out, ",\"ID\":\"%u\",\"TTL\":\"%ld\"}",
	                        FIRST_LEASE + store.leases->len - 1, lease.ttl_s);
}

static void
handle_keepalive (JsonObject *body, GString *out)
{
	uint64_t id = member_number (body, "ID");
	struct lease *lease = NULL;

	if (id >= FIRST_LEASE && id - FIRST_LEASE < store.leases->len)
		lease = &g_array_index (store.leases, struct lease, id - FIRST_LEASE);
	g_string_append (out, "{\"result\":");
	put_header (out);
	g_string_append_printf (out, ",\"ID\":\"%lu\"", id);
	if (lease && lease->expires_us > 0)
	{
		lease->expires_us = clock_now_us () + lease->ttl_s * US_PER_S;
		g_string_append_printf (out, ",\"TTL\":\"%ld\"", lease->ttl_s);
	}
	g_string_append (out, "}}");
}

/** Resumes the suspended requests that are due; with @p drop, resumes all and closes them unanswered. */
static void
requests_resume (bool drop)
{
	for (guint i = store.requests->len; i > 0; i--)
	{
		struct request *request = store.requests->pdata[i - 1];

		if (!drop && (store.outage == OUTAGE_HANG || request->due_us > clock_now_us ()))
			continue;
		request->is_dropped = drop;
		g_ptr_array_remove_index_fast (store.requests, i - 1);
		MHD_resume_connection (request->connection);
	}
}

static void
handle_fault (JsonObject *body, GString *out)
{
	const char *outage = member_text (body, "outage");

	if (outage[0])
	{
		store.outage = strcmp (outage, "refuse") == 0 ? OUTAGE_REFUSE
		               : strcmp (outage, "hang") == 0 ? OUTAGE_HANG
		                                              : OUTAGE_NONE;
		requests_resume (true);
		watches_resume ();
	}
	if (json_object_has_member (body, "slow_ms"))
		store.slow_ms = (int64_t) member_number (body, "slow_ms");
	if (json_object_has_member (body, "lose_answers"))
		store.lose_answers = (int64_t) member_number (body, "lose_answers");
	if (json_object_has_member (body, "compaction"))
		store.compacted = store.revision;
	g_string_append (out, "{}");
}

static void
handle_counters (JsonObject *body, GString *out)
{
	GHashTableIter iter;
	void *path, *count;
	int sum = 0;

	g_string_append_c (out, '{');
	g_hash_table_iter_init (&iter, store.calls);
	while (g_hash_table_iter_next (&iter, &path, &count))
	{
		g_string_append_printf (out, "\"%s\":%d,", (char *) path, GPOINTER_TO_INT (count));
		sum += GPOINTER_TO_INT (count);
	}
	g_string_append_printf (out, "\"calls\":%d,\"waiting_watches\":%u,\"revision\":%lu}", sum,
	                        store.watches->len, store.revision);
}

static void
watch_put_events (struct watch *watch)
{
	const char *separator = ",\"events\":[";

	for (; watch->next < store.history->len; watch->next++)
	{
		const struct version *version = store.history->pdata[watch->next];

		if (!range_contains (&watch->range, version->key))
			continue;
		if (watch->pending->len == 0)
		{
			g_string_append (watch->pending, "{\"result\":");
			put_header (watch->pending);
		}
		g_string_append_printf (watch->pending, "%s{%s\"kv\":", separator,
		                        version->value ? "" : "\"type\":\"DELETE\",");
		put_version (watch->pending, version);
		g_string_append_c (watch->pending, '}');
		separator = ",";
	}
	if (watch->pending->len > 0)
		g_string_append (watch->pending, "]}}\n");
}

static ssize_t
handle_watch_read (void *data, uint64_t position, char *buffer, size_t capacity)
{
	struct watch *watch = data;
	size_t length;

	if (watch->pending->len == 0 && store.outage == OUTAGE_NONE && !watch->is_ended)
		watch_put_events (watch);
	length = MIN (watch->pending->len, capacity);
	memcpy (buffer, watch->pending->str, length);
	g_string_erase (watch->pending, 0, (gssize) length);
	if (length == 0 && (watch->is_ended || store.outage == OUTAGE_REFUSE))
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (length == 0)
	{
		watch->is_suspended = true;
		MHD_suspend_connection (watch->connection);
	}
	return (ssize_t) length;
}

static void
handle_watch_free (void *data)
{
	struct watch *watch = data;

	g_ptr_array_remove (store.watches, watch);
	g_string_free (watch->pending, TRUE);
	range_finish (&watch->range);
	g_free (watch);
}

static struct MHD_Response *
watch_start (struct MHD_Connection *connection, JsonObject *body)
{
	JsonObject *create = member_object (body, "create_request", "createRequest");
	struct watch *watch = g_new0 (struct watch, 1);
	uint64_t start = create ? member_number (create, "start_revision") : 0;

	watch->connection = connection;
	watch->pending = g_string_new ("{\"result\":");
	range_init (&watch->range, create ? create : body);
	watch->next = start ? 0 : store.history->len;
	while (watch->next < store.history->len &&
	       ((struct version *) store.history->pdata[watch->next])->mod_revision < start)
		watch->next++;
	put_header (watch->pending);
	g_string_append (watch->pending, ",\"created\":true}}\n");
	if (start > 0 && start <= store.compacted)
	{
		watch->is_ended = true;
		g_string_append (watch->pending, "{\"result\":");
		put_header (watch->pending);
		g_string_append_printf (
			watch->pending, ",\"canceled\":true,\"compact_revision\":\"%lu\"}}\n", store.compacted);
	}
	g_ptr_array_add (store.watches, watch);
	return MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 4096, handle_watch_read, watch,
	                                          handle_watch_free);
}

struct route
{
	const char *path;
	void (*handle) (JsonObject *body, GString *out); /* NULL: starts a watch. */
	bool is_control;                                 /* Not counted, and not subject to faults. */
};

static const struct route routes[] = {
	{ "/v3/kv/range", run_range, false },
	{ "/v3/kv/put", handle_put, false },
	{ "/v3/kv/txn", handle_txn, false },
	{ "/v3/lease/grant", handle_grant, false },
	{ "/v3/lease/keepalive", handle_keepalive, false },
	{ "/v3/watch", NULL, false },
	{ "/counters", handle_counters, true },
	{ "/fault", handle_fault, true },
};

static enum MHD_Result
request_answer (struct request *request, const struct route *route)
{
	JsonParser *parser = json_parser_new ();
	GString *out = g_string_new ("");
	struct MHD_Response *response = NULL;
	enum MHD_Result result = MHD_NO;
	unsigned status = MHD_HTTP_OK;
	JsonObject *object;

	if (request->body->len == 0)
		g_string_assign (request->body, "{}");
	object = json_load_object (parser, request->body->str, request->body->len);
	if (!route || !object)
	{
		status = MHD_HTTP_BAD_REQUEST;
		g_string_assign (out, "{\"error\":\"bad request\",\"code\":3,\"message\":\"bad request\"}");
	}
	else if (route->handle)
		route->handle (object, out);
	else
		response = watch_start (request->connection, object);
	if (!response)
		response = MHD_create_response_from_buffer (out->len, out->str, MHD_RESPMEM_MUST_COPY);
	/* lose_answers: the call took effect, and MHD_NO closes the connection without an answer. */
	if (route && route->handle && !route->is_control && store.lose_answers > 0)
		store.lose_answers--;
	else
		result = MHD_queue_response (request->connection, status, response);
	MHD_destroy_response (response);
	g_string_free (out, TRUE);
	g_object_unref (parser);
	return result;
}

/** Counts a new request, and suspends it when a delay or an outage holds its answer back.
 * @return true when it is suspended. */
static bool
request_suspend_if_delayed (struct request *request, const struct route *route)
{
	if (route->is_control)
		return false;
	if (!request->is_counted)
	{
		int count = GPOINTER_TO_INT (g_hash_table_lookup (store.calls, route->path));

		g_hash_table_replace (store.calls, (void *) route->path, GINT_TO_POINTER (count + 1));
		request->due_us = clock_now_us () + store.slow_ms * US_PER_MS;
		request->is_counted = true;
	}
	if (store.outage != OUTAGE_HANG && request->due_us <= clock_now_us ())
		return false;
	g_ptr_array_add (store.requests, request);
	MHD_suspend_connection (request->connection);
	return true;
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
                const char *version, const char *upload, size_t *upload_length, void **state)
{
	struct request *request = *state;
	const struct route *route = NULL;

	if (!request)
	{
		request = g_new0 (struct request, 1);
		request->connection = connection;
		request->body = g_string_new ("");
		*state = request;
		return MHD_YES;
	}
	g_string_append_len (request->body, upload, (gssize) *upload_length);
	if (*upload_length > 0)
	{
		*upload_length = 0;
		return MHD_YES;
	}
	for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
	{
		if (strcmp (routes[i].path, url) == 0)
			route = &routes[i];
	}
	if (request->is_dropped)
		return MHD_NO;
	if (route && request_suspend_if_delayed (request, route))
		return MHD_YES;
	return request_answer (request, route);
}

static void
handle_completed (void *data, struct MHD_Connection *connection, void **state,
                  enum MHD_RequestTerminationCode code)
{
	struct request *request = *state;

	if (!request)
		return;
	g_string_free (request->body, TRUE);
	g_free (request);
	*state = NULL;
}

static struct MHD_Daemon *
daemon_start (const struct sockaddr_in *address)
{
	return MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
	                         handle_request, NULL, MHD_OPTION_SOCK_ADDR, address,
	                         MHD_OPTION_NOTIFY_COMPLETED, handle_completed, NULL,
	                         MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

/** Ends the watches whose peer has closed: libmicrohttpd does not detect this on suspended connections. */
static void
watches_end_disconnected (void)
{
	for (guint i = 0; i < store.watches->len; i++)
	{
		struct watch *watch = store.watches->pdata[i];
		const union MHD_ConnectionInfo *info =
			MHD_get_connection_info (watch->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		char byte;

		if (!watch->is_suspended || recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
			continue;
		watch->is_ended = true;
		watch->is_suspended = false;
		MHD_resume_connection (watch->connection);
	}
}

static void
leases_expire (void)
{
	for (guint i = 0; i < store.leases->len; i++)
	{
		struct lease *lease = &g_array_index (store.leases, struct lease, i);
		struct range all = { "", "\xff", 0, NULL };

		if (lease->expires_us == 0 || lease->expires_us > clock_now_us ())
			continue;
		lease->expires_us = 0;
		store.revision++;
		all.found = g_ptr_array_new ();
		g_tree_foreach (store.keys, range_collect, &all);
		for (guint j = 0; j < all.found->len; j++)
		{
			const struct version *version = all.found->pdata[j];

			if (version->lease == FIRST_LEASE + i)
				store_set (version->key, NULL, 0);
		}
		g_ptr_array_unref (all.found);
	}
}

/** Stops or restarts the service according to the current outage. */
static void
outage_apply (const struct sockaddr_in *address)
{
	if (store.outage == OUTAGE_REFUSE && store.daemon)
	{
		MHD_run (store.daemon);
		MHD_stop_daemon (store.daemon);
		store.daemon = NULL;
	}
	else if (store.outage != OUTAGE_REFUSE && !store.daemon)
		store.daemon = daemon_start (address);
}

static void
pollfd_init (struct MHD_Daemon *daemon, struct pollfd *entry)
{
	entry->fd = daemon ? MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd : -1;
	entry->events = POLLIN;
}

static int
compare_keys (const void *a, const void *b)
{
	return strcmp (a, b);
}

int
cmd_platform (int argc, char **argv)
{
	struct sockaddr_in address, control_address;
	struct MHD_Daemon *control;
	char *service_text = NULL, *control_text = NULL;
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING, &service_text, "address for proxies", "IP:PORT" },
		{ "control", 0, 0, G_OPTION_ARG_STRING, &control_text, "address for faults and counters",
		  "IP:PORT" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new ("- the platform's key-value service");
	GError *error = NULL;
	bool is_parsed;

	g_option_context_add_main_entries (context, entries, NULL);
	is_parsed = g_option_context_parse (context, &argc, &argv, &error);
	g_option_context_free (context);
	if (!is_parsed || !service_text || !control_text ||
	    stream_parse_address (service_text, &address) < 0 ||
	    stream_parse_address (control_text, &control_address) < 0)
	{
		fprintf (stderr, "platform: %s\n",
		         error ? error->message : "--address IP:PORT and --control IP:PORT are required");
		return EXIT_FAILURE;
	}
	signal (SIGPIPE, SIG_IGN);
	store.revision = 1;
	store.history = g_ptr_array_new ();
	store.keys = g_tree_new (compare_keys);
	store.leases = g_array_new (FALSE, FALSE, sizeof (struct lease));
	store.watches = g_ptr_array_new ();
	store.requests = g_ptr_array_new ();
	store.calls = g_hash_table_new (g_str_hash, g_str_equal);
	store.daemon = daemon_start (&address);
	control = daemon_start (&control_address);
	if (!store.daemon || !control)
	{
		fprintf (stderr, "platform: cannot listen on %s and %s\n", service_text, control_text);
		return EXIT_FAILURE;
	}
	for (;;)
	{
		struct pollfd entries[2];

		pollfd_init (store.daemon, &entries[0]);
		pollfd_init (control, &entries[1]);
		poll (entries, G_N_ELEMENTS (entries), TICK_MS);
		if (store.daemon)
			MHD_run (store.daemon);
		MHD_run (control);
		requests_resume (false);
		watches_end_disconnected ();
		leases_expire ();
		outage_apply (&address);
	}
}
