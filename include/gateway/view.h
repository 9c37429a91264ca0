/**
 * @file
 * What the control thread knows, as the traffic thread sees it, and their messages.
 */
#pragma once

#include "common/mailbox.h"
#include "gateway/directory.h"
#include "gateway/statement.h"

/** The primary of a service, by the record in the store. */
struct primary_record
{
	char *service;
	char *primary;     /**< Server id. */
	uint64_t revision; /**< Of the record; names the change. */
	bool is_changing;  /**< A change was ordered: nobody may use the primary. */
	bool is_planned;   /**< The old primary works: running work may end first. */
};

/** Another VM that takes forwarded statements. */
struct view_member
{
	char *vm;
	char *zone;
	uint32_t ip; /**< Host byte order. */
	uint16_t port;
};

/** Immutable; the traffic thread frees it. */
struct view
{
	struct configuration *configuration;
	GArray *records;    /**< Of struct lead. */
	GArray *servers;    /**< Of struct server_entry. */
	GArray *members;    /**< Of struct view_member: living ones that are not leaving. */
	bool knows_members; /**< The list of VMs was read; before, nobody knows who owns a server. */
	uint32_t vm_count;
	bool is_isolated; /**< Callers are better off at other VMs. */
	bool
		is_out_of_rotation; /**< No new callers come, as long as another VM of the zone is ready. */
	bool is_registered;     /**< Whoever orders a change of primary asks this VM. */
	int64_t records_valid_us; /**< The leads held at that time. */
};

struct view *view_new (void);
void view_free (struct view *view);

/** What the traffic thread saw of a server; sent when it changes and when it was asked for. */
struct server_report
{
	char *server;
	char *service;
	bool is_unreachable;
	bool is_contact; /**< Only tells that the server has answered, or does not. */
	bool has_status;
	struct database_status status;
	int64_t contact_us; /**< Last answer of the server. */
	int64_t at_us;
};
