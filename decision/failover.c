#include "decision/failover.h"

#include "charts/embedded.h"
#include "common/counters.h"
#include "decision/failover_view.h"
#include "decision/retry.h"

#include <errno.h>
#include <string.h>

const struct failover_settings failover_default_settings = {
	.poll_quiet_us = 1000000,
	.poll_quiet_max_us = 3000000,
	/* A poll takes about 460 bytes in both directions together. A VM that observes more than 3
	 * groups makes 5 polls a second, which is 2.7 KB of the 6 KB that control traffic may use. */
	.poll_per_group_us = 310000,
	.poll_alert_us = 100000,
	.reply_late_us = 300000,
	.suspect_after_us = 500000,
	.claim_step_us = 300000,
	.step_timeout_us = 500000,
	.unfinished_after_us = 1000000,
	/* Not longer, since ownership may need 2.5 s to move first, and writes may be interrupted for
	 * 5 s at most. Not much shorter, since replicas that lag this much after an idle time look the
	 * same. */
	.stalled_after_us = 1500000,
};

enum
{
	/* Quiet polls of the primary for each poll of a replica. In a group without traffic, the fence
	 * of a replica by a claimant that died is noticed that much later; writes notice it at once,
	 * from the acknowledgement. */
	REPLICA_POLL_FACTOR = 3,
	/* Fencing rounds of one claim. A claimant that gets answers from a majority of the servers may
	 * go on after the first rounds, since they fail through lost answers; one that does not leaves
	 * the claim to others. */
	MAX_ATTEMPTS = 2,
	MAX_ATTEMPTS_WITH_MAJORITY = 10,
	/* The answer to a fence is taken as lost when a poll shows the promise this long after the
	 * fence. */
	ANSWER_LOST_US = 300000,
	/* A claim that is not urgent waits this long for fences beyond a majority, so that a healthy
	 * primary is among the fenced servers and can be promoted again. */
	EXTRA_FENCES_WAIT_US = 100000,
	/* A planned change waits longer for the fence of its target, without which it fails. Below
	 * step_timeout_us, which ends the claim. */
	TARGET_FENCE_WAIT_US = 400000,
	/* After this time in alert without a result, the poll rate is reduced, since the group may be
	 * cut off. */
	LONG_ALERT_US = 10000000,
	/* A planned change fences the old primary first, then waits at most this long for the target to
	 * receive the last entries: a fenced server accepts none. */
	CATCH_UP_US = 300000,
	CATCH_UP_POLL_US = 20000,
	/* Minimum time in alert after a failure of the primary or a request for the opinion. */
	ALERT_HOLD_US = 1000000,
	MAX_EVENTS = 8, /* Chart events handled in one call. */
};

static const char *const event_names[EVENT_COUNT] = {
	"alarm",    "calm",       "suspicion", "trust",    "agreement", "request",
	"majority", "superseded", "timeout",   "promoted", "refused",
};

static const char *const state_names[STATE_COUNT] = { "quiet", "alert", "agreeing", "fencing",
	                                                  "promoting" };

static bool
is_in_state (const struct failover_private *f, enum failover_state state)
{
	return f->chart.state == f->states[state];
}

static bool
is_claiming (const struct failover_private *f)
{
	return is_in_state (f, STATE_FENCING) || is_in_state (f, STATE_PROMOTING);
}

static uint32_t
count_bits (uint32_t bits)
{
	return (uint32_t) __builtin_popcount (bits);
}

static void
start_fencing (struct failover_private *f)
{
	struct claim *claim = &f->claim;
	uint64_t highest = failover_highest_term (f);

	if (claim->attempts++ == 0)
	{
		claim->started_us = f->now_us;
		f->timings = (struct failover_timings){ 0 };
		f->timings.detect_us = failover_silence_us (f, f->suspected_us);
		f->timings.agree_us = f->now_us - f->suspected_us;
	}
	/* A new round of fences uses a new term: a server accepts each term only once, and after a lost
	 * answer it is not known whether the promise was made to this claim. */
	claim->term = (highest > claim->term ? highest : claim->term) + 1;
	claim->fenced = 0;
	claim->rejected = 0;
	claim->to_fence = (1u << f->server_count) - 1;
	if (claim->is_catching_up)
		claim->to_fence = 1u << claim->old_primary;
	/* The old primary has the highest log, and would be promoted again. */
	if (claim->is_stalled)
		claim->to_fence &= ~(1u << claim->old_primary);
	claim->step_us = f->now_us;
}

/* Fences the remaining servers of a planned change once the target has caught up, or after
 * CATCH_UP_US. */
static void
end_catching_up (struct failover_private *f, int64_t now_us)
{
	struct claim *claim = &f->claim;
	uint32_t all = (1u << f->server_count) - 1;
	bool is_fenced = claim->fenced >> claim->old_primary & 1;
	bool has_caught_up =
		is_fenced && log_position_covers (f->servers[claim->preferred].status.position,
	                                      claim->positions[claim->old_primary]);

	if (!has_caught_up && now_us - claim->step_us < CATCH_UP_US)
		return;
	claim->is_catching_up = false;
	claim->to_fence = all & ~(1u << claim->old_primary);
	claim->step_us = now_us;
}

/* Chooses between servers with equal logs: one that is not leaving, then the preferred one. */
static bool
is_better_target (const struct failover_private *f, uint32_t server, uint32_t other)
{
	bool is_leaving = f->leaving >> server & 1;
	bool is_other_leaving = f->leaving >> other & 1;

	if (is_leaving != is_other_leaving)
		return is_other_leaving;
	return server == f->claim.preferred;
}

static void
start_promoting (struct failover_private *f)
{
	struct claim *claim = &f->claim;
	uint32_t best = FAILOVER_NO_PRIMARY;

	for (uint32_t i = 0; i < f->server_count; i++)
	{
		int order;

		if (!(claim->fenced >> i & 1))
			continue;
		order = best == FAILOVER_NO_PRIMARY
		            ? 1
		            : log_position_compare (claim->positions[i], claim->positions[best]);
		if (order > 0 || (order == 0 && is_better_target (f, i, best)))
			best = i;
	}
	INVARIANT (count_bits (claim->fenced) >= failover_majority (f), "P2");
	claim->server = best;
	claim->to_promote = true;
	f->timings.fence_us = f->now_us - claim->started_us;
	claim->step_us = f->now_us;
}

static void
handle_action (void *context, const char *name)
{
	struct failover_private *f = context;

	if (strcmp (name, "poll_at_once") == 0)
	{
		f->alert_since_us = f->now_us;
		failover_poll_all (f);
	}
	else if (strcmp (name, "fence") == 0)
		start_fencing (f);
	else if (strcmp (name, "promote") == 0)
		start_promoting (f);
	else if (strcmp (name, "announce") == 0)
	{
		f->timings.promote_us = f->now_us - f->claim.step_us;
		failover_adopt_primary (f, f->claim.term, f->claim.server, false, f->now_us);
	}
}

static bool
majority_responds (const struct failover_private *f)
{
	uint32_t answered = 0;

	for (uint32_t i = 0; i < f->server_count; i++)
		answered += f->servers[i].answered_us >= f->claim.step_us;
	return answered >= failover_majority (f);
}

static bool
handle_condition (void *context, const char *name)
{
	const struct failover_private *f = context;

	if (strcmp (name, "is_turn") == 0)
		return failover_is_turn (f, f->now_us);
	return f->claim.attempts < (majority_responds (f) ? MAX_ATTEMPTS_WITH_MAJORITY : MAX_ATTEMPTS);
}

static const struct chart_ops failover_ops = { handle_action, handle_condition };

static bool
handle_event (struct failover_private *f, enum failover_event event)
{
	return chart_instance_handle (&f->chart, f->events[event], &failover_ops, f);
}

static bool
advance_agreeing (struct failover_private *f, int64_t now_us)
{
	if (!f->opinion.suspects)
		return handle_event (f, EVENT_TRUST);
	if (!failover_has_agreement (f, now_us))
		return false;
	f->claim = (struct claim){
		.term = f->claim.term,
		.is_urgent = failover_is_late (f, now_us),
		.is_stalled = !failover_is_late (f, now_us) && failover_is_stalled (f, f->stall_limit_us),
		.preferred = f->primary,
		.old_primary = f->primary,
	};
	return handle_event (f, EVENT_AGREEMENT);
}

/* How long a claim that has a majority waits for more answers. */
static int64_t
extra_fences_wait_us (const struct claim *claim)
{
	uint32_t answered = claim->fenced | claim->rejected;

	if (claim->is_planned && !(answered >> claim->preferred & 1))
		return TARGET_FENCE_WAIT_US;
	return EXTRA_FENCES_WAIT_US;
}

/* Tells whether a poll showed that a server promised the claim's term at least ANSWER_LOST_US ago
 * while the answer to the fence has not arrived. That answer is probably lost, so waiting until the
 * time limit is pointless. */
static bool
has_lost_answer (const struct failover_private *f)
{
	const struct claim *claim = &f->claim;

	for (uint32_t i = 0; i < f->server_count; i++)
		if (!((claim->fenced | claim->rejected | claim->to_fence) >> i & 1) &&
		    f->servers[i].status.promised_term == claim->term &&
		    f->servers[i].answered_us - claim->step_us >= ANSWER_LOST_US)
			return true;
	return false;
}

static bool
advance_claim (struct failover_private *f, int64_t now_us)
{
	struct claim *claim = &f->claim;
	uint32_t fenced = count_bits (claim->fenced);
	uint32_t rejected = count_bits (claim->rejected);

	/* The time limit is checked first: a claimant that was paused must not act on outdated
	 * answers. */
	if (now_us - claim->step_us >= f->settings->step_timeout_us)
		return handle_event (f, EVENT_TIMEOUT);
	if (f->term > claim->term || f->highest_opinion_term > claim->term ||
	    rejected > f->server_count - failover_majority (f))
		return handle_event (f, EVENT_SUPERSEDED);
	if (is_in_state (f, STATE_PROMOTING))
		return f->term == claim->term && handle_event (f, EVENT_PROMOTED);
	if (claim->is_catching_up)
		end_catching_up (f, now_us);
	if (fenced < failover_majority (f))
		return has_lost_answer (f) && handle_event (f, EVENT_TIMEOUT);
	if (!claim->is_urgent && fenced + rejected < f->server_count &&
	    now_us - claim->step_us < extra_fences_wait_us (claim))
		return false;
	return handle_event (f, EVENT_MAJORITY);
}

static bool
advance_planned (struct failover_private *f, int64_t now_us)
{
	return failover_start_planned (f, now_us) && handle_event (f, EVENT_REQUEST);
}

static bool
advance_once (struct failover_private *f, int64_t now_us)
{
	bool is_healthy;

	failover_update_connectivity (f, now_us);
	is_healthy = !failover_is_unhealthy (f, now_us);
	failover_update_opinion (f, now_us);
	if (is_claiming (f))
		return advance_claim (f, now_us);
	if ((is_in_state (f, STATE_QUIET) || is_in_state (f, STATE_ALERT)) &&
	    advance_planned (f, now_us))
		return true;
	if (is_in_state (f, STATE_QUIET))
		return (!is_healthy || now_us < f->alert_until_us) && handle_event (f, EVENT_ALARM);
	if (is_healthy && now_us >= f->alert_until_us)
		return handle_event (f, EVENT_CALM);
	if (is_in_state (f, STATE_ALERT))
		return f->opinion.suspects && handle_event (f, EVENT_SUSPICION);
	return advance_agreeing (f, now_us);
}

static void
advance (struct failover_private *f, int64_t now_us)
{
	for (int i = 0; i < MAX_EVENTS && advance_once (f, now_us); i++)
		;
}

/* Sets the time of the present call. After a pause of this process, missing answers and opinions
 * from before the pause are discarded, since they prove nothing. */
static void
update_time (struct failover_private *f, int64_t now_us)
{
	f->now_us = now_us;
	if (now_us - f->due_us < f->settings->reply_late_us)
		return;
	f->due_us = now_us;
	for (uint32_t i = 0; i < f->server_count; i++)
	{
		if (f->servers[i].unanswered_us)
			f->servers[i].unanswered_us = now_us;
		f->servers[i].next_poll_us = now_us;
	}
	for (size_t i = 0; i < f->observer_count; i++)
		f->observers[i].opinion_at_us = 0;
	if (f->unfinished_since_us)
		f->unfinished_since_us = now_us;
	f->opinion.suspects = false;
}

size_t
failover_size (uint32_t servers)
{
	return sizeof (struct failover_private);
}

int
failover_init (struct failover *failover, void *memory, const struct failover_settings *settings,
               uint32_t self, uint32_t servers, uint64_t seed, int64_t now_us)
{
	const struct chart *chart = chart_embedded ("failover");
	struct failover_private *f = memory;

	if (servers == 0 || servers > ROUTING_MAX_SERVERS)
		return -EINVAL;
	memset (f, 0, sizeof *f);
	failover->state = f;
	f->settings = settings;
	f->quiet_us = settings->poll_quiet_us;
	f->stall_limit_us = settings->stalled_after_us;
	f->self = self;
	f->server_count = servers;
	f->seed = seed;
	f->now_us = now_us;
	f->due_us = now_us;
	f->primary = FAILOVER_NO_PRIMARY;
	f->opinion.primary = FAILOVER_NO_PRIMARY;
	for (int i = 0; i < EVENT_COUNT; i++)
		f->events[i] = chart_find_event (chart, event_names[i]);
	for (int i = 0; i < STATE_COUNT; i++)
		f->states[i] = chart_find_state (chart, state_names[i]);
	for (uint32_t i = 0; i < servers; i++)
		f->servers[i].next_poll_us = now_us;
	chart_instance_init (&f->chart, chart, &failover_ops, f);
	return 0;
}

void
failover_finish (struct failover *failover)
{
	failover->state = NULL;
}

void
failover_set_observers (struct failover *failover, const struct failover_observer *observers,
                        size_t count, int64_t now_us)
{
	struct failover_private *f = failover->state;
	struct observer_record old[FAILOVER_MAX_OBSERVERS];
	size_t old_count = f->observer_count;

	memcpy (old, f->observers, sizeof old);
	f->observer_count = 0;
	for (size_t i = 0; i < count && f->observer_count < FAILOVER_MAX_OBSERVERS; i++)
	{
		struct observer_record next = { .observer = observers[i] };
		bool is_new = true;

		/* A VM that owns several servers is one observer with one opinion. */
		for (size_t n = 0; n < f->observer_count; n++)
			is_new = is_new && f->observers[n].observer.id != observers[i].id;
		for (size_t n = 0; n < old_count; n++)
			if (old[n].observer.id == observers[i].id)
				next = old[n];
		next.observer = observers[i];
		if (is_new)
			f->observers[f->observer_count++] = next;
	}
}

void
failover_handle_status (struct failover *failover, uint32_t server,
                        const struct server_status *status, int64_t sent_us, int64_t now_us)
{
	struct failover_private *f = failover->state;
	struct observed_server *observed;

	if (server >= f->server_count)
		return;
	update_time (f, now_us);
	observed = &f->servers[server];
	/* An answer to an earlier poll does not answer the later ones. */
	if (observed->unanswered_us != 0 && sent_us >= observed->unanswered_us)
	{
		int64_t next_us = sent_us + f->settings->poll_alert_us;

		if (next_us > observed->last_poll_us)
			next_us = observed->last_poll_us;
		observed->unanswered_us = sent_us >= observed->last_poll_us ? 0 : next_us;
	}
	failover_apply_status (f, server, status, now_us);
	advance (f, now_us);
}

/* Counts a failure as silence since the last answer, but for no longer than a late reply, so that a
 * few more polls have to fail before the primary is suspected. */
static void
handle_failure (struct failover_private *f, uint32_t server, int64_t now_us)
{
	struct observed_server *observed = &f->servers[server];
	int64_t since_us = now_us - f->settings->reply_late_us;

	if (observed->answered_us > since_us)
		since_us = observed->answered_us;
	if (observed->unanswered_us == 0 || since_us < observed->unanswered_us)
		observed->unanswered_us = since_us;
	if (server == f->primary)
		f->alert_until_us = now_us + ALERT_HOLD_US;
	advance (f, now_us);
}

void
failover_handle_error (struct failover *failover, uint32_t server, int64_t now_us)
{
	struct failover_private *f = failover->state;

	if (server >= f->server_count)
		return;
	update_time (f, now_us);
	handle_failure (f, server, now_us);
}

static int64_t
poll_interval_us (const struct failover_private *f, uint32_t server, int64_t now_us)
{
	bool is_replica = f->primary != FAILOVER_NO_PRIMARY && server != f->primary;

	if (is_in_state (f, STATE_FENCING) && f->claim.is_catching_up && server == f->claim.preferred)
		return CATCH_UP_POLL_US;
	if (f->planned.is_pending && (f->planned.servers >> server & 1 || server == f->primary))
		return CATCH_UP_POLL_US;
	if (is_in_state (f, STATE_QUIET))
		return is_replica ? REPLICA_POLL_FACTOR * f->quiet_us : f->quiet_us;
	if (now_us - f->alert_since_us < LONG_ALERT_US)
		return f->settings->poll_alert_us;
	return f->settings->poll_quiet_us / 2;
}

void
failover_handle_traffic (struct failover *failover, uint32_t server, bool answered, int64_t now_us)
{
	struct failover_private *f = failover->state;
	struct observed_server *observed;

	if (server >= f->server_count)
		return;
	update_time (f, now_us);
	observed = &f->servers[server];
	if (!answered)
	{
		handle_failure (f, server, now_us);
		return;
	}
	observed->answered_us = now_us;
	observed->unanswered_us = 0;
	if (is_in_state (f, STATE_QUIET))
		observed->next_poll_us = now_us + poll_interval_us (f, server, now_us);
	advance (f, now_us);
}

void
failover_handle_asked (struct failover *failover, int64_t now_us)
{
	struct failover_private *f = failover->state;

	update_time (f, now_us);
	f->alert_until_us = now_us + ALERT_HOLD_US;
	advance (f, now_us);
}

void
failover_handle_opinion (struct failover *failover, uint32_t observer,
                         const struct failover_opinion *opinion, int64_t now_us)
{
	struct failover_private *f = failover->state;

	update_time (f, now_us);
	for (size_t i = 0; i < f->observer_count; i++)
	{
		if (f->observers[i].observer.id != observer)
			continue;
		f->observers[i].opinion = *opinion;
		f->observers[i].opinion_at_us = now_us;
		if (opinion->term > f->highest_opinion_term)
			f->highest_opinion_term = opinion->term;
		if (opinion->primary != FAILOVER_NO_PRIMARY)
			failover_adopt_primary (f, opinion->term, opinion->primary, true, now_us);
	}
	advance (f, now_us);
}

void
failover_handle_fenced (struct failover *failover, uint32_t server, uint64_t term, bool accepted,
                        const struct server_status *status, int64_t now_us)
{
	struct failover_private *f = failover->state;

	if (server >= f->server_count)
		return;
	update_time (f, now_us);
	f->servers[server].unanswered_us = 0;
	failover_apply_status (f, server, status, now_us);
	if (is_in_state (f, STATE_FENCING) && term == f->claim.term)
	{
		if (accepted)
		{
			f->claim.fenced |= 1u << server;
			f->claim.positions[server] = status->position;
		}
		else
			f->claim.rejected |= 1u << server;
	}
	advance (f, now_us);
}

void
failover_handle_promoted (struct failover *failover, uint32_t server, uint64_t term, bool accepted,
                          const struct server_status *status, int64_t now_us)
{
	struct failover_private *f = failover->state;

	if (server >= f->server_count)
		return;
	update_time (f, now_us);
	f->servers[server].unanswered_us = 0;
	failover_apply_status (f, server, status, now_us);
	if (is_in_state (f, STATE_PROMOTING) && term == f->claim.term && server == f->claim.server)
		handle_event (f, accepted ? EVENT_PROMOTED : EVENT_REFUSED);
	advance (f, now_us);
}

void
failover_handle_announced (struct failover *failover, uint64_t term, uint32_t server,
                           int64_t now_us)
{
	struct failover_private *f = failover->state;

	update_time (f, now_us);
	failover_adopt_primary (f, term, server, true, now_us);
	advance (f, now_us);
}

int
failover_request_promotion (struct failover *failover, uint32_t server, int64_t now_us)
{
	struct failover_private *f = failover->state;

	if (server >= f->server_count || server == f->primary)
		return -EINVAL;
	update_time (f, now_us);
	advance (f, now_us);
	if (f->planned.is_pending || (!is_in_state (f, STATE_QUIET) && !is_in_state (f, STATE_ALERT)))
		return -EBUSY;
	failover_request_planned (f, 1u << server, now_us);
	return 0;
}

void
failover_set_leaving (struct failover *failover, uint32_t servers, int64_t now_us)
{
	struct failover_private *f = failover->state;

	update_time (f, now_us);
	f->leaving = servers;
	advance (f, now_us);
}

void
failover_set_load (struct failover *failover, size_t groups)
{
	const struct failover_settings *settings = failover->state->settings;
	int64_t quiet_us = settings->poll_per_group_us * (int64_t) groups;

	if (quiet_us < settings->poll_quiet_us)
		quiet_us = settings->poll_quiet_us;
	if (quiet_us > settings->poll_quiet_max_us)
		quiet_us = settings->poll_quiet_max_us;
	failover->state->quiet_us = quiet_us;
}

void
failover_postpone_replicas (struct failover *failover, int64_t by_us, int64_t now_us)
{
	struct failover_private *f = failover->state;

	/* The polls of a few groups need little bandwidth. */
	if (!is_in_state (f, STATE_QUIET) || f->planned.is_pending ||
	    f->primary == FAILOVER_NO_PRIMARY || f->quiet_us <= f->settings->poll_quiet_us)
		return;
	/* All polls are postponed by the same time, so that they stay spread. Each is postponed only
	 * once, since frequent changes of configuration would otherwise stop them. */
	for (uint32_t i = 0; i < f->server_count; i++)
	{
		struct observed_server *server = &f->servers[i];

		if (i != f->primary &&
		    server->next_poll_us - server->last_poll_us <= poll_interval_us (f, i, now_us))
			server->next_poll_us += by_us;
	}
}

static bool
next_poll (struct failover_private *f, struct failover_effect *effect, int64_t now_us)
{
	for (uint32_t i = 0; i < f->server_count; i++)
	{
		struct observed_server *server = &f->servers[i];
		int64_t interval_us = poll_interval_us (f, i, now_us);

		if (now_us < server->next_poll_us)
			continue;
		/* Spreads the polls of the observers and groups of a fleet. */
		server->next_poll_us =
			now_us + interval_us -
			(int64_t) (random_next (&f->seed) % (uint64_t) (interval_us / 8 + 1));
		server->last_poll_us = now_us;
		if (server->unanswered_us == 0)
			server->unanswered_us = now_us;
		*effect = (struct failover_effect){ .type = FAILOVER_POLL, .server = i };
		return true;
	}
	return false;
}

static bool
next_ask (struct failover_private *f, struct failover_effect *effect, int64_t now_us)
{
	if (is_in_state (f, STATE_QUIET) || is_claiming (f) || !failover_is_unhealthy (f, now_us))
		return false;
	for (size_t i = 0; i < f->observer_count; i++)
	{
		struct observer_record *other = &f->observers[i];

		if (other->observer.id == f->self || now_us < other->next_ask_us)
			continue;
		other->next_ask_us = now_us + poll_interval_us (f, f->primary, now_us);
		*effect = (struct failover_effect){ .type = FAILOVER_ASK, .observer = other->observer.id };
		return true;
	}
	return false;
}

static bool
next_claim_effect (struct failover_private *f, struct failover_effect *effect)
{
	struct claim *claim = &f->claim;

	effect->term = claim->term;
	if (is_in_state (f, STATE_FENCING) && claim->to_fence)
	{
		effect->type = FAILOVER_FENCE;
		effect->server = (uint32_t) __builtin_ctz (claim->to_fence);
		claim->to_fence &= claim->to_fence - 1;
		return true;
	}
	if (is_in_state (f, STATE_PROMOTING) && claim->to_promote)
	{
		effect->type = FAILOVER_PROMOTE;
		effect->server = claim->server;
		claim->to_promote = false;
		return true;
	}
	return false;
}

struct failover_effect
failover_next (struct failover *failover, int64_t now_us)
{
	struct failover_private *f = failover->state;
	struct failover_effect effect = { .type = FAILOVER_NONE };

	update_time (f, now_us);
	advance (f, now_us);
	if (next_claim_effect (f, &effect))
		return effect;
	effect = (struct failover_effect){ .type = FAILOVER_NONE };
	if (f->to_announce)
	{
		f->to_announce = false;
		f->announced_term = f->term;
		return (struct failover_effect){ .type = FAILOVER_ANNOUNCE,
			                             .server = f->primary,
			                             .term = f->term };
	}
	if (!next_poll (f, &effect, now_us) && !next_ask (f, &effect, now_us))
		f->due_us = failover_next_time_us (failover);
	return effect;
}

static void
keep_earlier (int64_t *next_us, int64_t at_us)
{
	if (at_us < *next_us)
		*next_us = at_us;
}

int64_t
failover_next_time_us (const struct failover *failover)
{
	const struct failover_private *f = failover->state;
	int64_t next_us = INT64_MAX;

	if (f->to_announce)
		return f->now_us;
	for (uint32_t i = 0; i < f->server_count; i++)
		keep_earlier (&next_us, f->servers[i].next_poll_us);
	if (is_claiming (f))
	{
		if (f->claim.to_fence || f->claim.to_promote)
			return f->now_us;
		keep_earlier (&next_us, f->claim.step_us + f->settings->step_timeout_us);
		if (!f->claim.is_urgent && f->now_us < f->claim.step_us + extra_fences_wait_us (&f->claim))
			keep_earlier (&next_us, f->claim.step_us + extra_fences_wait_us (&f->claim));
	}
	else if (f->primary != FAILOVER_NO_PRIMARY && f->servers[f->primary].unanswered_us)
	{
		int64_t since_us = f->servers[f->primary].unanswered_us;

		if (f->now_us < since_us + f->settings->reply_late_us)
			keep_earlier (&next_us, since_us + f->settings->reply_late_us);
		else if (f->now_us < since_us + f->settings->suspect_after_us)
			keep_earlier (&next_us, since_us + f->settings->suspect_after_us);
	}
	if (failover_must_replace_primary (f) && f->now_us < f->replace_at_us)
		keep_earlier (&next_us, f->replace_at_us);
	if (f->unfinished_since_us &&
	    f->now_us < f->unfinished_since_us + f->settings->unfinished_after_us)
		keep_earlier (&next_us, f->unfinished_since_us + f->settings->unfinished_after_us);
	return next_us;
}

struct failover_opinion
failover_opinion (const struct failover *failover)
{
	return failover->state->opinion;
}

bool
failover_primary (const struct failover *failover, uint64_t *term, uint32_t *server)
{
	const struct failover_private *f = failover->state;

	if (f->primary == FAILOVER_NO_PRIMARY)
		return false;
	*term = f->term;
	*server = f->primary;
	return true;
}

const struct failover_timings *
failover_last_timings (const struct failover *failover)
{
	return &failover->state->timings;
}

const char *
failover_state_name (const struct failover *failover)
{
	return chart_state_name (failover->state->chart.chart, failover->state->chart.state);
}
