#include "common/mailbox.h"

#include "common/thread_annotations.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

CK_STACK_CONTAINER (struct mailbox_message, entry, mailbox_message_of)

/** Reverses the batch: the stack returns the newest message first. */
static ck_stack_entry_t *
batch_reverse (ck_stack_entry_t *newest)
{
	ck_stack_entry_t *oldest = NULL;

	while (newest)
	{
		ck_stack_entry_t *next = newest->next;

		newest->next = oldest;
		oldest = newest;
		newest = next;
	}
	return oldest;
}

static void
mailbox_deliver (struct mailbox *mailbox)
{
	ck_stack_entry_t *entry = batch_reverse (ck_stack_batch_pop_upmc (&mailbox->stack));

	while (entry)
	{
		struct mailbox_message *message = mailbox_message_of (entry);

		entry = entry->next;
		THREAD_ACQUIRE (message);
		message->handle_message (message, mailbox->receiver);
	}
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	uint64_t value;
	ssize_t length;

	(void) epoll_events;
	length = read (source->fd, &value, sizeof value);
	(void) length;
	mailbox_deliver (source->data);
}

int
mailbox_init (struct mailbox *mailbox, struct loop *loop, void *receiver)
{
	int result;

	memset (mailbox, 0, sizeof *mailbox);
	ck_stack_init (&mailbox->stack);
	mailbox->loop = loop;
	mailbox->receiver = receiver;
	mailbox->source.handle_ready = handle_ready;
	mailbox->source.data = mailbox;
	mailbox->source.fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mailbox->source.fd < 0)
		return -errno;
	result = loop_set_source (loop, &mailbox->source, EPOLLIN);
	if (result < 0)
		close (mailbox->source.fd);
	return result;
}

void
mailbox_finish (struct mailbox *mailbox)
{
	mailbox_deliver (mailbox);
	loop_remove_source (mailbox->loop, &mailbox->source);
	close (mailbox->source.fd);
}

void
mailbox_send (struct mailbox *mailbox, struct mailbox_message *message)
{
	uint64_t one = 1;
	ssize_t written;

	THREAD_RELEASE (message);
	ck_stack_push_upmc (&mailbox->stack, &message->entry);
	written = write (mailbox->source.fd, &one, sizeof one);
	(void) written;
}
