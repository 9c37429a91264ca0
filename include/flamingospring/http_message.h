/**
 * @file
 * Parses callers' HTTP requests into entry calls and formats answers as JSON.
 */
#pragma once

#include "flamingospring/entry.h"

#include <stddef.h>

enum http_route
{
	HTTP_ROUTE_NONE, /**< Unknown path. */
	HTTP_ROUTE_HEALTH,
	HTTP_ROUTE_ENTRY, /**< A request for the entry; the call holds its operation. */
};

/** Parses a path and sets the operation and the names in @p call. */
enum http_route http_path_parse (const char *path, struct entry_call *call);

/** Parses a body into @p call. An empty body counts as {}.
 * @return 0, or -EINVAL with a static message in @p problem. */
int http_body_parse (const char *body, size_t length, struct entry_call *call,
                     const char **problem);

/** @return the HTTP status code of an answer. */
unsigned http_answer_status (const struct entry_answer *answer);

/** Formats an answer as JSON. @return text to be freed with g_free(). */
char *http_answer_format (const struct entry_answer *answer, size_t *length);
