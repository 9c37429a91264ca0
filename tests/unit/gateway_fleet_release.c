/* Guards against planned changes of primary that lose acknowledged commits, in a fleet in virtual time.
 *
 * GATEWAY_FLEET_LOG=1 writes what the VMs log. */
#include "gateway_fleet_random.h"

/* Guards against a planned change by a VM that does not reach the primary yet, because its zone was cut off until a moment
 * ago: it demotes nothing, waits for no log, and promotes the replica of its zone, which has not caught up. */
static void
test_release_after_cut (void)
{
	for (uint64_t seed = 1; seed <= 30; seed++)
	{
		int64_t at_ms = 6420 + (int64_t) seed * 20;
		const struct fleet_fault faults[] = {
			{ 0, FLEET_CUT_ZONE, 1, 0 },    { 6400, FLEET_HEAL_ZONE, 1, 0 },
			{ at_ms, FLEET_RELEASE, 0, 0 }, { at_ms, FLEET_RELEASE, 2, 0 },
			{ at_ms, FLEET_RELEASE, 3, 0 }, { at_ms, FLEET_RELEASE, 5, 0 },
		};

		gateway_fleet_play (
			&(struct fleet_case){ seed, 7, 8, faults, G_N_ELEMENTS (faults), at_ms + 20000 });
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/gateway_fleet/release_after_cut", test_release_after_cut);
	return g_test_run ();
}
