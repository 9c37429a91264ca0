/**
 * @file
 * A snapshot of a service with one group of three servers, for tests of the request path.
 */
#pragma once

#include "flamingospring/snapshot.h"

enum
{
	FIXTURE_SERVERS = 3,
	FIXTURE_MEMBERS = 4,
};

/** Contents of the snapshot; parts with a zero value are left out. */
struct fixture
{
	uint32_t self;
	uint32_t member_count; /**< VMs 1, 2, ... at 127.0.0.1. */
	uint32_t without_vm;   /**< Id of a VM that has left; 0 for none. */
	uint16_t traffic_ports[FIXTURE_MEMBERS];
	struct ownership owners[FIXTURE_SERVERS];
	bool has_primary;
	uint32_t primary;
	uint64_t term;
	bool is_leaving;
	bool refuses_connections;
};

/** Service "post" with the database "letters" and the calls find (read, 1 param), find_monotonic, find_primary,
 * find_low, add (write with request id, 2 params) and set (idempotent write, 2 params). */
struct snapshot *fixture_snapshot (const struct fixture *fixture);

/** The service of a snapshot that fixture_snapshot() made. */
const struct schema_service *fixture_service (const struct snapshot *snapshot);

/** A free TCP port of 127.0.0.1. */
uint16_t fixture_port (void);
