/**
 * @file
 * Checks the tokens of a JSON text before it is parsed. json-glib recurses without a limit,
 * truncates strings at \u0000, rounds long numbers and accepts comments, but a caller's data must
 * not be changed silently.
 */
#pragma once

#include <stddef.h>

enum
{
	JSON_CHECK_MAX_DEPTH = 8,
	JSON_CHECK_MAX_DIGITS = 17, /**< Fits into 64-bit integers; enough to identify any double. */
};

/** @return NULL when the tokens are valid, or a static message that names the problem. */
const char *json_check (const char *text, size_t length);
