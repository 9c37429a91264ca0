/**
 * @file
 * The platform's key-value service, in the control thread. Every call is counted.
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
	bool is_deleted;   /**< In watch events. */
};

struct platform_answer
{
	int error;         /**< 0, -ETIMEDOUT, -ECONNREFUSED, -EPROTO, -ESTALE: compacted. */
	uint64_t revision; /**< Of the whole store. */
	bool succeeded;    /**< Compare-and-swap. */
	const struct platform_pair *pairs;
	size_t count;
	int64_t
		request_sent_us; /**< When the question was sent; the answer holds at that time or later. */
};

/** Called once for a call, many times for a watch (until an error). A watch may report that nothing has
 * changed: no pairs, and a later revision. */
typedef void platform_handle_answer (void *data, const struct platform_answer *answer);

struct platform_ops
{
	/** Reads all keys with @p prefix modified after @p min_revision (0: all). */
	int (*range) (struct platform *platform, const char *prefix, uint64_t min_revision,
	              platform_handle_answer *handle, void *data);
	/** Writes @p key when its modification revision is @p expected (0: it does not exist). On failure
	 * the answer holds the present pair. */
	int (*swap) (struct platform *platform, const char *key, uint64_t expected, const char *value,
	             size_t value_length, platform_handle_answer *handle, void *data);
	/** Watches @p prefix from @p revision on. One watch at a time for each prefix. A watch that hears
	 * nothing, not even that nothing has changed, ends with -ETIMEDOUT after about @p max_quiet_ms; 0: the
	 * implementation's choice. */
	int (*watch) (struct platform *platform, const char *prefix, uint64_t revision,
	              uint32_t max_quiet_ms, platform_handle_answer *handle, void *data);
	void (*unwatch) (struct platform *platform, const char *prefix);
	/** Makes a server the primary of its service, in the name of @p holder with the fencing token
	 * @p token. The answer's error is 0, -ENOENT (the server is not running), or another error after which
	 * the call may still have been executed. NULL: the platform cannot. */
	int (*promote) (struct platform *platform, const char *service, const char *server_id,
	                const char *holder, uint64_t token, platform_handle_answer *handle, void *data);
	void (*finish) (struct platform *platform);
};

struct platform
{
	const struct platform_ops *ops;
	struct loop *loop;
	void *client; /**< Of the implementation. */
};

/** etcd v3 JSON over HTTP at @p url, from @p source_ip (host byte order; 0: the system's choice).
 * @return 0 or a negative error number. */
int platform_etcd_init (struct platform *platform, struct loop *loop, const char *url,
                        uint32_t source_ip, int64_t timeout_us);
