#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "protocols/operator.h"

#include <stdio.h>

static void
print_rows (const struct fs_counters_result *result, bool json)
{
	if (json)
		printf ("{");
	for (u_int i = 0; i < result->rows.rows_len; i++)
	{
		const struct fs_counter_row *row = &result->rows.rows_val[i];

		if (json)
			printf ("%s\"%s\":%llu", i ? "," : "", row->name, (unsigned long long) row->value);
		else
			printf ("%-26s %llu\n", row->name, (unsigned long long) row->value);
	}
	if (json)
		printf ("}\n");
}

static int
counters_call (const struct client_options *options)
{
	struct fs_counters_result result = { 0 };
	struct client client;
	int code = EXIT_CODE_FAILED;

	if (client_init (&client, options, FS_OPERATOR_PROGRAM) < 0)
		return EXIT_CODE_UNREACHABLE;
	if (client_call (&client, FS_OPERATOR_COUNTERS, (xdrproc_t) xdr_void, NULL,
	                 (xdrproc_t) xdr_fs_counters_result, &result) == 0)
	{
		print_rows (&result, options->json);
		code = EXIT_CODE_OK;
	}
	xdr_free ((xdrproc_t) xdr_fs_counters_result, &result);
	client_finish (&client);
	return code;
}

int
cmd_counters (int argc, char **argv)
{
	struct client_options options;
	char **arguments;
	int code = client_options_parse (&options, argc, argv, "- print the counters of a VM", NULL,
	                                 &arguments);

	if (code == EXIT_CODE_OK)
		code = client_check_arguments (arguments, 0);
	if (code == EXIT_CODE_OK)
		code = counters_call (&options);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}
