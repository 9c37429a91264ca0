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

/* Transaction status bytes of the ReadyForQuery message. */
enum transaction
{
	TRANSACTION_NONE = 'I',
	TRANSACTION_OPEN = 'T',
	TRANSACTION_ABORTED = 'E',
};

struct session;
struct statement;

/** A parsed statement with its arguments, which are literals or parameters set by Bind. */
struct query
{
	const struct statement *statement;
	char *arguments[MAX_ARGUMENTS];
	int parameters[MAX_ARGUMENTS]; /**< Number N of parameter $N; 0 for a literal. */
};

struct result
{
	GByteArray *rows;     /**< DataRow messages. */
	const char *sqlstate; /**< NULL when there is no error. */
	char *message;
	char *tag;
};

enum run_result
{
	RUN_DONE,
	RUN_BLOCKED, /**< Another transaction holds the row lock; retried when a transaction ends. */
};

enum statement_kind
{
	STATEMENT_CONTROL, /**< Runs at once, without a slot. */
	STATEMENT_READ,
	STATEMENT_WRITE, /**< Locks the row whose key is the first argument. */
};

struct statement
{
	const char *pattern; /**< Statement text; $1 and $2 match parameters and literals. */
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
	GHashTable *locks; /**< Row to the session whose open transaction wrote it. */
	GPtrArray *sessions;
	GQueue queued_sessions; /**< Sessions with a statement that waits for a slot. */
	int64_t running;
	int64_t connection_count;
	int64_t slots;
	int64_t run_us;
	int64_t connect_ms;
	int64_t max_connections;
	int64_t peak_connections;    /**< Highest number of simultaneous connections. */
	int64_t refused_connections; /**< Connections refused above max_connections. */
	int64_t drop_answers;        /**< Number of answers to drop after the statement took effect. */
	int64_t drop_commits;        /**< Number of answers to COMMIT to drop. */
	int64_t cut_ids;        /**< Number of request id inserts to break the connection before. */
	int64_t cut_commits;    /**< Number of COMMITs to break the connection before. */
	int64_t repeat_answers; /**< Number of answers to send twice. */
	int64_t repeat_ms;      /**< Delay of the repeated answers. */
};

enum session_state
{
	SESSION_STARTUP,
	SESSION_CONNECTING, /**< Waits until connect_ms have passed. */
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
	GHashTable *pending_writes;     /**< Row (table letter and key) to its new value. */
	GHashTable *prepared;           /**< Statement name to struct query. */
	struct query query;             /**< The unnamed portal or the simple query. */
	struct loop_timer repeat_timer; /**< Sends the repeated answers. */
	GByteArray *repeated;
	bool is_extended;
	bool skips_until_sync;
	bool is_client_closed; /**< The session is freed when its statement ends. */
};

/** Matches @p text against the supported statements. @return false when none matches. */
bool query_parse (struct query *query, const char *text);
void query_clear (struct query *query);

/** Runs the session's current query. */
enum run_result query_run (struct session *session, struct result *result);

/** Discards the writes of an open transaction and releases its row locks. */
void session_discard_transaction (struct session *session);

/** Appends one DataRow message. Cells must not be NULL. */
void result_add_row (struct result *result, size_t count, const char *const *cells);

/** Retries the statements that wait for row locks. */
void database_retry_blocked (struct database *database);
