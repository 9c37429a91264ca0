/* Guards against an upstream driver that misinterprets an answer of the database group: an undecided
 * outcome, a refused write, a lost connection, a log position or a promised term. */
#include "database_group.h"

#include "common/clock.h"
#include "flamingospring/upstream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

enum
{
	WAIT_LIMIT_US = 5 * US_PER_S,
};

/* A connection and its last event. */
struct client
{
	struct upstream upstream;
	bool has_event;
	bool is_closed;
	int connect_error;
	enum upstream_result result;
	struct server_status status;
	bool has_status;
	size_t statement; /* Index of the answered statement in its batch. */
	char sqlstate[6];
	char cell[64];
	bool is_null;
	size_t rows;
};

static struct loop loop;
static struct database_group group;

static void
handle_connected (struct upstream *upstream, int error)
{
	struct client *client = upstream->data;

	client->connect_error = error;
	client->has_event = true;
}

static void
handle_answer (struct upstream *upstream, const struct upstream_answer *answer)
{
	struct client *client = upstream->data;

	g_assert_false (upstream->is_busy);
	client->result = answer->result;
	client->status = answer->status;
	client->has_status = answer->has_status;
	client->statement = answer->statement;
	client->rows = answer->row_count;
	g_strlcpy (client->sqlstate, answer->sqlstate, sizeof client->sqlstate);
	client->cell[0] = 0;
	client->is_null = answer->row_count > 0 && !answer->cells[0];
	if (answer->row_count > 0 && answer->cells[0])
		g_strlcpy (client->cell, answer->cells[0], sizeof client->cell);
	client->has_event = true;
}

static void
handle_closed (struct upstream *upstream)
{
	struct client *client = upstream->data;

	client->is_closed = true;
	client->has_event = true;
}

static const struct upstream_user_ops user_ops = {
	.handle_connected = handle_connected,
	.handle_answer = handle_answer,
	.handle_closed = handle_closed,
};

static void
wait_event (struct client *client)
{
	int64_t end_us = clock_now_us () + WAIT_LIMIT_US;

	while (!client->has_event && clock_now_us () < end_us)
		loop_step (&loop, US_PER_MS);
	g_assert_true (client->has_event);
	client->has_event = false;
}

static int
client_connect (struct client *client, unsigned server)
{
	memset (client, 0, sizeof *client);
	upstream_pg_init (&client->upstream, &loop, &user_ops, client);
	g_assert_cmpint (client->upstream.ops->connect (&client->upstream, INADDR_LOOPBACK,
	                                                group.ports[server], "ledger"),
	                 ==, 0);
	wait_event (client);
	return client->connect_error;
}

static enum upstream_result
run_statement (struct client *client, const char *statement, const char *first, const char *second)
{
	const char *params[] = { first, second };
	size_t count = second ? 2 : first ? 1 : 0;

	g_assert_cmpint (client->upstream.ops->execute (&client->upstream, statement, params, count),
	                 ==, 0);
	g_assert_cmpint (client->upstream.ops->execute (&client->upstream, statement, params, count),
	                 ==, -EBUSY);
	wait_event (client);
	return client->result;
}

static const char insert[] = "INSERT INTO ledger (key, value) VALUES ($1, $2)";
static const char find[] = "SELECT value FROM ledger WHERE key = $1";

static void
test_answers (void)
{
	struct client primary;
	struct client replica;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&primary, 0), ==, 0);
	g_assert_cmpint (client_connect (&replica, 1), ==, 0);
	g_assert_cmpint (run_statement (&primary, insert, "a", "1"), ==, UPSTREAM_OK);
	g_assert_true (primary.has_status);
	g_assert_cmpuint (primary.status.position.term, ==, 1);
	g_assert_cmpuint (primary.status.position.index, >, 0);
	g_assert_cmpint (run_statement (&primary, find, "a", NULL), ==, UPSTREAM_OK);
	g_assert_cmpstr (primary.cell, ==, "1");
	g_assert_cmpint (run_statement (&primary, find, "b", NULL), ==, UPSTREAM_OK);
	g_assert_cmpuint (primary.rows, ==, 0);
	g_assert_cmpint (run_statement (&primary, insert, "a", "1"), ==, UPSTREAM_DUPLICATE);
	g_assert_cmpstr (primary.sqlstate, ==, "23505");
	g_assert_cmpint (run_statement (&primary, "SELEKT", NULL, NULL), ==, UPSTREAM_STATEMENT_ERROR);
	g_assert_cmpint (run_statement (&replica, insert, "b", "1"), ==, UPSTREAM_NOT_PRIMARY);
	/* A failed statement aborts the transaction, so that COMMIT rolls it back. */
	g_assert_cmpint (run_statement (&primary, "BEGIN", NULL, NULL), ==, UPSTREAM_OK);
	g_assert_cmpint (run_statement (&primary, insert, "a", "1"), ==, UPSTREAM_DUPLICATE);
	g_assert_cmpint (run_statement (&primary, "COMMIT", NULL, NULL), ==, UPSTREAM_STATEMENT_ERROR);
	primary.upstream.ops->query_status (&primary.upstream);
	wait_event (&primary);
	g_assert_true (primary.has_status && primary.status.is_primary);
	g_assert_cmpuint (primary.status.promised_term, ==, 1);
	replica.upstream.ops->query_status (&replica.upstream);
	wait_event (&replica);
	g_assert_true (replica.has_status && !replica.status.is_primary);
	upstream_pg_finish (&primary.upstream);
	upstream_pg_finish (&replica.upstream);
	database_group_stop (&group);
}

static void
test_promotion (void)
{
	struct client clients[GROUP_SERVERS];

	database_group_start (&group, "5", "16");
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
		g_assert_cmpint (client_connect (&clients[i], i), ==, 0);
	for (unsigned i = 1; i < GROUP_SERVERS; i++)
	{
		clients[i].upstream.ops->fence (&clients[i].upstream, 2, 7);
		wait_event (&clients[i]);
		g_assert_cmpint (clients[i].result, ==, UPSTREAM_OK);
		g_assert_cmpuint (clients[i].status.promised_term, ==, 2);
	}
	clients[1].upstream.ops->fence (&clients[1].upstream, 2, 8);
	wait_event (&clients[1]);
	g_assert_cmpint (clients[1].result, ==, UPSTREAM_TERM_REJECTED);
	clients[1].upstream.ops->promote (&clients[1].upstream, 2, 8);
	wait_event (&clients[1]);
	g_assert_cmpint (clients[1].result, ==, UPSTREAM_TERM_REJECTED);
	clients[1].upstream.ops->promote (&clients[1].upstream, 2, 7);
	wait_event (&clients[1]);
	g_assert_cmpint (clients[1].result, ==, UPSTREAM_OK);
	g_assert_true (clients[1].status.is_primary);
	g_assert_cmpuint (clients[1].status.position.term, ==, 2);
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
		upstream_pg_finish (&clients[i].upstream);
	database_group_stop (&group);
}

static void
test_connection_lost (void)
{
	struct client busy;
	struct client idle;
	struct client after;
	const char *params[] = { "1000" };

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&busy, 0), ==, 0);
	g_assert_cmpint (client_connect (&idle, 0), ==, 0);
	busy.upstream.ops->execute (&busy.upstream, "SELECT report($1)", params, 1);
	for (int i = 0; i < 20; i++)
		loop_step (&loop, US_PER_MS);
	database_group_kill (&group, 0);
	wait_event (&busy);
	g_assert_cmpint (busy.result, ==, UPSTREAM_LOST);
	g_assert_false (busy.is_closed);
	wait_event (&idle);
	g_assert_true (idle.is_closed);
	g_assert_cmpint (idle.upstream.ops->execute (&idle.upstream, find, params, 1), ==, -ENOTCONN);
	g_assert_cmpint (client_connect (&after, 0), ==, -ECONNREFUSED);
	/* A closed connection can connect again. */
	g_assert_cmpint (
		idle.upstream.ops->connect (&idle.upstream, INADDR_LOOPBACK, group.ports[1], "ledger"), ==,
		0);
	wait_event (&idle);
	g_assert_cmpint (idle.connect_error, ==, 0);
	g_assert_cmpint (run_statement (&idle, find, "a", NULL), ==, UPSTREAM_OK);
	upstream_pg_finish (&busy.upstream);
	upstream_pg_finish (&idle.upstream);
	upstream_pg_finish (&after.upstream);
	database_group_stop (&group);
}

static void
test_lost_commit (void)
{
	struct client client;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&client, 0), ==, 0);
	g_assert_cmpint (run_statement (&client, "SELECT standin_fault($1, $2)", "drop_commits", "1"),
	                 ==, UPSTREAM_OK);
	g_assert_cmpint (run_statement (&client, "BEGIN", NULL, NULL), ==, UPSTREAM_OK);
	g_assert_cmpint (run_statement (&client, insert, "a", "1"), ==, UPSTREAM_OK);
	g_assert_cmpint (run_statement (&client, "COMMIT", NULL, NULL), ==, UPSTREAM_LOST);
	upstream_pg_finish (&client.upstream);
	database_group_stop (&group);
}

static enum upstream_result
commit (struct client *client, const char *statement, const char *first, const char *second)
{
	const char *params[] = { first, second };

	const struct upstream_statement statements[] = { { statement, params, 2 },
		                                             { "COMMIT", NULL, 0 } };

	g_assert_cmpint (client->upstream.ops->execute_batch (&client->upstream, statements, 2), ==, 0);
	wait_event (client);
	return client->result;
}

/* Guards against mistaking the result of a statement for that of the COMMIT sent with it: after an
 * error of the statement nothing may be committed, and the connection must execute the next one. */
static void
test_commit (void)
{
	struct client client;
	struct client other;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&client, 0), ==, 0);
	g_assert_cmpint (client_connect (&other, 0), ==, 0);
	run_statement (&client, "BEGIN", NULL, NULL);
	g_assert_cmpint (run_statement (&client, insert, "a", "1"), ==, UPSTREAM_OK);
	g_assert_cmpint (commit (&client, insert, "b", "2"), ==, UPSTREAM_OK);
	g_assert_true (client.has_status);
	g_assert_cmpuint (client.status.position.index, ==, 2);
	g_assert_cmpint (run_statement (&other, find, "a", NULL), ==, UPSTREAM_OK);
	g_assert_cmpstr (other.cell, ==, "1");

	run_statement (&client, "BEGIN", NULL, NULL);
	g_assert_cmpint (run_statement (&client, insert, "c", "1"), ==, UPSTREAM_OK);
	g_assert_cmpint (commit (&client, insert, "b", "2"), ==, UPSTREAM_DUPLICATE);
	g_assert_cmpuint (client.statement, ==, 0);
	g_assert_cmpint (run_statement (&client, "ROLLBACK", NULL, NULL), ==, UPSTREAM_OK);
	g_assert_cmpint (run_statement (&client, find, "c", NULL), ==, UPSTREAM_OK);
	g_assert_cmpuint (client.rows, ==, 0);

	g_assert_cmpint (run_statement (&other, "SELECT standin_fault($1, $2)", "drop_commits", "1"),
	                 ==, UPSTREAM_OK);
	run_statement (&client, "BEGIN", NULL, NULL);
	g_assert_cmpint (commit (&client, insert, "d", "1"), ==, UPSTREAM_LOST);
	g_assert_cmpint (run_statement (&other, find, "d", NULL), ==, UPSTREAM_OK);
	g_assert_cmpstr (other.cell, ==, "1");
	upstream_pg_finish (&client.upstream);
	upstream_pg_finish (&other.upstream);
	database_group_stop (&group);
}

/* Guards against a statement that is executed although the insert of its request id failed, and
 * against answers of a batch that are assigned to the wrong statement. */
static void
test_batch (void)
{
	static const char insert_id[] =
		"INSERT INTO flamingospring_request (id, answer) VALUES ($1, $2)";
	const char *id[] = { "id", "" };
	const char *add[] = { "sum", "1" };
	const struct upstream_statement statements[] = {
		{ "BEGIN", NULL, 0 },
		{ insert_id, id, 2 },
		{ "UPDATE ledger SET value = value + $2 WHERE key = $1 RETURNING value", add, 2 },
	};
	struct client client;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&client, 0), ==, 0);
	for (unsigned i = 0; i < 2; i++)
	{
		bool is_taken = i == 1;

		g_assert_cmpint (client.upstream.ops->execute_batch (&client.upstream, statements, 3), ==,
		                 0);
		wait_event (&client);
		g_assert_cmpint (client.result, ==, is_taken ? UPSTREAM_DUPLICATE : UPSTREAM_OK);
		g_assert_cmpuint (client.statement, ==, is_taken ? 1 : 2);
		if (!is_taken)
			g_assert_cmpstr (client.cell, ==, "1");
		g_assert_cmpint (run_statement (&client, is_taken ? "ROLLBACK" : "COMMIT", NULL, NULL), ==,
		                 UPSTREAM_OK);
	}
	g_assert_cmpint (run_statement (&client, find, "sum", NULL), ==, UPSTREAM_OK);
	g_assert_cmpstr (client.cell, ==, "1");
	upstream_pg_finish (&client.upstream);
	database_group_stop (&group);
}

/* Guards against an emulated database that is more lenient than PostgreSQL: the insert of an id that
 * an open transaction has inserted must wait for that transaction, fail as a duplicate after its
 * commit, and succeed after its rollback. */
static void
test_duplicate_waits_for_transaction (void)
{
	static const char insert_id[] =
		"INSERT INTO flamingospring_request (id, answer) VALUES ($1, $2)";
	static const char *const ends[] = { "COMMIT", "ROLLBACK" };
	const char *params[] = { "id", "" };
	struct client holder;
	struct client waiter;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&holder, 0), ==, 0);
	g_assert_cmpint (client_connect (&waiter, 0), ==, 0);
	for (unsigned i = 0; i < G_N_ELEMENTS (ends); i++)
	{
		params[0] = ends[i];
		run_statement (&holder, "BEGIN", NULL, NULL);
		g_assert_cmpint (run_statement (&holder, insert_id, params[0], ""), ==, UPSTREAM_OK);
		waiter.upstream.ops->execute (&waiter.upstream, insert_id, params, 2);
		for (int64_t end_us = clock_now_us () + 200 * US_PER_MS; clock_now_us () < end_us;)
			loop_step (&loop, US_PER_MS);
		g_assert_false (waiter.has_event);
		g_assert_cmpint (run_statement (&holder, ends[i], NULL, NULL), ==, UPSTREAM_OK);
		wait_event (&waiter);
		g_assert_cmpint (waiter.result, ==, i == 0 ? UPSTREAM_DUPLICATE : UPSTREAM_OK);
	}
	upstream_pg_finish (&holder.upstream);
	upstream_pg_finish (&waiter.upstream);
	database_group_stop (&group);
}

static void
test_connection_limit (void)
{
	struct client clients[3];

	database_group_start (&group, "5", "2");
	g_assert_cmpint (client_connect (&clients[0], 0), ==, 0);
	g_assert_cmpint (client_connect (&clients[1], 0), ==, 0);
	g_assert_cmpint (client_connect (&clients[2], 0), ==, -EUSERS);
	for (size_t i = 0; i < G_N_ELEMENTS (clients); i++)
		upstream_pg_finish (&clients[i].upstream);
	database_group_stop (&group);
}

/* The value is larger than any socket buffer, so that sending and receiving take several iterations
 * of the event loop. */
static void
test_large_value (void)
{
	struct client client;
	char *text = g_strnfill (4 * 1024 * 1024, 'x');

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&client, 0), ==, 0);
	g_assert_cmpint (run_statement (&client, insert, "a", text), ==, UPSTREAM_OK);
	g_assert_cmpint (run_statement (&client, find, "a", NULL), ==, UPSTREAM_OK);
	g_assert_cmpuint (client.rows, ==, 1);
	upstream_pg_finish (&client.upstream);
	database_group_stop (&group);
	g_free (text);
}

int
main (int argc, char **argv)
{
	int result;

	g_test_init (&argc, &argv, NULL);
	loop_init (&loop);
	g_test_add_func ("/upstream_pg/answers", test_answers);
	g_test_add_func ("/upstream_pg/promotion", test_promotion);
	g_test_add_func ("/upstream_pg/lost", test_connection_lost);
	g_test_add_func ("/upstream_pg/lost_commit", test_lost_commit);
	g_test_add_func ("/upstream_pg/commit", test_commit);
	g_test_add_func ("/upstream_pg/batch", test_batch);
	g_test_add_func ("/upstream_pg/duplicate_waits", test_duplicate_waits_for_transaction);
	g_test_add_func ("/upstream_pg/connection_limit", test_connection_limit);
	g_test_add_func ("/upstream_pg/large", test_large_value);
	result = g_test_run ();
	loop_finish (&loop);
	return result;
}
