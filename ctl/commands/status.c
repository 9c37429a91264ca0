#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"
#include "protocols/operator.h"

#include <stdio.h>

static const char *
state_name (int state)
{
	static const char *const names[] = { "alive", "suspect", "leaving", "dead" };

	return state >= 0 && state < (int) G_N_ELEMENTS (names) ? names[state] : "?";
}

static void
print_table (const struct fs_status_result *status)
{
	printf ("vm %u: phase %s, configuration %llu, platform %s%s\n\n", status->self, status->phase,
	        (unsigned long long) status->config_revision,
	        status->platform_ok ? "reached" : "not reached",
	        status->is_watcher ? ", watches it" : "");
	printf ("%-10s %-8s %-8s %-22s %-14s %s\n", "VM", "ZONE", "STATE", "CONTROL", "CONFIGURATION",
	        "RTT_US");
	for (u_int i = 0; i < status->members.members_len; i++)
	{
		const struct fs_member_row *row = &status->members.members_val[i];

		printf ("%-10u %-8s %-8s %-22s %-14llu %u\n", row->id, row->zone, state_name (row->state),
		        row->address, (unsigned long long) row->config_revision, row->rtt_us);
	}
	printf ("\n%-20s %-22s %-8s %-8s %-8s %s\n", "SERVER", "ADDRESS", "ROLE", "TERM", "OWNER",
	        "STANDBY");
	for (u_int i = 0; i < status->servers.servers_len; i++)
	{
		const struct fs_server_row *row = &status->servers.servers_val[i];
		char name[FS_OPERATOR_MAX_NAME + 16];

		snprintf (name, sizeof name, "%s/%u", row->database, row->server);
		printf ("%-20s %-22s %-8s %-8llu %-8u %u%s\n", name, row->address,
		        row->is_primary ? "primary" : "replica", (unsigned long long) row->term, row->owner,
		        row->standby, row->is_leaving ? " leaving" : "");
	}
}

static void
print_json_members (const struct fs_status_result *status)
{
	for (u_int i = 0; i < status->members.members_len; i++)
	{
		const struct fs_member_row *row = &status->members.members_val[i];

		printf (
			"%s{\"vm\":%u,\"zone\":\"%s\",\"state\":\"%s\",\"control\":\"%s\",\"config_revision\":%llu,"
			"\"rtt_us\":%u}",
			i ? "," : "", row->id, row->zone, state_name (row->state), row->address,
			(unsigned long long) row->config_revision, row->rtt_us);
	}
}

static void
print_json_servers (const struct fs_status_result *status)
{
	for (u_int i = 0; i < status->servers.servers_len; i++)
	{
		const struct fs_server_row *row = &status->servers.servers_val[i];

		printf (
			"%s{\"database\":\"%s\",\"server\":%u,\"address\":\"%s\",\"role\":\"%s\",\"leaving\":%s,"
			"\"term\":%llu,\"owner\":%u,\"standby\":%u}",
			i ? "," : "", row->database, row->server, row->address,
			row->is_primary ? "primary" : "replica", row->is_leaving ? "true" : "false",
			(unsigned long long) row->term, row->owner, row->standby);
	}
}

static void
print_json (const struct fs_status_result *status)
{
	printf (
		"{\"vm\":%u,\"phase\":\"%s\",\"config_revision\":%llu,\"platform_reached\":%s,\"watcher\":%s,"
		"\"members\":[",
		status->self, status->phase, (unsigned long long) status->config_revision,
		status->platform_ok ? "true" : "false", status->is_watcher ? "true" : "false");
	print_json_members (status);
	printf ("],\"servers\":[");
	print_json_servers (status);
	printf ("]}\n");
}

static int
status_call (const struct client_options *options)
{
	struct fs_status_result status = { 0 };
	struct client client;
	int code = EXIT_CODE_FAILED;

	if (client_init (&client, options, FS_OPERATOR_PROGRAM) < 0)
		return EXIT_CODE_UNREACHABLE;
	if (client_call (&client, FS_OPERATOR_STATUS, (xdrproc_t) xdr_void, NULL,
	                 (xdrproc_t) xdr_fs_status_result, &status) == 0)
	{
		if (options->json)
			print_json (&status);
		else
			print_table (&status);
		code = EXIT_CODE_OK;
	}
	xdr_free ((xdrproc_t) xdr_fs_status_result, &status);
	client_finish (&client);
	return code;
}

int
cmd_status (int argc, char **argv)
{
	struct client_options options;
	char **arguments;
	int code = client_options_parse (
		&options, argc, argv, "- print members, servers, owners and primaries as seen by a VM",
		NULL, &arguments);

	if (code == EXIT_CODE_OK)
		code = client_check_arguments (arguments, 0);
	if (code == EXIT_CODE_OK)
		code = status_call (&options);
	g_strfreev (arguments);
	client_options_finish (&options);
	return code;
}
