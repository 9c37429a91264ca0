#include "http_client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
	CLIENT_TIMEOUT_S = 20,
	READ_BYTES = 4096,
};

bool
http_client_connect (struct http_client *client, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
	struct timeval timeout = { .tv_sec = CLIENT_TIMEOUT_S };

	address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	client->fd = socket (AF_INET, SOCK_STREAM, 0);
	setsockopt (client->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
	if (connect (client->fd, (struct sockaddr *) &address, sizeof address) == 0)
		return true;
	http_client_close (client);
	return false;
}

void
http_client_close (struct http_client *client)
{
	if (client->fd >= 0)
		close (client->fd);
	client->fd = -1;
}

void
http_client_send (struct http_client *client, const char *bytes, size_t length)
{
	while (length > 0)
	{
		ssize_t sent = send (client->fd, bytes, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return;
		bytes += sent;
		length -= (size_t) sent;
	}
}

void
http_client_request (struct http_client *client, const char *method, const char *path,
                     const char *token, const char *body)
{
	char *text =
		g_strdup_printf ("%s %s HTTP/1.1\r\nHost: test\r\nContent-Length: %zu\r\n%s%s%s"
	                     "\r\n%s",
	                     method, path, strlen (body), token ? "Flamingospring-Session: " : "",
	                     token ? token : "", token ? "\r\n" : "", body);

	http_client_send (client, text, strlen (text));
	g_free (text);
}

struct http_reply
http_client_read (struct http_client *client)
{
	struct http_reply reply = { 0 };
	GString *text = g_string_new (NULL);
	size_t expected_length = SIZE_MAX;

	while (text->len < expected_length)
	{
		char bytes[READ_BYTES];
		size_t max_bytes =
			expected_length - text->len < sizeof bytes ? expected_length - text->len : sizeof bytes;
		ssize_t received = recv (client->fd, bytes, max_bytes, 0);
		char *end;

		if (received <= 0)
			goto out;
		g_string_append_len (text, bytes, received);
		end = strstr (text->str, "\r\n\r\n");
		if (end && expected_length == SIZE_MAX)
		{
			struct http_reply headers = { .headers = text->str };
			char *length = http_reply_header (&headers, "Content-Length");

			expected_length =
				(size_t) (end + 4 - text->str) + (length ? strtoul (length, NULL, 10) : 0);
			g_free (length);
		}
	}
	reply.status = atoi (text->str + strlen ("HTTP/1.1 "));
	reply.body = g_strdup (strstr (text->str, "\r\n\r\n") + 4);
	reply.headers = g_strndup (text->str, text->len - strlen (reply.body));
out:
	g_string_free (text, TRUE);
	return reply;
}

struct http_reply
http_client_post (struct http_client *client, const char *path, const char *token, const char *body)
{
	http_client_request (client, "POST", path, token, body);
	return http_client_read (client);
}

void
http_reply_finish (struct http_reply *reply)
{
	g_free (reply->headers);
	g_free (reply->body);
	memset (reply, 0, sizeof *reply);
}

char *
http_reply_header (const struct http_reply *reply, const char *name)
{
	char **lines = g_strsplit (reply->headers ? reply->headers : "", "\r\n", -1);
	size_t length = strlen (name);
	char *value = NULL;

	for (size_t i = 0; lines[i] && lines[i][0]; i++)
	{
		if (g_ascii_strncasecmp (lines[i], name, length) == 0 && lines[i][length] == ':')
			value = g_strdup (g_strstrip (lines[i] + length + 1));
	}
	g_strfreev (lines);
	return value;
}

char *
http_reply_member (const struct http_reply *reply, const char *name)
{
	JsonParser *parser = json_parser_new ();
	char *value = NULL;

	if (reply->body && json_parser_load_from_data (parser, reply->body, -1, NULL))
	{
		JsonObject *object = json_node_get_object (json_parser_get_root (parser));

		if (json_object_has_member (object, name))
			value = g_strdup (json_object_get_string_member (object, name));
	}
	g_object_unref (parser);
	return value;
}
