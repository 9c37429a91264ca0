/* Guards against a text of another party with a zero byte, which would be cut off there: two request
 * ids could become one, and a value would be stored in part. */
#include "protocols/peer.h"
#include "protocols/service.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct text_case
{
	const char *bytes;
	size_t length;
	bool is_valid;
};

#define TEXT(bytes, is_valid)                                                                      \
	{                                                                                              \
		bytes, sizeof bytes - 1, is_valid                                                          \
	}

static const struct text_case cases[] = {
	TEXT ("\0\0\0\0", true),
	TEXT ("\0\0\0\2ab\0\0", true),
	TEXT ("\0\0\0\4abcd", true),
	TEXT ("\0\0\0\3a\0b\0", false),
	/* The zero byte is the last one, where the padding follows. */
	TEXT ("\0\0\0\3ab\0\0", false),
	TEXT ("\0\0\0\1\0\0\0\0", false),
	TEXT ("\0\0\0\5abcd", false),
	TEXT ("\0\0", false),
};

static bool
decode (const char *bytes, size_t length, xdrproc_t codec, void *value)
{
	XDR xdrs;
	bool is_valid;

	xdrmem_create (&xdrs, (char *) bytes, (u_int) length, XDR_DECODE);
	is_valid = codec (&xdrs, value);
	xdr_free (codec, value);
	xdr_destroy (&xdrs);
	return is_valid;
}

static void
test_zero_bytes (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		char value_bytes[64] = "\0\0\0\1";
		fs_service_text text = NULL;
		fs_service_value value = NULL;
		fs_value peer_value = NULL;

		memcpy (value_bytes + 4, cases[i].bytes, cases[i].length);
		g_test_message ("text %zu", i);
		g_assert_cmpint (
			decode (cases[i].bytes, cases[i].length, (xdrproc_t) xdr_fs_service_text, &text), ==,
			cases[i].is_valid);
		g_assert_cmpint (
			decode (value_bytes, cases[i].length + 4, (xdrproc_t) xdr_fs_service_value, &value), ==,
			cases[i].is_valid);
		g_assert_cmpint (
			decode (value_bytes, cases[i].length + 4, (xdrproc_t) xdr_fs_value, &peer_value), ==,
			cases[i].is_valid);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/rpc_text/zero_bytes", test_zero_bytes);
	return g_test_run ();
}
