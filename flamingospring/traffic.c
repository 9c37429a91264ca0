#include "flamingospring/traffic.h"

#include "common/clock.h"
#include "common/log.h"
#include "common/mailbox.h"
#include "flamingospring/dispatch.h"
#include "flamingospring/entry.h"
#include "flamingospring/http.h"
#include "flamingospring/owner.h"
#include "flamingospring/owner_observe.h"
#include "flamingospring/peer.h"
#include "flamingospring/service_listener.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
	TRAFFIC_MAX_WAIT_US = 200 * US_PER_MS, /* Longest time between updates of in_flight. */
	TRAFFIC_DRAIN_ROUNDS = 4, /* A result crosses threads once, a cancellation twice. */
};

struct traffic_thread
{
	struct snapshot_reader reader;
	struct traffic *traffic;
	uint32_t index;
	pthread_t pthread;
	bool is_running;
	struct loop loop;
	struct mailbox mailbox;
	struct mailbox_message snapshot_message;
	uint32_t has_snapshot_message; /**< snapshot_message was sent and not handled yet. */
	uint32_t in_flight;            /**< Written by this thread, read by all threads. */
	struct owner_set owners;
	struct dispatcher dispatcher;
	struct peer_set peers;
	struct peer_listener listener;
	struct entry_set entries;
	struct http_server http;
	struct service_listener services;
	bool has_loop;
	bool has_mailbox;
	bool has_owners;
	bool has_listener;
	bool has_entries;
	bool has_peers;
	bool has_services;
};

struct traffic
{
	struct snapshot_source *source;
	struct owner_settings owner_settings;
	const struct traffic_control_ops *control_ops;
	void *control;
	uint32_t vm_id;
	uint32_t thread_count;
	struct dispatch_thread *dispatch_threads;
	struct traffic_thread *threads;
};

static void
transport_execute (void *transport, struct execution *execution)
{
	struct traffic_thread *thread = transport;
	const struct snapshot_member *member;
	struct member_address address = { 0 };

	if (execution->vm == thread->traffic->vm_id)
	{
		dispatcher_execute (&thread->dispatcher, execution);
		return;
	}
	member = snapshot_find_member (snapshot_acquire (&thread->reader), execution->vm);
	if (member)
		address = member->address;
	snapshot_release (&thread->reader);
	if (address.traffic_port)
		peer_set_execute (&thread->peers, execution, address.ip, address.traffic_port);
	else
		execution->handle_done (execution, EXECUTION_NOT_SENT, NULL);
}

static void
transport_cancel (void *transport, struct execution *execution)
{
	struct traffic_thread *thread = transport;

	if (execution->vm == thread->traffic->vm_id)
		dispatcher_cancel (&thread->dispatcher, execution);
	else
		peer_set_cancel (&thread->peers, execution);
}

static bool
transport_vm_is_down (void *transport, uint32_t vm, int64_t now_us)
{
	struct traffic_thread *thread = transport;

	return peer_set_is_down (&thread->peers, vm, now_us);
}

/** Transport of requests of this VM's callers. */
static const struct execution_ops entry_transport = {
	.execute = transport_execute,
	.cancel = transport_cancel,
	.vm_is_down = transport_vm_is_down,
};

static void
incoming_execute (void *transport, struct execution *execution)
{
	dispatcher_execute (&((struct traffic_thread *) transport)->dispatcher, execution);
}

static void
incoming_cancel (void *transport, struct execution *execution)
{
	dispatcher_cancel (&((struct traffic_thread *) transport)->dispatcher, execution);
}

/** Transport of requests forwarded by other VMs, which are never forwarded again. */
static const struct execution_ops incoming_transport = {
	.execute = incoming_execute,
	.cancel = incoming_cancel,
};

static void
thread_handle_snapshot (struct traffic_thread *thread)
{
	const struct snapshot *snapshot = snapshot_acquire (&thread->reader);
	bool is_leaving = snapshot && snapshot->is_leaving;
	bool refuses_connections = snapshot && snapshot->refuses_connections;

	snapshot_release (&thread->reader);
	if (!snapshot)
		return;
	owner_set_handle_snapshot (&thread->owners);
	entry_set_handle_snapshot (&thread->entries);
	http_server_set_leaving (&thread->http, is_leaving, refuses_connections);
	if (refuses_connections)
		service_listener_refuse_connections (&thread->services);
}

static void
handle_snapshot_message (struct mailbox_message *message, void *receiver)
{
	struct traffic_thread *thread = receiver;

	(void) message;
	/* Cleared before the snapshot is read, so that one published later sends the message again. */
	ck_pr_store_32 (&thread->has_snapshot_message, 0);
	ck_pr_fence_memory ();
	thread_handle_snapshot (thread);
}

static void
handle_observation (void *data, const char *database, uint32_t server, bool answered,
                    const struct server_status *status)
{
	struct traffic *traffic = data;

	if (traffic->control_ops)
		traffic->control_ops->handle_observation (traffic->control, database, server, answered,
		                                          status);
}

static void
handle_observer_answer (void *data, const struct observer_answer *answer)
{
	struct traffic *traffic = data;

	if (traffic->control_ops)
		traffic->control_ops->handle_observer_answer (traffic->control, answer);
}

static int
thread_init (struct traffic_thread *thread, const struct settings *settings)
{
	struct traffic *traffic = thread->traffic;
	struct http_settings http = {
		.ip = settings->ip,
		.port = settings->caller_port,
		.max_connections = settings->max_connections,
		.max_body_bytes = settings->max_body_bytes,
	};
	uint64_t seed = clock_wall_ns () ^ (uint64_t) settings->vm_id << 32 ^ thread->index;
	int result = loop_init (&thread->loop);

	if (result < 0)
		return result;
	thread->has_loop = true;
	result = mailbox_init (&thread->mailbox, &thread->loop, thread);
	if (result < 0)
		return result;
	thread->has_mailbox = true;
	result =
		owner_set_init (&thread->owners, &thread->loop, &thread->reader, &traffic->owner_settings);
	if (result < 0)
		return result;
	thread->has_owners = true;
	result = dispatcher_init (&thread->dispatcher, traffic->dispatch_threads, traffic->thread_count,
	                          thread->index);
	if (result < 0)
		return result;
	result = peer_set_init (&thread->peers, &thread->loop, seed);
	if (result < 0)
		return result;
	thread->has_peers = true;
	thread->peers.source_ip = settings->source_ip;
	result = entry_set_init (&thread->entries, &thread->loop, &thread->reader, &entry_transport,
	                         thread, seed + 1);
	if (result < 0)
		return result;
	thread->has_entries = true;
	result = peer_listener_init (&thread->listener, &thread->loop, &incoming_transport, thread,
	                             settings->ip, settings->traffic_port);
	if (result < 0)
		return result;
	thread->has_listener = true;
	result = service_listener_init (&thread->services, &thread->loop, &thread->entries,
	                                settings->ip, settings->service_port);
	if (result < 0)
		return result;
	thread->has_services = true;
	return http_server_init (&thread->http, &thread->loop, &thread->entries, &http);
}

static void
thread_prepare (struct traffic_thread *thread, struct traffic *traffic, uint32_t index)
{
	thread->traffic = traffic;
	thread->index = index;
	thread->snapshot_message.handle_message = handle_snapshot_message;
	traffic->dispatch_threads[index].mailbox = &thread->mailbox;
	traffic->dispatch_threads[index].owners = &thread->owners;
	snapshot_reader_init (&thread->reader, traffic->source);
}

struct traffic *
traffic_new (const struct settings *settings, struct snapshot_source *source)
{
	struct traffic *traffic = calloc (1, sizeof *traffic);
	uint32_t count = settings->traffic_threads;
	int result = -ENOMEM;

	if (!traffic)
		return NULL;
	traffic->source = source;
	traffic->vm_id = settings->vm_id;
	traffic->owner_settings = (struct owner_settings){
		.vm_id = settings->vm_id,
		.acknowledge_timeout_us = (int64_t) settings->acknowledge_timeout_ms * US_PER_MS,
		.acknowledge_at_primary =
			settings->acknowledge && strcmp (settings->acknowledge, "primary") == 0,
		.transaction_idle_us = (int64_t) settings->transaction_idle_ms * US_PER_MS,
		.transaction_limit_us = (int64_t) settings->transaction_limit_ms * US_PER_MS,
		.handle_observation = handle_observation,
		.handle_observer_answer = handle_observer_answer,
		.observation_data = traffic,
	};
	traffic->dispatch_threads = calloc (count, sizeof *traffic->dispatch_threads);
	traffic->threads = calloc (count, sizeof *traffic->threads);
	if (!traffic->dispatch_threads || !traffic->threads)
		goto fail;
	traffic->thread_count = count;
	for (uint32_t i = 0; i < count; i++)
		thread_prepare (&traffic->threads[i], traffic, i);
	for (uint32_t i = 0; i < count; i++)
	{
		result = thread_init (&traffic->threads[i], settings);
		if (result < 0)
			goto fail;
	}
	return traffic;

fail:
	log_event (LOG_LEVEL_ERROR, "traffic_failed", "error=%d caller_port=%u traffic_port=%u", result,
	           settings->caller_port, settings->traffic_port);
	traffic_free (traffic);
	return NULL;
}

static uint32_t
thread_in_flight (const struct traffic_thread *thread)
{
	uint32_t count = http_server_in_flight (&thread->http) + thread->services.in_flight +
	                 owner_set_in_flight (&thread->owners) +
	                 peer_listener_in_flight (&thread->listener);

	/* Counts unsent answers only in a planned stop, since that visits all connections. */
	if (thread->http.closes_connections)
		count += peer_listener_unsent (&thread->listener);
	return count;
}

static void *
thread_run (void *data)
{
	struct traffic_thread *thread = data;

	thread_handle_snapshot (thread);
	while (!ck_pr_load_8 ((uint8_t *) &thread->loop.is_stopped))
	{
		int result = loop_step (&thread->loop, TRAFFIC_MAX_WAIT_US);

		if (result < 0)
		{
			log_event (LOG_LEVEL_ERROR, "loop_failed", "error=%d", result);
			break;
		}
		ck_pr_store_32 (&thread->in_flight, thread_in_flight (thread));
	}
	return NULL;
}

int
traffic_start (struct traffic *traffic, const struct traffic_control_ops *ops, void *control)
{
	traffic->control_ops = ops;
	traffic->control = control;
	for (uint32_t i = 0; i < traffic->thread_count; i++)
	{
		struct traffic_thread *thread = &traffic->threads[i];
		int error = pthread_create (&thread->pthread, NULL, thread_run, thread);
		char name[16];

		if (error)
			return -error;
		thread->is_running = true;
		/* Thread names are limited to 15 bytes, which is enough for the index. */
		g_snprintf (name, sizeof name, "traffic-%u", i);
		pthread_setname_np (thread->pthread, name);
	}
	return 0;
}

void
traffic_handle_snapshot (struct traffic *traffic)
{
	for (uint32_t i = 0; i < traffic->thread_count; i++)
	{
		struct traffic_thread *thread = &traffic->threads[i];

		if (ck_pr_fas_32 (&thread->has_snapshot_message, 1) == 0)
			mailbox_send (&thread->mailbox, &thread->snapshot_message);
	}
}

/** Message that carries an observer's request to its thread. */
struct observer_message
{
	struct mailbox_message message;
	struct observer_request request;
};

static void
handle_observer_message (struct mailbox_message *message, void *receiver)
{
	struct observer_message *request = (struct observer_message *) message;
	struct traffic_thread *thread = receiver;

	owner_set_handle_observer_request (&thread->owners, &request->request);
	free (request);
}

void
traffic_send_observer_request (struct traffic *traffic, const struct observer_request *request)
{
	struct observer_message *message = calloc (1, sizeof *message);
	uint32_t index = dispatch_thread_index (request->database, traffic->thread_count);

	if (!message)
		return;
	message->message.handle_message = handle_observer_message;
	message->request = *request;
	mailbox_send (&traffic->threads[index].mailbox, &message->message);
}

uint32_t
traffic_in_flight (const struct traffic *traffic)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < traffic->thread_count; i++)
		count += ck_pr_load_32 (&traffic->threads[i].in_flight);
	return count;
}

void
traffic_stop (struct traffic *traffic)
{
	for (uint32_t i = 0; i < traffic->thread_count; i++)
	{
		if (traffic->threads[i].is_running)
			loop_stop (&traffic->threads[i].loop);
	}
	for (uint32_t i = 0; i < traffic->thread_count; i++)
	{
		struct traffic_thread *thread = &traffic->threads[i];

		if (thread->is_running)
			pthread_join (thread->pthread, NULL);
		thread->is_running = false;
	}
	/* The control thread may end before traffic_free(). */
	traffic->control_ops = NULL;
}

/** Handles the messages that threads sent to each other before they ended. */
static void
drain_mailboxes (struct traffic *traffic)
{
	for (unsigned round = 0; round < TRAFFIC_DRAIN_ROUNDS; round++)
	{
		for (uint32_t i = 0; i < traffic->thread_count; i++)
		{
			struct mailbox *mailbox = &traffic->threads[i].mailbox;

			if (traffic->threads[i].has_mailbox)
				mailbox->source.handle_ready (&mailbox->source, 0);
		}
	}
}

static void
thread_finish (struct traffic_thread *thread)
{
	if (thread->http.daemon)
		http_server_finish (&thread->http);
	if (thread->has_services)
		service_listener_finish (&thread->services);
	if (thread->has_listener)
		peer_listener_finish (&thread->listener);
	if (thread->has_peers)
		peer_set_finish (&thread->peers);
	if (thread->has_entries)
		entry_set_finish (&thread->entries);
	if (thread->has_owners)
		owner_set_finish (&thread->owners);
}

void
traffic_free (struct traffic *traffic)
{
	uint32_t count = traffic->thread_count;

	for (uint32_t i = 0; i < count; i++)
	{
		if (traffic->threads[i].has_entries)
			entry_set_stop (&traffic->threads[i].entries);
	}
	drain_mailboxes (traffic);
	for (uint32_t i = 0; i < count; i++)
		thread_finish (&traffic->threads[i]);
	drain_mailboxes (traffic);
	for (uint32_t i = 0; i < count; i++)
	{
		struct traffic_thread *thread = &traffic->threads[i];

		if (thread->has_owners)
			dispatcher_finish (&thread->dispatcher);
		if (thread->has_mailbox)
			mailbox_finish (&thread->mailbox);
		if (thread->has_loop)
			loop_finish (&thread->loop);
		snapshot_reader_finish (&thread->reader);
	}
	free (traffic->dispatch_threads);
	free (traffic->threads);
	free (traffic);
}
