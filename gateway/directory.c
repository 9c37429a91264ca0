#include "gateway/directory.h"

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
