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
	/* Lapsed entries of living servers are back about 2 s after the store's return. */
	DUTY_MISSING_US = 2500 * US_PER_MS,
	DUTY_OPINION_INTERVAL_US = 100 * US_PER_MS,
	DUTY_OPINION_AGE_US = 600 * US_PER_MS,
	/* An opinion of this age is asked for again. */
	DUTY_OPINION_FRESH_US = 300 * US_PER_MS,
	/* VMs that do not reach a primary ask the others one after the other, by rank. */
	DUTY_OPINION_RANK_US = 50 * US_PER_MS,
	/* A server that just became the primary may still answer as a replica. */
	DUTY_NOT_PRIMARY_US = 700 * US_PER_MS,
	DUTY_STATUS_INTERVAL_US = 200 * US_PER_MS,
	DUTY_MAX_SERVERS = 32,
};

struct duty *
duty_get (struct controller *controller, const char *service)
{
	struct duty *duty = g_hash_table_lookup (controller->duties, service);

	if (duty)
		return duty;
	duty = g_new0 (struct duty, 1);
	duty->service = g_strdup (service);
	duty->controller = controller;
	duty->quiesced = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	duty->opinions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	succession_init (&duty->succession, controller->boot.vm);
	g_hash_table_insert (controller->duties, duty->service, duty);
	return duty;
}

void
duty_free (struct duty *duty)
{
	g_hash_table_destroy (duty->quiesced);
	g_hash_table_destroy (duty->opinions);
	g_free (duty->service);
	g_free (duty);
}

uint64_t
controller_lead_digest (const struct controller *controller)
{
	uint64_t digest = 0;
	GHashTableIter iter;
	gpointer value;

	/* A sum, so that the order does not matter. */
	g_hash_table_iter_init (&iter, controller->duties);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct duty *duty = value;

		if (duty->succession.record.revision > 0)
			digest +=
				XXH64 (duty->service, strlen (duty->service), duty->succession.record.revision);
	}
	return digest;
}

char *
duty_record_format (const struct succession_record *record)
{
	return g_strdup_printf ("primary=%s claimant=%s changing=%d planned=%d term=%llu",
	                        record->primary, record->claimant[0] ? record->claimant : "-",
	                        record->is_changing, record->is_planned,
	                        (unsigned long long) record->term);
}

int
duty_record_parse (const char *text, size_t length, struct succession_record *record)
{
	char *copy = g_strndup (text, length);
	int changing = 0;
	int planned = 0;
	unsigned long long term = 0;
	int count = sscanf (copy, "primary=%95s claimant=%95s changing=%d planned=%d term=%llu",
	                    record->primary, record->claimant, &changing, &planned, &term);

	g_free (copy);
	record->is_changing = changing != 0;
	record->is_planned = planned != 0;
	record->term = term;
	return count == 5 ? 0 : -EBADMSG;
}

bool
duty_set_record (struct duty *duty, const struct succession_record *record, int64_t now_us)
{
	if (record->revision <= duty->succession.record.revision)
		return false;
	log_event (LOG_LEVEL_INFO, "record_adopted",
	           "service=%s primary=%s revision=%llu changing=%d planned=%d claimant=%s",
	           duty->service, record->primary, (unsigned long long) record->revision,
	           record->is_changing, record->is_planned, record->claimant);
	succession_set_record (&duty->succession, record, now_us);
	g_hash_table_remove_all (duty->opinions);
	duty->unreachable_us = 0;
	duty->controller->is_view_old = true;
	return true;
}

static const struct peer_address no_address = { 0, 0 };

void
duty_answer_claimant (struct duty *duty)
{
	struct controller *controller = duty->controller;
	const struct succession_record *record = &duty->succession.record;
	const struct member *member = g_hash_table_lookup (controller->members, record->claimant);
	struct peer_address to = member ? member->address : no_address;
	struct fs_quiesced_args args = {
		.vm = controller->boot.vm,
		.service = duty->service,
		.revision = record->revision,
		.is_settled = controller->is_settled,
	};

	if (!record->is_changing || duty->quiesced_revision != record->revision)
		return;
	if (to.ip == 0)
		to = duty->claimant;
	if (to.ip != 0)
		peers_send_quiesced (&controller->peers, to, &args);
}

struct fs_lead_args
duty_lead_args (struct duty *duty)
{
	struct succession_record *record = &duty->succession.record;

	return (struct fs_lead_args){
		.vm = duty->controller->boot.vm,
		.service = duty->service,
		.primary = record->primary,
		.claimant = record->claimant,
		.revision = record->revision,
		.is_changing = record->is_changing,
		.is_planned = record->is_planned,
		.term = record->term,
	};
}

void
duty_tell_members (struct duty *duty)
{
	struct controller *controller = duty->controller;
	const struct succession_record *record = &duty->succession.record;
	struct fs_lead_args args = duty_lead_args (duty);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct quiesced *quiesced = g_hash_table_lookup (duty->quiesced, member->vm);

		if ((!member->is_listed && !member->is_removed) ||
		    (record->is_changing && quiesced && quiesced->revision == record->revision))
			continue;
		peers_send_lead (&controller->peers, member->address, &args);
	}
}

static void
ask_servers (struct duty *duty, const char *only)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, duty->controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *server = value;

		if (!server->entry.id || strcmp (server->entry.service, duty->service) != 0)
			continue;
		if (server->is_listed && (!only || strcmp (only, server->entry.id) == 0))
			gateway_traffic_send_question (duty->controller->traffic, server->entry.id, 0);
	}
}

/** Who of the VMs that may use the old primary has stopped. */
static enum succession_answers
count_answers (const struct duty *duty)
{
	const struct controller *controller = duty->controller;
	uint64_t revision = duty->succession.claim_revision;
	struct quorum_member own = { true, controller->is_settled };
	GArray *members;
	enum succession_answers answers;
	GHashTableIter iter;
	gpointer value;

	/* The list of VMs must be younger than the order. */
	if (controller->listed_us < duty->succession.claimed_us || duty->quiesced_revision != revision)
		return SUCCESSION_FEW_STOPPED;
	members = g_array_new (FALSE, FALSE, sizeof (struct quorum_member));
	g_array_append_val (members, own);
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct quiesced *quiesced = g_hash_table_lookup (duty->quiesced, member->vm);
		struct quorum_member answer = {
			.has_stopped = quiesced && quiesced->revision == revision,
			.is_settled = member->is_settled || (quiesced && quiesced->is_settled),
		};

		if (member->is_listed || member->is_removed)
			g_array_append_val (members, answer);
	}
	answers = quorum_count_answers ((const struct quorum_member *) members->data, members->len);
	g_array_free (members, TRUE);
	return answers;
}

static void
ask_opinions (struct duty *duty, const char *server, int64_t now_us)
{
	struct controller *controller = duty->controller;
	struct fs_reachability_args args = {
		.vm = controller->boot.vm,
		.server = (char *) server,
		.is_question = true,
	};
	GHashTableIter iter;
	gpointer value;

	if (now_us - duty->opinion_asked_us < DUTY_OPINION_INTERVAL_US)
		return;
	duty->opinion_asked_us = now_us;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct opinion *opinion = g_hash_table_lookup (duty->opinions, member->vm);

		if (member->is_listed && (!opinion || now_us - opinion->at_us > DUTY_OPINION_FRESH_US))
			peers_send_opinion (&controller->peers, member->address, &args);
	}
}

/** Most VMs that answer do not reach the server. */
static bool
is_agreed (struct duty *duty, int64_t since_us, int64_t now_us)
{
	struct controller *controller = duty->controller;
	struct reachability_votes votes = { .lost = 1 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;
		const struct opinion *opinion = g_hash_table_lookup (duty->opinions, member->vm);

		if (!member->is_listed)
			continue;
		if (!opinion || now_us - opinion->at_us > DUTY_OPINION_AGE_US)
			votes.silent++;
		else if (opinion->is_unreachable)
			votes.lost++;
		else
			votes.reachable++;
	}
	return reachability_is_agreed (&votes, since_us, now_us);
}

static struct known_server *
find_server (const struct duty *duty, const char *id)
{
	return g_hash_table_lookup (duty->controller->servers, id);
}

/** The server's entry is missing for longer than a lapse takes. */
static bool
is_missing (const struct controller *controller, const struct known_server *server,
            int64_t unknown_us, int64_t now_us)
{
	int64_t missing_us = server ? server->missing_us : unknown_us;

	if (missing_us == 0 || controller->store_ok_us == 0)
		return false;
	return now_us - MAX (missing_us, controller->store_ok_us) > DUTY_MISSING_US;
}

static uint64_t
rank_key (const char *service, const char *vm)
{
	return XXH64 (vm, strlen (vm), XXH64 (service, strlen (service), 0));
}

/** Order of this VM among the living ones; differs between services. */
static uint32_t
find_rank (const struct duty *duty, int64_t now_us)
{
	const struct controller *controller = duty->controller;
	uint64_t own = rank_key (duty->service, controller->boot.vm);
	uint32_t rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		if (member_is_alive (controller, member, now_us) &&
		    rank_key (duty->service, member->vm) < own)
			rank++;
	}
	return rank;
}

static enum succession_cause
find_cause (struct duty *duty, int64_t now_us)
{
	struct controller *controller = duty->controller;
	struct succession *succession = &duty->succession;
	struct known_server *primary = find_server (duty, succession->record.primary);
	int64_t since_us;

	if (succession->record.revision == 0 || succession->record.is_changing ||
	    !controller->has_directory || controller->is_leaving)
		return SUCCESSION_NO_CAUSE;
	if (is_missing (controller, primary, succession->record_us, now_us))
		return !primary || primary->is_unreachable ? SUCCESSION_FAILED : SUCCESSION_LEAVING;
	if (!primary)
		return SUCCESSION_NO_CAUSE;
	if (primary->entry.is_draining)
		return SUCCESSION_LEAVING;
	if (primary->not_primary_us > 0)
	{
		if (now_us - duty->status_asked_us > DUTY_STATUS_INTERVAL_US)
		{
			duty->status_asked_us = now_us;
			ask_servers (duty, primary->entry.id);
		}
		since_us = primary->not_primary_us > succession->record_us ? primary->not_primary_us
		                                                           : succession->record_us;
		if (now_us - since_us > DUTY_NOT_PRIMARY_US)
			return SUCCESSION_FAILED;
	}
	if (!primary->is_unreachable)
	{
		duty->unreachable_us = 0;
		return SUCCESSION_NO_CAUSE;
	}
	if (duty->unreachable_us == 0)
		duty->unreachable_us = now_us;
	/* A change is written to the store, and a few VMs are enough to find out that it is needed. */
	if (controller->store_ok_us == 0 ||
	    now_us - duty->unreachable_us < find_rank (duty, now_us) * DUTY_OPINION_RANK_US)
		return SUCCESSION_NO_CAUSE;
	ask_opinions (duty, primary->entry.id, now_us);
	return is_agreed (duty, duty->unreachable_us, now_us) ? SUCCESSION_FAILED : SUCCESSION_NO_CAUSE;
}

static size_t
collect_servers (const struct duty *duty, struct succession_server *servers)
{
	size_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, duty->controller->servers);
	while (count < DUTY_MAX_SERVERS && g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *known = value;

		if (strcmp (known->entry.service, duty->service) != 0)
			continue;
		servers[count++] = (struct succession_server){
			.id = known->entry.id,
			.is_listed = known->is_listed,
			.is_draining = known->entry.is_draining,
			.is_unreachable = known->is_unreachable,
			.reports_primary = known->entry.reports_primary,
			.has_status = known->has_status,
			.status_us = known->status_us,
			.is_primary = known->status.is_primary,
			.term = known->status.term,
			.received = known->status.received,
			.applied = known->status.applied,
		};
	}
	return count;
}

static void
handle_swap (void *data, const struct platform_answer *answer)
{
	struct duty *duty = data;
	struct controller *controller = duty->controller;
	int64_t now_us = clock_now_us ();
	uint64_t revision = answer->error == 0 && answer->succeeded ? answer->revision : 0;

	log_event (LOG_LEVEL_INFO, "record_swap", "service=%s phase=%d revision=%llu error=%d",
	           duty->service, duty->succession.phase, (unsigned long long) revision, answer->error);
	if (duty->succession.phase == SUCCESSION_RECORDING && revision > 0)
		counter_add (COUNTER_FAILOVERS, 1);
	succession_handle_swap (&duty->succession, revision, now_us);
	if (revision > 0)
	{
		duty->swap.revision = revision;
		duty_set_record (duty, &duty->swap, now_us);
		duty_tell_members (duty);
	}
	/* The list of VMs and the records are read again at once. */
	controller_poll (controller, now_us);
}

static void
swap_record (struct duty *duty, const struct succession_record *record)
{
	struct controller *controller = duty->controller;
	char *key = g_strdup_printf ("%s%s", controller_lead_prefix, duty->service);
	char *value = duty_record_format (record);
	int result;

	duty->swap = *record;
	result = controller->platform.ops->swap (&controller->platform, key,
	                                         duty->succession.record.revision, value,
	                                         strlen (value), handle_swap, duty);

	log_event (LOG_LEVEL_INFO, "record_swap_sent", "service=%s %s expected=%llu result=%d",
	           duty->service, value, (unsigned long long) duty->succession.record.revision, result);
	g_free (value);
	g_free (key);
}

static void
handle_promoted (void *data, const struct platform_answer *answer)
{
	struct duty *duty = data;

	log_event (LOG_LEVEL_INFO, "promote_answered", "service=%s server=%s token=%llu error=%d",
	           duty->service, duty->succession.target,
	           (unsigned long long) duty->succession.claim_revision, answer->error);
	succession_handle_promote (&duty->succession, answer->error, clock_now_us ());
}

static void
promote (struct duty *duty)
{
	struct controller *controller = duty->controller;
	struct succession *succession = &duty->succession;
	int result;

	/* The process may have been suspended since the decision. */
	if (!succession_may_promote (succession, clock_now_us ()))
	{
		succession_handle_promote (succession, -ETIMEDOUT, clock_now_us ());
		return;
	}
	log_event (LOG_LEVEL_INFO, "promote_sent", "service=%s server=%s token=%llu", duty->service,
	           succession->target, (unsigned long long) succession->claim_revision);
	result = controller->platform.ops->promote (&controller->platform, duty->service,
	                                            succession->target, controller->boot.vm,
	                                            succession->claim_revision, handle_promoted, duty);
	if (result < 0)
		succession_handle_promote (succession, result, clock_now_us ());
}

static void
act (struct duty *duty, enum succession_action action)
{
	struct succession *succession = &duty->succession;
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
		record.term = succession->new_term;
		swap_record (duty, &record);
		break;
	case SUCCESSION_CLAIM:
		memcpy (record.claimant, succession->vm, sizeof record.claimant);
		record.is_changing = true;
		record.is_planned = succession->is_planned;
		swap_record (duty, &record);
		break;
	case SUCCESSION_ASK_MEMBERS:
		duty_tell_members (duty);
		ask_servers (duty, NULL);
		break;
	case SUCCESSION_DEMOTE:
		gateway_traffic_send_question (duty->controller->traffic, succession->record.primary,
		                               succession->demote_term);
		ask_servers (duty, NULL);
		break;
	case SUCCESSION_ASK_SERVERS:
		ask_servers (duty, succession->phase == SUCCESSION_CONFIRMING ? succession->target : NULL);
		break;
	case SUCCESSION_PROMOTE:
		promote (duty);
		break;
	}
}

void
duty_tick (struct duty *duty, int64_t now_us)
{
	struct controller *controller = duty->controller;
	struct succession_server servers[DUTY_MAX_SERVERS];
	const struct database_service *declared =
		controller->configuration
			? g_hash_table_lookup (controller->configuration->services, duty->service)
			: NULL;
	struct succession_input input = {
		.servers = servers,
		.server_count = collect_servers (duty, servers),
		.sync_replicas = declared ? declared->sync_replicas : 0,
		.cause = find_cause (duty, now_us),
		.rank = find_rank (duty, now_us),
		.has_read_records = controller->listed_us > 0,
		.may_claim = controller->is_settled,
	};

	if (duty->succession.phase == SUCCESSION_GATHERING)
		input.answers = count_answers (duty);
	act (duty, succession_step (&duty->succession, &input, now_us));
}
