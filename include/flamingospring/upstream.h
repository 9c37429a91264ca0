/**
 * @file
 * Connection to an upstream database server. All assumptions about the database group live in its
 * implementation, flamingospring/upstream_pg.c.
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
	UPSTREAM_STATEMENT_ERROR, /**< The statement had no effect; a transaction is aborted. */
	UPSTREAM_NOT_PRIMARY,     /**< Refused, did not run: not the primary, or fenced. */
	UPSTREAM_DUPLICATE,       /**< Unique violation. */
	UPSTREAM_TERM_REJECTED,   /**< Fence or promotion: another term or claimant was promised. */
	UPSTREAM_LOST,            /**< The connection broke; a sent statement may have run. */
};

/** A statement with text parameters (NULL for NULL). */
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
	const char *const *cells;    /**< Row by row; NULL for NULL. */
	struct server_status status; /**< Term and position that came with the answer. */
	bool has_status;
	size_t statement; /**< Of a batch: index of the statement that this answers. */
};

/** Callbacks to the user of a connection, in its loop's thread. */
struct upstream_user_ops
{
	/** @p error 0: ready for statements. Otherwise the connection failed and is closed;
	 * -EUSERS: the server's connection limit is reached. */
	void (*handle_connected) (struct upstream *upstream, int error);
	void (*handle_answer) (struct upstream *upstream, const struct upstream_answer *answer);
	/** Broke while no statement was outstanding. */
	void (*handle_closed) (struct upstream *upstream);
};

struct upstream_ops
{
	int (*connect) (struct upstream *upstream, uint32_t ip, uint16_t port, const char *database);
	/** Sends a statement with text parameters (NULL for NULL). One at a time.
	 * @return 0, -EBUSY, -ENOTCONN: it was not sent. */
	int (*execute) (struct upstream *upstream, const char *statement, const char *const *params,
	                size_t param_count);
	/** Sends statements of one transaction in one round trip. The server skips those behind one that
	 * fails. There is one answer: of the statement that failed, or of the last one.
	 * @return as execute(). */
	int (*execute_batch) (struct upstream *upstream, const struct upstream_statement *statements,
	                      size_t count);
	int (*query_status) (struct upstream *upstream);
	int (*fence) (struct upstream *upstream, uint64_t term, uint32_t claimant);
	int (*promote) (struct upstream *upstream, uint64_t term, uint32_t claimant);
	/** Closes at once, without callbacks. The server aborts what it has not committed. */
	void (*close) (struct upstream *upstream);
};

struct upstream
{
	const struct upstream_ops *ops;
	const struct upstream_user_ops *user_ops;
	void *data; /**< Of the user. */
	struct loop *loop;
	struct loop_source source;
	void *connection; /**< Of the implementation. */
	uint32_t vm_id;   /**< Set by the user; names this VM to the server. */
	bool is_connected;
	bool is_busy;
	bool is_control; /**< The outstanding statement is status, fence or promote. */
};

/** Prepares a PostgreSQL-protocol connection; nothing is opened before ops->connect(). */
void upstream_pg_init (struct upstream *upstream, struct loop *loop,
                       const struct upstream_user_ops *user_ops, void *data);
void upstream_pg_finish (struct upstream *upstream);
