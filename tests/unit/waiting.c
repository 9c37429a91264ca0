/* Guards against a queue that serves old work first and new work late. Replays overload and outages in virtual time on
 * decision/waiting, beside first come first served without refusals. */
#include "decision/waiting.h"
#include "decision/retry.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum
{
	MS = 1000,
	STEP_US = 500,
	SLOTS = 4,
	MAX_REQUESTS = 8000,
	DAY_US = 14 * 1000 * MS,
	PATH_US = 5 * MS, /* One way between caller and server. */
	RETRIES = 2,
	KINDS = 3,
	SEEDS = 6,
};

enum policy
{
	POLICY_IN_ORDER,   /* First come first served; a request leaves at its time limit only. */
	POLICY_NO_REFUSAL, /* By priority; a request leaves at its time limit only. */
	POLICY_CHOSEN,
	POLICIES,
};

static const char *const policy_names[] = { "in order", "no refusal", "chosen" };

/* The kinds of request of the Riga sites, most urgent first. */
static const struct kind
{
	const char *name;
	double share;
	int64_t target_us;
	int64_t limit_us; /* Of the whole operation. */
	int64_t run_us;
	double worth;
	double late_worth;
} kinds[KINDS] = {
	{ "commission-seal", 0.15, 120 * MS, 1000 * MS, 3 * MS, 3.4, 0.41 },
	{ "draft-update", 0.70, 250 * MS, 1000 * MS, 9 * MS, 1.8, 0.27 },
	{ "stall-lookup", 0.15, 600 * MS, 3000 * MS, 15 * MS, 0.45, 0.2 },
};

/* Below this, a difference of worth is noise on the bench. */
static const double NOISE = 0.03;

/* A load pattern: arrivals a second as a function of time, and a time without a primary. */
struct pattern
{
	const char *name;
	double per_s;
	double burst[KINDS]; /* Factor for each kind during the burst. */
	int64_t burst_from_us;
	int64_t burst_until_us;
	int64_t lost_from_us;
	int64_t lost_until_us;
};

struct request
{
	unsigned kind;
	int64_t asked_us;   /* First attempt. */
	int64_t arrived_us; /* Present attempt, at the server's owner. */
	int64_t return_us;  /* When the caller returns; 0: it is not away. */
	unsigned retries;
	bool is_queued;
};

struct simulation
{
	const struct pattern *pattern;
	enum policy policy;
	struct request requests[MAX_REQUESTS];
	unsigned count;
	int64_t free_us[SLOTS];
	/* Streams of their own, so that each policy meets the same arrivals. */
	uint64_t arrival_random;
	uint64_t run_random;
	double owed;
	double earned;
	double kind_owed[KINDS];
	double kind_earned[KINDS];
	unsigned refused;
	int64_t latest_us;
	int64_t held_us; /* Time that refused requests had waited, in total. */
};

static double
draw (uint64_t *random)
{
	return ((double) (random_next (random) >> 11) + 0.5) / 9007199254740992.0;
}

static bool
is_lost (const struct simulation *simulation, int64_t now_us)
{
	return now_us >= simulation->pattern->lost_from_us &&
	       now_us < simulation->pattern->lost_until_us;
}

static bool
is_before (const struct simulation *simulation, const struct request *a, const struct request *b)
{
	if (simulation->policy != POLICY_IN_ORDER && a->kind != b->kind)
		return a->kind < b->kind;
	return a->arrived_us < b->arrived_us;
}

static void
refuse (struct simulation *simulation, struct request *request, int64_t retry_after_us,
        int64_t now_us)
{
	const struct kind *kind = &kinds[request->kind];

	simulation->refused++;
	simulation->held_us += now_us - request->arrived_us;
	request->is_queued = false;
	request->return_us = 0;
	if (request->retries++ < RETRIES &&
	    now_us + 2 * PATH_US + retry_after_us - request->asked_us < kind->limit_us)
		request->return_us = now_us + 2 * PATH_US + retry_after_us;
}

static void
judge (struct simulation *simulation, struct request *request, int64_t now_us)
{
	const struct kind *kind = &kinds[request->kind];
	bool is_outage = is_lost (simulation, now_us);
	int64_t waited_us = now_us - request->arrived_us;
	int64_t return_us = is_outage ? simulation->pattern->lost_until_us - now_us : waited_us;
	enum waiting_verdict verdict = WAITING_STAY;

	if (now_us - request->asked_us > kind->limit_us)
		request->is_queued = false;
	else if (simulation->policy == POLICY_CHOSEN)
		verdict = is_outage ? waiting_judge_outage (waited_us, kind->target_us)
		                    : waiting_judge_overload (waited_us, kind->target_us);
	if (verdict == WAITING_REFUSE)
		refuse (simulation, request, return_us, now_us);
}

static void
finish (struct simulation *simulation, struct request *request, int64_t end_us)
{
	const struct kind *kind = &kinds[request->kind];
	int64_t latency_us = end_us + PATH_US - request->asked_us;
	double worth = latency_us <= kind->target_us  ? kind->worth
	               : latency_us <= kind->limit_us ? kind->late_worth
	                                              : 0;

	request->is_queued = false;
	simulation->earned += worth;
	simulation->kind_earned[request->kind] += worth;
	simulation->latest_us = MAX (simulation->latest_us, latency_us);
}

static void
start_next (struct simulation *simulation, int64_t now_us)
{
	for (unsigned slot = 0; slot < SLOTS && !is_lost (simulation, now_us); slot++)
	{
		struct request *next = NULL;

		if (simulation->free_us[slot] > now_us)
			continue;
		for (unsigned i = 0; i < simulation->count; i++)
		{
			struct request *request = &simulation->requests[i];

			if (request->is_queued && (!next || is_before (simulation, request, next)))
				next = request;
		}
		if (!next)
			return;
		simulation->free_us[slot] = now_us + (int64_t) (-log (draw (&simulation->run_random)) *
		                                                (double) kinds[next->kind].run_us);
		finish (simulation, next, simulation->free_us[slot]);
	}
}

static void
arrive (struct simulation *simulation, int64_t now_us)
{
	const struct pattern *pattern = simulation->pattern;
	bool is_burst = now_us >= pattern->burst_from_us && now_us < pattern->burst_until_us;

	for (unsigned kind = 0; kind < KINDS; kind++)
	{
		double per_s = pattern->per_s * kinds[kind].share * (is_burst ? pattern->burst[kind] : 1);
		struct request *request = &simulation->requests[simulation->count];

		if (draw (&simulation->arrival_random) > per_s * STEP_US / 1e6)
			continue;
		g_assert_cmpuint (simulation->count, <, MAX_REQUESTS);
		simulation->count++;
		*request = (struct request){
			.kind = kind, .asked_us = now_us - PATH_US, .arrived_us = now_us, .is_queued = true
		};
		simulation->owed += kinds[kind].worth;
		simulation->kind_owed[kind] += kinds[kind].worth;
	}
}

static void
drop_ended (struct simulation *simulation)
{
	for (unsigned i = simulation->count; i-- > 0;)
		if (!simulation->requests[i].is_queued && simulation->requests[i].return_us == 0)
			simulation->requests[i] = simulation->requests[--simulation->count];
}

static void
simulate (struct simulation *simulation, const struct pattern *pattern, enum policy policy,
          uint64_t seed)
{
	simulation->pattern = pattern;
	simulation->policy = policy;
	simulation->count = 0;
	memset (simulation->free_us, 0, sizeof simulation->free_us);
	simulation->arrival_random = seed;
	simulation->run_random = seed + 1000;
	for (int64_t now_us = 0; now_us < DAY_US; now_us += STEP_US)
	{
		arrive (simulation, now_us);
		for (unsigned i = 0; i < simulation->count; i++)
		{
			struct request *request = &simulation->requests[i];

			if (request->return_us > 0 && now_us >= request->return_us)
			{
				request->return_us = 0;
				request->arrived_us = now_us;
				request->is_queued = true;
			}
			if (request->is_queued)
				judge (simulation, request, now_us);
		}
		start_next (simulation, now_us);
		drop_ended (simulation);
	}
}

static void
print (const struct simulation *simulation)
{
	const struct pattern *pattern = simulation->pattern;
	enum policy policy = simulation->policy;

	g_test_message (
		"%s, %s: worth %.3f (%s %.3f, %s %.3f, %s %.3f), %u refused after %.0f ms, latest answer "
		"%ld ms",
		pattern->name, policy_names[policy], simulation->earned / simulation->owed, kinds[0].name,
		simulation->kind_earned[0] / simulation->kind_owed[0], kinds[1].name,
		simulation->kind_earned[1] / simulation->kind_owed[1], kinds[2].name,
		simulation->kind_earned[2] / simulation->kind_owed[2], simulation->refused,
		(double) simulation->held_us / MS / MAX (1, simulation->refused),
		(long) simulation->latest_us / MS);
}

static void
test_pattern (gconstpointer data)
{
	struct simulation *simulation = g_new (struct simulation, 1);
	double worth[POLICIES];

	for (unsigned policy = 0; policy < POLICIES; policy++)
	{
		memset (simulation, 0, sizeof *simulation);
		for (uint64_t seed = 1; seed <= SEEDS; seed++)
			simulate (simulation, data, policy, seed);
		print (simulation);
		worth[policy] = simulation->earned / simulation->owed;
	}
	g_assert_cmpfloat (worth[POLICY_CHOSEN], >, worth[POLICY_IN_ORDER] + NOISE);
	g_assert_cmpfloat (worth[POLICY_CHOSEN], >, worth[POLICY_NO_REFUSAL]);
	g_free (simulation);
}

static const struct pattern patterns[] = {
	{ "burst", 300, { 2.5, 2.5, 2.5 }, 3000 * MS, 7000 * MS, 0, 0 },
	{ "lookup-burst", 300, { 1, 1, 14 }, 3000 * MS, 7000 * MS, 0, 0 },
	{ "failover", 300, { 1, 1, 1 }, 0, 0, 4000 * MS, 5200 * MS },
	{ "burst-in-failover", 300, { 2, 2, 2 }, 3500 * MS, 7000 * MS, 4000 * MS, 5200 * MS },
};

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS (patterns); i++)
	{
		g_autofree char *path = g_strdup_printf ("/waiting/%s", patterns[i].name);

		g_test_add_data_func (path, &patterns[i], test_pattern);
	}
	return g_test_run ();
}
