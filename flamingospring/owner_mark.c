#include "flamingospring/owner_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A mark is stored in place of the JSON answer of a single call and never parses as one. It names
 * the transaction, so that a request id used for another transaction is not mistaken for its
 * outcome. */
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
