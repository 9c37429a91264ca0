#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "ctl/document.h"

#include <stdio.h>

int
cmd_get (int argc, char **argv)
{
	struct client_options options;
	struct fs_get_result result = { 0 };
	char **arguments;
	int code = client_options_parse (&options, argc, argv,
	                                 "[SERVICE] - print a service document, or list the services",
	                                 NULL, &arguments);

	if (code == EXIT_CODE_OK)
		code = client_check_arguments (arguments, 1);
	if (code != EXIT_CODE_OK)
		goto out;
	code = document_fetch (&options, arguments[1] ? arguments[1] : "", &result);
	if (code != EXIT_CODE_OK)
		goto out;
	if (options.json)
	{
		printf ("{\"revision\":%llu,\"author\":", (unsigned long long) result.revision);
		client_print_json_text (result.author);
		printf (",\"text\":");
		client_print_json_text (result.text);
		printf ("}\n");
	}
	else
		fputs (result.text, stdout);

out:
	xdr_free ((xdrproc_t) xdr_fs_get_result, &result);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}
