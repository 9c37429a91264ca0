#include "flamingospring/signed_text.h"

#include <errno.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <string.h>

enum
{
	HMAC_BYTES = 32,
};

static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

static size_t
base64_length (size_t bytes)
{
	return bytes / 3 * 4 + (bytes % 3 ? bytes % 3 + 1 : 0);
}

static void
base64_encode (const uint8_t *bytes, size_t length, char *text)
{
	uint32_t bits = 0;
	unsigned count = 0;

	for (size_t i = 0; i < length; i++)
	{
		bits = bits << 8 | bytes[i];
		count += 8;
		while (count >= 6)
		{
			count -= 6;
			*text++ = alphabet[bits >> count & 63];
		}
	}
	if (count > 0)
		*text++ = alphabet[bits << (6 - count) & 63];
	*text = 0;
}

static int
base64_value (char character)
{
	const char *found = character ? strchr (alphabet, character) : NULL;

	return found ? (int) (found - alphabet) : -1;
}

/** Decodes base64url, accepting only the canonical text of each value.
 * @return the number of bytes or -EBADMSG. */
static int
base64_decode (const char *text, uint8_t *bytes, size_t capacity)
{
	uint32_t bits = 0;
	unsigned count = 0;
	size_t length = 0;

	for (; *text; text++)
	{
		int value = base64_value (*text);

		if (value < 0)
			return -EBADMSG;
		bits = bits << 6 | (uint32_t) value;
		count += 6;
		if (count < 8)
			continue;
		count -= 8;
		if (length == capacity)
			return -EBADMSG;
		bytes[length++] = (uint8_t) (bits >> count);
	}
	if (count >= 6 || (bits & ((1u << count) - 1)) != 0)
		return -EBADMSG;
	return (int) length;
}

static void
put_u32 (uint8_t *bytes, uint32_t value)
{
	for (unsigned i = 0; i < 4; i++)
		bytes[i] = (uint8_t) (value >> (24 - 8 * i));
}

static uint32_t
get_u32 (const uint8_t *bytes)
{
	return (uint32_t) bytes[0] << 24 | (uint32_t) bytes[1] << 16 | (uint32_t) bytes[2] << 8 |
	       bytes[3];
}

static int
compute_hmac (const struct schema_key *key, const uint8_t *bytes, size_t length,
              uint8_t hmac[HMAC_BYTES])
{
	return gnutls_hmac_fast (GNUTLS_MAC_SHA256, key->secret, sizeof key->secret, bytes, length,
	                         hmac) < 0
	           ? -EIO
	           : 0;
}

int
signed_text_encode (const struct schema_service *service, enum signed_text_type type,
                    const uint8_t *payload, size_t length, char *text, size_t capacity)
{
	uint8_t bytes[SIGNED_TEXT_MAX_BYTES];
	uint8_t hmac[HMAC_BYTES];
	size_t signed_length = SIGNED_TEXT_HEADER_BYTES + length;
	size_t total = signed_length + SIGNED_TEXT_TAG_BYTES;

	if (service->key_count == 0)
		return -ENOKEY;
	if (length > SIGNED_TEXT_MAX_PAYLOAD_BYTES || base64_length (total) >= capacity)
		return -ENOSPC;
	bytes[0] = (uint8_t) type;
	put_u32 (bytes + 1, service->keys[0].id);
	memcpy (bytes + SIGNED_TEXT_HEADER_BYTES, payload, length);
	if (compute_hmac (&service->keys[0], bytes, signed_length, hmac) < 0)
		return -EIO;
	memcpy (bytes + signed_length, hmac, SIGNED_TEXT_TAG_BYTES);
	base64_encode (bytes, total, text);
	return (int) base64_length (total);
}

int
signed_text_decode (struct signed_text *decoded, enum signed_text_type type, const char *text)
{
	int length = base64_decode (text, decoded->bytes, sizeof decoded->bytes);

	if (length < SIGNED_TEXT_HEADER_BYTES + SIGNED_TEXT_TAG_BYTES ||
	    decoded->bytes[0] != (uint8_t) type)
		return -EBADMSG;
	decoded->length = (size_t) length;
	decoded->key_id = get_u32 (decoded->bytes + 1);
	decoded->payload = decoded->bytes + SIGNED_TEXT_HEADER_BYTES;
	decoded->payload_length = decoded->length - SIGNED_TEXT_HEADER_BYTES - SIGNED_TEXT_TAG_BYTES;
	return 0;
}

int
signed_text_verify (const struct signed_text *decoded, const struct schema_service *service)
{
	size_t signed_length = decoded->length - SIGNED_TEXT_TAG_BYTES;
	uint8_t hmac[HMAC_BYTES];

	for (uint32_t i = 0; i < service->key_count; i++)
	{
		if (service->keys[i].id != decoded->key_id)
			continue;
		if (compute_hmac (&service->keys[i], decoded->bytes, signed_length, hmac) == 0 &&
		    gnutls_memcmp (hmac, decoded->bytes + signed_length, SIGNED_TEXT_TAG_BYTES) == 0)
			return 0;
	}
	return -EKEYREJECTED;
}
