/**
 * @file
 * Decides whether a thread hangs, from the turns of its loop. Does no I/O.
 *
 * Fault pattern: a thread that waits for ever or never leaves a loop. The callers on its connections get no answer, and
 * nothing else ends the process. While the whole process is suspended, the thread that checks does not run either, so the
 * checks are counted and not the time.
 */
#pragma once

#include <stdint.h>

enum
{
	/** Interval of the checks. A loop that works turns every 20 ms. */
	WATCHDOG_INTERVAL_MS = 1000,
	/** Checks without a turn after which a thread hangs: longer than any stall of a VM with little processor time. */
	WATCHDOG_CHECKS = 10,
};

enum watchdog_verdict
{
	WATCHDOG_RUNS,
	WATCHDOG_HANGS, /**< Only the end of the process helps its callers. */
};

/** What was seen of one thread; zero before the first check. */
struct watchdog
{
	int64_t turned_us;
	uint32_t checks; /**< Since the last turn. */
};

/** Called every WATCHDOG_INTERVAL_MS. @param turned_us when the thread last turned; 0: never. */
enum watchdog_verdict watchdog_check (struct watchdog *watchdog, int64_t turned_us);
