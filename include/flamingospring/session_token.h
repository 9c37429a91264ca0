/**
 * @file
 * Session token: the last acknowledged write of a session for each database, authenticated.
 */
#pragma once

#include "decision/position.h"
#include "schema/schema.h"

#include <stddef.h>
#include <stdint.h>

enum
{
	SESSION_TOKEN_MAX_ENTRIES = 32,
	SESSION_TOKEN_MAX_BYTES = 2048, /**< Encoded, with the final 0. */
};

struct session_entry
{
	uint32_t database; /**< Hash of its name. */
	struct log_position position;
	uint64_t written_ms; /**< Wall-clock time of the acknowledgement, a hint for routing only. */
};

struct session_token
{
	uint64_t id; /**< Random; for logs. */
	struct session_entry entries[SESSION_TOKEN_MAX_ENTRIES];
	uint32_t count;
};

uint32_t session_database_hash (const char *database);

/** Encodes as base64url with the service's first key. @return length, or a negative error number. */
int session_token_encode (const struct session_token *token, const struct schema_service *service,
                          char *text, size_t capacity);

/** Checks and decodes. @return 0, -EBADMSG when malformed, -EKEYREJECTED when not authentic. */
int session_token_decode (struct session_token *token, const struct schema_service *service,
                          const char *text);

struct log_position session_token_find (const struct session_token *token, uint32_t database);

/** Raises the entry of a database.
 * @return 0, or -ENOSPC when no entry can be dropped safely. */
int session_token_update (struct session_token *token, uint32_t database,
                          struct log_position position, uint64_t wall_ms);
