/* The functions of common/ and gateway/ that are replaced for a fleet in virtual time. */
#include "gateway_fleet.h"

#include "common/http_responder.h"
#include "common/log.h"
#include "common/rpc.h"
#include "platform/store.h"

#include <string.h>

enum
{
	HOST_MAIL_US = 30, /* Delay between the threads of a VM. */
};

static int host_vm = -1; /* VM whose code runs, for the log. */

int64_t
clock_now_us (void)
{
	return gateway_fleet->world.now_us;
}

uint64_t
clock_wall_ns (void)
{
	return (uint64_t) gateway_fleet->world.now_us * 1000;
}

/* Log. */

bool
log_event_allowed (enum log_level level, const char *event)
{
	(void) level;
	(void) event;
	return fleet_is_logging ();
}

void
log_event_write (enum log_level level, const char *event, const char *format, ...)
{
	va_list arguments;
	char *text;

	(void) level;
	va_start (arguments, format);
	text = g_strdup_vprintf (format, arguments);
	va_end (arguments);
	g_printerr ("%9.4f %s %s %s\n",
	            (double) (gateway_fleet->world.now_us - gateway_fleet->settled_us) / US_PER_S,
	            host_vm >= 0 ? gateway_fleet->vms[host_vm].name : "-", event, text);
	g_free (text);
}

/* Threads and the event loop. The VM's index is kept in the loop's first descriptor. */

int fleet_thread_create (pthread_t *thread, const pthread_attr_t *attributes,
                         void *(*run) (void *data), void *data);
int fleet_thread_join (pthread_t thread, void **result);

int
fleet_thread_create (pthread_t *thread, const pthread_attr_t *attributes, void *(*run) (void *data),
                     void *data)
{
	(void) thread;
	(void) attributes;
	run (data);
	return 0;
}

int
fleet_thread_join (pthread_t thread, void **result)
{
	(void) thread;
	(void) result;
	return 0;
}

int
loop_init (struct loop *loop)
{
	struct controller *controller =
		(struct controller *) ((char *) loop - offsetof (struct controller, loop));

	memset (loop, 0, sizeof *loop);
	loop->epoll_fd = (int) (controller->boot.ip & 0xffff);
	gateway_fleet->vms[loop->epoll_fd].controller = controller;
	return 0;
}

void
loop_finish (struct loop *loop)
{
	(void) loop;
}

int
loop_run (struct loop *loop)
{
	(void) loop;
	return 0;
}

void
loop_stop (struct loop *loop)
{
	(void) loop;
}

int
loop_step (struct loop *loop, int64_t timeout_us)
{
	(void) loop;
	(void) timeout_us;
	return 0;
}

int
loop_set_source (struct loop *loop, struct loop_source *source, uint32_t epoll_events)
{
	(void) loop;
	(void) source;
	(void) epoll_events;
	return 0;
}

void
loop_remove_source (struct loop *loop, struct loop_source *source)
{
	(void) loop;
	(void) source;
}

struct host_timer
{
	int vm;
	struct loop_timer *timer;
	int64_t due_us;
};

static void
handle_timer (void *context, const void *payload)
{
	const struct host_timer *due = payload;
	struct gateway_fleet *fleet = context;

	/* Later calls of loop_set_timer() leave the events of earlier ones in the queue. */
	if (due->timer->slot == 0 || due->timer->due_us != due->due_us)
		return;
	due->timer->slot = 0;
	host_vm = due->vm;
	due->timer->handle_timer (due->timer, fleet->world.now_us);
	host_vm = -1;
}

int
loop_set_timer (struct loop *loop, struct loop_timer *timer, int64_t due_us)
{
	struct host_timer payload = { loop->epoll_fd, timer, due_us };

	timer->slot = 1;
	timer->due_us = due_us;
	virtual_schedule (&gateway_fleet->world, loop->epoll_fd, due_us,
	                  (struct virtual_handler){ handle_timer, gateway_fleet }, &payload,
	                  sizeof payload);
	return 0;
}

void
loop_cancel_timer (struct loop *loop, struct loop_timer *timer)
{
	(void) loop;
	timer->slot = 0;
}

/* Messages from the traffic thread. */

int
mailbox_init (struct mailbox *mailbox, struct loop *loop, void *receiver)
{
	mailbox->loop = loop;
	mailbox->receiver = receiver;
	return 0;
}

static void
deliver_mail (struct gateway_fleet *fleet, struct mailbox *mailbox)
{
	GQueue *mail = &fleet->vms[mailbox->loop->epoll_fd].mail;
	struct mailbox_message *message;

	while ((message = g_queue_pop_head (mail)))
		message->handle_message (message, mailbox->receiver);
}

static void
handle_mail (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;

	host_vm = *(const int *) payload;
	deliver_mail (fleet, &fleet->vms[host_vm].controller->mailbox);
	host_vm = -1;
}

void
mailbox_send (struct mailbox *mailbox, struct mailbox_message *message)
{
	struct gateway_fleet *fleet = gateway_fleet;
	int vm = mailbox->loop->epoll_fd;

	g_queue_push_tail (&fleet->vms[vm].mail, message);
	if (g_queue_get_length (&fleet->vms[vm].mail) == 1)
		virtual_schedule (&fleet->world, vm, fleet->world.now_us + HOST_MAIL_US,
		                  (struct virtual_handler){ handle_mail, fleet }, &vm, sizeof vm);
}

void
mailbox_finish (struct mailbox *mailbox)
{
	deliver_mail (gateway_fleet, mailbox);
}

/* HTTP servers, which the model does not call. */

int
http_responder_init (struct http_responder *responder, struct loop *loop, uint32_t ip,
                     uint16_t port, const char *path,
                     unsigned (*answer) (void *data, GString *body), void *data)
{
	(void) responder;
	(void) loop;
	(void) ip;
	(void) port;
	(void) path;
	(void) answer;
	(void) data;
	return 0;
}

void
http_responder_finish (struct http_responder *responder)
{
	(void) responder;
}

void
http_responder_add (struct http_responder *responder, const char *path,
                    unsigned (*answer) (void *data, GString *body))
{
	(void) responder;
	(void) path;
	(void) answer;
}

unsigned
controller_answer_tenants (void *data, GString *body)
{
	(void) data;
	(void) body;
	return 200;
}

unsigned
controller_answer_metrics (void *data, GString *body)
{
	(void) data;
	(void) body;
	return 200;
}

/* Datagrams. */

struct host_datagram
{
	int to;
	struct peer_address from;
	uint32_t procedure;
	int length;
	char bytes[RPC_MAX_DATAGRAM_BYTES];
};

static void
handle_datagram (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct host_datagram *datagram = payload;
	struct controller *controller = fleet->vms[datagram->to].controller;
	const struct peers_ops *ops = &controller_peers_ops;
	union
	{
		struct fs_lead_args record;
		struct fs_quiesced_args quiesced;
		struct fs_reachability_args opinion;
		struct fs_hello_args hello;
		struct fs_zone_args zone;
	} args = { 0 };
	static const xdrproc_t decoders[] = {
		[FS_LEAD] = (xdrproc_t) xdr_fs_lead_args,
		[FS_QUIESCED] = (xdrproc_t) xdr_fs_quiesced_args,
		[FS_REACHABILITY] = (xdrproc_t) xdr_fs_reachability_args,
		[FS_HELLO] = (xdrproc_t) xdr_fs_hello_args,
		[FS_ZONE] = (xdrproc_t) xdr_fs_zone_args,
	};

	g_assert_cmpint (rpc_datagram_decode (datagram->bytes, (size_t) datagram->length,
	                                      FS_GATEWAY_PROGRAM, FS_GATEWAY_VERSION,
	                                      datagram->procedure, decoders[datagram->procedure],
	                                      &args),
	                 ==, 0);
	host_vm = datagram->to;
	switch (datagram->procedure)
	{
	case FS_LEAD:
		ops->handle_primary_record (controller, &args.record, datagram->from);
		break;
	case FS_QUIESCED:
		ops->handle_quiesced (controller, &args.quiesced, datagram->from);
		break;
	case FS_REACHABILITY:
		ops->handle_opinion (controller, &args.opinion, datagram->from);
		break;
	case FS_HELLO:
		ops->handle_hello (controller, &args.hello, datagram->from);
		break;
	case FS_ZONE:
		ops->handle_zone (controller, &args.zone);
		break;
	default:
		g_assert_not_reached ();
	}
	host_vm = -1;
	xdr_free (decoders[datagram->procedure], &args);
}

int
peers_init (struct peers *peers, struct loop *loop, struct peer_address own,
            const struct peers_ops *ops, void *data)
{
	(void) own;
	*peers = (struct peers){ .loop = loop, .ops = ops, .data = data };
	return 0;
}

void
peers_finish (struct peers *peers)
{
	(void) peers;
}

static void
peers_send (struct peers *peers, struct peer_address to, uint32_t procedure, xdrproc_t encode,
            const void *args)
{
	struct gateway_fleet *fleet = gateway_fleet;
	const struct fleet_vm *vm = &fleet->vms[peers->loop->epoll_fd];
	struct host_datagram datagram = {
		.to = (int) (to.ip & 0xffff),
		.from = { vm->controller ? vm->controller->boot.ip : 0, to.port },
		.procedure = procedure,
	};

	if (vm->is_stopping || !vm->controller)
		return;
	datagram.length =
		rpc_datagram_encode (datagram.bytes, sizeof datagram.bytes, 0, FS_GATEWAY_PROGRAM,
	                         FS_GATEWAY_VERSION, procedure, encode, args);
	g_assert_cmpint (datagram.length, >, 0);
	virtual_send (&fleet->world, false, vm->index, datagram.to,
	              (struct virtual_handler){ handle_datagram, fleet }, &datagram,
	              offsetof (struct host_datagram, bytes) + (size_t) datagram.length);
}

void
peers_send_primary_record (struct peers *peers, struct peer_address to,
                           const struct fs_lead_args *args)
{
	peers_send (peers, to, FS_LEAD, (xdrproc_t) xdr_fs_lead_args, args);
}

void
peers_send_quiesced (struct peers *peers, struct peer_address to,
                     const struct fs_quiesced_args *args)
{
	peers_send (peers, to, FS_QUIESCED, (xdrproc_t) xdr_fs_quiesced_args, args);
}

void
peers_send_opinion (struct peers *peers, struct peer_address to,
                    const struct fs_reachability_args *args)
{
	peers_send (peers, to, FS_REACHABILITY, (xdrproc_t) xdr_fs_reachability_args, args);
}

void
peers_send_hello (struct peers *peers, struct peer_address to, const struct fs_hello_args *args)
{
	peers_send (peers, to, FS_HELLO, (xdrproc_t) xdr_fs_hello_args, args);
}

void
peers_send_zone (struct peers *peers, struct peer_address to, const struct fs_zone_args *args)
{
	peers_send (peers, to, FS_ZONE, (xdrproc_t) xdr_fs_zone_args, args);
}
