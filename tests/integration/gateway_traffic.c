/* Guards the sessions of the gateway: what a server runs, on which connection and with which session state, and what
 * callers are told while primaries change. */
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

/** One or two VMs before a primary and a replica. */
struct world
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
	uint64_t revision;
	int primary;
	bool is_changing;
	bool hides_servers;
	bool is_isolated;
	bool is_out_of_rotation;
	int quiesced;
};

static void
handle_report (void *data, struct server_report *report)
{
	(void) data;
	g_free (report->server);
	g_free (report->service);
	g_free (report);
}

static void
handle_quiesced (void *data, const char *service, uint64_t revision)
{
	struct world *world = data;

	(void) service;
	(void) revision;
	g_atomic_int_inc (&world->quiesced);
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
make_configuration (const struct world *world)
{
	struct configuration *configuration = configuration_new ();
	struct route *route = g_new0 (struct route, 1);
	struct database_service *service = g_new0 (struct database_service, 1);

	*route = (struct route){
		.database = g_strdup ("db"),
		.service = g_strdup ("s"),
		.kind = world->kind,
		.statement_timeout_ms = 1500,
		.target_latency_ms = world->target_latency_ms,
		.max_staleness_ms = 1000,
	};
	*service = (struct database_service){
		.name = g_strdup ("s"),
		.max_connections = world->max_connections,
	};
	g_hash_table_insert (configuration->routes, route->database, route);
	g_hash_table_insert (configuration->services, service->name, service);
	configuration->version = 1;
	configuration->transaction_idle_ms = 3000;
	return configuration;
}

static void
send_view (struct world *world, int vm, int64_t records_valid_us)
{
	struct view *view = view_new ();
	struct primary_record primary_record = {
		.service = g_strdup ("s"),
		.primary = g_strdup (world->databases[world->primary].id),
		.revision = world->revision,
		.is_changing = world->is_changing,
	};

	view->configuration = make_configuration (world);
	g_array_append_val (view->records, primary_record);
	for (int i = 0; i < 2 && !world->hides_servers; i++)
	{
		struct server_entry entry = {
			.id = g_strdup (world->databases[i].id),
			.service = g_strdup ("s"),
			.zone = g_strdup ("a"),
			.ip = INADDR_LOOPBACK,
			.port = world->databases[i].port,
			.slots = 2,
		};

		g_array_append_val (view->servers, entry);
	}
	for (int i = 0; i < world->vm_count; i++)
	{
		struct view_member member = {
			.vm = g_strdup (world->names[i]),
			.zone = g_strdup (world->zones[i]),
			.ip = INADDR_LOOPBACK,
			.port = world->relay_ports[i],
		};

		if (i != vm)
			g_array_append_val (view->members, member);
		else
			g_free (member.vm), g_free (member.zone);
	}
	view->knows_members = true;
	view->vm_count = (uint32_t) world->vm_count;
	view->is_registered = true;
	view->is_isolated = world->is_isolated;
	view->is_out_of_rotation = world->is_out_of_rotation;
	view->records_valid_us = records_valid_us;
	gateway_traffic_send_view (world->vms[vm], view);
}

static void
send_views (struct world *world, int64_t records_valid_us)
{
	for (int i = 0; i < world->vm_count; i++)
		send_view (world, i, records_valid_us);
}

/** Knowledge that lasts for the whole test: on a busy machine a test takes longer than the authority over a primary. */
static void
send_lasting_views (struct world *world)
{
	send_views (world, clock_now_us () + 60 * US_PER_S);
}

static void
world_start (struct world *world, int vm_count, enum route_kind kind)
{
	memset (world, 0, sizeof *world);
	fake_database_start (&world->databases[0], "db0", true);
	fake_database_start (&world->databases[1], "db1", false);
	world->vm_count = vm_count;
	world->kind = kind;
	world->max_connections = 8;
	world->target_latency_ms = 1000;
	world->revision = 10;
	world->zones[0] = "a";
	world->zones[1] = "b";
	for (int i = 0; i < vm_count; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = world->names[i],
			.zone = world->zones[i],
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 100,
		};

		snprintf (world->names[i], sizeof world->names[i], "vm%d", i);
		settings.caller_port = world->caller_ports[i] = free_port ();
		settings.relay_port = world->relay_ports[i] = free_port ();
		world->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (world->vms[i]);
		g_assert_cmpint (gateway_traffic_start (world->vms[i], &events, world), ==, 0);
	}
}

static void
world_stop (struct world *world)
{
	for (int i = 0; i < world->vm_count; i++)
		gateway_traffic_free (world->vms[i]);
	fake_database_stop (&world->databases[0]);
	fake_database_stop (&world->databases[1]);
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
say (int fd, const char *line)
{
	char *text = g_strdup_printf ("%s\r\n", line);

	g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==, (int) strlen (text));
	g_free (text);
}

/** Reads up to the line that starts with READY. */
static const char *
hear (int fd)
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
ask (int fd, const char *line)
{
	say (fd, line);
	return hear (fd);
}

static int
open_session (const struct world *world, int vm)
{
	int fd = connect_port (world->caller_ports[vm]);

	g_assert_cmpstr (ask (fd, "START db who"), ==, "READY I -\r\n");
	return fd;
}

#define ASSERT_SERVED(answer)     g_assert_nonnull (strstr (answer, "COMPLETE mac"))
#define ASSERT_CODE(answer, code) g_assert_nonnull (strstr (answer, "ERROR " code))

static void
wait_until (int64_t time_us)
{
	int64_t left_us = time_us - clock_now_us ();

	if (left_us > 0)
		g_usleep ((gulong) left_us);
}

/* Sessions share connections: each statement must meet its own session's values and shapes. */
static void
check_session_state (int vm_count, int vm)
{
	struct world world;
	int first;
	int second;

	world_start (&world, vm_count, ROUTE_PRIMARY);
	world.max_connections = 1;
	send_lasting_views (&world);
	first = open_session (&world, vm);
	second = open_session (&world, vm);
	ask (first, "QUERY s SET v0 one");
	ask (first, "QUERY p PREPARE name READ shape1");
	ask (second, "QUERY s SET v0 two");
	ask (second, "QUERY s SET v1 more");
	ask (second, "QUERY p PREPARE name WRITE shape2");
	for (int i = 0; i < 3; i++)
	{
		char *read = g_strdup_printf ("QUERY r%d EXECUTE name 1", i);
		char *write = g_strdup_printf ("QUERY w%d EXECUTE name 1 data", i);

		ASSERT_SERVED (ask (first, read));
		ASSERT_SERVED (ask (second, write));
		g_free (read);
		g_free (write);
	}
	g_assert_cmpstr (fake_database_find (&world.databases[0], "r2")->value, ==, "one");
	g_assert_cmpstr (fake_database_find (&world.databases[0], "r2")->shape, ==, "READ shape1");
	g_assert_cmpstr (fake_database_find (&world.databases[0], "w2")->value, ==, "two");
	g_assert_cmpstr (fake_database_find (&world.databases[0], "w2")->shape, ==, "WRITE shape2");
	ASSERT_CODE (ask (first, "QUERY x EXECUTE other 1"), "NOSTMT");
	close (first);
	close (second);
	world_stop (&world);
}

static void
test_session_state (void)
{
	check_session_state (1, 0);
}

static void
test_session_state_over_the_owner (void)
{
	check_session_state (2, 1);
}

/* Statements of a transaction stay on one connection, which nobody else uses; a caller that leaves is rolled back. */
static void
check_transaction (int vm_count, int vm)
{
	struct world world;
	const struct fake_statement *write;
	const struct fake_statement *read;
	int first;
	int second;

	world_start (&world, vm_count, ROUTE_PRIMARY);
	send_lasting_views (&world);
	first = open_session (&world, vm);
	second = open_session (&world, vm);
	g_assert_cmpstr (ask (first, "QUERY b BEGIN"), ==, "COMPLETE -\r\nREADY T -\r\n");
	ASSERT_SERVED (ask (first, "QUERY w1 WRITE 1 data"));
	ASSERT_SERVED (ask (second, "QUERY r1 READ 1"));
	ASSERT_SERVED (ask (first, "QUERY w2 WRITE 2 data"));
	write = fake_database_find (&world.databases[0], "w1");
	read = fake_database_find (&world.databases[0], "r1");
	g_assert_true (write->is_in_transaction);
	g_assert_false (read->is_in_transaction);
	g_assert_cmpint (write->connection, !=, read->connection);
	g_assert_cmpint (fake_database_find (&world.databases[0], "w2")->connection, ==,
	                 write->connection);
	close (first);
	for (int wait = 0; wait < 100 && g_atomic_int_get (&world.databases[0].rollbacks) == 0; wait++)
		g_usleep (10000);
	g_assert_cmpint (world.databases[0].rollbacks, ==, 1);
	g_assert_cmpuint (world.databases[0].index, ==, 100);
	close (second);
	world_stop (&world);
}

static void
test_transaction (void)
{
	check_transaction (1, 0);
}

static void
test_transaction_over_the_owner (void)
{
	check_transaction (2, 1);
}

/* Without fresh knowledge of the lead nothing may run at the primary, and the refusal is true. */
static void
test_no_authority (void)
{
	struct world world;
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	world.target_latency_ms = 200;
	send_views (&world, clock_now_us () - SUCCESSION_AUTHORITY_MS * US_PER_MS);
	fd = open_session (&world, 0);
	ASSERT_CODE (ask (fd, "QUERY w WRITE 1 data"), "BUSY");
	g_assert_cmpuint (world.databases[0].statements->len, ==, 0);
	close (fd);
	world_stop (&world);
}

/* A commit that is answered after the authority has run out is confirmed by newer knowledge, or is in doubt. */
static void
check_held_commit (bool is_replaced)
{
	struct world world;
	int64_t records_valid_us;
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	world.databases[0].delay_ms = 500;
	records_valid_us = clock_now_us () - (SUCCESSION_AUTHORITY_MS - 300) * US_PER_MS;
	send_views (&world, records_valid_us);
	fd = open_session (&world, 0);
	say (fd, "QUERY w WRITE 1 data");
	g_assert_nonnull (fake_database_find (&world.databases[0], "w"));
	g_usleep (700000);
	if (is_replaced)
	{
		world.revision++;
		world.is_changing = true;
		send_views (&world, clock_now_us ());
		ASSERT_CODE (hear (fd), "INDOUBT");
	}
	else
	{
		gateway_traffic_send_records_valid (world.vms[0], clock_now_us ());
		ASSERT_SERVED (hear (fd));
	}
	close (fd);
	world_stop (&world);
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

/* The knowledge that comes with a new lead must not be used for the former primary: after a zone cut, requests that
 * had waited ran there (STALE on hunt-6f51-27 of Grindwell). */
static void
test_new_lead_before_new_knowledge (void)
{
	struct world world;
	int running;
	int idle;
	int64_t expiry_us; /* Of the authority over the first primary. */
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	world.target_latency_ms = 5000;
	expiry_us = clock_now_us () + US_PER_S;
	send_views (&world, expiry_us - SUCCESSION_AUTHORITY_MS * US_PER_MS);
	running = open_session (&world, 0);
	idle = open_session (&world, 0);
	/* A transaction holds one connection, so that there are two. */
	ask (idle, "QUERY b BEGIN READ");
	ASSERT_SERVED (ask (idle, "QUERY i READ 1"));
	ASSERT_SERVED (ask (running, "QUERY j READ 1"));
	ask (idle, "QUERY e ROLLBACK");
	g_usleep (50000);
	/* Below the silence after which the server would count as unreachable. */
	world.databases[0].read_delay_ms = 400;
	wait_until (expiry_us - 100 * US_PER_MS);
	say (running, "QUERY slow READ 1");
	g_assert_nonnull (fake_database_find (&world.databases[0], "slow"));
	fd = open_session (&world, 0);
	wait_until (expiry_us + 20 * US_PER_MS);
	say (fd, "QUERY r READ 1");
	g_usleep (30000);
	world.revision++;
	world.primary = 1;
	world.databases[1].is_primary = true;
	send_views (&world, clock_now_us ());
	ASSERT_SERVED (hear (fd));
	ASSERT_SERVED (hear (running));
	g_usleep (1000000);
	/* Only what ran there before the new view. */
	g_assert_cmpuint (world.databases[0].statements->len, ==, 3);
	close (running);
	close (idle);
	close (fd);
	world_stop (&world);
}

/* An ordered change ends what runs at the primary, and is reported. */
static void
test_ordered_change_quiesces (void)
{
	struct world world;
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	send_views (&world, clock_now_us ());
	fd = open_session (&world, 0);
	ask (fd, "QUERY b BEGIN");
	ASSERT_SERVED (ask (fd, "QUERY w WRITE 1 data"));
	world.revision++;
	world.is_changing = true;
	send_views (&world, clock_now_us ());
	for (int wait = 0; wait < 100 && g_atomic_int_get (&world.quiesced) == 0; wait++)
		g_usleep (10000);
	g_assert_cmpint (world.quiesced, ==, 1);
	ASSERT_CODE (ask (fd, "QUERY c COMMIT"), "ABORTED");
	g_assert_cmpuint (world.databases[0].index, ==, 100);
	close (fd);
	world_stop (&world);
}

/* After a restart no position is known yet: all waiting reads were forwarded to the primary at once, where urgent work
 * queued behind them for 200 ms and more (trouble-1 of Grindwell, after a loss of power). */
static void
test_reads_after_a_restart (void)
{
	enum
	{
		READS = 12,
		SLOTS = 2,
	};
	struct world world;
	int fds[READS];

	world_start (&world, 2, ROUTE_BOUNDED_STALENESS);
	world.databases[0].read_delay_ms = 100;
	send_lasting_views (&world);
	for (int i = 0; i < READS; i++)
		fds[i] = open_session (&world, 1);
	for (int i = 0; i < READS; i++)
	{
		char *read = g_strdup_printf ("QUERY r%d READ 1", i);

		say (fds[i], read);
		g_free (read);
	}
	for (int i = 0; i < READS; i++)
	{
		ASSERT_SERVED (hear (fds[i]));
		close (fds[i]);
	}
	/* Those before the first answer, and as many that were sent with it. */
	g_assert_cmpuint (world.databases[0].statements->len, <=, 2 * SLOTS);
	world_stop (&world);
}

/* Each VM sent all its waiting reads to a replica that lagged, every 0.1 s: a fifth of what the servers received was refused
 * (scale-2 of Riga). One read at a time shows whether it has caught up. */
static void
test_replica_behind (void)
{
	enum
	{
		SESSIONS = 20,
		ROUNDS = 4,
		/* A read on each connection before the first refusal, and a trial every tenth of a second. */
		CONNECTIONS = 8,
		TRIAL_US = 100 * US_PER_MS,
	};
	struct world world;
	int64_t began_us = clock_now_us ();
	int fds[SESSIONS];

	world_start (&world, 1, ROUTE_BOUNDED_STALENESS);
	/* No read is given up on a busy machine. */
	world.target_latency_ms = 10000;
	world.databases[1].index = 50;
	world.databases[0].read_delay_ms = 20;
	send_lasting_views (&world);
	for (int i = 0; i < SESSIONS; i++)
		fds[i] = open_session (&world, 0);
	for (int round = 0; round < ROUNDS; round++)
	{
		gateway_traffic_send_records_valid (world.vms[0], clock_now_us ());
		for (int i = 0; i < SESSIONS; i++)
		{
			char *read = g_strdup_printf ("QUERY r%d-%d READ 1", round, i);

			say (fds[i], read);
			g_free (read);
		}
		for (int i = 0; i < SESSIONS; i++)
			ASSERT_SERVED (hear (fds[i]));
	}
	for (int i = 0; i < SESSIONS; i++)
		close (fds[i]);

	g_assert_cmpint (world.databases[1].refused, <=,
	                 CONNECTIONS + (clock_now_us () - began_us) / TRIAL_US);
	world_stop (&world);
}

/* A read sees its session's write: the replica that lacks it refuses, and the primary serves. */
static void
test_read_your_writes (void)
{
	struct world world;
	int fd;

	world_start (&world, 1, ROUTE_READ_YOUR_WRITES);
	send_lasting_views (&world);
	fd = open_session (&world, 0);
	for (int i = 0; i < 5; i++)
	{
		char *write = g_strdup_printf ("QUERY w%d WRITE 1 data", i);
		char *read = g_strdup_printf ("QUERY r%d READ 1", i);
		char *id = g_strdup_printf ("r%d", i);

		ASSERT_SERVED (ask (fd, write));
		ASSERT_SERVED (ask (fd, read));
		g_assert_nonnull (fake_database_find (&world.databases[0], id));
		g_free (write);
		g_free (read);
		g_free (id);
	}
	close (fd);
	world_stop (&world);
}

/* After a change of primary, a session with an earlier commit took the oldest sample of all, which may be older than the
 * bound (STALE on trouble-2 of Grindwell). */
static void
test_position_after_a_change (void)
{
	struct service service = { .record_revision = 2, .changing_us = 10 * US_PER_S };
	struct session session = {
		.service = &service,
		.route_kind = ROUTE_READ_YOUR_WRITES,
		.max_staleness_ms = 2500,
		.committed = { 1, 90 },
		.committed_revision = 1,
		.request.arrived_us = 40 * US_PER_S,
	};
	struct log_position position;

	position_history_init (&service.history);
	position_history_add (&service.history, 20 * US_PER_S, (struct log_position){ 2, 100 });
	position_history_add (&service.history, 39 * US_PER_S, (struct log_position){ 2, 200 });
	g_assert_true (session_find_required_position (&session, &position));
	g_assert_cmpuint (position.index, ==, 200);
	session.committed_revision = 2;
	session.committed = (struct log_position){ 2, 210 };
	g_assert_true (session_find_required_position (&session, &position));
	g_assert_cmpuint (position.index, ==, 210);
}

/* Only the server's own answers carry a position: the owner's earlier knowledge would count as a sample of the present
 * (STALE on scale-1 of Grindwell). */
static void
test_owner_answers_without_position (void)
{
	struct world world;
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	send_lasting_views (&world);
	fd = open_session (&world, 0);
	ASSERT_SERVED (ask (fd, "QUERY r READ 1"));
	close (fd);
	fd = connect_port (world.relay_ports[0]);
	g_assert_cmpstr (ask (fd, "START s vm9 db0"), ==, "READY I -\r\n");
	g_assert_cmpstr (ask (fd, "QUERY - SET v0 x"), ==, "COMPLETE -\r\nREADY I -\r\n");
	g_assert_cmpstr (ask (fd, "QUERY - BEGIN"), ==, "COMPLETE -\r\nREADY T -\r\n");
	g_assert_cmpstr (ask (fd, "QUERY w RANK 0 500 0 WRITE 1 data"), ==,
	                 "COMPLETE mac\r\nREADY T 1.100\r\n");
	g_assert_cmpstr (ask (fd, "QUERY c COMMIT"), ==, "COMPLETE mac\r\nREADY I 1.101\r\n");
	close (fd);
	world_stop (&world);
}

/* An entry lapses while a forwarded transaction is open: its connection must not serve others inside of it (PINNED on
 * scale-1 of Riga). */
static void
test_lapsed_entry_in_forwarded_transaction (void)
{
	struct world world;
	int forwarded;
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	world.max_connections = 1;
	send_lasting_views (&world);
	forwarded = connect_port (world.relay_ports[0]);
	ask (forwarded, "START s vm9 db0");
	ask (forwarded, "QUERY - BEGIN");
	ASSERT_SERVED (ask (forwarded, "QUERY w1 RANK 0 500 0 WRITE 1 data"));
	world.hides_servers = true;
	send_lasting_views (&world);
	say (forwarded, "QUERY w2 RANK 0 500 0 WRITE 2 data");
	hear (forwarded);
	world.hides_servers = false;
	send_lasting_views (&world);
	fd = open_session (&world, 0);
	say (fd, "QUERY r READ 1");
	ask (forwarded, "QUERY - ROLLBACK");
	ASSERT_SERVED (hear (fd));
	g_assert_false (fake_database_find (&world.databases[0], "r")->is_in_transaction);
	close (forwarded);
	close (fd);
	world_stop (&world);
}

/* Idle callers of a VM that is cut off stayed with it for 2.2 s, and for good when they had come late; they leave as soon as
 * the balancer sends them elsewhere, and not before (days of cuts of zones). */
static void
test_cut_off_vm_lets_callers_go (void)
{
	struct world world;
	char byte;
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	send_lasting_views (&world);
	fd = open_session (&world, 0);
	world.is_isolated = true;
	send_lasting_views (&world);
	g_usleep (400000);
	g_assert_cmpint (recv (fd, &byte, 1, MSG_DONTWAIT), ==, -1);
	g_assert_cmpint (errno, ==, EAGAIN);
	world.is_out_of_rotation = true;
	send_lasting_views (&world);
	g_usleep (400000);
	g_assert_cmpint (recv (fd, &byte, 1, MSG_DONTWAIT), ==, 0);
	close (fd);
	/* Who comes now has found no better VM. */
	fd = open_session (&world, 0);
	g_usleep (400000);
	g_assert_cmpint (recv (fd, &byte, 1, MSG_DONTWAIT), ==, -1);
	close (fd);
	world_stop (&world);
}

/* Callers must not use what only VMs may say, and a malformed line ends the session. */
static void
test_malformed (void)
{
	struct world world;
	int fd;

	world_start (&world, 1, ROUTE_PRIMARY);
	send_lasting_views (&world);
	fd = open_session (&world, 0);
	ASSERT_CODE (ask (fd, "QUERY 1 DEMOTE 7"), "MALFORMED");
	ASSERT_CODE (ask (fd, "QUERY 1 AFTER 1.1 READ 1"), "MALFORMED");
	ASSERT_CODE (ask (fd, "QUERY 1 COMMIT"), "MALFORMED");
	say (fd, "HELLO");
	ASSERT_CODE (hear (fd), "MALFORMED");
	close (fd);
	fd = connect_port (world.caller_ports[0]);
	ASSERT_CODE (ask (fd, "START none who"), "NODB");
	close (fd);
	world_stop (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway/session_state", test_session_state);
	g_test_add_func ("/gateway/session_state_owner", test_session_state_over_the_owner);
	g_test_add_func ("/gateway/transaction", test_transaction);
	g_test_add_func ("/gateway/transaction_owner", test_transaction_over_the_owner);
	g_test_add_func ("/gateway/no_authority", test_no_authority);
	g_test_add_func ("/gateway/held_confirmed", test_held_commit_confirmed);
	g_test_add_func ("/gateway/held_in_doubt", test_held_commit_in_doubt);
	g_test_add_func ("/gateway/new_lead", test_new_lead_before_new_knowledge);
	g_test_add_func ("/gateway/ordered_change", test_ordered_change_quiesces);
	g_test_add_func ("/gateway/reads_after_restart", test_reads_after_a_restart);
	g_test_add_func ("/gateway/replica_behind", test_replica_behind);
	g_test_add_func ("/gateway/read_your_writes", test_read_your_writes);
	g_test_add_func ("/gateway/position_after_change", test_position_after_a_change);
	g_test_add_func ("/gateway/owner_positions", test_owner_answers_without_position);
	g_test_add_func ("/gateway/lapsed_entry", test_lapsed_entry_in_forwarded_transaction);
	g_test_add_func ("/gateway/cut_off", test_cut_off_vm_lets_callers_go);
	g_test_add_func ("/gateway/malformed", test_malformed);
	return g_test_run ();
}
