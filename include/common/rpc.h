/**
 * @file
 * ONC RPC over non-blocking TCP (record marking of RFC 5531) and UDP, with libtirpc's codecs.
 */
#pragma once

#include "common/loop.h"

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	RPC_MAX_RECORD_BYTES = 8 * 1024 * 1024,
	RPC_MAX_DATAGRAM_BYTES = 1400,
};

struct rpc_connection;

struct rpc_connection_ops
{
	/** Handles a call. Decode the arguments from @p args with the xdr function of the procedure; reply
	 * now or later with rpc_connection_reply(). @return false to close the connection. */
	bool (*handle_call) (struct rpc_connection *connection, uint32_t xid, uint32_t program,
	                     uint32_t procedure, XDR *args);
	/** Handles a reply. @p status is 0, -EPROTO when the peer rejected the call without running it, or -EIO after
	 * an error of its system, which says nothing about the run. */
	void (*handle_reply) (struct rpc_connection *connection, uint32_t xid, int status, XDR *result);
	/** The connection is established (client side). */
	void (*handle_connected) (struct rpc_connection *connection);
	/** The connection was closed by the peer or by an error. This is the last callback; the owner calls
	 * rpc_connection_finish() from here or later. */
	void (*handle_closed) (struct rpc_connection *connection, int error);
};

struct rpc_connection
{
	const struct rpc_connection_ops *ops;
	void *data;
	struct loop *loop;
	struct loop_source source;
	bool is_connecting;
	bool is_closed;
	char *in;
	size_t in_length;
	size_t in_capacity;
	char *out;
	size_t out_start;
	size_t out_length;
	size_t out_capacity;
	uint64_t sent_bytes;
	uint64_t received_bytes;
};

/** Initializes a connection on an accepted socket and takes over @p fd.
 * @return 0 or a negative error number. */
int rpc_connection_init (struct rpc_connection *connection, struct loop *loop,
                         const struct rpc_connection_ops *ops, void *data, int fd);

/** Connects to an IPv4 address from @p source_ip (both in host byte order; source 0: chosen by the
 * system). @return 0 or a negative error number. */
int rpc_connection_connect (struct rpc_connection *connection, struct loop *loop,
                            const struct rpc_connection_ops *ops, void *data, uint32_t ip,
                            uint16_t port, uint32_t source_ip);
void rpc_connection_finish (struct rpc_connection *connection);

/** Sends a call. @return 0, -EMSGSIZE, -ENOMEM, -ENOTCONN. */
int rpc_connection_call (struct rpc_connection *connection, uint32_t xid, uint32_t program,
                         uint32_t version, uint32_t procedure, xdrproc_t encode, const void *args);
int rpc_connection_reply (struct rpc_connection *connection, uint32_t xid, xdrproc_t encode,
                          const void *result);

/** Rejects a call as PROC_UNAVAIL, or GARBAGE_ARGS. */
int rpc_connection_reject (struct rpc_connection *connection, uint32_t xid,
                           enum accept_stat status);

/** Opens a listening TCP socket with SO_REUSEPORT. @return the descriptor or a negative error number. */
int rpc_listen (uint32_t ip, uint16_t port);

/** Accepts a connection, non-blocking. @return the descriptor, or a negative error number: -EAGAIN when
 * none is pending. */
int rpc_accept (int listener);

/** Encodes a one-way call into @p buffer. @return its length or a negative error number. */
int rpc_datagram_encode (char *buffer, size_t capacity, uint32_t xid, uint32_t program,
                         uint32_t version, uint32_t procedure, xdrproc_t encode, const void *args);

/** Decodes a one-way call of the given program, version and procedure. @return 0 or -EBADMSG; free the arguments
 * with xdr_free(). */
int rpc_datagram_decode (const char *buffer, size_t length, uint32_t program, uint32_t version,
                         uint32_t procedure, xdrproc_t decode, void *args);
