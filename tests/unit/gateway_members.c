/* Guards what a VM makes of the list of VMs: who serves, and whom it asks about the records of the primaries. The control
 * thread's state is set up by hand; the platform is a stand-in that keeps the last read. */
#include "common/log.h"
#include "free_port.h"
#include "gateway/controller_private.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

struct fake_platform
{
	platform_handle_answer *handle;
	void *data;
	int reads;
	int swaps;
};

static struct fake_platform fake;

static int
fake_range (struct platform *platform, const char *prefix, uint64_t min_revision,
            platform_handle_answer *handle, void *data)
{
	(void) platform;
	(void) prefix;
	(void) min_revision;
	fake.handle = handle;
	fake.data = data;
	fake.reads++;
	return 0;
}

static int
fake_swap (struct platform *platform, const char *key, uint64_t expected, const char *value,
           size_t value_length, platform_handle_answer *handle, void *data)
{
	(void) platform;
	(void) key;
	(void) expected;
	(void) value;
	(void) value_length;
	(void) handle;
	(void) data;
	fake.swaps++;
	return 0;
}

static int
fake_watch (struct platform *platform, const char *prefix, uint64_t revision, uint32_t max_quiet_ms,
            platform_handle_answer *handle, void *data)
{
	(void) platform;
	(void) prefix;
	(void) revision;
	(void) max_quiet_ms;
	(void) handle;
	(void) data;
	return 0;
}

static void
fake_unwatch (struct platform *platform, const char *prefix)
{
	(void) platform;
	(void) prefix;
}

static const struct platform_ops fake_ops = {
	.range = fake_range,
	.swap = fake_swap,
	.watch = fake_watch,
	.unwatch = fake_unwatch,
};

static void
set_up (struct controller *controller)
{
	struct gateway_traffic_settings settings = {
		.vm = "vm5",
		.zone = "a",
		.ip = INADDR_LOOPBACK,
		.caller_port = free_port (),
		.relay_port = free_port (),
	};
	struct peer_address own = { INADDR_LOOPBACK, free_port () };

	memset (controller, 0, sizeof *controller);
	memset (&fake, 0, sizeof fake);
	strcpy (controller->boot.vm, "vm5");
	strcpy (controller->boot.zone, "a");
	controller->platform.ops = &fake_ops;
	strcpy (controller->start, "7");
	controller->vm_count = 1;
	controller->servers = g_hash_table_new (g_str_hash, g_str_equal);
	controller->managers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
	                                              (GDestroyNotify) primary_manager_free);
	controller->members =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) member_free);
	controller->zones = g_hash_table_new (g_str_hash, g_str_equal);
	g_assert_cmpint (loop_init (&controller->loop), ==, 0);
	g_assert_cmpint (
		peers_init (&controller->peers, &controller->loop, own, &controller_peers_ops, controller),
		==, 0);
	/* Its thread is not started: views wait in the mailbox. */
	controller->traffic = gateway_traffic_new (&settings);
	g_assert_nonnull (controller->traffic);
}

static void
tear_down (struct controller *controller)
{
	gateway_traffic_free (controller->traffic);
	peers_finish (&controller->peers);
	g_hash_table_destroy (controller->managers);
	g_hash_table_destroy (controller->members);
	g_hash_table_destroy (controller->zones);
	g_hash_table_destroy (controller->servers);
	loop_finish (&controller->loop);
}

/** The store lists vm1, vm2 of this zone and vm3 of another one. */
static void
answer_poll (int64_t request_sent_us)
{
	static const struct platform_pair pairs[] = {
		{ "flamingospring/vm/vm1", "address=127.0.0.1:9 zone=a start=1 settled=1 removed=0", 54, 1,
		  false },
		{ "flamingospring/vm/vm2", "address=127.0.0.1:9 zone=a start=1 settled=1 removed=0", 54, 2,
		  false },
		{ "flamingospring/vm/vm3", "address=127.0.0.1:9 zone=b start=1 settled=1 removed=0", 54, 3,
		  false },
		{ "flamingospring/vm/vm5", "address=127.0.0.1:9 zone=a start=7 settled=1 removed=0", 54, 4,
		  false },
	};
	struct platform_answer answer = {
		.revision = 10,
		.pairs = pairs,
		.count = G_N_ELEMENTS (pairs),
		.request_sent_us = request_sent_us,
	};

	g_assert_nonnull (fake.handle);
	fake.handle (fake.data, &answer);
}

/* The first view after a start had no other VM in it: 87 VMs that started together each took itself for the owner of all
 * servers, and their connections kept the owners out for 2 s (trouble-2 of the grown Riga site). */
static void
test_first_list_includes_all_members (void)
{
	struct controller controller;
	GHashTableIter iter;
	gpointer value;

	set_up (&controller);
	controller_poll (&controller, clock_now_us ());
	answer_poll (clock_now_us ());
	g_assert_cmpuint (g_hash_table_size (controller.members), ==, 3);
	g_hash_table_iter_init (&iter, controller.members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		g_assert_true (((const struct member *) value)->is_serving);
	g_assert_cmpuint (controller.vm_count, ==, 4);
	tear_down (&controller);
}

/* A VM whose poller is silent asks the next one of its zone, and at last the store itself. Before, all VMs of the zone
 * asked all others of the fleet. */
static void
test_silent_poller_is_replaced (void)
{
	struct controller controller;
	int64_t now_us = clock_now_us ();
	const char *expected[] = { "vm1", "vm2", NULL };

	set_up (&controller);
	controller_poll (&controller, now_us);
	answer_poll (now_us);
	for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
	{
		members_tick (&controller, now_us);
		g_assert_cmpstr (controller.poller ? controller.poller->vm : NULL, ==, expected[i]);
		g_assert_cmpint (controller.is_poller, ==, expected[i] == NULL);
		now_us += 1 * US_PER_S;
	}
	tear_down (&controller);
}

/** An order of this VM for service "s", to which all VMs have answered. */
static struct primary_manager *
start_primary_change (struct controller *controller, int64_t now_us)
{
	struct primary_manager *primary_manager = primary_manager_get (controller, "s");
	GHashTableIter iter;
	gpointer value;

	primary_manager->succession.record.revision = 11;
	primary_manager->succession.record.is_changing = true;
	primary_manager->succession.phase = SUCCESSION_GATHERING;
	primary_manager->succession.claim_revision = 11;
	primary_manager->succession.claim_sent_us = now_us;
	primary_manager->succession.claimed_us = now_us;
	primary_manager->quiesced_revision = 11;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct quiesced *quiesced = g_new (struct quiesced, 1);

		*quiesced = (struct quiesced){ .revision = 11, .is_settled = true };
		g_hash_table_insert (primary_manager->quiesced,
		                     g_strdup (((const struct member *) value)->vm), quiesced);
	}
	return primary_manager;
}

/* A change went on by a list of VMs that was older than its order: a VM that had joined since still used the old primary
 * (scale-2 of Grindwell). */
static void
test_change_needs_newer_member_list (void)
{
	struct controller controller;
	int64_t now_us = clock_now_us ();
	struct primary_manager *primary_manager;

	set_up (&controller);
	controller_poll (&controller, now_us);
	answer_poll (now_us);
	primary_manager = start_primary_change (&controller, now_us + 1000);
	primary_manager_tick (primary_manager, now_us + 2000);
	g_assert_cmpint (primary_manager->succession.phase, ==, SUCCESSION_GATHERING);
	controller.members_valid_us = now_us + 1500;
	primary_manager_tick (primary_manager, now_us + 2000);
	g_assert_cmpint (primary_manager->succession.phase, ==, SUCCESSION_CHOOSING);
	tear_down (&controller);
}

/* A VM that was taken off the list may still use an older one: it has to answer as well, or is waited for. */
static void
test_removed_vm_must_answer (void)
{
	struct controller controller;
	int64_t now_us = clock_now_us ();
	struct primary_manager *primary_manager;

	set_up (&controller);
	controller_poll (&controller, now_us);
	answer_poll (now_us);
	primary_manager = start_primary_change (&controller, now_us - 1000);
	member_get (&controller, "vm3", now_us)->is_listed = false;
	member_get (&controller, "vm3", now_us)->is_removed = true;
	g_hash_table_remove (primary_manager->quiesced, "vm3");
	primary_manager_tick (primary_manager, now_us + 2000);
	g_assert_cmpint (primary_manager->succession.phase, ==, SUCCESSION_GATHERING);
	member_get (&controller, "vm3", now_us)->is_removed = false;
	primary_manager_tick (primary_manager, now_us + 3000);
	g_assert_cmpint (primary_manager->succession.phase, ==, SUCCESSION_CHOOSING);
	tear_down (&controller);
}

/* Two VMs whose highest revision was the same took their records for the same, though one had missed a change of another
 * service (trouble-1 of Grindwell, seed 766222498350). */
static void
test_digest_distinguishes_records (void)
{
	struct controller first;
	struct controller second;
	uint64_t digest;

	set_up (&first);
	set_up (&second);
	primary_manager_get (&first, "s")->succession.record.revision = 7;
	primary_manager_get (&first, "t")->succession.record.revision = 9;
	primary_manager_get (&second, "s")->succession.record.revision = 8;
	primary_manager_get (&second, "t")->succession.record.revision = 9;
	digest = controller_records_digest (&first);
	g_assert_cmpuint (digest, !=, controller_records_digest (&second));
	primary_manager_get (&second, "s")->succession.record.revision = 7;
	g_assert_cmpuint (digest, ==, controller_records_digest (&second));
	tear_down (&first);
	tear_down (&second);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_members/first_list", test_first_list_includes_all_members);
	g_test_add_func ("/gateway_members/silent_poller", test_silent_poller_is_replaced);
	g_test_add_func ("/gateway_members/list_age", test_change_needs_newer_member_list);
	g_test_add_func ("/gateway_members/removed", test_removed_vm_must_answer);
	g_test_add_func ("/gateway_members/digest", test_digest_distinguishes_records);
	return g_test_run ();
}
