/**
 * @file
 * Answers the platform's question whether this VM takes callers.
 */
#pragma once

#include "common/loop.h"

#include <stdbool.h>
#include <stdint.h>

struct MHD_Daemon;

struct readiness
{
	struct loop *loop;
	struct MHD_Daemon *daemon;
	struct loop_source source;
	struct loop_timer timer;
	bool (*is_ready) (void *data);
	void *data;
};

/** @return 0 or a negative error number. */
int readiness_init (struct readiness *readiness, struct loop *loop, uint32_t ip, uint16_t port,
                    bool (*is_ready) (void *data), void *data);
void readiness_finish (struct readiness *readiness);
