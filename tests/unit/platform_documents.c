#include "platform/documents.h"

#include "platform/boot_settings.h"

#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

static int
decode_server (const char *value, struct server_entry *entry)
{
	struct platform_pair pair = {
		.key = "servers/i-1",
		.value = value,
		.value_length = strlen (value),
	};

	return documents_decode_server (&pair, entry);
}

static void
test_server_entry (void)
{
	struct server_entry entry;

	g_assert_cmpint (
		decode_server ("{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"a\","
	                   "\"version\":\"v1\",\"slots\":2,\"state\":\"draining\","
	                   "\"coldRemainingMs\":0,\"dbRole\":\"replica\",\"sequence\":4}",
	                   &entry),
		==, 0);
	g_assert_cmpstr (entry.id, ==, "i-1");
	g_assert_true (entry.is_draining);
	g_assert_false (entry.reports_primary);
	g_assert_cmpuint (entry.slots, ==, 2);
	g_assert_cmpuint (entry.port, ==, 8080);
	server_entry_clear (&entry);
}

/* Guards against accepting entries of other writers that do not describe a usable server. */
static void
test_invalid_entries (void)
{
	static const char *const rows[] = {
		"",
		"\xff\xfe",
		"[]",
		"{}",
		"{\"service\":1,\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"slots\":2,\"state\":\"ready\","
		"\"dbRole\":\"replica\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"a\",\"slots\":2,\"state\":\"ready\","
		"\"dbRole\":\"replica\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"slots\":2,\"state\":\"odd\","
		"\"dbRole\":\"replica\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"slots\":\"2\","
		"\"state\":\"ready\",\"dbRole\":\"replica\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"slots\":2,"
		"\"state\":\"ready\",\"dbRole\":\"leader\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"slots\":2,"
		"\"state\":\"ready\",\"dbRole\":\"replica\"}{\"service\":\"s\"}",
	};
	struct server_entry entry;

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
		g_assert_cmpint (decode_server (rows[i], &entry), ==, -EBADMSG);
}

/** Decodes the entry of a usable server at @p key with one member replaced or added. */
static int
decode_changed (const char *key, const char *name, const char *text, size_t length)
{
	static const char *const members[][2] = {
		{ "service", "\"s\"" },     { "address", "\"10.0.0.1:8080\"" },
		{ "zone", "\"a\"" },        { "slots", "2" },
		{ "state", "\"ready\"" },   { "dbRole", "\"replica\"" },
		{ "coldRemainingMs", "0" }, { "born", "5000" },
		{ "sequence", "4" },
	};
	GString *value = g_string_new ("{\"version\":\"v1\"");
	struct platform_pair pair = { .key = key };
	struct server_entry entry;
	bool is_added = true;
	int result;

	for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
	{
		bool is_changed = strcmp (members[i][0], name) == 0;

		g_string_append_printf (value, ",\"%s\":", members[i][0]);
		if (is_changed)
			g_string_append_len (value, text, (gssize) length);
		else
			g_string_append (value, members[i][1]);
		is_added &= !is_changed;
	}
	if (is_added)
	{
		g_string_append_printf (value, ",\"%s\":", name);
		g_string_append_len (value, text, (gssize) length);
	}
	g_string_append_c (value, '}');
	pair.value = value->str;
	pair.value_length = value->len;
	result = documents_decode_server (&pair, &entry);
	if (result == 0)
		server_entry_clear (&entry);
	g_string_free (value, TRUE);
	return result;
}

struct odd_member
{
	const char *name;
	const char *text;
};

static void
check_members (const struct odd_member *rows, size_t count, int result)
{
	for (size_t i = 0; i < count; i++)
	{
		g_test_message ("%s: %s", rows[i].name, rows[i].text);
		g_assert_cmpint (
			decode_changed ("servers/i-1", rows[i].name, rows[i].text, strlen (rows[i].text)), ==,
			result);
	}
}

/* Guards against connecting to an address that is not that of a server: a port that does not exist, or an address that is
 * no host's. */
static void
test_odd_addresses (void)
{
	static const struct odd_member rows[] = {
		{ "address", "\"10.0.0.1:0\"" },
		{ "address", "\"10.0.0.1:-1\"" },
		{ "address", "\"10.0.0.1:-18446744073709551615\"" },
		{ "address", "\"10.0.0.1:65536\"" },
		{ "address", "\"10.0.0.1:4294967376\"" },
		{ "address", "\"10.0.0.1:18446744073709551696\"" },
		{ "address", "\"10.0.0.1:99999999999999999999999999\"" },
		{ "address", "\"10.0.0.1:+80\"" },
		{ "address", "\"10.0.0.1: 80\"" },
		{ "address", "\"10.0.0.1:80 \"" },
		{ "address", "\"10.0.0.1:0x50\"" },
		{ "address", "\"10.0.0.1:8e1\"" },
		{ "address", "\"10.0.0.1:80.5\"" },
		{ "address", "\"10.0.0.1:\"" },
		{ "address", "\"10.0.0.1\"" },
		{ "address", "\":80\"" },
		{ "address", "\"\"" },
		{ "address", "\"10.0.0:80\"" },
		{ "address", "\"10.0.0.256:80\"" },
		{ "address", "\"host:80\"" },
		{ "address", "\"[::1]:80\"" },
		{ "address", "\"::1:80\"" },
		{ "address", "\"10.0.0.1:80:80\"" },
		{ "address", "\"10.0.0.1:80\\n\"" },
		{ "address", "8080" },
		{ "address", "[\"10.0.0.1:80\"]" },
		{ "address", "null" },
		{ "address", "\"0.0.0.0:80\"" },
		{ "address", "\"0.1.2.3:80\"" },
		{ "address", "\"224.0.0.1:80\"" },
		{ "address", "\"240.0.0.1:80\"" },
		{ "address", "\"255.255.255.255:80\"" },
	};
	static const struct odd_member good[] = {
		{ "address", "\"10.0.0.1:1\"" },
		{ "address", "\"127.0.0.1:80\"" },
		{ "address", "\"223.255.255.255:65535\"" },
	};

	check_members (rows, G_N_ELEMENTS (rows), -EBADMSG);
	check_members (good, G_N_ELEMENTS (good), 0);
}

/* Guards against an id or a service that adds words or lines to what is sent to a server. */
static void
test_odd_names (void)
{
	static const char *const keys[] = {
		"servers/",       "servers/i 1",  "servers/i-1\r\nQUERY x WRITE 1 2",
		"servers/i-1\n",  "servers/\tx",  "servers/\x7f",
		"servers/i-1\"}", "servers/i\\1",
	};
	static const struct odd_member rows[] = {
		{ "service", "\"\"" },        { "service", "\"s t\"" }, { "service", "\"s\\r\\nBYE\"" },
		{ "service", "\"\\u0001\"" }, { "service", "7" },       { "service", "null" },
		{ "zone", "\"a\\nb\"" },      { "zone", "{}" },         { "zone", "null" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
	{
		g_test_message ("%s", keys[i]);
		g_assert_cmpint (decode_changed (keys[i], "zone", "\"a\"", 3), ==, -EBADMSG);
	}
	check_members (rows, G_N_ELEMENTS (rows), -EBADMSG);
}

/* Guards against numbers that are too large for their use, or that json-glib wraps around. */
static void
test_odd_numbers (void)
{
	static const char *const numbers[] = {
		"-1",
		"1e999",
		"-1e999",
		"1e19",
		"9007199254740993",
		"9223372036854775807",
		"9223372036854775808",
		"-9223372036854775809",
		"18446744073709551616",
		"18446744073709551618",
		"99999999999999999999999999999999999999999999999999",
		"\"2\"",
		"true",
		"[2]",
		"{\"a\":2}",
	};
	static const char *const names[] = { "slots", "coldRemainingMs", "born", "sequence" };
	static const struct odd_member good[] = {
		{ "slots", "2.0" },
		{ "slots", "4294967295" },
		{ "coldRemainingMs", "0.5" },
		{ "coldRemainingMs", "null" },
		{ "sequence", "12.0" },
		{ "sequence", "9007199254740991" },
		{ "born", "null" },
		{ "extra", "1e999" },
		{ "extra", "[[[[[[[[]]]]]]]]" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
		for (size_t j = 0; j < G_N_ELEMENTS (numbers); j++)
		{
			struct odd_member row = { names[i], numbers[j] };

			check_members (&row, 1, -EBADMSG);
		}
	check_members (good, G_N_ELEMENTS (good), 0);
}

/* Guards against recursing as deep as an entry is nested. */
static void
test_deep_entries (void)
{
	static const size_t depths[] = { 64, 60000, 500000 };
	static const char *const names[] = { "slots", "address", "extra" };

	for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
		for (size_t j = 0; j < G_N_ELEMENTS (names); j++)
		{
			char *text = g_malloc (2 * depths[i]);

			memset (text, '[', depths[i]);
			memset (text + depths[i], ']', depths[i]);
			g_assert_cmpint (decode_changed ("servers/i-1", names[j], text, 2 * depths[i]), ==,
			                 -EBADMSG);
			g_assert_cmpint (decode_changed ("servers/i-1", names[j], text, depths[i]), ==,
			                 -EBADMSG);
			g_assert_null (documents_decode_configuration (text, 2 * depths[i]));
			g_free (text);
		}
	g_assert_cmpint (decode_changed ("servers/i-1", "extra", "\"a\0b\"", 5), ==, -EBADMSG);
	g_assert_cmpint (decode_changed ("servers/i-1", "extra", "\"\\u0000\"", 8), ==, -EBADMSG);
}

static void
test_configuration (void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"routeType\":"
		"\"bounded_staleness\",\"timeoutMs\":1200,\"targetLatencyMs\":600,\"priority\":2,"
		"\"service\":\"s\",\"maxStalenessMs\":1500,\"unknown\":[]},{\"host\":\"x\",\"service\":\"s\","
		"\"routeType\":\"call\"}],\"services\":[{\"name\":\"s\",\"maxConnections\":16,"
		"\"syncReplicas\":1}],\"limits\":{\"txIdleMs\":3000}}";
	struct configuration *configuration = documents_decode_configuration (text, strlen (text));
	const struct database_service *service;
	const struct route *route;

	g_assert_nonnull (configuration);
	g_assert_cmpuint (configuration->version, ==, 7);
	route = g_hash_table_lookup (configuration->routes, "db");
	g_assert_nonnull (route);
	g_assert_cmpint (route->kind, ==, ROUTE_BOUNDED_STALENESS);
	g_assert_cmpuint (route->max_staleness_ms, ==, 1500);
	g_assert_null (g_hash_table_lookup (configuration->routes, "x"));
	service = g_hash_table_lookup (configuration->services, "s");
	g_assert_cmpuint (service->sync_replicas, ==, 1);
	g_assert_cmpuint (configuration->transaction_idle_ms, ==, 3000);
	configuration_release (configuration);
	g_assert_null (documents_decode_configuration ("{\"version\":\"7\"}", 15));
	g_assert_null (documents_decode_configuration ("", 0));
}

/* Guards against a version that is too large, after which no configuration is adopted any more, and against odd routes,
 * services and limits that take the others with them. */
static void
test_odd_configurations (void)
{
	static const char *const versions[] = {
		"-1",
		"9223372036854775807",
		"99999999999999999999",
		"-9223372036854775809",
		"1e999",
		"true",
		"null",
		"[7]",
		"{}",
		"\"7\"",
	};
	static const char odd[] =
		"{\"version\":7,\"routes\":[null,7,[],{},{\"host\":7,\"service\":\"s\",\"routeType\":\"primary\"},"
		"{\"host\":\"late\",\"service\":\"s\",\"routeType\":\"primary\",\"timeoutMs\":1e999},"
		"{\"host\":\"early\",\"service\":\"s\",\"routeType\":\"primary\",\"targetLatencyMs\":-1},"
		"{\"host\":\"db\",\"service\":\"s\",\"routeType\":\"primary\"}],"
		"\"services\":[[[[]]],{\"name\":\"t\",\"maxConnections\":99999999999999999999},{\"name\":\"s\"}],"
		"\"limits\":{\"txIdleMs\":1e999}}";
	static const char *const wrong_lists[] = {
		"{\"version\":8,\"routes\":{\"a\":1}}",
		"{\"version\":8,\"services\":\"s\"}",
		"{\"version\":8,\"routes\":7,\"limits\":[[]]}",
	};
	struct configuration *configuration;

	for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
	{
		char *text = g_strdup_printf ("{\"version\":%s}", versions[i]);

		g_test_message ("%s", text);
		g_assert_null (documents_decode_configuration (text, strlen (text)));
		g_free (text);
	}
	configuration = documents_decode_configuration (odd, strlen (odd));
	g_assert_nonnull (configuration);
	g_assert_cmpuint (g_hash_table_size (configuration->routes), ==, 1);
	g_assert_nonnull (g_hash_table_lookup (configuration->routes, "db"));
	g_assert_cmpuint (g_hash_table_size (configuration->services), ==, 1);
	g_assert_cmpuint (configuration->transaction_idle_ms, ==, 3000);
	configuration_release (configuration);
	for (size_t i = 0; i < G_N_ELEMENTS (wrong_lists); i++)
		g_assert_null (documents_decode_configuration (wrong_lists[i], strlen (wrong_lists[i])));
}

static const char *
find_owner (const struct configuration *configuration, const char *key)
{
	struct key_digest digest = key_digest_of (key, strlen (key));
	const struct tenant *tenant = configuration_find_tenant (configuration, &digest);

	return tenant ? tenant->name : NULL;
}

/* Guards against a key that admits callers though no tenant has it as a text, against a name that would be several words
 * of a greeting, and against an odd tenant that takes the others with it. */
static void
test_tenants (void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"host\":\"open\",\"service\":\"s\",\"routeType\":\"primary\","
		"\"publicAccess\":true},{\"host\":\"shut\",\"service\":\"s\",\"routeType\":\"primary\"},"
		"{\"host\":\"odd\",\"service\":\"s\",\"routeType\":\"primary\",\"publicAccess\":\"yes\"}],"
		"\"tenants\":[null,7,[],{},{\"apiKeys\":[\"nobody\"]},{\"name\":7,\"apiKeys\":[\"number\"]},"
		"{\"name\":\"a b\",\"apiKeys\":[\"blank\"]},{\"name\":\"a\\nb\",\"apiKeys\":[\"line\"]},"
		"{\"name\":\"\",\"apiKeys\":[\"empty\"]},{\"name\":\"a\\\"b\",\"apiKeys\":[\"quote\"]},"
		"{\"name\":\"one\",\"apiKeys\":[\"k1\",\"k1\",\"k 2\",\"\",7,null,[\"k3\"],true],"
		"\"ratePerS\":5,\"burst\":10,\"priority\":\"odd\",\"new\":{}},"
		"{\"name\":\"one\",\"apiKeys\":[\"second\"],\"ratePerS\":900},"
		"{\"name\":\"two\",\"apiKeys\":[\"k1\",\"k4\"],\"ratePerS\":\"5\"},"
		"{\"name\":\"three\"},{\"name\":\"four\",\"apiKeys\":\"k5\",\"ratePerS\":-1},"
		"{\"name\":\"five\",\"apiKeys\":{\"a\":\"k6\"},\"ratePerS\":7}]}";
	static const char *const nobody[] = { "nobody", "number", "blank", "line",   "empty",
		                                  "quote",  "",       "7",     "k3",     "k2",
		                                  "k",      "k5",     "k6",    "second", "K1",
		                                  "k1 ",    "true",   "null",  "K 2",    "k  2" };
	struct configuration *configuration = documents_decode_configuration (text, strlen (text));
	const struct tenant *one;
	const struct tenant *five;

	g_assert_nonnull (configuration);
	g_assert_cmpuint (g_hash_table_size (configuration->tenants), ==, 5);
	for (size_t i = 0; i < G_N_ELEMENTS (nobody); i++)
		g_assert_cmpstr (find_owner (configuration, nobody[i]), ==, NULL);
	g_assert_cmpstr (find_owner (configuration, "k1"), ==, "one");
	g_assert_cmpstr (find_owner (configuration, "k 2"), ==, "one");
	g_assert_cmpstr (find_owner (configuration, "k4"), ==, "two");
	one = g_hash_table_lookup (configuration->tenants, "one");
	g_assert_cmpuint (one->key_count, ==, 2);
	g_assert_true (one->has_cap && one->rate_per_s == 5 && one->burst == 10);
	five = g_hash_table_lookup (configuration->tenants, "five");
	g_assert_true (five->has_cap && five->rate_per_s == 7 && five->burst == 0);
	g_assert_false (
		((struct tenant *) g_hash_table_lookup (configuration->tenants, "two"))->has_cap);
	g_assert_cmpuint (g_hash_table_size (configuration->routes), ==, 2);
	g_assert_true (
		((struct route *) g_hash_table_lookup (configuration->routes, "open"))->is_public);
	g_assert_false (
		((struct route *) g_hash_table_lookup (configuration->routes, "shut"))->is_public);
	configuration_release (configuration);
}

/* Guards against a deployment without tenants that refuses its callers, and against one whose tenants are all gone that
 * admits everybody. */
static void
test_no_tenants (void)
{
	static const char *const without[] = { "{\"version\":1}", "{\"version\":1,\"tenants\":null}" };
	static const char *const wrong[] = {
		"{\"version\":1,\"tenants\":{\"name\":\"a\"}}",
		"{\"version\":1,\"tenants\":\"a\"}",
		"{\"version\":1,\"tenants\":false}",
		"{\"version\":1,\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\\u0000x\"]}]}",
	};
	static const char empty[] = "{\"version\":1,\"tenants\":[]}";
	struct configuration *configuration;

	for (size_t i = 0; i < G_N_ELEMENTS (without); i++)
	{
		configuration = documents_decode_configuration (without[i], strlen (without[i]));
		g_assert_nonnull (configuration);
		g_assert_null (configuration->tenants);
		g_assert_cmpstr (find_owner (configuration, "k"), ==, NULL);
		configuration_release (configuration);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (wrong); i++)
		g_assert_null (documents_decode_configuration (wrong[i], strlen (wrong[i])));
	configuration = documents_decode_configuration (empty, strlen (empty));
	g_assert_nonnull (configuration);
	g_assert_nonnull (configuration->tenants);
	g_assert_cmpuint (g_hash_table_size (configuration->tenants), ==, 0);
	g_assert_cmpstr (find_owner (configuration, ""), ==, NULL);
	configuration_release (configuration);
}

static int
read_settings (const char *text, struct boot_settings *settings, struct findings *findings)
{
	char *path = NULL;
	int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
	int result;

	g_assert_cmpint (fd, >=, 0);
	g_close (fd, NULL);
	g_assert_true (g_file_set_contents (path, text, -1, NULL));
	result = boot_settings_read (settings, path, findings);
	g_unlink (path);
	g_free (path);
	return result;
}

static const char settings_text[] =
	"node: \"front-a-1\"\nip: \"10.1.0.8\"\nzone: \"a\"\n"
	"listen:\n  front: \"10.1.0.8:8784\"\n  ready: \"10.1.0.8:8785\"\n"
	"internalPorts:\n  - 7440\n  - 7455\nheartbeatMs: 1200\n"
	"limits:\n  maxFds: 5000\n  memoryMb: 160\n"
	"bounds:\n  graceS: 4.5\n  drainMs: 7000\n"
	"  quotaWindowS: 2.5\n  quotaOverage: 0.2\n"
	"platform:\n  address: \"10.200.1.7:8783\"\n"
	"cloud:\n  address: \"10.200.0.160:8783\"\nnew: [1]\n";

/* Guards against rejecting fractional bounds or unknown fields. */
static void
test_settings (void)
{
	struct boot_settings settings;
	struct findings findings;

	findings_init (&findings);
	g_assert_cmpint (read_settings (settings_text, &settings, &findings), ==, 0);
	g_assert_cmpstr (settings.vm, ==, "front-a-1");
	g_assert_cmpuint (settings.ip, ==, 0x0a010008);
	g_assert_cmpuint (settings.peer_port, ==, 7440);
	g_assert_cmpuint (settings.grace_ms, ==, 4500);
	g_assert_cmpuint (settings.drain_ms, ==, 7000);
	g_assert_cmpuint (settings.configuration_ms, ==, 3000);
	g_assert_cmpuint (settings.max_descriptors, ==, 5000);
	g_assert_cmpuint (settings.memory_mb, ==, 160);
	g_assert_cmpuint (settings.client_stall_ms, ==, 10000);
	g_assert_cmpuint (settings.quota_window_ms, ==, 2500);
	g_assert_cmpuint (settings.quota_overage_permille, ==, 200);
	g_assert_cmpuint (settings.quota_slack, ==, 20);
	findings_finish (&findings);
}

/* Guards against a reader that stops at the first problem instead of reporting all. */
static void
test_settings_findings (void)
{
	struct boot_settings settings;
	struct findings findings;

	findings_init (&findings);
	g_assert_cmpint (
		read_settings ("node: n\nip: nowhere\nheartbeatMs: soon\n", &settings, &findings), ==,
		-EINVAL);
	g_assert_cmpuint (findings.count, >=, 4);
	findings_finish (&findings);
}

/* Guards against a name of this VM that adds a line to the head of a request to the platform or a word to a record. */
static void
test_settings_names (void)
{
	static const char *const odd[][2] = {
		{ "node: \"front-a-1\"", "node: \"front\\r\\nFencing-Token: 9\"" },
		{ "node: \"front-a-1\"", "node: \"front a\"" },
		{ "node: \"front-a-1\"", "node: 'front\"a'" },
		{ "node: \"front-a-1\"", "node: 'front\\a'" },
		{ "zone: \"a\"", "zone: \"a\\nb\"" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
	{
		char **parts = g_strsplit (settings_text, odd[i][0], 2);
		char *text = g_strjoinv (odd[i][1], parts);
		struct boot_settings settings;
		struct findings findings;

		g_test_message ("%s", odd[i][1]);
		findings_init (&findings);
		g_assert_cmpint (read_settings (text, &settings, &findings), ==, -EINVAL);
		g_assert_cmpuint (findings.count, ==, 1);
		findings_finish (&findings);
		g_free (text);
		g_strfreev (parts);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/documents/server", test_server_entry);
	g_test_add_func ("/documents/foreign", test_invalid_entries);
	g_test_add_func ("/documents/odd_addresses", test_odd_addresses);
	g_test_add_func ("/documents/odd_names", test_odd_names);
	g_test_add_func ("/documents/odd_numbers", test_odd_numbers);
	g_test_add_func ("/documents/deep_entries", test_deep_entries);
	g_test_add_func ("/documents/configuration", test_configuration);
	g_test_add_func ("/documents/odd_configurations", test_odd_configurations);
	g_test_add_func ("/documents/tenants", test_tenants);
	g_test_add_func ("/documents/no_tenants", test_no_tenants);
	g_test_add_func ("/settings/read", test_settings);
	g_test_add_func ("/settings/findings", test_settings_findings);
	g_test_add_func ("/settings/names", test_settings_names);
	return g_test_run ();
}
