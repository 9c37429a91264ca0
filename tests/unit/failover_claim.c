/* Guards against claims that go wrong after late or lost answers. Runs one observer against scripted
 * servers. */
#include "decision/failover.h"

#include <glib.h>

enum
{
	SERVERS = 3,
	SELF = 1,
	START_US = 1000000,
	STEP_US = 1000,
	TIMEOUT_US = 5000000,
};

struct fixture
{
	struct failover failover;
	void *memory;
	int64_t now_us;
	/** Status with which servers 1 and 2 answer polls; server 0 does not answer. */
	struct server_status status[SERVERS];
};

/* Runs until the observer emits an effect of @p type, and answers polls until then. */
static struct failover_effect
run_until (struct fixture *fixture, enum failover_effect_type type, int64_t limit_us)
{
	struct failover_effect effect;

	for (int64_t end_us = fixture->now_us + limit_us; fixture->now_us < end_us;
	     fixture->now_us += STEP_US)
		while ((effect = failover_next (&fixture->failover, fixture->now_us)).type != FAILOVER_NONE)
		{
			if (effect.type == type)
				return effect;
			if (effect.type == FAILOVER_POLL && effect.server > 0)
				failover_handle_status (&fixture->failover, effect.server,
				                        &fixture->status[effect.server], fixture->now_us,
				                        fixture->now_us);
		}
	return (struct failover_effect){ .type = FAILOVER_NONE };
}

/* Collects the fence requests of one attempt; returns their term. */
static uint64_t
collect_fences (struct fixture *fixture)
{
	uint64_t term = 0;

	for (uint32_t i = 0; i < SERVERS; i++)
	{
		struct failover_effect effect = run_until (fixture, FAILOVER_FENCE, TIMEOUT_US);

		g_assert_cmpint (effect.type, ==, FAILOVER_FENCE);
		g_assert_true (term == 0 || effect.term == term);
		term = effect.term;
	}
	return term;
}

/* The primary of term 1 stops answering, and the only observer starts a claim. */
static uint64_t
start_claim (struct fixture *fixture)
{
	struct failover_observer self = { SELF, 0 };
	struct server_status primary = { true, 1, { 1, 10 } };

	fixture->now_us = START_US;
	fixture->memory = g_malloc0 (failover_size (SERVERS));
	g_assert_cmpint (failover_init (&fixture->failover, fixture->memory, &failover_default_settings,
	                                SELF, SERVERS, 1, fixture->now_us),
	                 ==, 0);
	failover_set_observers (&fixture->failover, &self, 1, fixture->now_us);
	for (uint32_t i = 1; i < SERVERS; i++)
		fixture->status[i] = (struct server_status){ false, 1, { 1, 10 } };
	failover_handle_status (&fixture->failover, 0, &primary, fixture->now_us, fixture->now_us);
	return collect_fences (fixture);
}

static void
answer_fence (struct fixture *fixture, uint32_t server, uint64_t term, uint64_t promised,
              uint64_t index)
{
	struct server_status status = { false, promised, { 1, index } };

	failover_handle_fenced (&fixture->failover, server, term, true, &status, fixture->now_us);
}

/* Guards against choosing the new primary by a status other than the one in the answer to the fence. An
 * older status that arrives late reports a shorter log; the server that holds the acknowledged
 * writes would be passed over, and the writes lost. */
static void
test_fence_position (void)
{
	struct server_status older = { false, 1, { 1, 5 } };
	struct fixture fixture;
	uint64_t term = start_claim (&fixture);

	answer_fence (&fixture, 2, term, term, 10);
	failover_handle_status (&fixture.failover, 2, &older, fixture.now_us, fixture.now_us);
	answer_fence (&fixture, 1, term, term, 9);
	g_assert_cmpuint (run_until (&fixture, FAILOVER_PROMOTE, STEP_US).server, ==, 2);
	g_free (fixture.memory);
}

/* Guards against a promotion by a majority of promises to an earlier fence: another claimant may have
 * the promises of a later term. */
static void
test_answers_to_earlier_fence (void)
{
	struct fixture fixture;
	uint64_t first = start_claim (&fixture);
	uint64_t second = collect_fences (&fixture);
	struct failover_effect effect;

	answer_fence (&fixture, 1, first, first, 10);
	answer_fence (&fixture, 2, first, first, 10);
	effect = run_until (&fixture, FAILOVER_PROMOTE, 100 * STEP_US);
	g_assert_cmpint (effect.type, ==, FAILOVER_NONE);
	answer_fence (&fixture, 1, second, second, 10);
	answer_fence (&fixture, 2, second, second, 10);
	effect = run_until (&fixture, FAILOVER_PROMOTE, STEP_US);
	g_assert_cmpint (effect.type, ==, FAILOVER_PROMOTE);
	g_assert_cmpuint (effect.term, ==, second);
	g_free (fixture.memory);
}

/* Guards against a fence that is retried with the same term: servers that accepted it the first time
 * reject it, so the claim would never complete. */
static void
test_lost_fence_answers (void)
{
	struct fixture fixture;
	uint64_t first = start_claim (&fixture);

	g_assert_cmpuint (collect_fences (&fixture), >, first);
	g_free (fixture.memory);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/failover_claim/position", test_fence_position);
	g_test_add_func ("/failover_claim/earlier_answers", test_answers_to_earlier_fence);
	g_test_add_func ("/failover_claim/lost_answers", test_lost_fence_answers);
	return g_test_run ();
}
