/**
 * @file
 * The control thread: membership, configuration, observers of groups, operators, planned stop.
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

/** Sent by traffic threads; freed by the control thread. */
struct control_observation
{
	struct mailbox_message message;
	char database[SCHEMA_NAME_BYTES];
	uint32_t server;
	bool answered;
	struct server_status status;
};

/** Sent by traffic threads; freed by the control thread. */
struct control_answer
{
	struct mailbox_message message;
	struct observer_answer answer;
};

/** What the control thread needs of the traffic threads. */
struct control_traffic_ops
{
	/** Wakes all traffic threads to adopt a published snapshot. */
	void (*handle_snapshot) (void *data);
	/** Carries out a request of an observer; control_answer() brings the answer. */
	void (*observe) (void *data, const struct observer_request *request);
	/** Requests and transactions in flight in all traffic threads. */
	uint32_t (*in_flight) (void *data);
	/** The planned stop is complete: end the process. */
	void (*handle_stopped) (void *data);
};

/** Starts the control thread. @return NULL with the reason logged. */
struct control *control_start (const struct settings *settings, struct snapshot_source *source,
                               const struct control_traffic_ops *ops, void *data);

/** Begins the planned stop; safe from signal handlers. */
void control_stop (struct control *control);

/** Waits for the thread and frees it. */
void control_join (struct control *control);

/** Hands an observation over; any thread. Drops it when out of memory. */
void control_observe (struct control *control, const char *database, uint32_t server, bool answered,
                      const struct server_status *status);

/** Hands the answer to an observer over; any thread. Drops it when out of memory. */
void control_answer (struct control *control, const struct observer_answer *answer);
