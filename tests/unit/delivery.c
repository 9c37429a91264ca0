/* Guards against a promise for a statement that took effect, and against doubt about one that cannot have. A server is
 * played through for each effect and each place where a statement or its answer is lost. */
#include "decision/delivery.h"

#include <glib.h>

/* What happened to a statement and its answer, and what the sender knows of it. */
static const struct
{
	const char *name;
	bool runs;
	bool takes_effect; /* As far as the statement by itself goes. */
	enum delivery delivery;
} cases[] = {
	{ "never sent", false, false, DELIVERY_NOT_SENT },
	{ "lost on the way", false, false, DELIVERY_UNANSWERED },
	{ "ran, answer lost", true, true, DELIVERY_UNANSWERED },
	{ "will run later", true, true, DELIVERY_UNANSWERED },
	{ "refused", false, false, DELIVERY_REFUSED },
	{ "ran and failed", true, false, DELIVERY_RAN },
	{ "ran, answered with an error", true, true, DELIVERY_RAN },
};

/** Whether something is kept after the sender has closed the connection or rolled the transaction back. */
static bool
is_kept (size_t i, enum statement_effect effect)
{
	if (effect == EFFECT_NONE || effect == EFFECT_AT_COMMIT)
		return false;
	return cases[i].runs && cases[i].takes_effect;
}

static void
test_no_false_promise (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		for (int effect = EFFECT_NONE; effect <= EFFECT_COMMITS; effect++)
		{
			enum delivery_outcome outcome = delivery_judge (cases[i].delivery, effect);

			if (!is_kept (i, effect))
				continue;
			g_test_message ("%s, effect %d", cases[i].name, effect);
			g_assert_false (delivery_allows_promise (cases[i].delivery, effect));
			g_assert_cmpint (outcome, !=, OUTCOME_NOT_KEPT);
		}
}

/* A statement that was not sent, or that its server refused, is never in doubt: the caller can do it again. */
static void
test_no_needless_doubt (void)
{
	for (int effect = EFFECT_NONE; effect <= EFFECT_COMMITS; effect++)
	{
		g_assert_true (delivery_allows_promise (DELIVERY_NOT_SENT, effect));
		g_assert_true (delivery_allows_promise (DELIVERY_REFUSED, effect));
	}
	for (int delivery = DELIVERY_NOT_SENT; delivery <= DELIVERY_RAN; delivery++)
	{
		g_assert_true (delivery_allows_promise (delivery, EFFECT_NONE));
		g_assert_true (delivery_allows_promise (delivery, EFFECT_AT_COMMIT));
	}
	g_assert_cmpint (delivery_judge (DELIVERY_UNANSWERED, EFFECT_COMMITS), ==, OUTCOME_IN_DOUBT);
	g_assert_cmpint (delivery_judge (DELIVERY_UNANSWERED, EFFECT_AT_ONCE), ==, OUTCOME_IN_DOUBT);
	g_assert_cmpint (delivery_judge (DELIVERY_RAN, EFFECT_AT_ONCE), ==, OUTCOME_FAILED);
}

/* A statement of a transaction is not sent again by itself: the transaction is gone with its connection. */
static void
test_transaction_is_rolled_back (void)
{
	for (int delivery = DELIVERY_NOT_SENT; delivery <= DELIVERY_RAN; delivery++)
		g_assert_cmpint (delivery_judge (delivery, EFFECT_AT_COMMIT), ==, OUTCOME_ROLLED_BACK);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/delivery/no_false_promise", test_no_false_promise);
	g_test_add_func ("/delivery/no_needless_doubt", test_no_needless_doubt);
	g_test_add_func ("/delivery/rolled_back", test_transaction_is_rolled_back);
	return g_test_run ();
}
