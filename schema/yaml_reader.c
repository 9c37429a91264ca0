#include "schema/yaml_reader.h"

#include <ctype.h>
#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum
{
	YAML_MAX_DEPTH = 64, /* Mappings and sequences inside each other. */
};

/** Whether the text is nested too deeply, up to its first error. libyaml's time grows with the square of the depth. */
static bool
is_too_deep (const char *text, size_t length, struct findings *findings, const char *source)
{
	yaml_parser_t parser;
	yaml_event_t event;
	unsigned depth = 0;
	bool is_over = false;

	if (!yaml_parser_initialize (&parser))
		return false;
	yaml_parser_set_input_string (&parser, (const unsigned char *) text, length);
	while (!is_over && depth <= YAML_MAX_DEPTH && yaml_parser_parse (&parser, &event))
	{
		if (event.type == YAML_SEQUENCE_START_EVENT || event.type == YAML_MAPPING_START_EVENT)
			depth++;
		else if (event.type == YAML_SEQUENCE_END_EVENT || event.type == YAML_MAPPING_END_EVENT)
			depth--;
		is_over = event.type == YAML_STREAM_END_EVENT;
		if (depth > YAML_MAX_DEPTH)
			findings_add (findings, source, (unsigned) event.start_mark.line + 1,
			              (unsigned) event.start_mark.column + 1, "", "nested too deeply");
		yaml_event_delete (&event);
	}
	yaml_parser_delete (&parser);
	return depth > YAML_MAX_DEPTH;
}

int
yaml_reader_init (struct yaml_reader *reader, const char *source, const char *text, size_t length,
                  struct findings *findings)
{
	yaml_parser_t parser;

	memset (reader, 0, sizeof *reader);
	reader->source = source;
	reader->findings = findings;
	if (is_too_deep (text, length, findings, source))
		return -EINVAL;
	if (!yaml_parser_initialize (&parser))
		return -ENOMEM;
	yaml_parser_set_input_string (&parser, (const unsigned char *) text, length);
	reader->has_document = yaml_parser_load (&parser, &reader->document);
	if (!reader->has_document)
		findings_add (findings, source, (unsigned) parser.problem_mark.line + 1,
		              (unsigned) parser.problem_mark.column + 1, "", "not valid YAML: %s",
		              parser.problem ? parser.problem : "unreadable");
	else if (!yaml_document_get_root_node (&reader->document))
		findings_add (findings, source, 1, 1, "", "the document is empty");
	yaml_parser_delete (&parser);
	return reader->has_document && yaml_reader_root (reader) ? 0 : -EINVAL;
}

void
yaml_reader_finish (struct yaml_reader *reader)
{
	if (reader->has_document)
		yaml_document_delete (&reader->document);
	reader->has_document = false;
}

yaml_node_t *
yaml_reader_root (struct yaml_reader *reader)
{
	return yaml_document_get_root_node (&reader->document);
}

void
yaml_reader_report (struct yaml_reader *reader, const yaml_node_t *node, const char *subject,
                    const char *format, ...)
{
	char message[512];
	va_list args;

	va_start (args, format);
	vsnprintf (message, sizeof message, format, args);
	va_end (args);
	findings_add (reader->findings, reader->source, (unsigned) node->start_mark.line + 1,
	              (unsigned) node->start_mark.column + 1, subject, "%s", message);
}

static const char *
scalar_text (const yaml_node_t *node)
{
	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *) node->data.scalar.value;
}

static bool
is_key_known (const char *key, const char *const *keys)
{
	for (; *keys; keys++)
	{
		if (strcmp (key, *keys) == 0)
			return true;
	}
	return false;
}

static bool
is_key_repeated (struct yaml_reader *reader, const yaml_node_t *mapping,
                 const yaml_node_pair_t *pair, const char *key)
{
	for (yaml_node_pair_t *other = mapping->data.mapping.pairs.start; other < pair; other++)
	{
		const char *name = scalar_text (yaml_document_get_node (&reader->document, other->key));

		if (name && strcmp (name, key) == 0)
			return true;
	}
	return false;
}

bool
yaml_reader_check_mapping (struct yaml_reader *reader, const yaml_node_t *node, const char *subject,
                           const char *const *keys)
{
	if (node->type != YAML_MAPPING_NODE)
	{
		yaml_reader_report (reader, node, subject, "a mapping is expected");
		return false;
	}
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++)
	{
		yaml_node_t *key_node = yaml_document_get_node (&reader->document, pair->key);
		const char *key = scalar_text (key_node);

		if (!key || !is_key_known (key, keys))
			yaml_reader_report (reader, key_node, subject, "unknown key \"%s\"", key ? key : "?");
		else if (is_key_repeated (reader, node, pair, key))
			yaml_reader_report (reader, key_node, subject, "key \"%s\" stands twice", key);
	}
	return true;
}

yaml_node_t *
yaml_reader_find (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key)
{
	if (mapping->type != YAML_MAPPING_NODE)
		return NULL;
	for (yaml_node_pair_t *pair = mapping->data.mapping.pairs.start;
	     pair < mapping->data.mapping.pairs.top; pair++)
	{
		const char *name = scalar_text (yaml_document_get_node (&reader->document, pair->key));

		if (name && strcmp (name, key) == 0)
			return yaml_document_get_node (&reader->document, pair->value);
	}
	return NULL;
}

size_t
yaml_reader_sequence_length (struct yaml_reader *reader, const yaml_node_t *node,
                             const char *subject)
{
	if (node->type != YAML_SEQUENCE_NODE)
	{
		yaml_reader_report (reader, node, subject, "a sequence is expected");
		return 0;
	}
	return (size_t) (node->data.sequence.items.top - node->data.sequence.items.start);
}

yaml_node_t *
yaml_reader_item (struct yaml_reader *reader, const yaml_node_t *sequence, size_t at)
{
	return yaml_document_get_node (&reader->document, sequence->data.sequence.items.start[at]);
}

const char *
yaml_reader_text (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                  const char *subject)
{
	yaml_node_t *node = yaml_reader_find (reader, mapping, key);
	const char *text = scalar_text (node);

	if (!node)
		yaml_reader_report (reader, mapping, subject, "key \"%s\" is missing", key);
	else if (!text)
		yaml_reader_report (reader, node, subject, "\"%s\" must be a scalar", key);
	return text;
}

bool
yaml_reader_name (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                  const char *subject, char *name, size_t capacity)
{
	const char *text = yaml_reader_text (reader, mapping, key, subject);
	size_t length;

	if (!text)
		return false;
	length = strlen (text);
	if (length == 0 || length >= capacity)
	{
		yaml_reader_report (reader, yaml_reader_find (reader, mapping, key), subject,
		                    "\"%s\" must have 1 to %zu characters", key, capacity - 1);
		return false;
	}
	for (const char *c = text; *c; c++)
	{
		if (isalnum ((unsigned char) *c) || *c == '_' || *c == '-')
			continue;
		yaml_reader_report (reader, yaml_reader_find (reader, mapping, key), subject,
		                    "\"%s\" may contain only letters, digits, '_' and '-'", key);
		return false;
	}
	memcpy (name, text, length + 1);
	return true;
}

static bool
parse_number (const char *text, unsigned long long *value)
{
	char *end;

	if (!text || !isdigit ((unsigned char) text[0]))
		return false;
	errno = 0;
	*value = strtoull (text, &end, 10);
	return *end == 0 && errno == 0;
}

uint32_t
yaml_reader_number (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                    const char *subject, uint32_t min, uint32_t max, uint32_t fallback,
                    bool is_required)
{
	yaml_node_t *node = yaml_reader_find (reader, mapping, key);
	const char *text = scalar_text (node);
	unsigned long long value;

	if (!node)
	{
		if (is_required)
			yaml_reader_report (reader, mapping, subject, "key \"%s\" is missing", key);
		return fallback;
	}
	if (!parse_number (text, &value) || value < min || value > max)
	{
		yaml_reader_report (reader, node, subject, "\"%s\" must be a number from %u to %u", key,
		                    min, max);
		return fallback;
	}
	return (uint32_t) value;
}

bool
yaml_reader_bool (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                  const char *subject, bool fallback)
{
	static const char *const choices[] = { "false", "true", NULL };

	return yaml_reader_choice (reader, mapping, key, subject, choices, fallback) == 1;
}

int
yaml_reader_choice (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                    const char *subject, const char *const *choices, int fallback)
{
	yaml_node_t *node = yaml_reader_find (reader, mapping, key);
	const char *text = scalar_text (node);
	char list[256] = "";

	if (!node)
		return fallback;
	for (int i = 0; choices[i]; i++)
	{
		if (text && strcmp (text, choices[i]) == 0)
			return i;
		if (i > 0)
			strncat (list, ", ", sizeof list - strlen (list) - 1);
		strncat (list, choices[i], sizeof list - strlen (list) - 1);
	}
	yaml_reader_report (reader, node, subject, "\"%s\" must be one of: %s", key, list);
	return -1;
}
