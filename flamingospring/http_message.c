#include "flamingospring/http_message.h"

#include "common/json_text.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <math.h>
#include <string.h>

enum
{
	PATH_MAX_SEGMENTS = 6,
	TIMEOUT_MAX_MS = 600 * 1000,
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
	STATUS_UNPROCESSABLE = 422,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504,
};

static bool
name_is_valid (const char *name)
{
	size_t length = strlen (name);

	return length > 0 && length < SCHEMA_NAME_BYTES;
}

static bool
path_parse_service (char **parts, guint count, struct entry_call *call)
{
	if (!name_is_valid (parts[2]))
		return false;
	if (count == 5 && strcmp (parts[3], "calls") == 0 && name_is_valid (parts[4]))
	{
		call->operation = FS_OPERATION_CALL;
		call->call = g_strdup (parts[4]);
	}
	else if (count == 4 && strcmp (parts[3], "transactions") == 0)
		call->operation = FS_OPERATION_BEGIN;
	else
		return false;
	call->service = g_strdup (parts[2]);
	return true;
}

static bool
path_parse_transaction (char **parts, guint count, struct entry_call *call)
{
	if (count == 5 && strcmp (parts[3], "calls") == 0 && name_is_valid (parts[4]))
	{
		call->operation = FS_OPERATION_TRANSACTION_CALL;
		call->call = g_strdup (parts[4]);
	}
	else if (count == 4 && strcmp (parts[3], "commit") == 0)
		call->operation = FS_OPERATION_COMMIT;
	else if (count == 4 && strcmp (parts[3], "rollback") == 0)
		call->operation = FS_OPERATION_ROLLBACK;
	else
		return false;
	call->transaction = g_strdup (parts[2]);
	return true;
}

/** Decodes the segments one by one, so that an encoded slash stays in its name. @return false when one has a
 * malformed escape or a zero byte, which would end the name, or is not UTF-8. */
static bool
path_decode (char **parts)
{
	for (; *parts; parts++)
	{
		char *decoded = g_uri_unescape_segment (*parts, NULL, NULL);

		if (!decoded)
			return false;
		g_free (*parts);
		*parts = decoded;
		if (!g_utf8_validate (decoded, -1, NULL))
			return false;
	}
	return true;
}

enum http_route
http_path_parse (const char *path, struct entry_call *call)
{
	enum http_route route = HTTP_ROUTE_NONE;
	char **parts;
	guint count;

	if (path[0] != '/')
		return HTTP_ROUTE_NONE;
	parts = g_strsplit (path + 1, "/", PATH_MAX_SEGMENTS);
	count = g_strv_length (parts);
	if (!path_decode (parts))
		goto out;
	if (count == 2 && strcmp (parts[0], "v1") == 0 && strcmp (parts[1], "health") == 0)
		route = HTTP_ROUTE_HEALTH;
	else if (count >= 4 && strcmp (parts[0], "v1") == 0)
	{
		if ((strcmp (parts[1], "services") == 0 && path_parse_service (parts, count, call)) ||
		    (strcmp (parts[1], "transactions") == 0 && path_parse_transaction (parts, count, call)))
			route = HTTP_ROUTE_ENTRY;
	}

out:
	g_strfreev (parts);
	return route;
}

/** @return the shortest text that parses to the same number. */
static char *
double_format (double number)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	for (int digits = 15; digits <= 17; digits++)
	{
		char format[8];

		g_snprintf (format, sizeof format, "%%.%dg", digits);
		g_ascii_formatd (text, sizeof text, format, number);
		if (g_ascii_strtod (text, NULL) == number)
			break;
	}
	return g_strdup (text);
}

/** Formats a scalar as text, and null as NULL. @return 0 or -EINVAL. */
static int
param_format (JsonNode *node, char **text)
{
	*text = NULL;
	if (JSON_NODE_HOLDS_NULL (node))
		return 0;
	if (!JSON_NODE_HOLDS_VALUE (node))
		return -EINVAL;
	switch (json_node_get_value_type (node))
	{
	case G_TYPE_STRING:
		*text = g_strdup (json_node_get_string (node));
		return g_utf8_validate (*text, -1, NULL) ? 0 : -EINVAL;
	case G_TYPE_INT64:
		*text = g_strdup_printf ("%" G_GINT64_FORMAT, json_node_get_int (node));
		return 0;
	case G_TYPE_BOOLEAN:
		*text = g_strdup (json_node_get_boolean (node) ? "true" : "false");
		return 0;
	case G_TYPE_DOUBLE:
		if (!isfinite (json_node_get_double (node)))
			return -EINVAL;
		*text = double_format (json_node_get_double (node));
		return 0;
	default:
		return -EINVAL;
	}
}

static const char *
parse_params (JsonNode *node, struct entry_call *call)
{
	JsonArray *array;
	guint count;

	if (!JSON_NODE_HOLDS_ARRAY (node))
		return "\"params\" is not an array";
	array = json_node_get_array (node);
	count = json_array_get_length (array);
	if (count > FS_MAX_PARAMS)
		return "too many params";
	call->params = g_new0 (char *, count + 1);
	call->param_count = count;
	for (guint i = 0; i < count; i++)
	{
		if (param_format (json_array_get_element (array, i), &call->params[i]) < 0)
			return "a param is not a string, number, boolean or null";
	}
	return NULL;
}

static const char *
parse_text (JsonNode *node, char **text, size_t max_length)
{
	if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
		return "a member of the body is not a string";
	if (strlen (json_node_get_string (node)) > max_length)
		return "a member of the body is too long";
	if (!g_utf8_validate (json_node_get_string (node), -1, NULL))
		return "a member of the body is not UTF-8";
	g_free (*text);
	*text = g_strdup (json_node_get_string (node));
	return NULL;
}

static const char *
parse_timeout (JsonNode *node, struct entry_call *call)
{
	gint64 timeout_ms;

	if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_INT64)
		return "\"timeout_ms\" is not an integer";
	timeout_ms = json_node_get_int (node);
	if (timeout_ms < 1 || timeout_ms > TIMEOUT_MAX_MS)
		return "\"timeout_ms\" is not from 1 to 600000";
	call->timeout_ms = (uint32_t) timeout_ms;
	return NULL;
}

static const char *
parse_member (const char *name, JsonNode *node, struct entry_call *call)
{
	if (strcmp (name, "params") == 0)
		return parse_params (node, call);
	if (strcmp (name, "request_id") == 0)
		return parse_text (node, &call->request_id, FS_MAX_ID);
	if (strcmp (name, "tenant") == 0)
		return parse_text (node, &call->tenant, SCHEMA_NAME_BYTES - 1);
	if (strcmp (name, "timeout_ms") == 0)
		return parse_timeout (node, call);
	if (strcmp (name, "database") == 0 && call->operation == FS_OPERATION_BEGIN)
		return parse_text (node, &call->database, SCHEMA_NAME_BYTES - 1);
	/* Ignoring a misspelt request_id would turn a retry into a second write. */
	return "the body has an unknown member";
}

static const char *
parse_object (JsonNode *root, struct entry_call *call)
{
	const char *problem = NULL;
	JsonObjectIter iterator;
	const char *name;
	JsonNode *node;

	if (!root || !JSON_NODE_HOLDS_OBJECT (root))
		return "the body is not a JSON object";
	json_object_iter_init (&iterator, json_node_get_object (root));
	while (!problem && json_object_iter_next (&iterator, &name, &node))
		problem = parse_member (name, node, call);
	return problem;
}

int
http_body_parse (const char *body, size_t length, struct entry_call *call, const char **problem)
{
	JsonParser *parser;
	JsonNode *root;

	*problem = NULL;
	if (length == 0)
		return 0;
	parser = json_parser_new_immutable ();
	*problem = json_load (parser, body, length, &json_caller_limits, &root);
	if (!*problem)
		*problem = parse_object (root, call);
	g_object_unref (parser);
	return *problem ? -EINVAL : 0;
}

unsigned
http_answer_status (const struct entry_answer *answer)
{
	switch (answer->outcome)
	{
	case OUTCOME_DONE:
		return STATUS_OK;
	case OUTCOME_REFUSED:
		return STATUS_UNAVAILABLE;
	case OUTCOME_UNKNOWN:
		return STATUS_TIMEOUT;
	case OUTCOME_FAILED:
		break;
	}
	if (answer->reason == REASON_BAD_REQUEST || answer->reason == REASON_BAD_TOKEN ||
	    answer->reason == REASON_UNKNOWN_SERVICE)
		return STATUS_BAD_REQUEST;
	return STATUS_UNPROCESSABLE;
}

static void
add_text (JsonBuilder *builder, const char *text)
{
	char *valid;

	if (!text)
	{
		json_builder_add_null_value (builder);
		return;
	}
	if (g_utf8_validate (text, -1, NULL))
	{
		json_builder_add_string_value (builder, text);
		return;
	}
	valid = g_utf8_make_valid (text, -1);
	json_builder_add_string_value (builder, valid);
	g_free (valid);
}

static void
add_member (JsonBuilder *builder, const char *name, const char *text)
{
	if (!text)
		return;
	json_builder_set_member_name (builder, name);
	add_text (builder, text);
}

static void
add_rows (JsonBuilder *builder, const struct fs_execute_result *result)
{
	u_int columns = result->columns.columns_len;
	u_int rows = columns ? result->cells.cells_len / columns : 0;

	json_builder_set_member_name (builder, "columns");
	json_builder_begin_array (builder);
	for (u_int i = 0; i < columns; i++)
		add_text (builder, result->columns.columns_val[i]);
	json_builder_end_array (builder);
	json_builder_set_member_name (builder, "rows");
	json_builder_begin_array (builder);
	for (u_int row = 0; row < rows; row++)
	{
		json_builder_begin_array (builder);
		for (u_int i = 0; i < columns; i++)
		{
			const fs_value value = result->cells.cells_val[row * columns + i];

			add_text (builder, value ? *value : NULL);
		}
		json_builder_end_array (builder);
	}
	json_builder_end_array (builder);
}

char *
http_answer_format (const struct entry_answer *answer, size_t *length)
{
	JsonBuilder *builder = json_builder_new_immutable ();
	JsonGenerator *generator = json_generator_new ();
	JsonNode *root;
	char *text;

	json_builder_begin_object (builder);
	add_member (builder, "outcome", outcome_name (answer->outcome));
	add_member (builder, "reason", reason_name (answer->reason));
	add_member (builder, "message", answer->message ? answer->message : "");
	if (answer->result && answer->outcome == OUTCOME_DONE)
		add_rows (builder, answer->result);
	if (answer->server)
	{
		add_member (builder, "server", answer->server);
		add_member (builder, "role",
		            answer->result && answer->result->server_is_primary ? "primary" : "replica");
	}
	add_member (builder, "transaction", answer->transaction);
	if (answer->retry_after_ms > 0)
	{
		json_builder_set_member_name (builder, "retry_after_ms");
		json_builder_add_int_value (builder, answer->retry_after_ms);
	}
	json_builder_end_object (builder);
	root = json_builder_get_root (builder);
	json_generator_set_root (generator, root);
	text = json_generator_to_data (generator, length);
	json_node_unref (root);
	g_object_unref (generator);
	g_object_unref (builder);
	return text;
}
