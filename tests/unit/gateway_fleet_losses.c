/* Guards against commits that come back after a promotion has rolled them back: all reads in between lacked them (STALE).
 * Several primaries of a service are lost one after another in a fleet in virtual time.
 *
 * GATEWAY_FLEET_SEEDS=FIRST:COUNT replaces the seeds of the random case; GATEWAY_FLEET_LOG=1 writes what the VMs log. */
#include "gateway_fleet_random.h"

/* The day of review/1: the zone of the primary is cut off, no replica follows its successor, and that one crashes before
 * the former primary can reach it. */
static void
test_cut_and_crash (void)
{
	static const struct fleet_fault faults[] = {
		{ 0, FLEET_CUT_ZONE, 0, 0 },        { 1000, FLEET_DEAFEN, 0, 0 },
		{ 4000, FLEET_CRASH_SERVER, 0, 1 }, { 5000, FLEET_HEAL_ZONE, 0, 0 },
		{ 6300, FLEET_RESUME, 0, 0 },       { 14300, FLEET_START_SERVER, 0, 0 },
	};

	for (uint64_t seed = 1; seed <= 20; seed++)
		gateway_fleet_play (
			&(struct fleet_case){ seed, 7, 3, faults, G_N_ELEMENTS (faults), 26300 });
}

/* Guards against a former primary that goes on leading while its successor is lost: replicas follow it, and no server is left
 * whose log may be promoted. */
static void
test_former_primary_is_demoted (void)
{
	static const struct fleet_fault faults[] = {
		{ 0, FLEET_CUT_ZONE, 0, 0 },        { 1000, FLEET_DEAFEN, 0, 0 },
		{ 4000, FLEET_CRASH_SERVER, 0, 1 }, { 5000, FLEET_HEAL_ZONE, 0, 0 },
		{ 8000, FLEET_RESUME, 0, 0 },       { 60000, FLEET_START_SERVER, 0, 0 },
	};

	for (uint64_t seed = 1; seed <= 10; seed++)
	{
		struct gateway_fleet fleet;
		struct succession_record record;

		gateway_fleet_init (&fleet, seed, 7, 1);
		gateway_fleet_plan (&fleet, faults, G_N_ELEMENTS (faults));
		gateway_fleet_run (&fleet, 14000);
		g_assert_true (gateway_fleet_record (&fleet, 0, &record));
		g_assert_false (record.is_changing);
		g_assert_cmpuint (record.term, ==, 3);
		g_assert_cmpstr (fleet.violations->str, ==, "");
		gateway_fleet_finish (&fleet);
	}
}

/* Guards against a service that gets no primary for good: after several claims a server leads without a record, and the
 * platform does not promote it anew. */
static void
test_present_primary_is_recorded (void)
{
	static const uint64_t token = 1ULL << 32 | 2;

	for (uint64_t seed = 1; seed <= 10; seed++)
	{
		struct gateway_fleet fleet;
		struct succession_record record;

		gateway_fleet_init (&fleet, seed, 7, 1);
		fleet_server_crash (&fleet, fleet_server_find (&fleet, "i-0-a1"), false);
		fleet_server_crash (&fleet, fleet_server_find (&fleet, "i-0-c1"), false);
		g_assert_cmpint (fleet_promote (&fleet, "s0", "i-0-b1", "front-x", token), ==, 0);
		fleet_store_put (fleet.store, "flamingospring/lead/s0",
		                 "primary=i-0-a1 claimant=front-x changing=1 planned=0 term=0 "
		                 "change=4294967298 era=1 claims=2",
		                 0);
		gateway_fleet_run (&fleet, 60000);
		g_assert_true (gateway_fleet_record (&fleet, 0, &record));
		g_assert_false (record.is_changing);
		g_assert_cmpuint (record.term, ==, 2);
		g_assert_cmpstr (fleet.violations->str, ==, "");
		gateway_fleet_finish (&fleet);
	}
}

static void
test_random_losses (void)
{
	gateway_fleet_play_random (&(struct fleet_series){ .first = 1,
	                                                   .count = 40,
	                                                   .vm_count = 7,
	                                                   .service_count = 3,
	                                                   .faults_ms = 8000,
	                                                   .losses = 3 });
}

/* Guards against the loss of commits that were acknowledged because a replica had received them (LOST): that replica leaves,
 * or receives nothing any more, around the loss of the primary. */
static void
test_random_synchronous (void)
{
	gateway_fleet_play_random (&(struct fleet_series){ .first = 1,
	                                                   .count = 40,
	                                                   .vm_count = 7,
	                                                   .service_count = 3,
	                                                   .faults_ms = 6000,
	                                                   .sync_replicas = 1 });
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/gateway_fleet/cut_and_crash", test_cut_and_crash);
	g_test_add_func ("/gateway_fleet/former_primary_is_demoted", test_former_primary_is_demoted);
	g_test_add_func ("/gateway_fleet/present_primary_is_recorded",
	                 test_present_primary_is_recorded);
	g_test_add_func ("/gateway_fleet/random_losses", test_random_losses);
	g_test_add_func ("/gateway_fleet/random_synchronous", test_random_synchronous);
	return g_test_run ();
}
