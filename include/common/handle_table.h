/**
 * @file
 * Table of fixed-size entries addressed by 32-bit handles: 20 bits of index, 12 bits of generation.
 * Removing an entry changes its generation, so that stale handles are detected.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum
{
	HANDLE_NONE = 0,
	HANDLE_INDEX_BITS = 20,
};

struct handle_table
{
	char *entries;
	uint16_t *generations;
	uint32_t *free_indexes;
	size_t entry_size;
	uint32_t capacity;
	uint32_t free_count;
	uint32_t limit;
};

/** Initializes a table of at most @p limit entries; memory grows on demand. @return 0 or -EINVAL. */
int handle_table_init (struct handle_table *table, size_t entry_size, uint32_t limit);
void handle_table_finish (struct handle_table *table);

/** Allocates a zeroed entry and invalidates pointers returned by handle_table_get().
 * @return its handle, or HANDLE_NONE when the table is full. */
uint32_t handle_table_add (struct handle_table *table);
void *handle_table_get (const struct handle_table *table, uint32_t handle);
void handle_table_remove (struct handle_table *table, uint32_t handle);
uint32_t handle_table_count (const struct handle_table *table);

/** Next used entry after @p handle; HANDLE_NONE starts and ends the iteration. */
uint32_t handle_table_next (const struct handle_table *table, uint32_t handle);
