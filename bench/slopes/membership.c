/**
 * @file
 * Measures control traffic per second and the time until VMs agree on the members, at the target size,
 * during configuration changes, crashes and partitions. Uses the real decision modules in virtual time,
 * so counts are the same in each run.
 */
#include "fleet.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
	TARGET_VMS = 750,
	ZONES = 4,
	SETTLE_S = 120,
	STEP_US = 100000,
	STEPS_PER_S = 10,
	REPLACED_VMS = 230,
	DOWNTIME_S = 8,
	/* Bytes of a status poll in both directions, as in bench/slopes/slopes.c. */
	POLL_BYTES = 75 + 2 * 52 + 230 + 52,
	POLL_GROUPS = 72, /* Groups that 10 nodes observe at the target size. */
	POLL_NODES = 10,
	POSTPONE_US = 4000000, /* As POLL_POSTPONE_US in flamingospring/control_observer.c. */
};

/* Status poll bytes per second of a node, without changes and for POSTPONE_US after a change. */
static double quiet_poll_bytes_per_s;
static double postponed_poll_bytes_per_s;

/* Control traffic of a fleet, sampled each second. The rates include status polls. */
struct meter
{
	uint64_t bytes[TARGET_VMS]; /**< Gossip and pulls of each node up to the last sample. */
	uint64_t gossip;            /**< Gossip sent by all nodes up to the last sample. */
	double peak_mean;           /**< Highest average over the nodes in a second. */
	uint64_t highest;           /**< Highest of any node in a second. */
	double sum;
	uint32_t seconds;
	bool is_started;
};

static const char *only_scenario;
static uint64_t seed = 1;
static bool is_json;
static bool is_verbose;
static uint32_t loss_per_million = 10000;

static void
print_slope (const char *scenario, const char *name, const char *unit, double value, double budget)
{
	char full[96];

	g_snprintf (full, sizeof full, "%s_%s", scenario, name);
	if (is_json)
		printf (
			"{\"name\": \"%s\", \"unit\": \"%s\", \"at\": %u, \"value\": %.3f, \"budget\": %.3f}\n",
			full, unit, (unsigned) TARGET_VMS, value, budget);
	else
		printf ("%-36s at %5u: %12.3f %-18s budget %g%s\n", full, (unsigned) TARGET_VMS, value,
		        unit, budget, budget > 0 && value > budget ? "  EXCEEDED" : "");
	fflush (stdout);
}

/* Runs the observers of POLL_NODES nodes for @p time_us. @return poll bytes per second of a node. */
static double
measure_poll_bytes_per_s (struct failover *groups, int64_t *now_us, int64_t time_us)
{
	struct server_status status = { true, 1, { 1, 1 } };
	int64_t end_us = *now_us + time_us;
	uint64_t polls = 0;

	for (; *now_us < end_us; *now_us += 1000)
		for (int g = 0; g < POLL_GROUPS; g++)
		{
			struct failover_effect effect;

			while ((effect = failover_next (&groups[g], *now_us)).type != FAILOVER_NONE)
			{
				if (effect.type != FAILOVER_POLL)
					continue;
				polls++;
				status.is_primary = effect.server == 0;
				failover_handle_status (&groups[g], effect.server, &status, *now_us, *now_us);
			}
		}
	return (double) polls * POLL_BYTES / POLL_NODES / ((double) time_us / 1e6);
}

static void
measure_polls (void)
{
	struct failover groups[POLL_GROUPS];
	int64_t now_us = 1000000;
	double after;

	for (uint32_t g = 0; g < POLL_GROUPS; g++)
	{
		failover_init (&groups[g], g_malloc (failover_size (FLEET_SERVERS)),
		               &failover_default_settings, 1, FLEET_SERVERS, g, now_us);
		failover_set_load (&groups[g], POLL_GROUPS / POLL_NODES);
	}
	measure_poll_bytes_per_s (groups, &now_us, 20000000);
	quiet_poll_bytes_per_s = measure_poll_bytes_per_s (groups, &now_us, 60000000);
	for (uint32_t g = 0; g < POLL_GROUPS; g++)
		failover_postpone_replicas (&groups[g], POSTPONE_US, now_us);
	postponed_poll_bytes_per_s = measure_poll_bytes_per_s (groups, &now_us, POSTPONE_US);
	after = measure_poll_bytes_per_s (groups, &now_us, 2000000);
	/* tools/slopes runs each scenario in a process of its own; only one prints these. */
	if (!only_scenario || strcmp (only_scenario, "change") == 0)
	{
		print_slope ("polls", "quiet", "bytes/s/node", quiet_poll_bytes_per_s, 0);
		print_slope ("polls", "postponed", "bytes/s/node", postponed_poll_bytes_per_s, 0);
		print_slope ("polls", "after_postponed", "bytes/s/node", after, 0);
	}
	for (uint32_t g = 0; g < POLL_GROUPS; g++)
		failover_finish (&groups[g]);
}

/* Estimates the status poll bytes of a VM in the last second. */
static uint64_t
poll_bytes_in_last_second (const struct fleet_vm *vm)
{
	int64_t since_us = vm->fleet->world.now_us - vm->gossip_revision_at_us;
	double postponed = 0;

	if (vm->gossip_revision == 0 || since_us >= POSTPONE_US + 1000000)
		return (uint64_t) quiet_poll_bytes_per_s;
	postponed = since_us < 1000000 ? (double) since_us / 1e6 : 1;
	if (since_us > POSTPONE_US)
		postponed = 1 - (double) (since_us - POSTPONE_US) / 1e6;
	return (uint64_t) (quiet_poll_bytes_per_s +
	                   (postponed_poll_bytes_per_s - quiet_poll_bytes_per_s) * postponed);
}

static void
meter_read (struct meter *meter, const struct fleet *fleet)
{
	uint64_t gossip = 0;
	uint64_t sum = 0;

	for (uint32_t i = 0; i < TARGET_VMS; i++)
	{
		const struct fleet_vm *vm = &fleet->vms[i];
		uint64_t bytes = vm->sent_bytes + vm->received_bytes + vm->pull_bytes;
		uint64_t second = bytes - meter->bytes[i] + poll_bytes_in_last_second (vm);

		meter->highest = MAX (meter->highest, second);
		sum += second;
		gossip += vm->sent_bytes;
		meter->bytes[i] = bytes;
	}
	meter->peak_mean = MAX (meter->peak_mean, (double) sum / TARGET_VMS);
	meter->sum += (double) sum / TARGET_VMS;
	meter->seconds++;
	if (is_verbose && meter->is_started)
		printf ("t=%.1f mean %.0f sent %.0f highest %llu behind %u wrong %llu unsettled %u\n",
		        (double) fleet->world.now_us / 1e6, (double) sum / TARGET_VMS,
		        (double) (gossip - meter->gossip) / TARGET_VMS, (unsigned long long) meter->highest,
		        fleet_count_outdated (fleet), (unsigned long long) fleet_count_wrong_views (fleet),
		        fleet_count_unconverged (fleet));
	meter->gossip = gossip;
}

static void
meter_start (struct meter *meter, const struct fleet *fleet)
{
	memset (meter, 0, sizeof *meter);
	meter_read (meter, fleet);
	meter->peak_mean = meter->sum = 0;
	meter->highest = meter->seconds = 0;
	meter->is_started = true;
}

/* Runs the fleet and samples its traffic each second. */
static void
meter_run (struct meter *meter, struct fleet *fleet, uint32_t seconds)
{
	for (uint32_t i = 0; i < seconds; i++)
	{
		fleet_run (fleet, 1000000, 0);
		meter_read (meter, fleet);
	}
}

static void
meter_print (const struct meter *meter, const char *scenario)
{
	print_slope (scenario, "control_mean", "bytes/s/node", meter->sum / meter->seconds, 6000);
	print_slope (scenario, "control_peak", "bytes/s/node", meter->peak_mean, 6000);
	print_slope (scenario, "control_highest_node", "bytes/s", (double) meter->highest, 0);
}

/* Runs for @p seconds. @return seconds until all running VMs have the platform's documents, or 1,000. */
static double
run_until_adopted (struct meter *meter, struct fleet *fleet, uint32_t seconds)
{
	double duration_s = -1;

	for (uint32_t i = 1; i <= seconds * STEPS_PER_S; i++)
	{
		fleet_run (fleet, STEP_US, 0);
		if (duration_s < 0 && fleet_count_outdated (fleet) == 0)
			duration_s = (double) i / STEPS_PER_S;
		if (i % STEPS_PER_S == 0)
			meter_read (meter, fleet);
	}
	return duration_s < 0 ? 1e3 : duration_s;
}

/* Runs for @p seconds. @return seconds after which no view is wrong until the end of the run. Sets
 * @p nearly_agreed_s to the seconds after which at most 1 view in 1,000 is wrong. */
static double
run_until_agreed (struct meter *meter, struct fleet *fleet, uint32_t seconds,
                  double *nearly_agreed_s)
{
	double duration_s = 0;

	*nearly_agreed_s = 0;

	for (uint32_t i = 1; i <= seconds; i++)
	{
		fleet_run (fleet, 1000000, 0);
		meter_read (meter, fleet);
		if (fleet_count_wrong_views (fleet) > 0)
			duration_s = i + 1;
		if (fleet_count_wrong_views (fleet) > TARGET_VMS * TARGET_VMS / 1000)
			*nearly_agreed_s = i + 1;
	}
	return duration_s;
}

static bool
begin_scenario (struct fleet *fleet, const char *scenario)
{
	struct virtual_link link = { 5000, 2000, loss_per_million, false };

	if (only_scenario && strcmp (only_scenario, scenario) != 0)
		return false;
	fleet_init (fleet, seed, TARGET_VMS, ZONES, 0, link, true);
	fleet_run (fleet, SETTLE_S * 1000000LL, 0);
	return true;
}

static void
measure_change (const char *scenario, uint32_t loss)
{
	struct meter meter;
	struct fleet fleet;
	double duration_s;

	loss_per_million = loss;
	if (!begin_scenario (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	meter_run (&meter, &fleet, 10);
	print_slope (scenario, "control_before", "bytes/s/node", meter.sum / meter.seconds, 6000);
	meter_start (&meter, &fleet);
	fleet_change_document (&fleet, 0);
	fleet_mark_leaving (&fleet, 0, "db/1", 1);
	duration_s = run_until_adopted (&meter, &fleet, 6);
	meter_print (&meter, scenario);
	print_slope (scenario, "everywhere", "s", duration_s, 4);
	fleet_finish (&fleet);
}

static void
measure_changes (const char *scenario)
{
	struct meter meter;
	struct fleet fleet;
	double worst_s = 0;

	loss_per_million = 10000;
	if (!begin_scenario (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < 10; i++)
	{
		double duration_s;

		fleet_change_document (&fleet, i % FLEET_SERVICES);
		duration_s = run_until_adopted (&meter, &fleet, 6);
		worst_s = MAX (worst_s, duration_s);
	}
	meter_print (&meter, scenario);
	print_slope (scenario, "everywhere", "s", worst_s, 4);
	fleet_finish (&fleet);
}

static void
measure_deaths (const char *scenario, uint32_t deaths)
{
	struct meter meter;
	struct fleet fleet;
	double nearly_agreed_s;
	double duration_s;

	loss_per_million = 10000;
	if (!begin_scenario (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < deaths; i++)
		fleet_crash (&fleet, 17 + 10 * i);
	meter_run (&meter, &fleet, 2);
	fleet_change_document (&fleet, 0);
	duration_s = run_until_adopted (&meter, &fleet, 6);
	print_slope (scenario, "everywhere", "s", duration_s, 4);
	duration_s = run_until_agreed (&meter, &fleet, 30, &nearly_agreed_s);
	meter_print (&meter, scenario);
	print_slope (scenario, "agreed_after", "s", duration_s + 8, 0);
	fleet_finish (&fleet);
}

static void
measure_partition (const char *scenario, uint32_t partitioned_zones, uint32_t partition_s)
{
	struct meter meter;
	struct fleet fleet;
	double nearly_agreed_s;
	double duration_s;

	loss_per_million = 10000;
	if (!begin_scenario (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < TARGET_VMS; i++)
		fleet.world.nodes[i].partition = fleet.world.nodes[i].zone < partitioned_zones;
	meter_run (&meter, &fleet, partition_s / 2);
	fleet_change_document (&fleet, 1);
	meter_run (&meter, &fleet, partition_s - partition_s / 2);
	print_slope (scenario, "control_peak_during", "bytes/s/node", meter.peak_mean, 6000);
	virtual_heal (&fleet.world, TARGET_VMS);
	meter_start (&meter, &fleet);
	duration_s = run_until_adopted (&meter, &fleet, 4);
	print_slope (scenario, "everywhere", "s", duration_s, 4);
	duration_s = run_until_agreed (&meter, &fleet, 56, &nearly_agreed_s);
	meter_print (&meter, scenario);
	print_slope (scenario, "nearly_agreed_after", "s", nearly_agreed_s + 4, 10);
	print_slope (scenario, "agreed_after", "s", duration_s + 4, 0);
	fleet_finish (&fleet);
}

/* Replaces 230 VMs, one per second. Each is down for 8 s. */
static void
measure_replaced (const char *scenario)
{
	struct meter meter;
	struct fleet fleet;
	double nearly_agreed_s;
	double duration_s;

	loss_per_million = 10000;
	if (!begin_scenario (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < REPLACED_VMS + DOWNTIME_S; i++)
	{
		if (i < REPLACED_VMS)
			fleet_crash (&fleet, i * 3 + 5);
		if (i >= DOWNTIME_S)
			fleet_start (&fleet, (i - DOWNTIME_S) * 3 + 5);
		meter_run (&meter, &fleet, 1);
	}
	meter_print (&meter, scenario);
	duration_s = run_until_agreed (&meter, &fleet, 30, &nearly_agreed_s);
	print_slope (scenario, "nearly_agreed_after", "s", nearly_agreed_s, 10);
	print_slope (scenario, "agreed_after", "s", duration_s, 0);
	fleet_finish (&fleet);
}

int
main (int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
	{
		if (strcmp (argv[i], "--json") == 0)
			is_json = true;
		else if (strcmp (argv[i], "--verbose") == 0)
			is_verbose = true;
		else if (strcmp (argv[i], "--seed") == 0 && i + 1 < argc)
			seed = strtoull (argv[++i], NULL, 10);
		else if (argv[i][0] != '-' && !only_scenario)
			only_scenario = argv[i];
		else
		{
			fprintf (stderr,
			         "usage: slopes_membership [--json] [--verbose] [--seed N] [SCENARIO]\n");
			return 2;
		}
	}
	measure_polls ();
	measure_change ("change", 10000);
	measure_change ("change_loss_5", 50000);
	measure_changes ("changes");
	measure_deaths ("deaths", 5);
	measure_partition ("cut_zone", 1, 30);
	measure_partition ("cut_region", 2, 180);
	measure_replaced ("replaced");
	return 0;
}
