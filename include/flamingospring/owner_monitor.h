/**
 * @file
 * The one connection of a VM to a server for status questions, fences and promotions. The owners of a
 * group and its observer in this VM share it, because each VM's monitors come out of the connections
 * that a server reserves. Opened on first use, closed when not used for some time.
 */
#pragma once

#include "common/loop.h"
#include "flamingospring/observer_request.h"
#include "flamingospring/owner_pool.h"

#include <stdbool.h>
#include <stdint.h>

struct owner_monitor;
struct monitor_user;

struct monitor_user_ops
{
	/** Answer to the question that was sent at @p sent_us, by any of the users. */
	void (*handle_status) (struct monitor_user *user, const struct server_status *status,
	                       int64_t sent_us);
	/** No connection, or no answer in time. */
	void (*handle_unreachable) (struct monitor_user *user);
	/** The server is at its connection limit, and so alive; the monitor tries again. May be NULL. */
	void (*handle_refused) (struct monitor_user *user);
	/** Answer to the command of this user. NULL for users without commands. */
	void (*handle_command) (struct monitor_user *user, const struct observer_answer *answer);
};

/** Membership of an owner or observer in a monitor. */
struct monitor_user
{
	const struct monitor_user_ops *ops;
	void *data;
	uint32_t server; /**< Index in the group. */
	int64_t idle_us; /**< An unused connection stays open for so long. */
	struct owner_monitor *monitor;
	struct monitor_user *next;
};

/** All monitors of one traffic thread. */
struct monitor_set
{
	struct loop *loop;
	uint32_t vm_id; /**< Named to the servers. */
	const struct owner_upstream_factory *factory;
	struct owner_monitor *first;
	uint64_t random;
};

enum monitor_state
{
	MONITOR_CLOSED,
	MONITOR_CONNECTING,
	MONITOR_READY,
	MONITOR_QUERYING,
	MONITOR_COMMANDING, /**< A fence or a promotion is outstanding. */
};

struct owner_monitor
{
	struct monitor_set *set;
	struct owner_monitor *next;
	struct monitor_user *users;
	struct upstream upstream;
	struct loop_timer timer;
	enum monitor_state state;
	bool is_query_pending;           /**< Ask again as soon as possible. */
	struct observer_request command; /**< To be sent; OBSERVER_NONE: none. */
	struct observer_request outstanding;
	struct monitor_user *command_user; /**< The user of the commands. */
	int64_t sent_us;
	int64_t used_us;
	int64_t retry_at_us;
	int64_t failed_at_us; /**< Last failure; 0 after an answer. */
	uint32_t failures;
	uint32_t refusals; /**< In a row, because of the connection limit. */
	uint32_t ip;
	uint16_t port;
	char database[SCHEMA_NAME_BYTES];
};

/** Joins @p user, with ops, data, server and idle_us set, to the monitor of a server.
 * @return 0 or -ENOMEM. */
int owner_monitor_join (struct monitor_set *set, struct monitor_user *user, uint32_t ip,
                        uint16_t port, const char *database);

/** Leaves the monitor, which the last user closes. */
void owner_monitor_leave (struct monitor_user *user);

/** Asks for the status. With @p must_be_new, a question that is already outstanding does not count, and
 * a new one follows it. */
void owner_monitor_query (struct owner_monitor *monitor, bool must_be_new, int64_t now_us);

/** As owner_monitor_query() with must_be_new, but tries a connection even during the back-off after a failure. */
void owner_monitor_query_now (struct owner_monitor *monitor, int64_t now_us);

/** Sends a fence or a promotion of @p user; it replaces one that was not sent yet. */
void owner_monitor_command (struct monitor_user *user, const struct observer_request *command,
                            int64_t now_us);
