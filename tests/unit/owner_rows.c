/* Guards against a replayed answer that differs from the original, and against answers that are too
 * large to send. */
#include "flamingospring/owner_rows.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

static void
test_stored (void)
{
	const char *columns[] = { "a", "b \"quoted\"" };
	const char *cells[] = { "1", NULL, "", "line\nbreak \xc3\xa4" };
	struct owner_rows rows = { 2, 4, columns, cells, NULL };
	struct owner_rows read = { 0 };
	char *json = owner_rows_encode (&rows);

	g_assert_cmpint (owner_rows_decode (&read, json), ==, 0);
	g_assert_cmpuint (read.column_count, ==, 2);
	g_assert_cmpuint (read.cell_count, ==, 4);
	for (size_t i = 0; i < 2; i++)
		g_assert_cmpstr (read.columns[i], ==, columns[i]);
	for (size_t i = 0; i < 4; i++)
		g_assert_cmpstr (read.cells[i], ==, cells[i]);
	owner_rows_finish (&read);
	g_free (json);
}

static void
test_no_rows (void)
{
	struct owner_rows rows = { 0 };
	struct owner_rows read = { 0 };
	char *json = owner_rows_encode (&rows);

	g_assert_cmpint (owner_rows_decode (&read, json), ==, 0);
	g_assert_cmpuint (read.column_count + read.cell_count, ==, 0);
	owner_rows_finish (&read);
	g_free (json);
}

static void
test_malformed (void)
{
	static const char *const texts[] = { "",
		                                 "{",
		                                 "[]",
		                                 "{\"columns\":1,\"cells\":[]}",
		                                 "{\"columns\":[],\"cells\":[1]}",
		                                 "{\"columns\":[]}",
		                                 "{\"columns\":[],\"cells\":[]}{\"columns\":[]}" };
	struct owner_rows rows = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
		g_assert_cmpint (owner_rows_decode (&rows, texts[i]), ==, -EBADMSG);
}

static void
test_size (void)
{
	char *big = g_strnfill (1024 * 1024 + 1, 'x');
	const char *columns[] = { "a" };
	const char *cells[] = { big };
	struct owner_rows rows = { 1, 1, columns, cells, NULL };

	g_assert_false (owner_rows_fit (&rows));
	big[1024 * 1024] = 0;
	g_assert_true (owner_rows_fit (&rows));
	rows.cell_count = 65537;
	g_assert_false (owner_rows_fit (&rows));
	g_free (big);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/owner_rows/stored", test_stored);
	g_test_add_func ("/owner_rows/no_rows", test_no_rows);
	g_test_add_func ("/owner_rows/malformed", test_malformed);
	g_test_add_func ("/owner_rows/size", test_size);
	return g_test_run ();
}
