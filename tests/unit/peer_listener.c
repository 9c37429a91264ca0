/* Guards against crashes, hangs and executed calls when another VM sends malformed records. */
#include "flamingospring/peer.h"

#include "common/clock.h"
#include "common/counters.h"
#include "fixture.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	RANDOM_ROUNDS = 400,
	RANDOM_SEED = 31337,
	RECORD_BYTES = 2048,
	RECORD_MARK_BYTES = 4,
	HEADER_BYTES = 40, /* Size of a call header with empty credentials. */
	WAIT_LIMIT_US = 5 * US_PER_S,
};

static unsigned executed;
static struct execution *held;

static void
fake_execute (void *transport, struct execution *execution)
{
	bool holds_calls = *(bool *) transport;
	struct fs_execute_result result =
		execution_result (OUTCOME_DONE, REASON_NONE, execution->args->call);

	executed++;
	if (holds_calls)
		held = execution;
	else
		execution->handle_done (execution, EXECUTION_ANSWERED, &result);
}

static void
fake_cancel (void *transport, struct execution *execution)
{
	(void) transport;
	g_assert_true (execution == held);
	held = NULL;
	execution->handle_done (execution, EXECUTION_CANCELLED, NULL);
}

static const struct execution_ops fake_transport = {
	.execute = fake_execute,
	.cancel = fake_cancel,
};

struct world
{
	struct loop loop;
	struct peer_listener listener;
	uint16_t port;
	bool holds_calls;
};

static void
world_init (struct world *world)
{
	memset (world, 0, sizeof *world);
	executed = 0;
	held = NULL;
	world->port = fixture_port ();
	g_assert_cmpint (loop_init (&world->loop), ==, 0);
	g_assert_cmpint (peer_listener_init (&world->listener, &world->loop, &fake_transport,
	                                     &world->holds_calls, INADDR_LOOPBACK, world->port),
	                 ==, 0);
}

static void
world_finish (struct world *world)
{
	peer_listener_finish (&world->listener);
	g_assert_cmpuint (world->listener.in_flight, ==, 0);
	loop_finish (&world->loop);
}

static int
world_connect (const struct world *world)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (world->port) };
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	return fd;
}

/** Sends @p bytes, shuts down the sending side, and runs the listener until it closes the
 * connection. @return the length of the answer. */
static ssize_t
world_exchange (struct world *world, const char *bytes, size_t length, char *answer,
                size_t capacity)
{
	int fd = world_connect (world);
	int64_t limit_us = clock_now_us () + WAIT_LIMIT_US;
	ssize_t total = 0;
	ssize_t got;

	g_assert_cmpint (send (fd, bytes, length, MSG_NOSIGNAL), ==, (ssize_t) length);
	shutdown (fd, SHUT_WR);
	for (;;)
	{
		loop_step (&world->loop, 0);
		got = recv (fd, answer + total, capacity - (size_t) total, MSG_DONTWAIT);
		if (got > 0)
			total += got;
		if (got == 0 || (got < 0 && errno != EAGAIN))
			break;
		g_assert_cmpint (clock_now_us (), <, limit_us);
	}
	close (fd);
	return total;
}

/** Encodes a call record with its record mark. @return its length. */
static size_t
encode_record (char record[RECORD_BYTES], uint32_t procedure, const struct fs_execute_args *args)
{
	int length =
		rpc_datagram_encode (record + RECORD_MARK_BYTES, RECORD_BYTES - RECORD_MARK_BYTES, 9,
	                         FS_PEER_PROGRAM, FS_PEER_VERSION, procedure,
	                         args ? (xdrproc_t) xdr_fs_execute_args : (xdrproc_t) xdr_void, args);
	uint32_t mark = htonl ((uint32_t) length | 0x80000000u);

	g_assert_cmpint (length, >, 0);
	memcpy (record, &mark, sizeof mark);
	return (size_t) length + RECORD_MARK_BYTES;
}

static struct fs_execute_args
sample_args (fs_value *values, fs_text *text)
{
	struct fs_execute_args args = { 0 };

	*text = (char *) "value";
	values[0] = text;
	values[1] = NULL;
	args.service = (char *) "post";
	args.call = (char *) "find";
	args.database = (char *) "letters";
	args.params.params_len = 2;
	args.params.params_val = values;
	args.request_id = (char *) "id";
	args.tenant = (char *) "";
	args.budget_ms = 1000;
	args.traceparent = (char *) "";
	return args;
}

/** Checks that a valid call is answered after malformed records on other connections. */
static void
assert_good_call (struct world *world)
{
	char record[RECORD_BYTES];
	char answer[RECORD_BYTES];
	fs_value values[2];
	fs_text text;
	struct fs_execute_args args = sample_args (values, &text);
	size_t length = encode_record (record, FS_PEER_EXECUTE, &args);
	unsigned before = executed;

	g_assert_cmpint (world_exchange (world, record, length, answer, sizeof answer), >,
	                 HEADER_BYTES);
	g_assert_cmpuint (executed, ==, before + 1);
}

static void
test_truncated (void)
{
	struct world world;
	char record[RECORD_BYTES];
	char answer[RECORD_BYTES];
	fs_value values[2];
	fs_text text;
	struct fs_execute_args args = sample_args (values, &text);
	size_t length = encode_record (record, FS_PEER_EXECUTE, &args);

	world_init (&world);
	for (size_t cut = 0; cut < length; cut++)
	{
		uint32_t mark = htonl ((uint32_t) (cut - RECORD_MARK_BYTES) | 0x80000000u);

		/* The connection closes within the record. */
		world_exchange (&world, record, cut, answer, sizeof answer);
		/* The record is complete but too short. */
		if (cut < RECORD_MARK_BYTES)
			continue;
		memcpy (answer, record, cut);
		memcpy (answer, &mark, sizeof mark);
		world_exchange (&world, answer, cut, answer, sizeof answer);
	}
	g_assert_cmpuint (executed, ==, 0);
	assert_good_call (&world);
	world_finish (&world);
}

/* Guards against a listener that refuses calls in several fragments. libtirpc's clients send calls
 * above 64 KB in this form, so large service documents could not be applied. */
static void
test_fragments (void)
{
	enum
	{
		PIECE_BYTES = 7,
		EMPTY_FRAGMENTS = 1000,
	};
	struct world world;
	char record[RECORD_BYTES];
	char pieces[2 * RECORD_BYTES] = { 0 };
	char answer[RECORD_BYTES];
	fs_value values[2];
	fs_text text;
	struct fs_execute_args args = sample_args (values, &text);
	size_t length = encode_record (record, FS_PEER_EXECUTE, &args);
	size_t out = 0;

	world_init (&world);
	for (size_t at = RECORD_MARK_BYTES; at < length; at += PIECE_BYTES)
	{
		size_t size = MIN (PIECE_BYTES, length - at);
		uint32_t mark = htonl ((uint32_t) size | (at + size == length ? 0x80000000u : 0));

		memcpy (pieces + out, &mark, sizeof mark);
		memcpy (pieces + out + RECORD_MARK_BYTES, record + at, size);
		out += RECORD_MARK_BYTES + size;
	}
	g_assert_cmpint (world_exchange (&world, pieces, out, answer, sizeof answer), >, HEADER_BYTES);
	g_assert_cmpuint (executed, ==, 1);
	/* Two calls in one write, the first in fragments. */
	memcpy (pieces + out, record, length);
	world_exchange (&world, pieces, out + length, answer, sizeof answer);
	g_assert_cmpuint (executed, ==, 3);
	/* An endless sequence of fragments is refused before the caller closes the connection. */
	memset (pieces, 0, sizeof pieces);
	g_assert_cmpint (EMPTY_FRAGMENTS * RECORD_MARK_BYTES, <, sizeof pieces);
	out = counter_get (COUNTER_RPC_MALFORMED);
	world_exchange (&world, pieces, (size_t) EMPTY_FRAGMENTS * RECORD_MARK_BYTES, answer,
	                sizeof answer);
	g_assert_cmpuint (counter_get (COUNTER_RPC_MALFORMED), ==, out + 1);
	g_assert_cmpuint (executed, ==, 3);
	world_finish (&world);
}

/* Replaces one word of a valid record, at an offset from the start of the record. */
struct word_case
{
	size_t offset;
	uint32_t value;
	const char *fault;
};

static const struct word_case word_cases[] = {
	{ 0, 0x000000c8, "a fragment that is not the last" },
	{ 0, 0xffffffff, "a record of 2 GB" },
	{ 0, 0x80000000, "an empty record" },
	{ 8, 7, "neither call nor reply" },
	{ 8, 1, "a reply" },
	{ 16, 1, "another program" },
	{ 24, 99, "an unknown procedure" },
	{ 32, 0x7fffffff, "credentials of 2 GB" },
	{ 44, 9, "an unknown operation" },
	{ 48, 0x7fffffff, "a service name of 2 GB" },
	{ 48, 65, "a service name above the limit" },
};

static void
test_malformed_words (void)
{
	struct world world;
	char record[RECORD_BYTES];
	char answer[RECORD_BYTES];
	fs_value values[2];
	fs_text text;
	struct fs_execute_args args = sample_args (values, &text);
	size_t length = encode_record (record, FS_PEER_EXECUTE, &args);

	world_init (&world);
	for (size_t i = 0; i < G_N_ELEMENTS (word_cases); i++)
	{
		char changed[RECORD_BYTES];
		uint32_t word = htonl (word_cases[i].value);

		g_test_message ("%s", word_cases[i].fault);
		memcpy (changed, record, length);
		memcpy (changed + word_cases[i].offset, &word, sizeof word);
		world_exchange (&world, changed, length, answer, sizeof answer);
		g_assert_cmpuint (executed, ==, 0);
	}
	assert_good_call (&world);
	world_finish (&world);
}

static void
test_random (void)
{
	struct world world;
	GRand *random = g_rand_new_with_seed (RANDOM_SEED);
	char record[RECORD_BYTES];
	char answer[RECORD_BYTES * 4];
	fs_value values[2];
	fs_text text;
	struct fs_execute_args args = sample_args (values, &text);
	size_t length = encode_record (record, FS_PEER_EXECUTE, &args);

	world_init (&world);
	for (unsigned round = 0; round < RANDOM_ROUNDS; round++)
	{
		char changed[RECORD_BYTES];

		memcpy (changed, record, length);
		if (round % 2)
		{
			for (size_t i = 0; i < length; i++)
				changed[i] = (char) g_rand_int_range (random, 0, 256);
		}
		/* The record mark mostly stays valid, so that the codec gets the changed bytes. */
		for (int changes = g_rand_int_range (random, 1, 6); changes > 0; changes--)
			changed[g_rand_int_range (random, RECORD_MARK_BYTES, (int) length)] =
				(char) g_rand_int_range (random, 0, 256);
		if (round % 2 == 0 || round % 4 == 1)
			memcpy (changed, record, RECORD_MARK_BYTES);
		world_exchange (&world, changed, length, answer, sizeof answer);
	}
	g_rand_free (random);
	assert_good_call (&world);
	world_finish (&world);
}

/* Queued calls are cancelled when the calling VM closes the connection. */
static void
test_caller_disconnect (void)
{
	struct world world;
	char record[RECORD_BYTES];
	fs_value values[2];
	fs_text text;
	struct fs_execute_args args = sample_args (values, &text);
	size_t length = encode_record (record, FS_PEER_EXECUTE, &args);
	int fd;

	world_init (&world);
	world.holds_calls = true;
	fd = world_connect (&world);
	g_assert_cmpint (send (fd, record, length, MSG_NOSIGNAL), ==, (ssize_t) length);
	while (!held)
		loop_step (&world.loop, 10 * US_PER_MS);
	g_assert_cmpuint (peer_listener_in_flight (&world.listener), ==, 1);
	close (fd);
	while (held)
		loop_step (&world.loop, 10 * US_PER_MS);
	g_assert_cmpuint (peer_listener_in_flight (&world.listener), ==, 0);
	world_finish (&world);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/peer_listener/fragments", test_fragments);
	g_test_add_func ("/peer_listener/truncated", test_truncated);
	g_test_add_func ("/peer_listener/words", test_malformed_words);
	g_test_add_func ("/peer_listener/random", test_random);
	g_test_add_func ("/peer_listener/closed", test_caller_disconnect);
	return g_test_run ();
}
