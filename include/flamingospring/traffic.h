/**
 * @file
 * Traffic threads: callers, other VMs and the owners of upstream servers, one event loop each.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "flamingospring/observer_request.h"
#include "flamingospring/settings.h"
#include "flamingospring/snapshot.h"

#include <stdbool.h>
#include <stdint.h>

struct traffic;

/** What the traffic threads tell the control thread. */
struct traffic_control_ops
{
	/** Called in any traffic thread, when an answer or its absence tells about a server. */
	void (*handle_observation) (void *control, const char *database, uint32_t server, bool answered,
	                            const struct server_status *status);
	/** Called in any traffic thread with the answer to traffic_observe(). */
	void (*handle_observer_answer) (void *control, const struct observer_answer *answer);
};

/** Opens the listeners of all threads. The threads do not run yet; traffic_handle_snapshot() may be
 * called from now on. @return NULL with the reason logged. */
struct traffic *traffic_new (const struct settings *settings, struct snapshot_source *source);

/** Starts the threads; a snapshot must be published. @p control is passed to @p ops, which may be
 * NULL. @return 0 or a negative error number. */
int traffic_start (struct traffic *traffic, const struct traffic_control_ops *ops, void *control);

/** A snapshot was published: wakes all threads to adopt it. Any thread. */
void traffic_handle_snapshot (struct traffic *traffic);

/** Sends a request of an observer in the control thread to the group's thread. Any thread. It is
 * dropped when out of memory. */
void traffic_observe (struct traffic *traffic, const struct observer_request *request);

/** Requests and transactions in flight in all threads. Any thread. */
uint32_t traffic_in_flight (const struct traffic *traffic);

/** Stops and joins the threads. */
void traffic_stop (struct traffic *traffic);

/** Answers what is left and frees everything. */
void traffic_free (struct traffic *traffic);
