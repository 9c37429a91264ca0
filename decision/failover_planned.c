#include "decision/failover_view.h"

enum
{
	/* A planned change waits this long for one of its targets to have the primary's log. */
	PLANNED_LIMIT_US = 4000000,
	/* Delay after a failed planned change. Writes are stopped meanwhile, for 5 s at most. */
	REPLACE_RETRY_US = 500000,
};

/* Only answers from after the request are compared, since the primary's last quiet poll may be
 * seconds old. */
static bool
target_has_primary_log (const struct failover_private *f, uint32_t server)
{
	const struct observed_server *target = &f->servers[server];
	const struct observed_server *primary = &f->servers[f->primary];

	return target->answered_us > f->planned.since_us &&
	       primary->answered_us > f->planned.since_us &&
	       log_position_covers (target->status.position, primary->status.position);
}

static uint32_t
planned_target (const struct failover_private *f)
{
	for (uint32_t i = 0; i < f->server_count; i++)
		if (f->planned.servers >> i & 1 &&
		    (f->primary == FAILOVER_NO_PRIMARY || target_has_primary_log (f, i)))
			return i;
	return FAILOVER_NO_PRIMARY;
}

void
failover_request_planned (struct failover_private *f, uint32_t servers, int64_t now_us)
{
	f->planned = (struct planned_change){ .is_pending = true,
		                                  .servers = servers,
		                                  .since_us = now_us,
		                                  .until_us = now_us + PLANNED_LIMIT_US };
	failover_poll_all (f);
}

bool
failover_must_replace_primary (const struct failover_private *f)
{
	return f->primary != FAILOVER_NO_PRIMARY && (f->leaving >> f->primary & 1) &&
	       f->observer_count > 0 && f->observers[0].observer.id == f->self;
}

/* Requests the replacement of a leaving primary by any server that stays, since a fixed target may
 * be down. */
static void
replace_leaving_primary (struct failover_private *f, int64_t now_us)
{
	uint32_t staying = ((1u << f->server_count) - 1) & ~f->leaving;

	/* Without a known primary, an unfinished claim is completed by agreement of the observers. */
	if (f->planned.is_replacement && f->primary == FAILOVER_NO_PRIMARY)
		f->planned.is_pending = false;
	if (!f->planned.is_pending && now_us >= f->replace_at_us && staying &&
	    failover_must_replace_primary (f))
	{
		failover_request_planned (f, staying, now_us);
		f->planned.is_replacement = true;
	}
}

bool
failover_start_planned (struct failover_private *f, int64_t now_us)
{
	struct planned_change *planned = &f->planned;
	uint32_t target;

	replace_leaving_primary (f, now_us);
	if (!planned->is_pending)
		return false;
	target = planned_target (f);
	if (now_us < planned->until_us && target == FAILOVER_NO_PRIMARY)
		return false;
	planned->is_pending = false;
	f->replace_at_us = now_us + REPLACE_RETRY_US;
	if (now_us >= planned->until_us || target == f->primary)
		return false;
	f->claim = (struct claim){
		.term = f->claim.term,
		.is_planned = true,
		.is_catching_up = f->primary != FAILOVER_NO_PRIMARY,
		.preferred = target,
		.old_primary = f->primary,
	};
	f->suspected_us = now_us;
	return true;
}
