#include "emulator/group.h"

#include "common/clock.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
	CONNECT_RETRY_US = 50 * US_PER_MS,
};

/* Frame types on replication connections and in the state file. */
enum frame_type
{
	FRAME_ENTRIES, /* Entries after index, from the primary of term. A new connection starts at index 0. */
	FRAME_REJECT,  /* Sent by a follower that promised the higher term. */
	FRAME_PROMISE, /* State file: promised term and claimant. */
	FRAME_PRIMARY, /* State file: promoted to primary of term. */
};

struct frame
{
	uint32_t length; /* Of the payload. */
	uint32_t type;
	uint64_t term;
	uint64_t index;
	uint64_t count;
};

struct entry_header
{
	uint64_t term;
	uint64_t length;
};

struct delayed_frame
{
	int64_t arrived_us;
	struct frame *frame;
};

/* A follower's side of the connection from a primary. */
struct incoming
{
	struct stream stream;
	struct group *group;
	GQueue delayed; /* Of struct delayed_frame, which wait until the lag has passed. */
	struct loop_timer lag_timer;
};

static void group_connect (struct group *group);

static uint64_t
log_term (const struct group *group, uint64_t element)
{
	return g_array_index (group->log, struct entry, element).term;
}

struct log_position
group_position (const struct group *group)
{
	struct log_position position = { 0, group->log->len };

	if (position.index > 0)
		position.term = log_term (group, position.index - 1);
	return position;
}

GHashTable *
group_table (const struct group *group, enum table table)
{
	return table == TABLE_LEDGER ? group->ledger : group->requests;
}

void
group_add_change (GByteArray *changes, enum table table, const char *key, const char *value)
{
	guint8 letter = (guint8) table;

	g_byte_array_append (changes, &letter, 1);
	g_byte_array_append (changes, (const guint8 *) key, (guint) strlen (key) + 1);
	g_byte_array_append (changes, (const guint8 *) value, (guint) strlen (value) + 1);
}

static void
entry_apply (struct group *group, const struct entry *entry)
{
	gsize length;
	const char *text = g_bytes_get_data (entry->changes, &length);
	const char *end = text + length;

	while (text < end)
	{
		GHashTable *table = group_table (group, (enum table) * text);
		const char *key = text + 1;
		const char *value = key + strlen (key) + 1;

		g_hash_table_replace (table, g_strdup (key), g_strdup (value));
		text = value + strlen (value) + 1;
	}
}

static void
group_truncate (struct group *group, uint64_t index)
{
	if (index >= group->log->len)
		return;
	fprintf (stderr, "database: truncates log entries %lu to %u\n", index + 1, group->log->len);
	g_array_set_size (group->log, (guint) index);
	g_hash_table_remove_all (group->ledger);
	g_hash_table_remove_all (group->requests);
	for (guint i = 0; i < group->log->len; i++)
		entry_apply (group, &g_array_index (group->log, struct entry, i));
}

/** Merges a frame of entries from a primary or the state file into the log. Entries with the same index and
 * term are identical, since each term has only one primary. */
static void
group_merge_entries (struct group *group, const struct frame *frame)
{
	const char *payload = (const char *) (frame + 1);

	for (uint64_t index = frame->index; index < frame->index + frame->count; index++)
	{
		struct entry_header header;
		struct entry entry;

		memcpy (&header, payload, sizeof header);
		payload += sizeof header;
		entry.term = header.term;
		if (index >= group->log->len || log_term (group, index) != entry.term)
		{
			group_truncate (group, index);
			entry.changes = g_bytes_new (payload, header.length);
			g_array_append_val (group->log, entry);
			entry_apply (group, &entry);
		}
		payload += header.length;
	}
	group_truncate (group, frame->index + frame->count);
}

static void
frame_write (GByteArray *out, enum frame_type type, uint64_t term, uint64_t index, uint64_t count,
             const void *payload, size_t length)
{
	struct frame frame = { (uint32_t) length, type, term, index, count };

	g_byte_array_append (out, (const guint8 *) &frame, sizeof frame);
	g_byte_array_append (out, payload, (guint) length);
}

static void
frame_write_entries (const struct group *group, GByteArray *out, uint64_t after_index)
{
	GByteArray *payload = g_byte_array_new ();

	for (guint i = (guint) after_index; i < group->log->len; i++)
	{
		const struct entry *entry = &g_array_index (group->log, struct entry, i);
		gsize length;
		const void *changes = g_bytes_get_data (entry->changes, &length);
		struct entry_header header = { entry->term, length };

		g_byte_array_append (payload, (const guint8 *) &header, sizeof header);
		g_byte_array_append (payload, changes, (guint) length);
	}
	frame_write (out, FRAME_ENTRIES, group->term, after_index, group->log->len - after_index,
	             payload->data, payload->len);
	g_byte_array_unref (payload);
}

static void
state_write (struct group *group, const GByteArray *frames)
{
	if (!group->state_file)
		return;
	fwrite (frames->data, 1, frames->len, group->state_file);
	fflush (group->state_file);
}

static void
state_write_frame (struct group *group, enum frame_type type, uint64_t term, const char *text)
{
	GByteArray *frames = g_byte_array_new ();

	frame_write (frames, type, term, 0, 0, text, strlen (text) + 1);
	state_write (group, frames);
	g_byte_array_unref (frames);
}

static void
group_promise (struct group *group, uint64_t term, const char *claimant)
{
	group->promised_term = term;
	g_free (group->claimant);
	group->claimant = g_strdup (claimant);
	state_write_frame (group, FRAME_PROMISE, term, claimant);
}

static void
group_close_links (struct group *group)
{
	for (uint32_t i = 0; i < group->count; i++)
	{
		if (group->links[i].is_open)
			stream_close (&group->links[i].stream);
	}
}

static void
group_step_down (struct group *group, uint64_t term)
{
	if (!group->is_primary)
		return;
	fprintf (stderr, "database: primary of term %lu steps down for term %lu\n", group->term, term);
	group->is_primary = false;
	group_close_links (group);
}

static void
link_send (struct link *link)
{
	if (!link->is_open || !link->is_streaming || link->sent_index == link->group->log->len)
		return;
	frame_write_entries (link->group, link->stream.out, link->sent_index);
	link->sent_index = link->group->log->len;
	stream_flush (&link->stream);
}

void
group_append (struct group *group, const GByteArray *changes)
{
	struct entry entry = { group->term, g_bytes_new (changes->data, changes->len) };
	GByteArray *frames = g_byte_array_new ();

	g_array_append_val (group->log, entry);
	entry_apply (group, &entry);
	frame_write_entries (group, frames, group->log->len - 1);
	state_write (group, frames);
	g_byte_array_unref (frames);
	for (uint32_t i = 0; i < group->count; i++)
		link_send (&group->links[i]);
}

static void
group_become_primary (struct group *group, uint64_t term)
{
	group->term = term;
	group->is_primary = true;
	state_write_frame (group, FRAME_PRIMARY, term, "");
	if (group_position (group).term != term)
	{
		GByteArray *none = g_byte_array_new ();

		group_append (group, none);
		g_byte_array_unref (none);
	}
	group_connect (group);
}

bool
group_fence (struct group *group, uint64_t term, const char *claimant)
{
	if (term <= group->promised_term)
		return false;
	group_promise (group, term, claimant);
	group_step_down (group, term);
	return true;
}

bool
group_promote (struct group *group, uint64_t term, const char *claimant)
{
	if (term != group->promised_term || !group->claimant ||
	    strcmp (claimant, group->claimant) != 0 || group->followed_term >= term)
		return false;
	if (group->is_primary)
		return true;
	group_become_primary (group, term);
	return true;
}

/** Removes a complete frame from the input. @return NULL when none is complete; free with g_free(). */
static struct frame *
stream_read_frame (struct stream *stream)
{
	struct frame header;
	struct frame *frame;

	if (stream->in->len < sizeof header)
		return NULL;
	memcpy (&header, stream->in->data, sizeof header);
	if (stream->in->len < sizeof header + header.length)
		return NULL;
	frame = g_memdup2 (stream->in->data, sizeof header + header.length);
	stream_consume (stream, sizeof header + header.length);
	return frame;
}

static void
handle_link_input (struct stream *stream)
{
	struct link *link = (struct link *) stream;
	struct group *group = link->group;
	struct frame *frame;

	while (!stream->is_closed && (frame = stream_read_frame (stream)))
	{
		if (frame->term > group->term)
			group_step_down (group, frame->term);
		g_free (frame);
	}
}

static void
handle_link_connected (struct stream *stream)
{
	struct link *link = (struct link *) stream;

	link->is_streaming = true;
	link_send (link);
}

static void
handle_link_closed (struct stream *stream)
{
	struct link *link = (struct link *) stream;

	stream_finish (stream);
	link->is_open = false;
}

static const struct stream_ops link_ops = {
	.handle_input = handle_link_input,
	.handle_connected = handle_link_connected,
	.handle_closed = handle_link_closed,
};

static void
group_connect (struct group *group)
{
	struct sockaddr_in source = group->peers[group->self];

	source.sin_port = 0;
	loop_set_timer (group->loop, &group->connect_timer, clock_now_us () + CONNECT_RETRY_US);
	if (!group->is_primary || group->cut_replication)
		return;
	for (uint32_t i = 0; i < group->count; i++)
	{
		struct link *link = &group->links[i];

		if (i == group->self || link->is_open)
			continue;
		link->group = group;
		link->is_open = true;
		link->is_streaming = false;
		link->sent_index = 0;
		stream_connect (&link->stream, group->loop, &link_ops, &group->peers[i], &source);
	}
}

static void
handle_connect_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	group_connect (timer->data);
}

static void
incoming_reject (struct incoming *incoming)
{
	frame_write (incoming->stream.out, FRAME_REJECT, incoming->group->promised_term, 0, 0, "", 0);
	stream_flush (&incoming->stream);
	stream_close (&incoming->stream);
}

/** Accepts the term of a primary immediately, although its entries are delayed by the lag. */
static void
incoming_follow (struct incoming *incoming, uint64_t term)
{
	struct group *group = incoming->group;

	if (term < group->promised_term || (group->is_primary && term == group->term))
	{
		incoming_reject (incoming);
		return;
	}
	if (term > group->promised_term)
		group_promise (group, term, "");
	group_step_down (group, term);
	group->followed_term = term;
}

static void
incoming_apply_entries (struct incoming *incoming, const struct frame *frame)
{
	struct group *group = incoming->group;
	GByteArray *bytes;

	if (frame->term < group->promised_term)
	{
		incoming_reject (incoming);
		return;
	}
	group_merge_entries (group, frame);
	bytes = g_byte_array_new ();
	g_byte_array_append (bytes, (const guint8 *) frame, (guint) (sizeof *frame + frame->length));
	state_write (group, bytes);
	g_byte_array_unref (bytes);
}

static void
delayed_frame_free (void *data)
{
	struct delayed_frame *delayed = data;

	g_free (delayed->frame);
	g_free (delayed);
}

static void
incoming_apply_delayed (struct incoming *incoming)
{
	int64_t now_us = clock_now_us ();
	struct delayed_frame *delayed;

	while (!incoming->stream.is_closed && (delayed = g_queue_peek_head (&incoming->delayed)))
	{
		int64_t due_us = delayed->arrived_us + incoming->group->lag_ms * US_PER_MS;

		if (due_us > now_us)
		{
			loop_set_timer (incoming->stream.loop, &incoming->lag_timer, due_us);
			return;
		}
		g_queue_pop_head (&incoming->delayed);
		incoming_apply_entries (incoming, delayed->frame);
		delayed_frame_free (delayed);
	}
}

static void
handle_lag_timer (struct loop_timer *timer, int64_t now_us)
{
	(void) now_us;
	incoming_apply_delayed (timer->data);
}

static void
handle_incoming_input (struct stream *stream)
{
	struct incoming *incoming = (struct incoming *) stream;
	struct frame *frame;

	while (!stream->is_closed && (frame = stream_read_frame (stream)))
	{
		struct delayed_frame delayed = { clock_now_us (), frame };

		g_queue_push_tail (&incoming->delayed, g_memdup2 (&delayed, sizeof delayed));
		incoming_follow (incoming, frame->term);
	}
	incoming_apply_delayed (incoming);
}

static void
handle_incoming_closed (struct stream *stream)
{
	struct incoming *incoming = (struct incoming *) stream;

	loop_cancel_timer (stream->loop, &incoming->lag_timer);
	g_queue_clear_full (&incoming->delayed, delayed_frame_free);
	stream_finish (stream);
	g_ptr_array_remove (incoming->group->incoming_connections, incoming);
	g_free (incoming);
}

static const struct stream_ops incoming_ops = {
	.handle_input = handle_incoming_input,
	.handle_closed = handle_incoming_closed,
};

static void
handle_incoming (void *owner, int fd)
{
	struct group *group = owner;
	struct incoming *incoming = g_new0 (struct incoming, 1);

	incoming->group = group;
	incoming->lag_timer.data = incoming;
	incoming->lag_timer.handle_timer = handle_lag_timer;
	g_queue_init (&incoming->delayed);
	stream_init (&incoming->stream, group->loop, &incoming_ops, fd);
	g_ptr_array_add (group->incoming_connections, incoming);
	if (group->cut_replication)
		stream_close (&incoming->stream);
}

void
group_cut_replication (struct group *group)
{
	if (!group->cut_replication)
		return;
	group_close_links (group);
	for (guint i = 0; i < group->incoming_connections->len; i++)
		stream_close (&((struct incoming *) group->incoming_connections->pdata[i])->stream);
}

static void
state_apply_frame (struct group *group, const struct frame *frame)
{
	if (frame->type == FRAME_ENTRIES)
	{
		group_merge_entries (group, frame);
		return;
	}
	if (frame->type == FRAME_PRIMARY)
	{
		group->term = frame->term;
		return;
	}
	group->promised_term = frame->term;
	g_free (group->claimant);
	group->claimant = g_strdup ((const char *) (frame + 1));
}

/** Loads the state file. A truncated last frame is removed, since its effect was never reported to a client.
 * @return false when the file is missing or empty, or cannot be truncated. */
static bool
state_read (struct group *group, const char *path)
{
	char *bytes = NULL;
	gsize length = 0;
	gsize at = 0;

	if (!g_file_get_contents (path, &bytes, &length, NULL))
		return false;
	while (length - at >= sizeof (struct frame))
	{
		struct frame *frame = g_memdup2 (bytes + at, sizeof *frame);
		gsize size = sizeof *frame + frame->length;

		g_free (frame);
		if (length - at < size)
			break;
		frame = g_memdup2 (bytes + at, size);
		state_apply_frame (group, frame);
		g_free (frame);
		at += size;
	}
	g_free (bytes);
	if (truncate (path, (off_t) at) < 0)
		return false;
	group->followed_term = group_position (group).term;
	return at > 0;
}

static void
entry_clear (void *data)
{
	g_bytes_unref (((struct entry *) data)->changes);
}

int
group_init (struct group *group, struct loop *loop, const char *peers, uint32_t self,
            const char *state_path)
{
	char **addresses = g_strsplit (peers, ",", GROUP_MAX_SERVERS);
	bool is_restart;
	int result = 0;

	memset (group, 0, sizeof *group);
	group->loop = loop;
	group->self = self;
	for (; addresses[group->count] && result == 0; group->count++)
		result = stream_parse_address (addresses[group->count], &group->peers[group->count]);
	g_strfreev (addresses);
	if (result < 0 || self >= group->count)
		return -EINVAL;
	group->incoming_connections = g_ptr_array_new ();
	group->log = g_array_new (FALSE, FALSE, sizeof (struct entry));
	g_array_set_clear_func (group->log, entry_clear);
	group->ledger = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	group->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	group->connect_timer.data = group;
	group->connect_timer.handle_timer = handle_connect_timer;
	group->promised_term = 1;
	is_restart = state_path && state_read (group, state_path);
	if (state_path && !(group->state_file = fopen (state_path, "ab")))
		return -errno;
	if (is_restart && group->term > 0 && group->term == group->promised_term)
		group_become_primary (group, group->term);
	else if (!is_restart)
	{
		group_promise (group, 1, "initial");
		if (self == 0)
			group_promote (group, 1, "initial");
	}
	return listener_init (&group->listener, loop, &group->peers[self], handle_incoming, group);
}
