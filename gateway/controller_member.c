#include "gateway/controller_private.h"

#include "common/log.h"
#include "decision/quorum.h"
#include "decision/reachability.h"

#include <string.h>
#include <xxhash.h>

enum
{
	/* Interval of hello messages. A VM that has not been heard for MEMBER_DEAD_US is considered dead. */
	MEMBER_HELLO_US = 1 * US_PER_S,
	MEMBER_DEAD_US = 8 * US_PER_S,
	/* When the records have not been confirmed for this long, the poller queries the other VMs. */
	MEMBER_ASK_AGE_US = 650 * US_PER_MS,
	/* Interval at which the other VMs of a zone query its poller; this needs no call of the store. */
	MEMBER_ASK_POLLER_US = 300 * US_PER_MS,
	/* Followers read the directory of servers at most this often, since many servers change together. A server that
	 * leaves is announced several seconds before. */
	MEMBER_DIRECTORY_US = 1 * US_PER_S,
	MEMBER_DIRECTORY_LARGE_FLEET_US = 2 * US_PER_S,
	/* Followers read the list of VMs at most this often, since many VMs start together. */
	MEMBER_RELIST_US = 2 * US_PER_S,
	/* A poller that has not answered with recent records for this long is not followed. */
	MEMBER_POLLER_TIMEOUT_US = 700 * US_PER_MS,
	/* Such a poller is avoided for the usual duration of a VM's network outage. */
	MEMBER_AVOIDED_US = 5 * US_PER_S,
	/* When the records have not been confirmed for this long, this VM takes no callers: several queries to other VMs
	 * were not answered, and the limit of SUCCESSION_AUTHORITY_MS is near. */
	MEMBER_ISOLATED_US = 900 * US_PER_MS,
	/* Interval of a poller's queries to all VMs, and a longer one for larger fleets, in which the number of queries
	 * grows with the square of the VMs. */
	MEMBER_ASK_US = 200 * US_PER_MS,
	MEMBER_ASK_LARGE_FLEET_US = 300 * US_PER_MS,
	/* An answer to a query that is older than this does not confirm the records. */
	MEMBER_ANSWER_AGE_US = 1 * US_PER_S,
	/* Interval of the walk over all VMs that finds dead ones, well below MEMBER_DEAD_US; news of a VM that leaves
	 * cause one at once. */
	MEMBER_SERVING_US = 200 * US_PER_MS,
	/* Interval at which the store is read since another VM names a later era. */
	MEMBER_ERA_US = 1 * US_PER_S,
};

struct member *
member_get (struct controller *controller, const char *vm, int64_t now_us)
{
	struct member *member = g_hash_table_lookup (controller->members, vm);

	if (member)
		return member;
	member = g_new0 (struct member, 1);
	member->vm = g_strdup (vm);
	member->seen_us = now_us;
	g_hash_table_insert (controller->members, member->vm, member);
	return member;
}

void
member_free (struct member *member)
{
	g_free (member->vm);
	g_free (member->zone);
	g_free (member);
}

bool
member_counts (const struct member *member, int64_t now_us)
{
	return member->is_listed || member->is_removed || now_us < member->retained_until_us;
}

void
zone_report_free (struct zone_report *report)
{
	g_hash_table_destroy (report->absent);
	g_free (report);
}

static bool
is_in_own_zone (const struct controller *controller, const struct member *member)
{
	return g_strcmp0 (member->zone, controller->boot.zone) == 0;
}

/** Finds the recent report of the poller of the VM's zone. @return NULL if there is none, and for the own zone. */
static const struct zone_report *
find_report (const struct controller *controller, const struct member *member, int64_t now_us)
{
	const struct zone_report *report = member->zone && !is_in_own_zone (controller, member)
	                                       ? g_hash_table_lookup (controller->zones, member->zone)
	                                       : NULL;

	return report && now_us - report->last_heard_us < MEMBER_DEAD_US ? report : NULL;
}

bool
member_is_alive (const struct controller *controller, const struct member *member, int64_t now_us)
{
	int64_t last_us =
		member->last_heard_us > member->seen_us ? member->last_heard_us : member->seen_us;
	const struct zone_report *report = find_report (controller, member, now_us);

	if (!member->is_listed)
		return false;
	if (report)
		return !g_hash_table_contains (report->absent, member->vm);
	return now_us - last_us < MEMBER_DEAD_US;
}

/** Whether other VMs should forward nothing to this one. Its control thread answers also while its traffic thread hangs. */
static bool
is_absent (const struct controller *controller, int64_t now_us)
{
	return controller->is_leaving || !controller_serves (controller, now_us);
}

/** As poller, reports to the other zones which VMs of this one are dead or leaving. */
static void
send_zone_report (struct controller *controller, int64_t now_us)
{
	char *absent[FS_GATEWAY_MAX_ABSENT];
	struct fs_zone_args args = {
		.vm = controller->boot.vm,
		.zone = controller->boot.zone,
		.absent.absent_val = absent,
	};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (args.absent.absent_len < FS_GATEWAY_MAX_ABSENT &&
	       g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct member *member = value;

		if (member->is_listed && is_in_own_zone (controller, member) &&
		    (member->is_leaving || !member_is_alive (controller, member, now_us)))
			absent[args.absent.absent_len++] = member->vm;
	}
	if (is_absent (controller, now_us) && args.absent.absent_len < FS_GATEWAY_MAX_ABSENT)
		absent[args.absent.absent_len++] = controller->boot.vm;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		if (member->is_listed && !is_in_own_zone (controller, member))
			peers_send_zone (&controller->peers, member->address, &args);
	}
}

static void
handle_zone (void *data, const struct fs_zone_args *args)
{
	struct controller *controller = data;
	struct zone_report *report = g_hash_table_lookup (controller->zones, args->zone);
	struct member *member = g_hash_table_lookup (controller->members, args->vm);

	if (!report)
	{
		report = g_new0 (struct zone_report, 1);
		report->absent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
		g_hash_table_insert (controller->zones, g_strdup (args->zone), report);
	}
	report->last_heard_us = clock_now_us ();
	controller->is_serving_dirty = true;
	if (member)
		member->last_heard_us = report->last_heard_us;
	g_hash_table_remove_all (report->absent);
	for (u_int i = 0; i < args->absent.absent_len; i++)
		g_hash_table_add (report->absent, g_strdup (args->absent.absent_val[i]));
}

static void
handle_removed (void *data, const struct platform_answer *answer)
{
	log_event (LOG_LEVEL_INFO, "member_removal", "error=%d succeeded=%d", answer->error,
	           answer->succeeded);
	if (answer->error == 0)
		controller_set_era (data, answer->era, clock_now_us ());
}

/** Marks the record of a dead VM as removed, or deletes a record that is marked. */
static void
remove_member (struct controller *controller, struct member *member, int64_t now_us)
{
	char *key = g_strdup_printf ("%s%s", controller_member_prefix, member->vm);
	char *value = member->is_removed ? NULL
	                                 : member_record_format (&member->address, member->zone,
	                                                         "removed", member->is_settled, true);

	log_event (LOG_LEVEL_INFO, "member_dead", "member=%s quiet_ms=%lld marked=%d",
	           log_text (member->vm), (long long) (now_us - member->last_heard_us) / US_PER_MS,
	           member->is_removed);
	controller->platform.ops->swap (&controller->platform, key, member->at.revision, value,
	                                value ? strlen (value) : 0, handle_removed, controller);
	member->seen_us = now_us; /* Tried again after MEMBER_DEAD_US. */
	if (member->is_removed)
		member->removed_us = now_us;
	g_free (value);
	g_free (key);
}

/**
 * If this VM is the first live one, removes the records of dead VMs, so that no change of primary waits for them.
 * A removed VM still counts for QUORUM_REMOVED_US, since it may use a list that names it.
 */
static void
remove_dead (struct controller *controller, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	/* The revisions of the records are of an earlier era. */
	if (controller->members_era != controller->store_era)
		return;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		if (member_is_alive (controller, member, now_us) &&
		    strcmp (member->vm, controller->boot.vm) < 0)
			return;
	}
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct member *member = value;
		/* A VM that sends to this one may use a primary, even if its zone's poller reports it as absent. */
		bool is_dead = member->is_listed && !member_is_alive (controller, member, now_us) &&
		               now_us - MAX (member->last_heard_us, member->seen_us) >= MEMBER_DEAD_US;

		if (is_dead || (member->is_removed && now_us - member->removed_us >= QUORUM_REMOVED_US))
			remove_member (controller, member, now_us);
	}
}

static void
send_hello (struct controller *controller, bool is_question, int64_t now_us)
{
	struct fs_hello_args args = {
		.vm = controller->boot.vm,
		.number = is_question ? (uint64_t) now_us : 0,
		.is_question = is_question,
		.is_leaving = is_absent (controller, now_us),
		.digest = controller_records_digest (controller),
		.era = controller->store_era,
	};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		/* Traffic between zones is expensive, so the other zones learn about this VM from the poller's report. */
		if (member->is_listed && (is_question || is_in_own_zone (controller, member)))
			peers_send_hello (&controller->peers, member->address, &args);
	}
}

/**
 * Finds the VM that polls the store on behalf of the zone: its first live VM that answers with recent records.
 * @return NULL when it is this VM.
 */
static struct member *
find_poller (struct controller *controller, int64_t now_us)
{
	struct member *poller = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct member *member = value;

		if (!is_in_own_zone (controller, member) || member->is_leaving ||
		    now_us < member->avoided_until_us)
			continue;
		if (strcmp (member->vm, poller ? poller->vm : controller->boot.vm) < 0 &&
		    member_is_alive (controller, member, now_us))
			poller = member;
	}
	return poller;
}

/** Avoids a poller that does not answer, or answers without recent records. */
static void
check_poller (struct controller *controller, struct member *poller, int64_t now_us)
{
	if (!poller || poller->unanswered_since_us == 0 ||
	    now_us - poller->unanswered_since_us < MEMBER_POLLER_TIMEOUT_US)
		return;
	log_event (LOG_LEVEL_INFO, "poller_avoided", "member=%s knowledge_age_ms=%lld",
	           log_text (poller->vm),
	           (long long) (now_us - controller->records_valid_us) / US_PER_MS);
	poller->unanswered_since_us = 0;
	poller->avoided_until_us = now_us + MEMBER_AVOIDED_US;
}

static void
query_poller (struct controller *controller, int64_t now_us)
{
	struct member *poller;
	struct fs_hello_args args = {
		.vm = controller->boot.vm,
		.number = (uint64_t) now_us,
		.is_question = true,
		.is_leaving = is_absent (controller, now_us),
		.digest = controller_records_digest (controller),
		.era = controller->store_era,
	};

	poller = find_poller (controller, now_us);
	check_poller (controller, poller, now_us);
	if (poller && now_us < poller->avoided_until_us)
		poller = find_poller (controller, now_us);
	controller->is_poller = poller == NULL;
	controller->poller = poller;
	controller_set_following (controller, poller && now_us - controller->poller_answered_us <
	                                                    MEMBER_POLLER_TIMEOUT_US);
	if (!poller || now_us - controller->poller_asked_us < MEMBER_ASK_POLLER_US)
		return;
	controller->poller_asked_us = now_us;
	if (poller->unanswered_since_us == 0)
		poller->unanswered_since_us = now_us;
	peers_send_hello (&controller->peers, poller->address, &args);
}

/** Whether the records are about to expire, so that callers should use other VMs. */
static bool
should_be_isolated (const struct controller *controller, int64_t now_us)
{
	int64_t age_us = now_us - controller->records_valid_us;

	return controller->records_valid_us > 0 &&
	       age_us > (controller->is_isolated ? MEMBER_ASK_AGE_US : MEMBER_ISOLATED_US);
}

static void
update_isolated (struct controller *controller, int64_t now_us)
{
	bool is_isolated = should_be_isolated (controller, now_us);

	if (is_isolated == controller->is_isolated)
		return;
	log_event (LOG_LEVEL_WARN, is_isolated ? "isolated" : "connected", "knowledge_age_ms=%lld",
	           (long long) (now_us - controller->records_valid_us) / US_PER_MS);
	controller->is_isolated = is_isolated;
	controller->is_view_dirty = true;
}

void
members_update_serving (struct controller *controller, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 1;
	uint32_t listed_count = 1;

	controller->is_serving_dirty = false;
	controller->serving_checked_us = now_us;
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct member *member = value;
		bool is_alive = member_is_alive (controller, member, now_us);

		count += is_alive;
		listed_count += member->is_listed || member->is_removed;
		if (member->is_serving != (is_alive && !member->is_leaving))
		{
			member->is_serving = !member->is_serving;
			controller->is_view_dirty = true;
		}
	}
	if (count != controller->vm_count || listed_count != controller->listed_count)
		controller->is_view_dirty = true;
	controller->vm_count = count;
	controller->listed_count = listed_count;
}

void
members_tick (struct controller *controller, int64_t now_us)
{
	if (now_us - controller->last_hello_us >= MEMBER_HELLO_US)
	{
		controller->last_hello_us = now_us;
		send_hello (controller, false, now_us);
		if (controller->is_poller)
			send_zone_report (controller, now_us);
		if (controller->store_ok_us > 0 && now_us - controller->store_ok_us > MEMBER_DEAD_US)
			remove_dead (controller, now_us);
	}
	query_poller (controller, now_us);
	controller_settle (controller, now_us);
	update_isolated (controller, now_us);
	/* Only pollers query all VMs: when each of 87 VMs did so while the store was slow, they sent 7 MB/s. */
	if (controller->is_poller &&
	    (now_us - controller->records_valid_us > MEMBER_ASK_AGE_US ||
	     controller->unconfirmed > 0) &&
	    now_us - controller->members_asked_us > (controller->vm_count > CONTROL_LARGE_FLEET
	                                                 ? MEMBER_ASK_LARGE_FLEET_US
	                                                 : MEMBER_ASK_US))
	{
		controller->members_asked_us = now_us;
		send_hello (controller, true, now_us);
	}
	if (controller->is_serving_dirty ||
	    now_us - controller->serving_checked_us >= MEMBER_SERVING_US)
		members_update_serving (controller, now_us);
}

static struct member *
update_last_heard (struct controller *controller, const char *vm)
{
	struct member *member = g_hash_table_lookup (controller->members, vm);

	if (member)
		member->last_heard_us = clock_now_us ();
	return member;
}

_Static_assert(FS_GATEWAY_MAX_TERMS <= TERM_HISTORY_STARTS, "a datagram's terms fit a record");

static void
handle_primary_record (void *data, const struct fs_lead_args *args, struct peer_address from)
{
	struct controller *controller = data;
	struct primary_manager *primary_manager = primary_manager_get (controller, args->service);
	struct succession_record record = {
		.change = args->change,
		.is_changing = args->is_changing,
		.is_planned = args->is_planned,
		.term = args->term,
		.claims = args->claims,
	};

	update_last_heard (controller, args->vm);
	g_strlcpy (record.primary, args->primary, sizeof record.primary);
	g_strlcpy (record.claimant, args->claimant, sizeof record.claimant);
	for (u_int i = 0; i < args->terms.terms_len; i++)
		record.terms.starts[record.terms.count++] =
			(struct term_start){ args->terms.terms_val[i].term, args->terms.terms_val[i].index };
	if (strcmp (args->vm, args->claimant) == 0)
		primary_manager->claimant = from;
	if (args->store_revision > 0 && args->store_era == controller->store_era)
		primary_manager_set_stored (
			primary_manager, &record, args->store_era,
			(struct store_position){ args->store_era, args->store_revision }, clock_now_us ());
	primary_manager_set_record (primary_manager, &record, clock_now_us ());
	primary_manager_notify_claimant (primary_manager);
}

static void
handle_quiesced (void *data, const struct fs_quiesced_args *args, struct peer_address from)
{
	struct controller *controller = data;
	struct primary_manager *primary_manager = primary_manager_get (controller, args->service);
	struct quiesced *quiesced = g_new (struct quiesced, 1);

	update_last_heard (controller, args->vm);
	*quiesced = (struct quiesced){ args->change, args->is_settled };
	g_hash_table_replace (primary_manager->quiesced, g_strdup (args->vm), quiesced);
}

static void
handle_opinion_question (struct controller *controller, const struct fs_reachability_args *args,
                         struct peer_address from)
{
	const struct known_server *server = g_hash_table_lookup (controller->servers, args->server);
	enum reachability_opinion opinion =
		server ? reachability_form_opinion (server->is_unreachable, server->contact_us,
	                                        clock_now_us ())
			   : REACHABILITY_UNKNOWN;
	struct fs_reachability_args answer = {
		.vm = controller->boot.vm,
		.server = args->server,
		.is_unreachable = opinion == REACHABILITY_LOST,
	};

	/* The question is repeated; by then the traffic thread has reported its last contact. */
	if (server && opinion != REACHABILITY_LOST)
		gateway_traffic_request_contact (controller->traffic, args->server);
	if (opinion == REACHABILITY_UNKNOWN)
		return;
	peers_send_opinion (&controller->peers, from, &answer);
}

static void
handle_opinion (void *data, const struct fs_reachability_args *args, struct peer_address from)
{
	struct controller *controller = data;
	const struct known_server *server = g_hash_table_lookup (controller->servers, args->server);
	struct opinion *opinion;
	struct primary_manager *primary_manager;

	update_last_heard (controller, args->vm);
	if (args->is_question)
	{
		handle_opinion_question (controller, args, from);
		return;
	}
	if (!server)
		return;
	primary_manager = primary_manager_get (controller, server->entry.service);
	if (strcmp (args->server, primary_manager->succession.record.primary) != 0)
		return;
	opinion = g_new (struct opinion, 1);
	*opinion = (struct opinion){ args->is_unreachable, clock_now_us () };
	g_hash_table_replace (primary_manager->opinions, g_strdup (args->vm), opinion);
}

/** Sends all records to a VM that has different ones; it keeps the latest of each service. */
static void
send_records (struct controller *controller, struct peer_address to)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct primary_manager *primary_manager = value;
		struct fs_lead_args args = primary_manager_record_args (primary_manager);

		if (args.change > 0)
			peers_send_primary_record (&controller->peers, to, &args);
	}
}

/** Whether this VM is changing the primary of no service. */
static bool
is_steady (const struct controller *controller)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		if (((const struct primary_manager *) value)->succession.phase != SUCCESSION_STEADY)
			return false;
	return true;
}

/** Digest of the records of all VMs, including this one; equal on VMs that have the same list. */
static uint64_t
find_members_digest (const struct controller *controller)
{
	uint64_t digest = controller->members_era;
	GHashTableIter iter;
	gpointer value;

	if (controller->is_registered)
		digest +=
			XXH64 (controller->boot.vm, strlen (controller->boot.vm), controller->own_revision);
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		if (member->is_listed || member->is_removed)
			digest += XXH64 (member->vm, strlen (member->vm), member->at.revision);
	}
	return digest;
}

/** Handles an answer of the zone's poller: reads what has changed since this VM last read it. */
static void
apply_poller_answer (struct controller *controller, const struct fs_hello_args *args,
                     int64_t asked_us, int64_t now_us)
{
	int64_t members_valid_us = asked_us - (int64_t) args->list_age_us;
	struct store_position directory_at = { args->directory_era, args->directory_revision };

	/* A poller that does not reach the store does not learn of changes to the configuration and servers either. */
	if (!args->has_knowledge || now_us - members_valid_us > MEMBER_ISOLATED_US)
		return;
	controller->poller_answered_us = now_us;
	if (args->members_digest != find_members_digest (controller))
	{
		if (now_us - controller->members_valid_us > MEMBER_RELIST_US)
			controller_poll (controller, now_us);
	}
	else if (members_valid_us > controller->members_valid_us)
		controller->members_valid_us = members_valid_us;
	if (args->configuration > (controller->configuration ? controller->configuration->version : 0))
		controller_read_configuration (controller);
	if (store_position_compare (directory_at, controller->directory_at) > 0 &&
	    now_us - controller->directory_read_us > (controller->vm_count > CONTROL_LARGE_FLEET
	                                                  ? MEMBER_DIRECTORY_LARGE_FLEET_US
	                                                  : MEMBER_DIRECTORY_US))
	{
		controller->directory_read_us = now_us;
		controller_read_directory (controller);
	}
}

static void
update_records_valid (struct controller *controller, int64_t records_valid_us)
{
	if (records_valid_us <= controller->records_valid_us)
		return;
	controller->records_valid_us = records_valid_us;
	if (!controller->is_view_dirty)
		gateway_traffic_send_records_valid (controller->traffic, records_valid_us);
}

/**
 * Updates since when a quorum and a majority of VMs are known to have had the same records and no change of primary in
 * progress. Works without the store.
 */
static void
update_quorum (struct controller *controller)
{
	int64_t now_us = clock_now_us ();
	GArray *confirmed;
	size_t members = 1;
	int64_t *times_us;
	GHashTableIter iter;
	gpointer value;

	if (!controller->is_registered || !is_steady (controller) ||
	    now_us - controller->members_valid_us > QUORUM_LIST_AGE_US)
		return;
	confirmed = g_array_new (FALSE, FALSE, sizeof now_us);
	g_array_append_val (confirmed, now_us);
	g_hash_table_iter_init (&iter, controller->members);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct member *member = value;

		members += member_counts (member, now_us);
		if (member->is_listed && member->steady_us > 0)
			g_array_append_val (confirmed, member->steady_us);
	}
	times_us = (int64_t *) confirmed->data;
	controller->quorum_us =
		MAX (controller->quorum_us, quorum_confirmed_us (times_us, confirmed->len, members));
	controller->majority_us =
		MAX (controller->majority_us, quorum_majority_us (times_us, confirmed->len, members));
	g_array_free (confirmed, TRUE);
}

static void
handle_hello (void *data, const struct fs_hello_args *args, struct peer_address from)
{
	struct controller *controller = data;
	struct member *member = update_last_heard (controller, args->vm);
	int64_t now_us = clock_now_us ();
	int64_t asked_us = (int64_t) args->number;
	uint64_t digest = controller_records_digest (controller);

	/* Only the store's answer is believed: a VM that believed a wrong era would ignore the store. */
	if (controller->knows_era && args->era > controller->store_era &&
	    now_us - controller->era_heard_us > MEMBER_ERA_US)
	{
		controller->era_heard_us = now_us;
		controller_poll (controller, now_us);
	}
	if (member && member->is_leaving != args->is_leaving)
	{
		member->is_leaving = args->is_leaving;
		controller->is_serving_dirty = true;
	}
	if (args->is_question)
	{
		/* The list of VMs that names the asker must be as recent as the records. A poller reads both together, or has
		 * heard from all VMs. */
		int64_t reported_us = controller->is_poller ? controller->records_valid_us
		                                            : MIN (controller->records_valid_us,
		                                                   controller->members_valid_us);
		struct fs_hello_args answer = {
			.vm = controller->boot.vm,
			.number = args->number,
			.is_leaving = is_absent (controller, now_us),
			/* After a restart a VM may have forgotten a change that it had confirmed, until it reads the records. */
			.is_steady = controller->members_valid_us > 0 && is_steady (controller),
			.has_knowledge = controller->members_valid_us > 0,
			.is_registered = member && member->is_listed,
			.digest = digest,
			.members_digest = find_members_digest (controller),
			.configuration = controller->configuration ? controller->configuration->version : 0,
			.era = controller->store_era,
			.directory_era = controller->directory_at.era,
			.directory_revision = controller->directory_at.revision,
			.age_us = (uint64_t) (now_us - reported_us),
			.list_age_us = (uint64_t) (now_us - controller->members_valid_us),
		};

		if (args->digest != digest)
			send_records (controller, from);
		peers_send_hello (&controller->peers, from, &answer);
		return;
	}
	if (member && args->has_knowledge && args->age_us < MEMBER_ISOLATED_US)
		member->unanswered_since_us = 0;
	if (member && member == controller->poller && args->number > 0)
		apply_poller_answer (controller, args, asked_us, now_us);
	if (args->digest != digest || asked_us > now_us || now_us - asked_us > MEMBER_ANSWER_AGE_US)
		return;
	if (member && args->is_steady && asked_us > member->steady_us)
		member->steady_us = asked_us;
	/* The same records were current at the answered age before the query was sent. */
	if (args->has_knowledge && args->is_registered)
		update_records_valid (controller, asked_us - (int64_t) args->age_us);
	update_quorum (controller);
	update_records_valid (controller, controller->quorum_us);
}

const struct peers_ops controller_peers_ops = {
	.handle_primary_record = handle_primary_record,
	.handle_quiesced = handle_quiesced,
	.handle_opinion = handle_opinion,
	.handle_hello = handle_hello,
	.handle_zone = handle_zone,
};
