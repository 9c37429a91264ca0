/**
 * @file
 * Choice of the server that becomes the primary, among those that have answered since the former primary is out of use.
 * Does no I/O.
 */
#pragma once

#include "decision/succession.h"

enum
{
	/** Servers that have not answered are left out of the choice after this time. */
	SUCCESSION_CHOICE_TIMEOUT_US = 250000,
};

struct succession_choice
{
	const struct succession_server *best;
	/** Server that should not lead, but holds entries that @c best lacks; NULL: there is none. */
	const struct succession_server *reserve;
	/** Last entry that a replica with a final status holds, whether or not it can be chosen. */
	struct log_position held;
	size_t known;   /**< Replicas whose logs are known. */
	size_t missing; /**< Replicas that may still answer. */
	size_t unknown; /**< Listed servers without a final status. */
	size_t holders; /**< Listed servers that have answered and have the log of the latest term. */
	/** Only servers that lack the log of the latest term can be chosen, and others may still answer or return. */
	bool is_behind;
	uint64_t max_term;
};

const struct succession_server *succession_find_server (const struct succession_input *input,
                                                        const char *id);

/** Tells whether the status arrived after all VMs had stopped using the old primary. */
bool succession_has_final_status (const struct succession *succession,
                                  const struct succession_server *server);

/**
 * Tells whether the server already leads, because an earlier claim was carried out but not recorded. After two earlier
 * claims it is unknown whether the second one has promoted another server, which is not reached now. Until the first
 * change, the recorded term is not known, and the first primary may have started again under another id.
 */
bool succession_leads_already (const struct succession *succession,
                               const struct succession_server *server);

struct succession_choice succession_choose (const struct succession *succession,
                                            const struct succession_input *input, int64_t now_us);

/** Tells whether @p best holds all acknowledged commits of a service with synchronous replicas, or it has none. */
bool succession_keeps_commits (const struct succession *succession,
                               const struct succession_input *input,
                               const struct succession_choice *choice,
                               const struct succession_server *best);
