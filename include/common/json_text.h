/**
 * @file
 * Checks the tokens of a JSON text before it is parsed, and parses it. json-glib recurses without a
 * limit, truncates strings at \u0000, rounds long numbers, accepts comments, and leaks every value
 * after the first one, but a text from outside must not be changed silently or cost memory.
 */
#pragma once

#include <json-glib/json-glib.h>
#include <stddef.h>

struct json_limits
{
	unsigned depth;  /**< Objects and arrays inside each other. */
	unsigned digits; /**< Of a number; 0: no limit. */
};

/** For the texts of callers: 17 digits fit into 64-bit integers and identify any double. */
extern const struct json_limits json_caller_limits;

/** For documents of the platform, of VMs and of databases. */
extern const struct json_limits json_document_limits;

/** @return NULL when the tokens are valid and there is at most one value, or a static message that
 * names the problem. */
const char *json_check (const char *text, size_t length, const struct json_limits *limits);

/** Copies a text and replaces what is not UTF-8, \\u0000 and halves of surrogate pairs by U+FFFD.
 * @return a string to free with g_free(). */
char *json_repair (const char *text, size_t length);

/** Checks and parses a text. @p parser owns @p root, which is NULL when the text has no value.
 * @return NULL, or a static message that names the problem. */
const char *json_load (JsonParser *parser, const char *text, size_t length,
                       const struct json_limits *limits, JsonNode **root);

/** Checks and parses a document. @return its object, which @p parser owns, or NULL when the text is
 * not one JSON object. */
JsonObject *json_load_object (JsonParser *parser, const char *text, size_t length);
