/**
 * @file
 * Typed remote procedure calls of services (ONC RPC), as `flamingospring schema generate` describes
 * them. Each thread has its own listener; calls take the same path as callers' HTTP requests.
 */
#pragma once

#include "common/rpc_listener.h"
#include "flamingospring/entry.h"

#include <stdbool.h>
#include <stdint.h>

struct service_listener
{
	struct rpc_listener connections;
	struct entry_set *entries;
	uint32_t in_flight; /**< Calls without an answer. */
};

/** Listens at @p ip and @p port with SO_REUSEPORT. @return 0 or a negative error number. */
int service_listener_init (struct service_listener *listener, struct loop *loop,
                           struct entry_set *entries, uint32_t ip, uint16_t port);

/** Stops accepting connections; open ones go on. */
void service_listener_refuse_connections (struct service_listener *listener);

/** Closes all connections and cancels their calls. */
void service_listener_finish (struct service_listener *listener);
