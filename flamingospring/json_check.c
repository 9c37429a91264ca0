#include "flamingospring/json_check.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/** Scanner state. @c problem is set at the first error. */
struct json_scan
{
	const char *at;
	const char *end;
	unsigned depth;
	const char *problem;
};

static void
scan_fail (struct json_scan *scan, const char *problem)
{
	if (!scan->problem)
		scan->problem = problem;
	scan->at = scan->end;
}

static bool
scan_is_digit (const struct json_scan *scan)
{
	return scan->at < scan->end && g_ascii_isdigit (*scan->at);
}

static unsigned
scan_digits (struct json_scan *scan)
{
	unsigned count = 0;

	for (; scan_is_digit (scan); scan->at++)
		count++;
	return count;
}

static void
scan_number (struct json_scan *scan)
{
	unsigned digits;
	unsigned fraction_digits;

	if (*scan->at == '-')
		scan->at++;
	if (scan_is_digit (scan) && *scan->at == '0')
	{
		scan->at++;
		digits = 1;
	}
	else
		digits = scan_digits (scan);
	if (digits == 0 || scan_is_digit (scan))
	{
		scan_fail (scan, "malformed number in the body");
		return;
	}
	if (scan->at < scan->end && *scan->at == '.')
	{
		scan->at++;
		fraction_digits = scan_digits (scan);
		if (fraction_digits == 0)
			scan_fail (scan, "malformed number in the body");
		digits += fraction_digits;
	}
	if (scan->at < scan->end && (*scan->at == 'e' || *scan->at == 'E'))
	{
		scan->at++;
		if (scan->at < scan->end && (*scan->at == '+' || *scan->at == '-'))
			scan->at++;
		if (scan_digits (scan) == 0)
			scan_fail (scan, "malformed number in the body");
	}
	if (digits > JSON_CHECK_MAX_DIGITS)
		scan_fail (scan, "number with too many digits: send it as a string");
}

/** Scans an escape sequence from its backslash on. */
static void
scan_escape (struct json_scan *scan)
{
	unsigned code = 0;

	scan->at++;
	if (scan->at == scan->end || !strchr ("\"\\/bfnrtu", *scan->at))
	{
		scan_fail (scan, "malformed escape in the body");
		return;
	}
	if (*scan->at++ != 'u')
		return;
	for (unsigned i = 0; i < 4; i++, scan->at++)
	{
		if (scan->at >= scan->end || !g_ascii_isxdigit (*scan->at))
		{
			scan_fail (scan, "malformed escape in the body");
			return;
		}
		code = code << 4 | (unsigned) g_ascii_xdigit_value (*scan->at);
	}
	if (code == 0)
		scan_fail (scan, "\\u0000 in the body");
}

static void
scan_string (struct json_scan *scan)
{
	scan->at++;
	while (scan->at < scan->end && *scan->at != '"')
	{
		if ((unsigned char) *scan->at < ' ')
			scan_fail (scan, "control character in a string of the body");
		else if (*scan->at == '\\')
			scan_escape (scan);
		else
			scan->at++;
	}
	if (scan->at == scan->end)
		scan_fail (scan, "the body ends inside a string");
	else
		scan->at++;
}

static bool
scan_literal (struct json_scan *scan, const char *word)
{
	size_t length = strlen (word);

	if ((size_t) (scan->end - scan->at) < length || memcmp (scan->at, word, length) != 0)
		return false;
	scan->at += length;
	return true;
}

static void
scan_token (struct json_scan *scan)
{
	switch (*scan->at)
	{
	case '"':
		scan_string (scan);
		break;
	case '{':
	case '[':
		if (++scan->depth > JSON_CHECK_MAX_DEPTH)
			scan_fail (scan, "the body is nested too deeply");
		else
			scan->at++;
		break;
	case '}':
	case ']':
		if (scan->depth-- == 0)
			scan_fail (scan, "the body is not JSON");
		else
			scan->at++;
		break;
	case ',':
	case ':':
	case ' ':
	case '\t':
	case '\r':
	case '\n':
		scan->at++;
		break;
	default:
		if (*scan->at == '-' || g_ascii_isdigit (*scan->at))
			scan_number (scan);
		else if (!scan_literal (scan, "true") && !scan_literal (scan, "false") &&
		         !scan_literal (scan, "null"))
			scan_fail (scan, "the body is not JSON");
	}
}

const char *
json_check (const char *text, size_t length)
{
	struct json_scan scan = { .at = text, .end = text + length };

	/* A zero byte is rejected here as well. */
	if (!g_utf8_validate (text, (gssize) length, NULL))
		return "the body is not UTF-8";
	while (scan.at < scan.end)
		scan_token (&scan);
	if (!scan.problem && scan.depth > 0)
		return "the body ends too early";
	return scan.problem;
}
