/**
 * @file
 * Change of the primary of one service, as carried out by one VM.
 *
 * A VM claims a change with a compare-and-swap of the service's record. The record's number identifies the claim and is
 * the fencing token. It is kept in the record, since the store's revisions are given out again after a restore. It waits until every other VM has confirmed that
 * nothing runs at the old primary any more, or until the authority of those that do not answer has
 * expired. Then it promotes the replica with the longest log, and records the new primary. The log of a server that
 * missed an earlier change may be longer and hold commits that were given up then; the record tells where each term
 * began. Does no I/O.
 */
#pragma once

#include "decision/term_history.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	SUCCESSION_NAME_BYTES = 96,
	/**
	 * Time for which a VM may use a primary after it last knew that no change of primary had been
	 * claimed. A claimant waits this long for VMs that do not answer, so it adds to each failover
	 * during which a VM is lost. Covers a poll of the store, its answer after 0.25 s, and the
	 * request of a VM that follows the poller.
	 */
	SUCCESSION_AUTHORITY_MS = 1000,
	/**
	 * Time that a planned change takes at most while the old primary still works: running statements complete, the
	 * authority of silent VMs expires, the log is received, and the new primary leads.
	 */
	SUCCESSION_PLANNED_MS = 3500,
	/** Maximum age of a list of VMs that is used without the store; covers the usual outages. */
	SUCCESSION_LIST_AGE_MS = 8000,
};

enum succession_phase
{
	SUCCESSION_STEADY,
	SUCCESSION_CREATING,  /**< The first record is being written. */
	SUCCESSION_CLAIMING,  /**< The claim is being written. */
	SUCCESSION_GATHERING, /**< Waiting until the other VMs have stopped using the old primary. */
	SUCCESSION_CHOOSING, /**< Comparing log positions; then the old primary is demoted if reachable. */
	SUCCESSION_PROMOTING,
	SUCCESSION_CONFIRMING, /**< Waiting until the new primary leads. */
	SUCCESSION_RECORDING,
};

enum succession_action
{
	SUCCESSION_NOTHING,
	SUCCESSION_CREATE,      /**< Swap the record: primary @c target. */
	SUCCESSION_CLAIM,       /**< Swap the record: a change is claimed. */
	SUCCESSION_ASK_MEMBERS, /**< Tell the other VMs of the claim, and poll the servers. */
	SUCCESSION_DEMOTE,      /**< Demote the old primary with term @c demote_term. */
	SUCCESSION_ASK_SERVERS, /**< Poll the status of the servers. */
	SUCCESSION_PROMOTE,     /**< Have the platform promote @c target with token @c claim_change. */
	SUCCESSION_RECORD,      /**< Swap the record: primary @c target. */
};

enum succession_cause
{
	SUCCESSION_NO_CAUSE,
	SUCCESSION_FAILED,  /**< Most VMs cannot reach the primary, or it no longer leads. */
	SUCCESSION_LEAVING, /**< The primary is stopping or its entry is gone; it may still work. */
};

/** How many of the VMs that may use the old primary have stopped using it. */
enum succession_answers
{
	SUCCESSION_FEW_STOPPED,  /**< VMs that do not know of the change may go on using it. */
	SUCCESSION_MOST_STOPPED, /**< The others can no longer confirm that no change was claimed. */
	SUCCESSION_ALL_STOPPED,
};

/** A server of the service. */
struct succession_server
{
	const char *id;
	bool is_listed; /**< Its directory entry exists. */
	bool is_draining;
	/** Draining: by then a planned change has to begin if the server leads, so that it is out of use in time. */
	int64_t lead_end_us;
	bool is_unreachable;
	bool reports_primary; /**< According to its directory entry. */
	bool has_status;
	int64_t status_us; /**< When the status arrived. */
	bool is_primary;   /**< According to its status. */
	uint64_t term;
	struct log_position received;
	struct log_position applied; /**< Position that its reads see. */
	uint64_t address;            /**< Identifies where it listens or listened. */
	bool
		has_announced_end; /**< It is gone as announced: its log is transferred to a server at its address. */
	/** It has announced its end and is gone, and the primary was asked for its position afterwards. */
	bool has_left;
	struct log_position left_position; /**< What the primary held then: no less than this server. */
};

struct succession_input
{
	const struct succession_server *servers;
	size_t server_count;
	uint32_t sync_replicas;
	enum succession_cause cause;
	/** Until then a planned change may wait for a successor that has caught up; 0: it may not. */
	int64_t planned_wait_end_us;
	uint32_t rank;         /**< Place of this VM among those that may act; 0 acts first. */
	bool has_read_records; /**< The records were read since this VM started. */
	bool may_claim;        /**< This VM is settled, so that all others know of it. */
	int64_t directory_us;  /**< When this VM first read the directory of servers. */
	enum succession_answers answers;
	uint64_t era; /**< Present era of the store. */
	/** Until then, claims that the store has forgotten may still act; 0: there are none. */
	int64_t former_claims_end_us;
};

struct succession_record
{
	char primary[SUCCESSION_NAME_BYTES];
	char claimant[SUCCESSION_NAME_BYTES];
	uint64_t
		change; /**< Identifies the state of the record; later ones are greater. 0: there is no record. */
	uint64_t term; /**< Term of the primary; 0: unknown, since it was never changed. */
	struct term_history terms;
	/** Claims of the unfinished change, each of which may have promoted a server that was not recorded. */
	uint32_t claims;
	bool is_changing;
	bool is_planned;
};

struct succession
{
	char vm[SUCCESSION_NAME_BYTES];
	enum succession_phase phase;
	struct succession_record record;
	int64_t record_us; /**< When this state of the record was first seen. */
	int64_t cause_us;  /**< Since when there is a cause; 0: none. */
	/** While a planned change waits: position that the primary had before the servers were last asked. */
	struct log_position leaving_position;
	bool has_leaving_position;
	uint64_t claim_change;
	int64_t claim_sent_us;
	int64_t claimed_us;      /**< When the claim was known to be stored. */
	int64_t most_stopped_us; /**< Since when most VMs have stopped; 0: they have not. */
	/** Since when this VM knows of an unfinished change in the era of its record; 0: none. */
	int64_t changing_us;
	/** Since when no VM uses the old primary of this unfinished change; 0: this VM has not seen that. */
	int64_t stopped_us;
	int64_t successor_us;    /**< Since when a successor is known in this claim; 0: none is. */
	int64_t reserve_us;      /**< Since when a reserve is known in this claim; 0: none is. */
	int64_t phase_us;        /**< Start of the phase, or of the delay after a failed promotion. */
	int64_t asked_us;        /**< When the phase's last request was sent; 0: none, or it failed. */
	uint64_t yielded_change; /**< Own claim that other VMs may take over first; 0: none. */
	uint64_t old_term;       /**< The new primary must lead a later term. */
	uint64_t new_term;       /**< Term of the new primary, for the record. */
	struct log_position new_term_start; /**< End of its log when it began to lead. */
	uint64_t demote_term;
	int64_t demoted_us; /**< When the old primary was told to step down in this claim. */
	bool is_planned;
	bool has_demoted;
	char target[SUCCESSION_NAME_BYTES];
	char failed_target[SUCCESSION_NAME_BYTES]; /**< Server whose promotion failed. */
};

void succession_init (struct succession *succession, const char *vm);

/** Adopts a record that was read or received; older ones are ignored. */
void succession_set_record (struct succession *succession, const struct succession_record *record,
                            int64_t now_us);

/**
 * Whether the next step depends on neither the servers nor the rank: a record exists, no change is in progress and
 * there is no cause for one. A fleet of hundreds of VMs with dozens of services spends most of its steps there.
 */
bool succession_is_idle (const struct succession *succession, enum succession_cause cause);

/** Returns the next action; call after each event and at least every 20 ms. */
enum succession_action succession_step (struct succession *succession,
                                        const struct succession_input *input, int64_t now_us);

enum succession_swap
{
	SUCCESSION_SWAPPED,
	SUCCESSION_SWAP_REFUSED, /**< The store held another state of the record. */
	SUCCESSION_SWAP_UNKNOWN, /**< The answer was lost. */
};

/** Handles the end of the swap of SUCCESSION_CREATE, CLAIM or RECORD. @p change: number of the record that it wrote. */
void succession_handle_swap (struct succession *succession, enum succession_swap result,
                             uint64_t change, int64_t now_us);

/** Number of the record that follows @p change when it is written in @p era. Later eras have greater numbers. */
uint64_t succession_next_change (uint64_t change, uint64_t era);

/** Parts of a record's number, for logs: the era in which the change was begun, and a count. */
uint32_t succession_change_era (uint64_t change);
uint32_t succession_change_count (uint64_t change);

/** Handles the end of the platform call of SUCCESSION_PROMOTE. @p error: 0, -ENOENT: the server is
 * not running, others: the call may have been executed. */
void succession_handle_promote (struct succession *succession, int error, int64_t now_us);

/** Tells whether the platform call may still be sent; check directly before sending it. While it
 * may, no other VM can have claimed a later change. @param era present era of the store. */
bool succession_may_promote (const struct succession *succession, uint64_t era, int64_t now_us);
