/**
 * @file
 * What the records of primaries in the store are worth after the store was restored from an older copy. Does no I/O.
 *
 * The store has forgotten the last changes of primary, while VMs still know them and servers were promoted. So the
 * stored record is not believed before the VMs have had time to write what they know: a VM that read only the store
 * would use a primary that has been replaced. Until then, VMs use primaries by agreement with each other, as without
 * the store. A change of primary may be claimed at once, since a claim stops the use of any earlier record.
 *
 * tests/unit/restore.c; docs/platform.md has a table of what is kept of each kind of state.
 */
#pragma once

#include "decision/store_position.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
	/** Claims of the era before cannot act any more after this time: the window for calling the platform, plus a call
	 * in flight. */
	RESTORE_CLAIMS_END_US = 5000 * 1000,
	/** Without an agreement of the VMs, a record is written after this time, when nobody holds authority by a list of
	 * VMs from before. */
	RESTORE_ALONE_US = 11000 * 1000,
};

/** What the store holds under a record's key, as far as this VM knows. */
struct restore_stored
{
	struct store_position at; /**< Last change of the key; revision 0: the key does not exist. */
	uint64_t change;          /**< The record's succession_record.change; 0: there is no record. */
	uint64_t era;             /**< Era in which the record was written. */
};

enum restore_verdict
{
	RESTORE_CONFIRMED,   /**< The known record was written in the present era. */
	RESTORE_UNCONFIRMED, /**< It was written in an earlier era: a later one may have been lost. */
	RESTORE_LOST,        /**< The store holds an earlier record, or none. */
};

/** Judges the record @p known_change by what the store held in the era @p era. */
enum restore_verdict restore_judge (uint64_t known_change, const struct restore_stored *stored,
                                    uint64_t era);

/**
 * Tells whether a VM may write the record that it knows as the one of the present era.
 * @param restored_us when this VM learned of the era; 0: it has known no other.
 * @param majority_us latest time at which more than half of the VMs knew the same records; 0: unknown.
 */
bool restore_may_write (int64_t restored_us, int64_t majority_us, int64_t now_us);

/** Time until which claims that the store has forgotten may still act; 0: there are none. */
int64_t restore_claims_end_us (int64_t restored_us);
