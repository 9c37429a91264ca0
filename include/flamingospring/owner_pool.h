/**
 * @file
 * Work connections to one upstream server: opened on demand up to a limit, closed when idle, with
 * back-off and circuit breaker. A user holds one connection at a time.
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

/** Initialises and finishes connections: those of upstream_pg, or doubles in tests. */
struct owner_upstream_factory
{
	void (*init) (struct upstream *upstream, struct loop *loop,
	              const struct upstream_user_ops *user_ops, void *data);
	void (*finish) (struct upstream *upstream);
};

extern const struct owner_upstream_factory owner_upstream_pg;

struct pool_user_ops
{
	/** The awaited connection is there (@p error 0), or cannot be had: -ECONNREFUSED. */
	void (*handle_connection) (struct pool_user *user, int error);
	/** On UPSTREAM_LOST the user holds no connection any more. */
	void (*handle_answer) (struct pool_user *user, const struct upstream_answer *answer);
	/** The answer is overdue; the connection was closed and the user holds none any more. */
	void (*handle_overdue) (struct pool_user *user);
	/** The held connection broke between statements; the user holds none any more. */
	void (*handle_closed) (struct pool_user *user);
};

struct pool_user
{
	const struct pool_user_ops *ops;
	struct pool_connection *connection;
	struct pool_user *next; /**< Waiting users, in order. */
	bool is_waiting;
};

struct owner_pool_ops
{
	/** The server answered a statement, or a connection could not be opened. */
	void (*handle_reachability) (void *data, bool answered);
	/** A connection broke or an answer is overdue; the server itself may be alive. */
	void (*handle_suspicion) (void *data);
};

enum
{
	POOL_STATES = 4, /**< Of a connection, in charts/upstream.scxml. */
	POOL_EVENTS = 5,
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
	const struct chart *chart;     /**< Of a connection. */
	int chart_states[POOL_STATES]; /**< Numbers in the chart. */
	int chart_events[POOL_EVENTS];
	struct loop_timer timer;
	uint32_t failures;        /**< In a row. */
	uint32_t refusals;        /**< In a row, because of the server's connection limit. */
	uint32_t effective_limit; /**< At once, after refusals; at most limit. */
	int64_t next_growth_us;   /**< Next time that allowed grows. */
	bool is_leaving; /**< Keeps no idle connection, and opens one only when none is open. */
	int64_t retry_at_us;
	uint64_t random;
};

/** @p database is kept as a pointer. @return 0 or -ENOMEM. */
int owner_pool_init (struct owner_pool *pool, struct loop *loop,
                     const struct owner_upstream_factory *factory, const struct owner_pool_ops *ops,
                     void *data, uint32_t limit, uint32_t ip, uint16_t port, const char *database,
                     uint64_t seed);
void owner_pool_finish (struct owner_pool *pool);

/** Names this VM to the server in later connections. */
void owner_pool_set_vm (struct owner_pool *pool, uint32_t vm_id);

/** Takes a connection. @return 0 when it is held now, -EINPROGRESS when handle_connection() will be
 * called, -ECONNREFUSED when the circuit is open. */
int owner_pool_acquire (struct owner_pool *pool, struct pool_user *user);

/** Sends a statement on the held connection. An answer later than @p limit_us is overdue.
 * @return 0 or -ENOTCONN: it was not sent, and the user holds no connection any more. */
int owner_pool_execute (struct pool_user *user, const char *statement, const char *const *params,
                        size_t param_count, int64_t limit_us);

/** Sends statements in one round trip, as ops->execute_batch(). @return as owner_pool_execute(). */
int owner_pool_execute_batch (struct pool_user *user, const struct upstream_statement *statements,
                              size_t count, int64_t limit_us);

/** As owner_pool_execute(), with COMMIT behind the statement: see upstream_ops.commit. */
int owner_pool_commit (struct pool_user *user, const char *statement, const char *const *params,
                       size_t param_count, int64_t limit_us);

/** Returns the held connection for reuse, or stops waiting for one. */
void owner_pool_release (struct owner_pool *pool, struct pool_user *user);

/** Closes the held connection; the server aborts what it has not committed. */
void owner_pool_discard (struct owner_pool *pool, struct pool_user *user);

/** Moves the held connection to another user. */
void owner_pool_transfer (struct pool_user *from, struct pool_user *to);

/** The VM lost its role: only work that is under way may use connections. */
void owner_pool_set_leaving (struct owner_pool *pool, bool is_leaving);

/** Closes connections that were idle for long; all idle ones with @p close_all. */
void owner_pool_close_idle (struct owner_pool *pool, int64_t now_us, bool close_all);

/** Tells whether connections would be refused at present, and for how long. */
bool owner_pool_is_down (const struct owner_pool *pool, int64_t now_us, int64_t *remaining_us);

/** Connections that may be open at once; fewer than the limit for some time after a refusal. */
uint32_t owner_pool_effective_limit (struct owner_pool *pool, int64_t now_us);

/** Connections that are open or being opened. */
uint32_t owner_pool_open_count (const struct owner_pool *pool);
