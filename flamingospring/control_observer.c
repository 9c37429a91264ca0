#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "flamingospring/control_private.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	/* Longest time for which writes to a primary are refused during a handover. */
	HANDOVER_TIMEOUT_US = 4200000,
	/* Polls of replicas pause for this time while a change of configuration spreads, which leaves
	 * their share of the traffic to the pulls. */
	POLL_POSTPONE_US = 4000000,
};

static const char guarantee_replaced_primary[] = "P2";

/** Failover observer of one group. The decisions are made by struct failover; requests to the
 * servers are sent by the group's traffic thread. */
struct control_observer
{
	struct control_observer *next;
	struct control *control;
	char database[SCHEMA_NAME_BYTES];
	struct schema_server servers[ROUTING_MAX_SERVERS];
	uint32_t server_count;
	uint32_t self_servers; /* Bit set of the servers that this VM owns. */
	struct failover failover;
	void *memory;
	struct loop_timer timer;
	struct loop_timer handover_timer;
	uint32_t handing_over; /* Server that is marked as handing over. */
	bool is_pumping;
	bool is_used;
	uint64_t announced_term;
	uint64_t promoted_term; /* Term of the last promotion that was sent. */
};

/** Request for the opinion of another observer. The requesting observer may be freed before the
 * answer arrives. */
struct opinion_request
{
	char database[SCHEMA_NAME_BYTES];
	uint32_t observer;
};

static void observer_pump (struct control_observer *observer);

static struct control_observer *
observer_find (const struct control *control, const char *database)
{
	for (struct control_observer *o = control->observers; o; o = o->next)
	{
		if (strcmp (o->database, database) == 0)
			return o;
	}
	return NULL;
}

static void
observer_request (struct control_observer *observer, enum observer_request_kind kind,
                  uint32_t server, uint64_t term)
{
	const struct schema_server *target = &observer->servers[server];
	struct control *control = observer->control;
	struct observer_request request = {
		.kind = kind,
		.server = server,
		.ip = target->ip,
		.port = target->port,
		.term = term,
		.claimant = control->settings->vm_id,
	};

	g_strlcpy (request.database, observer->database, sizeof request.database);
	control->ops->send_observer_request (control->data, &request);
}

static void
handle_opinion (struct control *control, void *data, int status, void *result)
{
	struct opinion_request *request = data;
	struct control_observer *observer = observer_find (control, request->database);
	const struct fs_opinion_result *answer = result;

	if (status == 0 && observer && answer->is_observer)
	{
		struct failover_opinion opinion = {
			.term = answer->term,
			.primary = answer->primary,
			.suspects = answer->suspects,
		};

		failover_handle_opinion (&observer->failover, request->observer, &opinion, clock_now_us ());
		observer_pump (observer);
	}
	free (request);
}

static void
request_opinion (struct control_observer *observer, uint32_t id)
{
	struct control *control = observer->control;
	struct fs_opinion_args args = { .database = observer->database };
	struct control_call_request request = {
		.program = FS_PEER_PROGRAM,
		.procedure = FS_PEER_OPINION,
		.encode = (xdrproc_t) xdr_fs_opinion_args,
		.args = &args,
		.decode = (xdrproc_t) xdr_fs_opinion_result,
		.result_size = sizeof (struct fs_opinion_result),
		.handle = handle_opinion,
	};
	struct opinion_request *target;
	struct member member;

	if (!membership_find (control->membership, id, &member))
		return;
	target = calloc (1, sizeof *target);
	if (!target)
		return;
	g_strlcpy (target->database, observer->database, sizeof target->database);
	target->observer = id;
	request.data = target;
	request.ip = member.address.ip;
	request.port = member.address.control_port;
	if (control_call_start (control, &request) < 0)
		free (target);
}

static void
handle_announce_answer (struct control *control, void *data, int status, void *result)
{
	/* A lost announcement is made up for by gossip and by the first refused write. */
	(void) control;
	(void) data;
	(void) status;
	(void) result;
}

/** Announces a primary directly to the VMs that own servers of the group. The others learn of it by
 * gossip. */
static void
announce_to_owners (struct control_observer *observer, uint64_t term, uint32_t primary)
{
	struct control *control = observer->control;
	struct fs_announce_args args = { .database = observer->database,
		                             .term = term,
		                             .primary = primary };
	struct control_call_request request = {
		.program = FS_PEER_PROGRAM,
		.procedure = FS_PEER_ANNOUNCE,
		.encode = (xdrproc_t) xdr_fs_announce_args,
		.args = &args,
		.decode = (xdrproc_t) xdr_void,
		.handle = handle_announce_answer,
	};
	const struct snapshot_group *group =
		snapshot_find_group (control->snapshots->current, observer->database);

	for (uint32_t s = 0; group && s < group->database->server_count; s++)
	{
		struct member member;

		if (group->servers[s].owners.owner == control->settings->vm_id ||
		    !membership_find (control->membership, group->servers[s].owners.owner, &member))
			continue;
		request.ip = member.address.ip;
		request.port = member.address.control_port;
		control_call_start (control, &request);
	}
}

static void
publish_primary (struct control_observer *observer, uint64_t term, uint32_t primary)
{
	struct membership_item item = { .type = ITEM_GROUP, .version = term, .value = primary };

	if (term <= observer->announced_term)
		return;
	observer->announced_term = term;
	g_strlcpy (item.key, observer->database, sizeof item.key);
	control_merge_item (observer->control, &item);
	control_gossip_pump (observer->control);
}

/** Logs a new primary. It counts as a failover only if this observer promoted it. */
static void
log_primary (const struct control_observer *observer, uint64_t term, uint32_t primary)
{
	const struct failover_timings *timings = failover_last_timings (&observer->failover);

	if (term != observer->promoted_term)
	{
		log_event (LOG_LEVEL_INFO, "primary_found", "database=%s term=%llu server=%u",
		           log_text (observer->database), (unsigned long long) term, primary);
		return;
	}
	counter_add (COUNTER_FAILOVERS, 1);
	log_event (
		LOG_LEVEL_WARN, "primary_promoted",
		"database=%s term=%llu server=%u detect_us=%lld agree_us=%lld fence_us=%lld promote_us=%lld",
		log_text (observer->database), (unsigned long long) term, primary,
		(long long) timings->detect_us, (long long) timings->agree_us,
		(long long) timings->fence_us, (long long) timings->promote_us);
}

static void
handle_announce (struct control_observer *observer, uint64_t term, uint32_t primary)
{
	INVARIANT (term > observer->announced_term, guarantee_replaced_primary);
	log_primary (observer, term, primary);
	announce_to_owners (observer, term, primary);
	publish_primary (observer, term, primary);
}

static enum observer_request_kind
request_kind_of_effect (enum failover_effect_type type)
{
	if (type == FAILOVER_FENCE)
		return OBSERVER_FENCE;
	return type == FAILOVER_PROMOTE ? OBSERVER_PROMOTE : OBSERVER_STATUS;
}

static void
effect_run (struct control_observer *observer, const struct failover_effect *effect)
{
	switch (effect->type)
	{
	case FAILOVER_POLL:
	case FAILOVER_FENCE:
	case FAILOVER_PROMOTE:
		if (effect->type != FAILOVER_POLL)
			log_event (LOG_LEVEL_WARN,
			           effect->type == FAILOVER_FENCE ? "fence_sent" : "promotion_sent",
			           "database=%s server=%u term=%llu", log_text (observer->database),
			           effect->server, (unsigned long long) effect->term);
		if (effect->type == FAILOVER_PROMOTE)
			observer->promoted_term = effect->term;
		observer_request (observer, request_kind_of_effect (effect->type), effect->server,
		                  effect->term);
		break;
	case FAILOVER_ASK:
		request_opinion (observer, effect->observer);
		break;
	case FAILOVER_ANNOUNCE:
		handle_announce (observer, effect->term, effect->server);
		break;
	case FAILOVER_NONE:
		break;
	}
}

static void
observer_pump (struct control_observer *observer)
{
	uint64_t term;
	uint32_t primary;

	/* An effect may report its error synchronously and call this function again. */
	if (observer->is_pumping)
		return;
	observer->is_pumping = true;
	for (;;)
	{
		struct failover_effect effect = failover_next (&observer->failover, clock_now_us ());

		if (effect.type == FAILOVER_NONE)
			break;
		effect_run (observer, &effect);
	}
	if (failover_primary (&observer->failover, &term, &primary))
		publish_primary (observer, term, primary);
	loop_set_timer (&observer->control->loop, &observer->timer,
	                failover_next_time_us (&observer->failover));
	observer->is_pumping = false;
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	observer_pump (timer->data);
}

/** Sets or clears the handover mark of a server. */
static void
handover_mark (struct control_observer *observer, uint32_t server, bool is_set)
{
	struct membership_item item = { .type = ITEM_LEAVING, .value = is_set };

	g_snprintf (item.key, sizeof item.key, "=%.40s/%u", observer->database, server);
	item.version = clock_wall_ns () / 1000000u;
	control_merge_item (observer->control, &item);
	control_gossip_pump (observer->control);
}

static void
handle_handover_timer (struct loop_timer *timer, int64_t now_us)
{
	struct control_observer *observer = timer->data;

	(void) now_us;
	handover_mark (observer, observer->handing_over, false);
}

static void
observer_free (struct control_observer *observer)
{
	loop_cancel_timer (&observer->control->loop, &observer->timer);
	loop_cancel_timer (&observer->control->loop, &observer->handover_timer);
	for (uint32_t s = 0; s < observer->server_count; s++)
		observer_request (observer, OBSERVER_STOP, s, 0);
	failover_finish (&observer->failover);
	free (observer->memory);
	free (observer);
}

static struct control_observer *
observer_new (struct control *control, const struct schema_database *database)
{
	struct control_observer *observer = calloc (1, sizeof *observer);

	if (!observer)
		return NULL;
	observer->control = control;
	g_strlcpy (observer->database, database->name, sizeof observer->database);
	memcpy (observer->servers, database->servers, sizeof observer->servers);
	observer->server_count = database->server_count;
	observer->memory = calloc (1, failover_size (database->server_count));
	if (!observer->memory ||
	    failover_init (&observer->failover, observer->memory, &failover_default_settings,
	                   control->settings->vm_id, database->server_count, control->random_seed++,
	                   clock_now_us ()) < 0)
	{
		free (observer->memory);
		free (observer);
		return NULL;
	}
	observer->timer.handle_timer = handle_timer;
	observer->timer.data = observer;
	observer->handover_timer.handle_timer = handle_handover_timer;
	observer->handover_timer.data = observer;
	observer->next = control->observers;
	control->observers = observer;
	return observer;
}

static bool
observer_has_servers (const struct control_observer *observer,
                      const struct schema_database *database)
{
	if (observer->server_count != database->server_count)
		return false;
	for (uint32_t s = 0; s < database->server_count; s++)
	{
		if (observer->servers[s].ip != database->servers[s].ip ||
		    observer->servers[s].port != database->servers[s].port)
			return false;
	}
	return true;
}

/** Lists each owner of the group's servers once, beginning with the owners of replicas. */
static size_t
list_observers (const struct control *control, const struct snapshot_group *group,
                struct failover_observer *observers)
{
	uint32_t servers = group->database->server_count;
	uint32_t first = group->has_primary ? group->primary + 1 : 0;
	size_t count = 0;

	for (uint32_t i = 0; i < servers; i++)
	{
		uint32_t owner = group->servers[(first + i) % servers].owners.owner;
		struct member member;
		size_t seen = 0;

		while (seen < count && observers[seen].id != owner)
			seen++;
		if (seen < count || !membership_find (control->membership, owner, &member))
			continue;
		observers[count++] = (struct failover_observer){ .id = owner, .zone = member.address.zone };
	}
	return count;
}

/** @return the bit set of the leaving servers, without a primary that an operator is replacing. */
static uint32_t
leaving_servers (const struct snapshot_group *group)
{
	uint32_t servers = 0;

	for (uint32_t s = 0; s < group->database->server_count; s++)
		if (group->servers[s].is_leaving && !group->servers[s].is_handing_over)
			servers |= 1u << s;
	return servers;
}

static bool
is_owner (const struct control *control, const struct snapshot_group *group)
{
	for (uint32_t s = 0; s < group->database->server_count; s++)
	{
		if (group->servers[s].owners.owner == control->settings->vm_id)
			return true;
	}
	return false;
}

static void
observer_update (struct control *control, const struct snapshot_group *group)
{
	struct failover_observer observers[FAILOVER_MAX_OBSERVERS];
	struct control_observer *observer = observer_find (control, group->database->name);
	int64_t now_us = clock_now_us ();
	size_t count;

	if (observer && !observer_has_servers (observer, group->database))
		return;
	if (!observer)
		observer = observer_new (control, group->database);
	if (!observer)
		return;
	observer->is_used = true;
	count = list_observers (control, group, observers);
	failover_set_observers (&observer->failover, observers, count, now_us);
	if (group->has_primary)
		failover_handle_announced (&observer->failover, group->term, group->primary, now_us);
	failover_set_leaving (&observer->failover, leaving_servers (group), now_us);
	loop_set_timer (&control->loop, &observer->timer, now_us);
}

static void
remove_unused (struct control *control)
{
	struct control_observer **link = &control->observers;

	while (*link)
	{
		struct control_observer *observer = *link;

		if (observer->is_used || observer->is_pumping)
		{
			link = &observer->next;
			continue;
		}
		*link = observer->next;
		observer_free (observer);
	}
}

void
control_observers_update (struct control *control, const struct snapshot *snapshot)
{
	size_t count = 0;

	for (struct control_observer *o = control->observers; o; o = o->next)
		o->is_used = false;
	for (size_t i = 0; i < snapshot->group_count; i++)
	{
		if (is_owner (control, &snapshot->groups[i]))
			observer_update (control, &snapshot->groups[i]);
	}
	remove_unused (control);
	for (struct control_observer *o = control->observers; o; o = o->next)
		count++;
	for (struct control_observer *o = control->observers; o; o = o->next)
		failover_set_load (&o->failover, count);
}

void
control_observers_finish (struct control *control)
{
	while (control->observers)
	{
		struct control_observer *observer = control->observers;

		control->observers = observer->next;
		observer_free (observer);
	}
}

void
control_observers_handle_observation (struct control *control,
                                      const struct control_observation *observation)
{
	struct control_observer *observer = observer_find (control, observation->database);
	int64_t now_us = clock_now_us ();

	if (!observer || observation->server >= observer->server_count)
		return;
	failover_handle_traffic (&observer->failover, observation->server, observation->answered,
	                         now_us);
	if (observation->answered && observation->status.promised_term > 0)
		failover_handle_status (&observer->failover, observation->server, &observation->status,
		                        now_us, now_us);
	observer_pump (observer);
}

static void
apply_answer (struct control_observer *observer, const struct observer_answer *answer)
{
	const struct observer_request *request = &answer->request;
	struct failover *failover = &observer->failover;
	bool is_accepted = answer->result == OBSERVER_ACCEPTED;
	int64_t now_us = clock_now_us ();

	if (answer->result == OBSERVER_REJECTED)
		counter_add (COUNTER_FENCES_REJECTED, 1);
	if (answer->result == OBSERVER_REFUSED)
		failover_handle_traffic (failover, request->server, true, now_us);
	else if (answer->result == OBSERVER_FAILED)
		failover_handle_error (failover, request->server, now_us);
	else if (request->kind == OBSERVER_STATUS)
		failover_handle_status (failover, request->server, &answer->status, answer->sent_us,
		                        now_us);
	else if (request->kind == OBSERVER_FENCE)
		failover_handle_fenced (failover, request->server, request->term, is_accepted,
		                        &answer->status, now_us);
	else
		failover_handle_promoted (failover, request->server, request->term, is_accepted,
		                          &answer->status, now_us);
}

void
control_observers_handle_answer (struct control *control, const struct observer_answer *answer)
{
	const struct observer_request *request = &answer->request;
	struct control_observer *observer = observer_find (control, request->database);
	const struct schema_server *server;

	if (!observer || request->server >= observer->server_count)
		return;
	server = &observer->servers[request->server];
	/* The server may have been replaced by a new configuration since the request. */
	if (server->ip != request->ip || server->port != request->port)
		return;
	apply_answer (observer, answer);
	observer_pump (observer);
}

void
control_observers_handle_announced (struct control *control, const char *database, uint64_t term,
                                    uint32_t primary)
{
	struct control_observer *observer = observer_find (control, database);

	if (!observer || primary >= observer->server_count)
		return;
	failover_handle_announced (&observer->failover, term, primary, clock_now_us ());
	observer_pump (observer);
}

bool
control_observers_opinion (struct control *control, const char *database,
                           struct failover_opinion *opinion)
{
	struct control_observer *observer = observer_find (control, database);

	if (!observer)
		return false;
	/* The other observer suspects the primary. Poll it now instead of at the next
	 * regular poll. */
	failover_handle_asked (&observer->failover, clock_now_us ());
	*opinion = failover_opinion (&observer->failover);
	observer_pump (observer);
	return true;
}

void
control_observers_postpone_polls (struct control *control)
{
	for (struct control_observer *o = control->observers; o; o = o->next)
		failover_postpone_replicas (&o->failover, POLL_POSTPONE_US, clock_now_us ());
}

int
control_observers_promote (struct control *control, const char *database, uint32_t server)
{
	struct control_observer *observer = observer_find (control, database);
	uint32_t primary = UINT32_MAX;
	uint64_t term;
	int result;

	if (!observer)
		return -ENOENT;
	if (failover_primary (&observer->failover, &term, &primary) && server == primary)
		return 0;
	result = failover_request_promotion (&observer->failover, server, clock_now_us ());
	if (result == 0 && primary < observer->server_count)
	{
		/* Writes are refused during the handover, so that the target catches up. */
		observer->handing_over = primary;
		handover_mark (observer, primary, true);
		loop_set_timer (&control->loop, &observer->handover_timer,
		                clock_now_us () + HANDOVER_TIMEOUT_US);
	}
	observer_pump (observer);
	return result;
}
