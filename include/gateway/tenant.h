/**
 * @file
 * What the traffic thread knows of a tenant, over changes of the configuration.
 */
#pragma once

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
};

/** What operators are told of a tenant. */
struct tenant_row
{
	struct tenant_state state; /**< A copy; the row owns the name. */
	uint32_t waiting;          /**< Statements in the queues of this VM, also those of other VMs. */
	uint32_t connections;      /**< Connections of this VM to servers. */
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

/** Creates an array of struct tenant_row, which frees its names. */
GArray *tenant_rows_new (void);

/** Copies the states of a table, in no order; gauges are 0. */
GArray *tenant_rows_copy (GHashTable *table);

/** @return the row with this name, or NULL. */
struct tenant_row *tenant_rows_find (GArray *rows, const char *name);

/** Sorts by operations, most first, then by name. */
void tenant_rows_sort (GArray *rows);
