/* Guards against lines of callers, servers and other VMs, datagrams, and documents of the store that make a gateway read
 * out of bounds, leak, or end. Directory entries and configurations may come from any writer. */
#include "protocols/gateway.h"
#include "fuzz.h"
#include "gateway/cap_exchange.h"
#include "gateway/line_stream.h"
#include "platform/documents.h"
#include "platform/wire.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum fuzzed
{
	FUZZED_CALLER,
	FUZZED_FORWARDED,
	FUZZED_SERVER,
	FUZZED_ROWS,
	FUZZED_CONFIGURATION,
	FUZZED_SERVER_ENTRY,
	FUZZED_DATAGRAM,
	FUZZED_CAP,
	FUZZED_STREAM,
	FUZZED_COUNT,
};

static const struct
{
	xdrproc_t decode;
	size_t bytes;
} arguments[] = {
	{ (xdrproc_t) xdr_fs_lead_args, sizeof (struct fs_lead_args) },
	{ (xdrproc_t) xdr_fs_quiesced_args, sizeof (struct fs_quiesced_args) },
	{ (xdrproc_t) xdr_fs_reachability_args, sizeof (struct fs_reachability_args) },
	{ (xdrproc_t) xdr_fs_hello_args, sizeof (struct fs_hello_args) },
	{ (xdrproc_t) xdr_fs_zone_args, sizeof (struct fs_zone_args) },
};

static void
check_within (struct text part, struct text line)
{
	if (part.length > 0 &&
	    (part.start < line.start || part.start + part.length > line.start + line.length))
		abort ();
}

static void
run_caller (struct text line, bool is_forwarded)
{
	struct caller_message message =
		is_forwarded ? wire_decode_forwarded (line) : wire_decode_caller (line);

	check_within (message.database, line);
	check_within (message.caller, line);
	check_within (message.id, line);
	check_within (message.text, line);
	check_within (message.statement.name, line);
	check_within (message.statement.arguments, line);
	/* Only VMs of the fleet may send these. */
	if (!is_forwarded &&
	    (message.has_hint || message.has_after || message.statement.kind == STATEMENT_RESET ||
	     message.statement.kind == STATEMENT_SAMPLE))
		abort ();
}

static void
run_rows (struct text row)
{
	struct database_status status;
	struct log_position position;
	uint64_t age_us;

	wire_decode_status (row, &status);
	wire_decode_sample (row, &age_us, &position);
}

static void
run_server_entry (const char *value, size_t length)
{
	struct platform_pair pair = {
		.key = "servers/i-1", .value = value, .value_length = length, .revision = 1
	};
	struct server_entry entry;

	if (documents_decode_server (&pair, &entry) < 0)
		return;
	if (!entry.id || !entry.service || !entry.zone || entry.port == 0)
		abort ();
	server_entry_clear (&entry);
}

static void
run_datagram (const char *data, size_t size)
{
	union
	{
		struct fs_lead_args lead;
		struct fs_hello_args hello;
		struct fs_zone_args zone;
		char bytes[1024];
	} value;
	size_t type = size % (sizeof arguments / sizeof arguments[0]);
	XDR xdr;

	if (arguments[type].bytes > sizeof value)
		abort ();
	memset (&value, 0, sizeof value);
	xdrmem_create (&xdr, (char *) data, (u_int) size, XDR_DECODE);
	arguments[type].decode (&xdr, &value);
	xdr_free (arguments[type].decode, (char *) &value);
	xdr_destroy (&xdr);
}

/** A datagram of an unknown sender; an account is not to keep what only one input said. */
static void
run_cap (const char *data, size_t size)
{
	const struct usage_limit limit = { 1, true, 10, 10 };
	const struct usage_member own = { 1, 1 };
	struct cap_exchange exchange;
	struct sockaddr_in from = { 0 };
	struct loop loop = { 0 };

	cap_exchange_init (&exchange, &loop, "vm", "zone", 0, 0);
	exchange.has_caps = true;
	usage_caps_set_limit (&exchange.caps, &limit, 1);
	usage_caps_set_members (&exchange.caps, &own, 1, 1);
	cap_exchange_receive (&exchange, data, size, &from, 1);
	usage_caps_poll (&exchange.caps, 2);
	cap_exchange_finish (&exchange);
}

enum
{
	STREAM_MAX_LINE_BYTES = 512,
};

/** A stream that gets the input in pieces, and the lines that it delivers, each after its length. */
struct fuzzed_stream
{
	struct line_stream stream; /* First, for the callbacks. */
	GString *lines;
	bool is_closed;
};

/** Appends a line with its length, since it may hold any byte. */
static void
append_line (GString *lines, const char *start, size_t length)
{
	g_string_append_printf (lines, "%zu:", length);
	g_string_append_len (lines, start, (gssize) length);
}

static void
handle_stream_line (struct line_stream *stream, struct text line)
{
	struct fuzzed_stream *fuzzed = (struct fuzzed_stream *) stream;

	append_line (fuzzed->lines, line.start, line.length);
	/* The first byte decides what the owner of the stream does. */
	line_stream_set_paused (stream, line.length > 0 && line.start[0] == 'p');
	if (line.length > 0 && line.start[0] == 'o')
		g_string_append_len (stream->out, line.start, (gssize) line.length);
	line_stream_flush (stream);
}

static void
handle_stream_closed (struct line_stream *stream, int error)
{
	(void) error;
	((struct fuzzed_stream *) stream)->is_closed = true;
}

static const struct line_stream_ops stream_ops = {
	.handle_line = handle_stream_line,
	.handle_closed = handle_stream_closed,
};

/** Splits the input as the stream does that gets it in one piece: only the two bytes of a line's end together are no text. */
static GString *
split_lines (const char *data, size_t size)
{
	GString *lines = g_string_new (NULL);
	size_t start = 0;

	for (size_t i = 0; i + 1 < size; i++)
	{
		if (data[i] != '\r' || data[i + 1] != '\n')
			continue;
		append_line (lines, data + start, i - start);
		start = i + 2;
		i++;
	}
	return lines;
}

/** The first byte is the size of the pieces. */
static void
run_stream (const char *data, size_t size)
{
	struct fuzzed_stream fuzzed = { .lines = g_string_new (NULL) };
	struct buffer_budget budget;
	struct loop loop;
	size_t piece = size > 0 ? (unsigned char) data[0] + 1 : 1;
	GString *expected = size > 0 ? split_lines (data + 1, size - 1) : g_string_new (NULL);
	int fds[2];

	buffer_budget_init (&budget, 64 * 1024 * 1024);
	if (loop_init (&loop) < 0 ||
	    socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds) < 0 ||
	    line_stream_init (&fuzzed.stream, &loop, &stream_ops, fds[0], STREAM_MAX_LINE_BYTES) < 0)
		abort ();
	line_stream_set_budget (&fuzzed.stream, &budget);
	fuzzed.stream.bounds_output = true;
	for (size_t i = 1; i < size && !fuzzed.is_closed; i += piece)
	{
		if (send (fds[1], data + i, MIN (piece, size - i), MSG_NOSIGNAL) < 0)
			break;
		loop_step (&loop, 0);
		line_stream_count_kernel_bytes (&fuzzed.stream);
		if (i % 3 == 0 && !fuzzed.is_closed)
			line_stream_set_paused (&fuzzed.stream, false);
	}
	for (size_t i = 0; i < size && !fuzzed.is_closed && fuzzed.stream.is_paused; i++)
		line_stream_set_paused (&fuzzed.stream, false);
	/* A line that is too long ends the delivery; all before it was delivered as it is. */
	if (memcmp (expected->str, fuzzed.lines->str, MIN (expected->len, fuzzed.lines->len)) != 0 ||
	    (!fuzzed.is_closed && expected->len != fuzzed.lines->len))
		abort ();
	line_stream_finish (&fuzzed.stream);
	if (budget.used_bytes != 0)
		abort ();
	close (fds[1]);
	loop_finish (&loop);
	g_string_free (fuzzed.lines, TRUE);
	g_string_free (expected, TRUE);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct configuration *configuration;
	struct text line;
	char *copy;

	if (size == 0)
		return 0;
	/* A copy of exactly the length, so that the sanitizer sees a read beyond it. */
	copy = malloc (size > 1 ? size - 1 : 1);
	memcpy (copy, data + 1, size - 1);
	line = (struct text){ copy, size - 1 };
	switch (data[0] % FUZZED_COUNT)
	{
	case FUZZED_CALLER:
		run_caller (line, false);
		break;
	case FUZZED_FORWARDED:
		run_caller (line, true);
		break;
	case FUZZED_SERVER:
		check_within (wire_decode_server (line).text, line);
		break;
	case FUZZED_ROWS:
		run_rows (line);
		break;
	case FUZZED_CONFIGURATION:
		configuration = documents_decode_configuration (line.start, line.length);
		if (configuration)
			configuration_release (configuration);
		break;
	case FUZZED_SERVER_ENTRY:
		run_server_entry (line.start, line.length);
		break;
	case FUZZED_DATAGRAM:
		run_datagram (line.start, line.length);
		break;
	case FUZZED_CAP:
		run_cap (line.start, line.length);
		break;
	case FUZZED_STREAM:
		run_stream (line.start, line.length);
		break;
	}
	free (copy);
	return 0;
}
