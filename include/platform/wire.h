/**
 * @file
 * Codec of the platform's database wire protocol, for callers and for servers.
 *
 * A message is one line: a word, then fields separated by spaces; the last field extends to the end
 * of the line (CR LF). Decoders expect a line without its terminator; encoders append complete lines.
 */
#pragma once

#include "gateway/statement.h"

#include <glib.h>

/** Ends a line. Each of the two bytes alone is part of a field, as any other byte. */
#define WIRE_LINE_END "\r\n"

enum
{
	WIRE_LINE_END_BYTES = 2,
	WIRE_MAX_MESSAGE_BYTES = 1024 * 1024, /**< Limit of the platform's protocol. */
	/** What is put in front of a statement for a server at most: "AFTER ", two numbers of 20 digits, a dot and a blank. */
	WIRE_MAX_POSITION_BYTES = 48,
};

struct caller_message wire_decode_caller (struct text line);

/** Like wire_decode_caller(), for lines from another VM, which may also carry the parts of struct
 * wire_prefix and internal statements. */
struct caller_message wire_decode_forwarded (struct text line);
struct server_message wire_decode_server (struct text line);

/** Decodes the row of a response to STATUS. @return 0 or -EBADMSG. */
int wire_decode_status (struct text row, struct database_status *status);

/** @p position may be NULL. */
void wire_encode_ready (GString *out, enum transaction_state state,
                        const struct log_position *position);

/** Like wire_encode_ready(), with the load of the server; sent between VMs only. */
void wire_encode_ready_with_load (GString *out, enum transaction_state state,
                                  const struct log_position *position,
                                  const struct load_report *load);

/** Encodes the completion of a statement that was not sent to a server. */
void wire_encode_complete (GString *out);
void wire_encode_error (GString *out, enum answer_code code, const char *message);

/**
 * Encodes the greeting to a server, which refuses it when its service or server id is another one.
 * @param caller the tenant, or the name of this VM.
 */
void wire_encode_start (GString *out, const char *service, const char *caller,
                        const char *server_id);

/** Optional parts in front of a statement; NULL when absent. */
struct wire_prefix
{
	const char *tenant;               /**< Sent between VMs only. */
	const struct forward_hint *hint;  /**< Sent between VMs only. */
	const struct log_position *after; /**< Position that the server's log must contain. */
};

/** Whether a server takes a statement of @p text_bytes, with what is put in front of it. */
bool wire_query_fits (size_t id_bytes, size_t text_bytes);

/** Encodes a caller's statement with its id and text unchanged. */
void wire_encode_query (GString *out, struct text id, struct wire_prefix prefix, struct text text);

/** Encodes EXECUTE with @p name in place of the caller's name of the prepared statement. */
void wire_encode_execute (GString *out, struct text id, struct wire_prefix prefix, const char *name,
                          struct text arguments);
void wire_encode_begin (GString *out, bool is_read_only, const struct log_position *after);
void wire_encode_rollback (GString *out);
void wire_encode_reset (GString *out);
void wire_encode_set (GString *out, struct text name, struct text value);
void wire_encode_prepare (GString *out, const char *name, bool is_write, struct text shape);
void wire_encode_status (GString *out);

/** Between VMs: the request for the last sample of a primary's owner, and the row of the response. */
void wire_encode_sample_request (GString *out);
void wire_encode_sample (GString *out, uint64_t age_us, struct log_position position);
/** @return 0 or -EBADMSG. */
int wire_decode_sample (struct text row, uint64_t *age_us, struct log_position *position);
void wire_encode_demote (GString *out, uint64_t term);
