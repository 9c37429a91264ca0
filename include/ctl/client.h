/**
 * @file
 * Calls of an operator's command to a VM, through libtirpc's own client.
 */
#pragma once

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

/** Options that every command has. */
struct client_options
{
	char *control; /**< Control addresses IP:PORT, separated by commas; tried in turn. */
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
 * Parses the flags of a command; @p entries (may be NULL) adds its own.
 * @param arguments takes the rest of the command line; free with g_strfreev().
 * @return 0, or an exit code that the command returns.
 */
int client_parse (struct client_options *options, int argc, char **argv, const char *usage,
                  const GOptionEntry *entries, char ***arguments);

/** Reports arguments beyond @p max, which a command would ignore otherwise.
 * @return EXIT_CODE_OK or EXIT_CODE_USAGE. */
int client_check_arguments (char **arguments, unsigned max);

void client_options_finish (struct client_options *options);

/** Connects to the first VM that answers. @return 0, or -EHOSTUNREACH with a message on stderr. */
int client_init (struct client *client, const struct client_options *options, uint32_t program);
void client_finish (struct client *client);

/** Calls and decodes. @return 0, or -EIO with a message on standard error. */
int client_call (struct client *client, uint32_t procedure, xdrproc_t encode, const void *args,
                 xdrproc_t decode, void *result);

/** Prints a JSON string with its quotes. */
void client_print_json_text (const char *text);
