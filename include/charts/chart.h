/**
 * @file
 * Interpreter of state charts in a subset of SCXML.
 *
 * The elements are <scxml initial>, <state id initial>, which may be nested, <final id>,
 * <transition event target cond>, <onentry> and <onexit>. The last three contain <raise event>,
 * which queues an internal event, and <send event>, which names an action.
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

/** A parsed chart, which all its instances share. It does not change after chart_init(). */
struct chart
{
	struct chart_private *data;
};

/** Callbacks of an instance, called with the context given to chart_instance_init() or
 * chart_instance_handle(). */
struct chart_ops
{
	/** Runs the action @p name, the event of a <send>. */
	void (*handle_action) (void *context, const char *name);
	/** Evaluates the condition @p name, the cond of a transition. */
	bool (*is_true) (void *context, const char *name);
};

/** Parses @p text and adds each error to @p findings, with its line and column in @p file.
 * @return 0, or -EINVAL when there are errors. */
int chart_init (struct chart *chart, const char *file, const char *text, size_t length,
                struct findings *findings);
void chart_finish (struct chart *chart);

/** Returns the number of a state, or CHART_NONE when the chart does not contain it. */
int chart_find_state (const struct chart *chart, const char *id);
/** Returns the number of an event, or CHART_NONE when the chart does not contain it. */
int chart_find_event (const struct chart *chart, const char *name);
/** Returns the id of a state, or "" for an unknown number. */
const char *chart_state_name (const struct chart *chart, int state);

/** A running instance of a chart. */
struct chart_instance
{
	const struct chart *chart;
	int state; /**< Number of the innermost state that is active. */
};

/** Enters the initial state and runs its entry actions. */
void chart_instance_init (struct chart_instance *instance, const struct chart *chart,
                          const struct chart_ops *ops, void *context);

/** Handles an event, and the internal events that its actions raise. @return true when @p event
 * caused a transition. */
bool chart_instance_handle (struct chart_instance *instance, int event, const struct chart_ops *ops,
                            void *context);
