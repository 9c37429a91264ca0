#include "group.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

enum
{
	DEDUPLICATION_ENTRIES = 4096, /* Newest entries that are searched for a repeated write. */
};

static void
server_append (struct virtual_server *server, struct virtual_entry entry)
{
	if (server->length % 64 == 0)
		server->log = g_renew (struct virtual_entry, server->log, server->length + 64);
	server->log[server->length++] = entry;
}

struct server_status
virtual_server_status (const struct virtual_server *server)
{
	return (struct server_status){
		.is_primary = server->is_primary,
		.promised_term = server->promised_term,
		.position = { .term = server->length ? server->log[server->length - 1].term : 0,
		              .index = server->length },
	};
}

/* The first length entries of a primary's log, in transit to a replica. */
struct replication
{
	const struct virtual_server *primary;
	struct virtual_server *replica;
	uint64_t term;
	uint64_t length;
};

static void
handle_apply (void *context, const void *payload)
{
	const struct replication *part = payload;
	const struct virtual_server *primary = part->primary;
	struct virtual_server *replica = part->replica;
	uint64_t common_length = replica->length < part->length ? replica->length : part->length;

	/* A primary that was replaced meanwhile may have dropped the entries. */
	if (replica->promised_term > part->term || primary->length < part->length ||
	    primary->log[part->length - 1].term != part->term)
		return;
	replica->promised_term = part->term;
	replica->is_primary = false;
	/* Logs with the same term at an index are equal up to that index. */
	while (common_length > 0 &&
	       replica->log[common_length - 1].term != primary->log[common_length - 1].term)
		common_length--;
	if (common_length < part->length)
		replica->length = common_length;
	for (; common_length < part->length; common_length++)
		server_append (replica, primary->log[common_length]);
}

static void
handle_replication (void *context, const void *payload)
{
	struct virtual_group *group = context;
	const struct replication *part = payload;

	virtual_schedule (group->world, group->first_node + (int) part->replica->index,
	                  group->world->now_us + part->replica->lag_us,
	                  (struct virtual_handler){ handle_apply, group }, part, sizeof *part);
}

static void
server_replicate (struct virtual_server *server)
{
	struct virtual_group *group = server->group;
	int node = group->first_node + (int) server->index;

	for (uint32_t i = 0; server->is_primary && i < group->server_count; i++)
	{
		struct virtual_server *to = &group->servers[i];
		struct replication part = { server, to, server->primary_term, server->length };

		if (to != server)
			virtual_send (group->world, true, node, group->first_node + (int) i,
			              (struct virtual_handler){ handle_replication, group }, &part,
			              sizeof part);
	}
}

static void
handle_replicate_all (void *context, const void *payload)
{
	struct virtual_group *group = context;

	for (uint32_t i = 0; i < group->server_count; i++)
		if (group->world->nodes[group->first_node + (int) i].state == VIRTUAL_RUNNING)
			server_replicate (&group->servers[i]);
	virtual_schedule (group->world, VIRTUAL_NO_NODE,
	                  group->world->now_us + group->replicate_every_us,
	                  (struct virtual_handler){ handle_replicate_all, group }, NULL, 0);
}

static int
server_fence (struct virtual_server *server, uint64_t term, uint32_t claimant)
{
	if (term <= server->promised_term)
		return -EPERM;
	server->promised_term = term;
	server->claimant = claimant;
	server->is_primary = false;
	return 0;
}

static int
server_promote (struct virtual_server *server, uint64_t term, uint32_t claimant)
{
	if (term != server->promised_term || claimant != server->claimant)
		return -EPERM;
	if (server->primary_term == term)
		return 0;
	server->is_primary = true;
	server->primary_term = term;
	server_append (server, (struct virtual_entry){ term, 0 });
	if (server->group->promoted.handle)
		server->group->promoted.handle (server->group->promoted.context, server);
	server_replicate (server);
	return 0;
}

static int
server_write (struct virtual_server *server, const struct virtual_request *request,
              struct log_position *position)
{
	uint64_t oldest =
		server->length > DEDUPLICATION_ENTRIES ? server->length - DEDUPLICATION_ENTRIES : 0;

	if (!server->is_primary)
		return -EROFS;
	for (uint64_t i = server->length; request->has_request_id && i > oldest; i--)
		if (server->log[i - 1].value == request->value)
		{
			*position = (struct log_position){ server->log[i - 1].term, i };
			return -EEXIST;
		}
	server_append (server, (struct virtual_entry){ server->primary_term, request->value });
	server_replicate (server);
	return 0;
}

/* A request in transit to a server, running there, or its reply in transit back. */
struct call
{
	struct virtual_group *group;
	int node;
	struct virtual_handler handler;
	struct virtual_reply reply;
};

static void
handle_execute (void *context, const void *payload)
{
	struct call call = *(const struct call *) payload;
	struct virtual_group *group = call.group;
	struct virtual_server *server = &group->servers[call.reply.server];
	const struct virtual_request *request = &call.reply.request;
	struct log_position first;

	if (request->type == VIRTUAL_FENCE)
		call.reply.result = server_fence (server, request->term, request->claimant);
	if (request->type == VIRTUAL_PROMOTE)
		call.reply.result = server_promote (server, request->term, request->claimant);
	if (request->type == VIRTUAL_WRITE)
		call.reply.result = server_write (server, request, &first);
	call.reply.status = virtual_server_status (server);
	call.reply.last = call.reply.status.position;
	if (call.reply.result == -EEXIST)
		call.reply.status.position = first;
	if (virtual_random (group->world) % 1000000 >= group->answer_loss_per_million)
		virtual_send (group->world, true, group->first_node + (int) server->index, call.node,
		              call.handler, &call.reply, sizeof call.reply);
}

static void
handle_request (void *context, const void *payload)
{
	const struct call *call = payload;
	struct virtual_group *group = call->group;
	struct virtual_server *server = &group->servers[call->reply.server];
	int64_t *free_us = &server->slot_free_us[0];

	if (call->reply.request.type != VIRTUAL_READ && call->reply.request.type != VIRTUAL_WRITE)
	{
		handle_execute (NULL, payload);
		return;
	}
	for (uint32_t i = 1; i < group->slots; i++)
		if (server->slot_free_us[i] < *free_us)
			free_us = &server->slot_free_us[i];
	if (*free_us < group->world->now_us)
		*free_us = group->world->now_us;
	*free_us += call->reply.request.run_us;
	virtual_schedule (group->world, group->first_node + (int) server->index, *free_us,
	                  (struct virtual_handler){ handle_execute, NULL }, call, sizeof *call);
}

void
virtual_group_call (struct virtual_group *group, int node, uint32_t server,
                    const struct virtual_request *request, struct virtual_handler handler)
{
	struct call call = {
		group, node, handler, { *request, server, group->world->now_us, 0, { 0 }, { 0 } }
	};

	virtual_send (group->world, true, node, group->first_node + (int) server,
	              (struct virtual_handler){ handle_request, NULL }, &call, sizeof call);
}

void
virtual_group_init (struct virtual_group *group, struct virtual_world *world, int first_node,
                    uint32_t server_count, uint32_t slots)
{
	g_assert_true (server_count <= VIRTUAL_MAX_SERVERS && slots <= VIRTUAL_MAX_SLOTS && slots > 0);
	memset (group, 0, sizeof *group);
	group->world = world;
	group->first_node = first_node;
	group->server_count = server_count;
	group->slots = slots;
	group->replicate_every_us = 50000;
	for (uint32_t i = 0; i < server_count; i++)
	{
		group->servers[i].group = group;
		group->servers[i].index = i;
		group->servers[i].promised_term = 1;
		server_append (&group->servers[i], (struct virtual_entry){ .term = 1 });
	}
	group->servers[0].is_primary = true;
	group->servers[0].primary_term = 1;
	handle_replicate_all (group, NULL);
}

void
virtual_group_finish (struct virtual_group *group)
{
	for (uint32_t i = 0; i < group->server_count; i++)
		g_free (group->servers[i].log);
	memset (group, 0, sizeof *group);
}
