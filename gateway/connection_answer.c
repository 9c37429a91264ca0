/**
 * @file
 * What a server, or the owner of one, sends on a connection: lines are collected to answers, each answer is judged by
 * decision/answer_match.c, and one that is believed goes to what waits for it.
 */
#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "platform/wire.h"

#include <errno.h>
#include <xxhash.h>

enum
{
	/* After its last repeated answer a server counts as one that repeats. */
	REPEATS_US = 600 * US_PER_S,
	/* Several times the usual time of an answer, and a small part of the staleness bounds of routes. */
	SETTLE_US = 60 * US_PER_MS,
};

/** Handles the READY that ends the answer to the greeting. */
static void
handle_greeting (struct connection *connection, int64_t now_us)
{
	if (connection->is_relayed)
		server_handle_relay_alive (connection->server, connection->relay_ip);
	if (connection->tenant)
		connection->tenant->connections_opened++;
	connection_release (connection, now_us);
}

/** Handles the server's refusal of the connection. */
static void
handle_refused (struct connection *connection, enum answer_code code, int64_t now_us)
{
	/* Other VMs close surplus connections within seconds. A wrong server stays wrong until its entry changes. */
	enum
	{
		GROWTH_PAUSE_US = 300 * US_PER_MS,
		WRONG_SERVER_PAUSE_US = 1000 * US_PER_MS,
	};
	struct server *server = connection->server;

	log_event (LOG_LEVEL_WARN, "connection_refused",
	           "server=%s code=%s open=%u relayed=%d owner=%d standby=%d owner_lost_ms=%lld",
	           log_text (server->id), answer_code_name (code), server->connection_count,
	           connection->is_relayed, server->owners[0].is_self, server->owners[1].is_self,
	           server->is_relay_lost ? (long long) (now_us - server->relay_lost_us) / US_PER_MS
	                                 : 0);
	if (connection->is_relayed && code == ANSWER_OVERLOADED)
		server_handle_suspicion (server, connection->relay_ip, now_us);
	else if (connection->is_relayed)
		server_handle_relay_lost (server, connection->relay_ip, false, now_us);
	else if (code == ANSWER_TOO_MANY_CONNECTIONS)
	{
		server_handle_alive (server, now_us);
		server->next_growth_us = now_us + GROWTH_PAUSE_US;
		server_pool_handle_refused (server, now_us);
	}
	else
		server->next_connect_us = now_us + WRONG_SERVER_PAUSE_US;
	connection_close (connection);
}

static void
record_position (struct connection *connection, const struct server_message *ready, int64_t now_us)
{
	struct server *server = connection->server;
	struct service *service = server->service;

	if (!ready->has_position)
		return;
	server->applied = ready->position;
	server->applied_us = now_us;
	if (connection->sent_to_primary && service->primary == server && !service->is_changing)
		position_history_add (&service->history, connection->sent_us, ready->position);
}

bool
connection_has_part (const struct connection *connection)
{
	return connection->answer->len > 0 || line_stream_has_input (&connection->stream);
}

/** Learns that the server sends answers again. What was dated without that knowledge is forgotten. */
static void
note_repeats (struct server *server, int64_t now_us)
{
	struct service *service = server->service;

	if (!server_has_repeats (server) && service->primary == server)
		position_history_init (&service->history);
	server->unsettled.sent_us = 0;
	server->repeated_us = now_us;
}

void
server_settle (struct server *server, int64_t now_us)
{
	struct service *service = server->service;
	struct unsettled_report *unsettled = &server->unsettled;

	if (unsettled->sent_us == 0 || now_us - unsettled->received_us < SETTLE_US)
		return;
	if (unsettled->is_sample && service->primary == server && !service->is_changing)
		position_history_add (&service->history, unsettled->sent_us, unsettled->position);
	if (unsettled->has_status)
		gateway_traffic_send_report (server, &unsettled->status, unsettled->sent_us);
	unsettled->sent_us = 0;
}

/** The status of an idle server is the same each time, so it may be an earlier one, whose true answer follows. */
static void
hold_report (struct connection *connection, const struct server_message *ready, int64_t now_us)
{
	struct server *server = connection->server;

	if (server->unsettled.sent_us > 0)
		return;
	server->unsettled = (struct unsettled_report){
		.sent_us = connection->sent_us,
		.received_us = now_us,
		.is_sample = ready->has_position && connection->sent_to_primary,
		.position = ready->position,
		.has_status = connection->has_status,
		.status = connection->status,
	};
}

static void
handle_setup_answer (struct connection *connection, const struct server_message *ready,
                     int64_t now_us)
{
	struct session *session = connection->session;

	if (connection->code != ANSWER_DONE && connection->setup_code == ANSWER_DONE)
	{
		connection->setup_code = connection->code;
		connection->setup_is_in_doubt =
			!connection->setup_has_begin || connection->setup_pending > 1;
	}
	connection->is_in_transaction = ready->state != TRANSACTION_NONE;
	if (ready->state == TRANSACTION_OPEN && ready->has_position)
		connection->begin_position = ready->position;
	if (--connection->setup_pending > 0)
		return;
	if (connection->setup_code == ANSWER_DONE && session)
	{
		session_run (session, connection, now_us);
		return;
	}
	if (connection->setup_code != ANSWER_DONE)
		log_event (LOG_LEVEL_INFO, "setup_refused", "server=%s code=%s",
		           log_text (connection->server->id), answer_code_name (connection->setup_code));
	connection->session = NULL;
	if (session)
	{
		session->connection = NULL;
		session_handle_setup_failed (session, connection->server, connection->setup_code, now_us);
	}
	/* A refused BEGIN does not change the state of the connection. */
	if (connection->setup_is_in_doubt)
		connection_close (connection);
	else if (connection->is_in_transaction)
		connection_roll_back (connection);
	else
		connection_release (connection, now_us);
}

static void
handle_statement_answer (struct connection *connection, const struct server_message *ready,
                         int64_t now_us)
{
	struct session *session = connection->session;
	struct server *server = connection->server;
	int64_t elapsed_us = now_us - connection->sent_us;
	bool was_lost = connection->lost_us > 0;

	/* Through an owner, the statement is sent without waiting for the answers to the setup. */
	if (connection->setup_pending > 0)
	{
		connection->setup_pending--;
		return;
	}
	server->latency_us += (elapsed_us - server->latency_us) / 8;
	if (!connection->is_relayed && !was_lost)
		answer_time_add (&server->answer_time, elapsed_us);
	if (!connection->is_relayed && !was_lost)
		server->served_us = now_us;
	if (!connection->is_relayed && !was_lost && connection->code == ANSWER_DONE && session)
		service_time_add (&server->times, session_time_kind (session), elapsed_us);
	if (server->probe_read == connection)
	{
		server->probe_read = NULL;
		server->is_behind = connection->code == ANSWER_BEHIND;
	}
	connection->is_in_transaction = ready->state != TRANSACTION_NONE;
	connection_set_state (connection, CONNECTION_IDLE);
	if (session)
	{
		session_handle_answer (session, connection, ready, now_us);
		return;
	}
	if (connection->is_in_transaction)
		connection_roll_back (connection);
	else
		connection_release (connection, now_us);
}

/** Records the owner's sample. Its age, which was taken at the answer, is counted from the sending of the query, so the
 * sample is dated too early rather than too late. */
static void
record_sample (struct connection *connection, struct text row)
{
	struct service *service = connection->server->service;
	struct log_position position;
	uint64_t age_us;

	if (wire_decode_sample (row, &age_us, &position) < 0)
		log_event (LOG_LEVEL_ERROR, "sample_malformed", "server=%s",
		           log_text (connection->server->id));
	else if (connection->sent_to_primary && service->primary == connection->server &&
	         !service->is_changing)
		position_history_add (&service->history, connection->sent_us - (int64_t) age_us, position);
}

/** Takes the row of an answer to a question of this VM. */
static void
read_report (struct connection *connection)
{
	const GString *answer = connection->answer;
	struct text line = { answer->str, answer->len };
	struct server_message message;
	const char *end;

	if (connection->summary.rows == 0)
		return;
	end = memmem (answer->str, answer->len, WIRE_LINE_END, WIRE_LINE_END_BYTES);
	line.length = (size_t) (end - answer->str);
	message = wire_decode_server (line);
	if (connection->is_sample)
		record_sample (connection, message.text);
	else
		connection->has_status = wire_decode_status (message.text, &connection->status) == 0;
}

/** @param is_dated the report is not an earlier one. */
static void
handle_report (struct connection *connection, const struct server_message *ready, bool is_dated,
               int64_t now_us)
{
	struct server *server = connection->server;

	read_report (connection);
	connection->status.applied = server->applied;
	if (connection->has_status && connection->is_status && !connection->is_relayed)
		server_apply_running (server, connection, now_us);
	/* The report is as old as the question. */
	if (!is_dated)
		hold_report (connection, ready, now_us);
	else if (connection->has_status)
		gateway_traffic_send_report (server, &connection->status, connection->sent_us);
	connection->has_status = false;
	connection_release (connection, now_us);
}

/** Passes an answer on to what waits for it. */
static void
handle_answer (struct connection *connection, const struct server_message *ready, bool is_dated)
{
	int64_t now_us = clock_now_us ();

	/* The owner answers greetings itself, so this says nothing about the server. */
	if (!connection->is_relayed || connection->state != CONNECTION_OPENING)
		server_handle_alive (connection->server, now_us);
	if (connection->is_relayed)
		connection->server->relay_answered_us = now_us;
	if (connection->is_relayed && ready->has_load)
	{
		connection->server->load = ready->load;
		connection->server->load_us = now_us;
	}
	if (is_dated)
		record_position (connection, ready, now_us);
	switch (connection->state)
	{
	case CONNECTION_OPENING:
		handle_greeting (connection, now_us);
		break;
	case CONNECTION_SETUP:
		handle_setup_answer (connection, ready, now_us);
		break;
	case CONNECTION_RUNNING:
		handle_statement_answer (connection, ready, now_us);
		break;
	case CONNECTION_ROLLING_BACK:
		connection->is_in_transaction = ready->state != TRANSACTION_NONE;
		if (connection->is_in_transaction)
			connection_close (connection);
		else
			connection_release (connection, now_us);
		break;
	case CONNECTION_PROBING:
		handle_report (connection, ready, is_dated, now_us);
		break;
	default:
		break;
	}
}

/** What the connection waits for. */
static struct answer_expectation
find_expectation (const struct connection *connection)
{
	struct answer_expectation expected = { .has_repeats = server_has_repeats (connection->server) };

	switch (connection->state)
	{
	case CONNECTION_OPENING:
		expected.wanted = ANSWER_WANTED_GREETING;
		break;
	case CONNECTION_SETUP:
	case CONNECTION_RUNNING:
		expected.id = connection->statement_id;
		expected.state = connection->state_after;
		expected.wanted = connection->statement_wanted;
		expected.in_transaction = connection->is_in_transaction;
		if (connection->setup_pending == 0)
			break;
		expected.wanted = ANSWER_WANTED_COMMAND;
		expected.state = connection->is_in_transaction ? TRANSACTION_OPEN : TRANSACTION_NONE;
		if (connection->setup_pending > 1 || !connection->setup_has_begin)
			break;
		expected.wanted =
			connection->setup_is_read_only ? ANSWER_WANTED_BEGIN_READ : ANSWER_WANTED_BEGIN;
		expected.state = TRANSACTION_OPEN;
		break;
	case CONNECTION_ROLLING_BACK:
		expected.wanted = ANSWER_WANTED_COMMAND;
		break;
	case CONNECTION_PROBING:
		expected.wanted = ANSWER_WANTED_REPORT;
		break;
	default:
		break;
	}
	return expected;
}

/** Whether the rows may be those of an answer that was cut off, and of the whole one after it. */
static bool
is_restarted (struct connection *connection)
{
	struct answer_restarts *restarts = &connection->server->restarts;
	const GString *answer = connection->answer;
	size_t rows_bytes = connection->completion_start;
	size_t whole = answer_restart_find (answer->str, answer->len, connection->greeting->str,
	                                    connection->greeting->len);
	uint64_t rows;

	if (whole == 0 && !answer_restarts_wait (restarts))
		return false;
	rows = XXH3_64bits (answer->str, rows_bytes);
	if (whole > 0 && whole <= rows_bytes)
		return !answer_restarts_believe (
			restarts, rows, XXH3_64bits (answer->str + whole, rows_bytes - whole), clock_now_us ());
	if (whole == 0)
		answer_restarts_note (restarts, rows, clock_now_us ());
	return whole > 0;
}

static enum answer_verdict
judge_answer (struct connection *connection, struct text ready_line,
              const struct server_message *ready)
{
	struct answer_expectation expected = find_expectation (connection);
	struct answer_summary *summary = &connection->summary;
	const GString *answer = connection->answer;

	summary->state = ready->state;
	if (connection->is_relayed)
		return answer_match_judge_peer (&expected, summary);
	summary->lines = XXH3_64bits (answer->str, answer->len);
	summary->whole = XXH3_64bits_withSeed (ready_line.start, ready_line.length, summary->lines);
	summary->is_restarted = summary->is_signed && is_restarted (connection);
	return answer_match_judge (connection->match, &expected, summary);
}

bool
server_has_repeats (const struct server *server)
{
	return server->repeated_us > 0 && clock_now_us () - server->repeated_us < REPEATS_US;
}

static void
log_repeated (const struct connection *connection)
{
	counter_add (COUNTER_ANSWERS_REPEATED, 1);
	log_event (LOG_LEVEL_INFO, "answer_repeated", "server=%s service=%s state=%d request=%s",
	           log_text (connection->server->id), log_text (connection->server->service->name),
	           connection->state,
	           connection->session ? log_text_bytes (connection->session->request.id->str,
	                                                 connection->session->request.id->len)
	                               : "-");
}

static void
log_out_of_step (const struct connection *connection, const char *cause)
{
	counter_add (COUNTER_ANSWERS_OUT_OF_STEP, 1);
	log_event (
		LOG_LEVEL_WARN, "answer_out_of_step",
		"server=%s service=%s cause=%s state=%d relayed=%d code=%s rows=%u signed=%d request=%s",
		log_text (connection->server->id), log_text (connection->server->service->name), cause,
		connection->state, connection->is_relayed, answer_code_name (connection->code),
		connection->summary.rows, connection->summary.is_signed,
		connection->session ? log_text_bytes (connection->session->request.id->str,
	                                          connection->session->request.id->len)
							: "-");
}

/** Drops an answer that has come before. What waits has no answer yet. */
static void
drop_repeated (struct connection *connection, int64_t now_us)
{
	log_repeated (connection);
	note_repeats (connection->server, now_us);
}

/** Ends a connection on which nothing says which statement the next answer belongs to. */
static void
handle_out_of_step (struct connection *connection, const char *cause)
{
	struct server *server = connection->server;

	log_out_of_step (connection, cause);
	if (connection->code != ANSWER_DONE)
		server_heed_refusal (server, connection->code, clock_now_us ());
	/* A refusal that comes twice is usual; that another answer belongs to nothing is a sign of repeats. */
	else if (!connection->is_relayed && !connection->summary.is_restarted)
		note_repeats (server, clock_now_us ());
	/* The question is asked again, on another connection. */
	server->status_requested |= connection->is_status && (connection->state == CONNECTION_PROBING ||
	                                                      connection->state == CONNECTION_IDLE);
	if (connection->state == CONNECTION_OPENING)
		connection_handle_lost (connection, cause, -EPROTO);
	else
		connection_give_up (connection, "the server's answer may be that of another statement");
}

static void
reset_answer (struct connection *connection)
{
	line_stream_release_buffer (connection->answer);
	connection->summary = (struct answer_summary){ .is_ordered = true };
	connection->code = ANSWER_DONE;
	line_stream_settle (&connection->stream);
}

static void
handle_ready (struct connection *connection, struct text line, const struct server_message *ready)
{
	enum answer_verdict verdict = judge_answer (connection, line, ready);

	if (connection->state == CONNECTION_OPENING)
		g_string_append_len (connection->greeting, line.start, (gssize) line.length);

	if (verdict == ANSWER_REPEATED)
		drop_repeated (connection, clock_now_us ());
	else if (verdict == ANSWER_OUT_OF_STEP)
		handle_out_of_step (connection, "unexpected");
	else
		handle_answer (connection, ready, verdict == ANSWER_CURRENT);
	if (connection->state != CONNECTION_CLOSED)
		reset_answer (connection);
}

/** Adds a line to the answer. The connection ends if the answer becomes too large to be held, or its lines have no order. */
static void
append_line (struct connection *connection, struct text line)
{
	GString *answer = connection->answer;

	if (!connection->summary.is_ordered)
		handle_out_of_step (connection, "order");
	else if (answer->len + line.length >
	         buffer_budget_share (&connection->server->service->traffic->budget))
	{
		counter_add (COUNTER_ANSWERS_OVERSIZED, 1);
		connection_handle_lost (connection, "answer_oversized", -EMSGSIZE);
	}
	else
	{
		g_string_append_len (answer, line.start, (gssize) line.length);
		g_string_append_len (answer, WIRE_LINE_END, WIRE_LINE_END_BYTES);
	}
}

/** Whether the text is one word. Two messages, of which the first was cut off in its signature, are not. */
static bool
is_signature (struct text text)
{
	for (size_t i = 0; i < text.length; i++)
		if (text.start[i] == ' ' || text.start[i] == '\r' || text.start[i] == '\n')
			return false;
	return text.length > 0;
}

void
connection_handle_line (struct connection *connection, struct text line)
{
	struct server_message message = wire_decode_server (line);
	struct answer_summary *summary = &connection->summary;
	bool is_complete = summary->has_completion || summary->has_error;

	switch (message.kind)
	{
	case SERVER_ROW:
		summary->is_ordered = !is_complete;
		summary->rows++;
		append_line (connection, line);
		break;
	case SERVER_COMPLETE:
		summary->is_ordered = !is_complete && is_signature (message.text);
		summary->has_completion = true;
		summary->is_signed = !text_equals (message.text, "-", 1);
		summary->signature = XXH3_64bits (message.text.start, message.text.length);
		connection->completion_start = connection->answer->len;
		append_line (connection, line);
		break;
	case SERVER_ERROR:
		summary->is_ordered = !is_complete;
		summary->has_error = true;
		connection->code = message.code;
		if (connection->state == CONNECTION_OPENING)
			handle_refused (connection, message.code, clock_now_us ());
		else
			append_line (connection, line);
		break;
	case SERVER_READY:
		handle_ready (connection, line, &message);
		break;
	case SERVER_MALFORMED:
		handle_out_of_step (connection, "malformed");
		break;
	}
}
