#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "protocols/operator.h"

#include <stdio.h>

static int
drain_call (const struct client_options *options, const char *target, bool leaving)
{
	struct fs_drain_args args = { .target = (char *) target, .leaving = leaving };
	struct fs_operator_result result = { 0 };
	struct client client;
	int code = EXIT_CODE_FAILED;

	if (client_init (&client, options, FS_OPERATOR_PROGRAM) < 0)
		return EXIT_CODE_UNREACHABLE;
	if (client_call (&client, FS_OPERATOR_DRAIN, (xdrproc_t) xdr_fs_drain_args, &args,
	                 (xdrproc_t) xdr_fs_operator_result, &result) == 0)
	{
		code = result.code == 0 ? EXIT_CODE_OK : EXIT_CODE_FAILED;
		fprintf (result.code == 0 ? stdout : stderr, "%s: %s\n",
		         target[0] ? target : client.address, result.message);
	}
	xdr_free ((xdrproc_t) xdr_fs_operator_result, &result);
	client_finish (&client);
	return code;
}

static int
drain_run (int argc, char **argv, const char *usage, bool leaving)
{
	struct client_options options;
	char **arguments;
	int code = client_options_parse (&options, argc, argv, usage, NULL, &arguments);

	if (code == EXIT_CODE_OK)
		code = client_check_arguments (arguments, 1);
	if (code == EXIT_CODE_OK)
		code = drain_call (&options, arguments[1] ? arguments[1] : "", leaving);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}

int
cmd_drain (int argc, char **argv)
{
	return drain_run (argc, argv,
	                  "[DATABASE/INDEX] - drain a server, or shut down the VM gracefully", true);
}

int
cmd_undrain (int argc, char **argv)
{
	return drain_run (argc, argv, "[DATABASE/INDEX] - cancel a drain", false);
}
