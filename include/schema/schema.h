/**
 * @file
 * Service documents: YAML files in which operators declare a service.
 */
#pragma once

#include "common/findings.h"
#include "decision/request.h"
#include "decision/routing.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	SCHEMA_NAME_BYTES = 64,
	SCHEMA_MAX_PARAMS = 64,
	SCHEMA_MAX_KEYS = 4,
	SCHEMA_KEY_BYTES = 32,
};

struct schema_server
{
	uint32_t ip; /**< IPv4, host byte order. */
	uint16_t port;
	char zone[SCHEMA_NAME_BYTES];
};

struct schema_database
{
	char name[SCHEMA_NAME_BYTES]; /**< Unique among all services. */
	struct schema_server servers[ROUTING_MAX_SERVERS];
	uint32_t server_count;
	uint32_t slots;       /**< Statements that a server runs concurrently. */
	uint32_t connections; /**< Connections that a server allows. */
};

struct schema_rank
{
	uint32_t target_ms;     /**< Target latency; a later response is worth less. */
	uint32_t timeout_ms;    /**< Default time limit of a request. */
	uint32_t floor_percent; /**< Share of slot time guaranteed under load. */
	uint32_t queue_limit;
};

struct schema_tenant
{
	char name[SCHEMA_NAME_BYTES];
	uint32_t weight;
};

struct schema_call
{
	char name[SCHEMA_NAME_BYTES];
	char database[SCHEMA_NAME_BYTES];
	uint32_t database_index;
	bool is_write;
	bool is_idempotent; /**< Writes only; a write that is not idempotent needs a request id. */
	enum rank rank;
	enum read_consistency consistency;
	uint32_t max_age_ms; /**< READ_BOUNDED only. */
	uint32_t
		run_limit_ms; /**< Time limit of a run; a connection whose response is later is closed. */
	uint32_t param_count;
	char *statement;
};

/** Key that authenticates session tokens. The first key signs and all keys verify, so that keys can be rotated. */
struct schema_key
{
	uint32_t id;
	uint8_t secret[SCHEMA_KEY_BYTES];
};

struct schema_service
{
	char name[SCHEMA_NAME_BYTES];
	uint64_t revision; /**< Revision in the platform's store; 0 for a file. */
	struct schema_rank ranks[RANK_COUNT];
	struct schema_key keys[SCHEMA_MAX_KEYS];
	uint32_t key_count;
	struct schema_tenant *tenants;
	size_t tenant_count;
	struct schema_database *databases;
	size_t database_count;
	struct schema_call *calls; /**< Sorted by name. */
	size_t call_count;
};

/** Parses and validates one service document. Adds every problem to @p findings with its line and column.
 * @return 0, -EINVAL when there are findings, or -ENOMEM. */
int schema_service_init (struct schema_service *service, const char *source, const char *text,
                         size_t length, struct findings *findings);
void schema_service_finish (struct schema_service *service);

const struct schema_call *schema_find_call (const struct schema_service *service, const char *name);
const struct schema_database *schema_find_database (const struct schema_service *service,
                                                    const char *name);
/** @return the index, or -ENOENT. */
int schema_find_tenant (const struct schema_service *service, const char *name);
