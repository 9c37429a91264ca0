/* Guards against timers and mailbox messages that are lost or delivered out of order. */
#include "common/loop.h"
#include "common/clock.h"
#include "common/mailbox.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>

enum
{
	TIMERS = 200,
	MESSAGES = 20000,
};

static int64_t last_due_us;
static unsigned fired;

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	g_assert_cmpint (timer->due_us, >=, last_due_us);
	last_due_us = timer->due_us;
	fired++;
}

static void
test_timers (void)
{
	static struct loop_timer timers[TIMERS];
	int64_t start_us = clock_now_us ();
	struct loop loop;

	g_assert_cmpint (loop_init (&loop), ==, 0);
	for (unsigned i = 0; i < TIMERS; i++)
	{
		timers[i].handle_timer = handle_timer;
		loop_set_timer (&loop, &timers[i], start_us + (i * 7919) % 20000);
	}
	for (unsigned i = 0; i < TIMERS; i += 4)
		loop_cancel_timer (&loop, &timers[i]);
	while (clock_now_us () < start_us + 25000)
		loop_step (&loop, 1000);
	g_assert_cmpuint (fired, ==, TIMERS * 3 / 4);
	loop_finish (&loop);
}

struct numbered_message
{
	struct mailbox_message message;
	unsigned number;
};

static unsigned expected;

static void
handle_message (struct mailbox_message *message, void *receiver)
{
	struct numbered_message *numbered = (struct numbered_message *) message;

	g_assert_cmpuint (numbered->number, ==, expected);
	expected++;
	if (expected == MESSAGES)
		loop_stop (receiver);
	free (numbered);
}

static void *
send_messages (void *data)
{
	for (unsigned i = 0; i < MESSAGES; i++)
	{
		struct numbered_message *numbered = calloc (1, sizeof *numbered);

		numbered->message.handle_message = handle_message;
		numbered->number = i;
		mailbox_send (data, &numbered->message);
	}
	return NULL;
}

static void
test_mailbox (void)
{
	struct mailbox mailbox;
	struct loop loop;
	pthread_t thread;

	loop_init (&loop);
	g_assert_cmpint (mailbox_init (&mailbox, &loop, &loop), ==, 0);
	pthread_create (&thread, NULL, send_messages, &mailbox);
	loop_run (&loop);
	pthread_join (thread, NULL);
	g_assert_cmpuint (expected, ==, MESSAGES);
	mailbox_finish (&mailbox);
	loop_finish (&loop);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/loop/timers", test_timers);
	g_test_add_func ("/loop/mailbox", test_mailbox);
	return g_test_run ();
}
