/**
 * @file
 * Sessions and statements of the emulated database.
 */
#pragma once

#include "emulator/group.h"

enum
{
	MAX_ARGUMENTS = 2,
	MAX_COLUMNS = 4,
};

/* Transaction states of the protocol's ReadyForQuery. */
enum transaction
{
	TRANSACTION_NONE = 'I',
	TRANSACTION_OPEN = 'T',
	TRANSACTION_ABORTED = 'E',
};

struct session;
struct statement;

/** One statement with its arguments: from literals, or from parameters at Bind. */
struct query
{
	const struct statement *statement;
	char *arguments[MAX_ARGUMENTS];
	int parameters[MAX_ARGUMENTS]; /**< 1 for $1; 0: a literal. */
};

struct result
{
	GByteArray *rows;     /**< DataRow messages. */
	const char *sqlstate; /**< NULL: no error. */
	char *message;
	char *tag;
};

enum run_result
{
	RUN_DONE,
	RUN_BLOCKED, /**< Another transaction holds the row lock: run again when one ends. */
};

enum statement_kind
{
	STATEMENT_CONTROL, /**< Takes no slot. */
	STATEMENT_READ,
	STATEMENT_WRITE, /**< Its row is named by its first argument. */
};

struct statement
{
	const char *pattern; /**< $1 and $2 also match literals. */
	enum run_result (*run) (struct session *session, const struct query *query,
	                        struct result *result);
	enum statement_kind kind;
	enum table table;
	const char *columns[MAX_COLUMNS];
};

struct database
{
	struct loop loop;
	struct listener listener;
	struct group group;
	GHashTable *locks; /**< Row to session of the transaction that wrote it. */
	GPtrArray *sessions;
	GQueue queued_sessions; /**< Sessions whose statement waits for a slot. */
	int64_t running;
	int64_t connection_count;
	int64_t slots;
	int64_t run_us;
	int64_t connect_ms;
	int64_t max_connections;
	int64_t peak_connections;    /**< Most connections at a time. */
	int64_t refused_connections; /**< Connections above the limit. */
	int64_t drop_answers;        /**< Answers to lose, after the statement took effect. */
	int64_t drop_commits;        /**< As drop_answers, for COMMIT only. */
	int64_t cut_ids;     /**< Inserts of a request id whose connection breaks before they run. */
	int64_t cut_commits; /**< As cut_ids, for COMMIT. */
};

enum session_state
{
	SESSION_STARTUP,
	SESSION_CONNECTING, /**< The connection cost has not passed. */
	SESSION_IDLE,
	SESSION_QUEUED,
	SESSION_RUNNING,
	SESSION_BLOCKED,
};

struct session
{
	struct stream stream;
	struct database *database;
	enum session_state state;
	struct loop_timer timer;
	enum transaction transaction;
	uint64_t transaction_term;
	GHashTable *pending_writes; /**< Rows ("L" or "R" and key) to values of the open transaction. */
	GHashTable *prepared;       /**< Name to struct call. */
	struct query query;         /**< The present portal or simple query. */
	bool is_extended;
	bool skips_until_sync;
	bool is_client_closed; /**< The client closed; freed when the statement ends. */
};

/** Matches @p text to a statement of the table. @return false for an unknown one. */
bool query_parse (struct query *query, const char *text);
void query_clear (struct query *query);

/** Runs the session's present call. */
enum run_result query_run (struct session *session, struct result *result);

/** Ends an open transaction without effect, and releases its row locks. */
void session_discard_transaction (struct session *session);

/** Appends one DataRow; NULL cells are not supported. */
void result_add_row (struct result *result, size_t count, const char *const *cells);

/** Runs the sessions again that waited for row locks. */
void database_retry_blocked (struct database *database);
