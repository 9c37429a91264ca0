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
fleet_violate (struct fleet *fleet, const char *what)
{
	if (!fleet->violation)
		fleet->violation = what;
}

/** Runs what a VM's decision modules want to do now. */
void fleet_vm_step (struct fleet_vm *vm);

/** Key of a group in items. */
void fleet_group_key (uint32_t group, char *key, size_t bytes);

/** Sends a write to the primary of group @p number as a random VM knows it. */
void fleet_write (struct fleet *fleet, uint32_t number);

/** Checks a new primary against everything acknowledged; payload: struct virtual_server. */
void fleet_handle_promoted (void *context, const void *payload);
