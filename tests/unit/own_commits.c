#include "decision/own_commits.h"

#include <glib.h>

/* Guards against a position of one log that stands for another one, whose record may have the same number. */
static void
test_logs_are_kept_apart (void)
{
	struct own_commits commits = { 0 };
	struct own_commits_bound bound;

	own_commits_add (&commits, &(struct own_commit){ 1, 7, { 3, 100 }, 10 });
	own_commits_add (&commits, &(struct own_commit){ 2, 7, { 9, 5 }, 20 });
	bound = own_commits_find (&commits, 1, 7, 0);
	g_assert_cmpuint (bound.position.term, ==, 3);
	g_assert_cmpuint (bound.position.index, ==, 100);
	bound = own_commits_find (&commits, 2, 7, 0);
	g_assert_cmpuint (bound.position.term, ==, 9);
	bound = own_commits_find (&commits, 3, 7, 0);
	g_assert_cmpuint (bound.position.term, ==, 0);
	g_assert_cmpint (bound.since_us, ==, 0);
	own_commits_add (&commits, &(struct own_commit){ 1, 7, { 3, 101 }, 30 });
	g_assert_cmpuint (commits.count, ==, 2);
	g_assert_cmpuint (own_commits_find (&commits, 1, 7, 0).position.index, ==, 101);
}

/* Guards against a commit that no longer counts because its position is of an earlier record, or was not given. */
static void
test_commits_without_position (void)
{
	struct own_commits commits = { 0 };

	own_commits_add (&commits, &(struct own_commit){ 1, 7, { 3, 100 }, 10 });
	g_assert_cmpint (own_commits_find (&commits, 1, 8, 50).since_us, ==, 50);
	g_assert_cmpuint (own_commits_find (&commits, 1, 8, 50).position.term, ==, 0);
	own_commits_add (&commits, &(struct own_commit){ 1, 8, { 0, 0 }, 60 });
	g_assert_cmpint (own_commits_find (&commits, 1, 8, 50).since_us, ==, 60);
}

/* Guards against a commit that is forgotten: a session may commit in more logs than have a place. */
static void
test_more_logs_than_places (void)
{
	struct own_commits commits = { 0 };

	for (uint32_t log = 1; log <= OWN_COMMITS_LOGS + 2; log++)
		own_commits_add (&commits, &(struct own_commit){ log, 7, { 3, log }, log * 10 });
	g_assert_cmpint (own_commits_find (&commits, 1, 7, 0).since_us, ==, 20);
	g_assert_cmpint (own_commits_find (&commits, 2, 7, 0).since_us, ==, 20);
	for (uint32_t log = 3; log <= OWN_COMMITS_LOGS + 2; log++)
		g_assert_cmpuint (own_commits_find (&commits, log, 7, 0).position.index, ==, log);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/own_commits/logs", test_logs_are_kept_apart);
	g_test_add_func ("/own_commits/no_position", test_commits_without_position);
	g_test_add_func ("/own_commits/many_logs", test_more_logs_than_places);
	return g_test_run ();
}
