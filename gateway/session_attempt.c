#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "decision/succession.h"
#include "decision/waiting.h"
#include "gateway/traffic_metrics.h"
#include "platform/wire.h"

#include <xxhash.h>

enum
{
	SESSION_MAX_ATTEMPTS = 6,
	/* Delay before a request that a server refused is retried. */
	SESSION_RETRY_US = 10 * US_PER_MS,
	/* An overloaded server is avoided for this long; also the delay after a refusal as not primary. */
	SESSION_OVERLOADED_US = 20 * US_PER_MS,
	/* Retry hint after several refused attempts; about the time in which a queue drains. */
	SESSION_REFUSED_US = 200 * US_PER_MS,
	/* A replica that refused a read for its position is not tried again for this long; other servers get such reads. */
	SESSION_BEHIND_US = 100 * US_PER_MS,
};

/** Counts a refusal after several attempts. @return when the caller should retry. */
static int64_t
refused_retry_us (void)
{
	counter_add (COUNTER_REFUSED_ATTEMPTS, 1);
	return waiting_retry_delay_us (SESSION_REFUSED_US, g_random_int ());
}

/** Whether a server other than @p server can run the session's statement. */
static bool
can_move (const struct session *session, const struct server *server, int64_t now_us)
{
	const struct service *service = server->service;

	for (guint i = 0; i < service->servers->len; i++)
		if (service->servers->pdata[i] != server &&
		    service_may_run (session, service->servers->pdata[i], now_us))
			return true;
	return false;
}

/** Whether an earlier answer may have been taken for that to the transaction's begin, which may have been refused. */
static bool
needs_position_again (const struct session *session, const struct connection *connection)
{
	return session->state == TRANSACTION_OPEN && session->is_read_only && connection->match &&
	       connection->match->is_begin_unsure && !request_is_write (&session->request) &&
	       session->request.statement.kind != STATEMENT_COMMIT;
}

/** @return the position that the transaction's begin required, or NULL. */
static const struct log_position *
find_transaction_position (const struct session *session, bool is_primary,
                           struct log_position *position)
{
	if (session->is_relay)
		return session->relay_after.term > 0 ? &session->relay_after : NULL;
	return !is_primary && session_find_required_position (session, position) ? position : NULL;
}

/** Sends the statement on a connection that has been set up. */
static void
session_send (struct session *session, struct connection *connection, int64_t now_us)
{
	struct request *request = &session->request;
	GString *out = connection->stream.out;
	struct text id = { request->id->str, request->id->len };
	struct text text = { request->text->str, request->text->len };
	struct server *server = connection->server;
	bool is_primary = server->service->primary == server;
	struct log_position position;
	struct forward_hint hint = {
		.priority = session->priority,
		.target_latency_ms = session->target_latency_ms,
		.waited_ms = (uint32_t) ((now_us - request->arrived_us) / US_PER_MS),
		.limit_ms = (uint32_t) MAX ((request->deadline_us - now_us) / US_PER_MS, 1),
		.may_move = connection->is_relayed && session->state == TRANSACTION_NONE &&
		            can_move (session, server, now_us),
	};
	struct wire_prefix prefix = {
		.tenant = connection->is_relayed && session->tenant ? session->tenant->name : NULL,
		.hint = connection->is_relayed ? &hint : NULL,
	};

	if (needs_position_again (session, connection))
		prefix.after = find_transaction_position (session, is_primary, &position);
	else if (session->is_relay)
		prefix.after = request->has_after ? &request->after : NULL;
	else if (session->state == TRANSACTION_NONE && !is_primary && !request_is_write (request) &&
	         session_find_required_position (session, &position))
	{
		prefix.after = &position;
		if (server->is_behind && !log_position_covers (server->applied, position))
			server->probe_read = connection;
	}
	if (!session->takes_any_tenant)
		server->last_tenant = session->tenant;
	if (!connection->is_relayed && !session->takes_any_tenant && server_has_tenants (server))
		server_pool_add_use (server, session->tenant, now_us);
	if (!session->is_relay && session->tenant)
		tenant_demand_add (&session->tenant->demand, now_us);
	connection->sent_us = now_us;
	connection->sent_to_primary = is_primary && service_can_use_primary (server->service, now_us);
	request->delivery = DELIVERY_UNANSWERED;
	g_strlcpy (request->server, server->id, sizeof request->server);
	request->sent_us = now_us;
	request->attempts++;
	connection->statement_wanted = request->statement.kind == STATEMENT_CONTROL
	                                   ? ANSWER_WANTED_REPORT
	                                   : ANSWER_WANTED_STATEMENT;
	connection->statement_id =
		XXH3_64bits_withSeed (text.start, text.length, XXH3_64bits (id.start, id.length));
	connection->state_after =
		session->state == TRANSACTION_OPEN && request->statement.kind != STATEMENT_COMMIT
			? TRANSACTION_OPEN
			: TRANSACTION_NONE;
	connection_set_state (connection, CONNECTION_RUNNING);
	if (request->shape)
		wire_encode_execute (out, id, prefix, request->shape->name, request->statement.arguments);
	else
		wire_encode_query (out, id, prefix, text);
	line_stream_flush (&connection->stream);
}

/**
 * Whether the statement of an open transaction waits for the rest of an answer that nothing waits for: rows of it would be
 * taken for those of the statement. session_tick() tries again. The connection ends if the rest does not come.
 */
static bool
waits_for_part (struct session *session, struct connection *connection, int64_t now_us)
{
	enum
	{
		PART_US = 100 * US_PER_MS,
	};

	if (session->connection != connection || connection->state != CONNECTION_IDLE ||
	    !connection_has_part (connection))
		return false;
	session->request.retry_us = now_us;
	if (!connection->stream.is_handling && now_us - session->request.arrived_us > PART_US)
		connection_give_up (connection, "a part of another answer has come");
	return true;
}

void
session_run (struct session *session, struct connection *connection, int64_t now_us)
{
	bool begins = session->state == TRANSACTION_OPEN && !session->is_started;
	struct log_position position;
	const struct log_position *after = NULL;

	if (waits_for_part (session, connection, now_us))
		return;
	if (session->connection != connection)
		session->request.chosen_us = now_us;
	connection->session = session;
	session->connection = connection;
	if (begins && connection->is_in_transaction)
	{
		session->is_started = true;
		begins = false;
	}
	/* The server's entry or the authority may have lapsed while the connection was set up. */
	if (!service_may_run (session, connection->server, now_us))
	{
		connection->session = NULL;
		session->connection = NULL;
		service_enqueue (session->service, session);
		connection_release (connection, now_us);
		return;
	}
	if (session->cap_state == CAP_HELD)
		session->cap_state = CAP_USED;
	connection->setup_pending = connection_prepare (connection, session);
	connection->setup_code = ANSWER_DONE;
	connection->setup_has_begin = begins;
	connection->setup_is_read_only = session->is_read_only;
	connection->setup_is_in_doubt = false;
	session->is_first_statement = begins;
	if (begins)
	{
		if (session->is_relay)
			after = &session->relay_after;
		else if (connection->server->service->primary != connection->server &&
		         session_find_required_position (session, &position))
			after = &position;
		wire_encode_begin (connection->stream.out, session->is_read_only, after);
		connection->setup_pending++;
	}
	/* The owner executes BEGIN together with the statement, or neither of them. */
	if (connection->is_relayed)
		session->is_started |= begins;
	if (connection->setup_pending == 0 || connection->is_relayed)
	{
		session_send (session, connection, now_us);
		return;
	}
	connection->sent_us = now_us;
	connection->sent_to_primary = false;
	connection_set_state (connection, CONNECTION_SETUP);
	line_stream_flush (&connection->stream);
}

void
server_heed_refusal (struct server *server, enum answer_code code, int64_t now_us)
{
	if (code == ANSWER_BEHIND)
	{
		server->is_behind = true;
		server->behind_until_us = now_us + SESSION_BEHIND_US;
	}
	else if (code == ANSWER_OVERLOADED)
		server->overloaded_until_us = now_us + SESSION_OVERLOADED_US;
	else if (code == ANSWER_NOT_PRIMARY)
		gateway_traffic_send_report (server, NULL, now_us);
}

/** Prepares the retry of a request that has had no effect. @return false when there were too many attempts. */
static bool
session_retry (struct session *session, struct server *server, enum answer_code code,
               int64_t now_us)
{
	struct request *request = &session->request;

	request->last_code = code;
	request->delivery = DELIVERY_NOT_SENT;
	request->retry_us = now_us;
	/* A read that replicas refuse for its position has no limit of attempts: it waits until it would be late. */
	if (code != ANSWER_BEHIND && request->attempts > SESSION_MAX_ATTEMPTS)
		return false;
	server_heed_refusal (server, code, now_us);
	if (code == ANSWER_OVERLOADED)
		request->retry_us = now_us + SESSION_RETRY_US;
	else if (code == ANSWER_NOT_PRIMARY)
		request->retry_us = now_us + SESSION_OVERLOADED_US;
	counter_add (COUNTER_RETRIES, 1);
	return true;
}

void
session_handle_setup_failed (struct session *session, struct server *server, enum answer_code code,
                             int64_t now_us)
{
	bool in_transaction = session->state == TRANSACTION_OPEN && session->is_started;

	session->request.attempts++;
	if (session->is_relay)
		relay_refuse (session, code, "refused by the server");
	else if (in_transaction)
		session_fail (session, ANSWER_ROLLED_BACK, "session state could not be set up");
	else if (session_retry (session, server, code, now_us))
		service_enqueue (session->service, session);
	else
		session_refuse (session, ANSWER_OVERLOADED, "refused by all servers", refused_retry_us ());
}

/** Records and logs the parts of a request's latency. */
static void
record_latencies (const struct session *session, const struct connection *connection,
                  int64_t now_us)
{
	const struct request *request = &session->request;
	const struct server *server = connection->server;
	struct histogram *latencies =
		traffic_latencies[MIN (session->priority, TRAFFIC_PRIORITIES - 1)];
	int64_t total_us = now_us - request->arrived_us;
	int64_t chosen_us = MAX (request->chosen_us, request->arrived_us);
	bool is_slow = total_us >= (int64_t) session->target_latency_ms * US_PER_MS / 2;
	enum log_request_class log_class = is_slow ? LOG_REQUEST_SLOW : LOG_REQUEST_DONE;

	histogram_add (&latencies[TRAFFIC_HOP_TOTAL], total_us);
	histogram_add (&latencies[TRAFFIC_HOP_QUEUE], chosen_us - request->arrived_us);
	histogram_add (&latencies[TRAFFIC_HOP_SETUP], request->sent_us - chosen_us);
	histogram_add (&latencies[TRAFFIC_HOP_SERVER], now_us - request->sent_us);
	if (!log_request_allowed (log_class))
		return;
	log_request (
		log_class, is_slow ? "slow" : "done",
		"request=%s database=%s service=%s priority=%u server=%s path=%s primary=%d near=%d "
		"transaction=%d attempts=%u total_us=%lld queue_us=%lld setup_us=%lld server_us=%lld "
		"predicted_us=%lld reported_ms=%lld lead=%u.%u knowledge_age_ms=%lld",
		log_text_bytes (request->id->str, request->id->len), log_text (session->database),
		log_text (session->service->name), session->priority, log_text (server->id),
		connection->is_relayed ? "owner" : "direct", session->service->primary == server,
		server->is_same_zone, session->state != TRANSACTION_NONE, request->attempts,
		(long long) total_us, (long long) (chosen_us - request->arrived_us),
		(long long) (request->sent_us - chosen_us), (long long) (now_us - request->sent_us),
		(long long) request->predicted_us,
		(long long) server_reported_wait_us (server, now_us) / US_PER_MS,
		succession_change_era (session->service->record_change),
		succession_change_count (session->service->record_change),
		(long long) (now_us - session->traffic->records_valid_us) / US_PER_MS);
}

/** Sends a server's answer to the caller. */
static void
session_forward (struct session *session, const char *answer, size_t length)
{
	g_string_append_len (session->stream.out, answer, (gssize) length);
	wire_encode_ready (session->stream.out, session->state, NULL);
	counter_add (COUNTER_REQUESTS_DONE, 1);
	session_answered (session);
}

/**
 * Holds back the answer to a commit until the records are confirmed, unless this VM's authority to use the primary
 * still lasts: a commit must not be acknowledged when a change of primary may have begun before the answer.
 * @return whether the answer is held.
 */
static bool
session_hold_commit (struct session *session, struct connection *connection, int64_t now_us)
{
	struct request *request = &session->request;
	const struct service *service = connection->server->service;
	int64_t valid_us =
		service->is_changing ? service->valid_before_change_us : session->traffic->records_valid_us;

	if (now_us - valid_us < SUCCESSION_AUTHORITY_MS * US_PER_MS &&
	    service->primary == connection->server)
		return false;
	request->is_commit_held = true;
	request->answered_us = now_us;
	g_string_assign (request->answer, "");
	g_string_append_len (request->answer, connection->answer->str,
	                     (gssize) connection->answer->len);
	session->service->held_commits = g_list_prepend (session->service->held_commits, session);
	return true;
}

static void
record_commit (struct session *session, const struct server_message *ready, int64_t now_us)
{
	struct own_commit commit = {
		.log = session->service->number,
		.change = session->service->record_change,
		.answered_us = now_us,
	};

	if (ready->has_position)
		commit.position = ready->position;
	own_commits_add (&session->commits, &commit);
}

static void
session_handle_success (struct session *session, struct connection *connection,
                        const struct server_message *ready, int64_t now_us)
{
	struct request *request = &session->request;
	bool was_open = session->state == TRANSACTION_OPEN;
	bool commits = was_open ? request->statement.kind == STATEMENT_COMMIT && session->has_written
	                        : request_is_write (request);
	bool is_commit_held;

	record_latencies (session, connection, now_us);
	session->is_first_statement = false;
	if (was_open && request_is_write (request))
		session->has_written = true;
	if (commits)
	{
		record_commit (session, ready, now_us);
		counter_add (COUNTER_WRITES, 1);
	}
	is_commit_held = commits && session_hold_commit (session, connection, now_us);
	if (was_open && ready->state != TRANSACTION_NONE)
	{
		session->state = ready->state;
		session_forward (session, connection->answer->str, connection->answer->len);
		return;
	}
	session->state = TRANSACTION_NONE;
	session->is_started = false;
	session->has_written = false;
	session->connection = NULL;
	connection->session = NULL;
	if (!is_commit_held)
		session_forward (session, connection->answer->str, connection->answer->len);
	if (connection->state == CONNECTION_IDLE && connection->is_in_transaction)
		connection_roll_back (connection);
	else if (connection->state == CONNECTION_IDLE)
		connection_release (connection, now_us);
}

/** Handles an error inside a transaction that has begun at the server. */
static void
session_handle_transaction_error (struct session *session, struct connection *connection,
                                  const struct server_message *ready, int64_t now_us)
{
	struct request *request = &session->request;
	enum answer_code code = connection->code;
	bool is_commit = request->statement.kind == STATEMENT_COMMIT;

	/* A refused statement does not change the transaction, so session_tick() sends it again. */
	if (code == ANSWER_OVERLOADED && ready->state == TRANSACTION_OPEN &&
	    request->attempts <= SESSION_MAX_ATTEMPTS)
	{
		request->retry_us = now_us + SESSION_RETRY_US;
		request->delivery = DELIVERY_NOT_SENT;
		return;
	}
	if (delivery_judge (request->delivery, session_effect (session)) == OUTCOME_IN_DOUBT)
		session_fail (session, ANSWER_IN_DOUBT, "the server's answer to the commit was an error");
	else if (request->delivery == DELIVERY_RAN && !is_commit)
		session_fail (session, code, "a statement of the transaction failed");
	else
		session_fail (session, ANSWER_ROLLED_BACK,
		              "the server refused a statement of the transaction");
}

static void
session_handle_error (struct session *session, struct connection *connection, int64_t now_us)
{
	struct request *request = &session->request;
	struct server *server = connection->server;
	enum answer_code code = connection->code;
	enum delivery delivery = request->delivery;
	enum delivery_outcome outcome = delivery_judge (delivery, session_effect (session));
	bool is_lost_name = code == ANSWER_UNKNOWN_STATEMENT;
	bool may_repeat = outcome == OUTCOME_NOT_KEPT || outcome == OUTCOME_ROLLED_BACK;

	session->connection = NULL;
	connection->session = NULL;
	if (may_repeat && session_retry (session, server, code, now_us))
		service_enqueue (session->service, session);
	else if (delivery == DELIVERY_REFUSED)
		session_refuse (session, code, "refused by the server", refused_retry_us ());
	else if (outcome == OUTCOME_IN_DOUBT)
		session_fail (session, ANSWER_IN_DOUBT, "the server's answer is not complete");
	else
		session_fail (session, delivery == DELIVERY_UNANSWERED ? ANSWER_TIMED_OUT : code,
		              "the server reported an error");
	/* A connection that lost its prepared statements has lost its session values as well. */
	if (is_lost_name)
		connection_close (connection);
	else if (connection->is_in_transaction)
		connection_roll_back (connection);
	else
		connection_release (connection, now_us);
}

/** Whether nothing of the transaction is kept at the server, so that it may begin once more. */
static bool
can_begin_again (const struct session *session, const struct connection *connection,
                 const struct server_message *ready)
{
	if (ready->state == TRANSACTION_NONE)
		return answer_code_did_not_run (connection->code);
	/* The owner has closed its connection to the server. */
	return connection->is_relayed && ready->state == TRANSACTION_FAILED &&
	       session->request.delivery == DELIVERY_UNANSWERED &&
	       session_effect (session) == EFFECT_AT_COMMIT;
}

/** Handles an owner's refusal to begin the transaction; nothing has run. */
static void
session_handle_begin_refused (struct session *session, struct connection *connection,
                              int64_t now_us)
{
	session->is_started = false;
	session->is_first_statement = false;
	session_handle_error (session, connection, now_us);
}

void
session_handle_answer (struct session *session, struct connection *connection,
                       const struct server_message *ready, int64_t now_us)
{
	session->request.delivery =
		answer_code_delivery (connection->code, connection->summary.has_completion);
	if (session->is_relay)
		relay_handle_answer (session, connection, ready, now_us);
	else if (connection->code == ANSWER_DONE && connection->summary.has_completion)
		session_handle_success (session, connection, ready, now_us);
	else if (session->state == TRANSACTION_OPEN && session->is_first_statement &&
	         can_begin_again (session, connection, ready))
		session_handle_begin_refused (session, connection, now_us);
	else if (session->state == TRANSACTION_OPEN)
		session_handle_transaction_error (session, connection, ready, now_us);
	else
		session_handle_error (session, connection, now_us);
}

void
session_handle_lost (struct session *session, int64_t now_us)
{
	struct request *request = &session->request;
	bool is_in_doubt =
		delivery_judge (request->delivery, session_effect (session)) == OUTCOME_IN_DOUBT;

	if (session->is_closed)
		return;
	if (session->is_relay)
	{
		/* The forwarding VM decides what may have run. */
		session_close (session);
		return;
	}
	if (!request->is_active)
	{
		session->is_aborted = session->state == TRANSACTION_OPEN;
		return;
	}
	if (session->state == TRANSACTION_OPEN && session->is_started && !session->is_first_statement)
	{
		if (is_in_doubt)
			session_fail (session, ANSWER_IN_DOUBT, "connection lost during the commit");
		else
			session_fail (session, ANSWER_ROLLED_BACK, "connection lost in the transaction");
		return;
	}
	/* A statement that was sent together with BEGIN is rolled back with its transaction, so it can be retried. */
	session->is_started = false;
	if (is_in_doubt)
	{
		session_fail (session, ANSWER_IN_DOUBT, "connection lost after the write was sent");
		return;
	}
	if (++request->attempts > SESSION_MAX_ATTEMPTS)
	{
		session_refuse (session, ANSWER_OVERLOADED, "connections lost", refused_retry_us ());
		return;
	}
	request->delivery = DELIVERY_NOT_SENT;
	request->retry_us = now_us;
	session_enqueue (session, now_us);
}

void
session_release_commit (struct session *session, bool is_confirmed)
{
	struct request *request = &session->request;

	if (is_confirmed)
		session_forward (session, request->answer->str, request->answer->len);
	else
		session_fail (session, ANSWER_IN_DOUBT, "the primary was replaced before the answer");
}
