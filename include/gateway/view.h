/**
 * @file
 * The snapshot of the control thread's state that the traffic thread works with, and the reports in return.
 */
#pragma once

#include "common/mailbox.h"
#include "gateway/directory.h"
#include "gateway/statement.h"

/** The primary of a service, according to its record in the store. */
struct primary_record
{
	char *service;
	char *primary;    /**< Id of the server. */
	uint64_t change;  /**< Number of the record, which identifies a change of primary. */
	bool is_changing; /**< A change has begun: no VM may use the primary. */
	bool is_planned;  /**< The old primary still works, so running statements may complete first. */
};

/** Another VM that accepts forwarded statements. */
struct view_member
{
	char *vm;
	char *zone;
	uint32_t ip; /**< Host byte order. */
	uint16_t port;
};

/** Snapshot of the control thread's state; immutable, freed by the traffic thread. */
struct view
{
	struct configuration *configuration;
	GArray *records; /**< Array of struct primary_record. */
	GArray *servers; /**< Array of struct server_entry. */
	GArray *members; /**< Array of struct view_member: live VMs that are not leaving. */
	/** The list of VMs has been read; until then the owners of servers are unknown. */
	bool knows_members;
	uint32_t vm_count;
	uint32_t listed_count; /**< VMs on the list with this one, also those that do not answer. */
	bool is_isolated;      /**< The records are about to expire, so callers should use other VMs. */
	/** The balancer sends no new callers, as long as another VM of the zone is ready. */
	bool is_out_of_rotation;
	/** This VM's record is in the store, so a change of primary waits for it. */
	bool is_registered;
	/** Latest time at which the records are known to have been current. */
	int64_t records_valid_us;
};

struct view *view_new (void);
void view_free (struct view *view);

/** State of a server as seen by the traffic thread; sent on changes and on request. */
struct server_report
{
	char *server;
	char *service;
	bool is_unreachable;
	bool is_contact; /**< Reports only the reachability, without a status. */
	bool has_status;
	struct database_status status;
	int64_t contact_us;      /**< Time of the server's last answer. */
	uint64_t slots_released; /**< Slots of statements whose answers were lost, since the start. */
	int64_t at_us;
};
