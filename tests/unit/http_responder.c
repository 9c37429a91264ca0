/* Guards against a body that the readiness and metrics pages read as the next request: a connection has one request. */
#include "common/http_responder.h"

#include "common/clock.h"
#include "free_port.h"
#include "http_client.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define REQUEST  "GET /page HTTP/1.1\r\nHost: x\r\n"
#define SMUGGLED "GET /page HTTP/1.1\r\nHost: y\r\n\r\n"

enum
{
	QUIET_US = 50 * US_PER_MS,
};

static unsigned answered;

static unsigned
answer_page (void *data, GString *body)
{
	(void) data;
	answered++;
	g_string_append (body, "page");
	return 200;
}

/** Sends a request. @return what is received until nothing comes for a while, for g_string_free(). */
static GString *
ask (struct loop *loop, uint16_t port, const char *request, size_t length)
{
	struct http_client client;
	GString *text = g_string_new (NULL);
	int64_t quiet_us = clock_now_us ();
	char bytes[4096];

	g_assert_true (http_client_connect (&client, port));
	http_client_send (&client, request, length);
	while (clock_now_us () - quiet_us < QUIET_US)
	{
		ssize_t received;

		g_assert_cmpint (loop_step (loop, US_PER_MS), ==, 0);
		received = recv (client.fd, bytes, sizeof bytes, MSG_DONTWAIT);
		if (received <= 0)
			continue;
		g_string_append_len (text, bytes, received);
		quiet_us = clock_now_us ();
	}
	http_client_close (&client);
	return text;
}

static void
test_one_request (void)
{
	static const char *const requests[] = {
		REQUEST "\r\n" SMUGGLED,
		REQUEST "Content-Length: 0\r\nContent-Length: 31\r\n\r\n" SMUGGLED,
		REQUEST "Content-Length : 31\r\n\r\n" SMUGGLED,
		REQUEST "Content-Length: 36\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" SMUGGLED,
		REQUEST "Transfer-Encoding: identity\r\n\r\n" SMUGGLED,
		REQUEST "X: a\rContent-Length: 31\r\n\r\n" SMUGGLED,
		REQUEST "X: a\r\n Content-Length: 31\r\n\r\n" SMUGGLED,
	};
	struct http_responder responder;
	struct loop loop;
	uint16_t port = free_port ();

	g_assert_cmpint (loop_init (&loop), ==, 0);
	g_assert_cmpint (
		http_responder_init (&responder, &loop, INADDR_LOOPBACK, port, "/page", answer_page, NULL),
		==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
	{
		GString *text;

		answered = 0;
		text = ask (&loop, port, requests[i], strlen (requests[i]));
		if (answered != 1 || !strstr (text->str, "\r\nConnection: close\r\n"))
			g_test_fail_printf ("%s: %u pages, %s", requests[i], answered, text->str);
		g_string_free (text, TRUE);
	}
	http_responder_finish (&responder);
	loop_finish (&loop);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/http_responder/one_request", test_one_request);
	return g_test_run ();
}
