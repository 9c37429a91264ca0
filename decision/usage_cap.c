#include "decision/usage_cap.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
	USAGE_REPORT_US = 500000,
	/* Interval for tenants of whose tokens the account has less than half, if it is in the VM's zone. With 0.5 s, it
	 * counts tokens as held at VMs after they were spent, and fills up to the rest only. */
	USAGE_REPORT_SHORT_US = 100000,
	/* Least time between two reports to an account, and the interval of polls. */
	USAGE_URGENT_US = 20000,
	/* A report without an answer is repeated, since single datagrams are lost. */
	USAGE_REPEAT_US = 150000,
	/* The same while an operation waits, whose own limit may be 50 ms. */
	USAGE_REPEAT_WAITING_US = 40000,
	/* After this time without an answer the other accounts of the chain are asked whether they answer. */
	USAGE_SUSPECT_US = 300000,
	/* An account that has not answered for so long is replaced. A VM with a quarter of a core may be stalled for 100 ms,
	 * and two datagrams in a row may be lost. */
	USAGE_LOST_US = 700000,
	/* A VM that has not polled for longer was stopped; the answers are in its socket. */
	USAGE_STOPPED_US = 300000,
	/* Tokens that a VM holds after such a stop count as lost at the account. */
	USAGE_TOKENS_LOST_US = 2500000,
	USAGE_INTERVAL_US = 500000,
	/* A tenant without operations for so long needs no tokens here. */
	USAGE_ACTIVE_US = 2000000,
	/* The same while the account is short of tokens. */
	USAGE_IDLE_SHORT_US = 200000,
	/* Holdings below this target, or by an account in another zone, are not refilled at once; the next report does. */
	USAGE_MIN_URGENT_TARGET = 4,
	US_IN_MS = 1000,
};

/** The finalizer of splitmix64. */
static uint64_t
score_member (uint64_t key, uint32_t id)
{
	uint64_t z = (key + 1) * 0xd6e8feb86659fd93 ^ (uint64_t) id * 0x9e3779b97f4a7c15;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return z ^ z >> 31;
}

void
usage_caps_init (struct usage_caps *caps, struct usage_member own, uint64_t start,
                 const struct usage_caps_ops *ops, void *data)
{
	memset (caps, 0, sizeof *caps);
	caps->own = own;
	caps->start = start;
	caps->ops = ops;
	caps->data = data;
	usage_account_init (&caps->account, &caps->limits, own.vm);
}

void
usage_caps_finish (struct usage_caps *caps)
{
	usage_account_finish (&caps->account);
	usage_limits_finish (&caps->limits);
	free (caps->tokens);
	caps->tokens = NULL;
}

static bool
is_in_chain (const struct usage_choice *choice, uint32_t vm)
{
	for (uint32_t i = 0; i < choice->chain_count; i++)
	{
		if (choice->chain[i].vm == vm)
			return true;
	}
	return false;
}

/** Appends the member with the highest score that the chain lacks. */
static void
append_candidate (struct usage_choice *choice, const struct usage_choice *previous, uint64_t key,
                  const struct usage_member *members, size_t count, uint32_t own_zone,
                  bool is_near_only)
{
	struct usage_candidate best = { 0 };
	uint64_t best_score = 0;

	for (size_t i = 0; i < count; i++)
	{
		uint64_t score = score_member (key, members[i].vm);

		if ((is_near_only && members[i].zone != own_zone) || is_in_chain (choice, members[i].vm) ||
		    (best.vm != 0 && score <= best_score))
			continue;
		best.vm = members[i].vm;
		best.is_near = members[i].zone == own_zone;
		best_score = score;
	}
	if (best.vm == 0)
		return;
	for (uint32_t i = 0; i < previous->chain_count; i++)
	{
		if (previous->chain[i].vm == best.vm)
			best = previous->chain[i];
	}
	choice->chain[choice->chain_count++] = best;
}

void
usage_caps_set_members (struct usage_caps *caps, const struct usage_member *members, size_t count,
                        uint32_t vm_count)
{
	caps->account.vm_count = vm_count;
	for (uint32_t i = 0; i < USAGE_GROUPS; i++)
	{
		struct usage_choice *choice = &caps->choices[i];
		struct usage_choice previous = *choice;

		choice->chain_count = 0;
		append_candidate (choice, &previous, i, members, count, caps->own.zone, false);
		append_candidate (choice, &previous, i, members, count, caps->own.zone, false);
		append_candidate (choice, &previous, i, members, count, caps->own.zone, true);
	}
}

static uint32_t
tokens_held (const struct usage_tokens *tokens)
{
	return tokens->received - tokens->spent - tokens->returned;
}

int32_t
usage_caps_set_limit (struct usage_caps *caps, const struct usage_limit *limit, int64_t now_us)
{
	int32_t index = usage_limits_find (&caps->limits, limit->id);
	struct usage_limit previous = index < 0 ? *limit : caps->limits.items[index];
	struct usage_tokens *tokens;
	uint32_t kept;

	if (index >= 0 && previous.is_capped == limit->is_capped &&
	    previous.rate_per_s == limit->rate_per_s && previous.burst == limit->burst)
		return index;
	usage_account_settle (&caps->account, now_us);
	index = usage_limits_set (&caps->limits, limit);
	if (index < 0)
		return index;
	if (caps->token_count < caps->limits.count)
	{
		tokens = realloc (caps->tokens, caps->limits.count * sizeof *tokens);
		if (!tokens)
			return -ENOMEM;
		memset (tokens + caps->token_count, 0,
		        (caps->limits.count - caps->token_count) * sizeof *tokens);
		caps->tokens = tokens;
		caps->token_count = caps->limits.count;
	}
	usage_account_settle (&caps->account, now_us);
	tokens = &caps->tokens[index];
	kept = tokens_held (tokens);
	if (!limit->is_capped)
		kept = 0;
	else if (limit->burst < previous.burst)
		kept = (uint32_t) ((uint64_t) kept * limit->burst / previous.burst);
	if (limit->is_capped && limit->rate_per_s < previous.rate_per_s)
		kept = (uint32_t) ((uint64_t) kept * limit->rate_per_s / previous.rate_per_s);
	tokens->spent += tokens_held (tokens) - kept;
	tokens->is_changed = true;
	tokens->empty_until_us = 0;
	return index;
}

static void
count_operation (struct usage_tokens *tokens, int64_t now_us)
{
	int64_t passed_us = now_us - tokens->interval_us;

	if (passed_us >= USAGE_INTERVAL_US)
	{
		tokens->previous = passed_us < 2 * USAGE_INTERVAL_US ? tokens->counted : 0;
		tokens->counted = 0;
		tokens->interval_us = now_us;
	}
	tokens->counted++;
	tokens->used_us = now_us;
}

/** Tokens that the VM needs for the next half of a second. */
static uint32_t
find_target (const struct usage_tokens *tokens, int64_t now_us)
{
	uint32_t demand = tokens->previous > tokens->counted ? tokens->previous : tokens->counted;

	if (tokens->used_us == 0 || now_us - tokens->used_us > USAGE_ACTIVE_US)
		return 0;
	/* A token that lies idle here is missing elsewhere while the account is short. */
	if (now_us - tokens->used_us > (tokens->is_short ? USAGE_IDLE_SHORT_US : USAGE_INTERVAL_US))
		return tokens->is_short ? 0 : 1;
	return demand > 1 ? demand : 1;
}

enum usage_verdict
usage_caps_take (struct usage_caps *caps, uint32_t index, int64_t max_wait_us, int64_t now_us,
                 int64_t *retry_us)
{
	struct usage_tokens *tokens = &caps->tokens[index];
	struct usage_choice *choice = &caps->choices[usage_group_of (caps->limits.items[index].id)];
	uint32_t target;

	count_operation (tokens, now_us);
	if (tokens_held (tokens) > 0)
	{
		tokens->spent++;
		tokens->is_changed = true;
		target = find_target (tokens, now_us);
		if (choice->current.is_near && target >= USAGE_MIN_URGENT_TARGET &&
		    tokens_held (tokens) < target / 2 && now_us >= tokens->empty_until_us)
			choice->is_urgent = true;
		return USAGE_ADMITTED;
	}
	if (tokens->empty_until_us > now_us + max_wait_us)
	{
		*retry_us = tokens->empty_until_us - now_us;
		return USAGE_REFUSED;
	}
	tokens->waiting++;
	tokens->is_changed = true;
	if (now_us >= tokens->empty_until_us)
		choice->is_urgent = true;
	return USAGE_WAIT;
}

bool
usage_caps_retake (struct usage_caps *caps, uint32_t index)
{
	struct usage_tokens *tokens = &caps->tokens[index];

	if (tokens_held (tokens) == 0)
		return false;
	tokens->spent++;
	tokens->waiting--;
	tokens->is_changed = true;
	return true;
}

void
usage_caps_withdraw (struct usage_caps *caps, uint32_t index)
{
	caps->tokens[index].waiting--;
	caps->tokens[index].is_changed = true;
}

void
usage_caps_give_back (struct usage_caps *caps, uint32_t index)
{
	caps->tokens[index].spent--;
	caps->tokens[index].is_changed = true;
}

int64_t
usage_caps_retry_us (const struct usage_caps *caps, uint32_t index, int64_t now_us)
{
	int64_t retry_us = caps->tokens[index].empty_until_us - now_us;

	return retry_us > 0 ? retry_us : USAGE_INTERVAL_US;
}

/** Returns tokens that are not needed here any more to the account. */
static void
return_tokens (struct usage_tokens *tokens, int64_t now_us)
{
	uint32_t target = find_target (tokens, now_us);
	uint32_t held = tokens_held (tokens);

	if (held <= (target == 0 ? 0 : 2 * target))
		return;
	tokens->returned += held - target;
	tokens->is_changed = true;
}

static uint16_t
limit_word (uint32_t number)
{
	return number < UINT16_MAX ? (uint16_t) number : UINT16_MAX;
}

/** Adds the tenants from @p index on. @return the index of the first one that has no place. */
static uint32_t
fill_report (struct usage_caps *caps, struct usage_report *report, uint32_t index, int64_t now_us)
{
	for (; index < caps->token_count && report->count < USAGE_MAX_ENTRIES; index++)
	{
		struct usage_tokens *tokens = &caps->tokens[index];
		const struct usage_limit *limit = &caps->limits.items[index];

		if (usage_group_of (limit->id) != report->group)
			continue;
		return_tokens (tokens, now_us);
		if (!tokens->is_changed && tokens->reported == 0)
			continue;
		tokens->is_changed = false;
		tokens->reported = report->number;
		report->tenants[report->count++] = (struct usage_request){
			.tenant = limit->id,
			.received = tokens->received,
			.held = limit_word (tokens_held (tokens)),
			.returned = (uint16_t) tokens->returned,
			.waiting = limit_word (tokens->waiting),
			.wanted = limit_word (tokens->waiting + find_target (tokens, now_us)),
		};
	}
	return index;
}

static void
send_report (struct usage_caps *caps, uint32_t vm, const struct usage_report *report,
             int64_t now_us)
{
	struct usage_grant grant;

	if (vm != caps->own.vm)
		caps->ops->send_report (caps->data, vm, report);
	else if (usage_account_handle_report (&caps->account, report, &grant, now_us))
		usage_caps_handle_grant (caps, &grant, now_us);
}

/** Sends all that the account has to know, in as many reports as it takes. */
static void
report_all (struct usage_caps *caps, uint32_t group, int64_t now_us)
{
	struct usage_choice *choice = &caps->choices[group];
	uint32_t vm = choice->current.vm;
	uint32_t index = 0;

	choice->current.sent_us = now_us;
	if (choice->current.unanswered_us == 0)
		choice->current.unanswered_us = now_us;
	choice->is_urgent = false;
	do
	{
		struct usage_report report = { .vm = caps->own.vm,
			                           .start = caps->start,
			                           .number = ++choice->number,
			                           .group = group,
			                           .epoch = choice->epoch,
			                           .is_lending = true };

		index = fill_report (caps, &report, index, now_us);
		send_report (caps, vm, &report, now_us);
		/* The answer may have shown that the account leaves. */
	} while (index < caps->token_count && choice->current.vm == vm);
}

/** Asks whether an account answers, and takes back this VM's share if it has it. */
static void
probe (struct usage_caps *caps, uint32_t group, uint32_t vm, int64_t now_us)
{
	struct usage_choice *choice = &caps->choices[group];
	struct usage_report report = { .vm = caps->own.vm,
		                           .start = caps->start,
		                           .number = ++choice->number,
		                           .group = group,
		                           .epoch = choice->epoch };

	for (uint32_t i = 0; i < choice->chain_count; i++)
	{
		if (choice->chain[i].vm == vm)
			choice->chain[i].sent_us = now_us;
	}
	send_report (caps, vm, &report, now_us);
}

/** Lends this VM's share to another account. */
static void
choose (struct usage_caps *caps, uint32_t group, struct usage_candidate candidate, int64_t now_us)
{
	struct usage_choice *choice = &caps->choices[group];
	uint32_t previous = choice->current.vm;

	choice->current = candidate;
	choice->current.unanswered_us = 0;
	choice->chosen_us = now_us;
	choice->epoch++;
	for (uint32_t i = 0; i < caps->token_count; i++)
	{
		if (usage_group_of (caps->limits.items[i].id) == group)
			caps->tokens[i].empty_until_us = 0;
	}
	if (previous != 0)
		probe (caps, group, previous, now_us);
	report_all (caps, group, now_us);
}

/** Place in the chain; its length for an account that is not in it. */
static uint32_t
find_rank (const struct usage_choice *choice, uint32_t vm)
{
	uint32_t rank = 0;

	while (rank < choice->chain_count && choice->chain[rank].vm != vm)
		rank++;
	return rank;
}

/** Replaces an account by the first one that answers, or by this VM's own if the present one is lost. */
static void
replace_account (struct usage_caps *caps, uint32_t group, bool is_lost, int64_t now_us)
{
	struct usage_choice *choice = &caps->choices[group];
	struct usage_candidate next = choice->current;

	if (is_lost)
		next = (struct usage_candidate){ .vm = caps->own.vm, .is_near = true };
	for (uint32_t i = 0; i < choice->chain_count; i++)
	{
		const struct usage_candidate *candidate = &choice->chain[i];

		if (candidate->vm == choice->current.vm || candidate->is_leaving ||
		    now_us - candidate->answered_us > USAGE_LOST_US)
			continue;
		next = *candidate;
		break;
	}
	if (next.vm != choice->current.vm)
		choose (caps, group, next, now_us);
}

static void
probe_chain (struct usage_caps *caps, uint32_t group, int64_t quiet_us, int64_t now_us)
{
	struct usage_choice *choice = &caps->choices[group];
	bool is_suspected = quiet_us > USAGE_SUSPECT_US || choice->current.is_leaving;
	uint32_t end = is_suspected ? choice->chain_count : find_rank (choice, choice->current.vm);
	int64_t interval_us = is_suspected ? USAGE_REPEAT_US : USAGE_REPORT_US;

	for (uint32_t i = 0; i < end && i < choice->chain_count; i++)
	{
		if (choice->chain[i].vm != choice->current.vm &&
		    now_us - choice->chain[i].sent_us >= interval_us)
			probe (caps, group, choice->chain[i].vm, now_us);
	}
}

/** How long a report to the present account has had no answer. */
static int64_t
find_quiet_us (const struct usage_choice *choice, int64_t now_us)
{
	return choice->current.unanswered_us > 0 ? now_us - choice->current.unanswered_us : 0;
}

/** Whether an operation waits for a token that no report has asked for, or the account is short of tokens. */
static bool
needs_report (const struct usage_caps *caps, uint32_t group, int64_t now_us)
{
	int64_t sent_us = caps->choices[group].current.sent_us;
	bool is_short_due =
		caps->choices[group].current.is_near && now_us - sent_us >= USAGE_REPORT_SHORT_US;

	for (uint32_t i = 0; i < caps->token_count; i++)
	{
		const struct usage_tokens *tokens = &caps->tokens[i];

		if (usage_group_of (caps->limits.items[i].id) != group)
			continue;
		if (is_short_due && tokens->is_short && tokens->is_changed)
			return true;
		if (tokens->waiting > 0 && now_us >= tokens->empty_until_us &&
		    (tokens->reported == 0 || now_us - sent_us >= USAGE_REPEAT_WAITING_US))
			return true;
	}
	return false;
}

static void
poll_group (struct usage_caps *caps, uint32_t group, int64_t now_us)
{
	struct usage_choice *choice = &caps->choices[group];
	int64_t quiet_us;
	int64_t passed_us;

	if (choice->current.vm == 0)
		choose (caps, group, choice->chain[0], now_us);
	quiet_us = find_quiet_us (choice, now_us);
	if (quiet_us > USAGE_LOST_US || choice->current.is_leaving)
		replace_account (caps, group, quiet_us > USAGE_LOST_US, now_us);
	quiet_us = find_quiet_us (choice, now_us);
	passed_us = now_us - choice->current.sent_us;
	choice->is_urgent |= needs_report (caps, group, now_us);
	if (passed_us >= USAGE_REPORT_US || (choice->is_urgent && passed_us >= USAGE_URGENT_US) ||
	    (quiet_us > 0 && passed_us >= USAGE_REPEAT_US))
		report_all (caps, group, now_us);
	probe_chain (caps, group, quiet_us, now_us);
}

/** After a stop, gives the accounts time to answer, and discards tokens that may count as lost. */
static void
handle_stop (struct usage_caps *caps, int64_t stopped_us, int64_t now_us)
{
	for (int i = 0; i < USAGE_GROUPS; i++)
	{
		if (caps->choices[i].current.unanswered_us > 0)
			caps->choices[i].current.unanswered_us = now_us - USAGE_SUSPECT_US;
	}
	if (stopped_us < USAGE_TOKENS_LOST_US)
		return;
	for (uint32_t i = 0; i < caps->token_count; i++)
	{
		caps->tokens[i].spent += tokens_held (&caps->tokens[i]);
		caps->tokens[i].is_changed = true;
	}
}

void
usage_caps_poll (struct usage_caps *caps, int64_t now_us)
{
	int64_t passed_us = now_us - caps->polled_us;

	if (caps->polled_us > 0 && passed_us > USAGE_STOPPED_US)
		handle_stop (caps, passed_us, now_us);
	caps->polled_us = now_us;
	if (caps->token_count == 0)
		return;
	for (uint32_t i = 0; i < USAGE_GROUPS; i++)
	{
		if (caps->choices[i].chain_count > 0)
			poll_group (caps, i, now_us);
	}
}

/** Notes the answer of an account of the chain, and goes back to it if it precedes the present one. */
static void
handle_answered (struct usage_caps *caps, const struct usage_grant *grant, int64_t now_us)
{
	struct usage_choice *choice = &caps->choices[grant->group];
	uint32_t rank = find_rank (choice, grant->account);

	if (rank == choice->chain_count)
		return;
	choice->chain[rank].answered_us = now_us;
	choice->chain[rank].is_leaving = grant->is_leaving;
	if (!grant->is_leaving && rank < find_rank (choice, choice->current.vm) &&
	    now_us - choice->chosen_us >= USAGE_REPORT_US)
		choose (caps, grant->group, choice->chain[rank], now_us);
}

void
usage_caps_handle_grant (struct usage_caps *caps, const struct usage_grant *grant, int64_t now_us)
{
	struct usage_choice *choice;

	if (grant->vm != caps->own.vm || grant->start != caps->start || grant->group >= USAGE_GROUPS)
		return;
	choice = &caps->choices[grant->group];
	if (grant->account != choice->current.vm)
	{
		handle_answered (caps, grant, now_us);
		return;
	}
	/* Grants of an earlier time with this account may have been refunded. */
	if (grant->epoch != choice->epoch)
		return;
	choice->current.unanswered_us = 0;
	choice->current.is_leaving = grant->is_leaving;
	for (uint32_t i = 0; i < grant->count && i < USAGE_MAX_ENTRIES; i++)
	{
		int32_t index = usage_limits_find (&caps->limits, grant->tenants[i].tenant);
		struct usage_tokens *tokens;

		if (index < 0 || usage_group_of (grant->tenants[i].tenant) != grant->group)
			continue;
		tokens = &caps->tokens[index];
		if ((int32_t) (grant->tenants[i].granted - tokens->received) > 0)
		{
			tokens->received = grant->tenants[i].granted;
			/* Else the account knows what it has granted. */
			tokens->is_changed |= grant->number < tokens->reported;
		}
		if (tokens->reported != 0 && grant->number == tokens->reported)
		{
			tokens->reported = 0;
			tokens->is_short = grant->tenants[i].is_short;
			tokens->empty_until_us = now_us + (int64_t) grant->tenants[i].retry_ms * US_IN_MS;
		}
	}
	/* Tenants of the report without an entry have no news. */
	for (uint32_t i = 0; i < caps->token_count; i++)
	{
		struct usage_tokens *tokens = &caps->tokens[i];

		if (tokens->reported == 0 || grant->number != tokens->reported ||
		    usage_group_of (caps->limits.items[i].id) != grant->group)
			continue;
		tokens->reported = 0;
		tokens->is_short = false;
		tokens->empty_until_us = 0;
	}
	if (grant->count > 0)
		caps->ops->handle_tokens (caps->data);
}
