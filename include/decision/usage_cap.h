/**
 * @file
 * A VM's side of the usage caps: the tokens that it holds, and the choice of the account that grants them. Contains the
 * VM's own account, since any VM may be asked for grants. No I/O; times are in microseconds of one clock of the VM.
 */
#pragma once

#include "decision/usage_account.h"

enum
{
	/** The account, its standby and the account of the zone; after them a VM is its own account. */
	USAGE_CHAIN = 3,
};

enum usage_verdict
{
	USAGE_ADMITTED,
	USAGE_WAIT,
	USAGE_REFUSED,
};

struct usage_member
{
	uint32_t vm; /**< Identifier; never 0. */
	uint32_t zone;
};

/** Tokens of one tenant. */
struct usage_tokens
{
	uint32_t received;
	uint32_t spent;
	uint32_t returned;
	uint32_t waiting;
	uint32_t counted;  /**< Operations in the present interval of demand. */
	uint32_t previous; /**< Operations in the interval before. */
	int64_t interval_us;
	int64_t used_us;        /**< Last operation; 0: none. */
	int64_t empty_until_us; /**< The account has no token before; 0: not known. */
	bool is_short;          /**< The account has asked to be told soon of spent tokens. */
	bool is_changed;        /**< No report holds the present totals. */
	uint32_t reported;      /**< Number of the last report that holds them; 0: answered. */
};

/** An account VM of a group, as seen by this VM. */
struct usage_candidate
{
	uint32_t vm;
	int64_t answered_us;
	int64_t sent_us;
	int64_t unanswered_us; /**< When the first report without an answer was sent; 0: none. */
	bool is_leaving;
	bool is_near; /**< Of this VM's zone; bytes to other zones are expensive. */
};

struct usage_choice
{
	struct usage_candidate chain[USAGE_CHAIN];
	uint32_t chain_count;
	struct usage_candidate current; /**< Account in use; VM 0: none. */
	int64_t chosen_us;
	uint32_t epoch;
	uint32_t number;
	bool is_urgent;
};

struct usage_caps_ops
{
	void (*send_report) (void *data, uint32_t vm, const struct usage_report *report);
	/** Tokens have come, or the time of the next one is known. */
	void (*handle_tokens) (void *data);
};

struct usage_caps
{
	struct usage_limits limits;
	struct usage_account account;
	const struct usage_caps_ops *ops;
	void *data;
	struct usage_member own;
	uint64_t start;
	struct usage_tokens *tokens; /**< By index of the tenant. */
	uint32_t token_count;
	struct usage_choice choices[USAGE_GROUPS];
	int64_t polled_us;
};

/** @param start greater than that of any earlier start of this VM. */
void usage_caps_init (struct usage_caps *caps, struct usage_member own, uint64_t start,
                      const struct usage_caps_ops *ops, void *data);
void usage_caps_finish (struct usage_caps *caps);

/** Takes over the list of the other VMs. @param vm_count all VMs with this one. */
void usage_caps_set_members (struct usage_caps *caps, const struct usage_member *members,
                             size_t count, uint32_t vm_count);

/** Takes over a tenant's cap. @return its index, which stays valid, or a negative error number. */
int32_t usage_caps_set_limit (struct usage_caps *caps, const struct usage_limit *limit,
                              int64_t now_us);

/**
 * Takes a token for an operation. USAGE_WAIT counts the operation as waiting, until usage_caps_retake() admits it or
 * usage_caps_withdraw().
 * @param retry_us USAGE_REFUSED: time until a token may be there.
 */
enum usage_verdict usage_caps_take (struct usage_caps *caps, uint32_t index, int64_t max_wait_us,
                                    int64_t now_us, int64_t *retry_us);
bool usage_caps_retake (struct usage_caps *caps, uint32_t index);
void usage_caps_withdraw (struct usage_caps *caps, uint32_t index);
/** Returns the token of an operation of which nothing was sent to a server. */
void usage_caps_give_back (struct usage_caps *caps, uint32_t index);
/** Time until a token may be there, as far as the account has said. */
int64_t usage_caps_retry_us (const struct usage_caps *caps, uint32_t index, int64_t now_us);

/** Sends the reports that are due. Called every 20 ms, and after usage_caps_take() has returned USAGE_WAIT. */
void usage_caps_poll (struct usage_caps *caps, int64_t now_us);
/** Handles another VM's grant. */
void usage_caps_handle_grant (struct usage_caps *caps, const struct usage_grant *grant,
                              int64_t now_us);
