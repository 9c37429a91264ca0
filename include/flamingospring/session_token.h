/**
 * @file
 * Session token: an authenticated list of the log position that a session has to see in each
 * database.
 */
#pragma once

#include "decision/position.h"
#include "schema/schema.h"

#include <stddef.h>
#include <stdint.h>

enum
{
	SESSION_TOKEN_MAX_ENTRIES = 32,
	SESSION_TOKEN_MAX_BYTES = 2048, /**< Encoded, with the terminating 0. */
};

struct session_entry
{
	uint32_t database; /**< Hash of the database's name. */
	struct log_position position;
	uint64_t written_ms; /**< Wall-clock time of the last update; a hint for routing only. */
};

struct session_token
{
	uint64_t id; /**< Random id for logs. */
	struct session_entry entries[SESSION_TOKEN_MAX_ENTRIES];
	uint32_t count;
};

uint32_t session_database_hash (const char *database);

/** Encodes a token as base64url, signed with the service's first key.
 * @return the length of @p text, or a negative error number. */
int session_token_encode (const struct session_token *token, const struct schema_service *service,
                          char *text, size_t capacity);

/** Verifies and decodes a token.
 * @return 0, -EBADMSG when malformed, or -EKEYREJECTED when not authentic. */
int session_token_decode (struct session_token *token, const struct schema_service *service,
                          const char *text);

/** @return the position for a database, or zeros when there is none. */
struct log_position session_token_find (const struct session_token *token, uint32_t database);

/** Raises the position for a database to @p position, never lowering it.
 * @return 0, or -ENOSPC when the token is full, since no entry can be dropped safely. */
int session_token_update (struct session_token *token, uint32_t database,
                          struct log_position position, uint64_t wall_ms);
