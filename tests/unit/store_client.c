/* Guards against a response on a kept connection that is taken for the response to another request: a
 * repeated one, or one that is longer or shorter than it states. */
#include "common/clock.h"
#include "common/http_client.h"
#include "common/rpc.h"
#include "free_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	REQUESTS = 4,
	MAX_CONNECTIONS = 16,
	REPEAT_DELAY_US = 20 * US_PER_MS,
	WAIT_LIMIT_US = 5 * US_PER_S,
};

enum fault
{
	FAULT_NONE,
	FAULT_REPEAT,
	FAULT_REPEAT_LATE,
	FAULT_INFORMATION, /* A 1xx response comes first. */
	FAULT_LONGER,      /* Bytes follow the stated length. */
	FAULT_SHORTER,     /* The connection ends before the stated length. */
};

struct server
{
	struct loop loop;
	struct loop_source listener;
	struct loop_source connections[MAX_CONNECTIONS];
	unsigned connection_count;
	struct loop_timer timer;
	char response[256];
	struct loop_source *repeat_on;
	enum fault fault;
	uint16_t port;
};

struct outcome
{
	bool is_done;
	int error;
	long status;
	char body[64];
};

static void
send_text (const struct loop_source *source, const char *text)
{
	send (source->fd, text, strlen (text), MSG_NOSIGNAL);
}

static void
handle_repeat (struct loop_timer *timer, int64_t now_us)
{
	struct server *server = timer->data;

	send_text (server->repeat_on, server->response);
}

/* Answers a request with its path. */
static void
handle_request (struct loop_source *source, uint32_t epoll_events)
{
	struct server *server = source->data;
	char request[1024];
	char path[32] = "";
	ssize_t length = recv (source->fd, request, sizeof request - 1, 0);

	if (length <= 0)
	{
		if (server->repeat_on == source)
			loop_cancel_timer (&server->loop, &server->timer);
		loop_remove_source (&server->loop, source);
		close (source->fd);
		source->fd = -1;
		return;
	}
	request[length] = 0;
	g_assert_cmpint (sscanf (request, "%*s %31s", path), ==, 1);
	g_snprintf (server->response, sizeof server->response,
	            "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
	            strlen (path) + (server->fault == FAULT_SHORTER ? 1 : 0), path);
	if (server->fault == FAULT_INFORMATION)
		send_text (source, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
	send_text (source, server->response);
	if (server->fault == FAULT_REPEAT)
		send_text (source, server->response);
	if (server->fault == FAULT_LONGER)
		send_text (source, "more");
	if (server->fault == FAULT_SHORTER)
		shutdown (source->fd, SHUT_WR);
	server->repeat_on = source;
	if (server->fault == FAULT_REPEAT_LATE)
		loop_set_timer (&server->loop, &server->timer, clock_now_us () + REPEAT_DELAY_US);
}

static void
handle_accept (struct loop_source *source, uint32_t epoll_events)
{
	struct server *server = source->data;
	struct loop_source *connection = &server->connections[server->connection_count++];

	g_assert_cmpuint (server->connection_count, <=, MAX_CONNECTIONS);
	connection->fd = accept4 (source->fd, NULL, NULL, SOCK_NONBLOCK);
	connection->data = server;
	connection->handle_ready = handle_request;
	loop_set_source (&server->loop, connection, EPOLLIN);
}

static void
server_start (struct server *server, enum fault fault)
{
	memset (server, 0, sizeof *server);
	loop_init (&server->loop);
	server->fault = fault;
	server->port = free_port ();
	server->listener.fd = rpc_listen (INADDR_LOOPBACK, server->port);
	server->listener.data = server;
	server->listener.handle_ready = handle_accept;
	server->timer.data = server;
	server->timer.handle_timer = handle_repeat;
	loop_set_source (&server->loop, &server->listener, EPOLLIN);
}

static void
server_stop (struct server *server)
{
	loop_cancel_timer (&server->loop, &server->timer);
	for (unsigned i = 0; i < server->connection_count; i++)
	{
		if (server->connections[i].fd < 0)
			continue;
		loop_remove_source (&server->loop, &server->connections[i]);
		close (server->connections[i].fd);
	}
	loop_remove_source (&server->loop, &server->listener);
	close (server->listener.fd);
	loop_finish (&server->loop);
}

static void
handle_result (void *data, const struct http_result *result)
{
	struct outcome *outcome = data;

	outcome->is_done = true;
	outcome->error = result->error;
	outcome->status = result->status;
	g_snprintf (outcome->body, sizeof outcome->body, "%.*s", (int) result->length,
	            result->body ? result->body : "");
}

static struct outcome
run_request (struct server *server, struct http_client *client, const char *path)
{
	struct outcome outcome = { 0 };
	char url[128];
	struct http_request request = { .method = "POST",
		                            .url = url,
		                            .body = "{}",
		                            .timeout_ms = 1000,
		                            .handle = handle_result,
		                            .data = &outcome };
	int64_t end_us = clock_now_us () + WAIT_LIMIT_US;

	g_snprintf (url, sizeof url, "http://127.0.0.1:%u%s", server->port, path);
	g_assert_nonnull (http_client_start (client, &request));
	while (!outcome.is_done && clock_now_us () < end_us)
		loop_step (&server->loop, US_PER_MS);
	g_assert_true (outcome.is_done);
	return outcome;
}

static void
test_responses (void)
{
	static const int64_t pauses_us[] = { 0, 2 * REPEAT_DELAY_US };

	for (enum fault fault = FAULT_NONE; fault <= FAULT_SHORTER; fault++)
	{
		for (size_t i = 0; i < G_N_ELEMENTS (pauses_us); i++)
		{
			struct server server;
			struct http_client client;

			server_start (&server, fault);
			http_client_init (&client, &server.loop, 0, 1000);
			for (unsigned number = 0; number < REQUESTS; number++)
			{
				char path[16];
				struct outcome outcome;
				int64_t end_us;

				g_snprintf (path, sizeof path, "/%u", number);
				outcome = run_request (&server, &client, path);
				g_test_message ("fault %d pause %zu request %u: %d %ld %s", fault, i, number,
				                outcome.error, outcome.status, outcome.body);
				if (outcome.error == 0)
					g_assert_cmpstr (outcome.body, ==, path);
				g_assert_cmpint (outcome.error == 0, ==, fault != FAULT_SHORTER);
				end_us = clock_now_us () + pauses_us[i];
				while (clock_now_us () < end_us)
					loop_step (&server.loop, US_PER_MS);
			}
			http_client_finish (&client);
			server_stop (&server);
		}
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/store_client/responses", test_responses);
	return g_test_run ();
}
