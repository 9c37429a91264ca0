#include "gateway/tenant.h"

#include <string.h>

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
		state->key_count = tenant->key_count;
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

/** Orders by operations, most first, then by name, so that equal ones keep their order. */
static int
compare_states (const struct tenant_state *first, const struct tenant_state *second)
{
	if (first->operations != second->operations)
		return first->operations > second->operations ? -1 : 1;
	return strcmp (first->name, second->name);
}

struct tenant_state *
tenant_table_choose (GHashTable *table, struct tenant_state *preferred)
{
	struct tenant_state *best = NULL;
	GHashTableIter iter;
	gpointer value;

	if (preferred && preferred->is_declared)
		return preferred;
	g_hash_table_iter_init (&iter, table);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct tenant_state *state = value;

		if (state->is_declared && (!best || compare_states (state, best) < 0))
			best = state;
	}
	return best;
}

void
tenant_count_refused (struct tenant_state *state, enum answer_code code)
{
	if (code == ANSWER_OVERLOADED)
		state->refused_busy++;
	else
		state->refused_other++;
}

static void
clear_copy (void *data)
{
	g_free (((struct tenant_state *) data)->name);
}

static int
compare_copies (const void *first, const void *second)
{
	return compare_states (first, second);
}

GArray *
tenant_table_copy (GHashTable *table)
{
	GArray *copies = g_array_new (FALSE, TRUE, sizeof (struct tenant_state));
	GHashTableIter iter;
	gpointer value;

	g_array_set_clear_func (copies, clear_copy);
	g_hash_table_iter_init (&iter, table);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct tenant_state copy = *(const struct tenant_state *) value;

		copy.name = g_strdup (copy.name);
		g_array_append_val (copies, copy);
	}
	g_array_sort (copies, compare_copies);
	return copies;
}
