#include "flamingospring/session_token.h"

#include "flamingospring/signed_text.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

enum
{
	VARINT_MAX_BYTES = 10,
	TOKEN_ID_BYTES = 8,
	TOKEN_DATABASE_BYTES = 4,
	TOKEN_MAX_PAYLOAD_BYTES =
		TOKEN_ID_BYTES + SESSION_TOKEN_MAX_ENTRIES * (TOKEN_DATABASE_BYTES + 3 * VARINT_MAX_BYTES),
};

_Static_assert((int) TOKEN_MAX_PAYLOAD_BYTES <= (int) SIGNED_TEXT_MAX_PAYLOAD_BYTES,
               "a full token fits into a signed text");

/** Reader of a payload. A read past the end or of an overlong number sets @c has_failed. */
struct payload_reader
{
	const uint8_t *at;
	const uint8_t *end;
	bool has_failed;
};

uint32_t
session_database_hash (const char *database)
{
	return (uint32_t) XXH3_64bits (database, strlen (database));
}

static uint8_t *
put_fixed (uint8_t *at, uint64_t value, unsigned bytes)
{
	for (unsigned i = 0; i < bytes; i++)
		*at++ = (uint8_t) (value >> (8 * (bytes - 1 - i)));
	return at;
}

static uint8_t *
put_varint (uint8_t *at, uint64_t value)
{
	for (; value >= 0x80; value >>= 7)
		*at++ = (uint8_t) (value | 0x80);
	*at++ = (uint8_t) value;
	return at;
}

static uint64_t
get_fixed (struct payload_reader *reader, unsigned bytes)
{
	uint64_t value = 0;

	if (reader->end - reader->at < (ptrdiff_t) bytes)
	{
		reader->has_failed = true;
		return 0;
	}
	for (unsigned i = 0; i < bytes; i++)
		value = value << 8 | *reader->at++;
	return value;
}

static uint64_t
get_varint (struct payload_reader *reader)
{
	uint64_t value = 0;

	for (unsigned shift = 0; shift < 64; shift += 7)
	{
		uint8_t byte;

		if (reader->at == reader->end)
			break;
		byte = *reader->at++;
		value |= (uint64_t) (byte & 0x7f) << shift;
		if (!(byte & 0x80))
			return value;
	}
	reader->has_failed = true;
	return 0;
}

int
session_token_encode (const struct session_token *token, const struct schema_service *service,
                      char *text, size_t capacity)
{
	uint8_t payload[TOKEN_MAX_PAYLOAD_BYTES];
	uint8_t *at = put_fixed (payload, token->id, TOKEN_ID_BYTES);

	if (token->count > SESSION_TOKEN_MAX_ENTRIES)
		return -EINVAL;
	for (uint32_t i = 0; i < token->count; i++)
	{
		const struct session_entry *entry = &token->entries[i];

		at = put_fixed (at, entry->database, TOKEN_DATABASE_BYTES);
		at = put_varint (at, entry->position.term);
		at = put_varint (at, entry->position.index);
		at = put_varint (at, entry->written_ms);
	}
	return signed_text_encode (service, SIGNED_TEXT_SESSION, payload, (size_t) (at - payload), text,
	                           capacity);
}

int
session_token_decode (struct session_token *token, const struct schema_service *service,
                      const char *text)
{
	struct payload_reader reader = { 0 };
	struct signed_text decoded;
	int result;

	memset (token, 0, sizeof *token);
	result = signed_text_decode (&decoded, SIGNED_TEXT_SESSION, text);
	if (result < 0)
		return result;
	result = signed_text_verify (&decoded, service);
	if (result < 0)
		return result;
	reader.at = decoded.payload;
	reader.end = decoded.payload + decoded.payload_length;
	token->id = get_fixed (&reader, TOKEN_ID_BYTES);
	while (!reader.has_failed && reader.at < reader.end)
	{
		struct session_entry *entry = &token->entries[token->count];

		if (token->count == SESSION_TOKEN_MAX_ENTRIES)
			return -EBADMSG;
		entry->database = (uint32_t) get_fixed (&reader, TOKEN_DATABASE_BYTES);
		entry->position.term = get_varint (&reader);
		entry->position.index = get_varint (&reader);
		entry->written_ms = get_varint (&reader);
		token->count++;
	}
	return reader.has_failed ? -EBADMSG : 0;
}

static const struct session_entry *
token_entry (const struct session_token *token, uint32_t database)
{
	for (uint32_t i = 0; i < token->count; i++)
	{
		if (token->entries[i].database == database)
			return &token->entries[i];
	}
	return NULL;
}

struct log_position
session_token_find (const struct session_token *token, uint32_t database)
{
	const struct session_entry *entry = token_entry (token, database);

	return entry ? entry->position : (struct log_position){ 0, 0 };
}

int
session_token_update (struct session_token *token, uint32_t database, struct log_position position,
                      uint64_t wall_ms)
{
	struct session_entry *entry = (struct session_entry *) token_entry (token, database);

	if (!entry)
	{
		/* An old entry cannot be dropped either, since a replica may lag for any time. */
		if (token->count == SESSION_TOKEN_MAX_ENTRIES)
			return -ENOSPC;
		entry = &token->entries[token->count++];
		memset (entry, 0, sizeof *entry);
		entry->database = database;
	}
	if (log_position_compare (position, entry->position) <= 0)
		return 0;
	entry->position = position;
	entry->written_ms = wall_ms;
	return 0;
}
