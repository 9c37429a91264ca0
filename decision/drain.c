#include "decision/drain.h"

#include "charts/embedded.h"

#include <errno.h>
#include <string.h>

const struct drain_settings drain_default_settings = {
	.announce_us = 3000000, /* Changes reach all members within 3 s. */
	.limit_us = 60000000,
};

/* Context of a chart event. */
struct drain_chart_context
{
	const struct drain *drain;
	uint32_t in_flight;
	int64_t now_us;
};

static bool
handle_condition (void *context, const char *name)
{
	const struct drain_chart_context *event = context;
	int64_t elapsed_us = event->now_us - event->drain->started_us;

	if (strcmp (name, "is_announced") == 0)
		return elapsed_us >= event->drain->settings->announce_us;
	if (strcmp (name, "is_idle") == 0)
		return event->in_flight == 0;
	return elapsed_us >= event->drain->settings->announce_us + event->drain->settings->limit_us;
}

static void
handle_action (void *context, const char *name)
{
}

static const struct chart_ops drain_ops = { handle_action, handle_condition };

/* Each chart state corresponds to the phase of the same name. */
static bool
drain_handle (struct drain *drain, const char *name, uint32_t in_flight, int64_t now_us)
{
	static const char *const phase_names[] = { "serving", "announcing", "finishing", "stopped" };
	const struct chart *chart = chart_embedded ("drain");
	struct drain_chart_context event = { drain, in_flight, now_us };
	struct chart_instance instance = { chart, chart_find_state (chart, phase_names[drain->phase]) };

	if (!chart_instance_handle (&instance, chart_find_event (chart, name), &drain_ops, &event))
		return false;
	for (int phase = DRAIN_SERVING; phase <= DRAIN_STOPPED; phase++)
		if (strcmp (chart_state_name (chart, instance.state), phase_names[phase]) == 0)
			drain->phase = (enum drain_phase) phase;
	return true;
}

void
drain_init (struct drain *drain, const struct drain_settings *settings)
{
	*drain = (struct drain){ .settings = settings, .phase = DRAIN_SERVING };
}

void
drain_start (struct drain *drain, int64_t now_us)
{
	if (drain_handle (drain, "start", 0, now_us))
		drain->started_us = now_us;
}

int
drain_cancel (struct drain *drain)
{
	if (drain->phase == DRAIN_SERVING || drain_handle (drain, "cancel", 0, 0))
		return 0;
	return -EALREADY;
}

enum drain_phase
drain_step (struct drain *drain, uint32_t in_flight, int64_t now_us)
{
	while (drain_handle (drain, "step", in_flight, now_us))
		;
	return drain->phase;
}

int64_t
drain_next_time_us (const struct drain *drain)
{
	int64_t announced_us = drain->started_us + drain->settings->announce_us;

	if (drain->phase == DRAIN_ANNOUNCING)
		return announced_us;
	if (drain->phase == DRAIN_FINISHING)
		return announced_us + drain->settings->limit_us;
	return INT64_MAX;
}
