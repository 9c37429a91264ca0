/* Guards against an answer that is believed to be that of another statement (MIXED, TWICE, REFUSED, STALE). */
#include "decision/answer_match.h"
#include "decision/answer_restart.h"

#include <glib.h>
#include <string.h>

static const struct answer_expectation nothing = { .wanted = ANSWER_WANTED_NOTHING };
static const struct answer_expectation greeting = { .wanted = ANSWER_WANTED_GREETING };
static const struct answer_expectation command = { .wanted = ANSWER_WANTED_COMMAND };
static const struct answer_expectation begin = { .wanted = ANSWER_WANTED_BEGIN,
	                                             .state = TRANSACTION_OPEN };
static const struct answer_expectation begin_read = { .wanted = ANSWER_WANTED_BEGIN_READ,
	                                                  .state = TRANSACTION_OPEN };
static const struct answer_expectation report = { .wanted = ANSWER_WANTED_REPORT };
static const struct answer_expectation statement = { .wanted = ANSWER_WANTED_STATEMENT, .id = 1 };
static const struct answer_expectation next = { .wanted = ANSWER_WANTED_STATEMENT, .id = 2 };

static struct answer_expectation
repeating (struct answer_expectation expected)
{
	expected.has_repeats = true;
	return expected;
}

static struct answer_summary
signed_answer (uint64_t signature, enum transaction_state state)
{
	return (struct answer_summary){ .rows = 1,
		                            .has_completion = true,
		                            .is_ordered = true,
		                            .is_signed = true,
		                            .state = state,
		                            .signature = signature,
		                            .lines = signature + 1000 };
}

static struct answer_summary
completion (uint32_t rows, enum transaction_state state, uint64_t position)
{
	return (struct answer_summary){ .rows = rows,
		                            .has_completion = true,
		                            .is_ordered = true,
		                            .state = state,
		                            .lines = 7 + rows,
		                            .whole = position * 100 + rows * 10 + state };
}

static struct answer_summary
error (uint64_t text)
{
	return (struct answer_summary){ .has_error = true, .is_ordered = true, .lines = text };
}

static struct answer_summary
ready (uint64_t position)
{
	return (struct answer_summary){ .is_ordered = true, .whole = position };
}

/** Judges @p answer on @p match. */
static enum answer_verdict
judge (struct answer_match *match, struct answer_expectation expected, struct answer_summary answer)
{
	return answer_match_judge (match, &expected, &answer);
}

static void
test_signed (void)
{
	struct answer_match match;

	answer_match_init (&match);
	g_assert_cmpint (judge (&match, statement, signed_answer (1, TRANSACTION_NONE)), ==,
	                 ANSWER_CURRENT);
	g_assert_cmpint (judge (&match, next, signed_answer (1, TRANSACTION_NONE)), ==,
	                 ANSWER_REPEATED);
	g_assert_cmpint (judge (&match, nothing, signed_answer (1, TRANSACTION_NONE)), ==,
	                 ANSWER_REPEATED);
	g_assert_cmpint (judge (&match, next, signed_answer (2, TRANSACTION_NONE)), ==, ANSWER_CURRENT);
	g_assert_cmpint (judge (&match, nothing, signed_answer (3, TRANSACTION_NONE)), ==,
	                 ANSWER_OUT_OF_STEP);
	/* A statement of a transaction that the server does not have open. */
	g_assert_cmpint (judge (&match, next, signed_answer (4, TRANSACTION_OPEN)), ==,
	                 ANSWER_OUT_OF_STEP);
	/* The same id again: the signature may be the same. */
	g_assert_cmpint (judge (&match, next, signed_answer (2, TRANSACTION_NONE)), ==,
	                 ANSWER_OUT_OF_STEP);
}

/* Rows of one answer under the signature of another one. */
static void
test_mixed_rows (void)
{
	struct answer_summary mixed = signed_answer (1, TRANSACTION_NONE);
	struct answer_match match;

	answer_match_init (&match);
	judge (&match, statement, signed_answer (1, TRANSACTION_NONE));
	mixed.lines++;
	g_assert_cmpint (judge (&match, next, mixed), ==, ANSWER_OUT_OF_STEP);
}

static void
test_forms (void)
{
	struct answer_match match;

	answer_match_init (&match);
	g_assert_cmpint (judge (&match, greeting, ready (5)), ==, ANSWER_CURRENT);
	g_assert_cmpint (judge (&match, statement, ready (5)), ==, ANSWER_REPEATED);
	g_assert_cmpint (judge (&match, statement, ready (6)), ==, ANSWER_OUT_OF_STEP);
	g_assert_cmpint (judge (&match, command, completion (0, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_CURRENT);
	/* A command's completion is no success of a statement. */
	g_assert_cmpint (judge (&match, statement, completion (0, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_REPEATED);
	g_assert_cmpint (judge (&match, begin, completion (0, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_REPEATED);
	g_assert_cmpint (judge (&match, begin, completion (0, TRANSACTION_OPEN, 1)), ==,
	                 ANSWER_CURRENT);
	g_assert_cmpint (judge (&match, command, completion (1, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_OUT_OF_STEP);
	g_assert_cmpint (judge (&match, report, completion (1, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_CURRENT);
	g_assert_cmpint (judge (&match, report, completion (0, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_REPEATED);
	g_assert_cmpint (judge (&match, command, signed_answer (9, TRANSACTION_NONE)), ==,
	                 ANSWER_OUT_OF_STEP);
}

/* A refusal that has come before promises nothing: it is not told to a caller, and writes avoid the connection. */
static void
test_refusals (void)
{
	struct answer_match match;

	answer_match_init (&match);
	g_assert_true (answer_match_believes_refusals (&match));
	g_assert_cmpint (judge (&match, statement, error (1)), ==, ANSWER_CURRENT);
	g_assert_false (answer_match_believes_refusals (&match));
	g_assert_cmpint (judge (&match, nothing, error (1)), ==, ANSWER_REPEATED);
	g_assert_cmpint (judge (&match, next, error (1)), ==, ANSWER_OUT_OF_STEP);
	g_assert_cmpint (judge (&match, next, error (2)), ==, ANSWER_CURRENT);
	g_assert_cmpint (judge (&match, nothing, error (3)), ==, ANSWER_OUT_OF_STEP);
	for (uint64_t i = 10; i < 10 + ANSWER_MATCH_ERRORS; i++)
		judge (&match, next, error (i));
	/* More different ones than are kept. */
	g_assert_cmpint (judge (&match, next, error (99)), ==, ANSWER_OUT_OF_STEP);
}

/* An answer without signature that equals an earlier one: harmless ones are believed but not dated; a begin and a status are
 * not, once the server is known to repeat answers. */
static void
test_unsigned (void)
{
	struct answer_match match;

	answer_match_init (&match);
	judge (&match, command, completion (0, TRANSACTION_NONE, 1));
	g_assert_cmpint (judge (&match, command, completion (0, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_UNDATED);
	/* The refusal of that command may come instead of the next statement's answer. */
	g_assert_cmpint (judge (&match, repeating (statement), error (1)), ==, ANSWER_OUT_OF_STEP);
	/* Believed outside of a transaction while no repeats are known, but nothing else is sent on the connection. */
	answer_match_init (&match);
	judge (&match, command, completion (0, TRANSACTION_NONE, 1));
	judge (&match, command, completion (0, TRANSACTION_NONE, 1));
	g_assert_cmpint (judge (&match, statement, error (1)), ==, ANSWER_CURRENT);
	g_assert_false (answer_match_may_go_on (&match));
	answer_match_init (&match);
	judge (&match, begin, completion (0, TRANSACTION_OPEN, 1));
	judge (&match, report, completion (1, TRANSACTION_NONE, 1));
	g_assert_cmpint (judge (&match, begin, completion (0, TRANSACTION_OPEN, 1)), ==,
	                 ANSWER_UNDATED);
	g_assert_cmpint (judge (&match, report, completion (1, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_UNDATED);
	g_assert_cmpint (judge (&match, repeating (begin_read), completion (0, TRANSACTION_OPEN, 1)),
	                 ==, ANSWER_OUT_OF_STEP);
	g_assert_cmpint (judge (&match, repeating (begin), completion (0, TRANSACTION_OPEN, 1)), ==,
	                 ANSWER_OUT_OF_STEP);
	g_assert_cmpint (judge (&match, repeating (report), completion (1, TRANSACTION_NONE, 1)), ==,
	                 ANSWER_OUT_OF_STEP);
	/* The true answer to an earlier question may still come, until a signed one has. */
	g_assert_cmpint (judge (&match, repeating (report), completion (1, TRANSACTION_NONE, 2)), ==,
	                 ANSWER_OUT_OF_STEP);
	g_assert_cmpint (judge (&match, statement, signed_answer (1, TRANSACTION_NONE)), ==,
	                 ANSWER_CURRENT);
	g_assert_cmpint (judge (&match, repeating (report), completion (1, TRANSACTION_NONE, 3)), ==,
	                 ANSWER_CURRENT);
}

static void
test_restart_find (void)
{
	static const struct
	{
		const char *lines;
		size_t whole;
	} cases[] = {
		{ "ROW abc\r\nCOMPLETE m\r\n", 0 },
		{ "ROW aROW abc\r\nCOMPLETE m\r\n", 5 },
		{ "ROW abc\r\nROW abc\r\nCOMPLETE m\r\n", 9 },
		{ "ROW abc\r\nROW abd\r\nCOMPLETE m\r\n", 0 },
		{ "ROW abc\r\nCOMPLETE ROW abc\r\nCOMPLETE m\r\n", 18 },
		{ "COMPLETE 7.1COMPLETE 7.1f\r\n", 12 },
		{ "ROW xROW abc\r\nCOMPLETE m\r\n", 0 },
		{ "ROW a\rROW a\r\nCOMPLETE m\r\n", 6 },
		{ "ROW\r\n", 0 },
		{ "ROW a9READY I 1.1\r\nROW a93\r\nCOMPLETE m\r\n", 19 },
		{ "ROW a9READY I 1.2\r\nROW a93\r\nCOMPLETE m\r\n", 0 },
		{ "ROW b9READY I 1.1\r\nROW a93\r\nCOMPLETE m\r\n", 0 },
	};
	static const char greeting[] = "READY I 1.1";

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		g_assert_cmpuint (answer_restart_find (cases[i].lines, strlen (cases[i].lines), greeting,
		                                       strlen (greeting)),
		                  ==, cases[i].whole);
}

/* Two rows that are the same are no cut answer: a server that has them sends them each time. One that cuts answers off has sent
 * the whole one as well. */
static void
test_restarts (void)
{
	struct answer_restarts restarts = { 0 };

	g_assert_false (answer_restarts_wait (&restarts));
	for (int i = 1; i < ANSWER_RESTART_TIMES; i++)
		g_assert_false (answer_restarts_believe (&restarts, 22, 2, i));
	g_assert_true (answer_restarts_wait (&restarts));
	g_assert_true (answer_restarts_believe (&restarts, 22, 2, 10));
	answer_restarts_note (&restarts, 3, 11);
	g_assert_true (answer_restarts_believe (&restarts, 22, 2, 12));
	for (int i = 0; i < ANSWER_RESTART_TIMES; i++)
		answer_restarts_believe (&restarts, 44, 4, 13);
	g_assert_true (answer_restarts_believe (&restarts, 66, 6, 13));
	answer_restarts_note (&restarts, 2, 13);
	for (int i = 0; i < 2 * ANSWER_RESTART_TIMES; i++)
		g_assert_false (answer_restarts_believe (&restarts, 22, 2, 20 + i));
}

/* An owner sends each answer once, the same ones as often as it is asked. */
static void
test_peer (void)
{
	struct answer_summary same = error (1);
	struct answer_summary success = signed_answer (1, TRANSACTION_NONE);
	struct answer_summary sample = completion (0, TRANSACTION_NONE, 1);

	for (int i = 0; i < 2; i++)
		g_assert_cmpint (answer_match_judge_peer (&statement, &same), ==, ANSWER_CURRENT);
	g_assert_cmpint (answer_match_judge_peer (&statement, &success), ==, ANSWER_CURRENT);
	g_assert_cmpint (answer_match_judge_peer (&report, &sample), ==, ANSWER_CURRENT);
	g_assert_cmpint (answer_match_judge_peer (&nothing, &success), ==, ANSWER_OUT_OF_STEP);
	g_assert_cmpint (answer_match_judge_peer (&statement, &sample), ==, ANSWER_OUT_OF_STEP);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/answer_match/signed", test_signed);
	g_test_add_func ("/answer_match/mixed_rows", test_mixed_rows);
	g_test_add_func ("/answer_match/forms", test_forms);
	g_test_add_func ("/answer_match/refusals", test_refusals);
	g_test_add_func ("/answer_match/unsigned", test_unsigned);
	g_test_add_func ("/answer_match/restart_find", test_restart_find);
	g_test_add_func ("/answer_match/restarts", test_restarts);
	g_test_add_func ("/answer_match/peer", test_peer);
	return g_test_run ();
}
