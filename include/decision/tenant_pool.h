/**
 * @file
 * Shares a server's connections among tenants. Does no I/O.
 *
 * A connection belongs to one tenant, and a new one takes a slot of the server for some time. Load pattern: more tenants
 * than connections, a few of them with most of the statements. The tenants' statements must not wait for places that others
 * leave idle, and connections must not be opened and closed all the time.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Rate of a tenant's statements; zero before the first one. */
struct tenant_demand
{
	double per_s; /**< At @c updated_us. */
	int64_t updated_us;
};

void tenant_demand_add (struct tenant_demand *demand, int64_t now_us);
/** Rate per second, which falls while there are no statements. */
double tenant_demand_at (const struct tenant_demand *demand, int64_t now_us);

/** A tenant's connections to one server, and its statements. Each connection is counted once. */
struct tenant_pool_row
{
	uint32_t idle;
	uint32_t busy; /**< Running statements and transactions. */
	uint32_t
		running; /**< Statements that hold a slot; their connections are among the busy ones. */
	uint32_t returning; /**< Idle again after a probe or a rollback. */
	uint32_t opening;
	uint32_t waiting; /**< Statements in the queue. */
	int64_t idle_us;  /**< Since when its longest idle connection is idle. */
	double demand_per_s;
};

struct tenant_pool
{
	const struct tenant_pool_row *rows;
	size_t count;
	uint32_t limit; /**< Connections to the server, at least 1. */
	uint32_t
		slots; /**< Statements and new connections that the server handles at once, at least 1. */
	int64_t hold_us; /**< Usual time of a statement. */
};

enum tenant_pool_action
{
	TENANT_POOL_NOTHING, /**< What it has or opens covers its statements, or enough is being opened. */
	TENANT_POOL_NO_PLACE, /**< It needs a connection, but all places are in use. */
	TENANT_POOL_OPEN,
	TENANT_POOL_REPLACE, /**< Close the longest idle connection of the victim, and open. */
};

struct tenant_pool_decision
{
	enum tenant_pool_action action;
	size_t victim; /**< Row, if a connection is replaced. */
};

/**
 * Decides for a tenant (row @p asker) that has a statement at its turn in the queue and no idle connection.
 *
 * The victim is the tenant whose next connection is expected to be used least. It has no waiting statements, unless the
 * asker has no connection at all and the victim more than its equal share.
 */
struct tenant_pool_decision tenant_pool_decide (const struct tenant_pool *pool, size_t asker);

/**
 * Whether a tenant leaves an idle connection to another one that waits for a place (row @p starved) and has none.
 *
 * Load pattern: a tenant with a backlog takes each of its connections again as soon as it becomes idle, and the statements of
 * a tenant without connections, which are behind in the queue, never see one that can be replaced.
 */
bool tenant_pool_yields (const struct tenant_pool *pool, size_t taker, size_t starved);

/** New connections that a server handles at the same time; the other slots are for statements. */
uint32_t tenant_pool_max_opening (uint32_t slots);

/** Limit of connections that a server has shown by refusing one; zero before that. */
struct tenant_pool_limit
{
	uint32_t lowered;
	int64_t until_us;
};

/** The server has refused a connection while @p open others were open. */
void tenant_pool_limit_refuse (struct tenant_pool_limit *limit, uint32_t open, int64_t now_us);
uint32_t tenant_pool_limit_at (const struct tenant_pool_limit *limit, uint32_t configured,
                               int64_t now_us);

/** Rank of a server for a tenant's reads: all VMs prefer the server with the highest rank. */
uint64_t tenant_pool_rank (const char *tenant, const char *server);
/** Advantage in microseconds of the preferred server for a tenant with @p per_s statements of this VM. */
int64_t tenant_pool_preference_us (double per_s);
