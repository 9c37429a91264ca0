/**
 * @file
 * Owner of one upstream server: admission queue, pooled connections, running requests, interactive
 * transactions and, for a primary, the wait until a majority has a write. All of it runs in one
 * traffic thread.
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
	/** Value of server_age_ms in a result when the age of the server's data is unknown. */
	OWNER_AGE_UNKNOWN = UINT32_MAX,
};

/** A request to an owner. The submitter keeps its memory, including @c args, valid until
 * handle_done has returned. */
struct owner_request
{
	const struct fs_execute_args *args;
	struct trace_context trace;
	int64_t deadline_us;
	/** Called exactly once unless the request is cancelled, possibly from within owner_submit().
	 * The result and everything it points to belong to the owner and are valid during the call
	 * only. */
	void (*handle_done) (struct owner_request *request, const struct fs_execute_result *result);
	void *data;
	uint32_t handle; /**< Set by the owner. */
};

struct owner_settings
{
	uint32_t vm_id;
	int64_t acknowledge_timeout_us;
	/** Acknowledges a write without a majority. Baseline for measurements only: writes are lost
	 * with their primary. */
	bool acknowledge_at_primary;
	int64_t transaction_idle_us;
	int64_t transaction_limit_us;
	/** Called in the owner's thread when a server answered or failed to answer, so that the control
	 * thread needs fewer polls of its own. @p status is NULL when the answer carried no role; a
	 * promised_term of 0 in it means unknown. */
	void (*handle_observation) (void *data, const char *database, uint32_t server, bool answered,
	                            const struct server_status *status);
	/** Called in the owner's thread with the answer to a request that
	 * owner_set_handle_observer_request() executed. */
	void (*handle_observer_answer) (void *data, const struct observer_answer *answer);
	void *observation_data; /**< First argument of both callbacks. */
	/** Factory of upstream connections; NULL selects upstream_pg. Tests set fakes. */
	const struct owner_upstream_factory *upstreams;
};

/** Owners of one traffic thread, identified by database and server index. */
struct owner_set
{
	struct loop *loop;
	struct snapshot_reader *reader;
	const struct owner_settings *settings;
	struct owner **owners;
	size_t count;
	size_t capacity;
	struct handle_table tasks; /**< Tasks of all owners, by handle. */
	struct monitor_set monitors;
	struct observed *observed; /**< List of servers that the control thread observes. */
	uint64_t random_state;
};

int owner_set_init (struct owner_set *set, struct loop *loop, struct snapshot_reader *reader,
                    const struct owner_settings *settings);
void owner_set_finish (struct owner_set *set);

/**
 * Submits a request for args->database and args->server. It is refused with REASON_NOT_OWNER when
 * this VM is neither owner nor standby of the server. The owner object is created on first use, and
 * freed when it is idle and this VM is neither owner nor standby any more.
 */
void owner_submit (struct owner_set *set, struct owner_request *request);

/** Cancels a request whose caller disconnected. A queued request is dropped; a running one goes on
 * and its result is discarded. handle_done is not called any more. */
void owner_cancel (struct owner_set *set, struct owner_request *request);

/** Applies settings, primaries and ownership of a changed snapshot. */
void owner_set_handle_snapshot (struct owner_set *set);

/** Counts the requests and transactions in flight, which a planned stop waits for. */
uint32_t owner_set_in_flight (const struct owner_set *set);
