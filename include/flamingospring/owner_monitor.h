/**
 * @file
 * Connection that asks one server of a group for its status, one question at a time. Opened on
 * first use, closed when not used for some time.
 */
#pragma once

#include "common/loop.h"
#include "flamingospring/owner_pool.h"

#include <stdbool.h>
#include <stdint.h>

struct owner_monitor;

struct owner_monitor_ops
{
	/** Answer to the question that was sent at @p sent_us. */
	void (*handle_status) (struct owner_monitor *monitor, const struct server_status *status,
	                       int64_t sent_us);
	/** No connection, or no answer in time. */
	void (*handle_silence) (struct owner_monitor *monitor);
};

enum monitor_state
{
	MONITOR_CLOSED,
	MONITOR_CONNECTING,
	MONITOR_READY,
	MONITOR_ASKING,
};

struct owner_monitor
{
	const struct owner_monitor_ops *ops;
	void *data;
	uint32_t server; /**< Index in the group. */
	struct loop *loop;
	const struct owner_upstream_factory *factory;
	struct upstream upstream;
	struct loop_timer timer;
	enum monitor_state state;
	bool is_wanted; /**< Ask again as soon as possible. */
	int64_t sent_us;
	int64_t used_us;
	int64_t retry_at_us;
	int64_t silent_at_us; /**< Last failure; 0 after an answer. */
	uint32_t failures;
	uint64_t random;
	uint32_t ip;
	uint16_t port;
	const char *database;
};

void owner_monitor_init (struct owner_monitor *monitor, struct loop *loop,
                         const struct owner_upstream_factory *factory,
                         const struct owner_monitor_ops *ops, void *data, uint32_t server,
                         uint32_t ip, uint16_t port, const char *database, uint64_t seed);
void owner_monitor_finish (struct owner_monitor *monitor);

/** Asks for the status. With @p is_new, a question that is already outstanding does not count, and
 * a new one follows it. */
void owner_monitor_ask (struct owner_monitor *monitor, bool is_new, int64_t now_us);

/** Closes the connection when it was not used for long. */
void owner_monitor_close_idle (struct owner_monitor *monitor, int64_t now_us);
