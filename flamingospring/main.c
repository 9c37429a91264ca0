#include "ctl/commands.h"
#include "flamingospring/proxy.h"
#include "gateway/gateway.h"

#include <stdio.h>
#include <string.h>

int
main (int argc, char **argv)
{
	if (argc < 2)
	{
		commands_print_help ();
		return EXIT_CODE_USAGE;
	}
	if (commands_print_version (argc, argv))
		return EXIT_CODE_OK;
	if (strcmp (argv[1], "--help") == 0)
		argv[1] = "help";
	if (strcmp (argv[1], "gateway") != 0 && strcmp (argv[1], "proxy") != 0)
		return commands_run (argc - 1, argv + 1);
	if (commands_print_version (argc - 1, argv + 1))
		return EXIT_CODE_OK;
	if (strcmp (argv[1], "gateway") == 0)
		return gateway_run (argc - 1, argv + 1);
	return proxy_run (argc - 1, argv + 1);
}
