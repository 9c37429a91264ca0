/**
 * @file
 * Listening socket for ONC RPC with a bounded table of the connections accepted on it.
 */
#pragma once

#include "common/handle_table.h"
#include "common/rpc.h"

struct rpc_listener;

/** First member of the owner's connection type, see @c connection_bytes. */
struct rpc_accepted
{
	struct rpc_connection rpc;
	struct rpc_listener *listener;
	uint32_t handle;
};

struct rpc_listener_ops
{
	/** As in struct rpc_connection_ops. */
	bool (*handle_call) (struct rpc_accepted *accepted, uint32_t xid, uint32_t program,
	                     uint32_t procedure, XDR *args);
	/** Called when the connection is closed, before its memory is freed. May be NULL. */
	void (*handle_closed) (struct rpc_accepted *accepted);
};

struct rpc_listener
{
	const struct rpc_listener_ops *ops;
	void *data;       /**< For use by the owner. */
	const char *name; /**< Name in log events. */
	struct loop *loop;
	struct loop_source source;
	struct loop_timer resume; /**< Accepts again after a failure. */
	size_t connection_bytes;
	struct handle_table connections; /**< Entries are pointers to struct rpc_accepted. */
};

/** Parameters of rpc_listener_init(). */
struct rpc_listener_settings
{
	const char *name;
	size_t connection_bytes; /**< Size of the owner's connection type; zeroed when accepted. */
	uint32_t max_connections;
	uint32_t ip;
	uint16_t port;
};

/** Listens with SO_REUSEPORT. rpc_listener_finish() may be called whatever the result.
 * @return 0 or a negative error number. */
int rpc_listener_init (struct rpc_listener *listener, struct loop *loop,
                       const struct rpc_listener_ops *ops, void *data,
                       const struct rpc_listener_settings *settings);

/** Stops accepting connections; open ones continue. */
void rpc_listener_stop_accepting (struct rpc_listener *listener);

/** Closes all connections, calling handle_closed() for each, and the socket. */
void rpc_listener_finish (struct rpc_listener *listener);

/** @return the connection, or NULL when it is closed. */
struct rpc_accepted *rpc_listener_find (struct rpc_listener *listener, uint32_t handle);

/** Number of connections with unsent replies. */
uint32_t rpc_listener_count_unsent (const struct rpc_listener *listener);
