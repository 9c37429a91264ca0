/**
 * @file
 * Positions of one session's commits in the logs of several services, which its later reads must see.
 *
 * A position is comparable only with positions of the same log: the route of a session may move to another service and
 * back, and both services may have the same terms, indexes and numbers of records. Does no I/O.
 */
#pragma once

#include "decision/position.h"

#include <stdint.h>

enum
{
	/** Logs with a position of their own; of the others, the time of the last commit is kept. */
	OWN_COMMITS_LOGS = 4,
};

struct own_commit
{
	uint32_t log;                 /**< Number of the service. */
	uint64_t change;              /**< Number of the service's primary record at the commit. */
	struct log_position position; /**< Position in the server's answer; { 0, 0 }: it had none. */
	int64_t answered_us;          /**< When the server's answer arrived. */
};

struct own_commits
{
	struct own_commit commits[OWN_COMMITS_LOGS]; /**< Last commit in each log, the latest first. */
	uint32_t count;
	int64_t dropped_us; /**< Latest answer of a commit that is not kept; 0: all are. */
};

/** What a read must see of a session's commits in one log. */
struct own_commits_bound
{
	struct log_position position; /**< { 0, 0 }: none. */
	/** A position of the present primary counts only if it was asked for then or later. */
	int64_t since_us;
};

void own_commits_add (struct own_commits *commits, const struct own_commit *commit);

/**
 * @param change number of the service's present primary record.
 * @param changed_us when that record was adopted. A promotion may have rolled a commit back, so that a position which the
 * new primary has reported since is enough.
 */
struct own_commits_bound own_commits_find (const struct own_commits *commits, uint32_t log,
                                           uint64_t change, int64_t changed_us);
