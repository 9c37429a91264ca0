/**
 * @file
 * Leftist heaps over a shared table of nodes, so that many small queues need the memory of one.
 *
 * Insertion, removal of any item and merging take logarithmic time; finding the first item takes
 * constant time.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
	HEAP_NONE = UINT32_MAX,
};

/** Sort key of an item: smaller @c major first, then smaller @c minor. */
struct heap_key
{
	uint64_t major;
	uint64_t minor;
};

struct heap_node
{
	struct heap_key key;
	uint32_t left;
	uint32_t right;
	uint32_t parent;
	uint32_t distance; /**< Nodes on the shortest path down to a missing child. */
};

/** One heap. An item is an index into @c nodes, and is in at most one heap of that table. */
struct heap
{
	struct heap_node *nodes;
	uint32_t root;
};

void heap_init (struct heap *heap, struct heap_node *nodes);
void heap_insert (struct heap *heap, uint32_t item, struct heap_key key);
void heap_remove (struct heap *heap, uint32_t item);

/** First item, or HEAP_NONE when empty. */
static inline uint32_t
heap_first (const struct heap *heap)
{
	return heap->root;
}
