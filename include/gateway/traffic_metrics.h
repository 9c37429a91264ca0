/**
 * @file
 * Latency histograms of statements, written by the traffic thread.
 */
#pragma once

#include "common/histogram.h"

enum
{
	TRAFFIC_PRIORITIES = 4, /**< Priorities above 3 are counted with 3. */
};

/** Part of a statement's latency. */
enum traffic_hop
{
	TRAFFIC_HOP_TOTAL,
	TRAFFIC_HOP_QUEUE,  /**< Until a server connection was chosen. */
	TRAFFIC_HOP_SETUP,  /**< Until session values, prepared statements and BEGIN were sent. */
	TRAFFIC_HOP_SERVER, /**< From sending to the answer; through an owner, its queue is included. */
	TRAFFIC_HOP_OWNER,  /**< Forwarded statements, measured at the owner: queue and server. */
	TRAFFIC_HOPS,
};

extern struct histogram traffic_latencies[TRAFFIC_PRIORITIES][TRAFFIC_HOPS];
