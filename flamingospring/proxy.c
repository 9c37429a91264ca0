#include "flamingospring/proxy.h"

#include "common/log.h"
#include "common/loop.h"
#include "common/trace.h"
#include "ctl/commands.h"
#include "flamingospring/control.h"
#include "flamingospring/settings.h"
#include "flamingospring/traffic.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

enum
{
	PROXY_VM_NAME_BYTES = 32,
};

/** State of the process: main thread with its signals, control thread and traffic threads. */
struct proxy
{
	struct loop loop; /**< Event loop of the main thread. */
	struct loop_source signal_source;
	struct snapshot_source snapshots;
	struct traffic *traffic;
	struct control *control;
};

static void
handle_snapshot (void *data)
{
	struct proxy *proxy = data;

	traffic_handle_snapshot (proxy->traffic);
}

static void
send_observer_request (void *data, const struct observer_request *request)
{
	struct proxy *proxy = data;

	traffic_send_observer_request (proxy->traffic, request);
}

static uint32_t
in_flight (void *data)
{
	struct proxy *proxy = data;

	return traffic_in_flight (proxy->traffic);
}

static void
handle_stopped (void *data)
{
	struct proxy *proxy = data;

	loop_stop (&proxy->loop);
}

static const struct control_traffic_ops control_traffic = {
	.handle_snapshot = handle_snapshot,
	.send_observer_request = send_observer_request,
	.in_flight = in_flight,
	.handle_stopped = handle_stopped,
};

static void
handle_observation (void *control, const char *database, uint32_t server, bool answered,
                    const struct server_status *status)
{
	control_report_observation (control, database, server, answered, status);
}

static void
handle_observer_answer (void *control, const struct observer_answer *answer)
{
	control_answer (control, answer);
}

static const struct traffic_control_ops traffic_control = {
	.handle_observation = handle_observation,
	.handle_observer_answer = handle_observer_answer,
};

static void
handle_signal (struct loop_source *source, uint32_t epoll_events)
{
	struct proxy *proxy = source->data;
	struct signalfd_siginfo info;

	(void) epoll_events;
	while (read (source->fd, &info, sizeof info) == (ssize_t) sizeof info)
	{
		log_event (LOG_LEVEL_INFO, "stop_requested", "signal=%u", info.ssi_signo);
		control_stop (proxy->control);
	}
}

/** Blocks the stop signals in all threads started after this, and reads them in the event loop. */
static int
proxy_init_signals (struct proxy *proxy)
{
	sigset_t signals;

	signal (SIGPIPE, SIG_IGN);
	sigemptyset (&signals);
	sigaddset (&signals, SIGTERM);
	sigaddset (&signals, SIGINT);
	pthread_sigmask (SIG_BLOCK, &signals, NULL);
	proxy->signal_source.fd = signalfd (-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
	if (proxy->signal_source.fd < 0)
		return -errno;
	proxy->signal_source.handle_ready = handle_signal;
	proxy->signal_source.data = proxy;
	return loop_set_source (&proxy->loop, &proxy->signal_source, EPOLLIN);
}

/** Raises the soft limit, which is often 1024, since each client takes a descriptor. */
static void
raise_descriptor_limit (void)
{
	struct rlimit limit;

	if (getrlimit (RLIMIT_NOFILE, &limit) < 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit (RLIMIT_NOFILE, &limit);
}

static int
proxy_serve (struct proxy *proxy, const struct settings *settings)
{
	int result = proxy_init_signals (proxy);

	if (result < 0)
		return result;
	proxy->traffic = traffic_new (settings, &proxy->snapshots);
	if (!proxy->traffic)
		return -EIO;
	proxy->control = control_start (settings, &proxy->snapshots, &control_traffic, proxy);
	if (!proxy->control)
		return -EIO;
	result = traffic_start (proxy->traffic, &traffic_control, proxy->control);
	if (result < 0)
		return result;
	log_event (LOG_LEVEL_INFO, "serving", "caller_port=%u traffic_port=%u control_port=%u",
	           settings->caller_port, settings->traffic_port, settings->control_port);
	return loop_run (&proxy->loop);
}

static int
proxy_run_checked (const struct settings *settings)
{
	struct proxy proxy = { .signal_source.fd = -1 };
	char vm_name[PROXY_VM_NAME_BYTES];
	int result;

	snprintf (vm_name, sizeof vm_name, "vm-%u", settings->vm_id);
	raise_descriptor_limit ();
	result = log_init (settings->log_level, vm_name);
	if (result < 0)
		return result;
	result = trace_init (settings->trace, settings->trace_sample_per_million, vm_name);
	if (result < 0)
	{
		log_event (LOG_LEVEL_ERROR, "trace_failed", "error=%d path=%s", result,
		           log_text (settings->trace));
		goto out_log;
	}
	snapshot_source_init (&proxy.snapshots);
	result = loop_init (&proxy.loop);
	if (result < 0)
		goto out_trace;
	result = proxy_serve (&proxy, settings);
	if (proxy.traffic)
		traffic_stop (proxy.traffic);
	if (proxy.control)
	{
		control_stop (proxy.control);
		control_join (proxy.control);
	}
	if (proxy.traffic)
		traffic_free (proxy.traffic);
	snapshot_source_finish (&proxy.snapshots);
	if (proxy.signal_source.fd >= 0)
		close (proxy.signal_source.fd);
	loop_finish (&proxy.loop);
	log_event (LOG_LEVEL_INFO, "stopped", "result=%d", result);
out_trace:
	trace_finish ();
out_log:
	log_finish ();
	return result;
}

int
proxy_run (int argc, char **argv)
{
	struct findings findings;
	struct settings settings;
	int code = EXIT_CODE_OK;
	int result;

	findings_init (&findings);
	result = settings_init (&settings, argc, argv, &findings);
	findings_print (&findings, stderr);
	if (result < 0)
		code = EXIT_CODE_USAGE;
	if (settings.check_only)
		settings_print (&settings, stdout);
	else if (result == 0 && proxy_run_checked (&settings) < 0)
		code = EXIT_CODE_FAILED;
	settings_finish (&settings);
	findings_finish (&findings);
	return code;
}
