#include "decision/quorum.h"

#include <glib.h>

struct answers_case
{
	const char *name;
	size_t settled;
	size_t fresh;
	size_t silent_settled;
	size_t silent_fresh;
	enum succession_answers answers;
};

static enum succession_answers
count (size_t settled, size_t fresh, size_t silent_settled, size_t silent_fresh)
{
	struct quorum_member members[64];
	size_t used = 0;

	for (size_t i = 0; i < settled; i++)
		members[used++] = (struct quorum_member){ i >= silent_settled, true };
	for (size_t i = 0; i < fresh; i++)
		members[used++] = (struct quorum_member){ i >= silent_fresh, false };
	return quorum_evaluate_answers (members, used);
}

/* Guards against a change of primary that waits long although no more than the usual VMs are lost, and
 * against one that proceeds too early. */
static void
test_answers (void)
{
	static const struct answers_case cases[] = {
		{ "one VM", 1, 0, 0, 0, SUCCESSION_ALL_STOPPED },
		{ "all answer", 7, 0, 0, 0, SUCCESSION_ALL_STOPPED },
		{ "a zone is partitioned", 7, 0, 3, 0, SUCCESSION_MOST_STOPPED },
		{ "half is partitioned and one was replaced", 7, 1, 4, 0, SUCCESSION_MOST_STOPPED },
		{ "most are partitioned", 7, 0, 5, 0, SUCCESSION_FEW_STOPPED },
		{ "new VMs are silent", 7, 3, 2, 3, SUCCESSION_MOST_STOPPED },
		{ "new VMs and a zone are silent", 7, 3, 4, 3, SUCCESSION_FEW_STOPPED },
		{ "no VM is settled yet", 0, 7, 0, 1, SUCCESSION_FEW_STOPPED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		g_test_message ("%s", cases[i].name);
		g_assert_cmpint (count (cases[i].settled, cases[i].fresh, cases[i].silent_settled,
		                        cases[i].silent_fresh),
		                 ==, cases[i].answers);
	}
}

/* Guards against one dead VM that stops the use of primaries while the store is down (trouble-3 of the
 * grown Grindwell site, 4 s). */
static void
test_confirmed_time (void)
{
	int64_t times[] = { 50, 70, 60, 65, 40, 30 };
	int64_t few[] = { 50, 60, 70, 80 };

	g_assert_cmpint (quorum_confirmed_us (times, 6, 7), ==, 40);
	g_assert_cmpint (quorum_confirmed_us (few, 4, 7), ==, 0);
	g_assert_cmpint (quorum_confirmed_us (few, 1, 1), ==, 50);
	g_assert_cmpint (quorum_majority_us (few, 4, 7), ==, 50);
	g_assert_cmpint (quorum_majority_us (few, 4, 8), ==, 0);
}

/** Entry of a VM in a list of VMs. */
enum list_state
{
	ABSENT,
	LISTED,
	REMOVED,
};

enum
{
	VMS = 12,
	HISTORY_STEPS = 40,
	STEP_US = 500 * 1000,
	RUNS = 20000,
};

/** The list of VMs in the store over time: VMs join, are marked as removed, and are finally deleted. */
struct history
{
	enum list_state list_state[HISTORY_STEPS][VMS];
	int64_t joined_us[HISTORY_STEPS][VMS];
};

static void
generate_history (struct history *history, GRand *random)
{
	int64_t removed_us[VMS] = { 0 };
	size_t first = (size_t) g_rand_int_range (random, 1, VMS);

	for (size_t vm = 0; vm < VMS; vm++)
	{
		history->list_state[0][vm] = vm < first ? LISTED : ABSENT;
		history->joined_us[0][vm] = vm < first ? -60 * 1000 * 1000 : 0;
	}
	for (size_t step = 1; step < HISTORY_STEPS; step++)
	{
		int64_t now_us = (int64_t) step * STEP_US;

		for (size_t vm = 0; vm < VMS; vm++)
		{
			enum list_state *now = &history->list_state[step][vm];

			*now = history->list_state[step - 1][vm];
			history->joined_us[step][vm] = history->joined_us[step - 1][vm];
			if (*now == REMOVED && now_us - removed_us[vm] >= QUORUM_REMOVED_US)
				*now = ABSENT;
			else if (*now == LISTED && g_rand_int_range (random, 0, 30) == 0)
			{
				*now = REMOVED;
				removed_us[vm] = now_us;
			}
			else if (*now == ABSENT && g_rand_int_range (random, 0, 10) == 0)
			{
				*now = LISTED;
				history->joined_us[step][vm] = now_us;
			}
		}
	}
}

/** Tells whether the silent VMs could still use the old primary by the earlier list @p list after the
 * change has proceeded. */
static bool
silent_vms_form_quorum (const struct history *history, size_t list, const bool *is_silent)
{
	int64_t confirmed_us[VMS] = { 0 };
	size_t members = 0;
	size_t silent = 0;

	for (size_t vm = 0; vm < VMS; vm++)
	{
		if (history->list_state[list][vm] == ABSENT)
			continue;
		members++;
		silent += is_silent[vm] && history->list_state[list][vm] == LISTED;
	}
	for (size_t i = 0; i < silent; i++)
		confirmed_us[i] = 1;
	return quorum_confirmed_us (confirmed_us, silent, members) > 0;
}

/* Guards against two quorums at once: for random lists of VMs over time, whenever a change may proceed,
 * the VMs that do not answer its claimant are too few to keep using the old primary by any list that is
 * still in use. */
static void
test_no_two_quorums (void)
{
	GRand *random = g_rand_new_with_seed (7);
	struct history history;
	size_t continued = 0;

	for (size_t run = 0; run < RUNS; run++)
	{
		struct quorum_member members[VMS];
		bool is_silent[VMS];
		size_t used = 0;
		size_t now = HISTORY_STEPS - 1;
		int64_t oldest_us =
			(int64_t) now * STEP_US - QUORUM_LIST_AGE_US - SUCCESSION_AUTHORITY_MS * 1000;

		generate_history (&history, random);
		for (size_t vm = 0; vm < VMS; vm++)
		{
			int64_t age_us = (int64_t) now * STEP_US - history.joined_us[now][vm];

			is_silent[vm] = g_rand_int_range (random, 0, 2) == 0;
			if (history.list_state[now][vm] == ABSENT)
				continue;
			members[used++] = (struct quorum_member){ !is_silent[vm], age_us >= QUORUM_SETTLE_US };
		}
		if (quorum_evaluate_answers (members, used) == SUCCESSION_FEW_STOPPED)
			continue;
		continued++;
		for (size_t list = 0; list < HISTORY_STEPS; list++)
			if ((int64_t) list * STEP_US >= oldest_us)
				g_assert_false (silent_vms_form_quorum (&history, list, is_silent));
	}
	g_assert_cmpuint (continued, >, RUNS / 20);
	g_rand_free (random);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/quorum/answers", test_answers);
	g_test_add_func ("/quorum/denied", test_confirmed_time);
	g_test_add_func ("/quorum/lists", test_no_two_quorums);
	return g_test_run ();
}
