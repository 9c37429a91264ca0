#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "decision/waiting.h"

void
session_time_out (struct session *session, const char *cause)
{
	struct request *request = &session->request;
	struct connection *connection = session->connection;
	enum delivery_outcome outcome = delivery_judge (request->delivery, session_effect (session));
	enum answer_code code = ANSWER_OVERLOADED;

	if (request->is_commit_held)
	{
		session->service->held_commits = g_list_remove (session->service->held_commits, session);
		session_fail (session, ANSWER_IN_DOUBT, "the commit was not confirmed in time");
		return;
	}
	if (outcome == OUTCOME_IN_DOUBT)
		code = ANSWER_IN_DOUBT;
	else if (outcome == OUTCOME_ROLLED_BACK)
		code = ANSWER_ROLLED_BACK;
	else if (request->delivery == DELIVERY_UNANSWERED)
		code = ANSWER_TIMED_OUT;
	else if (request->last_code == ANSWER_BEHIND)
		code = ANSWER_BEHIND;
	/* The server may still run the statement, so its connection is not reused. */
	if (connection)
	{
		connection->session = NULL;
		session->connection = NULL;
		connection_close (connection);
	}
	session_fail (session, code, cause);
}

void
session_abort_idle (struct session *session)
{
	struct connection *connection = session->connection;

	log_event (LOG_LEVEL_INFO, "transaction_abandoned", "database=%s",
	           log_text (session->database));
	session->connection = NULL;
	session->is_aborted = true;
	if (!connection)
		return;
	connection->session = NULL;
	connection_roll_back (connection);
}

/** Whether no server can run the request at present, as far as this VM knows. */
static bool
is_unavailable (const struct session *session, int64_t now_us)
{
	const struct service *service = session->service;
	struct log_position position;
	bool has_primary =
		service_can_use_primary (service, now_us) && service->primary->failed_us == 0;

	if (has_primary)
		return false;
	return session_needs_primary (session) || !session_find_required_position (session, &position);
}

/**
 * Estimates when to retry a request that no server can run now: after the current change of primary, or after the time
 * that the agreement on a lost primary and its replacement take.
 */
static int64_t
estimate_retry_delay_us (const struct session *session, int64_t now_us)
{
	/* Usual duration of an agreement and a promotion on the platform, and the shortest useful delay. */
	enum
	{
		CHANGE_US = 2000 * US_PER_MS,
		MIN_RETRY_US = 100 * US_PER_MS,
	};
	const struct service *service = session->service;
	int64_t since_us = service->is_changing ? service->record_adopted_us : now_us;

	if (!service->is_changing && service->primary && service->primary->failed_us > 0)
		since_us = service->primary->failed_us;
	return MAX (CHANGE_US - (now_us - since_us), MIN_RETRY_US);
}

/** Counts a refusal while a server that may run the request has a free slot here. */
static void
count_refused (const struct session *session, enum counter cause, int64_t now_us)
{
	const struct service *service = session->service;

	counter_add (cause, 1);
	for (guint i = 0; i < service->servers->len; i++)
	{
		const struct server *server = service->servers->pdata[i];

		if (server->failed_us > 0 || server->running_count >= server->slots ||
		    !service_may_run (session, server, now_us))
			continue;
		counter_add (COUNTER_REFUSED_NEEDLESS, 1);
		return;
	}
}

/**
 * Whether a queued request is refused. One that waits for a slot is refused only when it cannot be answered within its
 * time limit, by the VM whose queue it is in. One that waits for anything else, e.g. for a connection to an owner, is
 * refused once it would be late, since another VM may serve it.
 */
static bool
is_hopeless (const struct session *session, int64_t now_us)
{
	const struct request *request = &session->request;
	int64_t target_us = (int64_t) session->target_latency_ms * US_PER_MS;

	if (service_waits_for_slot (session, now_us))
		return service_exceeds_limit (session, false, now_us);
	return waiting_judge_overload (now_us - request->arrived_us, target_us) == WAITING_REFUSE;
}

/** Refuses a queued request that would be served too late. */
static void
session_tick_queued (struct session *session, int64_t now_us)
{
	struct request *request = &session->request;
	bool is_relay = session->is_relay;
	int64_t waited_us = now_us - request->arrived_us;
	int64_t target_us = (int64_t) session->target_latency_ms * US_PER_MS;
	bool is_late = is_hopeless (session, now_us);

	if (is_late)
		count_refused (session,
		               service_waits_for_slot (session, now_us) ? COUNTER_REFUSED_LIMIT
		                                                        : COUNTER_REFUSED_WAIT,
		               now_us);
	if (is_relay && session->relay_server->failed_us > 0)
	{
		relay_refuse (session, ANSWER_OVERLOADED, "the server does not answer");
		session_close (session);
	}
	else if (is_relay && !session->relay_server->is_listed)
		relay_refuse (session, ANSWER_OVERLOADED, "the server is not known here");
	else if (is_relay && is_late)
		relay_refuse (session, ANSWER_OVERLOADED, "the server is busy");
	else if (is_relay)
		return;
	else if (waiting_judge_outage (waited_us, target_us) == WAITING_REFUSE &&
	         is_unavailable (session, now_us))
	{
		counter_add (COUNTER_REFUSED_OUTAGE, 1);
		session_refuse (session, ANSWER_OVERLOADED, "no server can run it now",
		                estimate_retry_delay_us (session, now_us));
	}
	else if (is_late)
		session_refuse (session, ANSWER_OVERLOADED, "all servers are busy",
		                service_retry_delay_us (session, now_us));
}

void
session_tick (struct session *session, int64_t now_us)
{
	/* Reserve for the answer to reach the caller within the time limit. */
	enum
	{
		ANSWER_MARGIN_US = 20 * US_PER_MS,
		GREETING_TIMEOUT_US = 5 * US_PER_S,
	};
	static const char *const time_limit_cause = "the time limit of the statement is over";
	struct request *request = &session->request;
	const struct view *view = session->traffic->view;

	bool is_over = request->is_active && now_us > request->deadline_us - ANSWER_MARGIN_US;

	if (is_over && session->is_relay)
		relay_give_up (session, time_limit_cause);
	else if (is_over)
		session_time_out (session, time_limit_cause);
	else if (session->cap_state == CAP_WAITING)
		tenant_caps_tick (session, now_us);
	else if (request->is_active && session->connection && request->delivery == DELIVERY_NOT_SENT &&
	         session->connection->state == CONNECTION_IDLE && now_us >= request->retry_us)
		session_run (session, session->connection, now_us);
	else if (request->is_active && request->is_queued)
		session_tick_queued (session, now_us);
	else if (!request->is_active && session->state == TRANSACTION_OPEN && !session->is_aborted &&
	         view && view->configuration &&
	         now_us - session->active_us >
	             (int64_t) view->configuration->transaction_idle_ms * US_PER_MS)
		session_abort_idle (session);
	if (!session->is_closed)
		client_limits_check_session (session, now_us);
	if (session->is_closed)
		return;
	if (session->is_starting && session->is_relay)
		relay_greet (session, now_us);
	else if (session->is_starting)
		session_greet (session);
	if (session->is_closed)
		return;
	if (!session->is_greeted && now_us - session->active_us > GREETING_TIMEOUT_US)
		session_close (session);
	else
		session_check_end (session, now_us);
}
