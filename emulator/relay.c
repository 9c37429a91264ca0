/* Relay for the links between nodes that emulates partitions, delay and packet loss; docs/emulator.md lists its
 * commands. */
#include "emulator/stream.h"

#include "common/clock.h"
#include "emulator/commands.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
	MAX_NODES = 64,
	MAX_PORTS = 4,
	NODE_UNKNOWN = -1, /* Connections from unknown sources are never cut, delayed or lossy. */
	STARTUP_PROTOCOL_3 = 196608,
	STARTUP_MAX_BYTES = 1024,
	DATAGRAM_BYTES = 65536,
	RETRANSMIT_US = 200 * US_PER_MS, /* Minimum TCP retransmission timeout of Linux. */
	DRAIN_POLL_US = 5 * US_PER_MS,   /* Interval of checks whether the last bytes are sent. */
};

/* Link from one node to another. */
struct path
{
	bool is_cut;
	int64_t delay_us;
	int64_t jitter_us;
	double loss;
};

struct port
{
	struct listener listener;
	struct loop_source datagrams;
	uint32_t node;
	uint16_t number;
};

struct node
{
	char name[32];
	struct in_addr relay_ip;
	struct in_addr real_ip;
	struct port ports[MAX_PORTS];
	uint32_t port_count;
};

struct chunk
{
	int64_t due_us;
	GByteArray *bytes;
};

struct direction
{
	struct connection *connection;
	struct stream *from;
	struct stream *to;
	GQueue chunks;
	int64_t last_due_us; /* Keeps the bytes of a stream in order. */
	bool is_ended;
	struct loop_timer timer;
};

/* Bytes and the end of a cut direction are held back until the link heals, as with TCP retransmission. */
struct connection
{
	struct stream client; /* Must be first: stream_connection() casts it to the connection. */
	struct stream server;
	struct direction directions[2]; /* [0]: from the client; [1]: from the server. */
	const struct port *port;
	int source;
	bool is_source_known;
	bool is_open; /* Connected, or connecting, to the server. */
	uint32_t closed_count;
};

struct datagram
{
	struct loop_timer timer;
	int fd;
	struct sockaddr_in to;
	GByteArray *bytes;
};

static struct loop loop;
static struct node nodes[MAX_NODES];
static uint32_t node_count;
static struct path paths[MAX_NODES][MAX_NODES];
static GPtrArray *connections;
static GRand *rng;

static int
node_find_ip (struct in_addr ip)
{
	for (uint32_t i = 0; i < node_count; i++)
	{
		if (nodes[i].real_ip.s_addr == ip.s_addr)
			return (int) i;
	}
	return NODE_UNKNOWN;
}

static int
node_find_vm (const char *vm_id)
{
	char *suffix = g_strdup_printf ("/vm%s", vm_id);
	int found = NODE_UNKNOWN;

	for (uint32_t i = 0; i < node_count; i++)
	{
		if (g_str_has_suffix (nodes[i].name, suffix))
			found = (int) i;
	}
	g_free (suffix);
	return found;
}

static const struct path *
path_find (int from, int to)
{
	static const struct path none = { 0 };

	return from == NODE_UNKNOWN || to == NODE_UNKNOWN ? &none : &paths[from][to];
}

static int64_t
path_delay_us (const struct path *path)
{
	return path->delay_us + (int64_t) (g_rand_double (rng) * (double) path->jitter_us);
}

static bool
path_drops (const struct path *path)
{
	return path->loss > 0 && g_rand_double (rng) < path->loss;
}

static const struct path *
direction_path (const struct direction *direction)
{
	const struct connection *connection = direction->connection;
	int node = (int) connection->port->node;

	return direction == &connection->directions[0] ? path_find (connection->source, node)
	                                               : path_find (node, connection->source);
}

static void
chunk_free (void *data)
{
	struct chunk *chunk = data;

	g_byte_array_unref (chunk->bytes);
	g_free (chunk);
}

static void
direction_close_when_sent (struct direction *direction)
{
	if (direction->to->out->len == 0)
		stream_close (direction->to);
	else
		loop_set_timer (&loop, &direction->timer, clock_now_us () + DRAIN_POLL_US);
}

/** Forwards the chunks that are due, unless the path is cut. */
static void
direction_forward (struct direction *direction)
{
	struct chunk *chunk;

	if (!direction->connection->is_open || direction_path (direction)->is_cut)
		return;
	while ((chunk = g_queue_peek_head (&direction->chunks)))
	{
		if (chunk->due_us > clock_now_us ())
		{
			loop_set_timer (&loop, &direction->timer, chunk->due_us);
			return;
		}
		g_queue_pop_head (&direction->chunks);
		if (!direction->to->is_closed)
			g_byte_array_append (direction->to->out, chunk->bytes->data, chunk->bytes->len);
		chunk_free (chunk);
	}
	stream_flush (direction->to);
	if (direction->is_ended && !direction->to->is_closed)
		direction_close_when_sent (direction);
}

static void
handle_direction_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	direction_forward (timer->data);
}

static void
direction_enqueue (struct direction *direction)
{
	const struct path *path = direction_path (direction);
	struct chunk *chunk = g_new0 (struct chunk, 1);
	int64_t due_us = clock_now_us () + path_delay_us (path);

	if (path_drops (path))
		due_us += RETRANSMIT_US;
	direction->last_due_us = MAX (direction->last_due_us, due_us);
	chunk->due_us = direction->last_due_us;
	chunk->bytes = g_byte_array_new ();
	g_byte_array_append (chunk->bytes, direction->from->in->data, direction->from->in->len);
	stream_consume (direction->from, direction->from->in->len);
	g_queue_push_tail (&direction->chunks, chunk);
}

static struct connection *
stream_connection (struct stream *stream, struct direction **direction)
{
	struct connection *connection =
		stream->ops->handle_connected
			? (struct connection *) ((char *) stream - offsetof (struct connection, server))
			: (struct connection *) stream;

	*direction = &connection->directions[stream == &connection->server];
	return connection;
}

/** Sets the source node from the VM id in the application name of a PostgreSQL startup message. Other
 * protocols keep an unknown source.
 * @return false while the message is not complete. */
static bool
connection_read_startup (struct connection *connection)
{
	const GByteArray *in = connection->client.in;
	uint32_t header[2];

	if (in->len < sizeof header)
		return false;
	memcpy (header, in->data, sizeof header);
	connection->is_source_known = true;
	if (ntohl (header[0]) > STARTUP_MAX_BYTES || ntohl (header[1]) != STARTUP_PROTOCOL_3)
		return true;
	if (in->len < ntohl (header[0]))
		connection->is_source_known = false;
	for (guint i = sizeof header; connection->is_source_known && i < ntohl (header[0]); i++)
	{
		if (i == sizeof header || in->data[i - 1] == 0)
		{
			const char *text = (const char *) in->data + i;

			if (g_str_has_prefix (text, "flamingospring-"))
				connection->source = node_find_vm (strchr (text, '-') + 1);
		}
	}
	return connection->is_source_known;
}

static void connection_open (struct connection *connection);

static void
handle_input (struct stream *stream)
{
	struct direction *direction;
	struct connection *connection = stream_connection (stream, &direction);

	if (!connection->is_source_known && !connection_read_startup (connection))
		return;
	direction_enqueue (direction);
	connection_open (connection);
	direction_forward (direction);
}

static void
handle_connected (struct stream *stream)
{
	struct direction *direction;

	direction_forward (&stream_connection (stream, &direction)->directions[0]);
}

static void
connection_free (struct connection *connection)
{
	for (int i = 0; i < 2; i++)
	{
		loop_cancel_timer (&loop, &connection->directions[i].timer);
		g_queue_clear_full (&connection->directions[i].chunks, chunk_free);
	}
	stream_finish (&connection->client);
	if (connection->is_open)
		stream_finish (&connection->server);
	g_ptr_array_remove (connections, connection);
	g_free (connection);
}

static void
handle_closed (struct stream *stream)
{
	struct direction *direction;
	struct connection *connection = stream_connection (stream, &direction);

	connection->closed_count++;
	if (connection->closed_count == 2 || !connection->is_open)
	{
		connection_free (connection);
		return;
	}
	direction->is_ended = true;
	direction_forward (direction);
}

static const struct stream_ops client_ops = {
	.handle_input = handle_input,
	.handle_closed = handle_closed,
};

static const struct stream_ops server_ops = {
	.handle_input = handle_input,
	.handle_connected = handle_connected,
	.handle_closed = handle_closed,
};

/** Connects to the server unless a direction is cut: the TCP handshake needs both. */
static void
connection_open (struct connection *connection)
{
	const struct node *node = &nodes[connection->port->node];
	struct sockaddr_in address = { .sin_family = AF_INET,
		                           .sin_port = htons (connection->port->number),
		                           .sin_addr = node->real_ip };

	if (connection->is_open || !connection->is_source_known ||
	    direction_path (&connection->directions[0])->is_cut ||
	    direction_path (&connection->directions[1])->is_cut)
		return;
	connection->is_open = true;
	stream_connect (&connection->server, &loop, &server_ops, &address, NULL);
}

static void
handle_accept (void *owner, int fd)
{
	const struct port *port = owner;
	struct connection *connection = g_new0 (struct connection, 1);
	struct sockaddr_in address = { 0 };
	socklen_t length = sizeof address;

	getpeername (fd, (struct sockaddr *) &address, &length);
	connection->port = port;
	connection->source = node_find_ip (address.sin_addr);
	connection->is_source_known = connection->source != NODE_UNKNOWN;
	for (int i = 0; i < 2; i++)
	{
		struct direction *direction = &connection->directions[i];

		direction->connection = connection;
		direction->from = i ? &connection->server : &connection->client;
		direction->to = i ? &connection->client : &connection->server;
		direction->timer.data = direction;
		direction->timer.handle_timer = handle_direction_timer;
		g_queue_init (&direction->chunks);
	}
	g_ptr_array_add (connections, connection);
	stream_init (&connection->client, &loop, &client_ops, fd);
	connection_open (connection);
}

static void
handle_datagram_timer (struct loop_timer *timer, int64_t now_us)
{
	struct datagram *datagram = timer->data;

	(void) now_us;
	sendto (datagram->fd, datagram->bytes->data, datagram->bytes->len, 0,
	        (struct sockaddr *) &datagram->to, sizeof datagram->to);
	g_byte_array_unref (datagram->bytes);
	g_free (datagram);
}

/** Forwards a datagram from the relay socket of its source, so that the receiver sees the address that it knows
 * the source by. */
static void
datagram_forward (const struct port *port, const struct sockaddr_in *from, const guint8 *bytes,
                  guint length)
{
	int source = node_find_ip (from->sin_addr);
	const struct path *path = path_find (source, (int) port->node);
	struct datagram *datagram;

	if (source == NODE_UNKNOWN || path->is_cut || path_drops (path))
		return;
	datagram = g_new0 (struct datagram, 1);
	for (uint32_t i = 0; i < nodes[source].port_count; i++)
	{
		if (nodes[source].ports[i].number == port->number)
			datagram->fd = nodes[source].ports[i].datagrams.fd;
	}
	datagram->to = (struct sockaddr_in){ .sin_family = AF_INET,
		                                 .sin_port = htons (port->number),
		                                 .sin_addr = nodes[port->node].real_ip };
	datagram->bytes = g_byte_array_new ();
	g_byte_array_append (datagram->bytes, bytes, length);
	datagram->timer.data = datagram;
	datagram->timer.handle_timer = handle_datagram_timer;
	loop_set_timer (&loop, &datagram->timer, clock_now_us () + path_delay_us (path));
}

static void
handle_datagrams (struct loop_source *source, uint32_t epoll_events)
{
	static guint8 buffer[DATAGRAM_BYTES];
	struct sockaddr_in from = { 0 };
	socklen_t size = sizeof from;
	ssize_t length;

	(void) epoll_events;
	while ((length = recvfrom (source->fd, buffer, sizeof buffer, MSG_DONTWAIT,
	                           (struct sockaddr *) &from, &size)) >= 0)
		datagram_forward (source->data, &from, buffer, (guint) length);
}

static bool
port_listen (struct node *node, uint16_t number)
{
	struct port *port = &node->ports[node->port_count++];
	struct sockaddr_in address = { .sin_family = AF_INET,
		                           .sin_port = htons (number),
		                           .sin_addr = node->relay_ip };

	port->node = (uint32_t) (node - nodes);
	port->number = number;
	port->datagrams.fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	port->datagrams.data = port;
	port->datagrams.handle_ready = handle_datagrams;
	return bind (port->datagrams.fd, (struct sockaddr *) &address, sizeof address) == 0 &&
	       loop_set_source (&loop, &port->datagrams, EPOLLIN) == 0 &&
	       listener_init (&port->listener, &loop, &address, handle_accept, port) == 0;
}

/** Runs "node NAME RELAY_IP REAL_IP PORT...". */
static bool
command_node (char **words)
{
	struct node *node = &nodes[node_count];

	if (g_strv_length (words) < 5 || g_strv_length (words) > 4 + MAX_PORTS ||
	    node_count == MAX_NODES || inet_pton (AF_INET, words[2], &node->relay_ip) != 1 ||
	    inet_pton (AF_INET, words[3], &node->real_ip) != 1)
		return false;
	g_strlcpy (node->name, words[1], sizeof node->name);
	node_count++;
	for (char **word = words + 4; *word; word++)
	{
		if (!port_listen (node, (uint16_t) atoi (*word)))
			return false;
	}
	return true;
}

/** Sets the paths from the nodes that match the pattern words[1] to those that match words[2]. */
static bool
paths_set (char **words, const struct path *path)
{
	bool is_found = false;

	for (uint32_t from = 0; from < node_count; from++)
	{
		for (uint32_t to = 0; to < node_count; to++)
		{
			if (from == to || !g_pattern_match_simple (words[1], nodes[from].name) ||
			    !g_pattern_match_simple (words[2], nodes[to].name))
				continue;
			paths[from][to] = *path;
			is_found = true;
		}
	}
	for (guint i = 0; i < connections->len; i++)
	{
		struct connection *connection = connections->pdata[i];

		connection_open (connection);
		direction_forward (&connection->directions[0]);
		direction_forward (&connection->directions[1]);
	}
	return is_found;
}

static bool
command_run (char **words)
{
	struct path path = { 0 };
	guint count = g_strv_length (words);

	if (count > 0 && strcmp (words[0], "node") == 0)
		return command_node (words);
	if (count == 3 && strcmp (words[0], "heal") == 0)
		return paths_set (words, &path);
	path.is_cut = true;
	if (count == 3 && strcmp (words[0], "cut") == 0)
		return paths_set (words, &path);
	if (count != 6 || strcmp (words[0], "shape") != 0)
		return false;
	path = (struct path){ .delay_us = atoll (words[3]) * US_PER_MS,
		                  .jitter_us = atoll (words[4]) * US_PER_MS,
		                  .loss = atof (words[5]) / 100 };
	return paths_set (words, &path);
}

static void
handle_commands (struct loop_source *source, uint32_t epoll_events)
{
	char line[256];

	(void) epoll_events;
	(void) source;
	while (fgets (line, sizeof line, stdin))
	{
		char **words = g_strsplit (g_strstrip (line), " ", -1);
		bool is_done = command_run (words);

		printf ("%" G_GINT64_FORMAT " %s: %s\n", g_get_real_time () / US_PER_MS, line,
		        is_done ? "done" : "FAILED");
		g_strfreev (words);
	}
	if (feof (stdin))
		loop_stop (&loop);
	clearerr (stdin);
}

int
cmd_relay (int argc, char **argv)
{
	struct loop_source commands = { .fd = STDIN_FILENO, .handle_ready = handle_commands };
	GOptionContext *context =
		g_option_context_new ("- relay network links with cuts, delays and losses");
	GError *error = NULL;
	bool is_parsed = g_option_context_parse (context, &argc, &argv, &error);

	g_option_context_free (context);
	if (!is_parsed)
	{
		fprintf (stderr, "relay: %s\n", error->message);
		return EXIT_FAILURE;
	}
	setvbuf (stdout, NULL, _IOLBF, 0);
	signal (SIGPIPE, SIG_IGN);
	connections = g_ptr_array_new ();
	rng = g_rand_new_with_seed (1);
	loop_init (&loop);
	fcntl (STDIN_FILENO, F_SETFL, O_NONBLOCK);
	loop_set_source (&loop, &commands, EPOLLIN);
	return loop_run (&loop) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
