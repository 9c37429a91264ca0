#include "common/counters.h"
#include "common/log.h"
#include "flamingospring/control_private.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

static bool
reply_state (struct control *control, struct rpc_connection *connection, uint32_t xid)
{
	size_t members = membership_count (control->membership);
	size_t others = membership_item_count (control->membership);
	struct fs_state_result result = { 0 };
	struct membership_item *items = g_new0 (struct membership_item, members + others + 1);
	u_int count = 0;

	result.items.items_val = g_new0 (struct fs_item, members + others + 1);
	for (size_t i = 0; i < members && count < FS_MAX_STATE; i++)
	{
		char key[MEMBERSHIP_KEY_BYTES];
		struct member member;

		/* Dead members are omitted, since a joining VM does not need them. */
		if (!membership_get (control->membership, i, &member) || member.state == MEMBER_DEAD)
			continue;
		g_snprintf (key, sizeof key, "%u", member.id);
		if (membership_find_item (control->membership, ITEM_MEMBER, key, &items[count]))
			count++;
	}
	for (size_t i = 0; i < others && count < FS_MAX_STATE; i++)
	{
		if (membership_get_item (control->membership, i, &items[count]))
			count++;
	}
	for (u_int i = 0; i < count; i++)
		control_item_encode (&items[i], &result.items.items_val[i]);
	result.items.items_len = count;
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_state_result, &result);
	g_free (result.items.items_val);
	g_free (items);
	return true;
}

static bool
reply_config (struct control *control, struct rpc_connection *connection, uint32_t xid, XDR *args)
{
	struct fs_config_result result = { 0 };
	u_quad_t revision;

	if (!xdr_u_quad_t (args, &revision))
		return rpc_connection_reject (connection, xid, GARBAGE_ARGS) == 0;
	control_documents_list (control, revision, &result);
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_config_result, &result);
	free (result.documents.documents_val);
	return true;
}

static bool
reply_opinion (struct control *control, struct rpc_connection *connection, uint32_t xid, XDR *args)
{
	struct fs_opinion_args in = { 0 };
	struct fs_opinion_result out = { 0 };
	struct failover_opinion opinion;

	if (!xdr_fs_opinion_args (args, &in))
	{
		xdr_free ((xdrproc_t) xdr_fs_opinion_args, &in);
		return rpc_connection_reject (connection, xid, GARBAGE_ARGS) == 0;
	}
	out.is_observer = control_observers_opinion (control, in.database, &opinion);
	if (out.is_observer)
	{
		out.term = opinion.term;
		out.primary = opinion.primary;
		out.suspects = opinion.suspects;
	}
	xdr_free ((xdrproc_t) xdr_fs_opinion_args, &in);
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_fs_opinion_result, &out);
	return true;
}

static bool
reply_announce (struct control *control, struct rpc_connection *connection, uint32_t xid, XDR *args)
{
	struct fs_announce_args in = { 0 };
	struct membership_item item = { .type = ITEM_GROUP };

	if (!xdr_fs_announce_args (args, &in) || strlen (in.database) >= sizeof item.key)
	{
		xdr_free ((xdrproc_t) xdr_fs_announce_args, &in);
		return rpc_connection_reject (connection, xid, GARBAGE_ARGS) == 0;
	}
	g_strlcpy (item.key, in.database, sizeof item.key);
	item.version = in.term;
	item.value = in.primary;
	control_merge_item (control, &item);
	xdr_free ((xdrproc_t) xdr_fs_announce_args, &in);
	rpc_connection_reply (connection, xid, (xdrproc_t) xdr_void, NULL);
	return true;
}

static bool
handle_peer_call (struct control *control, struct rpc_connection *connection, uint32_t xid,
                  uint32_t procedure, XDR *args)
{
	switch (procedure)
	{
	case FS_PEER_NULL:
		return rpc_connection_reply (connection, xid, (xdrproc_t) xdr_void, NULL) == 0;
	case FS_PEER_STATE_PULL:
		return reply_state (control, connection, xid);
	case FS_PEER_CONFIG_PULL:
		return reply_config (control, connection, xid, args);
	case FS_PEER_OPINION:
		return reply_opinion (control, connection, xid, args);
	case FS_PEER_ANNOUNCE:
		return reply_announce (control, connection, xid, args);
	default:
		return rpc_connection_reject (connection, xid, PROC_UNAVAIL) == 0;
	}
}

static bool
handle_call (struct rpc_accepted *accepted, uint32_t xid, uint32_t program, uint32_t procedure,
             XDR *args)
{
	struct control *control = accepted->listener->data;

	if (program == FS_PEER_PROGRAM)
		return handle_peer_call (control, &accepted->rpc, xid, procedure, args);
	if (program == FS_OPERATOR_PROGRAM)
		return control_operator_handle_call (control, &accepted->rpc, xid, procedure, args);
	return rpc_connection_reject (&accepted->rpc, xid, PROG_UNAVAIL) == 0;
}

static void
handle_closed (struct rpc_accepted *accepted)
{
	counter_add (COUNTER_CONTROL_SENT_BYTES, (int64_t) accepted->rpc.sent_bytes);
	counter_add (COUNTER_CONTROL_RECEIVED_BYTES, (int64_t) accepted->rpc.received_bytes);
}

static const struct rpc_listener_ops server_ops = {
	.handle_call = handle_call,
	.handle_closed = handle_closed,
};

struct control_reply_handle
control_reply_defer (struct rpc_connection *connection, uint32_t xid)
{
	const struct rpc_accepted *accepted = connection->data;

	return (struct control_reply_handle){ .connection = accepted->handle, .xid = xid };
}

void
control_reply_send (struct control *control, struct control_reply_handle handle, xdrproc_t encode,
                    const void *result)
{
	struct rpc_accepted *accepted = rpc_listener_find (&control->server, handle.connection);

	if (accepted)
		rpc_connection_reply (&accepted->rpc, handle.xid, encode, result);
}

int
control_server_init (struct control *control)
{
	const struct rpc_listener_settings settings = {
		.name = "control",
		.connection_bytes = sizeof (struct rpc_accepted),
		.max_connections = CONTROL_MAX_CLIENTS,
		.ip = control->settings->ip,
		.port = control->settings->control_port,
	};

	return rpc_listener_init (&control->server, &control->loop, &server_ops, control, &settings);
}

void
control_server_finish (struct control *control)
{
	rpc_listener_finish (&control->server);
}
