#include "decision/configuration.h"

#include "charts/embedded.h"
#include "decision/retry.h"

#include <stdio.h>
#include <string.h>

const struct configuration_settings configuration_default_settings = {
	.pull_retry_min_us = 50000,
	.pull_retry_max_us = 2000000,
	.watch_retry_min_us = 1000000,
	/* With 8 watchers, at least one reconnects within 3 s of the end of an outage in all but 1 of
	 * 2,000 cases, and there are about 3 calls a second during the outage. */
	.watch_retry_max_us = 4000000,
	.pull_spread_us = 2400000,
	.pull_spread_members = 750,
};

enum
{
	/* Pulls in the first 1/IMMEDIATE_DIVISOR of pull_spread_us start at once, so that enough VMs
	 * have the document; late pulls are spread over 1/LATE_DIVISOR of it. */
	IMMEDIATE_DIVISOR = 13,
	LATE_DIVISOR = 4,
	MAX_ATTEMPT = 16, /* Delays stop growing after this many failures. */
};

enum source_event
{
	SOURCE_START,
	SOURCE_STOP,
	SOURCE_DUE,
	SOURCE_COMPLETE,
	SOURCE_ERROR,
	SOURCE_COMPACTED,
	SOURCE_EVENT_COUNT,
};

static const char *const event_names[SOURCE_EVENT_COUNT] = { "start",    "stop",  "due",
	                                                         "complete", "error", "compacted" };

/* A source of documents: the platform, or a peer. */
struct configuration_source
{
	struct configuration *owner;
	struct chart_instance chart;
	bool is_platform;
	bool is_loaded; /* All documents were loaded as a watcher; after an error a watch is enough. */
	bool needs_full_load; /* The next load starts at revision 0. */
	uint32_t attempt;
	int64_t due_us;
	enum configuration_effect_type effect; /* To be returned by configuration_next(). */
};

struct configuration
{
	const struct configuration_settings *settings;
	uint32_t max_services;
	uint32_t service_count;
	uint64_t seed;
	uint64_t revision;
	uint64_t peer_revision; /* Highest revision that the peer is known to have. */
	uint32_t peer;
	int64_t pull_spread_us;
	int64_t revision_read_us;
	int64_t now_us; /* Time of the present call, for the chart's actions. */
	int idle_state;
	int waiting_state;
	int watching_state;
	int events[SOURCE_EVENT_COUNT];
	struct configuration_source platform;
	struct configuration_source pull;
	struct configuration_entry entries[];
};

/* Spreads the pulls of the VMs evenly over the time after a change, to limit the bandwidth. VMs
 * that learn of the change after that time pull within a short delay. */
static int64_t
first_pull_delay_us (const struct configuration *configuration, uint64_t random)
{
	int64_t age_us = configuration->now_us - configuration->revision_read_us;
	int64_t left_us = configuration->pull_spread_us - age_us;

	/* A VM learns of a change this late at the end of a partition, together with many others. */
	if (left_us <= -configuration->pull_spread_us)
		left_us = configuration->pull_spread_us * 3 / 4;
	else if (left_us < configuration->pull_spread_us / LATE_DIVISOR)
		left_us = configuration->pull_spread_us / LATE_DIVISOR;
	if (age_us < configuration->pull_spread_us / IMMEDIATE_DIVISOR || left_us <= 0)
		return 0;
	return (int64_t) (random % (uint64_t) left_us);
}

static int64_t
source_delay_us (struct configuration_source *source)
{
	struct configuration *owner = source->owner;
	const struct configuration_settings *settings = owner->settings;
	uint64_t random = random_next (&owner->seed);

	if (!source->is_platform && source->attempt == 0)
		return first_pull_delay_us (owner, random);
	if (!source->is_platform)
		return backoff_delay_us (source->attempt, settings->pull_retry_min_us,
		                         settings->pull_retry_max_us, random);
	/* After a restart of the whole fleet every VM knows no other member at first, and considers
	 * itself a watcher. The first load is delayed so that membership can correct this. */
	if (source->attempt == 0)
		return settings->watch_retry_min_us +
		       (int64_t) (random % (uint64_t) (settings->watch_retry_min_us + 1));
	return settings->watch_retry_min_us / 2 +
	       backoff_delay_us (source->attempt, settings->watch_retry_min_us,
	                         settings->watch_retry_max_us, random);
}

static void
handle_action (void *context, const char *name)
{
	struct configuration_source *source = context;

	if (strcmp (name, "set_delay") == 0)
		source->due_us = source->owner->now_us + source_delay_us (source);
	else if (strcmp (name, "read") == 0)
		source->effect = source->is_platform ? CONFIGURATION_LOAD : CONFIGURATION_PULL;
	else if (strcmp (name, "watch") == 0)
		source->effect = CONFIGURATION_WATCH;
	else if (strcmp (name, "stop") == 0)
		source->effect = CONFIGURATION_UNWATCH;
}

static bool
handle_condition (void *context, const char *name)
{
	const struct configuration_source *source = context;

	return strcmp (name, "is_platform") == 0 ? source->is_platform : source->is_loaded;
}

static const struct chart_ops source_ops = { handle_action, handle_condition };

static void
source_init (struct configuration_source *source, struct configuration *owner, bool is_platform)
{
	*source = (struct configuration_source){ .owner = owner, .is_platform = is_platform };
	chart_instance_init (&source->chart, chart_embedded ("configuration"), &source_ops, source);
}

static bool
source_handle (struct configuration_source *source, enum source_event event, int64_t now_us)
{
	source->owner->now_us = now_us;
	return chart_instance_handle (&source->chart, source->owner->events[event], &source_ops,
	                              source);
}

static void
source_fail (struct configuration_source *source, enum source_event event, int64_t now_us)
{
	if (source->attempt < MAX_ATTEMPT)
		source->attempt++;
	source->effect = CONFIGURATION_NONE;
	source_handle (source, event, now_us);
}

size_t
configuration_size (uint32_t max_services)
{
	return sizeof (struct configuration) + max_services * sizeof (struct configuration_entry);
}

struct configuration *
configuration_init (void *memory, const struct configuration_settings *settings,
                    uint32_t max_services, uint64_t seed, int64_t now_us)
{
	const struct chart *chart = chart_embedded ("configuration");
	struct configuration *configuration = memory;

	memset (configuration, 0, sizeof *configuration);
	configuration->settings = settings;
	configuration->max_services = max_services;
	configuration->seed = seed;
	configuration->now_us = now_us;
	configuration->idle_state = chart_find_state (chart, "idle");
	configuration->watching_state = chart_find_state (chart, "watching");
	configuration->waiting_state = chart_find_state (chart, "waiting");
	for (int i = 0; i < SOURCE_EVENT_COUNT; i++)
		configuration->events[i] = chart_find_event (chart, event_names[i]);
	source_init (&configuration->platform, configuration, true);
	source_init (&configuration->pull, configuration, false);
	return configuration;
}

void
configuration_finish (struct configuration *configuration)
{
	configuration->service_count = 0;
}

static struct configuration_entry *
find_entry (struct configuration *configuration, const char *service)
{
	for (uint32_t i = 0; i < configuration->service_count; i++)
		if (strcmp (configuration->entries[i].service, service) == 0)
			return &configuration->entries[i];
	return NULL;
}

bool
configuration_offer (struct configuration *configuration, const char *service, uint64_t revision,
                     bool is_deleted)
{
	struct configuration_entry *entry = find_entry (configuration, service);

	if (!entry)
	{
		if (configuration->service_count == configuration->max_services ||
		    strlen (service) >= CONFIGURATION_NAME_BYTES)
			return false;
		entry = &configuration->entries[configuration->service_count++];
		memset (entry, 0, sizeof *entry);
		snprintf (entry->service, sizeof entry->service, "%s", service);
	}
	/* P9: a document never returns to an earlier revision, whatever the source. */
	if (revision <= entry->revision)
		return false;
	entry->revision = revision;
	entry->is_deleted = is_deleted;
	return true;
}

static bool
peer_is_newer (const struct configuration *configuration)
{
	return configuration->peer != 0 && configuration->peer_revision > configuration->revision;
}

void
configuration_handle_complete (struct configuration *configuration, uint64_t revision,
                               int64_t now_us)
{
	struct configuration_source *platform = &configuration->platform;
	struct configuration_source *pull = &configuration->pull;

	if (revision > configuration->revision)
		configuration->revision = revision;
	if (source_handle (platform, SOURCE_COMPLETE, now_us) ||
	    platform->chart.state == configuration->watching_state)
	{
		platform->is_loaded = true;
		platform->needs_full_load = false;
		platform->attempt = 0;
	}
	if (!peer_is_newer (configuration))
	{
		source_handle (pull, SOURCE_COMPLETE, now_us);
		pull->attempt = 0;
		return;
	}
	/* A peer that delivers less than the revision that it announced is asked again with a delay. */
	if (!source_handle (pull, SOURCE_START, now_us))
		source_fail (pull, SOURCE_ERROR, now_us);
}

void
configuration_set_watcher (struct configuration *configuration, bool is_watcher, int64_t now_us)
{
	struct configuration_source *platform = &configuration->platform;

	if (is_watcher)
	{
		if (platform->chart.state == configuration->idle_state)
			platform->attempt = 0;
		source_handle (platform, SOURCE_START, now_us);
		return;
	}
	if (source_handle (platform, SOURCE_STOP, now_us))
		platform->is_loaded = false;
}

void
configuration_handle_platform_error (struct configuration *configuration, int64_t now_us)
{
	source_fail (&configuration->platform, SOURCE_ERROR, now_us);
}

void
configuration_handle_compacted (struct configuration *configuration, int64_t now_us)
{
	configuration->platform.is_loaded = false;
	configuration->platform.needs_full_load = true;
	source_fail (&configuration->platform, SOURCE_COMPACTED, now_us);
}

void
configuration_set_fleet (struct configuration *configuration, size_t members,
                         int64_t revision_read_us)
{
	const struct configuration_settings *settings = configuration->settings;

	if (members > settings->pull_spread_members)
		members = settings->pull_spread_members;
	configuration->pull_spread_us =
		settings->pull_spread_us * (int64_t) members / (int64_t) settings->pull_spread_members;
	configuration->revision_read_us = revision_read_us;
}

void
configuration_handle_peer (struct configuration *configuration, uint32_t peer, uint64_t revision,
                           int64_t now_us)
{
	/* A pending pull is not cancelled for a peer that has nothing newer. */
	if (peer && revision <= configuration->revision && peer_is_newer (configuration))
		return;
	configuration->peer = peer;
	configuration->peer_revision = peer ? revision : 0;
	if (peer_is_newer (configuration))
		source_handle (&configuration->pull, SOURCE_START, now_us);
}

void
configuration_handle_pull_error (struct configuration *configuration, int64_t now_us)
{
	source_fail (&configuration->pull, SOURCE_ERROR, now_us);
}

static void
source_advance (struct configuration_source *source, int64_t now_us)
{
	if (source->chart.state == source->owner->waiting_state && now_us >= source->due_us)
		source_handle (source, SOURCE_DUE, now_us);
}

struct configuration_effect
configuration_next (struct configuration *configuration, int64_t now_us)
{
	struct configuration_source *platform = &configuration->platform;
	struct configuration_source *pull = &configuration->pull;
	struct configuration_effect effect = { .revision = configuration->revision };

	source_advance (platform, now_us);
	source_advance (pull, now_us);
	if (platform->effect != CONFIGURATION_NONE)
	{
		effect.type = platform->effect;
		if (effect.type == CONFIGURATION_LOAD && platform->needs_full_load)
			effect.revision = 0;
		platform->effect = CONFIGURATION_NONE;
		return effect;
	}
	if (pull->effect == CONFIGURATION_PULL && !peer_is_newer (configuration))
	{
		/* Another source was faster, or the peer is gone. */
		pull->effect = CONFIGURATION_NONE;
		source_handle (pull, SOURCE_COMPLETE, now_us);
	}
	if (pull->effect == CONFIGURATION_PULL)
	{
		effect.type = CONFIGURATION_PULL;
		effect.peer = configuration->peer;
		pull->effect = CONFIGURATION_NONE;
	}
	return effect;
}

static int64_t
source_next_time_us (const struct configuration_source *source)
{
	if (source->effect != CONFIGURATION_NONE)
		return 0;
	return source->chart.state == source->owner->waiting_state ? source->due_us : INT64_MAX;
}

int64_t
configuration_next_time_us (const struct configuration *configuration)
{
	int64_t platform_us = source_next_time_us (&configuration->platform);
	int64_t pull_us = source_next_time_us (&configuration->pull);

	return platform_us < pull_us ? platform_us : pull_us;
}

uint64_t
configuration_revision (const struct configuration *configuration)
{
	return configuration->revision;
}
