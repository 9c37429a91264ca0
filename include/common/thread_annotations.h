/**
 * @file
 * Annotations that tell ThreadSanitizer how Concurrency Kit orders accesses; no-ops in other builds.
 *
 * Concurrency Kit uses volatile accesses and fences, which ThreadSanitizer does not model.
 * tools/thread-sanitizer.supp suppresses reports on these accesses themselves.
 */
#pragma once

#include <stdint.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
/** Earlier writes of this thread are visible to a thread that acquires @p address afterwards. */
#define THREAD_RELEASE(address) __tsan_release ((void *) (uintptr_t) (address))
#define THREAD_ACQUIRE(address) __tsan_acquire ((void *) (uintptr_t) (address))
#else
#define THREAD_RELEASE(address) ((void) (address))
#define THREAD_ACQUIRE(address) ((void) (address))
#endif
