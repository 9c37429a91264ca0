/**
 * @file
 * The traffic thread of the gateway: runs the callers' sessions on pooled server connections.
 */
#pragma once

#include "decision/usage_account.h"
#include "gateway/view.h"

#include <stdint.h>

struct gateway_traffic;

struct gateway_traffic_settings
{
	const char *vm;
	const char *zone;
	uint32_t ip;
	uint16_t caller_port;
	uint16_t relay_port; /**< TCP port for statements that other VMs forward. */
	uint32_t grace_ms;
	uint32_t max_sessions;
	uint32_t max_descriptors;       /**< 0: not limited. */
	uint64_t memory_bytes;          /**< Memory limit of the process; 0: not limited. */
	struct usage_terms usage_terms; /**< How usage caps are counted. */
	uint32_t client_stall_ms; /**< Longest time of a client without progress; 0: not limited. */
	/** Least silence, in milliseconds, after which an owner or a server counts as lost. 0: the gateway's own limits.
	 * Tests raise it, since a thread of a busy machine may not run for longer than those. */
	uint32_t min_silence_ms;
};

/** Callbacks, called in the traffic thread; the implementation passes them on to its own thread. */
struct gateway_traffic_events
{
	/** Takes ownership of @p report. */
	void (*handle_report) (void *data, struct server_report *report);
	/** Called when nothing runs at the old primary of @p service any more. */
	void (*handle_quiesced) (void *data, const char *service, uint64_t change);
	/** Called when all sessions have ended after gateway_traffic_send_leave(). */
	void (*handle_leave_complete) (void *data);
};

/** Ignores all events. */
extern const struct gateway_traffic_events gateway_traffic_no_events;

/** @return NULL when a listener cannot be opened. */
struct gateway_traffic *gateway_traffic_new (const struct gateway_traffic_settings *settings);
/** @return 0 or a negative error number. */
int gateway_traffic_start (struct gateway_traffic *traffic,
                           const struct gateway_traffic_events *events, void *data);
/** Ends the thread, which reports no event afterwards; its state remains. */
void gateway_traffic_stop (struct gateway_traffic *traffic);
/** Stops the thread if it still runs, and frees its state. */
void gateway_traffic_free (struct gateway_traffic *traffic);

/* The calls below are safe from any thread. */

/** What is known of the turns of the thread's loop. */
struct gateway_traffic_turns
{
	int64_t turned_us;  /**< When it last began a turn; 0: never. */
	int64_t longest_us; /**< Longest time from turn to turn since the start. */
};
struct gateway_traffic_turns gateway_traffic_get_turns (const struct gateway_traffic *traffic);

/**
 * Takes the latest report about tenants, which is made once per second.
 * @return array as of tenant_table_copy(), or NULL when there is none that has not been taken.
 */
GArray *gateway_traffic_take_tenants (struct gateway_traffic *traffic);

/** Replaces the view; takes ownership of @p view. */
void gateway_traffic_send_view (struct gateway_traffic *traffic, struct view *view);

/** Reports that the records of the last view were still current at @p records_valid_us. */
void gateway_traffic_send_records_valid (struct gateway_traffic *traffic, int64_t records_valid_us);

/** Requests a server's status. @param demote_term if above 0, the server is first demoted to a replica of that term. */
void gateway_traffic_request_status (struct gateway_traffic *traffic, const char *server,
                                     uint64_t demote_term);

/** Requests a report of the last contact with a server, which is probed if it has not answered recently. */
void gateway_traffic_request_contact (struct gateway_traffic *traffic, const char *server);

/** Starts the graceful shutdown. */
void gateway_traffic_send_leave (struct gateway_traffic *traffic);
