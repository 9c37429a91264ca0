/**
 * @file
 * Carries out the limits on clients: which connections are closed when buffers run short or a peer makes no progress, and how
 * many are accepted. The decisions are in decision/buffer_budget.c.
 */
#include "common/counters.h"
#include "common/log.h"
#include "common/rpc.h"
#include "gateway/traffic_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	/* Sessions with less are not asked to give way: an idle session has less, and closing it would free next to nothing. */
	LIMITS_MIN_HOLDER_BYTES = 8192,
	/* Between two counts of the kernel's buffers, which take a system call for each connection that is not read. */
	LIMITS_COUNT_US = 100 * US_PER_MS,
	LIMITS_TRIM_US = 1000 * US_PER_MS,
	LIMITS_MIN_TRIM_BYTES = 4 * 1024 * 1024,
	/* Accepting stops for so long when the process or the system has no descriptors or memory for another connection. */
	LIMITS_ACCEPT_PAUSE_US = 100 * US_PER_MS,
	/* The kernel doubles these for its own use. At 2 ms to a caller, 64 KiB under way are 32 MB/s, more than a VM's link. */
	LIMITS_SOCKET_BYTES = 32 * 1024,
	LIMITS_ACCEPT_BURST = 64,
	/* Left for the store, the listeners, new connections to servers, and readiness. */
	LIMITS_FREE_DESCRIPTORS = 200,
	/* Other VMs come before callers, up to this. */
	LIMITS_FREE_DESCRIPTORS_PEERS = 120,
	/* Descriptors of the process itself and of the control thread's calls and datagrams. */
	LIMITS_OWN_DESCRIPTORS = 40,
	LIMITS_MIN_PEER_SESSIONS = 64,
};

void
client_limits_init (struct gateway_traffic *traffic)
{
	buffer_budget_init (&traffic->budget, traffic->settings.memory_bytes);
}

void
client_limits_set_listener (struct gateway_traffic *traffic, const struct loop_source *listener)
{
	int bytes = LIMITS_SOCKET_BYTES;

	if (traffic->settings.memory_bytes == 0)
		return;
	/* Accepted sockets inherit the sizes. */
	setsockopt (listener->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
	setsockopt (listener->fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

/** Closes a session at once, also if its peer does not read, and frees what it holds. */
static void
abort_session (struct session *session)
{
	line_stream_abort (&session->stream);
	session_close (session);
	line_stream_release_buffer (session->request.text);
	line_stream_release_buffer (session->request.answer);
	line_stream_release_buffer (session->request.id);
	g_hash_table_remove_all (session->values);
	g_hash_table_remove_all (session->prepared);
}

static void
close_holder (const struct buffer_holder *holder)
{
	struct session *session = holder->data;

	counter_add (holder->is_peer ? COUNTER_CLIENTS_CLOSED_MEMORY_VM : COUNTER_CLIENTS_CLOSED_MEMORY,
	             1);
	log_event (LOG_LEVEL_WARN, "client_closed_memory",
	           "bytes=%zu owes=%d slow_ms=%lld vm=%d used=%zu limit=%zu", holder->bytes,
	           holder->owes, (long long) holder->slow_us / US_PER_MS, holder->is_peer,
	           session->traffic->budget.used_bytes, session->traffic->budget.limit_bytes);
	abort_session (session);
}

void
client_limits_make_room (struct gateway_traffic *traffic, int64_t now_us)
{
	struct buffer_holder *holders;
	size_t count = 0;

	if (!buffer_budget_is_short (&traffic->budget))
		return;
	holders = g_new (struct buffer_holder, traffic->sessions.length + 1);
	for (GList *link = traffic->sessions.head; link; link = link->next)
	{
		struct session *session = link->data;
		const struct line_stream *stream = &session->stream;

		if (stream->charged_bytes < LIMITS_MIN_HOLDER_BYTES)
			continue;
		holders[count++] = (struct buffer_holder){
			.bytes = stream->charged_bytes,
			.is_peer = session->is_relay,
			.owes = line_stream_owes (stream),
			.slow_us = stream->progress.since_us > 0 ? now_us - stream->progress.slow_since_us : 0,
			.data = session,
		};
	}
	qsort (holders, count, sizeof *holders, buffer_holder_compare);
	for (size_t i = 0; i < count && !buffer_budget_has_room (&traffic->budget); i++)
		close_holder (&holders[i]);
	g_free (holders);
	traffic->needs_trim = true;
}

void
client_limits_check_session (struct session *session, int64_t now_us)
{
	struct line_stream *stream = &session->stream;
	int64_t limit_us = (int64_t) session->traffic->settings.client_stall_ms * US_PER_MS;

	if (buffer_progress_check (&stream->progress, line_stream_owes (stream), stream->moved_bytes,
	                           limit_us, now_us))
		return;
	counter_add (COUNTER_CLIENTS_CLOSED_SLOW, 1);
	log_event (LOG_LEVEL_INFO, "client_closed_slow", "unread=%zu received=%zu slow_ms=%lld vm=%d",
	           stream->out->len - stream->out_start, stream->in->len - stream->in_start,
	           (long long) (now_us - stream->progress.slow_since_us) / US_PER_MS,
	           session->is_relay);
	abort_session (session);
}

/** Returns unused parts of the heap to the system: small buffers that were freed lie between those in use. */
static void
trim_heap (struct gateway_traffic *traffic, int64_t now_us)
{
	size_t used_bytes = traffic->budget.used_bytes;

	if (now_us - traffic->trimmed_us < LIMITS_TRIM_US ||
	    (!traffic->needs_trim &&
	     traffic->budget.peak_bytes < used_bytes * 2 + LIMITS_MIN_TRIM_BYTES))
		return;
	malloc_trim (0);
	traffic->trimmed_us = now_us;
	traffic->needs_trim = false;
	traffic->budget.peak_bytes = used_bytes;
}

static void
resume_accepting (struct gateway_traffic *traffic, int64_t now_us)
{
	if (traffic->accept_paused_us == 0 ||
	    now_us - traffic->accept_paused_us < LIMITS_ACCEPT_PAUSE_US)
		return;
	traffic->accept_paused_us = 0;
	loop_set_source (&traffic->loop, &traffic->listener, EPOLLIN);
	loop_set_source (&traffic->loop, &traffic->relay_listener, EPOLLIN);
}

void
client_limits_tick (struct gateway_traffic *traffic, int64_t now_us)
{
	resume_accepting (traffic, now_us);
	if (traffic->budget.limit_bytes == 0 || now_us - traffic->counted_us < LIMITS_COUNT_US)
		return;
	traffic->counted_us = now_us;
	for (GList *link = traffic->sessions.head; link; link = link->next)
		line_stream_count_kernel_bytes (&((struct session *) link->data)->stream);
	client_limits_make_room (traffic, now_us);
	trim_heap (traffic, now_us);
}

/** Descriptors in use by connections, as far as this thread knows. */
static uint32_t
count_descriptors (const struct gateway_traffic *traffic)
{
	uint32_t count = LIMITS_OWN_DESCRIPTORS + traffic->sessions.length;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init (&iter, traffic->servers);
	while (g_hash_table_iter_next (&iter, NULL, &value))
		count += ((const struct server *) value)->connection_count;
	return count;
}

/** The address of the other end, 0 when it is not known. */
static uint32_t
find_peer_ip (int fd)
{
	struct sockaddr_in address = { 0 };
	socklen_t length = sizeof address;

	if (getpeername (fd, (struct sockaddr *) &address, &length) < 0)
		return 0;
	return ntohl (address.sin_addr.s_addr);
}

static uint32_t
count_peer_sessions (const struct gateway_traffic *traffic, uint32_t ip)
{
	return GPOINTER_TO_UINT (g_hash_table_lookup (traffic->peer_sessions, GUINT_TO_POINTER (ip)));
}

void
client_limits_add_peer (struct gateway_traffic *traffic, uint32_t ip, int number)
{
	uint32_t count = (uint32_t) ((int) count_peer_sessions (traffic, ip) + number);

	traffic->relay_count = (uint32_t) ((int) traffic->relay_count + number);
	if (count > 0)
		g_hash_table_insert (traffic->peer_sessions, GUINT_TO_POINTER (ip),
		                     GUINT_TO_POINTER (count));
	else
		g_hash_table_remove (traffic->peer_sessions, GUINT_TO_POINTER (ip));
}

/** @return why the connection is refused, or NULL. */
static const char *
find_refusal (const struct gateway_traffic *traffic, uint32_t descriptors, uint32_t peer_ip)
{
	const struct gateway_traffic_settings *settings = &traffic->settings;
	bool is_peer = peer_ip != 0;
	uint32_t reserve = is_peer ? LIMITS_FREE_DESCRIPTORS_PEERS : LIMITS_FREE_DESCRIPTORS;

	if (!is_peer && traffic->sessions.length - traffic->relay_count >= settings->max_sessions)
		return "sessions";
	if (settings->max_descriptors > 0 && descriptors + reserve >= settings->max_descriptors)
		return "descriptors";
	/* One VM must not take the places of the others. */
	if (is_peer && settings->max_descriptors > 0 &&
	    count_peer_sessions (traffic, peer_ip) >=
	        MAX (settings->max_descriptors / 4, LIMITS_MIN_PEER_SESSIONS))
		return "sessions_of_vm";
	if (!is_peer && buffer_budget_is_short (&traffic->budget))
		return "memory";
	return NULL;
}

static void
pause_accepting (struct gateway_traffic *traffic, int error)
{
	counter_add (COUNTER_ACCEPT_PAUSES, 1);
	log_event (LOG_LEVEL_ERROR, "accept_failed", "error=%d open=%u", error,
	           traffic->sessions.length);
	/* The listeners stay ready, so that waiting for them would not wait. */
	traffic->accept_paused_us = clock_now_us ();
	loop_remove_source (&traffic->loop, &traffic->listener);
	loop_remove_source (&traffic->loop, &traffic->relay_listener);
}

void
client_limits_accept (struct loop_source *source, uint32_t epoll_events)
{
	struct gateway_traffic *traffic = source->data;
	bool is_relay = source == &traffic->relay_listener;
	uint32_t descriptors = count_descriptors (traffic);

	for (int i = 0; i < LIMITS_ACCEPT_BURST; i++)
	{
		int fd = rpc_accept (source->fd);
		uint32_t peer_ip;
		const char *cause;

		if (fd == -EAGAIN)
			return;
		if (fd == -ECONNABORTED)
			continue;
		if (fd < 0)
		{
			pause_accepting (traffic, fd);
			return;
		}
		client_limits_make_room (traffic, clock_now_us ());
		peer_ip = is_relay ? find_peer_ip (fd) : 0;
		cause = is_relay && peer_ip == 0 ? "closed" : find_refusal (traffic, descriptors, peer_ip);
		if (cause)
		{
			counter_add (COUNTER_CLIENTS_REFUSED, 1);
			log_event (LOG_LEVEL_WARN, "session_refused", "cause=%s open=%u vm=%d", cause,
			           traffic->sessions.length, is_relay);
			close (fd);
			continue;
		}
		descriptors++;
		session_accept (traffic, fd, peer_ip);
	}
}
