/**
 * @file
 * One observer's part in the failover of one database group.
 *
 * Events go in through failover_handle_*(); effects come out of failover_next(). The state chart
 * is charts/failover.scxml.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "decision/routing.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	FAILOVER_MAX_OBSERVERS = ROUTING_MAX_SERVERS,
	FAILOVER_NO_PRIMARY = 0xffff, /**< In an opinion: the term has no known primary. */
};

struct failover_settings
{
	int64_t poll_quiet_us;     /**< Between polls of the primary in quiet times. */
	int64_t poll_quiet_max_us; /**< Its limit when a VM observes many groups. */
	int64_t
		poll_per_group_us; /**< Least share of the interval for each group that the VM observes. */
	int64_t poll_alert_us; /**< Between polls after a late reply. */
	int64_t reply_late_us; /**< A reply later than this starts the alert. */
	int64_t suspect_after_us; /**< Silence after which the primary is suspected. */
	int64_t claim_step_us;    /**< Added delay per place in the order of claimants. */
	int64_t step_timeout_us;  /**< Limit for each of agree, fence and promote. */
	int64_t
		unfinished_after_us; /**< A promised term above the primary's for this long is completed. */
	int64_t stalled_after_us; /**< A primary that no replica follows for this long is suspected. */
};

extern const struct failover_settings failover_default_settings;

struct failover_observer
{
	uint32_t id; /**< VM id. */
	uint32_t zone;
};

/** An observer's present opinion, exchanged with the other observers of the group. */
struct failover_opinion
{
	uint64_t term;    /**< Term of the primary it speaks of. */
	uint32_t primary; /**< Its index in the group. */
	bool suspects;
};

enum failover_effect_type
{
	FAILOVER_NONE,
	FAILOVER_POLL,     /**< Ask @c server for its status. */
	FAILOVER_ASK,      /**< Ask observer @c observer for its opinion. */
	FAILOVER_FENCE,    /**< Fence @c server with @c term. */
	FAILOVER_PROMOTE,  /**< Promote @c server with @c term. */
	FAILOVER_ANNOUNCE, /**< Tell the fleet: @c server is primary in @c term. */
};

struct failover_effect
{
	enum failover_effect_type type;
	uint32_t server;
	uint32_t observer; /**< VM id. */
	uint64_t term;
};

/** Durations of the last failover this observer ran, in microseconds. */
struct failover_timings
{
	int64_t detect_us;
	int64_t agree_us;
	int64_t fence_us;
	int64_t promote_us;
};

struct failover
{
	struct failover_private *state;
};

size_t failover_size (uint32_t servers);

/** Prepares an observer in @p memory of failover_size() bytes. @p self is its own VM id. */
int failover_init (struct failover *failover, void *memory,
                   const struct failover_settings *settings, uint32_t self, uint32_t servers,
                   uint64_t seed, int64_t now_us);

void failover_finish (struct failover *failover);

/** Puts off the quiet polls of replicas, while other control traffic needs their bytes. */
void failover_postpone_replicas (struct failover *failover, int64_t by_us, int64_t now_us);

/** Sets the interval of quiet polls for a VM that observes @p groups groups, so that the bytes of all
 * polls stay within its budget. */
void failover_set_load (struct failover *failover, size_t groups);

/** Replaces the list of observers (owners of the group's servers), in claimant order. */
void failover_set_observers (struct failover *failover, const struct failover_observer *observers,
                             size_t count, int64_t now_us);

/** A status answer to the poll that was sent at @p sent_us. */
void failover_handle_status (struct failover *failover, uint32_t server,
                             const struct server_status *status, int64_t sent_us, int64_t now_us);

/** The poll, fence or promotion of @p server failed or its connection broke. */
void failover_handle_error (struct failover *failover, uint32_t server, int64_t now_us);

/** Traffic saw the primary answer or fail; spares polls when it answers. */
void failover_handle_traffic (struct failover *failover, uint32_t server, bool answered,
                              int64_t now_us);

void failover_handle_opinion (struct failover *failover, uint32_t observer,
                              const struct failover_opinion *opinion, int64_t now_us);

/** Another observer asks for this one's opinion: it doubts the primary, so this one polls at once. */
void failover_handle_asked (struct failover *failover, int64_t now_us);

/** Answer to a fence; @p accepted false: a term at or above it was promised, see @p status. */
void failover_handle_fenced (struct failover *failover, uint32_t server, uint64_t term,
                             bool accepted, const struct server_status *status, int64_t now_us);

void failover_handle_promoted (struct failover *failover, uint32_t server, uint64_t term,
                               bool accepted, const struct server_status *status, int64_t now_us);

/** An announcement by another VM. Lower terms are ignored. */
void failover_handle_announced (struct failover *failover, uint64_t term, uint32_t server,
                                int64_t now_us);

/** Tells which servers are leaving, as a bit set. The first observer replaces a leaving primary by any
 * server that stays and has its log. */
void failover_set_leaving (struct failover *failover, uint32_t servers, int64_t now_us);

/** An operator asks for a change of primary to @p server. @return 0, -EBUSY or -EINVAL. */
int failover_request_promotion (struct failover *failover, uint32_t server, int64_t now_us);

/** Next effect to carry out; call until FAILOVER_NONE. */
struct failover_effect failover_next (struct failover *failover, int64_t now_us);

int64_t failover_next_time_us (const struct failover *failover);

struct failover_opinion failover_opinion (const struct failover *failover);

/** Known primary. @return false when none is known. */
bool failover_primary (const struct failover *failover, uint64_t *term, uint32_t *server);

const struct failover_timings *failover_last_timings (const struct failover *failover);
const char *failover_state_name (const struct failover *failover);
