#include "decision/configuration.h"

#include <glib.h>

enum
{
	SERVICES = 3,
};

static struct configuration *
new_configuration (void)
{
	return configuration_init (g_malloc (configuration_size (SERVICES)),
	                           &configuration_default_settings, SERVICES, 1, 0);
}

struct offer_case
{
	const char *name;
	const char *service;
	uint64_t revision;
	bool is_deleted;
	bool is_adopted;
};

/* Guards against violations of P9: a document that returns to an older revision, or a deleted one that
 * reappears. */
static const struct offer_case offer_cases[] = {
	{ "first", "a", 5, false, true },         { "same", "a", 5, false, false },
	{ "older", "a", 4, false, false },        { "newer", "a", 7, false, true },
	{ "deleted", "a", 8, true, true },        { "back from an old peer", "a", 7, false, false },
	{ "created again", "a", 9, false, true }, { "second", "b", 6, false, true },
	{ "third", "c", 1, false, true },         { "table full", "d", 1, false, false },
};

static void
test_offers (void)
{
	struct configuration *configuration = new_configuration ();

	for (size_t i = 0; i < G_N_ELEMENTS (offer_cases); i++)
	{
		const struct offer_case *item = &offer_cases[i];

		g_test_message ("%s", item->name);
		g_assert_true (configuration_offer (configuration, item->service, item->revision,
		                                    item->is_deleted) == item->is_adopted);
	}
	g_free (configuration);
}

/* Advances the time to when the next effect is due, and returns that effect. */
static struct configuration_effect
next_effect (struct configuration *configuration, int64_t *now_us)
{
	int64_t at_us = configuration_next_time_us (configuration);

	if (at_us != INT64_MAX && at_us > *now_us)
		*now_us = at_us;
	return configuration_next (configuration, *now_us);
}

/* Guards against a watcher that does not watch again after an error, an outage or a compaction. */
static void
test_watcher (void)
{
	struct configuration *configuration = new_configuration ();
	struct configuration_effect effect;
	int64_t now_us = 1000;
	int64_t waited_us;

	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_NONE);
	configuration_set_watcher (configuration, true, now_us);
	configuration_set_watcher (configuration, true, now_us);
	effect = next_effect (configuration, &now_us);
	g_assert_cmpint (effect.type, ==, CONFIGURATION_LOAD);
	g_assert_cmpint (now_us, >=, configuration_default_settings.watch_retry_min_us);
	configuration_handle_complete (configuration, 10, now_us);
	effect = next_effect (configuration, &now_us);
	g_assert_cmpint (effect.type, ==, CONFIGURATION_WATCH);
	g_assert_cmpuint (effect.revision, ==, 10);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_NONE);
	for (int i = 0; i < 20; i++)
	{
		configuration_handle_platform_error (configuration, now_us);
		waited_us = now_us;
		g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_WATCH);
		waited_us = now_us - waited_us;
		g_assert_cmpint (waited_us, >=, configuration_default_settings.watch_retry_min_us / 2);
		g_assert_cmpint (waited_us, <=,
		                 configuration_default_settings.watch_retry_max_us +
		                     configuration_default_settings.watch_retry_min_us);
	}
	configuration_handle_compacted (configuration, now_us);
	effect = next_effect (configuration, &now_us);
	g_assert_cmpint (effect.type, ==, CONFIGURATION_LOAD);
	g_assert_cmpuint (effect.revision, ==, 0);
	configuration_handle_complete (configuration, 12, now_us);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_WATCH);
	configuration_set_watcher (configuration, false, now_us);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_UNWATCH);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_NONE);
	g_assert_cmpuint (configuration_revision (configuration), ==, 12);
	g_free (configuration);
}

/* Guards against a pull that is lost, that never ends, or that goes to a peer with nothing newer. */
static void
test_pull (void)
{
	struct configuration *configuration = new_configuration ();
	struct configuration_effect effect;
	int64_t now_us = 1000;

	configuration_handle_peer (configuration, 4, 0, now_us);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_NONE);
	configuration_handle_peer (configuration, 4, 9, now_us);
	effect = next_effect (configuration, &now_us);
	g_assert_cmpint (effect.type, ==, CONFIGURATION_PULL);
	g_assert_cmpuint (effect.peer, ==, 4);
	g_assert_cmpint (now_us, ==, 1000);
	configuration_handle_peer (configuration, 5, 9, now_us);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_NONE);
	configuration_handle_pull_error (configuration, now_us);
	effect = next_effect (configuration, &now_us);
	g_assert_cmpint (effect.type, ==, CONFIGURATION_PULL);
	g_assert_cmpuint (effect.peer, ==, 5);
	/* The peer sent an older revision than it announced: the next pull is delayed. */
	configuration_handle_complete (configuration, 8, now_us);
	g_assert_cmpint (configuration_next (configuration, now_us - 1).type, ==, CONFIGURATION_NONE);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_PULL);
	configuration_handle_complete (configuration, 9, now_us);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_NONE);
	/* Another source delivered the revision before a pending pull started. */
	configuration_handle_peer (configuration, 5, 11, now_us);
	configuration_handle_complete (configuration, 11, now_us);
	g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_NONE);
	g_free (configuration);
}

/* Guards against a whole fleet that pulls within one second, and against a pull that is delayed because
 * of a peer with nothing newer, or beyond the limit of 4 s. */
static void
test_pull_spread (void)
{
	const int64_t since_us = 10000000;
	int64_t last_us = 0;

	for (int i = 0; i < 100; i++)
	{
		struct configuration *configuration =
			configuration_init (g_malloc (configuration_size (SERVICES)),
		                        &configuration_default_settings, SERVICES, (uint64_t) i, 0);
		int64_t now_us = since_us + 500000;

		configuration_set_fleet (configuration, 750, since_us);
		configuration_handle_peer (configuration, 4, 9, now_us);
		configuration_handle_peer (configuration, 5, 0, now_us);
		g_assert_cmpint (next_effect (configuration, &now_us).type, ==, CONFIGURATION_PULL);
		last_us = MAX (last_us, now_us);
		g_free (configuration);
	}
	g_assert_cmpint (last_us, >, since_us + 1500000);
	g_assert_cmpint (last_us, <, since_us + 3000000);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/configuration/offers", test_offers);
	g_test_add_func ("/configuration/watcher", test_watcher);
	g_test_add_func ("/configuration/pull", test_pull);
	g_test_add_func ("/configuration/spread", test_pull_spread);
	return g_test_run ();
}
