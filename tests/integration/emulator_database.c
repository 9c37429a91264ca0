/* Tests the emulated database as the proxy uses it: separate processes, with libpq as the client. */
#include "common/clock.h"

#include <glib.h>
#include <libpq-fe.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
	SERVERS = 3,
	FIRST_PORT = 5432,
	FIRST_PEER_PORT = 5442,
	WAIT_LIMIT_US = 5 * US_PER_S,
};

struct fixture
{
	char *ip;
	GPid pids[SERVERS];
	char *peers;
	char *directory;
};

/** A loopback address used by this process only, since outgoing connections may take any port of 127.0.0.1. */
static char *
unique_loopback_address (void)
{
	pid_t pid = getpid ();

	return g_strdup_printf ("127.%d.%d.%d", 128 + (pid >> 16 & 63), pid >> 8 & 255, pid & 255);
}

/** Ends the server with the test's process, so that an aborted test leaves no server running. */
static void
handle_child_setup (void *data)
{
	prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
server_start (struct fixture *fixture, size_t index)
{
	char *address = g_strdup_printf ("%s:%zu", fixture->ip, FIRST_PORT + index);
	char *index_text = g_strdup_printf ("%zu", index);
	char *state = g_strdup_printf ("%s/%zu", fixture->directory, index);
	char *argv[] = { EMULATOR,        "database", "--address", address,    "--peers",
		             fixture->peers,  "--index",  index_text,  "--lag-ms", "20",
		             "--connections", "4",        "--run-us",  "1000",     "--state",
		             state,           NULL };
	GError *error = NULL;

	g_spawn_async (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, handle_child_setup, NULL,
	               &fixture->pids[index], &error);
	g_assert_no_error (error);
	g_free (address);
	g_free (index_text);
	g_free (state);
}

static void
server_kill (struct fixture *fixture, size_t index)
{
	kill (fixture->pids[index], SIGKILL);
	waitpid (fixture->pids[index], NULL, 0);
	fixture->pids[index] = 0;
}

static void
fixture_set_up (struct fixture *fixture, gconstpointer data)
{
	GString *peers = g_string_new ("");

	fixture->directory = g_dir_make_tmp ("emulator-XXXXXX", NULL);
	fixture->ip = unique_loopback_address ();
	for (size_t i = 0; i < SERVERS; i++)
		g_string_append_printf (peers, "%s%s:%zu", i ? "," : "", fixture->ip, FIRST_PEER_PORT + i);
	fixture->peers = g_string_free (peers, FALSE);
	for (size_t i = 0; i < SERVERS; i++)
		server_start (fixture, i);
}

static void
fixture_tear_down (struct fixture *fixture, gconstpointer data)
{
	for (size_t i = 0; i < SERVERS; i++)
	{
		char *state = g_strdup_printf ("%s/%zu", fixture->directory, i);

		if (fixture->pids[i])
			server_kill (fixture, i);
		unlink (state);
		g_free (state);
	}
	rmdir (fixture->directory);
	g_free (fixture->directory);
	g_free (fixture->peers);
	g_free (fixture->ip);
}

static PGconn *
server_try_connect (const struct fixture *fixture, size_t index)
{
	char *info = g_strdup_printf ("host=%s port=%zu dbname=ledger0 user=proxy sslmode=prefer "
	                              "gssencmode=disable connect_timeout=5",
	                              fixture->ip, FIRST_PORT + index);
	PGconn *connection = PQconnectdb (info);

	g_free (info);
	return connection;
}

/** Connects, with retries while the server starts. */
static PGconn *
server_connect (const struct fixture *fixture, size_t index)
{
	int64_t end_us = clock_now_us () + WAIT_LIMIT_US;
	PGconn *connection = server_try_connect (fixture, index);

	while (PQstatus (connection) != CONNECTION_OK && clock_now_us () < end_us)
	{
		PQfinish (connection);
		g_usleep (10 * US_PER_MS);
		connection = server_try_connect (fixture, index);
	}
	g_assert_cmpint (PQstatus (connection), ==, CONNECTION_OK);
	return connection;
}

/** Runs a statement and checks its SQLSTATE, "" for none. @return its first cell or "", for g_free(). */
static char *
run_statement (PGconn *connection, const char *sqlstate, const char *statement, const char *first,
               const char *second)
{
	const char *params[] = { first, second };
	int count = second ? 2 : first ? 1 : 0;
	PGresult *result = PQexecParams (connection, statement, count, NULL, params, NULL, NULL, 0);
	const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);
	char *cell = g_strdup (PQntuples (result) > 0 ? PQgetvalue (result, 0, 0) : "");

	g_assert_cmpstr (state ? state : "", ==, sqlstate);
	PQclear (result);
	return cell;
}

static void
expect (PGconn *connection, const char *expected, const char *statement, const char *first,
        const char *second)
{
	char *cell = run_statement (connection, "", statement, first, second);

	g_assert_cmpstr (cell, ==, expected);
	g_free (cell);
}

static void
expect_error (PGconn *connection, const char *sqlstate, const char *statement, const char *first,
              const char *second)
{
	g_free (run_statement (connection, sqlstate, statement, first, second));
}

static void
expect_eventually (PGconn *connection, const char *expected, const char *statement,
                   const char *first)
{
	int64_t end_us = clock_now_us () + WAIT_LIMIT_US;
	char *cell = run_statement (connection, "", statement, first, NULL);

	while (strcmp (cell, expected) != 0 && clock_now_us () < end_us)
	{
		g_free (cell);
		g_usleep (5 * US_PER_MS);
		cell = run_statement (connection, "", statement, first, NULL);
	}
	g_assert_cmpstr (cell, ==, expected);
	g_free (cell);
}

static const char insert_ledger[] = "INSERT INTO ledger (key, value) VALUES ($1, $2)";
static const char find_ledger[] = "SELECT value FROM ledger WHERE key = $1";
static const char add_ledger[] =
	"UPDATE ledger SET value = value + $2 WHERE key = $1 RETURNING value";
static const char insert_request[] =
	"INSERT INTO flamingospring_request (id, answer) VALUES ($1, $2)";
static const char status[] = "SELECT * FROM group_status()";
static const char fence[] = "SELECT * FROM group_fence($1, $2)";
static const char promote[] = "SELECT * FROM group_promote($1, $2)";
static const char fault[] = "SELECT standin_fault($1, $2)";

/* Guards against a wrong SQLSTATE or a missing log position, from which the proxy would derive a wrong outcome. */
static void
test_statements (struct fixture *fixture, gconstpointer data)
{
	PGconn *primary = server_connect (fixture, 0);
	PGconn *replica = server_connect (fixture, 1);

	expect (primary, "primary", status, NULL, NULL);
	expect (replica, "replica", status, NULL, NULL);
	expect (primary, "", insert_ledger, "a", "1");
	g_assert_cmpstr (PQparameterStatus (primary, "group_term"), ==, "1");
	g_assert_cmpstr (PQparameterStatus (primary, "group_position"), ==, "2");
	expect_error (primary, "23505", insert_ledger, "a", "2");
	expect (primary, "1", find_ledger, "a", NULL);
	expect (primary, "", find_ledger, "b", NULL);
	expect (primary, "5", add_ledger, "a", "4");
	expect (primary, "-2", add_ledger, "n", "-2");
	expect (primary, "2", "SELECT count(*) FROM ledger", NULL, NULL);
	expect (primary, "2", "SELECT report($1)", "20", NULL);
	expect_error (primary, "42601", "SELECT 1", NULL, NULL);
	expect_error (replica, "25006", insert_ledger, "c", "1");
	expect_eventually (replica, "5", find_ledger, "a");
	PQclear (PQexec (primary, "SELECT * FROM group_fence(1, 'vm1')"));
	g_assert_cmpstr (PQerrorMessage (primary), !=, "");
	PQfinish (primary);
	PQfinish (replica);
}

/* Guards against writes that are visible before COMMIT or survive ROLLBACK, and against two
 * transactions that insert the same request id. */
static void
test_transactions (struct fixture *fixture, gconstpointer data)
{
	PGconn *one = server_connect (fixture, 0);
	PGconn *two = server_connect (fixture, 0);
	const char *params[] = { "id", "second" };
	PGresult *result;

	expect (one, "", "BEGIN", NULL, NULL);
	expect (one, "", insert_request, "id", "first");
	expect (one, "", insert_ledger, "k", "1");
	expect (two, "", find_ledger, "k", NULL);
	g_assert_cmpint (PQsendQueryParams (two, insert_request, 2, NULL, params, NULL, NULL, 0), ==,
	                 1);
	g_usleep (50 * US_PER_MS);
	PQconsumeInput (two);
	g_assert_true (PQisBusy (two));
	expect (one, "", "COMMIT", NULL, NULL);
	g_assert_cmpstr (PQparameterStatus (one, "group_position"), ==, "2");
	result = PQgetResult (two);
	g_assert_cmpstr (PQresultErrorField (result, PG_DIAG_SQLSTATE), ==, "23505");
	PQclear (result);
	g_assert_null (PQgetResult (two));
	expect (two, "1", find_ledger, "k", NULL);
	expect (one, "", "BEGIN", NULL, NULL);
	expect (one, "", insert_ledger, "l", "1");
	expect_error (one, "23505", insert_ledger, "k", "1");
	expect_error (one, "25P02", find_ledger, "k", NULL);
	expect (one, "", "COMMIT", NULL, NULL);
	expect (one, "", find_ledger, "l", NULL);
	g_assert_cmpint (PQtransactionStatus (one), ==, PQTRANS_IDLE);
	PQfinish (one);
	PQfinish (two);
}

/* Guards against a server that admits more connections or statements than its limits allow. */
static void
test_limits (struct fixture *fixture, gconstpointer data)
{
	PGconn *connections[4];
	PGconn *excess;
	int64_t start_us;

	for (size_t i = 0; i < 4; i++)
		connections[i] = server_connect (fixture, 0);
	excess = server_try_connect (fixture, 0);
	g_assert_nonnull (strstr (PQerrorMessage (excess), "too many clients"));
	PQfinish (excess);
	start_us = clock_now_us ();
	for (size_t i = 0; i < 3; i++)
		PQsendQuery (connections[i], "SELECT report(200)");
	expect (connections[3], "primary", status, NULL, NULL);
	g_assert_cmpint (clock_now_us () - start_us, <, 150 * US_PER_MS);
	for (size_t i = 0; i < 3; i++)
		PQclear (PQgetResult (connections[i]));
	g_assert_cmpint (clock_now_us () - start_us, >=, 400 * US_PER_MS);
	for (size_t i = 0; i < 4; i++)
		PQfinish (connections[i]);
}

/* Guards against a term that is accepted twice, a promotion by another claimant, a replaced primary
 * that still accepts writes, and divergent log entries that are kept. */
static void
test_failover (struct fixture *fixture, gconstpointer data)
{
	PGconn *servers[SERVERS];

	for (size_t i = 0; i < SERVERS; i++)
		servers[i] = server_connect (fixture, i);
	expect (servers[0], "", insert_ledger, "kept", "1");
	expect_eventually (servers[1], "1", find_ledger, "kept");
	expect_eventually (servers[2], "1", find_ledger, "kept");
	expect (servers[0], "1", fault, "cut_replication", "1");
	expect (servers[0], "", insert_ledger, "dropped", "1");
	expect (servers[1], "replica", fence, "2", "vm1");
	expect_error (servers[1], "FS001", fence, "2", "vm1");
	expect (servers[2], "replica", fence, "2", "vm1");
	expect_error (servers[1], "FS001", promote, "2", "vm2");
	expect (servers[1], "primary", promote, "2", "vm1");
	expect (servers[1], "primary", promote, "2", "vm1");
	g_assert_cmpstr (PQparameterStatus (servers[1], "group_term"), ==, "2");
	g_assert_cmpstr (PQparameterStatus (servers[1], "group_position"), ==, "3");
	expect (servers[1], "", insert_ledger, "new", "1");
	expect_eventually (servers[2], "1", find_ledger, "new");
	expect (servers[0], "0", fault, "cut_replication", "0");
	expect_eventually (servers[0], "1", find_ledger, "new");
	expect (servers[0], "", find_ledger, "dropped", NULL);
	expect (servers[0], "replica", status, NULL, NULL);
	expect_error (servers[0], "25006", insert_ledger, "late", "1");
	expect_error (servers[2], "FS001", promote, "2", "vm1");
	for (size_t i = 0; i < SERVERS; i++)
		PQfinish (servers[i]);
}

/* Guards against a fenced primary that commits an open transaction. */
static void
test_fenced_commit (struct fixture *fixture, gconstpointer data)
{
	PGconn *primary = server_connect (fixture, 0);

	expect (primary, "", "BEGIN", NULL, NULL);
	expect (primary, "", insert_ledger, "k", "1");
	expect (primary, "replica", fence, "7", "vm1");
	expect_error (primary, "25006", "COMMIT", NULL, NULL);
	expect (primary, "", find_ledger, "k", NULL);
	expect (primary, "primary", promote, "7", "vm1");
	expect (primary, "", insert_ledger, "k", "1");
	PQfinish (primary);
}

/* Guards against a restarted server that has lost its log or its promised term. */
static void
test_restart (struct fixture *fixture, gconstpointer data)
{
	PGconn *servers[2] = { server_connect (fixture, 0), server_connect (fixture, 1) };

	expect (servers[0], "", insert_ledger, "k", "1");
	expect (servers[1], "replica", fence, "5", "vm1");
	for (size_t i = 0; i < 2; i++)
	{
		PQfinish (servers[i]);
		server_kill (fixture, i);
		server_start (fixture, i);
		servers[i] = server_connect (fixture, i);
	}
	expect (servers[0], "1", find_ledger, "k", NULL);
	expect_error (servers[1], "FS001", fence, "5", "vm2");
	expect (servers[1], "primary", promote, "5", "vm1");
	expect_eventually (servers[0], "replica", status, NULL);
	PQfinish (servers[0]);
	PQfinish (servers[1]);
}

/* Guards against a fault that drops an answer and also the effect of its statement: tests of the
 * proxy's replay by request id would then test nothing. */
static void
test_lost_answers (struct fixture *fixture, gconstpointer data)
{
	static const struct
	{
		const char *fault;
		const char *statements[3];
	} cases[] = {
		{ "drop_answers", { "INSERT INTO ledger (key, value) VALUES ('k0', '1')" } },
		{ "drop_commits",
		  { "BEGIN", "INSERT INTO ledger (key, value) VALUES ('k1', '1')", "COMMIT" } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		PGconn *connection = server_connect (fixture, 0);
		char key[] = { 'k', (char) ('0' + i), 0 };

		expect (connection, "1", fault, cases[i].fault, "1");
		for (size_t j = 0; j < 3 && cases[i].statements[j]; j++)
			PQclear (PQexec (connection, cases[i].statements[j]));
		g_assert_cmpint (PQstatus (connection), ==, CONNECTION_BAD);
		PQfinish (connection);
		connection = server_connect (fixture, 0);
		expect (connection, "1", find_ledger, key, NULL);
		PQfinish (connection);
	}
}

int
main (int argc, char **argv)
{
	static const struct
	{
		const char *path;
		void (*run) (struct fixture *fixture, gconstpointer data);
	} tests[] = {
		{ "/emulator_database/statements", test_statements },
		{ "/emulator_database/transactions", test_transactions },
		{ "/emulator_database/limits", test_limits },
		{ "/emulator_database/failover", test_failover },
		{ "/emulator_database/fenced_commit", test_fenced_commit },
		{ "/emulator_database/restart", test_restart },
		{ "/emulator_database/lost_answers", test_lost_answers },
	};

	g_test_init (&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
		g_test_add (tests[i].path, struct fixture, NULL, fixture_set_up, tests[i].run,
		            fixture_tear_down);
	return g_test_run ();
}
