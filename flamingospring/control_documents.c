#include "common/clock.h"
#include "common/counters.h"
#include "common/json_text.h"
#include "common/log.h"
#include "decision/ownership.h"
#include "flamingospring/control_private.h"

#include <errno.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

static const char documents_prefix[] = "flamingospring/services/";

char *
control_document_value (const char *operation_id, const char *author, const char *text,
                        bool is_deleted)
{
	JsonBuilder *builder = json_builder_new ();
	JsonNode *root;
	char *value;

	json_builder_begin_object (builder);
	json_builder_set_member_name (builder, "operation_id");
	json_builder_add_string_value (builder, operation_id);
	json_builder_set_member_name (builder, "author");
	json_builder_add_string_value (builder, author);
	json_builder_set_member_name (builder, "deleted");
	json_builder_add_boolean_value (builder, is_deleted);
	json_builder_set_member_name (builder, "text");
	json_builder_add_string_value (builder, text);
	json_builder_end_object (builder);
	root = json_builder_get_root (builder);
	value = json_to_string (root, FALSE);
	json_node_unref (root);
	g_object_unref (builder);
	return value;
}

static char *
copy_member (JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member (object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
		return NULL;
	return g_strdup (json_node_get_string (node));
}

/** Reads an optional flag. @return false when the member is of another type. */
static bool
read_flag (JsonObject *object, const char *name, bool *flag)
{
	JsonNode *node = json_object_get_member (object, name);

	*flag = false;
	if (!node || JSON_NODE_HOLDS_NULL (node))
		return true;
	if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
		return false;
	*flag = json_node_get_boolean (node);
	return true;
}

int
control_document_parse (const char *value, char **operation_id, char **author, char **text,
                        bool *is_deleted)
{
	JsonParser *parser = json_parser_new ();
	JsonObject *object = json_load_object (parser, value, strlen (value));
	int result = -EPROTO;

	*operation_id = *author = *text = NULL;
	if (!object)
		goto out;
	*operation_id = copy_member (object, "operation_id");
	*author = copy_member (object, "author");
	*text = copy_member (object, "text");
	if (*operation_id && *author && *text && read_flag (object, "deleted", is_deleted))
		result = 0;

out:
	if (result < 0)
	{
		g_free (*operation_id);
		g_free (*author);
		g_free (*text);
		*operation_id = *author = *text = NULL;
	}
	g_object_unref (parser);
	return result;
}

static void
service_release (struct snapshot_service *service)
{
	if (!service)
		return;
	if (--service->references > 0)
		return;
	schema_service_finish (&service->schema);
	free (service);
}

static struct snapshot_service *
service_parse (const char *name, uint64_t revision, const char *text)
{
	struct snapshot_service *service = calloc (1, sizeof *service);
	struct findings findings;

	if (!service)
		return NULL;
	findings_init (&findings);
	if (schema_service_init (&service->schema, name, text, strlen (text), &findings) < 0)
	{
		counter_add (COUNTER_CONFIG_REJECTED, 1);
		log_event (
			LOG_LEVEL_ERROR, "config_rejected", "service=%s revision=%llu finding=%s",
			log_text (name), (unsigned long long) revision,
			log_text_quoted (findings.count > 0 ? findings.items[0].message : "out of memory"));
		findings_finish (&findings);
		free (service);
		return NULL;
	}
	findings_finish (&findings);
	service->schema.revision = revision;
	service->references = 1;
	return service;
}

static int
compare_document (const void *name, const void *document)
{
	return strcmp (name, ((const struct control_document *) document)->service);
}

const struct control_document *
control_documents_find (const struct control *control, const char *service)
{
	if (control->document_count == 0)
		return NULL;
	return bsearch (service, control->documents, control->document_count,
	                sizeof *control->documents, compare_document);
}

/** Finds the document of @p service or inserts an empty one. @return NULL at the limit of
 * services or when out of memory. */
static struct control_document *
document_find_or_insert (struct control *control, const char *service)
{
	struct control_document *found =
		(struct control_document *) control_documents_find (control, service);
	size_t at = 0;

	if (found)
		return found;
	if (control->document_count == CONTROL_MAX_SERVICES)
		return NULL;
	if (control->document_count == control->document_capacity)
	{
		size_t capacity = control->document_capacity ? control->document_capacity * 2 : 16;
		struct control_document *documents =
			realloc (control->documents, capacity * sizeof *documents);

		if (!documents)
			return NULL;
		control->documents = documents;
		control->document_capacity = capacity;
	}
	while (at < control->document_count && strcmp (control->documents[at].service, service) < 0)
		at++;
	memmove (&control->documents[at + 1], &control->documents[at],
	         (control->document_count - at) * sizeof *control->documents);
	control->document_count++;
	memset (&control->documents[at], 0, sizeof control->documents[at]);
	g_strlcpy (control->documents[at].service, service, sizeof control->documents[at].service);
	return &control->documents[at];
}

bool
control_documents_offer (struct control *control, const char *service, uint64_t revision,
                         const char *value)
{
	struct snapshot_service *adopted = NULL;
	struct control_document *document;
	char *operation_id;
	char *author;
	char *text;
	bool is_deleted;

	if (strlen (service) >= sizeof document->service ||
	    control_document_parse (value, &operation_id, &author, &text, &is_deleted) < 0)
	{
		counter_add (COUNTER_CONFIG_REJECTED, 1);
		log_event (LOG_LEVEL_ERROR, "config_malformed", "service=%s revision=%llu",
		           log_text (service), (unsigned long long) revision);
		return false;
	}
	if (!configuration_offer (control->configuration, service, revision, is_deleted))
		goto out;
	document = document_find_or_insert (control, service);
	if (!document)
		goto out;
	if (!is_deleted)
		adopted = service_parse (service, revision, text);
	/* When a document does not parse, the last valid one stays in force. */
	if (is_deleted || adopted)
	{
		service_release (document->adopted);
		document->adopted = adopted;
	}
	document->revision = revision;
	document->is_deleted = is_deleted;
	g_free (document->value);
	document->value = g_strdup (value);
	if (is_deleted || adopted)
	{
		counter_add (COUNTER_CONFIG_ADOPTED, 1);
		log_event (LOG_LEVEL_INFO, "config_adopted",
		           "service=%s revision=%llu author=%s operation=%s", log_text (service),
		           (unsigned long long) revision, log_text (author), log_text (operation_id));
	}
	control_schedule_publish (control);
	g_free (operation_id);
	g_free (author);
	g_free (text);
	return true;

out:
	g_free (operation_id);
	g_free (author);
	g_free (text);
	return false;
}

void
control_documents_list (struct control *control, uint64_t revision, struct fs_config_result *result)
{
	result->revision = configuration_revision (control->configuration);
	result->documents.documents_val =
		calloc (control->document_count + 1, sizeof (struct fs_document));
	if (!result->documents.documents_val)
		return;
	for (size_t i = 0; i < control->document_count; i++)
	{
		const struct control_document *document = &control->documents[i];
		struct fs_document *out = &result->documents.documents_val[result->documents.documents_len];

		if (document->revision <= revision)
			continue;
		out->service = (char *) document->service;
		out->revision = document->revision;
		out->is_deleted = document->is_deleted;
		out->text = document->value;
		result->documents.documents_len++;
	}
}

/** Offers documents read from the platform. @return the highest revision among them. */
static uint64_t
offer_pairs (struct control *control, const struct platform_answer *answer)
{
	uint64_t highest = 0;

	for (size_t i = 0; i < answer->count; i++)
	{
		const struct platform_pair *pair = &answer->pairs[i];

		if (pair->revision > highest)
			highest = pair->revision;
		if (pair->is_deleted || !g_str_has_prefix (pair->key, documents_prefix))
			continue;
		control_documents_offer (control, pair->key + strlen (documents_prefix), pair->revision,
		                         pair->value);
	}
	return highest;
}

static void
handle_documents (struct control *control, const struct platform_answer *answer)
{
	int64_t now_us = clock_now_us ();
	uint64_t highest;

	if (answer->error == -ESTALE)
		configuration_handle_compacted (control->configuration, now_us);
	else if (answer->error < 0)
	{
		if (control->platform_ok)
			log_event (LOG_LEVEL_WARN, "platform_unreachable", "error=%d", answer->error);
		control->platform_ok = false;
		configuration_handle_platform_error (control->configuration, now_us);
	}
	else
	{
		if (!control->platform_ok)
			log_event (LOG_LEVEL_INFO, "platform_reached", "revision=%llu",
			           (unsigned long long) answer->revision);
		control->platform_ok = true;
		highest = offer_pairs (control, answer);
		configuration_handle_complete (
			control->configuration, MAX (highest, configuration_revision (control->configuration)),
			now_us);
		membership_set_config_revision (control->membership,
		                                configuration_revision (control->configuration), now_us);
	}
	control_documents_pump (control);
	control_gossip_pump (control);
}

static void
handle_platform (void *data, const struct platform_answer *answer)
{
	handle_documents (data, answer);
}

static void
handle_pulled (struct control *control, void *data, int status, void *result)
{
	const struct fs_config_result *pulled = result;
	int64_t now_us = clock_now_us ();

	(void) data;
	if (status < 0)
		configuration_handle_pull_error (control->configuration, now_us);
	else
	{
		for (u_int i = 0; i < pulled->documents.documents_len; i++)
		{
			const struct fs_document *document = &pulled->documents.documents_val[i];

			control_documents_offer (control, document->service, document->revision,
			                         document->text);
		}
		configuration_handle_complete (control->configuration, pulled->revision, now_us);
		membership_set_config_revision (control->membership,
		                                configuration_revision (control->configuration), now_us);
		control_gossip_pump (control);
	}
	control_documents_pump (control);
}

static void
documents_pull (struct control *control, uint32_t peer, uint64_t revision)
{
	struct control_call_request request = {
		.program = FS_PEER_PROGRAM,
		.procedure = FS_PEER_CONFIG_PULL,
		.encode = (xdrproc_t) xdr_u_quad_t,
		.args = &control->pull_revision,
		.decode = (xdrproc_t) xdr_fs_config_result,
		.result_size = sizeof (struct fs_config_result),
		.handle = handle_pulled,
	};
	struct member member;

	control->pull_revision = revision;
	if (!membership_find (control->membership, peer, &member))
	{
		configuration_handle_pull_error (control->configuration, clock_now_us ());
		return;
	}
	request.ip = member.address.ip;
	request.port = member.address.control_port;
	if (control_call_start (control, &request) < 0)
		configuration_handle_pull_error (control->configuration, clock_now_us ());
}

static void
effect_run (struct control *control, const struct configuration_effect *effect)
{
	struct platform *platform = &control->platform;
	int result = 0;

	switch (effect->type)
	{
	case CONFIGURATION_LOAD:
		result = platform->ops->range (platform, documents_prefix, effect->revision,
		                               handle_platform, control);
		break;
	case CONFIGURATION_WATCH:
		result = platform->ops->watch (platform, documents_prefix, effect->revision + 1, 0,
		                               handle_platform, control);
		break;
	case CONFIGURATION_UNWATCH:
		platform->ops->unwatch (platform, documents_prefix);
		break;
	case CONFIGURATION_PULL:
		documents_pull (control, effect->peer, effect->revision);
		break;
	case CONFIGURATION_NONE:
		break;
	}
	if (result < 0)
		configuration_handle_platform_error (control->configuration, clock_now_us ());
}

void
control_documents_pump (struct control *control)
{
	for (;;)
	{
		struct configuration_effect effect =
			configuration_next (control->configuration, clock_now_us ());

		if (effect.type == CONFIGURATION_NONE)
			break;
		effect_run (control, &effect);
	}
	loop_set_timer (&control->loop, &control->configuration_timer,
	                configuration_next_time_us (control->configuration));
}

static void
handle_configuration_timer (struct loop_timer *timer, int64_t now_us)
{
	struct control *control = timer->data;
	uint64_t revision = configuration_revision (control->configuration);
	uint32_t peer = membership_find_newer (control->membership, revision, control->random_seed++);
	struct member member;

	if (peer != 0 && membership_find (control->membership, peer, &member))
		configuration_handle_peer (control->configuration, peer, member.config_revision, now_us);
	control_documents_pump (control);
}

void
control_documents_handle_members (struct control *control)
{
	static struct ownership_member members[CONTROL_MAX_MEMBERS];
	struct ownership watchers;
	struct member member;
	size_t count = 0;
	bool is_watcher;

	for (size_t i = 0; i < membership_count (control->membership); i++)
	{
		if (membership_get (control->membership, i, &member) && member.state == MEMBER_ALIVE)
			members[count++] =
				(struct ownership_member){ .id = member.id, .zone = member.address.zone };
	}
	watchers = ownership_of_zone (members, count, control_zone_hash (control->settings->zone));
	is_watcher =
		watchers.owner == control->settings->vm_id || watchers.standby == control->settings->vm_id;
	if (is_watcher == control->is_watcher)
		return;
	control->is_watcher = is_watcher;
	configuration_set_watcher (control->configuration, is_watcher, clock_now_us ());
	control_vms_set_watcher (control, is_watcher);
	control_documents_pump (control);
}

int
control_documents_init (struct control *control)
{
	control->configuration_memory = calloc (1, configuration_size (CONTROL_MAX_SERVICES));
	if (!control->configuration_memory)
		return -ENOMEM;
	control->configuration =
		configuration_init (control->configuration_memory, &configuration_default_settings,
	                        CONTROL_MAX_SERVICES, control->random_seed, clock_now_us ());
	control->configuration_timer.handle_timer = handle_configuration_timer;
	control->configuration_timer.data = control;
	return 0;
}

void
control_documents_finish (struct control *control)
{
	for (size_t i = 0; i < control->document_count; i++)
	{
		service_release (control->documents[i].adopted);
		g_free (control->documents[i].value);
	}
	free (control->documents);
	if (control->configuration)
		configuration_finish (control->configuration);
	free (control->configuration_memory);
}
