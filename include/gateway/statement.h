/**
 * @file
 * Statements and answers of a database session, independent of their encoding on the wire.
 */
#pragma once

#include "decision/answer_match.h"
#include "decision/delivery.h"
#include "decision/position.h"

#include <stdbool.h>
#include <stddef.h>

/** A part of a message, which points into the receive buffer. It holds any byte, also line feeds and NUL. */
struct text
{
	const char *start;
	size_t length;
};

enum statement_kind
{
	STATEMENT_INVALID,
	STATEMENT_BEGIN,
	STATEMENT_BEGIN_READ, /**< Read-only transaction; may run on a replica. */
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_SET,
	STATEMENT_PREPARE,
	STATEMENT_EXECUTE,
	STATEMENT_DEALLOCATE,
	STATEMENT_RESET,   /**< Only between VMs: drops values and prepared names. */
	STATEMENT_SAMPLE,  /**< Only between VMs: the owner's last sample of the primary's position. */
	STATEMENT_CONTROL, /**< Only between VMs: a status query or a command to the server. */
};

struct statement
{
	enum statement_kind kind;
	bool is_write; /**< PREPARE: the prepared statement writes. */
	/** SET: name of the value; PREPARE, EXECUTE, DEALLOCATE: name of the statement. */
	struct text name;
	struct text arguments; /**< SET: value; PREPARE: shape; EXECUTE: arguments as sent. */
};

enum answer_code
{
	ANSWER_DONE,
	ANSWER_OVERLOADED,   /**< Did not run: no capacity. */
	ANSWER_ROLLED_BACK,  /**< The transaction has no effect. */
	ANSWER_BEHIND,       /**< Did not run: the log lacks the required position. */
	ANSWER_NOT_PRIMARY,  /**< Did not run. */
	ANSWER_WRONG_SERVER, /**< Did not run: another service or server listens at the address. */
	ANSWER_TOO_MANY_CONNECTIONS, /**< Did not run. */
	ANSWER_UNKNOWN_STATEMENT,    /**< Did not run: no prepared statement has this name. */
	ANSWER_UNKNOWN_DATABASE,     /**< Did not run: no route for this database. */
	ANSWER_UNAUTHORIZED,         /**< Did not run: the key names no tenant. */
	ANSWER_MALFORMED,            /**< Did not run. */
	ANSWER_FAILED,               /**< Ran and failed. */
	ANSWER_TIMED_OUT,            /**< May have run. */
	ANSWER_IN_DOUBT,             /**< May have run. */
	ANSWER_OTHER,                /**< Unknown code; may have run. */
};

/** Lets the owner of a server queue a forwarded statement by its priority and time of arrival. */
struct forward_hint
{
	uint32_t priority;
	uint32_t target_latency_ms;
	uint32_t waited_ms; /**< Time spent waiting before it was forwarded. */
	uint32_t limit_ms;  /**< Time that is left of the statement's time limit; 0: not known. */
	bool may_move;      /**< Another server can run it as well. */
};

/** What an owner reports of a server's load with its answers. */
struct load_report
{
	uint32_t wait_ms; /**< Predicted wait for a slot of a statement that can be in time. */
	uint32_t queued;  /**< Statements that wait for a slot. */
};

enum caller_message_kind
{
	CALLER_START,
	CALLER_QUERY,
	CALLER_BYE,
	CALLER_MALFORMED,
};

/** A message from a caller; each member's comment names the kind that carries it. */
struct caller_message
{
	enum caller_message_kind kind;
	struct text database;       /**< CALLER_START. */
	struct text caller;         /**< CALLER_START: key or name of the client that connects. */
	struct text id;             /**< CALLER_QUERY. */
	struct text text;           /**< CALLER_QUERY: the statement, without the members below. */
	struct text tenant;         /**< CALLER_QUERY, only between VMs; empty: none. */
	bool has_hint;              /**< CALLER_QUERY, only between VMs. */
	struct forward_hint hint;   /**< CALLER_QUERY. */
	bool has_after;             /**< CALLER_QUERY, only between VMs: @c after is given. */
	struct log_position after;  /**< CALLER_QUERY: position that the server must have applied. */
	struct statement statement; /**< CALLER_QUERY. */
};

enum server_message_kind
{
	SERVER_READY, /**< Ends the answer to a statement. */
	SERVER_ROW,
	SERVER_COMPLETE,
	SERVER_ERROR,
	SERVER_MALFORMED,
};

/** A message from a server; each member's comment names the kind that carries it. */
struct server_message
{
	enum server_message_kind kind;
	enum transaction_state state; /**< SERVER_READY. */
	bool has_position;            /**< SERVER_READY. */
	struct log_position position; /**< SERVER_READY: position of the server's log. */
	bool has_load;                /**< SERVER_READY, only between VMs: @c load is given. */
	struct load_report load;      /**< SERVER_READY. */
	enum answer_code code;        /**< SERVER_ERROR. */
	/** SERVER_ROW: the row; SERVER_COMPLETE: the signature, "-" if there is none; SERVER_ERROR: the message. */
	struct text text;
};

/** A server's answer to a status query. */
struct database_status
{
	bool is_primary;
	uint64_t term;
	struct log_position received;
	/** Position that reads see; a new primary may still be behind what it received. */
	struct log_position applied;
	uint64_t held_term;
	uint32_t lag_ms;
	uint32_t
		running; /**< Statements that take a slot, for any VM, without the request for the status. */
	uint32_t connections;
};

const char *answer_code_name (enum answer_code code);

/** Whether the answer guarantees that the request and its transaction have no effect. */
bool answer_code_did_not_run (enum answer_code code);

/**
 * What a server's or an owner's answer says about the delivery of its statement.
 * @param is_complete the answer contains its COMPLETE line.
 */
enum delivery answer_code_delivery (enum answer_code code, bool is_complete);

/** The code with which an owner tells the forwarding VM what it knows of a statement that has no answer of the server. */
enum answer_code answer_code_of_delivery (enum delivery delivery);

static inline bool
text_equals (struct text text, const char *other, size_t length)
{
	/* An absent text has no address, which memcmp() must not be given. */
	return text.length == length &&
	       (length == 0 || __builtin_memcmp (text.start, other, length) == 0);
}
