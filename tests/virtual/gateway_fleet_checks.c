/* What must hold in a fleet at every step and at its end. */
#include "gateway_fleet.h"

#include <string.h>

enum
{
	CHECKS_MAX_VIOLATIONS = 5, /* Reported in full; others are counted. */
	CHECKS_QUIET_US =
		4 * US_PER_S, /* After this time without a disturbance a release must be complete. */
	CHECKS_NOTICE_US =
		3 * US_PER_S, /* A VM may act on a disturbance of a server for so long after its end. */
	CHECKS_TAKES_WRITES_US = 1500 * US_PER_MS,
};

void
fleet_violation (struct gateway_fleet *fleet, const char *format, ...)
{
	va_list arguments;

	fleet->violation_count++;
	if (fleet->violation_count > CHECKS_MAX_VIOLATIONS)
		return;
	g_string_append_printf (
		fleet->violations, "seed %llu, %d VMs, %.4f s: ", (unsigned long long) fleet->seed,
		fleet->vm_count, (double) (fleet->world.now_us - fleet->settled_us) / US_PER_S);
	va_start (arguments, format);
	g_string_append_vprintf (fleet->violations, format, arguments);
	va_end (arguments);
	g_string_append_c (fleet->violations, '\n');
	if (fleet_is_logging ())
		g_printerr ("VIOLATION %s", fleet->violations->str);
}

/* Writes. */

static int64_t
led_us (const struct fleet_service *service, uint64_t term)
{
	return g_array_index (service->led_us, int64_t, term);
}

bool
fleet_server_holds (const struct fleet_server *server, const struct fleet_commit *commit)
{
	return server->log->len >= commit->index &&
	       g_array_index (server->log, struct fleet_entry, commit->index - 1).id == commit->id;
}

void
fleet_acknowledge (struct gateway_fleet *fleet, int vm, int service,
                   const struct fleet_commit *commit)
{
	struct fleet_service *state = &fleet->services[service];
	struct fleet_commit added = *commit;

	fleet->acknowledged++;
	if (commit->term < state->term && led_us (state, commit->term + 1) < commit->committed_us)
		fleet_violation (
			fleet,
			"one primary: %s acknowledged a write of %s that was committed at a primary of "
			"term %llu %.1f ms after one of term %llu led",
			fleet->vms[vm].name, state->name, (unsigned long long) commit->term,
			(double) (commit->committed_us - led_us (state, commit->term + 1)) / US_PER_MS,
			(unsigned long long) commit->term + 1);
	added.is_lost = !fleet_server_holds (&fleet->servers[state->leader], commit);
	added.lost_term = added.is_lost ? state->term : 0;
	state->lost += added.is_lost;
	if (added.is_lost && fleet->sync_replicas > 0)
		fleet_violation (fleet,
		                 "lost commits: %s acknowledged a write of %s that its primary lacks",
		                 fleet->vms[vm].name, state->name);
	g_array_append_val (state->commits, added);
}

/** Whether a server that lives and is listed has followed the primary of the latest term. One that was cut off may have
 * been taken for gone after its entry had lapsed. */
static bool
has_holder (const struct gateway_fleet *fleet, const struct fleet_server *chosen)
{
	const struct fleet_service *service = &fleet->services[chosen->service];

	for (int i = 0; i < FLEET_SERVERS; i++)
	{
		const struct fleet_server *server = &fleet->servers[chosen->service * FLEET_SERVERS + i];
		g_autofree char *key = g_strdup_printf ("servers/%s", server->id);

		if (server->is_running && !server->is_draining && server->term == service->term &&
		    fleet->world.now_us - server->disturbed_us > CHECKS_NOTICE_US &&
		    fleet_store_get (fleet->store, key))
			return true;
	}
	return false;
}

/**
 * Reads at a primary whose record was written have lacked the commits that its promotion rolled back. Without a record
 * nobody has used that primary, and its successor may hold them again.
 */
static void
check_returned (struct gateway_fleet *fleet, const struct fleet_server *server)
{
	const struct fleet_service *service = &fleet->services[server->service];
	struct succession_record record;
	uint64_t returned = 0;

	if (!gateway_fleet_record (fleet, server->service, &record))
		return;
	for (guint i = 0; i < service->commits->len; i++)
	{
		struct fleet_commit *commit = &g_array_index (service->commits, struct fleet_commit, i);

		if (!commit->is_lost || !fleet_server_holds (server, commit))
			continue;
		returned += commit->lost_term <= record.term;
		commit->is_lost = false;
	}
	if (returned > 0)
		fleet_violation (fleet,
		                 "returned commits: %s of %s, of term %llu, is promoted: it holds %llu "
		                 "acknowledged commits that an earlier promotion has rolled back",
		                 server->id, service->name, (unsigned long long) server->term,
		                 (unsigned long long) returned);
}

void
fleet_check_promotion (struct gateway_fleet *fleet, const struct fleet_server *server)
{
	struct fleet_service *service = &fleet->services[server->service];
	uint64_t lost = 0;

	check_returned (fleet, server);
	for (guint i = 0; i < service->commits->len; i++)
	{
		struct fleet_commit *commit = &g_array_index (service->commits, struct fleet_commit, i);

		if (commit->is_lost || fleet_server_holds (server, commit))
			continue;
		commit->is_lost = true;
		commit->lost_term = service->term + 1;
		lost++;
	}
	service->lost += lost;
	if (lost > 0 && fleet->sync_replicas > 0)
		fleet_violation (fleet,
		                 "lost commits: %s of %s is promoted and lacks %llu acknowledged commits "
		                 "that a replica had received",
		                 server->id, service->name, (unsigned long long) lost);
	/* A server that followed the latest primary lacks only what it had not received yet. */
	if (lost > 0 && server->term < service->term && has_holder (fleet, server))
		fleet_violation (
			fleet,
			"lost commits: %s of %s, of term %llu, is promoted although a server holds the "
			"log of term %llu: %llu acknowledged commits are rolled back",
			server->id, service->name, (unsigned long long) server->term,
			(unsigned long long) service->term, (unsigned long long) lost);
	if (lost > 0 && service->was_healthy &&
	    fleet->servers[service->leader].disturbed_us < service->claimed_us)
		fleet_violation (
			fleet,
			"lost commits: %s of %s replaces %s, which was undisturbed when the change was "
			"claimed: %llu acknowledged commits are rolled back",
			server->id, service->name, fleet->servers[service->leader].id,
			(unsigned long long) lost);
}

void
fleet_check_token (struct gateway_fleet *fleet, int service, const char *holder, const char *target,
                   uint64_t token, bool is_refused)
{
	struct fleet_service *state = &fleet->services[service];
	bool is_repeated = token == state->token && strcmp (holder, state->holder) == 0 &&
	                   (state->is_target_refused || strcmp (target, state->target) == 0);

	if (token <= state->token && !is_repeated)
		fleet_violation (fleet,
		                 "fencing: %s promotes %s of %s with token %llu after %s used %llu for %s",
		                 holder, target, state->name, (unsigned long long) token, state->holder,
		                 (unsigned long long) state->token, state->target);
	if (token < state->token)
		return;
	state->token = token;
	g_strlcpy (state->holder, holder, sizeof state->holder);
	g_strlcpy (state->target, target, sizeof state->target);
	state->is_target_refused = is_refused;
}

void
fleet_check_swap (struct gateway_fleet *fleet, const struct fleet_vm *vm, const char *service,
                  const char *value, size_t value_length)
{
	const struct primary_manager *manager = g_hash_table_lookup (vm->controller->managers, service);
	struct succession_record record;
	uint64_t era;

	if (primary_record_parse (value, value_length, 1, &record, &era) < 0)
		fleet_violation (fleet, "swap: %s writes a malformed record of %s", vm->name, service);
	else if (era != manager->stored.at.era)
		fleet_violation (fleet,
		                 "swap: %s writes a record of %s of era %llu and expects a revision of era "
		                 "%llu, which may have been given out again",
		                 vm->name, service, (unsigned long long) era,
		                 (unsigned long long) manager->stored.at.era);
}

/* Steps. */

static void
check_configuration (struct gateway_fleet *fleet, struct fleet_vm *vm)
{
	uint64_t version = vm->controller->configuration ? vm->controller->configuration->version : 0;

	if (version < vm->configuration)
		fleet_violation (fleet, "configuration: %s goes back from version %llu to %llu", vm->name,
		                 (unsigned long long) vm->configuration, (unsigned long long) version);
	vm->configuration = version;
}

static void
check_released (struct gateway_fleet *fleet, struct fleet_server *server)
{
	int64_t now_us = fleet->world.now_us;

	if (server->draining_us == 0 || now_us - server->draining_us < FLEET_DRAIN_US ||
	    fleet->active_faults > 0 || now_us - fleet->quiet_us < CHECKS_QUIET_US)
		return;
	for (int i = 0; i < fleet->vm_count; i++)
	{
		const struct fleet_vm *vm = &fleet->vms[i];
		const char *primary =
			vm->controller ? fleet_traffic_primary (vm->traffic, server->service, now_us) : NULL;

		if (!primary || strcmp (primary, server->id) != 0)
			continue;
		fleet_violation (fleet,
		                 "release: %s uses %s of %s as primary %.1f s after it began to leave",
		                 vm->name, server->id, fleet->services[server->service].name,
		                 (double) (now_us - server->draining_us) / US_PER_S);
		server->draining_us = now_us;
		return;
	}
}

/** Notes the state of the primary when a change of it begins. */
static void
note_claim (struct gateway_fleet *fleet, int index)
{
	struct fleet_service *service = &fleet->services[index];
	const struct fleet_server *leader = &fleet->servers[service->leader];
	struct succession_record record;
	bool is_changing = gateway_fleet_record (fleet, index, &record) && record.is_changing;

	if (is_changing && !service->is_changing)
	{
		service->claimed_us = fleet->world.now_us;
		service->was_healthy = leader->is_running && leader->is_primary &&
		                       fleet_reaches (fleet, leader->node, fleet->store_node) &&
		                       fleet->world.now_us - leader->disturbed_us > CHECKS_NOTICE_US;
	}
	service->is_changing = is_changing;
}

void
fleet_check_step (struct gateway_fleet *fleet)
{
	for (int i = 0; i < fleet->service_count; i++)
		note_claim (fleet, i);
	for (int i = 0; i < fleet->vm_count; i++)
		if (fleet->vms[i].controller)
			check_configuration (fleet, &fleet->vms[i]);
	for (int i = 0; i < fleet->server_count; i++)
		if (fleet->servers[i].is_running)
			check_released (fleet, &fleet->servers[i]);
}

void
gateway_fleet_check_recovered (struct gateway_fleet *fleet)
{
	int64_t now_us = fleet->world.now_us;

	for (int i = 0; i < fleet->service_count; i++)
	{
		const struct fleet_service *service = &fleet->services[i];
		const struct fleet_server *leader = &fleet->servers[service->leader];
		int other = 0;
		int silent = 0;

		for (int j = 0; j < fleet->vm_count; j++)
		{
			const struct fleet_vm *vm = &fleet->vms[j];
			const char *primary =
				vm->controller ? fleet_traffic_primary (vm->traffic, i, now_us) : NULL;

			other += !primary || strcmp (primary, leader->id) != 0;
			silent += vm->controller && now_us - fleet_traffic_acknowledged_us (vm->traffic, i) >
			                                CHECKS_TAKES_WRITES_US;
		}
		if (other > 0 || silent > 0)
			fleet_violation (
				fleet,
				"recovery: %s is led by %s (running %d, primary %d, term %llu of %llu), but %d "
				"VMs do not use it, and %d have no writes",
				service->name, leader->id, leader->is_running, leader->is_primary,
				(unsigned long long) leader->term, (unsigned long long) service->term, other,
				silent);
	}
}
