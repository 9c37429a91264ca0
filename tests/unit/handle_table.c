/* Guards against a stale handle that refers to another request's entry. */
#include "common/handle_table.h"

#include <glib.h>

static void
test_stale_handle (void)
{
	struct handle_table table;
	uint32_t first;
	uint32_t second;

	g_assert_cmpint (handle_table_init (&table, sizeof (int), 64), ==, 0);
	first = handle_table_add (&table);
	*(int *) handle_table_get (&table, first) = 7;
	handle_table_remove (&table, first);
	second = handle_table_add (&table);
	g_assert_cmpuint (first, !=, second);
	g_assert_null (handle_table_get (&table, first));
	g_assert_cmpint (*(int *) handle_table_get (&table, second), ==, 0);
	handle_table_finish (&table);
}

static void
test_limit (void)
{
	struct handle_table table;
	uint32_t last = HANDLE_NONE;
	unsigned seen = 0;

	g_assert_cmpint (handle_table_init (&table, 1, 100), ==, 0);
	for (int i = 0; i < 100; i++)
		last = handle_table_add (&table);
	g_assert_cmpuint (last, !=, HANDLE_NONE);
	g_assert_cmpuint (handle_table_add (&table), ==, HANDLE_NONE);
	g_assert_cmpuint (handle_table_count (&table), ==, 100);
	for (uint32_t h = handle_table_next (&table, HANDLE_NONE); h; h = handle_table_next (&table, h))
		seen++;
	g_assert_cmpuint (seen, ==, 100);
	handle_table_finish (&table);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/handle_table/stale_handle", test_stale_handle);
	g_test_add_func ("/handle_table/limit", test_limit);
	return g_test_run ();
}
