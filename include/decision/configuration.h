/**
 * @file
 * Decides which service documents to adopt, and from where to get newer ones.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	CONFIGURATION_NAME_BYTES = 64,
};

/** Known revision of one service document. */
struct configuration_entry
{
	char service[CONFIGURATION_NAME_BYTES];
	uint64_t revision; /**< The platform's modification revision. */
	bool is_deleted;
};

struct configuration_settings
{
	int64_t pull_retry_min_us;
	int64_t pull_retry_max_us;
	int64_t watch_retry_min_us;
	int64_t watch_retry_max_us;
	/** To limit the bandwidth, the first pulls of a change are spread over this time after the
	 * change was first read from the platform. Fleets of fewer than pull_spread_members VMs use a
	 * proportional part of it. */
	int64_t pull_spread_us;
	size_t pull_spread_members;
};

extern const struct configuration_settings configuration_default_settings;

enum configuration_effect_type
{
	CONFIGURATION_NONE,
	CONFIGURATION_LOAD,  /**< Read documents newer than @c revision from the platform. */
	CONFIGURATION_WATCH, /**< Watch the platform from @c revision + 1. */
	CONFIGURATION_UNWATCH,
	CONFIGURATION_PULL, /**< Pull documents newer than @c revision from the VM @c peer. */
};

struct configuration_effect
{
	enum configuration_effect_type type;
	uint64_t revision;
	uint32_t peer;
};

struct configuration;

size_t configuration_size (uint32_t max_services);

struct configuration *configuration_init (void *memory,
                                          const struct configuration_settings *settings,
                                          uint32_t max_services, uint64_t seed, int64_t now_us);

void configuration_finish (struct configuration *configuration);

/** Offers a document's revision. @return true when it is newer, so that the document has to be
 * adopted. */
bool configuration_offer (struct configuration *configuration, const char *service,
                          uint64_t revision, bool is_deleted);

/** Handles the complete read of a source, the platform or a peer, up to @p revision. */
void configuration_handle_complete (struct configuration *configuration, uint64_t revision,
                                    int64_t now_us);

/** Sets whether this VM is a platform watcher of its zone. */
void configuration_set_watcher (struct configuration *configuration, bool is_watcher,
                                int64_t now_us);

/** Handles a failed load or watch, or the end of its stream. */
void configuration_handle_platform_error (struct configuration *configuration, int64_t now_us);

/** Handles the compaction of the watched revision by the platform: all documents are loaded
 * again. */
void configuration_handle_compacted (struct configuration *configuration, int64_t now_us);

/** Sets the size of the fleet, and the time at which the newest revision was first read from the
 * platform. */
void configuration_set_fleet (struct configuration *configuration, size_t members,
                              int64_t revision_read_us);

/** Sets a peer that has @p revision. @p peer 0: no peer has a newer revision. */
void configuration_handle_peer (struct configuration *configuration, uint32_t peer,
                                uint64_t revision, int64_t now_us);

void configuration_handle_pull_error (struct configuration *configuration, int64_t now_us);

struct configuration_effect configuration_next (struct configuration *configuration,
                                                int64_t now_us);

int64_t configuration_next_time_us (const struct configuration *configuration);

/** Revision up to which this VM has all documents. */
uint64_t configuration_revision (const struct configuration *configuration);
