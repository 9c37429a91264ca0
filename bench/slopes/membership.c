/**
 * @file
 * Measures the control bytes of each second and the agreement on members at the target size, with the
 * real decision modules under virtual time, through changes, deaths and cuts. Counts repeat exactly.
 */
#include "fleet.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
	BIG = 750,
	ZONES = 4,
	SETTLE_S = 120,
	STEP_US = 100000,
	STEPS_PER_S = 10,
	REPLACED = 230,
	AWAY_S = 8,
	/* A status poll both ways, as in bench/slopes/slopes.c. */
	POLL_BYTES = 75 + 2 * 52 + 230 + 52,
	POLL_GROUPS = 72, /* Observed by 10 nodes at the target size. */
	POLL_NODES = 10,
	POSTPONE_US = 4000000, /* As in flamingospring/control_observer.c. */
};

/* Bytes a second of the status polls of a node, in quiet times and in POSTPONE_US after a change. */
static double quiet_polls;
static double postponed_polls;

/* Bytes of one node up to the present second. */
struct meter
{
	uint64_t bytes[BIG];
	uint64_t gossip;
	double peak;      /**< Highest mean of a second, with polls. */
	uint64_t highest; /**< Highest of any node in any second. */
	double sum;
	uint32_t seconds;
	bool is_started;
};

static const char *only;
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
			full, unit, (unsigned) BIG, value, budget);
	else
		printf ("%-36s at %5u: %12.3f %-18s budget %g%s\n", full, (unsigned) BIG, value, unit,
		        budget, budget > 0 && value > budget ? "  EXCEEDED" : "");
	fflush (stdout);
}

/* Polls of the groups of POLL_NODES nodes in @p time_us. */
static double
count_polls (struct failover *groups, int64_t *now_us, int64_t time_us)
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
	count_polls (groups, &now_us, 20000000);
	quiet_polls = count_polls (groups, &now_us, 60000000);
	for (uint32_t g = 0; g < POLL_GROUPS; g++)
		failover_postpone_replicas (&groups[g], POSTPONE_US, now_us);
	postponed_polls = count_polls (groups, &now_us, POSTPONE_US);
	after = count_polls (groups, &now_us, 2000000);
	/* tools/slopes runs each scenario by itself. */
	if (!only || strcmp (only, "change") == 0)
	{
		print_slope ("polls", "quiet", "bytes/s/node", quiet_polls, 0);
		print_slope ("polls", "postponed", "bytes/s/node", postponed_polls, 0);
		print_slope ("polls", "after_postponed", "bytes/s/node", after, 0);
	}
	for (uint32_t g = 0; g < POLL_GROUPS; g++)
		failover_finish (&groups[g]);
}

/* Bytes of the status polls of a VM in the last second. */
static uint64_t
poll_bytes (const struct fleet_vm *vm)
{
	int64_t since_us = vm->fleet->world.now_us - vm->gossip_revision_at_us;
	double postponed = 0;

	if (vm->gossip_revision == 0 || since_us >= POSTPONE_US + 1000000)
		return (uint64_t) quiet_polls;
	postponed = since_us < 1000000 ? (double) since_us / 1e6 : 1;
	if (since_us > POSTPONE_US)
		postponed = 1 - (double) (since_us - POSTPONE_US) / 1e6;
	return (uint64_t) (quiet_polls + (postponed_polls - quiet_polls) * postponed);
}

static void
meter_read (struct meter *meter, const struct fleet *fleet)
{
	uint64_t gossip = 0;
	uint64_t sum = 0;

	for (uint32_t i = 0; i < BIG; i++)
	{
		const struct fleet_vm *vm = &fleet->vms[i];
		uint64_t bytes = vm->sent_bytes + vm->received_bytes + vm->pull_bytes;
		uint64_t second = bytes - meter->bytes[i] + poll_bytes (vm);

		meter->highest = MAX (meter->highest, second);
		sum += second;
		gossip += vm->sent_bytes;
		meter->bytes[i] = bytes;
	}
	meter->peak = MAX (meter->peak, (double) sum / BIG);
	meter->sum += (double) sum / BIG;
	meter->seconds++;
	if (is_verbose && meter->is_started)
		printf ("t=%.1f mean %.0f sent %.0f highest %llu behind %u wrong %llu unsettled %u\n",
		        (double) fleet->world.now_us / 1e6, (double) sum / BIG,
		        (double) (gossip - meter->gossip) / BIG, (unsigned long long) meter->highest,
		        fleet_count_outdated (fleet), (unsigned long long) fleet_count_wrong_views (fleet),
		        fleet_count_unconverged (fleet));
	meter->gossip = gossip;
}

static void
meter_start (struct meter *meter, const struct fleet *fleet)
{
	memset (meter, 0, sizeof *meter);
	meter_read (meter, fleet);
	meter->peak = meter->sum = 0;
	meter->highest = meter->seconds = 0;
	meter->is_started = true;
}

/* Runs for whole seconds. */
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
	print_slope (scenario, "control_peak", "bytes/s/node", meter->peak, 6000);
	print_slope (scenario, "control_highest_node", "bytes/s", (double) meter->highest, 0);
}

/* Runs whole seconds; returns the time until all running VMs have the platform's documents. */
static double
run_until_adopted (struct meter *meter, struct fleet *fleet, uint32_t seconds)
{
	double took_s = -1;

	for (uint32_t i = 1; i <= seconds * STEPS_PER_S; i++)
	{
		fleet_run (fleet, STEP_US, 0);
		if (took_s < 0 && fleet_count_outdated (fleet) == 0)
			took_s = (double) i / STEPS_PER_S;
		if (i % STEPS_PER_S == 0)
			meter_read (meter, fleet);
	}
	return took_s < 0 ? 1e3 : took_s;
}

/* Runs whole seconds; returns the time after which no view is wrong, to the end, and sets @p most_s to
 * that after which at most 1 in 1,000 is. */
static double
run_until_agreed (struct meter *meter, struct fleet *fleet, uint32_t seconds, double *most_s)
{
	double took_s = 0;

	*most_s = 0;

	for (uint32_t i = 1; i <= seconds; i++)
	{
		fleet_run (fleet, 1000000, 0);
		meter_read (meter, fleet);
		if (fleet_count_wrong_views (fleet) > 0)
			took_s = i + 1;
		if (fleet_count_wrong_views (fleet) > BIG * BIG / 1000)
			*most_s = i + 1;
	}
	return took_s;
}

static bool
fleet_begin (struct fleet *fleet, const char *scenario)
{
	struct virtual_link link = { 5000, 2000, loss_per_million, false };

	if (only && strcmp (only, scenario) != 0)
		return false;
	fleet_init (fleet, seed, BIG, ZONES, 0, link, true);
	fleet_run (fleet, SETTLE_S * 1000000LL, 0);
	return true;
}

static void
measure_change (const char *scenario, uint32_t loss)
{
	struct meter meter;
	struct fleet fleet;
	double took_s;

	loss_per_million = loss;
	if (!fleet_begin (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	meter_run (&meter, &fleet, 10);
	print_slope (scenario, "control_before", "bytes/s/node", meter.sum / meter.seconds, 6000);
	meter_start (&meter, &fleet);
	fleet_change_document (&fleet, 0);
	fleet_mark_leaving (&fleet, 0, "db/1", 1);
	took_s = run_until_adopted (&meter, &fleet, 6);
	meter_print (&meter, scenario);
	print_slope (scenario, "everywhere", "s", took_s, 4);
	fleet_finish (&fleet);
}

static void
measure_changes (const char *scenario)
{
	struct meter meter;
	struct fleet fleet;
	double worst_s = 0;

	loss_per_million = 10000;
	if (!fleet_begin (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < 10; i++)
	{
		double took_s;

		fleet_change_document (&fleet, i % FLEET_SERVICES);
		took_s = run_until_adopted (&meter, &fleet, 6);
		worst_s = MAX (worst_s, took_s);
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
	double most_s;
	double took_s;

	loss_per_million = 10000;
	if (!fleet_begin (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < deaths; i++)
		fleet_crash (&fleet, 17 + 10 * i);
	meter_run (&meter, &fleet, 2);
	fleet_change_document (&fleet, 0);
	took_s = run_until_adopted (&meter, &fleet, 6);
	print_slope (scenario, "everywhere", "s", took_s, 4);
	took_s = run_until_agreed (&meter, &fleet, 30, &most_s);
	meter_print (&meter, scenario);
	print_slope (scenario, "agreed_after", "s", took_s + 8, 0);
	fleet_finish (&fleet);
}

static void
measure_cut (const char *scenario, uint32_t cut_zones, uint32_t cut_s)
{
	struct meter meter;
	struct fleet fleet;
	double most_s;
	double took_s;

	loss_per_million = 10000;
	if (!fleet_begin (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < BIG; i++)
		fleet.world.nodes[i].partition = fleet.world.nodes[i].zone < cut_zones;
	meter_run (&meter, &fleet, cut_s / 2);
	fleet_change_document (&fleet, 1);
	meter_run (&meter, &fleet, cut_s - cut_s / 2);
	print_slope (scenario, "control_peak_during", "bytes/s/node", meter.peak, 6000);
	virtual_heal (&fleet.world, BIG);
	meter_start (&meter, &fleet);
	took_s = run_until_adopted (&meter, &fleet, 4);
	print_slope (scenario, "everywhere", "s", took_s, 4);
	took_s = run_until_agreed (&meter, &fleet, 56, &most_s);
	meter_print (&meter, scenario);
	print_slope (scenario, "nearly_agreed_after", "s", most_s + 4, 10);
	print_slope (scenario, "agreed_after", "s", took_s + 4, 0);
	fleet_finish (&fleet);
}

/* 230 VMs are replaced, one a second; a VM is away for 8 s. */
static void
measure_replaced (const char *scenario)
{
	struct meter meter;
	struct fleet fleet;
	double most_s;
	double took_s;

	loss_per_million = 10000;
	if (!fleet_begin (&fleet, scenario))
		return;
	meter_start (&meter, &fleet);
	for (uint32_t i = 0; i < REPLACED + AWAY_S; i++)
	{
		if (i < REPLACED)
			fleet_crash (&fleet, i * 3 + 5);
		if (i >= AWAY_S)
			fleet_start (&fleet, (i - AWAY_S) * 3 + 5);
		meter_run (&meter, &fleet, 1);
	}
	meter_print (&meter, scenario);
	took_s = run_until_agreed (&meter, &fleet, 30, &most_s);
	print_slope (scenario, "nearly_agreed_after", "s", most_s, 10);
	print_slope (scenario, "agreed_after", "s", took_s, 0);
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
		else if (argv[i][0] != '-' && !only)
			only = argv[i];
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
	measure_cut ("cut_zone", 1, 30);
	measure_cut ("cut_region", 2, 180);
	measure_replaced ("replaced");
	return 0;
}
