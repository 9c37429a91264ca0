/* Codec of the strings of all protocols. The generated files call it in place of xdr_string(). */
#undef xdr_string
#include <limits.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

bool_t fs_xdr_string (XDR *xdrs, char **text, u_int limit);

/* Rejects a string with a zero byte: decoded into a C string it would be another, shorter one. */
bool_t
fs_xdr_string (XDR *xdrs, char **text, u_int limit)
{
	u_int length;

	if (xdrs->x_op != XDR_DECODE)
		return xdr_string (xdrs, text, limit);
	/* A record stream cannot go back to the length after xdr_string() has taken it. */
	if (!xdr_u_int (xdrs, &length) || length > limit || length == UINT_MAX)
		return FALSE;
	if (!*text)
		*text = calloc (1, (size_t) length + 1);
	return *text && xdr_opaque (xdrs, *text, length) && !memchr (*text, '\0', length);
}
