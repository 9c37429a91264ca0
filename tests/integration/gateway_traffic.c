/* Tests the gateway's sessions: which statements a server executes, on which connection and with which session state,
 * and what callers are answered while the primary changes. */
#include "fake_database.h"
#include "free_port.h"

#include "common/clock.h"
#include "common/log.h"
#include "decision/succession.h"
#include "gateway/traffic_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	MAX_VMS = 2,
	ANSWER_BYTES = 2048,
};

/** One or two VMs in front of a primary and a replica. */
struct fixture
{
	struct fake_database databases[2];
	struct gateway_traffic *vms[MAX_VMS];
	uint16_t caller_ports[MAX_VMS];
	uint16_t relay_ports[MAX_VMS];
	char names[MAX_VMS][16];
	int vm_count;
	const char *zones[MAX_VMS];
	enum route_kind kind;
	uint32_t max_connections;
	uint32_t target_latency_ms;
	uint64_t change;
	uint32_t statement_timeout_ms;
	uint32_t min_silence_ms;
	int primary;
	bool is_changing;
	bool is_planned;
	bool omits_servers;
	uint32_t server_ip;
	bool is_isolated;
	bool is_out_of_rotation;
	int quiesced;
	bool is_replica_draining;
	int64_t primary_use_end_us; /**< The primary drains, until then; 0: it does not. */
	int replica_statuses;       /**< Status reports of the replica. */
};

static void
handle_report (void *data, struct server_report *report)
{
	struct fixture *fixture = data;

	if (report->has_status && strcmp (report->server, "db1") == 0)
		g_atomic_int_inc (&fixture->replica_statuses);
	g_free (report->server);
	g_free (report->service);
	g_free (report);
}

static void
handle_quiesced (void *data, const char *service, uint64_t change)
{
	struct fixture *fixture = data;

	(void) service;
	(void) change;
	g_atomic_int_inc (&fixture->quiesced);
}

static void
handle_leave_complete (void *data)
{
	(void) data;
}

static const struct gateway_traffic_events events = {
	.handle_report = handle_report,
	.handle_quiesced = handle_quiesced,
	.handle_leave_complete = handle_leave_complete,
};

static struct configuration *
configuration_create (const struct fixture *fixture)
{
	struct configuration *configuration = configuration_new ();
	struct route *route = g_new0 (struct route, 1);
	struct database_service *service = g_new0 (struct database_service, 1);

	*route = (struct route){
		.database = g_strdup ("db"),
		.service = g_strdup ("s"),
		.kind = fixture->kind,
		.statement_timeout_ms = fixture->statement_timeout_ms,
		.target_latency_ms = fixture->target_latency_ms,
		.max_staleness_ms = 1000,
	};
	*service = (struct database_service){
		.name = g_strdup ("s"),
		.max_connections = fixture->max_connections,
	};
	g_hash_table_insert (configuration->routes, route->database, route);
	g_hash_table_insert (configuration->services, service->name, service);
	configuration->version = 1;
	configuration->transaction_idle_ms = 3000;
	return configuration;
}

static void
send_view (struct fixture *fixture, int vm, int64_t records_valid_us)
{
	struct view *view = view_new ();
	struct primary_record primary_record = {
		.service = g_strdup ("s"),
		.primary = g_strdup (fixture->databases[fixture->primary].id),
		.change = fixture->change,
		.is_changing = fixture->is_changing,
		.is_planned = fixture->is_planned,
	};

	view->configuration = configuration_create (fixture);
	g_array_append_val (view->records, primary_record);
	for (int i = 0; i < 2 && !fixture->omits_servers; i++)
	{
		struct server_entry entry = {
			.id = g_strdup (fixture->databases[i].id),
			.service = g_strdup ("s"),
			.zone = g_strdup ("a"),
			.ip = fixture->server_ip,
			.port = fixture->databases[i].port,
			.slots = 2,
			.is_draining = i == 1 ? fixture->is_replica_draining : fixture->primary_use_end_us > 0,
			.use_end_us = i == 0 ? fixture->primary_use_end_us : 0,
		};

		g_array_append_val (view->servers, entry);
	}
	for (int i = 0; i < fixture->vm_count; i++)
	{
		struct view_member member = {
			.vm = g_strdup (fixture->names[i]),
			.zone = g_strdup (fixture->zones[i]),
			.ip = INADDR_LOOPBACK,
			.port = fixture->relay_ports[i],
		};

		if (i != vm)
			g_array_append_val (view->members, member);
		else
			g_free (member.vm), g_free (member.zone);
	}
	view->knows_members = true;
	view->vm_count = (uint32_t) fixture->vm_count;
	view->is_registered = true;
	view->is_isolated = fixture->is_isolated;
	view->is_out_of_rotation = fixture->is_out_of_rotation;
	view->records_valid_us = records_valid_us;
	gateway_traffic_send_view (fixture->vms[vm], view);
}

static void
send_views (struct fixture *fixture, int64_t records_valid_us)
{
	for (int i = 0; i < fixture->vm_count; i++)
		send_view (fixture, i, records_valid_us);
}

/** Sends views whose records are valid for the whole test, since on a busy machine a test takes longer than the
 * authority over a primary lasts. */
static void
send_long_lived_views (struct fixture *fixture)
{
	send_views (fixture, clock_now_us () + 60 * US_PER_S);
}

static void
fixture_start (struct fixture *fixture, int vm_count, enum route_kind kind)
{
	memset (fixture, 0, sizeof *fixture);
	fake_database_start (&fixture->databases[0], "db0", true);
	fake_database_start (&fixture->databases[1], "db1", false);
	fixture->vm_count = vm_count;
	fixture->kind = kind;
	fixture->server_ip = INADDR_LOOPBACK;
	fixture->max_connections = 8;
	fixture->target_latency_ms = 1000;
	fixture->change = 10;
	fixture->statement_timeout_ms = 1500;
	/* No test is about a silent owner or server; on a busy machine, silence is a thread that does not run. */
	fixture->min_silence_ms = 60000;
	fixture->zones[0] = "a";
	fixture->zones[1] = "b";
	for (int i = 0; i < vm_count; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = fixture->names[i],
			.zone = fixture->zones[i],
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 100,
			.min_silence_ms = fixture->min_silence_ms,
		};

		snprintf (fixture->names[i], sizeof fixture->names[i], "vm%d", i);
		settings.caller_port = fixture->caller_ports[i] = free_port ();
		settings.relay_port = fixture->relay_ports[i] = free_port ();
		fixture->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (fixture->vms[i]);
		g_assert_cmpint (gateway_traffic_start (fixture->vms[i], &events, fixture), ==, 0);
	}
}

static void
fixture_stop (struct fixture *fixture)
{
	for (int i = 0; i < fixture->vm_count; i++)
		gateway_traffic_free (fixture->vms[i]);
	fake_database_stop (&fixture->databases[0]);
	fake_database_stop (&fixture->databases[1]);
}

static int
connect_port (uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	struct timeval limit = { .tv_sec = 5 };
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	return fd;
}

static void
send_line (int fd, const char *line)
{
	char *text = g_strdup_printf ("%s\r\n", line);

	g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==, (int) strlen (text));
	g_free (text);
}

/** Reads an answer up to and including the line that starts with READY. @return a static buffer. */
static const char *
read_answer (int fd)
{
	static char answer[ANSWER_BYTES];
	size_t length = 0;

	for (;;)
	{
		ssize_t count = recv (fd, answer + length, 1, 0);
		char *last;

		if (count <= 0)
			break;
		length++;
		answer[length] = '\0';
		last = length > 2 ? g_strrstr (answer, "READY") : NULL;
		if (last && g_str_has_suffix (last, "\r\n"))
			break;
	}
	answer[length] = '\0';
	return answer;
}

static const char *
execute_line (int fd, const char *line)
{
	send_line (fd, line);
	return read_answer (fd);
}

static int
open_session (const struct fixture *fixture, int vm)
{
	int fd = connect_port (fixture->caller_ports[vm]);

	g_assert_cmpstr (execute_line (fd, "START db who"), ==, "READY I -\r\n");
	return fd;
}

#define ASSERT_CONTAINS(answer, text)                                                              \
	do                                                                                             \
	{                                                                                              \
		const char *answer_ = (answer);                                                            \
		if (!strstr (answer_, text))                                                               \
			g_test_message ("answer: %s", answer_);                                                \
		g_assert_nonnull (strstr (answer_, text));                                                 \
	} while (0)
#define ASSERT_SERVED(answer)     ASSERT_CONTAINS (answer, "COMPLETE mac")
#define ASSERT_CODE(answer, code) ASSERT_CONTAINS (answer, "ERROR " code)

static void
wait_until (int64_t time_us)
{
	int64_t left_us = time_us - clock_now_us ();

	if (left_us > 0)
		g_usleep ((gulong) left_us);
}

/* Guards against a statement that is executed with the values or prepared statements of another session, since
 * sessions share connections. */
static void
check_session_state (int vm_count, int vm)
{
	struct fixture fixture;
	int first;
	int second;

	fixture_start (&fixture, vm_count, ROUTE_PRIMARY);
	fixture.max_connections = 1;
	/* Long enough that no statement times out on a busy machine. */
	fixture.target_latency_ms = 10000;
	fixture.statement_timeout_ms = 15000;
	send_long_lived_views (&fixture);
	first = open_session (&fixture, vm);
	second = open_session (&fixture, vm);
	execute_line (first, "QUERY s SET v0 one");
	execute_line (first, "QUERY p PREPARE name READ shape1");
	execute_line (second, "QUERY s SET v0 two");
	execute_line (second, "QUERY s SET v1 more");
	execute_line (second, "QUERY p PREPARE name WRITE shape2");
	for (int i = 0; i < 3; i++)
	{
		char *read = g_strdup_printf ("QUERY r%d EXECUTE name 1", i);
		char *write = g_strdup_printf ("QUERY w%d EXECUTE name 1 data", i);

		ASSERT_SERVED (execute_line (first, read));
		ASSERT_SERVED (execute_line (second, write));
		g_free (read);
		g_free (write);
	}
	g_assert_cmpstr (fake_database_find (&fixture.databases[0], "r2")->value, ==, "one");
	g_assert_cmpstr (fake_database_find (&fixture.databases[0], "r2")->shape, ==, "READ shape1");
	g_assert_cmpstr (fake_database_find (&fixture.databases[0], "w2")->value, ==, "two");
	g_assert_cmpstr (fake_database_find (&fixture.databases[0], "w2")->shape, ==, "WRITE shape2");
	ASSERT_CODE (execute_line (first, "QUERY x EXECUTE other 1"), "NOSTMT");
	close (first);
	close (second);
	fixture_stop (&fixture);
}

static void
test_session_state (void)
{
	check_session_state (1, 0);
}

static void
test_session_state_forwarded (void)
{
	check_session_state (2, 1);
}

/* Guards against a transaction whose statements use several connections or share one with other sessions, and
 * against a transaction that is not rolled back when its caller disconnects. */
static void
check_transaction (int vm_count, int vm)
{
	struct fixture fixture;
	const struct fake_statement *write;
	const struct fake_statement *read;
	int first;
	int second;

	fixture_start (&fixture, vm_count, ROUTE_PRIMARY);
	send_long_lived_views (&fixture);
	first = open_session (&fixture, vm);
	second = open_session (&fixture, vm);
	g_assert_cmpstr (execute_line (first, "QUERY b BEGIN"), ==, "COMPLETE -\r\nREADY T -\r\n");
	ASSERT_SERVED (execute_line (first, "QUERY w1 WRITE 1 data"));
	ASSERT_SERVED (execute_line (second, "QUERY r1 READ 1"));
	ASSERT_SERVED (execute_line (first, "QUERY w2 WRITE 2 data"));
	write = fake_database_find (&fixture.databases[0], "w1");
	read = fake_database_find (&fixture.databases[0], "r1");
	g_assert_true (write->is_in_transaction);
	g_assert_false (read->is_in_transaction);
	g_assert_cmpint (write->connection, !=, read->connection);
	g_assert_cmpint (fake_database_find (&fixture.databases[0], "w2")->connection, ==,
	                 write->connection);
	close (first);
	for (int wait = 0; wait < 100 && g_atomic_int_get (&fixture.databases[0].rollbacks) == 0;
	     wait++)
		g_usleep (10000);
	g_assert_cmpint (fixture.databases[0].rollbacks, ==, 1);
	g_assert_cmpuint (fixture.databases[0].index, ==, 100);
	close (second);
	fixture_stop (&fixture);
}

static void
test_transaction (void)
{
	check_transaction (1, 0);
}

static void
test_transaction_forwarded (void)
{
	check_transaction (2, 1);
}

/* Without a recently confirmed record of the primary, nothing may be executed there: the statement is refused and
 * must not have been sent. */
static void
test_no_authority (void)
{
	struct fixture fixture;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	fixture.target_latency_ms = 200;
	send_views (&fixture, clock_now_us () - SUCCESSION_AUTHORITY_MS * US_PER_MS);
	fd = open_session (&fixture, 0);
	ASSERT_CODE (execute_line (fd, "QUERY w WRITE 1 data"), "BUSY");
	g_assert_cmpuint (fixture.databases[0].statements->len, ==, 0);
	close (fd);
	fixture_stop (&fixture);
}

/* When the server answers a commit after the authority has expired, the answer is held until the records are
 * confirmed again; when the record has changed instead, the commit is reported as in doubt. */
static void
check_held_commit (bool is_replaced)
{
	struct fixture fixture;
	int64_t records_valid_us;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	fixture.databases[0].delay_ms = 500;
	records_valid_us = clock_now_us () - (SUCCESSION_AUTHORITY_MS - 300) * US_PER_MS;
	send_views (&fixture, records_valid_us);
	fd = open_session (&fixture, 0);
	send_line (fd, "QUERY w WRITE 1 data");
	g_assert_nonnull (fake_database_find (&fixture.databases[0], "w"));
	g_usleep (700000);
	if (is_replaced)
	{
		fixture.change++;
		fixture.is_changing = true;
		send_views (&fixture, clock_now_us ());
		ASSERT_CODE (read_answer (fd), "INDOUBT");
	}
	else
	{
		gateway_traffic_send_records_valid (fixture.vms[0], clock_now_us ());
		ASSERT_SERVED (read_answer (fd));
	}
	close (fd);
	fixture_stop (&fixture);
}

static void
test_held_commit_confirmed (void)
{
	check_held_commit (false);
}

static void
test_held_commit_in_doubt (void)
{
	check_held_commit (true);
}

static void
sleep_until (int64_t time_us)
{
	int64_t now_us = clock_now_us ();

	if (now_us < time_us)
		g_usleep ((gulong) (time_us - now_us));
}

/* Guards against acknowledging a commit on the strength of the record of the change: a VM that learns late of a planned
 * change still runs statements when the claimant no longer waits for it. */
static void
test_commit_in_planned_change (void)
{
	enum
	{
		CHANGE_MS = 600,
		ANSWER_MS = SUCCESSION_AUTHORITY_MS + 100,
	};
	struct fixture fixture;
	int64_t start_us;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	fixture.databases[0].delay_ms = ANSWER_MS;
	start_us = clock_now_us ();
	send_views (&fixture, start_us);
	fd = open_session (&fixture, 0);
	send_line (fd, "QUERY w WRITE 1 data");
	g_assert_nonnull (fake_database_find (&fixture.databases[0], "w"));
	sleep_until (start_us + CHANGE_MS * US_PER_MS);
	fixture.change++;
	fixture.is_changing = true;
	fixture.is_planned = true;
	send_views (&fixture, clock_now_us ());
	sleep_until (start_us + (ANSWER_MS + 100) * US_PER_MS);
	gateway_traffic_send_records_valid (fixture.vms[0], clock_now_us ());
	g_usleep (20000);
	fixture.change++;
	fixture.is_changing = false;
	fixture.primary = 1;
	send_views (&fixture, clock_now_us ());
	ASSERT_CODE (read_answer (fd), "INDOUBT");
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against using the authority that comes with a new primary record for the former primary: after a zone was
 * cut off, waiting requests were executed there (STALE in run hunt-6f51-27 of Grindwell). */
static void
test_authority_renewed_with_new_record (void)
{
	struct fixture fixture;
	int running;
	int idle;
	int64_t expiry_us; /* When the authority over the first primary expires. */
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	fixture.target_latency_ms = 5000;
	expiry_us = clock_now_us () + US_PER_S;
	send_views (&fixture, expiry_us - SUCCESSION_AUTHORITY_MS * US_PER_MS);
	running = open_session (&fixture, 0);
	idle = open_session (&fixture, 0);
	/* The transaction occupies one connection, so that a second one is opened. */
	execute_line (idle, "QUERY b BEGIN READ");
	ASSERT_SERVED (execute_line (idle, "QUERY i READ 1"));
	ASSERT_SERVED (execute_line (running, "QUERY j READ 1"));
	execute_line (idle, "QUERY e ROLLBACK");
	g_usleep (50000);
	/* Shorter than the silence after which the server would count as unreachable. */
	fixture.databases[0].read_delay_ms = 400;
	wait_until (expiry_us - 100 * US_PER_MS);
	send_line (running, "QUERY slow READ 1");
	g_assert_nonnull (fake_database_find (&fixture.databases[0], "slow"));
	fd = open_session (&fixture, 0);
	wait_until (expiry_us + 20 * US_PER_MS);
	send_line (fd, "QUERY r READ 1");
	g_usleep (30000);
	fixture.change++;
	fixture.primary = 1;
	fixture.databases[1].is_primary = true;
	send_views (&fixture, clock_now_us ());
	ASSERT_SERVED (read_answer (fd));
	ASSERT_SERVED (read_answer (running));
	g_usleep (1000000);
	/* Only the statements that were executed there before the new view. */
	g_assert_cmpuint (fixture.databases[0].statements->len, ==, 3);
	close (running);
	close (idle);
	close (fd);
	fixture_stop (&fixture);
}

/* A planned change of primary must abort open transactions at the old primary and report that it is quiesced. */
static void
test_planned_change_quiesces (void)
{
	struct fixture fixture;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	send_views (&fixture, clock_now_us ());
	fd = open_session (&fixture, 0);
	execute_line (fd, "QUERY b BEGIN");
	ASSERT_SERVED (execute_line (fd, "QUERY w WRITE 1 data"));
	fixture.change++;
	fixture.is_changing = true;
	send_views (&fixture, clock_now_us ());
	for (int wait = 0; wait < 100 && g_atomic_int_get (&fixture.quiesced) == 0; wait++)
		g_usleep (10000);
	g_assert_cmpint (fixture.quiesced, ==, 1);
	ASSERT_CODE (execute_line (fd, "QUERY c COMMIT"), "ABORTED");
	g_assert_cmpuint (fixture.databases[0].index, ==, 100);
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against forwarding all waiting reads to the primary at once after a restart, when no log position is known
 * yet: urgent requests queued behind them for 200 ms and more (run trouble-1 of Grindwell, after a power failure). */
static void
test_reads_after_a_restart (void)
{
	enum
	{
		READS = 12,
		SLOTS = 2,
	};
	struct fixture fixture;
	int fds[READS];

	fixture_start (&fixture, 2, ROUTE_BOUNDED_STALENESS);
	fixture.databases[0].read_delay_ms = 100;
	send_long_lived_views (&fixture);
	for (int i = 0; i < READS; i++)
		fds[i] = open_session (&fixture, 1);
	for (int i = 0; i < READS; i++)
	{
		char *read = g_strdup_printf ("QUERY r%d READ 1", i);

		send_line (fds[i], read);
		g_free (read);
	}
	for (int i = 0; i < READS; i++)
	{
		ASSERT_SERVED (read_answer (fds[i]));
		close (fds[i]);
	}
	/* The reads sent before the first answer, and as many that were sent with it. */
	g_assert_cmpuint (fixture.databases[0].statements->len, <=, 2 * SLOTS);
	fixture_stop (&fixture);
}

/* Guards against sending all waiting reads to a lagging replica every 0.1 s: a fifth of the statements that servers
 * received was refused (run scale-2 of Riga). One read at a time shows whether the replica has caught up. */
static void
test_replica_behind (void)
{
	enum
	{
		SESSIONS = 20,
		ROUNDS = 4,
		/* One read on each connection before the first refusal, and one trial every tenth of a second. */
		CONNECTIONS = 8,
		TRIAL_US = 100 * US_PER_MS,
	};
	struct fixture fixture;
	int64_t start_us = clock_now_us ();
	int fds[SESSIONS];

	fixture_start (&fixture, 1, ROUTE_BOUNDED_STALENESS);
	/* Long enough that no read times out on a busy machine. */
	fixture.target_latency_ms = 10000;
	fixture.databases[1].index = 50;
	fixture.databases[0].read_delay_ms = 20;
	send_long_lived_views (&fixture);
	for (int i = 0; i < SESSIONS; i++)
		fds[i] = open_session (&fixture, 0);
	for (int round = 0; round < ROUNDS; round++)
	{
		gateway_traffic_send_records_valid (fixture.vms[0], clock_now_us ());
		for (int i = 0; i < SESSIONS; i++)
		{
			char *read = g_strdup_printf ("QUERY r%d-%d READ 1", round, i);

			send_line (fds[i], read);
			g_free (read);
		}
		for (int i = 0; i < SESSIONS; i++)
			ASSERT_SERVED (read_answer (fds[i]));
	}
	for (int i = 0; i < SESSIONS; i++)
		close (fds[i]);

	g_assert_cmpint (fixture.databases[1].refused, <=,
	                 CONNECTIONS + (clock_now_us () - start_us) / TRIAL_US);
	fixture_stop (&fixture);
}

/* Guards against a change of primary that waits for the position of a replica that is about to shut down: its connection was
 * closed before it was asked. It counts as long as it runs. */
static void
check_status_of_draining_replica (int vm_count)
{
	struct fixture fixture;
	int64_t end_us;

	fixture_start (&fixture, vm_count, ROUTE_BOUNDED_STALENESS);
	fixture.is_replica_draining = true;
	send_long_lived_views (&fixture);
	gateway_traffic_request_status (fixture.vms[vm_count - 1], "db1", 0);
	end_us = clock_now_us () + 20 * US_PER_S;
	while (g_atomic_int_get (&fixture.replica_statuses) == 0 && clock_now_us () < end_us)
		g_usleep (10 * US_PER_MS);
	g_assert_cmpint (g_atomic_int_get (&fixture.replica_statuses), >, 0);
	fixture_stop (&fixture);
}

static void
test_status_of_draining_replica (void)
{
	check_status_of_draining_replica (1);
}

/* The same through the owner, whose VM is in the replica's zone: it closed the connection that it had opened to ask. */
static void
test_status_of_draining_replica_forwarded (void)
{
	check_status_of_draining_replica (2);
}

/* A read must see its session's write: a replica that lacks it refuses, and the primary serves the read. */
static void
test_read_your_writes (void)
{
	struct fixture fixture;
	int fd;

	fixture_start (&fixture, 1, ROUTE_READ_YOUR_WRITES);
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, 0);
	for (int i = 0; i < 5; i++)
	{
		char *write = g_strdup_printf ("QUERY w%d WRITE 1 data", i);
		char *read = g_strdup_printf ("QUERY r%d READ 1", i);
		char *id = g_strdup_printf ("r%d", i);

		ASSERT_SERVED (execute_line (fd, write));
		ASSERT_SERVED (execute_line (fd, read));
		g_assert_nonnull (fake_database_find (&fixture.databases[0], id));
		g_free (write);
		g_free (read);
		g_free (id);
	}
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against stale reads after a change of primary: a session with a commit from before the change required only
 * the oldest sampled position, which may be older than the staleness bound (STALE in run trouble-2 of Grindwell). */
static void
test_position_after_a_change (void)
{
	struct service service = { .record_change = 2, .record_adopted_us = 10 * US_PER_S };
	struct session session = {
		.service = &service,
		.route_kind = ROUTE_READ_YOUR_WRITES,
		.max_staleness_ms = 2500,
		.commits = { .commits = { { .change = 1, .position = { 1, 90 } } }, .count = 1 },
		.request.arrived_us = 40 * US_PER_S,
	};
	struct log_position position;

	position_history_init (&service.history);
	position_history_add (&service.history, 20 * US_PER_S, (struct log_position){ 2, 100 });
	position_history_add (&service.history, 39 * US_PER_S, (struct log_position){ 2, 200 });
	g_assert_true (session_find_required_position (&session, &position));
	g_assert_cmpuint (position.index, ==, 200);
	session.commits.commits[0].change = 2;
	session.commits.commits[0].position = (struct log_position){ 2, 210 };
	g_assert_true (session_find_required_position (&session, &position));
	g_assert_cmpuint (position.index, ==, 210);
}

/* Guards against a position in answers that the owner gives itself: only the server's answers carry one, since a
 * position that the owner learned earlier would count as a current sample (STALE in run scale-1 of Grindwell). */
static void
test_owner_answers_without_position (void)
{
	struct fixture fixture;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, 0);
	ASSERT_SERVED (execute_line (fd, "QUERY r READ 1"));
	close (fd);
	fd = connect_port (fixture.relay_ports[0]);
	g_assert_cmpstr (execute_line (fd, "START s vm9 db0"), ==, "READY I -\r\n");
	g_assert_cmpstr (execute_line (fd, "QUERY - SET v0 x"), ==,
	                 "COMPLETE -\r\nREADY I - LOAD 0 0\r\n");
	g_assert_cmpstr (execute_line (fd, "QUERY - BEGIN"), ==,
	                 "COMPLETE -\r\nREADY T - LOAD 0 0\r\n");
	g_assert_cmpstr (execute_line (fd, "QUERY w RANK 0 500 0 WRITE 1 data"), ==,
	                 "COMPLETE mac.2\r\nREADY T 1.100 LOAD 0 0\r\n");
	g_assert_cmpstr (execute_line (fd, "QUERY c COMMIT"), ==,
	                 "COMPLETE mac.3\r\nREADY I 1.101 LOAD 0 0\r\n");
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against statements of other sessions inside a forwarded transaction: its connection was reused when the
 * server's entry expired while the transaction was open (PINNED in run scale-1 of Riga). */
static void
test_server_entry_expires_in_forwarded_transaction (void)
{
	struct fixture fixture;
	int forwarded;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	fixture.max_connections = 1;
	send_long_lived_views (&fixture);
	forwarded = connect_port (fixture.relay_ports[0]);
	execute_line (forwarded, "START s vm9 db0");
	execute_line (forwarded, "QUERY - BEGIN");
	ASSERT_SERVED (execute_line (forwarded, "QUERY w1 RANK 0 500 0 WRITE 1 data"));
	fixture.omits_servers = true;
	send_long_lived_views (&fixture);
	send_line (forwarded, "QUERY w2 RANK 0 500 0 WRITE 2 data");
	read_answer (forwarded);
	fixture.omits_servers = false;
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, 0);
	send_line (fd, "QUERY r READ 1");
	execute_line (forwarded, "QUERY - ROLLBACK");
	ASSERT_SERVED (read_answer (fd));
	g_assert_false (fake_database_find (&fixture.databases[0], "r")->is_in_transaction);
	close (forwarded);
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against a traffic thread that never leaves the queue: a statement was forwarded for a server whose entry had just
 * lapsed, while an idle connection to it was open (review of case 2, 5 of 5 runs). */
static void
test_forwarded_after_entry_lapsed (void)
{
	struct fixture fixture;
	int forwarded;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, 0);
	ASSERT_SERVED (execute_line (fd, "QUERY r READ 1"));
	forwarded = connect_port (fixture.relay_ports[0]);
	execute_line (forwarded, "START s vm9 db0");
	ASSERT_SERVED (execute_line (forwarded, "QUERY f1 RANK 0 500 0 READ 1"));
	fixture.omits_servers = true;
	send_long_lived_views (&fixture);
	ASSERT_CODE (execute_line (forwarded, "QUERY f2 RANK 0 500 0 READ 1"), "BUSY");
	close (open_session (&fixture, 0));
	fixture.omits_servers = false;
	send_long_lived_views (&fixture);
	ASSERT_SERVED (execute_line (forwarded, "QUERY f3 RANK 0 500 0 READ 1"));
	close (forwarded);
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against the use of a freed queue entry: a server whose address changes to one that can't be connected to fails
 * within the pass of the queue, which closes the other forwarded sessions that wait for it (seen in review). */
static void
check_connect_fails_at_once (uint32_t ip)
{
	enum
	{
		SESSIONS = 8,
	};
	struct fixture fixture;
	int fds[SESSIONS];

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	fixture.databases[0].read_delay_ms = 300;
	send_long_lived_views (&fixture);
	close (open_session (&fixture, 0));
	for (int i = 0; i < SESSIONS; i++)
	{
		char *read = g_strdup_printf ("QUERY f%d RANK 0 10000 0 READ 1", i);

		fds[i] = connect_port (fixture.relay_ports[0]);
		g_assert_cmpstr (execute_line (fds[i], "START s vm9 db0"), ==, "READY I -\r\n");
		send_line (fds[i], read);
		g_free (read);
	}
	g_assert_nonnull (fake_database_find (&fixture.databases[0], "f0"));
	fixture.server_ip = ip;
	send_long_lived_views (&fixture);
	/* The forwarding VM retries at another server. */
	for (int i = 0; i < SESSIONS; i++)
	{
		g_assert_null (strstr (read_answer (fds[i]), "ERROR"));
		close (fds[i]);
	}
	fixture.server_ip = INADDR_LOOPBACK;
	send_long_lived_views (&fixture);
	close (open_session (&fixture, 0));
	fixture_stop (&fixture);
}

static void
test_connect_fails_at_once (void)
{
	enum
	{
		RESERVED_IP = 0xf0000001u, /* 240.0.0.1 */
	};

	check_connect_fails_at_once (RESERVED_IP);
	check_connect_fails_at_once (INADDR_BROADCAST);
}

static void
handle_stall (struct mailbox_message *message, void *receiver)
{
	(void) receiver;
	g_usleep (600000);
	g_free (message);
}

/* Guards against a readiness that says nothing about the thread that serves: a hung VM went on getting callers. */
static void
test_turns (void)
{
	struct fixture fixture;
	struct mailbox_message *message = g_new0 (struct mailbox_message, 1);
	int64_t sent_us;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	while (gateway_traffic_get_turns (fixture.vms[0]).turned_us == 0)
		g_usleep (1000);
	message->handle_message = handle_stall;
	sent_us = clock_now_us ();
	mailbox_send (&fixture.vms[0]->mailbox, message);
	g_usleep (500000);
	/* The turn in which the message is read may have begun before it was sent. */
	g_assert_cmpint (gateway_traffic_get_turns (fixture.vms[0]).turned_us, <,
	                 sent_us + 100 * US_PER_MS);
	while (gateway_traffic_get_turns (fixture.vms[0]).turned_us < sent_us + 600 * US_PER_MS)
		g_usleep (1000);
	g_usleep (50000);
	g_assert_cmpint (gateway_traffic_get_turns (fixture.vms[0]).longest_us, >=, 500 * US_PER_MS);
	fixture_stop (&fixture);
}

/* Guards against statements that go on running where a server listened before it started again under its id at another
 * address: a connection was kept, since all servers count as unlisted while a view is applied. */
static void
test_server_moves (void)
{
	struct fixture fixture;
	uint16_t port;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, 0);
	ASSERT_SERVED (execute_line (fd, "QUERY r0 READ 1"));
	port = fixture.databases[0].port;
	fixture.databases[0].port = fixture.databases[1].port;
	fixture.databases[1].port = port;
	g_mutex_lock (&fixture.databases[1].mutex);
	fixture.databases[1].own_id = fixture.databases[0].id;
	g_mutex_unlock (&fixture.databases[1].mutex);
	send_long_lived_views (&fixture);
	g_usleep (100 * US_PER_MS);
	ASSERT_SERVED (execute_line (fd, "QUERY r1 READ 1"));
	g_assert_nonnull (fake_database_find (&fixture.databases[1], "r1"));
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against a primary that drains and stays in use until it ends, e.g. because no VM may claim a change: all have started
 * since it announced that (DRAIN). */
static void
check_primary_past_use (int vm_count)
{
	struct fixture fixture;
	int fd;

	fixture_start (&fixture, vm_count, ROUTE_PRIMARY);
	fixture.statement_timeout_ms = 500;
	fixture.primary_use_end_us = clock_now_us () + 60 * US_PER_S;
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, vm_count - 1);
	ASSERT_SERVED (execute_line (fd, "QUERY r0 READ 1"));
	fixture.primary_use_end_us = 1;
	send_long_lived_views (&fixture);
	g_usleep (100 * US_PER_MS);
	ASSERT_CODE (execute_line (fd, "QUERY r1 READ 1"), "BUSY");
	g_assert_cmpuint (fixture.databases[0].statements->len, ==, 1);
	close (fd);
	fixture_stop (&fixture);
}

static void
test_primary_past_use (void)
{
	check_primary_past_use (1);
}

static void
test_primary_past_use_forwarded (void)
{
	check_primary_past_use (2);
}

/* Guards against idle sessions that stay at an isolated VM: they stayed for 2.2 s, and permanently when they were
 * opened late (runs with cut-off zones). The VM must close them as soon as the load balancer has taken it out of
 * rotation, and not before. */
static void
test_isolated_vm_closes_idle_sessions (void)
{
	struct fixture fixture;
	char byte;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, 0);
	fixture.is_isolated = true;
	send_long_lived_views (&fixture);
	g_usleep (400000);
	g_assert_cmpint (recv (fd, &byte, 1, MSG_DONTWAIT), ==, -1);
	g_assert_cmpint (errno, ==, EAGAIN);
	fixture.is_out_of_rotation = true;
	send_long_lived_views (&fixture);
	g_usleep (400000);
	g_assert_cmpint (recv (fd, &byte, 1, MSG_DONTWAIT), ==, 0);
	close (fd);
	/* A caller that connects now has found no better VM, and its session stays open. */
	fd = open_session (&fixture, 0);
	g_usleep (400000);
	g_assert_cmpint (recv (fd, &byte, 1, MSG_DONTWAIT), ==, -1);
	close (fd);
	fixture_stop (&fixture);
}

/* Callers must not send statements that are reserved for VMs, and a malformed line must end the session. */
static void
test_malformed (void)
{
	struct fixture fixture;
	int fd;

	fixture_start (&fixture, 1, ROUTE_PRIMARY);
	send_long_lived_views (&fixture);
	fd = open_session (&fixture, 0);
	ASSERT_CODE (execute_line (fd, "QUERY 1 DEMOTE 7"), "MALFORMED");
	ASSERT_CODE (execute_line (fd, "QUERY 1 AFTER 1.1 READ 1"), "MALFORMED");
	ASSERT_CODE (execute_line (fd, "QUERY 1 COMMIT"), "MALFORMED");
	send_line (fd, "HELLO");
	ASSERT_CODE (read_answer (fd), "MALFORMED");
	close (fd);
	fd = connect_port (fixture.caller_ports[0]);
	ASSERT_CODE (execute_line (fd, "START none who"), "NODB");
	close (fd);
	fixture_stop (&fixture);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway/session_state", test_session_state);
	g_test_add_func ("/gateway/session_state_owner", test_session_state_forwarded);
	g_test_add_func ("/gateway/transaction", test_transaction);
	g_test_add_func ("/gateway/transaction_owner", test_transaction_forwarded);
	g_test_add_func ("/gateway/no_authority", test_no_authority);
	g_test_add_func ("/gateway/held_confirmed", test_held_commit_confirmed);
	g_test_add_func ("/gateway/held_in_doubt", test_held_commit_in_doubt);
	g_test_add_func ("/gateway/planned_commit", test_commit_in_planned_change);
	g_test_add_func ("/gateway/new_lead", test_authority_renewed_with_new_record);
	g_test_add_func ("/gateway/ordered_change", test_planned_change_quiesces);
	g_test_add_func ("/gateway/reads_after_restart", test_reads_after_a_restart);
	g_test_add_func ("/gateway/draining_replica", test_status_of_draining_replica);
	g_test_add_func ("/gateway/draining_replica_owner", test_status_of_draining_replica_forwarded);
	g_test_add_func ("/gateway/replica_behind", test_replica_behind);
	g_test_add_func ("/gateway/read_your_writes", test_read_your_writes);
	g_test_add_func ("/gateway/position_after_change", test_position_after_a_change);
	g_test_add_func ("/gateway/owner_positions", test_owner_answers_without_position);
	g_test_add_func ("/gateway/lapsed_entry", test_server_entry_expires_in_forwarded_transaction);
	g_test_add_func ("/gateway/forwarded_after_lapse", test_forwarded_after_entry_lapsed);
	g_test_add_func ("/gateway/connect_fails_at_once", test_connect_fails_at_once);
	g_test_add_func ("/gateway/turns", test_turns);
	g_test_add_func ("/gateway/cut_off", test_isolated_vm_closes_idle_sessions);
	g_test_add_func ("/gateway/server_moves", test_server_moves);
	g_test_add_func ("/gateway/past_use", test_primary_past_use);
	g_test_add_func ("/gateway/past_use_owner", test_primary_past_use_forwarded);
	g_test_add_func ("/gateway/malformed", test_malformed);
	return g_test_run ();
}
