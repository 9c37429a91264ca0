#include "common/clock.h"
#include "common/json_text.h"
#include "common/log.h"
#include "flamingospring/control_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <string.h>

/* The platform's VM list has one key per VM, platform/vms/NAME, with a JSON value
 * {"address": "IP:PORT", "state": "live" or "leaving"}. The address is that of the server for an
 * upstream, and the control address for an entry VM. */
static const char vms_prefix[] = "platform/vms/";

enum
{
	VMS_RETRY_US = 2000000,
	VMS_RETRY_JITTER_US = 2000000,
};

struct vm_list_entry
{
	uint32_t ip;
	uint16_t port;
	bool is_leaving;
};

static const char *
get_text (JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member (object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string (node);
}

static bool
address_parse (const char *text, struct vm_list_entry *entry)
{
	char **parts = g_strsplit (text, ":", 2);
	struct in_addr ip;
	guint64 port;
	bool is_valid = parts[0] && parts[1] && inet_pton (AF_INET, parts[0], &ip) == 1 &&
	                g_ascii_string_to_unsigned (parts[1], 10, 1, UINT16_MAX, &port, NULL);

	if (is_valid)
	{
		entry->ip = ntohl (ip.s_addr);
		entry->port = (uint16_t) port;
	}
	g_strfreev (parts);
	return is_valid;
}

static bool
entry_parse (const char *value, struct vm_list_entry *entry)
{
	JsonParser *parser = json_parser_new ();
	JsonObject *object = json_load_object (parser, value, strlen (value));
	const char *address;
	const char *state;
	bool is_valid = false;

	if (!object)
		goto out;
	address = get_text (object, "address");
	state = get_text (object, "state");
	if (!address || !state || !address_parse (address, entry))
		goto out;
	entry->is_leaving = strcmp (state, "leaving") == 0;
	is_valid = true;

out:
	g_object_unref (parser);
	return is_valid;
}

/** Sets or clears the leaving mark of the server at this address. The platform's marks and the
 * operators' marks have different keys, since the versions of the platform's marks are revisions
 * and those of the operators' marks are times. */
static void
mark_server (struct control *control, const struct vm_list_entry *entry, uint64_t revision)
{
	for (size_t i = 0; i < control->document_count; i++)
	{
		const struct snapshot_service *service = control->documents[i].adopted;

		for (size_t d = 0; service && d < service->schema.database_count; d++)
		{
			const struct schema_database *database = &service->schema.databases[d];

			for (uint32_t s = 0; s < database->server_count; s++)
			{
				struct membership_item item = { .type = ITEM_LEAVING };

				if (database->servers[s].ip != entry->ip ||
				    database->servers[s].port != entry->port)
					continue;
				g_snprintf (item.key, sizeof item.key, "@%.40s/%u", database->name, s);
				item.version = revision;
				item.value = entry->is_leaving;
				control_merge_item (control, &item);
			}
		}
	}
}

static void
handle_entry (struct control *control, const struct platform_pair *pair)
{
	struct vm_list_entry entry;

	if (pair->is_deleted)
		return;
	if (!entry_parse (pair->value, &entry))
	{
		log_event (LOG_LEVEL_WARN, "vm_entry_malformed", "key=%s", log_text (pair->key));
		return;
	}
	mark_server (control, &entry, pair->revision);
}

static void
retry_later (struct control *control)
{
	loop_set_timer (&control->loop, &control->vms_timer,
	                clock_now_us () + VMS_RETRY_US + g_random_int_range (0, VMS_RETRY_JITTER_US));
}

static void
apply_entries (struct control *control, const struct platform_answer *answer)
{
	for (size_t i = 0; i < answer->count; i++)
		handle_entry (control, &answer->pairs[i]);
	control->vms_revision = MAX (control->vms_revision, answer->revision);
	control_gossip_pump (control);
}

static void
handle_watched (void *data, const struct platform_answer *answer)
{
	struct control *control = data;

	if (answer->error < 0)
		retry_later (control);
	else
		apply_entries (control, answer);
}

static void
handle_listed (void *data, const struct platform_answer *answer)
{
	struct control *control = data;

	if (answer->error < 0)
	{
		retry_later (control);
		return;
	}
	apply_entries (control, answer);
	if (control->is_watching_vms &&
	    control->platform.ops->watch (&control->platform, vms_prefix, control->vms_revision + 1, 0,
	                                  handle_watched, control) < 0)
		retry_later (control);
}

/** Lists all entries before watching, which includes the changes that a broken watch missed. */
static void
handle_vms_timer (struct loop_timer *timer, int64_t now_us)
{
	struct control *control = timer->data;

	(void) now_us;
	if (!control->is_watching_vms)
		return;
	if (control->platform.ops->range (&control->platform, vms_prefix, 0, handle_listed, control) <
	    0)
		retry_later (control);
}

void
control_vms_set_watcher (struct control *control, bool is_watcher)
{
	control->is_watching_vms = is_watcher;
	if (is_watcher)
		loop_set_timer (&control->loop, &control->vms_timer, clock_now_us ());
	else
		control->platform.ops->unwatch (&control->platform, vms_prefix);
}

int
control_vms_init (struct control *control)
{
	control->vms_timer.handle_timer = handle_vms_timer;
	control->vms_timer.data = control;
	return 0;
}

void
control_vms_finish (struct control *control)
{
	loop_cancel_timer (&control->loop, &control->vms_timer);
}
