/* Upstream database server that speaks the PostgreSQL protocol; docs/emulator.md lists its statements. */
#include "emulator/database.h"

#include "common/clock.h"
#include "emulator/commands.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
	PROTOCOL_3 = 196608,
	REQUEST_CANCEL = 80877102,
	REQUEST_SSL = 80877103,
	REQUEST_GSS = 80877104,
	TYPE_TEXT = 25,
	LOCK_WAIT_US = US_PER_S, /* The default deadlock_timeout of PostgreSQL is 1 s. */
};

static void session_process (struct session *session);
static void database_start_queued (struct database *database);

/** Appends values in network byte order: 'b' 8 bits, 'h' 16 bits, 'i' 32 bits, 's' NUL-terminated string. */
static void
put_values (GByteArray *out, const char *format, va_list values)
{
	for (; *format; format++)
	{
		const char *text = *format == 's' ? va_arg (values, const char *) : NULL;
		uint32_t number = text ? 0 : va_arg (values, uint32_t);
		uint8_t bytes[] = { (uint8_t) (number >> 24), (uint8_t) (number >> 16),
			                (uint8_t) (number >> 8), (uint8_t) number };
		size_t skipped = *format == 'b' ? 3 : *format == 'h' ? 2 : 0;

		if (text)
			g_byte_array_append (out, (const guint8 *) text, (guint) strlen (text) + 1);
		else
			g_byte_array_append (out, bytes + skipped, (guint) (sizeof bytes - skipped));
	}
}

static void
put (GByteArray *out, const char *format, ...)
{
	va_list values;

	va_start (values, format);
	put_values (out, format, values);
	va_end (values);
}

static void
message_end (GByteArray *out, guint begin)
{
	uint32_t length = htonl (out->len - begin);

	memcpy (out->data + begin, &length, sizeof length);
}

static guint
message_begin (GByteArray *out, char type)
{
	put (out, "bi", type, 0);
	return out->len - (guint) sizeof (uint32_t);
}

static void
put_message (GByteArray *out, char type, const char *format, ...)
{
	guint begin = message_begin (out, type);
	va_list values;

	va_start (values, format);
	put_values (out, format, values);
	va_end (values);
	message_end (out, begin);
}

static void
put_error (GByteArray *out, const char *severity, const char *sqlstate, const char *message)
{
	put_message (out, 'E', "bsbsbsbsb", 'S', severity, 'V', severity, 'C', sqlstate, 'M', message,
	             0);
}

static void
put_row_description (GByteArray *out, const struct statement *statement)
{
	guint begin;
	unsigned count = 0;

	while (count < MAX_COLUMNS && statement->columns[count])
		count++;
	if (count == 0)
	{
		put_message (out, 'n', "");
		return;
	}
	begin = message_begin (out, 'T');
	put (out, "h", count);
	/* Name, table, column, type, size (-1: variable), modifier (-1: none), format (0: text). */
	for (unsigned i = 0; i < count; i++)
		put (out, "sihihih", statement->columns[i], 0, 0, TYPE_TEXT, -1, -1, 0);
	message_end (out, begin);
}

void
result_add_row (struct result *result, size_t count, const char *const *cells)
{
	guint begin = message_begin (result->rows, 'D');

	put (result->rows, "h", (uint32_t) count);
	for (size_t i = 0; i < count; i++)
	{
		put (result->rows, "i", (uint32_t) strlen (cells[i]));
		g_byte_array_append (result->rows, (const guint8 *) cells[i], (guint) strlen (cells[i]));
	}
	message_end (result->rows, begin);
}

/** Sends the repeated answers before the unsent part of the present one. */
static void
handle_repeat_timer (struct loop_timer *timer, int64_t now_us)
{
	struct session *session = timer->data;

	(void) now_us;
	g_byte_array_prepend (session->stream.out, session->repeated->data, session->repeated->len);
	g_byte_array_set_size (session->repeated, 0);
	stream_flush (&session->stream);
}

/** Applies repeat_answers to a complete answer that is not yet sent. */
static void
fault_repeats_answer (struct session *session)
{
	struct database *database = session->database;
	const struct statement *statement = session->query.statement;
	GByteArray *out = session->stream.out;

	if (database->repeat_answers == 0 ||
	    (statement && g_str_has_prefix (statement->pattern, "SELECT standin_")))
		return;
	database->repeat_answers--;
	g_byte_array_append (session->repeated, out->data, out->len);
	if (database->repeat_ms > 0)
	{
		loop_set_timer (&database->loop, &session->repeat_timer,
		                clock_now_us () + database->repeat_ms * US_PER_MS);
		return;
	}
	g_byte_array_append (out, session->repeated->data, session->repeated->len);
	g_byte_array_set_size (session->repeated, 0);
}

static void
session_send_ready (struct session *session)
{
	GByteArray *out = session->stream.out;
	struct log_position position = group_position (&session->database->group);
	char text[24];

	g_snprintf (text, sizeof text, "%lu", position.term);
	put_message (out, 'S', "ss", "group_term", text);
	g_snprintf (text, sizeof text, "%lu", position.index);
	put_message (out, 'S', "ss", "group_position", text);
	put_message (out, 'Z', "b", session->transaction);
	fault_repeats_answer (session);
	stream_flush (&session->stream);
}

void
session_discard_transaction (struct session *session)
{
	GHashTableIter iter;
	void *row;

	g_hash_table_iter_init (&iter, session->pending_writes);
	while (g_hash_table_iter_next (&iter, &row, NULL))
		g_hash_table_remove (session->database->locks, row);
	g_hash_table_remove_all (session->pending_writes);
	session->transaction = TRANSACTION_NONE;
}

static void
session_free (struct session *session)
{
	struct database *database = session->database;

	session_discard_transaction (session);
	loop_cancel_timer (&database->loop, &session->timer);
	loop_cancel_timer (&database->loop, &session->repeat_timer);
	g_byte_array_unref (session->repeated);
	g_ptr_array_remove (database->sessions, session);
	query_clear (&session->query);
	g_hash_table_unref (session->prepared);
	g_hash_table_unref (session->pending_writes);
	stream_finish (&session->stream);
	g_free (session);
	database_retry_blocked (database);
}

static bool
session_is_busy (const struct session *session)
{
	return session->state >= SESSION_QUEUED;
}

static void
session_send_result (struct session *session, const struct result *result)
{
	GByteArray *out = session->stream.out;

	if (result->sqlstate)
	{
		put_error (out, "ERROR", result->sqlstate, result->message);
		session->skips_until_sync = session->is_extended;
	}
	else
	{
		if (!session->is_extended && session->query.statement->columns[0])
			put_row_description (out, session->query.statement);
		g_byte_array_append (out, result->rows->data, result->rows->len);
		put_message (out, 'C', "s", result->tag);
	}
	if (!session->is_extended)
		session_send_ready (session);
}

/** Applies drop_commits and drop_answers. @return true when this result must be dropped. */
static bool
fault_drops_result (struct session *session, const struct result *result)
{
	struct database *database = session->database;

	if (database->drop_commits > 0 && g_strcmp0 (result->tag, "COMMIT") == 0)
	{
		database->drop_commits--;
		return true;
	}
	if (database->drop_answers > 0 && session->query.statement->kind != STATEMENT_CONTROL)
	{
		database->drop_answers--;
		return true;
	}
	return false;
}

/** Runs the session's statement to completion, or leaves it blocked on a row lock. */
static void
session_run (struct session *session)
{
	struct database *database = session->database;
	struct result result = { .rows = g_byte_array_new () };
	enum transaction before = session->transaction;

	session->state = SESSION_IDLE;
	if (query_run (session, &result) == RUN_BLOCKED)
	{
		session->state = SESSION_BLOCKED;
		if (session->timer.slot == 0)
			loop_set_timer (&database->loop, &session->timer, clock_now_us () + LOCK_WAIT_US);
	}
	else
	{
		loop_cancel_timer (&database->loop, &session->timer);
		if (result.sqlstate && session->transaction == TRANSACTION_OPEN)
		{
			session_discard_transaction (session);
			session->transaction = TRANSACTION_ABORTED;
		}
		if (fault_drops_result (session, &result))
			stream_close (&session->stream);
		else
			session_send_result (session, &result);
	}
	g_free (result.message);
	g_free (result.tag);
	g_byte_array_unref (result.rows);
	if (before == TRANSACTION_OPEN && session->transaction != TRANSACTION_OPEN)
		database_retry_blocked (database);
}

/** Processes buffered input. As in PostgreSQL, the statement of a closed connection runs to its end before the
 * session is freed. */
static void
session_continue (struct session *session)
{
	if (session_is_busy (session))
		return;
	if (session->is_client_closed)
		session_free (session);
	else if (!session->stream.is_closed)
		session_process (session);
}

void
database_retry_blocked (struct database *database)
{
	for (guint i = 0; i < database->sessions->len; i++)
	{
		struct session *session = database->sessions->pdata[i];

		if (session->state != SESSION_BLOCKED)
			continue;
		/* session_continue() may free the session, so it runs from a timer, not within this loop. */
		session_run (session);
		if (session->state != SESSION_BLOCKED)
			loop_set_timer (&database->loop, &session->timer, 0);
	}
}

/** Sends an error and aborts an open transaction. */
static void
session_send_error (struct session *session, const char *sqlstate, const char *message)
{
	struct result result = { .sqlstate = sqlstate, .message = (char *) message };

	if (session->transaction == TRANSACTION_OPEN)
	{
		session_discard_transaction (session);
		session->transaction = TRANSACTION_ABORTED;
		database_retry_blocked (session->database);
	}
	session_send_result (session, &result);
}

static int64_t
session_run_us (const struct session *session)
{
	const struct query *query = &session->query;

	if (g_str_has_prefix (query->statement->pattern, "SELECT report"))
		return atoll (query->arguments[0]) * US_PER_MS;
	return session->database->run_us;
}

static void
database_start_queued (struct database *database)
{
	while (database->running < database->slots && !g_queue_is_empty (&database->queued_sessions))
	{
		struct session *session = g_queue_pop_head (&database->queued_sessions);

		database->running++;
		session->state = SESSION_RUNNING;
		loop_set_timer (&database->loop, &session->timer,
		                clock_now_us () + session_run_us (session));
	}
}

static void
handle_session_timer (struct loop_timer *timer, int64_t now_us)
{
	struct session *session = timer->data;
	struct database *database = session->database;

	if (session->state == SESSION_CONNECTING)
	{
		session->state = SESSION_IDLE;
		session_send_ready (session);
	}
	else if (session->state == SESSION_BLOCKED)
	{
		session->state = SESSION_IDLE;
		session_send_error (session, "40P01", "row lock not available in time");
	}
	else if (session->state == SESSION_RUNNING)
	{
		database->running--;
		session_run (session);
	}
	session_continue (session);
	database_start_queued (database);
}

/** Applies cut_commits and cut_ids. @return true when the connection must break before the statement runs. */
static bool
fault_breaks_connection (struct session *session)
{
	struct database *database = session->database;
	const char *pattern = session->query.statement->pattern;
	int64_t *count = NULL;

	if (strcmp (pattern, "COMMIT") == 0)
		count = &database->cut_commits;
	else if (g_str_has_prefix (pattern, "INSERT INTO flamingospring_request"))
		count = &database->cut_ids;
	if (!count || *count == 0)
		return false;
	(*count)--;
	return true;
}

static void
session_execute (struct session *session)
{
	const struct statement *statement = session->query.statement;

	if (fault_breaks_connection (session))
	{
		stream_close (&session->stream);
		return;
	}
	if (session->transaction == TRANSACTION_ABORTED && strcmp (statement->pattern, "COMMIT") != 0 &&
	    strcmp (statement->pattern, "ROLLBACK") != 0)
	{
		session_send_error (session, "25P02", "current transaction is aborted");
		return;
	}
	if (statement->kind == STATEMENT_CONTROL)
	{
		session_run (session);
		return;
	}
	session->state = SESSION_QUEUED;
	g_queue_push_tail (&session->database->queued_sessions, session);
	database_start_queued (session->database);
}

/** Reads a NUL-terminated string. @return "" when no terminator is left. */
static const char *
read_text (const char **at, const char *end)
{
	const char *text = *at;
	const char *zero = memchr (text, 0, (size_t) (end - text));

	*at = zero ? zero + 1 : end;
	return zero ? text : "";
}

static uint32_t
read_int (const char **at, const char *end, size_t bytes)
{
	uint32_t value = 0;

	for (; bytes > 0 && *at < end; bytes--)
		value = value << 8 | (uint8_t) * (*at)++;
	return value;
}

static void
prepared_free (void *data)
{
	query_clear (data);
	g_free (data);
}

static void
handle_parse (struct session *session, const char *at, const char *end)
{
	const char *name = read_text (&at, end);
	const char *text = read_text (&at, end);
	struct query *query = g_new0 (struct query, 1);

	if (!query_parse (query, text))
	{
		g_free (query);
		session_send_error (session, "42601", "unknown statement");
		return;
	}
	g_hash_table_replace (session->prepared, g_strdup (name), query);
	put_message (session->stream.out, '1', "");
}

static void
bind_parameter (struct query *query, int number, const char *value, uint32_t length)
{
	for (size_t i = 0; i < MAX_ARGUMENTS; i++)
	{
		if (query->parameters[i] == number)
			query->arguments[i] = g_strndup (value, length);
	}
}

static bool
query_is_complete (const struct query *query)
{
	for (size_t i = 0; i < MAX_ARGUMENTS; i++)
	{
		if (query->parameters[i] && !query->arguments[i])
			return false;
	}
	return true;
}

/** Binds the session's only portal. Parameters must be in text format and not NULL. */
static void
handle_bind (struct session *session, const char *at, const char *end)
{
	const struct query *prepared;
	uint32_t count;

	read_text (&at, end);
	prepared = g_hash_table_lookup (session->prepared, read_text (&at, end));
	query_clear (&session->query);
	if (!prepared)
	{
		session_send_error (session, "26000", "prepared statement does not exist");
		return;
	}
	session->query.statement = prepared->statement;
	for (size_t i = 0; i < MAX_ARGUMENTS; i++)
	{
		session->query.parameters[i] = prepared->parameters[i];
		session->query.arguments[i] = g_strdup (prepared->arguments[i]);
	}
	for (count = read_int (&at, end, 2); count > 0; count--)
		read_int (&at, end, 2);
	count = read_int (&at, end, 2);
	for (int number = 1; number <= (int) count; number++)
	{
		uint32_t length = read_int (&at, end, 4);

		if (length > (size_t) (end - at))
			break;
		bind_parameter (&session->query, number, at, length);
		at += length;
	}
	if (!query_is_complete (&session->query))
		session_send_error (session, "08P01", "missing or NULL parameter");
	else
		put_message (session->stream.out, '2', "");
}

static void
handle_describe (struct session *session, const char *at, const char *end)
{
	GByteArray *out = session->stream.out;
	const struct query *query = &session->query;

	if (read_int (&at, end, 1) == 'S')
	{
		query = g_hash_table_lookup (session->prepared, read_text (&at, end));
		if (!query)
		{
			session_send_error (session, "26000", "prepared statement does not exist");
			return;
		}
		put_message (out, 't', "hii", MAX_ARGUMENTS, TYPE_TEXT, TYPE_TEXT);
	}
	if (query->statement)
		put_row_description (out, query->statement);
}

static void
handle_simple_query (struct session *session, const char *at, const char *end)
{
	query_clear (&session->query);
	session->is_extended = false;
	if (query_parse (&session->query, read_text (&at, end)) && query_is_complete (&session->query))
		session_execute (session);
	else
		session_send_error (session, "42601", "unknown statement");
}

static void
handle_sync (struct session *session)
{
	session->skips_until_sync = false;
	session_send_ready (session);
}

static void
handle_message (struct session *session, char type, const char *at, const char *end)
{
	if (session->skips_until_sync && type != 'S' && type != 'X')
		return;
	session->is_extended = true;
	switch (type)
	{
	case 'P':
		handle_parse (session, at, end);
		break;
	case 'B':
		handle_bind (session, at, end);
		break;
	case 'D':
		handle_describe (session, at, end);
		break;
	case 'E':
		if (session->query.statement)
			session_execute (session);
		else
			session_send_error (session, "34000", "portal does not exist");
		break;
	case 'C':
		put_message (session->stream.out, '3', "");
		break;
	case 'H':
		stream_flush (&session->stream);
		break;
	case 'S':
		handle_sync (session);
		break;
	case 'Q':
		handle_simple_query (session, at, end);
		break;
	default:
		stream_close (&session->stream);
		break;
	}
}

static void
session_start (struct session *session)
{
	struct database *database = session->database;
	GByteArray *out = session->stream.out;

	if ((int64_t) database->sessions->len > database->max_connections)
	{
		database->refused_connections++;
		put_error (out, "FATAL", "53300", "sorry, too many clients already");
		stream_flush (&session->stream);
		stream_close (&session->stream);
		return;
	}
	if ((int64_t) database->sessions->len > database->peak_connections)
		database->peak_connections = database->sessions->len;
	put_message (out, 'R', "i", 0);
	put_message (out, 'S', "ss", "server_version", "15.0");
	put_message (out, 'S', "ss", "client_encoding", "UTF8");
	put_message (out, 'S', "ss", "standard_conforming_strings", "on");
	put_message (out, 'K', "ii", (uint32_t) getpid (), 0);
	session->state = SESSION_CONNECTING;
	loop_set_timer (&database->loop, &session->timer,
	                clock_now_us () + database->connect_ms * US_PER_MS);
}

static void
handle_startup (struct session *session, const char *at, const char *end)
{
	uint32_t code = read_int (&at, end, 4);

	if (code == REQUEST_SSL || code == REQUEST_GSS)
	{
		g_byte_array_append (session->stream.out, (const guint8 *) "N", 1);
		stream_flush (&session->stream);
	}
	else if (code == PROTOCOL_3)
		session_start (session);
	else
		stream_close (&session->stream);
}

static void
session_process (struct session *session)
{
	struct stream *stream = &session->stream;

	while (!stream->is_closed &&
	       (session->state == SESSION_STARTUP || session->state == SESSION_IDLE))
	{
		size_t type_bytes = session->state == SESSION_STARTUP ? 0 : 1;
		const char *at = (const char *) stream->in->data + type_bytes;
		uint32_t length;
		char *message;

		if (stream->in->len < type_bytes + 4)
			return;
		length = read_int (&at, at + 4, 4);
		if (stream->in->len < type_bytes + length)
			return;
		message = g_memdup2 (stream->in->data, type_bytes + length);
		stream_consume (stream, type_bytes + length);
		if (type_bytes == 0)
			handle_startup (session, message + 4, message + length);
		else
			handle_message (session, message[0], message + 5, message + 1 + length);
		g_free (message);
	}
}

static void
handle_session_input (struct stream *stream)
{
	session_process ((struct session *) stream);
}

static void
handle_session_closed (struct stream *stream)
{
	struct session *session = (struct session *) stream;

	session->is_client_closed = true;
	session_continue (session);
}

static const struct stream_ops session_ops = {
	.handle_input = handle_session_input,
	.handle_closed = handle_session_closed,
};

static void
handle_accept (void *owner, int fd)
{
	struct database *database = owner;
	struct session *session = g_new0 (struct session, 1);

	session->database = database;
	session->transaction = TRANSACTION_NONE;
	session->timer.data = session;
	session->timer.handle_timer = handle_session_timer;
	session->repeat_timer.data = session;
	session->repeat_timer.handle_timer = handle_repeat_timer;
	session->repeated = g_byte_array_new ();
	session->pending_writes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	session->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, prepared_free);
	g_ptr_array_add (database->sessions, session);
	stream_init (&session->stream, &database->loop, &session_ops, fd);
}

int
cmd_database (int argc, char **argv)
{
	struct database database = {
		.slots = 2, .run_us = 500, .connect_ms = 12, .max_connections = 16
	};
	struct group *group = &database.group;
	int64_t index = 0, lag_ms = 200;
	char *address = NULL, *peers = NULL, *state = NULL;
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING, &address, "address for clients", "IP:PORT" },
		{ "peers", 0, 0, G_OPTION_ARG_STRING, &peers, "replication addresses of all servers",
		  "IP:PORT,..." },
		{ "index", 0, 0, G_OPTION_ARG_INT64, &index, "index of this server in --peers", "N" },
		{ "slots", 0, 0, G_OPTION_ARG_INT64, &database.slots, "concurrent statements", "N" },
		{ "connections", 0, 0, G_OPTION_ARG_INT64, &database.max_connections, "maximum connections",
		  "N" },
		{ "connect-ms", 0, 0, G_OPTION_ARG_INT64, &database.connect_ms, "delay of a new connection",
		  "MS" },
		{ "run-us", 0, 0, G_OPTION_ARG_INT64, &database.run_us, "run time of a statement", "US" },
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT64, &lag_ms, "replication lag", "MS" },
		{ "state", 0, 0, G_OPTION_ARG_STRING, &state, "file for log and promised term", "FILE" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new ("- one server of a database group");
	struct sockaddr_in listen_address;
	GError *error = NULL;
	bool is_parsed;

	g_option_context_add_main_entries (context, entries, NULL);
	is_parsed = g_option_context_parse (context, &argc, &argv, &error);
	g_option_context_free (context);
	if (!is_parsed || !address || !peers || stream_parse_address (address, &listen_address) < 0)
	{
		fprintf (stderr, "database: %s\n",
		         error ? error->message : "--address IP:PORT and --peers IP:PORT,... are required");
		return EXIT_FAILURE;
	}
	if (database.slots < 1 || database.max_connections < 1 || database.connect_ms < 0 ||
	    database.run_us < 0 || lag_ms < 0 || index < 0)
	{
		fprintf (
			stderr,
			"database: --slots and --connections must be at least 1, other numbers at least 0\n");
		return EXIT_FAILURE;
	}
	signal (SIGPIPE, SIG_IGN);
	loop_init (&database.loop);
	database.locks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	database.sessions = g_ptr_array_new ();
	g_queue_init (&database.queued_sessions);
	if (group_init (group, &database.loop, peers, (uint32_t) index, state) < 0 ||
	    listener_init (&database.listener, &database.loop, &listen_address, handle_accept,
	                   &database) < 0)
	{
		fprintf (stderr, "database: cannot start with --peers %s and --address %s\n", peers,
		         address);
		return EXIT_FAILURE;
	}
	group->lag_ms = lag_ms;
	return loop_run (&database.loop) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
