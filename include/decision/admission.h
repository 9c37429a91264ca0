/**
 * @file
 * Admission queue of one upstream server, held by the server's owner.
 *
 * Ranks are served by strict priority, with a minimum share of slot time (floor) for the lower
 * ones. Within a rank, tenants share slots by weighted fair queueing, and each tenant's requests
 * run earliest deadline first. Does no I/O; @c cookie identifies the caller's request.
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
	uint32_t slots;                     /**< Statements that the server runs concurrently. */
	uint32_t queue_limit[RANK_COUNT];   /**< Maximum number of queued requests. */
	uint32_t floor_percent[RANK_COUNT]; /**< Minimum share of slot time under load. */
	/** Concurrent statements of a rank; 0: no limit, but slots - 1 (at least 1) for RANK_LOW. */
	uint32_t max_slots[RANK_COUNT];
	uint32_t tenant_weight[ADMISSION_MAX_TENANTS]; /**< 0 is taken as 1. */
};

struct admission_request
{
	uint64_t cookie;
	enum rank rank;
	uint32_t tenant;          /**< Index below ADMISSION_MAX_TENANTS. */
	int64_t deadline_us;      /**< Latest start that still meets the request's time limit. */
	uint32_t expected_run_us; /**< Estimated slot time; 0: use the rank's running mean. */
};

enum admission_verdict
{
	ADMISSION_START, /**< Run the request now; it holds a slot until admission_complete(). */
	ADMISSION_QUEUED,
	ADMISSION_OVERLOAD, /**< Refused: it is expected to miss its deadline. */
	ADMISSION_FULL,     /**< Refused: the rank's queue is full, or the tenant's share of it. */
	ADMISSION_EXPIRED,  /**< Refused: its deadline passed in the queue. */
	ADMISSION_NONE,     /**< Nothing to report. */
};

struct admission_result
{
	enum admission_verdict verdict;
	uint64_t cookie;
	uint32_t retry_after_us;
};

struct admission;

/** Size in bytes of a queue with these settings. The caller allocates and owns the memory. */
size_t admission_size (const struct admission_settings *settings);

/** Initializes a queue in @p memory of admission_size() bytes. */
struct admission *admission_init (void *memory, const struct admission_settings *settings,
                                  int64_t now_us);

void admission_finish (struct admission *admission);

/** Submits a request. The verdict is START, QUEUED, OVERLOAD or FULL. */
struct admission_result admission_submit (struct admission *admission,
                                          const struct admission_request *request, int64_t now_us);

/** Records the end of a started request and frees its slot. */
void admission_complete (struct admission *admission, enum rank rank, uint32_t tenant,
                         uint32_t run_us, int64_t now_us);

/** Removes the next request to be started or expired from the queue; call until ADMISSION_NONE. */
struct admission_result admission_next (struct admission *admission, int64_t now_us);

/** Removes a queued request whose caller has gone. @return false when it is not queued. */
bool admission_cancel (struct admission *admission, uint64_t cookie);

/** Sets the number of usable slots (adaptive concurrency, slow server, open circuit). With 0, no
 * request starts, and new requests with a deadline are refused. */
void admission_set_slots (struct admission *admission, uint32_t slots);

/** Expected wait of a new request of @p rank; UINT32_MAX when there are no slots. */
uint32_t admission_expected_wait_us (const struct admission *admission, enum rank rank,
                                     int64_t now_us);

/** Time from which admission_next() expires a queued request; INT64_MAX when none is queued. */
int64_t admission_next_expiry_us (const struct admission *admission);

uint32_t admission_queued (const struct admission *admission, enum rank rank);
uint32_t admission_running (const struct admission *admission, enum rank rank);
