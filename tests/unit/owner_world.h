/**
 * @file
 * A database group of scripted upstream connections, and an owner set that uses it.
 */
#pragma once

#include "common/clock.h"
#include "common/counters.h"
#include "flamingospring/owner.h"
#include "flamingospring/owner_pool.h"

#include <glib.h>

enum
{
	WORLD_SERVERS = 3,
	WORLD_MAX_RULES = 8,
	WORLD_SELF = 1, /* VM id. */
	WORLD_LIMIT_US = 4 * US_PER_S,
};

enum fake_action
{
	FAKE_LOSE_BEFORE = 1, /* The connection breaks and the statement does not run. */
	FAKE_LOSE_AFTER,      /* The statement runs, its answer is lost. */
	FAKE_HANG,            /* The statement runs, its answer never comes. */
	FAKE_NOT_PRIMARY,
	FAKE_ERROR,
	FAKE_CONFLICT, /* Serialization failure or deadlock. */
	FAKE_REPLACE,  /* Another primary is promoted, and takes the entry back, before the answer. */
};

/* What happens to the nth statement that starts with a prefix, counted from 1. */
struct fake_rule
{
	const char *prefix;
	unsigned nth;
	enum fake_action action;
	unsigned seen;
};

struct fake_server
{
	struct server_status status;
	bool is_down;                /* Refuses connections. */
	bool is_full;                /* At its connection limit. */
	bool ignores_status_queries; /* Does not answer questions for the status. */
	bool applies_entries;        /* Replicates at once. */
	unsigned open;               /* Connections, with monitors and those being opened. */
	unsigned max_open;           /* Most at a time. */
	unsigned refused;
	unsigned fences;
};

struct world
{
	struct loop loop;
	struct snapshot_source source;
	struct snapshot_reader reader;
	struct owner_settings settings;
	struct owner_set set;
	struct fake_server servers[WORLD_SERVERS];
	struct fake_rule rules[WORLD_MAX_RULES];
	unsigned rule_count;
	GHashTable *answers;  /* Committed request ids. */
	GHashTable *open_ids; /* Of open transactions, to their connections. */
	GString *log;         /* Statements of work connections, "connection:statement;". */
	unsigned applied;     /* Committed runs of the statement "WRITE". */
	unsigned connections; /* Open now, without monitors. */
	unsigned max_open;    /* Most at a time. */
	unsigned running;     /* Statements outstanding. */
	unsigned round_trips; /* To the servers, without status questions. */
	unsigned max_running;
	unsigned next_number;
	int64_t delay_us; /* Of a statement's answer. */
	uint64_t random;
	unsigned fault_percent; /* Statements that get a random fault. */
	unsigned not_primary_observations;
	unsigned unanswered_observations;
	unsigned observer_answers;
	struct observer_answer observer_answer; /* The last one. */
};

/* One request and its result. */
struct caller
{
	struct owner_request request;
	struct fs_execute_args args;
	char *param;
	fs_value params[1];
	unsigned done;
	int outcome;
	int reason;
	uint32_t retry_after_ms;
	bool is_replay;
	struct log_position written;
	struct log_position position;
	uint32_t age_ms;
	uint64_t transaction;
	bool is_primary;
	int primary;
	char cell[64];
	char message[128];
	int64_t done_us;
};

void world_init (struct world *world);
void world_finish (struct world *world);
void world_add_rule (struct world *world, const char *prefix, unsigned nth,
                     enum fake_action action);

/* Publishes the state of the group as the control thread sees it. */
void world_publish (struct world *world, unsigned primary, uint64_t term, uint32_t owner,
                    bool is_leaving);
void world_run (struct world *world, int64_t us);

void caller_prepare (struct caller *caller, const char *call, unsigned server, const char *id);
void caller_submit (struct world *world, struct caller *caller);
/* Runs until the answer came. */
void caller_wait (struct world *world, struct caller *caller);
/* Prepares, submits and waits. */
void caller_run (struct world *world, struct caller *caller, const char *call, unsigned server,
                 const char *id);
