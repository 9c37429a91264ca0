/* Writes of the simulated fleet, and checks of the acknowledged ones. */
#include "fleet_private.h"

#include <errno.h>
#include <glib.h>

enum
{
	ACKNOWLEDGE_US = 2000000,
	OVERDUE_US = 300000, /* Delay after which the traffic thread reports an answer as overdue. */
	/* The traffic thread reports a status to the observer at most this often. */
	STATUS_REPORT_INTERVAL_US = 100000,
	REPLAY = 7, /* Replaces the server's number when a retried write was found in the log. */
};

void
fleet_handle_promoted (void *context, const void *payload)
{
	struct fleet *fleet = context;
	const struct virtual_server *server = payload;
	const struct fleet_history *history = &fleet->histories[server->group - fleet->groups];

	for (uint32_t i = 0; i < FLEET_SERVERS; i++)
		if (i != server->index && server->group->servers[i].primary_term == server->primary_term)
			fleet_report_violation (fleet, "P2: two primaries of one term");
	for (size_t i = 0; i < history->count; i++)
	{
		const struct fleet_write *write = &history->writes[i];

		/* A promotion too late to get any acknowledgement may lack writes of later terms. */
		if (write->position.term >= server->primary_term)
			continue;
		if (write->position.index > server->length ||
		    server->log[write->position.index - 1].value != write->value)
			fleet_report_violation (fleet,
			                        "P2: an acknowledged write is missing from a later primary");
	}
}

/* Finds the original position of a retried write, whose acknowledgement waited for a later one. */
static bool
find_first_position (const struct virtual_group *group, struct fleet_write *write)
{
	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
	{
		const struct virtual_server *server = &group->servers[s];

		for (uint64_t i = server->length; server->primary_term == write->position.term && i > 0;
		     i--)
			if (server->log[i - 1].value == write->value)
			{
				write->position = (struct log_position){ server->log[i - 1].term, i };
				return true;
			}
	}
	return false;
}

void
fleet_check_log (struct fleet *fleet, uint32_t number)
{
	const struct virtual_server *newest = &fleet->groups[number].servers[0];
	g_autoptr (GHashTable) values = g_hash_table_new (g_int64_hash, g_int64_equal);

	for (uint32_t s = 1; s < FLEET_SERVERS; s++)
		if (fleet->groups[number].servers[s].primary_term > newest->primary_term)
			newest = &fleet->groups[number].servers[s];
	for (uint64_t i = 0; i < newest->length; i++)
		if (newest->log[i].value && !g_hash_table_add (values, &newest->log[i].value))
			fleet_report_violation (fleet, "P6: a write is in the log twice");
	for (size_t i = 0; i < fleet->histories[number].count; i++)
		if (!g_hash_table_contains (values, &fleet->histories[number].writes[i].value))
			fleet_report_violation (fleet, "P2: an acknowledged write is missing at the end");
}

static void
group_acknowledge (struct fleet *fleet, uint32_t number, struct fleet_group *group)
{
	struct fleet_history *history = &fleet->histories[number];
	struct acknowledgement_result result;

	while ((result = acknowledgement_next (group->acknowledgement, fleet_now (fleet))).verdict !=
	       ACKNOWLEDGEMENT_NONE)
	{
		struct fleet_write write = { result.position, result.cookie >> 3,
			                         (uint32_t) (result.cookie & 7) };

		if (result.verdict != ACKNOWLEDGEMENT_DONE)
			history->unknown_write = write.value;
		if (result.verdict != ACKNOWLEDGEMENT_DONE)
			continue;
		if (write.server == REPLAY && !find_first_position (&fleet->groups[number], &write))
		{
			fleet_report_violation (fleet,
			                        "P2: a repeated write was acknowledged that no primary has");
			continue;
		}
		for (size_t i = history->count; i > 0 && i + 64 > history->count; i--)
			if (history->writes[i - 1].position.term == write.position.term &&
			    write.server != REPLAY && history->writes[i - 1].server != REPLAY &&
			    history->writes[i - 1].server != write.server)
				fleet_report_violation (fleet,
				                        "P2: two primaries got acknowledgements in one term");
		for (uint32_t i = 0; i < FLEET_SERVERS; i++)
		{
			const struct virtual_server *server = &fleet->groups[number].servers[i];

			if (server->primary_term > write.position.term &&
			    (write.position.index > server->length ||
			     server->log[write.position.index - 1].value != write.value))
				fleet_report_violation (fleet,
				                        "P2: a write was acknowledged that a later primary lacks");
		}
		if (history->count % 256 == 0)
			history->writes = g_renew (struct fleet_write, history->writes, history->count + 256);
		history->writes[history->count++] = write;
		if (history->last_us && fleet_now (fleet) - history->last_us > history->longest_gap_us)
			history->longest_gap_us = fleet_now (fleet) - history->last_us;
		history->last_us = fleet_now (fleet);
	}
}

static void
handle_write_status (void *context, const void *payload)
{
	const struct virtual_reply *reply = payload;
	struct fleet_group *group = context;
	struct fleet_vm *vm = *(struct fleet_vm **) group->failover_memory;

	acknowledgement_report (group->acknowledgement, reply->server, &reply->status);
	if (vm->fleet->writes_at_owner && group->is_observer &&
	    fleet_now (vm->fleet) - group->reported_us[reply->server] >= STATUS_REPORT_INTERVAL_US)
	{
		group->reported_us[reply->server] = fleet_now (vm->fleet);
		failover_handle_traffic (&group->failover, reply->server, true, fleet_now (vm->fleet));
		failover_handle_status (&group->failover, reply->server, &reply->status, reply->sent_us,
		                        fleet_now (vm->fleet));
		fleet_vm_step (vm);
	}
	group_acknowledge (vm->fleet, (uint32_t) (group - vm->groups), group);
}

/* Polls the status of all servers while writes wait for acknowledgement, as an owner does. */
static void
handle_write_poll (void *context, const void *payload)
{
	struct fleet_group *group = context;
	struct fleet_vm *vm = *(struct fleet_vm **) group->failover_memory;
	uint32_t number = (uint32_t) (group - vm->groups);
	struct virtual_request status = { .type = VIRTUAL_STATUS };

	group_acknowledge (vm->fleet, number, group);
	group->is_polling = acknowledgement_is_waiting (group->acknowledgement);
	if (!group->is_polling)
		return;
	for (uint32_t i = 0; i < FLEET_SERVERS; i++)
		virtual_group_call (&vm->fleet->groups[number], (int) vm->index, i, &status,
		                    (struct virtual_handler){ handle_write_status, group });
	virtual_schedule (&vm->fleet->world, (int) vm->index, fleet_now (vm->fleet) + 20000,
	                  (struct virtual_handler){ handle_write_poll, group }, NULL, 0);
}

static void
handle_write_reply (void *context, const void *payload)
{
	const struct virtual_reply *reply = payload;
	struct fleet_group *group = context;
	struct fleet_vm *vm = *(struct fleet_vm **) group->failover_memory;

	group->answered_value = MAX (group->answered_value, reply->request.value);
	if (group->is_observer)
	{
		failover_handle_traffic (&group->failover, reply->server, true, fleet_now (vm->fleet));
		failover_handle_status (&group->failover, reply->server, &reply->status, reply->sent_us,
		                        fleet_now (vm->fleet));
		fleet_vm_step (vm);
	}
	acknowledgement_report (group->acknowledgement, reply->server, &reply->status);
	if (reply->result != 0 && reply->result != -EEXIST)
		return;
	acknowledgement_add (group->acknowledgement,
	                     reply->request.value << 3 | (reply->result ? REPLAY : reply->server),
	                     reply->server, reply->result ? reply->last : reply->status.position,
	                     fleet_now (vm->fleet) + ACKNOWLEDGE_US);
	if (!group->is_polling)
		handle_write_poll (group, NULL);
}

/* Identifies a sent write for the overdue check. */
struct sent_write
{
	uint64_t value;
	uint32_t server;
};

static void
handle_overdue (void *context, const void *payload)
{
	const struct sent_write *sent = payload;
	struct fleet_group *group = context;
	struct fleet_vm *vm = *(struct fleet_vm **) group->failover_memory;

	if (group->answered_value >= sent->value)
		return;
	vm->fleet->histories[group - vm->groups].unknown_write = sent->value;
	if (!group->is_observer)
		return;
	failover_handle_traffic (&group->failover, sent->server, false, fleet_now (vm->fleet));
	fleet_vm_step (vm);
}

void
fleet_write (struct fleet *fleet, uint32_t number)
{
	struct fleet_vm *vm = &fleet->vms[virtual_random (&fleet->world) % fleet->vm_count];
	struct virtual_request request = { .type = VIRTUAL_WRITE,
		                               .value = ++fleet->next_value,
		                               .run_us = 1000 };
	struct fleet_history *history = &fleet->histories[number];
	struct sent_write sent;
	struct membership_item item;
	char key[16];

	fleet_group_key (number, key, sizeof key);
	if (!membership_find_item (vm->membership, ITEM_GROUP, key, &item))
		return;
	sent.server = (uint32_t) item.value;
	if (fleet->writes_at_owner && vm->groups[number].owners[sent.server])
		vm = &fleet->vms[vm->groups[number].owners[sent.server] - 1];
	if (fleet->world.nodes[vm->index].state != VIRTUAL_RUNNING ||
	    !fleet_may_use (vm, number, sent.server))
		return;
	request.has_request_id = fleet->retries_writes;
	if (fleet->retries_writes && history->unknown_write)
		request.value = history->unknown_write;
	history->unknown_write = 0;
	sent.value = request.value;
	virtual_group_call (&fleet->groups[number], (int) vm->index, sent.server, &request,
	                    (struct virtual_handler){ handle_write_reply, &vm->groups[number] });
	virtual_schedule (&fleet->world, (int) vm->index, fleet_now (fleet) + OVERDUE_US,
	                  (struct virtual_handler){ handle_overdue, &vm->groups[number] }, &sent,
	                  sizeof sent);
}
