/* Guards against statements that run in another transaction, transactions that keep a connection
 * forever or take the last one, and commits reported as done without a majority. */
#include "owner_world.h"

#include <stdlib.h>
#include <string.h>

static void
begin_transaction (struct world *world, struct caller *caller)
{
	caller_prepare (caller, "", 0, "");
	caller->args.operation = FS_OPERATION_BEGIN;
	caller->args.params.params_len = 0;
	caller_submit (world, caller);
	caller_wait (world, caller);
}

static void
prepare_operation (struct caller *caller, fs_operation operation, const char *call,
                   uint64_t transaction)
{
	caller_prepare (caller, call, 0, "");
	caller->args.operation = operation;
	caller->args.transaction = transaction;
	if (operation != FS_OPERATION_TRANSACTION_CALL)
		caller->args.params.params_len = 0;
}

static void
run_operation (struct world *world, struct caller *caller, fs_operation operation, const char *call,
               uint64_t transaction)
{
	prepare_operation (caller, operation, call, transaction);
	caller_submit (world, caller);
	caller_wait (world, caller);
}

static void
test_commit (void)
{
	struct world world;
	struct caller caller;
	uint64_t id;

	world_init (&world);
	begin_transaction (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	id = caller.transaction;
	g_assert_cmpuint (id, !=, 0);
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "find", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_cmpstr (caller.cell, ==, "x");
	g_assert_cmpuint (caller.transaction, ==, id);
	/* A call in a transaction needs no request id: the transaction is applied as a whole. */
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (world.applied, ==, 0);
	g_assert_cmpuint (caller.written.index, ==, 0);
	run_operation (&world, &caller, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (caller.written.index, ==, 11);
	g_assert_cmpuint (world.applied, ==, 1);
	run_operation (&world, &caller, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (caller.reason, ==, REASON_NO_TRANSACTION);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	world_finish (&world);
}

/* Checks that each connection ran either writes of a transaction or reads of single calls. */
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

/* Statements of a transaction run one after another on one connection, which runs nothing else. */
static void
test_isolation (void)
{
	struct world world;
	struct caller first;
	struct caller second;
	struct caller steps[6];
	struct caller singles[6];
	uint64_t ids[2];

	world_init (&world);
	begin_transaction (&world, &first);
	begin_transaction (&world, &second);
	ids[0] = first.transaction;
	ids[1] = second.transaction;
	g_assert_cmpuint (ids[0], !=, ids[1]);
	g_string_truncate (world.log, 0);
	for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
	{
		prepare_operation (&steps[i], FS_OPERATION_TRANSACTION_CALL, "add", ids[i % 2]);
		caller_submit (&world, &steps[i]);
		caller_prepare (&singles[i], "find", 0, "");
		caller_submit (&world, &singles[i]);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
	{
		caller_wait (&world, &steps[i]);
		caller_wait (&world, &singles[i]);
		g_assert_cmpint (steps[i].outcome, ==, OUTCOME_DONE);
		g_assert_cmpint (singles[i].outcome, ==, OUTCOME_DONE);
	}
	check_connections (world.log->str);
	g_assert_cmpuint (world.max_running, <=, 2);
	run_operation (&world, &first, FS_OPERATION_ROLLBACK, "", ids[0]);
	g_assert_cmpint (first.outcome, ==, OUTCOME_DONE);
	run_operation (&world, &second, FS_OPERATION_COMMIT, "", ids[1]);
	g_assert_cmpint (second.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (world.applied, ==, 3);
	world_finish (&world);
}

/* Guards against a late statement of an ended transaction that runs in a later one. Handles of the
 * table are reused, but the number next to the handle is not. */
static void
test_repeated_handle (void)
{
	struct world world;
	struct caller caller;
	uint64_t id;

	world_init (&world);
	begin_transaction (&world, &caller);
	id = caller.transaction;
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id ^ (uint64_t) 1 << 40);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (caller.reason, ==, REASON_NO_TRANSACTION);
	run_operation (&world, &caller, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_cmpuint (world.applied, ==, 0);
	world_finish (&world);
}

/* Guards against other work on a connection whose transaction was abandoned during a statement, or
 * whose rollback failed: that work would be part of the transaction. */
static void
check_abandoned (const char *prefix, enum fake_action action)
{
	struct world world;
	struct caller caller;
	uint64_t id;
	int abandoned_connection;

	world_init (&world);
	world_add_rule (&world, prefix, 1, action);
	begin_transaction (&world, &caller);
	id = caller.transaction;
	g_string_truncate (world.log, 0);
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
	abandoned_connection = atoi (world.log->str);
	run_operation (&world, &caller, FS_OPERATION_ROLLBACK, "", id);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	for (int i = 0; i < 4; i++)
	{
		g_string_truncate (world.log, 0);
		caller_run (&world, &caller, "find", 0, "");
		g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
		g_assert_cmpint (atoi (world.log->str), !=, abandoned_connection);
	}
	world_finish (&world);
}

static void
test_abandoned_transaction (void)
{
	check_abandoned ("WRITE", FAKE_HANG);
	check_abandoned ("ROLLBACK", FAKE_ERROR);
}

static void
test_limits (void)
{
	struct world world;
	struct caller open[3];
	struct caller caller;

	world_init (&world);
	/* Of 16 connections, this VM gets 5, of which 2 are reserved for single calls. */
	for (size_t i = 0; i < G_N_ELEMENTS (open); i++)
	{
		begin_transaction (&world, &open[i]);
		g_assert_cmpint (open[i].outcome, ==, OUTCOME_DONE);
	}
	begin_transaction (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_REFUSED);
	g_assert_cmpint (caller.reason, ==, REASON_QUEUE_FULL);
	caller_run (&world, &caller, "set", 0, "");
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	/* The idle limit of 100 ms rolls the open transactions back. */
	world_run (&world, 130 * US_PER_MS);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "find", open[0].transaction);
	g_assert_cmpint (caller.reason, ==, REASON_NO_TRANSACTION);
	g_assert_cmpuint (world.max_open, <=, 5);
	begin_transaction (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	/* A transaction in use ends at the total limit of 300 ms. */
	for (int64_t end_us = clock_now_us () + 250 * US_PER_MS; clock_now_us () < end_us;)
	{
		run_operation (&world, &open[0], FS_OPERATION_TRANSACTION_CALL, "find", caller.transaction);
		g_assert_cmpint (open[0].outcome, ==, OUTCOME_DONE);
		world_run (&world, 20 * US_PER_MS);
	}
	world_run (&world, 60 * US_PER_MS);
	run_operation (&world, &open[0], FS_OPERATION_TRANSACTION_CALL, "find", caller.transaction);
	g_assert_cmpint (open[0].reason, ==, REASON_NO_TRANSACTION);
	world_finish (&world);
}

static void
test_failed_statement (void)
{
	struct world world;
	struct caller caller;
	uint64_t id;

	world_init (&world);
	begin_transaction (&world, &caller);
	id = caller.transaction;
	world_add_rule (&world, "WRITE", 2, FAKE_ERROR);
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	run_operation (&world, &caller, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (caller.reason, ==, REASON_STATEMENT);
	g_assert_cmpuint (world.applied, ==, 0);
	world_finish (&world);
}

struct fault_case
{
	const char *prefix;
	enum fake_action action;
	int call_outcome;
	int commit_outcome;
	int commit_reason;
	unsigned applied;
};

static const struct fault_case fault_cases[] = {
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
	for (size_t i = 0; i < G_N_ELEMENTS (fault_cases); i++)
	{
		const struct fault_case *end = &fault_cases[i];
		struct world world;
		struct caller caller;
		uint64_t id;

		world_init (&world);
		world_add_rule (&world, end->prefix, 1, end->action);
		begin_transaction (&world, &caller);
		id = caller.transaction;
		run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
		g_assert_cmpint (caller.outcome, ==, end->call_outcome);
		run_operation (&world, &caller, FS_OPERATION_COMMIT, "", id);
		g_test_message ("%zu: %s %s", i, outcome_name ((enum outcome) caller.outcome),
		                reason_name ((enum reason) caller.reason));
		g_assert_cmpint (caller.outcome, ==, end->commit_outcome);
		g_assert_cmpint (caller.reason, ==, end->commit_reason);
		g_assert_cmpuint (world.applied, ==, end->applied);
		g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
		world_finish (&world);
	}
}

static void
commit_prepare (struct caller *caller, uint64_t transaction, const char *id)
{
	prepare_operation (caller, FS_OPERATION_COMMIT, "", transaction);
	caller->args.request_id = (char *) id;
}

static void
settle_prepare (struct caller *caller, unsigned server, uint64_t transaction, const char *id)
{
	prepare_operation (caller, FS_OPERATION_SETTLE, "", transaction);
	caller->args.request_id = (char *) id;
	caller->args.server = server;
}

static void
settle (struct world *world, struct caller *caller, uint64_t transaction, const char *id)
{
	settle_prepare (caller, 0, transaction, id);
	caller_submit (world, caller);
	caller_wait (world, caller);
}

/* Begins a transaction and runs one write. @return its handle. */
static uint64_t
begin_and_write (struct world *world)
{
	struct caller caller;
	uint64_t id;

	begin_transaction (world, &caller);
	id = caller.transaction;
	run_operation (world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	return id;
}

struct settle_case
{
	const char *prefix;
	enum fake_action action;
	int commit_outcome;
	int commit_reason;
	int settle_outcome;
	int settle_reason;
	unsigned applied;
};

static const struct settle_case settle_cases[] = {
	{ "NONE", 0, OUTCOME_DONE, REASON_NONE, OUTCOME_DONE, REASON_NONE, 1 },
	{ "INSERT", FAKE_LOSE_BEFORE, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, OUTCOME_REFUSED,
	  REASON_ROLLED_BACK, 0 },
	{ "INSERT", FAKE_LOSE_AFTER, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, OUTCOME_REFUSED,
	  REASON_ROLLED_BACK, 0 },
	{ "INSERT", FAKE_HANG, OUTCOME_UNKNOWN, REASON_DEADLINE, OUTCOME_REFUSED, REASON_ROLLED_BACK,
	  0 },
	{ "INSERT", FAKE_ERROR, OUTCOME_FAILED, REASON_STATEMENT, OUTCOME_REFUSED, REASON_ROLLED_BACK,
	  0 },
	{ "INSERT", FAKE_NOT_PRIMARY, OUTCOME_FAILED, REASON_NOT_PRIMARY, OUTCOME_REFUSED,
	  REASON_ROLLED_BACK, 0 },
	{ "COMMIT", FAKE_LOSE_BEFORE, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, OUTCOME_REFUSED,
	  REASON_ROLLED_BACK, 0 },
	{ "COMMIT", FAKE_LOSE_AFTER, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST, OUTCOME_DONE, REASON_NONE,
	  1 },
	{ "COMMIT", FAKE_HANG, OUTCOME_UNKNOWN, REASON_DEADLINE, OUTCOME_DONE, REASON_NONE, 1 },
	{ "COMMIT", FAKE_ERROR, OUTCOME_FAILED, REASON_STATEMENT, OUTCOME_REFUSED, REASON_ROLLED_BACK,
	  0 },
};

/* Guards against a SETTLE whose outcome differs from that of the commit with the lost answer. */
static void
test_settle (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (settle_cases); i++)
	{
		const struct settle_case *settled = &settle_cases[i];
		struct world world;
		struct caller caller;
		uint64_t id;

		world_init (&world);
		world_add_rule (&world, settled->prefix, 1, settled->action);
		id = begin_and_write (&world);
		commit_prepare (&caller, id, "commit-1");
		caller_submit (&world, &caller);
		caller_wait (&world, &caller);
		g_test_message ("%zu: %s %s", i, outcome_name ((enum outcome) caller.outcome),
		                reason_name ((enum reason) caller.reason));
		g_assert_cmpint (caller.outcome, ==, settled->commit_outcome);
		g_assert_cmpint (caller.reason, ==, settled->commit_reason);
		/* The second SETTLE finds what the first one stored. */
		for (unsigned again = 0; again < 2; again++)
		{
			settle (&world, &caller, id, "commit-1");
			g_assert_cmpint (caller.outcome, ==, settled->settle_outcome);
			g_assert_cmpint (caller.reason, ==, settled->settle_reason);
			g_assert_cmpint (caller.is_replay, ==, settled->settle_outcome == OUTCOME_DONE);
		}
		g_assert_cmpuint (world.applied, ==, settled->applied);
		g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
		world_finish (&world);
	}
}

/* Guards against a transaction that is settled as rolled back and commits later, since it is still
 * open at its owner. */
static void
test_settle_before_commit (void)
{
	struct world world;
	struct caller caller;
	uint64_t id;

	world_init (&world);
	id = begin_and_write (&world);
	settle (&world, &caller, id, "commit-1");
	g_assert_cmpint (caller.reason, ==, REASON_ROLLED_BACK);
	commit_prepare (&caller, id, "commit-1");
	caller_submit (&world, &caller);
	caller_wait (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (caller.reason, ==, REASON_NO_TRANSACTION);
	settle (&world, &caller, id, "commit-1");
	g_assert_cmpint (caller.reason, ==, REASON_ROLLED_BACK);
	g_assert_cmpuint (world.applied, ==, 0);
	world_finish (&world);
}

/* Concurrent SETTLE requests, during a commit or without one, get the same answer. */
static void
test_settle_together (void)
{
	struct world world;
	struct caller caller[4];
	uint64_t id;

	for (unsigned is_open = 0; is_open < 2; is_open++)
	{
		world_init (&world);
		id = begin_and_write (&world);
		if (is_open == 1)
			commit_prepare (&caller[0], id, "commit-1");
		else
			settle_prepare (&caller[0], 0, id, "commit-1");
		caller_submit (&world, &caller[0]);
		for (size_t i = 1; i < G_N_ELEMENTS (caller); i++)
		{
			settle_prepare (&caller[i], 0, id, "commit-1");
			caller_submit (&world, &caller[i]);
		}
		for (size_t i = 0; i < G_N_ELEMENTS (caller); i++)
		{
			caller_wait (&world, &caller[i]);
			g_assert_cmpint (caller[i].outcome, ==, is_open ? OUTCOME_DONE : OUTCOME_REFUSED);
		}
		g_assert_cmpuint (world.applied, ==, is_open);
		world_finish (&world);
	}
}

/* Guards against answers before a majority has the entry that they depend on: the commit, or the
 * mark that prevents it. */
static void
test_settle_majority (void)
{
	for (unsigned has_committed = 0; has_committed < 2; has_committed++)
	{
		struct world world;
		struct caller caller;
		uint64_t id;

		world_init (&world);
		id = begin_and_write (&world);
		if (has_committed)
			world_add_rule (&world, "COMMIT", 1, FAKE_LOSE_AFTER);
		for (unsigned i = 1; i < WORLD_SERVERS; i++)
			world.servers[i].applies_entries = false;
		if (has_committed)
		{
			commit_prepare (&caller, id, "commit-1");
			caller_submit (&world, &caller);
			caller_wait (&world, &caller);
		}
		settle (&world, &caller, id, "commit-1");
		g_assert_cmpint (caller.outcome, ==, OUTCOME_UNKNOWN);
		g_assert_cmpint (caller.reason, ==, REASON_NOT_ACKNOWLEDGED);
		world.servers[1].status.position = world.servers[0].status.position;
		settle (&world, &caller, id, "commit-1");
		g_assert_cmpint (caller.outcome, ==, has_committed ? OUTCOME_DONE : OUTCOME_REFUSED);
		world_finish (&world);
	}
}

/* Guards against an answer that belongs to another use of the same request id. */
static void
test_request_id_conflict (void)
{
	struct world world;
	struct caller caller;
	uint64_t first;
	uint64_t second;

	world_init (&world);
	first = begin_and_write (&world);
	settle (&world, &caller, first, "rolled-back");
	commit_prepare (&caller, first, "committed");
	caller_submit (&world, &caller);
	caller_wait (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	/* A single call does not take the mark of a settled transaction for its own first answer. */
	caller_run (&world, &caller, "add", 0, "rolled-back");
	g_assert_cmpint (caller.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (caller.reason, ==, REASON_BAD_REQUEST);
	caller_run (&world, &caller, "add", 0, "committed");
	g_assert_cmpint (caller.reason, ==, REASON_BAD_REQUEST);
	g_assert_cmpuint (world.applied, ==, 1);
	/* Neither does another transaction, nor SETTLE with the request id of a single call. */
	second = begin_and_write (&world);
	commit_prepare (&caller, second, "committed");
	caller_submit (&world, &caller);
	caller_wait (&world, &caller);
	g_assert_cmpint (caller.reason, ==, REASON_NO_TRANSACTION);
	settle (&world, &caller, second, "committed");
	g_assert_cmpint (caller.reason, ==, REASON_BAD_REQUEST);
	caller_run (&world, &caller, "add", 0, "single");
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	settle (&world, &caller, second, "single");
	g_assert_cmpint (caller.reason, ==, REASON_BAD_REQUEST);
	settle (&world, &caller, second, "");
	g_assert_cmpint (caller.reason, ==, REASON_BAD_REQUEST);
	g_assert_cmpuint (world.applied, ==, 2);
	world_finish (&world);
}

/* A SETTLE that cannot run says nothing about the commit: it ends as unknown, never as failed or
 * refused as rolled back. A server that is not the primary refuses it. */
static void
test_settle_faults (void)
{
	static const struct
	{
		const char *prefix;
		enum fake_action action;
		int outcome;
		int reason;
	} cases[] = {
		{ "BEGIN", FAKE_ERROR, OUTCOME_UNKNOWN, REASON_STATEMENT },
		{ "INSERT", FAKE_ERROR, OUTCOME_UNKNOWN, REASON_STATEMENT },
		{ "INSERT", FAKE_NOT_PRIMARY, OUTCOME_REFUSED, REASON_NOT_PRIMARY },
		{ "COMMIT", FAKE_ERROR, OUTCOME_UNKNOWN, REASON_STATEMENT },
		{ "INSERT", FAKE_CONFLICT, OUTCOME_REFUSED, REASON_ROLLED_BACK },
		{ "INSERT", FAKE_LOSE_AFTER, OUTCOME_REFUSED, REASON_ROLLED_BACK },
		{ "COMMIT", FAKE_LOSE_BEFORE, OUTCOME_REFUSED, REASON_ROLLED_BACK },
		{ "COMMIT", FAKE_LOSE_AFTER, OUTCOME_REFUSED, REASON_ROLLED_BACK },
		{ "COMMIT", FAKE_REPLACE, OUTCOME_UNKNOWN, REASON_NOT_ACKNOWLEDGED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		struct world world;
		struct caller caller;

		world_init (&world);
		world_add_rule (&world, cases[i].prefix, 1, cases[i].action);
		settle (&world, &caller, 1, "commit-1");
		g_test_message ("%zu: %s %s", i, outcome_name ((enum outcome) caller.outcome),
		                reason_name ((enum reason) caller.reason));
		g_assert_cmpint (caller.outcome, ==, cases[i].outcome);
		g_assert_cmpint (caller.reason, ==, cases[i].reason);
		world_finish (&world);
	}
}

/* Guards against a commit that needs one more round trip with a request id than without. */
static void
test_round_trips (void)
{
	unsigned trips[2];

	for (unsigned has_id = 0; has_id < 2; has_id++)
	{
		struct world world;
		struct caller caller;
		unsigned before;
		uint64_t id;

		world_init (&world);
		id = begin_and_write (&world);
		before = world.round_trips;
		commit_prepare (&caller, id, has_id ? "commit-1" : "");
		caller_submit (&world, &caller);
		caller_wait (&world, &caller);
		g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
		trips[has_id] = world.round_trips - before;
		world_finish (&world);
	}
	g_test_message ("round trips of a commit: %u without an id, %u with one", trips[0], trips[1]);
	g_assert_cmpuint (trips[0], ==, 1);
	g_assert_cmpuint (trips[1], ==, 1);
}

/* A commit with a request id of a read-only transaction gets the same answer each time. */
static void
test_settle_read_only (void)
{
	struct world world;
	struct caller caller;
	uint64_t id;

	world_init (&world);
	begin_transaction (&world, &caller);
	id = caller.transaction;
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "find", id);
	commit_prepare (&caller, id, "commit-1");
	caller_submit (&world, &caller);
	caller_wait (&world, &caller);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	settle (&world, &caller, id, "commit-1");
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	g_assert_true (caller.is_replay);
	world_finish (&world);
}

/* Statements that wait for a hanging statement are answered when the transaction ends. */
static void
test_queued_statements (void)
{
	struct world world;
	struct caller caller;
	struct caller waiting[20];
	unsigned refused = 0;
	uint64_t id;

	world_init (&world);
	world_add_rule (&world, "WRITE", 1, FAKE_HANG);
	begin_transaction (&world, &caller);
	id = caller.transaction;
	prepare_operation (&caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
	caller_submit (&world, &caller);
	for (size_t i = 0; i < G_N_ELEMENTS (waiting); i++)
	{
		prepare_operation (&waiting[i], FS_OPERATION_TRANSACTION_CALL, "find", id);
		caller_submit (&world, &waiting[i]);
	}
	owner_cancel (&world.set, &waiting[0].request);
	caller_wait (&world, &caller);
	g_assert_cmpint (caller.reason, ==, REASON_DEADLINE);
	g_assert_cmpuint (waiting[0].done, ==, 0);
	for (size_t i = 1; i < G_N_ELEMENTS (waiting); i++)
	{
		caller_wait (&world, &waiting[i]);
		refused += waiting[i].reason == REASON_QUEUE_FULL;
		if (waiting[i].reason != REASON_QUEUE_FULL)
			g_assert_cmpint (waiting[i].reason, ==, REASON_NO_TRANSACTION);
	}
	g_assert_cmpuint (refused, ==, 4);
	world_finish (&world);
}

/* After a cancelled BEGIN no transaction stays open, because nobody knows its handle. */
static void
test_cancelled_begin (void)
{
	struct world world;
	struct caller caller;

	world_init (&world);
	caller_prepare (&caller, "", 0, "");
	caller.args.operation = FS_OPERATION_BEGIN;
	caller.args.params.params_len = 0;
	world.delay_us = 20 * US_PER_MS;
	caller_submit (&world, &caller);
	world_run (&world, 10 * US_PER_MS);
	owner_cancel (&world.set, &caller.request);
	world_run (&world, 60 * US_PER_MS);
	g_assert_cmpuint (caller.done, ==, 0);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
	world_finish (&world);
}

/* An open transaction can still commit after the ownership moves and the server starts to leave. */
static void
test_ownership_moved (void)
{
	struct world world;
	struct caller caller;
	uint64_t id;

	world_init (&world);
	begin_transaction (&world, &caller);
	id = caller.transaction;
	world_publish (&world, 0, 1, WORLD_SELF + 1, true);
	g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 1);
	run_operation (&world, &caller, FS_OPERATION_TRANSACTION_CALL, "add", id);
	run_operation (&world, &caller, FS_OPERATION_COMMIT, "", id);
	g_assert_cmpint (caller.outcome, ==, OUTCOME_DONE);
	begin_transaction (&world, &caller);
	g_assert_cmpint (caller.reason, ==, REASON_NOT_OWNER);
	world_finish (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/owner_transaction/commit", test_commit);
	g_test_add_func ("/owner_transaction/isolation", test_isolation);
	g_test_add_func ("/owner_transaction/repeated_handle", test_repeated_handle);
	g_test_add_func ("/owner_transaction/given_up", test_abandoned_transaction);
	g_test_add_func ("/owner_transaction/limits", test_limits);
	g_test_add_func ("/owner_transaction/failed_statement", test_failed_statement);
	g_test_add_func ("/owner_transaction/faults", test_faults);
	g_test_add_func ("/owner_transaction/settle", test_settle);
	g_test_add_func ("/owner_transaction/settle_before_commit", test_settle_before_commit);
	g_test_add_func ("/owner_transaction/settle_together", test_settle_together);
	g_test_add_func ("/owner_transaction/settle_majority", test_settle_majority);
	g_test_add_func ("/owner_transaction/id_of_another", test_request_id_conflict);
	g_test_add_func ("/owner_transaction/settle_faults", test_settle_faults);
	g_test_add_func ("/owner_transaction/round_trips", test_round_trips);
	g_test_add_func ("/owner_transaction/settle_read_only", test_settle_read_only);
	g_test_add_func ("/owner_transaction/waiting", test_queued_statements);
	g_test_add_func ("/owner_transaction/cancelled_begin", test_cancelled_begin);
	g_test_add_func ("/owner_transaction/moved", test_ownership_moved);
	return g_test_run ();
}
