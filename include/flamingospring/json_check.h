/**
 * @file
 * Check of a JSON text before it is parsed. json-glib recurses without a limit, cuts strings at
 * \u0000, rounds long numbers and accepts comments; a caller's data must not change silently.
 */
#pragma once

#include <stddef.h>

enum
{
	JSON_CHECK_MAX_DEPTH = 8,
	JSON_CHECK_MAX_DIGITS = 17, /**< Exact in 64-bit integers and in doubles as text. */
};

/** @return NULL when the tokens are good, or a static text that names the problem. */
const char *json_check (const char *text, size_t length);
