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
tenant_row_clear (void *data)
{
	struct tenant_row *row = data;

	g_free (row->state.name);
}

GArray *
tenant_rows_new (void)
{
	GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct tenant_row));

	g_array_set_clear_func (rows, tenant_row_clear);
	return rows;
}

GArray *
tenant_rows_copy (GHashTable *table)
{
	GArray *rows = tenant_rows_new ();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, table);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct tenant_row row = { .state = *(const struct tenant_state *) value };

		row.state.name = g_strdup (row.state.name);
		g_array_append_val (rows, row);
	}
	return rows;
}

struct tenant_row *
tenant_rows_find (GArray *rows, const char *name)
{
	for (guint i = 0; i < rows->len; i++)
	{
		struct tenant_row *row = &g_array_index (rows, struct tenant_row, i);

		if (strcmp (row->state.name, name) == 0)
			return row;
	}
	return NULL;
}

static int
compare_rows (const void *first, const void *second)
{
	return compare_states (&((const struct tenant_row *) first)->state,
	                       &((const struct tenant_row *) second)->state);
}

void
tenant_rows_sort (GArray *rows)
{
	g_array_sort (rows, compare_rows);
}
