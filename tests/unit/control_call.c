/* Guards against the answer to another call that is taken for the answer to a call of the control
 * thread, such as the state of the fleet or another VM's opinion on a primary. */
#include "flamingospring/control_private.h"

#include "common/clock.h"
#include "fixture.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	WAIT_LIMIT_US = 5 * US_PER_S,
};

struct fixture_server
{
	struct loop *loop;
	struct loop_source source;
	struct rpc_connection connection;
	bool answers_call; /* After the answer to another xid. */
};

static unsigned results;
static int last_status;
static uint64_t last_revision;

static bool
handle_call (struct rpc_connection *connection, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *args)
{
	const struct fixture_server *server = connection->data;
	uint64_t other = 5;
	uint64_t own = 7;

	rpc_connection_reply (connection, xid + 1, (xdrproc_t) xdr_uint64_t, &other);
	if (server->answers_call)
		rpc_connection_reply (connection, xid, (xdrproc_t) xdr_uint64_t, &own);
	return true;
}

static void
handle_closed (struct rpc_connection *connection, int error)
{
	rpc_connection_finish (connection);
}

static const struct rpc_connection_ops server_ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

static void
handle_accept (struct loop_source *source, uint32_t epoll_events)
{
	struct fixture_server *server = source->data;

	rpc_connection_init (&server->connection, server->loop, &server_ops, server,
	                     accept4 (source->fd, NULL, NULL, SOCK_NONBLOCK));
}

static void
handle_result (struct control *control, void *data, int status, void *result)
{
	results++;
	last_status = status;
	last_revision = result ? *(uint64_t *) result : 0;
}

static void
run_call (bool answers_call)
{
	static struct control control;
	static struct settings settings;
	struct fixture_server server = { .loop = &control.loop, .answers_call = answers_call };
	uint16_t port = fixture_port ();
	const struct control_call_request request = {
		.ip = INADDR_LOOPBACK,
		.port = port,
		.program = FS_PEER_PROGRAM,
		.procedure = FS_PEER_STATE_PULL,
		.encode = (xdrproc_t) xdr_void,
		.decode = (xdrproc_t) xdr_uint64_t,
		.result_size = sizeof (uint64_t),
		.handle = handle_result,
	};
	int64_t end_us = clock_now_us () + WAIT_LIMIT_US;

	memset (&control, 0, sizeof control);
	control.settings = &settings;
	loop_init (&control.loop);
	server.source.fd = rpc_listen (INADDR_LOOPBACK, port);
	server.source.data = &server;
	server.source.handle_ready = handle_accept;
	loop_set_source (&control.loop, &server.source, EPOLLIN);
	server.connection.source.fd = -1;
	results = 0;
	g_assert_cmpint (control_call_start (&control, &request), ==, 0);
	while (results == 0 && clock_now_us () < end_us)
		loop_step (&control.loop, US_PER_MS);
	g_assert_cmpuint (results, ==, 1);
	control_calls_finish (&control);
	rpc_connection_finish (&server.connection);
	loop_remove_source (&control.loop, &server.source);
	close (server.source.fd);
	loop_finish (&control.loop);
}

static void
test_other_xid (void)
{
	run_call (true);
	g_assert_cmpint (last_status, ==, 0);
	g_assert_cmpuint (last_revision, ==, 7);
	run_call (false);
	g_assert_cmpint (last_status, ==, -ETIMEDOUT);
}

/* Guards against memory of malformed arguments that is not freed, which the sanitizers report. */
static void
test_malformed_args (void)
{
	static const uint32_t procedures[] = { FS_OPERATOR_APPLY, FS_OPERATOR_GET, FS_OPERATOR_DRAIN,
		                                   FS_OPERATOR_PROMOTE };
	static const char bytes[] = "\0\0\0\3a\0b\0\0\0\0";
	static struct control control;
	struct rpc_connection connection;
	int sockets[2];

	loop_init (&control.loop);
	g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), ==, 0);
	rpc_connection_init (&connection, &control.loop, &server_ops, NULL, sockets[0]);
	for (size_t i = 0; i < G_N_ELEMENTS (procedures); i++)
	{
		char reply[256];
		XDR xdrs;

		xdrmem_create (&xdrs, (char *) bytes, sizeof bytes - 1, XDR_DECODE);
		g_assert_true (
			control_operator_handle_call (&control, &connection, 1, procedures[i], &xdrs));
		g_assert_cmpint (recv (sockets[1], reply, sizeof reply, 0), ==, 28);
		/* The last word of the reply is its state. */
		g_assert_cmpint (reply[27], ==, GARBAGE_ARGS);
	}
	rpc_connection_finish (&connection);
	close (sockets[1]);
	loop_finish (&control.loop);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/control_call/other_xid", test_other_xid);
	g_test_add_func ("/control_call/malformed_args", test_malformed_args);
	return g_test_run ();
}
