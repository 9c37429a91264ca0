/* The platform's store and the call that promotes a server. */
#include "gateway_fleet.h"

#include "platform/store.h"

#include <errno.h>
#include <string.h>

enum
{
	STORE_WAY_US = 2 * US_PER_MS, /* One direction; a call takes twice that. */
	STORE_TIMEOUT_US = 1200 * US_PER_MS,
	STORE_CONNECT_TIMEOUT_US = 200 * US_PER_MS,
	STORE_PROMOTE_TIMEOUT_US = 1000 * US_PER_MS,
	STORE_WATCH_SLACK_US = 400 * US_PER_MS,
	STORE_RESEND_US = 200 * US_PER_MS, /* First retransmission of a lost segment. */
	STORE_CONNECT_RESEND_US = 1000 * US_PER_MS,
	STORE_LATE_US = 4 * US_PER_S, /* Longest delay of a call that is executed late. */
	STORE_FIRST_REVISION = 3,
	STORE_PREFIXES = 2, /* Watches of a VM. */
};

enum call_type
{
	CALL_RANGE,
	CALL_SWAP,
	CALL_WATCH,
	CALL_PROMOTE,
};

struct item
{
	char *value;
	uint64_t revision;
	int64_t expires_us; /* 0: never. */
	int64_t ttl_us;
	uint64_t era; /* Era of its last writing. */
};

/** A change, with what it replaced. */
struct change
{
	int64_t at_us;
	char *key;
	char *value; /* NULL: deleted. */
	struct item *old;
};

struct call
{
	struct call *next;
	int vm;
	uint32_t generation; /* Of the VM's process. */
	uint32_t serial;     /* Number of the request of a watch. */
	enum call_type type;
	char *key;
	uint64_t revision; /* Expected, or after which changes are reported. */
	char *value;
	char *holder;
	platform_handle_answer *handle;
	void *data;
	int64_t sent_us;
	int64_t timeout_us;
	int64_t wait_us;
	bool is_open; /* The client waits for its answer. */
	bool is_executed;
	struct platform_answer answer;
	GArray *pairs; /* Array of struct platform_pair; owns keys and values. */
};

struct fleet_store
{
	struct gateway_fleet *fleet;
	enum fleet_store_state state;
	GTree *items;    /* struct item by key. */
	GArray *changes; /* Array of struct change; one for each revision after the first. */
	uint64_t era;
	uint32_t loss_per_mille;
	struct call *calls;
	struct call **watches; /* STORE_PREFIXES for each VM. */
	GPtrArray *waiting;    /* Requests of watches that wait for an event. */
};

struct call_event
{
	struct call *call;
	uint32_t serial;
	int64_t resend_us;
};

static void execute_call (void *context, const void *payload);

static void
item_free (void *data)
{
	struct item *item = data;

	if (item)
		g_free (item->value);
	g_free (item);
}

static struct item *
item_copy (const struct item *item)
{
	struct item *copy;

	if (!item)
		return NULL;
	copy = g_memdup2 (item, sizeof *item);
	copy->value = g_strdup (item->value);
	return copy;
}

static void
change_clear (void *data)
{
	struct change *change = data;

	g_free (change->key);
	g_free (change->value);
	item_free (change->old);
}

static void
pair_clear (void *data)
{
	struct platform_pair *pair = data;

	g_free ((char *) pair->key);
	g_free ((char *) pair->value);
}

static uint64_t
store_revision (const struct fleet_store *store)
{
	return STORE_FIRST_REVISION + store->changes->len;
}

/* Calls. */

static struct call *
call_new (struct platform *platform, enum call_type type, const char *key, uint64_t revision,
          platform_handle_answer *handle, void *data)
{
	struct gateway_fleet *fleet = gateway_fleet;
	struct fleet_vm *vm = platform->client;
	struct call *call = g_new0 (struct call, 1);

	call->vm = vm->index;
	call->generation = fleet->world.nodes[vm->index].generation;
	call->type = type;
	call->key = g_strdup (key);
	call->revision = revision;
	call->handle = handle;
	call->data = data;
	call->pairs = g_array_new (FALSE, TRUE, sizeof (struct platform_pair));
	g_array_set_clear_func (call->pairs, pair_clear);
	call->next = fleet->store->calls;
	fleet->store->calls = call;
	return call;
}

static void
call_schedule (const struct call *call, int node, int64_t delay_us, int64_t resend_us,
               void (*handle) (void *context, const void *payload))
{
	struct gateway_fleet *fleet = gateway_fleet;
	struct call_event event = { (struct call *) call, call->serial, resend_us };

	virtual_schedule (&fleet->world, node, fleet->world.now_us + delay_us,
	                  (struct virtual_handler){ handle, fleet }, &event, sizeof event);
}

static bool
is_current (const struct gateway_fleet *fleet, const struct call_event *event)
{
	const struct call *call = event->call;

	return call->is_open && call->serial == event->serial &&
	       call->generation == fleet->world.nodes[call->vm].generation;
}

static void call_send (struct call *call);

/** Passes the answer to the VM, and sends the next request of a watch. */
static void
call_complete (struct call *call, int error)
{
	struct gateway_fleet *fleet = gateway_fleet;
	struct platform_answer answer = call->answer;

	answer.error = error;
	answer.pairs = (const struct platform_pair *) call->pairs->data;
	answer.count = error < 0 ? 0 : call->pairs->len;
	answer.request_sent_us = call->sent_us;
	if (error < 0)
		answer.revision = 0;
	fleet->vms[call->vm].has_failed_call = error == -ETIMEDOUT || error == -ECONNRESET;
	call->is_open = call->type == CALL_WATCH && error == 0;
	call->handle (call->data, &answer);
	if (call->is_open && call->pairs->len > 0)
		call->revision = answer.revision;
	g_array_set_size (call->pairs, 0);
	if (call->is_open)
		call_send (call);
}

static void
handle_answer (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct call_event *event = payload;

	if (!is_current (fleet, event))
		return;
	if (fleet_reaches (fleet, event->call->vm, fleet->store_node))
		call_complete (event->call, event->call->answer.error);
	else
		call_schedule (event->call, event->call->vm, STORE_RESEND_US, 0, handle_answer);
}

static void
handle_timeout (void *context, const void *payload)
{
	const struct call_event *event = payload;

	if (is_current (context, event))
		call_complete (event->call, -ETIMEDOUT);
}

static void
call_answer (struct call *call, int error)
{
	const struct fleet_store *store = gateway_fleet->store;

	call->answer.error = error;
	call->answer.revision = store_revision (store);
	/* call->answer.era = store->era; */
	call_schedule (call, call->vm, STORE_WAY_US, 0, handle_answer);
}

static bool
is_refused (const struct fleet_store *store, const struct call *call)
{
	return call->type != CALL_PROMOTE &&
	       (store->state == FLEET_STORE_REFUSES || store->fleet->vms[call->vm].is_refused);
}

/** Sends the request, and again while it is lost on the way. */
static void
handle_send (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct call_event *event = payload;
	struct call *call = event->call;
	bool is_silent = call->type != CALL_PROMOTE && fleet->store->state == FLEET_STORE_SILENT;
	bool is_late = call->type == CALL_SWAP &&
	               (uint32_t) fleet_random (fleet, 3000) < fleet->store->loss_per_mille;

	if (!is_current (fleet, event))
		return;
	if (is_silent || !fleet_reaches (fleet, call->vm, fleet->store_node))
		call_schedule (call, VIRTUAL_NO_NODE, event->resend_us, event->resend_us * 2, handle_send);
	else if (is_refused (fleet->store, call))
		call_answer (call, -EAGAIN);
	else
		call_schedule (call, VIRTUAL_NO_NODE,
		               is_late ? fleet_random (fleet, STORE_LATE_US) : STORE_WAY_US, 0,
		               execute_call);
}

static void
call_send (struct call *call)
{
	const struct fleet_vm *vm = &gateway_fleet->vms[call->vm];
	int64_t limit_us = call->timeout_us;
	int64_t resend_us = STORE_RESEND_US;

	call->serial++;
	call->is_open = true;
	call->sent_us = clock_now_us ();
	if (vm->has_failed_call && !fleet_reaches (gateway_fleet, call->vm, gateway_fleet->store_node))
	{
		limit_us = STORE_CONNECT_TIMEOUT_US;
		resend_us = STORE_CONNECT_RESEND_US;
	}
	call_schedule (call, VIRTUAL_NO_NODE, 0, resend_us, handle_send);
	call_schedule (call, call->vm, limit_us, 0, handle_timeout);
}

/* Execution. */

static void
add_pair (struct call *call, const char *key, const char *value, uint64_t revision)
{
	struct platform_pair pair = {
		.key = g_strdup (key),
		.value = g_strdup (value),
		.value_length = value ? strlen (value) : 0,
		.revision = revision,
		.is_deleted = value == NULL,
	};

	g_array_append_val (call->pairs, pair);
}

static gboolean
visit_item (void *key, void *value, void *data)
{
	struct call *call = data;
	const struct item *item = value;

	if (g_str_has_prefix (key, call->key) && item->revision > call->revision)
		add_pair (call, key, item->value, item->revision);
	return FALSE;
}

/** Collects the events of a watch. @return whether there are any. */
static bool
collect_events (const struct fleet_store *store, struct call *call)
{
	for (uint64_t revision = MAX (call->revision, STORE_FIRST_REVISION) + 1;
	     revision <= store_revision (store); revision++)
	{
		const struct change *change =
			&g_array_index (store->changes, struct change, revision - STORE_FIRST_REVISION - 1);

		if (g_str_has_prefix (change->key, call->key))
			add_pair (call, change->key, change->value, revision);
	}
	return call->pairs->len > 0;
}

static void
answer_waiting (struct fleet_store *store)
{
	for (guint i = 0; i < store->waiting->len;)
	{
		struct call *call = store->waiting->pdata[i];

		if (call->pairs->len == 0 && !collect_events (store, call))
		{
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast (store->waiting, i);
		call_answer (call, 0);
	}
}

static void
store_change (struct fleet_store *store, const char *key, const char *value, int64_t ttl_us)
{
	int64_t now_us = store->fleet->world.now_us;
	struct change change = {
		.at_us = now_us,
		.key = g_strdup (key),
		.value = g_strdup (value),
		.old = item_copy (g_tree_lookup (store->items, key)),
	};
	struct item *item;

	g_array_append_val (store->changes, change);
	if (value)
	{
		item = g_new0 (struct item, 1);
		item->value = g_strdup (value);
		item->revision = store_revision (store);
		item->ttl_us = ttl_us;
		item->expires_us = ttl_us > 0 ? now_us + ttl_us : 0;
		item->era = store->era;
		g_tree_replace (store->items, g_strdup (key), item);
	}
	else
		g_tree_remove (store->items, key);
	if (store->state == FLEET_STORE_UP)
		answer_waiting (store);
}

static void
execute_swap (struct fleet_store *store, struct call *call)
{
	const struct item *item = g_tree_lookup (store->items, call->key);

	call->answer.succeeded = (item ? item->revision : 0) == call->revision;
	if (!call->answer.succeeded && item)
		add_pair (call, call->key, item->value, item->revision);
	if (call->answer.succeeded)
		store_change (store, call->key, call->value, 0);
}

static void
handle_wait_end (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	const struct call_event *event = payload;

	if (is_current (fleet, event) && g_ptr_array_remove_fast (fleet->store->waiting, event->call))
		call_answer (event->call, 0);
}

static void
execute_call (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	struct fleet_store *store = fleet->store;
	const struct call_event *event = payload;
	struct call *call = event->call;

	if (call->serial != event->serial || (call->type == CALL_PROMOTE && !is_current (fleet, event)))
		return;
	if (call->type == CALL_PROMOTE)
	{
		call_answer (call,
		             fleet_promote (fleet, call->key, call->value, call->holder, call->revision));
		return;
	}
	if (store->state != FLEET_STORE_UP)
		return;
	if (call->type == CALL_SWAP)
		execute_swap (store, call);
	else if (call->type == CALL_RANGE)
		g_tree_foreach (store->items, visit_item, call);
	else if (call->revision > store_revision (store))
	{
		call_answer (call, -ESTALE);
		return;
	}
	else if (!collect_events (store, call))
	{
		g_ptr_array_add (store->waiting, call);
		call_schedule (call, VIRTUAL_NO_NODE, call->wait_us, 0, handle_wait_end);
		return;
	}
	if ((uint32_t) fleet_random (fleet, 1000) >= store->loss_per_mille)
		call_answer (call, 0);
}

/* struct platform_ops. */

static int
range (struct platform *platform, const char *prefix, uint64_t min_revision,
       platform_handle_answer *handle, void *data)
{
	struct call *call = call_new (platform, CALL_RANGE, prefix, min_revision, handle, data);

	call->timeout_us = STORE_TIMEOUT_US;
	call_send (call);
	return 0;
}

static int
swap (struct platform *platform, const char *key, uint64_t expected, const char *value,
      size_t value_length, platform_handle_answer *handle, void *data)
{
	struct call *call = call_new (platform, CALL_SWAP, key, expected, handle, data);

	call->value = value ? g_strndup (value, value_length) : NULL;
	call->timeout_us = STORE_TIMEOUT_US;
	call_send (call);
	return 0;
}

static struct call **
find_watch (const struct platform *platform, const char *prefix)
{
	const struct fleet_vm *vm = platform->client;

	return &gateway_fleet->store->watches[vm->index * STORE_PREFIXES + (prefix[0] == 's')];
}

static void
unwatch (struct platform *platform, const char *prefix)
{
	struct call **watch = find_watch (platform, prefix);

	if (!*watch)
		return;
	(*watch)->is_open = false;
	g_ptr_array_remove_fast (gateway_fleet->store->waiting, *watch);
	*watch = NULL;
}

static int
watch (struct platform *platform, const char *prefix, uint64_t revision, uint32_t idle_timeout_ms,
       platform_handle_answer *handle, void *data)
{
	struct call *call;

	unwatch (platform, prefix);
	call = call_new (platform, CALL_WATCH, prefix, revision, handle, data);
	call->timeout_us = (int64_t) idle_timeout_ms * US_PER_MS;
	call->wait_us = call->timeout_us - STORE_WATCH_SLACK_US;
	*find_watch (platform, prefix) = call;
	call_send (call);
	return 0;
}

static int
promote (struct platform *platform, const char *service, const char *server_id, const char *holder,
         uint64_t token, platform_handle_answer *handle, void *data)
{
	struct call *call = call_new (platform, CALL_PROMOTE, service, token, handle, data);

	call->value = g_strdup (server_id);
	call->holder = g_strdup (holder);
	call->timeout_us = STORE_PROMOTE_TIMEOUT_US;
	call_send (call);
	return 0;
}

static void
finish (struct platform *platform)
{
	const struct fleet_vm *vm = platform->client;

	unwatch (platform, "op/");
	unwatch (platform, "servers/");
	for (struct call *call = gateway_fleet->store->calls; call; call = call->next)
		if (call->vm == vm->index)
			call->is_open = false;
}

static const struct platform_ops store_ops = {
	.range = range,
	.swap = swap,
	.watch = watch,
	.unwatch = unwatch,
	.promote = promote,
	.finish = finish,
};

int
platform_store_init (struct platform *platform, struct loop *loop,
                     const struct store_settings *settings)
{
	struct fleet_vm *vm = &gateway_fleet->vms[loop->epoll_fd];

	(void) settings;
	vm->has_failed_call = false;
	*platform = (struct platform){ &store_ops, loop, vm };
	return 0;
}

/* The operator, the servers and the faults. */

static int
compare_keys (const void *a, const void *b, void *data)
{
	(void) data;
	return strcmp (a, b);
}

struct fleet_store *
fleet_store_new (struct gateway_fleet *fleet)
{
	struct fleet_store *store = g_new0 (struct fleet_store, 1);

	store->fleet = fleet;
	store->era = 1;
	store->items = g_tree_new_full (compare_keys, NULL, g_free, item_free);
	store->changes = g_array_new (FALSE, TRUE, sizeof (struct change));
	g_array_set_clear_func (store->changes, change_clear);
	store->watches = g_new0 (struct call *, (gsize) fleet->vm_count * STORE_PREFIXES);
	store->waiting = g_ptr_array_new ();
	return store;
}

void
fleet_store_free (struct fleet_store *store)
{
	struct call *next;

	for (struct call *call = store->calls; call; call = next)
	{
		next = call->next;
		g_array_free (call->pairs, TRUE);
		g_free (call->key);
		g_free (call->value);
		g_free (call->holder);
		g_free (call);
	}
	g_tree_destroy (store->items);
	g_array_free (store->changes, TRUE);
	g_free (store->watches);
	g_ptr_array_free (store->waiting, TRUE);
	g_free (store);
}

/** Breaks the watches that wait. */
static void
break_watches (struct fleet_store *store)
{
	for (guint i = 0; i < store->waiting->len; i++)
		call_answer (store->waiting->pdata[i], -ECONNRESET);
	g_ptr_array_set_size (store->waiting, 0);
}

void
fleet_store_set_state (struct fleet_store *store, enum fleet_store_state state)
{
	store->state = state;
	if (state == FLEET_STORE_REFUSES)
		break_watches (store);
	/* Without an answer they end at the client's limit. */
	g_ptr_array_set_size (store->waiting, 0);
}

void
fleet_store_restore (struct fleet_store *store, int64_t age_us)
{
	int64_t now_us = store->fleet->world.now_us;
	guint kept = store->changes->len;

	while (kept > 0 &&
	       g_array_index (store->changes, struct change, kept - 1).at_us > now_us - age_us)
	{
		struct change *change = &g_array_index (store->changes, struct change, --kept);

		if (change->old)
		{
			change->old->expires_us = change->old->ttl_us > 0 ? now_us + change->old->ttl_us : 0;
			g_tree_replace (store->items, g_strdup (change->key), item_copy (change->old));
		}
		else
			g_tree_remove (store->items, change->key);
	}
	if (fleet_is_logging ())
		g_printerr ("store restored: revision %llu to %u, era %llu\n",
		            (unsigned long long) store_revision (store), kept + STORE_FIRST_REVISION,
		            (unsigned long long) store->era + 1);
	g_array_set_size (store->changes, kept);
	store->era++;
}

void
fleet_store_set_loss (struct fleet_store *store, uint32_t per_mille)
{
	store->loss_per_mille = per_mille;
}

bool
fleet_store_is_up (const struct fleet_store *store)
{
	return store->state == FLEET_STORE_UP;
}

uint64_t
fleet_store_era (const struct fleet_store *store)
{
	return store->era;
}

void
fleet_store_put (struct fleet_store *store, const char *key, const char *value, int64_t ttl_us)
{
	struct item *item = g_tree_lookup (store->items, key);

	if (!item || item->era != store->era || strcmp (item->value, value) != 0)
		store_change (store, key, value, ttl_us);
	else
		item->expires_us = ttl_us > 0 ? store->fleet->world.now_us + ttl_us : 0;
}

const char *
fleet_store_get (const struct fleet_store *store, const char *key)
{
	const struct item *item = g_tree_lookup (store->items, key);

	return item ? item->value : NULL;
}

void
fleet_store_delete (struct fleet_store *store, const char *key)
{
	if (g_tree_lookup (store->items, key))
		store_change (store, key, NULL, 0);
}

static gboolean
find_expired (void *key, void *value, void *data)
{
	const struct item *item = value;

	if (item->expires_us > 0 && item->expires_us <= clock_now_us ())
		g_ptr_array_add (data, g_strdup (key));
	return FALSE;
}

void
fleet_store_tick (struct fleet_store *store)
{
	GPtrArray *expired = g_ptr_array_new_with_free_func (g_free);

	g_tree_foreach (store->items, find_expired, expired);
	for (guint i = 0; i < expired->len; i++)
		store_change (store, expired->pdata[i], NULL, 0);
	g_ptr_array_free (expired, TRUE);
}
