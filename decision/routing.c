#include "decision/routing.h"

enum
{
	/* Candidates whose costs differ by less than this share the load, since the difference is
	 * within the error of the estimates. Well below the 8 to 10 ms between zones. */
	ROUTING_EQUAL_US = 2000,
	/* Penalty for a server that is not known to hold the required position: a wrong guess costs a
	 * second attempt. Above ROUTING_EQUAL_US, so that a server with a known position wins among
	 * near equals. */
	ROUTING_GUESS_US = 3000,
	ROUTING_GUESS_LAG_DIVISOR = 8, /* The jitter of the lag is usually one eighth of it. */
};

struct routing_candidate
{
	bool is_usable;
	int64_t wait_us; /* Until the server should satisfy the token and the age. */
	int64_t cost_us; /* Round trip, queue, wait and the penalty for a guess. */
	int64_t time_us; /* The cost without the penalty. */
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

/* Returns the lag of the replica that completes a majority. A write is acknowledged once that
 * replica has it, so replica i receives it about lag(i) minus this lag after the
 * acknowledgement. */
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

/* Estimates the wait until a replica holds the required position; 0 when it has or may have it. */
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
	/* A report from after the expected time that still lacks the position shows that the lag
	 * estimate was too low. The remaining time is then estimated as the time by which it is
	 * overdue. */
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

/* Estimates the wait in a server's queue: the reported wait minus the time since the report.
 * Without this decay a server that reported a long queue would get no more requests, and so would
 * never report a shorter one. */
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
		/* A replica's data is at least as old as its lag, however often its owner polls. */
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

/* Picks the candidate with the lowest cost; the seed selects among those of nearly equal cost.
 * Candidates that have to wait are considered only when may_wait is set. */
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
	/* No server is expected to answer in time, but the estimates may be wrong, and an owner that
	 * refuses gives a retry hint. Replicas are still preferred, since reads that overload the
	 * primary would delay writes. */
	if (found < 0)
		found = routing_pick (candidates, count, true, INT64_MAX, seed);
	if (found < 0)
		found = primary;
	if (found < 0)
		return (struct routing_choice){ .action = ROUTE_NONE };
	return routing_result (candidates, found);
}

/* Tells whether the server should reach the required position before the deadline at its present
 * lag. A write of unknown time is taken as acknowledged just now, so that a replica far behind
 * refuses early enough for the read to go elsewhere. */
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
		/* A primary receives no entries from other servers, so it was replaced in a higher term,
		 * unless it has not reported a position yet. */
		if (server->is_primary && server->position_at_us != 0)
			return needs_primary ? CHECK_NOT_PRIMARY : CHECK_BEHIND;
		return routing_can_catch_up (server, request, now_us) ? CHECK_WAIT : CHECK_BEHIND;
	}
	if (request->consistency == READ_BOUNDED && !routing_age_is_met (server, request, now_us))
	{
		/* The primary's present state reaches the replica one lag later, and is then that old. */
		int64_t age_us = server->is_primary ? 0 : server->lag_us;

		if (age_us > request->max_age_us ||
		    now_us + server->link_us + age_us > request->deadline_us)
			return CHECK_TOO_OLD;
		return CHECK_WAIT;
	}
	return CHECK_SERVE;
}
