#include "common/json_text.h"

#include <stdbool.h>
#include <string.h>

const struct json_limits json_caller_limits = { .depth = 8, .digits = 17 };
const struct json_limits json_document_limits = { .depth = 64 };

/** Scanner state. @c problem is set at the first error. */
struct json_scan
{
	const char *at;
	const char *end;
	const struct json_limits *limits;
	unsigned depth;
	bool has_value; /* A value was found. */
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
	if (scan->limits->digits > 0 && digits > scan->limits->digits)
		scan_fail (scan, "number with too many digits: send it as a string");
}

/** Reads the code of an escape \\uXXXX. @return -1 when there is none at @p at. */
static int
escape_code (const char *at, const char *end)
{
	int code = 0;

	if (end - at < 6 || at[0] != '\\' || at[1] != 'u')
		return -1;
	for (unsigned i = 2; i < 6; i++)
	{
		if (!g_ascii_isxdigit (at[i]))
			return -1;
		code = code << 4 | g_ascii_xdigit_value (at[i]);
	}
	return code;
}

static bool
is_high_surrogate (int code)
{
	return code >= 0xd800 && code < 0xdc00;
}

static bool
is_low_surrogate (int code)
{
	return code >= 0xdc00 && code < 0xe000;
}

/** Scans an escape sequence from its backslash on. json-glib leaks memory at half of a surrogate pair. */
static void
scan_escape (struct json_scan *scan)
{
	int code = escape_code (scan->at, scan->end);
	bool is_pair =
		is_high_surrogate (code) && is_low_surrogate (escape_code (scan->at + 6, scan->end));

	if (scan->at + 1 == scan->end || !strchr ("\"\\/bfnrtu", scan->at[1]) ||
	    (scan->at[1] == 'u' && code < 0))
		scan_fail (scan, "malformed escape in the body");
	else if (code == 0)
		scan_fail (scan, "\\u0000 in the body");
	else if (!is_pair && (is_high_surrogate (code) || is_low_surrogate (code)))
		scan_fail (scan, "half of a surrogate pair in the body");
	else if (is_pair)
		scan->at += 12;
	else
		scan->at += code < 0 ? 2 : 6;
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

/** Fails at the second value outside of all objects and arrays, which json-glib would parse and leak. */
static bool
scan_begin_value (struct json_scan *scan)
{
	if (scan->depth == 0 && scan->has_value)
	{
		scan_fail (scan, "more than one value in the body");
		return false;
	}
	scan->has_value = true;
	return true;
}

static void
scan_scalar (struct json_scan *scan)
{
	if (*scan->at == '"')
		scan_string (scan);
	else if (*scan->at == '-' || g_ascii_isdigit (*scan->at))
		scan_number (scan);
	else if (!scan_literal (scan, "true") && !scan_literal (scan, "false") &&
	         !scan_literal (scan, "null"))
		scan_fail (scan, "the body is not JSON");
}

static void
scan_token (struct json_scan *scan)
{
	switch (*scan->at)
	{
	case '{':
	case '[':
		if (!scan_begin_value (scan))
			break;
		if (++scan->depth > scan->limits->depth)
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
		if (scan_begin_value (scan))
			scan_scalar (scan);
	}
}

const char *
json_check (const char *text, size_t length, const struct json_limits *limits)
{
	struct json_scan scan = { .at = text, .end = text + length, .limits = limits };

	/* A zero byte is rejected here as well. */
	if (!g_utf8_validate (text, (gssize) length, NULL))
		return "the body is not UTF-8";
	while (scan.at < scan.end)
		scan_token (&scan);
	if (!scan.problem && scan.depth > 0)
		return "the body ends too early";
	return scan.problem;
}

char *
json_repair (const char *text, size_t length)
{
	static const char replacement[] = "\\ufffd";
	char *copy = g_utf8_make_valid (text, (gssize) length);
	const char *end = copy + strlen (copy);

	for (char *at = copy; (at = strchr (at, '\\')) && at + 1 < end;)
	{
		int code = escape_code (at, end);

		if (is_high_surrogate (code) && is_low_surrogate (escape_code (at + 6, end)))
			at += 12;
		else if (code < 0)
			at += 2;
		else
		{
			if (code == 0 || is_high_surrogate (code) || is_low_surrogate (code))
				memcpy (at, replacement, sizeof replacement - 1);
			at += 6;
		}
	}
	return copy;
}

const char *
json_load (JsonParser *parser, const char *text, size_t length, const struct json_limits *limits,
           JsonNode **root)
{
	const char *problem = json_check (text, length, limits);

	*root = NULL;
	if (problem)
		return problem;
	if (!json_parser_load_from_data (parser, text, (gssize) length, NULL))
		return "the body is not JSON";
	*root = json_parser_get_root (parser);
	return NULL;
}

JsonObject *
json_load_object (JsonParser *parser, const char *text, size_t length)
{
	JsonNode *root;

	if (json_load (parser, text, length, &json_document_limits, &root))
		return NULL;
	return root && JSON_NODE_HOLDS_OBJECT (root) ? json_node_get_object (root) : NULL;
}
