/* Guards against a caller's path, body or traceparent that makes the entry VM read out of bounds, and
 * against an answer that is not valid JSON. */
#include "common/json_text.h"
#include "flamingospring/http_message.h"
#include "fuzz.h"

#include <glib.h>
#include <stdlib.h>

/* Formats an answer with the parameters as its cells, and checks that it is valid JSON. */
static void
check_answer (const struct entry_call *call)
{
	struct fs_execute_result result = { 0 };
	struct entry_answer answer = { .outcome = OUTCOME_DONE, .result = &result };
	fs_text column = (char *) "value";
	fs_value *cells = g_new0 (fs_value, call->param_count + 1);
	size_t length;
	char *text;

	for (uint32_t i = 0; i < call->param_count; i++)
		cells[i] = call->params[i] ? (fs_value) &call->params[i] : NULL;
	result.columns.columns_len = 1;
	result.columns.columns_val = &column;
	result.cells.cells_len = call->param_count;
	result.cells.cells_val = cells;
	answer.message = call->request_id;
	text = http_answer_format (&answer, &length);
	if (json_check (text, length, &json_caller_limits))
		abort ();
	g_free (text);
	g_free (cells);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct entry_call *call = entry_call_new ();
	const char *problem = NULL;
	char *text = g_strndup ((const char *) data, size);

	if (http_body_parse ((const char *) data, size, call, &problem) == 0)
		check_answer (call);
	else if (!problem)
		abort ();
	entry_call_free (call);
	call = entry_call_new ();
	http_path_parse (text, call);
	trace_context_parse (text, 1);
	entry_call_free (call);
	g_free (text);
	return 0;
}
