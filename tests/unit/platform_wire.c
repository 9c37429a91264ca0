#include "platform/wire.h"

#include <errno.h>
#include <string.h>

static struct text
line (const char *text)
{
	return (struct text){ text, strlen (text) };
}

static void
test_statements (void)
{
	static const struct
	{
		const char *text;
		enum statement_kind kind;
	} rows[] = {
		{ "QUERY 1 BEGIN", STATEMENT_BEGIN },
		{ "QUERY 1 BEGIN READ", STATEMENT_BEGIN_READ },
		{ "QUERY 1 BEGIN WRITE", STATEMENT_INVALID },
		{ "QUERY 1 COMMIT", STATEMENT_COMMIT },
		{ "QUERY 1 ROLLBACK", STATEMENT_ROLLBACK },
		{ "QUERY 1 READ 1a4", STATEMENT_READ },
		{ "QUERY 1 READ", STATEMENT_INVALID },
		{ "QUERY 1 WRITE 1a4 some data", STATEMENT_WRITE },
		{ "QUERY 1 SET v0 15", STATEMENT_SET },
		{ "QUERY 1 PREPARE s1 READ q2c", STATEMENT_PREPARE },
		{ "QUERY 1 PREPARE s1 DROP q2c", STATEMENT_INVALID },
		{ "QUERY 1 EXECUTE s1 1a4", STATEMENT_EXECUTE },
		{ "QUERY 1 DEALLOC s1", STATEMENT_DEALLOCATE },
		/* Only VMs may send these, to servers and to each other. */
		{ "QUERY 1 AFTER 1.2 READ 1a4", STATEMENT_INVALID },
		{ "QUERY 1 RANK 0 120 3 READ 1a4", STATEMENT_INVALID },
		{ "QUERY 1 TENANT other READ 1a4", STATEMENT_INVALID },
		{ "QUERY 1 STATUS", STATEMENT_INVALID },
		{ "QUERY 1 DEMOTE 3", STATEMENT_INVALID },
		{ "QUERY 1 RESET", STATEMENT_INVALID },
	};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
	{
		struct caller_message message = wire_decode_caller (line (rows[i].text));

		g_assert_cmpint (message.kind, ==, CALLER_QUERY);
		g_assert_cmpint (message.statement.kind, ==, rows[i].kind);
	}
}

static void
test_malformed_messages (void)
{
	static const char *const rows[] = {
		"", "QUERY", "QUERY ", "START", "HELLO x", " QUERY 1 READ 2"
	};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
		g_assert_cmpint (wire_decode_caller (line (rows[i])).kind, ==, CALLER_MALFORMED);
	g_assert_cmpint (wire_decode_server (line ("READY X 1.2")).kind, ==, SERVER_MALFORMED);
	g_assert_cmpint (wire_decode_server (line ("READY I 1.")).kind, ==, SERVER_MALFORMED);
	g_assert_cmpint (wire_decode_server (line ("READY I 1.99999999999999999999")).kind, ==,
	                 SERVER_MALFORMED);
	g_assert_cmpint (wire_decode_server (line ("")).kind, ==, SERVER_MALFORMED);
}

/* Guards against a forwarded statement that arrives incomplete, or whose hint is passed on to the
 * server. */
static void
test_forwarded_statement (void)
{
	GString *out = g_string_new (NULL);
	struct forward_hint hint = { .priority = 2, .target_latency_ms = 600, .waited_ms = 31 };
	struct log_position after = { 3, 1207 };
	struct caller_message message;

	wire_encode_query (out, line ("5c0e"), (struct wire_prefix){ NULL, &hint, &after },
	                   line ("READ 1a4"));
	g_assert_cmpstr (out->str, ==, "QUERY 5c0e RANK 2 600 31 AFTER 3.1207 READ 1a4\r\n");
	message = wire_decode_forwarded ((struct text){ out->str, out->len - 2 });
	g_assert_cmpint (message.statement.kind, ==, STATEMENT_READ);
	g_assert_true (message.has_hint && message.hint.waited_ms == 31);
	g_assert_true (message.has_after && message.after.index == 1207);
	g_assert_true (text_equals (message.text, "READ 1a4", 8));
	g_assert_false (message.hint.may_move);
	hint.may_move = true;
	g_string_truncate (out, 0);
	wire_encode_query (out, line ("5c0e"), (struct wire_prefix){ NULL, &hint, &after },
	                   line ("READ 1a4"));
	g_assert_cmpstr (out->str, ==, "QUERY 5c0e RANK 2 600 31 MOVABLE AFTER 3.1207 READ 1a4\r\n");
	message = wire_decode_forwarded ((struct text){ out->str, out->len - 2 });
	g_assert_true (message.hint.may_move && message.has_after);
	g_assert_true (text_equals (message.text, "READ 1a4", 8));
	message = wire_decode_forwarded (line ("QUERY - STATUS"));
	g_assert_cmpint (message.statement.kind, ==, STATEMENT_CONTROL);
	g_string_free (out, TRUE);
}

/* Guards against an owner that ends a forwarded statement by a limit of its own, and against a message of a VM without
 * limits, or with one that is not a number, that is taken for another statement. */
static void
test_forwarded_time_limit (void)
{
	static const struct
	{
		const char *text;
		enum statement_kind kind;
		uint32_t limit_ms;
	} rows[] = {
		{ "QUERY 1 RANK 2 600 31 60000 READ 1a4", STATEMENT_READ, 60000 },
		{ "QUERY 1 RANK 2 600 31 READ 1a4", STATEMENT_READ, 0 },
		{ "QUERY 1 RANK 2 600 31 COMMIT", STATEMENT_COMMIT, 0 },
		{ "QUERY 1 RANK 2 600 31 5 AFTER 1.2 READ 1a4", STATEMENT_READ, 5 },
		{ "QUERY 1 RANK 2 600 31 -5 READ 1a4", STATEMENT_INVALID, 0 },
		{ "QUERY 1 RANK 2 600 31 4294967296 READ 1a4", STATEMENT_INVALID, 0 },
		{ "QUERY 1 RANK 2 600 31 5 6 READ 1a4", STATEMENT_INVALID, 5 },
		{ "QUERY 1 RANK 2 600 31 ", STATEMENT_INVALID, 0 },
	};
	GString *out = g_string_new (NULL);
	struct forward_hint hint = { .target_latency_ms = 600, .limit_ms = 5980 };

	wire_encode_query (out, line ("5c0e"), (struct wire_prefix){ NULL, &hint, NULL },
	                   line ("COMMIT"));
	g_assert_cmpstr (out->str, ==, "QUERY 5c0e RANK 0 600 0 5980 COMMIT\r\n");
	g_string_free (out, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
	{
		struct caller_message message = wire_decode_forwarded (line (rows[i].text));

		g_assert_cmpint (message.statement.kind, ==, rows[i].kind);
		g_assert_cmpuint (message.hint.limit_ms, ==, rows[i].limit_ms);
	}
}

/* Guards against a forwarded statement that loses its tenant or its other prefixes, that takes the tenant for a part of
 * the statement, or that runs without a tenant because the name is missing. */
static void
test_forwarded_tenant (void)
{
	static const struct
	{
		const char *text;
		const char *tenant;
		enum statement_kind kind;
	} rows[] = {
		{ "QUERY 1 TENANT t-1 RANK 2 600 31 9 AFTER 1.2 READ 1a4", "t-1", STATEMENT_READ },
		{ "QUERY 1 TENANT t-1 READ 1a4", "t-1", STATEMENT_READ },
		{ "QUERY 1 TENANT RANK RANK 2 600 31 COMMIT", "RANK", STATEMENT_COMMIT },
		{ "QUERY 1 TENANT TENANT EXECUTE p x", "TENANT", STATEMENT_EXECUTE },
		{ "QUERY 1 READ TENANT t-1", "", STATEMENT_READ },
		{ "QUERY 1 RANK 2 600 31 9 TENANT t-1 READ 1a4", "", STATEMENT_INVALID },
		{ "QUERY 1 TENANT  READ 1a4", "", STATEMENT_INVALID },
		{ "QUERY 1 TENANT", "", STATEMENT_INVALID },
		{ "QUERY 1 TENANT t-1", "t-1", STATEMENT_INVALID },
		{ "QUERY 1 TENANT t-1 TENANT t-2 READ 1a4", "t-1", STATEMENT_INVALID },
	};
	struct forward_hint hint = { .priority = 2, .target_latency_ms = 600, .waited_ms = 31 };
	struct log_position after = { 3, 1207 };
	GString *out = g_string_new (NULL);

	wire_encode_execute (out, line ("5c0e"), (struct wire_prefix){ "t-1", &hint, &after }, "p1",
	                     line ("1a4"));
	g_assert_cmpstr (out->str, ==,
	                 "QUERY 5c0e TENANT t-1 RANK 2 600 31 AFTER 3.1207 EXECUTE p1 1a4\r\n");
	g_string_free (out, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
	{
		struct caller_message message = wire_decode_forwarded (line (rows[i].text));

		g_test_message ("%s", rows[i].text);
		g_assert_cmpint (message.statement.kind, ==, rows[i].kind);
		g_assert_true (text_equals (message.tenant, rows[i].tenant, strlen (rows[i].tenant)));
		g_assert_cmpint (message.has_after, ==, i == 0);
	}
}

static void
test_answers (void)
{
	struct server_message ready = wire_decode_server (line ("READY T 3.1209"));
	struct server_message error = wire_decode_server (line ("ERROR READONLY i-7f3a91c2"));
	struct database_status status;

	g_assert_cmpint (ready.state, ==, TRANSACTION_OPEN);
	g_assert_cmpuint (ready.position.index, ==, 1209);
	g_assert_cmpint (error.code, ==, ANSWER_NOT_PRIMARY);
	g_assert_cmpint (wire_decode_server (line ("ERROR NEWCODE x")).code, ==, ANSWER_OTHER);
	g_assert_cmpint (wire_decode_status (line ("replica 3 3.1209 0 12 2 17"), &status), ==, 0);
	g_assert_false (status.is_primary);
	g_assert_cmpuint (status.lag_ms, ==, 12);
	g_assert_cmpuint (status.connections, ==, 17);
	/* Without the request for the status itself. */
	g_assert_cmpuint (status.running, ==, 1);
	g_assert_cmpint (wire_decode_status (line ("replica 3 3.1209"), &status), ==, -EBADMSG);
}

/* Guards against an owner's answer whose load report hides its position, and against one that is cut off. */
static void
test_load_report (void)
{
	static const char *const malformed[] = { "READY I 3.1209 LOAD", "READY I 3.1209 LOAD 12",
		                                     "READY I 3.1209 LOAD 12 x",
		                                     "READY I 3.1209 LOAD 12 3 4",
		                                     "READY I 3.1209 HEAT 12 3" };
	GString *out = g_string_new (NULL);
	struct log_position position = { 3, 1209 };
	struct load_report load = { .wait_ms = 12, .queued = 3 };
	struct server_message ready;

	wire_encode_ready_with_load (out, TRANSACTION_NONE, &position, &load);
	g_assert_cmpstr (out->str, ==, "READY I 3.1209 LOAD 12 3\r\n");
	ready = wire_decode_server ((struct text){ out->str, out->len - 2 });
	g_assert_true (ready.has_load && ready.has_position);
	g_assert_cmpuint (ready.load.wait_ms, ==, 12);
	g_assert_cmpuint (ready.load.queued, ==, 3);
	g_assert_cmpuint (ready.position.index, ==, 1209);
	ready = wire_decode_server (line ("READY I - LOAD 0 0"));
	g_assert_true (ready.kind == SERVER_READY && ready.has_load && !ready.has_position);
	g_assert_false (wire_decode_server (line ("READY I 3.1209")).has_load);
	for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
		g_assert_cmpint (wire_decode_server (line (malformed[i])).kind, ==, SERVER_MALFORMED);
	g_string_free (out, TRUE);
}

/* Guards against a code that wrongly promises that a statement did not run: callers rely on it. Only the
 * codes listed on the protocol page promise this. */
static void
test_did_not_run_codes (void)
{
	g_assert_true (answer_code_did_not_run (ANSWER_OVERLOADED));
	g_assert_true (answer_code_did_not_run (ANSWER_ROLLED_BACK));
	g_assert_false (answer_code_did_not_run (ANSWER_FAILED));
	g_assert_false (answer_code_did_not_run (ANSWER_TIMED_OUT));
	g_assert_false (answer_code_did_not_run (ANSWER_IN_DOUBT));
	g_assert_false (answer_code_did_not_run (ANSWER_OTHER));
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/wire/statements", test_statements);
	g_test_add_func ("/wire/malformed", test_malformed_messages);
	g_test_add_func ("/wire/forwarded", test_forwarded_statement);
	g_test_add_func ("/wire/forwarded_time_limit", test_forwarded_time_limit);
	g_test_add_func ("/wire/forwarded_tenant", test_forwarded_tenant);
	g_test_add_func ("/wire/answers", test_answers);
	g_test_add_func ("/wire/load_report", test_load_report);
	g_test_add_func ("/wire/promises", test_did_not_run_codes);
	return g_test_run ();
}
