#include "gateway/traffic_private.h"

#include "common/log.h"
#include "decision/succession.h"

enum
{
	/* Before a planned change of primary, running statements may complete for this long. */
	SERVICE_QUIESCE_US = 800 * US_PER_MS,
	/* Reads prefer servers of the VM's zone: traffic between zones is slow and expensive. */
	SERVICE_CROSS_ZONE_COST_US = 12 * US_PER_MS,
	/* Reads prefer replicas, which leaves the primary to statements that need it. */
	SERVICE_PRIMARY_COST_US = 6 * US_PER_MS,
	SERVICE_OVERLOADED_COST_US = 30 * US_PER_MS,
	/* A read waits for a server of its zone for its target latency divided by this. */
	SERVICE_ZONE_WAIT_DIVISOR = 12,
	/* Measured time until a new connection to a server may be used. */
	SERVICE_CONNECT_COST_US = 12 * US_PER_MS,
	/* While replicas lag, a VM forwards at most this many reads for each slot to the primary's owner. With one for each slot,
	 * late reads at the owner keep back new ones that could be in time. */
	SERVICE_PRIMARY_READS_FACTOR = 4,
	/* Not so early after a restart or a change of primary: the replicas can serve the reads a little later. */
	SERVICE_SETTLED_US = 1000 * US_PER_MS,
	/* Least interval of two sorts, for each queued request, which bounds their share of a VM with 0.12 of a core. */
	SERVICE_SORT_US = 50,
	/* A replica whose applied position is older than this may have caught up, so it is tried again. */
	SERVICE_POSITION_AGE_US = 40 * US_PER_MS,
};

struct service *
service_get (struct gateway_traffic *traffic, const char *name)
{
	struct service *service = g_hash_table_lookup (traffic->services, name);

	if (service)
		return service;
	service = g_new0 (struct service, 1);
	service->name = g_strdup (name);
	service->traffic = traffic;
	service->number = g_hash_table_size (traffic->services) + 1;
	service->servers = g_ptr_array_new ();
	position_history_init (&service->history);
	g_queue_init (&service->waiting);
	service->shares = g_hash_table_new_full (NULL, NULL, NULL, g_free);
	g_hash_table_insert (traffic->services, service->name, service);
	return service;
}

void
service_free (struct service *service)
{
	g_ptr_array_free (service->servers, TRUE);
	g_queue_clear (&service->waiting);
	g_hash_table_destroy (service->shares);
	g_list_free (service->held_commits);
	g_free (service->name);
	g_free (service);
}

/** Whether the server drains and must be out of use by now: it leaves soon, and another service may get its address. */
static bool
is_past_use (const struct server *server, int64_t now_us)
{
	return server->use_end_us > 0 && now_us >= server->use_end_us;
}

bool
service_can_use_primary (const struct service *service, int64_t now_us)
{
	return service->primary && !service->is_changing && !is_past_use (service->primary, now_us) &&
	       gateway_traffic_has_authority (service->traffic, now_us);
}

static int
compare_waiting (const void *a, const void *b, void *data)
{
	const struct session *first = a;
	const struct session *second = b;

	(void) data;
	return work_order_compare (&first->request.order, &second->request.order);
}

/** Sorts the queue again, since the order changes as time passes and as work starts. */
static void
sort_waiting (struct service *service, int64_t now_us)
{
	if (service->waiting.length < 2 ||
	    now_us - service->sorted_us < (int64_t) service->waiting.length * SERVICE_SORT_US)
		return;
	service->sorted_us = now_us;
	for (GList *link = service->waiting.head; link; link = link->next)
	{
		struct session *session = link->data;

		session->request.order = service_work_order (session, now_us);
	}
	g_queue_sort (&service->waiting, compare_waiting, NULL);
}

void
service_enqueue (struct service *service, struct session *session)
{
	session->request.is_queued = true;
	session->request.order = service_work_order (session, clock_now_us ());
	g_queue_insert_sorted (&service->waiting, session, compare_waiting, NULL);
}

void
service_remove (struct service *service, struct session *session)
{
	if (!session->request.is_queued)
		return;
	session->request.is_queued = false;
	g_queue_remove (&service->waiting, session);
}

/** Whether the server may serve reads that need @p position (NULL: unknown, so only the primary may). */
static bool
server_may_read (const struct server *server, const struct log_position *position, int64_t now_us)
{
	const struct service *service = server->service;

	if (!server->is_listed || server->failed_us > 0)
		return false;
	if (service->primary == server)
		return service_can_use_primary (service, now_us);
	if (server->is_draining || !position)
		return false;
	if (log_position_covers (server->applied, *position))
		return true;
	/* One read tests whether a lagging replica has caught up; more would only be refused as well. */
	if (server->is_behind && (server->probe_read || now_us < server->behind_until_us))
		return false;
	return now_us - server->applied_us > SERVICE_POSITION_AGE_US;
}

/** As service_may_run(), with the position that a read of the session needs (NULL: unknown). */
static bool
may_run_at (const struct session *session, const struct server *server,
            const struct log_position *position, int64_t now_us)
{
	const struct service *service = server->service;

	/* A transaction stays on the connection that it began on. */
	if (session->state != TRANSACTION_NONE && session->is_started)
		return session->connection && session->connection->server == server;
	/* Questions of other VMs for the status go on. */
	if (session->is_relay)
		return server == session->relay_server && server->is_listed &&
		       (session->takes_any_tenant || !is_past_use (server, now_us));
	if (session_needs_primary (session))
		return server == service->primary && server->failed_us == 0 &&
		       service_can_use_primary (service, now_us);
	return server_may_read (server, position, now_us);
}

bool
service_may_run (const struct session *session, const struct server *server, int64_t now_us)
{
	struct log_position position;
	bool has_position = !session->is_relay && session_find_required_position (session, &position);

	return may_run_at (session, server, has_position ? &position : NULL, now_us);
}

static int64_t
server_cost_us (const struct server *server, int64_t now_us)
{
	int64_t cost_us = server->latency_us * (server->running_count + 1) / server->slots;

	if (!server->is_same_zone)
		cost_us += SERVICE_CROSS_ZONE_COST_US;
	if (server->service->primary == server)
		cost_us += SERVICE_PRIMARY_COST_US;
	if (now_us < server->overloaded_until_us)
		cost_us += SERVICE_OVERLOADED_COST_US;
	return cost_us + server_reported_wait_us (server, now_us);
}

/** Whether a read may use a server of another zone; at first it waits for a busy server of its own. */
static bool
may_cross_zones (const struct service *service, const struct session *session,
                 const struct log_position *position, int64_t now_us)
{
	int64_t patience_us =
		(int64_t) session->target_latency_ms * US_PER_MS / SERVICE_ZONE_WAIT_DIVISOR;

	if (now_us - session->request.arrived_us >= patience_us)
		return true;
	for (guint i = 0; i < service->servers->len; i++)
	{
		const struct server *server = service->servers->pdata[i];

		if (server->is_same_zone && may_run_at (session, server, position, now_us))
			return false;
	}
	return true;
}

/** Finds the replica that all VMs prefer for reads of the session's tenant, or NULL. */
static const struct server *
find_preferred (const struct service *service, const struct session *session,
                const struct log_position *position, int64_t now_us)
{
	const struct server *preferred = NULL;
	uint64_t best_rank = 0;

	for (guint i = 0; session->tenant && i < service->servers->len; i++)
	{
		const struct server *server = service->servers->pdata[i];
		uint64_t rank = tenant_pool_rank (session->tenant->name, server->id);

		if (server == service->primary || (preferred && rank <= best_rank) ||
		    !may_run_at (session, server, position, now_us))
			continue;
		preferred = server;
		best_rank = rank;
	}
	return preferred;
}

/** Whether a connection to the server itself is being opened for the session's tenant. */
static bool
is_opening (struct server *server, const struct session *session, int64_t now_us)
{
	return server_has_tenants (server) && !server_uses_relay (server) &&
	       server_pool_is_opening (server, session->tenant, now_us);
}

/** Chooses a connection for a read. @return NULL when no server can take it now. */
static struct connection *
choose_for_read (struct service *service, struct session *session, int64_t now_us)
{
	struct log_position position;
	bool has_position = session_find_required_position (session, &position);
	bool crosses_zones =
		may_cross_zones (service, session, has_position ? &position : NULL, now_us);
	const struct server *preferred =
		find_preferred (service, session, has_position ? &position : NULL, now_us);
	struct connection *best = NULL;
	struct server *to_open = NULL;
	int64_t best_us = INT64_MAX;
	int64_t to_open_us = INT64_MAX;

	for (guint i = 0; i < service->servers->len; i++)
	{
		struct server *server = service->servers->pdata[i];
		int64_t cost_us = server_cost_us (server, now_us);
		struct connection *connection;

		if (!may_run_at (session, server, has_position ? &position : NULL, now_us))
			continue;
		if (!server_has_capacity (server, now_us) || (!crosses_zones && !server->is_same_zone))
			continue;
		/* After a restart no position is known, and the replicas have not applied the first one yet. Without this check
		 * all waiting reads would queue at the primary's owner and stay there when the replicas can serve them. */
		if (service->primary == server &&
		    server->running_count >=
		        server->slots * (now_us - service->record_adopted_us > SERVICE_SETTLED_US
		                             ? SERVICE_PRIMARY_READS_FACTOR
		                             : 1))
			continue;
		connection = server_find_idle (server, session);
		if (server == preferred)
			cost_us -=
				tenant_pool_preference_us (tenant_demand_at (&session->tenant->demand, now_us));
		if (!connection && server_has_tenants (server) && !server_uses_relay (server))
			cost_us += SERVICE_CONNECT_COST_US;
		if (connection && cost_us < best_us)
		{
			best = connection;
			best_us = cost_us;
		}
		if (!connection && cost_us < to_open_us &&
		    (server_can_open (server, session->tenant, now_us) ||
		     is_opening (server, session, now_us)))
		{
			to_open = server;
			to_open_us = cost_us;
		}
	}
	if (!best && to_open)
		server_open (to_open, session->tenant, now_us);
	return best;
}

/**
 * Opens a connection for a tenant that has none while all slots are in use. Only for the requests that the next free slots
 * are for: later ones may be refused before their turn, and a new connection takes time of a slot.
 */
static void
open_in_advance (struct server *server, const struct session *session, int64_t now_us)
{
	if (server_has_tenants (server) && server->service->offered_count < server->slots)
		server_open_direct (
			server, session->takes_any_tenant ? server_default_tenant (server) : session->tenant,
			now_us);
}

static struct connection *
choose_primary (struct service *service, struct session *session, int64_t now_us)
{
	struct server *primary = service->primary;
	struct connection *connection;

	if (!primary || !service_may_run (session, primary, now_us))
		return NULL;
	if (!server_has_capacity (primary, now_us))
	{
		open_in_advance (primary, session, now_us);
		return NULL;
	}
	connection = server_find_idle (primary, session);
	if (!connection && server_can_open (primary, session->tenant, now_us))
		server_open (primary, session->tenant, now_us);
	return connection;
}

/** Chooses a connection for a forwarded statement, whose server is given. */
static struct connection *
choose_for_relay (struct session *session, int64_t now_us)
{
	struct server *server = session->relay_server;
	struct connection *connection;

	if (!service_may_run (session, server, now_us))
		return NULL;
	/* This VM may forward its own statements for the server, and run those of VMs that do not reach the owner. */
	if (server_direct_running (server) >= server->slots)
	{
		open_in_advance (server, session, now_us);
		return NULL;
	}
	connection = server_find_idle (server, session);
	if (!connection)
		server_open_direct (
			server, session->takes_any_tenant ? server_default_tenant (server) : session->tenant,
			now_us);
	return connection;
}

static struct connection *
choose_connection (struct service *service, struct session *session, int64_t now_us)
{
	if (session->is_relay)
		return choose_for_relay (session, now_us);
	if (session_needs_primary (session))
		return choose_primary (service, session, now_us);
	return choose_for_read (service, session, now_us);
}

/** Offers each request of the queue once. Connections of sessions are closed from the loop only, so no other entry goes. */
static void
dispatch_once (struct service *service, int64_t now_us)
{
	GList *next;

	sort_waiting (service, now_us);
	service->offered_count = 0;
	for (guint i = 0; i < service->servers->len; i++)
		((struct server *) service->servers->pdata[i])->pool.is_current = false;
	for (GList *link = service->waiting.head; link; link = next, service->offered_count++)
	{
		struct session *session = link->data;
		struct connection *connection;

		next = link->next;
		if (now_us < session->request.retry_us)
			continue;
		connection = choose_connection (service, session, now_us);
		if (!connection)
			continue;
		session->request.is_queued = false;
		g_queue_delete_link (&service->waiting, link);
		if (!connection->is_relayed)
			service_account_start (session, connection, now_us);
		session_run (session, connection, now_us);
	}
}

void
service_dispatch (struct service *service)
{
	service->needs_dispatch = true;
	loop_set_timer (&service->traffic->loop, &service->traffic->dispatch, 0);
}

void
service_run_dispatch (struct service *service, int64_t now_us)
{
	if (!service->needs_dispatch)
		return;
	service->needs_dispatch = false;
	dispatch_once (service, now_us);
}

/**
 * Reports the end of all work at the old primary. Closes its connections first if the change is unplanned, or if
 * running statements take longer than SERVICE_QUIESCE_US.
 */
static void
service_quiesce (struct service *service, int64_t now_us)
{
	struct server *primary = service->primary;
	bool is_late = !service->is_planned || now_us - service->record_adopted_us > SERVICE_QUIESCE_US;

	if (!service->is_changing || service->is_quiesced)
		return;
	if (primary && is_late)
		server_close_all (primary);
	for (struct connection *connection = primary ? primary->connections : NULL; connection;
	     connection = connection->next)
		if (connection->session && connection->state != CONNECTION_PROBING)
			return;
	service->is_quiesced = true;
	log_event (LOG_LEVEL_INFO, "primary_quiesced", "service=%s change=%u.%u after_ms=%lld",
	           log_text (service->name), succession_change_era (service->record_change),
	           succession_change_count (service->record_change),
	           (long long) (now_us - service->record_adopted_us) / US_PER_MS);
	service->traffic->events->handle_quiesced (service->traffic->events_data, service->name,
	                                           service->record_change);
}

static struct server *
find_primary (const struct service *service, const char *id)
{
	for (guint i = 0; id && i < service->servers->len; i++)
	{
		struct server *server = service->servers->pdata[i];

		if (g_strcmp0 (server->id, id) == 0)
			return server;
	}
	return NULL;
}

static void
release_commits (struct service *service, bool is_confirmed)
{
	GList *held_commits = service->held_commits;

	service->held_commits = NULL;
	for (GList *link = held_commits; link; link = link->next)
		session_release_commit (link->data, is_confirmed);
	g_list_free (held_commits);
}

void
service_apply_record (struct service *service, const struct primary_record *primary_record,
                      int64_t now_us)
{
	struct server *primary =
		find_primary (service, primary_record ? primary_record->primary : NULL);
	bool is_changing = primary_record && primary_record->is_changing;
	uint64_t change = primary_record ? primary_record->change : 0;
	struct server *old = service->primary;

	if (service->record_change == change && service->primary == primary)
		return;
	log_event (LOG_LEVEL_INFO, "lead_adopted",
	           "service=%s primary=%s change=%u.%u changing=%d planned=%d",
	           log_text (service->name), primary ? log_text (primary->id) : "-",
	           succession_change_era (change), succession_change_count (change), is_changing,
	           primary_record && primary_record->is_planned);
	if (is_changing && !service->is_changing)
		service->valid_before_change_us = service->traffic->records_valid_us;
	service->primary = primary;
	service->is_planned = primary_record && primary_record->is_planned;
	service->is_changing = is_changing;
	if (service->record_change != change)
	{
		service->is_quiesced = false;
		service->record_adopted_us = now_us;
		service->record_change = change;
		release_commits (service, false);
	}
	/* Stops using a primary that was replaced while this VM missed the change. Requests that are retried from here on
	 * use the new record. */
	if (old && old != primary)
		server_close_all (old);
	service_quiesce (service, now_us);
}

void
service_handle_records_valid (struct service *service, int64_t now_us)
{
	GList *next;

	/* A commit is confirmed once the record is known to have been current less than SUCCESSION_AUTHORITY_MS before its
	 * answer. */
	for (GList *link = service->held_commits; link; link = next)
	{
		struct session *session = link->data;

		next = link->next;
		if (service->is_changing ||
		    session->request.answered_us - service->traffic->records_valid_us >=
		        SUCCESSION_AUTHORITY_MS * US_PER_MS)
			continue;
		service->held_commits = g_list_delete_link (service->held_commits, link);
		session_release_commit (session, true);
	}
	service_dispatch (service);
}

void
service_tick (struct service *service, int64_t now_us)
{
	/* Reads of replicas need samples of the primary's position that are younger than their staleness bound. Services
	 * that nobody uses are not sampled. */
	enum
	{
		SAMPLE_AGE_US = 700 * US_PER_MS,
		RECENTLY_USED_US = 2 * US_PER_S,
	};
	bool is_old = now_us - position_history_last_us (&service->history) > SAMPLE_AGE_US;

	service_quiesce (service, now_us);
	if (is_old && now_us - service->last_used_us < RECENTLY_USED_US &&
	    service_can_use_primary (service, now_us) && service->primary->failed_us == 0 &&
	    service->primary->probing_count == 0)
		server_request_sample (service->primary, now_us);
	for (guint i = 0; i < service->servers->len; i++)
		server_tick (service->servers->pdata[i], now_us);
	service_dispatch (service);
}
