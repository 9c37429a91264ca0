#include "charts/embedded.h"

#include "resources.h"

#include <stdlib.h>
#include <string.h>

static const char *const chart_names[] = { "configuration", "drain", "failover", "member",
	                                       "upstream" };

static struct chart charts[G_N_ELEMENTS (chart_names)];

static void
chart_load (const char *name, struct chart *chart)
{
	g_autofree char *file = g_strdup_printf ("/flamingospring/charts/%s.scxml", name);
	g_autoptr (GBytes) bytes = NULL;
	struct findings findings;
	size_t length;
	const char *text;

	bytes = g_resource_lookup_data (charts_get_resource (), file, 0, NULL);
	if (!bytes)
		g_error ("chart %s is not embedded", name);
	text = g_bytes_get_data (bytes, &length);
	findings_init (&findings);
	if (chart_init (chart, file, text, length, &findings) < 0)
	{
		findings_print (&findings, stderr);
		g_error ("chart %s has %zu findings", name, findings.count);
	}
	findings_finish (&findings);
}

const struct chart *
chart_embedded (const char *name)
{
	static gsize is_loaded;

	if (g_once_init_enter (&is_loaded))
	{
		charts_register_resource ();
		for (size_t i = 0; i < G_N_ELEMENTS (chart_names); i++)
			chart_load (chart_names[i], &charts[i]);
		g_once_init_leave (&is_loaded, 1);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (chart_names); i++)
		if (strcmp (chart_names[i], name) == 0)
			return &charts[i];
	g_error ("chart %s does not exist", name);
	return NULL;
}
