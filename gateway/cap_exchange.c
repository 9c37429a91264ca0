#include "gateway/cap_exchange.h"

#include "common/counters.h"
#include "common/log.h"
#include "gateway/traffic_private.h"
#include "protocols/cap.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

enum
{
	CAP_POLL_US = 20 * US_PER_MS,
	/* While a report is due as soon as the interval of reports allows it. */
	CAP_URGENT_POLL_US = 4 * US_PER_MS,
	CAP_LOG_US = 1 * US_PER_S, /* Interval of log lines about a tenant. */
	CAP_READ_BURST = 64,
	/* Longest wait of an operation for a token. */
	CAP_MAX_WAIT_US = 150 * US_PER_MS,
	/* The other VMs delete the record of a VM that they do not hear after 18 s, and then use its share of the caps. */
	CAP_ISOLATED_US = 15 * US_PER_S,
};

struct cap_address
{
	uint32_t vm;
	uint32_t ip;
	uint16_t port;
};

enum
{
	CAP_CHOICE_EPOCH_SHIFT = 4,
	CAP_CHOICE_GROUP_SHIFT = 1,
	CAP_CHOICE_GROUP_MASK = 7,
	CAP_CHOICE_FLAG = 1,
	CAP_WORD_BITS = 16,
	CAP_WORD_MASK = 0xffff,
};

static uint32_t
pack_choice (uint32_t epoch, uint32_t group, bool flag)
{
	return epoch << CAP_CHOICE_EPOCH_SHIFT | group << CAP_CHOICE_GROUP_SHIFT | flag;
}

static uint32_t
pack_words (uint16_t high, uint16_t low)
{
	return (uint32_t) high << CAP_WORD_BITS | low;
}

/** Identifier of a VM or zone; never 0. */
static uint32_t
hash_name (const char *name)
{
	return (uint32_t) XXH64 (name, strlen (name), 0) | 1;
}

static void
send_message (struct cap_exchange *exchange, const struct fs_cap_message *message,
              const struct sockaddr_in *to)
{
	char buffer[CAP_MAX_DATAGRAM_BYTES];
	size_t length;
	XDR xdr;

	xdrmem_create (&xdr, buffer, sizeof buffer, XDR_ENCODE);
	if (!xdr_fs_cap_message (&xdr, (struct fs_cap_message *) message))
		return;
	length = xdr_getpos (&xdr);
	counter_add (COUNTER_CAP_SENT_BYTES, (int64_t) length);
	/* A datagram that is not sent is as one that is lost. */
	if (sendto (exchange->source.fd, buffer, length, 0, (const struct sockaddr *) to, sizeof *to) <
	    0)
		log_event (LOG_LEVEL_DEBUG, "cap_not_sent", "error=%d", errno);
}

static void
send_report (void *data, uint32_t vm, const struct usage_report *report)
{
	struct cap_exchange *exchange = data;
	struct fs_cap_request requests[USAGE_MAX_ENTRIES];
	struct fs_cap_message message = { .kind = FS_CAP_REPORT };
	struct fs_cap_report *args = &message.fs_cap_message_u.report;

	G_STATIC_ASSERT ((int) USAGE_MAX_ENTRIES == FS_CAP_MAX_TENANTS);
	*args = (struct fs_cap_report){ .vm = report->vm,
		                            .start = report->start,
		                            .number = report->number,
		                            .choice = pack_choice (report->epoch, report->group,
		                                                   report->is_lending),
		                            .tenants = { report->count, requests } };
	for (uint32_t i = 0; i < report->count; i++)
	{
		const struct usage_request *request = &report->tenants[i];

		requests[i] = (struct fs_cap_request){ (uint32_t) request->tenant, request->received,
			                                   pack_words (request->held, request->returned),
			                                   pack_words (request->waiting, request->wanted) };
	}
	for (guint i = 0; i < exchange->addresses->len; i++)
	{
		const struct cap_address *address =
			&g_array_index (exchange->addresses, struct cap_address, i);

		const struct sockaddr_in to = { .sin_family = AF_INET,
			                            .sin_port = htons (address->port),
			                            .sin_addr.s_addr = htonl (address->ip) };

		if (address->vm != vm)
			continue;
		counter_add (COUNTER_CAP_REPORTS, 1);
		send_message (exchange, &message, &to);
	}
}

static void
send_grant (struct cap_exchange *exchange, const struct usage_grant *grant,
            const struct sockaddr_in *to)
{
	struct fs_cap_entry entries[USAGE_MAX_ENTRIES];
	struct fs_cap_message message = { .kind = FS_CAP_GRANT };

	message.fs_cap_message_u.grant = (struct fs_cap_grant){
		.account = grant->account,
		.start = (uint32_t) grant->start,
		.number = grant->number,
		.choice = pack_choice (grant->epoch, grant->group, grant->is_leaving),
		.tenants = { grant->count, entries },
	};
	for (uint32_t i = 0; i < grant->count; i++)
		entries[i] =
			(struct fs_cap_entry){ (uint32_t) grant->tenants[i].tenant, grant->tenants[i].granted,
			                       grant->tenants[i].retry_ms << 1 | grant->tenants[i].is_short };
	send_message (exchange, &message, to);
}

static int
handle_report (struct cap_exchange *exchange, const struct fs_cap_report *args,
               const struct sockaddr_in *from, int64_t now_us)
{
	struct usage_report report = { .vm = args->vm,
		                           .start = args->start,
		                           .number = args->number,
		                           .group = args->choice >> CAP_CHOICE_GROUP_SHIFT &
		                                    CAP_CHOICE_GROUP_MASK,
		                           .epoch = args->choice >> CAP_CHOICE_EPOCH_SHIFT,
		                           .is_lending = args->choice & CAP_CHOICE_FLAG,
		                           .count = args->tenants.tenants_len };
	struct usage_grant grant;

	if (report.group >= USAGE_GROUPS)
		return -EBADMSG;
	for (uint32_t i = 0; i < report.count; i++)
	{
		const struct fs_cap_request *request = &args->tenants.tenants_val[i];

		report.tenants[i] =
			(struct usage_request){ request->tenant,
			                        request->received,
			                        (uint16_t) (request->held_returned >> CAP_WORD_BITS),
			                        (uint16_t) (request->held_returned & CAP_WORD_MASK),
			                        (uint16_t) (request->waiting_wanted >> CAP_WORD_BITS),
			                        (uint16_t) (request->waiting_wanted & CAP_WORD_MASK) };
	}
	if (exchange->has_caps &&
	    usage_account_handle_report (&exchange->caps.account, &report, &grant, now_us))
		send_grant (exchange, &grant, from);
	return 0;
}

static int
handle_grant (struct cap_exchange *exchange, const struct fs_cap_grant *args, int64_t now_us)
{
	struct usage_grant grant = { .account = args->account,
		                         .vm = exchange->caps.own.vm,
		                         .start = exchange->caps.start,
		                         .number = args->number,
		                         .group =
		                             args->choice >> CAP_CHOICE_GROUP_SHIFT & CAP_CHOICE_GROUP_MASK,
		                         .epoch = args->choice >> CAP_CHOICE_EPOCH_SHIFT,
		                         .is_leaving = args->choice & CAP_CHOICE_FLAG,
		                         .count = args->tenants.tenants_len };

	if (grant.group >= USAGE_GROUPS)
		return -EBADMSG;
	/* An answer to a VM that had this address before, or to an earlier start. */
	if (args->start != (uint32_t) exchange->caps.start)
		return 0;
	for (uint32_t i = 0; i < grant.count; i++)
	{
		const struct fs_cap_entry *entry = &args->tenants.tenants_val[i];

		grant.tenants[i] = (struct usage_grant_entry){ entry->tenant, entry->granted,
			                                           entry->retry >> 1, entry->retry & 1 };
	}
	usage_caps_handle_grant (&exchange->caps, &grant, now_us);
	return 0;
}

int
cap_exchange_receive (struct cap_exchange *exchange, const char *buffer, size_t length,
                      const struct sockaddr_in *from, int64_t now_us)
{
	struct fs_cap_message message;
	int result = -EBADMSG;
	XDR xdr;

	memset (&message, 0, sizeof message);
	xdrmem_create (&xdr, (char *) buffer, (u_int) length, XDR_DECODE);
	if (!xdr_fs_cap_message (&xdr, &message))
		goto out;
	if (message.kind == FS_CAP_REPORT)
		result = handle_report (exchange, &message.fs_cap_message_u.report, from, now_us);
	else
		result = handle_grant (exchange, &message.fs_cap_message_u.grant, now_us);
out:
	xdr_free ((xdrproc_t) xdr_fs_cap_message, (char *) &message);
	return result;
}

static void
handle_ready (struct loop_source *source, uint32_t epoll_events)
{
	struct cap_exchange *exchange = source->data;
	char buffer[CAP_MAX_DATAGRAM_BYTES];

	(void) epoll_events;
	for (int i = 0; i < CAP_READ_BURST; i++)
	{
		struct sockaddr_in address = { 0 };
		socklen_t address_length = sizeof address;
		ssize_t length = recvfrom (source->fd, buffer, sizeof buffer, 0,
		                           (struct sockaddr *) &address, &address_length);

		if (length < 0)
			return;
		if (cap_exchange_receive (exchange, buffer, (size_t) length, &address, clock_now_us ()) < 0)
			counter_add (COUNTER_CAP_MALFORMED, 1);
	}
}

/** Whether the share of this VM may be used: after a long partition, other VMs may use it. */
static bool
may_fill (const struct cap_exchange *exchange, int64_t now_us)
{
	return exchange->isolated_us == 0 || now_us - exchange->isolated_us < CAP_ISOLATED_US;
}

static void
handle_timer (struct loop_timer *timer, int64_t now_us)
{
	struct cap_exchange *exchange = timer->data;

	loop_set_timer (exchange->loop, timer, now_us + CAP_POLL_US);
	if (!may_fill (exchange, now_us))
		exchange->caps.account.vm_count = 0;
	usage_caps_poll (&exchange->caps, now_us);
	for (int i = 0; i < USAGE_GROUPS; i++)
	{
		if (exchange->caps.choices[i].is_urgent)
			loop_set_timer (exchange->loop, timer, now_us + CAP_URGENT_POLL_US);
	}
}

/** Ends the wait of a session for a token. */
static void
stop_waiting (struct session *session)
{
	g_queue_remove (&session->traffic->cap_exchange.waiting, session);
	session->cap_state = CAP_NONE;
}

static int64_t
find_max_wait_us (const struct session *session)
{
	return MIN ((int64_t) session->target_latency_ms * US_PER_MS / 4, CAP_MAX_WAIT_US);
}

/** Answers a session that has no token and does not wait. */
static void
refuse (struct session *session, int64_t retry_us, int64_t now_us)
{
	struct tenant_state *tenant = session->tenant;

	counter_add (COUNTER_CAP_REFUSED, 1);
	tenant->refused_cap++;
	tenant->cap_unlogged++;
	if (tenant->cap_logged_us == 0 || now_us - tenant->cap_logged_us >= CAP_LOG_US)
	{
		log_event (LOG_LEVEL_INFO, "usage_cap",
		           "tenant=%s rate_per_s=%u burst=%u refused=%u retry_ms=%lld",
		           log_text (tenant->name), tenant->rate_per_s, tenant->burst, tenant->cap_unlogged,
		           (long long) retry_us / US_PER_MS);
		tenant->cap_logged_us = now_us;
		tenant->cap_unlogged = 0;
	}
	session_refuse (session, ANSWER_OVERLOADED, "usage cap", retry_us);
}

/** Serves the sessions that wait, after tokens have come; refuses those whose tokens would come too late. */
static void
handle_tokens (void *data)
{
	struct cap_exchange *exchange = data;
	int64_t now_us = clock_now_us ();
	GList *next;

	for (GList *link = exchange->waiting.head; link; link = next)
	{
		struct session *session = link->data;
		uint32_t index = session->tenant->cap_index - 1;

		next = link->next;
		if (!session->tenant->has_cap || usage_caps_retake (&exchange->caps, index))
		{
			if (!session->tenant->has_cap)
				usage_caps_withdraw (&exchange->caps, index);
			stop_waiting (session);
			session->cap_state = session->tenant->has_cap ? CAP_HELD : CAP_NONE;
			session_run_statement (session, now_us);
		}
		else if (exchange->caps.tokens[index].empty_until_us > session->cap_until_us)
		{
			usage_caps_withdraw (&exchange->caps, index);
			stop_waiting (session);
			refuse (session, usage_caps_retry_us (&exchange->caps, index, now_us), now_us);
		}
	}
}

static const struct usage_caps_ops caps_ops = {
	.send_report = send_report,
	.handle_tokens = handle_tokens,
};

bool
tenant_caps_take (struct session *session, int64_t now_us)
{
	struct cap_exchange *exchange = &session->traffic->cap_exchange;
	const struct tenant_state *tenant = session->tenant;
	int64_t max_wait_us = find_max_wait_us (session);
	int64_t retry_us = 0;

	if (!tenant || !tenant->has_cap || tenant->cap_index == 0 || session->cap_state != CAP_NONE)
		return true;
	switch (
		usage_caps_take (&exchange->caps, tenant->cap_index - 1, max_wait_us, now_us, &retry_us))
	{
	case USAGE_ADMITTED:
		session->cap_state = CAP_HELD;
		return true;
	case USAGE_REFUSED:
		refuse (session, retry_us, now_us);
		return false;
	case USAGE_WAIT:
		break;
	}
	session->cap_state = CAP_WAITING;
	session->cap_until_us = now_us + max_wait_us;
	g_queue_push_tail (&exchange->waiting, session);
	/* Not from here: the answer may come at once, while the caller still handles the request. */
	loop_set_timer (exchange->loop, &exchange->timer, now_us);
	return false;
}

void
tenant_caps_give_back (struct session *session)
{
	struct cap_exchange *exchange = &session->traffic->cap_exchange;

	if (session->cap_state == CAP_WAITING)
	{
		usage_caps_withdraw (&exchange->caps, session->tenant->cap_index - 1);
		stop_waiting (session);
	}
	else if (session->cap_state == CAP_HELD)
		usage_caps_give_back (&exchange->caps, session->tenant->cap_index - 1);
	session->cap_state = CAP_NONE;
}

void
tenant_caps_tick (struct session *session, int64_t now_us)
{
	struct cap_exchange *exchange = &session->traffic->cap_exchange;
	uint32_t index = session->tenant->cap_index - 1;

	if (now_us < session->cap_until_us)
		return;
	tenant_caps_give_back (session);
	refuse (session, usage_caps_retry_us (&exchange->caps, index, now_us), now_us);
}

static void
apply_members (struct cap_exchange *exchange, const struct view *view, bool is_leaving)
{
	GArray *members = g_array_new (FALSE, TRUE, sizeof (struct usage_member));
	uint32_t vm_count = MAX (view->listed_count, MAX (view->vm_count, view->members->len + 1));

	g_array_set_size (exchange->addresses, 0);
	if (!is_leaving)
		g_array_append_val (members, exchange->caps.own);
	for (guint i = 0; i < view->members->len; i++)
	{
		const struct view_member *entry = &g_array_index (view->members, struct view_member, i);
		struct usage_member member = { hash_name (entry->vm), hash_name (entry->zone) };
		struct cap_address address = { member.vm, entry->ip,
			                           (uint16_t) (entry->port + CAP_PORT_OFFSET) };

		g_array_append_val (members, member);
		g_array_append_val (exchange->addresses, address);
	}
	usage_caps_set_members (&exchange->caps, (const struct usage_member *) members->data,
	                        members->len, vm_count);
	g_array_free (members, TRUE);
}

/** Opens the socket, unless it is open. */
static void
open_socket (struct cap_exchange *exchange)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (exchange->port) };
	int fd;

	if (exchange->source.fd >= 0)
		return;
	fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	address.sin_addr.s_addr = htonl (exchange->ip);
	exchange->source.fd = fd;
	if (fd >= 0 && bind (fd, (struct sockaddr *) &address, sizeof address) == 0 &&
	    loop_set_source (exchange->loop, &exchange->source, EPOLLIN) == 0)
		return;
	/* Tried again with the next view; until then this VM is its own account. */
	log_event (LOG_LEVEL_ERROR, "listen_failed", "port=%u error=%d", exchange->port, -errno);
	if (fd >= 0)
		close (fd);
	exchange->source.fd = -1;
}

void
cap_exchange_apply (struct cap_exchange *exchange, GHashTable *tenants, const struct view *view,
                    bool is_leaving, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	exchange->caps.account.is_leaving = is_leaving;
	if (!view->is_isolated)
		exchange->isolated_us = 0;
	else if (exchange->isolated_us == 0)
		exchange->isolated_us = now_us;
	g_hash_table_iter_init (&iter, tenants);
	while (g_hash_table_iter_next (&iter, NULL, &value))
	{
		struct tenant_state *tenant = value;
		struct usage_limit limit = usage_limit_convert (
			&exchange->terms, (uint32_t) XXH64 (tenant->name, strlen (tenant->name), 0),
			tenant->rate_per_s, tenant->burst);
		int32_t index;

		limit.is_capped = tenant->has_cap && tenant->is_declared;
		if (!limit.is_capped && tenant->cap_index == 0)
			continue;
		exchange->has_caps = true;
		index = usage_caps_set_limit (&exchange->caps, &limit, now_us);
		if (index >= 0)
			tenant->cap_index = (uint32_t) index + 1;
	}
	if (!exchange->has_caps || !view->knows_members)
		return;
	open_socket (exchange);
	apply_members (exchange, view, is_leaving);
	loop_set_timer (exchange->loop, &exchange->timer, now_us);
}

void
cap_exchange_init (struct cap_exchange *exchange, struct loop *loop, const char *vm,
                   const char *zone, uint32_t ip, uint16_t relay_port)
{
	struct usage_member own = { hash_name (vm), hash_name (zone) };

	memset (exchange, 0, sizeof *exchange);
	exchange->ip = ip;
	exchange->port = (uint16_t) (relay_port + CAP_PORT_OFFSET);
	exchange->addresses = g_array_new (FALSE, TRUE, sizeof (struct cap_address));
	g_queue_init (&exchange->waiting);
	usage_caps_init (&exchange->caps, own, clock_wall_ns (), &caps_ops, exchange);
	exchange->loop = loop;
	exchange->timer.handle_timer = handle_timer;
	exchange->timer.data = exchange;
	exchange->source.handle_ready = handle_ready;
	exchange->source.data = exchange;
	exchange->source.fd = -1;
}

void
cap_exchange_finish (struct cap_exchange *exchange)
{
	if (!exchange->loop)
		return;
	loop_cancel_timer (exchange->loop, &exchange->timer);
	if (exchange->source.fd >= 0)
	{
		loop_remove_source (exchange->loop, &exchange->source);
		close (exchange->source.fd);
	}
	usage_caps_finish (&exchange->caps);
	g_array_free (exchange->addresses, TRUE);
	exchange->loop = NULL;
}
