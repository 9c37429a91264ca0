/**
 * @file
 * Simulated database group in virtual time, with the properties that section 6 of docs/design.md
 * assumes. Server i is the network node first_node + i: pausing or crashing that node freezes or
 * crashes the server. Logs and promised terms survive a crash.
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
	uint64_t value; /**< Unique number of the write; 0: entry appended by a promotion. */
};

enum virtual_request_type
{
	VIRTUAL_STATUS, /**< Takes no slot; neither do FENCE and PROMOTE. */
	VIRTUAL_FENCE,
	VIRTUAL_PROMOTE,
	VIRTUAL_READ,  /**< Takes a slot for run_us, or waits in the server while all are taken. */
	VIRTUAL_WRITE, /**< Takes a slot as VIRTUAL_READ does; appends @c value when it ends. */
};

struct virtual_request
{
	enum virtual_request_type type;
	uint64_t term; /**< For FENCE and PROMOTE, like @c claimant. */
	uint32_t claimant;
	uint64_t value;
	int64_t run_us;
	bool has_request_id; /**< For WRITE: a value that the log already has is not appended again. */
};

struct virtual_reply
{
	struct virtual_request request;
	uint32_t server;
	int64_t sent_us; /**< When the caller sent the request. */
	/** 0; -EPERM: refused FENCE or PROMOTE; -EROFS: WRITE on a server that is not the primary;
	 * -EEXIST: repeated WRITE with has_request_id, whose original position is in @c status. */
	int result;
	struct server_status status; /**< Status after the request, with the position of a write. */
	struct log_position last;    /**< End of the log after the request. */
};

struct virtual_group;

struct virtual_server
{
	struct virtual_group *group;
	uint32_t index;
	bool is_primary;
	uint64_t promised_term;
	uint32_t claimant;         /**< VM whose FENCE was accepted last. */
	uint64_t primary_term;     /**< Term of its last promotion. */
	struct virtual_entry *log; /**< log[i] is the entry with index i + 1. */
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
	uint32_t answer_loss_per_million; /**< Rate of answers lost after the request took effect. */
	int64_t replicate_every_us; /**< Interval of replication; each write also replicates at once. */
	struct virtual_server servers[VIRTUAL_MAX_SERVERS];
	struct virtual_handler promoted; /**< Optional; called with the server at each promotion. */
};

/** Server 0 starts as the primary of term 1, and all servers have one entry. */
void virtual_group_init (struct virtual_group *group, struct virtual_world *world, int first_node,
                         uint32_t server_count, uint32_t slots);
void virtual_group_finish (struct virtual_group *group);

/** Sends a request from @p node; @p handler on that node gets the struct virtual_reply. There is no
 * answer when the link, the server or the node fails, so the caller needs its own timer. */
void virtual_group_call (struct virtual_group *group, int node, uint32_t server,
                         const struct virtual_request *request, struct virtual_handler handler);

struct server_status virtual_server_status (const struct virtual_server *server);
