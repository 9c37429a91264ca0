/**
 * @file
 * Decoders of the documents in the platform's key-value store, and their keys.
 */
#pragma once

#include "flamingospring/platform.h"
#include "gateway/directory.h"

#include <stdbool.h>

/** Prefix of the keys that operators write, and the key of their configuration. */
extern const char documents_operator_prefix[];
extern const char documents_configuration_key[];

/** HTTP path on which the platform polls whether this VM accepts callers. */
extern const char documents_readiness_path[];

/** Prefix of the keys of server entries; the rest of a key is the server's id. */
extern const char documents_server_prefix[];

/** Whether the text is one word of a message to a server or of a record, and needs no escapes in JSON or in the head of a
 * request. */
bool documents_is_word (const char *text);
bool documents_has_control_character (const char *text);

/** Decodes the operators' configuration. @return a new configuration, or NULL when it is malformed. */
struct configuration *documents_decode_configuration (const char *value, size_t length);

/** Decodes a server entry. @return 0, or -EBADMSG when it is malformed or describes no usable server. */
int documents_decode_server (const struct platform_pair *pair, struct server_entry *entry);
