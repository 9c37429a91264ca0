/**
 * @file
 * Table of fixed-size entries named by 32-bit handles: 20 bits of index, 12 bits of generation.
 * A stale handle is found out, since freeing an entry changes its generation.
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

/** @p limit entries at most; memory grows on demand. @return 0 or -EINVAL. */
int handle_table_init (struct handle_table *table, size_t entry_size, uint32_t limit);
void handle_table_finish (struct handle_table *table);

/** Takes a zeroed entry. @return its handle, or HANDLE_NONE when full. Pointers of earlier
 * handle_table_get() calls are not valid after it. */
uint32_t handle_table_add (struct handle_table *table);
void *handle_table_get (const struct handle_table *table, uint32_t handle);
void handle_table_remove (struct handle_table *table, uint32_t handle);
uint32_t handle_table_count (const struct handle_table *table);

/** Next used entry after @p handle; HANDLE_NONE starts and ends the walk. */
uint32_t handle_table_next (const struct handle_table *table, uint32_t handle);
