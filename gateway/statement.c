#include "gateway/statement.h"

static const char *const code_names[] = {
	[ANSWER_DONE] = "done",
	[ANSWER_OVERLOADED] = "overloaded",
	[ANSWER_ROLLED_BACK] = "rolled_back",
	[ANSWER_BEHIND] = "behind",
	[ANSWER_NOT_PRIMARY] = "not_primary",
	[ANSWER_WRONG_SERVER] = "wrong_server",
	[ANSWER_TOO_MANY_CONNECTIONS] = "too_many_connections",
	[ANSWER_UNKNOWN_STATEMENT] = "unknown_statement",
	[ANSWER_UNKNOWN_DATABASE] = "unknown_database",
	[ANSWER_UNAUTHORIZED] = "unauthorized",
	[ANSWER_MALFORMED] = "malformed",
	[ANSWER_FAILED] = "failed",
	[ANSWER_TIMED_OUT] = "timed_out",
	[ANSWER_IN_DOUBT] = "in_doubt",
	[ANSWER_OTHER] = "other",
};

const char *
answer_code_name (enum answer_code code)
{
	return code_names[code];
}

bool
answer_code_did_not_run (enum answer_code code)
{
	switch (code)
	{
	case ANSWER_OVERLOADED:
	case ANSWER_ROLLED_BACK:
	case ANSWER_BEHIND:
	case ANSWER_NOT_PRIMARY:
	case ANSWER_WRONG_SERVER:
	case ANSWER_TOO_MANY_CONNECTIONS:
	case ANSWER_UNKNOWN_STATEMENT:
	case ANSWER_UNKNOWN_DATABASE:
	case ANSWER_UNAUTHORIZED:
	case ANSWER_MALFORMED:
		return true;
	default:
		return false;
	}
}

enum delivery
answer_code_delivery (enum answer_code code, bool is_complete)
{
	if (answer_code_did_not_run (code))
		return DELIVERY_REFUSED;
	if (code == ANSWER_FAILED || code == ANSWER_TIMED_OUT)
		return DELIVERY_RAN;
	return code == ANSWER_DONE && is_complete ? DELIVERY_RAN : DELIVERY_UNANSWERED;
}

enum answer_code
answer_code_of_delivery (enum delivery delivery)
{
	return delivery == DELIVERY_NOT_SENT || delivery == DELIVERY_REFUSED ? ANSWER_OVERLOADED
	                                                                     : ANSWER_IN_DOUBT;
}
