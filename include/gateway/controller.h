/**
 * @file
 * The control thread of the gateway: configuration, directory, records of primaries, other VMs.
 */
#pragma once

#include "gateway/traffic.h"
#include "platform/boot_settings.h"

struct controller;

/** Serves metrics on @p metrics_port, unless it is 0. @p handle_leave_complete is called in the control thread when the planned stop is complete. */
struct controller *controller_start (const struct boot_settings *boot, uint16_t metrics_port,
                                     struct gateway_traffic *traffic,
                                     void (*handle_leave_complete) (void *data), void *data);

/** Starts the planned stop; safe from any thread. */
void controller_leave (struct controller *controller);

/** Waits for the end of the thread. */
void controller_free (struct controller *controller);

/** Events of the traffic thread; their data is the controller. */
extern const struct gateway_traffic_events controller_traffic_events;
