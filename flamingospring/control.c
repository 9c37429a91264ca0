#include "flamingospring/control.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "decision/retry.h"
#include "flamingospring/control_private.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
	PUBLISH_DELAY_US = 2000, /* Changes within this time share one snapshot. */
	DRAIN_POLL_US = 20000,   /* Interval of checks for requests in flight in a planned stop. */
};

static const char guarantee_configuration[] = "P9";

uint32_t
control_zone_hash (const char *zone)
{
	return XXH32 (zone, strlen (zone), 0);
}

const char *
control_zone_name (const struct control *control, uint32_t zone)
{
	if (control_zone_hash (control->settings->zone) == zone)
		return control->settings->zone;
	for (size_t i = 0; i < control->document_count; i++)
	{
		const struct snapshot_service *service = control->documents[i].adopted;

		for (size_t d = 0; service && d < service->schema.database_count; d++)
		{
			const struct schema_database *database = &service->schema.databases[d];

			for (uint32_t s = 0; s < database->server_count; s++)
			{
				if (control_zone_hash (database->servers[s].zone) == zone)
					return database->servers[s].zone;
			}
		}
	}
	return "?";
}

/** Lists the candidates for ownership: members that are neither dead nor leaving. */
static size_t
list_candidates (const struct control *control, struct ownership_member *candidates)
{
	size_t count = 0;
	struct member member;

	for (size_t i = 0; i < membership_count (control->membership); i++)
	{
		if (!membership_get (control->membership, i, &member))
			continue;
		if (member.state != MEMBER_ALIVE && member.state != MEMBER_SUSPECT)
			continue;
		candidates[count++] =
			(struct ownership_member){ .id = member.id, .zone = member.address.zone };
	}
	return count;
}

static int
compare_member (const void *a, const void *b)
{
	const struct snapshot_member *left = a;
	const struct snapshot_member *right = b;

	return left->id < right->id ? -1 : left->id > right->id;
}

static void
fill_members (const struct control *control, struct snapshot *snapshot)
{
	struct member member;

	snapshot->member_count = 0;
	for (size_t i = 0; i < membership_count (control->membership); i++)
	{
		struct snapshot_member *out = &snapshot->members[snapshot->member_count];

		if (!membership_get (control->membership, i, &member))
			continue;
		out->id = member.id;
		out->address = member.address;
		out->is_live = member.state != MEMBER_DEAD;
		out->is_leaving = member.state == MEMBER_LEAVING;
		out->rtt_us = member.rtt_us;
		snapshot->member_count++;
	}
	qsort (snapshot->members, snapshot->member_count, sizeof *snapshot->members, compare_member);
}

/** Checks whether a server is marked as leaving. The prefix names who set the mark: "" an
 * operator's drain, "@" the platform's VM list, "=" an operator's change of primary. */
static bool
is_marked_leaving (const struct control *control, const char *prefix, const char *database,
                   uint32_t server)
{
	char key[MEMBERSHIP_KEY_BYTES];
	struct membership_item item;

	g_snprintf (key, sizeof key, "%s%.40s/%u", prefix, database, server);
	return membership_find_item (control->membership, ITEM_LEAVING, key, &item) && item.value;
}

static void
fill_servers (const struct control *control, struct snapshot_group *group,
              const struct ownership_member *candidates, size_t candidate_count)
{
	const struct schema_database *database = group->database;

	for (uint32_t s = 0; s < database->server_count; s++)
	{
		struct snapshot_server *server = &group->servers[s];

		server->owners = ownership_of_server (candidates, candidate_count,
		                                      ownership_server_key (database->name, s),
		                                      control_zone_hash (database->servers[s].zone));
		server->is_leaving = is_marked_leaving (control, "", database->name, s) ||
		                     is_marked_leaving (control, "@", database->name, s);
		server->is_handing_over = is_marked_leaving (control, "=", database->name, s);
		server->is_leaving = server->is_leaving || server->is_handing_over;
	}
}

static void
fill_group (const struct control *control, struct snapshot_group *group,
            const struct schema_service *service, const struct schema_database *database,
            const struct ownership_member *candidates, size_t candidate_count)
{
	struct membership_item item;

	group->service = service;
	group->database = database;
	group->has_primary =
		membership_find_item (control->membership, ITEM_GROUP, database->name, &item) &&
		item.value < database->server_count;
	if (group->has_primary)
	{
		group->term = item.version;
		group->primary = (uint32_t) item.value;
	}
	fill_servers (control, group, candidates, candidate_count);
}

static int
compare_group (const void *a, const void *b)
{
	const struct snapshot_group *left = a;
	const struct snapshot_group *right = b;

	return strcmp (left->database->name, right->database->name);
}

static void
fill_services (const struct control *control, struct snapshot *snapshot)
{
	static struct ownership_member candidates[CONTROL_MAX_MEMBERS];
	size_t candidate_count = list_candidates (control, candidates);

	snapshot->service_count = 0;
	snapshot->group_count = 0;
	for (size_t i = 0; i < control->document_count; i++)
	{
		struct snapshot_service *service = control->documents[i].adopted;

		if (!service)
			continue;
		ck_pr_inc_32 (&service->references);
		snapshot->services[snapshot->service_count++] = service;
		for (size_t d = 0; d < service->schema.database_count; d++)
			fill_group (control, &snapshot->groups[snapshot->group_count++], &service->schema,
			            &service->schema.databases[d], candidates, candidate_count);
	}
	qsort (snapshot->groups, snapshot->group_count, sizeof *snapshot->groups, compare_group);
}

static size_t
count_groups (const struct control *control)
{
	size_t count = 0;

	for (size_t i = 0; i < control->document_count; i++)
	{
		if (control->documents[i].adopted)
			count += control->documents[i].adopted->schema.database_count;
	}
	return count;
}

static void
publish (struct control *control)
{
	const struct snapshot *old = control->snapshots->current;
	struct snapshot *snapshot = snapshot_new (
		control->document_count, membership_count (control->membership), count_groups (control));

	if (!snapshot)
	{
		log_event (LOG_LEVEL_ERROR, "snapshot_failed", "error=out_of_memory");
		return;
	}
	snapshot->generation = ++control->generation;
	snapshot->config_revision = configuration_revision (control->configuration);
	INVARIANT (!old || old->config_revision <= snapshot->config_revision, guarantee_configuration);
	snapshot->self = control->settings->vm_id;
	snapshot->is_leaving = control->drain.phase != DRAIN_SERVING;
	snapshot->refuses_connections = control->drain.phase >= DRAIN_FINISHING;
	fill_members (control, snapshot);
	fill_services (control, snapshot);
	control->published_membership_generation = membership_generation (control->membership);
	snapshot_publish (&control->writer, snapshot);
	control_observers_update (control, snapshot);
	control->ops->handle_snapshot (control->data);
}

static void
handle_publish_timer (struct loop_timer *timer, int64_t now_us)
{
	struct control *control = timer->data;

	(void) now_us;
	control_documents_handle_members (control);
	publish (control);
}

void
control_schedule_publish (struct control *control)
{
	if (control->publish_timer.slot == 0)
		loop_set_timer (&control->loop, &control->publish_timer,
		                clock_now_us () + PUBLISH_DELAY_US);
}

static void
handle_drain_timer (struct loop_timer *timer, int64_t now_us)
{
	struct control *control = timer->data;
	enum drain_phase before = control->drain.phase;
	enum drain_phase phase =
		drain_step (&control->drain, control->ops->in_flight (control->data), now_us);

	if (phase != before)
	{
		log_event (LOG_LEVEL_INFO, "stop_phase", "phase=%d in_flight=%u", (int) phase,
		           control->ops->in_flight (control->data));
		publish (control);
	}
	if (phase == DRAIN_STOPPED)
	{
		control->ops->handle_stopped (control->data);
		loop_stop (&control->loop);
		return;
	}
	loop_set_timer (&control->loop, &control->drain_timer,
	                MIN (drain_next_time_us (&control->drain), now_us + DRAIN_POLL_US));
}

static void
handle_stop (struct mailbox_message *message, void *receiver)
{
	struct control *control = receiver;
	int64_t now_us = clock_now_us ();

	(void) message;
	log_event (LOG_LEVEL_INFO, "stop_requested", "in_flight=%u",
	           control->ops->in_flight (control->data));
	drain_start (&control->drain, now_us);
	membership_set_leaving (control->membership, true, now_us);
	control_gossip_pump (control);
	publish (control);
	handle_drain_timer (&control->drain_timer, now_us);
}

void
control_stop (struct control *control)
{
	if (ck_pr_fas_8 (&control->stop_requested, 1))
		return;
	control->stop_message.handle_message = handle_stop;
	mailbox_send (&control->mailbox, &control->stop_message);
}

static void
handle_observation (struct mailbox_message *message, void *receiver)
{
	struct control_observation *observation = (struct control_observation *) message;

	control_observers_handle_observation (receiver, observation);
	free (observation);
}

void
control_report_observation (struct control *control, const char *database, uint32_t server,
                            bool answered, const struct server_status *status)
{
	struct control_observation *observation = calloc (1, sizeof *observation);

	if (!observation)
		return;
	observation->message.handle_message = handle_observation;
	g_strlcpy (observation->database, database, sizeof observation->database);
	observation->server = server;
	observation->answered = answered;
	if (status)
		observation->status = *status;
	mailbox_send (&control->mailbox, &observation->message);
}

static void
handle_observer_answer (struct mailbox_message *message, void *receiver)
{
	struct control_answer *answer = (struct control_answer *) message;

	control_observers_handle_answer (receiver, &answer->answer);
	free (answer);
}

void
control_answer (struct control *control, const struct observer_answer *answer)
{
	struct control_answer *message = calloc (1, sizeof *message);

	if (!message)
		return;
	message->message.handle_message = handle_observer_answer;
	message->answer = *answer;
	mailbox_send (&control->mailbox, &message->message);
}

static void *
control_main (void *data)
{
	struct control *control = data;
	int result;

	publish (control);
	control_gossip_pump (control);
	control_documents_pump (control);
	result = loop_run (&control->loop);
	if (result < 0)
		log_event (LOG_LEVEL_ERROR, "control_loop_failed", "error=%d", result);
	return NULL;
}

static void
control_free (struct control *control)
{
	control_observers_finish (control);
	control_calls_finish (control);
	control_server_finish (control);
	control_vms_finish (control);
	if (control->platform.ops)
		control->platform.ops->finish (&control->platform);
	control_documents_finish (control);
	control_gossip_finish (control);
	if (control->mailbox.loop)
		mailbox_finish (&control->mailbox);
	loop_finish (&control->loop);
	free (control);
}

static void
timers_init (struct control *control)
{
	control->publish_timer.handle_timer = handle_publish_timer;
	control->publish_timer.data = control;
	control->drain_timer.handle_timer = handle_drain_timer;
	control->drain_timer.data = control;
}

static int
components_init (struct control *control)
{
	int result = loop_init (&control->loop);

	if (result < 0)
		return result;
	result = mailbox_init (&control->mailbox, &control->loop, control);
	if (result < 0)
		return result;
	timers_init (control);
	result = control_gossip_init (control);
	if (result < 0)
		return result;
	result = platform_etcd_init (&control->platform, &control->loop, control->settings->platform,
	                             control->settings->source_ip, CONTROL_PLATFORM_TIMEOUT_US);
	if (result < 0)
		return result;
	result = control_documents_init (control);
	if (result < 0)
		return result;
	result = control_vms_init (control);
	if (result < 0)
		return result;
	return control_server_init (control);
}

struct control *
control_start (const struct settings *settings, struct snapshot_source *source,
               const struct control_traffic_ops *ops, void *data)
{
	struct control *control = calloc (1, sizeof *control);
	int result;

	if (!control)
		return NULL;
	control->settings = settings;
	control->ops = ops;
	control->data = data;
	control->snapshots = source;
	control->random_seed = clock_wall_ns () ^ ((uint64_t) settings->vm_id << 32);
	control->loop.epoll_fd = -1;
	control->loop.wake_fd = -1;
	control->gossip_source.fd = -1;
	control->server.source.fd = -1;
	snapshot_reader_init (&control->writer, source);
	control->drain_settings = drain_default_settings;
	control->drain_settings.limit_us = (int64_t) settings->drain_limit_ms * US_PER_MS;
	drain_init (&control->drain, &control->drain_settings);
	result = components_init (control);
	if (result < 0)
	{
		log_event (LOG_LEVEL_ERROR, "control_start_failed", "error=%d", result);
		goto fail;
	}
	if (pthread_create (&control->thread, NULL, control_main, control) != 0)
		goto fail;
	pthread_setname_np (control->thread, "control");
	return control;

fail:
	control_free (control);
	return NULL;
}

void
control_join (struct control *control)
{
	pthread_join (control->thread, NULL);
	control_free (control);
}
