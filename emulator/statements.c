#include "emulator/database.h"

#include <stdlib.h>
#include <string.h>

static enum run_result
result_set_error (struct result *result, const char *sqlstate, const char *message)
{
	result->sqlstate = sqlstate;
	result->message = g_strdup (message);
	return RUN_DONE;
}

static enum run_result
result_set_value (struct result *result, const char *value)
{
	result_add_row (result, 1, &value);
	result->tag = g_strdup ("SELECT 1");
	return RUN_DONE;
}

static char *
row_name (enum table table, const char *key)
{
	return g_strdup_printf ("%c%s", table, key);
}

static const char *
session_read (struct session *session, enum table table, const char *key)
{
	char *row = row_name (table, key);
	const char *value = g_hash_table_lookup (session->pending_writes, row);

	g_free (row);
	return value ? value
	             : g_hash_table_lookup (group_table (&session->database->group, table), key);
}

static bool
session_can_write (const struct session *session)
{
	const struct group *group = &session->database->group;

	return group->is_primary &&
	       (session->transaction == TRANSACTION_NONE || session->transaction_term == group->term);
}

static bool
session_is_blocked (struct session *session, enum table table, const char *key)
{
	char *row = row_name (table, key);
	const struct session *holder = g_hash_table_lookup (session->database->locks, row);

	g_free (row);
	return holder && holder != session;
}

static void
session_write (struct session *session, enum table table, const char *key, const char *value)
{
	GByteArray *changes;

	if (session->transaction == TRANSACTION_OPEN)
	{
		g_hash_table_replace (session->pending_writes, row_name (table, key), g_strdup (value));
		g_hash_table_replace (session->database->locks, row_name (table, key), session);
		return;
	}
	changes = g_byte_array_new ();
	group_add_change (changes, table, key, value);
	group_append (&session->database->group, changes);
	g_byte_array_unref (changes);
}

static enum run_result
run_insert (struct session *session, const struct query *query, struct result *result)
{
	enum table table = query->statement->table;
	const char *key = query->arguments[0];

	if (session_read (session, table, key))
		return result_set_error (result, "23505", "duplicate key");
	session_write (session, table, key, query->arguments[1]);
	result->tag = g_strdup ("INSERT 0 1");
	return RUN_DONE;
}

static enum run_result
run_update (struct session *session, const struct query *query, struct result *result)
{
	const char *key = query->arguments[0];
	bool is_present;

	is_present = session_read (session, TABLE_REQUEST, key) != NULL;
	if (is_present)
		session_write (session, TABLE_REQUEST, key, query->arguments[1]);
	result->tag = g_strdup (is_present ? "UPDATE 1" : "UPDATE 0");
	return RUN_DONE;
}

static enum run_result
run_add (struct session *session, const struct query *query, struct result *result)
{
	const char *key = query->arguments[0];
	const char *old;
	char *sum;

	old = session_read (session, TABLE_LEDGER, key);
	sum = g_strdup_printf ("%lld", (old ? atoll (old) : 0) + atoll (query->arguments[1]));
	session_write (session, TABLE_LEDGER, key, sum);
	result_set_value (result, sum);
	g_free (result->tag);
	result->tag = g_strdup ("UPDATE 1");
	g_free (sum);
	return RUN_DONE;
}

static enum run_result
run_find (struct session *session, const struct query *query, struct result *result)
{
	enum table table = query->statement->table;
	const char *value = session_read (session, table, query->arguments[0]);

	if (value)
		return result_set_value (result, value);
	result->tag = g_strdup ("SELECT 0");
	return RUN_DONE;
}

/** Counts the rows of the ledger, with those that the open transaction inserted. */
static enum run_result
run_count (struct session *session, const struct query *query, struct result *result)
{
	GHashTable *ledger = session->database->group.ledger;
	guint count = g_hash_table_size (ledger);
	char text[16];
	GHashTableIter iter;
	void *row;

	g_hash_table_iter_init (&iter, session->pending_writes);
	while (g_hash_table_iter_next (&iter, &row, NULL))
	{
		const char *name = row;

		if (name[0] == TABLE_LEDGER && !g_hash_table_contains (ledger, name + 1))
			count++;
	}
	g_snprintf (text, sizeof text, "%u", count);
	return result_set_value (result, text);
}

static enum run_result
run_begin (struct session *session, const struct query *query, struct result *result)
{
	if (session->transaction == TRANSACTION_NONE)
	{
		session->transaction = TRANSACTION_OPEN;
		session->transaction_term = session->database->group.term;
	}
	result->tag = g_strdup ("BEGIN");
	return RUN_DONE;
}

static enum run_result
run_rollback (struct session *session, const struct query *query, struct result *result)
{
	session_discard_transaction (session);
	result->tag = g_strdup ("ROLLBACK");
	return RUN_DONE;
}

static enum run_result
run_commit (struct session *session, const struct query *query, struct result *result)
{
	GByteArray *changes;
	GHashTableIter iter;
	void *row, *value;

	if (session->transaction == TRANSACTION_ABORTED)
		return run_rollback (session, query, result);
	if (g_hash_table_size (session->pending_writes) > 0 && !session_can_write (session))
	{
		session_discard_transaction (session);
		return result_set_error (result, "25006", "this server is not the primary any more");
	}
	changes = g_byte_array_new ();
	g_hash_table_iter_init (&iter, session->pending_writes);
	while (g_hash_table_iter_next (&iter, &row, &value))
		group_add_change (changes, (enum table) ((char *) row)[0], (char *) row + 1, value);
	if (changes->len > 0)
		group_append (&session->database->group, changes);
	g_byte_array_unref (changes);
	session_discard_transaction (session);
	result->tag = g_strdup ("COMMIT");
	return RUN_DONE;
}

static enum run_result
run_status (struct session *session, const struct query *query, struct result *result)
{
	const struct group *group = &session->database->group;
	struct log_position position = group_position (group);
	char text[3][24];
	const char *cells[] = { group->is_primary ? "primary" : "replica", text[0], text[1], text[2] };

	g_snprintf (text[0], sizeof text[0], "%lu", position.term);
	g_snprintf (text[1], sizeof text[1], "%lu", position.index);
	g_snprintf (text[2], sizeof text[2], "%lu", group->promised_term);
	result_add_row (result, MAX_COLUMNS, cells);
	result->tag = g_strdup ("SELECT 1");
	return RUN_DONE;
}

static enum run_result
run_fence (struct session *session, const struct query *query, struct result *result)
{
	if (!group_fence (&session->database->group, strtoull (query->arguments[0], NULL, 10),
	                  query->arguments[1]))
		return result_set_error (result, "FS001", "an equal or higher term is promised");
	return run_status (session, query, result);
}

static enum run_result
run_promote (struct session *session, const struct query *query, struct result *result)
{
	if (!group_promote (&session->database->group, strtoull (query->arguments[0], NULL, 10),
	                    query->arguments[1]))
		return result_set_error (result, "FS001", "the term is not promised to this claimant");
	return run_status (session, query, result);
}

static enum run_result
run_value (struct session *session, const struct query *query, struct result *result)
{
	(void) session;
	return result_set_value (result, query->arguments[0]);
}

static enum run_result
run_fault (struct session *session, const struct query *query, struct result *result)
{
	struct database *database = session->database;
	const struct
	{
		const char *name;
		int64_t *value;
	} faults[] = {
		{ "connect_ms", &database->connect_ms },
		{ "connections", &database->max_connections },
		{ "cut_commits", &database->cut_commits },
		{ "cut_ids", &database->cut_ids },
		{ "cut_replication", &database->group.cut_replication },
		{ "drop_answers", &database->drop_answers },
		{ "drop_commits", &database->drop_commits },
		{ "lag_ms", &database->group.lag_ms },
		{ "repeat_answers", &database->repeat_answers },
		{ "repeat_ms", &database->repeat_ms },
		{ "run_us", &database->run_us },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
	{
		if (strcmp (faults[i].name, query->arguments[0]) != 0)
			continue;
		*faults[i].value = atoll (query->arguments[1]);
		group_cut_replication (&database->group);
		return result_set_value (result, query->arguments[1]);
	}
	return result_set_error (result, "22023", "unknown fault");
}

static enum run_result
run_connections (struct session *session, const struct query *query, struct result *result)
{
	char peak_connections[24];
	char refused_connections[24];
	const char *cells[] = { peak_connections, refused_connections };

	g_snprintf (peak_connections, sizeof peak_connections, "%ld",
	            session->database->peak_connections);
	g_snprintf (refused_connections, sizeof refused_connections, "%ld",
	            session->database->refused_connections);
	result_add_row (result, G_N_ELEMENTS (cells), cells);
	result->tag = g_strdup ("SELECT 1");
	return RUN_DONE;
}

#define STATUS_COLUMNS "role", "log_term", "log_index", "promised_term"

/* clang-format off */
static const struct statement statements[] = {
	{ "BEGIN", run_begin, STATEMENT_CONTROL, 0, { 0 } },
	{ "COMMIT", run_commit, STATEMENT_READ, 0, { 0 } },
	{ "ROLLBACK", run_rollback, STATEMENT_CONTROL, 0, { 0 } },
	{ "SELECT value FROM ledger WHERE key = $1",
	  run_find, STATEMENT_READ, TABLE_LEDGER, { "value" } },
	{ "SELECT count(*) FROM ledger", run_count, STATEMENT_READ, TABLE_LEDGER, { "count" } },
	{ "SELECT $1 AS answer_to", run_value, STATEMENT_CONTROL, 0, { "answer_to" } },
	{ "SELECT report($1)", run_count, STATEMENT_READ, TABLE_LEDGER, { "report" } },
	{ "INSERT INTO ledger (key, value) VALUES ($1, $2)",
	  run_insert, STATEMENT_WRITE, TABLE_LEDGER, { 0 } },
	{ "UPDATE ledger SET value = value + $2 WHERE key = $1 RETURNING value",
	  run_add, STATEMENT_WRITE, TABLE_LEDGER, { "value" } },
	{ "INSERT INTO flamingospring_request (id, answer) VALUES ($1, $2)",
	  run_insert, STATEMENT_WRITE, TABLE_REQUEST, { 0 } },
	{ "UPDATE flamingospring_request SET answer = $2 WHERE id = $1",
	  run_update, STATEMENT_WRITE, TABLE_REQUEST, { 0 } },
	{ "SELECT answer FROM flamingospring_request WHERE id = $1",
	  run_find, STATEMENT_READ, TABLE_REQUEST, { "answer" } },
	{ "SELECT * FROM group_status()", run_status, STATEMENT_CONTROL, 0, { STATUS_COLUMNS } },
	{ "SELECT * FROM group_fence($1, $2)", run_fence, STATEMENT_CONTROL, 0, { STATUS_COLUMNS } },
	{ "SELECT * FROM group_promote($1, $2)", run_promote, STATEMENT_CONTROL, 0, { STATUS_COLUMNS } },
	{ "SELECT * FROM standin_connections()",
	  run_connections, STATEMENT_CONTROL, 0, { "highest", "refused" } },
	{ "SELECT standin_fault($1, $2)", run_fault, STATEMENT_CONTROL, 0, { "standin_fault" } },
};
/* clang-format on */

enum run_result
query_run (struct session *session, struct result *result)
{
	const struct query *query = &session->query;
	const struct statement *statement = query->statement;

	if (statement->kind != STATEMENT_WRITE)
		return statement->run (session, query, result);
	if (!session_can_write (session))
		return result_set_error (result, "25006", "this server is not the primary");
	if (session_is_blocked (session, statement->table, query->arguments[0]))
		return RUN_BLOCKED;
	return statement->run (session, query, result);
}

void
query_clear (struct query *query)
{
	for (size_t i = 0; i < MAX_ARGUMENTS; i++)
		g_free (query->arguments[i]);
	memset (query, 0, sizeof *query);
}

/** Parses $N, a number or a 'quoted string' at @p text. @return the rest of the text; NULL: invalid. */
static const char *
argument_parse (const char *text, char **literal, int *parameter)
{
	const char *end = text;

	if (*text == '$')
	{
		*parameter = (int) strtol (text + 1, (char **) &end, 10);
		return end > text + 1 ? end : NULL;
	}
	if (*text == '\'')
	{
		end = strchr (text + 1, '\'');
		if (!end)
			return NULL;
		*literal = g_strndup (text + 1, (gsize) (end - text - 1));
		return end + 1;
	}
	while (*end == '-' || g_ascii_isdigit (*end))
		end++;
	*literal = g_strndup (text, (gsize) (end - text));
	return end > text ? end : NULL;
}

static bool
pattern_match (const char *pattern, const char *text, struct query *query)
{
	while (*pattern)
	{
		if (*pattern == '$')
		{
			size_t index = (size_t) (pattern[1] - '1');

			text = argument_parse (text, &query->arguments[index], &query->parameters[index]);
			if (!text)
				return false;
			pattern += 2;
			continue;
		}
		if (g_ascii_toupper (*pattern++) != g_ascii_toupper (*text++))
			return false;
	}
	while (g_ascii_isspace (*text) || *text == ';')
		text++;
	return *text == 0;
}

bool
query_parse (struct query *query, const char *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS (statements); i++)
	{
		if (pattern_match (statements[i].pattern, text, query))
		{
			query->statement = &statements[i];
			return true;
		}
		query_clear (query);
	}
	return false;
}
