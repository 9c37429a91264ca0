#include "charts/chart.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	CHART_MAX_DEPTH = 8,
	CHART_MAX_RAISED = 16,     /* Queued events of <raise>; further ones are dropped. */
	CHART_MAX_MICROSTEPS = 64, /* Stops a chart whose eventless transitions form a cycle. */
};

struct chart_action
{
	char *name; /* Action of <send>; NULL for <raise>. */
	int event;  /* Event of <raise>; CHART_NONE for <send>. */
};

struct chart_location
{
	unsigned line;
	unsigned column;
};

struct chart_transition
{
	GArray *events; /* Event numbers (int); empty: an eventless transition. */
	char *condition;
	char *target_name;
	int target;
	GArray *actions;
	struct chart_location location;
};

struct chart_state
{
	char *id;
	char *initial_name;
	int initial;
	int parent;
	bool is_final;
	GArray *transitions;
	GArray *entry;
	GArray *exit;
	struct chart_location location;
};

struct chart_private
{
	GArray *states;
	GPtrArray *events;
	char *initial_name;
	int initial;
};

struct chart_parser
{
	struct chart_private *data;
	const char *file;
	const char *text;
	size_t length;
	struct findings *findings;
	int state;       /* State being parsed; CHART_NONE at the top level. */
	GArray *actions; /* List to which <raise> and <send> are added; NULL: not allowed here. */
	bool has_root;
	size_t error_count;
};

/* Appends a zeroed element. */
static void *
array_add (GArray *array)
{
	g_array_set_size (array, array->len + 1);
	return array->data + (size_t) (array->len - 1) * g_array_get_element_size (array);
}

static struct chart_state *
chart_state_at (const struct chart_private *data, int state)
{
	return &g_array_index (data->states, struct chart_state, state);
}

static void
action_clear (void *memory)
{
	g_free (((struct chart_action *) memory)->name);
}

static GArray *
actions_new (void)
{
	GArray *actions = g_array_new (FALSE, TRUE, sizeof (struct chart_action));

	g_array_set_clear_func (actions, action_clear);
	return actions;
}

static void
transition_clear (void *memory)
{
	struct chart_transition *transition = memory;

	g_array_unref (transition->events);
	g_array_unref (transition->actions);
	g_free (transition->condition);
	g_free (transition->target_name);
}

static void
state_clear (void *memory)
{
	struct chart_state *state = memory;

	g_array_unref (state->transitions);
	g_array_unref (state->entry);
	g_array_unref (state->exit);
	g_free (state->id);
	g_free (state->initial_name);
}

static int
private_find_state (const struct chart_private *data, const char *id)
{
	for (guint i = 0; i < data->states->len; i++)
		if (strcmp (chart_state_at (data, (int) i)->id, id) == 0)
			return (int) i;
	return CHART_NONE;
}

static int
private_find_event (const struct chart_private *data, const char *name)
{
	for (guint i = 0; i < data->events->len; i++)
		if (strcmp (g_ptr_array_index (data->events, i), name) == 0)
			return (int) i;
	return CHART_NONE;
}

static int
private_add_event (struct chart_private *data, const char *name)
{
	int event = private_find_event (data, name);

	if (event != CHART_NONE)
		return event;
	g_ptr_array_add (data->events, g_strdup (name));
	return (int) data->events->len - 1;
}

/* Returns the location of the current tag's "<". GMarkup reports only the end of the tag. */
static struct chart_location
parser_location (const struct chart_parser *parser, GMarkupParseContext *context)
{
	struct chart_location location = { 1, 1 };
	int line;
	int column;
	const char *end = parser->text + parser->length;
	const char *tag;
	const char *at = parser->text;

	g_markup_parse_context_get_position (context, &line, &column);
	for (int l = 1; at < end && l < line; at++)
		l += *at == '\n';
	for (int c = 1; at < end && c < column && *at != '\n'; at++)
		c += (*at & 0xc0) != 0x80;
	for (tag = at; tag > parser->text && (tag == end || *tag != '<' || tag == at); tag--)
		;
	for (at = parser->text; at < tag; at++)
	{
		location.column = *at == '\n' ? 1 : location.column + ((*at & 0xc0) != 0x80);
		location.line += *at == '\n';
	}
	return location;
}

static void __attribute__ ((format (printf, 4, 5)))
parser_error (struct chart_parser *parser, struct chart_location location, const char *subject,
              const char *format, ...)
{
	char message[256];
	va_list args;

	va_start (args, format);
	g_vsnprintf (message, sizeof message, format, args);
	va_end (args);
	findings_add (parser->findings, parser->file, location.line, location.column, subject, "%s",
	              message);
	parser->error_count++;
}

/* Returns the value of an attribute, or NULL when it is absent or empty. */
static const char *
attribute_get (const char **names, const char **values, const char *name)
{
	for (; *names; names++, values++)
		if (strcmp (*names, name) == 0)
			return **values ? *values : NULL;
	return NULL;
}

static void
parser_check_attributes (struct chart_parser *parser, struct chart_location location,
                         const char *element, const char **names, const char *allowed)
{
	for (; *names; names++)
	{
		g_auto (GStrv) list = g_strsplit (allowed, " ", -1);

		if (!g_strv_contains ((const char *const *) list, *names))
			parser_error (parser, location, element, "unknown attribute \"%s\"", *names);
	}
}

static const char *
parser_require (struct chart_parser *parser, struct chart_location location, const char *element,
                const char **names, const char **values, const char *name)
{
	const char *value = attribute_get (names, values, name);

	if (!value)
		parser_error (parser, location, element, "attribute \"%s\" is missing", name);
	return value;
}

static void
parse_root (struct chart_parser *parser, struct chart_location location, const char **names,
            const char **values)
{
	parser_check_attributes (parser, location, "scxml", names,
	                         "initial xmlns version name datamodel");
	if (parser->has_root)
		parser_error (parser, location, "scxml", "is allowed only as the outermost element");
	parser->has_root = true;
	g_free (parser->data->initial_name);
	parser->data->initial_name = g_strdup (attribute_get (names, values, "initial"));
}

static void
parse_state (struct chart_parser *parser, struct chart_location location, const char *element,
             const char **names, const char **values)
{
	bool is_final = strcmp (element, "final") == 0;
	struct chart_state *state;
	const char *id = parser_require (parser, location, element, names, values, "id");
	int depth = 0;

	parser_check_attributes (parser, location, element, names, is_final ? "id" : "id initial");
	if (id && private_find_state (parser->data, id) != CHART_NONE)
		parser_error (parser, location, id, "a state of this id exists already");
	if (parser->actions)
		parser_error (parser, location, element, "is not allowed here");
	for (int at = parser->state; at != CHART_NONE; at = chart_state_at (parser->data, at)->parent)
		depth++;
	if (depth >= CHART_MAX_DEPTH)
		parser_error (parser, location, element, "states are nested deeper than %d",
		              CHART_MAX_DEPTH);
	if (parser->state != CHART_NONE && chart_state_at (parser->data, parser->state)->is_final)
		parser_error (parser, location, element, "is not allowed in a final state");
	state = array_add (parser->data->states);
	state->id = g_strdup (id ? id : "");
	state->initial_name = g_strdup (attribute_get (names, values, "initial"));
	state->initial = CHART_NONE;
	state->parent = parser->state;
	state->is_final = is_final;
	state->location = location;
	state->transitions = g_array_new (FALSE, TRUE, sizeof (struct chart_transition));
	g_array_set_clear_func (state->transitions, transition_clear);
	state->entry = actions_new ();
	state->exit = actions_new ();
	parser->state = (int) parser->data->states->len - 1;
}

static void
parse_transition (struct chart_parser *parser, struct chart_location location, const char **names,
                  const char **values)
{
	struct chart_transition *transition;
	const char *events = attribute_get (names, values, "event");
	g_auto (GStrv) list = g_strsplit (events ? events : "", " ", -1);

	parser_check_attributes (parser, location, "transition", names, "event target cond");
	if (parser->state == CHART_NONE || parser->actions)
	{
		parser_error (parser, location, "transition", "is not allowed here");
		return;
	}
	if (chart_state_at (parser->data, parser->state)->is_final)
		parser_error (parser, location, "transition", "is not allowed in a final state");
	transition = array_add (chart_state_at (parser->data, parser->state)->transitions);
	transition->target = CHART_NONE;
	transition->location = location;
	transition->events = g_array_new (FALSE, TRUE, sizeof (int));
	transition->actions = actions_new ();
	transition->condition = g_strdup (attribute_get (names, values, "cond"));
	transition->target_name = g_strdup (attribute_get (names, values, "target"));
	for (char **name = list; *name; name++)
	{
		int event;

		if (!**name)
			continue;
		event = private_add_event (parser->data, *name);
		g_array_append_val (transition->events, event);
	}
	if (transition->events->len == 0 && !transition->target_name)
		parser_error (parser, location, "transition", "needs an event or a target");
	parser->actions = transition->actions;
}

static void
parse_action (struct chart_parser *parser, struct chart_location location, const char *element,
              const char **names, const char **values)
{
	const char *event = parser_require (parser, location, element, names, values, "event");
	struct chart_action *action;

	parser_check_attributes (parser, location, element, names, "event");
	if (!parser->actions)
		parser_error (parser, location, element,
		              "is allowed only in a transition, onentry or onexit");
	if (!parser->actions || !event)
		return;
	action = array_add (parser->actions);
	action->event = CHART_NONE;
	if (strcmp (element, "raise") == 0)
		action->event = private_add_event (parser->data, event);
	else
		action->name = g_strdup (event);
}

static void
parse_entry_or_exit (struct chart_parser *parser, struct chart_location location,
                     const char *element, const char **names)
{
	struct chart_state *state;

	parser_check_attributes (parser, location, element, names, "");
	if (parser->state == CHART_NONE || parser->actions)
	{
		parser_error (parser, location, element, "is allowed only in a state");
		return;
	}
	state = chart_state_at (parser->data, parser->state);
	parser->actions = strcmp (element, "onentry") == 0 ? state->entry : state->exit;
}

static void
handle_start (GMarkupParseContext *context, const char *element, const char **names,
              const char **values, void *user_data, GError **error)
{
	struct chart_parser *parser = user_data;
	struct chart_location location = parser_location (parser, context);

	if (!parser->has_root && strcmp (element, "scxml") != 0)
		parser_error (parser, location, element, "the outermost element must be scxml");
	if (strcmp (element, "scxml") == 0)
		parse_root (parser, location, names, values);
	else if (strcmp (element, "state") == 0 || strcmp (element, "final") == 0)
		parse_state (parser, location, element, names, values);
	else if (strcmp (element, "transition") == 0)
		parse_transition (parser, location, names, values);
	else if (strcmp (element, "raise") == 0 || strcmp (element, "send") == 0)
		parse_action (parser, location, element, names, values);
	else if (strcmp (element, "onentry") == 0 || strcmp (element, "onexit") == 0)
		parse_entry_or_exit (parser, location, element, names);
	else
		parser_error (parser, location, element, "unknown element");
}

static void
handle_end (GMarkupParseContext *context, const char *element, void *user_data, GError **error)
{
	struct chart_parser *parser = user_data;

	if (strcmp (element, "state") == 0 || strcmp (element, "final") == 0)
		parser->state = chart_state_at (parser->data, parser->state)->parent;
	if (strcmp (element, "transition") == 0 || strcmp (element, "onentry") == 0 ||
	    strcmp (element, "onexit") == 0)
		parser->actions = NULL;
}

static bool
state_is_inside (const struct chart_private *data, int state, int ancestor)
{
	while (state != CHART_NONE && state != ancestor)
		state = chart_state_at (data, state)->parent;
	return state == ancestor;
}

static void
parser_resolve_state (struct chart_parser *parser, int at)
{
	struct chart_private *data = parser->data;
	struct chart_state *state = chart_state_at (data, at);
	int first_child = CHART_NONE;

	for (int i = (int) data->states->len - 1; i > at; i--)
		if (chart_state_at (data, i)->parent == at)
			first_child = i;
	state->initial = first_child;
	if (state->initial_name)
	{
		state->initial = private_find_state (data, state->initial_name);
		if (state->initial == CHART_NONE || state->initial == at ||
		    !state_is_inside (data, state->initial, at))
			parser_error (parser, state->location, state->id,
			              "initial state \"%s\" is not inside this state", state->initial_name);
	}
	for (guint i = 0; i < state->transitions->len; i++)
	{
		struct chart_transition *transition =
			&g_array_index (state->transitions, struct chart_transition, i);

		if (!transition->target_name)
			continue;
		transition->target = private_find_state (data, transition->target_name);
		if (transition->target == CHART_NONE)
			parser_error (parser, transition->location, state->id, "target \"%s\" does not exist",
			              transition->target_name);
	}
}

/* Marks a state as reachable, with its ancestors, its initial states and the targets of all their
 * transitions. */
static void
mark_reached (const struct chart_private *data, int state, bool *is_reached)
{
	if (state == CHART_NONE || is_reached[state])
		return;
	is_reached[state] = true;
	mark_reached (data, chart_state_at (data, state)->parent, is_reached);
	mark_reached (data, chart_state_at (data, state)->initial, is_reached);
	for (guint i = 0; i < chart_state_at (data, state)->transitions->len; i++)
		mark_reached (
			data,
			g_array_index (chart_state_at (data, state)->transitions, struct chart_transition, i)
				.target,
			is_reached);
}

static void
parser_resolve (struct chart_parser *parser)
{
	struct chart_private *data = parser->data;
	bool *is_reached;

	if (data->states->len == 0)
	{
		parser_error (parser, (struct chart_location){ 1, 1 }, "scxml", "has no state");
		return;
	}
	for (guint i = 0; i < data->states->len; i++)
		parser_resolve_state (parser, (int) i);
	data->initial = data->initial_name ? private_find_state (data, data->initial_name) : 0;
	if (data->initial == CHART_NONE)
		parser_error (parser, (struct chart_location){ 1, 1 }, "scxml",
		              "initial state \"%s\" does not exist", data->initial_name);
	if (parser->error_count)
		return;
	is_reached = g_new0 (bool, data->states->len);
	mark_reached (data, data->initial, is_reached);
	for (guint i = 0; i < data->states->len; i++)
		if (!is_reached[i])
			parser_error (parser, chart_state_at (data, (int) i)->location,
			              chart_state_at (data, (int) i)->id, "no transition leads to this state");
	g_free (is_reached);
}

int
chart_init (struct chart *chart, const char *file, const char *text, size_t length,
            struct findings *findings)
{
	static const GMarkupParser callbacks = { .start_element = handle_start,
		                                     .end_element = handle_end };
	struct chart_parser parser = {
		.file = file,
		.text = text,
		.length = length,
		.findings = findings,
		.state = CHART_NONE,
	};
	GMarkupParseContext *context = g_markup_parse_context_new (&callbacks, 0, &parser, NULL);
	g_autoptr (GError) error = NULL;

	chart->data = parser.data = g_new0 (struct chart_private, 1);
	parser.data->states = g_array_new (FALSE, TRUE, sizeof (struct chart_state));
	g_array_set_clear_func (parser.data->states, state_clear);
	parser.data->events = g_ptr_array_new_with_free_func (g_free);
	if (!g_markup_parse_context_parse (context, text, (gssize) length, &error) ||
	    !g_markup_parse_context_end_parse (context, &error))
	{
		struct chart_location location;
		int line;
		int column;

		g_markup_parse_context_get_position (context, &line, &column);
		location = (struct chart_location){ (unsigned) line, (unsigned) column };
		parser_error (&parser, location, "", "%s", error->message);
	}
	g_markup_parse_context_free (context);
	if (parser.error_count == 0)
		parser_resolve (&parser);
	if (parser.error_count == 0)
		return 0;
	chart_finish (chart);
	return -EINVAL;
}

void
chart_finish (struct chart *chart)
{
	if (!chart->data)
		return;
	g_array_unref (chart->data->states);
	g_ptr_array_unref (chart->data->events);
	g_free (chart->data->initial_name);
	g_free (chart->data);
	chart->data = NULL;
}

int
chart_find_state (const struct chart *chart, const char *id)
{
	return private_find_state (chart->data, id);
}

int
chart_find_event (const struct chart *chart, const char *name)
{
	return private_find_event (chart->data, name);
}

const char *
chart_state_name (const struct chart *chart, int state)
{
	if (state < 0 || (guint) state >= chart->data->states->len)
		return "";
	return chart_state_at (chart->data, state)->id;
}

/* Handling of one event, with the queue of the events that its actions raise. */
struct chart_step
{
	struct chart_instance *instance;
	const struct chart_private *data;
	const struct chart_ops *ops;
	void *context;
	int raised[CHART_MAX_RAISED];
	unsigned first;
	unsigned count;
};

static void
step_run_actions (struct chart_step *step, const GArray *actions)
{
	for (guint i = 0; i < actions->len; i++)
	{
		const struct chart_action *action = &g_array_index (actions, struct chart_action, i);

		if (action->name)
			step->ops->handle_action (step->context, action->name);
		else if (step->count < CHART_MAX_RAISED)
			step->raised[(step->first + step->count++) % CHART_MAX_RAISED] = action->event;
	}
}

/* Enters the states below @p ancestor down to @p target, and then the initial states of @p target,
 * outermost first. */
static void
step_enter (struct chart_step *step, int target, int ancestor)
{
	int path[CHART_MAX_DEPTH + 1];
	int length = 0;

	while (target != CHART_NONE)
	{
		for (int at = target; at != ancestor && length <= CHART_MAX_DEPTH;
		     at = chart_state_at (step->data, at)->parent)
			path[length++] = at;
		while (length > 0)
			step_run_actions (step, chart_state_at (step->data, path[--length])->entry);
		step->instance->state = target;
		ancestor = target;
		target = chart_state_at (step->data, target)->initial;
	}
}

static void
step_take_transition (struct chart_step *step, const struct chart_transition *transition,
                      int source)
{
	/* The innermost state that contains source and target, and so is neither exited nor entered. */
	int ancestor = chart_state_at (step->data, source)->parent;

	if (transition->target == CHART_NONE)
	{
		step_run_actions (step, transition->actions);
		return;
	}
	while (ancestor != CHART_NONE && (transition->target == ancestor ||
	                                  !state_is_inside (step->data, transition->target, ancestor)))
		ancestor = chart_state_at (step->data, ancestor)->parent;
	for (int at = step->instance->state; at != ancestor;
	     at = chart_state_at (step->data, at)->parent)
		step_run_actions (step, chart_state_at (step->data, at)->exit);
	step_run_actions (step, transition->actions);
	step_enter (step, transition->target, ancestor);
}

static bool
transition_has_event (const struct chart_transition *transition, int event)
{
	if (event == CHART_NONE)
		return transition->events->len == 0;
	for (guint i = 0; i < transition->events->len; i++)
		if (g_array_index (transition->events, int, i) == event)
			return true;
	return false;
}

/* Takes the first enabled transition for @p event (CHART_NONE: an eventless one), searching from
 * the innermost state outwards. Returns false when there is none. */
static bool
step_handle_event (struct chart_step *step, int event)
{
	for (int at = step->instance->state; at != CHART_NONE;
	     at = chart_state_at (step->data, at)->parent)
	{
		const GArray *transitions = chart_state_at (step->data, at)->transitions;

		for (guint i = 0; i < transitions->len; i++)
		{
			const struct chart_transition *transition =
				&g_array_index (transitions, struct chart_transition, i);

			if (!transition_has_event (transition, event))
				continue;
			if (transition->condition && !step->ops->is_true (step->context, transition->condition))
				continue;
			step_take_transition (step, transition, at);
			return true;
		}
	}
	return false;
}

static void
step_run_to_completion (struct chart_step *step)
{
	for (int i = 0; i < CHART_MAX_MICROSTEPS; i++)
	{
		int event;

		if (step_handle_event (step, CHART_NONE))
			continue;
		if (step->count == 0)
			return;
		event = step->raised[step->first];
		step->first = (step->first + 1) % CHART_MAX_RAISED;
		step->count--;
		step_handle_event (step, event);
	}
}

void
chart_instance_init (struct chart_instance *instance, const struct chart *chart,
                     const struct chart_ops *ops, void *context)
{
	struct chart_step step = { instance, chart->data, ops, context, { 0 }, 0, 0 };

	instance->chart = chart;
	instance->state = CHART_NONE;
	step_enter (&step, chart->data->initial, CHART_NONE);
	step_run_to_completion (&step);
}

bool
chart_instance_handle (struct chart_instance *instance, int event, const struct chart_ops *ops,
                       void *context)
{
	struct chart_step step = { instance, instance->chart->data, ops, context, { 0 }, 0, 0 };

	if (event == CHART_NONE || !step_handle_event (&step, event))
		return false;
	step_run_to_completion (&step);
	return true;
}
