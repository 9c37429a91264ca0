#include "gateway/directory.h"

#include <string.h>

void
route_free (struct route *route)
{
	g_free (route->database);
	g_free (route->service);
	g_free (route);
}

void
database_service_free (struct database_service *service)
{
	g_free (service->name);
	g_free (service);
}

struct configuration *
configuration_new (void)
{
	struct configuration *configuration = g_new0 (struct configuration, 1);

	configuration->references = 1;
	configuration->routes =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) route_free);
	configuration->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
	                                                 (GDestroyNotify) database_service_free);
	return configuration;
}

struct key_digest
key_digest_of (const char *key, size_t length)
{
	GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
	struct key_digest digest;
	gsize size = sizeof digest.bytes;

	g_checksum_update (checksum, (const guchar *) key, (gssize) length);
	g_checksum_get_digest (checksum, digest.bytes, &size);
	g_checksum_free (checksum);
	return digest;
}

static guint
hash_digest (const void *data)
{
	const struct key_digest *digest = data;
	guint hash;

	memcpy (&hash, digest->bytes, sizeof hash);
	return hash;
}

/** Takes the same time wherever the digests differ. */
static gboolean
equal_digests (const void *a, const void *b)
{
	const struct key_digest *first = a;
	const struct key_digest *second = b;
	uint8_t difference = 0;

	for (size_t i = 0; i < KEY_DIGEST_BYTES; i++)
		difference |= first->bytes[i] ^ second->bytes[i];
	return difference == 0;
}

static void
tenant_free (void *data)
{
	struct tenant *tenant = data;

	g_free (tenant->name);
	g_free (tenant);
}

void
configuration_enable_tenants (struct configuration *configuration)
{
	if (configuration->tenants)
		return;
	configuration->tenants = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tenant_free);
	configuration->keys = g_hash_table_new_full (hash_digest, equal_digests, g_free, NULL);
}

void
configuration_add_tenant (struct configuration *configuration, struct tenant *tenant)
{
	g_hash_table_replace (configuration->tenants, tenant->name, tenant);
}

void
configuration_add_key (struct configuration *configuration, struct tenant *tenant, const char *key,
                       size_t length)
{
	struct key_digest digest = key_digest_of (key, length);

	if (g_hash_table_contains (configuration->keys, &digest))
		return;
	g_hash_table_insert (configuration->keys, g_memdup2 (&digest, sizeof digest), tenant);
	tenant->key_count++;
}

const struct tenant *
configuration_find_tenant (const struct configuration *configuration,
                           const struct key_digest *digest)
{
	return configuration->keys ? g_hash_table_lookup (configuration->keys, digest) : NULL;
}

struct configuration *
configuration_hold (struct configuration *configuration)
{
	g_atomic_int_inc (&configuration->references);
	return configuration;
}

void
configuration_release (struct configuration *configuration)
{
	if (!configuration || !g_atomic_int_dec_and_test (&configuration->references))
		return;
	g_hash_table_destroy (configuration->routes);
	g_hash_table_destroy (configuration->services);
	if (configuration->keys)
		g_hash_table_destroy (configuration->keys);
	if (configuration->tenants)
		g_hash_table_destroy (configuration->tenants);
	g_free (configuration);
}

bool
server_entry_is_older (const struct server_entry *entry, const struct server_entry *known)
{
	/* Start times are not compared, since the clocks of servers may be set back. */
	return entry->born_ms == known->born_ms && entry->born_ms > 0 && entry->sequence > 0 &&
	       entry->sequence < known->sequence;
}

void
server_entry_clear (struct server_entry *entry)
{
	g_free (entry->id);
	g_free (entry->service);
	g_free (entry->zone);
	*entry = (struct server_entry){ 0 };
}

void
server_entry_copy (struct server_entry *to, const struct server_entry *from)
{
	*to = *from;
	to->id = g_strdup (from->id);
	to->service = g_strdup (from->service);
	to->zone = g_strdup (from->zone);
}
