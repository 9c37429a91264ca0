/**
 * @file
 * Accounts of the tenants' usage caps: one token bucket per tenant, from which VMs get tokens in advance. No I/O; times
 * are in microseconds of one clock of the VM.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	/** Tenants are divided by their id into groups; each group has its own account VM. With one group, an account VM that
	 * is lost costs twice the refusals, and no fewer bytes are sent. */
	USAGE_GROUPS = 2,
	/** Tenants in a message, which keeps a datagram below 1,200 bytes. */
	USAGE_MAX_ENTRIES = 70,
};

/** The cap of a tenant. A table of them is shared by the account and the VM's own side. */
struct usage_limit
{
	uint64_t id;
	bool is_capped;
	double rate_per_s; /**< Tokens per second of the account. */
	uint32_t burst;    /**< Most tokens that the account and the VMs hold. */
};

/** How the platform counts: a window of any start holds at most rate x window + burst operations, with a tolerance of
 * overage times this number + slack. */
struct usage_terms
{
	double window_s; /**< 0: rate and burst of a tenant are those of its account. */
	double overage;
	double slack;
};

struct usage_limits
{
	struct usage_limit *items; /**< Items stay at their index. */
	uint32_t count;
	uint32_t capacity;
};

struct usage_request
{
	uint64_t tenant;
	uint32_t received; /**< Total since the start of the reporting VM. */
	uint16_t held;     /**< Tokens at the VM. */
	uint16_t returned; /**< Total since the start of the reporting VM, modulo 65,536. */
	uint16_t waiting;  /**< Operations that wait for a token. */
	uint16_t wanted;   /**< Tokens that the VM would like to hold. */
};

struct usage_report
{
	uint32_t vm;
	uint64_t start;  /**< Greater for each start of the VM's process. */
	uint32_t number; /**< Grows within a start and group. */
	uint32_t group;
	uint32_t epoch; /**< Grows whenever the VM changes its account of the group. */
	bool
		is_lending; /**< The account may fill with the VM's share, and the VM accepts its grants. */
	uint32_t count;
	struct usage_request tenants[USAGE_MAX_ENTRIES];
};

struct usage_grant_entry
{
	uint64_t tenant;
	uint32_t granted;  /**< Total in this start of the VM, compared with usage_request.received. */
	uint32_t retry_ms; /**< Time until the next token; 0: nothing that waits was left out. */
	bool
		is_short; /**< Spent tokens are to be reported soon, since the bucket fills only as far as it knows of them. */
};

struct usage_grant
{
	uint32_t account; /**< VM of the account. */
	uint32_t vm;
	uint64_t start;
	uint32_t number;
	uint32_t group;
	uint32_t epoch;
	bool is_leaving;
	uint32_t count;
	struct usage_grant_entry tenants[USAGE_MAX_ENTRIES]; /**< Only those with news for the VM. */
};

/** What an account knows of the tokens of a tenant at a VM. */
struct usage_holding
{
	bool is_known;
	uint32_t granted;
	uint32_t held;
	uint16_t returned;
	int64_t refused_us; /**< When tokens were last refused; 0: never. */
};

struct usage_peer
{
	uint32_t vm;
	uint64_t start;
	uint32_t number;
	uint32_t epoch;
	int64_t heard_us;
	int64_t lends_until_us;
	struct usage_holding *holdings; /**< By index of the tenant; NULL: none. */
	uint32_t holding_count;
};

struct usage_bucket
{
	double level;
	double filled_s; /**< Filling time that is in the level. */
	uint32_t held;   /**< Tokens at VMs. */
};

struct usage_group
{
	struct usage_peer *peers;
	uint32_t peer_count;
	uint32_t peer_capacity;
	double share;         /**< Part of all VMs that lend their share. */
	double started_share; /**< Part for which the tokens of a new account were given. */
	double filled_s;      /**< Integral of the share over time. */
	int64_t advanced_us;
	int64_t lent_us; /**< When the share was last above 0. */
};

struct usage_account
{
	const struct usage_limits *limits;
	uint32_t vm;
	uint32_t vm_count; /**< 0: the list of VMs is not known; reports are not answered. */
	bool is_leaving;
	struct usage_group groups[USAGE_GROUPS];
	struct usage_bucket *buckets; /**< By index of the tenant. */
	uint32_t bucket_count;
};

/** Converts a tenant's cap into rate and burst of its account, so that each window may hold all operations that the terms
 * allow, also of a tenant that always asks for more. */
struct usage_limit usage_limit_convert (const struct usage_terms *terms, uint64_t id,
                                        uint32_t rate_per_s, uint32_t burst);

void usage_limits_finish (struct usage_limits *limits);
/** @return the index of the tenant, or -1. */
int32_t usage_limits_find (const struct usage_limits *limits, uint64_t id);
/** Adds or replaces a tenant's cap. @return its index, or -ENOMEM. */
int32_t usage_limits_set (struct usage_limits *limits, const struct usage_limit *limit);
uint32_t usage_group_of (uint64_t tenant);

void usage_account_init (struct usage_account *account, const struct usage_limits *limits,
                         uint32_t vm);
void usage_account_finish (struct usage_account *account);

/** Applies changed limits: fills the buckets by the present ones, before they change, if called before the change; and
 * reduces levels, if called after it. */
void usage_account_settle (struct usage_account *account, int64_t now_us);

/** Handles a VM's report. @return whether @p grant is to be sent to the VM. */
bool usage_account_handle_report (struct usage_account *account, const struct usage_report *report,
                                  struct usage_grant *grant, int64_t now_us);
