/**
 * @file
 * Pool of connections that execute statements at one upstream server: opened on demand up to a
 * limit, closed when idle, with back-off and circuit breaker. A user holds one connection at a
 * time.
 */
#pragma once

#include "charts/embedded.h"
#include "common/loop.h"
#include "decision/retry.h"
#include "flamingospring/upstream.h"

#include <stdbool.h>
#include <stdint.h>

struct owner_pool;
struct pool_connection;
struct pool_user;

/** Creates and destroys connections: those of upstream_pg, or fakes in tests. */
struct owner_upstream_factory
{
	void (*init) (struct upstream *upstream, struct loop *loop,
	              const struct upstream_user_ops *user_ops, void *data);
	void (*finish) (struct upstream *upstream);
};

extern const struct owner_upstream_factory owner_upstream_pg;

struct pool_user_ops
{
	/** The user holds the connection it waited for (@p error 0), or gets none: -ECONNREFUSED. */
	void (*handle_connection) (struct pool_user *user, int error);
	/** After UPSTREAM_LOST the user holds no connection any more. */
	void (*handle_answer) (struct pool_user *user, const struct upstream_answer *answer);
	/** The answer is overdue. The connection was closed, and the user holds none any more. */
	void (*handle_overdue) (struct pool_user *user);
	/** The held connection broke between statements; the user holds none any more. */
	void (*handle_closed) (struct pool_user *user);
};

struct pool_user
{
	const struct pool_user_ops *ops;
	struct pool_connection *connection;
	struct pool_user *next; /**< Next waiting user, in order of arrival. */
	bool is_waiting;
};

struct owner_pool_ops
{
	/** Called with @p answered set when the server answered a statement, and unset when a
	 * connection could not be opened. */
	void (*handle_reachability) (void *data, bool answered);
	/** Called when a connection broke or an answer is overdue; the server itself may be alive. */
	void (*handle_suspicion) (void *data);
};

enum
{
	POOL_STATE_COUNT = 4, /**< States of a connection in charts/upstream.scxml. */
	POOL_EVENT_COUNT = 5, /**< Events of a connection in charts/upstream.scxml. */
};

struct owner_pool
{
	const struct owner_pool_ops *ops;
	void *data;
	struct loop *loop;
	const struct owner_upstream_factory *factory;
	struct pool_connection *connections;
	uint32_t limit;
	uint32_t ip;
	uint16_t port;
	const char *database;
	struct pool_user *first_waiter;
	struct pool_user *last_waiter;
	struct circuit circuit;
	const struct chart *chart;          /**< State machine of a connection. */
	int chart_states[POOL_STATE_COUNT]; /**< Numbers of the states in the chart. */
	int chart_events[POOL_EVENT_COUNT]; /**< Numbers of the events in the chart. */
	struct loop_timer timer;
	uint32_t failures; /**< Consecutive failures to connect. */
	uint32_t refusals; /**< Consecutive refusals because of the server's connection limit. */
	/** Connections that may be open at once: the limit, or fewer after a refusal. */
	uint32_t effective_limit;
	int64_t next_growth_us; /**< Next time that effective_limit grows. */
	/** This VM lost its role: the pool keeps no idle connection, and opens one only when none is
	 * open. */
	bool is_draining;
	int64_t retry_at_us;
	uint64_t random_state;
};

/** Keeps the pointer @p database. @return 0 or -ENOMEM. */
int owner_pool_init (struct owner_pool *pool, struct loop *loop,
                     const struct owner_upstream_factory *factory, const struct owner_pool_ops *ops,
                     void *data, uint32_t limit, uint32_t ip, uint16_t port, const char *database,
                     uint64_t seed);
void owner_pool_finish (struct owner_pool *pool);

/** Identifies this VM to the server in later connections. */
void owner_pool_set_vm (struct owner_pool *pool, uint32_t vm_id);

/** Acquires a connection. @return 0 when the user holds it now, -EINPROGRESS when
 * handle_connection() will be called, -ECONNREFUSED when the circuit breaker is open. */
int owner_pool_acquire (struct owner_pool *pool, struct pool_user *user);

/** Sends a statement on the held connection. The answer is overdue after @p limit_us.
 * @return 0, or -ENOTCONN when it was not sent; the user then holds no connection any more. */
int owner_pool_execute (struct pool_user *user, const char *statement, const char *const *params,
                        size_t param_count, int64_t limit_us);

/** Sends statements in one round trip; see upstream_ops.execute_batch. @return as
 * owner_pool_execute(). */
int owner_pool_execute_batch (struct pool_user *user, const struct upstream_statement *statements,
                              size_t count, int64_t limit_us);

/** Sends a statement and COMMIT in one round trip, as owner_pool_execute_batch(). */
int owner_pool_commit (struct pool_user *user, const char *statement, const char *const *params,
                       size_t param_count, int64_t limit_us);

/** Returns the held connection for reuse, or stops waiting for one. */
void owner_pool_release (struct owner_pool *pool, struct pool_user *user);

/** Closes the held connection; the server aborts what it has not committed. */
void owner_pool_discard (struct owner_pool *pool, struct pool_user *user);

/** Moves the held connection to another user. */
void owner_pool_transfer (struct pool_user *from, struct pool_user *to);

/** Starts or stops draining the pool, when this VM has lost or regained its role. */
void owner_pool_set_draining (struct owner_pool *pool, bool is_draining);

/** Closes connections that have been idle for long; with @p close_all, all idle ones. */
void owner_pool_close_idle (struct owner_pool *pool, int64_t now_us, bool close_all);

/** Returns whether the circuit breaker refuses connections now, and for how long it still does. */
bool owner_pool_is_down (const struct owner_pool *pool, int64_t now_us, int64_t *remaining_us);

/** Number of connections that may be open at once; lower than the limit for some time after the
 * server refused one. */
uint32_t owner_pool_effective_limit (struct owner_pool *pool, int64_t now_us);

/** Number of connections that are open or being opened. */
uint32_t owner_pool_open_count (const struct owner_pool *pool);
