/**
 * @file
 * Signed texts that callers store and send back: base64url of a payload and its HMAC-SHA256 with a
 * key of the service.
 */
#pragma once

#include "schema/schema.h"

#include <stddef.h>
#include <stdint.h>

enum
{
	SIGNED_TEXT_MAX_PAYLOAD_BYTES = 1400,
	SIGNED_TEXT_HEADER_BYTES = 5, /**< Type and key id. */
	SIGNED_TEXT_TAG_BYTES = 16,   /**< First half of the HMAC; RFC 2104 allows to truncate it. */
	SIGNED_TEXT_MAX_BYTES =
		SIGNED_TEXT_HEADER_BYTES + SIGNED_TEXT_MAX_PAYLOAD_BYTES + SIGNED_TEXT_TAG_BYTES,
};

/** Type of a text. It is signed with the text, so that one type cannot be used as another. */
enum signed_text_type
{
	SIGNED_TEXT_SESSION = 1,
	SIGNED_TEXT_TRANSACTION = 2,
};

/** Decoded text. Its payload is not trusted until signed_text_verify() has succeeded. */
struct signed_text
{
	uint8_t bytes[SIGNED_TEXT_MAX_BYTES];
	size_t length;
	const uint8_t *payload;
	size_t payload_length;
	uint32_t key_id;
};

/** Signs a payload with the service's first key. @return the length of @p text without the
 * terminating 0, -ENOSPC, -ENOKEY when the service has no key, or -EIO. */
int signed_text_encode (const struct schema_service *service, enum signed_text_type type,
                        const uint8_t *payload, size_t length, char *text, size_t capacity);

/** Decodes a text without verifying its signature. @return 0 or -EBADMSG. */
int signed_text_decode (struct signed_text *decoded, enum signed_text_type type, const char *text);

/** Verifies the signature with the service's key that the text names.
 * @return 0 or -EKEYREJECTED. */
int signed_text_verify (const struct signed_text *decoded, const struct schema_service *service);
