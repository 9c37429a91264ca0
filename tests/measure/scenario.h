/**
 * @file
 * One deployment and its work, as in tests/scenarios/.
 */
#pragma once

#include "decision/request.h"

#include <stdint.h>

enum
{
	SCENARIO_MAX_WORK = 8,
	SCENARIO_MAX_VMS = 16,
	SCENARIO_MAX_DATABASES = 4,
	SCENARIO_MAX_SERVERS = 3,
};

enum work_kind
{
	WORK_READ, /**< A replica may serve it. */
	WORK_PRIMARY_READ,
	WORK_WRITE,
};

/** Requests of one kind; they arrive at random. */
struct work
{
	enum rank rank;
	enum work_kind kind;
	uint32_t per_s;
	uint32_t run_us; /**< Slot time. */
	uint32_t target_ms;
	uint32_t timeout_ms;
	uint32_t max_age_ms; /**< Stated age of a read; 0: none. */
};

struct scenario
{
	char name[64];
	uint32_t zones, zone_delay_us, caller_delay_us;
	uint32_t vms, databases, servers, slots, connections;
	uint32_t lag_us, sessions, tenants, queue_limit, flood_low, flood_urgent;
	uint32_t floor_percent[RANK_COUNT];
	uint32_t work_count;
	struct work work[SCENARIO_MAX_WORK];
};

/** Reads a file and prints its mistakes to standard error. @return 0 or -EINVAL. */
int scenario_load (struct scenario *scenario, const char *path);
