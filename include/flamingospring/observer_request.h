/**
 * @file
 * Requests of a group's observer in the control thread to a server, and their answers. The traffic
 * thread of the group executes them on the connection that the group's owners in this VM also use.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "schema/schema.h"

#include <stdint.h>

enum observer_request_kind
{
	OBSERVER_NONE,
	OBSERVER_STATUS,
	OBSERVER_FENCE,
	OBSERVER_PROMOTE,
	OBSERVER_STOP, /**< The VM stops observing the server. */
};

struct observer_request
{
	enum observer_request_kind kind;
	char database[SCHEMA_NAME_BYTES];
	uint32_t server; /**< Index in the group. */
	uint32_t ip;
	uint16_t port;
	uint64_t term;     /**< Term of a fence or promotion. */
	uint32_t claimant; /**< VM that claims the term. */
};

enum observer_result
{
	OBSERVER_ACCEPTED,
	OBSERVER_REJECTED, /**< The server promised another term or claimant. */
	OBSERVER_FAILED,   /**< There was no connection, or no answer in time. */
	OBSERVER_REFUSED,  /**< The server is alive, but at its connection limit. */
};

struct observer_answer
{
	struct observer_request request;
	enum observer_result result;
	struct server_status status; /**< Set for accepted requests. */
	int64_t sent_us;
};
