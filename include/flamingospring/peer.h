/**
 * @file
 * Calls between VMs on the traffic port. Each thread has one RPC connection to each VM that it
 * calls, and the connections that it accepted from other VMs.
 */
#pragma once

#include "common/handle_table.h"
#include "common/loop.h"
#include "common/rpc_listener.h"
#include "flamingospring/execution.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct peer;

/** Outgoing connections of one thread. */
struct peer_set
{
	struct loop *loop;
	struct handle_table calls; /**< Pointers to struct peer_call; the handle is the xid. */
	GHashTable *peers;         /**< VM id to struct peer. */
	uint64_t random_state;
	int64_t idle_timeout_us; /**< A connection without calls is closed after this time. */
	uint32_t source_ip;      /**< Source address of connections; 0: chosen by the system. */
};

int peer_set_init (struct peer_set *set, struct loop *loop, uint64_t seed);

/** Ends all calls as EXECUTION_LOST and closes all connections. */
void peer_set_finish (struct peer_set *set);

/** Sends @p execution to the VM with this address (IPv4, host byte order). */
void peer_set_execute (struct peer_set *set, struct execution *execution, uint32_t ip,
                       uint16_t port);

/** Ends the call as EXECUTION_CANCELLED. An answer that still arrives is dropped. */
void peer_set_cancel (struct peer_set *set, struct execution *execution);

/** @return whether the connection to the VM failed recently. The standby should be used then. */
bool peer_set_is_down (struct peer_set *set, uint32_t vm, int64_t now_us);

/** @return the number of calls without an answer. */
uint32_t peer_set_in_flight (const struct peer_set *set);

struct peer_listener;

/** Incoming connections of one thread. */
struct peer_listener
{
	struct rpc_listener connections;
	const struct execution_ops *ops; /**< Run the incoming executions, whose vm is 0. */
	void *transport;
	uint32_t in_flight;
};

/** Listens at @p ip and @p port with SO_REUSEPORT. @return 0 or a negative error number. */
int peer_listener_init (struct peer_listener *listener, struct loop *loop,
                        const struct execution_ops *ops, void *transport, uint32_t ip,
                        uint16_t port);

/** Closes all connections. Calls in flight run to their end, and their results are dropped. */
void peer_listener_finish (struct peer_listener *listener);

/** @return the number of running calls. */
uint32_t peer_listener_in_flight (const struct peer_listener *listener);

/** @return the number of connections with unsent answers. */
uint32_t peer_listener_unsent (const struct peer_listener *listener);
