#include "decision/own_commits.h"

#include <string.h>

/** @return the index of the log's commit, or the number of commits. */
static uint32_t
find_log (const struct own_commits *commits, uint32_t log)
{
	uint32_t i = 0;

	while (i < commits->count && commits->commits[i].log != log)
		i++;
	return i;
}

void
own_commits_add (struct own_commits *commits, const struct own_commit *commit)
{
	uint32_t i = find_log (commits, commit->log);

	if (i == OWN_COMMITS_LOGS)
	{
		i--;
		if (commits->commits[i].answered_us > commits->dropped_us)
			commits->dropped_us = commits->commits[i].answered_us;
	}
	else if (i == commits->count)
		commits->count++;
	memmove (&commits->commits[1], &commits->commits[0], i * sizeof commits->commits[0]);
	commits->commits[0] = *commit;
}

struct own_commits_bound
own_commits_find (const struct own_commits *commits, uint32_t log, uint64_t change,
                  int64_t changed_us)
{
	uint32_t i = find_log (commits, log);
	const struct own_commit *commit = &commits->commits[i];

	if (i == commits->count)
		return (struct own_commits_bound){ .since_us = commits->dropped_us };
	if (commit->change != change)
		return (struct own_commits_bound){ .since_us = changed_us };
	if (commit->position.term == 0)
		return (struct own_commits_bound){ .since_us = commit->answered_us };
	return (struct own_commits_bound){ .position = commit->position };
}
