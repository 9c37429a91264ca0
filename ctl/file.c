#include "ctl/file.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

enum
{
	FILE_MAX_BYTES = 1048576, /* Size limit of a value in the platform's store. */
};

int
file_read (const char *path, char **text)
{
	GError *error = NULL;
	gsize length;

	if (!g_file_get_contents (strcmp (path, "-") == 0 ? "/dev/stdin" : path, text, &length, &error))
	{
		fprintf (stderr, "flamingospring: %s\n", error->message);
		g_error_free (error);
		return -EIO;
	}
	if (length < FILE_MAX_BYTES && strlen (*text) == length)
		return 0;
	fprintf (stderr, "flamingospring: %s is not a text file below %d bytes\n", path,
	         FILE_MAX_BYTES);
	g_free (*text);
	*text = NULL;
	return -EIO;
}
