#include "decision/request.h"

const char *
outcome_name (enum outcome outcome)
{
	static const char *const names[] = { "done", "refused", "failed", "unknown" };

	return (unsigned) outcome < sizeof names / sizeof names[0] ? names[outcome] : "unknown";
}

const char *
reason_name (enum reason reason)
{
	static const char *const names[REASON_COUNT] = {
		[REASON_NONE] = "none",
		[REASON_BAD_REQUEST] = "bad_request",
		[REASON_UNKNOWN_SERVICE] = "unknown_service",
		[REASON_BAD_TOKEN] = "bad_token",
		[REASON_OVERLOAD] = "overload",
		[REASON_QUEUE_FULL] = "queue_full",
		[REASON_DEADLINE] = "deadline",
		[REASON_BEHIND] = "behind",
		[REASON_TOO_OLD] = "too_old",
		[REASON_NOT_PRIMARY] = "not_primary",
		[REASON_NO_PRIMARY] = "no_primary",
		[REASON_NOT_OWNER] = "not_owner",
		[REASON_CONFIG_BEHIND] = "config_behind",
		[REASON_LEAVING] = "leaving",
		[REASON_UPSTREAM_DOWN] = "upstream_down",
		[REASON_CONNECTION_LOST] = "connection_lost",
		[REASON_NOT_ACKNOWLEDGED] = "not_acknowledged",
		[REASON_STATEMENT] = "statement",
		[REASON_NO_TRANSACTION] = "no_transaction",
		[REASON_ROLLED_BACK] = "rolled_back",
	};

	return (unsigned) reason < REASON_COUNT ? names[reason] : "other";
}

const char *
rank_name (enum rank rank)
{
	static const char *const names[RANK_COUNT] = { "urgent", "normal", "low" };

	return (unsigned) rank < RANK_COUNT ? names[rank] : "unknown";
}
