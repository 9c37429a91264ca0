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
	TIMEOUT_MS = 300, /* Timeout of a call; longer than the slow answer in the table. */
	WATCH_MS = 200,
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

static size_t
handle_body (char *bytes, size_t size, size_t count, void *data)
{
	g_string_append_len (data, bytes, (gssize) (size * count));
	return size * count;
}

/** Sends a POST with @p body and stores the response in @p answer. @return curl's result. */
static CURLcode
post (const char *base, const char *path, const char *body, long timeout_ms, GString *answer)
{
	char *url = g_strconcat (base, path, NULL);
	CURL *curl = curl_easy_init ();
	CURLcode result;

	g_string_truncate (answer, 0);
	curl_easy_setopt (curl, CURLOPT_URL, url);
	curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
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
		if (post (control_url, "/counters", "", TIMEOUT_MS, answer) == CURLE_OK)
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
} steps[] = {
	{ "/v3/kv/txn", SWAP ("0", "MQ=="), CURLE_OK, "\"succeeded\":true" },
	{ "/v3/kv/txn", SWAP ("0", "Mg=="), CURLE_OK, "\"response_range\"" },
	{ "/v3/kv/txn", SWAP ("2", "Mg=="), CURLE_OK, "\"revision\":\"3\"" },
	{ "/v3/kv/range", range_all, CURLE_OK, "\"mod_revision\":\"3\"" },
	{ "/v3/kv/range", "{\"key\":\"eno=\"}", CURLE_OK, "\"raft_term\":\"1\"}}" },
	{ "/v3/watch", watch_all, CURLE_OPERATION_TIMEDOUT, "\"mod_revision\":\"2\"" },
	{ "/fault", "{\"lose_answers\":1}", CURLE_OK, "{}" },
	{ "/v3/kv/put", "{\"key\":\"YWM=\",\"value\":\"Mw==\"}", CURLE_GOT_NOTHING, "" },
	{ "/v3/kv/range", "{\"key\":\"YWM=\"}", CURLE_OK, "\"value\":\"Mw==\"" },
	{ "/v3/lease/grant", "{\"TTL\":\"1\"}", CURLE_OK, "\"ID\":\"1000\"" },
	{ "/v3/lease/keepalive", "{\"ID\":\"1000\"}", CURLE_OK, "\"TTL\":\"1\"" },
	{ "/fault", "{\"slow_ms\":200}", CURLE_OK, "{}" },
	{ "/v3/kv/range", range_all, CURLE_OK, "\"count\":\"2\"" },
	{ "/fault", "{\"slow_ms\":0,\"outage\":\"hang\"}", CURLE_OK, "{}" },
	{ "/v3/kv/range", range_all, CURLE_OPERATION_TIMEDOUT, "" },
	{ "/fault", "{\"outage\":\"refuse\"}", CURLE_OK, "{}" },
	{ "/v3/kv/range", range_all, CURLE_COULDNT_CONNECT, "" },
	{ "/fault", "{\"outage\":\"none\",\"compaction\":true}", CURLE_OK, "{}" },
	{ "/v3/watch", watch_all, CURLE_OK, "\"compact_revision\":\"4\"" },
	{ "/counters", "", CURLE_OK, "\"/v3/kv/txn\":3" },
	{ "/counters", "", CURLE_OK, "\"waiting_watches\":0" },
};

static void
test_steps (void)
{
	GString *answer = g_string_new ("");

	for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
	{
		bool is_service = g_str_has_prefix (steps[i].path, "/v3/");
		bool is_watch = strcmp (steps[i].path, "/v3/watch") == 0;
		CURLcode result = post (is_service ? service_url : control_url, steps[i].path,
		                        steps[i].body, is_watch ? WATCH_MS : TIMEOUT_MS, answer);

		g_test_message ("step %zu: %s %s", i, steps[i].path, answer->str);
		g_assert_cmpint (result, ==, steps[i].result);
		g_assert_nonnull (strstr (answer->str, steps[i].expected));
		/* The emulator applies an outage to its listening socket, and notices a closed watch, in its next tick. */
		g_usleep (50 * US_PER_MS);
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
