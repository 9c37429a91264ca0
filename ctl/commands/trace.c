#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "protocols/operator.h"

#include <stdio.h>

static int
trace_call (const struct client_options *options)
{
	struct client client;
	char *text = NULL;
	int code = EXIT_CODE_FAILED;

	if (client_init (&client, options, FS_OPERATOR_PROGRAM) < 0)
		return EXIT_CODE_UNREACHABLE;
	if (client_call (&client, FS_OPERATOR_TRACE, (xdrproc_t) xdr_void, NULL,
	                 (xdrproc_t) xdr_fs_operator_text, &text) == 0)
	{
		fputs (text, stdout);
		code = EXIT_CODE_OK;
	}
	xdr_free ((xdrproc_t) xdr_fs_operator_text, &text);
	client_finish (&client);
	return code;
}

int
cmd_trace (int argc, char **argv)
{
	struct client_options options;
	char **arguments;
	int code = client_options_parse (&options, argc, argv,
	                                 "- print the latest sampled spans of a VM as OTLP/JSON", NULL,
	                                 &arguments);

	if (code == EXIT_CODE_OK)
		code = client_check_arguments (arguments, 0);
	if (code == EXIT_CODE_OK)
		code = trace_call (&options);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}
