#include "gateway_fleet_random.h"

uint32_t
gateway_fleet_play (const struct fleet_case *played)
{
	struct gateway_fleet fleet;
	uint32_t count;
	uint64_t lost = 0;
	uint32_t promotions = 0;

	gateway_fleet_init (&fleet, played->seed, played->vm_count, played->service_count);
	gateway_fleet_check_recovered (&fleet);
	gateway_fleet_plan (&fleet, played->faults, played->fault_count);
	gateway_fleet_run (&fleet, played->until_ms);
	gateway_fleet_check_recovered (&fleet);
	for (int i = 0; i < fleet.service_count; i++)
	{
		lost += fleet.services[i].lost;
		promotions += fleet.services[i].promotions;
	}
	count = fleet.violation_count;
	g_test_message (
		"seed %llu, %d VMs: %llu writes acknowledged, %u promotions, %llu commits lost, %u "
		"violations",
		(unsigned long long) fleet.seed, fleet.vm_count, (unsigned long long) fleet.acknowledged,
		promotions, (unsigned long long) lost, count);
	if (count > 0)
	{
		g_test_message ("%s", fleet.violations->str);
		g_test_fail ();
	}
	gateway_fleet_finish (&fleet);
	return count;
}
