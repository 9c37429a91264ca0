/**
 * @file
 * Interpreter of state charts in a subset of SCXML: <scxml initial>, <state id>, nested states with
 * initial, <final id>, <transition event target cond>, <onentry>/<onexit>/<transition> with
 * <raise event> or <send event> naming an action. Read with GMarkup.
 */
#pragma once

#include "common/findings.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	CHART_NONE = -1,
};

/** A parsed chart; shared by all its instances and not changed after chart_init(). */
struct chart
{
	struct chart_private *data;
};

/** Carries out the actions of a chart; first member of an instance's context. */
struct chart_ops
{
	/** Runs the action @p name (the event of a <send>). */
	void (*handle_action) (void *context, const char *name);
	/** Evaluates the condition @p name of a transition. */
	bool (*is_true) (void *context, const char *name);
};

/** Parses @p text; problems go to @p findings with line and column.
 * @return 0, -EINVAL or -ENOMEM. */
int chart_init (struct chart *chart, const char *file, const char *text, size_t length,
                struct findings *findings);
void chart_finish (struct chart *chart);

/** Numbers of states and events for code that compares them; CHART_NONE when not in the chart. */
int chart_find_state (const struct chart *chart, const char *id);
int chart_find_event (const struct chart *chart, const char *name);
const char *chart_state_name (const struct chart *chart, int state);

/** An instance: its present state only. */
struct chart_instance
{
	const struct chart *chart;
	int state;
};

/** Enters the initial state and runs its entry actions. */
void chart_instance_init (struct chart_instance *instance, const struct chart *chart,
                          const struct chart_ops *ops, void *context);

/** Takes an event. @return true when a transition was taken. */
bool chart_instance_handle (struct chart_instance *instance, int event, const struct chart_ops *ops,
                            void *context);
