#include "common/counters.h"

#include "common/log.h"

#include <ck_pr.h>

static const char *const counter_names[COUNTER_COUNT] = {
#define COUNTER_NAME(id, name) [COUNTER_##id] = name,
	COUNTER_LIST (COUNTER_NAME)
#undef COUNTER_NAME
};

static uint64_t counter_values[COUNTER_COUNT];

void
counter_add (enum counter counter, int64_t amount)
{
	ck_pr_add_64 (&counter_values[counter], (uint64_t) amount);
}

uint64_t
counter_get (enum counter counter)
{
	return ck_pr_load_64 (&counter_values[counter]);
}

const char *
counter_name (enum counter counter)
{
	return counter_names[counter];
}

void
invariant_report (const char *guarantee, const char *condition, const char *file, int line)
{
	counter_add (COUNTER_INVARIANT_VIOLATIONS, 1);
	log_event (LOG_LEVEL_ERROR, "invariant_violated", "guarantee=%s condition=%s at=%s:%d",
	           guarantee, log_text_quoted (condition), file, line);
}
