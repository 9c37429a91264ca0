/* Guards against answers of the platform's store, and documents of other writers in it, that end a proxy or make it stop
 * following the store. */
#include "flamingospring/platform_etcd_json.h"
#include "flamingospring/control_private.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#define GOOD(key) "{\"key\":\"" key "\",\"value\":\"eA==\",\"mod_revision\":\"5\"}"
/* The keys are "a" and "z". */
#define BESIDE(item) GOOD ("YQ==") "," item "," GOOD ("eg==")

static const char *const odd_items[] = {
	"null",
	"7",
	"[[[]]]",
	"{}",
	"{\"key\":7,\"value\":[],\"mod_revision\":{}}",
	"{\"key\":\"@@@\",\"value\":\"@@@\",\"mod_revision\":true}",
	"{\"key\":\"AA==\",\"value\":\"AA==\",\"mod_revision\":null}",
	"{\"key\":\"bQ==\",\"value\":\"eA==\",\"mod_revision\":\"-5\"}",
	"{\"key\":\"bQ==\",\"value\":\"eA==\",\"mod_revision\":-5}",
	"{\"key\":\"bQ==\",\"value\":\"eA==\",\"mod_revision\":1e999}",
	"{\"key\":\"bQ==\",\"value\":\"eA==\",\"mod_revision\":\"99999999999999999999\"}",
	"{\"key\":\"bQ==\",\"value\":\"eA==\",\"mod_revision\":99999999999999999999}",
};

static void
check_good_pairs (const struct etcd_answer *decoded)
{
	const struct platform_answer *answer = &decoded->answer;

	g_assert_cmpuint (answer->count, >=, 2);
	g_assert_cmpstr (answer->pairs[0].key, ==, "a");
	g_assert_cmpstr (answer->pairs[answer->count - 1].key, ==, "z");
	for (size_t i = 0; i < answer->count; i++)
	{
		g_assert_nonnull (answer->pairs[i].key);
		g_assert_nonnull (answer->pairs[i].value);
		/* A larger one would be the last that is followed. */
		g_assert_cmpuint (answer->pairs[i].revision, <=, 5);
	}
}

static void
check_answer (int (*decode) (struct etcd_answer *, const char *, size_t), const char *format,
              const char *item)
{
	g_autofree char *items = g_strdup_printf (BESIDE ("%s"), item);
	g_autofree char *text = g_strdup_printf (format, items);
	struct etcd_answer decoded;

	g_test_message ("%s", text);
	etcd_answer_init (&decoded);
	g_assert_cmpint (decode (&decoded, text, strlen (text)), ==, 0);
	check_good_pairs (&decoded);
	etcd_answer_finish (&decoded);
}

static void
test_odd_items (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (odd_items); i++)
	{
		g_autofree char *event = g_strdup_printf (
			"{\"type\":[]},7,{\"kv\":%s},{\"kv\":7,\"type\":\"DELETE\"}", odd_items[i]);
		g_autofree char *events = g_strdup_printf (
			"{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":[{\"kv\":" GOOD (
				"YQ==") "},%s,"
						"{\"kv\":" GOOD ("eg==") "}]}}",
			event);
		struct etcd_answer decoded;

		check_answer (etcd_range_decode, "{\"header\":{\"revision\":\"9\"},\"kvs\":[%s]}",
		              odd_items[i]);
		check_answer (etcd_swap_decode,
		              "{\"header\":{\"revision\":\"9\"},\"succeeded\":[],\"responses\":[7,{},"
		              "{\"response_range\":{\"kvs\":[%s]}}]}",
		              odd_items[i]);
		etcd_answer_init (&decoded);
		g_assert_cmpint (etcd_watch_decode (&decoded, events, strlen (events)), ==, 0);
		check_good_pairs (&decoded);
		etcd_answer_finish (&decoded);
	}
}

/* Guards against a document with a "deleted" of another type: json-glib reported a failed assertion, which ends the program
 * if G_DEBUG asks for it. */
static void
test_odd_documents (void)
{
	static const char *const deleted[] = { "[]", "{\"a\":1}", "\"true\"", "1e999", "7" };
	char *operation_id;
	char *author;
	char *text;
	bool is_deleted;

	for (size_t i = 0; i < G_N_ELEMENTS (deleted); i++)
	{
		g_autofree char *value = g_strdup_printf (
			"{\"operation_id\":\"o\",\"author\":\"a\",\"text\":\"t\",\"deleted\":%s}", deleted[i]);

		g_test_message ("%s", value);
		g_assert_cmpint (control_document_parse (value, &operation_id, &author, &text, &is_deleted),
		                 ==, -EPROTO);
		g_assert_null (text);
	}
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/etcd/odd_items", test_odd_items);
	g_test_add_func ("/etcd/odd_documents", test_odd_documents);
	return g_test_run ();
}
