/* Guards against an answer that is believed to be that of another statement. The input decides what a connection asks and what
 * its server does: it answers in order, sends earlier answers again at any time, refuses, and loses answers. */
#include "decision/answer_match.h"
#include "fuzz.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	MAX_ANSWERS = ANSWER_MATCH_UNSIGNED, /* As many as the judge remembers. */
	ERROR_TEXTS = 2,
};

enum asked
{
	ASKED_READ,
	ASKED_WRITE,
	ASKED_COMMIT,
	ASKED_SET,
	ASKED_BEGIN,
	ASKED_BEGIN_READ,
	ASKED_ROLLBACK,
	ASKED_STATUS,
	ASKED_KINDS,
};

struct sent_answer
{
	struct answer_summary summary;
	unsigned number; /* Of its statement. */
	bool ran_in_transaction;
};

struct model
{
	struct answer_match match;
	struct answer_expectation
		expected; /* Of the statement that waits; ANSWER_WANTED_NOTHING: none waits. */
	enum asked asked;
	unsigned number;        /* Of the last statement. */
	bool is_in_transaction; /* As the gateway has it. */
	bool is_open;           /* As the server has it. */
	bool is_refused;        /* The server refused the statement that waits. */
	bool has_repeated;      /* An answer has been sent again on this connection. */
	bool knows_repeats;
	uint64_t position;
	struct sent_answer answers[MAX_ANSWERS]; /* In the order in which the server made them. */
	unsigned made;
	unsigned delivered;
};

static void
model_reset (struct model *model)
{
	bool knows_repeats = model->knows_repeats;

	memset (model, 0, sizeof *model);
	answer_match_init (&model->match);
	model->knows_repeats = knows_repeats;
}

static bool
is_statement (enum asked asked)
{
	return asked == ASKED_READ || asked == ASKED_WRITE || asked == ASKED_COMMIT;
}

/** What the server answers, which it decides when it gets the statement. */
static void
make_answer (struct model *model, unsigned fate)
{
	struct sent_answer *answer = &model->answers[model->made++];
	struct answer_summary *summary = &answer->summary;
	/* Statements of the gateway fail as the page says: a begin at a server that does not lead or lags. */
	bool may_fail = is_statement (model->asked) || model->asked == ASKED_BEGIN_READ ||
	                model->asked == ASKED_STATUS;

	*summary = (struct answer_summary){ .is_ordered = true };
	answer->number = model->number;
	answer->ran_in_transaction = model->is_open;
	model->is_refused = may_fail && fate % 4 == 3;
	if (model->is_refused)
	{
		summary->has_error = true;
		summary->lines = fate / 4 % ERROR_TEXTS + 1;
	}
	else
	{
		model->position += model->asked == ASKED_WRITE || fate % 4 == 1;
		if (model->asked == ASKED_BEGIN || model->asked == ASKED_BEGIN_READ)
			model->is_open = true;
		if (model->asked == ASKED_COMMIT || model->asked == ASKED_ROLLBACK)
			model->is_open = false;
		summary->has_completion = true;
		summary->is_signed = is_statement (model->asked);
		summary->rows = model->asked == ASKED_READ || model->asked == ASKED_STATUS;
		summary->signature = 1000 + model->number;
		summary->lines = summary->is_signed ? 5000 + model->number : 100 + summary->rows;
	}
	summary->state = model->is_open ? TRANSACTION_OPEN : TRANSACTION_NONE;
	summary->whole = summary->lines * 1000003 + model->position * 4 + summary->state;
}

static void
ask (struct model *model, unsigned kind, unsigned fate)
{
	static const enum answer_wanted wanted[] = {
		[ASKED_READ] = ANSWER_WANTED_STATEMENT,   [ASKED_WRITE] = ANSWER_WANTED_STATEMENT,
		[ASKED_COMMIT] = ANSWER_WANTED_STATEMENT, [ASKED_SET] = ANSWER_WANTED_COMMAND,
		[ASKED_BEGIN] = ANSWER_WANTED_BEGIN,      [ASKED_BEGIN_READ] = ANSWER_WANTED_BEGIN_READ,
		[ASKED_ROLLBACK] = ANSWER_WANTED_COMMAND, [ASKED_STATUS] = ANSWER_WANTED_REPORT,
	};
	bool stays_open;

	model->asked = kind % ASKED_KINDS;
	/* As a gateway does. */
	if (model->is_in_transaction && model->asked > ASKED_SET && model->asked != ASKED_ROLLBACK)
		model->asked = ASKED_ROLLBACK;
	if (!model->is_in_transaction && model->asked == ASKED_COMMIT)
		model->asked = ASKED_READ;
	if (model->asked == ASKED_WRITE && !answer_match_believes_refusals (&model->match))
		model->asked = ASKED_READ;
	stays_open =
		model->is_in_transaction && model->asked != ASKED_COMMIT && model->asked != ASKED_ROLLBACK;
	model->number++;
	model->expected = (struct answer_expectation){
		.wanted = wanted[model->asked],
		.state = stays_open || model->asked == ASKED_BEGIN || model->asked == ASKED_BEGIN_READ
		             ? TRANSACTION_OPEN
		             : TRANSACTION_NONE,
		.id = model->number,
		.has_repeats = model->knows_repeats,
		.in_transaction = model->is_in_transaction,
	};
	make_answer (model, fate);
}

/** Checks that an answer that is believed is the statement's own, where believing another one does harm. */
static void
check_believed (const struct model *model, const struct sent_answer *answer, bool was_unsure)
{
	bool is_own = answer->number == model->number;

	if (is_statement (model->asked) && !answer->summary.has_error &&
	    (!is_own || answer->ran_in_transaction != model->expected.in_transaction))
		abort ();
	/* Once, before the server is known to repeat answers, and nothing else is sent on the connection. */
	if (is_statement (model->asked) && answer->summary.has_error && !model->is_refused &&
	    (!was_unsure || answer_match_may_go_on (&model->match)))
		abort ();
	if (model->asked == ASKED_STATUS && model->expected.has_repeats && !is_own &&
	    !answer->summary.has_error)
		abort ();
	if (model->asked == ASKED_BEGIN && model->expected.has_repeats && !is_own)
		abort ();
}

static void
deliver (struct model *model, const struct sent_answer *answer, bool is_first)
{
	bool was_unsure = model->match.is_unsure;
	bool was_ambiguous =
		answer->summary.has_error && (!answer_match_believes_refusals (&model->match) ||
	                                  (was_unsure && model->expected.in_transaction));
	enum answer_verdict verdict =
		answer_match_judge (&model->match, &model->expected, &answer->summary);

	switch (verdict)
	{
	case ANSWER_CURRENT:
	case ANSWER_UNDATED:
		if (model->expected.wanted == ANSWER_WANTED_NOTHING)
			abort ();
		check_believed (model, answer, was_unsure);
		model->is_in_transaction = answer->summary.state == TRANSACTION_OPEN;
		model->expected.wanted = ANSWER_WANTED_NOTHING;
		if (!answer_match_may_go_on (&model->match))
			model_reset (model);
		break;
	case ANSWER_REPEATED:
		/* What has come once is not the first of its statement's. */
		if (is_first && !model->has_repeated)
			abort ();
		model->knows_repeats = true;
		break;
	case ANSWER_OUT_OF_STEP:
		/* A server that sends each answer once keeps its connections, but for a refusal that may answer something else. */
		if (!model->has_repeated && !model->knows_repeats && !was_ambiguous)
			abort ();
		model_reset (model);
		break;
	}
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct model *model = g_new0 (struct model, 1);

	model_reset (model);
	for (size_t i = 0; i + 1 < size && model->made < MAX_ANSWERS; i += 2)
	{
		unsigned choice = data[i];
		unsigned detail = data[i + 1];

		if (choice % 4 == 3 && model->delivered > 0)
		{
			model->has_repeated = true;
			deliver (model, &model->answers[detail % model->delivered], false);
		}
		else if (model->expected.wanted == ANSWER_WANTED_NOTHING &&
		         (model->delivered == model->made || choice % 4 == 2))
			ask (model, choice / 4, detail);
		else if (model->delivered < model->made)
		{
			const struct sent_answer answer = model->answers[model->delivered++];

			deliver (model, &answer, true);
		}
	}
	g_free (model);
	return 0;
}
