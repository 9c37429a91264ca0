/**
 * @file
 * One server of a database group: log, promised term, replication and tables.
 */
#pragma once

#include "decision/position.h"
#include "emulator/stream.h"

#include <stdio.h>

enum
{
	GROUP_MAX_SERVERS = 16,
};

/** Tables; the values are the table letters in log entries. */
enum table
{
	TABLE_LEDGER = 'L',
	TABLE_REQUEST = 'R',
};

struct entry
{
	uint64_t term;
	GBytes *changes; /**< For each change: table letter, key, NUL, value, NUL. */
};

struct group;

/** The primary's connection to one follower. */
struct link
{
	struct stream stream;
	struct group *group;
	bool is_open;
	bool is_streaming; /**< The connection is established. */
	uint64_t sent_index;
};

struct group
{
	struct loop *loop;
	struct listener listener;
	struct sockaddr_in peers[GROUP_MAX_SERVERS];
	uint32_t count;
	uint32_t self;
	struct link links[GROUP_MAX_SERVERS];
	struct loop_timer connect_timer;
	GPtrArray *incoming_connections; /**< Of struct incoming. */
	GArray *log;                     /**< Of struct entry; log index 1 is element 0. */
	GHashTable *ledger;
	GHashTable *requests;
	uint64_t promised_term;
	char *claimant;
	uint64_t term; /**< Highest term in which this server was primary. */
	bool is_primary;
	uint64_t followed_term; /**< Highest term of a primary that this server followed. */
	int64_t lag_ms;
	int64_t cut_replication;
	FILE *state_file;
};

/** Server 0 starts as primary of term 1. @p state_path: file that keeps the log and the promised term
 * over restarts; may be NULL.
 * @return 0 or a negative error number. */
int group_init (struct group *group, struct loop *loop, const char *peers, uint32_t self,
                const char *state_path);

struct log_position group_position (const struct group *group);
GHashTable *group_table (const struct group *group, enum table table);

/** Appends one entry of the current term and replicates it. Only valid on a primary. */
void group_append (struct group *group, const GByteArray *changes);

/** Promises @p term to @p claimant; a primary steps down.
 * @return false when the promised term is equal or higher. */
bool group_fence (struct group *group, uint64_t term, const char *claimant);

/** Makes this server the primary of @p term. @return false when @p term is not promised to @p claimant, or
 * when a primary of this or a higher term was followed. */
bool group_promote (struct group *group, uint64_t term, const char *claimant);

/** Appends one change to @p changes. */
void group_add_change (GByteArray *changes, enum table table, const char *key, const char *value);

/** Closes all replication connections when cut_replication is set. */
void group_cut_replication (struct group *group);
