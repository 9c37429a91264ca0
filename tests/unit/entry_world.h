/**
 * @file
 * Fixture of one VM's entry with a scripted transport, which holds each execution until the test
 * answers it.
 */
#pragma once

#include "fixture.h"
#include "flamingospring/entry.h"

#include <glib.h>

/** Number of held executions. */
extern uint32_t held_count;
/** VM that the transport reports as down; 0: none. */
extern uint32_t down_vm;
/** Number of cancelled executions. */
extern uint32_t cancelled;

struct world
{
	struct loop loop;
	struct snapshot_source source;
	struct snapshot_reader reader;
	struct fixture fixture;
	struct entry_set entries;
};

/** Last answer to a call. */
struct caller
{
	unsigned answers; /**< Number of answers; a call gets one. */
	enum outcome outcome;
	enum reason reason;
	char message[64];
	char *token;
	char *transaction;
};

struct execution *take_held (uint32_t at);
void caller_finish (struct caller *caller);
struct world *world_new (void);
void world_free (struct world *world);
struct entry_call *call_new (const char *name, const char *request_id);
uint32_t world_start_call (struct world *world, struct entry_call *call, struct caller *caller);
struct execution *world_next_execution (struct world *world);
void world_wait_answer (struct world *world, struct caller *caller);
struct fs_execute_result result_at (uint64_t term, uint64_t index);
void answer (struct execution *execution, struct fs_execute_result result);
void answer_refused (struct execution *execution, enum reason reason);
void fail_execution (struct execution *execution, enum execution_status status);
