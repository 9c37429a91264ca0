/* Guards against a directory of several pages that lacks what changed while the pages were read (DRAIN, review/4). The
 * control thread's code reads it through the client of the store; the store is a fake one that changes entries when it
 * has answered a page. */
#include "common/log.h"
#include "common/rpc.h"
#include "free_port.h"
#include "gateway/controller_private.h"
#include "platform/store.h"

#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	PAGE_ITEMS = 500,
	REQUEST_BYTES = 4096,
	PATIENCE_MS = 30000, /* The fake store's thread may have to wait for a processor. */
	EMPTY_WATCH_US = 2000,
	EVERY_PAGE = 0,
};

enum changed_pages
{
	CHANGE_FIRST, /* Entries at the beginning of the directory. */
	CHANGE_BOTH, /* Those at its end as well, so that a later page holds an entry newer than the list. */
	CHANGED_PAGES_COUNT,
};

struct item
{
	char *value; /* Base64; NULL: the entry was removed. */
	bool is_draining;
	uint64_t revision;
};

/** A fake store. Its thread owns the rest while it is running, except under the lock. */
struct fake_store
{
	int listener;
	GThread *thread;
	GMutex lock;
	GTree *items; /* struct item by key. */
	uint64_t revision;
	uint64_t changed_at; /* Revision of the last change. */
	unsigned entries;
	unsigned pages;        /* That were answered. */
	unsigned change_after; /* Number of the page after which entries are changed, or EVERY_PAGE. */
	enum changed_pages changes;
};

static void
item_free (void *data)
{
	struct item *item = data;

	g_free (item->value);
	g_free (item);
}

static int
compare_keys (const void *a, const void *b, void *data)
{
	(void) data;
	return strcmp (a, b);
}

static void
store_put (struct fake_store *store, const char *key, const char *state)
{
	struct item *item = g_new0 (struct item, 1);
	char *text;

	store->revision++;
	if (state)
	{
		text = g_strdup_printf (
			"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"slots\":2,"
			"\"state\":\"%s\",\"dbRole\":\"replica\",\"born\":5000,\"sequence\":%d}",
			state, (int) store->revision);
		item->value = g_base64_encode ((const guchar *) text, strlen (text));
		g_free (text);
	}
	item->is_draining = g_strcmp0 (state, "draining") == 0;
	item->revision = store->revision;
	g_tree_replace (store->items, g_strdup (key), item);
}

/** One entry each is added, reports that it leaves, and is removed. */
static void
store_change_entries (struct fake_store *store, bool at_end)
{
	char *added = g_strdup_printf ("servers/%s-%u", at_end ? "j" : "h", store->pages);
	char *drained = g_strdup_printf (
		"servers/i-%05u", at_end ? store->entries - 1 - 2 * store->pages : 2 * store->pages - 2);
	char *removed = g_strdup_printf (
		"servers/i-%05u", at_end ? store->entries - 2 - 2 * store->pages : 2 * store->pages - 1);

	store_put (store, drained, "draining");
	if (store->entries > 1)
		store_put (store, removed, NULL);
	store_put (store, added, "ready");
	g_free (removed);
	g_free (drained);
	g_free (added);
}

static void
store_handle_page (struct fake_store *store)
{
	store->pages++;
	if (store->change_after != EVERY_PAGE && store->pages != store->change_after)
		return;
	/* Those at the end come last. */
	store_change_entries (store, false);
	if (store->changes == CHANGE_BOTH && store->entries > 100)
		store_change_entries (store, true);
	store->changed_at = store->revision;
}

struct page
{
	GString *body;
	char after[200];
	uint64_t after_revision;
	unsigned count;
	bool has_more;
};

static void
page_append (struct page *page, const char *key, const struct item *item)
{
	g_string_append_printf (page->body, "%s{\"key\":\"%s\",\"revision\":%d,",
	                        page->count > 0 ? "," : "", key, (int) item->revision);
	if (item->value)
		g_string_append_printf (page->body, "\"value\":\"%s\",\"created\":1,\"lease\":0}",
		                        item->value);
	else
		g_string_append (page->body, "\"deleted\":true}");
	page->count++;
}

static gboolean
visit_item (void *key, void *value, void *data)
{
	struct page *page = data;
	const struct item *item = value;

	if (!item->value || strcmp (key, page->after) <= 0)
		return FALSE;
	page->has_more = page->count == PAGE_ITEMS;
	if (!page->has_more)
		page_append (page, key, item);
	return page->has_more;
}

static gboolean
visit_event (void *key, void *value, void *data)
{
	struct page *page = data;
	const struct item *item = value;

	if (item->revision > page->after_revision)
		page_append (page, key, item);
	return FALSE;
}

/** Finds the value of a parameter of the request's URL. */
static char *
find_parameter (const char *request, const char *name)
{
	const char *start = strstr (request, name);

	if (!start)
		return g_strdup ("");
	start += strlen (name);
	return g_uri_unescape_segment (start, start + strcspn (start, "& "), NULL);
}

static char *
store_answer (struct fake_store *store, const char *request)
{
	struct page page = { .body = g_string_new ("{") };
	char *after = find_parameter (request, "&after=");

	g_mutex_lock (&store->lock);
	if (strstr (request, "/kv-range"))
	{
		g_strlcpy (page.after, after, sizeof page.after);
		g_string_append (page.body, "\"items\":[");
		g_tree_foreach (store->items, visit_item, &page);
		g_string_append_printf (page.body, "],\"hasMore\":%s,", page.has_more ? "true" : "false");
	}
	else
	{
		page.after_revision = g_ascii_strtoull (after, NULL, 10);
		g_string_append (page.body, "\"events\":[");
		g_tree_foreach (store->items, visit_event, &page);
		g_string_append (page.body, "],");
	}
	g_string_append_printf (page.body, "\"at\":%d}", (int) store->revision);
	if (strstr (request, "/kv-range"))
		store_handle_page (store);
	g_mutex_unlock (&store->lock);
	if (page.after_revision > 0 && page.count == 0)
		g_usleep (EMPTY_WATCH_US);
	g_free (after);
	return g_string_free (page.body, FALSE);
}

static void *
fake_store_main (void *data)
{
	struct fake_store *store = data;
	int fd;

	while ((fd = accept (store->listener, NULL, NULL)) >= 0)
	{
		char request[REQUEST_BYTES] = "";

		if (recv (fd, request, sizeof request - 1, 0) > 0)
		{
			char *body = store_answer (store, request);
			char *text = g_strdup_printf ("HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
			                              "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
			                              strlen (body), body);

			for (size_t sent = 0; sent < strlen (text);)
			{
				ssize_t count = send (fd, text + sent, strlen (text + sent), MSG_NOSIGNAL);

				if (count <= 0)
					break;
				sent += (size_t) count;
			}
			g_free (text);
			g_free (body);
		}
		close (fd);
	}
	return NULL;
}

static void
known_server_free (void *data)
{
	struct known_server *server = data;

	server_entry_clear (&server->entry);
	g_free (server);
}

struct fixture
{
	struct controller controller;
	struct fake_store store;
	char address[32];
};

static void
fixture_start (struct fixture *fixture, unsigned entries)
{
	struct controller *controller = &fixture->controller;
	struct store_settings settings = { fixture->address, fixture->address, INADDR_LOOPBACK,
		                               PATIENCE_MS };
	struct gateway_traffic_settings traffic = {
		.vm = "vm5",
		.zone = "a",
		.ip = INADDR_LOOPBACK,
		.caller_port = free_port (),
		.relay_port = free_port (),
	};
	uint16_t port = free_port ();

	memset (fixture, 0, sizeof *fixture);
	fixture->store.entries = entries;
	fixture->store.items = g_tree_new_full (compare_keys, NULL, g_free, item_free);
	for (unsigned i = 0; i < entries; i++)
	{
		char *key = g_strdup_printf ("servers/i-%05u", i);

		store_put (&fixture->store, key, "ready");
		g_free (key);
	}
	snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%u", port);
	fixture->store.listener = rpc_listen (INADDR_LOOPBACK, port);
	g_assert_cmpint (fixture->store.listener, >=, 0);
	/* The fake store needs a blocking accept(). */
	g_assert_cmpint (fcntl (fixture->store.listener, F_SETFL, 0), ==, 0);
	g_mutex_init (&fixture->store.lock);

	strcpy (controller->boot.vm, "vm5");
	strcpy (controller->boot.zone, "a");
	controller->servers =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, known_server_free);
	controller->managers = g_hash_table_new (g_str_hash, g_str_equal);
	controller->members =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) member_free);
	controller->directory_timer.handle_timer = controller_handle_directory_timer;
	controller->directory_timer.data = controller;
	g_assert_cmpint (loop_init (&controller->loop), ==, 0);
	g_assert_cmpint (platform_store_init (&controller->platform, &controller->loop, &settings), ==,
	                 0);
	/* Its thread is not started, so views stay in the mailbox. */
	controller->traffic = gateway_traffic_new (&traffic);
	g_assert_nonnull (controller->traffic);
	fixture->store.thread = g_thread_new ("store", fake_store_main, &fixture->store);
}

static void
fixture_stop (struct fixture *fixture)
{
	struct controller *controller = &fixture->controller;

	controller->platform.ops->finish (&controller->platform);
	shutdown (fixture->store.listener, SHUT_RDWR);
	g_thread_join (fixture->store.thread);
	close (fixture->store.listener);
	g_mutex_clear (&fixture->store.lock);
	g_tree_destroy (fixture->store.items);
	gateway_traffic_free (controller->traffic);
	g_hash_table_destroy (controller->managers);
	g_hash_table_destroy (controller->members);
	g_hash_table_destroy (controller->servers);
	loop_finish (&controller->loop);
}

struct comparison
{
	const struct controller *controller;
	bool differs;
};

static gboolean
compare_entry (void *key, void *value, void *data)
{
	struct comparison *comparison = data;
	const struct item *item = value;
	const struct known_server *server =
		g_hash_table_lookup (comparison->controller->servers, (char *) key + strlen ("servers/"));
	bool is_listed = server && server->is_listed && server->missing_us == 0;

	comparison->differs = is_listed != (item->value != NULL) ||
	                      (is_listed && server->entry.is_draining != item->is_draining);
	return comparison->differs;
}

/** Whether the VM knows of each entry of the store what the store holds. */
static bool
is_up_to_date (struct fixture *fixture)
{
	struct comparison comparison = { &fixture->controller, false };

	g_mutex_lock (&fixture->store.lock);
	g_tree_foreach (fixture->store.items, compare_entry, &comparison);
	g_mutex_unlock (&fixture->store.lock);
	return !comparison.differs;
}

static void
fixture_step (struct fixture *fixture)
{
	loop_step (&fixture->controller.loop, 10 * US_PER_MS);
}

static void
wait_for_list (struct fixture *fixture)
{
	int64_t end_us = clock_now_us () + PATIENCE_MS * (int64_t) US_PER_MS;

	while (fixture->controller.is_reading_directory && clock_now_us () < end_us)
		fixture_step (fixture);
	g_assert_false (fixture->controller.is_reading_directory);
	g_assert_true (fixture->controller.has_directory);
}

/** The poller of the zone has learned of the last change by its watch. */
static void
answer_as_poller (struct fixture *fixture)
{
	struct controller *controller = &fixture->controller;
	int64_t now_us = clock_now_us ();
	struct fs_hello_args answer = {
		.vm = "vm1",
		.number = (uint64_t) now_us,
		.has_knowledge = true,
		.directory_revision = fixture->store.changed_at,
	};

	controller->poller = member_get (controller, "vm1", now_us);
	controller->members_valid_us = now_us;
	controller->directory_read_us = 0;
	controller_peers_ops.handle_hello (controller, &answer, (struct peer_address){ 0 });
}

static void
check_directory (unsigned entries, unsigned change_after, enum changed_pages changes,
                 bool is_following)
{
	struct fixture fixture;
	int64_t end_us;

	fixture_start (&fixture, entries);
	fixture.store.change_after = change_after;
	fixture.store.changes = changes;
	fixture.controller.is_following = is_following;
	controller_read_directory (&fixture.controller);
	wait_for_list (&fixture);
	g_mutex_lock (&fixture.store.lock);
	fixture.store.change_after = G_MAXUINT;
	g_mutex_unlock (&fixture.store.lock);
	if (is_following)
	{
		answer_as_poller (&fixture);
		wait_for_list (&fixture);
	}
	end_us = clock_now_us () + 2 * US_PER_S;
	while (!is_up_to_date (&fixture) && clock_now_us () < end_us && !is_following)
		fixture_step (&fixture);
	if (!is_up_to_date (&fixture))
		g_error ("%u entries, changed after page %u (%s), read by a %s: not up to date", entries,
		         change_after, changes == CHANGE_BOTH ? "first and last" : "first",
		         is_following ? "follower" : "poller");
	fixture_stop (&fixture);
}

static void
check_all_pages (unsigned entries, bool is_following)
{
	unsigned pages = (entries + PAGE_ITEMS - 1) / PAGE_ITEMS;

	for (unsigned page = EVERY_PAGE; page <= pages; page++)
		for (enum changed_pages changes = CHANGE_FIRST; changes < CHANGED_PAGES_COUNT; changes++)
			check_directory (entries, page, changes, is_following);
}

static const unsigned sizes[] = { 1, 499, 500, 501, 5400 };

/* Guards against a poller whose watch begins after changes that its list lacks. */
static void
test_poller (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
		check_all_pages (sizes[i], false);
}

/* Guards against a follower that takes its list for as new as the poller's. */
static void
test_follower (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
		check_all_pages (sizes[i], true);
}

/* Guards against the use of a server beyond its announced time, also by a VM that does not know when that began: it has
 * started since, and is held to the bound once it has run for as long as counts as undisturbed. */
static void
test_use_of_draining_server (void)
{
	struct controller controller = { .boot.drain_ms = 7000 };
	struct known_server server = { .was_ready = true };

	g_assert_cmpint (controller_find_use_end (&controller, &server), ==, 0);
	server.draining_us = 100 * US_PER_S;
	g_assert_cmpint (controller_find_use_end (&controller, &server), >, 105 * US_PER_S);
	g_assert_cmpint (controller_find_use_end (&controller, &server), <, 107 * US_PER_S);
	server.was_ready = false;
	g_assert_cmpint (controller_find_use_end (&controller, &server), >, 102 * US_PER_S);
	g_assert_cmpint (controller_find_use_end (&controller, &server), <, 104 * US_PER_S);
	controller.boot.drain_ms = 0;
	g_assert_cmpint (controller_find_use_end (&controller, &server), ==, 0);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_directory/poller", test_poller);
	g_test_add_func ("/gateway_directory/follower", test_follower);
	g_test_add_func ("/gateway_directory/use_end", test_use_of_draining_server);
	return g_test_run ();
}
