#include "decision/term_history.h"

#include <glib.h>

enum
{
	SERVERS = 4,
	STEPS = 40,
	MAX_ENTRIES = 2000,
};

/** A server's log in a model with random commits, replication and promotions. */
struct log
{
	size_t length;
	struct log_position entries[MAX_ENTRIES];
	uint64_t ids[MAX_ENTRIES];
};

struct model
{
	struct log logs[SERVERS];
	size_t leader;
	uint64_t term;
	uint64_t next_id;
	struct term_history history;
	uint32_t promotions;
	bool
		has_given_up; /**< A log that an earlier promotion had given up was made the present one. */
};

static struct log_position
log_end (const struct log *log)
{
	return log->length > 0 ? log->entries[log->length - 1] : (struct log_position){ 0, 0 };
}

/** Number of entries that both logs share. */
static size_t
common_length (const struct log *a, const struct log *b)
{
	size_t common = 0;

	while (common < MIN (a->length, b->length) && a->ids[common] == b->ids[common])
		common++;
	return common;
}

static void
commit (struct model *model, struct log *log, uint64_t term)
{
	log->entries[log->length] = (struct log_position){ term, log->length + 1 };
	log->ids[log->length++] = ++model->next_id;
}

/** Copies the leader's log up to a random length. */
static void
replicate (struct model *model, struct log *log, GRand *random)
{
	const struct log *leader = &model->logs[model->leader];
	size_t common = common_length (log, leader);
	size_t length =
		(size_t) g_rand_int_range (random, (gint32) common, (gint32) leader->length + 1);

	for (size_t i = common; i < length; i++)
	{
		log->entries[i] = leader->entries[i];
		log->ids[i] = leader->ids[i];
	}
	log->length = length;
}

static void
step (struct model *model, GRand *random)
{
	size_t server = (size_t) g_rand_int_range (random, 0, SERVERS);
	int count = g_rand_int_range (random, 1, 6);

	switch (g_rand_int_range (random, 0, 3))
	{
	case 0:
		while (count-- > 0)
			commit (model, &model->logs[model->leader], model->term);
		break;
	case 1:
		if (server != model->leader)
			replicate (model, &model->logs[server], random);
		break;
	default:
		/* The former leader may go on for a while, since it does not know of the promotion. */
		while (server != model->leader && count-- > 1)
			commit (model, &model->logs[model->leader], model->term);
		model->has_given_up |= common_length (&model->logs[server], &model->logs[model->leader]) <
		                       model->logs[server].length;
		model->leader = server;
		term_history_begin (&model->history, ++model->term, log_end (&model->logs[server]));
		model->promotions++;
		break;
	}
}

static void
test_random_promotions (void)
{
	for (guint32 seed = 1; seed <= 2000; seed++)
	{
		struct model *model = g_new0 (struct model, 1);
		GRand *random = g_rand_new_with_seed (seed);

		model->term = 1;
		for (int i = 0; i < STEPS; i++)
		{
			const struct log *leader;

			step (model, random);
			leader = &model->logs[model->leader];
			for (size_t server = 0; server < SERVERS; server++)
			{
				const struct log *log = &model->logs[server];
				bool is_contained = common_length (log, leader) == log->length;
				bool is_known = model->promotions < TERM_HISTORY_STARTS && !model->has_given_up;

				if (is_contained || is_known)
					g_assert_cmpint (term_history_contains (&model->history, log_end (log)), ==,
					                 is_contained);
			}
		}
		g_rand_free (random);
		g_free (model);
	}
}

/* Guards against a dead log that is taken for a part of the present one, since its last term has no entries there. */
static void
test_term_without_entries (void)
{
	struct term_history history = { 0 };

	g_assert_true (term_history_contains (&history, (struct log_position){ 1, 500 }));
	term_history_begin (&history, 2, (struct log_position){ 1, 400 });
	term_history_begin (&history, 3, (struct log_position){ 1, 420 });
	g_assert_false (term_history_contains (&history, (struct log_position){ 2, 410 }));
	g_assert_true (term_history_contains (&history, (struct log_position){ 1, 420 }));
	g_assert_false (term_history_contains (&history, (struct log_position){ 1, 421 }));
	g_assert_true (term_history_contains (&history, (struct log_position){ 3, 1000 }));
}

/* Guards against logs that are taken for dead ones, since the promotion of the term that they end with is not known: its
 * record was lost with a store that came back from an older copy. */
static void
test_term_without_a_record (void)
{
	struct term_history history = { 0 };

	term_history_begin (&history, 2, (struct log_position){ 1, 50 });
	/* The start of term 3 is not known. */
	term_history_begin (&history, 4, (struct log_position){ 3, 88 });
	g_assert_true (term_history_contains (&history, (struct log_position){ 3, 88 }));
	g_assert_true (term_history_contains (&history, (struct log_position){ 3, 80 }));
	g_assert_false (term_history_contains (&history, (struct log_position){ 3, 89 }));
	g_assert_true (term_history_contains (&history, (struct log_position){ 1, 50 }));
	g_assert_false (term_history_contains (&history, (struct log_position){ 1, 51 }));
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/term_history/random", test_random_promotions);
	g_test_add_func ("/term_history/term_without_entries", test_term_without_entries);
	g_test_add_func ("/term_history/term_without_a_record", test_term_without_a_record);
	return g_test_run ();
}
