/**
 * @file
 * The control thread of the gateway: reads the configuration and the directory of servers, exchanges state with the
 * other VMs and drives changes of primary.
 */
#pragma once

#include "gateway/traffic.h"
#include "platform/boot_settings.h"

struct controller;

/**
 * Starts the control thread and the traffic thread.
 * @param metrics_port TCP port that serves the metrics; 0: none.
 * @param handle_leave_complete called in the control thread when the graceful shutdown is complete.
 * @return NULL on failure, which is logged.
 */
struct controller *controller_start (const struct boot_settings *boot, uint16_t metrics_port,
                                     struct gateway_traffic *traffic,
                                     void (*handle_leave_complete) (void *data), void *data);

/** Starts the graceful shutdown; safe from any thread. */
void controller_leave (struct controller *controller);

/** When the control thread last began a turn; 0: never. Safe from any thread. */
int64_t controller_turned_us (const struct controller *controller);

/** Stops the control thread, waits for its end and frees the controller. It uses the traffic thread's state until then. */
void controller_free (struct controller *controller);

/** Callbacks for the traffic thread; their data is the controller. */
extern const struct gateway_traffic_events controller_traffic_events;
