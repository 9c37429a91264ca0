/* A model of the traffic thread: probes servers, quiesces services and writes through the primaries. */
#include "gateway_fleet_traffic.h"

#include "platform/documents.h"

#include <string.h>

enum
{
	TRAFFIC_TICK_US = 20 * US_PER_MS,
	TRAFFIC_PROBE_US = 300 * US_PER_MS, /* Interval of the reads at each server. */
	/* An attempt to connect ends after this time; its first segment is sent again only after 1 s. */
	TRAFFIC_CONNECT_US = 1050 * US_PER_MS,
	TRAFFIC_QUIESCE_US = 800 * US_PER_MS,
	TRAFFIC_LEAVE_US = 100 * US_PER_MS,
};

static void
traffic_server_free (void *data)
{
	struct traffic_server *server = data;

	g_free (server->id);
	g_free (server);
}

struct gateway_traffic *
fleet_traffic_new (int vm)
{
	struct gateway_traffic *traffic = g_new0 (struct gateway_traffic, 1);

	traffic->vm = vm;
	traffic->servers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, traffic_server_free);
	for (int i = 0; i < FLEET_MAX_SERVICES; i++)
		traffic->services[i].held = g_array_new (FALSE, FALSE, sizeof (struct held_commit));
	return traffic;
}

struct gateway_traffic_turns
gateway_traffic_get_turns (const struct gateway_traffic *traffic)
{
	(void) traffic;
	return (struct gateway_traffic_turns){ .turned_us = clock_now_us () };
}

void
gateway_traffic_free (struct gateway_traffic *traffic)
{
	view_free (traffic->view);
	g_hash_table_destroy (traffic->servers);
	for (int i = 0; i < FLEET_MAX_SERVICES; i++)
	{
		g_free (traffic->services[i].primary);
		g_array_free (traffic->services[i].held, TRUE);
	}
	g_free (traffic);
}

static bool
has_authority (const struct gateway_traffic *traffic, int64_t now_us)
{
	return traffic->view && traffic->view->is_registered &&
	       now_us - traffic->records_valid_us < SUCCESSION_AUTHORITY_MS * US_PER_MS;
}

const char *
fleet_traffic_primary (const struct gateway_traffic *traffic, int service, int64_t now_us)
{
	const struct traffic_service *state = &traffic->services[service];

	return !state->is_changing && has_authority (traffic, now_us) ? state->primary : NULL;
}

int64_t
fleet_traffic_acknowledged_us (const struct gateway_traffic *traffic, int service)
{
	return traffic->services[service].acknowledged_us;
}

/* Services. */

static void
quiesce (struct gateway_traffic *traffic, int service)
{
	struct traffic_service *state = &traffic->services[service];

	if (!state->is_changing || state->is_quiesced)
		return;
	if (!state->is_planned || clock_now_us () - state->adopted_us > TRAFFIC_QUIESCE_US)
		traffic_close_all (state);
	if (state->in_flight > 0)
		return;
	state->is_quiesced = true;
	traffic->events->handle_quiesced (traffic->events_data, gateway_fleet->services[service].name,
	                                  state->change);
}

static void
apply_record (struct gateway_traffic *traffic, int service, const struct primary_record *record)
{
	struct traffic_service *state = &traffic->services[service];
	const struct traffic_server *known =
		record ? g_hash_table_lookup (traffic->servers, record->primary) : NULL;
	const char *primary = known ? known->id : NULL;
	uint64_t change = record ? record->change : 0;
	bool is_other = g_strcmp0 (state->primary, primary) != 0;

	if (state->change == change && !is_other)
		return;
	state->is_changing = record && record->is_changing;
	state->is_planned = record && record->is_planned;
	if (state->change != change)
	{
		state->is_quiesced = false;
		state->adopted_us = clock_now_us ();
		state->change = change;
		g_array_set_size (state->held, 0);
	}
	if (is_other)
	{
		traffic_close_all (state);
		g_free (state->primary);
		state->primary = g_strdup (primary);
	}
	quiesce (traffic, service);
}

static int
find_service (const char *name)
{
	for (int i = 0; i < gateway_fleet->service_count; i++)
		if (strcmp (gateway_fleet->services[i].name, name) == 0)
			return i;
	return -1;
}

static void
apply_servers (struct gateway_traffic *traffic)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, traffic->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		((struct traffic_server *) value)->is_listed = false;
	for (guint i = 0; i < traffic->view->servers->len; i++)
	{
		const struct server_entry *entry =
			&g_array_index (traffic->view->servers, struct server_entry, i);
		struct traffic_server *server = g_hash_table_lookup (traffic->servers, entry->id);

		if (!server)
		{
			server = g_new0 (struct traffic_server, 1);
			server->id = g_strdup (entry->id);
			server->service = find_service (entry->service);
			server->is_requested = true;
			g_hash_table_insert (traffic->servers, server->id, server);
		}
		server->is_listed = true;
	}
}

static void
apply_records_valid (struct gateway_traffic *traffic, int64_t records_valid_us)
{
	if (records_valid_us <= traffic->records_valid_us)
		return;
	traffic->records_valid_us = records_valid_us;
	for (int i = 0; i < gateway_fleet->service_count; i++)
	{
		GArray *held = traffic->services[i].held;

		for (guint j = held->len; j-- > 0;)
		{
			struct held_commit commit = g_array_index (held, struct held_commit, j);

			if (commit.answered_us - records_valid_us >= SUCCESSION_AUTHORITY_MS * US_PER_MS)
				continue;
			g_array_remove_index (held, j);
			traffic_acknowledge (traffic, i, &commit.commit);
		}
	}
}

static void
tick_server (struct gateway_traffic *traffic, struct traffic_server *server)
{
	int64_t now_us = clock_now_us ();
	int64_t limit_us = server->failed_us > 0 ? TRAFFIC_CONNECT_US : TRAFFIC_TIMEOUT_US;

	if (server->probe_us > 0)
	{
		if (now_us - server->probe_us > limit_us)
			traffic_handle_failed (traffic, server);
		return;
	}
	if (server->is_listed && now_us >= server->next_probe_us &&
	    (server->is_requested || server->demote_term > 0 || server->failed_us > 0 ||
	     now_us - server->answered_us > TRAFFIC_PROBE_US))
		traffic_probe (traffic, server);
}

static void
tick_service (struct gateway_traffic *traffic, int service)
{
	struct gateway_fleet *fleet = gateway_fleet;
	struct traffic_service *state = &traffic->services[service];
	struct traffic_server *primary =
		state->primary ? g_hash_table_lookup (traffic->servers, state->primary) : NULL;
	int64_t now_us = clock_now_us ();

	if (primary && state->in_flight > 0 && now_us - state->oldest_write_us > TRAFFIC_TIMEOUT_US)
	{
		traffic_close_all (state);
		traffic_handle_failed (traffic, primary);
	}
	quiesce (traffic, service);
	if (now_us < state->next_write_us)
		return;
	state->next_write_us =
		now_us + fleet->write_interval_us / 2 + fleet_random (fleet, fleet->write_interval_us);
	if (primary && primary->failed_us == 0 && fleet_traffic_primary (traffic, service, now_us))
		traffic_send_write (traffic, service);
}

static void
handle_tick (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	int vm = *(const int *) payload;
	struct gateway_traffic *traffic = fleet->vms[vm].traffic;
	GHashTableIter iter;
	gpointer value;

	for (int i = 0; i < fleet->service_count; i++)
		tick_service (traffic, i);
	g_hash_table_iter_init (&iter, traffic->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		tick_server (traffic, value);
	virtual_schedule (&fleet->world, vm, fleet->world.now_us + TRAFFIC_TICK_US,
	                  (struct virtual_handler){ handle_tick, fleet }, &vm, sizeof vm);
}

int
gateway_traffic_start (struct gateway_traffic *traffic, const struct gateway_traffic_events *events,
                       void *data)
{
	traffic->events = events;
	traffic->events_data = data;
	virtual_schedule (&gateway_fleet->world, traffic->vm,
	                  clock_now_us () + fleet_random (gateway_fleet, TRAFFIC_TICK_US),
	                  (struct virtual_handler){ handle_tick, gateway_fleet }, &traffic->vm,
	                  sizeof traffic->vm);
	return 0;
}

/* Calls of the control thread. The real ones pass a message, too; its delay is that of the tick or of the answer. */

void
gateway_traffic_send_view (struct gateway_traffic *traffic, struct view *view)
{
	view_free (traffic->view);
	traffic->view = view;
	apply_servers (traffic);
	for (int i = 0; i < gateway_fleet->service_count; i++)
	{
		const struct primary_record *found = NULL;

		for (guint j = 0; j < view->records->len; j++)
		{
			const struct primary_record *record =
				&g_array_index (view->records, struct primary_record, j);

			if (strcmp (record->service, gateway_fleet->services[i].name) == 0)
				found = record;
		}
		apply_record (traffic, i, found);
	}
	apply_records_valid (traffic, view->records_valid_us);
}

void
gateway_traffic_send_records_valid (struct gateway_traffic *traffic, int64_t records_valid_us)
{
	apply_records_valid (traffic, records_valid_us);
}

void
gateway_traffic_request_status (struct gateway_traffic *traffic, const char *server,
                                uint64_t demote_term)
{
	struct traffic_server *known = g_hash_table_lookup (traffic->servers, server);

	if (!known)
		return;
	known->is_requested = true;
	if (demote_term > 0)
		known->demote_term = demote_term;
	tick_server (traffic, known);
}

void
gateway_traffic_request_contact (struct gateway_traffic *traffic, const char *server)
{
	struct traffic_server *known = g_hash_table_lookup (traffic->servers, server);
	struct server_report *report;

	if (!known)
		return;
	report = traffic_report_new (known);
	report->is_contact = true;
	traffic->events->handle_report (traffic->events_data, report);
	if (known->failed_us == 0 && known->probe_us == 0 &&
	    clock_now_us () - known->answered_us > TRAFFIC_PROBE_US)
		known->is_requested = true;
}

static void
handle_leave (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct gateway_traffic *traffic = fleet->vms[*(const int *) payload].traffic;

	traffic->events->handle_leave_complete (traffic->events_data);
}

void
gateway_traffic_send_leave (struct gateway_traffic *traffic)
{
	virtual_schedule (&gateway_fleet->world, traffic->vm, clock_now_us () + TRAFFIC_LEAVE_US,
	                  (struct virtual_handler){ handle_leave, gateway_fleet }, &traffic->vm,
	                  sizeof traffic->vm);
}
