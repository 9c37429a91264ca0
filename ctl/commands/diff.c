#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "ctl/document.h"
#include "schema/schema.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/** Table of the lengths of the longest common subsequences of all pairs of line suffixes, by rows. */
static unsigned *
lcs_lengths (char **left, size_t left_count, char **right, size_t right_count)
{
	size_t width = right_count + 1;
	unsigned *lengths = g_new0 (unsigned, (left_count + 1) * width);

	for (size_t i = left_count; i-- > 0;)
	{
		for (size_t j = right_count; j-- > 0;)
		{
			if (strcmp (left[i], right[j]) == 0)
				lengths[i * width + j] = lengths[(i + 1) * width + j + 1] + 1;
			else
				lengths[i * width + j] =
					MAX (lengths[(i + 1) * width + j], lengths[i * width + j + 1]);
		}
	}
	return lengths;
}

/** Prints the lines that differ. @return whether any does. */
static bool
print_difference (const char *in_force, const char *file)
{
	char **left = g_strsplit (in_force, "\n", -1);
	char **right = g_strsplit (file, "\n", -1);
	size_t left_count = g_strv_length (left);
	size_t right_count = g_strv_length (right);
	unsigned *lengths = lcs_lengths (left, left_count, right, right_count);
	size_t width = right_count + 1;
	bool differs = false;
	size_t i = 0;
	size_t j = 0;

	while (i < left_count || j < right_count)
	{
		if (i < left_count && j < right_count && strcmp (left[i], right[j]) == 0)
		{
			i++;
			j++;
			continue;
		}
		differs = true;
		if (j == right_count ||
		    (i < left_count && lengths[(i + 1) * width + j] >= lengths[i * width + j + 1]))
			printf ("-%s\n", left[i++]);
		else
			printf ("+%s\n", right[j++]);
	}
	g_free (lengths);
	g_strfreev (left);
	g_strfreev (right);
	return differs;
}

static int
diff_file (const struct client_options *options, const char *path)
{
	struct fs_get_result result = { 0 };
	struct schema_service service;
	char *text;
	int code;

	if (document_read (path, &service, &text) < 0)
		return EXIT_CODE_USAGE;
	code = document_fetch (options, service.name, &result);
	schema_service_finish (&service);
	if (code == EXIT_CODE_OK && print_difference (result.text, text))
		code = EXIT_CODE_FAILED;
	xdr_free ((xdrproc_t) xdr_fs_get_result, &result);
	g_free (text);
	return code;
}

int
cmd_diff (int argc, char **argv)
{
	struct client_options options;
	char **arguments;
	int code = client_options_parse (
		&options, argc, argv,
		"FILE - compare a file with the active document; exit code 1: they differ", NULL,
		&arguments);

	if (code == EXIT_CODE_OK && g_strv_length (arguments) != 2)
	{
		fprintf (stderr, "flamingospring diff: one FILE is needed\n");
		code = EXIT_CODE_USAGE;
	}
	if (code == EXIT_CODE_OK)
		code = diff_file (&options, arguments[1]);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}
