/**
 * @file
 * HTTP interface for callers: one libmicrohttpd daemon in the loop of a traffic thread.
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
	bool has_resumed;               /**< Connections resumed since the last MHD_run(). */
	bool closes_connections;        /**< The planned stop has begun: answers end the connection. */
	bool refuses_connections;
};

/** Listens with SO_REUSEPORT. @return 0 or a negative error number. */
int http_server_init (struct http_server *server, struct loop *loop, struct entry_set *entries,
                      const struct http_settings *settings);

/** All entries must be answered, see entry_set_stop(). */
void http_server_finish (struct http_server *server);

/** Follows the planned stop: ends connections after their answers, then takes no new ones. */
void http_server_set_leaving (struct http_server *server, bool is_leaving,
                              bool refuses_connections);

/** Requests whose answer is not sent yet. */
uint32_t http_server_in_flight (const struct http_server *server);
