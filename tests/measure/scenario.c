#include "scenario.h"

#include "schema/yaml_reader.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

struct field
{
	const char *key;
	size_t offset;
	uint32_t min, max;
};

#define FIELD(name, min, max)                                                                      \
	{                                                                                              \
#name, G_STRUCT_OFFSET(struct scenario, name), min, max                                    \
	}
#define WORK_FIELD(name, min, max)                                                                 \
	{                                                                                              \
#name, G_STRUCT_OFFSET(struct work, name), min, max                                        \
	}

static const struct field scenario_fields[] = {
	FIELD (zones, 1, 4),
	FIELD (zone_delay_us, 0, 100000),
	FIELD (caller_delay_us, 0, 100000),
	FIELD (vms, 3, SCENARIO_MAX_VMS),
	FIELD (databases, 1, SCENARIO_MAX_DATABASES),
	FIELD (servers, SCENARIO_MAX_SERVERS, SCENARIO_MAX_SERVERS),
	FIELD (slots, 1, 16),
	FIELD (connections, 1, 1000),
	FIELD (lag_us, 0, 10000000),
	FIELD (sessions, 1, 100000),
	FIELD (tenants, 1, 32),
	FIELD (queue_limit, 1, 10000),
	FIELD (flood_low, 1, 100),
	FIELD (flood_urgent, 1, 100),
};

static const struct field work_fields[] = {
	WORK_FIELD (per_s, 1, 10000),      WORK_FIELD (run_us, 1, 10000000),
	WORK_FIELD (target_ms, 1, 100000), WORK_FIELD (timeout_ms, 1, 100000),
	WORK_FIELD (max_age_ms, 0, 60000),
};

static void
load_fields (struct yaml_reader *reader, const yaml_node_t *node, void *memory,
             const struct field *fields, size_t count)
{
	for (size_t i = 0; i < count; i++)
		*(uint32_t *) ((char *) memory + fields[i].offset) =
			yaml_reader_number (reader, node, fields[i].key, fields[i].key, fields[i].min,
		                        fields[i].max, 0, fields[i].min > 0);
}

static void
load_work (struct yaml_reader *reader, const yaml_node_t *sequence, struct scenario *scenario)
{
	static const char *const ranks[] = { "urgent", "normal", "low", NULL };
	static const char *const kinds[] = { "read", "primary_read", "write", NULL };
	size_t count = yaml_reader_sequence (reader, sequence, "work");

	if (count > SCENARIO_MAX_WORK)
		yaml_reader_report (reader, sequence, "work", "more than %d items", SCENARIO_MAX_WORK);
	scenario->work_count = (uint32_t) MIN (count, SCENARIO_MAX_WORK);
	for (uint32_t i = 0; i < scenario->work_count; i++)
	{
		const yaml_node_t *node = yaml_reader_item (reader, sequence, i);
		struct work *work = &scenario->work[i];

		work->rank = (enum rank) yaml_reader_choice (reader, node, "rank", "rank", ranks, 0);
		work->kind = (enum work_kind) yaml_reader_choice (reader, node, "kind", "kind", kinds, 0);
		load_fields (reader, node, work, work_fields, G_N_ELEMENTS (work_fields));
	}
}

int
scenario_load (struct scenario *scenario, const char *path)
{
	struct findings findings;
	struct yaml_reader reader = { 0 };
	g_autofree char *text = NULL;
	gsize length = 0;
	int result = -EINVAL;

	memset (scenario, 0, sizeof *scenario);
	findings_init (&findings);
	if (!g_file_get_contents (path, &text, &length, NULL))
		findings_add (&findings, path, 0, 0, "", "cannot be read");
	else if (yaml_reader_init (&reader, path, text, length, &findings) == 0)
	{
		const yaml_node_t *root = yaml_reader_root (&reader);
		const yaml_node_t *floors = yaml_reader_find (&reader, root, "floors");
		const yaml_node_t *work = yaml_reader_find (&reader, root, "work");

		yaml_reader_name (&reader, root, "name", "name", scenario->name, sizeof scenario->name);
		load_fields (&reader, root, scenario, scenario_fields, G_N_ELEMENTS (scenario_fields));
		for (int rank = 0; floors && rank < RANK_COUNT; rank++)
			scenario->floor_percent[rank] = yaml_reader_number (
				&reader, floors, rank_name ((enum rank) rank), "floors", 0, 50, 0, false);
		if (work)
			load_work (&reader, work, scenario);
		else
			yaml_reader_report (&reader, root, "work", "is missing");
	}
	yaml_reader_finish (&reader);
	findings_print (&findings, stderr);
	if (findings.count == 0)
		result = 0;
	findings_finish (&findings);
	return result;
}
