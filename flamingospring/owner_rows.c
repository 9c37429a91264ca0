#include "flamingospring/owner_rows.h"

#include "common/json_text.h"
#include "protocols/peer.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	ROWS_MAX_BYTES = 4 * 1024 * 1024, /* Below RPC_MAX_RECORD_BYTES, with room for the lengths. */
};

static size_t
text_bytes (const char *const *texts, size_t count)
{
	size_t bytes = 0;

	for (size_t i = 0; i < count; i++)
		bytes += texts[i] ? strlen (texts[i]) + 1 : 0;
	return bytes;
}

static char *
texts_copy (const char **to, const char *const *from, size_t count, char *text)
{
	for (size_t i = 0; i < count; i++)
	{
		size_t length;

		to[i] = NULL;
		if (!from[i])
			continue;
		length = strlen (from[i]) + 1;
		memcpy (text, from[i], length);
		to[i] = text;
		text += length;
	}
	return text;
}

int
owner_rows_copy (struct owner_rows *rows, const struct owner_rows *from)
{
	size_t pointers = from->column_count + from->cell_count;
	const char **array =
		malloc (pointers * sizeof *array + text_bytes (from->columns, from->column_count) +
	            text_bytes (from->cells, from->cell_count) + 1);
	char *text;

	if (!array)
		return -ENOMEM;
	text = texts_copy (array, from->columns, from->column_count, (char *) (array + pointers));
	texts_copy (array + from->column_count, from->cells, from->cell_count, text);
	*rows = (struct owner_rows){ .column_count = from->column_count,
		                         .cell_count = from->cell_count,
		                         .columns = array,
		                         .cells = array + from->column_count,
		                         .memory = array };
	return 0;
}

void
owner_rows_finish (struct owner_rows *rows)
{
	free (rows->memory);
	memset (rows, 0, sizeof *rows);
}

static bool
texts_fit (const char *const *texts, size_t count, size_t *bytes)
{
	for (size_t i = 0; i < count; i++)
	{
		size_t length = texts[i] ? strlen (texts[i]) : 0;

		*bytes += length + 12;
		if (length > FS_MAX_TEXT || *bytes > ROWS_MAX_BYTES)
			return false;
	}
	return true;
}

bool
owner_rows_fit (const struct owner_rows *rows)
{
	size_t bytes = 0;

	return rows->column_count <= FS_MAX_COLUMNS && rows->cell_count <= FS_MAX_CELLS &&
	       texts_fit (rows->columns, rows->column_count, &bytes) &&
	       texts_fit (rows->cells, rows->cell_count, &bytes);
}

static void
build_texts (JsonBuilder *builder, const char *name, const char *const *texts, size_t count)
{
	json_builder_set_member_name (builder, name);
	json_builder_begin_array (builder);
	for (size_t i = 0; i < count; i++)
	{
		if (texts[i])
			json_builder_add_string_value (builder, texts[i]);
		else
			json_builder_add_null_value (builder);
	}
	json_builder_end_array (builder);
}

char *
owner_rows_encode (const struct owner_rows *rows)
{
	JsonBuilder *builder = json_builder_new ();
	JsonGenerator *generator = json_generator_new ();
	JsonNode *root;
	char *json;

	json_builder_begin_object (builder);
	build_texts (builder, "columns", rows->columns, rows->column_count);
	build_texts (builder, "cells", rows->cells, rows->cell_count);
	json_builder_end_object (builder);
	root = json_builder_get_root (builder);
	json_generator_set_root (generator, root);
	json = json_generator_to_data (generator, NULL);
	json_node_unref (root);
	g_object_unref (generator);
	g_object_unref (builder);
	return json;
}

/* @return the array of strings and nulls, or NULL when the member is missing or has another
 * type. */
static const char **
read_texts (JsonObject *object, const char *name, size_t *count)
{
	JsonNode *member = json_object_get_member (object, name);
	JsonArray *array;
	const char **texts;

	if (!member || !JSON_NODE_HOLDS_ARRAY (member))
		return NULL;
	array = json_node_get_array (member);
	*count = json_array_get_length (array);
	texts = calloc (*count + 1, sizeof *texts);
	for (size_t i = 0; texts && i < *count; i++)
	{
		JsonNode *node = json_array_get_element (array, (guint) i);

		if (JSON_NODE_HOLDS_NULL (node))
			continue;
		texts[i] = JSON_NODE_HOLDS_VALUE (node) ? json_node_get_string (node) : NULL;
		if (!texts[i])
		{
			free (texts);
			return NULL;
		}
	}
	return texts;
}

int
owner_rows_decode (struct owner_rows *rows, const char *json)
{
	JsonParser *parser = json_parser_new ();
	struct owner_rows borrowed = { 0 };
	const char **columns = NULL;
	const char **cells = NULL;
	JsonObject *object = json_load_object (parser, json, strlen (json));
	int result = -EBADMSG;

	if (!object)
		goto out;
	columns = read_texts (object, "columns", &borrowed.column_count);
	cells = read_texts (object, "cells", &borrowed.cell_count);
	if (!columns || !cells)
		goto out;
	borrowed.columns = columns;
	borrowed.cells = cells;
	result = owner_rows_copy (rows, &borrowed);

out:
	free (columns);
	free (cells);
	g_object_unref (parser);
	return result;
}
