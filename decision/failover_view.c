#include "decision/failover_view.h"

enum
{
	OPINION_VALID_POLLS = 3, /* Alert polls for which an opinion is valid. */
	/* When a change of primary does not end a stall, the next one waits twice as long, up to this
	 * limit: the replicas may be held back by lag instead of a cut link. */
	STALL_LIMIT_MAX_US = 64000000,
};

void
failover_poll_all (struct failover_private *f)
{
	for (uint32_t i = 0; i < f->server_count; i++)
		f->servers[i].next_poll_us = f->now_us;
}

uint32_t
failover_majority (const struct failover_private *f)
{
	return f->server_count / 2 + 1;
}

uint64_t
failover_highest_term (const struct failover_private *f)
{
	uint64_t highest = f->term > f->highest_opinion_term ? f->term : f->highest_opinion_term;

	for (uint32_t i = 0; i < f->server_count; i++)
	{
		const struct server_status *status = &f->servers[i].status;

		if (status->promised_term > highest)
			highest = status->promised_term;
		if (status->position.term > highest)
			highest = status->position.term;
	}
	return highest;
}

int64_t
failover_silence_us (const struct failover_private *f, int64_t now_us)
{
	const struct observed_server *server;

	if (f->primary == FAILOVER_NO_PRIMARY)
		return 0;
	server = &f->servers[f->primary];
	return server->unanswered_us ? now_us - server->unanswered_us : 0;
}

bool
failover_is_late (const struct failover_private *f, int64_t now_us)
{
	return failover_silence_us (f, now_us) >= f->settings->reply_late_us;
}

bool
failover_is_stalled (const struct failover_private *f, int64_t limit_us)
{
	uint32_t behind = 0;

	if (f->primary == FAILOVER_NO_PRIMARY || f->stall_since_us == 0)
		return false;
	for (uint32_t i = 0; i < f->server_count; i++)
	{
		const struct observed_server *server = &f->servers[i];

		behind += i != f->primary && server->answered_us - f->stall_since_us >= limit_us &&
		          !log_position_covers (server->status.position, f->stall_position);
	}
	return behind >= failover_majority (f);
}

/* Updates the state of a stall after the answer of @p server, whose previous position was @p
 * old. */
static void
track_replica_progress (struct failover_private *f, uint32_t server, struct log_position old,
                        int64_t now_us)
{
	struct log_position position = f->servers[server].status.position;
	uint32_t holders = 0;

	if (f->primary == FAILOVER_NO_PRIMARY)
		return;
	if (server != f->primary && log_position_compare (position, old) > 0)
		f->stall_since_us = 0;
	if (f->stall_since_us == 0)
	{
		f->stall_position = f->servers[f->primary].status.position;
		f->stall_since_us = now_us;
	}
	for (uint32_t i = 0; i < f->server_count; i++)
		holders += log_position_covers (f->servers[i].status.position, f->stall_position);
	if (holders < failover_majority (f))
		return;
	f->stall_since_us = 0;
	f->stall_limit_us = f->settings->stalled_after_us;
}

bool
failover_is_unhealthy (const struct failover_private *f, int64_t now_us)
{
	return failover_is_late (f, now_us) || f->unfinished_since_us != 0 ||
	       failover_is_stalled (f, f->settings->reply_late_us);
}

void
failover_adopt_primary (struct failover_private *f, uint64_t term, uint32_t server,
                        bool is_announced, int64_t now_us)
{
	if (server >= f->server_count || term < f->term ||
	    (term == f->term && f->primary != FAILOVER_NO_PRIMARY))
		return;
	if (failover_is_stalled (f, f->stall_limit_us) && f->stall_limit_us < STALL_LIMIT_MAX_US)
		f->stall_limit_us *= 2;
	f->stall_since_us = 0;
	f->term = term;
	f->primary = server;
	/* Its silence as a replica does not count against the new primary. */
	f->servers[server].unanswered_us = 0;
	f->servers[server].next_poll_us = now_us;
	if (is_announced && term > f->announced_term)
		f->announced_term = term;
	f->to_announce = term > f->announced_term;
}

/** Number of servers that have answered the recent polls of an alert. */
static uint32_t
count_responding (const struct failover_private *f, int64_t now_us)
{
	int64_t limit_us = f->settings->suspect_after_us + f->settings->reply_late_us;
	uint32_t count = 0;

	for (uint32_t i = 0; i < f->server_count; i++)
		count += f->servers[i].answered_us != 0 && now_us - f->servers[i].answered_us <= limit_us;
	return count;
}

void
failover_update_connectivity (struct failover_private *f, int64_t now_us)
{
	bool was_cut_off = f->is_cut_off;
	uint32_t silent = 0;

	for (uint32_t i = 0; i < f->server_count; i++)
		silent += f->servers[i].unanswered_us != 0 &&
		          now_us - f->servers[i].unanswered_us >= f->settings->suspect_after_us;
	f->is_cut_off = f->server_count - silent < failover_majority (f);
	if (!was_cut_off || f->is_cut_off)
		return;
	if (f->primary != FAILOVER_NO_PRIMARY && f->servers[f->primary].unanswered_us)
		f->servers[f->primary].unanswered_us = now_us;
	if (f->unfinished_since_us)
		f->unfinished_since_us = now_us;
}

void
failover_update_opinion (struct failover_private *f, int64_t now_us)
{
	uint64_t highest = failover_highest_term (f);
	bool has_suspected = f->opinion.suspects;

	if (highest > f->term || (f->primary == FAILOVER_NO_PRIMARY && highest > 0))
	{
		if (f->unfinished_since_us == 0 || highest > f->unfinished_term)
			f->unfinished_since_us = now_us;
		f->unfinished_term = highest;
		f->opinion = (struct failover_opinion){
			.term = highest,
			.primary = FAILOVER_NO_PRIMARY,
			.suspects = now_us - f->unfinished_since_us >= f->settings->unfinished_after_us,
		};
	}
	else
	{
		f->unfinished_since_us = 0;
		f->opinion = (struct failover_opinion){
			.term = f->term,
			.primary = f->primary,
			.suspects = failover_silence_us (f, now_us) >= f->settings->suspect_after_us ||
			            failover_is_stalled (f, f->stall_limit_us),
		};
	}
	if (f->opinion.suspects && !has_suspected)
		f->suspected_us = now_us;
}

static bool
opinion_is_fresh (const struct failover_private *f, const struct observer_record *other,
                  int64_t now_us)
{
	return other->opinion_at_us != 0 &&
	       now_us - other->opinion_at_us <= OPINION_VALID_POLLS * f->settings->poll_alert_us;
}

bool
failover_has_agreement (const struct failover_private *f, int64_t now_us)
{
	size_t agreeing = 0;
	uint32_t zone = 0;
	bool has_zone = false;
	bool has_zones = false;
	bool is_one_zone = true;

	for (size_t i = 0; i < f->observer_count; i++)
	{
		const struct observer_record *other = &f->observers[i];
		bool agrees = other->observer.id == f->self;

		has_zones = has_zones || other->observer.zone != f->observers[0].observer.zone;
		if (!agrees && opinion_is_fresh (f, other, now_us))
			agrees = other->opinion.suspects && other->opinion.term == f->opinion.term &&
			         other->opinion.primary == f->opinion.primary;
		if (!agrees)
			continue;
		agreeing++;
		is_one_zone = is_one_zone && (!has_zone || other->observer.zone == zone);
		zone = other->observer.zone;
		has_zone = true;
	}
	return f->opinion.suspects && agreeing > f->observer_count / 2 && !(has_zones && is_one_zone) &&
	       count_responding (f, now_us) >= failover_majority (f);
}

bool
failover_is_turn (const struct failover_private *f, int64_t now_us)
{
	int64_t place = 0;

	for (size_t i = 0; i < f->observer_count; i++)
	{
		if (f->observers[i].observer.id == f->self)
			return now_us - f->suspected_us >= place * f->settings->claim_step_us;
		place += opinion_is_fresh (f, &f->observers[i], now_us);
	}
	return false;
}

void
failover_apply_status (struct failover_private *f, uint32_t server,
                       const struct server_status *status, int64_t now_us)
{
	struct observed_server *observed = &f->servers[server];
	uint64_t promised = observed->status.promised_term;
	struct log_position old = observed->status.position;

	observed->status = *status;
	if (status->promised_term < promised)
		observed->status.promised_term = promised; /* An older answer that arrived late. */
	observed->answered_us = now_us;
	/* A primary whose promised term is above the term of its log has been fenced. */
	if (status->is_primary && status->promised_term <= status->position.term)
		failover_adopt_primary (f, status->position.term, server, false, now_us);
	else if (server == f->primary && !status->is_primary && status->promised_term == f->term)
	{
		f->primary = FAILOVER_NO_PRIMARY;
		f->to_announce = false;
	}
	track_replica_progress (f, server, old, now_us);
}
