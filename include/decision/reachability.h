/**
 * @file
 * Agreement of the fleet's VMs on whether a server is lost. Does no I/O.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum reachability_opinion
{
	REACHABILITY_UNKNOWN,   /**< No recent contact: the VM has to poll the server first. */
	REACHABILITY_REACHABLE, /**< It has answered recently. */
	REACHABILITY_LOST,      /**< It does not answer. */
};

/** Forms a VM's opinion of a server.
 * @param contact_us time of the server's last answer; 0: none. */
enum reachability_opinion reachability_form_opinion (bool is_unreachable, int64_t contact_us,
                                                     int64_t now_us);

/** Number of listed VMs by opinion, including the asking one. */
struct reachability_votes
{
	uint32_t lost;
	uint32_t reachable;
	uint32_t silent; /**< No answer yet, or no opinion. */
};

/**
 * @param silent_since_us since when the other VMs have been asked and could have answered.
 * @return whether the fleet considers the server lost.
 */
bool reachability_is_agreed (const struct reachability_votes *votes, int64_t silent_since_us,
                             int64_t now_us);
