#include "decision/failover.h"

#include "fleet.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	VMS = 6,
	ZONES = 3,
	SEEDS = 8, /* Runs of each case. */
	MEDIAN = SEEDS / 2,
	START_US = 8000000,
	GAP_US = 5000000,
	WRITE_EVERY_US = 10000,
	STEP_US = 1000,
};

static const struct virtual_link normal_link = { 5000, 1000, 1000, false };

static int
compare_gaps (const void *a, const void *b)
{
	int64_t x = *(const int64_t *) a;
	int64_t y = *(const int64_t *) b;

	return x < y ? -1 : x > y;
}

static struct fleet_vm *
primary_owner (struct fleet *fleet, uint32_t server)
{
	return &fleet->vms[fleet->vms[0].groups[0].owners[server] - 1];
}

static uint32_t
primary_of (const struct fleet *fleet)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < FLEET_SERVERS; i++)
		if (fleet->groups[0].servers[i].primary_term > fleet->groups[0].servers[best].primary_term)
			best = i;
	return best;
}

static uint64_t
term_of (const struct fleet *fleet)
{
	return fleet->groups[0].servers[primary_of (fleet)].primary_term;
}

static void
set_server (struct fleet *fleet, uint32_t server, enum virtual_node_state state)
{
	virtual_set_state (&fleet->world, fleet_server_node (fleet, 0, server), state);
}

static void
run (struct fleet *fleet, int64_t time_us)
{
	fleet_run (fleet, time_us, WRITE_EVERY_US);
}

/* Runs until an observer is in @p state; returns it, or NULL after some seconds. */
static struct fleet_vm *
run_until (struct fleet *fleet, const char *state)
{
	for (int i = 0; i < 5000; i++)
	{
		fleet_run (fleet, STEP_US, i % 5 ? 0 : WRITE_EVERY_US);
		for (uint32_t vm = 0; vm < VMS; vm++)
			if (fleet->vms[vm].groups[0].is_observer &&
			    strcmp (failover_state_name (&fleet->vms[vm].groups[0].failover), state) == 0)
				return &fleet->vms[vm];
	}
	return NULL;
}

static void
crash_primary (struct fleet *fleet)
{
	set_server (fleet, primary_of (fleet), VIRTUAL_CRASHED);
	run (fleet, GAP_US);
}

static void
freeze_primary (struct fleet *fleet)
{
	set_server (fleet, primary_of (fleet), VIRTUAL_PAUSED);
	run (fleet, GAP_US);
}

static void
lose_answers (struct fleet *fleet)
{
	fleet->groups[0].answer_loss_per_million = 300000;
	crash_primary (fleet);
}

static void
cut_primary_zone (struct fleet *fleet)
{
	for (int i = 0; i < fleet->platform_node; i++)
		fleet->world.nodes[i].partition = fleet->world.nodes[i].zone == 0;
	run (fleet, GAP_US);
}

static void
lose_platform (struct fleet *fleet)
{
	fleet_set_platform (fleet, true);
	crash_primary (fleet);
}

static void
lose_primary_and_owner (struct fleet *fleet)
{
	fleet_crash (fleet, primary_owner (fleet, 0)->index);
	crash_primary (fleet);
}

static void
stop_claimant (struct fleet *fleet, const char *state, enum virtual_node_state how)
{
	struct fleet_vm *claimant;

	set_server (fleet, primary_of (fleet), VIRTUAL_CRASHED);
	claimant = run_until (fleet, state);
	g_assert_nonnull (claimant);
	if (how == VIRTUAL_CRASHED)
		fleet_crash (fleet, claimant->index);
	else
		virtual_set_state (&fleet->world, (int) claimant->index, how);
	run (fleet, GAP_US);
	if (how == VIRTUAL_PAUSED)
		virtual_set_state (&fleet->world, (int) claimant->index, VIRTUAL_RUNNING);
	run (fleet, GAP_US);
}

static void
pause_agreeing (struct fleet *fleet)
{
	stop_claimant (fleet, "agreeing", VIRTUAL_PAUSED);
}

static void
pause_fencing (struct fleet *fleet)
{
	stop_claimant (fleet, "fencing", VIRTUAL_PAUSED);
}

static void
pause_promoting (struct fleet *fleet)
{
	stop_claimant (fleet, "promoting", VIRTUAL_PAUSED);
}

static void
crash_fencing (struct fleet *fleet)
{
	stop_claimant (fleet, "fencing", VIRTUAL_CRASHED);
}

static void
crash_promoting (struct fleet *fleet)
{
	stop_claimant (fleet, "promoting", VIRTUAL_CRASHED);
}

static void
handle_nothing (void *context, const void *payload)
{
}

static void
leave_fence (struct fleet *fleet)
{
	struct virtual_request fence = { .type = VIRTUAL_FENCE, .term = 5, .claimant = 99 };

	virtual_group_call (&fleet->groups[0], 0, 2, &fence,
	                    (struct virtual_handler){ handle_nothing, NULL });
	run (fleet, GAP_US);
	/* The server that was fenced replicates again. */
	g_assert_cmpuint (term_of (fleet), >, 5);
	g_assert_cmpuint (fleet->groups[0].servers[2].length, >, 100);
}

static void
fail_twice (struct fleet *fleet)
{
	uint32_t first = primary_of (fleet);

	crash_primary (fleet);
	set_server (fleet, first, VIRTUAL_RUNNING);
	run (fleet, 2000000);
	g_assert_cmpuint (primary_of (fleet), !=, first);
	crash_primary (fleet);
}

static void
return_primary (struct fleet *fleet)
{
	uint32_t old = primary_of (fleet);
	const struct virtual_server *server = &fleet->groups[0].servers[old];

	cut_primary_zone (fleet);
	virtual_heal (&fleet->world, (size_t) fleet->platform_node + 1);
	run (fleet, GAP_US);
	g_assert_false (server->is_primary);
	g_assert_cmpuint (server->promised_term, ==, term_of (fleet));
}

/* The VMs of a zone that is cut off become observers of the whole group, hear none of it, and must not replace the
 * primary that they find when the links are back. */
static void
cut_replica_zone (struct fleet *fleet)
{
	for (int i = 0; i < fleet->platform_node; i++)
		fleet->world.nodes[i].partition = fleet->world.nodes[i].zone == 2;
	run (fleet, 2 * GAP_US + (int64_t) (virtual_random (&fleet->world) % 1000000));
	virtual_heal (&fleet->world, (size_t) fleet->platform_node + 1);
	run (fleet, GAP_US);
}

static void
slow_link (struct fleet *fleet)
{
	struct virtual_link slow = { 900000, 100000, 0, false };
	int server = fleet_server_node (fleet, 0, 0);
	int vm = (int) fleet->vms[0].groups[0].owners[1] - 1;

	virtual_set_link (&fleet->world, vm, server, slow);
	virtual_set_link (&fleet->world, server, vm, slow);
	run (fleet, 4 * GAP_US);
}

static void
cut_link (struct fleet *fleet)
{
	struct virtual_link cut = { .is_cut = true };
	int server = fleet_server_node (fleet, 0, 0);
	int vm = (int) fleet->vms[0].groups[0].owners[1] - 1;

	virtual_set_link (&fleet->world, server, vm, cut);
	run (fleet, 4 * GAP_US);
}

static void
pause_observers (struct fleet *fleet)
{
	/* All observers but the one next to the primary wake up with old news. */
	for (int i = 1; i <= 2; i++)
		virtual_set_state (&fleet->world, (int) fleet->vms[0].groups[0].owners[i] - 1,
		                   VIRTUAL_PAUSED);
	run (fleet, 1500000);
	for (int i = 0; i < VMS; i++)
		virtual_set_state (&fleet->world, i, VIRTUAL_RUNNING);
	run (fleet, GAP_US);
}

struct fault_case
{
	const char *name;
	void (*run) (struct fleet *fleet);
	bool changes_primary;
	bool is_hasty; /**< Observers do not wait for each other: several claim at once. */
};

static const struct fault_case fault_cases[] = {
	{ "primary crashes", crash_primary, true, false },
	{ "primary freezes", freeze_primary, true, false },
	{ "answers to fence and promote are lost", lose_answers, true, false },
	{ "primary is cut off with its zone", cut_primary_zone, true, false },
	{ "several claim at once", crash_primary, true, true },
	{ "several claim at once, answers are lost", lose_answers, true, true },
	{ "platform is down", lose_platform, true, false },
	{ "primary and its owner crash", lose_primary_and_owner, true, false },
	{ "claimant is paused before it fences", pause_agreeing, true, false },
	{ "claimant is paused while it fences", pause_fencing, true, false },
	{ "claimant is paused while it promotes", pause_promoting, true, false },
	{ "claimant crashes while it fences", crash_fencing, true, false },
	{ "claimant crashes while it promotes", crash_promoting, true, false },
	{ "a fence was left unfinished", leave_fence, true, false },
	{ "two failovers in a row", fail_twice, true, false },
	{ "old primary comes back", return_primary, true, false },
	{ "slow link between one observer and the primary", slow_link, false, false },
	{ "one observer does not hear the primary", cut_link, false, false },
	{ "observers were paused", pause_observers, false, false },
	{ "a replica's zone is cut off and comes back", cut_replica_zone, false, false },
};

static void
run_case (const struct fault_case *item, uint64_t seed, int64_t *gap_us)
{
	struct failover_settings settings = failover_default_settings;
	struct fleet fleet;

	if (item->is_hasty)
		settings.claim_step_us = 0;
	fleet_init (&fleet, seed, VMS, ZONES, 1, normal_link, true);
	fleet.writes_at_owner = true;
	fleet.failover_settings = &settings;
	run (&fleet, START_US + (int64_t) (virtual_random (&fleet.world) % 1000000));
	g_assert_cmpuint (term_of (&fleet), ==, 1);
	g_assert_cmpuint (fleet.histories[0].count, >, 100);
	item->run (&fleet);
	if (fleet.violation)
		g_test_message ("seed %" G_GUINT64_FORMAT ": %s", seed, fleet.violation);
	g_assert_null (fleet.violation);
	if ((term_of (&fleet) > 1) != item->changes_primary)
		g_test_message ("seed %" G_GUINT64_FORMAT ": term %" G_GUINT64_FORMAT, seed,
		                term_of (&fleet));
	g_assert_true ((term_of (&fleet) > 1) == item->changes_primary);
	/* Writes go on: the last one is no older than a poll of the replicas takes. */
	g_assert_cmpint (fleet.world.now_us - fleet.histories[0].last_us, <, 500000);
	*gap_us = fleet.histories[0].longest_gap_us;
	fleet_finish (&fleet);
}

/* Guards against lost or doubled primaries and against gaps above 5 s. */
static void
test_faults (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (fault_cases); i++)
	{
		int64_t gaps_us[SEEDS];

		for (uint64_t seed = 0; seed < SEEDS; seed++)
			run_case (&fault_cases[i], 100 * i + seed, &gaps_us[seed]);
		qsort (gaps_us, SEEDS, sizeof gaps_us[0], compare_gaps);
		g_test_message ("%s: gap median %.2f s, worst %.2f s", fault_cases[i].name,
		                (double) gaps_us[MEDIAN] / 1e6, (double) gaps_us[SEEDS - 1] / 1e6);
		g_assert_cmpint (gaps_us[SEEDS - 1], <=, GAP_US);
	}
}

/* Guards against an operator's change that loses writes, or that runs beside another claim. */
static void
test_request (void)
{
	struct fleet fleet;
	struct fleet_vm *vm;
	struct failover *failover;

	fleet_init (&fleet, 3, VMS, ZONES, 1, normal_link, true);
	fleet.writes_at_owner = true;
	run (&fleet, START_US);
	vm = primary_owner (&fleet, 0);
	failover = &vm->groups[0].failover;
	g_assert_cmpint (failover_request_promotion (failover, 9, fleet.world.now_us), ==, -EINVAL);
	g_assert_cmpint (failover_request_promotion (failover, 0, fleet.world.now_us), ==, -EINVAL);
	g_assert_cmpint (failover_request_promotion (failover, 2, fleet.world.now_us), ==, 0);
	g_assert_cmpint (failover_request_promotion (failover, 1, fleet.world.now_us), ==, -EBUSY);
	run (&fleet, GAP_US);
	g_assert_cmpuint (primary_of (&fleet), ==, 2);
	g_assert_null (fleet.violation);
	g_assert_cmpint (fleet.histories[0].longest_gap_us, <, 1500000);
	g_assert_cmpint (failover_last_timings (failover)->promote_us, >, 0);
	fleet_finish (&fleet);
}

/* Counts quiet polls of replicas in @p time_us, while a change spreads every second. */
static int
count_replica_polls (bool is_changing, int64_t time_us)
{
	struct server_status status = { true, 1, { 1, 1 } };
	g_autofree void *memory = g_malloc (failover_size (FLEET_SERVERS));
	struct failover failover;
	int polls = 0;

	failover_init (&failover, memory, &failover_default_settings, 1, FLEET_SERVERS, 1, 1000000);
	failover_set_load (&failover, 7);
	for (int64_t now_us = 1000000; now_us < 1000000 + time_us; now_us += 10000)
	{
		struct failover_effect effect;

		if (is_changing && now_us % 1000000 == 0)
			failover_postpone_replicas (&failover, 4000000, now_us);
		while ((effect = failover_next (&failover, now_us)).type == FAILOVER_POLL)
		{
			polls += effect.server != 0;
			status.is_primary = effect.server == 0;
			failover_handle_status (&failover, effect.server, &status, now_us, now_us);
		}
	}
	failover_finish (&failover);
	return polls;
}

/* Guards against replicas that are never polled while changes follow each other. */
static void
test_postpone (void)
{
	int usual = count_replica_polls (false, 120000000);
	int postponed = count_replica_polls (true, 120000000);

	g_test_message ("%d polls, %d when put off", usual, postponed);
	g_assert_cmpint (postponed, <, usual);
	g_assert_cmpint (postponed, >, usual / 2);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/failover/faults", test_faults);
	g_test_add_func ("/failover/request", test_request);
	g_test_add_func ("/failover/postpone", test_postpone);
	return g_test_run ();
}
