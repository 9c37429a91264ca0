/**
 * @file
 * The control thread: membership, configuration, failover observers of the database groups, the
 * operators' interface and the planned stop.
 */
#pragma once

#include "common/mailbox.h"
#include "decision/acknowledgement.h"
#include "flamingospring/observer_request.h"
#include "flamingospring/settings.h"
#include "flamingospring/snapshot.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct control;

/** What a traffic thread learned about a server. The control thread frees it. */
struct control_observation
{
	struct mailbox_message message;
	char database[SCHEMA_NAME_BYTES];
	uint32_t server;
	bool answered;
	struct server_status status;
};

/** Answer of a traffic thread to an observer's request. The control thread frees it. */
struct control_answer
{
	struct mailbox_message message;
	struct observer_answer answer;
};

/** Functions of the traffic threads that the control thread calls. */
struct control_traffic_ops
{
	/** Wakes all traffic threads to adopt a published snapshot. */
	void (*handle_snapshot) (void *data);
	/** Sends a request of an observer. The answer arrives by control_answer(). */
	void (*send_observer_request) (void *data, const struct observer_request *request);
	/** @return the number of requests and transactions in flight in all traffic threads. */
	uint32_t (*in_flight) (void *data);
	/** Called when the planned stop is complete. The process should end. */
	void (*handle_stopped) (void *data);
};

/** Starts the control thread. @return NULL on failure, which is logged. */
struct control *control_start (const struct settings *settings, struct snapshot_source *source,
                               const struct control_traffic_ops *ops, void *data);

/** Begins the planned stop. Safe to call from signal handlers. */
void control_stop (struct control *control);

/** Waits until the thread has ended and frees @p control. */
void control_join (struct control *control);

/** Sends an observation to the control thread. Any thread may call this. The observation is dropped
 * when out of memory. */
void control_report_observation (struct control *control, const char *database, uint32_t server,
                                 bool answered, const struct server_status *status);

/** Sends the answer to an observer's request to the control thread. Any thread may call this. The
 * answer is dropped when out of memory. */
void control_answer (struct control *control, const struct observer_answer *answer);
