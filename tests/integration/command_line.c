/* Guards against settings that are accepted without validation or ignored, against commands whose help, version or
 * exit code is wrong, and against an operations page that does not name a setting, command or counter. */
#include "common/clock.h"
#include "common/counters.h"
#include "free_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_UNREACHABLE = 3,
	MAX_ARGUMENTS = 16,
	CONNECT_TRIES = 200,
	STOP_ANNOUNCE_MS = 3000, /* drain_default_settings.announce_us */
	STOP_LIMIT_MS = 200,
	STOP_SLACK_MS = 4000,
};

struct output
{
	int code;
	char *out;
	char *err;
};

/** Runs the program with @p arguments, split at spaces, and with @p variable, NAME=VALUE or NULL, added to the
 * environment. */
static struct output
run (const char *arguments, const char *variable)
{
	struct output output = { 0 };
	char *line = g_strdup_printf (FLAMINGOSPRING " %s", arguments);
	char **argv = g_strsplit (g_strchomp (line), " ", MAX_ARGUMENTS);
	char **environment = g_get_environ ();
	GError *error = NULL;
	int status;

	environment = g_environ_unsetenv (environment, "FLAMINGOSPRING_CONTROL");
	if (variable)
	{
		char **pair = g_strsplit (variable, "=", 2);

		environment = g_environ_setenv (environment, pair[0], pair[1], TRUE);
		g_strfreev (pair);
	}
	g_spawn_sync (NULL, argv, environment, 0, NULL, NULL, &output.out, &output.err, &status,
	              &error);
	g_assert_no_error (error);
	g_assert_true (WIFEXITED (status));
	output.code = WEXITSTATUS (status);
	g_strfreev (environment);
	g_strfreev (argv);
	g_free (line);
	return output;
}

static void
output_finish (struct output *output)
{
	g_free (output->out);
	g_free (output->err);
}

static void
assert_contains (const char *text, const char *part)
{
	if (!strstr (text, part))
		g_error ("\"%s\" is missing in:\n%s", part, text);
}

#define PROXY "proxy --check --vm-id 1 --zone a"

/* Each row has one setting that is invalid or comes from a particular source, and text that must be printed. */
static const struct
{
	const char *arguments;
	const char *variable;
	int code;
	const char *out;
	const char *err;
} checks[] = {
	{ PROXY, NULL, EXIT_OK, "caller-port=7000\n", "" },
	{ PROXY " --caller-port 0", NULL, EXIT_USAGE, "", "\"0\" is not a number from 1 to 65535" },
	{ PROXY " --caller-port 65536", NULL, EXIT_USAGE, "", "flag: caller-port: \"65536\"" },
	{ PROXY " --caller-port 70x", NULL, EXIT_USAGE, "", "\"70x\" is not a number" },
	{ PROXY " --caller-port -1", NULL, EXIT_USAGE, "", "\"-1\" is not a number" },
	{ PROXY " --caller-port 7002", NULL, EXIT_USAGE, "", "port 7002 stands for two" },
	{ PROXY " --traffic-threads 65", NULL, EXIT_USAGE, "", "from 1 to 64" },
	{ PROXY " --max-connections 15", NULL, EXIT_USAGE, "", "from 16 to 1000000" },
	{ PROXY " --max-body-bytes 1048577", NULL, EXIT_USAGE, "", "from 1024 to 1048576" },
	{ PROXY " --drain-limit-ms 3600001", NULL, EXIT_USAGE, "", "from 0 to 3600000" },
	{ PROXY " --acknowledge-timeout-ms 9", NULL, EXIT_USAGE, "", "from 10 to 60000" },
	{ PROXY " --transaction-idle-ms 600001", NULL, EXIT_USAGE, "", "from 10 to 600000" },
	{ PROXY " --transaction-idle-ms 40000", NULL, EXIT_USAGE, "",
	  "above transaction-limit-ms 30000" },
	{ PROXY " --trace-sample-per-million 1000001", NULL, EXIT_USAGE, "", "from 0 to 1000000" },
	{ PROXY " --acknowledge none", NULL, EXIT_USAGE, "", "not majority or primary" },
	{ PROXY " --address localhost", NULL, EXIT_USAGE, "", "not an IPv4 address" },
	{ PROXY " --advertise localhost", NULL, EXIT_USAGE, "", "not an IPv4 address" },
	{ PROXY " --advertise 10.0.0.7", NULL, EXIT_OK, "advertise=10.0.0.7\n", "" },
	{ PROXY " --source-address 10.0.0", NULL, EXIT_USAGE, "", "not an IPv4 address" },
	{ PROXY " --source-address 10.0.0.7", NULL, EXIT_OK, "source-address=10.0.0.7\n", "" },
	{ PROXY " --seeds 127.0.0.1", NULL, EXIT_USAGE, "", "\"127.0.0.1\" is not IP:PORT" },
	{ PROXY " --platform https://x", NULL, EXIT_USAGE, "", "not an http:// URL" },
	{ PROXY " --log-level loud", NULL, EXIT_USAGE, "", "not error, warn, info or debug" },
	{ PROXY " --no-such-flag", NULL, EXIT_USAGE, "", "--no-such-flag" },
	{ PROXY " word", NULL, EXIT_USAGE, "", "unexpected argument \"word\"" },
	{ "proxy --check --zone a", NULL, EXIT_USAGE, "", "set --vm-id or FLAMINGOSPRING_VM_ID" },
	{ "proxy --check --vm-id 1", NULL, EXIT_USAGE, "", "set --zone or FLAMINGOSPRING_ZONE" },
	{ "proxy --check --zone a", "FLAMINGOSPRING_VM_ID=7", EXIT_OK, "vm-id=7\n", "" },
	{ PROXY, "FLAMINGOSPRING_VM_ID=7", EXIT_OK, "vm-id=1\n", "" },
	{ PROXY, "FLAMINGOSPRING_CALLER_PORT=0", EXIT_USAGE, "", "environment: caller-port: \"0\"" },
	{ PROXY " --caller-port 7100", "FLAMINGOSPRING_CALLER_PORT=0", EXIT_OK, "caller-port=7100\n",
	  "" },
};

static void
test_settings (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (checks); i++)
	{
		struct output output = run (checks[i].arguments, checks[i].variable);

		g_test_message ("%s", checks[i].arguments);
		g_assert_cmpint (output.code, ==, checks[i].code);
		assert_contains (output.out, checks[i].out);
		assert_contains (output.err, checks[i].err);
		if (checks[i].code == EXIT_OK)
			g_assert_cmpstr (output.err, ==, "");
		output_finish (&output);
	}
}

/* All findings must be reported in one run, so that an operator need not fix them one at a time. */
static void
test_findings_together (void)
{
	struct output output = run ("proxy --check --caller-port 0 --log-level loud --seeds x",
	                            "FLAMINGOSPRING_TRAFFIC_THREADS=0");

	g_assert_cmpint (output.code, ==, EXIT_USAGE);
	assert_contains (output.err, "flag: caller-port: ");
	assert_contains (output.err, "flag: log-level: ");
	assert_contains (output.err, "flag: seeds: ");
	assert_contains (output.err, "environment: traffic-threads: ");
	assert_contains (output.err, "settings: vm-id: missing");
	assert_contains (output.err, "settings: zone: missing");
	output_finish (&output);
}

static const char *const commands[] = { "apply",   "counters", "diff",    "drain",   "explain",
	                                    "gateway", "get",      "help",    "promote", "proxy",
	                                    "schema",  "status",   "tenants", "trace",   "undrain" };

static void
test_help_and_version (void)
{
	struct output list = run ("help", NULL);

	for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
	{
		char *help_arguments = g_strdup_printf ("%s --help", commands[i]);
		char *version_arguments = g_strdup_printf ("%s --version", commands[i]);
		struct output help = run (help_arguments, NULL);
		struct output version = run (version_arguments, NULL);

		assert_contains (list.out, commands[i]);
		g_assert_cmpint (help.code, ==, EXIT_OK);
		assert_contains (help.out, "Usage:");
		g_assert_cmpint (version.code, ==, EXIT_OK);
		g_assert_cmpstr (version.out, ==, "flamingospring " FLAMINGOSPRING_VERSION "\n");
		output_finish (&help);
		output_finish (&version);
		g_free (help_arguments);
		g_free (version_arguments);
	}
	output_finish (&list);
}

static const struct
{
	const char *arguments;
	int code;
	const char *err;
} command_lines[] = {
	{ "", EXIT_USAGE, "" },
	{ "--version", EXIT_OK, "" },
	{ "--help", EXIT_OK, "" },
	{ "nonsense", EXIT_USAGE, "unknown command \"nonsense\"" },
	{ "nonsense --version", EXIT_USAGE, "unknown command \"nonsense\"" },
	{ "status --no-such-flag", EXIT_USAGE, "--no-such-flag" },
	{ "status word", EXIT_USAGE, "unexpected argument \"word\"" },
	{ "counters word", EXIT_USAGE, "unexpected argument \"word\"" },
	{ "tenants word", EXIT_USAGE, "unexpected argument \"word\"" },
	{ "tenants --gateway word", EXIT_UNREACHABLE, "\"word\" is not IP:PORT" },
	{ "tenants --gateway 127.0.0.1:1", EXIT_UNREACHABLE, "no answer from 127.0.0.1:1" },
	{ "trace word", EXIT_USAGE, "unexpected argument \"word\"" },
	{ "get a word", EXIT_USAGE, "unexpected argument \"word\"" },
	{ "drain a/0 word", EXIT_USAGE, "unexpected argument \"word\"" },
	{ "undrain a/0 word", EXIT_USAGE, "unexpected argument \"word\"" },
	{ "status --timeout-ms 0", EXIT_USAGE, "--timeout-ms must be above 0" },
	{ "apply", EXIT_USAGE, "one FILE is needed" },
	{ "apply /no/such/file", EXIT_USAGE, "/no/such/file" },
	{ "diff", EXIT_USAGE, "one FILE is needed" },
	{ "explain id", EXIT_USAGE, "an id and log files are needed" },
	{ "explain id /no/such/file", EXIT_USAGE, "/no/such/file" },
	{ "gateway --settings /no/such/file", EXIT_USAGE, "/no/such/file" },
	{ "gateway --metrics-port 70000 --log-level loud", EXIT_USAGE,
	  "metrics-port: 70000 is not a port" },
	{ "schema check", EXIT_USAGE, "check FILE or generate FILE is needed" },
	{ "promote a", EXIT_USAGE, "DATABASE and INDEX are needed" },
	{ "promote a x", EXIT_USAGE, "DATABASE and INDEX are needed" },
	{ "status --control word", EXIT_UNREACHABLE, "\"word\" is not IP:PORT" },
	{ "status --control 127.0.0.1:1", EXIT_UNREACHABLE, "no answer from 127.0.0.1:1" },
};

static void
test_command_lines (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (command_lines); i++)
	{
		struct output output = run (command_lines[i].arguments, NULL);

		g_test_message ("%s", command_lines[i].arguments);
		g_assert_cmpint (output.code, ==, command_lines[i].code);
		assert_contains (output.err, command_lines[i].err);
		output_finish (&output);
	}
}

/* Guards against a refused request whose cause is not shown: another statement, whose answer was lost, held the slot. */
static void
test_explain_lost_answer (void)
{
	char *path = g_build_filename (g_get_tmp_dir (), "explain-XXXXXX", NULL);
	int file = g_mkstemp (path);
	static const char log[] =
		"time=100.0 level=info vm=a event=slot_released server=i-1 service=s request=held waited_ms=90\n"
		"time=100.1 level=info vm=a event=slot_released server=i-2 service=t request=foreign waited_ms=90\n"
		"time=100.2 level=info vm=a event=done request=served service=s\n"
		"time=100.3 level=warn vm=a event=failed request=refused service=s cause=\"busy\"\n";
	char *arguments = g_strdup_printf ("explain refused %s", path);
	struct output output;

	g_assert_cmpint (write (file, log, strlen (log)), ==, (int) strlen (log));
	close (file);
	output = run (arguments, NULL);
	g_assert_cmpint (output.code, ==, EXIT_OK);
	assert_contains (output.out, "request=held");
	g_assert_null (strstr (output.out, "request=foreign"));
	g_assert_null (strstr (output.out, "request=served"));
	output_finish (&output);
	unlink (path);
	g_free (arguments);
	g_free (path);
}

/* Guards against a request that is found by a text inside another one's value, or not found because its id is quoted. */
static void
test_explain_quoted (void)
{
	static const char log[] =
		"time=100.0 level=warn vm=a event=failed request=\"a request=odd service=s\" cause=\"busy\"\n"
		"time=100.1 level=warn vm=a event=failed request=\"a\\\" request=odd b\" cause=\"busy\"\n"
		"time=100.2 level=warn vm=a event=failed request=odd cause=\"a \\\" b\" service=s\n"
		"time=100.3 level=warn vm=a event=failed request=\"a=b\" cause=\"busy\" service=t\n";
	char *path = g_build_filename (g_get_tmp_dir (), "explain-XXXXXX", NULL);
	int file = g_mkstemp (path);
	char *plain = g_strdup_printf ("explain odd %s", path);
	char *decoded = g_strdup_printf ("explain a=b %s", path);
	struct output output;

	g_assert_cmpint (write (file, log, strlen (log)), ==, (int) strlen (log));
	close (file);
	output = run (plain, NULL);
	g_assert_cmpint (output.code, ==, EXIT_OK);
	assert_contains (output.out, "time=100.2");
	g_assert_null (strstr (output.out, "time=100.0"));
	g_assert_null (strstr (output.out, "time=100.1"));
	output_finish (&output);
	output = run (decoded, NULL);
	g_assert_cmpint (output.code, ==, EXIT_OK);
	assert_contains (output.out, "time=100.3");
	output_finish (&output);
	unlink (path);
	g_free (decoded);
	g_free (plain);
	g_free (path);
}

/** The page must contain @p before and @p name, enclosed together in back quotes. */
static void
assert_documented (const char *page, const char *before, const char *name)
{
	char *quoted = g_strdup_printf ("`%s%s`", before, name);

	assert_contains (page, quoted);
	g_free (quoted);
}

static void
test_operations_page (void)
{
	struct output output = run (PROXY, NULL);
	char **lines = g_strsplit (g_strchomp (output.out), "\n", -1);
	char *page = NULL;

	g_assert_true (g_file_get_contents (OPERATIONS_PAGE, &page, NULL, NULL));
	g_assert_cmpuint (g_strv_length (lines), >, 10);
	for (size_t i = 0; lines[i]; i++)
	{
		*strchr (lines[i], '=') = 0;
		assert_documented (page, "--", lines[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
		assert_documented (page, "flamingospring ", commands[i]);
	for (int i = 0; i < COUNTER_COUNT; i++)
		assert_documented (page, "", counter_name ((enum counter) i));
	g_free (page);
	g_strfreev (lines);
	output_finish (&output);
}

static int
connect_to (uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		                           .sin_port = htons (port),
		                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

	for (int i = 0; i < CONNECT_TRIES; i++)
	{
		int fd = socket (AF_INET, SOCK_STREAM, 0);

		if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
			return fd;
		close (fd);
		g_usleep (10 * US_PER_MS);
	}
	return -1;
}

/** A proxy whose platform is unreachable. */
struct proxy
{
	GPid pid;
	uint16_t caller_port;
	uint16_t control_port;
};

static void
proxy_start (struct proxy *proxy)
{
	char *line;
	char **argv;
	GError *error = NULL;
	int fd;

	proxy->caller_port = free_port ();
	proxy->control_port = free_port ();
	line = g_strdup_printf (
		FLAMINGOSPRING " proxy --vm-id 1 --zone a --platform http://127.0.0.1:1 --log-level error "
					   "--caller-port %u --traffic-port %u --control-port %u --service-port %u "
					   "--drain-limit-ms %d",
		proxy->caller_port, free_port (), proxy->control_port, free_port (), STOP_LIMIT_MS);
	argv = g_strsplit (line, " ", -1);
	g_spawn_async (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &proxy->pid, &error);
	g_assert_no_error (error);
	fd = connect_to (proxy->control_port);
	if (fd < 0)
		kill (proxy->pid, SIGKILL);
	g_assert_cmpint (fd, >=, 0);
	close (fd);
	g_strfreev (argv);
	g_free (line);
}

/** Stops the proxy with SIGTERM. @return how long it took, in milliseconds. */
static int64_t
proxy_stop (struct proxy *proxy)
{
	int64_t start_us = clock_now_us ();
	int status;

	kill (proxy->pid, SIGTERM);
	g_assert_cmpint (waitpid (proxy->pid, &status, 0), ==, proxy->pid);
	g_assert_true (WIFEXITED (status));
	g_assert_cmpint (WEXITSTATUS (status), ==, EXIT_OK);
	return (clock_now_us () - start_us) / US_PER_MS;
}

/* Guards against a --drain-limit-ms that is parsed and then ignored, with which a planned stop waited 60 s for a
 * request in flight. */
static void
test_drain_limit (void)
{
	static const char unfinished[] =
		"POST /v1/services/a/calls/b HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{";
	struct proxy proxy;
	int64_t elapsed_ms;
	int fd;

	proxy_start (&proxy);
	fd = connect_to (proxy.caller_port);
	g_assert_cmpint (send (fd, unfinished, strlen (unfinished), 0), ==, strlen (unfinished));
	g_usleep (200 * US_PER_MS);
	elapsed_ms = proxy_stop (&proxy);
	g_assert_cmpint (elapsed_ms, >=, STOP_ANNOUNCE_MS + STOP_LIMIT_MS);
	g_assert_cmpint (elapsed_ms, <, STOP_ANNOUNCE_MS + STOP_LIMIT_MS + STOP_SLACK_MS);
	close (fd);
}

/* Guards against an apply that ends as unknown without printing its operation id and expected revision, which the
 * operator needs to repeat it, and against an id so long that the VM would truncate it and not find it again. */
static void
test_apply_unknown (void)
{
	struct proxy proxy;
	struct output output;
	char *line;

	proxy_start (&proxy);
	line = g_strdup_printf ("apply --control 127.0.0.1:%u --operation-id op1 " DOCUMENT,
	                        proxy.control_port);
	output = run (line, NULL);
	g_assert_cmpint (output.code, ==, EXIT_FAILED);
	assert_contains (output.err, "--operation-id op1 --expected-revision 0");
	output_finish (&output);
	g_free (line);
	line = g_strdup_printf ("apply --control 127.0.0.1:%u --operation-id %064d " DOCUMENT,
	                        proxy.control_port, 1);
	output = run (line, NULL);
	g_assert_cmpint (output.code, ==, EXIT_USAGE);
	assert_contains (output.err, "longer than 63 bytes");
	output_finish (&output);
	g_free (line);
	proxy_stop (&proxy);
}

/* Guards against a gateway that outlives its grace period: it waited for its sessions to end, however long that took, so
 * that SIGTERM did not end a VM whose serving thread hung. */
static void
test_gateway_grace (void)
{
	enum
	{
		GRACE_MS = 1000, /* Less than the time after which idle sessions are closed, 2200 ms. */
		POLL_MS = 10,
	};
	uint16_t port = free_port ();
	char *path = g_build_filename (g_get_tmp_dir (), "gateway-XXXXXX", NULL);
	int file = g_mkstemp (path);
	char *settings = g_strdup_printf (
		"node: \"vm\"\nzone: \"a\"\nip: \"127.0.0.1\"\ninternalPorts: [%u, %u]\n"
		"listen: {front: \"127.0.0.1:%u\", ready: \"127.0.0.1:%u\"}\nbounds: {graceS: 1}\n"
		"platform: {address: \"127.0.0.1:1\"}\ncloud: {address: \"127.0.0.1:1\"}\n",
		free_port (), free_port (), port, free_port ());
	char *metrics_port = g_strdup_printf ("%u", free_port ());
	char *tenants = g_strdup_printf ("tenants --gateway 127.0.0.1:%s", metrics_port);
	char *argv[] = { FLAMINGOSPRING, "gateway", "--metrics-port", metrics_port, "--settings",
		             path,           NULL };
	struct output output;
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	GError *error = NULL;
	int fd = socket (AF_INET, SOCK_STREAM, 0);
	int64_t stopped_us;
	int status = 0;
	pid_t ended = 0;
	GPid pid;

	g_assert_cmpint (write (file, settings, strlen (settings)), ==, (int) strlen (settings));
	close (file);
	g_spawn_async (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL, NULL,
	               NULL, &pid, &error);
	g_assert_no_error (error);
	for (int i = 0; i < CONNECT_TRIES; i++)
	{
		if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
			break;
		g_usleep (POLL_MS * 1000);
	}
	g_assert_cmpint (send (fd, "START db who\r\n", 14, MSG_NOSIGNAL), ==, 14);
	g_usleep (200000);
	/* Guards against a command that does not find the page of a gateway, which has no configuration here. */
	output = run (tenants, NULL);
	g_assert_cmpint (output.code, ==, EXIT_OK);
	g_assert_true (g_str_has_prefix (output.out, "TENANT "));
	output_finish (&output);
	stopped_us = clock_now_us ();
	kill (pid, SIGTERM);
	while (ended == 0 && clock_now_us () - stopped_us < GRACE_MS * US_PER_MS)
	{
		g_usleep (POLL_MS * 1000);
		ended = waitpid (pid, &status, WNOHANG);
	}
	if (ended == 0)
		kill (pid, SIGKILL);
	g_test_message ("ended after %d ms, grace period %d ms",
	                (int) ((clock_now_us () - stopped_us) / US_PER_MS), GRACE_MS);
	g_assert_cmpint (ended, ==, pid);
	close (fd);
	unlink (path);
	g_free (tenants);
	g_free (metrics_port);
	g_free (settings);
	g_free (path);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/command_line/settings", test_settings);
	g_test_add_func ("/command_line/findings_together", test_findings_together);
	g_test_add_func ("/command_line/help_and_version", test_help_and_version);
	g_test_add_func ("/command_line/command_lines", test_command_lines);
	g_test_add_func ("/command_line/page_names_settings", test_operations_page);
	g_test_add_func ("/command_line/drain_limit", test_drain_limit);
	g_test_add_func ("/command_line/apply_unknown", test_apply_unknown);
	g_test_add_func ("/command_line/explain_lost_answer", test_explain_lost_answer);
	g_test_add_func ("/command_line/explain_quoted", test_explain_quoted);
	g_test_add_func ("/command_line/gateway_grace", test_gateway_grace);
	return g_test_run ();
}
