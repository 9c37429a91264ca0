#include "decision/heap.h"

static bool
heap_key_is_before (struct heap_key a, struct heap_key b)
{
	if (a.major != b.major)
		return a.major < b.major;
	return a.minor < b.minor;
}

static uint32_t
heap_distance (const struct heap_node *nodes, uint32_t item)
{
	return item == HEAP_NONE ? 0 : nodes[item].distance;
}

/* Restores the leftist property of one node: the side with the shorter distance is on the right. */
static void
heap_restore_node (struct heap_node *nodes, uint32_t item)
{
	struct heap_node *node = &nodes[item];

	if (heap_distance (nodes, node->left) < heap_distance (nodes, node->right))
	{
		uint32_t left = node->left;

		node->left = node->right;
		node->right = left;
	}
	node->distance = heap_distance (nodes, node->right) + 1;
}

/* Recurses into right children only; their path has at most log2 (items + 1) nodes. */
static uint32_t
heap_merge (struct heap_node *nodes, uint32_t a, uint32_t b)
{
	uint32_t first;

	if (a == HEAP_NONE)
		return b;
	if (b == HEAP_NONE)
		return a;
	first = heap_key_is_before (nodes[b].key, nodes[a].key) ? b : a;
	nodes[first].right = heap_merge (nodes, nodes[first].right, first == a ? b : a);
	nodes[nodes[first].right].parent = first;
	heap_restore_node (nodes, first);
	return first;
}

void
heap_init (struct heap *heap, struct heap_node *nodes)
{
	heap->nodes = nodes;
	heap->root = HEAP_NONE;
}

void
heap_insert (struct heap *heap, uint32_t item, struct heap_key key)
{
	heap->nodes[item] = (struct heap_node){ key, HEAP_NONE, HEAP_NONE, HEAP_NONE, 1 };
	heap->root = heap_merge (heap->nodes, heap->root, item);
	heap->nodes[heap->root].parent = HEAP_NONE;
}

void
heap_remove (struct heap *heap, uint32_t item)
{
	struct heap_node *nodes = heap->nodes;
	uint32_t parent = nodes[item].parent;
	uint32_t rest = heap_merge (nodes, nodes[item].left, nodes[item].right);

	if (rest != HEAP_NONE)
		nodes[rest].parent = parent;
	if (parent == HEAP_NONE)
	{
		heap->root = rest;
		return;
	}
	if (nodes[parent].left == item)
		nodes[parent].left = rest;
	else
		nodes[parent].right = rest;
	/* When a node's distance does not change, its ancestors do not change either. */
	for (; parent != HEAP_NONE; parent = nodes[parent].parent)
	{
		uint32_t before = nodes[parent].distance;

		heap_restore_node (nodes, parent);
		if (nodes[parent].distance == before)
			break;
	}
}
