/* Tests the emulated platform as the proxy uses it: a separate process, with libcurl as the client. */
#include "common/clock.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
	ANSWER_MS = 20000, /* Limit of a call; the emulator may get no processor time for a while. */
	SILENT_MS = 300,   /* Time for which a call must stay unanswered. */
	WATCH_MS = 200,    /* Time for which a watch must stay open after the expected text. */
	START_TRIES = 200,
};

static char *service_url;
static char *control_url;
static GPid platform_pid;

/** Ends the emulator with the test's process, so that an aborted test does not leave it running. */
static void
handle_child_setup (void *data)
{
	prctl (PR_SET_PDEATHSIG, SIGKILL);
}

struct call
{
	GString *answer;
	const char *watched; /* Text that a watch sends; NULL: not a watch. */
	int64_t watched_us;  /* Time at which it came. */
};

static size_t
handle_body (char *bytes, size_t size, size_t count, void *data)
{
	struct call *call = data;

	g_string_append_len (call->answer, bytes, (gssize) (size * count));
	if (call->watched && !call->watched_us && strstr (call->answer->str, call->watched))
		call->watched_us = clock_now_us ();
	return size * count;
}

/** Ends a watch that has stayed open for long enough after the expected text. */
static int
handle_progress (void *data, curl_off_t to_receive, curl_off_t received, curl_off_t to_send,
                 curl_off_t sent)
{
	const struct call *call = data;

	return call->watched_us && clock_now_us () - call->watched_us >= WATCH_MS * US_PER_MS;
}

/** Sends a POST with @p body and stores the response in @p answer. A watch that stays open after it has
 * sent @p watched, which is NULL for other calls, ends with CURLE_ABORTED_BY_CALLBACK.
 * @return curl's result. */
static CURLcode
post (const char *base, const char *path, const char *body, const char *watched, long timeout_ms,
      GString *answer)
{
	struct call call = { .answer = answer, .watched = watched };
	char *url = g_strconcat (base, path, NULL);
	CURL *curl = curl_easy_init ();
	CURLcode result;

	g_string_truncate (answer, 0);
	curl_easy_setopt (curl, CURLOPT_URL, url);
	curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt (curl, CURLOPT_WRITEDATA, &call);
	curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, handle_progress);
	curl_easy_setopt (curl, CURLOPT_XFERINFODATA, &call);
	curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
	result = curl_easy_perform (curl);
	curl_easy_cleanup (curl);
	g_free (url);
	return result;
}

static void
platform_start (void)
{
	/* A loopback address used by this process only, since outgoing connections may take any port of
	 * 127.0.0.1. */
	pid_t pid = getpid ();
	char *ip = g_strdup_printf ("127.%d.%d.%d", 128 + (pid >> 16 & 63), pid >> 8 & 255, pid & 255);
	char *service = g_strconcat (ip, ":2379", NULL);
	char *control = g_strconcat (ip, ":2380", NULL);
	char *argv[] = { EMULATOR, "platform", "--address", service, "--control", control, NULL };
	GString *answer = g_string_new ("");
	GError *error = NULL;

	g_spawn_async (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, handle_child_setup, NULL,
	               &platform_pid, &error);
	g_assert_no_error (error);
	service_url = g_strconcat ("http://", service, NULL);
	control_url = g_strconcat ("http://", control, NULL);
	for (int i = 0; i < START_TRIES; i++)
	{
		if (post (control_url, "/counters", "", NULL, ANSWER_MS, answer) == CURLE_OK)
			break;
		g_usleep (10 * US_PER_MS);
	}
	g_string_free (answer, TRUE);
	g_free (ip);
	g_free (service);
	g_free (control);
}

#define SWAP(revision, value)                                                                      \
	"{\"compare\":[{\"key\":\"YWI=\",\"target\":\"MOD\",\"mod_revision\":\"" revision              \
	"\"}],\"success\":[{\"requestPut\":{\"key\":\"YWI=\",\"value\":\"" value                       \
	"\"}}],\"failure\":[{\"request_range\":{\"key\":\"YWI=\"}}]}"

#define SLOW_MS 200
#define SLOW    "{\"slow_ms\":" G_STRINGIFY (SLOW_MS) "}"

static const char range_all[] = "{\"key\":\"YQ==\",\"range_end\":\"eg==\"}";
static const char watch_all[] =
	"{\"create_request\":{\"key\":\"YQ==\",\"range_end\":\"eg==\",\"start_revision\":\"2\"}}";

/* The steps run in order. Each checks one property of the published interface, or a fault that the
 * proxy's tests rely on: a changed message would make the proxy's client fail in other tests. */
static const struct
{
	const char *path;
	const char *body;
	CURLcode result;
	const char *expected; /* Part of the response. */
	bool is_awaited;      /* Repeated: what it expects happens in a later tick of the emulator. */
} steps[] = {
	{ "/v3/kv/txn", SWAP ("0", "MQ=="), CURLE_OK, "\"succeeded\":true", false },
	{ "/v3/kv/txn", SWAP ("0", "Mg=="), CURLE_OK, "\"response_range\"", false },
	{ "/v3/kv/txn", SWAP ("2", "Mg=="), CURLE_OK, "\"revision\":\"3\"", false },
	{ "/v3/kv/range", range_all, CURLE_OK, "\"mod_revision\":\"3\"", false },
	{ "/v3/kv/range", "{\"key\":\"eno=\"}", CURLE_OK, "\"raft_term\":\"1\"}}", false },
	{ "/v3/watch", watch_all, CURLE_ABORTED_BY_CALLBACK, "\"mod_revision\":\"2\"", false },
	{ "/fault", "{\"lose_answers\":1}", CURLE_OK, "{}", false },
	{ "/v3/kv/put", "{\"key\":\"YWM=\",\"value\":\"Mw==\"}", CURLE_GOT_NOTHING, "", false },
	{ "/v3/kv/range", "{\"key\":\"YWM=\"}", CURLE_OK, "\"value\":\"Mw==\"", false },
	{ "/v3/lease/grant", "{\"TTL\":\"600\"}", CURLE_OK, "\"ID\":\"1000\"", false },
	{ "/v3/lease/keepalive", "{\"ID\":\"1000\"}", CURLE_OK, "\"TTL\":\"600\"", false },
	{ "/fault", SLOW, CURLE_OK, "{}", false },
	{ "/v3/kv/range", range_all, CURLE_OK, "\"count\":\"2\"", false },
	{ "/fault", "{\"slow_ms\":0,\"outage\":\"hang\"}", CURLE_OK, "{}", false },
	{ "/v3/kv/range", range_all, CURLE_OPERATION_TIMEDOUT, "", false },
	{ "/fault", "{\"outage\":\"refuse\"}", CURLE_OK, "{}", false },
	{ "/v3/kv/range", range_all, CURLE_COULDNT_CONNECT, "", true },
	{ "/fault", "{\"outage\":\"none\",\"compaction\":true}", CURLE_OK, "{}", false },
	{ "/v3/watch", watch_all, CURLE_OK, "\"compact_revision\":\"4\"", true },
	{ "/counters", "", CURLE_OK, "\"/v3/kv/txn\":3", false },
	{ "/counters", "", CURLE_OK, "\"waiting_watches\":0", true },
};

/** Runs a step. @return true when its result is as expected. */
static bool
step_run (size_t at, GString *answer)
{
	bool is_service = g_str_has_prefix (steps[at].path, "/v3/");
	bool is_watch = steps[at].result == CURLE_ABORTED_BY_CALLBACK;
	bool is_silent = steps[at].result == CURLE_OPERATION_TIMEDOUT;
	CURLcode result =
		post (is_service ? service_url : control_url, steps[at].path, steps[at].body,
	          is_watch ? steps[at].expected : NULL, is_silent ? SILENT_MS : ANSWER_MS, answer);

	g_test_message ("step %zu: %s %s: %s", at, steps[at].path, curl_easy_strerror (result),
	                answer->str);
	return result == steps[at].result && strstr (answer->str, steps[at].expected);
}

static void
test_steps (void)
{
	GString *answer = g_string_new ("");

	for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
	{
		int64_t start_us = clock_now_us ();
		bool is_slow = i > 0 && strcmp (steps[i - 1].body, SLOW) == 0;
		bool is_expected = step_run (i, answer);

		while (!is_expected && steps[i].is_awaited &&
		       clock_now_us () - start_us < ANSWER_MS * US_PER_MS)
		{
			g_usleep (5 * US_PER_MS);
			is_expected = step_run (i, answer);
		}
		g_assert_true (is_expected);
		g_assert_true (!is_slow || clock_now_us () - start_us >= SLOW_MS * US_PER_MS);
	}
	g_string_free (answer, TRUE);
}

int
main (int argc, char **argv)
{
	int result;

	g_test_init (&argc, &argv, NULL);
	curl_global_init (CURL_GLOBAL_DEFAULT);
	platform_start ();
	g_test_add_func ("/emulator_platform/steps", test_steps);
	result = g_test_run ();
	kill (platform_pid, SIGKILL);
	waitpid (platform_pid, NULL, 0);
	g_free (service_url);
	g_free (control_url);
	curl_global_cleanup ();
	return result;
}
