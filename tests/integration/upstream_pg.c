/* Guards against an upstream driver that misinterprets an answer of the database group: an undecided
 * outcome, a refused write, a lost connection, a log position or a promised term. */
#include "database_group.h"

#include "common/clock.h"
#include "flamingospring/upstream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

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
set_fault (struct client *client, const char *fault, const char *value)
{
	g_assert_cmpint (run_statement (client, "SELECT standin_fault($1, $2)", fault, value), ==,
	                 UPSTREAM_OK);
}

static void
run_loop (int64_t duration_us)
{
	int64_t end_us = clock_now_us () + duration_us;

	while (clock_now_us () < end_us)
		loop_step (&loop, US_PER_MS);
}

/* Guards against the repetition of an answer being taken for the answer to the next statement, and
 * against a connection that stays in use after it. */
static void
test_repeated_answer (void)
{
	static const char *const delays_ms[] = { "0", "20" };
	static const char *const statements[] = { find, "BEGIN", "SELEKT" };
	struct client admin;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&admin, 0), ==, 0);
	g_assert_cmpint (run_statement (&admin, insert, "a", "1"), ==, UPSTREAM_OK);
	for (unsigned i = 0; i < G_N_ELEMENTS (delays_ms) * G_N_ELEMENTS (statements) * 2; i++)
	{
		const char *statement = statements[i % G_N_ELEMENTS (statements)];
		bool is_late = i / G_N_ELEMENTS (statements) % 2 == 1;
		bool is_polled = i / G_N_ELEMENTS (statements) / 2 == 1;
		const char *params[] = { "b" };
		struct client client;

		g_assert_cmpint (client_connect (&client, 0), ==, 0);
		set_fault (&admin, "repeat_ms", delays_ms[is_late]);
		set_fault (&admin, "repeat_answers", "1");
		g_assert_cmpint (
			run_statement (&client, statement, statement == find ? "a" : NULL, NULL), ==,
			i % G_N_ELEMENTS (statements) == 2 ? UPSTREAM_STATEMENT_ERROR : UPSTREAM_OK);
		/* Without the loop, only the next statement can notice the repetition. */
		if (is_polled)
			run_loop (50 * US_PER_MS);
		else
			g_usleep (50 * US_PER_MS);
		g_assert_true (client.is_closed || !is_polled);
		g_assert_cmpint (client.upstream.ops->execute (&client.upstream, find, params, 1), ==,
		                 -ENOTCONN);
		upstream_pg_finish (&client.upstream);
	}
	upstream_pg_finish (&admin.upstream);
	database_group_stop (&group);
}

/* Guards against a repeated answer that arrives while another statement runs: a read gets the rows of
 * another one, and a write is told as executed or refused by an earlier statement's answer. */
static void
test_repeated_answer_while_running (void)
{
	static const char *const statements[][2] = {
		{ find, insert },     { insert, find },   { find, NULL },     { find, find },
		{ "SELEKT", insert }, { insert, insert }, { "SELEKT", NULL },
	};
	struct client admin;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&admin, 0), ==, 0);
	g_assert_cmpint (run_statement (&admin, insert, "a", "1"), ==, UPSTREAM_OK);
	for (unsigned i = 0; i < G_N_ELEMENTS (statements); i++)
	{
		char key[] = { (char) ('b' + i), 0 };
		char other_key[] = { (char) ('B' + i), 0 };
		bool in_transaction = !statements[i][1];
		struct client client;

		g_assert_cmpint (client_connect (&client, 0), ==, 0);
		set_fault (&admin, "run_us", "100000");
		set_fault (&admin, "repeat_ms", "30");
		set_fault (&admin, "repeat_answers", "1");
		run_statement (&client, statements[i][0],
		               statements[i][0] == find || statements[i][0] == insert ? key : NULL,
		               statements[i][0] == insert ? "1" : NULL);
		if (in_transaction)
			client.result = commit (&client, insert, other_key, "1");
		else
			run_statement (&client, statements[i][1], statements[i][1] ? other_key : NULL,
			               statements[i][1] == insert ? "1" : NULL);
		g_assert_cmpint (client.result, ==, UPSTREAM_LOST);
		set_fault (&admin, "run_us", "500");
		upstream_pg_finish (&client.upstream);
	}
	upstream_pg_finish (&admin.upstream);
	database_group_stop (&group);
}

/* Guards against a connection whose setup was answered twice. */
static void
test_repeated_setup (void)
{
	struct client admin;
	struct client client;

	database_group_start (&group, "5", "16");
	g_assert_cmpint (client_connect (&admin, 0), ==, 0);
	set_fault (&admin, "repeat_answers", "1");
	g_assert_cmpint (client_connect (&client, 0), ==, 0);
	g_assert_cmpint (client.upstream.ops->query_status (&client.upstream), ==, -ENOTCONN);
	upstream_pg_finish (&client.upstream);
	upstream_pg_finish (&admin.upstream);
	database_group_stop (&group);
}

/* A server that sends the row of the marker and then the same bytes for each Sync. */
struct scripted_server
{
	struct loop_source listener;
	struct loop_source source;
	uint16_t port;
	bool is_started;
	const char *answer;
	size_t answer_length;
};

/* Answers the first Bind of a batch, which is that of the marker, with its parameter. */
static void
send_marker (int fd, const char *input, size_t length)
{
	static const char bind[] = "\0\0\0\0\0\1\0\0\0";
	static const char described[] =
		"1\0\0\0\x04"
		"2\0\0\0\x04"
		"T\0\0\0\x1a\0\1m\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0";
	static const char completed[] = "C\0\0\0\x0dSELECT 1\0";
	const char *at = memmem (input, length, bind, sizeof bind - 1);
	size_t value_length;
	char row[] = "D\0\0\0\0\0\1\0\0\0";

	g_assert_nonnull (at);
	at += sizeof bind - 1;
	value_length = (size_t) *at;
	row[4] = (char) (10 + value_length);
	send (fd, described, sizeof described - 1, MSG_NOSIGNAL);
	send (fd, row, sizeof row - 1, MSG_NOSIGNAL);
	send (fd, at, value_length + 1, MSG_NOSIGNAL);
	send (fd, completed, sizeof completed - 1, MSG_NOSIGNAL);
}

static void
handle_scripted_input (struct loop_source *source, uint32_t epoll_events)
{
	/* AuthenticationOk, ReadyForQuery in no transaction. */
	static const char setup[] = "R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
	static const char sync[] = "S\0\0\0\x04";
	struct scripted_server *server = source->data;
	char input[4096];
	ssize_t length = recv (source->fd, input, sizeof input, 0);

	(void) epoll_events;
	if (length <= 0)
	{
		loop_remove_source (&loop, source);
		close (source->fd);
		return;
	}
	if (!server->is_started)
		send (source->fd, setup, sizeof setup - 1, MSG_NOSIGNAL);
	else if (length >= 5 && memcmp (input + length - 5, sync, 5) == 0)
	{
		send_marker (source->fd, input, (size_t) length);
		send (source->fd, server->answer, server->answer_length, MSG_NOSIGNAL);
	}
	server->is_started = true;
}

static void
handle_scripted_accept (struct loop_source *source, uint32_t epoll_events)
{
	struct scripted_server *server = source->data;

	(void) epoll_events;
	server->source.fd = accept (source->fd, NULL, NULL);
	server->source.data = server;
	server->source.handle_ready = handle_scripted_input;
	loop_set_source (&loop, &server->source, EPOLLIN);
}

static void
scripted_server_start (struct scripted_server *server, const char *answer, size_t length)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof address;

	memset (server, 0, sizeof *server);
	address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	server->answer = answer;
	server->answer_length = length;
	server->listener.fd = socket (AF_INET, SOCK_STREAM, 0);
	server->listener.data = server;
	server->listener.handle_ready = handle_scripted_accept;
	g_assert_cmpint (bind (server->listener.fd, (struct sockaddr *) &address, size), ==, 0);
	g_assert_cmpint (listen (server->listener.fd, 1), ==, 0);
	getsockname (server->listener.fd, (struct sockaddr *) &address, &size);
	server->port = ntohs (address.sin_port);
	loop_set_source (&loop, &server->listener, EPOLLIN);
}

#define COMPLETED                                                                                  \
	"1\0\0\0\x04"                                                                                  \
	"2\0\0\0\x04"                                                                                  \
	"n\0\0\0\x04"                                                                                  \
	"C\0\0\0\x0fINSERT 0 1\0"
#define READY "Z\0\0\0\x05I"
#define ERROR "E\0\0\0\x1cSERROR\0VERROR\0C23505\0M\0\0"
#define ANSWER(text, result)                                                                       \
	{                                                                                              \
		text, sizeof text - 1, result                                                              \
	}

/* Guards against an answer to a write that cannot be its answer: such a write counts neither as
 * executed nor as refused. A COPY response must not stop the loop. */
static void
test_unexpected_answers (void)
{
	static const struct
	{
		const char *answer;
		size_t length;
		enum upstream_result result;
	} cases[] = {
		ANSWER (COMPLETED READY, UPSTREAM_OK),
		ANSWER ("S\0\0\0\x08"
		        "a\0b\0" COMPLETED "A\0\0\0\x0b\0\0\0\1c\0\0" READY,
		        UPSTREAM_OK),
		ANSWER ("1\0\0\0\x04" ERROR READY, UPSTREAM_DUPLICATE),
		ANSWER (COMPLETED ERROR READY, UPSTREAM_DUPLICATE),
		ANSWER (ERROR ERROR READY, UPSTREAM_LOST),
		ANSWER (ERROR COMPLETED READY, UPSTREAM_LOST),
		ANSWER (COMPLETED COMPLETED READY, UPSTREAM_LOST),
		ANSWER (COMPLETED "Z\0\0\0\x05T", UPSTREAM_LOST),
		ANSWER (READY, UPSTREAM_LOST),
		/* A row without its description, for which libpq makes up an error. */
		ANSWER ("1\0\0\0\x04"
		        "2\0\0\0\x04"
		        "D\0\0\0\x06\0\0" COMPLETED READY,
		        UPSTREAM_LOST),
		ANSWER ("1\0\0\0\x04"
		        "2\0\0\0\x04"
		        "I\0\0\0\x04" READY,
		        UPSTREAM_LOST),
		ANSWER ("1\0\0\0\x04"
		        "2\0\0\0\x04"
		        "G\0\0\0\x07\0\0\0" READY,
		        UPSTREAM_LOST),
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		struct scripted_server server;
		struct client client = { 0 };

		scripted_server_start (&server, cases[i].answer, cases[i].length);
		upstream_pg_init (&client.upstream, &loop, &user_ops, &client);
		client.upstream.ops->connect (&client.upstream, INADDR_LOOPBACK, server.port, "ledger");
		wait_event (&client);
		g_assert_cmpint (client.connect_error, ==, 0);
		g_test_message ("answer %zu", i);
		g_assert_cmpint (run_statement (&client, insert, "a", "1"), ==, cases[i].result);
		upstream_pg_finish (&client.upstream);
		run_loop (5 * US_PER_MS);
		loop_remove_source (&loop, &server.listener);
		close (server.listener.fd);
	}
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
	g_test_add_func ("/upstream_pg/repeated", test_repeated_answer);
	g_test_add_func ("/upstream_pg/repeated_setup", test_repeated_setup);
	g_test_add_func ("/upstream_pg/unexpected", test_unexpected_answers);
	g_test_add_func ("/upstream_pg/repeated_while_running", test_repeated_answer_while_running);
	result = g_test_run ();
	loop_finish (&loop);
	return result;
}
