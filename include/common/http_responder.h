/**
 * @file
 * HTTP server for GET requests on a few paths, run by a thread's event loop; serves readiness and metrics.
 */
#pragma once

#include "common/loop.h"

#include <glib.h>
#include <stdint.h>

struct MHD_Daemon;

enum
{
	HTTP_RESPONDER_MAX_PAGES = 2,
	/** Clients are the platform and monitoring tools, with about one request per second. */
	HTTP_RESPONDER_MAX_CONNECTIONS = 64,
};

struct http_responder_connection
{
	int fd;            /**< Below 0: the place is free. */
	int64_t opened_us; /**< When it was accepted; has to complete its request soon. */
};

struct http_responder
{
	struct loop *loop;
	struct MHD_Daemon *daemon;
	struct loop_source source;
	struct loop_timer timer;
	struct http_page
	{
		const char *path; /**< NULL: none. */
		/** Appends the response body. @return the HTTP status. */
		unsigned (*answer) (void *data, GString *body);
	} pages[HTTP_RESPONDER_MAX_PAGES];
	void *data;
	struct http_responder_connection connections[HTTP_RESPONDER_MAX_CONNECTIONS];
	unsigned connection_count;
};

/** @return 0 or a negative error number. */
int http_responder_init (struct http_responder *responder, struct loop *loop, uint32_t ip,
                         uint16_t port, const char *path,
                         unsigned (*answer) (void *data, GString *body), void *data);
/** Adds a page with the same data. At most HTTP_RESPONDER_MAX_PAGES, the first one included. */
void http_responder_add (struct http_responder *responder, const char *path,
                         unsigned (*answer) (void *data, GString *body));
void http_responder_finish (struct http_responder *responder);
