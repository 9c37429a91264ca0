/* Tests a gateway process one of whose threads hangs: what its readiness says, and whether SIGTERM ends it. The process is
 * this program again, which runs the gateway's command and lets a thread hang when it is told to. */
#include "free_port.h"
#include "http_client.h"
#include "live_store.h"

#include "common/clock.h"
#include "decision/watchdog.h"
#include "gateway/controller_private.h"
#include "gateway/gateway.h"
#include "gateway/traffic_private.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
	GRACE_S = 2,
	START_LIMIT_MS = 20000,
	POLL_MS = 10,
	/* As in the gateway: not ready once the thread that serves has not turned for so long. */
	TURN_LIMIT_MS = 1000,
	STALL_MS = 3000,
	END_MS = 300,
	FREED_CODE = 99, /* Exit code if the control thread outlives what it uses. */
};

/** What a thread does when it is told to hang; also the byte that tells the process so. */
enum hang
{
	HANG_STALL = 'b',   /* The traffic thread is blocked for STALL_MS. */
	HANG_BLOCK = 'B',   /* It is blocked for ever. */
	HANG_SPIN = 's',    /* It uses its core for ever. */
	HANG_CONTROL = 'c', /* The control thread uses its core for ever. */
	HANG_AT_END =
		'e', /* The control thread is blocked for a moment when the shutdown is complete. */
};

/* The process that hangs. */

static struct gateway_traffic *hanging_traffic;
static struct controller *hanging_controller;
static int hangs_at_end;
static int is_traffic_freed;
static void (*next_leave_complete) (void *data);

struct gateway_traffic *hang_traffic_new (const struct gateway_traffic_settings *settings);
struct controller *hang_controller_start (const struct boot_settings *boot, uint16_t metrics_port,
                                          struct gateway_traffic *traffic,
                                          void (*handle_leave_complete) (void *data), void *data);
void hang_traffic_free (struct gateway_traffic *traffic);

/* Called by gateway/gateway.c in place of gateway_traffic_new(). */
struct gateway_traffic *
hang_traffic_new (const struct gateway_traffic_settings *settings)
{
	return hanging_traffic = gateway_traffic_new (settings);
}

/* Called by gateway/gateway.c in place of gateway_traffic_free(). */
void
hang_traffic_free (struct gateway_traffic *traffic)
{
	g_atomic_int_set (&is_traffic_freed, true);
	gateway_traffic_free (traffic);
}

/** Called in the control thread, which goes on using the traffic thread's state. */
static void
handle_leave_complete (void *data)
{
	next_leave_complete (data);
	if (!g_atomic_int_get (&hangs_at_end))
		return;
	g_usleep (END_MS * 1000);
	if (g_atomic_int_get (&is_traffic_freed))
		_exit (FREED_CODE);
}

/* Called by gateway/gateway.c in place of controller_start(). */
struct controller *
hang_controller_start (const struct boot_settings *boot, uint16_t metrics_port,
                       struct gateway_traffic *traffic, void (*handle_leave) (void *data),
                       void *data)
{
	next_leave_complete = handle_leave;
	hanging_controller =
		controller_start (boot, metrics_port, traffic, handle_leave_complete, data);
	return hanging_controller;
}

struct hang_message
{
	struct mailbox_message message;
	enum hang hang;
};

static void
handle_hang (struct mailbox_message *mail, void *receiver)
{
	struct hang_message *message = (struct hang_message *) mail;
	enum hang hang = message->hang;
	volatile unsigned turns = 0;
	ssize_t written = write (STDERR_FILENO, "h", 1);

	(void) receiver;
	(void) written;
	g_free (message);
	g_atomic_int_set (&hangs_at_end, hang == HANG_AT_END);
	if (hang == HANG_STALL)
		g_usleep (STALL_MS * 1000);
	if (hang == HANG_BLOCK)
		for (;;)
			pause ();
	if (hang == HANG_SPIN || hang == HANG_CONTROL)
		for (;;)
			turns++;
}

static void *
wait_for_hang (void *data)
{
	char byte = 0;

	(void) data;
	while (read (STDIN_FILENO, &byte, 1) == 1)
	{
		struct hang_message *message = g_new0 (struct hang_message, 1);

		message->message.handle_message = handle_hang;
		message->hang = (enum hang) byte;
		mailbox_send (byte == HANG_CONTROL ? &hanging_controller->mailbox
		                                   : &hanging_traffic->mailbox,
		              &message->message);
	}
	/* The test has ended. */
	_exit (1);
}

static int
run_gateway (char *settings)
{
	char *argv[] = { "gateway", "--metrics-port", "0", "--settings", settings, NULL };
	sigset_t signals;

	/* The gateway reads them from a descriptor, so they are blocked in all threads. */
	sigemptyset (&signals);
	sigaddset (&signals, SIGTERM);
	pthread_sigmask (SIG_BLOCK, &signals, NULL);
	g_thread_unref (g_thread_new ("hang", wait_for_hang, NULL));
	return gateway_run (G_N_ELEMENTS (argv) - 1, argv);
}

/* The test. */

struct fixture
{
	struct live_store store;
	char *settings;
	uint16_t readiness_port;
	GPid pid;
	int commands;
	int notices;
};

static char *program;

static void
write_settings (struct fixture *fixture)
{
	int file;
	char *text;

	fixture->readiness_port = free_port ();
	fixture->settings = g_build_filename (g_get_tmp_dir (), "gateway-XXXXXX", NULL);
	file = g_mkstemp (fixture->settings);
	text = g_strdup_printf (
		"node: \"vm\"\nzone: \"a\"\nip: \"127.0.0.1\"\ninternalPorts: [%u, %u]\n"
		"listen: {front: \"127.0.0.1:%u\", ready: \"127.0.0.1:%u\"}\nbounds: {graceS: %d}\n"
		"platform: {address: \"127.0.0.1:%u\"}\ncloud: {address: \"127.0.0.1:1\"}\n",
		free_port (), free_port (), free_port (), fixture->readiness_port, GRACE_S,
		fixture->store.port);
	g_assert_cmpint (write (file, text, strlen (text)), ==, (int) strlen (text));
	close (file);
	g_free (text);
}

/** The status of one readiness request; 0: none. */
static int
ask_ready (const struct fixture *fixture)
{
	struct http_client client;
	struct http_reply reply;
	int status;

	if (!http_client_connect (&client, fixture->readiness_port))
		return 0;
	http_client_request (&client, "GET", "/readiness", NULL, "");
	reply = http_client_read (&client);
	status = reply.status;
	http_reply_finish (&reply);
	http_client_close (&client);
	return status;
}

static void
wait_ready (const struct fixture *fixture)
{
	int64_t start_us = clock_now_us ();

	while (ask_ready (fixture) != 200)
	{
		g_assert_cmpint (clock_now_us () - start_us, <, START_LIMIT_MS * US_PER_MS);
		g_usleep (POLL_MS * 1000);
	}
}

static void
fixture_start (struct fixture *fixture)
{
	char *argv[] = { program, "--gateway", NULL, NULL };
	GError *error = NULL;

	memset (fixture, 0, sizeof *fixture);
	live_store_start (&fixture->store);
	live_store_put (&fixture->store, "op/config",
	                "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{\"txIdleMs\":3000}}");
	write_settings (fixture);
	argv[2] = fixture->settings;
	g_spawn_async_with_pipes (NULL, argv, NULL,
	                          G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL, NULL, NULL,
	                          &fixture->pid, &fixture->commands, NULL, &fixture->notices, &error);
	g_assert_no_error (error);
	wait_ready (fixture);
}

/** Lets a thread hang. @return a time at which it already does. */
static int64_t
fixture_hang (struct fixture *fixture, enum hang hang)
{
	char byte = (char) hang;

	g_assert_cmpint (write (fixture->commands, &byte, 1), ==, 1);
	g_assert_cmpint (read (fixture->notices, &byte, 1), ==, 1);
	g_assert_cmpint ((unsigned char) byte, ==, 'h');
	return clock_now_us ();
}

static void
fixture_clean (struct fixture *fixture)
{
	close (fixture->commands);
	close (fixture->notices);
	g_unlink (fixture->settings);
	g_free (fixture->settings);
	live_store_stop (&fixture->store);
}

/** Stops the process as the platform does. @return its wait status. */
static int
fixture_stop (struct fixture *fixture)
{
	int64_t stopped_us = clock_now_us ();
	int status = 0;
	pid_t ended = 0;

	kill (fixture->pid, SIGTERM);
	while (ended == 0 && clock_now_us () - stopped_us < GRACE_S * US_PER_S)
	{
		g_usleep (POLL_MS * 1000);
		ended = waitpid (fixture->pid, &status, WNOHANG);
	}
	if (ended == 0)
	{
		kill (fixture->pid, SIGKILL);
		waitpid (fixture->pid, &status, 0);
	}
	g_test_message ("ended %d ms after SIGTERM, status %#x",
	                (int) ((clock_now_us () - stopped_us) / US_PER_MS), (unsigned) status);
	fixture_clean (fixture);
	return status;
}

/* Guards against a VM that gets callers while the thread that serves them hangs (review/2: /readiness answered 200), and
 * against one that stays out of rotation once it serves again. */
static void
test_readiness (void)
{
	struct fixture fixture;
	int64_t hung_us;
	int refusals = 0;

	fixture_start (&fixture);
	hung_us = fixture_hang (&fixture, HANG_STALL);
	while (clock_now_us () - hung_us < (STALL_MS - 500) * US_PER_MS)
	{
		int64_t asked_us = clock_now_us ();
		int status = ask_ready (&fixture);

		/* The stall may be over by the time of a late answer. */
		if (clock_now_us () - hung_us > (STALL_MS - 200) * US_PER_MS)
			break;
		refusals += status == 503;
		if (asked_us - hung_us >= TURN_LIMIT_MS * US_PER_MS)
			g_assert_cmpint (status, ==, 503);
		g_usleep (POLL_MS * 1000);
	}
	g_assert_cmpint (refusals, >, 0);
	wait_ready (&fixture);
	fixture_stop (&fixture);
}

/** SIGTERM has to end the process before the platform kills it, @p hang notwithstanding. */
static void
check_stop (enum hang hang)
{
	struct fixture fixture;
	int status;

	fixture_start (&fixture);
	fixture_hang (&fixture, hang);
	status = fixture_stop (&fixture);
	g_assert_true (WIFEXITED (status));
}

/* Guard against a process that only SIGKILL ends, since it waits for a thread that hangs (review/2). */
static void
test_stop_blocked (void)
{
	check_stop (HANG_BLOCK);
}

static void
test_stop_spinning (void)
{
	check_stop (HANG_SPIN);
}

static void
test_stop_control (void)
{
	check_stop (HANG_CONTROL);
}

/* Guards against a control thread that uses the traffic thread's state after the end of the process has freed it (review: a
 * use after free in 5 of about 600 ends by SIGTERM). */
static void
test_stop_order (void)
{
	struct fixture fixture;
	int status;

	fixture_start (&fixture);
	fixture_hang (&fixture, HANG_AT_END);
	status = fixture_stop (&fixture);
	g_assert_true (WIFEXITED (status));
	g_assert_cmpint (WEXITSTATUS (status), ==, 0);
}

/* Guards against callers whose open connections are never answered: nothing ended a process whose thread hangs. */
static void
test_ends_by_itself (void)
{
	enum
	{
		/* One check may precede the hang, and another one the last turn. */
		LIMIT_MS = (WATCHDOG_CHECKS + 2) * WATCHDOG_INTERVAL_MS,
		SLACK_MS = 3000, /* The processes of a busy machine may not run for so long. */
	};
	static const enum hang hangs[] = { HANG_BLOCK, HANG_SPIN, HANG_CONTROL };
	struct fixture fixtures[G_N_ELEMENTS (hangs)];
	int64_t hung_us;

	for (size_t i = 0; i < G_N_ELEMENTS (hangs); i++)
		fixture_start (&fixtures[i]);
	for (size_t i = 0; i < G_N_ELEMENTS (hangs); i++)
		hung_us = fixture_hang (&fixtures[i], hangs[i]);
	for (size_t i = 0; i < G_N_ELEMENTS (hangs); i++)
	{
		int status = 0;
		pid_t ended = 0;

		while (ended == 0 && clock_now_us () - hung_us < (LIMIT_MS + SLACK_MS) * US_PER_MS)
		{
			g_usleep (POLL_MS * 1000);
			ended = waitpid (fixtures[i].pid, &status, WNOHANG);
		}
		g_test_message ("hang %c: ended after %d ms, status %#x", hangs[i],
		                (int) ((clock_now_us () - hung_us) / US_PER_MS), (unsigned) status);
		g_assert_cmpint (ended, ==, fixtures[i].pid);
		g_assert_true (WIFEXITED (status));
		g_assert_cmpint (WEXITSTATUS (status), !=, 0);
		fixture_clean (&fixtures[i]);
	}
}

int
main (int argc, char **argv)
{
	if (argc == 3 && strcmp (argv[1], "--gateway") == 0)
		return run_gateway (argv[2]);
	program = argv[0];
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/gateway_hang/readiness", test_readiness);
	g_test_add_func ("/gateway_hang/stop_blocked", test_stop_blocked);
	g_test_add_func ("/gateway_hang/stop_spinning", test_stop_spinning);
	g_test_add_func ("/gateway_hang/stop_control", test_stop_control);
	g_test_add_func ("/gateway_hang/stop_order", test_stop_order);
	g_test_add_func ("/gateway_hang/ends_by_itself", test_ends_by_itself);
	return g_test_run ();
}
