#include "decision/acknowledgement.h"

#include "common/counters.h"
#include "decision/heap.h"
#include "decision/routing.h"

#include <errno.h>
#include <string.h>

struct acknowledgement_write
{
	uint64_t cookie;
	struct log_position position;
	int64_t deadline_us;
	uint32_t server; /* The primary that committed it. */
	uint32_t next_free;
};

struct acknowledgement
{
	uint32_t servers;
	uint32_t capacity;
	uint32_t first_free;
	uint64_t sequence;
	uint64_t promised_term; /* Highest of all answers. */
	uint64_t term;          /* Highest term of a write or of a primary's answer. */
	struct server_status status[ROUTING_MAX_SERVERS];
	struct acknowledgement_write *writes;
	struct heap by_position;
	struct heap by_deadline;
};

size_t
acknowledgement_size (uint32_t servers, uint32_t capacity)
{
	return sizeof (struct acknowledgement) +
	       capacity * (sizeof (struct acknowledgement_write) + 2 * sizeof (struct heap_node));
}

struct acknowledgement *
acknowledgement_init (void *memory, uint32_t servers, uint32_t capacity)
{
	struct acknowledgement *ack = memory;
	struct heap_node *nodes;

	memset (ack, 0, sizeof *ack);
	INVARIANT (servers >= 1 && servers <= ROUTING_MAX_SERVERS, "P2");
	ack->servers = servers <= ROUTING_MAX_SERVERS ? servers : ROUTING_MAX_SERVERS;
	ack->capacity = capacity;
	ack->writes = (struct acknowledgement_write *) (ack + 1);
	nodes = (struct heap_node *) (ack->writes + capacity);
	heap_init (&ack->by_position, nodes);
	heap_init (&ack->by_deadline, nodes + capacity);
	for (uint32_t i = 0; i < capacity; i++)
		ack->writes[i].next_free = i + 1 < capacity ? i + 1 : HEAP_NONE;
	ack->first_free = capacity > 0 ? 0 : HEAP_NONE;
	return ack;
}

void
acknowledgement_finish (struct acknowledgement *ack)
{
	memset (ack, 0, sizeof *ack);
}

int
acknowledgement_add (struct acknowledgement *ack, uint64_t cookie, uint32_t server,
                     struct log_position position, int64_t deadline_us)
{
	uint32_t item = ack->first_free;
	struct acknowledgement_write *write;

	if (item == HEAP_NONE)
		return -ENOSPC;
	write = &ack->writes[item];
	ack->first_free = write->next_free;
	write->cookie = cookie;
	write->server = server;
	write->position = position;
	write->deadline_us = deadline_us > 0 ? deadline_us : 0;
	heap_insert (&ack->by_position, item, (struct heap_key){ position.term, position.index });
	heap_insert (&ack->by_deadline, item,
	             (struct heap_key){ (uint64_t) write->deadline_us, ack->sequence++ });
	if (position.term > ack->term)
		ack->term = position.term;
	/* An entry of a term proves that the term was promised. */
	if (position.term > ack->promised_term)
		ack->promised_term = position.term;
	return 0;
}

void
acknowledgement_report (struct acknowledgement *ack, uint32_t server,
                        const struct server_status *status)
{
	struct server_status *known;

	if (server >= ack->servers)
		return;
	known = &ack->status[server];
	/* Answers may arrive out of order. Promised terms and positions never decrease, so an older
	 * answer changes nothing. */
	if (status->promised_term > known->promised_term)
		known->promised_term = status->promised_term;
	if (log_position_covers (status->position, known->position))
	{
		known->position = status->position;
		known->is_primary = status->is_primary;
	}
	if (status->promised_term > ack->promised_term)
		ack->promised_term = status->promised_term;
	if (status->position.term > ack->promised_term)
		ack->promised_term = status->position.term;
	if (status->is_primary && status->position.term > ack->term)
		ack->term = status->position.term;
}

/* Tells whether a majority holds the write. The server that committed it counts once, also when it
 * now answers as a replica: a primary that learns of a higher term steps down and keeps its log. A
 * log that ends in another term is not counted, since it may lack an entry that was never
 * acknowledged. */
static bool
acknowledgement_has_majority (const struct acknowledgement *ack, uint32_t server,
                              struct log_position position)
{
	uint32_t holders = 1;

	for (uint32_t i = 0; i < ack->servers; i++)
	{
		const struct server_status *status = &ack->status[i];

		if (i != server && !status->is_primary && status->promised_term <= position.term &&
		    status->position.term == position.term && status->position.index >= position.index)
			holders++;
	}
	return holders > ack->servers / 2;
}

static struct acknowledgement_result
acknowledgement_resolve (struct acknowledgement *ack, uint32_t item,
                         enum acknowledgement_verdict verdict)
{
	struct acknowledgement_write *write = &ack->writes[item];
	struct acknowledgement_result result = { verdict, write->cookie, write->position };

	heap_remove (&ack->by_position, item);
	heap_remove (&ack->by_deadline, item);
	write->next_free = ack->first_free;
	ack->first_free = item;
	if (verdict == ACKNOWLEDGEMENT_DONE)
	{
		INVARIANT (result.position.term >= ack->promised_term, "P2");
		INVARIANT (acknowledgement_has_majority (ack, write->server, result.position), "P2");
	}
	return result;
}

struct acknowledgement_result
acknowledgement_next (struct acknowledgement *ack, int64_t now_us)
{
	uint32_t item = heap_first (&ack->by_position);
	uint32_t overdue = heap_first (&ack->by_deadline);

	if (item == HEAP_NONE)
		return (struct acknowledgement_result){ .verdict = ACKNOWLEDGEMENT_NONE };
	/* Writes are ordered by position: when the first one is not below the promised term, or has no
	 * majority, the same holds for all later ones. */
	if (ack->writes[item].position.term < ack->promised_term)
		return acknowledgement_resolve (ack, item, ACKNOWLEDGEMENT_REPLACED);
	if (acknowledgement_has_majority (ack, ack->writes[item].server, ack->writes[item].position))
		return acknowledgement_resolve (ack, item, ACKNOWLEDGEMENT_DONE);
	if (ack->writes[overdue].deadline_us <= now_us)
		return acknowledgement_resolve (ack, overdue, ACKNOWLEDGEMENT_TIMEOUT);
	return (struct acknowledgement_result){ .verdict = ACKNOWLEDGEMENT_NONE };
}

bool
acknowledgement_is_waiting (const struct acknowledgement *ack)
{
	return heap_first (&ack->by_position) != HEAP_NONE;
}

bool
acknowledgement_first (const struct acknowledgement *ack, uint64_t *cookie)
{
	uint32_t item = heap_first (&ack->by_position);

	if (item == HEAP_NONE)
		return false;
	*cookie = ack->writes[item].cookie;
	return true;
}

int64_t
acknowledgement_next_deadline_us (const struct acknowledgement *ack)
{
	uint32_t item = heap_first (&ack->by_deadline);

	return item == HEAP_NONE ? INT64_MAX : ack->writes[item].deadline_us;
}

struct log_position
acknowledgement_majority_position (const struct acknowledgement *ack)
{
	struct log_position best = { 0, 0 };

	for (uint32_t i = 0; i < ack->servers; i++)
	{
		struct log_position position = ack->status[i].position;
		uint32_t holders = 0;

		if (position.term != ack->term)
			continue;
		for (uint32_t j = 0; j < ack->servers; j++)
			if (ack->status[j].promised_term <= position.term &&
			    ack->status[j].position.term == position.term &&
			    log_position_covers (ack->status[j].position, position))
				holders++;
		if (holders > ack->servers / 2 && log_position_covers (position, best))
			best = position;
	}
	return best;
}
