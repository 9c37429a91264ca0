/**
 * @file
 * Builds request bodies and decodes answers of etcd's v3 JSON interface.
 */
#pragma once

#include "flamingospring/platform.h"

#include <glib.h>

/** Decoded answer or watch event. Owns what @c answer points to. */
struct etcd_answer
{
	struct platform_answer answer;
	GArray *pairs;     /**< Elements are struct platform_pair. */
	GPtrArray *texts;  /**< Decoded keys and values. */
	bool is_created;   /**< First answer of a watch. */
	bool is_cancelled; /**< The watch was ended by the server. */
};

/** Each builds a request body, to be freed with g_free(). */
char *etcd_range_body (const char *prefix, uint64_t min_revision);
char *etcd_swap_body (const char *key, uint64_t expected, const char *value, size_t value_length);
char *etcd_watch_body (const char *prefix, uint64_t revision);

void etcd_answer_init (struct etcd_answer *decoded);
void etcd_answer_finish (struct etcd_answer *decoded);

/** Each decodes one JSON document. @return 0, -EPROTO when it is malformed, or -ESTALE when the
 * requested revision is compacted. */
int etcd_range_decode (struct etcd_answer *decoded, const char *text, size_t length);
int etcd_swap_decode (struct etcd_answer *decoded, const char *text, size_t length);
int etcd_watch_decode (struct etcd_answer *decoded, const char *text, size_t length);
