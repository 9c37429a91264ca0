#include "database_group.h"

#include "free_port.h"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
	START_TRIES = 500, /* Of 10 ms. */
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

/* A test that fails leaves no server behind. */
static void
end_with_parent (gpointer data)
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
		char *place = g_strdup_printf ("%u", i);
		char *state = g_strdup_printf ("%s/%u", group->directory, i);
		const char *argv[] = { EMULATOR,        "database",  "--address", address,    "--peers",
			                   group->peers,    "--index",   place,       "--lag-ms", lag_ms,
			                   "--connections", connections, "--state",   state,      NULL };

		g_spawn_async (NULL, (char **) argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, end_with_parent, NULL,
		               &group->pids[i], &error);
		g_assert_no_error (error);
		g_free (address);
		g_free (place);
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
