/**
 * @file
 * Handle of an interactive transaction, as given to callers. It names the VM that holds the
 * transaction, so that any VM can forward requests to it, and is signed with the service's key.
 */
#pragma once

#include "flamingospring/signed_text.h"
#include "schema/schema.h"

#include <stddef.h>
#include <stdint.h>

enum
{
	TRANSACTION_HANDLE_MAX_BYTES = 256, /**< Size of the encoded text with its terminating 0. */
};

struct transaction_handle
{
	uint32_t vm;
	uint32_t server;
	uint64_t transaction; /**< Id of the transaction at its owner. */
	char database[SCHEMA_NAME_BYTES];
	char service[SCHEMA_NAME_BYTES];
};

/** Encodes and signs a handle. @return the length of @p text, or a negative error number. */
int transaction_handle_encode (const struct transaction_handle *handle,
                               const struct schema_service *service, char *text, size_t capacity);

/** Decodes a handle without checking its signature, since the key is that of the service named in
 * it. @return 0 or -EBADMSG. */
int transaction_handle_decode (struct transaction_handle *handle, struct signed_text *decoded,
                               const char *text);
