#include "gateway/controller_private.h"

#include "common/counters.h"
#include "common/log.h"
#include "decision/quorum.h"
#include "decision/reachability.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

enum
{
	/* Expired entries of live servers are back about 2 s after the store's return. */
	MANAGER_MISSING_US = 2500 * US_PER_MS,
	MANAGER_OPINION_INTERVAL_US = 100 * US_PER_MS,
	/* An opinion that is older than this counts as no answer. */
	MANAGER_OPINION_AGE_US = 600 * US_PER_MS,
	/* An opinion that is older than this is requested again. */
	MANAGER_OPINION_FRESH_US = 300 * US_PER_MS,
	/* VMs that do not reach a primary start to ask the others one after another, by rank. */
	MANAGER_OPINION_RANK_US = 50 * US_PER_MS,
	/* A server that has just become the primary may still answer as a replica, so only a later answer counts. */
	MANAGER_NOT_PRIMARY_US = 700 * US_PER_MS,
	/* A VM whose questions are not answered reads the store after this time. */
	MANAGER_READ_US = 150 * US_PER_MS,
	MANAGER_STATUS_INTERVAL_US = 200 * US_PER_MS,
	/* The VMs that may write a record again do so one after another, so that usually one write is enough. */
	MANAGER_RESTORE_STEPS = 16,
	MANAGER_RESTORE_STEP_US = 40 * US_PER_MS,
	/* The store may refuse calls for seconds after its return. */
	MANAGER_RESTORE_RETRY_US = 1 * US_PER_S,
	/* Number of a service's first record. It is of no era, so that any known record is later. */
	FIRST_CHANGE = 1,
};

struct primary_manager *
primary_manager_get (struct controller *controller, const char *service)
{
	struct primary_manager *primary_manager = g_hash_table_lookup (controller->managers, service);

	if (primary_manager)
		return primary_manager;
	primary_manager = g_new0 (struct primary_manager, 1);
	primary_manager->service = g_strdup (service);
	primary_manager->controller = controller;
	primary_manager->quiesced = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	primary_manager->opinions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	succession_init (&primary_manager->succession, controller->boot.vm);
	g_hash_table_insert (controller->managers, primary_manager->service, primary_manager);
	return primary_manager;
}

void
primary_manager_free (struct primary_manager *primary_manager)
{
	g_hash_table_destroy (primary_manager->quiesced);
	g_hash_table_destroy (primary_manager->opinions);
	g_free (primary_manager->service);
	g_free (primary_manager);
}

uint64_t
controller_records_digest (const struct controller *controller)
{
	uint64_t digest = 0;
	GHashTableIter iter;
	gpointer value;

	/* A sum does not depend on the order of the table. */
	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct primary_manager *primary_manager = value;

		if (primary_manager->succession.record.change > 0)
			digest += XXH64 (primary_manager->service, strlen (primary_manager->service),
			                 primary_manager->succession.record.change);
	}
	return digest;
}

bool
primary_manager_set_record (struct primary_manager *primary_manager,
                            const struct succession_record *record, int64_t now_us)
{
	if (record->change <= primary_manager->succession.record.change)
		return false;
	log_event (LOG_LEVEL_INFO, "record_adopted",
	           "service=%s primary=%s change=%u.%u changing=%d planned=%d claimant=%s term=%llu "
	           "term_start=%llu",
	           log_text (primary_manager->service), log_text (record->primary),
	           succession_change_era (record->change), succession_change_count (record->change),
	           record->is_changing, record->is_planned, log_text (record->claimant),
	           (unsigned long long) record->term,
	           record->terms.count > 0
	               ? (unsigned long long) record->terms.starts[record->terms.count - 1].index
	               : 0ULL);
	succession_set_record (&primary_manager->succession, record, now_us);
	g_hash_table_remove_all (primary_manager->opinions);
	primary_manager->unreachable_us = 0;
	primary_manager->opinion_asked_us = 0;
	primary_manager->controller->is_view_dirty = true;
	return true;
}

void
primary_manager_set_stored (struct primary_manager *primary_manager,
                            const struct succession_record *record, uint64_t record_era,
                            struct store_position at, int64_t now_us)
{
	struct restore_stored *stored = &primary_manager->stored;

	if (store_position_compare (at, stored->at) < 0)
		return;
	*stored = (struct restore_stored){
		.at = { at.era, record ? at.revision : 0 },
		.change = record ? record->change : 0,
		.era = record_era,
	};
	if (record)
		primary_manager_set_record (primary_manager, record, now_us);
}

static const struct peer_address no_address = { 0, 0 };

void
primary_manager_notify_claimant (struct primary_manager *primary_manager)
{
	struct controller *controller = primary_manager->controller;
	const struct succession_record *record = &primary_manager->succession.record;
	const struct member *member = g_hash_table_lookup (controller->members, record->claimant);
	struct peer_address to = member ? member->address : no_address;
	struct fs_quiesced_args args = {
		.vm = controller->boot.vm,
		.service = primary_manager->service,
		.change = record->change,
		.is_settled = controller->is_settled,
	};

	/* A call that this VM sent for its own change, before it learned of this one, must not be overtaken. */
	if (!record->is_changing || primary_manager->quiesced_change != record->change ||
	    primary_manager->is_promoting)
		return;
	if (to.ip == 0)
		to = primary_manager->claimant;
	if (to.ip != 0)
		peers_send_quiesced (&controller->peers, to, &args);
}

void
primary_manager_send_record (struct primary_manager *primary_manager)
{
	struct controller *controller = primary_manager->controller;
	const struct succession_record *record = &primary_manager->succession.record;
	struct fs_lead_args args = primary_manager_record_args (primary_manager);
	int64_t now_us = clock_now_us ();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct quiesced *quiesced =
			g_hash_table_lookup (primary_manager->quiesced, member->vm);

		if (!member_counts (member, now_us) ||
		    (record->is_changing && quiesced && quiesced->change == record->change))
			continue;
		peers_send_primary_record (&controller->peers, member->address, &args);
	}
}

/** Requests the status of the service's servers, or only of the server with the id @p only. */
static void
request_statuses (struct primary_manager *primary_manager, const char *only)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, primary_manager->controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *server = value;

		if (!server->entry.id || strcmp (server->entry.service, primary_manager->service) != 0)
			continue;
		if (server->is_listed && (!only || strcmp (only, server->entry.id) == 0))
			gateway_traffic_request_status (primary_manager->controller->traffic, server->entry.id,
			                                0);
	}
}

/** Finds out how many of the VMs that may use the old primary have confirmed that they stopped. */
static enum succession_answers
count_answers (const struct primary_manager *primary_manager, int64_t now_us)
{
	const struct controller *controller = primary_manager->controller;
	uint64_t claim = primary_manager->succession.claim_change;
	struct quorum_member own = { true, controller->is_settled };
	GArray *members;
	enum succession_answers answers;
	GHashTableIter iter;
	gpointer value;

	/* The list of VMs must have been read after the change was claimed. */
	if (controller->members_valid_us < primary_manager->succession.claimed_us ||
	    primary_manager->quiesced_change != claim)
		return SUCCESSION_FEW_STOPPED;
	members = g_array_new (FALSE, FALSE, sizeof (struct quorum_member));
	g_array_append_val (members, own);
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct quiesced *quiesced =
			g_hash_table_lookup (primary_manager->quiesced, member->vm);
		struct quorum_member answer = {
			.has_stopped = quiesced && quiesced->change == claim,
			.is_settled = member->is_settled || (quiesced && quiesced->is_settled),
		};

		if (member_counts (member, now_us))
			g_array_append_val (members, answer);
	}
	answers = quorum_evaluate_answers ((const struct quorum_member *) members->data, members->len);
	g_array_free (members, TRUE);
	return answers;
}

static void
request_opinions (struct primary_manager *primary_manager, const char *server, int64_t now_us)
{
	struct controller *controller = primary_manager->controller;
	struct fs_reachability_args args = {
		.vm = controller->boot.vm,
		.server = (char *) server,
		.is_question = true,
	};
	GHashTableIter iter;
	gpointer value;

	if (now_us - primary_manager->opinion_asked_us < MANAGER_OPINION_INTERVAL_US)
		return;
	if (now_us - primary_manager->opinion_asked_us > MANAGER_OPINION_AGE_US)
	{
		primary_manager->first_asked_us = now_us;
		primary_manager->silent_since_us = now_us;
		g_hash_table_remove_all (primary_manager->opinions);
	}
	primary_manager->opinion_asked_us = now_us;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct opinion *opinion = g_hash_table_lookup (primary_manager->opinions, member->vm);

		if (member->is_listed && (!opinion || now_us - opinion->at_us > MANAGER_OPINION_FRESH_US))
			peers_send_opinion (&controller->peers, member->address, &args);
	}
}

/**
 * Updates since when the silence of other VMs counts: since the store has answered a request that this VM sent after its
 * first question. Until then, the questions may not have left a zone that is cut off.
 */
static int64_t
update_silent_since (struct primary_manager *primary_manager, int64_t now_us)
{
	struct controller *controller = primary_manager->controller;
	bool has_read = controller->polled_sent_us > primary_manager->first_asked_us;

	if (!has_read || controller->is_isolated)
		primary_manager->silent_since_us = now_us;
	/* VMs that follow a poller rarely read the store. Most losses are agreed on before this. */
	if (!has_read && !controller->is_polling &&
	    now_us - primary_manager->first_asked_us > MANAGER_READ_US)
		controller_poll (controller, now_us);
	return primary_manager->silent_since_us;
}

/** Counts the opinions of the listed VMs, including this one, which does not reach the primary. */
static struct reachability_votes
count_opinions (const struct primary_manager *primary_manager, int64_t now_us)
{
	const struct controller *controller = primary_manager->controller;
	struct reachability_votes votes = { .lost = 1 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct opinion *opinion = g_hash_table_lookup (primary_manager->opinions, member->vm);

		if (!member->is_listed)
			continue;
		if (!opinion || now_us - opinion->at_us > MANAGER_OPINION_AGE_US)
			votes.silent++;
		else if (opinion->is_unreachable)
			votes.lost++;
		else
			votes.reachable++;
	}
	return votes;
}

/**
 * Whether the server's entry has been missing for longer than an outage of the store explains.
 * @param record_us when the record that names the server was adopted. Servers that are promoted are listed, so an entry
 * that was missing before is expected to be back soon.
 */
static bool
is_missing (const struct controller *controller, const struct known_server *server,
            int64_t record_us, int64_t now_us)
{
	int64_t since_us = MAX (record_us, controller->store_ok_us);

	if ((server && server->missing_us == 0) || controller->store_ok_us == 0)
		return false;
	if (server)
		since_us = MAX (since_us, server->missing_us);
	return now_us - since_us > MANAGER_MISSING_US;
}

static uint64_t
rank_key (const char *service, const char *vm)
{
	return XXH64 (vm, strlen (vm), XXH64 (service, strlen (service), 0));
}

/** Rank of this VM among the live ones; differs between services. */
static uint32_t
find_rank (const struct primary_manager *primary_manager, int64_t now_us)
{
	const struct controller *controller = primary_manager->controller;
	uint64_t own = rank_key (primary_manager->service, controller->boot.vm);
	uint32_t rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		if (member_is_alive (controller, member, now_us) &&
		    rank_key (primary_manager->service, member->vm) < own)
			rank++;
	}
	return rank;
}

static enum succession_cause
find_change_cause (struct primary_manager *primary_manager, int64_t now_us)
{
	struct controller *controller = primary_manager->controller;
	struct succession *succession = &primary_manager->succession;
	struct known_server *primary =
		primary_manager_find_server (primary_manager, succession->record.primary);
	struct reachability_votes votes;
	int64_t since_us;

	if (succession->record.change == 0 || succession->record.is_changing ||
	    !controller->has_directory || controller->is_leaving)
		return SUCCESSION_NO_CAUSE;
	if (is_missing (controller, primary, succession->record_us, now_us))
		return !primary || primary->is_unreachable ? SUCCESSION_FAILED : SUCCESSION_LEAVING;
	if (!primary)
		return SUCCESSION_NO_CAUSE;
	/* The other VMs may reach it, and its log has to be received before another server leads. */
	if (primary->entry.is_draining && !primary->is_unreachable)
		return SUCCESSION_LEAVING;
	if (primary->not_primary_us > 0)
	{
		if (now_us - primary_manager->status_asked_us > MANAGER_STATUS_INTERVAL_US)
		{
			primary_manager->status_asked_us = now_us;
			request_statuses (primary_manager, primary->entry.id);
		}
		since_us = primary->not_primary_us > succession->record_us ? primary->not_primary_us
		                                                           : succession->record_us;
		if (primary->status_us - since_us > MANAGER_NOT_PRIMARY_US)
			return SUCCESSION_FAILED;
	}
	if (!primary->is_unreachable)
	{
		primary_manager->unreachable_us = 0;
		primary_manager->opinion_asked_us = 0;
		return SUCCESSION_NO_CAUSE;
	}
	if (primary_manager->unreachable_us == 0)
		primary_manager->unreachable_us = now_us;
	/* A change needs the store. Without it, the questions may not arrive either. */
	if (controller->store_ok_us == 0)
	{
		primary_manager->opinion_asked_us = 0;
		return SUCCESSION_NO_CAUSE;
	}
	/* It is enough that the VMs of the lowest ranks collect opinions. */
	if (now_us - primary_manager->unreachable_us <
	    find_rank (primary_manager, now_us) * MANAGER_OPINION_RANK_US)
		return SUCCESSION_NO_CAUSE;
	request_opinions (primary_manager, primary->entry.id, now_us);
	votes = count_opinions (primary_manager, now_us);
	return reachability_is_agreed (&votes, update_silent_since (primary_manager, now_us), now_us)
	           ? SUCCESSION_FAILED
	           : SUCCESSION_NO_CAUSE;
}

/** Takes over the record from the answer to a refused swap. */
static void
apply_refused_swap (struct primary_manager *primary_manager, const struct platform_answer *answer,
                    int64_t now_us)
{
	struct store_position at = { answer->era, answer->count > 0 ? answer->pairs[0].revision : 0 };
	struct succession_record record = { 0 };
	uint64_t era;

	if (answer->count == 0)
		return;
	(void) primary_record_parse (answer->pairs[0].value, answer->pairs[0].value_length, at.revision,
	                             &record, &era);
	primary_manager_set_stored (primary_manager, &record, era, at, now_us);
}

/** Whether the swap was sent and answered in the present era. Otherwise the store may have forgotten it. */
static bool
is_of_present_era (const struct primary_manager *primary_manager,
                   const struct platform_answer *answer)
{
	uint64_t era = primary_manager->controller->store_era;

	return answer->era == era && primary_manager->swap_era == era;
}

static enum succession_swap
find_swap_result (const struct primary_manager *primary_manager,
                  const struct platform_answer *answer)
{
	if (answer->error < 0)
		return SUCCESSION_SWAP_UNKNOWN;
	return answer->succeeded && is_of_present_era (primary_manager, answer)
	           ? SUCCESSION_SWAPPED
	           : SUCCESSION_SWAP_REFUSED;
}

static void
handle_swap (void *data, const struct platform_answer *answer)
{
	struct primary_manager *primary_manager = data;
	struct controller *controller = primary_manager->controller;
	struct succession *succession = &primary_manager->succession;
	int64_t now_us = clock_now_us ();
	bool is_rewriting = primary_manager->is_rewriting;
	enum succession_swap result;

	if (answer->error == 0)
		controller_set_era (controller, answer->era, now_us);
	result = find_swap_result (primary_manager, answer);
	log_event (LOG_LEVEL_INFO, "record_swap",
	           "service=%s phase=%d rewriting=%d succeeded=%d era=%llu revision=%llu error=%d",
	           log_text (primary_manager->service), succession->phase, is_rewriting,
	           answer->succeeded, (unsigned long long) answer->era,
	           (unsigned long long) answer->revision, answer->error);
	primary_manager->is_rewriting = false;
	if (result == SUCCESSION_SWAP_REFUSED && is_of_present_era (primary_manager, answer))
		apply_refused_swap (primary_manager, answer, now_us);
	if (is_rewriting && result == SUCCESSION_SWAPPED)
		counter_add (COUNTER_RECORDS_REWRITTEN, 1);
	else if (succession->phase == SUCCESSION_RECORDING && result == SUCCESSION_SWAPPED)
		counter_add (COUNTER_FAILOVERS, 1);
	if (!is_rewriting)
		succession_handle_swap (succession, result, primary_manager->swap.change, now_us);
	if (result == SUCCESSION_SWAPPED)
	{
		struct store_position at = { answer->era, answer->revision };

		primary_manager_set_stored (primary_manager, &primary_manager->swap, answer->era, at,
		                            now_us);
		if (!is_rewriting)
			primary_manager_send_record (primary_manager);
	}
	/* Reads the list of VMs and the records again at once. */
	controller_poll (controller, now_us);
}

/**
 * @param is_new the key must not exist, even with a value that is malformed.
 * @return 0, -ESTALE when the present era's record has not been read yet, or a negative error of the platform.
 */
static int
swap_record (struct primary_manager *primary_manager, const struct succession_record *record,
             bool is_new)
{
	struct controller *controller = primary_manager->controller;
	uint64_t expected = is_new ? 0 : primary_manager->stored.at.revision;
	char *key;
	char *value;
	int result;

	if (primary_manager->stored.at.era != controller->store_era)
		return -ESTALE;
	key = g_strdup_printf ("%s%s", controller_record_prefix, primary_manager->service);
	value = primary_record_format (record, controller->store_era);
	primary_manager->swap = *record;
	primary_manager->swap_era = controller->store_era;
	result = controller->platform.ops->swap (&controller->platform, key, expected, value,
	                                         strlen (value), handle_swap, primary_manager);

	log_event (LOG_LEVEL_INFO, "record_swap_sent",
	           "service=%s primary=%s claimant=%s%s expected=%llu result=%d",
	           log_text (primary_manager->service), log_text (record->primary),
	           log_text (record->claimant[0] ? record->claimant : NULL),
	           strstr (value, " changing="), (unsigned long long) expected, result);
	g_free (value);
	g_free (key);
	return result;
}

void
primary_manager_restore (struct primary_manager *primary_manager, int64_t now_us)
{
	struct controller *controller = primary_manager->controller;
	const struct succession *succession = &primary_manager->succession;
	int64_t delay_us = (int64_t) (rank_key (primary_manager->service, controller->boot.vm) %
	                              MANAGER_RESTORE_STEPS) *
	                   MANAGER_RESTORE_STEP_US;

	/* A VM that follows a poller does not read the store often enough to see that another one has written. */
	if (!controller->is_poller || controller->unconfirmed == 0 || succession->record.change == 0 ||
	    succession->phase != SUCCESSION_STEADY || primary_manager->is_rewriting ||
	    primary_manager->stored.at.era != controller->store_era)
		return;
	if (restore_judge (succession->record.change, &primary_manager->stored,
	                   controller->store_era) == RESTORE_CONFIRMED ||
	    !restore_may_write (controller->restored_us, controller->majority_us, now_us - delay_us))
		return;
	if (now_us - primary_manager->rewritten_us < MANAGER_RESTORE_RETRY_US)
		return;
	primary_manager->rewritten_us = now_us;
	primary_manager->is_rewriting = swap_record (primary_manager, &succession->record, false) == 0;
}

static uint64_t
next_change (const struct primary_manager *primary_manager)
{
	return succession_next_change (primary_manager->succession.record.change,
	                               primary_manager->controller->store_era);
}

static void
handle_promoted (void *data, const struct platform_answer *answer)
{
	struct primary_manager *primary_manager = data;

	primary_manager->is_promoting = false;
	log_event (LOG_LEVEL_INFO, "promote_answered", "service=%s server=%s token=%llu error=%d",
	           log_text (primary_manager->service), log_text (primary_manager->succession.target),
	           (unsigned long long) primary_manager->succession.claim_change, answer->error);
	succession_handle_promote (&primary_manager->succession, answer->error, clock_now_us ());
}

static void
promote (struct primary_manager *primary_manager)
{
	struct controller *controller = primary_manager->controller;
	struct succession *succession = &primary_manager->succession;
	int result;

	/* The process may have been suspended since the decision. */
	if (!succession_may_promote (succession, controller->store_era, clock_now_us ()))
	{
		succession_handle_promote (succession, -ETIMEDOUT, clock_now_us ());
		return;
	}
	primary_manager->is_promoting = true;
	log_event (LOG_LEVEL_INFO, "promote_sent", "service=%s server=%s token=%llu",
	           log_text (primary_manager->service), log_text (succession->target),
	           (unsigned long long) succession->claim_change);
	result = controller->platform.ops->promote (
		&controller->platform, primary_manager->service, succession->target, controller->boot.vm,
		succession->claim_change, handle_promoted, primary_manager);
	if (result < 0)
	{
		primary_manager->is_promoting = false;
		succession_handle_promote (succession, result, clock_now_us ());
	}
}

/** Logs what this VM knows of the primary when it claims a change. */
static void
log_claim (const struct primary_manager *primary_manager, int64_t now_us)
{
	const struct succession *succession = &primary_manager->succession;
	const struct known_server *primary =
		primary_manager_find_server (primary_manager, succession->record.primary);
	struct reachability_votes votes = count_opinions (primary_manager, now_us);

	log_event (LOG_LEVEL_INFO, "change_claimed",
	           "service=%s primary=%s term=%llu planned=%d takeover=%d listed=%d unreachable=%d "
	           "unreachable_ms=%lld not_primary=%d lost=%u reachable=%u silent=%u store_ok_ms=%lld",
	           log_text (primary_manager->service), log_text (succession->record.primary),
	           (unsigned long long) succession->record.term, succession->is_planned,
	           succession->record.is_changing, primary && primary->is_listed,
	           primary && primary->is_unreachable,
	           primary_manager->unreachable_us > 0
	               ? (long long) (now_us - primary_manager->unreachable_us) / US_PER_MS
	               : 0,
	           primary && primary->not_primary_us > 0, votes.lost, votes.reachable, votes.silent,
	           (long long) (now_us - primary_manager->controller->store_ok_us) / US_PER_MS);
}

/** Writes a step of a change of primary. */
static void
write_step (struct primary_manager *primary_manager, const struct succession_record *record)
{
	struct succession *succession = &primary_manager->succession;
	bool is_new = succession->phase == SUCCESSION_CREATING;

	if (swap_record (primary_manager, record, is_new) == -ESTALE)
		succession_handle_swap (succession, SUCCESSION_SWAP_REFUSED, record->change,
		                        clock_now_us ());
}

static void
perform_action (struct primary_manager *primary_manager, enum succession_action action)
{
	struct succession *succession = &primary_manager->succession;
	struct succession_record record = succession->record;

	switch (action)
	{
	case SUCCESSION_NOTHING:
		break;
	case SUCCESSION_CREATE:
	case SUCCESSION_RECORD:
		memcpy (record.primary, succession->target, sizeof record.primary);
		memcpy (record.claimant, succession->vm, sizeof record.claimant);
		record.is_changing = false;
		record.is_planned = false;
		record.claims = 0;
		record.term = succession->new_term;
		if (action == SUCCESSION_RECORD)
			term_history_begin (&record.terms, record.term, succession->new_term_start);
		record.change = action == SUCCESSION_CREATE ? FIRST_CHANGE : next_change (primary_manager);
		write_step (primary_manager, &record);
		break;
	case SUCCESSION_CLAIM:
		memcpy (record.claimant, succession->vm, sizeof record.claimant);
		record.is_changing = true;
		record.is_planned = succession->is_planned;
		record.claims++;
		record.change = next_change (primary_manager);
		log_claim (primary_manager, clock_now_us ());
		write_step (primary_manager, &record);
		break;
	case SUCCESSION_ASK_MEMBERS:
		primary_manager_send_record (primary_manager);
		request_statuses (primary_manager, NULL);
		break;
	case SUCCESSION_DEMOTE:
		gateway_traffic_request_status (primary_manager->controller->traffic,
		                                succession->record.primary, succession->demote_term);
		request_statuses (primary_manager, NULL);
		break;
	case SUCCESSION_ASK_SERVERS:
		request_statuses (primary_manager,
		                  succession->phase == SUCCESSION_CONFIRMING ? succession->target : NULL);
		break;
	case SUCCESSION_PROMOTE:
		primary_manager_log_choice (primary_manager, clock_now_us ());
		promote (primary_manager);
		break;
	}
}

void
primary_manager_tick (struct primary_manager *primary_manager, int64_t now_us)
{
	struct controller *controller = primary_manager->controller;
	struct succession_server servers[PRIMARY_MANAGER_MAX_SERVERS];
	bool is_stored_known = primary_manager->stored.at.era == controller->store_era;
	const struct database_service *declared =
		controller->configuration
			? g_hash_table_lookup (controller->configuration->services, primary_manager->service)
			: NULL;
	struct succession_input input = {
		.servers = servers,
		.sync_replicas = declared ? declared->sync_replicas : 0,
		.cause = find_change_cause (primary_manager, now_us),
		.planned_wait_end_us = primary_manager_wait_end (primary_manager),
		.has_read_records = controller->members_valid_us > 0 && is_stored_known,
		.may_claim = controller->is_settled && is_stored_known,
		.directory_us = controller->directory_us,
		.era = controller->store_era,
		.former_claims_end_us = restore_claims_end_us (controller->restored_us),
	};

	/* Both walk whole tables, and this function runs every 20 ms for each service. */
	if (!succession_is_idle (&primary_manager->succession, input.cause))
	{
		input.server_count = primary_manager_collect_servers (primary_manager, servers);
		input.rank = find_rank (primary_manager, now_us);
	}
	if (primary_manager->succession.phase == SUCCESSION_GATHERING)
		input.answers = count_answers (primary_manager, now_us);
	perform_action (primary_manager,
	                succession_step (&primary_manager->succession, &input, now_us));
}
