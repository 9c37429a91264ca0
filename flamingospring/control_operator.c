#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/trace.h"
#include "flamingospring/control_private.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	APPLY_TIMEOUT_US = 8000000, /* A swap whose answer was lost is retried for this long. */
	APPLY_RETRY_US = 200000,
	OPERATOR_TRACE_BYTES = 256 * 1024,
};

/** An apply operation that waits for the platform. */
struct apply_operation
{
	struct control *control;
	struct control_reply_handle reply;
	struct loop_timer timer;
	int64_t deadline_us;
	char service[SCHEMA_NAME_BYTES];
	char operation_id[SCHEMA_NAME_BYTES];
	char *key;
	char *value;
	uint64_t expected;
};

static void
apply_finish (struct apply_operation *operation, int code, uint64_t revision, const char *message)
{
	struct fs_apply_result result = {
		.code = code,
		.message = (char *) message,
		.revision = revision,
	};

	log_event (code == 0 ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "apply",
	           "service=%s operation=%s code=%d "
	           "revision=%llu",
	           log_text (operation->service), log_text (operation->operation_id), code,
	           (unsigned long long) revision);
	control_reply_send (operation->control, operation->reply, (xdrproc_t) xdr_fs_apply_result,
	                    &result);
	g_free (operation->key);
	g_free (operation->value);
	free (operation);
}

/** Handles a failed compare: an earlier try of this operation has succeeded and its answer was
 * lost, or another operation has changed the document. */
static void
apply_handle_conflict (struct apply_operation *operation, const struct platform_answer *answer)
{
	char *operation_id = NULL;
	char *author = NULL;
	char *text = NULL;
	char *message;
	bool is_deleted;

	if (answer->count == 0)
	{
		apply_finish (operation, -ESTALE, 0, "the service does not exist; use expected revision 0");
		return;
	}
	if (control_document_parse (answer->pairs[0].value, &operation_id, &author, &text,
	                            &is_deleted) < 0)
		message = g_strdup ("the platform holds a malformed document");
	else if (strcmp (operation_id, operation->operation_id) == 0)
	{
		control_documents_offer (operation->control, operation->service, answer->pairs[0].revision,
		                         operation->value);
		apply_finish (operation, 0, answer->pairs[0].revision, "applied");
		goto out;
	}
	else
		message =
			g_strdup_printf ("conflict: revision %llu by %s (operation %s) won",
		                     (unsigned long long) answer->pairs[0].revision, author, operation_id);
	apply_finish (operation, -ESTALE, answer->pairs[0].revision, message);
	g_free (message);

out:
	g_free (operation_id);
	g_free (author);
	g_free (text);
}

static void
handle_swapped (void *data, const struct platform_answer *answer)
{
	struct apply_operation *operation = data;
	int64_t now_us = clock_now_us ();

	if (answer->error < 0 && now_us >= operation->deadline_us)
		apply_finish (
			operation, -ETIMEDOUT, 0,
			"the platform does not answer; the change may have been made: repeat with the "
			"same operation id");
	else if (answer->error < 0)
		loop_set_timer (&operation->control->loop, &operation->timer, now_us + APPLY_RETRY_US);
	else if (answer->succeeded)
	{
		control_documents_offer (operation->control, operation->service, answer->revision,
		                         operation->value);
		apply_finish (operation, 0, answer->revision, "applied");
	}
	else
		apply_handle_conflict (operation, answer);
}

/** Sends the swap. It can be repeated, since the stored operation id tells whether it was made. */
static void
handle_apply_timer (struct loop_timer *timer, int64_t now_us)
{
	struct apply_operation *operation = timer->data;
	struct platform *platform = &operation->control->platform;

	(void) now_us;
	if (platform->ops->swap (platform, operation->key, operation->expected, operation->value,
	                         strlen (operation->value), handle_swapped, operation) < 0)
		apply_finish (operation, -EIO, 0, "the platform client failed");
}

static void
check_databases (const struct control *control, const struct schema_service *service,
                 struct findings *findings)
{
	for (size_t i = 0; i < control->document_count; i++)
	{
		const struct snapshot_service *other = control->documents[i].adopted;

		if (!other || strcmp (other->schema.name, service->name) == 0)
			continue;
		for (size_t d = 0; d < service->database_count; d++)
		{
			if (schema_find_database (&other->schema, service->databases[d].name))
				findings_add (findings, service->name, 0, 0, service->databases[d].name,
				              "service %s already has a database of this name", other->schema.name);
		}
	}
}

/** Checks a document like `schema check`, and that no other service has its databases.
 * @return NULL when it is valid, or the findings as text. */
static char *
apply_check (const struct control *control, const struct fs_apply_args *args)
{
	struct schema_service service;
	struct findings findings;
	GString *text = g_string_new (NULL);

	findings_init (&findings);
	if (schema_service_init (&service, args->service, args->text, strlen (args->text), &findings) ==
	    0)
	{
		if (strcmp (service.name, args->service) != 0)
			findings_add (&findings, args->service, 0, 0, "service",
			              "the document is of service %s", service.name);
		check_databases (control, &service, &findings);
		schema_service_finish (&service);
	}
	for (size_t i = 0; i < findings.count; i++)
		g_string_append_printf (text, "%s:%u:%u: %s: %s\n", findings.items[i].source,
		                        findings.items[i].line, findings.items[i].column,
		                        findings.items[i].subject, findings.items[i].message);
	findings_finish (&findings);
	return g_string_free (text, text->len == 0);
}

static void
apply_start (struct control *control, struct control_reply_handle reply,
             const struct fs_apply_args *args)
{
	struct apply_operation *operation = calloc (1, sizeof *operation);

	if (!operation)
		return;
	operation->control = control;
	operation->reply = reply;
	operation->timer.handle_timer = handle_apply_timer;
	operation->timer.data = operation;
	operation->deadline_us = clock_now_us () + APPLY_TIMEOUT_US;
	operation->expected = args->expected_revision;
	operation->key = g_strdup_printf ("flamingospring/services/%s", args->service);
	operation->value = control_document_value (args->operation_id, args->author, args->text, false);
	g_strlcpy (operation->service, args->service, sizeof operation->service);
	g_strlcpy (operation->operation_id, args->operation_id, sizeof operation->operation_id);
	handle_apply_timer (&operation->timer, 0);
}

static bool
handle_apply (struct control *control, struct rpc_connection *connection, uint32_t xid, XDR *xdrs)
{
	struct fs_apply_args args = { 0 };
	struct fs_apply_result result = { .code = -EINVAL };
	char *problems = NULL;

	if (!xdr_fs_apply_args (xdrs, &args))
	{
		xdr_free ((xdrproc_t) xdr_fs_apply_args, &args);
		return rpc_connection_reject (connection, xid, GARBAGE_ARGS) == 0;
	}
	if (!args.operation_id[0] || !args.service[0])
		problems = g_strdup ("operation id and service are needed");
	else if (strlen (args.operation_id) >= SCHEMA_NAME_BYTES)
		problems =
			g_strdup_printf ("the operation id is longer than %d bytes", SCHEMA_NAME_BYTES - 1);
	else
		problems = apply_check (control, &args);
	result.message = problems;
	if (problems)
		rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_apply_result, &result);
	else
		apply_start (control, control_reply_defer (connection, xid), &args);
	g_free (problems);
	xdr_free ((xdrproc_t) xdr_fs_apply_args, &args);
	return true;
}

static char *
list_services (const struct control *control)
{
	GString *text = g_string_new (NULL);

	for (size_t i = 0; i < control->document_count; i++)
		g_string_append_printf (text, "%s %llu%s\n", control->documents[i].service,
		                        (unsigned long long) control->documents[i].revision,
		                        control->documents[i].is_deleted ? " deleted" : "");
	return g_string_free (text, FALSE);
}

static bool
handle_get (struct control *control, struct rpc_connection *connection, uint32_t xid, XDR *xdrs)
{
	struct fs_get_result result = { .message = (char *) "",
		                            .author = (char *) "",
		                            .text = (char *) "" };
	struct fs_name_args args = { 0 };
	const struct control_document *document;
	char *operation_id = NULL;
	char *author = NULL;
	char *text = NULL;
	bool is_deleted;

	if (!xdr_fs_name_args (xdrs, &args))
	{
		xdr_free ((xdrproc_t) xdr_fs_name_args, &args);
		return rpc_connection_reject (connection, xid, GARBAGE_ARGS) == 0;
	}
	document = control_documents_find (control, args.name);
	if (!args.name[0])
	{
		text = list_services (control);
		result.text = text;
		result.revision = configuration_revision (control->configuration);
	}
	else if (!document || document->is_deleted ||
	         control_document_parse (document->value, &operation_id, &author, &text, &is_deleted) <
	             0)
	{
		result.code = -ENOENT;
		result.message = (char *) "no such service";
	}
	else
	{
		result.revision = document->revision;
		result.author = author;
		result.text = text;
	}
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_get_result, &result);
	g_free (operation_id);
	g_free (author);
	g_free (text);
	xdr_free ((xdrproc_t) xdr_fs_name_args, &args);
	return true;
}

static char *
format_address (uint32_t ip, uint16_t port)
{
	return g_strdup_printf ("%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255,
	                        port);
}

static void
fill_member_rows (const struct control *control, struct fs_status_result *result)
{
	size_t count = membership_count (control->membership);

	result->members.members_val = g_new0 (struct fs_member_row, count + 1);
	for (size_t i = 0; i < count; i++)
	{
		struct fs_member_row *row = &result->members.members_val[result->members.members_len];
		struct member member;

		if (!membership_get (control->membership, i, &member))
			continue;
		row->id = member.id;
		row->zone = g_strdup (control_zone_name (control, member.address.zone));
		row->address = format_address (member.address.ip, member.address.control_port);
		row->state = member.state;
		row->config_revision = member.id == control->settings->vm_id
		                           ? configuration_revision (control->configuration)
		                           : member.config_revision;
		row->rtt_us = member.rtt_us;
		result->members.members_len++;
	}
}

static void
fill_server_rows (const struct snapshot *snapshot, struct fs_status_result *result)
{
	size_t count = 0;

	for (size_t i = 0; i < snapshot->group_count; i++)
		count += snapshot->groups[i].database->server_count;
	result->servers.servers_val = g_new0 (struct fs_server_row, count + 1);
	for (size_t i = 0; i < snapshot->group_count; i++)
	{
		const struct snapshot_group *group = &snapshot->groups[i];

		for (uint32_t s = 0; s < group->database->server_count; s++)
		{
			struct fs_server_row *row = &result->servers.servers_val[result->servers.servers_len++];

			row->database = g_strdup (group->database->name);
			row->server = s;
			row->address =
				format_address (group->database->servers[s].ip, group->database->servers[s].port);
			row->is_primary = group->has_primary && group->primary == s;
			row->is_leaving = group->servers[s].is_leaving;
			row->term = group->term;
			row->owner = group->servers[s].owners.owner;
			row->standby = group->servers[s].owners.standby;
		}
	}
}

static bool
handle_status (struct control *control, struct rpc_connection *connection, uint32_t xid)
{
	static const char *const phases[] = { "serving", "announcing", "finishing", "stopped" };
	struct fs_status_result result = { 0 };

	result.self = control->settings->vm_id;
	result.config_revision = configuration_revision (control->configuration);
	result.is_watcher = control->is_watcher;
	result.platform_ok = control->platform_ok;
	result.phase = g_strdup (phases[control->drain.phase]);
	fill_member_rows (control, &result);
	fill_server_rows (control->snapshots->current, &result);
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_status_result, &result);
	for (u_int i = 0; i < result.members.members_len; i++)
	{
		g_free (result.members.members_val[i].zone);
		g_free (result.members.members_val[i].address);
	}
	for (u_int i = 0; i < result.servers.servers_len; i++)
	{
		g_free (result.servers.servers_val[i].database);
		g_free (result.servers.servers_val[i].address);
	}
	g_free (result.members.members_val);
	g_free (result.servers.servers_val);
	g_free (result.phase);
	return true;
}

static bool
is_known_server (const struct control *control, const char *target)
{
	const char *slash = strrchr (target, '/');
	const struct snapshot_group *group;
	char *database;
	guint64 index;

	if (!slash || !g_ascii_string_to_unsigned (slash + 1, 10, 0, ROUTING_MAX_SERVERS, &index, NULL))
		return false;
	database = g_strndup (target, (gsize) (slash - target));
	group = snapshot_find_group (control->snapshots->current, database);
	g_free (database);
	return group && index < group->database->server_count;
}

static int
vm_drain (struct control *control, bool leaving)
{
	int result;

	if (leaving)
	{
		control_stop (control);
		return 0;
	}
	result = drain_cancel (&control->drain);
	if (result == 0)
	{
		control->stop_requested = 0;
		membership_set_leaving (control->membership, false, clock_now_us ());
		loop_cancel_timer (&control->loop, &control->drain_timer);
		control_schedule_publish (control);
		control_gossip_pump (control);
	}
	return result;
}

static int
server_drain (struct control *control, const char *target, bool leaving)
{
	struct membership_item item = { .type = ITEM_LEAVING, .value = leaving };

	if (!is_known_server (control, target) || strlen (target) >= sizeof item.key)
		return -ENOENT;
	g_strlcpy (item.key, target, sizeof item.key);
	item.version = clock_wall_ns () / 1000000u;
	control_merge_item (control, &item);
	control_gossip_pump (control);
	return 0;
}

static bool
handle_drain (struct control *control, struct rpc_connection *connection, uint32_t xid, XDR *xdrs)
{
	struct fs_operator_result result = { .message = (char *) "accepted" };
	struct fs_drain_args args = { 0 };

	if (!xdr_fs_drain_args (xdrs, &args))
	{
		xdr_free ((xdrproc_t) xdr_fs_drain_args, &args);
		return rpc_connection_reject (connection, xid, GARBAGE_ARGS) == 0;
	}
	if (args.target[0])
		result.code = server_drain (control, args.target, args.leaving);
	else
		result.code = vm_drain (control, args.leaving);
	if (result.code == -ENOENT)
		result.message = (char *) "no such server; write DATABASE/INDEX";
	else if (result.code < 0)
		result.message = (char *) "the VM is past the point of return";
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_operator_result, &result);
	xdr_free ((xdrproc_t) xdr_fs_drain_args, &args);
	return true;
}

static void
handle_forwarded (struct control *control, void *data, int status, void *result)
{
	struct control_reply_handle *reply = data;
	struct fs_operator_result lost = { .code = status,
		                               .message = (char *) "the observer does not answer" };

	control_reply_send (control, *reply, (xdrproc_t) xdr_fs_operator_result,
	                    status < 0 ? &lost : result);
	free (reply);
}

/** Forwards a promotion request to the owner of the group's first server, which is an observer. */
static int
promote_forward (struct control *control, const struct fs_promote_args *args,
                 struct control_reply_handle reply)
{
	const struct snapshot_group *group =
		snapshot_find_group (control->snapshots->current, args->database);
	struct control_call_request request = {
		.program = FS_OPERATOR_PROGRAM,
		.procedure = FS_OPERATOR_PROMOTE,
		.encode = (xdrproc_t) xdr_fs_promote_args,
		.args = args,
		.decode = (xdrproc_t) xdr_fs_operator_result,
		.result_size = sizeof (struct fs_operator_result),
		.handle = handle_forwarded,
	};
	struct member member;
	int result;

	if (!group || !membership_find (control->membership, group->servers[0].owners.owner, &member) ||
	    member.id == control->settings->vm_id)
		return -ENOENT;
	request.ip = member.address.ip;
	request.port = member.address.control_port;
	request.data = calloc (1, sizeof reply);
	if (!request.data)
		return -ENOMEM;
	memcpy (request.data, &reply, sizeof reply);
	result = control_call_start (control, &request);
	if (result < 0)
		free (request.data);
	return result;
}

static bool
handle_promote (struct control *control, struct rpc_connection *connection, uint32_t xid, XDR *xdrs)
{
	struct fs_operator_result result = { .message = (char *) "started" };
	struct fs_promote_args args = { 0 };

	if (!xdr_fs_promote_args (xdrs, &args))
	{
		xdr_free ((xdrproc_t) xdr_fs_promote_args, &args);
		return rpc_connection_reject (connection, xid, GARBAGE_ARGS) == 0;
	}
	result.code = control_observers_promote (control, args.database, args.server);
	if (result.code == -ENOENT)
	{
		result.code = promote_forward (control, &args, control_reply_defer (connection, xid));
		if (result.code == 0)
			goto out;
		result.message = (char *) "no such database";
	}
	else if (result.code < 0)
		result.message =
			(char *) (result.code == -EBUSY ? "a failover is under way" : "no such server");
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_operator_result, &result);

out:
	xdr_free ((xdrproc_t) xdr_fs_promote_args, &args);
	return true;
}

static bool
handle_counters (struct rpc_connection *connection, uint32_t xid)
{
	struct fs_counter_row rows[COUNTER_COUNT];
	struct fs_counters_result result = { .rows.rows_len = COUNTER_COUNT, .rows.rows_val = rows };

	for (int i = 0; i < COUNTER_COUNT; i++)
	{
		rows[i].name = (char *) counter_name ((enum counter) i);
		rows[i].value = counter_get ((enum counter) i);
	}
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_counters_result, &result);
	return true;
}

static bool
handle_trace (struct rpc_connection *connection, uint32_t xid)
{
	char *text = g_malloc (OPERATOR_TRACE_BYTES);

	trace_recent (text, OPERATOR_TRACE_BYTES);
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_operator_text, &text);
	g_free (text);
	return true;
}

bool
control_operator_handle_call (struct control *control, struct rpc_connection *connection,
                              uint32_t xid, uint32_t procedure, XDR *args)
{
	switch (procedure)
	{
	case FS_OPERATOR_NULL:
		return rpc_connection_reply (connection, xid, (xdrproc_t) xdr_void, NULL) == 0;
	case FS_OPERATOR_APPLY:
		return handle_apply (control, connection, xid, args);
	case FS_OPERATOR_GET:
		return handle_get (control, connection, xid, args);
	case FS_OPERATOR_STATUS:
		return handle_status (control, connection, xid);
	case FS_OPERATOR_DRAIN:
		return handle_drain (control, connection, xid, args);
	case FS_OPERATOR_PROMOTE:
		return handle_promote (control, connection, xid, args);
	case FS_OPERATOR_COUNTERS:
		return handle_counters (connection, xid);
	case FS_OPERATOR_TRACE:
		return handle_trace (connection, xid);
	default:
		return rpc_connection_reject (connection, xid, PROC_UNAVAIL) == 0;
	}
}
