/**
 * @file
 * State of a failover observer, and its view of the group from the answers of servers and other
 * observers. Private to failover.c, failover_planned.c and failover_view.c.
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
	struct server_status status; /* Last known; the promised term never decreases. */
	int64_t next_poll_us;
	int64_t last_poll_us;
	int64_t answered_us;
	int64_t unanswered_us; /* Since when polls are not answered; 0: all were answered. */
};

struct observer_record
{
	struct failover_observer observer;
	struct failover_opinion opinion;
	int64_t opinion_at_us; /* When the opinion was received; 0: never. */
	int64_t next_ask_us;
};

/* Progress of the present claim to change the primary. */
struct claim
{
	uint64_t term;
	uint32_t fenced;                                    /* Bit set of servers. */
	uint32_t rejected;                                  /* Bit set of servers. */
	uint32_t to_fence;                                  /* Bit set of servers still to be fenced. */
	struct log_position positions[ROUTING_MAX_SERVERS]; /* From the answers to the fences. */
	uint32_t preferred;   /* Selected when several servers have the highest log. */
	uint32_t old_primary; /* Primary at the start of the claim. */
	uint32_t server;      /* Server selected for promotion. */
	uint32_t attempts;
	bool is_urgent;  /* The primary does not answer. */
	bool is_stalled; /* The primary answers, but its replicas do not follow it. */
	bool is_planned;
	bool is_catching_up; /* Planned change: only the old primary is being fenced so far. */
	bool to_promote;     /* The promotion has not been sent yet. */
	int64_t started_us;
	int64_t step_us; /* Start of the present step. */
};

/* A change of primary requested by an operator or for a leaving server. */
struct planned_change
{
	bool is_pending;
	bool is_replacement; /* Replaces a leaving primary. */
	uint32_t servers;    /* Bit set: the first one that has the primary's log is promoted. */
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
	int64_t now_us; /* Time of the present call, for the chart's actions. */
	int64_t due_us; /* When failover_next() has to be called again. */

	uint64_t term; /* Term of the known primary. */
	uint32_t primary;
	uint64_t highest_opinion_term; /* Highest term in the opinions of other observers. */
	uint64_t announced_term;
	bool to_announce; /* The known primary has not been announced yet. */

	struct log_position stall_position; /* Position of the primary at stall_since_us. */
	/* Since this time no replica has advanced and no majority has stall_position; 0: not
	 * stalled. */
	int64_t stall_since_us;
	int64_t stall_limit_us; /* Increases while changes of primary do not help. */

	struct failover_opinion opinion;
	uint64_t unfinished_term;
	/* Since when a promised term is above the primary's; 0: none is. */
	int64_t unfinished_since_us;
	int64_t suspected_us;
	bool is_cut_off; /* No majority of the servers answers. */
	int64_t alert_since_us;
	int64_t alert_until_us;
	struct claim claim;
	struct planned_change planned;
	uint32_t leaving;      /* Bit set of servers. */
	int64_t replace_at_us; /* Earliest next attempt to replace a leaving primary. */
	struct failover_timings timings;
	struct observed_server servers[ROUTING_MAX_SERVERS];
	struct observer_record observers[FAILOVER_MAX_OBSERVERS];
};

/** Schedules an immediate poll of each server. */
void failover_poll_all (struct failover_private *f);
/** Requests a change of primary to one of @p servers, a bit set. */
void failover_request_planned (struct failover_private *f, uint32_t servers, int64_t now_us);
/** Prepares a planned claim once its target has the primary's log. A fence before that would bring
 * the old primary back: a fenced primary may stop replicating, and the highest log is promoted.
 * @return true when the claim can start. */
bool failover_start_planned (struct failover_private *f, int64_t now_us);
/** Tells whether this observer has to replace the primary because it is leaving. The primary's
 * owner has stopped new writes by then. */
bool failover_must_replace_primary (const struct failover_private *f);
/** Number of servers that form a majority. */
uint32_t failover_majority (const struct failover_private *f);
/** The highest term that any server has promised or that its log shows. */
uint64_t failover_highest_term (const struct failover_private *f);
/** Time for which the known primary has not answered; 0: it has. */
int64_t failover_silence_us (const struct failover_private *f, int64_t now_us);
/** Tells whether replication is stalled: enough replicas to form a majority, and so to prevent one,
 * answered at least @p limit_us after the primary had an entry that they still lack, and none of
 * them had advanced. */
bool failover_is_stalled (const struct failover_private *f, int64_t limit_us);
/** Tells whether the primary is late, its replicas do not follow it, or a promised term is above
 * its own. */
bool failover_is_unhealthy (const struct failover_private *f, int64_t now_us);
bool failover_is_late (const struct failover_private *f, int64_t now_us);
/** Adopts a newer primary. @p is_announced: the fleet already knows it. */
void failover_adopt_primary (struct failover_private *f, uint64_t term, uint32_t server,
                             bool is_announced, int64_t now_us);
void failover_apply_status (struct failover_private *f, uint32_t server,
                            const struct server_status *status, int64_t now_us);
/** Updates whether a majority of the servers answers. While none does, this VM itself may be cut
 * off, so the primary's silence is counted only from the time a majority answers again. */
void failover_update_connectivity (struct failover_private *f, int64_t now_us);
void failover_update_opinion (struct failover_private *f, int64_t now_us);
/** Tells whether a majority of the observers shares this one's suspicion and a majority of the
 * servers answers. Where observers are in several zones, at least 2 zones must agree: the VMs of a
 * zone that is cut off observe every group, so their agreement alone proves nothing. */
bool failover_has_agreement (const struct failover_private *f, int64_t now_us);
/** Tells whether every responding observer earlier in the order has had its time to claim. */
bool failover_is_turn (const struct failover_private *f, int64_t now_us);
