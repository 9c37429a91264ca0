#include "flamingospring/transaction_handle.h"

#include <errno.h>
#include <string.h>

enum
{
	HANDLE_FIXED_BYTES = 16, /* VM, server and transaction. */
};

static uint8_t *
put_number (uint8_t *at, uint64_t value, unsigned bytes)
{
	for (unsigned i = 0; i < bytes; i++)
		*at++ = (uint8_t) (value >> (8 * (bytes - 1 - i)));
	return at;
}

static uint64_t
get_number (const uint8_t *at, unsigned bytes)
{
	uint64_t value = 0;

	for (unsigned i = 0; i < bytes; i++)
		value = value << 8 | at[i];
	return value;
}

int
transaction_handle_encode (const struct transaction_handle *handle,
                           const struct schema_service *service, char *text, size_t capacity)
{
	uint8_t payload[HANDLE_FIXED_BYTES + 2 * SCHEMA_NAME_BYTES];
	size_t database_length = strnlen (handle->database, SCHEMA_NAME_BYTES - 1);
	size_t service_length = strnlen (handle->service, SCHEMA_NAME_BYTES - 1);
	uint8_t *at = put_number (payload, handle->vm, 4);

	at = put_number (at, handle->server, 4);
	at = put_number (at, handle->transaction, 8);
	*at++ = (uint8_t) database_length;
	memcpy (at, handle->database, database_length);
	at += database_length;
	memcpy (at, handle->service, service_length);
	at += service_length;
	return signed_text_encode (service, SIGNED_TEXT_TRANSACTION, payload, (size_t) (at - payload),
	                           text, capacity);
}

int
transaction_handle_decode (struct transaction_handle *handle, struct signed_text *decoded,
                           const char *text)
{
	const uint8_t *at;
	size_t database_length;
	size_t rest;
	int result = signed_text_decode (decoded, SIGNED_TEXT_TRANSACTION, text);

	memset (handle, 0, sizeof *handle);
	if (result < 0)
		return result;
	if (decoded->payload_length < HANDLE_FIXED_BYTES + 1)
		return -EBADMSG;
	at = decoded->payload;
	handle->vm = (uint32_t) get_number (at, 4);
	handle->server = (uint32_t) get_number (at + 4, 4);
	handle->transaction = get_number (at + 8, 8);
	database_length = at[HANDLE_FIXED_BYTES];
	at += HANDLE_FIXED_BYTES + 1;
	rest = decoded->payload_length - HANDLE_FIXED_BYTES - 1;
	if (database_length > rest || database_length >= SCHEMA_NAME_BYTES ||
	    rest - database_length >= SCHEMA_NAME_BYTES)
		return -EBADMSG;
	memcpy (handle->database, at, database_length);
	memcpy (handle->service, at + database_length, rest - database_length);
	return 0;
}
