#include "decision/succession.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

enum
{
	MS = 1000,
	STEP_US = 20 * MS,
};

/** Three servers of a service and one VM that drives the change. */
struct world
{
	struct succession succession;
	struct succession_server servers[3];
	struct succession_input input;
	int64_t now_us;
	uint64_t revision;
	struct succession_record stored;
	uint32_t promotions;
	char promoted[SUCCESSION_NAME_BYTES];
	uint64_t token;
	bool is_lost;                    /**< Swaps are executed, their answers lost. */
	bool is_answered;                /**< All VMs answer the claimant. */
	enum succession_answers answers; /**< Otherwise. */
	bool is_demoted;
};

static void
world_init (struct world *world)
{
	static const char *const ids[] = { "a", "b", "c" };

	memset (world, 0, sizeof *world);
	succession_init (&world->succession, "vm1");
	world->now_us = 1000 * MS;
	world->revision = 10;
	world->is_answered = true;
	for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
		world->servers[i] = (struct succession_server){
			.id = ids[i],
			.is_listed = true,
			.has_status = true,
			.status_us = world->now_us,
			.is_primary = i == 0,
			.reports_primary = i == 0,
			.term = 1,
			.received = { 1, 100 - i },
			.applied = { 1, 100 - i },
		};
	world->input.servers = world->servers;
	world->input.server_count = G_N_ELEMENTS (ids);
	world->input.may_claim = true;
	world->input.has_read_records = true;
	world->stored = (struct succession_record){ .primary = "a", .revision = 10 };
	succession_set_record (&world->succession, &world->stored, world->now_us);
}

static void
world_swap (struct world *world, bool is_changing, const char *primary)
{
	if (world->stored.revision != world->succession.record.revision)
	{
		succession_handle_swap (&world->succession, 0, world->now_us);
		return;
	}
	world->stored.revision = ++world->revision;
	world->stored.is_changing = is_changing;
	world->stored.is_planned = is_changing && world->succession.is_planned;
	world->stored.term = is_changing ? world->stored.term : world->succession.new_term;
	g_strlcpy (world->stored.primary, primary, sizeof world->stored.primary);
	if (!is_changing)
		world->input.cause = SUCCESSION_NO_CAUSE;
	g_strlcpy (world->stored.claimant, "vm1", sizeof world->stored.claimant);
	succession_handle_swap (&world->succession, world->is_lost ? 0 : world->revision,
	                        world->now_us);
	if (!world->is_lost)
		succession_set_record (&world->succession, &world->stored, world->now_us);
}

static void
world_ask_servers (struct world *world)
{
	for (size_t i = 0; i < G_N_ELEMENTS (world->servers); i++)
		if (!world->servers[i].is_unreachable)
			world->servers[i].status_us = world->now_us + 1;
}

static void
world_act (struct world *world, enum succession_action action)
{
	const char *target = world->succession.target;

	switch (action)
	{
	case SUCCESSION_CREATE:
	case SUCCESSION_RECORD:
		world_swap (world, false, target);
		break;
	case SUCCESSION_CLAIM:
		world_swap (world, true, world->succession.record.primary);
		break;
	case SUCCESSION_DEMOTE:
		world->is_demoted = true;
		world->servers[0].is_primary = false;
		world_ask_servers (world);
		break;
	case SUCCESSION_ASK_MEMBERS:
	case SUCCESSION_ASK_SERVERS:
		world_ask_servers (world);
		break;
	case SUCCESSION_PROMOTE:
		world->promotions++;
		world->token = world->succession.claim_revision;
		g_strlcpy (world->promoted, target, sizeof world->promoted);
		succession_handle_promote (&world->succession, 0, world->now_us);
		for (size_t i = 0; i < G_N_ELEMENTS (world->servers); i++)
			if (strcmp (world->servers[i].id, target) == 0)
			{
				world->servers[i].is_primary = true;
				world->servers[i].term = 2;
			}
		break;
	default:
		break;
	}
}

static void
world_run (struct world *world, int64_t for_us)
{
	int64_t end_us = world->now_us + for_us;

	for (; world->now_us < end_us; world->now_us += STEP_US)
	{
		world->input.answers = world->is_answered ? SUCCESSION_ALL_STOPPED : world->answers;
		world_act (world, succession_step (&world->succession, &world->input, world->now_us));
		/* A poll of the records. */
		succession_set_record (&world->succession, &world->stored, world->now_us);
	}
}

static void
world_fail_primary (struct world *world)
{
	world->servers[0].is_unreachable = true;
	world->input.cause = SUCCESSION_FAILED;
}

static void
test_furthest_replica (void)
{
	struct world world;

	world_init (&world);
	world.servers[2].received.index = 100;
	world.servers[2].applied.index = 100;
	world_fail_primary (&world);
	world_run (&world, 1000 * MS);
	g_assert_cmpuint (world.promotions, ==, 1);
	g_assert_cmpstr (world.promoted, ==, "c");
	g_assert_cmpuint (world.token, ==, 11);
	g_assert_cmpstr (world.stored.primary, ==, "c");
	g_assert_false (world.stored.is_changing);
	g_assert_cmpuint (world.stored.term, ==, 2);
}

/* A VM that does not answer may still use the old primary until its authority has run out. */
static void
test_silent_vm_is_waited_for (void)
{
	struct world world;

	world_init (&world);
	world.is_answered = false;
	world.answers = SUCCESSION_MOST_STOPPED;
	world_fail_primary (&world);
	world_run (&world, SUCCESSION_AUTHORITY_MS * MS);
	g_assert_cmpuint (world.promotions, ==, 0);
	world_run (&world, 500 * MS);
	g_assert_cmpuint (world.promotions, ==, 1);
}

/* A former primary that was cut off still sees itself as one; scale-1 of Riga took it for the successor. */
static void
test_former_primary_is_not_a_successor (void)
{
	struct world world;

	world_init (&world);
	world.stored = (struct succession_record){ .primary = "b", .revision = 11, .term = 2 };
	world.revision = 11;
	succession_set_record (&world.succession, &world.stored, world.now_us);
	world.servers[1].is_unreachable = true;
	world.servers[2].term = 2;
	world.servers[2].received = (struct log_position){ 2, 90 };
	world.input.cause = SUCCESSION_FAILED;
	world_run (&world, 1000 * MS);
	g_assert_cmpstr (world.promoted, ==, "c");
}

/* The order is in the store although its answer was lost. */
static void
test_lost_answer_of_the_order (void)
{
	struct world world;

	world_init (&world);
	world.is_lost = true;
	world_fail_primary (&world);
	world_run (&world, 40 * MS);
	world.is_lost = false;
	world_run (&world, 1000 * MS);
	g_assert_cmpuint (world.promotions, ==, 1);
	g_assert_cmpuint (world.token, ==, 11);
}

/* A claimant that was suspended must not call with a token that others have passed. */
static void
test_suspended_claimant (void)
{
	struct world world;

	world_init (&world);
	world_fail_primary (&world);
	world_run (&world, 40 * MS);
	g_assert_cmpint (world.succession.phase, !=, SUCCESSION_STEADY);
	world.now_us += 5000 * MS;
	g_assert_false (succession_may_promote (&world.succession, world.now_us));
	world_run (&world, 1000 * MS);
	g_assert_cmpuint (world.promotions, ==, 1);
	g_assert_cmpuint (world.token, >, 11);
}

/* A VM that has just joined may be missing on lists by which others use primaries without the store. */
static void
test_new_vm_waits (void)
{
	struct world world;

	world_init (&world);
	world.input.may_claim = false;
	world_fail_primary (&world);
	world_run (&world, 2000 * MS);
	g_assert_cmpuint (world.promotions, ==, 0);
	world.input.may_claim = true;
	world_run (&world, 1000 * MS);
	g_assert_cmpuint (world.promotions, ==, 1);
}

static void
test_unfinished_change_is_taken_over (void)
{
	struct world world;

	world_init (&world);
	world.stored.revision = ++world.revision;
	world.stored.is_changing = true;
	g_strlcpy (world.stored.claimant, "vm2", sizeof world.stored.claimant);
	succession_set_record (&world.succession, &world.stored, world.now_us);
	world.servers[0].is_unreachable = true;
	world_run (&world, 4900 * MS);
	g_assert_cmpuint (world.promotions, ==, 0);
	world_run (&world, 1500 * MS);
	g_assert_cmpuint (world.promotions, ==, 1);
	g_assert_cmpuint (world.token, ==, 12);
}

/* The claimant died between the call and the record: the server that leads already is recorded. */
static void
test_executed_promotion_is_recorded (void)
{
	struct world world;

	world_init (&world);
	world.stored.revision = ++world.revision;
	world.stored.is_changing = true;
	g_strlcpy (world.stored.claimant, "vm2", sizeof world.stored.claimant);
	succession_set_record (&world.succession, &world.stored, world.now_us);
	world.servers[0].is_unreachable = true;
	world.servers[2].is_primary = true;
	world.servers[2].term = 2;
	world.servers[2].received = (struct log_position){ 1, 98 };
	world_run (&world, 8000 * MS);
	g_assert_cmpstr (world.stored.primary, ==, "c");
	g_assert_false (world.stored.is_changing);
}

/* With one synchronous replica, the commit may be on the replica that does not answer. */
static void
test_synchronous_replicas (void)
{
	struct world world;

	world_init (&world);
	world.input.sync_replicas = 1;
	world.servers[2].is_unreachable = true;
	world.servers[2].status_us = 0;
	world_fail_primary (&world);
	world_run (&world, 3000 * MS);
	g_assert_cmpuint (world.promotions, ==, 0);
	world.servers[2].is_unreachable = false;
	world_run (&world, 2000 * MS);
	g_assert_cmpuint (world.promotions, ==, 1);
}

/* A planned change loses nothing: the old primary steps down and its log is received first. */
static void
test_planned_change_catches_up (void)
{
	struct world world;

	world_init (&world);
	world.servers[0].is_draining = true;
	world.input.cause = SUCCESSION_LEAVING;
	world_run (&world, 400 * MS);
	g_assert_true (world.is_demoted);
	g_assert_cmpuint (world.promotions, ==, 0);
	world.servers[1].received.index = 100;
	world.servers[1].applied.index = 100;
	world_run (&world, 400 * MS);
	g_assert_cmpstr (world.promoted, ==, "b");
}

/* A promoted replica that lagged has received commits that its reads do not see yet (STALE on hunted days of Riga and of the
 * grown Grindwell site). */
static void
test_successor_applies_its_log_first (void)
{
	struct world world;

	world_init (&world);
	world.servers[1].applied.index = 50;
	world_fail_primary (&world);
	world_run (&world, 1000 * MS);
	g_assert_cmpstr (world.promoted, ==, "b");
	g_assert_true (world.stored.is_changing);
	world.servers[1].applied.index = 99;
	world_run (&world, 200 * MS);
	g_assert_false (world.stored.is_changing);
}

static void
test_refused_server_is_passed_over (void)
{
	struct world world;

	world_init (&world);
	world_fail_primary (&world);
	g_strlcpy (world.succession.failed_target, "b", sizeof world.succession.failed_target);
	world_run (&world, 1000 * MS);
	g_assert_cmpstr (world.promoted, ==, "c");
}

/* A VM whose first read was lost tried to write the first record of each service in every step, 25 calls of the store
 * in 0.5 s (trouble-1 of Grindwell, after a loss of power). */
static void
test_no_record_before_the_first_read (void)
{
	struct world world;

	world_init (&world);
	succession_init (&world.succession, "vm1");
	world.input.has_read_records = false;
	for (int i = 0; i < 100; i++)
		g_assert_cmpint (
			succession_step (&world.succession, &world.input, world.now_us + i * STEP_US), ==,
			SUCCESSION_NOTHING);
	world.input.has_read_records = true;
	g_assert_cmpint (
		succession_step (&world.succession, &world.input, world.now_us + 100 * STEP_US), ==,
		SUCCESSION_CREATE);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/succession/furthest", test_furthest_replica);
	g_test_add_func ("/succession/silent_vm", test_silent_vm_is_waited_for);
	g_test_add_func ("/succession/former_primary", test_former_primary_is_not_a_successor);
	g_test_add_func ("/succession/lost_answer", test_lost_answer_of_the_order);
	g_test_add_func ("/succession/suspended", test_suspended_claimant);
	g_test_add_func ("/succession/new_vm", test_new_vm_waits);
	g_test_add_func ("/succession/takeover", test_unfinished_change_is_taken_over);
	g_test_add_func ("/succession/executed", test_executed_promotion_is_recorded);
	g_test_add_func ("/succession/synchronous", test_synchronous_replicas);
	g_test_add_func ("/succession/planned", test_planned_change_catches_up);
	g_test_add_func ("/succession/applies_first", test_successor_applies_its_log_first);
	g_test_add_func ("/succession/unread_records", test_no_record_before_the_first_read);
	g_test_add_func ("/succession/refused", test_refused_server_is_passed_over);
	return g_test_run ();
}
