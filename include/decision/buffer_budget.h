/**
 * @file
 * The account of the bytes that a process holds in buffers of its connections, and the choice of the connections that give
 * way when the budget runs short. Without I/O; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	/** What a process needs without callers, rounded up from 13 MB, with room for the view of a large fleet. */
	BUFFER_PROCESS_BYTES = 24 * 1024 * 1024,
	/** A connection that moves fewer bytes in its time limit, while it owes some, makes no progress. A message of 1 MiB at this
	 * pace takes 11 min. */
	BUFFER_PROGRESS_BYTES = 16 * 1024,
};

struct buffer_budget
{
	size_t limit_bytes; /**< 0: there is no limit. */
	size_t used_bytes;
	size_t peak_bytes;
};

/**
 * Sets the budget from the memory limit of the VM.
 * @param memory_bytes 0: none is known, and there is no limit.
 */
void buffer_budget_init (struct buffer_budget *budget, size_t memory_bytes);

/** Replaces the charge of a holder. @param charged its present charge, which is updated. */
void buffer_budget_charge (struct buffer_budget *budget, size_t *charged, size_t bytes);

/** Whether some connection has to give way before more is read. */
bool buffer_budget_is_short (const struct buffer_budget *budget);

/** Whether enough connections have given way. The gap to the limit keeps the choice from running at each read. */
bool buffer_budget_has_room (const struct buffer_budget *budget);

/** Largest share of the budget that one answer, or the texts of all prepared statements, may take.
 * @return SIZE_MAX without a limit. */
size_t buffer_budget_share (const struct buffer_budget *budget);

/** What a connection owes its peer or waits for from it. */
struct buffer_progress
{
	int64_t since_us;      /**< Start of the present period; 0: nothing is owed. */
	uint64_t since_bytes;  /**< Bytes that had been moved by then. */
	int64_t slow_since_us; /**< Since when it has owed without an end. */
};

/**
 * Follows the progress of a connection.
 * @param owes the peer has begun a message, or has not read what was sent to it.
 * @param moved_bytes number of bytes that the connection has received and sent since its start.
 * @param limit_us longest time without BUFFER_PROGRESS_BYTES; 0: no limit.
 * @return false when the connection is to lose its place.
 */
bool buffer_progress_check (struct buffer_progress *progress, bool owes, uint64_t moved_bytes,
                            int64_t limit_us, int64_t now_us);

/** The whole message that was begun has arrived, or an answer was read. */
void buffer_progress_end (struct buffer_progress *progress);

/** A connection that could give way. */
struct buffer_holder
{
	size_t bytes;    /**< Its charge. */
	bool is_peer;    /**< It carries traffic between VMs. */
	bool owes;       /**< It has an unfinished message, or unread output. */
	int64_t slow_us; /**< For how long it has owed. */
	void *data;      /**< The caller's. */
};

/**
 * Orders the connections that give way, the first one first: callers that owe, other callers, other VMs that owe, other VMs; among
 * these by bytes and the time for which they have owed. For qsort().
 */
int buffer_holder_compare (const void *first, const void *second);
