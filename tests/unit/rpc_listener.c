/* Guards against a listener that keeps more connections than its limit, or finds a connection by the
 * handle of one that was closed before it. */
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

struct world
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
	struct world *world = accepted->listener->data;

	world->closed++;
}

static const struct rpc_listener_ops ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

static int
world_connect (const struct world *world)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
		                           .sin_port = htons (world->port) };
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint (connect (fd, (struct sockaddr *) &address, sizeof address), ==, 0);
	return fd;
}

/* Runs the loop until the table has @p count connections. */
static void
world_wait (struct world *world, uint32_t count)
{
	int64_t limit_us = clock_now_us () + WAIT_LIMIT_US;

	while (handle_table_count (&world->listener.connections) != count && clock_now_us () < limit_us)
		loop_step (&world->loop, STEP_US);
	g_assert_cmpuint (handle_table_count (&world->listener.connections), ==, count);
}

static void
test_limit (void)
{
	struct world world = { .port = free_port () };
	const struct rpc_listener_settings settings = {
		.name = "test",
		.connection_bytes = sizeof (struct rpc_accepted),
		.max_connections = LIMIT,
		.ip = INADDR_LOOPBACK,
		.port = world.port,
	};
	int clients[LIMIT + 1];
	uint32_t first;
	char byte;

	loop_init (&world.loop);
	g_assert_cmpint (rpc_listener_init (&world.listener, &world.loop, &ops, &world, &settings), ==,
	                 0);
	clients[0] = world_connect (&world);
	world_wait (&world, 1);
	first = handle_table_next (&world.listener.connections, HANDLE_NONE);
	clients[1] = world_connect (&world);
	world_wait (&world, LIMIT);
	clients[LIMIT] = world_connect (&world);
	for (int i = 0; i < 20; i++)
		loop_step (&world.loop, STEP_US);
	g_assert_cmpint (recv (clients[LIMIT], &byte, 1, 0), ==, 0);

	/* The place of a closed connection is used again, but not its handle. */
	close (clients[0]);
	world_wait (&world, LIMIT - 1);
	g_assert_null (rpc_listener_find (&world.listener, first));
	clients[0] = world_connect (&world);
	world_wait (&world, LIMIT);
	g_assert_null (rpc_listener_find (&world.listener, first));
	rpc_listener_finish (&world.listener);
	g_assert_cmpuint (world.closed, ==, LIMIT + 1);
	loop_finish (&world.loop);
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
