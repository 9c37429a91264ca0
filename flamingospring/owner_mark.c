#include "flamingospring/owner_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A mark takes the place of the JSON answer of a single call and never parses as one. It names the
 * transaction, so that an id that was used for another one is not taken for an answer. */
static const char *const prefixes[] = {
	[OWNER_MARK_COMMITTED] = "committed:",
	[OWNER_MARK_ROLLED_BACK] = "rolled_back:",
};

void
owner_mark_format (char text[OWNER_MARK_BYTES], enum owner_mark mark, uint64_t transaction)
{
	snprintf (text, OWNER_MARK_BYTES, "%s%016" PRIx64, prefixes[mark], transaction);
}

enum owner_mark
owner_mark_parse (const char *text, uint64_t *transaction)
{
	for (enum owner_mark mark = OWNER_MARK_COMMITTED; mark <= OWNER_MARK_ROLLED_BACK; mark++)
	{
		size_t length = strlen (prefixes[mark]);

		if (strncmp (text, prefixes[mark], length) != 0)
			continue;
		*transaction = strtoull (text + length, NULL, 16);
		return mark;
	}
	return OWNER_MARK_NONE;
}
