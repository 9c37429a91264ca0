#include "gateway_fleet_random.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
	RANDOM_RECOVERY_MS = 12000, /* After the last fault the fleet recovers within this time. */
	RANDOM_MAX_FAULTS = 7,
	RANDOM_MAX_DURATION_MS = 7000,
	RANDOM_MAX_AGE_MS = 10000, /* Greatest age of a copy of the store. */
	RANDOM_MAX_KILLED = 3,
};

enum random_kind
{
	RANDOM_CUT_ZONE,
	RANDOM_CRASH,
	RANDOM_RELEASE,
	RANDOM_FREEZE,
	RANDOM_KILL,
	RANDOM_STORE_AWAY,
	RANDOM_REFUSE,
	RANDOM_LOSSY,
	RANDOM_CONFIGURE,
	RANDOM_KINDS,
	RANDOM_DEAF = RANDOM_KINDS, /* Only in a series of losses. */
	RANDOM_ALL_KINDS,
};

struct random_plan
{
	const struct fleet_series *series;
	struct virtual_world world; /* For its random numbers. */
	GArray *faults;             /* Array of struct fleet_fault. */
	int64_t end_ms;
	/* Until when a subject is disturbed, by kind and subject. */
	int64_t busy_ms[RANDOM_ALL_KINDS][512];
};

static const char *const action_names[] = {
	[FLEET_CUT_ZONE] = "cut zone",
	[FLEET_HEAL_ZONE] = "heal zone",
	[FLEET_CRASH_SERVER] = "crash primary of",
	[FLEET_START_SERVER] = "start servers of",
	[FLEET_DEAFEN] = "deafen replicas of",
	[FLEET_RESUME] = "resume replicas of",
	[FLEET_RELEASE] = "release primary of",
	[FLEET_FREEZE_VM] = "freeze VM",
	[FLEET_THAW_VM] = "thaw VM",
	[FLEET_KILL_VM] = "kill VM",
	[FLEET_START_VM] = "start VM",
	[FLEET_STORE_AWAY] = "store away",
	[FLEET_STORE_BACK] = "store back",
	[FLEET_REFUSE_VM] = "store refuses VM",
	[FLEET_ADMIT_VM] = "store admits VM",
	[FLEET_STORE_LOSSY] = "store loses answers",
	[FLEET_CONFIGURE] = "configure",
};

static void
print_plan (const struct fleet_case *played)
{
	for (size_t i = 0; i < played->fault_count; i++)
		g_test_message ("%8.3f s: %s %d, value %lld", (double) played->faults[i].at_ms / 1000,
		                action_names[played->faults[i].action], played->faults[i].subject,
		                (long long) played->faults[i].value);
}

static uint32_t
play (const struct fleet_case *played, uint32_t sync_replicas)
{
	struct gateway_fleet fleet;
	uint32_t count;
	uint64_t lost = 0;
	uint32_t promotions = 0;

	gateway_fleet_init (&fleet, played->seed, played->vm_count, played->service_count);
	if (sync_replicas > 0)
		gateway_fleet_require_replicas (&fleet, sync_replicas);
	gateway_fleet_check_recovered (&fleet);
	gateway_fleet_plan (&fleet, played->faults, played->fault_count);
	gateway_fleet_run (&fleet, played->until_ms);
	gateway_fleet_check_recovered (&fleet);
	for (int i = 0; i < fleet.service_count; i++)
	{
		lost += fleet.services[i].lost;
		promotions += fleet.services[i].promotions;
	}
	count = fleet.violation_count;
	g_test_message (
		"seed %llu, %d VMs: %llu writes acknowledged, %u promotions, %llu commits lost, %u "
		"violations",
		(unsigned long long) fleet.seed, fleet.vm_count, (unsigned long long) fleet.acknowledged,
		promotions, (unsigned long long) lost, count);
	if (count > 0)
	{
		print_plan (played);
		g_test_message ("%s", fleet.violations->str);
		g_test_fail ();
	}
	gateway_fleet_finish (&fleet);
	return count;
}

uint32_t
gateway_fleet_play (const struct fleet_case *played)
{
	return play (played, 0);
}

/* Random plans. */

static int
pick (struct random_plan *plan, int limit)
{
	return (int) (virtual_random (&plan->world) % (uint64_t) limit);
}

static void
add_fault (struct random_plan *plan, int64_t at_ms, enum fleet_action action, int subject,
           int64_t value)
{
	struct fleet_fault fault = { at_ms, action, subject, value };

	g_array_append_val (plan->faults, fault);
	plan->end_ms = MAX (plan->end_ms, at_ms);
}

static int64_t
max_duration_ms (const struct random_plan *plan)
{
	return MIN (plan->series->faults_ms, RANDOM_MAX_DURATION_MS);
}

/** Adds a disturbance from @p at_ms on, unless the subject is disturbed then. */
static void
add_disturbance (struct random_plan *plan, enum random_kind kind, int subject, int64_t at_ms,
                 const struct fleet_fault *begin, const struct fleet_fault *end)
{
	int64_t duration_ms = 200 + pick (plan, (int) max_duration_ms (plan));

	if (plan->busy_ms[kind][subject] > at_ms)
		return;
	add_fault (plan, at_ms, begin->action, subject, begin->value);
	add_fault (plan, at_ms + duration_ms, end->action, subject, end->value);
	plan->busy_ms[kind][subject] = at_ms + duration_ms + 1;
}

static void
add_store_outage (struct random_plan *plan, int64_t at_ms)
{
	const struct fleet_fault away = { .action = FLEET_STORE_AWAY,
		                              .value = FLEET_STORE_SILENT + pick (plan, 2) };
	bool is_restored = plan->series->is_restored && pick (plan, 4) > 0;
	const struct fleet_fault back = {
		.action = FLEET_STORE_BACK,
		.value = is_restored ? 500 + pick (plan, RANDOM_MAX_AGE_MS) : 0,
	};

	add_disturbance (plan, RANDOM_STORE_AWAY, 0, at_ms, &away, &back);
}

static void
add_random (struct random_plan *plan, enum random_kind kind, int64_t at_ms)
{
	static const struct fleet_fault pairs[RANDOM_ALL_KINDS][2] = {
		[RANDOM_CUT_ZONE] = { { .action = FLEET_CUT_ZONE }, { .action = FLEET_HEAL_ZONE } },
		[RANDOM_CRASH] = { { .action = FLEET_CRASH_SERVER }, { .action = FLEET_START_SERVER } },
		[RANDOM_FREEZE] = { { .action = FLEET_FREEZE_VM }, { .action = FLEET_THAW_VM } },
		[RANDOM_KILL] = { { .action = FLEET_KILL_VM }, { .action = FLEET_START_VM } },
		[RANDOM_REFUSE] = { { .action = FLEET_REFUSE_VM }, { .action = FLEET_ADMIT_VM } },
	};
	struct fleet_fault begin = pairs[kind][0];
	int services = plan->series->service_count;
	int vms = plan->series->vm_count;

	switch (kind)
	{
	case RANDOM_CUT_ZONE:
		add_disturbance (plan, kind, pick (plan, FLEET_ZONES), at_ms, &begin, &pairs[kind][1]);
		break;
	case RANDOM_CRASH:
		begin.value = pick (plan, 2);
		add_disturbance (plan, kind, pick (plan, services), at_ms, &begin, &pairs[kind][1]);
		break;
	case RANDOM_FREEZE:
	case RANDOM_KILL:
	case RANDOM_REFUSE:
		/* A frozen VM is not killed: both kinds have the same list. */
		for (int i = 1 + pick (plan, RANDOM_MAX_KILLED); i > 0; i--)
			add_disturbance (plan, kind == RANDOM_KILL ? RANDOM_FREEZE : kind, pick (plan, vms),
			                 at_ms, &begin, &pairs[kind][1]);
		break;
	case RANDOM_STORE_AWAY:
		add_store_outage (plan, at_ms);
		break;
	case RANDOM_LOSSY:
		add_disturbance (
			plan, kind, 0, at_ms,
			&(struct fleet_fault){ .action = FLEET_STORE_LOSSY, .value = 100 + pick (plan, 400) },
			&(struct fleet_fault){ .action = FLEET_STORE_LOSSY });
		break;
	case RANDOM_RELEASE:
		add_fault (plan, at_ms, FLEET_RELEASE, pick (plan, services), 0);
		break;
	case RANDOM_DEAF:
		add_disturbance (plan, kind, pick (plan, services), at_ms,
		                 &(struct fleet_fault){ .action = FLEET_DEAFEN },
		                 &(struct fleet_fault){ .action = FLEET_RESUME });
		break;
	case RANDOM_CONFIGURE:
	case RANDOM_ALL_KINDS:
		add_fault (plan, at_ms, FLEET_CONFIGURE, 0, 0);
		break;
	}
}

/** Adds a return of the store from an older copy, and a fault whose consequences may be lost with it. */
static void
add_restore (struct random_plan *plan, int64_t at_ms)
{
	static const enum random_kind kinds[] = { RANDOM_CRASH, RANDOM_RELEASE, RANDOM_KILL,
		                                      RANDOM_CONFIGURE, RANDOM_CUT_ZONE };

	add_store_outage (plan, at_ms);
	add_random (plan, kinds[pick (plan, G_N_ELEMENTS (kinds))],
	            MAX (0, at_ms - pick (plan, RANDOM_MAX_AGE_MS)));
	add_random (plan, kinds[pick (plan, G_N_ELEMENTS (kinds))],
	            at_ms + pick (plan, RANDOM_MAX_DURATION_MS));
}

/** Adds losses of primaries that follow one another, while replicas receive nothing. */
static void
add_losses (struct random_plan *plan)
{
	static const enum random_kind kinds[] = { RANDOM_CUT_ZONE, RANDOM_CRASH, RANDOM_CUT_ZONE,
		                                      RANDOM_CRASH, RANDOM_RELEASE };
	int losses = 2 + pick (plan, plan->series->losses - 1);
	int64_t at_ms = pick (plan, plan->series->faults_ms);

	add_random (plan, RANDOM_CUT_ZONE, at_ms);
	for (int i = 1; i < losses; i++)
	{
		for (int j = 0; j < plan->series->service_count; j++)
			add_random (plan, RANDOM_DEAF, at_ms + pick (plan, 2000));
		at_ms += 1500 + pick (plan, 3500);
		for (int j = 0; j < plan->series->service_count; j++)
			add_random (plan, kinds[pick (plan, G_N_ELEMENTS (kinds))], at_ms + pick (plan, 1000));
	}
}

/** Adds losses of primaries, before each of which a replica begins to leave and one receives nothing for a while. */
static void
add_replica_losses (struct random_plan *plan)
{
	const struct fleet_fault resume = { .action = FLEET_RESUME };
	int64_t at_ms = pick (plan, plan->series->faults_ms);

	for (int i = 0; i < plan->series->service_count; i++)
	{
		const struct fleet_fault deafen = { .action = FLEET_DEAFEN, .value = pick (plan, 3) };
		int64_t service_ms = at_ms + pick (plan, 1000);

		add_fault (plan, service_ms, FLEET_RELEASE, i, pick (plan, 3));
		add_disturbance (plan, RANDOM_DEAF, i, service_ms + pick (plan, 2500), &deafen, &resume);
		add_random (plan, pick (plan, 4) > 0 ? RANDOM_CRASH : RANDOM_CUT_ZONE,
		            service_ms + pick (plan, 4000));
	}
}

static int
compare_faults (const void *a, const void *b)
{
	const struct fleet_fault *first = a;
	const struct fleet_fault *second = b;

	return (first->at_ms > second->at_ms) - (first->at_ms < second->at_ms);
}

static void
play_random (const struct fleet_series *series, uint64_t seed)
{
	struct random_plan *plan = g_new0 (struct random_plan, 1);
	struct fleet_case played = {
		.seed = seed,
		.vm_count = series->vm_count,
		.service_count = series->service_count,
	};
	int count;

	plan->series = series;
	plan->world.random = seed ^ 0x5eed;
	plan->faults = g_array_new (FALSE, FALSE, sizeof (struct fleet_fault));
	count = 2 + pick (plan, RANDOM_MAX_FAULTS - 1);
	for (int i = 0; i < count; i++)
	{
		int64_t at_ms = pick (plan, series->faults_ms);

		add_random (plan, pick (plan, RANDOM_KINDS), at_ms);
	}
	for (int i = series->is_restored ? 1 + pick (plan, 2) : 0; i > 0; i--)
		add_restore (plan, pick (plan, series->faults_ms));
	if (series->losses > 0)
		add_losses (plan);
	if (series->sync_replicas > 0)
		add_replica_losses (plan);
	g_array_sort (plan->faults, compare_faults);
	played.faults = (const struct fleet_fault *) plan->faults->data;
	played.fault_count = plan->faults->len;
	played.until_ms = plan->end_ms + RANDOM_RECOVERY_MS;
	play (&played, series->sync_replicas);
	g_array_free (plan->faults, TRUE);
	g_free (plan);
}

void
gateway_fleet_play_random (const struct fleet_series *series)
{
	const char *text = getenv ("GATEWAY_FLEET_SEEDS");
	unsigned long long first = series->first;
	unsigned long long count = series->count;

	if (text && sscanf (text, "%llu:%llu", &first, &count) != 2)
		g_error ("GATEWAY_FLEET_SEEDS is not FIRST:COUNT: %s", text);
	for (unsigned long long seed = first; seed < first + count; seed++)
		play_random (series, seed);
}
