#include "flamingospring/http.h"

#include "common/clock.h"
#include "common/http_head.h"
#include "common/log.h"
#include "common/rpc.h"
#include "flamingospring/http_message.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
	HTTP_IDLE_TIMEOUT_S = 75,
	/* Resident memory of each idle connection, since libmicrohttpd clears the pool after a request.
	 * Holds 4 KB of request headers and the largest tokens of the request and its answer, 1.5 KB
	 * each. */
	HTTP_CONNECTION_MEMORY_BYTES = 8 * 1024,
	HTTP_BODY_INITIAL_BYTES = 1024,
};

/** One HTTP request. */
struct http_request
{
	struct http_server *server;
	struct MHD_Connection *connection;
	struct http_request *previous;
	struct http_request *next;
	GString *body;
	struct MHD_Response *response; /**< NULL until the request is answered. */
	unsigned status;
	uint32_t entry_handle;
	struct loop_source socket_source; /**< Detects that the caller closes the connection. */
	bool is_started;
	bool is_suspended;
	bool is_too_large;
};

static const char session_header[] = "Flamingospring-Session";

static void
request_suspend (struct http_request *request)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct http_server *server = request->server;

	MHD_suspend_connection (request->connection);
	request->is_suspended = true;
	request->next = server->suspended;
	if (server->suspended)
		server->suspended->previous = request;
	server->suspended = request;
	/* libmicrohttpd does not poll the socket of a suspended connection. */
	request->socket_source.fd = info->connect_fd;
	loop_set_source (server->loop, &request->socket_source, EPOLLRDHUP);
}

static void
request_resume (struct http_request *request)
{
	struct http_server *server = request->server;

	if (!request->is_suspended)
		return;
	request->is_suspended = false;
	if (request->next)
		request->next->previous = request->previous;
	if (request->previous)
		request->previous->next = request->next;
	else
		server->suspended = request->next;
	loop_remove_source (server->loop, &request->socket_source);
	MHD_resume_connection (request->connection);
	/* With an external event loop, libmicrohttpd resumes the connection in the next MHD_run(). */
	server->has_resumed = true;
	loop_set_timer (server->loop, &server->timer, clock_now_us ());
}

/** Prepares the response. @p status 0 selects the status code of the outcome. */
static void
request_set_answer (struct http_request *request, unsigned status,
                    const struct entry_answer *answer)
{
	size_t length;
	char *text = http_answer_format (answer, &length);
	struct MHD_Response *response =
		MHD_create_response_from_buffer_with_free_callback (length, text, g_free);

	request->status = status ? status : http_answer_status (answer);
	request->response = response;
	MHD_add_response_header (response, "Content-Type", "application/json");
	if (answer->token)
		MHD_add_response_header (response, session_header, answer->token);
	if (answer->traceparent)
		MHD_add_response_header (response, "traceparent", answer->traceparent);
	if (request->server->closes_connections)
		MHD_add_response_header (response, "Connection", "close");
}

static void
request_set_problem (struct http_request *request, unsigned status, const char *message)
{
	struct entry_answer answer = {
		.outcome = OUTCOME_FAILED,
		.reason = REASON_BAD_REQUEST,
		.message = message,
	};

	request_set_answer (request, status, &answer);
}

static void
handle_entry_done (void *data, const struct entry_answer *answer)
{
	struct http_request *request = data;

	request->entry_handle = HANDLE_NONE;
	request_set_answer (request, 0, answer);
	request_resume (request);
}

/** Cancels the entry of a suspended request and answers it with an unknown outcome. */
static void
request_abandon (struct http_request *request, const char *message)
{
	struct entry_answer answer = {
		.outcome = OUTCOME_UNKNOWN,
		.reason = REASON_CONNECTION_LOST,
		.message = message,
	};

	entry_cancel (request->server->entries, request->entry_handle);
	request->entry_handle = HANDLE_NONE;
	request_set_answer (request, 0, &answer);
	request_resume (request);
}

/** Handles a connection that the caller has closed or that broke. A caller that only shuts down its
 * sending side cannot be distinguished from one that has left, and is treated as disconnected. */
static void
handle_caller_closed (struct loop_source *source, uint32_t epoll_events)
{
	(void) epoll_events;
	request_abandon (source->data, "the caller closed the connection");
}

static char *
header_copy (struct MHD_Connection *connection, const char *name)
{
	const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);

	return value && value[0] ? g_strdup (value) : NULL;
}

static void
request_set_health (struct http_request *request)
{
	/* Reports "stopping" from the beginning of a planned stop, so that a load balancer sends new
	 * callers elsewhere while this VM still accepts them. */
	bool is_serving = !request->server->closes_connections;
	struct entry_answer answer = {
		.outcome = is_serving ? OUTCOME_DONE : OUTCOME_REFUSED,
		.reason = is_serving ? REASON_NONE : REASON_LEAVING,
		.message = is_serving ? "serving" : "stopping",
	};

	request_set_answer (request, 0, &answer);
}

static void
request_start_entry (struct http_request *request, struct entry_call *call)
{
	const char *problem;

	if (http_body_parse (request->body->str, request->body->len, call, &problem) < 0)
	{
		request_set_problem (request, MHD_HTTP_BAD_REQUEST, problem);
		entry_call_free (call);
		return;
	}
	call->token = header_copy (request->connection, session_header);
	call->traceparent = header_copy (request->connection, "traceparent");
	request->entry_handle =
		entry_start (request->server->entries, call, handle_entry_done, request);
}

/** Refuses a request that other receivers may read differently, and closes its connection, since it is not known where
 * the next request begins. */
static enum MHD_Result
request_refuse_head (struct http_request *request)
{
	request->is_started = true;
	request_set_problem (request, MHD_HTTP_BAD_REQUEST, "the head of the request is ambiguous");
	MHD_add_response_header (request->response, "Connection", "close");
	return MHD_queue_response (request->connection, request->status, request->response);
}

/** Answers a completely received request, or passes it to the entry. */
static void
request_start (struct http_request *request, const char *path, const char *method)
{
	struct entry_call *call = entry_call_new ();
	enum http_route route = http_path_parse (path, call);
	const char *expected_method =
		route == HTTP_ROUTE_HEALTH ? MHD_HTTP_METHOD_GET : MHD_HTTP_METHOD_POST;

	request->is_started = true;
	if (request->is_too_large)
		request_set_problem (request, MHD_HTTP_CONTENT_TOO_LARGE, "the body is too large");
	else if (route == HTTP_ROUTE_NONE)
		request_set_problem (request, MHD_HTTP_NOT_FOUND, "there is no such path");
	else if (strcmp (method, expected_method) != 0)
		request_set_problem (request, MHD_HTTP_METHOD_NOT_ALLOWED, "wrong method for this path");
	else if (route == HTTP_ROUTE_HEALTH)
		request_set_health (request);
	else
	{
		request_start_entry (request, call);
		return;
	}
	entry_call_free (call);
}

/** Leaves the path as it was sent, since a decoded zero byte would end it. */
static size_t
keep_escapes (void *data, struct MHD_Connection *connection, char *text)
{
	(void) data;
	(void) connection;
	return strlen (text);
}

static struct http_request *
request_new (struct http_server *server, struct MHD_Connection *connection)
{
	struct http_request *request = calloc (1, sizeof *request);

	if (!request)
		return NULL;
	request->server = server;
	request->connection = connection;
	request->body = g_string_sized_new (HTTP_BODY_INITIAL_BYTES);
	request->socket_source.handle_ready = handle_caller_closed;
	request->socket_source.data = request;
	server->in_flight++;
	return request;
}

static void
request_append_body (struct http_request *request, const char *data, size_t length)
{
	if (request->is_too_large || length > request->server->max_body_bytes - request->body->len)
	{
		request->is_too_large = true;
		return;
	}
	g_string_append_len (request->body, data, (gssize) length);
}

static enum MHD_Result
handle_access (void *data, struct MHD_Connection *connection, const char *path, const char *method,
               const char *version, const char *upload, size_t *upload_length, void **context)
{
	struct http_request *request = *context;

	(void) version;
	if (!request)
	{
		request = request_new (data, connection);
		*context = request;
		if (!request)
			return MHD_NO;
		return http_head_is_valid (connection) ? MHD_YES : request_refuse_head (request);
	}
	if (*upload_length > 0)
	{
		request_append_body (request, upload, *upload_length);
		*upload_length = 0;
		return MHD_YES;
	}
	if (!request->is_started)
		request_start (request, path, method);
	if (request->response)
		return MHD_queue_response (connection, request->status, request->response);
	request_suspend (request);
	return MHD_YES;
}

static void
handle_completed (void *data, struct MHD_Connection *connection, void **context,
                  enum MHD_RequestTerminationCode code)
{
	struct http_request *request = *context;

	(void) data;
	(void) connection;
	(void) code;
	if (!request)
		return;
	*context = NULL;
	if (request->entry_handle != HANDLE_NONE)
		entry_cancel (request->server->entries, request->entry_handle);
	if (request->response)
		MHD_destroy_response (request->response);
	g_string_free (request->body, TRUE);
	request->server->in_flight--;
	free (request);
}

static void
server_run (struct http_server *server)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	server->has_resumed = false;
	MHD_run (server->daemon);
	if (server->has_resumed)
		loop_set_timer (server->loop, &server->timer, clock_now_us ());
	else if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES)
		loop_set_timer (server->loop, &server->timer,
		                clock_now_us () + (int64_t) timeout_ms * US_PER_MS);
	else
		loop_cancel_timer (server->loop, &server->timer);
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	(void) epoll_events;
	server_run (source->data);
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	server_run (timer->data);
}

int
http_server_init (struct http_server *server, struct loop *loop, struct entry_set *entries,
                  const struct http_settings *settings)
{
	const union MHD_DaemonInfo *info;
	int fd;
	int result;

	memset (server, 0, sizeof *server);
	server->loop = loop;
	server->entries = entries;
	server->max_body_bytes = settings->max_body_bytes;
	server->source.handle_ready = handle_ready;
	server->source.data = server;
	server->timer.handle_timer = handle_timer;
	server->timer.data = server;
	fd = rpc_listen (settings->ip, settings->port);
	if (fd < 0)
		return fd;
	server->daemon = MHD_start_daemon (
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_access, server,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT, settings->max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned) HTTP_IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) HTTP_CONNECTION_MEMORY_BYTES,
		MHD_OPTION_NOTIFY_COMPLETED, handle_completed, server, MHD_OPTION_UNESCAPE_CALLBACK,
		keep_escapes, NULL, MHD_OPTION_END);
	if (!server->daemon)
	{
		close (fd);
		return -EIO;
	}
	info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->source.fd = info->epoll_fd;
	result = loop_set_source (loop, &server->source, EPOLLIN);
	if (result < 0)
		http_server_finish (server);
	return result;
}

void
http_server_finish (struct http_server *server)
{
	if (!server->daemon)
		return;
	/* libmicrohttpd aborts when it is stopped with suspended connections. */
	while (server->suspended)
		request_abandon (server->suspended, "this VM stops");
	MHD_run (server->daemon);
	loop_cancel_timer (server->loop, &server->timer);
	loop_remove_source (server->loop, &server->source);
	MHD_stop_daemon (server->daemon);
	server->daemon = NULL;
}

void
http_server_set_leaving (struct http_server *server, bool is_leaving, bool refuses_connections)
{
	server->closes_connections = is_leaving;
	if (!refuses_connections || server->refuses_connections)
		return;
	server->refuses_connections = true;
	/* Accepts the connections in the backlog first, since closing the listener resets them. */
	server_run (server);
	close (MHD_quiesce_daemon (server->daemon));
	log_event (LOG_LEVEL_INFO, "listener_closed", "in_flight=%u", server->in_flight);
}

uint32_t
http_server_in_flight (const struct http_server *server)
{
	return server->in_flight;
}
