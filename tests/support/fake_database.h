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
	char *text;
	char *value; /**< Session value "v0", or "-". */
	char *shape; /**< Text of the prepared statement, or "-". */
	int connection;
	char *caller; /**< Name that the connection's START gave. */
	bool is_in_transaction;
};

struct fake_database
{
	const char *id;
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
	GPtrArray
		*committed; /**< Ids of the writes that took effect, in order; one id may be there twice. */
	int is_stopped;
	int listener;
};

/** Listens on 127.0.0.1. */
void fake_database_start (struct fake_database *database, const char *id, bool is_primary);
void fake_database_stop (struct fake_database *database);

/** How often the write with @p id took effect. */
int fake_database_count_commits (struct fake_database *database, const char *id);

/** Waits up to 2 s for a statement with @p id. @return the statement, which is freed by
 * fake_database_stop(), or NULL. */
const struct fake_statement *fake_database_find (struct fake_database *database, const char *id);
