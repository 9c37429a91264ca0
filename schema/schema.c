#include "schema/schema.h"

#include "schema/generate.h"
#include "schema/yaml_reader.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	SCHEMA_MAX_TENANTS = 32, /* ADMISSION_MAX_TENANTS */
	SCHEMA_MAX_DATABASES = 4096,
	SCHEMA_MAX_CALLS = 4096,
	SCHEMA_MAX_MS = 3600000,
	SCHEMA_MIN_CONNECTIONS = 8, /* 6 for monitors and 1 for each of two owners. */
	SCHEMA_MAX_CONNECTIONS = 10000,
	SCHEMA_MAX_STATEMENT_BYTES = 16384,
	SCHEMA_FLOORS_MAX_PERCENT = 80, /* The rest is left to the urgent rank. */
	SCHEMA_DEFAULT_RUN_LIMIT_MS = 5000,
};

static const char *const rank_names[] = { "urgent", "normal", "low", NULL };
static const char *const consistency_names[] = { "session", "bounded", "primary", "monotonic",
	                                             NULL };
static const char *const kind_names[] = { "read", "write", NULL };

static const struct schema_rank rank_defaults[RANK_COUNT] = {
	[RANK_URGENT] = { .target_ms = 50,
	                  .timeout_ms = 2000,
	                  .floor_percent = 0,
	                  .queue_limit = 1000 },
	[RANK_NORMAL] = { .target_ms = 200,
	                  .timeout_ms = 5000,
	                  .floor_percent = 20,
	                  .queue_limit = 1000 },
	[RANK_LOW] = { .target_ms = 2000,
	               .timeout_ms = 10000,
	               .floor_percent = 10,
	               .queue_limit = 200 },
};

static bool
parse_hex (const char *text, uint8_t *bytes, size_t count)
{
	if (strlen (text) != count * 2)
		return false;
	for (size_t i = 0; i < count; i++)
	{
		char pair[3] = { text[2 * i], text[2 * i + 1], 0 };

		if (!isxdigit ((unsigned char) pair[0]) || !isxdigit ((unsigned char) pair[1]))
			return false;
		bytes[i] = (uint8_t) strtoul (pair, NULL, 16);
	}
	return true;
}

static void
read_key (struct yaml_reader *reader, const yaml_node_t *node, struct schema_service *service)
{
	static const char *const keys[] = { "id", "secret", NULL };
	struct schema_key *key = &service->keys[service->key_count];
	const char *secret;

	if (!yaml_reader_check_mapping (reader, node, "session_keys", keys))
		return;
	key->id = yaml_reader_number (reader, node, "id", "session_keys", 1, UINT32_MAX, 0, true);
	secret = yaml_reader_text (reader, node, "secret", "session_keys");
	if (!secret)
		return;
	if (!parse_hex (secret, key->secret, SCHEMA_KEY_BYTES))
	{
		yaml_reader_report (reader, node, "session_keys",
		                    "\"secret\" must be %d hexadecimal digits", SCHEMA_KEY_BYTES * 2);
		return;
	}
	for (uint32_t i = 0; i < service->key_count; i++)
	{
		if (service->keys[i].id == key->id)
			yaml_reader_report (reader, node, "session_keys", "duplicate id %u", key->id);
	}
	service->key_count++;
}

static void
read_keys (struct yaml_reader *reader, const yaml_node_t *root, struct schema_service *service)
{
	yaml_node_t *node = yaml_reader_find (reader, root, "session_keys");
	size_t count;

	if (!node)
	{
		yaml_reader_report (reader, root, "session_keys", "key \"session_keys\" is missing");
		return;
	}
	count = yaml_reader_sequence_length (reader, node, "session_keys");
	if (count < 1 || count > SCHEMA_MAX_KEYS)
	{
		yaml_reader_report (reader, node, "session_keys", "1 to %d keys are required",
		                    SCHEMA_MAX_KEYS);
		return;
	}
	for (size_t i = 0; i < count; i++)
		read_key (reader, yaml_reader_item (reader, node, i), service);
}

static void
read_rank (struct yaml_reader *reader, const yaml_node_t *node, struct schema_rank *rank,
           const char *name)
{
	static const char *const keys[] = { "target_ms", "timeout_ms", "floor_percent", "queue_limit",
		                                NULL };

	if (!yaml_reader_check_mapping (reader, node, name, keys))
		return;
	rank->target_ms = yaml_reader_number (reader, node, "target_ms", name, 1, SCHEMA_MAX_MS,
	                                      rank->target_ms, false);
	rank->timeout_ms = yaml_reader_number (reader, node, "timeout_ms", name, 1, SCHEMA_MAX_MS,
	                                       rank->timeout_ms, false);
	rank->floor_percent =
		yaml_reader_number (reader, node, "floor_percent", name, 0, SCHEMA_FLOORS_MAX_PERCENT,
	                        rank->floor_percent, false);
	rank->queue_limit = yaml_reader_number (reader, node, "queue_limit", name, 1, 1000000,
	                                        rank->queue_limit, false);
	if (rank->target_ms > rank->timeout_ms)
		yaml_reader_report (reader, node, name, "target_ms %u is above timeout_ms %u",
		                    rank->target_ms, rank->timeout_ms);
}

static void
read_ranks (struct yaml_reader *reader, const yaml_node_t *root, struct schema_service *service)
{
	yaml_node_t *node = yaml_reader_find (reader, root, "ranks");
	uint32_t floors = 0;

	memcpy (service->ranks, rank_defaults, sizeof service->ranks);
	if (!node || !yaml_reader_check_mapping (reader, node, "ranks", rank_names))
		return;
	for (int i = 0; i < RANK_COUNT; i++)
	{
		yaml_node_t *rank = yaml_reader_find (reader, node, rank_names[i]);

		if (rank)
			read_rank (reader, rank, &service->ranks[i], rank_names[i]);
		floors += service->ranks[i].floor_percent;
	}
	if (floors > SCHEMA_FLOORS_MAX_PERCENT)
		yaml_reader_report (reader, node, "ranks", "the floors add up to %u percent, above %d",
		                    floors, SCHEMA_FLOORS_MAX_PERCENT);
}

static void
read_tenants (struct yaml_reader *reader, const yaml_node_t *root, struct schema_service *service)
{
	static const char *const keys[] = { "name", "weight", NULL };
	yaml_node_t *node = yaml_reader_find (reader, root, "tenants");
	size_t count = node ? yaml_reader_sequence_length (reader, node, "tenants") : 0;

	if (count > SCHEMA_MAX_TENANTS)
	{
		yaml_reader_report (reader, node, "tenants", "more than %d tenants", SCHEMA_MAX_TENANTS);
		return;
	}
	service->tenants = calloc (count ? count : 1, sizeof *service->tenants);
	if (!service->tenants)
		return;
	for (size_t i = 0; i < count; i++)
	{
		yaml_node_t *item = yaml_reader_item (reader, node, i);
		struct schema_tenant *tenant = &service->tenants[service->tenant_count];

		if (!yaml_reader_check_mapping (reader, item, "tenants", keys))
			continue;
		if (!yaml_reader_name (reader, item, "name", "tenants", tenant->name, sizeof tenant->name))
			continue;
		tenant->weight =
			yaml_reader_number (reader, item, "weight", tenant->name, 1, 1000, 1, false);
		if (schema_find_tenant (service, tenant->name) >= 0)
			yaml_reader_report (reader, item, tenant->name, "duplicate tenant");
		service->tenant_count++;
	}
}

static bool
parse_address (const char *text, struct schema_server *server)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr (text, ':');
	struct in_addr parsed;
	unsigned long port;
	char *end;

	if (!colon || (size_t) (colon - text) >= sizeof ip)
		return false;
	memcpy (ip, text, (size_t) (colon - text));
	ip[colon - text] = 0;
	port = strtoul (colon + 1, &end, 10);
	if (inet_pton (AF_INET, ip, &parsed) != 1 || end == colon + 1 || *end || port < 1 ||
	    port > 65535)
		return false;
	server->ip = ntohl (parsed.s_addr);
	server->port = (uint16_t) port;
	return true;
}

static void
read_server (struct yaml_reader *reader, const yaml_node_t *node, struct schema_database *database)
{
	static const char *const keys[] = { "address", "zone", NULL };
	struct schema_server *server = &database->servers[database->server_count];
	const char *address;

	if (!yaml_reader_check_mapping (reader, node, database->name, keys))
		return;
	yaml_reader_name (reader, node, "zone", database->name, server->zone, sizeof server->zone);
	address = yaml_reader_text (reader, node, "address", database->name);
	if (!address)
		return;
	if (!parse_address (address, server))
		yaml_reader_report (reader, node, database->name, "address \"%s\" is not IP:PORT", address);
	for (uint32_t i = 0; i < database->server_count; i++)
	{
		if (database->servers[i].ip == server->ip && database->servers[i].port == server->port)
			yaml_reader_report (reader, node, database->name, "duplicate address \"%s\"", address);
	}
	database->server_count++;
}

static void
read_database (struct yaml_reader *reader, const yaml_node_t *node, struct schema_service *service)
{
	static const char *const keys[] = { "name", "slots", "connections", "servers", NULL };
	struct schema_database *database = &service->databases[service->database_count];
	yaml_node_t *servers;
	size_t count;

	if (!yaml_reader_check_mapping (reader, node, "databases", keys))
		return;
	if (!yaml_reader_name (reader, node, "name", "databases", database->name,
	                       sizeof database->name))
		return;
	if (schema_find_database (service, database->name))
		yaml_reader_report (reader, node, database->name, "duplicate database");
	service->database_count++;
	database->slots = yaml_reader_number (reader, node, "slots", database->name, 1, 1000, 1, true);
	database->connections =
		yaml_reader_number (reader, node, "connections", database->name, SCHEMA_MIN_CONNECTIONS,
	                        SCHEMA_MAX_CONNECTIONS, SCHEMA_MIN_CONNECTIONS, true);
	servers = yaml_reader_find (reader, node, "servers");
	if (!servers)
	{
		yaml_reader_report (reader, node, database->name, "key \"servers\" is missing");
		return;
	}
	count = yaml_reader_sequence_length (reader, servers, database->name);
	if (count < 1 || count > ROUTING_MAX_SERVERS)
	{
		yaml_reader_report (reader, servers, database->name, "1 to %d servers are required",
		                    ROUTING_MAX_SERVERS);
		return;
	}
	for (size_t i = 0; i < count; i++)
		read_server (reader, yaml_reader_item (reader, servers, i), database);
}

static void
read_databases (struct yaml_reader *reader, const yaml_node_t *root, struct schema_service *service)
{
	yaml_node_t *node = yaml_reader_find (reader, root, "databases");
	size_t count;

	if (!node)
	{
		yaml_reader_report (reader, root, "databases", "key \"databases\" is missing");
		return;
	}
	count = yaml_reader_sequence_length (reader, node, "databases");
	if (count < 1 || count > SCHEMA_MAX_DATABASES)
	{
		yaml_reader_report (reader, node, "databases", "1 to %d databases are required",
		                    SCHEMA_MAX_DATABASES);
		return;
	}
	service->databases = calloc (count, sizeof *service->databases);
	if (!service->databases)
		return;
	for (size_t i = 0; i < count; i++)
		read_database (reader, yaml_reader_item (reader, node, i), service);
}

/** Highest parameter number $N in a statement, ignoring quoted text. */
static uint32_t
highest_param (const char *statement)
{
	uint32_t highest = 0;
	char quote = 0;

	for (const char *c = statement; *c; c++)
	{
		if (quote)
			quote = *c == quote ? 0 : quote;
		else if (*c == '\'' || *c == '"')
			quote = *c;
		else if (*c == '$' && isdigit ((unsigned char) c[1]))
		{
			uint32_t number = (uint32_t) strtoul (c + 1, NULL, 10);

			highest = number > highest ? number : highest;
		}
	}
	return highest;
}

static void
read_call_database (struct yaml_reader *reader, const yaml_node_t *node,
                    const struct schema_service *service, struct schema_call *call)
{
	const struct schema_database *database;

	if (!yaml_reader_name (reader, node, "database", call->name, call->database,
	                       sizeof call->database))
		return;
	database = schema_find_database (service, call->database);
	if (!database)
		yaml_reader_report (reader, node, call->name, "database \"%s\" is not declared",
		                    call->database);
	else
		call->database_index = (uint32_t) (database - service->databases);
}

static void
read_call_policy (struct yaml_reader *reader, const yaml_node_t *node, struct schema_call *call)
{
	int kind = yaml_reader_choice (reader, node, "kind", call->name, kind_names, 0);
	int rank = yaml_reader_choice (reader, node, "rank", call->name, rank_names, RANK_NORMAL);
	int consistency = yaml_reader_choice (reader, node, "consistency", call->name,
	                                      consistency_names, READ_SESSION);

	call->is_write = kind == 1;
	call->rank = rank < 0 ? RANK_NORMAL : (enum rank) rank;
	call->consistency = consistency < 0 ? READ_SESSION : (enum read_consistency) consistency;
	call->is_idempotent = yaml_reader_bool (reader, node, "idempotent", call->name, false);
	call->max_age_ms =
		yaml_reader_number (reader, node, "max_age_ms", call->name, 1, SCHEMA_MAX_MS, 0, false);
	if (call->is_write && yaml_reader_find (reader, node, "consistency"))
		yaml_reader_report (reader, node, call->name, "a write has no \"consistency\"");
	if (!call->is_write && yaml_reader_find (reader, node, "idempotent"))
		yaml_reader_report (reader, node, call->name, "a read has no \"idempotent\"");
	if (call->consistency == READ_BOUNDED && call->max_age_ms == 0)
		yaml_reader_report (reader, node, call->name,
		                    "consistency \"bounded\" needs \"max_age_ms\"");
	if (call->consistency != READ_BOUNDED && call->max_age_ms != 0)
		yaml_reader_report (reader, node, call->name,
		                    "\"max_age_ms\" needs consistency \"bounded\"");
}

static void
read_call_statement (struct yaml_reader *reader, const yaml_node_t *node, struct schema_call *call)
{
	const char *statement = yaml_reader_text (reader, node, "statement", call->name);

	call->param_count =
		yaml_reader_number (reader, node, "params", call->name, 0, SCHEMA_MAX_PARAMS, 0, false);
	if (!statement)
		return;
	if (!statement[0] || strlen (statement) > SCHEMA_MAX_STATEMENT_BYTES)
		yaml_reader_report (reader, node, call->name, "\"statement\" must have 1 to %d bytes",
		                    SCHEMA_MAX_STATEMENT_BYTES);
	if (highest_param (statement) != call->param_count)
		yaml_reader_report (reader, node, call->name,
		                    "the statement uses $1 to $%u, \"params\" says %u",
		                    highest_param (statement), call->param_count);
	call->statement = strdup (statement);
}

static void
read_call (struct yaml_reader *reader, const yaml_node_t *node, struct schema_service *service)
{
	static const char *const keys[] = { "name",         "database",   "kind",       "rank",
		                                "consistency",  "max_age_ms", "idempotent", "params",
		                                "run_limit_ms", "statement",  NULL };
	struct schema_call *call = &service->calls[service->call_count];

	if (!yaml_reader_check_mapping (reader, node, "calls", keys))
		return;
	if (!yaml_reader_name (reader, node, "name", "calls", call->name, sizeof call->name))
		return;
	for (size_t i = 0; i < service->call_count; i++)
	{
		if (strcmp (service->calls[i].name, call->name) == 0)
			yaml_reader_report (reader, node, call->name, "duplicate call");
		else if (schema_procedure_number (service->calls[i].name) ==
		         schema_procedure_number (call->name))
			yaml_reader_report (reader, node, call->name,
			                    "the name hashes to the procedure number of \"%s\"; choose another",
			                    service->calls[i].name);
	}
	service->call_count++;
	read_call_database (reader, node, service, call);
	read_call_policy (reader, node, call);
	read_call_statement (reader, node, call);
	call->run_limit_ms = yaml_reader_number (reader, node, "run_limit_ms", call->name, 1,
	                                         SCHEMA_MAX_MS, SCHEMA_DEFAULT_RUN_LIMIT_MS, false);
}

static int
call_compare (const void *a, const void *b)
{
	return strcmp (((const struct schema_call *) a)->name, ((const struct schema_call *) b)->name);
}

static void
read_calls (struct yaml_reader *reader, const yaml_node_t *root, struct schema_service *service)
{
	yaml_node_t *node = yaml_reader_find (reader, root, "calls");
	size_t count = node ? yaml_reader_sequence_length (reader, node, "calls") : 0;

	if (count < 1 || count > SCHEMA_MAX_CALLS)
	{
		yaml_reader_report (reader, node ? node : root, "calls", "1 to %d calls are required",
		                    SCHEMA_MAX_CALLS);
		return;
	}
	service->calls = calloc (count, sizeof *service->calls);
	if (!service->calls)
		return;
	for (size_t i = 0; i < count; i++)
		read_call (reader, yaml_reader_item (reader, node, i), service);
	qsort (service->calls, service->call_count, sizeof *service->calls, call_compare);
}

int
schema_service_init (struct schema_service *service, const char *source, const char *text,
                     size_t length, struct findings *findings)
{
	static const char *const keys[] = { "service",   "session_keys", "ranks", "tenants",
		                                "databases", "calls",        NULL };
	size_t before = findings->count;
	struct yaml_reader reader;
	yaml_node_t *root;
	int result;

	memset (service, 0, sizeof *service);
	result = yaml_reader_init (&reader, source, text, length, findings);
	if (result < 0)
		goto out;
	root = yaml_reader_root (&reader);
	if (yaml_reader_check_mapping (&reader, root, "", keys))
	{
		yaml_reader_name (&reader, root, "service", "service", service->name, sizeof service->name);
		read_keys (&reader, root, service);
		read_ranks (&reader, root, service);
		read_tenants (&reader, root, service);
		read_databases (&reader, root, service);
		read_calls (&reader, root, service);
	}
	if (findings->count > before)
		result = -EINVAL;
	else if (!service->tenants || !service->databases || !service->calls)
		result = -ENOMEM;

out:
	yaml_reader_finish (&reader);
	if (result < 0)
		schema_service_finish (service);
	return result;
}

void
schema_service_finish (struct schema_service *service)
{
	for (size_t i = 0; service->calls && i < service->call_count; i++)
		free (service->calls[i].statement);
	free (service->tenants);
	free (service->databases);
	free (service->calls);
	memset (service, 0, sizeof *service);
}

static int
call_compare_name (const void *name, const void *call)
{
	return strcmp (name, ((const struct schema_call *) call)->name);
}

const struct schema_call *
schema_find_call (const struct schema_service *service, const char *name)
{
	return bsearch (name, service->calls, service->call_count, sizeof *service->calls,
	                call_compare_name);
}

const struct schema_database *
schema_find_database (const struct schema_service *service, const char *name)
{
	for (size_t i = 0; service->databases && i < service->database_count; i++)
	{
		if (strcmp (service->databases[i].name, name) == 0)
			return &service->databases[i];
	}
	return NULL;
}

int
schema_find_tenant (const struct schema_service *service, const char *name)
{
	for (size_t i = 0; i < service->tenant_count; i++)
	{
		if (strcmp (service->tenants[i].name, name) == 0)
			return (int) i;
	}
	return -ENOENT;
}
