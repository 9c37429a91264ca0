/**
 * @file
 * Loopback ports for tests.
 */
#pragma once

#include <stdint.h>

/** A port of 127.0.0.1 that nothing listens at: below those that the kernel gives to clients, and others for
 * each process, so that tests that run at the same time do not take each other's ports. */
uint16_t free_port (void);
