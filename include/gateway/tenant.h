/**
 * @file
 * What the traffic thread knows of a tenant, over changes of the configuration.
 */
#pragma once

#include "decision/tenant_pool.h"
#include "gateway/directory.h"
#include "gateway/statement.h"

#include <glib.h>

/** Counts of a tenant at this VM, since the process started. */
struct tenant_state
{
	char *name;
	bool is_declared; /**< The configuration in force has it. */
	bool has_cap;
	uint32_t key_count;
	uint32_t rate_per_s;
	uint32_t burst;
	uint64_t operations;   /**< Single statements and transactions of callers of this VM. */
	uint64_t refused_busy; /**< Answered BUSY, for whatever cause. */
	uint64_t
		refused_cap; /**< Answered BUSY because of the tenant's cap; part of @c refused_busy. */
	uint64_t refused_other;      /**< Answered with another code that promises that nothing ran. */
	uint64_t connections_opened; /**< Connections to servers that the servers have accepted. */
	/* Gauges, as of the last report. */
	uint32_t
		waiting; /**< Statements in the queues of this VM, also those that other VMs forward. */
	uint32_t connections;        /**< Open connections of this VM to servers. */
	struct tenant_demand demand; /**< Statements of callers of this VM. */
	uint32_t cap_index;          /**< Index of its usage cap, from 1; 0: it has had none. */
	uint32_t cap_unlogged;       /**< Operations refused by the cap since the last log line. */
	int64_t cap_logged_us;       /**< Time of that line. */
};

/** Creates a table of struct tenant_state by name. */
GHashTable *tenant_table_new (void);

/** Takes over the tenants of a configuration. States of tenants that it lacks are kept, since connections name them. */
void tenant_table_apply (GHashTable *table, const struct configuration *configuration);

/** @return the state of a declared tenant, or NULL. */
struct tenant_state *tenant_table_find (GHashTable *table, const char *name);

/**
 * @param preferred may be NULL.
 * @return @p preferred if it is declared, otherwise the declared tenant with most operations, or NULL if there is none.
 */
struct tenant_state *tenant_table_choose (GHashTable *table, struct tenant_state *preferred);

/** Counts an operation that was answered with a code that promises that nothing ran. */
void tenant_count_refused (struct tenant_state *state, enum answer_code code);

/**
 * Copies the states of a table, those with most operations first, then by name.
 * @return array of struct tenant_state, which owns its names; for g_array_unref().
 */
GArray *tenant_table_copy (GHashTable *table);
