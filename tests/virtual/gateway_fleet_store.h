/**
 * @file
 * State of the store of a struct gateway_fleet, shared by gateway_fleet_store.c and gateway_fleet_calls.c.
 */
#pragma once

#include "gateway_fleet.h"

struct store_item
{
	char *value;
	uint64_t revision;
	int64_t expires_us; /**< 0: never. */
	int64_t ttl_us;
	uint64_t era; /**< Era of its last writing. */
};

/** A change, with what it replaced. */
struct store_change
{
	int64_t at_us;
	char *key;
	char *value; /**< NULL: deleted. */
	struct store_item *old;
};

/** Calls of one kind. */
struct store_rate
{
	uint32_t limit; /**< Calls a second, beyond which they are refused; 0: none. */
	int64_t second; /**< The second to which the counts belong. */
	uint32_t allowed;
	uint32_t calls;
	uint32_t peak; /**< Most calls in a second. */
	uint64_t total;
	uint64_t refused;
};

struct store_calls;

struct fleet_store
{
	struct gateway_fleet *fleet;
	enum fleet_store_state state;
	GTree *items;    /**< struct store_item by key. */
	GArray *changes; /**< Array of struct store_change; one for each revision after the first. */
	uint64_t era;
	uint32_t loss_per_mille;
	struct store_rate reads; /**< Pages of lists, and requests of watches. */
	struct store_rate writes;
	uint64_t directory_pages; /**< Of the directory of servers; refused ones are not counted. */
	struct store_calls *calls;
};

uint64_t store_revision (const struct fleet_store *store);
/** The change that made @p revision the store's revision. */
const struct store_change *store_find_change (const struct fleet_store *store, uint64_t revision);
/** @param value NULL: the key is deleted. */
void store_change (struct fleet_store *store, const char *key, const char *value, int64_t ttl_us);

/* gateway_fleet_calls.c */
struct store_calls *store_calls_new (const struct gateway_fleet *fleet);
void store_calls_free (struct store_calls *calls);
/** Answers the watches for which there are events. */
void store_calls_changed (struct fleet_store *store);
/** Ends the watches that wait: with an error, or without an answer. */
void store_calls_break (struct fleet_store *store, bool is_reset);
