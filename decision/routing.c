#include "decision/routing.h"

enum
{
	/* Cost differences below this are within the error of the estimates, so that the candidates
	 * count as equal and share the load. Well below the 8 to 10 ms between zones. */
	ROUTING_EQUAL_US = 2000,
	/* A guess about a position costs a second try when it fails. Above ROUTING_EQUAL_US, so that a
	 * known position comes first among near equals. */
	ROUTING_GUESS_US = 3000,
	ROUTING_GUESS_LAG_DIVISOR = 8, /* One eighth of the lag: its usual jitter. */
};

struct routing_candidate
{
	bool is_usable;
	int64_t wait_us; /* Until the server is expected to satisfy token and age. */
	int64_t cost_us; /* Round trip, queue, wait and the risk of a wrong guess. */
	int64_t time_us; /* The cost without the risk. */
};

static bool
routing_is_available (const struct routing_server *server)
{
	return !server->is_down && !server->is_leaving;
}

static bool
routing_is_excluded (const struct routing_request *request, size_t at)
{
	return (request->excluded >> at & 1) != 0;
}

/* Lag of the last replica that was needed for a majority. A write is acknowledged when that replica
 * has it, so replica i follows about lag (i) minus this lag later. */
static int64_t
routing_majority_lag_us (const struct routing_server *servers, size_t count)
{
	uint32_t sorted[ROUTING_MAX_SERVERS];
	size_t replicas = 0;
	size_t needed = count / 2;

	for (size_t i = 0; i < count; i++)
	{
		size_t at = replicas;

		if (servers[i].is_primary || servers[i].is_down)
			continue;
		for (; at > 0 && sorted[at - 1] > servers[i].lag_us; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = servers[i].lag_us;
		replicas++;
	}
	if (replicas == 0 || needed == 0)
		return 0;
	return sorted[needed <= replicas ? needed - 1 : replicas - 1];
}

/* Expected wait until a replica holds the required position; 0 when it has it or may have it. */
static int64_t
routing_token_wait_us (const struct routing_server *server, const struct routing_request *request,
                       int64_t majority_lag_us, int64_t now_us)
{
	int64_t after_us = (int64_t) server->lag_us - majority_lag_us;
	int64_t expected_at_us;

	if (log_position_covers (server->position, request->required))
		return 0;
	if (server->position_at_us == 0)
		return 0;
	if (after_us < 0)
		after_us = 0;
	if (request->required_at_us == 0)
		expected_at_us = server->position_at_us + server->lag_us;
	else
		expected_at_us = request->required_at_us + after_us;
	/* A report later than the expected time that still lacks the position proves the lag wrong. The
	 * time it is overdue estimates the time it will still take. */
	if (server->position_at_us > expected_at_us && request->required_at_us != 0)
	{
		int64_t overdue_us = server->position_at_us - expected_at_us;

		expected_at_us = server->position_at_us + overdue_us + server->lag_us / 2;
	}
	return expected_at_us > now_us ? expected_at_us - now_us : 0;
}

static bool
routing_age_is_met (const struct routing_server *server, const struct routing_request *request,
                    int64_t now_us)
{
	return server->fresh_at_us != 0 && now_us - server->fresh_at_us <= request->max_age_us;
}

/* Expected wait in the queue of a server: what it reported, less the time since then. Otherwise a
 * server that nobody asks any more would keep its last, long queue for ever. */
static int64_t
routing_queue_us (const struct routing_server *server, int64_t now_us)
{
	int64_t queue_us = server->queue_us;

	if (server->position_at_us != 0)
		queue_us -= now_us - server->position_at_us;
	return queue_us > 0 ? queue_us : 0;
}

static struct routing_candidate
routing_evaluate_replica (const struct routing_server *server,
                          const struct routing_request *request, int64_t majority_lag_us,
                          int64_t now_us)
{
	struct routing_candidate candidate = { 0 };
	bool is_known = log_position_covers (server->position, request->required);

	if (request->consistency == READ_BOUNDED && !routing_age_is_met (server, request, now_us))
	{
		/* A replica is never newer than its lag, however often its owner asks. */
		if (server->lag_us > request->max_age_us)
			return candidate;
		is_known = false;
	}
	candidate.is_usable = true;
	candidate.wait_us = routing_token_wait_us (server, request, majority_lag_us, now_us);
	candidate.time_us = server->link_us + routing_queue_us (server, now_us) + candidate.wait_us;
	candidate.cost_us = candidate.time_us;
	if (!is_known)
		candidate.cost_us += ROUTING_GUESS_US + server->lag_us / ROUTING_GUESS_LAG_DIVISOR;
	return candidate;
}

static int
routing_find_primary (const struct routing_server *servers, size_t count,
                      const struct routing_request *request)
{
	int found = -1;

	for (size_t i = 0; i < count; i++)
	{
		if (!servers[i].is_primary || !routing_is_available (&servers[i]) ||
		    routing_is_excluded (request, i))
			continue;
		if (found < 0 || log_position_compare (servers[i].position, servers[found].position) > 0)
			found = (int) i;
	}
	return found;
}

/* Picks among candidates that wait (or do not), by lowest cost; near equals in turn by seed. */
static int
routing_pick (const struct routing_candidate *candidates, size_t count, bool may_wait,
              int64_t limit_us, uint64_t seed)
{
	int64_t best_us = INT64_MAX;
	uint32_t equal[ROUTING_MAX_SERVERS] = { 0 };
	uint32_t equals = 0;

	for (size_t i = 0; i < count; i++)
		if (candidates[i].is_usable && (may_wait || candidates[i].wait_us == 0) &&
		    candidates[i].time_us <= limit_us && candidates[i].cost_us < best_us)
			best_us = candidates[i].cost_us;
	for (size_t i = 0; i < count; i++)
		if (candidates[i].is_usable && (may_wait || candidates[i].wait_us == 0) &&
		    candidates[i].time_us <= limit_us &&
		    candidates[i].cost_us <= best_us + ROUTING_EQUAL_US)
			equal[equals++] = (uint32_t) i;
	return equals > 0 ? (int) equal[seed % equals] : -1;
}

static struct routing_choice
routing_result (const struct routing_candidate *candidates, int server)
{
	int64_t wait_us = candidates[server].wait_us;

	if (wait_us > UINT32_MAX)
		wait_us = UINT32_MAX;
	return (struct routing_choice){
		.action = wait_us > 0 ? ROUTE_WAIT : ROUTE_SERVE,
		.server = (uint32_t) server,
		.wait_us = (uint32_t) wait_us,
	};
}

struct routing_choice
routing_choose (const struct routing_server *servers, size_t count,
                const struct routing_request *request, uint64_t seed, int64_t now_us)
{
	struct routing_candidate candidates[ROUTING_MAX_SERVERS] = { { 0 } };
	int64_t left_us = request->deadline_us - now_us;
	int64_t majority_lag_us;
	int64_t primary_us;
	int primary;
	int found;

	if (count > ROUTING_MAX_SERVERS)
		count = ROUTING_MAX_SERVERS;
	primary = routing_find_primary (servers, count, request);
	if (request->is_write || request->consistency == READ_PRIMARY)
	{
		if (primary < 0)
			return (struct routing_choice){ .action = ROUTE_NONE };
		return (struct routing_choice){ .action = ROUTE_SERVE, .server = (uint32_t) primary };
	}
	majority_lag_us = routing_majority_lag_us (servers, count);
	for (size_t i = 0; i < count; i++)
		if (!servers[i].is_primary && routing_is_available (&servers[i]) &&
		    !routing_is_excluded (request, i))
			candidates[i] =
				routing_evaluate_replica (&servers[i], request, majority_lag_us, now_us);
	found = routing_pick (candidates, count, false, left_us, seed);
	if (found >= 0)
		return routing_result (candidates, found);
	primary_us = primary < 0
	                 ? INT64_MAX
	                 : servers[primary].link_us + routing_queue_us (&servers[primary], now_us);
	found =
		routing_pick (candidates, count, true, primary_us < left_us ? primary_us : left_us, seed);
	if (found < 0 && primary >= 0 && primary_us <= left_us)
		found = primary;
	/* Nothing is expected in time; the estimates may be wrong, and the owner refuses with a hint. A
	 * replica comes first here too, since reads that overflow a primary would delay writes. */
	if (found < 0)
		found = routing_pick (candidates, count, true, INT64_MAX, seed);
	if (found < 0)
		found = primary;
	if (found < 0)
		return (struct routing_choice){ .action = ROUTE_NONE };
	return routing_result (candidates, found);
}

/* Tells whether the server may hold the required position before the deadline, at the lag seen so
 * far. A write of unknown time counts as acknowledged just now, so that a replica far behind refuses
 * while there is time to read elsewhere. */
static bool
routing_can_catch_up (const struct routing_server *server, const struct routing_request *request,
                      int64_t now_us)
{
	int64_t written_at_us = request->required_at_us != 0 ? request->required_at_us : now_us;
	int64_t expected_at_us = written_at_us + server->lag_us;

	if (expected_at_us < now_us + server->link_us)
		expected_at_us = now_us + server->link_us;
	return expected_at_us <= request->deadline_us;
}

enum routing_check
routing_check_server (const struct routing_server *server, const struct routing_request *request,
                      int64_t now_us)
{
	bool needs_primary = request->is_write || request->consistency == READ_PRIMARY;

	if (needs_primary && !server->is_primary)
		return CHECK_NOT_PRIMARY;
	if (request->is_write)
		return CHECK_SERVE;
	if (!log_position_covers (server->position, request->required))
	{
		/* A primary does not receive entries of others: it was replaced in a higher term, or has
		 * not answered yet. */
		if (server->is_primary && server->position_at_us != 0)
			return needs_primary ? CHECK_NOT_PRIMARY : CHECK_BEHIND;
		return routing_can_catch_up (server, request, now_us) ? CHECK_WAIT : CHECK_BEHIND;
	}
	if (request->consistency == READ_BOUNDED && !routing_age_is_met (server, request, now_us))
	{
		/* What is asked for now is at the replica one lag later, and is then as old as the lag. */
		int64_t age_us = server->is_primary ? 0 : server->lag_us;

		if (age_us > request->max_age_us ||
		    now_us + server->link_us + age_us > request->deadline_us)
			return CHECK_TOO_OLD;
		return CHECK_WAIT;
	}
	return CHECK_SERVE;
}
