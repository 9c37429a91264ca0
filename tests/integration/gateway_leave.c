/* Tests the end of sessions at a planned stop: whatever a VM has read is answered, answers are sent to their end, and no
 * session is served until the process is killed. Each caller counts what it has sent and what it was answered. */
#include "fake_database.h"
#include "free_port.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/traffic_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	GRACE_MS = 2000,
	MAX_CALLERS = 40,
	READ_BYTES = 65536,
	/* Longer than any wait of a test on a busy machine. */
	PATIENCE_US = 30 * US_PER_S,
};

/** One VM in front of one server. */
struct fixture
{
	struct fake_database database;
	struct gateway_traffic *vm;
	uint16_t caller_port;
	bool is_isolated;
	uint64_t version;
	int left; /**< The VM has ended all sessions. */
};

/** A caller that sends its next statement when the last one is answered, or some ahead. */
struct caller
{
	int fd; /**< -1: the VM has ended the connection. */
	uint32_t sent;
	uint32_t answered;
	uint32_t refused;
	GString *in;
	bool is_reset; /**< The connection was reset rather than ended. */
};

static void
handle_leave_complete (void *data)
{
	g_atomic_int_set (&((struct fixture *) data)->left, true);
}

static struct gateway_traffic_events events;

static void
send_view (struct fixture *fixture)
{
	struct view *view = view_new ();
	struct configuration *configuration = configuration_new ();
	struct route *route = g_new0 (struct route, 1);
	struct database_service *service = g_new0 (struct database_service, 1);
	struct primary_record record = {
		.service = g_strdup ("s"),
		.primary = g_strdup (fixture->database.id),
		.change = 10,
	};
	struct server_entry entry = {
		.id = g_strdup (fixture->database.id),
		.service = g_strdup ("s"),
		.zone = g_strdup ("a"),
		.ip = INADDR_LOOPBACK,
		.port = fixture->database.port,
		.slots = 1,
	};

	*route = (struct route){
		.database = g_strdup ("db"),
		.service = g_strdup ("s"),
		.kind = ROUTE_PRIMARY,
		.statement_timeout_ms = 60000,
		.target_latency_ms = 60000,
		.max_staleness_ms = 1000,
	};
	*service = (struct database_service){ .name = g_strdup ("s"), .max_connections = 8 };
	g_hash_table_insert (configuration->routes, route->database, route);
	g_hash_table_insert (configuration->services, service->name, service);
	configuration->version = ++fixture->version;
	configuration->transaction_idle_ms = 60000;
	view->configuration = configuration;
	g_array_append_val (view->records, record);
	g_array_append_val (view->servers, entry);
	view->knows_members = true;
	view->vm_count = 1;
	view->is_registered = true;
	view->is_isolated = view->is_out_of_rotation = fixture->is_isolated;
	view->records_valid_us = clock_now_us () + PATIENCE_US;
	gateway_traffic_send_view (fixture->vm, view);
}

static void
start (struct fixture *fixture)
{
	struct gateway_traffic_settings settings = {
		.vm = "vm0",
		.zone = "a",
		.ip = INADDR_LOOPBACK,
		.grace_ms = GRACE_MS,
		.max_sessions = MAX_CALLERS + 10,
		.min_silence_ms = 60000,
		/* Bounds the kernel's buffers of connections. */
		.memory_bytes = 256 * 1024 * 1024,
	};

	memset (fixture, 0, sizeof *fixture);
	fake_database_start (&fixture->database, "db0", true);
	settings.caller_port = fixture->caller_port = free_port ();
	settings.relay_port = free_port ();
	fixture->vm = gateway_traffic_new (&settings);
	g_assert_nonnull (fixture->vm);
	events = gateway_traffic_no_events;
	events.handle_leave_complete = handle_leave_complete;
	g_assert_cmpint (gateway_traffic_start (fixture->vm, &events, fixture), ==, 0);
	send_view (fixture);
}

static void
stop (struct fixture *fixture)
{
	gateway_traffic_free (fixture->vm);
	fake_database_stop (&fixture->database);
}

/** @param receive_bytes size of the kernel's buffer; 0: the usual one. */
static void
caller_open (struct caller *caller, const struct fixture *fixture, int receive_bytes)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (fixture->caller_port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};

	*caller = (struct caller){ .fd = socket (AF_INET, SOCK_STREAM, 0), .in = g_string_new (NULL) };
	if (receive_bytes > 0)
		setsockopt (caller->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
	g_assert_cmpint (connect (caller->fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	g_assert_cmpint (send (caller->fd, "START db who\r\n", 14, MSG_NOSIGNAL), ==, 14);
}

static void
caller_close (struct caller *caller)
{
	if (caller->fd >= 0)
		close (caller->fd);
	g_string_free (caller->in, TRUE);
}

static void
caller_send (struct caller *caller, const char *text)
{
	g_autofree char *line = g_strdup_printf ("QUERY q%u %s\r\n", caller->sent, text);

	if (caller->fd >= 0 &&
	    send (caller->fd, line, strlen (line), MSG_NOSIGNAL) == (ssize_t) strlen (line))
		caller->sent++;
}

/** Counts and removes complete answers. @return how many there were, the greeting included. */
static uint32_t
take_answers (struct caller *caller)
{
	uint32_t count = 0;
	char *end;

	while ((end = strstr (caller->in->str, "\r\n")))
	{
		caller->refused += g_str_has_prefix (caller->in->str, "ERROR BUSY");
		count += g_str_has_prefix (caller->in->str, "READY");
		g_string_erase (caller->in, 0, end + 2 - caller->in->str);
	}
	return count;
}

/** Reads once. @return number of answers that were completed by it, the greeting included. */
static uint32_t
caller_read (struct caller *caller)
{
	static char buffer[READ_BYTES];
	ssize_t count = recv (caller->fd, buffer, sizeof buffer, MSG_DONTWAIT);

	if (count < 0 && errno == EAGAIN)
		return 0;
	if (count <= 0)
	{
		caller->is_reset = count < 0;
		close (caller->fd);
		caller->fd = -1;
		return 0;
	}
	g_string_append_len (caller->in, buffer, count);
	return take_answers (caller);
}

/** Reads until the VM ends the connection. */
static void
caller_read_to_end (struct caller *caller)
{
	int64_t end_us = clock_now_us () + PATIENCE_US;

	while (caller->fd >= 0 && clock_now_us () < end_us)
	{
		struct pollfd event = { caller->fd, POLLIN, 0 };

		poll (&event, 1, 100);
		caller->answered += caller_read (caller);
	}
	g_assert_cmpint (caller->fd, ==, -1);
}

static void
wait_for_greeting (struct caller *caller)
{
	int64_t end_us = clock_now_us () + PATIENCE_US;

	while (caller_read (caller) == 0 && caller->fd >= 0 && clock_now_us () < end_us)
		g_usleep (1000);
	g_assert_cmpint (caller->fd, >=, 0);
}

/** Waits for the word that all sessions have ended. */
static void
wait_for_left (struct fixture *fixture, int64_t end_us)
{
	while (!g_atomic_int_get (&fixture->left) && clock_now_us () < end_us)
		g_usleep (1000);
	g_assert_true (g_atomic_int_get (&fixture->left));
}

/** Opens sessions that wait for one slot, so that each has a request whenever it is looked at. */
static void
open_busy (struct fixture *fixture, struct caller *callers)
{
	fixture->database.read_delay_ms = 5;
	for (int i = 0; i < MAX_CALLERS; i++)
		caller_open (&callers[i], fixture, 0);
	for (int i = 0; i < MAX_CALLERS; i++)
	{
		wait_for_greeting (&callers[i]);
		caller_send (&callers[i], "READ 1");
	}
}

/** Goes on without a pause until the VM has ended all sessions, and checks that each statement was answered. */
static void
check_busy_end (struct caller *callers)
{
	int64_t end_us = clock_now_us () + GRACE_MS * US_PER_MS * 4;
	uint32_t open = MAX_CALLERS;

	while (open > 0 && clock_now_us () < end_us)
	{
		open = 0;
		for (int i = 0; i < MAX_CALLERS; i++)
		{
			uint32_t answers = callers[i].fd >= 0 ? caller_read (&callers[i]) : 0;

			open += callers[i].fd >= 0;
			callers[i].answered += answers;
			if (answers > 0)
				caller_send (&callers[i], "READ 1");
		}
		g_usleep (1000);
	}
	g_assert_cmpuint (open, ==, 0);
	for (int i = 0; i < MAX_CALLERS; i++)
	{
		/* The last statement may have been sent when the end was on its way. */
		g_assert_cmpuint (callers[i].sent - callers[i].answered, <=, 1);
		caller_close (&callers[i]);
	}
}

/* Guards against sessions that are served until the process ends, and lose the statements that are at the server then: each
 * was only ended if it happened to have no request whenever it was looked at (LOST). */
static void
test_sessions_without_a_pause (void)
{
	struct fixture fixture;
	struct caller callers[MAX_CALLERS];

	start (&fixture);
	open_busy (&fixture, callers);
	gateway_traffic_send_leave (fixture.vm);
	check_busy_end (callers);
	wait_for_left (&fixture, clock_now_us () + PATIENCE_US);
	stop (&fixture);
}

/* Guards against statements that were sent ahead and read, and get no answer. */
static void
test_statements_sent_ahead (void)
{
	enum
	{
		AHEAD = 100,
	};
	struct fixture fixture;
	struct caller caller;

	start (&fixture);
	fixture.database.read_delay_ms = 50;
	caller_open (&caller, &fixture, 0);
	wait_for_greeting (&caller);
	for (int i = 0; i < AHEAD; i++)
		caller_send (&caller, i % 10 == 9 ? "SET v0 1" : "READ 1");
	gateway_traffic_send_leave (fixture.vm);
	caller_read_to_end (&caller);
	g_assert_cmpuint (caller.answered, ==, AHEAD);
	g_assert_cmpuint (caller.refused, >, 0);
	g_assert_false (caller.is_reset);
	caller_close (&caller);
	wait_for_left (&fixture, clock_now_us () + PATIENCE_US);
	stop (&fixture);
}

/* Guards against a transaction that goes on beyond the first half of the grace period, and against statements in it that
 * run outside of it or get no answer after it has been rolled back. */
static void
test_transaction_sent_ahead (void)
{
	enum
	{
		AHEAD = 60,
	};
	struct fixture fixture;
	struct caller caller;

	start (&fixture);
	fixture.database.delay_ms = 50;
	caller_open (&caller, &fixture, 0);
	wait_for_greeting (&caller);
	caller_send (&caller, "BEGIN");
	for (int i = 0; i < AHEAD; i++)
		caller_send (&caller, "WRITE 1 data");
	caller_send (&caller, "COMMIT");
	caller_send (&caller, "ROLLBACK");
	gateway_traffic_send_leave (fixture.vm);
	caller_read_to_end (&caller);
	g_assert_cmpuint (caller.answered, ==, AHEAD + 3);
	g_assert_cmpuint (fixture.database.committed->len, ==, 0);
	caller_close (&caller);
	wait_for_left (&fixture, clock_now_us () + PATIENCE_US);
	stop (&fixture);
}

/* Guards against a statement of a long duration, and one that waits behind it, that get no answer before the process ends. */
static void
test_long_statement (void)
{
	struct fixture fixture;
	struct caller callers[2];
	int64_t left_us;

	start (&fixture);
	fixture.database.delay_ms = GRACE_MS * 2;
	for (int i = 0; i < 2; i++)
	{
		caller_open (&callers[i], &fixture, 0);
		wait_for_greeting (&callers[i]);
		caller_send (&callers[i], "WRITE 1 data");
	}
	g_assert_nonnull (fake_database_find (&fixture.database, "q0"));
	left_us = clock_now_us ();
	gateway_traffic_send_leave (fixture.vm);
	for (int i = 0; i < 2; i++)
	{
		caller_read_to_end (&callers[i]);
		g_assert_cmpuint (callers[i].answered, ==, 1);
	}
	/* One is at the server, and the other one has not been sent. */
	g_assert_cmpuint (callers[0].refused + callers[1].refused, ==, 1);
	wait_for_left (&fixture, left_us + GRACE_MS * US_PER_MS);
	for (int i = 0; i < 2; i++)
		caller_close (&callers[i]);
	stop (&fixture);
}

/* Guards against the end of an isolated VM's session whose caller never pauses: it was ended only if it had no request when
 * it was looked at. */
static void
test_isolated_vm_without_a_pause (void)
{
	struct fixture fixture;
	struct caller callers[MAX_CALLERS];

	start (&fixture);
	open_busy (&fixture, callers);
	fixture.is_isolated = true;
	send_view (&fixture);
	check_busy_end (callers);
	stop (&fixture);
}

/** Requests a large answer, and does not read it until the VM has had time to end the session. */
static void
check_unread_answer (bool is_isolated)
{
	enum
	{
		ROW_BYTES = 1000000,
		RECEIVE_BYTES = 4096,
		/* Beyond the end of idle sessions, by any rule. */
		UNREAD_US = 2500 * US_PER_MS,
	};
	struct fixture fixture;
	struct caller caller;

	start (&fixture);
	fixture.database.row_bytes = ROW_BYTES;
	caller_open (&caller, &fixture, RECEIVE_BYTES);
	wait_for_greeting (&caller);
	caller_send (&caller, "READ 1");
	g_assert_nonnull (fake_database_find (&fixture.database, "q0"));
	fixture.is_isolated = is_isolated;
	if (is_isolated)
		send_view (&fixture);
	else
		gateway_traffic_send_leave (fixture.vm);
	g_usleep (UNREAD_US);
	caller_read_to_end (&caller);
	g_assert_cmpuint (caller.answered, ==, 1);
	g_assert_false (caller.is_reset);
	caller_close (&caller);
	if (!is_isolated)
		wait_for_left (&fixture, clock_now_us () + PATIENCE_US);
	stop (&fixture);
}

/* Guards against an answer that is cut off because the session has no request any more: its caller reads it slowly (LOST). */
static void
test_unread_answer (void)
{
	check_unread_answer (false);
}

/* The same for a VM that is isolated, which ends its sessions earlier. */
static void
test_unread_answer_isolated (void)
{
	check_unread_answer (true);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_leave/no_pause", test_sessions_without_a_pause);
	g_test_add_func ("/gateway_leave/ahead", test_statements_sent_ahead);
	g_test_add_func ("/gateway_leave/transaction", test_transaction_sent_ahead);
	g_test_add_func ("/gateway_leave/long", test_long_statement);
	g_test_add_func ("/gateway_leave/isolated", test_isolated_vm_without_a_pause);
	g_test_add_func ("/gateway_leave/unread", test_unread_answer);
	g_test_add_func ("/gateway_leave/unread_isolated", test_unread_answer_isolated);
	return g_test_run ();
}
