#include "decision/admission.h"

#include "common/clock.h"
#include "common/counters.h"
#include "decision/heap.h"

#include <string.h>

enum
{
	ADMISSION_WINDOW_US = 1 * US_PER_S, /* Floors are met and loads averaged over this time. */
	ADMISSION_INITIAL_RUN_US = 10 * US_PER_MS, /* Assumed before the first measurement of a rank. */
	ADMISSION_MEAN_DIVISOR = 8,                /* Weight of a new measurement: one eighth. */
	/* Estimated waits are increased by half. With a quarter, 1.4% of the requests of an overloaded
	 * urgent rank expired in the queue instead of 0.5%, at the same slot utilization. */
	ADMISSION_MARGIN_PERCENT = 150,
	/* A rank that has requests waiting 90% of the time is overloaded. A long queue then only adds
	 * delay and no throughput, so a larger margin applies. */
	ADMISSION_OVERLOAD_MARGIN_PERCENT = 400,
	ADMISSION_OVERLOAD_PERCENT = 90,
	/* A rank that was not blocked by higher ranks for at least a tenth of the time is expected to
	 * get its full rate by priority. */
	ADMISSION_UNBLOCKED_DIVISOR = 10,
	ADMISSION_RETRY_MIN_US = 10 * US_PER_MS,
	ADMISSION_RETRY_MAX_US = 10 * US_PER_S,
	/* Upper bound of the accounted time between calls, after which credits and means have
	 * converged. */
	ADMISSION_MAX_ELAPSED_US = 60 * US_PER_S,
	ADMISSION_PERCENT = 100,
	/* A coarser unit would lose small changes of the mean to rounding. */
	ADMISSION_MILLIONTHS = 1000000,
	/* Lower bound of the service rate used for estimates, in hundredths of a slot. */
	ADMISSION_MIN_RATE = 2,
};

/* Expected wait when there are no slots; low enough that sums do not overflow. */
static const int64_t ADMISSION_WAIT_NEVER_US = INT64_MAX / 4;

struct admission_item
{
	uint64_t cookie;
	int64_t deadline_us;
	uint32_t run_us; /* Estimated on arrival. */
	uint32_t tenant;
	enum rank rank;
	uint32_t next; /* In the hash bucket or the free list. */
};

struct admission_tenant
{
	struct heap by_deadline;
	uint32_t queued;
	uint32_t running;
	int64_t queued_us;  /* Estimated slot time of the queued requests. */
	int64_t charged_us; /* Estimated slot time charged for the running statements. */
	/* Virtual time: slot time used, divided by weight. The tenant with the lowest one is next. */
	int64_t turn_us;
	int64_t latest_us; /* Latest deadline queued since the queue was last empty. */
	int64_t seen_at_us;
};

struct admission_rank
{
	uint32_t active; /* Bit set of tenants with waiting requests. */
	uint32_t seen;   /* Bit set of tenants seen within the window. */
	uint32_t queued;
	uint32_t running;
	uint32_t mean_run_us;
	uint32_t measured; /* Number of measurements, up to ADMISSION_MEAN_DIVISOR. */
	int64_t queued_us;
	int64_t charged_us;
	int64_t turn_us;         /* Virtual time of the tenant started last. */
	int64_t credit_us;       /* Slot time due under the floor; negative: used in advance. */
	int64_t demand_until_us; /* Refused requests count as demand until then. */
	int64_t busy;            /* Mean number of running statements, in millionths. */
	int64_t waiting;         /* Mean share of time with waiting requests, in millionths. */
	/* Mean share of time without waiting requests of higher ranks, in millionths. */
	int64_t unblocked;
	struct admission_tenant tenants[ADMISSION_MAX_TENANTS];
};

struct admission
{
	struct admission_settings settings;
	uint32_t capacity;
	uint32_t first_free;
	uint32_t bucket_mask;
	uint32_t running;
	uint64_t sequence;
	int64_t accounted_us;
	struct admission_rank ranks[RANK_COUNT];
	struct heap by_expiry;
	struct admission_item *items;
	uint32_t *buckets;
};

static uint32_t
admission_capacity (const struct admission_settings *settings)
{
	uint32_t capacity = 0;

	for (int rank = 0; rank < RANK_COUNT; rank++)
		capacity += settings->queue_limit[rank];
	return capacity;
}

static uint32_t
admission_bucket_count (uint32_t capacity)
{
	uint32_t buckets = 1;

	while (buckets < capacity)
		buckets *= 2;
	return buckets;
}

size_t
admission_size (const struct admission_settings *settings)
{
	uint32_t capacity = admission_capacity (settings);

	return sizeof (struct admission) +
	       capacity * (sizeof (struct admission_item) + 2 * sizeof (struct heap_node)) +
	       admission_bucket_count (capacity) * sizeof (uint32_t);
}

struct admission *
admission_init (void *memory, const struct admission_settings *settings, int64_t now_us)
{
	struct admission *admission = memory;
	struct heap_node *nodes;
	uint32_t buckets;

	memset (admission, 0, sizeof *admission);
	admission->settings = *settings;
	admission->capacity = admission_capacity (settings);
	admission->accounted_us = now_us;
	admission->items = (struct admission_item *) (admission + 1);
	nodes = (struct heap_node *) (admission->items + admission->capacity);
	admission->buckets = (uint32_t *) (nodes + 2 * (size_t) admission->capacity);
	buckets = admission_bucket_count (admission->capacity);
	admission->bucket_mask = buckets - 1;
	for (uint32_t i = 0; i < buckets; i++)
		admission->buckets[i] = HEAP_NONE;
	admission->first_free = HEAP_NONE;
	for (uint32_t i = admission->capacity; i > 0; i--)
	{
		admission->items[i - 1].next = admission->first_free;
		admission->first_free = i - 1;
	}
	heap_init (&admission->by_expiry, nodes + admission->capacity);
	for (int rank = 0; rank < RANK_COUNT; rank++)
	{
		admission->ranks[rank].mean_run_us = ADMISSION_INITIAL_RUN_US;
		admission->ranks[rank].unblocked = ADMISSION_MILLIONTHS;
		for (int tenant = 0; tenant < ADMISSION_MAX_TENANTS; tenant++)
			heap_init (&admission->ranks[rank].tenants[tenant].by_deadline, nodes);
	}
	return admission;
}

void
admission_finish (struct admission *admission)
{
	memset (admission, 0, sizeof *admission);
}

static int64_t
clamp (int64_t value, int64_t low, int64_t high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

static uint32_t
admission_weight (const struct admission *admission, uint32_t tenant)
{
	uint32_t weight = admission->settings.tenant_weight[tenant];

	return weight > 0 ? weight : 1;
}

/* Maximum number of running statements of a rank. Statements cannot be preempted, so the lowest
 * rank leaves one slot free unless there is only one. */
static uint32_t
admission_max_slots (const struct admission *admission, int rank)
{
	uint32_t slots = admission->settings.slots;
	uint32_t limit = admission->settings.max_slots[rank];

	if (limit == 0)
		limit = rank == RANK_LOW && slots > 1 ? slots - 1 : slots;
	return limit < slots ? limit : slots;
}

/* Slot time per window that the floor of a rank guarantees. */
static int64_t
admission_floor_us (const struct admission *admission, int rank)
{
	return (int64_t) admission->settings.floor_percent[rank] * admission->settings.slots *
	       ADMISSION_WINDOW_US / ADMISSION_PERCENT;
}

/* Credit at which the floor gives a rank the next slot. It is the cost of one statement, so that
 * higher ranks are passed over no more often than the floor requires. */
static int64_t
admission_floor_threshold_us (const struct admission *admission, int rank)
{
	return admission->ranks[rank].mean_run_us;
}

/* Changes the credit, which is bounded in both directions by a window's floor plus one statement.
 * The statement is the threshold, so that a rank that missed its share can still catch up a full
 * window. */
static void
admission_add_credit (struct admission *admission, int rank, int64_t amount_us)
{
	struct admission_rank *state = &admission->ranks[rank];
	int64_t bound_us = admission_floor_us (admission, rank) + state->mean_run_us;

	state->credit_us = clamp (state->credit_us + amount_us, -bound_us, bound_us);
}

static void
admission_account_rank (struct admission *admission, int rank, int64_t elapsed_us,
                        bool is_unblocked)
{
	struct admission_rank *state = &admission->ranks[rank];
	int64_t demand_us = elapsed_us;
	int64_t busy = (int64_t) state->running * ADMISSION_MILLIONTHS;

	if (state->queued == 0)
		demand_us = clamp (state->demand_until_us - admission->accounted_us, 0, elapsed_us);
	admission_add_credit (admission, rank,
	                      admission_floor_us (admission, rank) * demand_us / ADMISSION_WINDOW_US);
	state->busy += (busy - state->busy) * elapsed_us / (elapsed_us + ADMISSION_WINDOW_US);
	state->waiting += ((state->queued > 0 ? ADMISSION_MILLIONTHS : 0) - state->waiting) *
	                  elapsed_us / (elapsed_us + ADMISSION_WINDOW_US);
	state->unblocked += ((is_unblocked ? ADMISSION_MILLIONTHS : 0) - state->unblocked) *
	                    elapsed_us / (elapsed_us + ADMISSION_WINDOW_US);
}

static void
admission_account (struct admission *admission, int64_t now_us)
{
	int64_t elapsed_us = clamp (now_us - admission->accounted_us, 0, ADMISSION_MAX_ELAPSED_US);
	bool is_unblocked = true;

	if (elapsed_us == 0)
		return;
	for (int rank = 0; rank < RANK_COUNT; rank++)
	{
		admission_account_rank (admission, rank, elapsed_us, is_unblocked);
		is_unblocked = is_unblocked && admission->ranks[rank].queued == 0;
	}
	admission->accounted_us = now_us;
}

/* Returns the rank that gets the next slot: among those that their floors entitle to it, the one
 * that is owed the largest part of its floor, else the most urgent one. Returns RANK_COUNT when no
 * queued request may start. */
static int
admission_pick_rank (const struct admission *admission)
{
	int picked = RANK_COUNT;
	int64_t most = 0;

	if (admission->running >= admission->settings.slots)
		return RANK_COUNT;
	for (int rank = RANK_COUNT - 1; rank >= 0; rank--)
	{
		const struct admission_rank *state = &admission->ranks[rank];
		int64_t floor_us = admission_floor_us (admission, rank);
		int64_t due;

		if (state->queued == 0 || state->running >= admission_max_slots (admission, rank))
			continue;
		if (picked == RANK_COUNT || most == 0)
			picked = rank;
		if (floor_us == 0 || state->credit_us < admission_floor_threshold_us (admission, rank))
			continue;
		due = state->credit_us * ADMISSION_PERCENT / floor_us;
		if (due > most)
		{
			most = due;
			picked = rank;
		}
	}
	return picked;
}

static uint32_t
admission_pick_tenant (const struct admission_rank *state)
{
	uint32_t picked = ADMISSION_MAX_TENANTS;

	for (uint32_t left = state->active; left != 0; left &= left - 1)
	{
		uint32_t tenant = (uint32_t) __builtin_ctz (left);

		if (picked == ADMISSION_MAX_TENANTS ||
		    state->tenants[tenant].turn_us < state->tenants[picked].turn_us)
			picked = tenant;
	}
	return picked;
}

static void
admission_start (struct admission *admission, enum rank rank, uint32_t tenant, uint32_t run_us)
{
	struct admission_rank *state = &admission->ranks[rank];
	struct admission_tenant *tenant_state = &state->tenants[tenant];

	INVARIANT (admission->running < admission->settings.slots, "slots");
	INVARIANT (state->running < admission_max_slots (admission, rank), "slots");
	/* A tenant that was idle continues at the present virtual time and accumulates no credit. */
	if (tenant_state->turn_us < state->turn_us)
		tenant_state->turn_us = state->turn_us;
	state->turn_us = tenant_state->turn_us;
	tenant_state->turn_us += run_us / admission_weight (admission, tenant);
	tenant_state->running++;
	tenant_state->charged_us += run_us;
	state->running++;
	state->charged_us += run_us;
	admission_add_credit (admission, (int) rank, -(int64_t) run_us);
	admission->running++;
}

static uint32_t
admission_bucket (const struct admission *admission, uint64_t cookie)
{
	uint64_t hash = cookie * 0x9e3779b97f4a7c15u;

	return (uint32_t) (hash >> 32) & admission->bucket_mask;
}

static void
admission_insert (struct admission *admission, const struct admission_request *request,
                  uint32_t run_us)
{
	uint32_t item = admission->first_free;
	struct admission_item *entry = &admission->items[item];
	struct admission_rank *state = &admission->ranks[request->rank];
	struct admission_tenant *tenant = &state->tenants[request->tenant];
	uint32_t bucket = admission_bucket (admission, request->cookie);
	struct heap_key key = { (uint64_t) request->deadline_us, admission->sequence++ };

	admission->first_free = entry->next;
	*entry = (struct admission_item){
		.cookie = request->cookie,
		.deadline_us = request->deadline_us,
		.run_us = run_us,
		.tenant = request->tenant,
		.rank = request->rank,
		.next = admission->buckets[bucket],
	};
	admission->buckets[bucket] = item;
	heap_insert (&admission->by_expiry, item, key);
	heap_insert (&tenant->by_deadline, item, key);
	if (tenant->queued == 0 || tenant->latest_us < request->deadline_us)
		tenant->latest_us = request->deadline_us;
	if (tenant->queued == 0 && tenant->turn_us < state->turn_us)
		tenant->turn_us = state->turn_us;
	tenant->queued++;
	tenant->queued_us += run_us;
	state->active |= 1u << request->tenant;
	state->queued++;
	state->queued_us += run_us;
}

/* Removes an item from all structures and returns a copy of it. */
static struct admission_item
admission_remove (struct admission *admission, uint32_t item)
{
	struct admission_item entry = admission->items[item];
	struct admission_rank *state = &admission->ranks[entry.rank];
	struct admission_tenant *tenant = &state->tenants[entry.tenant];
	uint32_t *link = &admission->buckets[admission_bucket (admission, entry.cookie)];

	while (*link != item)
		link = &admission->items[*link].next;
	*link = entry.next;
	heap_remove (&admission->by_expiry, item);
	heap_remove (&tenant->by_deadline, item);
	if (--tenant->queued == 0)
		state->active &= ~(1u << entry.tenant);
	tenant->queued_us -= entry.run_us;
	state->queued--;
	state->queued_us -= entry.run_us;
	admission->items[item].next = admission->first_free;
	admission->first_free = item;
	return entry;
}

/* Marks a tenant as seen, and drops idle ones that were not seen for a window. */
static void
admission_mark_tenant_seen (struct admission_rank *state, uint32_t tenant, int64_t now_us)
{
	state->seen |= 1u << tenant;
	state->tenants[tenant].seen_at_us = now_us;
	for (uint32_t left = state->seen & ~state->active; left != 0; left &= left - 1)
	{
		uint32_t other = (uint32_t) __builtin_ctz (left);

		if (now_us - state->tenants[other].seen_at_us > ADMISSION_WINDOW_US)
			state->seen &= ~(1u << other);
	}
}

/* Tells whether a rank's queue has room for another request of the tenant. Once the queue is half
 * full, a tenant is limited to its weighted share, so that one tenant cannot fill the queue. */
static bool
admission_has_room (const struct admission *admission, enum rank rank, uint32_t tenant)
{
	const struct admission_rank *state = &admission->ranks[rank];
	uint64_t limit = admission->settings.queue_limit[rank];
	uint64_t weights = 0;

	if (state->queued >= limit || admission->first_free == HEAP_NONE)
		return false;
	if (state->queued < limit / 2)
		return true;
	for (uint32_t left = state->seen; left != 0; left &= left - 1)
		weights += admission_weight (admission, (uint32_t) __builtin_ctz (left));
	return state->tenants[tenant].queued * weights < limit * admission_weight (admission, tenant);
}

/* Estimates the slot time of the tenant's queued requests with earlier deadlines, assuming that
 * deadlines are spread evenly between the first and the latest. */
static int64_t
admission_tenant_ahead_us (const struct admission *admission, const struct admission_tenant *tenant,
                           int64_t deadline_us)
{
	int64_t first_us;

	if (tenant->queued == 0)
		return 0;
	first_us = admission->items[heap_first (&tenant->by_deadline)].deadline_us;
	if (deadline_us < first_us)
		return 0;
	if (deadline_us >= tenant->latest_us)
		return tenant->queued_us;
	return tenant->queued_us * ((deadline_us - first_us) / US_PER_MS + 1) /
	       ((tenant->latest_us - first_us) / US_PER_MS + 1);
}

/* Estimates the slot time of the rank that is served before a new request of the tenant: the
 * tenant's own, and for each other tenant its weighted share of the same period. */
static int64_t
admission_rank_ahead_us (const struct admission *admission, const struct admission_rank *state,
                         uint32_t tenant, int64_t own_us)
{
	int64_t sum_us = own_us;
	int64_t weight = admission_weight (admission, tenant);

	for (uint32_t left = state->active & ~(1u << tenant); left != 0; left &= left - 1)
	{
		uint32_t other = (uint32_t) __builtin_ctz (left);
		int64_t turn_us =
			(own_us + state->mean_run_us) * admission_weight (admission, other) / weight;

		sum_us +=
			turn_us < state->tenants[other].queued_us ? turn_us : state->tenants[other].queued_us;
	}
	return sum_us;
}

/* Mean time until one of the rank's running statements ends; each is assumed to be half done. */
static int64_t
admission_residual_us (const struct admission_rank *state)
{
	return state->charged_us / state->running / (state->running + 1);
}

/* Expected time until a slot is free for the rank. */
static int64_t
admission_slot_wait_us (const struct admission *admission, int rank)
{
	const struct admission_rank *state = &admission->ranks[rank];
	int64_t least_us = INT64_MAX;

	if (state->running > 0 && state->running >= admission_max_slots (admission, rank))
		return admission_residual_us (state);
	if (admission->running < admission->settings.slots)
		return 0;
	for (int other = 0; other < RANK_COUNT; other++)
	{
		if (admission->ranks[other].running == 0)
			continue;
		if (least_us > admission_residual_us (&admission->ranks[other]))
			least_us = admission_residual_us (&admission->ranks[other]);
	}
	return least_us;
}

/* Slots, in hundredths, that a lower rank uses during a wait of about @p span_us: those of
 * statements that run longer than that, and the rank's floor while it has demand. */
static int64_t
admission_lower_rank_slots (const struct admission *admission, int rank, int64_t span_us,
                            int64_t now_us)
{
	const struct admission_rank *state = &admission->ranks[rank];
	int64_t share = 0;

	if (state->queued > 0 || state->demand_until_us > now_us)
		share = (int64_t) admission->settings.floor_percent[rank] * admission->settings.slots;
	if (state->running > 0 && admission_residual_us (state) > span_us &&
	    share < (int64_t) state->running * ADMISSION_PERCENT)
		share = (int64_t) state->running * ADMISSION_PERCENT;
	return share;
}

/* Slots, in hundredths, that are available to a rank by priority. */
static int64_t
admission_priority_rate (const struct admission *admission, int rank, int64_t span_us,
                         int64_t now_us)
{
	const struct admission_rank *state = &admission->ranks[rank];
	int64_t most = (int64_t) admission_max_slots (admission, rank) * ADMISSION_PERCENT;
	int64_t rate = (int64_t) admission->settings.slots * ADMISSION_PERCENT;

	for (int other = RANK_COUNT - 1; other > rank; other--)
		rate -= admission_lower_rank_slots (admission, other, span_us, now_us);
	/* When long statements of lower ranks hold all slots, the rank gets the first one that is
	 * freed. */
	if (rate < ADMISSION_PERCENT)
		rate = ADMISSION_PERCENT;
	for (int other = 0; other < rank; other++)
		rate -= admission->ranks[other].busy / (ADMISSION_MILLIONTHS / ADMISSION_PERCENT);
	/* Higher ranks that always have requests waiting leave nothing, whatever their measured
	 * load. */
	if (state->unblocked < ADMISSION_MILLIONTHS / ADMISSION_UNBLOCKED_DIVISOR)
		rate = rate * state->unblocked * ADMISSION_UNBLOCKED_DIVISOR / ADMISSION_MILLIONTHS;
	return clamp (rate, ADMISSION_MIN_RATE, most);
}

/* Expected wait of a new request behind @p ahead_us of slot time of its own rank. It is served by
 * priority or by the rank's floor, whichever comes first. */
static int64_t
admission_wait_us (const struct admission *admission, int rank, int64_t ahead_us, int64_t now_us)
{
	const struct admission_rank *state = &admission->ranks[rank];
	uint32_t slots = admission->settings.slots;
	int64_t floor_rate = (int64_t) admission->settings.floor_percent[rank] * slots;
	int64_t work_us = ahead_us;
	int64_t slot_us;
	int64_t wait_us;
	int64_t floor_wait_us;

	if (slots == 0)
		return ADMISSION_WAIT_NEVER_US;
	slot_us = admission_slot_wait_us (admission, rank);
	for (int other = 0; other < rank; other++)
		work_us += admission->ranks[other].queued_us;
	wait_us = slot_us + work_us * ADMISSION_PERCENT /
	                        admission_priority_rate (admission, rank, work_us / slots, now_us);
	if (floor_rate == 0)
		return wait_us;
	floor_wait_us = ahead_us + admission_floor_threshold_us (admission, rank) - state->credit_us;
	floor_wait_us =
		slot_us + (floor_wait_us > 0 ? floor_wait_us * ADMISSION_PERCENT / floor_rate : 0);
	return wait_us < floor_wait_us ? wait_us : floor_wait_us;
}

static uint32_t
admission_retry_after_us (int64_t wait_us)
{
	return (uint32_t) clamp (wait_us, ADMISSION_RETRY_MIN_US, ADMISSION_RETRY_MAX_US);
}

static int64_t
admission_margin_us (const struct admission_rank *state, int64_t wait_us)
{
	int64_t overload =
		(int64_t) ADMISSION_MILLIONTHS * ADMISSION_OVERLOAD_PERCENT / ADMISSION_PERCENT;

	if (wait_us > ADMISSION_MAX_ELAPSED_US)
		return wait_us;
	return wait_us *
	       (state->waiting > overload ? ADMISSION_OVERLOAD_MARGIN_PERCENT
	                                  : ADMISSION_MARGIN_PERCENT) /
	       ADMISSION_PERCENT;
}

struct admission_result
admission_submit (struct admission *admission, const struct admission_request *request,
                  int64_t now_us)
{
	struct admission_rank *state = &admission->ranks[request->rank];
	struct admission_tenant *tenant = &state->tenants[request->tenant];
	struct admission_result result = { ADMISSION_QUEUED, request->cookie, 0 };
	uint32_t run_us = request->expected_run_us ? request->expected_run_us : state->mean_run_us;
	int64_t left_us = request->deadline_us - now_us;
	int64_t wait_us;
	int64_t margin_us;

	admission_account (admission, now_us);
	admission_mark_tenant_seen (state, request->tenant, now_us);
	if (left_us >= 0 && admission->running < admission->settings.slots &&
	    state->running < admission_max_slots (admission, request->rank) &&
	    admission_pick_rank (admission) == RANK_COUNT)
	{
		admission_start (admission, request->rank, request->tenant, run_us);
		result.verdict = ADMISSION_START;
		return result;
	}
	state->demand_until_us = now_us + ADMISSION_WINDOW_US;
	wait_us = admission_tenant_ahead_us (admission, tenant, request->deadline_us);
	wait_us = admission_rank_ahead_us (admission, state, request->tenant, wait_us);
	wait_us = admission_wait_us (admission, (int) request->rank, wait_us, now_us);
	margin_us = admission_margin_us (state, wait_us);
	result.retry_after_us = admission_retry_after_us (wait_us);
	if (margin_us > left_us)
	{
		result.verdict = ADMISSION_OVERLOAD;
		result.retry_after_us = admission_retry_after_us (margin_us - left_us);
	}
	else if (!admission_has_room (admission, request->rank, request->tenant))
		result.verdict = ADMISSION_FULL;
	else
		admission_insert (admission, request, run_us);
	return result;
}

void
admission_complete (struct admission *admission, enum rank rank, uint32_t tenant, uint32_t run_us,
                    int64_t now_us)
{
	struct admission_rank *state = &admission->ranks[rank];
	struct admission_tenant *tenant_state = &state->tenants[tenant];
	int64_t charged_us;

	INVARIANT (tenant_state->running > 0, "slots");
	if (tenant_state->running == 0)
		return;
	admission_account (admission, now_us);
	/* Replaces the estimate charged at the start by the measured time. */
	charged_us = tenant_state->charged_us / tenant_state->running;
	tenant_state->charged_us -= charged_us;
	tenant_state->turn_us += (run_us - charged_us) / (int64_t) admission_weight (admission, tenant);
	tenant_state->running--;
	state->charged_us -= charged_us;
	admission_add_credit (admission, (int) rank, charged_us - run_us);
	state->running--;
	/* The first measurements are averaged with equal weight: with an initial value that is far too
	 * low, a rank of long statements would be admitted on a floor that it cannot get. */
	if (state->measured < ADMISSION_MEAN_DIVISOR)
		state->measured++;
	state->mean_run_us =
		(uint32_t) (state->mean_run_us + ((int64_t) run_us - state->mean_run_us) / state->measured);
	admission->running--;
}

struct admission_result
admission_next (struct admission *admission, int64_t now_us)
{
	struct admission_result result = { ADMISSION_NONE, 0, 0 };
	uint32_t item = heap_first (&admission->by_expiry);
	struct admission_item entry;
	int rank;

	admission_account (admission, now_us);
	if (item != HEAP_NONE && admission->items[item].deadline_us < now_us)
	{
		entry = admission_remove (admission, item);
		result.verdict = ADMISSION_EXPIRED;
		result.cookie = entry.cookie;
		result.retry_after_us =
			admission_retry_after_us (admission_expected_wait_us (admission, entry.rank, now_us));
		return result;
	}
	rank = admission_pick_rank (admission);
	if (rank == RANK_COUNT)
		return result;
	item = admission_pick_tenant (&admission->ranks[rank]);
	item = heap_first (&admission->ranks[rank].tenants[item].by_deadline);
	entry = admission_remove (admission, item);
	INVARIANT (entry.deadline_us >= now_us, "P5");
	admission_start (admission, entry.rank, entry.tenant, entry.run_us);
	result.verdict = ADMISSION_START;
	result.cookie = entry.cookie;
	return result;
}

bool
admission_cancel (struct admission *admission, uint64_t cookie)
{
	uint32_t item = admission->buckets[admission_bucket (admission, cookie)];

	while (item != HEAP_NONE && admission->items[item].cookie != cookie)
		item = admission->items[item].next;
	if (item == HEAP_NONE)
		return false;
	admission_remove (admission, item);
	return true;
}

void
admission_set_slots (struct admission *admission, uint32_t slots)
{
	admission->settings.slots = slots;
}

uint32_t
admission_expected_wait_us (const struct admission *admission, enum rank rank, int64_t now_us)
{
	const struct admission_rank *state = &admission->ranks[rank];
	int64_t wait_us;

	if (admission->running < admission->settings.slots && state->queued == 0 &&
	    state->running < admission_max_slots (admission, (int) rank))
		return 0;
	wait_us = admission_wait_us (admission, (int) rank, state->queued_us, now_us);
	return wait_us < UINT32_MAX ? (uint32_t) wait_us : UINT32_MAX;
}

int64_t
admission_next_expiry_us (const struct admission *admission)
{
	uint32_t item = heap_first (&admission->by_expiry);

	/* A request may still start at its deadline. */
	if (item == HEAP_NONE || admission->items[item].deadline_us == INT64_MAX)
		return INT64_MAX;
	return admission->items[item].deadline_us + 1;
}

uint32_t
admission_queued (const struct admission *admission, enum rank rank)
{
	return admission->ranks[rank].queued;
}

uint32_t
admission_running (const struct admission *admission, enum rank rank)
{
	return admission->ranks[rank].running;
}
