/**
 * @file
 * Decides whether an answer that a server has sent is the answer to the statement that waits for one. Does no I/O.
 *
 * Answers carry no number of their statement. A server may send an answer again, at any later time, may lose one, or cut one
 * off and send the whole one after it. What tells two answers apart is the signature of a statement that has run, which no other
 * answer has. Nothing tells a refusal, or the completion of a statement of the gateway itself, from an earlier one that was the
 * same: where believing an earlier one does harm, such an answer is not believed, and its connection ends.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Transaction state at the end of each answer. */
enum transaction_state
{
	TRANSACTION_NONE,
	TRANSACTION_OPEN,
	TRANSACTION_FAILED, /**< Only COMMIT and ROLLBACK are accepted. */
};

/** What a connection waits for. */
enum answer_wanted
{
	ANSWER_WANTED_NOTHING,
	ANSWER_WANTED_GREETING,
	ANSWER_WANTED_COMMAND, /**< Of a session value, a prepared statement, a reset or the end of a transaction. */
	ANSWER_WANTED_BEGIN,      /**< Of the begin of a transaction that may write. */
	ANSWER_WANTED_BEGIN_READ, /**< Of the begin of a read-only transaction. */
	ANSWER_WANTED_REPORT,     /**< Of a status query, a demotion, or a sample's request. */
	ANSWER_WANTED_STATEMENT,  /**< Of a caller's read, write or commit. */
};

struct answer_expectation
{
	enum answer_wanted wanted;
	/** State after success. Not looked at for a report. */
	enum transaction_state state;
	uint64_t id;         /**< Hash of the statement's id. */
	bool has_repeats;    /**< The server is known to send answers again. */
	bool in_transaction; /**< The statement belongs to a transaction, or commits one. */
};

/** A complete answer, up to its READY line. */
struct answer_summary
{
	uint32_t rows;
	bool has_completion;
	bool has_error;
	bool is_ordered; /**< Its lines are in an order that the protocol allows. */
	bool is_signed;  /**< Its completion has a signature. */
	bool
		is_restarted; /**< It begins with a part of itself, as an answer that was cut off and then sent whole. */
	enum transaction_state state;
	uint64_t signature; /**< Hash of the signature. */
	uint64_t lines;     /**< Hash of all lines without READY. */
	uint64_t whole;     /**< Hash of all lines. */
};

enum answer_verdict
{
	ANSWER_CURRENT, /**< The answer to what waits. */
	/** The answer to what waits, or an earlier one that was the same: it must not be dated. */
	ANSWER_UNDATED,
	ANSWER_REPEATED, /**< An earlier one; what waits has no answer yet. */
	/** Not known to be the answer to anything: the connection must end, and what waits has no answer. */
	ANSWER_OUT_OF_STEP,
};

enum
{
	ANSWER_MATCH_SIGNED = 256, /**< Later ones displace the oldest. */
	ANSWER_MATCH_UNSIGNED =
		32, /**< Completions without signature; later ones displace the oldest. */
	ANSWER_MATCH_ERRORS =
		8, /**< Different errors; once there are more, each one counts as known. */
};

/** What a connection has answered. */
struct answer_match
{
	struct
	{
		uint64_t signature;
		uint64_t lines;
		uint64_t id;
	} answered[ANSWER_MATCH_SIGNED];
	struct
	{
		uint64_t lines;
		uint64_t whole;
	} completed[ANSWER_MATCH_UNSIGNED];
	uint64_t errors[ANSWER_MATCH_ERRORS];
	uint64_t greeting;        /**< Hash of the READY line of the greeting; 0: there was none. */
	uint32_t answered_count;  /**< Of all times. */
	uint32_t completed_count; /**< Of all times. */
	uint32_t error_count;
	/** Answers without signature were accepted that may have been earlier ones, and none with a signature since: their own
	 * answers may follow. */
	bool is_unsure;
	bool is_begin_unsure;  /**< One of them answered a begin. */
	bool is_report_unsure; /**< One of them answered a question of the gateway. */
	/** An error was accepted meanwhile, which may answer an earlier command: the statement's own answer may follow. */
	bool has_ended;
};

void answer_match_init (struct answer_match *match);

/** Judges an answer of a server, and remembers it. */
enum answer_verdict answer_match_judge (struct answer_match *match,
                                        const struct answer_expectation *expected,
                                        const struct answer_summary *answer);

/** Judges an answer of a VM of the fleet, which sends each answer once. */
enum answer_verdict answer_match_judge_peer (const struct answer_expectation *expected,
                                             const struct answer_summary *answer);

/** Whether a further statement may be sent on the connection. */
bool answer_match_may_go_on (const struct answer_match *match);

/**
 * Whether a refusal of a statement that changes something would be believed. After an error on the connection, the next
 * one may be the same one again.
 */
bool answer_match_believes_refusals (const struct answer_match *match);
