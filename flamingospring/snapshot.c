#include "flamingospring/snapshot.h"

#include "common/thread_annotations.h"

#include <ck_pr.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

CK_EPOCH_CONTAINER (struct snapshot, epoch_entry, snapshot_of_entry)

/* Tells the thread sanitizer by its address that all reads of a snapshot precede its release. */
static const char readers_end;

/** Record of a reader. It lives as long as the source, since the epoch keeps a pointer to it. */
struct snapshot_record
{
	ck_epoch_record_t epoch_record;
	struct snapshot_record *next;
};

struct name_key
{
	const char *name;
};

static int
service_compare (const void *key, const void *element)
{
	const struct snapshot_service *const *service = element;

	return strcmp (((const struct name_key *) key)->name, (*service)->schema.name);
}

static int
group_compare (const void *key, const void *element)
{
	const struct snapshot_group *group = element;

	return strcmp (((const struct name_key *) key)->name, group->database->name);
}

static int
member_compare (const void *key, const void *element)
{
	uint32_t id = *(const uint32_t *) key;
	const struct snapshot_member *member = element;

	if (id == member->id)
		return 0;
	return id < member->id ? -1 : 1;
}

const struct schema_service *
snapshot_find_service (const struct snapshot *snapshot, const char *name)
{
	struct name_key key = { name };
	struct snapshot_service **found;

	if (snapshot->service_count == 0)
		return NULL;
	found = bsearch (&key, snapshot->services, snapshot->service_count, sizeof (void *),
	                 service_compare);
	return found ? &(*found)->schema : NULL;
}

const struct snapshot_member *
snapshot_find_member (const struct snapshot *snapshot, uint32_t id)
{
	if (snapshot->member_count == 0)
		return NULL;
	return bsearch (&id, snapshot->members, snapshot->member_count, sizeof *snapshot->members,
	                member_compare);
}

const struct snapshot_group *
snapshot_find_group (const struct snapshot *snapshot, const char *database)
{
	struct name_key key = { database };

	if (snapshot->group_count == 0)
		return NULL;
	return bsearch (&key, snapshot->groups, snapshot->group_count, sizeof *snapshot->groups,
	                group_compare);
}

void
snapshot_source_init (struct snapshot_source *source)
{
	ck_epoch_init (&source->epoch);
	source->current = NULL;
	source->records = NULL;
}

void
snapshot_source_finish (struct snapshot_source *source)
{
	while (source->records)
	{
		struct snapshot_record *record = source->records;

		source->records = record->next;
		ck_epoch_reclaim (&record->epoch_record);
		g_aligned_free (record);
	}
	snapshot_free (source->current);
	source->current = NULL;
}

void
snapshot_reader_init (struct snapshot_reader *reader, struct snapshot_source *source)
{
	struct snapshot_record *record =
		g_aligned_alloc0 (1, sizeof *record, _Alignof(struct snapshot_record));

	reader->source = source;
	reader->record = record;
	ck_epoch_register (&source->epoch, &record->epoch_record, NULL);
	do
		record->next = ck_pr_load_ptr (&source->records);
	while (!ck_pr_cas_ptr (&source->records, record->next, record));
}

void
snapshot_reader_finish (struct snapshot_reader *reader)
{
	reader->source = NULL;
	reader->record = NULL;
}

const struct snapshot *
snapshot_acquire (struct snapshot_reader *reader)
{
	const struct snapshot *snapshot;

	ck_epoch_begin (&reader->record->epoch_record, NULL);
	snapshot = ck_pr_load_ptr (&reader->source->current);
	THREAD_ACQUIRE (snapshot);
	return snapshot;
}

void
snapshot_release (struct snapshot_reader *reader)
{
	THREAD_RELEASE (&readers_end);
	ck_epoch_end (&reader->record->epoch_record, NULL);
}

static void
handle_unreferenced (ck_epoch_entry_t *entry)
{
	THREAD_ACQUIRE (&readers_end);
	snapshot_free (snapshot_of_entry (entry));
}

void
snapshot_publish (struct snapshot_reader *writer, struct snapshot *snapshot)
{
	struct snapshot *old = ck_pr_load_ptr (&writer->source->current);

	THREAD_RELEASE (snapshot);
	ck_pr_fence_store ();
	ck_pr_store_ptr (&writer->source->current, snapshot);
	if (old)
		ck_epoch_call (&writer->record->epoch_record, &old->epoch_entry, handle_unreferenced);
	ck_epoch_poll (&writer->record->epoch_record);
}

struct snapshot *
snapshot_new (size_t services, size_t members, size_t groups)
{
	struct snapshot *snapshot = calloc (1, sizeof *snapshot);

	if (!snapshot)
		return NULL;
	/* One element more, since calloc (0) may return NULL, which is not a failure. */
	snapshot->services = calloc (services + 1, sizeof (void *));
	snapshot->members = calloc (members + 1, sizeof *snapshot->members);
	snapshot->groups = calloc (groups + 1, sizeof *snapshot->groups);
	if (!snapshot->services || !snapshot->members || !snapshot->groups)
	{
		snapshot_free (snapshot);
		return NULL;
	}
	snapshot->service_count = services;
	snapshot->member_count = members;
	snapshot->group_count = groups;
	return snapshot;
}

static void
service_release (struct snapshot_service *service)
{
	if (!service || --service->references > 0)
		return;
	schema_service_finish (&service->schema);
	free (service);
}

void
snapshot_free (struct snapshot *snapshot)
{
	if (!snapshot)
		return;
	for (size_t i = 0; snapshot->services && i < snapshot->service_count; i++)
		service_release (snapshot->services[i]);
	free (snapshot->services);
	free (snapshot->members);
	free (snapshot->groups);
	free (snapshot);
}
