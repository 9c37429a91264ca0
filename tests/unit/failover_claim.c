/* One observer against scripted servers: what a claim takes from late and lost answers. */
#include "decision/failover.h"

#include <glib.h>

enum
{
	SERVERS = 3,
	SELF = 1,
	FIRST_US = 1000000,
	STEP_US = 1000,
	LIMIT_US = 5000000,
};

struct scene
{
	struct failover failover;
	void *memory;
	int64_t now_us;
	/** Server 0 is silent; the others answer polls with this. */
	struct server_status status[SERVERS];
};

/* Runs until the observer wants @p type; answers polls meanwhile. */
static struct failover_effect
run_until (struct scene *scene, enum failover_effect_type type, int64_t limit_us)
{
	struct failover_effect effect;

	for (int64_t end_us = scene->now_us + limit_us; scene->now_us < end_us;
	     scene->now_us += STEP_US)
		while ((effect = failover_next (&scene->failover, scene->now_us)).type != FAILOVER_NONE)
		{
			if (effect.type == type)
				return effect;
			if (effect.type == FAILOVER_POLL && effect.server > 0)
				failover_handle_status (&scene->failover, effect.server,
				                        &scene->status[effect.server], scene->now_us,
				                        scene->now_us);
		}
	return (struct failover_effect){ .type = FAILOVER_NONE };
}

/* Takes over the fences of one attempt; returns their term. */
static uint64_t
take_fences (struct scene *scene)
{
	uint64_t term = 0;

	for (uint32_t i = 0; i < SERVERS; i++)
	{
		struct failover_effect effect = run_until (scene, FAILOVER_FENCE, LIMIT_US);

		g_assert_cmpint (effect.type, ==, FAILOVER_FENCE);
		g_assert_true (term == 0 || effect.term == term);
		term = effect.term;
	}
	return term;
}

/* The primary of term 1 falls silent, and the only observer claims. */
static uint64_t
start_claim (struct scene *scene)
{
	struct failover_observer self = { SELF, 0 };
	struct server_status primary = { true, 1, { 1, 10 } };

	scene->now_us = FIRST_US;
	scene->memory = g_malloc0 (failover_size (SERVERS));
	g_assert_cmpint (failover_init (&scene->failover, scene->memory, &failover_default_settings,
	                                SELF, SERVERS, 1, scene->now_us),
	                 ==, 0);
	failover_set_observers (&scene->failover, &self, 1, scene->now_us);
	for (uint32_t i = 1; i < SERVERS; i++)
		scene->status[i] = (struct server_status){ false, 1, { 1, 10 } };
	failover_handle_status (&scene->failover, 0, &primary, scene->now_us, scene->now_us);
	return take_fences (scene);
}

static void
answer_fence (struct scene *scene, uint32_t server, uint64_t term, uint64_t promised,
              uint64_t index)
{
	struct server_status status = { false, promised, { 1, index } };

	failover_handle_fenced (&scene->failover, server, term, true, &status, scene->now_us);
}

/* Guards against a promotion by another status than the one of the fence: an older status that comes
 * late tells of a shorter log, and the server with the acknowledged writes would lose them. */
static void
test_position (void)
{
	struct server_status older = { false, 1, { 1, 5 } };
	struct scene scene;
	uint64_t term = start_claim (&scene);

	answer_fence (&scene, 2, term, term, 10);
	failover_handle_status (&scene.failover, 2, &older, scene.now_us, scene.now_us);
	answer_fence (&scene, 1, term, term, 9);
	g_assert_cmpuint (run_until (&scene, FAILOVER_PROMOTE, STEP_US).server, ==, 2);
	g_free (scene.memory);
}

/* Guards against a majority of promises to an earlier fence: a rival may have got those of the later
 * term. */
static void
test_earlier_answers (void)
{
	struct scene scene;
	uint64_t first = start_claim (&scene);
	uint64_t second = take_fences (&scene);
	struct failover_effect effect;

	answer_fence (&scene, 1, first, first, 10);
	answer_fence (&scene, 2, first, first, 10);
	effect = run_until (&scene, FAILOVER_PROMOTE, 100 * STEP_US);
	g_assert_cmpint (effect.type, ==, FAILOVER_NONE);
	answer_fence (&scene, 1, second, second, 10);
	answer_fence (&scene, 2, second, second, 10);
	effect = run_until (&scene, FAILOVER_PROMOTE, STEP_US);
	g_assert_cmpint (effect.type, ==, FAILOVER_PROMOTE);
	g_assert_cmpuint (effect.term, ==, second);
	g_free (scene.memory);
}

/* Guards against a fence that is sent again with its term: servers that took it the first time refuse
 * it, so the claim could never end. */
static void
test_lost_answers (void)
{
	struct scene scene;
	uint64_t first = start_claim (&scene);

	g_assert_cmpuint (take_fences (&scene), >, first);
	g_free (scene.memory);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/failover_claim/position", test_position);
	g_test_add_func ("/failover_claim/earlier_answers", test_earlier_answers);
	g_test_add_func ("/failover_claim/lost_answers", test_lost_answers);
	return g_test_run ();
}
