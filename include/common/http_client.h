/**
 * @file
 * Asynchronous HTTP client on libcurl, driven by the event loop of one thread.
 */
#pragma once

#include "common/loop.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_call;

struct http_result
{
	/** 0, -ETIMEDOUT, -ECONNREFUSED, -ECONNRESET. After an error the request may still have been executed. */
	int error;
	long status; /**< HTTP status, valid when @c error is 0. */
	const char *body;
	size_t length;
	int64_t request_sent_us; /**< When the request was handed to libcurl. */
	CURL *easy;              /**< For http_result_find_header(). */
};

/** Finds the last header @p name of the response. @return its value, valid during the callback, or NULL. */
const char *http_result_find_header (const struct http_result *result, const char *name);

/** Called once per call, which is freed afterwards. */
typedef void http_handle_result (void *data, const struct http_result *result);

/** Called for each received part of the body, which is not collected then.
 * @return false to abort the call. */
typedef bool http_handle_part (void *data, const char *bytes, size_t length);

struct http_request
{
	const char *method;
	const char *url;
	const char *body;           /**< Copied; NULL: none. */
	const char *const *headers; /**< Ends with NULL; may be NULL. */
	long timeout_ms;            /**< 0: no limit. */
	/** Uses a new connection for this request only and resets it when it is closed, so that a request that
	 * was given up is not delivered later. */
	bool resets_connection;
	http_handle_part *handle_part; /**< May be NULL. */
	http_handle_result *handle;
	void *data;
};

struct http_client
{
	struct loop *loop;
	CURLM *multi;
	GArray *sockets; /**< Sockets of all connections, idle ones included. */
	struct loop_timer timer;
	struct loop_timer reap_timer; /**< Removes cancelled calls outside of libcurl's callbacks. */
	struct http_call *calls;
	char source[24]; /**< Source address as libcurl expects it; empty: chosen by the system. */
	long connect_timeout_ms;
};

/** @return 0 or a negative error number. */
int http_client_init (struct http_client *client, struct loop *loop, uint32_t source_ip,
                      long connect_timeout_ms);

/** Cancels all calls without running their callbacks. */
void http_client_finish (struct http_client *client);

/** Starts a request. @return the call, or NULL when out of memory. */
struct http_call *http_client_start (struct http_client *client,
                                     const struct http_request *request);

/** Cancels a call without running its callback; may be used inside callbacks. */
void http_call_cancel (struct http_call *call);
