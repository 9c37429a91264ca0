/**
 * @file
 * Discrete-event simulation: an event queue with virtual time, and a network of nodes. Runs with
 * the same seed are identical.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
	VIRTUAL_NO_NODE = -1,
	VIRTUAL_MAX_ZONES = 8,
	VIRTUAL_MAX_LINKS = 64,
	VIRTUAL_RETRANSMIT_US = 200000, /**< Delay that a lost segment adds to a stream message. */
};

/** Event handler. @p payload is a copy that is freed after the call. */
struct virtual_handler
{
	void (*handle) (void *context, const void *payload);
	void *context;
};

struct virtual_event
{
	int64_t at_us;
	uint64_t sequence; /**< Orders events of the same time as they were scheduled. */
	struct virtual_handler handler;
	void *payload;
	int node;
	uint32_t generation;
};

enum virtual_node_state
{
	VIRTUAL_RUNNING,
	VIRTUAL_PAUSED,  /**< Handles timers and messages only after it resumes. */
	VIRTUAL_CRASHED, /**< Loses its timers and everything sent to it. */
};

struct virtual_node
{
	uint32_t zone;
	uint32_t partition; /**< Nodes of different partitions cannot reach each other. */
	enum virtual_node_state state;
	uint32_t generation; /**< Number of crashes; events scheduled before a crash are dropped. */
};

struct virtual_link
{
	int64_t delay_us;
	int64_t jitter_us; /**< Upper limit of a random addition to the delay. */
	uint32_t loss_per_million;
	bool is_cut;
};

struct virtual_link_override
{
	int from;
	int to;
	struct virtual_link link;
};

struct virtual_world
{
	int64_t now_us; /**< Starts at 1 s, because 0 means "never" in some decision modules. */
	uint64_t random;
	struct virtual_event *heap;
	size_t count;
	size_t capacity;
	uint64_t sequence;
	struct virtual_node *nodes;
	struct virtual_link zone_links[VIRTUAL_MAX_ZONES][VIRTUAL_MAX_ZONES];
	struct virtual_link_override overrides[VIRTUAL_MAX_LINKS];
	size_t override_count;
};

/** All links between zones start as @p link, and all nodes in zone 0 and partition 0. Change
 * zone_links for other links. */
void virtual_world_init (struct virtual_world *world, uint64_t seed, size_t nodes,
                         struct virtual_link link);
void virtual_world_finish (struct virtual_world *world);

/** Schedules an event at @p at_us, which belongs to @p node or VIRTUAL_NO_NODE. */
void virtual_schedule (struct virtual_world *world, int node, int64_t at_us,
                       struct virtual_handler handler, const void *payload, size_t payload_bytes);
/** Runs all events up to and including @p until_us, then sets the time to it. */
void virtual_run (struct virtual_world *world, int64_t until_us);

uint64_t virtual_random (struct virtual_world *world);

/** Sends a datagram, which may be lost, or a message on a stream (TCP), which a loss only delays.
 * Both may be reordered, and are dropped silently by a cut link or a crashed receiver. */
void virtual_send (struct virtual_world *world, bool is_stream, int from, int to,
                   struct virtual_handler handler, const void *payload, size_t payload_bytes);

/** Overrides the zones' link for one direction between two nodes. */
void virtual_set_link (struct virtual_world *world, int from, int to, struct virtual_link link);
/** Removes all overrides of virtual_set_link(), and moves nodes 0 to @p nodes - 1 to partition
 * 0. */
void virtual_heal (struct virtual_world *world, size_t nodes);
void virtual_set_state (struct virtual_world *world, int node, enum virtual_node_state state);
