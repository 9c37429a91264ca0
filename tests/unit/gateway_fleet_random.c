/* Guards against changes of primary that lose acknowledged commits or let two servers lead: random faults in a fleet in
 * virtual time, with a store that loses nothing.
 *
 * GATEWAY_FLEET_SEEDS=FIRST:COUNT replaces the seeds of the random cases; GATEWAY_FLEET_LOG=1 writes what the VMs log. */
#include "gateway_fleet_random.h"

/* Guards against the silence of VMs that a VM could not ask, because its own zone was cut off for a moment (STALE): the
 * store was not known to be lost yet, and the claim was sent again after the cut. */
static void
test_short_cut (void)
{
	for (uint64_t seed = 1; seed <= 30; seed++)
	{
		const struct fleet_fault faults[] = {
			{ 0, FLEET_CUT_ZONE, 0, 0 },
			{ 900 + (int64_t) seed * 50, FLEET_HEAL_ZONE, 0, 0 },
		};

		gateway_fleet_play (
			&(struct fleet_case){ seed, 7, 8, faults, G_N_ELEMENTS (faults), 14500 });
	}
}

/* Guards against a VM that never may claim a change of primary, since the answer to its registration was lost. */
static void
test_lost_answer_to_registration (void)
{
	static const struct fleet_fault faults[] = {
		{ 0, FLEET_KILL_VM, 3, 0 },
		{ 24000, FLEET_STORE_LOSSY, 0, 600 },
		{ 24000, FLEET_START_VM, 3, 0 },
		{ 27000, FLEET_STORE_LOSSY, 0, 0 },
	};

	for (uint64_t seed = 1; seed <= 10; seed++)
	{
		struct gateway_fleet fleet;

		gateway_fleet_init (&fleet, seed, 7, 1);
		gateway_fleet_plan (&fleet, faults, G_N_ELEMENTS (faults));
		gateway_fleet_run (&fleet, 45000);
		g_assert_true (fleet.vms[3].controller->is_registered);
		g_assert_true (fleet.vms[3].controller->is_settled);
		gateway_fleet_finish (&fleet);
	}
}

static void
test_random (void)
{
	gateway_fleet_play_random (&(struct fleet_series){
		.first = 1, .count = 60, .vm_count = 7, .service_count = 3, .faults_ms = 18000 });
}

static void
test_random_30 (void)
{
	gateway_fleet_play_random (&(struct fleet_series){
		.first = 1, .count = 5, .vm_count = 30, .service_count = 3, .faults_ms = 18000 });
}

static void
test_random_300 (void)
{
	gateway_fleet_play_random (&(struct fleet_series){
		.first = 1, .count = 1, .vm_count = 300, .service_count = 2, .faults_ms = 5000 });
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/gateway_fleet/short_cut", test_short_cut);
	g_test_add_func ("/gateway_fleet/lost_answer", test_lost_answer_to_registration);
	g_test_add_func ("/gateway_fleet/random", test_random);
	g_test_add_func ("/gateway_fleet/random_30", test_random_30);
	g_test_add_func ("/gateway_fleet/random_300", test_random_300);
	return g_test_run ();
}
