/**
 * @file
 * Routes and services of the operators' configuration, and the directory entries of servers.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum route_kind
{
	ROUTE_PRIMARY,           /**< Reads see every acknowledged commit. */
	ROUTE_BOUNDED_STALENESS, /**< Reads see every commit that is older than the route's bound. */
	ROUTE_READ_YOUR_WRITES,  /**< As bounded staleness, and reads see all commits of the session. */
};

struct route
{
	char *database; /**< Database name that callers connect to. */
	char *service;
	enum route_kind kind;
	uint32_t statement_timeout_ms;
	uint32_t target_latency_ms; /**< Target for a whole operation. */
	uint32_t priority;          /**< 0 is the most urgent. */
	uint32_t max_staleness_ms;
	bool is_public; /**< Callers need no key. */
};

/** A customer of the operators, whose callers connect with one of its keys. */
struct tenant
{
	char *name;
	uint32_t key_count;
	bool has_cap;        /**< The two members below limit its operations in the whole fleet. */
	uint32_t rate_per_s; /**< Operations per second. */
	uint32_t burst;      /**< Operations above the rate. */
};

enum
{
	KEY_DIGEST_BYTES = 32, /**< SHA-256. */
};

/** Digest of a caller's key. Keys themselves are not kept. */
struct key_digest
{
	uint8_t bytes[KEY_DIGEST_BYTES];
};

struct database_service
{
	char *name;
	uint32_t max_connections; /**< Limit of one server, shared by all VMs. */
	uint32_t sync_replicas; /**< Replicas that have received a commit before it is acknowledged. */
};

/** One version of the operators' configuration; immutable and reference-counted. */
struct configuration
{
	int references;
	uint64_t version;
	GHashTable *routes;   /**< struct route by database name. */
	GHashTable *services; /**< struct database_service by name. */
	GHashTable *tenants;  /**< struct tenant by name; NULL: the deployment has no tenants. */
	GHashTable *keys;     /**< struct tenant by struct key_digest; NULL as @c tenants. */
	uint32_t transaction_idle_ms;
};

struct configuration *configuration_new (void);
struct configuration *configuration_hold (struct configuration *configuration);
void configuration_release (struct configuration *configuration);
/** Declares that the deployment has tenants, at first none. */
void configuration_enable_tenants (struct configuration *configuration);
/** Takes ownership of @p tenant and replaces one of the same name. */
void configuration_add_tenant (struct configuration *configuration, struct tenant *tenant);
/** Adds a key of a tenant that was added before. A key that an earlier tenant has stays with that one. */
void configuration_add_key (struct configuration *configuration, struct tenant *tenant,
                            const char *key, size_t length);
/** @return the tenant with the key, or NULL. */
const struct tenant *configuration_find_tenant (const struct configuration *configuration,
                                                const struct key_digest *digest);
struct key_digest key_digest_of (const char *key, size_t length);
void route_free (struct route *route);
void database_service_free (struct database_service *service);

/** A server's entry in the platform's directory. */
struct server_entry
{
	char *id;
	char *service;
	char *zone;
	uint32_t ip; /**< Host byte order. */
	uint16_t port;
	uint32_t slots;    /**< Statements that it runs concurrently. */
	uint32_t cold_ms;  /**< Remaining cold time, during which it is slow. */
	uint64_t born_ms;  /**< Wall clock time of its start; 0: not known. */
	uint64_t sequence; /**< Rises with each write of this process; 0: not known. */
	bool is_draining;  /**< It is about to shut down. */
	/** Draining: nothing begins there from then on, by this VM's clock; 0: not known. The platform does not send it. */
	int64_t use_end_us;
	bool reports_primary; /**< The server reports that it is the primary. */
};

/** Whether a server wrote @p entry before it wrote @p known, which has the same id. */
bool server_entry_is_older (const struct server_entry *entry, const struct server_entry *known);

void server_entry_clear (struct server_entry *entry);
void server_entry_copy (struct server_entry *to, const struct server_entry *from);
