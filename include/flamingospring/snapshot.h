/**
 * @file
 * Immutable state that the control thread publishes to the traffic threads.
 */
#pragma once

#include "decision/membership.h"
#include "decision/ownership.h"
#include "schema/schema.h"

#include <ck_epoch.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Service document shared by snapshots. Only the control thread counts references. */
struct snapshot_service
{
	struct schema_service schema;
	uint32_t references;
};

struct snapshot_member
{
	uint32_t id;
	struct member_address address;
	bool is_live; /**< Alive, suspect or leaving. */
	bool is_leaving;
	uint32_t rtt_us;
};

struct snapshot_server
{
	struct ownership owners;
	bool is_leaving;      /**< Receives no new requests. */
	bool is_handing_over; /**< Leaving only for the duration of an operator's change of primary. */
};

struct snapshot_group
{
	const struct schema_service *service;
	const struct schema_database *database;
	bool has_primary;
	uint64_t term;
	uint32_t primary;
	struct snapshot_server servers[ROUTING_MAX_SERVERS];
};

struct snapshot
{
	ck_epoch_entry_t epoch_entry;
	uint64_t generation;
	uint64_t config_revision;
	uint32_t self;
	bool is_leaving;                    /**< This VM is stopping. */
	bool refuses_connections;           /**< The planned stop is past DRAIN_ANNOUNCING. */
	struct snapshot_service **services; /**< Sorted by name. */
	size_t service_count;
	struct snapshot_member *members; /**< Sorted by id. */
	size_t member_count;
	struct snapshot_group *groups; /**< Sorted by database name. */
	size_t group_count;
};

const struct schema_service *snapshot_find_service (const struct snapshot *snapshot,
                                                    const char *name);
const struct snapshot_member *snapshot_find_member (const struct snapshot *snapshot, uint32_t id);

/** @return the group of a database, or NULL. */
const struct snapshot_group *snapshot_find_group (const struct snapshot *snapshot,
                                                  const char *database);

struct snapshot_record;

/** Holds the current snapshot for one writer and any number of reading threads. */
struct snapshot_source
{
	ck_epoch_t epoch;
	struct snapshot *current;
	struct snapshot_record *records; /**< All readers' records; the epoch keeps pointers to them. */
};

/** Registration of one reading thread. */
struct snapshot_reader
{
	struct snapshot_source *source;
	struct snapshot_record *record;
};

void snapshot_source_init (struct snapshot_source *source);

/** Frees all snapshots. No thread may use its reader any more. */
void snapshot_source_finish (struct snapshot_source *source);

/** Registers a thread. The control thread needs a reader as well, in order to publish. */
void snapshot_reader_init (struct snapshot_reader *reader, struct snapshot_source *source);

/** Ends the use of a reader. The thread must be outside of read sections. */
void snapshot_reader_finish (struct snapshot_reader *reader);

/** Begins a read section. Sections may nest.
 * @return the current snapshot, which is not NULL once the proxy runs. */
const struct snapshot *snapshot_acquire (struct snapshot_reader *reader);
void snapshot_release (struct snapshot_reader *reader);

/** Replaces the current snapshot. The old one is freed when no reader can refer to it any more. */
void snapshot_publish (struct snapshot_reader *writer, struct snapshot *snapshot);

/** Allocates a snapshot with these numbers of elements. @return NULL when out of memory. */
struct snapshot *snapshot_new (size_t services, size_t members, size_t groups);

/** Frees a snapshot and drops one reference of each of its services. */
void snapshot_free (struct snapshot *snapshot);
