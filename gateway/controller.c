#include "gateway/controller_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "platform/documents.h"
#include "platform/store.h"

#include <ck_pr.h>
#include <errno.h>
#include <string.h>

enum
{
	CONTROL_TICK_US = 20 * US_PER_MS,
};

struct controller_message
{
	struct mailbox_message message;
	struct server_report *report;
	char *service;
	uint64_t change;
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

/* Messages from the traffic thread. */

static void
apply_report (struct controller *controller, const struct server_report *report)
{
	struct known_server *server = g_hash_table_lookup (controller->servers, report->server);

	if (!server)
		return;
	server->is_unreachable = report->is_unreachable;
	if (report->contact_us > server->contact_us)
		server->contact_us = report->contact_us;
	server->slots_released = report->slots_released;
	if (report->is_contact)
		return;
	if (!report->has_status)
	{
		/* The server may have refused a statement as not primary, so its status is requested. */
		if (!report->is_unreachable)
			gateway_traffic_request_status (controller->traffic, report->server, 0);
		return;
	}
	server->has_status = true;
	server->status = report->status;
	server->status_us = report->at_us;
	primary_manager_apply_status (controller, server);
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
		apply_report (controller, message->report);
		g_free (message->report->server);
		g_free (message->report->service);
		g_free (message->report);
	}
	if (message->service)
	{
		struct primary_manager *primary_manager =
			primary_manager_get (controller, message->service);

		primary_manager->quiesced_change = message->change;
		primary_manager_notify_claimant (primary_manager);
		g_free (message->service);
	}
	if (message->is_leave && !controller->is_leaving)
	{
		log_event (LOG_LEVEL_INFO, "leaving", "grace_ms=%u", controller->boot.grace_ms);
		controller->is_leaving = true;
		controller->last_hello_us = 0; /* Announces it to the other VMs in the next tick. */
		gateway_traffic_send_leave (controller->traffic);
	}
	if (message->has_left && !controller->has_left)
	{
		controller->has_left = true;
		controller->handle_leave_complete (controller->handle_leave_complete_data);
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
send_quiesced (void *data, const char *service, uint64_t change)
{
	struct controller *controller = data;
	struct controller_message *message = message_new ();

	message->service = g_strdup (service);
	message->change = change;
	mailbox_send (&controller->mailbox, &message->message);
}

static void
send_leave_complete (void *data)
{
	struct controller *controller = data;
	struct controller_message *message = message_new ();

	message->has_left = true;
	mailbox_send (&controller->mailbox, &message->message);
}

const struct gateway_traffic_events controller_traffic_events = {
	.handle_report = send_report,
	.handle_quiesced = send_quiesced,
	.handle_leave_complete = send_leave_complete,
};

/* The control thread. */

bool
controller_serves (const struct controller *controller, int64_t now_us)
{
	enum
	{
		/* The traffic thread turns every 20 ms; longer than a stall of a VM with a quarter of a core, and as long as the
		 * time between two probes. */
		TRAFFIC_TURN_LIMIT_US = 1 * US_PER_S,
	};

	return now_us - gateway_traffic_get_turns (controller->traffic).turned_us <
	       TRAFFIC_TURN_LIMIT_US;
}

static unsigned
answer_readiness (void *data, GString *body)
{
	/* The platform's balancer removes a VM after two unready answers. */
	enum
	{
		UNREADY_ANSWERS_LIMIT = 2,
	};
	struct controller *controller = data;
	struct gateway_traffic_turns turns = gateway_traffic_get_turns (controller->traffic);
	bool serves = controller_serves (controller, clock_now_us ());
	bool is_ready = controller->configuration && controller->has_directory &&
	                controller->records_valid_us > 0 && !controller->is_leaving &&
	                !controller->is_isolated && serves;

	(void) body;
	if (!serves)
		log_event (LOG_LEVEL_ERROR, "traffic_stuck", "turn_ms=%lld longest_ms=%lld",
		           (long long) (clock_now_us () - turns.turned_us) / US_PER_MS,
		           (long long) turns.longest_us / US_PER_MS);
	controller->unready_answers = is_ready ? 0 : controller->unready_answers + 1;
	if (controller->unready_answers == UNREADY_ANSWERS_LIMIT)
	{
		controller->is_out_of_rotation = true;
		controller->is_view_dirty = true;
	}
	else if (is_ready)
		controller->is_out_of_rotation = false;
	return is_ready ? 200 : 503;
}

static void
handle_tick (struct loop_timer *timer, int64_t now_us)
{
	struct controller *controller = timer->data;
	GHashTableIter iter;
	gpointer value;

	ck_pr_store_64 ((uint64_t *) &controller->turned_us, (uint64_t) now_us);
	loop_set_timer (&controller->loop, timer, now_us + CONTROL_TICK_US);
	members_tick (controller, now_us);
	controller_unlist_expired (controller, now_us);
	controller_refresh_records (controller, now_us);
	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		primary_manager_restore (value, now_us);
		primary_manager_tick (value, now_us);
	}
	controller_demote_former (controller, now_us);
	controller_flush_view (controller);
}

static void *
controller_main (void *data)
{
	struct controller *controller = data;
	int result;

	controller->started_us = clock_now_us ();
	controller_read_configuration (controller);
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
	struct store_settings store = { boot->store_address, boot->cloud_address, boot->ip, 0 };
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
	if (result == 0 && controller->metrics_port > 0)
		http_responder_add (&controller->metrics, "/tenants", controller_answer_tenants);
	return result;
}

struct controller *
controller_start (const struct boot_settings *boot, uint16_t metrics_port,
                  struct gateway_traffic *traffic, void (*handle_leave_complete) (void *data),
                  void *data)
{
	struct controller *controller = g_new0 (struct controller, 1);
	int result;

	controller->boot = *boot;
	controller->metrics_port = metrics_port;
	controller->traffic = traffic;
	controller->handle_leave_complete = handle_leave_complete;
	controller->handle_leave_complete_data = data;
	controller->vm_count = 1;
	controller->servers =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, known_server_free);
	controller->managers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
	                                              (GDestroyNotify) primary_manager_free);
	controller->members =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) member_free);
	controller->zones =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) zone_report_free);
	snprintf (controller->start, sizeof controller->start, "%lld", (long long) clock_wall_ns ());
	timer_prepare (&controller->tick, controller, handle_tick);
	timer_prepare (&controller->poll_timer, controller, controller_handle_poll_timer);
	timer_prepare (&controller->configuration_timer, controller,
	               controller_handle_configuration_timer);
	timer_prepare (&controller->directory_timer, controller, controller_handle_directory_timer);
	timer_prepare (&controller->watch_timer, controller, controller_handle_watch_timer);
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

int64_t
controller_turned_us (const struct controller *controller)
{
	return (int64_t) ck_pr_load_64 ((const uint64_t *) &controller->turned_us);
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
	g_hash_table_destroy (controller->managers);
	g_hash_table_destroy (controller->members);
	g_hash_table_destroy (controller->zones);
	g_hash_table_destroy (controller->servers);
	configuration_release (controller->configuration);
	if (controller->tenants)
		g_array_unref (controller->tenants);
	g_free (controller);
}
