#include "database_group.h"

#include "free_port.h"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static const char document_format[] =
	"service: letters\n"
	"session_keys:\n"
	"  - {id: 1, secret: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f}\n"
	"databases:\n"
	"  - name: ledger\n    slots: %u\n    connections: 16\n"
	"    servers: [{address: \"127.0.0.1:%u\", zone: a}, {address: \"127.0.0.1:%u\", zone: b},"
	" {address: \"127.0.0.1:%u\", zone: c}]\n"
	"calls:\n"
	"  - {name: find, database: ledger, kind: read, params: 1,"
	" statement: \"SELECT value FROM ledger WHERE key = $1\"}\n"
	"  - {name: recent, database: ledger, kind: read, consistency: bounded, max_age_ms: 300,"
	" params: 1, statement: \"SELECT value FROM ledger WHERE key = $1\"}\n"
	"  - {name: add, database: ledger, kind: write, params: 2,"
	" statement: \"UPDATE ledger SET value = value + $2 WHERE key = $1 RETURNING value\"}\n";

enum
{
	START_TRIES = 500, /* Connection attempts, 10 ms apart. */
};

static struct sockaddr_in
loopback (uint16_t port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
		                         .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
		                         .sin_port = htons (port) };
}

static void
wait_for_port (uint16_t port)
{
	struct sockaddr_in address = loopback (port);

	for (unsigned i = 0; i < START_TRIES; i++)
	{
		int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int result = connect (fd, (struct sockaddr *) &address, sizeof address);

		close (fd);
		if (result == 0)
			return;
		g_usleep (10000);
	}
	g_error ("no server listens on port %u", port);
}

/* Ends the server with the test's process, so that a failed test leaves no server running. */
static void
handle_child_setup (gpointer data)
{
	prctl (PR_SET_PDEATHSIG, SIGKILL);
}

void
database_group_start (struct database_group *group, const char *lag_ms, const char *connections)
{
	GString *peers = g_string_new ("");
	GError *error = NULL;

	group->directory = g_dir_make_tmp ("group-XXXXXX", NULL);
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
	{
		group->ports[i] = free_port ();
		g_string_append_printf (peers, "%s127.0.0.1:%u", i ? "," : "", free_port ());
	}
	group->peers = g_string_free (peers, FALSE);
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
	{
		char *address = g_strdup_printf ("127.0.0.1:%u", group->ports[i]);
		char *index_text = g_strdup_printf ("%u", i);
		char *state = g_strdup_printf ("%s/%u", group->directory, i);
		const char *argv[] = { EMULATOR,        "database",  "--address", address,    "--peers",
			                   group->peers,    "--index",   index_text,  "--lag-ms", lag_ms,
			                   "--connections", connections, "--state",   state,      NULL };

		g_spawn_async (NULL, (char **) argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, handle_child_setup,
		               NULL, &group->pids[i], &error);
		g_assert_no_error (error);
		g_free (address);
		g_free (index_text);
		g_free (state);
	}
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
		wait_for_port (group->ports[i]);
}

void
database_group_kill (struct database_group *group, unsigned index)
{
	if (!group->pids[index])
		return;
	kill (group->pids[index], SIGKILL);
	waitpid (group->pids[index], NULL, 0);
	group->pids[index] = 0;
}

void
database_group_stop (struct database_group *group)
{
	for (unsigned i = 0; i < GROUP_SERVERS; i++)
	{
		char *state = g_strdup_printf ("%s/%u", group->directory, i);

		database_group_kill (group, i);
		unlink (state);
		g_free (state);
	}
	rmdir (group->directory);
	g_free (group->directory);
	g_free (group->peers);
}

struct snapshot *
database_group_snapshot (const struct database_group *group, unsigned slots)
{
	struct snapshot *snapshot = snapshot_new (1, 0, 1);
	struct snapshot_service *service = calloc (1, sizeof *service);
	char *text =
		g_strdup_printf (document_format, slots, group->ports[0], group->ports[1], group->ports[2]);
	struct findings findings;

	findings_init (&findings);
	g_assert_cmpint (
		schema_service_init (&service->schema, "test.yaml", text, strlen (text), &findings), ==, 0);
	findings_finish (&findings);
	service->references = 1;
	snapshot->services[0] = service;
	snapshot->groups[0].service = &service->schema;
	snapshot->groups[0].database = &service->schema.databases[0];
	snapshot->groups[0].has_primary = true;
	snapshot->groups[0].term = 1;
	g_free (text);
	return snapshot;
}
