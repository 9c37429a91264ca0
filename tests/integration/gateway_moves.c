/* Tests what a session sees of its own commits while its route moves between services, whose logs have nothing in common. */
#include "fake_database.h"
#include "free_port.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/traffic_private.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	SERVICES = 2,
	CHANGE = 10, /* Number of the record of both services. */
	ANSWER_BYTES = 2048,
	/* Longer than the spacing of the samples of a primary's position. */
	SAMPLED_US = 100 * US_PER_MS,
};

/** A VM in front of services with a primary and a replica each, which receives nothing unless a test says so. */
struct fixture
{
	struct fake_database primaries[SERVICES];
	struct fake_database replicas[SERVICES];
	struct gateway_traffic *vm;
	uint16_t caller_port;
	int fd; /**< Session of the test. */
	uint32_t writes;
};

static const char *const services[SERVICES] = { "one", "two" };
static const char *const primary_ids[SERVICES] = { "one0", "two0" };
static const char *const replica_ids[SERVICES] = { "one1", "two1" };

static void
add_server (struct view *view, const char *service, const struct fake_database *database)
{
	struct server_entry entry = {
		.id = g_strdup (database->id),
		.service = g_strdup (service),
		.zone = g_strdup ("a"),
		.ip = INADDR_LOOPBACK,
		.port = database->port,
		.slots = 2,
	};

	g_array_append_val (view->servers, entry);
}

/** Puts a configuration into force that gives the route to a service. */
static void
move_route (struct fixture *fixture, int target)
{
	struct view *view = view_new ();
	struct configuration *configuration = configuration_new ();
	struct route *route = g_new0 (struct route, 1);

	*route = (struct route){
		.database = g_strdup ("db"),
		.service = g_strdup (services[target]),
		.kind = ROUTE_READ_YOUR_WRITES,
		/* Long enough that nothing times out on a busy machine. */
		.statement_timeout_ms = 15000,
		.target_latency_ms = 10000,
		.max_staleness_ms = 60000,
	};
	g_hash_table_insert (configuration->routes, route->database, route);
	for (int i = 0; i < SERVICES; i++)
	{
		struct primary_record record = {
			.service = g_strdup (services[i]),
			.primary = g_strdup (primary_ids[i]),
			.change = CHANGE,
		};
		struct database_service *service = g_new0 (struct database_service, 1);

		*service =
			(struct database_service){ .name = g_strdup (services[i]), .max_connections = 8 };
		g_hash_table_insert (configuration->services, service->name, service);
		g_array_append_val (view->records, record);
		add_server (view, services[i], &fixture->primaries[i]);
		add_server (view, services[i], &fixture->replicas[i]);
	}
	configuration->version = 1;
	configuration->transaction_idle_ms = 60000;
	view->configuration = configuration;
	view->knows_members = true;
	view->vm_count = 1;
	view->is_registered = true;
	view->records_valid_us = clock_now_us () + 60 * US_PER_S;
	gateway_traffic_send_view (fixture->vm, view);
}

static int
connect_vm (const struct fixture *fixture)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (fixture->caller_port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	struct timeval limit = { .tv_sec = 20 };
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	return fd;
}

/** Sends a line and reads until READY. @return a static buffer. */
static const char *
execute (const struct fixture *fixture, const char *line)
{
	static char answer[ANSWER_BYTES];
	g_autofree char *text = g_strdup_printf ("%s\r\n", line);
	size_t length = 0;
	char *last = NULL;

	g_assert_cmpint (send (fixture->fd, text, strlen (text), MSG_NOSIGNAL), ==,
	                 (int) strlen (text));
	do
	{
		ssize_t count = recv (fixture->fd, answer + length, 1, 0);

		g_assert_cmpint (count, ==, 1);
		answer[++length] = '\0';
		last = g_strrstr (answer, "READY");
	} while (!last || !g_str_has_suffix (last, "\r\n"));
	return answer;
}

static void
start (struct fixture *fixture)
{
	struct gateway_traffic_settings settings = {
		.vm = "vm0",
		.zone = "a",
		.ip = INADDR_LOOPBACK,
		.grace_ms = 2000,
		.max_sessions = 100,
		.min_silence_ms = 60000,
	};

	memset (fixture, 0, sizeof *fixture);
	for (int i = 0; i < SERVICES; i++)
	{
		fake_database_start (&fixture->primaries[i], primary_ids[i], true);
		fake_database_start (&fixture->replicas[i], replica_ids[i], false);
	}
	settings.caller_port = fixture->caller_port = free_port ();
	settings.relay_port = free_port ();
	fixture->vm = gateway_traffic_new (&settings);
	g_assert_nonnull (fixture->vm);
	g_assert_cmpint (gateway_traffic_start (fixture->vm, &gateway_traffic_no_events, NULL), ==, 0);
	move_route (fixture, 0);
	fixture->fd = connect_vm (fixture);
	g_assert_cmpstr (execute (fixture, "START db who"), ==, "READY I -\r\n");
}

static void
stop (struct fixture *fixture)
{
	close (fixture->fd);
	gateway_traffic_free (fixture->vm);
	for (int i = 0; i < SERVICES; i++)
	{
		fake_database_stop (&fixture->primaries[i]);
		fake_database_stop (&fixture->replicas[i]);
	}
}

/** Commits in the log of a service, to which the route moves first. */
static void
commit_at (struct fixture *fixture, int service)
{
	char line[64];
	char id[16];

	move_route (fixture, service);
	snprintf (id, sizeof id, "w%u", fixture->writes++);
	snprintf (line, sizeof line, "QUERY %s WRITE 1 data", id);
	g_assert_nonnull (strstr (execute (fixture, line), "COMPLETE mac"));
	g_assert_nonnull (fake_database_find (&fixture->primaries[service], id));
}

/** Commits, and makes the replica hold that commit and nothing later. The sample of the position stays in the history. */
static void
commit_received (struct fixture *fixture, int service)
{
	commit_at (fixture, service);
	g_mutex_lock (&fixture->replicas[service].mutex);
	fixture->replicas[service].index = fixture->primaries[service].index;
	g_mutex_unlock (&fixture->replicas[service].mutex);
	g_usleep (SAMPLED_US);
}

/* Guards against a read that lacks the session's own commit after its route has moved to another service, where the
 * session committed as well, and back: the position of the one log was compared with that of the other (STALE). */
static void
test_moves_and_back (void)
{
	struct fixture fixture;

	start (&fixture);
	fixture.primaries[1].index = 10;
	commit_received (&fixture, 0);
	commit_received (&fixture, 0);
	commit_at (&fixture, 0);
	commit_at (&fixture, 1);
	move_route (&fixture, 0);
	g_assert_nonnull (strstr (execute (&fixture, "QUERY r READ 1"), "COMPLETE mac"));
	g_assert_nonnull (fake_database_find (&fixture.primaries[0], "r"));
	stop (&fixture);
}

/* The same for a transaction that only reads, which is pinned to the server of its first statement. */
static void
test_transaction_after_moves (void)
{
	struct fixture fixture;

	start (&fixture);
	fixture.primaries[1].index = 10;
	commit_received (&fixture, 0);
	commit_received (&fixture, 0);
	commit_at (&fixture, 0);
	commit_at (&fixture, 1);
	move_route (&fixture, 0);
	execute (&fixture, "QUERY b BEGIN READ");
	g_assert_nonnull (strstr (execute (&fixture, "QUERY r READ 1"), "COMPLETE mac"));
	g_assert_nonnull (strstr (execute (&fixture, "QUERY c COMMIT"), "COMPLETE mac"));
	g_assert_nonnull (fake_database_find (&fixture.primaries[0], "r"));
	stop (&fixture);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_moves/and_back", test_moves_and_back);
	g_test_add_func ("/gateway_moves/transaction", test_transaction_after_moves);
	return g_test_run ();
}
