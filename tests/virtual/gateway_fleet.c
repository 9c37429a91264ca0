#include "gateway_fleet.h"

#include "platform/documents.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	FLEET_STEP_US = 10 * US_PER_MS,
	FLEET_FIRST_US =
		1000 * US_PER_S, /* Above the longest time limit: 0 means "never" in many places. */
	FLEET_START_US = 300 * US_PER_MS, /* All VMs start within this time. */
	FLEET_SETTLE_US = 13 * US_PER_S,
	FLEET_REWRITE_US = 1800 * US_PER_MS, /* The operator writes again within this time. */
	FLEET_RESUME_US =
		1200 * US_PER_MS, /* Replication across a healed link resumes within this time. */
	FLEET_ADDRESS = 10 << 24,
	FLEET_PEER_PORT = 7000,
};

struct gateway_fleet *gateway_fleet;

bool
fleet_is_logging (void)
{
	return getenv ("GATEWAY_FLEET_LOG") != NULL;
}

int
fleet_random (struct gateway_fleet *fleet, int limit)
{
	return (int) (virtual_random (&fleet->world) % (uint64_t) limit);
}

bool
fleet_reaches (const struct gateway_fleet *fleet, int from, int to)
{
	return fleet->world.nodes[from].partition == fleet->world.nodes[to].partition;
}

/* VMs. */

static void
handle_left (void *data)
{
	(void) data;
}

static void
vm_start (struct gateway_fleet *fleet, struct fleet_vm *vm)
{
	struct boot_settings boot = {
		.ip = FLEET_ADDRESS | (uint32_t) vm->index,
		.peer_port = FLEET_PEER_PORT,
		.configuration_ms = 3000,
		.drain_ms = FLEET_DRAIN_US / US_PER_MS,
		.grace_ms = 6000,
	};

	if (vm->controller)
		return;
	g_strlcpy (boot.vm, vm->name, sizeof boot.vm);
	snprintf (boot.zone, sizeof boot.zone, "%c", 'a' + (int) fleet->world.nodes[vm->index].zone);
	virtual_set_state (&fleet->world, vm->index, VIRTUAL_RUNNING);
	vm->is_stopping = false;
	vm->configuration = 0;
	vm->traffic = fleet_traffic_new (vm->index);
	vm->controller = controller_start (&boot, 0, vm->traffic, handle_left, vm);
	g_assert_nonnull (vm->controller);
}

static void
vm_kill (struct gateway_fleet *fleet, struct fleet_vm *vm)
{
	if (!vm->controller)
		return;
	virtual_set_state (&fleet->world, vm->index, VIRTUAL_CRASHED);
	vm->is_stopping = true;
	controller_free (vm->controller);
	gateway_traffic_free (vm->traffic);
	vm->controller = NULL;
	vm->traffic = NULL;
}

static void
handle_start (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;

	vm_start (fleet, &fleet->vms[*(const int *) payload]);
}

/* The operator. */

static void
write_configuration (struct gateway_fleet *fleet)
{
	GString *text = g_string_new (NULL);

	g_string_append_printf (text, "{\"version\":%llu,\"routes\":[],\"services\":[",
	                        (unsigned long long) fleet->configuration);
	for (int i = 0; i < fleet->service_count; i++)
		g_string_append_printf (text,
		                        "%s{\"name\":\"%s\",\"maxConnections\":16,\"syncReplicas\":%u}",
		                        i > 0 ? "," : "", fleet->services[i].name, fleet->sync_replicas);
	g_string_append (text, "]}");
	fleet_store_put (fleet->store, documents_configuration_key, text->str, 0);
	g_string_free (text, TRUE);
}

static void
handle_rewrite (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;

	(void) payload;
	if (fleet_store_is_up (fleet->store))
		write_configuration (fleet);
	else
		virtual_schedule (&fleet->world, VIRTUAL_NO_NODE, fleet->world.now_us + 100 * US_PER_MS,
		                  (struct virtual_handler){ handle_rewrite, fleet }, NULL, 0);
}

/* Faults. */

bool
gateway_fleet_record (const struct gateway_fleet *fleet, int service,
                      struct succession_record *record)
{
	g_autofree char *key =
		g_strdup_printf ("%s%s", controller_record_prefix, fleet->services[service].name);
	const char *value = fleet_store_get (fleet->store, key);
	uint64_t era;

	*record = (struct succession_record){ 0 };
	return value && primary_record_parse (value, strlen (value), 1, record, &era) == 0;
}

static void
set_zone (struct gateway_fleet *fleet, int zone, bool is_cut)
{
	for (int i = 0; i < fleet->vm_count + fleet->server_count; i++)
		if ((int) fleet->world.nodes[i].zone == zone)
			fleet->world.nodes[i].partition = is_cut ? (uint32_t) zone + 1 : 0;
	for (int i = 0; i < fleet->server_count; i++)
	{
		if (fleet->servers[i].zone != zone)
			continue;
		fleet->servers[i].disturbed_us = fleet->world.now_us;
		fleet->servers[i].resume_us = fleet->world.now_us + fleet_random (fleet, FLEET_RESUME_US);
	}
}

static void
start_servers (struct gateway_fleet *fleet, int service)
{
	for (int i = 0; i < FLEET_SERVERS; i++)
		fleet_server_start (fleet, &fleet->servers[service * FLEET_SERVERS + i]);
}

/** The server that was promoted last (number 0) or one of the others, in their order. */
static struct fleet_server *
nth_server (struct gateway_fleet *fleet, int service, int64_t number)
{
	int index = service * FLEET_SERVERS;

	if (number == 0)
		return &fleet->servers[fleet->services[service].leader];
	while (index == fleet->services[service].leader || --number > 0)
		index++;
	return &fleet->servers[index];
}

static void
set_deaf (struct gateway_fleet *fleet, const struct fleet_fault *fault)
{
	bool is_deaf = fault->action == FLEET_DEAFEN;

	for (int i = 0; i < FLEET_SERVERS; i++)
	{
		struct fleet_server *server = &fleet->servers[fault->subject * FLEET_SERVERS + i];

		if (is_deaf && fault->value > 0 &&
		    server != nth_server (fleet, fault->subject, fault->value))
			continue;
		server->is_deaf = is_deaf && !server->is_primary;
		server->disturbed_us = fleet->world.now_us;
	}
}

static void
perform_on_store (struct gateway_fleet *fleet, const struct fleet_fault *fault)
{
	switch (fault->action)
	{
	case FLEET_STORE_AWAY:
		fleet_store_set_state (fleet->store, (enum fleet_store_state) fault->value);
		break;
	case FLEET_STORE_BACK:
		if (fault->value > 0)
		{
			fleet_store_restore (fleet->store, fault->value * US_PER_MS);
			virtual_schedule (&fleet->world, VIRTUAL_NO_NODE,
			                  fleet->world.now_us + fleet_random (fleet, FLEET_REWRITE_US),
			                  (struct virtual_handler){ handle_rewrite, fleet }, NULL, 0);
		}
		fleet_store_set_state (fleet->store, FLEET_STORE_UP);
		break;
	case FLEET_REFUSE_VM:
	case FLEET_ADMIT_VM:
		fleet->vms[fault->subject].is_refused = fault->action == FLEET_REFUSE_VM;
		break;
	case FLEET_STORE_LOSSY:
		fleet_store_set_loss (fleet->store, (uint32_t) fault->value);
		break;
	case FLEET_CONFIGURE:
		fleet->configuration += 1 + (uint64_t) fleet_random (fleet, 3);
		handle_rewrite (fleet, NULL);
		break;
	default:
		g_assert_not_reached ();
	}
}

static void
perform_on_vm (struct gateway_fleet *fleet, const struct fleet_fault *fault)
{
	struct fleet_vm *vm = &fleet->vms[fault->subject];

	if (fault->action == FLEET_KILL_VM)
		vm_kill (fleet, vm);
	else if (fault->action == FLEET_START_VM)
		vm_start (fleet, vm);
	else if (vm->controller)
		virtual_set_state (&fleet->world, vm->index,
		                   fault->action == FLEET_FREEZE_VM ? VIRTUAL_PAUSED : VIRTUAL_RUNNING);
}

/** Counts the faults that are active: those that begin one, less those that end one. */
static void
count_fault (struct gateway_fleet *fleet, const struct fleet_fault *fault)
{
	static const int counts[] = {
		[FLEET_CUT_ZONE] = 1,      [FLEET_HEAL_ZONE] = -1, [FLEET_CRASH_SERVER] = 1,
		[FLEET_START_SERVER] = -1, [FLEET_FREEZE_VM] = 1,  [FLEET_THAW_VM] = -1,
		[FLEET_KILL_VM] = 1,       [FLEET_START_VM] = -1,  [FLEET_STORE_AWAY] = 1,
		[FLEET_STORE_BACK] = -1,   [FLEET_REFUSE_VM] = 1,  [FLEET_ADMIT_VM] = -1,
		[FLEET_DEAFEN] = 1,        [FLEET_RESUME] = -1,    [FLEET_CONFIGURE] = 0,
	};

	if (fault->action == FLEET_RELEASE || fault->action == FLEET_CONFIGURE)
		return;
	fleet->active_faults +=
		fault->action == FLEET_STORE_LOSSY ? (fault->value > 0 ? 1 : -1) : counts[fault->action];
	fleet->quiet_us = fleet->world.now_us;
}

static void
handle_fault (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct fleet_fault *fault = payload;

	if (fleet_is_logging ())
		g_printerr ("%9.4f fault %d subject %d value %lld\n",
		            (double) (fleet->world.now_us - fleet->settled_us) / US_PER_S, fault->action,
		            fault->subject, (long long) fault->value);
	count_fault (fleet, fault);
	switch (fault->action)
	{
	case FLEET_CUT_ZONE:
	case FLEET_HEAL_ZONE:
		set_zone (fleet, fault->subject, fault->action == FLEET_CUT_ZONE);
		break;
	case FLEET_CRASH_SERVER:
		fleet_server_crash (fleet, &fleet->servers[fleet->services[fault->subject].leader],
		                    fault->value != 0);
		break;
	case FLEET_START_SERVER:
		start_servers (fleet, fault->subject);
		break;
	case FLEET_DEAFEN:
	case FLEET_RESUME:
		set_deaf (fleet, fault);
		break;
	case FLEET_RELEASE:
		fleet_server_release (fleet, nth_server (fleet, fault->subject, fault->value));
		break;
	case FLEET_FREEZE_VM:
	case FLEET_THAW_VM:
	case FLEET_KILL_VM:
	case FLEET_START_VM:
		perform_on_vm (fleet, fault);
		break;
	default:
		perform_on_store (fleet, fault);
		break;
	}
}

void
gateway_fleet_plan (struct gateway_fleet *fleet, const struct fleet_fault *faults, size_t count)
{
	for (size_t i = 0; i < count; i++)
		virtual_schedule (
			&fleet->world, VIRTUAL_NO_NODE, fleet->settled_us + faults[i].at_ms * US_PER_MS,
			(struct virtual_handler){ handle_fault, fleet }, &faults[i], sizeof faults[i]);
}

/* The fleet. */

static void
handle_step (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;

	(void) payload;
	fleet_servers_tick (fleet);
	fleet_store_tick (fleet->store);
	fleet_check_step (fleet);
	virtual_schedule (&fleet->world, VIRTUAL_NO_NODE, fleet->world.now_us + FLEET_STEP_US,
	                  (struct virtual_handler){ handle_step, fleet }, NULL, 0);
}

static void
services_init (struct gateway_fleet *fleet)
{
	for (int i = 0; i < fleet->service_count; i++)
	{
		struct fleet_service *service = &fleet->services[i];

		snprintf (service->name, sizeof service->name, "s%d", i);
		service->term = 1;
		service->led_us = g_array_new (FALSE, TRUE, sizeof (int64_t));
		g_array_set_size (service->led_us, 2);
		service->commits = g_array_new (FALSE, FALSE, sizeof (struct fleet_commit));
	}
}

void
gateway_fleet_prepare (struct gateway_fleet *fleet, uint64_t seed, int vm_count, int service_count)
{
	struct virtual_link link = { .delay_us = 300, .jitter_us = 900 };
	int server_count = service_count * FLEET_SERVERS;

	memset (fleet, 0, sizeof *fleet);
	gateway_fleet = fleet;
	fleet->seed = seed;
	fleet->vm_count = vm_count;
	fleet->service_count = service_count;
	fleet->store_node = vm_count + server_count;
	fleet->write_interval_us = vm_count > 100 ? 500 * US_PER_MS : 100 * US_PER_MS;
	fleet->violations = g_string_new (NULL);
	virtual_world_init (&fleet->world, seed, (size_t) fleet->store_node + 1, link);
	virtual_run (&fleet->world, FLEET_FIRST_US);
	fleet->settled_us = FLEET_FIRST_US + FLEET_SETTLE_US;
	fleet->vms = g_new0 (struct fleet_vm, (gsize) vm_count);
	fleet->store = fleet_store_new (fleet);
	services_init (fleet);
	fleet_servers_init (fleet);
	for (int i = 0; i < server_count; i++)
		fleet->world.nodes[vm_count + i].zone = (uint32_t) fleet->servers[i].zone;
	fleet->world.nodes[fleet->store_node].zone = FLEET_ZONES;
	fleet->configuration = 1;
	write_configuration (fleet);
	for (int i = 0; i < vm_count; i++)
	{
		struct fleet_vm *vm = &fleet->vms[i];

		vm->index = i;
		fleet->world.nodes[i].zone = (uint32_t) (i % FLEET_ZONES);
		snprintf (vm->name, sizeof vm->name, "front-%c-%d", 'a' + i % FLEET_ZONES,
		          1 + i / FLEET_ZONES);
		g_queue_init (&vm->mail);
		virtual_schedule (&fleet->world, VIRTUAL_NO_NODE,
		                  FLEET_FIRST_US + fleet_random (fleet, FLEET_START_US),
		                  (struct virtual_handler){ handle_start, fleet }, &i, sizeof i);
	}
	handle_step (fleet, NULL);
}

void
gateway_fleet_init (struct gateway_fleet *fleet, uint64_t seed, int vm_count, int service_count)
{
	gateway_fleet_prepare (fleet, seed, vm_count, service_count);
	virtual_run (&fleet->world, fleet->settled_us);
}

void
gateway_fleet_run (struct gateway_fleet *fleet, int64_t until_ms)
{
	virtual_run (&fleet->world, fleet->settled_us + until_ms * US_PER_MS);
}

void
gateway_fleet_require_replicas (struct gateway_fleet *fleet, uint32_t count)
{
	enum
	{
		APPLY_US = 4 * US_PER_S,
	};

	fleet->sync_replicas = count;
	fleet->configuration++;
	write_configuration (fleet);
	fleet->settled_us += APPLY_US;
	virtual_run (&fleet->world, fleet->settled_us);
}

void
gateway_fleet_finish (struct gateway_fleet *fleet)
{
	for (int i = 0; i < fleet->vm_count; i++)
		vm_kill (fleet, &fleet->vms[i]);
	fleet_store_free (fleet->store);
	fleet_servers_finish (fleet);
	for (int i = 0; i < fleet->service_count; i++)
	{
		g_array_free (fleet->services[i].led_us, TRUE);
		g_array_free (fleet->services[i].commits, TRUE);
	}
	virtual_world_finish (&fleet->world);
	g_string_free (fleet->violations, TRUE);
	g_free (fleet->vms);
	gateway_fleet = NULL;
}
