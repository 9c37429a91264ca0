#include "world.h"

#include <glib.h>
#include <string.h>

enum
{
	FIRST_TIME_US = 1000000,
	PER_MILLION = 1000000,
	PAUSE_RETRY_US = 10000, /* Delay after which an event of a paused node is retried. */
};

void
virtual_world_init (struct virtual_world *world, uint64_t seed, size_t nodes,
                    struct virtual_link link)
{
	memset (world, 0, sizeof *world);
	world->now_us = FIRST_TIME_US;
	world->random = seed;
	world->nodes = g_new0 (struct virtual_node, nodes);
	for (uint32_t a = 0; a < VIRTUAL_MAX_ZONES; a++)
		for (uint32_t b = 0; b < VIRTUAL_MAX_ZONES; b++)
			world->zone_links[a][b] = link;
}

void
virtual_world_finish (struct virtual_world *world)
{
	for (size_t i = 0; i < world->count; i++)
		g_free (world->heap[i].payload);
	g_free (world->heap);
	g_free (world->nodes);
	memset (world, 0, sizeof *world);
}

static bool
event_is_before (const struct virtual_event *a, const struct virtual_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->sequence < b->sequence;
}

static void
world_push (struct virtual_world *world, const struct virtual_event *event)
{
	size_t at = world->count++;

	if (world->count > world->capacity)
	{
		world->capacity = world->capacity ? world->capacity * 2 : 64;
		world->heap = g_renew (struct virtual_event, world->heap, world->capacity);
	}
	for (; at > 0 && event_is_before (event, &world->heap[(at - 1) / 2]); at = (at - 1) / 2)
		world->heap[at] = world->heap[(at - 1) / 2];
	world->heap[at] = *event;
}

static struct virtual_event
world_pop (struct virtual_world *world)
{
	struct virtual_event first = world->heap[0];
	struct virtual_event last = world->heap[--world->count];
	size_t at = 0;

	for (size_t child; (child = 2 * at + 1) < world->count; at = child)
	{
		if (child + 1 < world->count &&
		    event_is_before (&world->heap[child + 1], &world->heap[child]))
			child++;
		if (!event_is_before (&world->heap[child], &last))
			break;
		world->heap[at] = world->heap[child];
	}
	world->heap[at] = last;
	world->heap[world->count].payload = NULL;
	return first;
}

void
virtual_schedule (struct virtual_world *world, int node, int64_t at_us,
                  struct virtual_handler handler, const void *payload, size_t payload_bytes)
{
	struct virtual_event event = {
		.at_us = at_us > world->now_us ? at_us : world->now_us,
		.sequence = world->sequence++,
		.handler = handler,
		.payload = g_memdup2 (payload, payload_bytes),
		.node = node,
		.generation = node >= 0 ? world->nodes[node].generation : 0,
	};

	world_push (world, &event);
}

void
virtual_run (struct virtual_world *world, int64_t until_us)
{
	while (world->count && world->heap[0].at_us <= until_us)
	{
		struct virtual_event event = world_pop (world);
		const struct virtual_node *node = event.node >= 0 ? &world->nodes[event.node] : NULL;

		world->now_us = event.at_us;
		if (node && node->state == VIRTUAL_PAUSED && node->generation == event.generation)
		{
			event.at_us += PAUSE_RETRY_US;
			world_push (world, &event);
			continue;
		}
		if (!node || (node->state == VIRTUAL_RUNNING && node->generation == event.generation))
			event.handler.handle (event.handler.context, event.payload);
		g_free (event.payload);
	}
	world->now_us = until_us;
}

/* splitmix64, same as random_next() of decision/retry. */
uint64_t
virtual_random (struct virtual_world *world)
{
	uint64_t z = world->random += 0x9e3779b97f4a7c15;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return z ^ z >> 31;
}

static struct virtual_link
world_link (const struct virtual_world *world, int from, int to)
{
	const struct virtual_node *a = &world->nodes[from];
	const struct virtual_node *b = &world->nodes[to];
	struct virtual_link link = world->zone_links[a->zone][b->zone];

	for (size_t i = 0; i < world->override_count; i++)
		if (world->overrides[i].from == from && world->overrides[i].to == to)
			link = world->overrides[i].link;
	link.is_cut = link.is_cut || a->partition != b->partition || b->state == VIRTUAL_CRASHED;
	return link;
}

void
virtual_send (struct virtual_world *world, bool is_stream, int from, int to,
              struct virtual_handler handler, const void *payload, size_t payload_bytes)
{
	struct virtual_link link = world_link (world, from, to);
	bool is_lost = virtual_random (world) % PER_MILLION < link.loss_per_million;
	int64_t at_us = world->now_us + link.delay_us +
	                (int64_t) (virtual_random (world) % ((uint64_t) link.jitter_us + 1));

	if (is_stream && is_lost)
		at_us += VIRTUAL_RETRANSMIT_US;
	if (!link.is_cut && (is_stream || !is_lost))
		virtual_schedule (world, to, at_us, handler, payload, payload_bytes);
}

void
virtual_set_link (struct virtual_world *world, int from, int to, struct virtual_link link)
{
	size_t i = 0;

	while (i < world->override_count &&
	       (world->overrides[i].from != from || world->overrides[i].to != to))
		i++;
	g_assert_cmpuint (i, <, VIRTUAL_MAX_LINKS);
	if (i == world->override_count)
		world->override_count++;
	world->overrides[i] = (struct virtual_link_override){ from, to, link };
}

void
virtual_heal (struct virtual_world *world, size_t nodes)
{
	world->override_count = 0;
	for (size_t i = 0; i < nodes; i++)
		world->nodes[i].partition = 0;
}

void
virtual_set_state (struct virtual_world *world, int node, enum virtual_node_state state)
{
	if (state == VIRTUAL_CRASHED && world->nodes[node].state != VIRTUAL_CRASHED)
		world->nodes[node].generation++;
	world->nodes[node].state = state;
}
