/**
 * @file
 * Carries executions to the owners in this VM. Each server's owner lives in one traffic thread; what
 * arrives in another thread is handed over by mailbox.
 */
#pragma once

#include "common/handle_table.h"
#include "common/mailbox.h"
#include "flamingospring/execution.h"
#include "flamingospring/owner.h"

#include <stddef.h>
#include <stdint.h>

/** A traffic thread as seen by the others. */
struct dispatch_thread
{
	struct mailbox *mailbox;
	struct owner_set *owners; /**< Used in that thread only. */
};

/** Executions that one thread has handed to owners. */
struct dispatcher
{
	const struct dispatch_thread *threads;
	uint32_t thread_count;
	uint32_t self;
	struct handle_table dispatches; /**< Of struct dispatch pointers. */
};

/** @p threads belongs to the caller. @return 0 or a negative error number. */
int dispatcher_init (struct dispatcher *dispatcher, const struct dispatch_thread *threads,
                     uint32_t thread_count, uint32_t self);
void dispatcher_finish (struct dispatcher *dispatcher);

void dispatcher_execute (struct dispatcher *dispatcher, struct execution *execution);
void dispatcher_cancel (struct dispatcher *dispatcher, struct execution *execution);

/** Executions without a result. */
uint32_t dispatcher_in_flight (const struct dispatcher *dispatcher);

/** Thread of the owners of a group's servers, which share their monitors. */
uint32_t dispatch_thread_of (const char *database, uint32_t thread_count);
