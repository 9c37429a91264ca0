#include "flamingospring/owner_private.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	OWNER_POLL_INTERVAL_US = US_PER_MS, /* Interval of checks while reads wait for a position. */
	OWNER_CATCH_UP_MIN_INTERVAL_US = 10 * US_PER_MS,
	OWNER_CATCH_UP_MAX_INTERVAL_US = 50 * US_PER_MS,
	/* While requests wait, the server's status is queried when nothing was received from it for
	 * this long, since the answers to statements may be due much later. */
	OWNER_STATUS_MAX_SILENCE_US = 200 * US_PER_MS,
	/* Idle connections are closed and the lag is measured at this interval. */
	OWNER_MAINTENANCE_INTERVAL_US = US_PER_S,
	/* The lag is measured for this long after a read. */
	OWNER_LAG_MEASURE_AFTER_READ_US = 2 * US_PER_S,
	/* Interval of freshness rounds until the lag is known. */
	OWNER_LAG_SAMPLE_INTERVAL_US = 100 * US_PER_MS,
	/* Interval of unchanged observations; equals the observers' poll period after a late reply. */
	OWNER_OBSERVATION_INTERVAL_US = 100 * US_PER_MS,
	OWNER_ROLE_MAX_AGE_US = 2 * US_PER_S, /* The role in an older status is not used. */
	OWNER_RESERVED_CONNECTIONS = 6,       /* Kept for the monitors of owners and observers. */
	/* Owners also observe the group, which keeps the connection open for longer; a standby closes
	 * it after this time. */
	OWNER_MONITOR_IDLE_TIMEOUT_US = 2 * US_PER_S,
	OWNER_RETRY_PERCENT = 10, /* Retries per 100 first attempts. */
	OWNER_RETRY_BURST = 10,
	OWNER_MAX_TRANSACTIONS = 4096,
};

bool
owner_is_primary (const struct owner *owner)
{
	int64_t at_us = owner->status_at_us[owner->server];
	const struct server_status *status = &owner->status[owner->server];

	if (at_us != 0 && clock_now_us () - at_us < OWNER_ROLE_MAX_AGE_US)
		return status->is_primary;
	return owner->has_primary && owner->primary == owner->server;
}

void
owner_report_observation (struct owner *owner, uint32_t server, bool answered,
                          const struct server_status *status)
{
	const struct owner_settings *settings = owner->set->settings;
	int64_t now_us = clock_now_us ();

	/* Reporting every answer would cost a message to the control thread each. */
	if (answered && owner->last_observation_answered && !status &&
	    now_us - owner->last_observation_us < OWNER_OBSERVATION_INTERVAL_US)
		return;
	if (!status)
	{
		owner->last_observation_us = now_us;
		owner->last_observation_answered = answered;
	}
	if (settings->handle_observation)
		settings->handle_observation (settings->observation_data, owner->database.name, server,
		                              answered, status);
}

void
owner_update_position (struct owner *owner, struct log_position position)
{
	int64_t now_us = clock_now_us ();

	owner->position_at_us = now_us;
	if (log_position_covers (position, owner->position))
		owner->position = position;
	freshness_update_position (&owner->freshness, position, now_us, now_us);
}

void
owner_query_status (struct owner *owner, bool must_be_new)
{
	owner_monitor_query (owner->monitors[owner->server].monitor, must_be_new, clock_now_us ());
}

bool
owner_is_replaced (const struct owner *owner)
{
	return owner->has_primary && owner->primary != owner->server &&
	       owner->term > owner->position.term;
}

static void
handle_pool_reachability (void *data, bool answered)
{
	struct owner *owner = data;

	owner_report_observation (owner, owner->server, answered, NULL);
}

/* A slow statement must not start a failover, so a status query, which needs no slot, finds out
 * whether the server is alive. */
static void
handle_pool_suspicion (void *data)
{
	owner_query_status (data, true);
}

static const struct owner_pool_ops pool_ops = {
	.handle_suspicion = handle_pool_suspicion,
	.handle_reachability = handle_pool_reachability,
};

/* A changed role, term or promise is reported to the control thread at once, an unchanged one only
 * at intervals. */
static bool
should_report_status (const struct owner *owner, uint32_t server,
                      const struct server_status *status, int64_t now_us)
{
	const struct server_status *known = &owner->status[server];

	return known->is_primary != status->is_primary ||
	       known->promised_term != status->promised_term ||
	       known->position.term != status->position.term ||
	       now_us - owner->reported_us[server] >= OWNER_OBSERVATION_INTERVAL_US;
}

static void
handle_status (struct monitor_user *user, const struct server_status *status, int64_t sent_us)
{
	struct owner *owner = user->data;
	uint32_t server = user->server;
	int64_t now_us = clock_now_us ();

	if (should_report_status (owner, server, status, now_us))
	{
		owner->reported_us[server] = now_us;
		owner_report_observation (owner, server, true, status);
	}
	owner->status[server] = *status;
	owner->status_at_us[server] = now_us;
	owner->status_queried_us[server] = sent_us;
	if (status->is_primary && status->position.term > owner->term)
	{
		owner->has_primary = true;
		owner->term = status->position.term;
		owner->primary = server;
	}
	freshness_report (&owner->freshness, server, status, sent_us, now_us);
	if (server == owner->server)
		owner_update_position (owner, status->position);
	acknowledgement_report (owner->acknowledgement, server, status);
	owner_acknowledge_settle (owner);
}

static void
handle_unreachable (struct monitor_user *user)
{
	struct owner *owner = user->data;

	owner_report_observation (owner, user->server, false, NULL);
}

static const struct monitor_user_ops monitor_ops = {
	.handle_status = handle_status,
	.handle_unreachable = handle_unreachable,
};

void
owner_dispatch (struct owner *owner)
{
	owner->dispatch_again = true;
	if (owner->is_dispatching)
		return;
	owner->is_dispatching = true;
	while (owner->dispatch_again)
	{
		struct admission_result result = admission_next (owner->admission, clock_now_us ());
		struct owner_task **task = handle_table_get (&owner->set->tasks, (uint32_t) result.cookie);

		owner->dispatch_again = false;
		if (result.verdict == ADMISSION_NONE)
			continue;
		owner->dispatch_again = true;
		INVARIANT (task && (*task)->state == TASK_QUEUED, "P4");
		if (!task)
			continue;
		(*task)->state = TASK_NEW;
		if (result.verdict == ADMISSION_START)
			owner_task_start (*task);
		else
			owner_task_refuse (*task, REASON_DEADLINE, result.retry_after_us);
	}
	owner->is_dispatching = false;
}

static bool
owner_is_active (const struct owner *owner)
{
	return owner->tasks.length > 0 || handle_table_count (&owner->transactions) > 0;
}

/* Time between status queries while the server has not reached the position of a round. Answers to
 * statements carry the position as well. One eighth of the lag is precise enough. */
static int64_t
catch_up_interval_us (const struct owner *owner)
{
	int64_t share_us = owner->freshness.lag_us / 8;

	if (share_us < OWNER_CATCH_UP_MIN_INTERVAL_US)
		return OWNER_CATCH_UP_MIN_INTERVAL_US;
	return share_us < OWNER_CATCH_UP_MAX_INTERVAL_US ? share_us : OWNER_CATCH_UP_MAX_INTERVAL_US;
}

void
owner_schedule (struct owner *owner)
{
	int64_t now_us = clock_now_us ();
	int64_t due_us = admission_next_expiry_us (owner->admission);

	if (owner->checking.length > 0)
		due_us = now_us + OWNER_POLL_INTERVAL_US;
	else if (acknowledgement_is_waiting (owner->acknowledgement))
		due_us = owner_acknowledge_due_us (owner, now_us);
	else if (owner->freshness.pending_count > 0 && due_us > now_us + catch_up_interval_us (owner))
		due_us = now_us + catch_up_interval_us (owner);
	if (owner->tasks.length > 0 && due_us > now_us + OWNER_STATUS_MAX_SILENCE_US)
		due_us = now_us + OWNER_STATUS_MAX_SILENCE_US;
	if (freshness_needs_sample (&owner->freshness) &&
	    due_us > now_us + OWNER_LAG_SAMPLE_INTERVAL_US)
		due_us = now_us + OWNER_LAG_SAMPLE_INTERVAL_US;
	if (due_us > owner->last_maintenance_us + OWNER_MAINTENANCE_INTERVAL_US)
		due_us = owner->last_maintenance_us + OWNER_MAINTENANCE_INTERVAL_US;
	if (owner->timer.slot == 0 || owner->timer.due_us > due_us)
		loop_set_timer (owner->set->loop, &owner->timer, due_us);
}

static void
owner_recheck_reads (struct owner *owner)
{
	/* Checking a request may answer it, and its submitter may then submit or cancel others, which
	 * changes the queue. */
	for (uint32_t left = owner->checking.length; left > 0; left--)
	{
		GList *link = g_queue_pop_head_link (&owner->checking);
		struct owner_task *task;

		if (!link)
			return;
		task = link->data;
		task->state = TASK_NEW;
		owner_task_check_server (task);
	}
}

/* Measures age and lag while there are reads, so that the entry VMs can choose between the
 * servers. */
static void
owner_measure_freshness (struct owner *owner, int64_t now_us)
{
	if (now_us - owner->last_read_us > OWNER_LAG_MEASURE_AFTER_READ_US || owner->is_retired)
		return;
	if (!freshness_start_round (&owner->freshness, now_us))
		return;
	for (uint32_t i = 0; i < owner->database.server_count; i++)
		owner_monitor_query (owner->monitors[i].monitor, true, now_us);
}

static void
owner_maintain (struct owner *owner, int64_t now_us)
{
	owner->last_maintenance_us = now_us;
	owner_pool_close_idle (&owner->pool, now_us, owner->is_retired || !owner->is_current_owner);
	owner_measure_freshness (owner, now_us);
}

static void
owner_free (struct owner *owner)
{
	struct owner_set *set = owner->set;

	loop_cancel_timer (set->loop, &owner->timer);
	owner_pool_finish (&owner->pool);
	for (uint32_t i = 0; i < owner->database.server_count; i++)
		owner_monitor_leave (&owner->monitors[i]);
	free (owner->monitors);
	free (owner->admission);
	free (owner->acknowledgement);
	handle_table_finish (&owner->transactions);
	free (owner);
}

/* Returns whether the server's position is needed and no recent answer carried it. */
static bool
owner_needs_status (const struct owner *owner, int64_t now_us)
{
	int64_t silence_us = now_us - owner->position_at_us;

	if (owner->freshness.pending_count > 0 && silence_us >= catch_up_interval_us (owner))
		return true;
	return owner->tasks.length > 0 && silence_us >= OWNER_STATUS_MAX_SILENCE_US;
}

static void
handle_owner_timer (struct loop_timer *timer, int64_t now_us)
{
	struct owner *owner = timer->data;

	owner_acknowledge_settle (owner);
	owner_acknowledge_poll (owner, now_us);
	owner_recheck_reads (owner);
	if (owner_needs_status (owner, now_us))
		owner_query_status (owner, false);
	if (now_us - owner->last_maintenance_us >= OWNER_MAINTENANCE_INTERVAL_US)
		owner_maintain (owner, now_us);
	else if (freshness_needs_sample (&owner->freshness) &&
	         now_us - owner->freshness.started_us >= OWNER_LAG_SAMPLE_INTERVAL_US)
		owner_measure_freshness (owner, now_us);
	owner_dispatch (owner);
	if (owner_is_active (owner) || owner_pool_open_count (&owner->pool) > 0)
	{
		owner_schedule (owner);
		return;
	}
	if (owner->is_owner_or_standby && !owner->is_retired)
		return;
	owner_set_remove (owner->set, owner);
	owner_free (owner);
}

static struct admission_settings
make_admission_settings (const struct schema_service *service,
                         const struct schema_database *database)
{
	struct admission_settings settings = { .slots = database->slots };

	for (int rank = 0; rank < RANK_COUNT; rank++)
	{
		settings.queue_limit[rank] = service->ranks[rank].queue_limit;
		settings.floor_percent[rank] = service->ranks[rank].floor_percent;
	}
	/* A running statement cannot be interrupted, so the lowest rank may not use all slots. */
	settings.max_slots[RANK_LOW] = database->slots > 1 ? database->slots - 1 : 1;
	for (size_t i = 0; i < service->tenant_count && i < OWNER_DEFAULT_TENANT; i++)
		settings.tenant_weight[i] = service->tenants[i].weight;
	return settings;
}

static struct admission *
admission_new (const struct admission_settings *settings)
{
	void *memory = malloc (admission_size (settings));

	return memory ? admission_init (memory, settings, clock_now_us ()) : NULL;
}

static uint32_t
pool_connection_limit (const struct schema_database *database)
{
	/* Owner and standby may both act as the owner for a time, so each gets half, which keeps the
	 * sum within the server's limit. */
	if (database->connections < OWNER_RESERVED_CONNECTIONS + 2)
		return 1;
	return (database->connections - OWNER_RESERVED_CONNECTIONS) / 2;
}

static int
owner_init_connections (struct owner *owner)
{
	struct owner_set *set = owner->set;
	const struct schema_database *database = &owner->database;
	const struct schema_server *self = &database->servers[owner->server];
	int result;

	owner->monitors = calloc (database->server_count, sizeof *owner->monitors);
	if (!owner->monitors)
		return -ENOMEM;
	result = owner_pool_init (&owner->pool, set->loop, set->monitors.factory, &pool_ops, owner,
	                          pool_connection_limit (database), self->ip, self->port,
	                          database->name, random_next (&owner->random_state));
	if (result < 0)
		return result;
	owner_pool_set_vm (&owner->pool, set->settings->vm_id);
	for (uint32_t i = 0; i < database->server_count && result == 0; i++)
	{
		const struct schema_server *server = &database->servers[i];

		owner->monitors[i] = (struct monitor_user){
			.ops = &monitor_ops,
			.data = owner,
			.server = i,
			.idle_timeout_us = OWNER_MONITOR_IDLE_TIMEOUT_US,
		};
		result = owner_monitor_join (&set->monitors, &owner->monitors[i], server->ip, server->port,
		                             database->name);
	}
	return result;
}

static void
owner_apply_group (struct owner *owner, const struct snapshot_group *group)
{
	const struct ownership *owners = &group->servers[owner->server].owners;
	uint32_t self = owner->set->settings->vm_id;

	owner->is_current_owner = owners->owner == self;
	owner->is_owner_or_standby = owner->is_current_owner || owners->standby == self;
	owner_pool_set_draining (&owner->pool, !owner->is_owner_or_standby);
	if (!group->servers[owner->server].is_leaving)
		owner->leaving_since_us = 0;
	else if (owner->leaving_since_us == 0)
		owner->leaving_since_us = clock_now_us ();
	if (group->has_primary && (!owner->has_primary || group->term >= owner->term))
	{
		owner->has_primary = true;
		owner->term = group->term;
		owner->primary = group->primary;
	}
}

struct owner *
owner_new (struct owner_set *set, const struct snapshot_group *group, uint32_t server)
{
	struct owner *owner = calloc (1, sizeof *owner);
	uint32_t servers = group->database->server_count;
	void *memory = malloc (acknowledgement_size (servers, OWNER_MAX_WRITES));

	if (!owner || !memory)
		goto fail;
	owner->set = set;
	owner->database = *group->database;
	owner->server = server;
	owner->random_state = random_next (&set->random_state);
	owner->service_revision = group->service->revision;
	owner->admission_settings = make_admission_settings (group->service, group->database);
	owner->admission = admission_new (&owner->admission_settings);
	if (!owner->admission)
		goto fail;
	if (owner_init_connections (owner) < 0)
		goto fail;
	owner->acknowledgement = acknowledgement_init (memory, servers, OWNER_MAX_WRITES);
	freshness_init (&owner->freshness, servers, server);
	retry_budget_init (&owner->retry_budget, OWNER_RETRY_PERCENT, OWNER_RETRY_BURST);
	handle_table_init (&owner->transactions, sizeof (struct owner_transaction *),
	                   OWNER_MAX_TRANSACTIONS);
	g_queue_init (&owner->tasks);
	g_queue_init (&owner->checking);
	owner->timer.handle_timer = handle_owner_timer;
	owner->timer.data = owner;
	owner->last_maintenance_us = clock_now_us ();
	owner_apply_group (owner, group);
	return owner;

fail:
	if (owner)
	{
		for (uint32_t i = 0; owner->monitors && i < servers; i++)
			owner_monitor_leave (&owner->monitors[i]);
		free (owner->admission);
		free (owner->monitors);
	}
	free (owner);
	free (memory);
	return NULL;
}

/* A VM that lost its role closes its idle connections at once, since the next owner opens as
 * many. */
static void
owner_schedule_maintenance (struct owner *owner)
{
	owner->last_maintenance_us = clock_now_us () - OWNER_MAINTENANCE_INTERVAL_US;
	owner_schedule (owner);
}

static bool
is_same_server (const struct schema_server *a, const struct schema_server *b)
{
	return a->ip == b->ip && a->port == b->port;
}

static bool
is_same_database (const struct schema_database *a, const struct schema_database *b)
{
	if (a->server_count != b->server_count || a->connections != b->connections)
		return false;
	for (uint32_t i = 0; i < a->server_count; i++)
	{
		if (!is_same_server (&a->servers[i], &b->servers[i]))
			return false;
	}
	return true;
}

/* Moves requests to a new queue with the changed settings. Running requests are moved first and
 * keep their slots; those for which the new settings have no slot go on without one. */
static void
owner_change_admission (struct owner *owner, const struct admission_settings *settings)
{
	struct admission *changed = admission_new (settings);
	int64_t now_us = clock_now_us ();
	size_t count = 0;
	uint32_t *queued;

	if (!changed)
		return;
	queued = g_new (uint32_t, owner->tasks.length + 1);
	for (GList *link = owner->tasks.head; link; link = link->next)
	{
		struct owner_task *task = link->data;
		struct admission_request request = { .cookie = task->handle,
			                                 .rank = task->rank,
			                                 .tenant = task->tenant,
			                                 .deadline_us = INT64_MAX };

		if (task->state == TASK_QUEUED)
		{
			task->state = TASK_NEW;
			queued[count++] = task->handle;
		}
		if (!task->has_slot)
			continue;
		task->has_slot = admission_submit (changed, &request, now_us).verdict == ADMISSION_START;
		if (!task->has_slot)
			admission_cancel (changed, task->handle);
	}
	admission_finish (owner->admission);
	free (owner->admission);
	owner->admission = changed;
	owner->admission_settings = *settings;
	for (size_t i = 0; i < count; i++)
	{
		struct owner_task **task = handle_table_get (&owner->set->tasks, queued[i]);

		if (task && (*task)->state == TASK_NEW)
			owner_task_admit (*task);
	}
	g_free (queued);
}

/* Refuses writes that wait for a slot of a replaced primary, so that they are sent to the new one:
 * the slots may be held by statements that the old server never answers. */
static void
owner_refuse_queued_writes (struct owner *owner)
{
	GList *link = owner->tasks.head;
	bool was_dispatching = owner->is_dispatching;

	owner->is_dispatching = true;
	while (link)
	{
		struct owner_task *task = link->data;

		link = link->next;
		if (task->state == TASK_QUEUED && task->is_write && !task->transaction)
			owner_task_refuse (task, REASON_NOT_PRIMARY, 0);
	}
	owner->is_dispatching = was_dispatching;
	owner_dispatch (owner);
}

void
owner_handle_snapshot (struct owner *owner, const struct snapshot *snapshot)
{
	const struct snapshot_group *group = snapshot_find_group (snapshot, owner->database.name);
	struct admission_settings settings;

	if (!group || !is_same_database (&owner->database, group->database))
	{
		owner->is_retired = true;
		owner_pool_set_draining (&owner->pool, true);
		owner_schedule_maintenance (owner);
		return;
	}
	owner_apply_group (owner, group);
	if (owner_is_replaced (owner))
		owner_refuse_queued_writes (owner);
	if (owner->service_revision != group->service->revision)
	{
		owner->service_revision = group->service->revision;
		owner->database = *group->database;
		settings = make_admission_settings (group->service, group->database);
		if (memcmp (&settings, &owner->admission_settings, sizeof settings) != 0)
			owner_change_admission (owner, &settings);
	}
	if (owner->is_current_owner)
		owner_schedule (owner);
	else
		owner_schedule_maintenance (owner);
}

void
owner_finish (struct owner *owner)
{
	owner_transaction_finish_all (owner);
	/* Prevents answers from starting queued requests. */
	owner->is_dispatching = true;
	while (owner->tasks.head)
	{
		struct owner_task *task = owner->tasks.head->data;

		if (task->state == TASK_RUNNING || task->state == TASK_ACKNOWLEDGING)
			task->may_have_run = true;
		owner_task_refuse (task, REASON_LEAVING, 0);
	}
	owner_free (owner);
}
