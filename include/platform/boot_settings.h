/**
 * @file
 * Settings file that the platform provides to each process.
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
	uint32_t ip; /**< IPv4 address of this VM, host byte order. */
	uint16_t caller_port;
	uint16_t readiness_port;
	uint16_t peer_port; /**< First of the internal ports, for traffic between VMs. */
	char store_address[BOOT_ADDRESS_BYTES];
	char cloud_address[BOOT_ADDRESS_BYTES];
	uint32_t configuration_ms;       /**< Time limit for applying a new configuration. */
	uint32_t drain_ms;               /**< Time after which a leaving server must be out of use. */
	uint32_t quota_window_ms;        /**< Window of the tenants' usage caps; 0: not given. */
	uint32_t quota_overage_permille; /**< Tolerated part of the operations of a window. */
	uint32_t quota_slack;            /**< Tolerated operations per window, beside this part. */
	uint32_t grace_ms;               /**< Time from SIGTERM to SIGKILL. */
	uint32_t max_descriptors;
	uint32_t memory_mb; /**< Memory of the VM; 0: not known. */
	uint32_t
		client_stall_ms; /**< Longest time of a client without progress on a message or an answer. */
};

/** @return the path of the settings file from FLAMINGOSPRING_BOOT, or NULL when it is not set. */
const char *boot_settings_path (void);

/** Reads the settings file and adds every problem to @p findings.
 * @return 0, -EINVAL or another negative error number. */
int boot_settings_read (struct boot_settings *settings, const char *path,
                        struct findings *findings);

/** Parses "IP:PORT", with a port from 1 to 65535. @return 0 or -EINVAL. */
int boot_address_parse (const char *text, uint32_t *ip, uint16_t *port);
