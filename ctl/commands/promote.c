#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "protocols/operator.h"

#include <stdio.h>

static int
promote_call (const struct client_options *options, const char *database, uint32_t server)
{
	struct fs_promote_args args = { .database = (char *) database, .server = server };
	struct fs_operator_result result = { 0 };
	struct client client;
	int code = EXIT_CODE_FAILED;

	if (client_init (&client, options, FS_OPERATOR_PROGRAM) < 0)
		return EXIT_CODE_UNREACHABLE;
	if (client_call (&client, FS_OPERATOR_PROMOTE, (xdrproc_t) xdr_fs_promote_args, &args,
	                 (xdrproc_t) xdr_fs_operator_result, &result) == 0)
	{
		code = result.code == 0 ? EXIT_CODE_OK : EXIT_CODE_FAILED;
		fprintf (result.code == 0 ? stdout : stderr, "%s/%u: %s\n", database, server,
		         result.message);
	}
	xdr_free ((xdrproc_t) xdr_fs_operator_result, &result);
	client_finish (&client);
	return code;
}

int
cmd_promote (int argc, char **argv)
{
	struct client_options options;
	char **arguments;
	guint64 server = 0;
	int code = client_options_parse (
		&options, argc, argv, "DATABASE INDEX - change the primary of a group", NULL, &arguments);

	if (code == EXIT_CODE_OK &&
	    (g_strv_length (arguments) != 3 ||
	     !g_ascii_string_to_unsigned (arguments[2], 10, 0, G_MAXUINT32, &server, NULL)))
	{
		fprintf (stderr, "flamingospring promote: DATABASE and INDEX are needed\n");
		code = EXIT_CODE_USAGE;
	}
	if (code == EXIT_CODE_OK)
		code = promote_call (&options, arguments[1], (uint32_t) server);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}
