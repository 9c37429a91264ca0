/* Guards against a session token or a transaction handle that is accepted without a valid signature,
 * and against a signed payload, such as one of an older version, that is read out of bounds. */
#include "flamingospring/session_token.h"
#include "flamingospring/transaction_handle.h"
#include "fuzz.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static const struct schema_service service = { .keys = { { .id = 1, .secret = { 7 } } },
	                                           .key_count = 1 };
/* The same key id with another secret. */
static const struct schema_service forger = { .keys = { { .id = 1, .secret = { 8 } } },
	                                          .key_count = 1 };

static void
run_forged (const uint8_t *data, size_t size)
{
	char text[2 * SIGNED_TEXT_MAX_BYTES];
	struct transaction_handle handle;
	struct session_token token;
	struct signed_text decoded;

	if (signed_text_encode (&forger, SIGNED_TEXT_SESSION, data, size, text, sizeof text) > 0 &&
	    session_token_decode (&token, &service, text) == 0)
		abort ();
	if (signed_text_encode (&forger, SIGNED_TEXT_TRANSACTION, data, size, text, sizeof text) > 0 &&
	    transaction_handle_decode (&handle, &decoded, text) == 0 &&
	    signed_text_verify (&decoded, &service) == 0)
		abort ();
}

static void
run_signed (const uint8_t *data, size_t size)
{
	char text[2 * SIGNED_TEXT_MAX_BYTES];
	struct transaction_handle handle;
	struct session_token token;
	struct signed_text decoded;

	if (signed_text_encode (&service, SIGNED_TEXT_SESSION, data, size, text, sizeof text) > 0 &&
	    session_token_decode (&token, &service, text) == 0 &&
	    token.count > SESSION_TOKEN_MAX_ENTRIES)
		abort ();
	if (signed_text_encode (&service, SIGNED_TEXT_TRANSACTION, data, size, text, sizeof text) > 0 &&
	    transaction_handle_decode (&handle, &decoded, text) == 0 &&
	    (!memchr (handle.database, 0, sizeof handle.database) ||
	     !memchr (handle.service, 0, sizeof handle.service)))
		abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct transaction_handle handle;
	struct session_token token;
	struct signed_text decoded;
	char *text = g_strndup ((const char *) data, size);

	/* By chance, one input in 2^128 has a valid signature. */
	if (session_token_decode (&token, &service, text) == 0)
		abort ();
	if (transaction_handle_decode (&handle, &decoded, text) == 0 &&
	    signed_text_verify (&decoded, &service) == 0)
		abort ();
	g_free (text);
	if (size > SIGNED_TEXT_MAX_PAYLOAD_BYTES)
		return 0;
	run_forged (data, size);
	run_signed (data, size);
	return 0;
}
