/**
 * @file
 * A fake database server that speaks the platform's wire protocol, in a thread of the test.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A read, write or commit that the server executed. */
struct fake_statement
{
	char *id;
	GBytes *text; /**< As it was sent, without a required position; any bytes. */
	char *value;  /**< Session value "v0", or "-". */
	char *shape;  /**< Text of the prepared statement, or "-". */
	int connection;
	char *caller; /**< Name that the connection's START gave. */
	bool is_in_transaction;
};

/** What the server does with a statement or command besides its work. */
struct fake_reaction
{
	bool is_refused;  /**< It is answered BUSY and does not run. */
	int repeat_ms;    /**< The whole answer is sent again so much later; negative: it is not. */
	int cut_bytes;    /**< So many bytes of the answer are sent before the whole one. */
	int repeat_bytes; /**< Only so many bytes of the answer are sent again; 0: the whole one. */
	bool
		is_kept; /**< The answer is kept for a later one of the connection that is preceded by it. */
	bool replays; /**< The kept answer is sent again in front of this one. */
};

struct fake_database
{
	const char *id;     /**< Name of the server in a test's directory. */
	const char *own_id; /**< Id that a greeting has to give; as @c id at the start. */
	uint16_t port;
	GThread *thread;
	GMutex mutex; /**< Guards the fields below. */
	bool is_primary;
	uint64_t term;
	uint64_t index;
	int delay_ms; /**< Duration of a write or commit. */
	int read_delay_ms;
	int row_bytes; /**< Length of the row that a read returns; 0: that of "row". */
	int rollbacks;
	GPtrArray *greetings; /**< The START lines that it got. */
	int refused;          /**< Statements that were answered LAGGING or READONLY. */
	GPtrArray *statements;
	GPtrArray *commands;   /**< GBytes; texts of the statements with the id "-". */
	size_t max_line_bytes; /**< Of the longest line, without its end. */
	GPtrArray
		*committed; /**< Ids of the writes that took effect, in order; one id may be there twice. */
	int is_stopped;
	int listener;
	/** Called for each statement and command; NULL: each is answered once. Set before connections are made. */
	void (*react) (void *data, const char *id, const char *text, struct fake_reaction *reaction);
	void *react_data;
	GQueue repeats; /**< Answers that are sent again later. */
	int repeated;   /**< Answers that were sent again. */
	/** Row that a read returns, any bytes; NULL: "row", or row_bytes of it. */
	GBytes *row;
};

/** Listens on 127.0.0.1. */
void fake_database_start (struct fake_database *database, const char *id, bool is_primary);
void fake_database_stop (struct fake_database *database);

/** How often the write with @p id took effect. */
int fake_database_count_commits (struct fake_database *database, const char *id);

/** Waits up to 2 s for a statement with @p id. @return the statement, which is freed by
 * fake_database_stop(), or NULL. */
const struct fake_statement *fake_database_find (struct fake_database *database, const char *id);
