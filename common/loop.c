#include "common/loop.h"

#include "common/clock.h"

#include <ck_pr.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum
{
	LOOP_MAX_EVENTS = 256, /* Events per iteration. */
	LOOP_MAX_WAIT_MS = 60000,
};

static void
handle_wake (struct loop_source *source, uint32_t epoll_events)
{
	uint64_t value;

	(void) epoll_events;
	while (read (source->fd, &value, sizeof value) > 0)
		continue;
}

int
loop_init (struct loop *loop)
{
	int result;

	memset (loop, 0, sizeof *loop);
	loop->wake_fd = -1;
	loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
	if (loop->epoll_fd < 0)
		return -errno;
	loop->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (loop->wake_fd < 0)
	{
		result = -errno;
		goto fail;
	}
	loop->wake_source.fd = loop->wake_fd;
	loop->wake_source.handle_ready = handle_wake;
	result = loop_set_source (loop, &loop->wake_source, EPOLLIN);
	if (result < 0)
		goto fail;
	return 0;

fail:
	loop_finish (loop);
	return result;
}

void
loop_finish (struct loop *loop)
{
	if (loop->wake_fd >= 0)
		close (loop->wake_fd);
	if (loop->epoll_fd >= 0)
		close (loop->epoll_fd);
	free (loop->timers);
	memset (loop, 0, sizeof *loop);
	loop->epoll_fd = -1;
	loop->wake_fd = -1;
}

static void
timer_place (struct loop *loop, size_t slot, struct loop_timer *timer)
{
	loop->timers[slot - 1] = timer;
	timer->slot = slot;
}

static void
timer_sift_up (struct loop *loop, size_t slot)
{
	struct loop_timer *timer = loop->timers[slot - 1];

	while (slot > 1 && loop->timers[slot / 2 - 1]->due_us > timer->due_us)
	{
		timer_place (loop, slot, loop->timers[slot / 2 - 1]);
		slot /= 2;
	}
	timer_place (loop, slot, timer);
}

static void
timer_sift_down (struct loop *loop, size_t slot)
{
	struct loop_timer *timer = loop->timers[slot - 1];

	for (;;)
	{
		size_t child = slot * 2;

		if (child > loop->timer_count)
			break;
		if (child < loop->timer_count &&
		    loop->timers[child]->due_us < loop->timers[child - 1]->due_us)
			child++;
		if (loop->timers[child - 1]->due_us >= timer->due_us)
			break;
		timer_place (loop, slot, loop->timers[child - 1]);
		slot = child;
	}
	timer_place (loop, slot, timer);
}

int
loop_set_timer (struct loop *loop, struct loop_timer *timer, int64_t due_us)
{
	if (timer->slot == 0)
	{
		if (loop->timer_count == loop->timer_capacity)
		{
			size_t capacity = loop->timer_capacity ? loop->timer_capacity * 2 : 64;
			struct loop_timer **timers = realloc (loop->timers, capacity * sizeof (void *));

			if (!timers)
				return -ENOMEM;
			loop->timers = timers;
			loop->timer_capacity = capacity;
		}
		timer_place (loop, ++loop->timer_count, timer);
	}
	timer->due_us = due_us;
	timer_sift_up (loop, timer->slot);
	timer_sift_down (loop, timer->slot);
	return 0;
}

void
loop_cancel_timer (struct loop *loop, struct loop_timer *timer)
{
	size_t slot = timer->slot;
	struct loop_timer *last;

	if (slot == 0)
		return;
	timer->slot = 0;
	last = loop->timers[--loop->timer_count];
	if (last == timer)
		return;
	timer_place (loop, slot, last);
	timer_sift_up (loop, slot);
	timer_sift_down (loop, last->slot);
}

static void
loop_run_timers (struct loop *loop)
{
	int64_t now_us = clock_now_us ();
	size_t limit = loop->timer_count + 1;

	/* The limit prevents a timer that rearms itself for a past time from starving the sources. */
	while (loop->timer_count > 0 && loop->timers[0]->due_us <= now_us && limit-- > 0)
	{
		struct loop_timer *timer = loop->timers[0];

		loop_cancel_timer (loop, timer);
		timer->handle_timer (timer, now_us);
	}
}

static int
loop_wait_ms (const struct loop *loop, int64_t timeout_us)
{
	int64_t wait_us = timeout_us;

	if (loop->timer_count > 0)
	{
		int64_t timer_us = loop->timers[0]->due_us - clock_now_us ();

		if (timer_us < wait_us)
			wait_us = timer_us;
	}
	if (wait_us <= 0)
		return 0;
	if (wait_us / US_PER_MS >= LOOP_MAX_WAIT_MS)
		return LOOP_MAX_WAIT_MS;
	return (int) ((wait_us + US_PER_MS - 1) / US_PER_MS);
}

int
loop_step (struct loop *loop, int64_t timeout_us)
{
	struct epoll_event events[LOOP_MAX_EVENTS];
	int count =
		epoll_wait (loop->epoll_fd, events, LOOP_MAX_EVENTS, loop_wait_ms (loop, timeout_us));

	if (count < 0 && errno != EINTR)
		return -errno;
	loop->ready_events = events;
	loop->ready_count = count < 0 ? 0 : count;
	for (int i = 0; i < loop->ready_count; i++)
	{
		struct loop_source *source = events[i].data.ptr;

		if (source)
			source->handle_ready (source, events[i].events);
	}
	loop->ready_events = NULL;
	loop->ready_count = 0;
	loop_run_timers (loop);
	return 0;
}

int
loop_run (struct loop *loop)
{
	while (!ck_pr_load_8 ((uint8_t *) &loop->is_stopped))
	{
		int result = loop_step (loop, INT64_MAX);

		if (result < 0)
			return result;
	}
	return 0;
}

void
loop_stop (struct loop *loop)
{
	uint64_t one = 1;
	ssize_t written;

	ck_pr_store_8 ((uint8_t *) &loop->is_stopped, 1);
	written = write (loop->wake_fd, &one, sizeof one);
	(void) written;
}

int
loop_set_source (struct loop *loop, struct loop_source *source, uint32_t epoll_events)
{
	struct epoll_event event = { .events = epoll_events, .data.ptr = source };
	int operation = source->is_added ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (source->is_added && source->events == epoll_events)
		return 0;
	if (epoll_ctl (loop->epoll_fd, operation, source->fd, &event) < 0)
		return -errno;
	source->is_added = true;
	source->events = epoll_events;
	return 0;
}

void
loop_remove_source (struct loop *loop, struct loop_source *source)
{
	struct epoll_event *events = loop->ready_events;

	if (!source->is_added)
		return;
	epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, source->fd, NULL);
	source->is_added = false;
	source->events = 0;
	for (int i = 0; i < loop->ready_count; i++)
	{
		if (events[i].data.ptr == source)
			events[i].data.ptr = NULL;
	}
}
