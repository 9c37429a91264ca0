/**
 * @file
 * A database server with slots, in the loop of a test: statements take time, wait for a slot, are refused when too many
 * wait, and may lose their answers.
 */
#pragma once

#include "common/loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct slot_server
{
	struct loop *loop;
	struct loop_source listener;
	uint16_t port;
	bool is_primary;
	uint32_t slots;
	uint32_t max_connections;
	GPtrArray *links;
	GQueue waiting;  /**< Jobs that wait for a slot. */
	GPtrArray *jobs; /**< Those that run. */
	uint32_t running;
	uint32_t connections;
	uint64_t index;
	GHashTable *commits; /**< Id of a write to how often it took effect. */
	/** Duration of a statement in microseconds. */
	int64_t (*work_us) (void *data, const char *text);
	/** Whether the answer of a statement that has run is lost; also of a session value, if loses_setup is set. */
	bool (*loses) (void *data, const char *text);
	bool loses_setup;
	/** Called with the name that the connection's greeting gave, for each statement of a session; may be NULL. */
	void (*handle_statement) (void *data, const char *tenant, const char *text);
	void *data;
	uint32_t answers; /**< Signed answers; each has its own signature. */
	/* Counts for the test. */
	uint32_t refused_busy;
	uint32_t refused_connections;
	uint32_t statuses;
	uint32_t max_waiting;
};

/** Listens on 127.0.0.1. The caller sets the fields that say how it behaves afterwards. */
void slot_server_init (struct slot_server *server, struct loop *loop, uint32_t slots,
                       uint32_t max_connections, bool is_primary);
void slot_server_finish (struct slot_server *server);
