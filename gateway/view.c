#include "gateway/view.h"

static void
lead_clear (void *data)
{
	struct lead *lead = data;

	g_free (lead->service);
	g_free (lead->primary);
}

static void
entry_clear (void *data)
{
	server_entry_clear (data);
}

static void
member_clear (void *data)
{
	struct view_member *member = data;

	g_free (member->vm);
	g_free (member->zone);
}

struct view *
view_new (void)
{
	struct view *view = g_new0 (struct view, 1);

	view->leads = g_array_new (FALSE, TRUE, sizeof (struct lead));
	g_array_set_clear_func (view->leads, lead_clear);
	view->servers = g_array_new (FALSE, TRUE, sizeof (struct server_entry));
	g_array_set_clear_func (view->servers, entry_clear);
	view->members = g_array_new (FALSE, TRUE, sizeof (struct view_member));
	g_array_set_clear_func (view->members, member_clear);
	return view;
}

void
view_free (struct view *view)
{
	if (!view)
		return;
	configuration_release (view->configuration);
	g_array_free (view->leads, TRUE);
	g_array_free (view->servers, TRUE);
	g_array_free (view->members, TRUE);
	g_free (view);
}
