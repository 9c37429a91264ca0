/**
 * @file
 * Lock-free message queue from any thread to the event loop of one thread.
 */
#pragma once

#include "common/loop.h"

#include <ck_stack.h>

struct mailbox_message
{
	ck_stack_entry_t entry; /**< Used by the mailbox. */
	void (*handle_message) (struct mailbox_message *message, void *receiver);
};

struct mailbox
{
	ck_stack_t stack;
	struct loop *loop;
	struct loop_source source;
	void *receiver;
};

/** @return 0 or a negative error number. */
int mailbox_init (struct mailbox *mailbox, struct loop *loop, void *receiver);
void mailbox_finish (struct mailbox *mailbox);

/** Sends @p message. Its handler runs in the receiving thread and takes ownership of the memory.
 * Messages of one sender are delivered in order. */
void mailbox_send (struct mailbox *mailbox, struct mailbox_message *message);
