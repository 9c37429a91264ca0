#include "emulator/commands.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct command
{
	const char *name;
	int (*run) (int argc, char **argv);
	const char *help;
};

static const struct command commands[] = {
	{ "database", cmd_database, "one server of a database group" },
	{ "load", cmd_load, "run sessions against a fleet and check its guarantees" },
	{ "platform", cmd_platform, "the platform's key-value service" },
	{ "relay", cmd_relay, "relay network links with cuts, delays and losses" },
};

static void
print_help (FILE *stream)
{
	fputs ("Usage: flamingospring-emulator COMMAND [OPTION...]\n\nCommands:\n", stream);
	for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
		fprintf (stream, "  %-10s %s\n", commands[i].name, commands[i].help);
	fputs ("\nflamingospring-emulator COMMAND --help describes a command.\n", stream);
}

int
main (int argc, char **argv)
{
	char *name;

	if (argc < 2)
	{
		print_help (stderr);
		return EXIT_FAILURE;
	}
	if (strcmp (argv[1], "help") == 0 || strcmp (argv[1], "--help") == 0)
	{
		print_help (stdout);
		return EXIT_SUCCESS;
	}
	if (strcmp (argv[1], "--version") == 0)
	{
		puts ("flamingospring-emulator " FLAMINGOSPRING_VERSION);
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
	{
		if (strcmp (argv[1], commands[i].name) != 0)
			continue;
		name = g_strconcat ("flamingospring-emulator ", commands[i].name, NULL);
		g_set_prgname (name);
		g_free (name);
		return commands[i].run (argc - 1, argv + 1);
	}
	fprintf (stderr, "flamingospring-emulator: unknown command \"%s\"\n", argv[1]);
	return EXIT_FAILURE;
}
