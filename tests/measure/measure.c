/* Prints what callers see under the chosen policy and under simple baselines. */
#include "simulation.h"

#include "common/clock.h"
#include "common/counters.h"

#include <stdio.h>
#include <string.h>

enum
{
	DURATION_US = 20 * US_PER_S,
	FAILOVER_DURATION_US = 28 * US_PER_S,
};

static const uint64_t seeds[] = { 1, 2 };

static const char *const policy_names[POLICY_COUNT] = {
	"chosen",
	"primary_reads",
	"vm_pools",
	"primary_ack",
};

static int
compare_latencies (const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *) a;
	uint32_t right = *(const uint32_t *) b;

	return left < right ? -1 : left > right;
}

static double
share (uint64_t part, uint64_t whole)
{
	return whole ? (double) part / (double) whole : 1;
}

static double
p99_ms (const struct rank_tally *rank)
{
	if (rank->latencies_us->len == 0)
		return 0;
	g_array_sort (rank->latencies_us, compare_latencies);
	return g_array_index (rank->latencies_us, uint32_t, rank->latencies_us->len * 99 / 100) / 1e3;
}

static void
print_json (const struct plan *plan, const struct tally *tally)
{
	printf ("{\"scenario\": \"%s/%s\", \"policy\": \"%s\", \"replica_read_share\": %.4f, ",
	        plan->scenario->name, plan->name, policy_names[plan->policy],
	        share (tally->replica_served, tally->replica_possible));
	if (plan->has_failover)
		printf ("\"failover_gap_ms\": %.0f, ", (double) tally->failover_gap_us / US_PER_MS);
	else
		printf ("\"failover_gap_ms\": null, ");
	printf ("\"ranks\": {");
	for (int i = 0; i < RANK_COUNT; i++)
	{
		const struct rank_tally *rank = &tally->ranks[i];

		printf ("%s\"%s\": {\"served_share\": %.4f, \"p99_ms\": %.1f, \"in_target_share\": %.4f}",
		        i ? ", " : "", rank_name ((enum rank) i), share (rank->served, rank->offered),
		        p99_ms (rank), share (rank->in_target, rank->offered));
	}
	/* The simulated requests are single statements: mixed transactions are not measured here. */
	printf ("}, \"acked_lost\": %lu, \"doubled\": %lu, \"ryw_violations\": %lu, "
	        "\"not_run_but_ran\": %lu, \"mixed\": null}\n",
	        tally->acked_lost, tally->doubled, tally->ryw_violations, tally->not_run_but_ran);
}

static void
print_heading (void)
{
	printf ("%-22s %-14s %7s %7s", "scenario", "policy", "replica", "gap ms");
	for (int i = 0; i < RANK_COUNT; i++)
		printf (" | %-6s p99 ms target", rank_name ((enum rank) i));
	printf (" | %6s %6s %6s %6s\n", "lost", "double", "ryw", "ran");
}

static void
print_row (const struct plan *plan, const struct tally *tally)
{
	char name[128];
	char gap[32] = "-";

	snprintf (name, sizeof name, "%s/%s", plan->scenario->name, plan->name);
	if (plan->has_failover)
		snprintf (gap, sizeof gap, "%.0f", (double) tally->failover_gap_us / US_PER_MS);
	printf ("%-22s %-14s %7.3f %7s", name, policy_names[plan->policy],
	        share (tally->replica_served, tally->replica_possible), gap);
	for (int i = 0; i < RANK_COUNT; i++)
	{
		const struct rank_tally *rank = &tally->ranks[i];

		printf (" | %6.3f %6.0f %6.3f", share (rank->served, rank->offered), p99_ms (rank),
		        share (rank->in_target, rank->offered));
	}
	printf (" | %6lu %6lu %6lu %6lu\n", tally->acked_lost, tally->doubled, tally->ryw_violations,
	        tally->not_run_but_ran);
}

static void
run_plan (struct plan *plan, bool is_json)
{
	struct tally tally = { .failover_gap_us = -1 };

	for (int i = 0; i < RANK_COUNT; i++)
		tally.ranks[i].latencies_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
	for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
	{
		plan->seed = seeds[i];
		simulate (plan, &tally);
	}
	if (is_json)
		print_json (plan, &tally);
	else
		print_row (plan, &tally);
	fflush (stdout);
	for (int i = 0; i < RANK_COUNT; i++)
		g_array_free (tally.ranks[i].latencies_us, TRUE);
}

static void
run_scenario (const struct scenario *scenario, bool is_json)
{
	const struct plan plans[] = {
		{ scenario, "steady", POLICY_CHOSEN, { 1, 1, 1 }, false, DURATION_US, 0 },
		{ scenario,
		  "low_flood",
		  POLICY_CHOSEN,
		  { 1, 1, scenario->flood_low },
		  false,
		  DURATION_US,
		  0 },
		{ scenario,
		  "urgent_flood",
		  POLICY_CHOSEN,
		  { scenario->flood_urgent, 1, 1 },
		  false,
		  DURATION_US,
		  0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (plans); i++)
		for (int policy = 0; policy < POLICY_COUNT; policy++)
		{
			struct plan plan = plans[i];

			plan.policy = (enum policy) policy;
			run_plan (&plan, is_json);
		}
}

int
main (int argc, char **argv)
{
	bool is_json = argc > 1 && strcmp (argv[1], "--json") == 0;

	if (!is_json)
		print_heading ();
	for (int i = is_json ? 2 : 1; i < argc; i++)
	{
		struct scenario scenario;

		if (scenario_load (&scenario, argv[i]) < 0)
			return 1;
		run_scenario (&scenario, is_json);
	}
	if (counter_get (COUNTER_INVARIANT_VIOLATIONS) > 0)
	{
		fprintf (stderr, "measure: %lu invariant violations, see the log\n",
		         counter_get (COUNTER_INVARIANT_VIOLATIONS));
		return 1;
	}
	return 0;
}
