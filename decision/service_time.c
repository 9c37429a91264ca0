#include "decision/service_time.h"

#include "common/clock.h"

enum
{
	/* Weight of an answer in the mean: after 16 answers, an eighth of a change is left. */
	SERVICE_TIME_DIVISOR = 8,
	/* Assumed before the first answer; statements take 3 to 30 ms. */
	SERVICE_TIME_DEFAULT_US = 10 * US_PER_MS,
};

void
service_time_add (struct service_time *times, enum service_time_kind kind, int64_t elapsed_us)
{
	int64_t divisor;

	if (times->answers[kind] < SERVICE_TIME_DIVISOR)
		times->answers[kind]++;
	divisor = times->answers[kind];
	times->mean_us[kind] += (elapsed_us - times->mean_us[kind]) / divisor;
}

int64_t
service_time_expected_us (const struct service_time *times, enum service_time_kind kind)
{
	if (times->answers[kind] > 0)
		return times->mean_us[kind];
	for (int other = 0; other < SERVICE_TIME_KINDS; other++)
		if (times->answers[other] > 0)
			return times->mean_us[other];
	return SERVICE_TIME_DEFAULT_US;
}
