/**
 * @file
 * Loopback ports for tests.
 */
#pragma once

#include <stdint.h>

/** A port of 127.0.0.1 on which nothing listens. It is below the kernel's ephemeral ports and in a range reserved
 * for this process, so that tests that run at the same time do not take each other's ports. */
uint16_t free_port (void);
