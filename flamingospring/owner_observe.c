#include "flamingospring/owner_observe.h"

#include "common/clock.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>

enum
{
	/* Polls of a replica without incidents are up to 9 s apart; the connection stays open between
	 * them. */
	OBSERVED_IDLE_TIMEOUT_US = 12 * US_PER_S,
};

/** A server that this VM observes. */
struct observed
{
	struct monitor_user user;
	struct observed *next;
	struct owner_set *set;
	struct observer_request status; /**< The last status request. */
	bool is_status_pending;         /**< The last status request has no answer yet. */
	int64_t queried_us;             /**< Answers to queries before this time are too old. */
};

static void
send_answer (struct observed *observed, const struct observer_answer *answer)
{
	const struct owner_settings *settings = observed->set->settings;

	if (settings->handle_observer_answer)
		settings->handle_observer_answer (settings->observation_data, answer);
}

static void
answer_status (struct observed *observed, enum observer_result result,
               const struct server_status *status, int64_t sent_us)
{
	struct observer_answer answer = { .request = observed->status,
		                              .result = result,
		                              .sent_us = sent_us };

	observed->is_status_pending = false;
	if (status)
		answer.status = *status;
	send_answer (observed, &answer);
}

static void
handle_status (struct monitor_user *user, const struct server_status *status, int64_t sent_us)
{
	struct observed *observed = user->data;

	/* The owners report the answers to their own queries as observations. */
	if (observed->is_status_pending && sent_us >= observed->queried_us)
		answer_status (observed, OBSERVER_ACCEPTED, status, sent_us);
}

static void
handle_unreachable (struct monitor_user *user)
{
	struct observed *observed = user->data;

	/* A broken connection is reported at once instead of at the next query. */
	if (observed->status.kind != OBSERVER_NONE)
		answer_status (observed, OBSERVER_FAILED, NULL, user->monitor->sent_us);
}

static void
handle_refused (struct monitor_user *user)
{
	struct observed *observed = user->data;

	if (observed->is_status_pending)
		answer_status (observed, OBSERVER_REFUSED, NULL, user->monitor->sent_us);
}

static void
handle_command_answer (struct monitor_user *user, const struct observer_answer *answer)
{
	send_answer (user->data, answer);
}

static const struct monitor_user_ops observed_ops = {
	.handle_status = handle_status,
	.handle_unreachable = handle_unreachable,
	.handle_refused = handle_refused,
	.handle_command_answer = handle_command_answer,
};

static struct observed **
observed_find (struct owner_set *set, const struct observer_request *request)
{
	struct observed **link = &set->observed;

	while (*link)
	{
		const struct owner_monitor *monitor = (*link)->user.monitor;

		if (monitor->ip == request->ip && monitor->port == request->port &&
		    strcmp (monitor->database, request->database) == 0)
			return link;
		link = &(*link)->next;
	}
	return link;
}

static struct observed *
observed_new (struct owner_set *set, const struct observer_request *request)
{
	struct observed *observed = calloc (1, sizeof *observed);

	if (!observed)
		return NULL;
	observed->set = set;
	observed->user.ops = &observed_ops;
	observed->user.data = observed;
	observed->user.server = request->server;
	observed->user.idle_timeout_us = OBSERVED_IDLE_TIMEOUT_US;
	if (owner_monitor_join (&set->monitors, &observed->user, request->ip, request->port,
	                        request->database) < 0)
	{
		free (observed);
		return NULL;
	}
	observed->next = set->observed;
	set->observed = observed;
	return observed;
}

static void
observed_remove (struct observed **link)
{
	struct observed *observed = *link;

	if (!observed)
		return;
	*link = observed->next;
	owner_monitor_leave (&observed->user);
	free (observed);
}

void
owner_set_handle_observer_request (struct owner_set *set, const struct observer_request *request)
{
	struct observed **link = observed_find (set, request);
	struct observed *observed = *link;
	int64_t now_us = clock_now_us ();

	if (request->kind == OBSERVER_STOP)
	{
		observed_remove (link);
		return;
	}
	if (!observed)
		observed = observed_new (set, request);
	if (!observed)
	{
		log_event (LOG_LEVEL_ERROR, "out_of_memory", "at=observed_server");
		return;
	}
	if (request->kind != OBSERVER_STATUS)
	{
		owner_monitor_command (&observed->user, request, now_us);
		return;
	}
	observed->status = *request;
	observed->is_status_pending = true;
	observed->queried_us = now_us;
	owner_monitor_query_now (observed->user.monitor, now_us);
}

void
owner_set_remove_observed (struct owner_set *set)
{
	while (set->observed)
		observed_remove (&set->observed);
}
