/* The platform's store: its content, its history, and copies of it. */
#include "gateway_fleet_store.h"

#include <string.h>

enum
{
	STORE_FIRST_REVISION = 3,
};

static void
item_free (void *data)
{
	struct store_item *item = data;

	if (item)
		g_free (item->value);
	g_free (item);
}

static struct store_item *
item_copy (const struct store_item *item)
{
	struct store_item *copy;

	if (!item)
		return NULL;
	copy = g_memdup2 (item, sizeof *item);
	copy->value = g_strdup (item->value);
	return copy;
}

static void
change_clear (void *data)
{
	struct store_change *change = data;

	g_free (change->key);
	g_free (change->value);
	item_free (change->old);
}

uint64_t
store_revision (const struct fleet_store *store)
{
	return STORE_FIRST_REVISION + store->changes->len;
}

const struct store_change *
store_find_change (const struct fleet_store *store, uint64_t revision)
{
	g_assert_cmpuint (revision, >, STORE_FIRST_REVISION);
	return &g_array_index (store->changes, struct store_change,
	                       revision - STORE_FIRST_REVISION - 1);
}

void
store_change (struct fleet_store *store, const char *key, const char *value, int64_t ttl_us)
{
	int64_t now_us = store->fleet->world.now_us;
	struct store_change change = {
		.at_us = now_us,
		.key = g_strdup (key),
		.value = g_strdup (value),
		.old = item_copy (g_tree_lookup (store->items, key)),
	};
	struct store_item *item;

	g_array_append_val (store->changes, change);
	if (value)
	{
		item = g_new0 (struct store_item, 1);
		item->value = g_strdup (value);
		item->revision = store_revision (store);
		item->ttl_us = ttl_us;
		item->expires_us = ttl_us > 0 ? now_us + ttl_us : 0;
		item->era = store->era;
		g_tree_replace (store->items, g_strdup (key), item);
	}
	else
		g_tree_remove (store->items, key);
	if (store->state == FLEET_STORE_UP)
		store_calls_changed (store);
}

/* The operator, the servers and the faults. */

static int
compare_keys (const void *a, const void *b, void *data)
{
	(void) data;
	return strcmp (a, b);
}

struct fleet_store *
fleet_store_new (struct gateway_fleet *fleet)
{
	struct fleet_store *store = g_new0 (struct fleet_store, 1);

	store->fleet = fleet;
	store->era = 1;
	store->items = g_tree_new_full (compare_keys, NULL, g_free, item_free);
	store->changes = g_array_new (FALSE, TRUE, sizeof (struct store_change));
	g_array_set_clear_func (store->changes, change_clear);
	store->calls = store_calls_new (fleet);
	return store;
}

void
fleet_store_free (struct fleet_store *store)
{
	store_calls_free (store->calls);
	g_tree_destroy (store->items);
	g_array_free (store->changes, TRUE);
	g_free (store);
}

void
fleet_store_set_state (struct fleet_store *store, enum fleet_store_state state)
{
	store->state = state;
	if (state != FLEET_STORE_UP)
		store_calls_break (store, state == FLEET_STORE_REFUSES);
}

void
fleet_store_restore (struct fleet_store *store, int64_t age_us)
{
	int64_t now_us = store->fleet->world.now_us;
	guint kept = store->changes->len;

	while (kept > 0 &&
	       g_array_index (store->changes, struct store_change, kept - 1).at_us > now_us - age_us)
	{
		struct store_change *change = &g_array_index (store->changes, struct store_change, --kept);

		if (change->old)
		{
			change->old->expires_us = change->old->ttl_us > 0 ? now_us + change->old->ttl_us : 0;
			g_tree_replace (store->items, g_strdup (change->key), item_copy (change->old));
		}
		else
			g_tree_remove (store->items, change->key);
	}
	if (fleet_is_logging ())
		g_printerr ("store restored: revision %llu to %u, era %llu\n",
		            (unsigned long long) store_revision (store), kept + STORE_FIRST_REVISION,
		            (unsigned long long) store->era + 1);
	g_array_set_size (store->changes, kept);
	store->era++;
}

void
fleet_store_set_loss (struct fleet_store *store, uint32_t per_mille)
{
	store->loss_per_mille = per_mille;
}

bool
fleet_store_is_up (const struct fleet_store *store)
{
	return store->state == FLEET_STORE_UP;
}

uint64_t
fleet_store_era (const struct fleet_store *store)
{
	return store->era;
}

void
fleet_store_put (struct fleet_store *store, const char *key, const char *value, int64_t ttl_us)
{
	struct store_item *item = g_tree_lookup (store->items, key);

	if (!item || item->era != store->era || strcmp (item->value, value) != 0)
		store_change (store, key, value, ttl_us);
	else
		item->expires_us = ttl_us > 0 ? store->fleet->world.now_us + ttl_us : 0;
}

const char *
fleet_store_get (const struct fleet_store *store, const char *key)
{
	const struct store_item *item = g_tree_lookup (store->items, key);

	return item ? item->value : NULL;
}

void
fleet_store_delete (struct fleet_store *store, const char *key)
{
	if (g_tree_lookup (store->items, key))
		store_change (store, key, NULL, 0);
}

static gboolean
find_expired (void *key, void *value, void *data)
{
	const struct store_item *item = value;

	if (item->expires_us > 0 && item->expires_us <= clock_now_us ())
		g_ptr_array_add (data, g_strdup (key));
	return FALSE;
}

void
fleet_store_tick (struct fleet_store *store)
{
	GPtrArray *expired = g_ptr_array_new_with_free_func (g_free);

	g_tree_foreach (store->items, find_expired, expired);
	for (guint i = 0; i < expired->len; i++)
		store_change (store, expired->pdata[i], NULL, 0);
	g_ptr_array_free (expired, TRUE);
}
