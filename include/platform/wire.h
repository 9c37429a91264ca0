/**
 * @file
 * Codec of the platform's database wire protocol, for callers and for servers.
 *
 * A message is one line: a word, then fields separated by blanks; the last field reaches to the end
 * of the line (CR LF). Decoders take a line without its end; encoders append whole lines.
 */
#pragma once

#include "gateway/statement.h"

#include <glib.h>

enum
{
	WIRE_MAX_MESSAGE_BYTES = 1024 * 1024, /**< Platform's protocol page. */
};

struct caller_message wire_decode_caller (struct text line);

/** As wire_decode_caller(), for lines from another VM, which may have more parts. */
struct caller_message wire_decode_forwarded (struct text line);
struct server_message wire_decode_server (struct text line);

/** Decodes the row that answers a status question. @return 0 or -EBADMSG. */
int wire_decode_status (struct text row, struct database_status *status);

/** @p position may be NULL. */
void wire_encode_ready (GString *out, enum transaction_state state,
                        const struct log_position *position);

/** Completion of a statement that no server ran. */
void wire_encode_complete (GString *out);
void wire_encode_error (GString *out, enum answer_code code, const char *message);

/** Greeting to a server: refused when another service or server listens there. */
void wire_encode_start (GString *out, const char *service, const char *vm, const char *server_id);

/** Parts before a statement; each may be NULL. */
struct wire_prefix
{
	const struct forward_hint *hint;  /**< Only between VMs. */
	const struct log_position *after; /**< The log must contain this position. */
};

/** A caller's statement, with its id and text unchanged. */
void wire_encode_query (GString *out, struct text id, struct wire_prefix prefix, struct text text);

/** EXECUTE under another prepared name. */
void wire_encode_execute (GString *out, struct text id, struct wire_prefix prefix, const char *name,
                          struct text arguments);
void wire_encode_begin (GString *out, bool is_read_only, const struct log_position *after);
void wire_encode_rollback (GString *out);
void wire_encode_reset (GString *out);
void wire_encode_set (GString *out, const char *name, const char *value);
void wire_encode_prepare (GString *out, const char *name, bool is_write, const char *shape);
void wire_encode_status (GString *out);

/** Between VMs: asks the owner of a primary for its last sample; the row that answers. */
void wire_encode_sample_request (GString *out);
void wire_encode_sample (GString *out, uint64_t age_us, struct log_position position);
int wire_decode_sample (struct text row, uint64_t *age_us, struct log_position *position);
void wire_encode_demote (GString *out, uint64_t term);
