/* Guards against a text from outside that costs memory for as long as the process runs: json-glib leaks
 * each value after the first one. Only the address sanitizer sees it, with G_SLICE=always-malloc. */
#include "common/json_text.h"
#include "flamingospring/platform_etcd_json.h"

#include <errno.h>
#include <string.h>

enum
{
	DEEP_BYTES = 200000,
};

static void
test_two_values (void)
{
	static const char *const texts[] = {
		/* Found by tools/fuzz. */
		"0{\"header\":{\"revis]on\":\"7\"},\"kvs\":[{\"keate_revisiovalue\":\"e34=2\"}],\"co\":\"1\"}",
		"{\"header\":{\"revision\":\"7\"}}{\"header\":{\"revision\":\"8\"}}",
		"{\"result\":{\"created\":true}} [1,{\"a\":\"b\"}]",
		"{\"header\":{}} \"header\" {}",
		"null{\"header\":{\"revision\":\"7\"}}",
		"var a = {\"header\":{}}; {\"header\":{}}",
	};
	int (*const decoders[]) (struct etcd_answer *, const char *, size_t) = {
		etcd_range_decode,
		etcd_swap_decode,
		etcd_watch_decode,
	};

	for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
	{
		for (size_t j = 0; j < G_N_ELEMENTS (decoders); j++)
		{
			struct etcd_answer decoded;

			etcd_answer_init (&decoded);
			g_assert_cmpint (decoders[j](&decoded, texts[i], strlen (texts[i])), ==, -EPROTO);
			etcd_answer_finish (&decoded);
		}
	}
}

/* Guards against a document that is refused although it is valid: callers' limits are lower. */
static void
test_documents (void)
{
	static const struct
	{
		const char *text;
		bool is_object;
	} rows[] = {
		{ " {\"a\":[{\"b\":{}},{\"c\":[]}],\"d\":\"]}{[\\\"\"}\n", true },
		{ "{\"a\":0.30000000000000004,\"b\":1234567890123456789}", true },
		{ "{\"a\":[[[[[[[[[[{}]]]]]]]]]]}", true },
		{ "", false },
		{ " ", false },
		{ "[{}]", false },
		{ "{\"a\":1}]", false },
		{ "[}{}", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
	{
		JsonParser *parser = json_parser_new ();
		JsonObject *object = json_load_object (parser, rows[i].text, strlen (rows[i].text));

		g_test_message ("%s", rows[i].text);
		g_assert_true ((object != NULL) == rows[i].is_object);
		g_object_unref (parser);
	}
}

/* Guards against half of a surrogate pair, at which json-glib fails and leaks what it had read of the string. */
static void
test_surrogates (void)
{
	static const char *const halves[] = {
		"{\"a\":\"\\ud800\"}",
		"{\"a\":\"\\udbffx\"}",
		"{\"a\":\"\\udc00\"}",
		"{\"a\":\"\\ud800\\u0041\"}",
		"{\"a\":\"\\ud800\\ud800\\udc00\"}",
		"{\"\\udc00\\ud800\":1}",
		"{\"a\":\"\\ud800\\n\"}",
		"\"\\ud800",
	};
	static const char pair[] = "{\"a\":\"x\\ud83d\\ude00\\u0041\\\\ud800\"}";
	JsonParser *parser = json_parser_new ();
	JsonObject *object;

	for (size_t i = 0; i < G_N_ELEMENTS (halves); i++)
	{
		g_test_message ("%s", halves[i]);
		g_assert_null (json_load_object (parser, halves[i], strlen (halves[i])));
		g_assert_nonnull (json_check (halves[i], strlen (halves[i]), &json_document_limits));
	}
	object = json_load_object (parser, pair, strlen (pair));
	g_assert_nonnull (object);
	g_assert_cmpstr (json_object_get_string_member (object, "a"), ==, "x\U0001f600A\\ud800");
	g_object_unref (parser);
}

/* Guards against a deep document that makes json-glib's recursion overflow the stack. */
static void
test_deep_document (void)
{
	char *deep = g_strnfill (DEEP_BYTES, '[');
	JsonParser *parser = json_parser_new ();

	g_assert_null (json_load_object (parser, deep, DEEP_BYTES));
	g_object_unref (parser);
	g_free (deep);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/json_text/two_values", test_two_values);
	g_test_add_func ("/json_text/documents", test_documents);
	g_test_add_func ("/json_text/surrogates", test_surrogates);
	g_test_add_func ("/json_text/deep", test_deep_document);
	return g_test_run ();
}
