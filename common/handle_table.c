#include "common/handle_table.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	HANDLE_INITIAL_CAPACITY = 16,
	HANDLE_GENERATIONS = 1 << (32 - HANDLE_INDEX_BITS),
	HANDLE_USED = 1 << 15, /* Flag next to the generation: the entry is in use. */
};

int
handle_table_init (struct handle_table *table, size_t entry_size, uint32_t limit)
{
	memset (table, 0, sizeof *table);
	/* Index 0 of generation 0 would be HANDLE_NONE, so generations start at 1. */
	if (limit == 0 || limit > 1u << HANDLE_INDEX_BITS)
		return -EINVAL;
	table->entry_size = entry_size;
	table->limit = limit;
	return 0;
}

void
handle_table_finish (struct handle_table *table)
{
	free (table->entries);
	free (table->generations);
	free (table->free_indexes);
	memset (table, 0, sizeof *table);
}

static int
handle_table_grow (struct handle_table *table)
{
	uint32_t capacity = table->capacity ? table->capacity * 2 : HANDLE_INITIAL_CAPACITY;
	void *memory;

	if (capacity > table->limit)
		capacity = table->limit;
	if (capacity == table->capacity)
		return -ENOSPC;
	memory = realloc (table->entries, capacity * table->entry_size);
	if (!memory)
		return -ENOMEM;
	table->entries = memory;
	memory = realloc (table->generations, capacity * sizeof *table->generations);
	if (!memory)
		return -ENOMEM;
	table->generations = memory;
	memory = realloc (table->free_indexes, capacity * sizeof *table->free_indexes);
	if (!memory)
		return -ENOMEM;
	table->free_indexes = memory;
	for (uint32_t i = capacity; i > table->capacity; i--)
	{
		table->generations[i - 1] = 1;
		table->free_indexes[table->free_count++] = i - 1;
	}
	table->capacity = capacity;
	return 0;
}

uint32_t
handle_table_add (struct handle_table *table)
{
	uint32_t index;

	if (table->free_count == 0 && handle_table_grow (table) < 0)
		return HANDLE_NONE;
	index = table->free_indexes[--table->free_count];
	memset (table->entries + index * table->entry_size, 0, table->entry_size);
	table->generations[index] |= HANDLE_USED;
	return (uint32_t) (table->generations[index] & (HANDLE_GENERATIONS - 1)) << HANDLE_INDEX_BITS |
	       index;
}

void *
handle_table_get (const struct handle_table *table, uint32_t handle)
{
	uint32_t index = handle & ((1u << HANDLE_INDEX_BITS) - 1);
	uint32_t generation = handle >> HANDLE_INDEX_BITS;

	if (index >= table->capacity || table->generations[index] != (generation | HANDLE_USED))
		return NULL;
	return table->entries + index * table->entry_size;
}

void
handle_table_remove (struct handle_table *table, uint32_t handle)
{
	uint32_t index = handle & ((1u << HANDLE_INDEX_BITS) - 1);
	uint16_t generation;

	if (!handle_table_get (table, handle))
		return;
	generation = (uint16_t) ((table->generations[index] + 1) & (HANDLE_GENERATIONS - 1));
	table->generations[index] = generation ? generation : 1;
	table->free_indexes[table->free_count++] = index;
}

uint32_t
handle_table_count (const struct handle_table *table)
{
	return table->capacity - table->free_count;
}

uint32_t
handle_table_next (const struct handle_table *table, uint32_t handle)
{
	uint32_t index = handle == HANDLE_NONE ? 0 : (handle & ((1u << HANDLE_INDEX_BITS) - 1)) + 1;

	for (; index < table->capacity; index++)
	{
		uint32_t generation = table->generations[index];

		if (generation & HANDLE_USED)
			return (generation & (HANDLE_GENERATIONS - 1)) << HANDLE_INDEX_BITS | index;
	}
	return HANDLE_NONE;
}
