/* Guards against combinations of faults that break a guarantee, or from which the fleet does not recover in
 * time. Runs random partitions, pauses, crashes, losses and lag against the real control modules. A seed
 * always gives the same run; FLAMINGOSPRING_TEST_SEED selects a single seed and prints its faults. */
#include "fleet.h"

#include <glib.h>
#include <stdlib.h>

enum
{
	SEEDS = 120,
	FIRST_SEED = 1,
	VMS = 9,
	ZONES = 3,
	GROUPS = 1,
	ROUNDS = 3,
	FAULT_PHASE_US = 12000000,
	FAULT_INTERVAL_US = 300000,
	RECOVERY_US = 14000000,
	MAX_LEAVING_DELAY_US = 3000000,
	MAX_ADOPTION_DELAY_US = 4000000,
	WRITE_INTERVAL_US = 20000,
	MAX_WRITE_GAP_US = 5000000,
};

static const struct virtual_link normal_link = { 5000, 2000, 10000, false };

static bool is_verbose;

static void
inject_fault (struct fleet *fleet)
{
	struct virtual_world *world = &fleet->world;
	uint32_t servers = FLEET_SERVERS * GROUPS;
	uint32_t vm = (uint32_t) (virtual_random (world) % VMS);
	uint32_t server = (uint32_t) (virtual_random (world) % servers);
	int node = (int) (virtual_random (world) % (VMS + servers));
	int other = (int) (virtual_random (world) % (VMS + servers));
	int kind = (int) (virtual_random (world) % 15);
	struct virtual_link slow = { 100000 + (int64_t) (virtual_random (world) % 900000), 50000, 0,
		                         false };
	struct virtual_link cut = { .is_cut = true };

	if (is_verbose)
		g_test_message ("%.3f s: fault %d, vm %u, server %u, nodes %d %d",
		                (double) world->now_us / 1e6, kind, vm, server, node, other);
	switch (kind)
	{
	case 0: /* Partitions off a zone, or in the next case a random half of the nodes. */
		for (int i = 0; i < VMS + (int) servers; i++)
			world->nodes[i].partition = world->nodes[i].zone == vm % ZONES;
		break;
	case 1:
		for (int i = 0; i < VMS + (int) servers; i++)
			world->nodes[i].partition = (uint32_t) (virtual_random (world) % 2);
		break;
	case 2:
		virtual_heal (world, (size_t) fleet->platform_node + 1);
		break;
	case 3:
	case 4:
		if (world->nodes[vm].state == VIRTUAL_RUNNING)
			virtual_set_state (world, (int) vm, VIRTUAL_PAUSED);
		break;
	case 5:
	case 6:
		for (int i = 0; i < VMS; i++)
			if (world->nodes[i].state == VIRTUAL_PAUSED)
				virtual_set_state (world, i, VIRTUAL_RUNNING);
		break;
	case 7:
		fleet_crash (fleet, vm);
		break;
	case 8:
		for (uint32_t i = 0; i < VMS; i++)
			if (world->nodes[i].state == VIRTUAL_CRASHED)
				fleet_start (fleet, i);
		break;
	case 9:
		virtual_set_state (world, fleet_server_node (fleet, 0, server),
		                   (enum virtual_node_state) (1 + virtual_random (world) % 2));
		break;
	case 10:
	case 11:
		virtual_set_state (world, fleet_server_node (fleet, 0, server), VIRTUAL_RUNNING);
		fleet->groups[0].servers[server].lag_us = (int64_t) (virtual_random (world) % 2000000);
		break;
	case 12:
		if (node != other && world->override_count + 2 < VIRTUAL_MAX_LINKS)
			virtual_set_link (world, node, other, virtual_random (world) % 2 ? slow : cut);
		break;
	case 13: /* Answers to a VM arrive after its timeout, or are lost. */
		if (world->override_count + 2 < VIRTUAL_MAX_LINKS)
			virtual_set_link (world, fleet_server_node (fleet, 0, server), (int) vm,
			                  virtual_random (world) % 4 ? slow : cut);
		break;
	default:
		fleet->groups[0].answer_loss_per_million = (uint32_t) (virtual_random (world) % 500000);
		fleet_change_document (fleet, vm % FLEET_SERVICES);
		fleet_set_platform (fleet, virtual_random (world) % 2);
	}
}

static void
end_faults (struct fleet *fleet)
{
	struct virtual_world *world = &fleet->world;

	virtual_heal (world, (size_t) fleet->platform_node + 1);
	for (int i = 0; i < fleet->platform_node; i++)
	{
		if (i < VMS && world->nodes[i].state == VIRTUAL_CRASHED)
			fleet_start (fleet, (uint32_t) i);
		virtual_set_state (world, i, VIRTUAL_RUNNING);
	}
	for (uint32_t i = 0; i < FLEET_SERVERS; i++)
		fleet->groups[0].servers[i].lag_us = 20000;
	fleet->groups[0].answer_loss_per_million = 0;
	fleet_set_platform (fleet, false);
}

/* Prints one line per VM with the state of each member in its view. */
static void
print_members (const struct fleet *fleet)
{
	for (uint32_t i = 0; i < VMS; i++)
	{
		g_autoptr (GString) line = g_string_new ("");
		struct member member;

		for (uint32_t other = 1; other <= VMS; other++)
			g_string_append_printf (line, " %d",
			                        membership_find (fleet->vms[i].membership, other, &member)
			                            ? (int) member.state
			                            : -1);
		g_test_message ("members at vm %u:%s", i, line->str);
	}
}

static const char *
run_round (struct fleet *fleet, uint32_t round)
{
	struct fleet_history *history = &fleet->histories[0];
	int64_t end_us = fleet->world.now_us + FAULT_PHASE_US;
	size_t count;
	char key[16];

	while (fleet->world.now_us < end_us)
	{
		inject_fault (fleet);
		fleet_run (fleet, (int64_t) (virtual_random (&fleet->world) % (2 * FAULT_INTERVAL_US)),
		           WRITE_INTERVAL_US);
	}
	end_faults (fleet);
	count = history->count;
	fleet_run (fleet, MAX_WRITE_GAP_US, WRITE_INTERVAL_US);
	if (history->count == count)
		return "no write was acknowledged within 5 s after the faults";
	fleet_run (fleet, RECOVERY_US - MAX_WRITE_GAP_US, WRITE_INTERVAL_US);
	if (is_verbose)
		print_members (fleet);
	if (fleet_count_unconverged (fleet) > 0)
		return "members do not agree on who is alive after the faults";
	g_snprintf (key, sizeof key, "db0/%u", round);
	fleet_mark_leaving (fleet, round % VMS, key, 1);
	fleet_change_document (fleet, round % FLEET_SERVICES);
	fleet_run (fleet, MAX_LEAVING_DELAY_US, WRITE_INTERVAL_US);
	if (fleet_count_missing_item (fleet, ITEM_LEAVING, key, 1) > 0)
		return "P7: a leaving server is not known everywhere within 3 s";
	fleet_run (fleet, MAX_ADOPTION_DELAY_US - MAX_LEAVING_DELAY_US, WRITE_INTERVAL_US);
	if (fleet_count_outdated (fleet) > 0)
		return "P9: a document is not adopted everywhere within 4 s";
	return NULL;
}

static const char *
run_seed (uint64_t seed)
{
	struct failover_settings no_delay_settings = failover_default_settings;
	struct fleet fleet;
	const char *problem = NULL;

	no_delay_settings.claim_step_us = 0;
	no_delay_settings.unfinished_after_us = 200000;
	fleet_init (&fleet, seed, VMS, ZONES, GROUPS, normal_link, false);
	fleet.writes_at_owner = seed % 2;
	/* Observers that do not stagger their claims claim at the same time. */
	if (seed % 3 == 0)
		fleet.failover_settings = &no_delay_settings;
	fleet_run (&fleet, 10000000, WRITE_INTERVAL_US);
	for (uint32_t round = 0; round < ROUNDS && !problem; round++)
	{
		problem = run_round (&fleet, round);
		if (fleet.violation)
			problem = fleet.violation;
	}
	g_test_message ("seed %" G_GUINT64_FORMAT ": %zu writes acknowledged, term %" G_GUINT64_FORMAT,
	                seed, fleet.histories[0].count,
	                fleet.histories[0].count
	                    ? fleet.histories[0].writes[fleet.histories[0].count - 1].position.term
	                    : 0);
	fleet_finish (&fleet);
	return problem;
}

static void
test_random_runs (void)
{
	const char *only = g_getenv ("FLAMINGOSPRING_TEST_SEED");
	uint64_t first = only ? strtoull (only, NULL, 10) : FIRST_SEED;
	uint64_t end = only ? first + 1 : FIRST_SEED + SEEDS;
	int failed = 0;

	is_verbose = only != NULL;
	for (uint64_t seed = first; seed < end; seed++)
	{
		const char *problem = run_seed (seed);

		if (problem)
			g_test_message ("seed %" G_GUINT64_FORMAT " failed: %s", seed, problem);
		failed += problem != NULL;
	}
	g_assert_cmpint (failed, ==, 0);
}

/* Guards against overload of the platform when the fleet restarts or an outage ends, and against watchers
 * that resume too late for a change made at that time. */
static void
test_platform_load (void)
{
	enum
	{
		MANY_VMS = 200,
		MANY_ZONES = 4,
		MAX_CALLS_PER_S = 24, /* 3 calls for each of the 8 watchers. */
	};
	struct fleet fleet;
	uint64_t calls;

	for (uint64_t seed = 1; seed <= 5; seed++)
	{
		fleet_init (&fleet, seed, MANY_VMS, MANY_ZONES, 0, normal_link, true);
		fleet_run (&fleet, 10000000, 0);
		g_assert_cmpuint (fleet.platform.peak_calls_per_s, <=, MAX_CALLS_PER_S);
		fleet_set_platform (&fleet, true);
		calls = fleet.platform.calls;
		fleet_run (&fleet, 30000000, 0);
		g_assert_cmpuint (fleet.platform.calls - calls, <=, 5 * 30);
		fleet.platform.peak_calls_per_s = 0;
		fleet_set_platform (&fleet, false);
		fleet_change_document (&fleet, 0);
		fleet_run (&fleet, MAX_ADOPTION_DELAY_US, 0);
		g_assert_cmpuint (fleet_count_outdated (&fleet), ==, 0);
		fleet_run (&fleet, 10000000, 0);
		g_assert_cmpuint (fleet.platform.peak_calls_per_s, <=, MAX_CALLS_PER_S);
		fleet_finish (&fleet);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/random-runs/faults", test_random_runs);
	g_test_add_func ("/random-runs/platform", test_platform_load);
	return g_test_run ();
}
