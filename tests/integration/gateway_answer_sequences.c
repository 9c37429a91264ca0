/* Guards against single sequences of answers that are taken for those of other statements (MIXED, TWICE, PINNED, STALE), and
 * against statements that are never served beside servers that repeat answers. */
#include "gateway_pair.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
	CONNECTIONS = 8,
	REPEAT_MS = 5,
	SETTLE_US = 60 * US_PER_MS,
};

static struct gateway_pair pair;
static int phase; /* Of the test; changed by the test's thread. */
static char example[512];

static void
set_row (int server, const char *row)
{
	struct fake_database *database = &pair.databases[server];

	if (database->row)
		g_bytes_unref (database->row);
	database->row = g_bytes_new (row, strlen (row));
}

static void
start (void (*react) (void *data, const char *id, const char *text, struct fake_reaction *reaction))
{
	phase = 0;
	gateway_pair_start (&pair, CONNECTIONS);
	for (int i = 0; i < PAIR_SERVERS; i++)
	{
		pair.databases[i].react = react;
		pair.databases[i].react_data = &pair.databases[i];
	}
}

/** Runs a statement. @return whether it succeeded; its answer is in @c example. */
static bool
run (int fd, const char *id, const char *text)
{
	GString *answer = pair_execute (fd, id, text, strlen (text));
	bool is_success = strstr (answer->str, "COMPLETE ") != NULL;

	g_strlcpy (example, answer->str, sizeof example);
	g_string_free (answer, TRUE);
	return is_success;
}

/* Only the rows of the first read come again, while its connection is idle. */
static void
react_cut_repeat (void *data, const char *id, const char *text, struct fake_reaction *reaction)
{
	struct fake_database *database = data;

	(void) text;
	if (strcmp (id, "-") == 0)
		return;
	if (database->row)
		g_bytes_unref (database->row);
	database->row = g_bytes_new (id, strlen (id));
	if (strcmp (id, "r1") != 0)
		return;
	reaction->repeat_ms = REPEAT_MS;
	reaction->repeat_bytes = (int) strlen ("ROW r1\r\n");
}

/* Rows of an earlier read, repeated in part while the connection is idle, are answered with the rows of the next one (MIXED). */
static void
test_cut_repeat (void)
{
	int fd;

	start (react_cut_repeat);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "primary");
	g_assert_true (run (fd, "r1", "READ 1"));
	g_usleep (SETTLE_US);
	g_assert_true (run (fd, "r2", "READ 2"));
	if (!g_str_has_prefix (example, "ROW r2\r\nCOMPLETE "))
		g_test_fail_printf ("the second read got %s", example);
	close (fd);
	gateway_pair_stop (&pair);
}

/* The answer to the first BEGIN comes again in front of the refusal of the second one. */
static void
react_begin (void *data, const char *id, const char *text, struct fake_reaction *reaction)
{
	(void) data;
	if (strcmp (id, "-") != 0 || strcmp (text, "BEGIN") != 0)
		return;
	reaction->is_kept = phase == 0;
	reaction->replays = reaction->is_refused = phase == 1;
	if (phase == 1)
		phase = 2;
}

/* A repeated answer to BEGIN hides that the next BEGIN was refused: the write commits at once (UNASKED, PINNED). */
static void
test_begin (void)
{
	int fd;

	start (react_begin);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "primary");
	run (fd, "t1", "BEGIN");
	g_assert_true (run (fd, "t1w", "WRITE 1 data"));
	run (fd, "t1", "ROLLBACK");
	g_usleep (SETTLE_US);
	phase = 1;
	run (fd, "t2", "BEGIN");
	run (fd, "t2w", "WRITE 1 data");
	run (fd, "t2", "ROLLBACK");
	g_usleep (SETTLE_US);
	g_assert_cmpint (phase, ==, 2);
	if (fake_database_count_commits (&pair.databases[PAIR_PRIMARY], "t2w") != 0)
		g_test_fail_printf (
			"a write of a transaction that was rolled back has committed (last answer: %s)",
			example);
	close (fd);
	gateway_pair_stop (&pair);
}

static void
react_set (void *data, const char *id, const char *text, struct fake_reaction *reaction)
{
	(void) data;
	(void) id;
	reaction->is_kept = strcmp (text, "SET v0 x1") == 0;
	if (strcmp (text, "SET v0 x2") != 0 || phase != 0)
		return;
	reaction->replays = reaction->is_refused = true;
	phase = 1;
}

/* A repeated answer to SET moves the refusal of the next one to the write behind it, which runs and is sent again (TWICE). */
static void
test_set (void)
{
	int fd;
	int commits;

	start (react_set);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "primary");
	run (fd, "v", "SET v0 x1");
	g_assert_true (run (fd, "r1", "READ 1"));
	run (fd, "v", "SET v0 x2");
	run (fd, "w1", "WRITE 1 data");
	g_usleep (SETTLE_US);
	g_assert_cmpint (phase, ==, 1);
	commits = fake_database_count_commits (&pair.databases[PAIR_PRIMARY], "w1");
	if (commits > 1)
		g_test_fail_printf ("the write has committed %d times", commits);
	close (fd);
	gateway_pair_stop (&pair);
}

static bool has_repeats; /* The replica has sent an answer again before. */

/* At the replica: the answer to the first BEGIN READ comes again in front of the refusal of a later one. */
static void
react_begin_read (void *data, const char *id, const char *text, struct fake_reaction *reaction)
{
	struct fake_database *database = data;
	bool is_begin = strcmp (id, "-") == 0 && strstr (text, "BEGIN READ");

	if (database != &pair.databases[PAIR_REPLICA])
		return;
	if (has_repeats && strcmp (id, "t1r") == 0)
		reaction->repeat_ms = REPEAT_MS;
	if (is_begin && strstr (text, "AFTER 1.100 "))
		reaction->is_kept = true;
	if (!is_begin || !strstr (text, "AFTER 1.150 "))
		return;
	reaction->replays = phase == 1;
	phase = 2;
}

/* A repeated answer to BEGIN READ hides that a replica is behind: the read runs outside of its transaction on a log that lacks
 * an acknowledged commit (STALE, PINNED). */
static void
check_begin_read (bool repeats)
{
	bool is_outside = false;
	const struct fake_database *replica = &pair.databases[PAIR_REPLICA];
	int64_t end_us;
	int fd;

	has_repeats = repeats;
	start (react_begin_read);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "staleness");
	/* Until the positions are known. */
	g_usleep (3 * US_PER_S);
	run (fd, "t1", "BEGIN READ");
	g_assert_true (run (fd, "t1r", "READ 1"));
	g_usleep (SETTLE_US);
	g_assert_true (run (fd, "t1c", "COMMIT"));
	g_mutex_lock (&pair.databases[PAIR_PRIMARY].mutex);
	pair.databases[PAIR_PRIMARY].index = 150;
	g_mutex_unlock (&pair.databases[PAIR_PRIMARY].mutex);
	g_usleep (3 * US_PER_S + 200 * US_PER_MS);
	phase = 1;
	end_us = clock_now_us () + US_PER_S;
	for (int i = 0; i < 20 && phase == 1 && clock_now_us () < end_us; i++)
	{
		run (fd, "t2", "BEGIN READ");
		run (fd, "t2r", "READ 1");
		run (fd, "t2", "ROLLBACK");
	}
	g_usleep (SETTLE_US);
	for (guint i = 0; i < replica->statements->len; i++)
	{
		const struct fake_statement *statement = replica->statements->pdata[i];

		if (strcmp (statement->id, "t2r") == 0)
			is_outside = true;
	}
	if (phase != 2)
		g_test_skip ("the replica was not asked");
	else if (is_outside)
		g_test_fail_printf ("a replica ran a read that needs a later position (last answer: %s)",
		                    example);
	close (fd);
	gateway_pair_stop (&pair);
}

static void
test_begin_read (void)
{
	check_begin_read (false);
}

static void
test_begin_read_known (void)
{
	check_begin_read (true);
}

static int statuses;

/* At the primary: the status before a commit of another gateway comes again in front of the one after it. */
static void
react_status (void *data, const char *id, const char *text, struct fake_reaction *reaction)
{
	struct fake_database *database = data;

	(void) id;
	if (database != &pair.databases[PAIR_PRIMARY] || strcmp (text, "STATUS") != 0)
		return;
	if (phase == 0)
		reaction->is_kept = true;
	reaction->replays = phase == 1;
	if (phase == 1)
		phase = 2;
	statuses++;
}

/* An earlier status that is dated to a later question hides a commit: a replica is asked for too old a position (STALE). */
static void
test_status (void)
{
	struct fake_database *primary = &pair.databases[PAIR_PRIMARY];
	struct fake_database *replica = &pair.databases[PAIR_REPLICA];
	int64_t committed_us;
	int fd;

	statuses = 0;
	start (react_status);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "staleness");
	g_usleep (2 * US_PER_S);
	g_mutex_lock (&primary->mutex);
	/* Another gateway's commit. */
	primary->index = 150;
	committed_us = clock_now_us ();
	phase = 1;
	g_mutex_unlock (&primary->mutex);
	/* The commit is older than the bound of 2.5 s by 20 ms. */
	while (clock_now_us () < committed_us + 2520 * US_PER_MS)
		g_usleep (1000);
	run (fd, "r1", "READ 1");
	g_usleep (SETTLE_US);
	g_test_message ("%d statuses, phase %d, answer %s", statuses, phase, example);
	for (guint i = 0; i < replica->statements->len; i++)
		if (strcmp (((struct fake_statement *) replica->statements->pdata[i])->id, "r1") == 0)
			g_test_fail_printf ("a replica that lacks the commit ran the read");
	g_assert_cmpint (phase, ==, 2);
	close (fd);
	gateway_pair_stop (&pair);
}

/* The first read's answer comes again in front of that of the second one. */
static void
react_same_id (void *data, const char *id, const char *text, struct fake_reaction *reaction)
{
	(void) data;
	(void) id;
	reaction->is_kept = strcmp (text, "READ 1") == 0;
	reaction->replays = strcmp (text, "READ 2") == 0;
}

/* The statements of a transaction may have one id; a repeated answer inside of it does not end it. */
static void
test_same_id (void)
{
	int fd;

	start (react_same_id);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "primary");
	run (fd, "t", "BEGIN");
	g_assert_true (run (fd, "t", "READ 1"));
	if (!run (fd, "t", "READ 2"))
		g_test_fail_printf ("the second read got %s", example);
	close (fd);
	gateway_pair_stop (&pair);
}

/** Checks that a calm server's row is served, and counts the connections that it takes. */
static void
check_row (const char *row)
{
	int fd;
	guint before;

	start (NULL);
	set_row (PAIR_PRIMARY, row);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "primary");
	before = pair.databases[PAIR_PRIMARY].greetings->len;
	if (!run (fd, "r1", "READ 1"))
		g_test_fail_printf ("the read got %s after %u connections", example,
		                    pair.databases[PAIR_PRIMARY].greetings->len - before);
	close (fd);
	gateway_pair_stop (&pair);
}

/* A row that begins with the word of a row is no answer that was cut off. */
static void
test_row_of_word (void)
{
	check_row ("ROW x");
}

/* Two equal rows at the start are no answer that was cut off. */
static void
test_equal_rows (void)
{
	check_row ("a\r\nROW a\r\nROW b");
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_answer_sequences/cut_repeat", test_cut_repeat);
	g_test_add_func ("/gateway_refused_commands/begin", test_begin);
	g_test_add_func ("/gateway_refused_commands/set", test_set);
	g_test_add_func ("/gateway_answer_sequences/begin_read", test_begin_read);
	g_test_add_func ("/gateway_answer_sequences/begin_read_known", test_begin_read_known);
	g_test_add_func ("/gateway_answer_sequences/status", test_status);
	g_test_add_func ("/gateway_answer_sequences/same_id", test_same_id);
	g_test_add_func ("/gateway_answer_sequences/row_of_word", test_row_of_word);
	g_test_add_func ("/gateway_answer_sequences/equal_rows", test_equal_rows);
	return g_test_run ();
}
