/**
 * @file
 * Traffic threads: each serves callers, other VMs and the owners of upstream servers in its own
 * event loop.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "flamingospring/observer_request.h"
#include "flamingospring/settings.h"
#include "flamingospring/snapshot.h"

#include <stdbool.h>
#include <stdint.h>

struct traffic;

/** Functions of the control thread that the traffic threads call. */
struct traffic_control_ops
{
	/** Called in any traffic thread when a server answered or failed to answer. */
	void (*handle_observation) (void *control, const char *database, uint32_t server, bool answered,
	                            const struct server_status *status);
	/** Called in any traffic thread with the answer to traffic_send_observer_request(). */
	void (*handle_observer_answer) (void *control, const struct observer_answer *answer);
};

/** Opens the listeners of all threads. The threads do not run yet, but traffic_handle_snapshot()
 * may be called. @return NULL on failure, which is logged. */
struct traffic *traffic_new (const struct settings *settings, struct snapshot_source *source);

/** Starts the threads. A snapshot must be published before. @p control is passed to @p ops, which
 * may be NULL. @return 0 or a negative error number. */
int traffic_start (struct traffic *traffic, const struct traffic_control_ops *ops, void *control);

/** Wakes all threads to adopt a newly published snapshot. Any thread may call this. */
void traffic_handle_snapshot (struct traffic *traffic);

/** Sends the request of an observer to the traffic thread of its group. Any thread may call this.
 * The request is dropped when out of memory. */
void traffic_send_observer_request (struct traffic *traffic,
                                    const struct observer_request *request);

/** @return the number of requests and transactions in flight in all threads. May be called in any
 * thread. */
uint32_t traffic_in_flight (const struct traffic *traffic);

/** Stops and joins the threads. */
void traffic_stop (struct traffic *traffic);

/** Answers the remaining requests and frees everything. No thread may be running. */
void traffic_free (struct traffic *traffic);
