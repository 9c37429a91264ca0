/**
 * @file
 * Owner of one upstream server: admission queue, pooled connections, running requests,
 * interactive transactions and, for a primary, the acknowledgement wait. Lives in one traffic
 * thread.
 */
#pragma once

#include "common/handle_table.h"
#include "common/loop.h"
#include "common/trace.h"
#include "decision/acknowledgement.h"
#include "flamingospring/observer_request.h"
#include "flamingospring/owner_monitor.h"
#include "flamingospring/snapshot.h"
#include "protocols/peer.h"

#include <stdbool.h>
#include <stdint.h>

struct observed;
struct owner;

enum
{
	/** server_age_ms of a result when the age of the server's content is not known. */
	OWNER_AGE_UNKNOWN = UINT32_MAX,
};

/** A request as handed to an owner. The submitter keeps the memory, @c args included, until
 * handle_done ran. */
struct owner_request
{
	const struct fs_execute_args *args;
	struct trace_context trace;
	int64_t deadline_us;
	/** Called exactly once, perhaps inside owner_submit(). The result and all that it points to are
	 * the owner's and valid during the call only. */
	void (*handle_done) (struct owner_request *request, const struct fs_execute_result *result);
	void *data;
	uint32_t handle; /**< Set by the owner. */
};

struct owner_settings
{
	uint32_t vm_id;
	int64_t acknowledge_timeout_us;
	bool acknowledge_at_primary; /**< Baseline for measurements: loses writes with a primary. */
	int64_t transaction_idle_us;
	int64_t transaction_limit_us;
	/** Called in the owner's thread when an answer or its absence tells about a server, so that the
	 * control thread can observe without polls of its own. @p status is NULL when the answer told no
	 * role; a promised_term of 0 in it is unknown. */
	void (*handle_observation) (void *data, const char *database, uint32_t server, bool answered,
	                            const struct server_status *status);
	/** Called in the owner's thread with the answer to a request of owner_set_observe(). */
	void (*handle_observer_answer) (void *data, const struct observer_answer *answer);
	void *observation_data; /**< Of both. */
	/** Connections to upstream servers; NULL: those of upstream_pg. Tests set doubles. */
	const struct owner_upstream_factory *upstreams;
};

/** All owners of one traffic thread, by database and server index. */
struct owner_set
{
	struct loop *loop;
	struct snapshot_reader *reader;
	const struct owner_settings *settings;
	struct owner **owners;
	size_t count;
	size_t capacity;
	struct handle_table tasks; /**< Requests of all owners. */
	struct monitor_set monitors;
	struct observed *observed; /**< Servers that the control thread observes. */
	uint64_t random;
};

int owner_set_init (struct owner_set *set, struct loop *loop, struct snapshot_reader *reader,
                    const struct owner_settings *settings);
void owner_set_finish (struct owner_set *set);

/**
 * Takes a request for args->database and args->server. A VM that is neither owner nor standby
 * answers REASON_NOT_OWNER; an owner is created on first use and dropped when idle and not owned.
 */
void owner_submit (struct owner_set *set, struct owner_request *request);

/** The caller went away: a queued request is dropped; a running one goes on and its result is
 * discarded. handle_done is not called any more. */
void owner_cancel (struct owner_set *set, struct owner_request *request);

/** The snapshot changed: adopt settings, primaries and ownership. */
void owner_set_handle_snapshot (struct owner_set *set);

/** Requests and transactions in flight, for the planned stop. */
uint32_t owner_set_in_flight (const struct owner_set *set);
