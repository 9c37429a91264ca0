/**
 * @file
 * Measures how long a server takes for a statement, by kind. Does no I/O.
 */
#pragma once

#include <stdint.h>

enum service_time_kind
{
	SERVICE_TIME_READ,
	SERVICE_TIME_WRITE,
	SERVICE_TIME_COMMIT,
	SERVICE_TIME_KINDS,
};

/** Zero before the first answer, and again when the server is replaced. */
struct service_time
{
	int64_t mean_us[SERVICE_TIME_KINDS];
	uint32_t answers[SERVICE_TIME_KINDS];
};

/**
 * Adds the time of an answer, without the wait for a slot.
 *
 * Load pattern: a server that is slow or cold for some seconds. The first answers count equally and later ones with a
 * fixed weight, so that the mean is within an eighth of the change after 16 answers.
 */
void service_time_add (struct service_time *times, enum service_time_kind kind, int64_t elapsed_us);

/** Time that a statement takes. Before the first answer of its kind, that of any other kind, or else a default. */
int64_t service_time_expected_us (const struct service_time *times, enum service_time_kind kind);
