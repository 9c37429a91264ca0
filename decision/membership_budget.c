#include "decision/membership_table.h"

enum
{
	MICROS = 1000000,
	/* Savings and debt are limited to the bytes of 1/BURST_DIVISOR of a second. */
	BURST_DIVISOR = 2,
	BURST_MIN_BYTES = 560,    /* One full datagram. */
	CHANGE_SAVED_BYTES = 200, /* One datagram of a change. */
};

int64_t
membership_scale (const struct membership *membership, int64_t small, int64_t large)
{
	int64_t members = membership->member_count;
	int64_t max_members = membership->settings->period_max_members;

	if (members > max_members)
		members = max_members;
	return small + (large - small) * members / max_members;
}

static int64_t
budget_rate (const struct membership *membership)
{
	const struct membership_settings *settings = membership->settings;
	bool is_change = membership->budget_at_us < membership->config_read_us + settings->change_us;

	return membership_scale (membership, settings->bytes_per_s_max,
	                         is_change ? settings->bytes_per_s_change : settings->bytes_per_s_min);
}

static int64_t
budget_burst (const struct membership *membership)
{
	const struct membership_settings *settings = membership->settings;
	int64_t bytes =
		membership_scale (membership, settings->bytes_per_s_max, settings->bytes_per_s_min) /
		BURST_DIVISOR;

	return bytes > BURST_MIN_BYTES ? bytes : BURST_MIN_BYTES;
}

void
budget_init (struct membership *membership, int64_t now_us)
{
	membership->budget = budget_burst (membership) * MICROS;
	membership->budget_at_us = now_us;
}

int64_t
budget_available (struct membership *membership, int64_t now_us)
{
	int64_t limit = budget_burst (membership) * MICROS;
	int64_t elapsed_us = now_us - membership->budget_at_us;

	if (elapsed_us > MICROS)
		elapsed_us = MICROS;
	membership->budget_at_us = now_us;
	membership->budget += elapsed_us * budget_rate (membership);
	if (membership->budget > limit)
		membership->budget = limit;
	return membership->budget / MICROS;
}

void
budget_take (struct membership *membership, int64_t bytes)
{
	int64_t limit = -budget_burst (membership) * MICROS;

	membership->budget -= bytes * MICROS;
	if (membership->budget < limit)
		membership->budget = limit;
}

void
budget_handle_change (struct membership *membership)
{
	membership->budget = CHANGE_SAVED_BYTES * (int64_t) MICROS;
}

int64_t
budget_time_us (const struct membership *membership, int64_t bytes)
{
	int64_t missing = bytes * MICROS - membership->budget;

	if (missing <= 0)
		return membership->budget_at_us;
	return membership->budget_at_us + missing / budget_rate (membership) + 1;
}
