#include "fleet.h"

#include "fleet_private.h"

#include "decision/ownership.h"
#include "decision/retry.h"

#include <glib.h>
#include <string.h>

enum
{
	CALL_TIMEOUT_US = 1000000,
	MAX_WRITES = 256,
	MAX_ITEMS = 2048,
	/* XDR and RPC headers of struct fs_gossip, UDP and IPv4 headers. */
	DATAGRAM_BYTES = 40 + 48 + 28,
	MEMBER_BYTES = 40,
	ITEM_BYTES = 24,
	CLAIM_BYTES = 12,
	BLOCK_BYTES = 12,
	/* One call on a new connection: 3 TCP segments open it, 2 carry the data and the
	 * acknowledgements, 3 close it; then the RPC headers and the arguments of a document pull. */
	PULL_BYTES = 8 * 52 + 16 + 44 + 8 + 36,
	DOCUMENT_BYTES = 1300, /* Size of tests/scenarios/riga.yaml as stored by the platform. */
};

int
fleet_server_node (const struct fleet *fleet, uint32_t group, uint32_t server)
{
	return (int) (fleet->vm_count + group * FLEET_SERVERS + server);
}

/* A message between VMs, or between a VM and the platform. */
enum message_type
{
	MESSAGE_GOSSIP,
	MESSAGE_STATE_PULL,
	MESSAGE_STATE, /* Answer to a state pull: the receiver copies the sender's state. */
	MESSAGE_ASK_OPINION,
	MESSAGE_OPINION,
	MESSAGE_PULL,
	MESSAGE_DOCUMENTS, /* Answer to a pull. */
	MESSAGE_PLATFORM,  /* Answer or event of the platform. */
	MESSAGE_PLATFORM_END,
	MESSAGE_LOAD,
	MESSAGE_WATCH,
};

struct message
{
	struct fleet *fleet;
	enum message_type type;
	uint32_t from;
	uint32_t to;
	uint32_t group;
	uint64_t number;
	uint64_t revision;
	uint64_t revisions[FLEET_SERVICES];
	struct failover_opinion opinion;
};

struct gossip
{
	struct message message;
	struct gossip_message gossip;
	uint64_t bytes;
};

static void handle_message (void *context, const void *payload);

static void
send_message (const struct message *message)
{
	virtual_send (&message->fleet->world, true, (int) message->from, (int) message->to,
	              (struct virtual_handler){ handle_message, NULL }, message, sizeof *message);
}

static void
reply_message (const struct message *message, enum message_type type, uint64_t revision,
               const uint64_t *revisions)
{
	struct message reply = *message;

	reply.type = type;
	reply.from = message->to;
	reply.to = message->from;
	reply.revision = revision;
	memcpy (reply.revisions, revisions, sizeof reply.revisions);
	send_message (&reply);
}

static void
handle_delayed (void *context, const void *payload)
{
	send_message (payload);
}

/* Sends an answer or event of the platform, or loses it together with the VM's watch. */
static void
platform_send (const struct message *message, enum message_type type)
{
	struct fleet *fleet = message->fleet;
	struct fleet_platform *platform = &fleet->platform;
	struct message reply = *message;

	reply.type = type;
	reply.from = message->to;
	reply.to = message->from;
	reply.revision = platform->revision;
	memcpy (reply.revisions, platform->revisions, sizeof reply.revisions);
	if (platform->answer_loss_per_million &&
	    virtual_random (&fleet->world) % 1000000 < platform->answer_loss_per_million)
		platform->watches[message->from] = 0;
	else if (!platform->answer_delay_us)
		send_message (&reply);
	else
		virtual_schedule (&fleet->world, fleet->platform_node,
		                  fleet_now (fleet) + platform->answer_delay_us,
		                  (struct virtual_handler){ handle_delayed, NULL }, &reply, sizeof reply);
}

static void
handle_platform (struct message *message)
{
	struct fleet *fleet = message->fleet;
	struct fleet_platform *platform = &fleet->platform;

	platform->calls++;
	if (fleet_now (fleet) / 1000000 != platform->second)
		platform->second_calls = 0;
	platform->second = fleet_now (fleet) / 1000000;
	if (++platform->second_calls > platform->peak_calls_per_s)
		platform->peak_calls_per_s = platform->second_calls;
	if (platform->is_down)
	{
		reply_message (message, MESSAGE_PLATFORM_END, 0, platform->revisions);
		return;
	}
	if (message->type == MESSAGE_WATCH)
		platform->watches[message->from] = message->number;
	if (message->type == MESSAGE_LOAD || platform->revision > message->revision)
		platform_send (message, MESSAGE_PLATFORM);
}

static void
vm_adopt_documents (struct fleet_vm *vm, const struct message *message)
{
	for (uint32_t i = 0; i < FLEET_SERVICES; i++)
	{
		char name[16];

		g_snprintf (name, sizeof name, "service%u", i);
		if (!configuration_offer (vm->configuration, name, message->revisions[i], false))
			continue;
		if (message->revisions[i] <= vm->revisions[i])
			fleet_report_violation (vm->fleet, "P9: a document went back");
		vm->revisions[i] = message->revisions[i];
	}
	configuration_handle_complete (vm->configuration, message->revision, fleet_now (vm->fleet));
	membership_set_config_revision (vm->membership, configuration_revision (vm->configuration),
	                                fleet_now (vm->fleet));
}

static void
vm_load_state (struct fleet_vm *vm, const struct fleet_vm *peer)
{
	struct membership_item item;
	struct member member;
	char key[16];

	vm->has_state = true;
	for (size_t i = 0; membership_get_item (peer->membership, i, &item); i++)
		membership_load (vm->membership, &item, fleet_now (vm->fleet));
	for (size_t i = 0; membership_get (peer->membership, i, &member); i++)
	{
		g_snprintf (key, sizeof key, "%u", member.id);
		if (membership_find_item (peer->membership, ITEM_MEMBER, key, &item))
			membership_load (vm->membership, &item, fleet_now (vm->fleet));
	}
}

/* Requests the state from random initial members until one answers. */
static void
handle_pull_state (void *context, const void *payload)
{
	struct fleet_vm *vm = context;
	struct message message = {
		.fleet = vm->fleet,
		.type = MESSAGE_STATE_PULL,
		.from = vm->index,
		.to = (uint32_t) (random_next (&vm->seed) % vm->fleet->members_known),
	};

	if (vm->has_state)
		return;
	if (message.to != vm->index)
		send_message (&message);
	virtual_schedule (&vm->fleet->world, (int) vm->index, fleet_now (vm->fleet) + CALL_TIMEOUT_US,
	                  (struct virtual_handler){ handle_pull_state, vm }, NULL, 0);
}

/* Same as in flamingospring/control_gossip.c. */
static void
vm_handle_gossip (struct fleet_vm *vm, const struct gossip_message *gossip)
{
	int64_t now_us = fleet_now (vm->fleet);

	membership_handle_message (vm->membership, gossip, now_us);
	configuration_set_fleet (vm->configuration, membership_count (vm->membership),
	                         membership_config_read_us (vm->membership));
	configuration_handle_peer (vm->configuration, gossip->from, gossip->config_revision, now_us);
	if (gossip->config_revision <= vm->gossip_revision)
		return;
	vm->gossip_revision = gossip->config_revision;
	vm->gossip_revision_at_us = now_us;
}

static void
vm_handle_message (struct fleet_vm *vm, const struct message *message)
{
	struct fleet_group *group = &vm->groups[message->group];
	struct message reply = *message;

	switch (message->type)
	{
	case MESSAGE_GOSSIP:
		vm->received_bytes += ((const struct gossip *) message)->bytes;
		vm_handle_gossip (vm, &((const struct gossip *) message)->gossip);
		break;
	case MESSAGE_STATE_PULL:
		reply_message (message, MESSAGE_STATE, 0, vm->revisions);
		break;
	case MESSAGE_STATE:
		vm_load_state (vm, &vm->fleet->vms[message->from]);
		break;
	case MESSAGE_ASK_OPINION:
		if (!group->is_observer)
			return;
		failover_handle_asked (&group->failover, fleet_now (vm->fleet));
		reply.opinion = failover_opinion (&group->failover);
		reply_message (&reply, MESSAGE_OPINION, 0, vm->revisions);
		break;
	case MESSAGE_OPINION:
		if (group->is_observer)
			failover_handle_opinion (&group->failover, message->from + 1, &message->opinion,
			                         fleet_now (vm->fleet));
		break;
	case MESSAGE_PULL:
		vm->pull_bytes += PULL_BYTES + DOCUMENT_BYTES;
		vm->fleet->vms[message->from].pull_bytes += PULL_BYTES + DOCUMENT_BYTES;
		reply_message (message, MESSAGE_DOCUMENTS, configuration_revision (vm->configuration),
		               vm->revisions);
		break;
	case MESSAGE_DOCUMENTS:
		if (message->number == vm->pull)
			vm_adopt_documents (vm, message);
		vm->pull = message->number == vm->pull ? 0 : vm->pull;
		break;
	case MESSAGE_PLATFORM:
		if (message->number == vm->watch)
			vm_adopt_documents (vm, message);
		break;
	case MESSAGE_PLATFORM_END:
		if (message->number == vm->watch)
			configuration_handle_platform_error (vm->configuration, fleet_now (vm->fleet));
		break;
	case MESSAGE_LOAD:
	case MESSAGE_WATCH:
		break;
	}
	fleet_vm_step (vm);
}

static void
handle_message (void *context, const void *payload)
{
	const struct message *message = payload;
	struct message copy = *message;

	if ((int) message->to == message->fleet->platform_node)
		handle_platform (&copy);
	else
		vm_handle_message (&message->fleet->vms[message->to], message);
}

/* Handles the timeout of a load, a watch or a pull. */
static void
handle_call_timeout (void *context, const void *payload)
{
	struct fleet_vm *vm = context;
	uint64_t number = *(const uint64_t *) payload;

	if (vm->pull == number)
	{
		vm->pull = 0;
		configuration_handle_pull_error (vm->configuration, fleet_now (vm->fleet));
		fleet_vm_step (vm);
	}
	/* A watch has no time limit, but the connection's keep-alive detects a broken link. */
	else if (vm->watch == number &&
	         (vm->fleet->platform.watches[vm->index] != number ||
	          vm->fleet->world.nodes[vm->index].partition !=
	              vm->fleet->world.nodes[vm->fleet->platform_node].partition))
	{
		if (configuration_revision (vm->configuration) < vm->fleet->platform.revision ||
		    vm->fleet->platform.watches[vm->index] == 0)
		{
			configuration_handle_platform_error (vm->configuration, fleet_now (vm->fleet));
			fleet_vm_step (vm);
		}
	}
	if (vm->watch == number)
		virtual_schedule (
			&vm->fleet->world, (int) vm->index, fleet_now (vm->fleet) + CALL_TIMEOUT_US,
			(struct virtual_handler){ handle_call_timeout, vm }, &number, sizeof number);
}

static void
vm_run_configuration (struct fleet_vm *vm)
{
	struct fleet *fleet = vm->fleet;
	struct configuration_effect effect;

	while ((effect = configuration_next (vm->configuration, fleet_now (fleet))).type !=
	       CONFIGURATION_NONE)
	{
		struct message message = {
			.fleet = fleet,
			.from = vm->index,
			.to = (uint32_t) fleet->platform_node,
			.number = ++fleet->next_value,
			.revision = effect.revision,
		};

		fleet->platform.watches[vm->index] =
			effect.type == CONFIGURATION_PULL ? fleet->platform.watches[vm->index] : 0;
		if (effect.type == CONFIGURATION_UNWATCH)
		{
			vm->watch = 0;
			continue;
		}
		message.type = effect.type == CONFIGURATION_LOAD    ? MESSAGE_LOAD
		               : effect.type == CONFIGURATION_WATCH ? MESSAGE_WATCH
		                                                    : MESSAGE_PULL;
		if (effect.type == CONFIGURATION_PULL)
		{
			message.to = effect.peer - 1;
			vm->pull = message.number;
		}
		else
			vm->watch = message.number;
		send_message (&message);
		virtual_schedule (&fleet->world, (int) vm->index, fleet_now (fleet) + CALL_TIMEOUT_US,
		                  (struct virtual_handler){ handle_call_timeout, vm }, &message.number,
		                  sizeof message.number);
	}
}

static void
vm_run_membership (struct fleet_vm *vm)
{
	struct fleet *fleet = vm->fleet;
	struct membership_effect effect;

	while (membership_next (vm->membership, &effect, fleet_now (fleet)))
	{
		struct gossip gossip = {
			.message = { .fleet = fleet, .from = vm->index, .to = effect.to - 1 },
			.gossip = effect.message,
		};

		gossip.bytes = DATAGRAM_BYTES + effect.message.claim_count * CLAIM_BYTES +
		               effect.message.block_count * BLOCK_BYTES;
		for (uint32_t i = 0; i < effect.message.item_count; i++)
			gossip.bytes +=
				effect.message.items[i].type == ITEM_MEMBER
					? MEMBER_BYTES
					: ITEM_BYTES + ((strlen (effect.message.items[i].key) + 3) & ~(size_t) 3);
		vm->sent_datagrams++;
		vm->sent_bytes += gossip.bytes;
		virtual_send (&fleet->world, false, (int) vm->index, (int) effect.to - 1,
		              (struct virtual_handler){ handle_message, NULL }, &gossip, sizeof gossip);
	}
}

void
fleet_group_key (uint32_t group, char *key, size_t bytes)
{
	g_snprintf (key, bytes, "db%u", group);
}

/* Handles a server's reply to one VM. */
static void
handle_reply (void *context, const void *payload)
{
	const struct virtual_reply *reply = payload;
	struct fleet_group *group = context;
	struct fleet_vm *vm = *(struct fleet_vm **) group->failover_memory;
	int64_t now_us = fleet_now (vm->fleet);
	bool accepted = reply->result == 0;

	acknowledgement_report (group->acknowledgement, reply->server, &reply->status);
	if (!group->is_observer)
		return;
	if (reply->request.type == VIRTUAL_STATUS)
		failover_handle_status (&group->failover, reply->server, &reply->status, reply->sent_us,
		                        now_us);
	if (reply->request.type == VIRTUAL_FENCE)
		failover_handle_fenced (&group->failover, reply->server, reply->request.term, accepted,
		                        &reply->status, now_us);
	if (reply->request.type == VIRTUAL_PROMOTE)
		failover_handle_promoted (&group->failover, reply->server, reply->request.term, accepted,
		                          &reply->status, now_us);
	fleet_vm_step (vm);
}

static void
vm_run_failover (struct fleet_vm *vm, uint32_t number)
{
	struct fleet *fleet = vm->fleet;
	struct fleet_group *group = &vm->groups[number];
	struct failover_effect effect;

	while ((effect = failover_next (&group->failover, fleet_now (fleet))).type != FAILOVER_NONE)
	{
		struct virtual_request request = { .term = effect.term, .claimant = vm->index + 1 };
		struct message ask = { .fleet = fleet,
			                   .type = MESSAGE_ASK_OPINION,
			                   .from = vm->index,
			                   .to = effect.observer - 1,
			                   .group = number };
		struct membership_item item = { .type = ITEM_GROUP,
			                            .version = effect.term,
			                            .value = effect.server };

		if (effect.type == FAILOVER_ASK)
			send_message (&ask);
		else if (effect.type == FAILOVER_ANNOUNCE)
		{
			fleet_group_key (number, item.key, sizeof item.key);
			membership_merge (vm->membership, &item, fleet_now (fleet));
		}
		else
		{
			request.type = effect.type == FAILOVER_POLL    ? VIRTUAL_STATUS
			               : effect.type == FAILOVER_FENCE ? VIRTUAL_FENCE
			                                               : VIRTUAL_PROMOTE;
			virtual_group_call (&fleet->groups[number], (int) vm->index, effect.server, &request,
			                    (struct virtual_handler){ handle_reply, group });
		}
	}
}

static void
vm_set_group (struct fleet_vm *vm, uint32_t number, const struct ownership_member *members,
              size_t count)
{
	struct fleet *fleet = vm->fleet;
	struct fleet_group *group = &vm->groups[number];
	struct failover_observer observers[FLEET_SERVERS];
	struct membership_item item;
	bool is_observer = false;
	char key[16];

	fleet_group_key (number, key, sizeof key);
	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
	{
		uint32_t zone = fleet->world.nodes[fleet_server_node (fleet, number, s)].zone;
		uint32_t owner =
			ownership_of_server (members, count, ownership_server_key (key, s), zone).owner;

		group->owners[s] = owner;
		observers[s] = (struct failover_observer){ owner, fleet->world.nodes[owner - 1].zone };
		is_observer = is_observer || owner == vm->index + 1;
	}
	if (is_observer && !group->is_observer)
		failover_init (&group->failover, (char *) group->failover_memory + 64,
		               fleet->failover_settings, vm->index + 1, FLEET_SERVERS,
		               random_next (&vm->seed), fleet_now (fleet));
	group->is_observer = is_observer;
	if (!is_observer)
		return;
	failover_set_observers (&group->failover, observers, FLEET_SERVERS, fleet_now (fleet));
	if (membership_find_item (vm->membership, ITEM_GROUP, key, &item))
		failover_handle_announced (&group->failover, item.version, (uint32_t) item.value,
		                           fleet_now (fleet));
	fleet_update_leaving (vm, number);
}

static void
vm_apply_membership (struct fleet_vm *vm)
{
	struct fleet *fleet = vm->fleet;
	struct ownership_member *members = g_newa (struct ownership_member, fleet->vm_count);
	size_t count = 0;
	struct member member;
	struct ownership watchers;

	if (vm->generation == membership_generation (vm->membership))
		return;
	vm->generation = membership_generation (vm->membership);
	for (size_t i = 0; membership_get (vm->membership, i, &member); i++)
		if (member.state == MEMBER_ALIVE || member.state == MEMBER_SUSPECT)
			members[count++] = (struct ownership_member){ member.id, member.address.zone };
	watchers = ownership_of_zone (members, count, fleet->world.nodes[vm->index].zone);
	configuration_set_watcher (vm->configuration,
	                           watchers.owner == vm->index + 1 || watchers.standby == vm->index + 1,
	                           fleet_now (fleet));
	for (uint32_t g = 0; g < fleet->group_count; g++)
		vm_set_group (vm, g, members, count);
}

/* Same as the timer of flamingospring/control_documents.c. */
static void
vm_find_newer_revision (struct fleet_vm *vm)
{
	uint64_t revision = configuration_revision (vm->configuration);
	uint32_t peer = membership_find_newer (vm->membership, revision, random_next (&vm->seed));
	struct member member;

	if (peer && membership_find (vm->membership, peer, &member))
		configuration_handle_peer (vm->configuration, peer, member.config_revision,
		                           fleet_now (vm->fleet));
}

static void
handle_step (void *context, const void *payload)
{
	struct fleet_vm *vm = context;

	if (vm->step_at_us <= fleet_now (vm->fleet))
	{
		vm->step_at_us = INT64_MAX;
		if (configuration_next_time_us (vm->configuration) <= fleet_now (vm->fleet))
			vm_find_newer_revision (vm);
		fleet_vm_step (vm);
	}
}

void
fleet_vm_step (struct fleet_vm *vm)
{
	struct fleet *fleet = vm->fleet;
	int64_t next_us;

	vm_run_membership (vm);
	vm_apply_membership (vm);
	vm_run_configuration (vm);
	next_us = MIN (membership_next_time_us (vm->membership),
	               configuration_next_time_us (vm->configuration));
	for (uint32_t g = 0; g < fleet->group_count; g++)
	{
		if (!vm->groups[g].is_observer)
			continue;
		vm_run_failover (vm, g);
		next_us = MIN (next_us, failover_next_time_us (&vm->groups[g].failover));
	}
	if (next_us <= fleet_now (fleet))
		next_us = fleet_now (fleet) + 1;
	if (next_us >= vm->step_at_us)
		return;
	vm->step_at_us = next_us;
	virtual_schedule (&fleet->world, (int) vm->index, next_us,
	                  (struct virtual_handler){ handle_step, vm }, NULL, 0);
}

void
fleet_start (struct fleet *fleet, uint32_t index)
{
	struct fleet_vm *vm = &fleet->vms[index];
	struct member_address address = { .ip = index + 1, .zone = fleet->world.nodes[index].zone };
	int64_t now_us = fleet_now (fleet);

	virtual_set_state (&fleet->world, (int) index, VIRTUAL_RUNNING);
	vm->has_state = false;
	vm->seed = virtual_random (&fleet->world);
	vm->step_at_us = INT64_MAX;
	vm->generation = 0;
	vm->watch = vm->pull = 0;
	vm->gossip_revision = 0;
	memset (vm->revisions, 0, sizeof vm->revisions);
	membership_init (vm->membership, &membership_default_settings, fleet->vm_count, MAX_ITEMS,
	                 index + 1, &address, (uint64_t) now_us, random_next (&vm->seed), now_us);
	configuration_init (vm->configuration, &configuration_default_settings, FLEET_SERVICES,
	                    random_next (&vm->seed), now_us);
	for (uint32_t i = 0; i < fleet->members_known; i++)
	{
		address = (struct member_address){ .ip = i + 1, .zone = fleet->world.nodes[i].zone };
		if (i != index)
			membership_add (vm->membership, i + 1, &address, now_us);
	}
	for (uint32_t g = 0; g < fleet->group_count; g++)
	{
		vm->groups[g].is_observer = false;
		vm->groups[g].is_polling = false;
		vm->groups[g].answered_value = 0;
		acknowledgement_init (vm->groups[g].acknowledgement, FLEET_SERVERS, MAX_WRITES);
	}
	handle_pull_state (vm, NULL);
	fleet_vm_step (vm);
}

void
fleet_crash (struct fleet *fleet, uint32_t vm)
{
	virtual_set_state (&fleet->world, (int) vm, VIRTUAL_CRASHED);
	fleet->platform.watches[vm] = 0;
}

void
fleet_run (struct fleet *fleet, int64_t time_us, int64_t write_every_us)
{
	int64_t end_us = fleet_now (fleet) + time_us;

	while (fleet_now (fleet) < end_us)
	{
		int64_t next_us = write_every_us ? fleet_now (fleet) + write_every_us : end_us;

		for (uint32_t g = 0; write_every_us && g < fleet->group_count; g++)
			fleet_write (fleet, g);
		virtual_run (&fleet->world, MIN (next_us, end_us));
	}
}

void
fleet_init (struct fleet *fleet, uint64_t seed, uint32_t vms, uint32_t zones, uint32_t groups,
            struct virtual_link link, bool knows_all)
{
	uint32_t nodes = vms + groups * FLEET_SERVERS + 1;

	memset (fleet, 0, sizeof *fleet);
	virtual_world_init (&fleet->world, seed, nodes, link);
	fleet->vm_count = vms;
	fleet->zone_count = zones;
	fleet->group_count = groups;
	fleet->platform_node = (int) nodes - 1;
	fleet->members_known = knows_all ? vms : MIN (vms, FLEET_SEEDS);
	fleet->platform.watches = g_new0 (uint64_t, vms);
	fleet->platform.revision = 1;
	fleet->failover_settings = &failover_default_settings;
	fleet->vms = g_new0 (struct fleet_vm, vms);
	for (uint32_t i = 0; i < nodes; i++)
		fleet->world.nodes[i].zone = (i < vms ? i : i - vms) % zones;
	for (uint32_t g = 0; g < groups; g++)
	{
		virtual_group_init (&fleet->groups[g], &fleet->world, fleet_server_node (fleet, g, 0),
		                    FLEET_SERVERS, 2);
		fleet->groups[g].promoted = (struct virtual_handler){ fleet_handle_promoted, fleet };
	}
	for (uint32_t i = 0; i < vms; i++)
	{
		struct fleet_vm *vm = &fleet->vms[i];

		vm->fleet = fleet;
		vm->index = i;
		vm->membership = g_malloc (membership_size (vms, MAX_ITEMS));
		vm->configuration = g_malloc (configuration_size (FLEET_SERVICES));
		for (uint32_t g = 0; g < groups; g++)
		{
			/* The VM's address precedes the failover's memory, for handlers that get the group. */
			vm->groups[g].failover_memory = g_malloc0 (64 + failover_size (FLEET_SERVERS));
			*(struct fleet_vm **) vm->groups[g].failover_memory = vm;
			vm->groups[g].acknowledgement =
				g_malloc (acknowledgement_size (FLEET_SERVERS, MAX_WRITES));
		}
	}
	for (uint32_t i = 0; i < vms; i++)
		fleet_start (fleet, i);
}

void
fleet_finish (struct fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->vm_count; i++)
	{
		for (uint32_t g = 0; g < fleet->group_count; g++)
		{
			g_free (fleet->vms[i].groups[g].failover_memory);
			g_free (fleet->vms[i].groups[g].acknowledgement);
		}
		g_free (fleet->vms[i].membership);
		g_free (fleet->vms[i].configuration);
	}
	for (uint32_t g = 0; g < fleet->group_count; g++)
	{
		g_free (fleet->histories[g].writes);
		virtual_group_finish (&fleet->groups[g]);
	}
	g_free (fleet->vms);
	g_free (fleet->platform.watches);
	virtual_world_finish (&fleet->world);
}

void
fleet_change_document (struct fleet *fleet, uint32_t service)
{
	struct fleet_platform *platform = &fleet->platform;

	platform->revisions[service] = ++platform->revision;
	for (uint32_t i = 0; i < fleet->vm_count; i++)
	{
		struct message event = { .fleet = fleet,
			                     .from = i,
			                     .to = (uint32_t) fleet->platform_node,
			                     .number = platform->watches[i] };

		if (event.number)
			platform_send (&event, MESSAGE_PLATFORM);
	}
}

void
fleet_set_platform (struct fleet *fleet, bool is_down)
{
	struct fleet_platform *platform = &fleet->platform;

	platform->is_down = is_down;
	for (uint32_t i = 0; i < fleet->vm_count && is_down; i++)
	{
		struct message event = { .fleet = fleet,
			                     .from = i,
			                     .to = (uint32_t) fleet->platform_node,
			                     .number = platform->watches[i] };

		if (event.number)
			reply_message (&event, MESSAGE_PLATFORM_END, 0, platform->revisions);
		platform->watches[i] = 0;
	}
}

void
fleet_mark_leaving (struct fleet *fleet, uint32_t vm, const char *key, uint64_t version)
{
	struct membership_item item = { .type = ITEM_LEAVING, .version = version, .value = 1 };

	g_strlcpy (item.key, key, sizeof item.key);
	membership_merge (fleet->vms[vm].membership, &item, fleet_now (fleet));
	fleet_vm_step (&fleet->vms[vm]);
}
