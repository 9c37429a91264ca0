/**
 * @file
 * Client interface of the platform's key-value store, used by the control thread. Every call is
 * counted.
 */
#pragma once

#include "common/loop.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct platform;

struct platform_pair
{
	const char *key;
	const char *value;
	size_t value_length;
	uint64_t revision; /**< Modification revision. */
	bool is_deleted;   /**< Set in watch events only. */
};

struct platform_answer
{
	/** 0, -ETIMEDOUT, -ECONNREFUSED, -ECONNRESET, -EAGAIN (overloaded), -EPROTO, or -ESTALE (the
	 * revision is compacted, or the store was restored from an older copy meanwhile). */
	int error;
	/** Rises each time the store is restored from an older copy, after which its revisions are given out
	 * again. Valid when @c error is 0. */
	uint64_t era;
	/** Revision of the whole store. The pairs of a range include all changes up to it, and possibly later ones, which a
	 * watch from this revision reports again. */
	uint64_t revision;
	bool succeeded; /**< Result of a compare-and-swap. */
	const struct platform_pair *pairs;
	size_t count;
	/** When the request was sent, or the first one of several. The answer is no older than this. */
	int64_t request_sent_us;
};

/** Called once for a call, and repeatedly for a watch until an error. A watch may report that
 * nothing has changed, with no pairs and a later revision. */
typedef void platform_handle_answer (void *data, const struct platform_answer *answer);

struct platform_ops
{
	/** Reads all keys with @p prefix modified after @p min_revision (0: all). */
	int (*range) (struct platform *platform, const char *prefix, uint64_t min_revision,
	              platform_handle_answer *handle, void *data);
	/** Writes @p key when its modification revision is @p expected (0: it does not exist).
	 * Otherwise the answer holds the current pair. */
	int (*swap) (struct platform *platform, const char *key, uint64_t expected, const char *value,
	             size_t value_length, platform_handle_answer *handle, void *data);
	/** Watches @p prefix from @p revision on, with one watch per prefix at a time. A watch that
	 * receives nothing, not even a report without changes, ends with -ETIMEDOUT after about
	 * @p idle_timeout_ms (0: chosen by the implementation). */
	int (*watch) (struct platform *platform, const char *prefix, uint64_t revision,
	              uint32_t idle_timeout_ms, platform_handle_answer *handle, void *data);
	void (*unwatch) (struct platform *platform, const char *prefix);
	/** Makes a server the primary of its service, on behalf of @p holder with the fencing token
	 * @p token. The answer's error is 0, -ENOENT (the server is not running), or another error
	 * after which the call may still have been executed. NULL: not supported by the platform. */
	int (*promote) (struct platform *platform, const char *service, const char *server_id,
	                const char *holder, uint64_t token, platform_handle_answer *handle, void *data);
	void (*finish) (struct platform *platform);
};

struct platform
{
	const struct platform_ops *ops;
	struct loop *loop;
	void *client; /**< State of the implementation. */
};

/** Uses etcd's v3 JSON interface over HTTP at @p url, from the address @p source_ip (host byte
 * order; 0: chosen by the system). @return 0 or a negative error number. */
int platform_etcd_init (struct platform *platform, struct loop *loop, const char *url,
                        uint32_t source_ip, int64_t timeout_us);
