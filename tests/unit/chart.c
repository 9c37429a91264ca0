#include "charts/chart.h"
#include "charts/embedded.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* Guards against a chart that is invalid, or embedded under a wrong name. */
static void
test_embedded (void)
{
	static const char *const names[] = { "configuration", "drain", "failover", "member",
		                                 "upstream" };

	for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
	{
		g_autofree char *path = g_strdup_printf ("%s/%s.scxml", g_getenv ("CHARTS"), names[i]);
		g_autofree char *text = NULL;
		struct findings findings;
		struct chart chart;
		gsize length;

		g_assert_true (g_file_get_contents (path, &text, &length, NULL));
		findings_init (&findings);
		g_assert_cmpint (chart_init (&chart, path, text, length, &findings), ==, 0);
		g_assert_cmpuint (findings.count, ==, 0);
		/* An embedded chart that is older than its file has different states. */
		for (int state = 0; *chart_state_name (&chart, state); state++)
			g_assert_cmpstr (chart_state_name (&chart, state), ==,
			                 chart_state_name (chart_embedded (names[i]), state));
		chart_finish (&chart);
		findings_finish (&findings);
	}
}

struct finding_case
{
	const char *name;
	const char *text;
	unsigned line;
	unsigned column;
	const char *message;
};

/* Guards against errors in a chart that are not reported, or reported at the wrong position. */
static const struct finding_case finding_cases[] = {
	{ "not well formed", "<scxml>\n<state id='a'>\n</scxml>", 3, 0, NULL },
	{ "wrong root", "<chart/>", 1, 1, "the outermost element must be scxml" },
	{ "no state", "<scxml/>", 1, 1, "has no state" },
	{ "unknown element", "<scxml>\n  <state id='a'/>\n  <parallel id='b'/></scxml>", 3, 3,
	  "unknown element" },
	{ "unknown attribute", "<scxml>\n<state id='a' colour='b'/></scxml>", 2, 1,
	  "unknown attribute \"colour\"" },
	{ "no id", "<scxml>\n\n <state/></scxml>", 3, 2, "attribute \"id\" is missing" },
	{ "id twice", "<scxml><state id='a'/>\n<state id='a'/></scxml>", 2, 1,
	  "a state of this id exists already" },
	{ "unknown target",
	  "<scxml><state id='a'>\n    <transition event='e'\n target='b'/></state></scxml>", 2, 5,
	  "target \"b\" does not exist" },
	{ "unknown initial", "<scxml initial='b'><state id='a'/></scxml>", 1, 1,
	  "initial state \"b\" does not exist" },
	{ "initial outside", "<scxml><state id='a' initial='b'/>\n<state id='b'/></scxml>", 1, 8,
	  "initial state \"b\" is not inside this state" },
	{ "never entered", "<scxml><state id='a'/>\n<state id='b'/></scxml>", 2, 1,
	  "no transition leads to this state" },
	{ "final with transition",
	  "<scxml><final id='a'>\n<transition event='e' target='a'/></final></scxml>", 2, 1,
	  "is not allowed in a final state" },
	{ "action outside", "<scxml><state id='a'>\n<send event='x'/></state></scxml>", 2, 1,
	  "is allowed only in a transition, onentry or onexit" },
	{ "empty transition", "<scxml><state id='a'>\n<transition/></state></scxml>", 2, 1,
	  "needs an event or a target" },
};

static void
test_findings (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (finding_cases); i++)
	{
		const struct finding_case *item = &finding_cases[i];
		struct findings findings;
		struct chart chart;

		findings_init (&findings);
		g_test_message ("%s", item->name);
		g_assert_cmpint (chart_init (&chart, "x.scxml", item->text, strlen (item->text), &findings),
		                 ==, -EINVAL);
		g_assert_cmpuint (findings.count, >=, 1);
		g_assert_cmpstr (findings.items[0].source, ==, "x.scxml");
		g_assert_cmpuint (findings.items[0].line, ==, item->line);
		if (item->column)
			g_assert_cmpuint (findings.items[0].column, ==, item->column);
		if (item->message)
			g_assert_cmpstr (findings.items[0].message, ==, item->message);
		findings_finish (&findings);
	}
}

static const char nested_text[] =
	"<scxml initial='off'>"
	"<state id='off'><onexit><send event='leave_off'/></onexit>"
	"  <transition event='start' target='on'><send event='go'/></transition></state>"
	"<state id='on' initial='slow'><onentry><send event='enter_on'/></onentry>"
	"  <onexit><send event='leave_on'/></onexit>"
	"  <transition event='stop' target='off'/>"
	"  <state id='slow'><onentry><send event='enter_slow'/></onentry>"
	"    <transition event='faster' cond='may' target='fast'/>"
	"    <transition event='note'><send event='noted'/></transition>"
	"    <transition event='chain'><raise event='faster'/></transition></state>"
	"  <state id='fast'><onexit><send event='leave_fast'/></onexit>"
	"    <transition cond='tired' target='slow'/></state>"
	"</state></scxml>";

struct recorder
{
	GString *actions;
	bool may;
	bool is_tired;
};

static void
handle_action (void *context, const char *name)
{
	struct recorder *recorder = context;

	g_string_append_printf (recorder->actions, "%s ", name);
}

static bool
handle_condition (void *context, const char *name)
{
	struct recorder *recorder = context;

	return strcmp (name, "may") == 0 ? recorder->may : recorder->is_tired;
}

static const struct chart_ops recorder_ops = { handle_action, handle_condition };

struct step_case
{
	const char *event;
	bool may;
	bool is_tired;
	bool is_taken;
	const char *state;
	const char *actions;
};

/* Guards against exit, transition and entry actions in the wrong order, and against selecting the wrong
 * transition. */
static const struct step_case step_cases[] = {
	{ "stop", false, false, false, "off", "" },
	{ "start", false, false, true, "slow", "leave_off go enter_on enter_slow " },
	{ "faster", false, false, false, "slow", "" },
	{ "note", false, false, true, "slow", "noted " },
	{ "faster", true, false, true, "fast", "" },
	{ "stop", true, false, true, "off", "leave_fast leave_on " },
	{ "start", true, false, true, "slow", "leave_off go enter_on enter_slow " },
	{ "chain", true, true, true, "slow", "leave_fast enter_slow " },
};

static void
test_steps (void)
{
	struct recorder recorder = { .actions = g_string_new ("") };
	struct chart_instance instance;
	struct findings findings;
	struct chart chart;

	findings_init (&findings);
	g_assert_cmpint (chart_init (&chart, "x", nested_text, strlen (nested_text), &findings), ==, 0);
	chart_instance_init (&instance, &chart, &recorder_ops, &recorder);
	for (size_t i = 0; i < G_N_ELEMENTS (step_cases); i++)
	{
		const struct step_case *item = &step_cases[i];

		g_string_truncate (recorder.actions, 0);
		recorder.may = item->may;
		recorder.is_tired = item->is_tired;
		g_assert_true (chart_instance_handle (&instance, chart_find_event (&chart, item->event),
		                                      &recorder_ops, &recorder) == item->is_taken);
		g_assert_cmpstr (chart_state_name (&chart, instance.state), ==, item->state);
		g_assert_cmpstr (recorder.actions->str, ==, item->actions);
	}
	g_assert_false (chart_instance_handle (&instance, chart_find_event (&chart, "unknown"),
	                                       &recorder_ops, &recorder));
	chart_finish (&chart);
	g_string_free (recorder.actions, TRUE);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/chart/embedded", test_embedded);
	g_test_add_func ("/chart/findings", test_findings);
	g_test_add_func ("/chart/steps", test_steps);
	return g_test_run ();
}
