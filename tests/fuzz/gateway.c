/* Guards against lines of callers, servers and other VMs, datagrams, and documents of the store that make a gateway read
 * out of bounds, leak, or end. Directory entries and configurations may come from any writer. */
#include "protocols/gateway.h"
#include "fuzz.h"
#include "gateway/cap_exchange.h"
#include "platform/documents.h"
#include "platform/wire.h"

#include <stdlib.h>
#include <string.h>

enum fuzzed
{
	FUZZED_CALLER,
	FUZZED_FORWARDED,
	FUZZED_SERVER,
	FUZZED_ROWS,
	FUZZED_CONFIGURATION,
	FUZZED_SERVER_ENTRY,
	FUZZED_DATAGRAM,
	FUZZED_CAP,
	FUZZED_COUNT,
};

static const struct
{
	xdrproc_t decode;
	size_t bytes;
} arguments[] = {
	{ (xdrproc_t) xdr_fs_lead_args, sizeof (struct fs_lead_args) },
	{ (xdrproc_t) xdr_fs_quiesced_args, sizeof (struct fs_quiesced_args) },
	{ (xdrproc_t) xdr_fs_reachability_args, sizeof (struct fs_reachability_args) },
	{ (xdrproc_t) xdr_fs_hello_args, sizeof (struct fs_hello_args) },
	{ (xdrproc_t) xdr_fs_zone_args, sizeof (struct fs_zone_args) },
};

static void
check_within (struct text part, struct text line)
{
	if (part.length > 0 &&
	    (part.start < line.start || part.start + part.length > line.start + line.length))
		abort ();
}

static void
run_caller (struct text line, bool is_forwarded)
{
	struct caller_message message =
		is_forwarded ? wire_decode_forwarded (line) : wire_decode_caller (line);

	check_within (message.database, line);
	check_within (message.caller, line);
	check_within (message.id, line);
	check_within (message.text, line);
	check_within (message.statement.name, line);
	check_within (message.statement.arguments, line);
	/* Only VMs of the fleet may send these. */
	if (!is_forwarded &&
	    (message.has_hint || message.has_after || message.statement.kind == STATEMENT_RESET ||
	     message.statement.kind == STATEMENT_SAMPLE))
		abort ();
}

static void
run_rows (struct text row)
{
	struct database_status status;
	struct log_position position;
	uint64_t age_us;

	wire_decode_status (row, &status);
	wire_decode_sample (row, &age_us, &position);
}

static void
run_server_entry (const char *value, size_t length)
{
	struct platform_pair pair = {
		.key = "servers/i-1", .value = value, .value_length = length, .revision = 1
	};
	struct server_entry entry;

	if (documents_decode_server (&pair, &entry) < 0)
		return;
	if (!entry.id || !entry.service || !entry.zone || entry.port == 0)
		abort ();
	server_entry_clear (&entry);
}

static void
run_datagram (const char *data, size_t size)
{
	union
	{
		struct fs_lead_args lead;
		struct fs_hello_args hello;
		struct fs_zone_args zone;
		char bytes[1024];
	} value;
	size_t type = size % (sizeof arguments / sizeof arguments[0]);
	XDR xdr;

	if (arguments[type].bytes > sizeof value)
		abort ();
	memset (&value, 0, sizeof value);
	xdrmem_create (&xdr, (char *) data, (u_int) size, XDR_DECODE);
	arguments[type].decode (&xdr, &value);
	xdr_free (arguments[type].decode, (char *) &value);
	xdr_destroy (&xdr);
}

/** A datagram of an unknown sender; an account is not to keep what only one input said. */
static void
run_cap (const char *data, size_t size)
{
	const struct usage_limit limit = { 1, true, 10, 10 };
	const struct usage_member own = { 1, 1 };
	struct cap_exchange exchange;
	struct sockaddr_in from = { 0 };
	struct loop loop = { 0 };

	cap_exchange_init (&exchange, &loop, "vm", "zone", 0, 0);
	exchange.has_caps = true;
	usage_caps_set_limit (&exchange.caps, &limit, 1);
	usage_caps_set_members (&exchange.caps, &own, 1, 1);
	cap_exchange_receive (&exchange, data, size, &from, 1);
	usage_caps_poll (&exchange.caps, 2);
	cap_exchange_finish (&exchange);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct configuration *configuration;
	struct text line;
	char *copy;

	if (size == 0)
		return 0;
	/* A copy of exactly the length, so that the sanitizer sees a read beyond it. */
	copy = malloc (size > 1 ? size - 1 : 1);
	memcpy (copy, data + 1, size - 1);
	line = (struct text){ copy, size - 1 };
	switch (data[0] % FUZZED_COUNT)
	{
	case FUZZED_CALLER:
		run_caller (line, false);
		break;
	case FUZZED_FORWARDED:
		run_caller (line, true);
		break;
	case FUZZED_SERVER:
		check_within (wire_decode_server (line).text, line);
		break;
	case FUZZED_ROWS:
		run_rows (line);
		break;
	case FUZZED_CONFIGURATION:
		configuration = documents_decode_configuration (line.start, line.length);
		if (configuration)
			configuration_release (configuration);
		break;
	case FUZZED_SERVER_ENTRY:
		run_server_entry (line.start, line.length);
		break;
	case FUZZED_DATAGRAM:
		run_datagram (line.start, line.length);
		break;
	case FUZZED_CAP:
		run_cap (line.start, line.length);
		break;
	}
	free (copy);
	return 0;
}
