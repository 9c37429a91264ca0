/**
 * @file
 * Connections of tenants to a server itself. Used only in deployments with tenants.
 */
#include "gateway/traffic_private.h"

#include "common/counters.h"
#include "common/log.h"

enum
{
	/* After a refusal, the place of a replaced connection is used at once, as soon as the server has noticed its end. */
	REPLACE_PAUSE_US = 50 * US_PER_MS,
	/* A tenant that has not asked for a place again by then, e.g. because its statements run elsewhere, is forgotten. */
	STARVED_US = 100 * US_PER_MS,
};

bool
server_has_tenants (const struct server *server)
{
	const struct view *view = server->service->traffic->view;

	return view && view->configuration && view->configuration->tenants;
}

void
server_pool_init (struct server *server)
{
	server->pool.index = g_hash_table_new (NULL, NULL);
	server->pool.rows = g_array_new (FALSE, TRUE, sizeof (struct tenant_pool_row));
	server->pool.demands = g_array_new (FALSE, TRUE, sizeof (struct tenant_demand));
}

void
server_pool_finish (struct server *server)
{
	g_hash_table_destroy (server->pool.index);
	g_array_free (server->pool.rows, TRUE);
	g_array_free (server->pool.demands, TRUE);
}

/** @return the row of a tenant (NULL: public routes). Rows stay, as states of tenants do. */
static guint
find_row (struct server *server, struct tenant_state *tenant)
{
	struct server_pool *pool = &server->pool;
	gpointer found = g_hash_table_lookup (pool->index, tenant);

	if (found)
		return GPOINTER_TO_UINT (found) - 1;
	g_array_set_size (pool->rows, pool->rows->len + 1);
	g_array_set_size (pool->demands, pool->rows->len);
	g_hash_table_insert (pool->index, tenant, GUINT_TO_POINTER (pool->rows->len));
	return pool->rows->len - 1;
}

/** @return a tenant's row, valid until the next one is added. */
static struct tenant_pool_row *
get_row (struct server *server, struct tenant_state *tenant)
{
	guint row = find_row (server, tenant);

	return &g_array_index (server->pool.rows, struct tenant_pool_row, row);
}

static void
add_connection (struct tenant_pool_row *row, const struct connection *connection)
{
	switch (connection->state)
	{
	case CONNECTION_OPENING:
		row->opening++;
		break;
	case CONNECTION_ROLLING_BACK:
	case CONNECTION_PROBING:
		row->returning++;
		break;
	case CONNECTION_IDLE:
		if (connection->session)
		{
			row->busy++;
			break;
		}
		if (row->idle == 0 || connection->idle_us < row->idle_us)
			row->idle_us = connection->idle_us;
		row->idle++;
		break;
	default:
		row->busy++;
		row->running += connection->state == CONNECTION_RUNNING && connection->lost_us == 0;
		break;
	}
}

/** Whether the session's statement may be one for a connection to the server itself. */
static bool
waits_for (const struct session *session, const struct server *server)
{
	if (session->connection)
		return false;
	if (session->is_relay)
		return session->relay_server == server;
	if (server_uses_relay (server))
		return false;
	return !session_needs_primary (session) || server == server->service->primary;
}

static void
recount (struct server *server, int64_t now_us)
{
	struct server_pool *pool = &server->pool;
	const struct service *service = server->service;

	for (guint i = 0; i < pool->rows->len; i++)
	{
		const struct tenant_demand *demand =
			&g_array_index (pool->demands, struct tenant_demand, i);

		g_array_index (pool->rows, struct tenant_pool_row, i) =
			(struct tenant_pool_row){ .demand_per_s = tenant_demand_at (demand, now_us) };
	}
	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
		if (!connection->is_relayed)
			add_connection (get_row (server, connection->tenant), connection);
	for (GList *link = service->waiting.head; link; link = link->next)
	{
		const struct session *session = link->data;

		if (waits_for (session, server))
			get_row (server, session->tenant)->waiting++;
	}
	pool->is_current = true;
}

/** Counts connections and waiting statements, unless they have not changed since the last time. */
static struct tenant_pool
count_rows (struct server *server, int64_t now_us)
{
	if (!server->pool.is_current)
		recount (server, now_us);
	return (struct tenant_pool){
		.rows = &g_array_index (server->pool.rows, struct tenant_pool_row, 0),
		.count = server->pool.rows->len,
		.limit = server_direct_limit (server, now_us),
		.slots = server->slots,
		.hold_us =
			server->answer_time.mean_us > 0 ? server->answer_time.mean_us : server->latency_us,
	};
}

static struct tenant_pool_decision
decide (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	guint row = find_row (server, tenant);
	struct tenant_pool pool = count_rows (server, now_us);
	struct tenant_pool_decision decision = tenant_pool_decide (&pool, row);

	if (decision.action == TENANT_POOL_NO_PLACE && pool.rows[row].busy == 0)
	{
		server->pool.starved_tenant = tenant;
		server->pool.starved_us = now_us;
	}
	if ((decision.action == TENANT_POOL_OPEN && now_us < server->next_growth_us) ||
	    (decision.action == TENANT_POOL_REPLACE && now_us < server->pool.next_replace_us))
		decision.action = TENANT_POOL_NOTHING;
	return decision;
}

bool
server_pool_can_open (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	enum tenant_pool_action action = decide (server, tenant, now_us).action;

	return action == TENANT_POOL_OPEN || action == TENANT_POOL_REPLACE;
}

bool
server_pool_is_opening (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	guint row = find_row (server, tenant);

	return count_rows (server, now_us).rows[row].opening > 0;
}

static struct connection *
find_longest_idle (const struct server *server, guint row)
{
	struct connection *oldest = NULL;

	for (struct connection *connection = server->connections; connection;
	     connection = connection->next)
		if (!connection->is_relayed && connection->state == CONNECTION_IDLE &&
		    !connection->session &&
		    GPOINTER_TO_UINT (g_hash_table_lookup (server->pool.index, connection->tenant)) ==
		        row + 1 &&
		    (!oldest || connection->idle_us < oldest->idle_us))
			oldest = connection;
	return oldest;
}

void
server_pool_open (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	struct tenant_pool_decision decision = decide (server, tenant, now_us);

	if (decision.action == TENANT_POOL_REPLACE)
	{
		struct connection *replaced = find_longest_idle (server, (guint) decision.victim);

		if (!replaced)
			return;
		counter_add (COUNTER_SERVER_CONNECTIONS_REPLACED, 1);
		connection_close (replaced);
	}
	else if (decision.action != TENANT_POOL_OPEN)
		return;
	if (server->pool.starved_tenant == tenant)
		server->pool.starved_us = 0;
	connection_open (server, NULL, tenant, now_us);
}

bool
server_pool_yields (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	struct server_pool *state = &server->pool;
	struct tenant_pool pool;
	guint taker;
	guint starved;

	if (state->starved_us == 0)
		return false;
	if (now_us - state->starved_us > STARVED_US)
	{
		state->starved_us = 0;
		return false;
	}
	taker = find_row (server, tenant);
	starved = find_row (server, state->starved_tenant);
	pool = count_rows (server, now_us);
	return tenant_pool_yields (&pool, taker, starved);
}

void
server_pool_add_use (struct server *server, struct tenant_state *tenant, int64_t now_us)
{
	guint row = find_row (server, tenant);

	tenant_demand_add (&g_array_index (server->pool.demands, struct tenant_demand, row), now_us);
}

void
server_pool_handle_refused (struct server *server, int64_t now_us)
{
	uint32_t open = 0;

	if (!server_has_tenants (server))
		return;
	for (const struct connection *connection = server->connections; connection;
	     connection = connection->next)
		open += !connection->is_relayed && connection->state != CONNECTION_OPENING;
	tenant_pool_limit_refuse (&server->pool.limit, open, now_us);
	server->pool.next_replace_us = now_us + REPLACE_PAUSE_US;
	server->pool.is_current = false;
	log_event (LOG_LEVEL_INFO, "connection_limit_lowered", "server=%s limit=%u",
	           log_text (server->id), server->pool.limit.lowered);
}
