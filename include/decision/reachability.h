/**
 * @file
 * Whether the VMs of the fleet agree that a server is lost. Holds no I/O.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum reachability_opinion
{
	REACHABILITY_UNKNOWN,   /**< No recent contact: the VM has to ask the server first. */
	REACHABILITY_REACHABLE, /**< It has answered a moment ago. */
	REACHABILITY_LOST,      /**< It does not answer. */
};

/** What a VM says of a server. @param contact_us last answer of the server; 0: none. */
enum reachability_opinion reachability_form_opinion (bool is_unreachable, int64_t contact_us,
                                                     int64_t now_us);

/** Opinions of all VMs that are listed, the asking one included. */
struct reachability_votes
{
	uint32_t lost;
	uint32_t reachable;
	uint32_t silent; /**< No answer yet, or no opinion. */
};

/** @param since_us start of the poll. @return whether the server counts as lost for the fleet. */
bool reachability_is_agreed (const struct reachability_votes *votes, int64_t since_us,
                             int64_t now_us);
