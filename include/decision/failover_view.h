/**
 * @file
 * State of a failover observer, and its view of the group: what servers and other observers say.
 * For failover.c, failover_planned.c and failover_view.c only.
 */
#pragma once

#include "charts/chart.h"
#include "decision/failover.h"

enum failover_event
{
	EVENT_ALARM,
	EVENT_CALM,
	EVENT_SUSPICION,
	EVENT_TRUST,
	EVENT_AGREEMENT,
	EVENT_REQUEST,
	EVENT_MAJORITY,
	EVENT_SUPERSEDED,
	EVENT_TIMEOUT,
	EVENT_PROMOTED,
	EVENT_REFUSED,
	EVENT_COUNT,
};

enum failover_state
{
	STATE_QUIET,
	STATE_ALERT,
	STATE_AGREEING,
	STATE_FENCING,
	STATE_PROMOTING,
	STATE_COUNT,
};

struct observed_server
{
	struct server_status status; /* Last known; promised terms never fall. */
	int64_t next_poll_us;
	int64_t last_poll_us;
	int64_t answered_us;
	int64_t unanswered_us; /* Silent since; 0: every poll was answered, or is on its way. */
};

struct other_observer
{
	struct failover_observer observer;
	struct failover_opinion opinion;
	int64_t opinion_at_us; /* 0: none. */
	int64_t next_ask_us;
};

/* What the present claim has achieved. */
struct claim
{
	uint64_t term;
	uint32_t fenced;                                    /* Bit set of servers. */
	uint32_t rejected;                                  /* Bit set of servers. */
	uint32_t to_fence;                                  /* Bit set of fences to be sent. */
	struct log_position positions[ROUTING_MAX_SERVERS]; /* In the answers to the fences. */
	uint32_t preferred;
	uint32_t old_primary; /* Of a planned change. */
	uint32_t server;      /* To be promoted. */
	uint32_t attempts;
	bool is_urgent;  /* The primary is silent. */
	bool is_stalled; /* The primary answers, and its replicas do not follow. */
	bool is_planned;
	bool is_catching_up; /* Planned change: only the old primary is being fenced. */
	bool to_promote;
	int64_t started_us;
	int64_t step_us; /* Start of the present step. */
};

/* A change of primary that an operator or a leaving server asks for; it waits in quiet times. */
struct planned_change
{
	bool is_pending;
	bool is_replacement; /* Of a leaving primary. */
	uint32_t servers; /* Bit set: the first one that has the primary's log becomes the primary. */
	int64_t since_us;
	int64_t until_us;
};

struct failover_private
{
	const struct failover_settings *settings;
	int64_t quiet_us; /**< Present interval of quiet polls of the primary. */
	struct chart_instance chart;
	int events[EVENT_COUNT];
	int states[STATE_COUNT];
	uint32_t self;
	uint32_t server_count;
	size_t observer_count;
	uint64_t seed;
	int64_t now_us; /* Of the present call, for the actions. */
	int64_t due_us; /* When the next call was due at the end of the last one. */

	uint64_t term; /* Known primary. */
	uint32_t primary;
	uint64_t highest_opinion_term; /* Highest term in opinions of others. */
	uint64_t announced_term;
	bool to_announce;

	struct log_position stall_position; /* The primary had it at stall_since_us. */
	int64_t stall_since_us; /* No replica moved since, no majority has the position; 0: not so. */
	int64_t stall_limit_us; /* Grows while changes of primary do not help. */

	struct failover_opinion opinion;
	uint64_t unfinished_term;
	int64_t unfinished_since_us; /* A promised term is above the primary's since; 0: it is not. */
	int64_t suspected_us;
	bool is_cut_off; /* No majority of the servers answers. */
	int64_t alert_since_us;
	int64_t alert_until_us;
	struct claim claim;
	struct planned_change planned;
	uint32_t leaving;      /* Bit set of servers. */
	int64_t replace_at_us; /* A leaving primary asks for its replacement no earlier. */
	struct failover_timings timings;
	struct observed_server servers[ROUTING_MAX_SERVERS];
	struct other_observer observers[FAILOVER_MAX_OBSERVERS];
};

/** Polls each server at once. */
void failover_poll_all (struct failover_private *f);
/** Asks for a change of primary to one of @p servers, a bit set. */
void failover_request_planned (struct failover_private *f, uint32_t servers, int64_t now_us);
/** Prepares a planned claim once its server has what the primary has: a fenced primary may stop to
 * replicate, and the highest log is promoted, so an earlier fence would bring the old primary back.
 * @return true when the claim is to start. */
bool failover_start_planned (struct failover_private *f, int64_t now_us);
/** Tells whether this observer has to replace the primary. Its owner has stopped new writes. */
bool failover_must_replace_primary (const struct failover_private *f);
/** Servers that make a majority. */
uint32_t failover_majority (const struct failover_private *f);
/** The highest term that any server has promised or that its log shows. */
uint64_t failover_highest_term (const struct failover_private *f);
/** How long the known primary has not answered; 0: it has. */
int64_t failover_silence_us (const struct failover_private *f, int64_t now_us);
/** Tells whether enough replicas to withhold a majority, and to make one, answered @p limit_us after
 * the primary had an entry that they lack, and none of them had moved. */
bool failover_is_stalled (const struct failover_private *f, int64_t limit_us);
/** Tells whether the primary is late, its replicas do not follow, or a promised term is above its own. */
bool failover_is_unhealthy (const struct failover_private *f, int64_t now_us);
bool failover_is_late (const struct failover_private *f, int64_t now_us);
/** Takes over a newer primary; @p is_announced: the fleet knows it. */
void failover_adopt_primary (struct failover_private *f, uint64_t term, uint32_t server,
                             bool is_announced, int64_t now_us);
void failover_apply_status (struct failover_private *f, uint32_t server,
                            const struct server_status *status, int64_t now_us);
/** Notes whether a majority of the servers answers. While none does, this VM may be the one that is cut off,
 * so the silence of the primary counts only from when a majority answers again. */
void failover_update_connectivity (struct failover_private *f, int64_t now_us);
void failover_update_opinion (struct failover_private *f, int64_t now_us);
/** Tells whether a majority of the observers, from 2 zones where there are several, share this one's
 * suspicion, and a majority of the servers answers. The VMs of a zone that is cut off observe every group, so
 * their agreement alone is no proof. */
bool failover_has_agreement (const struct failover_private *f, int64_t now_us);
/** Tells whether each earlier observer that answers has had its time to claim first. */
bool failover_is_turn (const struct failover_private *f, int64_t now_us);
