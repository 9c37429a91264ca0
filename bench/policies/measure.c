/* Measures what callers see under the chosen policy and under simpler baselines, and prints one JSON
 * object for each scenario, plan and policy. */
#include "simulation.h"

#include "common/clock.h"
#include "common/counters.h"
#include "schema/yaml_reader.h"

#include <stdio.h>

static const uint64_t seeds[] = { 1, 2 };
static const char *const policy_names[POLICY_COUNT] = { "chosen", "primary_reads", "vm_pools",
	                                                    "primary_ack", "monotonic" };

static uint32_t
load_number (struct yaml_reader *reader, const yaml_node_t *node, const char *key)
{
	return yaml_reader_number (reader, node, key, key, 0, 1000000, 0, true);
}

#define LOAD_SCENARIO_FIELD(name) scenario->name = load_number (reader, root, #name);
#define LOAD_WORK_FIELD(name)     work->name = load_number (reader, node, #name);

static void
load_document (struct yaml_reader *reader, struct scenario *scenario)
{
	static const char *const ranks[] = { "urgent", "normal", "low", NULL };
	static const char *const kinds[] = { "read", "primary_read", "write", NULL };
	const yaml_node_t *root = yaml_reader_root (reader);
	const yaml_node_t *list = yaml_reader_find (reader, root, "work");
	size_t count = list ? yaml_reader_sequence_length (reader, list, "work") : 0;

	yaml_reader_name (reader, root, "name", "name", scenario->name, sizeof scenario->name);
	SCENARIO_FIELDS (LOAD_SCENARIO_FIELD)
	if (count < 1 || count > MAX_WORK || scenario->vms > MAX_VMS ||
	    scenario->databases > FLEET_MAX_GROUPS || scenario->zones > VIRTUAL_MAX_ZONES)
		yaml_reader_report (reader, root, "",
		                    "unsupported number of work entries, vms, databases or zones");
	for (uint32_t i = 0; i < count && i < MAX_WORK; i++)
	{
		const yaml_node_t *node = yaml_reader_item (reader, list, i);
		struct work *work = &scenario->work[scenario->work_count++];

		work->rank = (uint32_t) yaml_reader_choice (reader, node, "rank", "rank", ranks, 0);
		work->kind = (uint32_t) yaml_reader_choice (reader, node, "kind", "kind", kinds, 0);
		WORK_FIELDS (LOAD_WORK_FIELD)
	}
}

/* Loads a scenario file and prints its errors to stderr. @return whether the file is valid. */
static bool
load_scenario (struct scenario *scenario, const char *path)
{
	struct findings findings;
	struct yaml_reader reader = { 0 };
	g_autofree char *text = NULL;
	gsize length = 0;
	bool is_valid;

	memset (scenario, 0, sizeof *scenario);
	findings_init (&findings);
	if (!g_file_get_contents (path, &text, &length, NULL))
		findings_add (&findings, path, 0, 0, "", "cannot be read");
	else if (yaml_reader_init (&reader, path, text, length, &findings) == 0)
		load_document (&reader, scenario);
	yaml_reader_finish (&reader);
	findings_print (&findings, stderr);
	is_valid = findings.count == 0;
	findings_finish (&findings);
	return is_valid;
}

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

/* Average number of slots that a rank occupied. */
static double
slots_used (const struct results *results, int rank)
{
	return (double) results->slot_time_us[rank] / (double) results->duration_us;
}

static void
print_rank (const struct results *results, int rank)
{
	GArray *sorted = results->latencies_us[rank];
	guint at = sorted->len * 99 / 100;
	double p99_ms = 0;

	g_array_sort (sorted, compare_latencies);
	if (sorted->len > 0)
		p99_ms = g_array_index (sorted, uint32_t, at) / 1e3;
	printf ("\"%s\": {\"served_share\": %.4f, \"p99_ms\": %.1f, \"in_target_share\": %.4f, "
	        "\"slots_used\": %.2f}, ",
	        rank_name ((enum rank) rank), share (results->served[rank], results->offered[rank]),
	        p99_ms, share (results->in_target[rank], results->offered[rank]),
	        slots_used (results, rank));
}

/* Prints null for "mixed", because simulated requests are single statements. */
static void
print_results (const struct plan *plan, const struct results *results)
{
	printf ("{\"scenario\": \"%s/%s\", \"policy\": \"%s\", \"replica_read_share\": %.4f, ",
	        plan->scenario->name, plan->name, policy_names[plan->policy],
	        share (results->replica_served, results->replica_eligible));
	if (plan->has_failover)
		printf ("\"failover_gap_ms\": %ld, ", results->failover_gap_us / US_PER_MS);
	else
		printf ("\"failover_gap_ms\": null, ");
	for (int rank = 0; rank < RANK_COUNT; rank++)
		print_rank (results, rank);
	printf ("\"acked_lost\": %lu, \"doubled\": %lu, \"ryw_violations\": %lu, "
	        "\"not_run_but_ran\": %lu, \"backward_reads\": %lu, \"mixed\": null}\n",
	        results->acked_lost, results->doubled, results->ryw_violations,
	        results->not_run_but_ran, results->backward_reads);
	fflush (stdout);
}

/* Checks the results of the chosen policy against the targets of docs/design.md. @return whether all
 * targets are met. */
static bool
check_targets (const struct plan *plan, const struct results *results)
{
	const struct scenario *scenario = plan->scenario;
	const uint32_t floors[RANK_COUNT] = { 0, scenario->floor_normal_percent,
		                                  scenario->floor_low_percent };
	double replica_slots = scenario->databases * (SERVERS - 1) * scenario->slots;
	bool is_met = share (results->replica_served, results->replica_eligible) >= 0.95 &&
	              results->failover_gap_us <= 5 * US_PER_S &&
	              results->acked_lost + results->doubled + results->ryw_violations +
	                      results->not_run_but_ran ==
	                  0;

	if (plan->factor[RANK_URGENT] == 1 && !plan->has_failover)
		is_met = is_met &&
		         share (results->in_target[RANK_URGENT], results->offered[RANK_URGENT]) >= 0.99;
	/* 90% of the floor is enough, because a rank needs time to earn its first statement. */
	for (int rank = RANK_NORMAL; rank < RANK_COUNT && !plan->has_failover; rank++)
		is_met = is_met && (share (results->served[rank], results->offered[rank]) >= 0.99 ||
		                    slots_used (results, rank) >= 0.9 * floors[rank] / 100 * replica_slots);
	if (!is_met)
		fprintf (stderr, "measure: %s/%s: a target of the chosen policy was missed\n",
		         scenario->name, plan->name);
	return is_met;
}

static bool
run_plan (struct plan *plan)
{
	bool is_met;

	struct results results = { 0 };

	for (int rank = 0; rank < RANK_COUNT; rank++)
		results.latencies_us[rank] = g_array_new (FALSE, FALSE, sizeof (uint32_t));
	for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
	{
		plan->seed = seeds[i];
		simulate (plan, &results);
	}
	print_results (plan, &results);
	is_met = plan->policy != POLICY_CHOSEN || check_targets (plan, &results);
	for (int rank = 0; rank < RANK_COUNT; rank++)
		g_array_free (results.latencies_us[rank], TRUE);
	return is_met;
}

int
main (int argc, char **argv)
{
	struct scenario scenario;
	bool is_met = true;

	for (int i = 1; i < argc; i++)
	{
		struct plan plans[] = {
			{ &scenario, "steady", { 1, 1, 1 }, false, POLICY_CHOSEN, 0 },
			{ &scenario, "low_flood", { 1, 1, 1 }, false, POLICY_CHOSEN, 0 },
			{ &scenario, "urgent_flood", { 1, 1, 1 }, false, POLICY_CHOSEN, 0 },
			{ &scenario, "failover", { 1, 1, 1 }, true, POLICY_CHOSEN, 0 },
		};

		if (!load_scenario (&scenario, argv[i]))
			return 2;
		plans[1].factor[RANK_LOW] = scenario.flood_low;
		plans[2].factor[RANK_URGENT] = scenario.flood_urgent;
		for (size_t p = 0; p < G_N_ELEMENTS (plans); p++)
			for (int policy = 0; policy < POLICY_COUNT; policy++)
			{
				plans[p].policy = (enum policy) policy;
				is_met = run_plan (&plans[p]) && is_met;
			}
	}
	if (counter_get (COUNTER_INVARIANT_VIOLATIONS) > 0)
		fprintf (stderr, "measure: invariant violations were logged\n");
	return is_met && counter_get (COUNTER_INVARIANT_VIOLATIONS) == 0 ? 0 : 1;
}
