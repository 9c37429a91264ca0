/* Guards against a load generator that misses a violated guarantee: it runs against a fake entry VM that
 * violates one guarantee at a time, and must report this one. */
#include <glib.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <string.h>
#include <sys/wait.h>

enum fault
{
	FAULT_NONE,
	FAULT_LOSE_WRITE,
	FAULT_DOUBLE_WRITE,
	FAULT_EXECUTE_REFUSED,
	FAULT_WRONG_ANSWER,
	FAULT_OMIT_ROW,
	FAULT_PARTIAL_COMMIT,
	FAULT_COMMIT_ROLLED_BACK, /* A commit that took effect is reported as rolled back when it is repeated. */
	FAULT_COMMIT_UNKNOWN, /* Allowed: the first answer to a commit is "unknown". */
	FAULT_UNKNOWN,        /* Allowed: the caller repeats the request with its request id. */
};

enum
{
	FAULT_INTERVAL = 20, /* Payments from one fault to the next. */
};

struct request
{
	GString *body;
};

/* State of the fake entry VM; only its single thread uses it while it runs. */
static enum fault fault;
static GHashTable *ledger;
static GHashTable *uncommitted_writes; /* Writes of open transactions: "HANDLE/KEY" to value. */
static GHashTable *commit_handles;     /* Handles of transactions whose commit was requested. */
static unsigned payments;
static unsigned transactions;

static bool
fault_is_due (enum fault kind)
{
	return fault == kind && ++payments % FAULT_INTERVAL == 0;
}

static char *
format_answer (const char *outcome, const char *cell)
{
	return g_strdup_printf ("{\"outcome\":\"%s\",\"role\":\"replica\",\"rows\":[%s%s%s]}", outcome,
	                        cell ? "[\"" : "", cell ? cell : "", cell ? "\"]" : "");
}

static char *
answer_payment (const char *key, const char *value)
{
	const char *first = g_hash_table_lookup (ledger, key);

	if (first)
		return format_answer ("done", first);
	if (!fault_is_due (FAULT_LOSE_WRITE))
		g_hash_table_replace (ledger, g_strdup (key), g_strdup (value));
	if (fault_is_due (FAULT_DOUBLE_WRITE))
		g_hash_table_replace (ledger, g_strdup (key),
		                      g_strdup_printf ("%d", 2 * (int) g_ascii_strtoll (value, NULL, 10)));
	if (fault_is_due (FAULT_EXECUTE_REFUSED))
		return format_answer ("refused", NULL);
	if (fault_is_due (FAULT_UNKNOWN))
		return format_answer ("unknown", NULL);
	return format_answer ("done", fault_is_due (FAULT_WRONG_ANSWER) ? "7" : value);
}

static char *
answer_commit (const char *handle)
{
	bool is_repeat = !g_hash_table_add (commit_handles, g_strdup (handle));

	if (fault == FAULT_PARTIAL_COMMIT || (!is_repeat && fault >= FAULT_COMMIT_ROLLED_BACK))
		return format_answer ("unknown", NULL);
	if (fault == FAULT_COMMIT_ROLLED_BACK)
		return g_strdup ("{\"outcome\":\"refused\",\"reason\":\"rolled_back\"}");
	return format_answer ("done", NULL);
}

static char *
answer_in_transaction (char **path, const char *key, const char *value)
{
	char *row = g_strdup_printf ("%s/%s", path[3], key ? key : "");
	GHashTableIter iter;
	void *name, *written;
	unsigned count = 0;

	if (value)
		g_hash_table_replace (uncommitted_writes, g_strdup (row), g_strdup (value));
	else if (key)
	{
		char *text = format_answer ("done", g_hash_table_lookup (uncommitted_writes, row));

		g_free (row);
		return text;
	}
	g_hash_table_iter_init (&iter, uncommitted_writes);
	while (!key && strcmp (path[4], "commit") == 0 &&
	       g_hash_table_iter_next (&iter, &name, &written))
	{
		if (g_str_has_prefix (name, row) && (fault != FAULT_PARTIAL_COMMIT || count++ == 0))
			g_hash_table_replace (ledger, g_strdup ((char *) name + strlen (row)),
			                      g_strdup (written));
	}
	g_free (row);
	if (strcmp (path[4], "commit") == 0)
		return answer_commit (path[3]);
	return format_answer ("done", NULL);
}

static char *
answer_call (const char *url, JsonObject *body)
{
	char **path = g_strsplit (url, "/", -1);
	JsonArray *params = json_object_has_member (body, "params")
	                        ? json_object_get_array_member (body, "params")
	                        : NULL;
	guint count = params ? json_array_get_length (params) : 0;
	const char *key = count > 0 ? json_array_get_string_element (params, 0) : NULL;
	const char *value = count > 1 ? json_array_get_string_element (params, 1) : NULL;
	char *text;

	if (g_str_has_suffix (url, "/transactions"))
		text = g_strdup_printf ("{\"outcome\":\"done\",\"transaction\":\"t%u\"}", ++transactions);
	else if (g_str_has_prefix (url, "/v1/transactions/"))
		text = answer_in_transaction (path, key, value);
	else if (value)
		text = answer_payment (key, value);
	else if (strstr (url, "letter_find") && fault_is_due (FAULT_OMIT_ROW))
		text = format_answer ("done", NULL);
	else
		text = format_answer ("done",
		                      strstr (url, "report") ? "0" : g_hash_table_lookup (ledger, key));
	g_strfreev (path);
	return text;
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
                const char *version, const char *upload, size_t *upload_length, void **state)
{
	struct request *request = *state;
	JsonParser *parser;
	struct MHD_Response *response;
	enum MHD_Result result;
	char *text;

	if (!request)
	{
		request = g_new0 (struct request, 1);
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
	parser = json_parser_new ();
	g_assert_true (json_parser_load_from_data (parser, request->body->str, -1, NULL));
	text = answer_call (url, json_node_get_object (json_parser_get_root (parser)));
	response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_COPY);
	result = MHD_queue_response (connection, MHD_HTTP_OK, response);
	MHD_destroy_response (response);
	g_free (text);
	g_object_unref (parser);
	return result;
}

static void
handle_completed (void *data, struct MHD_Connection *connection, void **state,
                  enum MHD_RequestTerminationCode code)
{
	struct request *request = *state;

	if (request)
		g_string_free (request->body, TRUE);
	g_free (request);
}

/** Runs the load generator. @return its exit status; free @p output with g_free(). */
static int
caller_run (uint16_t port, char **output)
{
	char *command =
		g_strdup_printf (EMULATOR " load --entries 127.0.0.1:%u --databases 1 --sessions 8 "
	                              "--seconds 1 --think-ms 2 --settle-ms 500",
	                     port);
	GError *error = NULL;
	int status;

	g_spawn_command_line_sync (command, output, NULL, &status, &error);
	g_assert_no_error (error);
	g_free (command);
	return WEXITSTATUS (status);
}

struct fault_case
{
	enum fault fault;
	const char *expected; /* Part of the output; NULL when no violation may be reported. */
};

static void
check_fault (const struct fault_case *fault_case)
{
	struct MHD_Daemon *daemon =
		MHD_start_daemon (MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle_request, NULL,
	                      MHD_OPTION_NOTIFY_COMPLETED, handle_completed, NULL, MHD_OPTION_END);
	char *output;
	int status;

	g_assert_nonnull (daemon);
	fault = fault_case->fault;
	ledger = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	uncommitted_writes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	commit_handles = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	status = caller_run (MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port, &output);
	g_test_message ("fault %d: %s", fault, strstr (output, "commits_asked_again"));
	g_assert_true ((status == 0) == (fault_case->expected == NULL));
	if (fault_case->expected)
		g_assert_nonnull (strstr (output, fault_case->expected));
	MHD_stop_daemon (daemon);
	g_hash_table_unref (ledger);
	g_hash_table_unref (uncommitted_writes);
	g_hash_table_unref (commit_handles);
	g_free (output);
}

static void
test_faults (void)
{
	static const struct fault_case cases[] = {
		{ FAULT_NONE, NULL },
		{ FAULT_UNKNOWN, NULL },
		{ FAULT_LOSE_WRITE, "violation acked_lost" },
		{ FAULT_DOUBLE_WRITE, "violation doubled" },
		{ FAULT_EXECUTE_REFUSED, "violation refused_ran" },
		{ FAULT_WRONG_ANSWER, "violation wrong_answer" },
		{ FAULT_OMIT_ROW, "violation own_missed" },
		{ FAULT_PARTIAL_COMMIT, "violation mixed" },
		{ FAULT_COMMIT_ROLLED_BACK, "violation refused_ran" },
		{ FAULT_COMMIT_UNKNOWN, NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		check_fault (&cases[i]);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/caller/faults", test_faults);
	return g_test_run ();
}
