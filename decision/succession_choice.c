#include "decision/succession_choice.h"

#include <string.h>

enum
{
	US_PER_MS = 1000,
	/** A log with entries that were given up is used when no other has been found for this time. Crashed servers and
	 * zones that were cut off were back in the directory after 15 s at most. */
	DIVERGED_WAIT_US = 30 * 1000 * US_PER_MS,
};

const struct succession_server *
succession_find_server (const struct succession_input *input, const char *id)
{
	for (size_t i = 0; i < input->server_count; i++)
		if (strcmp (input->servers[i].id, id) == 0)
			return &input->servers[i];
	return NULL;
}

bool
succession_has_final_status (const struct succession *succession,
                             const struct succession_server *server)
{
	return server->has_status && server->status_us > succession->phase_us;
}

static bool
is_candidate (const struct succession *succession, const struct succession_server *server)
{
	return server->is_listed && !server->is_draining &&
	       succession_has_final_status (succession, server) &&
	       strcmp (server->id, succession->failed_target) != 0;
}

/** Whether the server can lead although it ends soon, or although the platform did not make it the primary before. */
static bool
is_reserve (const struct succession *succession, const struct succession_server *server)
{
	return server->is_listed && !is_candidate (succession, server) &&
	       succession_has_final_status (succession, server);
}

bool
succession_leads_already (const struct succession *succession,
                          const struct succession_server *server)
{
	enum
	{
		MAX_CLAIMS = 2, /* The present one and the one that was carried out. */
	};

	return succession->record.claims <= MAX_CLAIMS && succession->record.term > 0 &&
	       server->is_primary && server->term > succession->record.term &&
	       strcmp (server->id, succession->record.primary) != 0;
}

/**
 * Prefers a server that already leads, then the latest term, then the longest log. Positions are comparable only between
 * servers of the same term: the log of an earlier one may have a higher position and lack commits of the later primary.
 */
static bool
is_better (const struct succession *succession, const struct succession_server *server,
           const struct succession_server *best)
{
	bool leads = succession_leads_already (succession, server);
	bool best_leads = best && succession_leads_already (succession, best);

	if (!best || leads != best_leads)
		return !best || leads;
	if (server->term != best->term)
		return server->term > best->term;
	return log_position_compare (server->received, best->received) > 0;
}

/** Whether the server's log has entries that an earlier promotion has given up. */
static bool
has_diverged (const struct succession *succession, const struct succession_server *server)
{
	return !succession_leads_already (succession, server) &&
	       !term_history_contains (&succession->record.terms, server->received);
}

static uint64_t
find_latest_term (const struct succession *succession, const struct succession_input *input)
{
	uint64_t term = succession->record.term;

	for (size_t i = 0; i < input->server_count; i++)
		if (input->servers[i].has_status && input->servers[i].term > term)
			term = input->servers[i].term;
	return term;
}

/**
 * Tells whether the server has answered since the old primary is out of use, be it in an earlier claim of this change: it can
 * have received no acknowledged commit since then.
 */
static bool
has_known_log (const struct succession *succession, const struct succession_server *server)
{
	return server->has_status && succession->stopped_us > 0 &&
	       server->status_us > succession->stopped_us;
}

/** Counts a server that is not chosen as well: it may hold commits that the chosen one lacks. */
static void
count_server (const struct succession *succession, const struct succession_server *server,
              struct succession_choice *choice)
{
	bool is_old = strcmp (server->id, succession->record.primary) == 0;
	bool is_final = succession_has_final_status (succession, server);
	bool is_known = !is_old && has_known_log (succession, server);

	choice->unknown += server->is_listed && !is_final;
	choice->holders += server->is_listed && is_final && server->term >= choice->max_term &&
	                   !has_diverged (succession, server);
	choice->known += is_known;
	if (is_known && server->term >= choice->max_term && !has_diverged (succession, server) &&
	    !log_position_covers (choice->held, server->received))
		choice->held = server->received;
	choice->missing += !is_old && server->is_listed && !is_final && !server->is_unreachable;
}

/**
 * Whether a reserve is worth a second change of primary, which follows at once. With synchronous replicas no acknowledged
 * commit may be given up. Otherwise it has to have time to pass its log on before it ends.
 */
static bool
is_worth_leading (const struct succession_input *input, const struct succession_server *reserve,
                  int64_t now_us)
{
	return input->sync_replicas > 0 || (reserve->is_draining && now_us < reserve->lead_end_us);
}

struct succession_choice
succession_choose (const struct succession *succession, const struct succession_input *input,
                   int64_t now_us)
{
	bool is_late = now_us - succession->phase_us > SUCCESSION_CHOICE_TIMEOUT_US;
	bool may_diverge =
		succession->changing_us > 0 && now_us - succession->changing_us > DIVERGED_WAIT_US;
	struct succession_choice choice = { .max_term = find_latest_term (succession, input) };
	const struct succession_server *best_behind = NULL;
	const struct succession_server *best_diverged = NULL;
	const struct succession_server *reserve = NULL;

	for (size_t i = 0; i < input->server_count; i++)
	{
		const struct succession_server *server = &input->servers[i];
		bool is_old = strcmp (server->id, succession->record.primary) == 0;

		count_server (succession, server, &choice);
		/* The old primary may lead again when there is no other candidate. */
		if (is_old && (succession->is_planned || !is_late || choice.best))
			continue;
		if (is_reserve (succession, server) && server->term >= choice.max_term &&
		    !has_diverged (succession, server) && is_better (succession, server, reserve))
			reserve = server;
		if (!is_candidate (succession, server))
			continue;
		if (has_diverged (succession, server))
			best_diverged = is_better (succession, server, best_diverged) ? server : best_diverged;
		else if (server->term < choice.max_term)
			best_behind = is_better (succession, server, best_behind) ? server : best_behind;
		else if (is_better (succession, server, choice.best))
			choice.best = server;
	}
	if (!choice.best && choice.unknown == 0 && choice.holders == 0)
		choice.best = best_behind || !may_diverge ? best_behind : best_diverged;
	if (reserve &&
	    (!choice.best || (is_worth_leading (input, reserve, now_us) &&
	                      !log_position_covers (choice.best->received, reserve->received))))
		choice.reserve = reserve;
	choice.is_behind =
		!choice.best && ((best_behind && choice.unknown > 0) || (best_diverged && !best_behind));
	return choice;
}

/** Tells whether the server has left and the one that has its log now counts in its place. */
static bool
is_replaced (const struct succession_input *input, const struct succession_server *server)
{
	if (server->is_listed || !server->has_announced_end)
		return false;
	for (size_t i = 0; i < input->server_count; i++)
		if (input->servers[i].is_listed && input->servers[i].address == server->address)
			return true;
	return false;
}

/**
 * Number of replicas that may hold acknowledged commits and whose logs are not known. One that has left cannot be asked; it
 * need not be if @p best holds all that it can have received.
 */
static size_t
count_unknown_logs (const struct succession *succession, const struct succession_input *input,
                    const struct succession_server *best)
{
	size_t unknown = 0;

	for (size_t i = 0; i < input->server_count; i++)
	{
		const struct succession_server *server = &input->servers[i];
		bool is_old = strcmp (server->id, succession->record.primary) == 0;
		bool is_covered = server->has_left && !server->is_listed &&
		                  log_position_covers (best->received, server->left_position);

		unknown += !is_old && !is_covered && !is_replaced (input, server) &&
		           !has_known_log (succession, server);
	}
	return unknown;
}

/** Tells whether the old primary has answered since it is out of use, and @p best holds exactly what it and its replicas do. */
static bool
holds_whole_log (const struct succession *succession, const struct succession_input *input,
                 const struct succession_choice *choice, const struct succession_server *best)
{
	const struct succession_server *old =
		succession_find_server (input, succession->record.primary);

	/* One that has started again under its id has forgotten its log, and a replica holds more. */
	return old && succession_has_final_status (succession, old) &&
	       (old->is_primary || succession->has_demoted) &&
	       log_position_compare (best->received, old->received) == 0 &&
	       log_position_covers (best->received, choice->held);
}

bool
succession_keeps_commits (const struct succession *succession, const struct succession_input *input,
                          const struct succession_choice *choice,
                          const struct succession_server *best)
{
	if (input->sync_replicas == 0)
		return choice->known >= 1;
	if (!log_position_covers (best->received, choice->held))
		return false;
	/* Each acknowledged commit is held by this number of replicas, one of which is known then. */
	return count_unknown_logs (succession, input, best) < input->sync_replicas ||
	       holds_whole_log (succession, input, choice, best);
}
