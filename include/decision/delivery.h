/**
 * @file
 * Decides what a caller may be told about a statement, from what is known of its delivery. Does no I/O.
 *
 * Some answers promise that nothing of an operation is kept, and the caller then does it again. Such a promise for a
 * statement that took effect makes the operation happen twice.
 */
#pragma once

#include <stdbool.h>

/** What is known of a statement at the server that it is for. */
enum delivery
{
	DELIVERY_NOT_SENT,
	DELIVERY_UNANSWERED, /**< It was sent, and no complete answer has arrived. */
	DELIVERY_REFUSED,    /**< The server has answered that it did not run. */
	DELIVERY_RAN,        /**< The server has answered that it ran, with success or an error. */
};

/** When a statement that runs takes effect. */
enum statement_effect
{
	EFFECT_NONE,    /**< It changes nothing. */
	EFFECT_AT_ONCE, /**< A write outside a transaction. */
	/** With a later commit only, which is never sent once the statement has failed; or it is the commit of a transaction
	 * that has written nothing. */
	EFFECT_AT_COMMIT,
	EFFECT_COMMITS, /**< The commit of a transaction that has written. */
};

/** What follows for a statement that has not succeeded. */
enum delivery_outcome
{
	/** Nothing is kept: it may be sent again, and a caller may be promised so. */
	OUTCOME_NOT_KEPT,
	/** Nothing is kept after its transaction has been rolled back or its connection closed, which makes a promise true. */
	OUTCOME_ROLLED_BACK,
	OUTCOME_FAILED, /**< It ran and failed: the server's error is passed on, without a promise. */
	OUTCOME_IN_DOUBT, /**< It may have taken effect, or may still do so: no promise, and it is never sent again. */
};

enum delivery_outcome delivery_judge (enum delivery delivery, enum statement_effect effect);

/** Whether a caller may be told that nothing is kept. */
bool delivery_allows_promise (enum delivery delivery, enum statement_effect effect);
