/* Guards against crashes on malformed requests, errors without a reason, and values that are
 * changed silently. */
#include "flamingospring/http_message.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

enum
{
	RANDOM_ROUNDS = 20000,
	RANDOM_SEED = 90125,
	RANDOM_MAX_BYTES = 200,
	DEEP_BYTES = 200000,
};

struct body_case
{
	const char *body;
	const char *problem; /* Expected part of the message; NULL: the body is valid. */
};

static const struct body_case body_cases[] = {
	{ "", NULL },
	{ "{}", NULL },
	{ " {\"params\": [\"a\", 1, -2.5, true, null], \"tenant\": \"t\", \"timeout_ms\": 5} ", NULL },
	{ "{\"params\": [\"\\\\u0000\"]}", NULL },
	{ "{\"database\": \"letters\"}", NULL },
	{ "[]", "not a JSON object" },
	{ "null", "not a JSON object" },
	{ "{", "ends too early" },
	{ "}", "not JSON" },
	{ "{\"params\"}", "not JSON" },
	{ "{\"params\": [\"a}", "inside a string" },
	{ "{\"params\": 1}", "not an array" },
	{ "{\"params\": {\"a\": 1}}", "not an array" },
	{ "{\"params\": [[1]]}", "a param is not" },
	{ "{\"params\": [{}]}", "a param is not" },
	{ "{\"params\": [1e999]}", "a param is not" },
	{ "{\"params\": [12345678901234567890]}", "too many digits" },
	{ "{\"params\": [010]}", "malformed number" },
	{ "{\"params\": [0x10]}", "not JSON" },
	{ "{\"params\": [1.]}", "malformed number" },
	{ "{\"params\": [NaN]}", "not JSON" },
	{ "{\"params\": [\"a\\u0000b\"]}", "u0000" },
	{ "{\"params\": [\"\\x\"]}", "malformed escape" },
	{ "{\"params\": [\"\\u12\"]}", "malformed escape" },
	{ "{\"params\": [\"a\nb\"]}", "control character" },
	{ "{\"params\": [\"\xff\"]}", "not UTF-8" },
	{ "{\"request_id\": 5}", "not a string" },
	{ "{\"request_id\": null}", "not a string" },
	{ "{\"tenant\": [\"a\"]}", "not a string" },
	{ "{\"timeout_ms\": 0}", "from 1 to" },
	{ "{\"timeout_ms\": -1}", "from 1 to" },
	{ "{\"timeout_ms\": 600001}", "from 1 to" },
	{ "{\"timeout_ms\": 1.5}", "not an integer" },
	{ "{\"timeout_ms\": \"5\"}", "not an integer" },
	{ "{\"request-id\": \"a\"}", "unknown member" },
	{ "{\"a\": [[[[[[[[[1]]]]]]]]]}", "nested too deeply" },
	{ "/* comment */ {}", "not JSON" },
	{ "var a = {}", "not JSON" },
	{ "{\"tenant\": \"t\"} {\"tenant\": \"u\"}", "more than one value" },
	{ "0{}", "more than one value" },
	{ "{}\"a\"[1]", "more than one value" },
};

static void
test_bodies (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (body_cases); i++)
	{
		const struct body_case *test = &body_cases[i];
		struct entry_call *call = entry_call_new ();
		const char *problem;
		int result;

		call->operation = FS_OPERATION_BEGIN;
		result = http_body_parse (test->body, strlen (test->body), call, &problem);
		g_test_message ("case %zu: %s", i, problem ? problem : "good");
		if (test->problem)
		{
			g_assert_cmpint (result, ==, -EINVAL);
			g_assert_nonnull (problem);
			g_assert_nonnull (strstr (problem, test->problem));
		}
		else
		{
			g_assert_cmpint (result, ==, 0);
			g_assert_null (problem);
		}
		entry_call_free (call);
	}
}

static void
test_limits (void)
{
	GString *body = g_string_new ("{\"params\": [");
	struct entry_call *call = entry_call_new ();
	const char *problem;
	char *deep = g_malloc (DEEP_BYTES);

	for (unsigned i = 0; i < FS_MAX_PARAMS + 1; i++)
		g_string_append (body, i ? ",1" : "1");
	g_string_append (body, "]}");
	g_assert_cmpint (http_body_parse (body->str, body->len, call, &problem), <, 0);
	g_assert_cmpstr (problem, ==, "too many params");
	g_string_printf (body, "{\"request_id\": \"%0*d\"}", FS_MAX_ID + 1, 1);
	g_assert_cmpint (http_body_parse (body->str, body->len, call, &problem), <, 0);
	/* Unlimited recursion would overflow the stack. */
	memset (deep, '[', DEEP_BYTES);
	g_assert_cmpint (http_body_parse (deep, DEEP_BYTES, call, &problem), <, 0);
	g_free (deep);
	entry_call_free (call);
	g_string_free (body, TRUE);
}

/* Values reach the database as the caller wrote them. */
static void
test_values (void)
{
	static const char body[] =
		"{\"params\": [\"\\u00e9\\n\\\"\", 99999999999999999, -0.1, 1e3, false, null, 1.25]}";
	static const char *const expected[] = {
		"\xc3\xa9\n\"", "99999999999999999", "-0.1", "1000", "false", NULL, "1.25"
	};
	struct entry_call *call = entry_call_new ();
	const char *problem;

	g_assert_cmpint (http_body_parse (body, strlen (body), call, &problem), ==, 0);
	g_assert_cmpuint (call->param_count, ==, G_N_ELEMENTS (expected));
	for (size_t i = 0; i < call->param_count; i++)
		g_assert_cmpstr (call->params[i], ==, expected[i]);
	entry_call_free (call);
}

/* Half of the bodies are random text, the others a valid body with a few changed bytes. */
static void
test_random (void)
{
	static const char good[] =
		"{\"params\": [\"a\", 1, -2.5, true, null], \"tenant\": \"t\", \"timeout_ms\": 5}";
	static const char characters[] = "{}[]\",:\\u0123truefalsn -.eE\x80\xc3\xa9\n\x01";
	GRand *random = g_rand_new_with_seed (RANDOM_SEED);
	char body[RANDOM_MAX_BYTES];

	for (unsigned round = 0; round < RANDOM_ROUNDS; round++)
	{
		struct entry_call *call = entry_call_new ();
		const char *problem;
		size_t length = sizeof good - 1;
		int result;

		if (round % 2)
		{
			memcpy (body, good, length);
			for (int changes = g_rand_int_range (random, 1, 5); changes > 0; changes--)
				body[g_rand_int_range (random, 0, (int) length)] =
					(char) g_rand_int_range (random, 0, 256);
		}
		else
		{
			length = (size_t) g_rand_int_range (random, 0, RANDOM_MAX_BYTES);
			for (size_t i = 0; i < length; i++)
				body[i] = characters[g_rand_int_range (random, 0, sizeof characters)];
		}
		result = http_body_parse (body, length, call, &problem);
		g_assert_true ((result == 0) == (problem == NULL));
		entry_call_free (call);
	}
	g_rand_free (random);
}

struct path_case
{
	const char *path;
	enum http_route route;
	fs_operation operation;
};

static const struct path_case path_cases[] = {
	{ "/v1/health", HTTP_ROUTE_HEALTH, 0 },
	{ "/v1/services/post/calls/find", HTTP_ROUTE_ENTRY, FS_OPERATION_CALL },
	{ "/v1/services/post/transactions", HTTP_ROUTE_ENTRY, FS_OPERATION_BEGIN },
	{ "/v1/transactions/ABC/calls/find", HTTP_ROUTE_ENTRY, FS_OPERATION_TRANSACTION_CALL },
	{ "/v1/transactions/ABC/commit", HTTP_ROUTE_ENTRY, FS_OPERATION_COMMIT },
	{ "/v1/transactions/ABC/rollback", HTTP_ROUTE_ENTRY, FS_OPERATION_ROLLBACK },
	{ "", HTTP_ROUTE_NONE, 0 },
	{ "/", HTTP_ROUTE_NONE, 0 },
	{ "*", HTTP_ROUTE_NONE, 0 },
	{ "/v1", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services//calls/find", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/post/calls/", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/post/calls/find/more/and/more", HTTP_ROUTE_NONE, 0 },
	{ "/v1/transactions/ABC/abort", HTTP_ROUTE_NONE, 0 },
	{ "/v2/health", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/\xff/calls/find", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/p%6Fst/calls/find", HTTP_ROUTE_ENTRY, FS_OPERATION_CALL },
	{ "/v1/services/post%2Fcalls%2Ffind", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/post/calls/find%00", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/post%00a/calls/find", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/post/calls/find%ff", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/post/calls/find%4", HTTP_ROUTE_NONE, 0 },
	{ "/v1/services/"
	  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa/calls/find",
	  HTTP_ROUTE_NONE, 0 },
};

static void
test_paths (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (path_cases); i++)
	{
		struct entry_call *call = entry_call_new ();

		g_assert_cmpint (http_path_parse (path_cases[i].path, call), ==, path_cases[i].route);
		g_assert_cmpint (call->operation, ==, path_cases[i].operation);
		entry_call_free (call);
	}
}

static void
test_answer (void)
{
	char *columns[] = { (char *) "key", (char *) "value" };
	char *texts[] = { (char *) "a\"\n", (char *) "\xff" };
	fs_value cells[] = { &texts[0], NULL, &texts[1], &texts[0] };
	struct fs_execute_result result = { 0 };
	struct entry_answer answer = { .result = &result, .server = "letters/1", .message = "" };
	size_t length;
	char *text;

	result.columns.columns_len = 2;
	result.columns.columns_val = columns;
	result.cells.cells_len = 4;
	result.cells.cells_val = cells;
	text = http_answer_format (&answer, &length);
	g_assert_cmpstr (text, ==,
	                 "{\"outcome\":\"done\",\"reason\":\"none\",\"message\":\"\","
	                 "\"columns\":[\"key\",\"value\"],"
	                 "\"rows\":[[\"a\\\"\\n\",null],[\"\xef\xbf\xbd\",\"a\\\"\\n\"]],"
	                 "\"server\":\"letters/1\",\"role\":\"replica\"}");
	g_assert_cmpuint (strlen (text), ==, length);
	g_free (text);
	g_assert_cmpuint (http_answer_status (&answer), ==, 200);
	answer.outcome = OUTCOME_REFUSED;
	g_assert_cmpuint (http_answer_status (&answer), ==, 503);
	answer.outcome = OUTCOME_UNKNOWN;
	g_assert_cmpuint (http_answer_status (&answer), ==, 504);
	answer.outcome = OUTCOME_FAILED;
	answer.reason = REASON_STATEMENT;
	g_assert_cmpuint (http_answer_status (&answer), ==, 422);
	answer.reason = REASON_BAD_TOKEN;
	g_assert_cmpuint (http_answer_status (&answer), ==, 400);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/http_message/bodies", test_bodies);
	g_test_add_func ("/http_message/limits", test_limits);
	g_test_add_func ("/http_message/values", test_values);
	g_test_add_func ("/http_message/random", test_random);
	g_test_add_func ("/http_message/paths", test_paths);
	g_test_add_func ("/http_message/answer", test_answer);
	return g_test_run ();
}
