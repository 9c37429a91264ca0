/* Observers of the groups: carry out the effects of decision/failover. The owner of each server of
 * a group is one of the group's observers. */
#include "simulation.h"

#include "common/clock.h"

static void observer_pump (struct owner *owner);

static void
observer_handle_time (void *context, const void *payload)
{
	struct owner *owner = context;

	if (owner->sim->world.now_us >= owner->failover_at_us)
		observer_pump (owner);
}

static void
observer_handle_reply (void *context, const void *payload)
{
	struct owner *owner = context;
	const struct virtual_reply *reply = payload;
	int64_t now_us = owner->sim->world.now_us;
	bool accepted = reply->result == 0;

	if (reply->request.type == VIRTUAL_STATUS)
		failover_handle_status (&owner->failover, reply->server, &reply->status, reply->sent_us,
		                        now_us);
	else if (reply->request.type == VIRTUAL_FENCE)
		failover_handle_fenced (&owner->failover, reply->server, reply->request.term, accepted,
		                        &reply->status, now_us);
	else
		failover_handle_promoted (&owner->failover, reply->server, reply->request.term, accepted,
		                          &reply->status, now_us);
	observer_pump (owner);
}

struct message
{
	struct owner *from;
	struct owner *to;
	uint32_t vm;
	struct failover_opinion opinion; /* Or the announced term and primary. */
};

static void
observer_handle_opinion (void *context, const void *payload)
{
	const struct message *message = payload;

	failover_handle_opinion (&message->to->failover, (uint32_t) message->from->vm + 1,
	                         &message->opinion, message->to->sim->world.now_us);
	observer_pump (message->to);
}

static void
observer_handle_ask (void *context, const void *payload)
{
	const struct message *ask = payload;
	struct message answer = { ask->to, ask->from, 0, failover_opinion (&ask->to->failover) };

	virtual_send (&ask->to->sim->world, false, ask->to->vm, ask->from->vm,
	              (struct virtual_handler){ observer_handle_opinion, NULL }, &answer,
	              sizeof answer);
}

static void
observer_handle_announced (void *context, const void *payload)
{
	const struct message *message = payload;
	struct simulation *sim = message->from->sim;
	uint32_t database = message->from->database;

	entry_learn_primary (&sim->vms[message->vm], database, message->opinion.term,
	                     message->opinion.primary);
	for (uint32_t i = 0; i < SERVERS; i++)
		if (sim->owners[database][i].vm == (int) message->vm)
		{
			failover_handle_announced (&sim->owners[database][i].failover, message->opinion.term,
			                           message->opinion.primary, sim->world.now_us);
			observer_pump (&sim->owners[database][i]);
		}
}

static void
observer_run (struct owner *owner, const struct failover_effect *effect)
{
	struct simulation *sim = owner->sim;
	struct virtual_request request = { .type = VIRTUAL_STATUS,
		                               .term = effect->term,
		                               .claimant = (uint32_t) owner->vm + 1 };
	struct message message = { owner, NULL, 0, { effect->term, effect->server, false } };

	if (effect->type == FAILOVER_ANNOUNCE)
		for (message.vm = 0; message.vm < sim->plan->scenario->vms; message.vm++)
			virtual_send (&sim->world, true, owner->vm, (int) message.vm,
			              (struct virtual_handler){ observer_handle_announced, NULL }, &message,
			              sizeof message);
	if (effect->type == FAILOVER_ASK)
		for (uint32_t i = 0; i < SERVERS; i++)
		{
			message.to = &sim->owners[owner->database][i];
			if (message.to->vm + 1 == (int) effect->observer)
				virtual_send (&sim->world, false, owner->vm, message.to->vm,
				              (struct virtual_handler){ observer_handle_ask, NULL }, &message,
				              sizeof message);
		}
	if (effect->type == FAILOVER_ANNOUNCE || effect->type == FAILOVER_ASK)
		return;
	if (effect->type == FAILOVER_FENCE)
		request.type = VIRTUAL_FENCE;
	if (effect->type == FAILOVER_PROMOTE)
		request.type = VIRTUAL_PROMOTE;
	virtual_group_call (&sim->groups[owner->database], owner->vm, effect->server, &request,
	                    (struct virtual_handler){ observer_handle_reply, owner });
}

static void
observer_pump (struct owner *owner)
{
	struct virtual_world *world = &owner->sim->world;
	struct failover_effect effect;

	while ((effect = failover_next (&owner->failover, world->now_us)).type != FAILOVER_NONE)
		observer_run (owner, &effect);
	owner->failover_at_us =
		MAX (failover_next_time_us (&owner->failover), world->now_us + US_PER_MS);
	virtual_add (world, owner->vm, owner->failover_at_us,
	             (struct virtual_handler){ observer_handle_time, owner }, NULL, 0);
}

void
observer_traffic (struct owner *owner, bool answered)
{
	if (owner->sim->plan->policy == POLICY_VM_POOLS || !owner->sim->plan->has_failover)
		return;
	failover_handle_traffic (&owner->failover, owner->index, answered, owner->sim->world.now_us);
	observer_pump (owner);
}

void
observer_init (struct owner *owner)
{
	struct simulation *sim = owner->sim;
	struct failover_observer observers[SERVERS];

	for (uint32_t i = 0; i < SERVERS; i++)
	{
		int vm = sim->owners[owner->database][i].vm;

		observers[i] = (struct failover_observer){ (uint32_t) vm + 1, sim->world.nodes[vm].zone };
	}
	g_assert_cmpint (failover_init (&owner->failover, simulation_new (sim, failover_size (SERVERS)),
	                                &failover_default_settings, (uint32_t) owner->vm + 1, SERVERS,
	                                sim->plan->seed + owner->index, sim->world.now_us),
	                 ==, 0);
	failover_set_observers (&owner->failover, observers, SERVERS, sim->world.now_us);
	observer_pump (owner);
}
