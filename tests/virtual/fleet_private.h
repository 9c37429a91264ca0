/**
 * @file
 * Internal interface between the source files of the simulated fleet.
 */
#pragma once

#include "fleet.h"

static inline int64_t
fleet_now (const struct fleet *fleet)
{
	return fleet->world.now_us;
}

/** Records a violated guarantee, unless the run already has one. */
static inline void
fleet_report_violation (struct fleet *fleet, const char *what)
{
	if (!fleet->violation)
		fleet->violation = what;
}

/** Executes the pending effects of a VM's decision modules and schedules its next step. */
void fleet_vm_step (struct fleet_vm *vm);

/** Formats the key of a group in membership items. */
void fleet_group_key (uint32_t group, char *key, size_t bytes);

/** Tells whether a VM may send new work to a server. Reports a violation when the VM still would
 * after the time limit for leaving servers. */
bool fleet_may_use (struct fleet_vm *vm, uint32_t number, uint32_t server);

/** Passes the set of leaving servers to this VM's failover module. */
void fleet_update_leaving (struct fleet_vm *vm, uint32_t number);

/** Checks that a new primary has all acknowledged writes of earlier terms. The payload is a struct
 * virtual_server. */
void fleet_handle_promoted (void *context, const void *payload);
