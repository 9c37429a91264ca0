#include "ctl/commands.h"

#include "ctl/cmd.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct command
{
	const char *name;
	int (*run) (int argc, char **argv);
	const char *help;
};

static int cmd_help (int argc, char **argv);

/* Sorted by name for bsearch(). */
static const struct command commands[] = {
	{ "apply", cmd_apply, "apply a service document" },
	{ "counters", cmd_counters, "print the counters of a VM" },
	{ "diff", cmd_diff, "compare a file with the active document" },
	{ "drain", cmd_drain, "drain a server, or shut down a VM gracefully" },
	{ "explain", cmd_explain, "print the log lines of several VMs about a request" },
	{ "get", cmd_get, "print a service document, or list the services" },
	{ "help", cmd_help, "list the commands" },
	{ "promote", cmd_promote, "change the primary of a database group" },
	{ "schema", cmd_schema, "check a service document, or generate its typed calls" },
	{ "status", cmd_status, "print members, servers, owners and primaries as seen by a VM" },
	{ "tenants", cmd_tenants, "print the tenants of a gateway, their caps and counters" },
	{ "trace", cmd_trace, "print the latest sampled spans of a VM" },
	{ "undrain", cmd_undrain, "cancel a drain" },
};

static int
cmd_help (int argc, char **argv)
{
	(void) argc;
	(void) argv;
	commands_print_help ();
	return EXIT_CODE_OK;
}

void
commands_print_help (void)
{
	puts ("Usage: flamingospring COMMAND [OPTION...]\n\nCommands:");
	for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
		printf ("  %-10s %s\n", commands[i].name, commands[i].help);
	printf ("  %-10s %s\n", "gateway", "run the gateway for database sessions on this VM");
	printf ("  %-10s %s\n", "proxy", "run the proxy on this VM");
	puts ("\nflamingospring COMMAND --help describes a command.");
}

bool
commands_print_version (int argc, char **argv)
{
	if (argc != 2 || strcmp (argv[1], "--version") != 0)
		return false;
	puts ("flamingospring " FLAMINGOSPRING_VERSION);
	return true;
}

static int
command_compare (const void *key, const void *entry)
{
	return strcmp (key, ((const struct command *) entry)->name);
}

int
commands_run (int argc, char **argv)
{
	const struct command *command =
		bsearch (argv[0], commands, sizeof commands / sizeof commands[0], sizeof commands[0],
	             command_compare);

	if (!command)
	{
		fprintf (stderr, "flamingospring: unknown command \"%s\"; see flamingospring help\n",
		         argv[0]);
		return EXIT_CODE_USAGE;
	}
	if (commands_print_version (argc, argv))
		return EXIT_CODE_OK;
	/* A call returns an error when the VM closes the connection; SIGPIPE would end the process. */
	signal (SIGPIPE, SIG_IGN);
	return command->run (argc, argv);
}
