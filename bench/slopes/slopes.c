/**
 * @file
 * Measures how control traffic, processor time and memory grow with the fleet, using the real decision
 * modules in virtual time. Counts are the same in each run. A time is the minimum of many rounds spread
 * over some seconds, because the speed of a shared core changes by more than half between runs.
 */
#include "charts/embedded.h"
#include "decision/admission.h"
#include "decision/configuration.h"
#include "decision/failover.h"
#include "decision/membership.h"
#include "decision/ownership.h"
#include "decision/retry.h"
#include "decision/routing.h"
#include "flamingospring/session_token.h"
#include "fleet.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
	TARGET_VMS = 750,
	ZONES = 4,
	QUIET_US = 20000000,
	ROUNDS = 40,
	MAX_TIMINGS = 32,
	/* Bytes of a status poll in PostgreSQL's extended protocol, with TCP and IP headers: 75 bytes of
	 * messages and an acknowledgement are sent, 230 bytes are received. */
	POLL_SENT_BYTES = 75 + 2 * 52,
	POLL_RECEIVED_BYTES = 230 + 52,
	OBSERVED_GROUPS = 5400 / 750,
	MAX_ITEMS = 4096,
};

static const struct virtual_link normal_link = { 5000, 2000, 10000, false };

static bool is_json;

static void
print_slope (const char *name, const char *unit, uint32_t at, double value, double budget)
{
	if (is_json)
		printf (
			"{\"name\": \"%s\", \"unit\": \"%s\", \"at\": %u, \"value\": %.3f, \"budget\": %.3f}\n",
			name, unit, at, value, budget);
	else
		printf ("%-36s at %5u: %12.3f %-18s budget %g%s\n", name, at, value, unit, budget,
		        budget > 0 && value > budget ? "  EXCEEDED" : "");
	fflush (stdout);
}

static double
sent_bytes (const struct fleet *fleet)
{
	double sum = 0;

	for (uint32_t i = 0; i < fleet->vm_count; i++)
		sum += (double) fleet->vms[i].sent_bytes;
	return sum / fleet->vm_count;
}

/* Returns the status polls per second of one group's observer while nothing changes. */
static double
polls_per_s (void)
{
	struct server_status status = { true, 1, { 1, 1 } };
	struct failover failover;
	void *memory = g_malloc (failover_size (FLEET_SERVERS));
	int64_t now_us = 1000000;
	int64_t end_us = now_us + 60000000;
	uint64_t polls = 0;

	failover_init (&failover, memory, &failover_default_settings, 1, FLEET_SERVERS, 1, now_us);
	failover_set_load (&failover, OBSERVED_GROUPS);
	while (now_us < end_us)
	{
		struct failover_effect effect = failover_next (&failover, now_us);

		if (effect.type == FAILOVER_NONE)
			now_us = failover_next_time_us (&failover);
		if (effect.type != FAILOVER_POLL)
			continue;
		polls++;
		status.is_primary = effect.server == 0;
		failover_handle_status (&failover, effect.server, &status, now_us, now_us);
	}
	g_free (memory);
	return (double) polls / 60;
}

/* Share of a day with additional gossip: 720 configuration changes, each spread for 4 s. */
#define CHANGE_TIME_SHARE (720 * 4 / 86400.0)

static void
measure_control_traffic (void)
{
	static const uint32_t sizes[] = { 10, 50, 200, TARGET_VMS };

	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
	{
		/* Each node observes the groups of the servers that it owns. 750 nodes own 5,400 servers of
		 * 1,800 databases, and smaller fleets own the same number per node. */
		double polls =
			5400.0 / TARGET_VMS * polls_per_s () * (POLL_SENT_BYTES + POLL_RECEIVED_BYTES);
		struct fleet fleet;
		double quiet;
		double during_change;

		fleet_init (&fleet, 1, sizes[i], ZONES, 0, normal_link, true);
		fleet_run (&fleet, 15 * QUIET_US, 0);
		quiet = sent_bytes (&fleet);
		fleet_run (&fleet, QUIET_US, 0);
		quiet = (sent_bytes (&fleet) - quiet) / (QUIET_US / 1e6);
		during_change = sent_bytes (&fleet);
		fleet_mark_leaving (&fleet, 0, "db/1", 1);
		fleet_change_document (&fleet, 0);
		fleet_run (&fleet, 4000000, 0);
		during_change = (sent_bytes (&fleet) - during_change) / 4;
		print_slope ("gossip_sent_quiet", "bytes/s/node", sizes[i], quiet, 2000);
		print_slope ("gossip_sent_during_news", "bytes/s/node", sizes[i], during_change, 4222);
		/* Gossip counts twice, as sent by one node and received by another. */
		print_slope ("status_polls_quiet", "bytes/s/node", sizes[i], polls, 0);
		print_slope ("control_quiet", "bytes/s/node", sizes[i], 2 * quiet + polls, 6000);
		print_slope ("control_during_news", "bytes/s/node", sizes[i], 2 * during_change + polls,
		             6000);
		print_slope ("control_daily_mean", "bytes/s/node", sizes[i],
		             2 * (quiet + (during_change - quiet) * CHANGE_TIME_SHARE) + polls, 6000);
		fleet_finish (&fleet);
	}
}

/* Returns the seconds until all VMs have adopted the document, or -1 after 20 s. */
static double
run_until_adopted (struct fleet *fleet)
{
	int64_t start_us = fleet->world.now_us;

	while (fleet->world.now_us - start_us < 20000000)
	{
		fleet_run (fleet, 20000, 0);
		if (fleet_count_outdated (fleet) == 0)
			return (double) (fleet->world.now_us - start_us) / 1e6;
	}
	return -1;
}

static void
measure_configuration (void)
{
	struct fleet fleet;

	fleet_init (&fleet, 1, TARGET_VMS, ZONES, 0, normal_link, true);
	fleet_run (&fleet, QUIET_US, 0);
	fleet_change_document (&fleet, 0);
	print_slope ("configuration_everywhere", "s", TARGET_VMS, run_until_adopted (&fleet), 4);
	fleet_run (&fleet, QUIET_US, 0);
	/* Partitions one zone from the others and from the platform before the document changes. */
	for (uint32_t i = 0; i < TARGET_VMS; i++)
		fleet.world.nodes[i].partition = fleet.world.nodes[i].zone == 1;
	fleet_run (&fleet, 5000000, 0);
	fleet_change_document (&fleet, 1);
	fleet_run (&fleet, 5000000, 0);
	virtual_heal (&fleet.world, TARGET_VMS);
	print_slope ("configuration_after_cut_of_a_zone", "s", TARGET_VMS, run_until_adopted (&fleet),
	             4);
	fleet_finish (&fleet);
}

static void
measure_platform_calls (void)
{
	static const uint32_t sizes[] = { 50, TARGET_VMS };

	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
	{
		struct fleet fleet;
		uint64_t calls;

		fleet_init (&fleet, 1, sizes[i], ZONES, 0, normal_link, true);
		fleet_run (&fleet, QUIET_US, 0);
		print_slope ("platform_calls_restart_of_fleet", "calls/s peak", sizes[i],
		             (double) fleet.platform.peak_calls_per_s, 200);
		calls = fleet.platform.calls;
		for (int n = 0; n < 10; n++)
		{
			fleet_change_document (&fleet, (uint32_t) n % FLEET_SERVICES);
			fleet_run (&fleet, QUIET_US / 5, 0);
		}
		print_slope ("platform_calls_steady", "calls/s", sizes[i],
		             (double) (fleet.platform.calls - calls) / (2 * QUIET_US / 1e6), 20);
		calls = fleet.platform.calls;
		fleet_set_platform (&fleet, true);
		fleet_run (&fleet, 2 * QUIET_US, 0);
		print_slope ("platform_calls_during_outage", "calls/s", sizes[i],
		             (double) (fleet.platform.calls - calls) / (2 * QUIET_US / 1e6), 20);
		fleet.platform.peak_calls_per_s = 0;
		fleet_set_platform (&fleet, false);
		fleet_run (&fleet, 2 * QUIET_US, 0);
		print_slope ("platform_calls_end_of_outage", "calls/s peak", sizes[i],
		             (double) fleet.platform.peak_calls_per_s, 200);
		fleet_finish (&fleet);
	}
}

static double
thread_cpu_ns (void)
{
	struct timespec time;

	clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
	return (double) time.tv_sec * 1e9 + (double) time.tv_nsec;
}

/* A benchmark. Each call of @c run repeats the operation @c count times; @c best is the lowest
 * time of one operation so far, in nanoseconds. */
struct timing
{
	const char *name;
	uint32_t at;
	double budget;
	void (*run) (void *data, uint32_t count);
	void *data;
	uint32_t count;
	double best;
};

static struct timing timings[MAX_TIMINGS];
static size_t timing_count;

static void
add_timing (const char *name, uint32_t at, double budget, void (*run) (void *, uint32_t),
            void *data, uint32_t count)
{
	g_assert_cmpuint (timing_count, <, MAX_TIMINGS);
	timings[timing_count++] = (struct timing){ name, at, budget, run, data, count, 1e18 };
}

/* A fixed amount of work, whose time shows how fast the core is and makes runs comparable. */
static void
run_reference (void *data, uint32_t count)
{
	uint64_t *random = data;

	for (uint32_t i = 0; i < count; i++)
		for (int n = 0; n < 16; n++)
			random_next (random);
}

static void
run_timings (void)
{
	static uint64_t random;

	add_timing ("reference_16_random_numbers", 1, 0, run_reference, &random, 100000);
	for (int round = 0; round < ROUNDS; round++)
		for (size_t i = 0; i < timing_count; i++)
		{
			struct timing *timing = &timings[i];
			double start = thread_cpu_ns ();

			timing->run (timing->data, timing->count);
			timing->best = MIN (timing->best, (thread_cpu_ns () - start) / timing->count);
		}
	for (size_t i = 0; i < timing_count; i++)
		print_slope (timings[i].name, "ns", timings[i].at, timings[i].best, timings[i].budget);
}

struct databases
{
	struct routing_server (*servers)[FLEET_SERVERS];
	uint32_t count;
	volatile uint32_t sink;
};

static void
run_routing (void *data, uint32_t count)
{
	struct databases *databases = data;
	struct routing_request request = { .required = { 1, 90 }, .deadline_us = 2000000 };

	for (uint32_t i = 0; i < count; i++)
		databases->sink += routing_choose (databases->servers[i * 7919ull % databases->count],
		                                   FLEET_SERVERS, &request, i, 1000000)
		                       .server;
}

static void
measure_routing (uint32_t at)
{
	struct databases *databases = g_new0 (struct databases, 1);

	databases->count = at;
	databases->servers = g_malloc0 (at * sizeof *databases->servers);
	for (uint32_t i = 0; i < at; i++)
		for (uint32_t s = 0; s < FLEET_SERVERS; s++)
			databases->servers[i][s] = (struct routing_server){
				.is_primary = s == 0,
				.link_us = 1000 * s,
				.position = { 1, 100 - s },
				.position_at_us = 900000,
			};
	add_timing ("routing_decision", at, 1000, run_routing, databases, 100000);
}

static const struct admission_settings admission_settings = {
	.slots = 2,
	.queue_limit = { 64, 64, 64 },
	.floor_percent = { 0, 20, 10 },
};

struct queues
{
	struct admission **queues;
	uint32_t count;
	uint64_t next;
};

static void
run_admission (void *data, uint32_t count)
{
	struct queues *queues = data;

	for (uint32_t i = 0; i < count; i++)
	{
		struct admission *queue = queues->queues[i * 7919ull % queues->count];
		int64_t now_us = 1000000 + (int64_t) queues->next * 10;
		struct admission_request request = {
			.cookie = ++queues->next,
			.rank = (enum rank) (i % RANK_COUNT),
			.deadline_us = now_us + 1000000,
			.expected_run_us = 1000,
		};

		if (admission_submit (queue, &request, now_us).verdict == ADMISSION_START)
			admission_complete (queue, request.rank, 0, 1000, now_us + 1);
	}
}

static void
measure_admission (uint32_t at)
{
	struct queues *queues = g_new0 (struct queues, 1);

	queues->count = at;
	queues->queues = g_new0 (struct admission *, at);
	for (uint32_t i = 0; i < at; i++)
		queues->queues[i] = admission_init (g_malloc (admission_size (&admission_settings)),
		                                    &admission_settings, 0);
	add_timing ("admission_decision", at, 2000, run_admission, queues, 50000);
}

static void
handle_action (void *context, const char *name)
{
}

static bool
handle_condition (void *context, const char *name)
{
	return true;
}

static const struct chart_ops noop_chart_ops = { handle_action, handle_condition };

struct instances
{
	struct chart_instance *instances;
	uint32_t count;
};

static void
run_chart (void *data, uint32_t count)
{
	struct instances *instances = data;
	const struct chart *chart = chart_embedded ("upstream");
	int events[] = { chart_find_event (chart, "open"), chart_find_event (chart, "connected"),
		             chart_find_event (chart, "start"), chart_find_event (chart, "done"),
		             chart_find_event (chart, "error") };

	for (uint32_t i = 0; i < count; i++)
		chart_instance_handle (&instances->instances[i / 5 * 7919ull % instances->count],
		                       events[i % 5], &noop_chart_ops, NULL);
}

static void
measure_chart (uint32_t at)
{
	struct instances *instances = g_new0 (struct instances, 1);

	instances->instances = g_new0 (struct chart_instance, at);
	instances->count = at;
	for (uint32_t i = 0; i < at; i++)
		chart_instance_init (&instances->instances[i], chart_embedded ("upstream"), &noop_chart_ops,
		                     NULL);
	add_timing ("chart_step", at, 500, run_chart, instances, 100000);
}

struct heartbeats
{
	struct membership *membership;
	uint32_t members;
	int64_t now_us;
	uint64_t sequence;
};

/* Runs heartbeats: a ping arrives and is answered, and the member's own ping of the period is sent. */
static void
run_heartbeat (void *data, uint32_t count)
{
	struct heartbeats *heartbeats = data;
	struct membership_effect effect;

	for (uint32_t i = 0; i < count; i++)
	{
		struct gossip_message ping = { .type = GOSSIP_PING,
			                           .from = 2 + i % (heartbeats->members - 1),
			                           .sequence = ++heartbeats->sequence };

		heartbeats->now_us = membership_next_time_us (heartbeats->membership) > heartbeats->now_us
		                         ? membership_next_time_us (heartbeats->membership)
		                         : heartbeats->now_us;
		membership_handle_message (heartbeats->membership, &ping, heartbeats->now_us);
		while (membership_next (heartbeats->membership, &effect, heartbeats->now_us))
		{
			struct gossip_message ack = { .type = GOSSIP_ACK,
				                          .from = effect.to,
				                          .sequence = effect.message.sequence };

			if (effect.message.type == GOSSIP_PING)
				membership_handle_message (heartbeats->membership, &ack, heartbeats->now_us);
		}
	}
}

static void
measure_heartbeat (uint32_t at)
{
	struct member_address address = { .ip = 1 };
	struct heartbeats *heartbeats = g_new0 (struct heartbeats, 1);

	heartbeats->members = at;
	heartbeats->now_us = 1000000;
	heartbeats->membership =
		membership_init (g_malloc (membership_size (at, MAX_ITEMS)), &membership_default_settings,
	                     at, MAX_ITEMS, 1, &address, 1, 1, heartbeats->now_us);
	for (uint32_t id = 2; id <= at; id++)
		membership_add (heartbeats->membership, id, &address, heartbeats->now_us);
	add_timing ("heartbeat", at, 20000, run_heartbeat, heartbeats, 10000);
}

struct tokens
{
	struct schema_service service;
	struct session_token token;
	char text[SESSION_TOKEN_MAX_BYTES];
};

static void
run_token_encode (void *data, uint32_t count)
{
	struct tokens *tokens = data;

	for (uint32_t i = 0; i < count; i++)
		g_assert_cmpint (session_token_encode (&tokens->token, &tokens->service, tokens->text,
		                                       sizeof tokens->text),
		                 >, 0);
}

static void
run_token_check (void *data, uint32_t count)
{
	struct tokens *tokens = data;

	for (uint32_t i = 0; i < count; i++)
		g_assert_cmpint (session_token_decode (&tokens->token, &tokens->service, tokens->text), ==,
		                 0);
}

static void
measure_token (uint32_t entries)
{
	struct tokens *tokens = g_new0 (struct tokens, 1);

	tokens->service.key_count = 1;
	for (uint32_t i = 0; i < entries; i++)
		session_token_update (&tokens->token, i + 1, (struct log_position){ 1, i }, i);
	add_timing ("token_encode", entries, 0, run_token_encode, tokens, 2000);
	add_timing ("token_check", entries, 0, run_token_check, tokens, 2000);
}

static void
measure_times (void)
{
	static const uint32_t sizes[] = { 10, 100, 1000, 2000 };

	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
		measure_routing (sizes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
		measure_admission (sizes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
		measure_chart (sizes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
		measure_heartbeat (sizes[i]);
	measure_token (1);
	measure_token (SESSION_TOKEN_MAX_ENTRIES);
	run_timings ();
}

static void
measure_memory (void)
{
	struct admission_settings larger = admission_settings;
	double item =
		(double) (membership_size (TARGET_VMS, 3000) - membership_size (TARGET_VMS, 2000)) / 1000;
	double member = (double) (membership_size (2000, 100) - membership_size (1000, 100)) / 1000;

	for (int rank = 0; rank < RANK_COUNT; rank++)
		larger.queue_limit[rank] += 100;
	print_slope ("memory_member", "bytes", 1, member, 256);
	/* Routing data of 3 servers and the membership item that names the group's primary. */
	print_slope ("memory_database", "bytes", 1,
	             item + FLEET_SERVERS * sizeof (struct routing_server), 1024);
	print_slope ("memory_observed_group", "bytes", 1, (double) failover_size (FLEET_SERVERS), 4096);
	print_slope ("memory_queued_request", "bytes", 1,
	             (double) (admission_size (&larger) - admission_size (&admission_settings)) / 300,
	             256);
}

int
main (int argc, char **argv)
{
	is_json = argc > 1 && strcmp (argv[1], "--json") == 0;
	if (argc > 2 || (argc == 2 && !is_json))
	{
		fprintf (stderr, "usage: slopes [--json]\n");
		return 2;
	}
	measure_times ();
	measure_memory ();
	measure_control_traffic ();
	measure_configuration ();
	measure_platform_calls ();
	return 0;
}
