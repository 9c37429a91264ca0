#include "decision/usage_account.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	/* An account fills with the share of a VM for so long after its last report. A VM goes to another account after
	 * 0.7 s, so that a share is used twice for at most 0.5 s, a tenth of the window of 5 s. */
	USAGE_LEASE_US = 1200000,
	/* Tokens of a VM that is silent for longer count as lost. */
	USAGE_FORGET_US = 3000000,
	/* A new account has so many tokens, which are within the overage that caps allow. Without them a tenant at two thirds
	 * of its cap is refused operations in the first seconds, as arrivals are uneven. */
	USAGE_START_TOKENS = 10,
	USAGE_START_INTERVAL_US = 5000000,
	/* VMs whose tokens were refused within this time compete for the next ones. */
	USAGE_COMPETE_US = 500000,
	USAGE_MAX_RETRY_MS = 500,
	US_IN_S = 1000000,
};

/* Part of the tolerance that an account may hold beyond the window's limit. The rest is for shares that are used twice and
 * for tokens of new accounts. */
static const double USAGE_CAPACITY_PART = 0.4;

struct usage_limit
usage_limit_convert (const struct usage_terms *terms, uint64_t id, uint32_t rate_per_s,
                     uint32_t burst)
{
	struct usage_limit limit = { id, true, rate_per_s, burst };
	double per_window = rate_per_s * terms->window_s + burst;

	if (terms->window_s <= 0)
		return limit;
	limit.rate_per_s = per_window / terms->window_s;
	limit.burst =
		(uint32_t) (USAGE_CAPACITY_PART * (per_window * terms->overage + terms->slack) + 0.5);
	return limit;
}

void
usage_limits_finish (struct usage_limits *limits)
{
	free (limits->items);
	memset (limits, 0, sizeof *limits);
}

int32_t
usage_limits_find (const struct usage_limits *limits, uint64_t id)
{
	for (uint32_t i = 0; i < limits->count; i++)
	{
		if (limits->items[i].id == id)
			return (int32_t) i;
	}
	return -1;
}

int32_t
usage_limits_set (struct usage_limits *limits, const struct usage_limit *limit)
{
	int32_t index = usage_limits_find (limits, limit->id);

	if (index < 0)
	{
		if (limits->count == limits->capacity)
		{
			uint32_t capacity = limits->capacity ? limits->capacity * 2 : 16;
			struct usage_limit *items = realloc (limits->items, capacity * sizeof *items);

			if (!items)
				return -ENOMEM;
			limits->items = items;
			limits->capacity = capacity;
		}
		index = (int32_t) limits->count++;
	}
	limits->items[index] = *limit;
	return index;
}

uint32_t
usage_group_of (uint64_t tenant)
{
	return (uint32_t) (tenant >> 16) % USAGE_GROUPS;
}

void
usage_account_init (struct usage_account *account, const struct usage_limits *limits, uint32_t vm)
{
	memset (account, 0, sizeof *account);
	account->limits = limits;
	account->vm = vm;
}

void
usage_account_finish (struct usage_account *account)
{
	for (int i = 0; i < USAGE_GROUPS; i++)
	{
		for (uint32_t j = 0; j < account->groups[i].peer_count; j++)
			free (account->groups[i].peers[j].holdings);
		free (account->groups[i].peers);
	}
	free (account->buckets);
	memset (account, 0, sizeof *account);
}

/** Most tokens that the VMs and the account may have together. */
static double
find_capacity (const struct usage_limit *limit, double share)
{
	double capacity = limit->burst * share;

	if (share <= 0 || !limit->is_capped)
		return 0;
	return capacity > 1 ? capacity : 1;
}

/** Fills the bucket up to now, and reduces it to what the present share and cap allow. */
static void
settle_bucket (struct usage_account *account, uint32_t index)
{
	const struct usage_limit *limit = &account->limits->items[index];
	const struct usage_group *group = &account->groups[usage_group_of (limit->id)];
	struct usage_bucket *bucket = &account->buckets[index];
	double room = find_capacity (limit, group->share) - bucket->held;

	bucket->level += limit->rate_per_s * (group->filled_s - bucket->filled_s);
	bucket->filled_s = group->filled_s;
	if (bucket->level > room)
		bucket->level = room;
	if (bucket->level < 0)
		bucket->level = 0;
}

static bool
reserve_buckets (struct usage_account *account)
{
	uint32_t count = account->limits->count;
	struct usage_bucket *buckets;

	if (account->bucket_count >= count)
		return true;
	buckets = realloc (account->buckets, count * sizeof *buckets);
	if (!buckets)
		return false;
	account->buckets = buckets;
	for (uint32_t i = account->bucket_count; i < count; i++)
	{
		const struct usage_group *group =
			&account->groups[usage_group_of (account->limits->items[i].id)];

		buckets[i] = (struct usage_bucket){ .level = USAGE_START_TOKENS * group->share,
			                                .filled_s = group->filled_s };
	}
	account->bucket_count = count;
	return true;
}

static void
drop_holdings (struct usage_account *account, struct usage_peer *peer)
{
	for (uint32_t i = 0; i < peer->holding_count; i++)
		account->buckets[i].held -= peer->holdings[i].held;
	free (peer->holdings);
	peer->holdings = NULL;
	peer->holding_count = 0;
}

/** Takes over the present share of the group. */
static void
set_share (struct usage_account *account, struct usage_group *group, double share)
{
	double started = share - group->started_share;

	if (share == group->share)
		return;
	for (uint32_t i = 0; i < account->bucket_count; i++)
	{
		if (&account->groups[usage_group_of (account->limits->items[i].id)] == group)
			settle_bucket (account, i);
	}
	group->share = share;
	if (started > 0)
		group->started_share = share;
	for (uint32_t i = 0; i < account->bucket_count; i++)
	{
		if (&account->groups[usage_group_of (account->limits->items[i].id)] != group)
			continue;
		if (started > 0)
			account->buckets[i].level += USAGE_START_TOKENS * started;
		settle_bucket (account, i);
	}
}

/** Ends shares that have expired and forgets silent VMs. */
static void
advance_group (struct usage_account *account, struct usage_group *group, int64_t now_us)
{
	uint32_t lenders = 0;
	int64_t passed_us = now_us - group->advanced_us;
	double share;

	if (passed_us < 0)
		passed_us = 0;
	for (uint32_t i = 0; i < group->peer_count;)
	{
		struct usage_peer *peer = &group->peers[i];

		if (now_us - peer->heard_us > USAGE_FORGET_US)
		{
			drop_holdings (account, peer);
			*peer = group->peers[--group->peer_count];
			continue;
		}
		lenders += peer->lends_until_us > now_us;
		i++;
	}
	share = account->vm_count > 0 ? (double) lenders / account->vm_count : 0;
	if (share > 1)
		share = 1;
	/* An account that was stopped has not been lent anything meanwhile, as far as it can prove. */
	if (passed_us < USAGE_LEASE_US)
		group->filled_s += (share < group->share ? share : group->share) * passed_us / US_IN_S;
	if (share > 0)
		group->lent_us = now_us;
	else if (now_us - group->lent_us > USAGE_START_INTERVAL_US)
		group->started_share = 0;
	group->advanced_us = now_us;
	set_share (account, group, share);
}

void
usage_account_settle (struct usage_account *account, int64_t now_us)
{
	if (!reserve_buckets (account))
		return;
	for (int i = 0; i < USAGE_GROUPS; i++)
		advance_group (account, &account->groups[i], now_us);
	for (uint32_t i = 0; i < account->bucket_count; i++)
		settle_bucket (account, i);
}

static struct usage_peer *
get_peer (struct usage_group *group, uint32_t vm)
{
	for (uint32_t i = 0; i < group->peer_count; i++)
	{
		if (group->peers[i].vm == vm)
			return &group->peers[i];
	}
	if (group->peer_count == group->peer_capacity)
	{
		uint32_t capacity = group->peer_capacity ? group->peer_capacity * 2 : 16;
		struct usage_peer *peers = realloc (group->peers, capacity * sizeof *peers);

		if (!peers)
			return NULL;
		group->peers = peers;
		group->peer_capacity = capacity;
	}
	group->peers[group->peer_count] = (struct usage_peer){ .vm = vm };
	return &group->peers[group->peer_count++];
}

static bool
reserve_holdings (struct usage_account *account, struct usage_peer *peer)
{
	uint32_t count = account->bucket_count;
	struct usage_holding *holdings;

	if (peer->holding_count >= count)
		return true;
	holdings = realloc (peer->holdings, count * sizeof *holdings);
	if (!holdings)
		return false;
	memset (holdings + peer->holding_count, 0, (count - peer->holding_count) * sizeof *holdings);
	peer->holdings = holdings;
	peer->holding_count = count;
	return true;
}

/** Time until a VM that was refused tokens should ask again: the VMs that were refused some take turns. */
static uint32_t
find_retry_ms (const struct usage_group *group, const struct usage_limit *limit, uint32_t index,
               double level, int64_t now_us)
{
	double rate_per_s = limit->rate_per_s * group->share;
	uint32_t competitors = 0;
	double retry_ms;

	for (uint32_t i = 0; i < group->peer_count; i++)
	{
		const struct usage_peer *peer = &group->peers[i];

		if (index < peer->holding_count && peer->holdings[index].refused_us > 0 &&
		    now_us - peer->holdings[index].refused_us < USAGE_COMPETE_US)
			competitors++;
	}
	if (rate_per_s <= 0)
		return USAGE_MAX_RETRY_MS;
	retry_ms = (competitors - (level < 1 ? level : 1)) * 1000 / rate_per_s;
	if (retry_ms < 1)
		return 1;
	return retry_ms < USAGE_MAX_RETRY_MS ? (uint32_t) retry_ms : USAGE_MAX_RETRY_MS;
}

static uint32_t
subtract (uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static struct usage_grant_entry
handle_request (struct usage_account *account, struct usage_group *group, struct usage_peer *peer,
                uint32_t index, const struct usage_request *request, bool is_new_epoch,
                int64_t now_us)
{
	const struct usage_limit *limit = &account->limits->items[index];
	struct usage_bucket *bucket = &account->buckets[index];
	struct usage_holding *holding = &peer->holdings[index];
	struct usage_grant_entry entry = { .tenant = request->tenant };
	uint32_t missing;
	uint32_t level;
	uint32_t spare;

	bucket->held -= holding->held;
	holding->held = 0;
	/* Before the level is settled, which counts them as held until now. */
	if (holding->is_known)
		bucket->level += (uint16_t) (request->returned - holding->returned);
	if (holding->is_known && is_new_epoch)
		bucket->level += subtract (holding->granted, request->received);
	if (!holding->is_known || is_new_epoch || request->received > holding->granted)
		holding->granted = request->received;
	holding->is_known = true;
	holding->returned = request->returned;
	/* With the tokens that are on their way to the VM. */
	holding->held = request->held + (holding->granted - request->received);
	bucket->held += holding->held;
	settle_bucket (account, index);
	level = (uint32_t) bucket->level;
	missing = subtract (request->waiting, holding->held);
	if (missing > level)
	{
		holding->refused_us = now_us;
		missing = level;
	}
	else
		holding->refused_us = 0;
	/* Half of the tokens stays at the account, for VMs whose callers wait for one. */
	spare = subtract (level - missing, (uint32_t) (find_capacity (limit, group->share) * 2 / 3));
	spare = spare < subtract (request->wanted, holding->held + missing)
	            ? spare
	            : subtract (request->wanted, holding->held + missing);
	holding->granted += missing + spare;
	/* Tokens for operations that wait are spent as they arrive; the next report says how many were not. */
	holding->held += spare;
	bucket->held += spare;
	bucket->level -= missing + spare;
	entry.granted = holding->granted;
	entry.is_short = bucket->level < find_capacity (limit, group->share) / 2;
	if (holding->refused_us > 0)
		entry.retry_ms = find_retry_ms (group, limit, index, bucket->level, now_us);
	return entry;
}

bool
usage_account_handle_report (struct usage_account *account, const struct usage_report *report,
                             struct usage_grant *grant, int64_t now_us)
{
	struct usage_group *group = &account->groups[report->group % USAGE_GROUPS];
	struct usage_peer *peer;
	bool is_new_epoch;

	if (account->vm_count == 0 || report->group >= USAGE_GROUPS || !reserve_buckets (account))
		return false;
	peer = get_peer (group, report->vm);
	if (!peer || report->start < peer->start ||
	    (report->start == peer->start && report->number <= peer->number))
		return false;
	if (report->start > peer->start || !report->is_lending)
		drop_holdings (account, peer);
	is_new_epoch = report->epoch != peer->epoch;
	peer->start = report->start;
	peer->number = report->number;
	peer->epoch = report->epoch;
	peer->heard_us = now_us;
	peer->lends_until_us = report->is_lending ? now_us + USAGE_LEASE_US : 0;
	advance_group (account, group, now_us);
	*grant = (struct usage_grant){
		.account = account->vm,
		.vm = report->vm,
		.start = report->start,
		.number = report->number,
		.group = report->group,
		.epoch = report->epoch,
		.is_leaving = account->is_leaving,
	};
	/* Advancing may have moved the entry. */
	peer = get_peer (group, report->vm);
	if (!report->is_lending || !reserve_holdings (account, peer))
		return true;
	for (uint32_t i = 0; i < report->count && i < USAGE_MAX_ENTRIES; i++)
	{
		int32_t index = usage_limits_find (account->limits, report->tenants[i].tenant);
		struct usage_grant_entry entry;

		if (index < 0 || usage_group_of (report->tenants[i].tenant) != report->group)
			continue;
		entry = handle_request (account, group, peer, (uint32_t) index, &report->tenants[i],
		                        is_new_epoch, now_us);
		if (entry.granted != report->tenants[i].received || entry.retry_ms > 0 || entry.is_short)
			grant->tenants[grant->count++] = entry;
	}
	return true;
}
