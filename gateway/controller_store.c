#include "gateway/controller_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "decision/quorum.h"
#include "platform/documents.h"

#include <errno.h>
#include <string.h>

enum
{
	/* Several polls fit into SUCCESSION_AUTHORITY_MS, so that one lost poll does not end the use of primaries. */
	CONTROL_POLL_US = 300 * US_PER_MS,
	/* Interval of VMs that follow the poller of their zone. */
	CONTROL_FOLLOWER_POLL_US = 20 * US_PER_S,
	/* Records that have not been confirmed for this long are read again by this VM itself. */
	CONTROL_RECORDS_AGE_US = 800 * US_PER_MS,
	/* Failed calls are repeated after half of the time for which the store has not answered, within these limits, since
	 * refused calls are charged as well. The poller of a zone uses its usual interval instead. */
	CONTROL_RETRY_US = 200 * US_PER_MS,
	CONTROL_MAX_RETRY_US = 1000 * US_PER_MS,
	RECORD_ZONE_BYTES = 3 * BOOT_NAME_BYTES, /* A zone, all of whose bytes are escaped. */
};

static const char store_prefix[] = "flamingospring/";
const char controller_record_prefix[] = "flamingospring/lead/";
const char controller_member_prefix[] = "flamingospring/vm/";

/* Records of primaries and VMs. */

bool
controller_set_era (struct controller *controller, uint64_t era, int64_t now_us)
{
	uint64_t former_era = controller->store_era;

	if (era <= former_era && controller->knows_era)
		return era == former_era;
	controller->store_era = era;
	if (!controller->knows_era)
	{
		controller->knows_era = true;
		return true;
	}
	controller->restored_us = now_us;
	log_event (LOG_LEVEL_WARN, "store_restored", "era=%llu former_era=%llu knowledge_age_ms=%lld",
	           (unsigned long long) era, (unsigned long long) former_era,
	           (long long) (now_us - controller->records_valid_us) / US_PER_MS);
	counter_add (COUNTER_STORE_RESTORES, 1);
	controller_poll (controller, now_us);
	controller_read_configuration (controller);
	controller_read_directory (controller);
	return true;
}

static void
apply_primary_record (struct controller *controller, const struct platform_pair *pair, uint64_t era,
                      int64_t now_us)
{
	struct succession_record record = { 0 };
	struct store_position at = { era, pair->revision };
	uint64_t record_era;
	const char *service = pair->key + strlen (controller_record_prefix);

	/* Such a record counts as lost, and is written again. */
	if (primary_record_parse (pair->value, pair->value_length, pair->revision, &record,
	                          &record_era) < 0)
		log_event (LOG_LEVEL_ERROR, "record_malformed", "key=%s revision=%llu",
		           log_text (pair->key), (unsigned long long) pair->revision);
	primary_manager_set_stored (primary_manager_get (controller, service), &record, record_era, at,
	                            now_us);
}

/** Takes over that the store holds no record of the services that the answer does not name. */
static void
apply_absent_records (struct controller *controller, const struct platform_answer *answer,
                      int64_t now_us)
{
	struct store_position at = { answer->era, answer->revision };
	GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer service;
	gpointer value;

	for (size_t i = 0; i < answer->count; i++)
		if (g_str_has_prefix (answer->pairs[i].key, controller_record_prefix))
			g_hash_table_add (present,
			                  (char *) answer->pairs[i].key + strlen (controller_record_prefix));
	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, &service, &value))
		if (!g_hash_table_contains (present, service))
			primary_manager_set_stored (value, NULL, 0, at, now_us);
	g_hash_table_destroy (present);
}

/** Counts the known records that the store does not hold as of its present era. */
static uint32_t
count_unconfirmed (const struct controller *controller)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct primary_manager *primary_manager = value;

		count += primary_manager->succession.record.change > 0 &&
		         restore_judge (primary_manager->succession.record.change, &primary_manager->stored,
		                        controller->store_era) != RESTORE_CONFIRMED;
	}
	return count;
}

/** Updates whether the records in the store can be relied on. */
static void
update_unconfirmed (struct controller *controller, int64_t now_us)
{
	uint32_t count = count_unconfirmed (controller);

	/* This VM started after the restore. */
	if (count > 0 && controller->restored_us == 0)
		controller->restored_us = now_us;
	if ((count == 0) != (controller->unconfirmed == 0))
		log_event (LOG_LEVEL_INFO, count > 0 ? "records_unconfirmed" : "records_confirmed",
		           "era=%llu records=%u restored_ms=%lld",
		           (unsigned long long) controller->store_era, count,
		           (long long) (now_us - controller->restored_us) / US_PER_MS);
	controller->unconfirmed = count;
}

char *
member_record_format (const struct peer_address *address, const char *zone, const char *start,
                      bool is_settled, bool is_removed)
{
	/* A word of the record. Common names have no character that is escaped. */
	g_autofree char *escaped = g_uri_escape_string (zone, "!$&'()*+,;=:@/?#[]", TRUE);

	return g_strdup_printf ("address=%u.%u.%u.%u:%u zone=%s start=%s settled=%d removed=%d",
	                        address->ip >> 24, address->ip >> 16 & 255, address->ip >> 8 & 255,
	                        address->ip & 255, address->port, escaped, start, is_settled,
	                        is_removed);
}

/** Handles this VM's record, which an earlier process may have written. */
static void
apply_own_record (struct controller *controller, const struct platform_pair *pair,
                  const char *value)
{
	char start[BOOT_NAME_BYTES] = "";
	int is_settled = 0;

	controller->own_revision = pair->revision;
	if (sscanf (value, "address=%*s zone=%*s start=%79s settled=%d", start, &is_settled) != 2)
		log_event (LOG_LEVEL_ERROR, "member_malformed", "member=%s",
		           log_text (controller->boot.vm));
	controller->is_registered = strcmp (start, controller->start) == 0;
	controller->is_settled |= is_settled != 0;
	controller->record_is_settled = is_settled != 0;
}

static void
apply_member_record (struct controller *controller, const struct platform_pair *pair, uint64_t era,
                     int64_t now_us)
{
	struct store_position at = { era, pair->revision };
	const char *vm = pair->key + strlen (controller_member_prefix);
	char *value = g_strndup (pair->value, pair->value_length);
	struct member *member;
	char address[BOOT_ADDRESS_BYTES];
	char zone[RECORD_ZONE_BYTES];
	int is_settled = 0;
	int is_removed = 0;

	if (strcmp (vm, controller->boot.vm) == 0)
		apply_own_record (controller, pair, value);
	else if (sscanf (value, "address=%63s zone=%239s start=%*s settled=%d removed=%d", address,
	                 zone, &is_settled, &is_removed) == 4)
	{
		member = member_get (controller, vm, now_us);
		if (boot_address_parse (address, &member->address.ip, &member->address.port) < 0)
			log_event (LOG_LEVEL_ERROR, "member_malformed", "member=%s", log_text (vm));
		if (store_position_compare (member->at, at) != 0)
			member->seen_us = now_us;
		g_free (member->zone);
		member->zone = g_uri_unescape_string (zone, NULL);
		if (!member->zone)
			member->zone = g_strdup (zone);
		member->at = at;
		member->is_listed = is_removed == 0;
		member->is_removed = is_removed != 0;
		member->is_settled = is_settled != 0;
		if (!member->is_removed)
			member->removed_us = 0;
		else if (member->removed_us == 0)
			member->removed_us = now_us;
	}
	else
		log_event (LOG_LEVEL_ERROR, "member_malformed", "member=%s revision=%llu", log_text (vm),
		           (unsigned long long) pair->revision);
	g_free (value);
}

static void
handle_registered (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	controller->is_registering = false;
	log_event (LOG_LEVEL_INFO, "registered", "error=%d succeeded=%d revision=%llu", answer->error,
	           answer->succeeded, (unsigned long long) answer->revision);
	/* A record that was lost or removed is missing in lists of VMs that were read since. */
	if (answer->succeeded && !controller->is_settled)
		controller->registered_us = clock_now_us ();
	if (answer->error == 0)
		controller_set_era (controller, answer->era, clock_now_us ());
	if (answer->succeeded && answer->era == controller->members_era)
	{
		controller->own_revision = answer->revision;
		if (!controller->is_registered)
			controller->listed_us = clock_now_us ();
		controller->is_registered = true;
		controller->record_is_settled = controller->is_settled;
		controller->is_view_dirty = true;
	}
	/* In a large fleet, the poller reports the VMs that have registered meanwhile, and all VMs do so together. */
	if (!answer->succeeded || controller->vm_count <= CONTROL_LARGE_FLEET)
		controller_poll (controller, clock_now_us ());
}

static void
register_vm (struct controller *controller)
{
	const struct peer_address address = { controller->boot.ip, controller->boot.peer_port };
	char *key;
	char *value;

	if ((controller->is_registered && controller->record_is_settled == controller->is_settled) ||
	    controller->is_registering || controller->is_leaving ||
	    controller->members_era != controller->store_era)
		return;
	key = g_strdup_printf ("%s%s", controller_member_prefix, controller->boot.vm);
	value = member_record_format (&address, controller->boot.zone, controller->start,
	                              controller->is_settled, false);
	controller->is_registering =
		controller->platform.ops->swap (&controller->platform, key, controller->own_revision, value,
	                                    strlen (value), handle_registered, controller) == 0;
	g_free (value);
	g_free (key);
}

void
controller_settle (struct controller *controller, int64_t now_us)
{
	if (!controller->is_registered || controller->is_settled || controller->registered_us == 0 ||
	    now_us - controller->registered_us < QUORUM_SETTLE_US)
		return;
	controller->is_settled = true;
	register_vm (controller);
}

static void
update_store_state (struct controller *controller, int error, int64_t now_us)
{
	if (error < 0 && controller->store_ok_us > 0)
		log_event (LOG_LEVEL_WARN, "store_lost", "error=%d", error);
	if (error == 0 && controller->store_ok_us == 0)
		log_event (LOG_LEVEL_INFO, "store_regained", "knowledge_age_ms=%lld",
		           (long long) (now_us - controller->records_valid_us) / US_PER_MS);
	if (error < 0 && (controller->store_ok_us > 0 || controller->store_lost_us == 0))
		controller->store_lost_us = now_us;
	if (error < 0)
		controller->store_ok_us = 0;
	else if (controller->store_ok_us == 0)
		controller->store_ok_us = now_us;
}

int64_t
controller_next_retry_us (const struct controller *controller, int64_t now_us)
{
	int64_t lost_us = controller->store_ok_us > 0 ? 0 : now_us - controller->store_lost_us;

	return now_us + CLAMP (lost_us / 2, CONTROL_RETRY_US, CONTROL_MAX_RETRY_US);
}

/**
 * Whether this VM may use primaries: records that were current before its registration do not count. Whoever claimed a change
 * meanwhile has read a list without this VM, and does not wait for it.
 */
static bool
is_authorized (const struct controller *controller)
{
	return controller->is_registered && controller->listed_us > 0 &&
	       controller->records_valid_us >= controller->listed_us;
}

static void
send_view (struct controller *controller)
{
	struct view *view = view_new ();
	GHashTableIter iter;
	gpointer value;

	controller->is_view_dirty = false;
	if (controller->configuration)
		view->configuration = configuration_hold (controller->configuration);
	view->records_valid_us = controller->records_valid_us;
	controller->view_is_registered = is_authorized (controller);
	view->is_registered = controller->view_is_registered;
	view->is_isolated = controller->is_isolated;
	view->is_out_of_rotation = controller->is_out_of_rotation;
	view->vm_count = controller->vm_count;
	view->listed_count = controller->listed_count;
	view->knows_members = controller->members_valid_us > 0;
	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct primary_manager *primary_manager = value;
		const struct succession_record *record = &primary_manager->succession.record;
		struct primary_record primary_record = {
			.service = g_strdup (primary_manager->service),
			.primary = g_strdup (record->primary),
			.change = record->change,
			.is_changing = record->is_changing,
			.is_planned = record->is_planned,
		};

		g_array_append_val (view->records, primary_record);
	}
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *server = value;
		struct server_entry entry;

		if (!server->is_listed)
			continue;
		server_entry_copy (&entry, &server->entry);
		entry.use_end_us = controller_find_use_end (controller, server);
		g_array_append_val (view->servers, entry);
	}
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		if (member->is_serving)
		{
			struct view_member entry = {
				.vm = g_strdup (member->vm),
				.zone = g_strdup (member->zone),
				.ip = member->address.ip,
				.port = member->address.port,
			};

			g_array_append_val (view->members, entry);
		}
	}
	gateway_traffic_send_view (controller->traffic, view);
}

/** When to poll next. Counted from the time of the request, so that a slow store is polled at the same rate. */
static int64_t
next_poll_us (const struct controller *controller, const struct platform_answer *answer,
              int64_t now_us)
{
	if (answer->error < 0 && controller->is_poller)
		return now_us + CONTROL_POLL_US;
	if (answer->error < 0)
		return controller_next_retry_us (controller, now_us);
	return answer->request_sent_us +
	       (controller->is_poller ? CONTROL_POLL_US : CONTROL_FOLLOWER_POLL_US);
}

static void
handle_poll (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;
	int64_t now_us = clock_now_us ();
	bool was_registered = controller->is_registered;
	bool is_restored;
	GHashTableIter iter;
	gpointer value;

	controller->is_polling = false;
	update_store_state (controller, answer->error, now_us);
	loop_set_timer (&controller->loop, &controller->poll_timer,
	                next_poll_us (controller, answer, now_us));
	/* An answer of an earlier era says nothing about the store's present state. */
	if (answer->error < 0 || !controller_set_era (controller, answer->era, now_us))
		return;
	controller->is_registered = false;
	controller->own_revision = 0;
	is_restored = controller->members_valid_us > 0 && controller->members_era != answer->era;
	controller->members_era = answer->era;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct member *member = value;

		/* A VM whose record is lost may have confirmed records to others. */
		if (is_restored && (member->is_listed || member->is_removed))
			member->retained_until_us = now_us + QUORUM_REMOVED_US;
		member->is_listed = false;
		member->is_removed = false;
	}
	for (size_t i = 0; i < answer->count; i++)
	{
		const struct platform_pair *pair = &answer->pairs[i];

		if (strncmp (pair->key, controller_record_prefix, strlen (controller_record_prefix)) == 0)
			apply_primary_record (controller, pair, answer->era, now_us);
		else if (strncmp (pair->key, controller_member_prefix, strlen (controller_member_prefix)) ==
		         0)
			apply_member_record (controller, pair, answer->era, now_us);
	}
	apply_absent_records (controller, answer, now_us);
	update_unconfirmed (controller, now_us);
	/* The first view must name the other VMs: a VM that seems to be the only one opens connections to all servers. */
	members_update_serving (controller, now_us);
	controller->members_valid_us = answer->request_sent_us;
	controller->polled_sent_us = answer->request_sent_us;
	if (answer->request_sent_us > controller->records_valid_us && controller->unconfirmed == 0)
		controller->records_valid_us = answer->request_sent_us;
	/* The answer to the swap that wrote this VM's record was lost. */
	if (controller->is_registered && !was_registered && !controller->is_settled)
		controller->registered_us = now_us;
	if (controller->is_registered != was_registered)
	{
		controller->listed_us = controller->is_registered ? now_us : 0;
		controller->is_view_dirty = true;
	}
	register_vm (controller);
	/* These records may be older than the registration that the list shows. */
	if (controller->is_registered && !was_registered)
		controller_poll (controller, now_us);
	if (controller->is_view_dirty || is_authorized (controller) != controller->view_is_registered)
		send_view (controller);
	else
		gateway_traffic_send_records_valid (controller->traffic, controller->records_valid_us);
}

void
controller_poll (struct controller *controller, int64_t now_us)
{
	int result;

	if (controller->is_polling)
	{
		/* The outstanding answer may be older than the change that this poll is to read. */
		loop_set_timer (&controller->loop, &controller->poll_timer, now_us + US_PER_MS);
		return;
	}
	result = controller->platform.ops->range (&controller->platform, store_prefix, 0, handle_poll,
	                                          controller);
	controller->is_polling = result == 0;
	loop_set_timer (&controller->loop, &controller->poll_timer, now_us + CONTROL_POLL_US);
}

void
controller_handle_poll_timer (struct loop_timer *timer, int64_t now_us)
{
	struct controller *controller = timer->data;

	if (controller->is_polling)
		loop_set_timer (&controller->loop, timer, now_us + 2 * US_PER_MS);
	else
		controller_poll (controller, now_us);
}

bool
controller_is_starting (const struct controller *controller)
{
	return clock_now_us () - controller->started_us < CONTROL_FIRST_WATCH_US;
}

/* Configuration. */

static void
apply_configuration (struct controller *controller, const struct platform_pair *pair)
{
	struct configuration *configuration;
	GHashTableIter iter;
	gpointer name;

	if (strcmp (pair->key, documents_configuration_key) != 0 || pair->is_deleted)
		return;
	configuration = documents_decode_configuration (pair->value, pair->value_length);
	if (!configuration)
	{
		log_event (LOG_LEVEL_ERROR, "configuration_malformed", "revision=%llu bytes=%zu",
		           (unsigned long long) pair->revision, pair->value_length);
		counter_add (COUNTER_CONFIG_REJECTED, 1);
		return;
	}
	if (controller->configuration && configuration->version <= controller->configuration->version)
	{
		configuration_release (configuration);
		return;
	}
	log_event (LOG_LEVEL_INFO, "configuration_adopted", "version=%llu revision=%llu routes=%u",
	           (unsigned long long) configuration->version, (unsigned long long) pair->revision,
	           g_hash_table_size (configuration->routes));
	counter_add (COUNTER_CONFIG_ADOPTED, 1);
	configuration_release (controller->configuration);
	controller->configuration = configuration;
	controller->is_view_dirty = true;
	g_hash_table_iter_init (&iter, configuration->services);
	while (g_hash_table_iter_next (&iter, &name, NULL))
		primary_manager_get (controller, name);
}

void
controller_flush_view (struct controller *controller)
{
	if (controller->is_view_dirty || is_authorized (controller) != controller->view_is_registered)
		send_view (controller);
}

static void
retry_configuration (struct controller *controller)
{
	loop_set_timer (&controller->loop, &controller->configuration_timer,
	                controller_next_retry_us (controller, clock_now_us ()));
}

static void
handle_configuration_event (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	if (answer->error < 0 || !controller_set_era (controller, answer->era, clock_now_us ()))
	{
		/* A watch may time out although something has changed, so the configuration is read again. */
		loop_set_timer (&controller->loop, &controller->configuration_timer,
		                answer->error == -ETIMEDOUT && controller->store_ok_us > 0
		                    ? clock_now_us ()
		                    : controller_next_retry_us (controller, clock_now_us ()));
		return;
	}
	for (size_t i = 0; i < answer->count; i++)
		apply_configuration (controller, &answer->pairs[i]);
	controller_flush_view (controller);
}

static void
handle_configuration_range (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	controller->is_reading_configuration = false;
	handle_configuration_event (controller, answer);
	if (answer->error < 0 || answer->era != controller->store_era || controller->is_following)
		return;
	if (controller_is_starting (controller))
		loop_set_timer (&controller->loop, &controller->watch_timer,
		                controller->started_us + CONTROL_FIRST_WATCH_US);
	else if (controller->platform.ops->watch (&controller->platform, documents_operator_prefix,
	                                          answer->revision,
	                                          controller->boot.configuration_ms * 3 / 5,
	                                          handle_configuration_event, controller) < 0)
		retry_configuration (controller);
}

void
controller_read_configuration (struct controller *controller)
{
	if (controller->is_reading_configuration)
		return;
	controller->is_reading_configuration =
		controller->platform.ops->range (&controller->platform, documents_operator_prefix, 0,
	                                     handle_configuration_range, controller) == 0;
	if (!controller->is_reading_configuration)
		retry_configuration (controller);
}

void
controller_handle_configuration_timer (struct loop_timer *timer, int64_t now_us)
{
	controller_read_configuration (timer->data);
}

void
controller_set_following (struct controller *controller, bool is_following)
{
	if (controller->is_following == is_following)
		return;
	controller->is_following = is_following;
	log_event (LOG_LEVEL_INFO, is_following ? "following" : "watching", "knowledge_age_ms=%lld",
	           (long long) (clock_now_us () - controller->records_valid_us) / US_PER_MS);
	if (is_following)
	{
		controller->platform.ops->unwatch (&controller->platform, documents_operator_prefix);
		controller->platform.ops->unwatch (&controller->platform, documents_server_prefix);
		return;
	}
	controller_read_configuration (controller);
	controller_read_directory (controller);
}

void
controller_handle_watch_timer (struct loop_timer *timer, int64_t now_us)
{
	struct controller *controller = timer->data;

	if (controller->is_following)
		return;
	controller_read_configuration (controller);
	controller_read_directory (controller);
}

void
controller_refresh_records (struct controller *controller, int64_t now_us)
{
	if (now_us - controller->records_valid_us > CONTROL_RECORDS_AGE_US &&
	    controller->store_ok_us > 0 && !controller->is_polling)
		controller_poll (controller, now_us);
}
