#include "slot_server.h"

#include "common/clock.h"
#include "common/rpc.h"
#include "free_port.h"
#include "gateway/line_stream.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
	SLOT_LINE_BYTES = 256,
	SLOT_MAX_WAITING = 16,
	SLOT_STATUS_US = 1 * US_PER_MS,
};

/** A connection, at the server. */
struct slot_link
{
	struct line_stream stream;
	struct slot_server *server;
	bool is_open; /* A transaction is open. */
	bool is_mute; /* An answer was lost, and so is what follows it. */
	bool is_gone;
	char *tenant;      /* As told by the greeting. */
	GPtrArray *writes; /* Ids of the open transaction's writes. */
};

struct slot_job
{
	struct slot_link *link;
	struct loop_timer timer;
	char *id;
	char *text;
};

static void start_jobs (struct slot_server *server);

static void
job_free (struct slot_job *job)
{
	loop_cancel_timer (job->link->server->loop, &job->timer);
	g_free (job->id);
	g_free (job->text);
	g_free (job);
}

static void
answer (struct slot_link *link, const char *lines)
{
	if (link->is_mute || link->is_gone)
		return;
	g_string_append_printf (link->stream.out, "%sREADY %c 1.%llu\r\n", lines,
	                        link->is_open ? 'T' : 'I', (unsigned long long) link->server->index);
	line_stream_flush (&link->stream);
}

static void
commit (struct slot_server *server, const char *id)
{
	int count = GPOINTER_TO_INT (g_hash_table_lookup (server->commits, id));

	g_hash_table_replace (server->commits, g_strdup (id), GINT_TO_POINTER (count + 1));
}

static void
answer_status (struct slot_link *link)
{
	struct slot_server *server = link->server;
	char lines[128];

	server->statuses++;
	/* The request itself takes a slot. */
	snprintf (lines, sizeof lines, "ROW %s 1 1.%llu 0 0 %u %u\r\nCOMPLETE -\r\n",
	          server->is_primary ? "primary" : "replica", (unsigned long long) server->index,
	          server->running, server->connections);
	answer (link, lines);
}

static void
run_job (struct slot_job *job)
{
	struct slot_link *link = job->link;
	struct slot_server *server = link->server;
	bool is_write = strstr (job->text, "WRITE ") != NULL;
	bool is_commit = strstr (job->text, "COMMIT") != NULL;
	char lines[64];

	/* A connection that is closed rolls back. */
	if (link->is_gone && (link->is_open || is_commit))
		return;
	if (is_write && link->is_open)
		g_ptr_array_add (link->writes, g_strdup (job->id));
	else if (is_write)
		commit (server, job->id);
	if (is_commit)
	{
		for (guint i = 0; i < link->writes->len; i++)
			commit (server, link->writes->pdata[i]);
		g_ptr_array_set_size (link->writes, 0);
		link->is_open = false;
	}
	server->index += is_commit || (is_write && !link->is_open);
	if (server->loses && server->loses (server->data, job->text))
		link->is_mute = true;
	snprintf (lines, sizeof lines, "%sCOMPLETE mac.%u\r\n",
	          is_write || is_commit ? "" : "ROW row\r\n", ++server->answers);
	answer (link, lines);
}

static void
handle_job_done (struct loop_timer *timer, int64_t now_us)
{
	struct slot_job *job = timer->data;
	struct slot_server *server = job->link->server;

	(void) now_us;
	if (strcmp (job->text, "STATUS") == 0)
		answer_status (job->link);
	else
		run_job (job);
	server->running--;
	g_ptr_array_remove_fast (server->jobs, job);
	job_free (job);
	start_jobs (server);
}

static void
start_jobs (struct slot_server *server)
{
	while (server->running < server->slots && server->waiting.length > 0)
	{
		struct slot_job *job = g_queue_pop_head (&server->waiting);
		bool is_status = strcmp (job->text, "STATUS") == 0;

		if (job->link->is_gone)
		{
			job_free (job);
			continue;
		}
		server->running++;
		g_ptr_array_add (server->jobs, job);
		loop_set_timer (server->loop, &job->timer,
		                clock_now_us () + (is_status ? SLOT_STATUS_US
		                                             : server->work_us (server->data, job->text)));
	}
}

static void
queue_job (struct slot_link *link, const char *id, const char *text)
{
	struct slot_server *server = link->server;
	struct slot_job *job;

	if (server->handle_statement && strcmp (id, "-") != 0)
		server->handle_statement (server->data, link->tenant, text);
	if (server->waiting.length >= SLOT_MAX_WAITING)
	{
		server->refused_busy++;
		answer (link, "ERROR BUSY slots\r\n");
		return;
	}
	job = g_new0 (struct slot_job, 1);
	job->link = link;
	job->id = g_strdup (id);
	job->text = g_strdup (text);
	job->timer.handle_timer = handle_job_done;
	job->timer.data = job;
	g_queue_push_tail (&server->waiting, job);
	start_jobs (server);
	server->max_waiting = MAX (server->max_waiting, server->waiting.length);
}

static void
run_command (struct slot_link *link, const char *text)
{
	if (g_str_has_prefix (text, "BEGIN"))
		link->is_open = true;
	if (g_str_has_prefix (text, "ROLLBACK"))
	{
		link->is_open = false;
		g_ptr_array_set_size (link->writes, 0);
	}
	if (g_str_has_prefix (text, "SET ") && link->server->loses_setup &&
	    link->server->loses (link->server->data, text))
		link->is_mute = true;
	answer (link, "COMPLETE -\r\n");
}

static void
handle_line (struct line_stream *stream, struct text line)
{
	struct slot_link *link = (struct slot_link *) stream;
	char *text = g_strndup (line.start, line.length);
	char **words = g_strsplit (text, " ", 3);
	const char *statement = words[0] && words[1] ? words[2] : NULL;

	/* A position may precede a BEGIN as well as a read. All reads of this server see all commits. */
	if (statement && g_str_has_prefix (statement, "AFTER "))
		statement = strchr (statement + strlen ("AFTER "), ' ') + 1;
	if (g_str_has_prefix (text, "START ") && statement)
	{
		g_free (link->tenant);
		link->tenant = g_strndup (statement, strcspn (statement, " "));
		answer (link, "");
	}
	else if (statement && (strcmp (words[1], "-") != 0 || strcmp (statement, "STATUS") == 0))
		queue_job (link, words[1], statement);
	else if (statement)
		run_command (link, statement);
	g_strfreev (words);
	g_free (text);
}

static void
handle_closed (struct line_stream *stream, int error)
{
	struct slot_link *link = (struct slot_link *) stream;

	(void) error;
	link->is_gone = true;
	link->server->connections--;
}

static const struct line_stream_ops link_ops = {
	.handle_line = handle_line,
	.handle_closed = handle_closed,
};

static void
handle_accept (struct loop_source *source, uint32_t epoll_events)
{
	struct slot_server *server = source->data;
	int fd;

	(void) epoll_events;
	while ((fd = rpc_accept (source->fd)) >= 0)
	{
		struct slot_link *link = g_new0 (struct slot_link, 1);

		g_assert_cmpint (
			line_stream_init (&link->stream, server->loop, &link_ops, fd, SLOT_LINE_BYTES), ==, 0);
		link->server = server;
		link->writes = g_ptr_array_new_with_free_func (g_free);
		g_ptr_array_add (server->links, link);
		server->connections++;
		if (server->connections <= server->max_connections)
			continue;
		server->refused_connections++;
		g_string_append (link->stream.out, "ERROR TOOMANY connections\r\n");
		line_stream_flush (&link->stream);
	}
}

static void
link_free (void *data)
{
	struct slot_link *link = data;

	line_stream_finish (&link->stream);
	g_ptr_array_free (link->writes, TRUE);
	g_free (link->tenant);
	g_free (link);
}

void
slot_server_init (struct slot_server *server, struct loop *loop, uint32_t slots,
                  uint32_t max_connections, bool is_primary)
{
	memset (server, 0, sizeof *server);
	server->loop = loop;
	server->slots = slots;
	server->max_connections = max_connections;
	server->is_primary = is_primary;
	server->index = 100;
	server->links = g_ptr_array_new_with_free_func (link_free);
	server->commits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init (&server->waiting);
	server->jobs = g_ptr_array_new ();
	server->port = free_port ();
	server->listener.fd = rpc_listen (INADDR_LOOPBACK, server->port);
	server->listener.handle_ready = handle_accept;
	server->listener.data = server;
	g_assert_cmpint (loop_set_source (loop, &server->listener, EPOLLIN), ==, 0);
}

void
slot_server_finish (struct slot_server *server)
{
	struct slot_job *job;

	while ((job = g_queue_pop_head (&server->waiting)))
		job_free (job);
	for (guint i = 0; i < server->jobs->len; i++)
		job_free (server->jobs->pdata[i]);
	g_ptr_array_free (server->jobs, TRUE);
	loop_remove_source (server->loop, &server->listener);
	close (server->listener.fd);
	g_ptr_array_free (server->links, TRUE);
	g_hash_table_destroy (server->commits);
}
