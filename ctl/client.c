#include "ctl/client.h"

#include "ctl/commands.h"
#include "protocols/operator.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	CLIENT_DEFAULT_TIMEOUT_MS = 10000,
};

int
client_options_parse (struct client_options *options, int argc, char **argv, const char *usage,
                      const GOptionEntry *entries, char ***arguments)
{
	const GOptionEntry common[] = {
		{ "control", 'c', 0, G_OPTION_ARG_STRING, &options->control,
		  "control addresses of VMs, tried in order (FLAMINGOSPRING_CONTROL)", "IP:PORT,..." },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &options->json, "print JSON", NULL },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &options->timeout_ms, "time limit of one call",
		  "N" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new (usage);
	GError *error = NULL;
	int result = 0;

	(void) argc;
	memset (options, 0, sizeof *options);
	options->timeout_ms = CLIENT_DEFAULT_TIMEOUT_MS;
	*arguments = g_strdupv (argv);
	g_option_context_add_main_entries (context, common, NULL);
	if (entries)
		g_option_context_add_main_entries (context, entries, NULL);
	if (!g_option_context_parse_strv (context, arguments, &error))
	{
		fprintf (stderr, "flamingospring %s: %s\n", argv[0], error->message);
		g_error_free (error);
		result = EXIT_CODE_USAGE;
	}
	else if (options->timeout_ms < 1)
	{
		fprintf (stderr, "flamingospring %s: --timeout-ms must be above 0\n", argv[0]);
		result = EXIT_CODE_USAGE;
	}
	if (!options->control)
		options->control = g_strdup (g_getenv ("FLAMINGOSPRING_CONTROL"));
	if (!options->control)
		options->control = g_strdup ("127.0.0.1:7002");
	g_option_context_free (context);
	return result;
}

int
client_check_arguments (char **arguments, unsigned max)
{
	if (g_strv_length (arguments) <= max + 1)
		return EXIT_CODE_OK;
	fprintf (stderr, "flamingospring %s: unexpected argument \"%s\"\n", arguments[0],
	         arguments[max + 1]);
	return EXIT_CODE_USAGE;
}

void
client_options_finish (struct client_options *options)
{
	g_free (options->control);
	options->control = NULL;
}

bool
client_parse_address (const char *text, struct sockaddr_in *address)
{
	char **parts = g_strsplit (text, ":", 2);
	guint64 port;
	bool is_valid = parts[0] && parts[1] &&
	                inet_pton (AF_INET, parts[0], &address->sin_addr) == 1 &&
	                g_ascii_string_to_unsigned (parts[1], 10, 1, 65535, &port, NULL);

	address->sin_family = AF_INET;
	if (is_valid)
		address->sin_port = htons ((uint16_t) port);
	g_strfreev (parts);
	return is_valid;
}

/** Connects with a timeout; libtirpc alone would wait for minutes. */
static int
connect_with_timeout (const struct sockaddr_in *address, int timeout_ms)
{
	struct pollfd ready = { .events = POLLOUT };
	int error = 0;
	socklen_t length = sizeof error;

	ready.fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (ready.fd < 0)
		return -errno;
	if (connect (ready.fd, (const struct sockaddr *) address, sizeof *address) < 0 &&
	    errno != EINPROGRESS)
		goto fail;
	if (poll (&ready, 1, timeout_ms) != 1)
		goto fail;
	if (getsockopt (ready.fd, SOL_SOCKET, SO_ERROR, &error, &length) < 0 || error)
		goto fail;
	if (fcntl (ready.fd, F_SETFL, 0) < 0)
		goto fail;
	return ready.fd;

fail:
	close (ready.fd);
	return -EHOSTUNREACH;
}

static int
client_connect (struct client *client, const struct sockaddr_in *address, int timeout_ms,
                uint32_t program)
{
	struct netbuf buffer = { .buf = (void *) address,
		                     .len = sizeof *address,
		                     .maxlen = sizeof *address };
	int fd = connect_with_timeout (address, timeout_ms);

	if (fd < 0)
		return fd;
	client->rpc = clnt_vc_create (fd, &buffer, program, 1, 0, 0);
	if (!client->rpc)
	{
		close (fd);
		return -EHOSTUNREACH;
	}
	clnt_control (client->rpc, CLSET_FD_CLOSE, NULL);
	return 0;
}

int
client_init (struct client *client, const struct client_options *options, uint32_t program)
{
	char **addresses = g_strsplit (options->control, ",", -1);
	int result = -EHOSTUNREACH;

	memset (client, 0, sizeof *client);
	client->timeout.tv_sec = options->timeout_ms / 1000;
	client->timeout.tv_usec = options->timeout_ms % 1000 * 1000;
	for (size_t i = 0; addresses[i] && result < 0; i++)
	{
		struct sockaddr_in address = { 0 };

		if (!client_parse_address (addresses[i], &address))
			fprintf (stderr, "flamingospring: \"%s\" is not IP:PORT\n", addresses[i]);
		else if (client_connect (client, &address, options->timeout_ms, program) < 0)
			fprintf (stderr, "flamingospring: no answer from %s\n", addresses[i]);
		else
		{
			g_strlcpy (client->address, addresses[i], sizeof client->address);
			result = 0;
		}
	}
	g_strfreev (addresses);
	return result;
}

void
client_finish (struct client *client)
{
	if (client->rpc)
		clnt_destroy (client->rpc);
	client->rpc = NULL;
}

int
client_call (struct client *client, uint32_t procedure, xdrproc_t encode, const void *args,
             xdrproc_t decode, void *result)
{
	enum clnt_stat status = clnt_call (client->rpc, procedure, encode, (char *) args, decode,
	                                   (char *) result, client->timeout);

	if (status == RPC_SUCCESS)
		return 0;
	fprintf (stderr, "flamingospring: %s: %s\n", client->address, clnt_sperrno (status));
	return -EIO;
}

void
client_print_json_text (const char *text)
{
	JsonNode *node = json_node_new (JSON_NODE_VALUE);
	char *quoted;

	json_node_set_string (node, text);
	quoted = json_to_string (node, FALSE);
	fputs (quoted, stdout);
	g_free (quoted);
	json_node_unref (node);
}
