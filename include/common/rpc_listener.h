/**
 * @file
 * A listening socket for ONC RPC and the connections accepted on it, in a table with a limit.
 */
#pragma once

#include "common/handle_table.h"
#include "common/rpc.h"

struct rpc_listener;

/** First member of the owner's connection, see @c connection_bytes. */
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
	/** The connection is closed; its memory is freed afterwards. May be NULL. */
	void (*handle_closed) (struct rpc_accepted *accepted);
};

struct rpc_listener
{
	const struct rpc_listener_ops *ops;
	void *data;       /**< Of the owner. */
	const char *name; /**< In log events. */
	struct loop *loop;
	struct loop_source source;
	size_t connection_bytes;
	struct handle_table connections; /**< Of struct rpc_accepted pointers. */
};

/** Set by the owner before rpc_listener_init(). */
struct rpc_listener_settings
{
	const char *name;
	size_t connection_bytes; /**< Size of the owner's connection, zeroed when accepted. */
	uint32_t max_connections;
	uint32_t ip;
	uint16_t port;
};

/** Listens with SO_REUSEPORT. @return 0 or a negative error number; finish is allowed after both. */
int rpc_listener_init (struct rpc_listener *listener, struct loop *loop,
                       const struct rpc_listener_ops *ops, void *data,
                       const struct rpc_listener_settings *settings);

/** Stops accepting connections; open ones go on. */
void rpc_listener_stop_accepting (struct rpc_listener *listener);

/** Closes all connections, each with handle_closed(). */
void rpc_listener_finish (struct rpc_listener *listener);

/** @return the connection, or NULL when it is closed. */
struct rpc_accepted *rpc_listener_find (struct rpc_listener *listener, uint32_t handle);

/** Connections with unsent replies. */
uint32_t rpc_listener_count_unsent (const struct rpc_listener *listener);
