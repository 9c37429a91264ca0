#include "gateway/controller_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "platform/documents.h"
#include "platform/store.h"

#include <errno.h>
#include <string.h>

enum
{
	CONTROL_TICK_US = 20 * US_PER_MS,
	/* Some polls fit into LEAD_AUTHORITY_MS, so that a lost one does not end the use of primaries. */
	CONTROL_POLL_US = 400 * US_PER_MS,
	/* A missing entry is taken as gone: the time that the platform grants after the store's return, and some
	 * delay; well below the time after which a leaving server must be out of use. */
	CONTROL_MISSING_US = 3 * US_PER_S,
	/* VMs that ask the poller of their zone. */
	CONTROL_SLOW_POLL_US = 20 * US_PER_S,
	CONTROL_DIRECTORY_QUIET_MS =
		4000, /* Well below the time in which a leaving server is out of use. */
	/* Knowledge of this age is renewed by a poll of one's own. */
	CONTROL_KNOWN_AGE_US = 1000 * US_PER_MS,
	CONTROL_RETRY_US = 200 * US_PER_MS,
};

static const char store_prefix[] = "flamingospring/";
const char controller_lead_prefix[] = "flamingospring/lead/";
const char controller_member_prefix[] = "flamingospring/vm/";

struct controller_message
{
	struct mailbox_message message;
	struct server_report *report;
	char *service;
	uint64_t revision;
	bool is_leave;
	bool has_left;
};

static void
known_server_free (void *data)
{
	struct known_server *server = data;

	server_entry_clear (&server->entry);
	g_free (server);
}

/* Records of the fleet: primaries and VMs. */

static void
take_lead (struct controller *controller, const struct platform_pair *pair, int64_t now_us)
{
	struct succession_record record = { .revision = pair->revision };
	const char *service = pair->key + strlen (controller_lead_prefix);

	if (duty_record_parse (pair->value, pair->value_length, &record) < 0)
	{
		log_event (LOG_LEVEL_ERROR, "record_malformed", "key=%s revision=%llu", pair->key,
		           (unsigned long long) pair->revision);
		return;
	}
	duty_set_record (duty_get (controller, service), &record, now_us);
}

static void
take_member (struct controller *controller, const struct platform_pair *pair, int64_t now_us)
{
	const char *vm = pair->key + strlen (controller_member_prefix);
	char *value = g_strndup (pair->value, pair->value_length);
	struct member *member;
	char address[BOOT_ADDRESS_BYTES];
	char zone[BOOT_NAME_BYTES];

	if (strcmp (vm, controller->boot.vm) == 0)
	{
		controller->own_revision = pair->revision;
		controller->is_registered = strcmp (value, controller->own_value) == 0;
	}
	else if (sscanf (value, "address=%63s zone=%79s", address, zone) == 2)
	{
		member = member_get (controller, vm, now_us);
		if (boot_address_parse (address, &member->address.ip, &member->address.port) < 0)
			log_event (LOG_LEVEL_ERROR, "member_malformed", "member=%s", vm);
		if (member->revision != pair->revision)
			member->seen_us = now_us;
		g_free (member->zone);
		member->zone = g_strdup (zone);
		member->revision = pair->revision;
		member->is_listed = true;
	}
	g_free (value);
}

static void
handle_registered (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	controller->is_registering = false;
	if (controller->joined_us > 0)
		controller->joined_us = clock_now_us ();
	log_event (LOG_LEVEL_INFO, "registered", "error=%d succeeded=%d revision=%llu", answer->error,
	           answer->succeeded, (unsigned long long) answer->revision);
	controller_poll (controller, clock_now_us ());
}

static void
register_vm (struct controller *controller)
{
	char *key;

	if (controller->is_registered || controller->is_registering || controller->is_leaving)
		return;
	key = g_strdup_printf ("%s%s", controller_member_prefix, controller->boot.vm);
	if (controller->own_revision == 0)
		controller->joined_us = clock_now_us ();
	controller->is_registering =
		controller->platform.ops->swap (&controller->platform, key, controller->own_revision,
	                                    controller->own_value, strlen (controller->own_value),
	                                    handle_registered, controller) == 0;
	g_free (key);
}

static void
note_store (struct controller *controller, int error, int64_t now_us)
{
	if (error < 0 && controller->store_ok_us > 0)
		log_event (LOG_LEVEL_WARN, "store_lost", "error=%d", error);
	if (error == 0 && controller->store_ok_us == 0)
		log_event (LOG_LEVEL_INFO, "store_regained", "knowledge_age_ms=%lld",
		           (long long) (now_us - controller->known_us) / US_PER_MS);
	if (error < 0)
		controller->store_ok_us = 0;
	else if (controller->store_ok_us == 0)
		controller->store_ok_us = now_us;
}

static void
send_view (struct controller *controller)
{
	struct view *view = view_new ();
	GHashTableIter iter;
	gpointer value;

	controller->is_view_old = false;
	if (controller->configuration)
		view->configuration = configuration_hold (controller->configuration);
	view->known_us = controller->known_us;
	view->is_registered = controller->is_registered;
	view->is_isolated = controller->is_isolated;
	view->vm_count = controller->vm_count;
	g_hash_table_iter_init (&iter, controller->duties);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct duty *duty = value;
		const struct succession_record *record = &duty->succession.record;
		struct lead lead = {
			.service = g_strdup (duty->service),
			.primary = g_strdup (record->primary),
			.revision = record->revision,
			.is_changing = record->is_changing,
			.is_planned = record->is_planned,
		};

		g_array_append_val (view->leads, lead);
	}
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *server = value;
		struct server_entry entry;

		if (!server->is_listed)
			continue;
		server_entry_copy (&entry, &server->entry);
		g_array_append_val (view->servers, entry);
	}
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		struct view_member entry = {
			.vm = g_strdup (member->vm),
			.zone = g_strdup (member->zone),
			.ip = member->address.ip,
			.port = member->address.port,
		};

		if (member->is_serving)
			g_array_append_val (view->members, entry);
	}
	gateway_traffic_send_view (controller->traffic, view);
}

static int64_t
poll_interval_us (const struct controller *controller, int error)
{
	if (error < 0)
		return CONTROL_RETRY_US;
	return controller->is_poller ? CONTROL_POLL_US : CONTROL_SLOW_POLL_US;
}

static void
handle_poll (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;
	int64_t now_us = clock_now_us ();
	bool was_registered = controller->is_registered;
	GHashTableIter iter;
	gpointer value;

	controller->is_polling = false;
	note_store (controller, answer->error, now_us);
	loop_set_timer (&controller->loop, &controller->poll_timer,
	                now_us + poll_interval_us (controller, answer->error));
	if (answer->error < 0)
		return;
	controller->is_registered = false;
	controller->own_revision = 0;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		((struct member *) value)->is_listed = false;
	for (size_t i = 0; i < answer->count; i++)
	{
		const struct platform_pair *pair = &answer->pairs[i];

		if (strncmp (pair->key, controller_lead_prefix, strlen (controller_lead_prefix)) == 0)
			take_lead (controller, pair, now_us);
		else if (strncmp (pair->key, controller_member_prefix, strlen (controller_member_prefix)) ==
		         0)
			take_member (controller, pair, now_us);
	}
	controller->listed_us = answer->asked_us;
	if (answer->asked_us > controller->known_us)
		controller->known_us = answer->asked_us;
	if (controller->is_registered != was_registered)
		controller->is_view_old = true;
	register_vm (controller);
	if (controller->is_view_old)
		send_view (controller);
	else
		gateway_traffic_send_known (controller->traffic, controller->known_us);
}

void
controller_poll (struct controller *controller, int64_t now_us)
{
	int result;

	if (controller->is_polling)
	{
		/* The outstanding answer may be older than what is to be read. */
		loop_set_timer (&controller->loop, &controller->poll_timer, now_us + US_PER_MS);
		return;
	}
	result = controller->platform.ops->range (&controller->platform, store_prefix, 0, handle_poll,
	                                          controller);
	controller->is_polling = result == 0;
	loop_set_timer (&controller->loop, &controller->poll_timer, now_us + CONTROL_POLL_US);
}

static void
handle_poll_timer (struct loop_timer *timer, int64_t now_us)
{
	struct controller *controller = timer->data;

	if (controller->is_polling)
		loop_set_timer (&controller->loop, timer, now_us + 2 * US_PER_MS);
	else
		controller_poll (controller, now_us);
}

/* The operators' configuration. */

static void
take_configuration (struct controller *controller, const struct platform_pair *pair)
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
	controller->is_view_old = true;
	g_hash_table_iter_init (&iter, configuration->services);
	while (g_hash_table_iter_next (&iter, &name, NULL))
		duty_get (controller, name);
}

static void
flush_view (struct controller *controller)
{
	if (controller->is_view_old)
		send_view (controller);
}

static void
handle_operator_event (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	if (answer->error < 0)
	{
		/* A watch may hear nothing although something has changed. */
		loop_set_timer (&controller->loop, &controller->operator_timer,
		                clock_now_us () + (answer->error == -ETIMEDOUT ? 0 : CONTROL_RETRY_US));
		return;
	}
	for (size_t i = 0; i < answer->count; i++)
		take_configuration (controller, &answer->pairs[i]);
	flush_view (controller);
}

static void
handle_operator_range (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	controller->is_reading_operator = false;
	handle_operator_event (controller, answer);
	if (answer->error == 0 && !controller->is_following)
		controller->platform.ops->watch (
			&controller->platform, documents_operator_prefix, answer->revision,
			controller->boot.configuration_ms * 3 / 5, handle_operator_event, controller);
}

void
controller_read_operator (struct controller *controller)
{
	if (!controller->is_reading_operator)
		controller->is_reading_operator =
			controller->platform.ops->range (&controller->platform, documents_operator_prefix, 0,
		                                     handle_operator_range, controller) == 0;
}

static void
handle_operator_timer (struct loop_timer *timer, int64_t now_us)
{
	controller_read_operator (timer->data);
}

/* The directory of servers. */

static void
note_missing (struct controller *controller, const char *id, int64_t now_us)
{
	struct known_server *server = g_hash_table_lookup (controller->servers, id);

	if (!server || !server->is_listed || server->missing_us > 0)
		return;
	log_event (LOG_LEVEL_INFO, "server_missing", "server=%s service=%s", id, server->entry.service);
	server->missing_us = now_us;
}

/** Entries lapse while the store is away; those of living servers are back about 2 s after its return. */
static void
unlist_gone (struct controller *controller, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (controller->store_ok_us == 0)
		return;
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct known_server *server = value;
		int64_t since_us = MAX (server->missing_us, controller->store_ok_us);

		if (!server->is_listed || server->missing_us == 0 || now_us - since_us < CONTROL_MISSING_US)
			continue;
		log_event (LOG_LEVEL_INFO, "server_gone", "server=%s service=%s missing_ms=%lld",
		           server->entry.id, server->entry.service,
		           (long long) (now_us - server->missing_us) / US_PER_MS);
		server->is_listed = false;
		controller->is_view_old = true;
	}
}

static bool
entry_differs (const struct server_entry *a, const struct server_entry *b)
{
	return a->ip != b->ip || a->port != b->port || a->is_draining != b->is_draining ||
	       a->reports_primary != b->reports_primary || a->slots != b->slots ||
	       strcmp (a->service, b->service) != 0 || strcmp (a->zone, b->zone) != 0;
}

static void
take_server (struct controller *controller, const struct platform_pair *pair, int64_t now_us)
{
	struct known_server *server;
	struct server_entry entry;
	const char *id = pair->key + strlen (documents_server_prefix);

	if (pair->is_deleted)
	{
		note_missing (controller, id, now_us);
		return;
	}
	if (documents_decode_server (pair, &entry) < 0)
	{
		log_event (LOG_LEVEL_INFO, "server_entry_ignored", "key=%s", pair->key);
		return;
	}
	server = g_hash_table_lookup (controller->servers, entry.id);
	if (!server)
	{
		server = g_new0 (struct known_server, 1);
		g_hash_table_insert (controller->servers, g_strdup (entry.id), server);
	}
	if (!server->is_listed || entry_differs (&server->entry, &entry))
	{
		log_event (LOG_LEVEL_INFO, "server_listed", "server=%s service=%s draining=%d primary=%d",
		           entry.id, entry.service, entry.is_draining, entry.reports_primary);
		controller->is_view_old = true;
	}
	server_entry_clear (&server->entry);
	server->entry = entry;
	server->is_listed = true;
	server->missing_us = 0;
}

static void
handle_directory_event (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	if (answer->error < 0)
	{
		loop_set_timer (&controller->loop, &controller->directory_timer,
		                clock_now_us () + CONTROL_RETRY_US);
		return;
	}
	for (size_t i = 0; i < answer->count; i++)
	{
		const struct platform_pair *pair = &answer->pairs[i];

		take_server (controller, pair, clock_now_us ());
		if (pair->revision > controller->directory_revision)
			controller->directory_revision = pair->revision;
	}
	flush_view (controller);
}

/** Entries that are not in a complete list are gone. */
static void
unlist_missing (struct controller *controller, const struct platform_answer *answer)
{
	GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer id;

	for (size_t i = 0; i < answer->count; i++)
		g_hash_table_add (present,
		                  (char *) answer->pairs[i].key + strlen (documents_server_prefix));
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, &id, NULL))
		if (!g_hash_table_contains (present, id))
			note_missing (controller, id, clock_now_us ());
	g_hash_table_destroy (present);
}

static void
handle_directory_range (void *data, const struct platform_answer *answer)
{
	struct controller *controller = data;

	controller->is_reading_directory = false;
	if (answer->error == 0)
	{
		unlist_missing (controller, answer);
		controller->has_directory = true;
		controller->directory_revision = answer->revision;
	}
	handle_directory_event (controller, answer);
	if (answer->error == 0 && !controller->is_following)
		controller->platform.ops->watch (&controller->platform, documents_server_prefix,
		                                 answer->revision, CONTROL_DIRECTORY_QUIET_MS,
		                                 handle_directory_event, controller);
}

void
controller_read_directory (struct controller *controller)
{
	if (!controller->is_reading_directory)
		controller->is_reading_directory =
			controller->platform.ops->range (&controller->platform, documents_server_prefix, 0,
		                                     handle_directory_range, controller) == 0;
}

void
controller_set_following (struct controller *controller, bool is_following)
{
	if (controller->is_following == is_following)
		return;
	controller->is_following = is_following;
	log_event (LOG_LEVEL_INFO, is_following ? "following" : "watching", "knowledge_age_ms=%lld",
	           (long long) (clock_now_us () - controller->known_us) / US_PER_MS);
	if (is_following)
	{
		controller->platform.ops->unwatch (&controller->platform, documents_operator_prefix);
		controller->platform.ops->unwatch (&controller->platform, documents_server_prefix);
		return;
	}
	controller_read_operator (controller);
	controller_read_directory (controller);
}

static void
handle_directory_timer (struct loop_timer *timer, int64_t now_us)
{
	controller_read_directory (timer->data);
}

/* The traffic thread. */

static void
take_report (struct controller *controller, const struct server_report *report)
{
	struct known_server *server = g_hash_table_lookup (controller->servers, report->server);

	if (!server)
		return;
	server->is_unreachable = report->is_unreachable;
	if (!report->has_status)
	{
		/* A server that was refused as a primary is asked what it is. */
		if (!report->is_unreachable)
			gateway_traffic_send_question (controller->traffic, report->server, 0);
		return;
	}
	server->has_status = true;
	server->status = report->status;
	server->status_us = report->at_us;
	if (report->status.is_primary)
		server->not_primary_us = 0;
	else if (server->not_primary_us == 0)
		server->not_primary_us = report->at_us;
}

static void
handle_message (struct mailbox_message *mail, void *receiver)
{
	struct controller_message *message = (struct controller_message *) mail;
	struct controller *controller = receiver;

	if (message->report)
	{
		take_report (controller, message->report);
		g_free (message->report->server);
		g_free (message->report->service);
		g_free (message->report);
	}
	if (message->service)
	{
		struct duty *duty = duty_get (controller, message->service);

		duty->quiesced_revision = message->revision;
		duty_answer_claimant (duty);
		g_free (message->service);
	}
	if (message->is_leave && !controller->is_leaving)
	{
		log_event (LOG_LEVEL_INFO, "leaving", "grace_ms=%u", controller->boot.grace_ms);
		controller->is_leaving = true;
		controller->hello_us = 0; /* The other VMs learn it with the next tick. */
		gateway_traffic_send_leave (controller->traffic);
	}
	if (message->has_left && !controller->has_left)
	{
		controller->has_left = true;
		controller->handle_left (controller->handle_left_data);
	}
	g_free (message);
}

static struct controller_message *
message_new (void)
{
	struct controller_message *message = g_new0 (struct controller_message, 1);

	message->message.handle_message = handle_message;
	return message;
}

static void
send_report (void *data, struct server_report *report)
{
	struct controller *controller = data;
	struct controller_message *message = message_new ();

	message->report = report;
	mailbox_send (&controller->mailbox, &message->message);
}

static void
send_quiesced (void *data, const char *service, uint64_t revision)
{
	struct controller *controller = data;
	struct controller_message *message = message_new ();

	message->service = g_strdup (service);
	message->revision = revision;
	mailbox_send (&controller->mailbox, &message->message);
}

static void
send_left (void *data)
{
	struct controller *controller = data;
	struct controller_message *message = message_new ();

	message->has_left = true;
	mailbox_send (&controller->mailbox, &message->message);
}

const struct gateway_traffic_events controller_traffic_events = {
	.handle_report = send_report,
	.handle_quiesced = send_quiesced,
	.handle_left = send_left,
};

/* The thread. */

static unsigned
answer_readiness (void *data, GString *body)
{
	const struct controller *controller = data;
	bool is_ready = controller->configuration && controller->has_directory &&
	                controller->known_us > 0 && !controller->is_leaving && !controller->is_isolated;

	(void) body;
	return is_ready ? 200 : 503;
}

static void
handle_tick (struct loop_timer *timer, int64_t now_us)
{
	struct controller *controller = timer->data;
	GHashTableIter iter;
	gpointer value;

	loop_set_timer (&controller->loop, timer, now_us + CONTROL_TICK_US);
	members_tick (controller, now_us);
	unlist_gone (controller, now_us);
	if (now_us - controller->known_us > CONTROL_KNOWN_AGE_US && controller->store_ok_us > 0 &&
	    !controller->is_polling)
		controller_poll (controller, now_us);
	g_hash_table_iter_init (&iter, controller->duties);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		duty_tick (value, now_us);
	flush_view (controller);
}

static void *
controller_main (void *data)
{
	struct controller *controller = data;
	int result;

	controller_read_operator (controller);
	controller_read_directory (controller);
	controller_poll (controller, clock_now_us ());
	loop_set_timer (&controller->loop, &controller->tick, clock_now_us () + CONTROL_TICK_US);
	result = loop_run (&controller->loop);
	if (result < 0)
		log_event (LOG_LEVEL_ERROR, "control_failed", "error=%d", result);
	return NULL;
}

static void
timer_prepare (struct loop_timer *timer, struct controller *controller,
               void (*handle) (struct loop_timer *timer, int64_t now_us))
{
	timer->handle_timer = handle;
	timer->data = controller;
}

static int
controller_open (struct controller *controller)
{
	const struct boot_settings *boot = &controller->boot;
	struct store_settings store = { boot->store_address, boot->cloud_address, boot->ip };
	struct peer_address own = { boot->ip, boot->peer_port };
	int result = loop_init (&controller->loop);

	if (result == 0)
		result = mailbox_init (&controller->mailbox, &controller->loop, controller);
	if (result == 0)
		result = platform_store_init (&controller->platform, &controller->loop, &store);
	if (result == 0)
		result = peers_init (&controller->peers, &controller->loop, own, &controller_peers_ops,
		                     controller);
	if (result == 0)
		result = http_responder_init (&controller->readiness, &controller->loop, boot->ip,
		                              boot->readiness_port, documents_readiness_path,
		                              answer_readiness, controller);
	if (result == 0 && controller->metrics_port > 0)
		result = http_responder_init (&controller->metrics, &controller->loop, boot->ip,
		                              controller->metrics_port, "/metrics",
		                              controller_answer_metrics, controller);
	return result;
}

struct controller *
controller_start (const struct boot_settings *boot, uint16_t metrics_port,
                  struct gateway_traffic *traffic, void (*handle_left) (void *data), void *data)
{
	struct controller *controller = g_new0 (struct controller, 1);
	int result;

	controller->boot = *boot;
	controller->metrics_port = metrics_port;
	controller->traffic = traffic;
	controller->handle_left = handle_left;
	controller->handle_left_data = data;
	controller->vm_count = 1;
	controller->servers =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, known_server_free);
	controller->duties =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) duty_free);
	controller->members =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) member_free);
	controller->zones =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) zone_report_free);
	/* The start time tells this process from an earlier one of the same VM. */
	controller->own_value =
		g_strdup_printf ("address=%u.%u.%u.%u:%u zone=%s start=%lld", boot->ip >> 24,
	                     boot->ip >> 16 & 255, boot->ip >> 8 & 255, boot->ip & 255, boot->peer_port,
	                     boot->zone, (long long) clock_wall_ns ());
	timer_prepare (&controller->tick, controller, handle_tick);
	timer_prepare (&controller->poll_timer, controller, handle_poll_timer);
	timer_prepare (&controller->operator_timer, controller, handle_operator_timer);
	timer_prepare (&controller->directory_timer, controller, handle_directory_timer);
	result = controller_open (controller);
	if (result == 0)
		result = gateway_traffic_start (traffic, &controller_traffic_events, controller);
	if (result == 0)
		result = -pthread_create (&controller->thread, NULL, controller_main, controller);
	if (result == 0)
		return controller;
	log_event (LOG_LEVEL_ERROR, "control_not_started", "error=%d", result);
	return NULL;
}

void
controller_leave (struct controller *controller)
{
	struct controller_message *message = message_new ();

	message->is_leave = true;
	mailbox_send (&controller->mailbox, &message->message);
}

void
controller_free (struct controller *controller)
{
	loop_stop (&controller->loop);
	pthread_join (controller->thread, NULL);
	http_responder_finish (&controller->readiness);
	http_responder_finish (&controller->metrics);
	peers_finish (&controller->peers);
	controller->platform.ops->finish (&controller->platform);
	mailbox_finish (&controller->mailbox);
	loop_finish (&controller->loop);
	g_hash_table_destroy (controller->duties);
	g_hash_table_destroy (controller->members);
	g_hash_table_destroy (controller->zones);
	g_hash_table_destroy (controller->servers);
	configuration_release (controller->configuration);
	g_free (controller->own_value);
	g_free (controller);
}
