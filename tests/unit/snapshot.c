/* Guards against a snapshot that is freed while a thread still reads it, and against leaks. The
 * readers check each snapshot's contents while the writer publishes new ones. */
#include "flamingospring/snapshot.h"

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
	READERS = 4,
	PUBLICATIONS = 2000,
	MEMBERS = 16,
};

struct reader_thread
{
	struct snapshot_reader reader;
	pthread_t thread;
	uint64_t reads;
};

static uint32_t is_finished;

static struct snapshot *
snapshot_new_numbered (uint64_t number)
{
	struct snapshot *snapshot = snapshot_new (0, MEMBERS, 0);

	snapshot->generation = number;
	for (size_t i = 0; i < MEMBERS; i++)
	{
		snapshot->members[i].id = (uint32_t) i + 1;
		snapshot->members[i].rtt_us = (uint32_t) number;
	}
	return snapshot;
}

static void *
run_reader (void *data)
{
	struct reader_thread *thread = data;

	while (!ck_pr_load_32 (&is_finished))
	{
		const struct snapshot *snapshot = snapshot_acquire (&thread->reader);
		uint64_t generation = snapshot->generation;

		/* The end of a nested read section must not end the outer one. */
		snapshot_acquire (&thread->reader);
		snapshot_release (&thread->reader);
		for (uint32_t id = 1; id <= MEMBERS; id++)
			g_assert_cmpuint (snapshot_find_member (snapshot, id)->rtt_us, ==,
			                  (uint32_t) generation);
		snapshot_release (&thread->reader);
		ck_pr_inc_64 (&thread->reads);
	}
	return NULL;
}

static void
test_publish (void)
{
	static struct reader_thread threads[READERS];
	static struct snapshot_source source;
	static struct snapshot_reader writer;

	snapshot_source_init (&source);
	snapshot_reader_init (&writer, &source);
	snapshot_publish (&writer, snapshot_new_numbered (0));
	for (unsigned i = 0; i < READERS; i++)
	{
		snapshot_reader_init (&threads[i].reader, &source);
		pthread_create (&threads[i].thread, NULL, run_reader, &threads[i]);
	}
	/* On a busy machine a thread may start only after all publications and then test nothing. */
	for (unsigned i = 0; i < READERS; i++)
		while (ck_pr_load_64 (&threads[i].reads) == 0)
			g_usleep (100);
	for (uint64_t i = 1; i <= PUBLICATIONS; i++)
	{
		snapshot_publish (&writer, snapshot_new_numbered (i));
		if (i % 100 == 0)
			g_usleep (100);
	}
	ck_pr_store_32 (&is_finished, 1);
	for (unsigned i = 0; i < READERS; i++)
	{
		pthread_join (threads[i].thread, NULL);
		g_assert_cmpuint (threads[i].reads, >, 0);
		snapshot_reader_finish (&threads[i].reader);
	}
	snapshot_reader_finish (&writer);
	snapshot_source_finish (&source);
}

/* Snapshots share services: the last snapshot that refers to a service frees it. */
static void
test_find (void)
{
	struct snapshot *first = snapshot_new (2, 0, 0);
	struct snapshot *second = snapshot_new (2, 1, 2);
	struct schema_database databases[2] = { { .name = "letters" }, { .name = "stamps" } };

	for (size_t i = 0; i < 2; i++)
	{
		struct snapshot_service *service = calloc (1, sizeof *service);

		g_strlcpy (service->schema.name, i == 0 ? "post" : "shop", sizeof service->schema.name);
		service->references = 2;
		first->services[i] = service;
		second->services[i] = service;
		second->groups[i].database = &databases[i];
	}
	second->members[0].id = 7;
	snapshot_free (first);
	g_assert_true (snapshot_find_service (second, "shop") == &second->services[1]->schema);
	g_assert_null (snapshot_find_service (second, "sho"));
	g_assert_true (snapshot_find_group (second, "letters") == &second->groups[0]);
	g_assert_null (snapshot_find_group (second, "x"));
	g_assert_true (snapshot_find_member (second, 7) == &second->members[0]);
	g_assert_null (snapshot_find_member (second, 8));
	snapshot_free (second);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/snapshot/publish", test_publish);
	g_test_add_func ("/snapshot/find", test_find);
	return g_test_run ();
}
