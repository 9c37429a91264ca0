/* Guards against faults between the owner and real upstream connections that scripted connections do
 * not reveal: writes lost or repeated when answers are lost or the primary is replaced or killed. */
#include "database_group.h"

#include "common/clock.h"
#include "common/counters.h"
#include "flamingospring/owner.h"

#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>

enum
{
	WAIT_LIMIT_US = 5 * US_PER_S,
	SELF = 1,
	CALLS = 200,
	COMMIT_TRIES = 20,
	REPEATED_ROUNDS = 20,
};

struct fixture
{
	struct database_group group;
	struct loop loop;
	struct snapshot_source source;
	struct snapshot_reader reader;
	struct owner_settings settings;
	struct owner_set set;
};

struct submission
{
	struct owner_request request;
	struct fs_execute_args args;
	char *params[2];
	fs_value values[2];
	bool is_done;
	int outcome;
	int reason;
	bool is_replay;
	uint64_t transaction;
	struct log_position written;
	uint32_t age_ms;
	uint32_t lag_ms;
	char cell[32];
	int64_t start_us;
	int64_t elapsed_us;
};

static void
publish (struct fixture *fixture, uint32_t primary, uint64_t term)
{
	struct snapshot *snapshot = database_group_snapshot (&fixture->group, 2);
	struct snapshot_group *group = &snapshot->groups[0];

	group->term = term;
	group->primary = primary;
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
		group->servers[i].owners.owner = SELF;
	snapshot_publish (&fixture->reader, snapshot);
	if (fixture->set.loop)
		owner_set_handle_snapshot (&fixture->set);
}

static void
set_up (struct fixture *fixture, gconstpointer data)
{
	memset (fixture, 0, sizeof *fixture);
	database_group_start (&fixture->group, "20", "16");
	loop_init (&fixture->loop);
	snapshot_source_init (&fixture->source);
	snapshot_reader_init (&fixture->reader, &fixture->source);
	publish (fixture, 0, 1);
	fixture->settings.vm_id = SELF;
	fixture->settings.acknowledge_timeout_us = US_PER_S;
	fixture->settings.transaction_idle_us = 3 * US_PER_S;
	fixture->settings.transaction_limit_us = 5 * US_PER_S;
	owner_set_init (&fixture->set, &fixture->loop, &fixture->reader, &fixture->settings);
}

static void
tear_down (struct fixture *fixture, gconstpointer data)
{
	owner_set_finish (&fixture->set);
	snapshot_reader_finish (&fixture->reader);
	snapshot_source_finish (&fixture->source);
	loop_finish (&fixture->loop);
	database_group_stop (&fixture->group);
	g_assert_cmpuint (counter_get (COUNTER_INVARIANT_VIOLATIONS), ==, 0);
}

static void
handle_done (struct owner_request *request, const struct fs_execute_result *result)
{
	struct submission *submission = request->data;

	g_assert_false (submission->is_done);
	submission->is_done = true;
	submission->elapsed_us = clock_now_us () - submission->start_us;
	submission->outcome = result->outcome;
	submission->reason = result->reason;
	submission->is_replay = result->replayed;
	submission->transaction = result->transaction;
	submission->written = (struct log_position){ result->written.term, result->written.index };
	submission->age_ms = result->server_age_ms;
	submission->lag_ms = result->server_lag_ms;
	if (result->cells.cells_len > 0 && result->cells.cells_val[0])
		g_strlcpy (submission->cell, *result->cells.cells_val[0], sizeof submission->cell);
}

static void
prepare (struct submission *submission, const char *call, unsigned server, const char *id,
         struct log_position required)
{
	memset (submission, 0, sizeof *submission);
	submission->params[0] = (char *) "sum";
	submission->params[1] = (char *) "1";
	submission->values[0] = &submission->params[0];
	submission->values[1] = &submission->params[1];
	submission->args.service = (char *) "letters";
	submission->args.call = (char *) call;
	submission->args.database = (char *) "ledger";
	submission->args.server = server;
	submission->args.request_id = (char *) id;
	submission->args.required = (struct fs_position){ required.term, required.index };
	submission->args.tenant = (char *) "";
	submission->args.params.params_len = strcmp (call, "add") == 0 ? 2 : 1;
	submission->args.params.params_val = submission->values;
	submission->start_us = clock_now_us ();
	submission->request.args = &submission->args;
	submission->request.deadline_us = submission->start_us + 3 * US_PER_S;
	submission->request.handle_done = handle_done;
	submission->request.data = submission;
}

static void
submit_after (struct fixture *fixture, struct submission *submission, const char *call,
              unsigned server, const char *id, struct log_position required)
{
	prepare (submission, call, server, id, required);
	owner_submit (&fixture->set, &submission->request);
}

static void
submit (struct fixture *fixture, struct submission *submission, const char *call, unsigned server,
        const char *id)
{
	submit_after (fixture, submission, call, server, id, (struct log_position){ 0, 0 });
}

static void
wait_done (struct fixture *fixture, struct submission *submission)
{
	int64_t end_us = clock_now_us () + WAIT_LIMIT_US;

	while (!submission->is_done && clock_now_us () < end_us)
		loop_step (&fixture->loop, US_PER_MS);
	g_assert_true (submission->is_done);
}

static void
run (struct fixture *fixture, struct submission *submission, const char *call, unsigned server,
     const char *id)
{
	submit (fixture, submission, call, server, id);
	wait_done (fixture, submission);
}

static void
run_for (struct fixture *fixture, int64_t us)
{
	for (int64_t end_us = clock_now_us () + us; clock_now_us () < end_us;)
		loop_step (&fixture->loop, US_PER_MS);
}

static int
compare_times (const void *a, const void *b)
{
	int64_t first = *(const int64_t *) a;
	int64_t second = *(const int64_t *) b;

	return first < second ? -1 : first > second;
}

static void
report_times (const char *name, int64_t *times, size_t count)
{
	qsort (times, count, sizeof *times, compare_times);
	g_test_message ("%s: median %" G_GINT64_FORMAT " us, p99 %" G_GINT64_FORMAT " us", name,
	                times[count / 2], times[count * 99 / 100]);
}

static void
test_calls (struct fixture *fixture, gconstpointer data)
{
	struct submission submission;
	int64_t reads[CALLS];
	int64_t writes[CALLS];
	char id[16];

	for (unsigned i = 0; i < CALLS; i++)
	{
		g_snprintf (id, sizeof id, "id-%u", i);
		run (fixture, &submission, "add", 0, id);
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
		writes[i] = submission.elapsed_us;
		/* A replica must return the session's own write. */
		if (i == 0)
		{
			struct log_position written = submission.written;

			submit_after (fixture, &submission, "find", 1, "", written);
			wait_done (fixture, &submission);
			g_assert_cmpstr (submission.cell, ==, "1");
		}
		run (fixture, &submission, "find", 0, "");
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
		reads[i] = submission.elapsed_us;
	}
	g_assert_cmpint (atoi (submission.cell), ==, CALLS);
	run (fixture, &submission, "add", 0, "id-0");
	g_assert_true (submission.is_replay);
	g_assert_cmpstr (submission.cell, ==, "1");
	report_times ("read", reads, CALLS);
	report_times ("at-most-once write, replicas 20 ms behind", writes, CALLS);
}

/* Guards against a read with a session token that returns older data than the token requires: it must wait
 * for the replica, or be refused as behind. */
static void
test_session (struct fixture *fixture, gconstpointer data)
{
	struct submission submission;
	char id[16];

	for (int i = 1; i <= 20; i++)
	{
		struct log_position written;
		unsigned replica = 1 + (unsigned) i % 2;

		g_snprintf (id, sizeof id, "id-%d", i);
		run (fixture, &submission, "add", 0, id);
		g_test_message ("%d: %s %s after %" G_GINT64_FORMAT " us", i,
		                outcome_name ((enum outcome) submission.outcome),
		                reason_name ((enum reason) submission.reason), submission.elapsed_us);
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
		written = submission.written;
		submit_after (fixture, &submission, "find", replica, "", written);
		wait_done (fixture, &submission);
		if (submission.outcome == OUTCOME_DONE)
			g_assert_cmpint (atoi (submission.cell), >=, i);
		else
			g_assert_cmpint (submission.reason, ==, REASON_BEHIND);
	}
}

static void
test_age (struct fixture *fixture, gconstpointer data)
{
	struct submission submission;
	uint32_t highest_ms = 0;

	run (fixture, &submission, "add", 0, "id");
	for (int i = 0; i < 20; i++)
	{
		run (fixture, &submission, "recent", 1, "");
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
		if (submission.age_ms > highest_ms)
			highest_ms = submission.age_ms;
	}
	g_assert_cmpuint (highest_ms, <=, 300);
	g_test_message ("highest age %u ms, lag %u ms", highest_ms, submission.lag_ms);
	/* Without a primary, the age grows past the limit of 300 ms. */
	database_group_kill (&fixture->group, 0);
	run_for (fixture, 350 * US_PER_MS);
	run (fixture, &submission, "recent", 1, "");
	g_assert_cmpint (submission.outcome, ==, OUTCOME_REFUSED);
	g_assert_cmpint (submission.reason, ==, REASON_TOO_OLD);
}

/* Guards against a measured lag that is useless for routing: the emulated replicas delay entries by 20 ms. */
static void
test_lag (struct fixture *fixture, gconstpointer data)
{
	int64_t end_us = clock_now_us () + 2500 * US_PER_MS;
	struct submission submission = { 0 };
	char id[16];

	for (unsigned i = 0; clock_now_us () < end_us; i++)
	{
		g_snprintf (id, sizeof id, "id-%u", i);
		submit (fixture, &submission, "add", 0, id);
		wait_done (fixture, &submission);
		run (fixture, &submission, "find", 1, "");
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
	}
	g_test_message ("measured lag %u ms", submission.lag_ms);
	g_assert_cmpuint (submission.lag_ms, >, 0);
	g_assert_cmpuint (submission.lag_ms, <, 100);
}

/* Runs a statement on a connection of the test itself. @return the log index when the answer is a status, or 0. */
static int
server_query (const struct fixture *fixture, unsigned server, const char *statement)
{
	char *info = g_strdup_printf ("hostaddr=127.0.0.1 port=%u dbname=ledger user=test "
	                              "sslmode=disable gssencmode=disable",
	                              fixture->group.ports[server]);
	PGconn *connection = PQconnectdb (info);
	PGresult *result = PQexec (connection, statement);
	int index = 0;

	g_assert_cmpint (PQresultStatus (result), ==, PGRES_TUPLES_OK);
	if (PQnfields (result) > 2)
		index = atoi (PQgetvalue (result, 0, PQfnumber (result, "log_index")));
	PQclear (result);
	PQfinish (connection);
	g_free (info);
	return index;
}

/* Guards against a write that is applied twice, or never, when answers to statements and commits are lost. */
static void
test_lost_answers (struct fixture *fixture, gconstpointer data)
{
	static const char *const faults[] = {
		"SELECT standin_fault('drop_commits', '1')",
		"SELECT standin_fault('drop_commits', '2')",
		"SELECT standin_fault('drop_answers', '1')",
		"SELECT standin_fault('drop_answers', '3')",
	};
	struct submission submission;
	unsigned replays = 0;
	char id[16];

	for (unsigned i = 0; i < 40; i++)
	{
		g_snprintf (id, sizeof id, "id-%u", i);
		server_query (fixture, 0, faults[i % G_N_ELEMENTS (faults)]);
		run (fixture, &submission, "add", 0, id);
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
		g_assert_cmpint (atoi (submission.cell), ==, (int) i + 1);
		replays += submission.is_replay;
	}
	/* Of two lost answers to commits, the second affects the next call, since a replay commits nothing. */
	g_assert_cmpuint (replays, ==, 30);
	run (fixture, &submission, "find", 0, "");
	g_assert_cmpstr (submission.cell, ==, "40");
}

/* Guards against two concurrent attempts with the same id that are both applied, as when a caller repeats
 * a request: the second must wait for the first at the server and return its answer. */
static void
test_concurrent_attempts (struct fixture *fixture, gconstpointer data)
{
	struct submission submission[2];
	char id[16];

	for (int i = 1; i <= 20; i++)
	{
		g_snprintf (id, sizeof id, "id-%d", i);
		for (size_t j = 0; j < 2; j++)
			submit (fixture, &submission[j], "add", 0, id);
		for (size_t j = 0; j < 2; j++)
		{
			wait_done (fixture, &submission[j]);
			g_assert_cmpint (submission[j].outcome, ==, OUTCOME_DONE);
			g_assert_cmpint (atoi (submission[j].cell), ==, i);
		}
		g_assert_cmpint (submission[0].is_replay + submission[1].is_replay, ==, 1);
	}
}

/* Guards against writes that a failover loses or repeats. The primary is cut off, the replica with the longest log is
 * promoted, and the calls are repeated there with their ids; the sum must be the number of ids. */
static void
test_failover (struct fixture *fixture, gconstpointer data)
{
	struct submission submission[CALLS];
	unsigned done = 0;
	unsigned unknown = 0;
	char ids[CALLS][16];
	int indexes[GROUP_SERVERS] = { 0 };
	unsigned primary;

	for (unsigned i = 0; i < CALLS; i++)
	{
		g_snprintf (ids[i], sizeof ids[i], "id-%u", i);
		submit (fixture, &submission[i], "add", 0, ids[i]);
		if (i != CALLS / 2)
			continue;
		run_for (fixture, 100 * US_PER_MS);
		server_query (fixture, 0, "SELECT standin_fault('cut_replication', '1')");
	}
	run_for (fixture, 300 * US_PER_MS);
	for (unsigned i = 1; i < GROUP_SERVERS; i++)
		indexes[i] = server_query (fixture, i, "SELECT * FROM group_fence(2, 'test')");
	primary = indexes[2] > indexes[1] ? 2 : 1;
	server_query (fixture, primary, "SELECT * FROM group_promote(2, 'test')");
	publish (fixture, primary, 2);
	for (unsigned i = 0; i < CALLS; i++)
	{
		wait_done (fixture, &submission[i]);
		done += submission[i].outcome == OUTCOME_DONE;
		unknown += submission[i].outcome == OUTCOME_UNKNOWN;
		g_assert_cmpint (submission[i].outcome, !=, OUTCOME_FAILED);
	}
	g_test_message ("%u done, %u unknown, %u refused", done, unknown, CALLS - done - unknown);
	g_assert_cmpuint (done, >, 0);
	g_assert_cmpuint (unknown, >, 0);
	for (unsigned i = 0; i < CALLS; i++)
	{
		bool was_done = submission[i].outcome == OUTCOME_DONE;

		run (fixture, &submission[i], "add", primary, ids[i]);
		g_assert_cmpint (submission[i].outcome, ==, OUTCOME_DONE);
		/* An acknowledged write must survive the promotion. */
		if (was_done)
			g_assert_true (submission[i].is_replay);
	}
	run (fixture, &submission[0], "find", primary, "");
	g_assert_cmpint (atoi (submission[0].cell), ==, CALLS);
}

/* Submits BEGIN, a statement, COMMIT or the settle operation of a transaction. */
static void
submit_operation (struct owner_set *set, struct submission *submission, fs_operation operation,
                  unsigned server, uint64_t transaction, const char *id)
{
	bool is_call = operation == FS_OPERATION_TRANSACTION_CALL;

	prepare (submission, is_call ? "add" : "", server, id, (struct log_position){ 0, 0 });
	submission->args.operation = operation;
	submission->args.transaction = transaction;
	if (!is_call)
		submission->args.params.params_len = 0;
	owner_submit (set, &submission->request);
}

static void
run_operation (struct fixture *fixture, struct submission *submission, fs_operation operation,
               unsigned server, uint64_t transaction, const char *id)
{
	submit_operation (&fixture->set, submission, operation, server, transaction, id);
	wait_done (fixture, submission);
}

/* Begins a transaction that adds 1 to the sum. @return the transaction, not committed. */
static uint64_t
begin_and_add (struct fixture *fixture)
{
	struct submission submission;
	uint64_t transaction;

	run_operation (fixture, &submission, FS_OPERATION_BEGIN, 0, 0, "");
	g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
	transaction = submission.transaction;
	run_operation (fixture, &submission, FS_OPERATION_TRANSACTION_CALL, 0, transaction, "");
	g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
	return transaction;
}

/* Reads the sum directly at a server. @return 0 when there is no row. */
static int
server_sum (const struct fixture *fixture, unsigned server)
{
	char *info = g_strdup_printf ("hostaddr=127.0.0.1 port=%u dbname=ledger user=test "
	                              "sslmode=disable gssencmode=disable",
	                              fixture->group.ports[server]);
	PGconn *connection = PQconnectdb (info);
	PGresult *result = PQexec (connection, "SELECT value FROM ledger WHERE key = 'sum'");
	int sum = 0;

	g_assert_cmpint (PQresultStatus (result), ==, PGRES_TUPLES_OK);
	if (PQntuples (result) > 0)
		sum = atoi (PQgetvalue (result, 0, 0));
	PQclear (result);
	PQfinish (connection);
	g_free (info);
	return sum;
}

static void
set_fault (const struct fixture *fixture, const char *name, const char *value)
{
	char *statement = g_strdup_printf ("SELECT standin_fault('%s', '%s')", name, value);

	server_query (fixture, 0, statement);
	g_free (statement);
}

/* Promotes the replica with the longest log. @return its index. */
static unsigned
replace_primary (struct fixture *fixture)
{
	int indexes[GROUP_SERVERS] = { 0 };
	unsigned primary;

	for (unsigned i = 1; i < GROUP_SERVERS; i++)
		indexes[i] = server_query (fixture, i, "SELECT * FROM group_fence(2, 'test')");
	primary = indexes[2] > indexes[1] ? 2 : 1;
	server_query (fixture, primary, "SELECT * FROM group_promote(2, 'test')");
	publish (fixture, primary, 2);
	return primary;
}

/* Ends the owner with all its connections and starts another, as when another VM takes over the servers. */
static void
replace_owner (struct fixture *fixture)
{
	owner_set_finish (&fixture->set);
	owner_set_init (&fixture->set, &fixture->loop, &fixture->reader, &fixture->settings);
}

/* Repeats a commit as an entry VM does until its outcome is known: first at the transaction's owner, then by
 * a settle operation at the current primary. */
static void
settle_commit (struct fixture *fixture, struct submission *submission, unsigned primary,
               uint64_t transaction)
{
	for (unsigned tries = 0; tries < COMMIT_TRIES; tries++)
	{
		run_operation (fixture, submission, FS_OPERATION_COMMIT, 0, transaction, "commit-1");
		if (submission->outcome != OUTCOME_DONE)
			run_operation (fixture, submission, FS_OPERATION_SETTLE, primary, transaction,
			               "commit-1");
		if (submission->outcome == OUTCOME_DONE || submission->reason == REASON_ROLLED_BACK)
			return;
		g_test_message ("  %s %s", outcome_name ((enum outcome) submission->outcome),
		                reason_name ((enum reason) submission->reason));
		run_for (fixture, 50 * US_PER_MS);
	}
	g_error ("the commit is not settled");
}

enum commit_fault
{
	COMMIT_NO_FAULT = 0,
	COMMIT_NOT_RECEIVED,       /* The first COMMIT never arrived; the transaction is open. */
	COMMIT_OWNER_STOPS_BEFORE, /* The owner stops before COMMIT. */
	COMMIT_OWNER_STOPS_DURING, /* The owner stops while COMMIT runs. */
};

struct commit_case
{
	const char *name;
	enum commit_fault commit;
	const char *fault;     /* Fault of the primary, or NULL. */
	bool is_fault_cleared; /* The fault ends before the commit is repeated. */
	bool is_replaced;      /* The primary is replaced before the commit is repeated. */
	int first;             /* Outcome of the first COMMIT; -1 when there is none or it may vary. */
	int expected;          /* Outcome of the repeated commit; -1 when it may vary. */
};

static const struct commit_case commit_cases[] = {
	{ "no fault", COMMIT_NO_FAULT, NULL, false, false, OUTCOME_DONE, OUTCOME_DONE },
	{ "repeat of an open one", COMMIT_NOT_RECEIVED, NULL, false, false, -1, OUTCOME_DONE },
	{ "lost before the id", COMMIT_NO_FAULT, "cut_ids", false, false, OUTCOME_UNKNOWN,
	  OUTCOME_REFUSED },
	{ "lost after the id", COMMIT_NO_FAULT, "drop_answers", false, false, OUTCOME_UNKNOWN,
	  OUTCOME_REFUSED },
	{ "lost before COMMIT took effect", COMMIT_NO_FAULT, "cut_commits", false, false,
	  OUTCOME_UNKNOWN, OUTCOME_REFUSED },
	{ "lost after COMMIT took effect", COMMIT_NO_FAULT, "drop_commits", false, false,
	  OUTCOME_UNKNOWN, OUTCOME_DONE },
	{ "owner gone", COMMIT_OWNER_STOPS_BEFORE, NULL, false, false, -1, OUTCOME_REFUSED },
	{ "owner gone during COMMIT", COMMIT_OWNER_STOPS_DURING, NULL, false, false, -1, -1 },
	{ "owner and primary gone during COMMIT", COMMIT_OWNER_STOPS_DURING, NULL, false, true, -1,
	  -1 },
	{ "no majority in time", COMMIT_NO_FAULT, "cut_replication", true, false, OUTCOME_UNKNOWN,
	  OUTCOME_DONE },
	{ "primary replaced without the commit", COMMIT_NO_FAULT, "cut_replication", false, true,
	  OUTCOME_UNKNOWN, OUTCOME_REFUSED },
	{ "primary replaced, answer lost", COMMIT_NO_FAULT, "drop_commits", false, true,
	  OUTCOME_UNKNOWN, OUTCOME_DONE },
	{ "primary replaced, answer given", COMMIT_NO_FAULT, NULL, false, true, OUTCOME_DONE,
	  OUTCOME_DONE },
};

static void
run_commit (struct fixture *fixture, struct submission *submission,
            const struct commit_case *commit, uint64_t transaction)
{
	if (commit->commit == COMMIT_NOT_RECEIVED)
		return;
	if (commit->commit == COMMIT_OWNER_STOPS_BEFORE)
	{
		replace_owner (fixture);
		return;
	}
	submit_operation (&fixture->set, submission, FS_OPERATION_COMMIT, 0, transaction, "commit-1");
	if (commit->commit == COMMIT_OWNER_STOPS_DURING)
	{
		run_for (fixture, US_PER_MS / 2);
		replace_owner (fixture);
		return;
	}
	wait_done (fixture, submission);
	if (commit->first >= 0)
		g_assert_cmpint (submission->outcome, ==, commit->first);
}

/* Guards against a repeated commit whose answer contradicts the rows on the current primary or an earlier
 * answer, or remains undecided. */
static void
test_commit (struct fixture *fixture, gconstpointer data)
{
	const struct commit_case *commit = data;
	struct submission submission = { 0 };
	uint64_t transaction = begin_and_add (fixture);
	unsigned primary = 0;
	int outcome;

	if (commit->fault)
		set_fault (fixture, commit->fault, "1");
	run_commit (fixture, &submission, commit, transaction);
	if (commit->is_fault_cleared)
		set_fault (fixture, commit->fault, "0");
	/* The replicas lag by 20 ms; commits that were not cut off arrive there meanwhile. */
	if (commit->is_replaced)
	{
		run_for (fixture, 100 * US_PER_MS);
		primary = replace_primary (fixture);
	}
	settle_commit (fixture, &submission, primary, transaction);
	outcome = submission.outcome;
	g_test_message ("%s: %s %s", commit->name, outcome_name ((enum outcome) submission.outcome),
	                reason_name ((enum reason) submission.reason));
	if (commit->expected >= 0)
		g_assert_cmpint (outcome, ==, commit->expected);
	g_assert_cmpint (server_sum (fixture, primary), ==, outcome == OUTCOME_DONE ? 1 : 0);
	/* The commit is repeated once more, at another VM. */
	replace_owner (fixture);
	settle_commit (fixture, &submission, primary, transaction);
	g_assert_cmpint (submission.outcome, ==, outcome);
	g_assert_cmpint (submission.is_replay, ==, outcome == OUTCOME_DONE);
	run_for (fixture, 100 * US_PER_MS);
	g_assert_cmpint (server_sum (fixture, primary), ==, outcome == OUTCOME_DONE ? 1 : 0);
}

/* Guards against different answers to two VMs that settle the same commit at the same time, after COMMIT
 * took effect or before. */
static void
test_concurrent_settle (struct fixture *fixture, gconstpointer data)
{
	static const char *const faults[] = { "drop_commits", "cut_commits" };
	struct snapshot_reader reader;
	struct owner_set other;
	int sum = 0;

	snapshot_reader_init (&reader, &fixture->source);
	owner_set_init (&other, &fixture->loop, &reader, &fixture->settings);
	for (unsigned i = 0; i < 20; i++)
	{
		uint64_t transaction = begin_and_add (fixture);
		struct submission submission[2];
		char id[16];

		g_snprintf (id, sizeof id, "commit-%u", i);
		set_fault (fixture, faults[i % 2], "1");
		run_operation (fixture, &submission[0], FS_OPERATION_COMMIT, 0, transaction, id);
		g_assert_cmpint (submission[0].outcome, ==, OUTCOME_UNKNOWN);
		submit_operation (&fixture->set, &submission[0], FS_OPERATION_SETTLE, 0, transaction, id);
		submit_operation (&other, &submission[1], FS_OPERATION_SETTLE, 0, transaction, id);
		for (size_t j = 0; j < G_N_ELEMENTS (submission); j++)
		{
			wait_done (fixture, &submission[j]);
			g_assert_cmpint (submission[j].outcome, ==,
			                 i % 2 == 0 ? OUTCOME_DONE : OUTCOME_REFUSED);
		}
		sum += i % 2 == 0;
		g_assert_cmpint (server_sum (fixture, 0), ==, sum);
	}
	owner_set_finish (&other);
	snapshot_reader_finish (&reader);
}

/* Guards against a transaction that takes effect after it was reported as rolled back: its owner is
 * still running and sends COMMIT to the same primary, or to one that was replaced. */
static void
test_late_commit (struct fixture *fixture, gconstpointer data)
{
	bool is_replaced = data != NULL;
	uint64_t transaction = begin_and_add (fixture);
	unsigned primary = 0;
	struct submission submission;

	if (is_replaced)
	{
		set_fault (fixture, "cut_replication", "1");
		primary = replace_primary (fixture);
	}
	run_operation (fixture, &submission, FS_OPERATION_SETTLE, primary, transaction, "commit-1");
	g_assert_cmpint (submission.reason, ==, REASON_ROLLED_BACK);
	run_operation (fixture, &submission, FS_OPERATION_COMMIT, 0, transaction, "commit-1");
	g_test_message ("late commit: %s %s", outcome_name ((enum outcome) submission.outcome),
	                reason_name ((enum reason) submission.reason));
	g_assert_cmpint (submission.outcome, !=, OUTCOME_DONE);
	run_for (fixture, 200 * US_PER_MS);
	g_assert_cmpint (server_sum (fixture, primary), ==, 0);
	run_operation (fixture, &submission, FS_OPERATION_SETTLE, primary, transaction, "commit-1");
	g_assert_cmpint (submission.reason, ==, REASON_ROLLED_BACK);
}

static int64_t
time_commit (struct fixture *fixture, const char *id)
{
	uint64_t transaction = begin_and_add (fixture);
	struct submission submission;

	run_operation (fixture, &submission, FS_OPERATION_COMMIT, 0, transaction, id);
	g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
	return submission.elapsed_us;
}

/* Reports how much time the request id adds to a commit; the test owner_transaction asserts its round trips. */
static void
test_commit_times (struct fixture *fixture, gconstpointer data)
{
	int64_t times[2][CALLS / 2];
	char id[16];

	for (unsigned i = 0; i < CALLS / 2; i++)
	{
		g_snprintf (id, sizeof id, "commit-%u", i);
		times[0][i] = time_commit (fixture, "");
		times[1][i] = time_commit (fixture, id);
	}
	report_times ("commit without an id, replicas 20 ms behind", times[0], CALLS / 2);
	report_times ("commit with an id, replicas 20 ms behind", times[1], CALLS / 2);
}

/* Guards against an answer that the server sends twice and that reaches another request: a read of an
 * older value, a write that is told as done without having run, or one that runs twice. */
static void
test_repeated_answers (struct fixture *fixture, gconstpointer data)
{
	static const char *const delays_ms[] = { "0", "20" };
	struct submission submission;
	int sum = 0;

	for (unsigned i = 0; i < 2 * REPEATED_ROUNDS; i++)
	{
		unsigned delay = i / REPEATED_ROUNDS;
		char id[16];

		set_fault (fixture, "repeat_ms", delays_ms[delay]);
		set_fault (fixture, "repeat_answers", i % 2 ? "1" : "3");
		g_snprintf (id, sizeof id, "id-%u", i);
		run (fixture, &submission, "add", 0, id);
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
		g_assert_cmpint (atoi (submission.cell), ==, ++sum);
		if (delay > 0)
			run_for (fixture, 50 * US_PER_MS);
		run (fixture, &submission, "find", 0, "");
		g_assert_cmpint (submission.outcome, ==, OUTCOME_DONE);
		g_assert_cmpint (atoi (submission.cell), ==, sum);
		if (delay > 0)
			run_for (fixture, 50 * US_PER_MS);
	}
	g_assert_cmpint (server_sum (fixture, 0), ==, sum);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add ("/owner_pg/calls", struct fixture, NULL, set_up, test_calls, tear_down);
	g_test_add ("/owner_pg/session", struct fixture, NULL, set_up, test_session, tear_down);
	g_test_add ("/owner_pg/age", struct fixture, NULL, set_up, test_age, tear_down);
	g_test_add ("/owner_pg/lag", struct fixture, NULL, set_up, test_lag, tear_down);
	g_test_add ("/owner_pg/lost_answers", struct fixture, NULL, set_up, test_lost_answers,
	            tear_down);
	g_test_add ("/owner_pg/same_id", struct fixture, NULL, set_up, test_concurrent_attempts,
	            tear_down);
	g_test_add ("/owner_pg/failover", struct fixture, NULL, set_up, test_failover, tear_down);
	for (size_t i = 0; i < G_N_ELEMENTS (commit_cases); i++)
	{
		char *path = g_strdup_printf ("/owner_pg/commit/%s", commit_cases[i].name);

		g_test_add (path, struct fixture, &commit_cases[i], set_up, test_commit, tear_down);
		g_free (path);
	}
	g_test_add ("/owner_pg/settle_together", struct fixture, NULL, set_up, test_concurrent_settle,
	            tear_down);
	g_test_add ("/owner_pg/late_commit", struct fixture, NULL, set_up, test_late_commit, tear_down);
	g_test_add ("/owner_pg/late_commit_replaced", struct fixture, "replaced", set_up,
	            test_late_commit, tear_down);
	g_test_add ("/owner_pg/repeated_answers", struct fixture, NULL, set_up, test_repeated_answers,
	            tear_down);
	g_test_add ("/owner_pg/commit_times", struct fixture, NULL, set_up, test_commit_times,
	            tear_down);
	return g_test_run ();
}
