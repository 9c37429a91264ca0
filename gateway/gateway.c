#include "gateway/gateway.h"

#include "common/clock.h"
#include "common/findings.h"
#include "common/log.h"
#include "common/loop.h"
#include "ctl/commands.h"
#include "decision/session_end.h"
#include "decision/watchdog.h"
#include "gateway/controller.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
	/* File descriptors for the store, other VMs, servers and the program itself. */
	GATEWAY_RESERVED_DESCRIPTORS = 700,
	GATEWAY_MIN_SESSIONS = 64,
	GATEWAY_MIN_GRACE_MS = 100,
	GATEWAY_METRICS_PORT = 9464, /* Usual port of exporters of the Prometheus text format. */
};

struct gateway
{
	struct loop loop;
	struct loop_source signals;
	struct loop_timer watch; /**< Checks that the threads turn. */
	struct watchdog traffic_watchdog;
	struct watchdog control_watchdog;
	struct gateway_traffic *traffic;
	struct controller *controller;
	uint32_t grace_ms;
};

/** Ends the process without its clean-up. Safe in a signal handler, also while another thread holds the lock of the log. */
static void
end_process (const char *cause)
{
	ssize_t written = write (STDERR_FILENO, cause, strlen (cause));

	(void) written;
	_exit (EXIT_CODE_FAILED);
}

static void
handle_overdue (int number)
{
	(void) number;
	end_process ("the time for the shutdown is over\n");
}

/** Ends the process if a thread hangs, since the callers on its connections get no answer until then. */
static void
handle_watch (struct loop_timer *timer, int64_t now_us)
{
	struct gateway *gateway = timer->data;
	int64_t traffic_us = gateway_traffic_get_turns (gateway->traffic).turned_us;
	int64_t control_us = controller_turned_us (gateway->controller);

	loop_set_timer (&gateway->loop, timer, now_us + WATCHDOG_INTERVAL_MS * US_PER_MS);
	if (watchdog_check (&gateway->traffic_watchdog, traffic_us) == WATCHDOG_HANGS)
		end_process ("the traffic thread hangs\n");
	if (watchdog_check (&gateway->control_watchdog, control_us) == WATCHDOG_HANGS)
		end_process ("the control thread hangs\n");
}

/** Ends the process before the grace period is over, whatever its threads do. Further calls change nothing. */
static void
limit_shutdown (struct gateway *gateway)
{
	int64_t limit_us =
		(int64_t) MAX (gateway->grace_ms - (int64_t) SESSION_EXIT_MARGIN_MS, GATEWAY_MIN_GRACE_MS) *
		US_PER_MS;
	struct itimerval limit = { .it_value = { limit_us / US_PER_S, limit_us % US_PER_S } };

	if (gateway->grace_ms == 0)
		return;
	gateway->grace_ms = 0;
	signal (SIGALRM, handle_overdue);
	setitimer (ITIMER_REAL, &limit, NULL);
}

static void
handle_signal (struct loop_source *source, uint32_t epoll_events)
{
	struct gateway *gateway = source->data;
	struct signalfd_siginfo info;

	while (read (source->fd, &info, sizeof info) == (ssize_t) sizeof info)
	{
		if (info.ssi_signo != SIGHUP)
			limit_shutdown (gateway);
		log_event (LOG_LEVEL_INFO, "signal", "number=%u", info.ssi_signo);
		if (info.ssi_signo != SIGHUP)
			controller_leave (gateway->controller);
	}
}

static void
handle_leave_complete (void *data)
{
	struct gateway *gateway = data;

	loop_stop (&gateway->loop);
}

static int
gateway_set_up_signals (struct gateway *gateway)
{
	sigset_t signals;

	signal (SIGPIPE, SIG_IGN);
	sigemptyset (&signals);
	sigaddset (&signals, SIGTERM);
	sigaddset (&signals, SIGINT);
	sigaddset (&signals, SIGHUP);
	pthread_sigmask (SIG_BLOCK, &signals, NULL);
	gateway->signals.fd = signalfd (-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
	if (gateway->signals.fd < 0)
		return -errno;
	gateway->signals.handle_ready = handle_signal;
	gateway->signals.data = gateway;
	return loop_set_source (&gateway->loop, &gateway->signals, EPOLLIN);
}

static uint32_t
max_sessions (const struct boot_settings *boot)
{
	if (boot->max_descriptors < GATEWAY_RESERVED_DESCRIPTORS + GATEWAY_MIN_SESSIONS)
		return GATEWAY_MIN_SESSIONS;
	return boot->max_descriptors - GATEWAY_RESERVED_DESCRIPTORS;
}

static int
gateway_serve (const struct boot_settings *boot, uint16_t metrics_port)
{
	struct gateway gateway = { .signals.fd = -1, .grace_ms = boot->grace_ms };
	struct gateway_traffic_settings settings = {
		.vm = boot->vm,
		.zone = boot->zone,
		.ip = boot->ip,
		.caller_port = boot->caller_port,
		.relay_port = boot->peer_port,
		.grace_ms = boot->grace_ms,
		.max_sessions = max_sessions (boot),
		.max_descriptors = boot->max_descriptors,
		.memory_bytes = (uint64_t) boot->memory_mb * 1024 * 1024,
		.usage_terms = { .window_s = boot->quota_window_ms / 1000.0,
		                 .overage = boot->quota_overage_permille / 1000.0,
		                 .slack = boot->quota_slack },
		.client_stall_ms = boot->memory_mb > 0 ? boot->client_stall_ms : 0,
	};
	int result = loop_init (&gateway.loop);

	if (result < 0)
		return result;
	result = gateway_set_up_signals (&gateway);
	if (result < 0)
		goto out;
	result = -EIO;
	gateway.traffic = gateway_traffic_new (&settings);
	if (!gateway.traffic)
		goto out;
	gateway.controller =
		controller_start (boot, metrics_port, gateway.traffic, handle_leave_complete, &gateway);
	if (!gateway.controller)
		goto out;
	gateway.watch.handle_timer = handle_watch;
	gateway.watch.data = &gateway;
	loop_set_timer (&gateway.loop, &gateway.watch,
	                clock_now_us () + WATCHDOG_INTERVAL_MS * US_PER_MS);
	log_event (LOG_LEVEL_INFO, "started", "zone=%s caller_port=%u store=%s", log_text (boot->zone),
	           boot->caller_port, log_text (boot->store_address));
	result = loop_run (&gateway.loop);
out:
	log_event (LOG_LEVEL_INFO, "stopped", "result=%d", result);
	/* Each thread sends messages to the other one until it ends. */
	if (gateway.traffic)
		gateway_traffic_stop (gateway.traffic);
	if (gateway.controller)
		controller_free (gateway.controller);
	if (gateway.traffic)
		gateway_traffic_free (gateway.traffic);
	if (gateway.signals.fd >= 0)
		close (gateway.signals.fd);
	loop_finish (&gateway.loop);
	return result;
}

int
gateway_run (int argc, char **argv)
{
	char *path = NULL;
	char *level_name = NULL;
	gint metrics_port = GATEWAY_METRICS_PORT;
	gboolean check = FALSE;
	const GOptionEntry options[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		  "Settings file of the platform (default: the path that the platform's environment names)",
		  "FILE" },
		{ "log-level", 'l', 0, G_OPTION_ARG_STRING, &level_name, "error, warn, info or debug",
		  "LEVEL" },
		{ "metrics-port", 'm', 0, G_OPTION_ARG_INT, &metrics_port,
		  "Port of the metrics, 0 for none (default 9464)", "PORT" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &check, "Check the settings and exit", NULL },
		{ .long_name = NULL },
	};
	GOptionContext *context = g_option_context_new ("- database sessions on the platform");
	enum log_level level = LOG_LEVEL_INFO;
	struct boot_settings boot = { 0 };
	struct findings findings;
	GError *error = NULL;
	int code = EXIT_CODE_USAGE;
	int result;

	findings_init (&findings);
	g_option_context_add_main_entries (context, options, NULL);
	if (!g_option_context_parse (context, &argc, &argv, &error))
	{
		findings_add (&findings, "flag", 0, 0, "", "%s", error->message);
		g_error_free (error);
		goto out;
	}
	if (level_name && log_level_parse (level_name, &level) < 0)
		findings_add (&findings, "flag", 0, 0, "log-level", "\"%s\" is not a level", level_name);
	if (metrics_port < 0 || metrics_port > UINT16_MAX)
		findings_add (&findings, "flag", 0, 0, "metrics-port", "%d is not a port", metrics_port);
	if (!path)
		path = g_strdup (boot_settings_path ());
	if (!path)
		findings_add (&findings, "flag", 0, 0, "settings", "no settings file is named");
	else
		boot_settings_read (&boot, path, &findings);
	if (findings.count > 0)
		goto out;
	code = EXIT_CODE_OK;
	if (check)
		goto out;
	result = log_init_stdout (level, boot.vm);
	if (result == 0)
		result = gateway_serve (&boot, (uint16_t) metrics_port);
	log_finish ();
	if (result < 0)
		code = EXIT_CODE_FAILED;
out:
	findings_print (&findings, stderr);
	findings_finish (&findings);
	g_option_context_free (context);
	g_free (path);
	g_free (level_name);
	return code;
}
