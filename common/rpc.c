#include "common/rpc.h"

#include "common/counters.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	RPC_MARK_BYTES = 4,
	RPC_INITIAL_BUFFER_BYTES = 4096,
	RPC_MAX_IDLE_BUFFER_BYTES = 64 * 1024, /* Larger buffers are freed when empty. */
	RPC_READ_BYTES = 16 * 1024,
	RPC_LISTEN_BACKLOG = 1024,
	/* libtirpc's clients send fragments of 64 KB; 8 MB take 128 of them. */
	RPC_MAX_FRAGMENTS = 256,
};

static const uint32_t rpc_last_fragment = 0x80000000u;

static void
connection_close (struct rpc_connection *connection, int error)
{
	if (connection->is_closed)
		return;
	connection->is_closed = true;
	loop_remove_source (connection->loop, &connection->source);
	if (connection->ops->handle_closed)
		connection->ops->handle_closed (connection, error);
}

static int
buffer_reserve (char **buffer, size_t *capacity, size_t needed)
{
	size_t grown = *capacity ? *capacity : RPC_INITIAL_BUFFER_BYTES;
	char *memory;

	if (needed <= *capacity)
		return 0;
	while (grown < needed)
		grown *= 2;
	memory = realloc (*buffer, grown);
	if (!memory)
		return -ENOMEM;
	*buffer = memory;
	*capacity = grown;
	return 0;
}

/** Decodes the header of a call. @return false when it is malformed. */
static bool
decode_call (XDR *xdrs, struct rpc_msg *message, char *credentials, char *verifier)
{
	memset (message, 0, sizeof *message);
	message->rm_call.cb_cred.oa_base = credentials;
	message->rm_call.cb_verf.oa_base = verifier;
	return xdr_callmsg (xdrs, message) && message->rm_direction == CALL;
}

static bool
handle_call_record (struct rpc_connection *connection, XDR *xdrs)
{
	char credentials[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg message;

	if (!connection->ops->handle_call || !decode_call (xdrs, &message, credentials, verifier))
		return false;
	return connection->ops->handle_call (connection, message.rm_xid,
	                                     (uint32_t) message.rm_call.cb_prog,
	                                     (uint32_t) message.rm_call.cb_proc, xdrs);
}

static bool
handle_reply_record (struct rpc_connection *connection, XDR *xdrs)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg message;
	int status = 0;

	memset (&message, 0, sizeof message);
	message.acpted_rply.ar_verf.oa_base = verifier;
	/* The handler decodes the result from the stream with its own codec. */
	message.acpted_rply.ar_results.proc = (xdrproc_t) xdr_void;
	if (!connection->ops->handle_reply || !xdr_replymsg (xdrs, &message))
		return false;
	if (message.rm_reply.rp_stat != MSG_ACCEPTED)
		status = -EPROTO;
	else if (message.acpted_rply.ar_stat != SUCCESS)
		status = message.acpted_rply.ar_stat == SYSTEM_ERR ? -EIO : -EPROTO;
	connection->ops->handle_reply (connection, message.rm_xid, status, xdrs);
	return true;
}

/** Handles one record. @return false when the connection has to be closed. */
static bool
handle_record (struct rpc_connection *connection, char *record, size_t length)
{
	uint32_t direction;
	XDR xdrs;
	bool is_valid;

	if (length < 8)
		return false;
	memcpy (&direction, record + 4, sizeof direction);
	xdrmem_create (&xdrs, record, (u_int) length, XDR_DECODE);
	if (ntohl (direction) == CALL)
		is_valid = handle_call_record (connection, &xdrs);
	else
		is_valid = handle_reply_record (connection, &xdrs);
	xdr_destroy (&xdrs);
	if (!is_valid)
		counter_add (COUNTER_RPC_MALFORMED, 1);
	return is_valid;
}

/** Looks for a complete record at @p start. @p end is set to its end, or, when it is incomplete, to the
 * smallest possible end. @return the number of its fragments, 0 when it is incomplete, or -EBADMSG. */
static int
find_record (const struct rpc_connection *connection, size_t start, size_t *end)
{
	size_t length = 0;

	*end = start;
	for (int count = 1; count <= RPC_MAX_FRAGMENTS; count++)
	{
		uint32_t mark;

		if (connection->in_length < *end + RPC_MARK_BYTES)
			return 0;
		memcpy (&mark, connection->in + *end, sizeof mark);
		mark = ntohl (mark);
		length += mark & ~rpc_last_fragment;
		if (length > RPC_MAX_RECORD_BYTES)
			return -EBADMSG;
		*end += RPC_MARK_BYTES + (mark & ~rpc_last_fragment);
		if (connection->in_length < *end)
			return 0;
		if (mark & rpc_last_fragment)
			return count;
	}
	return -EBADMSG;
}

/** Joins the fragments of a record in place, after the first record mark. @return their total length. */
static size_t
join_fragments (char *record, int count)
{
	char *from = record;
	char *to = record + RPC_MARK_BYTES;

	while (count-- > 0)
	{
		uint32_t mark;
		size_t length;

		memcpy (&mark, from, sizeof mark);
		length = ntohl (mark) & ~rpc_last_fragment;
		memmove (to, from + RPC_MARK_BYTES, length);
		from += RPC_MARK_BYTES + length;
		to += length;
	}
	return (size_t) (to - record) - RPC_MARK_BYTES;
}

/** Handles the complete records in the input buffer. @return 0 or a negative error number. */
static int
handle_input (struct rpc_connection *connection)
{
	size_t start = 0;

	while (!connection->is_closed && connection->in_length - start >= RPC_MARK_BYTES)
	{
		size_t end;
		size_t length;
		int fragments = find_record (connection, start, &end);

		if (fragments < 0)
		{
			counter_add (COUNTER_RPC_MALFORMED, 1);
			return fragments;
		}
		if (fragments == 0)
		{
			/* Reserves space for the rest of this record, so that reading does not stall. */
			if (buffer_reserve (&connection->in, &connection->in_capacity, end + RPC_READ_BYTES) <
			    0)
				return -ENOMEM;
			break;
		}
		length = join_fragments (connection->in + start, fragments);
		if (!handle_record (connection, connection->in + start + RPC_MARK_BYTES, length))
			return -EBADMSG;
		start = end;
	}
	if (connection->is_closed)
		return 0;
	memmove (connection->in, connection->in + start, connection->in_length - start);
	connection->in_length -= start;
	if (connection->in_length == 0 && connection->in_capacity > RPC_MAX_IDLE_BUFFER_BYTES)
	{
		free (connection->in);
		connection->in = NULL;
		connection->in_capacity = 0;
	}
	return 0;
}

static int
connection_read (struct rpc_connection *connection)
{
	for (;;)
	{
		ssize_t length;
		int result = buffer_reserve (&connection->in, &connection->in_capacity,
		                             connection->in_length + RPC_READ_BYTES);

		if (result < 0)
			return result;
		length = recv (connection->source.fd, connection->in + connection->in_length,
		               connection->in_capacity - connection->in_length, 0);
		if (length == 0)
			return -ECONNRESET;
		if (length < 0)
			return errno == EAGAIN || errno == EINTR ? 0 : -errno;
		connection->in_length += (size_t) length;
		connection->received_bytes += (uint64_t) length;
		result = handle_input (connection);
		if (result < 0 || connection->is_closed)
			return result;
	}
}

static int
connection_write (struct rpc_connection *connection)
{
	while (connection->out_length > 0)
	{
		ssize_t length = send (connection->source.fd, connection->out + connection->out_start,
		                       connection->out_length, MSG_NOSIGNAL);

		if (length < 0)
		{
			if (errno != EAGAIN && errno != EINTR)
				return -errno;
			return loop_set_source (connection->loop, &connection->source, EPOLLIN | EPOLLOUT);
		}
		connection->out_start += (size_t) length;
		connection->out_length -= (size_t) length;
		connection->sent_bytes += (uint64_t) length;
	}
	connection->out_start = 0;
	if (connection->out_capacity > RPC_MAX_IDLE_BUFFER_BYTES)
	{
		free (connection->out);
		connection->out = NULL;
		connection->out_capacity = 0;
	}
	return loop_set_source (connection->loop, &connection->source, EPOLLIN);
}

static int
connection_finish_connect (struct rpc_connection *connection)
{
	int error = 0;
	socklen_t length = sizeof error;

	if (getsockopt (connection->source.fd, SOL_SOCKET, SO_ERROR, &error, &length) < 0)
		return -errno;
	if (error)
		return -error;
	connection->is_connecting = false;
	if (connection->ops->handle_connected)
		connection->ops->handle_connected (connection);
	return 0;
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct rpc_connection *connection = source->data;
	int result = 0;

	if (connection->is_connecting)
		result = connection_finish_connect (connection);
	if (result == 0 && !connection->is_closed && (epoll_events & EPOLLOUT))
		result = connection_write (connection);
	if (result == 0 && !connection->is_closed && (epoll_events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		result = connection_read (connection);
	if (result < 0)
		connection_close (connection, result);
}

static void
connection_prepare (struct rpc_connection *connection, struct loop *loop,
                    const struct rpc_connection_ops *ops, void *data, int fd)
{
	int one = 1;

	memset (connection, 0, sizeof *connection);
	connection->ops = ops;
	connection->data = data;
	connection->loop = loop;
	connection->source.fd = fd;
	connection->source.handle_ready = handle_ready;
	connection->source.data = connection;
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

int
rpc_connection_init (struct rpc_connection *connection, struct loop *loop,
                     const struct rpc_connection_ops *ops, void *data, int fd)
{
	connection_prepare (connection, loop, ops, data, fd);
	return loop_set_source (loop, &connection->source, EPOLLIN);
}

int
rpc_connection_connect (struct rpc_connection *connection, struct loop *loop,
                        const struct rpc_connection_ops *ops, void *data, uint32_t ip,
                        uint16_t port, uint32_t source_ip)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
	struct sockaddr_in source = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (source_ip) };
	int result;
	int fd;

	memset (connection, 0, sizeof *connection);
	connection->source.fd = -1;
	connection->is_closed = true;
	fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	address.sin_addr.s_addr = htonl (ip);
	if (source_ip && bind (fd, (struct sockaddr *) &source, sizeof source) < 0)
	{
		result = -errno;
		goto fail;
	}
	if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0 && errno != EINPROGRESS)
	{
		result = -errno;
		goto fail;
	}
	connection_prepare (connection, loop, ops, data, fd);
	connection->is_connecting = true;
	result = loop_set_source (loop, &connection->source, EPOLLIN | EPOLLOUT);
	if (result < 0)
		goto fail;
	return 0;

fail:
	close (fd);
	connection->source.fd = -1;
	connection->is_closed = true;
	return result;
}

void
rpc_connection_finish (struct rpc_connection *connection)
{
	if (connection->source.fd < 0)
		return;
	if (connection->loop)
		loop_remove_source (connection->loop, &connection->source);
	close (connection->source.fd);
	free (connection->in);
	free (connection->out);
	connection->in = NULL;
	connection->out = NULL;
	connection->source.fd = -1;
	connection->is_closed = true;
}

static bool
encode_call (XDR *xdrs, uint32_t xid, uint32_t program, uint32_t version, uint32_t procedure)
{
	struct rpc_msg message;

	memset (&message, 0, sizeof message);
	message.rm_xid = xid;
	message.rm_direction = CALL;
	message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message.rm_call.cb_prog = program;
	message.rm_call.cb_vers = version;
	message.rm_call.cb_proc = procedure;
	message.rm_call.cb_cred = _null_auth;
	message.rm_call.cb_verf = _null_auth;
	return xdr_callmsg (xdrs, &message);
}

static bool
encode_reply (XDR *xdrs, uint32_t xid, enum accept_stat status, xdrproc_t encode,
              const void *result)
{
	struct rpc_msg message;

	memset (&message, 0, sizeof message);
	message.rm_xid = xid;
	message.rm_direction = REPLY;
	message.rm_reply.rp_stat = MSG_ACCEPTED;
	message.acpted_rply.ar_verf = _null_auth;
	message.acpted_rply.ar_stat = status;
	message.acpted_rply.ar_results.proc = encode;
	message.acpted_rply.ar_results.where = (caddr_t) result;
	return xdr_replymsg (xdrs, &message);
}

/** Upper bound for the bytes of a call or reply with @p body; headers with empty credentials are below 64
 * bytes. */
static size_t
record_size (xdrproc_t encode, const void *body)
{
	return RPC_MARK_BYTES + 64 + xdr_sizeof (encode, (void *) body);
}

static int
record_begin (struct rpc_connection *connection, size_t size, XDR *xdrs)
{
	int result;

	if (connection->is_closed || connection->source.fd < 0)
		return -ENOTCONN;
	if (size > RPC_MAX_RECORD_BYTES)
		return -EMSGSIZE;
	if (connection->out_start > 0)
	{
		memmove (connection->out, connection->out + connection->out_start, connection->out_length);
		connection->out_start = 0;
	}
	result =
		buffer_reserve (&connection->out, &connection->out_capacity, connection->out_length + size);
	if (result < 0)
		return result;
	xdrmem_create (xdrs, connection->out + connection->out_length + RPC_MARK_BYTES,
	               (u_int) (size - RPC_MARK_BYTES), XDR_ENCODE);
	return 0;
}

/** Writes the record mark and sends what the socket takes. The rest and any error are left to the loop, so
 * that a failed send never runs callbacks here. */
static int
record_end (struct rpc_connection *connection, XDR *xdrs)
{
	size_t length = xdr_getpos (xdrs);
	uint32_t mark = htonl ((uint32_t) length | rpc_last_fragment);

	memcpy (connection->out + connection->out_length, &mark, sizeof mark);
	connection->out_length += RPC_MARK_BYTES + length;
	if (connection->is_connecting)
		return 0;
	if (connection->out_length == RPC_MARK_BYTES + length)
	{
		ssize_t sent =
			send (connection->source.fd, connection->out, connection->out_length, MSG_NOSIGNAL);

		if (sent > 0)
		{
			connection->out_start = (size_t) sent;
			connection->out_length -= (size_t) sent;
			connection->sent_bytes += (uint64_t) sent;
		}
		if (connection->out_length == 0)
		{
			connection->out_start = 0;
			return 0;
		}
	}
	return loop_set_source (connection->loop, &connection->source, EPOLLIN | EPOLLOUT);
}

int
rpc_connection_call (struct rpc_connection *connection, uint32_t xid, uint32_t program,
                     uint32_t version, uint32_t procedure, xdrproc_t encode, const void *args)
{
	XDR xdrs;
	int result = record_begin (connection, record_size (encode, args), &xdrs);

	if (result < 0)
		return result;
	if (!encode_call (&xdrs, xid, program, version, procedure) || !encode (&xdrs, (void *) args))
		return -EMSGSIZE;
	return record_end (connection, &xdrs);
}

static int
connection_send_reply (struct rpc_connection *connection, uint32_t xid, enum accept_stat status,
                       xdrproc_t encode, const void *result)
{
	XDR xdrs;
	int error = record_begin (connection, record_size (encode, result), &xdrs);

	if (error < 0)
		return error;
	if (!encode_reply (&xdrs, xid, status, encode, result))
		return -EMSGSIZE;
	return record_end (connection, &xdrs);
}

int
rpc_connection_reply (struct rpc_connection *connection, uint32_t xid, xdrproc_t encode,
                      const void *result)
{
	return connection_send_reply (connection, xid, SUCCESS, encode, result);
}

int
rpc_connection_reject (struct rpc_connection *connection, uint32_t xid, enum accept_stat status)
{
	return connection_send_reply (connection, xid, status, (xdrproc_t) xdr_void, NULL);
}

int
rpc_listen (uint32_t ip, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
	int one = 1;
	int result;
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -errno;
	address.sin_addr.s_addr = htonl (ip);
	if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) < 0 ||
	    setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof one) < 0 ||
	    bind (fd, (struct sockaddr *) &address, sizeof address) < 0 ||
	    listen (fd, RPC_LISTEN_BACKLOG) < 0)
	{
		result = -errno;
		close (fd);
		return result;
	}
	return fd;
}

int
rpc_accept (int listener)
{
	for (;;)
	{
		/* cppcheck-suppress nullPointer; the address arguments may be NULL. */
		int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd >= 0)
			return fd;
		if (errno != EINTR)
			return -errno;
	}
}

int
rpc_datagram_encode (char *buffer, size_t capacity, uint32_t xid, uint32_t program,
                     uint32_t version, uint32_t procedure, xdrproc_t encode, const void *args)
{
	XDR xdrs;

	xdrmem_create (&xdrs, buffer, (u_int) capacity, XDR_ENCODE);
	if (!encode_call (&xdrs, xid, program, version, procedure) || !encode (&xdrs, (void *) args))
		return -EMSGSIZE;
	return (int) xdr_getpos (&xdrs);
}

int
rpc_datagram_decode (const char *buffer, size_t length, uint32_t program, uint32_t version,
                     uint32_t procedure, xdrproc_t decode, void *args)
{
	char credentials[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg message;
	XDR xdrs;

	xdrmem_create (&xdrs, (char *) buffer, (u_int) length, XDR_DECODE);
	if (!decode_call (&xdrs, &message, credentials, verifier))
		return -EBADMSG;
	if (message.rm_call.cb_prog != program || message.rm_call.cb_vers != version ||
	    message.rm_call.cb_proc != procedure)
		return -EBADMSG;
	if (!decode (&xdrs, args))
	{
		xdr_free (decode, args);
		return -EBADMSG;
	}
	return 0;
}
