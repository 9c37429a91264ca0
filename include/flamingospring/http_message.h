/**
 * @file
 * HTTP requests of callers as entry calls, and answers as JSON.
 */
#pragma once

#include "flamingospring/entry.h"

#include <stddef.h>

enum http_route
{
	HTTP_ROUTE_NONE, /**< No such path. */
	HTTP_ROUTE_HEALTH,
	HTTP_ROUTE_ENTRY, /**< The operation is in the call. */
};

/** Reads a path; sets the operation and the names in @p call. */
enum http_route http_path_parse (const char *path, struct entry_call *call);

/** Reads a body into @p call; an empty one counts as {}.
 * @return 0, or -EINVAL with a static text in @p problem. */
int http_body_parse (const char *body, size_t length, struct entry_call *call,
                     const char **problem);

unsigned http_answer_status (const struct entry_answer *answer);

/** Formats as JSON. @return text for g_free(). */
char *http_answer_format (const struct entry_answer *answer, size_t *length);
