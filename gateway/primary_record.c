/**
 * @file
 * The record of a service's primary as text in the store and as a datagram to other VMs.
 */
#include "gateway/controller_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

char *
primary_record_format (const struct succession_record *record, uint64_t era)
{
	GString *text = g_string_new (NULL);

	g_string_printf (text,
	                 "primary=%s claimant=%s changing=%d planned=%d term=%llu change=%llu era=%llu",
	                 record->primary, record->claimant[0] ? record->claimant : "-",
	                 record->is_changing, record->is_planned, (unsigned long long) record->term,
	                 (unsigned long long) record->change, (unsigned long long) era);
	if (record->claims > 0)
		g_string_append_printf (text, " claims=%u", record->claims);
	for (size_t i = 0; i < record->terms.count; i++)
		g_string_append_printf (text, "%s%llu:%llu", i > 0 ? "," : " terms=",
		                        (unsigned long long) record->terms.starts[i].term,
		                        (unsigned long long) record->terms.starts[i].index);
	return g_string_free (text, FALSE);
}

/** Reads starts of terms as far as they are well-formed. */
static void
parse_terms (const char *text, struct term_history *terms)
{
	unsigned long long term;
	unsigned long long index;
	int used = 0;

	while (terms->count < TERM_HISTORY_STARTS &&
	       sscanf (text, "%llu:%llu%n", &term, &index, &used) == 2)
	{
		terms->starts[terms->count++] = (struct term_start){ term, index };
		text += used;
		if (*text != ',')
			break;
		text++;
	}
}

int
primary_record_parse (const char *text, size_t length, uint64_t revision,
                      struct succession_record *record, uint64_t *era)
{
	g_autofree char *copy = g_strndup (text, length);
	const char *claims = strstr (copy, " claims=");
	const char *terms = strstr (copy, " terms=");
	int changing = 0;
	int planned = 0;
	unsigned long long term = 0;
	unsigned long long change = 0;
	unsigned long long written_era = 0;
	int count = sscanf (
		copy, "primary=%95s claimant=%95s changing=%d planned=%d term=%llu change=%llu era=%llu",
		record->primary, record->claimant, &changing, &planned, &term, &change, &written_era);

	*era = 0;
	if (count != 7 && count != 5)
	{
		*record = (struct succession_record){ 0 };
		return -EBADMSG;
	}
	record->is_changing = changing != 0;
	record->is_planned = planned != 0;
	record->term = term;
	/* Earlier versions of the program wrote no number. Their records are of no era, as the first one. */
	record->change = change > 0 ? change : revision;
	record->claims = claims ? (uint32_t) strtoul (claims + strlen (" claims="), NULL, 10) : 0;
	record->terms = (struct term_history){ 0 };
	if (terms)
		parse_terms (terms + strlen (" terms="), &record->terms);
	*era = written_era;
	return 0;
}

struct fs_lead_args
primary_manager_record_args (struct primary_manager *primary_manager)
{
	struct succession_record *record = &primary_manager->succession.record;
	const struct restore_stored *stored = &primary_manager->stored;
	bool is_stored = restore_judge (record->change, stored,
	                                primary_manager->controller->store_era) == RESTORE_CONFIRMED;

	for (size_t i = 0; i < record->terms.count; i++)
		primary_manager->sent_terms[i] =
			(struct fs_term_start){ record->terms.starts[i].term, record->terms.starts[i].index };
	return (struct fs_lead_args){
		.vm = primary_manager->controller->boot.vm,
		.service = primary_manager->service,
		.primary = record->primary,
		.claimant = record->claimant,
		.change = record->change,
		.is_changing = record->is_changing,
		.is_planned = record->is_planned,
		.term = record->term,
		.claims = record->claims,
		.terms = { (u_int) record->terms.count, primary_manager->sent_terms },
		.store_era = is_stored ? stored->at.era : 0,
		.store_revision = is_stored ? stored->at.revision : 0,
	};
}
