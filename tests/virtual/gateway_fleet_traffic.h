/**
 * @file
 * The model of a VM's traffic thread, shared by gateway_fleet_traffic.c and gateway_fleet_exchange.c.
 */
#pragma once

#include "gateway_fleet.h"

enum
{
	TRAFFIC_TIMEOUT_US = 350 * US_PER_MS, /**< A request without an answer ends after this time. */
};

struct traffic_server
{
	char *id;
	int service;
	bool is_listed;
	bool is_requested; /**< A status. */
	uint64_t demote_term;
	int64_t answered_us;
	int64_t failed_us; /**< 0: it is reachable. */
	int64_t next_probe_us;
	int64_t probe_us; /**< When the probe was sent that is under way; 0: none. */
	uint32_t probe_number;
};

struct held_commit
{
	struct fleet_commit commit;
	int64_t answered_us;
};

struct traffic_service
{
	char *primary; /**< NULL: none, or its entry is unknown. */
	uint64_t change;
	bool is_changing;
	bool is_planned;
	bool is_quiesced;
	int64_t adopted_us;
	uint32_t connection; /**< Number of the connection to the primary; rises when it is closed. */
	int in_flight;
	int64_t oldest_write_us;
	GArray *held; /**< Array of struct held_commit. */
	int64_t acknowledged_us;
	int64_t next_write_us;
};

struct gateway_traffic
{
	int vm;
	const struct gateway_traffic_events *events;
	void *events_data;
	struct view *view;
	int64_t records_valid_us;
	GHashTable *servers; /**< struct traffic_server by id. */
	struct traffic_service services[FLEET_MAX_SERVICES];
};

/* gateway_fleet_exchange.c */
/** Adds a report of the server to the control thread's messages. */
struct server_report *traffic_report_new (const struct traffic_server *server);
/** Sends a read or, if requested, a status request or a demotion. */
void traffic_probe (struct gateway_traffic *traffic, struct traffic_server *server);
void traffic_handle_failed (struct gateway_traffic *traffic, struct traffic_server *server);
void traffic_send_write (struct gateway_traffic *traffic, int service);
/** Closes the connection to the primary: answers of its writes no longer arrive. */
void traffic_close_all (struct traffic_service *state);
void traffic_acknowledge (struct gateway_traffic *traffic, int service,
                          const struct fleet_commit *commit);
