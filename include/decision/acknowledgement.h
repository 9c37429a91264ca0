/**
 * @file
 * Writes of one primary that wait for acknowledgement by a majority of the group.
 */
#pragma once

#include "decision/position.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum acknowledgement_verdict
{
	ACKNOWLEDGEMENT_NONE,
	ACKNOWLEDGEMENT_DONE,
	ACKNOWLEDGEMENT_TIMEOUT,  /**< Outcome unknown: no majority before the deadline. */
	ACKNOWLEDGEMENT_REPLACED, /**< Outcome unknown: a server promised a higher term. */
};

struct acknowledgement_result
{
	enum acknowledgement_verdict verdict;
	uint64_t cookie;
	struct log_position position;
};

/** Status of one server, from its answer to a poll. */
struct server_status
{
	bool is_primary;
	uint64_t promised_term;
	struct log_position position;
};

struct acknowledgement;

size_t acknowledgement_size (uint32_t servers, uint32_t capacity);

struct acknowledgement *acknowledgement_init (void *memory, uint32_t servers, uint32_t capacity);

void acknowledgement_finish (struct acknowledgement *acknowledgement);

/** Adds a write that @p server, as the primary, committed at @p position. @p cookie identifies the
 * write in its result. @return 0, or -ENOSPC when full. */
int acknowledgement_add (struct acknowledgement *acknowledgement, uint64_t cookie, uint32_t server,
                         struct log_position position, int64_t deadline_us);

/** Records a status of the server with this index in the group. */
void acknowledgement_report (struct acknowledgement *acknowledgement, uint32_t server,
                             const struct server_status *status);

/** Returns the next write whose outcome is decided; call until ACKNOWLEDGEMENT_NONE. */
struct acknowledgement_result acknowledgement_next (struct acknowledgement *acknowledgement,
                                                    int64_t now_us);

/** Tells whether a write is waiting, so that replicas have to be polled. */
bool acknowledgement_is_waiting (const struct acknowledgement *acknowledgement);

/** Finds the waiting write with the lowest position. @return false when none waits. */
bool acknowledgement_first (const struct acknowledgement *acknowledgement, uint64_t *cookie);

int64_t acknowledgement_next_deadline_us (const struct acknowledgement *acknowledgement);

/** The highest position in the current term that a majority is known to hold. */
struct log_position
acknowledgement_majority_position (const struct acknowledgement *acknowledgement);
