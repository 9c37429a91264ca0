/**
 * @file
 * Settings of `flamingospring proxy`, read from flags and environment variables.
 */
#pragma once

#include "common/findings.h"
#include "common/log.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum
{
	SETTINGS_MAX_SEEDS = 32,
};

struct settings_address
{
	uint32_t ip; /**< IPv4, host byte order. */
	uint16_t port;
};

struct settings
{
	uint32_t vm_id; /**< Unique in the fleet, starting at 1. */
	char *zone;
	uint32_t ip;           /**< Address of all listeners, host byte order. */
	uint32_t advertise_ip; /**< Address at which other VMs reach this one; 0: same as ip. */
	/** Source address of connections to VMs and the platform; 0: chosen by the system. */
	uint32_t source_ip;
	uint16_t caller_port;
	uint16_t service_port;
	uint16_t traffic_port;
	uint16_t control_port;
	char *platform;                                    /**< Base URL of the key-value store. */
	struct settings_address seeds[SETTINGS_MAX_SEEDS]; /**< Control ports of other VMs. */
	uint32_t seed_count;
	uint32_t traffic_threads;
	uint32_t max_connections; /**< Callers' connections per traffic thread. */
	uint32_t max_body_bytes;
	uint32_t transaction_idle_ms;  /**< A transaction idle for longer is rolled back. */
	uint32_t transaction_limit_ms; /**< Longest duration of a transaction. */
	uint32_t acknowledge_timeout_ms;
	uint32_t drain_limit_ms;
	char *trace; /**< "-" for standard error, or a file; NULL: no traces. */
	uint32_t trace_sample_per_million;
	enum log_level log_level;
	bool check_only;
	/** Servers that must have a write: "majority", or "primary" only for measurements. */
	char *acknowledge;
};

/** Reads flags and environment variables (FLAMINGOSPRING_...). Flags override the environment.
 * --help prints the flags and exits. @return 0, or -EINVAL when there are findings. */
int settings_init (struct settings *settings, int argc, char **argv, struct findings *findings);
void settings_finish (struct settings *settings);

/** Prints the effective settings, one name=value per line. */
void settings_print (const struct settings *settings, FILE *stream);
