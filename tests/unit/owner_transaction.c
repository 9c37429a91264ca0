/* Guards against statements that reach another transaction, transactions that keep a connection for
 * ever or take the last one, and commits reported as done that no majority has. */
#include "owner_world.h"

#include <stdlib.h>
#include <string.h>

static void
begin (struct world *world, struct asked *asked)
{
	asked_prepare (asked, "", 0, "");
	asked->args.operation = FS_OPERATION_BEGIN;
	asked->args.params.params_len = 0;
	asked_submit (world, asked);
	asked_wait (world, asked);
}

static void
step_prepare (struct asked *asked, fs_operation operation, const char *call, uint64_t transaction)
{
	asked_prepare (asked, call, 0, "");
	asked->args.operation = operation;
	asked->args.transaction = transaction;
	if (operation != FS_OPERATION_TRANSACTION_CALL)
		asked->args.params.params_len = 0;
}

static void
step (struct world *world, struct asked *asked, fs_operation operation, const char *call,
      uint64_t transaction)
{
	step_prepare (asked, operation, call, transaction);
	asked_submit (world, asked);
	asked_wait (world, asked);
}

static void
test_commit (void)
{
	struct world world;
	struct asked asked;
	uint64_t id;

	world_start (&world);
	begin (&world, &asked);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	id = asked.transaction;
	g_assert_cmpuint (id, !=, 0);
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "find", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	g_assert_cmpstr (asked.cell, ==, "x");
	g_assert_cmpuint (asked.transaction, ==, id);
	/* Inside a transaction a call needs no request id: the transaction is applied as a whole. */
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (world.applied, ==, 0);
	g_assert_cmpuint (asked.written.index, ==, 0);
	step (&world, &asked, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (asked.written.index, ==, 11);
	g_assert_cmpuint (world.applied, ==, 1);
	step (&world, &asked, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (asked.reason, ==, REASON_NO_TRANSACTION);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	world_finish (&world);
}

/* Every connection carried either writes of a transaction or reads of single calls. */
static void
check_connections (const char *log)
{
	char **entries = g_strsplit (log, ";", -1);
	GHashTable *kinds = g_hash_table_new (g_int_hash, g_int_equal);
	int numbers[64];
	unsigned writers = 0;

	for (size_t i = 0; entries[i] && entries[i][0]; i++)
	{
		bool is_write = strstr (entries[i], ":WRITE") != NULL;
		gpointer known;

		g_assert_cmpuint (i, <, G_N_ELEMENTS (numbers));
		numbers[i] = atoi (entries[i]);
		known = g_hash_table_lookup (kinds, &numbers[i]);
		if (known)
			g_assert_cmpint (GPOINTER_TO_INT (known), ==, is_write ? 1 : 2);
		else
			writers += is_write;
		g_hash_table_insert (kinds, &numbers[i], GINT_TO_POINTER (is_write ? 1 : 2));
	}
	g_assert_cmpuint (writers, ==, 2);
	g_hash_table_unref (kinds);
	g_strfreev (entries);
}

/* All statements of a transaction use one connection, one after another, and no other work does. */
static void
test_isolation (void)
{
	struct world world;
	struct asked first;
	struct asked second;
	struct asked steps[6];
	struct asked singles[6];
	uint64_t ids[2];

	world_start (&world);
	begin (&world, &first);
	begin (&world, &second);
	ids[0] = first.transaction;
	ids[1] = second.transaction;
	g_assert_cmpuint (ids[0], !=, ids[1]);
	g_string_truncate (world.log, 0);
	for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
	{
		step_prepare (&steps[i], FS_OPERATION_TRANSACTION_CALL, "add", ids[i % 2]);
		asked_submit (&world, &steps[i]);
		asked_prepare (&singles[i], "find", 0, "");
		asked_submit (&world, &singles[i]);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
	{
		asked_wait (&world, &steps[i]);
		asked_wait (&world, &singles[i]);
		g_assert_cmpint (steps[i].outcome, ==, OUTCOME_DONE);
		g_assert_cmpint (singles[i].outcome, ==, OUTCOME_DONE);
	}
	check_connections (world.log->str);
	g_assert_cmpuint (world.most_running, <=, 2);
	step (&world, &first, FS_OPERATION_ROLLBACK, "", ids[0]);
	g_assert_cmpint (first.outcome, ==, OUTCOME_DONE);
	step (&world, &second, FS_OPERATION_COMMIT, "", ids[1]);
	g_assert_cmpint (second.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (world.applied, ==, 3);
	world_finish (&world);
}

/* Guards against a late statement of an ended transaction that reaches the next one with its handle:
 * the handles of the table repeat, and the number beside them does not. */
static void
test_repeated_handle (void)
{
	struct world world;
	struct asked asked;
	uint64_t id;

	world_start (&world);
	begin (&world, &asked);
	id = asked.transaction;
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id ^ (uint64_t) 1 << 40);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (asked.reason, ==, REASON_NO_TRANSACTION);
	step (&world, &asked, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (world.applied, ==, 0);
	world_finish (&world);
}

/* Guards against other work on a connection whose transaction was given up while its statement ran,
 * or was not rolled back: that work would be part of the transaction. */
static void
check_given_up (const char *prefix, enum fake_action action)
{
	struct world world;
	struct asked asked;
	uint64_t id;
	int given_up;

	world_start (&world);
	world_rule (&world, prefix, 1, action);
	begin (&world, &asked);
	id = asked.transaction;
	g_string_truncate (world.log, 0);
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
	given_up = atoi (world.log->str);
	step (&world, &asked, FS_OPERATION_ROLLBACK, "", id);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	for (int i = 0; i < 4; i++)
	{
		g_string_truncate (world.log, 0);
		asked_run (&world, &asked, "find", 0, "");
		g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
		g_assert_cmpint (atoi (world.log->str), !=, given_up);
	}
	world_finish (&world);
}

static void
test_given_up (void)
{
	check_given_up ("WRITE", FAKE_HANG);
	check_given_up ("ROLLBACK", FAKE_ERROR);
}

static void
test_limits (void)
{
	struct world world;
	struct asked open[3];
	struct asked asked;

	world_start (&world);
	/* 16 connections: 5 for this VM, 2 of them kept for single calls. */
	for (size_t i = 0; i < G_N_ELEMENTS (open); i++)
	{
		begin (&world, &open[i]);
		g_assert_cmpint (open[i].outcome, ==, OUTCOME_DONE);
	}
	begin (&world, &asked);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_REFUSED);
	g_assert_cmpint (asked.reason, ==, REASON_QUEUE_FULL);
	asked_run (&world, &asked, "set", 0, "");
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	/* The idle limit of 100 ms rolls them back. */
	world_run (&world, 130 * US_PER_MS);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "find", open[0].transaction);
	g_assert_cmpint (asked.reason, ==, REASON_NO_TRANSACTION);
	g_assert_cmpuint (world.highest, <=, 5);
	begin (&world, &asked);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	/* A busy transaction ends at the total limit of 300 ms. */
	for (int64_t end_us = clock_now_us () + 250 * US_PER_MS; clock_now_us () < end_us;)
	{
		step (&world, &open[0], FS_OPERATION_TRANSACTION_CALL, "find", asked.transaction);
		g_assert_cmpint (open[0].outcome, ==, OUTCOME_DONE);
		world_run (&world, 20 * US_PER_MS);
	}
	world_run (&world, 60 * US_PER_MS);
	step (&world, &open[0], FS_OPERATION_TRANSACTION_CALL, "find", asked.transaction);
	g_assert_cmpint (open[0].reason, ==, REASON_NO_TRANSACTION);
	world_finish (&world);
}

static void
test_failed_statement (void)
{
	struct world world;
	struct asked asked;
	uint64_t id;

	world_start (&world);
	begin (&world, &asked);
	id = asked.transaction;
	world_rule (&world, "WRITE", 2, FAKE_ERROR);
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_FAILED);
	step (&world, &asked, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (asked.reason, ==, REASON_STATEMENT);
	g_assert_cmpuint (world.applied, ==, 0);
	world_finish (&world);
}

struct end_case
{
	const char *prefix;
	enum fake_action action;
	int call_outcome;
	int commit_outcome;
	int commit_reason;
	unsigned applied;
};

static const struct end_case end_cases[] = {
	{ "WRITE", FAKE_LOSE_AFTER, OUTCOME_FAILED, OUTCOME_FAILED, REASON_NO_TRANSACTION, 0 },
	{ "WRITE", FAKE_HANG, OUTCOME_FAILED, OUTCOME_FAILED, REASON_NO_TRANSACTION, 0 },
	{ "WRITE", FAKE_NOT_PRIMARY, OUTCOME_REFUSED, OUTCOME_FAILED, REASON_STATEMENT, 0 },
	{ "COMMIT", FAKE_LOSE_AFTER, OUTCOME_DONE, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, 1 },
	{ "COMMIT", FAKE_HANG, OUTCOME_DONE, OUTCOME_UNKNOWN, REASON_DEADLINE, 1 },
	{ "COMMIT", FAKE_NOT_PRIMARY, OUTCOME_DONE, OUTCOME_FAILED, REASON_NOT_PRIMARY, 0 },
	{ "COMMIT", FAKE_REPLACE, OUTCOME_DONE, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED, 1 },
};

static void
test_faults (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (end_cases); i++)
	{
		const struct end_case *end = &end_cases[i];
		struct world world;
		struct asked asked;
		uint64_t id;

		world_start (&world);
		world_rule (&world, end->prefix, 1, end->action);
		begin (&world, &asked);
		id = asked.transaction;
		step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
		g_assert_cmpint (asked.outcome, ==, end->call_outcome);
		step (&world, &asked, FS_OPERATION_COMMIT, "", id);
		g_test_message ("%zu: %s %s", i, outcome_name ((enum outcome) asked.outcome),
		                reason_name ((enum reason) asked.reason));
		g_assert_cmpint (asked.outcome, ==, end->commit_outcome);
		g_assert_cmpint (asked.reason, ==, end->commit_reason);
		g_assert_cmpuint (world.applied, ==, end->applied);
		g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
		world_finish (&world);
	}
}

/* Statements that wait behind one that never ends are answered when the transaction ends. */
static void
test_waiting (void)
{
	struct world world;
	struct asked asked;
	struct asked waiting[20];
	unsigned refused = 0;
	uint64_t id;

	world_start (&world);
	world_rule (&world, "WRITE", 1, FAKE_HANG);
	begin (&world, &asked);
	id = asked.transaction;
	step_prepare (&asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
	asked_submit (&world, &asked);
	for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++)
	{
		step_prepare (&waiting[i], FS_OPERATION_TRANSACTION_CALL, "find", id);
		asked_submit (&world, &waiting[i]);
	}
	owner_cancel (&world.set, &waiting[0].request);
	asked_wait (&world, &asked);
	g_assert_cmpint (asked.reason, ==, REASON_DEADLINE);
	g_assert_cmpuint (waiting[0].done, ==, 0);
	for (size_t i = 1; i < G_N_ELEMENTS (waiting); i++)
	{
		asked_wait (&world, &waiting[i]);
		refused += waiting[i].reason == REASON_QUEUE_FULL;
		if (waiting[i].reason != REASON_QUEUE_FULL)
			g_assert_cmpint (waiting[i].reason, ==, REASON_NO_TRANSACTION);
	}
	g_assert_cmpuint (refused, ==, 4);
	world_finish (&world);
}

/* The caller of BEGIN went away: nobody knows the handle, so nothing may stay open. */
static void
test_cancelled_begin (void)
{
	struct world world;
	struct asked asked;

	world_start (&world);
	asked_prepare (&asked, "", 0, "");
	asked.args.operation = FS_OPERATION_BEGIN;
	asked.args.params.params_len = 0;
	world.delay_us = 20 * US_PER_MS;
	asked_submit (&world, &asked);
	world_run (&world, 10 * US_PER_MS);
	owner_cancel (&world.set, &asked.request);
	world_run (&world, 60 * US_PER_MS);
	g_assert_cmpuint (asked.done, ==, 0);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	world_finish (&world);
}

/* Ownership moves and the server leaves, and the open transaction still commits. */
static void
test_moved (void)
{
	struct world world;
	struct asked asked;
	uint64_t id;

	world_start (&world);
	begin (&world, &asked);
	id = asked.transaction;
	world_publish (&world, 0, 1, WORLD_SELF + 1, true);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 1);
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
	step (&world, &asked, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	begin (&world, &asked);
	g_assert_cmpint (asked.reason, ==, REASON_NOT_OWNER);
	world_finish (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/owner_transaction/commit", test_commit);
	g_test_add_func ("/owner_transaction/isolation", test_isolation);
	g_test_add_func ("/owner_transaction/repeated_handle", test_repeated_handle);
	g_test_add_func ("/owner_transaction/given_up", test_given_up);
	g_test_add_func ("/owner_transaction/limits", test_limits);
	g_test_add_func ("/owner_transaction/failed_statement", test_failed_statement);
	g_test_add_func ("/owner_transaction/faults", test_faults);
	g_test_add_func ("/owner_transaction/waiting", test_waiting);
	g_test_add_func ("/owner_transaction/cancelled_begin", test_cancelled_begin);
	g_test_add_func ("/owner_transaction/moved", test_moved);
	return g_test_run ();
}
