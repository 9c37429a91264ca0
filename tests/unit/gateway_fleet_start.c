/* Guards against a fleet that does not become ready when all its VMs start together and read a directory of 11 pages: the
 * store refuses calls beyond its rates. The figures are those of docs/CAPACITY.md. */
#include "gateway_fleet_store.h"

#include <string.h>

enum
{
	ENTRIES = 5400,
	STEP_US = 10 * US_PER_MS,
	LIMIT_US = 14 * US_PER_S, /* Between the start and the traffic. */
};

static bool
is_ready (const struct fleet_vm *vm)
{
	return vm->controller && vm->controller->configuration && vm->controller->has_directory &&
	       vm->controller->records_valid_us > 0;
}

static int
compare_times (const void *a, const void *b)
{
	const int64_t *first = a;
	const int64_t *second = b;

	return (*first > *second) - (*first < *second);
}

/** Writes entries of another writer, so that each VM reads them but does not keep them. */
static void
add_entries (struct gateway_fleet *fleet)
{
	for (int i = fleet->server_count; i < ENTRIES; i++)
	{
		g_autofree char *key = g_strdup_printf ("servers/z-%05d", i);

		fleet_store_put (fleet->store, key, "-", 0);
	}
}

/** @param reads_per_s rate of the store for reading calls; that for writing ones is a fifth in all site files. */
static void
start_fleet (int vms, uint32_t reads_per_s)
{
	struct gateway_fleet fleet;
	int64_t *ready_us = g_new0 (int64_t, (gsize) vms);
	int64_t start_us;
	int ready = 0;
	int64_t median_us;
	const struct store_rate *reads;
	const struct store_rate *writes;

	gateway_fleet_prepare (&fleet, 1, vms, 2);
	add_entries (&fleet);
	fleet.store->reads.limit = reads_per_s;
	fleet.store->writes.limit = reads_per_s / 5;
	start_us = fleet.world.now_us;
	for (int64_t time_us = STEP_US; time_us <= LIMIT_US; time_us += STEP_US)
	{
		virtual_run (&fleet.world, start_us + time_us);
		for (int i = 0; i < vms; i++)
			if (ready_us[i] == 0 && is_ready (&fleet.vms[i]))
			{
				ready_us[i] = fleet.world.now_us - fleet.vms[i].controller->started_us;
				ready++;
			}
	}
	for (int i = 0; i < vms; i++)
		if (ready_us[i] == 0)
			ready_us[i] = LIMIT_US;
	qsort (ready_us, (size_t) vms, sizeof *ready_us, compare_times);
	median_us = ready_us[vms / 2];
	reads = &fleet.store->reads;
	writes = &fleet.store->writes;
	g_test_message (
		"%d VMs, %u reads/s: ready %d, median %.2f s, last %.2f s; directory pages %llu; reads %llu, refused "
		"%llu, most in a second %u; writes %llu, refused %llu, most in a second %u",
		vms, reads_per_s, ready, (double) median_us / US_PER_S,
		(double) ready_us[vms - 1] / US_PER_S, (unsigned long long) fleet.store->directory_pages,
		(unsigned long long) reads->total, (unsigned long long) reads->refused, reads->peak,
		(unsigned long long) writes->total, (unsigned long long) writes->refused, writes->peak);
	g_assert_cmpint (ready, ==, vms);
	gateway_fleet_finish (&fleet);
	g_free (ready_us);
}

static void
test_start_7 (void)
{
	start_fleet (7, 2000);
}

static void
test_start_230 (void)
{
	start_fleet (230, 6000);
}

static void
test_start_750 (void)
{
	start_fleet (750, 16000);
}

/* The fleet of the target beside the store of the small sites. */
static void
test_start_230_small_store (void)
{
	start_fleet (230, 2000);
}

static void
test_start_750_small_store (void)
{
	start_fleet (750, 2000);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/gateway_fleet/start_7", test_start_7);
	g_test_add_func ("/gateway_fleet/start_230", test_start_230);
	/* A minute each and more. */
	if (g_test_slow ())
	{
		g_test_add_func ("/gateway_fleet/start_750", test_start_750);
		g_test_add_func ("/gateway_fleet/start_230_small_store", test_start_230_small_store);
		g_test_add_func ("/gateway_fleet/start_750_small_store", test_start_750_small_store);
	}
	return g_test_run ();
}
