/**
 * @file
 * Two gateways, of which one owns the servers and the other forwards to it, in front of a fake primary and a fake replica;
 * and callers that send and receive any bytes.
 */
#pragma once

#include "fake_database.h"

#include "gateway/traffic.h"

#include <glib.h>
#include <stdbool.h>

enum
{
	PAIR_OWNER,
	PAIR_FORWARDER,
	PAIR_VMS,
	PAIR_PRIMARY = 0,
	PAIR_REPLICA,
	PAIR_SERVERS,
	PAIR_SLOTS = 8,
};

struct gateway_pair
{
	struct fake_database databases[PAIR_SERVERS];
	struct gateway_traffic *vms[PAIR_VMS];
	uint16_t caller_ports[PAIR_VMS];
	uint16_t relay_ports[PAIR_VMS];
	char names[PAIR_VMS][8];
};

/**
 * Starts with the routes "primary" and "staleness", the latter 2.5 s, of one service.
 * @param max_connections of each server.
 */
void gateway_pair_start (struct gateway_pair *pair, uint32_t max_connections);
void gateway_pair_stop (struct gateway_pair *pair);

/** Opens a session of the database "primary" or "staleness" with a gateway. @return its socket. */
int gateway_pair_open (const struct gateway_pair *pair, int vm, const char *database);

/** Connects without a greeting. */
int gateway_pair_connect (uint16_t port);
bool pair_send (int fd, const char *bytes, size_t length);

/**
 * Reads up to the end of the line of READY, which follows a line end.
 * @return the answer, any bytes, to be freed; shorter if the connection ends or 5 s pass.
 */
GString *pair_read (int fd);

/** Sends "QUERY ID TEXT" and reads the answer. */
GString *pair_execute (int fd, const char *id, const char *text, size_t length);
