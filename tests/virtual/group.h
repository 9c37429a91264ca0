/**
 * @file
 * Fake database group under virtual time, as section 6 of docs/design.md assumes it. Server i is
 * the network node first_node + i: pausing or crashing that node freezes or crashes the server.
 * Logs and promised terms survive a crash.
 */
#pragma once

#include "decision/acknowledgement.h"
#include "world.h"

enum
{
	VIRTUAL_MAX_SERVERS = 7,
	VIRTUAL_MAX_SLOTS = 16,
};

struct virtual_entry
{
	uint64_t term;
	uint64_t value; /**< Unique number of the write; 0: entry of a promotion. */
};

enum virtual_request_type
{
	VIRTUAL_STATUS, /**< Takes no slot, as FENCE and PROMOTE. */
	VIRTUAL_FENCE,
	VIRTUAL_PROMOTE,
	VIRTUAL_READ,  /**< Takes a slot for run_us; waits in the server when all are taken. */
	VIRTUAL_WRITE, /**< As VIRTUAL_READ; appends @c value at its end. */
};

struct virtual_request
{
	enum virtual_request_type type;
	uint64_t term; /**< FENCE and PROMOTE, as the next one. */
	uint32_t claimant;
	uint64_t value;
	int64_t run_us;
	bool has_request_id; /**< WRITE with a request id: a value in the log is not appended again. */
};

struct virtual_reply
{
	struct virtual_request request;
	uint32_t server;
	int64_t sent_us; /**< When the caller sent the request. */
	/** 0; -EPERM: refused FENCE or PROMOTE; -EROFS: WRITE on a server that is no primary;
	 * -EEXIST: repeated WRITE with has_request_id, whose first position is in @c status. */
	int result;
	struct server_status status; /**< After the request; the position of a write is in it. */
	struct log_position last;    /**< End of the log after the request. */
};

struct virtual_group;

struct virtual_server
{
	struct virtual_group *group;
	uint32_t index;
	bool is_primary;
	uint64_t promised_term;
	uint32_t claimant;         /**< Who got the promise. */
	uint64_t primary_term;     /**< Term of its last promotion. */
	struct virtual_entry *log; /**< log[i] has the index i + 1. */
	uint64_t length;
	int64_t lag_us; /**< Added to the link's delay before entries are applied. */
	int64_t slot_free_us[VIRTUAL_MAX_SLOTS];
};

struct virtual_group
{
	struct virtual_world *world;
	int first_node;
	uint32_t server_count;
	uint32_t slots;
	uint32_t answer_loss_per_million; /**< Answers lost after the request took effect. */
	int64_t replicate_every_us;       /**< Replication also follows each write at once. */
	struct virtual_server servers[VIRTUAL_MAX_SERVERS];
	struct virtual_handler promoted; /**< Called at each promotion with the server; may be unset. */
};

/** Starts with server 0 as primary of term 1, and one entry on all servers. */
void virtual_group_init (struct virtual_group *group, struct virtual_world *world, int first_node,
                         uint32_t server_count, uint32_t slots);
void virtual_group_finish (struct virtual_group *group);

/** Sends a request from @p node; its struct virtual_reply goes to @p handler on that node. No answer
 * comes when link, server or node fails: the caller needs its own timer. */
void virtual_group_call (struct virtual_group *group, int node, uint32_t server,
                         const struct virtual_request *request, struct virtual_handler handler);

struct server_status virtual_server_status (const struct virtual_server *server);
