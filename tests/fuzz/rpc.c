/* Guards against records and datagrams of another VM, an operator or an unknown sender that make a
 * proxy read out of bounds or leak the memory of malformed arguments. */
#include "common/rpc.h"
#include "fuzz.h"
#include "protocols/operator.h"
#include "protocols/peer.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	MAX_STEPS = 64, /* Iterations of the event loop for one input. */
};

static const struct
{
	xdrproc_t decode;
	size_t bytes;
} arguments[] = {
	{ (xdrproc_t) xdr_fs_execute_args, sizeof (struct fs_execute_args) },
	{ (xdrproc_t) xdr_fs_execute_result, sizeof (struct fs_execute_result) },
	{ (xdrproc_t) xdr_fs_opinion_args, sizeof (struct fs_opinion_args) },
	{ (xdrproc_t) xdr_fs_announce_args, sizeof (struct fs_announce_args) },
	{ (xdrproc_t) xdr_fs_state_result, sizeof (struct fs_state_result) },
	{ (xdrproc_t) xdr_fs_config_result, sizeof (struct fs_config_result) },
	{ (xdrproc_t) xdr_fs_apply_args, sizeof (struct fs_apply_args) },
};

/* Decodes the arguments as the type that the procedure number selects. */
static bool
handle_call (struct rpc_connection *connection, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *args)
{
	const size_t type = procedure % (sizeof arguments / sizeof arguments[0]);
	union
	{
		struct fs_execute_args execute;
		struct fs_execute_result result;
		struct fs_config_result config;
		struct fs_apply_args apply;
		char bytes[1024];
	} value;
	bool is_valid;

	(void) program;
	memset (&value, 0, sizeof value);
	is_valid = arguments[type].bytes <= sizeof value && arguments[type].decode (args, &value);
	xdr_free (arguments[type].decode, (char *) &value);
	return is_valid && rpc_connection_reply (connection, xid, (xdrproc_t) xdr_void, NULL) == 0;
}

static void
handle_closed (struct rpc_connection *connection, int error)
{
	(void) error;
	*(bool *) connection->data = true;
}

static void
handle_reply (struct rpc_connection *connection, uint32_t xid, int status, XDR *result)
{
	(void) connection;
	(void) xid;
	(void) status;
	(void) result;
}

static const struct rpc_connection_ops ops = {
	.handle_call = handle_call,
	.handle_reply = handle_reply,
	.handle_closed = handle_closed,
};

static void
run_stream (const uint8_t *data, size_t size)
{
	struct rpc_connection connection;
	struct loop loop;
	bool is_closed = false;
	int sockets[2];

	if (size > 65536 || loop_init (&loop) < 0)
		return;
	if (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets) == 0)
	{
		rpc_connection_init (&connection, &loop, &ops, &is_closed, sockets[0]);
		if (send (sockets[1], data, size, MSG_NOSIGNAL) >= 0)
			shutdown (sockets[1], SHUT_WR);
		for (int i = 0; i < MAX_STEPS && !is_closed; i++)
			loop_step (&loop, 0);
		rpc_connection_finish (&connection);
		close (sockets[1]);
	}
	loop_finish (&loop);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct fs_gossip gossip;

	memset (&gossip, 0, sizeof gossip);
	if (rpc_datagram_decode ((const char *) data, size, FS_PEER_PROGRAM, FS_PEER_VERSION,
	                         FS_PEER_GOSSIP, (xdrproc_t) xdr_fs_gossip, &gossip) == 0)
		xdr_free ((xdrproc_t) xdr_fs_gossip, (char *) &gossip);
	run_stream (data, size);
	return 0;
}
