#include "common/http_head.h"

#include <glib.h>
#include <string.h>

/** What the fields of a head say about its body. */
struct head
{
	unsigned lengths;
	unsigned encodings;
	bool is_valid;
};

static bool
name_is (const char *name, size_t size, const char *expected)
{
	return size == strlen (expected) && g_ascii_strncasecmp (name, expected, size) == 0;
}

static bool
is_clean (const char *value, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (g_ascii_iscntrl (value[i]) && value[i] != '\t')
			return false;
	return true;
}

static enum MHD_Result
check_field (void *data, enum MHD_ValueKind kind, const char *name, size_t name_size,
             const char *value, size_t value_size)
{
	struct head *head = data;

	(void) kind;
	for (size_t i = 0; i < name_size; i++)
		head->is_valid &= g_ascii_isgraph (name[i]) && name[i] != ':';
	head->is_valid &= name_size > 0 && is_clean (value, value_size);
	if (name_is (name, name_size, MHD_HTTP_HEADER_CONTENT_LENGTH))
		head->lengths++;
	else if (name_is (name, name_size, MHD_HTTP_HEADER_TRANSFER_ENCODING))
	{
		head->encodings++;
		head->is_valid &= name_is (value, value_size, "chunked");
	}
	return MHD_YES;
}

bool
http_head_is_valid (struct MHD_Connection *connection)
{
	struct head head = { .is_valid = true };

	MHD_get_connection_values_n (connection, MHD_HEADER_KIND, check_field, &head);
	return head.is_valid && head.lengths + head.encodings <= 1;
}
