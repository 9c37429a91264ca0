#include "decision/answer_match.h"

#include <string.h>

void
answer_match_init (struct answer_match *match)
{
	memset (match, 0, sizeof *match);
}

bool
answer_match_may_go_on (const struct answer_match *match)
{
	return !match->has_ended;
}

bool
answer_match_believes_refusals (const struct answer_match *match)
{
	return match->error_count == 0;
}

static uint32_t
kept_count (uint32_t count, uint32_t limit)
{
	return count < limit ? count : limit;
}

/** Whether the same error has come before. */
static bool
is_known_error (const struct answer_match *match, const struct answer_summary *answer)
{
	if (match->error_count >= ANSWER_MATCH_ERRORS)
		return true;
	for (uint32_t i = 0; i < match->error_count; i++)
		if (match->errors[i] == answer->lines)
			return true;
	return false;
}

/** Whether a completion without signature has come before. @param whole compare the READY line as well. */
static bool
is_known_completion (const struct answer_match *match, const struct answer_summary *answer,
                     bool whole)
{
	uint32_t count = kept_count (match->completed_count, ANSWER_MATCH_UNSIGNED);

	for (uint32_t i = 0; i < count; i++)
		if (whole ? match->completed[i].whole == answer->whole
		          : match->completed[i].lines == answer->lines)
			return true;
	return false;
}

static void
add_error (struct answer_match *match, const struct answer_summary *answer)
{
	if (match->error_count < ANSWER_MATCH_ERRORS && !is_known_error (match, answer))
		match->errors[match->error_count++] = answer->lines;
}

static void
add_completion (struct answer_match *match, const struct answer_summary *answer)
{
	uint32_t at = match->completed_count % ANSWER_MATCH_UNSIGNED;

	if (is_known_completion (match, answer, true))
		return;
	match->completed[at].lines = answer->lines;
	match->completed[at].whole = answer->whole;
	match->completed_count++;
}

static void
add_signed (struct answer_match *match, const struct answer_summary *answer, uint64_t id)
{
	uint32_t at = match->answered_count % ANSWER_MATCH_SIGNED;

	match->answered[at].signature = answer->signature;
	match->answered[at].lines = answer->lines;
	match->answered[at].id = id;
	match->answered_count++;
}

/** An answer that was not expected is an earlier one if the same has come before. */
static enum answer_verdict
judge_unexpected (struct answer_match *match, const struct answer_summary *answer)
{
	/* The READY line of a completion is new if an earlier answer was believed in place of this one. */
	bool is_known = answer->has_error ? is_known_error (match, answer)
	                                  : is_known_completion (match, answer, !match->is_unsure);

	/* It may come again as well. */
	if (is_known && !answer->has_error)
		add_completion (match, answer);
	return is_known ? ANSWER_REPEATED : ANSWER_OUT_OF_STEP;
}

/** Whether a commit directly follows a begin that may have been refused. Its state does not show that. */
static bool
is_empty_commit (const struct answer_match *match, const struct answer_expectation *expected)
{
	return match->is_begin_unsure && expected->has_repeats && expected->in_transaction &&
	       expected->state == TRANSACTION_NONE;
}

static enum answer_verdict
judge_signed (struct answer_match *match, const struct answer_expectation *expected,
              const struct answer_summary *answer)
{
	uint32_t count = kept_count (match->answered_count, ANSWER_MATCH_SIGNED);

	for (uint32_t i = 0; i < count; i++)
	{
		if (match->answered[i].signature != answer->signature)
			continue;
		/* A caller that uses an id twice may get the same signature twice. With other rows, parts of two answers are mixed. */
		return match->answered[i].lines == answer->lines &&
		               !(expected->wanted == ANSWER_WANTED_STATEMENT &&
		                 match->answered[i].id == expected->id)
		           ? ANSWER_REPEATED
		           : ANSWER_OUT_OF_STEP;
	}
	if (expected->wanted != ANSWER_WANTED_STATEMENT || answer->state != expected->state ||
	    answer->is_restarted || is_empty_commit (match, expected))
		return ANSWER_OUT_OF_STEP;
	add_signed (match, answer, expected->id);
	/* Answers come in the order of their statements, so all earlier ones have come. */
	match->is_unsure = match->is_begin_unsure = match->is_report_unsure = false;
	return ANSWER_CURRENT;
}

static enum answer_verdict
judge_error (struct answer_match *match, const struct answer_expectation *expected,
             const struct answer_summary *answer)
{
	bool is_ambiguous = is_known_error (match, answer) ||
	                    (match->is_unsure && (expected->has_repeats || expected->in_transaction));

	if (expected->wanted == ANSWER_WANTED_NOTHING)
		return judge_unexpected (match, answer);
	add_error (match, answer);
	match->has_ended |= match->is_unsure;
	return is_ambiguous ? ANSWER_OUT_OF_STEP : ANSWER_CURRENT;
}

/** Whether a completion without signature has the form of the answer that is waited for. */
static bool
has_expected_form (const struct answer_expectation *expected, const struct answer_summary *answer)
{
	switch (expected->wanted)
	{
	case ANSWER_WANTED_COMMAND:
	case ANSWER_WANTED_BEGIN:
	case ANSWER_WANTED_BEGIN_READ:
		return answer->rows == 0 && answer->state == expected->state;
	case ANSWER_WANTED_REPORT:
		return answer->rows == 1;
	default:
		return false;
	}
}

/**
 * Whether it would do harm if the answer were an earlier one, and it may be one.
 * @param is_same the same answer has come before.
 */
static bool
is_doubtful (const struct answer_match *match, const struct answer_expectation *expected,
             bool is_same)
{
	/* Statements after a begin that was refused would run outside of a transaction. A status is what a change of primary
	 * and the age of reads rest on. */
	switch (expected->wanted)
	{
	case ANSWER_WANTED_BEGIN:
	case ANSWER_WANTED_BEGIN_READ:
		return is_same || match->is_begin_unsure;
	case ANSWER_WANTED_REPORT:
		return is_same || match->is_report_unsure;
	default:
		return false;
	}
}

static enum answer_verdict
judge_completion (struct answer_match *match, const struct answer_expectation *expected,
                  const struct answer_summary *answer)
{
	bool is_same = is_known_completion (match, answer, true);

	if (!has_expected_form (expected, answer))
		return judge_unexpected (match, answer);
	add_completion (match, answer);
	if (expected->has_repeats && is_doubtful (match, expected, is_same))
		return ANSWER_OUT_OF_STEP;
	if (!is_same)
		return ANSWER_CURRENT;
	match->is_unsure = true;
	match->is_begin_unsure |=
		expected->wanted == ANSWER_WANTED_BEGIN || expected->wanted == ANSWER_WANTED_BEGIN_READ;
	match->is_report_unsure |= expected->wanted == ANSWER_WANTED_REPORT;
	return ANSWER_UNDATED;
}

/** Judges a READY line alone, which answers a greeting. */
static enum answer_verdict
judge_ready (struct answer_match *match, const struct answer_expectation *expected,
             const struct answer_summary *answer)
{
	if (expected->wanted != ANSWER_WANTED_GREETING)
		return match->greeting == answer->whole ? ANSWER_REPEATED : ANSWER_OUT_OF_STEP;
	if (answer->state != TRANSACTION_NONE)
		return ANSWER_OUT_OF_STEP;
	match->greeting = answer->whole;
	return ANSWER_CURRENT;
}

enum answer_verdict
answer_match_judge (struct answer_match *match, const struct answer_expectation *expected,
                    const struct answer_summary *answer)
{
	if (!answer->is_ordered)
		return ANSWER_OUT_OF_STEP;
	if (answer->has_error)
		return judge_error (match, expected, answer);
	if (!answer->has_completion)
		return judge_ready (match, expected, answer);
	if (answer->is_signed)
		return judge_signed (match, expected, answer);
	return judge_completion (match, expected, answer);
}

enum answer_verdict
answer_match_judge_peer (const struct answer_expectation *expected,
                         const struct answer_summary *answer)
{
	bool is_ready_alone = !answer->has_completion && !answer->has_error;
	bool is_expected = false;

	switch (expected->wanted)
	{
	case ANSWER_WANTED_NOTHING:
		break;
	case ANSWER_WANTED_GREETING:
		is_expected = is_ready_alone;
		break;
	case ANSWER_WANTED_STATEMENT:
		is_expected = answer->has_error || (answer->is_signed && answer->state == expected->state);
		break;
	default:
		/* The owner of a server without a sample sends no row. */
		is_expected = !is_ready_alone && !answer->is_signed && answer->rows <= 1;
		break;
	}
	return is_expected && answer->is_ordered ? ANSWER_CURRENT : ANSWER_OUT_OF_STEP;
}
