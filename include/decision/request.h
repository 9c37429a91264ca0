/**
 * @file
 * Ranks of work, and outcomes and reasons of requests.
 */
#pragma once

/** Priority classes of requests, most urgent first. */
enum rank
{
	RANK_URGENT,
	RANK_NORMAL,
	RANK_LOW,
	RANK_COUNT,
};

/** Result of a request, as reported to the caller. */
enum outcome
{
	OUTCOME_DONE,    /**< Executed; a write is on a majority of its group. */
	OUTCOME_REFUSED, /**< Not executed. */
	OUTCOME_FAILED,  /**< Executed and failed, or can never be executed as requested. */
	OUTCOME_UNKNOWN, /**< May have been executed; repeat it with the same request id. */
};

/** Reason for an outcome. The values are sent between VMs, so new ones are only appended. */
enum reason
{
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_UNKNOWN_SERVICE,
	REASON_BAD_TOKEN,
	REASON_OVERLOAD, /**< The expected wait exceeds the time left until the deadline. */
	REASON_QUEUE_FULL,
	REASON_DEADLINE,    /**< The deadline passed. */
	REASON_BEHIND,      /**< The replica does not reach the required position in time. */
	REASON_TOO_OLD,     /**< The replica's data is older than the requested bound. */
	REASON_NOT_PRIMARY, /**< The server refused the write since it is fenced or not the primary. */
	REASON_NO_PRIMARY,  /**< No primary is known at present. */
	REASON_NOT_OWNER,   /**< This VM does not own the server. */
	REASON_CONFIG_BEHIND, /**< The owner has not yet adopted the configuration. */
	REASON_LEAVING,       /**< The server or VM is leaving. */
	REASON_UPSTREAM_DOWN,
	REASON_CONNECTION_LOST,
	REASON_NOT_ACKNOWLEDGED, /**< No majority acknowledged the write in time. */
	REASON_STATEMENT,        /**< The database reported an error for the statement. */
	REASON_NO_TRANSACTION,   /**< The transaction handle is no longer valid. */
	REASON_ROLLED_BACK,      /**< The transaction was rolled back and has no effect. */
	REASON_COUNT,
};

/** Lower-case name of an outcome, used in responses and logs; it does not change. */
const char *outcome_name (enum outcome outcome);

/** Lower-case name of a reason, used in responses and logs; it does not change. */
const char *reason_name (enum reason reason);

/** Lower-case name of a rank, as used in service documents. */
const char *rank_name (enum rank rank);
