#include "flamingospring/upstream.h"

#include "common/clock.h"
#include "common/log.h"

#include <errno.h>
#include <inttypes.h>
#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>

enum
{
	PG_STATEMENT_BYTES = 128, /* Holds a fence or promotion with its numbers. */
	PG_MAX_BATCH = 8,         /* With the marker. */
	PG_MARKER_BYTES = 40,
};

/* Statements whose completion has a known form. */
enum pg_command
{
	PG_COMMAND_OTHER,
	PG_COMMAND_MARKER, /* The first one; its row tells to which statements the answer belongs. */
	PG_COMMAND_BEGIN,
	PG_COMMAND_COMMIT,
	PG_COMMAND_ROLLBACK,
	PG_COMMAND_SELECT,
	PG_COMMAND_INSERT,
	PG_COMMAND_UPDATE,
	PG_COMMAND_DELETE,
};

/* The first word of the statement and of its command tag. */
static const char *const command_words[] = {
	[PG_COMMAND_BEGIN] = "BEGIN",       [PG_COMMAND_COMMIT] = "COMMIT",
	[PG_COMMAND_ROLLBACK] = "ROLLBACK", [PG_COMMAND_SELECT] = "SELECT",
	[PG_COMMAND_INSERT] = "INSERT",     [PG_COMMAND_UPDATE] = "UPDATE",
	[PG_COMMAND_DELETE] = "DELETE",
};

struct pg_connection
{
	struct upstream *upstream;
	PGconn *conn;
	PGresult *result; /* Result of the outstanding statement. */
	/* A message came while no statement was outstanding. Since answers carry no id, no later one can
	 * be assigned to its statement. */
	bool is_out_of_step;
	bool is_mismatched;     /* The answer cannot be that of the outstanding statements. */
	bool has_marker;        /* The first of the outstanding statements is a marker. */
	uint64_t marker_number; /* Grows with each marker. */
	char marker[PG_MARKER_BYTES];
	bool was_in_transaction; /* Before the outstanding statements. */
	enum pg_command commands[PG_MAX_BATCH];
	size_t batch_count;
	size_t batch_completed;          /* Completed statements of the batch, up to a failed one. */
	size_t result_count;             /* Results without an error. */
	struct loop_timer failure_timer; /* Reports a failed send after execute() has returned. */
	const char **column_names;
	const char **cells;
	size_t cell_capacity;
	size_t column_capacity;
};

static void
pg_close (struct upstream *upstream)
{
	struct pg_connection *pg = upstream->connection;

	upstream->is_connected = false;
	upstream->is_busy = false;
	upstream->expects_status = false;
	if (!pg->conn)
		return;
	loop_cancel_timer (upstream->loop, &pg->failure_timer);
	loop_remove_source (upstream->loop, &upstream->source);
	PQclear (pg->result);
	pg->result = NULL;
	PQfinish (pg->conn);
	pg->conn = NULL;
}

/* libpq reports the SQLSTATE of a refused connection only in the text of a verbose message. */
static int
pg_connect_error (const PGconn *conn)
{
	return strstr (PQerrorMessage (conn), "53300") ? -EUSERS : -ECONNREFUSED;
}

static void
pg_fail_connect (struct upstream *upstream)
{
	struct pg_connection *pg = upstream->connection;
	int error = pg_connect_error (pg->conn);

	pg_close (upstream);
	upstream->user_ops->handle_connected (upstream, error);
}

static void
pg_fail (struct upstream *upstream)
{
	struct upstream_answer answer = { .result = UPSTREAM_LOST, .message = "connection lost" };
	bool was_busy = upstream->is_busy;

	pg_close (upstream);
	if (was_busy)
		upstream->user_ops->handle_answer (upstream, &answer);
	else
		upstream->user_ops->handle_closed (upstream);
}

static void
handle_failure_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	pg_fail (timer->data);
}

static bool
number_parse (const char *text, uint64_t *number)
{
	char *end;

	if (!text || !text[0])
		return false;
	errno = 0;
	*number = strtoull (text, &end, 10);
	return errno == 0 && *end == 0;
}

static bool
pg_read_position (const PGconn *conn, struct log_position *position)
{
	return number_parse (PQparameterStatus (conn, "group_term"), &position->term) &&
	       number_parse (PQparameterStatus (conn, "group_position"), &position->index);
}

static bool
pg_read_field (const PGresult *result, const char *name, uint64_t *number)
{
	int field = PQfnumber (result, name);

	return field >= 0 && number_parse (PQgetvalue (result, 0, field), number);
}

/* Reads the row that group_status(), group_fence() or group_promote() returned. */
static bool
pg_read_status (const PGresult *result, struct server_status *status)
{
	int role;

	if (PQresultStatus (result) != PGRES_TUPLES_OK || PQntuples (result) != 1)
		return false;
	role = PQfnumber (result, "role");
	if (role < 0)
		return false;
	status->is_primary = strcmp (PQgetvalue (result, 0, role), "primary") == 0;
	return pg_read_field (result, "log_term", &status->position.term) &&
	       pg_read_field (result, "log_index", &status->position.index) &&
	       pg_read_field (result, "promised_term", &status->promised_term);
}

static enum pg_command
pg_find_command (const char *text)
{
	size_t length = strcspn (text, " \t\r\n;(");

	for (int i = PG_COMMAND_BEGIN; i <= PG_COMMAND_DELETE; i++)
	{
		if (strlen (command_words[i]) == length &&
		    strncasecmp (text, command_words[i], length) == 0)
			return (enum pg_command) i;
	}
	return PG_COMMAND_OTHER;
}

static bool
pg_is_error (const PGresult *result)
{
	return result && PQresultStatus (result) == PGRES_FATAL_ERROR;
}

static void
pg_report (const struct pg_connection *pg, const char *cause)
{
	log_event (LOG_LEVEL_WARN, "answer_out_of_step", "server=%s:%s cause=%s", PQhostaddr (pg->conn),
	           PQport (pg->conn), cause);
}

static void
pg_set_mismatched (struct pg_connection *pg, const char *cause)
{
	if (!pg->is_mismatched)
		pg_report (pg, cause);
	pg->is_mismatched = true;
}

/* @return whether the result can be that of @p command. The server's errors carry a SQLSTATE; those
 * of libpq do not, and say nothing about the effect of the statement. */
static bool
pg_result_fits (const PGresult *result, enum pg_command command)
{
	const char *tag;

	switch (PQresultStatus (result))
	{
	case PGRES_FATAL_ERROR:
		return PQresultErrorField (result, PG_DIAG_SQLSTATE) != NULL;
	case PGRES_EMPTY_QUERY:
		return command == PG_COMMAND_OTHER;
	case PGRES_COMMAND_OK:
	case PGRES_TUPLES_OK:
		break;
	default:
		return false;
	}
	if (command == PG_COMMAND_OTHER || command == PG_COMMAND_MARKER)
		return true;
	tag = PQcmdStatus ((PGresult *) (uintptr_t) result);
	/* COMMIT of an aborted transaction succeeds with the command tag ROLLBACK. */
	return pg_find_command (tag) == command ||
	       (command == PG_COMMAND_COMMIT && strcmp (tag, "ROLLBACK") == 0);
}

/* @return whether the transaction state of the server is the one that the outstanding statements
 * lead to. */
static bool
pg_state_fits (const struct pg_connection *pg)
{
	bool is_error = pg_is_error (pg->result);
	bool is_open = pg->was_in_transaction;

	for (size_t i = 0; i <= pg->batch_completed; i++)
	{
		bool has_failed = is_error && i == pg->batch_completed;

		if (pg->commands[i] == PG_COMMAND_BEGIN && !has_failed)
			is_open = true;
		if (pg->commands[i] == PG_COMMAND_COMMIT ||
		    (pg->commands[i] == PG_COMMAND_ROLLBACK && !has_failed))
			is_open = false;
	}
	if (!is_open)
		return PQtransactionStatus (pg->conn) == PQTRANS_IDLE;
	return PQtransactionStatus (pg->conn) == (is_error ? PQTRANS_INERROR : PQTRANS_INTRANS);
}

static enum upstream_result
pg_classify_result (const struct pg_connection *pg, const char *sqlstate)
{
	ExecStatusType status = PQresultStatus (pg->result);

	if (status == PGRES_TUPLES_OK)
		return UPSTREAM_OK;
	if (status == PGRES_COMMAND_OK)
	{
		if (pg->commands[pg->batch_count - 1] == PG_COMMAND_COMMIT &&
		    strcmp (PQcmdStatus (pg->result), "ROLLBACK") == 0)
			return UPSTREAM_STATEMENT_ERROR;
		return UPSTREAM_OK;
	}
	if (strcmp (sqlstate, "25006") == 0)
		return UPSTREAM_NOT_PRIMARY;
	if (strcmp (sqlstate, "23505") == 0)
		return UPSTREAM_DUPLICATE;
	if (strcmp (sqlstate, "FS001") == 0)
		return UPSTREAM_TERM_REJECTED;
	return UPSTREAM_STATEMENT_ERROR;
}

static int
pg_reserve (const char ***array, size_t *capacity, size_t count)
{
	const char **memory;

	if (count <= *capacity)
		return 0;
	memory = realloc (*array, count * sizeof **array);
	if (!memory)
		return -ENOMEM;
	*array = memory;
	*capacity = count;
	return 0;
}

static int
pg_read_rows (struct pg_connection *pg, struct upstream_answer *answer)
{
	size_t columns = (size_t) PQnfields (pg->result);
	size_t rows = (size_t) PQntuples (pg->result);

	if (pg_reserve (&pg->column_names, &pg->column_capacity, columns) < 0 ||
	    pg_reserve (&pg->cells, &pg->cell_capacity, columns * rows) < 0)
		return -ENOMEM;
	for (size_t i = 0; i < columns; i++)
		pg->column_names[i] = PQfname (pg->result, (int) i);
	for (size_t i = 0; i < columns * rows; i++)
	{
		int row = (int) (i / columns);
		int column = (int) (i % columns);

		pg->cells[i] =
			PQgetisnull (pg->result, row, column) ? NULL : PQgetvalue (pg->result, row, column);
	}
	answer->column_count = columns;
	answer->row_count = rows;
	answer->columns = pg->column_names;
	answer->cells = pg->cells;
	return 0;
}

/* Handles messages that came while no statement is outstanding. libpq passes those that answer
 * nothing to the notice receiver. */
static void
pg_read_idle (struct pg_connection *pg)
{
	PGnotify *notification;

	PQisBusy (pg->conn);
	while ((notification = PQnotifies (pg->conn)))
		PQfreemem (notification);
}

/* Passes the result to the user after the server's ReadyForQuery. Only then is the statement's
 * effect decided, since an implicit transaction commits at Sync. */
static void
pg_deliver (struct upstream *upstream)
{
	struct pg_connection *pg = upstream->connection;
	PGresult *result = pg->result;
	struct upstream_answer answer = { 0 };
	const char *sqlstate;

	if (PQstatus (pg->conn) != CONNECTION_BAD && result && !pg->is_mismatched &&
	    !pg_state_fits (pg))
		pg_set_mismatched (pg, "state");
	if (PQstatus (pg->conn) == CONNECTION_BAD || !result || pg->is_mismatched ||
	    pg_read_rows (pg, &answer) < 0)
	{
		pg_fail (upstream);
		return;
	}
	sqlstate = PQresultErrorField (result, PG_DIAG_SQLSTATE);
	snprintf (answer.sqlstate, sizeof answer.sqlstate, "%s", sqlstate ? sqlstate : "00000");
	answer.result = pg_classify_result (pg, answer.sqlstate);
	answer.statement = pg->batch_completed - (pg->has_marker ? 1 : 0);
	answer.message = PQresultErrorField (result, PG_DIAG_MESSAGE_PRIMARY);
	if (!answer.message)
		answer.message = "";
	if (upstream->expects_status)
		answer.has_status = pg_read_status (result, &answer.status);
	else
		answer.has_status = pg_read_position (pg->conn, &answer.status.position);
	pg->result = NULL;
	upstream->is_busy = false;
	upstream->expects_status = false;
	/* What came after this answer in the same segment would be taken for the next one. */
	pg_read_idle (pg);
	if (pg->is_out_of_step)
		loop_set_timer (upstream->loop, &pg->failure_timer, clock_now_us ());
	/* The callback may send the next statement or close the connection. */
	upstream->user_ops->handle_answer (upstream, &answer);
	PQclear (result);
}

/* Keeps the last result. Each statement has one, which an error may follow, such as that of a
 * constraint that is checked at the end of the transaction. */
static void
pg_keep_result (struct pg_connection *pg, PGresult *result)
{
	bool is_marker = pg->commands[pg->batch_completed] == PG_COMMAND_MARKER;
	bool is_error = pg_is_error (result);

	if (pg_is_error (pg->result) || !pg_result_fits (result, pg->commands[pg->batch_completed]) ||
	    (!is_error && pg->result_count > pg->batch_completed))
		pg_set_mismatched (pg, "form");
	/* An error in place of the row may be the answer to an earlier statement as well. */
	else if (is_marker && (is_error || PQntuples (result) != 1 || PQnfields (result) != 1 ||
	                       strcmp (PQgetvalue (result, 0, 0), pg->marker) != 0))
		pg_set_mismatched (pg, "marker");
	if (!is_error)
		pg->result_count++;
	PQclear (pg->result);
	pg->result = result;
}

/* @return true when all outstanding statements have ended. */
static bool
pg_handle_pipeline_result (struct pg_connection *pg, PGresult *result)
{
	if (!result)
	{
		if (pg->result && !pg_is_error (pg->result) && pg->batch_completed + 1 < pg->batch_count)
			pg->batch_completed++;
		return PQstatus (pg->conn) == CONNECTION_BAD;
	}
	if (PQresultStatus (result) == PGRES_PIPELINE_ABORTED)
	{
		/* A statement after the failed one. */
		PQclear (result);
		return false;
	}
	if (PQresultStatus (result) == PGRES_PIPELINE_SYNC)
	{
		PQclear (result);
		/* Fails only when commands are outstanding. Without a result the connection counts as
		 * lost. */
		if (PQexitPipelineMode (pg->conn) == 0)
		{
			PQclear (pg->result);
			pg->result = NULL;
		}
		return true;
	}
	pg_keep_result (pg, result);
	return false;
}

static void
pg_flush (struct upstream *upstream)
{
	struct pg_connection *pg = upstream->connection;
	/* A failed write is detected as an error when reading. */
	bool is_pending = PQflush (pg->conn) == 1;

	loop_set_source (upstream->loop, &upstream->source, is_pending ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

static void
pg_read (struct upstream *upstream)
{
	struct pg_connection *pg = upstream->connection;
	bool is_broken = PQconsumeInput (pg->conn) == 0;

	while (upstream->is_busy && !PQisBusy (pg->conn))
	{
		bool has_ended = pg_handle_pipeline_result (pg, PQgetResult (pg->conn));

		/* After a COPY response, PQgetResult() would return it again and again. */
		if (has_ended || pg->is_mismatched)
		{
			pg_deliver (upstream);
			return;
		}
	}
	if (!is_broken && !upstream->is_busy)
		pg_read_idle (pg);
	if (is_broken || (!upstream->is_busy && pg->is_out_of_step) ||
	    PQstatus (pg->conn) == CONNECTION_BAD)
		pg_fail (upstream);
}

static void
pg_poll_connect (struct upstream *upstream)
{
	struct pg_connection *pg = upstream->connection;
	PostgresPollingStatusType status = PQconnectPoll (pg->conn);

	if (status == PGRES_POLLING_FAILED)
	{
		pg_fail_connect (upstream);
		return;
	}
	if (PQsocket (pg->conn) != upstream->source.fd)
	{
		loop_remove_source (upstream->loop, &upstream->source);
		upstream->source.fd = PQsocket (pg->conn);
	}
	if (status != PGRES_POLLING_OK)
	{
		loop_set_source (upstream->loop, &upstream->source,
		                 status == PGRES_POLLING_READING ? EPOLLIN : EPOLLOUT);
		return;
	}
	PQsetErrorVerbosity (pg->conn, PQERRORS_DEFAULT);
	if (PQsetnonblocking (pg->conn, 1) != 0 ||
	    loop_set_source (upstream->loop, &upstream->source, EPOLLIN) < 0)
	{
		pg_fail_connect (upstream);
		return;
	}
	upstream->is_connected = true;
	upstream->user_ops->handle_connected (upstream, 0);
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct upstream *upstream = source->data;

	if (!upstream->is_connected)
	{
		pg_poll_connect (upstream);
		return;
	}
	if (epoll_events & EPOLLOUT)
		pg_flush (upstream);
	if (epoll_events & ~(uint32_t) EPOLLOUT)
		pg_read (upstream);
}

/* libpq reports messages that come while no statement is outstanding as notices: those of an
 * unexpected type without a SQLSTATE, and errors with their own severity. */
static void
handle_notice (void *data, const PGresult *result)
{
	struct pg_connection *pg = data;
	const char *severity = PQresultErrorField (result, PG_DIAG_SEVERITY_NONLOCALIZED);

	if (!PQresultErrorField (result, PG_DIAG_SQLSTATE) || !severity ||
	    strcmp (severity, "ERROR") == 0 || strcmp (severity, "FATAL") == 0 ||
	    strcmp (severity, "PANIC") == 0)
	{
		if (!pg->is_out_of_step)
			pg_report (pg, "unexpected");
		pg->is_out_of_step = true;
	}
}

static int
pg_connect (struct upstream *upstream, uint32_t ip, uint16_t port, const char *database)
{
	struct pg_connection *pg = upstream->connection;
	char address[16];
	char port_text[8];
	char name[32]; /* Shows operators of the server which VM holds the connection. */
	/* The password file deliberately does not exist: without this setting, libpq would look for one
	 * in the home directory, for which it may query a name service. */
	const char *const keywords[] = { "hostaddr",         "port",
		                             "dbname",           "user",
		                             "sslmode",          "gssencmode",
		                             "passfile",         "client_encoding",
		                             "application_name", NULL };
	const char *const values[] = { address,   port_text, database,       "flamingospring",
		                           "disable", "disable", "/nonexistent", "UTF8",
		                           name,      NULL };

	if (pg->conn)
		return -EBUSY;
	pg->is_out_of_step = false;
	pg->marker_number = clock_wall_ns ();
	snprintf (address, sizeof address, "%u.%u.%u.%u", ip >> 24 & 255, ip >> 16 & 255, ip >> 8 & 255,
	          ip & 255);
	snprintf (port_text, sizeof port_text, "%u", port);
	snprintf (name, sizeof name, "flamingospring-%u", upstream->vm_id);
	pg->conn = PQconnectStartParams (keywords, values, 0);
	if (!pg->conn)
		return -ENOMEM;
	if (PQstatus (pg->conn) == CONNECTION_BAD)
		goto fail;
	PQsetErrorVerbosity (pg->conn, PQERRORS_VERBOSE);
	PQsetNoticeReceiver (pg->conn, handle_notice, pg);
	upstream->source.fd = PQsocket (pg->conn);
	if (loop_set_source (upstream->loop, &upstream->source, EPOLLOUT) < 0)
		goto fail;
	return 0;

fail:
	pg_close (upstream);
	return -ECONNREFUSED;
}

static bool
pg_send_query (PGconn *conn, const char *statement, const char *const *params, size_t param_count)
{
	return PQsendQueryParams (conn, statement, (int) param_count, NULL, params, NULL, NULL, 0) == 1;
}

static bool
pg_send_batch (const struct pg_connection *pg, const struct upstream_statement *statements,
               size_t count)
{
	PGconn *conn = pg->conn;
	const char *const marker[] = { pg->marker };
	bool is_sent = PQenterPipelineMode (conn) == 1;

	if (is_sent && pg->has_marker)
		is_sent = pg_send_query (conn, "SELECT $1 AS answer_to", marker, 1);
	for (size_t i = 0; i < count && is_sent; i++)
		is_sent = pg_send_query (conn, statements[i].text, statements[i].params,
		                         statements[i].param_count);
	/* After a failed statement, the server skips everything up to the Sync. */
	return is_sent && PQpipelineSync (conn) == 1;
}

static int
pg_start (struct upstream *upstream, const struct upstream_statement *statements, size_t count)
{
	struct pg_connection *pg = upstream->connection;

	if (!upstream->is_connected || PQstatus (pg->conn) != CONNECTION_OK)
		return -ENOTCONN;
	if (upstream->is_busy)
		return -EBUSY;
	if (count > PG_MAX_BATCH - 1)
		return -EMSGSIZE;
	/* The loop may not have reported yet that the socket is readable. What it holds would be taken
	 * for the answer. */
	if (PQconsumeInput (pg->conn) == 0)
		return -ENOTCONN;
	pg_read_idle (pg);
	if (pg->is_out_of_step)
		return -ENOTCONN;
	upstream->is_busy = true;
	upstream->expects_status = false;
	pg->was_in_transaction = PQtransactionStatus (pg->conn) != PQTRANS_IDLE;
	pg->is_mismatched = false;
	/* An aborted transaction accepts only its end, whose answer shows the end of the transaction. */
	pg->has_marker = PQtransactionStatus (pg->conn) != PQTRANS_INERROR;
	pg->marker_number++;
	snprintf (pg->marker, sizeof pg->marker, "%" PRIu32 "-%" PRIu64, upstream->vm_id,
	          pg->marker_number);
	pg->batch_count = 0;
	if (pg->has_marker)
		pg->commands[pg->batch_count++] = PG_COMMAND_MARKER;
	for (size_t i = 0; i < count; i++)
		pg->commands[pg->batch_count++] = pg_find_command (statements[i].text);
	pg->batch_completed = 0;
	pg->result_count = 0;
	return 0;
}

static int
pg_finish_send (struct upstream *upstream, bool is_sent)
{
	struct pg_connection *pg = upstream->connection;

	if (is_sent)
	{
		pg_flush (upstream);
		return 0;
	}
	/* libpq does not report how much was sent, so the statement counts as sent and lost. */
	return loop_set_timer (upstream->loop, &pg->failure_timer, clock_now_us ());
}

static int
pg_send (struct upstream *upstream, const char *statement, const char *const *params,
         size_t param_count, bool expects_status)
{
	struct pg_connection *pg = upstream->connection;
	const struct upstream_statement outstanding = { statement, params, param_count };
	int result = pg_start (upstream, &outstanding, 1);

	if (result < 0)
		return result;
	upstream->expects_status = expects_status;
	return pg_finish_send (upstream, pg_send_batch (pg, &outstanding, 1));
}

static int
pg_execute_batch (struct upstream *upstream, const struct upstream_statement *statements,
                  size_t count)
{
	struct pg_connection *pg = upstream->connection;
	int result = pg_start (upstream, statements, count);

	if (result < 0)
		return result;
	return pg_finish_send (upstream, pg_send_batch (pg, statements, count));
}

static int
pg_execute (struct upstream *upstream, const char *statement, const char *const *params,
            size_t param_count)
{
	return pg_send (upstream, statement, params, param_count, false);
}

static int
pg_query_status (struct upstream *upstream)
{
	return pg_send (upstream, "SELECT * FROM group_status()", NULL, 0, true);
}

static int
pg_fence (struct upstream *upstream, uint64_t term, uint32_t claimant)
{
	char statement[PG_STATEMENT_BYTES];

	snprintf (statement, sizeof statement, "SELECT * FROM group_fence(%" PRIu64 ", '%" PRIu32 "')",
	          term, claimant);
	return pg_send (upstream, statement, NULL, 0, true);
}

static int
pg_promote (struct upstream *upstream, uint64_t term, uint32_t claimant)
{
	char statement[PG_STATEMENT_BYTES];

	snprintf (statement, sizeof statement,
	          "SELECT * FROM group_promote(%" PRIu64 ", '%" PRIu32 "')", term, claimant);
	return pg_send (upstream, statement, NULL, 0, true);
}

static const struct upstream_ops pg_ops = {
	.connect = pg_connect,
	.execute = pg_execute,
	.execute_batch = pg_execute_batch,
	.query_status = pg_query_status,
	.fence = pg_fence,
	.promote = pg_promote,
	.close = pg_close,
};

void
upstream_pg_init (struct upstream *upstream, struct loop *loop,
                  const struct upstream_user_ops *user_ops, void *data)
{
	struct pg_connection *pg = calloc (1, sizeof *pg);

	memset (upstream, 0, sizeof *upstream);
	upstream->ops = &pg_ops;
	upstream->user_ops = user_ops;
	upstream->data = data;
	upstream->loop = loop;
	upstream->source.handle_ready = handle_ready;
	upstream->source.data = upstream;
	upstream->source.fd = -1;
	upstream->connection = pg;
	if (!pg)
		abort ();
	pg->upstream = upstream;
	pg->failure_timer.handle_timer = handle_failure_timer;
	pg->failure_timer.data = upstream;
}

void
upstream_pg_finish (struct upstream *upstream)
{
	struct pg_connection *pg = upstream->connection;

	if (!pg)
		return;
	pg_close (upstream);
	free (pg->column_names);
	free (pg->cells);
	free (pg);
	upstream->connection = NULL;
}
