/**
 * @file
 * Dispatches executions to the owners in this VM. Each server's owner runs in one traffic thread.
 * Executions that arrive in another thread are passed to it by mailbox.
 */
#pragma once

#include "common/handle_table.h"
#include "common/mailbox.h"
#include "flamingospring/execution.h"
#include "flamingospring/owner.h"

#include <stddef.h>
#include <stdint.h>

/** Parts of a traffic thread that the other threads use. */
struct dispatch_thread
{
	struct mailbox *mailbox;
	struct owner_set *owners; /**< Used by the thread itself only. */
};

/** Executions that one thread has submitted to owners. */
struct dispatcher
{
	const struct dispatch_thread *threads;
	uint32_t thread_count;
	uint32_t self;
	struct handle_table dispatches; /**< Pointers to struct dispatch. */
};

/** @p threads must outlive the dispatcher. @return 0 or a negative error number. */
int dispatcher_init (struct dispatcher *dispatcher, const struct dispatch_thread *threads,
                     uint32_t thread_count, uint32_t self);
void dispatcher_finish (struct dispatcher *dispatcher);

void dispatcher_execute (struct dispatcher *dispatcher, struct execution *execution);
void dispatcher_cancel (struct dispatcher *dispatcher, struct execution *execution);

/** @return the number of executions without a result. */
uint32_t dispatcher_in_flight (const struct dispatcher *dispatcher);

/** @return the index of the thread that runs the owners of a group's servers. All of them run in
 * one thread, since they share their monitors. */
uint32_t dispatch_thread_index (const char *database, uint32_t thread_count);
