#include "common/rpc_listener.h"

#include "common/clock.h"
#include "common/log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
	/* Accepting stops for so long when there are no descriptors or memory for another connection. */
	LISTENER_PAUSE_US = 100 * US_PER_MS,
};

static bool
handle_call (struct rpc_connection *rpc, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *args)
{
	struct rpc_accepted *accepted = rpc->data;

	return accepted->listener->ops->handle_call (accepted, xid, program, procedure, args);
}

static void
accepted_free (struct rpc_accepted *accepted)
{
	struct rpc_listener *listener = accepted->listener;

	if (listener->ops->handle_closed)
		listener->ops->handle_closed (accepted);
	rpc_connection_finish (&accepted->rpc);
	handle_table_remove (&listener->connections, accepted->handle);
	free (accepted);
}

static void
handle_closed (struct rpc_connection *rpc, int error)
{
	(void) error;
	accepted_free (rpc->data);
}

static const struct rpc_connection_ops connection_ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

/** Adds a connection, which takes over @p fd. @return 0 or a negative error number. */
static int
listener_add (struct rpc_listener *listener, int fd)
{
	struct rpc_accepted *accepted = calloc (1, listener->connection_bytes);
	struct rpc_accepted **entry;
	int result = -ENOMEM;

	if (!accepted)
		goto fail;
	accepted->listener = listener;
	result = -ENOSPC;
	accepted->handle = handle_table_add (&listener->connections);
	if (accepted->handle == HANDLE_NONE)
		goto fail;
	entry = handle_table_get (&listener->connections, accepted->handle);
	*entry = accepted;
	result = rpc_connection_init (&accepted->rpc, listener->loop, &connection_ops, accepted, fd);
	if (result < 0)
		goto fail_handle;
	return 0;

fail_handle:
	handle_table_remove (&listener->connections, accepted->handle);
fail:
	close (fd);
	free (accepted);
	return result;
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct rpc_listener *listener = source->data;

	(void) epoll_events;
	for (;;)
	{
		int fd = rpc_accept (source->fd);
		int result = fd < 0 ? fd : listener_add (listener, fd);

		if (result < 0 && result != -EAGAIN)
			log_event (LOG_LEVEL_WARN, "accept_failed", "listener=%s error=%d", listener->name,
			           result);
		/* The listener stays ready in that case, so that the loop would not wait. */
		if (fd < 0 && fd != -EAGAIN && fd != -ECONNABORTED)
		{
			loop_remove_source (listener->loop, source);
			loop_set_timer (listener->loop, &listener->resume, clock_now_us () + LISTENER_PAUSE_US);
		}
		if (fd < 0)
			return;
	}
}

static void
handle_resume (struct loop_timer *timer, int64_t now_us)
{
	struct rpc_listener *listener = timer->data;

	(void) now_us;
	loop_set_source (listener->loop, &listener->source, EPOLLIN);
}

int
rpc_listener_init (struct rpc_listener *listener, struct loop *loop,
                   const struct rpc_listener_ops *ops, void *data,
                   const struct rpc_listener_settings *settings)
{
	int result;

	memset (listener, 0, sizeof *listener);
	listener->ops = ops;
	listener->data = data;
	listener->name = settings->name;
	listener->loop = loop;
	listener->connection_bytes = settings->connection_bytes;
	listener->source.fd = -1;
	result = handle_table_init (&listener->connections, sizeof (void *), settings->max_connections);
	if (result < 0)
		return result;
	result = rpc_listen (settings->ip, settings->port);
	if (result < 0)
		return result;
	listener->source.fd = result;
	listener->source.handle_ready = handle_ready;
	listener->source.data = listener;
	listener->resume.handle_timer = handle_resume;
	listener->resume.data = listener;
	return loop_set_source (loop, &listener->source, EPOLLIN);
}

void
rpc_listener_stop_accepting (struct rpc_listener *listener)
{
	if (listener->source.fd < 0)
		return;
	loop_cancel_timer (listener->loop, &listener->resume);
	loop_remove_source (listener->loop, &listener->source);
	close (listener->source.fd);
	listener->source.fd = -1;
}

void
rpc_listener_finish (struct rpc_listener *listener)
{
	uint32_t handle;

	while ((handle = handle_table_next (&listener->connections, HANDLE_NONE)) != HANDLE_NONE)
		accepted_free (rpc_listener_find (listener, handle));
	rpc_listener_stop_accepting (listener);
	handle_table_finish (&listener->connections);
}

struct rpc_accepted *
rpc_listener_find (struct rpc_listener *listener, uint32_t handle)
{
	struct rpc_accepted **entry = handle_table_get (&listener->connections, handle);

	return entry ? *entry : NULL;
}

uint32_t
rpc_listener_count_unsent (const struct rpc_listener *listener)
{
	uint32_t count = 0;
	uint32_t handle = handle_table_next (&listener->connections, HANDLE_NONE);

	for (; handle != HANDLE_NONE; handle = handle_table_next (&listener->connections, handle))
	{
		struct rpc_accepted **entry = handle_table_get (&listener->connections, handle);

		if ((*entry)->rpc.out_length > 0)
			count++;
	}
	return count;
}
