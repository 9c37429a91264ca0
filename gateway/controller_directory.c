/**
 * @file
 * The directory of servers, as the control thread knows it.
 */
#include "gateway/controller_private.h"

#include "common/log.h"
#include "platform/documents.h"

#include <string.h>

enum
{
	/* After this time a missing entry counts as removed. Covers the time that the platform grants after the store's
	 * return, and some delay; well below the time after which a leaving server must be out of use. */
	CONTROL_MISSING_US = 3 * US_PER_S,
	/* Longest silence of the watch; well below the time after which a leaving server must be out of use. */
	CONTROL_DIRECTORY_WATCH_MS = 4000,
};

static void
mark_missing (struct controller *controller, const char *id, int64_t now_us)
{
	struct known_server *server = g_hash_table_lookup (controller->servers, id);

	if (!server || !server->is_listed || server->missing_us > 0)
		return;
	log_event (LOG_LEVEL_INFO, "server_missing", "server=%s service=%s", log_text (id),
	           log_text (server->entry.service));
	server->missing_us = now_us;
}

/** Entries expire while the store is down; those of live servers are back about 2 s after its return. */
void
controller_unlist_expired (struct controller *controller, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (controller->store_ok_us == 0)
		return;
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct known_server *server = value;
		int64_t since_us = MAX (server->missing_us, controller->store_ok_us);

		if (!server->is_listed || server->missing_us == 0 || now_us - since_us < CONTROL_MISSING_US)
			continue;
		log_event (LOG_LEVEL_INFO, "server_gone", "server=%s service=%s missing_ms=%lld",
		           log_text (server->entry.id), log_text (server->entry.service),
		           (long long) (now_us - server->missing_us) / US_PER_MS);
		server->is_listed = false;
		controller->is_view_dirty = true;
		if (server->entry.is_draining)
			primary_manager_note_departure (controller, server, now_us);
	}
}

static bool
entry_differs (const struct server_entry *a, const struct server_entry *b)
{
	return a->ip != b->ip || a->port != b->port || a->is_draining != b->is_draining ||
	       a->reports_primary != b->reports_primary || a->slots != b->slots ||
	       strcmp (a->service, b->service) != 0 || strcmp (a->zone, b->zone) != 0;
}

static void
apply_server_entry (struct controller *controller, const struct platform_pair *pair, int64_t now_us)
{
	struct known_server *server;
	struct server_entry entry;
	const char *id = pair->key + strlen (documents_server_prefix);

	if (pair->is_deleted)
	{
		mark_missing (controller, id, now_us);
		return;
	}
	if (documents_decode_server (pair, &entry) < 0)
	{
		log_event (LOG_LEVEL_INFO, "server_entry_ignored", "key=%s", log_text (pair->key));
		return;
	}
	server = g_hash_table_lookup (controller->servers, entry.id);
	if (server && server_entry_is_older (&entry, &server->entry))
	{
		/* From the store's older copy, until the server writes again. A server that left stays out of use. */
		log_event (LOG_LEVEL_INFO, "server_entry_older",
		           "server=%s sequence=%llu known=%llu listed=%d", log_text (entry.id),
		           (unsigned long long) entry.sequence, (unsigned long long) server->entry.sequence,
		           server->is_listed);
		server_entry_clear (&entry);
		return;
	}
	if (!server)
	{
		server = g_new0 (struct known_server, 1);
		g_hash_table_insert (controller->servers, g_strdup (entry.id), server);
	}
	if (!server->is_listed || entry_differs (&server->entry, &entry))
	{
		log_event (LOG_LEVEL_INFO, "server_listed", "server=%s service=%s draining=%d primary=%d",
		           log_text (entry.id), log_text (entry.service), entry.is_draining,
		           entry.reports_primary);
		controller->is_view_dirty = true;
	}
	server_entry_clear (&server->entry);
	server->entry = entry;
	server->was_ready |= !entry.is_draining;
	if (!entry.is_draining)
		server->draining_us = 0;
	else if (server->draining_us == 0)
		server->draining_us = now_us;
	server->is_listed = true;
	server->missing_us = 0;
	server->left_us = 0;
	server->has_left = false;
}

static void
retry_directory (struct controller *controller)
{
	loop_set_timer (&controller->loop, &controller->directory_timer,
	                controller_next_retry_us (controller, clock_now_us ()));
}

/** Applies the entries of a list or of a watch. @return whether the answer is one of the store's present era. */
static bool
apply_directory_answer (struct controller *controller, const struct platform_answer *answer)
{
	if (answer->error < 0 || !controller_set_era (controller, answer->era, clock_now_us ()))
	{
		retry_directory (controller);
		return false;
	}
	for (size_t i = 0; i < answer->count; i++)
		apply_server_entry (controller, &answer->pairs[i], clock_now_us ());
	controller_flush_view (controller);
	return true;
}

static void
handle_directory_event (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	if (!apply_directory_answer (controller, answer))
		return;
	for (size_t i = 0; i < answer->count; i++)
	{
		struct store_position at = { answer->era, answer->pairs[i].revision };

		if (store_position_compare (at, controller->directory_at) > 0)
			controller->directory_at = at;
	}
}

/** Marks servers that are not in a complete list of entries as missing. */
static void
mark_absent_servers (struct controller *controller, const struct platform_answer *answer)
{
	GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer id;

	for (size_t i = 0; i < answer->count; i++)
		g_hash_table_add (present,
		                  (char *) answer->pairs[i].key + strlen (documents_server_prefix));
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, &id, NULL))
		if (!g_hash_table_contains (present, id))
			mark_missing (controller, id, clock_now_us ());
	g_hash_table_destroy (present);
}

static void
handle_directory_range (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	controller->is_reading_directory = false;
	if (answer->error == 0 && controller_set_era (controller, answer->era, clock_now_us ()))
	{
		mark_absent_servers (controller, answer);
		if (!controller->has_directory)
			controller->directory_us = clock_now_us ();
		controller->has_directory = true;
		/* Entries of later pages may be newer, but do not show that the earlier pages are. */
		controller->directory_at = (struct store_position){ answer->era, answer->revision };
	}
	if (!apply_directory_answer (controller, answer) || controller->is_following)
		return;
	if (controller_is_starting (controller))
		loop_set_timer (&controller->loop, &controller->watch_timer,
		                controller->started_us + CONTROL_FIRST_WATCH_US);
	else if (controller->platform.ops->watch (&controller->platform, documents_server_prefix,
	                                          answer->revision, CONTROL_DIRECTORY_WATCH_MS,
	                                          handle_directory_event, controller) < 0)
		retry_directory (controller);
}

void
controller_read_directory (struct controller *controller)
{
	if (controller->is_reading_directory)
		return;
	controller->is_reading_directory =
		controller->platform.ops->range (&controller->platform, documents_server_prefix, 0,
	                                     handle_directory_range, controller) == 0;
	if (!controller->is_reading_directory)
		retry_directory (controller);
}

void
controller_handle_directory_timer (struct loop_timer *timer, int64_t now_us)
{
	controller_read_directory (timer->data);
}
