/**
 * @file
 * Connection of a VM to a server for status queries, fences and promotions. The owners of a group
 * and the group's observer in this VM share it, because the monitors of all VMs use the few
 * connections that a server reserves. It is opened on first use and closed when it has been idle
 * for some time.
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
	/** Called with the answer to the query that was sent at @p sent_us for any of the users. */
	void (*handle_status) (struct monitor_user *user, const struct server_status *status,
	                       int64_t sent_us);
	/** Called when there is no connection, or no answer in time. */
	void (*handle_unreachable) (struct monitor_user *user);
	/** Called when the server refused a connection because of its connection limit, which shows
	 * that it is alive; the monitor tries again. May be NULL. */
	void (*handle_refused) (struct monitor_user *user);
	/** Called with the answer to this user's command. NULL for users without commands. */
	void (*handle_command_answer) (struct monitor_user *user, const struct observer_answer *answer);
};

/** Use of a monitor by an owner or observer. */
struct monitor_user
{
	const struct monitor_user_ops *ops;
	void *data;
	uint32_t server;         /**< Index in the group. */
	int64_t idle_timeout_us; /**< Time for which an unused connection stays open. */
	struct owner_monitor *monitor;
	struct monitor_user *next;
};

/** All monitors of one traffic thread. */
struct monitor_set
{
	struct loop *loop;
	uint32_t vm_id; /**< Identifies this VM to the servers. */
	const struct owner_upstream_factory *factory;
	struct owner_monitor *first;
	uint64_t random_state;
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
	bool is_query_pending;           /**< A status query is sent as soon as possible. */
	struct observer_request command; /**< Next command to send; OBSERVER_NONE: none. */
	struct observer_request outstanding;
	struct monitor_user *command_user; /**< User that sent the last command. */
	int64_t sent_us;
	int64_t last_used_us;
	int64_t retry_at_us;
	int64_t failed_at_us; /**< Time of the last failure; 0 after an answer. */
	uint32_t failures;
	uint32_t refusals; /**< Consecutive refusals because of the connection limit. */
	uint32_t ip;
	uint16_t port;
	char database[SCHEMA_NAME_BYTES];
};

/** Adds @p user, with ops, data, server and idle_timeout_us set, to the monitor of a server.
 * @return 0 or -ENOMEM. */
int owner_monitor_join (struct monitor_set *set, struct monitor_user *user, uint32_t ip,
                        uint16_t port, const char *database);

/** Removes @p user from its monitor; the last user to leave closes it. */
void owner_monitor_leave (struct monitor_user *user);

/** Queries the status. With @p must_be_new, an outstanding query is followed by a new one. */
void owner_monitor_query (struct owner_monitor *monitor, bool must_be_new, int64_t now_us);

/** Like owner_monitor_query() with must_be_new, but connects even during the back-off after a
 * failure. */
void owner_monitor_query_now (struct owner_monitor *monitor, int64_t now_us);

/** Sends a fence or a promotion for @p user; it replaces a command that was not sent yet. */
void owner_monitor_command (struct monitor_user *user, const struct observer_request *command,
                            int64_t now_us);
