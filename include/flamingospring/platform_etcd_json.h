/**
 * @file
 * Bodies of the etcd v3 JSON interface: requests are built, answers are decoded.
 */
#pragma once

#include "flamingospring/platform.h"

#include <glib.h>

/** Decoded answer or watch event; owns what @c answer points to. */
struct etcd_answer
{
	struct platform_answer answer;
	GArray *pairs;     /**< struct platform_pair */
	GPtrArray *texts;  /**< Decoded keys and values. */
	bool is_created;   /**< The first answer of a watch. */
	bool is_cancelled; /**< The watch was ended by the server. */
};

/** Bodies are freed with g_free(). */
char *etcd_range_body (const char *prefix, uint64_t min_revision);
char *etcd_swap_body (const char *key, uint64_t expected, const char *value, size_t value_length);
char *etcd_watch_body (const char *prefix, uint64_t revision);

void etcd_answer_init (struct etcd_answer *decoded);
void etcd_answer_finish (struct etcd_answer *decoded);

/** Each decodes one JSON document. @return 0, -EPROTO when it is malformed, -ESTALE when the revision
 * is compacted. */
int etcd_range_decode (struct etcd_answer *decoded, const char *text, size_t length);
int etcd_swap_decode (struct etcd_answer *decoded, const char *text, size_t length);
int etcd_watch_decode (struct etcd_answer *decoded, const char *text, size_t length);
