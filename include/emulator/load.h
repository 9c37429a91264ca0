/**
 * @file
 * Sessions against the entry VMs, and a record of every write to check what the proxy promised.
 */
#pragma once

#include <curl/curl.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
	MAX_ENTRIES = 64,
	MAX_DATABASES = 16,
	MAX_AGE_MS = 2000, /* Of the calls with a stated age in tests/scenarios/letters.yaml. */
};

/** What the caller knows of a write. */
enum record_state
{
	RECORD_UNKNOWN, /**< Unknown: may be present or absent. */
	RECORD_ACKED,   /**< Must be present once. */
	RECORD_ABSENT,  /**< Refused, failed or rolled back: must not be present. */
	RECORD_COMMIT_UNKNOWN, /**< Its commit stayed open, but all writes of its transaction are present or none. */
};

struct record
{
	uint32_t database;
	enum record_state state;
	uint32_t transaction_id; /**< Number of its transaction; 0: none. */
	int64_t acked_us;
	char *key;
	char *value;
};

enum step
{
	STEP_IDLE,
	STEP_PAYMENT,
	STEP_COMMISSION,
	STEP_CONFIRM,
	STEP_FIND,
	STEP_AGE,
	STEP_REPORT,
	STEP_BEGIN,
	STEP_FIRST_WRITE,
	STEP_SECOND_WRITE,
	STEP_READ_BACK,
	STEP_COMMIT,
	STEP_ROLLBACK,
	STEP_CHECK, /**< Final check of one record. */
};

enum outcome_class
{
	CLASS_DONE,
	CLASS_REFUSED,
	CLASS_FAILED,
	CLASS_UNKNOWN,
	CLASS_COUNT,
};

/** Broken promises, by the name that the summary prints. */
#define VIOLATION_LIST(X)                                                                          \
	X (ACKED_LOST, "acked_lost")                                                                   \
	X (DOUBLED, "doubled")                                                                         \
	X (MIXED, "mixed")                                                                             \
	X (OWN_MISSED, "own_missed")                                                                   \
	X (REFUSED_RAN, "refused_ran")                                                                 \
	X (WRONG_ANSWER, "wrong_answer")                                                               \
	X (TOO_OLD, "too_old")                                                                         \
	X (UNCHECKED, "unchecked")

enum violation
{
#define VIOLATION_ENUM(id, name) VIOLATION_##id,
	VIOLATION_LIST (VIOLATION_ENUM)
#undef VIOLATION_ENUM
		VIOLATION_COUNT,
};

enum caller_rank
{
	CALLER_URGENT,
	CALLER_NORMAL,
	CALLER_LOW,
	CALLER_RANK_COUNT,
};

/** Requests of the mix; the flood is left out. */
struct latencies
{
	uint64_t sent;
	GArray *done_us; /**< Of int64_t. */
};

struct caller;

struct session
{
	struct caller *caller;
	uint32_t number;
	CURL *curl;
	struct curl_slist *headers;
	GString *answer;
	char *token;
	enum step step;
	uint32_t entry;
	uint32_t database;
	guint record;        /**< Index of the write, or of the row that is read. */
	guint second_record; /**< Second write of the transaction. */
	char *handle;        /**< Of the open transaction. */
	bool rolls_back;
	bool is_retry;          /**< Settles an unknown write or commit. */
	bool has_short_timeout; /**< Breaks off the commit in flight after a short time. */
	bool is_flood;
	int64_t next_send_us; /**< When the next request is sent; 0: one is in flight. */
	int64_t sent_us;
	GArray *own_writes; /**< Indexes of its acknowledged writes. */
};

struct caller
{
	char *entries[MAX_ENTRIES];
	uint32_t entry_count;
	uint32_t database_count;
	char *service;
	char *prefix; /**< Of keys and request ids; tells runs apart. */
	int think_ms;
	int settle_ms;
	int report_ms;
	enum caller_rank flood_rank;
	GRand *random;
	CURLM *multi;
	struct session *sessions;
	int session_count;
	GArray *records; /**< Of struct record. */
	uint32_t transaction_count;
	int64_t end_us;            /**< No new work after it. */
	int64_t retry_deadline_us; /**< No more questions about unknown outcomes after it. */
	bool is_checking;
	guint next_check;
	uint64_t outcomes[CLASS_COUNT];
	uint64_t violations[VIOLATION_COUNT];
	uint64_t retries;
	struct
	{
		uint64_t done;
		uint64_t rolled_back;
		uint64_t open;
	} retried_commits; /**< Those that were asked again, by their last answer. */
	uint64_t replica_reads;
	uint64_t reads;
	int64_t last_write_us[MAX_DATABASES];
	int64_t write_gap_us[MAX_DATABASES];
	struct latencies latencies[CALLER_RANK_COUNT][2]; /**< Of reads and of other requests. */
	GHashTable *reasons; /**< Outcome, call, reason and message to their number. */
};

/** Starts the session's next request. */
void session_start_request (struct session *session, int64_t now_us);

/** Takes the result of the request in flight. */
void session_finish_request (struct session *session, CURLcode result, int64_t now_us);

struct record *caller_record (struct caller *caller, guint index);

/** Adds a copy of @p record with copies of @p key and @p value. */
void caller_add_record (struct caller *caller, const struct record *record, const char *key,
                        const char *value);

void caller_count_reason (struct caller *caller, enum outcome_class class, const char *call,
                          const char *reason, const char *message);

/** Sorts the latencies. @return a percentile in milliseconds; 0 when there are none. */
double latencies_percentile_ms (GArray *latencies_us, unsigned percent);

/** Counts and prints a broken promise. */
void caller_report_violation (struct caller *caller, enum violation violation,
                              const struct record *record, const char *detail);

/** Judges a record against the final value of its row (NULL: absent). */
void record_check (struct caller *caller, struct record *record, const char *value);

/** After all rows were read: transactions must be complete or absent. */
void records_check_transactions (struct caller *caller);

/** Records of earlier runs. @return 0 or a negative error number. */
int records_load (struct caller *caller, const char *path);
int records_save (const struct caller *caller, const char *path);

/** Measures one read through the proxy and straight at a server. @return an exit code. */
int measure_run (const char *entry, const char *service, const char *server, int connections,
                 int seconds);
