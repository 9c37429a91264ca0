/* Guards against opening more connections than a server allows while ownership moves, and against
 * writes that stop because a connection was refused. */
#include "database_group.h"

#include "common/clock.h"
#include "common/counters.h"
#include "flamingospring/owner.h"
#include "flamingospring/owner_observe.h"

#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>

enum
{
	VMS = 6,
	CONNECTION_LIMIT = 16,
	CALLERS_PER_VM = 48, /* At each VM that acts as an owner; enough to use all its connections. */
	MOVES = 6,
	POLL_US = 100 * US_PER_MS, /* Interval of observers' status requests during an alert. */
	RETRY_US = 5 * US_PER_MS,
	LONGEST_GAP_US = 300 * US_PER_MS,
};

struct vm
{
	struct snapshot_source source;
	struct snapshot_reader reader;
	struct owner_settings settings;
	struct owner_set set;
	bool is_owner;
	int64_t polled_us;
	struct fixture *fixture;
};

/* A caller at a VM, with one request at a time. */
struct caller
{
	struct owner_request request;
	struct fs_execute_args args;
	char *params[2];
	fs_value values[2];
	char id[32];
	char key[16];
	struct fixture *fixture;
	unsigned vm;
	unsigned server;
	bool is_busy;
	int64_t retry_us;
};

struct fixture
{
	struct database_group group;
	struct loop loop;
	struct vm vms[VMS];
	struct caller callers[VMS * CALLERS_PER_VM];
	bool is_stopping;
	unsigned sent;
	unsigned written;
	unsigned read;
	unsigned failed;
	unsigned observer_answers;
	unsigned observer_failures;
	int64_t written_us;
	int64_t longest_gap_us;
};

/* The VMs form two sets of 3. In the owning set, each VM owns the server with its index in the set. */
static void
publish (struct fixture *fixture, unsigned vm, unsigned owning_set)
{
	struct snapshot *snapshot = database_group_snapshot (&fixture->group, 8);
	struct snapshot_group *group = &snapshot->groups[0];

	for (unsigned i = 0; i < GROUP_SERVERS; i++)
		group->servers[i].owners.owner = 1 + owning_set * GROUP_SERVERS + i;
	fixture->vms[vm].is_owner = vm / GROUP_SERVERS == owning_set;
	snapshot_publish (&fixture->vms[vm].reader, snapshot);
	if (fixture->vms[vm].set.loop)
		owner_set_handle_snapshot (&fixture->vms[vm].set);
}

static void
handle_observer_answer (void *data, const struct observer_answer *answer)
{
	struct fixture *fixture = ((struct vm *) data)->fixture;

	fixture->observer_answers++;
	fixture->observer_failures += answer->result != OBSERVER_ACCEPTED;
}

static void
observe (struct fixture *fixture, unsigned vm, enum observer_request_kind kind)
{
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
	{
		struct observer_request request = {
			.kind = kind,
			.database = "ledger",
			.server = i,
			.ip = INADDR_LOOPBACK,
			.port = fixture->group.ports[i],
		};

		owner_set_handle_observer_request (&fixture->vms[vm].set, &request);
	}
}

static void
handle_done (struct owner_request *request, const struct fs_execute_result *result)
{
	struct caller *caller = request->data;
	struct fixture *fixture = caller->fixture;
	int64_t now_us = clock_now_us ();

	caller->is_busy = false;
	if (result->outcome != OUTCOME_DONE)
	{
		fixture->failed++;
		caller->retry_us = now_us + RETRY_US;
		return;
	}
	if (caller->server != 0)
	{
		fixture->read++;
		return;
	}
	fixture->written++;
	fixture->longest_gap_us = MAX (fixture->longest_gap_us, now_us - fixture->written_us);
	fixture->written_us = now_us;
}

static void
caller_submit (struct caller *caller)
{
	struct fixture *fixture = caller->fixture;
	bool is_write = caller->server == 0;

	g_snprintf (caller->id, sizeof caller->id, "id-%u", fixture->sent++);
	g_snprintf (caller->key, sizeof caller->key, "k%u", (unsigned) (caller - fixture->callers));
	caller->params[0] = caller->key;
	caller->params[1] = (char *) "1";
	caller->values[0] = &caller->params[0];
	caller->values[1] = &caller->params[1];
	caller->args = (struct fs_execute_args){
		.service = (char *) "letters",
		.call = (char *) (is_write ? "add" : "find"),
		.database = (char *) "ledger",
		.server = caller->server,
		.request_id = is_write ? caller->id : (char *) "",
		.tenant = (char *) "",
		.params = { is_write ? 2 : 1, caller->values },
	};
	caller->request.args = &caller->args;
	caller->request.deadline_us = clock_now_us () + 2 * US_PER_S;
	caller->request.handle_done = handle_done;
	caller->request.data = caller;
	caller->is_busy = true;
	owner_submit (&fixture->vms[caller->vm].set, &caller->request);
}

static void
step (struct fixture *fixture)
{
	int64_t now_us = clock_now_us ();

	for (unsigned i = 0; i < VMS; i++)
	{
		if (!fixture->vms[i].is_owner || now_us - fixture->vms[i].polled_us < POLL_US)
			continue;
		fixture->vms[i].polled_us = now_us;
		observe (fixture, i, OBSERVER_STATUS);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS (fixture->callers); i++)
	{
		struct caller *caller = &fixture->callers[i];

		if (!fixture->is_stopping && !caller->is_busy && fixture->vms[caller->vm].is_owner &&
		    now_us >= caller->retry_us)
			caller_submit (caller);
	}
	loop_step (&fixture->loop, US_PER_MS);
}

static void
run_for (struct fixture *fixture, int64_t us)
{
	for (int64_t end_us = clock_now_us () + us; clock_now_us () < end_us;)
		step (fixture);
}

static void
set_up (struct fixture *fixture, gconstpointer data)
{
	memset (fixture, 0, sizeof *fixture);
	database_group_start (&fixture->group, "20", "16");
	loop_init (&fixture->loop);
	for (unsigned i = 0; i < VMS; i++)
	{
		struct vm *vm = &fixture->vms[i];

		vm->fixture = fixture;
		snapshot_source_init (&vm->source);
		snapshot_reader_init (&vm->reader, &vm->source);
		publish (fixture, i, 0);
		vm->settings.vm_id = 1 + i;
		vm->settings.acknowledge_timeout_us = US_PER_S;
		vm->settings.handle_observer_answer = handle_observer_answer;
		vm->settings.observation_data = vm;
		owner_set_init (&vm->set, &fixture->loop, &vm->reader, &vm->settings);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS (fixture->callers); i++)
		fixture->callers[i] = (struct caller){ .fixture = fixture,
			                                   .vm = i / CALLERS_PER_VM,
			                                   .server = i / CALLERS_PER_VM % GROUP_SERVERS };
	fixture->written_us = clock_now_us ();
}

static void
tear_down (struct fixture *fixture, gconstpointer data)
{
	fixture->is_stopping = true;
	for (unsigned i = 0; i < VMS; i++)
	{
		owner_set_finish (&fixture->vms[i].set);
		snapshot_reader_finish (&fixture->vms[i].reader);
		snapshot_source_finish (&fixture->vms[i].source);
	}
	loop_finish (&fixture->loop);
	database_group_stop (&fixture->group);
	g_assert_cmpuint (counter_get (COUNTER_INVARIANT_VIOLATIONS), ==, 0);
}

static PGconn *
server_connect (const struct fixture *fixture, unsigned server)
{
	char *info = g_strdup_printf ("hostaddr=127.0.0.1 port=%u dbname=ledger user=test "
	                              "sslmode=disable gssencmode=disable",
	                              fixture->group.ports[server]);
	PGconn *connection = PQconnectdb (info);

	g_free (info);
	return connection;
}

static void
server_query_connections (const struct fixture *fixture, unsigned server, int *highest,
                          int *refused)
{
	PGconn *connection = server_connect (fixture, server);
	PGresult *result = PQexec (connection, "SELECT * FROM standin_connections()");

	g_assert_cmpint (PQresultStatus (result), ==, PGRES_TUPLES_OK);
	*highest = atoi (PQgetvalue (result, 0, 0));
	*refused = atoi (PQgetvalue (result, 0, 1));
	PQclear (result);
	PQfinish (connection);
}

/* All three owners of the group change at once, and the former ones learn of it only 50 ms later: the
 * worst case described in docs/OPERATIONS.md. */
static void
test_ownership_moves (struct fixture *fixture, gconstpointer data)
{
	run_for (fixture, 500 * US_PER_MS);
	for (unsigned move = 1; move <= MOVES; move++)
	{
		unsigned set = move % 2;

		for (unsigned i = 0; i < GROUP_SERVERS; i++)
			publish (fixture, set * GROUP_SERVERS + i, set);
		run_for (fixture, 50 * US_PER_MS);
		for (unsigned i = 0; i < GROUP_SERVERS; i++)
		{
			publish (fixture, (1 - set) * GROUP_SERVERS + i, set);
			observe (fixture, (1 - set) * GROUP_SERVERS + i, OBSERVER_STOP);
		}
		run_for (fixture, 500 * US_PER_MS);
	}
	g_test_message ("%u writes, %u reads, %u not done, longest time without a write %ld us, "
	                "%u answers to observers, %u of them failures",
	                fixture->written, fixture->read, fixture->failed,
	                (long) fixture->longest_gap_us, fixture->observer_answers,
	                fixture->observer_failures);
	/* The owners close their connections first, so that the connection of the query is not added to theirs. */
	fixture->is_stopping = true;
	for (unsigned i = 0; i < VMS; i++)
		publish (fixture, i, 2);
	run_for (fixture, 300 * US_PER_MS);
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
	{
		int highest;
		int refused;

		server_query_connections (fixture, i, &highest, &refused);
		g_test_message ("server %u: at most %d connections, %d refused", i, highest, refused);
		g_assert_cmpint (highest, <=, CONNECTION_LIMIT);
		g_assert_cmpint (refused, ==, 0);
	}
	g_assert_cmpuint (fixture->written, >, 0);
	g_assert_cmpuint (fixture->observer_failures, ==, 0);
	g_assert_cmpint (fixture->longest_gap_us, <, LONGEST_GAP_US);
}

static void
set_fault (const struct fixture *fixture, PGconn *connection, const char *name, const char *value)
{
	const char *params[] = { name, value };
	PGresult *result =
		PQexecParams (connection, "SELECT standin_fault($1, $2)", 2, NULL, params, NULL, NULL, 0);

	g_assert_cmpint (PQresultStatus (result), ==, PGRES_TUPLES_OK);
	PQclear (result);
}

/* Guards against writes that stop when a server has only one connection left for them. The primary's
 * limit falls to 5: the monitors of 3 VMs, this test's connection and one work connection, as when other
 * clients use the rest. Then the work connections break. */
static void
test_server_full (struct fixture *fixture, gconstpointer data)
{
	uint64_t refused = counter_get (COUNTER_UPSTREAM_REFUSED);
	PGconn *connection = server_connect (fixture, 0);
	unsigned written;

	run_for (fixture, 200 * US_PER_MS);
	set_fault (fixture, connection, "connections", "5");
	set_fault (fixture, connection, "drop_answers", "5");
	run_for (fixture, 200 * US_PER_MS);
	fixture->longest_gap_us = 0;
	written = fixture->written;
	run_for (fixture, 2 * US_PER_S);
	written = fixture->written - written;
	refused = counter_get (COUNTER_UPSTREAM_REFUSED) - refused;
	g_test_message ("one work connection: %u writes in 2 s, longest time without one %ld us, "
	                "%lu refusals",
	                written, (long) fixture->longest_gap_us, (unsigned long) refused);
	g_assert_cmpuint (written, >, 0);
	g_assert_cmpuint (refused, >, 0);
	g_assert_cmpuint (fixture->observer_failures, ==, 0);
	g_assert_cmpint (fixture->longest_gap_us, <, LONGEST_GAP_US);
	/* Refusals must be rare, since each costs the server a process. */
	g_assert_cmpuint (refused, <, 40);
	set_fault (fixture, connection, "connections", "16");
	run_for (fixture, 5 * US_PER_S);
	g_test_message ("%lu work connections",
	                (unsigned long) counter_get (COUNTER_UPSTREAM_CONNECTIONS));
	/* The owners of the primary and of the two replicas have 5 each. */
	g_assert_cmpuint (counter_get (COUNTER_UPSTREAM_CONNECTIONS), ==, 15);
	PQfinish (connection);
}

/* Guards against a killed primary that is detected only by the next status request to it. */
static void
test_primary_killed (struct fixture *fixture, gconstpointer data)
{
	int64_t start_us;

	run_for (fixture, 200 * US_PER_MS);
	fixture->is_stopping = true;
	run_for (fixture, 200 * US_PER_MS);
	for (unsigned i = 0; i < VMS; i++)
		fixture->vms[i].polled_us = clock_now_us () + US_PER_S;
	g_assert_cmpuint (fixture->observer_failures, ==, 0);
	start_us = clock_now_us ();
	database_group_kill (&fixture->group, 0);
	while (fixture->observer_failures < GROUP_SERVERS && clock_now_us () - start_us < US_PER_S)
		step (fixture);
	g_test_message ("%u observers notified after %ld us", fixture->observer_failures,
	                (long) (clock_now_us () - start_us));
	g_assert_cmpuint (fixture->observer_failures, >=, GROUP_SERVERS);
	g_assert_cmpint (clock_now_us () - start_us, <, 500 * US_PER_MS);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add ("/connection_limit/moves", struct fixture, NULL, set_up, test_ownership_moves,
	            tear_down);
	g_test_add ("/connection_limit/full", struct fixture, NULL, set_up, test_server_full,
	            tear_down);
	g_test_add ("/connection_limit/killed", struct fixture, NULL, set_up, test_primary_killed,
	            tear_down);
	return g_test_run ();
}
