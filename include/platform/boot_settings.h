/**
 * @file
 * The settings file that the platform gives to each process.
 */
#pragma once

#include "common/findings.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
	BOOT_NAME_BYTES = 80,
	BOOT_ADDRESS_BYTES = 64,
};

struct boot_settings
{
	char vm[BOOT_NAME_BYTES]; /**< Name of this VM. */
	char zone[BOOT_NAME_BYTES];
	uint32_t ip; /**< Host byte order. */
	uint16_t caller_port;
	uint16_t readiness_port;
	uint16_t peer_port; /**< First port for traffic between VMs. */
	char store_address[BOOT_ADDRESS_BYTES];
	char cloud_address[BOOT_ADDRESS_BYTES];
	uint32_t configuration_ms; /**< A configuration must be in force after this time. */
	uint32_t grace_ms;         /**< From SIGTERM to SIGKILL. */
	uint32_t max_descriptors;
};

/** Path of the settings file, from the environment. NULL: not set. */
const char *boot_settings_path (void);

/** Reads the file; collects all problems. @return 0, -EINVAL or another negative error number. */
int boot_settings_read (struct boot_settings *settings, const char *path,
                        struct findings *findings);

/** Parses "IP:PORT". @return 0 or -EINVAL. */
int boot_address_parse (const char *text, uint32_t *ip, uint16_t *port);
