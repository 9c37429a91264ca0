#include "flamingospring/platform_etcd_json.h"

#include "common/json_text.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <string.h>

static void
add_bytes (JsonBuilder *builder, const char *name, const char *bytes, size_t length)
{
	char *text = g_base64_encode ((const guchar *) bytes, length);

	json_builder_set_member_name (builder, name);
	json_builder_add_string_value (builder, text);
	g_free (text);
}

/** Adds a number as a string, as protobuf's JSON mapping defines for 64-bit numbers. */
static void
add_number (JsonBuilder *builder, const char *name, uint64_t number)
{
	char text[24];

	g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, number);
	json_builder_set_member_name (builder, name);
	json_builder_add_string_value (builder, text);
}

static void
begin_member (JsonBuilder *builder, const char *name)
{
	json_builder_set_member_name (builder, name);
	json_builder_begin_object (builder);
}

/** Adds the members key and range_end that select all keys with @p prefix. */
static void
add_prefix (JsonBuilder *builder, const char *prefix)
{
	char *end = g_strdup (prefix);
	size_t length = strlen (prefix);

	add_bytes (builder, "key", prefix, length);
	end[length - 1]++;
	add_bytes (builder, "range_end", end, length);
	g_free (end);
}

static char *
builder_finish (JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root (builder);
	char *text = json_to_string (root, FALSE);

	json_node_unref (root);
	g_object_unref (builder);
	return text;
}

char *
etcd_range_body (const char *prefix, uint64_t min_revision)
{
	JsonBuilder *builder = json_builder_new ();

	json_builder_begin_object (builder);
	add_prefix (builder, prefix);
	if (min_revision > 0)
		add_number (builder, "min_mod_revision", min_revision + 1);
	json_builder_end_object (builder);
	return builder_finish (builder);
}

char *
etcd_swap_body (const char *key, uint64_t expected, const char *value, size_t value_length)
{
	JsonBuilder *builder = json_builder_new ();

	json_builder_begin_object (builder);
	json_builder_set_member_name (builder, "compare");
	json_builder_begin_array (builder);
	json_builder_begin_object (builder);
	add_bytes (builder, "key", key, strlen (key));
	json_builder_set_member_name (builder, "target");
	json_builder_add_string_value (builder, "MOD");
	json_builder_set_member_name (builder, "result");
	json_builder_add_string_value (builder, "EQUAL");
	add_number (builder, "mod_revision", expected);
	json_builder_end_object (builder);
	json_builder_end_array (builder);
	json_builder_set_member_name (builder, "success");
	json_builder_begin_array (builder);
	json_builder_begin_object (builder);
	begin_member (builder, "request_put");
	add_bytes (builder, "key", key, strlen (key));
	add_bytes (builder, "value", value, value_length);
	json_builder_end_object (builder);
	json_builder_end_object (builder);
	json_builder_end_array (builder);
	json_builder_set_member_name (builder, "failure");
	json_builder_begin_array (builder);
	json_builder_begin_object (builder);
	begin_member (builder, "request_range");
	add_bytes (builder, "key", key, strlen (key));
	json_builder_end_object (builder);
	json_builder_end_object (builder);
	json_builder_end_array (builder);
	json_builder_end_object (builder);
	return builder_finish (builder);
}

char *
etcd_watch_body (const char *prefix, uint64_t revision)
{
	JsonBuilder *builder = json_builder_new ();

	json_builder_begin_object (builder);
	begin_member (builder, "create_request");
	add_prefix (builder, prefix);
	add_number (builder, "start_revision", revision);
	json_builder_end_object (builder);
	json_builder_end_object (builder);
	return builder_finish (builder);
}

void
etcd_answer_init (struct etcd_answer *decoded)
{
	memset (decoded, 0, sizeof *decoded);
	decoded->pairs = g_array_new (FALSE, TRUE, sizeof (struct platform_pair));
	decoded->texts = g_ptr_array_new_with_free_func (g_free);
}

void
etcd_answer_finish (struct etcd_answer *decoded)
{
	g_array_free (decoded->pairs, TRUE);
	g_ptr_array_free (decoded->texts, TRUE);
}

static JsonNode *
find_member (JsonObject *object, const char *name)
{
	return object && json_object_has_member (object, name) ? json_object_get_member (object, name)
	                                                       : NULL;
}

static JsonObject *
find_object (JsonObject *object, const char *name)
{
	JsonNode *node = find_member (object, name);

	return node && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static JsonArray *
find_array (JsonObject *object, const char *name)
{
	JsonNode *node = find_member (object, name);

	return node && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

static JsonObject *
array_object (JsonArray *array, guint at)
{
	JsonNode *node = json_array_get_element (array, at);

	return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static const char *
find_text (JsonObject *object, const char *name)
{
	JsonNode *node = find_member (object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string (node);
}

/** Reads a number that was sent as a string, or, by lenient servers, as a number. @return 0 when there is none up to
 * G_MAXINT64, the largest revision. */
static uint64_t
find_number (JsonObject *object, const char *name)
{
	JsonNode *node = find_member (object, name);
	const char *text = find_text (object, name);
	guint64 number;

	if (text)
		return g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &number, NULL) ? number : 0;
	if (!node || !JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_INT64)
		return 0;
	return (uint64_t) MAX (json_node_get_int (node), 0);
}

static bool
find_flag (JsonObject *object, const char *name)
{
	JsonNode *node = find_member (object, name);

	return node && JSON_NODE_HOLDS_VALUE (node) &&
	       json_node_get_value_type (node) == G_TYPE_BOOLEAN && json_node_get_boolean (node);
}

static char *
decode_bytes (struct etcd_answer *decoded, JsonObject *object, const char *name, size_t *length)
{
	const char *text = find_text (object, name);
	gsize size = 0;
	guchar *bytes = text ? g_base64_decode (text, &size) : NULL;
	char *copy = g_malloc (size + 1);

	if (size > 0)
		memcpy (copy, bytes, size);
	copy[size] = 0;
	g_free (bytes);
	*length = size;
	g_ptr_array_add (decoded->texts, copy);
	return copy;
}

static void
add_pair (struct etcd_answer *decoded, JsonObject *object, bool is_deleted)
{
	struct platform_pair pair = { .is_deleted = is_deleted };
	size_t key_length;

	if (!object)
		return;
	pair.key = decode_bytes (decoded, object, "key", &key_length);
	pair.value = decode_bytes (decoded, object, "value", &pair.value_length);
	pair.revision = find_number (object, "mod_revision");
	g_array_append_val (decoded->pairs, pair);
}

static void
add_pairs (struct etcd_answer *decoded, JsonObject *range)
{
	JsonArray *pairs = find_array (range, "kvs");

	for (guint i = 0; pairs && i < json_array_get_length (pairs); i++)
		add_pair (decoded, array_object (pairs, i), false);
}

static void
answer_complete (struct etcd_answer *decoded, JsonObject *object)
{
	decoded->answer.revision = find_number (find_object (object, "header"), "revision");
	decoded->answer.pairs = (const struct platform_pair *) (void *) decoded->pairs->data;
	decoded->answer.count = decoded->pairs->len;
}

int
etcd_range_decode (struct etcd_answer *decoded, const char *text, size_t length)
{
	JsonParser *parser = json_parser_new ();
	JsonObject *object = json_load_object (parser, text, length);
	int result = 0;

	if (!find_object (object, "header"))
	{
		result = -EPROTO;
		goto out;
	}
	add_pairs (decoded, object);
	answer_complete (decoded, object);

out:
	g_object_unref (parser);
	return result;
}

int
etcd_swap_decode (struct etcd_answer *decoded, const char *text, size_t length)
{
	JsonParser *parser = json_parser_new ();
	JsonObject *object = json_load_object (parser, text, length);
	JsonArray *responses;
	int result = 0;

	if (!find_object (object, "header"))
	{
		result = -EPROTO;
		goto out;
	}
	decoded->answer.succeeded = find_flag (object, "succeeded");
	responses = find_array (object, "responses");
	for (guint i = 0; responses && i < json_array_get_length (responses); i++)
		add_pairs (decoded, find_object (array_object (responses, i), "response_range"));
	answer_complete (decoded, object);

out:
	g_object_unref (parser);
	return result;
}

int
etcd_watch_decode (struct etcd_answer *decoded, const char *text, size_t length)
{
	JsonParser *parser = json_parser_new ();
	JsonObject *object = find_object (json_load_object (parser, text, length), "result");
	JsonArray *events;
	int result = 0;

	if (!object)
	{
		result = -EPROTO;
		goto out;
	}
	decoded->is_created = find_flag (object, "created");
	decoded->is_cancelled = find_flag (object, "canceled");
	if (find_number (object, "compact_revision") > 0)
	{
		result = -ESTALE;
		goto out;
	}
	events = find_array (object, "events");
	for (guint i = 0; events && i < json_array_get_length (events); i++)
	{
		JsonObject *event = array_object (events, i);
		const char *type = find_text (event, "type");

		add_pair (decoded, find_object (event, "kv"), type && strcmp (type, "DELETE") == 0);
	}
	answer_complete (decoded, object);

out:
	g_object_unref (parser);
	return result;
}
