/**
 * @file
 * HTTP requests of one thread's loop, by libcurl.
 */
#pragma once

#include "common/loop.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_call;

struct http_result
{
	int error; /**< 0, -ETIMEDOUT, -ECONNREFUSED, -ECONNRESET; the request may have been executed. */
	long status; /**< When @c error is 0. */
	const char *body;
	size_t length;
	int64_t request_sent_us; /**< When the request was handed to libcurl. */
};

/** Called once; the call is gone afterwards. */
typedef void http_handle_result (void *data, const struct http_result *result);

/** Called for each part of the body instead of collecting it. @return false ends the call. */
typedef bool http_handle_part (void *data, const char *bytes, size_t length);

struct http_request
{
	const char *method;
	const char *url;
	const char *body;           /**< Copied; NULL: none. */
	const char *const *headers; /**< Ends with NULL; may be NULL. */
	long timeout_ms;            /**< 0: no limit. */
	/** A new connection for this request only; it is reset when the request is given up, so that bytes on
	 * the way are not delivered later. */
	bool resets_connection;
	http_handle_part *handle_part; /**< May be NULL. */
	http_handle_result *handle;
	void *data;
};

struct http_client
{
	struct loop *loop;
	CURLM *multi;
	struct loop_timer timer;
	struct loop_timer reap_timer; /**< Removes dropped calls outside of libcurl's callbacks. */
	struct http_call *calls;
	char source[24]; /**< Empty: the system's choice. */
	long connect_timeout_ms;
};

/** @return 0 or a negative error number. */
int http_client_init (struct http_client *client, struct loop *loop, uint32_t source_ip,
                      long connect_timeout_ms);

/** Ends all calls without callbacks. */
void http_client_finish (struct http_client *client);

/** @return the call, or NULL without memory. */
struct http_call *http_client_start (struct http_client *client,
                                     const struct http_request *request);

/** Ends a call without its callback; safe inside of callbacks. */
void http_call_cancel (struct http_call *call);
