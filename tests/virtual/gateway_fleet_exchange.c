/* Requests of the VMs to the database servers. */
#include "gateway_fleet_traffic.h"

#include <string.h>

enum
{
	EXCHANGE_RECONNECT_US = 250 * US_PER_MS,
	EXCHANGE_RUN_US = 20 * US_PER_MS, /* Longest time of a write at a server. */
	EXCHANGE_SYNC_US =
		5 * US_PER_MS, /* Interval at which the server looks whether a replica has received it. */
};

/** A request to a server and its answer. */
struct exchange
{
	int vm;
	int server;
	char id[24];
	int service;
	uint32_t number; /* Of the probe, or of the connection. */
	uint64_t demote_term;
	bool is_write;
	bool is_status; /* Neither a write nor a status: a read. */
	bool is_refused;
	bool is_committed;
	struct database_status status;
	struct fleet_commit commit;
};

/* Reports. */

struct server_report *
traffic_report_new (const struct traffic_server *server)
{
	struct server_report *report = g_new0 (struct server_report, 1);

	report->server = g_strdup (server->id);
	report->service = g_strdup (gateway_fleet->services[server->service].name);
	report->is_unreachable = server->failed_us > 0;
	report->contact_us = server->answered_us;
	report->at_us = clock_now_us ();
	return report;
}

static void
send_report (struct gateway_traffic *traffic, const struct traffic_server *server,
             const struct database_status *status)
{
	struct server_report *report = traffic_report_new (server);

	report->has_status = status != NULL;
	if (status)
		report->status = *status;
	traffic->events->handle_report (traffic->events_data, report);
}

void
traffic_handle_failed (struct gateway_traffic *traffic, struct traffic_server *server)
{
	server->probe_us = 0;
	server->next_probe_us = clock_now_us () + EXCHANGE_RECONNECT_US;
	if (server->failed_us > 0)
		return;
	server->failed_us = clock_now_us ();
	send_report (traffic, server, NULL);
}

static void
handle_alive (struct gateway_traffic *traffic, struct traffic_server *server)
{
	server->answered_us = clock_now_us ();
	if (server->failed_us == 0)
		return;
	server->failed_us = 0;
	send_report (traffic, server, NULL);
}

/* Requests to servers. */

static void handle_exchange_answer (void *context, const void *payload);

static void
run_write (struct gateway_fleet *fleet, struct fleet_server *server, struct exchange *exchange)
{
	struct fleet_entry entry = { server->term, exchange->commit.id };

	exchange->is_committed = server->is_primary;
	if (!server->is_primary)
		return;
	g_array_append_val (server->log, entry);
	exchange->commit.term = server->term;
	exchange->commit.index = server->log->len;
	exchange->commit.committed_us = fleet->world.now_us;
}

static void
send_answer (struct gateway_fleet *fleet, struct exchange *exchange)
{
	const struct fleet_server *server = &fleet->servers[exchange->server];

	exchange->status = fleet_server_status (server);
	virtual_send (&fleet->world, true, server->node, exchange->vm,
	              (struct virtual_handler){ handle_exchange_answer, fleet }, exchange,
	              sizeof *exchange);
}

/** Answers a write once a replica has received it; never if the server stops leading before. */
static void
handle_replicated (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	struct exchange exchange = *(const struct exchange *) payload;
	const struct fleet_server *server = &fleet->servers[exchange.server];
	bool is_received = false;

	if (!server->is_running || strcmp (server->id, exchange.id) != 0 || !server->is_primary ||
	    server->term != exchange.commit.term)
		return;
	for (int i = 0; i < FLEET_SERVERS; i++)
	{
		const struct fleet_server *other = &fleet->servers[exchange.service * FLEET_SERVERS + i];

		is_received |= other != server && other->is_running &&
		               fleet_reaches (fleet, server->node, other->node) &&
		               fleet_server_holds (other, &exchange.commit);
	}
	if (is_received)
		send_answer (fleet, &exchange);
	else
		virtual_schedule (&fleet->world, server->node, fleet->world.now_us + EXCHANGE_SYNC_US,
		                  (struct virtual_handler){ handle_replicated, fleet }, &exchange,
		                  sizeof exchange);
}

static void
handle_exchange (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	struct exchange exchange = *(const struct exchange *) payload;
	struct fleet_server *server = &fleet->servers[exchange.server];

	if (!server->is_running && server->is_dark)
		return;
	exchange.is_refused = !server->is_running || strcmp (server->id, exchange.id) != 0;
	if (!exchange.is_refused && exchange.demote_term > server->term && server->is_primary)
	{
		server->is_primary = false;
		server->is_entry_old = true;
	}
	if (!exchange.is_refused && exchange.is_write)
		run_write (fleet, server, &exchange);
	if (exchange.is_committed && fleet->sync_replicas > 0)
		handle_replicated (fleet, &exchange);
	else
		send_answer (fleet, &exchange);
}

/** Runs a write after it has waited at the server. */
static void
handle_arrival (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct exchange *exchange = payload;

	virtual_schedule (&fleet->world, fleet->servers[exchange->server].node,
	                  fleet->world.now_us + fleet_random (fleet, EXCHANGE_RUN_US),
	                  (struct virtual_handler){ handle_exchange, fleet }, payload,
	                  sizeof *exchange);
}

void
traffic_probe (struct gateway_traffic *traffic, struct traffic_server *server)
{
	struct gateway_fleet *fleet = gateway_fleet;
	struct fleet_server *target = fleet_server_find (fleet, server->id);
	struct exchange exchange = {
		.vm = traffic->vm,
		.service = server->service,
		.number = ++server->probe_number,
		.demote_term = server->demote_term,
		.is_status = server->is_requested || server->demote_term > 0,
	};

	server->probe_us = clock_now_us ();
	if (!target)
	{
		traffic_handle_failed (traffic, server);
		return;
	}
	exchange.server = target->index;
	g_strlcpy (exchange.id, server->id, sizeof exchange.id);
	virtual_send (&fleet->world, true, traffic->vm, target->node,
	              (struct virtual_handler){ handle_exchange, fleet }, &exchange, sizeof exchange);
}

void
traffic_send_write (struct gateway_traffic *traffic, int service)
{
	struct gateway_fleet *fleet = gateway_fleet;
	struct traffic_service *state = &traffic->services[service];
	const struct fleet_server *target = fleet_server_find (fleet, state->primary);
	struct exchange exchange = {
		.vm = traffic->vm,
		.service = service,
		.number = state->connection,
		.is_write = true,
		.commit.id = ++fleet->next_write_id,
	};

	if (!target)
		return;
	exchange.server = target->index;
	g_strlcpy (exchange.id, state->primary, sizeof exchange.id);
	if (state->in_flight++ == 0)
		state->oldest_write_us = clock_now_us ();
	virtual_send (&fleet->world, true, traffic->vm, target->node,
	              (struct virtual_handler){ handle_arrival, fleet }, &exchange, sizeof exchange);
}

void
traffic_close_all (struct traffic_service *state)
{
	state->connection++;
	state->in_flight = 0;
}

void
traffic_acknowledge (struct gateway_traffic *traffic, int service,
                     const struct fleet_commit *commit)
{
	traffic->services[service].acknowledged_us = clock_now_us ();
	fleet_acknowledge (gateway_fleet, traffic->vm, service, commit);
}

static void
handle_write_answer (struct gateway_traffic *traffic, struct traffic_server *server,
                     const struct exchange *exchange)
{
	struct traffic_service *state = &traffic->services[exchange->service];
	struct held_commit held = { exchange->commit, clock_now_us () };

	if (exchange->number != state->connection)
		return;
	state->oldest_write_us = clock_now_us ();
	state->in_flight--;
	if (!exchange->is_committed)
	{
		send_report (traffic, server, NULL);
		return;
	}
	if (fleet_traffic_primary (traffic, exchange->service, clock_now_us ()) &&
	    strcmp (state->primary, server->id) == 0)
		traffic_acknowledge (traffic, exchange->service, &exchange->commit);
	else
		g_array_append_val (state->held, held);
}

static void
handle_exchange_answer (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct exchange *exchange = payload;
	struct gateway_traffic *traffic = fleet->vms[exchange->vm].traffic;
	struct traffic_server *server = g_hash_table_lookup (traffic->servers, exchange->id);

	if (!server || (!exchange->is_write && exchange->number != server->probe_number))
		return;
	if (exchange->is_refused)
	{
		if (exchange->is_write &&
		    exchange->number == traffic->services[exchange->service].connection)
			traffic_close_all (&traffic->services[exchange->service]);
		traffic_handle_failed (traffic, server);
		return;
	}
	handle_alive (traffic, server);
	if (exchange->is_write)
	{
		handle_write_answer (traffic, server, exchange);
		return;
	}
	server->probe_us = 0;
	if (!exchange->is_status)
		return;
	server->is_requested = false;
	if (exchange->demote_term == server->demote_term)
		server->demote_term = 0;
	send_report (traffic, server, &exchange->status);
}
