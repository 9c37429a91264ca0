/**
 * @file
 * The traffic thread of the gateway: caller sessions on pooled server connections.
 */
#pragma once

#include "gateway/view.h"

#include <stdint.h>

struct gateway_traffic;

struct gateway_traffic_settings
{
	const char *vm;
	const char *zone;
	uint32_t ip;
	uint16_t caller_port;
	uint16_t relay_port; /**< For statements that other VMs forward. */
	uint32_t grace_ms;
	uint32_t max_sessions;
};

/** Callbacks from the traffic thread; the implementation hands them over. */
struct gateway_traffic_events
{
	/** Owns @p report. */
	void (*handle_report) (void *data, struct server_report *report);
	/** Nothing runs at the old primary of @p service any more. */
	void (*handle_quiesced) (void *data, const char *service, uint64_t revision);
	/** All sessions have ended after traffic_leave(). */
	void (*handle_leave_complete) (void *data);
};

/** @return NULL when the listener cannot be opened. */
struct gateway_traffic *gateway_traffic_new (const struct gateway_traffic_settings *settings);
int gateway_traffic_start (struct gateway_traffic *traffic,
                           const struct gateway_traffic_events *events, void *data);
void gateway_traffic_free (struct gateway_traffic *traffic);

/* The calls below are safe from any thread. */

/** Takes @p view. */
void gateway_traffic_send_view (struct gateway_traffic *traffic, struct view *view);

/** The leads of the last view still held at @p records_valid_us. */
void gateway_traffic_send_records_valid (struct gateway_traffic *traffic, int64_t records_valid_us);

/** Asks a server for its status; @p demote_term > 0 first makes it a replica of that term. */
void gateway_traffic_request_status (struct gateway_traffic *traffic, const char *server,
                                     uint64_t demote_term);

/** Asks for a report of the last contact with a server; one that was not heard lately is asked for its status. */
void gateway_traffic_request_contact (struct gateway_traffic *traffic, const char *server);

/** Starts the planned stop. */
void gateway_traffic_send_leave (struct gateway_traffic *traffic);
