#include "decision/tenant_pool.h"

#include "common/clock.h"

#include <string.h>
#include <xxhash.h>

enum
{
	/* Memory of the rate of statements. The smallest tenants send one to a server in several seconds. */
	DEMAND_MEMORY_US = 20 * US_PER_S,
	/* Divides the slots for new connections, so that statements go on meanwhile. */
	OPENING_DIVISOR = 2,
	/* A server counts the connections of a VM that lost power for 3 s more. */
	LOWERED_LIMIT_US = 3 * US_PER_S,
	/* A third of a new connection: smaller than the difference between zones, larger than that of two lightly loaded
	 * servers. */
	PREFERENCE_US = 4 * US_PER_MS,
};

double
tenant_demand_at (const struct tenant_demand *demand, int64_t now_us)
{
	double idle = (double) (now_us - demand->updated_us) / DEMAND_MEMORY_US;

	return demand->per_s / (1 + (idle > 0 ? idle : 0));
}

void
tenant_demand_add (struct tenant_demand *demand, int64_t now_us)
{
	/* With statements at a constant rate, the value before each addition converges to the rate. */
	demand->per_s = tenant_demand_at (demand, now_us) + (double) US_PER_S / DEMAND_MEMORY_US;
	demand->updated_us = now_us;
}

uint32_t
tenant_pool_max_opening (uint32_t slots)
{
	return slots >= OPENING_DIVISOR ? slots / OPENING_DIVISOR : 1;
}

static uint32_t
held_count (const struct tenant_pool_row *row)
{
	return row->idle + row->busy + row->returning + row->opening;
}

struct totals
{
	uint32_t held;
	uint32_t running;
	uint32_t opening;
	uint32_t active; /* Tenants that use or need a connection. */
};

static struct totals
add_rows (const struct tenant_pool *pool)
{
	struct totals totals = { 0 };

	for (size_t i = 0; i < pool->count; i++)
	{
		const struct tenant_pool_row *row = &pool->rows[i];

		totals.held += held_count (row);
		totals.running += row->running;
		totals.opening += row->opening;
		totals.active += row->busy + row->opening + row->waiting > 0;
	}
	return totals;
}

/**
 * Statements per second that the tenant's last connection is expected to run: those that find all others busy (Erlang's
 * loss formula).
 */
static double
expected_use (const struct tenant_pool_row *row, int64_t hold_us)
{
	double load = row->demand_per_s * (double) hold_us / US_PER_S;
	double blocked = 1;

	for (uint32_t i = 1; i < held_count (row); i++)
		blocked = load * blocked / (i + load * blocked);
	return row->demand_per_s * blocked;
}

/** Whether the tenant holds more than an equal share for each tenant that uses or needs connections. */
static bool
exceeds_share (const struct tenant_pool *pool, const struct tenant_pool_row *row,
               const struct totals *totals)
{
	uint32_t share = totals->active > 0 ? pool->limit / totals->active : pool->limit;

	return held_count (row) > (share > 0 ? share : 1);
}

/** @return the row with the least expected use, or the number of rows if there is none. */
static size_t
find_victim (const struct tenant_pool *pool, size_t asker, bool has_backlog,
             const struct totals *totals)
{
	size_t best = pool->count;
	double best_use = 0;

	for (size_t i = 0; i < pool->count; i++)
	{
		const struct tenant_pool_row *row = &pool->rows[i];
		double use;

		if (i == asker || row->idle == 0 || (row->waiting > 0) != has_backlog ||
		    (has_backlog && !exceeds_share (pool, row, totals)))
			continue;
		use = expected_use (row, pool->hold_us);
		if (best == pool->count || use < best_use ||
		    (use <= best_use && row->idle_us < pool->rows[best].idle_us))
		{
			best = i;
			best_use = use;
		}
	}
	return best;
}

/** Connections that the tenant's waiting statements could use now. */
static uint32_t
count_wanted (const struct tenant_pool *pool, const struct tenant_pool_row *row,
              const struct totals *totals)
{
	uint32_t free_slots = pool->slots > totals->running ? pool->slots - totals->running : 0;

	/* Without a free slot, one connection is opened in advance, unless one of its own will be idle with the slot. */
	if (free_slots == 0 && row->running == 0)
		free_slots = 1;
	return row->waiting < free_slots ? row->waiting : free_slots;
}

struct tenant_pool_decision
tenant_pool_decide (const struct tenant_pool *pool, size_t asker)
{
	const struct tenant_pool_row *row = &pool->rows[asker];
	struct totals totals = add_rows (pool);
	struct tenant_pool_decision decision = { .action = TENANT_POOL_NOTHING, .victim = pool->count };

	/* The state of a server that nobody uses is asked for on its only connection. */
	if (totals.held == 0)
	{
		decision.action = TENANT_POOL_OPEN;
		return decision;
	}
	if (totals.opening >= tenant_pool_max_opening (pool->slots) ||
	    count_wanted (pool, row, &totals) <= row->idle + row->returning + row->opening)
		return decision;
	if (totals.held < pool->limit)
	{
		decision.action = TENANT_POOL_OPEN;
		return decision;
	}
	decision.victim = find_victim (pool, asker, false, &totals);
	if (decision.victim == pool->count && held_count (row) == 0)
		decision.victim = find_victim (pool, asker, true, &totals);
	decision.action = decision.victim < pool->count ? TENANT_POOL_REPLACE : TENANT_POOL_NO_PLACE;
	return decision;
}

bool
tenant_pool_yields (const struct tenant_pool *pool, size_t taker, size_t starved)
{
	struct totals totals = add_rows (pool);

	return taker != starved && pool->rows[starved].waiting > 0 &&
	       held_count (&pool->rows[starved]) == 0 && totals.held >= pool->limit &&
	       totals.opening < tenant_pool_max_opening (pool->slots) &&
	       exceeds_share (pool, &pool->rows[taker], &totals) &&
	       find_victim (pool, starved, false, &totals) == pool->count;
}

void
tenant_pool_limit_refuse (struct tenant_pool_limit *limit, uint32_t open, int64_t now_us)
{
	limit->lowered = open > 0 ? open : 1;
	limit->until_us = now_us + LOWERED_LIMIT_US;
}

uint32_t
tenant_pool_limit_at (const struct tenant_pool_limit *limit, uint32_t configured, int64_t now_us)
{
	return now_us < limit->until_us && limit->lowered < configured ? limit->lowered : configured;
}

uint64_t
tenant_pool_rank (const char *tenant, const char *server)
{
	return XXH64 (server, strlen (server), XXH64 (tenant, strlen (tenant), 0));
}

int64_t
tenant_pool_preference_us (double per_s)
{
	/* A tenant with several statements per second keeps connections to all servers. */
	return (int64_t) (PREFERENCE_US / (1 + per_s));
}
