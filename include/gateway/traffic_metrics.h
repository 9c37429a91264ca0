/**
 * @file
 * Latencies of statements, written by the traffic thread.
 */
#pragma once

#include "common/histogram.h"

enum
{
	TRAFFIC_PRIORITIES = 4, /**< Higher numbers count as the last one. */
};

/** Where the time of a statement goes. */
enum traffic_hop
{
	TRAFFIC_HOP_TOTAL,
	TRAFFIC_HOP_QUEUE,  /**< Until a server connection was chosen. */
	TRAFFIC_HOP_SETUP,  /**< Session values, prepared names, BEGIN. */
	TRAFFIC_HOP_SERVER, /**< From sending to the answer; over the owner: its queue as well. */
	TRAFFIC_HOP_OWNER,  /**< Forwarded statements, at the owner: queue and server. */
	TRAFFIC_HOPS,
};

extern struct histogram traffic_latencies[TRAFFIC_PRIORITIES][TRAFFIC_HOPS];
