/* Guards against a paused stream that reads on, one that does not notice that its peer has closed, output that grows while
 * the peer does not read, a charge that is not given back, and lines that are torn or lost by these. */
#include "gateway/line_stream.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	LINE_BYTES = 1000,
	LINES = 4000,
	SMALL_INPUT_BYTES = 64 * 1024,
	MAX_LINE_BYTES = 1024 * 1024,
	TURNS = 20,
};

struct fixture
{
	struct line_stream stream; /* First, for the callbacks. */
	struct loop loop;
	struct buffer_budget budget;
	int peer;
	unsigned lines;
	unsigned answer_bytes;
	bool pauses;
	bool is_closed;
	GString *joined; /* Lines with a bar after each; NULL: they are those of send_lines(). */
};

static void
handle_line (struct line_stream *stream, struct text line)
{
	struct fixture *fixture = (struct fixture *) stream;

	if (fixture->joined)
	{
		g_string_append_len (fixture->joined, line.start, (gssize) line.length);
		g_string_append_c (fixture->joined, '|');
		fixture->lines++;
		return;
	}
	g_assert_cmpuint (line.length, ==, LINE_BYTES);
	g_assert_cmpint ((unsigned char) line.start[0], ==, 'a' + (int) (fixture->lines % 26));
	fixture->lines++;
	if (fixture->pauses)
		line_stream_set_paused (stream, true);
	for (unsigned i = 0; i < fixture->answer_bytes; i++)
		g_string_append_c (stream->out, 'x');
	line_stream_flush (stream);
}

static void
handle_closed (struct line_stream *stream, int error)
{
	((struct fixture *) stream)->is_closed = true;
	line_stream_finish (stream);
}

static const struct line_stream_ops ops = {
	.handle_line = handle_line,
	.handle_closed = handle_closed,
};

static void
fixture_init (struct fixture *fixture)
{
	int fds[2];

	memset (fixture, 0, sizeof *fixture);
	g_assert_cmpint (loop_init (&fixture->loop), ==, 0);
	buffer_budget_init (&fixture->budget, 160 * 1024 * 1024);
	g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds), ==,
	                 0);
	g_assert_cmpint (
		line_stream_init (&fixture->stream, &fixture->loop, &ops, fds[0], MAX_LINE_BYTES), ==, 0);
	line_stream_set_budget (&fixture->stream, &fixture->budget);
	fixture->stream.bounds_output = true;
	fixture->peer = fds[1];
}

static void
fixture_finish (struct fixture *fixture)
{
	line_stream_finish (&fixture->stream);
	g_assert_cmpuint (fixture->budget.used_bytes, ==, 0);
	loop_finish (&fixture->loop);
	close (fixture->peer);
	if (fixture->joined)
		g_string_free (fixture->joined, TRUE);
}

static void
run_turns (struct fixture *fixture)
{
	for (int i = 0; i < TURNS; i++)
		loop_step (&fixture->loop, 0);
}

/** Sends lines, from the byte @p sent on, until the stream takes no more. @return the bytes sent in all. */
static size_t
send_lines (struct fixture *fixture, size_t sent, size_t limit)
{
	char line[LINE_BYTES + 2];
	ssize_t count = 0;

	while (sent < limit)
	{
		size_t begin = sent % sizeof line;

		memset (line, 'a' + (int) (sent / sizeof line % 26), LINE_BYTES);
		line[LINE_BYTES] = '\r';
		line[LINE_BYTES + 1] = '\n';
		count = send (fixture->peer, line + begin, MIN (sizeof line - begin, limit - sent),
		              MSG_NOSIGNAL);
		if (count > 0)
		{
			sent += (size_t) count;
			continue;
		}
		run_turns (fixture);
		count = send (fixture->peer, line + begin, 1, MSG_NOSIGNAL);
		if (count <= 0)
			return sent;
		sent++;
	}
	return sent;
}

static void
test_paused (void)
{
	struct fixture fixture;
	size_t sent;

	fixture_init (&fixture);
	fixture.pauses = true;
	sent = send_lines (&fixture, 0, (size_t) LINES * (LINE_BYTES + 2));
	g_assert_cmpuint (sent, <, (size_t) LINES * (LINE_BYTES + 2));
	g_assert_cmpuint (fixture.lines, ==, 1);
	g_assert_cmpuint (fixture.stream.in->allocated_len, <=, SMALL_INPUT_BYTES);
	for (unsigned i = 0; fixture.lines < LINES && i < 2 * LINES; i++)
	{
		line_stream_set_paused (&fixture.stream, false);
		sent = send_lines (&fixture, sent, (size_t) LINES * (LINE_BYTES + 2));
		loop_step (&fixture.loop, 0);
	}
	g_assert_cmpuint (fixture.lines, ==, LINES);
	fixture_finish (&fixture);
}

static void
test_paused_closed (void)
{
	struct fixture fixture;

	fixture_init (&fixture);
	fixture.pauses = true;
	send_lines (&fixture, 0, (size_t) LINES * (LINE_BYTES + 2));
	run_turns (&fixture);
	g_assert_false (fixture.is_closed);
	g_assert_cmpint (shutdown (fixture.peer, SHUT_WR), ==, 0);
	run_turns (&fixture);
	g_assert_true (fixture.is_closed);
	fixture_finish (&fixture);
}

static void
test_unread_output (void)
{
	struct fixture fixture;
	char buffer[16384];
	size_t sent;

	fixture_init (&fixture);
	fixture.answer_bytes = 5000;
	sent = send_lines (&fixture, 0, (size_t) LINES * (LINE_BYTES + 2));
	g_assert_cmpuint (fixture.lines, <, LINES);
	g_assert_true (line_stream_owes (&fixture.stream));
	g_assert_cmpuint (fixture.stream.out->len - fixture.stream.out_start, <=,
	                  STREAM_MAX_OUTPUT_BYTES + fixture.answer_bytes);
	for (unsigned i = 0; fixture.lines < LINES && i < 100 * LINES; i++)
	{
		while (recv (fixture.peer, buffer, sizeof buffer, 0) > 0)
			continue;
		loop_step (&fixture.loop, 0);
		sent = send_lines (&fixture, sent, (size_t) LINES * (LINE_BYTES + 2));
	}
	g_assert_cmpuint (fixture.lines, ==, LINES);
	fixture_finish (&fixture);
}

static void
test_large_line (void)
{
	struct fixture fixture;

	fixture_init (&fixture);
	for (int i = 0; i <= MAX_LINE_BYTES / LINE_BYTES + 1 && !fixture.is_closed; i++)
	{
		char piece[LINE_BYTES];

		memset (piece, 'y', sizeof piece);
		if (send (fixture.peer, piece, sizeof piece, MSG_NOSIGNAL) < 0)
			break;
		run_turns (&fixture);
	}
	g_assert_true (fixture.is_closed);
	g_assert_cmpuint (fixture.budget.peak_bytes, <=, 2 * MAX_LINE_BYTES + SMALL_INPUT_BYTES);
	fixture_finish (&fixture);
}

/* Guards against a line that ends at a line feed or a carriage return alone, also when its bytes come one by one. */
static void
test_line_end (void)
{
	static const char bytes[] = "a\nb\r\n\n\r\rc\r\r\n\r\nd";
	struct fixture fixture;

	for (size_t piece = 1; piece < sizeof bytes; piece++)
	{
		fixture_init (&fixture);
		fixture.joined = g_string_new (NULL);
		for (size_t sent = 0; sent < sizeof bytes - 1; sent += piece)
		{
			g_assert_cmpint (send (fixture.peer, bytes + sent, MIN (piece, sizeof bytes - 1 - sent),
			                       MSG_NOSIGNAL),
			                 >, 0);
			run_turns (&fixture);
		}
		g_assert_cmpuint (fixture.lines, ==, 3);
		g_assert_cmpstr (fixture.joined->str, ==, "a\nb|\n\r\rc\r||");
		fixture_finish (&fixture);
	}
}

/* The limit counts the bytes of the line without its end, however they come. */
static void
test_limit (void)
{
	for (int more = 0; more < 2; more++)
	{
		struct fixture fixture;
		g_autofree char *line = g_strnfill (MAX_LINE_BYTES + (gsize) more + 2, 'z');
		size_t length = MAX_LINE_BYTES + (size_t) more + 2;

		line[length - 2] = '\r';
		line[length - 1] = '\n';
		fixture_init (&fixture);
		fixture.joined = g_string_new (NULL);
		for (size_t sent = 0; sent < length && !fixture.is_closed;)
		{
			ssize_t count = send (fixture.peer, line + sent, length - sent, MSG_NOSIGNAL);

			if (count < 0 && errno != EAGAIN)
				break;
			sent += count > 0 ? (size_t) count : 0;
			run_turns (&fixture);
		}
		run_turns (&fixture);
		g_assert_cmpint (fixture.is_closed, ==, more == 1);
		g_assert_cmpuint (fixture.lines, ==, more == 0);
		fixture_finish (&fixture);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/line_stream/paused", test_paused);
	g_test_add_func ("/line_stream/paused_closed", test_paused_closed);
	g_test_add_func ("/line_stream/unread_output", test_unread_output);
	g_test_add_func ("/line_stream/large_line", test_large_line);
	g_test_add_func ("/line_stream/line_end", test_line_end);
	g_test_add_func ("/line_stream/limit", test_limit);
	return g_test_run ();
}
