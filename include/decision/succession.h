/**
 * @file
 * Change of the primary of one service, as one VM drives it.
 *
 * A change is one compare-and-swap of the service's record: its revision names the change and is the
 * fencing token. The VM that made it hears from every other VM that nothing runs at the old primary any
 * more, or waits until their authority has run out; then it makes the furthest replica the primary and
 * records it. Holds no I/O.
 */
#pragma once

#include "decision/position.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	SUCCESSION_NAME_BYTES = 96,
	/**
	 * How long a VM may use a primary after it last knew that no change of primary was ordered. Whoever orders a
	 * change waits this long for VMs that do not answer, so it is part of each failover beside a lost VM. Covers a poll
	 * of the store, its answer after 0.25 s, and the question of a VM that follows the poller.
	 */
	SUCCESSION_AUTHORITY_MS = 1000,
	/** How old the list of VMs may be that is used without the store; covers the usual outages. */
	SUCCESSION_LIST_AGE_MS = 8000,
};

enum succession_phase
{
	SUCCESSION_STEADY,
	SUCCESSION_CREATING,  /**< The first record is being written. */
	SUCCESSION_CLAIMING,  /**< The order is being written. */
	SUCCESSION_GATHERING, /**< The other VMs stop using the old primary. */
	SUCCESSION_CHOOSING,  /**< Positions are compared; the old primary steps down if it can. */
	SUCCESSION_PROMOTING,
	SUCCESSION_CONFIRMING, /**< The successor does not lead yet. */
	SUCCESSION_RECORDING,
};

enum succession_action
{
	SUCCESSION_NOTHING,
	SUCCESSION_CREATE,      /**< Swap the record: primary @c target. */
	SUCCESSION_CLAIM,       /**< Swap the record: a change is ordered. */
	SUCCESSION_ASK_MEMBERS, /**< Tell the other VMs of the order; ask the servers for their status. */
	SUCCESSION_DEMOTE,      /**< Send the old primary a demotion to term @c demote_term. */
	SUCCESSION_ASK_SERVERS,
	SUCCESSION_PROMOTE, /**< Call the platform for @c target with token @c claim_revision. */
	SUCCESSION_RECORD,  /**< Swap the record: primary @c target. */
};

enum succession_cause
{
	SUCCESSION_NO_CAUSE,
	SUCCESSION_FAILED, /**< Most VMs do not reach the primary, or it does not lead any more. */
	SUCCESSION_LEAVING, /**< The primary is about to stop, or its entry is gone; it may work still. */
};

/** Of the VMs that may use the old primary. */
enum succession_answers
{
	SUCCESSION_FEW_STOPPED,  /**< VMs without word of the change may use it for long. */
	SUCCESSION_MOST_STOPPED, /**< The others cannot learn any more that no change was ordered. */
	SUCCESSION_ALL_STOPPED,
};

/** A server of the service. */
struct succession_server
{
	const char *id;
	bool is_listed;
	bool is_draining;
	bool is_unreachable;
	bool reports_primary; /**< In its directory entry. */
	bool has_status;
	int64_t status_us; /**< When the status came. */
	bool is_primary;   /**< By its status. */
	uint64_t term;
	struct log_position received;
	struct log_position applied; /**< What its reads see. */
};

struct succession_input
{
	const struct succession_server *servers;
	size_t server_count;
	uint32_t sync_replicas;
	enum succession_cause cause;
	uint32_t rank;         /**< Order of this VM among those that may act. */
	bool has_read_records; /**< The records were read since the start of this VM. */
	bool may_claim;        /**< All VMs can know of this one by now. */
	enum succession_answers answers;
};

struct succession_record
{
	char primary[SUCCESSION_NAME_BYTES];
	char claimant[SUCCESSION_NAME_BYTES];
	uint64_t revision; /**< 0: there is no record. */
	uint64_t term;     /**< That the primary leads; 0: not known, it was never changed. */
	bool is_changing;
	bool is_planned;
};

struct succession
{
	char vm[SUCCESSION_NAME_BYTES];
	enum succession_phase phase;
	struct succession_record record;
	int64_t record_us; /**< When this record was first seen. */
	int64_t cause_us;  /**< Since when there is a cause; 0: there is none. */
	uint64_t claim_revision;
	int64_t claim_sent_us;
	int64_t claimed_us;      /**< When the order was known to be in the store. */
	int64_t most_stopped_us; /**< Since when most VMs have stopped; 0: they have not. */
	int64_t changing_us; /**< Since when this VM knows of an unfinished change; 0: there is none. */
	int64_t phase_us;
	int64_t asked_us;
	uint64_t old_term; /**< The successor leads a later one. */
	uint64_t new_term; /**< Of the successor, for the record. */
	uint64_t demote_term;
	bool is_planned;
	bool has_demoted;
	char target[SUCCESSION_NAME_BYTES];
	char refused[SUCCESSION_NAME_BYTES]; /**< Server that the platform could not promote. */
};

void succession_init (struct succession *succession, const char *vm);

/** Adopts a record that was read or heard; older ones are ignored. */
void succession_set_record (struct succession *succession, const struct succession_record *record,
                            int64_t now_us);

/** Next thing to do; call after each event and at least every 20 ms. */
enum succession_action succession_step (struct succession *succession,
                                        const struct succession_input *input, int64_t now_us);

/** The swap of SUCCESSION_CREATE, CLAIM or RECORD ended. @p revision: of the record now; 0: it failed or
 * its answer was lost. */
void succession_handle_swap (struct succession *succession, uint64_t revision, int64_t now_us);

/** The platform's call ended. @p error 0, -ENOENT: the server is not running, others: it may have been
 * executed. */
void succession_handle_promote (struct succession *succession, int error, int64_t now_us);

/** Checked directly before the platform's call is sent: nobody else can have ordered a later change. */
bool succession_may_promote (const struct succession *succession, int64_t now_us);
