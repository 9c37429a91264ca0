/**
 * @file
 * Ends sessions without losing what they owe: requests that have been read are answered and answers are sent to the end.
 * When that happens is decided in decision/session_end.c.
 */
#include "gateway/traffic_private.h"

#include "common/log.h"
#include "decision/session_end.h"

enum
{
	/* After its peer has received everything, a session is kept open for so long: what the peer has sent meanwhile would
	 * reset the connection, and a peer that is slow to read may lose the answer with it. */
	SESSION_LINGER_US = 100 * US_PER_MS,
};

static enum session_end
judge (const struct session *session, int64_t now_us)
{
	const struct gateway_traffic *traffic = session->traffic;
	struct session_outlook outlook = {
		.is_leaving = traffic->is_leaving,
		.leaving_us = now_us - traffic->leaving_us,
		.grace_us = (int64_t) traffic->settings.grace_ms * US_PER_MS,
		.is_in_transaction = session->state != TRANSACTION_NONE,
		.is_peer = session->is_relay,
		.out_of_rotation_us =
			traffic->out_of_rotation_us > 0 ? now_us - traffic->out_of_rotation_us : 0,
		.is_late = session->accepted_us >= traffic->out_of_rotation_us,
	};

	return session_end_judge (&outlook);
}

static void
begin_end (struct session *session, int64_t now_us)
{
	struct gateway_traffic *traffic = session->traffic;

	session->is_ending = true;
	session->end_link.data = session;
	g_queue_push_tail_link (&traffic->ending, &session->end_link);
	loop_set_timer (&traffic->loop, &traffic->end, now_us);
}

void
session_check_end (struct session *session, int64_t now_us)
{
	const struct gateway_traffic *traffic = session->traffic;

	if (session->is_closed || session->is_ending ||
	    (!traffic->is_leaving && traffic->out_of_rotation_us == 0))
		return;
	if (judge (session, now_us) != SESSION_STAYS)
		begin_end (session, now_us);
}

/** Answers the current request with what is known of it. */
static void
give_up (struct session *session)
{
	static const char *const cause = "this VM is being stopped";

	if (session->is_relay)
		relay_give_up (session, cause);
	else
		session_time_out (session, cause);
}

/** Answers what has arrived, and then ends the output. */
static void
end_session (struct session *session, int64_t now_us)
{
	if (session->request.is_active && judge (session, now_us) == SESSION_GIVES_UP)
		give_up (session);
	if (session->is_closed || session->request.is_active)
		return;
	if (session->state == TRANSACTION_OPEN && !session->is_aborted)
		session_abort_idle (session);
	if (!line_stream_read_all (&session->stream) || session->request.is_active)
		return;
	session->ended_us = now_us;
	line_stream_end (&session->stream);
}

static void
check_ending (struct session *session, int64_t now_us)
{
	if (session->ended_us == 0)
		end_session (session, now_us);
	else if (now_us - session->ended_us > SESSION_LINGER_US &&
	         line_stream_is_delivered (&session->stream))
		session_close (session);
}

void
session_handle_ends (struct gateway_traffic *traffic, int64_t now_us)
{
	GList *next;

	for (GList *link = traffic->ending.head; link; link = next)
	{
		next = link->next;
		check_ending (link->data, now_us);
	}
}
