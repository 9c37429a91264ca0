/* Guards against service under load that refuses work which could be served, serves late work in the place of work that
 * could be in time, or lets one tenant, a slow server or lagging replicas take it from others. Replays loads of one
 * service in virtual time on the decisions, beside two simpler sets of rules. */
#include "common/clock.h"
#include "decision/retry.h"
#include "decision/service_time.h"
#include "decision/wait_prediction.h"
#include "decision/waiting.h"
#include "decision/work_queue.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
	STEP_US = 500,
	SLOTS = 4,
	SERVERS = 3, /* The first one is the primary. */
	VMS = 30,    /* VM 0 to 2 own the server of the same number. */
	TENANTS = 8,
	MAX_REQUESTS = 6000,
	LOAD_US = 16 * US_PER_S,
	DAY_US = 20 * US_PER_S, /* The rest of the time limits passes after the load. */
	CALLER_US = 1 * US_PER_MS,
	LINK_US = 1 * US_PER_MS,
	RETRIES = 2,
	KINDS = 3,
	SEEDS = 4,
	ZONE_COST_US = 12 * US_PER_MS,
	PRIMARY_COST_US = 6 * US_PER_MS,
	OWNER_REPORT_US = 1 * US_PER_S,
};

enum policy
{
	POLICY_IN_ORDER, /* First come first served; refused after 85% of the target, at the owner and at the VM. */
	POLICY_PRIORITY, /* As before, but by priority: the rules of the release before this one. */
	POLICY_CHOSEN,
	POLICIES,
};

static const char *const policy_names[] = { "in order", "by priority", "chosen" };

/* The operations of B, most urgent first. */
static const struct kind
{
	double per_s; /* For one service. */
	int64_t work_us;
	int64_t target_us;
	int64_t limit_us;
	double worth;
	double late;
	double writes;       /* Share of operations that need the primary. */
	unsigned statements; /* Of an operation that needs the primary. */
} kinds[KINDS] = {
	{ 32, 5100, 150 * US_PER_MS, 2500 * US_PER_MS, 2, 0.6, 1, 2 },
	{ 150, 15000, 250 * US_PER_MS, 2500 * US_PER_MS, 2, 0.3, 0.5, 2 },
	{ 32, 26000, 500 * US_PER_MS, 8000 * US_PER_MS, 1, 0.3, 0, 1 },
};

struct pattern
{
	const char *name;
	double load;
	double factor[KINDS]; /* Of the load from from_us until until_us. */
	int64_t from_us;
	int64_t until_us;
	bool has_lag;     /* The replicas can serve no read meanwhile. */
	double slow;      /* Factor of the work at the last server meanwhile. */
	double hot;       /* Factor of the first tenant's load meanwhile; 0: there are no tenants. */
	double gain;      /* Least gain of worth over the rules by priority; negative: greatest loss. */
	double gain_rest; /* The same, for tenants but the first. */
};

enum place
{
	PLACE_NONE,
	PLACE_AWAY, /* The caller returns at at_us. */
	PLACE_VM,
	PLACE_FORWARDED, /* Reaches the owner at at_us. */
	PLACE_QUEUED,
	PLACE_RUNNING, /* Until at_us. */
};

struct request
{
	enum place place;
	unsigned kind;
	unsigned tenant;
	unsigned vm;
	unsigned server;
	unsigned statements; /* Left. */
	unsigned retries;
	bool needs_primary;
	bool may_move; /* Another server may run it, as the VM knew when it sent it. */
	bool is_started;
	bool has_prediction;
	int64_t asked_us;
	int64_t arrived_us; /* Present attempt, at the VM. */
	int64_t sent_us;
	int64_t queued_us;
	int64_t predicted_us;
	int64_t at_us;
};

struct path /* What a VM knows of a server. */
{
	int64_t latency_us;
	unsigned running;
	int64_t wait_us;
	int64_t reported_us;
};

struct
	watch /* A refused request: needless if a slot stands idle while it could still be in time. */
{
	bool needs_primary;
	int64_t until_us;
};

struct simulation
{
	const struct pattern *pattern;
	enum policy policy;
	struct request requests[MAX_REQUESTS];
	unsigned count;
	struct path paths[VMS][SERVERS];
	unsigned running[SERVERS];
	struct service_time times[SERVERS];
	struct work_queue queues[SERVERS];
	struct work_share shares[SERVERS][TENANTS];
	struct wait_error errors[SERVERS];
	struct watch watches[MAX_REQUESTS];
	unsigned watch_count;
	uint64_t arrival_random;
	uint64_t work_random;
	uint64_t retry_random;
};

struct result
{
	double owed[KINDS];
	double earned[KINDS];
	double rest_owed; /* Of tenants but the first. */
	double rest_earned;
	double busy_us;
	double late_us;
	double error_us;
	unsigned predictions;
	unsigned refused;
	unsigned needless;
};

static double
draw (uint64_t *random)
{
	return ((double) (random_next (random) >> 11) + 0.5) / 9007199254740992.0;
}

static bool
is_disturbed (const struct simulation *simulation, int64_t now_us)
{
	return now_us >= simulation->pattern->from_us && now_us < simulation->pattern->until_us;
}

static bool
may_run (const struct simulation *simulation, const struct request *request, unsigned server,
         int64_t now_us)
{
	if (server == 0)
		return true;
	return !request->needs_primary &&
	       !(simulation->pattern->has_lag && is_disturbed (simulation, now_us));
}

static enum service_time_kind
time_kind (const struct request *request)
{
	return request->needs_primary ? SERVICE_TIME_WRITE : SERVICE_TIME_READ;
}

static struct work_item
item_of (const struct simulation *simulation, const struct request *request)
{
	const struct kind *kind = &kinds[request->kind];
	struct work_item item = {
		.priority = request->kind,
		.is_started = request->is_started,
		.may_move = request->may_move,
		.expected_us =
			service_time_expected_us (&simulation->times[request->server], time_kind (request)),
	};

	item.due_us = waiting_due_us (request->arrived_us, kind->target_us, item.expected_us);
	return item;
}

static struct work_order
order_of (const struct simulation *simulation, const struct request *request, int64_t now_us)
{
	struct work_item item = item_of (simulation, request);
	const struct work_share *share =
		simulation->pattern->hot > 0 ? &simulation->shares[request->server][request->tenant] : NULL;

	if (simulation->policy == POLICY_CHOSEN)
		return work_queue_order (&simulation->queues[request->server], &item, share, now_us);
	return (struct work_order){
		.rank = request->is_started ? 0 : 1,
		.priority = simulation->policy == POLICY_IN_ORDER ? 0 : request->kind,
		.due_us = request->arrived_us,
	};
}

/* Predicts the wait of @p self (NULL: of an urgent read that arrives now). */
static int64_t
predict (const struct simulation *simulation, unsigned server, const struct request *self,
         int64_t now_us)
{
	struct wait_load load = { .slots = SLOTS };
	struct work_order order = { 0 };

	if (self)
		order = order_of (simulation, self, now_us);
	for (unsigned i = 0; i < simulation->count; i++)
	{
		const struct request *other = &simulation->requests[i];
		int64_t expected_us;

		if (other->server != server || other == self ||
		    (other->place != PLACE_RUNNING && other->place != PLACE_QUEUED))
			continue;
		expected_us = service_time_expected_us (&simulation->times[server], time_kind (other));
		if (other->place == PLACE_RUNNING)
			wait_load_add_running (&load, expected_us, now_us - other->sent_us);
		else
		{
			struct work_order others = order_of (simulation, other, now_us);

			if (self ? work_order_compare (&others, &order) < 0 : !others.is_late)
				wait_load_add_queued (&load, expected_us);
		}
	}
	return wait_predict_us (&load);
}

static void
report_load (struct simulation *simulation, const struct request *request, int64_t now_us)
{
	struct path *path = &simulation->paths[request->vm][request->server];

	path->wait_us = predict (simulation, request->server, NULL, now_us);
	path->reported_us = now_us;
}

static void
refuse (struct simulation *simulation, struct result *result, struct request *request,
        int64_t retry_us, int64_t now_us)
{
	const struct kind *kind = &kinds[request->kind];
	int64_t return_us = now_us + 2 * (int64_t) CALLER_US + retry_us;

	result->refused++;
	simulation->watches[simulation->watch_count++ % MAX_REQUESTS] =
		(struct watch){ request->needs_primary,
		                request->asked_us + kind->target_us - kind->work_us };
	request->place = PLACE_NONE;
	if (request->retries++ >= RETRIES || return_us - request->asked_us > kind->limit_us)
		return;
	request->place = PLACE_AWAY;
	request->at_us = return_us;
	request->vm = (request->vm + 1) % VMS;
}

static bool
is_overdue (const struct request *request, int64_t now_us)
{
	return waiting_judge_overload (now_us - request->arrived_us, kinds[request->kind].target_us) ==
	       WAITING_REFUSE;
}

/* Time that is left of the whole statement; the gateway does not know earlier attempts of the caller. */
static int64_t
left_us (const struct request *request, int64_t span_us, int64_t now_us)
{
	return request->arrived_us + span_us - now_us;
}

static void
choose_server (struct simulation *simulation, struct result *result, struct request *request,
               int64_t now_us)
{
	const struct kind *kind = &kinds[request->kind];
	struct path *paths = simulation->paths[request->vm];
	bool is_chosen = simulation->policy == POLICY_CHOSEN;
	int64_t best_us = INT64_MAX;
	int best = -1;

	for (unsigned server = 0; server < SERVERS; server++)
	{
		struct path *path = &paths[server];
		int64_t cost_us = path->latency_us * (path->running + 1) / SLOTS;

		if (!may_run (simulation, request, server, now_us) || now_us < request->at_us)
			continue;
		if (!is_chosen && !request->needs_primary && server == 0 && path->running >= SLOTS)
			continue;
		cost_us += server != request->vm % SERVERS ? ZONE_COST_US : 0;
		cost_us += server == 0 ? PRIMARY_COST_US : 0;
		if (is_chosen && now_us - path->reported_us < OWNER_REPORT_US)
			cost_us += path->wait_us;
		if (cost_us < best_us)
		{
			best_us = cost_us;
			best = (int) server;
		}
	}
	if (best >= 0)
	{
		request->server = (unsigned) best;
		request->place = PLACE_FORWARDED;
		request->may_move = may_run (simulation, request, 1, now_us);
		request->at_us = now_us + (request->vm == request->server ? 0 : LINK_US);
		request->sent_us = now_us;
		paths[best].running++;
	}
	else if (!is_chosen && is_overdue (request, now_us))
		refuse (simulation, result, request, now_us - request->arrived_us, now_us);
	else if (is_chosen && left_us (request, kind->limit_us, now_us) < kind->work_us)
		refuse (simulation, result, request, 0, now_us);
}

static void
judge_queued (struct simulation *simulation, struct result *result, struct request *request,
              bool is_arrival, int64_t now_us)
{
	const struct kind *kind = &kinds[request->kind];
	unsigned server = request->server;
	struct waiting_outlook outlook = {
		.has_free_slot = simulation->running[server] < SLOTS,
		.error_us = simulation->errors[server].mean_us,
		.expected_us = service_time_expected_us (&simulation->times[server], time_kind (request)),
		.limit_left_us = left_us (request, kind->limit_us, now_us),
	};

	if (request->is_started)
		return;
	if (simulation->policy != POLICY_CHOSEN)
	{
		if (!is_overdue (request, now_us))
			return;
		simulation->paths[request->vm][server].running--;
		refuse (simulation, result, request, now_us - request->arrived_us, now_us);
		return;
	}
	if (is_arrival)
	{
		outlook.wait_us = predict (simulation, server, request, now_us);
		request->predicted_us = outlook.wait_us;
		request->has_prediction = true;
	}
	if (waiting_judge_limit (&outlook) == WAITING_REFUSE)
	{
		int64_t backlog_us = predict (simulation, server, NULL, now_us);

		simulation->paths[request->vm][server].running--;
		refuse (simulation, result, request,
		        waiting_retry_delay_us (backlog_us, random_next (&simulation->retry_random)),
		        now_us);
	}
}

static void
start_queued (struct simulation *simulation, struct result *result, unsigned server, int64_t now_us)
{
	while (simulation->running[server] < SLOTS)
	{
		struct request *next = NULL;
		struct work_order best;
		struct work_item item;
		double work_us;

		for (unsigned i = 0; i < simulation->count; i++)
		{
			struct request *request = &simulation->requests[i];
			struct work_order order;

			if (request->place != PLACE_QUEUED || request->server != server)
				continue;
			order = order_of (simulation, request, now_us);
			if (next && work_order_compare (&order, &best) >= 0)
				continue;
			next = request;
			best = order;
		}
		if (!next)
			return;
		item = item_of (simulation, next);
		work_queue_start (
			&simulation->queues[server], &item,
			simulation->pattern->hot > 0 ? &simulation->shares[server][next->tenant] : NULL, 1);
		if (next->has_prediction)
		{
			result->error_us += (double) wait_error_add (
				&simulation->errors[server], next->predicted_us, now_us - next->queued_us);
			result->predictions++;
			next->has_prediction = false;
		}
		work_us = -log (draw (&simulation->work_random)) * (double) kinds[next->kind].work_us;
		if (server == SERVERS - 1 && simulation->pattern->slow > 0 &&
		    is_disturbed (simulation, now_us))
			work_us *= simulation->pattern->slow;
		simulation->running[server]++;
		next->place = PLACE_RUNNING;
		next->sent_us = now_us;
		next->at_us = now_us + (int64_t) work_us;
		result->busy_us += work_us;
		if (next->at_us + LINK_US + CALLER_US - next->asked_us > kinds[next->kind].target_us)
			result->late_us += work_us;
	}
}

static void
finish (struct simulation *simulation, struct result *result, struct request *request,
        int64_t now_us)
{
	const struct kind *kind = &kinds[request->kind];
	struct path *path = &simulation->paths[request->vm][request->server];
	int64_t latency_us = now_us + LINK_US + CALLER_US - request->asked_us;
	double worth = latency_us <= kind->target_us  ? kind->worth
	               : latency_us <= kind->limit_us ? kind->late
	                                              : 0;

	simulation->running[request->server]--;
	service_time_add (&simulation->times[request->server], time_kind (request),
	                  now_us - request->sent_us);
	path->latency_us += (now_us - request->queued_us - path->latency_us) / 8;
	report_load (simulation, request, now_us);
	if (--request->statements > 0)
	{
		request->is_started = true;
		request->place = PLACE_FORWARDED;
		request->at_us = now_us + 2 * (LINK_US + CALLER_US);
		return;
	}
	path->running--;
	request->place = PLACE_NONE;
	result->earned[request->kind] += worth;
	if (request->tenant > 0)
		result->rest_earned += worth;
}

static void
advance (struct simulation *simulation, struct result *result, struct request *request,
         int64_t now_us)
{
	/* The time limit of a statement that the server has not begun. */
	bool is_over = request->place == PLACE_QUEUED && !request->is_started &&
	               now_us - request->arrived_us > kinds[request->kind].limit_us;

	if (request->place == PLACE_AWAY && now_us >= request->at_us)
	{
		request->place = PLACE_VM;
		request->arrived_us = now_us;
	}
	else if (request->place == PLACE_RUNNING && now_us >= request->at_us)
		finish (simulation, result, request, now_us);
	if (is_over)
	{
		simulation->paths[request->vm][request->server].running--;
		refuse (simulation, result, request, 0, now_us);
	}
	if (request->place == PLACE_VM)
		choose_server (simulation, result, request, now_us);
	if (request->place == PLACE_FORWARDED && now_us >= request->at_us)
	{
		request->place = PLACE_QUEUED;
		request->queued_us = now_us;
		judge_queued (simulation, result, request, true, now_us);
	}
	else if (request->place == PLACE_QUEUED)
		judge_queued (simulation, result, request, false, now_us);
}

static void
arrive (struct simulation *simulation, struct result *result, int64_t now_us)
{
	const struct pattern *pattern = simulation->pattern;
	bool is_burst = is_disturbed (simulation, now_us);

	for (unsigned i = 0; i < KINDS * TENANTS; i++)
	{
		const struct kind *kind = &kinds[i % KINDS];
		unsigned tenant = i / KINDS;
		double per_s = kind->per_s / TENANTS * pattern->load;
		double chance = draw (&simulation->arrival_random);
		struct request request = { .place = PLACE_VM, .kind = i % KINDS, .tenant = tenant };

		if (is_burst)
			per_s *= pattern->factor[request.kind] *
			         (tenant == 0 && pattern->hot > 0 ? pattern->hot : 1);
		if (now_us > LOAD_US || chance > per_s * STEP_US / 1e6)
			continue;
		request.needs_primary = draw (&simulation->arrival_random) < kind->writes;
		request.statements = request.needs_primary ? kind->statements : 1;
		request.vm = (unsigned) (random_next (&simulation->arrival_random) % VMS);
		request.arrived_us = now_us;
		request.asked_us = now_us - CALLER_US;
		g_assert_cmpuint (simulation->count, <, MAX_REQUESTS);
		simulation->requests[simulation->count++] = request;
		result->owed[request.kind] += kind->worth;
		if (tenant > 0)
			result->rest_owed += kind->worth;
	}
}

/* Counts refused requests that an idle slot could have served in time. */
static void
check_watches (struct simulation *simulation, struct result *result, int64_t now_us)
{
	for (unsigned i = simulation->watch_count; i-- > 0;)
	{
		struct watch *watch = &simulation->watches[i];
		struct request like = { .needs_primary = watch->needs_primary };
		bool is_idle = false;

		for (unsigned server = 0; server < SERVERS; server++)
			is_idle |=
				simulation->running[server] < SLOTS && may_run (simulation, &like, server, now_us);
		if (!is_idle && now_us < watch->until_us)
			continue;
		result->needless += is_idle && now_us < watch->until_us;
		*watch = simulation->watches[--simulation->watch_count];
	}
}

static void
simulate (struct simulation *simulation, struct result *result, uint64_t seed)
{
	simulation->arrival_random = seed;
	simulation->work_random = seed + 1000;
	for (unsigned vm = 0; vm < VMS; vm++)
		for (unsigned server = 0; server < SERVERS; server++)
			simulation->paths[vm][server] =
				(struct path){ .latency_us = 10 * US_PER_MS, .reported_us = -OWNER_REPORT_US };
	for (int64_t now_us = 0; now_us < DAY_US; now_us += STEP_US)
	{
		arrive (simulation, result, now_us);
		for (unsigned i = 0; i < simulation->count; i++)
			advance (simulation, result, &simulation->requests[i], now_us);
		for (unsigned server = 0; server < SERVERS; server++)
			start_queued (simulation, result, server, now_us);
		check_watches (simulation, result, now_us);
		for (unsigned i = simulation->count; i-- > 0;)
			if (simulation->requests[i].place == PLACE_NONE)
				simulation->requests[i] = simulation->requests[--simulation->count];
	}
}

static double
worth_of (const struct result *result)
{
	double owed = 0;
	double earned = 0;

	for (unsigned kind = 0; kind < KINDS; kind++)
	{
		owed += result->owed[kind];
		earned += result->earned[kind];
	}
	return earned / owed;
}

static void
print (const struct pattern *pattern, enum policy policy, const struct result *result)
{
	g_test_message ("%s, %s: worth %.3f (urgent %.3f, own writes %.3f, bounded %.3f; tenants but "
	                "the first %.3f), %u refused, %u needlessly, %.1f%% of the work late, mean "
	                "error of the prediction %.1f ms",
	                pattern->name, policy_names[policy], worth_of (result),
	                result->earned[0] / result->owed[0], result->earned[1] / result->owed[1],
	                result->earned[2] / result->owed[2], result->rest_earned / result->rest_owed,
	                result->refused, result->needless, 100 * result->late_us / result->busy_us,
	                result->error_us / US_PER_MS / MAX (1, result->predictions));
}

static void
test_pattern (gconstpointer data)
{
	const struct pattern *pattern = data;
	struct simulation *simulation = g_new (struct simulation, 1);
	struct result results[POLICIES] = { 0 };
	const struct result *chosen = &results[POLICY_CHOSEN];
	const struct result *before = &results[POLICY_PRIORITY];

	for (unsigned policy = 0; policy < POLICIES; policy++)
	{
		for (uint64_t seed = 1; seed <= SEEDS; seed++)
		{
			memset (simulation, 0, sizeof *simulation);
			simulation->pattern = pattern;
			simulation->policy = policy;
			simulate (simulation, &results[policy], seed);
		}
		print (pattern, policy, &results[policy]);
	}
	g_assert_cmpfloat (worth_of (chosen), >=, worth_of (before) + pattern->gain);
	g_assert_cmpfloat (worth_of (chosen), >=,
	                   worth_of (&results[POLICY_IN_ORDER]) + MIN (pattern->gain, 0));
	g_assert_cmpfloat (chosen->rest_earned / chosen->rest_owed, >=,
	                   before->rest_earned / before->rest_owed + pattern->gain_rest);
	g_assert_cmpuint (chosen->needless, <=, before->needless);
	g_free (simulation);
}

/* Below 0.003, a difference in calm is noise. */
static const struct pattern patterns[] = {
	{ "calm", 1, { 1, 1, 1 }, 0, 0, false, 0, 0, -0.003, -0.003 },
	{ "light", 0.3, { 1, 1, 1 }, 0, 0, false, 0, 0, -0.003, -0.003 },
	{ "lag", 1, { 1, 1, 1 }, 2 * US_PER_S, 14 * US_PER_S, true, 0, 0, 0.02, 0.02 },
	{ "wave", 1, { 2, 2, 2 }, 3 * US_PER_S, 13 * US_PER_S, false, 0, 0, 0.07, 0.07 },
	{ "burst", 1, { 5, 5, 5 }, 4 * US_PER_S, 5 * US_PER_S, false, 0, 0, 0.01, 0.01 },
	{ "slow", 1.5, { 1, 1, 1 }, 3 * US_PER_S, 11 * US_PER_S, false, 10, 0, 0.03, 0.03 },
	{ "hot-key", 1, { 12, 1, 1 }, 4 * US_PER_S, 9 * US_PER_S, false, 0, 0, 0, 0 },
	{ "hot-tenant", 1, { 1, 1, 1 }, 4 * US_PER_S, 11 * US_PER_S, false, 0, 8, 0.06, 0.08 },
};

/* Guards against predictions that stay wrong for long after a server has become slow, or is another one. */
static void
test_times_follow (void)
{
	enum
	{
		ANSWERS = 16,
		USUAL_US = 15 * US_PER_MS,
		SLOW_US = 120 * US_PER_MS,
	};
	struct service_time times = { 0 };
	int64_t expected_us;

	for (int i = 0; i < 100; i++)
		service_time_add (&times, SERVICE_TIME_READ, USUAL_US);
	for (int i = 0; i < ANSWERS; i++)
		service_time_add (&times, SERVICE_TIME_READ, SLOW_US);
	expected_us = service_time_expected_us (&times, SERVICE_TIME_READ);
	g_assert_cmpint (expected_us, >, SLOW_US * 85 / 100);
	g_assert_cmpint (expected_us, <=, SLOW_US);
}

/* Guards against a refusal while a slot is free, and against callers that all return at once. */
static void
test_refusals (void)
{
	struct waiting_outlook outlook = { .has_free_slot = true,
		                               .wait_us = 500 * US_PER_MS,
		                               .expected_us = 10 * US_PER_MS,
		                               .limit_left_us = 200 * US_PER_MS };
	uint64_t random = 1;
	int64_t least_us = INT64_MAX;
	int64_t most_us = 0;

	g_assert_cmpint (waiting_judge_limit (&outlook), ==, WAITING_STAY);
	outlook.has_free_slot = false;
	g_assert_cmpint (waiting_judge_limit (&outlook), ==, WAITING_REFUSE);
	for (int i = 0; i < 100; i++)
	{
		int64_t delay_us = waiting_retry_delay_us (400 * US_PER_MS, random_next (&random));

		least_us = MIN (least_us, delay_us);
		most_us = MAX (most_us, delay_us);
	}
	g_assert_cmpint (least_us, >=, 200 * US_PER_MS);
	g_assert_cmpint (most_us - least_us, >, 300 * US_PER_MS);
	g_assert_cmpint (most_us, <=, 600 * US_PER_MS);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/load_replay/times_follow", test_times_follow);
	g_test_add_func ("/load_replay/refusals", test_refusals);
	for (size_t i = 0; i < G_N_ELEMENTS (patterns); i++)
	{
		g_autofree char *path = g_strdup_printf ("/load_replay/%s", patterns[i].name);

		g_test_add_data_func (path, &patterns[i], test_pattern);
	}
	return g_test_run ();
}
