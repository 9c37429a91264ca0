/* Guards against retry storms, and against failed servers that are retried never or too often. */
#include "decision/retry.h"

#include <glib.h>

static void
test_budget (void)
{
	struct retry_budget budget;
	unsigned retries = 0;

	retry_budget_init (&budget, 10, 5);
	for (int i = 0; i < 1000; i++)
	{
		retry_budget_count_attempt (&budget);
		while (retry_budget_take (&budget))
			retries++;
	}
	/* The burst of 5, and 10 for each 100 attempts; the first attempt adds nothing to the full budget. */
	g_assert_cmpuint (retries, ==, 5 + 99);
	for (int i = 0; i < 1000; i++)
		retry_budget_count_attempt (&budget);
	for (retries = 0; retry_budget_take (&budget); retries++)
		;
	g_assert_cmpuint (retries, ==, 5);
}

static void
test_backoff (void)
{
	static const struct
	{
		uint32_t attempt;
		int64_t min_us, max_us, bound_us;
	} cases[] = {
		{ 1, 100, 10000, 100 },   { 2, 100, 10000, 200 }, { 7, 100, 10000, 6400 },
		{ 8, 100, 10000, 10000 }, { 0, 100, 10000, 100 }, { UINT32_MAX, 100, 10000, 10000 },
		{ 1, 0, 0, 0 },           { 3, 500, 400, 400 },   { 40, 1, INT64_MAX, INT64_MAX },
	};
	uint64_t state = 7;

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		for (int draw = 0; draw < 100; draw++)
		{
			int64_t delay_us = backoff_delay_us (cases[i].attempt, cases[i].min_us, cases[i].max_us,
			                                     random_next (&state));

			g_assert_cmpint (delay_us, >=, 0);
			g_assert_cmpint (delay_us, <=, cases[i].bound_us);
		}
	g_assert_cmpint (backoff_delay_us (3, 100, 10000, 400), ==, 400);
}

static void
test_circuit (void)
{
	static const struct
	{
		int64_t at_us;
		char event; /* '+' and '-': result of a request; '?': whether a request is allowed. */
		bool allowed;
		enum circuit_state state;
	} steps[] = {
		{ 0, '-', 0, CIRCUIT_CLOSED },
		{ 1, '+', 0, CIRCUIT_CLOSED },
		{ 2, '-', 0, CIRCUIT_CLOSED },
		{ 3, '?', true, CIRCUIT_CLOSED },
		{ 4, '-', 0, CIRCUIT_OPEN },
		{ 5, '?', false, CIRCUIT_OPEN },
		{ 6, '+', 0, CIRCUIT_OPEN }, /* A late result does not close the circuit. */
		{ 104, '?', true, CIRCUIT_HALF_OPEN },
		{ 105, '?', false, CIRCUIT_HALF_OPEN },
		{ 106, '-', 0, CIRCUIT_OPEN },
		{ 206, '?', true, CIRCUIT_HALF_OPEN },
		/* The result of the probe is lost, so another probe is sent. */
		{ 305, '?', false, CIRCUIT_HALF_OPEN },
		{ 306, '?', true, CIRCUIT_HALF_OPEN },
		{ 307, '+', 0, CIRCUIT_CLOSED },
		{ 308, '-', 0, CIRCUIT_CLOSED },
	};
	struct circuit circuit;

	circuit_init (&circuit, 2, 100);
	for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
	{
		if (steps[i].event == '?')
			g_assert_cmpint (circuit_allows (&circuit, steps[i].at_us), ==, steps[i].allowed);
		else
			circuit_report (&circuit, steps[i].event == '+', steps[i].at_us);
		g_assert_cmpint (circuit.state, ==, steps[i].state);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/retry/budget", test_budget);
	g_test_add_func ("/retry/backoff", test_backoff);
	g_test_add_func ("/retry/circuit", test_circuit);
	return g_test_run ();
}
