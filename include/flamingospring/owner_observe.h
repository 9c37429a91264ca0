/**
 * @file
 * Executes the requests of the control thread's observers in the traffic thread of the group, on
 * the monitors that the group's owners use.
 */
#pragma once

#include "flamingospring/observer_request.h"
#include "flamingospring/owner_private.h"

/** Executes a request; the answer goes to handle_observer_answer() of the settings. A status
 * request replaces an earlier one that has no answer yet. */
void owner_set_handle_observer_request (struct owner_set *set,
                                        const struct observer_request *request);

/** Stops observing all servers. */
void owner_set_remove_observed (struct owner_set *set);
