/* Guards against wrong handling of store answers that are lost, late or incorrect. */
#include "platform/store.h"

#include "common/clock.h"
#include "common/log.h"
#include "common/rpc.h"
#include "free_port.h"

#include <curl/curl.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static bool is_out_of_memory;

/** Replaces the library's function, to let requests fail that need a new handle. */
CURL *
curl_easy_init (void)
{
	CURL *(*next) (void) = NULL;

	*(void **) &next = dlsym (RTLD_NEXT, "curl_easy_init");
	return is_out_of_memory ? NULL : next ();
}

enum
{
	MAX_ANSWERS = 4,
	REQUEST_BYTES = 4096,
	/* No case is about a store that does not answer in time, and the fake one's thread may have to wait for a
	 * processor. */
	STORE_PATIENCE_MS = 30000,
};

/** Line of the head of answers without an era, and what is sent after each answer, on connections that are then kept; NULL:
 * nothing. Set before a fixture is started. */
static const char *fake_store_field;
static const char *fake_store_glued;

/** A fake store that answers requests in sequence, each on a new connection. */
struct fake_store
{
	int listener;
	GThread *thread;
	const char *answers[MAX_ANSWERS]; /* Status and body; NULL: the connection is closed instead. */
	unsigned eras[MAX_ANSWERS];       /* 0: the answer names none. */
	size_t count;
	char requests[MAX_ANSWERS][REQUEST_BYTES];
	int request_count;
};

static void *
fake_store_main (void *data)
{
	struct fake_store *store = data;
	int kept[MAX_ANSWERS];
	size_t kept_count = 0;

	for (size_t i = 0; i < store->count; i++)
	{
		int fd = accept (store->listener, NULL, NULL);
		ssize_t count = recv (fd, store->requests[i], REQUEST_BYTES - 1, 0);

		g_assert_cmpint (count, >, 0);
		g_atomic_int_inc (&store->request_count);
		if (store->answers[i])
		{
			const char *body = strchr (store->answers[i], ' ') + 1;
			char *era = store->eras[i] > 0 ? g_strdup_printf ("Store-Era: %u\r\n", store->eras[i])
			                               : g_strdup (fake_store_field ? fake_store_field : "");
			char *text = g_strdup_printf (
				"HTTP/1.1 %.3s X\r\nContent-Type: application/json\r\n%s"
				"%sContent-Length: %zu\r\n\r\n%s%s",
				store->answers[i], fake_store_glued ? "" : "Connection: close\r\n", era,
				strlen (body), body, fake_store_glued ? fake_store_glued : "");

			g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), >, 0);
			g_free (text);
			g_free (era);
		}
		/* A client that sends its next request on this connection waits for the answer. */
		if (fake_store_glued)
			kept[kept_count++] = fd;
		else
			close (fd);
	}
	while (kept_count > 0)
		close (kept[--kept_count]);
	return NULL;
}

struct fixture
{
	struct loop loop;
	struct platform platform;
	struct fake_store store;
	char address[32];
	int answers;
	int events;
	size_t value_bytes; /* Of all pairs. */
	GString *keys;      /* Of all pairs, with a blank after each. */
	int last_error;
	bool succeeded;
	uint64_t era;
	uint64_t revision;
	int64_t request_sent_us;
};

static void
fixture_start_in_eras (struct fixture *fixture, const char *const *answers, size_t count,
                       const unsigned *eras, uint32_t timeout_ms)
{
	struct store_settings settings = { fixture->address, fixture->address, INADDR_LOOPBACK,
		                               timeout_ms };
	uint16_t port = free_port ();

	memset (fixture, 0, sizeof *fixture);
	fixture->keys = g_string_new (NULL);
	fixture->store.listener = rpc_listen (INADDR_LOOPBACK, port);
	g_assert_cmpint (fixture->store.listener, >=, 0);
	/* The fake store needs a blocking accept(). */
	g_assert_cmpint (fcntl (fixture->store.listener, F_SETFL, 0), ==, 0);
	for (size_t i = 0; i < count; i++)
	{
		fixture->store.answers[i] = answers[i];
		fixture->store.eras[i] = eras ? eras[i] : 0;
	}
	fixture->store.count = count;
	fixture->store.thread = g_thread_new ("store", fake_store_main, &fixture->store);
	snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%u", port);
	g_assert_cmpint (loop_init (&fixture->loop), ==, 0);
	g_assert_cmpint (platform_store_init (&fixture->platform, &fixture->loop, &settings), ==, 0);
}

static void
fixture_start (struct fixture *fixture, const char *const *answers, size_t count)
{
	fixture_start_in_eras (fixture, answers, count, NULL, STORE_PATIENCE_MS);
}

static void
fixture_stop (struct fixture *fixture)
{
	g_thread_join (fixture->store.thread);
	fixture->platform.ops->finish (&fixture->platform);
	loop_finish (&fixture->loop);
	close (fixture->store.listener);
	g_string_free (fixture->keys, TRUE);
}

static void
handle_answer (void *data, const struct platform_answer *answer)
{
	struct fixture *fixture = data;

	fixture->answers++;
	fixture->events += (int) answer->count;
	for (size_t i = 0; i < answer->count; i++)
	{
		/* The gateway reads the value of every pair that is not deleted. */
		g_assert_true (answer->pairs[i].is_deleted || answer->pairs[i].value);
		g_string_append_printf (fixture->keys, "%s ", answer->pairs[i].key);
		fixture->value_bytes += answer->pairs[i].value_length;
	}
	fixture->last_error = answer->error;
	fixture->succeeded = answer->succeeded;
	fixture->era = answer->era;
	fixture->revision = answer->revision;
	fixture->request_sent_us = answer->request_sent_us;
}

static void
fixture_run (struct fixture *fixture, int answers)
{
	int64_t end_us = clock_now_us () + 2 * STORE_PATIENCE_MS * (int64_t) US_PER_MS;

	while (fixture->answers < answers && clock_now_us () < end_us)
		loop_step (&fixture->loop, 10 * US_PER_MS);
	g_assert_cmpint (fixture->answers, >=, answers);
}

/* Guards against a watch that skips a change. While the store discards its history, it may answer that
 * nothing has changed although something has. The next request must start at the last event, or the
 * change is never seen (CONFIG in scale-2 of the grown Grindwell site). */
static void
test_empty_watch_answer (void)
{
	static const char *const answers[] = {
		"200 {\"events\":[],\"at\":50}",
		"200 {\"events\":[{\"key\":\"op/config\",\"value\":\"e30=\",\"revision\":40,\"created\":1,\"lease\":0}],"
		"\"at\":60}",
		NULL,
	};
	struct fixture fixture;

	fixture_start (&fixture, answers, G_N_ELEMENTS (answers));
	fixture.platform.ops->watch (&fixture.platform, "op/", 10, 2000, handle_answer, &fixture);
	fixture_run (&fixture, 3);
	g_assert_nonnull (strstr (fixture.store.requests[0], "after=10&"));
	g_assert_nonnull (strstr (fixture.store.requests[1], "after=10&"));
	g_assert_nonnull (strstr (fixture.store.requests[2], "after=60&"));
	g_assert_cmpint (fixture.events, ==, 1);
	fixture_stop (&fixture);
}

static void
test_answers (void)
{
	static const struct
	{
		const char *answer;
		int error;
		bool succeeded;
	} rows[] = {
		{ "200 {\"revision\":412}", 0, true },
		{ "412 {\"items\":[]}", 0, false },
		{ "429 {}", -EAGAIN, false },
		{ "503 {}", -EAGAIN, false },
		{ "200 {\"revision\":\"x\"}", -EPROTO, false },
		{ "200 [", -EPROTO, false },
		{ "200 {\"revision\":412}{\"revision\":413}", -EPROTO, false },
		{ NULL, -ECONNRESET, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
	{
		struct fixture fixture;

		fixture_start (&fixture, &rows[i].answer, 1);
		fixture.platform.ops->swap (&fixture.platform, "k", 3, "v", 1, handle_answer, &fixture);
		fixture_run (&fixture, 1);
		g_assert_cmpint (fixture.last_error, ==, rows[i].error);
		g_assert_true (fixture.succeeded == rows[i].succeeded);
		fixture_stop (&fixture);
	}
}

/* Guards against a call that waits for a silent store for longer than its limit, which the other cases raise. */
static void
test_silent_store (void)
{
	enum
	{
		USUAL_LIMIT_MS = 1200,
		LONGEST_MS = 5000,
	};
	struct fixture fixture;
	int64_t start_us;

	fixture_start_in_eras (&fixture, NULL, 0, NULL, 0);
	start_us = clock_now_us ();
	fixture.platform.ops->range (&fixture.platform, "a/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -ETIMEDOUT);
	g_assert_cmpint (clock_now_us () - start_us, >=, (USUAL_LIMIT_MS - 10) * US_PER_MS);
	g_assert_cmpint (clock_now_us () - start_us, <, LONGEST_MS * US_PER_MS);
	fixture_stop (&fixture);
}

/* Guards against losing a second page, and against missing that the history of a watch is discarded. */
static void
test_paging_and_compaction (void)
{
	static const char *const pages[] = {
		"200 {\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":5,\"created\":5,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
		"200 {\"items\":[{\"key\":\"a/2\",\"value\":\"eQ==\",\"revision\":6,\"created\":6,\"lease\":0}],"
		"\"hasMore\":false,\"at\":9}",
	};
	static const char *const gone[] = { "410 {}" };
	struct fixture fixture;

	fixture_start (&fixture, pages, G_N_ELEMENTS (pages));
	fixture.platform.ops->range (&fixture.platform, "a/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.events, ==, 2);
	g_assert_nonnull (strstr (fixture.store.requests[1], "after=a%2F1"));
	fixture_stop (&fixture);
	fixture_start (&fixture, gone, 1);
	fixture.platform.ops->watch (&fixture.platform, "a/", 3, 2000, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -ESTALE);
	fixture_stop (&fixture);
}

/* Guards against a change between two pages that is in neither the list nor the watch that starts from it (DRAIN,
 * review/4). */
static void
test_change_between_pages (void)
{
	static const char *const pages[] = {
		"200 {\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":5,\"created\":5,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
		"200 {\"items\":[{\"key\":\"a/2\",\"value\":\"eQ==\",\"revision\":11,\"created\":6,\"lease\":0}],"
		"\"hasMore\":true,\"at\":12}",
		"200 {\"items\":[],\"hasMore\":false,\"at\":15}",
	};
	struct fixture fixture;

	fixture_start (&fixture, pages, G_N_ELEMENTS (pages));
	fixture.platform.ops->range (&fixture.platform, "a/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.events, ==, 2);
	g_assert_cmpuint (fixture.revision, ==, 9);
	fixture_stop (&fixture);
}

/* Guards against pages that are lost, or read twice, since their last items are not later than the revision from which
 * on changes are reported; and against such pages being left out of what the list's time and era are taken from. */
static void
test_unreported_items (void)
{
	static const char *const pages[] = {
		"200 {\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":4,\"created\":4,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
		"200 {\"items\":[{\"key\":\"a/2\",\"value\":\"eA==\",\"revision\":8,\"created\":4,\"lease\":0},"
		"{\"key\":\"a/3\",\"value\":\"eA==\",\"revision\":5,\"created\":5,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
		"200 {\"items\":[],\"hasMore\":false,\"at\":9}",
	};
	static const unsigned eras[] = { 7, 8, 8 };
	struct fixture fixture;
	int64_t sent_us;

	fixture_start (&fixture, pages, G_N_ELEMENTS (pages));
	fixture.platform.ops->range (&fixture.platform, "a/", 5, handle_answer, &fixture);
	sent_us = clock_now_us ();
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.request_sent_us, <=, sent_us);
	g_assert_cmpint (fixture.events, ==, 1);
	g_assert_nonnull (strstr (fixture.store.requests[1], "after=a%2F1"));
	g_assert_nonnull (strstr (fixture.store.requests[2], "after=a%2F3"));
	fixture_stop (&fixture);
	fixture_start_in_eras (&fixture, pages, 2, eras, STORE_PATIENCE_MS);
	fixture.platform.ops->range (&fixture.platform, "a/", 5, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -ESTALE);
	fixture_stop (&fixture);
}

/* Guards against a list that counts as complete, or that is read without an end, when a page says that there are more
 * items but names no later key. */
static void
test_page_without_progress (void)
{
	static const char *const empty[] = { "200 {\"items\":[],\"hasMore\":true,\"at\":9}" };
	static const char *const same[] = {
		"200 {\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":4,\"created\":4,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
		"200 {\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":4,\"created\":4,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
	};
	struct fixture fixture;

	fixture_start (&fixture, empty, G_N_ELEMENTS (empty));
	fixture.platform.ops->range (&fixture.platform, "a/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -EPROTO);
	fixture_stop (&fixture);
	fixture_start (&fixture, same, G_N_ELEMENTS (same));
	fixture.platform.ops->range (&fixture.platform, "a/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -EPROTO);
	fixture_stop (&fixture);
}

/** Lets each request fail that follows an answer. */
static void
run_out_of_memory (struct fixture *fixture, int answers)
{
	int64_t end_us = clock_now_us () + 2 * US_PER_S;

	is_out_of_memory = true;
	while (fixture->answers < answers && clock_now_us () < end_us)
		loop_step (&fixture->loop, 10 * US_PER_MS);
	is_out_of_memory = false;
	g_assert_cmpint (fixture->answers, ==, answers);
	g_assert_cmpint (fixture->last_error, ==, -ENOMEM);
}

/* Guards against a call that is never answered, so that nothing is read again, because the request for its next page, or
 * the next one of a watch, could not be sent. */
static void
test_next_request_not_sent (void)
{
	static const char *const pages[] = {
		"200 {\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":5,\"created\":5,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
	};
	static const char *const events[] = { "200 {\"events\":[],\"at\":9}" };
	struct fixture fixture;

	fixture_start (&fixture, pages, G_N_ELEMENTS (pages));
	fixture.platform.ops->range (&fixture.platform, "a/", 0, handle_answer, &fixture);
	run_out_of_memory (&fixture, 1);
	fixture_stop (&fixture);
	fixture_start (&fixture, events, G_N_ELEMENTS (events));
	fixture.platform.ops->watch (&fixture.platform, "a/", 9, 2000, handle_answer, &fixture);
	run_out_of_memory (&fixture, 2);
	fixture_stop (&fixture);
}

/* Guards against revisions of before a restore that are used after it: in a watch that goes on, and in a list whose
 * pages are of two copies of the store. */
static void
test_restored_store (void)
{
	static const char *const events[] = {
		"200 {\"items\":[],\"hasMore\":false,\"at\":50}",
		"200 {\"events\":[],\"at\":50}",
		"200 {\"events\":[],\"at\":12}",
	};
	static const unsigned event_eras[] = { 7, 7, 8 };
	static const char *const pages[] = {
		"200 {\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":5,\"created\":5,\"lease\":0}],"
		"\"hasMore\":true,\"at\":9}",
		"200 {\"items\":[],\"hasMore\":false,\"at\":4}",
	};
	static const unsigned page_eras[] = { 7, 8 };
	struct fixture fixture;

	fixture_start_in_eras (&fixture, events, G_N_ELEMENTS (events), event_eras, STORE_PATIENCE_MS);
	fixture.platform.ops->range (&fixture.platform, "op/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpuint (fixture.era, ==, 7);
	fixture.platform.ops->watch (&fixture.platform, "op/", 50, 2000, handle_answer, &fixture);
	fixture_run (&fixture, 3);
	g_assert_cmpint (fixture.last_error, ==, -ESTALE);
	fixture_stop (&fixture);
	fixture_start_in_eras (&fixture, pages, G_N_ELEMENTS (pages), page_eras, STORE_PATIENCE_MS);
	fixture.platform.ops->range (&fixture.platform, "a/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -ESTALE);
	fixture_stop (&fixture);
}

/* Guards against an era that is no number: all later answers would be those of an older copy. */
static void
test_odd_eras (void)
{
	static const char *const fields[] = {
		"Store-Era: -1\r\n",
		"Store-Era: 99999999999999999999\r\n",
		"Store-Era: 9x\r\n",
		"Store-Era: \r\n",
	};
	static const char *const answers[] = {
		"200 {\"items\":[],\"hasMore\":false,\"at\":50}",
		"200 {\"items\":[],\"hasMore\":false,\"at\":51}",
		"200 {\"items\":[],\"hasMore\":false,\"at\":52}",
	};
	static const unsigned eras[] = { 7, 0, 8 };

	for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
	{
		struct fixture fixture;

		g_test_message ("%s", fields[i]);
		fake_store_field = fields[i];
		fixture_start_in_eras (&fixture, answers, G_N_ELEMENTS (answers), eras, STORE_PATIENCE_MS);
		for (size_t j = 0; j < G_N_ELEMENTS (answers); j++)
		{
			fixture.platform.ops->range (&fixture.platform, "op/", 0, handle_answer, &fixture);
			fixture_run (&fixture, (int) j + 1);
			g_assert_cmpuint (fixture.era, ==, j < 2 ? 7 : 8);
		}
		fixture_stop (&fixture);
		fake_store_field = NULL;
	}
}

/* Guards against bytes after an answer of the store that are taken for the answer to the next request. */
static void
test_glued_answers (void)
{
	static const char *const answers[] = {
		"200 {\"items\":[],\"hasMore\":false,\"at\":50}",
		"200 {\"items\":[],\"hasMore\":false,\"at\":51}",
	};
	struct fixture fixture;

	fake_store_glued = "HTTP/1.1 200 X\r\nContent-Length: 37\r\n\r\n"
					   "{\"items\":[],\"hasMore\":false,\"at\":66}";
	fixture_start (&fixture, answers, G_N_ELEMENTS (answers));
	for (int i = 0; i < (int) G_N_ELEMENTS (answers); i++)
	{
		fixture.platform.ops->range (&fixture.platform, "op/", 0, handle_answer, &fixture);
		fixture_run (&fixture, i + 1);
		g_assert_cmpint (fixture.last_error, ==, 0);
		g_assert_cmpuint (fixture.revision, ==, 50 + (uint64_t) i);
	}
	fixture_stop (&fixture);
	fake_store_glued = NULL;
}

/* Guards against confusing a server that is not running with a call whose answer is lost. */
static void
test_promotion (void)
{
	static const char *const refused[] = { "409 {}" };
	static const char *const lost[] = { NULL };
	struct fixture fixture;

	fixture_start (&fixture, refused, 1);
	fixture.platform.ops->promote (&fixture.platform, "s", "i-1", "vm", 77, handle_answer,
	                               &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -ENOENT);
	g_assert_nonnull (strstr (fixture.store.requests[0], "Fencing-Token: 77"));
	fixture_stop (&fixture);
	fixture_start (&fixture, lost, 1);
	fixture.platform.ops->promote (&fixture.platform, "s", "i-1", "vm", 77, handle_answer,
	                               &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -ECONNRESET);
	fixture_stop (&fixture);
}

/** An item of a list or an event of a watch. */
#define ITEM(key, rest) "{\"key\":\"" key "\"" rest "}"
#define GOOD(key)       ITEM (key, ",\"value\":\"eA==\",\"revision\":5,\"created\":5,\"lease\":0")
#define PAGE(item)                                                                                 \
	"200 {\"items\":[" GOOD ("servers/a") "," item                                                 \
										  "," GOOD ("servers/z") "],\"hasMore\":false,\"at\":9}"

static void
check_page (const char *page, const char *keys)
{
	struct fixture fixture;

	fixture_start (&fixture, &page, 1);
	fixture.platform.ops->range (&fixture.platform, "servers/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, 0);
	g_assert_cmpstr (fixture.keys->str, ==, keys);
	fixture_stop (&fixture);
}

/* Guards against a list that holds an item of another prefix or a deleted item: what follows the prefix was read beyond
 * the key, and the value through a null pointer. */
static void
test_foreign_items (void)
{
	check_page (PAGE (GOOD ("x")), "servers/a servers/z ");
	check_page (PAGE (GOOD ("")), "servers/a servers/z ");
	check_page (PAGE (GOOD ("op/config")), "servers/a servers/z ");
	check_page (PAGE (ITEM ("servers/m", ",\"revision\":5,\"deleted\":true")),
	            "servers/a servers/z ");
}

/* Guards against taking the record of another service for the one that a swap was refused for. */
static void
test_refused_swap (void)
{
	static const struct
	{
		const char *answer;
		const char *keys;
		int error;
	} rows[] = {
		{ "412 {\"items\":[" GOOD ("kk") "," GOOD ("k") "]}", "k ", 0 },
		{ "412 {\"items\":[" GOOD ("") "]}", "", 0 },
		{ "412 {\"items\":[null]}", "", -EPROTO },
		{ "412 {\"items\":[" ITEM ("k", ",\"revision\":-5,\"value\":\"eA==\"") "]}", "", -EPROTO },
		{ "412 {\"items\":{}}", "", -EPROTO },
		{ "412 {}", "", -EPROTO },
		{ "200 {\"revision\":-5}", "", -EPROTO },
		{ "200 {\"revision\":1e999}", "", -EPROTO },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
	{
		struct fixture fixture;

		fixture_start (&fixture, &rows[i].answer, 1);
		fixture.platform.ops->swap (&fixture.platform, "k", 3, "v", 1, handle_answer, &fixture);
		fixture_run (&fixture, 1);
		g_assert_cmpint (fixture.last_error, ==, rows[i].error);
		g_assert_cmpstr (fixture.keys->str, ==, rows[i].keys);
		g_assert_false (fixture.succeeded);
		fixture_stop (&fixture);
	}
}

/* Guards against one item of another form that makes the list of servers unreadable, so that the machine no longer
 * follows it: the others hold. */
static void
test_odd_items (void)
{
	static const char *const left_out[] = {
		PAGE ("null"),
		PAGE ("7"),
		PAGE ("[[[]]]"),
		PAGE ("{}"),
		PAGE ("{\"key\":7,\"value\":\"eA==\",\"revision\":5}"),
	};
	/* Their keys are listed, and their values are empty: such an entry names no server. */
	static const char *const unreadable[] = {
		PAGE (ITEM ("servers/m", ",\"revision\":5")),
		PAGE (ITEM ("servers/m", ",\"revision\":5,\"value\":7")),
		PAGE (ITEM ("servers/m", ",\"revision\":5,\"value\":{\"a\":[]}")),
		PAGE (ITEM ("servers/m", ",\"revision\":5,\"value\":\"@@@\"")),
		PAGE (ITEM ("servers/m", ",\"revision\":\"5\",\"value\":\"eA==\"")),
		PAGE (ITEM ("servers/m", ",\"revision\":5.5,\"value\":\"eA==\"")),
		PAGE (ITEM ("servers/m", ",\"revision\":-5,\"value\":\"eA==\"")),
		PAGE (ITEM ("servers/m", ",\"revision\":1e999,\"value\":\"eA==\"")),
		PAGE (ITEM ("servers/m", ",\"revision\":99999999999999999999,\"value\":\"eA==\"")),
	};

	for (size_t i = 0; i < G_N_ELEMENTS (left_out); i++)
		check_page (left_out[i], "servers/a servers/z ");
	for (size_t i = 0; i < G_N_ELEMENTS (unreadable); i++)
		check_page (unreadable[i], "servers/a servers/m servers/z ");
}

/* Guards against a part of the list that passes for all of it: the servers of the rest would count as removed. */
static void
test_incomplete_lists (void)
{
#define LIST(rest) "200 {\"items\":[" GOOD ("servers/a") "]," rest "}"
	static const char *const pages[] = {
		LIST ("\"hasMore\":\"true\",\"at\":9"),
		LIST ("\"hasMore\":1,\"at\":9"),
		LIST ("\"hasMore\":[],\"at\":9"),
		LIST ("\"hasMore\":{\"a\":1},\"at\":9"),
		LIST ("\"hasMore\":false,\"at\":-9"),
		LIST ("\"hasMore\":false,\"at\":1e999"),
		LIST ("\"hasMore\":false,\"at\":9.5"),
		LIST ("\"hasMore\":false,\"at\":\"9\""),
		LIST ("\"hasMore\":false"),
		"200 {\"items\":[],\"hasMore\":true,\"at\":9}",
		"200 {\"items\":{},\"hasMore\":false,\"at\":9}",
		"200 {\"items\":null,\"hasMore\":false,\"at\":9}",
		"200 {\"hasMore\":false,\"at\":9}",
		"200 []",
		"200 null",
	};
#undef LIST

	for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
	{
		struct fixture fixture;

		fixture_start (&fixture, &pages[i], 1);
		fixture.platform.ops->range (&fixture.platform, "servers/", 0, handle_answer, &fixture);
		fixture_run (&fixture, 1);
		g_assert_cmpint (fixture.last_error, ==, -EPROTO);
		fixture_stop (&fixture);
	}
}

/* Guards against requesting the same part of the list, or the same events, again and again without a pause. */
static void
test_no_progress (void)
{
	static const char page[] = "200 {\"items\":[" GOOD ("servers/a") "],\"hasMore\":true,\"at\":9}";
	static const char *const pages[] = { page, page };
	static const char *const events[] = {
		"200 {\"events\":[" GOOD ("servers/a") "],\"at\":9}",
		"200 {\"events\":[" GOOD ("servers/a") "],\"at\":9}",
	};
	static const char *const left_out[] = { "200 {\"events\":[7],\"at\":9}", NULL };
	struct fixture fixture;

	fixture_start (&fixture, left_out, G_N_ELEMENTS (left_out));
	fixture.platform.ops->watch (&fixture.platform, "servers/", 4, 2000, handle_answer, &fixture);
	fixture_run (&fixture, 2);
	g_assert_nonnull (strstr (fixture.store.requests[1], "after=9&"));
	fixture_stop (&fixture);
	fixture_start (&fixture, pages, G_N_ELEMENTS (pages));
	fixture.platform.ops->range (&fixture.platform, "servers/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, -EPROTO);
	fixture_stop (&fixture);
	fixture_start (&fixture, events, G_N_ELEMENTS (events));
	fixture.platform.ops->watch (&fixture.platform, "servers/", 4, 2000, handle_answer, &fixture);
	fixture_run (&fixture, 2);
	g_assert_cmpint (fixture.last_error, ==, -EPROTO);
	fixture_stop (&fixture);
}

/* Guards against a key of another writer that makes the list of servers unreadable. */
static void
test_odd_keys (void)
{
	static const char *const pages[] = {
		PAGE (GOOD ("servers/\\u0000m")),       PAGE (GOOD ("servers/z\\u0000")),
		PAGE (GOOD ("servers/\\ud800")),        PAGE (GOOD ("servers/\\ud800\\u0041")),
		PAGE (GOOD ("servers/\\udc00\\ud800")), PAGE (GOOD ("servers/\\\\\\ud800")),
		PAGE (GOOD ("servers/\xff\xfe")),       PAGE (GOOD ("servers/\xc0\x80")),
	};

	for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
		check_page (pages[i], "servers/a servers/z ");
	check_page (PAGE (GOOD ("servers/\\ud83d\\ude00")), "servers/a servers/\U0001f600 servers/z ");
}

/* Guards against memory that grows with the values of other writers' entries: a list of 300 of them with 700 KB each
 * took 215 MB. */
static void
test_large_values (void)
{
	enum
	{
		VALUE_BYTES = 700 * 1024,
		LARGEST_KEPT_BYTES = 8192,
	};
	char *bytes = g_malloc0 (VALUE_BYTES);
	char *value = g_base64_encode ((const guchar *) bytes, VALUE_BYTES);
	char *page =
		g_strdup_printf ("200 {\"items\":[" GOOD (
							 "servers/a") ",{\"key\":\"servers/m\",\"value\":\"%s\",\"revision\":5}"
	                                      "],\"hasMore\":false,\"at\":9}",
	                     value);
	struct fixture fixture;

	fixture_start (&fixture, (const char *const *) &page, 1);
	fixture.platform.ops->range (&fixture.platform, "servers/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpint (fixture.last_error, ==, 0);
	g_assert_cmpstr (fixture.keys->str, ==, "servers/a servers/m ");
	g_assert_cmpuint (fixture.value_bytes, <=, LARGEST_KEPT_BYTES);
	fixture_stop (&fixture);
	/* The configuration may have any length that the store accepts. */
	g_free (page);
	page =
		g_strdup_printf ("200 {\"items\":[{\"key\":\"op/config\",\"value\":\"%s\",\"revision\":5}],"
	                     "\"hasMore\":false,\"at\":9}",
	                     value);
	fixture_start (&fixture, (const char *const *) &page, 1);
	fixture.platform.ops->range (&fixture.platform, "op/", 0, handle_answer, &fixture);
	fixture_run (&fixture, 1);
	g_assert_cmpuint (fixture.value_bytes, ==, VALUE_BYTES);
	fixture_stop (&fixture);
	g_free (page);
	g_free (value);
	g_free (bytes);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/store/empty_answer", test_empty_watch_answer);
	g_test_add_func ("/store/answers", test_answers);
	g_test_add_func ("/store/pages", test_paging_and_compaction);
	g_test_add_func ("/store/change_between_pages", test_change_between_pages);
	g_test_add_func ("/store/unreported_items", test_unreported_items);
	g_test_add_func ("/store/page_without_progress", test_page_without_progress);
	g_test_add_func ("/store/next_request_not_sent", test_next_request_not_sent);
	g_test_add_func ("/store/foreign_items", test_foreign_items);
	g_test_add_func ("/store/refused_swap", test_refused_swap);
	g_test_add_func ("/store/odd_items", test_odd_items);
	g_test_add_func ("/store/incomplete_lists", test_incomplete_lists);
	g_test_add_func ("/store/no_progress", test_no_progress);
	g_test_add_func ("/store/odd_keys", test_odd_keys);
	g_test_add_func ("/store/large_values", test_large_values);
	g_test_add_func ("/store/silent", test_silent_store);
	g_test_add_func ("/store/restored", test_restored_store);
	g_test_add_func ("/store/odd_eras", test_odd_eras);
	g_test_add_func ("/store/glued_answers", test_glued_answers);
	g_test_add_func ("/store/promotion", test_promotion);
	return g_test_run ();
}
