#include "ctl/commands.h"

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
	{ "help", cmd_help, "list the commands" },
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
	puts ("\nflamingospring COMMAND --help describes a command.");
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
	return command->run (argc, argv);
}
