#include "decision/delivery.h"

static const enum delivery_outcome outcomes[][EFFECT_COMMITS + 1] = {
	[DELIVERY_NOT_SENT] = { OUTCOME_NOT_KEPT, OUTCOME_NOT_KEPT, OUTCOME_ROLLED_BACK,
	                        OUTCOME_ROLLED_BACK },
	[DELIVERY_UNANSWERED] = { OUTCOME_NOT_KEPT, OUTCOME_IN_DOUBT, OUTCOME_ROLLED_BACK,
	                          OUTCOME_IN_DOUBT },
	[DELIVERY_REFUSED] = { OUTCOME_NOT_KEPT, OUTCOME_NOT_KEPT, OUTCOME_ROLLED_BACK,
	                       OUTCOME_ROLLED_BACK },
	[DELIVERY_RAN] = { OUTCOME_NOT_KEPT, OUTCOME_FAILED, OUTCOME_ROLLED_BACK, OUTCOME_IN_DOUBT },
};

enum delivery_outcome
delivery_judge (enum delivery delivery, enum statement_effect effect)
{
	return outcomes[delivery][effect];
}

bool
delivery_allows_promise (enum delivery delivery, enum statement_effect effect)
{
	enum delivery_outcome outcome = delivery_judge (delivery, effect);

	return outcome == OUTCOME_NOT_KEPT || outcome == OUTCOME_ROLLED_BACK;
}
