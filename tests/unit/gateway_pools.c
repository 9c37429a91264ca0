/* Guards against statements that run on a connection of another tenant, and against tenants that are not served after their
 * connections were replaced: an owner and a forwarding VM in virtual time, before servers with fewer connections than tenants. */
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "free_port.h"
#include "gateway/traffic_private.h"
#include "slot_server.h"
#include "virtual_clock.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

enum
{
	VMS = 2,
	SERVERS = 2,
	TENANTS = 20,
	CALLERS = 2 * TENANTS, /* Of each tenant, one at each VM. */
	SLOTS = 4,
	CONNECTIONS = 16, /* Of each server; its owner holds half. */
	LINE_BYTES = 256,
	STEP_US = 1 * US_PER_MS,
	ROUNDS = 4,
	MAX_PAUSE_MS = 400,
	PHASE_US = 10 * US_PER_S,
	MIN_SERVED = 10, /* Of each tenant in a phase, by each VM. */
};

struct caller
{
	struct line_stream stream;
	struct world *world;
	struct loop_timer timer;
	int number;
	int statements_left; /* Of the open transaction. */
	bool is_connected;
	uint32_t served;
};

struct world
{
	GRand *random;
	struct loop loop;
	struct gateway_traffic *vms[VMS];
	uint16_t caller_ports[VMS];
	uint16_t relay_ports[VMS];
	struct slot_server servers[SERVERS];
	struct caller callers[CALLERS];
	uint32_t statements;
	uint32_t refused;
};

static int64_t
work_us (void *data, const char *text)
{
	(void) text;
	return g_rand_int_range (((struct world *) data)->random, 1, 12) * US_PER_MS;
}

/** The text of a statement ends with the name of its caller's tenant. */
static void
handle_statement (void *data, const char *tenant, const char *text)
{
	struct world *world = data;
	const char *name = strrchr (text, ' ');

	if (strcmp (text, "COMMIT") == 0 || strcmp (text, "ROLLBACK") == 0)
		return;
	world->statements++;
	g_assert_nonnull (name);
	g_assert_cmpstr (tenant, ==, name + 1);
}

static void
caller_wait (struct caller *caller)
{
	int pause_ms = g_rand_int_range (caller->world->random, 1, MAX_PAUSE_MS);

	loop_set_timer (&caller->world->loop, &caller->timer, clock_now_us () + pause_ms * US_PER_MS);
}

static void
handle_connected (struct line_stream *stream)
{
	const struct caller *caller = (struct caller *) stream;

	g_string_append_printf (stream->out, "START %s key%d\r\n",
	                        caller->number % 3 ? "reads" : "writes", caller->number % TENANTS);
}

static void
handle_line (struct line_stream *stream, struct text line)
{
	struct caller *caller = (struct caller *) stream;

	caller->served += line.length >= 12 && strncmp (line.start, "COMPLETE mac", 12) == 0;
	caller->world->refused += line.length >= 6 && strncmp (line.start, "ERROR ", 6) == 0;
	if (line.length < 7 || strncmp (line.start, "READY ", 6) != 0)
		return;
	if (line.start[6] == 'I')
		caller->statements_left = 0;
	if (line.start[6] != 'E')
	{
		caller_wait (caller);
		return;
	}
	caller->statements_left = 0;
	g_string_append (stream->out, "QUERY q ROLLBACK\r\n");
	line_stream_flush (stream);
}

static void
handle_closed (struct line_stream *stream, int error)
{
	struct caller *caller = (struct caller *) stream;

	(void) error;
	caller->is_connected = false;
	caller_wait (caller);
}

static const struct line_stream_ops caller_ops = {
	.handle_connected = handle_connected,
	.handle_line = handle_line,
	.handle_closed = handle_closed,
};

static void
handle_caller_timer (struct loop_timer *timer, int64_t now_us)
{
	struct caller *caller = timer->data;
	struct world *world = caller->world;
	int tenant = caller->number % TENANTS;
	bool is_write = caller->number % 3 == 0;
	GString *out = caller->stream.out;

	(void) now_us;
	if (!caller->is_connected)
	{
		line_stream_finish (&caller->stream);
		caller->is_connected = true;
		line_stream_connect (&caller->stream, &world->loop, &caller_ops, INADDR_LOOPBACK,
		                     world->caller_ports[caller->number / TENANTS], 0, LINE_BYTES);
		return;
	}
	if (caller->statements_left > 1 ||
	    (caller->statements_left == 0 && g_rand_int_range (world->random, 0, 20) > 0))
		g_string_append_printf (out, "QUERY q %s t%d\r\n", is_write ? "WRITE 1" : "READ", tenant);
	else if (caller->statements_left == 1)
		g_string_append (out, "QUERY q COMMIT\r\n");
	else
	{
		caller->statements_left = 3;
		g_string_append (out, is_write ? "QUERY q BEGIN\r\n" : "QUERY q BEGIN READ\r\n");
	}
	caller->statements_left -= caller->statements_left > 1;
	line_stream_flush (&caller->stream);
}

static void
add_route (struct configuration *configuration, const char *database, enum route_kind kind)
{
	struct route *route = g_new0 (struct route, 1);

	*route = (struct route){
		.database = g_strdup (database),
		.service = g_strdup ("s"),
		.kind = kind,
		.statement_timeout_ms = 2000,
		.target_latency_ms = 1000,
		.max_staleness_ms = 1500,
	};
	g_hash_table_insert (configuration->routes, route->database, route);
}

static struct configuration *
configuration_create (void)
{
	struct configuration *configuration = configuration_new ();
	struct database_service *service = g_new0 (struct database_service, 1);

	*service = (struct database_service){ .name = g_strdup ("s"), .max_connections = CONNECTIONS };
	g_hash_table_insert (configuration->services, service->name, service);
	add_route (configuration, "reads", ROUTE_BOUNDED_STALENESS);
	add_route (configuration, "writes", ROUTE_PRIMARY);
	configuration_enable_tenants (configuration);
	for (int i = 0; i < TENANTS; i++)
	{
		struct tenant *tenant = g_new0 (struct tenant, 1);
		g_autofree char *key = g_strdup_printf ("key%d", i);

		tenant->name = g_strdup_printf ("t%d", i);
		configuration_add_tenant (configuration, tenant);
		configuration_add_key (configuration, tenant, key, strlen (key));
	}
	configuration->version = 1;
	configuration->transaction_idle_ms = 3000;
	return configuration;
}

static void
send_view (struct world *world, int vm)
{
	struct view *view = view_new ();
	struct primary_record record = { .service = g_strdup ("s"),
		                             .primary = g_strdup ("db0"),
		                             .change = 1 };
	struct view_member member = { .ip = INADDR_LOOPBACK, .port = world->relay_ports[1 - vm] };

	view->configuration = configuration_create ();
	g_array_append_val (view->records, record);
	for (int i = 0; i < SERVERS; i++)
	{
		struct server_entry entry = {
			.id = g_strdup_printf ("db%d", i),
			.service = g_strdup ("s"),
			.zone = g_strdup ("a"),
			.ip = INADDR_LOOPBACK,
			.port = world->servers[i].port,
			.slots = SLOTS,
		};

		g_array_append_val (view->servers, entry);
	}
	member.vm = g_strdup_printf ("vm%d", 1 - vm);
	member.zone = g_strdup (vm == 0 ? "b" : "a");
	g_array_append_val (view->members, member);
	view->knows_members = true;
	view->vm_count = VMS;
	view->is_registered = true;
	view->records_valid_us = clock_now_us () + 3600 * (int64_t) US_PER_S;
	gateway_traffic_send_view (world->vms[vm], view);
}

static void
world_init (struct world *world)
{
	static const char *const names[VMS] = { "vm0", "vm1" };

	memset (world, 0, sizeof *world);
	world->random = g_rand_new_with_seed (1);
	g_assert_cmpint (loop_init (&world->loop), ==, 0);
	for (int i = 0; i < SERVERS; i++)
	{
		slot_server_init (&world->servers[i], &world->loop, SLOTS, CONNECTIONS, i == 0);
		world->servers[i].work_us = work_us;
		world->servers[i].handle_statement = handle_statement;
		world->servers[i].data = world;
	}
	for (int i = 0; i < VMS; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = names[i],
			.zone = i == 0 ? "a" : "b",
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 200,
		};

		settings.caller_port = world->caller_ports[i] = free_port ();
		settings.relay_port = world->relay_ports[i] = free_port ();
		world->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (world->vms[i]);
		gateway_traffic_prepare (world->vms[i], &gateway_traffic_no_events, NULL);
	}
	for (int i = 0; i < VMS; i++)
		send_view (world, i);
	for (int i = 0; i < CALLERS; i++)
	{
		struct caller *caller = &world->callers[i];

		caller->world = world;
		caller->number = i;
		caller->stream.is_closed = true;
		caller->timer.handle_timer = handle_caller_timer;
		caller->timer.data = caller;
		caller_wait (caller);
	}
}

static void
world_finish (struct world *world)
{
	for (int i = 0; i < CALLERS; i++)
		line_stream_finish (&world->callers[i].stream);
	for (int i = 0; i < VMS; i++)
		gateway_traffic_free (world->vms[i]);
	for (int i = 0; i < SERVERS; i++)
		slot_server_finish (&world->servers[i]);
	loop_finish (&world->loop);
	g_rand_free (world->random);
}

static void
step (struct world *world)
{
	int64_t next_us = clock_now_us () + STEP_US;

	while (clock_now_us () < next_us)
		virtual_clock_step (&world->loop, next_us);
	for (int round = 0; round < ROUNDS; round++)
	{
		for (int i = 0; i < VMS; i++)
			g_assert_cmpint (loop_step (&world->vms[i]->loop, 0), ==, 0);
		g_assert_cmpint (loop_step (&world->loop, 0), ==, 0);
	}
	for (int i = 0; i < SERVERS; i++)
	{
		const struct server *server =
			g_hash_table_lookup (world->vms[0]->servers, i == 0 ? "db0" : "db1");
		uint32_t opening = 0;
		uint32_t open = 0;

		for (const struct connection *connection = server ? server->connections : NULL; connection;
		     connection = connection->next)
		{
			open += !connection->is_relayed;
			opening += !connection->is_relayed && connection->state == CONNECTION_OPENING;
		}
		g_assert_cmpuint (opening, <=, SLOTS / 2);
		g_assert_cmpuint (open, <=, CONNECTIONS / 2);
	}
}

/** Runs the world. Each tenant has to be served at both VMs. @return the number of replaced connections. */
static uint64_t
run_phase (struct world *world, const char *name)
{
	uint64_t replaced = counter_get (COUNTER_SERVER_CONNECTIONS_REPLACED);
	uint64_t opened = counter_get (COUNTER_SERVER_CONNECTIONS_OPENED);
	int64_t end_us = clock_now_us () + PHASE_US;
	uint32_t least = UINT32_MAX;

	world->refused = world->statements = 0;
	for (int i = 0; i < CALLERS; i++)
		world->callers[i].served = 0;
	while (clock_now_us () < end_us)
		step (world);
	for (int i = 0; i < CALLERS; i++)
		least = MIN (least, world->callers[i].served);
	replaced = counter_get (COUNTER_SERVER_CONNECTIONS_REPLACED) - replaced;
	g_test_message (
		"%s: %u statements, least of a caller %u, refused %u, opened %llu, replaced %llu", name,
		world->statements, least, world->refused,
		(unsigned long long) (counter_get (COUNTER_SERVER_CONNECTIONS_OPENED) - opened),
		(unsigned long long) replaced);
	g_assert_cmpuint (least, >=, MIN_SERVED);
	return replaced;
}

static void
test_replaced (void)
{
	struct world world;

	world_init (&world);
	g_assert_cmpuint (run_phase (&world, "start"), >, 0);
	g_assert_cmpuint (run_phase (&world, "20 tenants, 8 connections"), >, 0);
	world_finish (&world);
}

/* Guards against an owner that goes on trying to open as many connections as usual, while the server still counts those of a
 * former one. */
static void
test_refused (void)
{
	struct world world;
	uint32_t refused = 0;

	world_init (&world);
	for (int i = 0; i < SERVERS; i++)
		world.servers[i].max_connections = CONNECTIONS / 4;
	run_phase (&world, "4 connections allowed");
	for (int i = 0; i < SERVERS; i++)
	{
		refused += world.servers[i].refused_connections;
		world.servers[i].max_connections = CONNECTIONS;
	}
	g_test_message ("refused connections: %u", refused);
	/* The limit in use is restored each 3 s, with at most as many attempts as connections are opened at once. */
	g_assert_cmpuint (refused, <=, SERVERS * (SLOTS / 2) * (PHASE_US / (3 * US_PER_S) + 1));
	run_phase (&world, "16 connections allowed again");
	world_finish (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_pools/replaced", test_replaced);
	g_test_add_func ("/gateway_pools/refused", test_refused);
	return g_test_run ();
}
