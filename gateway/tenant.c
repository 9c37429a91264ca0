#include "gateway/tenant.h"

static void
tenant_state_free (void *data)
{
	struct tenant_state *state = data;

	g_free (state->name);
	g_free (state);
}

GHashTable *
tenant_table_new (void)
{
	return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tenant_state_free);
}

static struct tenant_state *
table_get (GHashTable *table, const char *name)
{
	struct tenant_state *state = g_hash_table_lookup (table, name);

	if (state)
		return state;
	state = g_new0 (struct tenant_state, 1);
	state->name = g_strdup (name);
	g_hash_table_insert (table, state->name, state);
	return state;
}

void
tenant_table_apply (GHashTable *table, const struct configuration *configuration)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, table);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		((struct tenant_state *) value)->is_declared = false;
	if (!configuration || !configuration->tenants)
		return;
	g_hash_table_iter_init (&iter, configuration->tenants);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct tenant *tenant = value;
		struct tenant_state *state = table_get (table, tenant->name);

		state->is_declared = true;
		state->has_cap = tenant->has_cap;
		state->rate_per_s = tenant->rate_per_s;
		state->burst = tenant->burst;
	}
}

struct tenant_state *
tenant_table_find (GHashTable *table, const char *name)
{
	struct tenant_state *state = g_hash_table_lookup (table, name);

	return state && state->is_declared ? state : NULL;
}
