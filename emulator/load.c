/* Runs sessions against a list of entry VMs and checks the proxy's guarantees; see --help. */
#include "emulator/load.h"

#include "common/clock.h"
#include "emulator/commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
	POLL_MS = 5,
	CHECK_MS = 30000,
};

struct options
{
	char *entries;
	char *service;
	char *prefix;
	char *record;
	char *check_path;
	char *measure;
	char *flood;
	int databases;
	int sessions;
	int flood_sessions;
	int seconds;
	int seed;
	int think_ms;
	int settle_ms;
	int report_ms;
};

static const char *const rank_names[] = { "urgent", "normal", "low" };
static const int64_t rank_targets_ms[] = { 50, 200, 2000 };

static void
sessions_start_due (struct caller *caller, int64_t now_us)
{
	for (int i = 0; i < caller->session_count; i++)
	{
		struct session *session = &caller->sessions[i];

		if (session->next_send_us > 0 && session->next_send_us <= now_us)
			session_start_request (session, now_us);
	}
}

static bool
sessions_are_done (const struct caller *caller)
{
	for (int i = 0; i < caller->session_count; i++)
	{
		if (caller->sessions[i].next_send_us != INT64_MAX)
			return false;
	}
	return true;
}

static void
caller_handle_results (struct caller *caller)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read (caller->multi, &left)))
	{
		CURLcode result = message->data.result;
		CURL *curl = message->easy_handle;
		struct session *session;

		curl_easy_getinfo (curl, CURLINFO_PRIVATE, &session);
		curl_multi_remove_handle (caller->multi, curl);
		session_finish_request (session, result, clock_now_us ());
	}
}

/** Runs all sessions until none has work left. */
static void
caller_run (struct caller *caller)
{
	int running;

	for (int i = 0; i < caller->session_count; i++)
		caller->sessions[i].next_send_us = clock_now_us ();
	while (!sessions_are_done (caller))
	{
		sessions_start_due (caller, clock_now_us ());
		curl_multi_perform (caller->multi, &running);
		caller_handle_results (caller);
		curl_multi_poll (caller->multi, NULL, 0, POLL_MS, NULL);
	}
}

static void
caller_run_load (struct caller *caller, int seconds)
{
	int64_t now_us = clock_now_us ();

	caller->end_us = now_us + seconds * (int64_t) US_PER_S;
	caller->retry_deadline_us = caller->end_us + (int64_t) caller->settle_ms * US_PER_MS;
	for (uint32_t i = 0; i < caller->database_count; i++)
		caller->last_write_us[i] = now_us;
	caller_run (caller);
	for (uint32_t i = 0; i < caller->database_count; i++)
		caller->write_gap_us[i] =
			MAX (caller->write_gap_us[i], caller->end_us - caller->last_write_us[i]);
}

static void
caller_check_records (struct caller *caller)
{
	caller->is_checking = true;
	caller->retry_deadline_us = clock_now_us () + CHECK_MS * US_PER_MS;
	caller_run (caller);
	records_check_transactions (caller);
}

static int
compare_numbers (const void *a, const void *b)
{
	int64_t left = *(const int64_t *) a, right = *(const int64_t *) b;

	return left < right ? -1 : left > right;
}

double
latencies_percentile_ms (GArray *latencies_us, unsigned percent)
{
	guint index;

	if (latencies_us->len == 0)
		return 0;
	g_array_sort (latencies_us, compare_numbers);
	index = (latencies_us->len - 1) * percent / 100;
	return (double) g_array_index (latencies_us, int64_t, index) / US_PER_MS;
}

static void
print_latencies (const struct latencies *latencies, enum caller_rank rank, const char *kind)
{
	guint in_target = 0;

	for (guint i = 0; i < latencies->done_us->len; i++)
		in_target +=
			g_array_index (latencies->done_us, int64_t, i) <= rank_targets_ms[rank] * US_PER_MS;
	if (latencies->sent == 0)
		return;
	printf ("rank=%s kind=%s sent=%lu done=%u in_target=%.4f p50_ms=%.2f p99_ms=%.2f\n",
	        rank_names[rank], kind, latencies->sent, latencies->done_us->len,
	        (double) in_target / (double) latencies->sent,
	        latencies_percentile_ms (latencies->done_us, 50),
	        latencies_percentile_ms (latencies->done_us, 99));
}

void
caller_add_record (struct caller *caller, const struct record *record, const char *key,
                   const char *value)
{
	struct record *added;

	g_array_append_vals (caller->records, record, 1);
	added = caller_record (caller, caller->records->len - 1);
	added->key = g_strdup (key);
	added->value = g_strdup (value);
}

void
caller_count_reason (struct caller *caller, enum outcome_class class, const char *call,
                     const char *reason, const char *message)
{
	static const char *const names[] = { "done", "refused", "failed", "unknown" };
	char *name = g_strdup_printf ("%s %s %s: %s", names[class], call, reason, message);
	int count = GPOINTER_TO_INT (g_hash_table_lookup (caller->reasons, name));

	g_hash_table_replace (caller->reasons, name, GINT_TO_POINTER (count + 1));
}

static void
print_reasons (const struct caller *caller)
{
	GHashTableIter iter;
	void *name, *count;

	g_hash_table_iter_init (&iter, caller->reasons);
	while (g_hash_table_iter_next (&iter, &name, &count))
		printf ("reason count=%d %s\n", GPOINTER_TO_INT (count), (char *) name);
}

static uint64_t
print_summary (const struct caller *caller)
{
	static const char *const names[] = {
#define VIOLATION_NAME(id, name) name,
		VIOLATION_LIST (VIOLATION_NAME)
#undef VIOLATION_NAME
	};
	unsigned states[RECORD_COMMIT_UNKNOWN + 1] = { 0 };
	int64_t gap_us = 0;
	uint64_t violation_count = 0;

	for (guint i = 0; i < caller->records->len; i++)
		states[g_array_index (caller->records, struct record, i).state]++;
	for (uint32_t i = 0; i < caller->database_count; i++)
	{
		printf ("database=ledger%u longest_write_gap_ms=%ld\n", i, caller->write_gap_us[i] / 1000);
		gap_us = MAX (gap_us, caller->write_gap_us[i]);
	}
	printf ("commits_asked_again done=%lu rolled_back=%lu open=%lu\n", caller->retried_commits.done,
	        caller->retried_commits.rolled_back, caller->retried_commits.open);
	printf ("result done=%lu refused=%lu failed=%lu unknown=%lu asked_again=%lu acked=%u open=%u",
	        caller->outcomes[CLASS_DONE], caller->outcomes[CLASS_REFUSED],
	        caller->outcomes[CLASS_FAILED], caller->outcomes[CLASS_UNKNOWN], caller->retries,
	        states[RECORD_ACKED], states[RECORD_UNKNOWN] + states[RECORD_COMMIT_UNKNOWN]);
	printf (" reads=%lu replica_read_share=%.4f failover_gap_ms=%ld", caller->reads,
	        caller->reads ? (double) caller->replica_reads / (double) caller->reads : 0.0,
	        gap_us / 1000);
	for (int i = 0; i < VIOLATION_COUNT; i++)
	{
		printf (" %s=%lu", names[i], caller->violations[i]);
		violation_count += caller->violations[i];
	}
	printf ("\n");
	return violation_count;
}

static void
caller_init (struct caller *caller, const struct options *options)
{
	char **entries = g_strsplit (options->entries, ",", MAX_ENTRIES);

	memset (caller, 0, sizeof *caller);
	for (; entries[caller->entry_count]; caller->entry_count++)
		caller->entries[caller->entry_count] = entries[caller->entry_count];
	g_free (entries);
	caller->database_count = (uint32_t) options->databases;
	caller->service = options->service;
	caller->prefix = options->prefix;
	caller->think_ms = options->think_ms;
	caller->settle_ms = options->settle_ms;
	caller->report_ms = options->report_ms;
	for (int i = 0; options->flood && i < CALLER_RANK_COUNT; i++)
	{
		if (strcmp (options->flood, rank_names[i]) == 0)
			caller->flood_rank = (enum caller_rank) i;
	}
	caller->random = g_rand_new_with_seed ((guint32) options->seed);
	caller->multi = curl_multi_init ();
	caller->records = g_array_new (FALSE, FALSE, sizeof (struct record));
	caller->reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < CALLER_RANK_COUNT * 2; i++)
		caller->latencies[i / 2][i % 2].done_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
	caller->session_count = options->sessions + (options->flood ? options->flood_sessions : 0);
	caller->sessions = g_new0 (struct session, caller->session_count);
	for (int i = 0; i < caller->session_count; i++)
	{
		struct session *session = &caller->sessions[i];

		session->caller = caller;
		session->number = (uint32_t) i;
		session->is_flood = i >= options->sessions;
		session->entry = (uint32_t) i % caller->entry_count;
		session->answer = g_string_new ("");
		session->own_writes = g_array_new (FALSE, FALSE, sizeof (guint));
	}
}

static void
caller_finish (struct caller *caller)
{
	for (int i = 0; i < caller->session_count; i++)
	{
		struct session *session = &caller->sessions[i];

		curl_easy_cleanup (session->curl);
		curl_slist_free_all (session->headers);
		g_string_free (session->answer, TRUE);
		g_array_unref (session->own_writes);
		g_free (session->token);
		g_free (session->handle);
	}
	for (guint i = 0; i < caller->records->len; i++)
	{
		g_free (caller_record (caller, i)->key);
		g_free (caller_record (caller, i)->value);
	}
	for (int i = 0; i < CALLER_RANK_COUNT * 2; i++)
		g_array_unref (caller->latencies[i / 2][i % 2].done_us);
	g_hash_table_unref (caller->reasons);
	for (uint32_t i = 0; i < caller->entry_count; i++)
		g_free (caller->entries[i]);
	g_array_unref (caller->records);
	g_rand_free (caller->random);
	g_free (caller->sessions);
	curl_multi_cleanup (caller->multi);
}

static bool
options_parse (struct options *options, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "entries", 0, 0, G_OPTION_ARG_STRING, &options->entries, "entry VMs", "IP:PORT,..." },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &options->service, "service", "NAME" },
		{ "databases", 0, 0, G_OPTION_ARG_INT, &options->databases, "ledger0 to ledgerN-1", "N" },
		{ "sessions", 0, 0, G_OPTION_ARG_INT, &options->sessions, "sessions of the request mix",
		  "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options->seconds, "duration of the load", "N" },
		{ "think-ms", 0, 0, G_OPTION_ARG_INT, &options->think_ms,
		  "pause between requests of a session", "MS" },
		{ "settle-ms", 0, 0, G_OPTION_ARG_INT, &options->settle_ms,
		  "time to retry unknown outcomes after the load", "MS" },
		{ "report-ms", 0, 0, G_OPTION_ARG_INT, &options->report_ms, "run time of a report", "MS" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "seed of the random numbers", "N" },
		{ "prefix", 0, 0, G_OPTION_ARG_STRING, &options->prefix,
		  "prefix of keys, distinct for each run", "TEXT" },
		{ "record", 0, 0, G_OPTION_ARG_STRING, &options->record, "append all writes to this file",
		  "FILE" },
		{ "check", 0, 0, G_OPTION_ARG_STRING, &options->check_path,
		  "only check the writes of this file", "FILE" },
		{ "flood", 0, 0, G_OPTION_ARG_STRING, &options->flood,
		  "add a flood of requests of this rank", "RANK" },
		{ "flood-sessions", 0, 0, G_OPTION_ARG_INT, &options->flood_sessions,
		  "sessions of the flood", "N" },
		{ "measure", 0, 0, G_OPTION_ARG_STRING, &options->measure,
		  "measure one read through the first entry VM and directly at this server", "IP:PORT" },
		{ 0 },
	};
	GOptionContext *context =
		g_option_context_new ("- run sessions and check the proxy's guarantees");
	GError *error = NULL;
	bool is_valid;

	g_option_context_add_main_entries (context, entries, NULL);
	is_valid = g_option_context_parse (context, &argc, &argv, &error) && options->entries &&
	           options->databases >= 1 && options->databases <= MAX_DATABASES &&
	           options->sessions >= 1 && options->seconds >= 0;
	if (!is_valid)
		fprintf (stderr, "load: %s\n",
		         error
		             ? error->message
		             : "--entries is required; --databases must be 1 to 16, --sessions at least 1, "
		               "--seconds at least 0");
	g_clear_error (&error);
	g_option_context_free (context);
	if (!options->service)
		options->service = g_strdup ("letters");
	if (!options->prefix)
		options->prefix = g_strdup ("k");
	return is_valid;
}

static void
options_finish (struct options *options)
{
	char *const texts[] = { options->entries,    options->service, options->prefix, options->record,
		                    options->check_path, options->measure, options->flood };

	for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
		g_free (texts[i]);
}

int
cmd_load (int argc, char **argv)
{
	struct options options = { .databases = 3,
		                       .sessions = 40,
		                       .flood_sessions = 400,
		                       .seconds = 10,
		                       .seed = 1,
		                       .think_ms = 20,
		                       .settle_ms = 15000,
		                       .report_ms = 20 };
	struct caller caller;
	uint64_t violation_count;

	setvbuf (stdout, NULL, _IOLBF, 0);
	if (!options_parse (&options, argc, argv))
		return EXIT_FAILURE;
	curl_global_init (CURL_GLOBAL_DEFAULT);
	if (options.measure)
	{
		char *comma = strchr (options.entries, ',');
		int code;

		if (comma)
			*comma = 0;
		code = measure_run (options.entries, options.service, options.measure, options.sessions,
		                    options.seconds);
		options_finish (&options);
		return code;
	}
	caller_init (&caller, &options);
	if (options.check_path && records_load (&caller, options.check_path) < 0)
	{
		fprintf (stderr, "load: cannot read %s\n", options.check_path);
		return EXIT_FAILURE;
	}
	if (!options.check_path)
		caller_run_load (&caller, options.seconds);
	if (options.record && records_save (&caller, options.record) < 0)
		fprintf (stderr, "load: cannot write %s\n", options.record);
	caller_check_records (&caller);
	for (int rank = 0; rank < CALLER_RANK_COUNT; rank++)
	{
		print_latencies (&caller.latencies[rank][0], (enum caller_rank) rank, "read");
		print_latencies (&caller.latencies[rank][1], (enum caller_rank) rank, "write");
	}
	print_reasons (&caller);
	violation_count = print_summary (&caller);
	caller_finish (&caller);
	options_finish (&options);
	curl_global_cleanup ();
	return violation_count ? EXIT_FAILURE : EXIT_SUCCESS;
}
