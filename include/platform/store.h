/**
 * @file
 * Implementation of struct platform_ops with the platform's metadata store and promotion API.
 */
#pragma once

#include "flamingospring/platform.h"

struct store_settings
{
	const char *store_address; /**< "IP:PORT". */
	const char *cloud_address; /**< "IP:PORT" of the promotion API. */
	uint32_t source_ip;        /**< Host byte order. */
	uint32_t timeout_ms;       /**< Time limit of a call but a watch; 0: the usual ones. */
};

/** @return 0 or a negative error number. */
int platform_store_init (struct platform *platform, struct loop *loop,
                         const struct store_settings *settings);
