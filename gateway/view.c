#include "gateway/view.h"

static void
primary_record_clear (void *data)
{
	struct primary_record *primary_record = data;

	g_free (primary_record->service);
	g_free (primary_record->primary);
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

	view->records = g_array_new (FALSE, TRUE, sizeof (struct primary_record));
	g_array_set_clear_func (view->records, primary_record_clear);
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
	g_array_free (view->records, TRUE);
	g_array_free (view->servers, TRUE);
	g_array_free (view->members, TRUE);
	g_free (view);
}
