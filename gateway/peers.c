#include "gateway/peers.h"

#include "common/counters.h"
#include "common/log.h"
#include "common/rpc.h"
#include "platform/documents.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	PEERS_READ_BURST = 64,
};

/** Whether the names of a record are words, as the store's record needs them. A claimant may be missing. */
static bool
record_is_valid (const struct fs_lead_args *record)
{
	return documents_is_word (record->vm) && documents_is_word (record->service) &&
	       documents_is_word (record->primary) &&
	       (!*record->claimant || documents_is_word (record->claimant));
}

/** Passes on a datagram of the given procedure. @return 0, or -EBADMSG when a name in it is not a word. */
static int
peers_dispatch (struct peers *peers, uint32_t procedure, const void *args, struct peer_address from)
{
	const struct fs_quiesced_args *quiesced = args;
	const struct fs_reachability_args *opinion = args;
	const struct fs_hello_args *hello = args;
	const struct fs_zone_args *zone = args;

	switch (procedure)
	{
	case FS_HELLO:
		if (!documents_is_word (hello->vm))
			return -EBADMSG;
		peers->ops->handle_hello (peers->data, hello, from);
		return 0;
	case FS_REACHABILITY:
		if (!documents_is_word (opinion->vm) || !documents_is_word (opinion->server))
			return -EBADMSG;
		peers->ops->handle_opinion (peers->data, opinion, from);
		return 0;
	case FS_LEAD:
		if (!record_is_valid (args))
			return -EBADMSG;
		peers->ops->handle_primary_record (peers->data, args, from);
		return 0;
	case FS_QUIESCED:
		if (!documents_is_word (quiesced->vm) || !documents_is_word (quiesced->service))
			return -EBADMSG;
		peers->ops->handle_quiesced (peers->data, quiesced, from);
		return 0;
	default:
		if (!documents_is_word (zone->vm) || documents_has_control_character (zone->zone))
			return -EBADMSG;
		peers->ops->handle_zone (peers->data, zone);
		return 0;
	}
}

/** Decodes one datagram and passes it to its callback. @return 0 or -EBADMSG. */
static int
peers_receive (struct peers *peers, const char *buffer, size_t length, struct peer_address from)
{
	static const struct
	{
		uint32_t procedure;
		xdrproc_t decode;
	} calls[] = {
		{ FS_HELLO, (xdrproc_t) xdr_fs_hello_args },
		{ FS_REACHABILITY, (xdrproc_t) xdr_fs_reachability_args },
		{ FS_LEAD, (xdrproc_t) xdr_fs_lead_args },
		{ FS_QUIESCED, (xdrproc_t) xdr_fs_quiesced_args },
		{ FS_ZONE, (xdrproc_t) xdr_fs_zone_args },
	};

	for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
	{
		union
		{
			struct fs_lead_args record;
			struct fs_quiesced_args quiesced;
			struct fs_reachability_args opinion;
			struct fs_hello_args hello;
			struct fs_zone_args zone;
		} args = { 0 };
		int result;

		if (rpc_datagram_decode (buffer, length, FS_GATEWAY_PROGRAM, FS_GATEWAY_VERSION,
		                         calls[i].procedure, calls[i].decode, &args) < 0)
			continue;
		result = peers_dispatch (peers, calls[i].procedure, &args, from);
		xdr_free (calls[i].decode, &args);
		return result;
	}
	return -EBADMSG;
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct peers *peers = source->data;
	char buffer[RPC_MAX_DATAGRAM_BYTES] = { 0 };

	for (int i = 0; i < PEERS_READ_BURST; i++)
	{
		struct sockaddr_in address = { 0 };
		socklen_t address_length = sizeof address;
		ssize_t length = recvfrom (source->fd, buffer, sizeof buffer, 0,
		                           (struct sockaddr *) &address, &address_length);
		struct peer_address from;

		if (length < 0)
			return;
		counter_add (COUNTER_CONTROL_RECEIVED_BYTES, length);
		from = (struct peer_address){ ntohl (address.sin_addr.s_addr), ntohs (address.sin_port) };
		if (peers_receive (peers, buffer, (size_t) length, from) < 0)
			counter_add (COUNTER_RPC_MALFORMED, 1);
	}
}

int
peers_init (struct peers *peers, struct loop *loop, struct peer_address own,
            const struct peers_ops *ops, void *data)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (own.port) };
	int result;

	memset (peers, 0, sizeof *peers);
	peers->loop = loop;
	peers->ops = ops;
	peers->data = data;
	peers->source.handle_ready = handle_ready;
	peers->source.data = peers;
	peers->source.fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (peers->source.fd < 0)
		return -errno;
	address.sin_addr.s_addr = htonl (own.ip);
	if (bind (peers->source.fd, (struct sockaddr *) &address, sizeof address) < 0)
	{
		result = -errno;
		goto fail;
	}
	result = loop_set_source (loop, &peers->source, EPOLLIN);
	if (result == 0)
		return 0;
fail:
	close (peers->source.fd);
	peers->source.fd = -1;
	return result;
}

void
peers_finish (struct peers *peers)
{
	if (!peers->loop || peers->source.fd < 0)
		return;
	loop_remove_source (peers->loop, &peers->source);
	close (peers->source.fd);
	peers->source.fd = -1;
}

static void
peers_send (struct peers *peers, struct peer_address to, uint32_t procedure, xdrproc_t encode,
            const void *args)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (to.port) };
	char buffer[RPC_MAX_DATAGRAM_BYTES];
	int length = rpc_datagram_encode (buffer, sizeof buffer, 0, FS_GATEWAY_PROGRAM,
	                                  FS_GATEWAY_VERSION, procedure, encode, args);

	if (length < 0)
	{
		log_event (LOG_LEVEL_ERROR, "datagram_too_long", "procedure=%u error=%d", procedure,
		           length);
		return;
	}
	address.sin_addr.s_addr = htonl (to.ip);
	counter_add (COUNTER_CONTROL_SENT_BYTES, length);
	if (sendto (peers->source.fd, buffer, (size_t) length, 0, (struct sockaddr *) &address,
	            sizeof address) < 0)
		log_event (LOG_LEVEL_DEBUG, "datagram_not_sent", "procedure=%u error=%d", procedure, errno);
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
