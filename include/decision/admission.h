/**
 * @file
 * Admission queue of one upstream server, kept by its owner.
 *
 * Urgent work first, a floor of slot time for each other rank, earliest deadline first inside a
 * rank, tenants in weighted turns. Holds no I/O; @c cookie names the caller's request.
 */
#pragma once

#include "decision/request.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	ADMISSION_MAX_TENANTS = 32,
};

struct admission_settings
{
	uint32_t slots;                     /**< Statements that the server runs at once. */
	uint32_t queue_limit[RANK_COUNT];   /**< Waiting requests. */
	uint32_t floor_percent[RANK_COUNT]; /**< Share of slot time a rank keeps under load. */
	/** Statements of a rank at once; 0: no limit, and slots - 1 (at least 1) for RANK_LOW. */
	uint32_t max_slots[RANK_COUNT];
	uint32_t tenant_weight[ADMISSION_MAX_TENANTS]; /**< 0 counts as 1. */
};

struct admission_request
{
	uint64_t cookie;
	enum rank rank;
	uint32_t tenant;          /**< Index below ADMISSION_MAX_TENANTS. */
	int64_t deadline_us;      /**< Latest start that still meets the request's time limit. */
	uint32_t expected_run_us; /**< Estimate of the slot time; 0: use the rank's running mean. */
};

enum admission_verdict
{
	ADMISSION_START, /**< Run it now; it holds a slot until admission_complete(). */
	ADMISSION_QUEUED,
	ADMISSION_OVERLOAD, /**< Refused, not run: the expected wait exceeds its deadline. */
	ADMISSION_FULL,     /**< Refused, not run: the rank's queue is full. */
	ADMISSION_EXPIRED,  /**< Refused, not run: its deadline passed in the queue. */
	ADMISSION_NONE,     /**< Nothing to report. */
};

struct admission_result
{
	enum admission_verdict verdict;
	uint64_t cookie;
	uint32_t retry_after_us;
};

struct admission;

/** Bytes of memory for a queue with these settings; the caller owns the memory. */
size_t admission_size (const struct admission_settings *settings);

/** Prepares a queue in @p memory of admission_size() bytes. */
struct admission *admission_init (void *memory, const struct admission_settings *settings,
                                  int64_t now_us);

void admission_finish (struct admission *admission);

/** Offers a request: START, QUEUED, OVERLOAD or FULL. */
struct admission_result admission_submit (struct admission *admission,
                                          const struct admission_request *request, int64_t now_us);

/** Reports the end of a started request and returns its slot. */
void admission_complete (struct admission *admission, enum rank rank, uint32_t tenant,
                         uint32_t run_us, int64_t now_us);

/** Takes the next started or expired request off the queue; call until ADMISSION_NONE. */
struct admission_result admission_next (struct admission *admission, int64_t now_us);

/** Removes a queued request whose caller went away. @return false when it is not queued. */
bool admission_cancel (struct admission *admission, uint64_t cookie);

/** Changes the number of usable slots (adaptive concurrency, slow server, open circuit). With 0,
 * nothing starts, and new requests with a deadline are refused. */
void admission_set_slots (struct admission *admission, uint32_t slots);

/** Expected wait of a new request of @p rank; UINT32_MAX without slots. */
uint32_t admission_expected_wait_us (const struct admission *admission, enum rank rank,
                                     int64_t now_us);

/** Time from which admission_next() expires a queued request; INT64_MAX when none waits. */
int64_t admission_next_expiry_us (const struct admission *admission);

uint32_t admission_queued (const struct admission *admission, enum rank rank);
uint32_t admission_running (const struct admission *admission, enum rank rank);
