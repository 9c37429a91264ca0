/**
 * @file
 * Connection to an upstream database server. All assumptions about the database group are confined
 * to its implementation, flamingospring/upstream_pg.c.
 */
#pragma once

#include "common/loop.h"
#include "decision/acknowledgement.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct upstream;

enum upstream_result
{
	UPSTREAM_OK,
	UPSTREAM_STATEMENT_ERROR, /**< The statement had no effect; its transaction is aborted. */
	UPSTREAM_NOT_PRIMARY,     /**< Refused without effect: not the primary, or fenced. */
	UPSTREAM_DUPLICATE,       /**< Unique violation. */
	UPSTREAM_TERM_REJECTED,   /**< Fence or promotion: promised to another term or claimant. */
	UPSTREAM_LOST,            /**< The connection broke; a sent statement may have run. */
};

/** A statement with text parameters; NULL stands for an SQL NULL. */
struct upstream_statement
{
	const char *text;
	const char *const *params;
	size_t param_count;
};

/** Answer to one statement. Pointers are valid during the callback only. */
struct upstream_answer
{
	enum upstream_result result;
	char sqlstate[6];
	const char *message;
	size_t column_count;
	size_t row_count;
	const char *const *columns;
	const char *const *cells;    /**< Row by row; NULL for an SQL NULL. */
	struct server_status status; /**< Term and position that came with the answer. */
	bool has_status;
	size_t statement; /**< Index of the answered statement in its batch. */
};

/** Callbacks to the user of a connection, called in the thread of its loop. */
struct upstream_user_ops
{
	/** With @p error 0 the connection is ready for statements. Otherwise it failed and is closed;
	 * -EUSERS: the server's connection limit is reached. */
	void (*handle_connected) (struct upstream *upstream, int error);
	void (*handle_answer) (struct upstream *upstream, const struct upstream_answer *answer);
	/** The connection broke while no statement was outstanding. */
	void (*handle_closed) (struct upstream *upstream);
};

struct upstream_ops
{
	int (*connect) (struct upstream *upstream, uint32_t ip, uint16_t port, const char *database);
	/** Sends a statement with text parameters; NULL stands for an SQL NULL. Only one statement may
	 * be outstanding. @return 0, or -EBUSY or -ENOTCONN when it was not sent. */
	int (*execute) (struct upstream *upstream, const char *statement, const char *const *params,
	                size_t param_count);
	/** Sends statements of one transaction in one round trip. When one fails, the server skips
	 * those after it. There is one answer: to the statement that failed, or to the last one.
	 * @return as execute(). */
	int (*execute_batch) (struct upstream *upstream, const struct upstream_statement *statements,
	                      size_t count);
	int (*query_status) (struct upstream *upstream);
	int (*fence) (struct upstream *upstream, uint64_t term, uint32_t claimant);
	int (*promote) (struct upstream *upstream, uint64_t term, uint32_t claimant);
	/** Closes the connection at once, without callbacks. The server aborts an open transaction. */
	void (*close) (struct upstream *upstream);
};

struct upstream
{
	const struct upstream_ops *ops;
	const struct upstream_user_ops *user_ops;
	void *data; /**< Data of the user. */
	struct loop *loop;
	struct loop_source source;
	void *connection; /**< Data of the implementation. */
	uint32_t vm_id;   /**< Set by the user; identifies this VM to the server. */
	bool is_connected;
	bool is_busy;
	bool expects_status; /**< The outstanding statement is a status query, fence or promotion. */
};

/** Initialises a PostgreSQL-protocol connection, which ops->connect() opens. */
void upstream_pg_init (struct upstream *upstream, struct loop *loop,
                       const struct upstream_user_ops *user_ops, void *data);
void upstream_pg_finish (struct upstream *upstream);
