#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "ctl/document.h"
#include "protocols/operator.h"
#include "schema/schema.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum
{
	APPLY_WAIT_MS = 30000,
	APPLY_POLL_US = 100000,
};

struct apply_options
{
	char *operation_id;
	char *author;
	gint64 expected;
	gboolean wait;
};

/** Fetches the service's revision from the VM; 0 when the service does not exist. @return 0 or -EIO. */
static int
find_revision (struct client *client, const char *service, uint64_t *revision)
{
	struct fs_name_args args = { .name = (char *) service };
	struct fs_get_result result = { 0 };

	if (client_call (client, FS_OPERATOR_GET, (xdrproc_t) xdr_fs_name_args, &args,
	                 (xdrproc_t) xdr_fs_get_result, &result) < 0)
		return -EIO;
	*revision = result.code == 0 ? result.revision : 0;
	xdr_free ((xdrproc_t) xdr_fs_get_result, &result);
	return 0;
}

/** Lists the live members that have not adopted @p revision. @return their count, or -EIO. */
static int
count_outdated_members (struct client *client, uint64_t revision, GString *outdated)
{
	struct fs_status_result status = { 0 };
	int count = 0;

	if (client_call (client, FS_OPERATOR_STATUS, (xdrproc_t) xdr_void, NULL,
	                 (xdrproc_t) xdr_fs_status_result, &status) < 0)
		return -EIO;
	g_string_truncate (outdated, 0);
	for (u_int i = 0; i < status.members.members_len; i++)
	{
		const struct fs_member_row *member = &status.members.members_val[i];

		/* 3 is MEMBER_DEAD: such a VM adopts the revision when it comes back. */
		if (member->state == 3 || member->config_revision >= revision)
			continue;
		g_string_append_printf (outdated, " %u", member->id);
		count++;
	}
	xdr_free ((xdrproc_t) xdr_fs_status_result, &status);
	return count;
}

static int
wait_for_members (struct client *client, uint64_t revision)
{
	gint64 deadline_us = g_get_monotonic_time () + APPLY_WAIT_MS * G_TIME_SPAN_MILLISECOND;
	GString *outdated = g_string_new (NULL);
	int count;

	while ((count = count_outdated_members (client, revision, outdated)) != 0)
	{
		if (count < 0 || g_get_monotonic_time () >= deadline_us)
			break;
		g_usleep (APPLY_POLL_US);
	}
	if (count > 0)
		fprintf (stderr, "flamingospring apply: VMs that have not adopted the revision:%s\n",
		         outdated->str);
	g_string_free (outdated, TRUE);
	return count == 0 ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}

static int
print_result (const struct fs_apply_result *result, const struct client_options *options,
              const char *service)
{
	if (options->json)
	{
		printf ("{\"service\":");
		client_print_json_text (service);
		printf (",\"code\":%d,\"revision\":%llu,\"message\":", result->code,
		        (unsigned long long) result->revision);
		client_print_json_text (result->message);
		printf ("}\n");
	}
	else if (result->code == 0)
		printf ("%s: revision %llu\n", service, (unsigned long long) result->revision);
	else
		fprintf (stderr, "flamingospring apply: %s\n", result->message);
	if (result->code == 0)
		return EXIT_CODE_OK;
	if (result->code == -ESTALE)
		return EXIT_CODE_CONFLICT;
	return result->code == -EINVAL ? EXIT_CODE_USAGE : EXIT_CODE_FAILED;
}

/** Prints how to retry. Without the expected revision, a retry would use the current one and could undo a
 * change made since. */
static void
print_retry_command (const struct fs_apply_args *args)
{
	fprintf (stderr,
	         "flamingospring apply: the outcome is unknown; repeat with --operation-id %s "
	         "--expected-revision %llu\n",
	         args->operation_id, (unsigned long long) args->expected_revision);
}

static int
apply_service (struct client *client, const struct client_options *options,
               const struct apply_options *apply, const char *service, const char *text)
{
	struct fs_apply_args args = {
		.service = (char *) service,
		.expected_revision = (uint64_t) apply->expected,
		.operation_id = apply->operation_id,
		.author = apply->author,
		.text = (char *) text,
	};
	struct fs_apply_result result = { 0 };
	uint64_t revision;
	int code;

	if (apply->expected < 0)
	{
		if (find_revision (client, service, &revision) < 0)
			return EXIT_CODE_FAILED;
		args.expected_revision = revision;
	}
	if (client_call (client, FS_OPERATOR_APPLY, (xdrproc_t) xdr_fs_apply_args, &args,
	                 (xdrproc_t) xdr_fs_apply_result, &result) < 0)
	{
		print_retry_command (&args);
		return EXIT_CODE_FAILED;
	}
	code = print_result (&result, options, service);
	if (result.code == -ETIMEDOUT)
		print_retry_command (&args);
	if (code == EXIT_CODE_OK && apply->wait)
		code = wait_for_members (client, result.revision);
	xdr_free ((xdrproc_t) xdr_fs_apply_result, &result);
	return code;
}

static int
apply_file (const struct client_options *options, const struct apply_options *apply,
            const char *path)
{
	struct schema_service service;
	struct client client = { 0 };
	char *text;
	int code = EXIT_CODE_UNREACHABLE;

	if (document_read (path, &service, &text) < 0)
		return EXIT_CODE_USAGE;
	if (client_init (&client, options, FS_OPERATOR_PROGRAM) == 0)
		code = apply_service (&client, options, apply, service.name, text);
	client_finish (&client);
	schema_service_finish (&service);
	g_free (text);
	return code;
}

int
cmd_apply (int argc, char **argv)
{
	struct apply_options apply = { .expected = -1 };
	const GOptionEntry entries[] = {
		{ "operation-id", 0, 0, G_OPTION_ARG_STRING, &apply.operation_id,
		  "retry an operation whose outcome is unknown", "ID" },
		{ "author", 0, 0, G_OPTION_ARG_STRING, &apply.author, "author of the change", "NAME" },
		{ "expected-revision", 0, 0, G_OPTION_ARG_INT64, &apply.expected,
		  "apply only to this revision; 0: the service is new", "N" },
		{ "wait", 'w', 0, G_OPTION_ARG_NONE, &apply.wait,
		  "wait until all VMs have adopted the document", NULL },
		{ 0 },
	};
	struct client_options options;
	char **arguments;
	int code = client_options_parse (&options, argc, argv, "FILE - apply a service document",
	                                 entries, &arguments);

	if (!apply.operation_id)
		apply.operation_id = g_uuid_string_random ();
	if (!apply.author)
		apply.author = g_strdup (g_get_user_name ());
	if (code == EXIT_CODE_OK && g_strv_length (arguments) != 2)
	{
		fprintf (stderr, "flamingospring apply: one FILE is needed\n");
		code = EXIT_CODE_USAGE;
	}
	if (code == EXIT_CODE_OK)
		code = apply_file (&options, &apply, arguments[1]);
	g_free (apply.operation_id);
	g_free (apply.author);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}
