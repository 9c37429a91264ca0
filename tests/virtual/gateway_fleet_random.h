/**
 * @file
 * Plays plans of faults with a fleet of struct gateway_fleet, and makes random ones.
 */
#pragma once

#include "gateway_fleet.h"

struct fleet_case
{
	uint64_t seed;
	int vm_count;
	int service_count;
	const struct fleet_fault *faults;
	size_t fault_count;
	int64_t until_ms; /**< The last fault has ended 12 s before. */
};

/** Seeds and size of random cases. */
struct fleet_series
{
	uint64_t first;
	uint64_t count;
	int vm_count;
	int service_count;
	int faults_ms;    /**< All faults begin within this time. */
	bool is_restored; /**< The store may come back from an older copy. */
	int losses; /**< Longest series of losses of primaries that follow one another within seconds. */
	/** Writes wait for a replica; a replica leaves beside each loss of a primary. */
	uint32_t sync_replicas;
};

/** Plays a case; violations fail the test. @return their number. */
uint32_t gateway_fleet_play (const struct fleet_case *played);

/** Plays random plans; the variable GATEWAY_FLEET_SEEDS, as FIRST:COUNT, replaces the seeds. */
void gateway_fleet_play_random (const struct fleet_series *series);
