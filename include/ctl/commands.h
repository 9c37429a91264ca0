/**
 * @file
 * The commands of the binary, one file each under ctl/commands/.
 */
#pragma once

#include <stdbool.h>

/** Exit codes of the commands. */
enum exit_code
{
	EXIT_CODE_OK = 0,
	EXIT_CODE_FAILED = 1,      /**< The VM refused the request, or it failed. */
	EXIT_CODE_USAGE = 2,       /**< The command line or a file has errors. */
	EXIT_CODE_UNREACHABLE = 3, /**< No VM answered. */
	EXIT_CODE_CONFLICT = 4,    /**< The document was changed concurrently. */
};

/** Runs the command named by argv[0]. @return an exit code. */
int commands_run (int argc, char **argv);

/** Handles COMMAND --version. @return whether the arguments ask for it. */
bool commands_print_version (int argc, char **argv);

/** Prints the list of commands. */
void commands_print_help (void);
