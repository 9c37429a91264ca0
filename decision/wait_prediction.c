#include "decision/wait_prediction.h"

#include <stdlib.h>

enum
{
	/* A statement that has run for longer than usual is expected to take this part of the usual time still. */
	WAIT_OVERRUN_DIVISOR = 2,
	WAIT_ERROR_DIVISOR = 16,
};

void
wait_load_add_running (struct wait_load *load, int64_t expected_us, int64_t elapsed_us)
{
	int64_t left_us = expected_us - elapsed_us;
	int64_t least_us = expected_us / WAIT_OVERRUN_DIVISOR;

	load->running++;
	load->running_left_us += left_us > least_us ? left_us : least_us;
}

void
wait_load_add_queued (struct wait_load *load, int64_t expected_us)
{
	load->queued++;
	load->queued_us += expected_us;
}

int64_t
wait_predict_us (const struct wait_load *load)
{
	int64_t slots = load->slots > 0 ? load->slots : 1;

	if ((int64_t) load->running + load->queued < slots)
		return 0;
	/* With statements that end independently, the first of them ends after its mean time left divided by the slots. */
	return load->running_left_us / slots / slots + load->queued_us / slots;
}

int64_t
wait_error_add (struct wait_error *error, int64_t predicted_us, int64_t waited_us)
{
	int64_t difference_us = llabs (predicted_us - waited_us);

	if (error->count < WAIT_ERROR_DIVISOR)
		error->count++;
	error->mean_us += (difference_us - error->mean_us) / (int64_t) error->count;
	return difference_us;
}
