/**
 * @file
 * Counters and gauges of the process; lock-free, updated from any thread.
 */
#pragma once

#include <stdint.h>

#define COUNTER_LIST(X)                                                                            \
	X (REQUESTS, "requests")                                                                       \
	X (REQUESTS_DONE, "requests_done")                                                             \
	X (REQUESTS_REFUSED, "requests_refused")                                                       \
	X (REQUESTS_FAILED, "requests_failed")                                                         \
	X (REQUESTS_UNAUTHORIZED, "requests_unauthorized")                                             \
	X (REQUESTS_UNKNOWN, "requests_unknown")                                                       \
	X (READS_REPLICA, "reads_replica")                                                             \
	X (READS_PRIMARY, "reads_primary")                                                             \
	X (READS_REPLICA_POSSIBLE, "reads_replica_possible")                                           \
	X (WRITES, "writes")                                                                           \
	X (REPLAYS, "replays")                                                                         \
	X (RETRIES, "retries")                                                                         \
	X (FORWARDS, "forwards")                                                                       \
	X (FORWARDS_LOST, "forwards_lost")                                                             \
	X (LATE_ANSWERS, "late_answers")                                                               \
	X (OVERDUE_CONNECTIONS, "overdue_connections")                                                 \
	X (UPSTREAM_CONNECTIONS, "upstream_connections")                                               \
	X (UPSTREAM_CONNECT_ERRORS, "upstream_connect_errors")                                         \
	X (UPSTREAM_REFUSED, "upstream_refused")                                                       \
	X (STATUS_QUESTIONS, "status_questions")                                                       \
	X (ADMISSION_REFUSED, "admission_refused")                                                     \
	X (READS_BEHIND, "reads_behind")                                                               \
	X (READS_TOO_OLD, "reads_too_old")                                                             \
	X (ONCE_LOOKUPS, "once_lookups")                                                               \
	X (TRANSACTIONS, "transactions")                                                               \
	X (TRANSACTIONS_ABANDONED, "transactions_abandoned")                                           \
	X (COMMITS_SETTLED, "commits_settled")                                                         \
	X (ACKNOWLEDGE_TIMEOUTS, "acknowledge_timeouts")                                               \
	X (ACKNOWLEDGE_REPLACED, "acknowledge_replaced")                                               \
	X (FAILOVERS, "failovers")                                                                     \
	X (FENCES_REJECTED, "fences_rejected")                                                         \
	X (GOSSIP_SENT, "gossip_sent")                                                                 \
	X (GOSSIP_RECEIVED, "gossip_received")                                                         \
	X (GOSSIP_SENT_BYTES, "gossip_sent_bytes")                                                     \
	X (GOSSIP_RECEIVED_BYTES, "gossip_received_bytes")                                             \
	X (CONTROL_SENT_BYTES, "control_sent_bytes")                                                   \
	X (CONTROL_RECEIVED_BYTES, "control_received_bytes")                                           \
	X (PLATFORM_CALLS, "platform_calls")                                                           \
	X (PLATFORM_ERRORS, "platform_errors")                                                         \
	X (CONFIG_ADOPTED, "config_adopted")                                                           \
	X (CONFIG_REJECTED, "config_rejected")                                                         \
	X (STORE_RESTORES, "store_restores")                                                           \
	X (SLOT_QUESTIONS, "slot_questions")                                                           \
	X (SLOTS_RELEASED, "slots_released")                                                           \
	X (ANSWERS_GIVEN_UP, "answers_given_up")                                                       \
	X (ANSWERS_REPEATED, "answers_repeated")                                                       \
	X (ANSWERS_OUT_OF_STEP, "answers_out_of_step")                                                 \
	X (SERVER_CONNECTIONS_OPENED, "server_connections_opened")                                     \
	X (SERVER_CONNECTIONS_REPLACED, "server_connections_replaced")                                 \
	X (WAIT_PREDICTIONS, "wait_predictions")                                                       \
	X (WAIT_PREDICTION_ERROR_US, "wait_prediction_error_us")                                       \
	X (REFUSED_LIMIT, "refused_limit")                                                             \
	X (REFUSED_WAIT, "refused_wait")                                                               \
	X (REFUSED_OUTAGE, "refused_outage")                                                           \
	X (REFUSED_ATTEMPTS, "refused_attempts")                                                       \
	X (REFUSED_NEEDLESS, "refused_needless")                                                       \
	X (RECORDS_REWRITTEN, "records_rewritten")                                                     \
	X (CAP_REFUSED, "cap_refused")                                                                 \
	X (CAP_REPORTS, "cap_reports")                                                                 \
	X (CAP_SENT_BYTES, "cap_sent_bytes")                                                           \
	X (CAP_MALFORMED, "cap_malformed")                                                             \
	X (CLIENTS_REFUSED, "clients_refused")                                                         \
	X (CLIENTS_CLOSED_MEMORY, "clients_closed_memory")                                             \
	X (CLIENTS_CLOSED_MEMORY_VM, "clients_closed_memory_vm")                                       \
	X (CLIENTS_CLOSED_SLOW, "clients_closed_slow")                                                 \
	X (CLIENTS_CLOSED_OVERSIZED, "clients_closed_oversized")                                       \
	X (CLIENTS_CLOSED_HTTP, "clients_closed_http")                                                 \
	X (ANSWERS_OVERSIZED, "answers_oversized")                                                     \
	X (ACCEPT_PAUSES, "accept_pauses")                                                             \
	X (RPC_MALFORMED, "rpc_malformed")                                                             \
	X (INVARIANT_VIOLATIONS, "invariant_violations")

enum counter
{
#define COUNTER_ENUM(id, name) COUNTER_##id,
	COUNTER_LIST (COUNTER_ENUM)
#undef COUNTER_ENUM
		COUNTER_COUNT,
};

void counter_add (enum counter counter, int64_t amount);
uint64_t counter_get (enum counter counter);
const char *counter_name (enum counter counter);

/** Checks an invariant; a violation is counted and logged. Enabled in production too. */
#define INVARIANT(condition, guarantee)                                                            \
	do                                                                                             \
	{                                                                                              \
		if (!(condition))                                                                          \
			invariant_report (guarantee, #condition, __FILE__, __LINE__);                          \
	} while (0)

void invariant_report (const char *guarantee, const char *condition, const char *file, int line);
