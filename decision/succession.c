#include "decision/succession.h"

#include "decision/succession_choice.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/param.h>

enum
{
	US_PER_MS = 1000,
	/** Authority of a VM to use a primary, plus a scheduling delay. */
	AUTHORITY_US = (SUCCESSION_AUTHORITY_MS + 60) * US_PER_MS,
	/** After this time no list from before the claim is in use, even by VMs that do not answer. */
	LIST_EXPIRY_US = AUTHORITY_US + SUCCESSION_LIST_AGE_MS * US_PER_MS,
	/** A claimant may call the platform for this long after it sent its claim. */
	CLAIM_WINDOW_US = 3500 * US_PER_MS,
	/** Another VM takes over an unfinished change after this time, which is longer than the window
	 * plus a call in flight (1 s). */
	TAKEOVER_US = 5000 * US_PER_MS,
	/** A claimant that found no successor claims again this long after the others may take over. */
	YIELD_US = 1000 * US_PER_MS,
	/** Delay between successive VMs, so that usually only the first one acts. */
	RANK_DELAY_US = 150 * US_PER_MS,
	ASK_INTERVAL_US = 50 * US_PER_MS,
	/** Interval of the questions while a planned change waits. A replica that lags by less has caught up. */
	WAIT_INTERVAL_US = 200 * US_PER_MS,
	/** VMs that ask meanwhile. The others claim the change only after its wait has ended. */
	WAIT_RANKS = 3,
	/** Well below the time that is left for the change. */
	WAIT_SPREAD_US = 1000 * US_PER_MS,
	SWAP_TIMEOUT_US = 1500 * US_PER_MS,
	RECORD_RETRY_US = 50 * US_PER_MS, /**< Delay of a repeated swap that was refused. */
	/** The new primary may take this long to receive the rest of the old one's log, or until the wait of a planned change ends. */
	CATCH_UP_US = 1200 * US_PER_MS,
	/** The old primary may take this long to step down. */
	DEMOTE_TIMEOUT_US = 250 * US_PER_MS,
	/** A server that leads the same term as before for this long after the platform has accepted its promotion was the
	 * present primary. Less than TAKEOVER_US, so that the next claimant does not begin anew. */
	UNCHANGED_US = 2000 * US_PER_MS,
	CONFIRM_TIMEOUT_US = 5000 * US_PER_MS,
	/** A VM that has followed the directory for so long before a change knows of replicas whose entries expire. */
	DIRECTORY_AGE_US = 3000 * US_PER_MS,
	/** Crashed servers and zones that were cut off were back in the directory after this time. */
	DIRECTORY_BACK_US = 15 * 1000 * US_PER_MS,
	PROMOTE_RETRY_US = 100 * US_PER_MS,
	/** A record's number holds the era in its upper half and a count in its lower one. */
	CHANGE_ERA_SHIFT = 32,
};

static void
set_phase (struct succession *succession, enum succession_phase phase, int64_t now_us)
{
	succession->phase = phase;
	succession->phase_us = now_us;
	succession->asked_us = 0;
}

uint32_t
succession_change_era (uint64_t change)
{
	return (uint32_t) (change >> CHANGE_ERA_SHIFT);
}

uint32_t
succession_change_count (uint64_t change)
{
	return (uint32_t) change;
}

uint64_t
succession_next_change (uint64_t change, uint64_t era)
{
	uint64_t next = change + 1;

	if (era > succession_change_era (change))
		next = era << CHANGE_ERA_SHIFT | succession_change_count (next);
	return next;
}

void
succession_init (struct succession *succession, const char *vm)
{
	memset (succession, 0, sizeof *succession);
	snprintf (succession->vm, sizeof succession->vm, "%s", vm);
}

static void
begin_gathering (struct succession *succession, uint64_t change, int64_t now_us)
{
	succession->claim_change = change;
	succession->claimed_us = now_us;
	succession->most_stopped_us = 0;
	succession->has_demoted = false;
	succession->successor_us = 0;
	succession->reserve_us = 0;
	succession->target[0] = '\0';
	set_phase (succession, SUCCESSION_GATHERING, now_us);
}

void
succession_set_record (struct succession *succession, const struct succession_record *record,
                       int64_t now_us)
{
	bool is_own = record->is_changing && strcmp (record->claimant, succession->vm) == 0;
	/* The store may have forgotten the claims of an earlier era, and VMs may have used the primary since. */
	bool is_of_later_era =
		succession_change_era (record->change) > succession_change_era (succession->record.change);

	if (record->change <= succession->record.change)
		return;
	if (!record->is_changing || succession->changing_us == 0 || is_of_later_era)
	{
		succession->changing_us = record->is_changing ? now_us : 0;
		succession->stopped_us = 0;
	}
	succession->record = *record;
	succession->record_us = now_us;
	if (succession->phase == SUCCESSION_CLAIMING && is_own)
		begin_gathering (succession, record->change, now_us);
	else if (succession->phase != SUCCESSION_STEADY && record->change != succession->claim_change)
		set_phase (succession, SUCCESSION_STEADY, now_us);
}

/** Creates the first record, with the one server that reports itself as the primary. */
static enum succession_action
step_without_record (struct succession *succession, const struct succession_input *input,
                     int64_t now_us)
{
	const struct succession_server *primary = NULL;

	/* Before the first read it is unknown whether a record exists. */
	if (!input->has_read_records)
		return SUCCESSION_NOTHING;
	for (size_t i = 0; i < input->server_count; i++)
	{
		const struct succession_server *server = &input->servers[i];

		if (!server->is_listed || !server->reports_primary)
			continue;
		if (primary)
			return SUCCESSION_NOTHING;
		primary = server;
	}
	if (!primary)
		return SUCCESSION_NOTHING;
	if (succession->cause_us == 0)
		succession->cause_us = now_us;
	if (now_us - succession->cause_us < (int64_t) input->rank * RANK_DELAY_US)
		return SUCCESSION_NOTHING;
	snprintf (succession->target, sizeof succession->target, "%s", primary->id);
	set_phase (succession, SUCCESSION_CREATING, now_us);
	return SUCCESSION_CREATE;
}

static enum succession_action
begin_claim (struct succession *succession, bool is_planned, int64_t now_us)
{
	succession->is_planned = is_planned;
	succession->claim_sent_us = now_us;
	succession->cause_us = 0;
	succession->has_leaving_position = false;
	set_phase (succession, SUCCESSION_CLAIMING, now_us);
	return SUCCESSION_CLAIM;
}

/** Tells whether a replica has received what the leaving primary had when the servers were last asked. */
static bool
has_successor_caught_up (const struct succession *succession, const struct succession_input *input)
{
	for (size_t i = 0; succession->has_leaving_position && i < input->server_count; i++)
	{
		const struct succession_server *server = &input->servers[i];

		if (server->is_listed && !server->is_draining && !server->is_unreachable &&
		    server->has_status && server->status_us > succession->asked_us &&
		    strcmp (server->id, succession->record.primary) != 0 &&
		    term_history_contains (&succession->record.terms, server->received) &&
		    log_position_covers (server->received, succession->leaving_position))
			return true;
	}
	return false;
}

/**
 * Lets a leaving primary go on until a replica has caught up. Once it is demoted, the commits that no replica has received
 * are given up.
 */
static enum succession_action
step_waiting (struct succession *succession, const struct succession_input *input, int64_t now_us)
{
	const struct succession_server *primary =
		succession_find_server (input, succession->record.primary);

	if (input->rank >= WAIT_RANKS ||
	    (succession->asked_us > 0 && now_us - succession->asked_us < WAIT_INTERVAL_US))
		return SUCCESSION_NOTHING;
	succession->has_leaving_position =
		primary && primary->has_status && primary->status_us > succession->cause_us;
	if (succession->has_leaving_position)
		succession->leaving_position = primary->received;
	succession->asked_us = now_us;
	return SUCCESSION_ASK_SERVERS;
}

/**
 * Tells whether this VM knows of all replicas that may hold acknowledged commits. One that has started since does not know
 * of those whose entries have expired, so that it would not ask for them. Without another VM it waits until they are back.
 */
static bool
knows_replicas (const struct succession *succession, const struct succession_input *input,
                int64_t now_us)
{
	int64_t change_us = succession->changing_us > 0 ? succession->changing_us : now_us;

	return input->sync_replicas == 0 || change_us - input->directory_us > DIRECTORY_AGE_US ||
	       now_us - change_us > DIRECTORY_BACK_US;
}

static enum succession_action
step_steady (struct succession *succession, const struct succession_input *input, int64_t now_us)
{
	int64_t delay_us = (int64_t) input->rank * RANK_DELAY_US;

	if (succession->record.change == 0)
		return step_without_record (succession, input, now_us);
	if (!input->may_claim || !knows_replicas (succession, input, now_us))
		return SUCCESSION_NOTHING;
	if (succession->record.is_changing)
	{
		bool is_yielded = succession->yielded_change == succession->record.change;

		/* This VM's own claim, which was stored after this VM had given it up. */
		if (strcmp (succession->record.claimant, succession->vm) == 0 && !is_yielded)
			return begin_claim (succession, succession->record.is_planned, now_us);
		if (now_us - succession->record_us < TAKEOVER_US + delay_us + (is_yielded ? YIELD_US : 0))
			return SUCCESSION_NOTHING;
		return begin_claim (succession, succession->record.is_planned, now_us);
	}
	if (input->cause == SUCCESSION_NO_CAUSE)
	{
		succession->cause_us = 0;
		succession->has_leaving_position = false;
		succession->failed_target[0] = '\0';
		return SUCCESSION_NOTHING;
	}
	if (succession->cause_us == 0)
		succession->cause_us = now_us;
	if (now_us - succession->cause_us < delay_us)
		return SUCCESSION_NOTHING;
	/* The VMs also claim one after another when the wait ends. */
	if (input->cause == SUCCESSION_LEAVING &&
	    now_us < input->planned_wait_end_us + MIN (delay_us, WAIT_SPREAD_US) &&
	    !has_successor_caught_up (succession, input))
		return step_waiting (succession, input, now_us);
	return begin_claim (succession, input->cause == SUCCESSION_LEAVING, now_us);
}

static bool
is_time_to_ask (struct succession *succession, int64_t now_us)
{
	if (succession->asked_us > 0 && now_us - succession->asked_us < ASK_INTERVAL_US)
		return false;
	succession->asked_us = now_us;
	return true;
}

static enum succession_action
step_gathering (struct succession *succession, const struct succession_input *input, int64_t now_us)
{
	bool has_waited;

	if (input->answers == SUCCESSION_FEW_STOPPED)
		succession->most_stopped_us = 0;
	else if (succession->most_stopped_us == 0)
		succession->most_stopped_us = now_us;
	/* A silent VM may have got its last confirmation from a VM just before that one stopped, so its
	 * authority has to expire. It may also be the claimant of a change that a restored store has forgotten. */
	has_waited = succession->most_stopped_us > 0 &&
	             now_us - succession->most_stopped_us >= AUTHORITY_US &&
	             now_us >= input->former_claims_end_us;
	if (input->answers == SUCCESSION_ALL_STOPPED || has_waited ||
	    (succession->changing_us > 0 && now_us - succession->changing_us >= LIST_EXPIRY_US))
	{
		set_phase (succession, SUCCESSION_CHOOSING, now_us);
		if (succession->stopped_us == 0)
			succession->stopped_us = now_us;
		return SUCCESSION_NOTHING;
	}
	if (now_us - succession->claim_sent_us > CLAIM_WINDOW_US)
		return begin_claim (succession, succession->is_planned, now_us);
	return is_time_to_ask (succession, now_us) ? SUCCESSION_ASK_MEMBERS : SUCCESSION_NOTHING;
}

/** Tells whether the successor need not be waited for any longer, or has received all that the old primary holds. The old
 * primary is not demoted before: whether a demoted one sends its log to replicas is up to the platform. */
static bool
is_catch_up_over (const struct succession *succession, const struct succession_input *input,
                  int64_t since_us, int64_t now_us)
{
	const struct succession_server *old =
		succession_find_server (input, succession->record.primary);
	int64_t end_us = since_us + CATCH_UP_US;

	if (succession->is_planned && input->planned_wait_end_us > end_us)
		end_us = input->planned_wait_end_us;
	return !old || old->is_unreachable || now_us > end_us;
}

static bool
has_caught_up (const struct succession *succession, const struct succession_input *input,
               const struct succession_server *best, int64_t since_us, int64_t now_us)
{
	const struct succession_server *old =
		succession_find_server (input, succession->record.primary);

	if (is_catch_up_over (succession, input, since_us, now_us))
		return true;
	return succession_has_final_status (succession, old) &&
	       log_position_covers (best->received, old->received);
}

/**
 * Chooses the server to promote. A server that should not lead does so when the other ones can no longer receive what only
 * it holds; as a primary it passes that on. One that the platform has refused is tried again after the others had time to
 * answer.
 */
static const struct succession_server *
find_successor (const struct succession *succession, const struct succession_input *input,
                const struct succession_choice *choice, int64_t now_us)
{
	bool is_late = now_us - succession->phase_us > SUCCESSION_CHOICE_TIMEOUT_US;

	int64_t since_us = choice->best ? succession->successor_us : succession->reserve_us;

	if (!choice->reserve || (!choice->reserve->is_draining && !is_late) ||
	    !is_catch_up_over (succession, input, since_us, now_us))
		return choice->best;
	return choice->reserve;
}

/** Updates since when a server that could lead is known. */
static void
note_known (int64_t *since_us, const struct succession_server *server, int64_t now_us)
{
	if (!server)
		*since_us = 0;
	else if (*since_us == 0)
		*since_us = now_us;
}

/** Tells whether the old primary may still lead although it was told to step down a moment ago. */
static bool
is_stepping_down (const struct succession *succession, const struct succession_server *old,
                  int64_t now_us)
{
	return old && !old->is_unreachable && old->is_primary &&
	       now_us - succession->demoted_us < DEMOTE_TIMEOUT_US;
}

/** Ends a claim during which no successor was found. Another VM may reach a server of the latest term. */
static enum succession_action
end_claim (struct succession *succession, const struct succession_choice *choice, int64_t now_us)
{
	/* After a suspension this VM has not asked the servers until now. */
	bool has_asked = now_us - succession->asked_us < 2 * ASK_INTERVAL_US;

	if (!choice->is_behind || !has_asked)
		return begin_claim (succession, succession->is_planned, now_us);
	succession->yielded_change = succession->claim_change;
	set_phase (succession, SUCCESSION_STEADY, now_us);
	return SUCCESSION_NOTHING;
}

static enum succession_action
step_choosing (struct succession *succession, const struct succession_input *input, int64_t now_us)
{
	const struct succession_server *old =
		succession_find_server (input, succession->record.primary);
	bool is_late = now_us - succession->phase_us > SUCCESSION_CHOICE_TIMEOUT_US;
	struct succession_choice choice = succession_choose (succession, input, now_us);
	const struct succession_server *best;

	note_known (&succession->successor_us, choice.best, now_us);
	note_known (&succession->reserve_us, choice.reserve, now_us);
	best = find_successor (succession, input, &choice, now_us);
	if (now_us - succession->claim_sent_us > CLAIM_WINDOW_US)
		return end_claim (succession, &choice, now_us);
	if (!best || (choice.missing > 0 && !is_late) ||
	    !succession_keeps_commits (succession, input, &choice, best) ||
	    !has_caught_up (succession, input, best,
	                    best == choice.best ? succession->successor_us : succession->reserve_us,
	                    now_us))
		return is_time_to_ask (succession, now_us) ? SUCCESSION_ASK_SERVERS : SUCCESSION_NOTHING;
	if (!succession->has_demoted && old && !old->is_unreachable && choice.max_term > 0)
	{
		succession->demote_term = choice.max_term + 1;
		succession->has_demoted = true;
		succession->demoted_us = now_us;
		return SUCCESSION_DEMOTE;
	}
	if (is_stepping_down (succession, old, now_us))
		return is_time_to_ask (succession, now_us) ? SUCCESSION_ASK_SERVERS : SUCCESSION_NOTHING;
	snprintf (succession->target, sizeof succession->target, "%s", best->id);
	succession->old_term =
		succession_leads_already (succession, best) ? succession->record.term : choice.max_term;
	set_phase (succession, SUCCESSION_PROMOTING, now_us);
	succession->asked_us = now_us;
	return SUCCESSION_PROMOTE;
}

static enum succession_action
step_promoting (struct succession *succession, const struct succession_input *input, int64_t now_us)
{
	/* asked_us is 0 after a failed call. */
	if (succession->asked_us > 0 || now_us - succession->phase_us < PROMOTE_RETRY_US)
		return SUCCESSION_NOTHING;
	if (!succession_may_promote (succession, input->era, now_us))
		return begin_claim (succession, succession->is_planned, now_us);
	succession->asked_us = now_us;
	return SUCCESSION_PROMOTE;
}

static enum succession_action
step_confirming (struct succession *succession, const struct succession_input *input,
                 int64_t now_us)
{
	const struct succession_server *target = succession_find_server (input, succession->target);
	/* The platform changes nothing if the target has been the present primary since an earlier claim. */
	bool is_unchanged = target && target->status_us - succession->phase_us > UNCHANGED_US;
	uint64_t old_term = is_unchanged ? succession->record.term : succession->old_term;

	/* Reads of a replica that lagged do not see received entries until they are applied. */
	if (target && target->has_status && target->status_us > succession->phase_us &&
	    target->is_primary && target->term > old_term &&
	    target->applied.index >= target->received.index)
	{
		succession->new_term = target->term;
		/* Nothing is written before the record names the primary. */
		succession->new_term_start = target->received;
		set_phase (succession, SUCCESSION_RECORDING, now_us);
		succession->asked_us = now_us;
		return SUCCESSION_RECORD;
	}
	if (now_us - succession->phase_us > CONFIRM_TIMEOUT_US)
	{
		memcpy (succession->failed_target, succession->target, sizeof succession->failed_target);
		return begin_claim (succession, false, now_us);
	}
	return is_time_to_ask (succession, now_us) ? SUCCESSION_ASK_SERVERS : SUCCESSION_NOTHING;
}

/** Tells whether the store may have forgotten the claim, so that VMs that read it do not stop using the primary. */
static bool
is_claim_forgotten (const struct succession *succession, uint64_t era)
{
	return succession_change_era (succession->claim_change) < era;
}

bool
succession_is_idle (const struct succession *succession, enum succession_cause cause)
{
	return succession->phase == SUCCESSION_STEADY && succession->record.change > 0 &&
	       !succession->record.is_changing && cause == SUCCESSION_NO_CAUSE;
}

enum succession_action
succession_step (struct succession *succession, const struct succession_input *input,
                 int64_t now_us)
{
	bool is_before_promotion =
		succession->phase == SUCCESSION_GATHERING || succession->phase == SUCCESSION_CHOOSING;

	if (is_before_promotion && is_claim_forgotten (succession, input->era))
		return begin_claim (succession, succession->is_planned, now_us);
	switch (succession->phase)
	{
	case SUCCESSION_STEADY:
		return step_steady (succession, input, now_us);
	case SUCCESSION_CREATING:
	case SUCCESSION_CLAIMING:
		if (now_us - succession->phase_us > SWAP_TIMEOUT_US)
			set_phase (succession, SUCCESSION_STEADY, now_us);
		return SUCCESSION_NOTHING;
	case SUCCESSION_GATHERING:
		return step_gathering (succession, input, now_us);
	case SUCCESSION_CHOOSING:
		return step_choosing (succession, input, now_us);
	case SUCCESSION_PROMOTING:
		return step_promoting (succession, input, now_us);
	case SUCCESSION_CONFIRMING:
		return step_confirming (succession, input, now_us);
	case SUCCESSION_RECORDING:
		if (now_us - succession->asked_us < SWAP_TIMEOUT_US)
			return SUCCESSION_NOTHING;
		succession->asked_us = now_us;
		return SUCCESSION_RECORD;
	}
	return SUCCESSION_NOTHING;
}

void
succession_handle_swap (struct succession *succession, enum succession_swap result, uint64_t change,
                        int64_t now_us)
{
	switch (succession->phase)
	{
	case SUCCESSION_CREATING:
		set_phase (succession, SUCCESSION_STEADY, now_us);
		break;
	case SUCCESSION_CLAIMING:
		/* After a lost answer, the record shows whether the claim was stored. */
		if (result == SUCCESSION_SWAPPED)
			begin_gathering (succession, change, now_us);
		else if (result == SUCCESSION_SWAP_REFUSED)
			set_phase (succession, SUCCESSION_STEADY, now_us);
		break;
	case SUCCESSION_RECORDING:
		if (result == SUCCESSION_SWAPPED)
			set_phase (succession, SUCCESSION_STEADY, now_us);
		else if (result == SUCCESSION_SWAP_REFUSED)
			succession->asked_us = now_us - SWAP_TIMEOUT_US + RECORD_RETRY_US;
		break;
	default:
		break;
	}
}

void
succession_handle_promote (struct succession *succession, int error, int64_t now_us)
{
	if (succession->phase != SUCCESSION_PROMOTING)
		return;
	if (error == 0)
		set_phase (succession, SUCCESSION_CONFIRMING, now_us);
	else if (error == -ENOENT)
	{
		memcpy (succession->failed_target, succession->target, sizeof succession->failed_target);
		set_phase (succession, SUCCESSION_CHOOSING, now_us);
	}
	else
	{
		succession->phase_us = now_us;
		succession->asked_us = 0;
	}
}

bool
succession_may_promote (const struct succession *succession, uint64_t era, int64_t now_us)
{
	return now_us - succession->claim_sent_us < CLAIM_WINDOW_US &&
	       !is_claim_forgotten (succession, era);
}
