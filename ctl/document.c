#include "ctl/document.h"

#include "common/findings.h"
#include "ctl/commands.h"
#include "ctl/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

int
document_read (const char *path, struct schema_service *service, char **text)
{
	struct findings findings;
	int result = -EINVAL;

	findings_init (&findings);
	if (file_read (path, text) < 0)
		goto out;
	result = schema_service_init (service, path, *text, strlen (*text), &findings);
	if (result < 0)
	{
		findings_print (&findings, stderr);
		g_free (*text);
		*text = NULL;
	}

out:
	findings_finish (&findings);
	return result;
}

int
document_fetch (const struct client_options *options, const char *service,
                struct fs_get_result *result)
{
	struct fs_name_args args = { .name = (char *) service };
	struct client client;
	int code = EXIT_CODE_OK;

	if (client_init (&client, options, FS_OPERATOR_PROGRAM) < 0)
		return EXIT_CODE_UNREACHABLE;
	if (client_call (&client, FS_OPERATOR_GET, (xdrproc_t) xdr_fs_name_args, &args,
	                 (xdrproc_t) xdr_fs_get_result, result) < 0)
		code = EXIT_CODE_FAILED;
	else if (result->code < 0)
	{
		fprintf (stderr, "flamingospring: %s: %s\n", service, result->message);
		code = EXIT_CODE_FAILED;
	}
	client_finish (&client);
	return code;
}
