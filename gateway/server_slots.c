/**
 * @file
 * The slots and connections of a server that lost answers would hold until the time limits of their statements.
 */
#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"

static bool
is_overdue (const struct connection *connection, int64_t now_us)
{
	return now_us - connection->sent_us > answer_time_overdue_us (&connection->server->answer_time);
}

/** Whether the connection's statement counts as running at the server. */
static bool
holds_slot (const struct connection *connection)
{
	return !connection->is_relayed && connection->state == CONNECTION_RUNNING &&
	       connection->lost_us == 0;
}

/** Whether the statement may be repeated, or its transaction may, without knowing what became of it. */
static bool
is_repeatable (const struct session *session)
{
	const struct request *request = &session->request;

	/* An owner does not know whether the transaction has written. */
	if (session->is_relay && request->statement.kind == STATEMENT_COMMIT && !session->is_read_only)
		return false;
	return delivery_allows_promise (DELIVERY_UNANSWERED, session_effect (session));
}

/** Ends the wait for an answer, and the connection that owes it. */
static void
give_up (struct connection *connection, int64_t now_us)
{
	struct session *session = connection->session;

	log_event (
		LOG_LEVEL_INFO, "answer_given_up",
		"server=%s service=%s request=%s state=%d waited_ms=%lld lost_ms=%lld connections=%u",
		log_text (connection->server->id), log_text (connection->server->service->name),
		session ? log_text_bytes (session->request.id->str, session->request.id->len) : "-",
		connection->state, (long long) (now_us - connection->sent_us) / US_PER_MS,
		connection->lost_us > 0 ? (long long) (now_us - connection->lost_us) / US_PER_MS : -1,
		connection->server->connection_count);
	counter_add (COUNTER_ANSWERS_GIVEN_UP, 1);
	connection_give_up (connection, "the answer of the server is lost");
}

/** Finds the oldest statement that counts as running, of those that were sent before @p before_us. */
static struct connection *
find_oldest (const struct server *server, int64_t before_us)
{
	struct connection *oldest = NULL;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
		if (holds_slot (connection) && connection->sent_us < before_us &&
		    (!oldest || connection->sent_us < oldest->sent_us))
			oldest = connection;
	return oldest;
}

void
server_apply_running (struct server *server, const struct connection *probe, int64_t now_us)
{
	struct slot_evidence evidence = { .reported = probe->status.running };
	uint32_t lost;

	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
	{
		if (!holds_slot (connection) || connection->sent_us >= probe->sent_us)
			continue;
		if (is_overdue (connection, probe->sent_us))
			evidence.overdue++;
		else
			evidence.recent++;
	}
	if (evidence.overdue == 0)
		return;
	lost = slot_inquiry_judge (&server->inquiry, &evidence);
	for (uint32_t i = 0; i < lost; i++)
	{
		struct connection *connection = find_oldest (server, probe->sent_us);

		log_event (
			LOG_LEVEL_INFO, "slot_released",
			"server=%s service=%s request=%s waited_ms=%lld overdue_ms=%lld reported=%u overdue=%u "
			"recent=%u slots=%u",
			log_text (server->id), log_text (server->service->name),
			connection->session ? log_text_bytes (connection->session->request.id->str,
		                                          connection->session->request.id->len)
								: "-",
			(long long) (now_us - connection->sent_us) / US_PER_MS,
			(long long) answer_time_overdue_us (&server->answer_time) / US_PER_MS,
			evidence.reported, evidence.overdue, evidence.recent, server->slots);
		connection_release_slot (connection, now_us);
		server->slots_released++;
		counter_add (COUNTER_SLOTS_RELEASED, 1);
	}
	if (lost > 0)
		service_dispatch (server->service);
}

/** Whether the answer to the connection's statement or setup is not worth waiting for any more. */
static bool
is_given_up (const struct connection *connection, bool is_scarce, int64_t now_us)
{
	const struct session *session = connection->session;

	if (connection->is_relayed || !session)
		return false;
	if (connection->state == CONNECTION_SETUP)
		return slot_setup_is_given_up (now_us - connection->sent_us,
		                               connection->server->answered_us - connection->sent_us,
		                               answer_time_overdue_us (&connection->server->answer_time));
	return connection->lost_us > 0 && slot_answer_is_given_up (now_us - connection->lost_us,
	                                                           is_repeatable (session), is_scarce);
}

static struct connection *
find_given_up (const struct server *server, bool is_scarce, int64_t now_us)
{
	struct connection *oldest = NULL;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
		if (is_given_up (connection, is_scarce, now_us) &&
		    (!oldest || connection->sent_us < oldest->sent_us))
			oldest = connection;
	return oldest;
}

static bool
has_overdue (const struct server *server, int64_t now_us)
{
	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
		if (holds_slot (connection) && is_overdue (connection, now_us))
			return true;
	return false;
}

void
server_check_slots (struct server *server, int64_t now_us)
{
	struct connection *connection;

	/* One connection at a time: its end may close others. */
	while ((connection = find_given_up (server, server_lacks_connections (server), now_us)))
		give_up (connection, now_us);
	if (!has_overdue (server, now_us))
		server->inquiry = (struct slot_inquiry){ .asked_us = server->inquiry.asked_us };
	else if (server->probing_count == 0 && slot_inquiry_is_due (&server->inquiry, now_us))
	{
		counter_add (COUNTER_SLOT_QUESTIONS, 1);
		slot_inquiry_start (&server->inquiry, now_us);
		server_probe (server, true, now_us);
	}
}
