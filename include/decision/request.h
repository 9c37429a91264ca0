/**
 * @file
 * Ranks, outcomes and reasons that all modules share.
 */
#pragma once

/** Ranks of work, most urgent first. */
enum rank
{
	RANK_URGENT,
	RANK_NORMAL,
	RANK_LOW,
	RANK_COUNT,
};

/** What a caller may conclude about its request. */
enum outcome
{
	OUTCOME_DONE,    /**< Ran; a write is on a majority of its group. */
	OUTCOME_REFUSED, /**< Did not run. */
	OUTCOME_FAILED,  /**< Ran and failed, or can never run as asked. */
	OUTCOME_UNKNOWN, /**< May have run; ask again with the request id. */
};

/** Why a request ended as it did. Values travel between VMs: append only. */
enum reason
{
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_UNKNOWN_SERVICE,
	REASON_BAD_TOKEN,
	REASON_OVERLOAD, /**< The expected wait exceeds the time left. */
	REASON_QUEUE_FULL,
	REASON_DEADLINE,      /**< The time ran out. */
	REASON_BEHIND,        /**< The replica does not hold the required position in time. */
	REASON_TOO_OLD,       /**< The replica's age exceeds the stated bound. */
	REASON_NOT_PRIMARY,   /**< The server refused the write: it is not the primary, or is fenced. */
	REASON_NO_PRIMARY,    /**< No primary is known at present. */
	REASON_NOT_OWNER,     /**< This VM does not own the server. */
	REASON_CONFIG_BEHIND, /**< The owner has not yet adopted the configuration. */
	REASON_LEAVING,       /**< The server or VM is leaving. */
	REASON_UPSTREAM_DOWN,
	REASON_CONNECTION_LOST,
	REASON_NOT_ACKNOWLEDGED, /**< No majority confirmed the write in time. */
	REASON_STATEMENT,        /**< The database reported an error for the statement. */
	REASON_NO_TRANSACTION,   /**< The transaction handle is not valid any more. */
	REASON_ROLLED_BACK,      /**< The transaction had no effect and cannot have one any more. */
	REASON_COUNT,
};

/** Stable lower-case name of an outcome, for answers and logs. */
const char *outcome_name (enum outcome outcome);

/** Stable lower-case name of a reason, for answers and logs. */
const char *reason_name (enum reason reason);

/** Stable lower-case name of a rank, as in service documents. */
const char *rank_name (enum rank rank);
