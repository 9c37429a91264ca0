/* Guards against usage caps that do not bind over several VMs, that refuse operations below the cap, that use up tokens of
 * operations that were not sent, or that touch deployments without caps: the loops of three VMs in virtual time, whose
 * reports and grants are real datagrams. */
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "free_port.h"
#include "gateway/traffic_private.h"
#include "slot_server.h"
#include "virtual_clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

enum
{
	VMS = 3,
	CALLERS = 24,
	LINE_BYTES = 256,
	ROUNDS = 4,
	RATE_PER_S = 20,
	BURST = 10,
	WINDOW_LIMIT = (RATE_PER_S * 5 + BURST) * 11 / 10 + 20,
};

struct caller
{
	struct line_stream stream;
	struct world *world;
	struct loop_timer timer;
	bool is_in_transaction;
	bool is_refused; /* The answer so far says so. */
	uint32_t statements;
};

struct world
{
	struct loop loop;
	struct slot_server server;
	struct gateway_traffic *vms[VMS];
	uint16_t caller_ports[VMS];
	uint16_t relay_ports[VMS];
	int stopped_vm; /* -1: none. */
	struct caller callers[CALLERS];
	int64_t interval_us; /* Of a caller's statements. */
	bool has_transactions;
	bool is_capped;
	GArray *done_us; /* Times of operations that were served. */
	uint32_t refused;
	uint32_t failed;
};

static int64_t
work_us (void *data, const char *text)
{
	(void) data;
	(void) text;
	return 2 * US_PER_MS;
}

static bool
loses (void *data, const char *text)
{
	(void) data;
	(void) text;
	return false;
}

static void
caller_wait (struct caller *caller)
{
	loop_set_timer (&caller->world->loop, &caller->timer,
	                clock_now_us () + caller->world->interval_us);
}

static void
handle_connected (struct line_stream *stream)
{
	g_string_append (stream->out, "START d key\r\n");
}

static void
handle_line (struct line_stream *stream, struct text line)
{
	struct caller *caller = (struct caller *) stream;
	struct world *world = caller->world;
	char *text = g_strndup (line.start, line.length);
	int64_t now_us = clock_now_us ();

	if (g_str_has_prefix (text, "ERROR BUSY usage cap, retry after "))
	{
		world->refused++;
		caller->is_refused = true;
	}
	else if (g_str_has_prefix (text, "ERROR "))
	{
		world->failed++;
		caller->is_refused = true;
	}
	else if (g_str_has_prefix (text, "READY "))
	{
		/* The first statement counts as the operation. */
		if (caller->statements > 0 && !caller->is_refused &&
		    (!caller->is_in_transaction || caller->statements == 2))
			g_array_append_val (world->done_us, now_us);
		if (text[6] == 'I')
			caller->is_in_transaction = false;
		if (caller->is_in_transaction)
			loop_set_timer (&world->loop, &caller->timer, now_us);
		else
			caller_wait (caller);
	}
	g_free (text);
}

static void
handle_closed (struct line_stream *stream, int error)
{
	(void) stream;
	g_error ("a caller's connection was closed: %d", error);
}

static const struct line_stream_ops caller_ops = {
	.handle_connected = handle_connected,
	.handle_line = handle_line,
	.handle_closed = handle_closed,
};

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	struct caller *caller = timer->data;
	const char *text = "READ 1";

	(void) now_us;
	if (caller->is_in_transaction && (caller->is_refused || caller->statements == 4))
		text = caller->is_refused ? "ROLLBACK" : "COMMIT";
	else if (!caller->is_in_transaction)
	{
		caller->statements = 0;
		caller->is_in_transaction = caller->world->has_transactions;
		if (caller->is_in_transaction)
			text = "BEGIN";
	}
	caller->is_refused = false;
	caller->statements++;
	g_string_append_printf (caller->stream.out, "QUERY q %s\r\n", text);
	line_stream_flush (&caller->stream);
}

static struct configuration *
configuration_create (const struct world *world)
{
	struct configuration *configuration = configuration_new ();
	struct database_service *service = g_new0 (struct database_service, 1);
	struct tenant *tenant = g_new0 (struct tenant, 1);
	struct route *route = g_new0 (struct route, 1);

	*route = (struct route){
		.database = g_strdup ("d"),
		.service = g_strdup ("s"),
		.kind = ROUTE_PRIMARY,
		.statement_timeout_ms = 1000,
		.target_latency_ms = 400,
	};
	g_hash_table_insert (configuration->routes, route->database, route);
	*service = (struct database_service){ .name = g_strdup ("s"), .max_connections = 32 };
	g_hash_table_insert (configuration->services, service->name, service);
	*tenant = (struct tenant){ .name = g_strdup ("t"),
		                       .has_cap = world->is_capped,
		                       .rate_per_s = RATE_PER_S,
		                       .burst = BURST };
	configuration_enable_tenants (configuration);
	configuration_add_tenant (configuration, tenant);
	configuration_add_key (configuration, tenant, "key", 3);
	configuration->version = 1;
	configuration->transaction_idle_ms = 1000;
	return configuration;
}

static void
send_view (struct world *world, int vm)
{
	struct view *view = view_new ();
	struct primary_record record = { .service = g_strdup ("s"),
		                             .primary = g_strdup ("db"),
		                             .change = 1 };
	struct server_entry entry = { .id = g_strdup ("db"),
		                          .service = g_strdup ("s"),
		                          .zone = g_strdup ("a"),
		                          .ip = INADDR_LOOPBACK,
		                          .port = world->server.port,
		                          .slots = 4 };

	view->configuration = configuration_create (world);
	g_array_append_val (view->records, record);
	g_array_append_val (view->servers, entry);
	for (int i = 0; i < VMS; i++)
	{
		struct view_member member = { .ip = INADDR_LOOPBACK, .port = world->relay_ports[i] };

		if (i == vm)
			continue;
		member.vm = g_strdup_printf ("vm%d", i);
		member.zone = g_strdup ("a");
		g_array_append_val (view->members, member);
	}
	view->knows_members = true;
	view->vm_count = VMS;
	view->is_registered = true;
	view->records_valid_us = clock_now_us ();
	gateway_traffic_send_view (world->vms[vm], view);
}

static void
run (struct world *world, int64_t time_us)
{
	int64_t end_us = clock_now_us () + time_us;

	while (clock_now_us () < end_us)
	{
		int64_t next_us = clock_now_us () + US_PER_MS;

		while (clock_now_us () < next_us)
			virtual_clock_step (&world->loop, next_us);
		for (int round = 0; round < ROUNDS; round++)
		{
			for (int i = 0; i < VMS; i++)
			{
				gateway_traffic_send_records_valid (world->vms[i], clock_now_us ());
				if (i != world->stopped_vm)
					g_assert_cmpint (loop_step (&world->vms[i]->loop, 0), ==, 0);
			}
			g_assert_cmpint (loop_step (&world->loop, 0), ==, 0);
		}
	}
}

static void
world_init (struct world *world, bool is_capped, bool has_transactions)
{
	static const char *const names[VMS] = { "vm0", "vm1", "vm2" };

	memset (world, 0, sizeof *world);
	world->is_capped = is_capped;
	world->has_transactions = has_transactions;
	world->stopped_vm = -1;
	world->interval_us = 2 * US_PER_S;
	world->done_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
	g_assert_cmpint (loop_init (&world->loop), ==, 0);
	slot_server_init (&world->server, &world->loop, 4, 32, true);
	world->server.work_us = work_us;
	world->server.loses = loses;
	for (int i = 0; i < VMS; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = names[i],
			.zone = "a",
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 100,
		};

		settings.caller_port = world->caller_ports[i] = free_port ();
		settings.relay_port = world->relay_ports[i] = free_port ();
		world->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (world->vms[i]);
		gateway_traffic_prepare (world->vms[i], &gateway_traffic_no_events, NULL);
	}
	for (int i = 0; i < VMS; i++)
		send_view (world, i);
	run (world, US_PER_S / 2);
	for (int i = 0; i < CALLERS; i++)
	{
		struct caller *caller = &world->callers[i];

		caller->world = world;
		caller->timer.handle_timer = handle_timer;
		caller->timer.data = caller;
		line_stream_connect (&caller->stream, &world->loop, &caller_ops, INADDR_LOOPBACK,
		                     world->caller_ports[i % VMS], 0, LINE_BYTES);
		run (world, 2 * US_PER_S / CALLERS);
	}
}

static void
world_finish (struct world *world)
{
	for (int i = 0; i < CALLERS; i++)
	{
		loop_cancel_timer (&world->loop, &world->callers[i].timer);
		line_stream_finish (&world->callers[i].stream);
	}
	for (int i = 0; i < VMS; i++)
		gateway_traffic_free (world->vms[i]);
	slot_server_finish (&world->server);
	loop_finish (&world->loop);
	g_array_free (world->done_us, TRUE);
}

/** Most operations in a window of 5 s. */
static uint32_t
find_worst_window (const struct world *world)
{
	guint first = 0;
	uint32_t worst = 0;

	for (guint last = 0; last < world->done_us->len; last++)
	{
		while (g_array_index (world->done_us, int64_t, last) -
		           g_array_index (world->done_us, int64_t, first) >=
		       5 * US_PER_S)
			first++;
		worst = MAX (worst, last - first + 1);
	}
	return worst;
}

static void
test_binds (gconstpointer data)
{
	bool has_transactions = GPOINTER_TO_INT (data) != 0;
	struct world world;

	world_init (&world, true, has_transactions);
	/* 12 operations per second, of 20. */
	run (&world, 5 * US_PER_S);
	g_assert_cmpuint (world.done_us->len, >=, 50);
	g_assert_cmpuint (world.refused, ==, 0);
	/* About 10 times the cap. */
	world.interval_us = 100 * US_PER_MS;
	run (&world, 15 * US_PER_S);
	g_test_message ("served %u, refused %u, most in 5 s %u of %d", world.done_us->len,
	                world.refused, find_worst_window (&world), WINDOW_LIMIT);
	g_assert_cmpuint (find_worst_window (&world), <=, WINDOW_LIMIT);
	g_assert_cmpuint (world.done_us->len, >=, 50 + 15 * RATE_PER_S * 8 / 10);
	g_assert_cmpuint (world.refused, >, 500);
	g_assert_cmpuint (world.failed, ==, 0);
	world_finish (&world);
}

/** One of the VMs, which may be the account, stands still. Its callers wait; those of the others must not be refused. */
static void
test_stopped_vm (void)
{
	for (int vm = 0; vm < VMS; vm++)
	{
		struct world world;
		uint32_t refused;

		world_init (&world, true, false);
		run (&world, 3 * US_PER_S);
		world.stopped_vm = vm;
		run (&world, US_PER_S);
		refused = world.refused;
		run (&world, 2 * US_PER_S);
		g_test_message ("vm%d stops: %u refused in the first second", vm, refused);
		g_assert_cmpuint (refused, <=, 8);
		g_assert_cmpuint (world.refused, ==, refused);
		world_finish (&world);
	}
}

/** Operations that no server gets do not use tokens. */
static void
test_gives_back (void)
{
	struct world world;
	uint32_t spent[VMS];

	world_init (&world, true, false);
	run (&world, 3 * US_PER_S);
	slot_server_finish (&world.server);
	slot_server_init (&world.server, &world.loop, 4, 0, true);
	run (&world, 2 * US_PER_S);
	for (int i = 0; i < VMS; i++)
		spent[i] = world.vms[i]->cap_exchange.caps.tokens[0].spent;
	run (&world, 3 * US_PER_S);
	g_assert_cmpuint (world.failed, >=, 20);
	for (int i = 0; i < VMS; i++)
		g_assert_cmpuint (world.vms[i]->cap_exchange.caps.tokens[0].spent, <=, spent[i] + 1);
	world_finish (&world);
}

static void
test_no_caps (void)
{
	uint64_t reports = counter_get (COUNTER_CAP_REPORTS);
	struct world world;

	world_init (&world, false, false);
	world.interval_us = 100 * US_PER_MS;
	run (&world, 3 * US_PER_S);
	g_assert_cmpuint (world.refused, ==, 0);
	g_assert_cmpuint (counter_get (COUNTER_CAP_REPORTS), ==, reports);
	g_assert_cmpint (world.vms[0]->cap_exchange.source.fd, ==, -1);
	world_finish (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_data_func ("/gateway_cap/binds", GINT_TO_POINTER (0), test_binds);
	g_test_add_data_func ("/gateway_cap/binds_transactions", GINT_TO_POINTER (1), test_binds);
	g_test_add_func ("/gateway_cap/stopped_vm", test_stopped_vm);
	g_test_add_func ("/gateway_cap/gives_back", test_gives_back);
	g_test_add_func ("/gateway_cap/no_caps", test_no_caps);
	return g_test_run ();
}
