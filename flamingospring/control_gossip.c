#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "flamingospring/control_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	SEED_RETRY_US = 500000,     /* Interval of state pulls while no other member is known. */
	SEED_REFRESH_US = 30000000, /* Interval of state pulls otherwise; recovers lost gossip. */
	/* A state pull takes 174 KB with 750 members and 1,800 groups, or 5.8 KB/s at this interval.
	 * Larger fleets pull from a seed only while it is not a live member. */
	SEED_REFRESH_MAX_MEMBERS = 50,
	UDP_OVERHEAD_BYTES = 28, /* IPv4 and UDP headers, included in the byte counters. */
};

void
control_item_encode (const struct membership_item *item, struct fs_item *out)
{
	memset (out, 0, sizeof *out);
	out->type = item->type;
	if (item->type == ITEM_MEMBER)
	{
		struct fs_item_member *member = &out->fs_item_u.member;

		member->member = item->member;
		member->item_version = item->version;
		member->address.ip = item->address.ip;
		member->address.traffic_port = item->address.traffic_port;
		member->address.control_port = item->address.control_port;
		member->address.zone = item->address.zone;
		member->config_revision = item->config_revision;
		return;
	}
	out->fs_item_u.value.key = (char *) item->key;
	out->fs_item_u.value.item_version = item->version;
	out->fs_item_u.value.value = item->value;
}

static bool
member_decode (const struct fs_item_member *in, struct membership_item *item)
{
	if (in->address.traffic_port > UINT16_MAX || in->address.control_port > UINT16_MAX)
		return false;
	g_snprintf (item->key, sizeof item->key, "%u", in->member);
	item->version = in->item_version;
	item->member = in->member;
	item->state = (enum member_state) (in->item_version & 3);
	item->address.ip = in->address.ip;
	item->address.traffic_port = (uint16_t) in->address.traffic_port;
	item->address.control_port = (uint16_t) in->address.control_port;
	item->address.zone = in->address.zone;
	item->config_revision = in->config_revision;
	return true;
}

bool
control_item_decode (const struct fs_item *in, struct membership_item *item)
{
	const struct fs_item_value *value = &in->fs_item_u.value;

	memset (item, 0, sizeof *item);
	if (in->type < ITEM_MEMBER || in->type > ITEM_GROUP)
		return false;
	item->type = (enum item_type) in->type;
	if (item->type == ITEM_MEMBER)
		return member_decode (&in->fs_item_u.member, item);
	if (strlen (value->key) >= sizeof item->key)
		return false;
	g_strlcpy (item->key, value->key, sizeof item->key);
	item->version = value->item_version;
	item->value = value->value;
	return true;
}

/** Encodes a message with as many of its items as fit into one datagram. */
static int
message_encode (const struct gossip_message *message, char *buffer, size_t capacity)
{
	struct fs_item items[MEMBERSHIP_MAX_ITEMS];
	struct fs_member_claim claims[MEMBERSHIP_MAX_CLAIMS];
	struct fs_member_block blocks[MEMBERSHIP_MAX_BLOCKS];
	struct fs_gossip gossip = {
		.type = message->type,
		.from = message->from,
		.target = message->target,
		.sequence = message->sequence,
		.config_revision = message->config_revision,
		.config_age_ms = message->config_age_ms,
		.view_hash = message->view_hash,
		.items.items_val = items,
		.claims.claims_len = message->claim_count,
		.claims.claims_val = claims,
		.blocks.blocks_len = message->block_count,
		.blocks.blocks_val = blocks,
	};

	for (uint32_t i = 0; i < message->item_count; i++)
		control_item_encode (&message->items[i], &items[i]);
	for (uint32_t i = 0; i < message->claim_count; i++)
		claims[i] =
			(struct fs_member_claim){ message->claims[i].member, message->claims[i].version };
	for (uint32_t i = 0; i < message->block_count; i++)
		blocks[i] = (struct fs_member_block){ message->blocks[i].first, message->blocks[i].alive };
	for (uint32_t count = message->item_count;; count--)
	{
		int length;

		gossip.items.items_len = count;
		length = rpc_datagram_encode (buffer, capacity, (uint32_t) message->sequence,
		                              FS_PEER_PROGRAM, FS_PEER_VERSION, FS_PEER_GOSSIP,
		                              (xdrproc_t) xdr_fs_gossip, &gossip);
		if (length >= 0 || count == 0)
			return length;
	}
}

static void
effect_send (struct control *control, const struct membership_effect *effect)
{
	char buffer[RPC_MAX_DATAGRAM_BYTES];
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (effect->address.control_port),
		.sin_addr.s_addr = htonl (effect->address.ip),
	};
	int length = message_encode (&effect->message, buffer, sizeof buffer);

	if (length < 0)
		return;
	/* A datagram that cannot be sent is treated as lost, since gossip repeats its messages. */
	if (sendto (control->gossip_source.fd, buffer, (size_t) length, MSG_DONTWAIT,
	            (struct sockaddr *) &address, sizeof address) < 0)
		return;
	counter_add (COUNTER_GOSSIP_SENT, 1);
	counter_add (COUNTER_GOSSIP_SENT_BYTES, length + UDP_OVERHEAD_BYTES);
}

void
control_gossip_pump (struct control *control)
{
	static struct membership_effect effect;
	int64_t now_us = clock_now_us ();

	while (membership_next (control->membership, &effect, now_us))
		effect_send (control, &effect);
	loop_set_timer (&control->loop, &control->gossip_timer,
	                membership_next_time_us (control->membership));
	if (membership_generation (control->membership) != control->published_membership_generation)
		control_schedule_publish (control);
}

static void
handle_gossip_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	control_gossip_pump (timer->data);
}

static bool
message_decode (const struct fs_gossip *gossip, struct gossip_message *message)
{
	memset (message, 0, sizeof *message);
	if (gossip->type < GOSSIP_PING || gossip->type > GOSSIP_VIEW)
		return false;
	message->type = (enum gossip_type) gossip->type;
	message->from = gossip->from;
	message->target = gossip->target;
	message->sequence = gossip->sequence;
	message->config_revision = gossip->config_revision;
	message->config_age_ms = gossip->config_age_ms;
	message->view_hash = gossip->view_hash;
	for (u_int i = 0; i < gossip->items.items_len; i++)
	{
		if (control_item_decode (&gossip->items.items_val[i], &message->items[message->item_count]))
			message->item_count++;
	}
	for (u_int i = 0; i < gossip->claims.claims_len; i++)
		message->claims[message->claim_count++] =
			(struct member_claim){ gossip->claims.claims_val[i].member,
			                       gossip->claims.claims_val[i].member_version };
	for (u_int i = 0; i < gossip->blocks.blocks_len; i++)
		message->blocks[message->block_count++] =
			(struct member_block){ gossip->blocks.blocks_val[i].first,
			                       gossip->blocks.blocks_val[i].alive };
	return true;
}

/** Passes newly received primaries on to the observers. */
static void
items_announce (struct control *control, const struct membership_item *items, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
	{
		if (items[i].type == ITEM_GROUP)
			control_observers_handle_announced (control, items[i].key, items[i].version,
			                                    (uint32_t) items[i].value);
	}
}

static void
datagram_handle (struct control *control, const char *buffer, size_t length)
{
	static struct gossip_message message;
	struct fs_gossip gossip = { 0 };

	counter_add (COUNTER_GOSSIP_RECEIVED, 1);
	counter_add (COUNTER_GOSSIP_RECEIVED_BYTES, (int64_t) length + UDP_OVERHEAD_BYTES);
	if (rpc_datagram_decode (buffer, length, FS_PEER_PROGRAM, FS_PEER_VERSION, FS_PEER_GOSSIP,
	                         (xdrproc_t) xdr_fs_gossip, &gossip) < 0)
	{
		counter_add (COUNTER_RPC_MALFORMED, 1);
		return;
	}
	if (message_decode (&gossip, &message))
	{
		membership_handle_message (control->membership, &message, clock_now_us ());
		items_announce (control, message.items, message.item_count);
		if (message.config_revision > control->gossip_revision)
		{
			control->gossip_revision = message.config_revision;
			control_observers_postpone_polls (control);
		}
		configuration_set_fleet (control->configuration, membership_count (control->membership),
		                         membership_config_read_us (control->membership));
		configuration_handle_peer (control->configuration, message.from, message.config_revision,
		                           clock_now_us ());
	}
	xdr_free ((xdrproc_t) xdr_fs_gossip, &gossip);
}

static void
handle_gossip_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct control *control = source->data;
	char buffer[RPC_MAX_DATAGRAM_BYTES];
	ssize_t length;

	(void) epoll_events;
	while ((length = recv (source->fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
		datagram_handle (control, buffer, (size_t) length);
	control_gossip_pump (control);
	control_documents_pump (control);
}

bool
control_merge_item (struct control *control, const struct membership_item *item)
{
	bool is_new = membership_merge (control->membership, item, clock_now_us ());

	if (!is_new)
		return false;
	control_schedule_publish (control);
	if (item->type == ITEM_GROUP)
		control_observers_handle_announced (control, item->key, item->version,
		                                    (uint32_t) item->value);
	return true;
}

/** Merges an item of a state pull without spreading it, since the other members know it already. */
static void
load_item (struct control *control, const struct membership_item *item)
{
	if (!membership_load (control->membership, item, clock_now_us ()))
		return;
	control_schedule_publish (control);
	items_announce (control, item, 1);
}

static void
handle_state (struct control *control, void *data, int status, void *result)
{
	const struct fs_state_result *state = result;
	struct membership_item item;

	(void) data;
	if (status < 0)
		return;
	for (u_int i = 0; i < state->items.items_len; i++)
	{
		if (control_item_decode (&state->items.items_val[i], &item))
			load_item (control, &item);
	}
	control_gossip_pump (control);
}

static void
state_pull (struct control *control, uint32_t ip, uint16_t port)
{
	struct control_call_request request = {
		.ip = ip,
		.port = port,
		.program = FS_PEER_PROGRAM,
		.procedure = FS_PEER_STATE_PULL,
		.encode = (xdrproc_t) xdr_void,
		.decode = (xdrproc_t) xdr_fs_state_result,
		.result_size = sizeof (struct fs_state_result),
		.handle = handle_state,
	};

	control_call_start (control, &request);
}

static bool
seed_is_member (const struct control *control, const struct settings_address *seed)
{
	struct member member;

	for (size_t i = 0; membership_get (control->membership, i, &member); i++)
	{
		if (member.address.ip == seed->ip && member.address.control_port == seed->port &&
		    member.state != MEMBER_DEAD)
			return true;
	}
	return false;
}

/** Pulls the state from the seeds in turn, also after joining, so that partitions of a fleet whose
 * members have declared each other dead merge again. */
static void
handle_seed_timer (struct loop_timer *timer, int64_t now_us)
{
	struct control *control = timer->data;
	const struct settings *settings = control->settings;
	bool is_alone = membership_count (control->membership) <= 1;

	if (settings->seed_count > 0)
	{
		const struct settings_address *seed =
			&settings->seeds[control->next_seed++ % settings->seed_count];

		bool is_skipped = membership_count (control->membership) > SEED_REFRESH_MAX_MEMBERS &&
		                  seed_is_member (control, seed);

		if (((seed->ip != settings->ip && seed->ip != settings->advertise_ip) ||
		     seed->port != settings->control_port) &&
		    !is_skipped)
			state_pull (control, seed->ip, seed->port);
	}
	loop_set_timer (&control->loop, timer, now_us + (is_alone ? SEED_RETRY_US : SEED_REFRESH_US));
}

static int
gossip_listen (uint32_t ip, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
	int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int result;

	if (fd < 0)
		return -errno;
	address.sin_addr.s_addr = htonl (ip);
	if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0)
		return fd;
	result = -errno;
	close (fd);
	return result;
}

int
control_gossip_init (struct control *control)
{
	const struct settings *settings = control->settings;
	struct member_address address = {
		.ip = settings->advertise_ip ? settings->advertise_ip : settings->ip,
		.traffic_port = settings->traffic_port,
		.control_port = settings->control_port,
		.zone = control_zone_hash (settings->zone),
	};
	int fd;

	control->membership_memory =
		calloc (1, membership_size (CONTROL_MAX_MEMBERS, CONTROL_MAX_ITEMS));
	if (!control->membership_memory)
		return -ENOMEM;
	/* The incarnation is the wall-clock time in ms, so that it grows with each restart. */
	control->membership =
		membership_init (control->membership_memory, &membership_default_settings,
	                     CONTROL_MAX_MEMBERS, CONTROL_MAX_ITEMS, settings->vm_id, &address,
	                     clock_wall_ns () / 1000000u, control->random_seed, clock_now_us ());
	fd = gossip_listen (settings->ip, settings->control_port);
	if (fd < 0)
		return fd;
	control->gossip_source.fd = fd;
	control->gossip_source.data = control;
	control->gossip_source.handle_ready = handle_gossip_ready;
	control->gossip_timer.handle_timer = handle_gossip_timer;
	control->gossip_timer.data = control;
	control->seed_timer.handle_timer = handle_seed_timer;
	control->seed_timer.data = control;
	control->next_seed = settings->vm_id;
	loop_set_timer (&control->loop, &control->seed_timer, clock_now_us ());
	return loop_set_source (&control->loop, &control->gossip_source, EPOLLIN);
}

void
control_gossip_finish (struct control *control)
{
	if (control->membership)
		membership_finish (control->membership);
	free (control->membership_memory);
	if (control->gossip_source.fd >= 0)
		close (control->gossip_source.fd);
}
