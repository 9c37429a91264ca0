/* Codec of the strings of all protocols. The generated files call it in place of xdr_string(). */
#undef xdr_string
#include <rpc/rpc.h>
#include <string.h>

bool_t fs_xdr_string (XDR *xdrs, char **text, u_int limit);

/* Rejects a string with a zero byte: decoded into a C string it would be another, shorter one. */
bool_t
fs_xdr_string (XDR *xdrs, char **text, u_int limit)
{
	u_int start = xdrs->x_op == XDR_DECODE ? xdr_getpos (xdrs) : 0;
	u_int length;

	if (xdrs->x_op != XDR_DECODE)
		return xdr_string (xdrs, text, limit);
	return xdr_u_int (xdrs, &length) && xdr_setpos (xdrs, start) &&
	       xdr_string (xdrs, text, limit) && strlen (*text) == length;
}
