#include "gateway_pair.h"

#include "common/clock.h"
#include "free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	PAIR_WAIT_S = 5,
};

static void
add_route (struct configuration *configuration, const char *database, enum route_kind kind)
{
	struct route *route = g_new0 (struct route, 1);

	*route = (struct route){
		.database = g_strdup (database),
		.service = g_strdup ("s"),
		.kind = kind,
		.statement_timeout_ms = 4000,
		.target_latency_ms = 4000,
		.max_staleness_ms = kind == ROUTE_BOUNDED_STALENESS ? 2500 : 0,
	};
	g_hash_table_insert (configuration->routes, route->database, route);
}

static struct view *
create_view (const struct gateway_pair *pair, int vm, uint32_t max_connections)
{
	struct view *view = view_new ();
	struct database_service *service = g_new0 (struct database_service, 1);
	struct primary_record primary_record = {
		.service = g_strdup ("s"),
		.primary = g_strdup (pair->databases[PAIR_PRIMARY].id),
		.change = 10,
	};
	struct view_member member = {
		.vm = g_strdup (pair->names[!vm]),
		.zone = g_strdup (vm == PAIR_OWNER ? "b" : "a"),
		.ip = INADDR_LOOPBACK,
		.port = pair->relay_ports[!vm],
	};

	view->configuration = configuration_new ();
	add_route (view->configuration, "primary", ROUTE_PRIMARY);
	add_route (view->configuration, "staleness", ROUTE_BOUNDED_STALENESS);
	*service =
		(struct database_service){ .name = g_strdup ("s"), .max_connections = max_connections };
	g_hash_table_insert (view->configuration->services, service->name, service);
	view->configuration->version = 1;
	view->configuration->transaction_idle_ms = 10000;
	for (int i = 0; i < PAIR_SERVERS; i++)
	{
		struct server_entry entry = {
			.id = g_strdup (pair->databases[i].id),
			.service = g_strdup ("s"),
			.zone = g_strdup ("a"),
			.ip = INADDR_LOOPBACK,
			.port = pair->databases[i].port,
			.slots = PAIR_SLOTS,
		};

		g_array_append_val (view->servers, entry);
	}
	g_array_append_val (view->records, primary_record);
	g_array_append_val (view->members, member);
	view->knows_members = true;
	view->vm_count = PAIR_VMS;
	view->is_registered = true;
	view->records_valid_us = clock_now_us () + 300 * US_PER_S;
	return view;
}

void
gateway_pair_start (struct gateway_pair *pair, uint32_t max_connections)
{
	memset (pair, 0, sizeof *pair);
	fake_database_start (&pair->databases[PAIR_PRIMARY], "db0", true);
	fake_database_start (&pair->databases[PAIR_REPLICA], "db1", false);
	for (int i = 0; i < PAIR_VMS; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = pair->names[i],
			.zone = i == PAIR_OWNER ? "a" : "b",
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 1000,
		};

		snprintf (pair->names[i], sizeof pair->names[i], "vm%d", i);
		settings.caller_port = pair->caller_ports[i] = free_port ();
		settings.relay_port = pair->relay_ports[i] = free_port ();
		pair->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (pair->vms[i]);
		g_assert_cmpint (gateway_traffic_start (pair->vms[i], &gateway_traffic_no_events, NULL), ==,
		                 0);
	}
	for (int i = 0; i < PAIR_VMS; i++)
		gateway_traffic_send_view (pair->vms[i], create_view (pair, i, max_connections));
}

void
gateway_pair_stop (struct gateway_pair *pair)
{
	for (int i = 0; i < PAIR_VMS; i++)
		gateway_traffic_free (pair->vms[i]);
	for (int i = 0; i < PAIR_SERVERS; i++)
		fake_database_stop (&pair->databases[i]);
}

int
gateway_pair_connect (uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	struct timeval limit = { .tv_sec = PAIR_WAIT_S };
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	return fd;
}

bool
pair_send (int fd, const char *bytes, size_t length)
{
	ssize_t sent = 1;

	for (size_t at = 0; at < length && sent > 0; at += (size_t) sent)
		sent = send (fd, bytes + at, length - at, MSG_NOSIGNAL);
	return sent > 0;
}

/** Finds the start of the last complete line, which follows the start of the answer or a line end. */
static const char *
find_last_line (const GString *answer)
{
	const char *found = answer->str;
	const char *end;

	while ((end = memmem (found, (size_t) (answer->str + answer->len - found), "\r\n", 2)) &&
	       end + 2 < answer->str + answer->len)
		found = end + 2;
	return found;
}

GString *
pair_read (int fd)
{
	GString *answer = g_string_new (NULL);
	char byte;

	while (recv (fd, &byte, 1, 0) == 1)
	{
		g_string_append_c (answer, byte);
		if (byte == '\n' && g_str_has_suffix (answer->str, "\r\n") &&
		    g_str_has_prefix (find_last_line (answer), "READY "))
			break;
	}
	return answer;
}

GString *
pair_execute (int fd, const char *id, const char *text, size_t length)
{
	GString *message = g_string_new (NULL);
	GString *answer;

	g_string_append_printf (message, "QUERY %s ", id);
	g_string_append_len (message, text, (gssize) length);
	g_string_append (message, "\r\n");
	pair_send (fd, message->str, message->len);
	g_string_free (message, TRUE);
	answer = pair_read (fd);
	return answer;
}

int
gateway_pair_open (const struct gateway_pair *pair, int vm, const char *database)
{
	g_autofree char *start = g_strdup_printf ("START %s who\r\n", database);
	int fd = gateway_pair_connect (pair->caller_ports[vm]);
	GString *answer;

	g_assert_true (pair_send (fd, start, strlen (start)));
	answer = pair_read (fd);
	g_assert_cmpstr (answer->str, ==, "READY I -\r\n");
	g_string_free (answer, TRUE);
	return fd;
}
