/* Entry VM: routes requests, forwards them to owners and retries them. */
#include "simulation.h"

#include "common/clock.h"
#include "decision/ownership.h"

enum
{
	RECEIPT_TIMEOUT_US = 300 * US_PER_MS, /* Time in which a peer must receive a request. */
	BACKOFF_MIN_US = 20 * US_PER_MS,
	BACKOFF_MAX_US = 200 * US_PER_MS,
	WAIT_MARGIN_US = 50 * US_PER_MS,
	MAX_ATTEMPTS = 60, /* Below 64, the attempt numbers that fit into a cookie. */
};

static const struct log_position no_position = { 0, 0 };

struct routing_request
call_routing (const struct call *call)
{
	enum read_consistency read = call->work->max_age_ms ? READ_BOUNDED : READ_SESSION;

	if (call->work->kind == WORK_PRIMARY_READ || call->sim->plan->policy == POLICY_PRIMARY_READS)
		read = READ_PRIMARY;
	return (struct routing_request){
		.is_write = call->work->kind == WORK_WRITE,
		.consistency = read,
		.required = call->required,
		.required_at_us = call->required_at_us,
		.max_age_us = (int64_t) call->work->max_age_ms * US_PER_MS,
		.deadline_us = call->deadline_us,
		.excluded = call->excluded,
	};
}

/* Chooses as in POLICY_VM_POOLS: the primary, or for reads a random replica, whatever the session has
 * written. */
static struct routing_choice
choose_without_token (const struct call *call, const struct routing_server *servers)
{
	uint32_t server = 0;

	while (server < SERVERS - 1 && !servers[server].is_primary)
		server++;
	if (call->work->kind == WORK_READ)
		server += 1 + virtual_random (call->sim->world) % (SERVERS - 1);
	return (struct routing_choice){ ROUTE_SERVE, server % SERVERS, 0 };
}

static void entry_route (struct call *call);

static void
entry_handle_retry (void *context, const void *payload)
{
	struct call *call = context;

	if (!call->is_done && !call->is_pending)
		entry_route (call);
}

static void
entry_retry_later (struct call *call)
{
	struct virtual_world *world = call->sim->world;
	int64_t delay_us =
		backoff_delay_us (call->attempt, BACKOFF_MIN_US, BACKOFF_MAX_US, virtual_random (world));

	call->is_pending = false;
	call->excluded = 0;
	virtual_schedule (world, (int) call->vm, world->now_us + delay_us,
	                  (struct virtual_handler){ entry_handle_retry, call }, NULL, 0);
}

/* Retries a request that the peer has not received in time. It may still arrive, but its request id
 * makes a second attempt safe. */
static void
entry_handle_receipt_timeout (void *context, const void *payload)
{
	const struct attempt *attempt = payload;
	struct call *call = attempt->call;
	struct circuit *peer = &call->sim->peers[call->vm][call->owner];

	if (call->is_done || call->attempt != attempt->number || call->is_received)
		return;
	circuit_report (peer, false, call->sim->world->now_us);
	call->may_have_run = true;
	entry_retry_later (call);
}

static void
group_item (uint32_t database, uint64_t term, uint32_t primary, struct membership_item *item)
{
	*item = (struct membership_item){ .type = ITEM_GROUP, .version = term, .value = primary };
	g_snprintf (item->key, sizeof item->key, "db%u", database);
}

static bool
circuit_is_open (const struct circuit *circuit, int64_t now_us)
{
	return circuit->state != CIRCUIT_CLOSED && now_us - circuit->opened_at_us < circuit->open_us;
}

/* Finds the owner of a server. Members with an open circuit are left out, so that the next VM in line
 * takes over at once. */
static uint32_t
entry_find_owner (const struct call *call, const char *database, uint32_t server)
{
	const struct fleet *fleet = &call->sim->fleet;
	struct ownership_member members[MAX_VMS];
	size_t count = 0;
	struct member member;
	int node = fleet_server_node (fleet, call->database, server);

	for (size_t i = 0; membership_get (fleet->vms[call->vm].membership, i, &member); i++)
		if ((member.state == MEMBER_ALIVE || member.state == MEMBER_SUSPECT) &&
		    !circuit_is_open (&call->sim->peers[call->vm][member.id - 1], fleet->world.now_us))
			members[count++] = (struct ownership_member){ member.id, member.address.zone };
	return ownership_of_server (members, count, ownership_server_key (database, server),
	                            fleet->world.nodes[node].zone)
	           .owner -
	       1;
}

static void
entry_route (struct call *call)
{
	struct simulation *sim = call->sim;
	bool has_pools = sim->plan->policy == POLICY_VM_POOLS;
	struct view *views = sim->views[call->vm][call->database];
	int64_t now_us = sim->world->now_us;
	struct routing_server servers[SERVERS];
	struct routing_request request = call_routing (call);
	struct routing_choice choice;
	struct membership_item item;
	struct owner *owner;
	struct attempt attempt = { call, ++call->attempt, 0 };

	if (call->attempt > MAX_ATTEMPTS)
		return;
	group_item (call->database, 0, 0, &item);
	membership_find_item (sim->fleet.vms[call->vm].membership, ITEM_GROUP, item.key, &item);
	for (uint32_t i = 0; i < SERVERS; i++)
	{
		servers[i] = views[i].server;
		servers[i].queue_us = views[i].queue_us[call->work->rank];
		servers[i].is_primary = i == item.value;
		servers[i].is_down = circuit_is_open (&views[i].circuit, now_us);
	}
	choice = has_pools
	             ? choose_without_token (call, servers)
	             : routing_choose (servers, SERVERS, &request, virtual_random (sim->world), now_us);
	if (choice.action == ROUTE_NONE)
	{
		entry_retry_later (call);
		return;
	}
	circuit_allows (&views[choice.server].circuit, now_us);
	call->server = choice.server;
	call->is_pending = true;
	call->is_received = false;
	/* If waiting at the owner takes longer than planned, another server is tried. */
	attempt.wait_until_us =
		now_us + servers[choice.server].link_us + 2LL * choice.wait_us + WAIT_MARGIN_US;
	call->owner = has_pools ? call->vm : entry_find_owner (call, item.key, choice.server);
	circuit_allows (&sim->peers[call->vm][call->owner], now_us);
	owner = &sim->owners[call->owner][call->database][choice.server];
	virtual_schedule (sim->world, (int) call->vm, now_us + RECEIPT_TIMEOUT_US,
	                  (struct virtual_handler){ entry_handle_receipt_timeout, NULL }, &attempt,
	                  sizeof attempt);
	virtual_send (sim->world, true, (int) call->vm, (int) owner->vm,
	              (struct virtual_handler){ owner_handle_attempt, owner }, &attempt,
	              sizeof attempt);
}

static void
entry_update_view (struct simulation *sim, uint32_t vm, const struct answer *answer)
{
	const struct owner *owner = answer->owner;
	struct view *view = &sim->views[vm][owner->database][owner->index];
	uint32_t link_us = view->server.link_us;
	struct membership_item item;

	view->server = answer->self;
	view->server.position_at_us = sim->world->now_us;
	view->server.link_us = link_us;
	memcpy (view->queue_us, answer->queue_us, sizeof view->queue_us);
	circuit_report (&view->circuit, !answer->self.is_down, sim->world->now_us);
	circuit_report (&sim->peers[vm][owner->vm], true, sim->world->now_us);
	group_item (owner->database, answer->self.position.term, owner->index, &item);
	if (answer->self.is_primary)
		membership_merge (sim->fleet.vms[vm].membership, &item, sim->world->now_us);
}

void
entry_handle_answer (void *context, const void *payload)
{
	const struct answer *answer = payload;
	struct call *call = answer->attempt.call;
	bool is_read = call->work->kind == WORK_READ;
	bool is_overload = answer->reason == REASON_OVERLOAD || answer->reason == REASON_DEADLINE;

	entry_update_view (call->sim, call->vm, answer);
	if (call->is_done || !call->is_pending || call->attempt != answer->attempt.number)
		return;
	call->is_pending = false;
	call->may_have_run |= answer->outcome == OUTCOME_UNKNOWN;
	call->excluded |= 1u << answer->owner->index;
	if (answer->outcome == OUTCOME_DONE)
		call_finish (call, OUTCOME_DONE, !answer->self.is_primary, answer->position);
	else if (answer->outcome == OUTCOME_UNKNOWN || answer->reason == REASON_NOT_PRIMARY ||
	         (answer->reason == REASON_UPSTREAM_DOWN && !is_read))
		entry_retry_later (call);
	/* A read may succeed at another server. Only retries after an overload use the retry budget. */
	else if (is_read && (!is_overload || retry_budget_take (&call->sim->retry_budgets[call->vm])))
		entry_route (call);
	else
		call_finish (call, call->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_REFUSED, false,
		             no_position);
}

static void
entry_handle_deadline (void *context, const void *payload)
{
	struct call *call = context;
	bool is_unknown = call->may_have_run || call->is_pending;

	if (call->is_done)
		return;
	if (call->sim->plan->policy != POLICY_VM_POOLS)
	{
		call_finish (call, is_unknown ? OUTCOME_UNKNOWN : OUTCOME_REFUSED, false, no_position);
		return;
	}
	/* The baseline treats a timeout as "not run" and sends a write once more, without a request id. */
	if (call->work->kind != WORK_WRITE ||
	    call->deadline_us > call->created_us + (int64_t) call->work->timeout_ms * US_PER_MS)
		call_finish (call, OUTCOME_REFUSED, false, no_position);
	else
	{
		call->deadline_us += (int64_t) call->work->timeout_ms * US_PER_MS;
		entry_begin (call);
	}
}

void
entry_begin (struct call *call)
{
	retry_budget_count_attempt (&call->sim->retry_budgets[call->vm]);
	virtual_schedule (call->sim->world, (int) call->vm, call->deadline_us,
	                  (struct virtual_handler){ entry_handle_deadline, call }, NULL, 0);
	entry_route (call);
}
