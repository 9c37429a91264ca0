/**
 * @file
 * Event loop of one thread with epoll and timers. Sources and timers are allocated by their owners.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loop_timer
{
	void (*handle_timer) (struct loop_timer *timer, int64_t now_us);
	void *data;
	int64_t due_us;
	size_t slot; /**< Index in the loop's timer heap, from 1; 0: the timer is not set. */
};

struct loop_source
{
	void (*handle_ready) (struct loop_source *source, uint32_t epoll_events);
	void *data;
	int fd;
	uint32_t events;
	bool is_added;
};

struct loop
{
	int epoll_fd;
	int wake_fd;
	bool is_stopped;
	struct loop_timer **timers;
	size_t timer_count;
	size_t timer_capacity;
	struct loop_source wake_source;
	void *ready_events; /**< Events being dispatched; those of a removed source are skipped. */
	int ready_count;
};

/** @return 0 or a negative error number. */
int loop_init (struct loop *loop);
void loop_finish (struct loop *loop);

/** Runs until loop_stop(). */
int loop_run (struct loop *loop);

/** Runs one iteration that waits at most @p timeout_us. @return 0 or a negative error number. */
int loop_step (struct loop *loop, int64_t timeout_us);

/** Ends loop_run(); safe from any thread and from signal handlers. */
void loop_stop (struct loop *loop);

/** Adds @p source, or changes its events. @return 0 or a negative error number. */
int loop_set_source (struct loop *loop, struct loop_source *source, uint32_t epoll_events);
void loop_remove_source (struct loop *loop, struct loop_source *source);

/** Sets or moves a timer. @return 0 or -ENOMEM. */
int loop_set_timer (struct loop *loop, struct loop_timer *timer, int64_t due_us);
void loop_cancel_timer (struct loop *loop, struct loop_timer *timer);
