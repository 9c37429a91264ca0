/**
 * @file
 * Keys and documents of the platform's store, decoded into the product's types.
 */
#pragma once

#include "flamingospring/platform.h"
#include "gateway/directory.h"

/** Prefix of the operators' keys, and the key of their configuration. */
extern const char documents_operator_prefix[];
extern const char documents_configuration_key[];

/** Path on which the platform asks whether this VM takes callers. */
extern const char documents_readiness_path[];

/** Prefix of the servers' entries; the rest of the key is the server's id. */
extern const char documents_server_prefix[];

/** @return a new configuration, or NULL when the document is malformed. */
struct configuration *documents_decode_configuration (const char *value, size_t length);

/** @return 0, -EBADMSG: malformed, names no server to use. */
int documents_decode_server (const struct platform_pair *pair, struct server_entry *entry);
