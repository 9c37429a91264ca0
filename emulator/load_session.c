#include "emulator/load.h"

#include "common/clock.h"
#include "common/json_text.h"

#include <stdlib.h>
#include <string.h>

enum
{
	RETRY_DELAY_MS = 100,
	RECENT_WRITES = 4,
	SWITCH_ENTRY_PERCENT = 30, /* Share of requests sent to a random entry VM. */
	ROLLBACK_PERCENT = 20,
	SHORT_TIMEOUT_PERCENT = 30, /* Share of commits aborted early, so that they are retried. */
	SHORT_TIMEOUT_MAX_MS = 300, /* Close to the time of a commit with 200 ms of replication lag. */
	TIMEOUT_MARGIN_MS = 2000, /* Added to the call's timeout, so that the proxy times out first. */
};

/* Shares of the request mix in percent. */
static const struct
{
	enum step step;
	int percent;
} mix[] = {
	{ STEP_PAYMENT, 20 }, { STEP_COMMISSION, 10 }, { STEP_CONFIRM, 15 }, { STEP_FIND, 25 },
	{ STEP_AGE, 20 },     { STEP_REPORT, 5 },      { STEP_BEGIN, 5 },
};

static const struct
{
	const char *call;
	enum caller_rank rank;
	int timeout_ms;
	bool is_write;        /* A write outside a transaction. */
	bool is_replica_read; /* A replica may serve it. */
} steps[] = {
	[STEP_PAYMENT] = { "payment_add", CALLER_URGENT, 2000, true, false },
	[STEP_COMMISSION] = { "commission_add", CALLER_NORMAL, 5000, true, false },
	[STEP_CONFIRM] = { "confirmation_find", CALLER_URGENT, 2000, false, true },
	[STEP_FIND] = { "letter_find", CALLER_NORMAL, 5000, false, true },
	[STEP_AGE] = { "letter_age", CALLER_NORMAL, 5000, false, true },
	[STEP_REPORT] = { "day_report", CALLER_LOW, 10000, false, true },
	[STEP_BEGIN] = { "transactions", CALLER_NORMAL, 5000, false, false },
	[STEP_FIRST_WRITE] = { "commission_add", CALLER_NORMAL, 5000, false, false },
	[STEP_SECOND_WRITE] = { "commission_add", CALLER_NORMAL, 5000, false, false },
	[STEP_READ_BACK] = { "letter_check", CALLER_NORMAL, 5000, false, false },
	[STEP_COMMIT] = { "commit", CALLER_NORMAL, 5000, false, false },
	[STEP_ROLLBACK] = { "rollback", CALLER_NORMAL, 5000, false, false },
	[STEP_CHECK] = { "letter_check", CALLER_NORMAL, 5000, false, false },
};

/* Parsed parts of a response that the checks need. */
struct reply
{
	enum outcome_class class;
	const char *value;  /* First cell of the first row; NULL: no row. */
	const char *handle; /* Handle of a new transaction. */
	const char *reason;
	const char *message;
	bool is_replica;
};

static struct record *
session_record (struct session *session)
{
	return caller_record (session->caller, session->record);
}

static guint
session_add_record (struct session *session, uint32_t transaction_id)
{
	struct caller *caller = session->caller;
	guint index = caller->records->len;
	const struct record record = { .database = session->database,
		                           .transaction_id = transaction_id };
	char *key = g_strdup_printf ("%s-%u", caller->prefix, index);
	/* Values are distinct, so that an answer to another request is detected. */
	char *value = g_strdup_printf ("%u", 1000000 + index);

	caller_add_record (caller, &record, key, value);
	g_free (key);
	g_free (value);
	return index;
}

static enum step
session_pick_step (struct session *session)
{
	struct caller *caller = session->caller;
	int pick = g_rand_int_range (caller->random, 0, 100);

	if (session->is_flood)
		return caller->flood_rank == CALLER_LOW      ? STEP_REPORT
		       : caller->flood_rank == CALLER_NORMAL ? STEP_AGE
		                                             : STEP_PAYMENT;
	for (size_t i = 0; i < G_N_ELEMENTS (mix); i++)
	{
		pick -= mix[i].percent;
		if (pick < 0)
			return mix[i].step;
	}
	return STEP_FIND;
}

/** Picks one of the session's own writes. Recent writes are preferred, since a replica may not have them yet. */
static bool
session_pick_own_write (struct session *session)
{
	GRand *random = session->caller->random;
	guint count = session->own_writes->len;
	guint first = 0;

	if (count == 0)
		return false;
	if (count > RECENT_WRITES && g_rand_boolean (random))
		first = count - RECENT_WRITES;
	session->record =
		g_array_index (session->own_writes, guint,
	                   (guint) g_rand_int_range (random, (gint32) first, (gint32) count));
	session->database = session_record (session)->database;
	return true;
}

/** Picks a row that was acknowledged more than MAX_AGE_MS ago. */
static bool
session_pick_old_record (struct session *session, int64_t now_us)
{
	struct caller *caller = session->caller;

	for (int tries = 0; tries < 8 && caller->records->len > 0; tries++)
	{
		guint index = (guint) g_rand_int_range (caller->random, 0, (gint32) caller->records->len);
		const struct record *record = caller_record (caller, index);

		if (record->state != RECORD_ACKED || record->acked_us + MAX_AGE_MS * US_PER_MS > now_us)
			continue;
		session->record = index;
		session->database = record->database;
		return true;
	}
	return false;
}

static void
session_begin_work (struct session *session, int64_t now_us)
{
	struct caller *caller = session->caller;

	session->is_retry = false;
	session->step = session_pick_step (session);
	session->database =
		(uint32_t) g_rand_int_range (caller->random, 0, (gint32) caller->database_count);
	if ((session->step == STEP_FIND || session->step == STEP_CONFIRM) &&
	    !session_pick_own_write (session))
		session->step = STEP_PAYMENT;
	if (session->step == STEP_AGE && !session_pick_old_record (session, now_us))
		session->step = session->is_flood ? STEP_REPORT : STEP_PAYMENT;
	if (session->step == STEP_PAYMENT || session->step == STEP_COMMISSION)
		session->record = session_add_record (session, 0);
	if (session->step != STEP_BEGIN)
		return;
	caller->transaction_count++;
	session->record = session_add_record (session, caller->transaction_count);
	session->second_record = session_add_record (session, caller->transaction_count);
	session->rolls_back = g_rand_int_range (caller->random, 0, 100) < ROLLBACK_PERCENT;
}

static char *
session_url (const struct session *session)
{
	const struct caller *caller = session->caller;
	const char *entry = caller->entries[session->entry];
	const char *call = steps[session->step].call;

	if (session->step == STEP_BEGIN)
		return g_strdup_printf ("http://%s/v1/services/%s/%s", entry, caller->service, call);
	if (session->step == STEP_COMMIT || session->step == STEP_ROLLBACK)
		return g_strdup_printf ("http://%s/v1/transactions/%s/%s", entry, session->handle, call);
	if (session->handle)
		return g_strdup_printf ("http://%s/v1/transactions/%s/calls/%s_%u", entry, session->handle,
		                        call, session->database);
	return g_strdup_printf ("http://%s/v1/services/%s/calls/%s_%u", entry, caller->service, call,
	                        session->database);
}

static char *
session_body (struct session *session)
{
	const struct record *record;

	switch (session->step)
	{
	case STEP_BEGIN:
		return g_strdup_printf ("{\"database\":\"ledger%u\"}", session->database);
	case STEP_COMMIT:
		return g_strdup_printf ("{\"request_id\":\"%s\"}", session_record (session)->key);
	case STEP_ROLLBACK:
		return g_strdup ("{}");
	case STEP_REPORT:
		return g_strdup_printf ("{\"params\":[\"%d\"],\"tenant\":\"letters\"}",
		                        session->caller->report_ms);
	case STEP_SECOND_WRITE:
		record = caller_record (session->caller, session->second_record);
		return g_strdup_printf ("{\"params\":[\"%s\",\"%s\"]}", record->key, record->value);
	case STEP_FIRST_WRITE:
		record = session_record (session);
		return g_strdup_printf ("{\"params\":[\"%s\",\"%s\"]}", record->key, record->value);
	case STEP_PAYMENT:
	case STEP_COMMISSION:
		record = session_record (session);
		return g_strdup_printf ("{\"params\":[\"%s\",\"%s\"],\"request_id\":\"%s\","
		                        "\"tenant\":\"stalls\"}",
		                        record->key, record->value, record->key);
	default:
		return g_strdup_printf ("{\"params\":[\"%s\"]}", session_record (session)->key);
	}
}

static size_t
handle_body (char *bytes, size_t size, size_t count, void *data)
{
	struct session *session = data;

	g_string_append_len (session->answer, bytes, (gssize) (size * count));
	return size * count;
}

static size_t
handle_header (char *bytes, size_t size, size_t count, void *data)
{
	static const char name[] = "flamingospring-session:";
	struct session *session = data;
	size_t length = size * count;

	if (length > strlen (name) && g_ascii_strncasecmp (bytes, name, strlen (name)) == 0)
	{
		g_free (session->token);
		session->token = g_strndup (bytes + strlen (name), length - strlen (name));
		g_strstrip (session->token);
	}
	return length;
}

static long
session_timeout_ms (struct session *session)
{
	GRand *random = session->caller->random;

	session->has_short_timeout = session->step == STEP_COMMIT && !session->is_retry &&
	                             g_rand_int_range (random, 0, 100) < SHORT_TIMEOUT_PERCENT;
	if (session->has_short_timeout)
		return g_rand_int_range (random, 1, SHORT_TIMEOUT_MAX_MS);
	return steps[session->step].timeout_ms + TIMEOUT_MARGIN_MS;
}

static void
session_send (struct session *session, int64_t now_us)
{
	char *url = session_url (session);
	char *body = session_body (session);
	char *token =
		g_strdup_printf ("Flamingospring-Session: %s", session->token ? session->token : "");

	if (!session->curl)
		session->curl = curl_easy_init ();
	curl_slist_free_all (session->headers);
	session->headers = curl_slist_append (NULL, "Content-Type: application/json");
	if (session->token)
		session->headers = curl_slist_append (session->headers, token);
	g_string_truncate (session->answer, 0);
	curl_easy_setopt (session->curl, CURLOPT_URL, url);
	curl_easy_setopt (session->curl, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
	curl_easy_setopt (session->curl, CURLOPT_HTTPHEADER, session->headers);
	curl_easy_setopt (session->curl, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt (session->curl, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt (session->curl, CURLOPT_WRITEDATA, session);
	curl_easy_setopt (session->curl, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt (session->curl, CURLOPT_HEADERDATA, session);
	curl_easy_setopt (session->curl, CURLOPT_PRIVATE, session);
	curl_easy_setopt (session->curl, CURLOPT_TIMEOUT_MS, session_timeout_ms (session));
	curl_easy_setopt (session->curl, CURLOPT_NOSIGNAL, 1L);
	session->sent_us = now_us;
	session->next_send_us = 0;
	curl_multi_add_handle (session->caller->multi, session->curl);
	g_free (token);
	g_free (body);
	g_free (url);
}

/** Selects the next record to check. @return false when none is left. */
static bool
session_begin_check (struct session *session)
{
	struct caller *caller = session->caller;

	if (caller->next_check >= caller->records->len)
		return false;
	session->step = STEP_CHECK;
	session->record = caller->next_check++;
	session->database = session_record (session)->database;
	return true;
}

void
session_start_request (struct session *session, int64_t now_us)
{
	struct caller *caller = session->caller;

	if (session->step == STEP_IDLE)
	{
		if (caller->is_checking ? !session_begin_check (session) : now_us >= caller->end_us)
		{
			session->next_send_us = INT64_MAX;
			return;
		}
		if (!caller->is_checking)
			session_begin_work (session, now_us);
	}
	/* A transaction stays with the VM that started it, although its handle is valid at every VM. A commit may
	 * be retried at any VM. */
	if (session->is_retry ||
	    (!session->handle && g_rand_int_range (caller->random, 0, 100) < SWITCH_ENTRY_PERCENT))
		session->entry =
			(uint32_t) g_rand_int_range (caller->random, 0, (gint32) caller->entry_count);
	session_send (session, now_us);
}

static const char *
member_text (JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member (object, name);

	return node && json_node_get_value_type (node) == G_TYPE_STRING ? json_node_get_string (node)
	                                                                : "";
}

static const char *
first_cell (JsonObject *object)
{
	JsonNode *node = json_object_get_member (object, "rows");
	JsonArray *row;

	if (!node || !JSON_NODE_HOLDS_ARRAY (node) ||
	    json_array_get_length (json_node_get_array (node)) == 0)
		return NULL;
	row = json_array_get_array_element (json_node_get_array (node), 0);
	if (!row || json_array_get_length (row) == 0)
		return NULL;
	return json_array_get_string_element (row, 0);
}

static void
reply_parse (struct reply *reply, JsonParser *parser, const struct session *session,
             CURLcode result)
{
	static const char *const names[] = { "done", "refused", "failed", "unknown" };
	JsonObject *object;
	long sent_bytes = 0;

	*reply = (struct reply){ .class = CLASS_UNKNOWN,
		                     .reason = curl_easy_strerror (result),
		                     .message = "" };
	/* curl resends a request on a new connection when a reused one breaks, so a failed connect is a refusal only
	 * if no bytes were sent before. */
	curl_easy_getinfo (session->curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
	if (result == CURLE_COULDNT_CONNECT && sent_bytes == 0)
		reply->class = CLASS_REFUSED;
	if (result != CURLE_OK)
		return;
	object = json_load_object (parser, session->answer->str, session->answer->len);
	if (!object)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
	{
		if (strcmp (names[i], member_text (object, "outcome")) == 0)
			reply->class = (enum outcome_class) i;
	}
	reply->reason = member_text (object, "reason");
	reply->value = first_cell (object);
	reply->handle = member_text (object, "transaction");
	reply->is_replica = strcmp (member_text (object, "role"), "replica") == 0;
	reply->message = member_text (object, "message");
}

static void
session_acknowledge (struct session *session, guint index, int64_t now_us)
{
	struct caller *caller = session->caller;
	struct record *record = caller_record (caller, index);
	int64_t gap_us = now_us - caller->last_write_us[record->database];

	record->state = RECORD_ACKED;
	record->acked_us = now_us;
	g_array_append_val (session->own_writes, index);
	caller->last_write_us[record->database] = now_us;
	caller->write_gap_us[record->database] = MAX (caller->write_gap_us[record->database], gap_us);
}

/** @return true when the outcome is unknown and the write must be retried. */
static bool
session_finish_write (struct session *session, const struct reply *reply, int64_t now_us)
{
	struct record *record = session_record (session);
	bool was_unknown = session->is_retry;

	/* A duplicate key on a retry shows that the first insert ran, but it was never acknowledged: the outcome stays
	 * unknown, and the session's token does not cover the write. */
	if (reply->class == CLASS_FAILED && was_unknown && session->step == STEP_COMMISSION &&
	    strstr (reply->message, "duplicate key"))
		return false;
	if (reply->class == CLASS_DONE)
	{
		if (session->step == STEP_PAYMENT && g_strcmp0 (reply->value, record->value) != 0)
			caller_report_violation (session->caller, VIOLATION_WRONG_ANSWER, record, reply->value);
		session_acknowledge (session, session->record, now_us);
		return false;
	}
	/* A refusal means that this attempt did not run; an earlier one with unknown outcome may have. */
	if (reply->class == CLASS_UNKNOWN || (reply->class == CLASS_REFUSED && was_unknown))
	{
		session->is_retry = now_us < session->caller->retry_deadline_us;
		return session->is_retry;
	}
	record->state = RECORD_ABSENT;
	return false;
}

static void
session_finish_read (struct session *session, const struct reply *reply)
{
	struct caller *caller = session->caller;
	const struct record *record = session_record (session);

	if (reply->class != CLASS_DONE)
		return;
	caller->reads++;
	caller->replica_reads += reply->is_replica;
	if (session->step == STEP_REPORT)
		return;
	if (reply->value && strcmp (reply->value, record->value) != 0)
		caller_report_violation (caller, VIOLATION_WRONG_ANSWER, record, reply->value);
	else if (!reply->value)
		caller_report_violation (
			caller, session->step == STEP_AGE ? VIOLATION_TOO_OLD : VIOLATION_OWN_MISSED, record,
			NULL);
}

static void
session_end_transaction (struct session *session, enum record_state state, int64_t now_us)
{
	const guint indexes[] = { session->record, session->second_record };

	for (size_t i = 0; i < G_N_ELEMENTS (indexes); i++)
	{
		if (state == RECORD_ACKED)
			session_acknowledge (session, indexes[i], now_us);
		else
			caller_record (session->caller, indexes[i])->state = state;
	}
	g_clear_pointer (&session->handle, g_free);
	session->step = STEP_IDLE;
}

/** Retries a commit by its request id until the outcome is known or the deadline has passed. */
static void
session_finish_commit (struct session *session, const struct reply *reply, int64_t now_us)
{
	struct caller *caller = session->caller;
	bool is_rolled_back =
		reply->class == CLASS_REFUSED && strcmp (reply->reason, "rolled_back") == 0;
	/* Any other refusal means that this attempt did not run; an earlier one with unknown outcome may have. */
	bool is_open = reply->class == CLASS_UNKNOWN ||
	               (reply->class == CLASS_REFUSED && session->is_retry && !is_rolled_back);
	enum record_state state = is_open                      ? RECORD_COMMIT_UNKNOWN
	                          : reply->class == CLASS_DONE ? RECORD_ACKED
	                                                       : RECORD_ABSENT;

	if (is_open && now_us < caller->retry_deadline_us)
	{
		session->is_retry = true;
		return;
	}
	if (is_open)
		caller->retried_commits.open++;
	else if (session->is_retry && state == RECORD_ACKED)
		caller->retried_commits.done++;
	else if (session->is_retry)
		caller->retried_commits.rolled_back++;
	session_end_transaction (session, state, now_us);
}

/** Advances the transaction. If a step other than COMMIT does not succeed, the server rolls back. */
static void
session_finish_transaction_step (struct session *session, const struct reply *reply, int64_t now_us)
{
	enum step done = session->step;

	if (done == STEP_ROLLBACK || (reply->class != CLASS_DONE && done != STEP_COMMIT))
	{
		session_end_transaction (session, RECORD_ABSENT, now_us);
		return;
	}
	if (done == STEP_COMMIT)
	{
		session_finish_commit (session, reply, now_us);
		return;
	}
	if (done == STEP_BEGIN)
		session->handle = g_strdup (reply->handle);
	if (done == STEP_READ_BACK && g_strcmp0 (reply->value, session_record (session)->value) != 0)
		caller_report_violation (session->caller, VIOLATION_MIXED, session_record (session),
		                         reply->value);
	session->step = done + 1;
	if (session->step == STEP_COMMIT && session->rolls_back)
		session->step = STEP_ROLLBACK;
}

/** @return true when the read must be retried. */
static bool
session_finish_check (struct session *session, const struct reply *reply, int64_t now_us)
{
	if (reply->class == CLASS_DONE)
	{
		record_check (session->caller, session_record (session), reply->value);
		return false;
	}
	if (now_us < session->caller->retry_deadline_us)
		return true;
	caller_report_violation (session->caller, VIOLATION_UNCHECKED, session_record (session),
	                         "not read");
	return false;
}

static void
session_count_outcome (struct session *session, const struct reply *reply, int64_t now_us)
{
	struct caller *caller = session->caller;
	int64_t latency_us = now_us - session->sent_us;
	struct latencies *latencies =
		&caller->latencies[steps[session->step].rank][!steps[session->step].is_replica_read];

	/* The load generator aborted this commit itself; it is not an outcome of the proxy. */
	if (session->has_short_timeout && reply->class == CLASS_UNKNOWN)
		return;
	caller->outcomes[reply->class]++;
	if (reply->class != CLASS_DONE)
		caller_count_reason (caller, reply->class, steps[session->step].call, reply->reason,
		                     reply->message);
	caller->retries += session->is_retry;
	if (session->is_flood)
		return;
	latencies->sent++;
	if (reply->class == CLASS_DONE)
		g_array_append_val (latencies->done_us, latency_us);
}

void
session_finish_request (struct session *session, CURLcode result, int64_t now_us)
{
	struct caller *caller = session->caller;
	JsonParser *parser = json_parser_new ();
	struct reply reply;
	bool again = false;
	int delay_ms = caller->think_ms;

	reply_parse (&reply, parser, session, result);
	if (session->step != STEP_CHECK)
		session_count_outcome (session, &reply, now_us);
	if (session->step == STEP_CHECK)
		again = session_finish_check (session, &reply, now_us);
	else if (steps[session->step].is_write)
		again = session_finish_write (session, &reply, now_us);
	else if (steps[session->step].is_replica_read)
		session_finish_read (session, &reply);
	else
	{
		session_finish_transaction_step (session, &reply, now_us);
		again = session->step != STEP_IDLE;
	}
	if (!again)
	{
		session->step = STEP_IDLE;
		session->is_retry = false;
	}
	if (session->step == STEP_CHECK || session->is_retry)
		delay_ms = RETRY_DELAY_MS;
	else if (caller->is_checking)
		delay_ms = 0;
	/* After a failure, the next request goes to another VM. */
	if (reply.class != CLASS_DONE && (!session->handle || session->is_retry))
		session->entry = (session->entry + 1) % caller->entry_count;
	session->next_send_us = now_us + delay_ms * US_PER_MS;
	g_object_unref (parser);
}
