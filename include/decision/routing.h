/**
 * @file
 * Selects the upstream server for a request at the entry VM, and checks at the server's owner
 * whether the request may run there.
 */
#pragma once

#include "decision/position.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	ROUTING_MAX_SERVERS = 16, /**< Servers in one group. */
};

/** Consistency that a read requires. */
enum read_consistency
{
	READ_SESSION,   /**< Sees the session's own writes; any server that covers the token. */
	READ_BOUNDED,   /**< As READ_SESSION, and no older than max_age_us. */
	READ_PRIMARY,   /**< The primary only. */
	READ_MONOTONIC, /**< As READ_SESSION; the new token also covers what was read. */
};

/** A VM's knowledge of one server of a group. Unknown values are 0. */
struct routing_server
{
	bool is_primary;
	bool is_down; /**< The server or its owner does not respond at present. */
	bool is_leaving;
	uint32_t link_us;  /**< Estimated round trip to its owner. */
	uint32_t queue_us; /**< Expected wait for the request's rank, as of position_at_us. */
	uint32_t lag_us;   /**< Smoothed replication lag behind the primary. */
	struct log_position position; /**< Last reported position. */
	int64_t position_at_us;       /**< When it was reported; 0: never. */
	int64_t fresh_at_us; /**< The server has all commits up to this local time; 0: unknown. */
};

struct routing_request
{
	bool is_write;
	enum read_consistency consistency;
	struct log_position required; /**< From the session token; {0, 0} when none. */
	int64_t required_at_us;       /**< When that write was acknowledged; 0: unknown. */
	int64_t max_age_us;           /**< READ_BOUNDED only. */
	int64_t deadline_us;
	uint32_t excluded; /**< Bit set of the server indexes already tried. */
};

enum routing_action
{
	ROUTE_SERVE, /**< Send it to @c server. */
	ROUTE_WAIT,  /**< Send it to @c server, which should catch up within @c wait_us. */
	ROUTE_NONE,  /**< No server can take the request now. */
};

struct routing_choice
{
	enum routing_action action;
	uint32_t server; /**< Index in the group. */
	uint32_t wait_us;
};

/** Selects a server at the entry VM. @p seed picks among candidates of equal cost. */
struct routing_choice routing_choose (const struct routing_server *servers, size_t count,
                                      const struct routing_request *request, uint64_t seed,
                                      int64_t now_us);

/** Result of the owner's check, which uses its own recent status of the server. */
enum routing_check
{
	CHECK_SERVE,
	CHECK_WAIT,        /**< Poll the position again; it may be reached before the deadline. */
	CHECK_BEHIND,      /**< Refuse with REASON_BEHIND. */
	CHECK_TOO_OLD,     /**< Refuse with REASON_TOO_OLD. */
	CHECK_NOT_PRIMARY, /**< Refuse with REASON_NOT_PRIMARY. */
};

enum routing_check routing_check_server (const struct routing_server *server,
                                         const struct routing_request *request, int64_t now_us);
