/**
 * @file
 * RPC client of the operator commands, on libtirpc's client.
 */
#pragma once

#include <glib.h>
#include <netinet/in.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

/** Options that every command has. */
struct client_options
{
	char *control; /**< Comma-separated control addresses IP:PORT, tried in order. */
	gboolean json;
	gint timeout_ms;
};

struct client
{
	CLIENT *rpc;
	struct timeval timeout;
	char address[32];
};

/**
 * Parses the flags of a command: the common ones and those in @p entries (may be NULL).
 * @param arguments receives the rest of the command line; free with g_strfreev().
 * @return 0, or the exit code for the command.
 */
int client_options_parse (struct client_options *options, int argc, char **argv, const char *usage,
                          const GOptionEntry *entries, char ***arguments);

/** Reports arguments beyond the first @p max, which would otherwise be ignored.
 * @return EXIT_CODE_OK or EXIT_CODE_USAGE. */
int client_check_arguments (char **arguments, unsigned max);

void client_options_finish (struct client_options *options);

/** Parses IP:PORT. @return whether @p text is one. */
bool client_parse_address (const char *text, struct sockaddr_in *address);

/** Connects to the first VM that answers. @return 0, or -EHOSTUNREACH with a message on stderr. */
int client_init (struct client *client, const struct client_options *options, uint32_t program);
void client_finish (struct client *client);

/** Calls a procedure and decodes its result. @return 0, or -EIO with a message on standard error. */
int client_call (struct client *client, uint32_t procedure, xdrproc_t encode, const void *args,
                 xdrproc_t decode, void *result);

/** Prints a JSON string with its quotes. */
void client_print_json_text (const char *text);
