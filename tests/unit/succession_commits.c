/* Tests that a change of primary keeps the commits that callers were told are done: a server that counts among those whose
 * logs are known has to count in the choice as well. */
#include "decision/succession.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

enum
{
	MS = 1000,
	STEP_US = 20 * MS,
	SERVERS = 3,
	MAX_SERVERS = 4,
};

/** Primary a and its replicas b, which has all commits, and c, which is behind. VM vm1 carries out the change alone. */
struct fixture
{
	struct succession succession;
	struct succession_server
		servers[MAX_SERVERS]; /**< The last one is there when a test says so. */
	struct succession_input input;
	struct succession_record stored;
	int64_t now_us;
	char promoted[SUCCESSION_NAME_BYTES]; /**< "": none. */
};

static void
fixture_init (struct fixture *fixture, uint32_t sync_replicas)
{
	static const char *const ids[SERVERS] = { "a", "b", "c" };
	static const uint64_t received[SERVERS] = { 100, 100, 83 };

	memset (fixture, 0, sizeof *fixture);
	fixture->now_us = 10000 * MS;
	for (size_t i = 0; i < SERVERS; i++)
		fixture->servers[i] = (struct succession_server){
			.id = ids[i],
			.is_listed = true,
			.has_status = true,
			.status_us = fixture->now_us,
			.is_primary = i == 0,
			.term = 1,
			.received = { 1, received[i] },
			.applied = { 1, received[i] },
			.address = i + 1,
		};
	fixture->input = (struct succession_input){
		.servers = fixture->servers,
		.server_count = SERVERS,
		.sync_replicas = sync_replicas,
		.cause = SUCCESSION_FAILED,
		.has_read_records = true,
		.may_claim = true,
		.answers = SUCCESSION_ALL_STOPPED,
	};
	fixture->stored = (struct succession_record){ .primary = "a", .change = 10, .term = 1 };
	succession_init (&fixture->succession, "vm1");
	succession_set_record (&fixture->succession, &fixture->stored, fixture->now_us);
}

static void
answer_status (struct fixture *fixture)
{
	for (size_t i = 0; i < fixture->input.server_count; i++)
		if (!fixture->servers[i].is_unreachable)
			fixture->servers[i].status_us = fixture->now_us + 1;
}

static void
swap (struct fixture *fixture, bool is_changing, const char *primary)
{
	struct succession_record *stored = &fixture->stored;

	stored->change++;
	stored->is_changing = is_changing;
	stored->is_planned = is_changing && fixture->succession.is_planned;
	stored->claims = is_changing ? stored->claims + 1 : 0;
	stored->term = is_changing ? stored->term : fixture->succession.new_term;
	g_strlcpy (stored->primary, primary, sizeof stored->primary);
	g_strlcpy (stored->claimant, "vm1", sizeof stored->claimant);
	if (!is_changing)
		fixture->input.cause = SUCCESSION_NO_CAUSE;
	succession_handle_swap (&fixture->succession, SUCCESSION_SWAPPED, stored->change,
	                        fixture->now_us);
	succession_set_record (&fixture->succession, stored, fixture->now_us);
}

static void
promote (struct fixture *fixture)
{
	g_strlcpy (fixture->promoted, fixture->succession.target, sizeof fixture->promoted);
	succession_handle_promote (&fixture->succession, 0, fixture->now_us);
	for (size_t i = 0; i < fixture->input.server_count; i++)
	{
		struct succession_server *server = &fixture->servers[i];

		if (strcmp (server->id, fixture->promoted) != 0)
			continue;
		server->is_primary = true;
		server->term = fixture->succession.old_term + 1;
	}
}

static void
run (struct fixture *fixture, int64_t duration_us)
{
	int64_t end_us = fixture->now_us + duration_us;

	for (; fixture->now_us < end_us; fixture->now_us += STEP_US)
		switch (succession_step (&fixture->succession, &fixture->input, fixture->now_us))
		{
		case SUCCESSION_RECORD:
			swap (fixture, false, fixture->succession.target);
			break;
		case SUCCESSION_CLAIM:
			swap (fixture, true, fixture->stored.primary);
			break;
		case SUCCESSION_DEMOTE:
			fixture->servers[0].is_primary = false;
			answer_status (fixture);
			break;
		case SUCCESSION_ASK_MEMBERS:
		case SUCCESSION_ASK_SERVERS:
			answer_status (fixture);
			break;
		case SUCCESSION_PROMOTE:
			promote (fixture);
			break;
		default:
			break;
		}
}

/* Guards against the loss of acknowledged commits that only a draining replica has received: it was counted, so that the
 * positions known were enough, but not chosen (LOST). It ends soon, and is still the only one that can pass them on. */
static void
test_draining_replica_has_more (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.servers[0].is_unreachable = true;
	fixture.servers[1].is_draining = true;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "b");
	g_assert_cmpstr (fixture.stored.primary, ==, "b");
}

/* Guards against a draining server that leads without need, which makes a second change necessary. */
static void
test_draining_replica_has_no_more (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.servers[0].is_unreachable = true;
	fixture.servers[1].is_draining = true;
	fixture.servers[2].received.index = fixture.servers[2].applied.index = 100;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "c");
}

/* Guards against the loss of commits that the only server that has them cannot pass on, since its entry has expired: it was
 * counted as one whose log is known. Nothing is promoted until it is back. */
static void
test_unlisted_replica_has_more (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.servers[0].is_unreachable = true;
	fixture.servers[1].is_listed = false;
	run (&fixture, 5000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "");
	fixture.servers[1].is_listed = true;
	run (&fixture, 4000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "b");
}

/* Guards against the loss of commits of a replica that the platform did not make the primary, or not in time: it was skipped
 * although its log counted. */
static void
test_refused_replica_has_more (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.servers[0].is_unreachable = true;
	g_strlcpy (fixture.succession.failed_target, "b", sizeof fixture.succession.failed_target);
	run (&fixture, 2000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "b");
}

/* Guards against a planned change that waits for a crashed replica although the old primary, which is out of use and answers,
 * holds no more than the successor: writes stop until the replica is back. */
static void
test_planned_change_beside_crashed_replica (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.input.cause = SUCCESSION_LEAVING;
	fixture.servers[0].is_draining = true;
	fixture.servers[2].is_listed = false;
	fixture.servers[2].is_unreachable = true;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "b");
}

/* Guards against the same when the old primary has started again under its id and has forgotten its log. */
static void
test_old_primary_has_forgotten (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.input.cause = SUCCESSION_LEAVING;
	fixture.servers[0].is_draining = true;
	fixture.servers[0].received.index = 0;
	fixture.servers[1].is_listed = false;
	fixture.servers[1].is_unreachable = true;
	run (&fixture, 5000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "");
}

/* Without synchronous replicas, commits that only a draining replica has are kept as well if it can lead for a while. */
static void
test_draining_replica_without_sync (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 0);
	fixture.servers[0].is_unreachable = true;
	fixture.servers[1].is_draining = true;
	fixture.servers[1].lead_end_us = fixture.now_us + 3000 * MS;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "b");
	fixture_init (&fixture, 0);
	fixture.servers[0].is_unreachable = true;
	fixture.servers[1].is_draining = true;
	fixture.servers[1].lead_end_us = fixture.now_us;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "c");
}

/* Guards against a planned change to a draining replica that is ahead for a moment: the old primary still sends its log to
 * the other one. */
static void
test_planned_change_prefers_remaining_replica (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 0);
	fixture.input.cause = SUCCESSION_LEAVING;
	fixture.servers[0].is_draining = true;
	fixture.servers[1].is_draining = true;
	fixture.servers[1].lead_end_us = fixture.now_us + 3000 * MS;
	run (&fixture, 200 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "");
	fixture.servers[2].received.index = fixture.servers[2].applied.index = 100;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "c");
}

/** The primary is down and c is not reached, so that nothing can be promoted; meanwhile b drains, and leaves. */
static void
leave_during_change (struct fixture *fixture)
{
	fixture_init (fixture, 1);
	fixture->servers[0].is_unreachable = true;
	fixture->servers[1].is_draining = true;
	fixture->servers[2].is_unreachable = true;
	fixture->servers[2].status_us = 0;
	run (fixture, 2000 * MS);
	g_assert_cmpstr (fixture->promoted, ==, "");
	fixture->servers[1].is_listed = false;
	fixture->servers[1].is_unreachable = true;
	fixture->servers[1].has_announced_end = true;
	fixture->servers[2].is_unreachable = false;
	run (fixture, 6000 * MS);
}

/* Guards against a service without a primary after a replica has left while the primary was down: it was waited for, though
 * it had answered when the old primary was out of use already. A shorter log is still not promoted. */
static void
test_replica_leaves_during_change (void)
{
	struct fixture fixture;

	leave_during_change (&fixture);
	g_assert_cmpstr (fixture.promoted, ==, "");
	fixture.servers[2].received.index = fixture.servers[2].applied.index = 100;
	run (&fixture, 4000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "c");
}

/* The same when a server at its address has taken over its log. */
static void
test_replica_is_replaced_during_change (void)
{
	struct fixture fixture;

	leave_during_change (&fixture);
	fixture.servers[3] = fixture.servers[1];
	fixture.servers[3].id = "d";
	fixture.servers[3].is_listed = true;
	fixture.servers[3].is_unreachable = fixture.servers[3].is_draining = false;
	fixture.servers[3].has_announced_end = false;
	fixture.servers[1].has_status = false;
	fixture.input.server_count = MAX_SERVERS;
	run (&fixture, 4000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "d");
}

/* Guards against the loss of commits of a replica that the claimant does not know: it has started after the replica's entry
 * had expired. Another VM knows it; without one, it is waited for until it must be back if it lives. */
static void
test_claimant_has_started_since (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.servers[0].is_unreachable = true;
	fixture.servers[1] = fixture.servers[2];
	fixture.input.server_count = 2;
	fixture.input.directory_us = fixture.now_us;
	fixture.stored.is_changing = true;
	fixture.stored.claims = 1;
	fixture.stored.change++;
	g_strlcpy (fixture.stored.claimant, "vm1", sizeof fixture.stored.claimant);
	succession_set_record (&fixture.succession, &fixture.stored, fixture.now_us);
	run (&fixture, 14000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "");
	run (&fixture, 6000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "c");
}

/* Guards against the loss of commits of a replica that is not reached: one that has left and the one in its place counted as
 * two whose logs are known. */
static void
test_replaced_replica_counts_once (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 1);
	fixture.servers[0].is_unreachable = true;
	fixture.servers[1].is_unreachable = true;
	fixture.servers[1].status_us = 0;
	fixture.servers[2].is_draining = true;
	run (&fixture, 2000 * MS);
	fixture.servers[3] = fixture.servers[2];
	fixture.servers[3].id = "d";
	fixture.servers[3].is_draining = false;
	fixture.servers[2].is_listed = false;
	fixture.servers[2].is_unreachable = true;
	fixture.servers[2].has_announced_end = true;
	fixture.input.server_count = MAX_SERVERS;
	run (&fixture, 8000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "");
	fixture.servers[1].is_unreachable = false;
	run (&fixture, 4000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "b");
}

/* Guards against a service without a primary for good: the platform refused the old primary while it was down, so that it was
 * skipped for the rest of the change, and only it has the log of the latest term. */
static void
test_refused_primary_is_back (void)
{
	for (uint32_t sync_replicas = 0; sync_replicas < 2; sync_replicas++)
	{
		struct fixture fixture;

		fixture_init (&fixture, sync_replicas);
		fixture.stored.term = 2;
		fixture.stored.change++;
		succession_set_record (&fixture.succession, &fixture.stored, fixture.now_us);
		fixture.servers[0].is_primary = false;
		fixture.servers[0].term = 2;
		fixture.servers[0].received.term = fixture.servers[0].applied.term = 2;
		g_strlcpy (fixture.succession.failed_target, "a", sizeof fixture.succession.failed_target);
		run (&fixture, 4000 * MS);
		g_assert_cmpstr (fixture.promoted, ==, "a");
	}
}

/* Guards against a planned change to a replica that is only beginning to receive the old primary's log: the time that it is
 * given counted from when a draining replica had become known. */
static void
test_late_successor_beside_reserve (void)
{
	struct fixture fixture;

	fixture_init (&fixture, 0);
	fixture.input.cause = SUCCESSION_LEAVING;
	fixture.servers[0].is_draining = true;
	fixture.servers[1].is_draining = true;
	fixture.servers[1].received.index = fixture.servers[1].applied.index = 50;
	fixture.servers[2].is_unreachable = true;
	fixture.servers[2].status_us = 0;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "");
	fixture.servers[2].is_unreachable = false;
	run (&fixture, 600 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "");
	fixture.servers[2].received.index = fixture.servers[2].applied.index = 100;
	run (&fixture, 1000 * MS);
	g_assert_cmpstr (fixture.promoted, ==, "c");
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/succession_commits/draining", test_draining_replica_has_more);
	g_test_add_func ("/succession_commits/draining_equal", test_draining_replica_has_no_more);
	g_test_add_func ("/succession_commits/unlisted", test_unlisted_replica_has_more);
	g_test_add_func ("/succession_commits/refused", test_refused_replica_has_more);
	g_test_add_func ("/succession_commits/planned", test_planned_change_beside_crashed_replica);
	g_test_add_func ("/succession_commits/forgotten", test_old_primary_has_forgotten);
	g_test_add_func ("/succession_commits/without_sync", test_draining_replica_without_sync);
	g_test_add_func ("/succession_commits/planned_draining",
	                 test_planned_change_prefers_remaining_replica);
	g_test_add_func ("/succession_commits/leaves", test_replica_leaves_during_change);
	g_test_add_func ("/succession_commits/replaced", test_replica_is_replaced_during_change);
	g_test_add_func ("/succession_commits/started_since", test_claimant_has_started_since);
	g_test_add_func ("/succession_commits/replaced_once", test_replaced_replica_counts_once);
	g_test_add_func ("/succession_commits/primary_is_back", test_refused_primary_is_back);
	g_test_add_func ("/succession_commits/late_successor", test_late_successor_beside_reserve);
	return g_test_run ();
}
