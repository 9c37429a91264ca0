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

static void
commit_prepare (struct asked *asked, uint64_t transaction, const char *id)
{
	step_prepare (asked, FS_OPERATION_COMMIT, "", transaction);
	asked->args.request_id = (char *) id;
}

static void
settle_prepare (struct asked *asked, unsigned server, uint64_t transaction, const char *id)
{
	step_prepare (asked, FS_OPERATION_SETTLE, "", transaction);
	asked->args.request_id = (char *) id;
	asked->args.server = server;
}

static void
settle (struct world *world, struct asked *asked, uint64_t transaction, const char *id)
{
	settle_prepare (asked, 0, transaction, id);
	asked_submit (world, asked);
	asked_wait (world, asked);
}

/* @return the handle of a transaction with one write. */
static uint64_t
begin_and_write (struct world *world)
{
	struct asked asked;
	uint64_t id;

	begin (world, &asked);
	id = asked.transaction;
	step (world, &asked, FS_OPERATION_TRANSACTION_CALL, "add", id);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
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

/* Guards against a commit whose answer is lost and that is settled otherwise than it ended. */
static void
test_settle (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (settle_cases); i++)
	{
		const struct settle_case *settled = &settle_cases[i];
		struct world world;
		struct asked asked;
		uint64_t id;

		world_start (&world);
		world_rule (&world, settled->prefix, 1, settled->action);
		id = begin_and_write (&world);
		commit_prepare (&asked, id, "commit-1");
		asked_submit (&world, &asked);
		asked_wait (&world, &asked);
		g_test_message ("%zu: %s %s", i, outcome_name ((enum outcome) asked.outcome),
		                reason_name ((enum reason) asked.reason));
		g_assert_cmpint (asked.outcome, ==, settled->commit_outcome);
		g_assert_cmpint (asked.reason, ==, settled->commit_reason);
		/* The second time finds what the first one stored. */
		for (unsigned again = 0; again < 2; again++)
		{
			settle (&world, &asked, id, "commit-1");
			g_assert_cmpint (asked.outcome, ==, settled->settle_outcome);
			g_assert_cmpint (asked.reason, ==, settled->settle_reason);
			g_assert_cmpint (asked.is_replay, ==, settled->settle_outcome == OUTCOME_DONE);
		}
		g_assert_cmpuint (world.applied, ==, settled->applied);
		g_assert_cmpuint (owner_set_in_flight (&world.set), ==, 0);
		world_finish (&world);
	}
}

/* Guards against a settled transaction that takes effect later: it is still open at its owner. */
static void
test_settle_before_commit (void)
{
	struct world world;
	struct asked asked;
	uint64_t id;

	world_start (&world);
	id = begin_and_write (&world);
	settle (&world, &asked, id, "commit-1");
	g_assert_cmpint (asked.reason, ==, REASON_ROLLED_BACK);
	commit_prepare (&asked, id, "commit-1");
	asked_submit (&world, &asked);
	asked_wait (&world, &asked);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (asked.reason, ==, REASON_NO_TRANSACTION);
	settle (&world, &asked, id, "commit-1");
	g_assert_cmpint (asked.reason, ==, REASON_ROLLED_BACK);
	g_assert_cmpuint (world.applied, ==, 0);
	world_finish (&world);
}

/* Repeats that arrive while the commit runs, or together after it, get one and the same answer. */
static void
test_settle_together (void)
{
	struct world world;
	struct asked asked[4];
	uint64_t id;

	for (unsigned is_open = 0; is_open < 2; is_open++)
	{
		world_start (&world);
		id = begin_and_write (&world);
		if (is_open == 1)
			commit_prepare (&asked[0], id, "commit-1");
		else
			settle_prepare (&asked[0], 0, id, "commit-1");
		asked_submit (&world, &asked[0]);
		for (size_t i = 1; i < G_N_ELEMENTS (asked); i++)
		{
			settle_prepare (&asked[i], 0, id, "commit-1");
			asked_submit (&world, &asked[i]);
		}
		for (size_t i = 0; i < G_N_ELEMENTS (asked); i++)
		{
			asked_wait (&world, &asked[i]);
			g_assert_cmpint (asked[i].outcome, ==, is_open ? OUTCOME_DONE : OUTCOME_REFUSED);
		}
		g_assert_cmpuint (world.applied, ==, is_open);
		world_finish (&world);
	}
}

/* Guards against answers before a majority has what they rest on, the mark as well as the commit. */
static void
test_settle_majority (void)
{
	for (unsigned has_committed = 0; has_committed < 2; has_committed++)
	{
		struct world world;
		struct asked asked;
		uint64_t id;

		world_start (&world);
		id = begin_and_write (&world);
		if (has_committed)
			world_rule (&world, "COMMIT", 1, FAKE_LOSE_AFTER);
		for (unsigned i = 1; i < WORLD_SERVERS; i++)
			world.servers[i].takes_entries = false;
		if (has_committed)
		{
			commit_prepare (&asked, id, "commit-1");
			asked_submit (&world, &asked);
			asked_wait (&world, &asked);
		}
		settle (&world, &asked, id, "commit-1");
		g_assert_cmpint (asked.outcome, ==, OUTCOME_UNKNOWN);
		g_assert_cmpint (asked.reason, ==, REASON_NOT_ACKNOWLEDGED);
		world.servers[1].status.position = world.servers[0].status.position;
		settle (&world, &asked, id, "commit-1");
		g_assert_cmpint (asked.outcome, ==, has_committed ? OUTCOME_DONE : OUTCOME_REFUSED);
		world_finish (&world);
	}
}

/* Guards against an answer that belongs to another use of the id. */
static void
test_id_of_another (void)
{
	struct world world;
	struct asked asked;
	uint64_t first;
	uint64_t second;

	world_start (&world);
	first = begin_and_write (&world);
	settle (&world, &asked, first, "rolled-back");
	commit_prepare (&asked, first, "committed");
	asked_submit (&world, &asked);
	asked_wait (&world, &asked);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	/* A single call does not take a mark for its own first answer. */
	asked_run (&world, &asked, "add", 0, "rolled-back");
	g_assert_cmpint (asked.outcome, ==, OUTCOME_FAILED);
	g_assert_cmpint (asked.reason, ==, REASON_BAD_REQUEST);
	asked_run (&world, &asked, "add", 0, "committed");
	g_assert_cmpint (asked.reason, ==, REASON_BAD_REQUEST);
	g_assert_cmpuint (world.applied, ==, 1);
	/* Nor does another transaction, or the settling of one that has the id of a single call. */
	second = begin_and_write (&world);
	commit_prepare (&asked, second, "committed");
	asked_submit (&world, &asked);
	asked_wait (&world, &asked);
	g_assert_cmpint (asked.reason, ==, REASON_NO_TRANSACTION);
	settle (&world, &asked, second, "committed");
	g_assert_cmpint (asked.reason, ==, REASON_BAD_REQUEST);
	asked_run (&world, &asked, "add", 0, "single");
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	settle (&world, &asked, second, "single");
	g_assert_cmpint (asked.reason, ==, REASON_BAD_REQUEST);
	settle (&world, &asked, second, "");
	g_assert_cmpint (asked.reason, ==, REASON_BAD_REQUEST);
	g_assert_cmpuint (world.applied, ==, 2);
	world_finish (&world);
}

/* A settle step that cannot run says nothing about the commit: never refused as rolled back, never
 * failed. A server that is not the primary sends it on. */
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
		struct asked asked;

		world_start (&world);
		world_rule (&world, cases[i].prefix, 1, cases[i].action);
		settle (&world, &asked, 1, "commit-1");
		g_test_message ("%zu: %s %s", i, outcome_name ((enum outcome) asked.outcome),
		                reason_name ((enum reason) asked.reason));
		g_assert_cmpint (asked.outcome, ==, cases[i].outcome);
		g_assert_cmpint (asked.reason, ==, cases[i].reason);
		world_finish (&world);
	}
}

/* Guards against a commit that costs a round trip more with a request id than without. */
static void
test_round_trips (void)
{
	unsigned trips[2];

	for (unsigned has_id = 0; has_id < 2; has_id++)
	{
		struct world world;
		struct asked asked;
		unsigned before;
		uint64_t id;

		world_start (&world);
		id = begin_and_write (&world);
		before = world.round_trips;
		commit_prepare (&asked, id, has_id ? "commit-1" : "");
		asked_submit (&world, &asked);
		asked_wait (&world, &asked);
		g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
		trips[has_id] = world.round_trips - before;
		world_finish (&world);
	}
	g_test_message ("round trips of a commit: %u without an id, %u with one", trips[0], trips[1]);
	g_assert_cmpuint (trips[0], ==, 1);
	g_assert_cmpuint (trips[1], ==, 1);
}

/* A commit with an id of a transaction that only read is answered alike each time. */
static void
test_settle_read_only (void)
{
	struct world world;
	struct asked asked;
	uint64_t id;

	world_start (&world);
	begin (&world, &asked);
	id = asked.transaction;
	step (&world, &asked, FS_OPERATION_TRANSACTION_CALL, "find", id);
	commit_prepare (&asked, id, "commit-1");
	asked_submit (&world, &asked);
	asked_wait (&world, &asked);
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	settle (&world, &asked, id, "commit-1");
	g_assert_cmpint (asked.outcome, ==, OUTCOME_DONE);
	g_assert_true (asked.is_replay);
	world_finish (&world);
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
	g_test_add_func ("/owner_transaction/limits", test_limits);
	g_test_add_func ("/owner_transaction/failed_statement", test_failed_statement);
	g_test_add_func ("/owner_transaction/faults", test_faults);
	g_test_add_func ("/owner_transaction/settle", test_settle);
	g_test_add_func ("/owner_transaction/settle_before_commit", test_settle_before_commit);
	g_test_add_func ("/owner_transaction/settle_together", test_settle_together);
	g_test_add_func ("/owner_transaction/settle_majority", test_settle_majority);
	g_test_add_func ("/owner_transaction/id_of_another", test_id_of_another);
	g_test_add_func ("/owner_transaction/settle_faults", test_settle_faults);
	g_test_add_func ("/owner_transaction/round_trips", test_round_trips);
	g_test_add_func ("/owner_transaction/settle_read_only", test_settle_read_only);
	g_test_add_func ("/owner_transaction/waiting", test_waiting);
	g_test_add_func ("/owner_transaction/cancelled_begin", test_cancelled_begin);
	g_test_add_func ("/owner_transaction/moved", test_moved);
	return g_test_run ();
}
