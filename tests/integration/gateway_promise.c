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
#include <stdlib.h>
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
		g_assert_cmpint (gateway_traffic_start (fixture->vms[i], &gateway_traffic_no_events, NULL),
		                 ==, 0);
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
send_line (int fd, const char *line)
{
	char *text = g_strdup_printf ("%s\r\n", line);
	ssize_t sent = send (fd, text, strlen (text), MSG_NOSIGNAL);
	bool was_sent = sent == (ssize_t) strlen (text);

	g_free (text);
	return was_sent;
}

static bool
execute_line (int fd, const char *line, char *answer)
{
	answer[0] = '\0';
	return send_line (fd, line) && read_answer (fd, answer);
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
	g_assert_cmpstr (answer, ==, "COMPLETE mac.1\r\nREADY T 1.100 LOAD 0 0\r\n");
	fault_link_set (&fixture.server_link, "c", LINK_LOSE, 0);
	start_us = clock_now_us ();
	g_assert_true (execute_line (fd, "QUERY c RANK 0 500 0 300 COMMIT", answer));
	g_assert_true (g_str_has_prefix (answer, "ERROR INDOUBT"));
	g_assert_cmpint (clock_now_us () - start_us, >=, (LIMIT_MS - 50) * US_PER_MS);
	close (fd);
	fixture_stop (&fixture);
}

static bool
is_promise (const char *answer)
{
	static const char *const promises[] = {
		"ERROR BUSY",     "ERROR ABORTED",   "ERROR LAGGING",
		"ERROR READONLY", "ERROR MISDIRECT", "ERROR TOOMANY",
	};

	for (size_t i = 0; i < G_N_ELEMENTS (promises); i++)
		if (g_str_has_prefix (answer, promises[i]))
			return true;
	return false;
}

/** Where the answer of a statement is disturbed. */
enum hop
{
	HOP_SERVER_DIRECT, /* Between the server and the VM of the caller. */
	HOP_SERVER,        /* Between the server and its owner, which forwards the answer. */
	HOP_OWNER,         /* Between the owner and the forwarding VM. */
	HOPS,
};

/** Which statement of an operation is disturbed. */
enum step
{
	STEP_WRITE,   /* A write outside a transaction. */
	STEP_EXECUTE, /* A prepared one. */
	STEP_READ,
	STEP_SETUP, /* A session value that has to be set on the connection, in a transaction. */
	STEP_BEGIN,
	STEP_FIRST_WRITE,
	STEP_SECOND_WRITE,
	STEP_COMMIT,
	STEP_EMPTY_COMMIT, /* The commit of a transaction that has only read. */
	STEPS,
};

/** What happens to the answer. */
static const struct disturbance
{
	const char *name;
	enum link_fault fault;
	int delay_percent; /* Of the time limit. */
	bool closes;
} disturbances[] = {
	{ "lost", LINK_LOSE, 0, false },
	{ "stalled", LINK_STALL, 0, false },
	{ "late", LINK_DELAY, 40, false },
	{ "too late", LINK_DELAY, 130, false },
	{ "cut", LINK_CUT, 0, true },
	{ "reset", LINK_RESET, 0, true },
	{ "reset before the server", LINK_RESET_REQUEST, 0, true },
};

struct operation
{
	struct fixture *fixture;
	GThread *thread;
	uint32_t number;
	uint32_t timeout_ms;
	int wait_ms; /* Longest wait for an answer. */
	enum hop hop;
	enum step step;
	const struct disturbance *disturbance;
	char last[ANSWER_BYTES]; /* Answer that ended the operation; empty: none. */
	bool is_done;            /* All statements were served. */
	bool was_late;
};

/** Sends one statement. @return whether it was served. */
static bool
run_line (struct operation *operation, int fd, const char *id, const char *text)
{
	char *line = g_strdup_printf ("QUERY q%u%s %s", operation->number, id, text);
	int64_t start_us = clock_now_us ();
	bool has_answer = execute_line (fd, line, operation->last);
	int64_t elapsed_ms = (clock_now_us () - start_us) / US_PER_MS;

	g_free (line);
	operation->was_late |= elapsed_ms > operation->timeout_ms + ANSWER_SLACK_MS;
	if (!has_answer)
		operation->last[0] = '\0';
	return has_answer && !strstr (operation->last, "ERROR ");
}

static void
run_transaction (struct operation *operation, int fd)
{
	bool is_empty = operation->step == STEP_EMPTY_COMMIT;

	if (!run_line (operation, fd, "b", "BEGIN"))
		return;
	if (!is_empty && run_line (operation, fd, "w0", "WRITE 1 data"))
		operation->is_done = run_line (operation, fd, "w1", "WRITE 2 data") &&
		                     run_line (operation, fd, "c", "COMMIT");
	else if (is_empty && run_line (operation, fd, "r", "READ 1"))
		operation->is_done = run_line (operation, fd, "c", "COMMIT");
}

static void *
run_operation (void *data)
{
	struct operation *operation = data;
	int vm = operation->hop == HOP_SERVER_DIRECT ? OWNER : FORWARDER;
	int fd = open_session (operation->fixture, vm, operation->timeout_ms, operation->wait_ms);

	switch (operation->step)
	{
	case STEP_WRITE:
		operation->is_done = run_line (operation, fd, "w0", "WRITE 1 data");
		break;
	case STEP_EXECUTE:
		operation->is_done = run_line (operation, fd, "p", "PREPARE p WRITE shape") &&
		                     run_line (operation, fd, "w0", "EXECUTE p 1 data");
		break;
	case STEP_READ:
		operation->is_done = run_line (operation, fd, "r", "READ 1");
		break;
	default:
		if (operation->step != STEP_SETUP || run_line (operation, fd, "s", "SET v0 x"))
			run_transaction (operation, fd);
		break;
	}
	close (fd);
	return NULL;
}

/** The request whose answer is disturbed. */
static char *
fault_key (const struct operation *operation)
{
	static const char *const ids[] = {
		[STEP_WRITE] = "w0",       [STEP_EXECUTE] = "w0",      [STEP_READ] = "r",
		[STEP_FIRST_WRITE] = "w0", [STEP_SECOND_WRITE] = "w1", [STEP_COMMIT] = "c",
		[STEP_EMPTY_COMMIT] = "c",
	};

	if (operation->step == STEP_SETUP)
		return g_strdup ("-SET");
	if (operation->step == STEP_BEGIN)
		return g_strdup ("-BEGIN");
	return g_strdup_printf ("q%u%s", operation->number, ids[operation->step]);
}

static void
operation_start (struct operation *operation)
{
	struct fixture *fixture = operation->fixture;
	const struct disturbance *disturbance = operation->disturbance;
	int delay_ms = (int) MIN (operation->timeout_ms, 6000u) * disturbance->delay_percent / 100;
	char *key = fault_key (operation);

	fault_link_set (operation->hop == HOP_OWNER ? &fixture->owner_link : &fixture->server_link, key,
	                disturbance->fault, delay_ms);
	g_free (key);
	operation->thread = g_thread_new ("caller", run_operation, operation);
}

/** Compares what the caller was told with what the server committed. */
static void
operation_check (const struct operation *operation)
{
	static const char *const hop_names[] = { "server", "server behind the owner", "owner" };
	uint32_t kept = 0;
	uint32_t twice = 0;
	uint32_t writes = operation->step == STEP_READ || operation->step == STEP_EMPTY_COMMIT ? 0
	                  : operation->step <= STEP_EXECUTE                                    ? 1
	                                                    : MAX_WRITES;

	for (uint32_t i = 0; i < writes; i++)
	{
		char *id = g_strdup_printf ("q%uw%u", operation->number, i);
		int count = fake_database_count_commits (&operation->fixture->database, id);

		kept += count > 0;
		twice += count > 1;
		g_free (id);
	}
	if ((is_promise (operation->last) && kept > 0) || twice > 0 || operation->was_late ||
	    (operation->is_done && kept < writes) || (kept > 0 && kept < writes))
		g_test_fail_printf ("step %d, answer of the %s %s, limit %u ms: %u of %u writes kept, %u "
		                    "twice, %s, caller got %s",
		                    operation->step, hop_names[operation->hop],
		                    operation->disturbance->name, operation->timeout_ms, kept, writes,
		                    twice, operation->was_late ? "late" : "in time", operation->last);
}

/** Counts the answers by kind, so that a test in which nothing is disturbed does not pass. */
struct tally
{
	uint32_t promised;
	uint32_t unpromised;
	uint32_t done;
};

static void
tally_add (struct tally *tally, const struct operation *operation)
{
	if (operation->is_done)
		tally->done++;
	else if (is_promise (operation->last))
		tally->promised++;
	else
		tally->unpromised++;
}

/** Plays all steps and hops with the disturbances that keep the connections open, at the same time. */
static void
play_silent (struct fixture *fixture, uint32_t timeout_ms, int wait_ms, uint32_t *number,
             struct tally *tally)
{
	GPtrArray *operations = g_ptr_array_new_with_free_func (g_free);

	for (size_t i = 0; i < G_N_ELEMENTS (disturbances) * STEPS * HOPS; i++)
	{
		const struct disturbance *disturbance = &disturbances[i / (STEPS * HOPS)];
		struct operation *operation;

		if (disturbance->closes)
			continue;
		operation = g_new0 (struct operation, 1);
		*operation = (struct operation){
			.fixture = fixture,
			.number = ++*number,
			.timeout_ms = timeout_ms,
			.wait_ms = MIN ((int) timeout_ms + ANSWER_SLACK_MS, wait_ms),
			.hop = i % HOPS,
			.step = i / HOPS % STEPS,
			.disturbance = disturbance,
		};
		g_ptr_array_add (operations, operation);
		operation_start (operation);
	}
	for (guint i = 0; i < operations->len; i++)
		g_thread_join (((struct operation *) operations->pdata[i])->thread);
	/* Rolled back or committed by then. */
	g_usleep (200000);
	for (guint i = 0; i < operations->len; i++)
	{
		operation_check (operations->pdata[i]);
		tally_add (tally, operations->pdata[i]);
	}
	g_ptr_array_free (operations, TRUE);
}

/** Plays the disturbances that end a connection one after the other: the loss of one ends other requests as well. */
static void
play_closing (struct fixture *fixture, uint32_t timeout_ms, uint32_t *number, struct tally *tally)
{
	for (size_t i = 0; i < G_N_ELEMENTS (disturbances) * STEPS * HOPS; i++)
	{
		struct operation operation = {
			.fixture = fixture,
			.timeout_ms = timeout_ms,
			.wait_ms = (int) timeout_ms + ANSWER_SLACK_MS,
			.hop = i % HOPS,
			.step = i / HOPS % STEPS,
			.disturbance = &disturbances[i / (STEPS * HOPS)],
		};

		if (!operation.disturbance->closes)
			continue;
		operation.number = ++*number;
		operation_start (&operation);
		g_thread_join (operation.thread);
		g_usleep (20000);
		operation_check (&operation);
		tally_add (tally, &operation);
	}
}

/* Guards against a promise for a statement that ran, wherever its answer gets lost, comes late, is cut off or its
 * connection is reset, and against a statement that runs twice. GATEWAY_PROMISE_WAIT_MS, above 60,000, plays the
 * longest time limit to its end. */
static void
test_every_step (void)
{
	enum
	{
		WAIT_MS = 8000,
		/* Without a disturbance, every operation would be served. */
		MIN_FAILED = 100,
	};
	const char *wait_text = g_getenv ("GATEWAY_PROMISE_WAIT_MS");
	int wait_ms = wait_text ? atoi (wait_text) : WAIT_MS;
	struct tally tally = { 0 };
	struct fixture fixture;
	uint32_t number = 0;

	fixture_start (&fixture, 250, 300000);
	for (size_t i = 0; i < G_N_ELEMENTS (timeouts_ms); i++)
		play_silent (&fixture, timeouts_ms[i], wait_ms, &number, &tally);
	play_closing (&fixture, 2000, &number, &tally);
	g_test_message ("%u operations: %u served, %u with a promise, %u without; %d answers disturbed",
	                number, tally.done, tally.promised, tally.unpromised,
	                fault_link_hits (&fixture.server_link) + fault_link_hits (&fixture.owner_link));
	g_assert_cmpuint (tally.promised, >, MIN_FAILED);
	g_assert_cmpuint (tally.unpromised, >, MIN_FAILED);
	fixture_stop (&fixture);
}

/* Guards against a connection that stays for ever with a request whose caller has left: while the server answers nothing
 * else, it then counts as unreachable and is not probed any more. */
static void
check_caller_leaves (int vm)
{
	static const char *const keys[] = { "-SET", "-PREPARE", "-BEGIN" };
	struct fixture fixture;
	char answer[ANSWER_BYTES] = "";
	int64_t start_us;
	char *prepare;
	char *set;
	int fd;

	/* The gateway's own limits of silence. */
	fixture_start (&fixture, 8, 0);
	for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
	{
		fd = open_session (&fixture, vm, 60000, ANSWER_SLACK_MS);
		/* New for each round, so that no connection has them already. */
		set = g_strdup_printf ("QUERY s SET v0 x%zu", i);
		prepare = g_strdup_printf ("QUERY p PREPARE p READ shape%zu", i);
		execute_line (fd, set, answer);
		execute_line (fd, prepare, answer);
		g_free (set);
		g_free (prepare);
		execute_line (fd, "QUERY b BEGIN", answer);
		fault_link_set (&fixture.server_link, keys[i], LINK_LOSE, 0);
		send_line (fd, "QUERY e EXECUTE p 1");
		for (int wait = 0; wait < 500 && fault_link_hits (&fixture.server_link) <= (int) i; wait++)
			g_usleep (10000);
		g_assert_cmpint (fault_link_hits (&fixture.server_link), ==, i + 1);
		close (fd);
		/* Nothing else is asked of the server, until the connections of the caller count as stuck. */
		g_usleep (2500000);
		if (fault_link_muted (&fixture.server_link) > 0)
			g_test_fail_printf ("the connection on which the answer to %s was lost stays", keys[i]);
		start_us = clock_now_us ();
		do
		{
			fd = open_session (&fixture, vm, 2000, ANSWER_SLACK_MS);
			execute_line (fd, "QUERY r READ 1", answer);
			close (fd);
		} while (!strstr (answer, "COMPLETE mac") && clock_now_us () - start_us < 5 * US_PER_S);
		if (strstr (answer, "COMPLETE mac"))
			continue;
		g_test_fail_printf ("no read is served after the answer to %s was lost: %s", keys[i],
		                    answer);
		break;
	}
	fixture_stop (&fixture);
}

static void
test_caller_leaves (void)
{
	check_caller_leaves (OWNER);
}

static void
test_caller_leaves_forwarder (void)
{
	check_caller_leaves (FORWARDER);
}

/* Guards against a lost answer that makes a server unreachable for as long as its caller waits: it is quiet otherwise,
 * and was not probed while a request was outstanding. */
static void
check_lost_answer_on_quiet_server (int vm)
{
	struct fixture fixture;
	char answer[ANSWER_BYTES] = "";
	int64_t start_us;
	int waiting;
	int fd;

	/* The gateway's own limits of silence. */
	fixture_start (&fixture, 8, 0);
	waiting = open_session (&fixture, vm, 60000, ANSWER_SLACK_MS);
	fault_link_set (&fixture.server_link, "lost", LINK_LOSE, 0);
	send_line (waiting, "QUERY lost READ 1");
	for (int wait = 0; wait < 500 && fault_link_hits (&fixture.server_link) == 0; wait++)
		g_usleep (10000);
	g_assert_cmpint (fault_link_hits (&fixture.server_link), ==, 1);
	g_usleep (1500000);
	start_us = clock_now_us ();
	do
	{
		fd = open_session (&fixture, vm, 2000, ANSWER_SLACK_MS);
		execute_line (fd, "QUERY r READ 1", answer);
		close (fd);
	} while (!strstr (answer, "COMPLETE mac") && clock_now_us () - start_us < 5 * US_PER_S);
	if (!strstr (answer, "COMPLETE mac"))
		g_test_fail_printf ("no read is served while another one waits: %s", answer);
	close (waiting);
	fixture_stop (&fixture);
}

static void
test_lost_answer_on_quiet_server (void)
{
	check_lost_answer_on_quiet_server (OWNER);
}

static void
test_lost_answer_on_quiet_server_forwarder (void)
{
	check_lost_answer_on_quiet_server (FORWARDER);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_promise/commit_above_five_seconds", test_commit_above_five_seconds);
	g_test_add_func ("/gateway_promise/owner_time_limit", test_owner_time_limit);
	g_test_add_func ("/gateway_promise/every_step", test_every_step);
	g_test_add_func ("/gateway_promise/caller_leaves", test_caller_leaves);
	g_test_add_func ("/gateway_promise/caller_leaves_forwarder", test_caller_leaves_forwarder);
	g_test_add_func ("/gateway_promise/quiet_server", test_lost_answer_on_quiet_server);
	g_test_add_func ("/gateway_promise/quiet_server_forwarder",
	                 test_lost_answer_on_quiet_server_forwarder);
	return g_test_run ();
}
