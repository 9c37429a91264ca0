#include "fault_link.h"

#include "common/clock.h"
#include "common/rpc.h"

#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	LINK_MAX_PAIRS = 256,
	LINK_POLL_MS = 2,
};

struct fault
{
	enum link_fault kind;
	int delay_ms;
};

/** A connection of the caller and the one to the target. */
struct pair
{
	int fds[2]; /* Caller, target; -1: free. */
	GString *in[2];
	GQueue *pending; /* A struct fault for each request without an answer. */
	GString *held;   /* Delayed answers. */
	int64_t held_until_us;
	bool is_mute;
};

static void
send_text (int fd, const char *text, size_t length)
{
	ssize_t sent = send (fd, text, length, MSG_NOSIGNAL);

	(void) sent;
}

static void
pair_close (struct pair *pair, bool is_reset)
{
	struct linger linger = { 1, 0 };

	for (int i = 0; i < 2; i++)
	{
		if (is_reset)
			setsockopt (pair->fds[i], SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
		close (pair->fds[i]);
		g_string_free (pair->in[i], TRUE);
		pair->fds[i] = -1;
	}
	g_queue_free_full (pair->pending, g_free);
	g_string_free (pair->held, TRUE);
}

/** Takes the fault that was set for the request. */
static struct fault
take_fault (struct fault_link *link, const char *line)
{
	char **words = g_strsplit (line, " ", 4);
	struct fault fault = { LINK_NONE, 0 };
	struct fault *found;
	char *key = NULL;

	if (!words[0] || !words[1] || !words[2])
		goto out;
	key = strcmp (words[1], "-") == 0 ? g_strconcat ("-", g_strchomp (words[2]), NULL)
	                                  : g_strdup (words[1]);
	g_mutex_lock (&link->mutex);
	found = g_hash_table_lookup (link->faults, key);
	if (found)
	{
		fault = *found;
		g_hash_table_remove (link->faults, key);
		link->hits++;
	}
	g_mutex_unlock (&link->mutex);
out:
	g_free (key);
	g_strfreev (words);
	return fault;
}

/** @return false when the connections were closed. */
static bool
pass_request (struct fault_link *link, struct pair *pair, const char *line, size_t length)
{
	struct fault fault = take_fault (link, line);

	if (fault.kind == LINK_RESET_REQUEST)
	{
		pair_close (pair, true);
		return false;
	}
	g_queue_push_tail (pair->pending, g_memdup2 (&fault, sizeof fault));
	send_text (pair->fds[1], line, length);
	return true;
}

/** @return false when the connections were closed. */
static bool
pass_answer (struct pair *pair, const char *answer, size_t length)
{
	struct fault *fault = g_queue_pop_head (pair->pending);
	enum link_fault kind = fault ? fault->kind : LINK_NONE;

	if (kind == LINK_DELAY)
		pair->held_until_us = clock_now_us () + (int64_t) fault->delay_ms * US_PER_MS;
	g_free (fault);
	if (kind == LINK_RESET)
	{
		pair_close (pair, true);
		return false;
	}
	if (pair->is_mute || kind == LINK_LOSE)
	{
		pair->is_mute = true;
		return true;
	}
	if (kind == LINK_STALL || kind == LINK_CUT)
		length /= 2;
	pair->is_mute = kind == LINK_STALL;
	g_string_append_len (pair->held, answer, (gssize) length);
	if (kind != LINK_CUT)
		return true;
	send_text (pair->fds[0], pair->held->str, pair->held->len);
	pair_close (pair, false);
	return false;
}

/** Passes the complete messages on. @return false when the connections were closed. */
static bool
pair_pass (struct fault_link *link, struct pair *pair, int side)
{
	GString *in = pair->in[side];
	const char *end = in->str;
	size_t length;

	while ((end = strstr (end, "\r\n")))
	{
		const char *last = end;

		end += 2;
		while (last > in->str && last[-1] != '\n')
			last--;
		/* An error in answer to the greeting is followed by a close. */
		if (side == 1 && !g_str_has_prefix (last, "READY "))
			continue;
		length = (size_t) (end - in->str);
		if (side == 0 ? !pass_request (link, pair, in->str, length)
		              : !pass_answer (pair, in->str, length))
			return false;
		g_string_erase (in, 0, (gssize) length);
		end = in->str;
	}
	return true;
}

static void
pair_read (struct fault_link *link, struct pair *pair, int side)
{
	char buffer[4096];
	ssize_t count = recv (pair->fds[side], buffer, sizeof buffer, MSG_DONTWAIT);

	if (count > 0)
	{
		g_string_append_len (pair->in[side], buffer, count);
		pair_pass (link, pair, side);
		return;
	}
	if (pair->held->len > 0 && side == 1)
		send_text (pair->fds[0], pair->held->str, pair->held->len);
	if (side == 1)
		send_text (pair->fds[0], pair->in[1]->str, pair->in[1]->len);
	pair_close (pair, false);
}

static void
pair_flush (struct pair *pair, int64_t now_us)
{
	if (pair->held->len == 0 || now_us < pair->held_until_us)
		return;
	send_text (pair->fds[0], pair->held->str, pair->held->len);
	g_string_truncate (pair->held, 0);
}

static int
connect_target (uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons (port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK),
	};
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
		return fd;
	close (fd);
	return -1;
}

static void
accept_pair (struct fault_link *link, struct pair *pairs)
{
	int fd = accept (link->listener, NULL, NULL);
	int target = connect_target (link->target_port);

	for (int i = 0; i < LINK_MAX_PAIRS && target >= 0; i++)
	{
		if (pairs[i].fds[0] >= 0)
			continue;
		pairs[i] = (struct pair){
			.fds = { fd, target },
			.in = { g_string_new (NULL), g_string_new (NULL) },
			.pending = g_queue_new (),
			.held = g_string_new (NULL),
		};
		return;
	}
	close (fd);
	if (target >= 0)
		close (target);
}

static void
count_muted (struct fault_link *link, const struct pair *pairs)
{
	int muted = 0;

	for (int i = 0; i < LINK_MAX_PAIRS; i++)
		muted += pairs[i].fds[0] >= 0 && pairs[i].is_mute;
	g_mutex_lock (&link->mutex);
	link->muted = muted;
	g_mutex_unlock (&link->mutex);
}

static void *
fault_link_main (void *data)
{
	struct fault_link *link = data;
	struct pair *pairs = g_new0 (struct pair, LINK_MAX_PAIRS);
	struct pollfd *polls = g_new0 (struct pollfd, 2 * LINK_MAX_PAIRS + 1);

	for (int i = 0; i < LINK_MAX_PAIRS; i++)
		pairs[i].fds[0] = pairs[i].fds[1] = -1;
	while (!g_atomic_int_get (&link->is_stopped))
	{
		polls[2 * LINK_MAX_PAIRS] = (struct pollfd){ link->listener, POLLIN, 0 };
		for (int i = 0; i < 2 * LINK_MAX_PAIRS; i++)
			polls[i] = (struct pollfd){ pairs[i / 2].fds[i % 2], POLLIN, 0 };
		poll (polls, 2 * LINK_MAX_PAIRS + 1, LINK_POLL_MS);
		for (int i = 0; i < 2 * LINK_MAX_PAIRS; i++)
			if (polls[i].revents && pairs[i / 2].fds[i % 2] == polls[i].fd)
				pair_read (link, &pairs[i / 2], i % 2);
		for (int i = 0; i < LINK_MAX_PAIRS; i++)
			if (pairs[i].fds[0] >= 0)
				pair_flush (&pairs[i], clock_now_us ());
		count_muted (link, pairs);
		if (polls[2 * LINK_MAX_PAIRS].revents)
			accept_pair (link, pairs);
	}
	for (int i = 0; i < LINK_MAX_PAIRS; i++)
		if (pairs[i].fds[0] >= 0)
			pair_close (&pairs[i], false);
	g_free (polls);
	g_free (pairs);
	return NULL;
}

void
fault_link_start (struct fault_link *link, uint16_t target_port)
{
	struct sockaddr_in address = { 0 };
	socklen_t length = sizeof address;

	memset (link, 0, sizeof *link);
	g_mutex_init (&link->mutex);
	link->target_port = target_port;
	link->faults = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	link->listener = rpc_listen (INADDR_LOOPBACK, 0);
	g_assert_cmpint (link->listener, >=, 0);
	g_assert_cmpint (getsockname (link->listener, (struct sockaddr *) &address, &length), ==, 0);
	link->port = ntohs (address.sin_port);
	link->thread = g_thread_new ("link", fault_link_main, link);
}

void
fault_link_stop (struct fault_link *link)
{
	g_atomic_int_set (&link->is_stopped, true);
	g_thread_join (link->thread);
	close (link->listener);
	g_hash_table_destroy (link->faults);
	g_mutex_clear (&link->mutex);
}

void
fault_link_set (struct fault_link *link, const char *key, enum link_fault fault, int delay_ms)
{
	struct fault value = { fault, delay_ms };

	g_mutex_lock (&link->mutex);
	g_hash_table_replace (link->faults, g_strdup (key), g_memdup2 (&value, sizeof value));
	g_mutex_unlock (&link->mutex);
}

int
fault_link_hits (struct fault_link *link)
{
	int hits;

	g_mutex_lock (&link->mutex);
	hits = link->hits;
	g_mutex_unlock (&link->mutex);
	return hits;
}

int
fault_link_muted (struct fault_link *link)
{
	int muted;

	g_mutex_lock (&link->mutex);
	muted = link->muted;
	g_mutex_unlock (&link->mutex);
	return muted;
}
