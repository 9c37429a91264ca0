/* Guards against urgent requests that wait behind long reports, ranks and tenants that starve, expired
 * or rejected requests that run anyway (P5), and requests that are lost or answered twice. */
#include "decision/admission.h"

#include "common/counters.h"
#include "decision/retry.h"

#include <glib.h>

static const struct admission_settings default_settings = {
	.slots = 2,
	.queue_limit = { 100, 100, 100 },
	.floor_percent = { 0, 20, 10 },
};

static struct admission *
new_admission (const struct admission_settings *settings)
{
	return admission_init (g_malloc (admission_size (settings)), settings, 0);
}

static struct admission_result
submit (struct admission *admission, uint64_t cookie, enum rank rank, uint32_t tenant,
        int64_t deadline_us, uint32_t run_us, int64_t now_us)
{
	struct admission_request request = { cookie, rank, tenant, deadline_us, run_us };

	return admission_submit (admission, &request, now_us);
}

#define ASSERT_RESULT(call, want_verdict, want_cookie)                                             \
	do                                                                                             \
	{                                                                                              \
		struct admission_result got = call;                                                        \
		g_assert_cmpint (got.verdict, ==, want_verdict);                                           \
		g_assert_cmpuint (got.cookie, ==, want_cookie);                                            \
	} while (0)

static void
test_order (void)
{
	struct admission *a = new_admission (&default_settings);

	ASSERT_RESULT (submit (a, 1, RANK_NORMAL, 0, 900, 100, 0), ADMISSION_START, 1);
	ASSERT_RESULT (submit (a, 2, RANK_NORMAL, 0, 900, 100, 0), ADMISSION_START, 2);
	ASSERT_RESULT (submit (a, 3, RANK_LOW, 0, 90000, 100, 0), ADMISSION_QUEUED, 3);
	ASSERT_RESULT (submit (a, 4, RANK_NORMAL, 0, 9000, 100, 0), ADMISSION_QUEUED, 4);
	ASSERT_RESULT (submit (a, 5, RANK_NORMAL, 0, 8000, 100, 0), ADMISSION_QUEUED, 5);
	ASSERT_RESULT (submit (a, 6, RANK_URGENT, 0, 9000, 100, 0), ADMISSION_QUEUED, 6);
	ASSERT_RESULT (submit (a, 7, RANK_NORMAL, 0, 7000, 100, 0), ADMISSION_QUEUED, 7);
	g_assert_true (admission_cancel (a, 7));
	g_assert_false (admission_cancel (a, 7));
	g_assert_cmpuint (admission_queued (a, RANK_NORMAL), ==, 2);
	ASSERT_RESULT (admission_next (a, 50), ADMISSION_NONE, 0);
	admission_complete (a, RANK_NORMAL, 0, 100, 100);
	ASSERT_RESULT (admission_next (a, 100), ADMISSION_START, 6);
	admission_complete (a, RANK_NORMAL, 0, 100, 100);
	ASSERT_RESULT (admission_next (a, 100), ADMISSION_START, 5);
	g_assert_cmpint (admission_next_expiry_us (a), ==, 9001);
	admission_complete (a, RANK_URGENT, 0, 100, 200);
	ASSERT_RESULT (admission_next (a, 9000), ADMISSION_START, 4);
	admission_complete (a, RANK_NORMAL, 0, 100, 9000);
	ASSERT_RESULT (admission_next (a, 90001), ADMISSION_EXPIRED, 3);
	ASSERT_RESULT (admission_next (a, 90001), ADMISSION_NONE, 0);
	g_assert_cmpint (admission_next_expiry_us (a), ==, INT64_MAX);
	admission_set_slots (a, 0);
	ASSERT_RESULT (submit (a, 8, RANK_NORMAL, 0, INT64_MAX, 100, 90001), ADMISSION_QUEUED, 8);
	g_assert_cmpint (admission_next_expiry_us (a), ==, INT64_MAX);
	g_free (a);
}

/* Guards against long statements of the lowest rank that occupy both slots. */
static void
test_low_rank_slot_limit (void)
{
	struct admission *a = new_admission (&default_settings);

	ASSERT_RESULT (submit (a, 1, RANK_LOW, 0, 9000000, 500000, 0), ADMISSION_START, 1);
	ASSERT_RESULT (submit (a, 2, RANK_LOW, 0, 9000000, 500000, 0), ADMISSION_QUEUED, 2);
	ASSERT_RESULT (admission_next (a, 0), ADMISSION_NONE, 0);
	ASSERT_RESULT (submit (a, 3, RANK_URGENT, 0, 1000, 1000, 0), ADMISSION_START, 3);
	admission_set_slots (a, 1);
	admission_complete (a, RANK_URGENT, 0, 1000, 1000);
	ASSERT_RESULT (admission_next (a, 1000), ADMISSION_NONE, 0);
	admission_complete (a, RANK_LOW, 0, 500000, 500000);
	ASSERT_RESULT (admission_next (a, 500000), ADMISSION_START, 2);
	g_free (a);
}

static void
test_rejections (void)
{
	struct admission_settings settings = default_settings;
	struct admission_result result;
	struct admission *a;
	uint64_t queued[2] = { 0 };

	settings.queue_limit[RANK_NORMAL] = 20;
	a = new_admission (&settings);
	for (uint64_t i = 0; i < 2; i++)
		ASSERT_RESULT (submit (a, i, RANK_NORMAL, 0, 50000, 100000, 0), ADMISSION_START, i);
	/* The running statements need about 50 ms more. */
	result = submit (a, 2, RANK_NORMAL, 0, 20000, 100000, 0);
	g_assert_cmpint (result.verdict, ==, ADMISSION_OVERLOAD);
	g_assert_cmpuint (result.retry_after_us, >=, 10000);
	g_assert_cmpuint (result.retry_after_us, <=, 100000);
	ASSERT_RESULT (submit (a, 3, RANK_NORMAL, 0, -1, 100000, 0), ADMISSION_OVERLOAD, 3);
	ASSERT_RESULT (submit (a, 4, RANK_URGENT, 1, 60000, 100000, 0), ADMISSION_QUEUED, 4);
	/* Tenant 0 floods the bounded queue; tenant 1 still gets its share. */
	ASSERT_RESULT (submit (a, 5, RANK_NORMAL, 1, 90000000, 1000, 0), ADMISSION_QUEUED, 5);
	for (uint64_t i = 10; i < 70; i++)
	{
		uint32_t tenant = i < 40 ? 0 : i % 2;

		queued[tenant] +=
			submit (a, i, RANK_NORMAL, tenant, 90000000, 1000, 0).verdict == ADMISSION_QUEUED;
	}
	g_assert_cmpuint (admission_queued (a, RANK_NORMAL), ==, 20);
	ASSERT_RESULT (submit (a, 99, RANK_NORMAL, 1, 90000000, 1000, 0), ADMISSION_FULL, 99);
	g_assert_cmpuint (queued[0], ==, 10);
	g_assert_cmpuint (queued[1], ==, 9);
	admission_set_slots (a, 0);
	ASSERT_RESULT (submit (a, 100, RANK_URGENT, 0, 90000000, 0, 0), ADMISSION_OVERLOAD, 100);
	g_free (a);
}

enum
{
	MAX_RUNNING = 8,
	TENANTS = 3,
};

/* Offered load of one rank on a simulated server. */
struct load
{
	int64_t interval_us; /* Mean time between arrivals; 0: no arrivals. */
	uint32_t run_us;
	int64_t timeout_us;
	uint32_t tenant_share[TENANTS]; /* Percent of the arrivals. */
};

struct stats
{
	int64_t busy_us[RANK_COUNT];
	int64_t tenant_busy_us[TENANTS];
	uint64_t offered[RANK_COUNT];
	uint64_t started[RANK_COUNT];
	uint64_t expired[RANK_COUNT];
	int64_t wait_us[RANK_COUNT]; /* The longest wait. */
	int64_t wait_sum_us[RANK_COUNT];
	uint64_t hash;
};

struct request
{
	int64_t arrived_us, deadline_us;
	uint32_t run_us, tenant;
	enum rank rank;
	uint8_t state; /* 'q': queued, 'r': running, 'd': done. */
};

struct server
{
	struct admission *admission;
	const struct admission_settings *settings;
	struct stats *stats;
	GArray *requests;
	uint64_t running[MAX_RUNNING];
	int64_t end_us[MAX_RUNNING];
	uint32_t count;
	uint32_t slots;
};

static void
server_start (struct server *server, uint64_t cookie, int64_t now_us)
{
	struct request *request = &g_array_index (server->requests, struct request, cookie);
	enum rank rank = request->rank;
	int64_t wait_us = now_us - request->arrived_us;
	uint32_t running_same_rank = 0;

	g_assert_cmpint (request->state, ==, 'q');
	g_assert_cmpint (now_us, <=, request->deadline_us);
	g_assert_cmpuint (server->count, <, server->slots);
	for (uint32_t i = 0; i < server->count; i++)
		running_same_rank +=
			g_array_index (server->requests, struct request, server->running[i]).rank == rank;
	if (rank == RANK_LOW)
		g_assert_cmpuint (running_same_rank, <, MAX (server->slots, 2) - 1);
	request->state = 'r';
	server->running[server->count] = cookie;
	server->end_us[server->count++] = now_us + request->run_us;
	server->stats->started[rank]++;
	server->stats->wait_sum_us[rank] += wait_us;
	if (server->stats->wait_us[rank] < wait_us)
		server->stats->wait_us[rank] = wait_us;
}

static void
server_step (struct server *server, int64_t now_us)
{
	struct stats *stats = server->stats;
	struct admission_result result;

	for (uint32_t i = 0; i < server->count;)
	{
		struct request *request;

		if (server->end_us[i] > now_us)
		{
			i++;
			continue;
		}
		request = &g_array_index (server->requests, struct request, server->running[i]);
		request->state = 'd';
		stats->busy_us[request->rank] += request->run_us;
		stats->tenant_busy_us[request->tenant] += request->run_us;
		admission_complete (server->admission, request->rank, request->tenant, request->run_us,
		                    now_us);
		server->running[i] = server->running[--server->count];
		server->end_us[i] = server->end_us[server->count];
	}
	while ((result = admission_next (server->admission, now_us)).verdict != ADMISSION_NONE)
	{
		struct request *request = &g_array_index (server->requests, struct request, result.cookie);

		stats->hash = (stats->hash ^ result.cookie * 8 ^ result.verdict) * 0x100000001b3u;
		if (result.verdict == ADMISSION_START)
		{
			server_start (server, result.cookie, now_us);
			continue;
		}
		g_assert_cmpint (result.verdict, ==, ADMISSION_EXPIRED);
		g_assert_cmpint (request->state, ==, 'q');
		g_assert_cmpint (request->deadline_us, <, now_us);
		request->state = 'd';
		stats->expired[request->rank]++;
	}
}

static void
server_submit (struct server *server, enum rank rank, const struct load *load, uint64_t *random,
               int64_t now_us)
{
	struct request request = {
		.arrived_us = now_us,
		.deadline_us = now_us + load->timeout_us,
		.run_us = load->run_us / 2 + (uint32_t) (random_next (random) % load->run_us),
		.rank = rank,
		.state = 'q',
	};
	uint64_t cookie = server->requests->len;
	int64_t share = (int64_t) (random_next (random) % 100);
	enum admission_verdict verdict;

	while (request.tenant < TENANTS - 1 && (share -= load->tenant_share[request.tenant]) >= 0)
		request.tenant++;
	g_array_append_val (server->requests, request);
	server->stats->offered[rank]++;
	verdict =
		submit (server->admission, cookie, rank, request.tenant, request.deadline_us, 0, now_us)
			.verdict;
	if (verdict == ADMISSION_START)
		server_start (server, cookie, now_us);
	else if (verdict != ADMISSION_QUEUED)
		g_array_index (server->requests, struct request, cookie).state = 'd';
	g_assert_cmpuint (admission_queued (server->admission, rank), <=,
	                  server->settings->queue_limit[rank]);
}

/* Runs loads against a server for @p duration_us. @p chaos: cancels requests and changes slots. */
static struct stats
run (const struct admission_settings *settings, const struct load *loads, int64_t duration_us,
     uint64_t seed, bool has_random_changes)
{
	struct stats stats = { .hash = seed };
	struct server server = { new_admission (settings), settings, &stats, NULL, { 0 }, { 0 }, 0,
		                     settings->slots };
	uint64_t random = seed;
	uint64_t queued = 0;

	server.requests = g_array_new (FALSE, TRUE, sizeof (struct request));
	for (int64_t now_us = 0; now_us < duration_us; now_us += 500)
	{
		server_step (&server, now_us);
		for (int rank = 0; rank < RANK_COUNT; rank++)
			for (int64_t remaining_us = 500; loads[rank].interval_us > 0 && remaining_us > 0;
			     remaining_us -= loads[rank].interval_us)
				if ((int64_t) (random_next (&random) % (uint64_t) loads[rank].interval_us) <
				    remaining_us)
					server_submit (&server, (enum rank) rank, &loads[rank], &random, now_us);
		if (has_random_changes && server.requests->len > 0 && random_next (&random) % 50 == 0)
		{
			uint64_t cookie = random_next (&random) % server.requests->len;
			struct request *request = &g_array_index (server.requests, struct request, cookie);

			g_assert_cmpint (admission_cancel (server.admission, cookie), ==,
			                 request->state == 'q');
			if (request->state == 'q')
				request->state = 'd';
		}
		if (has_random_changes && random_next (&random) % 2000 == 0)
		{
			server.slots = (uint32_t) (random_next (&random) % (settings->slots + 1));
			admission_set_slots (server.admission, server.slots);
		}
	}
	for (uint32_t i = 0; i < server.requests->len; i++)
		queued += g_array_index (server.requests, struct request, i).state == 'q';
	for (int rank = 0; rank < RANK_COUNT; rank++)
		queued -= admission_queued (server.admission, (enum rank) rank);
	g_assert_cmpuint (queued, ==, 0);
	g_array_free (server.requests, TRUE);
	g_free (server.admission);
	return stats;
}

/* Guards against a flood of one rank that pushes another rank below its floor, or that delays urgent
 * requests. */
static void
test_overload (void)
{
	static const struct
	{
		const char *name;
		struct load loads[RANK_COUNT];
		int64_t max_urgent_wait_us;
		int min_percent[RANK_COUNT]; /* Lowest share of the slot time. */
		int max_expired_percent; /* Most requests that may expire in the queue, of those offered. */
	} cases[] = {
		{ "urgent flood",
		  { { 2000, 10000, 200000, { 100 } },
		    { 20000, 10000, 500000, { 100 } },
		    { 200000, 100000, 2000000, { 100 } } },
		  400000,
		  { 60, 19, 9 },
		  5 },
		{ "urgent flood and reports longer than the window",
		  { { 2000, 10000, 200000, { 100 } },
		    { 20000, 10000, 500000, { 100 } },
		    { 500000, 1500000, 4000000, { 100 } } },
		  400000,
		  { 60, 18, 8 },
		  /* One report uses up 7.5 s of the floor, so few are queued at all. */
		  10 },
		{ "low flood",
		  { { 20000, 10000, 200000, { 100 } },
		    { 50000, 10000, 500000, { 100 } },
		    { 10000, 100000, 2000000, { 100 } } },
		  100000,
		  { 24, 9, 45 },
		  5 },
		{ "normal flood",
		  { { 50000, 10000, 200000, { 100 } },
		    { 1000, 10000, 500000, { 100 } },
		    { 100000, 100000, 2000000, { 100 } } },
		  70000,
		  { 9, 70, 9 },
		  5 },
	};
	const int64_t duration_us = 60000000;

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		for (uint64_t seed = 1; seed <= 3; seed++)
		{
			struct stats stats = run (&default_settings, cases[i].loads, duration_us, seed, false);

			g_test_message ("%s, seed %u", cases[i].name, (unsigned) seed);
			for (int rank = 0; rank < RANK_COUNT; rank++)
			{
				int percent = (int) (stats.busy_us[rank] * 100 / (2 * duration_us));

				g_test_message ("%s: %d%% of slot time, %u of %u started, %u expired, wait %d ms",
				                rank_name ((enum rank) rank), percent,
				                (unsigned) stats.started[rank], (unsigned) stats.offered[rank],
				                (unsigned) stats.expired[rank], (int) stats.wait_us[rank] / 1000);
				g_assert_cmpint (percent, >=, cases[i].min_percent[rank]);
				g_assert_cmpuint (stats.expired[rank] * 100, <=,
				                  stats.offered[rank] * (uint64_t) cases[i].max_expired_percent);
			}
			g_assert_cmpint (stats.wait_us[RANK_URGENT], <=, cases[i].max_urgent_wait_us);
			/* The queue of an overloaded rank stays short; it does not grow to its time limit. */
			for (int rank = 0; rank < RANK_LOW; rank++)
				g_assert_cmpint (stats.wait_sum_us[rank] / (int64_t) stats.started[rank], <=,
				                 cases[i].loads[rank].timeout_us / 2);
		}
}

/* Guards against a tenant that floods a rank and gets more than its weight while others have work. */
static void
test_tenants (void)
{
	struct admission_settings settings = default_settings;
	const struct load loads[RANK_COUNT] = {
		[RANK_NORMAL] = { 1000, 10000, 500000, { 90, 5, 5 } },
	};
	const int64_t duration_us = 30000000;
	struct stats stats;

	stats = run (&settings, loads, duration_us, 1, false);
	/* Tenants 1 and 2 each request a quarter of the slot time and get it. */
	for (int tenant = 1; tenant < TENANTS; tenant++)
		g_assert_cmpint (stats.tenant_busy_us[tenant], >, 2 * duration_us * 22 / 100);
	settings.tenant_weight[0] = 8;
	stats = run (&settings, loads, duration_us, 1, false);
	g_assert_cmpint (stats.tenant_busy_us[0], >, 2 * duration_us * 70 / 100);
	g_assert_cmpint (stats.tenant_busy_us[1], >, 2 * duration_us * 7 / 100);
}

static void
test_random (void)
{
	static const uint64_t seeds[] = { 1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233 };

	for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
	{
		uint64_t random = seeds[i];
		struct admission_settings settings = default_settings;
		struct load loads[RANK_COUNT];

		settings.slots = 1 + (uint32_t) (random_next (&random) % MAX_RUNNING);
		for (int rank = 0; rank < RANK_COUNT; rank++)
		{
			settings.queue_limit[rank] = (uint32_t) (random_next (&random) % 50);
			settings.floor_percent[rank] = (uint32_t) (random_next (&random) % 34);
			loads[rank] = (struct load){
				(int64_t) (500 + random_next (&random) % 20000),
				(uint32_t) (1000 + random_next (&random) % 50000),
				(int64_t) (1000 + random_next (&random) % 300000),
				{ 70, 20, 10 },
			};
		}
		g_assert_cmpuint (run (&settings, loads, 10000000, seeds[i], true).hash, ==,
		                  run (&settings, loads, 10000000, seeds[i], true).hash);
	}
	g_assert_cmpuint (counter_get (COUNTER_INVARIANT_VIOLATIONS), ==, 0);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/admission/order", test_order);
	g_test_add_func ("/admission/low_leaves_a_slot", test_low_rank_slot_limit);
	g_test_add_func ("/admission/refusals", test_rejections);
	g_test_add_func ("/admission/floods", test_overload);
	g_test_add_func ("/admission/tenants", test_tenants);
	g_test_add_func ("/admission/random", test_random);
	return g_test_run ();
}
