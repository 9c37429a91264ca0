/* Guards against a listener that exceeds its connection limit, or that resolves the handle of a closed
 * connection to a newer one. */
#include "common/rpc_listener.h"

#include "common/clock.h"
#include "free_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	LIMIT = 2,
	STEP_US = 1000,
	WAIT_LIMIT_US = 5 * US_PER_S,
};

struct fixture
{
	struct loop loop;
	struct rpc_listener listener;
	uint16_t port;
	unsigned closed;
};

static bool
handle_call (struct rpc_accepted *accepted, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *args)
{
	return false;
}

static void
handle_closed (struct rpc_accepted *accepted)
{
	struct fixture *fixture = accepted->listener->data;

	fixture->closed++;
}

static const struct rpc_listener_ops ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

static int
fixture_connect (const struct fixture *fixture)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
		                           .sin_port = htons (fixture->port) };
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	return fd;
}

/* Runs the loop until the table has @p count connections. */
static void
fixture_wait (struct fixture *fixture, uint32_t count)
{
	int64_t limit_us = clock_now_us () + WAIT_LIMIT_US;

	while (handle_table_count (&fixture->listener.connections) != count &&
	       clock_now_us () < limit_us)
		loop_step (&fixture->loop, STEP_US);
	g_assert_cmpuint (handle_table_count (&fixture->listener.connections), ==, count);
}

static void
test_limit (void)
{
	struct fixture fixture = { .port = free_port () };
	const struct rpc_listener_settings settings = {
		.name = "test",
		.connection_bytes = sizeof (struct rpc_accepted),
		.max_connections = LIMIT,
		.ip = INADDR_LOOPBACK,
		.port = fixture.port,
	};
	int clients[LIMIT + 1];
	uint32_t first;
	char byte;

	loop_init (&fixture.loop);
	g_assert_cmpint (
		rpc_listener_init (&fixture.listener, &fixture.loop, &ops, &fixture, &settings), ==, 0);
	clients[0] = fixture_connect (&fixture);
	fixture_wait (&fixture, 1);
	first = handle_table_next (&fixture.listener.connections, HANDLE_NONE);
	clients[1] = fixture_connect (&fixture);
	fixture_wait (&fixture, LIMIT);
	clients[LIMIT] = fixture_connect (&fixture);
	for (int i = 0; i < 20; i++)
		loop_step (&fixture.loop, STEP_US);
	g_assert_cmpint (recv (clients[LIMIT], &byte, 1, 0), ==, 0);

	/* The table entry of a closed connection is reused, but not its handle. */
	close (clients[0]);
	fixture_wait (&fixture, LIMIT - 1);
	g_assert_null (rpc_listener_find (&fixture.listener, first));
	clients[0] = fixture_connect (&fixture);
	fixture_wait (&fixture, LIMIT);
	g_assert_null (rpc_listener_find (&fixture.listener, first));
	rpc_listener_finish (&fixture.listener);
	g_assert_cmpuint (fixture.closed, ==, LIMIT + 1);
	loop_finish (&fixture.loop);
	for (int i = 0; i <= LIMIT; i++)
		close (clients[i]);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/rpc_listener/limit", test_limit);
	return g_test_run ();
}
