/**
 * @file
 * A TCP forwarder, in a thread of the test, that disturbs the answers of chosen requests of the platform's wire protocol.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What happens to one request or its answer. */
enum link_fault
{
	LINK_NONE,
	LINK_LOSE,          /**< The answer is dropped, and so are all later ones on this connection. */
	LINK_STALL,         /**< Half of the answer arrives, and nothing after it. */
	LINK_DELAY,         /**< The answer arrives late. */
	LINK_CUT,           /**< Half of the answer arrives, then the connection is closed. */
	LINK_RESET,         /**< The connection is reset in place of the answer. */
	LINK_RESET_REQUEST, /**< The connection is reset in place of passing the request on. */
};

struct fault_link
{
	uint16_t port;
	uint16_t target_port;
	GThread *thread;
	GMutex mutex; /**< Guards the fields below. */
	GHashTable *faults;
	int hits;  /**< Faults that have happened. */
	int muted; /**< Open connections on which an answer was dropped. */
	int is_stopped;
	int listener;
};

/** Listens on 127.0.0.1 and forwards to @p target_port. */
void fault_link_start (struct fault_link *link, uint16_t target_port);
void fault_link_stop (struct fault_link *link);

/**
 * Disturbs one request.
 * @param key its id, or for a request of the gateway "-" and the statement's first word, e.g. "-BEGIN".
 */
void fault_link_set (struct fault_link *link, const char *key, enum link_fault fault, int delay_ms);
int fault_link_hits (struct fault_link *link);
int fault_link_muted (struct fault_link *link);
