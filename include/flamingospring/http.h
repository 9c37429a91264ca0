/**
 * @file
 * HTTP interface for callers: one libmicrohttpd daemon in the event loop of each traffic thread.
 */
#pragma once

#include "common/loop.h"
#include "flamingospring/entry.h"

#include <stdbool.h>
#include <stdint.h>

struct MHD_Daemon;

struct http_settings
{
	uint32_t ip; /**< IPv4, host byte order. */
	uint16_t port;
	uint32_t max_connections;
	uint32_t max_body_bytes;
};

struct http_server
{
	struct loop *loop;
	struct entry_set *entries;
	struct MHD_Daemon *daemon;
	struct loop_source source;
	struct loop_timer timer;
	uint32_t max_body_bytes;
	uint32_t in_flight;
	struct http_request *suspended; /**< List of the requests that wait for their answer. */
	bool has_resumed;               /**< A connection was resumed since the last MHD_run(). */
	bool closes_connections;        /**< In a planned stop: answers close the connection. */
	bool refuses_connections;
};

/** Listens with SO_REUSEPORT. @return 0 or a negative error number. */
int http_server_init (struct http_server *server, struct loop *loop, struct entry_set *entries,
                      const struct http_settings *settings);

/** Stops the daemon. All requests must be answered before, see entry_set_stop(). */
void http_server_finish (struct http_server *server);

/** Applies the phase of the planned stop: with @p is_leaving, connections are closed after their
 * answers; with @p refuses_connections, the listener is closed as well. */
void http_server_set_leaving (struct http_server *server, bool is_leaving,
                              bool refuses_connections);

/** @return the number of requests whose answer is not sent yet. */
uint32_t http_server_in_flight (const struct http_server *server);
