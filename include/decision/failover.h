/**
 * @file
 * Failover of one database group, from the point of view of one observer.
 *
 * Events are passed to failover_handle_*(), and failover_next() returns the effects to carry out.
 * The state chart is charts/failover.scxml.
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
	FAILOVER_NO_PRIMARY = 0xffff, /**< No primary of the term is known. */
};

struct failover_settings
{
	/** Poll interval of the primary in the quiet state: poll_per_group_us for each group that the
	 * VM observes, within these limits. */
	int64_t poll_quiet_us;
	int64_t poll_quiet_max_us;
	int64_t poll_per_group_us;
	int64_t poll_alert_us;    /**< Poll interval after a late reply. */
	int64_t reply_late_us;    /**< A reply later than this starts the alert state. */
	int64_t suspect_after_us; /**< Time without an answer after which the primary is suspected. */
	int64_t claim_step_us;    /**< Additional delay for each place in the claimant order. */
	int64_t step_timeout_us;  /**< Time limit of each round of fences, and of the promotion. */
	/** An observer completes a change of primary that is unfinished for this long. Such a change
	 * shows as a promised term above the primary's. */
	int64_t unfinished_after_us;
	/** A primary that no replica follows for this long is suspected. */
	int64_t stalled_after_us;
};

extern const struct failover_settings failover_default_settings;

struct failover_observer
{
	uint32_t id; /**< VM id. */
	uint32_t zone;
};

/** An observer's opinion of the primary, exchanged with the other observers of the group. */
struct failover_opinion
{
	uint64_t term;    /**< Term of that primary. */
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
	FAILOVER_ANNOUNCE, /**< Announce to the fleet that @c server is the primary in @c term. */
};

struct failover_effect
{
	enum failover_effect_type type;
	uint32_t server;
	uint32_t observer; /**< VM id. */
	uint64_t term;
};

/** Durations of the last failover that this observer ran, in microseconds. */
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

/** Initializes an observer in @p memory of failover_size() bytes. @p self is the id of its VM.
 * @return 0, or -EINVAL for an invalid number of servers. */
int failover_init (struct failover *failover, void *memory,
                   const struct failover_settings *settings, uint32_t self, uint32_t servers,
                   uint64_t seed, int64_t now_us);

void failover_finish (struct failover *failover);

/** Postpones the quiet polls of replicas while other control traffic needs the bandwidth. */
void failover_postpone_replicas (struct failover *failover, int64_t by_us, int64_t now_us);

/** Sets the interval of quiet polls for a VM that observes @p groups groups, so that the traffic of
 * all polls stays within the VM's budget. */
void failover_set_load (struct failover *failover, size_t groups);

/** Replaces the list of observers, which are the owners of the group's servers in claimant
 * order. */
void failover_set_observers (struct failover *failover, const struct failover_observer *observers,
                             size_t count, int64_t now_us);

/** Handles the status received for the poll that was sent at @p sent_us. */
void failover_handle_status (struct failover *failover, uint32_t server,
                             const struct server_status *status, int64_t sent_us, int64_t now_us);

/** Handles a failed poll, fence or promotion of @p server, or the loss of its connection. */
void failover_handle_error (struct failover *failover, uint32_t server, int64_t now_us);

/** Handles an answer or a failure of @p server in regular traffic. An answer replaces a poll. */
void failover_handle_traffic (struct failover *failover, uint32_t server, bool answered,
                              int64_t now_us);

void failover_handle_opinion (struct failover *failover, uint32_t observer,
                              const struct failover_opinion *opinion, int64_t now_us);

/** Handles a request for this observer's opinion. The asking observer doubts the primary, so this
 * one polls at once. */
void failover_handle_asked (struct failover *failover, int64_t now_us);

/** Handles the answer to a fence. @p accepted false: the server has promised this term or a higher
 * one, see @p status. */
void failover_handle_fenced (struct failover *failover, uint32_t server, uint64_t term,
                             bool accepted, const struct server_status *status, int64_t now_us);

void failover_handle_promoted (struct failover *failover, uint32_t server, uint64_t term,
                               bool accepted, const struct server_status *status, int64_t now_us);

/** Handles another VM's announcement of a primary. Lower terms are ignored. */
void failover_handle_announced (struct failover *failover, uint64_t term, uint32_t server,
                                int64_t now_us);

/** Sets which servers are leaving, as a bit set. The first observer replaces a leaving primary by
 * any server that stays and has the primary's log. */
void failover_set_leaving (struct failover *failover, uint32_t servers, int64_t now_us);

/** Starts a change of primary to @p server, requested by an operator.
 * @return 0, -EBUSY or -EINVAL. */
int failover_request_promotion (struct failover *failover, uint32_t server, int64_t now_us);

/** Returns the next effect to carry out; call until FAILOVER_NONE. */
struct failover_effect failover_next (struct failover *failover, int64_t now_us);

int64_t failover_next_time_us (const struct failover *failover);

struct failover_opinion failover_opinion (const struct failover *failover);

/** Gets the known primary. @return false when none is known. */
bool failover_primary (const struct failover *failover, uint64_t *term, uint32_t *server);

const struct failover_timings *failover_last_timings (const struct failover *failover);
const char *failover_state_name (const struct failover *failover);
