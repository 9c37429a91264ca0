#include "ctl/client.h"
#include "ctl/cmd.h"
#include "ctl/commands.h"

#include <curl/curl.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

enum
{
	TENANTS_MAX_ANSWER_BYTES = 16 * 1024 * 1024,
};

static const char default_gateway[] = "127.0.0.1:9464";

static size_t
handle_part (const char *data, size_t size, size_t count, void *answer)
{
	GString *text = answer;

	if (text->len + size * count > TENANTS_MAX_ANSWER_BYTES)
		return 0;
	g_string_append_len (text, data, (gssize) (size * count));
	return size * count;
}

/** Gets the page of the gateway. @return an exit code. */
static int
fetch (const char *gateway, int timeout_ms, GString *answer)
{
	char *url = g_strdup_printf ("http://%s/tenants", gateway);
	CURL *easy = curl_easy_init ();
	CURLcode result = CURLE_FAILED_INIT;
	long status = 0;
	int code = EXIT_CODE_OK;

	if (easy)
	{
		curl_easy_setopt (easy, CURLOPT_URL, url);
		curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
		curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) timeout_ms);
		curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, handle_part);
		curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
		result = curl_easy_perform (easy);
		curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_cleanup (easy);
	}
	if (result == CURLE_COULDNT_CONNECT)
	{
		fprintf (stderr, "flamingospring: no answer from %s\n", gateway);
		code = EXIT_CODE_UNREACHABLE;
	}
	else if (result != CURLE_OK)
	{
		fprintf (stderr, "flamingospring: %s: %s\n", gateway, curl_easy_strerror (result));
		code = EXIT_CODE_FAILED;
	}
	else if (status != 200)
	{
		fprintf (stderr, "flamingospring: %s: status %ld\n", gateway, status);
		code = EXIT_CODE_FAILED;
	}
	g_free (url);
	return code;
}

static long long
find_count (JsonObject *object, const char *name)
{
	return object ? json_object_get_int_member_with_default (object, name, 0) : 0;
}

static JsonObject *
find_object (JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member (object, name);

	return node && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static void
print_tenant (JsonArray *array, guint index, JsonNode *node, void *data)
{
	JsonObject *tenant = JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
	JsonObject *cap;
	JsonObject *refused;

	(void) array;
	(void) index;
	(void) data;
	if (!tenant)
		return;
	cap = find_object (tenant, "cap");
	refused = find_object (tenant, "refused");
	printf ("%-24s %4lld ", json_object_get_string_member_with_default (tenant, "name", "-"),
	        find_count (tenant, "keys"));
	if (cap)
		printf ("%8lld %8lld ", find_count (cap, "ratePerS"), find_count (cap, "burst"));
	else
		printf ("%8s %8s ", "-", "-");
	printf ("%10lld %10lld %8lld %8lld %7lld %11lld %8lld\n", find_count (tenant, "operations"),
	        find_count (refused, "overloaded"), find_count (refused, "cap"),
	        find_count (refused, "other"), find_count (tenant, "waiting"),
	        find_count (tenant, "connections"), find_count (tenant, "opened"));
}

/** @return an exit code. */
static int
print_answer (const char *gateway, const GString *answer, bool json)
{
	JsonParser *parser = json_parser_new ();
	bool is_valid = json_parser_load_from_data (parser, answer->str, (gssize) answer->len, NULL);
	JsonNode *root = is_valid ? json_parser_get_root (parser) : NULL;
	JsonNode *list = root && JSON_NODE_HOLDS_OBJECT (root)
	                     ? json_object_get_member (json_node_get_object (root), "tenants")
	                     : NULL;

	is_valid = list && JSON_NODE_HOLDS_ARRAY (list);
	if (!is_valid)
		fprintf (stderr, "flamingospring: %s: the answer is no list of tenants\n", gateway);
	else if (json)
		fwrite (answer->str, 1, answer->len, stdout);
	else
	{
		printf ("%-24s %4s %8s %8s %10s %10s %8s %8s %7s %11s %8s\n", "TENANT", "KEYS", "RATE",
		        "BURST", "OPERATIONS", "OVERLOADED", "OVER_CAP", "OTHER", "WAITING", "CONNECTIONS",
		        "OPENED");
		json_array_foreach_element (json_node_get_array (list), print_tenant, NULL);
	}
	g_object_unref (parser);
	return is_valid ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}

int
cmd_tenants (int argc, char **argv)
{
	char *gateway = NULL;
	const GOptionEntry entries[] = {
		{ "gateway", 'g', 0, G_OPTION_ARG_STRING, &gateway,
		  "metrics address of the gateway, by default 127.0.0.1:9464", "IP:PORT" },
		{ 0 },
	};
	struct client_options options;
	struct sockaddr_in address = { 0 };
	GString *answer = g_string_new (NULL);
	char **arguments;
	int code = client_options_parse (&options, argc, argv,
	                                 "- print the tenants of a gateway, their caps and counters",
	                                 entries, &arguments);

	if (!gateway)
		gateway = g_strdup (default_gateway);
	if (code == EXIT_CODE_OK)
		code = client_check_arguments (arguments, 0);
	if (code == EXIT_CODE_OK && !client_parse_address (gateway, &address))
	{
		fprintf (stderr, "flamingospring: \"%s\" is not IP:PORT\n", gateway);
		code = EXIT_CODE_UNREACHABLE;
	}
	if (code == EXIT_CODE_OK)
		code = fetch (gateway, options.timeout_ms, answer);
	if (code == EXIT_CODE_OK)
		code = print_answer (gateway, answer, options.json);
	g_string_free (answer, TRUE);
	g_strfreev (arguments);
	g_free (gateway);
	client_options_finish (&options);
	return code;
}
