/**
 * @file
 * One server of a database group: its log, promised term, replication and tables.
 */
#pragma once

#include "decision/position.h"
#include "emulator/stream.h"

#include <stdio.h>

enum
{
	GROUP_MAX_SERVERS = 16,
};

/** Letters name the tables in log entries. */
enum table
{
	TABLE_LEDGER = 'L',
	TABLE_REQUEST = 'R',
};

struct entry
{
	uint64_t term;
	GBytes *changes; /**< For each change: table letter, key, 0, value, 0. */
};

struct group;

/** The primary's connection to one follower. */
struct link
{
	struct stream stream;
	struct group *group;
	bool is_open;
	bool is_streaming; /**< Connected. */
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
	GPtrArray *incoming_connections; /**< Accepted connections: struct incoming. */
	GArray *log;                     /**< Of struct entry; index 1 is element 0. */
	GHashTable *ledger;
	GHashTable *requests;
	uint64_t promised_term;
	char *claimant;
	uint64_t term; /**< Highest term in which this server was primary. */
	bool is_primary;
	uint64_t followed_term; /**< Highest term of a primary that replicated to this server. */
	int64_t lag_ms;
	int64_t cut_replication;
	FILE *state_file;
};

/** Server 0 starts as primary of term 1. @p state_path (may be NULL) keeps log and promises.
 * @return 0 or a negative error number. */
int group_init (struct group *group, struct loop *loop, const char *peers, uint32_t self,
                const char *state_path);

struct log_position group_position (const struct group *group);
GHashTable *group_table (const struct group *group, enum table table);

/** Appends one entry of the present term and replicates it; only on a primary. */
void group_append (struct group *group, const GByteArray *changes);

/** @return false when the promised term is equal or higher. */
bool group_fence (struct group *group, uint64_t term, const char *claimant);

/** @return false when @p term was not promised to @p claimant. */
bool group_promote (struct group *group, uint64_t term, const char *claimant);

/** Adds one change to an entry under construction. */
void group_add_change (GByteArray *changes, enum table table, const char *key, const char *value);

/** Applies a change of cut_replication: closes all replication connections. */
void group_cut_replication (struct group *group);
