#include "emulator/load.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const violation_names[] = {
#define VIOLATION_NAME(id, name) name,
	VIOLATION_LIST (VIOLATION_NAME)
#undef VIOLATION_NAME
};

struct record *
caller_record (struct caller *caller, guint index)
{
	return &g_array_index (caller->records, struct record, index);
}

void
caller_report_violation (struct caller *caller, enum violation violation,
                         const struct record *record, const char *detail)
{
	caller->violations[violation]++;
	printf ("violation %s: database=%u key=%s value=%s: %s\n", violation_names[violation],
	        record->database, record->key, record->value, detail ? detail : "no row");
}

void
record_check (struct caller *caller, struct record *record, const char *value)
{
	bool is_present = value != NULL;
	bool is_doubled = is_present && atoll (value) == 2 * atoll (record->value) && atoll (value) > 0;

	if (is_doubled)
		caller_report_violation (caller, VIOLATION_DOUBLED, record, value);
	else if (is_present && strcmp (value, record->value) != 0)
		caller_report_violation (caller, VIOLATION_MIXED, record, value);
	else if (record->state == RECORD_ACKED && !is_present)
		caller_report_violation (caller, VIOLATION_ACKED_LOST, record, value);
	else if (record->state == RECORD_ABSENT && is_present)
		caller_report_violation (caller, VIOLATION_REFUSED_RAN, record, value);
	if (record->state == RECORD_COMMIT_UNKNOWN && is_present)
		record->state = RECORD_ACKED;
}

void
records_check_transactions (struct caller *caller)
{
	for (guint i = 1; i < caller->records->len; i++)
	{
		struct record *first = caller_record (caller, i - 1);
		struct record *second = caller_record (caller, i);

		if (second->transaction_id == 0 || second->transaction_id != first->transaction_id)
			continue;
		if ((first->state == RECORD_COMMIT_UNKNOWN) != (second->state == RECORD_COMMIT_UNKNOWN))
			caller_report_violation (caller, VIOLATION_MIXED, second,
			                         "only one write of its transaction is present");
	}
}

int
records_load (struct caller *caller, const char *path)
{
	FILE *file = fopen (path, "r");
	struct record record = { 0 };
	char key[128], value[128];
	unsigned state;

	if (!file)
		return -errno;
	while (fscanf (file, "%u %u %u %127s %127s", &record.database, &state, &record.transaction_id,
	               key, value) == 5)
	{
		record.state = (enum record_state) state;
		caller_add_record (caller, &record, key, value);
	}
	fclose (file);
	return 0;
}

int
records_save (const struct caller *caller, const char *path)
{
	FILE *file = fopen (path, "a");

	if (!file)
		return -errno;
	for (guint i = 0; i < caller->records->len; i++)
	{
		const struct record *record = &g_array_index (caller->records, struct record, i);

		fprintf (file, "%u %u %u %s %s\n", record->database, (unsigned) record->state,
		         record->transaction_id, record->key, record->value);
	}
	return fclose (file) == 0 ? 0 : -errno;
}
