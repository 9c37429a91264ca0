/* Guards against fields whose bytes end or change a message (UNASKED, MIXED): a line feed ended a line, and a NUL byte a value.
 * A field holds any byte but its line's CR LF; texts and rows pass unchanged, through an owner as well. */
#include "gateway_pair.h"

#include "common/log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/** Parts of a field, with their lengths, since some have a NUL byte. */
static const struct spelling
{
	const char *name;
	const char *bytes;
	size_t length;
} spellings[] = {
	{ "line feed", "a\nb", sizeof "a\nb" - 1 },
	{ "line feed first", "\nab", sizeof "\nab" - 1 },
	{ "line feed last", "ab\n", sizeof "ab\n" - 1 },
	{ "carriage return", "a\rb", sizeof "a\rb" - 1 },
	{ "carriage return last", "ab\r", sizeof "ab\r" - 1 },
	{ "both, reversed", "a\n\rb", sizeof "a\n\rb" - 1 },
	{ "statement", "a\nQUERY x9 WRITE 9 smuggled", sizeof "a\nQUERY x9 WRITE 9 smuggled" - 1 },
	{ "completion", "a\nCOMPLETE mac.forged\nREADY I 1.1",
	  sizeof "a\nCOMPLETE mac.forged\nREADY I 1.1" - 1 },
	{ "nul", "a\0b", sizeof "a\0b" - 1 },
	{ "nul last", "ab\0", sizeof "ab\0" - 1 },
	{ "tab", "a\tb", sizeof "a\tb" - 1 },
	{ "blanks", "  a  b  ", sizeof "  a  b  " - 1 },
	{ "high bytes", "\xff\xfe\x80", sizeof "\xff\xfe\x80" - 1 },
	{ "quotes", "\"a\" = 'b'", sizeof "\"a\" = 'b'" - 1 },
};

static struct gateway_pair pair;

static void
clear_row (struct fake_database *database)
{
	if (database->row)
		g_bytes_unref (database->row);
	database->row = NULL;
}

static void
append_text (GString *text, const char *before, const struct spelling *spelling)
{
	g_string_assign (text, before);
	g_string_append_len (text, spelling->bytes, (gssize) spelling->length);
}

/** Fails the test unless the answer is @p lines, a signature, and the state. */
static void
check_success (const GString *answer, const char *row, size_t row_length, const char *what,
               const struct spelling *spelling)
{
	GString *expected = g_string_new (NULL);

	if (row)
	{
		g_string_append (expected, "ROW ");
		g_string_append_len (expected, row, (gssize) row_length);
		g_string_append (expected, "\r\n");
	}
	g_string_append (expected, "COMPLETE mac.");
	if (answer->len < expected->len || memcmp (answer->str, expected->str, expected->len) != 0)
		g_test_fail_printf ("%s, %s: the answer is %s", what, spelling->name, answer->str);
	g_string_free (expected, TRUE);
}

/** Fails the test unless the server ran the statement with exactly this text, and nothing else since @p count. */
static void
check_ran (const char *id, const GString *text, guint count, const char *what,
           const struct spelling *spelling)
{
	struct fake_database *primary = &pair.databases[PAIR_PRIMARY];
	g_autoptr (GBytes) sent = g_bytes_new (text->str, text->len);

	g_mutex_lock (&primary->mutex);
	if (primary->statements->len != count + 1)
		g_test_fail_printf ("%s, %s: %u statements ran instead of 1", what, spelling->name,
		                    primary->statements->len - count);
	for (guint i = count; i < primary->statements->len; i++)
	{
		const struct fake_statement *ran = primary->statements->pdata[i];

		if (strcmp (ran->id, id) != 0 || !g_bytes_equal (ran->text, sent))
			g_test_fail_printf ("%s, %s: %s ran with another text", what, spelling->name, ran->id);
	}
	g_mutex_unlock (&primary->mutex);
}

static guint
count_statements (void)
{
	struct fake_database *primary = &pair.databases[PAIR_PRIMARY];
	guint count;

	g_mutex_lock (&primary->mutex);
	count = primary->statements->len;
	g_mutex_unlock (&primary->mutex);
	return count;
}

static void
run_spelling (int vm, const struct spelling *spelling, const char *before, bool is_read)
{
	struct fake_database *primary = &pair.databases[PAIR_PRIMARY];
	GString *text = g_string_new (NULL);
	int fd = gateway_pair_open (&pair, vm, "primary");
	guint count = count_statements ();
	GString *answer;

	append_text (text, before, spelling);
	g_mutex_lock (&primary->mutex);
	clear_row (primary);
	if (is_read)
		primary->row = g_bytes_new (spelling->bytes, spelling->length);
	g_mutex_unlock (&primary->mutex);
	answer = pair_execute (fd, "q1", text->str, text->len);
	check_success (answer, is_read ? spelling->bytes : NULL, spelling->length, before, spelling);
	check_ran ("q1", text, count, before, spelling);
	g_string_free (answer, TRUE);
	g_string_free (text, TRUE);
	close (fd);
}

static void
test_texts_and_rows (void)
{
	gateway_pair_start (&pair, 400);
	for (int vm = 0; vm < PAIR_VMS; vm++)
		for (size_t i = 0; i < G_N_ELEMENTS (spellings); i++)
		{
			run_spelling (vm, &spellings[i], "WRITE 1 ", false);
			run_spelling (vm, &spellings[i], "READ ", true);
		}
	gateway_pair_stop (&pair);
}

/** Whether the server was sent a statement of the gateway itself with exactly these bytes at its end. */
static bool
has_command (const char *before, const struct spelling *spelling)
{
	struct fake_database *primary = &pair.databases[PAIR_PRIMARY];
	bool found = false;

	g_mutex_lock (&primary->mutex);
	for (guint i = 0; i < primary->commands->len; i++)
	{
		gsize length;
		const char *bytes = g_bytes_get_data (primary->commands->pdata[i], &length);

		found |= length > spelling->length && strncmp (bytes, before, strlen (before)) == 0 &&
		         bytes[length - spelling->length - 1] == ' ' &&
		         memcmp (bytes + length - spelling->length, spelling->bytes, spelling->length) == 0;
	}
	g_mutex_unlock (&primary->mutex);
	return found;
}

/* Values and shapes are kept by the gateway and set up again on other connections. */
static void
test_values_and_shapes (void)
{
	gateway_pair_start (&pair, 400);
	for (int vm = 0; vm < PAIR_VMS; vm++)
		for (size_t i = 0; i < G_N_ELEMENTS (spellings); i++)
		{
			const struct spelling *spelling = &spellings[i];
			g_autofree char *id = g_strdup_printf ("q%d.%zu", vm, i);
			GString *text = g_string_new (NULL);
			int fd;

			fd = gateway_pair_open (&pair, vm, "primary");
			append_text (text, "SET v0 ", spelling);
			g_string_free (pair_execute (fd, "v", text->str, text->len), TRUE);
			append_text (text, "PREPARE s READ ", spelling);
			g_string_free (pair_execute (fd, "p", text->str, text->len), TRUE);
			g_string_assign (text, "EXECUTE s 1");
			g_string_free (pair_execute (fd, id, text->str, text->len), TRUE);
			g_assert_nonnull (fake_database_find (&pair.databases[PAIR_PRIMARY], id));
			if (!has_command ("SET v0 ", spelling) || !has_command ("PREPARE p", spelling))
				g_test_fail_printf ("%s: value or text changed", spelling->name);
			g_string_free (text, TRUE);
			close (fd);
		}
	gateway_pair_stop (&pair);
}

/* Two texts that differ after a NUL byte are two texts. */
static void
test_shapes_with_nul (void)
{
	static const char first[] = "PREPARE s READ a\0b";
	static const char second[] = "PREPARE t READ a\0c";
	struct fake_database *primary = &pair.databases[PAIR_PRIMARY];
	const struct fake_statement *one;
	const struct fake_statement *two;
	int fd;

	gateway_pair_start (&pair, 400);
	fd = gateway_pair_open (&pair, PAIR_OWNER, "primary");
	g_string_free (pair_execute (fd, "p1", first, sizeof first - 1), TRUE);
	g_string_free (pair_execute (fd, "p2", second, sizeof second - 1), TRUE);
	g_string_free (pair_execute (fd, "e1", "EXECUTE s 1", 11), TRUE);
	g_string_free (pair_execute (fd, "e2", "EXECUTE t 1", 11), TRUE);
	one = fake_database_find (primary, "e1");
	two = fake_database_find (primary, "e2");
	if (!one || !two || g_bytes_equal (one->text, two->text))
		g_test_fail_printf ("both run the same text");
	close (fd);
	gateway_pair_stop (&pair);
}

/* Ids are words: any bytes but blanks. */
static void
test_ids (void)
{
	static const char *const ids[] = { "q\n1", "q\r1", "\nq", "q\t1", "\xff\xfe", "q\"=1" };

	gateway_pair_start (&pair, 400);
	for (int vm = 0; vm < PAIR_VMS; vm++)
		for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
		{
			const struct spelling spelling = { "id", "a", 1 };
			int fd = gateway_pair_open (&pair, vm, "primary");
			guint count = count_statements ();
			GString *text = g_string_new ("WRITE 1 a");
			GString *answer = pair_execute (fd, ids[i], text->str, text->len);

			check_success (answer, NULL, 0, ids[i], &spelling);
			check_ran (ids[i], text, count, ids[i], &spelling);
			g_string_free (answer, TRUE);
			g_string_free (text, TRUE);
			close (fd);
		}
	gateway_pair_stop (&pair);
}

/* The name of a database that begins with that of a route is another one. */
static void
test_databases (void)
{
	static const struct spelling names[] = {
		{ "nul", "primary\0x", 9 },
		{ "line feed", "primary\n", 8 },
		{ "carriage return", "primary\r", 8 },
		{ "tab", "primary\t", 8 },
	};

	gateway_pair_start (&pair, 400);
	for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
	{
		int fd = gateway_pair_connect (pair.caller_ports[PAIR_OWNER]);
		GString *answer;

		g_assert_true (pair_send (fd, "START ", 6) &&
		               pair_send (fd, names[i].bytes, names[i].length) &&
		               pair_send (fd, " who\r\n", 6));
		answer = pair_read (fd);
		if (!g_str_has_prefix (answer->str, "ERROR NODB "))
			g_test_fail_printf ("%s: %s", names[i].name, answer->str);
		g_string_free (answer, TRUE);
		close (fd);
	}
	gateway_pair_stop (&pair);
}

/* A message of the largest size stays one: what the gateway puts in front of a read would make it too long for a server. */
static void
test_largest (void)
{
	enum
	{
		MAX_BYTES = 1024 * 1024,
		FRAME_BYTES = 6 + 2 + 1 + 2, /* "QUERY ", the id, a blank, the line end. */
	};
	static const char *const databases[] = { "primary", "staleness" };
	static const char *const kinds[] = { "READ ", "WRITE 1 " };
	const struct spelling spelling = { "largest", "", 0 };

	gateway_pair_start (&pair, 400);
	for (int vm = 0; vm < PAIR_VMS; vm++)
		for (size_t i = 0; i < G_N_ELEMENTS (databases) * G_N_ELEMENTS (kinds); i++)
		{
			GString *text = g_string_new (kinds[i / 2]);
			int fd = gateway_pair_open (&pair, vm, databases[i % 2]);
			guint count = count_statements ();
			GString *answer;

			while (text->len < MAX_BYTES - FRAME_BYTES)
				g_string_append_c (text, (char) ('a' + text->len % 26));
			answer = pair_execute (fd, "q1", text->str, text->len);
			check_success (answer, i / 2 ? NULL : "row", 3, databases[i % 2], &spelling);
			check_ran ("q1", text, count, databases[i % 2], &spelling);
			g_string_free (answer, TRUE);
			g_string_free (text, TRUE);
			close (fd);
		}
	for (int i = 0; i < PAIR_SERVERS; i++)
		g_assert_cmpuint (pair.databases[i].max_line_bytes + 2, <=, MAX_BYTES);
	gateway_pair_stop (&pair);
}

/* Rows that look like an answer that was cut off and then sent whole are served: the server sends them each time. */
static void
test_rows_like_cut (void)
{
	static const struct spelling rows[] = {
		{ "equal rows", "a\r\nROW a", 8 },
		{ "word of the protocol", "ROW a", 5 },
	};

	gateway_pair_start (&pair, 400);
	for (int vm = 0; vm < PAIR_VMS; vm++)
		for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
		{
			struct fake_database *primary = &pair.databases[PAIR_PRIMARY];
			int fd = gateway_pair_open (&pair, vm, "primary");
			GString *answer;

			g_mutex_lock (&primary->mutex);
			clear_row (primary);
			primary->row = g_bytes_new (rows[i].bytes, rows[i].length);
			g_mutex_unlock (&primary->mutex);
			answer = pair_execute (fd, "q1", "READ 1", 6);
			check_success (answer, rows[i].bytes, rows[i].length, "READ", &rows[i]);
			g_string_free (answer, TRUE);
			close (fd);
		}
	gateway_pair_stop (&pair);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_messages/texts_and_rows", test_texts_and_rows);
	g_test_add_func ("/gateway_messages/values_and_shapes", test_values_and_shapes);
	g_test_add_func ("/gateway_messages/ids", test_ids);
	g_test_add_func ("/gateway_messages/databases", test_databases);
	g_test_add_func ("/gateway_messages/largest", test_largest);
	g_test_add_func ("/gateway_messages/rows_like_cut", test_rows_like_cut);
	g_test_add_func ("/gateway_messages/shapes_with_nul", test_shapes_with_nul);
	return g_test_run ();
}
