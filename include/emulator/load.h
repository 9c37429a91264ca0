/**
 * @file
 * Load generator: sessions that send requests to the entry VMs, and a record of every write to check the
 * proxy's guarantees.
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
	MAX_AGE_MS = 2000, /* max_age_ms in tests/scenarios/letters.yaml. */
};

/** Known state of a write. */
enum record_state
{
	RECORD_UNKNOWN, /**< May be present or absent. */
	RECORD_ACKED,   /**< Acknowledged: must be present exactly once. */
	RECORD_ABSENT,  /**< Refused, failed or rolled back: must be absent. */
	RECORD_COMMIT_UNKNOWN, /**< Outcome of COMMIT unknown: all writes of the transaction are present, or none. */
};

struct record
{
	uint32_t database;
	enum record_state state;
	uint32_t transaction_id; /**< 0: the write is not part of a transaction. */
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
	STEP_CHECK, /**< Reads one row for the final check. */
};

enum outcome_class
{
	CLASS_DONE,
	CLASS_REFUSED,
	CLASS_FAILED,
	CLASS_UNKNOWN,
	CLASS_COUNT,
};

/** Violated guarantees, with the names that the summary prints. */
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

/** Latencies of the request mix, without the flood. */
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
	guint record;        /**< Index of the record that is written or read. */
	guint second_record; /**< Index of the second record of the transaction. */
	char *handle;        /**< Handle of the open transaction; NULL: none. */
	bool rolls_back;
	bool is_retry;          /**< The request repeats a write or commit with an unknown outcome. */
	bool has_short_timeout; /**< Aborts the commit in flight early, so that it is retried. */
	bool is_flood;
	int64_t next_send_us; /**< 0: a request is in flight; INT64_MAX: no work is left. */
	int64_t sent_us;
	GArray *own_writes; /**< Record indexes of its acknowledged writes. */
};

struct caller
{
	char *entries[MAX_ENTRIES];
	uint32_t entry_count;
	uint32_t database_count;
	char *service;
	char *prefix; /**< Prefix of keys and request ids, distinct for each run. */
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
	int64_t end_us;            /**< No new work starts after this time. */
	int64_t retry_deadline_us; /**< Unknown outcomes are not retried after this time. */
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
	} retried_commits; /**< Commits that were retried, by their final outcome. */
	uint64_t replica_reads;
	uint64_t reads;
	int64_t last_write_us[MAX_DATABASES];
	int64_t write_gap_us[MAX_DATABASES];
	struct latencies latencies[CALLER_RANK_COUNT][2]; /**< [0]: reads; [1]: other requests. */
	GHashTable *reasons; /**< Text of outcome, call, reason and message to its count. */
};

/** Sends the session's next request, or ends the session when no work is left. */
void session_start_request (struct session *session, int64_t now_us);

/** Handles the result of the request in flight and schedules the next one. */
void session_finish_request (struct session *session, CURLcode result, int64_t now_us);

struct record *caller_record (struct caller *caller, guint index);

/** Appends a copy of @p record with copies of @p key and @p value. */
void caller_add_record (struct caller *caller, const struct record *record, const char *key,
                        const char *value);

void caller_count_reason (struct caller *caller, enum outcome_class class, const char *call,
                          const char *reason, const char *message);

/** Sorts @p latencies_us. @return a percentile in milliseconds; 0 when the array is empty. */
double latencies_percentile_ms (GArray *latencies_us, unsigned percent);

/** Counts and prints a violated guarantee. @p detail: NULL when the row is absent. */
void caller_report_violation (struct caller *caller, enum violation violation,
                              const struct record *record, const char *detail);

/** Compares a record with the final value of its row; @p value is NULL when the row is absent. */
void record_check (struct caller *caller, struct record *record, const char *value);

/** Checks that the writes of each transaction are all present or all absent. Requires record_check() of all
 * records. */
void records_check_transactions (struct caller *caller);

/** Appends the records of a file to the caller's records. @return 0 or a negative error number. */
int records_load (struct caller *caller, const char *path);
/** Appends the caller's records to a file. @return 0 or a negative error number. */
int records_save (const struct caller *caller, const char *path);

/** Measures throughput and latency of one read, through the proxy and directly at a server.
 * @return an exit code. */
int measure_run (const char *entry, const char *service, const char *server, int connections,
                 int seconds);
