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
	{ "line feed", "a\nb", 3 },
	{ "line feed first", "\nab", 3 },
	{ "line feed last", "ab\n", 3 },
	{ "carriage return", "a\rb", 3 },
	{ "carriage return last", "ab\r", 3 },
	{ "both, reversed", "a\n\rb", 4 },
	{ "statement", "a\nQUERY x9 WRITE 9 smuggled", 26 },
	{ "completion", "a\nCOMPLETE mac.forged\nREADY I 1.1", 33 },
	{ "nul", "a\0b", 3 },
	{ "nul last", "ab\0", 3 },
	{ "tab", "a\tb", 3 },
	{ "blanks", "  a  b  ", 8 },
	{ "high bytes", "\xff\xfe\x80", 3 },
	{ "quotes", "\"a\" = 'b'", 9 },
};

static struct gateway_pair pair;

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
	g_clear_pointer (&primary->row, g_bytes_unref);
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

/** Bytes of a value or shape as the server holds them: the fake keeps strings, so that texts with NUL bytes are left out. */
static bool
has_nul (const struct spelling *spelling)
{
	return memchr (spelling->bytes, '\0', spelling->length) != NULL;
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
			g_autofree char *shape = g_strdup_printf ("READ %s", spelling->bytes);
			const struct fake_statement *ran;
			GString *text = g_string_new (NULL);
			int fd;

			if (has_nul (spelling))
				continue;
			fd = gateway_pair_open (&pair, vm, "primary");
			append_text (text, "SET v0 ", spelling);
			g_string_free (pair_execute (fd, "v", text->str, text->len), TRUE);
			append_text (text, "PREPARE s READ ", spelling);
			g_string_free (pair_execute (fd, "p", text->str, text->len), TRUE);
			g_string_assign (text, "EXECUTE s 1");
			g_string_free (pair_execute (fd, id, text->str, text->len), TRUE);
			ran = fake_database_find (&pair.databases[PAIR_PRIMARY], id);
			if (!ran || strcmp (ran->value, spelling->bytes) != 0 ||
			    strcmp (ran->shape, shape) != 0)
				g_test_fail_printf ("%s: %s runs with value %s and shape %s", spelling->name, id,
				                    ran ? ran->value : "-", ran ? ran->shape : "-");
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

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_messages/texts_and_rows", test_texts_and_rows);
	g_test_add_func ("/gateway_messages/values_and_shapes", test_values_and_shapes);
	g_test_add_func ("/gateway_messages/shapes_with_nul", test_shapes_with_nul);
	return g_test_run ();
}
