#include "schema/schema.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "ctl/document.h"
#include "schema/generate.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static int
schema_run (const char *action, const char *path)
{
	struct schema_service service;
	char *text;

	if (document_read (path, &service, &text) < 0)
		return EXIT_CODE_USAGE;
	if (strcmp (action, "generate") == 0)
		schema_generate (&service, stdout);
	else
		printf ("%s: ok: service %s, %zu databases, %zu calls\n", path, service.name,
		        service.database_count, service.call_count);
	schema_service_finish (&service);
	g_free (text);
	return EXIT_CODE_OK;
}

int
cmd_schema (int argc, char **argv)
{
	GOptionContext *context =
		g_option_context_new ("check|generate FILE - check a service document, or print "
	                          "its typed calls as an ONC RPC .x file");
	char **arguments = g_strdupv (argv);
	GError *error = NULL;
	int code = EXIT_CODE_USAGE;

	(void) argc;
	if (!g_option_context_parse_strv (context, &arguments, &error))
	{
		fprintf (stderr, "flamingospring schema: %s\n", error->message);
		g_error_free (error);
	}
	else if (g_strv_length (arguments) != 3 ||
	         (strcmp (arguments[1], "check") != 0 && strcmp (arguments[1], "generate") != 0))
		fprintf (stderr, "flamingospring schema: check FILE or generate FILE is needed\n");
	else
		code = schema_run (arguments[1], arguments[2]);
	g_strfreev (arguments);
	g_option_context_free (context);
	return code;
}
