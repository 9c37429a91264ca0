/* Counts the VMs of a simulated fleet that have not converged yet. */
#include "fleet.h"

#include <string.h>

static bool
is_running (const struct fleet *fleet, uint32_t vm)
{
	return fleet->world.nodes[vm].state == VIRTUAL_RUNNING;
}

uint32_t
fleet_count_missing_item (const struct fleet *fleet, enum item_type type, const char *key,
                          uint64_t version)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->vm_count; i++)
	{
		struct membership_item item;
		bool knows = membership_find_item (fleet->vms[i].membership, type, key, &item) &&
		             item.version >= version;

		count += is_running (fleet, i) && !knows;
	}
	return count;
}

uint32_t
fleet_count_outdated (const struct fleet *fleet)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->vm_count; i++)
		count +=
			is_running (fleet, i) && memcmp (fleet->vms[i].revisions, fleet->platform.revisions,
		                                     sizeof fleet->vms[i].revisions) != 0;
	return count;
}

uint32_t
fleet_count_unconverged (const struct fleet *fleet)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->vm_count; i++)
	{
		bool is_converged = true;

		for (uint32_t other = 0; other < fleet->vm_count; other++)
		{
			struct member member;
			bool is_alive = membership_find (fleet->vms[i].membership, other + 1, &member) &&
			                (member.state == MEMBER_ALIVE || member.state == MEMBER_SUSPECT);

			is_converged = is_converged && is_alive == is_running (fleet, other);
		}
		count += is_running (fleet, i) && !is_converged;
	}
	return count;
}

uint64_t
fleet_count_wrong_views (const struct fleet *fleet)
{
	uint64_t count = 0;

	for (uint32_t i = 0; i < fleet->vm_count; i++)
		for (uint32_t other = 0; is_running (fleet, i) && other < fleet->vm_count; other++)
		{
			struct member member;
			bool is_alive = membership_find (fleet->vms[i].membership, other + 1, &member) &&
			                (member.state == MEMBER_ALIVE || member.state == MEMBER_SUSPECT);

			count += is_alive != is_running (fleet, other);
		}
	return count;
}
