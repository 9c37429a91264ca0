#include "flamingospring/owner_monitor.h"

#include "common/clock.h"
#include "common/counters.h"

#include <string.h>

enum
{
	MONITOR_ANSWER_US = 300 * US_PER_MS, /* As reply_late_us of failover observers. */
	MONITOR_CONNECT_US = 500 * US_PER_MS,
	MONITOR_IDLE_US = 5 * US_PER_S,
	MONITOR_RETRY_MIN_US = 5 * US_PER_MS,
	MONITOR_RETRY_MAX_US = 200 * US_PER_MS,
};

static void
monitor_fail (struct owner_monitor *monitor)
{
	int64_t now_us = clock_now_us ();

	loop_cancel_timer (monitor->loop, &monitor->timer);
	monitor->state = MONITOR_CLOSED;
	monitor->failures++;
	monitor->silent_at_us = now_us;
	monitor->retry_at_us =
		now_us + backoff_delay_us (monitor->failures, MONITOR_RETRY_MIN_US, MONITOR_RETRY_MAX_US,
	                               random_next (&monitor->random));
	monitor->ops->handle_silence (monitor);
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	struct owner_monitor *monitor = timer->data;

	(void) now_us;
	monitor->upstream.ops->close (&monitor->upstream);
	monitor_fail (monitor);
}

static void
monitor_send (struct owner_monitor *monitor, int64_t now_us)
{
	monitor->is_wanted = false;
	if (monitor->upstream.ops->ask_status (&monitor->upstream) < 0)
	{
		monitor->upstream.ops->close (&monitor->upstream);
		monitor->state = MONITOR_CLOSED;
		monitor->retry_at_us = now_us + MONITOR_RETRY_MIN_US;
		return;
	}
	counter_add (COUNTER_STATUS_QUESTIONS, 1);
	monitor->state = MONITOR_ASKING;
	monitor->sent_us = now_us;
	loop_set_timer (monitor->loop, &monitor->timer, now_us + MONITOR_ANSWER_US);
}

static void
handle_connected (struct upstream *upstream, int error)
{
	struct owner_monitor *monitor = upstream->data;

	loop_cancel_timer (monitor->loop, &monitor->timer);
	if (error < 0)
	{
		counter_add (COUNTER_UPSTREAM_CONNECT_ERRORS, 1);
		monitor_fail (monitor);
		return;
	}
	monitor->state = MONITOR_READY;
	if (monitor->is_wanted)
		monitor_send (monitor, clock_now_us ());
}

static void
handle_answer (struct upstream *upstream, const struct upstream_answer *answer)
{
	struct owner_monitor *monitor = upstream->data;
	int64_t sent_us = monitor->sent_us;

	loop_cancel_timer (monitor->loop, &monitor->timer);
	if (answer->result == UPSTREAM_LOST)
	{
		monitor_fail (monitor);
		return;
	}
	monitor->state = MONITOR_READY;
	if (!answer->has_status)
		return;
	monitor->failures = 0;
	monitor->silent_at_us = 0;
	monitor->ops->handle_status (monitor, &answer->status, sent_us);
	if (monitor->is_wanted && monitor->state == MONITOR_READY)
		monitor_send (monitor, clock_now_us ());
}

static void
handle_closed (struct upstream *upstream)
{
	struct owner_monitor *monitor = upstream->data;

	monitor_fail (monitor);
}

static const struct upstream_user_ops monitor_upstream_ops = {
	.handle_connected = handle_connected,
	.handle_answer = handle_answer,
	.handle_closed = handle_closed,
};

void
owner_monitor_init (struct owner_monitor *monitor, struct loop *loop,
                    const struct owner_upstream_factory *factory,
                    const struct owner_monitor_ops *ops, void *data, uint32_t server, uint32_t ip,
                    uint16_t port, const char *database, uint64_t seed)
{
	memset (monitor, 0, sizeof *monitor);
	monitor->ops = ops;
	monitor->data = data;
	monitor->server = server;
	monitor->loop = loop;
	monitor->factory = factory;
	monitor->ip = ip;
	monitor->port = port;
	monitor->database = database;
	monitor->random = seed;
	monitor->timer.handle_timer = handle_timer;
	monitor->timer.data = monitor;
	factory->init (&monitor->upstream, loop, &monitor_upstream_ops, monitor);
}

void
owner_monitor_finish (struct owner_monitor *monitor)
{
	loop_cancel_timer (monitor->loop, &monitor->timer);
	monitor->upstream.ops->close (&monitor->upstream);
	monitor->factory->finish (&monitor->upstream);
}

void
owner_monitor_ask (struct owner_monitor *monitor, bool is_new, int64_t now_us)
{
	monitor->used_us = now_us;
	switch (monitor->state)
	{
	case MONITOR_CLOSED:
		if (now_us < monitor->retry_at_us)
			return;
		monitor->is_wanted = true;
		if (monitor->upstream.ops->connect (&monitor->upstream, monitor->ip, monitor->port,
		                                    monitor->database) < 0)
		{
			monitor->retry_at_us = now_us + MONITOR_RETRY_MAX_US;
			return;
		}
		monitor->state = MONITOR_CONNECTING;
		loop_set_timer (monitor->loop, &monitor->timer, now_us + MONITOR_CONNECT_US);
		return;
	case MONITOR_CONNECTING:
		monitor->is_wanted = true;
		return;
	case MONITOR_READY:
		monitor_send (monitor, now_us);
		return;
	case MONITOR_ASKING:
		monitor->is_wanted = monitor->is_wanted || is_new;
		return;
	}
}

void
owner_monitor_close_idle (struct owner_monitor *monitor, int64_t now_us)
{
	if (monitor->state != MONITOR_READY || now_us - monitor->used_us < MONITOR_IDLE_US)
		return;
	monitor->upstream.ops->close (&monitor->upstream);
	monitor->state = MONITOR_CLOSED;
}
