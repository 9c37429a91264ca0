/* Calls of the store and of the promotion service, with the network between. */
#include "gateway_fleet_store.h"

#include "platform/documents.h"
#include "platform/store.h"

#include <errno.h>
#include <string.h>

enum
{
	CALL_WAY_US = 2 * US_PER_MS, /* One direction; a call takes twice that. */
	CALL_TIMEOUT_US = 1200 * US_PER_MS,
	CALL_CONNECT_TIMEOUT_US = 200 * US_PER_MS,
	CALL_PROMOTE_TIMEOUT_US = 1000 * US_PER_MS,
	CALL_WATCH_SLACK_US = 400 * US_PER_MS,
	CALL_RESEND_US = 200 * US_PER_MS, /* First retransmission of a lost segment. */
	CALL_CONNECT_RESEND_US = 1000 * US_PER_MS,
	CALL_LATE_US = 4 * US_PER_S, /* Longest delay of a call that is executed late. */
	CALL_PREFIXES = 2,           /* Watches of a VM. */
	CALL_PAGE_ITEMS = 500,
};

enum call_type
{
	CALL_RANGE,
	CALL_SWAP,
	CALL_WATCH,
	CALL_PROMOTE,
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
	char *last_key;       /* Last key of the page before; NULL: the first page. */
	bool has_more;        /* Another page follows. */
	int64_t list_sent_us; /* When the first page was requested. */
	int64_t sent_us;
	int64_t timeout_us;
	int64_t wait_us;
	bool is_open; /* The client waits for its answer. */
	bool is_executed;
	struct platform_answer answer;
	GArray *pairs; /* Array of struct platform_pair; owns keys and values. */
};

struct store_calls
{
	struct call *first;
	struct call **watches; /* CALL_PREFIXES for each VM. */
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
pair_clear (void *data)
{
	struct platform_pair *pair = data;

	g_free ((char *) pair->key);
	g_free ((char *) pair->value);
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
	call->next = fleet->store->calls->first;
	fleet->store->calls->first = call;
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
	answer.request_sent_us = call->type == CALL_RANGE ? call->list_sent_us : call->sent_us;
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
	if (!fleet_reaches (fleet, event->call->vm, fleet->store_node))
		call_schedule (event->call, event->call->vm, CALL_RESEND_US, 0, handle_answer);
	else if (event->call->has_more && event->call->answer.error == 0)
		call_send (event->call);
	else
		call_complete (event->call, event->call->answer.error);
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
	/* A list is as of its first page. */
	if (!call->last_key)
	{
		call->answer.revision = store_revision (store);
		call->answer.era = store->era;
	}
	call_schedule (call, call->vm, CALL_WAY_US, 0, handle_answer);
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
		               is_late ? fleet_random (fleet, CALL_LATE_US) : CALL_WAY_US, 0, execute_call);
}

static void
call_send (struct call *call)
{
	const struct fleet_vm *vm = &gateway_fleet->vms[call->vm];
	int64_t limit_us = call->timeout_us;
	int64_t resend_us = CALL_RESEND_US;

	call->serial++;
	call->is_open = true;
	call->sent_us = clock_now_us ();
	if (vm->has_failed_call && !fleet_reaches (gateway_fleet, call->vm, gateway_fleet->store_node))
	{
		limit_us = CALL_CONNECT_TIMEOUT_US;
		resend_us = CALL_CONNECT_RESEND_US;
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

/** Collects the next page of a list. @return 0, or -ESTALE when the store was restored since the first one. */
static int
collect_page (const struct fleet_store *store, struct call *call)
{
	GTreeNode *node = call->last_key ? g_tree_upper_bound (store->items, call->last_key)
	                                 : g_tree_lower_bound (store->items, call->key);
	const char *last_key = NULL;

	if (call->last_key && call->answer.era != store->era)
		return -ESTALE;
	call->has_more = false;
	for (int count = 0; node && g_str_has_prefix (g_tree_node_key (node), call->key); count++)
	{
		const struct store_item *item = g_tree_node_value (node);

		call->has_more = count == CALL_PAGE_ITEMS;
		if (call->has_more)
			break;
		last_key = g_tree_node_key (node);
		if (item->revision > call->revision)
			add_pair (call, last_key, item->value, item->revision);
		node = g_tree_node_next (node);
	}
	if (!call->last_key)
	{
		call->answer.revision = store_revision (store);
		call->answer.era = store->era;
	}
	g_free (call->last_key);
	call->last_key = g_strdup (last_key ? last_key : call->key);
	return 0;
}

/** Collects the events of a watch. @return whether there are any. */
static bool
collect_events (const struct fleet_store *store, struct call *call)
{
	for (uint64_t revision = call->revision + 1; revision <= store_revision (store); revision++)
	{
		const struct store_change *change = store_find_change (store, revision);

		if (g_str_has_prefix (change->key, call->key))
			add_pair (call, change->key, change->value, revision);
	}
	return call->pairs->len > 0;
}

void
store_calls_changed (struct fleet_store *store)
{
	for (guint i = 0; i < store->calls->waiting->len;)
	{
		struct call *call = store->calls->waiting->pdata[i];

		if (call->pairs->len == 0 && !collect_events (store, call))
		{
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast (store->calls->waiting, i);
		call_answer (call, 0);
	}
}

/** Counts a call. @return whether it is within the store's limit. */
static bool
rate_allows (struct store_rate *rate)
{
	int64_t second = clock_now_us () / US_PER_S;
	bool is_allowed;

	if (rate->second != second)
		rate->allowed = rate->calls = 0;
	rate->second = second;
	rate->total++;
	rate->calls++;
	rate->peak = MAX (rate->peak, rate->calls);
	is_allowed = rate->limit == 0 || rate->allowed < rate->limit;
	rate->allowed += is_allowed;
	rate->refused += !is_allowed;
	return is_allowed;
}

static void
execute_swap (struct fleet_store *store, struct call *call)
{
	const struct store_item *item = g_tree_lookup (store->items, call->key);

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

	if (is_current (fleet, event) &&
	    g_ptr_array_remove_fast (fleet->store->calls->waiting, event->call))
		call_answer (event->call, 0);
}

static void
execute_call (void *context, const void *payload)
{
	struct gateway_fleet *fleet = context;
	struct fleet_store *store = fleet->store;
	const struct call_event *event = payload;
	struct call *call = event->call;
	int error = 0;

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
	if (!rate_allows (call->type == CALL_SWAP ? &store->writes : &store->reads))
	{
		call_answer (call, -EAGAIN);
		return;
	}
	if (call->type == CALL_SWAP)
		execute_swap (store, call);
	else if (call->type == CALL_RANGE)
	{
		error = collect_page (store, call);
		store->directory_pages += g_str_has_prefix (call->key, documents_server_prefix);
	}
	else if (call->revision > store_revision (store))
	{
		call_answer (call, -ESTALE);
		return;
	}
	else if (!collect_events (store, call))
	{
		g_ptr_array_add (store->calls->waiting, call);
		call_schedule (call, VIRTUAL_NO_NODE, call->wait_us, 0, handle_wait_end);
		return;
	}
	if ((uint32_t) fleet_random (fleet, 1000) >= store->loss_per_mille)
		call_answer (call, error);
}

/* struct platform_ops. */

static int
range (struct platform *platform, const char *prefix, uint64_t min_revision,
       platform_handle_answer *handle, void *data)
{
	struct call *call = call_new (platform, CALL_RANGE, prefix, min_revision, handle, data);

	call->timeout_us = CALL_TIMEOUT_US;
	call->list_sent_us = clock_now_us ();
	call_send (call);
	return 0;
}

static int
swap (struct platform *platform, const char *key, uint64_t expected, const char *value,
      size_t value_length, platform_handle_answer *handle, void *data)
{
	struct call *call = call_new (platform, CALL_SWAP, key, expected, handle, data);

	if (value && g_str_has_prefix (key, controller_record_prefix))
		fleet_check_swap (gateway_fleet, platform->client, key + strlen (controller_record_prefix),
		                  value, value_length);
	call->value = value ? g_strndup (value, value_length) : NULL;
	call->timeout_us = CALL_TIMEOUT_US;
	call_send (call);
	return 0;
}

static struct call **
find_watch (const struct platform *platform, const char *prefix)
{
	const struct fleet_vm *vm = platform->client;

	return &gateway_fleet->store->calls->watches[vm->index * CALL_PREFIXES + (prefix[0] == 's')];
}

static void
unwatch (struct platform *platform, const char *prefix)
{
	struct call **watch = find_watch (platform, prefix);

	if (!*watch)
		return;
	(*watch)->is_open = false;
	g_ptr_array_remove_fast (gateway_fleet->store->calls->waiting, *watch);
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
	call->wait_us = call->timeout_us - CALL_WATCH_SLACK_US;
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
	call->timeout_us = CALL_PROMOTE_TIMEOUT_US;
	call_send (call);
	return 0;
}

static void
finish (struct platform *platform)
{
	const struct fleet_vm *vm = platform->client;

	unwatch (platform, "op/");
	unwatch (platform, "servers/");
	for (struct call *call = gateway_fleet->store->calls->first; call; call = call->next)
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

/* Used by the store. */

struct store_calls *
store_calls_new (const struct gateway_fleet *fleet)
{
	struct store_calls *calls = g_new0 (struct store_calls, 1);

	calls->watches = g_new0 (struct call *, (gsize) fleet->vm_count * CALL_PREFIXES);
	calls->waiting = g_ptr_array_new ();
	return calls;
}

void
store_calls_free (struct store_calls *calls)
{
	struct call *next;

	for (struct call *call = calls->first; call; call = next)
	{
		next = call->next;
		g_array_free (call->pairs, TRUE);
		g_free (call->key);
		g_free (call->last_key);
		g_free (call->value);
		g_free (call->holder);
		g_free (call);
	}
	g_free (calls->watches);
	g_ptr_array_free (calls->waiting, TRUE);
	g_free (calls);
}

void
store_calls_break (struct fleet_store *store, bool is_reset)
{
	GPtrArray *waiting = store->calls->waiting;

	for (guint i = 0; is_reset && i < waiting->len; i++)
		call_answer (waiting->pdata[i], -ECONNRESET);
	g_ptr_array_set_size (waiting, 0);
}
