#include "flamingospring/owner_monitor.h"

#include "common/clock.h"
#include "common/counters.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	MONITOR_ANSWER_TIMEOUT_US = 300 * US_PER_MS, /* Equals the observers' reply_late_us. */
	/* Longer than for a query, since the server writes a fence or promotion to its log. */
	MONITOR_COMMAND_TIMEOUT_US = US_PER_S,
	/* A command waits this long for an outstanding answer and then opens a new connection, since
	 * the old one may lead to a frozen server. */
	MONITOR_COMMAND_MAX_WAIT_US = 50 * US_PER_MS,
	MONITOR_CONNECT_TIMEOUT_US = 500 * US_PER_MS,
	MONITOR_RETRY_MIN_US = 5 * US_PER_MS,
	MONITOR_RETRY_MAX_US = 200 * US_PER_MS,
	/* Short, since the server accepts a connection as soon as another VM closes one. */
	MONITOR_REFUSED_RETRY_MAX_US = 50 * US_PER_MS,
};

static void
notify_unreachable (struct owner_monitor *monitor)
{
	struct monitor_user *next;

	for (struct monitor_user *user = monitor->users; user; user = next)
	{
		next = user->next;
		user->ops->handle_unreachable (user);
	}
}

static void
notify_refused (struct owner_monitor *monitor)
{
	struct monitor_user *next;

	for (struct monitor_user *user = monitor->users; user; user = next)
	{
		next = user->next;
		if (user->ops->handle_refused)
			user->ops->handle_refused (user);
	}
}

static void
notify_status (struct owner_monitor *monitor, const struct server_status *status, int64_t sent_us)
{
	struct monitor_user *next;

	for (struct monitor_user *user = monitor->users; user; user = next)
	{
		next = user->next;
		user->ops->handle_status (user, status, sent_us);
	}
}

/* Answers the command in @p request, which is the outstanding one or the next one to be sent. */
static void
answer_command (struct owner_monitor *monitor, struct observer_request *request,
                enum observer_result result, const struct server_status *status)
{
	struct observer_answer answer = {
		.request = *request,
		.result = result,
		.sent_us = monitor->sent_us,
	};

	if (request->kind == OBSERVER_NONE)
		return;
	request->kind = OBSERVER_NONE;
	if (status)
		answer.status = *status;
	if (monitor->command_user)
		monitor->command_user->ops->handle_command_answer (monitor->command_user, &answer);
}

static bool
has_work (const struct owner_monitor *monitor)
{
	return monitor->is_query_pending || monitor->command.kind != OBSERVER_NONE;
}

static void
monitor_connect (struct owner_monitor *monitor, int64_t now_us)
{
	if (monitor->upstream.ops->connect (&monitor->upstream, monitor->ip, monitor->port,
	                                    monitor->database) < 0)
	{
		monitor->retry_at_us = now_us + MONITOR_RETRY_MAX_US;
		answer_command (monitor, &monitor->command, OBSERVER_FAILED, NULL);
		return;
	}
	monitor->state = MONITOR_CONNECTING;
	loop_set_timer (monitor->set->loop, &monitor->timer, now_us + MONITOR_CONNECT_TIMEOUT_US);
}

/* Handles a lost or failed connection. An outstanding command fails, and when the connection could
 * not be opened, so does the next one. */
static void
monitor_fail (struct owner_monitor *monitor)
{
	int64_t now_us = clock_now_us ();
	bool was_connecting = monitor->state == MONITOR_CONNECTING;

	loop_cancel_timer (monitor->set->loop, &monitor->timer);
	monitor->state = MONITOR_CLOSED;
	monitor->failures++;
	monitor->refusals = 0;
	monitor->failed_at_us = now_us;
	monitor->is_query_pending = false;
	monitor->retry_at_us =
		now_us + backoff_delay_us (monitor->failures, MONITOR_RETRY_MIN_US, MONITOR_RETRY_MAX_US,
	                               random_next (&monitor->set->random_state));
	answer_command (monitor, &monitor->outstanding, OBSERVER_FAILED, NULL);
	if (was_connecting)
		answer_command (monitor, &monitor->command, OBSERVER_FAILED, NULL);
	notify_unreachable (monitor);
	if (monitor->state == MONITOR_CLOSED && monitor->command.kind != OBSERVER_NONE)
		monitor_connect (monitor, now_us);
}

/* A server at its connection limit is alive, so pending queries and commands stay pending. */
static void
monitor_handle_refusal (struct owner_monitor *monitor)
{
	int64_t now_us = clock_now_us ();

	monitor->state = MONITOR_CLOSED;
	monitor->refusals++;
	monitor->retry_at_us = now_us + backoff_delay_us (monitor->refusals, MONITOR_RETRY_MIN_US,
	                                                  MONITOR_REFUSED_RETRY_MAX_US,
	                                                  random_next (&monitor->set->random_state));
	loop_set_timer (monitor->set->loop, &monitor->timer, monitor->retry_at_us);
	notify_refused (monitor);
}

static int64_t
max_idle_timeout_us (const struct owner_monitor *monitor)
{
	int64_t idle_timeout_us = 0;

	for (const struct monitor_user *user = monitor->users; user; user = user->next)
		idle_timeout_us = MAX (idle_timeout_us, user->idle_timeout_us);
	return idle_timeout_us;
}

static void
monitor_set_ready (struct owner_monitor *monitor)
{
	monitor->state = MONITOR_READY;
	loop_set_timer (monitor->set->loop, &monitor->timer,
	                monitor->last_used_us + max_idle_timeout_us (monitor));
}

static int
monitor_send_outstanding (struct owner_monitor *monitor)
{
	struct upstream *upstream = &monitor->upstream;
	const struct observer_request *command = &monitor->outstanding;

	switch (command->kind)
	{
	case OBSERVER_FENCE:
		return upstream->ops->fence (upstream, command->term, command->claimant);
	case OBSERVER_PROMOTE:
		return upstream->ops->promote (upstream, command->term, command->claimant);
	default:
		counter_add (COUNTER_STATUS_QUESTIONS, 1);
		return upstream->ops->query_status (upstream);
	}
}

/* Sends the pending command or, without one, a status query. */
static void
monitor_send (struct owner_monitor *monitor, int64_t now_us)
{
	bool is_command = monitor->command.kind != OBSERVER_NONE;

	monitor->outstanding = monitor->command;
	monitor->command.kind = OBSERVER_NONE;
	monitor->is_query_pending = monitor->is_query_pending && is_command;
	monitor->state = is_command ? MONITOR_COMMANDING : MONITOR_QUERYING;
	monitor->sent_us = now_us;
	if (monitor_send_outstanding (monitor) < 0)
	{
		monitor->upstream.ops->close (&monitor->upstream);
		monitor_fail (monitor);
		return;
	}
	loop_set_timer (monitor->set->loop, &monitor->timer,
	                now_us + (is_command ? MONITOR_COMMAND_TIMEOUT_US : MONITOR_ANSWER_TIMEOUT_US));
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	struct owner_monitor *monitor = timer->data;
	bool is_preempted =
		monitor->state == MONITOR_QUERYING && now_us - monitor->sent_us < MONITOR_ANSWER_TIMEOUT_US;

	if (monitor->state == MONITOR_CLOSED)
	{
		if (has_work (monitor))
			monitor_connect (monitor, now_us);
		return;
	}
	if (monitor->state == MONITOR_READY &&
	    now_us - monitor->last_used_us < max_idle_timeout_us (monitor))
	{
		monitor_set_ready (monitor);
		return;
	}
	monitor->upstream.ops->close (&monitor->upstream);
	if (monitor->state == MONITOR_READY)
		monitor->state = MONITOR_CLOSED;
	else if (is_preempted)
	{
		/* It is too early to report the server as unreachable. The query is repeated after the
		 * command. */
		monitor->is_query_pending = true;
		monitor_connect (monitor, now_us);
	}
	else
		monitor_fail (monitor);
}

static void
handle_connected (struct upstream *upstream, int error)
{
	struct owner_monitor *monitor = upstream->data;

	loop_cancel_timer (monitor->set->loop, &monitor->timer);
	if (error == -EUSERS)
	{
		counter_add (COUNTER_UPSTREAM_REFUSED, 1);
		monitor_handle_refusal (monitor);
		return;
	}
	if (error < 0)
	{
		counter_add (COUNTER_UPSTREAM_CONNECT_ERRORS, 1);
		monitor_fail (monitor);
		return;
	}
	monitor->refusals = 0;
	monitor_set_ready (monitor);
	if (has_work (monitor))
		monitor_send (monitor, clock_now_us ());
}

/* @return whether the row that a command returned shows its effect. The row of an earlier status
 * query has the same form. */
static bool
shows_effect (const struct observer_request *command, const struct upstream_answer *answer)
{
	return answer->has_status && answer->status.promised_term == command->term &&
	       (command->kind == OBSERVER_FENCE || answer->status.is_primary);
}

static void
complete_command (struct owner_monitor *monitor, const struct upstream_answer *answer)
{
	if (answer->result == UPSTREAM_OK && !shows_effect (&monitor->outstanding, answer))
	{
		monitor->upstream.ops->close (&monitor->upstream);
		monitor_fail (monitor);
		return;
	}
	monitor_set_ready (monitor);
	answer_command (monitor, &monitor->outstanding,
	                answer->result == UPSTREAM_OK              ? OBSERVER_ACCEPTED
	                : answer->result == UPSTREAM_TERM_REJECTED ? OBSERVER_REJECTED
	                                                           : OBSERVER_FAILED,
	                &answer->status);
}

static void
handle_answer (struct upstream *upstream, const struct upstream_answer *answer)
{
	struct owner_monitor *monitor = upstream->data;
	int64_t sent_us = monitor->sent_us;
	bool was_command = monitor->state == MONITOR_COMMANDING;

	if (answer->result == UPSTREAM_LOST)
	{
		monitor_fail (monitor);
		return;
	}
	if (!was_command)
		monitor_set_ready (monitor);
	if (was_command)
		complete_command (monitor, answer);
	else if (answer->has_status)
	{
		monitor->failures = 0;
		monitor->failed_at_us = 0;
		notify_status (monitor, &answer->status, sent_us);
	}
	if (monitor->state == MONITOR_READY && has_work (monitor))
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

static struct owner_monitor *
monitor_new (struct monitor_set *set, uint32_t ip, uint16_t port, const char *database)
{
	struct owner_monitor *monitor = calloc (1, sizeof *monitor);

	if (!monitor)
		return NULL;
	monitor->set = set;
	monitor->ip = ip;
	monitor->port = port;
	g_strlcpy (monitor->database, database, sizeof monitor->database);
	monitor->timer.handle_timer = handle_timer;
	monitor->timer.data = monitor;
	set->factory->init (&monitor->upstream, set->loop, &monitor_upstream_ops, monitor);
	monitor->upstream.vm_id = set->vm_id;
	monitor->next = set->first;
	set->first = monitor;
	return monitor;
}

static void
monitor_free (struct owner_monitor *monitor)
{
	struct owner_monitor **link = &monitor->set->first;

	while (*link != monitor)
		link = &(*link)->next;
	*link = monitor->next;
	loop_cancel_timer (monitor->set->loop, &monitor->timer);
	monitor->upstream.ops->close (&monitor->upstream);
	monitor->set->factory->finish (&monitor->upstream);
	free (monitor);
}

int
owner_monitor_join (struct monitor_set *set, struct monitor_user *user, uint32_t ip, uint16_t port,
                    const char *database)
{
	struct owner_monitor *monitor = set->first;

	while (monitor && (monitor->ip != ip || monitor->port != port ||
	                   strcmp (monitor->database, database) != 0))
		monitor = monitor->next;
	if (!monitor)
		monitor = monitor_new (set, ip, port, database);
	if (!monitor)
		return -ENOMEM;
	user->monitor = monitor;
	user->next = monitor->users;
	monitor->users = user;
	return 0;
}

void
owner_monitor_leave (struct monitor_user *user)
{
	struct owner_monitor *monitor = user->monitor;
	struct monitor_user **link;

	if (!monitor)
		return;
	for (link = &monitor->users; *link != user;)
		link = &(*link)->next;
	*link = user->next;
	user->monitor = NULL;
	if (monitor->command_user == user)
	{
		monitor->command_user = NULL;
		monitor->command.kind = OBSERVER_NONE;
	}
	if (!monitor->users)
		monitor_free (monitor);
}

void
owner_monitor_query (struct owner_monitor *monitor, bool must_be_new, int64_t now_us)
{
	monitor->last_used_us = now_us;
	switch (monitor->state)
	{
	case MONITOR_CLOSED:
		if (monitor->refusals > 0)
			monitor->is_query_pending = true;
		if (now_us < monitor->retry_at_us)
			return;
		monitor->is_query_pending = true;
		monitor_connect (monitor, now_us);
		return;
	case MONITOR_CONNECTING:
		monitor->is_query_pending = true;
		return;
	case MONITOR_READY:
		monitor_send (monitor, now_us);
		return;
	case MONITOR_QUERYING:
		monitor->is_query_pending = monitor->is_query_pending || must_be_new;
		return;
	case MONITOR_COMMANDING:
		monitor->is_query_pending = true;
		return;
	}
}

void
owner_monitor_query_now (struct owner_monitor *monitor, int64_t now_us)
{
	/* The back-off after a refusal is kept, since the server is alive. */
	if (monitor->state == MONITOR_CLOSED && monitor->refusals == 0)
		monitor->retry_at_us = now_us;
	owner_monitor_query (monitor, true, now_us);
}

void
owner_monitor_command (struct monitor_user *user, const struct observer_request *command,
                       int64_t now_us)
{
	struct owner_monitor *monitor = user->monitor;
	int64_t latest_us = now_us + MONITOR_COMMAND_MAX_WAIT_US;

	monitor->command = *command;
	monitor->command_user = user;
	monitor->last_used_us = now_us;
	switch (monitor->state)
	{
	case MONITOR_CLOSED:
		if (monitor->refusals == 0)
			monitor_connect (monitor, now_us);
		return;
	case MONITOR_CONNECTING:
		return;
	case MONITOR_READY:
		monitor_send (monitor, now_us);
		return;
	case MONITOR_QUERYING:
	case MONITOR_COMMANDING:
		if (monitor->timer.due_us > latest_us)
			loop_set_timer (monitor->set->loop, &monitor->timer, latest_us);
		return;
	}
}
