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
	MEDIAN_INDEX = SEEDS / 2,
	START_US = 8000000,
	MAX_WRITE_GAP_US = 5000000,
	WRITE_INTERVAL_US = 10000,
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
	fleet_run (fleet, time_us, WRITE_INTERVAL_US);
}

/* Runs until an observer is in @p state; returns it, or NULL after 5 s. */
static struct fleet_vm *
run_until (struct fleet *fleet, const char *state)
{
	for (int i = 0; i < 5000; i++)
	{
		fleet_run (fleet, STEP_US, i % 5 ? 0 : WRITE_INTERVAL_US);
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
	run (fleet, MAX_WRITE_GAP_US);
}

static void
pause_primary (struct fleet *fleet)
{
	set_server (fleet, primary_of (fleet), VIRTUAL_PAUSED);
	run (fleet, MAX_WRITE_GAP_US);
}

static void
lose_answers (struct fleet *fleet)
{
	fleet->groups[0].answer_loss_per_million = 300000;
	crash_primary (fleet);
}

static void
partition_primary_zone (struct fleet *fleet)
{
	for (int i = 0; i < fleet->platform_node; i++)
		fleet->world.nodes[i].partition = fleet->world.nodes[i].zone == 0;
	run (fleet, MAX_WRITE_GAP_US);
}

static void
take_platform_down (struct fleet *fleet)
{
	fleet_set_platform (fleet, true);
	crash_primary (fleet);
}

static void
crash_primary_and_owner (struct fleet *fleet)
{
	fleet_crash (fleet, primary_owner (fleet, 0)->index);
	crash_primary (fleet);
}

static void
stop_claimant (struct fleet *fleet, const char *state, enum virtual_node_state new_state)
{
	struct fleet_vm *claimant;

	set_server (fleet, primary_of (fleet), VIRTUAL_CRASHED);
	claimant = run_until (fleet, state);
	g_assert_nonnull (claimant);
	if (new_state == VIRTUAL_CRASHED)
		fleet_crash (fleet, claimant->index);
	else
		virtual_set_state (&fleet->world, (int) claimant->index, new_state);
	run (fleet, MAX_WRITE_GAP_US);
	if (new_state == VIRTUAL_PAUSED)
		virtual_set_state (&fleet->world, (int) claimant->index, VIRTUAL_RUNNING);
	run (fleet, MAX_WRITE_GAP_US);
}

static void
pause_agreeing_claimant (struct fleet *fleet)
{
	stop_claimant (fleet, "agreeing", VIRTUAL_PAUSED);
}

static void
pause_fencing_claimant (struct fleet *fleet)
{
	stop_claimant (fleet, "fencing", VIRTUAL_PAUSED);
}

static void
pause_promoting_claimant (struct fleet *fleet)
{
	stop_claimant (fleet, "promoting", VIRTUAL_PAUSED);
}

static void
crash_fencing_claimant (struct fleet *fleet)
{
	stop_claimant (fleet, "fencing", VIRTUAL_CRASHED);
}

static void
crash_promoting_claimant (struct fleet *fleet)
{
	stop_claimant (fleet, "promoting", VIRTUAL_CRASHED);
}

static void
ignore_answer (void *context, const void *payload)
{
}

static void
abandon_fence (struct fleet *fleet)
{
	struct virtual_request fence = { .type = VIRTUAL_FENCE, .term = 5, .claimant = 99 };

	virtual_group_call (&fleet->groups[0], 0, 2, &fence,
	                    (struct virtual_handler){ ignore_answer, NULL });
	run (fleet, MAX_WRITE_GAP_US);
	/* The fenced server replicates again. */
	g_assert_cmpuint (term_of (fleet), >, 5);
	g_assert_cmpuint (fleet->groups[0].servers[2].length, >, 100);
}

static void
fail_over_twice (struct fleet *fleet)
{
	uint32_t first = primary_of (fleet);

	crash_primary (fleet);
	set_server (fleet, first, VIRTUAL_RUNNING);
	run (fleet, 2000000);
	g_assert_cmpuint (primary_of (fleet), !=, first);
	crash_primary (fleet);
}

static void
reconnect_old_primary (struct fleet *fleet)
{
	uint32_t old = primary_of (fleet);
	const struct virtual_server *server = &fleet->groups[0].servers[old];

	partition_primary_zone (fleet);
	virtual_heal (&fleet->world, (size_t) fleet->platform_node + 1);
	run (fleet, MAX_WRITE_GAP_US);
	g_assert_false (server->is_primary);
	g_assert_cmpuint (server->promised_term, ==, term_of (fleet));
}

/* The VMs of a partitioned zone become observers of the whole group without reaching any of its
 * servers. They must not replace the primary that they find when the links are restored. */
static void
partition_replica_zone (struct fleet *fleet)
{
	for (int i = 0; i < fleet->platform_node; i++)
		fleet->world.nodes[i].partition = fleet->world.nodes[i].zone == 2;
	run (fleet, 2 * MAX_WRITE_GAP_US + (int64_t) (virtual_random (&fleet->world) % 1000000));
	virtual_heal (&fleet->world, (size_t) fleet->platform_node + 1);
	run (fleet, MAX_WRITE_GAP_US);
}

static void
slow_link (struct fleet *fleet)
{
	struct virtual_link slow = { 900000, 100000, 0, false };
	int server = fleet_server_node (fleet, 0, 0);
	int vm = (int) fleet->vms[0].groups[0].owners[1] - 1;

	virtual_set_link (&fleet->world, vm, server, slow);
	virtual_set_link (&fleet->world, server, vm, slow);
	run (fleet, 4 * MAX_WRITE_GAP_US);
}

static void
cut_link (struct fleet *fleet)
{
	struct virtual_link cut = { .is_cut = true };
	int server = fleet_server_node (fleet, 0, 0);
	int vm = (int) fleet->vms[0].groups[0].owners[1] - 1;

	virtual_set_link (&fleet->world, server, vm, cut);
	run (fleet, 4 * MAX_WRITE_GAP_US);
}

static void
pause_observers (struct fleet *fleet)
{
	/* All observers except the one beside the primary resume with outdated status. */
	for (int i = 1; i <= 2; i++)
		virtual_set_state (&fleet->world, (int) fleet->vms[0].groups[0].owners[i] - 1,
		                   VIRTUAL_PAUSED);
	run (fleet, 1500000);
	for (int i = 0; i < VMS; i++)
		virtual_set_state (&fleet->world, i, VIRTUAL_RUNNING);
	run (fleet, MAX_WRITE_GAP_US);
}

struct fault_case
{
	const char *name;
	void (*run) (struct fleet *fleet);
	bool changes_primary;
	bool claims_without_delay; /**< Observers do not stagger their claims: several claim at once. */
};

static const struct fault_case fault_cases[] = {
	{ "primary crashes", crash_primary, true, false },
	{ "primary is paused", pause_primary, true, false },
	{ "answers to fence and promote are lost", lose_answers, true, false },
	{ "primary's zone is partitioned", partition_primary_zone, true, false },
	{ "several claim at once", crash_primary, true, true },
	{ "several claim at once, answers are lost", lose_answers, true, true },
	{ "platform is down", take_platform_down, true, false },
	{ "primary and its owner crash", crash_primary_and_owner, true, false },
	{ "claimant is paused before it fences", pause_agreeing_claimant, true, false },
	{ "claimant is paused while it fences", pause_fencing_claimant, true, false },
	{ "claimant is paused while it promotes", pause_promoting_claimant, true, false },
	{ "claimant crashes while it fences", crash_fencing_claimant, true, false },
	{ "claimant crashes while it promotes", crash_promoting_claimant, true, false },
	{ "a fence was left unfinished", abandon_fence, true, false },
	{ "two failovers in a row", fail_over_twice, true, false },
	{ "old primary reconnects", reconnect_old_primary, true, false },
	{ "slow link between one observer and the primary", slow_link, false, false },
	{ "one observer receives nothing from the primary", cut_link, false, false },
	{ "observers were paused", pause_observers, false, false },
	{ "a replica's zone is partitioned and reconnects", partition_replica_zone, false, false },
};

static void
run_case (const struct fault_case *item, uint64_t seed, int64_t *gap_us)
{
	struct failover_settings settings = failover_default_settings;
	struct fleet fleet;

	if (item->claims_without_delay)
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
	/* Writes continue: the last one is no older than the time of a replica poll. */
	g_assert_cmpint (fleet.world.now_us - fleet.histories[0].last_us, <, 500000);
	*gap_us = fleet.histories[0].longest_gap_us;
	fleet_finish (&fleet);
}

/* Guards against a group with no primary or two of them, and against gaps of more than 5 s between
 * acknowledged writes. */
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
		                (double) gaps_us[MEDIAN_INDEX] / 1e6, (double) gaps_us[SEEDS - 1] / 1e6);
		g_assert_cmpint (gaps_us[SEEDS - 1], <=, MAX_WRITE_GAP_US);
	}
}

/* Guards against a promotion requested by an operator that loses writes, or that runs concurrently with
 * another claim. */
static void
test_requested_promotion (void)
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
	run (&fleet, MAX_WRITE_GAP_US);
	g_assert_cmpuint (primary_of (&fleet), ==, 2);
	g_assert_null (fleet.violation);
	g_assert_cmpint (fleet.histories[0].longest_gap_us, <, 1500000);
	g_assert_cmpint (failover_last_timings (failover)->promote_us, >, 0);
	fleet_finish (&fleet);
}

/* Counts the regular polls of replicas within @p time_us. @p is_changing: a change that postpones them
 * spreads every second. */
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

/* Guards against replicas that are never polled during a series of changes. */
static void
test_postponed_polls (void)
{
	int usual = count_replica_polls (false, 120000000);
	int postponed = count_replica_polls (true, 120000000);

	g_test_message ("%d polls, %d when postponed", usual, postponed);
	g_assert_cmpint (postponed, <, usual);
	g_assert_cmpint (postponed, >, usual / 2);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/failover/faults", test_faults);
	g_test_add_func ("/failover/request", test_requested_promotion);
	g_test_add_func ("/failover/postpone", test_postponed_polls);
	return g_test_run ();
}
