/* Reads and leaving servers of the simulated fleet, with their checks. */
#include "fleet_private.h"

#include "decision/routing.h"

#include <glib.h>

enum
{
	LEAVING_US = 3000000, /* Section 1 of docs/design.md, P7. */
	READ_US = 1000000,    /* Deadline of a read. */
	SERVER_KEY_BYTES = 24,
};

static void
server_key (uint32_t group, uint32_t server, char *key)
{
	g_snprintf (key, SERVER_KEY_BYTES, "db%u/%u", group, server);
}

static bool
vm_knows_leaving (const struct fleet_vm *vm, uint32_t number, uint32_t server)
{
	struct membership_item item;
	char key[SERVER_KEY_BYTES];

	server_key (number, server, key);
	return vm->fleet->tracks_leaving &&
	       membership_find_item (vm->membership, ITEM_LEAVING, key, &item) && item.value;
}

void
fleet_set_leaving (struct fleet *fleet, uint32_t vm, uint32_t server, bool is_leaving)
{
	struct membership_item item = { .type = ITEM_LEAVING,
		                            .version = (uint64_t) fleet_now (fleet),
		                            .value = is_leaving };

	server_key (0, server, item.key);
	membership_merge (fleet->vms[vm].membership, &item, fleet_now (fleet));
	fleet->tracks_leaving = true;
	fleet->leaving_since_us[server] = is_leaving ? fleet_now (fleet) : 0;
	fleet_vm_step (&fleet->vms[vm]);
}

bool
fleet_leaving_is_due (const struct fleet *fleet, uint32_t server)
{
	int64_t since_us = MAX (fleet->leaving_since_us[server], fleet->connected_since_us);

	return fleet->leaving_since_us[server] && since_us < fleet_now (fleet) - LEAVING_US;
}

bool
fleet_may_use (struct fleet_vm *vm, uint32_t number, uint32_t server)
{
	if (vm_knows_leaving (vm, number, server))
		return false;
	if (number == 0 && fleet_leaving_is_due (vm->fleet, server))
		fleet_report_violation (vm->fleet, "P7: a leaving server got new work after 3 s");
	return true;
}

void
fleet_update_leaving (struct fleet_vm *vm, uint32_t number)
{
	uint32_t servers = 0;

	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
		servers |= (uint32_t) vm_knows_leaving (vm, number, s) << s;
	failover_set_leaving (&vm->groups[number].failover, servers, fleet_now (vm->fleet));
}

/* Returns the session's last write. The request's value is its number, counted from 1. */
static const struct fleet_write *
read_token (const struct fleet *fleet, uint32_t number, const struct virtual_reply *reply)
{
	return &fleet->histories[number].writes[reply->request.value - 1];
}

static void
handle_read (void *context, const void *payload)
{
	const struct virtual_reply *reply = payload;
	struct fleet_group *group = context;
	struct fleet_vm *vm = *(struct fleet_vm **) group->failover_memory;
	uint32_t number = (uint32_t) (group - vm->groups);
	const struct fleet_write *token = read_token (vm->fleet, number, reply);
	const struct virtual_server *server = &vm->fleet->groups[number].servers[reply->server];

	vm->fleet->histories[number].reads++;
	if (token->position.index > server->length ||
	    server->log[token->position.index - 1].value != token->value)
		fleet_report_violation (vm->fleet, "P1: a read lacks the last write of its session");
}

/* Repeats the owner's check with the server's current position before it sends the read. */
static void
handle_position (void *context, const void *payload)
{
	const struct virtual_reply *reply = payload;
	struct fleet_group *group = context;
	struct fleet_vm *vm = *(struct fleet_vm **) group->failover_memory;
	uint32_t number = (uint32_t) (group - vm->groups);
	int64_t now_us = fleet_now (vm->fleet);
	struct virtual_request read = { .type = VIRTUAL_READ,
		                            .value = reply->request.value,
		                            .run_us = 1000 };
	struct routing_request request = {
		.required = read_token (vm->fleet, number, reply)->position,
		.deadline_us = now_us + READ_US,
	};
	struct routing_server server = {
		.is_primary = reply->status.is_primary,
		.position = reply->status.position,
		.position_at_us = now_us,
	};

	if (routing_check_server (&server, &request, now_us) == CHECK_SERVE)
		virtual_group_call (&vm->fleet->groups[number], (int) vm->index, reply->server, &read,
		                    (struct virtual_handler){ handle_read, group });
}

void
fleet_read (struct fleet *fleet, uint32_t number)
{
	struct fleet_vm *vm = &fleet->vms[virtual_random (&fleet->world) % fleet->vm_count];
	uint32_t server = (uint32_t) (virtual_random (&fleet->world) % FLEET_SERVERS);
	struct virtual_request status = { .type = VIRTUAL_STATUS,
		                              .value = fleet->histories[number].count };

	if (!status.value || fleet->world.nodes[vm->index].state != VIRTUAL_RUNNING ||
	    !fleet_may_use (vm, number, server))
		return;
	virtual_group_call (&fleet->groups[number], (int) vm->index, server, &status,
	                    (struct virtual_handler){ handle_position, &vm->groups[number] });
}
