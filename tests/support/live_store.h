/**
 * @file
 * The platform's metadata store, in threads of the test: it keeps what is written, so that real gateways become ready.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

struct live_store
{
	uint16_t port;
	GThread *thread;
	GMutex mutex;      /**< Guards the fields below. */
	GHashTable *items; /**< struct live_item by key. */
	uint64_t revision;
	int connections; /**< Threads that answer a request. */
	int listener;
};

/** Listens on 127.0.0.1. */
void live_store_start (struct live_store *store);
void live_store_stop (struct live_store *store);

/** Writes an item as the operator or a server does. */
void live_store_put (struct live_store *store, const char *key, const char *value);
