#include "decision/drain.h"

#include <errno.h>
#include <glib.h>

enum drain_call
{
	CALL_START,
	CALL_CANCEL,
	CALL_STEP,
};

struct drain_case
{
	const char *name;
	struct
	{
		enum drain_call call;
		int64_t at_us;
		uint32_t in_flight;
		enum drain_phase phase;
		int result; /* Result of CALL_CANCEL; unused otherwise. */
	} steps[8];
};

static const struct drain_settings settings = { .announce_us = 3000, .limit_us = 10000 };

/* Guards against a process that stops before its requests have completed, or that never stops. */
static const struct drain_case cases[] = {
	{ "no request in flight",
	  { { CALL_STEP, 1, 0, DRAIN_SERVING, 0 },
	    { CALL_START, 1000, 0, DRAIN_ANNOUNCING, 0 },
	    { CALL_STEP, 3999, 0, DRAIN_ANNOUNCING, 0 },
	    { CALL_STEP, 4000, 0, DRAIN_STOPPED, 0 },
	    { CALL_STEP, 4001, 5, DRAIN_STOPPED, 0 } } },
	{ "requests complete",
	  { { CALL_START, 1000, 3, DRAIN_ANNOUNCING, 0 },
	    { CALL_STEP, 4000, 3, DRAIN_FINISHING, 0 },
	    { CALL_STEP, 9000, 1, DRAIN_FINISHING, 0 },
	    { CALL_STEP, 9001, 0, DRAIN_STOPPED, 0 } } },
	{ "a request never ends",
	  { { CALL_START, 1000, 1, DRAIN_ANNOUNCING, 0 },
	    { CALL_STEP, 13999, 1, DRAIN_FINISHING, 0 },
	    { CALL_STEP, 14000, 1, DRAIN_STOPPED, 0 } } },
	{ "a second start changes nothing",
	  { { CALL_START, 1000, 1, DRAIN_ANNOUNCING, 0 },
	    { CALL_START, 3000, 1, DRAIN_ANNOUNCING, 0 },
	    { CALL_STEP, 4000, 1, DRAIN_FINISHING, 0 } } },
	{ "cancelled while announcing",
	  { { CALL_START, 1000, 1, DRAIN_ANNOUNCING, 0 },
	    { CALL_CANCEL, 2000, 1, DRAIN_SERVING, 0 },
	    { CALL_STEP, 9000, 0, DRAIN_SERVING, 0 },
	    { CALL_START, 9000, 0, DRAIN_ANNOUNCING, 0 },
	    { CALL_STEP, 11999, 0, DRAIN_ANNOUNCING, 0 } } },
	{ "cancelled too late",
	  { { CALL_START, 1000, 1, DRAIN_ANNOUNCING, 0 },
	    { CALL_STEP, 4000, 1, DRAIN_FINISHING, 0 },
	    { CALL_CANCEL, 4001, 1, DRAIN_FINISHING, -EALREADY } } },
};

static void
test_phases (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		struct drain drain;

		drain_init (&drain, &settings);
		for (size_t n = 0; n < G_N_ELEMENTS (cases[i].steps) && cases[i].steps[n].at_us; n++)
		{
			int64_t at_us = cases[i].steps[n].at_us;

			g_test_message ("%s: step %zu", cases[i].name, n);
			if (cases[i].steps[n].call == CALL_START)
				drain_start (&drain, at_us);
			else if (cases[i].steps[n].call == CALL_CANCEL)
				g_assert_cmpint (drain_cancel (&drain), ==, cases[i].steps[n].result);
			else
				drain_step (&drain, cases[i].steps[n].in_flight, at_us);
			g_assert_cmpint (drain.phase, ==, cases[i].steps[n].phase);
		}
	}
}

/* Guards against a next time that is too late, so that the loop sleeps past the next phase. */
static void
test_next_time (void)
{
	struct drain drain;

	drain_init (&drain, &settings);
	g_assert_cmpint (drain_next_time_us (&drain), ==, INT64_MAX);
	drain_start (&drain, 1000);
	g_assert_cmpint (drain_next_time_us (&drain), ==, 4000);
	drain_step (&drain, 1, 4000);
	g_assert_cmpint (drain_next_time_us (&drain), ==, 14000);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/drain/phases", test_phases);
	g_test_add_func ("/drain/next-time", test_next_time);
	return g_test_run ();
}
