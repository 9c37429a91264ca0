/**
 * @file
 * Shared by the parts of the virtual fleet.
 */
#pragma once

#include "fleet.h"

static inline int64_t
fleet_now (const struct fleet *fleet)
{
	return fleet->world.now_us;
}

/** Keeps the first broken guarantee of the run. */
static inline void
fleet_report_violation (struct fleet *fleet, const char *what)
{
	if (!fleet->violation)
		fleet->violation = what;
}

/** Runs what a VM's decision modules want to do now. */
void fleet_vm_step (struct fleet_vm *vm);

/** Key of a group in items. */
void fleet_group_key (uint32_t group, char *key, size_t bytes);

/** Tells whether a VM may send new work to a server, and checks that none goes to a leaving one. */
bool fleet_may_use (struct fleet_vm *vm, uint32_t number, uint32_t server);

/** Tells the observer at this VM which servers are leaving. */
void fleet_update_leaving (struct fleet_vm *vm, uint32_t number);

/** Checks a new primary against everything acknowledged; payload: struct virtual_server. */
void fleet_handle_promoted (void *context, const void *payload);
