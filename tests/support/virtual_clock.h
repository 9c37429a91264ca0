/**
 * @file
 * Replaces common/clock.c in a test whose fakes use timers only, so that the load of the machine changes no figure.
 */
#pragma once

#include "common/loop.h"

/** Advances the time to the next timer of @p loop, or to @p limit_us when none is due before, and runs what is due. */
void virtual_clock_step (struct loop *loop, int64_t limit_us);
