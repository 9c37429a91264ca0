/* Tests tenants and their keys with real sockets: two VMs, the owner of a server and one that forwards to it. */
#include "fake_database.h"
#include "free_port.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/tenant.h"
#include "gateway/traffic.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	VM_COUNT = 2,
	OWNER = 0,
	FORWARDER = 1,
	ANSWER_BYTES = 512,
	TENANTS = 3,
	WAIT_MS = 3000,
	/* Of the server; half of it is the owner's, which is less than there are tenants. */
	CONNECTIONS = 4,
	MIX_STATEMENTS = 60,
};

/* All keys contain this text, which must not appear in a log or reach a server. */
#define SECRET "sEcReT"

static const char *const names[TENANTS] = { "ta", "tb", "tc" };

struct fixture
{
	struct fake_database database;
	struct gateway_traffic *vms[VM_COUNT];
	uint16_t caller_ports[VM_COUNT];
	uint16_t relay_ports[VM_COUNT];
	uint64_t version;
	bool lacks_configuration; /**< Of the views that are sent. */
};

static void
add_route (struct configuration *configuration, const char *database, bool is_public)
{
	struct route *route = g_new0 (struct route, 1);

	*route = (struct route){
		.database = g_strdup (database),
		.service = g_strdup ("s"),
		.kind = ROUTE_PRIMARY,
		.statement_timeout_ms = WAIT_MS,
		.target_latency_ms = WAIT_MS,
		.is_public = is_public,
	};
	g_hash_table_insert (configuration->routes, route->database, route);
}

/** Applies tenants that each have the key "sEcReT NAME", a text with a blank.
 * @param without tenant or key that is left out, or NULL. @param keeps_tenant only its key is left out. */
static void
apply (struct fixture *fixture, const char *without, bool keeps_tenant)
{
	fixture->version++;
	for (int vm = 0; vm < VM_COUNT; vm++)
	{
		struct view *view = view_new ();
		struct configuration *configuration = configuration_new ();
		struct database_service *service = g_new0 (struct database_service, 1);
		struct primary_record primary_record = {
			.service = g_strdup ("s"),
			.primary = g_strdup ("db0"),
			.change = 10,
		};
		struct server_entry entry = {
			.id = g_strdup ("db0"),
			.service = g_strdup ("s"),
			.zone = g_strdup ("a"),
			.ip = INADDR_LOOPBACK,
			.port = fixture->database.port,
			.slots = 2,
		};
		struct view_member member = {
			.vm = g_strdup (vm == OWNER ? "vm1" : "vm0"),
			.zone = g_strdup (vm == OWNER ? "b" : "a"),
			.ip = INADDR_LOOPBACK,
			.port = fixture->relay_ports[!vm],
		};

		add_route (configuration, "db", false);
		add_route (configuration, "open", true);
		*service =
			(struct database_service){ .name = g_strdup ("s"), .max_connections = CONNECTIONS };
		g_hash_table_insert (configuration->services, service->name, service);
		configuration->version = fixture->version;
		configuration->transaction_idle_ms = 10000;
		configuration_enable_tenants (configuration);
		for (int i = 0; i < TENANTS; i++)
		{
			struct tenant *tenant;
			char *key = g_strdup_printf (SECRET " %s", names[i]);
			bool is_left_out = g_strcmp0 (names[i], without) == 0;

			if (!is_left_out || keeps_tenant)
			{
				tenant = g_new0 (struct tenant, 1);
				tenant->name = g_strdup (names[i]);
				configuration_add_tenant (configuration, tenant);
				if (!is_left_out)
					configuration_add_key (configuration, tenant, key, strlen (key));
			}
			g_free (key);
		}
		if (fixture->lacks_configuration)
			configuration_release (configuration);
		else
			view->configuration = configuration;
		g_array_append_val (view->records, primary_record);
		g_array_append_val (view->servers, entry);
		g_array_append_val (view->members, member);
		view->knows_members = true;
		view->vm_count = VM_COUNT;
		view->is_registered = true;
		view->records_valid_us = clock_now_us () + 300 * US_PER_S;
		gateway_traffic_send_view (fixture->vms[vm], view);
	}
}

static void
fixture_init (struct fixture *fixture)
{
	memset (fixture, 0, sizeof *fixture);
	fake_database_start (&fixture->database, "db0", true);
	for (int i = 0; i < VM_COUNT; i++)
	{
		struct gateway_traffic_settings settings = {
			.vm = i == OWNER ? "vm0" : "vm1",
			.zone = i == OWNER ? "a" : "b",
			.ip = INADDR_LOOPBACK,
			.grace_ms = 2000,
			.max_sessions = 1000,
			.min_silence_ms = 60000,
		};

		settings.caller_port = fixture->caller_ports[i] = free_port ();
		settings.relay_port = fixture->relay_ports[i] = free_port ();
		fixture->vms[i] = gateway_traffic_new (&settings);
		g_assert_nonnull (fixture->vms[i]);
		g_assert_cmpint (gateway_traffic_start (fixture->vms[i], &gateway_traffic_no_events, NULL),
		                 ==, 0);
	}
}

static void
fixture_start (struct fixture *fixture)
{
	fixture_init (fixture);
	apply (fixture, NULL, false);
}

/** Checks what the server was told: declared tenants, and for public routes without a key the name of a VM. */
static void
fixture_stop (struct fixture *fixture, bool has_public)
{
	for (int i = 0; i < VM_COUNT; i++)
		gateway_traffic_free (fixture->vms[i]);
	g_assert_cmpuint (fixture->database.greetings->len, >, 0);
	for (guint i = 0; i < fixture->database.greetings->len; i++)
	{
		const char *greeting = fixture->database.greetings->pdata[i];
		bool is_tenant = g_str_has_prefix (greeting, "START s t") && strlen (greeting) == 14;

		if (!is_tenant && !(has_public && g_str_has_prefix (greeting, "START s vm")))
			g_test_fail_printf ("a server was told %s", greeting);
	}
	fake_database_stop (&fixture->database);
}

/** Sends a line, or nothing when it is NULL, and reads until READY or the end. @return whether READY came. */
static bool
execute (int fd, const char *line, char *answer)
{
	char *text = g_strdup_printf ("%s\r\n", line ? line : "");
	size_t length = 0;

	answer[0] = '\0';
	if (line)
		g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==, (int) strlen (text));
	g_free (text);
	while (length < ANSWER_BYTES - 1 && recv (fd, answer + length, 1, 0) == 1)
	{
		const char *last;

		answer[++length] = '\0';
		last = g_strrstr (answer, "READY");
		if (last && g_str_has_suffix (last, "\r\n"))
			return true;
	}
	return false;
}

static int
connect_port (uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	struct timeval limit = { .tv_sec = WAIT_MS / 1000 };
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	return fd;
}

/** Opens a session. @return the descriptor, or -1 when it was refused with NOAUTH and closed. */
static int
open_session (const struct fixture *fixture, int vm, const char *database, const char *key)
{
	char answer[ANSWER_BYTES];
	char *start = g_strdup_printf ("START %s%s", database, key);
	int fd = connect_port (fixture->caller_ports[vm]);
	bool is_ready = execute (fd, start, answer);

	g_free (start);
	if (is_ready)
	{
		g_assert_cmpstr (answer, ==, "READY I -\r\n");
		return fd;
	}
	g_assert_true (g_str_has_prefix (answer, "ERROR NOAUTH "));
	g_assert_null (strstr (answer, SECRET));
	/* Closed, not only quiet. */
	g_assert_cmpint (recv (fd, answer, 1, 0), ==, 0);
	close (fd);
	return -1;
}

/** Waits until both VMs have the latest version, as seen by a key that it admits or not. */
static void
await_key (const struct fixture *fixture, const char *key, bool is_admitted)
{
	for (int vm = 0; vm < VM_COUNT; vm++)
	{
		bool was_admitted = !is_admitted;

		for (int i = 0; i < 200 && was_admitted != is_admitted; i++)
		{
			int fd = open_session (fixture, vm, "db", key);

			was_admitted = fd >= 0;
			if (was_admitted)
				close (fd);
			if (was_admitted != is_admitted)
				g_usleep (10000);
		}
		g_assert_cmpint (was_admitted, ==, is_admitted);
	}
}

/** Checks which tenant the server ran the statement for. */
static void
check_tenant (struct fixture *fixture, const char *id, const char *tenant)
{
	const struct fake_statement *statement = fake_database_find (&fixture->database, id);

	g_assert_nonnull (statement);
	g_assert_cmpstr (statement->caller, ==, tenant);
}

/* Guards against callers that are served with a key that no tenant has, or that only resembles one. */
static void
test_unknown_key (void)
{
	static const char *const keys[] = { "",
		                                " ",
		                                " nobody",
		                                " " SECRET,
		                                " " SECRET " ta ",
		                                " " SECRET "  ta",
		                                "  " SECRET " ta",
		                                " ta",
		                                " " SECRET " TA" };
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int fd;

	fixture_start (&fixture);
	for (int vm = 0; vm < VM_COUNT; vm++)
	{
		for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
		{
			fd = open_session (&fixture, vm, "db", keys[i]);
			if (fd >= 0)
				g_test_fail_printf ("the key \"%s\" is admitted", keys[i]);
		}
		/* A public route needs none, also where all connections are in use by tenants. */
		for (int i = 0; i < TENANTS; i++)
		{
			char *key = g_strdup_printf (" " SECRET " %s", names[i]);

			fd = open_session (&fixture, vm, "db", key);
			g_assert_cmpint (fd, >=, 0);
			g_assert_true (execute (fd, "QUERY r READ 1", answer));
			g_assert_true (g_str_has_prefix (answer, "ROW row\r\nCOMPLETE mac"));
			close (fd);
			g_free (key);
		}
		fd = open_session (&fixture, vm, "open", " nobody");
		g_assert_cmpint (fd, >=, 0);
		g_assert_true (execute (fd, "QUERY p READ 1", answer));
		g_assert_true (g_str_has_prefix (answer, "ROW row\r\nCOMPLETE mac"));
		close (fd);
	}
	fixture_stop (&fixture, true);
}

/* Guards against a revoked key whose caller is still served, and against a revocation that breaks an open transaction. */
static void
check_revoked (int vm, bool keeps_tenant)
{
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int fd;

	fixture_start (&fixture);
	await_key (&fixture, " " SECRET " ta", true);
	fd = open_session (&fixture, vm, "db", " " SECRET " ta");
	g_assert_cmpint (fd, >=, 0);
	g_assert_true (execute (fd, "QUERY b BEGIN", answer));
	g_assert_true (execute (fd, "QUERY w0 WRITE 1 data", answer));
	g_assert_true (g_str_has_prefix (answer, "COMPLETE mac"));
	apply (&fixture, "ta", keeps_tenant);
	await_key (&fixture, " " SECRET " ta", false);
	g_assert_true (execute (fd, "QUERY w1 WRITE 2 data", answer));
	g_assert_true (g_str_has_prefix (answer, "COMPLETE mac"));
	g_assert_true (execute (fd, "QUERY c COMMIT", answer));
	g_assert_true (g_str_has_prefix (answer, "COMPLETE mac"));
	g_assert_cmpint (fake_database_count_commits (&fixture.database, "w1"), ==, 1);
	for (int i = 0; i < 2; i++)
	{
		g_assert_true (execute (fd, i == 0 ? "QUERY x0 WRITE 3 data" : "QUERY x1 BEGIN", answer));
		g_assert_true (g_str_has_prefix (answer, "ERROR NOAUTH "));
		g_assert_nonnull (strstr (answer, "READY I"));
	}
	g_assert_cmpint (fake_database_count_commits (&fixture.database, "x0"), ==, 0);
	/* The tenant comes back. */
	apply (&fixture, NULL, false);
	await_key (&fixture, " " SECRET " ta", true);
	g_assert_true (execute (fd, "QUERY y WRITE 4 data", answer));
	g_assert_true (g_str_has_prefix (answer, "COMPLETE mac"));
	check_tenant (&fixture, "w0", "ta");
	check_tenant (&fixture, "w1", "ta");
	check_tenant (&fixture, "y", "ta");
	close (fd);
	fixture_stop (&fixture, false);
}

static void
test_revoked_key (void)
{
	check_revoked (OWNER, true);
}

static void
test_revoked_key_forwarder (void)
{
	check_revoked (FORWARDER, true);
}

static void
test_removed_tenant (void)
{
	check_revoked (OWNER, false);
	check_revoked (FORWARDER, false);
}

/* Guards against a statement that runs on a connection of another tenant, directly or through the owner, while the tenants
 * share fewer connections than they are, and against one that waits for ever because all belong to others. */
static void
test_own_connections (void)
{
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int fds[VM_COUNT][TENANTS];

	fixture_start (&fixture);
	for (int vm = 0; vm < VM_COUNT; vm++)
		for (int i = 0; i < TENANTS; i++)
		{
			char *key = g_strdup_printf (" " SECRET " %s", names[i]);

			fds[vm][i] = open_session (&fixture, vm, "db", key);
			g_assert_cmpint (fds[vm][i], >=, 0);
			g_free (key);
		}
	for (int n = 0; n < MIX_STATEMENTS; n++)
	{
		int vm = g_random_int_range (0, VM_COUNT);
		int tenant = g_random_int_range (0, TENANTS);
		char *id = g_strdup_printf ("q%d", n);
		char *query = g_strdup_printf ("QUERY %s %s", id, n % 3 ? "READ 1" : "WRITE 1 data");

		g_assert_true (execute (fds[vm][tenant], query, answer));
		if (!strstr (answer, "COMPLETE mac"))
			g_test_fail_printf ("statement %d of %s at vm%d got %s", n, names[tenant], vm, answer);
		else
			check_tenant (&fixture, id, names[tenant]);
		g_free (query);
		g_free (id);
	}
	for (int vm = 0; vm < VM_COUNT; vm++)
		for (int i = 0; i < TENANTS; i++)
			close (fds[vm][i]);
	fixture_stop (&fixture, false);
}

/* Guards against a status or demotion that another VM forwards, for which the owner opens a connection and tells the server
 * the name of a VM: such statements name no tenant, and may use any connection. */
static void
test_forwarded_status (void)
{
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int fd;

	fixture_start (&fixture);
	await_key (&fixture, " " SECRET " tb", true);
	fd = connect_port (fixture.relay_ports[OWNER]);
	g_assert_true (execute (fd, "START s vm9 db0", answer));
	for (int i = 0; i < 3; i++)
	{
		g_assert_true (execute (fd, "QUERY - STATUS", answer));
		g_assert_true (g_str_has_prefix (answer, "ROW primary "));
	}
	close (fd);
	fixture_stop (&fixture, false);
}

/* Guards against an owner that runs a forwarded statement for a tenant that it does not know, whose name could be any
 * text of a VM with another configuration. */
static void
test_unknown_forwarded_tenant (void)
{
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int fd;

	fixture_start (&fixture);
	await_key (&fixture, " " SECRET " tb", true);
	fd = connect_port (fixture.relay_ports[OWNER]);
	g_assert_true (execute (fd, "START s vm9 db0", answer));
	g_assert_true (execute (fd, "QUERY n TENANT nobody RANK 0 500 0 900 READ 1", answer));
	g_assert_true (g_str_has_prefix (answer, "ERROR BUSY "));
	g_assert_true (execute (fd, "QUERY - BEGIN", answer));
	g_assert_true (execute (fd, "QUERY m TENANT nobody RANK 0 500 0 900 WRITE 1 x", answer));
	g_assert_true (g_str_has_prefix (answer, "ERROR BUSY "));
	g_assert_true (execute (fd, "QUERY k TENANT tb RANK 0 500 0 900 READ 1", answer));
	g_assert_nonnull (strstr (answer, "COMPLETE mac"));
	check_tenant (&fixture, "k", "tb");
	/* One that it knew before. */
	apply (&fixture, "tb", false);
	await_key (&fixture, " " SECRET " tb", false);
	g_assert_true (execute (fd, "QUERY l TENANT tb RANK 0 500 0 900 READ 1", answer));
	g_assert_true (g_str_has_prefix (answer, "ERROR BUSY "));
	close (fd);
	fixture_stop (&fixture, false);
}

/* Guards against a connection for the gateway's own statements, before any caller came, for which the server is told the
 * name of a VM as if that were a tenant. */
static void
test_first_connection (void)
{
	struct fixture fixture;
	guint count = 0;

	fixture_start (&fixture);
	for (int i = 0; i < WAIT_MS / 10 && count == 0; i++)
	{
		g_usleep (10000);
		g_mutex_lock (&fixture.database.mutex);
		count = fixture.database.greetings->len;
		g_mutex_unlock (&fixture.database.mutex);
	}
	fixture_stop (&fixture, false);
}

/* Guards against operations and refusals that are counted for no tenant or for another one, or by both VMs. */
static void
test_counts (void)
{
	static const char *const lines[] = { "QUERY b BEGIN",    "QUERY w WRITE 1 x", "QUERY c COMMIT",
		                                 "QUERY r READ 1",   "QUERY s SET v0 x",  "QUERY x BEGIN",
		                                 "QUERY y ROLLBACK", "QUERY z READ 1" };
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	uint64_t counts[VM_COUNT][2] = { 0 };
	int fd;

	fixture_start (&fixture);
	await_key (&fixture, " " SECRET " tb", true);
	fd = open_session (&fixture, FORWARDER, "db", " " SECRET " tb");
	for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
		g_assert_true (execute (fd, lines[i], answer));
	g_usleep (2500000);
	for (int vm = 0; vm < VM_COUNT; vm++)
	{
		GArray *states = gateway_traffic_take_tenants (fixture.vms[vm]);

		g_assert_nonnull (states);
		g_assert_cmpuint (states->len, ==, TENANTS);
		for (guint i = 0; i < states->len; i++)
		{
			const struct tenant_state *state = &g_array_index (states, struct tenant_state, i);
			bool is_served = strcmp (state->name, "tb") == 0;

			g_assert_cmpuint (state->operations, ==, vm == FORWARDER && is_served ? 4 : 0);
			g_assert_cmpuint (state->refused_busy + state->refused_other, ==, 0);
			g_assert_cmpuint (state->key_count, ==, 1);
			counts[vm][0] += state->connections;
			counts[vm][1] += state->connections_opened;
		}
		g_array_unref (states);
	}
	g_assert_cmpuint (counts[OWNER][0], >=, 1);
	g_mutex_lock (&fixture.database.mutex);
	g_assert_cmpuint (counts[OWNER][1], ==, fixture.database.greetings->len);
	g_mutex_unlock (&fixture.database.mutex);
	g_assert_cmpuint (counts[FORWARDER][0] + counts[FORWARDER][1], ==, 0);
	close (fd);
	fixture_stop (&fixture, false);
}

/* Guards against a VM that learns of the servers before it has the configuration, e.g. after a restart, and opens
 * connections on which it gives its own name, since it does not know that there are tenants. */
static void
test_no_configuration (void)
{
	struct fixture fixture;
	char answer[ANSWER_BYTES];
	int fd;

	fixture_init (&fixture);
	fixture.lacks_configuration = true;
	apply (&fixture, NULL, false);
	fd = connect_port (fixture.relay_ports[OWNER]);
	g_assert_true (execute (fd, "START s vm9 db0", answer));
	g_assert_true (execute (fd, "QUERY n TENANT tb RANK 0 500 0 900 READ 1", answer));
	g_assert_true (g_str_has_prefix (answer, "ERROR BUSY "));
	g_assert_cmpint (send (fd, "QUERY - STATUS\r\n", 16, MSG_NOSIGNAL), ==, 16);
	g_usleep (600000);
	g_mutex_lock (&fixture.database.mutex);
	g_assert_cmpuint (fixture.database.greetings->len, ==, 0);
	g_mutex_unlock (&fixture.database.mutex);
	fixture.lacks_configuration = false;
	apply (&fixture, NULL, false);
	g_assert_true (execute (fd, NULL, answer));
	g_assert_true (g_str_has_prefix (answer, "ROW primary "));
	close (fd);
	fixture_stop (&fixture, false);
}

/* Guards against a key in a log line, of any of the tests before. */
static void
test_log (void)
{
	const char *path = g_getenv ("GATEWAY_TENANTS_LOG");
	char *text = NULL;

	g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
	g_assert_nonnull (strstr (text, "event=caller_unauthorized database=db caller=127.0.0.1:"));
	g_assert_nonnull (strstr (text, " tenant="));
	g_assert_null (strstr (text, SECRET));
	g_free (text);
}

int
main (int argc, char **argv)
{
	char *path = g_build_filename (g_get_tmp_dir (), "gateway-tenants-XXXXXX", NULL);
	int file = g_mkstemp (path);
	int saved = dup (STDERR_FILENO);
	int result;

	g_test_init (&argc, &argv, NULL);
	g_setenv ("GATEWAY_TENANTS_LOG", path, TRUE);
	dup2 (file, STDERR_FILENO);
	log_init (LOG_LEVEL_DEBUG, "test");
	g_test_add_func ("/gateway_tenants/unknown_key", test_unknown_key);
	g_test_add_func ("/gateway_tenants/revoked_key", test_revoked_key);
	g_test_add_func ("/gateway_tenants/revoked_key_forwarder", test_revoked_key_forwarder);
	g_test_add_func ("/gateway_tenants/removed_tenant", test_removed_tenant);
	g_test_add_func ("/gateway_tenants/own_connections", test_own_connections);
	g_test_add_func ("/gateway_tenants/forwarded_status", test_forwarded_status);
	g_test_add_func ("/gateway_tenants/unknown_forwarded", test_unknown_forwarded_tenant);
	g_test_add_func ("/gateway_tenants/first_connection", test_first_connection);
	g_test_add_func ("/gateway_tenants/no_configuration", test_no_configuration);
	g_test_add_func ("/gateway_tenants/counts", test_counts);
	g_test_add_func ("/gateway_tenants/log", test_log);
	result = g_test_run ();
	dup2 (saved, STDERR_FILENO);
	g_unlink (path);
	g_free (path);
	return result;
}
