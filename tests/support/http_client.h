/**
 * @file
 * Blocking HTTP client with one connection, for tests.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_client
{
	int fd;
};

struct http_reply
{
	int status; /**< 0 when the connection ended before a complete response. */
	char *headers;
	char *body;
};

/** @return false when the connection is refused. */
bool http_client_connect (struct http_client *client, uint16_t port);
void http_client_close (struct http_client *client);

/** Sends raw bytes. */
void http_client_send (struct http_client *client, const char *bytes, size_t length);

/** Sends a request with a JSON body; @p token may be NULL. */
void http_client_request (struct http_client *client, const char *method, const char *path,
                          const char *token, const char *body);

/** Reads one response. */
struct http_reply http_client_read (struct http_client *client);

/** Sends a POST and reads its response. */
struct http_reply http_client_post (struct http_client *client, const char *path, const char *token,
                                    const char *body);
void http_reply_finish (struct http_reply *reply);

/** Value of a header for g_free(), or NULL. */
char *http_reply_header (const struct http_reply *reply, const char *name);

/** Value of a string member of the JSON body for g_free(), or NULL. */
char *http_reply_member (const struct http_reply *reply, const char *name);
