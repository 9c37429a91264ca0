#include "gateway/controller_private.h"

#include "common/counters.h"
#include "gateway/tenant.h"
#include "gateway/traffic_metrics.h"

enum
{
	/* Tenants with metrics of their own; a monitoring tool keeps one series for each name. */
	METRICS_TENANTS = 16,
};

/** Appends NAME="VALUE". @p value may be any bytes: names of records come from the store. */
static void
append_label (GString *body, const char *name, const char *value)
{
	char *text = g_utf8_make_valid (value, -1);

	g_string_append_printf (body, "%s=\"", name);
	for (const char *c = text; *c; c++)
	{
		if (*c == '\n')
			g_string_append (body, "\\n");
		else if (*c == '"' || *c == '\\')
			g_string_append_printf (body, "\\%c", *c);
		else
			g_string_append_c (body, *c);
	}
	g_string_append_c (body, '"');
	g_free (text);
}

static void
append_gauge (GString *body, const char *name, const char *help, double value)
{
	g_string_append_printf (body, "# HELP flamingospring_%s %s\n# TYPE flamingospring_%s gauge\n",
	                        name, help, name);
	g_string_append_printf (body, "flamingospring_%s %.6g\n", name, value);
}

static double
age_s (int64_t time_us, int64_t now_us)
{
	return time_us > 0 ? (double) (now_us - time_us) / US_PER_S : -1;
}

static void
append_state (GString *body, const struct controller *controller, int64_t now_us)
{
	struct gateway_traffic_turns turns = gateway_traffic_get_turns (controller->traffic);

	append_gauge (body, "knowledge_age_seconds", "age of what is known of the primaries",
	              age_s (controller->records_valid_us, now_us));
	append_gauge (body, "members_age_seconds", "age of the list of VMs",
	              age_s (controller->members_valid_us, now_us));
	append_gauge (body, "members", "living VMs, this one included", controller->vm_count);
	append_gauge (body, "configuration_version", "version in force",
	              controller->configuration ? (double) controller->configuration->version : 0);
	append_gauge (body, "store_reached", "1 while the store answers", controller->store_ok_us > 0);
	append_gauge (body, "store_era", "era of the store; rises with each restore from an older copy",
	              (double) controller->store_era);
	append_gauge (body, "records_unconfirmed", "records that the store does not hold as of its era",
	              controller->unconfirmed);
	append_gauge (body, "isolated", "1 while callers are sent elsewhere", controller->is_isolated);
	append_gauge (body, "traffic_turn_age_seconds", "since the last turn of the thread that serves",
	              age_s (turns.turned_us, now_us));
	append_gauge (body, "traffic_turn_longest_seconds", "longest turn of the thread that serves",
	              (double) turns.longest_us / US_PER_S);
	append_gauge (body, "following", "1 while the zone's poller tells of changes",
	              controller->is_following);
}

static void
append_records (GString *body, const struct controller *controller)
{
	GHashTableIter iter;
	gpointer value;

	g_string_append (body, "# HELP flamingospring_lead_change number of a service's record\n"
	                       "# TYPE flamingospring_lead_change gauge\n");
	g_hash_table_iter_init (&iter, controller->managers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct primary_manager *primary_manager = value;
		const struct succession_record *record = &primary_manager->succession.record;

		g_string_append (body, "flamingospring_lead_change{");
		append_label (body, "service", primary_manager->service);
		g_string_append_c (body, ',');
		append_label (body, "primary", record->primary);
		g_string_append_printf (body, ",changing=\"%d\"} %llu\n", record->is_changing,
		                        (unsigned long long) record->change);
	}
}

static void
append_servers (GString *body, const struct controller *controller)
{
	GHashTableIter iter;
	gpointer value;

	g_string_append (body, "# HELP flamingospring_server_slots_released_total slots of statements "
	                       "whose answers were lost\n"
	                       "# TYPE flamingospring_server_slots_released_total counter\n");
	g_hash_table_iter_init (&iter, controller->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		const struct known_server *server = value;

		if (!server->is_listed)
			continue;
		g_string_append (body, "flamingospring_server_slots_released_total{");
		append_label (body, "service", server->entry.service);
		g_string_append_c (body, ',');
		append_label (body, "server", server->entry.id);
		g_string_append_printf (body, "} %llu\n", (unsigned long long) server->slots_released);
	}
}

static void
append_histogram (GString *body, const char *labels, const struct histogram *histogram)
{
	struct histogram copy;
	uint64_t count = 0;

	histogram_read (histogram, &copy);
	for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++)
	{
		count += copy.buckets[i];
		g_string_append_printf (body, "flamingospring_latency_seconds_bucket{%s,le=\"%g\"} %llu\n",
		                        labels, (double) histogram_bounds_us[i] / US_PER_S,
		                        (unsigned long long) count);
	}
	count += copy.buckets[HISTOGRAM_BOUNDS];
	g_string_append_printf (body, "flamingospring_latency_seconds_bucket{%s,le=\"+Inf\"} %llu\n",
	                        labels, (unsigned long long) count);
	g_string_append_printf (body, "flamingospring_latency_seconds_sum{%s} %g\n", labels,
	                        (double) copy.sum_us / US_PER_S);
	g_string_append_printf (body, "flamingospring_latency_seconds_count{%s} %llu\n", labels,
	                        (unsigned long long) count);
}

static void
append_latencies (GString *body)
{
	static const char *const hops[TRAFFIC_HOPS] = {
		[TRAFFIC_HOP_TOTAL] = "total", [TRAFFIC_HOP_QUEUE] = "queue",
		[TRAFFIC_HOP_SETUP] = "setup", [TRAFFIC_HOP_SERVER] = "server",
		[TRAFFIC_HOP_OWNER] = "owner",
	};

	g_string_append (body, "# HELP flamingospring_latency_seconds statements by priority and hop\n"
	                       "# TYPE flamingospring_latency_seconds histogram\n");
	for (size_t priority = 0; priority < TRAFFIC_PRIORITIES; priority++)
	{
		for (size_t hop = 0; hop < TRAFFIC_HOPS; hop++)
		{
			char *labels = g_strdup_printf ("priority=\"%zu\",hop=\"%s\"", priority, hops[hop]);

			append_histogram (body, labels, &traffic_latencies[priority][hop]);
			g_free (labels);
		}
	}
}

/** Takes the latest report about tenants. @return the states, those with most operations first, or NULL: no tenants. */
static const GArray *
refresh_tenants (struct controller *controller)
{
	GArray *report = gateway_traffic_take_tenants (controller->traffic);

	if (!report)
		return controller->tenants;
	if (controller->tenants)
		g_array_unref (controller->tenants);
	controller->tenants = report;
	return report;
}

/** BUSY answers that the cap did not cause. */
static uint64_t
refused_overloaded (const struct tenant_state *state)
{
	return state->refused_busy > state->refused_cap ? state->refused_busy - state->refused_cap : 0;
}

struct tenant_metric
{
	const char *name;
	const char *labels; /* After that of the tenant. */
	const char *help;   /* NULL: as the metric before. */
	bool is_gauge;
	uint64_t (*read) (const struct tenant_state *state);
};

static uint64_t
read_operations (const struct tenant_state *state)
{
	return state->operations;
}

static uint64_t
read_refused_cap (const struct tenant_state *state)
{
	return state->refused_cap;
}

static uint64_t
read_refused_other (const struct tenant_state *state)
{
	return state->refused_other;
}

static uint64_t
read_waiting (const struct tenant_state *state)
{
	return state->waiting;
}

static uint64_t
read_connections (const struct tenant_state *state)
{
	return state->connections;
}

static uint64_t
read_opened (const struct tenant_state *state)
{
	return state->connections_opened;
}

static const struct tenant_metric tenant_metrics[] = {
	{ "tenant_operations_total", "", "operations of callers of this VM", false, read_operations },
	{ "tenant_refused_total", ",cause=\"overloaded\"",
	  "operations that were refused and have not run", false, refused_overloaded },
	{ "tenant_refused_total", ",cause=\"cap\"", NULL, false, read_refused_cap },
	{ "tenant_refused_total", ",cause=\"other\"", NULL, false, read_refused_other },
	{ "tenant_waiting", "", "statements in the queues of this VM", true, read_waiting },
	{ "tenant_connections", "", "open connections of this VM to servers", true, read_connections },
	{ "tenant_connections_opened_total", "", "connections that servers have accepted", false,
	  read_opened },
};

/** Appends the metrics of the largest tenants, and their sum for the others. No tenant's name contains a blank. */
static void
append_tenants (GString *body, const GArray *tenants)
{
	for (size_t i = 0; tenants && i < G_N_ELEMENTS (tenant_metrics); i++)
	{
		const struct tenant_metric *metric = &tenant_metrics[i];
		uint64_t others = 0;

		if (metric->help)
			g_string_append_printf (
				body, "# HELP flamingospring_%s %s\n# TYPE flamingospring_%s %s\n", metric->name,
				metric->help, metric->name, metric->is_gauge ? "gauge" : "counter");
		for (guint j = 0; j < tenants->len; j++)
		{
			const struct tenant_state *state = &g_array_index (tenants, struct tenant_state, j);

			if (j >= METRICS_TENANTS)
			{
				others += metric->read (state);
				continue;
			}
			g_string_append_printf (body, "flamingospring_%s{", metric->name);
			append_label (body, "tenant", state->name);
			g_string_append_printf (body, "%s} %llu\n", metric->labels,
			                        (unsigned long long) metric->read (state));
		}
		if (tenants->len > METRICS_TENANTS)
			g_string_append_printf (body, "flamingospring_%s{tenant=\"other tenants\"%s} %llu\n",
			                        metric->name, metric->labels, (unsigned long long) others);
	}
}

unsigned
controller_answer_tenants (void *data, GString *body)
{
	const GArray *tenants = refresh_tenants (data);
	bool is_first = true;

	g_string_append (body, "{\"tenants\":[");
	for (guint i = 0; tenants && i < tenants->len; i++)
	{
		const struct tenant_state *state = &g_array_index (tenants, struct tenant_state, i);

		if (!state->is_declared)
			continue;
		/* Names have no characters that JSON escapes. */
		g_string_append_printf (body, "%s{\"name\":\"%s\",\"keys\":%u,", is_first ? "" : ",",
		                        state->name, state->key_count);
		if (state->has_cap)
			g_string_append_printf (body, "\"cap\":{\"ratePerS\":%u,\"burst\":%u},",
			                        state->rate_per_s, state->burst);
		else
			g_string_append (body, "\"cap\":null,");
		g_string_append_printf (
			body,
			"\"operations\":%llu,\"refused\":{\"overloaded\":%llu,\"cap\":%llu,\"other\":%llu},"
			"\"waiting\":%u,\"connections\":%u,\"opened\":%llu}",
			(unsigned long long) state->operations, (unsigned long long) refused_overloaded (state),
			(unsigned long long) state->refused_cap, (unsigned long long) state->refused_other,
			state->waiting, state->connections, (unsigned long long) state->connections_opened);
		is_first = false;
	}
	g_string_append (body, "]}\n");
	return 200;
}

unsigned
controller_answer_metrics (void *data, GString *body)
{
	struct controller *controller = data;

	append_state (body, controller, clock_now_us ());
	append_records (body, controller);
	append_servers (body, controller);
	for (int i = 0; i < COUNTER_COUNT; i++)
	{
		const char *name = counter_name ((enum counter) i);

		g_string_append_printf (body, "# TYPE flamingospring_%s_total counter\n", name);
		g_string_append_printf (body, "flamingospring_%s_total %llu\n", name,
		                        (unsigned long long) counter_get ((enum counter) i));
	}
	append_latencies (body);
	append_tenants (body, refresh_tenants (controller));
	return 200;
}
