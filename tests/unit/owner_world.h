/**
 * @file
 * Fixture of an owner set that uses a database group of scripted upstream connections.
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
	FAKE_LOSE_BEFORE = 1, /* The connection is lost before the statement runs. */
	FAKE_LOSE_AFTER, /* The connection is lost after the statement has run, before the answer. */
	FAKE_HANG,       /* The statement runs, but is never answered. */
	FAKE_NOT_PRIMARY,
	FAKE_ERROR,
	FAKE_CONFLICT, /* Serialization failure or deadlock. */
	FAKE_REPLACE,  /* Before the answer, another primary is promoted, whose log lacks the entry. */
};

/* Fault of the nth statement, counted from 1, that starts with a prefix. */
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
	bool is_down; /* Refuses connections. */
	bool is_full; /* At its connection limit. */
	bool ignores_status_queries;
	bool repeats_status;  /* Answers a fence with the status from before it. */
	bool applies_entries; /* Has each new entry at once. */
	unsigned open;        /* Connections, including monitors and those being opened. */
	unsigned max_open;    /* Highest value of open. */
	unsigned refused;     /* Refused connections. */
	unsigned fences;      /* Received fence requests. */
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
	GHashTable *answers;  /* Committed request ids with their answers. */
	GHashTable *open_ids; /* Request ids of open transactions, with their connections. */
	GString *log;     /* Statements of work connections, as "connection:statement+statement;". */
	unsigned applied; /* Committed runs of the statement "WRITE". */
	unsigned connections; /* Open work connections, without monitors. */
	unsigned max_open;    /* Highest value of connections. */
	unsigned running;     /* Statements in flight. */
	unsigned round_trips; /* To the servers, without status queries. */
	unsigned max_running; /* Highest value of running. */
	unsigned next_number;
	int64_t delay_us; /* Delay of a statement's answer. */
	uint64_t random;
	unsigned fault_percent; /* Share of statements with a random fault. */
	unsigned not_primary_observations;
	unsigned unanswered_observations;
	unsigned observer_answers;
	struct observer_answer observer_answer; /* The last one. */
};

/* A request to the owner set, and its result. */
struct caller
{
	struct owner_request request;
	struct fs_execute_args args;
	char *param;
	fs_value params[1];
	unsigned done; /* Number of answers; a request gets one. */
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

/* Publishes a snapshot of the group, in place of the control thread. */
void world_publish (struct world *world, unsigned primary, uint64_t term, uint32_t owner,
                    bool is_leaving);
void world_run (struct world *world, int64_t us);

void caller_prepare (struct caller *caller, const char *call, unsigned server, const char *id);
void caller_submit (struct world *world, struct caller *caller);
/* Runs the loop until the request is answered. */
void caller_wait (struct world *world, struct caller *caller);
/* Prepares and submits a request, and waits for its answer. */
void caller_run (struct world *world, struct caller *caller, const char *call, unsigned server,
                 const char *id);
