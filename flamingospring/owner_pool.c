#include "flamingospring/owner_pool.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	POOL_IDLE_TIMEOUT_US = 10 * US_PER_S, /* An unused connection is closed after this. */
	POOL_CONNECT_TIMEOUT_US = US_PER_S,   /* Connecting takes about 12 ms. */
	POOL_RETRY_MIN_US = 5 * US_PER_MS,
	POOL_RETRY_MAX_US = 500 * US_PER_MS,
	POOL_CIRCUIT_FAILURES = 3,
	/* Short, since a server at its limit accepts a connection as soon as another one is closed,
	 * often by a VM that has just lost its role. */
	POOL_REFUSED_RETRY_MAX_US = 50 * US_PER_MS,
	/* After a refusal, the effective limit grows by one at random intervals between half of this
	 * and this. */
	POOL_GROWTH_MAX_INTERVAL_US = US_PER_S,
	/* When a connection is closed because of an overdue statement, the server counts it until the
	 * statement ends, and does not report when that is. */
	POOL_LINGER_US = US_PER_S,
	POOL_CIRCUIT_OPEN_US = 200 * US_PER_MS, /* Short compared with a typical failover of 1 s. */
};

/* States and events of charts/upstream.scxml. */
enum pool_state
{
	POOL_CLOSED,
	POOL_CONNECTING,
	POOL_IDLE,
	POOL_HELD,
};

enum pool_event
{
	POOL_OPEN,
	POOL_CONNECTED,
	POOL_TAKE,
	POOL_GIVE_BACK,
	POOL_CLOSE,
};

static const char *const state_names[] = { "closed", "connecting", "idle", "held" };
static const char *const event_names[] = { "open", "connected", "take", "give_back", "close" };

_Static_assert(sizeof state_names / sizeof state_names[0] == POOL_STATE_COUNT,
               "a name for each state");
_Static_assert(sizeof event_names / sizeof event_names[0] == POOL_EVENT_COUNT,
               "a name for each event");

struct pool_connection
{
	struct upstream upstream;
	struct owner_pool *pool;
	struct pool_user *user; /* Set in POOL_HELD only. */
	struct loop_timer timer;
	enum pool_state state;
	int64_t idle_at_us;
	int64_t linger_until_us; /* The server may count a closed connection until then. */
};

const struct owner_upstream_factory owner_upstream_pg = {
	.init = upstream_pg_init,
	.finish = upstream_pg_finish,
};

static void
handle_action (void *context, const char *name)
{
}

static bool
handle_condition (void *context, const char *name)
{
	return false;
}

/* The chart has neither actions nor conditions; it only determines the next state. */
static const struct chart_ops chart_ops = { handle_action, handle_condition };

/* Changes the state. An event without a transition in the chart would mean that a connection has
 * two users, or is used after it was closed. */
static void
connection_apply_event (struct pool_connection *connection, enum pool_event event)
{
	const struct owner_pool *pool = connection->pool;
	struct chart_instance instance = { pool->chart, pool->chart_states[connection->state] };
	bool has_transition =
		chart_instance_handle (&instance, pool->chart_events[event], &chart_ops, connection);

	INVARIANT (has_transition, "P4");
	for (int state = POOL_CLOSED; state <= POOL_HELD; state++)
		if (instance.state == pool->chart_states[state])
			connection->state = (enum pool_state) state;
}

static void
pool_init_chart (struct owner_pool *pool)
{
	pool->chart = chart_embedded ("upstream");
	for (int state = POOL_CLOSED; state <= POOL_HELD; state++)
		pool->chart_states[state] = chart_find_state (pool->chart, state_names[state]);
	for (int event = POOL_OPEN; event <= POOL_CLOSE; event++)
		pool->chart_events[event] = chart_find_event (pool->chart, event_names[event]);
}

uint32_t
owner_pool_open_count (const struct owner_pool *pool)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < pool->limit; i++)
		count += pool->connections[i].state != POOL_CLOSED;
	return count;
}

static struct pool_connection *
pool_find (struct owner_pool *pool, enum pool_state state)
{
	for (uint32_t i = 0; i < pool->limit; i++)
	{
		if (pool->connections[i].state == state)
			return &pool->connections[i];
	}
	return NULL;
}

static struct pool_connection *
pool_find_closed (struct owner_pool *pool, int64_t now_us)
{
	for (uint32_t i = 0; i < pool->limit; i++)
	{
		struct pool_connection *connection = &pool->connections[i];

		if (connection->state == POOL_CLOSED && connection->linger_until_us <= now_us)
			return connection;
	}
	return NULL;
}

uint32_t
owner_pool_effective_limit (struct owner_pool *pool, int64_t now_us)
{
	if (pool->effective_limit < pool->limit && now_us >= pool->next_growth_us)
	{
		pool->effective_limit++;
		pool->next_growth_us =
			now_us + POOL_GROWTH_MAX_INTERVAL_US / 2 +
			(int64_t) (random_next (&pool->random_state) % (POOL_GROWTH_MAX_INTERVAL_US / 2));
	}
	return pool->is_draining ? 1 : pool->effective_limit;
}

static void
waiter_add (struct owner_pool *pool, struct pool_user *user)
{
	user->is_waiting = true;
	user->next = NULL;
	if (pool->last_waiter)
		pool->last_waiter->next = user;
	else
		pool->first_waiter = user;
	pool->last_waiter = user;
}

static void
waiter_remove (struct owner_pool *pool, struct pool_user *user)
{
	struct pool_user *previous = NULL;
	struct pool_user *at = pool->first_waiter;

	if (!user->is_waiting)
		return;
	for (; at != user; at = at->next)
		previous = at;
	if (previous)
		previous->next = user->next;
	else
		pool->first_waiter = user->next;
	if (pool->last_waiter == user)
		pool->last_waiter = previous;
	user->next = NULL;
	user->is_waiting = false;
}

/* Makes the entry of a closed or lost connection available again. */
static struct pool_user *
connection_reset (struct pool_connection *connection)
{
	struct pool_user *user = connection->user;

	loop_cancel_timer (connection->pool->loop, &connection->timer);
	if (connection->state != POOL_CLOSED && connection->state != POOL_CONNECTING)
		counter_add (COUNTER_UPSTREAM_CONNECTIONS, -1);
	if (connection->state != POOL_CLOSED)
		connection_apply_event (connection, POOL_CLOSE);
	connection->user = NULL;
	if (user)
		user->connection = NULL;
	return user;
}

static void
connection_close (struct pool_connection *connection)
{
	connection->upstream.ops->close (&connection->upstream);
	connection_reset (connection);
}

static void
pool_handle_failure (struct owner_pool *pool, int error, int64_t now_us)
{
	counter_add (COUNTER_UPSTREAM_CONNECT_ERRORS, 1);
	log_event (LOG_LEVEL_WARN, "connect_failed", "database=%s error=%s failures=%u",
	           log_text (pool->database), log_text_quoted (strerror (-error)), pool->failures + 1);
	pool->failures++;
	pool->retry_at_us =
		now_us + backoff_delay_us (pool->failures, POOL_RETRY_MIN_US, POOL_RETRY_MAX_US,
	                               random_next (&pool->random_state));
	circuit_report (&pool->circuit, false, now_us);
	if (loop_set_timer (pool->loop, &pool->timer, now_us) < 0)
		log_event (LOG_LEVEL_ERROR, "out_of_memory", "at=pool_timer");
}

/* Handles back-pressure of a server at its connection limit. Users wait for the open connections,
 * and more are opened later. The server answered, so the circuit breaker does not change. */
static void
pool_handle_refusal (struct owner_pool *pool, int64_t now_us)
{
	uint32_t open = owner_pool_open_count (pool);

	counter_add (COUNTER_UPSTREAM_REFUSED, 1);
	if (pool->refusals == 0)
		log_event (LOG_LEVEL_WARN, "connection_refused", "database=%s open=%u",
		           log_text (pool->database), open);
	pool->refusals++;
	pool->effective_limit = open > 0 ? open : 1;
	pool->next_growth_us =
		now_us + POOL_GROWTH_MAX_INTERVAL_US / 2 +
		(int64_t) (random_next (&pool->random_state) % (POOL_GROWTH_MAX_INTERVAL_US / 2));
	pool->retry_at_us =
		now_us + backoff_delay_us (pool->refusals, POOL_RETRY_MIN_US, POOL_REFUSED_RETRY_MAX_US,
	                               random_next (&pool->random_state));
	if (loop_set_timer (pool->loop, &pool->timer, pool->retry_at_us) < 0)
		log_event (LOG_LEVEL_ERROR, "out_of_memory", "at=pool_timer");
}

static void
pool_open_connection (struct owner_pool *pool, struct pool_connection *connection, int64_t now_us)
{
	int result = connection->upstream.ops->connect (&connection->upstream, pool->ip, pool->port,
	                                                pool->database);

	if (result < 0)
	{
		pool_handle_failure (pool, result, now_us);
		return;
	}
	connection_apply_event (connection, POOL_OPEN);
	loop_set_timer (pool->loop, &connection->timer, now_us + POOL_CONNECT_TIMEOUT_US);
}

/* Opens a connection for each waiting user, within the limits. */
static void
pool_open_for_waiters (struct owner_pool *pool, int64_t now_us)
{
	uint32_t wanted = 0;
	uint32_t connecting = 0;

	for (struct pool_user *user = pool->first_waiter; user; user = user->next)
		wanted++;
	for (uint32_t i = 0; i < pool->limit; i++)
		connecting += pool->connections[i].state == POOL_CONNECTING;
	while (connecting < wanted && now_us >= pool->retry_at_us &&
	       owner_pool_open_count (pool) < owner_pool_effective_limit (pool, now_us))
	{
		struct pool_connection *connection = pool_find_closed (pool, now_us);

		if (!connection || !circuit_allows (&pool->circuit, now_us))
			return;
		pool_open_connection (pool, connection, now_us);
		connecting++;
	}
}

bool
owner_pool_is_down (const struct owner_pool *pool, int64_t now_us, int64_t *remaining_us)
{
	int64_t until_us = pool->circuit.opened_at_us + pool->circuit.open_us;

	if (pool->circuit.state != CIRCUIT_OPEN || now_us >= until_us)
		return false;
	*remaining_us = until_us - now_us;
	return true;
}

static void
pool_fail_waiters (struct owner_pool *pool, int error)
{
	while (pool->first_waiter)
	{
		struct pool_user *user = pool->first_waiter;

		waiter_remove (pool, user);
		user->ops->handle_connection (user, error);
	}
}

/* Schedules a retry for waiting users when no connection can be opened at present. */
static void
pool_schedule (struct owner_pool *pool, int64_t now_us)
{
	int64_t due_us = now_us + POOL_REFUSED_RETRY_MAX_US;

	if (!pool->first_waiter || pool->timer.slot != 0 || owner_pool_open_count (pool) == pool->limit)
		return;
	if (pool->retry_at_us > now_us)
		due_us = pool->retry_at_us;
	loop_set_timer (pool->loop, &pool->timer, due_us);
}

static void
handle_pool_timer (struct loop_timer *timer, int64_t now_us)
{
	struct owner_pool *pool = timer->data;
	int64_t remaining_us;

	if (owner_pool_is_down (pool, now_us, &remaining_us))
		pool_fail_waiters (pool, -ECONNREFUSED);
	pool_open_for_waiters (pool, now_us);
	pool_schedule (pool, now_us);
}

static void
connection_make_available (struct pool_connection *connection)
{
	struct owner_pool *pool = connection->pool;
	struct pool_user *user = pool->first_waiter;

	connection->user = NULL;
	connection_apply_event (connection,
	                        connection->state == POOL_CONNECTING ? POOL_CONNECTED : POOL_GIVE_BACK);
	connection->idle_at_us = clock_now_us ();
	if (!user && pool->is_draining)
		connection_close (connection);
	if (!user)
		return;
	waiter_remove (pool, user);
	connection_apply_event (connection, POOL_TAKE);
	connection->user = user;
	user->connection = connection;
	user->ops->handle_connection (user, 0);
}

static void
handle_connected (struct upstream *upstream, int error)
{
	struct pool_connection *connection = upstream->data;
	struct owner_pool *pool = connection->pool;
	int64_t now_us = clock_now_us ();

	loop_cancel_timer (pool->loop, &connection->timer);
	if (error < 0)
	{
		connection_reset (connection);
		if (error == -EUSERS)
		{
			pool_handle_refusal (pool, now_us);
			return;
		}
		pool_handle_failure (pool, error, now_us);
		pool->ops->handle_reachability (pool->data, false);
		return;
	}
	pool->failures = 0;
	pool->refusals = 0;
	circuit_report (&pool->circuit, true, now_us);
	counter_add (COUNTER_UPSTREAM_CONNECTIONS, 1);
	connection_make_available (connection);
	/* The half-open circuit breaker allowed only this connection; more users may be waiting. */
	if (pool->first_waiter)
		pool_open_for_waiters (pool, now_us);
}

static void
handle_answer (struct upstream *upstream, const struct upstream_answer *answer)
{
	struct pool_connection *connection = upstream->data;
	struct owner_pool *pool = connection->pool;
	struct pool_user *user = connection->user;

	loop_cancel_timer (pool->loop, &connection->timer);
	INVARIANT (user && user->connection == connection, "P4");
	if (answer->result == UPSTREAM_LOST)
	{
		connection_reset (connection);
		pool->ops->handle_suspicion (pool->data);
	}
	else
		pool->ops->handle_reachability (pool->data, true);
	if (user)
		user->ops->handle_answer (user, answer);
	if (pool->first_waiter)
		pool_open_for_waiters (pool, clock_now_us ());
}

static void
handle_closed (struct upstream *upstream)
{
	struct pool_connection *connection = upstream->data;
	struct pool_user *user = connection_reset (connection);

	if (user)
		user->ops->handle_closed (user);
}

static const struct upstream_user_ops pool_upstream_ops = {
	.handle_connected = handle_connected,
	.handle_answer = handle_answer,
	.handle_closed = handle_closed,
};

static void
handle_connection_timer (struct loop_timer *timer, int64_t now_us)
{
	struct pool_connection *connection = timer->data;
	struct owner_pool *pool = connection->pool;
	struct pool_user *user = connection->user;
	bool was_connecting = connection->state == POOL_CONNECTING;

	connection_close (connection);
	if (was_connecting)
	{
		pool_handle_failure (pool, -ETIMEDOUT, now_us);
		pool->ops->handle_reachability (pool->data, false);
		return;
	}
	connection->linger_until_us = now_us + POOL_LINGER_US;
	pool->ops->handle_suspicion (pool->data);
	counter_add (COUNTER_OVERDUE_CONNECTIONS, 1);
	log_event (LOG_LEVEL_WARN, "answer_overdue", "database=%s", log_text (pool->database));
	if (user)
		user->ops->handle_overdue (user);
	pool_open_for_waiters (pool, now_us);
	pool_schedule (pool, now_us);
}

int
owner_pool_init (struct owner_pool *pool, struct loop *loop,
                 const struct owner_upstream_factory *factory, const struct owner_pool_ops *ops,
                 void *data, uint32_t limit, uint32_t ip, uint16_t port, const char *database,
                 uint64_t seed)
{
	memset (pool, 0, sizeof *pool);
	pool->connections = calloc (limit, sizeof *pool->connections);
	if (!pool->connections)
		return -ENOMEM;
	pool->ops = ops;
	pool->data = data;
	pool->loop = loop;
	pool->factory = factory;
	pool->limit = limit;
	pool->effective_limit = limit;
	pool->ip = ip;
	pool->port = port;
	pool->database = database;
	pool->random_state = seed;
	pool->timer.handle_timer = handle_pool_timer;
	pool->timer.data = pool;
	circuit_init (&pool->circuit, POOL_CIRCUIT_FAILURES, POOL_CIRCUIT_OPEN_US);
	pool_init_chart (pool);
	for (uint32_t i = 0; i < limit; i++)
	{
		struct pool_connection *connection = &pool->connections[i];

		factory->init (&connection->upstream, loop, &pool_upstream_ops, connection);
		connection->pool = pool;
		connection->timer.handle_timer = handle_connection_timer;
		connection->timer.data = connection;
	}
	return 0;
}

void
owner_pool_set_vm (struct owner_pool *pool, uint32_t vm_id)
{
	for (uint32_t i = 0; i < pool->limit; i++)
		pool->connections[i].upstream.vm_id = vm_id;
}

void
owner_pool_finish (struct owner_pool *pool)
{
	for (uint32_t i = 0; i < pool->limit; i++)
	{
		if (pool->connections[i].state != POOL_CLOSED)
			connection_close (&pool->connections[i]);
		pool->factory->finish (&pool->connections[i].upstream);
	}
	loop_cancel_timer (pool->loop, &pool->timer);
	free (pool->connections);
	memset (pool, 0, sizeof *pool);
}

int
owner_pool_acquire (struct owner_pool *pool, struct pool_user *user)
{
	struct pool_connection *connection = pool_find (pool, POOL_IDLE);
	int64_t now_us = clock_now_us ();
	int64_t remaining_us;

	if (connection)
	{
		connection_apply_event (connection, POOL_TAKE);
		connection->user = user;
		user->connection = connection;
		return 0;
	}
	if (owner_pool_is_down (pool, now_us, &remaining_us))
		return -ECONNREFUSED;
	waiter_add (pool, user);
	pool_open_for_waiters (pool, now_us);
	pool_schedule (pool, now_us);
	return -EINPROGRESS;
}

/* Starts the timer of the answer, or closes the connection when sending failed. */
static int
connection_finish_send (struct pool_connection *connection, int result, int64_t limit_us)
{
	if (result < 0)
	{
		connection_close (connection);
		return -ENOTCONN;
	}
	loop_set_timer (connection->pool->loop, &connection->timer, clock_now_us () + limit_us);
	return 0;
}

int
owner_pool_execute (struct pool_user *user, const char *statement, const char *const *params,
                    size_t param_count, int64_t limit_us)
{
	struct upstream *upstream = user->connection ? &user->connection->upstream : NULL;

	if (!upstream)
		return -ENOTCONN;
	return connection_finish_send (
		user->connection, upstream->ops->execute (upstream, statement, params, param_count),
		limit_us);
}

int
owner_pool_execute_batch (struct pool_user *user, const struct upstream_statement *statements,
                          size_t count, int64_t limit_us)
{
	struct upstream *upstream = user->connection ? &user->connection->upstream : NULL;

	if (!upstream)
		return -ENOTCONN;
	return connection_finish_send (
		user->connection, upstream->ops->execute_batch (upstream, statements, count), limit_us);
}

int
owner_pool_commit (struct pool_user *user, const char *statement, const char *const *params,
                   size_t param_count, int64_t limit_us)
{
	const struct upstream_statement statements[] = {
		{ statement, params, param_count },
		{ "COMMIT", NULL, 0 },
	};

	return owner_pool_execute_batch (user, statements, 2, limit_us);
}

void
owner_pool_release (struct owner_pool *pool, struct pool_user *user)
{
	struct pool_connection *connection = user->connection;

	waiter_remove (pool, user);
	if (!connection)
		return;
	/* The answer to an outstanding statement would go to the next user. */
	INVARIANT (!connection->upstream.is_busy, "P4");
	user->connection = NULL;
	if (connection->upstream.is_busy)
		connection_close (connection);
	else
		connection_make_available (connection);
}

void
owner_pool_discard (struct owner_pool *pool, struct pool_user *user)
{
	waiter_remove (pool, user);
	if (user->connection)
		connection_close (user->connection);
	if (pool->first_waiter)
		loop_set_timer (pool->loop, &pool->timer, clock_now_us ());
}

void
owner_pool_transfer (struct pool_user *from, struct pool_user *to)
{
	to->connection = from->connection;
	from->connection = NULL;
	if (to->connection)
		to->connection->user = to;
}

void
owner_pool_set_draining (struct owner_pool *pool, bool is_draining)
{
	pool->is_draining = is_draining;
}

void
owner_pool_close_idle (struct owner_pool *pool, int64_t now_us, bool close_all)
{
	for (uint32_t i = 0; i < pool->limit; i++)
	{
		struct pool_connection *connection = &pool->connections[i];

		if (connection->state == POOL_IDLE &&
		    (close_all || now_us - connection->idle_at_us >= POOL_IDLE_TIMEOUT_US))
			connection_close (connection);
	}
}
