#include "decision/watchdog.h"

enum watchdog_verdict
watchdog_check (struct watchdog *watchdog, int64_t turned_us)
{
	if (turned_us != watchdog->turned_us)
	{
		watchdog->turned_us = turned_us;
		watchdog->checks = 0;
		return WATCHDOG_RUNS;
	}
	watchdog->checks++;
	return watchdog->checks >= WATCHDOG_CHECKS ? WATCHDOG_HANGS : WATCHDOG_RUNS;
}
