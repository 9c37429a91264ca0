/**
 * @file
 * What the traffic thread knows of a tenant, over changes of the configuration.
 */
#pragma once

#include "gateway/directory.h"

#include <glib.h>

struct tenant_state
{
	char *name;
	bool is_declared; /**< The configuration in force has it. */
	bool has_cap;
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t cap_index;    /**< Index of its usage cap, from 1; 0: it has had none. */
	uint32_t cap_refused;  /**< Operations refused by the cap since the last log line. */
	int64_t cap_logged_us; /**< Time of that line. */
};

/** Creates a table of struct tenant_state by name. */
GHashTable *tenant_table_new (void);

/** Takes over the tenants of a configuration. States of tenants that it lacks are kept, since connections name them. */
void tenant_table_apply (GHashTable *table, const struct configuration *configuration);

/** @return the state of a declared tenant, or NULL. */
struct tenant_state *tenant_table_find (GHashTable *table, const char *name);
