/* Tests what callers are promised about statements whose answer does not arrive as it should: between the forwarding VM
 * and the owner of the server, and between the owner and the server. */
#include "fake_database.h"
#include "fault_link.h"
#include "free_port.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/traffic.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	VM_COUNT = 2,
	OWNER = 0,
	FORWARDER = 1,
	ANSWER_BYTES = 512,
	MAX_WRITES = 2,
	/* Time after the time limit in which a busy machine still has to answer. */
	ANSWER_SLACK_MS = 3000,
};

static const uint32_t timeouts_ms[] = { 100, 500, 2000, 5200, 6000, 60000 };

/** Two VMs in front of one server, with a link in front of the server and one in front of its owner. */
struct fixture
{
	struct fake_database database;
	struct fault_link server_link;
	struct fault_link owner_link;
	struct gateway_traffic *vms[VM_COUNT];
	uint16_t caller_ports[VM_COUNT];
	char names[VM_COUNT][8];
	uint32_t min_silence_ms;
	uint32_t slots;
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
handle_quiesced (void *data, const char *service, uint64_t change)
{
	(void) data;
	(void) service;
	(void) change;
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

/** One route for each time limit; its database is named after the limit in milliseconds. */
static struct configuration *
configuration_create (void)
{
	struct configuration *configuration = configuration_new ();
	struct database_service *service = g_new0 (struct database_service, 1);

	for (size_t i = 0; i < G_N_ELEMENTS (timeouts_ms); i++)
	{
		struct route *route = g_new0 (struct route, 1);

		*route = (struct route){
			.database = g_strdup_printf ("db%u", timeouts_ms[i]),
			.service = g_strdup ("s"),
			.kind = ROUTE_PRIMARY,
			.statement_timeout_ms = timeouts_ms[i],
			/* Above all time limits, so that no request leaves a queue before them. */
			.target_latency_ms = 120000,
		};
		g_hash_table_insert (configuration->routes, route->database, route);
	}
	*service = (struct database_service){ .name = g_strdup ("s"), .max_connections = 400 };
	g_hash_table_insert (configuration->services, service->name, service);
	configuration->version = 1;
	configuration->transaction_idle_ms = 10000;
	return configuration;
}

static struct view *
view_create (const struct fixture *fixture, int vm)
{
	struct view *view = view_new ();
	struct primary_record primary_record = {
		.service = g_strdup ("s"),
		.primary = g_strdup ("db0"),
		.change = 10,
	};
	struct server_entry entry = {
		.id = g_strdup ("db0"),
		.service = g_strdup ("s"),
		.zone = g_strdup ("a"),
		.ip = INADDR_LOOPBACK,
		.port = fixture->server_link.port,
		.slots = fixture->slots,
	};
	struct view_member member = {
		.vm = g_strdup (fixture->names[!vm]),
		.zone = g_strdup (vm == OWNER ? "b" : "a"),
		.ip = INADDR_LOOPBACK,
		.port = fixture->owner_link.port,
	};

	view->configuration = configuration_create ();
	g_array_append_val (view->records, primary_record);
	g_array_append_val (view->servers, entry);
	g_array_append_val (view->members, member);
	view->knows_members = true;
	view->vm_count = VM_COUNT;
	view->is_registered = true;
	view->records_valid_us = clock_now_us () + 300 * US_PER_S;
	return view;
}

static void
fixture_start (struct fixture *fixture, uint32_t slots, uint32_t min_silence_ms)
{
	uint16_t relay_ports[VM_COUNT];

	memset (fixture, 0, sizeof *fixture);
	fixture->slots = slots;
	fake_database_start (&fixture->database, "db0", true);
	fault_link_start (&fixture->server_link, fixture->database.port);
	for (int i = 0; i < VM_COUNT; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = fixture->names[i],
			.zone = i == OWNER ? "a" : "b",
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 1000,
			.min_silence_ms = min_silence_ms,
		};

		snprintf (fixture->names[i], sizeof fixture->names[i], "vm%d", i);
		settings.caller_port = fixture->caller_ports[i] = free_port ();
		settings.relay_port = relay_ports[i] = free_port ();
		fixture->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (fixture->vms[i]);
		g_assert_cmpint (gateway_traffic_start (fixture->vms[i], &events, fixture), ==, 0);
	}
	fault_link_start (&fixture->owner_link, relay_ports[OWNER]);
	for (int i = 0; i < VM_COUNT; i++)
		gateway_traffic_send_view (fixture->vms[i], view_create (fixture, i));
}

static void
fixture_stop (struct fixture *fixture)
{
	for (int i = 0; i < VM_COUNT; i++)
		gateway_traffic_free (fixture->vms[i]);
	fault_link_stop (&fixture->owner_link);
	fault_link_stop (&fixture->server_link);
	fake_database_stop (&fixture->database);
}

/** Reads an answer up to and including the line that starts with READY. @return whether it is complete. */
static bool
read_answer (int fd, char *answer)
{
	size_t length = 0;

	answer[0] = '\0';
	while (length < ANSWER_BYTES - 1 && recv (fd, answer + length, 1, 0) == 1)
	{
		const char *last;

		answer[++length] = '\0';
		last = g_strrstr (answer, "READY");
		if (last && g_str_has_suffix (last, "\r\n"))
			return true;
	}
	return false;
}

static bool
execute_line (int fd, const char *line, char *answer)
{
	char *text = g_strdup_printf ("%s\r\n", line);
	ssize_t sent = send (fd, text, strlen (text), MSG_NOSIGNAL);
	bool was_sent = sent == (ssize_t) strlen (text);

	g_free (text);
	answer[0] = '\0';
	return was_sent && read_answer (fd, answer);
}

static int
connect_port (uint16_t port, int wait_ms)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	struct timeval limit = { .tv_sec = wait_ms / 1000, .tv_usec = wait_ms % 1000 * 1000 };
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	return fd;
}

static int
open_session (const struct fixture *fixture, int vm, uint32_t timeout_ms, int wait_ms)
{
	char answer[ANSWER_BYTES];
	char *start = g_strdup_printf ("START db%u who", timeout_ms);
	int fd = connect_port (fixture->caller_ports[vm], wait_ms);

	g_assert_true (execute_line (fd, start, answer));
	g_assert_cmpstr (answer, ==, "READY I -\r\n");
	g_free (start);
	return fd;
}

/* Guards against a promise for a commit that ran: the owner of the server ended forwarded requests after 5 s, without
 * knowing whether the transaction had written, and its forwarder told the caller ABORTED (review/3). */
static void
test_commit_above_five_seconds (void)
{
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int fd;

	fixture_start (&fixture, 8, 60000);
	fd = open_session (&fixture, FORWARDER, 6000, 6000 + ANSWER_SLACK_MS);
	g_assert_true (execute_line (fd, "QUERY b BEGIN", answer));
	g_assert_true (execute_line (fd, "QUERY w WRITE 1 data", answer));
	g_assert_true (g_str_has_prefix (answer, "COMPLETE mac"));
	fault_link_set (&fixture.server_link, "c", LINK_LOSE, 0);
	g_assert_true (execute_line (fd, "QUERY c COMMIT", answer));
	g_assert_cmpint (fake_database_count_commits (&fixture.database, "w"), ==, 1);
	if (!g_str_has_prefix (answer, "ERROR INDOUBT"))
		g_test_fail_printf ("the commit ran, and its caller got %s", answer);
	close (fd);
	fixture_stop (&fixture);
}

/* Guards against an owner that promises something about a statement that it has sent: it doesn't know whether the
 * transaction has written. It ends the statement by the limit that came with it. */
static void
test_owner_time_limit (void)
{
	enum
	{
		LIMIT_MS = 300,
	};
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int64_t start_us;
	int fd;

	fixture_start (&fixture, 8, 60000);
	fd = connect_port (fixture.owner_link.port, LIMIT_MS + ANSWER_SLACK_MS);
	g_assert_true (execute_line (fd, "START s vm9 db0", answer));
	g_assert_true (execute_line (fd, "QUERY - BEGIN", answer));
	g_assert_true (execute_line (fd, "QUERY w RANK 0 500 0 5000 WRITE 1 data", answer));
	g_assert_cmpstr (answer, ==, "COMPLETE mac\r\nREADY T 1.100\r\n");
	fault_link_set (&fixture.server_link, "c", LINK_LOSE, 0);
	start_us = clock_now_us ();
	g_assert_true (execute_line (fd, "QUERY c RANK 0 500 0 300 COMMIT", answer));
	g_assert_true (g_str_has_prefix (answer, "ERROR INDOUBT"));
	g_assert_cmpint (clock_now_us () - start_us, >=, (LIMIT_MS - 50) * US_PER_MS);
	close (fd);
	fixture_stop (&fixture);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_promise/commit_above_five_seconds", test_commit_above_five_seconds);
	g_test_add_func ("/gateway_promise/owner_time_limit", test_owner_time_limit);
	return g_test_run ();
}
