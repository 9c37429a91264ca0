#include "fake_database.h"

#include "common/rpc.h"

#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	FAKE_MAX_CONNECTIONS = 256,
	FAKE_POLL_MS = 10,
};

struct fake_connection
{
	int fd;
	int number;
	GString *in;
	char caller[64]; /* Second word of START. */
	GHashTable *values;
	GHashTable *prepared; /* Name to "READ shape" or "WRITE shape". */
	bool is_open;         /* A transaction is open. */
	bool has_written;
	GPtrArray *writes; /* Ids of the open transaction's writes. */
	struct fake_reaction reaction;
	GString *kept; /* Answer that is sent again in front of a later one. */
};

/** An answer that is sent again. */
struct fake_repeat
{
	int connection;
	int64_t due_us;
	char *answer;
	size_t length;
};

static void
send_all (int fd, const char *bytes, size_t length)
{
	ssize_t sent = 1;

	for (size_t at = 0; at < length && sent > 0; at += (size_t) sent)
		sent = send (fd, bytes + at, length - at, MSG_NOSIGNAL);
}

static void
repeat_free (void *data)
{
	struct fake_repeat *repeat = data;

	g_free (repeat->answer);
	g_free (repeat);
}

static void
statement_free (void *data)
{
	struct fake_statement *statement = data;

	g_free (statement->id);
	g_bytes_unref (statement->text);
	g_free (statement->value);
	g_free (statement->shape);
	g_free (statement->caller);
	g_free (statement);
}

/** Sends an answer as the reaction says; @p lines may hold any bytes. */
static void
send_bytes (struct fake_database *database, struct fake_connection *connection,
            const GString *lines)
{
	const struct fake_reaction *reaction = &connection->reaction;
	GString *answer = g_string_new_len (lines->str, (gssize) lines->len);

	g_string_append_printf (answer, "READY %c %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT "\r\n",
	                        connection->is_open ? 'T' : 'I', database->term, database->index);
	if (reaction->replays)
		send_all (connection->fd, connection->kept->str, connection->kept->len);
	if (reaction->is_kept)
	{
		g_string_truncate (connection->kept, 0);
		g_string_append_len (connection->kept, answer->str, (gssize) answer->len);
	}
	if (reaction->cut_bytes > 0)
		send_all (connection->fd, answer->str, MIN ((size_t) reaction->cut_bytes, answer->len));
	send_all (connection->fd, answer->str, answer->len);
	if (reaction->repeat_ms >= 0)
	{
		struct fake_repeat *repeat = g_new0 (struct fake_repeat, 1);

		repeat->connection = connection->number;
		repeat->due_us = g_get_monotonic_time () + reaction->repeat_ms * (int64_t) 1000;
		repeat->length = reaction->repeat_bytes > 0
		                     ? MIN ((size_t) reaction->repeat_bytes, answer->len)
		                     : answer->len;
		repeat->answer = g_string_free (answer, FALSE);
		g_queue_push_tail (&database->repeats, repeat);
		return;
	}
	g_string_free (answer, TRUE);
}

static void
send_answer (struct fake_database *database, struct fake_connection *connection, const char *lines)
{
	GString *bytes = g_string_new (lines);

	send_bytes (database, connection, bytes);
	g_string_free (bytes, TRUE);
}

/** Sends the answer to a statement that ran, with its signature, which no other answer has. */
static void
send_success (struct fake_database *database, struct fake_connection *connection, bool has_row,
              guint number)
{
	GString *lines = g_string_new (NULL);

	if (has_row && database->row)
	{
		gsize length;
		const char *row = g_bytes_get_data (database->row, &length);

		g_string_append (lines, "ROW ");
		g_string_append_len (lines, row, (gssize) length);
		g_string_append (lines, "\r\n");
	}
	else if (has_row && database->row_bytes > 0)
	{
		g_autofree char *row = g_strnfill ((gsize) database->row_bytes, 'x');

		g_string_append_printf (lines, "ROW %s\r\n", row);
	}
	else if (has_row)
		g_string_append (lines, "ROW row\r\n");
	g_string_append_printf (lines, "COMPLETE mac.%u\r\n", number);
	send_bytes (database, connection, lines);
	g_string_free (lines, TRUE);
}

static void
record_statement (struct fake_database *database, const struct fake_connection *connection,
                  const char *id, const char *text, size_t length, const char *shape)
{
	struct fake_statement *statement = g_new0 (struct fake_statement, 1);
	const char *value = g_hash_table_lookup (connection->values, "v0");

	statement->id = g_strdup (id);
	statement->text = g_bytes_new (text, length);
	statement->value = g_strdup (value ? value : "-");
	statement->shape = g_strdup (shape ? shape : "-");
	statement->connection = connection->number;
	statement->caller = g_strdup (connection->caller);
	statement->is_in_transaction = connection->is_open;
	g_ptr_array_add (database->statements, statement);
}

/** Removes the prefix "AFTER TERM.INDEX ". @return false when the log does not contain this position. */
static bool
strip_required_position (const struct fake_database *database, const char **text, size_t *bytes)
{
	unsigned long long term;
	unsigned long long index;
	int length = 0;

	if (sscanf (*text, "AFTER %llu.%llu %n", &term, &index, &length) < 2)
		return true;
	*text += length;
	*bytes -= (size_t) length;
	return database->term > term || (database->term == term && database->index >= index);
}

static void
run_statement (struct fake_database *database, struct fake_connection *connection, const char *id,
               const char *text, size_t length)
{
	char **words = g_strsplit (text, " ", 3);
	const char *shape = NULL;
	guint number;
	bool is_commit = strcmp (words[0], "COMMIT") == 0;
	bool is_write = strcmp (words[0], "WRITE") == 0;
	int delay_ms;

	if (strcmp (words[0], "EXECUTE") == 0)
	{
		shape = g_hash_table_lookup (connection->prepared, words[1]);
		if (!shape)
		{
			send_answer (database, connection, "ERROR NOSTMT no such name\r\n");
			goto out;
		}
		is_write = g_str_has_prefix (shape, "WRITE");
	}
	if (is_write && !database->is_primary)
	{
		database->refused++;
		send_answer (database, connection, "ERROR READONLY replica\r\n");
		goto out;
	}
	record_statement (database, connection, id, text, length, shape);
	number = database->statements->len;
	delay_ms = is_write || is_commit ? database->delay_ms : database->read_delay_ms;
	if (delay_ms > 0)
	{
		g_mutex_unlock (&database->mutex);
		g_usleep ((gulong) delay_ms * 1000);
		g_mutex_lock (&database->mutex);
	}
	if (is_write && connection->is_open)
		g_ptr_array_add (connection->writes, g_strdup (id));
	if (is_write && !connection->is_open)
	{
		database->index++;
		g_ptr_array_add (database->committed, g_strdup (id));
	}
	connection->has_written |= is_write && connection->is_open;
	if (is_commit)
	{
		database->index += connection->has_written;
		for (guint i = 0; i < connection->writes->len; i++)
			g_ptr_array_add (database->committed, g_strdup (connection->writes->pdata[i]));
		g_ptr_array_set_size (connection->writes, 0);
		connection->is_open = false;
		connection->has_written = false;
	}
	send_success (database, connection, !is_write && !is_commit, number);
out:
	g_strfreev (words);
}

static void
run_session_command (struct fake_database *database, struct fake_connection *connection,
                     const char *text)
{
	char **words = g_strsplit (text, " ", 3);
	const char *lines = "COMPLETE -\r\n";
	char *status = NULL;

	if (strcmp (words[0], "SET") == 0)
		g_hash_table_replace (connection->values, g_strdup (words[1]), g_strdup (words[2]));
	else if (strcmp (words[0], "PREPARE") == 0)
		g_hash_table_replace (connection->prepared, g_strdup (words[1]), g_strdup (words[2]));
	else if (strcmp (words[0], "RESET") == 0)
	{
		g_hash_table_remove_all (connection->values);
		g_hash_table_remove_all (connection->prepared);
	}
	else if (strcmp (words[0], "BEGIN") == 0 && !words[1] && !database->is_primary)
	{
		database->refused++;
		lines = "ERROR READONLY replica\r\n";
	}
	else if (strcmp (words[0], "BEGIN") == 0)
		connection->is_open = true;
	else if (strcmp (words[0], "ROLLBACK") == 0)
	{
		database->rollbacks++;
		connection->is_open = false;
		connection->has_written = false;
		g_ptr_array_set_size (connection->writes, 0);
	}
	else
		lines = status = g_strdup_printf ("ROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
		                                  ".%" G_GUINT64_FORMAT " 0 0 0 1\r\nCOMPLETE -\r\n",
		                                  database->is_primary ? "primary" : "replica",
		                                  database->term, database->term, database->index);
	send_answer (database, connection, lines);
	g_free (status);
	g_strfreev (words);
}

/** Handles a START line: a server refuses a greeting that names another server. */
static void
handle_start (struct fake_database *database, struct fake_connection *connection, const char *line)
{
	char **fields = g_strsplit (line, " ", 4);

	g_strlcpy (connection->caller, fields[1] && fields[2] ? fields[2] : "",
	           sizeof connection->caller);
	g_ptr_array_add (database->greetings, g_strdup (line));
	if (fields[1] && fields[2] && fields[3] && strcmp (fields[3], database->own_id) != 0)
		send_all (connection->fd, "ERROR MISDIRECT other\r\n",
		          strlen ("ERROR MISDIRECT other\r\n"));
	else
		send_answer (database, connection, "");
	g_strfreev (fields);
}

/** Handles a line of @p length bytes, which may hold any byte but a line end. */
static void
handle_line (struct fake_database *database, struct fake_connection *connection, const char *line,
             size_t length)
{
	char **words = g_strsplit (line, " ", 3);
	const char *text = words[0] && words[1] && words[2] ? line : NULL;
	size_t bytes = 0;

	connection->reaction = (struct fake_reaction){ .repeat_ms = -1 };
	database->max_line_bytes = MAX (database->max_line_bytes, length);
	if (text)
	{
		text += strlen (words[0]) + strlen (words[1]) + 2;
		bytes = length - (size_t) (text - line);
	}
	if (g_str_has_prefix (line, "START "))
		handle_start (database, connection, line);
	else if (text)
	{
		if (database->react)
			database->react (database->react_data, words[1], text, &connection->reaction);
		if (!strip_required_position (database, &text, &bytes))
		{
			database->refused++;
			send_answer (database, connection, "ERROR LAGGING behind\r\n");
		}
		else if (connection->reaction.is_refused)
			send_answer (database, connection, "ERROR BUSY slots\r\n");
		else if (strcmp (words[1], "-") == 0)
		{
			g_ptr_array_add (database->commands, g_bytes_new (text, bytes));
			run_session_command (database, connection, text);
		}
		else
			run_statement (database, connection, words[1], text, bytes);
	}
	g_strfreev (words);
}

static void
connection_clear (struct fake_connection *connection)
{
	close (connection->fd);
	g_string_free (connection->in, TRUE);
	g_hash_table_destroy (connection->values);
	g_hash_table_destroy (connection->prepared);
	g_ptr_array_free (connection->writes, TRUE);
	g_string_free (connection->kept, TRUE);
	connection->fd = -1;
}

static void
connection_read (struct fake_database *database, struct fake_connection *connection)
{
	char buffer[65536];
	ssize_t count = recv (connection->fd, buffer, sizeof buffer, 0);
	char *end;

	if (count <= 0)
	{
		connection_clear (connection);
		return;
	}
	g_string_append_len (connection->in, buffer, count);
	while ((end = memmem (connection->in->str, connection->in->len, "\r\n", 2)))
	{
		size_t length = (size_t) (end - connection->in->str);
		char *line = g_malloc0 (length + 1);

		memcpy (line, connection->in->str, length);
		g_string_erase (connection->in, 0, (gssize) length + 2);
		g_mutex_lock (&database->mutex);
		handle_line (database, connection, line, length);
		g_mutex_unlock (&database->mutex);
		g_free (line);
	}
}

/** Sends the answers again whose time has come, if their connections are open. */
static void
send_repeats (struct fake_database *database, const struct fake_connection *connections)
{
	int64_t now_us = g_get_monotonic_time ();
	GList *next;

	for (GList *link = database->repeats.head; link; link = next)
	{
		struct fake_repeat *repeat = link->data;

		next = link->next;
		if (repeat->due_us > now_us)
			continue;
		for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
			if (connections[i].fd >= 0 && connections[i].number == repeat->connection)
			{
				send_all (connections[i].fd, repeat->answer, repeat->length);
				g_atomic_int_inc (&database->repeated);
			}
		g_queue_delete_link (&database->repeats, link);
		repeat_free (repeat);
	}
}

static void *
fake_database_main (void *data)
{
	struct fake_database *database = data;
	struct fake_connection connections[FAKE_MAX_CONNECTIONS] = { 0 };
	struct pollfd polls[FAKE_MAX_CONNECTIONS + 1] = { 0 };
	int number = 0;

	for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
		connections[i].fd = -1;
	while (!g_atomic_int_get (&database->is_stopped))
	{
		polls[FAKE_MAX_CONNECTIONS] = (struct pollfd){ database->listener, POLLIN, 0 };
		for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
			polls[i] = (struct pollfd){ connections[i].fd, POLLIN, 0 };
		poll (polls, FAKE_MAX_CONNECTIONS + 1, database->repeats.length > 0 ? 1 : FAKE_POLL_MS);
		send_repeats (database, connections);
		for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
			if (connections[i].fd >= 0 && polls[i].revents)
				connection_read (database, &connections[i]);
		for (int i = 0; i < FAKE_MAX_CONNECTIONS && polls[FAKE_MAX_CONNECTIONS].revents; i++)
		{
			if (connections[i].fd >= 0)
				continue;
			connections[i] = (struct fake_connection){
				.fd = accept (database->listener, NULL, NULL),
				.number = ++number,
				.in = g_string_new (NULL),
				.values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
				.prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
				.writes = g_ptr_array_new_with_free_func (g_free),
				.kept = g_string_new (NULL),
			};
			break;
		}
	}
	for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
		if (connections[i].fd >= 0)
			connection_clear (&connections[i]);
	return NULL;
}

void
fake_database_start (struct fake_database *database, const char *id, bool is_primary)
{
	struct sockaddr_in address = { 0 };
	socklen_t length = sizeof address;

	memset (database, 0, sizeof *database);
	g_mutex_init (&database->mutex);
	database->id = id;
	database->own_id = id;
	database->is_primary = is_primary;
	database->term = 1;
	database->index = 100;
	database->committed = g_ptr_array_new_with_free_func (g_free);
	database->greetings = g_ptr_array_new_with_free_func (g_free);
	database->commands = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
	database->statements = g_ptr_array_new_with_free_func (statement_free);
	database->listener = rpc_listen (INADDR_LOOPBACK, 0);
	g_assert_cmpint (database->listener, >=, 0);
	g_assert_cmpint (getsockname (database->listener, (struct sockaddr *) &address, &length), ==,
	                 0);
	database->port = ntohs (address.sin_port);
	database->thread = g_thread_new (id, fake_database_main, database);
}

void
fake_database_stop (struct fake_database *database)
{
	g_atomic_int_set (&database->is_stopped, true);
	g_thread_join (database->thread);
	close (database->listener);
	g_ptr_array_free (database->statements, TRUE);
	g_ptr_array_free (database->committed, TRUE);
	g_ptr_array_free (database->greetings, TRUE);
	g_ptr_array_free (database->commands, TRUE);
	g_queue_clear_full (&database->repeats, repeat_free);
	if (database->row)
		g_bytes_unref (database->row);
	g_mutex_clear (&database->mutex);
}

const struct fake_statement *
fake_database_find (struct fake_database *database, const char *id)
{
	for (int wait = 0; wait < 200; wait++)
	{
		const struct fake_statement *found = NULL;

		g_mutex_lock (&database->mutex);
		for (guint i = 0; i < database->statements->len && !found; i++)
		{
			const struct fake_statement *statement = database->statements->pdata[i];

			if (strcmp (statement->id, id) == 0)
				found = statement;
		}
		g_mutex_unlock (&database->mutex);
		if (found)
			return found;
		g_usleep (10000);
	}
	return NULL;
}

int
fake_database_count_commits (struct fake_database *database, const char *id)
{
	int count = 0;

	g_mutex_lock (&database->mutex);
	for (guint i = 0; i < database->committed->len; i++)
		count += strcmp (database->committed->pdata[i], id) == 0;
	g_mutex_unlock (&database->mutex);
	return count;
}
