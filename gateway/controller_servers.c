/**
 * @file
 * The database servers of a service as a change of its primary sees them.
 */
#include "gateway/controller_private.h"

#include "common/log.h"

#include <string.h>

enum
{
	/* A server sends its directory entry about once a second, so its role is no newer than that. */
	MANAGER_FORMER_INTERVAL_US = 500 * US_PER_MS,
	/* News of a server that drains takes up to so long, and so does a statement that has begun. */
	MANAGER_USE_MARGIN_US = 500 * US_PER_MS,
};

struct known_server *
primary_manager_find_server (const struct primary_manager *primary_manager, const char *id)
{
	return g_hash_table_lookup (primary_manager->controller->servers, id);
}

/** When a planned change has to begin at a server that has announced its end, so that it is out of use in time. */
static int64_t
find_lead_end (const struct controller *controller, const struct known_server *server)
{
	int64_t wait_ms = (int64_t) controller->boot.drain_ms - SUCCESSION_PLANNED_MS;

	return server->draining_us + wait_ms * US_PER_MS;
}

int64_t
controller_find_use_end (const struct controller *controller, const struct known_server *server)
{
	int64_t drain_us = (int64_t) controller->boot.drain_ms * US_PER_MS;

	if (server->draining_us == 0 || drain_us == 0)
		return 0;
	/* A VM that has started since does not know for how long the server has been draining. */
	if (!server->was_ready)
		return server->draining_us + drain_us / 2 - MANAGER_USE_MARGIN_US;
	return server->draining_us + drain_us - MANAGER_USE_MARGIN_US;
}

int64_t
primary_manager_wait_end (const struct primary_manager *primary_manager)
{
	const struct known_server *primary =
		primary_manager_find_server (primary_manager, primary_manager->succession.record.primary);

	if (!primary || primary->draining_us == 0 || primary->missing_us > 0)
		return 0;
	return find_lead_end (primary_manager->controller, primary);
}

size_t
primary_manager_collect_servers (const struct primary_manager *primary_manager,
                                 struct succession_server *servers)
{
	size_t listed = 0;
	size_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, primary_manager->controller->servers);
	while (listed < PRIMARY_MANAGER_MAX_SERVERS && g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *known = value;
		size_t slot;

		if (strcmp (known->entry.service, primary_manager->service) != 0 ||
		    (!known->is_listed && count == PRIMARY_MANAGER_MAX_SERVERS))
			continue;
		/* Servers that are gone stay known, and must not take the place of one that is listed. */
		slot = known->is_listed ? listed++ : count;
		if (slot < count)
			servers[MIN (count, PRIMARY_MANAGER_MAX_SERVERS - 1)] = servers[slot];
		count = MIN (count + 1, PRIMARY_MANAGER_MAX_SERVERS);
		servers[slot] = (struct succession_server){
			.id = known->entry.id,
			.is_listed = known->is_listed,
			.is_draining = known->entry.is_draining,
			.lead_end_us =
				known->draining_us > 0 ? find_lead_end (primary_manager->controller, known) : 0,
			.is_unreachable = known->is_unreachable,
			.reports_primary = known->entry.reports_primary,
			.has_status = known->has_status,
			.status_us = known->status_us,
			.is_primary = known->status.is_primary,
			.term = known->status.term,
			.received = known->status.received,
			.applied = known->status.applied,
			.address = (uint64_t) known->entry.ip << 16 | known->entry.port,
			.has_announced_end = known->left_us > 0,
			.has_left = known->has_left,
			.left_position = known->left_position,
		};
	}
	return count;
}

void
primary_manager_log_choice (const struct primary_manager *primary_manager, int64_t now_us)
{
	const struct succession *succession = &primary_manager->succession;
	struct succession_server servers[PRIMARY_MANAGER_MAX_SERVERS];
	size_t count = primary_manager_collect_servers (primary_manager, servers);

	for (size_t i = 0; i < count; i++)
		log_event (
			LOG_LEVEL_INFO, "change_candidate",
			"service=%s server=%s chosen=%d record_term=%llu listed=%d draining=%d "
			"unreachable=%d primary=%d term=%llu received=%llu.%llu diverged=%d "
			"status_age_ms=%lld",
			log_text (primary_manager->service), log_text (servers[i].id),
			strcmp (servers[i].id, succession->target) == 0,
			(unsigned long long) succession->record.term, servers[i].is_listed,
			servers[i].is_draining, servers[i].is_unreachable, servers[i].is_primary,
			(unsigned long long) servers[i].term, (unsigned long long) servers[i].received.term,
			(unsigned long long) servers[i].received.index,
			!term_history_contains (&succession->record.terms, servers[i].received),
			servers[i].has_status ? (long long) (now_us - servers[i].status_us) / US_PER_MS : -1);
}

void
primary_manager_note_departure (struct controller *controller, struct known_server *server,
                                int64_t now_us)
{
	const struct primary_manager *primary_manager =
		g_hash_table_lookup (controller->managers, server->entry.service);

	server->left_us = now_us;
	if (primary_manager && primary_manager->succession.record.change > 0)
		gateway_traffic_request_status (controller->traffic,
		                                primary_manager->succession.record.primary, 0);
}

void
primary_manager_apply_status (struct controller *controller, const struct known_server *primary)
{
	const struct primary_manager *primary_manager =
		g_hash_table_lookup (controller->managers, primary->entry.service);
	GHashTableIter iter;
	gpointer value;

	if (!primary_manager || !primary->status.is_primary ||
	    primary_manager->succession.record.is_changing ||
	    strcmp (primary_manager->succession.record.primary, primary->entry.id) != 0)
		return;
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct known_server *server = value;

		if (server->left_us == 0 || server->has_left || primary->status_us <= server->left_us ||
		    strcmp (server->entry.service, primary->entry.service) != 0)
			continue;
		server->has_left = true;
		server->left_position = primary->status.received;
	}
}

void
controller_demote_former (struct controller *controller, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!controller->is_poller ||
	    now_us - controller->former_demoted_us < MANAGER_FORMER_INTERVAL_US)
		return;
	controller->former_demoted_us = now_us;
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *server = value;
		const struct primary_manager *primary_manager =
			g_hash_table_lookup (controller->managers, server->entry.service);
		const struct succession_record *record =
			primary_manager ? &primary_manager->succession.record : NULL;

		if (!server->is_listed || !server->entry.reports_primary || server->is_unreachable ||
		    !record || record->term == 0 || strcmp (record->primary, server->entry.id) == 0)
			continue;
		log_event (LOG_LEVEL_INFO, "former_primary_demoted", "service=%s server=%s term=%llu",
		           log_text (primary_manager->service), log_text (server->entry.id),
		           (unsigned long long) record->term);
		/* A server of this term or a later one ignores it. */
		gateway_traffic_request_status (controller->traffic, server->entry.id, record->term);
	}
}
