/* Guards against a traffic loop that does not end a turn, and against requests that are not answered: two VMs in virtual
 * time, with random listing, authority, limits, forwarding, lapsed entries and connects that fail at once.
 *
 * GATEWAY_QUEUE_SEEDS=FIRST:COUNT replaces the seeds. */
#include "common/clock.h"
#include "common/log.h"
#include "common/rpc.h"
#include "decision/succession.h"
#include "free_port.h"
#include "gateway/traffic_private.h"
#include "virtual_clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	VMS = 2,
	SERVERS = 3,
	CALLERS = 24,
	DATABASES = 3,
	LINE_BYTES = 256,
	STEP_US = 1 * US_PER_MS,
	ROUNDS = 4, /* Turns of each loop in a step, so that a request can pass two VMs. */
	FAULTS_US = 20 * US_PER_S,
	QUIET_US = 5 * US_PER_S,
	TIMEOUT_MS = 700,
	/* The interval of the checks of time limits, and steps of the model. */
	SLACK_US = 40 * US_PER_MS,
	/* Wall clock: the whole run of a seed takes less than a second, and some seconds with sanitizers. */
	SEED_LIMIT_S = 60,
	CLOSED_PORT = 1,
	RESERVED_IP = 0xf0000001, /* 240.0.0.1 */
};

static const char *const databases[DATABASES] = { "primary", "recent", "bounded" };
static const enum route_kind kinds[DATABASES] = { ROUTE_PRIMARY, ROUTE_READ_YOUR_WRITES,
	                                              ROUTE_BOUNDED_STALENESS };

struct model_server
{
	struct model *model;
	struct loop_source listener;
	uint16_t port;
	char id[8];
	bool is_silent;
	uint64_t index;
	uint32_t signatures; /* Signed answers; each has its own signature. */
};

/** A connection to a server, at the server. */
struct model_link
{
	struct line_stream stream;
	struct model_server *server;
	struct loop_timer timer;
	GString *answers; /* Answers that are sent when the timer expires. */
	bool is_open;
};

struct model_caller
{
	struct line_stream stream;
	struct model *model;
	struct loop_timer timer;
	int vm;
	int database;
	bool is_connected;
	bool is_greeted;
	int statements_left; /* In the transaction; 0: none is open. */
	int64_t asked_us;    /* When the outstanding request was sent; 0: there is none. */
};

struct model
{
	GRand *random;
	struct loop loop;
	struct gateway_traffic *vms[VMS];
	uint16_t caller_ports[VMS];
	uint16_t relay_ports[VMS];
	struct model_server servers[SERVERS];
	GPtrArray *links;
	struct model_caller callers[CALLERS];
	uint64_t change;
	int primary;
	bool is_changing;
	bool is_quiet;
	uint32_t served[VMS];
};

static bool
happens (struct model *model, double share)
{
	return !model->is_quiet && g_rand_double (model->random) < share;
}

/* Servers. */

static void
handle_answers_due (struct loop_timer *timer, int64_t now_us)
{
	struct model_link *link = timer->data;

	(void) now_us;
	if (link->stream.is_closed)
		return;
	g_string_append_len (link->stream.out, link->answers->str, (gssize) link->answers->len);
	g_string_truncate (link->answers, 0);
	line_stream_flush (&link->stream);
}

static void
handle_server_line (struct line_stream *stream, struct text line)
{
	static const char *const errors[] = { "BUSY", "LAGGING", "READONLY", "FAILED", "TOOMANY" };
	struct model_link *link = (struct model_link *) stream;
	struct model_server *server = link->server;
	struct model *model = server->model;
	char *text = g_strndup (line.start, line.length);
	bool is_statement = g_str_has_prefix (text, "QUERY ");
	bool is_command = g_str_has_prefix (text, "QUERY - ");
	bool is_refused;

	if (server->is_silent)
		goto out;
	is_refused = is_statement && !strstr (text, " ROLLBACK") && happens (model, 0.08);
	if (!is_refused && strstr (text, " BEGIN"))
		link->is_open = true;
	if (!is_refused && (strstr (text, " COMMIT") || strstr (text, " ROLLBACK")))
		link->is_open = false;
	if (is_refused)
		g_string_append_printf (link->answers, "ERROR %s model\r\n",
		                        errors[g_rand_int_range (model->random, 0, 5)]);
	else if (strstr (text, " STATUS"))
		g_string_append_printf (link->answers, "ROW %s 1 1.%llu 0 0 0 1\r\nCOMPLETE -\r\n",
		                        server == &model->servers[model->primary] ? "primary" : "replica",
		                        (unsigned long long) server->index);
	else if (is_command)
		g_string_append (link->answers, "COMPLETE -\r\n");
	else if (is_statement)
		g_string_append_printf (link->answers, "COMPLETE mac.%u\r\n", ++server->signatures);
	server->index += strstr (text, " WRITE ") != NULL;
	g_string_append_printf (link->answers, "READY %c 1.%llu\r\n", link->is_open ? 'T' : 'I',
	                        (unsigned long long) server->index);
	if (link->timer.slot == 0)
		loop_set_timer (&model->loop, &link->timer,
		                clock_now_us () + g_rand_int_range (model->random, 0, 40) * US_PER_MS);
out:
	g_free (text);
}

static void
handle_link_closed (struct line_stream *stream, int error)
{
	struct model_link *link = (struct model_link *) stream;

	(void) error;
	loop_cancel_timer (&link->server->model->loop, &link->timer);
}

static const struct line_stream_ops link_ops = {
	.handle_line = handle_server_line,
	.handle_closed = handle_link_closed,
};

static void
handle_server_accept (struct loop_source *source, uint32_t epoll_events)
{
	struct model_server *server = source->data;
	struct model *model = server->model;
	int fd;

	(void) epoll_events;
	while ((fd = rpc_accept (source->fd)) >= 0)
	{
		struct model_link *link = g_new0 (struct model_link, 1);

		g_assert_cmpint (line_stream_init (&link->stream, &model->loop, &link_ops, fd, LINE_BYTES),
		                 ==, 0);
		link->server = server;
		link->timer.handle_timer = handle_answers_due;
		link->timer.data = link;
		link->answers = g_string_new (NULL);
		g_ptr_array_add (model->links, link);
	}
}

static void
link_free (void *data)
{
	struct model_link *link = data;

	loop_cancel_timer (&link->server->model->loop, &link->timer);
	line_stream_finish (&link->stream);
	g_string_free (link->answers, TRUE);
	g_free (link);
}

static void
close_links (struct model *model, const struct model_server *server)
{
	for (guint i = 0; i < model->links->len; i++)
	{
		struct model_link *link = model->links->pdata[i];

		if (link->server != server)
			continue;
		loop_cancel_timer (&model->loop, &link->timer);
		line_stream_abort (&link->stream);
	}
}

/* Callers. */

static void
caller_wait (struct model_caller *caller)
{
	caller->asked_us = 0;
	loop_set_timer (&caller->model->loop, &caller->timer,
	                clock_now_us () + g_rand_int_range (caller->model->random, 1, 60) * US_PER_MS);
}

static void
handle_caller_connected (struct line_stream *stream)
{
	struct model_caller *caller = (struct model_caller *) stream;

	g_string_append_printf (stream->out, "START %s model\r\n", databases[caller->database]);
	caller->asked_us = 0;
}

static void
handle_caller_line (struct line_stream *stream, struct text line)
{
	struct model_caller *caller = (struct model_caller *) stream;

	if (line.length >= 12 && strncmp (line.start, "COMPLETE mac", 12) == 0)
		caller->model->served[caller->vm]++;
	if (line.length < 7 || strncmp (line.start, "READY ", 6) != 0)
		return;
	caller->is_greeted = true;
	if (line.start[6] == 'I')
		caller->statements_left = 0;
	caller_wait (caller);
}

static void
handle_caller_closed (struct line_stream *stream, int error)
{
	struct model_caller *caller = (struct model_caller *) stream;

	(void) error;
	caller->is_connected = false;
	caller_wait (caller);
}

static const struct line_stream_ops caller_ops = {
	.handle_connected = handle_caller_connected,
	.handle_line = handle_caller_line,
	.handle_closed = handle_caller_closed,
};

static void
caller_connect (struct model_caller *caller)
{
	struct model *model = caller->model;

	line_stream_finish (&caller->stream);
	caller->vm = g_rand_int_range (model->random, 0, VMS);
	caller->database = g_rand_int_range (model->random, 0, DATABASES);
	caller->is_connected = true;
	caller->is_greeted = false;
	caller->statements_left = 0;
	line_stream_connect (&caller->stream, &model->loop, &caller_ops, INADDR_LOOPBACK,
	                     model->caller_ports[caller->vm], 0, LINE_BYTES);
}

static const char *
next_statement (struct model_caller *caller)
{
	struct model *model = caller->model;
	int choice = g_rand_int_range (model->random, 0, 10);

	if (caller->statements_left > 1)
	{
		caller->statements_left--;
		return choice < 5 ? "READ 1" : "WRITE 1 data";
	}
	if (caller->statements_left == 1)
		return choice < 8 ? "COMMIT" : "ROLLBACK";
	if (choice == 0)
	{
		caller->statements_left = g_rand_int_range (model->random, 1, 4);
		return "BEGIN READ";
	}
	if (choice == 1)
	{
		caller->statements_left = g_rand_int_range (model->random, 1, 4);
		return "BEGIN";
	}
	if (choice == 2)
		return g_rand_boolean (model->random) ? "SET v0 a" : "SET v0 b";
	return choice < 7 ? "READ 1" : "WRITE 1 data";
}

static void
handle_caller_timer (struct loop_timer *timer, int64_t now_us)
{
	struct model_caller *caller = timer->data;

	if (!caller->is_connected)
	{
		caller_connect (caller);
		return;
	}
	/* A caller that leaves, also in a transaction. */
	if (happens (caller->model, 0.02))
	{
		line_stream_abort (&caller->stream);
		caller->is_connected = false;
		caller_wait (caller);
		return;
	}
	caller->asked_us = now_us;
	g_string_append_printf (caller->stream.out, "QUERY q %s\r\n", next_statement (caller));
	line_stream_flush (&caller->stream);
	/* A caller that leaves while its statement is under way. */
	if (happens (caller->model, 0.02))
	{
		line_stream_finish (&caller->stream);
		caller->is_connected = false;
		caller_wait (caller);
	}
}

/* VMs. */

static struct configuration *
configuration_create (struct model *model)
{
	struct configuration *configuration = configuration_new ();
	struct database_service *service = g_new0 (struct database_service, 1);

	for (int i = 0; i < DATABASES; i++)
	{
		struct route *route = g_new0 (struct route, 1);

		*route = (struct route){
			.database = g_strdup (databases[i]),
			.service = g_strdup ("s"),
			.kind = kinds[i],
			.statement_timeout_ms = TIMEOUT_MS,
			.target_latency_ms = model->is_quiet
			                         ? TIMEOUT_MS
			                         : (uint32_t) g_rand_int_range (model->random, 50, 1000),
			.priority = (uint32_t) i,
			.max_staleness_ms = 1000,
		};
		g_hash_table_insert (configuration->routes, route->database, route);
	}
	*service = (struct database_service){
		.name = g_strdup ("s"),
		.max_connections =
			model->is_quiet ? 16 : (uint32_t) g_rand_int_range (model->random, 1, 16),
	};
	g_hash_table_insert (configuration->services, service->name, service);
	configuration->version = 1;
	configuration->transaction_idle_ms = 1000;
	return configuration;
}

static void
add_servers (struct model *model, struct view *view)
{
	for (int i = 0; i < SERVERS; i++)
	{
		struct server_entry entry = {
			.id = g_strdup (model->servers[i].id),
			.service = g_strdup ("s"),
			.zone = g_strdup (i == 0 ? "a" : "b"),
			.ip = happens (model, 0.05)   ? RESERVED_IP
			      : happens (model, 0.05) ? INADDR_BROADCAST
			                              : INADDR_LOOPBACK,
			.port = happens (model, 0.05) ? CLOSED_PORT : model->servers[i].port,
			.slots = model->is_quiet ? 2 : (uint32_t) g_rand_int_range (model->random, 1, 4),
			.is_draining = happens (model, 0.1),
		};

		if (happens (model, 0.25))
			server_entry_clear (&entry);
		else
			g_array_append_val (view->servers, entry);
	}
}

static void
send_view (struct model *model, int vm)
{
	struct view *view = view_new ();
	struct primary_record primary_record = {
		.service = g_strdup ("s"),
		.primary = g_strdup (model->servers[model->primary].id),
		.change = model->change,
		.is_changing = model->is_changing,
		.is_planned = happens (model, 0.5),
	};

	view->configuration = configuration_create (model);
	g_array_append_val (view->records, primary_record);
	add_servers (model, view);
	for (int i = 0; i < VMS; i++)
	{
		struct view_member member = {
			.ip = happens (model, 0.05) ? RESERVED_IP : INADDR_LOOPBACK,
			.port = model->relay_ports[i],
		};

		if (i == vm || happens (model, 0.1))
			continue;
		member.vm = g_strdup_printf ("vm%d", i);
		member.zone = g_strdup (i == 0 ? "a" : "b");
		g_array_append_val (view->members, member);
	}
	view->knows_members = !happens (model, 0.05);
	view->vm_count = happens (model, 0.2) ? 20 : VMS;
	view->is_registered = !happens (model, 0.05);
	view->is_isolated = happens (model, 0.05);
	view->is_out_of_rotation = view->is_isolated && happens (model, 0.5);
	view->records_valid_us =
		clock_now_us () - (happens (model, 0.2) ? SUCCESSION_AUTHORITY_MS * US_PER_MS : 0);
	gateway_traffic_send_view (model->vms[vm], view);
}

static void
change_primary (struct model *model)
{
	model->change++;
	model->is_changing = !model->is_changing && !model->is_quiet;
	if (!model->is_changing)
		model->primary = g_rand_int_range (model->random, 0, SERVERS);
}

static void
run_events (struct model *model)
{
	struct model_server *server = &model->servers[g_rand_int_range (model->random, 0, SERVERS)];

	if (happens (model, 0.004))
		change_primary (model);
	if (happens (model, 0.002))
		server->is_silent = !server->is_silent;
	if (happens (model, 0.002))
		close_links (model, server);
	for (int i = 0; i < VMS; i++)
	{
		if (happens (model, 0.02))
			send_view (model, i);
		if (happens (model, 0.02))
			gateway_traffic_send_records_valid (model->vms[i], clock_now_us ());
		if (happens (model, 0.01))
			gateway_traffic_request_status (model->vms[i], server->id, happens (model, 0.1));
		if (happens (model, 0.01))
			gateway_traffic_request_contact (model->vms[i], server->id);
	}
}

static void
check_deadlines (const struct model *model, uint64_t seed)
{
	for (int i = 0; i < CALLERS; i++)
	{
		const struct model_caller *caller = &model->callers[i];
		int64_t waited_us = caller->asked_us > 0 ? clock_now_us () - caller->asked_us : 0;

		if (waited_us > TIMEOUT_MS * US_PER_MS + SLACK_US)
			g_error ("seed %llu: caller %d of vm%d has no answer after %lld ms",
			         (unsigned long long) seed, i, caller->vm, (long long) waited_us / US_PER_MS);
	}
}

static void
run_until (struct model *model, int64_t end_us, uint64_t seed)
{
	while (clock_now_us () < end_us)
	{
		int64_t next_us = clock_now_us () + STEP_US;

		run_events (model);
		while (clock_now_us () < next_us)
			virtual_clock_step (&model->loop, next_us);
		for (int round = 0; round < ROUNDS; round++)
		{
			for (int i = 0; i < VMS; i++)
				g_assert_cmpint (loop_step (&model->vms[i]->loop, 0), ==, 0);
			g_assert_cmpint (loop_step (&model->loop, 0), ==, 0);
		}
		check_deadlines (model, seed);
	}
}

static void
model_init (struct model *model, uint64_t seed)
{
	static const char *const names[VMS] = { "vm0", "vm1" };

	memset (model, 0, sizeof *model);
	model->random = g_rand_new_with_seed ((guint32) seed);
	model->links = g_ptr_array_new_with_free_func (link_free);
	model->change = 1;
	g_assert_cmpint (loop_init (&model->loop), ==, 0);
	for (int i = 0; i < SERVERS; i++)
	{
		struct model_server *server = &model->servers[i];

		server->model = model;
		server->port = free_port ();
		server->index = 100;
		snprintf (server->id, sizeof server->id, "db%d", i);
		server->listener.fd = rpc_listen (INADDR_LOOPBACK, server->port);
		server->listener.handle_ready = handle_server_accept;
		server->listener.data = server;
		g_assert_cmpint (loop_set_source (&model->loop, &server->listener, EPOLLIN), ==, 0);
	}
	for (int i = 0; i < VMS; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = names[i],
			.zone = i == 0 ? "a" : "b",
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 100,
		};

		settings.caller_port = model->caller_ports[i] = free_port ();
		settings.relay_port = model->relay_ports[i] = free_port ();
		model->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (model->vms[i]);
		gateway_traffic_prepare (model->vms[i], &gateway_traffic_no_events, NULL);
		send_view (model, i);
	}
	for (int i = 0; i < CALLERS; i++)
	{
		struct model_caller *caller = &model->callers[i];

		caller->model = model;
		caller->stream.is_closed = true;
		caller->timer.handle_timer = handle_caller_timer;
		caller->timer.data = caller;
		caller_wait (caller);
	}
}

static void
model_finish (struct model *model)
{
	for (int i = 0; i < CALLERS; i++)
		line_stream_finish (&model->callers[i].stream);
	for (int i = 0; i < VMS; i++)
		gateway_traffic_free (model->vms[i]);
	g_ptr_array_free (model->links, TRUE);
	for (int i = 0; i < SERVERS; i++)
		close (model->servers[i].listener.fd);
	loop_finish (&model->loop);
	g_rand_free (model->random);
}

/** Ends all faults; the VMs have to serve again. */
static void
heal (struct model *model)
{
	model->is_quiet = true;
	for (int i = 0; i < SERVERS; i++)
	{
		model->servers[i].is_silent = false;
		close_links (model, &model->servers[i]);
	}
	change_primary (model);
	for (int i = 0; i < VMS; i++)
		send_view (model, i);
}

static void
play (uint64_t seed)
{
	enum
	{
		MIN_SERVED = 50, /* By each VM, in the last half of the quiet time. */
	};
	struct model model;
	int64_t healed_us;

	alarm (SEED_LIMIT_S);
	model_init (&model, seed);
	run_until (&model, clock_now_us () + FAULTS_US, seed);
	heal (&model);
	healed_us = clock_now_us ();
	while (clock_now_us () < healed_us + QUIET_US)
	{
		for (int i = 0; i < VMS; i++)
		{
			gateway_traffic_send_records_valid (model.vms[i], clock_now_us ());
			if (clock_now_us () < healed_us + QUIET_US / 2)
				model.served[i] = 0;
		}
		run_until (&model, clock_now_us () + 100 * US_PER_MS, seed);
	}
	for (int i = 0; i < VMS; i++)
	{
		g_test_message ("seed %llu: vm%d served %u at the end", (unsigned long long) seed, i,
		                model.served[i]);
		g_assert_cmpuint (model.served[i], >=, MIN_SERVED);
	}
	model_finish (&model);
	alarm (0);
}

static void
test_random (void)
{
	const char *text = getenv ("GATEWAY_QUEUE_SEEDS");
	unsigned long long first = 1;
	unsigned long long count = 10;

	if (text && sscanf (text, "%llu:%llu", &first, &count) != 2)
		g_error ("GATEWAY_QUEUE_SEEDS is not FIRST:COUNT: %s", text);
	for (unsigned long long seed = first; seed < first + count; seed++)
		play (seed);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_queue/random", test_random);
	return g_test_run ();
}
