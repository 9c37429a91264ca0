/**
 * @file
 * Reads typed values from a YAML document and reports every error with its line and column.
 */
#pragma once

#include "common/findings.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <yaml.h>

struct yaml_reader
{
	yaml_document_t document;
	const char *source;
	struct findings *findings;
	bool has_document;
};

/** Parses the single document in @p text. @return 0, or -EINVAL with a finding. */
int yaml_reader_init (struct yaml_reader *reader, const char *source, const char *text,
                      size_t length, struct findings *findings);
void yaml_reader_finish (struct yaml_reader *reader);

yaml_node_t *yaml_reader_root (struct yaml_reader *reader);

/** Adds a finding at @p node. */
void yaml_reader_report (struct yaml_reader *reader, const yaml_node_t *node, const char *subject,
                         const char *format, ...) __attribute__ ((format (printf, 4, 5)));

/** Reports keys that are unknown (not in @p keys) or duplicate, and a node that is not a mapping.
 * @return whether @p node is a mapping. */
bool yaml_reader_check_mapping (struct yaml_reader *reader, const yaml_node_t *node,
                                const char *subject, const char *const *keys);

/** Value of @p key in a mapping; NULL when absent. */
yaml_node_t *yaml_reader_find (struct yaml_reader *reader, const yaml_node_t *mapping,
                               const char *key);

/** Counts the items of a sequence; reports a node that is not a sequence. @return the count. */
size_t yaml_reader_sequence_length (struct yaml_reader *reader, const yaml_node_t *node,
                                    const char *subject);
yaml_node_t *yaml_reader_item (struct yaml_reader *reader, const yaml_node_t *sequence, size_t at);

/** Text of a scalar. Reports a missing key or a node of another type and returns NULL then. */
const char *yaml_reader_text (struct yaml_reader *reader, const yaml_node_t *mapping,
                              const char *key, const char *subject);

/** Like yaml_reader_text(), for a name of letters, digits, '_' and '-' that fits into @p name.
 * @return whether the name is valid. */
bool yaml_reader_name (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                       const char *subject, char *name, size_t capacity);

/** Number from @p min to @p max. @return @p fallback when the key is absent or, with a finding, when the
 * number is invalid or a required key is missing. */
uint32_t yaml_reader_number (struct yaml_reader *reader, const yaml_node_t *mapping,
                             const char *key, const char *subject, uint32_t min, uint32_t max,
                             uint32_t fallback, bool is_required);

/** true or false; @p fallback when the key is absent. */
bool yaml_reader_bool (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                       const char *subject, bool fallback);

/** Index of the scalar's text in @p choices (ends with NULL), or @p fallback when the key is absent.
 * @return -1, with a finding, for any other text. */
int yaml_reader_choice (struct yaml_reader *reader, const yaml_node_t *mapping, const char *key,
                        const char *subject, const char *const *choices, int fallback);
