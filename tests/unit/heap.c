/* Guards against queues that lose their order, and against heaps that degenerate into lists. */
#include "decision/heap.h"

#include "decision/retry.h"

#include <glib.h>

enum
{
	ITEMS = 500,
	STEPS = 20000,
};

/* Checks order, links and the leftist property, which bounds the path of a merge. */
static uint32_t
check_node (const struct heap_node *nodes, uint32_t item, uint32_t parent)
{
	uint32_t left;
	uint32_t right;

	if (item == HEAP_NONE)
		return 0;
	g_assert_cmpuint (nodes[item].parent, ==, parent);
	if (parent != HEAP_NONE)
		g_assert_cmpuint (nodes[parent].key.major, <=, nodes[item].key.major);
	left = check_node (nodes, nodes[item].left, item);
	right = check_node (nodes, nodes[item].right, item);
	g_assert_cmpuint (left, >=, right);
	g_assert_cmpuint (nodes[item].distance, ==, right + 1);
	return right + 1;
}

static void
test_random (void)
{
	static const uint64_t seeds[] = { 1, 2, 3, 5, 8 };

	for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
	{
		struct heap_node nodes[ITEMS];
		bool is_in[ITEMS] = { false };
		uint64_t random = seeds[i];
		struct heap heap;

		heap_init (&heap, nodes);
		for (uint64_t step = 0; step < STEPS; step++)
		{
			uint32_t item = (uint32_t) (random_next (&random) % ITEMS);

			/* In every third step, a removal takes the first item, as in a queue. */
			if (is_in[item] && step % 3 == 0)
				item = heap_first (&heap);
			if (is_in[item])
				heap_remove (&heap, item);
			else
				heap_insert (&heap, item, (struct heap_key){ random_next (&random) % 100, step });
			is_in[item] = !is_in[item];
			if (step % 50 == 0)
				check_node (nodes, heap_first (&heap), HEAP_NONE);
		}
		for (uint32_t item = 0; item < ITEMS; item++)
			if (is_in[item])
				heap_remove (&heap, item);
		g_assert_cmpuint (heap_first (&heap), ==, HEAP_NONE);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/heap/random", test_random);
	return g_test_run ();
}
