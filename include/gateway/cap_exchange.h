/**
 * @file
 * Usage caps in the traffic thread: the datagrams between VMs, and the sessions that wait for tokens.
 */
#pragma once

#include "common/loop.h"
#include "decision/usage_cap.h"
#include "gateway/tenant.h"
#include "gateway/view.h"

#include <glib.h>
#include <netinet/in.h>

struct fs_cap_message;
struct session;

enum
{
	CAP_PORT_OFFSET = 2, /**< From the port of forwarded statements. */
	CAP_MAX_DATAGRAM_BYTES = 1200,
};

struct cap_exchange
{
	struct loop *loop;
	struct loop_source source;
	struct loop_timer timer;
	struct usage_caps caps;
	struct usage_terms terms;
	uint32_t ip;
	uint16_t port;
	bool has_caps;       /**< A tenant has a cap; otherwise nothing is sent. */
	GArray *addresses;   /**< Array of struct cap_address. */
	GQueue waiting;      /**< Queue of struct session, by arrival. */
	int64_t isolated_us; /**< Since when this VM is isolated; 0: it is not. */
};

/** The socket is opened when the first tenant has a cap. */
void cap_exchange_init (struct cap_exchange *exchange, struct loop *loop, const char *vm,
                        const char *zone, uint32_t ip, uint16_t relay_port);
void cap_exchange_finish (struct cap_exchange *exchange);

/** Takes over the caps and the list of VMs. */
void cap_exchange_apply (struct cap_exchange *exchange, GHashTable *tenants,
                         const struct view *view, bool is_leaving, int64_t now_us);

/** Decodes a datagram, also one of an unknown sender. @return 0, or -EBADMSG. */
int cap_exchange_receive (struct cap_exchange *exchange, const char *buffer, size_t length,
                          const struct sockaddr_in *from, int64_t now_us);

/**
 * Takes a token for the operation that the session's request begins, or waits for one.
 * @return whether the operation may go on; otherwise the session waits, or was refused.
 */
bool tenant_caps_take (struct session *session, int64_t now_us);
/** Returns the token of an operation of which nothing was sent to a server, and ends its wait for a token. */
void tenant_caps_give_back (struct session *session);
/** Refuses a session that has waited for too long. */
void tenant_caps_tick (struct session *session, int64_t now_us);
