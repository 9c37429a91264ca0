/* Guards against schema errors that are not reported, or reported at the wrong line. */
#include "schema/schema.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#define KEYS                                                                                       \
	"session_keys:\n"                                                                              \
	"  - {id: 1, secret: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f}\n"
#define DATABASES                                                                                  \
	"databases:\n"                                                                                 \
	"  - name: ledger\n    slots: 2\n    connections: 16\n"                                        \
	"    servers: [{address: \"127.0.1.1:5432\", zone: a}]\n"
#define CALLS                                                                                      \
	"calls:\n"                                                                                     \
	"  - {name: find, database: ledger, kind: read, params: 1, statement: \"SELECT $1\"}\n"        \
	"  - {name: add, database: ledger, kind: write, rank: urgent, params: 0, statement: \"X\"}\n"

static const char valid_document[] = "service: letters\n" KEYS DATABASES CALLS;

static void
test_valid (void)
{
	struct schema_service service;
	struct findings findings;
	const struct schema_call *call;

	findings_init (&findings);
	g_assert_cmpint (schema_service_init (&service, "good.yaml", valid_document,
	                                      strlen (valid_document), &findings),
	                 ==, 0);
	call = schema_find_call (&service, "add");
	g_assert_nonnull (call);
	g_assert_true (call->is_write);
	g_assert_cmpint (call->rank, ==, RANK_URGENT);
	g_assert_null (schema_find_call (&service, "missing"));
	g_assert_cmpuint (service.databases[0].servers[0].ip, ==, 0x7f000101);
	schema_service_finish (&service);
	findings_finish (&findings);
}

struct invalid_case
{
	const char *text;
	unsigned line;
	const char *message;
};

static const struct invalid_case invalid_cases[] = {
	{ "", 1, "the document is empty" },
	{ "service: [", 2, "not valid YAML" },
	{ "- a\n", 1, "a mapping is expected" },
	{ "service: letters\n" KEYS DATABASES CALLS "extra: 1\n", 12, "unknown key \"extra\"" },
	{ "service: a b\n" KEYS DATABASES CALLS, 1, "letters, digits" },
	{ "service: x\nservice: y\n" KEYS DATABASES CALLS, 2, "stands twice" },
	{ "service: x\nsession_keys: [{id: 1, secret: 00}]\n" DATABASES CALLS, 2, "hexadecimal" },
	{ "service: x\n" KEYS
	  "ranks: {normal: {floor_percent: 70}, low: {floor_percent: 60}}\n" DATABASES CALLS,
	  4, "floors add up to 130" },
	{ "service: x\n" KEYS "ranks: {low: {target_ms: 9, timeout_ms: 3}}\n" DATABASES CALLS, 4,
	  "target_ms 9 is above timeout_ms 3" },
	{ "service: x\n" KEYS "databases: [{name: d, slots: 0, connections: 16, servers: [{address: "
	  "\"127.0.0.1:1\", zone: a}]}]\n"
	  "calls: [{name: c, database: d, statement: X}]\n",
	  4, "number from 1 to 1000" },
	{ "service: x\n" KEYS "databases: [{name: d, slots: 1, connections: 16, servers: [{address: "
	  "\"host:1\", zone: a}]}]\n"
	  "calls: [{name: c, database: d, statement: X}]\n",
	  4, "not IP:PORT" },
	{ "service: x\n" KEYS DATABASES "calls: [{name: c, database: nowhere, statement: X}]\n", 9,
	  "is not declared" },
	{ "service: x\n" KEYS DATABASES
	  "calls: [{name: c, database: ledger, params: 1, statement: \"SELECT $2\"}]\n",
	  9, "uses $1 to $2" },
	{ "service: x\n" KEYS DATABASES
	  "calls: [{name: c, database: ledger, consistency: bounded, statement: X}]\n",
	  9, "needs \"max_age_ms\"" },
	{ "service: x\n" KEYS DATABASES
	  "calls: [{name: c, database: ledger, kind: read, idempotent: true, statement: X}]\n",
	  9, "a read has no \"idempotent\"" },
};

static bool
findings_contain (const struct findings *findings, unsigned line, const char *message)
{
	for (size_t i = 0; i < findings->count; i++)
	{
		if (findings->items[i].line == line && strstr (findings->items[i].message, message))
			return true;
	}
	findings_print (findings, stderr);
	return false;
}

static void
test_invalid (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (invalid_cases); i++)
	{
		const struct invalid_case *bad = &invalid_cases[i];
		struct schema_service service;
		struct findings findings;

		findings_init (&findings);
		g_test_message ("%s", bad->message);
		g_assert_cmpint (
			schema_service_init (&service, "bad.yaml", bad->text, strlen (bad->text), &findings),
			==, -EINVAL);
		g_assert_true (findings_contain (&findings, bad->line, bad->message));
		findings_finish (&findings);
	}
}

/* Guards against a parser that stops at the first error: ten errors in one document are all reported. */
static void
test_many_errors (void)
{
	static const char text[] =
		"service: \"two words\"\n"
		"session_keys: [{id: 0, secret: xy}]\n"
		"ranks: {urgent: {target_ms: many}, soon: {}}\n"
		"tenants: [{name: a, weight: 0}]\n"
		"databases: [{name: d, slots: 2, connections: 1, servers: [{address: x, zone: \"\"}]}]\n"
		"calls: [{name: c, database: e, kind: delete, params: 3, statement: X, color: red}]\n";
	struct schema_service service;
	struct findings findings;

	findings_init (&findings);
	g_assert_cmpint (schema_service_init (&service, "ten.yaml", text, strlen (text), &findings), ==,
	                 -EINVAL);
	g_assert_cmpuint (findings.count, >=, 10);
	findings_finish (&findings);
}

/* Guards against crashes and reads past the end on truncated and corrupted documents. */
static void
test_random_input (void)
{
	for (guint32 seed = 1; seed <= 300; seed++)
	{
		GRand *random = g_rand_new_with_seed (seed);
		char *text = g_strdup (valid_document);
		size_t length = (size_t) g_rand_int_range (random, 1, (gint32) strlen (valid_document));
		struct schema_service service;
		struct findings findings;

		for (int i = 0; i < 4; i++)
			text[g_rand_int_range (random, 0, (gint32) length)] =
				(char) g_rand_int_range (random, 1, 255);
		findings_init (&findings);
		if (schema_service_init (&service, "random.yaml", text, length, &findings) == 0)
			schema_service_finish (&service);
		findings_finish (&findings);
		g_free (text);
		g_rand_free (random);
	}
}

/* Guards against a deeply nested document that keeps the control thread busy: 50,000 levels took 8 to 18 s. */
static void
test_deep (void)
{
	static const char *const levels[] = { "[", "{a: ", "&a [", "[a, " };

	for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
	{
		GString *text = g_string_new ("service: ");
		struct schema_service service;
		struct findings findings;

		for (unsigned j = 0; j < 50000; j++)
			g_string_append (text, levels[i]);
		findings_init (&findings);
		g_assert_cmpint (
			schema_service_init (&service, "deep.yaml", text->str, text->len, &findings), ==,
			-EINVAL);
		g_assert_cmpuint (findings.count, ==, 1);
		g_assert_cmpstr (findings.items[0].message, ==, "nested too deeply");
		findings_finish (&findings);
		g_string_free (text, TRUE);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/schema/good", test_valid);
	g_test_add_func ("/schema/bad", test_invalid);
	g_test_add_func ("/schema/ten_mistakes", test_many_errors);
	g_test_add_func ("/schema/deep", test_deep);
	g_test_add_func ("/schema/random_input", test_random_input);
	return g_test_run ();
}
